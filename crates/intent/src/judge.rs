//! What a commit is refused for. It is judged against the world as it is at that moment: whatever happens later is
//! the decisions' to bear, but nobody may ask for what already cannot be kept.

use std::collections::BTreeMap;
use std::fmt;

use juniperrail_interface::{Ms, Operation, Phase, Settings, WorkerId, ZoneId};

use crate::compose::ComposedWorker;
use crate::want::Intent;

/// What of the drain grace may go into telling the proxies; the decisions may use the rest to wait for answers
/// on the replacements.
const TELLING: f64 = 0.5;
/// Told once, and once more where an answer is lost or a stream breaks.
const TOLD: f64 = 2.0;
/// More workers are no wish but a mistake: every one of them is a line in every table.
const MOST_WORKERS: usize = 4096;

/// The world a change is judged in.
pub struct AdmissionContext<'a> {
    pub now: Ms,
    /// As the settings gave the figures: the bounds of what an operator may say.
    pub settings: &'a Settings,
    /// The operations' names, in the settings' order.
    pub operation_names: &'a [String],
    pub zone_name: &'a dyn Fn(ZoneId) -> String,
    pub is_known_zone: &'a dyn Fn(&str) -> bool,
    pub joined_proxies: usize,
    /// How many joined proxies hold a line of the worker.
    pub proxies_with_line: &'a dyn Fn(WorkerId) -> usize,
}

/// One reason for which a change is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// No worker would be left that is ready, warm and open to the operation; `zone`: to its proxies there.
    NoReadyWorker {
        operation: String,
        zone: Option<String>,
        left: Vec<String>,
    },
    /// A figure that is looser than the settings'.
    Looser {
        figure: String,
        requested: f64,
        bound: f64,
    },
    /// A grace in which the channel cannot tell all proxies of a departure.
    GraceTooShort {
        requested: Ms,
        min: Ms,
    },
    /// More lines than the channel can carry twice in the time there is.
    TooManyLines {
        lines: f64,
        max_lines: f64,
    },
    /// A proxy may not be sent a second message in time.
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
    /// The node of the model concerned, as a path.
    pub fn path(&self) -> String {
        let worker = |name: &str| format!("/jrm:workers/worker[name='{name}']");
        match self {
            Refusal::NoReadyWorker { left, .. } if left.len() == 1 => worker(&left[0]),
            Refusal::NoReadyWorker { .. } | Refusal::TooManyLines { .. } => "/jrm:workers".into(),
            Refusal::NoSecondMessage { .. } | Refusal::TooManyWorkers { .. } => "/jrm:workers".into(),
            Refusal::Looser { figure, .. } => format!("/jrm:figures/{figure}"),
            Refusal::GraceTooShort { .. } => "/jrm:figures/drain-grace".into(),
            Refusal::UnknownZone { worker: name, .. } => format!("{}/place/zone", worker(name)),
            Refusal::UnknownOperation { operation } => format!("/jrm:figures/operation[name='{operation}']"),
            Refusal::BadWeight { worker: name, .. } => format!("{}/weight", worker(name)),
        }
    }

    /// A short word for programs, RFC 6241's `error-app-tag`.
    pub fn error_app_tag(&self) -> &'static str {
        match self {
            Refusal::NoReadyWorker { .. } => "no-ready-worker",
            Refusal::Looser { .. } => "looser-than-settings",
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
            Refusal::NoReadyWorker { operation, zone, left } => {
                write!(f, "{operation} would have no ready, warm worker")?;
                zone.iter().try_for_each(|zone| write!(f, " for its proxies in zone {zone}"))?;
                write!(f, " once {} gives way; make another ready first", few(left))
            }
            Refusal::Looser { figure, requested, bound } => {
                write!(f, "{figure} {requested} is looser than the settings' {bound}, which proxies are promised")
            }
            Refusal::GraceTooShort { requested, min } => write!(
                f,
                "a drain grace of {requested} ms is too short: telling all proxies at the channel's pace takes {min:.0} ms of it"
            ),
            Refusal::TooManyLines { lines, max_lines } => write!(
                f,
                "the change takes {lines:.0} lines to tell twice and the channel carries {max_lines:.0} in time; split it"
            ),
            Refusal::NoSecondMessage { max_messages } => {
                write!(f, "a proxy may be sent {max_messages} messages in the time counted, too few to tell it twice")
            }
            Refusal::UnknownZone { worker, zone } => {
                write!(f, "{worker} cannot be placed in zone {zone}, which the settings don't name")
            }
            Refusal::UnknownOperation { operation } => {
                write!(f, "there is no operation {operation}; the settings name them")
            }
            Refusal::TooManyWorkers { requested } => {
                write!(f, "{requested} workers are named and at most {MOST_WORKERS} may be")
            }
            Refusal::BadWeight { worker, weight } => write!(f, "{worker} cannot have the weight {weight}"),
        }
    }
}

