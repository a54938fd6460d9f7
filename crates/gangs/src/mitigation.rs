//! What to do about a straggler, within a budget of extra work for the whole fleet.

use juniperrail_interface::{Ms, WorkerId};

use crate::gang::{Cause, Gang, Verdict};
use crate::progress::{Attempt, PartId};

/// What to do about one verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mitigation {
    /// Do nothing now.
    Wait,
    /// Reduce the worker's weight for all other work, so that it has more time for the part.
    ReduceWeight(WorkerId),
    /// Start a second attempt at another worker; the first attempt to finish completes the part.
    Speculate { part: PartId, worker: WorkerId },
    /// Cancel the attempt. The part may be started elsewhere only once the end or the refusal of this attempt is durable.
    CancelThenRestart { part: PartId, worker: WorkerId },
}

/// The limit on the work of running extra attempts, in the unit of the parts' sizes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub max_work: f64,
    pub used_work: f64,
}

/// A second attempt must save at least this ratio of the remaining time.
const MIN_SAVED_RATIO: f64 = 0.3;

impl Budget {
    /// A budget of `total_work`, which is that of all gangs, times `ratio`.
    pub fn from_ratio(total_work: f64, ratio: f64) -> Budget {
        Budget { max_work: total_work * ratio, used_work: 0.0 }
    }

    /// Reserves the work if it fits into the budget, and returns whether it did.
    fn try_reserve(&mut self, work: f64) -> bool {
        let fits = self.used_work + work <= self.max_work;
        if fits {
            self.used_work += work;
        }
        fits
    }

    /// Releases the work of an extra attempt that has ended.
    pub fn release(&mut self, work: f64) {
        self.used_work = (self.used_work - work).max(0.0);
    }
}

impl Gang {
    /// Decides what to do about one verdict. `spare` is an idle worker, assumed to be as fast as the peers of the worker
    /// that the verdict is about.
    pub fn choose_mitigation(
        &self,
        verdict: &Verdict,
        spare: Option<WorkerId>,
        budget: &mut Budget,
    ) -> Mitigation {
        if verdict.cause != Cause::Straggler {
            return Mitigation::Wait;
        }
        let reduce_weight = Mitigation::ReduceWeight(verdict.worker);
        let own_attempt =
            self.attempts().find(|(part, attempt)| *part == verdict.part && attempt.worker == verdict.worker);
        let Some(((_, own_attempt), rate_ratio)) =
            own_attempt.zip(verdict.rate_ratio.filter(|rate_ratio| *rate_ratio > 0.0))
        else {
            return reduce_weight;
        };
        let Some(remaining_time) = own_attempt.remaining_time() else { return reduce_weight };
        // A restart elsewhere runs the whole part at the usual rate of the peers.
        let restart_time: Ms = own_attempt.size / (own_attempt.rate().unwrap_or(f64::INFINITY) / rate_ratio);
        let saves_enough = restart_time < (1.0 - MIN_SAVED_RATIO) * remaining_time;
        let Some(worker) = spare.filter(|_| saves_enough && self.attempt_count(verdict.part) == 1) else {
            return reduce_weight;
        };
        if !self.idempotent {
            return Mitigation::CancelThenRestart { part: verdict.part, worker: verdict.worker };
        }
        match budget.try_reserve(own_attempt.size) {
            true => Mitigation::Speculate { part: verdict.part, worker },
            false => reduce_weight,
        }
    }

    /// The total work of the round: each part counts once, whatever its number of attempts.
    pub fn total_work(&self) -> f64 {
        let mut previous_part = None;
        let first_attempts =
            self.attempts().filter(move |(part, _)| previous_part.replace(*part) != Some(*part));
        first_attempts.map(|(_, attempt): (PartId, &Attempt)| attempt.size).sum()
    }
}
