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
    /// The work of the part, in any unit that is the same for all parts.
    pub size: f64,
    /// The ratio of the part that is done, 0 to 1.
    pub done: f64,
    /// When the worker reported, by the reporter's clock.
    pub reported_at: Ms,
}

/// Limit on the points stored per attempt; the oldest is dropped first.
const MAX_POINTS: usize = 8;

/// The progress that one report shows.
#[derive(Clone, Copy, Debug)]
struct ProgressPoint {
    /// By the reporter's clock.
    reported_at: Ms,
    /// The ratio of the part that was done.
    done: f64,
}

/// One worker's attempt at a part.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerId,
    pub kind: WorkerKind,
    pub size: f64,
    /// The progress by the latest reports, oldest first.
    points: VecDeque<ProgressPoint>,
    /// Work per millisecond over all stored points.
    rate: Option<f64>,
    /// Cumulative evidence for a straggler, minus that against it; never below 0.
    pub score: f64,
    /// Number of reports whose evidence was added to the score.
    pub scored_reports: u32,
}

impl Attempt {
    /// Starts tracking with the first report on the attempt.
    pub fn new(report: &ProgressReport) -> Attempt {
        let points = VecDeque::from([ProgressPoint { reported_at: report.reported_at, done: report.done }]);
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
        let Some(last) = self.points.back().copied() else { return false };
        if report.reported_at <= last.reported_at || report.done < last.done || !report.done.is_finite() {
            return false;
        }
        self.kind = report.kind;
        self.points.push_back(ProgressPoint { reported_at: report.reported_at, done: report.done.min(1.0) });
        if self.points.len() > MAX_POINTS {
            self.points.pop_front();
        }
        self.rate = self.median_slope();
        true
    }

    /// The ratio of the part that is done, 0 to 1, by the last report.
    pub fn done(&self) -> f64 {
        self.points.back().map_or(0.0, |point| point.done)
    }

    /// Whether the part is done by the last report.
    pub fn is_finished(&self) -> bool {
        self.done() >= 1.0
    }

    /// When the worker made the last report, by the reporter's clock.
    pub fn last_report_time(&self) -> Ms {
        self.points.back().map_or(f64::NEG_INFINITY, |point| point.reported_at)
    }

    /// Work per millisecond between the last two reports.
    pub fn latest_rate(&self) -> Option<f64> {
        let (last, before) = (self.points.back()?, self.points.iter().rev().nth(1)?);
        let rate = (last.done - before.done) * self.size / (last.reported_at - before.reported_at);
        rate.is_finite().then_some(rate)
    }

    /// Work per millisecond over all stored points: the median of the slopes of all pairs (Theil, 1950; Sen, 1968).
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    fn median_slope(&self) -> Option<f64> {
        let points: Vec<&ProgressPoint> = self.points.iter().collect();
        let mut slopes = Vec::new();
        for (index, earlier) in points.iter().enumerate() {
            slopes.extend(points[index + 1..].iter().map(|later| {
                (later.done - earlier.done) * self.size / (later.reported_at - earlier.reported_at)
            }));
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
        len if len % 2 == 1 => Some(values[middle]),
        _ => Some((values[middle - 1] + values[middle]) / 2.0),
    }
}
