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

/// An operation by its place in [`Start::operations`].
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
    pub own_zone: bool,
}

/// What a level counts, if the deployment heeds levels at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LevelKind {
    Share,
    PerSecond,
    #[default]
    Unheeded,
}

/// The figures a manager is handed at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Start {
    pub operations: Vec<Operation>,
    pub zones: Vec<ZoneId>,
    /// Keys fall into so many slices; 0 where proxies are bound to tables instead.
    pub slices: usize,
    pub level_kind: LevelKind,
    /// Proxies keep away for a while from a worker that failed them several times in a row.
    pub proxies_avoid: bool,
    /// What crossing zones with each first try, and the whole pace of the channel, would cost.
    pub crossing_price: f64,
    pub channel_price: f64,
    pub channel_rate: f64,
    pub lines_waiting_most: f64,
    pub message_overhead: f64,
    /// Messages to one proxy within `messages_over`; infinite where there is no limit.
    pub messages_most: f64,
    pub messages_over: Ms,
    pub transit_worst: Ms,
    pub report_period: Ms,
    pub drain_grace: Ms,
    pub warm_up: Ms,
    pub cold_share: f64,
    pub overload_factor: f64,
    /// All proxies, and the managers that they join.
    pub proxies: f64,
    pub managers: f64,
    /// The list must be asked for.
    pub list_asked: bool,
    pub ask_within: Ms,
}

/// Those of the start figures that may change while a manager runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub drain_grace: Ms,
    pub warm_up: Ms,
    pub cold_share: f64,
    pub overload_factor: f64,
    /// Each operation's latency objective and billed value, in the order of [`Start::operations`].
    pub operations: Vec<(Ms, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
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
    Remembered,
    Failed,
}

/// The parts of a worker's load report that came; all are absent where there was none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_hand: Option<f64>,
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub recent: Option<Ms>,
    pub per_second: Option<f64>,
    pub errors_per_second: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Good,
    Errored,
    TurnedAway,
    Late,
    Unreachable,
    Broken,
    Cancelled,
    Moot,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        version: u64,
        workers: Vec<Listed>,
    },
    /// Figures changed while running; all that was learned stays.
    Figures(Figures),
    Woken {
        handle: String,
    },
    Probed {
        worker: WorkerId,
        ending: Ending,
        took: Ms,
        load: Load,
    },
    PeerSaid {
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
        bad: f64,
        mean: Ms,
        over: Ms,
        load: Load,
    },
    /// What came to a proxy.
    ProxySums {
        proxy: ProxyId,
        op: OpId,
        invs: f64,
        unanswered: f64,
        over: Ms,
    },
    /// What came for a slice.
    SliceSums {
        slice: TableId,
        op: OpId,
        invs: f64,
        unanswered: f64,
        over: Ms,
    },
    SliceGiven {
        slice: TableId,
    },
    SliceTaken {
        slice: TableId,
    },
    SliceHolds {
        slice: TableId,
        worker: WorkerId,
        weight: f64,
    },
    Answered {
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
pub enum Reach {
    Table(TableId),
    EveryProxy,
}

/// When a proxy tries again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Never,
    /// Once, elsewhere, on proof that the first try never ran.
    IfUnrun,
    OnceOnFailure,
    TwiceOnFailure,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Wake {
        after: Ms,
        handle: String,
    },
    Probe {
        worker: WorkerId,
    },
    Tell {
        to: Receiver,
        content: Vec<u8>,
    },
    /// A line for the people on call, about a worker if one is named.
    Log {
        about: Option<WorkerId>,
        text: String,
    },
    FollowList(bool),
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
    HoldBack {
        worker: WorkerId,
        out: bool,
    },
    /// Puts a joined proxy on a table for some operations (bit k is operation k).
    Bind {
        table: TableId,
        ops: u32,
        proxy: ProxyId,
    },
    Admit {
        reach: Reach,
        ops: u32,
        level: f64,
        retry: Retry,
    },
    Mark {
        number: MarkId,
        everyone: bool,
    },
}
