//! A gang with its rounds and parts, and the detection of workers that are slow compared with their peers.

use std::collections::BTreeMap;

use juniperrail_interface::{Ms, WorkerId, ZoneId};

use crate::progress::{median, Attempt, PartId, ProgressReport};

/// The rate of a straggler, divided by that of its peers, that the test assumes. Evidence for and against is balanced at
/// its square root, two thirds: half speed is clearly below that, and the usual differences among workers of one kind are
/// above it.
const STRAGGLER_RATE_RATIO: f64 = 4.0 / 9.0;
/// Accepted rate of false alarms: one in ten million reports, the number in a run with a thousand reports from each of ten
/// thousand workers.
const FALSE_ALARM_RATE: f64 = 1e-7;
/// Accepted rate of missed stragglers.
const MISS_RATE: f64 = 0.02;
/// The smallest scatter of the rates, as a standard deviation of their logarithms. A lower measured value is attributed to
/// chance and raised to this.
const MIN_SCATTER: f64 = 0.12;
/// The fewest reports that can lead to a verdict: a stall of one period does not make a straggler.
const MIN_REPORTS: f64 = 4.0;
/// With fewer peers of the same kind, a worker is compared with all workers of the gang that are warm, or cold, like it.
/// With fewer of those there is no baseline.
const MIN_PEERS: usize = 4;
/// A worker without a report for this many report periods is silent.
const SILENT_PERIODS: f64 = 3.0;
/// A part is large if it exceeds the median size by this factor.
const LARGE_PART_FACTOR: f64 = 1.8;

/// The state of an attempt and, if it is slow, the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Slow compared with its peers.
    Straggler,
    /// The warm workers of its machine type are slow as a group.
    KindSlow,
    /// Its part is much larger than the median part, and nothing shows that the worker is slow.
    LargePart,
    /// The cold workers of its machine type are slow as a group.
    Cold,
    /// The worker's reports have stopped, so it is not known whether it makes progress.
    Silent,
    /// The reports of all workers of its zone have stopped, which is left to the failover between zones.
    ZoneSilent,
    /// Its part is done and it waits for the others.
    AtBarrier,
    Healthy,
}

/// The assessment of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub part: PartId,
    pub worker: WorkerId,
    pub cause: Cause,
    /// Its rate divided by the usual rate of its peers, if both are known.
    pub rate_ratio: Option<f64>,
    /// 0 to 1: the evidence for a straggler, divided by the evidence that the verdict [`Cause::Straggler`] requires.
    pub confidence: f64,
    /// How many more reports like the last one would complete the evidence; `None` if the last one speaks against it.
    pub reports_needed: Option<u32>,
}

/// The workers that run the parts of one job.
#[derive(Clone, Debug)]
pub struct Gang {
    /// The round of the latest reports.
    pub round: u32,
    /// Time between two reports of a worker.
    report_period: Ms,
    /// Whether a part may run twice at once.
    pub idempotent: bool,
    /// Attempts at each part, in the order in which they were first reported.
    parts: BTreeMap<PartId, Vec<Attempt>>,
}

/// The usual rate among peers: the median of the logarithms of their rates, and their scatter.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    median_log_rate: f64,
    scatter: f64,
}

impl Gang {
    /// `report_period` is the time between two reports of a worker, and `idempotent` whether a part may run twice at once.
    pub fn new(report_period: Ms, idempotent: bool) -> Gang {
        Gang { round: 0, report_period, idempotent, parts: BTreeMap::new() }
    }

    /// All attempts of the round, running or finished, with their parts.
    pub fn attempts(&self) -> impl Iterator<Item = (PartId, &Attempt)> {
        self.parts.iter().flat_map(|(part, attempts)| attempts.iter().map(|attempt| (*part, attempt)))
    }

    /// Number of attempts at a part in this round, running or finished.
    pub fn attempt_count(&self, part: PartId) -> usize {
        self.parts.get(&part).map_or(0, Vec::len)
    }

