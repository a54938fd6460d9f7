//! The full list of workers, stored once, with the versions at which they changed.
//!
//! The versions are those of the source, so all relays of one source use the same ones and a subscriber can move from
//! one relay to another. Only the latest change of each worker is stored. A worker that is gone stays as a tombstone
//! until there are too many tombstones. Evicting a tombstone raises the floor: a subscriber that has seen only versions
//! below the floor can no longer receive the differences and needs a snapshot.

mod apply;
mod history;
mod record;

use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasher;

use hashbrown::{DefaultHashBuilder, HashTable};

use crate::change_log::{ChangeLog, ChangePosition, LoggedChange};
use crate::locations::LocationTable;

use apply::Staged;
pub(crate) use record::{FormerLocation, Record};

/// Limits on what a [`WorkerList`] stores besides the workers in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerListLimits {
    /// Maximum number of workers that are gone and still remembered.
    pub tombstones: usize,
}

impl Default for WorkerListLimits {
    /// 65,536 tombstones.
    fn default() -> Self {
        WorkerListLimits { tombstones: 65_536 }
    }
}

/// Why a line of the source was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// It contains changes, and there is no list yet to which they could be applied.
    NoFullList,
    /// Its version is lower than the current one.
    Behind { version: u64, current: u64 },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::NoFullList => write!(f, "changes arrived before the first full list"),
            ApplyError::Behind { version, current } => {
                write!(f, "list {version} is older than the current list {current}")
            }
        }
    }
}

impl std::error::Error for ApplyError {}

/// The effect of a line of the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Workers whose entry changed, that are new, or that are gone.
    pub changed: usize,
    /// Entries that were rejected with an [`EntryError`](crate::EntryError).
    pub rejected: usize,
}

/// The list of workers at the latest version of the source.
#[derive(Debug, Default)]
pub struct WorkerList {
    limits: WorkerListLimits,
    version: Option<u64>,
    /// The latest versions of the list, in ascending order, including the current one.
    versions: VecDeque<u64>,
    /// The number of times that the source has restarted its versions.
    epoch: u64,
    /// The position of the latest change.
    head: ChangePosition,
    /// A subscriber that has not received the changes up to here needs a snapshot.
    floor: ChangePosition,
    /// The workers by slot.
    records: Vec<Option<Record>>,
    free_slots: Vec<u32>,
    slot_by_id: HashTable<u32>,
    hasher: DefaultHashBuilder,
    locations: LocationTable,
    /// Changes that may take a worker away from a scope: drains, removals and moves.
    departures: ChangeLog,
    /// All other changes.
    other_changes: ChangeLog,
    /// Removals. The tombstones of the removed workers are evicted in this order.
    removals: ChangeLog,
    tombstone_count: usize,
    staged: Vec<Staged>,
    /// Rejected entries of the line that is being staged.
    rejected_count: usize,
}

impl WorkerList {
    /// A list without a version, before the first line of the source.
    pub fn new(limits: WorkerListLimits) -> WorkerList {
        WorkerList { limits, ..WorkerList::default() }
    }

    /// The current version; `None` before the first full list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The number of workers in the list.
    pub fn worker_count(&self) -> usize {
        self.records.len() - self.free_slots.len() - self.tombstone_count
    }

    /// The number of workers that are gone and still remembered.
    pub fn tombstone_count(&self) -> usize {
        self.tombstone_count
    }

    /// The lowest version from which a subscriber can receive differences.
    pub fn floor(&self) -> u64 {
        self.floor.version
    }

    /// Whether a subscriber with this version can receive differences.
    ///
    /// It cannot resume from a version that this list skipped: a worker may have been in another location at just that
    /// version, and a subscriber that saw it there would never learn that it has left.
    pub fn can_resume(&self, version: u64) -> bool {
        ChangePosition::end_of(version) >= self.floor && self.versions.binary_search(&version).is_ok()
    }

    /// The memory of the workers, their index and the logs in bytes, without the overhead of the allocator.
    pub fn heap_bytes(&self) -> usize {
        let record_bytes = |record: &Record| record.entry.len() + size_of_val(record.former_locations());
        let entries: usize = self.records.iter().flatten().map(record_bytes).sum();
        let logs = [&self.departures, &self.other_changes, &self.removals].map(ChangeLog::heap_bytes);
        entries
            + self.records.capacity() * size_of::<Option<Record>>()
            + self.slot_by_id.allocation_size()
            + self.free_slots.capacity() * size_of::<u32>()
            + self.versions.capacity() * size_of::<u64>()
            + logs.iter().sum::<usize>()
    }

    /// The slot of the worker with this id.
    fn find_slot(&self, id: &str) -> Option<u32> {
        let has_id =
            |slot: &u32| self.record(*slot).is_some_and(|record| record.id.id_in(&record.entry) == id);
        self.slot_by_id.find(self.hasher.hash_one(id), has_id).copied()
    }

    pub(crate) fn record(&self, slot: u32) -> Option<&Record> {
        self.records.get(slot as usize)?.as_ref()
    }

    /// The record of the changed worker, if the change is its latest.
    pub(crate) fn changed_record(&self, change: &LoggedChange) -> Option<&Record> {
        self.record(change.slot).filter(|record| record.position() == change.position())
    }

    /// The number of slots, free ones included.
    pub(crate) fn slot_count(&self) -> u32 {
        self.records.len() as u32
    }

    pub(crate) fn locations(&self) -> &LocationTable {
        &self.locations
    }

    pub(crate) fn departures(&self) -> &ChangeLog {
        &self.departures
    }

    pub(crate) fn other_changes(&self) -> &ChangeLog {
        &self.other_changes
    }

    pub(crate) fn head(&self) -> ChangePosition {
        self.head
    }

    pub(crate) fn floor_position(&self) -> ChangePosition {
        self.floor
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}

/// The hash of the id of the worker in this slot.
fn hash_of(records: &[Option<Record>], hasher: &DefaultHashBuilder, slot: u32) -> u64 {
    let record = records.get(slot as usize).and_then(Option::as_ref);
    record.map_or(0, |record| hasher.hash_one(&*record.id.id_in(&record.entry)))
}
