//! Applies the lines of the source to the list.

use std::hash::BuildHasher;

use super::record::{FormerLocation, FormerLocations, Record};
use super::{hash_of, Applied, ApplyError, WorkerList};
use crate::change_log::ChangePosition;
use crate::entry::{parse_entry, with_lifecycle_gone, EntryError, IdSpan, Lifecycle};
use crate::locations::LocationId;
use crate::scope::Location;

/// Maximum number of versions that the list remembers. A subscriber that resumes from any other version receives a
/// snapshot.
const MAX_VERSIONS: usize = 65_536;

/// Maximum number of former locations that are remembered for one worker. Discarding the oldest one raises the floor.
const MAX_FORMER_LOCATIONS: usize = 16;

/// An entry of a line that has not ended yet.
#[derive(Debug)]
pub(super) enum Staged {
    /// The same entry as that of the worker in this slot.
    Unchanged(u32),
    Changed(StagedEntry),
}

/// An entry that is new or differs from the current one of its worker.
#[derive(Debug)]
pub(super) struct StagedEntry {
    entry: Box<[u8]>,
    /// The slot of the worker, if it has one already.
    slot: Option<u32>,
    /// `None` if the entry has no readable zone.
    location: Option<LocationId>,
    id: IdSpan,
    lifecycle: Lifecycle,
}

/// A set of slots.
struct SlotSet(Vec<u64>);

impl SlotSet {
    fn new(slots: usize) -> SlotSet {
        SlotSet(vec![0; slots.div_ceil(64)])
    }

    /// Adds a slot. Returns whether it is new.
    fn insert(&mut self, slot: u32) -> bool {
        let (word, bit) = (slot as usize / 64, 1 << (slot % 64));
        if word >= self.0.len() {
            self.0.resize(word + 1, 0);
        }
        let is_new = self.0[word] & bit == 0;
        self.0[word] |= bit;
        is_new
    }

    fn contains(&self, slot: u32) -> bool {
        self.0.get(slot as usize / 64).is_some_and(|word| word >> (slot % 64) & 1 == 1)
    }
}

impl WorkerList {
    /// Adds an entry of a line that has not ended yet. A rejected entry is counted and otherwise has no effect.
    pub fn stage(&mut self, entry: &[u8]) -> Result<(), EntryError> {
        let staged = self.compare_entry(entry);
        match staged {
            Ok(staged) => {
                self.staged.push(staged);
                Ok(())
            }
            Err(error) => {
                self.rejected_count += 1;
                Err(error)
            }
        }
    }

    /// Parses an entry and compares it with the current entry of its worker.
    fn compare_entry(&mut self, entry: &[u8]) -> Result<Staged, EntryError> {
        if entry.len() > usize::from(u16::MAX) {
            return Err(EntryError::TooLong);
        }
        let parsed = parse_entry(entry)?;
        let slot = self.find_slot(&parsed.id.id_in(entry));
        if let Some(slot) =
            slot.filter(|slot| self.record(*slot).is_some_and(|current| *current.entry == *entry))
        {
            return Ok(Staged::Unchanged(slot));
        }
        let location = match &parsed.zone {
            None => None,
            Some(zone) => {
                let location = Location { zone, service: parsed.service.as_deref() };
                Some(self.locations.intern(location).ok_or(EntryError::TooManyNames)?)
            }
        };
        let (id, lifecycle) = (parsed.id, parsed.lifecycle);
        Ok(Staged::Changed(StagedEntry { entry: entry.into(), slot, location, id, lifecycle }))
    }

    /// Discards the staged entries of a line that is truncated or invalid.
    pub fn discard_staged(&mut self) {
        self.staged = Vec::new();
        self.rejected_count = 0;
    }

    /// Applies the staged entries as one line of the source: the full list (`reset`) or changes. On an error they are
    /// discarded.
    pub fn apply(&mut self, version: u64, reset: bool) -> Result<Applied, ApplyError> {
        let error = match self.version {
            None if !reset => Some(ApplyError::NoFullList),
            Some(current) if version < current => Some(ApplyError::Behind { version, current }),
            _ => None,
        };
        if let Some(error) = error {
            self.discard_staged();
            return Err(error);
        }
        let is_first = self.version.is_none();
        let logged_version = self.logged_version(version);
        let applied = self.apply_staged(logged_version, reset);
        if is_first {
            self.clear_history(version);
        }
        self.set_version(version);
        Ok(applied)
    }

    /// Applies the staged entries as a full list whose version may be lower than the current one, because the source
    /// has restarted its versions. The positions of all subscribers become invalid.
    pub fn restart(&mut self, version: u64) -> Applied {
        self.version = None;
        self.epoch += 1;
        let applied = self.apply_staged(version, true);
        self.clear_history(version);
        self.set_version(version);
        applied
    }

