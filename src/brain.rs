//! Planner of a juniperrail manager: decides which weight a worker has in which table, which part of the demand is
//! admitted, whether proxies retry, and which proxy is bound to which tables.
//!
//! The host passes what happened to [`Planner::process_events`] and carries out the returned orders as written. The
//! planner does no I/O and reads no clock. The types of events and orders are in `juniperrail_interface`; the
//! mechanism is described in `docs/design.md`.

use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ratio of the line backlog (`max_pending_lines`) up to which updates are sent.
const SEND_BACKLOG_RATIO: f64 = 0.5;
/// Ratio of the line backlog up to which overdue drains, and a bind that would never fit otherwise, are sent.
const OVERDUE_BACKLOG_RATIO: f64 = 0.8;
/// Ratio of the channel's rate at which unacknowledged lines are assumed to leave the channel.
const MIN_CHANNEL_RATE_RATIO: f64 = 0.1;
/// Ratio of the messages allowed to a proxy that ordinary updates may use; the rest is left to drains and binds.
const ORDINARY_MESSAGE_RATIO: f64 = 0.6;
/// Ratio of the channel's rate that the overhead of ordinary messages may use.
const ORDINARY_OVERHEAD_RATIO: f64 = 0.2;
/// Ratio of the drain grace after which an exclusion no longer waits for acknowledgements of earlier updates.
const OVERDUE_DRAIN_GRACE_RATIO: f64 = 0.4;
/// Lines that a table of a partition has at least.
const MIN_LINES_PER_TABLE: f64 = 16.0;
/// Load of a partition, relative to the fleet's, above which it admits less while near overload.
const MAX_PARTITION_LOAD_RATIO: f64 = 0.8;
/// Ratio of its weight that a cold worker keeps while near overload, where it is not kept out altogether.
const NEAR_OVERLOAD_COLD_RATIO: f64 = 0.5;
/// Steps in which a cold worker's weight rises during its warm-up; each step costs a line at each proxy.
const WARM_UP_STEPS: f64 = 4.0;
/// Reports kept for each worker.
const MAX_WORKER_SAMPLES: usize = 12;
/// Demand reports kept for each proxy and operation.
const MAX_DEMAND_SAMPLES: usize = 3;
/// Tries, or workers that report tries, that are enough evidence to act on.
const MIN_EVIDENCE_COUNT: f64 = 4.0;
/// Least preference for a worker: its share of a table's load relative to an even share.
const MIN_PREFERENCE_RATIO: f64 = 0.125;
/// Exponent by which a weight follows the worker's cost relative to its peers'.
const WEIGHT_GAIN_EXPONENT: f64 = 0.6;
/// Cost relative to the peers', either way, within which a weight is left as it is.
const WEIGHT_DEADBAND_RATIO: f64 = 1.2;
/// Largest decrease of a weight factor in one adjustment.
const MIN_WEIGHT_STEP_RATIO: f64 = 0.2;
/// Largest increase of a weight factor in one adjustment.
const MAX_WEIGHT_STEP_RATIO: f64 = 1.6;
/// Least weight factor of a worker; above 0, so that some tries still show whether the worker has recovered.
const MIN_WEIGHT_FACTOR: f64 = 0.05;
/// Largest weight factor of a warm worker.
const MAX_WEIGHT_FACTOR: f64 = 2.0;
/// Weight factor below which a worker counts as low.
const LOW_WEIGHT_FACTOR: f64 = 0.5;
/// Ratio of the fleet's listed weight that may belong to workers with a low weight factor.
const MAX_LOW_FLEET_RATIO: f64 = 0.35;
/// Target of the mean answer time while demand is being rejected, relative to the latency objective.
const SHEDDING_LATENCY_RATIO: f64 = 0.4;
/// Target of the mean answer time while all demand is admitted, relative to the latency objective.
const FULL_ADMISSION_LATENCY_RATIO: f64 = 0.47;
/// Mean utilization of the workers that admission aims at.
const TARGET_UTILIZATION: f64 = 0.85;
/// Utilization below which failed and late tries are not taken for overload.
const IDLE_UTILIZATION: f64 = 0.7;
/// Least capacity estimate, and so the deepest cut of the admission ratio in one step.
const MIN_CAPACITY_RATIO: f64 = 0.4;
/// Largest capacity estimate.
const MAX_CAPACITY_RATIO: f64 = 1.5;
/// Capacity estimate below which admission is cut.
const CUT_CAPACITY_RATIO: f64 = 0.85;
/// Capacity estimate from which admission is raised, and the size of a careful raise.
const RAISE_CAPACITY_RATIO: f64 = 1.1;
/// Capacity estimate below which the fleet counts as near overload.
const NEAR_OVERLOAD_RATIO: f64 = 0.95;
/// The same where proxies avoid workers that failed them.
const NEAR_OVERLOAD_AVOIDING_RATIO: f64 = 1.1;
/// Admission ratio that one cut does not go below, unless by [`CUT_CAPACITY_RATIO`] at most.
const CUT_FLOOR_RATIO: f64 = 0.25;
/// Least admission ratio.
const MIN_ADMISSION_RATIO: f64 = 0.12;
/// Ratio of the last overloaded admission ratio up to which admission may return in large steps.
const QUICK_RAISE_RATIO: f64 = 0.8;
/// Preferences and rate limits are rounded to powers of this ratio, so that small changes cost no lines.
const ROUNDING_STEP_RATIO: f64 = 1.1;
/// Admission level that stands for no limit, in invocations a second.
const UNLIMITED_PER_SECOND: f64 = 1e6;

/// What an update sets. Updates of equal rank are sent in the order of the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKey {
    /// Whether proxies may pick a worker at all: 1 excludes it, 0 readmits it.
    Exclusion(WorkerId),
    /// The weight of a worker in a table; 0 removes the line.
    Line(TableId, WorkerId),
    /// The admission level of a table and operation.
    Level(TableId, OpId),
}

/// State of an update: idle while `desired` differs from `sent`, scheduled while a mark awaits acknowledgement, else
/// completed.
#[derive(Default)]
struct UpdateState {
    desired: f64,
    /// NaN where it is unknown what the proxies have.
    sent: f64,
    /// The mark sent after the last write, until all bound proxies have acknowledged it.
    awaited_mark: Option<u64>,
    /// The worker became possibly excluded while this line was in force: the next write may have to readmit it.
    readmission_uncertain: bool,
}

/// What one report, or the sum of several, says about a worker.
struct Sample {
    received_at: Ms,
    tries: f64,
    failed_tries: f64,
    /// Sum of the times of successful tries.
    success_time: Ms,
    /// Ratio of the worker's cores that are busy, if reported.
    utilization: Option<f64>,
}

struct Worker {
    listed: WorkerEntry,
    /// When it last left the phase ready, or else when it was first listed.
    drain_requested_at: Ms,
    /// Multiple of the listed weight, by what its tries cost.
    weight_factor: f64,
    weight_adjusted_at: Ms,
    /// The newest first.
    samples: VecDeque<Sample>,
    partition: Option<usize>,
    /// Another manager may have excluded it at a proxy, which then has to be told to readmit it.
    possibly_excluded: bool,
}

#[derive(Default)]
struct Proxy {
    zone: ZoneId,
    inv_per_second: f64,
    partition: Option<usize>,
    bound: bool,
    acknowledged_mark: u64,
    /// Invocations a second by operation, as last reported; the newest first.
    demand: BTreeMap<OpId, VecDeque<f64>>,
}

/// A table that proxies are bound to: the workers of some operations, for proxies of one zone or of all.
struct Table {
    id: TableId,
    /// Places of its operations in the settings.
    ops: Vec<usize>,
    /// The first of its operations; all have the same restrictions on workers.
    operation: Operation,
    /// The zone of its proxies; `None` is all zones.
    proxy_zone: Option<ZoneId>,
    /// The partition whose workers it has; `None` is the whole fleet.
    partition: Option<usize>,
    bound_proxies: BTreeSet<ProxyId>,
}

