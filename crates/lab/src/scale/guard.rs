//! Resource limits of a scale run: a run that needs more than its share of the machine is rejected, and one that uses
//! more is stopped.

use std::collections::BTreeSet;
use std::fs;
use std::process::exit;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, kill_process, setrlimit, Pid, Resource, Rlimit, Signal};

use super::error::ScaleError;
use super::process::Usage;

/// The limit on processes at a time, including this one.
const MAX_PROCESSES: usize = 300;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MEBIBYTE: u64 = 1 << 20;
/// The file descriptors of this process besides the simulated peers' sockets.
const OWN_DESCRIPTORS: u64 = 256;

/// The largest amounts of resources that a run needs at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Requirements {
    /// The memory of this process and of those that it starts, in bytes.
    pub memory_bytes: u64,
    /// The processes besides this one.
    pub processes: usize,
    /// The sockets of this process.
    pub sockets: u64,
}

impl Requirements {
    /// The larger of each amount, for experiments that run one after the other.
    pub fn max(self, other: Requirements) -> Requirements {
        Requirements {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            processes: self.processes.max(other.processes),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// The ids of the processes that a run started and has not reaped.
#[derive(Clone, Default)]
pub struct ChildProcesses(Arc<Mutex<BTreeSet<u32>>>);

impl ChildProcesses {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a process that was started.
    pub fn add(&self, process: u32) {
        self.lock().insert(process);
    }

    /// Removes a process. It must be called before the process is reaped, since its id may be reused afterwards.
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

/// The limit on the memory of a run, half of the machine's, in bytes.
fn memory_limit() -> Result<u64, ScaleError> {
    let path = "/proc/meminfo";
    let text = fs::read_to_string(path).map_err(ScaleError::io(path))?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap_or_default();
    let kib: u64 = total.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    Ok(kib * 1024 / 2)
}

/// Rejects a run that needs more than the limits. Raises the soft limit on file descriptors if the run needs that and
/// the hard limit allows it.
pub fn check_requirements(required: Requirements) -> Result<(), ScaleError> {
    let limit = memory_limit()?;
    if required.memory_bytes > limit {
        return Err(ScaleError::TooMuchMemory {
            needed: required.memory_bytes / MEBIBYTE,
            limit: limit / MEBIBYTE,
        });
    }
    let processes = required.processes + 1;
    if processes > MAX_PROCESSES {
        return Err(ScaleError::TooManyProcesses { needed: processes, limit: MAX_PROCESSES });
    }
    let needed = required.sockets + OWN_DESCRIPTORS;
    let descriptors = getrlimit(Resource::Nofile);
    let limit = descriptors.maximum.unwrap_or(u64::MAX);
    if needed > limit {
        return Err(ScaleError::TooManyDescriptors { needed, limit });
    }
    if descriptors.current.is_some_and(|current| current < needed) {
        let raised = Rlimit { current: Some(needed), maximum: descriptors.maximum };
        setrlimit(Resource::Nofile, raised)
            .map_err(|cause| ScaleError::io("raising the limit on file descriptors")(cause.into()))?;
    }
    Ok(())
}

/// Checks a run against its limits and its timeout until the watchdog is dropped. If the run exceeds one, all processes
/// that it started are killed and this one exits.
pub struct Watchdog {
    _alive: Arc<()>,
}

impl Watchdog {
    /// Starts the thread that checks the limits.
    pub fn start(children: ChildProcesses, timeout: Duration) -> Result<Watchdog, ScaleError> {
        let memory_limit = memory_limit()?;
        let alive = Arc::new(());
        let watched = Arc::downgrade(&alive);
        let started = Instant::now();
        thread::spawn(move || {
            while watched.upgrade().is_some() {
                if let Some(reason) = exceeded_limit(&children, memory_limit, started.elapsed(), timeout) {
                    eprintln!("scale: stopping the run: {reason}");
                    children.kill_all();
                    exit(1);
                }
                thread::sleep(CHECK_INTERVAL);
            }
        });
        Ok(Watchdog { _alive: alive })
    }
}

/// Describes the limit that the run exceeds, if there is one.
fn exceeded_limit(
    children: &ChildProcesses,
    memory_limit: u64,
    elapsed: Duration,
    timeout: Duration,
) -> Option<String> {
    let mut processes: Vec<u32> = children.lock().iter().copied().collect();
    processes.push(std::process::id());
    if processes.len() > MAX_PROCESSES {
        return Some(format!("{} processes, the limit is {MAX_PROCESSES}", processes.len()));
    }
    // A process that has exited since uses no memory.
    let resident = |process: &u32| Usage::of_process(*process).map_or(0, |usage| usage.resident_bytes);
    let memory: u64 = processes.iter().map(resident).sum();
    if memory > memory_limit {
        return Some(format!(
            "{} MiB of memory, the limit is {} MiB, half of the machine's memory",
            memory / MEBIBYTE,
            memory_limit / MEBIBYTE
        ));
    }
    (elapsed > timeout).then(|| format!("it did not finish within {} s", timeout.as_secs()))
}
