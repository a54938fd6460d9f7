//! A disk in memory that fails as disks do, from one seed: power lost at any step, appends torn or lost or kept out of
//! order where they were not synced, names that go back, syncs that fail and lose what they were to keep, a full disk.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;

use fastrand::Rng;

use crate::disk::Disk;

/// What fails, and when. Steps are calls that change something.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Power is lost at that step: it may be done in part, and nothing works until [`SimDisk::restart`].
    pub crash_at_step: Option<u64>,
    /// Syncs that fail, one in so many; 0: none.
    pub sync_failure_one_in: u32,
    /// Bytes that fit in all; beyond it appends fail, some after a part.
    pub capacity_bytes: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct File {
    /// What reads see.
    content: Vec<u8>,
    /// What survives for sure, and the appends since.
    synced: Vec<u8>,
    since: Vec<Append>,
}

#[derive(Clone, Debug)]
struct Append {
    at: usize,
    bytes: Vec<u8>,
    /// A sync over it failed: no later one keeps it.
    lost: bool,
}

#[derive(Clone, Debug)]
enum Naming {
    Made(String, usize),
    Moved(String, String),
    Removed(String),
}

#[derive(Default)]
struct State {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    since: Vec<Naming>,
    faults: Faults,
    step: u64,
    down: bool,
    locked: bool,
    rng: Rng,
}

/// The disk; share it to see it after a crash.
pub struct SimDisk(Mutex<State>);

fn failed(why: &str) -> io::Error {
    io::Error::other(why.to_string())
}

fn renamed(names: &mut BTreeMap<String, usize>, naming: &Naming) {
    match naming {
        Naming::Made(name, file) => _ = names.insert(name.clone(), *file),
        Naming::Moved(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        Naming::Removed(name) => _ = names.remove(name),
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

    /// Steps since faults were told.
    pub fn step_count(&self) -> u64 {
        self.state().step
    }

    pub fn is_powered_off(&self) -> bool {
        self.state().down
    }

    /// Power is back: of what was not synced each append and name survives or not, by chance; appends may survive in
    /// part and without those before them, names in their order.
    pub fn restart(&self) {
        let mut state = self.state();
        let State { files, names, synced_names, since, rng, .. } = &mut *state;
        for file in files.iter_mut() {
            let mut kept = file.synced.clone();
            for append in file.since.drain(..) {
                let bytes = match rng.u8(..4) {
                    _ if append.lost && rng.bool() => &append.bytes[..0],
                    0 => &append.bytes[..0],
                    1 => &append.bytes[..rng.usize(..=append.bytes.len())],
                    _ => &append.bytes[..],
                };
                if !bytes.is_empty() {
                    // Where an earlier append is lost, its place holds zeros.
                    kept.resize(kept.len().max(append.at + bytes.len()), 0);
                    kept[append.at..append.at + bytes.len()].copy_from_slice(bytes);
                }
            }
            (file.content, file.synced) = (kept.clone(), kept);
        }
        let survive = rng.usize(..=since.len());
        since.drain(..).take(survive).for_each(|naming| renamed(synced_names, &naming));
        *names = synced_names.clone();
        (state.down, state.locked, state.step, state.faults) = (false, false, 0, Faults::default());
    }

    /// The files as they are, for whoever cuts and flips them.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state();
        state.names.iter().map(|(name, file)| (name.clone(), state.files[*file].content.clone())).collect()
    }

    /// A disk that holds these files, synced.
    pub fn from_files(image: &BTreeMap<String, Vec<u8>>) -> SimDisk {
        let disk = SimDisk::new(0);
        {
            let mut state = disk.state();
            for (place, (name, content)) in image.iter().enumerate() {
                let (content, synced) = (content.clone(), content.clone());
                state.files.push(File { content, synced, since: Vec::new() });
                state.names.insert(name.clone(), place);
            }
            state.synced_names = state.names.clone();
        }
        disk
    }
}

impl State {
    /// One step. Whether it is the one at which power is lost: it is done by chance then.
    fn stepped(&mut self) -> io::Result<bool> {
        if self.down {
            return Err(failed("the power is off"));
        }
        self.step += 1;
        self.down = self.faults.crash_at_step == Some(self.step);
        Ok(self.down)
    }

    fn sync_fails(&mut self) -> bool {
        let one_in = self.faults.sync_failure_one_in;
        one_in > 0 && self.rng.u32(..one_in) == 0
    }

    fn known(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn naming(&mut self, naming: Naming) -> io::Result<()> {
        let crashes = self.stepped()?;
        if !crashes || self.rng.bool() {
            renamed(&mut self.names, &naming);
            self.since.push(naming);
        }
        match crashes {
            true => Err(failed("the power goes")),
            false => Ok(()),
        }
    }
}

impl Disk for SimDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let state = self.state();
        match state.down {
            true => Err(failed("the power is off")),
            false => Ok(state.names.keys().cloned().collect()),
        }
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        if state.down {
            return Err(failed("the power is off"));
        }
        Ok(state.files[state.known(name)?].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let file = state.files.len();
        state.files.push(File::default());
        state.naming(Naming::Made(name.into(), file))
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let crashes = state.stepped()?;
        let file = state.known(name)?;
        let held: u64 = state.names.values().map(|file| state.files[*file].content.len() as u64).sum();
        let room = state.faults.capacity_bytes.map_or(usize::MAX, |room| room.saturating_sub(held) as usize);
        let most = bytes.len().min(room);
        let most = if crashes { state.rng.usize(..=most) } else { most };
        let at = state.files[file].content.len();
        state.files[file].content.extend(&bytes[..most]);
        state.files[file].since.push(Append { at, bytes: bytes[..most].to_vec(), lost: false });
        match (crashes, most < bytes.len()) {
            (true, _) => Err(failed("the power goes")),
            (false, true) => Err(io::ErrorKind::StorageFull.into()),
            (false, false) => Ok(()),
        }
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let crashes = state.stepped()?;
        let file = state.known(name)?;
        let fails = state.sync_fails();
        if fails || crashes && state.rng.bool() {
            // What was to be kept is taken for kept by the machine from now on, and is not.
            state.files[file].since.iter_mut().for_each(|append| append.lost = true);
            return Err(failed("the sync failed"));
        }
        let kept = &mut state.files[file];
        let pending = std::mem::take(&mut kept.since);
        let (lost, sound): (Vec<Append>, Vec<Append>) = pending.into_iter().partition(|append| append.lost);
        for append in &sound {
            kept.synced.resize(kept.synced.len().max(append.at + append.bytes.len()), 0);
            kept.synced[append.at..append.at + append.bytes.len()].copy_from_slice(&append.bytes);
        }
        kept.since = lost;
        match crashes {
            true => Err(failed("the power goes")),
            false => Ok(()),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.known(from)?;
        state.naming(Naming::Moved(from.into(), to.into()))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.known(name)?;
        state.naming(Naming::Removed(name.into()))
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.state();
        let crashes = state.stepped()?;
        if state.sync_fails() {
            // Names go back in their order or not at all, so they stay pending.
            return Err(failed("the sync failed"));
        }
        if !crashes || state.rng.bool() {
            let since = std::mem::take(&mut state.since);
            since.iter().for_each(|naming| renamed(&mut state.synced_names, naming));
        }
        match crashes {
            true => Err(failed("the power goes")),
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
