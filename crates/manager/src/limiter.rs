//! Limits on the connections of each kind, derived from the limit on file descriptors, and the eviction of idle ones.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::inbound::StreamId;

/// Descriptors reserved for all but accepted connections and probes: standard streams, those of the runtime and of
/// signal handling, the listener, a watch and the one that replaces it, a file being read.
const RESERVED_DESCRIPTORS: usize = 16;
/// Connections of collectors per zone: the current one, the next one before the end of the old one is noticed, and a
/// margin.
const COLLECTORS_PER_ZONE: usize = 4;

/// How the descriptors are divided. Every proxy may connect to this manager, so descriptors for all of them are set
/// aside before the others get any.
#[derive(Debug, PartialEq)]
pub struct Budget {
    /// Limit on open connections of any kind.
    pub open: usize,
    /// Limit on connections that have not introduced themselves.
    pub unidentified: usize,
    /// Limit on connections of collectors.
    pub collectors: usize,
    /// Limit on concurrent probes.
    pub probes: usize,
}

impl Budget {
    /// Divides `sockets` descriptors for a deployment of this size.
    pub fn new(sockets: usize, proxies: usize, zones: usize) -> Budget {
        let collectors = COLLECTORS_PER_ZONE * zones.max(1);
        // If there are too few even for the proxies, an eighth still lets new connections introduce themselves.
        let remaining =
            sockets.saturating_sub(RESERVED_DESCRIPTORS + proxies + collectors).max(sockets / 8).max(2);
        // Probes get a quarter of the rest, unidentified connections the other three quarters.
        let probes = (remaining / 4).max(1);
        // If the configured limit leaves no room for connections, half of it is still allowed; the system's limit on
        // descriptors then applies.
        let open = sockets.saturating_sub(RESERVED_DESCRIPTORS + probes).max(sockets / 2);
        Budget { open, unidentified: remaining - remaining / 4, collectors, probes }
    }
}

/// The zones that the settings name, and those that lists have named since.
#[derive(Default)]
pub struct KnownZones(RefCell<BTreeSet<String>>);

impl KnownZones {
    /// Adds a zone.
    pub fn add(&self, zone: &str) {
        if !self.contains(zone) {
            self.0.borrow_mut().insert(zone.to_string());
        }
    }

    /// Whether the zone has been named.
    pub fn contains(&self, zone: &str) -> bool {
        self.0.borrow().contains(zone)
    }

    /// Limit on connections of collectors.
    pub fn max_collectors(&self) -> usize {
        COLLECTORS_PER_ZONE * self.0.borrow().len().max(1)
    }
}

/// The connections of one kind, the longest idle one first.
pub struct ConnectionLimiter {
    admitted: RefCell<VecDeque<(StreamId, Rc<Notify>)>>,
    limit: Cell<usize>,
}

impl ConnectionLimiter {
    /// A limiter with no connections.
    pub fn new(limit: usize) -> ConnectionLimiter {
        ConnectionLimiter { admitted: RefCell::default(), limit: Cell::new(limit) }
    }

    /// Raises the limit to `limit`, and never lowers it.
    pub fn raise_limit(&self, limit: usize) {
        self.limit.set(self.limit.get().max(limit));
    }

    /// Admits a connection, and evicts the longest idle one if the limit is reached. The new connection has to close
    /// once the returned handle is notified.
    pub fn admit(&self, id: StreamId) -> Rc<Notify> {
        if self.admitted.borrow().len() >= self.limit.get() {
            self.evict();
        }
        let evicted = Rc::new(Notify::new());
        self.admitted.borrow_mut().push_back((id, evicted.clone()));
        evicted
    }

    /// Removes a connection. Returns false if it was already evicted.
    pub fn release(&self, id: StreamId) -> bool {
        let mut admitted = self.admitted.borrow_mut();
        let position = admitted.iter().position(|(admitted_id, _)| *admitted_id == id);
        position.is_some_and(|position| admitted.remove(position).is_some())
    }

    /// Records that a connection was active.
    pub fn touch(&self, id: StreamId) {
        let mut admitted = self.admitted.borrow_mut();
        if let Some(position) = admitted.iter().position(|(admitted_id, _)| *admitted_id == id) {
            let connection = admitted.remove(position).expect("the position was just found");
            admitted.push_back(connection);
        }
    }

    /// Evicts the longest idle connection. Returns false if there is none.
    pub fn evict(&self) -> bool {
        let longest_idle = self.admitted.borrow_mut().pop_front();
        longest_idle.iter().for_each(|(_, evicted)| evicted.notify_one());
        longest_idle.is_some()
    }
}

#[cfg(test)]
mod tests;
