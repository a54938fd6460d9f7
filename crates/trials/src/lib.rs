//! Fault-injection tests of a cluster of real manager processes.
//!
//! A [`TestCluster`] starts several managers as an operator does, with stand-ins for discovery, proxies, collectors and
//! the worker that runs schedules, and with one fault-injecting [`Link`] for each direction between two managers.
//! Faults are injected from outside (processes are killed, suspended and restarted; links are silenced, reset, delayed
//! and left half open; stores are deleted or replaced by older copies; clocks are moved) and from inside, at the
//! numbered fault points of `crates/faults`. [`InvariantReport`] checks a run by the messages sent over the links, the
//! executions of schedules, the managers' logs and the violations that the stand-in proxies found.
//!
//! Modules, each using only those before it: `process`, `topology`, `link`, `executor` and `zone_faults`; `cluster`;
//! `invariants`; `sweep`.

mod cluster;
mod executor;
mod invariants;
mod link;
mod process;
mod sweep;
mod topology;
mod zone_faults;

pub use cluster::{copy_dir, schedule_xml, ClusterConfig, TestCluster, PLAN_LEASE_MS};
pub use executor::{Execution, Executor, ResponseMode};
pub use invariants::InvariantReport;
pub use link::{Link, LinkState, Traffic};
pub use process::{ManagerBinary, ManagerProcess, WAIT_TIMEOUT};
pub use sweep::{count_point_passings, fault_cases, run_sweep, CaseOutcome, FaultCase, SweepReport};
pub use topology::{WORKERS, ZONES};
pub use zone_faults::ZoneFaults;
