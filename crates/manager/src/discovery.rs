//! The watch that keeps the list of workers current.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use juniperrail_distribution::{ListLimits, RelayFailure, Round};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout_at, Instant};
use tower::ServiceExt;

use crate::fault::ConnectionError;
use crate::http;
use crate::inbound::Inbound;
use crate::launch::Launch;
use crate::list_assembler::{Line, LineError, ListAssembler, OverLimit, MAX_LIST_BYTES};
use crate::listing::Listing;
use crate::scope_filter::ScopeFilter;
use crate::upstream::{wait_too_large, Upstream};

/// An empty line comes this often while nothing changes.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// A watch that ends no line for so long is silent.
const SILENCE: Duration = HEARTBEAT.saturating_mul(2);
/// A relay sends a large list at a pace. A line that goes on bringing entries may take this long.
const LONGEST_RELAYED_LINE: Duration = Duration::from_secs(30);
/// Whatever discovery has to tell counts as told at the latest so long after, by the protocol: a peer that is further
/// behind will not come up with what is held.
const BEHIND: Duration = Duration::from_secs(6);

/// Why a watch ended.
enum WatchEnd {
    /// It could not be begun, or broke.
    Broken(ConnectionError),
    /// Its lists stay older than the one held.
    Behind,
    /// Its list is larger than its limit.
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
    fn from(fault: ConnectionError) -> Self {
        WatchEnd::Broken(fault)
    }
}

impl From<LineError> for WatchEnd {
    fn from(error: LineError) -> Self {
        match error {
            LineError::Unreadable(cause) => WatchEnd::Broken(ConnectionError::reading(cause.to_string())),
            LineError::OverLimit(over) => WatchEnd::TooLarge(over),
        }
    }
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::Broken(fault) => fault.fmt(f),
            WatchEnd::Behind => f.write_str("its lists stay older than the one held"),
            WatchEnd::TooLarge(over) => over.fmt(f),
        }
    }
}

/// Follows the list for good, from whomever it is to be taken.
pub struct Watch {
    upstream: Upstream,
    follower: Follower,
    /// Watches in a row that brought nothing.
    failures: u32,
    /// Lists in a row that were too large.
    too_large: u32,
    rng: fastrand::Rng,
}

impl Watch {
    /// `agent`: where discovery's agent is, for as long as no relays are named.
    pub fn new(
        launch: &mut Launch,
        agent: watch::Receiver<SocketAddr>,
        inbound: mpsc::Sender<Inbound>,
    ) -> Watch {
        let upstream = Upstream::new(&launch.fixed.name, &launch.subscription.relays, agent);
        let follower = Follower {
            held: launch.known.as_ref().map(|known| known.version),
            relayed: upstream.is_relay(),
            filter: launch.filter.take(),
            inbound,
            behind: Behind::default(),
            session: Session::new(),
            warned_empty: false,
        };
        let rng = fastrand::Rng::with_seed(launch.seed);
        Watch { upstream, follower, failures: 0, too_large: 0, rng }
    }

    /// A watch that breaks, or whose agent moves, is dialled again with what is held.
    pub async fn run(mut self, resync: &Notify) {
        let exchange = http::exchange(HEARTBEAT, SILENCE);
        if let Some(held) = self.follower.held {
            self.follower.warn_if_empty(held);
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
                    self.follower.held = None;
                    continue;
                }
            };
            let wait = self.ended(&end, address);
            // Guards against a wait for an address that is no longer in force.
            tokio::select! {
                () = sleep(wait) => {}
                () = self.upstream.moved() => self.failures = 0,
            }
        }
    }

    /// Decides what is asked for next, and after which wait.
    fn ended(&mut self, end: &WatchEnd, address: SocketAddr) -> Duration {
        let served = self.follower.served();
        self.failures = if served { 0 } else { self.failures.saturating_add(1) };
        if self.follower.session.took_list {
            self.too_large = 0;
        }
        let mut retry = self.upstream.ended(end.failure(), served, &mut self.rng);
        match retry.round {
            Round::UnderWay => {}
            Round::Over => self.follower.behind = Behind::default(),
            Round::AllBehind => {
                tracing::warn!(
                    "whoever has the list has only older ones than the one held: the whole is asked for"
                );
                self.follower.begin_anew();
            }
        }
        if let WatchEnd::TooLarge(over) = end {
            retry.wait = wait_too_large(self.too_large, &mut self.rng);
            self.too_large = self.too_large.saturating_add(1);
            tracing::warn!(
                "the list of {address} is too large and refused: {over}; {}, asked again in {} s",
                self.follower.held_in_words(),
                retry.wait.as_secs()
            );
        } else if self.failures.saturating_add(1).is_power_of_two() {
            tracing::warn!("the watch broke: {end}; dialled again in {} ms", retry.wait.as_millis());
        }
        retry.wait
    }
}

