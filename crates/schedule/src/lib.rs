//! Cron-like schedules: each occurrence is run by one of the managers that are up. This crate has no I/O, clock or
//! thread.
//!
//! [`Timing`] computes when a schedule is due. [`Ledger`] is the replicated state of every occurrence.
//! [`propose_commands`] is what the leader proposes, and [`ClaimTracker`] is what the owner of a claim does.
//!
//! Guarantees, by kind of occurrence:
//!
//! - A side-effecting one is started at most once. After a crash between its start and its end its outcome is unknown, and
//!   it is never started again.
//! - An idempotent one is started again, under a higher fencing token, until it ends or its tries are used up.
//! - Neither is dropped silently: every time at which a schedule was due has an outcome in the ledger, or is counted as
//!   skipped with the reason.
//!
//! Fencing tokens are indices of the consensus log. An executor that rejects tokens lower than the highest it has seen
//! runs no action under a superseded claim once it has seen a later one.

mod claim_tracker;
mod decide;
mod ledger;
mod timing;

pub use claim_tracker::{ClaimProgress, ClaimTask, ClaimTracker};
pub use decide::{propose_commands, CatchUp, LeaderState, Schedule, MAX_COMMANDS_PER_PASS};
pub use ledger::{
    Action, Claim, Command, EndedOccurrence, Ledger, Occurrence, OccurrenceOutcome, OpenOccurrence,
    OverlapPolicy, ScheduleRecord, SkipReason, TryOutcome,
};
pub use timing::{FoldPolicy, GapPolicy, QuietPolicy, ScheduledTime, Timing, TimingError};
