//! How many connections of a kind there may be, and who gives way: all from the one limit on descriptors.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::inbound::StreamId;

/// Descriptors that are nobody's: standard streams, the runtime's and the signals' own, the listener, a watch
/// beside the one that follows it, a file that is read.
const OWN: usize = 16;
/// Collectors of a zone: the one, its next connection before the old one is seen to end, and some doubt.
const COLLECTORS: usize = 4;

/// The descriptors dealt out. Every proxy may come here, so their part is whole before others have any.
#[derive(Debug, PartialEq)]
pub struct Budget {
    /// Connections that may be open at once, of whatever kind.
    pub open: usize,
    pub unidentified: usize,
    pub collectors: usize,
    pub probes: usize,
}

impl Budget {
    pub fn new(sockets: usize, proxies: usize, zones: usize) -> Budget {
        let collectors = COLLECTORS * zones.max(1);
        // Where not even the proxies fit, an eighth still lets them come in.
        let left = sockets.saturating_sub(OWN + proxies + collectors).max(sockets / 8).max(2);
        let probes = (left / 4).max(1);
        // Where the limit is told so low that nobody could come, the system's own limit is what holds.
        let open = sockets.saturating_sub(OWN + probes).max(sockets / 2);
        Budget { open, unidentified: left - left / 4, collectors, probes }
    }
}

/// The zones that the settings name, and those that the list named since.
#[derive(Default)]
pub struct KnownZones(RefCell<BTreeSet<String>>);

impl KnownZones {
    pub fn add(&self, zone: &str) {
        if !self.contains(zone) {
            self.0.borrow_mut().insert(zone.to_string());
        }
    }

    pub fn contains(&self, zone: &str) -> bool {
        self.0.borrow().contains(zone)
    }

    /// How many collectors there may be.
    pub fn max_collectors(&self) -> usize {
        COLLECTORS * self.0.borrow().len().max(1)
    }
}

/// Connections of one kind, whoever was silent the longest first.
pub struct ConnectionLimiter {
    taken: RefCell<VecDeque<(StreamId, Rc<Notify>)>>,
    most: Cell<usize>,
}

impl ConnectionLimiter {
    pub fn new(most: usize) -> ConnectionLimiter {
        ConnectionLimiter { taken: RefCell::default(), most: Cell::new(most) }
    }

    /// From now on there may be so many, if not more already.
    pub fn raise_limit(&self, most: usize) {
        self.most.set(self.most.get().max(most));
    }

    /// The one that is told here has to go once the answer is notified.
    pub fn admit(&self, id: StreamId) -> Rc<Notify> {
        if self.taken.borrow().len() >= self.most.get() {
            self.evict();
        }
        let out = Rc::new(Notify::new());
        self.taken.borrow_mut().push_back((id, out.clone()));
        out
    }

    /// False if it had no place any more: it was told to go.
    pub fn release(&self, id: StreamId) -> bool {
        let mut taken = self.taken.borrow_mut();
        let place = taken.iter().position(|(taken, _)| *taken == id);
        place.is_some_and(|place| taken.remove(place).is_some())
    }

    pub fn touch(&self, id: StreamId) {
        let mut taken = self.taken.borrow_mut();
        if let Some(place) = taken.iter().position(|(taken, _)| *taken == id) {
            let last = taken.remove(place).expect("a known place");
            taken.push_back(last);
        }
    }

    /// Whoever was silent the longest has to go. False if there is nobody.
    pub fn evict(&self) -> bool {
        let first = self.taken.borrow_mut().pop_front();
        first.iter().for_each(|(_, out)| out.notify_one());
        first.is_some()
    }
}

#[cfg(test)]
mod tests;
