//! The one task that owns the decisions: it takes what has come in, at most one turn a tick, wakes the module
//! when it asked for that, and hands out what it orders.

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use juniperrail::Brain;
use juniperrail_fleet::{Common, Parts};
use juniperrail_intent::{judge, Change, Composed, Intent, Progress, World};
use juniperrail_interface::*;
use juniperrail_north::{Ask, ChangeState, Notice, State, Verdict, WorkerState};
use juniperrail_start::Names;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, Instant};
use tower::ServiceExt;

use crate::clock::Clock;
use crate::fleet::{self, EvidenceCollector};
use crate::inbound::{Hello, Inbound, Outbox, StreamId};
use crate::launch::Launch;
use crate::limiter::Zones;
use crate::plane::{OutboundMessage, Plane};
use crate::presence::{Lapse, Presence, Stream};
use crate::probes::{Found, Probes};
use crate::roster::Roster;
use crate::tally::Tally;
use crate::text::Report;

/// Only the wakes and silences due sooner matter.
const LONGEST_SLEEP: Ms = 3_600_000.0;

/// Where a turn that the module asked for tells how late it came, in milliseconds, as the field `late`.
pub const TURN_TARGET: &str = "juniperrail::turns";

/// Parts of what may wait in the channel, and of a drain's grace, from which on the log tells of it.
const NEAR: (f64, f64) = (0.8, 0.6);

/// How far the open changes have come is looked at no more often.
const PROGRESS_CHECK_EVERY: Ms = 5.0;

/// The ways to and from the north, where there is one.
pub struct North {
    pub asks: mpsc::Receiver<Ask>,
    pub notices: mpsc::Sender<Notice>,
}

pub struct Decider {
    name: String,
    brain: Brain,
    /// As the settings gave it; what operators changed is told to the module beside it.
    start: Start,
    operations: Vec<String>,
    intent: Intent,
    names: Names,
    rng: fastrand::Rng,
    clock: Clock,
    tick: Duration,
    plane: Plane,
    presence: Presence,
    roster: Roster,
    progress: Progress,
    progress_checked_at: Ms,
    wakes: Vec<(Ms, String)>,
    /// What the next turn is told.
    events: Vec<Event>,
    tally: Tally,
    /// What is added to the module's marks as they go out, and the last that did. Guards against answers to marks of a
    /// module that failed: the next one counts from the start again.
    marks: (u16, u16),
    /// Turns in a row in which the module failed, and until when there is none for that.
    failed: (u32, Ms),
    /// Who leaves and since when that was told, for as long as it may be owed.
    leaving: BTreeMap<WorkerId, Ms>,
    probes: Probes,
    inbound: mpsc::WeakSender<Inbound>,
    resync: Rc<Notify>,
    north: Option<North>,
    /// Who may come from where, for whoever takes connections.
    zones: Rc<Zones>,
    /// What is decided in common, and what is told of it.
    fleet: Option<(Common, EvidenceCollector)>,
}

impl Decider {
    /// Decides on the list as last held, and on what the operator's file wants, before anything is heard.
    pub fn new(
        launch: Launch,
        probes: Probes,
        inbound: &mpsc::Sender<Inbound>,
        resync: Rc<Notify>,
        north: Option<North>,
        zones: Rc<Zones>,
    ) -> Self {
        let (clock, start, names) = (Clock::start(), launch.fixed.start, launch.names);
        let operation = |op| names.ops.name(op as u32).to_string();
        let mut decider = Decider {
            name: launch.fixed.name,
            brain: Brain::new(clock.now(), launch.seed, start.clone()),
            operations: (0..start.operations.len()).map(operation).collect(),
            start,
            intent: Intent::default(),
            names,
            rng: fastrand::Rng::with_seed(launch.seed),
            clock,
            tick: launch.fixed.tick,
            plane: Plane::default(),
            presence: Presence::new(launch.patience),
            roster: Roster::default(),
            progress: Progress::default(),
            progress_checked_at: 0.0,
            wakes: Vec::new(),
            events: Vec::new(),
            tally: Tally::default(),
            marks: (0, 0),
            failed: (0, 0.0),
            leaving: BTreeMap::new(),
            probes,
            inbound: inbound.downgrade(),
            resync,
            north,
            zones,
            fleet: None,
        };
        let known = launch.known.unwrap_or_default();
        let event = decider.roster.apply_list(&known, ListKind::Remembered, &mut decider.names);
        decider.apply_list(event);
        let wanted = launch.operator.map(|operator| operator.intent).unwrap_or_default();
        // The list may be old: what it would not bear is said, and the decisions bear it as they bear any loss.
        for refusal in decider.check_intent(&wanted) {
            tracing::warn!("the operator's file: {refusal}");
        }
        decider.apply_intent(wanted);
        decider.turn();
        decider
    }

