//! What the owner of a claim does: it has its beginning agreed where the effect must not happen twice, acts, and tells
//! how it went until that is agreed.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_council::{Index, MemberId, Run};
use juniperrail_interface::Ms;

use crate::books::{Action, Command, Ledger, Occurrence, TryOutcome};

/// What is to be done for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimTask {
    Propose(Command),
    /// The effect, at once and once. It gives up within that time.
    Execute {
        occurrence: Occurrence,
        fence: Index,
        tries: u32,
        action: Action,
        time_limit: Ms,
    },
}

/// How far a claim has come here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimProgress {
    /// The beginning is proposed, and when last.
    Starting(Ms),
    Executing,
    /// It is over, and when that was proposed last.
    Finished(TryOutcome, Ms, Ms),
}

#[derive(Clone, Debug, PartialEq)]
struct Duty {
    occurrence: Occurrence,
    did: ClaimProgress,
    /// When this member learned of the claim, by its monotonic clock.
    since: Ms,
}

/// The claims of one member, by their fencing numbers.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    me: MemberId,
    run: Run,
    all: BTreeMap<Index, Duty>,
}

impl ClaimTracker {
    /// `run`: which start of the member this is, as the council counts them.
    pub fn new(me: MemberId, run: Run) -> ClaimTracker {
        ClaimTracker { me, run, all: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Looks at the books. `now`: the monotonic clock; `day`: the time of day; `again`: how long a proposal may take.
    pub fn next_tasks(&mut self, books: &Ledger, now: Ms, day: Ms, again: Ms) -> Vec<ClaimTask> {
        let mut todo = Vec::new();
        let mut open_fences = BTreeSet::new();
        for (occurrence, open, claim) in books.claims(self.me) {
            open_fences.insert(claim.fence);
            let action = &open.action;
            let propose = |word| ClaimTask::Propose(word);
            let over = |outcome, at| Command::FinishTry {
                occurrence: occurrence.clone(),
                fence: claim.fence,
                outcome,
                at,
            };
            let Some(duty) = self.all.get_mut(&claim.fence) else {
                // What is begun and not known here was begun before this start: whether it took effect nobody knows.
                let did = match (claim.started_by.is_some(), action.idempotent) {
                    (true, _) => {
                        todo.push(propose(over(TryOutcome::Unanswered, day)));
                        ClaimProgress::Finished(TryOutcome::Unanswered, day, now)
                    }
                    (false, true) => {
                        let (occurrence, action, tries) = (occurrence.clone(), action.clone(), open.tries);
                        todo.push(ClaimTask::Execute {
                            occurrence,
                            fence: claim.fence,
                            tries,
                            time_limit: action.claim_lease / 2.0,
                            action,
                        });
                        ClaimProgress::Executing
                    }
                    (false, false) => {
                        todo.push(propose(Command::Start {
                            occurrence: occurrence.clone(),
                            fence: claim.fence,
                            run: self.run,
                        }));
                        ClaimProgress::Starting(now)
                    }
                };
                self.all.insert(claim.fence, Duty { occurrence: occurrence.clone(), did, since: now });
                continue;
            };
            match duty.did {
                ClaimProgress::Starting(_) if claim.started_by == Some(self.run) => {
                    // Guards against a beginning that was agreed late: the lease may be over, and another told of it.
                    let left = duty.since + action.claim_lease / 2.0 - now;
                    if left <= 0.0 {
                        // Nothing was sent, so whoever is told that it is unknown is told too much and not too little.
                        duty.did = ClaimProgress::Finished(TryOutcome::Unsent, day, now);
                        todo.push(propose(over(TryOutcome::Unsent, day)));
                    } else {
                        let (occurrence, action, tries) = (occurrence.clone(), action.clone(), open.tries);
                        todo.push(ClaimTask::Execute {
                            occurrence,
                            fence: claim.fence,
                            tries,
                            action,
                            time_limit: left,
                        });
                        duty.did = ClaimProgress::Executing;
                    }
                }
                ClaimProgress::Starting(at) if now >= at + again => {
                    duty.did = ClaimProgress::Starting(now);
                    todo.push(propose(Command::Start {
                        occurrence: occurrence.clone(),
                        fence: claim.fence,
                        run: self.run,
                    }));
                }
                ClaimProgress::Finished(turn, at, proposed) if now >= proposed + again => {
                    duty.did = ClaimProgress::Finished(turn, at, now);
                    todo.push(propose(over(turn, at)));
                }
                _ => {}
            }
        }
        self.all.retain(|fence, duty| duty.did == ClaimProgress::Executing || open_fences.contains(fence));
        todo
    }

    /// An effect came to an end.
    pub fn record_outcome(&mut self, fence: Index, outcome: TryOutcome, now: Ms, day: Ms) -> Option<Command> {
        let duty = self.all.get_mut(&fence)?;
        duty.did = ClaimProgress::Finished(outcome, day, now);
        Some(Command::FinishTry { occurrence: duty.occurrence.clone(), fence, outcome, at: day })
    }
}