/// Whether what the other end has is older than what is held.
#[derive(Default)]
struct Behind {
    /// Since when nobody had the version held.
    since: Option<Instant>,
    /// The present watch told an older list.
    told: bool,
}

impl Behind {
    /// When the present watch is given up for it.
    fn deadline(&self) -> Option<Instant> {
        self.since.filter(|_| self.told).map(|since| since + BEHIND)
    }
}

/// What the present watch has brought.
struct Session {
    began: Instant,
    /// It brought a newer version than the one held before.
    advanced: bool,
    took_list: bool,
    /// It was there for so long that the other end serves, although nothing changed.
    steady: bool,
}

impl Session {
    fn new() -> Session {
        Session { began: Instant::now(), advanced: false, took_list: false, steady: false }
    }
}

/// By when a watch has to show that it lives.
struct LifeSigns {
    silent_at: Instant,
    line_began: Instant,
    /// Entries of the line that came so far.
    entries: usize,
}

impl LifeSigns {
    fn new() -> LifeSigns {
        let now = Instant::now();
        LifeSigns { silent_at: now + SILENCE, line_began: now, entries: 0 }
    }

    fn entries_came(&mut self, entries: usize) {
        if entries > self.entries {
            self.entries = entries;
            self.silent_at = (Instant::now() + SILENCE).min(self.line_began + LONGEST_RELAYED_LINE);
        }
    }
}

/// Takes over what watches bring, one watch after the other.
struct Follower {
    /// The version held; without one the whole list is asked for.
    held: Option<u64>,
    /// The other ends are relays.
    relayed: bool,
    /// Keeps to the scope, if there is one.
    filter: Option<ScopeFilter>,
    inbound: mpsc::Sender<Inbound>,
    behind: Behind,
    session: Session,
    /// That no worker is in scope was said already.
    warned_empty: bool,
}

