//! Bounded queues between the threads of the fleet: one set for each peer, each under its own lock, and the signals
//! that wake the fleet thread. A peer whose queue is full affects only itself.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use juniperrail_consensus::{Index, MemberId, Message, Run, SwimMessage};
use juniperrail_failover::Evidence;
use juniperrail_schedule::{ClaimTask, TryOutcome};
use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};
use tokio::sync::{watch, Notify};

/// The capacity of the inbox of one peer. The peer's connection is not read while its inbox is full.
pub const INBOX_CAPACITY: usize = 512;
/// The capacity of the outbox of one peer. When it is full, the oldest message is dropped.
pub const OUTBOX_CAPACITY: usize = 256;
/// The maximum number of messages of one peer that are handled in one pass, so that a peer that floods this manager
/// does not starve the others.
pub const MAX_MESSAGES_PER_PASS: usize = 64;
/// The maximum number of effects that wait to be sent.
pub const EFFECT_QUEUE_CAPACITY: usize = 1024;

/// The slot of evidence; no consensus or membership message has this slot.
const EVIDENCE_SLOT: u8 = 32;

/// A message from one manager to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Consensus(Message),
    Membership(SwimMessage),
    /// Sent to the leader outside the log: if it is lost or late, the next period's evidence replaces it.
    Evidence(Evidence),
}

impl PeerMessage {
    /// A newer message supersedes a queued one to the same peer in the same slot.
    fn slot(&self) -> Option<u8> {
        match self {
            PeerMessage::Consensus(message) => message.slot(),
            PeerMessage::Membership(message) => message.slot(),
            PeerMessage::Evidence(_) => Some(EVIDENCE_SLOT),
        }
    }
}

/// Numbers the connections of one peer in the order of their handshakes.
pub type ConnectionNumber = u64;

#[derive(Default)]
struct QueueState {
    inbox: VecDeque<PeerMessage>,
    outbox: VecDeque<PeerMessage>,
    /// The run of the peer whose messages the inbox holds.
    run: Run,
    /// The peer's latest connection; messages of earlier ones are dropped.
    connection: ConnectionNumber,
    /// Messages that were dropped because the outbox was full.
    lost_count: u64,
}

/// The queues of one peer.
pub struct PeerQueues {
    state: Mutex<QueueState>,
    /// A message was added to the outbox.
    pub message_queued: Notify,
    /// The inbox has room again.
    pub inbox_drained: Notify,
    /// The number of the latest connection. Notifies the tasks of earlier connections that they were replaced.
    latest_connection: watch::Sender<ConnectionNumber>,
}

impl PeerQueues {
    fn new() -> PeerQueues {
        let (message_queued, inbox_drained, latest_connection) =
            (Notify::new(), Notify::new(), watch::Sender::new(0));
        PeerQueues { state: Mutex::default(), message_queued, inbox_drained, latest_connection }
    }

    /// Queues a message to the peer. It replaces a queued message in the same slot.
    pub fn send(&self, message: PeerMessage) {
        let mut state = self.state.lock();
        let slot = message.slot();
        let superseded =
            slot.and_then(|slot| state.outbox.iter().position(|queued| queued.slot() == Some(slot)));
        if let Some(superseded) = superseded {
            state.outbox.remove(superseded);
        } else if state.outbox.len() >= OUTBOX_CAPACITY {
            state.outbox.pop_front();
            state.lost_count += 1;
        }
        state.outbox.push_back(message);
        drop(state);
        self.message_queued.notify_one();
    }

    pub fn next_outgoing(&self) -> Option<PeerMessage> {
        self.state.lock().outbox.pop_front()
    }

    /// Registers a new connection and returns its number; `None` if it is from an earlier run of the peer. Messages of
    /// an earlier run are discarded, and so are those that an earlier connection still delivers: they would arrive
    /// after messages that were sent later.
    pub fn register_connection(&self, run: Run) -> Option<ConnectionNumber> {
        let mut state = self.state.lock();
        if run < state.run {
            return None;
        }
        if run > state.run {
            state.inbox.clear();
            state.run = run;
        }
        state.connection += 1;
        self.latest_connection.send_replace(state.connection);
        Some(state.connection)
    }

    /// Completes once another connection has replaced this one.
    pub async fn wait_until_replaced(&self, connection: ConnectionNumber) {
        // Waiting can't fail: `self` owns the sender.
        _ = self.latest_connection.subscribe().wait_for(|latest| *latest != connection).await;
    }

    /// Queues a received message, unless its connection was replaced. Returns whether there is room for more.
    pub fn receive(&self, connection: ConnectionNumber, message: PeerMessage) -> bool {
        let mut state = self.state.lock();
        if connection == state.connection {
            state.inbox.push_back(message);
        }
        state.inbox.len() < INBOX_CAPACITY
    }

    /// Takes the oldest received messages, at most [`MAX_MESSAGES_PER_PASS`].
    fn take_received(&self) -> Vec<PeerMessage> {
        let mut state = self.state.lock();
        let count = state.inbox.len().min(MAX_MESSAGES_PER_PASS);
        let messages = state.inbox.drain(..count).collect();
        drop(state);
        self.inbox_drained.notify_one();
        messages
    }

    /// Messages that were dropped because the outbox was full.
    pub fn messages_lost(&self) -> u64 {
        self.state.lock().lost_count
    }
}

#[derive(Default)]
struct WakeState {
    woken: bool,
    leave_requested: bool,
    left: bool,
    stopped: bool,
}

