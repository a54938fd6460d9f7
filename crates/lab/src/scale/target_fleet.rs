//! The fleet that the operators write of, and what a manager of it may use.

use std::net::SocketAddr;

use super::simulated::Fleet;

/// What one manager may use for control.
pub const MEMORY_MOST: f64 = 32e6;
pub const MEMORY_AIM: f64 = 12e6;
pub const CORES_MOST: f64 = 0.013;
pub const BYTES_MOST: f64 = 5e3;

/// The sizes of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Letter {
    pub workers: usize,
    pub zones: usize,
    pub services: usize,
    /// Managers of one relay.
    pub subscribers: usize,
    /// Workers of a manager that takes the whole list, for comparison.
    pub unscoped_workers: usize,
    /// On an ordinary day.
    pub changes_per_second: f64,
    /// How many windows a relay's ordinary day lasts, for enough timed changes.
    pub relay_windows: u32,
}

pub const WHOLE: Letter = Letter {
    workers: 200_000,
    zones: 73,
    services: 4_400,
    subscribers: 333,
    unscoped_workers: 10_000,
    changes_per_second: 1.2,
    relay_windows: 6,
};

const SMALL: Letter = Letter {
    workers: 9_000,
    services: 200,
    subscribers: 40,
    unscoped_workers: 2_000,
    relay_windows: 2,
    ..WHOLE
};

impl Letter {
    pub fn of(small: bool) -> Letter {
        if small {
            SMALL
        } else {
            WHOLE
        }
    }

    /// All workers; nobody probes them.
    pub fn fleet(&self) -> Fleet {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        Fleet { workers: self.workers, zones: self.zones, services: self.services, address }
    }

    /// The parameters of a watch that asks for these services.
    pub fn query(&self, services: &[usize]) -> String {
        let names: Vec<String> =
            services.iter().map(|service| Fleet::service_name(service % self.services)).collect();
        format!("&services={}", names.join(","))
    }
}
