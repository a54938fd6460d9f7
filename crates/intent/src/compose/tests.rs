use super::*;
use juniperrail_interface::{CellId, MachineId};

fn listed(phase: Phase, weight: f64, started_at: Option<f64>) -> WorkerEntry {
    let (zone, machine, cell) = (ZoneId(0), MachineId(0), CellId(0));
    WorkerEntry { worker: WorkerId(1), phase, started_at, zone, machine, cell, weight }
}

fn intent(worker: WorkerIntent) -> Intent {
    Intent { workers: BTreeMap::from([("s-1".to_string(), worker)]), ..Intent::default() }
}

fn desired(desired_state: DesiredState, weight: Option<f64>) -> Intent {
    intent(WorkerIntent { desired_state, weight, placement: None })
}

/// A composer with the one worker `s-1`.
struct OneWorker(Composer);

impl OneWorker {
    fn discover(&mut self, phase: Phase, weight: f64) {
        self.0.update_discovery("s-1", listed(phase, weight, None), None);
    }

    fn phase(&self) -> (Phase, Origin) {
        let composed = self.0.compose("s-1", |_| Some(listed(Phase::Ready, 0.0, None))).unwrap();
        (composed.entry.phase, composed.phase_origin)
    }

    fn weight(&self) -> (f64, Option<Origin>) {
        let composed = self.0.compose("s-1", |_| Some(listed(Phase::Ready, 0.0, None))).unwrap();
        (composed.entry.weight, composed.weight_origin)
    }
}

use Origin::{Discovery, Operator};
use Phase::*;

#[test]
fn the_later_phase_takes_precedence_and_a_departure_overrides_earlier_values() {
    let mut worker = OneWorker(Composer::default());
    worker.discover(Draining, 1.0);
    worker.0.update_intent(&desired(DesiredState::Ready, None), IntentChange::Commit);
    assert_eq!(worker.phase(), (Ready, Operator));
    worker.discover(Draining, 1.0);
    assert_eq!(worker.phase(), (Ready, Operator), "a repeated phase does not count as a later update");
    worker.discover(Ready, 1.0);
    worker.discover(Draining, 1.0);
    assert_eq!(worker.phase(), (Draining, Discovery), "a later departure overrides the operator's ready");
    assert!(worker.0.update_intent(&desired(DesiredState::Ready, None), IntentChange::Commit).is_empty());
    assert_eq!(worker.phase(), (Draining, Discovery), "a repeated intent does not count as a later update");
    worker.0.update_intent(&desired(DesiredState::Follow, None), IntentChange::Commit);
    worker.0.update_intent(&desired(DesiredState::Ready, None), IntentChange::Commit);
    assert_eq!(worker.phase(), (Ready, Operator));
}

#[test]
fn a_worker_that_discovery_reports_gone_stays_gone_until_listed_again() {
    let mut worker = OneWorker(Composer::default());
    worker.0.update_intent(&desired(DesiredState::Ready, None), IntentChange::Commit);
    worker.discover(Ready, 1.0);
    worker.discover(Gone, 1.0);
    assert_eq!(worker.phase(), (Gone, Discovery));
    worker.0.update_intent(&desired(DesiredState::Follow, None), IntentChange::Commit);
    worker.0.update_intent(&desired(DesiredState::Ready, None), IntentChange::Commit);
    assert_eq!(worker.phase(), (Gone, Discovery), "a later intent does not bring the worker back");
    worker.discover(Draining, 1.0);
    assert_eq!(
        worker.phase(),
        (Draining, Discovery),
        "once discovery lists the worker again, its phase is a new value"
    );
    worker.discover(Ready, 1.0);
    assert_eq!(worker.phase(), (Ready, Discovery));
    assert!(worker.0.mark_unlisted_gone(&|_| false) == ["s-1"] && worker.phase() == (Gone, Discovery));
    assert!(worker.0.mark_unlisted_gone(&|_| false).is_empty(), "a worker is marked gone only once");
}

#[test]
fn a_plan_has_the_lowest_precedence_and_no_effect_after_its_end() {
    let mut worker = OneWorker(Composer::default());
    let plan = |ratio: f64| BTreeMap::from([(ZoneId(0), ratio)]);
    worker.discover(Ready, 2.0);
    assert!(worker.0.update_plan(plan(0.25)) && !worker.0.update_plan(plan(0.25)));
    assert_eq!((worker.phase(), worker.weight()), ((Ready, Discovery), (0.5, Some(Origin::Plan))));
    worker.0.update_plan(plan(0.0));
    assert_eq!(worker.phase(), (Draining, Origin::Plan));
    worker.discover(Gone, 2.0);
    assert_eq!(worker.phase(), (Gone, Discovery), "a plan does not bring a worker back");
    worker.discover(Ready, 2.0);
    worker.0.update_intent(&desired(DesiredState::Out, None), IntentChange::Commit);
    assert_eq!(worker.phase(), (Gone, Operator));
    worker.0.update_intent(&desired(DesiredState::Ready, None), IntentChange::Commit);
    assert_eq!(
        worker.phase(),
        (Ready, Discovery),
        "the plan does not apply to a worker that the operator wants ready"
    );
    worker.0.update_intent(&Intent::default(), IntentChange::Commit);
    worker.discover(Ready, 0.0);
    worker.0.update_plan(plan(0.25));
    assert_eq!(
        worker.weight(),
        (0.25, Some(Origin::Plan)),
        "without any known weight, the plan's ratio applies to 1"
    );
    worker.0.update_plan(BTreeMap::new());
    assert_eq!((worker.phase(), worker.weight()), ((Ready, Discovery), (0.0, None)));
}

