//! One member of a Raft group: elections, log replication, leases, membership changes and leadership transfer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use juniperrail_interface::Ms;

use crate::ids::{Index, MemberId, Run, Term};
use crate::log::{Entry, Log, Member, MemberRole, Members, MembershipChange, Payload, Snapshot};
use crate::message::Message;
use crate::record::{KnownRun, Record, StoredState};
use crate::recovery::{Answer, Handshake, RecoveryState};

/// The number of messages that may wait until the records that they depend on are durable. Beyond it the oldest are
/// dropped, which Raft tolerates like a message lost on a link.
const MAX_DEFERRED_MESSAGES: usize = 4096;

/// Timeouts and limits of a Raft group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RaftConfig {
    pub heartbeat_interval_ms: Ms,
    /// The shortest time without contact with a leader after which a member stands for election. The longest is twice
    /// this.
    pub election_timeout_ms: Ms,
    /// The largest relative difference in speed between the clocks of two members.
    pub max_clock_drift_ratio: f64,
    pub max_entries_per_message: usize,
    /// The number of entries that may await commitment; further proposals are rejected.
    pub max_uncommitted_entries: usize,
}

/// Why a proposal is rejected. Nothing of the proposal was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member is not the leader. The leader is given if it is known.
    NotLeader(Option<MemberId>),
    TooManyUncommitted,
    /// The leader is transferring its leadership.
    TransferInProgress,
    /// Another membership change is in progress, or no entry of the leader's own term is committed yet.
    MembershipChangeInProgress,
    /// The change does not fit the current members.
    InvalidMembershipChange,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader(Some(leader)) => write!(f, "not the leader: {leader} leads"),
            ProposeError::NotLeader(None) => f.write_str("not the leader, and no leader is known"),
            ProposeError::TooManyUncommitted => f.write_str("too many entries await commitment"),
            ProposeError::TransferInProgress => f.write_str("a leadership transfer is in progress"),
            ProposeError::MembershipChangeInProgress => f.write_str(
                "a membership change is in progress, or no entry of the leader's term is committed yet",
            ),
            ProposeError::InvalidMembershipChange => {
                f.write_str("the membership change does not fit the current members")
            }
        }
    }
}

/// The position of a proposed entry. The proposal is committed once the committed entry at this index has this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    pub term: Term,
    pub index: Index,
}

/// A member's role in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    Candidate,
    Leader,
}

/// A change of a member's state, for the operator's log.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftEvent {
    /// This member was elected in this term.
    BecameLeader(Term),
    /// This member follows another leader than before.
    LeaderChanged(MemberId, Term),
    /// This member no longer leads in this term, for the given reason.
    SteppedDown(Term, &'static str),
    /// The group was bootstrapped with this many members.
    Bootstrapped(usize),
    /// This member's store is lost or outdated: it grants no vote until it has caught up.
    RecoveryStarted,
    RecoveryFinished,
    /// A member still sent messages as leader of a term that has ended.
    StaleLeader(MemberId, Term),
}

/// A committed snapshot or entry for the application, which receives them in log order.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// Replaces the state that results from all that was committed before.
    Snapshot(Snapshot),
    Entry(Entry),
}

/// What the caller has to do, in this order: write the records, send the messages, apply what was committed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    pub records: Vec<Record>,
    /// Messages that may be sent before the records above are durable.
    pub messages: Vec<(MemberId, Message)>,
    pub committed: Vec<Committed>,
    pub events: Vec<RaftEvent>,
}

/// What a leader knows of a follower's log.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The next entry to send.
    next_index: Index,
    /// The follower durably holds the leader's log up to here.
    match_index: Index,
    /// When the latest request that the follower answered was sent, by the leader's clock.
    acknowledged_at: Ms,
}

/// The state that a member has only as leader.
#[derive(Clone, Debug)]
struct Leadership {
    peers: BTreeMap<MemberId, Progress>,
    /// The index of the first entry of this leader's term.
    first_index: Index,
    next_heartbeat_at: Ms,
    /// The leadership transfer in progress: its target, and when it is given up.
    transfer: Option<(MemberId, Ms)>,
}

/// A member's role, with the state that the role needs.
#[derive(Clone, Debug)]
enum RoleState {
    Follower {
        leader: Option<MemberId>,
    },
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<MemberId>,
        /// The candidate's own vote counts once this many records are durable.
        own_vote_record: u64,
    },
    Leader(Leadership),
}

/// One member of a Raft group.
pub struct RaftNode {
    id: MemberId,
    config: RaftConfig,
    rng: fastrand::Rng,
    /// The configured members, which are in force until the log has a membership.
    configured_members: Members,
    run: Run,
    peer_runs: BTreeMap<MemberId, KnownRun>,
    recovery: RecoveryState,
    handshake: Handshake,
    next_handshake_at: Ms,
    store_id: u64,
    bootstrap_stores: BTreeMap<MemberId, u64>,
    term: Term,
    voted_for: Option<MemberId>,
    log: Log,
    commit_index: Index,
    last_applied: Index,
    state: RoleState,
    /// When a leader's last message arrived.
    leader_contact_at: Ms,
    election_due_at: Ms,
    records_written: u64,
    records_durable: u64,
    /// This member's own log is durable up to here.
    durable_index: Index,
    /// Log entries that are not durable yet: once the given number of records is durable, the log is durable up to the
    /// given index.
    pending_syncs: VecDeque<(u64, Index)>,
    /// Messages, each with the number of records that have to be durable before it is sent.
    deferred_messages: VecDeque<(u64, MemberId, Message)>,
    store_failing: bool,
    actions: Actions,
}

