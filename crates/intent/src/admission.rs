//! The admission checks of a commit. A change is checked against the state of the manager at the time of the commit
//! and refused if it could not be fulfilled in that state. Later events are left to the planner.

use std::collections::BTreeMap;
use std::fmt;

use juniperrail_interface::{Ms, Operation, Phase, Settings, WorkerId, ZoneId};

use crate::compose::ComposedWorker;
use crate::intent::Intent;

/// The share of the drain grace that may be spent on notifying the proxies. The planner may use the rest to wait for
/// acknowledgements of the replacement workers.
const NOTIFY_SHARE: f64 = 0.5;
/// The number of times that the channel must be able to carry a change in time, as a change is sent again if an
/// acknowledgement is lost or a stream breaks.
const SENDS_PER_CHANGE: f64 = 2.0;
/// A configuration with more workers is taken for a mistake, as each worker adds a line to every table.
const MAX_WORKERS: usize = 4096;

/// The state of the manager that a change is checked against.
pub struct AdmissionContext<'a> {
    pub now: Ms,
    /// The settings, whose figures bound what an operator may configure.
    pub settings: &'a Settings,
    /// The names of the operations, in the order of the settings.
    pub operation_names: &'a [String],
    pub zone_name: &'a dyn Fn(ZoneId) -> String,
    pub is_known_zone: &'a dyn Fn(&str) -> bool,
    pub joined_proxies: usize,
    /// The number of joined proxies whose tables have a line of the worker.
    pub proxies_with_line: &'a dyn Fn(WorkerId) -> usize,
}

/// A reason to refuse a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// No ready, warm worker would be left that serves the operation (for the proxies of `zone`, if given).
    NoReadyWorker {
        operation: String,
        zone: Option<String>,
        /// The ready workers that the operation would lose by the change.
        departing: Vec<String>,
    },
    /// A figure is looser than the same figure of the settings.
    LooserThanSettings {
        figure: String,
        requested: f64,
        bound: f64,
    },
    /// The drain grace is too short to notify all proxies of a departure at the channel's rate.
    GraceTooShort {
        requested: Ms,
        min: Ms,
    },
    /// Sending the change twice takes more lines than the channel can carry in the available time.
    TooManyLines {
        /// The lines of sending it twice, with the overhead of the messages.
        lines: f64,
        max_lines: f64,
    },
    /// The limit on messages per proxy leaves no room to send a change a second time.
    NoSecondMessage {
        max_messages: f64,
    },
    UnknownZone {
        worker: String,
        zone: String,
    },
    UnknownOperation {
        operation: String,
    },
    TooManyWorkers {
        requested: usize,
    },
    BadWeight {
        worker: String,
        weight: f64,
    },
}

impl Refusal {
    /// The path of the data node concerned, for RFC 6241's `error-path`.
    pub fn path(&self) -> String {
        let worker = |name: &str| format!("/jrm:workers/worker[name='{name}']");
        match self {
            Refusal::NoReadyWorker { departing, .. } if departing.len() == 1 => worker(&departing[0]),
            Refusal::NoReadyWorker { .. } | Refusal::TooManyLines { .. } => "/jrm:workers".into(),
            Refusal::NoSecondMessage { .. } | Refusal::TooManyWorkers { .. } => "/jrm:workers".into(),
            Refusal::LooserThanSettings { figure, .. } => format!("/jrm:figures/{figure}"),
            Refusal::GraceTooShort { .. } => "/jrm:figures/drain-grace".into(),
            Refusal::UnknownZone { worker: name, .. } => format!("{}/place/zone", worker(name)),
            Refusal::UnknownOperation { operation } => format!("/jrm:figures/operation[name='{operation}']"),
            Refusal::BadWeight { worker: name, .. } => format!("{}/weight", worker(name)),
        }
    }

