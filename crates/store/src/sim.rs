//! A simulated disk in memory with faults that are drawn from a seed: power loss at any step, unsynced appends that are
//! torn, lost or kept out of order, name changes that are undone, syncs that fail and lose data, and a full disk.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;

use fastrand::Rng;

use crate::disk::Disk;

/// The faults to inject. A step is a call that changes the disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The step at which power is lost. This step may be carried out in part, and every later call fails
    /// until [`SimDisk::restart`].
    pub crash_at_step: Option<u64>,
    /// One in this many syncs fails, at random; 0 for none.
    pub sync_failure_one_in: u32,
    /// The capacity of the disk. Appends beyond it fail after writing the part that fits.
    pub capacity_bytes: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct File {
    /// The content that reads return.
    content: Vec<u8>,
    /// The content that survives a power loss.
    synced: Vec<u8>,
    /// Appends that were not synced successfully, in their order. Any part of them may survive a power loss.
    unsynced: Vec<Append>,
}

#[derive(Clone, Debug)]
struct Append {
    offset: usize,
    bytes: Vec<u8>,
    /// A sync of this append failed, so no later sync makes it durable.
    lost: bool,
}

/// A change of the directory.
#[derive(Clone, Debug)]
enum NameChange {
    /// The name and the index of its file in `State::files`.
    Created(String, usize),
    /// The old name and the new one.
    Renamed(String, String),
    Removed(String),
}

#[derive(Default)]
struct State {
    files: Vec<File>,
    /// The current names, each with the index of its file in `files`.
    names: BTreeMap<String, usize>,
    /// The names that survive a power loss.
    synced_names: BTreeMap<String, usize>,
    /// Changes of the directory that were not synced, in their order.
    unsynced_name_changes: Vec<NameChange>,
    faults: Faults,
    /// The number of steps since the faults were set or the disk was restarted.
    step: u64,
    powered_off: bool,
    locked: bool,
    rng: Rng,
}

/// The simulated disk. A test that shares it with a store in an `Arc` can inspect it after a crash.
pub struct SimDisk(Mutex<State>);

fn disk_error(message: &str) -> io::Error {
    io::Error::other(message.to_string())
}

fn apply_name_change(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Created(name, index) => _ = names.insert(name.clone(), *index),
        NameChange::Renamed(from, to) => {
            if let Some(index) = names.remove(from) {
                names.insert(to.clone(), index);
            }
        }
        NameChange::Removed(name) => _ = names.remove(name),
    }
}

impl SimDisk {
    pub fn new(seed: u64) -> SimDisk {
        SimDisk(Mutex::new(State { rng: Rng::with_seed(seed), ..State::default() }))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state();
        (state.faults, state.step) = (faults, 0);
    }

    /// The number of steps since the faults were set or the disk was restarted.
    pub fn step_count(&self) -> u64 {
        self.state().step
    }

    pub fn is_powered_off(&self) -> bool {
        self.state().powered_off
    }

    /// Restores power, releases the lock and clears the faults. Each unsynced append survives at random, also in part
    /// or without earlier ones. Of the unsynced name changes a random number survives, in their order.
    pub fn restart(&self) {
        let mut state = self.state();
        let State { files, names, synced_names, unsynced_name_changes, rng, .. } = &mut *state;
        for file in files.iter_mut() {
            let mut surviving = file.synced.clone();
            for append in file.unsynced.drain(..) {
                // On average one append in four is lost and one is torn. Half of those whose sync failed are lost in
                // any case.
                let bytes = match rng.u8(..4) {
                    _ if append.lost && rng.bool() => &append.bytes[..0],
                    0 => &append.bytes[..0],
                    1 => &append.bytes[..rng.usize(..=append.bytes.len())],
                    _ => &append.bytes[..],
                };
                if !bytes.is_empty() {
                    // A lost earlier append leaves zeros.
                    surviving.resize(surviving.len().max(append.offset + bytes.len()), 0);
                    surviving[append.offset..append.offset + bytes.len()].copy_from_slice(bytes);
                }
            }
            (file.content, file.synced) = (surviving.clone(), surviving);
        }
        let survivor_count = rng.usize(..=unsynced_name_changes.len());
        unsynced_name_changes
            .drain(..)
            .take(survivor_count)
            .for_each(|change| apply_name_change(synced_names, &change));
        *names = synced_names.clone();
        (state.powered_off, state.locked, state.step, state.faults) = (false, false, 0, Faults::default());
    }

