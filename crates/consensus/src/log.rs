//! The replicated log: a snapshot, the entries after it, and the membership in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Term};

/// Whether a member counts towards quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    Voter,
    /// Receives the log but has no vote until it has caught up and is promoted.
    Learner,
}

/// A member of the group, as the log records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address that the member listens on and that the other members connect to.
    pub address: String,
    pub role: MemberRole,
}

/// The members of a group by their ids.
pub type Members = BTreeMap<MemberId, Member>;

/// A single membership change. Only one is in progress at a time, so that any quorum before it and any quorum after it
/// share a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner with this address.
    Add(MemberId, String),
    /// Makes a learner that has caught up a voter.
    Promote(MemberId),
    Remove(MemberId),
}

/// What a log entry carries. Entries are encoded by position, so variants and fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader's term. Once it is committed, so are all entries before it.
    NoOp,
    Membership(Members),
    /// A command of the application, in the application's own encoding.
    Command(Vec<u8>),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    pub term: Term,
    pub payload: Payload,
}

/// The state after the entry at `last_index`. It replaces all entries up to and including that one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last_index: Index,
    /// The term of the entry at `last_index`.
    pub last_term: Term,
    pub members: Members,
    /// The application's state, in its own encoding.
    pub state: Vec<u8>,
}

/// A snapshot and the entries that follow it without a gap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
    /// The offset in `entries` of the latest membership entry, if there is one.
    membership_offset: Option<usize>,
}

impl Log {
    /// A log that holds only this snapshot.
    pub fn new(snapshot: Snapshot) -> Log {
        Log { snapshot, entries: Vec::new(), membership_offset: None }
    }

    /// Index and term of the last entry.
    pub fn last(&self) -> (Index, Term) {
        self.entries
            .last()
            .map_or((self.snapshot.last_index, self.snapshot.last_term), |entry| (entry.index, entry.term))
    }

    /// The term of the entry at this index; `None` beyond the end of the log and for entries before the snapshot's last
    /// one.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match index {
            index if index == self.snapshot.last_index => Some(self.snapshot.last_term),
            index => self.get(index).map(|entry| entry.term),
        }
    }

    /// The entry at this index, if it exists and is not part of the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// The offset in `entries` of this index, also beyond the end of the log; `None` if the index is part of the
    /// snapshot.
    fn offset(&self, index: Index) -> Option<usize> {
        usize::try_from(index.0.checked_sub(self.snapshot.last_index.0 + 1)?).ok()
    }

    /// Up to `max_count` entries from this index on; from the first entry if the index is part of the snapshot.
    pub fn entries_from(&self, index: Index, max_count: usize) -> &[Entry] {
        let start = self.offset(index).unwrap_or(0).min(self.entries.len());
        &self.entries[start..(start + max_count).min(self.entries.len())]
    }

    /// The number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The membership in force: the latest one in the log, committed or not (Ongaro's dissertation, 4.1).
    pub fn members(&self) -> &Members {
        match self.membership_offset.map(|offset| &self.entries[offset].payload) {
            Some(Payload::Membership(members)) => members,
            _ => &self.snapshot.members,
        }
    }

    /// The index of the entry that set the membership in force, or the snapshot's last index if the snapshot did.
    pub fn membership_index(&self) -> Index {
        self.membership_offset.map_or(self.snapshot.last_index, |offset| self.entries[offset].index)
    }

    /// Replaces all entries from the index of the first new one on. Returns false, and changes nothing, if that would
    /// leave a gap or replace a part of the snapshot.
    pub fn replace_from(&mut self, entries: &[Entry]) -> bool {
        let Some(first) = entries.first() else { return true };
        let Some(offset) = self.offset(first.index).filter(|offset| *offset <= self.entries.len()) else {
            return false;
        };
        self.entries.truncate(offset);
        self.entries.extend_from_slice(entries);
        self.membership_offset =
            self.entries.iter().rposition(|entry| matches!(entry.payload, Payload::Membership(_)));
        true
    }

    /// Replaces the entries up to and including `index` with a snapshot of this state. Later entries stay. Returns
    /// false, and changes nothing, if there is no entry at that index.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) -> bool {
        let Some((offset, term)) = self.offset(index).zip(self.term_at(index)) else { return false };
        let membership = |entry: &Entry| match &entry.payload {
            Payload::Membership(members) => Some(members.clone()),
            _ => None,
        };
        let latest_members = self.entries[..=offset].iter().rev().find_map(membership);
        let members = latest_members.unwrap_or_else(|| self.snapshot.members.clone());
        self.snapshot = Snapshot { last_index: index, last_term: term, members, state };
        self.entries.drain(..=offset);
        self.membership_offset =
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

    fn voters(ids: &[u16]) -> Members {
        let member = |id: &u16| (MemberId(*id), Member { address: String::new(), role: MemberRole::Voter });
        ids.iter().map(member).collect()
    }

    #[test]
    fn replacing_the_tail_of_the_log_also_reverts_a_membership_change_in_it() {
        let mut log = Log::new(Snapshot { members: voters(&[1]), ..Snapshot::default() });
        assert!(log.replace_from(&[entry(1, 1), entry(2, 1)]));
        assert!(!log.replace_from(&[entry(4, 1)]), "a gap is refused");
        let change = Entry { index: Index(3), term: Term(1), payload: Payload::Membership(voters(&[1, 2])) };
        assert!(log.replace_from(&[change]));
        assert_eq!((log.members().len(), log.membership_index()), (2, Index(3)));
        assert!(log.replace_from(&[entry(2, 2)]));
        assert_eq!(
            (log.members().len(), log.last()),
            (1, (Index(2), Term(2))),
            "the membership change is reverted"
        );
        assert_eq!(log.term_at(Index(1)), Some(Term(1)));
        assert_eq!((log.term_at(Index(0)), log.term_at(Index(3))), (Some(Term(0)), None));
    }

    #[test]
    fn compaction_keeps_the_membership_and_the_last_term() {
        let mut log = Log::default();
        let change = Entry { index: Index(1), term: Term(1), payload: Payload::Membership(voters(&[7])) };
        log.replace_from(&[change, entry(2, 1), entry(3, 2)]);
        assert!(!log.compact(Index(9), Vec::new()));
        assert!(log.compact(Index(2), vec![9]));
        assert_eq!((log.len(), log.members(), log.last()), (1, &voters(&[7]), (Index(3), Term(2))));
        assert_eq!((log.term_at(Index(2)), log.term_at(Index(1))), (Some(Term(1)), None));
        assert_eq!(log.entries_from(Index(3), 5).len(), 1);
        assert!(!log.replace_from(&[entry(1, 9)]), "entries in the snapshot are not replaced");
    }
}