    /// A machine-readable identifier of the reason, for RFC 6241's `error-app-tag`.
    pub fn error_app_tag(&self) -> &'static str {
        match self {
            Refusal::NoReadyWorker { .. } => "no-ready-worker",
            Refusal::LooserThanSettings { .. } => "looser-than-settings",
            Refusal::GraceTooShort { .. } => "grace-too-short",
            Refusal::TooManyLines { .. } => "too-many-lines",
            Refusal::NoSecondMessage { .. } => "no-second-message",
            Refusal::UnknownZone { .. } => "unknown-zone",
            Refusal::UnknownOperation { .. } => "unknown-operation",
            Refusal::TooManyWorkers { .. } => "too-many-workers",
            Refusal::BadWeight { .. } => "bad-weight",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NoReadyWorker { operation, zone, departing } => {
                write!(f, "{operation} would have no ready, warm worker")?;
                zone.iter().try_for_each(|zone| write!(f, " for its proxies in zone {zone}"))?;
                write!(f, " without {}; make another worker ready first", abbreviated(departing))
            }
            Refusal::LooserThanSettings { figure, requested, bound } => {
                write!(f, "{figure} {requested} is looser than the settings' {bound} and may only be tightened")
            }
            Refusal::GraceTooShort { requested, min } => write!(
                f,
                "a drain grace of {requested} ms is too short: to notify all proxies at the channel's rate it must be at least {min:.0} ms"
            ),
            Refusal::TooManyLines { lines, max_lines } => write!(
                f,
                "sending the change twice takes {lines:.0} lines and the channel carries {max_lines:.0} in time; split the change"
            ),
            Refusal::NoSecondMessage { max_messages } => {
                write!(f, "a proxy may be sent {max_messages} messages in the counted period, too few to send it twice")
            }
            Refusal::UnknownZone { worker, zone } => {
                write!(f, "{worker} cannot be placed in zone {zone}, which the settings don't name")
            }
            Refusal::UnknownOperation { operation } => {
                write!(f, "there is no operation {operation} in the settings")
            }
            Refusal::TooManyWorkers { requested } => {
                write!(f, "{requested} workers are configured and at most {MAX_WORKERS} are allowed")
            }
            Refusal::BadWeight { worker, weight } => write!(f, "{worker} cannot have the weight {weight}, which must be finite and not negative"),
        }
    }
}

/// Names the first two workers and the number of the others.
fn abbreviated(names: &[String]) -> String {
    match names {
        [] => "no worker".into(),
        [first] => first.clone(),
        [first, second] => format!("{first} and {second}"),
        [first, second, others @ ..] => format!("{first}, {second} and {} more", others.len()),
    }
}

/// Checks a change; returns the reasons to refuse it, none if it is admitted. `before` and `after` are the workers as
/// composed without and with the change.
pub fn check_change(
    context: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let mut refusals = check_against_settings(context, intent);
    refusals.extend(check_ready_workers(context, before, after, intent));
    refusals.extend(check_channel_load(context, before, after, intent));
    refusals
}

/// Performs the checks that depend only on the intent and the settings, not on the state of the workers.
pub fn check_against_settings(context: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let mut refusals = check_values(context, intent);
    refusals.extend(check_figures(context, intent));
    refusals
}

/// Checks the number of workers and their weights, and that every zone and operation exists in the settings.
fn check_values(context: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    if intent.workers.len() > MAX_WORKERS {
        refusals.push(Refusal::TooManyWorkers { requested: intent.workers.len() });
    }
    for (worker, worker_intent) in &intent.workers {
        let worker = worker.clone();
        if let Some(weight) = worker_intent.weight.filter(|weight| !weight.is_finite() || *weight < 0.0) {
            refusals.push(Refusal::BadWeight { worker, weight });
        } else if let Some(placement) =
            worker_intent.placement.as_ref().filter(|placement| !(context.is_known_zone)(&placement.zone))
        {
            refusals.push(Refusal::UnknownZone { worker, zone: placement.zone.clone() });
        }
    }
    let unknown = intent.operations.keys().filter(|name| !context.operation_names.contains(name));
    refusals.extend(unknown.map(|operation| Refusal::UnknownOperation { operation: operation.clone() }));
    refusals
}

