//! What passes between the threads: a box for each other manager, each under its own lock, and what wakes the thread that
//! decides in common. Every queue is bounded; a box that is full costs its own manager alone.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use juniperrail_consensus::{Index, MemberId, Message, Run, SwimMessage};
use juniperrail_failover::Evidence;
use juniperrail_schedule::{ClaimTask, TryOutcome};
use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};
use tokio::sync::{watch, Notify};

/// Messages from one manager that may wait; its connection is read no further meanwhile.
pub const INBOX: usize = 512;
/// Messages to one manager that may wait; beyond it the oldest are lost.
pub const OUTBOX: usize = 256;
/// Messages of one manager that are taken in one turn, so that a flood has no more of it than others.
pub const A_TURN: usize = 64;
/// Effects that may wait to be sent.
pub const EFFECTS: usize = 1024;

/// What one manager says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Consensus(Message),
    Membership(SwimMessage),
    /// For the leader, beside the log: what is lost or late is told anew a period later.
    Evidence(Evidence),
}

impl PeerMessage {
    /// Of two that wait for the same manager in the same slot the newer one says all.
    fn slot(&self) -> Option<u8> {
        match self {
            PeerMessage::Consensus(message) => message.slot(),
            PeerMessage::Membership(message) => message.slot(),
            PeerMessage::Evidence(_) => Some(32),
        }
    }
}

/// Connections of one other manager, in the order in which they said who they are.
pub type LinkNumber = u64;

#[derive(Default)]
struct Boxes {
    inbox: VecDeque<PeerMessage>,
    outbox: VecDeque<PeerMessage>,
    /// The start of the other manager that the inbox is from.
    run: Run,
    /// The connection that it speaks over: only the latest one counts.
    link: LinkNumber,
    lost: u64,
}

/// One other manager's box.
pub struct Box {
    boxes: Mutex<Boxes>,
    /// Something is to be sent.
    pub filled: Notify,
    /// The inbox has room again.
    pub drained: Notify,
    /// The latest connection, for those before it.
    latest: watch::Sender<LinkNumber>,
}

impl Box {
    fn new() -> Box {
        let (filled, drained, latest) = (Notify::new(), Notify::new(), watch::Sender::new(0));
        Box { boxes: Mutex::default(), filled, drained, latest }
    }

    /// Takes a message to be sent.
    pub fn send(&self, parcel: PeerMessage) {
        let mut boxes = self.boxes.lock();
        let slot = parcel.slot();
        let older = slot.and_then(|slot| boxes.outbox.iter().position(|known| known.slot() == Some(slot)));
        if let Some(older) = older {
            boxes.outbox.remove(older);
        } else if boxes.outbox.len() >= OUTBOX {
            boxes.outbox.pop_front();
            boxes.lost += 1;
        }
        boxes.outbox.push_back(parcel);
        drop(boxes);
        self.filled.notify_one();
    }

    pub fn to_send(&self) -> Option<PeerMessage> {
        self.boxes.lock().outbox.pop_front()
    }

    /// A new connection, by its number; `None` for one of an earlier start. What an earlier start of that manager said is
    /// void, and so is what an earlier connection still brings: it would come behind what was said later.
    pub fn connected(&self, run: Run) -> Option<LinkNumber> {
        let mut boxes = self.boxes.lock();
        if run < boxes.run {
            return None;
        }
        if run > boxes.run {
            boxes.inbox.clear();
            boxes.run = run;
        }
        boxes.link += 1;
        self.latest.send_replace(boxes.link);
        Some(boxes.link)
    }

    /// Ends once another connection took the place of this one.
    pub async fn replaced(&self, link: LinkNumber) {
        // The sender is this box's own.
        _ = self.latest.subscribe().wait_for(|latest| *latest != link).await;
    }

    /// Takes what came, unless it is of an earlier connection. Whether there is room for more.
    pub fn came(&self, link: LinkNumber, parcel: PeerMessage) -> bool {
        let mut boxes = self.boxes.lock();
        if link == boxes.link {
            boxes.inbox.push_back(parcel);
        }
        boxes.inbox.len() < INBOX
    }

    fn take(&self) -> Vec<PeerMessage> {
        let mut boxes = self.boxes.lock();
        let most = boxes.inbox.len().min(A_TURN);
        let some = boxes.inbox.drain(..most).collect();
        drop(boxes);
        self.drained.notify_one();
        some
    }

    /// Messages that were to be sent and had no room.
    pub fn lost(&self) -> u64 {
        self.boxes.lock().lost
    }
}

