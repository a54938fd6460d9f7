//! Keeps a run within its share of the machine: it is refused if it would need more, and ended if it takes more.

use std::collections::BTreeSet;
use std::fs;
use std::process::exit;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, kill_process, setrlimit, Pid, Resource, Rlimit, Signal};

use super::error::ScaleError;
use super::process::Usage;

/// Processes at once, this one among them.
const PROCESSES_MOST: usize = 300;
const CHECK_EVERY: Duration = Duration::from_millis(500);
const MEBIBYTE: u64 = 1 << 20;
/// Descriptors of this process besides the hollow peers' sockets.
const OWN_DESCRIPTORS: u64 = 256;

/// What a run needs at its dearest moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Memory of this process and of those that it starts, in bytes.
    pub memory: u64,
    /// Processes besides this one.
    pub processes: usize,
    /// Sockets of this process.
    pub sockets: u64,
}

impl Need {
    /// What covers either of two.
    pub fn or(self, other: Need) -> Need {
        Need {
            memory: self.memory.max(other.memory),
            processes: self.processes.max(other.processes),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// The processes that a run started and that have not been waited for.
#[derive(Clone, Default)]
pub struct Started(Arc<Mutex<BTreeSet<u32>>>);

impl Started {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn add(&self, process: u32) {
        self.lock().insert(process);
    }

    /// To be called before the process is waited for: afterwards its number may be another's.
    pub fn remove(&self, process: u32) {
        self.lock().remove(&process);
    }

    fn kill_all(&self) {
        for process in self.lock().iter() {
            if let Some(process) = Pid::from_raw(*process as i32) {
                _ = kill_process(process, Signal::KILL);
            }
        }
    }
}

/// Half of the machine's memory, in bytes.
fn memory_most() -> Result<u64, ScaleError> {
    let path = "/proc/meminfo";
    let text = fs::read_to_string(path).map_err(ScaleError::io(path))?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap_or_default();
    let kib: u64 = total.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    Ok(kib * 1024 / 2)
}

/// Refuses a run that would need too much, and raises the soft limit on descriptors as far as it needs and may.
pub fn admit(need: Need) -> Result<(), ScaleError> {
    let most = memory_most()?;
    if need.memory > most {
        return Err(ScaleError::TooMuchMemory { needed: need.memory / MEBIBYTE, most: most / MEBIBYTE });
    }
    let processes = need.processes + 1;
    if processes > PROCESSES_MOST {
        return Err(ScaleError::TooManyProcesses { needed: processes, most: PROCESSES_MOST });
    }
    let needed = need.sockets + OWN_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    let most = limit.maximum.unwrap_or(u64::MAX);
    if needed > most {
        return Err(ScaleError::TooManyDescriptors { needed, most });
    }
    if limit.current.is_some_and(|current| current < needed) {
        let raised = Rlimit { current: Some(needed), maximum: limit.maximum };
        setrlimit(Resource::Nofile, raised)
            .map_err(|why| ScaleError::io("the limit on descriptors")(why.into()))?;
    }
    Ok(())
}

/// Watches a run until it is dropped. A run that takes too much, or too long, ends with all that it started.
pub struct Watchdog {
    _alive: Arc<()>,
}

impl Watchdog {
    pub fn start(started: Started, within: Duration) -> Result<Watchdog, ScaleError> {
        let memory_most = memory_most()?;
        let alive = Arc::new(());
        let watched = Arc::downgrade(&alive);
        let begun = Instant::now();
        thread::spawn(move || {
            while watched.upgrade().is_some() {
                if let Some(why) = excess(&started, memory_most, begun.elapsed(), within) {
                    eprintln!("scale: the run is ended: {why}");
                    started.kill_all();
                    exit(1);
                }
                thread::sleep(CHECK_EVERY);
            }
        });
        Ok(Watchdog { _alive: alive })
    }
}

fn excess(started: &Started, memory_most: u64, elapsed: Duration, within: Duration) -> Option<String> {
    let mut processes: Vec<u32> = started.lock().iter().copied().collect();
    processes.push(std::process::id());
    if processes.len() > PROCESSES_MOST {
        return Some(format!("{} processes", processes.len()));
    }
    // One that ended since holds nothing.
    let resident = |process: &u32| Usage::of(*process).map_or(0, |usage| usage.resident);
    let memory: u64 = processes.iter().map(resident).sum();
    if memory > memory_most {
        return Some(format!("{} MB of memory, half of the machine's", memory / MEBIBYTE));
    }
    (elapsed > within).then(|| format!("it took more than {} s", within.as_secs()))
}