    /// What is decided in common with other managers is part of the state from now on.
    pub fn in_common(self, fleet: Option<Common>) -> Self {
        Decider { fleet: fleet.map(|common| (common, EvidenceCollector::default())), ..self }
    }

    pub async fn run(mut self, mut inbound: mpsc::Receiver<Inbound>) {
        let mut last = Instant::now();
        loop {
            let wakes = self.wakes.iter().map(|(at, _)| *at).chain(self.presence.next());
            let look = self.progress.open().next().map(|_| self.progress_checked_at + PROGRESS_CHECK_EVERY);
            let rested = Some(self.failed.1).filter(|_| !self.events.is_empty());
            let wake = wakes.chain(look).chain(rested).fold(self.clock.now() + LONGEST_SLEEP, f64::min);
            let (mut first, mut asked, mut agreed) = (None, None, None);
            tokio::select! {
                inbound = inbound.recv() => match inbound {
                    Some(inbound) => first = Some(inbound),
                    None => return,
                },
                ask = next_ask(&mut self.north) => asked = Some(ask),
                parts = next_plan(&mut self.fleet) => agreed = Some(parts),
                () = sleep_until(self.clock.instant(wake)) => {}
            }
            sleep_until(last + self.tick).await;
            first.into_iter().for_each(|first| self.receive(first));
            while let Ok(next) = inbound.try_recv() {
                self.receive(next);
            }
            let now = self.clock.now();
            self.check_silences(now);
            let due: Vec<(Ms, String)> = self.wakes.extract_if(.., |(at, _)| *at <= now).collect();
            if let Some(at) = due.iter().map(|(at, _)| *at).reduce(f64::min) {
                tracing::trace!(target: TURN_TARGET, late = now - at);
            }
            self.events.extend(due.into_iter().map(|(_, handle)| Event::Woken { handle }));
            last = Instant::now();
            asked.into_iter().for_each(|ask| self.answer_request(ask));
            agreed.into_iter().for_each(|parts| self.apply_plan(&parts));
            self.report_evidence(now);
            if !self.events.is_empty() && now >= self.failed.1 {
                self.turn();
            }
            self.check_progress(now);
        }
    }

