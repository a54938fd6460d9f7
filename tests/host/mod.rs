//! A minimal host: it passes events to a planner and applies its orders to the state that the proxies would have.

use juniperrail::Planner;
use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet};

pub const FIRST_TABLE: TableId = TableId(0);

/// A planner, and the state of the proxies if they carried out each of its orders at once.
pub struct Host {
    pub planner: Planner,
    pub now: Ms,
    /// The weight of each line that a table has.
    pub weights: BTreeMap<(TableId, WorkerId), f64>,
    pub excluded: BTreeSet<WorkerId>,
    /// All tables that a proxy was ever bound to, in order.
    pub bindings: BTreeMap<ProxyId, Vec<TableId>>,
    /// The table that a proxy was last bound to for an operation.
    pub bound_tables: BTreeMap<(ProxyId, OpId), TableId>,
    /// All admission levels sent, in order.
    pub admissions: Vec<(f64, Retry)>,
    /// The last admission level of each table and operation.
    pub levels: BTreeMap<(TableId, OpId), f64>,
    pub marks: Vec<MarkId>,
    /// When each mark was sent.
    pub message_times: Vec<Ms>,
}

pub fn operation() -> Operation {
    Operation {
        latency_objective: 500.0,
        billed_value: 1.0,
        zones: None,
        machines: None,
        own_zone_only: false,
    }
}

/// Settings that most tests share.
pub fn settings() -> Settings {
    Settings {
        operations: vec![operation(), operation()],
        zones: vec![ZoneId(0), ZoneId(1)],
        slice_count: 0,
        level_kind: LevelKind::Share,
        proxies_avoid_outliers: false,
        cross_zone_cost: 0.01,
        channel_cost: 0.04,
        channel_rate: 1000.0,
        max_pending_lines: 2000.0,
        message_overhead: 4.0,
        max_messages_per_window: f64::INFINITY,
        message_window: 10_000.0,
        max_transit: 400.0,
        report_period: 1000.0,
        drain_grace: 3000.0,
        warm_up: 16_000.0,
        cold_share: 0.25,
        overload_factor: 4.0,
        proxy_count: 0.0,
        manager_count: 1.0,
        list_on_request: false,
        list_request_deadline: 10_000.0,
    }
}

/// An entry of the worker list; even workers are in zone 0, odd ones in zone 1.
pub fn entry(worker: u32, phase: Phase) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        phase,
        started_at: None,
        zone: ZoneId((worker % 2) as u16),
        machine: MachineId(0),
        cell: CellId(0),
        weight: 1.0,
    }
}

pub fn list(kind: ListKind, workers: Vec<WorkerEntry>) -> Event {
    Event::List { kind, version: 1, workers }
}

pub fn list_change(workers: Vec<WorkerEntry>) -> Event {
    list(ListKind::Changes, workers)
}

pub fn joined(proxy: u16) -> Event {
    Event::Joined { proxy: ProxyId(proxy), fresh: true, inv_per_second: 10.0, zone: ZoneId(proxy % 2) }
}

/// A report about a worker over a second, without utilization.
pub fn worker_report(worker: u32, tries: f64, failed: f64, mean_latency: Ms) -> Event {
    let (zone, worker, load) = (ZoneId(0), WorkerId(worker), Load::default());
    Event::WorkerSums { zone, worker, tries, failed, mean_latency, period: 1000.0, load }
}

pub fn worker_report_with_utilization(
    worker: u32,
    tries: f64,
    failed: f64,
    mean_latency: Ms,
    utilization: f64,
) -> Event {
    let (zone, worker, load) =
        (ZoneId(0), WorkerId(worker), Load { utilization: Some(utilization), ..Load::default() });
    Event::WorkerSums { zone, worker, tries, failed, mean_latency, period: 1000.0, load }
}

