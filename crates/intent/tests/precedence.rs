//! Random histories of one worker, against a reference that knows what happened in which order.
//!
//! Guards against a worker that is used after a restart, a rollback or a repeated list although it was not used before and
//! nothing that the manager received says that it may be.

use std::collections::BTreeMap;

use juniperrail_intent::{Composer, DesiredState, Intent, IntentChange, WorkerIntent};
use juniperrail_interface::{CellId, MachineId, Phase, WorkerEntry, WorkerId, ZoneId};

const HISTORIES: u64 = 20_000;
const STEPS_PER_HISTORY: usize = 30;
const WORKER: &str = "w";

const PHASES: [Phase; 3] = [Phase::Ready, Phase::Draining, Phase::Gone];
const DESIRED_STATES: [DesiredState; 4] =
    [DesiredState::Follow, DesiredState::Ready, DesiredState::Draining, DesiredState::Out];
const WEIGHTS: [Option<f64>; 3] = [None, Some(0.0), Some(2.0)];

/// What the operator configures: the state, and the weight.
type Configuration = (DesiredState, Option<f64>);

/// What discovery reports of the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    phase: Phase,
    started_at: f64,
}

/// The reference: it records by name what decides whether the worker may be used, without any sequence number.
#[derive(Clone, Debug)]
struct Reference {
    report: Option<Report>,
    running: Configuration,
    /// The operator wanted the worker ready after the drain that discovery reports now had begun.
    cancels_drain: bool,
    /// The configuration before the confirmed commit that awaits its confirmation, and whether that cancelled the drain.
    base: Option<(Configuration, bool)>,
    saved: Configuration,
}

impl Reference {
    fn new() -> Reference {
        let follow = (DesiredState::Follow, None);
        Reference { report: None, running: follow, cancels_drain: false, base: None, saved: follow }
    }

    fn discover(&mut self, report: Report) {
        let previous = self.report.replace(report);
        let restarted = previous.is_some_and(|previous| report.started_at > previous.started_at);
        if restarted || previous.map(|previous| previous.phase) != Some(report.phase) {
            self.cancels_drain = false;
            self.base = self.base.map(|(configuration, _)| (configuration, false));
        }
    }

    fn commit(&mut self, configuration: Configuration, confirmed: bool) {
        let base = self.base.take().unwrap_or((self.running, self.cancels_drain));
        self.base = confirmed.then_some(base);
        if configuration.0 != self.running.0 {
            self.cancels_drain =
                configuration.0 == DesiredState::Ready && self.phase_reported() == Some(Phase::Draining);
        }
        self.running = configuration;
    }

    fn roll_back(&mut self) -> Option<Configuration> {
        (self.running, self.cancels_drain) = self.base.take()?;
        Some(self.running)
    }

    fn restart(&mut self, known: Option<Report>) {
        (self.report, self.running) = (known, self.saved);
        (self.cancels_drain, self.base) = (false, None);
    }

    fn phase_reported(&self) -> Option<Phase> {
        self.report.map(|report| report.phase)
    }

    /// Whether proxies may be sent a line of the worker.
    fn is_usable(&self) -> bool {
        let (desired_state, weight) = self.running;
        let departs =
            matches!(desired_state, DesiredState::Draining | DesiredState::Out) || weight == Some(0.0);
        let reported_ready = match self.phase_reported() {
            Some(Phase::Ready) => true,
            Some(Phase::Draining) => self.cancels_drain && desired_state == DesiredState::Ready,
            Some(Phase::Gone) | None => false,
        };
        reported_ready && !departs
    }
}

fn entry(report: Report) -> WorkerEntry {
    let (worker, zone, machine, cell) = (WorkerId(0), ZoneId(0), MachineId(0), CellId(0));
    let started_at = Some(report.started_at);
    WorkerEntry { worker, phase: report.phase, started_at, zone, machine, cell, weight: 1.0 }
}

