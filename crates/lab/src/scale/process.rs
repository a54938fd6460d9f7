//! What a process has used so far, by the kernel's books.

use std::fs;
use std::time::Duration;

use nix::time::{clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;

use super::error::ScaleError;

/// Processor time and memory of a process at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Of all its threads, also those that ended.
    pub processor: Duration,
    /// Resident memory in bytes, now and at its most.
    pub resident: u64,
    pub peak: u64,
}

impl Usage {
    pub fn of(process: u32) -> Result<Usage, ScaleError> {
        let status = format!("/proc/{process}/status");
        let status = fs::read_to_string(&status).map_err(ScaleError::io(status))?;
        Ok(Usage {
            processor: processor_time(process)?,
            resident: status_bytes(&status, "VmRSS:"),
            peak: status_bytes(&status, "VmHWM:"),
        })
    }
}

/// The process's own clock counts nanoseconds; `/proc/PID/stat` counts in steps of 10 ms, too coarse for an idle process.
fn processor_time(process: u32) -> Result<Duration, ScaleError> {
    let failed = || ScaleError::io(format!("the processor time of process {process}"));
    let clock = clock_getcpuclockid(Pid::from_raw(process as i32)).map_err(|why| failed()(why.into()))?;
    let time = clock_gettime(clock).map_err(|why| failed()(why.into()))?;
    Ok(Duration::from(time))
}

fn status_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
    let kib: u64 = line.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    kib * 1024
}
