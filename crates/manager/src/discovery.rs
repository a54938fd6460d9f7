//! The watch of discovery, or of relays, that keeps the list of workers current.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use juniperrail_distribution::{ListLimits, RelayFailure, Round};
use juniperrail_limits::LogLimit;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout_at, Instant};
use tower::ServiceExt;

use crate::connection_error::ConnectionError;
use crate::http;
use crate::inbound::Inbound;
use crate::launch::Launch;
use crate::list_assembler::{Line, LineError, ListAssembler, OverLimit, MAX_LIST_BYTES};
use crate::listing::Listing;
use crate::scope_filter::ScopeFilter;
use crate::upstream::{wait_too_large, Upstream};

/// While nothing changes, the source sends an empty line at this interval.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A watch that completes no line for this long is considered dead. Each further entry from a relay extends the time.
const SILENCE_TIMEOUT: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);
/// Limit on the time for a line from a relay while its entries keep arriving: relays pace large lists.
const RELAYED_LINE_TIMEOUT: Duration = Duration::from_secs(30);
/// By the protocol, every change reaches all agents and relays within this time. A source that has been behind the
/// current list for longer will not catch up.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(6);

/// Why a watch ended.
enum WatchEnd {
    /// The watch could not be started, or it broke.
    Broken(ConnectionError),
    /// The lists of the source stay older than the current one.
    Behind,
    /// The source sent a list that exceeds a limit.
    TooLarge(OverLimit),
}

impl WatchEnd {
    fn failure(&self) -> RelayFailure {
        match self {
            WatchEnd::Behind => RelayFailure::Behind,
            WatchEnd::Broken(_) | WatchEnd::TooLarge(_) => RelayFailure::Broken,
        }
    }
}

impl From<ConnectionError> for WatchEnd {
    fn from(error: ConnectionError) -> Self {
        WatchEnd::Broken(error)
    }
}

impl From<LineError> for WatchEnd {
    fn from(error: LineError) -> Self {
        match error {
            LineError::Unreadable(cause) => WatchEnd::Broken(ConnectionError::reading(cause.to_string())),
            LineError::OverLimit(over_limit) => WatchEnd::TooLarge(over_limit),
        }
    }
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::Broken(error) => error.fmt(f),
            WatchEnd::Behind => f.write_str("the lists of the source stay older than the current one"),
            WatchEnd::TooLarge(over_limit) => over_limit.fmt(f),
        }
    }
}

/// Follows the list of workers forever.
pub struct Watch {
    upstream: Upstream,
    follower: Follower,
    /// Consecutive watches that did not show that their source works.
    failures: u32,
    /// Consecutive lists that were too large.
    too_large_count: u32,
    rng: fastrand::Rng,
}

impl Watch {
    /// `agent`: the address of discovery's agent, which is followed if the subscription names no relays.
    pub fn new(
        launch: &mut Launch,
        agent: watch::Receiver<SocketAddr>,
        inbound: mpsc::Sender<Inbound>,
    ) -> Watch {
        let upstream = Upstream::new(&launch.fixed.name, &launch.subscription.relays, agent);
        let follower = Follower {
            current_version: launch.cached_list.as_ref().map(|list| list.version),
            relayed: upstream.is_relay(),
            filter: launch.filter.take(),
            inbound,
            behind: Behind::default(),
            session: Session::new(),
            warned_empty: false,
            empty_log: LogLimit::default(),
            older_log: LogLimit::default(),
        };
        let rng = fastrand::Rng::with_seed(launch.seed);
        Watch { upstream, follower, failures: 0, too_large_count: 0, rng }
    }

