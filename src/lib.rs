//! Planner of a juniperrail manager: decides which weight a worker has in which table, which part of the demand is
//! admitted, whether proxies retry, and which proxy is bound to which tables.
//!
//! The host passes what happened to [`Planner::process_events`] and carries out the returned orders as written. The
//! planner does no I/O and reads no clock. The types of events and orders are in `juniperrail_interface`; the
//! mechanism is described in `docs/design.md`.

mod admission;
mod events;
mod numbers;
mod partitions;
mod planning;
mod sending;
mod updates;
mod weights;

use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of timers ordered in a report period, unless they would be shorter than [`MIN_TIMER`].
const TIMERS_PER_REPORT_PERIOD: f64 = 8.0;
/// The shortest timer that is ordered.
const MIN_TIMER: Ms = 20.0;

/// What an update sets. Updates of the same priority (see `Planner::send_updates`) are sent in the order of the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKey {
    /// Whether proxies may pick a worker at all: 1 excludes it, 0 readmits it.
    Exclusion(WorkerId),
    /// The weight of a worker in a table; 0 removes the line.
    Line(TableId, WorkerId),
    /// The admission level of a table and operation.
    Level(TableId, OpId),
}

/// State of an update, in the terms of the design: idle (to be sent) while `desired` differs from `sent`, scheduled
/// while a mark awaits acknowledgement, else completed.
#[derive(Default)]
struct UpdateState {
    desired: f64,
    /// NaN where it is unknown what the proxies have.
    sent: f64,
    /// When the last write was sent.
    sent_at: Ms,
    /// The mark sent after the last write, until all bound proxies have acknowledged it.
    awaited_mark: Option<u64>,
    /// Whether another manager may have excluded the worker since this line was sent; the next write may then have to
    /// readmit it.
    readmission_uncertain: bool,
}

impl UpdateState {
    /// Whether a table may have this line: it was sent with a weight, or its state is unknown.
    fn may_be_in_table(&self) -> bool {
        self.sent != 0.0
    }
}

/// What one report, or the sum of several, says about a worker.
struct Sample {
    received_at: Ms,
    tries: f64,
    failed_tries: f64,
    /// Sum of the times of successful tries.
    success_time: Ms,
    /// Fraction of the worker's cores that are busy, if reported.
    utilization: Option<f64>,
}

struct Worker {
    listed: WorkerEntry,
    /// When the worker last left the phase ready; if it never did, when it was first listed.
    drain_requested_at: Ms,
    /// Factor on the listed weight. It falls while the worker's tries cost more than its peers' or its cores are
    /// busier, and rises in the opposite case.
    weight_factor: f64,
    weight_adjusted_at: Ms,
    /// What its latest reports say, the newest first.
    samples: VecDeque<Sample>,
    /// `None` while the fleet is not partitioned.
    partition: Option<usize>,
    /// Whether another manager may have excluded the worker at a proxy; the proxy then has to be sent a readmission.
    possibly_excluded: bool,
}

#[derive(Default)]
struct Proxy {
    zone: ZoneId,
    inv_per_second: f64,
    /// The partition whose tables it gets; `None` means those of the whole fleet.
    partition: Option<usize>,
    /// Since when it lacks tables: since it joined, or since the fleet was partitioned.
    unbound_since: Ms,
    /// Indices in `Settings::operations` of the operations that it is not bound to a table for. For these it may have
    /// another manager's table, with any worker.
    unbound_ops: BTreeSet<usize>,
    acknowledged_mark: u64,
    joined_at: Ms,
    /// The mark of the last message to it; 0 before the first.
    sent_mark: u64,
    /// By operation: the last reported rates in invocations a second, the newest first.
    demand: BTreeMap<OpId, VecDeque<f64>>,
}

impl Proxy {
    /// Whether it is bound to a table for each operation.
    fn is_bound(&self) -> bool {
        self.unbound_ops.is_empty()
    }
}

/// A table that proxies are bound to: the workers of some operations, for proxies of one zone or of all.
struct Table {
    id: TableId,
    /// Indices of its operations in `Settings::operations`.
    ops: Vec<usize>,
    /// The first of its operations; all have the same restrictions on workers.
    operation: Operation,
    /// The zone of its proxies; `None` means all zones.
    proxy_zone: Option<ZoneId>,
    /// The partition whose workers and proxies it has; `None` means the whole fleet.
    partition: Option<usize>,
    /// Whether it has the workers of all partitions, although its proxies are those of one; see
    /// [`Planner::widen_tables`].
    spans_partitions: bool,
    bound_proxies: BTreeSet<ProxyId>,
}

impl Table {
    /// Whether its operations may go to a worker from the proxies that it is for.
    fn is_open_to(&self, worker: &Worker) -> bool {
        self.operation.zones.as_ref().is_none_or(|zones| zones.contains(&worker.listed.zone))
            && self
                .operation
                .machines
                .as_ref()
                .is_none_or(|machines| machines.contains(&worker.listed.machine))
            && (!self.operation.own_zone_only || self.proxy_zone == Some(worker.listed.zone))
    }

