//! Registry of the workers. Discovery and the operator describe workers by name, and the failover plan changes weights
//! by zone; the registry composes these into one entry per worker, which the planner is given by id.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniperrail_intent::{ComposedWorker, Composer, Intent, IntentChange, WorkerIntent};
use juniperrail_interface::*;
use juniperrail_start::Names;

use crate::listing::{Departure, Entries, Listing, ReadEntry};

/// All workers that discovery or the operator names, and the entries last reported to the planner.
#[derive(Default)]
pub struct WorkerRegistry {
    composer: Composer,
    /// The entries as last reported to the planner, without workers that are gone.
    entries: BTreeMap<WorkerId, WorkerEntry>,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    /// The version of the last list.
    pub version: u64,
}

/// A list from discovery that the registry has applied.
pub struct AppliedList {
    /// The event for the planner.
    pub event: Event,
    /// What was applied, for the log.
    pub summary: String,
    /// How many entries were skipped because they cannot be parsed and why, for the log; `None` if there are none.
    pub skipped: Option<String>,
}

impl WorkerRegistry {
    /// Applies a list from discovery.
    pub fn apply_list(&mut self, listing: &Listing, kind: ListKind, names: &mut Names) -> AppliedList {
        let Entries { valid: entries, unreadable, last_error } = listing.entries(names);
        // If an entry is so damaged that even the worker's name cannot be read, a full list is applied as changes.
        // Applied as a full list, it would mark that worker as gone.
        let kind = if unreadable.iter().all(Option::is_some) { kind } else { ListKind::Changes };
        let version = listing.version;
        let summary = format!("list {version}: {} entries, {kind:?}", entries.len());
        let skipped = last_error.map(|last| {
            let count = unreadable.len();
            format!("list {version}: {count} entries cannot be read and are skipped, the last: {last}")
        });
        self.version = version;
        let mut workers = Vec::new();
        let mut listed_names = BTreeSet::new();
        if kind != ListKind::Changes {
            self.entries.clear();
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
                    // Ignores the departure of a worker that discovery does not list.
                    if !self.composer.update_discovery_phase(&worker, phase) {
                        continue;
                    }
                    worker
                }
            };
            workers.extend(self.recompose(&name, names));
            listed_names.insert(name);
        }
        if kind != ListKind::Changes {
            // If only the worker's name can be read in an entry, the worker keeps its last state. For all others the
            // list is complete.
            for name in unreadable
                .into_iter()
                .flatten()
                .filter(|name| !listed_names.contains(name))
                .collect::<BTreeSet<_>>()
            {
                workers.extend(self.recompose(&name, names));
                listed_names.insert(name);
            }
            self.composer.mark_unlisted_gone(&|name| listed_names.contains(name));
        }
        AppliedList { event: Event::List { kind, version, workers }, summary, skipped }
    }

    /// Applies the operator's intent. Returns the event for the planner if entries changed.
    pub fn apply_intent(
        &mut self,
        intent: &Intent,
        change: IntentChange,
        names: &mut Names,
    ) -> Option<Event> {
        let changed_names = self.composer.update_intent(intent, change);
        self.assign_placement_ids(names);
        let mut workers = Vec::new();
        for name in changed_names {
            let Some(id) = names.workers.find_id(&name).map(WorkerId) else { continue };
            let previous = self.entries.get(&id).cloned();
            match self.recompose(&name, names) {
                Some(entry) if previous.as_ref() == Some(&entry) => {}
                Some(entry) if previous.is_none() && entry.phase == Phase::Gone => {}
                Some(entry) => workers.push(entry),
                // No source names the worker's zone any more.
                None => workers.extend(previous.map(|entry| {
                    self.entries.remove(&id);
                    self.addresses.remove(&id);
                    WorkerEntry { phase: Phase::Gone, ..entry }
                })),
            }
        }
        let (kind, version) = (ListKind::Changes, self.version);
        (!workers.is_empty()).then_some(Event::List { kind, version, workers })
    }

    /// Applies the weight ratios of a failover plan. Returns the event for the planner if entries changed.
    pub fn apply_plan(&mut self, ratios: BTreeMap<ZoneId, f64>, names: &Names) -> Option<Event> {
        if !self.composer.update_plan(ratios) {
            return None;
        }
        let worker_names: Vec<String> = self.composer.worker_names().map(str::to_string).collect();
        let mut workers = Vec::new();
        for name in worker_names {
            let previous =
                names.workers.find_id(&name).and_then(|id| self.entries.get(&WorkerId(id)).cloned());
            let Some(previous) = previous else { continue };
            workers.extend(self.recompose(&name, names).filter(|entry| *entry != previous));
        }
        let (kind, version) = (ListKind::Changes, self.version);
        (!workers.is_empty()).then_some(Event::List { kind, version, workers })
    }

    /// All workers as they would be with another plan.
    pub fn composed_with_plan(
        &self,
        ratios: &BTreeMap<ZoneId, f64>,
        names: &Names,
    ) -> BTreeMap<String, ComposedWorker> {
        let mut composer = self.composer.clone();
        composer.update_plan(ratios.clone());
        compose_all(&composer, names)
    }

    /// A worker's entry as last reported to the planner.
    pub fn worker(&self, worker: WorkerId) -> Option<&WorkerEntry> {
        self.entries.get(&worker)
    }

    /// All entries as last reported to the planner.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.entries.values()
    }

    /// Assigns ids to the zones and machines of workers that only the operator places. The workers themselves get none
    /// before discovery lists them, so that no order names them.
    fn assign_placement_ids(&self, names: &mut Names) {
        for (_, placement) in self.composer.operator_placed() {
            names.zone(&placement.zone);
            names.machine(&placement.machine);
        }
    }

    /// Composes a worker's entry and stores it as reported to the planner.
    fn recompose(&mut self, name: &str, names: &Names) -> Option<WorkerEntry> {
        let ComposedWorker { entry, address, .. } = compose(&self.composer, name, names)?;
        self.addresses.remove(&entry.worker);
        if entry.phase == Phase::Gone {
            self.entries.remove(&entry.worker);
        } else {
            self.entries.insert(entry.worker, entry.clone());
            self.addresses.extend(address.map(|address| (entry.worker, address)));
        }
        Some(entry)
    }

    /// All workers as they are.
    pub fn composed(&self, names: &Names) -> BTreeMap<String, ComposedWorker> {
        compose_all(&self.composer, names)
    }

    /// All workers as they would be with another intent.
    pub fn composed_with_intent(
        &self,
        intent: &Intent,
        change: IntentChange,
        names: &Names,
    ) -> BTreeMap<String, ComposedWorker> {
        let mut composer = self.composer.clone();
        composer.update_intent(intent, change);
        compose_all(&composer, names)
    }

    /// The current entries as a list, for a restarted planner.
    pub fn current_list(&self) -> Event {
        let workers = self.entries.values().cloned().collect();
        Event::List { kind: ListKind::Remembered, version: 0, workers }
    }

    /// The address at which a worker is probed.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.addresses.get(&worker).copied()
    }

    /// Forgets a worker that no order refers to any more. If discovery still lists it, so that only the operator had
    /// removed it, its name is assigned a new id.
    pub fn forget(&mut self, worker: WorkerId, names: &mut Names) {
        let name = names.workers.name(worker.0).to_string();
        tracing::debug!("{name} is forgotten");
        names.workers.forget(worker.0);
        self.entries.remove(&worker);
        self.addresses.remove(&worker);
        if self.composer.forget(&name) {
            self.composer.reassign_id(&name, names.worker(&name));
        }
    }

    /// The number of entries and of addresses.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.addresses.len())
    }
}

fn compose_all(composer: &Composer, names: &Names) -> BTreeMap<String, ComposedWorker> {
    let compose_named = |name: &str| Some((name.to_string(), compose(composer, name, names)?));
    composer.worker_names().filter_map(compose_named).collect()
}

fn compose(composer: &Composer, name: &str, names: &Names) -> Option<ComposedWorker> {
    // A worker that only the operator places has no id. It gets the highest one here; no table has a line of it.
    let entry_from_intent = |intent: &WorkerIntent| {
        let placement = intent.placement.as_ref()?;
        let id_or_max = |id: Option<u32>| id.map_or(u16::MAX, |id| id as u16);
        Some(WorkerEntry {
            worker: WorkerId(names.workers.find_id(name).unwrap_or(u32::MAX)),
            phase: Phase::Ready,
            started_at: None,
            zone: ZoneId(id_or_max(names.zones.find_id(&placement.zone))),
            machine: MachineId(id_or_max(names.machines.find_id(&placement.machine))),
            cell: CellId(placement.cell.unwrap_or(u32::MAX)),
            weight: 0.0,
        })
    };
    composer.compose(name, entry_from_intent)
}
