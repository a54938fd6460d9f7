//! What members say to each other of the log.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Run, Term};
use crate::log::{Entry, Snapshot};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Told at each start, until enough have answered. `nonce`: by chance, other at each start.
    HandshakeRequest {
        run: Run,
        nonce: u64,
    },
    /// What another knows of the one that asks, and of itself.
    HandshakeReply {
        run: Run,
        /// The asker's last run that this member has in its store from before.
        known_run: Run,
        term: Term,
        last_index: Index,
        is_leader: bool,
        /// By what its store is told from another of the same member.
        store_id: u64,
        /// The stores of the first hour, if it is over for this member.
        bootstrap_stores: Option<BTreeMap<MemberId, u64>>,
    },
    /// `pre`: whether it would be elected; nothing changes for it. `handed`: the leader itself asked for it.
    RequestVote {
        term: Term,
        last: (Index, Term),
        pre_vote: bool,
        leadership_transfer: bool,
    },
    RequestVoteReply {
        term: Term,
        granted: bool,
        pre_vote: bool,
    },
    /// `at`: the leader's clock, to be given back, so that it knows when this was sent.
    AppendEntries {
        term: Term,
        sent_at: Ms,
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit_index: Index,
    },
    InstallSnapshot {
        term: Term,
        sent_at: Ms,
        snapshot: Snapshot,
    },
    /// Up to where both logs are the same; or, where they are not, what to try next.
    AppendEntriesReply {
        term: Term,
        sent_at: Ms,
        success: bool,
        index: Index,
    },
    /// The leader steps aside for the one that this is sent to.
    TimeoutNow {
        term: Term,
    },
    /// A command for the leader, from a member that does not lead.
    Propose {
        command: Vec<u8>,
    },
}

impl Message {
    /// Of two messages with the same slot that wait for the same peer the newer one says all.
    pub fn slot(&self) -> Option<u8> {
        match self {
            Message::HandshakeRequest { .. } => Some(0),
            Message::HandshakeReply { .. } => Some(1),
            Message::RequestVote { .. } => Some(2),
            Message::RequestVoteReply { .. } => Some(3),
            Message::AppendEntries { entries, .. } if entries.is_empty() => Some(4),
            Message::InstallSnapshot { .. } => Some(5),
            Message::TimeoutNow { .. } => Some(6),
            Message::AppendEntries { .. } | Message::AppendEntriesReply { .. } | Message::Propose { .. } => {
                None
            }
        }
    }

    /// Whose leadership it speaks of.
    pub fn term(&self) -> Option<Term> {
        match self {
            Message::RequestVote { term, .. }
            | Message::RequestVoteReply { term, .. }
            | Message::AppendEntries { term, .. }
            | Message::InstallSnapshot { term, .. }
            | Message::AppendEntriesReply { term, .. }
            | Message::TimeoutNow { term } => Some(*term),
            Message::HandshakeRequest { .. } | Message::HandshakeReply { .. } | Message::Propose { .. } => {
                None
            }
        }
    }
}
