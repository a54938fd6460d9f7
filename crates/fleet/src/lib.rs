//! The runtime of the consensus, failover and schedule crates, which are free of I/O: messages, durable
//! acknowledgements, time and randomness go into them, and the actions that they return are carried out here.
//!
//! Three threads run next to the planner thread, which never waits for them: `fleet` owns the Raft node and the
//! replicated state, `links` transfers messages between managers and sends effects, `store` writes and syncs the log.
//! State that two threads share is split into parts, each under its own lock. A thread holds at most one of these locks
//! at a time and none during I/O:
//!
//! | shared state | written by | read by |
//! | --- | --- | --- |
//! | the `PeerQueues` of each other manager | `links`, `fleet` | both |
//! | completed effects | `links` | `fleet` |
//! | evidence that was not sent yet, and the weight ratios of the active plan | the planner; `fleet` | `fleet`; the planner |
//! | [`FleetStatus`], a snapshot for operators | `fleet` | any thread |
//!
//! Without a configured fleet there is no thread, socket or file.

mod channels;
mod config;
mod disk;
mod effects;
mod fleet_thread;
mod links;
mod replicated_state;
mod shards;
mod status;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use juniperrail_consensus::StoredState;
use juniperrail_failover::{Evidence, Zone};
use juniperrail_store::{OpenError, Opened, Store, Writer, WriterTiming};
use parking_lot::Mutex;
use tokio::sync::watch;

pub use channels::PeerMessage;
pub use config::{FleetConfig, MemberAddresses};
pub use replicated_state::LogCommand;
pub use shards::Shards;
pub use status::{FleetStatus, ScheduleStatus};

use crate::channels::Channels;
use crate::disk::DiskWithFaultPoints;
use crate::fleet_thread::FleetThread;

/// A configured fleet member with a bound listener, not started yet.
pub struct FleetListener {
    config: FleetConfig,
    listener: TcpListener,
}

/// A running fleet member. Dropping it ends its threads.
pub struct Fleet {
    channels: Arc<Channels>,
    status: Arc<Mutex<FleetStatus>>,
    weight_ratios: watch::Receiver<Arc<ZoneWeightRatios>>,
    thread: Option<JoinHandle<()>>,
}

impl FleetListener {
    /// Other managers connect to `listener`.
    pub fn new(config: FleetConfig, listener: TcpListener) -> FleetListener {
        FleetListener { config, listener }
    }

    /// The bound address; `None` if the operating system does not report it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Starts the fleet thread, which opens the store and starts the other threads.
    pub fn start(self) -> Result<Fleet, String> {
        let channels = Arc::new(Channels::new());
        let status = Arc::new(Mutex::new(FleetStatus::default()));
        let (thread_channels, thread_status) = (channels.clone(), status.clone());
        let (weight_ratios_sender, weight_ratios) = watch::channel(Arc::default());
        let run_thread = move || {
            serve(&self.config, &self.listener, &thread_channels, thread_status, weight_ratios_sender)
        };
        let spawn_result = thread::Builder::new().name("fleet".into()).spawn(run_thread);
        let thread = spawn_result.map_err(|error| format!("the fleet thread cannot be started: {error}"))?;
        Ok(Fleet { channels, status, weight_ratios, thread: Some(thread) })
    }
}

/// Opens the store. Retries while the disk fails or another process holds the lock. Returns `None` on a stop request,
/// and if the store is damaged or not readable by this version, since its contents then cannot be restored: this
/// manager then plans without the other managers, as it does without a quorum.
fn open_store(
    config: &FleetConfig,
    channels: &Channels,
) -> Option<(Store<DiskWithFaultPoints>, StoredState)> {
    let path = config.store_path.display();
    let retry_interval = Duration::from_secs_f64(config.raft.election_timeout_ms / 1000.0);
    let mut failure_logged = false;
    let Opened { store, recovered } = loop {
        let disk_result = DiskWithFaultPoints::open(&config.store_path).map_err(OpenError::Io);
        let error = match disk_result.and_then(|disk| Store::open(disk, config.store_limits)) {
            Ok(opened) => break opened,
            // The disk may recover, and the other process may end.
            Err(error @ (OpenError::Io(_) | OpenError::Locked)) => error,
            Err(error) => {
                tracing::error!("fleet: this manager plans without the others: {path}: {error}");
                return None;
            }
        };
        if !std::mem::replace(&mut failure_logged, true) {
            tracing::error!("fleet: {path}: {error}; retrying");
        }
        let retry_at = Instant::now() + retry_interval;
        while Instant::now() < retry_at {
            if channels.wait(retry_at.saturating_duration_since(Instant::now())).stop {
                return None;
            }
        }
    };
    if recovered.torn_bytes > 0 {
        tracing::warn!(
            "fleet: {path}: the last {} bytes were not completely written and are ignored",
            recovered.torn_bytes
        );
    }
    let records = recovered.snapshot.iter().chain(recovered.records.iter().map(|(_, record)| record));
    match StoredState::replay(records.map(Vec::as_slice)) {
        Ok(stored_state) => Some((store, stored_state)),
        Err(error) => {
            tracing::error!("fleet: this manager plans without the others: {path}: {error}");
            None
        }
    }
}

