//! Whether a member may count itself in: what it kept may be lost, old, or whole.
//!
//! Raft takes it that what was synced is there after a restart. Where a store is lost or an older copy is put back, the
//! member forgot votes and entries that others counted, and could elect a leader that lacks what was committed. So a
//! member asks at each start what others know of it, and where that is more than it knows itself it votes for nobody
//! until it holds all that the leader had when it asked. The thought is that of Viewstamped Replication's recovery
//! (Liskov and Cowling, 2012).

use std::collections::BTreeMap;

use juniperrail_interface::Ms;

use crate::ids::{Index, MemberId, Run, Term};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RecoveryState {
    /// It kept nothing. Either nobody did yet, or it lost it.
    Empty,
    /// It kept something and gives others a moment to say that this is old.
    Verifying {
        until: Ms,
    },
    /// What it kept is lost or old. `term`: what it adopted from others, once enough have answered.
    Recovering {
        term: Option<Term>,
    },
    Ready,
}

/// What another answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub known_run: Run,
    pub term: Term,
    pub last_index: Index,
    pub is_leader: bool,
    pub store_id: u64,
    /// `None` where it kept nothing.
    pub bootstrap_stores: Option<BTreeMap<MemberId, u64>>,
}

/// The answers to one start's question, by who answered.
#[derive(Clone, Debug, Default)]
pub struct Inquiry {
    pub nonce: u64,
    answers: BTreeMap<MemberId, Answer>,
}

impl Inquiry {
    pub fn new(nonce: u64) -> Inquiry {
        Inquiry { nonce, answers: BTreeMap::new() }
    }

    pub fn take(&mut self, from: MemberId, answer: Answer) {
        let known = self.answers.get(&from);
        // A leader's log grows while it is caught up with: what it held when first asked is enough.
        let same = |known: &&Answer| known.is_leader && answer.is_leader && known.term == answer.term;
        let last = known.filter(same).map_or(answer.last_index, |known| known.last_index);
        self.answers.insert(from, Answer { last_index: last, ..answer });
    }

    /// The latest start of this member that anybody else knew before.
    pub fn known(&self) -> Run {
        self.answers.values().map(|answer| answer.known_run).max().unwrap_or_default()
    }

    /// The stores of the first hour, as somebody knows them who was there.
    pub fn founding(&self) -> Option<&BTreeMap<MemberId, u64>> {
        // Who came later or lost its store knows none; that there was a first hour it knows all the same.
        self.answers
            .values()
            .filter_map(|answer| answer.bootstrap_stores.as_ref())
            .max_by_key(|births| births.len())
    }

    /// The stores of these, if every one has answered that it kept nothing.
    pub fn all_fresh<'a>(
        &self,
        mut others: impl Iterator<Item = &'a MemberId>,
    ) -> Option<BTreeMap<MemberId, u64>> {
        let fresh = |births: &mut BTreeMap<MemberId, u64>, id: &MemberId| {
            let answer = self.answers.get(id).filter(|answer| answer.bootstrap_stores.is_none());
            answer.map(|answer| _ = births.insert(*id, answer.store_id)).is_some()
        };
        let mut births = BTreeMap::new();
        others.all(|id| fresh(&mut births, id)).then_some(births)
    }

    pub fn count<'a>(&self, others: impl Iterator<Item = &'a MemberId>) -> usize {
        others.filter(|id| self.answers.contains_key(id)).count()
    }

    /// The highest term among enough of the others to have somebody of every quorum that this member may have been part
    /// of: `voters - voters / 2` of them.
    pub fn term<'a>(&self, others: impl Iterator<Item = &'a MemberId>) -> Option<Term> {
        let others: Vec<&MemberId> = others.collect();
        let voters = others.len() + 1;
        let founded =
            |id: &&MemberId| self.answers.get(id).filter(|answer| answer.bootstrap_stores.is_some());
        let terms: Vec<Term> = others.iter().filter_map(founded).map(|answer| answer.term).collect();
        (terms.len() >= voters - voters / 2).then(|| terms.into_iter().max()).flatten()
    }

    /// How far this leader's log reached when it was asked.
    pub fn reached(&self, leader: MemberId, term: Term) -> Option<Index> {
        let answer = self.answers.get(&leader)?;
        (answer.is_leader && answer.term == term).then_some(answer.last_index)
    }

    /// The answers to an earlier question count no more.
    pub fn anew(&mut self) {
        self.answers.clear();
    }
}
