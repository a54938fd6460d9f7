//! What a running manager takes over from a configuration that took the place of the one it started with.

use std::net::SocketAddr;

use tokio::sync::watch;

use crate::launch::{Fixed, Launch};

/// Hands a running manager its configuration anew, from any thread.
#[derive(Clone)]
pub struct Reloader {
    fixed: Fixed,
    discovery: watch::Sender<SocketAddr>,
    /// The list is taken from relays, so that nobody dials discovery.
    relayed: bool,
}

impl Reloader {
    pub(crate) fn new(launch: &Launch) -> Reloader {
        let discovery = watch::Sender::new(launch.discovery);
        let relayed = !launch.subscription.relays.is_empty();
        Reloader { fixed: launch.fixed.clone(), discovery, relayed }
    }

    pub(crate) fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Takes over what may change while running, which is where discovery is; what may not is said in the log
    /// and stays, and a fault leaves all as it was. The last reload wins; connections and tables stay.
    pub fn reload(&self, told: Result<Launch, String>) {
        let launch = match told {
            Ok(launch) => launch,
            Err(why) => return tracing::error!("the configuration stays as it was: {why}"),
        };
        for what in self.fixed.other_than(&launch.fixed) {
            tracing::warn!("{what} cannot change while running and stays as it was");
        }
        let moved = self
            .discovery
            .send_if_modified(|known| std::mem::replace(known, launch.discovery) != launch.discovery);
        if moved && self.relayed {
            tracing::warn!("that discovery has moved has no effect: the list is taken from relays");
        }
        tracing::info!("the configuration was read again: discovery is at {}", launch.discovery);
    }
}
