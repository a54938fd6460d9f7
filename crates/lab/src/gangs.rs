//! Straggler detection in randomly drawn gangs: which workers are detected, how soon, and the run time that mitigation
//! saves. Also the rate at which many gangs record progress reports, by the number of threads.

use std::collections::BTreeMap;
use std::time::Instant;

use juniperrail_fleet::Shards;
use juniperrail_gangs::{Budget, Cause, Gang, Mitigation, PartId, ProgressReport, WorkerKind};
use juniperrail_interface::{CellId, MachineId, WorkerId, ZoneId};

use crate::report::Report;

/// The period of progress reports.
const REPORT_PERIOD_MS: f64 = 1000.0;
/// The share of the total work that second attempts may add.
const EXTRA_WORK_RATIO: f64 = 0.05;
/// The published fixed threshold: a part is slow if its progress is more than 20% of a part below the mean of all
/// parts.
const FIXED_THRESHOLD: f64 = 0.2;

/// One randomly drawn gang: the true speed of each worker, the size of its part, and whether it is a straggler.
struct DrawnGang {
    kinds: Vec<WorkerKind>,
    speeds: Vec<f64>,
    sizes: Vec<f64>,
    stragglers: Vec<bool>,
}

/// An approximately standard normal value: the sum of twelve uniform ones, less its mean.
fn standard_normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

impl DrawnGang {
    /// Draws a gang of `count` workers whose speeds are all multiplied by `speed_factor`. It has stragglers only at a
    /// factor of 1.
    fn new(rng: &mut fastrand::Rng, count: usize, speed_factor: f64) -> DrawnGang {
        let kinds: Vec<WorkerKind> = (0..count)
            .map(|index| WorkerKind {
                machine: MachineId(rng.u16(..2)),
                cell: CellId(0),
                zone: ZoneId((index % 3) as u16),
                warm: true,
            })
            .collect();
        let stragglers: Vec<bool> = (0..count).map(|_| speed_factor == 1.0 && rng.f64() < 0.04).collect();
        let speed = |index: usize, rng: &mut fastrand::Rng| {
            let kind_factor = if kinds[index].machine.0 == 0 { 1.0 } else { 0.7 };
            let worker_factor = (0.08 * standard_normal(rng)).exp();
            let straggler_factor = if stragglers[index] { 0.15 + 0.35 * rng.f64() } else { 1.0 };
            speed_factor * kind_factor * worker_factor * straggler_factor
        };
        let speeds = (0..count).map(|index| speed(index, rng)).collect();
        let sizes = (0..count).map(|_| 60_000.0 * (0.15 * standard_normal(rng)).exp()).collect();
        DrawnGang { kinds, speeds, sizes, stragglers }
    }
}

/// The policy that decides on second attempts.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// No second attempts.
    None,
    /// The verdicts and mitigations of the `gangs` package.
    Detector,
    /// A fixed distance below the mean progress.
    FixedThreshold,
    /// Knows the stragglers and starts their second attempts at once.
    Oracle,
}

/// The outcome of one simulated run.
#[derive(Default)]
struct Outcome {
    /// The time until every part was complete, or until the simulation gave up.
    time_ms: f64,
    /// The work of second attempts, as a share of the total work.
    extra_work: f64,
    /// Whether each worker was detected as a straggler.
    detected: Vec<bool>,
    /// The number of report periods until the detector detected each worker; 0 if it did not.
    periods_until_detected: Vec<u32>,
}

