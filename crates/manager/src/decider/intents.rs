//! Checks and applies the intents of operators and the failover plans of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperrail_fleet::ZoneWeightRatios;
use juniperrail_intent::{
    check_change, check_placements, AdmissionContext, ComposedWorker, DesiredState, Intent, IntentChange,
    Refusal,
};
use juniperrail_interface::{Event, Phase, ZoneId};
use juniperrail_northbound::{PlannerRequest, Verdict};

use super::Decider;

impl Decider {
    /// Answers a northbound request in this turn.
    pub(super) fn answer_request(&mut self, request: PlannerRequest) {
        // The requester may be gone, so errors from sending the reply are ignored.
        match request {
            PlannerRequest::State(reply) => _ = reply.send(Arc::new(self.operational_state())),
            PlannerRequest::Validate { intent, reply } => {
                _ = reply.send(self.verdict(&intent, IntentChange::Commit));
            }
            PlannerRequest::Apply { number, author, intent, change, reply } => {
                let _change = tracing::info_span!("change", number, by = author).entered();
                let verdict = self.verdict(&intent, change);
                match &verdict {
                    Ok(()) => {
                        let workers: BTreeSet<String> =
                            self.intent.changed_workers(&intent).map(str::to_string).collect();
                        tracing::info!("change {number} by {author} is accepted: {} workers", workers.len());
                        self.progress.record(self.clock.now(), number, &author, workers);
                        self.apply_intent(*intent, change);
                    }
                    Err(refusals) => {
                        let reason = refusals.first().map(ToString::to_string).unwrap_or_default();
                        tracing::info!("a change by {author} is refused: {reason}");
                    }
                }
                _ = reply.send(verdict);
            }
        }
    }

    /// Whether an intent may be applied now, and if not, why.
    pub(super) fn verdict(&self, intent: &Intent, change: IntentChange) -> Verdict {
        let refusals = self.check_intent(intent, change);
        if refusals.is_empty() {
            Ok(())
        } else {
            Err(refusals)
        }
    }

    /// The reasons to refuse an intent.
    pub(super) fn check_intent(&self, intent: &Intent, change: IntentChange) -> Vec<Refusal> {
        let new_workers = self.registry.composed_with_intent(intent, change, &self.names);
        let mut refusals = self.check_composed(&new_workers, intent);
        // A rollback restores what ran before: it must not fail because discovery lists a worker no longer.
        if change != IntentChange::Rollback {
            refusals.extend(check_placements(&self.registry.composed(&self.names), &new_workers));
        }
        refusals
    }

    /// The reasons to refuse a change after which the workers would be composed as in `new_workers`.
    pub(super) fn check_composed(
        &self,
        new_workers: &BTreeMap<String, ComposedWorker>,
        intent: &Intent,
    ) -> Vec<Refusal> {
        let names = &self.names;
        let order_writer = &self.order_writer;
        let context = AdmissionContext {
            now: self.clock.now(),
            settings: &self.settings,
            operation_names: &self.operation_names,
            zone_name: &|zone| names.zones.name(zone.0.into()).to_string(),
            is_known_zone: &|zone| {
                self.settings.zones.iter().any(|known| names.zones.name(known.0.into()) == zone)
            },
            joined_proxies: self.connections.joined().count(),
            proxies_with_line: &|worker| order_writer.proxies_with_line(worker),
        };
        check_change(&context, &self.registry.composed(names), new_workers, intent)
    }

    /// Applies an intent from this turn on. The caller has checked it, or has read it from the operator's file at the
    /// start.
    pub(super) fn apply_intent(&mut self, intent: Intent, change: IntentChange) {
        let runtime = intent.runtime_settings(&self.settings, &self.operation_names);
        if runtime != self.intent.runtime_settings(&self.settings, &self.operation_names) {
            self.events.push(Event::SettingsChanged(runtime));
        }
        if let Some(event) = self.registry.apply_intent(&intent, change, &mut self.names) {
            if let Event::List { workers, .. } = &event {
                // A worker that was excluded and then forgotten may still be excluded at proxies under its earlier id.
                // Without this record the worker would stay excluded when it comes back.
                workers.iter().for_each(|entry| self.order_writer.mark_maybe_excluded(entry.worker));
            }
            self.apply_list(event);
        }
        self.intent = intent;
    }

    /// Warns of workers that the operator's file wants ready and that discovery reported as draining before the start.
    pub(super) fn warn_of_kept_drains(&self) {
        let composed = self.registry.composed(&self.names);
        let wants_ready = |name: &str| {
            self.intent.workers.get(name).is_some_and(|worker| worker.desired_state == DesiredState::Ready)
        };
        let is_kept = |(name, worker): &(&String, &ComposedWorker)| {
            worker.discovery_phase == Some(Phase::Draining) && wants_ready(name)
        };
        let kept: Vec<&String> = composed.iter().filter(is_kept).map(|(name, _)| name).collect();
        if let Some(first) = kept.first() {
            tracing::warn!(
                "{} workers stay draining although the operator's file wants them ready, the first: {first}; nothing shows that \
                 this was wanted after the drain",
                kept.len()
            );
        }
    }

    /// Applies the weight ratios of a failover plan from this turn on. A plan that the admission checks refuse,
    /// for example because it would leave an operation without a ready worker, is not applied.
    pub(super) fn apply_plan(&mut self, ratios: &ZoneWeightRatios) {
        let zone_id = |zone: &str| self.names.zones.find_id(zone).map(|id| ZoneId(id as u16));
        let ratios: BTreeMap<ZoneId, f64> =
            ratios.iter().filter_map(|(zone, ratio)| Some((zone_id(&zone.0)?, *ratio))).collect();
        let refusals =
            self.check_composed(&self.registry.composed_with_plan(&ratios, &self.names), &self.intent);
        if let Some(refusal) = refusals.first() {
            return tracing::warn!("the failover plan is not applied: {refusal}");
        }
        if let Some(event) = self.registry.apply_plan(ratios, &self.names) {
            self.apply_list(event);
        }
    }
}
