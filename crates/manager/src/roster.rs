//! The workers by name as all sources word them, turned into what the decisions are told by id.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniperrail_intent::{ComposedWorker, Composer, Intent, WorkerIntent};
use juniperrail_interface::*;
use juniperrail_start::Names;

use crate::listing::{Departure, Entries, Listing, ReadEntry};

/// All workers that some source names, and what the decisions were last told of each.
#[derive(Default)]
pub struct Roster {
    composer: Composer,
    /// As the decisions were last told; who is gone is not kept.
    listed: BTreeMap<WorkerId, WorkerEntry>,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    /// Of the last list.
    pub version: u64,
}

impl Roster {
    /// Takes over what discovery says; the decisions are to be told the event.
    pub fn apply_list(&mut self, listing: &Listing, kind: ListKind, names: &mut Names) -> Event {
        let Entries { read: entries, unreadable } = listing.entries(names);
        // Guards against an entry of which not even the worker can be read: a whole list without it would tell that one gone.
        let kind = if unreadable.iter().all(Option::is_some) { kind } else { ListKind::Changes };
        tracing::info!("list {}: {} entries, {kind:?}", listing.version, entries.len());
        self.version = listing.version;
        let mut workers = Vec::new();
        let mut named = BTreeSet::new();
        if kind != ListKind::Changes {
            self.listed.clear();
            self.addresses.clear();
        }
        for entry in entries {
            let name = match entry {
                ReadEntry::Listed { listed, address } => {
                    let name = names.workers.name(listed.worker.0).to_string();
                    self.composer.update_discovery(&name, listed, address);
                    name
                }
                ReadEntry::Departure(Departure { worker, phase }) => {
                    // Whom discovery does not name here any more can't leave either.
                    if !self.composer.update_discovery_phase(&worker, phase) {
                        continue;
                    }
                    worker
                }
            };
            workers.extend(self.recompose(&name, names));
            named.insert(name);
        }
        if kind != ListKind::Changes {
            // Guards against an entry that can't be read: what is known of its worker stays, and the list is whole for all others.
            for name in
                unreadable.into_iter().flatten().filter(|name| !named.contains(name)).collect::<BTreeSet<_>>()
            {
                workers.extend(self.recompose(&name, names));
                named.insert(name);
            }
            self.composer.mark_unlisted_gone(&|name| named.contains(name));
            // Who stands in no list of discovery's at all is not gone for that.
            self.assign_ids(names);
            let placed: Vec<String> =
                self.composer.operator_placed().map(|(name, _)| name.to_string()).collect();
            workers.extend(placed.iter().filter_map(|name| self.recompose(name, names)));
        }
        Event::List { kind, version: listing.version, workers }
    }

    /// Takes over what the operator wants; the decisions are to be told the event, if anything is new to them.
    pub fn apply_intent(&mut self, intent: &Intent, names: &mut Names) -> Option<Event> {
        let changed = self.composer.update_intent(intent);
        self.assign_ids(names);
        let mut workers = Vec::new();
        for name in changed {
            let Some(id) = names.workers.find_id(&name).map(WorkerId) else { continue };
            let before = self.listed.get(&id).cloned();
            match self.recompose(&name, names) {
                Some(listed) if before.as_ref() == Some(&listed) => {}
                Some(listed) if before.is_none() && listed.phase == Phase::Gone => {}
                Some(listed) => workers.push(listed),
                // Nobody says any more where it is.
                None => workers.extend(before.map(|listed| {
                    self.listed.remove(&id);
                    self.addresses.remove(&id);
                    WorkerEntry { phase: Phase::Gone, ..listed }
                })),
            }
        }
        let (kind, version) = (ListKind::Changes, self.version);
        (!workers.is_empty()).then_some(Event::List { kind, version, workers })
    }

