//! The slopes that the page is computed from, by the names that `docs/capacity/measured.json` has for them.

use super::figure::Bound;
use super::point::Point;
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
/// Bytes that a manager reads by the entries that change.
pub const MANAGER_BYTES_IN_BY_CHANGES: Series =
    Series { role: MANAGER, figure: BYTES_IN, against: CHANGES, unit: Unit::BytesPerSecond };
/// Bytes of orders by a manager's proxies, one entry changing a second.
pub const MANAGER_BYTES_OUT_BY_PROXIES: Series =
    Series { role: MANAGER, figure: BYTES_OUT, against: PROXIES, unit: Unit::BytesPerSecond };
/// Bytes that a manager reads by the sums that come to it.
pub const MANAGER_BYTES_IN_BY_REPORTS: Series =
    Series { role: MANAGER, figure: BYTES_IN, against: REPORTS, unit: Unit::BytesPerSecond };

const SCOPED: (&str, &str) = ("scope of ", " of 200000 workers through a relay");
const ORDINARY_DAY: (&str, &str) = ("ordinary day, 333", " subscribers");
const NEIGHBOUR_DIED: (&str, &str) = ("neighbour died, 666", " subscribers");

const fn point(
    role: &'static str,
    figure: &'static str,
    at: (&'static str, &'static str),
    unit: Unit,
) -> Point {
    Point { role, figure, at, unit, bound: Bound::Exact }
}

/// A relay's figure at the letter's size. Besides the changes of an ordinary day, that run sent timed ones to every
/// subscriber, one a second and five as the neighbour died.
const fn relay_at_most(figure: &'static str, at: (&'static str, &'static str), unit: Unit) -> Point {
    Point { role: RELAY, figure, at, unit, bound: Bound::AtMost }
}

/// Memory of a manager that watches one service of the letter's list through a relay.
pub const SCOPED_MEMORY: Point = point(MANAGER, PEAK_MEMORY, SCOPED, Unit::Bytes);
/// Its processor time.
pub const SCOPED_PROCESSOR: Point = point(MANAGER, PROCESSOR_TIME, SCOPED, Unit::Cores);
/// The bytes that it reads.
pub const SCOPED_BYTES_IN: Point = point(MANAGER, BYTES_IN, SCOPED, Unit::BytesPerSecond);

/// Memory of a relay by the workers listed to it.
pub const RELAY_MEMORY_BY_WORKERS: Series = memory(RELAY, WORKERS);
/// Memory of a relay by the managers that watch it.
pub const RELAY_MEMORY_BY_SUBSCRIBERS: Series = memory(RELAY, SUBSCRIBERS);
/// Processor time of a relay by the managers that watch it.
pub const RELAY_PROCESSOR_BY_SUBSCRIBERS: Series = processor(RELAY, SUBSCRIBERS);
/// Memory of a relay with the letter's list and its share of managers.
pub const RELAY_MEMORY: Point = point(RELAY, PEAK_MEMORY, ORDINARY_DAY, Unit::Bytes);
/// Its processor time.
pub const RELAY_PROCESSOR: Point = relay_at_most(PROCESSOR_TIME, ORDINARY_DAY, Unit::Cores);
/// The bytes that it reads.
pub const RELAY_BYTES_IN: Point = relay_at_most(BYTES_IN, ORDINARY_DAY, Unit::BytesPerSecond);
/// The bytes that it writes, one change a second going to every subscriber.
pub const RELAY_BYTES_OUT: Point = point(RELAY, BYTES_OUT, ORDINARY_DAY, Unit::BytesPerSecond);
/// From a changed entry at the source until the last of its managers has it.
pub const RELAY_DELAY: Point =
    point(RELAY, "a change until the last subscriber has it, p99", ("ordinary day", ""), Unit::Seconds);
/// Memory of a relay that takes over all managers of another.
pub const RELAY_MEMORY_TWICE: Point = point(RELAY, PEAK_MEMORY, NEIGHBOUR_DIED, Unit::Bytes);
/// Processor time of a relay that takes over all managers of another.
pub const RELAY_PROCESSOR_TWICE: Point = relay_at_most(PROCESSOR_TIME, NEIGHBOUR_DIED, Unit::Cores);
/// From a relay's death until another serves the last of its managers.
pub const RELAY_TAKEN_OVER: Point = point(
    RELAY,
    "until the last of the neighbour's subscribers is served",
    ("neighbour died", ""),
    Unit::Seconds,
);

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
