//! Gangs of many kinds, with sums that are late, lost and out of order: who is called a straggler, and who is not.

use juniperrail_gangs::*;
use juniperrail_interface::{CellId, MachineId, WorkerId, ZoneId};

const PERIOD: f64 = 1000.0;

#[derive(Clone, Copy)]
struct One {
    kind: WorkerKind,
    size: f64,
    /// Work a millisecond, without chance.
    speed: f64,
    silent_from: f64,
}

struct Town {
    rng: fastrand::Rng,
    gang: Gang,
    all: Vec<One>,
    done: Vec<f64>,
    now: f64,
    under_way: Vec<(f64, ProgressReport)>,
}

fn warm(machine: u16, zone: u16) -> WorkerKind {
    WorkerKind { machine: MachineId(machine), cell: CellId(0), zone: ZoneId(zone), warm: true }
}

impl Town {
    fn new(seed: u64, count: usize) -> Town {
        let mut rng = fastrand::Rng::with_seed(seed);
        let one = |n: usize| One {
            kind: warm(0, (n % 3) as u16),
            size: 100_000.0,
            speed: 1.0,
            silent_from: f64::INFINITY,
        };
        let all: Vec<One> = (0..count).map(one).collect();
        let rng2 = rng.fork();
        Town {
            rng: rng2,
            gang: Gang::new(PERIOD, true),
            done: vec![0.0; count],
            all,
            now: 0.0,
            under_way: Vec::new(),
        }
    }

    /// A period passes: all go on by their speed and some chance, and tell it, some late, some not at all.
    fn period(&mut self) {
        self.now += PERIOD;
        for n in 0..self.all.len() {
            let one = self.all[n];
            // Twelve sums of chance are close to a normal one.
            let normal = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
            self.done[n] = (self.done[n] + one.speed * (0.15 * normal).exp() * PERIOD / one.size).min(1.0);
            let sum = ProgressReport {
                round: 1,
                part: PartId(n as u32),
                worker: WorkerId(n as u32),
                kind: one.kind,
                size: one.size,
                done: self.done[n],
                at: self.now,
            };
            if self.now < one.silent_from && self.rng.f64() > 0.05 {
                let late = if self.rng.u8(..10) == 0 { 2500.0 } else { 300.0 };
                self.under_way.push((self.now + self.rng.f64() * late, sum));
            }
        }
        let now = self.now;
        let due: Vec<(f64, ProgressReport)> = self.under_way.extract_if(.., |(at, _)| *at <= now).collect();
        due.iter().for_each(|(_, sum)| self.gang.record(sum));
    }

    fn of(&self, cause: Cause) -> Vec<u32> {
        let verdicts = self.gang.verdicts(self.now);
        verdicts.iter().filter(|v| v.cause == cause).map(|v| v.worker.0).collect()
    }
}

#[test]
fn one_at_half_speed_is_found_and_no_other() {
    for seed in 0..20 {
        let mut town = Town::new(seed, 16);
        town.all[5].speed = 0.5;
        let mut found = None;
        for period in 0..40 {
            town.period();
            let called = town.of(Cause::Straggler);
            assert!(called.iter().all(|worker| *worker == 5), "seed {seed}: {called:?}");
            found = found.or((called == [5]).then_some(period));
        }
        assert!(found.is_some_and(|period| period <= 25), "seed {seed}: found after {found:?}");
    }
}

#[test]
fn a_gang_that_is_slow_as_a_whole_has_no_straggler() {
    for seed in 0..20 {
        let mut town = Town::new(seed, 64);
        town.all.iter_mut().for_each(|one| one.speed = 0.3);
        (0..60).for_each(|_| town.period());
        assert_eq!(town.of(Cause::Straggler), Vec::<u32>::new(), "seed {seed}");
    }
}

#[test]
fn what_is_no_straggler_is_called_by_its_own_name() {
    let mut town = Town::new(3, 48);
    (0..12).for_each(|n| (town.all[n].kind, town.all[n].speed) = (warm(1, 0), 0.4));
    (12..18).for_each(|n| (town.all[n].kind.warm, town.all[n].speed) = (false, 0.35));
    town.all[20].size = 300_000.0;
    town.all[21].silent_from = 6_000.0;
    (22..30).for_each(|n| (town.all[n].kind.zone, town.all[n].silent_from) = (ZoneId(9), 6_000.0));
    (town.all[30].speed, town.done[30]) = (3.0, 0.8);
    (0..14).for_each(|_| town.period());
    assert_eq!(town.of(Cause::Straggler), Vec::<u32>::new());
    assert_eq!(town.of(Cause::KindSlow), (0..12).collect::<Vec<_>>(), "a slow kind of machine");
    assert_eq!(town.of(Cause::Cold), (12..18).collect::<Vec<_>>());
    assert_eq!(town.of(Cause::LargePart), [20]);
    assert_eq!(town.of(Cause::Silent), [21]);
    assert_eq!(town.of(Cause::ZoneSilent), (22..30).collect::<Vec<_>>(), "that is failover's");
    assert!(town.of(Cause::AtBarrier).contains(&30));
}