/// Checks the figures against the settings, which are guarantees to proxies and clients: an operator may tighten them,
/// never loosen them.
fn check_figures(context: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let settings = context.settings;
    let mut refusals = Vec::new();
    let mut check_bound = |figure: &str, requested: Option<f64>, bound: f64, is_upper_bound: bool| {
        let is_looser =
            |requested: &f64| if is_upper_bound { *requested > bound } else { *requested < bound };
        if let Some(requested) = requested.filter(is_looser) {
            refusals.push(Refusal::LooserThanSettings { figure: figure.into(), requested, bound });
        }
    };
    check_bound("drain-grace", intent.drain_grace, settings.drain_grace, true);
    check_bound("warm-up", intent.warm_up, settings.warm_up, false);
    check_bound("cold-share", intent.cold_share, settings.cold_share, true);
    check_bound("overload-factor", intent.overload_factor, settings.overload_factor, true);
    let min = min_grace(context);
    if let Some(requested) = intent.drain_grace.filter(|requested| *requested < min) {
        refusals.push(Refusal::GraceTooShort { requested, min });
    }
    refusals
}

/// The shortest drain grace that is admitted: the time to notify all proxies of one departure at the channel's rate,
/// divided by the share of the grace that may be spent on it. The grace of the settings always passes, as an operator
/// cannot choose a longer one.
fn min_grace(context: &AdmissionContext<'_>) -> Ms {
    let settings = context.settings;
    if settings.channel_rate <= 0.0 {
        return 0.0;
    }
    // Each expected proxy is sent one message with two lines: the departure and its mark.
    let lines = expected_proxies(context) * (settings.message_overhead + 2.0);
    let notify_time = lines * 1000.0 / settings.channel_rate + settings.max_transit;
    (notify_time / NOTIFY_SHARE).min(settings.drain_grace)
}

/// The number of proxies to allow for: this manager's share of all proxies, or the joined proxies if they are more.
fn expected_proxies(context: &AdmissionContext<'_>) -> f64 {
    (context.settings.proxy_count / context.settings.manager_count.max(1.0))
        .max(context.joined_proxies as f64)
}

/// Whether the worker is ready and its warm-up, as the intent or else the settings give it, has passed.
fn is_ready_and_warm(context: &AdmissionContext<'_>, intent: &Intent, composed: &ComposedWorker) -> bool {
    let warm_up = intent.warm_up.unwrap_or(context.settings.warm_up);
    let warm = composed.entry.started_at.is_none_or(|started_at| context.now >= started_at + warm_up);
    composed.entry.phase == Phase::Ready && warm
}

/// Whether the worker serves the operation, for proxies of the zone if one is given.
fn serves(operation: &Operation, zone: Option<ZoneId>, composed: &ComposedWorker) -> bool {
    operation.zones.as_ref().is_none_or(|zones| zones.contains(&composed.entry.zone))
        && operation.machines.as_ref().is_none_or(|machines| machines.contains(&composed.entry.machine))
        && zone.is_none_or(|zone| zone == composed.entry.zone)
}