    /// Whether a worker may have a line in this table.
    fn includes(&self, worker: &Worker) -> bool {
        self.is_open_to(worker)
            && (self.partition.is_none() || self.spans_partitions || self.partition == worker.partition)
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
    /// Whether any worker was ever listed. Those that are gone are forgotten after some time.
    has_listed_workers: bool,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// By proxy: the number of its last streams, one after the other, that ended soon and with a message that was not
    /// acknowledged.
    unanswered_streams: BTreeMap<ProxyId, i32>,
    /// When messages were sent to each proxy, as far as they may still count within `Settings::message_window`.
    message_times: BTreeMap<ProxyId, VecDeque<Ms>>,
    /// Indexed by table id.
    tables: Vec<Table>,
    /// Indices into `tables`, by partition; those under `None` are of the tables of the whole fleet.
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
    /// By mark and proxy: the lines sent, with overhead, of which no acknowledgement has yet shown that they left the
    /// channel.
    unacknowledged: BTreeMap<(u64, ProxyId), f64>,
    /// When the channel was last known to make progress: at the last acknowledgement, or at the last send into an empty
    /// channel.
    progress_at: Ms,
    /// Size, in lines and with overhead, of the message that this turn sends to each proxy.
    message_lines: BTreeMap<ProxyId, f64>,
    /// The sum of `message_lines`.
    turn_lines: f64,
    /// When ordinary updates were last sent.
    ordinary_sent_at: Ms,
    /// When exclusions were last sent.
    exclusions_sent_at: Ms,
    /// Fraction of the demand that is admitted, for an operation of mean billed value.
    admission_ratio: f64,
    admission_changed_at: Ms,
    /// The admission ratio from which admission was last cut after a raise.
    overloaded_ratio: f64,
    /// Whether the last change of the admission ratio was a raise.
    admission_rising: bool,
    /// Whether the capacity estimated at the last adjustment of admission was so low that the fleet counts as near
    /// overload.
    near_overload: bool,
    /// Whether a timer has to be ordered at the end of this turn.
    timer_due: bool,
    /// When the worker list is to be requested.
    list_request_at: Option<Ms>,
    orders: Vec<Order>,
}

impl Planner {
    /// Creates a planner that knows no workers and no proxies yet. The seed determines all its random choices.
    pub fn new(now: Ms, seed: u64, settings: Settings) -> Self {
        let mut planner = Planner {
            rng: fastrand::Rng::with_seed(seed),
            now,
            admission_ratio: 1.0,
            overloaded_ratio: 1.0,
            exclusions_sent_at: f64::NEG_INFINITY,
            timer_due: true,
            list_request_at: settings.list_on_request.then_some(now),
            settings,
            ..Planner::default()
        };
        planner.build_tables(None, None);
        planner
    }

    /// Handles the events of a turn and returns the orders to carry out, in this order.
    ///
    /// A turn of acknowledgements alone only completes and sends updates; any other turn, also one without events,
    /// plans anew.
    pub fn process_events(&mut self, now: Ms, events: &[Event]) -> Vec<Order> {
        self.now = now;
        events.iter().for_each(|event| self.handle_event(event));
        if events.is_empty() || events.iter().any(|event| !matches!(event, Event::MarkAcknowledged { .. })) {
            self.adjust_weights();
            self.adjust_admission();
            self.partition_fleet();
            self.widen_tables();
            self.plan_updates();
        }
        self.complete_updates();
        self.send_updates();
        self.orders.extend(
            self.list_request_at
                .take_if(|request_at| now >= *request_at)
                .map(|_| Order::SubscribeToList(true)),
        );
        let after = (self.settings.report_period / TIMERS_PER_REPORT_PERIOD).max(MIN_TIMER);
        let handle = "beat".into();
        self.orders.extend(std::mem::take(&mut self.timer_due).then_some(Order::SetTimer { after, handle }));
        std::mem::take(&mut self.orders)
    }

    /// The number of bound proxies that have acknowledged all desired exclusions and lines of these workers.
    pub fn synced_proxy_count(&self, workers: &BTreeSet<WorkerId>) -> usize {
        // Removals of lines do not count: they make no difference once the worker is excluded.
        let concerns = |key: &&UpdateKey| match key {
            UpdateKey::Exclusion(id) => workers.contains(id),
            UpdateKey::Line(_, id) => workers.contains(id) && self.updates[key].desired > 0.0,
            UpdateKey::Level(..) => false,
        };
        let concerned_keys = self.pending.iter().filter(concerns);
        let concerned_updates: Vec<(&UpdateState, BTreeSet<ProxyId>)> =
            concerned_keys.map(|key| (&self.updates[key], self.receivers(*key))).collect();
        let has_acknowledged = |proxy: &Proxy, update: &UpdateState| {
            update.awaited_mark.is_none_or(|mark| proxy.acknowledged_mark >= mark)
        };
        let is_synced = |(id, proxy): &(&ProxyId, &Proxy)| {
            let is_applied =
                |update: &UpdateState| update.desired == update.sent && has_acknowledged(proxy, update);
            proxy.is_bound()
                && concerned_updates
                    .iter()
                    .all(|(update, receivers)| !receivers.contains(id) || is_applied(update))
        };
        self.proxies.iter().filter(is_synced).count()
    }

    /// Lines sent, with overhead, of which no acknowledgement has yet shown that they left the channel.
    pub fn unacknowledged_lines(&self) -> f64 {
        self.unacknowledged.values().sum()
    }
}
