//! What a manager costs as one size grows and all others stay.

use super::scenario::Scenario;

/// One size that grows.
pub struct Growth {
    /// The word for the command line.
    pub name: &'static str,
    /// What the figures are told against.
    pub against: &'static str,
    pub sizes: &'static [usize],
    /// The sizes of the small form.
    pub small: &'static [usize],
    pub scenario: fn(usize) -> Scenario,
}

/// What stays where nothing else is said: no proxies, no reports, one changed entry a second.
const BASE: Scenario = Scenario {
    workers: 1000,
    zones: 3,
    services: 20,
    changes_per_second: 1.0,
    proxies: 0,
    operations: 2,
    reports_per_second: 0.0,
};

/// With proxies, of fewer workers, so that their first tables pass at once.
const SERVING: Scenario = Scenario { workers: 100, proxies: 50, ..BASE };

pub const MANAGER: [Growth; 5] = [
    Growth {
        name: "workers",
        against: "workers listed",
        sizes: &[500, 1000, 2000, 4000, 8000],
        small: &[200, 400, 800, 1600],
        scenario: |workers| Scenario { workers, ..BASE },
    },
    Growth {
        name: "changes",
        against: "changes of the list a second",
        sizes: &[0, 2, 8, 32],
        small: &[0, 10, 20, 40],
        scenario: |changes| Scenario { changes_per_second: changes as f64, ..BASE },
    },
    Growth {
        name: "proxies",
        against: "proxies joined",
        sizes: &[50, 200, 800, 2400],
        small: &[25, 50, 100, 200],
        scenario: |proxies| Scenario { proxies, ..SERVING },
    },
    Growth {
        name: "operations",
        against: "operations",
        sizes: &[1, 2, 4, 8, 16],
        small: &[1, 2, 4, 8],
        scenario: |operations| Scenario { operations, ..SERVING },
    },
    Growth {
        name: "reports",
        against: "reports a second",
        sizes: &[0, 100, 400, 1600],
        small: &[0, 100, 200, 400],
        scenario: |reports| Scenario { reports_per_second: reports as f64, ..SERVING },
    },
];
