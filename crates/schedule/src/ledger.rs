//! The replicated state of every schedule: each manager applies the same commands to it.

use std::collections::{BTreeMap, VecDeque};

use juniperrail_consensus::{Index, MemberId, Run};
use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

/// Ended occurrences kept per schedule, for display.
const MAX_ENDED_OCCURRENCES: usize = 32;

/// One occurrence of a schedule, named by its due time in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Occurrence {
    pub schedule: String,
    pub due_ms: i64,
}

/// What to run: an HTTP/1.1 POST to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Action {
    pub address: String,
    pub path: String,
    /// Whether it may run again. A side-effecting action is started at most once.
    pub idempotent: bool,
    /// Limit on the tries of one occurrence, the first included.
    pub max_tries: u32,
    /// Wait before the second try; it doubles before each further one.
    pub backoff: Ms,
    /// How long a claim lasts without an outcome.
    pub claim_lease: Ms,
}

/// What happens to an occurrence while an earlier one of the same schedule is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OverlapPolicy {
    #[default]
    Skip,
    Queue,
    /// The earlier one ends as replaced, and executors that have seen the later one's fencing token reject its own.
    Replace,
}

/// Why an occurrence was skipped. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SkipReason {
    /// Its deadline passed before it was claimed.
    Missed,
    /// It was due in a period in which the schedule is not to run.
    Quiet,
    /// An earlier occurrence was open.
    Overlap,
}

/// How an occurrence ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OccurrenceOutcome {
    Succeeded,
    /// The worker reported a failure, which is not retried.
    Failed,
    /// Its tries are used up.
    GivenUp,
    /// It was started, and it is not known whether it took effect.
    Unknown,
    /// A later occurrence replaced it.
    Replaced,
}

/// How one try ended, as reported by the owner of the claim. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryOutcome {
    Succeeded,
    Failed,
    /// Nothing was sent, so even a side-effecting action may be retried.
    Unsent,
    /// The request was sent and no response arrived.
    Unanswered,
    /// The worker rejected the fencing token, because it has seen a higher one.
    Overtaken,
}

/// One member's claim on an occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    pub owner: MemberId,
    /// The fencing token: the index of the log entry that granted the claim. Executors reject a token that is lower than
    /// one they have seen.
    pub fence: Index,
    /// The owner's run in which the action was started. For side-effecting actions the entry that records it is
    /// committed before the request is sent.
    pub started_by: Option<Run>,
}

/// An occurrence that was claimed and has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenOccurrence {
    pub action: Action,
    /// Number of claims granted so far: tries that were not sent count too.
    pub tries: u32,
    pub claim: Option<Claim>,
    /// When the last try ended, in Unix milliseconds: by the wall clock of the claim's owner or, if the claim expired,
    /// by the median of the members' wall clocks.
    pub last_try_ended: Ms,
}

/// An occurrence that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedOccurrence {
    pub due_ms: i64,
    pub outcome: OccurrenceOutcome,
    pub tries: u32,
    /// Of the claim at its end; 0 if it was not claimed then.
    pub fence: Index,
    /// Of the claim at its end; 0 if it was not claimed then.
    pub owner: MemberId,
}

/// The state of one schedule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScheduleRecord {
    /// Every occurrence due up to this time has been claimed or skipped.
    pub decided_through_ms: i64,
    /// Claimed occurrences that have not ended, by their due time.
    pub open: BTreeMap<i64, OpenOccurrence>,
    /// The latest occurrences that ended, oldest first.
    pub ended: VecDeque<EndedOccurrence>,
    pub skipped: BTreeMap<SkipReason, u64>,
    /// Number of all occurrences that ended.
    pub ended_count: u64,
}

/// The command of a log entry. A command that does not fit the current state is ignored: its proposer had an outdated
/// state, or proposed it twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a schedule; occurrences that were due up to `decided_through_ms` are not run.
    AddSchedule { schedule: String, decided_through_ms: i64 },
    /// Skips `count` occurrences, the last of which is `occurrence`.
    Skip { occurrence: Occurrence, reason: SkipReason, count: u64 },
    /// Claims an occurrence for `owner`.
    Claim { occurrence: Occurrence, owner: MemberId, action: Action, overlap: OverlapPolicy },
    /// Records that the owner is about to start the action.
    Start { occurrence: Occurrence, fence: Index, run: Run },
    /// Records how a try ended.
    FinishTry { occurrence: Occurrence, fence: Index, outcome: TryOutcome, at: Ms },
    /// Ends a claim whose lease has expired or whose owner is dead.
    ExpireClaim { occurrence: Occurrence, fence: Index, at: Ms },
    /// Removes a schedule that the operator's file no longer names.
    RemoveSchedule { schedule: String },
}

/// The state of all schedules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    pub schedules: BTreeMap<String, ScheduleRecord>,
}

