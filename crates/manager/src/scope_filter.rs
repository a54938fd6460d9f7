//! Sorts entries of a list by whether this manager needs them.
//!
//! Of what is out of scope nothing is kept. One exception makes that safe: a worker that was in scope, and stands in
//! an entry that is not, has left the scope. Its proxies must learn that, or they would go on using a worker of which
//! no drain would ever be told.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use juniperrail_distribution::{Place, Scope};
use juniperrail_interface::Phase;
use serde::Deserialize;

use crate::listing::{Departure, Instance, Listing};

/// What becomes of an entry.
#[derive(Debug, PartialEq, Eq)]
pub enum Sorted {
    /// It is in scope, or unfit in a way that whoever reads the list must know of.
    Kept,
    /// A worker that is held has left the scope.
    Left(Departure),
    /// It is out of scope.
    Dropped,
}

/// What tells whether an entry is in scope.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Placement<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
    #[serde(borrow)]
    zone: Cow<'a, str>,
    service: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    lifecycle: Cow<'a, str>,
}

/// Of an entry that can't be read whole: whom it is about.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Identity<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
}

/// A scope, and the workers that were passed on as being in it.
///
/// What a list says is staged until the list is taken over: one that breaks off says nothing.
#[derive(Clone, Debug)]
pub struct ScopeFilter {
    scope: Scope,
    held: HashSet<String>,
    /// By worker: whether it is held once the list that is being read is taken over.
    staged: HashMap<String, bool>,
    /// The list that is being read has an entry of which not even the worker can be read.
    unreadable: bool,
}

impl ScopeFilter {
    /// A filter that holds nobody.
    pub fn new(scope: Scope) -> ScopeFilter {
        ScopeFilter { scope, held: HashSet::new(), staged: HashMap::new(), unreadable: false }
    }

    /// The scope that it goes by.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Whether no worker is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Sorts one entry, which is sound JSON.
    pub fn sort(&mut self, entry: &[u8]) -> Sorted {
        match serde_json::from_slice(entry) {
            Ok(placement) => self.sort_placed(placement),
            Err(_) => self.sort_unfit(entry),
        }
    }

    /// The list whose entries were sorted is taken over.
    pub fn commit(&mut self, whole: bool) {
        // A whole list with an entry about nobody knows who counts as changes.
        if whole && !self.unreadable {
            self.held.clear();
        }
        for (worker, held) in self.staged.drain() {
            if held {
                self.held.insert(worker);
            } else {
                self.held.remove(&worker);
            }
        }
        self.unreadable = false;
    }

    /// The list whose entries were sorted does not count.
    pub fn discard(&mut self) {
        self.staged.clear();
        self.unreadable = false;
    }

    /// What is in scope of a list that is taken over at once.
    pub fn filter(&mut self, listing: Listing) -> Listing {
        let mut kept = Vec::new();
        for instance in listing.instances {
            let sorted = match &instance {
                Instance::Entry(raw) => self.sort(raw.get().as_bytes()),
                Instance::Departure(_) => Sorted::Kept,
            };
            match sorted {
                Sorted::Kept => kept.push(instance),
                Sorted::Left(departure) => kept.push(Instance::Departure(departure)),
                Sorted::Dropped => {}
            }
        }
        self.commit(listing.full);
        Listing { instances: kept, ..listing }
    }

    fn sort_placed(&mut self, entry: Placement<'_>) -> Sorted {
        let place = Place { zone: &entry.zone, service: entry.service.as_deref() };
        let worker = &*entry.instance_id;
        if self.scope.contains(place) {
            self.staged.insert(worker.to_string(), entry.lifecycle != "gone");
            return Sorted::Kept;
        }
        if !self.is_held(worker) {
            return Sorted::Dropped;
        }
        let phase = match &*entry.lifecycle {
            "ready" | "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => return self.keep_unfit(worker),
        };
        self.staged.insert(worker.to_string(), phase != Phase::Gone);
        Sorted::Left(Departure { worker: worker.to_string(), phase })
    }

    /// An entry that says nothing of the scope matters only as far as it may be about a worker that is held.
    fn sort_unfit(&mut self, entry: &[u8]) -> Sorted {
        match serde_json::from_slice::<Identity<'_>>(entry) {
            Ok(identity) if self.is_held(&identity.instance_id) => self.keep_unfit(&identity.instance_id),
            Ok(_) => Sorted::Dropped,
            Err(_) => {
                self.unreadable = true;
                Sorted::Kept
            }
        }
    }

    fn keep_unfit(&mut self, worker: &str) -> Sorted {
        self.staged.insert(worker.to_string(), true);
        Sorted::Kept
    }

    fn is_held(&self, worker: &str) -> bool {
        self.staged.get(worker).copied().unwrap_or_else(|| self.held.contains(worker))
    }
}
