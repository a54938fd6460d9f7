//! Records that a member writes durably before it sends any message that depends on them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, Run, Term};
use crate::log::{Entry, Log, Snapshot};

/// A durable record. Records are encoded by position, so variants and fields keep their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The random id of this store, which distinguishes it from another store of the same member.
    StoreId(u64),
    /// The number of this start, written before the member sends anything.
    Run(Run),
    /// The latest run and nonce of another member whose handshake this member has answered.
    PeerRun(MemberId, Run, u64),
    /// The group was bootstrapped with these members and stores, all of which were empty. Compaction writes the record
    /// again with the current snapshot.
    Bootstrapped(Snapshot, BTreeMap<MemberId, u64>),
    /// This store is lost or outdated. The member grants no vote until [`Record::RecoveryFinished`].
    RecoveryStarted,
    RecoveryFinished,
    /// The current term and the candidate that received this member's vote in it.
    TermAndVote(Term, Option<MemberId>),
    /// Log entries; they replace all entries from the index of the first one on.
    Entries(Vec<Entry>),
    Snapshot(Snapshot),
}

/// A record that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a consensus record cannot be decoded: {}", self.0)
    }
}

impl Record {
    /// The record's bytes as they are stored.
    pub fn encode(&self) -> Vec<u8> {
        // This cannot fail: every value in a record can be encoded, and the vector grows as needed.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a stored record, which must use all of `bytes`.
    pub fn decode(bytes: &[u8]) -> Result<Record, DecodeError> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Ok(record),
            Ok((_, rest)) => Err(DecodeError(format!("{} trailing bytes", rest.len()))),
            Err(error) => Err(DecodeError(error.to_string())),
        }
    }
}

/// The latest run of another member, and the one before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownRun {
    pub run: Run,
    /// The random number that the member drew at that start.
    pub nonce: u64,
    pub previous: Run,
}

impl KnownRun {
    /// Notes the run that a member gives in its handshake. Returns the latest run known from before this one, and
    /// whether the run is new.
    pub fn observe(&mut self, run: Run, nonce: u64) -> (Run, bool) {
        if run > self.run {
            *self = KnownRun { run, nonce, previous: self.run };
            return (self.previous, true);
        }
        // A start from a store that was restored from a copy reuses a run number, with another nonce. It then gets an
        // answer with a known run that is not lower than its own, and recovers.
        let repeated = run == self.run && nonce == self.nonce;
        (if repeated { self.previous } else { self.run }, false)
    }
}

/// The state that results from replaying a store's records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// `None` for an empty store.
    pub store_id: Option<u64>,
    /// The store ids of the members that bootstrapped the group; empty if this member does not know them.
    pub bootstrap_stores: BTreeMap<MemberId, u64>,
    pub run: Run,
    pub peer_runs: BTreeMap<MemberId, KnownRun>,
    /// The member is or was part of a group.
    pub bootstrapped: bool,
    /// A recovery was started but not finished.
    pub recovering: bool,
    pub term: Term,
    pub vote: Option<MemberId>,
    pub log: Log,
}

impl StoredState {
    /// Replays records in the order in which they were written.
    pub fn replay<'a>(records: impl IntoIterator<Item = &'a [u8]>) -> Result<StoredState, DecodeError> {
        let mut stored = StoredState::default();
        records.into_iter().try_for_each(|bytes| {
            stored.apply(Record::decode(bytes)?);
            Ok(())
        })?;
        Ok(stored)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::StoreId(store_id) => self.store_id = Some(store_id),
            Record::Run(run) => self.run = run,
            Record::PeerRun(peer, run, nonce) => {
                self.peer_runs.entry(peer).or_default().observe(run, nonce);
            }
            Record::Bootstrapped(snapshot, stores) => {
                (self.bootstrapped, self.log, self.bootstrap_stores) = (true, Log::new(snapshot), stores);
            }
            Record::RecoveryStarted => (self.bootstrapped, self.recovering) = (true, true),
            Record::RecoveryFinished => self.recovering = false,
            Record::TermAndVote(term, vote) => (self.term, self.vote) = (term, vote),
            // The store preserves the order of records, so a gap means that it contains a file of another member.
            // Entries after the gap are dropped, and the leader sends them again.
            Record::Entries(entries) => _ = self.log.replace_from(&entries),
            Record::Snapshot(snapshot) => self.log = Log::new(snapshot),
        }
    }
}
