//! Filters the entries of a list by the scope of this manager.
//!
//! Entries out of scope are dropped, with one exception: if the worker of such an entry was in scope before, it has
//! left the scope. The proxies have to be notified; otherwise they would keep using a worker whose drain is never
//! reported to them.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};

use juniperrail_distribution::{Location, Scope};
use juniperrail_interface::Phase;
use serde::Deserialize;

use crate::listing::{Departure, Instance, Listing};

/// What to do with an entry.
#[derive(Debug, PartialEq, Eq)]
pub enum Classification {
    /// Keep it: it is in scope, or it is invalid and the reader of the list has to treat it as an unreadable entry.
    Kept,
    /// Pass on the departure: the worker was in scope and has left the scope.
    Left(Departure),
    /// Drop it: it is out of scope.
    Dropped,
}

/// The fields that decide whether an entry is in scope.
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

/// The worker of an entry that cannot be parsed in full.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Identity<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
}

/// A scope, and the workers of the committed lists that are in it.
///
/// The entries of a list are staged until the list is committed, so that an incomplete list has no effect.
#[derive(Clone, Debug)]
pub struct ScopeFilter {
    scope: Scope,
    workers: HashSet<String>,
    /// By worker: whether it is in scope once the list being read is committed.
    staged: HashMap<String, bool>,
    /// The list being read has an entry of which not even the worker can be parsed.
    unreadable: bool,
}

impl ScopeFilter {
    /// A filter with no workers.
    pub fn new(scope: Scope) -> ScopeFilter {
        ScopeFilter { scope, workers: HashSet::new(), staged: HashMap::new(), unreadable: false }
    }

    /// The scope by which entries are filtered.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Whether no worker is in scope.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Classifies one entry, which has to be valid JSON.
    pub fn classify(&mut self, entry: &[u8]) -> Classification {
        match serde_json::from_slice(entry) {
            Ok(placement) => self.classify_placed(placement),
            Err(_) => self.classify_invalid(entry),
        }
    }

    /// Commits the list whose entries were classified.
    pub fn commit(&mut self, full: bool) {
        // A full list with an entry whose worker cannot be parsed is treated as changes: the worker may be one in
        // scope.
        if full && !self.unreadable {
            self.workers.clear();
        }
        for (worker, in_scope) in self.staged.drain() {
            if in_scope {
                self.workers.insert(worker);
            } else {
                self.workers.remove(&worker);
            }
        }
        self.unreadable = false;
    }

    /// Discards the list whose entries were classified.
    pub fn discard(&mut self) {
        self.staged.clear();
        self.unreadable = false;
    }

    /// Reduces a list to its scope and commits it.
    pub fn filter(&mut self, listing: Listing) -> Listing {
        let mut kept = Vec::new();
        for instance in listing.instances {
            let classification = match &instance {
                Instance::Entry(raw) => self.classify(raw.get().as_bytes()),
                Instance::Departure(_) => Classification::Kept,
            };
            match classification {
                Classification::Kept => kept.push(instance),
                Classification::Left(departure) => kept.push(Instance::Departure(departure)),
                Classification::Dropped => {}
            }
        }
        self.commit(listing.full);
        Listing { instances: kept, ..listing }
    }

    fn classify_placed(&mut self, entry: Placement<'_>) -> Classification {
        let location = Location { zone: &entry.zone, service: entry.service.as_deref() };
        let worker = &*entry.instance_id;
        if self.scope.contains(location) {
            self.staged.insert(worker.to_string(), entry.lifecycle != "gone");
            return Classification::Kept;
        }
        if !self.was_in_scope(worker) {
            return Classification::Dropped;
        }
        let phase = match &*entry.lifecycle {
            "ready" | "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => return self.keep_invalid(worker),
        };
        self.staged.insert(worker.to_string(), phase != Phase::Gone);
        Classification::Left(Departure { worker: worker.to_string(), phase })
    }

    /// An entry without a valid zone or service is kept only if its worker was in scope so far or cannot be parsed.
    fn classify_invalid(&mut self, entry: &[u8]) -> Classification {
        match serde_json::from_slice::<Identity<'_>>(entry) {
            Ok(identity) if self.was_in_scope(&identity.instance_id) => {
                self.keep_invalid(&identity.instance_id)
            }
            Ok(_) => Classification::Dropped,
            Err(_) => {
                self.unreadable = true;
                Classification::Kept
            }
        }
    }

    /// Keeps an invalid entry; its worker stays in scope.
    fn keep_invalid(&mut self, worker: &str) -> Classification {
        self.staged.insert(worker.to_string(), true);
        Classification::Kept
    }

    fn was_in_scope(&self, worker: &str) -> bool {
        self.staged.get(worker).copied().unwrap_or_else(|| self.workers.contains(worker))
    }
}
