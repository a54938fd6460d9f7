//! What the leader proposes: claims on occurrences that are due or to be retried, the expiry of claims, and the
//! occurrences to skip.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_consensus::{Index, MemberId};
use juniperrail_interface::Ms;
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::{
    Action, Command, Ledger, Occurrence, OpenOccurrence, OverlapPolicy, ScheduleRecord, SkipReason,
};
use crate::timing::{ScheduledTime, Timing};

/// How many missed occurrences are run late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CatchUp {
    #[default]
    None,
    Last,
    /// The last ones, up to this number.
    LastCount(u32),
}

/// A schedule as configured in the operator's file.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub timing: Timing,
    pub action: Action,
    /// An occurrence that is late by more than this is missed.
    pub deadline: Ms,
    pub catch_up: CatchUp,
    pub overlap: OverlapPolicy,
}

/// Commands proposed in one pass, and occurrences of one schedule examined in it; the rest is left to the next pass.
pub const MAX_COMMANDS_PER_PASS: usize = 256;

/// The wait before the next try doubles with each try, up to this exponent.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// What the leader remembers between passes. It is discarded when leadership ends.
#[derive(Clone, Debug, Default)]
pub struct LeaderState {
    /// When this leader first saw each claim, by its own monotonic clock.
    first_seen: BTreeMap<Index, Ms>,
    /// Proposals that are not committed yet, with the time of the proposal. The number distinguishes kinds of commands.
    proposed: BTreeMap<(Occurrence, u8), Ms>,
    /// Schedules that need no check yet, as long as their record does not change.
    idle: BTreeMap<String, Idle>,
}

/// Until when a schedule needs no check: by the time of day, and by the leader's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Idle {
    fingerprint: (i64, u64, usize),
    until_time_of_day: Ms,
    until: Ms,
}

impl Idle {
    fn holds(&self, record: &ScheduleRecord, time_of_day: Ms, now: Ms) -> bool {
        self.fingerprint == fingerprint(record) && (time_of_day < self.until_time_of_day || now < self.until)
    }
}

/// Changes whenever an occurrence of the schedule is claimed, skipped or ended.
fn fingerprint(record: &ScheduleRecord) -> (i64, u64, usize) {
    (record.decided_through_ms, record.ended_count, record.open.len())
}

impl LeaderState {
    /// Whether a command may be proposed now; if so, records its proposal. A command is not proposed again within
    /// `retry_after`.
    fn may_propose(&mut self, now: Ms, command: &Command, retry_after: Ms) -> bool {
        let key = match command {
            Command::AddSchedule { schedule, .. } => {
                (Occurrence { schedule: schedule.clone(), due_ms: i64::MIN }, 0)
            }
            Command::RemoveSchedule { schedule } => {
                (Occurrence { schedule: schedule.clone(), due_ms: i64::MIN }, 1)
            }
            Command::Skip { occurrence, .. } => (occurrence.clone(), 2),
            Command::Claim { occurrence, .. } => (occurrence.clone(), 3),
            Command::Start { occurrence, .. } => (occurrence.clone(), 4),
            Command::FinishTry { occurrence, .. } => (occurrence.clone(), 5),
            Command::ExpireClaim { occurrence, .. } => (occurrence.clone(), 6),
        };
        let last_proposed_at = self.proposed.get(&key).copied();
        let is_due = last_proposed_at.is_none_or(|last_proposed_at| now >= last_proposed_at + retry_after);
        if is_due {
            self.proposed.insert(key, now);
        }
        is_due
    }
}

