//! Stragglers on drawn gangs: who is called one, how soon, and what that saves; and how many sums a second many gangs take
//! by threads.

use std::collections::BTreeMap;
use std::time::Instant;

use juniperrail_fleet::Shards;
use juniperrail_gangs::{Budget, Cause, Gang, Mitigation, PartId, ProgressReport, WorkerKind};
use juniperrail_interface::{CellId, MachineId, WorkerId, ZoneId};

use crate::report::Report;

const PERIOD: f64 = 1000.0;
const EXTRA: f64 = 0.05;
/// Published for progress against the mean of all: a part is slow that is 20% under it.
const UNDER: f64 = 0.2;

/// One drawn run: how fast each worker really is, and who is a straggler.
struct Drawn {
    kinds: Vec<WorkerKind>,
    speeds: Vec<f64>,
    sizes: Vec<f64>,
    slow: Vec<bool>,
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    // Twelve sums of chance are close to a normal one.
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

impl Drawn {
    fn new(rng: &mut fastrand::Rng, count: usize, whole: f64) -> Drawn {
        let kinds: Vec<WorkerKind> = (0..count)
            .map(|n| WorkerKind {
                machine: MachineId(rng.u16(..2)),
                cell: CellId(0),
                zone: ZoneId((n % 3) as u16),
                warm: true,
            })
            .collect();
        let slow: Vec<bool> = (0..count).map(|_| whole == 1.0 && rng.f64() < 0.04).collect();
        let speed = |n: usize, rng: &mut fastrand::Rng| {
            let kind = if kinds[n].machine.0 == 0 { 1.0 } else { 0.7 };
            let own = (0.08 * normal(rng)).exp();
            let lag = if slow[n] { 0.15 + 0.35 * rng.f64() } else { 1.0 };
            whole * kind * own * lag
        };
        let speeds = (0..count).map(|n| speed(n, rng)).collect();
        let sizes = (0..count).map(|_| 60_000.0 * (0.15 * normal(rng)).exp()).collect();
        Drawn { kinds, speeds, sizes, slow }
    }
}

/// How a second attempt is decided on.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Nothing,
    Ours,
    Fixed,
    TrueSight,
}

#[derive(Default)]
struct Ran {
    time: f64,
    extra: f64,
    called: Vec<bool>,
    /// Sums until each was called.
    after: Vec<u32>,
}

/// Plays a run to its end.
fn play(drawn: &Drawn, way: Way, seed: u64) -> Ran {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = drawn.speeds.len();
    let mut gang = Gang::new(PERIOD, true);
    let work: f64 = drawn.sizes.iter().sum();
    let mut budget = Budget::from_ratio(work, EXTRA);
    let (mut done, mut second) = (vec![0.0f64; count], vec![None::<f64>; count]);
    let mut ran = Ran { called: vec![false; count], after: vec![0; count], ..Ran::default() };
    let mut over = vec![false; count];
    let mut now = 0.0;
    let mut under_way: Vec<(f64, ProgressReport)> = Vec::new();
    if way == Way::TrueSight {
        (0..count).filter(|n| drawn.slow[*n]).for_each(|n| second[n] = Some(0.0));
    }
    while over.iter().any(|over| !over) && now < 2_000_000.0 {
        now += PERIOD;
        for n in 0..count {
            if over[n] {
                continue;
            }
            let step = drawn.speeds[n] * (0.15 * normal(&mut rng)).exp() * PERIOD / drawn.sizes[n];
            done[n] = (done[n] + step).min(1.0);
            if let Some(other) = &mut second[n] {
                let usual = if drawn.kinds[n].machine.0 == 0 { 1.0 } else { 0.7 };
                let step = (usual * PERIOD / drawn.sizes[n]).min(1.0 - *other);
                *other += step;
                ran.extra += step * drawn.sizes[n];
            }
            over[n] = done[n] >= 1.0 || second[n].is_some_and(|other| other >= 1.0);
            if rng.f64() > 0.05 {
                let late = if rng.u8(..10) == 0 { 2500.0 } else { 300.0 };
                let (part, worker) = (PartId(n as u32), WorkerId(n as u32));
                let (kind, size, done) = (drawn.kinds[n], drawn.sizes[n], done[n]);
                under_way.push((
                    now + rng.f64() * late,
                    ProgressReport { round: 1, part, worker, kind, size, done, reported_at: now },
                ));
            }
        }
        for (_, sum) in under_way.extract_if(.., |(at, _)| *at <= now) {
            gang.record(&sum);
        }
        let called: Vec<usize> = match way {
            Way::Ours => {
                let verdicts = gang.verdicts(now);
                let slow = verdicts.iter().filter(|verdict| verdict.cause == Cause::Straggler);
                for verdict in slow {
                    let n = verdict.worker.0 as usize;
                    if !ran.called[n] {
                        ran.called[n] = true;
                        ran.after[n] = (now / PERIOD) as u32;
                    }
                    let spare = Some(WorkerId(u32::MAX)).filter(|_| second[n].is_none() && !over[n]);
                    if let Mitigation::Speculate { .. } = gang.choose_mitigation(verdict, spare, &mut budget)
                    {
                        second[n] = Some(0.0);
                    }
                }
                Vec::new()
            }
            Way::Fixed if now >= 10.0 * PERIOD => {
                let mean = done.iter().sum::<f64>() / count as f64;
                (0..count).filter(|n| done[*n] < mean - UNDER && !over[*n]).collect()
            }
            _ => Vec::new(),
        };
        for n in called {
            ran.called[n] = true;
            second[n] = second[n].or(Some(0.0));
        }
    }
    ran.time = now;
    ran.extra /= work;
    ran
}

