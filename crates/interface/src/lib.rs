//! Types exchanged between a host and the planner: ids, settings, the events that the planner receives and the orders
//! that it returns. They contain no logic and no protocol; a host translates its protocol to and from them.

/// Fractional milliseconds, used for durations and for points in time.
pub type Ms = f64;

/// A worker, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// A proxy, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// A failure zone of workers and proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A machine type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineId(pub u16);

/// A small group of workers in one zone that share stored fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u32);

/// An operation, by its index in [`Settings::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpId(pub u8);

/// A table of weighted workers, or a slice of the key space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u16);

/// The number of a mark that proxies acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MarkId(pub u16);

/// An operation that proxies invoke on workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The latency that its invocations are to stay within.
    pub latency_objective: Ms,
    /// The value of one invocation, relative to other operations: the lower it is, the more of the operation is
    /// rejected under overload.
    pub billed_value: f64,
    /// The zones whose workers serve it; `None` means all zones.
    pub zones: Option<Vec<ZoneId>>,
    /// The machine types whose workers serve it; `None` means all types.
    pub machines: Option<Vec<MachineId>>,
    /// Whether it is served only by workers in the proxy's own zone.
    pub own_zone_only: bool,
}

/// The unit of admission levels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LevelKind {
    /// The admitted fraction of invocations.
    Share,
    /// Admitted invocations per second.
    PerSecond,
    /// The deployment ignores admission levels.
    #[default]
    Unsupported,
}

/// The settings that a manager starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The operations, by [`OpId`].
    pub operations: Vec<Operation>,
    /// The zones that are known at the start; others may appear later.
    pub zones: Vec<ZoneId>,
    /// The number of slices of the key space; 0 where proxies are bound to tables instead.
    pub slice_count: usize,
    /// The unit of the admission levels.
    pub level_kind: LevelKind,
    /// Whether proxies stop sending to a worker for some time after several consecutive failures.
    pub proxies_avoid_outliers: bool,
    /// The cost that would arise if every first try crossed zones, in the unit of `channel_cost`.
    pub cross_zone_cost: f64,
    /// The cost of using the channel to the proxies at its full rate.
    pub channel_cost: f64,
    /// The number of lines per second that the channel to the proxies carries.
    pub channel_rate: f64,
    /// The limit on the number of lines that wait in the channel.
    pub max_pending_lines: f64,
    /// The cost of a message besides its lines, counted in lines.
    pub message_overhead: f64,
    /// The limit on the number of messages to one proxy within `message_window`; infinite where there is none.
    pub max_messages_per_window: f64,
    /// The time over which messages to a proxy are counted.
    pub message_window: Ms,
    /// The longest time that a message takes to reach a proxy.
    pub max_transit: Ms,
    /// The interval between two reports of the sums of tries and invocations.
    pub report_period: Ms,
    /// How long a draining worker still serves.
    pub drain_grace: Ms,
    /// How long a worker stays cold after it started.
    pub warm_up: Ms,
    /// The fraction of a warm worker's weight that a worker has when it starts.
    pub cold_share: f64,
    /// The factor by which a cold worker's share of the load may exceed its capacity.
    pub overload_factor: f64,
    /// The number of proxies in the deployment.
    pub proxy_count: f64,
    /// The number of managers that the proxies join.
    pub manager_count: f64,
    /// Whether the worker list is sent only on request.
    pub list_on_request: bool,
    /// The time within which the list has to be requested.
    pub list_request_deadline: Ms,
}

/// The settings that may change while a manager runs; the fields are those of [`Settings`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuntimeSettings {
    pub drain_grace: Ms,
    pub warm_up: Ms,
    pub cold_share: f64,
    pub overload_factor: f64,
    /// Each operation's latency objective and billed value, in the order of [`Settings::operations`].
    pub operations: Vec<(Ms, f64)>,
}

/// The phase of a worker's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// One worker in the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    pub worker: WorkerId,
    pub phase: Phase,
    /// When it last started; `None` if that is unknown or long ago, and the worker counts as warm.
    pub started_at: Option<Ms>,
    pub zone: ZoneId,
    pub machine: MachineId,
    pub cell: CellId,
    /// Its share of the load relative to other workers; 0 or less if the list gives none.
    pub weight: f64,
}

/// How a received list relates to the full worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The full list.
    Full,
    /// The full list as this manager last stored it; it may be stale.
    Remembered,
    /// The list could not be fetched.
    Failed,
}

