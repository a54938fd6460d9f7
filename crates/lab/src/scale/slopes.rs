//! The resources that a manager or a relay uses as one size grows and all others stay the same.

use super::error::ScaleError;
use super::guard::Requirements;
use super::measured_process::Launcher;
use super::relay::{self, measure_relay};
use super::scenario::{measure_manager, Cost, Durations, Scenario};
use super::target_fleet::{TargetFleet, FULL};

/// An experiment that measures one role at growing values of one size.
pub struct SlopeExperiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What the size counts, as recorded with the figures.
    pub against: &'static str,
    /// The sizes of a full run.
    pub sizes: &'static [usize],
    /// The sizes of a run with `--small`.
    pub small_sizes: &'static [usize],
    /// The measured role, with its load at each size.
    pub load: Load,
}

/// A measured role, with the function from a size to its load.
#[derive(Clone, Copy)]
pub enum Load {
    Manager(fn(usize) -> Scenario),
    Relay(fn(usize) -> TargetFleet),
}

impl SlopeExperiment {
    /// The measured role, as recorded with the figures.
    pub fn role(&self) -> &'static str {
        match self.load {
            Load::Manager(_) => "manager",
            Load::Relay(_) => "relay",
        }
    }

    /// The resources that a play of this size needs.
    pub fn requirements(&self, size: usize) -> Requirements {
        match self.load {
            Load::Manager(scenario) => scenario(size).requirements(),
            Load::Relay(fleet) => relay::requirements(&fleet(size)),
        }
    }

    /// Measures the role at one size.
    pub async fn measure(
        &self,
        launcher: &Launcher,
        size: usize,
        durations: Durations,
    ) -> Result<Cost, ScaleError> {
        match self.load {
            Load::Manager(scenario) => measure_manager(launcher, &scenario(size), durations).await,
            Load::Relay(fleet) => measure_relay(launcher, &fleet(size), durations).await,
        }
    }

    /// The sizes of a small or a full run.
    pub fn sizes(&self, small: bool) -> &'static [usize] {
        if small {
            self.small_sizes
        } else {
            self.sizes
        }
    }
}

/// The default load: no proxies, no reports, one changed entry per second.
const BASE: Scenario = Scenario {
    workers: 1000,
    zones: 3,
    services: 20,
    changes_per_second: 1.0,
    proxies: 0,
    operations: 2,
    reports_per_second: 0.0,
};

/// The default load with proxies. There are fewer workers, so that the proxies get their first tables without delay.
const WITH_PROXIES: Scenario = Scenario { workers: 100, proxies: 50, ..BASE };

/// All slope experiments.
pub const ALL: [SlopeExperiment; 7] = [
    SlopeExperiment {
        name: "workers",
        against: "workers listed",
        sizes: &[500, 1000, 2000, 4000, 8000],
        small_sizes: &[1000, 2000, 4000, 8000],
        load: Load::Manager(|workers| Scenario { workers, ..BASE }),
    },
    SlopeExperiment {
        name: "changes",
        against: "changes of the list a second",
        sizes: &[0, 2, 8, 32],
        small_sizes: &[0, 10, 20, 40],
        load: Load::Manager(|changes| Scenario { changes_per_second: changes as f64, ..BASE }),
    },
    SlopeExperiment {
        name: "proxies",
        against: "proxies joined",
        sizes: &[50, 200, 800, 2400],
        small_sizes: &[100, 200, 400, 800],
        load: Load::Manager(|proxies| Scenario { proxies, ..WITH_PROXIES }),
    },
    SlopeExperiment {
        name: "operations",
        against: "operations",
        sizes: &[1, 2, 4, 8, 16],
        small_sizes: &[1, 2, 4, 8],
        load: Load::Manager(|operations| Scenario { operations, ..WITH_PROXIES }),
    },
    SlopeExperiment {
        name: "reports",
        against: "reports a second",
        sizes: &[0, 100, 400, 1600],
        small_sizes: &[0, 100, 200, 400],
        load: Load::Manager(|reports| Scenario { reports_per_second: reports as f64, ..WITH_PROXIES }),
    },
    SlopeExperiment {
        name: "relay-workers",
        against: "workers listed",
        sizes: &[25_000, 50_000, 100_000, 200_000],
        small_sizes: &[8000, 16_000, 32_000, 64_000],
        load: Load::Relay(|workers| TargetFleet { workers, ..RELAY }),
    },
    SlopeExperiment {
        name: "relay-subscribers",
        against: "subscribers",
        sizes: &[50, 100, 200, 400],
        small_sizes: &[80, 160, 320, 640],
        load: Load::Relay(|subscribers| TargetFleet { workers: RELAY_WORKERS, subscribers, ..RELAY }),
    },
];

/// The default load of a relay, with few subscribers while the list grows.
const RELAY: TargetFleet = TargetFleet { subscribers: 20, ..FULL };
/// The size of the list while the number of subscribers grows.
const RELAY_WORKERS: usize = 9_000;
