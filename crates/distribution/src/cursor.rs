//! What one subscriber is told next.
//!
//! A cursor holds no entries: what is pending is looked up in the list when the subscriber can take more, so a slow
//! subscriber costs its position and one bounded piece of text, and of several changes to a worker it is told the latest.
//!
//! What doesn't fit into one piece is told under a version that lies before some of it: a snapshot under the version at
//! its begin, a part of the differences under the version up to which everything was told. Resuming from there repeats
//! what is told. One case is left: a subscriber that saw a worker arrive in its scope in such a piece, goes to another
//! relay before the rest, and that relay learns of the worker only after it has moved on. A scope whose workers fit into
//! one piece never meets it.

use std::io::Write;

use crate::change_log::{Change, ChangeLog};
use crate::entry::Lifecycle;
use crate::locations::PlaceSet;
use crate::scope::Scope;
use crate::worker_list::{FormerPlace, Record, WorkerList};

/// What one call of [`Cursor::next`] does at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CursorLimits {
    /// Bytes of entries written at a time. An entry that is longer by itself is written alone.
    pub chunk_bytes: usize,
    /// Workers or changes looked at.
    pub scanned_records: usize,
}

impl Default for CursorLimits {
    /// 64 KiB, and 65,536 workers.
    fn default() -> Self {
        CursorLimits { chunk_bytes: 64 << 10, scanned_records: 65_536 }
    }
}

/// What a call of [`Cursor::next`] came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// What was written is to be sent now. It may end within a line, where the next call goes on.
    Send,
    /// There is more to be looked at: it is to be called again, with what was written, once others had their turn.
    Scanning,
    /// The subscriber has been told everything: it is to be called again once the list has changed.
    UpToDate,
    /// The source has started its versions anew: this watch has to end, within a line or not.
    Void,
}

/// How far a subscriber has come.
#[derive(Debug)]
enum Progress {
    /// The subscriber has seen a version that the list has yet to reach.
    Ahead,
    /// A snapshot has yet to begin.
    SnapshotDue,
    /// The snapshot is written up to this slot.
    Snapshot { next_slot: u32, is_first: bool },
    /// Differences are sent.
    Following,
}

/// One subscriber's position in the list.
#[derive(Debug)]
pub struct Cursor {
    limits: CursorLimits,
    places: PlaceSet,
    epoch: u64,
    progress: Progress,
    /// Everything up to here was told.
    complete: Change,
    /// The version that goes with it, from which the subscriber may resume.
    version: u64,
    /// The version last told on this watch.
    told: Option<u64>,
    /// The departures up to here were told.
    departures: Change,
    /// All other changes up to here were told.
    others: Change,
}

/// A line of differences, before it is written.
#[derive(Default)]
struct Picked {
    slots: Vec<u32>,
    bytes: usize,
}

impl Cursor {
    /// A watch of a scope, from the version that the subscriber holds if it holds one.
    pub fn new(scope: Scope, index: Option<u64>, list: &WorkerList, limits: CursorLimits) -> Cursor {
        let version = list.version().unwrap_or_default();
        let progress = match index {
            None => Progress::SnapshotDue,
            Some(index) if index > version => Progress::Ahead,
            Some(index) if list.can_resume(index) => Progress::Following,
            Some(_) => Progress::SnapshotDue,
        };
        let complete = Change::after(index.unwrap_or_default().min(version));
        Cursor {
            limits,
            places: PlaceSet::new(&scope),
            epoch: list.epoch(),
            progress,
            complete,
            version: index.unwrap_or_default(),
            told: None,
            departures: complete,
            others: complete,
        }
    }

    /// Whether a snapshot has yet to begin or to end.
    pub fn is_in_snapshot(&self) -> bool {
        matches!(self.progress, Progress::SnapshotDue | Progress::Snapshot { .. })
    }

    /// Whether what was written last ended within a line.
    pub fn is_within_line(&self) -> bool {
        matches!(self.progress, Progress::Snapshot { .. })
    }

    /// Whether the subscriber has been told everything up to the version that was last told, and nothing beyond it.
    pub fn is_complete(&self, list: &WorkerList) -> bool {
        let follows = self.epoch == list.epoch() && matches!(self.progress, Progress::Following);
        follows && self.complete == list.head() && list.head().version <= self.version
    }

