//! The slopes that the page is computed from, by the names that `docs/capacity/measured.json` has for them.

use super::quantity::Unit;
use super::series::Series;

const MANAGER: &str = "manager";
const RELAY: &str = "relay";
const AGREEMENT: &str = "agreement";
const CONFIGURATION: &str = "configuration";

const PEAK_MEMORY: &str = "peak memory";
const PROCESSOR_TIME: &str = "processor time";

const WORKERS: &str = "workers listed";
const CHANGES: &str = "changes of the list a second";
const PROXIES: &str = "proxies joined";
const OPERATIONS: &str = "operations";
const REPORTS: &str = "reports a second";
const SUBSCRIBERS: &str = "subscribers";
const MEMBERS: &str = "members that agree";

const fn memory(role: &'static str, against: &'static str) -> Series {
    Series { role, figure: PEAK_MEMORY, against, unit: Unit::Bytes }
}

const fn processor(role: &'static str, against: &'static str) -> Series {
    Series { role, figure: PROCESSOR_TIME, against, unit: Unit::Cores }
}

/// Memory of a manager by the workers listed to it.
pub const MANAGER_MEMORY: Series = memory(MANAGER, WORKERS);
/// Processor time of a manager by the workers listed to it, one entry changing a second.
pub const MANAGER_PROCESSOR: Series = processor(MANAGER, WORKERS);
/// Processor time of a manager by the entries that change.
pub const MANAGER_PROCESSOR_BY_CHANGES: Series = processor(MANAGER, CHANGES);
/// Memory of a manager by its proxies.
pub const MANAGER_MEMORY_BY_PROXIES: Series = memory(MANAGER, PROXIES);
/// Processor time of a manager by its proxies.
pub const MANAGER_PROCESSOR_BY_PROXIES: Series = processor(MANAGER, PROXIES);
/// Memory of a manager by the operations that it writes tables for.
pub const MANAGER_MEMORY_BY_OPERATIONS: Series = memory(MANAGER, OPERATIONS);
/// Processor time of a manager by the operations that it writes tables for.
pub const MANAGER_PROCESSOR_BY_OPERATIONS: Series = processor(MANAGER, OPERATIONS);
/// Processor time of a manager by the sums that it reads.
pub const MANAGER_PROCESSOR_BY_REPORTS: Series = processor(MANAGER, REPORTS);
/// Bytes that a manager reads by the sums that come to it.
pub const MANAGER_BYTES_IN_BY_REPORTS: Series =
    Series { role: MANAGER, figure: "bytes in", against: REPORTS, unit: Unit::BytesPerSecond };

/// Memory of a relay by the workers listed to it.
pub const RELAY_MEMORY: Series = memory(RELAY, WORKERS);
/// Memory of a relay by the managers that watch it.
pub const RELAY_MEMORY_BY_SUBSCRIBERS: Series = memory(RELAY, SUBSCRIBERS);
/// Processor time of a relay by the managers that watch it.
pub const RELAY_PROCESSOR_BY_SUBSCRIBERS: Series = processor(RELAY, SUBSCRIBERS);

/// Memory of the largest member of a consensus group by its members.
pub const MEMBER_MEMORY: Series = Series {
    role: AGREEMENT,
    figure: "settled memory of the largest member",
    against: MEMBERS,
    unit: Unit::Bytes,
};
/// Processor time of the dearest member of a consensus group by its members.
pub const MEMBER_PROCESSOR: Series = Series {
    role: AGREEMENT,
    figure: "processor time of the dearest member",
    against: MEMBERS,
    unit: Unit::Cores,
};
/// Bytes between all members of a consensus group by its members.
pub const MEMBER_BYTES: Series =
    Series { role: AGREEMENT, figure: "bytes between members", against: MEMBERS, unit: Unit::BytesPerSecond };

/// From a commit of configuration until all proxies hold it.
pub const CHANGE_IN_FORCE: Series =
    Series { role: CONFIGURATION, figure: "commit to held", against: "proxies", unit: Unit::Seconds };
/// The same through relays, at all managers.
pub const CHANGE_IN_FORCE_BY_RELAY: Series = Series {
    role: CONFIGURATION,
    figure: "commit to held through relays",
    against: "managers",
    unit: Unit::Seconds,
};
