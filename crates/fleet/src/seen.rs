//! A copy of what people may read, written by the thread that decides in common.

use juniperrail_consensus::{Health, Index, MemberId, Reach, RecoveryState, Term};
use juniperrail_failover::Plan;
use juniperrail_schedule::EndedOccurrence;

#[derive(Clone, Debug, Default)]
pub struct FleetStatus {
    pub member_id: MemberId,
    pub role: &'static str,
    pub leader: Option<MemberId>,
    pub term: Term,
    pub recovery_state: Option<RecoveryState>,
    pub commit_index: Index,
    pub log_entry_count: usize,
    pub store_failing: bool,
    pub store_bytes: u64,
    /// Messages to others that had no room.
    pub messages_lost: u64,
    pub local_health: u32,
    pub members: Vec<(MemberId, Health, Reach)>,
    pub schedules: Vec<ScheduleStatus>,
    pub plan: Plan,
    /// The plan's lease is over and no word came since.
    pub plan_lease_expired: bool,
}

#[derive(Clone, Debug)]
pub struct ScheduleStatus {
    pub name: String,
    /// All that was due up to here is decided on, in Unix milliseconds.
    pub decided_through: i64,
    pub open_count: usize,
    pub ended_count: u64,
    pub skipped_count: u64,
    pub last_ended: Option<EndedOccurrence>,
}