    fn receive(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Listing(listing) => {
                let kind = if listing.full { ListKind::Full } else { ListKind::Changes };
                let event = self.roster.apply_list(&listing, kind, &mut self.names);
                self.apply_list(event);
            }
            Inbound::Joined { stream, hello, orders } => self.join(stream, hello, orders),
            Inbound::Ended(stream, why) => {
                why.into_iter().for_each(|why| self.tally.broke.add(why));
                let left = self.presence.proxy_of(stream);
                left.into_iter().for_each(|proxy| self.leave(proxy));
            }
            Inbound::Said(from, report) => match self.report(from, report) {
                Ok(event) => self.events.push(event),
                Err(why) => {
                    tracing::debug!("passed over: {why}");
                    self.tally.odd.add(why);
                }
            },
            Inbound::Rejected(why) => self.tally.away.add(why),
            Inbound::Probed(worker, Found { ending, took, load }) => {
                self.events.push(Event::Probed { worker, ending, took, load });
            }
        }
    }

    fn apply_list(&mut self, event: Event) {
        if let Event::List { workers, .. } = &event {
            let now = self.clock.now();
            for listed in workers {
                self.plane.listed(listed);
                match listed.phase {
                    Phase::Ready => _ = self.leaving.remove(&listed.worker),
                    Phase::Draining | Phase::Gone => _ = self.leaving.entry(listed.worker).or_insert(now),
                }
                self.zones.name(self.names.zones.name(listed.zone.0.into()));
            }
        }
        self.events.push(event);
    }

    /// What the north asks, answered in this turn.
    fn answer_request(&mut self, ask: Ask) {
        // Whoever asked may be gone.
        match ask {
            Ask::State(tell) => _ = tell.send(Arc::new(self.state())),
            Ask::Judge { intent, verdict } => _ = verdict.send(self.verdict(&intent)),
            Ask::Change { number, by, intent, verdict } => {
                let _change = tracing::info_span!("change", number, by).entered();
                let judged = self.verdict(&intent);
                match &judged {
                    Ok(()) => {
                        let workers: BTreeSet<String> =
                            self.intent.differing(&intent).map(str::to_string).collect();
                        tracing::info!("change {number} by {by} is taken over: {} workers", workers.len());
                        self.progress.taken(self.clock.now(), number, &by, workers);
                        self.apply_intent(*intent);
                    }
                    Err(why) => {
                        let why = why.first().map(ToString::to_string).unwrap_or_default();
                        tracing::info!("a change by {by} is refused: {why}");
                    }
                }
                _ = verdict.send(judged);
            }
        }
    }

    fn verdict(&self, intent: &Intent) -> Verdict {
        let refusals = self.check_intent(intent);
        if refusals.is_empty() {
            Ok(())
        } else {
            Err(refusals)
        }
    }

    fn check_intent(&self, intent: &Intent) -> Vec<juniperrail_intent::Refusal> {
        self.check_composed(&self.roster.composed(Some(intent), &self.names), intent)
    }

    /// What speaks against workers being composed otherwise than now.
    fn check_composed(
        &self,
        after: &BTreeMap<String, Composed>,
        intent: &Intent,
    ) -> Vec<juniperrail_intent::Refusal> {
        let (names, plane) = (&self.names, &self.plane);
        let world = World {
            now: self.clock.now(),
            settings: &self.start,
            operations: &self.operations,
            zone_name: &|zone| names.zones.name(zone.0.into()).to_string(),
            zone_known: &|zone| self.start.zones.iter().any(|known| names.zones.name(known.0.into()) == zone),
            joined: self.presence.here().count(),
            readers: &|worker| plane.readers(worker),
        };
        judge(&world, &self.roster.composed(None, names), after, intent)
    }

    /// An intent that was judged, or that the file had at the start, holds from this turn on.
    fn apply_intent(&mut self, intent: Intent) {
        let figures = intent.figures(&self.start, &self.operations);
        if figures != self.intent.figures(&self.start, &self.operations) {
            self.events.push(Event::Figures(figures));
        }
        if let Some(event) = self.roster.apply_intent(&intent, &mut self.names) {
            if let Event::List { workers, .. } = &event {
                // Guards against a worker that was out for long, forgotten, and stays shut out as it comes back.
                workers.iter().for_each(|listed| self.plane.doubt(listed.worker));
            }
            self.apply_list(event);
        }
        self.intent = intent;
    }

    /// What managers agreed on holds from this turn on, unless an operation would have nobody left by it.
    fn apply_plan(&mut self, parts: &Parts) {
        let id = |zone: &str| self.names.zones.known(zone).map(|id| ZoneId(id as u16));
        let parts: BTreeMap<ZoneId, f64> =
            parts.iter().filter_map(|(zone, part)| Some((id(&zone.0)?, *part))).collect();
        let refusals =
            self.check_composed(&self.roster.composed_with_plan(&parts, &self.names), &self.intent);
        if let Some(refusal) = refusals.first() {
            return tracing::warn!("the plan in common is not followed: {refusal}");
        }
        if let Some(event) = self.roster.apply_plan(parts, &self.names) {
            self.apply_list(event);
        }
    }

    /// Tells what was met since, once a period.
    fn report_evidence(&mut self, now: Ms) {
        let Some((common, evidence)) = &mut self.fleet else { return };
        let figures = self.intent.figures(&self.start, &self.operations);
        let warmth = |booted: Option<Ms>| match booted {
            Some(booted) if now < booted + figures.warm_up => figures.cold_share,
            _ => 1.0,
        };
        let names = &self.names;
        let listed = self.roster.workers();
        let listed = listed.map(|l| (l, names.zones.name(l.zone.0.into()), warmth(l.booted)));
        let streams = self.presence.streams.values();
        let proxies = streams.map(|s| (names.zones.name(s.zone.0.into()), s.silent.is_some()));
        let report = evidence.report(now, self.start.report_period, listed, proxies);
        report.into_iter().for_each(|report| common.met(report));
    }

    /// How far the changes that are under way have come.
    fn check_progress(&mut self, now: Ms) {
        let due =
            now >= self.progress_checked_at + PROGRESS_CHECK_EVERY && self.progress.open().next().is_some();
        if !due {
            return;
        }
        self.progress_checked_at = now;
        let joined = self.presence.here().count();
        let open: Vec<(u64, BTreeSet<WorkerId>)> =
            self.progress.open().map(|c| (c.number, self.ids(c))).collect();
        for (number, workers) in open {
            let holding = self.brain.holding(&workers);
            if self.progress.found(now, number, holding, joined) {
                let after =
                    self.progress.all().find(|change| change.number == number).map_or(0.0, |c| now - c.at);
                tracing::info!("change {number} is held by all {joined} proxies after {after:.0} ms");
                let north = self.north.as_ref();
                north
                    .into_iter()
                    .for_each(|north| _ = north.notices.try_send(Notice::Held { number, after }));
            }
        }
    }

    fn ids(&self, change: &Change) -> BTreeSet<WorkerId> {
        change.workers.iter().filter_map(|name| self.names.workers.known(name).map(WorkerId)).collect()
    }

    fn state(&self) -> State {
        let now = self.clock.now();
        let warm_up = self.intent.figures(&self.start, &self.operations).warm_up;
        let worker = |(name, composed): (String, juniperrail_intent::Composed)| {
            let spelled = |name: Option<&str>| name.unwrap_or_default().to_string();
            WorkerState {
                name,
                zone: spelled(self.names.zones.get(composed.listed.zone.0.into())),
                machine: spelled(self.names.machines.get(composed.listed.machine.0.into())),
                warm: composed.listed.booted.is_none_or(|booted| now >= booted + warm_up),
                composed,
            }
        };
        let change = |change: &Change| ChangeState {
            number: change.number,
            by: change.by.clone(),
            age: now - change.at,
            stage: change.stage,
            held_by: change.held_by,
            joined: change.joined,
        };
        State {
            manager: self.name.clone(),
            list_version: self.roster.version,
            workers: self.roster.composed(None, &self.names).into_iter().map(worker).collect(),
            tables: self.plane.table_states(&self.names),
            proxies: self.plane.proxy_states(&self.names, &self.presence, now),
            lines_waiting: self.brain.waiting(),
            lines_waiting_most: self.start.lines_waiting_most,
            changes: self.progress.all().map(change).collect(),
            fleet: self.fleet.as_ref().map(|(common, _)| fleet::state(common)),
        }
    }

    fn join(&mut self, id: StreamId, hello: Hello, orders: Outbox) {
        let Hello { proxy, zone, inv_per_second, fresh } = hello;
        let (proxy, zone) = (ProxyId(proxy), self.names.zone(&zone));
        // Guards against a connection that a proxy gave up, whose introduction comes late: the later one counts.
        if self.presence.streams.get(&proxy).is_some_and(|stream| stream.id > id) {
            let why = format!("proxy {} joined over a later connection already", proxy.0);
            return self.tally.odd.add(why);
        }
        // A new stream may come before the old one is seen to end; what that still brings changes nothing.
        self.leave(proxy);
        let stream = Stream::new(id, orders, zone, inv_per_second, self.clock.now());
        self.presence.streams.insert(proxy, stream);
        self.joined(proxy, fresh);
    }

    fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        let Stream { zone, inv_per_second, .. } = self.presence.streams[&proxy];
        tracing::debug!("proxy {} joined: {inv_per_second} a second, fresh {fresh}", proxy.0);
        self.plane.joined(proxy, fresh);
        self.events.push(Event::Joined { proxy, fresh, inv_per_second, zone });
    }

    fn leave(&mut self, proxy: ProxyId) {
        if self.presence.leave(proxy) {
            self.left(proxy);
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        tracing::debug!("proxy {} left", proxy.0);
        self.plane.left(proxy);
        self.events.push(Event::Left { proxy });
    }

    fn check_silences(&mut self, now: Ms) {
        for lapse in self.presence.lapses(now) {
            match lapse {
                Lapse::Silent { proxy, since, owed } => {
                    let last = format!("proxy {}, no word for {since:.0} ms, {owed} answers owed", proxy.0);
                    self.tally.silent.add(last);
                    self.left(proxy);
                }
                Lapse::GivenUp(proxy) => {
                    tracing::debug!("proxy {} stays silent: its stream is given up", proxy.0);
                }
            }
        }
    }

    /// Something came over a stream. False if another stream took its place.
    fn record_activity(&mut self, from: StreamId, proxy: ProxyId) -> bool {
        let Some(word) = self.presence.spoke(self.clock.now(), from, proxy) else { return false };
        tracing::trace!(
            "proxy {} speaks after {:.0} ms, owing for {:.0} ms",
            proxy.0,
            word.after,
            word.owing
        );
        if word.again {
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
        if let Some((_, proxy)) = from.filter(|(stream, proxy)| !self.record_activity(*stream, *proxy)) {
            return Err(format!("another stream of proxy {} took its place", proxy.0));
        }
        let foreign = |proxy| from.is_some_and(|(_, own)| own != proxy);
        match report? {
            Report::Outcomes { zone, worker, tries, bad, mean, over, load } => {
                let known = self.names.workers.known(&worker).map(WorkerId);
                let worker = known.ok_or_else(|| format!("no list named the worker {worker:?}"))?;
                let known = self.names.zones.known(&zone).map(|id| ZoneId(id as u16));
                let zone_name = &zone;
                let zone = known.ok_or_else(|| format!("unknown zone {zone:?}"))?;
                if let (Some((_, evidence)), Some(listed)) = (&mut self.fleet, self.roster.worker(worker)) {
                    let to = self.names.zones.name(listed.zone.0.into());
                    evidence.record(zone_name, to, tries, bad, mean, load.busy);
                }
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
                self.presence.answered(self.clock.now(), proxy, mark)?;
                Ok(Event::Answered { mark: MarkId(mark.0.wrapping_sub(self.marks.0)), took, proxy })
            }
        }
    }

    fn turn(&mut self) {
        self.turn_by(Brain::turn);
    }

    fn turn_by(&mut self, decide: impl FnOnce(&mut Brain, Ms, &[Event]) -> Vec<Order>) {
        let (now, events) = (self.clock.now(), std::mem::take(&mut self.events));
        let _turn = tracing::debug_span!("turn", events = events.len()).entered();
        self.tally.joined += events.iter().filter(|event| matches!(event, Event::Joined { .. })).count();
        self.tally.left += events.iter().filter(|event| matches!(event, Event::Left { .. })).count();
        if now >= self.tally.logged + self.start.report_period {
            self.tally.log(now, self.presence.here().count());
            self.limit_warnings(now).iter().for_each(|warning| tracing::warn!("{warning}"));
        }
        let turn = AssertUnwindSafe(|| {
            let mut orders = decide(&mut self.brain, now, &events);
            for order in &mut orders {
                if let Order::Mark { number, .. } = order {
                    number.0 = number.0.wrapping_add(self.marks.0);
                    self.marks.1 = number.0;
                }
            }
            (self.plane.messages(&orders, &self.names), orders)
        });
        match catch_unwind(turn) {
            Ok((messages, orders)) => {
                self.failed = (0, 0.0);
                self.dispatch_orders(now, messages, orders)
            }
            Err(_) => self.restart(now),
        }
    }

    /// What is near a limit, as people on call should know it.
    fn limit_warnings(&mut self, now: Ms) -> Vec<String> {
        let (waiting, most) = (self.brain.waiting(), self.start.lines_waiting_most);
        let full = (waiting >= NEAR.0 * most && most > 0.0)
            .then(|| format!("{waiting:.0} of {most:.0} lines wait in the channel"));
        let grace = self.intent.figures(&self.start, &self.operations).drain_grace;
        self.leaving.retain(|_, told| now - *told <= grace + self.start.report_period);
        let owed: BTreeMap<WorkerId, Ms> = self
            .leaving
            .iter()
            .filter(|(_, told)| now - **told >= NEAR.1 * grace)
            .map(|(id, at)| (*id, *at))
            .collect();
        let (joined, holding) =
            (self.presence.here().count(), self.brain.holding(&owed.keys().copied().collect()));
        let oldest = owed.iter().min_by(|a, b| a.1.total_cmp(b.1)).filter(|_| holding < joined);
        let late = oldest.map(|(id, told)| {
            let (name, since) = (self.names.workers.get(id.0).unwrap_or("one forgotten"), now - told);
            let missing = joined - holding;
            format!(
                "{missing} of {joined} proxies have not answered for {} workers that leave, {name} for {since:.0} ms of {grace:.0}",
                owed.len()
            )
        });
        full.into_iter().chain(late).collect()
    }

    /// Guards against a panic in the module: it starts anew on the list held and the streams open; at once the first time,
    /// later after ever longer, up to a report period. Guards so against a log that fills where it fails each time.
    fn restart(&mut self, now: Ms) {
        let (failed, _) = self.failed;
        let rest = self.tick.as_secs_f64() * 1000.0 * f64::from(2u32.pow(failed.min(16)) - 1);
        self.failed = (failed + 1, now + rest.min(self.start.report_period));
        tracing::error!("the decisions failed and start anew with {} proxies", self.presence.streams.len());
        self.brain = Brain::new(now, self.rng.u64(..), self.start.clone());
        self.marks.0 = self.marks.1;
        self.plane.restart();
        self.wakes.clear();
        self.events.push(self.roster.remembered_list());
        let figures = self.intent.figures(&self.start, &self.operations);
        if figures != Intent::default().figures(&self.start, &self.operations) {
            self.events.push(Event::Figures(figures));
        }
        let here = self.presence.streams.iter_mut().filter(|(_, stream)| stream.silent.is_none());
        for (proxy, stream) in here {
            let Stream { zone, inv_per_second, .. } = *stream;
            stream.absolve();
            self.events.push(Event::Joined { proxy: *proxy, fresh: false, inv_per_second, zone });
        }
        self.wakes.push((now, "anew".into()));
    }

    fn dispatch_orders(&mut self, now: Ms, messages: Vec<OutboundMessage>, orders: Vec<Order>) {
        self.presence.next_turn();
        for OutboundMessage { proxy, bytes, lines, mark } in messages {
            tracing::trace!("to {}: {lines} lines, {bytes:?}", proxy.0);
            if !self.presence.send(proxy, now, self.start.messages_over, mark, bytes) {
                tracing::warn!("proxy {} does not read: its stream is given up", proxy.0);
                self.leave(proxy);
            }
        }
        for order in orders {
            match order {
                Order::Wake { after, handle } => self.wakes.push((now + after, handle)),
                Order::Log { about: Some(id), text } => {
                    tracing::info!("{} {text}", self.names.workers.name(id.0));
                }
                Order::Log { about: None, text } => tracing::info!("{text}"),
                Order::Probe { worker } => self.probe(worker),
                Order::FetchList => self.resync.notify_one(),
                Order::Forget { worker } => {
                    self.plane.forget(worker);
                    self.roster.forget(worker, &mut self.names);
                }
                // The watch follows the list from the start on; there is no way to other managers.
                Order::FollowList(_) | Order::Tell { .. } => {}
                // Handed out above.
                _ => {}
            }
        }
    }

    fn probe(&mut self, worker: WorkerId) {
        let Some(address) = self.roster.address(worker) else {
            let found = Found { ending: Ending::Unreachable, took: 0.0, load: Load::default() };
            return self.receive(Inbound::Probed(worker, found));
        };
        let (probes, inbound) = (self.probes.clone(), self.inbound.clone());
        tokio::spawn(async move {
            let Ok(found) = probes.oneshot(address).await;
            if let Some(inbound) = inbound.upgrade() {
                _ = inbound.send(Inbound::Probed(worker, found)).await;
            }
        });
    }
}

/// The north's next ask; never where there is no north, or none any more.
async fn next_ask(north: &mut Option<North>) -> Ask {
    let Some(known) = north else { return std::future::pending().await };
    match known.asks.recv().await {
        Some(ask) => ask,
        None => {
            *north = None;
            std::future::pending().await
        }
    }
}

/// The next plan in common; never where nothing is decided in common.
async fn next_plan(fleet: &mut Option<(Common, EvidenceCollector)>) -> Arc<Parts> {
    match fleet {
        Some((common, _)) => common.next().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
