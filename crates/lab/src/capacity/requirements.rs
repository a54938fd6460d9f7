//! The figures and limits of the operators' letter, as they wrote them. Sizes are counts, a day has 86,400 s, and a
//! kilobyte is 1,000 bytes.

/// Managers in all.
pub const MANAGERS: f64 = 17_000.0;
/// Workers in all.
pub const WORKERS: f64 = 200_000.0;
/// Services in all.
pub const SERVICES: f64 = 4_400.0;
/// Routes in all.
pub const ROUTES: f64 = 81_000.0;
/// Tenants in all.
pub const TENANTS: f64 = 1_200_000.0;
/// Regions.
pub const REGIONS: f64 = 23.0;
/// Zones of all regions.
pub const ZONES: f64 = 73.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 51.0;
/// Requests a second at the peak, all proxies together.
pub const REQUESTS_PER_SECOND: f64 = 4_100_000.0;
/// What proxies may add to a request for 99 in 100, in milliseconds.
pub const ADDED_LATENCY_MS: f64 = 1.8;
/// The share of requests for which that has to hold.
pub const ADDED_LATENCY_SHARE: f64 = 0.99;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 13_000.0;
/// Within how many seconds a change is in force everywhere.
pub const CHANGE_IN_FORCE_SECONDS: f64 = 11.0;
/// Machines that fail on an ordinary day.
pub const FAILURES_PER_DAY: f64 = 1_200.0;
/// Machines that are restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 35_000.0;
/// What control may cost a manager: a share of one core.
pub const MANAGER_CORES: f64 = 0.013;
/// What control may cost a manager: bytes of memory.
pub const MANAGER_MEMORY_BYTES: f64 = 32e6;
/// What control may cost a manager: bytes a second, in and out.
pub const MANAGER_BYTES_PER_SECOND: f64 = 5_000.0;
/// How long regions lose each other now and then, in seconds.
pub const REGION_CUT_SECONDS: f64 = 3_600.0;

/// Seconds of a day.
pub const DAY_SECONDS: f64 = 86_400.0;
