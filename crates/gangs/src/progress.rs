//! One attempt at one part, as sums tell of it.

use std::collections::VecDeque;

use juniperrail_interface::{CellId, MachineId, Ms, WorkerId, ZoneId};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u32);

/// What a worker is like: rates are held against those of like ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerKind {
    pub machine: MachineId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub warm: bool,
}

/// One word on an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressReport {
    pub round: u32,
    pub part: PartId,
    pub worker: WorkerId,
    pub kind: WorkerKind,
    /// The work of the whole part, in any unit that is the same for all parts.
    pub size: f64,
    /// What is done of it, 0 to 1.
    pub done: f64,
    /// When the worker said so, by the reporter's clock.
    pub at: Ms,
}

/// Points of progress that are kept.
const KEPT: usize = 8;

#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub kind: WorkerKind,
    pub size: f64,
    points: VecDeque<(Ms, f64)>,
    /// Work a millisecond over all points kept.
    rate: Option<f64>,
    /// What speaks for a straggler less what speaks against it; not below 0.
    pub score: f64,
    /// Sums that added to it.
    pub scored_reports: u32,
}

impl Attempt {
    pub fn new(sum: &ProgressReport) -> Attempt {
        let points = VecDeque::from([(sum.at, sum.done)]);
        Attempt {
            worker: sum.worker,
            kind: sum.kind,
            size: sum.size,
            points,
            rate: None,
            score: 0.0,
            scored_reports: 0,
        }
    }

    /// Takes a later word; an older one, or one that goes back, was overtaken on its way. Whether it was later.
    pub fn record(&mut self, sum: &ProgressReport) -> bool {
        let Some((at, done)) = self.points.back().copied() else { return false };
        if sum.at <= at || sum.done < done || !sum.done.is_finite() {
            return false;
        }
        self.kind = sum.kind;
        self.points.push_back((sum.at, sum.done.min(1.0)));
        if self.points.len() > KEPT {
            self.points.pop_front();
        }
        self.rate = self.slope();
        true
    }

    pub fn done(&self) -> f64 {
        self.points.back().map_or(0.0, |(_, done)| *done)
    }

    pub fn is_finished(&self) -> bool {
        self.done() >= 1.0
    }

    pub fn last_report_time(&self) -> Ms {
        self.points.back().map_or(f64::NEG_INFINITY, |(at, _)| *at)
    }

    /// Work a millisecond between the last two words.
    pub fn latest_rate(&self) -> Option<f64> {
        let (last, before) = (self.points.back()?, self.points.iter().rev().nth(1)?);
        let rate = (last.1 - before.1) * self.size / (last.0 - before.0);
        rate.is_finite().then_some(rate)
    }

    /// Work a millisecond over all points kept: the median of the slopes of all pairs (Theil, 1950; Sen, 1968).
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    fn slope(&self) -> Option<f64> {
        let points: Vec<&(Ms, f64)> = self.points.iter().collect();
        let mut slopes = Vec::new();
        for (place, a) in points.iter().enumerate() {
            slopes.extend(points[place + 1..].iter().map(|b| (b.1 - a.1) * self.size / (b.0 - a.0)));
        }
        median(&mut slopes)
    }

    /// The time that what is left takes at this rate.
    pub fn remaining_time(&self) -> Option<Ms> {
        let rate = self.rate().filter(|rate| *rate > 0.0)?;
        Some((1.0 - self.done()) * self.size / rate)
    }
}

/// The middle one, or the mean of the two in the middle.
pub fn median(of: &mut [f64]) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    let middle = of.len() / 2;
    match of.len() {
        0 => None,
        odd if odd % 2 == 1 => Some(of[middle]),
        _ => Some((of[middle - 1] + of[middle]) / 2.0),
    }
}
