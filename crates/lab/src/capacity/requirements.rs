//! The fleet sizes and the limits that the operators require, as they state them. Sizes are counts, a day has 86,400 s,
//! and a kilobyte is 1,000 bytes.

/// Managers in the fleet.
pub const MANAGERS: f64 = 17_000.0;
/// Workers in the fleet.
pub const WORKERS: f64 = 200_000.0;
/// Services in the fleet.
pub const SERVICES: f64 = 4_400.0;
/// Routes in the fleet.
pub const ROUTES: f64 = 81_000.0;
/// Tenants in the fleet.
pub const TENANTS: f64 = 1_200_000.0;
/// Regions of the fleet.
pub const REGIONS: f64 = 23.0;
/// Zones in all regions together.
pub const ZONES: f64 = 73.0;
/// Machines dedicated to control.
pub const CONTROL_MACHINES: f64 = 51.0;
/// Peak requests per second over all proxies.
pub const REQUESTS_PER_SECOND: f64 = 4_100_000.0;
/// Latency that a proxy may add to a request, for [`ADDED_LATENCY_SHARE`] of the requests, in milliseconds.
pub const ADDED_LATENCY_MS: f64 = 1.8;
/// Share of the requests to which [`ADDED_LATENCY_MS`] applies.
pub const ADDED_LATENCY_SHARE: f64 = 0.99;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 13_000.0;
/// Time within which a configuration change takes effect on the whole fleet, in seconds.
pub const CHANGE_IN_FORCE_SECONDS: f64 = 11.0;
/// Machines that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 1_200.0;
/// Machines that are restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 35_000.0;
/// Processor time that control may take on a manager, as a share of one core.
pub const MANAGER_CORES: f64 = 0.013;
/// Memory that control may take on a manager, in bytes.
pub const MANAGER_MEMORY_BYTES: f64 = 32e6;
/// Traffic that control may cause at a manager, in and out, in bytes per second.
pub const MANAGER_BYTES_PER_SECOND: f64 = 5_000.0;
/// Duration of an occasional network partition between regions, in seconds.
pub const REGION_PARTITION_SECONDS: f64 = 3_600.0;

/// Seconds in a day.
pub const DAY_SECONDS: f64 = 86_400.0;
