//! The one task that owns the decisions: it takes what has come in, at most one turn a tick, wakes the module
//! when it asked for that, and hands out what it orders.

use std::collections::{BTreeMap, VecDeque};
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
use crate::plane::{Parcel, Plane};
use crate::probes::{Found, Probes};
use crate::tally::Tally;
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
    /// A connection of whatever kind is over, and why if not by itself.
    Ended(StreamId, Option<String>),
    /// From a proxy's own stream, or through a collector; or why a message is passed over.
    Said(Option<(StreamId, ProxyId)>, Result<Report, String>),
    Probed(WorkerId, Found),
    /// Somebody who never joined, and why.
    TurnedAway(String),
}

pub struct Hello {
    pub proxy: u16,
    pub zone: String,
    pub inv_per_second: f64,
    pub fresh: bool,
}

/// Unix time at the start and monotonic time since, so that it compares with others' and never runs back.
#[derive(Clone, Copy)]
struct Clock {
    unix: Ms,
    started: Instant,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix, started: Instant::now() }
    }

    fn now(&self) -> Ms {
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
    /// Marks sent that it has not answered, oldest first, and when something last came from it.
    owed: VecDeque<(MarkId, Ms)>,
    spoke: Ms,
    /// Since when it is told to the decisions as left, though its connection is open.
    silent: Option<Ms>,
}

impl Stream {
    /// When it is told as left, or given up as it still says nothing.
    fn silent_at(&self, after: Ms) -> Option<Ms> {
        let since = self.silent.or_else(|| self.owed.front().map(|(_, sent)| sent.max(self.spoke)))?;
        Some(since + after)
    }
}

/// Only the wakes and silences due sooner matter.
const LONGEST_SLEEP: Ms = 3_600_000.0;

pub struct Decider {
    brain: Brain,
    start: Start,
    names: Names,
    rng: fastrand::Rng,
    clock: Clock,
    tick: Duration,
    silent_after: Ms,
    plane: Plane,
    streams: BTreeMap<ProxyId, Stream>,
    listed: BTreeMap<WorkerId, Listed>,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    wakes: Vec<(Ms, String)>,
    heard: Vec<Event>,
    tally: Tally,
    probes: Probes,
    news: mpsc::WeakSender<News>,
    afresh: Rc<Notify>,
}

impl Decider {
    /// Decides on the list as last held before anything is heard.
    pub fn new(launch: Launch, probes: Probes, news: &mpsc::Sender<News>, afresh: Rc<Notify>) -> Self {
        let (clock, start, names) = (Clock::start(), launch.fixed.start, launch.names);
        let mut decider = Decider {
            brain: Brain::new(clock.now(), launch.seed, start.clone()),
            start,
            names,
            rng: fastrand::Rng::with_seed(launch.seed),
            clock,
            tick: launch.fixed.tick,
            silent_after: launch.silent_after,
            plane: Plane::default(),
            streams: BTreeMap::new(),
            listed: BTreeMap::new(),
            addresses: BTreeMap::new(),
            wakes: Vec::new(),
            heard: Vec::new(),
            tally: Tally::default(),
            probes,
            news: news.downgrade(),
            afresh,
        };
        let known = launch.known.unwrap_or_default();
        decider.list(&known, ListKind::Remembered);
        decider.turn();
        decider
    }

    pub async fn run(mut self, mut news: mpsc::Receiver<News>) {
        let mut last = Instant::now();
        loop {
            let wakes = self.wakes.iter().map(|(at, _)| *at);
            let silences = self.streams.values().filter_map(|stream| stream.silent_at(self.silent_after));
            let wake = wakes.chain(silences).fold(self.clock.now() + LONGEST_SLEEP, f64::min);
            let first = tokio::select! {
                first = news.recv() => match first {
                    Some(first) => Some(first),
                    None => return,
                },
                () = sleep_until(self.clock.instant(wake)) => None,
            };
            sleep_until(last + self.tick).await;
            first.into_iter().for_each(|first| self.hear(first));
            while let Ok(next) = news.try_recv() {
                self.hear(next);
            }
            let now = self.clock.now();
            self.silences(now);
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
            News::Ended(stream, why) => {
                why.into_iter().for_each(|why| self.tally.broke.add(why));
                let left = self.streams.iter().find(|(_, known)| known.id == stream).map(|(id, _)| *id);
                left.into_iter().for_each(|proxy| self.leave(proxy));
            }
            News::Said(from, report) => match self.report(from, report) {
                Ok(event) => self.heard.push(event),
                Err(why) => {
                    log::debug!("passed over: {why}");
                    self.tally.odd.add(why);
                }
            },
            News::TurnedAway(why) => self.tally.away.add(why),
            News::Probed(worker, Found { ending, took, load }) => {
                self.heard.push(Event::Probed { worker, ending, took, load });
            }
        }
    }

