//! The whole list of workers, held once, with the versions at which they changed.
//!
//! The versions are the source's own, so that every relay of one source counts alike and a subscriber can move from one
//! to another. Every worker is held with its latest change only; a worker that left stays as a tombstone until there
//! are too many of those. Forgetting one raises the floor: whoever has seen less than the floor can no longer be told
//! what changed since and needs a snapshot.

use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasher;

use hashbrown::{DefaultHashBuilder, HashTable};

use crate::change_log::{Change, ChangeLog, Logged};
use crate::entry::{as_gone, summarize, EntryError, IdSpan, Lifecycle};
use crate::locations::{PlaceId, Places};
use crate::scope::Location;

/// Versions remembered as those that were held; a subscriber that resumes from another one gets a snapshot.
const MOST_VERSIONS: usize = 65_536;

/// Former places remembered of one worker; one more raises the floor.
const MOST_FORMER_PLACES: usize = 16;

/// What a [`WorkerList`] holds at most beside the workers in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerListLimits {
    /// Workers that left.
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
    /// It holds changes, and there is no list that they could change.
    NoWholeList,
    /// Its version is lower than the one held.
    Behind { version: u64, held: u64 },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::NoWholeList => write!(f, "changes arrived before the first full list"),
            ApplyError::Behind { version, held } => {
                write!(f, "list {version} is older than the current list {held}")
            }
        }
    }
}

impl std::error::Error for ApplyError {}

/// What a line of the source did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Workers whose entry changed, appeared or left.
    pub changed: usize,
    /// Entries that were passed over, as they name no worker.
    pub unreadable: usize,
}

/// A place that a worker left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FormerPlace {
    pub place: PlaceId,
    /// The change by which it left.
    pub left: Change,
}

/// In the order in which they were left. Boxed twice, so that the many workers without any pay for one pointer.
#[allow(clippy::box_collection)]
type FormerPlaces = Option<Box<Vec<FormerPlace>>>;

/// One worker.
#[derive(Debug)]
pub(crate) struct Record {
    /// The bytes that came.
    pub entry: Box<[u8]>,
    /// `None` for nearly all workers.
    former: FormerPlaces,
    version: u64,
    ordinal: u32,
    pub place: PlaceId,
    id: IdSpan,
    pub lifecycle: Lifecycle,
}

impl Record {
    /// Its latest change.
    pub fn change(&self) -> Change {
        Change { version: self.version, ordinal: self.ordinal }
    }

    pub fn former_places(&self) -> &[FormerPlace] {
        self.former.as_deref().map(Vec::as_slice).unwrap_or_default()
    }

    /// Whether its latest change takes it away from somebody.
    fn departs(&self) -> bool {
        self.lifecycle != Lifecycle::Present || self.former.is_some()
    }
}

/// An entry of a line whose end has yet to come.
#[derive(Debug)]
enum Staged {
    /// The worker in this slot, unchanged.
    Unchanged(u32),
    Changed(StagedEntry),
}

#[derive(Debug)]
struct StagedEntry {
    entry: Box<[u8]>,
    /// Where the worker is held, if it is.
    slot: Option<u32>,
    /// `None` if it can't be read.
    place: Option<PlaceId>,
    id: IdSpan,
    lifecycle: Lifecycle,
}

/// The list of workers at the source's latest version.
#[derive(Debug, Default)]
pub struct WorkerList {
    limits: WorkerListLimits,
    version: Option<u64>,
    /// The versions that were held, in ascending order, the latest included.
    versions: VecDeque<u64>,
    /// How often the source has started its versions anew.
    epoch: u64,
    /// The latest change.
    head: Change,
    /// Whoever has seen less needs a snapshot.
    floor: Change,
    records: Vec<Option<Record>>,
    free: Vec<u32>,
    by_id: HashTable<u32>,
    hasher: DefaultHashBuilder,
    places: Places,
    /// Changes that take a worker away: drains, ends and moves.
    departures: ChangeLog,
    /// All other changes.
    others: ChangeLog,
    tombstones: ChangeLog,
    tombstone_count: usize,
    staged: Vec<Staged>,
    unreadable: usize,
}

/// A set of slots.
struct SlotSet(Vec<u64>);

impl SlotSet {
    fn new(slots: usize) -> SlotSet {
        SlotSet(vec![0; slots.div_ceil(64)])
    }