    /// Reconnects whenever a watch ends or the agent moves, and resumes from the current version. After a
    /// notification on `resync` it requests the full list.
    pub async fn run(mut self, resync: &Notify) {
        let exchange = http::exchange(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
        if let Some(version) = self.follower.current_version {
            self.follower.warn_if_empty(version);
        }
        loop {
            let address = self.upstream.address();
            let end = tokio::select! {
                end = self.follower.follow(&exchange, address) => end,
                () = self.upstream.moved() => {
                    self.failures = 0;
                    continue;
                }
                () = resync.notified() => {
                    self.follower.current_version = None;
                    continue;
                }
            };
            let wait = self.next_wait(&end, address);
            // A new address is used at once, without the rest of the wait.
            tokio::select! {
                () = sleep(wait) => {}
                () = self.upstream.moved() => self.failures = 0,
            }
        }
    }

    /// Decides what to request next, and returns the wait before that.
    fn next_wait(&mut self, end: &WatchEnd, address: SocketAddr) -> Duration {
        let source_works = self.follower.source_works();
        self.failures = if source_works { 0 } else { self.failures.saturating_add(1) };
        if self.follower.session.accepted_list {
            self.too_large_count = 0;
        }
        let mut retry = self.upstream.record_end(end.failure(), source_works, &mut self.rng);
        match retry.round {
            Round::InProgress => {}
            Round::Exhausted => self.follower.behind = Behind::default(),
            Round::AllBehind => {
                tracing::warn!(
                    "every source has only older lists than the current one: the full list is requested"
                );
                self.follower.reset();
            }
        }
        if let WatchEnd::TooLarge(over_limit) = end {
            retry.wait = wait_too_large(self.too_large_count, &mut self.rng);
            self.too_large_count = self.too_large_count.saturating_add(1);
            tracing::warn!(
                "the list of {address} is too large and rejected: {over_limit}; {}; the list is requested again in {} s",
                self.follower.describe_current(),
                retry.wait.as_secs()
            );
        } else if self.failures.saturating_add(1).is_power_of_two() {
            tracing::warn!("the watch broke: {end}; dialled again in {} ms", retry.wait.as_millis());
        }
        retry.wait
    }
}

/// Tracks whether the sources are behind the current list.
#[derive(Default)]
struct Behind {
    /// Since when no source has had the current version.
    since: Option<Instant>,
    /// The current watch has sent an older list.
    received_older: bool,
}

impl Behind {
    /// When the current watch is given up because its source is behind.
    fn deadline(&self) -> Option<Instant> {
        self.since.filter(|_| self.received_older).map(|since| since + MAX_PROPAGATION_DELAY)
    }
}

/// What the current watch has received so far.
struct Session {
    started: Instant,
    /// It has received a list of another version than the current one.
    advanced: bool,
    /// It has received a list that was accepted.
    accepted_list: bool,
    /// It has lasted long enough to show that the source works, even if nothing changed.
    steady: bool,
}

impl Session {
    fn new() -> Session {
        Session { started: Instant::now(), advanced: false, accepted_list: false, steady: false }
    }
}

/// Decides when a watch times out.
struct Liveness {
    /// When the watch is given up unless a line ends or, with relays, more entries arrive.
    deadline: Instant,
    /// When the previous line ended, or the watch began.
    line_started: Instant,
    /// Entries of the current line so far.
    entries: usize,
}

impl Liveness {
    fn new() -> Liveness {
        let now = Instant::now();
        Liveness { deadline: now + SILENCE_TIMEOUT, line_started: now, entries: 0 }
    }

    /// Extends the deadline if entries have arrived since the last call.
    fn record_entries(&mut self, entries: usize) {
        if entries > self.entries {
            self.entries = entries;
            self.deadline = (Instant::now() + SILENCE_TIMEOUT).min(self.line_started + RELAYED_LINE_TIMEOUT);
        }
    }
}

/// Processes the lines of watches, one watch after the other, and passes the lists on to the decider.
struct Follower {
    /// The version of the current list; without one the full list is requested.
    current_version: Option<u64>,
    /// The sources are relays.
    relayed: bool,
    /// Filters by the scope, if there is one.
    filter: Option<ScopeFilter>,
    inbound: mpsc::Sender<Inbound>,
    behind: Behind,
    session: Session,
    /// The warning that no worker is in scope has been logged.
    warned_empty: bool,
    empty_log: LogLimit,
    older_log: LogLimit,
}

impl Follower {
    /// Runs one watch, from connecting to its end.
    async fn follow(&mut self, exchange: &http::Exchange, address: SocketAddr) -> WatchEnd {
        self.session = Session::new();
        if let Some(filter) = &mut self.filter {
            filter.discard();
        }
        if self.relayed {
            self.behind.received_older = false;
        }
        match self.watch(exchange, address).await {
            Err(end) => end,
            Ok(never) => match never {},
        }
    }

    async fn watch(
        &mut self,
        exchange: &http::Exchange,
        address: SocketAddr,
    ) -> Result<Infallible, WatchEnd> {
        let mut body = self.connect(exchange, address).await?;
        let mut assembler = ListAssembler::new(self.limits());
        let mut liveness = Liveness::new();
        loop {
            let deadline =
                self.behind.deadline().map_or(liveness.deadline, |behind| behind.min(liveness.deadline));
            // Ends a watch that stays silent, or that sends bytes without ever ending a line.
            let frame = match timeout_at(deadline, body.frame()).await {
                Err(_) => return Err(self.timed_out()),
                Ok(None) => return Err(ConnectionError::reading("the source ended the watch").into()),
                Ok(Some(Err(cause))) => return Err(ConnectionError::reading(cause.to_string()).into()),
                Ok(Some(Ok(frame))) => frame,
            };
            let data = frame.into_data().unwrap_or_default();
            // A chunk may hold a part of a line or several lines.
            let mut bytes = &data[..];
            while let Some(line) = assembler.next(&mut bytes, &mut self.filter)? {
                self.process_line(line).await?;
                liveness = Liveness::new();
            }
            if self.relayed {
                liveness.record_entries(assembler.entries());
            }
        }
    }

