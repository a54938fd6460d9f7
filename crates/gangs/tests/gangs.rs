//! Verdicts on simulated gangs whose progress reports are delayed, lost and reordered.
//!
//! Guards against false alarms for workers that are slow for another reason, stragglers that are found late or never, and
//! mitigation that exceeds its budget or runs side effects twice.

use juniperrail_gangs::*;
use juniperrail_interface::{CellId, MachineId, WorkerId, ZoneId};

/// Milliseconds between two progress reports of a worker.
const REPORT_PERIOD: f64 = 1000.0;

#[derive(Clone, Copy)]
struct SimulatedWorker {
    kind: WorkerKind,
    size: f64,
    /// Mean work per millisecond.
    speed: f64,
    /// The time in milliseconds at which its reports stop.
    silent_from: f64,
}

struct Simulation {
    rng: fastrand::Rng,
    gang: Gang,
    workers: Vec<SimulatedWorker>,
    /// By worker, the ratio of its part that is done.
    done: Vec<f64>,
    now: f64,
    /// Reports on their way, each with its time of arrival.
    in_transit: Vec<(f64, ProgressReport)>,
}

fn warm_kind(machine: u16, zone: u16) -> WorkerKind {
    WorkerKind { machine: MachineId(machine), cell: CellId(0), zone: ZoneId(zone), warm: true }
}

impl Simulation {
    fn new(seed: u64, count: usize) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let worker = |n: usize| SimulatedWorker {
            kind: warm_kind(0, (n % 3) as u16),
            size: 100_000.0,
            speed: 1.0,
            silent_from: f64::INFINITY,
        };
        let workers: Vec<SimulatedWorker> = (0..count).map(worker).collect();
        let simulation_rng = rng.fork();
        Simulation {
            rng: simulation_rng,
            gang: Gang::new(REPORT_PERIOD, true),
            done: vec![0.0; count],
            workers,
            now: 0.0,
            in_transit: Vec::new(),
        }
    }

    /// Advances by one period: every worker progresses by its speed with random noise and reports; some reports are delayed
    /// and some are lost.
    fn run_period(&mut self) {
        self.now += REPORT_PERIOD;
        for n in 0..self.workers.len() {
            let worker = self.workers[n];
            // The sum of twelve uniform values is approximately normal.
            let normal_noise = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
            self.done[n] = (self.done[n]
                + worker.speed * (0.15 * normal_noise).exp() * REPORT_PERIOD / worker.size)
                .min(1.0);
            let report = ProgressReport {
                round: 1,
                part: PartId(n as u32),
                worker: WorkerId(n as u32),
                kind: worker.kind,
                size: worker.size,
                done: self.done[n],
                reported_at: self.now,
            };
            if self.now < worker.silent_from && self.rng.f64() > 0.05 {
                let max_delay = if self.rng.u8(..10) == 0 { 2500.0 } else { 300.0 };
                self.in_transit.push((self.now + self.rng.f64() * max_delay, report));
            }
        }
        let now = self.now;
        let arrived: Vec<(f64, ProgressReport)> =
            self.in_transit.extract_if(.., |(arrival, _)| *arrival <= now).collect();
        arrived.iter().for_each(|(_, report)| self.gang.record(report));
    }

    fn workers_with(&self, cause: Cause) -> Vec<u32> {
        let verdicts = self.gang.verdicts(self.now);
        verdicts.iter().filter(|verdict| verdict.cause == cause).map(|verdict| verdict.worker.0).collect()
    }
}

#[test]
fn a_worker_at_half_speed_is_the_only_straggler() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 16);
        simulation.workers[5].speed = 0.5;
        let mut found_period = None;
        for period in 0..40 {
            simulation.run_period();
            let stragglers = simulation.workers_with(Cause::Straggler);
            assert!(stragglers.iter().all(|worker| *worker == 5), "seed {seed}: {stragglers:?}");
            found_period = found_period.or((stragglers == [5]).then_some(period));
        }
        assert!(
            found_period.is_some_and(|period| period <= 25),
            "seed {seed}: found in period {found_period:?}"
        );
    }
}

#[test]
fn a_gang_of_equally_slow_workers_has_no_straggler() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 64);
        simulation.workers.iter_mut().for_each(|worker| worker.speed = 0.3);
        (0..60).for_each(|_| simulation.run_period());
        assert_eq!(simulation.workers_with(Cause::Straggler), Vec::<u32>::new(), "seed {seed}");
    }
}

#[test]
fn other_causes_of_slowness_are_distinguished() {
    let mut simulation = Simulation::new(3, 48);
    (0..12).for_each(|n| (simulation.workers[n].kind, simulation.workers[n].speed) = (warm_kind(1, 0), 0.4));
    (12..18).for_each(|n| (simulation.workers[n].kind.warm, simulation.workers[n].speed) = (false, 0.35));
    simulation.workers[20].size = 300_000.0;
    simulation.workers[21].silent_from = 6_000.0;
    (22..30).for_each(|n| {
        (simulation.workers[n].kind.zone, simulation.workers[n].silent_from) = (ZoneId(9), 6_000.0)
    });
    (simulation.workers[30].speed, simulation.done[30]) = (3.0, 0.8);
    (0..14).for_each(|_| simulation.run_period());
    assert_eq!(simulation.workers_with(Cause::Straggler), Vec::<u32>::new());
    assert_eq!(simulation.workers_with(Cause::KindSlow), (0..12).collect::<Vec<_>>(), "a slow machine type");
    assert_eq!(simulation.workers_with(Cause::Cold), (12..18).collect::<Vec<_>>());
    assert_eq!(simulation.workers_with(Cause::LargePart), [20]);
    assert_eq!(simulation.workers_with(Cause::Silent), [21]);
    assert_eq!(
        simulation.workers_with(Cause::ZoneSilent),
        (22..30).collect::<Vec<_>>(),
        "a silent zone is left to the failover between zones"
    );
    assert!(simulation.workers_with(Cause::AtBarrier).contains(&30));
}