    /// Whether it is new.
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
    /// A list of which nothing is known.
    pub fn new(limits: WorkerListLimits) -> WorkerList {
        WorkerList { limits, ..WorkerList::default() }
    }

    /// The version held; `None` before the first whole list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// How many workers are in the list.
    pub fn workers(&self) -> usize {
        self.records.len() - self.free.len() - self.tombstone_count
    }

    /// How many workers that left are remembered.
    pub fn tombstones(&self) -> usize {
        self.tombstone_count
    }

    /// The lowest version from which on a subscriber can be told differences.
    pub fn floor(&self) -> u64 {
        self.floor.version
    }

    /// Whether a subscriber that holds this version can be told differences.
    ///
    /// Not from a version that was passed over on the way from one to the next: a worker may have stood elsewhere for
    /// just that time, and a subscriber that has seen it there would never be told that it left.
    pub fn can_resume(&self, version: u64) -> bool {
        Change::after(version) >= self.floor && self.versions.binary_search(&version).is_ok()
    }

    /// The memory taken by workers, their index and the log, in bytes, without the allocator's own.
    pub fn heap_bytes(&self) -> usize {
        let of_record = |record: &Record| record.entry.len() + size_of_val(record.former_places());
        let entries: usize = self.records.iter().flatten().map(of_record).sum();
        let logs = [&self.departures, &self.others, &self.tombstones].map(ChangeLog::heap_bytes);
        entries
            + self.records.capacity() * size_of::<Option<Record>>()
            + self.by_id.allocation_size()
            + self.free.capacity() * size_of::<u32>()
            + self.versions.capacity() * size_of::<u64>()
            + logs.iter().sum::<usize>()
    }

    /// Takes an entry of a line whose end has yet to come. One that is refused is counted and changes nothing.
    pub fn stage(&mut self, entry: &[u8]) -> Result<(), EntryError> {
        let staged = self.staged_entry(entry);
        match staged {
            Ok(staged) => {
                self.staged.push(staged);
                Ok(())
            }
            Err(error) => {
                self.unreadable += 1;
                Err(error)
            }
        }
    }

    fn staged_entry(&mut self, entry: &[u8]) -> Result<Staged, EntryError> {
        if entry.len() > usize::from(u16::MAX) {
            return Err(EntryError::TooLong);
        }
        let summary = summarize(entry)?;
        let slot = self.slot_of(&summary.id.text(entry));
        if let Some(slot) = slot.filter(|slot| self.record(*slot).is_some_and(|held| *held.entry == *entry)) {
            return Ok(Staged::Unchanged(slot));
        }
        let place = match &summary.zone {
            None => None,
            Some(zone) => {
                let place = Location { zone, service: summary.service.as_deref() };
                Some(self.places.id(place).ok_or(EntryError::TooManyPlaces)?)
            }
        };
        let (id, lifecycle) = (summary.id, summary.lifecycle);
        Ok(Staged::Changed(StagedEntry { entry: entry.into(), slot, place, id, lifecycle }))
    }

    /// Drops what was staged: its line was broken.
    pub fn discard_staged(&mut self) {
        self.staged = Vec::new();
        self.unreadable = 0;
    }

    /// Applies what was staged as one line of the source: the whole list (`reset`), or changes. What is refused is
    /// dropped.
    pub fn apply(&mut self, version: u64, reset: bool) -> Result<Applied, ApplyError> {
        let refusal = match self.version {
            None if !reset => Some(ApplyError::NoWholeList),
            Some(held) if version < held => Some(ApplyError::Behind { version, held }),
            _ => None,
        };
        if let Some(refusal) = refusal {
            self.discard_staged();
            return Err(refusal);
        }
        let is_first = self.version.is_none();
        let tag = self.tag(version);
        let applied = self.apply_staged(tag, reset);
        if is_first {
            self.begin_at(version);
        }
        self.hold(version);
        Ok(applied)
    }

    /// Applies what was staged as a whole list whose version may be lower than the one held: the source has started
    /// its versions anew. Every subscriber's position is void.
    pub fn restart(&mut self, version: u64) -> Applied {
        self.version = None;
        self.epoch += 1;
        let applied = self.apply_staged(version, true);
        self.begin_at(version);
        self.hold(version);
        applied
    }

