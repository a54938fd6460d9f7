//! The sizes of the fleet that the operators require, and the limits on the resources of one of its managers.

use std::net::SocketAddr;

use super::simulated::Fleet;

/// The limit on the memory of a manager.
pub const MAX_MEMORY_BYTES: f64 = 32e6;
/// The desired memory of a manager, below the limit.
pub const TARGET_MEMORY_BYTES: f64 = 12e6;
/// The limit on the processor time of a manager, as a share of one core.
pub const MAX_CORES: f64 = 0.013;
/// The limit on the bytes that a manager receives and sends per second.
pub const MAX_BYTES_PER_SECOND: f64 = 5e3;

/// The sizes of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetFleet {
    /// The number of workers in the list.
    pub workers: usize,
    /// The number of zones that the workers are spread over.
    pub zones: usize,
    /// The number of services that the workers are spread over.
    pub services: usize,
    /// The number of managers that subscribe to one relay.
    pub subscribers: usize,
    /// The number of workers in the list of the manager without a scope that the scoped one is compared with.
    pub unscoped_workers: usize,
    /// The changed list entries per second on an ordinary day.
    pub changes_per_second: f64,
    /// The number of windows over which a relay is measured on an ordinary day, long enough for its timed changes.
    pub relay_windows: u32,
}

/// The required sizes.
pub const FULL: TargetFleet = TargetFleet {
    workers: 200_000,
    zones: 73,
    services: 4_400,
    subscribers: 333,
    unscoped_workers: 10_000,
    changes_per_second: 1.2,
    relay_windows: 6,
};

/// The sizes of a run with `--small`.
const SMALL: TargetFleet = TargetFleet {
    workers: 9_000,
    services: 200,
    subscribers: 40,
    unscoped_workers: 2_000,
    relay_windows: 2,
    ..FULL
};

impl TargetFleet {
    /// The sizes for a small or a full run.
    pub fn for_run(small: bool) -> TargetFleet {
        if small {
            SMALL
        } else {
            FULL
        }
    }

    /// The fleet that discovery lists. Its workers are not probed, so they share an address on which nothing listens.
    pub fn listed_fleet(&self) -> Fleet {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        Fleet { workers: self.workers, zones: self.zones, services: self.services, address }
    }

    /// The query parameters of a watch with these services as its scope.
    pub fn query(&self, services: &[usize]) -> String {
        let names: Vec<String> =
            services.iter().map(|service| Fleet::service_name(service % self.services)).collect();
        format!("&services={}", names.join(","))
    }
}
