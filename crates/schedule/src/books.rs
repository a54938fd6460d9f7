//! What managers have agreed of every schedule, as a state that each applies the same words to.

use std::collections::{BTreeMap, VecDeque};

use juniperrail_council::{Index, MemberId, Run};
use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

/// Ended occurrences of a schedule that are kept to be read.
const KEPT: usize = 32;

/// An occurrence: of which schedule, and when it was due, in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Occurrence {
    pub schedule: String,
    pub due_ms: i64,
}

/// What is to be done: an HTTP/1.1 POST to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Action {
    pub address: String,
    pub path: String,
    /// It may be done again; else it is begun once and no more.
    pub idempotent: bool,
    /// Tries altogether, and the wait before the second; each further one waits twice as long.
    pub max_tries: u32,
    pub backoff: Ms,
    /// How long a claim lasts without an end.
    pub claim_lease: Ms,
}

/// What becomes of an occurrence while an earlier one of the schedule is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OverlapPolicy {
    #[default]
    Skip,
    Queue,
    /// The earlier one's claim is void, and executors refuse its number.
    Replace,
}

/// Why an occurrence was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SkipReason {
    /// Nobody could claim it before its deadline.
    Missed,
    Quiet,
    Overlap,
}

/// How an occurrence ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OccurrenceOutcome {
    Succeeded,
    /// The worker said so; it is not tried again.
    Failed,
    /// Its tries are used up.
    GivenUp,
    /// It was begun, and whether it took effect nobody knows.
    Unknown,
    /// A later one took its place.
    Replaced,
}

/// How one try went, as its owner tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryOutcome {
    Succeeded,
    Failed,
    /// Nothing was sent: it may be tried again, whatever its kind.
    Unsent,
    /// It was sent and no answer came.
    Unanswered,
    /// The worker has seen a higher number.
    Overtaken,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    pub owner: MemberId,
    /// The index of the entry that granted it: executors refuse lower ones.
    pub fence: Index,
    /// By which start of its owner; agreed before the effect, where it must not happen twice.
    pub started_by: Option<Run>,
}

/// An occurrence that was claimed and has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenOccurrence {
    pub action: Action,
    pub tries: u32,
    pub claim: Option<Claim>,
    /// When the last try ended, by the time of day agreed on.
    pub last_try_ended: Ms,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedOccurrence {
    pub due_ms: i64,
    pub outcome: OccurrenceOutcome,
    pub tries: u32,
    pub fence: Index,
    pub owner: MemberId,
}

/// What is agreed of one schedule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScheduleRecord {
    /// All that was due up to here is decided on.
    pub decided_through: i64,
    pub open: BTreeMap<i64, OpenOccurrence>,
    pub ended: VecDeque<EndedOccurrence>,
    pub skipped: BTreeMap<SkipReason, u64>,
    pub ended_count: u64,
}

/// What is agreed, one word an entry. A word that does not fit what is there changes nothing: it was proposed by one who
/// did not know better, or twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The schedule is known from now on; nothing due before is made up for.
    AddSchedule {
        schedule: String,
        decided_through: i64,
    },
    /// `count` occurrences, all due up to there, are passed over.
    Skip {
        occurrence: Occurrence,
        reason: SkipReason,
        count: u64,
    },
    Claim {
        occurrence: Occurrence,
        owner: MemberId,
        action: Action,
        overlap: OverlapPolicy,
    },
    Start {
        occurrence: Occurrence,
        fence: Index,
        run: Run,
    },
    FinishTry {
        occurrence: Occurrence,
        fence: Index,
        outcome: TryOutcome,
        at: Ms,
    },
    /// The claim's lease is over, or its owner is dead.
    ExpireClaim {
        occurrence: Occurrence,
        fence: Index,
        at: Ms,
    },
    /// The operator's file names it no more.
    RemoveSchedule {
        schedule: String,
    },
}

/// What is agreed of all schedules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    pub schedules: BTreeMap<String, ScheduleRecord>,
}