/// Simulates a run until every part is complete, for at most 2,000 seconds.
fn simulate(drawn: &DrawnGang, policy: Policy, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = drawn.speeds.len();
    let mut gang = Gang::new(REPORT_PERIOD_MS, true);
    let total_work: f64 = drawn.sizes.iter().sum();
    let mut budget = Budget::from_ratio(total_work, EXTRA_WORK_RATIO);
    // The progress of each part's first and second attempt, from 0 to 1.
    let (mut first, mut second) = (vec![0.0f64; count], vec![None::<f64>; count]);
    let mut outcome = Outcome {
        detected: vec![false; count],
        periods_until_detected: vec![0; count],
        ..Outcome::default()
    };
    let mut complete = vec![false; count];
    let mut now_ms = 0.0;
    // Reports on the way to the gang, with the time of their arrival.
    let mut in_transit: Vec<(f64, ProgressReport)> = Vec::new();
    if policy == Policy::Oracle {
        (0..count).filter(|index| drawn.stragglers[*index]).for_each(|index| second[index] = Some(0.0));
    }
    while complete.iter().any(|complete| !complete) && now_ms < 2_000_000.0 {
        now_ms += REPORT_PERIOD_MS;
        for index in 0..count {
            if complete[index] {
                continue;
            }
            let step = drawn.speeds[index] * (0.15 * standard_normal(&mut rng)).exp() * REPORT_PERIOD_MS
                / drawn.sizes[index];
            first[index] = (first[index] + step).min(1.0);
            if let Some(progress) = &mut second[index] {
                let kind_speed = if drawn.kinds[index].machine.0 == 0 { 1.0 } else { 0.7 };
                let step = (kind_speed * REPORT_PERIOD_MS / drawn.sizes[index]).min(1.0 - *progress);
                *progress += step;
                outcome.extra_work += step * drawn.sizes[index];
            }
            complete[index] = first[index] >= 1.0 || second[index].is_some_and(|progress| progress >= 1.0);
            // One report in 20 is lost, and one in ten of the others may be delayed by more than two periods.
            if rng.f64() > 0.05 {
                let max_delay_ms = if rng.u8(..10) == 0 { 2500.0 } else { 300.0 };
                let (part, worker) = (PartId(index as u32), WorkerId(index as u32));
                let (kind, size, done) = (drawn.kinds[index], drawn.sizes[index], first[index]);
                in_transit.push((
                    now_ms + rng.f64() * max_delay_ms,
                    ProgressReport { round: 1, part, worker, kind, size, done, reported_at: now_ms },
                ));
            }
        }
        for (_, report) in in_transit.extract_if(.., |(arrives_at, _)| *arrives_at <= now_ms) {
            gang.record(&report);
        }
        let below_threshold: Vec<usize> = match policy {
            Policy::Detector => {
                let verdicts = gang.verdicts(now_ms);
                let stragglers = verdicts.iter().filter(|verdict| verdict.cause == Cause::Straggler);
                for verdict in stragglers {
                    let index = verdict.worker.0 as usize;
                    if !outcome.detected[index] {
                        outcome.detected[index] = true;
                        outcome.periods_until_detected[index] = (now_ms / REPORT_PERIOD_MS) as u32;
                    }
                    let spare =
                        Some(WorkerId(u32::MAX)).filter(|_| second[index].is_none() && !complete[index]);
                    if let Mitigation::Speculate { .. } = gang.choose_mitigation(verdict, spare, &mut budget)
                    {
                        second[index] = Some(0.0);
                    }
                }
                Vec::new()
            }
            Policy::FixedThreshold if now_ms >= 10.0 * REPORT_PERIOD_MS => {
                let mean = first.iter().sum::<f64>() / count as f64;
                (0..count)
                    .filter(|index| first[*index] < mean - FIXED_THRESHOLD && !complete[*index])
                    .collect()
            }
            _ => Vec::new(),
        };
        for index in below_threshold {
            outcome.detected[index] = true;
            second[index] = second[index].or(Some(0.0));
        }
    }
    outcome.time_ms = now_ms;
    outcome.extra_work /= total_work;
    outcome
}