    /// The current content of all files, for tests that truncate or corrupt the files.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state();
        state.names.iter().map(|(name, index)| (name.clone(), state.files[*index].content.clone())).collect()
    }

    /// Creates a disk that holds these files, all synced.
    pub fn from_files(files: &BTreeMap<String, Vec<u8>>) -> SimDisk {
        let disk = SimDisk::new(0);
        {
            let mut state = disk.state();
            for (index, (name, content)) in files.iter().enumerate() {
                let (content, synced) = (content.clone(), content.clone());
                state.files.push(File { content, synced, unsynced: Vec::new() });
                state.names.insert(name.clone(), index);
            }
            state.synced_names = state.names.clone();
        }
        disk
    }
}

impl State {
    /// Counts a step and returns whether power is lost at this step. The caller then draws at random how much of the
    /// step is carried out.
    fn begin_step(&mut self) -> io::Result<bool> {
        if self.powered_off {
            return Err(disk_error("the power is off"));
        }
        self.step += 1;
        self.powered_off = self.faults.crash_at_step == Some(self.step);
        Ok(self.powered_off)
    }

    fn sync_fails(&mut self) -> bool {
        let one_in = self.faults.sync_failure_one_in;
        one_in > 0 && self.rng.u32(..one_in) == 0
    }

    fn file_index(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, change: NameChange) -> io::Result<()> {
        let power_fails = self.begin_step()?;
        if !power_fails || self.rng.bool() {
            apply_name_change(&mut self.names, &change);
            self.unsynced_name_changes.push(change);
        }
        match power_fails {
            true => Err(disk_error("the power fails")),
            false => Ok(()),
        }
    }
}

impl Disk for SimDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let state = self.state();
        match state.powered_off {
            true => Err(disk_error("the power is off")),
            false => Ok(state.names.keys().cloned().collect()),
        }
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        if state.powered_off {
            return Err(disk_error("the power is off"));
        }
        Ok(state.files[state.file_index(name)?].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let index = state.files.len();
        state.files.push(File::default());
        state.change_names(NameChange::Created(name.into(), index))
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let power_fails = state.begin_step()?;
        let index = state.file_index(name)?;
        let used_bytes: u64 =
            state.names.values().map(|index| state.files[*index].content.len() as u64).sum();
        let free_bytes = state
            .faults
            .capacity_bytes
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used_bytes) as usize);
        let written_bytes = bytes.len().min(free_bytes);
        let written_bytes = if power_fails { state.rng.usize(..=written_bytes) } else { written_bytes };
        let offset = state.files[index].content.len();
        state.files[index].content.extend(&bytes[..written_bytes]);
        state.files[index].unsynced.push(Append {
            offset,
            bytes: bytes[..written_bytes].to_vec(),
            lost: false,
        });
        match (power_fails, written_bytes < bytes.len()) {
            (true, _) => Err(disk_error("the power fails")),
            (false, true) => Err(io::ErrorKind::StorageFull.into()),
            (false, false) => Ok(()),
        }
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let power_fails = state.begin_step()?;
        let index = state.file_index(name)?;
        let sync_fails = state.sync_fails();
        if sync_fails || power_fails && state.rng.bool() {
            // As after a failed fsync: the operating system treats the data as clean, although it was not written.
            state.files[index].unsynced.iter_mut().for_each(|append| append.lost = true);
            return Err(disk_error("the sync failed"));
        }
        let file = &mut state.files[index];
        let pending = std::mem::take(&mut file.unsynced);
        let (lost, intact): (Vec<Append>, Vec<Append>) = pending.into_iter().partition(|append| append.lost);
        for append in &intact {
            file.synced.resize(file.synced.len().max(append.offset + append.bytes.len()), 0);
            file.synced[append.offset..append.offset + append.bytes.len()].copy_from_slice(&append.bytes);
        }
        file.unsynced = lost;
        match power_fails {
            true => Err(disk_error("the power fails")),
            false => Ok(()),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.file_index(from)?;
        state.change_names(NameChange::Renamed(from.into(), to.into()))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.file_index(name)?;
        state.change_names(NameChange::Removed(name.into()))
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.state();
        let power_fails = state.begin_step()?;
        if state.sync_fails() {
            // Unlike appends, the name changes stay unsynced: names are only undone in their order.
            return Err(disk_error("the sync failed"));
        }
        if !power_fails || state.rng.bool() {
            let unsynced_name_changes = std::mem::take(&mut state.unsynced_name_changes);
            unsynced_name_changes
                .iter()
                .for_each(|change| apply_name_change(&mut state.synced_names, change));
        }
        match power_fails {
            true => Err(disk_error("the power fails")),
            false => Ok(()),
        }
    }

    fn lock(&self) -> io::Result<()> {
        let mut state = self.state();
        match std::mem::replace(&mut state.locked, true) {
            true => Err(io::ErrorKind::WouldBlock.into()),
            false => Ok(()),
        }
    }
}
