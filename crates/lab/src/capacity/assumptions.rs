//! The values that the page assumes because the requirements do not state them. Each can be halved or doubled, so that
//! the page shows which of its figures depend on it.

use super::requirements;

/// A value that the requirements do not state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assumption {
    ServicesPerManager,
    RequestsPerProxy,
    RoutesPerOperation,
    TenantBytes,
    EntryBytes,
    EntriesPerRestart,
    EntriesPerFailure,
    WorkersPerMachine,
    MachinesPerRack,
    FailedZoneSizeRatio,
    ServicesPerChange,
    ChangeBytes,
    ReportPeriodSeconds,
    ProxyZonesPerManager,
    ConsensusGroupMembers,
    StallPerLineMicroseconds,
}

/// The name, the value and the reason of an assumption, as printed on the page.
#[derive(Clone, Copy, Debug)]
pub struct Details {
    pub name: &'static str,
    pub value: f64,
    pub reason: &'static str,
}

impl Assumption {
    /// All assumptions, in the order of the page.
    pub const ALL: [Assumption; 16] = [
        Assumption::ServicesPerManager,
        Assumption::RequestsPerProxy,
        Assumption::RoutesPerOperation,
        Assumption::TenantBytes,
        Assumption::EntryBytes,
        Assumption::EntriesPerRestart,
        Assumption::EntriesPerFailure,
        Assumption::WorkersPerMachine,
        Assumption::MachinesPerRack,
        Assumption::FailedZoneSizeRatio,
        Assumption::ServicesPerChange,
        Assumption::ChangeBytes,
        Assumption::ReportPeriodSeconds,
        Assumption::ProxyZonesPerManager,
        Assumption::ConsensusGroupMembers,
        Assumption::StallPerLineMicroseconds,
    ];

    /// What the page prints about the assumption.
    pub fn details(self) -> Details {
        let (name, value, reason) = match self {
            Assumption::ServicesPerManager => (
                "services per manager",
                1.0,
                "a service is one kind of homework checking with its own workers; all services are taken to be of equal size",
            ),
            Assumption::RequestsPerProxy => (
                "requests per second per proxy",
                20.0,
                "at the sites: 62 to 180 a second over 6 to 12 proxies, one per client process, which gives 5 to 30",
            ),
            Assumption::RoutesPerOperation => (
                "routes per operation",
                1.0,
                "a route is what the sites call an operation, such as `save-attempt`",
            ),
            Assumption::TenantBytes => (
                "bytes of configuration per tenant",
                100.0,
                "a tenant is a school; no decision depends on it today, so its state is a name and a few values",
            ),
            Assumption::EntryBytes => (
                "bytes per list entry",
                146.0,
                "the list entries of our stand-in for discovery, as measured with 93e8f85",
            ),
            Assumption::EntriesPerRestart => (
                "list entries per restart",
                3.0,
                "one each for draining, gone and ready",
            ),
            Assumption::EntriesPerFailure => ("list entries per failure", 2.0, "one for gone, and one for ready elsewhere or later"),
            Assumption::WorkersPerMachine => ("workers per machine", 1.0, "the requirements count machines; each is taken to run one worker"),
            Assumption::MachinesPerRack => ("machines per rack or switch", 40.0, "a full rack of small machines"),
            Assumption::FailedZoneSizeRatio => (
                "size of the failed zone relative to the mean zone",
                1.0,
                "the requirements do not state the sizes of zones",
            ),
            Assumption::ServicesPerChange => (
                "services per configuration change",
                1.0,
                "a change sets a weight, a drain or a limit of one service",
            ),
            Assumption::ChangeBytes => (
                "bytes per configuration change",
                300.0,
                "a worker with its weight takes some 200 in the operator's XML, and a version and an author are added",
            ),
            Assumption::ReportPeriodSeconds => ("report period in seconds", 1.0, "as at two of the three sites; it is 2 at the third"),
            Assumption::ProxyZonesPerManager => (
                "zones with proxies of one manager",
                1.0,
                "proxies connect to a manager of their own zone",
            ),
            Assumption::ConsensusGroupMembers => (
                "members of the consensus group",
                7.0,
                "three to seven are planned; the largest size costs most",
            ),
            Assumption::StallPerLineMicroseconds => (
                "microseconds for which a proxy is stalled per line of an order",
                120.0,
                "the highest value of the sites' ranges, 21 to 120",
            ),
        };
        Details { name, value, reason }
    }
}