#[test]
fn a_departure_set_by_the_operator_holds_until_the_operator_reverts_it() {
    let mut worker = OneWorker(Composer::default());
    worker.discover(Ready, 1.0);
    for intent in [desired(DesiredState::Draining, None), desired(DesiredState::Follow, Some(0.0))] {
        assert_eq!(worker.0.update_intent(&intent, IntentChange::Commit), ["s-1"]);
        assert_eq!(worker.phase(), (Draining, Operator));
        worker.discover(Draining, 1.0);
        worker.discover(Ready, 1.0);
        worker.0.update_discovery("s-1", listed(Ready, 1.0, Some(5.0)), None);
        assert_eq!(worker.phase(), (Draining, Operator), "not even a restart undoes the operator's draining");
    }
    worker.0.update_intent(&desired(DesiredState::Out, None), IntentChange::Commit);
    assert_eq!(worker.phase(), (Gone, Operator));
    worker.discover(Draining, 1.0);
    assert_eq!(worker.phase(), (Gone, Operator));
    assert_eq!(worker.0.update_intent(&Intent::default(), IntentChange::Commit), ["s-1"]);
    assert_eq!(worker.phase(), (Draining, Discovery), "without an intent, discovery's phase holds");
}

#[test]
fn the_later_weight_takes_precedence_and_a_missing_weight_erases_none() {
    let mut worker = OneWorker(Composer::default());
    worker.discover(Ready, 2.0);
    worker.0.update_intent(&desired(DesiredState::Follow, Some(0.5)), IntentChange::Commit);
    assert_eq!(worker.weight(), (0.5, Some(Operator)));
    worker.discover(Draining, 2.0);
    assert_eq!(worker.weight(), (0.5, Some(Operator)), "an update of the phase does not change the weight");
    worker.discover(Ready, 3.0);
    assert_eq!(worker.weight(), (3.0, Some(Discovery)));
    worker.0.update_intent(&desired(DesiredState::Follow, Some(0.25)), IntentChange::Commit);
    worker.discover(Ready, 0.0);
    assert_eq!(worker.weight(), (0.25, Some(Operator)), "discovery gives no weight, so the operator's holds");
    worker.0.update_intent(&desired(DesiredState::Draining, None), IntentChange::Commit);
    assert_eq!(worker.weight(), (0.0, None));
}

#[test]
fn a_worker_that_only_the_operator_places_is_kept_back_until_discovery_lists_it() {
    let placement = Placement { zone: "a".into(), machine: String::new(), cell: None, address: None };
    let placed = intent(WorkerIntent { placement: Some(placement), ..WorkerIntent::default() });
    let mut worker = OneWorker(Composer::default());
    assert!(worker.0.compose("s-1", |_| None).is_none());
    worker.0.update_intent(&placed, IntentChange::Commit);
    assert_eq!((worker.phase(), worker.0.worker_names().count()), ((Gone, Discovery), 1));
    assert!(worker.0.compose("s-1", |_| Some(listed(Ready, 0.0, None))).unwrap().is_unlisted());
    worker.discover(Ready, 1.0);
    assert_eq!(worker.phase(), (Ready, Discovery), "listed, it is kept back no longer");
    worker.discover(Draining, 1.0);
    assert_eq!((worker.phase(), worker.0.worker_names().count()), ((Draining, Discovery), 1));
    worker.discover(Gone, 1.0);
    worker.0.forget("s-1");
    assert_eq!(worker.phase(), (Gone, Discovery), "the earlier placement does not bring the worker back");
    worker.0.update_intent(&placed, IntentChange::Commit);
    assert_eq!(worker.phase(), (Gone, Discovery));
    worker.discover(Ready, 1.0);
    assert_eq!(worker.phase(), (Ready, Discovery));
    worker.0.update_intent(&Intent::default(), IntentChange::Commit);
    assert!(worker.0.forget("s-1"), "discovery still lists it");
    worker.discover(Gone, 1.0);
    assert!(!worker.0.forget("s-1"));
    assert!(worker.0.worker_names().next().is_none(), "no entry is kept of a worker that no source names");
}
