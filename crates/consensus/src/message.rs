//! Messages between the members of a consensus group.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Run, Term};
use crate::log::{Entry, Snapshot};

/// A message from one member to another. Messages are encoded by position, so variants and fields keep their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent to all members after a start, and repeated until the sender is allowed to vote.
    HandshakeRequest {
        run: Run,
        /// A random number drawn at each start.
        nonce: u64,
    },
    /// What the answering member knows of the requester, and its own state.
    HandshakeReply {
        /// The run of the request that this answers.
        run: Run,
        /// The requester's last run that the answering member knew before this one.
        known_run: Run,
        term: Term,
        last_index: Index,
        is_leader: bool,
        /// A random number that identifies the answering member's store: it distinguishes a new store of the same
        /// member from the old one.
        store_id: u64,
        /// The store ids of the members that bootstrapped the group. `None` if the answering member's own store is
        /// empty; an empty map if the member joined later or lost its store, and so does not know the ids.
        bootstrap_stores: Option<BTreeMap<MemberId, u64>>,
    },
    RequestVote {
        term: Term,
        /// Index and term of the candidate's last log entry.
        last: (Index, Term),
        /// Asks only whether the candidate would be elected; neither side changes its term or vote.
        pre_vote: bool,
        /// The leader itself asked the candidate to stand, so the leader's lease does not prevent the vote.
        leadership_transfer: bool,
    },
    RequestVoteReply {
        term: Term,
        granted: bool,
        pre_vote: bool,
    },
    AppendEntries {
        term: Term,
        /// When the request was sent, by the leader's clock. The reply repeats it, because the leader's lease counts
        /// from this time.
        sent_at: Ms,
        /// Index and term of the entry before the first one sent.
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit_index: Index,
    },
    InstallSnapshot {
        term: Term,
        /// As in [`Message::AppendEntries`].
        sent_at: Ms,
        snapshot: Snapshot,
    },
    /// The reply to [`Message::AppendEntries`] and [`Message::InstallSnapshot`].
    AppendEntriesReply {
        term: Term,
        /// The time given in the request.
        sent_at: Ms,
        success: bool,
        /// On success, the index up to which both logs match; otherwise the index that the leader is to use
        /// as `previous` in its next request.
        index: Index,
    },
    /// Leadership transfer: the receiver is to start an election at once.
    TimeoutNow {
        term: Term,
    },
    /// A command that another member forwards to the leader.
    Propose {
        command: Vec<u8>,
    },
}

impl Message {
    /// The outbox slot of this message: a newer message replaces an older one that is still queued for the same peer
    /// in the same slot. `None` if the message must not be replaced.
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

    /// The term that the message belongs to, if it belongs to one.
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
