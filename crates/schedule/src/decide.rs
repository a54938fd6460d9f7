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
    /// The last ones, at most this number.
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

/// The most commands that one pass proposes, and the most occurrences of one schedule that it examines. The rest is left
/// to the next pass.
pub const MAX_COMMANDS_PER_PASS: usize = 256;

/// The wait before the next try doubles with each try, up to this exponent.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// What the leader remembers between passes. It is discarded when leadership ends.
#[derive(Clone, Debug, Default)]
pub struct LeaderState {
    /// When this leader first saw each claim, by its own monotonic clock.
    first_seen: BTreeMap<Index, Ms>,
    /// When each recent command was last proposed, by the leader's monotonic clock.
    proposed: BTreeMap<ProposalKey, Ms>,
    /// Per schedule: the period in which it needs no check.
    idle_periods: BTreeMap<String, IdlePeriod>,
}

/// Identifies a proposed command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProposalKey {
    /// What the command is about. For a command on the schedule itself `due_ms` is `i64::MIN`.
    occurrence: Occurrence,
    /// A number per kind of command.
    command_kind: u8,
}

/// A period in which a schedule needs no check. It lasts until both times have passed, and ends early if the schedule's
/// record changes.
#[derive(Clone, Copy, Debug)]
struct IdlePeriod {
    fingerprint: RecordFingerprint,
    until_unix_time: Ms,
    /// By the leader's monotonic clock.
    until_monotonic: Ms,
}

impl IdlePeriod {
    fn is_in_effect(&self, record: &ScheduleRecord, unix_time: Ms, now: Ms) -> bool {
        self.fingerprint == RecordFingerprint::of(record)
            && (unix_time < self.until_unix_time || now < self.until_monotonic)
    }
}

/// Changes whenever an occurrence of the schedule is claimed for the first time, skipped or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RecordFingerprint {
    decided_through_ms: i64,
    ended_count: u64,
    open_count: usize,
}

impl RecordFingerprint {
    fn of(record: &ScheduleRecord) -> RecordFingerprint {
        RecordFingerprint {
            decided_through_ms: record.decided_through_ms,
            ended_count: record.ended_count,
            open_count: record.open.len(),
        }
    }
}

