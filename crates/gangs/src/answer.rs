//! What is worth doing about a straggler, within a budget of extra work for the whole fleet.

use juniperrail_interface::{Ms, WorkerId};

use crate::gang::{Cause, Gang, Verdict};
use crate::progress::{Attempt, PartId};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mitigation {
    Wait,
    /// Its weight for all else falls, so that it has its time for the part.
    ReduceWeight(WorkerId),
    /// The part is begun at another worker as well; whoever is done first ends it.
    Speculate {
        part: PartId,
        worker: WorkerId,
    },
    /// The part is given up where it is, and only once that is durably ended or refused is it begun elsewhere.
    CancelThenRestart {
        part: PartId,
        worker: WorkerId,
    },
}

/// Extra work that may be under way, in the parts' own unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub max_work: f64,
    pub used_work: f64,
}

/// A second attempt has to save so much of what is left.
const SAVES: f64 = 0.3;

impl Budget {
    /// A part of the work that all gangs have.
    pub fn from_ratio(work: f64, part: f64) -> Budget {
        Budget { max_work: work * part, used_work: 0.0 }
    }

    fn takes(&mut self, work: f64) -> bool {
        let fits = self.used_work + work <= self.max_work;
        if fits {
            self.used_work += work;
        }
        fits
    }

    /// An attempt is over: what it took is free again.
    pub fn release(&mut self, work: f64) {
        self.used_work = (self.used_work - work).max(0.0);
    }
}

impl Gang {
    /// What to do about one verdict. `spare`: a worker that is free for it, as fast as those of its kind are here.
    pub fn choose_mitigation(
        &self,
        verdict: &Verdict,
        spare: Option<WorkerId>,
        budget: &mut Budget,
    ) -> Mitigation {
        if verdict.cause != Cause::Straggler {
            return Mitigation::Wait;
        }
        let lean = Mitigation::ReduceWeight(verdict.worker);
        let own =
            self.attempts().find(|(part, track)| *part == verdict.part && track.worker == verdict.worker);
        let Some(((_, own), ratio)) = own.zip(verdict.rate_ratio.filter(|ratio| *ratio > 0.0)) else {
            return lean;
        };
        let Some(left) = own.remaining_time() else { return lean };
        // Begun anew elsewhere it takes the whole part at the usual rate.
        let anew: Ms = own.size / (own.rate().unwrap_or(f64::INFINITY) / ratio);
        let saves = anew < (1.0 - SAVES) * left;
        let Some(at) = spare.filter(|_| saves && self.attempt_count(verdict.part) == 1) else { return lean };
        if !self.idempotent {
            return Mitigation::CancelThenRestart { part: verdict.part, worker: verdict.worker };
        }
        match budget.takes(own.size) {
            true => Mitigation::Speculate { part: verdict.part, worker: at },
            false => lean,
        }
    }

    /// All the work of the round.
    pub fn total_work(&self) -> f64 {
        let mut last = None;
        let firsts = self.attempts().filter(move |(part, _)| last.replace(*part) != Some(*part));
        firsts.map(|(_, track): (PartId, &Attempt)| track.size).sum()
    }
}
