//! What a juniperrail manager is told and what it may order, in the project's own words.
//! There is no logic here; a protocol is put before the decisions by translating to these types.

/// Milliseconds with fractions, both for spans and for the clock.
pub type Ms = f64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineId(pub u16);

/// A small group of workers of one zone that share kept fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u32);

/// An operation by its place in [`Settings::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpId(pub u8);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MarkId(pub u16);

#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The time within which an answer is wanted.
    pub latency_objective: Ms,
    pub billed_value: f64,
    /// The zones and machines whose workers serve it; `None` is all of them.
    pub zones: Option<Vec<ZoneId>>,
    pub machines: Option<Vec<MachineId>>,
    /// Served only by workers of the proxy's own zone.
    pub own_zone_only: bool,
}

/// What a level counts, if the deployment heeds levels at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LevelKind {
    Share,
    PerSecond,
    #[default]
    Unsupported,
}

/// The figures a manager is handed at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub operations: Vec<Operation>,
    pub zones: Vec<ZoneId>,
    /// Keys fall into so many slices; 0 where proxies are bound to tables instead.
    pub slice_count: usize,
    pub level_kind: LevelKind,
    /// Proxies keep away for a while from a worker that failed them several times in a row.
    pub proxies_avoid_outliers: bool,
    /// What crossing zones with each first try, and the whole pace of the channel, would cost.
    pub cross_zone_cost: f64,
    pub channel_cost: f64,
    pub channel_rate: f64,
    pub max_pending_lines: f64,
    pub message_overhead: f64,
    /// Messages to one proxy within `message_window`; infinite where there is no limit.
    pub max_messages_per_window: f64,
    pub message_window: Ms,
    pub max_transit: Ms,
    pub report_period: Ms,
    pub drain_grace: Ms,
    pub warm_up: Ms,
    pub cold_share: f64,
    pub overload_factor: f64,
    /// All proxies, and the managers that they join.
    pub proxy_count: f64,
    pub manager_count: f64,
    /// The list must be asked for.
    pub list_on_request: bool,
    pub list_request_deadline: Ms,
}

/// Those of the start figures that may change while a manager runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuntimeSettings {
    pub drain_grace: Ms,
    pub warm_up: Ms,
    pub cold_share: f64,
    pub overload_factor: f64,
    /// Each operation's latency objective and billed value, in the order of [`Settings::operations`].
    pub operations: Vec<(Ms, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    pub worker: WorkerId,
    pub phase: Phase,
    /// When it last started; `None` is long ago.
    pub booted: Option<Ms>,
    pub zone: ZoneId,
    pub machine: MachineId,
    pub cell: CellId,
    pub weight: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Full,
    /// The whole list as this manager last had it; it may be stale.
    Cached,
    Failed,
}

/// The parts of a worker's load report that came; all are absent where there was none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub utilization: Option<f64>,
    pub recent_latency: Option<Ms>,
    pub requests_per_second: Option<f64>,
    pub errors_per_second: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Success,
    ErrorResponse,
    Rejected,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    NotApplicable,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        version: u64,
        workers: Vec<WorkerEntry>,
    },
    /// Figures changed while running; all that was learned stays.
    SettingsChanged(RuntimeSettings),
    TimerFired {
        handle: String,
    },
    Probed {
        worker: WorkerId,
        outcome: ProbeOutcome,
        took: Ms,
        load: Load,
    },
    PeerMessage {
        from: u32,
        content: Vec<u8>,
    },
    /// `fresh`: it holds only its standing tables.
    Joined {
        proxy: ProxyId,
        fresh: bool,
        inv_per_second: f64,
        zone: ZoneId,
    },
    Left {
        proxy: ProxyId,
    },
    /// What the proxies of a zone met at a worker.
    WorkerSums {
        zone: ZoneId,
        worker: WorkerId,
        tries: f64,
        failed: f64,
        mean_latency: Ms,
        period: Ms,
        load: Load,
    },
    /// What came to a proxy.
    ProxySums {
        proxy: ProxyId,
        op: OpId,
        invocations: f64,
        unanswered: f64,
        period: Ms,
    },
    /// What came for a slice.
    SliceSums {
        slice: TableId,
        op: OpId,
        invocations: f64,
        unanswered: f64,
        period: Ms,
    },
    SliceAssigned {
        slice: TableId,
    },
    SliceRevoked {
        slice: TableId,
    },
    SliceLine {
        slice: TableId,
        worker: WorkerId,
        weight: f64,
    },
    MarkAcknowledged {
        mark: MarkId,
        took: Ms,
        proxy: ProxyId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    Peer(u32),
    All,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionScope {
    Table(TableId),
    AllProxies,
}

/// When a proxy tries again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Never,
    /// Once, elsewhere, on proof that the first try never ran.
    IfNotExecuted,
    OnceOnFailure,
    TwiceOnFailure,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    SetTimer {
        after: Ms,
        handle: String,
    },
    Probe {
        worker: WorkerId,
    },
    SendMessage {
        to: Receiver,
        content: Vec<u8>,
    },
    /// A line for the people on call, about a worker if one is named.
    Log {
        about: Option<WorkerId>,
        text: String,
    },
    SubscribeToList(bool),
    FetchList,
    /// No order names this worker any more unless a list does.
    Forget {
        worker: WorkerId,
    },
    /// A weight of 0 removes the line.
    SetLine {
        table: TableId,
        worker: WorkerId,
        weight: f64,
    },
    ClearTable {
        table: TableId,
    },
    ExcludeWorker {
        worker: WorkerId,
        excluded: bool,
    },
    /// Puts a joined proxy on a table for some operations (bit k is operation k).
    Bind {
        table: TableId,
        ops: u32,
        proxy: ProxyId,
    },
    SetAdmission {
        scope: AdmissionScope,
        ops: u32,
        level: f64,
        retry: Retry,
    },
    Mark {
        number: MarkId,
        all_proxies: bool,
    },
}