impl Host {
    pub fn new(settings: Settings) -> Self {
        Host {
            planner: Planner::new(1000.0, 7, settings),
            now: 1000.0,
            weights: BTreeMap::new(),
            excluded: BTreeSet::new(),
            bindings: BTreeMap::new(),
            bound_tables: BTreeMap::new(),
            admissions: Vec::new(),
            levels: BTreeMap::new(),
            marks: Vec::new(),
            message_times: Vec::new(),
        }
    }

    /// A host with `workers` warm workers, listed from the start, and `proxies` proxies that have joined and
    /// acknowledged the first mark.
    pub fn running(settings: Settings, workers: u32, proxies: u16) -> Self {
        let mut host = Host::new(settings);
        let ready = (0..workers).map(|worker| entry(worker, Phase::Ready)).collect();
        host.turn(&[list(ListKind::Remembered, ready)]);
        host.advance(10.0, &(0..proxies).map(joined).collect::<Vec<_>>());
        host.acknowledge(proxies);
        host
    }

    /// Passes events to the planner at the current time and applies its orders.
    pub fn turn(&mut self, events: &[Event]) -> Vec<Order> {
        let orders = self.planner.process_events(self.now, events);
        for order in &orders {
            match order {
                Order::SetLine { table, worker, weight } if *weight == 0.0 => {
                    self.weights.remove(&(*table, *worker));
                }
                Order::SetLine { table, worker, weight } => {
                    assert!(weight.is_finite() && *weight > 0.0, "weight {weight}");
                    self.weights.insert((*table, *worker), *weight);
                }
                Order::ExcludeWorker { worker, excluded: true } => {
                    self.excluded.insert(*worker);
                }
                Order::ExcludeWorker { worker, excluded: false } => {
                    self.excluded.remove(worker);
                }
                Order::Bind { table, ops, proxy } => {
                    self.bindings.entry(*proxy).or_default().push(*table);
                    let bound_ops = (0..32).filter(|op| ops >> op & 1 == 1).map(OpId);
                    self.bound_tables.extend(bound_ops.map(|op| ((*proxy, op), *table)));
                }
                Order::SetAdmission { scope, ops, level, retry } => {
                    self.admissions.push((*level, *retry));
                    if let AdmissionScope::Table(table) = scope {
                        self.levels.insert((*table, OpId(ops.trailing_zeros() as u8)), *level);
                    }
                }
                Order::Mark { number, .. } => {
                    self.marks.push(*number);
                    self.message_times.push(self.now);
                }
                _ => {}
            }
        }
        orders
    }

    /// Advances the clock by `wait`, then runs a turn.
    pub fn advance(&mut self, wait: Ms, events: &[Event]) -> Vec<Order> {
        self.now += wait;
        self.turn(events)
    }

    /// The first `proxies` proxies acknowledge the last mark, 100 ms later.
    pub fn acknowledge(&mut self, proxies: u16) -> Vec<Order> {
        let Some(&mark) = self.marks.last() else { return Vec::new() };
        let acknowledgement = |proxy| Event::MarkAcknowledged { mark, took: 100.0, proxy: ProxyId(proxy) };
        self.advance(100.0, &(0..proxies).map(acknowledgement).collect::<Vec<_>>())
    }

    /// Runs for some seconds with the same events in each, while the first `proxies` proxies acknowledge each mark.
    pub fn run_seconds(&mut self, seconds: u32, proxies: u16, events: &[Event]) {
        for _ in 0..seconds {
            self.advance(500.0, events);
            self.acknowledge(proxies);
            self.advance(400.0, &[]);
        }
    }

    /// The worker's weight in the first table; 0 without a line.
    pub fn weight(&self, worker: u32) -> f64 {
        self.weights.get(&(FIRST_TABLE, WorkerId(worker))).copied().unwrap_or(0.0)
    }

    pub fn is_excluded(&self, worker: u32) -> bool {
        self.excluded.contains(&WorkerId(worker))
    }
}