    /// Takes over what managers agreed on; the decisions are to be told the event, if anything is new to them.
    pub fn apply_plan(&mut self, parts: BTreeMap<ZoneId, f64>, names: &Names) -> Option<Event> {
        if !self.composer.update_plan(parts) {
            return None;
        }
        let all: Vec<String> = self.composer.worker_names().map(str::to_string).collect();
        let mut workers = Vec::new();
        for name in all {
            let before = names.workers.find_id(&name).and_then(|id| self.listed.get(&WorkerId(id)).cloned());
            let Some(before) = before else { continue };
            workers.extend(self.recompose(&name, names).filter(|listed| *listed != before));
        }
        let (kind, version) = (ListKind::Changes, self.version);
        (!workers.is_empty()).then_some(Event::List { kind, version, workers })
    }

    /// All workers as they would be with another plan in common.
    pub fn composed_with_plan(
        &self,
        parts: &BTreeMap<ZoneId, f64>,
        names: &Names,
    ) -> BTreeMap<String, ComposedWorker> {
        let mut composer = self.composer.clone();
        composer.update_plan(parts.clone());
        let one = |name: &str| Some((name.to_string(), compose(&composer, name, names)?));
        composer.worker_names().filter_map(one).collect()
    }

    /// Where a worker is, and its weight, as the decisions were last told.
    pub fn worker(&self, worker: WorkerId) -> Option<&WorkerEntry> {
        self.listed.get(&worker)
    }

    /// All workers as the decisions were last told.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.listed.values()
    }

    /// Gives ids to what the operator alone places.
    fn assign_ids(&self, names: &mut Names) {
        for (name, place) in self.composer.operator_placed() {
            names.worker(name);
            names.zone(&place.zone);
            names.machine(&place.machine);
        }
    }

    /// One worker as the decisions are told it from now on.
    fn recompose(&mut self, name: &str, names: &Names) -> Option<WorkerEntry> {
        let ComposedWorker { entry, address, .. } = compose(&self.composer, name, names)?;
        self.addresses.remove(&entry.worker);
        if entry.phase == Phase::Gone {
            self.listed.remove(&entry.worker);
        } else {
            self.listed.insert(entry.worker, entry.clone());
            self.addresses.extend(address.map(|address| (entry.worker, address)));
        }
        Some(entry)
    }

    /// All workers as they are, and as they would be with another intent.
    pub fn composed(&self, intent: Option<&Intent>, names: &Names) -> BTreeMap<String, ComposedWorker> {
        let every = |composer: &Composer| {
            let one = |name: &str| Some((name.to_string(), compose(composer, name, names)?));
            composer.worker_names().filter_map(one).collect()
        };
        match intent {
            None => every(&self.composer),
            Some(intent) => {
                let mut composer = self.composer.clone();
                composer.update_intent(intent);
                every(&composer)
            }
        }
    }

    /// For decisions that start anew: the list as held.
    pub fn remembered_list(&self) -> Event {
        let workers = self.listed.values().cloned().collect();
        Event::List { kind: ListKind::Cached, version: 0, workers }
    }

    /// Where a worker is probed.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.addresses.get(&worker).copied()
    }

    /// The decisions name it no more. Whom the operator alone took out stays known, by another id.
    pub fn forget(&mut self, worker: WorkerId, names: &mut Names) {
        let name = names.workers.name(worker.0).to_string();
        tracing::debug!("{name} is forgotten");
        names.workers.forget(worker.0);
        self.listed.remove(&worker);
        self.addresses.remove(&worker);
        if self.composer.forget(&name) {
            self.composer.reassign_id(&name, names.worker(&name));
        }
    }

    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.listed.len(), self.addresses.len())
    }
}

fn compose(composer: &Composer, name: &str, names: &Names) -> Option<ComposedWorker> {
    // A change that is only judged may place workers that have no id yet: they are nobody's readers.
    let placed = |wish: &WorkerIntent| {
        let place = wish.placement.as_ref()?;
        let small = |known: Option<u32>| known.map_or(u16::MAX, |id| id as u16);
        Some(WorkerEntry {
            worker: WorkerId(names.workers.find_id(name).unwrap_or(u32::MAX)),
            phase: Phase::Ready,
            booted: None,
            zone: ZoneId(small(names.zones.find_id(&place.zone))),
            machine: MachineId(small(names.machines.find_id(&place.machine))),
            cell: CellId(place.cell.unwrap_or(u32::MAX)),
            weight: 0.0,
        })
    };
    composer.compose(name, placed)
}