    fn list(&mut self, listing: &Listing, kind: ListKind) {
        let (entries, all) = listing.entries(&mut self.names);
        // Guards against an entry that can't be read: a whole list without it would tell that worker gone.
        let kind = if all { kind } else { ListKind::Changes };
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
        self.leave(proxy);
        let (owed, spoke) = (VecDeque::new(), self.clock.now());
        let stream = Stream { id, orders, zone, inv_per_second, owed, spoke, silent: None };
        self.streams.insert(proxy, stream);
        self.joined(proxy, fresh);
    }

    fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        let Stream { zone, inv_per_second, .. } = self.streams[&proxy];
        log::debug!("proxy {} joined: {inv_per_second} a second, fresh {fresh}", proxy.0);
        self.plane.joined(proxy, fresh);
        self.heard.push(Event::Joined { proxy, fresh, inv_per_second, zone });
    }

    fn leave(&mut self, proxy: ProxyId) {
        if self.streams.remove(&proxy).is_some_and(|stream| stream.silent.is_none()) {
            self.left(proxy);
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        log::debug!("proxy {} left", proxy.0);
        self.plane.left(proxy);
        self.heard.push(Event::Left { proxy });
    }

    /// Guards against streams that fall silent without a reset: who owes an answer and says nothing has left,
    /// until it speaks again. Its connection stays for as long again, since it may be sound, but no longer: a
    /// machine that vanished would keep its descriptor for good.
    fn silences(&mut self, now: Ms) {
        let due = |stream: &Stream| stream.silent_at(self.silent_after).is_some_and(|at| now >= at);
        let due: Vec<ProxyId> = self.streams.iter().filter(|(_, s)| due(s)).map(|(id, _)| *id).collect();
        for proxy in due {
            let stream = self.streams.get_mut(&proxy).expect("a known stream");
            if stream.silent.is_some() {
                log::debug!("proxy {} stays silent: its stream is given up", proxy.0);
                self.streams.remove(&proxy);
                continue;
            }
            let (since, owed) = (now - stream.spoke, stream.owed.len());
            let last = format!("proxy {}, no word for {since:.0} ms, {owed} answers owed", proxy.0);
            self.tally.silent.add(last);
            stream.silent = Some(now);
            stream.owed.clear();
            self.left(proxy);
        }
    }

    /// Something came over a stream. False if another stream took its place.
    fn spoke(&mut self, from: StreamId, proxy: ProxyId) -> bool {
        let now = self.clock.now();
        let Some(stream) = self.streams.get_mut(&proxy).filter(|stream| stream.id == from) else {
            return false;
        };
        let (since, owes) = (now - stream.spoke, stream.owed.front().map_or(0.0, |(_, sent)| now - sent));
        log::trace!("proxy {} speaks after {since:.0} ms, owing for {owes:.0} ms", proxy.0);
        stream.spoke = now;
        if stream.silent.take().is_some() {
            self.tally.spoke += 1;
            self.joined(proxy, false);
        }
        true
    }

    fn report(
        &mut self,
        from: Option<(StreamId, ProxyId)>,
        report: Result<Report, String>,
    ) -> Result<Event, String> {
        // Whatever comes over a stream shows that it is not silent, spoilt or not.
        if let Some((_, proxy)) = from.filter(|(stream, proxy)| !self.spoke(*stream, *proxy)) {
            return Err(format!("another stream of proxy {} took its place", proxy.0));
        }
        let foreign = |proxy| from.is_some_and(|(_, own)| own != proxy);
        match report? {
            Report::Outcomes { zone, worker, tries, bad, mean, over, load } => {
                let known = self.names.workers.known(&worker).map(WorkerId);
                let worker = known.ok_or_else(|| format!("no list named the worker {worker:?}"))?;
                let known = self.names.zones.known(&zone).map(|id| ZoneId(id as u16));
                let zone = known.ok_or_else(|| format!("unknown zone {zone:?}"))?;
                Ok(Event::WorkerSums { zone, worker, tries, bad, mean, over, load })
            }
            Report::Demand { proxy, op, invs, unanswered, over } => {
                let proxy = ProxyId(proxy);
                if foreign(proxy) {
                    return Err(format!("a report of proxy {} on another's stream", proxy.0));
                }
                let op = self.names.op(&op).ok_or_else(|| format!("unknown operation {op:?}"))?;
                Ok(Event::ProxySums { proxy, op, invs, unanswered, over })
            }
            Report::Ack { proxy, mark, took } => {
                let (proxy, mark) = (ProxyId(proxy), MarkId(mark));
                if from.is_none() || foreign(proxy) {
                    return Err(format!("an answer of proxy {} on another's stream", proxy.0));
                }
                let owed = &mut self.streams.get_mut(&proxy).expect("a known stream").owed;
                // Guards against an answer to what this stream never brought: the module counts marks in rounds.
                let place = owed.iter().position(|(sent, _)| *sent == mark);
                let place = place.ok_or_else(|| format!("proxy {} owes no answer to {}", proxy.0, mark.0))?;
                owed.drain(..=place);
                Ok(Event::Answered { mark, took, proxy })
            }
        }
    }

    fn turn(&mut self) {
        self.turn_by(Brain::turn);
    }

    fn turn_by(&mut self, decide: impl FnOnce(&mut Brain, Ms, &[Event]) -> Vec<Order>) {
        let (now, heard) = (self.clock.now(), std::mem::take(&mut self.heard));
        self.tally.joined += heard.iter().filter(|event| matches!(event, Event::Joined { .. })).count();
        self.tally.left += heard.iter().filter(|event| matches!(event, Event::Left { .. })).count();
        if now >= self.tally.logged + self.start.report_period {
            self.tally.log(now, self.streams.values().filter(|stream| stream.silent.is_none()).count());
        }
        let turn = AssertUnwindSafe(|| {
            let orders = decide(&mut self.brain, now, &heard);
            (self.plane.messages(&orders, &self.names), orders)
        });
        match catch_unwind(turn) {
            Ok((parcels, orders)) => self.hand_out(now, parcels, orders),
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
        for (proxy, stream) in self.streams.iter_mut().filter(|(_, stream)| stream.silent.is_none()) {
            let Stream { zone, inv_per_second, .. } = *stream;
            stream.owed.clear();
            self.heard.push(Event::Joined { proxy: *proxy, fresh: false, inv_per_second, zone });
        }
        self.wakes.push((now, "anew".into()));
    }

    fn hand_out(&mut self, now: Ms, parcels: Vec<Parcel>, orders: Vec<Order>) {
        for parcel in parcels {
            let stream = self.streams.get_mut(&parcel.proxy).expect("a joined proxy has a stream");
            stream.owed.extend(parcel.mark.map(|mark| (mark, now)));
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
                Order::Forget { worker } => {
                    log::debug!("{} is forgotten", self.names.workers.name(worker.0));
                    self.plane.forget(worker);
                    self.names.workers.forget(worker.0);
                }
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

#[cfg(test)]
mod tests {
    use super::*;

    const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
        "known":{"generation":4,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"ready","weight":1}]},
        "settings":{"tick-ms":2,"zones":["a"],"lanes":[{"name":"lookup","on-time-ms":500,"worth":1}],
        "domain":{"channel-rate":5000,"pending-max":5000,"overhead":4,"worst-transit-ms":1000,"period-ms":2000,
        "proxy-count":4},"rules":{"drain-grace-ms":3000},"n-instances":1}}"#;

    struct Town(Decider, Vec<mpsc::Receiver<Bytes>>);

    impl Town {
        fn new() -> Town {
            let launch = Launch::new(CONFIG, |_| None).unwrap();
            let (news, _) = mpsc::channel(1);
            let probes = crate::probes::probes(Duration::ZERO, Duration::ZERO, 1);
            Town(Decider::new(launch, probes, &news, Rc::default()), Vec::new())
        }

        /// Another stream of the one proxy; its number is its place.
        fn join(&mut self, fresh: bool) -> StreamId {
            let (orders, told) = mpsc::channel(64);
            let stream = StreamId(self.1.len() as u64);
            self.1.push(told);
            let hello = Hello { proxy: 2, zone: "a".into(), inv_per_second: 5.0, fresh };
            self.0.hear(News::Joined { stream, hello, orders });
            stream
        }

        fn turn(&mut self) -> Vec<Event> {
            let mut heard = Vec::new();
            self.0.turn_by(|brain, now, events| {
                heard = events.to_vec();
                brain.turn(now, events)
            });
            heard
        }

        fn told(&mut self, stream: StreamId) -> String {
            let told = std::iter::from_fn(|| self.1[stream.0 as usize].try_recv().ok());
            told.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap()).collect()
        }

        fn ack(&mut self, from: StreamId, mark: u16) {
            let report = Report::Ack { proxy: 2, mark, took: 1.0 };
            self.0.hear(News::Said(Some((from, ProxyId(2))), Ok(report)));
        }
    }

    const LEFT: Event = Event::Left { proxy: ProxyId(2) };

    #[test]
    fn the_decisions_start_anew_after_a_panic_and_no_stream_is_dropped() {
        let mut town = Town::new();
        let stream = town.join(true);
        town.turn();
        assert!(town.told(stream).contains("whole=1 lines=s-1:1"));
        town.0.turn_by(|_, _, _| panic!("out of range"));
        let heard = town.turn();
        assert!(
            matches!(&heard[0], Event::List { kind: ListKind::Remembered, workers, .. } if workers.len() == 1)
        );
        assert!(matches!(heard[1], Event::Joined { proxy: ProxyId(2), fresh: false, .. }));
        town.turn();
        assert!(town.told(stream).contains("whole=1 lines=s-1:1"), "it is bound again over the same stream");
    }

    #[test]
    fn who_owes_an_answer_and_is_silent_has_left_until_it_speaks_again() {
        let mut town = Town::new();
        let stream = town.join(true);
        town.turn();
        let owed_at = town.0.streams[&ProxyId(2)].owed[0].1;
        let silent_at = owed_at + town.0.silent_after;
        town.0.silences(silent_at - 1.0);
        assert!(town.0.heard.is_empty(), "not yet");
        town.0.silences(silent_at);
        assert_eq!(town.turn(), [LEFT]);
        town.0.silences(silent_at + 1.0);
        assert!(town.0.heard.is_empty(), "told once");
        let orders = town.told(stream);
        town.ack(stream, 1);
        assert!(
            matches!(town.turn()[..], [Event::Joined { fresh: false, .. }]),
            "answers of before are void"
        );
        assert!(orders.contains("whole=1") && town.told(stream).contains("whole=1"));
        town.ack(stream, 2);
        town.turn();
        town.0.silences(silent_at * 3.0);
        assert!(town.0.heard.is_empty(), "who owes nothing may be silent");
    }

    #[test]
    fn a_stream_that_stays_silent_gives_its_connection_back() {
        let mut town = Town::new();
        let stream = town.join(true);
        town.turn();
        let silent_at = town.0.streams[&ProxyId(2)].owed[0].1 + town.0.silent_after;
        town.0.silences(silent_at);
        assert_eq!(town.turn(), [LEFT]);
        town.told(stream);
        town.0.silences(silent_at + town.0.silent_after);
        let end = town.1[0].try_recv();
        assert_eq!((end, town.turn()), (Err(mpsc::error::TryRecvError::Disconnected), vec![]));
    }

    #[test]
    fn a_spoilt_message_shows_life_and_leaves_nothing_behind() {
        let mut town = Town::new();
        let stream = town.join(true);
        town.turn();
        let silent_at = town.0.streams[&ProxyId(2)].owed[0].1 + town.0.silent_after;
        town.0.silences(silent_at);
        town.turn();
        town.0.hear(News::Said(Some((stream, ProxyId(2))), Err("latency is missing".into())));
        let heard = town.turn();
        assert!(matches!(heard[..], [Event::Joined { fresh: false, .. }]), "{heard:?}");
        let (zone, worker) = ("b".into(), "s-1".into());
        let spoilt = Report::Outcomes {
            zone,
            worker,
            tries: 1.0,
            bad: 1.0,
            mean: 0.0,
            over: 1.0,
            load: <_>::default(),
        };
        town.0.hear(News::Said(None, Ok(spoilt)));
        let demand = Report::Demand { proxy: 2, op: "s-zz".into(), invs: 4.0, unanswered: 0.0, over: 2.0 };
        town.0.hear(News::Said(None, Ok(demand)));
        assert!(town.0.heard.is_empty());
        let names = &town.0.names;
        assert_eq!([&names.zones, &names.workers, &names.ops].map(|named| named.count()), [1, 1, 1]);
    }

    #[test]
    fn what_an_old_stream_still_brings_changes_nothing() {
        let mut town = Town::new();
        let old = town.join(true);
        town.turn();
        let new = town.join(false);
        let heard = town.turn();
        assert!(matches!(heard[..], [LEFT, Event::Joined { .. }]), "{heard:?}");
        town.ack(old, 1);
        let (op, over) = ("lookup".into(), 2000.0);
        let demand = Report::Demand { proxy: 2, op, invs: 4.0, unanswered: 0.0, over };
        town.0.hear(News::Said(Some((old, ProxyId(2))), Ok(demand)));
        town.0.hear(News::Ended(old, None));
        assert!(town.0.heard.is_empty());
        town.ack(new, 1);
        assert!(town.0.heard.is_empty(), "mark 1 went over the old stream");
        town.ack(new, 2);
        town.ack(new, 2);
        assert_eq!(town.0.heard.len(), 1, "an answer counts once");
    }

    #[test]
    fn a_proxy_that_does_not_read_costs_its_own_stream_only() {
        let mut town = Town::new();
        let stream = town.join(true);
        town.turn();
        let mut sent = 0;
        while town.0.streams.contains_key(&ProxyId(2)) {
            let everyone = Order::Mark { number: MarkId(sent), everyone: true };
            town.0.turn_by(|_, _, _| vec![everyone]);
            sent += 1;
        }
        assert_eq!(sent, 64);
        assert_eq!(town.0.heard, [LEFT]);
        assert!(town.told(stream).contains("ticket=62"));
    }

    #[test]
    fn of_workers_long_gone_nothing_is_kept() {
        let mut town = Town::new();
        let entry = |id: u64, lifecycle: &str| {
            let about = r#""hostPort":"127.0.0.1:1","zone":"a","weight":1"#;
            format!(r#"{{"instanceId":"s-{id}","lifecycle":"{lifecycle}",{about}}}"#)
        };
        let stream = town.join(true);
        town.turn();
        for id in 2..40 {
            let entries = [entry(id, "ready"), entry(id - 1, "gone")].join(",");
            let listing = format!(r#"{{"generation":{id},"instances":[{entries}]}}"#);
            town.0.hear(News::Listing(serde_json::from_str(&listing).unwrap()));
            town.turn();
            for mark in town.told(stream).split("ticket=").skip(1) {
                town.ack(stream, mark.split_whitespace().next().unwrap().parse().unwrap());
            }
            town.0.hand_out(0.0, Vec::new(), vec![Order::Forget { worker: WorkerId(id as u32 - 2) }]);
        }
        assert_eq!((town.0.names.workers.count(), town.0.listed.len(), town.0.addresses.len()), (1, 1, 1));
        assert_eq!(town.0.names.workers.known("s-39"), Some(38), "ids are not given out again");
    }
}
