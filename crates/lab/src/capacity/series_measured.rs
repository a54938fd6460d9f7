//! The slopes and the readings that the page is computed from, under their names in `docs/capacity/measured.json`.

use super::figure::Bound;
use super::point::{Conditions, Point};
use super::quantity::Unit;
use super::series::Series;

const MANAGER: &str = "manager";
const RELAY: &str = "relay";
const AGREEMENT: &str = "agreement";
const CONFIGURATION: &str = "configuration";

const PEAK_MEMORY: &str = "peak memory";
const PROCESSOR_TIME: &str = "processor time";
const BYTES_IN: &str = "bytes in";
const BYTES_OUT: &str = "bytes out";

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

/// Memory of a manager against the workers in its list.
pub const MANAGER_MEMORY: Series = memory(MANAGER, WORKERS);
/// Processor time of a manager against the workers in its list, with one entry changed per second.
pub const MANAGER_PROCESSOR: Series = processor(MANAGER, WORKERS);
/// Processor time of a manager against the list entries that change per second.
pub const MANAGER_PROCESSOR_BY_CHANGES: Series = processor(MANAGER, CHANGES);
/// Memory of a manager against its joined proxies.
pub const MANAGER_MEMORY_BY_PROXIES: Series = memory(MANAGER, PROXIES);
/// Processor time of a manager against its joined proxies.
pub const MANAGER_PROCESSOR_BY_PROXIES: Series = processor(MANAGER, PROXIES);
/// Memory of a manager against the operations that it writes tables for.
pub const MANAGER_MEMORY_BY_OPERATIONS: Series = memory(MANAGER, OPERATIONS);
/// Processor time of a manager against the operations that it writes tables for.
pub const MANAGER_PROCESSOR_BY_OPERATIONS: Series = processor(MANAGER, OPERATIONS);
/// Processor time of a manager against the sums that it reads per second.
pub const MANAGER_PROCESSOR_BY_REPORTS: Series = processor(MANAGER, REPORTS);
/// Bytes that a manager reads against the list entries that change per second.
pub const MANAGER_BYTES_IN_BY_CHANGES: Series =
    Series { role: MANAGER, figure: BYTES_IN, against: CHANGES, unit: Unit::BytesPerSecond };
/// Bytes of orders that a manager writes against its proxies, with one entry changed per second.
pub const MANAGER_BYTES_OUT_BY_PROXIES: Series =
    Series { role: MANAGER, figure: BYTES_OUT, against: PROXIES, unit: Unit::BytesPerSecond };
/// Bytes that a manager reads against the sums that it receives per second.
pub const MANAGER_BYTES_IN_BY_REPORTS: Series =
    Series { role: MANAGER, figure: BYTES_IN, against: REPORTS, unit: Unit::BytesPerSecond };

const SCOPED: Conditions = Conditions { prefix: "scope of ", suffix: " of 200000 workers through a relay" };
const ORDINARY_DAY: Conditions = Conditions { prefix: "ordinary day, 333", suffix: " subscribers" };
const ORDINARY_DAY_ANY_SIZE: Conditions = Conditions { prefix: "ordinary day", suffix: "" };
const AFTER_NEIGHBOUR_FAILURE: Conditions =
    Conditions { prefix: "neighbour died, 666", suffix: " subscribers" };
const AFTER_NEIGHBOUR_FAILURE_ANY_SIZE: Conditions = Conditions { prefix: "neighbour died", suffix: "" };

const fn point(role: &'static str, figure: &'static str, conditions: Conditions, unit: Unit) -> Point {
    Point { role, figure, conditions, unit, bound: Bound::Exact }
}

/// An upper bound of a relay's figure at the required size. Besides the changes of an ordinary day, the run sent
/// changes for timing to every subscriber: one per second, and five per second after the neighbouring relay failed.
const fn relay_at_most(figure: &'static str, conditions: Conditions, unit: Unit) -> Point {
    Point { role: RELAY, figure, conditions, unit, bound: Bound::AtMost }
}