pub fn run(report: &mut Report, seeds: u64) {
    let (mut right, mut wrong, mut missed) = (0u32, 0u32, 0u32);
    let mut after: Vec<u32> = Vec::new();
    let mut times: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    let (mut fixed_right, mut fixed_wrong, mut worst_extra) = (0u32, 0u32, 0.0f64);
    for seed in 0..seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = [8, 16, 32, 64, 128, 256, 512][(seed % 7) as usize];
        let drawn = Drawn::new(&mut rng, count, 1.0);
        let ways = [
            ("nothing", Way::Nothing),
            ("ours", Way::Ours),
            ("fixed threshold", Way::Fixed),
            ("true sight", Way::TrueSight),
        ];
        let nothing = play(&drawn, Way::Nothing, seed).time;
        for (name, way) in ways {
            let ran = play(&drawn, way, seed);
            let sum = times.entry(name).or_default();
            (sum.0, sum.1) = (sum.0 + ran.time / nothing, sum.1 + ran.extra);
            for n in 0..count {
                // Of small gangs with fewer than five of a kind nothing can be said surely.
                match (way, ran.called[n], drawn.slow[n]) {
                    (Way::Ours, true, true) => {
                        right += 1;
                        after.push(ran.after[n]);
                    }
                    (Way::Ours, true, false) => wrong += 1,
                    (Way::Ours, false, true) => missed += 1,
                    (Way::Fixed, true, true) => fixed_right += 1,
                    (Way::Fixed, true, false) => fixed_wrong += 1,
                    _ => {}
                }
            }
            if way == Way::Ours {
                worst_extra = worst_extra.max(ran.extra);
            }
        }
    }
    after.sort();
    let part = |a: u32, b: u32| f64::from(a) / f64::from((a + b).max(1));
    let (precision, recall) = (part(right, wrong), part(right, missed));
    report.figure("gangs of 8 to 512 workers, stragglers in them", format!("{seeds}, {}", right + missed));
    report.bound("precision", format!("{precision:.3}"), precision >= 0.97);
    report.bound("recall, of those at half speed or less", format!("{recall:.3}"), recall >= 0.95);
    let at = |q: f64| after.get((after.len() as f64 * q) as usize).copied().unwrap_or(0);
    report.figure("sums until found, middle and nine in ten", format!("{}, {}", at(0.5), at(0.9)));
    let fixed = format!("{:.3}, right {fixed_right}, wrong {fixed_wrong}", part(fixed_right, fixed_wrong));
    report.figure("precision of 20% under the mean", fixed);
    for (name, (time, extra)) in &times {
        let shown =
            format!("{:.3} of the time, {:.3} of the work extra", time / seeds as f64, extra / seeds as f64);
        report.figure(&format!("run time with {name}"), shown);
    }
    report.bound("extra work at the most", format!("{worst_extra:.3}"), worst_extra <= EXTRA + 1e-9);
    let mut called = 0;
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ran = play(&Drawn::new(&mut rng, 128, 0.3), Way::Ours, seed);
        called += ran.called.iter().filter(|called| **called).count();
    }
    report.bound("called in 50 gangs of 128 that are slow as a whole", called, called == 0);
    intake(report);
}

/// Sums a second of 1,000 gangs of ten workers each, by threads.
fn intake(report: &mut Report) {
    const GANGS: u32 = 1000;
    const EACH: u32 = 10;
    const WORDS: u32 = 40;
    let rate = |threads: u32| {
        let shards: Shards<BTreeMap<u32, Gang>> = Shards::new(64);
        let begun = Instant::now();
        std::thread::scope(|scope| {
            for thread in 0..threads {
                let shards = &shards;
                scope.spawn(move || {
                    for word in 1..=WORDS {
                        for gang in (0..GANGS).filter(|gang| gang % threads == thread) {
                            shards.with(gang.into(), |all| {
                                let own = all.entry(gang).or_insert_with(|| Gang::new(PERIOD, true));
                                for worker in 0..EACH {
                                    let kind = WorkerKind {
                                        machine: MachineId(0),
                                        cell: CellId(0),
                                        zone: ZoneId(0),
                                        warm: true,
                                    };
                                    let done = f64::from(word) / f64::from(WORDS + 1);
                                    let (part, worker, reported_at) =
                                        (PartId(worker), WorkerId(worker), f64::from(word) * PERIOD);
                                    own.record(&ProgressReport {
                                        round: 1,
                                        part,
                                        worker,
                                        kind,
                                        size: 1000.0,
                                        done,
                                        reported_at,
                                    });
                                }
                            });
                        }
                    }
                });
            }
        });
        f64::from(GANGS * EACH * WORDS) / begun.elapsed().as_secs_f64()
    };
    // In turns, so that a machine that speeds up or slows down does so for all.
    let mut rates: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
    for _ in 0..5 {
        [1, 2, 4].into_iter().for_each(|threads| rates.entry(threads).or_default().push(rate(threads)));
    }
    let middle = |threads: u32| {
        let mut all = rates[&threads].clone();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let (one, two, four) = (middle(1), middle(2), middle(4));
    report.figure("sums a second by 1, 2 and 4 threads", format!("{one:.0}, {two:.0}, {four:.0}"));
    report.bound("4 threads against one", format!("{:.2} times", four / one), four / one >= 2.5);
}
