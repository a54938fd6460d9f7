//! One tiny host: it hands events to a planner and keeps what the orders would have made of the proxies.

use juniperrail::Planner;
use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet};

pub const T: TableId = TableId(0);

pub struct Host {
    pub planner: Planner,
    pub now: Ms,
    pub weights: BTreeMap<(TableId, WorkerId), f64>,
    pub held: BTreeSet<WorkerId>,
    pub binds: BTreeMap<ProxyId, Vec<TableId>>,
    pub admitted: Vec<(f64, Retry)>,
    pub levels: BTreeMap<(TableId, OpId), f64>,
    pub marks: Vec<MarkId>,
    pub messages: Vec<Ms>,
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

pub fn start() -> Settings {
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

pub fn listed(worker: u32, phase: Phase) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(worker),
        phase,
        booted: None,
        zone: ZoneId((worker % 2) as u16),
        machine: MachineId(0),
        cell: CellId(0),
        weight: 1.0,
    }
}

pub fn list(kind: ListKind, workers: Vec<WorkerEntry>) -> Event {
    Event::List { kind, version: 1, workers }
}

pub fn change(workers: Vec<WorkerEntry>) -> Event {
    list(ListKind::Changes, workers)
}

pub fn joined(proxy: u16) -> Event {
    Event::Joined { proxy: ProxyId(proxy), fresh: true, inv_per_second: 10.0, zone: ZoneId(proxy % 2) }
}

pub fn sums(worker: u32, tries: f64, bad: f64, mean: Ms) -> Event {
    let (zone, worker, load) = (ZoneId(0), WorkerId(worker), Load::default());
    Event::WorkerSums { zone, worker, tries, failed: bad, mean_latency: mean, period: 1000.0, load }
}

pub fn loaded(worker: u32, tries: f64, bad: f64, mean: Ms, busy: f64) -> Event {
    let (zone, worker, load) =
        (ZoneId(0), WorkerId(worker), Load { utilization: Some(busy), ..Load::default() });
    Event::WorkerSums { zone, worker, tries, failed: bad, mean_latency: mean, period: 1000.0, load }
}

impl Host {
    pub fn with(start: Settings) -> Self {
        Host {
            planner: Planner::new(1000.0, 7, start),
            now: 1000.0,
            weights: BTreeMap::new(),
            held: BTreeSet::new(),
            binds: BTreeMap::new(),
            admitted: Vec::new(),
            levels: BTreeMap::new(),
            marks: Vec::new(),
            messages: Vec::new(),
        }
    }

    /// `workers` warm workers, listed from the start, and `proxies` that have joined and answered.
    pub fn running(start: Settings, workers: u32, proxies: u16) -> Self {
        let mut host = Host::with(start);
        let ready = (0..workers).map(|worker| listed(worker, Phase::Ready)).collect();
        host.turn(&[list(ListKind::Cached, ready)]);
        host.after(10.0, &(0..proxies).map(joined).collect::<Vec<_>>());
        host.answer(proxies);
        host
    }

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
                    self.held.insert(*worker);
                }
                Order::ExcludeWorker { worker, excluded: false } => {
                    self.held.remove(worker);
                }
                Order::Bind { table, proxy, .. } => self.binds.entry(*proxy).or_default().push(*table),
                Order::SetAdmission { scope: reach, ops, level, retry } => {
                    self.admitted.push((*level, *retry));
                    if let AdmissionScope::Table(table) = reach {
                        self.levels.insert((*table, OpId(ops.trailing_zeros() as u8)), *level);
                    }
                }
                Order::Mark { number, .. } => {
                    self.marks.push(*number);
                    self.messages.push(self.now);
                }
                _ => {}
            }
        }
        orders
    }

    pub fn after(&mut self, wait: Ms, events: &[Event]) -> Vec<Order> {
        self.now += wait;
        self.turn(events)
    }

    pub fn answer(&mut self, proxies: u16) -> Vec<Order> {
        let Some(&mark) = self.marks.last() else { return Vec::new() };
        let answer = |proxy| Event::MarkAcknowledged { mark, took: 100.0, proxy: ProxyId(proxy) };
        self.after(100.0, &(0..proxies).map(answer).collect::<Vec<_>>())
    }

    pub fn seconds(&mut self, seconds: u32, proxies: u16, events: &[Event]) {
        for _ in 0..seconds {
            self.after(500.0, events);
            self.answer(proxies);
            self.after(400.0, &[]);
        }
    }

    pub fn weight(&self, worker: u32) -> f64 {
        self.weights.get(&(T, WorkerId(worker))).copied().unwrap_or(0.0)
    }

    pub fn holds(&self, worker: u32) -> bool {
        self.held.contains(&WorkerId(worker))
    }
}
