//! What the leader proposes: claims of what is due, of what is to be tried again, and what is passed over.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_council::{Index, MemberId};
use juniperrail_interface::Ms;
use xxhash_rust::xxh3::xxh3_64;

use crate::books::{
    Action, Command, Ledger, Occurrence, OpenOccurrence, OverlapPolicy, ScheduleRecord, SkipReason,
};
use crate::timing::{ScheduledTime, Timing};

/// What becomes of what was due while nobody could claim it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CatchUp {
    #[default]
    None,
    Last,
    /// The last so many.
    LastCount(u32),
}

/// A schedule as the operator's file has it.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub timing: Timing,
    pub action: Action,
    /// So long after it is due it may still be begun as if in time.
    pub deadline: Ms,
    pub catch_up: CatchUp,
    pub overlap: OverlapPolicy,
}

/// Words proposed in one look, and occurrences looked at of one schedule; the rest is for the next look.
pub const MAX_COMMANDS_PER_PASS: usize = 256;

/// What the leader remembers between looks, and forgets with its office.
#[derive(Clone, Debug, Default)]
pub struct LeaderState {
    /// When this leader first saw each claim, by its own monotonic clock.
    seen: BTreeMap<Index, Ms>,
    /// What was proposed and is not agreed yet, and since when.
    proposed: BTreeMap<(Occurrence, u8), Ms>,
    /// When each schedule is to be looked at again, as long as its book stays as it was.
    next: BTreeMap<String, Idle>,
}

/// Until when a schedule needs no look: by the time of day, and by the leader's own clock.
#[derive(Clone, Copy, Debug)]
struct Idle {
    book: (i64, u64, usize),
    day: Ms,
    own: Ms,
}

impl Idle {
    fn holds(&self, book: &ScheduleRecord, day: Ms, now: Ms) -> bool {
        self.book == seen(book) && (day < self.day || now < self.own)
    }
}

fn seen(book: &ScheduleRecord) -> (i64, u64, usize) {
    (book.decided_through, book.ended_count, book.open.len())
}

impl LeaderState {
    /// Whether that may be proposed: not again before the last proposal had its time.
    fn may(&mut self, now: Ms, word: &Command, again: Ms) -> bool {
        let key = match word {
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
        let last = self.proposed.get(&key).copied();
        let may = last.is_none_or(|last| now >= last + again);
        if may {
            self.proposed.insert(key, now);
        }
        may
    }
}

/// What is to be proposed now. `now`: this leader's monotonic clock; `day`: the time of day that the group takes; `again`:
/// how long a proposal may take; `alive`: who may be given work.
pub fn propose_commands(
    schedules: &BTreeMap<String, Schedule>,
    books: &Ledger,
    leading: &mut LeaderState,
    now: Ms,
    day: Ms,
    again: Ms,
    alive: &[MemberId],
) -> Vec<Command> {
    let mut words = Vec::new();
    let open = |book: &ScheduleRecord| {
        book.open.values().filter_map(|open| Some(open.claim.as_ref()?.fence)).collect::<Vec<_>>()
    };
    let fences: BTreeSet<Index> = books.schedules.values().flat_map(open).collect();
    leading.seen.retain(|fence, _| fences.contains(fence));
    leading.proposed.retain(|_, at| now < *at + again);
    // What has no room in this look is not taken for proposed: its time to be agreed has not begun.
    let mut put = |leading: &mut LeaderState, word: Command| {
        if leading.may(now, &word, again) {
            words.push(word);
        }
        words.len() < MAX_COMMANDS_PER_PASS
    };
    for (name, book) in &books.schedules {
        for (at, open) in &book.open {
            let occurrence = Occurrence { schedule: name.clone(), due_ms: *at };
            let word = pursue(occurrence, open, leading, now, day, alive);
            if word.is_some_and(|word| !put(leading, word)) {
                return words;
            }
        }
        let closed = !schedules.contains_key(name) && book.open.is_empty();
        if closed && !put(leading, Command::RemoveSchedule { schedule: name.clone() }) {
            return words;
        }
    }
    for (name, schedule) in schedules {
        let word = match books.schedules.get(name) {
            None => Some(Command::AddSchedule { schedule: name.clone(), decided_through: day as i64 }),
            Some(book) => look(name, schedule, book, leading, Moment { now, day, again, alive }),
        };
        if word.is_some_and(|word| !put(leading, word)) {
            return words;
        }
    }
    words
}

/// One look's times, as [`due`] is told them.
#[derive(Clone, Copy)]
struct Moment<'a> {
    now: Ms,
    day: Ms,
    again: Ms,
    alive: &'a [MemberId],
}