fn few(names: &[String]) -> String {
    match names {
        [] => "nobody".into(),
        [one] => one.clone(),
        [one, two] => format!("{one} and {two}"),
        [one, two, rest @ ..] => format!("{one}, {two} and {} more", rest.len()),
    }
}

/// Why a change may not be made; nothing where it may. `before` and `after` are the workers as composed without
/// and with it.
pub fn check_change(
    world: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let mut refusals = check_against_settings(world, intent);
    refusals.extend(bare(world, before, after, intent));
    refusals.extend(lines(world, before, after, intent));
    refusals
}

/// Why an intent may not hold in any world of these settings, whoever the workers are.
pub fn check_against_settings(world: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let mut refusals = worded(world, intent);
    refusals.extend(figures(world, intent));
    refusals
}

/// What is wrong by itself, in whatever world.
fn worded(world: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    if intent.workers.len() > MOST_WORKERS {
        refusals.push(Refusal::TooManyWorkers { requested: intent.workers.len() });
    }
    for (worker, wish) in &intent.workers {
        let worker = worker.clone();
        if let Some(weight) = wish.weight.filter(|weight| !weight.is_finite() || *weight < 0.0) {
            refusals.push(Refusal::BadWeight { worker, weight });
        } else if let Some(place) =
            wish.placement.as_ref().filter(|place| !(world.is_known_zone)(&place.zone))
        {
            refusals.push(Refusal::UnknownZone { worker, zone: place.zone.clone() });
        }
    }
    let unknown = intent.operations.keys().filter(|name| !world.operation_names.contains(name));
    refusals.extend(unknown.map(|operation| Refusal::UnknownOperation { operation: operation.clone() }));
    refusals
}

/// The settings' figures are what proxies and clients are promised: an operator may be stricter, never looser.
fn figures(world: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let settings = world.settings;
    let mut refusals = Vec::new();
    let mut bounded = |figure: &str, asked: Option<f64>, bound: f64, most: bool| {
        let looser = |asked: &f64| if most { *asked > bound } else { *asked < bound };
        if let Some(asked) = asked.filter(looser) {
            refusals.push(Refusal::Looser { figure: figure.into(), requested: asked, bound });
        }
    };
    bounded("drain-grace", intent.drain_grace, settings.drain_grace, true);
    bounded("warm-up", intent.warm_up, settings.warm_up, false);
    bounded("cold-share", intent.cold_share, settings.cold_share, true);
    bounded("overload-factor", intent.overload_factor, settings.overload_factor, true);
    let least = least_grace(world);
    if let Some(asked) = intent.drain_grace.filter(|asked| *asked < least) {
        refusals.push(Refusal::GraceTooShort { requested: asked, min: least });
    }
    refusals
}

/// The time that one departure takes to tell to all proxies, as the channel's pace has it, over what of the
/// grace may go into that. The settings' own grace is never too short, as nobody can choose another.
fn least_grace(world: &AdmissionContext<'_>) -> Ms {
    let settings = world.settings;
    if settings.channel_rate <= 0.0 {
        return 0.0;
    }
    // A hold and its mark in a message of its own, to each proxy that may join here.
    let lines = proxies(world) * (settings.message_overhead + 2.0);
    let told = lines * 1000.0 / settings.channel_rate + settings.max_transit;
    (told / TELLING).min(settings.drain_grace)
}

fn proxies(world: &AdmissionContext<'_>) -> f64 {
    (world.settings.proxy_count / world.settings.manager_count.max(1.0)).max(world.joined_proxies as f64)
}

fn sound(world: &AdmissionContext<'_>, intent: &Intent, composed: &ComposedWorker) -> bool {
    let warm_up = intent.warm_up.unwrap_or(world.settings.warm_up);
    let warm = composed.listed.booted.is_none_or(|booted| world.now >= booted + warm_up);
    composed.listed.phase == Phase::Ready && warm
}

fn open(operation: &Operation, zone: Option<ZoneId>, composed: &ComposedWorker) -> bool {
    operation.zones.as_ref().is_none_or(|zones| zones.contains(&composed.listed.zone))
        && operation.machines.as_ref().is_none_or(|machines| machines.contains(&composed.listed.machine))
        && zone.is_none_or(|zone| zone == composed.listed.zone)
}

