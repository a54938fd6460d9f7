//! A juniperrail manager as a library: the planner with its network connections.
//!
//! ```no_run
//! use juniperrail_manager::{Launch, Manager};
//!
//! # async fn run() -> Result<(), String> {
//! let manager = Manager::bind(Launch::from_env()?).await?;
//! println!("listening on {}", manager.address());
//! manager.serve().await; // never returns; dropping the future stops the manager and closes its connections
//! # Ok(())
//! # }
//! ```

mod clock;
mod connection_error;
mod connection_tracker;
mod decider;
mod discovery;
mod fleet;
mod http;
mod inbound;
mod launch;
mod limiter;
mod line_buffer;
mod list_assembler;
mod listening;
mod listing;
mod log_summary;
mod northbound;
mod order_writer;
mod probes;
mod protocol;
mod reload;
mod scope_filter;
mod streams;
mod subscription;
mod upstream;
mod worker_registry;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_fleet::{Fleet, FleetConfig, FleetListener};
use juniperrail_limits::{HoldLimits, LongMessageLimiter};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

pub use decider::TURN_TARGET;
pub use launch::Launch;
pub use reload::Reloader;

/// Inbound messages that can be queued for the next turn. When the queue is full, senders wait.
const INBOX_CAPACITY: usize = 4096;

/// Connections that hold a line of up to 1 MiB at a time. All others have a small buffer.
const MAX_LONG_LINES: usize = 4;

/// How long such a connection may take for its line while others wait.
const LONG_LINE_LIMITS: HoldLimits =
    HoldLimits { max_pause: Duration::from_millis(100), max_hold: Duration::from_secs(1) };

/// Minimum listen backlog: that of tokio's own listeners.
const MIN_BACKLOG: u32 = 1024;

/// Upper limit on the time in which a worker must answer a probe.
const MAX_PROBE_ANSWER_MS: f64 = 60_000.0;

/// A manager whose sockets are bound. [`Manager::serve`] runs it on a single-threaded runtime.
pub struct Manager {
    launch: Launch,
    listener: TcpListener,
    address: SocketAddr,
    reloader: Reloader,
    northbound: Option<northbound::Northbound>,
    fleet: Option<Arc<Fleet>>,
}

/// Transfers the leadership of the fleet before a manager shuts down.
#[derive(Clone)]
pub struct ShutdownHandle(Option<Arc<Fleet>>);

impl ShutdownHandle {
    /// Transfers the leadership and waits until that is done, at most for `timeout`. Without a fleet it returns at
    /// once.
    pub async fn transfer_leadership(self, timeout: Duration) {
        if let Some(fleet) = self.0 {
            // `Fleet::leave` blocks on a condition variable, so it must not run on the event loop.
            _ = tokio::task::spawn_blocking(move || fleet.leave(timeout)).await;
        }
    }
}

impl Manager {
    /// Binds the listeners and joins the fleet. Connections are not served yet.
    pub async fn bind(mut launch: Launch) -> Result<Manager, String> {
        let listen = launch.fixed.listen;
        let listen_error = |error| format!("cannot listen on {listen}: {error}");
        // After another manager dies, all its proxies may connect here during a single turn. A connection attempt that
        // finds the backlog full is retried only after a second.
        let backlog = (launch.fixed.settings.proxy_count as u32).max(MIN_BACKLOG);
        let listener = listening::listen(listen, backlog).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let reloader = Reloader::new(&launch);
        let northbound = northbound::Northbound::bind(&launch)?;
        let fleet = launch.operator_config.as_mut().and_then(|config| config.fleet.take());
        let fleet = match fleet {
            Some(config) => Some(Arc::new(join_fleet(config).await?)),
            None => None,
        };
        Ok(Manager { launch, listener, address, reloader, northbound, fleet })
    }

    /// The address that the manager listens on, with the actual port if port 0 was configured.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The addresses of NETCONF over SSH and over TLS, where the operator's file configures them.
    pub fn netconf_addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        self.northbound.as_ref().map_or((None, None), northbound::Northbound::addresses)
    }

    /// Returns a handle that reloads the configuration while the manager serves.
    pub fn reloader(&self) -> Reloader {
        self.reloader.clone()
    }

    /// Returns a handle that hands over the leadership of the fleet before shutdown.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle(self.fleet.clone())
    }

    /// Serves and never returns. Dropping the future stops the manager and closes all its connections.
    pub async fn serve(self) {
        let Manager { mut launch, listener, address, reloader, northbound, fleet } = self;
        let fixed = launch.fixed.clone();
        let (inbound, inbox) = mpsc::channel(INBOX_CAPACITY);
        let resync = Rc::new(Notify::new());
        let latency_objectives =
            fixed.settings.operations.iter().map(|operation| operation.latency_objective);
        // A worker whose answer takes longer than the strictest latency objective counts as not answering.
        let response_timeout =
            Duration::from_secs_f64(latency_objectives.fold(MAX_PROBE_ANSWER_MS, f64::min) / 1000.0);
        let zones = Rc::<limiter::KnownZones>::default();
        let proxy_count = fixed.settings.proxy_count as u16;
        launch.zones.iter().for_each(|zone| zones.add(zone));
        let budget = limiter::Budget::new(fixed.max_sockets, proxy_count.into(), launch.zones.len());
        let probes = probes::probe_service(fixed.dial_timeout, response_timeout, budget.probes);
        let watch = discovery::Watch::new(&mut launch, reloader.discovery(), inbound.clone());
        let context = Rc::new(streams::AcceptorContext {
            inbound: inbound.clone(),
            proxy_count,
            zones: zones.clone(),
            unidentified_limiter: limiter::ConnectionLimiter::new(budget.unidentified),
            collector_limiter: limiter::ConnectionLimiter::new(budget.collectors),
            last_stream_id: Default::default(),
            open_count: Default::default(),
            max_open: budget.open,
            long_lines: LongMessageLimiter::new(MAX_LONG_LINES, LONG_LINE_LIMITS),
        });
        // Dropping the stop handle ends the northbound thread.
        let (northbound, _stop_northbound) = northbound.map(northbound::Northbound::start).unzip();
        let decider = decider::Decider::new(launch, probes, &inbound, resync.clone(), northbound, zones)
            .with_fleet(fleet.as_ref().map(|fleet| fleet.handle()));
        drop(inbound);
        tracing::info!("{} serves on {address}", fixed.name);
        tracing::debug!(
            "limits with {} descriptors and {proxy_count} proxies: {budget:?}",
            fixed.max_sockets
        );
        let tasks = async {
            tokio::join!(
                decider.run(inbox),
                watch.run(&resync),
                streams::accept(listener, context, fixed.tick)
            );
        };
        LocalSet::new().run_until(tasks).await;
    }
}

/// Joins the fleet: the managers that decide together by consensus.
async fn join_fleet(config: FleetConfig) -> Result<Fleet, String> {
    let listen = config.listen;
    // A predecessor that hands over its leadership keeps this address until that is done.
    let listener = listening::listen(listen, MIN_BACKLOG).await.and_then(TcpListener::into_std);
    let listener = listener
        .map_err(|error| format!("cannot listen on {listen} for connections from other managers: {error}"))?;
    let fleet_listener = FleetListener::new(config, listener);
    let address = fleet_listener.address().map(|address| address.to_string()).unwrap_or_default();
    tracing::info!("fleet: accepting connections from other managers on {address}");
    fleet_listener.start()
}