    async fn connect(
        &self,
        exchange: &http::Exchange,
        address: SocketAddr,
    ) -> Result<Incoming, ConnectionError> {
        let index = self.current_version.map(|version| format!("&index={version}")).unwrap_or_default();
        let scope = self.filter.as_ref().map(|filter| filter.scope().to_query()).unwrap_or_default();
        let call = (address, format!("/v1/servers?stream=1{index}{scope}"));
        let response = exchange.clone().oneshot(call).await?;
        if response.status() != StatusCode::OK {
            return Err(ConnectionError::reading(format!("{address} answered {}", response.status())));
        }
        let from_version =
            self.current_version.map(|version| format!(" from {version} on")).unwrap_or_default();
        tracing::info!("watching the list at {address}{from_version}");
        Ok(response.into_body())
    }

    /// Processes one line of a watch.
    async fn process_line(&mut self, line: Line) -> Result<(), WatchEnd> {
        match line {
            Line::Heartbeat => {}
            Line::List(listing) => match self.current_version.filter(|current| listing.version < *current) {
                Some(current) => self.skip_older(listing.version, current),
                None => self.accept(listing).await?,
            },
        }
        if !self.behind.received_older && self.session.started.elapsed() >= MAX_PROPAGATION_DELAY {
            self.session.steady = true;
            self.behind = Behind::default();
        }
        // If discovery restarted its version numbers, its lists would otherwise be skipped forever.
        if self.behind.deadline().is_some_and(|deadline| deadline <= Instant::now()) {
            return Err(WatchEnd::Behind);
        }
        Ok(())
    }

    /// Skips a list of a source that is behind, for instance after the agent moved: the list would bring back workers
    /// that have left since.
    fn skip_older(&mut self, version: u64, current: u64) {
        if let Some(filter) = &mut self.filter {
            filter.discard();
        }
        if !self.behind.received_older && self.older_log.admit().is_some() {
            tracing::warn!("list {version} is older than the current list {current}: it is skipped");
        }
        self.behind.received_older = true;
        self.behind.since.get_or_insert_with(Instant::now);
    }

    /// Passes a list on to the decider; from now on it is the current list.
    async fn accept(&mut self, listing: Listing) -> Result<(), WatchEnd> {
        let (version, full) = (listing.version, listing.full);
        if self.inbound.send(Inbound::Listing(listing)).await.is_err() {
            return Err(ConnectionError::reading("the decider has stopped").into());
        }
        // Only after the send: if the watch is cancelled during the send, the list must not count as current.
        self.session.advanced |= self.current_version != Some(version);
        self.session.accepted_list = true;
        self.current_version = Some(version);
        self.behind = Behind::default();
        if let Some(filter) = &mut self.filter {
            filter.commit(full);
        }
        let is_empty = self.filter.as_ref().is_some_and(ScopeFilter::is_empty);
        self.warned_empty &= is_empty;
        if full {
            self.warn_if_empty(version);
        }
        Ok(())
    }

    /// Warns that no worker is in scope, and does not repeat the warning until a worker has been in scope.
    fn warn_if_empty(&mut self, version: u64) {
        let Some(filter) = &self.filter else { return };
        let is_news = filter.is_empty() && !std::mem::replace(&mut self.warned_empty, true);
        if is_news && self.empty_log.admit().is_some() {
            let scope = filter.scope().to_query();
            let scope = scope.trim_start_matches('&');
            tracing::warn!("list {version} has no worker of this manager's scope: {scope}");
        }
    }

    /// The source has restarted its version numbers: requests the full list and accepts any version.
    fn reset(&mut self) {
        self.current_version = None;
        self.behind = Behind::default();
    }

    fn timed_out(&self) -> WatchEnd {
        match self.behind.deadline() {
            Some(deadline) if deadline <= Instant::now() => WatchEnd::Behind,
            _ => WatchEnd::Broken(ConnectionError {
                timed_out: true,
                ..ConnectionError::reading("the source completed no line in time")
            }),
        }
    }

    /// Whether the watch that ended has shown that its source works.
    fn source_works(&self) -> bool {
        self.session.advanced || (self.relayed && self.session.steady)
    }

    /// With a scope the default limits apply; without one, a single entry may be as large as the limit on the list.
    fn limits(&self) -> ListLimits {
        match self.filter {
            Some(_) => ListLimits::default(),
            None => ListLimits { entry_bytes: MAX_LIST_BYTES, envelope_bytes: MAX_LIST_BYTES },
        }
    }

    fn describe_current(&self) -> String {
        self.current_version
            .map_or("there is no list yet".into(), |version| format!("list {version} stays in use"))
    }
}