impl RaftNode {
    /// Starts a member with the state read from its store. `configured_members` bootstrap the group if all of their
    /// stores are empty.
    pub fn start(
        id: MemberId,
        config: RaftConfig,
        configured_members: Members,
        seed: u64,
        now: Ms,
        stored: StoredState,
    ) -> RaftNode {
        let mut rng = fastrand::Rng::with_seed(seed);
        let handshake = Handshake::new(rng.u64(..));
        let store_id = stored.store_id.unwrap_or_else(|| rng.u64(..));
        let recovery = match stored {
            StoredState { bootstrapped: false, .. } => RecoveryState::Empty,
            StoredState { recovering: true, .. } => RecoveryState::Recovering { term: None },
            _ => RecoveryState::Verifying { until: now + config.election_timeout_ms },
        };
        let (commit_index, durable_index) = (stored.log.snapshot.last_index, stored.log.last().0);
        let mut node = RaftNode {
            id,
            config,
            rng,
            configured_members,
            run: Run(stored.run.0 + 1),
            peer_runs: stored.peer_runs,
            recovery,
            handshake,
            next_handshake_at: now,
            store_id,
            bootstrap_stores: stored.bootstrap_stores,
            term: stored.term,
            voted_for: stored.vote,
            log: stored.log,
            commit_index,
            last_applied: commit_index,
            state: RoleState::Follower { leader: None },
            // Counts as contact with a leader: a lease that this member supported before a crash may still hold.
            leader_contact_at: now,
            election_due_at: now,
            records_written: 0,
            records_durable: 0,
            durable_index,
            pending_syncs: VecDeque::new(),
            deferred_messages: VecDeque::new(),
            store_failing: false,
            actions: Actions::default(),
        };
        node.reset_election_timer(now);
        if stored.store_id.is_none() {
            node.write(Record::StoreId(store_id));
        }
        node.write(Record::Run(node.run));
        if commit_index > Index(0) {
            node.actions.committed.push(Committed::Snapshot(node.log.snapshot.clone()));
        }
        node
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    pub fn role(&self) -> Role {
        match self.state {
            RoleState::Follower { .. } => Role::Follower,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// The leader of the current term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        match self.state {
            RoleState::Follower { leader } => leader,
            RoleState::Candidate { .. } => None,
            RoleState::Leader(_) => Some(self.id),
        }
    }

    pub fn term(&self) -> Term {
        self.term
    }

    pub fn run(&self) -> Run {
        self.run
    }

    pub fn recovery_state(&self) -> RecoveryState {
        self.recovery
    }

    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The membership in force: the latest one in the log, or the configured members if the log has none.
    pub fn members(&self) -> &Members {
        if self.log.members().is_empty() {
            &self.configured_members
        } else {
            self.log.members()
        }
    }

    fn voters(&self) -> impl Iterator<Item = &MemberId> {
        self.members().iter().filter(|(_, member)| member.role == MemberRole::Voter).map(|(id, _)| id)
    }

    fn other_voters(&self) -> impl Iterator<Item = &MemberId> {
        self.voters().filter(|id| **id != self.id)
    }

    fn is_voter(&self) -> bool {
        self.voters().any(|id| *id == self.id)
    }

    /// The highest value that a majority of the voters has reached; `None` if there are no voters.
    fn majority<T: Copy + PartialOrd>(&self, value_of: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(|id| value_of(*id)).collect();
        values.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
        values.get(values.len() / 2).copied()
    }

    /// Restarts the election timer with a random timeout between the shortest and the longest.
    fn reset_election_timer(&mut self, now: Ms) {
        self.election_due_at = now + self.config.election_timeout_ms * (1.0 + self.rng.f64());
    }

    /// Queues a record for the caller to write.
    fn write(&mut self, record: Record) {
        self.records_written += 1;
        self.actions.records.push(record);
    }

    /// Sends a message once all records written so far are durable.
    fn send_when_durable(&mut self, to: MemberId, message: Message) {
        if to == self.id {
            return;
        }
        if self.records_durable >= self.records_written {
            return self.actions.messages.push((to, message));
        }
        if self.deferred_messages.len() >= MAX_DEFERRED_MESSAGES {
            self.deferred_messages.pop_front();
        }
        self.deferred_messages.push_back((self.records_written, to, message));
    }

    /// Sends a message that does not depend on records being durable.
    fn send_now(&mut self, to: MemberId, message: Message) {
        if to != self.id {
            self.actions.messages.push((to, message));
        }
    }

    /// When [`RaftNode::tick`] is due next.
    pub fn next_tick(&self) -> Ms {
        let role_timer = match &self.state {
            RoleState::Leader(leadership) => leadership.next_heartbeat_at,
            _ => self.election_due_at,
        };
        match self.recovery {
            RecoveryState::Ready => role_timer,
            RecoveryState::Verifying { until } => role_timer.min(self.next_handshake_at).min(until),
            _ => role_timer.min(self.next_handshake_at),
        }
    }

    /// Sends the handshake requests and heartbeats that are due, and starts an election when the election timeout has
    /// passed.
    pub fn tick(&mut self, now: Ms) {
        if self.recovery != RecoveryState::Ready {
            self.continue_handshake(now);
        }
        match &self.state {
            RoleState::Leader(leadership) if now >= leadership.next_heartbeat_at => self.heartbeat(now),
            RoleState::Leader(_) => {}
            _ if now >= self.election_due_at => {
                self.reset_election_timer(now);
                if self.may_vote() && self.is_voter() {
                    self.start_election(now, true, false);
                }
            }
            _ => {}
        }
    }

    fn may_vote(&self) -> bool {
        self.recovery == RecoveryState::Ready && !self.store_failing
    }

    // Handshake and recovery after a start.

    fn continue_handshake(&mut self, now: Ms) {
        if now >= self.next_handshake_at {
            self.next_handshake_at = now + self.config.heartbeat_interval_ms;
            let request = Message::HandshakeRequest { run: self.run, nonce: self.handshake.nonce };
            let others: Vec<MemberId> = self.members().keys().copied().collect();
            // This run's record has to be durable before another member notes the run.
            others.into_iter().for_each(|other| self.send_when_durable(other, request.clone()));
        }
        self.update_recovery(now);
    }

    /// Advances the recovery state according to the answers received so far.
    fn update_recovery(&mut self, now: Ms) {
        if self.handshake.known_run() >= self.run {
            self.run = Run(self.handshake.known_run().0 + 1);
            self.write(Record::Run(self.run));
            self.handshake.clear();
            return self.start_recovery(now);
        }
        match self.recovery {
            RecoveryState::Ready => {}
            RecoveryState::Empty => {
                let stores = match self.handshake.bootstrap_stores() {
                    // Another member has already bootstrapped the group with this store, so this member does the same.
                    Some(stores) if stores.get(&self.id) == Some(&self.store_id) => Some(stores.clone()),
                    // The store with which this member bootstrapped the group is lost, or the member was added later.
                    Some(_) => return self.start_recovery(now),
                    None if self.is_voter() => self.handshake.empty_stores(self.other_voters()),
                    None => None,
                };
                if let Some(mut stores) = stores {
                    stores.insert(self.id, self.store_id);
                    self.bootstrap(stores);
                }
            }
            RecoveryState::Verifying { until } => {
                let answered = self.handshake.answered_count(self.other_voters()) + 1;
                if now >= until || answered > self.voters().count() / 2 {
                    self.recovery = RecoveryState::Ready;
                }
            }
            RecoveryState::Recovering { term: None } => {
                if let Some(term) = self.handshake.highest_term(self.other_voters()) {
                    let term = term.max(self.term);
                    // This member may have voted in that term, so its vote goes to itself: it grants none to others,
                    // and does not stand for election either while it recovers.
                    (self.term, self.voted_for) = (term, Some(self.id));
                    self.write(Record::TermAndVote(term, self.voted_for));
                    self.recovery = RecoveryState::Recovering { term: Some(term) };
                }
            }
            RecoveryState::Recovering { .. } => {}
        }
    }

    /// Starts the group's log with the configured members; `stores` are the store ids of its voters.
    fn bootstrap(&mut self, stores: BTreeMap<MemberId, u64>) {
        let snapshot = Snapshot { members: self.configured_members.clone(), ..Snapshot::default() };
        self.log = Log::new(snapshot.clone());
        self.bootstrap_stores = stores.clone();
        self.write(Record::Bootstrapped(snapshot, stores));
        self.recovery = RecoveryState::Ready;
        self.actions.events.push(RaftEvent::Bootstrapped(self.members().len()));
    }

    fn start_recovery(&mut self, now: Ms) {
        if matches!(self.recovery, RecoveryState::Recovering { .. }) {
            return;
        }
        self.become_follower(now, self.term, None, "its store is lost or outdated");
        self.write(Record::RecoveryStarted);
        self.recovery = RecoveryState::Recovering { term: None };
        self.actions.events.push(RaftEvent::RecoveryStarted);
    }

    /// Finishes the recovery if this member's log, which matches the leader's up to `match_index`, holds all that the
    /// leader's log held when the leader was asked: any committed entry that this member has lost is among these.
    fn finish_recovery(&mut self, leader: MemberId, match_index: Index) {
        let RecoveryState::Recovering { term: Some(adopted_term) } = self.recovery else { return };
        let required_index = self.handshake.leader_last_index(leader, self.term);
        if self.term >= adopted_term && required_index.is_some_and(|required| match_index >= required) {
            self.write(Record::RecoveryFinished);
            self.recovery = RecoveryState::Ready;
            self.actions.events.push(RaftEvent::RecoveryFinished);
        }
    }

    // Elections.

    /// Starts a pre-vote, or an election in the next term. `leadership_transfer` marks an election that the leader
    /// asked for.
    fn start_election(&mut self, now: Ms, pre_vote: bool, leadership_transfer: bool) {
        let term = Term(self.term.0 + 1);
        if !pre_vote {
            (self.term, self.voted_for) = (term, Some(self.id));
            self.write(Record::TermAndVote(term, self.voted_for));
        }
        self.state =
            RoleState::Candidate { pre_vote, votes: BTreeSet::new(), own_vote_record: self.records_written };
        let request = Message::RequestVote { term, last: self.log.last(), pre_vote, leadership_transfer };
        let others: Vec<MemberId> = self.other_voters().copied().collect();
        for other in others {
            match pre_vote {
                true => self.send_now(other, request.clone()),
                false => self.send_when_durable(other, request.clone()),
            }
        }
        self.count_votes(now);
    }

    /// With a majority of the votes, goes from the pre-vote to the election, or becomes leader. This member's own vote
    /// counts once it is durable.
    fn count_votes(&mut self, now: Ms) {
        let RoleState::Candidate { pre_vote, votes, own_vote_record } = &mut self.state else { return };
        if *pre_vote || self.records_durable >= *own_vote_record {
            votes.insert(self.id);
        }
        let (pre_vote, votes) = (*pre_vote, votes.clone());
        let voter_count = self.voters().count();
        if self.voters().filter(|id| votes.contains(id)).count() <= voter_count / 2 {
            return;
        }
        match pre_vote {
            true => self.start_election(now, false, false),
            false => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: Ms) {
        let (last_index, _) = self.log.last();
        let progress =
            Progress { next_index: last_index.next(), match_index: Index(0), acknowledged_at: now };
        let peers = self.members().keys().filter(|id| **id != self.id);
        let peers = peers.map(|id| (*id, progress)).collect();
        self.state = RoleState::Leader(Leadership {
            peers,
            first_index: last_index.next(),
            next_heartbeat_at: now,
            transfer: None,
        });
        self.actions.events.push(RaftEvent::BecameLeader(self.term));
        self.append_as_leader(vec![Payload::NoOp]);
        self.heartbeat(now);
    }

    /// Becomes a follower, in the later of `term` and the current term. `leader` is the leader to follow, if it is
    /// known. If this member was the leader, `reason` is reported as the cause.
    fn become_follower(&mut self, now: Ms, term: Term, leader: Option<MemberId>, reason: &'static str) {
        if matches!(self.state, RoleState::Leader(_)) {
            self.actions.events.push(RaftEvent::SteppedDown(self.term, reason));
        }
        if term > self.term {
            (self.term, self.voted_for) = (term, None);
            self.write(Record::TermAndVote(term, None));
        }
        if leader.is_some() && leader != self.leader() {
            self.actions.events.push(RaftEvent::LeaderChanged(leader.unwrap_or(self.id), self.term));
        }
        if !matches!(self.state, RoleState::Follower { .. }) {
            self.reset_election_timer(now);
        }
        self.state = RoleState::Follower { leader };
    }

    fn handle_request_vote(
        &mut self,
        now: Ms,
        sender: MemberId,
        term: Term,
        (last_index, last_term): (Index, Term),
        pre_vote: bool,
        leadership_transfer: bool,
    ) {
        // A leader whose last message arrived within the shortest election timeout may hold a lease that relies on this
        // member granting no vote (Ongaro's dissertation, 4.2.3 and 6.4.1).
        let lease_may_hold = self.leader().is_some()
            && now < self.leader_contact_at + self.config.election_timeout_ms
            || now < self.earliest_vote_at();
        if lease_may_hold && !leadership_transfer && term > self.term {
            return;
        }
        let (own_last_index, own_last_term) = self.log.last();
        let up_to_date = (last_term, last_index) >= (own_last_term, own_last_index);
        if pre_vote {
            let granted = term > self.term && up_to_date && self.may_vote();
            return self.send_now(
                sender,
                Message::RequestVoteReply { term: if granted { term } else { self.term }, granted, pre_vote },
            );
        }
        if term > self.term {
            self.become_follower(now, term, None, "another member stands for election in a later term");
        }
        let vote_available = self.voted_for.is_none_or(|candidate| candidate == sender);
        let granted = term == self.term && vote_available && up_to_date && self.may_vote();
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(sender);
            self.write(Record::TermAndVote(self.term, self.voted_for));
            self.reset_election_timer(now);
        }
        self.send_when_durable(sender, Message::RequestVoteReply { term: self.term, granted, pre_vote });
    }

    /// The earliest time at which this member may vote in a later term, unless the leader asks for the election: the
    /// shortest election timeout after the last contact with a leader. The start counts as contact, since the member
    /// may have supported a leader's lease before it. A member without any state has supported none.
    fn earliest_vote_at(&self) -> Ms {
        match self.log.is_empty() && self.term == Term(0) {
            true => f64::NEG_INFINITY,
            false => self.leader_contact_at + self.config.election_timeout_ms,
        }
    }

    fn handle_vote_reply(&mut self, now: Ms, sender: MemberId, term: Term, granted: bool, pre_vote: bool) {
        let RoleState::Candidate { pre_vote: in_pre_vote, votes, .. } = &mut self.state else { return };
        let election_term = if pre_vote { Term(self.term.0 + 1) } else { self.term };
        if granted && *in_pre_vote == pre_vote && term == election_term {
            votes.insert(sender);
            self.count_votes(now);
        }
    }

    // The leader's part: proposals, replication, commitment, leases and leadership transfer.

    /// Appends entries of the current term. Returns the position of the last one.
    fn append_as_leader(&mut self, payloads: Vec<Payload>) -> LogPosition {
        let (last_index, term) = (self.log.last().0, self.term);
        let entry = |(index, payload)| Entry { index: Index(index), term, payload };
        let entries: Vec<Entry> = (last_index.0 + 1..).zip(payloads).map(entry).collect();
        self.write_entries(entries);
        LogPosition { term, index: self.log.last().0 }
    }

    /// Adds entries to the log and writes them. Entries that they replace no longer count as durable. Returns false,
    /// and changes nothing, if the log does not accept them ([`Log::replace_from`]).
    fn write_entries(&mut self, entries: Vec<Entry>) -> bool {
        let Some(first) = entries.first().map(|entry| entry.index) else { return true };
        if !self.log.replace_from(&entries) {
            return false;
        }
        let previous = first.previous();
        self.durable_index = self.durable_index.min(previous);
        self.pending_syncs.iter_mut().for_each(|(_, index)| *index = (*index).min(previous));
        self.write(Record::Entries(entries));
        self.pending_syncs.push_back((self.records_written, self.log.last().0));
        true
    }

    /// Sends each follower a heartbeat with the entries that it lacks; steps down without contact with a quorum.
    fn heartbeat(&mut self, now: Ms) {
        if let RoleState::Leader(leadership) = &mut self.state {
            leadership.next_heartbeat_at = now + self.config.heartbeat_interval_ms;
            if leadership.transfer.is_some_and(|(_, until)| now >= until) {
                leadership.transfer = None;
            }
        }
        if self
            .quorum_contact_at(now)
            .is_none_or(|contact_at| now > contact_at + self.config.election_timeout_ms)
        {
            return self.become_follower(now, self.term, None, "it has no quorum");
        }
        self.replicate(now, true);
        self.advance_commit_index(now);
    }

    /// The latest time at which a majority of the voters is known to have accepted this leader.
    fn quorum_contact_at(&self, now: Ms) -> Option<Ms> {
        let RoleState::Leader(leadership) = &self.state else { return None };
        let acknowledged_at =
            |id: MemberId| leadership.peers.get(&id).map_or(f64::NEG_INFINITY, |peer| peer.acknowledged_at);
        self.majority(|id| if id == self.id { now } else { acknowledged_at(id) })
    }

    /// Until when no other member can lead, by this member's own clock and the configured clock drift; `None` if this
    /// member holds no lease. An action that must not happen twice needs a fencing token as well: the process may be
    /// suspended between this check and the action.
    pub fn lease(&self, now: Ms) -> Option<Ms> {
        let RoleState::Leader(leadership) = &self.state else { return None };
        if self.commit_index < leadership.first_index || leadership.transfer.is_some() {
            return None;
        }
        let until = self.quorum_contact_at(now)?
            + self.config.election_timeout_ms * (1.0 - self.config.max_clock_drift_ratio);
        (now < until).then_some(until)
    }

    /// Sends entries to the followers that lack some, or a heartbeat to all followers.
    fn replicate(&mut self, now: Ms, to_all: bool) {
        let RoleState::Leader(leadership) = &self.state else { return };
        let last_index = self.log.last().0;
        let due = |(_, peer): &(&MemberId, &Progress)| to_all || peer.next_index <= last_index;
        let peers: Vec<MemberId> = leadership.peers.iter().filter(due).map(|(id, _)| *id).collect();
        peers.into_iter().for_each(|peer| self.replicate_to(now, peer));
    }

    /// Sends a follower the next entries, or the snapshot if the log no longer has them.
    fn replicate_to(&mut self, now: Ms, to: MemberId) {
        let (term, commit_index) = (self.term, self.commit_index);
        let max_entries = self.config.max_entries_per_message;
        let RoleState::Leader(leadership) = &mut self.state else { return };
        let Some(peer) = leadership.peers.get_mut(&to) else { return };
        let previous_index = peer.next_index.previous();
        let message = match self.log.term_at(previous_index) {
            Some(previous_term) => {
                let entries = self.log.entries_from(peer.next_index, max_entries).to_vec();
                peer.next_index = Index(peer.next_index.0 + entries.len() as u64);
                let previous = (previous_index, previous_term);
                Message::AppendEntries { term, sent_at: now, previous, entries, commit_index }
            }
            None => {
                let snapshot = self.log.snapshot.clone();
                peer.next_index = snapshot.last_index.next();
                Message::InstallSnapshot { term, sent_at: now, snapshot }
            }
        };
        self.send_now(to, message);
    }

    fn handle_append_reply(&mut self, now: Ms, sender: MemberId, sent_at: Ms, success: bool, index: Index) {
        let last_index = self.log.last().0;
        let RoleState::Leader(leadership) = &mut self.state else { return };
        let Some(peer) = leadership.peers.get_mut(&sender) else { return };
        peer.acknowledged_at = peer.acknowledged_at.max(sent_at.min(now));
        if success {
            peer.match_index = peer.match_index.max(index.min(last_index));
            peer.next_index = peer.next_index.max(peer.match_index.next());
        } else {
            peer.next_index = index.next().min(last_index.next()).max(peer.match_index.next());
        }
        if peer.next_index <= last_index {
            self.replicate_to(now, sender);
        }
        self.advance_commit_index(now);
        self.send_timeout_now();
    }

    /// Commits what a majority holds durably. Only entries of the leader's own term are counted; those before them are
    /// committed with them (the Raft paper, 5.4.2).
    fn advance_commit_index(&mut self, now: Ms) {
        let RoleState::Leader(leadership) = &self.state else { return };
        let match_index = |id: MemberId| leadership.peers.get(&id).map_or(Index(0), |peer| peer.match_index);
        let replicated = self.majority(|id| if id == self.id { self.durable_index } else { match_index(id) });
        let Some(replicated) = replicated.filter(|replicated| *replicated > self.commit_index) else {
            return;
        };
        if self.log.term_at(replicated) == Some(self.term) {
            self.commit_up_to(replicated);
            self.replicate(now, true);
            self.step_down_if_removed(now);
        }
    }

    /// A leader that was removed steps down once its removal is committed.
    fn step_down_if_removed(&mut self, now: Ms) {
        if !self.is_voter() && self.commit_index >= self.log.membership_index() {
            self.become_follower(now, self.term, None, "it is no longer a voter");
        }
    }

    /// Raises the commit index and hands out the newly committed entries.
    fn commit_up_to(&mut self, index: Index) {
        self.commit_index = index.max(self.commit_index);
        while self.last_applied < self.commit_index {
            let Some(entry) = self.log.get(self.last_applied.next()) else { return };
            self.actions.committed.push(Committed::Entry(entry.clone()));
            self.last_applied = self.last_applied.next();
        }
    }

    /// The leadership, if this member leads and accepts proposals.
    fn leadership(&self) -> Result<&Leadership, ProposeError> {
        match &self.state {
            RoleState::Leader(leadership) if leadership.transfer.is_some() => {
                Err(ProposeError::TransferInProgress)
            }
            RoleState::Leader(leadership) => Ok(leadership),
            _ => Err(ProposeError::NotLeader(self.leader())),
        }
    }

    /// Proposes a command, as leader.
    pub fn propose(&mut self, now: Ms, command: Vec<u8>) -> Result<LogPosition, ProposeError> {
        self.leadership()?;
        if self.log.last().0 .0 - self.commit_index.0 >= self.config.max_uncommitted_entries as u64 {
            return Err(ProposeError::TooManyUncommitted);
        }
        let position = self.append_as_leader(vec![Payload::Command(command)]);
        self.replicate(now, false);
        self.advance_commit_index(now);
        Ok(position)
    }

    /// Proposes a single membership change, as leader.
    pub fn change_members(
        &mut self,
        now: Ms,
        change: &MembershipChange,
    ) -> Result<LogPosition, ProposeError> {
        let leadership = self.leadership()?;
        // Only one change at a time; and none before an entry of the leader's own term is committed, since otherwise
        // two leaders' changes could take effect with disjoint quorums (a flaw found after the dissertation).
        if self.commit_index < leadership.first_index || self.commit_index < self.log.membership_index() {
            return Err(ProposeError::MembershipChangeInProgress);
        }
        let mut members = self.members().clone();
        match change {
            MembershipChange::Add(id, address) => {
                if members.contains_key(id) {
                    return Err(ProposeError::InvalidMembershipChange);
                }
                members.insert(*id, Member { address: address.clone(), role: MemberRole::Learner });
            }
            MembershipChange::Promote(id) => {
                let caught_up =
                    leadership.peers.get(id).is_some_and(|peer| peer.match_index >= self.commit_index);
                let learner = members.get_mut(id).filter(|member| member.role == MemberRole::Learner);
                match learner.filter(|_| caught_up) {
                    Some(member) => member.role = MemberRole::Voter,
                    None => return Err(ProposeError::InvalidMembershipChange),
                }
            }
            MembershipChange::Remove(id) => {
                // The last voter cannot be removed: without it nothing could ever be committed again.
                let is_last_voter = self.voters().eq([id]);
                if is_last_voter || members.remove(id).is_none() {
                    return Err(ProposeError::InvalidMembershipChange);
                }
            }
        }
        let (own_id, next_index) = (self.id, self.log.last().0.next());
        let position = self.append_as_leader(vec![Payload::Membership(members.clone())]);
        if let RoleState::Leader(leadership) = &mut self.state {
            leadership.peers.retain(|id, _| members.contains_key(id));
            for id in members.keys().filter(|id| **id != own_id) {
                leadership.peers.entry(*id).or_insert(Progress {
                    next_index,
                    match_index: Index(0),
                    acknowledged_at: now,
                });
            }
        }
        self.replicate(now, true);
        self.advance_commit_index(now);
        Ok(position)
    }

    /// Starts to transfer the leadership to the reachable voter whose log is the most complete, for example before a
    /// planned shutdown. Returns false if this member does not lead or reaches no other voter.
    pub fn transfer_leadership(&mut self, now: Ms) -> bool {
        let until = now + self.config.election_timeout_ms;
        let target = match &self.state {
            RoleState::Leader(leadership) => {
                let voters = self.other_voters().filter_map(|id| Some((*id, leadership.peers.get(id)?)));
                let reachable =
                    voters.filter(|(_, peer)| now <= peer.acknowledged_at + self.config.election_timeout_ms);
                reachable.max_by_key(|(_, peer)| peer.match_index).map(|(id, _)| id)
            }
            _ => None,
        };
        if let (Some(target), RoleState::Leader(leadership)) = (target, &mut self.state) {
            leadership.transfer = Some((target, until));
            self.send_timeout_now();
        }
        target.is_some()
    }

    /// Asks the target of a leadership transfer to stand for election once it holds the complete log.
    fn send_timeout_now(&mut self) {
        let RoleState::Leader(leadership) = &self.state else { return };
        let Some((target, _)) = leadership.transfer else { return };
        if leadership.peers.get(&target).is_some_and(|peer| peer.match_index == self.log.last().0) {
            self.send_now(target, Message::TimeoutNow { term: self.term });
        }
    }

    // The follower's part: entries and snapshots from the leader.

    /// Accepts the sender as leader, unless its term has ended.
    fn accept_leader(&mut self, now: Ms, sender: MemberId, term: Term) -> bool {
        if term < self.term {
            self.actions.events.push(RaftEvent::StaleLeader(sender, term));
            // Informs the sender of the later term. The reply does not answer a vote request.
            self.send_when_durable(
                sender,
                Message::RequestVoteReply { term: self.term, granted: false, pre_vote: false },
            );
            return false;
        }
        if self.recovery == RecoveryState::Empty {
            // The group was bootstrapped without this member's store.
            self.start_recovery(now);
        }
        self.become_follower(now, term, Some(sender), "another member leads in a later term");
        self.leader_contact_at = now;
        self.reset_election_timer(now);
        true
    }

    fn handle_append_entries(
        &mut self,
        sender: MemberId,
        sent_at: Ms,
        (previous_index, previous_term): (Index, Term),
        entries: Vec<Entry>,
        leader_commit: Index,
    ) {
        let (term, last_index) = (self.term, self.log.last().0);
        let rejection = |index: Index| Message::AppendEntriesReply { term, sent_at, success: false, index };
        let snapshot_index = self.log.snapshot.last_index;
        // The entries in the snapshot were committed, so they match.
        let matches =
            previous_index < snapshot_index || self.log.term_at(previous_index) == Some(previous_term);
        if !matches {
            let next_previous = previous_index.previous().min(last_index).max(snapshot_index);
            return self.send_when_durable(sender, rejection(next_previous));
        }
        let match_index = Index(previous_index.0 + entries.len() as u64);
        let differs =
            |entry: &Entry| entry.index > snapshot_index && self.log.term_at(entry.index) != Some(entry.term);
        if let Some(first) = entries.iter().position(differs) {
            // A committed entry is never replaced: a sender that asks to replace one is not a member of this group.
            if entries[first].index <= self.commit_index || !self.write_entries(entries[first..].to_vec()) {
                return;
            }
        }
        let match_index = match_index.max(snapshot_index);
        self.commit_up_to(leader_commit.min(match_index));
        self.send_when_durable(
            sender,
            Message::AppendEntriesReply { term, sent_at, success: true, index: match_index },
        );
        self.finish_recovery(sender, match_index);
    }

    fn handle_install_snapshot(&mut self, sender: MemberId, sent_at: Ms, snapshot: Snapshot) {
        let (term, match_index) = (self.term, snapshot.last_index);
        if match_index > self.commit_index {
            self.log = Log::new(snapshot.clone());
            (self.commit_index, self.last_applied) = (match_index, match_index);
            self.write(Record::Snapshot(snapshot.clone()));
            self.durable_index = Index(0);
            self.pending_syncs.clear();
            self.pending_syncs.push_back((self.records_written, match_index));
            self.actions.committed.push(Committed::Snapshot(snapshot));
        }
        self.send_when_durable(
            sender,
            Message::AppendEntriesReply { term, sent_at, success: true, index: match_index },
        );
        self.finish_recovery(sender, match_index);
    }

    /// Handles a message from another member.
    pub fn handle_message(&mut self, now: Ms, sender: MemberId, message: Message) {
        match message {
            Message::HandshakeRequest { run, nonce } => self.handle_handshake_request(sender, run, nonce),
            Message::HandshakeReply {
                run,
                known_run,
                term,
                last_index,
                is_leader,
                store_id,
                bootstrap_stores,
            } => {
                if run == self.run {
                    let answer =
                        Answer { known_run, term, last_index, is_leader, store_id, bootstrap_stores };
                    self.handshake.record(sender, answer);
                    self.update_recovery(now);
                }
            }
            Message::RequestVote { term, last, pre_vote, leadership_transfer } => {
                self.handle_request_vote(now, sender, term, last, pre_vote, leadership_transfer);
            }
            // A granted pre-vote names the next term, which has not started.
            Message::RequestVoteReply { term, granted, pre_vote }
                if term > self.term && !(granted && pre_vote) =>
            {
                self.become_follower(now, term, None, "another member is in a later term");
            }
            Message::RequestVoteReply { term, granted, pre_vote } => {
                self.handle_vote_reply(now, sender, term, granted, pre_vote)
            }
            Message::AppendEntries { term, sent_at, previous, entries, commit_index } => {
                if self.accept_leader(now, sender, term) {
                    self.handle_append_entries(sender, sent_at, previous, entries, commit_index);
                }
            }
            Message::InstallSnapshot { term, sent_at, snapshot } => {
                if self.accept_leader(now, sender, term) {
                    self.handle_install_snapshot(sender, sent_at, snapshot);
                }
            }
            Message::AppendEntriesReply { term, .. } if term > self.term => {
                self.become_follower(now, term, None, "another member is in a later term");
            }
            Message::AppendEntriesReply { term, sent_at, success, index } => {
                if term == self.term {
                    self.handle_append_reply(now, sender, sent_at, success, index);
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.term && self.leader() == Some(sender) && self.may_vote() && self.is_voter() {
                    self.start_election(now, false, true);
                }
            }
            // The proposer learns of the outcome from the committed entries, and proposes again if it was rejected.
            Message::Propose { command } => _ = self.propose(now, command),
        }
    }

    fn handle_handshake_request(&mut self, sender: MemberId, run: Run, nonce: u64) {
        let (known_run, is_new) = self.peer_runs.entry(sender).or_default().observe(run, nonce);
        if is_new {
            self.write(Record::PeerRun(sender, run, nonce));
            let next_index = self.log.last().0.next();
            if let RoleState::Leader(leadership) = &mut self.state {
                // Replies of the previous run no longer count: the member may have lost the entries that it confirmed.
                let peer = leadership.peers.get_mut(&sender);
                peer.into_iter()
                    .for_each(|peer| (peer.next_index, peer.match_index) = (next_index, Index(0)));
            }
        }
        let bootstrap_stores = (self.recovery != RecoveryState::Empty).then(|| self.bootstrap_stores.clone());
        let (term, last_index) = (self.term, self.log.last().0);
        let is_leader = matches!(self.state, RoleState::Leader(_));
        let store_id = self.store_id;
        let reply = Message::HandshakeReply {
            run,
            known_run,
            term,
            last_index,
            is_leader,
            store_id,
            bootstrap_stores,
        };
        self.send_when_durable(sender, reply);
    }

    // Notices from the store, and compaction.

    /// Records that the first `records_durable` of the records handed out since the start are durable.
    pub fn handle_durable(&mut self, now: Ms, records_durable: u64) {
        self.records_durable = self.records_durable.max(records_durable);
        while self.pending_syncs.front().is_some_and(|(record, _)| *record <= self.records_durable) {
            let (_, index) = self.pending_syncs.pop_front().unwrap_or_default();
            self.durable_index = self.durable_index.max(index);
        }
        while self.deferred_messages.front().is_some_and(|(record, _, _)| *record <= self.records_durable) {
            let sendable = self.deferred_messages.pop_front().map(|(_, to, message)| (to, message));
            self.actions.messages.extend(sendable);
        }
        self.count_votes(now);
        self.advance_commit_index(now);
    }

    /// Sets whether the store is failing. A member that cannot write durably steps down, and grants no vote until the
    /// store works again.
    pub fn set_store_failing(&mut self, now: Ms, failing: bool) {
        if failing && !self.store_failing && !matches!(self.state, RoleState::Follower { .. }) {
            self.become_follower(now, self.term, None, "its store is failing");
        }
        self.store_failing = failing;
    }

    /// Replaces the log up to and including `index` with a snapshot of the application's `state`. Returns the records
    /// that are to replace all records written so far; `None` if the index is not applied yet or not in the log.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) -> Option<Vec<Record>> {
        if index > self.last_applied || !self.log.compact(index, state) {
            return None;
        }
        Some(self.state_records())
    }

    /// The records that make up this member's complete durable state.
    fn state_records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for (peer, known) in &self.peer_runs {
            // The nonce of the previous run is never compared: any start with its number is outdated by now.
            records.push(Record::PeerRun(*peer, known.previous, 0));
            records.push(Record::PeerRun(*peer, known.run, known.nonce));
        }
        records.push(Record::StoreId(self.store_id));
        records.push(Record::Run(self.run));
        if self.recovery != RecoveryState::Empty {
            records.push(Record::Bootstrapped(self.log.snapshot.clone(), self.bootstrap_stores.clone()));
        }
        if matches!(self.recovery, RecoveryState::Recovering { .. }) {
            records.push(Record::RecoveryStarted);
        }
        records.push(Record::TermAndVote(self.term, self.voted_for));
        records.push(Record::Snapshot(self.log.snapshot.clone()));
        let entries = self.log.entries_from(self.log.snapshot.last_index.next(), usize::MAX - 1);
        let batch_size = self.config.max_entries_per_message.max(1);
        records.extend(entries.chunks(batch_size).map(|batch| Record::Entries(batch.to_vec())));
        records
    }
}
