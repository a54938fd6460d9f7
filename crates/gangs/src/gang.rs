//! A gang: its rounds and parts, and who of it is slow against its like.

use std::collections::BTreeMap;

use juniperrail_interface::{Ms, WorkerId, ZoneId};

use crate::progress::{median, Attempt, PartId, ProgressReport};

/// What a straggler's rate is taken to be against its peers' where it is tested for. What speaks for it and against it is
/// even at the root of that, two thirds: half speed is surely under it, and what workers of one kind differ by above it.
const SLOW: f64 = 4.0 / 9.0;
/// How often one that is well may be called a straggler, and how often one is missed: a run has ten million sums, as of ten
/// thousand workers a thousand each.
const FALSE_ALARM: f64 = 1e-7;
const MISSED: f64 = 0.02;
/// Rates scatter by this much at the least, in the logarithm: less would be chance.
const SCATTER: f64 = 0.12;
/// It takes so many sums at the least: a stall of one period is no straggler.
const SUMS: f64 = 4.0;
/// Fewer peers of like kind are no measure; then all of the gang are.
const PEERS: usize = 4;
/// Who says nothing for so many periods is silent.
const SILENT: f64 = 3.0;
/// A part is large where it is so much larger than the middle one.
const LARGE: f64 = 1.8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Slow against its like.
    Straggler,
    /// Slow with all of its kind of machine or its cell.
    KindSlow,
    /// As fast as its like, with more to do.
    LargePart,
    /// Cold, and as slow as the cold are.
    Cold,
    /// It says nothing; that is no progress and no proof of none.
    Silent,
    /// All of its zone say nothing: that is failover's matter.
    ZoneSilent,
    /// It is done and waits for others.
    AtBarrier,
    Healthy,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub part: PartId,
    pub worker: WorkerId,
    pub cause: Cause,
    /// Its rate against its peers', where both are known.
    pub rate_ratio: Option<f64>,
    /// 0 to 1: how far the evidence has come towards calling it a straggler.
    pub confidence: f64,
    /// So many more sums like the last ones would make it sure; `None` where they speak against it.
    pub reports_needed: Option<u32>,
}

#[derive(Clone, Debug)]
pub struct Gang {
    pub round: u32,
    /// Sums come so often from each worker.
    period: Ms,
    pub idempotent: bool,
    /// Attempts at each part, the first one first.
    parts: BTreeMap<PartId, Vec<Attempt>>,
}

/// What is usual among peers: the middle logarithm of their rates, and how far they scatter.
#[derive(Clone, Copy, Debug)]
struct Usual {
    middle: f64,
    scatter: f64,
}

impl Gang {
    pub fn new(period: Ms, idempotent: bool) -> Gang {
        Gang { round: 0, period, idempotent, parts: BTreeMap::new() }
    }

    /// Attempts that are under way or over, with their parts.
    pub fn attempts(&self) -> impl Iterator<Item = (PartId, &Attempt)> {
        self.parts.iter().flat_map(|(part, tracks)| tracks.iter().map(|track| (*part, track)))
    }

    pub fn attempt_count(&self, part: PartId) -> usize {
        self.parts.get(&part).map_or(0, Vec::len)
    }

    /// Whether every part of the round is done by some attempt.
    pub fn is_finished(&self) -> bool {
        !self.parts.is_empty() && self.parts.values().all(|tracks| tracks.iter().any(Attempt::is_finished))
    }

    /// Takes a word. One of an earlier round was overtaken; one of a later round begins that.
    pub fn record(&mut self, sum: &ProgressReport) {
        if sum.round < self.round || sum.size.is_nan() || sum.size <= 0.0 {
            return;
        }
        if sum.round > self.round {
            self.round = sum.round;
            self.parts.clear();
        }
        let tracks = self.parts.entry(sum.part).or_default();
        let Some(track) = tracks.iter_mut().find(|track| track.worker == sum.worker) else {
            tracks.push(Attempt::new(sum));
            return;
        };
        if !track.record(sum) {
            return;
        }
        let step = track.latest_rate();
        let (part, worker) = (sum.part, sum.worker);
        if let Some(step) = step.filter(|_| sum.done < 1.0) {
            let usual = self.usual(part, worker);
            let track = self.parts.get_mut(&part).and_then(|all| all.iter_mut().find(|t| t.worker == worker));
            if let (Some(usual), Some(track)) = (usual, track) {
                track.scored_reports += 1;
                track.score = (track.score + evidence(step, usual)).clamp(0.0, 2.0 * bound());
            }
        }
    }

