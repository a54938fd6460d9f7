//! Whether a member may vote after a start, or has to recover first because its store is empty, lost or outdated.
//!
//! Raft assumes that synced writes survive a restart. If a store is lost, or an older copy of it is restored,
//! the member has forgotten votes and entries that others counted on, and could help to elect a leader that lacks
//! committed entries. So at each start a member asks the others for the latest run (start) of it that they know. If
//! that is later than the latest run in its own store, the member grants no vote until its log holds all that the
//! leader's log held when the leader was asked. The approach is that of Viewstamped Replication's recovery (Liskov and
//! Cowling, 2012).

use std::collections::BTreeMap;

use juniperrail_interface::Ms;

use crate::ids::{Index, MemberId, Run, Term};

/// The state of verifying a member's store after a start. The member votes only when [`RecoveryState::Ready`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RecoveryState {
    /// The store is empty: either the group is not bootstrapped yet, or the store was lost.
    Empty,
    /// The store is not empty, but may be outdated. The member waits for answers until it and those that have answered
    /// are a majority of the voters, but no longer than until this time.
    Verifying {
        until: Ms,
    },
    /// The store is lost or outdated. `term` is the term adopted from the other members, once enough have answered.
    Recovering {
        term: Option<Term>,
    },
    Ready,
}

/// Another member's answer to a handshake; the fields are those of [`crate::Message::HandshakeReply`].
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub known_run: Run,
    pub term: Term,
    pub last_index: Index,
    pub is_leader: bool,
    pub store_id: u64,
    /// `None` if the member's store is empty.
    pub bootstrap_stores: Option<BTreeMap<MemberId, u64>>,
}

/// The answers to the handshake of one start, by the member that answered.
#[derive(Clone, Debug, Default)]
pub struct Handshake {
    pub nonce: u64,
    answers: BTreeMap<MemberId, Answer>,
}

impl Handshake {
    pub fn new(nonce: u64) -> Handshake {
        Handshake { nonce, answers: BTreeMap::new() }
    }

    /// Adds an answer, in place of an earlier one of the same member.
    pub fn record(&mut self, sender: MemberId, answer: Answer) {
        let earlier = self.answers.get(&sender);
        // The leader's log grows while this member catches up. The last index in the leader's first answer of a term is
        // enough for the recovery, so later answers do not raise it.
        let same_leadership =
            |earlier: &&Answer| earlier.is_leader && answer.is_leader && earlier.term == answer.term;
        let last_index =
            earlier.filter(same_leadership).map_or(answer.last_index, |earlier| earlier.last_index);
        self.answers.insert(sender, Answer { last_index, ..answer });
    }

    /// The latest run of this member that any other member knew before this start.
    pub fn known_run(&self) -> Run {
        self.answers.values().map(|answer| answer.known_run).max().unwrap_or_default()
    }

    /// The stores that bootstrapped the group, if any member answered that it is bootstrapped.
    pub fn bootstrap_stores(&self) -> Option<&BTreeMap<MemberId, u64>> {
        // A member that joined later or lost its store answers with an empty map: it knows that the group is
        // bootstrapped, but not by which stores. So the longest map is taken.
        self.answers
            .values()
            .filter_map(|answer| answer.bootstrap_stores.as_ref())
            .max_by_key(|stores| stores.len())
    }

    /// The store ids of these members, if each of them has answered that its store is empty.
    pub fn empty_stores<'a>(
        &self,
        mut others: impl Iterator<Item = &'a MemberId>,
    ) -> Option<BTreeMap<MemberId, u64>> {
        let record_if_empty = |stores: &mut BTreeMap<MemberId, u64>, id: &MemberId| {
            let answer = self.answers.get(id).filter(|answer| answer.bootstrap_stores.is_none());
            answer.map(|answer| _ = stores.insert(*id, answer.store_id)).is_some()
        };
        let mut stores = BTreeMap::new();
        others.all(|id| record_if_empty(&mut stores, id)).then_some(stores)
    }

    /// How many of these members have answered.
    pub fn answered_count<'a>(&self, others: impl Iterator<Item = &'a MemberId>) -> usize {
        others.filter(|id| self.answers.contains_key(id)).count()
    }

    /// The highest term among the other voters, once enough of them have answered from a store that is not empty:
    /// `voter_count - voter_count / 2`, so that they include a member of every quorum that this member may have been
    /// part of.
    pub fn highest_term<'a>(&self, others: impl Iterator<Item = &'a MemberId>) -> Option<Term> {
        let others: Vec<&MemberId> = others.collect();
        let voter_count = others.len() + 1;
        let bootstrapped_answer =
            |id: &&MemberId| self.answers.get(id).filter(|answer| answer.bootstrap_stores.is_some());
        let terms: Vec<Term> =
            others.iter().filter_map(bootstrapped_answer).map(|answer| answer.term).collect();
        (terms.len() >= voter_count - voter_count / 2).then(|| terms.into_iter().max()).flatten()
    }

    /// The last index of this leader's log when the leader was asked; `None` if the member has not answered as leader
    /// of this term.
    pub fn leader_last_index(&self, leader: MemberId, term: Term) -> Option<Index> {
        let answer = self.answers.get(&leader)?;
        (answer.is_leader && answer.term == term).then_some(answer.last_index)
    }

    /// Drops the answers, which are for a run that is no longer the current one.
    pub fn clear(&mut self) {
        self.answers.clear();
    }
}