/// Returns the commands to propose now. `now` is the leader's monotonic clock, `time_of_day` the median of the
/// members' wall clocks (Unix milliseconds), `retry_after` the time after which a proposal that was not committed is
/// repeated, and `alive` the members that may be given claims.
pub fn propose_commands(
    schedules: &BTreeMap<String, Schedule>,
    ledger: &Ledger,
    leader_state: &mut LeaderState,
    now: Ms,
    time_of_day: Ms,
    retry_after: Ms,
    alive: &[MemberId],
) -> Vec<Command> {
    let mut commands = Vec::new();
    let open_fences = |record: &ScheduleRecord| {
        record.open.values().filter_map(|open| Some(open.claim.as_ref()?.fence)).collect::<Vec<_>>()
    };
    let fences: BTreeSet<Index> = ledger.schedules.values().flat_map(open_fences).collect();
    leader_state.first_seen.retain(|fence, _| fences.contains(fence));
    leader_state.proposed.retain(|_, proposed_at| now < *proposed_at + retry_after);
    // Proposes a command unless it was proposed recently. Returns whether the pass has room for more. A command that
    // does not fit into this pass must not count as proposed, or it would be delayed until `retry_after`.
    let mut propose = |leader_state: &mut LeaderState, command: Command| {
        if leader_state.may_propose(now, &command, retry_after) {
            commands.push(command);
        }
        commands.len() < MAX_COMMANDS_PER_PASS
    };
    for (name, record) in &ledger.schedules {
        for (due_ms, open) in &record.open {
            let occurrence = Occurrence { schedule: name.clone(), due_ms: *due_ms };
            let command = command_for_open(occurrence, open, leader_state, now, time_of_day, alive);
            if command.is_some_and(|command| !propose(leader_state, command)) {
                return commands;
            }
        }
        let may_remove = !schedules.contains_key(name) && record.open.is_empty();
        if may_remove && !propose(leader_state, Command::RemoveSchedule { schedule: name.clone() }) {
            return commands;
        }
    }
    for (name, schedule) in schedules {
        let command = match ledger.schedules.get(name) {
            None => {
                Some(Command::AddSchedule { schedule: name.clone(), decided_through_ms: time_of_day as i64 })
            }
            Some(record) => {
                let pass = Pass { now, time_of_day, retry_after, alive };
                command_unless_idle(name, schedule, record, leader_state, pass)
            }
        };
        if command.is_some_and(|command| !propose(leader_state, command)) {
            return commands;
        }
    }
    commands
}

/// The arguments of one pass, as given to [`propose_commands`].
#[derive(Clone, Copy)]
struct Pass<'a> {
    now: Ms,
    time_of_day: Ms,
    retry_after: Ms,
    alive: &'a [MemberId],
}

/// The command for the next occurrence of a schedule, unless nothing can have changed since the last check.
fn command_unless_idle(
    name: &str,
    schedule: &Schedule,
    record: &ScheduleRecord,
    leader_state: &mut LeaderState,
    pass: Pass<'_>,
) -> Option<Command> {
    let Pass { now, time_of_day, retry_after, alive } = pass;
    if leader_state.idle.get(name).is_some_and(|idle| idle.holds(record, time_of_day, now)) {
        return None;
    }
    let (command, next) = next_command(name, schedule, record, time_of_day, alive);
    // After a proposal the schedule is idle for `retry_after`. If it waits for an open occurrence, the end of that one
    // changes the fingerprint and makes it checked again.
    let until = if next.is_none() { now + retry_after } else { f64::NEG_INFINITY };
    let idle = Idle {
        fingerprint: fingerprint(record),
        until_time_of_day: next.unwrap_or(f64::NEG_INFINITY),
        until,
    };
    leader_state.idle.insert(name.to_string(), idle);
    command
}

/// The command for an open occurrence: the expiry of its claim, or a claim for the next try.
fn command_for_open(
    occurrence: Occurrence,
    open: &OpenOccurrence,
    leader_state: &mut LeaderState,
    now: Ms,
    time_of_day: Ms,
    alive: &[MemberId],
) -> Option<Command> {
    match &open.claim {
        Some(claim) => {
            // A new leader grants every claim its full lease, as it cannot know how much of it has passed.
            let first_seen = *leader_state.first_seen.entry(claim.fence).or_insert(now);
            let expired = now >= first_seen + open.action.claim_lease || !alive.contains(&claim.owner);
            expired.then_some(Command::ExpireClaim { occurrence, fence: claim.fence, at: time_of_day })
        }
        None => {
            let wait = open.action.backoff
                * 2f64.powi(open.tries.saturating_sub(1).min(MAX_BACKOFF_EXPONENT) as i32);
            let owner = choose_owner(&occurrence, open.tries, alive)?;
            // If the time of day went back, the wait must not become longer than the backoff.
            let has_waited =
                time_of_day >= open.last_try_ended + wait || time_of_day < open.last_try_ended - wait;
            has_waited.then(|| Command::Claim {
                occurrence,
                owner,
                action: open.action.clone(),
                overlap: OverlapPolicy::Queue,
            })
        }
    }
}

