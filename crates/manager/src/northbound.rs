//! The northbound management interface (NETCONF). It has a thread and a runtime of its own, so that handshakes and XML
//! never delay a planner turn. Two bounded queues connect it with the decider.

use std::net::SocketAddr;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use juniperrail_model::View;
use juniperrail_netconf::Listeners;
use juniperrail_northbound::{DatastoreManager, NOTICE_QUEUE_CAPACITY, REQUEST_QUEUE_CAPACITY};
use tokio::sync::{mpsc, oneshot};

use crate::decider::NorthboundChannels;
use crate::launch::Launch;

/// Niceness of the northbound thread: the lowest priority, so that the decider's thread runs first on a shared core.
const NICENESS: i32 = 19;

/// The bound NETCONF listeners and the datastores, not served yet.
pub struct Northbound {
    listeners: Listeners,
    datastore_manager: DatastoreManager,
    requests: mpsc::Receiver<juniperrail_northbound::PlannerRequest>,
}

impl Northbound {
    /// Binds the listeners of the operator's file; `None` where it configures none.
    pub fn bind(launch: &Launch) -> Result<Option<Northbound>, String> {
        let Some(config) = &launch.operator_config else { return Ok(None) };
        let netconf = View::new(&config.schema, &config.data).container("northbound").container("netconf");
        let resolve = |name: &str| config.file.resolve(name);
        let file_path = config.file.path().display();
        let listeners =
            Listeners::bind(netconf, &resolve).map_err(|error| format!("{file_path}: {error}"))?;
        let Some(listeners) = listeners else { return Ok(None) };
        let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        let schema = config.schema.clone();
        let data = config.data.clone();
        let file = config.file.clone();
        let datastore_manager = DatastoreManager::new(schema, unix_ms, data, Some(file), request_sender)
            .map_err(|error| format!("{file_path}: {error}"))?;
        Ok(Some(Northbound { listeners, datastore_manager, requests }))
    }

    /// The addresses of NETCONF over SSH and over TLS.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        self.listeners.addresses()
    }

    /// Serves on a thread of its own until the returned sender is dropped. A panic on that thread ends only the
    /// northbound interface.
    pub fn start(self) -> (NorthboundChannels, oneshot::Sender<()>) {
        let Northbound { listeners, datastore_manager, requests } = self;
        let (notices, notice_receiver) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
        let (stop, stop_receiver) = oneshot::channel::<()>();
        let serve = move || {
            if let Err(error) = rustix::process::nice(NICENESS) {
                tracing::warn!("cannot lower the priority of the northbound thread: {error}");
            }
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return tracing::error!("NETCONF is not served: {error}"),
            };
            runtime.block_on(async {
                tokio::select! {
                    () = datastore_manager.run(notice_receiver) => {}
                    () = listeners.serve(datastore_manager.clone()) => {}
                    _ = stop_receiver => {}
                }
            });
        };
        if let Err(error) = thread::Builder::new().name("north".into()).spawn(serve) {
            tracing::error!("NETCONF is not served: {error}");
        }
        (NorthboundChannels { requests, notices }, stop)
    }
}
