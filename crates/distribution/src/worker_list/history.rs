//! Removes the history that exceeds the limits or that no subscriber needs.

use super::record::Record;
use super::{hash_of, WorkerList};
use crate::change_log::{ChangePosition, LoggedChange};
use crate::entry::Lifecycle;

impl WorkerList {
    /// Discards all history. Afterwards a subscriber with a version below `version` needs a snapshot.
    pub(super) fn clear_history(&mut self, version: u64) {
        for slot in 0..self.records.len() as u32 {
            let Some(record) = self.records[slot as usize].as_mut() else { continue };
            (record.version, record.ordinal, record.former) = (version, 0, None);
            if record.lifecycle == Lifecycle::Gone {
                self.remove_slot(slot);
            }
        }
        self.tombstone_count = 0;
        for log in [&mut self.departures, &mut self.other_changes, &mut self.removals] {
            log.clear();
        }
        self.versions.clear();
        self.floor = ChangePosition::end_of(version);
        self.head = self.floor;
    }

    /// Removes the oldest tombstones above the limit, and raises the floor to the latest removal among them.
    pub(super) fn evict_tombstones(&mut self) {
        while self.tombstone_count > self.limits.tombstones {
            let Some(oldest) = self.removals.pop_oldest() else { return };
            if self.is_latest(&oldest) {
                self.floor = self.floor.max(oldest.position());
                self.tombstone_count -= 1;
                self.remove_slot(oldest.slot);
            }
        }
    }

    /// Removes a worker and frees its slot.
    fn remove_slot(&mut self, slot: u32) {
        let hash = hash_of(&self.records, &self.hasher, slot);
        if let Ok(index_entry) = self.slot_by_id.find_entry(hash, |other| *other == slot) {
            index_entry.remove();
        }
        self.records[slot as usize] = None;
        self.free_slots.push(slot);
    }

    /// Compacts the logs: removes changes that are no longer the latest of their worker, or that no subscriber needs.
    pub(super) fn compact(&mut self) {
        let (records, floor) = (&self.records, self.floor);
        let is_needed = |change: &LoggedChange| is_latest(records, change) && change.position() > floor;
        self.departures.compact(is_needed);
        self.other_changes.compact(is_needed);
        self.removals.compact(|change| is_latest(records, change));
    }

    /// Whether a change is the latest of its worker.
    fn is_latest(&self, change: &LoggedChange) -> bool {
        is_latest(&self.records, change)
    }
}

/// Whether a change is the latest of its worker.
fn is_latest(records: &[Option<Record>], change: &LoggedChange) -> bool {
    let record = records.get(change.slot as usize).and_then(Option::as_ref);
    record.is_some_and(|record| record.position() == change.position())
}