/// The outcome of an effect that was sent for a claim.
pub struct CompletedEffect {
    /// The fencing token of the claim.
    pub fence: Index,
    pub outcome: TryOutcome,
}

/// All queues and signals between the threads of the fleet.
pub struct Channels {
    peers: Mutex<BTreeMap<MemberId, Arc<PeerQueues>>>,
    wake_state: Mutex<WakeState>,
    wake_condvar: Condvar,
    /// The fleet was stopped, which ends the `links` thread.
    pub stopped: Notify,
    /// Members were added or removed, or their addresses changed.
    pub members_changed: Notify,
    effects: Mutex<VecDeque<ClaimTask>>,
    pub effect_queued: Notify,
    completed_effects: Mutex<Vec<CompletedEffect>>,
    /// The latest evidence of the planner thread that the fleet thread has not taken yet.
    evidence: Mutex<Option<Evidence>>,
}

/// The requests that the fleet thread finds when it wakes up.
pub struct Wakeup {
    pub leave: bool,
    pub stop: bool,
}

impl Channels {
    pub fn new() -> Channels {
        Channels {
            peers: Mutex::default(),
            wake_state: Mutex::default(),
            wake_condvar: Condvar::new(),
            stopped: Notify::new(),
            members_changed: Notify::new(),
            effects: Mutex::default(),
            effect_queued: Notify::new(),
            completed_effects: Mutex::default(),
            evidence: Mutex::default(),
        }
    }

    /// Returns the queues of a peer and creates them if they do not exist.
    pub fn peer(&self, member: MemberId) -> Arc<PeerQueues> {
        self.peers.lock().entry(member).or_insert_with(|| Arc::new(PeerQueues::new())).clone()
    }

    /// Drops the queues of all peers that are not among `members`.
    pub fn retain_peers(&self, members: &[MemberId]) {
        self.peers.lock().retain(|id, _| members.contains(id));
    }

    fn all_peers(&self) -> Vec<(MemberId, Arc<PeerQueues>)> {
        self.peers.lock().iter().map(|(id, queues)| (*id, queues.clone())).collect()
    }

    /// Takes received messages of each peer. The flag is `true` if more messages may be waiting.
    pub fn take_received(&self) -> (Vec<(MemberId, Vec<PeerMessage>)>, bool) {
        let received: Vec<(MemberId, Vec<PeerMessage>)> =
            self.all_peers().iter().map(|(id, queues)| (*id, queues.take_received())).collect();
        let more_may_wait = received.iter().any(|(_, messages)| messages.len() == MAX_MESSAGES_PER_PASS);
        (received, more_may_wait)
    }

    pub fn messages_lost(&self) -> u64 {
        self.all_peers().iter().map(|(_, queues)| queues.messages_lost()).sum()
    }

    /// Wakes the fleet thread.
    pub fn wake(&self) {
        self.wake_state.lock().woken = true;
        self.wake_condvar.notify_all();
    }

    /// Waits until the fleet thread is woken or stopped, for `timeout` at most.
    pub fn wait(&self, timeout: Duration) -> Wakeup {
        let mut state = self.wake_state.lock();
        let deadline = Instant::now() + timeout;
        while !state.woken && !state.stopped {
            if self.wake_condvar.wait_until(&mut state, deadline).timed_out() {
                break;
            }
        }
        state.woken = false;
        Wakeup { leave: state.leave_requested && !state.left, stop: state.stopped }
    }

    /// Asks the fleet thread to leave the fleet and waits until it has left. Returns whether it left before the
    /// timeout.
    pub fn leave(&self, timeout: Duration) -> bool {
        let mut state = self.wake_state.lock();
        (state.leave_requested, state.woken) = (true, true);
        self.wake_condvar.notify_all();
        let deadline = Instant::now() + timeout;
        while !state.left && !state.stopped {
            if self.wake_condvar.wait_until(&mut state, deadline).timed_out() {
                break;
            }
        }
        state.left
    }

    /// Reports that this manager has left the fleet.
    pub fn confirm_left(&self) {
        self.wake_state.lock().left = true;
        self.wake_condvar.notify_all();
    }

    /// Asks the threads of the fleet to end.
    pub fn stop(&self) {
        self.wake_state.lock().stopped = true;
        self.wake_condvar.notify_all();
        self.stopped.notify_one();
    }

    /// Queues an effect to be sent; `false` if the queue is full.
    pub fn queue_effect(&self, task: ClaimTask) -> bool {
        let mut effects = self.effects.lock();
        let has_room = effects.len() < EFFECT_QUEUE_CAPACITY;
        if has_room {
            effects.push_back(task);
            drop(effects);
            self.effect_queued.notify_one();
        }
        has_room
    }

    pub fn next_effect(&self) -> Option<ClaimTask> {
        self.effects.lock().pop_front()
    }

    pub fn complete_effect(&self, fence: Index, outcome: TryOutcome) {
        self.completed_effects.lock().push(CompletedEffect { fence, outcome });
        self.wake();
    }

    pub fn report_evidence(&self, evidence: Evidence) {
        *self.evidence.lock() = Some(evidence);
        self.wake();
    }

    pub fn take_evidence(&self) -> Option<Evidence> {
        self.evidence.lock().take()
    }

    pub fn take_completed_effects(&self) -> Vec<CompletedEffect> {
        std::mem::take(&mut *self.completed_effects.lock())
    }
}
