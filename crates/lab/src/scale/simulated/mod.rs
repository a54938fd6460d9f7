//! Hollow peers: they speak the real protocol and keep only what a measurement needs, so that thousands share this
//! process. Each is a task or two on the runtime of the run; all listen and dial on the loopback alone.

mod collectors;
mod discovery;
mod forwarder;
mod proxies;
mod subscribers;
mod watch;
mod workers;

use std::sync::atomic::{AtomicU64, Ordering};

pub use collectors::Collectors;
pub use discovery::{Change, Discovery, Fleet};
pub use forwarder::Forwarder;
pub use proxies::Proxies;
pub use subscribers::{Arrival, Subscribers};
pub use watch::Watch;
pub use workers::Workers;

/// Bytes as a hollow peer counts them.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes that the peer sent: the measured process's bytes in.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes that the peer received: the measured process's bytes out.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}
