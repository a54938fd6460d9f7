//! The one task that owns the decisions: it takes what has come in, at most one turn a tick, wakes the module
//! when it asked for that, and hands out what it orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use juniperrail::Brain;
use juniperrail_interface::*;
use juniperrail_start::Names;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, Instant};
use tower::ServiceExt;

use crate::discovery::Listing;
use crate::launch::Launch;
use crate::plane::Plane;
use crate::probes::{Found, Probes};
use crate::text::Report;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// What comes in, in the order of each connection.
pub enum News {
    Listing(Listing),
    Joined {
        stream: StreamId,
        hello: Hello,
        orders: mpsc::Sender<Bytes>,
    },
    Left(StreamId),
    /// From a proxy's own stream, or through a collector.
    Said(Option<StreamId>, Report),
    Probed(WorkerId, Found),
}

pub struct Hello {
    pub proxy: u16,
    pub zone: String,
    pub inv_per_second: f64,
    pub fresh: bool,
}

/// Unix time at the start and monotonic time since, so that it compares with others' and never runs back.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Ms,
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix, started: Instant::now() }
    }

    pub fn now(&self) -> Ms {
        self.unix + self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn instant(&self, at: Ms) -> Instant {
        self.started + Duration::from_secs_f64(((at - self.unix) / 1000.0).max(0.0))
    }
}

struct Stream {
    id: StreamId,
    orders: mpsc::Sender<Bytes>,
    zone: ZoneId,
    inv_per_second: f64,
}

pub struct Decider {
    brain: Brain,
    start: Start,
    names: Names,
    rng: fastrand::Rng,
    clock: Clock,
    tick: Duration,
    plane: Plane,
    streams: BTreeMap<ProxyId, Stream>,
    listed: BTreeMap<WorkerId, Listed>,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    wakes: Vec<(Ms, String)>,
    heard: Vec<Event>,
    probes: Probes,
    news: mpsc::WeakSender<News>,
    afresh: Rc<Notify>,
}

impl Decider {
    /// Decides on the list as last held before anything is heard.
    pub fn new(
        launch: &mut Launch,
        clock: Clock,
        probes: Probes,
        news: &mpsc::Sender<News>,
        afresh: Rc<Notify>,
    ) -> Self {
        let (start, names) = (std::mem::take(&mut launch.start), std::mem::take(&mut launch.names));
        let mut decider = Decider {
            brain: Brain::new(clock.now(), launch.seed, start.clone()),
            start,
            names,
            rng: fastrand::Rng::with_seed(launch.seed),
            clock,
            tick: launch.tick,
            plane: Plane::default(),
            streams: BTreeMap::new(),
            listed: BTreeMap::new(),
            addresses: BTreeMap::new(),
            wakes: Vec::new(),
            heard: Vec::new(),
            probes,
            news: news.downgrade(),
            afresh,
        };
        let known = launch.known.take().unwrap_or_default();
        decider.list(&known, ListKind::Remembered);
        decider.turn();
        decider
    }

    pub async fn run(mut self, mut news: mpsc::Receiver<News>) {
        let mut last = Instant::now();
        loop {
            let wake = self.wakes.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
            let wake = self.clock.instant(wake.min(self.clock.now() + 3_600_000.0));
            let first = tokio::select! {
                first = news.recv() => match first {
                    Some(first) => Some(first),
                    None => return,
                },
                () = sleep_until(wake) => None,
            };
            sleep_until(last + self.tick).await;
            first.into_iter().for_each(|first| self.hear(first));
            while let Ok(next) = news.try_recv() {
                self.hear(next);
            }
            let now = self.clock.now();
            let due = self.wakes.extract_if(.., |(at, _)| *at <= now);
            self.heard.extend(due.map(|(_, handle)| Event::Woken { handle }));
            last = Instant::now();
            if !self.heard.is_empty() {
                self.turn();
            }
        }
    }

    fn hear(&mut self, news: News) {
        match news {
            News::Listing(listing) => {
                let kind = if listing.full { ListKind::Full } else { ListKind::Changes };
                self.list(&listing, kind);
            }
            News::Joined { stream, hello, orders } => self.join(stream, hello, orders),
            News::Left(stream) => {
                let left = self.streams.iter().find(|(_, known)| known.id == stream).map(|(id, _)| *id);
                left.into_iter().for_each(|proxy| self.leave(proxy));
            }
            News::Said(from, report) => match self.report(from, report) {
                Ok(event) => self.heard.push(event),
                Err(why) => log::warn!("a report is passed over: {why}"),
            },
            News::Probed(worker, Found { ending, took, load }) => {
                self.heard.push(Event::Probed { worker, ending, took, load });
            }
        }
    }

    fn list(&mut self, listing: &Listing, kind: ListKind) {
        let entries = listing.entries(&mut self.names);
        log::info!("list {}: {} entries, {kind:?}", listing.version, entries.len());
        if kind != ListKind::Changes {
            self.listed.clear();
            self.addresses.clear();
        }
        for (listed, address) in &entries {
            self.plane.listed(listed);
            self.listed.insert(listed.worker, listed.clone());
            self.addresses.remove(&listed.worker);
            if listed.phase == Phase::Gone {
                self.listed.remove(&listed.worker);
            } else {
                self.addresses.extend(address.map(|address| (listed.worker, address)));
            }
        }
        let workers = entries.into_iter().map(|(listed, _)| listed).collect();
        self.heard.push(Event::List { kind, version: listing.version, workers });
    }

