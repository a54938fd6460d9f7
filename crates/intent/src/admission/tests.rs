use super::*;
use crate::compose::{Composer, IntentChange};
use crate::intent::{DesiredState, OperationIntent, Placement, WorkerIntent};
use juniperrail_interface::{CellId, MachineId, WorkerEntry};

const NOW: Ms = 1_000_000.0;

fn operation(zones: Option<Vec<ZoneId>>, own_zone_only: bool) -> Operation {
    Operation { latency_objective: 500.0, billed_value: 1.0, zones, machines: None, own_zone_only }
}

fn settings() -> Settings {
    Settings {
        operations: vec![operation(None, false), operation(Some(vec![ZoneId(1)]), false)],
        zones: vec![ZoneId(0), ZoneId(1)],
        channel_rate: 5000.0,
        max_pending_lines: 5000.0,
        message_overhead: 4.0,
        max_messages_per_window: 12.0,
        message_window: 10_000.0,
        max_transit: 500.0,
        drain_grace: 3000.0,
        warm_up: 15_000.0,
        cold_share: 0.3,
        overload_factor: 4.0,
        proxy_count: 150.0,
        manager_count: 2.0,
        ..Settings::default()
    }
}

/// A manager with 75 of the 150 proxies joined, the zones a and b, and the operations `lookup` and `order`.
struct TestManager {
    settings: Settings,
    composer: Composer,
    running: Intent,
}

impl TestManager {
    /// Four workers, two in each zone. The operation `order` is served only in zone 1, named b.
    fn new() -> TestManager {
        let mut manager =
            TestManager { settings: settings(), composer: Composer::default(), running: Intent::default() };
        (0..4).for_each(|worker| manager.discover(worker, Phase::Ready, None));
        manager
    }

    fn discover(&mut self, worker: u32, phase: Phase, started_at: Option<Ms>) {
        let zone = ZoneId((worker % 2) as u16);
        let (machine, cell) = (MachineId(0), CellId(0));
        let entry =
            WorkerEntry { worker: WorkerId(worker), phase, started_at, zone, machine, cell, weight: 1.0 };
        self.composer.update_discovery(&format!("s-{worker}"), entry, None);
    }

    fn compose_all(&self, composer: &Composer) -> BTreeMap<String, ComposedWorker> {
        let placed_entry = |worker: &WorkerIntent| {
            let zone = ZoneId(u16::from(worker.placement.as_ref()?.zone == "b"));
            let (worker, machine, cell) = (WorkerId(9), MachineId(0), CellId(0));
            Some(WorkerEntry {
                worker,
                phase: Phase::Ready,
                started_at: None,
                zone,
                machine,
                cell,
                weight: 0.0,
            })
        };
        let worker_names = composer.worker_names().map(str::to_string);
        worker_names.filter_map(|name| Some((name.clone(), composer.compose(&name, placed_entry)?))).collect()
    }

    fn check(&self, intent: &Intent) -> Vec<Refusal> {
        let mut composer = self.composer.clone();
        composer.update_intent(intent, IntentChange::Commit);
        let context = AdmissionContext {
            now: NOW,
            settings: &self.settings,
            operation_names: &["lookup".to_string(), "order".to_string()],
            zone_name: &|zone| ["a", "b"][usize::from(zone.0)].to_string(),
            is_known_zone: &|zone| ["a", "b"].contains(&zone),
            joined_proxies: 75,
            proxies_with_line: &|_| 75,
        };
        check_change(&context, &self.compose_all(&self.composer), &self.compose_all(&composer), intent)
    }

    /// Makes the intent running if it is admitted.
    fn commit(&mut self, intent: Intent) -> Vec<Refusal> {
        let refusals = self.check(&intent);
        if refusals.is_empty() {
            self.composer.update_intent(&intent, IntentChange::Commit);
            self.running = intent;
        }
        refusals
    }

    /// The running intent, with the intent for one worker replaced.
    fn with_worker(&self, name: &str, worker: WorkerIntent) -> Intent {
        let mut intent = self.running.clone();
        intent.workers.insert(name.into(), worker);
        intent
    }
}

fn desired(desired_state: DesiredState) -> WorkerIntent {
    WorkerIntent { desired_state, ..WorkerIntent::default() }
}

fn tags(refusals: &[Refusal]) -> Vec<&'static str> {
    refusals.iter().map(Refusal::error_app_tag).collect()
}