    /// Whether every part of the round was finished by some attempt.
    pub fn is_finished(&self) -> bool {
        !self.parts.is_empty()
            && self.parts.values().all(|attempts| attempts.iter().any(Attempt::is_finished))
    }

    /// Records a report. One of an earlier round is ignored; one of a later round starts that round.
    pub fn record(&mut self, report: &ProgressReport) {
        if report.round < self.round || report.size.is_nan() || report.size <= 0.0 {
            return;
        }
        if report.round > self.round {
            self.round = report.round;
            self.parts.clear();
        }
        let attempts = self.parts.entry(report.part).or_default();
        let Some(attempt) = attempts.iter_mut().find(|attempt| attempt.worker == report.worker) else {
            attempts.push(Attempt::new(report));
            return;
        };
        if !attempt.record(report) {
            return;
        }
        let latest_rate = attempt.latest_rate();
        let (part, worker) = (report.part, report.worker);
        if let Some(latest_rate) = latest_rate.filter(|_| report.done < 1.0) {
            let baseline = self.baseline(part, worker);
            let attempt = self
                .parts
                .get_mut(&part)
                .and_then(|attempts| attempts.iter_mut().find(|attempt| attempt.worker == worker));
            if let (Some(baseline), Some(attempt)) = (baseline, attempt) {
                attempt.scored_reports += 1;
                attempt.score =
                    (attempt.score + evidence(latest_rate, baseline)).clamp(0.0, 2.0 * score_threshold());
            }
        }
    }

    /// The baseline of an attempt: from the rates of its peers, each over all stored points of the peer.
    fn baseline(&self, part: PartId, worker: WorkerId) -> Option<Baseline> {
        let own_attempt = self
            .attempts()
            .find(|(attempt_part, attempt)| *attempt_part == part && attempt.worker == worker)?
            .1;
        let others =
            || self.attempts().map(|(_, attempt)| attempt).filter(|attempt| attempt.worker != worker);
        let same_kind = |attempt: &&Attempt| {
            attempt.kind.machine == own_attempt.kind.machine && attempt.kind.warm == own_attempt.kind.warm
        };
        let log_rates = |attempts: &mut dyn Iterator<Item = &Attempt>| -> Vec<f64> {
            attempts.filter_map(|attempt| attempt.rate()).filter(|rate| *rate > 0.0).map(f64::ln).collect()
        };
        let mut peers = log_rates(&mut others().filter(same_kind));
        if peers.len() < MIN_PEERS {
            // Cold workers are never compared with warm ones.
            peers = log_rates(&mut others().filter(|attempt| attempt.kind.warm == own_attempt.kind.warm));
        }
        if peers.len() < MIN_PEERS {
            return None;
        }
        let median_log_rate = median(&mut peers)?;
        let latest_log_rates = others()
            .filter(same_kind)
            .filter_map(Attempt::latest_rate)
            .filter(|rate| *rate > 0.0)
            .map(f64::ln);
        let mut deviations: Vec<f64> =
            latest_log_rates.map(|log_rate| (log_rate - median_log_rate).abs()).collect();
        if deviations.len() < MIN_PEERS {
            deviations = peers.iter().map(|log_rate| (log_rate - median_log_rate).abs()).collect();
        }
        // The test evaluates the rate between two consecutive reports, which scatters more than the rate over many. The
        // median absolute deviation of a normal distribution is 0.6745 standard deviations.
        let scatter = median(&mut deviations)? / 0.6745;
        Some(Baseline { median_log_rate, scatter: scatter.max(MIN_SCATTER) })
    }

