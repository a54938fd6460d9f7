//! The position of one subscriber in the list, and what to send to it next.
//!
//! A cursor has no copies of entries. Pending entries are read from the list when the subscriber can take more, so a
//! slow subscriber costs a position and one chunk of limited size, and of several changes of a worker it receives only
//! the latest.
//!
//! Whatever does not fit into one chunk is sent under a version that precedes some of its changes: a snapshot under the
//! version at which it began, and a part of the differences under the version up to which every change was sent. A
//! subscriber that resumes from there receives some changes twice. One case is not covered: a subscriber receives the
//! arrival of a worker in its scope in such a part, moves to another relay before the rest, and that relay learns of
//! the worker only after the worker has left the scope again. It cannot occur in a scope whose workers fit into one
//! chunk.

use std::io::Write;

use crate::change_log::{ChangeLog, ChangePosition};
use crate::entry::Lifecycle;
use crate::locations::LocationFilter;
use crate::scope::Scope;
use crate::worker_list::{FormerLocation, Record, WorkerList};

/// Limits on one call of [`Cursor::next`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CursorLimits {
    /// Maximum size of the entries written, in bytes. A single entry that is longer is written alone.
    pub chunk_bytes: usize,
    /// Maximum number of workers or changes examined.
    pub scanned_records: usize,
}

impl Default for CursorLimits {
    /// 64 KiB, and 65,536 workers or changes.
    fn default() -> Self {
        CursorLimits { chunk_bytes: 64 << 10, scanned_records: 65_536 }
    }
}

/// The result of a call of [`Cursor::next`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The output is to be sent now. It may end within a line, which the next call continues.
    Send,
    /// More records are to be examined. The call is to be repeated with the same output, after other subscribers were
    /// served.
    Scanning,
    /// The subscriber has received everything. The call is to be repeated once the list has changed.
    UpToDate,
    /// The source has restarted its versions: the watch has to end, even within a line.
    Invalidated,
}

/// What the subscriber is currently being sent.
#[derive(Debug)]
enum Progress {
    /// Nothing: the subscriber has seen a version that the list has not reached yet.
    Ahead,
    /// A snapshot that has not begun yet.
    SnapshotDue,
    /// A snapshot, which is written up to this slot. `is_first` until an entry is written.
    Snapshot { next_slot: u32, is_first: bool },
    /// Differences.
    Following,
}

/// The position of one subscriber in the list.
#[derive(Debug)]
pub struct Cursor {
    limits: CursorLimits,
    filter: LocationFilter,
    epoch: u64,
    progress: Progress,
    /// Every change up to here was sent.
    sent_through: ChangePosition,
    /// The version that belongs to `sent_through`, from which the subscriber may resume.
    version: u64,
    /// The version sent last on this watch.
    last_sent_version: Option<u64>,
    /// The departures up to here were sent.
    departures_sent_through: ChangePosition,
    /// All other changes up to here were sent.
    other_changes_sent_through: ChangePosition,
}

/// The content of a line of differences: the slots of the changed workers, and the bytes of their entries.
#[derive(Default)]
struct Batch {
    slots: Vec<u32>,
    bytes: usize,
}

impl Cursor {
    /// A cursor for a new watch of this scope. `index` is the subscriber's current version, if it has one.
    pub fn new(scope: Scope, index: Option<u64>, list: &WorkerList, limits: CursorLimits) -> Cursor {
        let version = list.version().unwrap_or_default();
        let progress = match index {
            None => Progress::SnapshotDue,
            Some(index) if index > version => Progress::Ahead,
            Some(index) if list.can_resume(index) => Progress::Following,
            Some(_) => Progress::SnapshotDue,
        };
        let sent_through = ChangePosition::end_of(index.unwrap_or_default().min(version));
        Cursor {
            limits,
            filter: LocationFilter::new(&scope),
            epoch: list.epoch(),
            progress,
            sent_through,
            version: index.unwrap_or_default(),
            last_sent_version: None,
            departures_sent_through: sent_through,
            other_changes_sent_through: sent_through,
        }
    }

