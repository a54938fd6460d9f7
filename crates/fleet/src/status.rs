//! Snapshots of the fleet's state for operators, written by the fleet thread.

use juniperrail_consensus::{Health, Index, MemberId, Reach, RecoveryState, Term};
use juniperrail_failover::Plan;
use juniperrail_schedule::EndedOccurrence;

/// The status of this manager as a member of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetStatus {
    pub member_id: MemberId,
    /// `leader`, `follower` or `candidate`.
    pub role: &'static str,
    pub leader: Option<MemberId>,
    pub term: Term,
    pub recovery_state: Option<RecoveryState>,
    pub commit_index: Index,
    pub log_entry_count: usize,
    pub store_failing: bool,
    pub store_bytes: u64,
    /// Messages to other members that were dropped because the outbound queue was full.
    pub messages_lost: u64,
    /// The local health score of Lifeguard: 0 is healthy.
    pub local_health: u32,
    /// The other members, each with its health and whether it answers probes.
    pub members: Vec<(MemberId, Health, Reach)>,
    pub schedules: Vec<ScheduleStatus>,
    pub plan: Plan,
    /// The lease of `plan` has expired, and no renewal has arrived since.
    pub plan_lease_expired: bool,
}

/// The status of one schedule.
#[derive(Clone, Debug)]
pub struct ScheduleStatus {
    pub name: String,
    /// Every occurrence that was due up to this time, in Unix milliseconds, was claimed or skipped.
    pub decided_through: i64,
    /// Claimed occurrences that have not ended.
    pub open_count: usize,
    pub ended_count: u64,
    pub skipped_count: u64,
    pub last_ended: Option<EndedOccurrence>,
}