    /// Writes what the subscriber is to be told next behind what `out` holds.
    pub fn next(&mut self, list: &WorkerList, out: &mut Vec<u8>) -> Step {
        if self.epoch != list.epoch() {
            return Step::Void;
        }
        self.places.extend(list.places());
        match self.progress {
            Progress::Ahead => return self.step_ahead(list, out),
            Progress::Following if self.complete < list.floor_position() => {
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

    /// Writes what shows that the watch lives while nothing is to be told: an empty line, or the list's version if
    /// that has risen.
    pub fn heartbeat(&mut self, list: &WorkerList, out: &mut Vec<u8>) {
        let current = match self.progress {
            Progress::Ahead => list.version().unwrap_or_default(),
            _ => self.version,
        };
        match self.told {
            Some(told) if told == current => out.push(b'\n'),
            _ => self.write_version(current, out),
        }
    }

    /// Tells a subscriber that it is ahead, so that it can look for another relay, and nothing that it may know better.
    fn step_ahead(&mut self, list: &WorkerList, out: &mut Vec<u8>) -> Step {
        let version = list.version().unwrap_or_default();
        if version >= self.version {
            // Guards against versions that count anew: what the subscriber holds may belong to the old ones.
            let can_follow = list.epoch() == 0 && list.can_resume(self.version);
            self.progress = if can_follow { Progress::Following } else { Progress::SnapshotDue };
            return Step::Scanning;
        }
        if self.told.is_some() {
            return Step::UpToDate;
        }
        self.write_version(version, out);
        Step::Send
    }

    /// From here on the snapshot's version is the subscriber's: what changes while it is written is told again behind it.
    fn begin_snapshot(&mut self, list: &WorkerList, out: &mut Vec<u8>) {
        self.complete = list.head();
        (self.departures, self.others) = (self.complete, self.complete);
        self.version = list.version().unwrap_or_default();
        write_head(out, self.version, true);
    }

    fn step_snapshot(&mut self, list: &WorkerList, out: &mut Vec<u8>, from: u32, mut is_first: bool) -> Step {
        let scan = u32::try_from(self.limits.scanned_records.max(1)).unwrap_or(u32::MAX);
        let end = from.saturating_add(scan).min(list.slots());
        for slot in from..end {
            let wanted = |record: &&Record| record.lifecycle != Lifecycle::Gone && self.concerns(record);
            let Some(record) = list.record(slot).filter(wanted) else { continue };
            if !out.is_empty() && out.len() + record.entry.len() > self.limits.chunk_bytes {
                self.progress = Progress::Snapshot { next_slot: slot, is_first };
                return Step::Send;
            }
            write_entry(out, &record.entry, &mut is_first);
        }
        if end < list.slots() {
            self.progress = Progress::Snapshot { next_slot: end, is_first };
            return Step::Scanning;
        }
        out.extend_from_slice(TAIL);
        self.told = Some(self.version);
        self.progress = Progress::Following;
        Step::Send
    }

    /// One line of differences: departures first, over everything that is pending.
    fn step_differences(&mut self, list: &WorkerList, out: &mut Vec<u8>) -> Step {
        let mut picked = Picked::default();
        let mut scan = self.limits.scanned_records.max(1);
        let (departures, departures_done) =
            self.pick(list, list.departures(), self.departures, &mut picked, &mut scan);
        self.departures = departures;
        let mut all_done = false;
        if departures_done {
            (self.others, all_done) = self.pick(list, list.others(), self.others, &mut picked, &mut scan);
        }
        if all_done {
            self.complete = list.head();
            (self.departures, self.others) = (self.complete, self.complete);
            self.version = list.version().unwrap_or_default();
        }
        if !picked.slots.is_empty() {
            self.write_differences(list, &picked, out);
            return Step::Send;
        }
        match (all_done, self.told) {
            (false, _) => Step::Scanning,
            (true, Some(_)) => Step::UpToDate,
            // The first line shows the subscriber that it is in step.
            (true, None) => {
                self.write_version(self.version, out);
                Step::Send
            }
        }
    }

    /// Picks changes behind a position as far as there is room; returns how far it came, and whether that is the end.
    fn pick(
        &self,
        list: &WorkerList,
        log: &ChangeLog,
        mut position: Change,
        picked: &mut Picked,
        scan: &mut usize,
    ) -> (Change, bool) {
        for logged in log.since(position) {
            if *scan == 0 {
                return (position, false);
            }
            *scan -= 1;
            let record = list.changed_record(&logged);
            if let Some(record) = record.filter(|record| self.concerns(record)) {
                if !picked.slots.is_empty() && picked.bytes + record.entry.len() > self.limits.chunk_bytes {
                    return (position, false);
                }
                picked.bytes += record.entry.len() + 1;
                picked.slots.push(logged.slot);
            }
            position = logged.change();
        }
        (position, true)
    }

    /// Whether the subscriber is told of a worker: it is in the scope, or was, as far as that is remembered.
    ///
    /// A worker that moves out of a scope is not gone, and must not be told so. The subscriber sees by the entry where the
    /// worker is now, and is told as well when it leaves there or comes back.
    fn concerns(&self, record: &Record) -> bool {
        let is_former = |former: &FormerPlace| self.places.contains(former.place);
        self.places.contains(record.place) || record.former_places().iter().any(is_former)
    }

    fn write_differences(&mut self, list: &WorkerList, picked: &Picked, out: &mut Vec<u8>) {
        write_head(out, self.version, false);
        let mut is_first = true;
        for slot in &picked.slots {
            let Some(record) = list.record(*slot) else { continue };
            write_entry(out, &record.entry, &mut is_first);
        }
        out.extend_from_slice(TAIL);
        self.told = Some(self.version);
    }

    fn write_version(&mut self, version: u64, out: &mut Vec<u8>) {
        write_head(out, version, false);
        out.extend_from_slice(TAIL);
        self.told = Some(version);
    }
}

/// What stands behind the entries of a line.
const TAIL: &[u8] = b"]}\n";

fn write_head(out: &mut Vec<u8>, version: u64, reset: bool) {
    // Writing to memory doesn't fail.
    _ = write!(out, "{{\"generation\":{version},\"reset\":{reset},\"instances\":[");
}

fn write_entry(out: &mut Vec<u8>, entry: &[u8], is_first: &mut bool) {
    if !std::mem::take(is_first) {
        out.push(b',');
    }
    out.extend_from_slice(entry);
}
