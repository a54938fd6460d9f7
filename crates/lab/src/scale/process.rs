//! The processor time and memory of a process, as the kernel accounts them.

use std::fs;
use std::time::Duration;

use nix::time::{clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;

use super::error::ScaleError;

/// Processor time and memory of a process at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The processor time of all its threads, including those that have ended.
    pub processor_time: Duration,
    /// The resident memory in bytes.
    pub resident_bytes: u64,
    /// The largest resident memory since the process started, in bytes.
    pub peak_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process by its id.
    pub fn of_process(process: u32) -> Result<Usage, ScaleError> {
        let status = format!("/proc/{process}/status");
        let status = fs::read_to_string(&status).map_err(ScaleError::io(status))?;
        Ok(Usage {
            processor_time: processor_time(process)?,
            resident_bytes: status_bytes(&status, "VmRSS:"),
            peak_bytes: status_bytes(&status, "VmHWM:"),
        })
    }
}

/// Reads the process's CPU-time clock, which counts nanoseconds. `/proc/PID/stat` counts in steps of 10 ms, which is
/// too coarse for an idle process.
fn processor_time(process: u32) -> Result<Duration, ScaleError> {
    let error = || ScaleError::io(format!("the processor time of process {process}"));
    let clock = clock_getcpuclockid(Pid::from_raw(process as i32)).map_err(|cause| error()(cause.into()))?;
    let time = clock_gettime(clock).map_err(|cause| error()(cause.into()))?;
    Ok(Duration::from(time))
}

/// The value of a field of `/proc/PID/status`, in bytes; 0 if the field is missing.
fn status_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
    let kib: u64 = line.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    kib * 1024
}
