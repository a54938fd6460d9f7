//! Random histories of a small fleet with an operation that stays within the proxy's zone: zones drain, workers
//! start, proxies lose their streams and return with old tables, and the manager restarts. After each step two rules
//! are checked at every proxy: it has a worker to pick, and it picks none that drains or is gone. Orders take effect
//! at once.

#[allow(dead_code)] // This test uses only some of the helpers.
mod host;

use host::*;
use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet};

const STEPS: u32 = 240;
const STEP: Ms = 250.0;
const OPERATIONS: u8 = 2;
/// The operation that stays within the proxy's zone; the other may go to any worker.
const OWN_ZONE: u8 = 1;
/// How long a proxy may have no worker to pick, although a warm one is listed as ready: `domain.bare-ms`.
const MAX_BARE: Ms = 7300.0;

/// How many there are of what a history is about.
#[derive(Clone, Copy)]
struct Size {
    workers: u32,
    proxies: u16,
    zones: u32,
}

/// One table for each zone, and one for all.
const SMALL: Size = Size { workers: 12, proxies: 6, zones: 3 };
/// A fleet that is partitioned, so that partitions have few workers of a zone, or none.
const PARTITIONED: Size = Size { workers: 120, proxies: 60, zones: 40 };

const FULL_CHANNEL: Size = Size { zones: 12, ..PARTITIONED };

/// What a proxy has, as the protocol describes it.
#[derive(Default)]
struct Proxy {
    joined_at: Option<Ms>,
    /// By operation: the workers of the table that it came with.
    old_tables: BTreeMap<u8, BTreeSet<u32>>,
    /// By operation: the manager's table that it is bound to.
    bound_tables: BTreeMap<u8, TableId>,
    excluded: BTreeSet<u32>,
    /// By operation: since when it has had none to pick, although a warm worker is listed as ready.
    bare_since: BTreeMap<u8, Ms>,
}

struct Fleet {
    size: Size,
    rng: fastrand::Rng,
    settings: Settings,
    host: Host,
    /// Each worker that was ever listed.
    listed: BTreeMap<u32, WorkerEntry>,
    /// Since when a worker has not been ready.
    drained_at: BTreeMap<u32, Ms>,
    proxies: Vec<Proxy>,
}

impl Size {
    fn zone_of(self, number: u32) -> ZoneId {
        ZoneId((number % self.zones) as u16)
    }
}

impl Fleet {
    fn new(seed: u64, size: Size) -> Fleet {
        let own_zone = Operation { own_zone_only: true, ..operation() };
        let zones = (0..size.zones).map(|zone| size.zone_of(zone)).collect();
        let operations = vec![operation(), own_zone];
        let settings = Settings { operations, zones, warm_up: 2000.0, ..settings() };
        let new_entry = |id| (id, WorkerEntry { zone: size.zone_of(id), ..entry(id, Phase::Ready) });
        let mut fleet = Fleet {
            size,
            rng: fastrand::Rng::with_seed(seed),
            host: Host::new(settings.clone()),
            settings,
            listed: (0..size.workers).map(new_entry).collect(),
            drained_at: BTreeMap::new(),
            proxies: (0..size.proxies).map(|_| Proxy::default()).collect(),
        };
        fleet.restart_manager();
        fleet
    }

    /// Starts a new manager, which remembers the current list. All streams end.
    fn restart_manager(&mut self) {
        (0..self.size.proxies).for_each(|proxy| self.end_stream(proxy));
        let now = self.host.now;
        self.host = Host { now, ..Host::new(self.settings.clone()) };
        let present = self.listed.values().filter(|worker| worker.phase != Phase::Gone);
        let remembered = list(ListKind::Remembered, present.cloned().collect());
        self.host.turn(&[remembered]);
    }

    /// The workers with a line in a table.
    fn workers_in(&self, table: TableId) -> BTreeSet<u32> {
        let lines = self.host.weights.keys().filter(|(line_table, _)| *line_table == table);
        lines.map(|(_, worker)| worker.0).collect()
    }