    fn join(&mut self, id: StreamId, hello: Hello, orders: mpsc::Sender<Bytes>) {
        let Hello { proxy, zone, inv_per_second, fresh } = hello;
        let (proxy, zone) = (ProxyId(proxy), self.names.zone(&zone));
        // A new stream may come before the old one is seen to end; what that still brings changes nothing.
        if self.streams.contains_key(&proxy) {
            self.leave(proxy);
        }
        log::debug!("proxy {} joined: {inv_per_second} a second, fresh {fresh}", proxy.0);
        self.streams.insert(proxy, Stream { id, orders, zone, inv_per_second });
        self.plane.joined(proxy, fresh);
        self.heard.push(Event::Joined { proxy, fresh, inv_per_second, zone });
    }

    fn leave(&mut self, proxy: ProxyId) {
        log::debug!("proxy {} left", proxy.0);
        self.streams.remove(&proxy);
        self.plane.left(proxy);
        self.heard.push(Event::Left { proxy });
    }

    fn report(&mut self, from: Option<StreamId>, report: Report) -> Result<Event, String> {
        match report {
            Report::Outcomes { zone, worker, tries, bad, mean, over, load } => {
                let known = self.names.workers.known(&worker).map(WorkerId);
                let worker = known.ok_or_else(|| format!("no list named the worker {worker:?}"))?;
                let zone = self.names.zone(&zone);
                Ok(Event::WorkerSums { zone, worker, tries, bad, mean, over, load })
            }
            Report::Demand { proxy, op, invs, unanswered, over } => {
                let op = self.names.op(&op).ok_or_else(|| format!("unknown operation {op:?}"))?;
                Ok(Event::ProxySums { proxy: ProxyId(proxy), op, invs, unanswered, over })
            }
            Report::Ack { proxy, mark, took } => {
                let proxy = ProxyId(proxy);
                let current = self.streams.get(&proxy).is_some_and(|stream| Some(stream.id) == from);
                let answered = Event::Answered { mark: MarkId(mark), took, proxy };
                current.then_some(answered).ok_or_else(|| format!("proxy {} answers elsewhere", proxy.0))
            }
        }
    }

    fn turn(&mut self) {
        let (now, heard) = (self.clock.now(), std::mem::take(&mut self.heard));
        match catch_unwind(AssertUnwindSafe(|| self.brain.turn(now, &heard))) {
            Ok(orders) => self.hand_out(now, orders),
            Err(_) => self.restart(now),
        }
    }

    /// Guards against a panic in the module: it starts anew on the list held and the streams open.
    fn restart(&mut self, now: Ms) {
        log::error!("the decisions failed and start anew with {} proxies", self.streams.len());
        self.brain = Brain::new(now, self.rng.u64(..), self.start.clone());
        self.plane.restart();
        self.wakes.clear();
        let workers = self.listed.values().cloned().collect();
        self.heard.push(Event::List { kind: ListKind::Remembered, version: 0, workers });
        for (proxy, stream) in &self.streams {
            let Stream { zone, inv_per_second, .. } = *stream;
            self.heard.push(Event::Joined { proxy: *proxy, fresh: false, inv_per_second, zone });
        }
        self.wakes.push((now, "anew".into()));
    }

    fn hand_out(&mut self, now: Ms, orders: Vec<Order>) {
        for parcel in self.plane.messages(&orders, &self.names) {
            let stream = &self.streams[&parcel.proxy];
            log::trace!("to {}: {} lines, {:?}", parcel.proxy.0, parcel.lines, parcel.bytes);
            if let Err(mpsc::error::TrySendError::Full(_)) = stream.orders.try_send(parcel.bytes) {
                log::warn!("proxy {} does not read: its stream is given up", parcel.proxy.0);
                self.leave(parcel.proxy);
            }
        }
        for order in orders {
            match order {
                Order::Wake { after, handle } => self.wakes.push((now + after, handle)),
                Order::Log { about: Some(id), text } => {
                    log::info!("{} {text}", self.names.workers.name(id.0))
                }
                Order::Log { about: None, text } => log::info!("{text}"),
                Order::Probe { worker } => self.probe(worker),
                Order::FetchList => self.afresh.notify_one(),
                // The watch follows the list from the start on; there is no way to other managers.
                Order::FollowList(_) | Order::Tell { .. } => {}
                // Handed out above.
                _ => {}
            }
        }
    }

    fn probe(&mut self, worker: WorkerId) {
        let Some(address) = self.addresses.get(&worker).copied() else {
            let found = Found { ending: Ending::Unreachable, took: 0.0, load: Load::default() };
            return self.hear(News::Probed(worker, found));
        };
        let (probes, news) = (self.probes.clone(), self.news.clone());
        tokio::spawn(async move {
            let Ok(found) = probes.oneshot(address).await;
            if let Some(news) = news.upgrade() {
                _ = news.send(News::Probed(worker, found)).await;
            }
        });
    }
}