impl Table {
    /// Whether a worker may have a line in this table.
    fn includes(&self, worker: &Worker) -> bool {
        self.operation.zones.as_ref().is_none_or(|zones| zones.contains(&worker.listed.zone))
            && self
                .operation
                .machines
                .as_ref()
                .is_none_or(|machines| machines.contains(&worker.listed.machine))
            && (!self.operation.own_zone_only || self.proxy_zone == Some(worker.listed.zone))
            && (self.partition.is_none() || self.partition == worker.partition)
    }
}

/// All state of a manager's decisions.
#[derive(Default)]
pub struct Planner {
    settings: Settings,
    rng: fastrand::Rng,
    /// Time of the current turn.
    now: Ms,
    workers: BTreeMap<WorkerId, Worker>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// When messages were sent to each proxy, within the span of the message limit.
    message_times: BTreeMap<ProxyId, VecDeque<Ms>>,
    /// By table id.
    tables: Vec<Table>,
    /// Indices of each partition's tables, and (`None`) of those of the whole fleet.
    partition_tables: BTreeMap<Option<usize>, Vec<usize>>,
    updates: BTreeMap<UpdateKey, UpdateState>,
    /// The updates that are not completed.
    pending: BTreeSet<UpdateKey>,
    /// 0 while the fleet is not partitioned.
    partition_count: usize,
    /// Pairs of pending updates of which the first has to be acknowledged before the second is sent, with the time
    /// at which the pair was added.
    ordered_pairs: BTreeMap<(UpdateKey, UpdateKey), Ms>,
    last_mark: u64,
    /// Lines sent with a mark to a proxy that no acknowledgement has proven to have left the channel.
    unacknowledged: BTreeMap<(u64, ProxyId), f64>,
    /// When the channel last proved progress: the last acknowledgement, or the last send into an empty channel.
    progress_at: Ms,
    /// Lines, with overhead, of the message to each proxy that this turn sends.
    message_lines: BTreeMap<ProxyId, f64>,
    /// The sum of `message_lines`.
    turn_lines: f64,
    /// When ordinary updates were last sent.
    ordinary_sent_at: Ms,
    /// When exclusions were last sent.
    exclusions_sent_at: Ms,
    /// Ratio of the demand that is admitted, for an operation of mean billed value.
    admission_ratio: f64,
    admission_changed_at: Ms,
    /// The admission ratio at which the fleet was last overloaded after a raise.
    overloaded_ratio: f64,
    /// The last change of the admission ratio was a raise.
    admission_rising: bool,
    near_overload: bool,
    /// A wake-up has to be ordered at the end of this turn.
    wake_due: bool,
    /// When the worker list is to be requested.
    list_request_at: Option<Ms>,
    orders: Vec<Order>,
}

impl Planner {
    /// A planner that knows no workers and no proxies yet. The seed determines all random choices.
    pub fn new(now: Ms, seed: u64, settings: Settings) -> Self {
        let mut planner = Planner {
            rng: fastrand::Rng::with_seed(seed),
            now,
            admission_ratio: 1.0,
            overloaded_ratio: 1.0,
            exclusions_sent_at: f64::NEG_INFINITY,
            wake_due: true,
            list_request_at: settings.list_on_request.then_some(now),
            settings,
            ..Planner::default()
        };
        planner.build_tables(None, None);
        planner
    }

    /// Handles the events of a turn and returns the orders to carry out, in this order.
    ///
    /// A turn of acknowledgements alone only completes and sends updates; any other, also an empty one, plans anew.
    pub fn process_events(&mut self, now: Ms, events: &[Event]) -> Vec<Order> {
        self.now = now;
        events.iter().for_each(|event| self.handle_event(event));
        if events.is_empty() || events.iter().any(|event| !matches!(event, Event::MarkAcknowledged { .. })) {
            self.adjust_weights();
            self.adjust_admission();
            self.partition_fleet();
            self.plan_updates();
        }
        self.complete_updates();
        self.send_updates();
        self.orders
            .extend(self.list_request_at.take_if(|at| now >= *at).map(|_| Order::SubscribeToList(true)));
        let after = (self.settings.report_period / 8.0).max(20.0);
        let handle = "beat".into();
        self.orders.extend(std::mem::take(&mut self.wake_due).then_some(Order::SetTimer { after, handle }));
        std::mem::take(&mut self.orders)
    }

    /// How many joined proxies have acknowledged all that is desired of these workers.
    pub fn synced_proxy_count(&self, workers: &BTreeSet<WorkerId>) -> usize {
        // The removal of a line makes no difference where the worker is excluded already.
        let concerns = |key: &&UpdateKey| match key {
            UpdateKey::Exclusion(id) => workers.contains(id),
            UpdateKey::Line(_, id) => workers.contains(id) && self.updates[key].desired > 0.0,
            UpdateKey::Level(..) => false,
        };
        let open = self.pending.iter().filter(concerns).map(|key| (&self.updates[key], self.receivers(*key)));
        let open: Vec<(&UpdateState, BTreeSet<ProxyId>)> = open.collect();
        let acknowledged = |proxy: &Proxy, update: &UpdateState| {
            update.awaited_mark.is_none_or(|mark| proxy.acknowledged_mark >= mark)
        };
        let synced = |(id, proxy): &(&ProxyId, &Proxy)| {
            let done = |update: &UpdateState| update.desired == update.sent && acknowledged(proxy, update);
            proxy.bound && open.iter().all(|(update, receivers)| !receivers.contains(id) || done(update))
        };
        self.proxies.iter().filter(synced).count()
    }

    /// Lines sent that no acknowledgement has proven to have left the channel.
    pub fn unacknowledged_lines(&self) -> f64 {
        self.unacknowledged.values().sum()
    }

