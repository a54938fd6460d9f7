//! The progress of one attempt at a part, from the reports on it.

use std::collections::VecDeque;

use juniperrail_interface::{CellId, MachineId, Ms, WorkerId, ZoneId};
use serde::{Deserialize, Serialize};

/// The number of a part within a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u32);

/// The properties by which peers are chosen: a worker's rate is compared with those of similar workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerKind {
    pub machine: MachineId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub warm: bool,
}

/// One report on an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressReport {
    pub round: u32,
    pub part: PartId,
    pub worker: WorkerId,
    pub kind: WorkerKind,
    /// The work of the whole part, in any unit that is the same for all parts.
    pub size: f64,
    /// The ratio of the part that is done, 0 to 1.
    pub done: f64,
    /// When the worker reported, by the reporter's clock.
    pub reported_at: Ms,
}

/// Points of progress kept per attempt.
const MAX_POINTS: usize = 8;

/// One worker's attempt at a part.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub kind: WorkerKind,
    pub size: f64,
    /// When each kept report was made, and the ratio of the part that was done.
    points: VecDeque<(Ms, f64)>,
    /// Work per millisecond over all kept points.
    rate: Option<f64>,
    /// Cumulative evidence for a straggler, minus that against it; never below 0.
    pub score: f64,
    /// Number of reports that changed the score.
    pub scored_reports: u32,
}

impl Attempt {
    /// Starts tracking with the first report on the attempt.
    pub fn new(report: &ProgressReport) -> Attempt {
        let points = VecDeque::from([(report.reported_at, report.done)]);
        Attempt {
            worker: report.worker,
            kind: report.kind,
            size: report.size,
            points,
            rate: None,
            score: 0.0,
            scored_reports: 0,
        }
    }

    /// Records a report and returns whether it was new. A report that is older than the last one, or shows less progress,
    /// was reordered on its way and is ignored.
    pub fn record(&mut self, report: &ProgressReport) -> bool {
        let Some((last_reported_at, done)) = self.points.back().copied() else { return false };
        if report.reported_at <= last_reported_at || report.done < done || !report.done.is_finite() {
            return false;
        }
        self.kind = report.kind;
        self.points.push_back((report.reported_at, report.done.min(1.0)));
        if self.points.len() > MAX_POINTS {
            self.points.pop_front();
        }
        self.rate = self.median_slope();
        true
    }

    /// The ratio of the part that is done, 0 to 1, by the last report.
    pub fn done(&self) -> f64 {
        self.points.back().map_or(0.0, |(_, done)| *done)
    }

    /// Whether the last report says that the whole part is done.
    pub fn is_finished(&self) -> bool {
        self.done() >= 1.0
    }

    /// When the worker made the last report, by the reporter's clock.
    pub fn last_report_time(&self) -> Ms {
        self.points.back().map_or(f64::NEG_INFINITY, |(reported_at, _)| *reported_at)
    }

    /// Work per millisecond between the last two reports.
    pub fn latest_rate(&self) -> Option<f64> {
        let (last, before) = (self.points.back()?, self.points.iter().rev().nth(1)?);
        let rate = (last.1 - before.1) * self.size / (last.0 - before.0);
        rate.is_finite().then_some(rate)
    }

    /// Work per millisecond over all kept points: the median of the slopes of all pairs (Theil, 1950; Sen, 1968).
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    fn median_slope(&self) -> Option<f64> {
        let points: Vec<&(Ms, f64)> = self.points.iter().collect();
        let mut slopes = Vec::new();
        for (index, earlier) in points.iter().enumerate() {
            slopes.extend(
                points[index + 1..]
                    .iter()
                    .map(|later| (later.1 - earlier.1) * self.size / (later.0 - earlier.0)),
            );
        }
        median(&mut slopes)
    }

    /// The time that the remaining work takes at the current rate.
    pub fn remaining_time(&self) -> Option<Ms> {
        let rate = self.rate().filter(|rate| *rate > 0.0)?;
        Some((1.0 - self.done()) * self.size / rate)
    }
}

/// The middle value, or the mean of the two in the middle. Sorts the values.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => None,
        odd if odd % 2 == 1 => Some(values[middle]),
        _ => Some((values[middle - 1] + values[middle]) / 2.0),
    }
}
