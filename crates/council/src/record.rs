//! What a member writes down before anything that depends on it is told.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, Run, Term};
use crate::log::{Entry, Log, Snapshot};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// By what this store is told from another of the same member.
    StoreId(u64),
    /// A start of this member, before it says anything.
    Run(Run),
    /// The latest start of another that this member has answered.
    PeerRun(MemberId, Run, u64),
    /// The members of the first hour; all of them said that they had nothing.
    Bootstrapped(Snapshot, BTreeMap<MemberId, u64>),
    /// What was kept is lost or old; until [`Record::RecoveryFinished`] it votes for nobody.
    RecoveryStarted,
    RecoveryFinished,
    TermAndVote(Term, Option<MemberId>),
    /// In place of all from the first of them on.
    Entries(Vec<Entry>),
    Snapshot(Snapshot),
}

/// Bytes that are no record of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a record of the council cannot be read: {}", self.0)
    }
}

impl Record {
    pub fn encode(&self) -> Vec<u8> {
        // It can't fail: nothing in a record is without a form, and the bytes are as many as it takes.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<Record, DecodeError> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Ok(record),
            Ok((_, rest)) => Err(DecodeError(format!("{} bytes too many", rest.len()))),
            Err(why) => Err(DecodeError(why.to_string())),
        }
    }
}

/// The latest start of another member, and the one before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownRun {
    pub run: Run,
    pub nonce: u64,
    pub previous: Run,
}

impl KnownRun {
    /// It says that it is at this start. What is known of it from before that; `true` where this start is new.
    pub fn observe(&mut self, run: Run, nonce: u64) -> (Run, bool) {
        if run > self.run {
            *self = KnownRun { run, nonce, previous: self.run };
            return (self.previous, true);
        }
        // Guards against a store that was put back: its next start has the number of one that was already there.
        let again = run == self.run && nonce == self.nonce;
        (if again { self.previous } else { self.run }, false)
    }
}

/// What a store held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    pub store_id: Option<u64>,
    pub bootstrap_stores: BTreeMap<MemberId, u64>,
    pub run: Run,
    pub peer_runs: BTreeMap<MemberId, KnownRun>,
    /// It is or was part of a council.
    pub bootstrapped: bool,
    pub recovering: bool,
    pub term: Term,
    pub vote: Option<MemberId>,
    pub log: Log,
}

impl StoredState {
    /// Takes records in the order in which they were written.
    pub fn replay<'a>(records: impl IntoIterator<Item = &'a [u8]>) -> Result<StoredState, DecodeError> {
        let mut recovered = StoredState::default();
        records.into_iter().try_for_each(|bytes| {
            recovered.apply(Record::decode(bytes)?);
            Ok(())
        })?;
        Ok(recovered)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::StoreId(birth) => self.store_id = Some(birth),
            Record::Run(run) => self.run = run,
            Record::PeerRun(peer, run, nonce) => {
                self.peer_runs.entry(peer).or_default().observe(run, nonce);
            }
            Record::Bootstrapped(snapshot, births) => {
                (self.bootstrapped, self.log, self.bootstrap_stores) = (true, Log::new(snapshot), births);
            }
            Record::RecoveryStarted => (self.bootstrapped, self.recovering) = (true, true),
            Record::RecoveryFinished => self.recovering = false,
            Record::TermAndVote(term, vote) => (self.term, self.vote) = (term, vote),
            // The store keeps the order, so there is no gap unless a file of another member was put here; what
            // follows is then left out, and the leader brings it again.
            Record::Entries(entries) => _ = self.log.replace_from(&entries),
            Record::Snapshot(snapshot) => self.log = Log::new(snapshot),
        }
    }
}