/// Memory of a manager that watches one service of a list of the required size through a relay.
pub const SCOPED_MEMORY: Point = point(MANAGER, PEAK_MEMORY, SCOPED, Unit::Bytes);
/// Processor time of the same manager.
pub const SCOPED_PROCESSOR: Point = point(MANAGER, PROCESSOR_TIME, SCOPED, Unit::Cores);
/// Bytes that the same manager reads.
pub const SCOPED_BYTES_IN: Point = point(MANAGER, BYTES_IN, SCOPED, Unit::BytesPerSecond);

/// Memory of a relay against the workers in its list.
pub const RELAY_MEMORY_BY_WORKERS: Series = memory(RELAY, WORKERS);
/// Memory of a relay against the managers that watch it.
pub const RELAY_MEMORY_BY_SUBSCRIBERS: Series = memory(RELAY, SUBSCRIBERS);
/// Processor time of a relay against the managers that watch it.
pub const RELAY_PROCESSOR_BY_SUBSCRIBERS: Series = processor(RELAY, SUBSCRIBERS);
/// Memory of a relay with a list of the required size and its share of the managers.
pub const RELAY_MEMORY: Point = point(RELAY, PEAK_MEMORY, ORDINARY_DAY, Unit::Bytes);
/// Processor time of the same relay.
pub const RELAY_PROCESSOR: Point = relay_at_most(PROCESSOR_TIME, ORDINARY_DAY, Unit::Cores);
/// Bytes that the same relay reads.
pub const RELAY_BYTES_IN: Point = relay_at_most(BYTES_IN, ORDINARY_DAY, Unit::BytesPerSecond);
/// Bytes that the same relay writes, with one change per second sent to every subscriber.
pub const RELAY_BYTES_OUT: Point = point(RELAY, BYTES_OUT, ORDINARY_DAY, Unit::BytesPerSecond);
/// Time from a changed entry at the source until the last of the relay's managers receives it.
pub const RELAY_CHANGE_DELAY: Point =
    point(RELAY, "a change until the last subscriber has it, p99", ORDINARY_DAY_ANY_SIZE, Unit::Seconds);
/// Memory of a relay that takes over all managers of another one.
pub const RELAY_MEMORY_AFTER_TAKEOVER: Point =
    point(RELAY, PEAK_MEMORY, AFTER_NEIGHBOUR_FAILURE, Unit::Bytes);
/// Processor time of a relay that takes over all managers of another one.
pub const RELAY_PROCESSOR_AFTER_TAKEOVER: Point =
    relay_at_most(PROCESSOR_TIME, AFTER_NEIGHBOUR_FAILURE, Unit::Cores);
/// Time from the failure of a relay until another one serves the last of its managers.
pub const RELAY_TAKEOVER_TIME: Point = point(
    RELAY,
    "until the last of the neighbour's subscribers is served",
    AFTER_NEIGHBOUR_FAILURE_ANY_SIZE,
    Unit::Seconds,
);

/// Memory of the consensus group member that uses most memory, once it has settled, against the size of the group.
pub const MEMBER_MEMORY: Series = Series {
    role: AGREEMENT,
    figure: "settled memory of the largest member",
    against: MEMBERS,
    unit: Unit::Bytes,
};
/// Processor time of the consensus group member that uses most processor time, against the size of the group.
pub const MEMBER_PROCESSOR: Series = Series {
    role: AGREEMENT,
    figure: "processor time of the dearest member",
    against: MEMBERS,
    unit: Unit::Cores,
};
/// Bytes between all members of a consensus group, against the size of the group.
pub const MEMBER_BYTES: Series =
    Series { role: AGREEMENT, figure: "bytes between members", against: MEMBERS, unit: Unit::BytesPerSecond };

/// Time from a configuration commit until all proxies hold it, against the number of proxies.
pub const CHANGE_IN_FORCE: Series =
    Series { role: CONFIGURATION, figure: "commit to held", against: "proxies", unit: Unit::Seconds };
/// Time from a configuration commit until it takes effect at all managers through relays, against the number of
/// managers.
pub const CHANGE_IN_FORCE_THROUGH_RELAYS: Series = Series {
    role: CONFIGURATION,
    figure: "commit to held through relays",
    against: "managers",
    unit: Unit::Seconds,
};
