//! Trials: several processes of the program, started as an operator starts them, with stand-ins for all that they meet and
//! a link of our own for each way between two of them. Faults are injected from outside (processes are killed, stopped
//! and restarted, links cut, slowed and half opened, stores lost and put back, clocks moved) and inside, at the numbered
//! points of `crates/faults`. What came of it is judged by what crossed the links, what executors did and what was logged.

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
