//! When something has to happen, and that it happens once, whichever manager is up. No I/O, clock or thread: [`Timing`]
//! says when a schedule is due, [`Ledger`] is what managers have agreed of every occurrence, [`due`] is what the leader
//! proposes, and [`ClaimTracker`] what the owner of a claim does.
//!
//! What is promised, by the kind of a run. A side-effecting one is begun at most once: after a crash between its
//! beginning and its end it is told as unknown and never begun again. An idempotent one is begun again, under a higher
//! fencing number, until it ended or its tries are used up. Neither is silently left out: every time that a schedule was
//! due has an end in the books, or is counted among those passed over with the reason. Fencing numbers are indices of
//! the council's log; an executor that refuses lower ones than it has seen never runs an overtaken claim.

mod books;
mod decide;
mod duty;
mod timing;

pub use books::{
    Action, Claim, Command, EndedOccurrence, Ledger, Occurrence, OccurrenceOutcome, OpenOccurrence,
    OverlapPolicy, ScheduleRecord, SkipReason, TryOutcome,
};
pub use decide::{propose_commands, CatchUp, LeaderState, Schedule, MAX_COMMANDS_PER_PASS};
pub use duty::{ClaimProgress, ClaimTask, ClaimTracker};
pub use timing::{FoldPolicy, GapPolicy, QuietPolicy, ScheduledTime, Timing, TimingError};