    /// The workers that a proxy may pick: those of its table but for the exclusions that it was sent.
    fn usable_workers(&self, proxy: &Proxy, op: u8) -> BTreeSet<u32> {
        let workers = match proxy.bound_tables.get(&op) {
            Some(table) => self.workers_in(*table),
            None => proxy.old_tables.get(&op).cloned().unwrap_or_default(),
        };
        workers.difference(&proxy.excluded).copied().collect()
    }

    fn end_stream(&mut self, number: u16) {
        let proxy = &self.proxies[usize::from(number)];
        let kept = (0..OPERATIONS).map(|op| (op, self.usable_workers(proxy, op))).collect();
        let proxy = &mut self.proxies[usize::from(number)];
        *proxy =
            Proxy { old_tables: kept, excluded: std::mem::take(&mut proxy.excluded), ..Proxy::default() };
    }

    /// Lists a worker in its next phase: it drains, then it is gone, then it starts anew.
    fn advance_worker(&mut self, id: u32) -> WorkerEntry {
        let now = self.host.now;
        let worker = self.listed.get_mut(&id).expect("a listed worker");
        worker.phase = match worker.phase {
            Phase::Ready => Phase::Draining,
            Phase::Draining => Phase::Gone,
            Phase::Gone => Phase::Ready,
        };
        if worker.phase == Phase::Ready {
            worker.started_at = Some(now);
            self.drained_at.remove(&id);
        } else {
            self.drained_at.entry(id).or_insert(now);
        }
        worker.clone()
    }

    fn random_events(&mut self) -> Vec<Event> {
        let mut changed = Vec::new();
        match self.rng.u32(0..40) {
            // The workers of a zone change together.
            0..2 => {
                let zone = self.size.zone_of(self.rng.u32(0..self.size.zones));
                let of_zone: Vec<u32> =
                    (0..self.size.workers).filter(|id| self.size.zone_of(*id) == zone).collect();
                let phase = self.listed[&of_zone[0]].phase;
                let alike = of_zone.into_iter().filter(|id| self.listed[id].phase == phase);
                changed = alike.collect::<Vec<u32>>().into_iter().map(|id| self.advance_worker(id)).collect();
            }
            2..6 => {
                let id = self.rng.u32(0..self.size.workers);
                changed.push(self.advance_worker(id));
            }
            6 => self.restart_manager(),
            _ => {}
        }
        let mut events = Vec::new();
        if !changed.is_empty() {
            events.push(list_change(changed));
        }
        for proxy in 0..self.size.proxies {
            let is_joined = self.proxies[usize::from(proxy)].joined_at.is_some();
            if is_joined && self.rng.u32(0..100) == 0 {
                self.end_stream(proxy);
                events.push(Event::Left { proxy: ProxyId(proxy) });
            } else if !is_joined && self.rng.u32(0..12) == 0 {
                self.proxies[usize::from(proxy)].joined_at = Some(self.host.now);
                let zone = self.size.zone_of(u32::from(proxy));
                let (fresh, inv_per_second) = (false, 10.0);
                events.push(Event::Joined { proxy: ProxyId(proxy), fresh, inv_per_second, zone });
            } else if let (true, Some(mark)) = (is_joined, self.host.marks.last()) {
                events.push(Event::MarkAcknowledged { mark: *mark, took: STEP, proxy: ProxyId(proxy) });
            }
        }
        events
    }

