//! The load on a manager in one play, and the processor time, memory and bytes that the manager uses under it.

use std::time::Duration;

use tokio::time::sleep;

use super::error::ScaleError;
use super::guard::Requirements;
use super::manager::Manager;
use super::measured_process::{Launcher, MeasuredProcess};
use super::simulated::{Collectors, Discovery, Fleet, Proxies, Workers};

/// An upper limit on the memory of a single manager in any scenario, without its list.
const MAX_PROCESS_BYTES: u64 = 256 << 20;
/// An upper limit on the memory of a list entry, in this process and in a manager together.
const MAX_ENTRY_BYTES: u64 = 4 << 10;

/// The numbers of a manager's peers and the rates of changes and reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// The number of workers in the manager's list.
    pub workers: usize,
    /// The number of zones that workers, proxies and collectors are spread over.
    pub zones: usize,
    /// The number of services that the workers are spread over.
    pub services: usize,
    /// Changed list entries per second.
    pub changes_per_second: f64,
    /// The number of proxies that join the manager.
    pub proxies: usize,
    /// The number of operations in the manager's settings.
    pub operations: usize,
    /// Reports per second, of all collectors.
    pub reports_per_second: f64,
}

impl Scenario {
    /// The resources that a play of the scenario needs.
    pub fn requirements(&self) -> Requirements {
        Requirements {
            memory_bytes: MAX_PROCESS_BYTES + self.workers as u64 * MAX_ENTRY_BYTES,
            processes: 1,
            sockets: (self.proxies + self.zones) as u64,
        }
    }
}

/// The durations of a measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Durations {
    /// The wait between the setup and the window.
    pub settle: Duration,
    /// The window over which the usage is measured.
    pub window: Duration,
}

/// The resources that a process used over a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Processor time, as a share of one core.
    pub cores: f64,
    /// The largest resident memory since the start, in bytes.
    pub peak_bytes: f64,
    /// The resident memory at the end of the window, in bytes.
    pub settled_bytes: f64,
    /// Bytes received per second.
    pub bytes_in_per_second: f64,
    /// Bytes sent per second.
    pub bytes_out_per_second: f64,
}

/// A figure of a [`Cost`], with the name and unit that are printed and recorded.
#[derive(Clone, Copy)]
pub struct Figure {
    pub name: &'static str,
    pub unit: &'static str,
    /// Reads the figure from a cost.
    pub value: fn(&Cost) -> f64,
}

/// The figures of a cost.
pub const FIGURES: [Figure; 5] = [
    Figure { name: "processor time", unit: "cores", value: |cost| cost.cores },
    Figure { name: "peak memory", unit: "B", value: |cost| cost.peak_bytes },
    Figure { name: "settled memory", unit: "B", value: |cost| cost.settled_bytes },
    Figure { name: "bytes in", unit: "B/s", value: |cost| cost.bytes_in_per_second },
    Figure { name: "bytes out", unit: "B/s", value: |cost| cost.bytes_out_per_second },
];

/// The bytes that a process has received and sent so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteCounts {
    pub received: u64,
    pub sent: u64,
}

/// Waits for the settle time, then measures a process over the window. `bytes` reads the bytes that it has received and
/// sent.
pub async fn measure_cost(
    process: &MeasuredProcess,
    durations: Durations,
    bytes: impl Fn() -> ByteCounts,
) -> Result<Cost, ScaleError> {
    sleep(durations.settle).await;
    let (started, before, bytes_before) = (std::time::Instant::now(), process.usage()?, bytes());
    sleep(durations.window).await;
    let (seconds, after, bytes_after) = (started.elapsed().as_secs_f64(), process.usage()?, bytes());
    Ok(Cost {
        cores: (after.processor_time - before.processor_time).as_secs_f64() / seconds,
        peak_bytes: after.peak_bytes as f64,
        settled_bytes: after.resident_bytes as f64,
        bytes_in_per_second: (bytes_after.received - bytes_before.received) as f64 / seconds,
        bytes_out_per_second: (bytes_after.sent - bytes_before.sent) as f64 / seconds,
    })
}

/// Starts a manager and simulated peers for a scenario and measures the manager.
pub async fn measure_manager(
    launcher: &Launcher,
    scenario: &Scenario,
    durations: Durations,
) -> Result<Cost, ScaleError> {
    let workers = Workers::start().await?;
    let fleet = Fleet {
        workers: scenario.workers,
        zones: scenario.zones,
        services: scenario.services,
        address: workers.address,
    };
    let discovery = Discovery::start(fleet.clone()).await?;
    let mut manager = Manager::start(launcher, scenario, discovery.address, None).await?;
    let list_sent = || discovery.traffic().sent() > discovery.list_bytes() as u64;
    manager.process.wait_for("the manager to read the list", list_sent).await?;
    let proxies = Proxies::join(manager.address, scenario.proxies, scenario.zones);
    manager.process.wait_for("orders to all proxies", || proxies.with_order() >= scenario.proxies).await?;
    let collectors = Collectors::start(manager.address, &fleet, scenario.reports_per_second);
    let _churn = discovery.churn(scenario.changes_per_second);
    let peers = [discovery.traffic(), proxies.traffic(), collectors.traffic()];
    let bytes = || ByteCounts {
        received: peers.iter().map(|peer| peer.sent()).sum(),
        sent: peers.iter().map(|peer| peer.received()).sum(),
    };
    measure_cost(&manager.process, durations, bytes).await
}
