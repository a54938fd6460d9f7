//! Simulated peers of a manager or a relay. They speak the real protocol but keep only the state that a measurement
//! needs, so that thousands of them share this process. Each is one or two tasks on the runtime of the run, and all of
//! them use the loopback interface.

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

/// The bytes that a group of simulated peers has sent and received.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Counts bytes that a peer sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that a peer received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The bytes that the peers sent, which the measured process received.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// The bytes that the peers received, which the measured process sent.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}