/// Guards against an operation that loses its last ready, warm worker. Where it has none already, a change may not
/// take away one that is on its way to be that.
fn bare(
    world: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    for (operation, name) in world.settings.operations.iter().zip(world.operation_names) {
        let zones: Vec<Option<ZoneId>> = match operation.own_zone_only {
            true => world.settings.zones.iter().copied().map(Some).collect(),
            false => vec![None],
        };
        for zone in zones {
            let ready = |composed: &ComposedWorker| {
                composed.listed.phase == Phase::Ready && open(operation, zone, composed)
            };
            let left_ready = |all: &BTreeMap<String, ComposedWorker>| {
                all.values().any(|composed| ready(composed) && sound(world, intent, composed))
            };
            let gives_way = |name: &String| !after.get(name).is_some_and(ready);
            let left: Vec<String> = before
                .iter()
                .filter(|(name, was)| ready(was) && gives_way(name))
                .map(|(name, _)| name.clone())
                .collect();
            if !left.is_empty() && !left_ready(after) {
                let zone = zone.map(world.zone_name);
                refusals.push(Refusal::NoReadyWorker { operation: name.clone(), zone, left });
            }
        }
    }
    refusals
}

/// Guards against a change that fills the channel: drains that come then would not be told in time.
fn lines(
    world: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let settings = world.settings;
    let (mut lines, mut readers, mut departs) = (0.0, 0.0f64, false);
    for (name, now) in after {
        let was = before.get(name);
        let phase = |composed: Option<&ComposedWorker>| {
            composed.map_or(Phase::Gone, |composed| composed.listed.phase)
        };
        let moved = (phase(was) == Phase::Ready) != (now.listed.phase == Phase::Ready);
        let weighed = was.is_some_and(|was| was.listed.weight != now.listed.weight);
        if !(moved || weighed && now.listed.phase == Phase::Ready) {
            continue;
        }
        let departed = moved && now.listed.phase != Phase::Ready;
        departs |= departed;
        // Whoever comes is written to all; who changes, to those that hold it.
        let to = if moved && !departed {
            proxies(world)
        } else {
            (world.proxies_with_line)(now.listed.worker) as f64
        };
        readers = readers.max(to);
        lines += to * if moved { 2.0 } else { 1.0 };
    }
    if lines == 0.0 || settings.channel_rate <= 0.0 {
        return Vec::new();
    }
    let mut refusals = Vec::new();
    let lines = TOLD * (lines + readers * (settings.message_overhead + 1.0));
    let grace = intent.drain_grace.unwrap_or(settings.drain_grace);
    let within =
        if departs { (grace - settings.max_transit).max(0.0) } else { settings.message_window.max(grace) };
    let most = settings.channel_rate * within / 1000.0;
    if lines > most {
        refusals.push(Refusal::TooManyLines { lines, max_lines: most });
    }
    if settings.max_messages_per_window < TOLD {
        refusals.push(Refusal::NoSecondMessage { max_messages: settings.max_messages_per_window });
    }
    refusals
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::compose::Composer;
    use crate::want::{DesiredState, Placement, WorkerIntent};
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

    struct Town {
        settings: Settings,
        composer: Composer,
        running: Intent,
    }

    impl Town {
        /// Four workers, two of each zone; the operation `order` is open to zone 1 only.
        fn new() -> Town {
            let mut town =
                Town { settings: settings(), composer: Composer::default(), running: Intent::default() };
            (0..4).for_each(|worker| town.tell(worker, Phase::Ready, None));
            town
        }

        fn tell(&mut self, worker: u32, phase: Phase, booted: Option<Ms>) {
            let zone = ZoneId((worker % 2) as u16);
            let (machine, cell) = (MachineId(0), CellId(0));
            let listed =
                WorkerEntry { worker: WorkerId(worker), phase, booted, zone, machine, cell, weight: 1.0 };
            self.composer.update_discovery(&format!("s-{worker}"), listed, None);
        }

        fn all(&self, composer: &Composer) -> BTreeMap<String, ComposedWorker> {
            let placed = |wish: &WorkerIntent| {
                let zone = ZoneId(u16::from(wish.placement.as_ref()?.zone == "b"));
                let (worker, machine, cell) = (WorkerId(9), MachineId(0), CellId(0));
                Some(WorkerEntry {
                    worker,
                    phase: Phase::Ready,
                    booted: None,
                    zone,
                    machine,
                    cell,
                    weight: 0.0,
                })
            };
            let names = composer.worker_names().map(str::to_string);
            names.filter_map(|name| Some((name.clone(), composer.compose(&name, placed)?))).collect()
        }

        fn judged(&self, intent: &Intent) -> Vec<Refusal> {
            let mut composer = self.composer.clone();
            composer.update_intent(intent);
            let world = AdmissionContext {
                now: NOW,
                settings: &self.settings,
                operation_names: &["lookup".to_string(), "order".to_string()],
                zone_name: &|zone| ["a", "b"][usize::from(zone.0)].to_string(),
                is_known_zone: &|zone| ["a", "b"].contains(&zone),
                joined_proxies: 75,
                proxies_with_line: &|_| 75,
            };
            check_change(&world, &self.all(&self.composer), &self.all(&composer), intent)
        }

        /// Commits it if it may be.
        fn commit(&mut self, intent: Intent) -> Vec<Refusal> {
            let refusals = self.judged(&intent);
            if refusals.is_empty() {
                self.composer.update_intent(&intent);
                self.running = intent;
            }
            refusals
        }

        fn wish(&self, worker: &str, wish: WorkerIntent) -> Intent {
            let mut intent = self.running.clone();
            intent.workers.insert(worker.into(), wish);
            intent
        }
    }

    fn wanted(wanted: DesiredState) -> WorkerIntent {
        WorkerIntent { desired_state: wanted, ..WorkerIntent::default() }
    }

    fn tags(refusals: &[Refusal]) -> Vec<&'static str> {
        refusals.iter().map(Refusal::error_app_tag).collect()
    }

    #[test]
    fn no_operation_may_lose_its_last_ready_worker_however_that_is_asked_for() {
        for wish in [
            wanted(DesiredState::Draining),
            wanted(DesiredState::Out),
            WorkerIntent { weight: Some(0.0), ..WorkerIntent::default() },
        ] {
            let mut town = Town::new();
            assert!(town.commit(town.wish("s-1", wish.clone())).is_empty(), "fine alone");
            let refusals = town.commit(town.wish("s-3", wish.clone()));
            assert_eq!(tags(&refusals), ["no-ready-worker"], "the second of two that are each fine alone");
            let said = refusals[0].to_string();
            assert!(said.contains("order would have no ready, warm worker once s-3 gives way"), "{said}");
            assert_eq!(refusals[0].path(), "/jrm:workers/worker[name='s-3']");
            assert!(town.commit(town.wish("s-2", wish)).is_empty(), "lookup has others");
        }
        let town = Town::new();
        let mut both = town.wish("s-1", wanted(DesiredState::Out));
        both.workers.insert("s-3".into(), wanted(DesiredState::Draining));
        let refusals = town.judged(&both);
        assert!(refusals[0].to_string().contains("once s-1 and s-3 gives way"), "{}", refusals[0]);
        both.workers
            .insert("s-9".into(), WorkerIntent { placement: Some(place("b")), ..WorkerIntent::default() });
        assert!(town.judged(&both).is_empty(), "a replacement comes with the same change");
    }

    fn place(zone: &str) -> Placement {
        Placement { zone: zone.into(), machine: String::new(), cell: None, address: None }
    }

    #[test]
    fn an_operation_of_each_zone_needs_a_worker_in_each() {
        let mut town = Town::new();
        town.settings.operations = vec![operation(None, true), operation(None, false)];
        assert!(town.commit(town.wish("s-0", wanted(DesiredState::Draining))).is_empty());
        let refusals = town.commit(town.wish("s-2", wanted(DesiredState::Draining)));
        assert!(refusals[0]
            .to_string()
            .starts_with("lookup would have no ready, warm worker for its proxies in zone a"));
    }

    #[test]
    fn who_is_cold_or_drained_by_discovery_replaces_nobody() {
        let mut town = Town::new();
        town.tell(3, Phase::Ready, Some(NOW - 10_000.0));
        assert_eq!(
            tags(&town.judged(&town.wish("s-1", wanted(DesiredState::Draining)))),
            ["no-ready-worker"]
        );
        town.tell(3, Phase::Ready, Some(NOW - 20_000.0));
        assert!(town.judged(&town.wish("s-1", wanted(DesiredState::Draining))).is_empty(), "warm by now");
        town.tell(3, Phase::Draining, None);
        let refusals = town.judged(&town.wish("s-1", wanted(DesiredState::Draining)));
        assert_eq!(tags(&refusals), ["no-ready-worker"]);
        // With nobody left, what asks for nothing less is still taken.
        town.tell(1, Phase::Gone, None);
        assert!(town.judged(&town.wish("s-0", wanted(DesiredState::Draining))).is_empty());
        assert!(town.judged(&town.wish("s-3", wanted(DesiredState::Ready))).is_empty());
    }

    #[test]
    fn figures_may_be_stricter_than_the_settings_and_never_looser() {
        let town = Town::new();
        let strict = Intent {
            drain_grace: Some(2000.0),
            warm_up: Some(20_000.0),
            cold_share: Some(0.2),
            overload_factor: Some(3.0),
            operations: BTreeMap::from([("order".to_string(), (Some(400.0), Some(5.0)))]),
            ..Intent::default()
        };
        assert!(town.judged(&strict).is_empty());
        let loose = Intent {
            drain_grace: Some(3000.5),
            warm_up: Some(14_999.0),
            cold_share: Some(0.31),
            overload_factor: Some(4.5),
            ..Intent::default()
        };
        let refusals = town.judged(&loose);
        assert_eq!(tags(&refusals), ["looser-than-settings"; 4]);
        assert_eq!(refusals[0].path(), "/jrm:figures/drain-grace");
        assert!(refusals[0].to_string().contains("3000.5 is looser than the settings' 3000"));
    }

    #[test]
    fn a_grace_must_leave_the_channel_time_to_tell_all_proxies() {
        let mut town = Town::new();
        let grace = |grace| Intent { drain_grace: Some(grace), ..Intent::default() };
        // 75 proxies, 6 lines each, at 5,000 a second: 90 ms and 500 on the way, twice that.
        assert!(town.judged(&grace(1180.0)).is_empty());
        let refusals = town.judged(&grace(1179.0));
        assert_eq!(tags(&refusals), ["grace-too-short"]);
        assert!(refusals[0].to_string().contains("takes 1180 ms"), "{}", refusals[0]);
        town.settings.channel_rate = 300.0;
        assert!(town.judged(&grace(3000.0)).is_empty(), "the settings' own grace nobody chose");
        assert_eq!(tags(&town.judged(&grace(2900.0))), ["grace-too-short"]);
    }

    #[test]
    fn a_change_must_fit_the_channel_twice() {
        let mut town = Town::new();
        (4..90).for_each(|worker| town.tell(worker, Phase::Ready, None));
        let drains = |count: u32| {
            let names = (4..4 + count).map(|worker| (format!("s-{worker}"), wanted(DesiredState::Draining)));
            Intent { workers: names.collect(), ..Intent::default() }
        };
        // Twice 75 proxies, two lines a worker and five for the head, in 2.5 s of 5,000 lines.
        assert!(town.judged(&drains(39)).is_empty());
        assert_eq!(tags(&town.judged(&drains(40))), ["too-many-lines"]);
        let weights = |count: u32| {
            let wish = WorkerIntent { weight: Some(2.0), ..WorkerIntent::default() };
            let names = (4..4 + count).map(|worker| (format!("s-{worker}"), wish.clone()));
            Intent { workers: names.collect(), ..Intent::default() }
        };
        assert!(town.judged(&weights(80)).is_empty(), "nothing departs, and 10 s are counted");
        town.settings.max_messages_per_window = 1.0;
        assert_eq!(tags(&town.judged(&drains(1))), ["no-second-message"]);
    }

    #[test]
    fn what_names_nothing_or_is_no_weight_is_refused_by_itself() {
        let town = Town::new();
        let mut intent =
            town.wish("s-9", WorkerIntent { placement: Some(place("nowhere")), ..WorkerIntent::default() });
        intent.operations.insert("shout".into(), (None, None));
        for (name, weight) in [("s-0", f64::NAN), ("s-1", -1.0), ("s-2", f64::INFINITY)] {
            intent
                .workers
                .insert(name.into(), WorkerIntent { weight: Some(weight), ..WorkerIntent::default() });
        }
        let refusals = town.judged(&intent);
        let tags = tags(&refusals);
        assert_eq!(tags.iter().filter(|tag| **tag == "bad-weight").count(), 3);
        assert!(tags.contains(&"unknown-zone") && tags.contains(&"unknown-operation"));
        let many = (0..=MOST_WORKERS).map(|n| (format!("x-{n}"), WorkerIntent::default())).collect();
        assert_eq!(
            town.judged(&Intent { workers: many, ..Intent::default() })[0].error_app_tag(),
            "too-many-workers"
        );
    }
}
