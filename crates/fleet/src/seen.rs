//! A copy of what people may read, written by the thread that decides in common.

use juniperrail_consensus::{Health, Index, MemberId, Reach, RecoveryState, Term};
use juniperrail_failover::Plan;
use juniperrail_schedule::EndedOccurrence;

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub me: MemberId,
    pub role: &'static str,
    pub leader: Option<MemberId>,
    pub term: Term,
    pub standing: Option<RecoveryState>,
    pub committed: Index,
    pub entries: usize,
    pub store_failing: bool,
    pub store_size: u64,
    /// Messages to others that had no room.
    pub lost: u64,
    pub own_health: u32,
    pub members: Vec<(MemberId, Health, Reach)>,
    pub schedules: Vec<ScheduleSeen>,
    pub plan: Plan,
    /// The plan's lease is over and no word came since.
    pub plan_lapsed: bool,
}

#[derive(Clone, Debug)]
pub struct ScheduleSeen {
    pub name: String,
    /// All that was due up to here is decided on, in Unix milliseconds.
    pub through: i64,
    pub open: usize,
    pub ends: u64,
    pub passed: u64,
    pub last: Option<EndedOccurrence>,
}