/// The command for what has become due since `decided_through_ms`: at most one, as the next command depends on it. If
/// nothing is due, returns the time at which the next occurrence runs.
fn next_command(
    name: &str,
    schedule: &Schedule,
    record: &ScheduleRecord,
    time_of_day: Ms,
    alive: &[MemberId],
) -> (Option<Command>, Option<Ms>) {
    let mut due: Vec<ScheduledTime> = Vec::new();
    let mut next_run_at = f64::INFINITY;
    for time in schedule.timing.after(record.decided_through_ms as Ms).take(MAX_COMMANDS_PER_PASS) {
        if time.run_at > time_of_day {
            next_run_at = time.run_at;
            break;
        }
        due.push(time);
    }
    match due.is_empty() {
        true => (None, Some(next_run_at)),
        false => (command_for_due(name, schedule, record, time_of_day, alive, &due), None),
    }
}

/// Skips or claims the first of the due occurrences.
fn command_for_due(
    name: &str,
    schedule: &Schedule,
    record: &ScheduleRecord,
    time_of_day: Ms,
    alive: &[MemberId],
    due: &[ScheduledTime],
) -> Option<Command> {
    let occurrence_at = |due: Ms| Occurrence { schedule: name.into(), due_ms: due as i64 };
    let skip_command = |time: &ScheduledTime, reason, count| {
        Some(Command::Skip { occurrence: occurrence_at(time.due), reason, count })
    };
    let is_in_time = |time: &ScheduledTime| time_of_day <= time.run_at + schedule.deadline;
    let first_due = due.first()?;
    if first_due.in_quiet_time {
        return skip_command(first_due, SkipReason::Quiet, 1);
    }
    let late_count = due.iter().take_while(|time| !time.in_quiet_time && !is_in_time(time)).count();
    let catch_up_count = match schedule.catch_up {
        CatchUp::None => 0,
        CatchUp::Last => 1,
        CatchUp::LastCount(count) => count as usize,
    };
    // Only the last missed occurrences are run late. If all occurrences that this pass examines are missed, more may
    // follow, so all of these are skipped.
    let catch_up_count =
        if due.len() == MAX_COMMANDS_PER_PASS && late_count == due.len() { 0 } else { catch_up_count };
    if late_count > catch_up_count {
        return skip_command(
            &due[late_count - catch_up_count - 1],
            SkipReason::Missed,
            (late_count - catch_up_count) as u64,
        );
    }
    if !record.open.is_empty() {
        match schedule.overlap {
            OverlapPolicy::Skip => return skip_command(first_due, SkipReason::Overlap, 1),
            OverlapPolicy::Queue => return None,
            OverlapPolicy::Replace => {}
        }
    }
    let occurrence = occurrence_at(first_due.due);
    let owner = choose_owner(&occurrence, 0, alive)?;
    Some(Command::Claim { occurrence, owner, action: schedule.action.clone(), overlap: schedule.overlap })
}

/// Spreads occurrences over the members by hash; each try goes to another member.
fn choose_owner(occurrence: &Occurrence, tries: u32, alive: &[MemberId]) -> Option<MemberId> {
    let hash = xxh3_64(format!("{}\0{}", occurrence.schedule, occurrence.due_ms).as_bytes());
    let owner_index = (hash as usize).checked_add(tries as usize).unwrap_or(0).checked_rem(alive.len())?;
    alive.get(owner_index).copied()
}
