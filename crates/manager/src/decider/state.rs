//! Reports about this manager: its operational state, the progress of changes, and evidence for other managers.

use std::collections::BTreeSet;

use juniperrail_intent::{Change, ComposedWorker};
use juniperrail_interface::{Ms, WorkerId};
use juniperrail_northbound::{ChangeState, Notice, OperationalState, WorkerState};

use super::{Decider, PROGRESS_CHECK_PERIOD_MS};
use crate::connection_tracker::Presence;
use crate::fleet;

impl Decider {
    /// Checks which of the changes that are being distributed all joined proxies have applied.
    pub(super) fn check_progress(&mut self, now: Ms) {
        let is_due = now >= self.progress_checked_at + PROGRESS_CHECK_PERIOD_MS
            && self.progress.distributing().next().is_some();
        if !is_due {
            return;
        }
        self.progress_checked_at = now;
        let joined = self.connections.joined().count();
        let distributing_changes: Vec<(u64, BTreeSet<WorkerId>)> =
            self.progress.distributing().map(|change| (change.number, self.known_workers(change))).collect();
        for (number, workers) in distributing_changes {
            let applied_count = self.planner.synced_proxy_count(&workers);
            if self.progress.update(now, number, applied_count, joined) {
                let elapsed = self
                    .progress
                    .all()
                    .find(|change| change.number == number)
                    .map_or(0.0, |change| now - change.committed_at);
                tracing::info!("change {number} is applied by all {joined} proxies after {elapsed:.0} ms");
                let northbound = self.northbound.as_ref();
                northbound.into_iter().for_each(|channels| {
                    _ = channels.notices.try_send(Notice::Applied { number, after: elapsed })
                });
            }
        }
    }

    /// The workers of a change that have an id.
    pub(super) fn known_workers(&self, change: &Change) -> BTreeSet<WorkerId> {
        change.workers.iter().filter_map(|name| self.names.workers.find_id(name).map(WorkerId)).collect()
    }

    /// The operational state that the management interface shows.
    pub(super) fn operational_state(&self) -> OperationalState {
        let now = self.clock.now();
        let warm_up = self.intent.runtime_settings(&self.settings, &self.operation_names).warm_up;
        let worker_state = |(name, composed): (String, ComposedWorker)| {
            let name_or_empty = |name: Option<&str>| name.unwrap_or_default().to_string();
            WorkerState {
                name,
                zone: name_or_empty(self.names.zones.find_name(composed.entry.zone.0.into())),
                machine: name_or_empty(self.names.machines.find_name(composed.entry.machine.0.into())),
                warm: composed.entry.started_at.is_none_or(|started_at| now >= started_at + warm_up),
                composed,
            }
        };
        let change_state = |change: &Change| ChangeState {
            number: change.number,
            author: change.author.clone(),
            age: now - change.committed_at,
            stage: change.stage,
            applied_proxies: change.applied_proxies,
            joined_proxies: change.joined_proxies,
        };
        OperationalState {
            manager: self.name.clone(),
            list_version: self.registry.version,
            workers: self.registry.composed(&self.names).into_iter().map(worker_state).collect(),
            tables: self.order_writer.table_states(&self.names),
            proxies: self.order_writer.proxy_states(&self.names, &self.connections, now),
            pending_lines: self.planner.unacknowledged_lines(),
            max_pending_lines: self.settings.max_pending_lines,
            changes: self.progress.all().map(change_state).collect(),
            fleet: self.fleet.as_ref().map(|(handle, _)| fleet::state(handle)),
        }
    }

    /// Reports the evidence of the last report period to the consensus.
    pub(super) fn report_evidence(&mut self, now: Ms) {
        let Some((handle, evidence)) = &mut self.fleet else { return };
        let runtime = self.intent.runtime_settings(&self.settings, &self.operation_names);
        let warm_ratio = |started_at: Option<Ms>| match started_at {
            Some(started_at) if now < started_at + runtime.warm_up => runtime.cold_share,
            _ => 1.0,
        };
        let names = &self.names;
        let entries = self.registry.workers();
        let entries =
            entries.map(|entry| (entry, names.zones.name(entry.zone.0.into()), warm_ratio(entry.started_at)));
        let streams = self.connections.streams.values();
        let proxies = streams.map(|stream| {
            (names.zones.name(stream.zone.0.into()), matches!(stream.presence, Presence::Silent { .. }))
        });
        let report = evidence.report(now, self.settings.report_period, entries, proxies);
        report.into_iter().for_each(|report| handle.report_evidence(report));
    }
}
