//! Which workers changed, in the order of their latest changes.

use std::collections::VecDeque;

/// The log is compacted once it holds so many entries more than twice what the last compaction left.
const SLACK: usize = 1024;

/// The position of a change: its version, and the how manieth it was of that version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Change {
    pub version: u64,
    pub ordinal: u32,
}

impl Change {
    /// The position behind every change of a version.
    pub fn after(version: u64) -> Change {
        Change { version, ordinal: u32::MAX }
    }
}

/// A change as the log holds it, in 16 bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Logged {
    version: u64,
    ordinal: u32,
    /// Where the worker is held.
    pub slot: u32,
}

impl Logged {
    pub fn change(&self) -> Change {
        Change { version: self.version, ordinal: self.ordinal }
    }
}

/// Changes in ascending order. An entry counts only while its worker's latest change is this one; those that no longer
/// count are taken out now and then, so the log is bounded by the number of workers.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    entries: VecDeque<Logged>,
    compacted: usize,
}

impl ChangeLog {
    /// Appends a change that is later than all others.
    pub fn push(&mut self, change: Change, slot: u32) {
        self.entries.push_back(Logged { version: change.version, ordinal: change.ordinal, slot });
    }

    pub fn pop_oldest(&mut self) -> Option<Logged> {
        self.entries.pop_front()
    }

    /// The changes behind a position.
    pub fn since(&self, position: Change) -> impl Iterator<Item = Logged> + '_ {
        let start = self.entries.partition_point(|logged| logged.change() <= position);
        self.entries.range(start..).copied()
    }

    /// Takes out the entries that don't count, if there may be many.
    pub fn compact(&mut self, counts: impl Fn(&Logged) -> bool) {
        if self.entries.len() <= 2 * self.compacted + SLACK {
            return;
        }
        self.entries.retain(counts);
        self.entries.shrink_to(self.entries.len() + SLACK);
        self.compacted = self.entries.len();
    }

    pub fn clear(&mut self) {
        *self = ChangeLog::default();
    }

    /// The memory it takes, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Logged>()
    }
}