    /// Whether a snapshot is due or incomplete.
    pub fn is_in_snapshot(&self) -> bool {
        matches!(self.progress, Progress::SnapshotDue | Progress::Snapshot { .. })
    }

    /// Whether the last output ended within a line.
    pub fn is_within_line(&self) -> bool {
        matches!(self.progress, Progress::Snapshot { .. })
    }

    /// Whether the subscriber has received every change up to the version sent last, and none after it.
    pub fn is_complete(&self, list: &WorkerList) -> bool {
        let is_following = self.epoch == list.epoch() && matches!(self.progress, Progress::Following);
        is_following && self.sent_through == list.head() && list.head().version <= self.version
    }

    /// Appends to `out` what to send to the subscriber next.
    pub fn next(&mut self, list: &WorkerList, out: &mut Vec<u8>) -> Step {
        if self.epoch != list.epoch() {
            return Step::Invalidated;
        }
        self.filter.extend(list.locations());
        match self.progress {
            Progress::Ahead => return self.step_ahead(list, out),
            Progress::Following if self.sent_through < list.floor_position() => {
                self.progress = Progress::SnapshotDue;
            }
            _ => {}
        }
        match self.progress {
            Progress::SnapshotDue => {
                self.begin_snapshot(list, out);
                self.step_snapshot(list, out, 0, true)
            }
            Progress::Snapshot { next_slot, is_first } => self.step_snapshot(list, out, next_slot, is_first),
            _ => self.step_differences(list, out),
        }
    }

    /// Appends a heartbeat, which shows that the watch is alive while there is nothing to send: an empty line, or the
    /// list's version if it is not the version sent last.
    pub fn heartbeat(&mut self, list: &WorkerList, out: &mut Vec<u8>) {
        let current = match self.progress {
            Progress::Ahead => list.version().unwrap_or_default(),
            _ => self.version,
        };
        match self.last_sent_version {
            Some(last_sent) if last_sent == current => out.push(b'\n'),
            _ => self.write_version(current, out),
        }
    }

    /// Sends a subscriber that is ahead only the list's version, so that it can look for another relay. Entries are not
    /// sent, because the subscriber may have newer ones.
    fn step_ahead(&mut self, list: &WorkerList, out: &mut Vec<u8>) -> Step {
        let version = list.version().unwrap_or_default();
        if version >= self.version {
            // After a restart of the versions, the subscriber's version may be one from before the restart.
            let can_follow = list.epoch() == 0 && list.can_resume(self.version);
            self.progress = if can_follow { Progress::Following } else { Progress::SnapshotDue };
            return Step::Scanning;
        }
        if self.last_sent_version.is_some() {
            return Step::UpToDate;
        }
        self.write_version(version, out);
        Step::Send
    }

    /// Begins a snapshot, whose version becomes the subscriber's. Changes made while the snapshot is written are sent
    /// after it, even if it already includes them.
    fn begin_snapshot(&mut self, list: &WorkerList, out: &mut Vec<u8>) {
        self.sent_through = list.head();
        (self.departures_sent_through, self.other_changes_sent_through) =
            (self.sent_through, self.sent_through);
        self.version = list.version().unwrap_or_default();
        write_line_start(out, self.version, true);
    }

    fn step_snapshot(&mut self, list: &WorkerList, out: &mut Vec<u8>, from: u32, mut is_first: bool) -> Step {
        let scan_limit = u32::try_from(self.limits.scanned_records.max(1)).unwrap_or(u32::MAX);
        let end = from.saturating_add(scan_limit).min(list.slot_count());
        for slot in from..end {
            let is_included =
                |record: &&Record| record.lifecycle != Lifecycle::Gone && self.is_relevant(record);
            let Some(record) = list.record(slot).filter(is_included) else { continue };
            if !out.is_empty() && out.len() + record.entry.len() > self.limits.chunk_bytes {
                self.progress = Progress::Snapshot { next_slot: slot, is_first };
                return Step::Send;
            }
            write_entry(out, &record.entry, &mut is_first);
        }
        if end < list.slot_count() {
            self.progress = Progress::Snapshot { next_slot: end, is_first };
            return Step::Scanning;
        }
        out.extend_from_slice(LINE_END);
        self.last_sent_version = Some(self.version);
        self.progress = Progress::Following;
        Step::Send
    }