impl Ledger {
    /// Takes over a word that was agreed as the entry `at`. Whether it changed anything.
    pub fn apply(&mut self, at: Index, word: &Command) -> bool {
        match word {
            Command::AddSchedule { schedule, decided_through } => {
                let new = !self.schedules.contains_key(schedule);
                let book = self.schedules.entry(schedule.clone()).or_default();
                if new {
                    book.decided_through = *decided_through;
                }
                new
            }
            Command::RemoveSchedule { schedule } => {
                let idle = self.schedules.get(schedule).is_some_and(|book| book.open.is_empty());
                if idle {
                    self.schedules.remove(schedule);
                }
                idle
            }
            Command::Skip { occurrence, reason, count } => {
                let Some(book) = self
                    .schedules
                    .get_mut(&occurrence.schedule)
                    .filter(|book| occurrence.due_ms > book.decided_through)
                else {
                    return false;
                };
                book.decided_through = occurrence.due_ms;
                *book.skipped.entry(*reason).or_default() += count;
                true
            }
            Command::Claim { occurrence, owner, action, overlap } => {
                self.claim(at, occurrence, *owner, action, *overlap)
            }
            Command::Start { occurrence, fence, run } => {
                let claim = self.claimed(occurrence, *fence);
                claim
                    .filter(|claim| claim.started_by.is_none())
                    .map(|claim| claim.started_by = Some(*run))
                    .is_some()
            }
            Command::FinishTry { occurrence, fence, outcome, at } => {
                let known = self.claimed(occurrence, *fence).is_some();
                if known {
                    self.turned(occurrence, *outcome, *at);
                }
                known
            }
            Command::ExpireClaim { occurrence, fence, at } => {
                let Some(claim) = self.claimed(occurrence, *fence) else { return false };
                // What was not begun has had no effect, as a beginning of this claim is void from here on.
                let outcome =
                    if claim.started_by.is_some() { TryOutcome::Unanswered } else { TryOutcome::Unsent };
                self.turned(occurrence, outcome, *at);
                true
            }
        }
    }

    fn claimed(&mut self, occurrence: &Occurrence, fence: Index) -> Option<&mut Claim> {
        let open = self.schedules.get_mut(&occurrence.schedule)?.open.get_mut(&occurrence.due_ms)?;
        open.claim.as_mut().filter(|claim| claim.fence == fence)
    }

    fn claim(
        &mut self,
        at: Index,
        occurrence: &Occurrence,
        owner: MemberId,
        action: &Action,
        overlap: OverlapPolicy,
    ) -> bool {
        let Some(book) = self.schedules.get_mut(&occurrence.schedule) else { return false };
        let claim = Some(Claim { owner, fence: at, started_by: None });
        if let Some(open) = book.open.get_mut(&occurrence.due_ms) {
            let free = open.claim.is_none();
            if free {
                (open.claim, open.tries) = (claim, open.tries + 1);
            }
            return free;
        }
        if occurrence.due_ms <= book.decided_through {
            return false;
        }
        if !book.open.is_empty() {
            match overlap {
                // The leader knew of the earlier one and would have passed it over or waited; now it has to again.
                OverlapPolicy::Skip | OverlapPolicy::Queue => return false,
                OverlapPolicy::Replace => {
                    let earlier: Vec<i64> = book.open.keys().copied().collect();
                    earlier.into_iter().for_each(|due| book.end(due, OccurrenceOutcome::Replaced));
                }
            }
        }
        book.decided_through = occurrence.due_ms;
        book.open.insert(
            occurrence.due_ms,
            OpenOccurrence { action: action.clone(), tries: 1, claim, last_try_ended: f64::NEG_INFINITY },
        );
        true
    }

    /// A try is over.
    fn turned(&mut self, occurrence: &Occurrence, outcome: TryOutcome, at: Ms) {
        let Some(book) = self.schedules.get_mut(&occurrence.schedule) else { return };
        let Some(open) = book.open.get_mut(&occurrence.due_ms) else { return };
        let again = open.tries < open.action.max_tries.max(1);
        let end = match outcome {
            TryOutcome::Succeeded => Some(OccurrenceOutcome::Succeeded),
            TryOutcome::Failed => Some(OccurrenceOutcome::Failed),
            // Some later claim of this occurrence ran; who holds it tells its end. Without one nothing more is known.
            TryOutcome::Overtaken | TryOutcome::Unanswered if !open.action.idempotent => {
                Some(OccurrenceOutcome::Unknown)
            }
            TryOutcome::Unsent | TryOutcome::Unanswered | TryOutcome::Overtaken if again => None,
            TryOutcome::Unsent | TryOutcome::Unanswered | TryOutcome::Overtaken => {
                Some(OccurrenceOutcome::GivenUp)
            }
        };
        match end {
            Some(end) => book.end(occurrence.due_ms, end),
            None => (open.claim, open.last_try_ended) = (None, at),
        }
    }

    /// Every open claim of one member.
    pub fn claims(&self, of: MemberId) -> impl Iterator<Item = (Occurrence, &OpenOccurrence, &Claim)> {
        self.schedules.iter().flat_map(move |(name, book)| {
            book.open.iter().filter_map(move |(due, open)| {
                let claim = open.claim.as_ref().filter(|claim| claim.owner == of)?;
                Some((Occurrence { schedule: name.clone(), due_ms: *due }, open, claim))
            })
        })
    }
}

impl ScheduleRecord {
    fn end(&mut self, due: i64, end: OccurrenceOutcome) {
        let Some(open) = self.open.remove(&due) else { return };
        let (fence, owner) = open.claim.map_or_else(<_>::default, |claim| (claim.fence, claim.owner));
        self.ended_count += 1;
        self.ended.push_back(EndedOccurrence { due_ms: due, outcome: end, tries: open.tries, fence, owner });
        if self.ended.len() > KEPT {
            self.ended.pop_front();
        }
    }
}