    /// Takes one event into the state; decisions follow once all events of the turn are in.
    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::List { kind: ListKind::Failed, .. } => {
                // Spread, so that managers whose requests failed together do not repeat them together.
                let delay = self.settings.list_request_deadline / 8.0 * (0.5 + self.rng.f64());
                self.list_request_at = self.settings.list_on_request.then_some(self.now + delay);
            }
            Event::List { kind, workers, .. } => {
                let listed = |id| *kind == ListKind::Changes || workers.iter().any(|of| of.worker == id);
                let missing = self.workers.values().filter(|worker| !listed(worker.listed.worker));
                let gone = |worker: &Worker| WorkerEntry { phase: Phase::Gone, ..worker.listed.clone() };
                let gone: Vec<_> = missing.map(gone).collect();
                let is_change = *kind == ListKind::Changes;
                gone.iter().chain(workers).for_each(|listed| self.apply_listed(listed.clone(), is_change));
            }
            Event::SettingsChanged(changed) => {
                let settings = &mut self.settings;
                settings.drain_grace = changed.drain_grace;
                settings.warm_up = changed.warm_up;
                settings.cold_share = changed.cold_share;
                settings.overload_factor = changed.overload_factor;
                for (op, values) in settings.operations.iter_mut().zip(&changed.operations) {
                    (op.latency_objective, op.billed_value) = *values;
                }
            }
            Event::TimerFired { .. } => self.wake_due = true,
            Event::Joined { proxy, inv_per_second, zone, .. } => {
                let (zone, inv_per_second) = (*zone, *inv_per_second);
                let acknowledged_mark = self.last_mark;
                if !self.settings.zones.contains(&zone) {
                    // A proxy of a zone that the settings do not name would have no table.
                    self.settings.zones.push(zone);
                    let partitions: Vec<Option<usize>> = self.partition_tables.keys().copied().collect();
                    partitions.into_iter().for_each(|partition| self.build_tables(partition, Some(zone)));
                }
                let joined = Proxy { zone, inv_per_second, acknowledged_mark, ..Proxy::default() };
                self.proxies.insert(*proxy, joined);
            }
            Event::Left { proxy } => {
                // Its bindings end: updates that only it had to acknowledge become idle, and its next bind carries
                // all values.
                self.proxies.remove(proxy);
                self.tables.iter_mut().for_each(|table| _ = table.bound_proxies.remove(proxy));
            }
            Event::MarkAcknowledged { mark, proxy, .. } => {
                // The newest mark sent with these low 16 bits: numbers on the channel wrap.
                let mark =
                    self.last_mark.saturating_sub(self.last_mark.wrapping_sub(u64::from(mark.0)) & 0xffff);
                let known = self.proxies.get_mut(proxy);
                let Some(known) = known.filter(|known| known.acknowledged_mark < mark) else { return };
                known.acknowledged_mark = mark;
                self.progress_at = self.now;
                // One proxy's acknowledgement proves that all earlier marks have left the shared channel.
                self.unacknowledged = self.unacknowledged.split_off(&(mark, ProxyId(0)));
                self.unacknowledged.remove(&(mark, *proxy));
            }
            Event::ProxySums { proxy, op, invocations, period, .. } => {
                let Some(known) = self.proxies.get_mut(proxy) else { return };
                let rates = known.demand.entry(*op).or_default();
                rates.push_front(invocations * 1000.0 / period.max(1.0));
                rates.truncate(MAX_DEMAND_SAMPLES);
            }
            Event::WorkerSums { worker, tries, failed, mean_latency, load, .. } => {
                let Some(known) = self.workers.get_mut(worker) else { return };
                known.samples.push_front(Sample {
                    received_at: self.now,
                    tries: *tries,
                    failed_tries: *failed,
                    success_time: (tries - failed) * mean_latency,
                    utilization: load.utilization,
                });
                known.samples.truncate(MAX_WORKER_SAMPLES);
            }
            _ => {}
        }
    }

    /// Takes one entry of the worker list. `is_change`: the entry is from a change of the list, not a whole list.
    fn apply_listed(&mut self, mut listed: WorkerEntry, is_change: bool) {
        let known_weights = self.workers.values().map(|worker| worker.listed.weight);
        listed.weight = if listed.weight > 0.0 { listed.weight } else { mean(known_weights).unwrap_or(1.0) };
        let now = self.now;
        let new_worker = Worker {
            listed: listed.clone(),
            drain_requested_at: now,
            weight_factor: 1.0,
            weight_adjusted_at: f64::NEG_INFINITY,
            samples: VecDeque::new(),
            partition: None,
            possibly_excluded: is_change,
        };
        let unknown = UpdateState { desired: f64::NAN, sent: f64::NAN, ..UpdateState::default() };
        self.updates.entry(UpdateKey::Exclusion(listed.worker)).or_insert(unknown);
        let worker = self.workers.entry(listed.worker).or_insert(new_worker);
        if listed.booted > worker.listed.booted {
            worker.weight_factor = 1.0;
            worker.samples = VecDeque::new();
        }
        if !worker.possibly_excluded && (listed.booted.is_some() || listed.phase != Phase::Ready) {
            worker.possibly_excluded = true;
            let lines = self.tables.iter().map(|table| UpdateKey::Line(table.id, listed.worker));
            lines.for_each(|line| {
                _ = self.updates.get_mut(&line).map(|update| update.readmission_uncertain = true)
            });
        }
        let left_ready = worker.listed.phase == Phase::Ready && listed.phase != Phase::Ready;
        worker.drain_requested_at = if left_ready { now } else { worker.drain_requested_at };
        worker.listed = listed;
    }

    /// Ratio of its capacity that a worker has at this point of its warm-up, from the cold share to 1.
    fn warm_up_ratio(&self, listed: &WorkerEntry) -> f64 {
        let Some(booted) = listed.booted.filter(|_| self.settings.warm_up > 0.0) else { return 1.0 };
        let progress = ((self.now - booted) / self.settings.warm_up * WARM_UP_STEPS).floor() / WARM_UP_STEPS;
        let cold = self.settings.cold_share.clamp(0.01, 1.0);
        (cold + (1.0 - cold) * progress.clamp(0.0, 1.0)).min(1.0)
    }

    /// Sums a worker's samples received after `since`; the utilization is their mean.
    fn sum_samples(&self, worker: &Worker, since: Ms) -> Sample {
        let recent = || worker.samples.iter().filter(|sample| sample.received_at > since);
        let sum = |field: fn(&Sample) -> f64| recent().map(field).sum::<f64>();
        let utilization = mean(recent().filter_map(|sample| sample.utilization));
        Sample {
            received_at: since,
            tries: sum(|sample| sample.tries),
            failed_tries: sum(|sample| sample.failed_tries),
            success_time: sum(|sample| sample.success_time),
            utilization,
        }
    }

    /// Adjusts the weight factor of each worker that costs more or less than its peers, or is busier or less busy,
    /// whatever the cause.
    ///
    /// The cost of a try is its time; a failed one counts as twice the largest latency objective. Only
    /// [`MAX_LOW_FLEET_RATIO`] of the fleet's weight may fall below [`LOW_WEIGHT_FACTOR`].
    fn adjust_weights(&mut self) {
        let now = self.now;
        let report_delay = self.settings.report_period + self.settings.max_transit;
        let objectives = self.settings.operations.iter().map(|op| op.latency_objective);
        let failure_cost = 2.0 * objectives.fold(0.0, f64::max);
        let window_start = now - 2.0 * report_delay;
        let peers: Vec<_> = self.workers.values().map(|w| self.sum_samples(w, window_start)).collect();
        let tries: f64 = peers.iter().map(|peer| peer.tries).sum();
        let total_cost =
            peers.iter().map(|peer| peer.success_time + peer.failed_tries * failure_cost).sum::<f64>();
        let mean_cost = total_cost / tries;
        let mean_utilization = mean(peers.iter().filter_map(|peer| peer.utilization));
        let ready = || self.workers.values().filter(|worker| worker.listed.phase == Phase::Ready);
        let fleet_weight: f64 = ready().map(|worker| worker.listed.weight).sum();
        let low = ready().filter(|worker| worker.weight_factor < LOW_WEIGHT_FACTOR);
        let mut low_weight: f64 = low.map(|worker| worker.listed.weight).sum();
        for id in self.workers.keys().copied().collect::<Vec<WorkerId>>() {
            let worker = &self.workers[&id];
            let own = self.sum_samples(worker, worker.weight_adjusted_at + report_delay);
            let own_tries = own.tries;
            let mut cost_ratio = (own.success_time + own.failed_tries * failure_cost) / own_tries / mean_cost;
            if let (Some(own_utilization), Some(mean_utilization)) = (own.utilization, mean_utilization) {
                cost_ratio = (cost_ratio * (own_utilization / mean_utilization.max(0.1)).max(0.2)).sqrt();
            }
            let early = now < worker.weight_adjusted_at + 2.0 * self.settings.report_period;
            if early
                || own_tries.min(tries - own_tries) < MIN_EVIDENCE_COUNT
                || cost_ratio > 1.0 / WEIGHT_DEADBAND_RATIO && cost_ratio < WEIGHT_DEADBAND_RATIO
            {
                continue;
            }
            let exponent = -WEIGHT_GAIN_EXPONENT * own_tries / (own_tries + MIN_EVIDENCE_COUNT);
            let step =
                cost_ratio.max(0.01).powf(exponent).clamp(MIN_WEIGHT_STEP_RATIO, MAX_WEIGHT_STEP_RATIO);
            let max_factor = if self.warm_up_ratio(&worker.listed) < 1.0 { 1.0 } else { MAX_WEIGHT_FACTOR };
            let was_low = worker.weight_factor < LOW_WEIGHT_FACTOR;
            let weight = worker.listed.weight;
            let may_be_low = was_low || low_weight + weight <= fleet_weight * MAX_LOW_FLEET_RATIO;
            let min_factor = if may_be_low { MIN_WEIGHT_FACTOR } else { LOW_WEIGHT_FACTOR };
            let factor = (worker.weight_factor * step).clamp(min_factor, max_factor);
            if factor < LOW_WEIGHT_FACTOR && !was_low {
                low_weight += weight;
                let text =
                    format!("weight factor lowered to {factor:.2}: cost {cost_ratio:.2} times its peers'");
                self.orders.push(Order::Log { about: Some(id), text });
            }
            self.workers.entry(id).and_modify(|worker| {
                worker.weight_factor = factor;
                worker.weight_adjusted_at = now;
            });
        }
    }

    /// Estimates the fleet's capacity relative to the load that it now gets, by samples received after `since`.
    ///
    /// It goes by the median worker, since a single worker in trouble is no overload. Utilization below `idle_below`
    /// rules overload out. `None`: too few workers report tries.
    fn capacity_ratio(&self, since: Ms, idle_below: f64) -> Option<f64> {
        let samples = self.workers.values().map(|worker| self.sum_samples(worker, since));
        let samples: Vec<Sample> = samples.filter(|sample| sample.tries > 0.0).collect();
        (samples.len() as f64 >= MIN_EVIDENCE_COUNT).then_some(())?;
        let objectives = self.settings.operations.iter().map(|op| op.latency_objective);
        let mean_time = |sample: &Sample| sample.success_time / (sample.tries - sample.failed_tries).max(1.0);
        let answer_time = median(samples.iter().map(mean_time).collect());
        let failed_ratio = median(samples.iter().map(|sample| sample.failed_tries / sample.tries).collect());
        let shedding = self.admission_ratio < 1.0;
        let target = if shedding { SHEDDING_LATENCY_RATIO } else { FULL_ADMISSION_LATENCY_RATIO };
        let by_latency = (target * objectives.fold(f64::INFINITY, f64::min) / answer_time.max(1.0)).sqrt();
        let utilization = mean(samples.iter().filter_map(|sample| sample.utilization));
        let by_utilization = (TARGET_UTILIZATION / utilization.unwrap_or(0.0).max(0.1)).powi(2);
        let tries: f64 = samples.iter().map(|sample| sample.tries).sum();
        // Failed and late tries on idle cores are no overload: answers get lost on the way, or clients leave early.
        // Idle cores raise admission by a tenth at a time, in a partitioned fleet by the largest step.
        let idle_raise = [RAISE_CAPACITY_RATIO, MAX_CAPACITY_RATIO][self.partition_count.min(1)];
        let by_idleness = utilization.filter(|ratio| *ratio < idle_below).map_or(0.0, |_| idle_raise);
        let by_failures = MAX_CAPACITY_RATIO * (1.0 - failed_ratio).powi(2);
        let estimate = by_latency.min(by_failures).max(by_idleness);
        let evidence = tries / (tries + MIN_EVIDENCE_COUNT * MIN_EVIDENCE_COUNT);
        Some(estimate.min(by_utilization).clamp(MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO).powf(evidence))
    }

    /// Lowers the admission ratio when the fleet is overloaded and raises it again as capacity returns.
    fn adjust_admission(&mut self) {
        let now = self.now;
        let report_delay = self.settings.report_period + self.settings.max_transit;
        // Utilization is reported late: whether cold workers are kept out goes by failed and late tries even where
        // cores seem idle.
        let Some(capacity) = self.capacity_ratio(now - report_delay, 0.0) else { return };
        let avoiding = self.settings.proxies_avoid_outliers;
        self.near_overload =
            capacity < if avoiding { NEAR_OVERLOAD_AVOIDING_RATIO } else { NEAR_OVERLOAD_RATIO };
        let no_utilization = self
            .workers
            .values()
            .flat_map(|worker| &worker.samples)
            .all(|sample| sample.utilization.is_none());
        // Where no report has utilization, a second cut would go by tries that began before the first one: after a cut
        // only later reports count.
        let after_cut = no_utilization && self.admission_ratio < 1.0 && !self.admission_rising;
        let ignored_time = if after_cut { 1.75 * report_delay } else { report_delay };
        let since = (self.admission_changed_at + ignored_time).max(now - report_delay);
        let Some(step) = self.capacity_ratio(since, IDLE_UTILIZATION) else { return };
        let cut_floor =
            CUT_FLOOR_RATIO.min(self.admission_ratio * CUT_CAPACITY_RATIO).max(MIN_ADMISSION_RATIO);
        // Raises are large up to the neighbourhood of the last overload, and small beyond.
        let careful_raise = self.admission_ratio * RAISE_CAPACITY_RATIO;
        let raise_limit = careful_raise.max(QUICK_RAISE_RATIO * self.overloaded_ratio);
        let change = if no_utilization { step.max(step * step) } else { step };
        let next = (self.admission_ratio * change).min(raise_limit).clamp(cut_floor, 1.0);
        let needs_cut = step < CUT_CAPACITY_RATIO;
        let allows_raise = step >= RAISE_CAPACITY_RATIO;
        if next != self.admission_ratio && (needs_cut || allows_raise) {
            // Only a cut after a raise marks where the fleet is overloaded: cuts in a row are one overload.
            let cut_after_raise = next < self.admission_ratio && self.admission_rising;
            self.overloaded_ratio =
                if cut_after_raise { self.admission_ratio } else { self.overloaded_ratio };
            self.admission_rising = next > self.admission_ratio;
            self.admission_ratio = next;
            self.admission_changed_at = now;
            let text = format!("admitting {next:.2} of demand: estimated capacity is {step:.2} of the load");
            self.orders.push(Order::Log { about: None, text });
        }
    }

    /// Partitions the fleet, once and for all, where writing the whole table to all proxies would take over half of
    /// the line backlog, or where all proxies could not be bound within half a drain grace: a proxy that is bound later
    /// than that and still has another manager's table may send to workers that have drained.
    fn partition_fleet(&mut self) {
        let present = || self.workers.values().filter(|worker| worker.listed.phase != Phase::Gone);
        // The tables of one proxy, one of the first zone.
        let of_one_proxy =
            |t: &&Table| t.proxy_zone.is_none_or(|zone| Some(&zone) == self.settings.zones.first());
        let widths =
            self.tables.iter().filter(of_one_proxy).map(|t| present().filter(|w| t.includes(w)).count());
        let (table_count, proxy_lines) =
            widths.fold((0.0, 0.0), |(count, lines), width| (count + 1.0, lines + width as f64));
        let lines_in_grace =
            self.settings.channel_rate * self.settings.drain_grace / 1000.0 * SEND_BACKLOG_RATIO;
        let lines_in_backlog =
            self.settings.max_pending_lines * SEND_BACKLOG_RATIO / self.expected_proxy_count();
        let lines_in_grace = lines_in_grace / self.settings.proxy_count.max(1.0);
        let max_lines = lines_in_backlog.min(lines_in_grace) - self.settings.message_overhead;
        let partition_count =
            (proxy_lines / max_lines.max(MIN_LINES_PER_TABLE * table_count).max(1.0)) as usize;
        if self.partition_count == 0 && proxy_lines > max_lines && partition_count > 1 {
            self.partition_count = partition_count;
            (0..partition_count).for_each(|partition| self.build_tables(Some(partition), None));
            self.proxies.values_mut().for_each(|proxy| proxy.bound = false);
        }
        // A new worker joins the partition with least effective weight, so that no partition is left with the cold
        // or with too few workers.
        let mut weights = vec![0.0; self.partition_count];
        self.workers
            .values()
            .for_each(|w| w.partition.map_or((), |partition| weights[partition] += self.effective_weight(w)));
        for worker in self.workers.values_mut().filter(|worker| worker.partition.is_none()) {
            worker.partition = index_of_least(&weights);
            worker.partition.iter().for_each(|partition| weights[*partition] += worker.listed.weight);
        }
    }

    /// Builds the tables of a partition or (`None`) of the whole fleet; given a new zone, only the tables of its
    /// own that the zone needs.
    fn build_tables(&mut self, partition: Option<usize>, new_zone: Option<ZoneId>) {
        let zones = new_zone.map_or(self.settings.zones.clone(), |zone| vec![zone]);
        for table in tables_of_operations(&self.settings, &zones) {
            if new_zone.is_none() || table.proxy_zone.is_some() {
                let id = TableId(self.tables.len() as u16);
                self.partition_tables.entry(partition).or_default().push(self.tables.len());
                self.tables.push(Table { id, partition, ..table });
            }
        }
    }

    /// Proxies that this manager has to serve: its share of all, or those that have joined if they are more.
    fn expected_proxy_count(&self) -> f64 {
        let share = self.settings.proxy_count / self.settings.manager_count.max(1.0);
        share.max(self.proxies.len() as f64).max(1.0)
    }

    /// Assigns each new proxy to the partition with least load. A proxy that would be over half of a partition's
    /// load gets the tables of the whole fleet, unless the fleet is too large for one table.
    fn assign_partitions(&mut self, unbound: &[(f64, ProxyId)]) {
        let mut loads = vec![0.0; self.partition_count];
        self.proxies
            .values()
            .for_each(|p| p.partition.map_or((), |partition| loads[partition] += p.inv_per_second));
        let rates = self.proxies.values().map(|proxy| proxy.inv_per_second);
        let max_rate =
            mean(rates).unwrap_or(0.0) * self.expected_proxy_count() / self.partition_count as f64 / 2.0;
        let too_wide = self.workers.len() as f64 > self.settings.max_pending_lines * SEND_BACKLOG_RATIO;
        for (rate, id) in unbound.iter().filter(|(rate, _)| too_wide || *rate <= max_rate) {
            let Some(least) = index_of_least(&loads) else { return };
            let proxy = self.proxies.get_mut(id).expect("a joined proxy");
            loads[*proxy.partition.get_or_insert(least)] += rate;
        }
    }

    /// The tables that a proxy is to be bound to: those of its partition, for its zone.
    fn tables_for(&self, proxy: &Proxy) -> impl Iterator<Item = &Table> {
        let zone = proxy.zone;
        let indices = self.partition_tables.get(&proxy.partition).into_iter().flatten();
        let tables = indices.map(|index| &self.tables[*index]);
        tables.filter(move |table| table.proxy_zone.is_none_or(|own| own == zone))
    }

    /// Invocations a second of an operation at a proxy: the mean of its reports, or without any an even share of
    /// the rate that it joined with.
    fn demand(&self, proxy: &Proxy, op: usize) -> f64 {
        let rates = proxy.demand.get(&OpId(op as u8)).into_iter().flatten();
        mean(rates.copied()).unwrap_or(proxy.inv_per_second / self.settings.operations.len() as f64)
    }

    /// The admission level of a table's operation; the lower its billed value, the more of it is rejected.
    ///
    /// A level in invocations a second is the same at all proxies of the table: it is chosen such that they admit
    /// the right share together, and proxies with little demand keep all of theirs.
    fn admission_level(&self, table: &Table, op: usize, admission_ratio: f64) -> f64 {
        let mean_value = mean(self.settings.operations.iter().map(|op| op.billed_value)).unwrap_or(1.0);
        let share = admission_ratio.powf(mean_value / self.settings.operations[op].billed_value.max(1e-9));
        let is_share = self.settings.level_kind == LevelKind::Share;
        let limited = table.bound_proxies.iter().filter(|_| share < 1.0 && !is_share);
        let mut rates: Vec<f64> = limited.map(|id| self.demand(&self.proxies[id], op)).collect();
        rates.sort_by(f64::total_cmp);
        let mut left = rates.iter().sum::<f64>() * share;
        for (index, rate) in rates.iter().enumerate() {
            let each = left / (rates.len() - index) as f64;
            if *rate >= each && each > 0.0 {
                return round_to_step(each.max(0.1));
            }
            left -= rate;
        }
        share.max(if is_share { 0.0 } else { UNLIMITED_PER_SECOND })
    }

    /// The listed weight by weight factor and warm-up; 0 if the worker is not ready.
    fn effective_weight(&self, worker: &Worker) -> f64 {
        let ready = f64::from(u8::from(worker.listed.phase == Phase::Ready));
        ready * worker.listed.weight * worker.weight_factor * self.warm_up_ratio(&worker.listed)
    }

    /// Computes all desired exclusions, weights and levels, and composes them onto the pending updates.
    fn plan_updates(&mut self) {
        // A worker that is gone, with all its updates acknowledged, is forgotten with its exclusion: should it
        // return, what the proxies have of it is unknown.
        let forget_before = self.now - 2.0 * (self.settings.report_period + self.settings.max_transit);
        let concerns = |key: &UpdateKey, id: &WorkerId| matches!(key, UpdateKey::Exclusion(own) | UpdateKey::Line(_, own) if own == id);
        let settled = |id: &WorkerId, worker: &Worker| {
            worker.drain_requested_at < forget_before && !self.pending.iter().any(|key| concerns(key, id))
        };
        let forgotten = self
            .workers
            .extract_if(.., |id, worker| worker.listed.phase == Phase::Gone && settled(id, worker));
        for (worker, _) in forgotten {
            self.updates.retain(|key, _| !concerns(key, &worker));
            self.orders.push(Order::Forget { worker });
        }
        let excluded = |worker: &Worker| f64::from(u8::from(worker.listed.phase != Phase::Ready));
        let exclusions = self.workers.iter().map(|(id, w)| (UpdateKey::Exclusion(*id), excluded(w)));
        let mut desired: Vec<_> = exclusions.collect();
        let mut table_demand: BTreeMap<TableId, f64> =
            self.tables.iter().map(|table| (table.id, 0.0)).collect();
        for proxy in self.proxies.values() {
            for table in self.tables_for(proxy) {
                let demand = table.ops.iter().map(|op| self.demand(proxy, *op)).sum::<f64>();
                *table_demand.entry(table.id).or_default() += demand;
            }
        }
        let fleet_weight = self.workers.values().map(|worker| self.effective_weight(worker)).sum::<f64>();
        let fleet_weight_per_demand = fleet_weight / table_demand.values().sum::<f64>();
        // Load that each worker already has from groups planned before.
        let mut planned_loads: BTreeMap<WorkerId, f64> = BTreeMap::new();
        let mut tables: Vec<&Table> = self.tables.iter().collect();
        let width = |table: &Table| self.workers.values().filter(|worker| table.includes(worker)).count();
        // Narrow tables first; a group is the tables that differ in the zone of their proxies only.
        tables.sort_by_cached_key(|table| (width(table), table.ops.clone(), table.partition));
        let same_group = |a: &&Table, b: &&Table| {
            a.ops == b.ops && a.partition == b.partition && !a.operation.own_zone_only
        };
        for group in tables.chunk_by(same_group) {
            let workers: Vec<&Worker> = self.workers.values().filter(|w| group[0].includes(w)).collect();
            let total_weight =
                workers.iter().map(|worker| self.effective_weight(worker)).sum::<f64>().max(1e-9);
            let cold_ratio = self.cold_weight_ratio(&workers, total_weight);
            // Operations with many workers prefer those that narrower operations load less, and proxies prefer their
            // own zone where crossing zones is expensive.
            let already = workers.iter().filter_map(|w| planned_loads.get(&w.listed.worker)).sum::<f64>();
            let group_demand = group.iter().map(|table| table_demand[&table.id]).sum::<f64>();
            let load_per_weight = (group_demand + already) / total_weight;
            let mut room: Vec<f64> = Vec::new();
            for worker in &workers {
                let load = load_per_weight * self.effective_weight(worker);
                let planned = planned_loads.insert(worker.listed.worker, load).unwrap_or(0.0);
                room.push((load - planned).max(load * MIN_PREFERENCE_RATIO));
            }
            // The load that each table of the group puts on each worker: first on those of the zone of its proxies,
            // then the rest on all.
            let mut loads = vec![vec![0.0; workers.len()]; group.len()];
            for own_zone_only in [true, false] {
                for (table, loads) in group.iter().zip(&mut loads) {
                    let eligible = |index: &usize| {
                        !own_zone_only
                            || table.proxy_zone.is_none_or(|zone| zone == workers[*index].listed.zone)
                    };
                    let eligible: Vec<usize> = (0..workers.len()).filter(eligible).collect();
                    let free = eligible.iter().map(|index| room[*index]).sum::<f64>().max(1e-9);
                    let unplaced = table_demand[&table.id] - loads.iter().sum::<f64>();
                    let ratio = (unplaced / free).clamp(0.0, 1.0);
                    for index in eligible {
                        loads[index] += room[index] * ratio;
                        room[index] *= 1.0 - ratio;
                    }
                }
            }
            // Near overload, a partition that has less than its share of effective weight left (by load, failures or
            // cold workers) admits less.
            let limited = self.near_overload && group[0].partition.is_some();
            let load_ratio = load_per_weight * fleet_weight_per_demand;
            let partition_ratio =
                if limited { (MAX_PARTITION_LOAD_RATIO / load_ratio).min(1.0) } else { 1.0 };
            let admission_ratio = self.admission_ratio * partition_ratio;
            for (table, loads) in group.iter().zip(loads) {
                for (worker, load) in workers.iter().zip(loads) {
                    let even = table_demand[&table.id] * self.effective_weight(worker) / total_weight;
                    let preference =
                        if even > 0.0 { round_to_step((load / even).max(MIN_PREFERENCE_RATIO)) } else { 1.0 };
                    let cold = if self.warm_up_ratio(&worker.listed) < 1.0 { cold_ratio } else { 1.0 };
                    let weight = (self.effective_weight(worker) * preference * cold * 1e3).round() / 1e3;
                    desired.push((UpdateKey::Line(table.id, worker.listed.worker), weight));
                }
                let level = |&op: &usize| {
                    let key = UpdateKey::Level(table.id, OpId(op as u8));
                    (key, self.admission_level(table, op, admission_ratio))
                };
                desired.extend(table.ops.iter().map(level));
            }
        }
        desired.retain(|(key, value)| self.compose(*key, *value));
        let in_force = |update: &UpdateState| {
            update.desired > 0.0 && update.sent == update.desired && update.awaited_mark.is_none()
        };
        let has_usable_line =
            |table: &Table| self.lines(table.id).any(|(id, line)| in_force(line) && !self.is_excluded(id));
        let usable: Vec<bool> = self.tables.iter().map(has_usable_line).collect();
        desired.into_iter().for_each(|(key, _)| self.add_ordering(key, &usable));
    }

    /// Ratio of its weight that a cold worker gets in a group of tables: what overloaded workers lose would move
    /// onto those that have just started.
    fn cold_weight_ratio(&self, workers: &[&Worker], effective_weight: f64) -> f64 {
        let present = || workers.iter().filter(|worker| worker.listed.phase != Phase::Gone);
        let present_weight = present().map(|worker| worker.listed.weight).sum::<f64>().max(1e-9);
        let warm = present().filter(|worker| {
            worker.listed.phase == Phase::Ready && self.warm_up_ratio(&worker.listed) >= 1.0
        });
        let warm_weight = warm.map(|worker| worker.listed.weight).sum::<f64>();
        let overload_factor = self.settings.overload_factor;
        // Near overload, a cold worker gets nothing where proxies avoid workers that failed them, as it may be all
        // that is left to pick; elsewhere it gets half.
        let kept_out = self.settings.proxies_avoid_outliers || self.partition_count > 0;
        let none = self.near_overload && kept_out && 2.0 * warm_weight > present_weight;
        let spared_ratio = if none { 0.0 } else { (overload_factor / 4.0).min(1.0) };
        let halved =
            self.near_overload && (self.partition_count > 0 || !self.settings.proxies_avoid_outliers);
        let near_overload_ratio = if halved { NEAR_OVERLOAD_COLD_RATIO } else { 1.0 };
        near_overload_ratio
            * spared_ratio
            * (effective_weight / present_weight * overload_factor / 2.0).min(1.0)
    }

    /// Composes a write onto the pending updates: the later write wins, and an unacknowledged one counts as not
    /// applied. Returns whether the value changed and has to be sent.
    fn compose(&mut self, key: UpdateKey, value: f64) -> bool {
        let update = self.updates.entry(key).or_default();
        let changed = std::mem::replace(&mut update.desired, value) != value;
        if changed {
            self.pending.insert(key);
        }
        changed && update.sent != value
    }

    /// Whether the worker's exclusion has been sent.
    fn is_excluded(&self, id: WorkerId) -> bool {
        self.updates.get(&UpdateKey::Exclusion(id)).is_some_and(|exclusion| exclusion.sent > 0.0)
    }

    /// Adds the pairs that order an update. A line is removed after its worker's exclusion; a worker is readmitted
    /// after the line that gives it its first weight; a worker with the last usable line of a table is excluded
    /// after the lines of its replacements. `has_usable_line` is by table.
    fn add_ordering(&mut self, key: UpdateKey, has_usable_line: &[bool]) {
        let is_removal = self.updates[&key].desired == 0.0;
        match key {
            UpdateKey::Line(_, id) if is_removal => self.order_before(UpdateKey::Exclusion(id), key),
            UpdateKey::Line(_, id) if self.is_excluded(id) => {
                self.order_before(key, UpdateKey::Exclusion(id))
            }
            UpdateKey::Exclusion(id) if !is_removal => {
                let affected = |table: &&Table| {
                    !has_usable_line[usize::from(table.id.0)] && table.includes(&self.workers[&id])
                };
                let lines = self.tables.iter().filter(affected).flat_map(|table| {
                    let lines = self.lines(table.id);
                    let replacements = lines.filter(|(other, line)| *other != id && line.desired > 0.0);
                    replacements.map(|(other, _)| UpdateKey::Line(table.id, other))
                });
                let lines = lines.collect::<Vec<UpdateKey>>();
                lines.into_iter().for_each(|line| self.order_before(line, key));
            }
            _ => {}
        }
    }

    /// The lines of a table, by worker.
    fn lines(&self, table: TableId) -> impl Iterator<Item = (WorkerId, &UpdateState)> {
        let first = UpdateKey::Line(table, WorkerId(0));
        let last = UpdateKey::Line(table, WorkerId(u32::MAX));
        self.updates.range(first..=last).filter_map(|(key, update)| match key {
            UpdateKey::Line(_, id) => Some((*id, update)),
            _ => None,
        })
    }

    /// Adds a pair of ordered updates. Where it closes a cycle, the oldest pair of the cycle is removed, and the
    /// predecessors of its first update are linked to the successors of its second.
    fn order_before(&mut self, first: UpdateKey, second: UpdateKey) {
        self.ordered_pairs.insert((first, second), self.now);
        while let Some(cycle) = self.shortest_cycle(first) {
            let by_age = |a: &(UpdateKey, UpdateKey), b: &(UpdateKey, UpdateKey)| {
                self.ordered_pairs[a].total_cmp(&self.ordered_pairs[b])
            };
            let oldest = cycle.into_iter().min_by(by_age).expect("a cycle has pairs");
            let since = self.ordered_pairs.remove(&oldest).expect("a known pair");
            let pairs: Vec<(UpdateKey, UpdateKey)> = self.ordered_pairs.keys().copied().collect();
            for (predecessor, _) in pairs.iter().filter(|pair| pair.1 == oldest.0) {
                let successors = pairs.iter().filter(|pair| pair.0 == oldest.1 && pair.1 != *predecessor);
                successors
                    .for_each(|pair| _ = self.ordered_pairs.entry((*predecessor, pair.1)).or_insert(since));
            }
        }
    }

    /// The pairs of a shortest cycle through a key, by breadth-first search: no recursion, since its depth would grow
    /// with the fleet.
    fn shortest_cycle(&self, through: UpdateKey) -> Option<Vec<(UpdateKey, UpdateKey)>> {
        let last_key = UpdateKey::Level(TableId(u16::MAX), OpId(u8::MAX));
        let mut reached_from = BTreeMap::new();
        let mut queue = VecDeque::from([through]);
        while let Some(from) = queue.pop_front() {
            let successors = (from, UpdateKey::Exclusion(WorkerId(0)))..=(from, last_key);
            for (pair, _) in self.ordered_pairs.range(successors) {
                if pair.1 == through {
                    let mut cycle = vec![*pair];
                    let mut at = from;
                    while let Some(predecessor) = reached_from.get(&at) {
                        cycle.push((*predecessor, at));
                        at = *predecessor;
                    }
                    return Some(cycle);
                }
                reached_from.entry(pair.1).or_insert_with(|| {
                    queue.push_back(pair.1);
                    from
                });
            }
        }
        None
    }

    /// Completes each update that every proxy concerned has acknowledged, by a mark sent after it. An update that no
    /// proxy is left to acknowledge becomes idle.
    fn complete_updates(&mut self) {
        let acknowledged = |id: &ProxyId| self.proxies[id].acknowledged_mark;
        let by_table: Vec<_> =
            self.tables.iter().map(|table| table.bound_proxies.iter().map(acknowledged).min()).collect();
        let unbound = self.proxies.values().filter(|proxy| !proxy.bound);
        let by_unbound = unbound.map(|proxy| proxy.acknowledged_mark).min();
        self.pending.retain(|key| {
            let acknowledged = match *key {
                UpdateKey::Line(table, _) | UpdateKey::Level(table, _) => by_table[usize::from(table.0)],
                UpdateKey::Exclusion(id) => {
                    let tables = self.tables.iter().filter(|table| table.includes(&self.workers[&id]));
                    let by_tables = tables.filter_map(|table| by_table[usize::from(table.id.0)]);
                    by_tables.chain(by_unbound).min()
                }
            };
            let update = self.updates.get_mut(key).expect("a known key");
            match (update.awaited_mark, acknowledged) {
                (Some(_), None) => {
                    update.sent = f64::NAN;
                    update.awaited_mark = None;
                }
                (Some(mark), Some(acknowledged)) if acknowledged >= mark => update.awaited_mark = None,
                _ => {}
            }
            update.awaited_mark.is_some() || update.desired != update.sent
        });
        self.ordered_pairs.retain(|pair, _| self.pending.contains(&pair.0) && self.pending.contains(&pair.1));
    }

    /// Sends idle updates and a mark: exclusions, then binds, then levels and the largest changes of weights, up to
    /// [`SEND_BACKLOG_RATIO`] of the backlog. Overdue drains may use more.
    fn send_updates(&mut self) {
        let now = self.now;
        let backlog = self.settings.max_pending_lines;
        // Lines leave the channel only by acknowledgements and at a very slow rate: this holds for slow channels,
        // stalls and lost acknowledgements.
        let assumed_left =
            (now - self.progress_at) * self.settings.channel_rate * MIN_CHANNEL_RATE_RATIO / 1000.0;
        let waiting = (self.unacknowledged.values().sum::<f64>() - assumed_left).max(0.0);
        let head = self.settings.message_overhead + 1.0;
        // Room for a message of one line to each proxy.
        let reserve = (self.proxies.len() as f64 * (head + 1.0)).min(backlog * SEND_BACKLOG_RATIO / 4.0);
        let message_interval =
            self.settings.message_window / (self.settings.max_messages_per_window * ORDINARY_MESSAGE_RATIO);
        let overhead_interval = self.expected_proxy_count() * head * 1000.0
            / (self.settings.channel_rate * ORDINARY_OVERHEAD_RATIO);
        let overhead_interval = if self.partition_count > 0 { overhead_interval } else { 0.0 };
        let ordinary_interval =
            message_interval.max(self.settings.report_period / 2.0).max(overhead_interval);
        let behind: BTreeSet<UpdateKey> = self.ordered_pairs.keys().map(|pair| pair.1).collect();
        let unread = |table: &TableId| self.tables[usize::from(table.0)].bound_proxies.is_empty();
        // Exclusions are gathered: sent one by one as room appears, they would take a message each until the proxies
        // may be sent no more.
        let exclusion_interval = self.settings.message_window
            / (self.settings.max_messages_per_window * (1.0 - ORDINARY_MESSAGE_RATIO));
        let exclusion_interval =
            exclusion_interval.min(OVERDUE_DRAIN_GRACE_RATIO * self.settings.drain_grace);
        let exclusions_due = now >= self.exclusions_sent_at + exclusion_interval;
        let due = |key: &&UpdateKey| match key {
            UpdateKey::Line(table, _) | UpdateKey::Level(table, _) => {
                now >= self.ordinary_sent_at + ordinary_interval || unread(table)
            }
            UpdateKey::Exclusion(_) => exclusions_due || self.updates[key].desired == 0.0,
        };
        let is_idle = |key: &&UpdateKey| self.updates[key].desired != self.updates[key].sent;
        let idle = self.pending.iter().filter(is_idle);
        let mut changes = Vec::new();
        for key in idle.filter(due).copied().collect::<Vec<UpdateKey>>() {
            let update = &self.updates[&key];
            let ready = !behind.contains(&key);
            if let (UpdateKey::Exclusion(id), true) = (key, update.desired > 0.0) {
                let overdue_after = OVERDUE_DRAIN_GRACE_RATIO * self.settings.drain_grace;
                let overdue = now >= self.workers[&id].drain_requested_at + overdue_after;
                let ratio = if overdue { OVERDUE_BACKLOG_RATIO } else { SEND_BACKLOG_RATIO };
                if (ready || overdue) && self.send_update(key, backlog * ratio - waiting, 1.0) {
                    self.exclusions_sent_at = now;
                }
            } else if ready {
                // Levels go first: by size of change they would wait behind all lines of a growing fleet. The line
                // of an excluded worker has no effect any more: its removal waits behind the lines of replacements.
                let no_effect =
                    matches!(key, UpdateKey::Line(_, id) if update.desired == 0.0 && self.is_excluded(id));
                let change = if no_effect { 0.0 } else { (update.desired - update.sent).abs() };
                changes.push((matches!(key, UpdateKey::Level(..)), change, key));
            }
        }
        let room = backlog * SEND_BACKLOG_RATIO - reserve - waiting;
        let unbound = self.proxies.iter().filter(|(_, proxy)| !proxy.bound);
        let mut unbound: Vec<(f64, ProxyId)> =
            unbound.map(|(id, proxy)| (proxy.inv_per_second, *id)).collect();
        unbound.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.assign_partitions(&unbound);
        for (_, id) in unbound {
            // A bind that would never fit otherwise is sent alone, into an empty channel.
            let alone = waiting == 0.0 && self.message_lines.is_empty();
            if !self.bind_proxy(id, if alone { backlog * OVERDUE_BACKLOG_RATIO } else { room }) {
                break;
            }
        }
        changes.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        for (_, _, key) in changes {
            if self.turn_lines < room && self.send_update(key, room, ORDINARY_MESSAGE_RATIO) {
                self.ordinary_sent_at = now;
            }
        }
        if !self.message_lines.is_empty() {
            self.last_mark += 1;
            self.turn_lines = 0.0;
            self.progress_at = if self.unacknowledged.is_empty() { now } else { self.progress_at };
            self.orders.push(Order::Mark { number: MarkId(self.last_mark as u16), all_proxies: false });
        }
        for (id, lines) in std::mem::take(&mut self.message_lines) {
            self.message_times.entry(id).or_default().push_back(now);
            self.unacknowledged.insert((self.last_mark, id), lines);
        }
    }

    /// Reserves lines in this turn's message to each receiver, if they fit into `room` lines in all and no receiver
    /// gets more than `message_ratio` of its allowed messages. Returns whether they fit.
    fn reserve(&mut self, receivers: &BTreeSet<ProxyId>, lines: f64, room: f64, message_ratio: f64) -> bool {
        let now = self.now;
        let limit_span = self.settings.message_window;
        let head = self.settings.message_overhead + 1.0;
        let new: Vec<&ProxyId> = receivers.iter().filter(|id| !self.message_lines.contains_key(id)).collect();
        let cost = receivers.len() as f64 * lines + new.len() as f64 * head;
        let mut fits = self.turn_lines + cost <= room;
        // Times are kept beyond a stream's end: a proxy that joins again may be counted as if it had never left.
        for id in new {
            let times = self.message_times.entry(*id).or_default();
            times.retain(|at| now - at <= limit_span * 1.02);
            fits &= (times.len() as f64) < (self.settings.max_messages_per_window * message_ratio).floor();
        }
        if fits {
            self.turn_lines += cost;
            receivers.iter().for_each(|id| *self.message_lines.entry(*id).or_insert(head) += lines);
        }
        fits
    }

    /// Sends an update if it fits. Returns whether it took part of a message: one without receivers takes none.
    fn send_update(&mut self, key: UpdateKey, room: f64, message_ratio: f64) -> bool {
        let receivers = self.receivers(key);
        let lines = match key {
            UpdateKey::Line(_, id) => self.line_cost(id, &self.updates[&key]),
            _ => 1.0,
        };
        if !receivers.is_empty() && !self.reserve(&receivers, lines, room, message_ratio) {
            return false;
        }
        let update = self.updates.get_mut(&key).expect("a known key");
        update.sent = update.desired;
        update.readmission_uncertain = false;
        update.awaited_mark = (!receivers.is_empty()).then_some(self.last_mark + 1);
        let level = update.desired;
        // Any other retry multiplies an overload: a try that was given up still occupies its worker.
        let retry = if self.admission_ratio < 1.0 { Retry::Never } else { Retry::IfNotExecuted };
        self.orders.push(match key {
            UpdateKey::Exclusion(worker) => Order::ExcludeWorker { worker, excluded: level > 0.0 },
            UpdateKey::Line(table, worker) => Order::SetLine { table, worker, weight: level },
            UpdateKey::Level(id, op) => {
                Order::SetAdmission { scope: AdmissionScope::Table(id), ops: 1 << op.0, level, retry }
            }
        });
        !receivers.is_empty()
    }

    /// Lines that writing a line costs: a second one readmits a possibly excluded worker as it enters the table.
    fn line_cost(&self, id: WorkerId, line: &UpdateState) -> f64 {
        let may_be_absent = line.readmission_uncertain || line.sent.is_nan() || line.sent == 0.0;
        let enters = line.desired > 0.0 && may_be_absent;
        1.0 + f64::from(u8::from(enters && self.workers[&id].possibly_excluded))
    }

    /// Binds a joined proxy to its tables if their lines fit; a table without usable lines waits. Returns false
    /// where there is no room left.
    fn bind_proxy(&mut self, id: ProxyId, room: f64) -> bool {
        let mut cost = 0.0;
        let mut binds = Vec::new();
        for table in self.tables_for(&self.proxies[&id]) {
            let lines = self.lines(table.id).filter(|(_, line)| line.sent > 0.0);
            let (excluded, usable): (Vec<_>, Vec<_>) =
                lines.partition(|(worker, _)| self.is_excluded(*worker));
            if !usable.is_empty() {
                let readmitted =
                    usable.iter().filter(|(worker, _)| self.workers[worker].possibly_excluded).count();
                cost += (1 + 2 * excluded.len() + usable.len() + readmitted + table.ops.len()) as f64;
                binds.push((table.id, table.ops.iter().map(|op| 1 << op).sum()));
            }
        }
        if binds.is_empty() || !self.reserve(&BTreeSet::from([id]), cost, room, 1.0) {
            return binds.is_empty() || self.turn_lines + cost <= room;
        }
        // It may have been bound to the tables of the whole fleet or to those of its partition.
        let former = [None, self.proxies[&id].partition];
        for index in former.iter().filter_map(|partition| self.partition_tables.get(partition)).flatten() {
            self.tables[*index].bound_proxies.remove(&id);
        }
        for (table, ops) in binds {
            self.tables[usize::from(table.0)].bound_proxies.insert(id);
            self.orders.push(Order::Bind { table, ops, proxy: id });
        }
        self.proxies.get_mut(&id).expect("a joined proxy").bound = true;
        true
    }

    /// The proxies that an update is sent to. An exclusion also goes to unbound proxies, which may still have
    /// another manager's tables.
    fn receivers(&self, key: UpdateKey) -> BTreeSet<ProxyId> {
        let id = match key {
            UpdateKey::Line(table, _) | UpdateKey::Level(table, _) => {
                return self.tables[usize::from(table.0)].bound_proxies.clone();
            }
            UpdateKey::Exclusion(id) => id,
        };
        let has_line = |table: &&Table| {
            self.updates.get(&UpdateKey::Line(table.id, id)).is_some_and(|line| line.sent > 0.0)
        };
        let tables = self.tables.iter().filter(has_line);
        let bound = tables.flat_map(|table| table.bound_proxies.iter().copied());
        bound.chain(self.proxies.iter().filter(|(_, proxy)| !proxy.bound).map(|(id, _)| *id)).collect()
    }
}

