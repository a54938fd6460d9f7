//! A juniperrail manager: the decision module behind real sockets, for embedding.
//!
//! ```no_run
//! use juniperrail_manager::{Launch, Manager};
//!
//! # async fn started() -> Result<(), String> {
//! let manager = Manager::bind(Launch::from_env()?).await?;
//! println!("listening on {}", manager.address());
//! manager.serve().await; // for good: dropping it stops the manager and ends its connections
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
mod north;
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
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

pub use decider::TURN_TARGET;
pub use launch::Launch;
pub use reload::Reloader;

/// Inbound that may wait for the next turn; who brings more has to wait.
const INBOX: usize = 4096;

/// Connections that may wait to be taken, at least: as many as the system's own listeners have.
const LEAST_BACKLOG: u32 = 1024;

/// A manager that listens already and serves once it is asked to, on a runtime of one thread.
pub struct Manager {
    launch: Launch,
    listener: TcpListener,
    address: SocketAddr,
    reloader: Reloader,
    north: Option<north::Northbound>,
    fleet: Option<Arc<Fleet>>,
}

/// To let a manager hand over what it leads in common before it ends.
#[derive(Clone)]
pub struct Leaver(Option<Arc<Fleet>>);

impl Leaver {
    /// Waits until that is done, and no longer than `within`. At once where nothing is decided in common.
    pub async fn leave(self, within: Duration) {
        if let Some(fleet) = self.0 {
            // It waits on a lock's condition, so it must not stand on the loop.
            _ = tokio::task::spawn_blocking(move || fleet.leave(within)).await;
        }
    }
}

impl Manager {
    /// Listens on the address told and nowhere else; nobody is answered yet.
    pub async fn bind(mut launch: Launch) -> Result<Manager, String> {
        let listen = launch.fixed.listen;
        let failed = |why| format!("{listen} cannot be listened on: {why}");
        // Guards against proxies that all come at once, as after a manager's death, while a turn is under way: who finds
        // no room waits a second before it knocks again.
        let backlog = (launch.fixed.settings.proxy_count as u32).max(LEAST_BACKLOG);
        let listener = listening::listen(listen, backlog).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let reloader = Reloader::new(&launch);
        let north = north::Northbound::bind(&launch)?;
        let fleet = launch.operator_config.as_mut().and_then(|operator| operator.fleet.take());
        let fleet = match fleet {
            Some(setting) => Some(Arc::new(joined(setting).await?)),
            None => None,
        };
        Ok(Manager { launch, listener, address, reloader, north, fleet })
    }

    /// Where it listens, with the port that was found if port 0 was told.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it speaks NETCONF over SSH and over TLS, if the operator's file says so.
    pub fn netconf_addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        self.north.as_ref().map_or((None, None), north::Northbound::addresses)
    }

    /// To hand it its configuration anew while it serves.
    pub fn reloader(&self) -> Reloader {
        self.reloader.clone()
    }

    /// To hand over what it leads in common before it ends.
    pub fn leaver(&self) -> Leaver {
        Leaver(self.fleet.clone())
    }

    /// Serves for good. Dropping the future stops the manager and ends all its connections.
    pub async fn serve(self) {
        let Manager { mut launch, listener, address, reloader, north, fleet } = self;
        let fixed = launch.fixed.clone();
        let (inbound, inbox) = mpsc::channel(INBOX);
        let resync = Rc::new(Notify::new());
        let objectives = fixed.settings.operations.iter().map(|op| op.latency_objective);
        // What answers later than an invocation should is as good as silent.
        let answer_within = Duration::from_secs_f64(objectives.fold(60_000.0, f64::min) / 1000.0);
        let (zones, proxies) = (Rc::<limiter::KnownZones>::default(), fixed.settings.proxy_count as u16);
        launch.zones.iter().for_each(|zone| zones.add(zone));
        let budget = limiter::Budget::new(fixed.sockets, proxies.into(), launch.zones.len());
        let probes = probes::probe_service(fixed.dial_within, answer_within, budget.probes);
        let watch = discovery::Watch::new(&mut launch, reloader.discovery(), inbound.clone());
        let context = Rc::new(streams::AcceptorContext {
            inbound: inbound.clone(),
            proxy_count: proxies,
            zones: zones.clone(),
            unidentified: limiter::ConnectionLimiter::new(budget.unidentified),
            collectors: limiter::ConnectionLimiter::new(budget.collectors),
            last_stream_id: Default::default(),
            open_count: Default::default(),
            max_open: budget.open,
        });
        // Ends the north's thread as this is dropped.
        let (north, _north) = north.map(north::Northbound::start).unzip();
        let decider = decider::Decider::new(launch, probes, &inbound, resync.clone(), north, zones)
            .with_fleet(fleet.as_ref().map(|fleet| fleet.handle()));
        drop(inbound);
        tracing::info!("{} serves on {address}", fixed.name);
        tracing::debug!("of {} descriptors beside {proxies} proxies: {budget:?}", fixed.sockets);
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

/// Takes part in what is decided in common.
async fn joined(setting: FleetConfig) -> Result<Fleet, String> {
    let at = setting.listen;
    // What was led in common is handed over while this address is still held.
    let listener = listening::listen(at, LEAST_BACKLOG).await.and_then(TcpListener::into_std);
    let listener = listener.map_err(|why| format!("{at} cannot be listened on for other managers: {why}"))?;
    let bound = FleetListener::new(setting, listener);
    let address = bound.address().map(|at| at.to_string()).unwrap_or_default();
    tracing::info!("fleet: links of other managers come to {address}");
    bound.start()
}
