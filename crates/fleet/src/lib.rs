//! The runtime of what managers decide in common. It decides nothing: messages, durable acknowledgements, time and chance
//! go in to the crates `consensus` and `schedule`, and what comes back is written, sent and done here.
//!
//! Three threads beside the one that decides for proxies, which never waits for them: `fleet` owns the council and what is
//! agreed; `links` moves bytes between managers and sends effects; `store` syncs. State that two threads touch is in
//! shards, each under its own lock, of which a thread holds one at a time, never over I/O:
//!
//! | shard | written by | read by |
//! | --- | --- | --- |
//! | a [`mail::Box`](mail) for each other manager | `links`, `fleet` | both |
//! | what has come to its end outside (effects) | `links` | `fleet` |
//! | the evidence not yet told, and the parts of a plan in force | the decider; `fleet` | `fleet`; the decider |
//! | [`FleetStatus`], a copy of what people may read | `fleet` | anybody |
//!
//! With nothing set none of this is there: no thread, no socket, no file.

mod agreed;
mod core;
mod disk;
mod effects;
mod links;
mod mail;
mod seen;
mod setting;
mod shards;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use juniperrail_consensus::StoredState;
use juniperrail_failover::{Evidence, Zone};
use juniperrail_store::{Opened, Pace, Refused, Store, Writer};
use parking_lot::Mutex;
use tokio::sync::watch;

pub use agreed::LogCommand;
pub use mail::PeerMessage;
pub use seen::{FleetStatus, ScheduleStatus};
pub use setting::{FleetConfig, MemberAddresses};
pub use shards::Shards;

use crate::disk::Watched;
use crate::mail::Mail;

/// What listens, before anything is said.
pub struct FleetListener {
    setting: FleetConfig,
    listener: TcpListener,
}

/// A running part of the fleet. Dropping it ends its threads.
pub struct Fleet {
    mail: Arc<Mail>,
    seen: Arc<Mutex<FleetStatus>>,
    parts: watch::Receiver<Arc<ZoneWeightRatios>>,
    thread: Option<JoinHandle<()>>,
}

impl FleetListener {
    /// Other managers come to this listener.
    pub fn new(setting: FleetConfig, listener: TcpListener) -> FleetListener {
        FleetListener { setting, listener }
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Starts the threads.
    pub fn start(self) -> Result<Fleet, String> {
        let mail = Arc::new(Mail::new());
        let seen = Arc::new(Mutex::new(FleetStatus::default()));
        let (own, shown) = (mail.clone(), seen.clone());
        let (hand, parts) = watch::channel(Arc::default());
        let serve = move || serve(&self.setting, &self.listener, &own, shown, hand);
        let thread = thread::Builder::new().name("fleet".into()).spawn(serve);
        let thread = thread.map_err(|why| format!("the fleet's thread cannot be started: {why}"))?;
        Ok(Fleet { mail, seen, parts, thread: Some(thread) })
    }
}

/// The store, once it opens. A disk that fails is tried again; what is damaged is not guessed at: `None`, and this manager
/// decides alone, as it does without a quorum.
fn open(setting: &FleetConfig, mail: &Mail) -> Option<(Store<Watched>, StoredState)> {
    let shown = setting.store_path.display();
    let again = Duration::from_secs_f64(setting.raft.election_timeout_ms / 1000.0);
    let mut told = false;
    let Opened { store, recovered } = loop {
        let opened = Watched::open(&setting.store_path).map_err(Refused::Io);
        let why = match opened.and_then(|disk| Store::open(disk, setting.store_limits)) {
            Ok(opened) => break opened,
            // Another process may be about to end, and a disk well again.
            Err(why @ (Refused::Io(_) | Refused::Locked)) => why,
            Err(why) => {
                tracing::error!("fleet: this manager decides alone: {shown}: {why}");
                return None;
            }
        };
        if !std::mem::replace(&mut told, true) {
            tracing::error!("fleet: {shown}: {why}; it is tried again");
        }
        let until = Instant::now() + again;
        while Instant::now() < until {
            if mail.wait(until.saturating_duration_since(Instant::now())).stop {
                return None;
            }
        }
    };
    if recovered.torn > 0 {
        tracing::warn!("fleet: {shown}: {} bytes of a torn tail are cut", recovered.torn);
    }
    let records = recovered.snapshot.iter().chain(recovered.records.iter().map(|(_, record)| record));
    match StoredState::replay(records.map(Vec::as_slice)) {
        Ok(kept) => Some((store, kept)),
        Err(why) => {
            tracing::error!("fleet: this manager decides alone: {shown}: {why}");
            None
        }
    }
}

fn serve(
    setting: &FleetConfig,
    listener: &TcpListener,
    mail: &Arc<Mail>,
    seen: Arc<Mutex<FleetStatus>>,
    hand: watch::Sender<Arc<ZoneWeightRatios>>,
) {
    let Some((store, kept)) = open(setting, mail) else { return mail.stop() };
    let synced = mail.clone();
    let pace = Pace { gather: Duration::from_micros(500), again: Duration::from_millis(100) };
    let writer = match Writer::start(store, pace, move |_| synced.wake()) {
        Ok(writer) => writer,
        Err(why) => {
            return tracing::error!("fleet: this manager decides alone: no thread for the store: {why}")
        }
    };
    let core = core::Core::new(setting, kept, writer, mail.clone(), seen, hand);
    let links = links::Links::new(setting, listener, mail.clone(), core.run(), core.book());
    thread::scope(|scope| {
        let _over = Over(mail);
        let named = thread::Builder::new().name("links".into());
        match named.spawn_scoped(scope, || links.serve()) {
            Ok(_) => core.serve(),
            Err(why) => tracing::error!("fleet: this manager decides alone: no thread for links: {why}"),
        }
    });
}

/// The links have nothing to carry once the thread that decides in common is over, also where it panicked.
struct Over<'a>(&'a Mail);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            tracing::error!("fleet: this manager decides alone: what it decides in common failed");
        }
        self.0.stop();
    }
}

impl Fleet {
    /// For the one that decides for proxies.
    pub fn handle(&self) -> FleetHandle {
        FleetHandle { seen: self.seen.clone(), mail: self.mail.clone(), parts: self.parts.clone() }
    }

    /// Hands over what it leads and says that it ends, as on SIGTERM. Whether that was done before the time was over.
    pub fn leave(&self, within: Duration) -> bool {
        self.mail.leave(within)
    }
}

/// What part of their weight zones keep by the plan in force.
pub type ZoneWeightRatios = BTreeMap<Zone, f64>;

/// What the one that decides for proxies holds of it: nothing here waits for anybody.
#[derive(Clone)]
pub struct FleetHandle {
    seen: Arc<Mutex<FleetStatus>>,
    mail: Arc<Mail>,
    parts: watch::Receiver<Arc<ZoneWeightRatios>>,
}

impl FleetHandle {
    /// What people may read of it.
    pub fn status(&self) -> FleetStatus {
        self.seen.lock().clone()
    }

    /// Tells what was met; a word that is still there is replaced.
    pub fn report_evidence(&self, evidence: Evidence) {
        self.mail.met(evidence);
    }

    /// The next plan in force; never once the fleet is over.
    pub async fn next_weight_ratios(&mut self) -> Arc<ZoneWeightRatios> {
        match self.parts.changed().await {
            Ok(()) => self.parts.borrow_and_update().clone(),
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.mail.stop();
        // A panic there was logged as it came.
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
    }
}
