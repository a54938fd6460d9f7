//! The northbound side: a thread and a runtime of its own, so that handshakes and XML never take a turn's time. All
//! that passes between it and the decisions are two bounded queues.

use std::net::SocketAddr;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use juniperrail_model::View;
use juniperrail_netconf::Listeners;
use juniperrail_northbound::{DatastoreManager, NOTICE_QUEUE_CAPACITY, REQUEST_QUEUE_CAPACITY};
use tokio::sync::{mpsc, oneshot};

use crate::decider::NorthboundChannels;
use crate::launch::Launch;

/// How much this thread gives way to the one that decides where they share a core.
const NICE: i32 = 19;

/// What listens for the north, before anybody is served.
pub struct Northbound {
    listeners: Listeners,
    keeper: DatastoreManager,
    asks: mpsc::Receiver<juniperrail_northbound::PlannerRequest>,
}

impl Northbound {
    /// Listens where the operator's file says; `None` where it says nothing of the kind.
    pub fn bind(launch: &Launch) -> Result<Option<Northbound>, String> {
        let Some(operator) = &launch.operator_config else { return Ok(None) };
        let netconf = View::new(&operator.schema, &operator.data).inner("northbound").inner("netconf");
        let beside = |name: &str| operator.file.resolve(name);
        let shown = operator.file.path().display();
        let listeners = Listeners::bind(netconf, &beside).map_err(|why| format!("{shown}: {why}"))?;
        let Some(listeners) = listeners else { return Ok(None) };
        let (asks, asked) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        let (schema, data, file) = (operator.schema.clone(), operator.data.clone(), operator.file.clone());
        let keeper = DatastoreManager::new(schema, unix, data, Some(file), asks)
            .map_err(|why| format!("{shown}: {why}"))?;
        Ok(Some(Northbound { listeners, keeper, asks: asked }))
    }

    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        self.listeners.addresses()
    }

    /// Serves on a thread of its own until the second value is dropped. A panic there ends the north alone.
    pub fn start(self) -> (NorthboundChannels, oneshot::Sender<()>) {
        let Northbound { listeners, keeper, asks } = self;
        let (notices, noticed) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
        let (stop, stopped) = oneshot::channel::<()>();
        let serve = move || {
            if let Err(why) = rustix::process::nice(NICE) {
                tracing::warn!("the northbound thread cannot give way to others: {why}");
            }
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(why) => return tracing::error!("nobody is served from the north: {why}"),
            };
            runtime.block_on(async {
                tokio::select! {
                    () = keeper.run(noticed) => {}
                    () = listeners.serve(keeper.clone()) => {}
                    _ = stopped => {}
                }
            });
        };
        if let Err(why) = thread::Builder::new().name("north".into()).spawn(serve) {
            tracing::error!("nobody is served from the north: {why}");
        }
        (NorthboundChannels { requests: asks, notices }, stop)
    }
}