impl Ledger {
    /// Applies the command of the committed log entry `index` and returns whether it changed anything.
    pub fn apply(&mut self, index: Index, command: &Command) -> bool {
        match command {
            Command::AddSchedule { schedule, decided_through_ms } => {
                let is_new = !self.schedules.contains_key(schedule);
                let record = self.schedules.entry(schedule.clone()).or_default();
                if is_new {
                    record.decided_through_ms = *decided_through_ms;
                }
                is_new
            }
            Command::RemoveSchedule { schedule } => {
                let may_remove = self.schedules.get(schedule).is_some_and(|record| record.open.is_empty());
                if may_remove {
                    self.schedules.remove(schedule);
                }
                may_remove
            }
            Command::Skip { occurrence, reason, count } => {
                let Some(record) = self
                    .schedules
                    .get_mut(&occurrence.schedule)
                    .filter(|record| occurrence.due_ms > record.decided_through_ms)
                else {
                    return false;
                };
                record.decided_through_ms = occurrence.due_ms;
                *record.skipped.entry(*reason).or_default() += count;
                true
            }
            Command::Claim { occurrence, owner, action, overlap } => {
                self.claim(index, occurrence, *owner, action, *overlap)
            }
            Command::Start { occurrence, fence, run } => {
                let claim = self.claim_mut(occurrence, *fence);
                claim
                    .filter(|claim| claim.started_by.is_none())
                    .map(|claim| claim.started_by = Some(*run))
                    .is_some()
            }
            Command::FinishTry { occurrence, fence, outcome, at } => {
                let is_current = self.claim_mut(occurrence, *fence).is_some();
                if is_current {
                    self.finish_try(occurrence, *outcome, *at);
                }
                is_current
            }
            Command::ExpireClaim { occurrence, fence, at } => {
                let Some(claim) = self.claim_mut(occurrence, *fence) else { return false };
                // An action that was not started had no effect: a later start under this claim is ignored.
                let outcome =
                    if claim.started_by.is_some() { TryOutcome::Unanswered } else { TryOutcome::Unsent };
                self.finish_try(occurrence, outcome, *at);
                true
            }
        }
    }

    /// The occurrence's claim, if it still has this fencing token.
    fn claim_mut(&mut self, occurrence: &Occurrence, fence: Index) -> Option<&mut Claim> {
        let open = self.schedules.get_mut(&occurrence.schedule)?.open.get_mut(&occurrence.due_ms)?;
        open.claim.as_mut().filter(|claim| claim.fence == fence)
    }

    fn claim(
        &mut self,
        index: Index,
        occurrence: &Occurrence,
        owner: MemberId,
        action: &Action,
        overlap: OverlapPolicy,
    ) -> bool {
        let Some(record) = self.schedules.get_mut(&occurrence.schedule) else { return false };
        let claim = Some(Claim { owner, fence: index, started_by: None });
        if let Some(open) = record.open.get_mut(&occurrence.due_ms) {
            let is_unclaimed = open.claim.is_none();
            if is_unclaimed {
                (open.claim, open.tries) = (claim, open.tries + 1);
            }
            return is_unclaimed;
        }
        if occurrence.due_ms <= record.decided_through_ms {
            return false;
        }
        if !record.open.is_empty() {
            match overlap {
                // The proposer did not know of the open occurrence; a later pass of the leader skips this one or waits.
                OverlapPolicy::Skip | OverlapPolicy::Queue => return false,
                OverlapPolicy::Replace => {
                    let earlier_due_times: Vec<i64> = record.open.keys().copied().collect();
                    earlier_due_times
                        .into_iter()
                        .for_each(|due_ms| record.end(due_ms, OccurrenceOutcome::Replaced));
                }
            }
        }
        record.decided_through_ms = occurrence.due_ms;
        record.open.insert(
            occurrence.due_ms,
            OpenOccurrence { action: action.clone(), tries: 1, claim, last_try_ended: f64::NEG_INFINITY },
        );
        true
    }

    /// Ends the occurrence, or releases its claim so that it is tried again.
    fn finish_try(&mut self, occurrence: &Occurrence, outcome: TryOutcome, ended_at: Ms) {
        let Some(record) = self.schedules.get_mut(&occurrence.schedule) else { return };
        let Some(open) = record.open.get_mut(&occurrence.due_ms) else { return };
        let may_retry = open.tries < open.action.max_tries.max(1);
        let occurrence_outcome = match outcome {
            TryOutcome::Succeeded => Some(OccurrenceOutcome::Succeeded),
            TryOutcome::Failed => Some(OccurrenceOutcome::Failed),
            // The action may have taken effect and must not be started again, so its outcome stays unknown. Once the
            // occurrence has been claimed again, a `FinishTry` with the earlier claim's fencing token is ignored: the
            // owner of the later claim reports the outcome.
            TryOutcome::Overtaken | TryOutcome::Unanswered if !open.action.idempotent => {
                Some(OccurrenceOutcome::Unknown)
            }
            TryOutcome::Unsent | TryOutcome::Unanswered | TryOutcome::Overtaken if may_retry => None,
            TryOutcome::Unsent | TryOutcome::Unanswered | TryOutcome::Overtaken => {
                Some(OccurrenceOutcome::GivenUp)
            }
        };
        match occurrence_outcome {
            Some(occurrence_outcome) => record.end(occurrence.due_ms, occurrence_outcome),
            None => (open.claim, open.last_try_ended) = (None, ended_at),
        }
    }

    /// The claims of one member on occurrences that have not ended.
    pub fn claims(&self, owner: MemberId) -> impl Iterator<Item = (Occurrence, &OpenOccurrence, &Claim)> {
        self.schedules.iter().flat_map(move |(name, record)| {
            record.open.iter().filter_map(move |(due_ms, open)| {
                let claim = open.claim.as_ref().filter(|claim| claim.owner == owner)?;
                Some((Occurrence { schedule: name.clone(), due_ms: *due_ms }, open, claim))
            })
        })
    }
}

impl ScheduleRecord {
    fn end(&mut self, due_ms: i64, outcome: OccurrenceOutcome) {
        let Some(open) = self.open.remove(&due_ms) else { return };
        let (fence, owner) = open.claim.map_or_else(<_>::default, |claim| (claim.fence, claim.owner));
        self.ended_count += 1;
        self.ended.push_back(EndedOccurrence { due_ms, outcome, tries: open.tries, fence, owner });
        if self.ended.len() > MAX_ENDED_OCCURRENCES {
            self.ended.pop_front();
        }
    }
}