impl Follower {
    /// One watch, from its dialling to its end.
    async fn follow(&mut self, exchange: &http::Exchange, address: SocketAddr) -> WatchEnd {
        self.session = Session::new();
        if let Some(filter) = &mut self.filter {
            filter.discard();
        }
        if self.relayed {
            self.behind.told = false;
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
        let mut body = self.dial(exchange, address).await?;
        let mut assembler = ListAssembler::new(self.limits());
        let mut life = LifeSigns::new();
        loop {
            let deadline = self.behind.deadline().map_or(life.silent_at, |behind| behind.min(life.silent_at));
            // Guards against a watch that is silent for good, or that brings bytes without ever ending a line.
            let frame = match timeout_at(deadline, body.frame()).await {
                Err(_) => return Err(self.timed_out()),
                Ok(None) => return Err(ConnectionError::reading("the watch ended").into()),
                Ok(Some(Err(cause))) => return Err(ConnectionError::reading(cause.to_string()).into()),
                Ok(Some(Ok(frame))) => frame,
            };
            let data = frame.into_data().unwrap_or_default();
            // Chunks split and join lines as they like.
            let mut bytes = &data[..];
            while let Some(line) = assembler.next(&mut bytes, &mut self.filter)? {
                self.take(line).await?;
                life = LifeSigns::new();
            }
            if self.relayed {
                life.entries_came(assembler.entries());
            }
        }
    }

    async fn dial(
        &self,
        exchange: &http::Exchange,
        address: SocketAddr,
    ) -> Result<Incoming, ConnectionError> {
        let index = self.held.map(|version| format!("&index={version}")).unwrap_or_default();
        let scope = self.filter.as_ref().map(|filter| filter.scope().to_query()).unwrap_or_default();
        let call = (address, format!("/v1/servers?stream=1{index}{scope}"));
        let answer = exchange.clone().oneshot(call).await?;
        if answer.status() != StatusCode::OK {
            return Err(ConnectionError::reading(format!("{address} answered {}", answer.status())));
        }
        let from = self.held.map(|held| format!(" from {held} on")).unwrap_or_default();
        tracing::info!("watching the list at {address}{from}");
        Ok(answer.into_body())
    }

    /// One line of a watch: a list, changes of it, or nothing, which shows that the watch lives.
    async fn take(&mut self, line: Line) -> Result<(), WatchEnd> {
        match line {
            Line::Heartbeat => {}
            Line::List(listing) => match self.held.filter(|held| listing.version < *held) {
                Some(held) => self.pass_over(listing.version, held),
                None => self.take_over(listing).await?,
            },
        }
        if !self.behind.told && self.session.began.elapsed() >= BEHIND {
            self.session.steady = true;
            self.behind = Behind::default();
        }
        // Guards against discovery that counts anew: its lists would be passed over for good.
        if self.behind.deadline().is_some_and(|deadline| deadline <= Instant::now()) {
            return Err(WatchEnd::Behind);
        }
        Ok(())
    }

    /// Guards against a peer that is behind, as after a move: by its list, who left since would be back.
    fn pass_over(&mut self, version: u64, held: u64) {
        if let Some(filter) = &mut self.filter {
            filter.discard();
        }
        if !self.behind.told {
            tracing::warn!("list {version} is older than {held}, which is held: it is passed over");
        }
        self.behind.told = true;
        self.behind.since.get_or_insert_with(Instant::now);
    }

    async fn take_over(&mut self, listing: Listing) -> Result<(), WatchEnd> {
        let (version, full) = (listing.version, listing.full);
        if self.inbound.send(Inbound::Listing(listing)).await.is_err() {
            return Err(ConnectionError::reading("nobody wants the list any more").into());
        }
        // Only now: a watch given up while it waits to tell would count as told what nobody has received.
        self.session.advanced |= self.held != Some(version);
        self.session.took_list = true;
        self.held = Some(version);
        self.behind = Behind::default();
        if let Some(filter) = &mut self.filter {
            filter.commit(full);
        }
        let empty = self.filter.as_ref().is_some_and(ScopeFilter::is_empty);
        self.warned_empty &= empty;
        if full {
            self.warn_if_empty(version);
        }
        Ok(())
    }

    /// Says once that the scope names nobody, until it does.
    fn warn_if_empty(&mut self, version: u64) {
        let Some(filter) = &self.filter else { return };
        if filter.is_empty() && !std::mem::replace(&mut self.warned_empty, true) {
            let scope = filter.scope().to_query();
            let scope = scope.trim_start_matches('&');
            tracing::warn!("list {version} has no worker of this manager's scope: {scope}");
        }
    }

    /// The source counts anew: the whole list is asked for, and taken whatever its version is.
    fn begin_anew(&mut self) {
        self.held = None;
        self.behind = Behind::default();
    }

    fn timed_out(&self) -> WatchEnd {
        match self.behind.deadline() {
            Some(deadline) if deadline <= Instant::now() => WatchEnd::Behind,
            _ => WatchEnd::Broken(ConnectionError {
                timed_out: true,
                ..ConnectionError::reading("the watch is silent")
            }),
        }
    }

    /// Whether the watch that ended shows that its other end serves.
    fn served(&self) -> bool {
        self.session.advanced || (self.relayed && self.session.steady)
    }

    /// With a scope one entry is small beside the list; without one, one may be as long as the list.
    fn limits(&self) -> ListLimits {
        match self.filter {
            Some(_) => ListLimits::default(),
            None => ListLimits { entry: MAX_LIST_BYTES, envelope: MAX_LIST_BYTES },
        }
    }

    fn held_in_words(&self) -> String {
        self.held.map_or("nothing is held".into(), |held| format!("{held} is still held"))
    }
}
