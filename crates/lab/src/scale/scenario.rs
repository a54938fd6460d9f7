//! What a manager meets in one play, and what that costs it.

use std::time::Duration;

use tokio::time::sleep;

use super::error::ScaleError;
use super::guard::Need;
use super::manager::Manager;
use super::measured_process::Host;
use super::simulated::{Collectors, Discovery, Fleet, Proxies, Workers};

/// Memory of a real process that any scenario of a single manager stays below, in bytes, besides its list.
const PROCESS_MEMORY: u64 = 256 << 20;
/// Memory that an entry of the list takes at most, in this process and in a manager, in bytes.
const ENTRY_MEMORY: u64 = 4 << 10;

/// The sizes of everything that a manager meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    pub workers: usize,
    pub zones: usize,
    pub services: usize,
    pub changes_per_second: f64,
    pub proxies: usize,
    pub operations: usize,
    pub reports_per_second: f64,
}

impl Scenario {
    pub fn need(&self) -> Need {
        Need {
            memory: PROCESS_MEMORY + self.workers as u64 * ENTRY_MEMORY,
            processes: 1,
            sockets: (self.proxies + self.zones) as u64,
        }
    }
}

/// How long things are waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// From when all is in place until the window.
    pub settle: Duration,
    /// The window over which is measured.
    pub window: Duration,
}

/// What a process used over a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Processor time, as a part of one core.
    pub cores: f64,
    /// Resident memory in bytes: at its most since the start, and at the end of the window.
    pub peak: f64,
    pub settled: f64,
    /// Bytes a second.
    pub bytes_in: f64,
    pub bytes_out: f64,
}

/// A figure of a cost, as it is printed and kept.
#[derive(Clone, Copy)]
pub struct Figure {
    pub name: &'static str,
    pub unit: &'static str,
    pub of: fn(&Cost) -> f64,
}

pub const FIGURES: [Figure; 5] = [
    Figure { name: "processor time", unit: "cores", of: |cost| cost.cores },
    Figure { name: "peak memory", unit: "B", of: |cost| cost.peak },
    Figure { name: "settled memory", unit: "B", of: |cost| cost.settled },
    Figure { name: "bytes in", unit: "B/s", of: |cost| cost.bytes_in },
    Figure { name: "bytes out", unit: "B/s", of: |cost| cost.bytes_out },
];

/// Bytes of a process, both ways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    pub into: u64,
    pub out: u64,
}

/// Waits until things settled, then measures a process over a window. `bytes`: what went in and out so far.
pub async fn cost(
    role: &super::measured_process::Role,
    pace: Pace,
    bytes: impl Fn() -> Bytes,
) -> Result<Cost, ScaleError> {
    sleep(pace.settle).await;
    let (begun, before, bytes_before) = (std::time::Instant::now(), role.usage()?, bytes());
    sleep(pace.window).await;
    let (seconds, after, bytes_after) = (begun.elapsed().as_secs_f64(), role.usage()?, bytes());
    Ok(Cost {
        cores: (after.processor - before.processor).as_secs_f64() / seconds,
        peak: after.peak as f64,
        settled: after.resident as f64,
        bytes_in: (bytes_after.into - bytes_before.into) as f64 / seconds,
        bytes_out: (bytes_after.out - bytes_before.out) as f64 / seconds,
    })
}

/// Plays a scenario with a manager that is started for it.
pub async fn play(host: &Host, scenario: &Scenario, pace: Pace) -> Result<Cost, ScaleError> {
    let workers = Workers::start().await?;
    let fleet = Fleet {
        workers: scenario.workers,
        zones: scenario.zones,
        services: scenario.services,
        address: workers.address,
    };
    let discovery = Discovery::start(fleet.clone()).await?;
    let mut manager = Manager::start(host, scenario, discovery.address, None).await?;
    let listed = || discovery.traffic().sent() > discovery.list_bytes() as u64;
    manager.role.until("the list to be taken", listed).await?;
    let proxies = Proxies::join(manager.address, scenario.proxies, scenario.zones);
    manager.role.until("orders to all proxies", || proxies.ordered() >= scenario.proxies).await?;
    let collectors = Collectors::start(manager.address, &fleet, scenario.reports_per_second);
    let _churn = discovery.churn(scenario.changes_per_second);
    let peers = [discovery.traffic(), proxies.traffic(), collectors.traffic()];
    let bytes = || Bytes {
        into: peers.iter().map(|peer| peer.sent()).sum(),
        out: peers.iter().map(|peer| peer.received()).sum(),
    };
    cost(&manager.role, pace, bytes).await
}