/// A worker's load report; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests waiting in the worker's queue.
    pub queued: Option<f64>,
    /// The fraction of the worker's cores that are busy.
    pub utilization: Option<f64>,
    /// The latency of recent requests.
    pub recent_latency: Option<Ms>,
    pub requests_per_second: Option<f64>,
    pub errors_per_second: Option<f64>,
}

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Success,
    ErrorResponse,
    /// The worker rejected the probe because it had no capacity left.
    Rejected,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotApplicable,
}

/// What the host reports to the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the worker list.
    List { kind: ListKind, version: u64, workers: Vec<WorkerEntry> },
    /// Settings changed while running; learned state is kept.
    SettingsChanged(RuntimeSettings),
    /// A timer set with [`Order::SetTimer`] expired.
    TimerFired { handle: String },
    /// The result of [`Order::Probe`].
    Probed { worker: WorkerId, outcome: ProbeOutcome, took: Ms, load: Load },
    /// A message from another manager.
    PeerMessage { from: u32, content: Vec<u8> },
    /// A proxy joined this manager.
    Joined {
        proxy: ProxyId,
        /// Whether the proxy has only its initial tables, and nothing from an earlier connection.
        fresh: bool,
        inv_per_second: f64,
        zone: ZoneId,
    },
    /// A proxy left this manager.
    Left { proxy: ProxyId },
    /// Sums over a period of the tries that the proxies of a zone made at a worker.
    WorkerSums {
        zone: ZoneId,
        worker: WorkerId,
        /// The number of tries, including failed ones.
        tries: f64,
        /// The number of failed tries.
        failed: f64,
        /// The mean latency of the successful tries.
        mean_latency: Ms,
        period: Ms,
        load: Load,
    },
    /// Sums over a period of the invocations of an operation that a proxy received.
    ProxySums { proxy: ProxyId, op: OpId, invocations: f64, unanswered: f64, period: Ms },
    /// Sums over a period of the invocations of an operation for a slice.
    SliceSums { slice: TableId, op: OpId, invocations: f64, unanswered: f64, period: Ms },
    /// This manager became responsible for a slice.
    SliceAssigned { slice: TableId },
    /// This manager is no longer responsible for a slice.
    SliceRevoked { slice: TableId },
    /// A line that the slice's table already has.
    SliceLine { slice: TableId, worker: WorkerId, weight: f64 },
    /// A proxy acknowledged a mark.
    MarkAcknowledged { mark: MarkId, took: Ms, proxy: ProxyId },
}

/// The receiver of a message between managers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    Peer(u32),
    All,
}

/// The proxies that an admission level applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionScope {
    /// Those bound to the table.
    Table(TableId),
    AllProxies,
}

/// When a proxy retries an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Never,
    /// Once, at another worker, if the first try is known not to have been executed.
    IfNotExecuted,
    OnceOnFailure,
    TwiceOnFailure,
}

/// What the planner orders the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Reports [`Event::TimerFired`] with this handle after the given time.
    SetTimer { after: Ms, handle: String },
    /// Asks a worker for its load; reported as [`Event::Probed`].
    Probe { worker: WorkerId },
    /// Sends a message to other managers.
    SendMessage { to: Receiver, content: Vec<u8> },
    /// A log line for operators, about a worker if one is given.
    Log { about: Option<WorkerId>, text: String },
    /// Subscribes to updates of the worker list, or ends the subscription.
    SubscribeToList(bool),
    /// Fetches the complete worker list.
    FetchList,
    /// No later order refers to this worker unless a list contains it again.
    Forget { worker: WorkerId },
    /// Sets the weight of a worker's line in a table; a weight of 0 removes the line.
    SetLine { table: TableId, worker: WorkerId, weight: f64 },
    /// Removes all lines of a table.
    ClearTable { table: TableId },
    /// Makes proxies stop sending to a worker, whatever its weights, or ends that exclusion.
    ExcludeWorker { worker: WorkerId, excluded: bool },
    /// Binds a joined proxy to a table for some operations (bit k stands for operation k).
    Bind { table: TableId, ops: u32, proxy: ProxyId },
    /// Sets the admission level and the retry policy of some operations (bits as in [`Order::Bind`]).
    SetAdmission { scope: AdmissionScope, ops: u32, level: f64, retry: Retry },
    /// Sends a mark that proxies acknowledge once they have applied every order before it.
    Mark { number: MarkId, all_proxies: bool },
}