impl LeaderState {
    /// Records the proposal of a command and returns whether to propose it: a command that was proposed within the last
    /// `retry_after` is not proposed again.
    fn record_proposal(&mut self, now: Ms, command: &Command, retry_after: Ms) -> bool {
        let (occurrence, command_kind) = match command {
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
        let key = ProposalKey { occurrence, command_kind };
        let last_proposed_at = self.proposed.get(&key).copied();
        let is_due = last_proposed_at.is_none_or(|last_proposed_at| now >= last_proposed_at + retry_after);
        if is_due {
            self.proposed.insert(key, now);
        }
        is_due
    }
}

/// Returns the commands to propose now. `now` is the leader's monotonic clock, `unix_time` the median of the members'
/// wall clocks in Unix milliseconds, `retry_after` the time after which a proposal that was not committed is repeated,
/// and `alive` the members that may be given claims.
pub fn propose_commands(
    schedules: &BTreeMap<String, Schedule>,
    ledger: &Ledger,
    leader_state: &mut LeaderState,
    now: Ms,
    unix_time: Ms,
    retry_after: Ms,
    alive: &[MemberId],
) -> Vec<Command> {
    let mut commands = Vec::new();
    let fences_of = |record: &ScheduleRecord| {
        record.open.values().filter_map(|open| Some(open.claim.as_ref()?.fence)).collect::<Vec<_>>()
    };
    let open_fences: BTreeSet<Index> = ledger.schedules.values().flat_map(fences_of).collect();
    leader_state.first_seen.retain(|fence, _| open_fences.contains(fence));
    leader_state.proposed.retain(|_, proposed_at| now < *proposed_at + retry_after);
    // Proposes a command unless it was proposed recently, and returns whether the pass may propose more. At the limit the
    // pass ends: a command that was recorded but not returned would be delayed by `retry_after`.
    let mut propose = |leader_state: &mut LeaderState, command: Command| {
        if leader_state.record_proposal(now, &command, retry_after) {
            commands.push(command);
        }
        commands.len() < MAX_COMMANDS_PER_PASS
    };
    for (name, record) in &ledger.schedules {
        for (due_ms, open) in &record.open {
            let occurrence = Occurrence { schedule: name.clone(), due_ms: *due_ms };
            let command = command_for_open(occurrence, open, leader_state, now, unix_time, alive);
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
                Some(Command::AddSchedule { schedule: name.clone(), decided_through_ms: unix_time as i64 })
            }
            Some(record) => {
                let pass = Pass { now, unix_time, retry_after, alive };
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
    unix_time: Ms,
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
    let Pass { now, unix_time, retry_after, alive } = pass;
    if leader_state.idle_periods.get(name).is_some_and(|period| period.is_in_effect(record, unix_time, now)) {
        return None;
    }
    let NextCommand { command, next_run_at } = next_command(name, schedule, record, unix_time, alive);
    // If an occurrence is due, the schedule is idle for `retry_after`, whether a command was proposed or it has to wait
    // for an open occurrence. The end of that occurrence changes the fingerprint, so the schedule is checked again.
    let until_monotonic = if next_run_at.is_none() { now + retry_after } else { f64::NEG_INFINITY };
    let idle_period = IdlePeriod {
        fingerprint: RecordFingerprint::of(record),
        until_unix_time: next_run_at.unwrap_or(f64::NEG_INFINITY),
        until_monotonic,
    };
    leader_state.idle_periods.insert(name.to_string(), idle_period);
    command
}

/// The command for an open occurrence: the expiry of its claim, or a claim for the next try.
fn command_for_open(
    occurrence: Occurrence,
    open: &OpenOccurrence,
    leader_state: &mut LeaderState,
    now: Ms,
    unix_time: Ms,
    alive: &[MemberId],
) -> Option<Command> {
    match &open.claim {
        Some(claim) => {
            // A new leader grants every claim its full lease, as it cannot know how much of it has passed.
            let first_seen = *leader_state.first_seen.entry(claim.fence).or_insert(now);
            let expired = now >= first_seen + open.action.claim_lease || !alive.contains(&claim.owner);
            expired.then_some(Command::ExpireClaim { occurrence, fence: claim.fence, at: unix_time })
        }
        None => {
            let wait = open.action.backoff
                * 2f64.powi(open.tries.saturating_sub(1).min(MAX_BACKOFF_EXPONENT) as i32);
            let owner = choose_owner(&occurrence, open.tries, alive)?;
            // If the clock was set back by more than `wait`, the try is due at once, so the wait at most doubles.
            let has_waited =
                unix_time >= open.last_try_ended + wait || unix_time < open.last_try_ended - wait;
            has_waited.then(|| Command::Claim {
                occurrence,
                owner,
                action: open.action.clone(),
                overlap: OverlapPolicy::Queue,
            })
        }
    }
}

/// The result of [`next_command`].
struct NextCommand {
    command: Option<Command>,
    /// If nothing is due: the Unix time at which the next occurrence runs, infinite if there is none.
    next_run_at: Option<Ms>,
}

/// The command for what has become due since `decided_through_ms`: at most one, as the next command depends on it.
fn next_command(
    name: &str,
    schedule: &Schedule,
    record: &ScheduleRecord,
    unix_time: Ms,
    alive: &[MemberId],
) -> NextCommand {
    let mut due: Vec<ScheduledTime> = Vec::new();
    let mut next_run_at = f64::INFINITY;
    for time in schedule.timing.after(record.decided_through_ms as Ms).take(MAX_COMMANDS_PER_PASS) {
        if time.run_at > unix_time {
            next_run_at = time.run_at;
            break;
        }
        due.push(time);
    }
    match due.is_empty() {
        true => NextCommand { command: None, next_run_at: Some(next_run_at) },
        false => NextCommand {
            command: command_for_due(name, schedule, record, unix_time, alive, &due),
            next_run_at: None,
        },
    }
}

/// The command for the earliest due occurrences: skips one that is in a quiet time or overlaps an open one, or all that
/// are missed, or claims the first. `None` if it has to wait for an open one or no member is alive.
fn command_for_due(
    name: &str,
    schedule: &Schedule,
    record: &ScheduleRecord,
    unix_time: Ms,
    alive: &[MemberId],
    due: &[ScheduledTime],
) -> Option<Command> {
    let occurrence_at = |due_ms: Ms| Occurrence { schedule: name.into(), due_ms: due_ms as i64 };
    let skip_command = |last_skipped: &ScheduledTime, reason, count| {
        Some(Command::Skip { occurrence: occurrence_at(last_skipped.due), reason, count })
    };
    let is_within_deadline = |time: &ScheduledTime| unix_time <= time.run_at + schedule.deadline;
    let first_due = due.first()?;
    if first_due.in_quiet_time {
        return skip_command(first_due, SkipReason::Quiet, 1);
    }
    let late_count = due.iter().take_while(|time| !time.in_quiet_time && !is_within_deadline(time)).count();
    let catch_up_count = match schedule.catch_up {
        CatchUp::None => 0,
        CatchUp::Last => 1,
        CatchUp::LastCount(count) => count as usize,
    };
    // Only the last missed occurrences are run late. If the pass examined as many as it may and all are missed, later
    // ones may be missed too, so all of these are skipped.
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

/// Spreads occurrences over the members by hash. While these stay the same, the tries of one occurrence go to one member
/// after the other.
fn choose_owner(occurrence: &Occurrence, tries: u32, alive: &[MemberId]) -> Option<MemberId> {
    let hash = xxh3_64(format!("{}\0{}", occurrence.schedule, occurrence.due_ms).as_bytes());
    let owner_index = (hash as usize).checked_add(tries as usize).unwrap_or(0).checked_rem(alive.len())?;
    alive.get(owner_index).copied()
}