/// One schedule, unless nothing can have come of it since it was looked at last.
fn look(
    name: &str,
    schedule: &Schedule,
    book: &ScheduleRecord,
    leading: &mut LeaderState,
    moment: Moment<'_>,
) -> Option<Command> {
    let Moment { now, day, again, alive } = moment;
    if leading.next.get(name).is_some_and(|idle| idle.holds(book, day, now)) {
        return None;
    }
    let (word, next) = coming(name, schedule, book, day, alive);
    // What is proposed has its time to be agreed; what has to wait for an end waits for that.
    let own = if next.is_none() { now + again } else { f64::NEG_INFINITY };
    let next = Idle { book: seen(book), day: next.unwrap_or(f64::NEG_INFINITY), own };
    leading.next.insert(name.to_string(), next);
    word
}

/// An occurrence that is open: its claim lapses, or it is tried again.
fn pursue(
    occurrence: Occurrence,
    open: &OpenOccurrence,
    leading: &mut LeaderState,
    now: Ms,
    day: Ms,
    alive: &[MemberId],
) -> Option<Command> {
    match &open.claim {
        Some(claim) => {
            // A new leader gives every claim its whole time: it cannot know how much of it is over.
            let seen = *leading.seen.entry(claim.fence).or_insert(now);
            let over = now >= seen + open.action.claim_lease || !alive.contains(&claim.owner);
            over.then_some(Command::ExpireClaim { occurrence, fence: claim.fence, at: day })
        }
        None => {
            let wait = open.action.backoff * 2f64.powi(open.tries.saturating_sub(1).min(16) as i32);
            let owner = owner(&occurrence, open.tries, alive)?;
            // A clock that went back must not make it wait for longer than it was told to.
            let waited = day >= open.last_try_ended + wait || day < open.last_try_ended - wait;
            waited.then(|| Command::Claim {
                occurrence,
                owner,
                action: open.action.clone(),
                overlap: OverlapPolicy::Queue,
            })
        }
    }
}

/// What has come due since the last that was decided on: one word at most, as the next follows from it. And when it is
/// to be looked at again, as long as nothing is decided.
fn coming(
    name: &str,
    schedule: &Schedule,
    book: &ScheduleRecord,
    day: Ms,
    alive: &[MemberId],
) -> (Option<Command>, Option<Ms>) {
    let mut all: Vec<ScheduledTime> = Vec::new();
    let mut next = f64::INFINITY;
    for when in schedule.timing.after(book.decided_through as Ms).take(MAX_COMMANDS_PER_PASS) {
        if when.run_at > day {
            next = when.run_at;
            break;
        }
        all.push(when);
    }
    match all.is_empty() {
        true => (None, Some(next)),
        false => (decided(name, schedule, book, day, alive, &all), None),
    }
}

fn decided(
    name: &str,
    schedule: &Schedule,
    book: &ScheduleRecord,
    day: Ms,
    alive: &[MemberId],
    all: &[ScheduledTime],
) -> Option<Command> {
    let named = |due: Ms| Occurrence { schedule: name.into(), due_ms: due as i64 };
    let passed = |when: &ScheduledTime, reason, count| {
        Some(Command::Skip { occurrence: named(when.due), reason, count })
    };
    let in_time = |when: &ScheduledTime| day <= when.run_at + schedule.deadline;
    let first = all.first()?;
    if first.in_quiet_time {
        return passed(first, SkipReason::Quiet, 1);
    }
    let late = all.iter().take_while(|when| !when.in_quiet_time && !in_time(when)).count();
    let keep = match schedule.catch_up {
        CatchUp::None => 0,
        CatchUp::Last => 1,
        CatchUp::LastCount(most) => most as usize,
    };
    // Of those that are late only the last are made up for; more may lie behind what was looked at.
    let keep = if all.len() == MAX_COMMANDS_PER_PASS && late == all.len() { 0 } else { keep };
    if late > keep {
        return passed(&all[late - keep - 1], SkipReason::Missed, (late - keep) as u64);
    }
    if !book.open.is_empty() {
        match schedule.overlap {
            OverlapPolicy::Skip => return passed(first, SkipReason::Overlap, 1),
            OverlapPolicy::Queue => return None,
            OverlapPolicy::Replace => {}
        }
    }
    let occurrence = named(first.due);
    let owner = owner(&occurrence, 0, alive)?;
    Some(Command::Claim { occurrence, owner, action: schedule.action.clone(), overlap: schedule.overlap })
}

/// Spreads occurrences over members, another at each try.
fn owner(occurrence: &Occurrence, tries: u32, alive: &[MemberId]) -> Option<MemberId> {
    let hash = xxh3_64(format!("{}\0{}", occurrence.schedule, occurrence.due_ms).as_bytes());
    let place = (hash as usize).checked_add(tries as usize).unwrap_or(0).checked_rem(alive.len())?;
    alive.get(place).copied()
}