    /// Writes one line of differences. All pending departures come before any other change.
    fn step_differences(&mut self, list: &WorkerList, out: &mut Vec<u8>) -> Step {
        let mut batch = Batch::default();
        let mut scan_budget = self.limits.scanned_records.max(1);
        let (departures, departures_done) =
            self.collect(list, list.departures(), self.departures_sent_through, &mut batch, &mut scan_budget);
        self.departures_sent_through = departures;
        let mut all_done = false;
        if departures_done {
            (self.other_changes_sent_through, all_done) = self.collect(
                list,
                list.other_changes(),
                self.other_changes_sent_through,
                &mut batch,
                &mut scan_budget,
            );
        }
        if all_done {
            self.sent_through = list.head();
            (self.departures_sent_through, self.other_changes_sent_through) =
                (self.sent_through, self.sent_through);
            self.version = list.version().unwrap_or_default();
        }
        if !batch.slots.is_empty() {
            self.write_differences(list, &batch, out);
            return Step::Send;
        }
        match (all_done, self.last_sent_version) {
            (false, _) => Step::Scanning,
            (true, Some(_)) => Step::UpToDate,
            // The first line of a watch shows the subscriber that it is up to date.
            (true, None) => {
                self.write_version(self.version, out);
                Step::Send
            }
        }
    }

    /// Adds the changes after a position to the batch, within the limits. Returns the position reached and whether it
    /// is the end of the log.
    fn collect(
        &self,
        list: &WorkerList,
        log: &ChangeLog,
        mut position: ChangePosition,
        batch: &mut Batch,
        scan_budget: &mut usize,
    ) -> (ChangePosition, bool) {
        for change in log.since(position) {
            if *scan_budget == 0 {
                return (position, false);
            }
            *scan_budget -= 1;
            let record = list.changed_record(&change);
            if let Some(record) = record.filter(|record| self.is_relevant(record)) {
                if !batch.slots.is_empty() && batch.bytes + record.entry.len() > self.limits.chunk_bytes {
                    return (position, false);
                }
                batch.bytes += record.entry.len() + 1;
                batch.slots.push(change.slot);
            }
            position = change.position();
        }
        (position, true)
    }

    /// Whether the worker's entry is sent to the subscriber: the worker is in the scope, or one of its remembered
    /// former locations is.
    ///
    /// A worker that moves out of a scope is not gone and must not be reported as gone. The entry shows the subscriber
    /// where the worker is now. The subscriber also receives the later changes: that the worker leaves its new
    /// location, or that it returns.
    fn is_relevant(&self, record: &Record) -> bool {
        let was_in_scope = |former: &FormerLocation| self.filter.contains(former.location);
        self.filter.contains(record.location) || record.former_locations().iter().any(was_in_scope)
    }

    fn write_differences(&mut self, list: &WorkerList, batch: &Batch, out: &mut Vec<u8>) {
        write_line_start(out, self.version, false);
        let mut is_first = true;
        for slot in &batch.slots {
            let Some(record) = list.record(*slot) else { continue };
            write_entry(out, &record.entry, &mut is_first);
        }
        out.extend_from_slice(LINE_END);
        self.last_sent_version = Some(self.version);
    }

    fn write_version(&mut self, version: u64, out: &mut Vec<u8>) {
        write_line_start(out, version, false);
        out.extend_from_slice(LINE_END);
        self.last_sent_version = Some(version);
    }
}

/// The end of a line, after its entries.
const LINE_END: &[u8] = b"]}\n";

fn write_line_start(out: &mut Vec<u8>, version: u64, reset: bool) {
    // Writing to memory does not fail.
    _ = write!(out, "{{\"generation\":{version},\"reset\":{reset},\"instances\":[");
}

fn write_entry(out: &mut Vec<u8>, entry: &[u8], is_first: &mut bool) {
    if !std::mem::take(is_first) {
        out.push(b',');
    }
    out.extend_from_slice(entry);
}