/// Opens the store, and runs the fleet thread and the links until the channels are stopped.
fn serve(
    config: &FleetConfig,
    listener: &TcpListener,
    channels: &Arc<Channels>,
    status: Arc<Mutex<FleetStatus>>,
    weight_ratios: watch::Sender<Arc<ZoneWeightRatios>>,
) {
    let Some((store, stored_state)) = open_store(config, channels) else { return channels.stop() };
    let writer_channels = channels.clone();
    // Votes and acknowledgements are sent only once their records are synced: both delays defer them.
    let timing =
        WriterTiming { batch_delay: Duration::from_micros(500), retry_interval: Duration::from_millis(100) };
    let writer = match Writer::start(store, timing, move |_| writer_channels.wake()) {
        Ok(writer) => writer,
        Err(error) => {
            return tracing::error!(
                "fleet: this manager plans without the others: no thread for the store: {error}"
            )
        }
    };
    let fleet_thread =
        FleetThread::new(config, stored_state, writer, channels.clone(), status, weight_ratios);
    let links =
        links::Links::new(config, listener, channels.clone(), fleet_thread.run(), fleet_thread.peer_table());
    thread::scope(|scope| {
        let _stop_on_exit = StopOnExit(channels);
        let builder = thread::Builder::new().name("links".into());
        match builder.spawn_scoped(scope, || links.serve()) {
            Ok(_) => fleet_thread.serve(),
            Err(error) => {
                tracing::error!("fleet: this manager plans without the others: no thread for links: {error}")
            }
        }
    });
}

/// Stops the links when the fleet thread ends, also by a panic.
struct StopOnExit<'a>(&'a Channels);

impl Drop for StopOnExit<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            tracing::error!("fleet: this manager plans without the others: the fleet thread panicked");
        }
        self.0.stop();
    }
}

impl Fleet {
    /// A handle for the planner thread.
    pub fn handle(&self) -> FleetHandle {
        FleetHandle {
            status: self.status.clone(),
            channels: self.channels.clone(),
            weight_ratios: self.weight_ratios.clone(),
        }
    }

    /// Leaves the fleet, as on SIGTERM: announces it to the other managers, transfers the leadership if this manager is
    /// the leader, and waits until this manager works on no claim. Returns whether that was done before the timeout.
    pub fn leave(&self, timeout: Duration) -> bool {
        self.channels.leave(timeout)
    }
}

/// The fraction of its weight that each zone has under the active plan.
pub type ZoneWeightRatios = BTreeMap<Zone, f64>;

/// The planner's handle of the fleet. Only [`next_weight_ratios`](Self::next_weight_ratios) waits.
#[derive(Clone)]
pub struct FleetHandle {
    status: Arc<Mutex<FleetStatus>>,
    channels: Arc<Channels>,
    weight_ratios: watch::Receiver<Arc<ZoneWeightRatios>>,
}

impl FleetHandle {
    /// The latest status snapshot.
    pub fn status(&self) -> FleetStatus {
        self.status.lock().clone()
    }

    /// Reports evidence to the leader. It replaces earlier evidence that was not sent yet.
    pub fn report_evidence(&self, evidence: Evidence) {
        self.channels.report_evidence(evidence);
    }

    /// Waits until another plan is active. Never completes once the fleet thread has ended.
    pub async fn next_weight_ratios(&mut self) -> Arc<ZoneWeightRatios> {
        match self.weight_ratios.changed().await {
            Ok(()) => self.weight_ratios.borrow_and_update().clone(),
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.channels.stop();
        // A panic of the thread was logged when it occurred.
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
    }
}