/// Refuses a change that takes away ready workers of an operation and leaves it without a ready, warm one. An operation
/// that has none already must not lose a ready worker that is still warming up either.
fn check_ready_workers(
    context: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    for (operation, operation_name) in context.settings.operations.iter().zip(context.operation_names) {
        let zones: Vec<Option<ZoneId>> = match operation.own_zone_only {
            true => context.settings.zones.iter().copied().map(Some).collect(),
            false => vec![None],
        };
        for zone in zones {
            let is_ready_to_serve = |composed: &ComposedWorker| {
                composed.entry.phase == Phase::Ready && serves(operation, zone, composed)
            };
            let any_ready_and_warm = |workers: &BTreeMap<String, ComposedWorker>| {
                workers.values().any(|composed| {
                    is_ready_to_serve(composed) && is_ready_and_warm(context, intent, composed)
                })
            };
            let departs = |name: &String| !after.get(name).is_some_and(is_ready_to_serve);
            let departing: Vec<String> = before
                .iter()
                .filter(|(name, previous)| is_ready_to_serve(previous) && departs(name))
                .map(|(name, _)| name.clone())
                .collect();
            if !departing.is_empty() && !any_ready_and_warm(after) {
                let zone = zone.map(context.zone_name);
                refusals.push(Refusal::NoReadyWorker { operation: operation_name.clone(), zone, departing });
            }
        }
    }
    refusals
}

/// Refuses a change that would fill the channel so far that drains could not be sent in time.
fn check_channel_load(
    context: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let settings = context.settings;
    let (mut lines, mut max_receivers, mut any_departure) = (0.0, 0.0f64, false);
    for (name, current) in after {
        let previous = before.get(name);
        let phase_of =
            |composed: Option<&ComposedWorker>| composed.map_or(Phase::Gone, |composed| composed.entry.phase);
        let readiness_changed = (phase_of(previous) == Phase::Ready) != (current.entry.phase == Phase::Ready);
        let weight_changed = previous.is_some_and(|previous| previous.entry.weight != current.entry.weight);
        if !(readiness_changed || weight_changed && current.entry.phase == Phase::Ready) {
            continue;
        }
        let departs = readiness_changed && current.entry.phase != Phase::Ready;
        any_departure |= departs;
        // A worker that becomes ready is sent to all proxies, any other change only to those with a line of the worker.
        let receivers = if readiness_changed && !departs {
            expected_proxies(context)
        } else {
            (context.proxies_with_line)(current.entry.worker) as f64
        };
        max_receivers = max_receivers.max(receivers);
        lines += receivers * if readiness_changed { 2.0 } else { 1.0 };
    }
    if lines == 0.0 || settings.channel_rate <= 0.0 {
        return Vec::new();
    }
    let mut refusals = Vec::new();
    let lines = SENDS_PER_CHANGE * (lines + max_receivers * (settings.message_overhead + 1.0));
    let grace = intent.drain_grace.unwrap_or(settings.drain_grace);
    let available_time = if any_departure {
        (grace - settings.max_transit).max(0.0)
    } else {
        settings.message_window.max(grace)
    };
    let max_lines = settings.channel_rate * available_time / 1000.0;
    if lines > max_lines {
        refusals.push(Refusal::TooManyLines { lines, max_lines });
    }
    if settings.max_messages_per_window < SENDS_PER_CHANGE {
        refusals.push(Refusal::NoSecondMessage { max_messages: settings.max_messages_per_window });
    }
    refusals
}

#[cfg(test)]
mod tests {
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
            let mut manager = TestManager {
                settings: settings(),
                composer: Composer::default(),
                running: Intent::default(),
            };
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
            worker_names
                .filter_map(|name| Some((name.clone(), composer.compose(&name, placed_entry)?)))
                .collect()
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
        let manager = TestManager::new();
        let mut both = manager.with_worker("s-1", desired(DesiredState::Out));
        both.workers.insert("s-3".into(), desired(DesiredState::Draining));
        let refusals = manager.check(&both);
        assert!(refusals[0].to_string().contains("without s-1 and s-3"), "{}", refusals[0]);
        both.workers.insert(
            "s-9".into(),
            WorkerIntent { placement: Some(placement("b")), ..WorkerIntent::default() },
        );
        assert!(manager.check(&both).is_empty(), "the same change adds a replacement");
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
            let workers =
                (4..4 + count).map(|worker| (format!("s-{worker}"), desired(DesiredState::Draining)));
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
            intent
                .workers
                .insert(name.into(), WorkerIntent { weight: Some(weight), ..WorkerIntent::default() });
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
}