/// The sizes that follow from the requirements and the assumptions, with at most one assumption scaled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sizes {
    /// The scaled assumption and its factor.
    scaled: Option<(Assumption, f64)>,
}

impl Sizes {
    /// The sizes with this assumption multiplied by this factor.
    pub fn scaled(assumption: Assumption, factor: f64) -> Sizes {
        Sizes { scaled: Some((assumption, factor)) }
    }

    /// The value of an assumption, with its factor applied.
    pub fn assumed(&self, assumption: Assumption) -> f64 {
        let factor =
            self.scaled.filter(|(scaled, _)| *scaled == assumption).map_or(1.0, |(_, factor)| factor);
        assumption.details().value * factor
    }

    /// Workers in the scope of a manager that follows only its own services.
    pub fn workers_in_scope(&self) -> f64 {
        requirements::WORKERS / requirements::SERVICES * self.assumed(Assumption::ServicesPerManager)
    }

    /// The share of all workers that is in the scope of one manager.
    pub fn scope_share(&self) -> f64 {
        self.workers_in_scope() / requirements::WORKERS
    }

    /// Managers whose scope includes a given service, and with it the entries of that service's workers.
    pub fn managers_per_service(&self) -> f64 {
        requirements::MANAGERS * self.scope_share()
    }

    /// Proxies in the fleet.
    pub fn proxies(&self) -> f64 {
        requirements::REQUESTS_PER_SECOND / self.assumed(Assumption::RequestsPerProxy)
    }

    /// Proxies of one manager.
    pub fn proxies_per_manager(&self) -> f64 {
        self.proxies() / requirements::MANAGERS
    }

    /// Operations for which one manager writes tables.
    pub fn operations_per_manager(&self) -> f64 {
        let operations = requirements::ROUTES / self.assumed(Assumption::RoutesPerOperation);
        operations / requirements::SERVICES * self.assumed(Assumption::ServicesPerManager)
    }

    /// Managers that one control machine serves.
    pub fn managers_per_control_machine(&self) -> f64 {
        requirements::MANAGERS / requirements::CONTROL_MACHINES
    }

    /// Workers in one zone: those of the mean zone, scaled by [`Assumption::FailedZoneSizeRatio`].
    pub fn workers_per_zone(&self) -> f64 {
        requirements::WORKERS / requirements::ZONES * self.assumed(Assumption::FailedZoneSizeRatio)
    }

    /// Managers in one zone: those of the mean zone, scaled by [`Assumption::FailedZoneSizeRatio`].
    pub fn managers_per_zone(&self) -> f64 {
        requirements::MANAGERS / requirements::ZONES * self.assumed(Assumption::FailedZoneSizeRatio)
    }

    /// Workers in one region.
    pub fn workers_per_region(&self) -> f64 {
        requirements::WORKERS / requirements::REGIONS
    }

    /// List entries that change per second on an ordinary day.
    pub fn entries_per_second(&self) -> f64 {
        let restarts = requirements::RESTARTS_PER_DAY * self.assumed(Assumption::EntriesPerRestart);
        let failures = requirements::FAILURES_PER_DAY * self.assumed(Assumption::EntriesPerFailure);
        (restarts + failures) * self.assumed(Assumption::WorkersPerMachine) / requirements::DAY_SECONDS
    }

    /// Bytes of this many list entries.
    pub fn entries_bytes(&self, entries: f64) -> f64 {
        entries * self.assumed(Assumption::EntryBytes)
    }

    /// Bytes of the full list.
    pub fn list_bytes(&self) -> f64 {
        self.entries_bytes(requirements::WORKERS)
    }

    /// Bytes of a snapshot of one manager's scope.
    pub fn snapshot_bytes(&self) -> f64 {
        self.entries_bytes(self.workers_in_scope())
    }

    /// Configuration changes per second.
    pub fn changes_per_second(&self) -> f64 {
        requirements::CHANGES_PER_DAY / requirements::DAY_SECONDS
    }

    /// The share of the configuration changes that concern the services of one manager.
    pub fn change_share(&self) -> f64 {
        let per_service = self.assumed(Assumption::ServicesPerChange) / requirements::SERVICES;
        (per_service * self.assumed(Assumption::ServicesPerManager)).min(1.0)
    }

    /// Bytes of this many configuration changes.
    pub fn changes_bytes(&self, changes: f64) -> f64 {
        changes * self.assumed(Assumption::ChangeBytes)
    }
}