    /// Assesses every attempt of the round.
    pub fn verdicts(&self, now: Ms) -> Vec<Verdict> {
        let mut sizes: Vec<f64> = self.attempts().map(|(_, attempt)| attempt.size).collect();
        let median_size = median(&mut sizes).unwrap_or(1.0);
        // Per zone: the attempts that are not finished, and how many of them are silent.
        let mut zone_counts: BTreeMap<ZoneId, (usize, usize)> = BTreeMap::new();
        for (_, attempt) in self.attempts().filter(|(_, attempt)| !attempt.is_finished()) {
            let (unfinished, silent) = zone_counts.entry(attempt.kind.zone).or_default();
            (*unfinished, *silent) = (*unfinished + 1, *silent + usize::from(self.is_silent(attempt, now)));
        }
        let zone_count = zone_counts.len();
        let verdict_on = |(part, attempt): (PartId, &Attempt)| {
            let baseline = self.baseline(part, attempt.worker);
            let rate = attempt.rate();
            let rate_ratio = rate.zip(baseline).map(|(rate, baseline)| rate / baseline.median_log_rate.exp());
            let confidence = (attempt.score / score_threshold()).min(1.0);
            let latest_evidence =
                attempt.latest_rate().zip(baseline).map(|(rate, baseline)| evidence(rate, baseline));
            let reports_needed = latest_evidence
                .filter(|evidence| *evidence > 0.0)
                .map(|evidence| ((score_threshold() - attempt.score) / evidence).ceil().max(0.0) as u32);
            let is_zone_silent = zone_counts.get(&attempt.kind.zone).is_some_and(|(unfinished, silent)| {
                unfinished == silent && *unfinished > 1 && zone_count > 1
            });
            let cause = if attempt.is_finished() {
                Cause::AtBarrier
            } else if self.is_silent(attempt, now) {
                if is_zone_silent {
                    Cause::ZoneSilent
                } else {
                    Cause::Silent
                }
            } else if confidence >= 1.0 {
                Cause::Straggler
            } else if self.is_kind_slow(attempt) {
                if attempt.kind.warm {
                    Cause::KindSlow
                } else {
                    Cause::Cold
                }
            } else if attempt.size > LARGE_PART_FACTOR * median_size {
                Cause::LargePart
            } else {
                Cause::Healthy
            };
            Verdict { part, worker: attempt.worker, cause, rate_ratio, confidence, reports_needed }
        };
        self.attempts().map(verdict_on).collect()
    }

    fn is_silent(&self, attempt: &Attempt, now: Ms) -> bool {
        now > attempt.last_report_time() + SILENT_PERIODS * self.report_period
    }

    /// Whether the median rate of the workers of this machine type that are warm, or cold, like this one is far below that
    /// of all other workers.
    fn is_kind_slow(&self, own_attempt: &Attempt) -> bool {
        let rates = |same_kind: bool| -> Vec<f64> {
            let all = self.attempts().map(|(_, attempt)| attempt);
            let selected = all.filter(|attempt| {
                (attempt.kind.machine == own_attempt.kind.machine
                    && attempt.kind.warm == own_attempt.kind.warm)
                    == same_kind
            });
            selected.filter_map(Attempt::rate).filter(|rate| *rate > 0.0).collect()
        };
        let (kind_median, others_median) = (median(&mut rates(true)), median(&mut rates(false)));
        kind_median
            .zip(others_median)
            .is_some_and(|(kind_median, others_median)| kind_median < STRAGGLER_RATE_RATIO * others_median)
    }
}

/// The evidence of one report for a straggler, or against it if negative: the log-likelihood ratio of its rate, with the
/// rate of a straggler ([`STRAGGLER_RATE_RATIO`]) against that of the baseline.
fn evidence(rate: f64, baseline: Baseline) -> f64 {
    let limit = score_threshold() / MIN_REPORTS;
    if rate <= 0.0 {
        return limit;
    }
    let (deviation, straggler_deviation) = (
        (rate.ln() - baseline.median_log_rate) / baseline.scatter,
        STRAGGLER_RATE_RATIO.ln() / baseline.scatter,
    );
    (straggler_deviation * deviation - straggler_deviation * straggler_deviation / 2.0).clamp(-limit, limit)
}

/// The score at which a worker is called a straggler.
fn score_threshold() -> f64 {
    ((1.0 - MISS_RATE) / FALSE_ALARM_RATE).ln()
}