/// Compares the policies on one gang per seed, checks that no worker is detected in gangs whose workers are all slow,
/// and measures the rate of reports.
pub fn run(report: &mut Report, seeds: u64) {
    let (mut true_positives, mut false_positives, mut false_negatives) = (0u32, 0u32, 0u32);
    let mut periods_until_detected: Vec<u32> = Vec::new();
    // Per policy, summed over the seeds: the time relative to no mitigation, and the extra work.
    let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    let (mut fixed_true_positives, mut fixed_false_positives, mut max_extra_work) = (0u32, 0u32, 0.0f64);
    for seed in 0..seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = [8, 16, 32, 64, 128, 256, 512][(seed % 7) as usize];
        let drawn = DrawnGang::new(&mut rng, count, 1.0);
        let policies = [
            ("no mitigation", Policy::None),
            ("the detector", Policy::Detector),
            ("a fixed threshold", Policy::FixedThreshold),
            ("the oracle", Policy::Oracle),
        ];
        let unmitigated_ms = simulate(&drawn, Policy::None, seed).time_ms;
        for (name, policy) in policies {
            let outcome = simulate(&drawn, policy, seed);
            let sum = sums.entry(name).or_default();
            (sum.0, sum.1) = (sum.0 + outcome.time_ms / unmitigated_ms, sum.1 + outcome.extra_work);
            for index in 0..count {
                // This includes small gangs with fewer than five workers of a kind, where detection is not reliable.
                match (policy, outcome.detected[index], drawn.stragglers[index]) {
                    (Policy::Detector, true, true) => {
                        true_positives += 1;
                        periods_until_detected.push(outcome.periods_until_detected[index]);
                    }
                    (Policy::Detector, true, false) => false_positives += 1,
                    (Policy::Detector, false, true) => false_negatives += 1,
                    (Policy::FixedThreshold, true, true) => fixed_true_positives += 1,
                    (Policy::FixedThreshold, true, false) => fixed_false_positives += 1,
                    _ => {}
                }
            }
            if policy == Policy::Detector {
                max_extra_work = max_extra_work.max(outcome.extra_work);
            }
        }
    }
    periods_until_detected.sort();
    let ratio = |part: u32, rest: u32| f64::from(part) / f64::from((part + rest).max(1));
    let precision = ratio(true_positives, false_positives);
    let recall = ratio(true_positives, false_negatives);
    report.figure(
        "gangs of 8 to 512 workers, stragglers in them",
        format!("{seeds}, {}", true_positives + false_negatives),
    );
    report.bound("precision", format!("{precision:.3}"), precision >= 0.97);
    report.bound("recall of stragglers at half speed or less", format!("{recall:.3}"), recall >= 0.95);
    let quantile = |share: f64| {
        let index = (periods_until_detected.len() as f64 * share) as usize;
        periods_until_detected.get(index).copied().unwrap_or(0)
    };
    report.figure(
        "report periods until detection, p50 and p90",
        format!("{}, {}", quantile(0.5), quantile(0.9)),
    );
    let fixed_precision = format!(
        "{:.3}, true positives {fixed_true_positives}, false positives {fixed_false_positives}",
        ratio(fixed_true_positives, fixed_false_positives)
    );
    report.figure("precision of the threshold 20% below the mean", fixed_precision);
    for (name, (time, extra_work)) in &sums {
        let costs = format!(
            "{:.3} of the time without mitigation, {:.3} extra work",
            time / seeds as f64,
            extra_work / seeds as f64
        );
        report.figure(&format!("run time with {name}"), costs);
    }
    report.bound(
        "maximum extra work",
        format!("{max_extra_work:.3}"),
        max_extra_work <= EXTRA_WORK_RATIO + 1e-9,
    );
    let mut detected = 0;
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let outcome = simulate(&DrawnGang::new(&mut rng, 128, 0.3), Policy::Detector, seed);
        detected += outcome.detected.iter().filter(|detected| **detected).count();
    }
    report.bound("stragglers detected in 50 uniformly slow gangs of 128", detected, detected == 0);
    measure_report_rates(report);
}

/// Measures how many progress reports 1,000 gangs of ten workers each record per second, by the number of threads.
fn measure_report_rates(report: &mut Report) {
    const GANGS: u32 = 1000;
    const WORKERS_PER_GANG: u32 = 10;
    const REPORTS_PER_WORKER: u32 = 40;
    let rate = |threads: u32| {
        let shards: Shards<BTreeMap<u32, Gang>> = Shards::new(64);
        let started = Instant::now();
        std::thread::scope(|scope| {
            for thread in 0..threads {
                let shards = &shards;
                scope.spawn(move || {
                    for number in 1..=REPORTS_PER_WORKER {
                        for gang in (0..GANGS).filter(|gang| gang % threads == thread) {
                            shards.with(gang.into(), |gangs| {
                                let state =
                                    gangs.entry(gang).or_insert_with(|| Gang::new(REPORT_PERIOD_MS, true));
                                for worker in 0..WORKERS_PER_GANG {
                                    let kind = WorkerKind {
                                        machine: MachineId(0),
                                        cell: CellId(0),
                                        zone: ZoneId(0),
                                        warm: true,
                                    };
                                    let done = f64::from(number) / f64::from(REPORTS_PER_WORKER + 1);
                                    let (part, worker) = (PartId(worker), WorkerId(worker));
                                    let reported_at = f64::from(number) * REPORT_PERIOD_MS;
                                    state.record(&ProgressReport {
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
        f64::from(GANGS * WORKERS_PER_GANG * REPORTS_PER_WORKER) / started.elapsed().as_secs_f64()
    };
    // The thread counts alternate, so that a machine that speeds up or slows down affects all of them alike.
    let mut rates: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
    for _ in 0..5 {
        [1, 2, 4].into_iter().for_each(|threads| rates.entry(threads).or_default().push(rate(threads)));
    }
    let median = |threads: u32| {
        let mut sorted = rates[&threads].clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    let (one, two, four) = (median(1), median(2), median(4));
    report.figure("reports per second with 1, 2 and 4 threads", format!("{one:.0}, {two:.0}, {four:.0}"));
    report.bound(
        "rate with 4 threads over rate with 1",
        format!("{:.2} times", four / one),
        four / one >= 2.5,
    );
}