    /// What is usual among like peers of an attempt, by their rates over all that is kept of them.
    fn usual(&self, part: PartId, worker: WorkerId) -> Option<Usual> {
        let own = self.attempts().find(|(of, track)| *of == part && track.worker == worker)?.1;
        let others = || self.attempts().map(|(_, track)| track).filter(|track| track.worker != worker);
        let like =
            |track: &&Attempt| track.kind.machine == own.kind.machine && track.kind.warm == own.kind.warm;
        let logs = |tracks: &mut dyn Iterator<Item = &Attempt>| -> Vec<f64> {
            tracks.filter_map(|track| track.rate()).filter(|rate| *rate > 0.0).map(f64::ln).collect()
        };
        let mut peers = logs(&mut others().filter(like));
        if peers.len() < PEERS {
            // The cold are no measure for the warm, nor the other way.
            peers = logs(&mut others().filter(|track| track.kind.warm == own.kind.warm));
        }
        if peers.len() < PEERS {
            return None;
        }
        let middle = median(&mut peers)?;
        let steps =
            others().filter(like).filter_map(Attempt::latest_rate).filter(|step| *step > 0.0).map(f64::ln);
        let mut off: Vec<f64> = steps.map(|log| (log - middle).abs()).collect();
        if off.len() < PEERS {
            off = peers.iter().map(|log| (log - middle).abs()).collect();
        }
        // Steps scatter by more than rates over many of them, and it is a step that is tested. Of a normal scatter the
        // median deviation is 0.6745 of the standard one.
        let scatter = median(&mut off)? / 0.6745;
        Some(Usual { middle, scatter: scatter.max(SCATTER) })
    }

    /// How every attempt that is not over stands.
    pub fn verdicts(&self, now: Ms) -> Vec<Verdict> {
        let mut sizes: Vec<f64> = self.attempts().map(|(_, track)| track.size).collect();
        let middle_size = median(&mut sizes).unwrap_or(1.0);
        let mut heard: BTreeMap<ZoneId, (usize, usize)> = BTreeMap::new();
        for (_, track) in self.attempts().filter(|(_, track)| !track.is_finished()) {
            let zone = heard.entry(track.kind.zone).or_default();
            (zone.0, zone.1) = (zone.0 + 1, zone.1 + usize::from(self.silent(track, now)));
        }
        let zones = heard.len();
        let verdict = |(part, track): (PartId, &Attempt)| {
            let usual = self.usual(part, track.worker);
            let rate = track.rate();
            let ratio = rate.zip(usual).map(|(rate, usual)| rate / usual.middle.exp());
            let sure = (track.score / bound()).min(1.0);
            let step = track.latest_rate().zip(usual).map(|(step, usual)| evidence(step, usual));
            let more = step
                .filter(|step| *step > 0.0)
                .map(|step| ((bound() - track.score) / step).ceil().max(0.0) as u32);
            let zone_silent = heard
                .get(&track.kind.zone)
                .is_some_and(|(all, silent)| all == silent && *all > 1 && zones > 1);
            let cause = if track.is_finished() {
                Cause::AtBarrier
            } else if self.silent(track, now) {
                if zone_silent {
                    Cause::ZoneSilent
                } else {
                    Cause::Silent
                }
            } else if sure >= 1.0 {
                Cause::Straggler
            } else if self.kind_slow(track) {
                if track.kind.warm {
                    Cause::KindSlow
                } else {
                    Cause::Cold
                }
            } else if track.size > LARGE * middle_size {
                Cause::LargePart
            } else {
                Cause::Healthy
            };
            Verdict {
                part,
                worker: track.worker,
                cause,
                rate_ratio: ratio,
                confidence: sure,
                reports_needed: more,
            }
        };
        self.attempts().map(verdict).collect()
    }

    fn silent(&self, track: &Attempt, now: Ms) -> bool {
        now > track.last_report_time() + SILENT * self.period
    }

    /// Whether all of its kind are slow against the others.
    fn kind_slow(&self, own: &Attempt) -> bool {
        let rates = |like: bool| -> Vec<f64> {
            let all = self.attempts().map(|(_, track)| track);
            let some =
                all.filter(|t| (t.kind.machine == own.kind.machine && t.kind.warm == own.kind.warm) == like);
            some.filter_map(Attempt::rate).filter(|rate| *rate > 0.0).collect()
        };
        let (like, others) = (median(&mut rates(true)), median(&mut rates(false)));
        like.zip(others).is_some_and(|(like, others)| like < SLOW * others)
    }
}

/// What one sum adds for a straggler, or takes: the logarithm of how much likelier it is of one at [`SLOW`].
fn evidence(step: f64, usual: Usual) -> f64 {
    let most = bound() / SUMS;
    if step <= 0.0 {
        return most;
    }
    let (off, slow) = ((step.ln() - usual.middle) / usual.scatter, SLOW.ln() / usual.scatter);
    (slow * off - slow * slow / 2.0).clamp(-most, most)
}

fn bound() -> f64 {
    ((1.0 - MISSED) / FALSE_ALARM).ln()
}