#[test]
fn a_departure_of_any_kind_is_refused_if_an_operation_would_have_no_ready_worker() {
    for departure in [
        desired(DesiredState::Draining),
        desired(DesiredState::Out),
        WorkerIntent { weight: Some(0.0), ..WorkerIntent::default() },
    ] {
        let mut manager = TestManager::new();
        assert!(
            manager.commit(manager.with_worker("s-1", departure.clone())).is_empty(),
            "the first departure is admitted"
        );
        let refusals = manager.commit(manager.with_worker("s-3", departure.clone()));
        assert_eq!(
            tags(&refusals),
            ["no-ready-worker"],
            "the second departure is refused after the first, although it would be admitted alone"
        );
        let message = refusals[0].to_string();
        assert!(message.contains("order would have no ready, warm worker without s-3"), "{message}");
        assert_eq!(refusals[0].path(), "/jrm:workers/worker[name='s-3']");
        assert!(
            manager.commit(manager.with_worker("s-2", departure)).is_empty(),
            "other workers are ready for the operation lookup"
        );
    }
    let mut manager = TestManager::new();
    manager.discover(5, Phase::Draining, None);
    let mut both = manager.with_worker("s-1", desired(DesiredState::Out));
    both.workers.insert("s-3".into(), desired(DesiredState::Draining));
    let refusals = manager.check(&both);
    assert!(refusals[0].to_string().contains("without s-1 and s-3"), "{}", refusals[0]);
    let mut with_placed = both.clone();
    with_placed
        .workers
        .insert("s-9".into(), WorkerIntent { placement: Some(placement("b")), ..WorkerIntent::default() });
    assert_eq!(
        tags(&manager.check(&with_placed)),
        ["no-ready-worker"],
        "a worker that discovery does not list is no replacement"
    );
    both.workers.insert("s-5".into(), desired(DesiredState::Ready));
    assert!(manager.check(&both).is_empty(), "the same change adds a replacement");
}

#[test]
fn placing_a_worker_that_discovery_does_not_list_is_refused_and_prevents_no_other_change() {
    let mut manager = TestManager::new();
    let placed = WorkerIntent { placement: Some(placement("b")), ..WorkerIntent::default() };
    let compose_with = |manager: &TestManager, intent: &Intent, change: IntentChange| {
        let mut composer = manager.composer.clone();
        composer.update_intent(intent, change);
        manager.compose_all(&composer)
    };
    let with_unlisted = manager.with_worker("s-9", placed.clone());
    let before = manager.compose_all(&manager.composer);
    let refusals = check_placements(&before, &compose_with(&manager, &with_unlisted, IntentChange::Commit));
    assert_eq!(tags(&refusals), ["unlisted-worker"]);
    assert_eq!(refusals[0].path(), "/jrm:workers/worker[name='s-9']/place");
    let with_listed = manager.with_worker("s-1", placed);
    assert!(check_placements(&before, &compose_with(&manager, &with_listed, IntentChange::Commit)).is_empty());
    // The operator's file may have placed it before.
    manager.composer.update_intent(&with_unlisted, IntentChange::Startup);
    let before = manager.compose_all(&manager.composer);
    let mut with_other = with_unlisted;
    with_other.workers.insert("s-0".into(), desired(DesiredState::Draining));
    assert!(check_placements(&before, &compose_with(&manager, &with_other, IntentChange::Commit)).is_empty());
}

fn placement(zone: &str) -> Placement {
    Placement { zone: zone.into(), machine: String::new(), cell: None, address: None }
}

#[test]
fn an_operation_served_in_the_proxys_own_zone_needs_a_ready_worker_in_each_zone() {
    let mut manager = TestManager::new();
    manager.settings.operations = vec![operation(None, true), operation(None, false)];
    assert!(manager.commit(manager.with_worker("s-0", desired(DesiredState::Draining))).is_empty());
    let refusals = manager.commit(manager.with_worker("s-2", desired(DesiredState::Draining)));
    assert!(refusals[0]
        .to_string()
        .starts_with("lookup would have no ready, warm worker for its proxies in zone a"));
}

#[test]
fn a_cold_or_draining_worker_does_not_replace_a_departing_one() {
    let mut manager = TestManager::new();
    manager.discover(3, Phase::Ready, Some(NOW - 10_000.0));
    assert_eq!(
        tags(&manager.check(&manager.with_worker("s-1", desired(DesiredState::Draining)))),
        ["no-ready-worker"]
    );
    manager.discover(3, Phase::Ready, Some(NOW - 20_000.0));
    assert!(
        manager.check(&manager.with_worker("s-1", desired(DesiredState::Draining))).is_empty(),
        "s-3 has warmed up"
    );
    manager.discover(3, Phase::Draining, None);
    let refusals = manager.check(&manager.with_worker("s-1", desired(DesiredState::Draining)));
    assert_eq!(tags(&refusals), ["no-ready-worker"]);
    // The operation order has no ready worker left; a change that takes none away from it is still admitted.
    manager.discover(1, Phase::Gone, None);
    assert!(manager.check(&manager.with_worker("s-0", desired(DesiredState::Draining))).is_empty());
    assert!(manager.check(&manager.with_worker("s-3", desired(DesiredState::Ready))).is_empty());
}