    fn hold(&mut self, version: u64) {
        if self.version.replace(version) != Some(version) {
            self.versions.push_back(version);
        }
        if self.versions.len() > MOST_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Forgets all history: who has seen less than this version needs a snapshot.
    fn begin_at(&mut self, version: u64) {
        for slot in 0..self.records.len() as u32 {
            let Some(record) = self.records[slot as usize].as_mut() else { continue };
            (record.version, record.ordinal, record.former) = (version, 0, None);
            if record.lifecycle == Lifecycle::Gone {
                self.forget(slot);
            }
        }
        self.tombstone_count = 0;
        for log in [&mut self.departures, &mut self.others, &mut self.tombstones] {
            log.clear();
        }
        self.versions.clear();
        self.floor = Change::after(version);
        self.head = self.floor;
    }

    /// The version under which the changes of a line are logged.
    ///
    /// A line with the version that is held is a part of what leads to the next version. Its changes are logged under
    /// the version after the one held, as a subscriber that resumes from the one held may lack them. If the next version
    /// turns out to be a higher one, nobody can resume from between ([`WorkerList::can_resume`]).
    fn tag(&self, version: u64) -> u64 {
        match self.version {
            Some(held) if version == held => held.saturating_add(1),
            _ => version,
        }
    }

    fn apply_staged(&mut self, version: u64, reset: bool) -> Applied {
        let staged = std::mem::take(&mut self.staged);
        let unreadable = std::mem::take(&mut self.unreadable);
        self.records.reserve_exact(staged.len().saturating_sub(self.records.len()));
        let mut named = SlotSet::new(self.records.len());
        let mut changed = 0;
        for staged in latest_of_each(staged, self.records.len()) {
            let slot = match staged {
                Staged::Unchanged(slot) => slot,
                Staged::Changed(staged) => {
                    changed += 1;
                    self.take(staged, version)
                }
            };
            named.insert(slot);
        }
        // Guards against an entry of which not even the worker can be read: the list would tell that one gone.
        if reset && unreadable == 0 {
            changed += self.bury_all_but(&named, version);
        }
        self.forget_tombstones();
        self.compact();
        Applied { changed, unreadable }
    }

    /// Takes a changed entry over; returns where it is held.
    fn take(&mut self, staged: StagedEntry, version: u64) -> u32 {
        let StagedEntry { entry, slot, place, id, lifecycle } = staged;
        let slot = slot.or_else(|| self.slot_of(&id.text(&entry)));
        let held = slot.and_then(|slot| self.records[slot as usize].take());
        let place = place.or(held.as_ref().map(|held| held.place)).unwrap_or(PlaceId::NOWHERE);
        let was_tombstone = held.as_ref().is_some_and(|held| held.lifecycle == Lifecycle::Gone);
        self.tombstone_count -= usize::from(was_tombstone);
        let change = self.next_change(version);
        let former = held.and_then(|held| self.former_places(held, place, change));
        let record = Record { entry, former, version: 0, ordinal: 0, place, id, lifecycle };
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

    /// The places a worker stood in before it came to `place`, as far as somebody may have yet to be told.
    fn former_places(&mut self, held: Record, place: PlaceId, change: Change) -> FormerPlaces {
        if held.former.is_none() && held.place == place {
            return None;
        }
        let mut former = held.former.unwrap_or_default();
        former.retain(|former| former.place != place && former.left > self.floor);
        if held.place != place {
            former.retain(|former| former.place != held.place);
            former.push(FormerPlace { place: held.place, left: change });
        }
        if former.len() > MOST_FORMER_PLACES {
            let forgotten = former.remove(0);
            self.floor = self.floor.max(forgotten.left);
        }
        (!former.is_empty()).then_some(former)
    }

    fn insert(&mut self, record: Record) -> u32 {
        let hash = self.hasher.hash_one(&*record.id.text(&record.entry));
        let slot = self.free.pop().unwrap_or(self.records.len() as u32);
        match self.records.get_mut(slot as usize) {
            Some(free) => *free = Some(record),
            None => self.records.push(Some(record)),
        }
        let (records, hasher) = (&self.records, &self.hasher);
        self.by_id.insert_unique(hash, slot, |slot| hash_of(records, hasher, *slot));
        slot
    }

    /// The position of the next change of this version.
    fn next_change(&self, version: u64) -> Change {
        let is_first = self.head.version != version;
        Change { version, ordinal: if is_first { 0 } else { self.head.ordinal.saturating_add(1) } }
    }

    fn log_change(&mut self, slot: u32, version: u64) {
        self.head = self.next_change(version);
        let Some(record) = self.records[slot as usize].as_mut() else { return };
        (record.version, record.ordinal) = (self.head.version, self.head.ordinal);
        self.tombstone_count += usize::from(record.lifecycle == Lifecycle::Gone);
        // All of the first list lies below the floor.
        if self.version.is_none() {
            return;
        }
        if record.lifecycle == Lifecycle::Gone {
            self.tombstones.push(self.head, slot);
        }
        let log = if record.departs() { &mut self.departures } else { &mut self.others };
        log.push(self.head, slot);
    }

    /// Makes tombstones of all workers that a whole list did not name; returns how many.
    fn bury_all_but(&mut self, named: &SlotSet, version: u64) -> usize {
        let mut buried = 0;
        for slot in (0..self.records.len() as u32).filter(|slot| !named.contains(*slot)) {
            let Some(record) = self.records[slot as usize].as_mut() else { continue };
            if record.lifecycle != Lifecycle::Gone {
                record.entry = as_gone(&record.entry).into();
                record.lifecycle = Lifecycle::Gone;
                self.log_change(slot, version);
                buried += 1;
            }
        }
        buried
    }

    fn forget_tombstones(&mut self) {
        while self.tombstone_count > self.limits.tombstones {
            let Some(oldest) = self.tombstones.pop_oldest() else { return };
            if self.counts(&oldest) {
                self.floor = self.floor.max(oldest.change());
                self.tombstone_count -= 1;
                self.forget(oldest.slot);
            }
        }
    }

    fn forget(&mut self, slot: u32) {
        let hash = hash_of(&self.records, &self.hasher, slot);
        if let Ok(found) = self.by_id.find_entry(hash, |other| *other == slot) {
            found.remove();
        }
        self.records[slot as usize] = None;
        self.free.push(slot);
    }

    fn compact(&mut self) {
        let (records, floor) = (&self.records, self.floor);
        let counts = |logged: &Logged| is_latest(records, logged) && logged.change() > floor;
        self.departures.compact(counts);
        self.others.compact(counts);
        self.tombstones.compact(|logged| is_latest(records, logged));
    }

    fn slot_of(&self, id: &str) -> Option<u32> {
        let named = |slot: &u32| self.record(*slot).is_some_and(|held| held.id.text(&held.entry) == id);
        self.by_id.find(self.hasher.hash_one(id), named).copied()
    }

    fn counts(&self, logged: &Logged) -> bool {
        is_latest(&self.records, logged)
    }

    pub(crate) fn record(&self, slot: u32) -> Option<&Record> {
        self.records.get(slot as usize)?.as_ref()
    }

    /// The record of a logged change, if that is its latest.
    pub(crate) fn changed_record(&self, logged: &Logged) -> Option<&Record> {
        self.record(logged.slot).filter(|record| record.change() == logged.change())
    }

    pub(crate) fn slots(&self) -> u32 {
        self.records.len() as u32
    }

    pub(crate) fn places(&self) -> &Places {
        &self.places
    }

    pub(crate) fn departures(&self) -> &ChangeLog {
        &self.departures
    }

    pub(crate) fn others(&self) -> &ChangeLog {
        &self.others
    }

    pub(crate) fn head(&self) -> Change {
        self.head
    }

    pub(crate) fn floor_position(&self) -> Change {
        self.floor
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}

fn is_latest(records: &[Option<Record>], logged: &Logged) -> bool {
    let record = records.get(logged.slot as usize).and_then(Option::as_ref);
    record.is_some_and(|record| record.change() == logged.change())
}

fn hash_of(records: &[Option<Record>], hasher: &DefaultHashBuilder, slot: u32) -> u64 {
    let record = records.get(slot as usize).and_then(Option::as_ref);
    record.map_or(0, |record| hasher.hash_one(&*record.id.text(&record.entry)))
}

/// Of several entries about a worker that is held, only the last.
fn latest_of_each(mut staged: Vec<Staged>, slots: usize) -> Vec<Staged> {
    let mut seen = SlotSet::new(slots);
    let mut is_latest = |staged: &Staged| match staged {
        Staged::Unchanged(slot) | Staged::Changed(StagedEntry { slot: Some(slot), .. }) => seen.insert(*slot),
        Staged::Changed(_) => true,
    };
    staged.reverse();
    staged.retain(|staged| is_latest(staged));
    staged.reverse();
    staged
}