#[test]
fn one_of_a_slow_kind_that_is_slower_still_is_found_among_its_like() {
    let mut town = Town::new(4, 40);
    (0..12).for_each(|n| (town.all[n].kind, town.all[n].speed) = (warm(1, 0), 0.4));
    town.all[3].speed = 0.15;
    (0..25).for_each(|_| town.period());
    assert_eq!(town.of(Cause::Straggler), [3]);
}

#[test]
fn one_that_is_well_again_is_let_off() {
    let mut town = Town::new(5, 16);
    town.all.iter_mut().for_each(|one| one.size = 400_000.0);
    town.all[2].speed = 0.3;
    (0..20).for_each(|_| town.period());
    assert_eq!(town.of(Cause::Straggler), [2]);
    town.all[2].speed = 1.0;
    (0..40).for_each(|_| town.period());
    assert_eq!(town.of(Cause::Straggler), Vec::<u32>::new());
}

#[test]
fn words_that_are_old_go_back_or_are_spoilt_change_nothing() {
    let mut gang = Gang::new(PERIOD, true);
    let sum = |round, done, at| ProgressReport {
        round,
        part: PartId(0),
        worker: WorkerId(0),
        kind: warm(0, 0),
        size: 10.0,
        done,
        at,
    };
    gang.record(&sum(2, 0.5, 1000.0));
    for spoilt in [
        sum(1, 0.9, 5000.0),
        sum(2, 0.7, 900.0),
        sum(2, 0.4, 2000.0),
        sum(2, f64::NAN, 2000.0),
        sum(2, 0.6, 1000.0),
    ] {
        gang.record(&spoilt);
        assert_eq!(gang.attempts().next().unwrap().1.done(), 0.5, "{spoilt:?}");
    }
    gang.record(&ProgressReport { size: f64::NAN, ..sum(3, 0.1, 1.0) });
    assert_eq!(gang.round, 2);
    gang.record(&sum(3, 0.1, 10.0));
    assert_eq!((gang.round, gang.attempts().next().unwrap().1.done()), (3, 0.1), "a later round begins anew");
    assert!(!gang.is_finished());
    gang.record(&sum(3, 1.0, 3000.0));
    assert!(gang.is_finished());
}

#[test]
fn answers_follow_the_cause_and_keep_within_the_budget() {
    let mut town = Town::new(6, 16);
    [1, 2].iter().for_each(|n| town.all[*n].speed = 0.2);
    (0..20).for_each(|_| town.period());
    let verdicts = town.gang.verdicts(town.now);
    let slow: Vec<&Verdict> = verdicts.iter().filter(|v| v.cause == Cause::Straggler).collect();
    assert_eq!(slow.len(), 2);
    let spare = Some(WorkerId(99));
    // Room for one part of sixteen.
    let mut budget = Budget::from_ratio(town.gang.total_work(), 1.1 / 16.0);
    let first = town.gang.choose_mitigation(slow[0], spare, &mut budget);
    assert_eq!(first, Mitigation::Speculate { part: slow[0].part, worker: WorkerId(99) });
    assert_eq!(
        town.gang.choose_mitigation(slow[1], spare, &mut budget),
        Mitigation::ReduceWeight(slow[1].worker)
    );
    budget.release(100_000.0);
    assert!(matches!(town.gang.choose_mitigation(slow[1], spare, &mut budget), Mitigation::Speculate { .. }));
    assert_eq!(
        town.gang.choose_mitigation(slow[1], None, &mut budget),
        Mitigation::ReduceWeight(slow[1].worker)
    );
    let well = verdicts.iter().find(|v| v.cause == Cause::Healthy).unwrap();
    assert_eq!(town.gang.choose_mitigation(well, spare, &mut budget), Mitigation::Wait);
    town.gang.idempotent = false;
    let ended = Mitigation::CancelThenRestart { part: slow[0].part, worker: slow[0].worker };
    assert_eq!(
        town.gang.choose_mitigation(slow[0], spare, &mut budget),
        ended,
        "never two at once of what takes effect"
    );
    // One that is nearly done is not worth it.
    town.gang.idempotent = true;
    town.done[1] = 0.97;
    // One word may be lost or late.
    (0..3).for_each(|_| town.period());
    let verdicts = town.gang.verdicts(town.now);
    let near = verdicts.iter().find(|v| v.worker == WorkerId(1)).unwrap();
    let mut much = Budget::from_ratio(1e9, 1.0);
    assert!(!matches!(town.gang.choose_mitigation(near, spare, &mut much), Mitigation::Speculate { .. }));
}