#[derive(Default)]
struct Bell {
    rung: bool,
    leave: bool,
    left: bool,
    stop: bool,
}

/// What has come to its end outside.
pub struct Acted {
    pub fence: Index,
    pub turn: TryOutcome,
}

pub struct Mail {
    boxes: Mutex<BTreeMap<MemberId, Arc<Box>>>,
    bell: Mutex<Bell>,
    ringing: Condvar,
    pub stopped: Notify,
    /// Members or their addresses are others than before.
    pub moved: Notify,
    effects: Mutex<VecDeque<ClaimTask>>,
    pub effect: Notify,
    acted: Mutex<Vec<Acted>>,
    /// What the one that decides for proxies has seen last; a newer word takes its place.
    evidence: Mutex<Option<Evidence>>,
}

/// What a turn begins with.
pub struct Rung {
    pub leave: bool,
    pub stop: bool,
}

impl Mail {
    pub fn new() -> Mail {
        Mail {
            boxes: Mutex::default(),
            bell: Mutex::default(),
            ringing: Condvar::new(),
            stopped: Notify::new(),
            moved: Notify::new(),
            effects: Mutex::default(),
            effect: Notify::new(),
            acted: Mutex::default(),
            evidence: Mutex::default(),
        }
    }

    /// The box of a manager; made if it is new.
    pub fn of(&self, member: MemberId) -> Arc<Box> {
        self.boxes.lock().entry(member).or_insert_with(|| Arc::new(Box::new())).clone()
    }

    /// Those that are here, and no others.
    pub fn keep(&self, members: &[MemberId]) {
        self.boxes.lock().retain(|id, _| members.contains(id));
    }

    fn all(&self) -> Vec<(MemberId, Arc<Box>)> {
        self.boxes.lock().iter().map(|(id, one)| (*id, one.clone())).collect()
    }

    /// What came, by who said it; `true` where more waits.
    pub fn took(&self) -> (Vec<(MemberId, Vec<PeerMessage>)>, bool) {
        let some: Vec<(MemberId, Vec<PeerMessage>)> =
            self.all().iter().map(|(id, one)| (*id, one.take())).collect();
        let more = some.iter().any(|(_, parcels)| parcels.len() == A_TURN);
        (some, more)
    }

    pub fn lost(&self) -> u64 {
        self.all().iter().map(|(_, one)| one.lost()).sum()
    }

    pub fn wake(&self) {
        self.bell.lock().rung = true;
        self.ringing.notify_all();
    }

    /// Waits until something came, or that long.
    pub fn wait(&self, most: Duration) -> Rung {
        let mut bell = self.bell.lock();
        let until = Instant::now() + most;
        while !bell.rung && !bell.stop {
            if self.ringing.wait_until(&mut bell, until).timed_out() {
                break;
            }
        }
        bell.rung = false;
        Rung { leave: bell.leave && !bell.left, stop: bell.stop }
    }

    pub fn leave(&self, within: Duration) -> bool {
        let mut bell = self.bell.lock();
        (bell.leave, bell.rung) = (true, true);
        self.ringing.notify_all();
        let until = Instant::now() + within;
        while !bell.left && !bell.stop {
            if self.ringing.wait_until(&mut bell, until).timed_out() {
                break;
            }
        }
        bell.left
    }

    pub fn left(&self) {
        self.bell.lock().left = true;
        self.ringing.notify_all();
    }

    pub fn stop(&self) {
        self.bell.lock().stop = true;
        self.ringing.notify_all();
        self.stopped.notify_one();
    }

    /// An effect to be sent; `false` where too many wait.
    pub fn act(&self, todo: ClaimTask) -> bool {
        let mut effects = self.effects.lock();
        let room = effects.len() < EFFECTS;
        if room {
            effects.push_back(todo);
            drop(effects);
            self.effect.notify_one();
        }
        room
    }

    pub fn to_act(&self) -> Option<ClaimTask> {
        self.effects.lock().pop_front()
    }

    pub fn acted(&self, fence: Index, turn: TryOutcome) {
        self.acted.lock().push(Acted { fence, turn });
        self.wake();
    }

    pub fn met(&self, evidence: Evidence) {
        *self.evidence.lock() = Some(evidence);
        self.wake();
    }

    pub fn evidence(&self) -> Option<Evidence> {
        self.evidence.lock().take()
    }

    pub fn ended(&self) -> Vec<Acted> {
        std::mem::take(&mut *self.acted.lock())
    }
}