#[test]
fn figures_may_be_tighter_than_the_settings_and_never_looser() {
    let manager = TestManager::new();
    let tighter = Intent {
        drain_grace: Some(2000.0),
        warm_up: Some(20_000.0),
        cold_share: Some(0.2),
        overload_factor: Some(3.0),
        operations: BTreeMap::from([(
            "order".to_string(),
            OperationIntent { latency_objective: Some(400.0), billed_value: Some(5.0) },
        )]),
        ..Intent::default()
    };
    assert!(manager.check(&tighter).is_empty());
    let looser = Intent {
        drain_grace: Some(3000.5),
        warm_up: Some(14_999.0),
        cold_share: Some(0.31),
        overload_factor: Some(4.5),
        ..Intent::default()
    };
    let refusals = manager.check(&looser);
    assert_eq!(tags(&refusals), ["looser-than-settings"; 4]);
    assert_eq!(refusals[0].path(), "/jrm:figures/drain-grace");
    assert!(refusals[0].to_string().contains("3000.5 is looser than the settings' 3000"));
}

#[test]
fn a_drain_grace_must_leave_the_channel_time_to_notify_all_proxies() {
    let mut manager = TestManager::new();
    let with_grace = |drain_grace| Intent { drain_grace: Some(drain_grace), ..Intent::default() };
    // 75 proxies with 6 lines each at 5,000 lines/s take 90 ms, plus 500 ms of transit, doubled.
    assert!(manager.check(&with_grace(1180.0)).is_empty());
    let refusals = manager.check(&with_grace(1179.0));
    assert_eq!(tags(&refusals), ["grace-too-short"]);
    assert!(refusals[0].to_string().contains("at least 1180 ms"), "{}", refusals[0]);
    manager.settings.channel_rate = 300.0;
    assert!(manager.check(&with_grace(3000.0)).is_empty(), "the grace of the settings always passes");
    assert_eq!(tags(&manager.check(&with_grace(2900.0))), ["grace-too-short"]);
}

#[test]
fn a_change_must_fit_the_channel_twice() {
    let mut manager = TestManager::new();
    (4..90).for_each(|worker| manager.discover(worker, Phase::Ready, None));
    let drains = |count: u32| {
        let workers = (4..4 + count).map(|worker| (format!("s-{worker}"), desired(DesiredState::Draining)));
        Intent { workers: workers.collect(), ..Intent::default() }
    };
    // Sent twice to 75 proxies: two lines per worker and five lines of overhead per message, at 5,000 lines/s in
    // 2.5 s.
    assert!(manager.check(&drains(39)).is_empty());
    assert_eq!(tags(&manager.check(&drains(40))), ["too-many-lines"]);
    let weights = |count: u32| {
        let weight = WorkerIntent { weight: Some(2.0), ..WorkerIntent::default() };
        let workers = (4..4 + count).map(|worker| (format!("s-{worker}"), weight.clone()));
        Intent { workers: workers.collect(), ..Intent::default() }
    };
    assert!(
        manager.check(&weights(80)).is_empty(),
        "no worker departs, so the available time is the message window of 10 s"
    );
    manager.settings.max_messages_per_window = 1.0;
    assert_eq!(tags(&manager.check(&drains(1))), ["no-second-message"]);
}

#[test]
fn unknown_names_invalid_weights_and_too_many_workers_are_refused() {
    let manager = TestManager::new();
    let mut intent = manager.with_worker(
        "s-9",
        WorkerIntent { placement: Some(placement("nowhere")), ..WorkerIntent::default() },
    );
    intent.operations.insert("shout".into(), OperationIntent::default());
    for (name, weight) in [("s-0", f64::NAN), ("s-1", -1.0), ("s-2", f64::INFINITY)] {
        intent.workers.insert(name.into(), WorkerIntent { weight: Some(weight), ..WorkerIntent::default() });
    }
    let refusals = manager.check(&intent);
    let tags = tags(&refusals);
    assert_eq!(tags.iter().filter(|tag| **tag == "bad-weight").count(), 3);
    assert!(tags.contains(&"unknown-zone") && tags.contains(&"unknown-operation"));
    let too_many = (0..=MAX_WORKERS).map(|n| (format!("x-{n}"), WorkerIntent::default())).collect();
    assert_eq!(
        manager.check(&Intent { workers: too_many, ..Intent::default() })[0].error_app_tag(),
        "too-many-workers"
    );
}
