//! What others are told of this manager: its state, how far changes have come, and what its proxies met.

use std::collections::BTreeSet;

use juniperrail_intent::{Change, ComposedWorker};
use juniperrail_interface::{Ms, WorkerId};
use juniperrail_northbound::{ChangeState, Notice, OperationalState, WorkerState};

use super::{Decider, PROGRESS_CHECK_EVERY};
use crate::fleet;

impl Decider {
    /// How far the changes that are under way have come.
    pub(super) fn check_progress(&mut self, now: Ms) {
        let due = now >= self.progress_checked_at + PROGRESS_CHECK_EVERY
            && self.progress.distributing().next().is_some();
        if !due {
            return;
        }
        self.progress_checked_at = now;
        let joined = self.presence.here().count();
        let open: Vec<(u64, BTreeSet<WorkerId>)> =
            self.progress.distributing().map(|c| (c.number, self.ids(c))).collect();
        for (number, workers) in open {
            let holding = self.planner.synced_proxy_count(&workers);
            if self.progress.update(now, number, holding, joined) {
                let after =
                    self.progress.all().find(|change| change.number == number).map_or(0.0, |c| now - c.at);
                tracing::info!("change {number} is held by all {joined} proxies after {after:.0} ms");
                let north = self.north.as_ref();
                north
                    .into_iter()
                    .for_each(|north| _ = north.notices.try_send(Notice::Applied { number, after }));
            }
        }
    }

    /// The workers that a change is about, as far as they are known.
    pub(super) fn ids(&self, change: &Change) -> BTreeSet<WorkerId> {
        change.workers.iter().filter_map(|name| self.names.workers.find_id(name).map(WorkerId)).collect()
    }

    /// The state as the model words it.
    pub(super) fn state(&self) -> OperationalState {
        let now = self.clock.now();
        let warm_up = self.intent.runtime_settings(&self.start, &self.operations).warm_up;
        let worker = |(name, composed): (String, ComposedWorker)| {
            let spelled = |name: Option<&str>| name.unwrap_or_default().to_string();
            WorkerState {
                name,
                zone: spelled(self.names.zones.get(composed.entry.zone.0.into())),
                machine: spelled(self.names.machines.get(composed.entry.machine.0.into())),
                warm: composed.entry.booted.is_none_or(|booted| now >= booted + warm_up),
                composed,
            }
        };
        let change = |change: &Change| ChangeState {
            number: change.number,
            by: change.author.clone(),
            age: now - change.at,
            stage: change.stage,
            applied_by: change.applied_proxies,
            joined: change.joined_proxies,
        };
        OperationalState {
            manager: self.name.clone(),
            list_version: self.roster.version,
            workers: self.roster.composed(None, &self.names).into_iter().map(worker).collect(),
            tables: self.plane.table_states(&self.names),
            proxies: self.plane.proxy_states(&self.names, &self.presence, now),
            pending_lines: self.planner.unacknowledged_lines(),
            max_pending_lines: self.start.max_pending_lines,
            changes: self.progress.all().map(change).collect(),
            fleet: self.fleet.as_ref().map(|(common, _)| fleet::state(common)),
        }
    }

    /// Tells what was met since, once a period.
    pub(super) fn report_evidence(&mut self, now: Ms) {
        let Some((common, evidence)) = &mut self.fleet else { return };
        let figures = self.intent.runtime_settings(&self.start, &self.operations);
        let warmth = |booted: Option<Ms>| match booted {
            Some(booted) if now < booted + figures.warm_up => figures.cold_share,
            _ => 1.0,
        };
        let names = &self.names;
        let listed = self.roster.workers();
        let listed = listed.map(|l| (l, names.zones.name(l.zone.0.into()), warmth(l.booted)));
        let streams = self.presence.streams.values();
        let proxies = streams.map(|s| (names.zones.name(s.zone.0.into()), s.silent.is_some()));
        let report = evidence.report(now, self.start.report_period, listed, proxies);
        report.into_iter().for_each(|report| common.report_evidence(report));
    }
}