fn intent((desired_state, weight): Configuration) -> Intent {
    let worker = WorkerIntent { desired_state, weight, placement: None };
    // A worker without any setting is not in the configuration.
    let is_configured = worker != WorkerIntent::default();
    let workers = BTreeMap::from_iter(is_configured.then(|| (WORKER.to_string(), worker)));
    Intent { workers, ..Intent::default() }
}

fn is_ready(composer: &Composer) -> bool {
    composer.compose(WORKER, |_| None).is_some_and(|composed| composed.entry.phase == Phase::Ready)
}

/// One history: the composer beside the reference, and the lists that a restarted manager may be given.
struct History {
    rng: fastrand::Rng,
    composer: Composer,
    reference: Reference,
    reports: Vec<Report>,
}

impl History {
    fn new(seed: u64) -> History {
        let rng = fastrand::Rng::with_seed(seed);
        History { rng, composer: Composer::default(), reference: Reference::new(), reports: Vec::new() }
    }

    /// Makes one random step and returns its description.
    fn step(&mut self) -> String {
        match self.rng.u32(..12) {
            0..=3 => {
                let started_at = self.reports.last().map_or(0.0, |report| report.started_at);
                let restarted = self.rng.u32(..4) == 0;
                let started_at = started_at + f64::from(u8::from(restarted));
                let phase = PHASES[self.rng.usize(..3)];
                self.discover(Report { phase, started_at })
            }
            // A watch that begins again with the full list repeats the entry.
            4 => match self.reference.report.filter(|report| report.phase != Phase::Gone) {
                Some(report) => self.discover(report),
                None => "nothing to repeat".into(),
            },
            5 => {
                let gone = self.composer.mark_unlisted_gone(&|_| false);
                if let Some(report) = self.reference.report.filter(|_| !gone.is_empty()) {
                    self.reference.discover(Report { phase: Phase::Gone, ..report });
                }
                "a full list without the worker".into()
            }
            6..=8 => {
                let configuration = (DESIRED_STATES[self.rng.usize(..4)], WEIGHTS[self.rng.usize(..3)]);
                let confirmed = self.rng.bool();
                let change = if confirmed { IntentChange::ConfirmedCommit } else { IntentChange::Commit };
                self.composer.update_intent(&intent(configuration), change);
                self.reference.commit(configuration, confirmed);
                format!("commit of {configuration:?}, to be confirmed: {confirmed}")
            }
            9 => match self.reference.roll_back() {
                Some(configuration) => {
                    self.composer.update_intent(&intent(configuration), IntentChange::Rollback);
                    "rollback of the confirmed commit".into()
                }
                None => "nothing to roll back".into(),
            },
            10 => {
                self.reference.saved = self.reference.running;
                "config save".into()
            }
            _ => self.restart(),
        }
    }

    fn discover(&mut self, report: Report) -> String {
        self.composer.update_discovery(WORKER, entry(report), None);
        self.reference.discover(report);
        self.reports.push(report);
        format!("discovery reports {report:?}")
    }

    /// Restarts the manager with the file as last saved and a cached list that is current, old or missing.
    fn restart(&mut self) -> String {
        let is_listed = |report: &Report| report.phase != Phase::Gone;
        let known = match self.rng.u32(..3) {
            0 => self.reference.report.filter(is_listed),
            1 if !self.reports.is_empty() => {
                Some(self.reports[self.rng.usize(..self.reports.len())]).filter(is_listed)
            }
            _ => None,
        };
        self.composer = Composer::default();
        if let Some(report) = known {
            self.composer.update_discovery(WORKER, entry(report), None);
        }
        self.composer.update_intent(&intent(self.reference.saved), IntentChange::Startup);
        self.reference.restart(known);
        format!("restart with {known:?} in the cached list")
    }
}

#[test]
fn a_worker_is_used_only_where_something_received_says_so() {
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        let mut steps = Vec::new();
        for _ in 0..STEPS_PER_HISTORY {
            steps.push(history.step());
            let (used, usable) = (is_ready(&history.composer), history.reference.is_usable());
            assert_eq!(used, usable, "seed {seed}: {steps:#?}");
        }
    }
}
