//! Who is there, and what managers agree on. All of it is decided here without I/O, clocks or threads: `now`, messages,
//! durable acknowledgements and chance are handed in, and what comes back is what to write first, what to send after
//! that, and what was agreed.
//!
//! [`RaftNode`] is Raft (Ongaro and Ousterhout, 2014) with what Ongaro's dissertation adds: pre-vote, the leader's check
//! of its quorum, leases, one-at-a-time changes of members, learners, transfer. [`FailureDetector`] is SWIM (Das, Gupta and
//! Motivala, 2002) with Lifeguard's local health (Dadgar, Phillips and Currey, 2017). [`median_clock`] is what a group
//! takes for the time where single clocks jump. What departs from the papers is in `docs/design/council.md`.
//!
//! A fencing number is the index of the entry that granted it: it grows over all restarts, and no two grants share one.

mod clock;
mod council;
mod ids;
mod log;
mod message;
mod record;
mod sight;
mod standing;

pub use clock::median_clock;
pub use council::{Actions, Committed, LogPosition, ProposeError, RaftConfig, RaftEvent, RaftNode, Role};
pub use ids::{Index, MemberId, Run, Term};
pub use log::{Entry, Log, Member, MemberRole, Members, MembershipChange, Payload, Snapshot};
pub use message::Message;
pub use record::{DecodeError, KnownRun, Record, StoredState};
pub use sight::{FailureDetector, GossipUpdate, Health, Reach, SwimConfig, SwimMessage};
pub use standing::RecoveryState;
