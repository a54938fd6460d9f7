//! Which workers changed, in the order of their latest changes.

use std::collections::VecDeque;

/// The log is compacted once it exceeds twice its length after the last compaction by more than this many changes.
const COMPACTION_SLACK: usize = 1024;

/// The position of a change: its version, and its number within that version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ChangePosition {
    pub version: u64,
    pub ordinal: u32,
}

impl ChangePosition {
    /// The position after every change of a version.
    pub fn end_of(version: u64) -> ChangePosition {
        ChangePosition { version, ordinal: u32::MAX }
    }
}

/// A change in the log, in 16 bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedChange {
    version: u64,
    ordinal: u32,
    /// The slot of the worker's record.
    pub slot: u32,
}

impl LoggedChange {
    pub fn position(&self) -> ChangePosition {
        ChangePosition { version: self.version, ordinal: self.ordinal }
    }
}

/// Changes in ascending order. Only the latest change of each worker is needed. Compaction removes the others, so the
/// number of workers bounds the length of the log.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<LoggedChange>,
    len_after_compaction: usize,
}

impl ChangeLog {
    /// Appends a change that is later than all others.
    pub fn push(&mut self, position: ChangePosition, slot: u32) {
        self.changes.push_back(LoggedChange { version: position.version, ordinal: position.ordinal, slot });
    }

    pub fn pop_oldest(&mut self) -> Option<LoggedChange> {
        self.changes.pop_front()
    }

    /// The changes after a position.
    pub fn since(&self, position: ChangePosition) -> impl Iterator<Item = LoggedChange> + '_ {
        let start = self.changes.partition_point(|change| change.position() <= position);
        self.changes.range(start..).copied()
    }

    /// Removes the changes that are not needed, unless the log has grown little since the last compaction.
    pub fn compact(&mut self, is_needed: impl Fn(&LoggedChange) -> bool) {
        if self.changes.len() <= 2 * self.len_after_compaction + COMPACTION_SLACK {
            return;
        }
        self.changes.retain(is_needed);
        self.changes.shrink_to(self.changes.len() + COMPACTION_SLACK);
        self.len_after_compaction = self.changes.len();
    }

    pub fn clear(&mut self) {
        *self = ChangeLog::default();
    }

    /// The memory that the changes take, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.changes.capacity() * size_of::<LoggedChange>()
    }
}