    /// Makes this the current version and remembers it.
    fn set_version(&mut self, version: u64) {
        if self.version.replace(version) != Some(version) {
            self.versions.push_back(version);
        }
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// The version under which the changes of a line are logged.
    ///
    /// A line with the current version is a part of the changes that lead to the next version. Its changes are logged
    /// under the version after the current one, because a subscriber that resumes from the current one may not have
    /// them. If the next version turns out to be a higher one, no subscriber can resume from a version in between
    /// ([`WorkerList::can_resume`]).
    fn logged_version(&self, version: u64) -> u64 {
        match self.version {
            Some(current) if version == current => current.saturating_add(1),
            _ => version,
        }
    }

    /// Applies the staged entries and logs their changes under this version.
    fn apply_staged(&mut self, version: u64, reset: bool) -> Applied {
        let staged = std::mem::take(&mut self.staged);
        let rejected = std::mem::take(&mut self.rejected_count);
        self.records.reserve_exact(staged.len().saturating_sub(self.records.len()));
        let mut listed = SlotSet::new(self.records.len());
        let mut changed = 0;
        for staged in latest_per_worker(staged, self.records.len()) {
            let slot = match staged {
                Staged::Unchanged(slot) => slot,
                Staged::Changed(staged) => {
                    changed += 1;
                    self.apply_entry(staged, version)
                }
            };
            listed.insert(slot);
        }
        // A rejected entry may be that of a worker in the list, which would then wrongly count as gone.
        if reset && rejected == 0 {
            changed += self.mark_unlisted_gone(&listed, version);
        }
        self.evict_tombstones();
        self.compact();
        Applied { changed, rejected }
    }

    /// Stores a new or changed entry. Returns the slot of its worker.
    fn apply_entry(&mut self, staged: StagedEntry, version: u64) -> u32 {
        let StagedEntry { entry, slot, location, id, lifecycle } = staged;
        let slot = slot.or_else(|| self.find_slot(&id.id_in(&entry)));
        let previous = slot.and_then(|slot| self.records[slot as usize].take());
        // An entry without a readable zone leaves the worker at its previous location.
        let location =
            location.or(previous.as_ref().map(|previous| previous.location)).unwrap_or(LocationId::UNKNOWN);
        let was_tombstone = previous.as_ref().is_some_and(|previous| previous.lifecycle == Lifecycle::Gone);
        self.tombstone_count -= usize::from(was_tombstone);
        let position = self.next_position(version);
        let former = previous.and_then(|previous| self.former_locations(previous, location, position));
        let record = Record { entry, former, version: 0, ordinal: 0, location, id, lifecycle };
        let slot = match slot {
            Some(slot) => {
                self.records[slot as usize] = Some(record);
                slot
            }
            None => self.insert(record),
        };
        self.log_change(slot, version);
        slot
    }

    /// The former locations of a worker that is now at `location`. A move at or below the floor is dropped, because
    /// every subscriber that can still resume has received it.
    fn former_locations(
        &mut self,
        previous: Record,
        location: LocationId,
        position: ChangePosition,
    ) -> FormerLocations {
        if previous.former.is_none() && previous.location == location {
            return None;
        }
        let mut former = previous.former.unwrap_or_default();
        former.retain(|former| former.location != location && former.left_at > self.floor);
        if previous.location != location {
            former.retain(|former| former.location != previous.location);
            former.push(FormerLocation { location: previous.location, left_at: position });
        }
        if former.len() > MAX_FORMER_LOCATIONS {
            let oldest = former.remove(0);
            self.floor = self.floor.max(oldest.left_at);
        }
        (!former.is_empty()).then_some(former)
    }

    /// Stores a new worker. Returns its slot.
    fn insert(&mut self, record: Record) -> u32 {
        let hash = self.hasher.hash_one(&*record.id.id_in(&record.entry));
        let slot = self.free_slots.pop().unwrap_or(self.records.len() as u32);
        match self.records.get_mut(slot as usize) {
            Some(free_slot) => *free_slot = Some(record),
            None => self.records.push(Some(record)),
        }
        let (records, hasher) = (&self.records, &self.hasher);
        self.slot_by_id.insert_unique(hash, slot, |slot| hash_of(records, hasher, *slot));
        slot
    }

    /// The position of the next change of this version.
    fn next_position(&self, version: u64) -> ChangePosition {
        let is_first = self.head.version != version;
        ChangePosition { version, ordinal: if is_first { 0 } else { self.head.ordinal.saturating_add(1) } }
    }

    /// Logs a change of the worker in this slot, which becomes its latest.
    fn log_change(&mut self, slot: u32, version: u64) {
        self.head = self.next_position(version);
        let Some(record) = self.records[slot as usize].as_mut() else { return };
        (record.version, record.ordinal) = (self.head.version, self.head.ordinal);
        self.tombstone_count += usize::from(record.lifecycle == Lifecycle::Gone);
        // The first list becomes the floor, so none of its changes is ever sent as a difference.
        if self.version.is_none() {
            return;
        }
        if record.lifecycle == Lifecycle::Gone {
            self.removals.push(self.head, slot);
        }
        let log = if record.is_departure() { &mut self.departures } else { &mut self.other_changes };
        log.push(self.head, slot);
    }

    /// Turns all workers that a full list does not include into tombstones. Returns their number.
    fn mark_unlisted_gone(&mut self, listed: &SlotSet, version: u64) -> usize {
        let mut gone_count = 0;
        for slot in (0..self.records.len() as u32).filter(|slot| !listed.contains(*slot)) {
            let Some(record) = self.records[slot as usize].as_mut() else { continue };
            if record.lifecycle != Lifecycle::Gone {
                record.entry = with_lifecycle_gone(&record.entry).into();
                record.lifecycle = Lifecycle::Gone;
                self.log_change(slot, version);
                gone_count += 1;
            }
        }
        gone_count
    }
}

/// Drops all but the last entry of each worker that already has a slot.
fn latest_per_worker(mut staged: Vec<Staged>, slots: usize) -> Vec<Staged> {
    let mut seen = SlotSet::new(slots);
    let mut is_last = |staged: &Staged| match staged {
        Staged::Unchanged(slot) | Staged::Changed(StagedEntry { slot: Some(slot), .. }) => seen.insert(*slot),
        Staged::Changed(_) => true,
    };
    staged.reverse();
    staged.retain(|staged| is_last(staged));
    staged.reverse();
    staged
}