    fn apply_orders(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Bind { table, ops, proxy } => self.bind(*table, *ops, *proxy),
                Order::SetLine { table, worker, weight } if *weight > 0.0 => self.set_line(*table, worker.0),
                Order::ExcludeWorker { worker, .. } => self.exclude(worker.0),
                _ => {}
            }
        }
    }

    /// A proxy that is bound heeds no other manager's exclusions any more. The table comes with those of its workers.
    fn bind(&mut self, table: TableId, ops: u32, proxy: ProxyId) {
        let in_table = self.workers_in(table);
        let bound = &mut self.proxies[usize::from(proxy.0)];
        if bound.bound_tables.is_empty() {
            bound.excluded.clear();
        }
        bound.bound_tables.extend((0..OPERATIONS).filter(|op| ops >> op & 1 == 1).map(|op| (op, table)));
        in_table.into_iter().for_each(|worker| self.send_exclusion(usize::from(proxy.0), worker));
    }

    /// A line goes to the proxies that are bound to its table, and says whether its worker is excluded.
    fn set_line(&mut self, table: TableId, worker: u32) {
        for number in 0..self.proxies.len() {
            if self.proxies[number].bound_tables.values().any(|bound_table| *bound_table == table) {
                self.send_exclusion(number, worker);
            }
        }
    }

    /// An exclusion, or its end, goes to the proxies that have a line of the worker or lack a table.
    fn exclude(&mut self, worker: u32) {
        for number in 0..self.proxies.len() {
            let proxy = &self.proxies[number];
            let lacks_table = proxy.bound_tables.len() < usize::from(OPERATIONS);
            let has_line = proxy.bound_tables.values().any(|table| self.workers_in(*table).contains(&worker));
            if proxy.joined_at.is_some() && (lacks_table || has_line) {
                self.send_exclusion(number, worker);
            }
        }
    }

    /// Tells a proxy whether a worker is excluded.
    fn send_exclusion(&mut self, number: usize, worker: u32) {
        let is_excluded = self.host.is_excluded(worker);
        let excluded = &mut self.proxies[number].excluded;
        match is_excluded {
            true => excluded.insert(worker),
            false => excluded.remove(&worker),
        };
    }

    /// The rule that is broken at a proxy, if any.
    fn violation(&mut self, number: u16) -> Option<String> {
        let now = self.host.now;
        let joined_at = self.proxies[usize::from(number)].joined_at?;
        for op in 0..OPERATIONS {
            let usable = self.usable_workers(&self.proxies[usize::from(number)], op);
            let is_late = |worker: &&u32| {
                let drained_at = self.drained_at.get(worker);
                drained_at.is_some_and(|at| now > at.max(joined_at) + self.settings.drain_grace)
            };
            if let Some(worker) = usable.iter().find(is_late) {
                return Some(format!("proxy {number} still picks worker {worker} for operation {op}"));
            }
            let has_warm_worker = self.listed.values().any(|worker| {
                let started_at = worker.started_at.unwrap_or(f64::NEG_INFINITY);
                worker.phase == Phase::Ready
                    && now >= started_at + self.settings.warm_up
                    && (op != OWN_ZONE || worker.zone == self.size.zone_of(u32::from(number)))
            });
            let bare_since = &mut self.proxies[usize::from(number)].bare_since;
            if !usable.is_empty() || !has_warm_worker {
                bare_since.remove(&op);
            } else if now > *bare_since.entry(op).or_insert(now) + MAX_BARE {
                return Some(format!("proxy {number} has no worker to pick for operation {op}"));
            }
        }
        None
    }
}

fn check_histories(size: Size, count: u64) {
    for seed in 0..count {
        let mut fleet = Fleet::new(seed, size);
        for step in 0..STEPS {
            let events = fleet.random_events();
            let orders = fleet.host.advance(STEP, &events);
            fleet.apply_orders(&orders);
            let violation = (0..size.proxies).find_map(|proxy| fleet.violation(proxy));
            assert_eq!(violation, None, "seed {seed}, step {step}");
        }
    }
}

/// A proxy that counted as bound although it lacked a table was never sent that table, nor the drains of the workers
/// in its old one.
#[test]
fn every_proxy_has_a_worker_to_pick_and_picks_no_drained_one() {
    check_histories(SMALL, 300);
}

/// As above, where a partition may have no worker for one of its tables.
#[test]
fn every_proxy_of_a_partition_has_a_worker_to_pick_and_picks_no_drained_one() {
    check_histories(PARTITIONED, 10);
}

/// As above, with more workers in a zone, so that their weights change more often than the channel carries.
#[test]
fn every_proxy_behind_a_full_channel_has_a_worker_to_pick_and_picks_no_drained_one() {
    check_histories(FULL_CHANNEL, 12);
}