/// The tables that the operations need, one for all operations with the same restrictions. Where an operation stays
/// within the proxy's zone, or crossing zones costs more than the channel, each zone has its own.
fn tables_of_operations(settings: &Settings, zones: &[ZoneId]) -> Vec<Table> {
    let mut tables: Vec<Table> = Vec::new();
    // A bind names its operations by the bits of a 32-bit word. With slices, proxies are bound to no tables.
    let max_operations = if settings.slice_count > 0 { 0 } else { 32 };
    for (index, op) in settings.operations.iter().enumerate().take(max_operations) {
        let by_zone = op.own_zone_only || settings.cross_zone_cost > settings.channel_cost;
        for proxy_zone in if by_zone { zones.iter().copied().map(Some).collect() } else { vec![None] } {
            let restrictions = |op: &Operation| (op.zones.clone(), op.machines.clone(), op.own_zone_only);
            let same = |table: &&mut Table| {
                table.proxy_zone == proxy_zone && restrictions(&table.operation) == restrictions(op)
            };
            match tables.iter_mut().find(same) {
                Some(table) => table.ops.push(index),
                None => tables.push(Table {
                    id: TableId(tables.len() as u16),
                    ops: vec![index],
                    operation: op.clone(),
                    proxy_zone,
                    partition: None,
                    bound_proxies: BTreeSet::new(),
                }),
            }
        }
    }
    tables
}

/// The index of the least load, the first one of equals; `None` of an empty slice.
fn index_of_least(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}

/// The mean; `None` of no values.
fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// Rounds a positive value to a power of [`ROUNDING_STEP_RATIO`].
fn round_to_step(value: f64) -> f64 {
    ROUNDING_STEP_RATIO.powf((value.ln() / ROUNDING_STEP_RATIO.ln()).round())
}

/// The median, the upper one of an even number. There has to be a value.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
