//! What the owner of a claim does: it has the start of a side-effecting action committed first, runs the action, and
//! proposes the outcome until the outcome is committed.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_consensus::{Index, MemberId, Run};
use juniperrail_interface::Ms;

use crate::ledger::{Action, Command, Ledger, Occurrence, TryOutcome};

/// A task for the caller of [`ClaimTracker::next_tasks`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimTask {
    Propose(Command),
    /// Run the action now, once, and give up after `time_limit`.
    Execute {
        occurrence: Occurrence,
        fence: Index,
        /// The tries of the occurrence so far, this one included.
        tries: u32,
        action: Action,
        time_limit: Ms,
    },
}

/// The progress of a claim at its owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimProgress {
    /// The start was last proposed at `proposed_at`, by the monotonic clock.
    Starting {
        proposed_at: Ms,
    },
    Executing,
    /// The try ended at the Unix time `ended_at`. Its outcome was last proposed at `proposed_at`, by the monotonic clock.
    Finished {
        outcome: TryOutcome,
        ended_at: Ms,
        proposed_at: Ms,
    },
}

#[derive(Clone, Debug, PartialEq)]
struct TrackedClaim {
    occurrence: Occurrence,
    progress: ClaimProgress,
    /// When this member learned of the claim, by its monotonic clock.
    learned_at: Ms,
}

/// The claims of one member, by their fencing tokens.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    me: MemberId,
    run: Run,
    claims: BTreeMap<Index, TrackedClaim>,
}

impl ClaimTracker {
    /// `run` is the number of this member's current run, as counted by the consensus.
    pub fn new(me: MemberId, run: Run) -> ClaimTracker {
        ClaimTracker { me, run, claims: BTreeMap::new() }
    }

    /// Number of tracked claims, including those whose outcome is not committed yet.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Compares the tracked claims with the ledger and returns what to do now. `now` is the monotonic clock, and
    /// `unix_time` this member's wall clock in Unix milliseconds. A proposal that is not committed within `retry_after`
    /// is proposed again.
    pub fn next_tasks(&mut self, ledger: &Ledger, now: Ms, unix_time: Ms, retry_after: Ms) -> Vec<ClaimTask> {
        let mut tasks = Vec::new();
        let mut open_fences = BTreeSet::new();
        for (occurrence, open, claim) in ledger.claims(self.me) {
            open_fences.insert(claim.fence);
            let action = &open.action;
            let propose_task = |command| ClaimTask::Propose(command);
            let finish_command = |outcome, ended_at| Command::FinishTry {
                occurrence: occurrence.clone(),
                fence: claim.fence,
                outcome,
                at: ended_at,
            };
            let Some(tracked) = self.claims.get_mut(&claim.fence) else {
                // A claim that is started but not tracked was started before this member restarted: whether the action
                // took effect is unknown.
                let progress = match (claim.started_by.is_some(), action.idempotent) {
                    (true, _) => {
                        tasks.push(propose_task(finish_command(TryOutcome::Unanswered, unix_time)));
                        ClaimProgress::Finished {
                            outcome: TryOutcome::Unanswered,
                            ended_at: unix_time,
                            proposed_at: now,
                        }
                    }
                    (false, true) => {
                        let (occurrence, action, tries) = (occurrence.clone(), action.clone(), open.tries);
                        tasks.push(ClaimTask::Execute {
                            occurrence,
                            fence: claim.fence,
                            tries,
                            time_limit: action.claim_lease / 2.0,
                            action,
                        });
                        ClaimProgress::Executing
                    }
                    (false, false) => {
                        tasks.push(propose_task(Command::Start {
                            occurrence: occurrence.clone(),
                            fence: claim.fence,
                            run: self.run,
                        }));
                        ClaimProgress::Starting { proposed_at: now }
                    }
                };
                self.claims.insert(
                    claim.fence,
                    TrackedClaim { occurrence: occurrence.clone(), progress, learned_at: now },
                );
                continue;
            };
            match tracked.progress {
                ClaimProgress::Starting { .. } if claim.started_by == Some(self.run) => {
                    // Half of the lease limits the execution. If the start was committed so late that nothing of it
                    // remains, the claim may have expired and its outcome been recorded.
                    let remaining_time = tracked.learned_at + action.claim_lease / 2.0 - now;
                    if remaining_time <= 0.0 {
                        // Nothing was sent. If the claim has expired, its outcome stays recorded as unknown although
                        // the action had no effect, and the action is not started again.
                        tracked.progress = ClaimProgress::Finished {
                            outcome: TryOutcome::Unsent,
                            ended_at: unix_time,
                            proposed_at: now,
                        };
                        tasks.push(propose_task(finish_command(TryOutcome::Unsent, unix_time)));
                    } else {
                        let (occurrence, action, tries) = (occurrence.clone(), action.clone(), open.tries);
                        tasks.push(ClaimTask::Execute {
                            occurrence,
                            fence: claim.fence,
                            tries,
                            action,
                            time_limit: remaining_time,
                        });
                        tracked.progress = ClaimProgress::Executing;
                    }
                }
                ClaimProgress::Starting { proposed_at } if now >= proposed_at + retry_after => {
                    tracked.progress = ClaimProgress::Starting { proposed_at: now };
                    tasks.push(propose_task(Command::Start {
                        occurrence: occurrence.clone(),
                        fence: claim.fence,
                        run: self.run,
                    }));
                }
                ClaimProgress::Finished { outcome, ended_at, proposed_at }
                    if now >= proposed_at + retry_after =>
                {
                    tracked.progress = ClaimProgress::Finished { outcome, ended_at, proposed_at: now };
                    tasks.push(propose_task(finish_command(outcome, ended_at)));
                }
                _ => {}
            }
        }
        self.claims.retain(|fence, tracked| {
            tracked.progress == ClaimProgress::Executing || open_fences.contains(fence)
        });
        tasks
    }

    /// Records how a running action ended and returns the command to propose; `None` for an unknown claim.
    pub fn record_outcome(
        &mut self,
        fence: Index,
        outcome: TryOutcome,
        now: Ms,
        unix_time: Ms,
    ) -> Option<Command> {
        let tracked = self.claims.get_mut(&fence)?;
        tracked.progress = ClaimProgress::Finished { outcome, ended_at: unix_time, proposed_at: now };
        Some(Command::FinishTry { occurrence: tracked.occurrence.clone(), fence, outcome, at: unix_time })
    }
}
