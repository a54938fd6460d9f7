//! Consensus between managers and failure detection, free of I/O, clocks and threads. The caller passes in the time,
//! received messages, notices of durable writes and random seeds; it gets back the records to write, the messages to
//! send and the entries that are committed.
//!
//! [`RaftNode`] is Raft (Ongaro and Ousterhout, 2014) with the extensions of Ongaro's dissertation: pre-vote,
//! check-quorum, leases, one-at-a-time membership changes, learners and leadership transfer. [`FailureDetector`] is
//! SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's local health (Dadgar, Phillips and Currey, 2017).
//! [`median_clock`] gives a group a wall-clock time that does not jump when individual clocks do.
//! `docs/design/consensus.md` lists the departures from the papers.
//!
//! A fencing token is the index of the log entry that records the grant: tokens increase across all restarts, and no
//! two grants share one.

mod clock;
mod failure_detector;
mod ids;
mod log;
mod message;
mod raft_node;
mod record;
mod recovery;

pub use clock::median_clock;
pub use failure_detector::{FailureDetector, GossipUpdate, Health, Reach, SwimConfig, SwimMessage};
pub use ids::{Index, MemberId, Run, Term};
pub use log::{Entry, Log, Member, MemberRole, Members, MembershipChange, Payload, Snapshot};
pub use message::Message;
pub use raft_node::{Actions, Committed, LogPosition, ProposeError, RaftConfig, RaftEvent, RaftNode, Role};
pub use record::{DecodeError, KnownRun, Record, StoredState};
pub use recovery::RecoveryState;
