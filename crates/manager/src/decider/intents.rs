//! What operators ask for, and what managers agreed on: judged, and taken over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperrail_fleet::ZoneWeightRatios;
use juniperrail_intent::{check_change, AdmissionContext, ComposedWorker, Intent, Refusal};
use juniperrail_interface::{Event, ZoneId};
use juniperrail_northbound::{PlannerRequest, Verdict};

use super::Decider;

impl Decider {
    /// What the north asks, answered in this turn.
    pub(super) fn answer_request(&mut self, ask: PlannerRequest) {
        // Whoever asked may be gone.
        match ask {
            PlannerRequest::State(tell) => _ = tell.send(Arc::new(self.state())),
            PlannerRequest::Validate { intent, verdict } => _ = verdict.send(self.verdict(&intent)),
            PlannerRequest::Apply { number, by, intent, verdict } => {
                let _change = tracing::info_span!("change", number, by).entered();
                let judged = self.verdict(&intent);
                match &judged {
                    Ok(()) => {
                        let workers: BTreeSet<String> =
                            self.intent.changed_workers(&intent).map(str::to_string).collect();
                        tracing::info!("change {number} by {by} is taken over: {} workers", workers.len());
                        self.progress.record(self.clock.now(), number, &by, workers);
                        self.apply_intent(*intent);
                    }
                    Err(why) => {
                        let why = why.first().map(ToString::to_string).unwrap_or_default();
                        tracing::info!("a change by {by} is refused: {why}");
                    }
                }
                _ = verdict.send(judged);
            }
        }
    }

    /// Whether an intent may be taken over now, and if not, why.
    pub(super) fn verdict(&self, intent: &Intent) -> Verdict {
        let refusals = self.check_intent(intent);
        if refusals.is_empty() {
            Ok(())
        } else {
            Err(refusals)
        }
    }

    /// What speaks against an intent.
    pub(super) fn check_intent(&self, intent: &Intent) -> Vec<Refusal> {
        self.check_composed(&self.roster.composed(Some(intent), &self.names), intent)
    }

    /// What speaks against workers being composed otherwise than now.
    pub(super) fn check_composed(
        &self,
        after: &BTreeMap<String, ComposedWorker>,
        intent: &Intent,
    ) -> Vec<Refusal> {
        let (names, plane) = (&self.names, &self.plane);
        let world = AdmissionContext {
            now: self.clock.now(),
            settings: &self.start,
            operation_names: &self.operations,
            zone_name: &|zone| names.zones.name(zone.0.into()).to_string(),
            is_known_zone: &|zone| {
                self.start.zones.iter().any(|known| names.zones.name(known.0.into()) == zone)
            },
            joined_proxies: self.presence.here().count(),
            proxies_with_line: &|worker| plane.readers(worker),
        };
        check_change(&world, &self.roster.composed(None, names), after, intent)
    }

    /// An intent that was judged, or that the file had at the start, holds from this turn on.
    pub(super) fn apply_intent(&mut self, intent: Intent) {
        let figures = intent.runtime_settings(&self.start, &self.operations);
        if figures != self.intent.runtime_settings(&self.start, &self.operations) {
            self.events.push(Event::SettingsChanged(figures));
        }
        if let Some(event) = self.roster.apply_intent(&intent, &mut self.names) {
            if let Event::List { workers, .. } = &event {
                // Guards against a worker that was out for long, forgotten, and stays shut out as it comes back.
                workers.iter().for_each(|listed| self.plane.doubt(listed.worker));
            }
            self.apply_list(event);
        }
        self.intent = intent;
    }

    /// What managers agreed on holds from this turn on, unless an operation would have nobody left by it.
    pub(super) fn apply_plan(&mut self, parts: &ZoneWeightRatios) {
        let id = |zone: &str| self.names.zones.find_id(zone).map(|id| ZoneId(id as u16));
        let parts: BTreeMap<ZoneId, f64> =
            parts.iter().filter_map(|(zone, part)| Some((id(&zone.0)?, *part))).collect();
        let refusals =
            self.check_composed(&self.roster.composed_with_plan(&parts, &self.names), &self.intent);
        if let Some(refusal) = refusals.first() {
            return tracing::warn!("the plan in common is not followed: {refusal}");
        }
        if let Some(event) = self.roster.apply_plan(parts, &self.names) {
            self.apply_list(event);
        }
    }
}
