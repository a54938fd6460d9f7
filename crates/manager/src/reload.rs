//! Reload of the configuration of a running manager.

use std::net::SocketAddr;

use tokio::sync::watch;

use crate::launch::{FixedConfig, Launch};

/// Gives a running manager a new configuration, from any thread.
#[derive(Clone)]
pub struct Reloader {
    fixed: FixedConfig,
    discovery: watch::Sender<SocketAddr>,
    /// Whether the list of workers comes from relays, in which case discovery is not dialled.
    uses_relays: bool,
}

impl Reloader {
    pub(crate) fn new(launch: &Launch) -> Reloader {
        let discovery = watch::Sender::new(launch.discovery);
        let uses_relays = !launch.subscription.relays.is_empty();
        Reloader { fixed: launch.fixed.clone(), discovery, uses_relays }
    }

    /// The address of discovery, with its later changes.
    pub(crate) fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Applies the discovery address of the new configuration, the only setting that can change at run time. Other
    /// changes are logged and ignored; an invalid configuration changes nothing. The last reload wins. Open connections
    /// and tables are kept.
    pub fn reload(&self, new_config: Result<Launch, String>) {
        let launch = match new_config {
            Ok(launch) => launch,
            Err(error) => return tracing::error!("the configuration stays as it was: {error}"),
        };
        for setting in self.fixed.changed_settings(&launch.fixed) {
            tracing::warn!("{setting} cannot change while running and stays as it was");
        }
        let address_changed = self
            .discovery
            .send_if_modified(|address| std::mem::replace(address, launch.discovery) != launch.discovery);
        if address_changed && self.uses_relays {
            tracing::warn!("the new discovery address has no effect: the list is taken from relays");
        }
        tracing::info!("the configuration was read again: discovery is at {}", launch.discovery);
    }
}
