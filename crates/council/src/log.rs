//! The log of what is to be agreed, with the members in force and the snapshot that stands for its beginning.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Term};

/// Whether a member's word counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    Voter,
    /// It is told all and asked nothing, until it has caught up.
    Learner,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where its links listen; others learn it from here.
    pub address: String,
    pub role: MemberRole,
}

pub type Members = BTreeMap<MemberId, Member>;

/// One step of membership; never two at once, so that the quorums before and after have a member in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// It becomes a learner.
    Add(MemberId, String),
    /// A learner that has caught up becomes a voter.
    Promote(MemberId),
    Remove(MemberId),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A leader's first entry: what is before it is committed with it.
    NoOp,
    Membership(Members),
    /// What the parts above agree on, in their own form.
    Command(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    pub term: Term,
    pub payload: Payload,
}

/// All up to `last`, as the parts above wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last_index: Index,
    pub last_term: Term,
    pub members: Members,
    pub state: Vec<u8>,
}

/// A snapshot and the entries after it, without a gap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Where the members in force were set, if not by the snapshot.
    members_at: Option<usize>,
}

impl Log {
    pub fn new(snapshot: Snapshot) -> Log {
        Log { snapshot, entries: Vec::new(), members_at: None }
    }

    pub fn last(&self) -> (Index, Term) {
        self.entries.last().map_or((self.snapshot.last_index, self.snapshot.last_term), |e| (e.index, e.term))
    }

    /// The term of what stands there; `None` where nothing does, or only the snapshot knows.
    pub fn term_at(&self, at: Index) -> Option<Term> {
        match at {
            at if at == self.snapshot.last_index => Some(self.snapshot.last_term),
            at => self.get(at).map(|entry| entry.term),
        }
    }

    pub fn get(&self, at: Index) -> Option<&Entry> {
        self.entries.get(self.place(at)?)
    }

    fn place(&self, at: Index) -> Option<usize> {
        usize::try_from(at.0.checked_sub(self.snapshot.last_index.0 + 1)?).ok()
    }

    /// Entries from there on, `most` of them, the first at least.
    pub fn entries_from(&self, at: Index, most: usize) -> &[Entry] {
        let start = self.place(at).unwrap_or(0).min(self.entries.len());
        &self.entries[start..(start + most).min(self.entries.len())]
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Who is in force: the newest word, committed or not (dissertation, 4.1).
    pub fn members(&self) -> &Members {
        match self.members_at.map(|at| &self.entries[at].payload) {
            Some(Payload::Membership(members)) => members,
            _ => &self.snapshot.members,
        }
    }

    /// Where that word stands.
    pub fn membership_index(&self) -> Index {
        self.members_at.map_or(self.snapshot.last_index, |at| self.entries[at].index)
    }

    /// Puts entries in place of all from the first of them on. False where that would leave a gap.
    pub fn replace_from(&mut self, entries: &[Entry]) -> bool {
        let Some(first) = entries.first() else { return true };
        let Some(place) = self.place(first.index).filter(|place| *place <= self.entries.len()) else {
            return false;
        };
        self.entries.truncate(place);
        self.entries.extend_from_slice(entries);
        self.members_at =
            self.entries.iter().rposition(|entry| matches!(entry.payload, Payload::Membership(_)));
        true
    }

    /// The state stands for all up to `at`. Entries after it stay where they follow it.
    pub fn compact(&mut self, at: Index, state: Vec<u8>) -> bool {
        let Some((place, term)) = self.place(at).zip(self.term_at(at)) else { return false };
        let known = |entry: &Entry| match &entry.payload {
            Payload::Membership(members) => Some(members.clone()),
            _ => None,
        };
        let told = self.entries[..=place].iter().rev().find_map(known);
        let members = told.unwrap_or_else(|| self.snapshot.members.clone());
        self.snapshot = Snapshot { last_index: at, last_term: term, members, state };
        self.entries.drain(..=place);
        self.members_at =
            self.entries.iter().rposition(|entry| matches!(entry.payload, Payload::Membership(_)));
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64) -> Entry {
        Entry { index: Index(index), term: Term(term), payload: Payload::Command(vec![index as u8]) }
    }

    fn named(ids: &[u16]) -> Members {
        let member = |id: &u16| (MemberId(*id), Member { address: String::new(), role: MemberRole::Voter });
        ids.iter().map(member).collect()
    }

    #[test]
    fn a_later_word_replaces_the_tail_and_with_it_the_members() {
        let mut log = Log::new(Snapshot { members: named(&[1]), ..Snapshot::default() });
        assert!(log.replace_from(&[entry(1, 1), entry(2, 1)]));
        assert!(!log.replace_from(&[entry(4, 1)]), "no gaps");
        let set = Entry { index: Index(3), term: Term(1), payload: Payload::Membership(named(&[1, 2])) };
        assert!(log.replace_from(&[set]));
        assert_eq!((log.members().len(), log.membership_index()), (2, Index(3)));
        assert!(log.replace_from(&[entry(2, 2)]));
        assert_eq!((log.members().len(), log.last()), (1, (Index(2), Term(2))), "the change is taken back");
        assert_eq!(log.term_at(Index(1)), Some(Term(1)));
        assert_eq!((log.term_at(Index(0)), log.term_at(Index(3))), (Some(Term(0)), None));
    }

    #[test]
    fn a_snapshot_stands_for_the_beginning_with_its_members() {
        let mut log = Log::default();
        let set = Entry { index: Index(1), term: Term(1), payload: Payload::Membership(named(&[7])) };
        log.replace_from(&[set, entry(2, 1), entry(3, 2)]);
        assert!(!log.compact(Index(9), Vec::new()));
        assert!(log.compact(Index(2), vec![9]));
        assert_eq!((log.len(), log.members(), log.last()), (1, &named(&[7]), (Index(3), Term(2))));
        assert_eq!((log.term_at(Index(2)), log.term_at(Index(1))), (Some(Term(1)), None));
        assert_eq!(log.entries_from(Index(3), 5).len(), 1);
        assert!(!log.replace_from(&[entry(1, 9)]), "what the snapshot stands for is not replaced");
    }
}