#[test]
fn a_straggler_within_a_slow_kind_is_found() {
    let mut simulation = Simulation::new(4, 40);
    (0..12).for_each(|n| (simulation.workers[n].kind, simulation.workers[n].speed) = (warm_kind(1, 0), 0.4));
    simulation.workers[3].speed = 0.15;
    (0..25).for_each(|_| simulation.run_period());
    assert_eq!(simulation.workers_with(Cause::Straggler), [3]);
}

#[test]
fn a_recovered_straggler_is_cleared() {
    let mut simulation = Simulation::new(5, 16);
    simulation.workers.iter_mut().for_each(|worker| worker.size = 400_000.0);
    simulation.workers[2].speed = 0.3;
    (0..20).for_each(|_| simulation.run_period());
    assert_eq!(simulation.workers_with(Cause::Straggler), [2]);
    simulation.workers[2].speed = 1.0;
    (0..40).for_each(|_| simulation.run_period());
    assert_eq!(simulation.workers_with(Cause::Straggler), Vec::<u32>::new());
}

#[test]
fn old_reordered_and_invalid_reports_are_ignored() {
    let mut gang = Gang::new(REPORT_PERIOD, true);
    let report = |round, done, reported_at| ProgressReport {
        round,
        part: PartId(0),
        worker: WorkerId(0),
        kind: warm_kind(0, 0),
        size: 10.0,
        done,
        reported_at,
    };
    gang.record(&report(2, 0.5, 1000.0));
    for invalid in [
        report(1, 0.9, 5000.0),
        report(2, 0.7, 900.0),
        report(2, 0.4, 2000.0),
        report(2, f64::NAN, 2000.0),
        report(2, 0.6, 1000.0),
    ] {
        gang.record(&invalid);
        assert_eq!(gang.attempts().next().unwrap().1.done(), 0.5, "{invalid:?}");
    }
    gang.record(&ProgressReport { size: f64::NAN, ..report(3, 0.1, 1.0) });
    assert_eq!(gang.round, 2);
    gang.record(&report(3, 0.1, 10.0));
    assert_eq!(
        (gang.round, gang.attempts().next().unwrap().1.done()),
        (3, 0.1),
        "a later round replaces the earlier one"
    );
    assert!(!gang.is_finished());
    gang.record(&report(3, 1.0, 3000.0));
    assert!(gang.is_finished());
}

#[test]
fn mitigation_follows_the_cause_and_stays_within_the_budget() {
    let mut simulation = Simulation::new(6, 16);
    [1, 2].iter().for_each(|n| simulation.workers[*n].speed = 0.2);
    (0..20).for_each(|_| simulation.run_period());
    let verdicts = simulation.gang.verdicts(simulation.now);
    let stragglers: Vec<&Verdict> =
        verdicts.iter().filter(|verdict| verdict.cause == Cause::Straggler).collect();
    assert_eq!(stragglers.len(), 2);
    let spare = Some(WorkerId(99));
    // The budget fits one of the sixteen parts.
    let mut budget = Budget::from_ratio(simulation.gang.total_work(), 1.1 / 16.0);
    let first = simulation.gang.choose_mitigation(stragglers[0], spare, &mut budget);
    assert_eq!(first, Mitigation::Speculate { part: stragglers[0].part, worker: WorkerId(99) });
    assert_eq!(
        simulation.gang.choose_mitigation(stragglers[1], spare, &mut budget),
        Mitigation::ReduceWeight(stragglers[1].worker)
    );
    budget.release(100_000.0);
    assert!(matches!(
        simulation.gang.choose_mitigation(stragglers[1], spare, &mut budget),
        Mitigation::Speculate { .. }
    ));
    assert_eq!(
        simulation.gang.choose_mitigation(stragglers[1], None, &mut budget),
        Mitigation::ReduceWeight(stragglers[1].worker)
    );
    let healthy = verdicts.iter().find(|verdict| verdict.cause == Cause::Healthy).unwrap();
    assert_eq!(simulation.gang.choose_mitigation(healthy, spare, &mut budget), Mitigation::Wait);
    simulation.gang.idempotent = false;
    let cancel = Mitigation::CancelThenRestart { part: stragglers[0].part, worker: stragglers[0].worker };
    assert_eq!(
        simulation.gang.choose_mitigation(stragglers[0], spare, &mut budget),
        cancel,
        "a side-effecting part never has two running attempts"
    );
    // A second attempt for a nearly finished part saves nothing.
    simulation.gang.idempotent = true;
    simulation.done[1] = 0.97;
    // Three periods, because a single report may be lost or delayed.
    (0..3).for_each(|_| simulation.run_period());
    let verdicts = simulation.gang.verdicts(simulation.now);
    let nearly_done = verdicts.iter().find(|verdict| verdict.worker == WorkerId(1)).unwrap();
    let mut large_budget = Budget::from_ratio(1e9, 1.0);
    assert!(!matches!(
        simulation.gang.choose_mitigation(nearly_done, spare, &mut large_budget),
        Mitigation::Speculate { .. }
    ));
}
