//! All decisions of a juniperrail manager. A host calls [`Planner::process_events`] with what happened; the orders that
//! come back take effect as written. Their types: `crates/interface`; the mechanism: `docs/design.md`.

use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Parts of the lines that may wait: topped up in a turn, used by overdue drains; pace assumed of a channel.
const TOPPED: (f64, f64) = (0.5, 0.8);
const SLOWEST: f64 = 0.1;
/// Ordinary messages' part, and their heads' of the channel; the grace's for answers; least part; ramp steps.
const ORDINARY: (f64, f64) = (0.6, 0.2);
const PATIENCE: f64 = 0.4;
const LEAST_PART: f64 = 16.0;
const UNEVEN: (f64, f64) = (0.8, 0.5);
const RAMP: f64 = 4.0;
/// Reports kept of a worker and of what came to a proxy; tries that are evidence enough; the least lean.
const KEPT: (usize, usize) = (12, 3);
const ENOUGH: f64 = 4.0;
const LEAST_LEAN: f64 = 0.125;
/// A weight follows its worker's cost against its peers' by this power, outside a deadband, in bounds.
const GAIN: f64 = 0.6;
const DEADBAND: f64 = 1.2;
const STEPS: (f64, f64) = (0.2, 1.6);
/// Bounds of the multiple, what counts as low, and the part of the fleet's weight that may fall so low.
const FACTORS: (f64, f64) = (0.05, 2.0);
const LOW: (f64, f64) = (0.5, 0.35);
/// Shedding is steered to a mean answer in latency objectives, and busyness; steps' bounds; least let in.
const UNHURRIED: (f64, f64) = (0.4, 0.47);
const FULL: (f64, f64) = (0.85, 0.7);
const SHED: (f64, f64) = (0.4, 1.5);
const SHED_IDLE: (f64, f64) = (0.85, 1.1);
const EASED: (f64, f64) = (0.95, 1.1);
const LEAST_IN: (f64, f64) = (0.25, 0.12);
const NEAR: f64 = 0.8;
const STEP: f64 = 1.1;
const NO_LIMIT: f64 = 1e6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Hold(WorkerId),
    Line(TableId, WorkerId),
    Level(TableId, OpId),
}

/// Idle while what is wanted is not what was sent; scheduled while a mark is owed; else completed.
#[derive(Default)]
struct Entry {
    wanted: f64,
    sent: f64,
    owed: Option<u64>,
    /// Its worker became doubtful as the line stood: with the next write it may have to be let back.
    unsure: bool,
}

struct Sample {
    at: Ms,
    tries: f64,
    bad: f64,
    took: Ms,
    busy: Option<f64>,
}

struct Worker {
    listed: WorkerEntry,
    told: Ms,
    factor: f64,
    weighed: Ms,
    samples: VecDeque<Sample>,
    part: Option<usize>,
    /// Another manager may have had it shut out at a proxy, which then has to be told to let it back.
    doubtful: bool,
}

#[derive(Default)]
struct Proxy {
    zone: ZoneId,
    inv_per_second: f64,
    part: Option<usize>,
    bound: bool,
    answered: u64,
    demand: BTreeMap<OpId, VecDeque<f64>>,
}

struct Table {
    id: TableId,
    ops: Vec<usize>,
    open: Operation,
    near: Option<ZoneId>,
    part: Option<usize>,
    readers: BTreeSet<ProxyId>,
}

impl Table {
    fn open(&self, worker: &Worker) -> bool {
        self.open.zones.as_ref().is_none_or(|zones| zones.contains(&worker.listed.zone))
            && self.open.machines.as_ref().is_none_or(|machines| machines.contains(&worker.listed.machine))
            && (!self.open.own_zone_only || self.near == Some(worker.listed.zone))
            && (self.part.is_none() || self.part == worker.part)
    }
}

#[derive(Default)]
pub struct Planner {
    start: Settings,
    rng: fastrand::Rng,
    now: Ms,
    workers: BTreeMap<WorkerId, Worker>,
    proxies: BTreeMap<ProxyId, Proxy>,
    written: BTreeMap<ProxyId, VecDeque<Ms>>,
    tables: Vec<Table>,
    /// The places of each part's tables, and of the whole fleet's.
    laid: BTreeMap<Option<usize>, Vec<usize>>,
    entries: BTreeMap<Key, Entry>,
    pending: BTreeSet<Key>,
    parts: usize,
    pairs: BTreeMap<(Key, Key), Ms>,
    mark: u64,
    waits: BTreeMap<(u64, ProxyId), f64>,
    proven: Ms,
    message: BTreeMap<ProxyId, f64>,
    adding: f64,
    changed: Ms,
    drained: Ms,
    let_in: f64,
    let_in_at: Ms,
    jammed_at: f64,
    rising: bool,
    strained: bool,
    wake: bool,
    ask_at: Option<Ms>,
    orders: Vec<Order>,
}

impl Planner {
    pub fn new(now: Ms, seed: u64, start: Settings) -> Self {
        let mut planner = Planner {
            rng: fastrand::Rng::with_seed(seed),
            now,
            let_in: 1.0,
            jammed_at: 1.0,
            drained: f64::NEG_INFINITY,
            wake: true,
            ask_at: start.list_on_request.then_some(now),
            start,
            ..Planner::default()
        };
        planner.lay(None, None);
        planner
    }

    pub fn process_events(&mut self, now: Ms, events: &[Event]) -> Vec<Order> {
        self.now = now;
        events.iter().for_each(|event| self.hear(event));
        if events.is_empty() || events.iter().any(|event| !matches!(event, Event::MarkAcknowledged { .. })) {
            self.weigh();
            self.ration();
            self.split();
            self.plan();
        }
        self.settle();
        self.send();
        self.orders.extend(self.ask_at.take_if(|at| now >= *at).map(|_| Order::SubscribeToList(true)));
        let (after, handle) = ((self.start.report_period / 8.0).max(20.0), "beat".into());
        self.orders.extend(std::mem::take(&mut self.wake).then_some(Order::SetTimer { after, handle }));
        std::mem::take(&mut self.orders)
    }

    /// How many joined proxies hold all that is wanted of these workers, by their answers.
    pub fn synced_proxy_count(&self, of: &BTreeSet<WorkerId>) -> usize {
        // A removal changes nothing where its worker is held back already.
        let about = |key: &&Key| match key {
            Key::Hold(id) => of.contains(id),
            Key::Line(_, id) => of.contains(id) && self.entries[key].wanted > 0.0,
            Key::Level(..) => false,
        };
        let open = self.pending.iter().filter(about).map(|key| (&self.entries[key], self.reach(*key)));
        let open: Vec<(&Entry, BTreeSet<ProxyId>)> = open.collect();
        let answered = |proxy: &Proxy, e: &Entry| e.owed.is_none_or(|mark| proxy.answered >= mark);
        let holds = |(id, proxy): &(&ProxyId, &Proxy)| {
            let done = |e: &Entry| e.wanted == e.sent && answered(proxy, e);
            proxy.bound && open.iter().all(|(entry, to)| !to.contains(id) || done(entry))
        };
        self.proxies.iter().filter(holds).count()
    }

    /// Lines written that no answer has proven to have left the channel.
    pub fn unacknowledged_lines(&self) -> f64 {
        self.waits.values().sum()
    }

    fn hear(&mut self, event: &Event) {
        match event {
            Event::List { kind: ListKind::Failed, .. } => {
                let apart = self.start.list_request_deadline / 8.0 * (0.5 + self.rng.f64());
                self.ask_at = self.start.list_on_request.then_some(self.now + apart);
            }
            Event::List { kind, workers, .. } => {
                let listed = |id| *kind == ListKind::Changes || workers.iter().any(|of| of.worker == id);
                let gone = self.workers.values().filter(|w| !listed(w.listed.worker));
                let gone: Vec<_> =
                    gone.map(|w| WorkerEntry { phase: Phase::Gone, ..w.listed.clone() }).collect();
                let later = *kind == ListKind::Changes;
                gone.iter().chain(workers).for_each(|listed| self.list(listed.clone(), later));
            }
            Event::SettingsChanged(told) => {
                let start = &mut self.start;
                (start.drain_grace, start.warm_up) = (told.drain_grace, told.warm_up);
                (start.cold_share, start.overload_factor) = (told.cold_share, told.overload_factor);
                for (op, told) in start.operations.iter_mut().zip(&told.operations) {
                    (op.latency_objective, op.billed_value) = *told;
                }
            }
            Event::TimerFired { .. } => self.wake = true,
            Event::Joined { proxy, inv_per_second, zone, .. } => {
                let (zone, inv_per_second, answered) = (*zone, *inv_per_second, self.mark);
                if !self.start.zones.contains(&zone) {
                    // Guards against proxies of a zone that only the list names: they would have no table.
                    self.start.zones.push(zone);
                    let parts: Vec<Option<usize>> = self.laid.keys().copied().collect();
                    parts.into_iter().for_each(|part| self.lay(part, Some(zone)));
                }
                self.proxies.insert(*proxy, Proxy { zone, inv_per_second, answered, ..Proxy::default() });
            }
            Event::Left { proxy } => {
                // Its binds end: what only it owed an answer for settles to idle, its next bind carries all.
                self.proxies.remove(proxy);
                self.tables.iter_mut().for_each(|table| _ = table.readers.remove(proxy));
            }
            Event::MarkAcknowledged { mark, proxy, .. } => {
                let mark = self.mark.saturating_sub(self.mark.wrapping_sub(u64::from(mark.0)) & 0xffff);
                let Some(known) = self.proxies.get_mut(proxy).filter(|p| p.answered < mark) else { return };
                (known.answered, self.proven) = (mark, self.now);
                self.waits = self.waits.split_off(&(mark, ProxyId(0)));
                self.waits.remove(&(mark, *proxy));
            }
            Event::ProxySums { proxy, op, invocations: invs, period: over, .. } => {
                let Some(known) = self.proxies.get_mut(proxy) else { return };
                let rates = known.demand.entry(*op).or_default();
                rates.push_front(invs * 1000.0 / over.max(1.0));
                rates.truncate(KEPT.1);
            }
            Event::WorkerSums { worker, tries, failed: bad, mean_latency: mean, load, .. } => {
                let Some(known) = self.workers.get_mut(worker) else { return };
                let (tries, bad, took) = (*tries, *bad, (tries - bad) * mean);
                known.samples.push_front(Sample { at: self.now, tries, bad, took, busy: load.utilization });
                known.samples.truncate(KEPT.0);
            }
            _ => {}
        }
    }

    fn list(&mut self, mut listed: WorkerEntry, later: bool) {
        let known = self.workers.values().map(|worker| worker.listed.weight);
        listed.weight = if listed.weight > 0.0 { listed.weight } else { mean(known).unwrap_or(1.0) };
        let (now, samples, weighed) = (self.now, VecDeque::new(), f64::NEG_INFINITY);
        let (part, doubtful) = (None, later);
        let fresh =
            Worker { listed: listed.clone(), told: now, factor: 1.0, weighed, samples, part, doubtful };
        let hold = Entry { wanted: f64::NAN, sent: f64::NAN, ..Entry::default() };
        self.entries.entry(Key::Hold(listed.worker)).or_insert(hold);
        let worker = self.workers.entry(listed.worker).or_insert(fresh);
        if listed.booted > worker.listed.booted {
            (worker.factor, worker.samples) = (1.0, VecDeque::new());
        }
        if !worker.doubtful && (listed.booted.is_some() || listed.phase != Phase::Ready) {
            worker.doubtful = true;
            let lines = self.tables.iter().map(|table| Key::Line(table.id, listed.worker));
            lines.for_each(|line| _ = self.entries.get_mut(&line).map(|line| line.unsure = true));
        }
        let left = worker.listed.phase == Phase::Ready && listed.phase != Phase::Ready;
        (worker.told, worker.listed) = (if left { now } else { worker.told }, listed);
    }

    fn warmth(&self, listed: &WorkerEntry) -> f64 {
        let Some(booted) = listed.booted.filter(|_| self.start.warm_up > 0.0) else { return 1.0 };
        let step = ((self.now - booted) / self.start.warm_up * RAMP).floor() / RAMP;
        let cold = self.start.cold_share.clamp(0.01, 1.0);
        (cold + (1.0 - cold) * step.clamp(0.0, 1.0)).min(1.0)
    }

    fn evidence(&self, worker: &Worker, since: Ms) -> Sample {
        let recent = || worker.samples.iter().filter(|sample| sample.at > since);
        let sum = |part: fn(&Sample) -> f64| recent().map(part).sum::<f64>();
        let busy = mean(recent().filter_map(|sample| sample.busy));
        Sample { at: since, tries: sum(|s| s.tries), bad: sum(|s| s.bad), took: sum(|s| s.took), busy }
    }

    /// Who costs more than its peers or is busier loses weight whatever the cause, bounded in share of fleet.
    fn weigh(&mut self) {
        let (now, settled) = (self.now, self.start.report_period + self.start.max_transit);
        let lost = 2.0 * self.start.operations.iter().map(|op| op.latency_objective).fold(0.0, f64::max);
        let peers: Vec<_> = self.workers.values().map(|w| self.evidence(w, now - 2.0 * settled)).collect();
        let tries: f64 = peers.iter().map(|met| met.tries).sum();
        let cost = peers.iter().map(|met| met.took + met.bad * lost).sum::<f64>() / tries;
        let busy = mean(peers.iter().filter_map(|met| met.busy));
        let ready = || self.workers.values().filter(|worker| worker.listed.phase == Phase::Ready);
        let all: f64 = ready().map(|worker| worker.listed.weight).sum();
        let mut low: f64 = ready().filter(|w| w.factor < LOW.0).map(|w| w.listed.weight).sum();
        for id in self.workers.keys().copied().collect::<Vec<WorkerId>>() {
            let worker = &self.workers[&id];
            let own = self.evidence(worker, worker.weighed + settled);
            let n = own.tries;
            let mut ratio = (own.took + own.bad * lost) / n / cost;
            if let (Some(own), Some(busy)) = (own.busy, busy) {
                ratio = (ratio * (own / busy.max(0.1)).max(0.2)).sqrt();
            }
            let early = now < worker.weighed + 2.0 * self.start.report_period;
            if early || n.min(tries - n) < ENOUGH || ratio > 1.0 / DEADBAND && ratio < DEADBAND {
                continue;
            }
            let step = ratio.max(0.01).powf(-GAIN * n / (n + ENOUGH)).clamp(STEPS.0, STEPS.1);
            let most = if self.warmth(&worker.listed) < 1.0 { 1.0 } else { FACTORS.1 };
            let (fell, weight) = (worker.factor < LOW.0, worker.listed.weight);
            let least = if fell || low + weight <= all * LOW.1 { FACTORS.0 } else { LOW.0 };
            let factor = (worker.factor * step).clamp(least, most);
            if factor < LOW.0 && !fell {
                low += weight;
                let text = format!("to {factor:.2} of its weight: cost {ratio:.2} of its peers");
                self.orders.push(Order::Log { about: Some(id), text });
            }
            self.workers.entry(id).and_modify(|worker| (worker.factor, worker.weighed) = (factor, now));
        }
    }

    /// How much of its demand the fleet bears, by the middle worker: one in trouble is no overload.
    fn bears(&self, since: Ms, idle: f64) -> Option<f64> {
        let met = self.workers.values().map(|worker| self.evidence(worker, since));
        let met: Vec<Sample> = met.filter(|met| met.tries > 0.0).collect();
        (met.len() as f64 >= ENOUGH).then_some(())?;
        let objectives = self.start.operations.iter().map(|op| op.latency_objective);
        let took = middle(met.iter().map(|met| met.took / (met.tries - met.bad).max(1.0)).collect());
        let lost = middle(met.iter().map(|met| met.bad / met.tries).collect());
        let unhurried = if self.let_in < 1.0 { UNHURRIED.0 } else { UNHURRIED.1 };
        let late = (unhurried * objectives.fold(f64::INFINITY, f64::min) / took.max(1.0)).sqrt();
        let busy = mean(met.iter().filter_map(|met| met.busy));
        let full = (FULL.0 / busy.unwrap_or(0.0).max(0.1)).powi(2);
        let tries: f64 = met.iter().map(|met| met.tries).sum();
        // Idle cores are no overload: answers get lost, clients leave. Without parts they raise by a tenth.
        let idle = busy.filter(|b| *b < idle).map_or(0.0, |_| [SHED_IDLE.1, SHED.1][self.parts.min(1)]);
        let met = late.min(SHED.1 * (1.0 - lost).powi(2)).max(idle);
        Some(met.min(full).clamp(SHED.0, SHED.1).powf(tries / (tries + ENOUGH * ENOUGH)))
    }

    fn ration(&mut self) {
        let (now, settled) = (self.now, self.start.report_period + self.start.max_transit);
        // Busyness is told late: for the cold, lost and late answers are strain even on idle cores.
        let Some(bears) = self.bears(now - settled, 0.0) else { return };
        self.strained = bears < if self.start.proxies_avoid_outliers { EASED.1 } else { EASED.0 };
        let blind = self.workers.values().flat_map(|w| &w.samples).all(|sample| sample.busy.is_none());
        // Where no report tells busyness, a second cut would go by answers begun before the first: only later
        // reports are heard after a cut.
        let heard = if blind && self.let_in < 1.0 && !self.rising { 1.75 * settled } else { settled };
        let Some(step) = self.bears((self.let_in_at + heard).max(now - settled), FULL.1) else { return };
        let least = LEAST_IN.0.min(self.let_in * SHED_IDLE.0).max(LEAST_IN.1);
        let near = (self.let_in * SHED_IDLE.1).max(NEAR * self.jammed_at);
        let risen = if blind { step.max(step * step) } else { step };
        let next = (self.let_in * risen).min(near).clamp(least, 1.0);
        if next != self.let_in && (step < SHED_IDLE.0 || step >= SHED_IDLE.1) {
            self.jammed_at = if next < self.let_in && self.rising { self.let_in } else { self.jammed_at };
            (self.rising, self.let_in, self.let_in_at) = (next > self.let_in, next, now);
            let text = format!("letting in {next:.2}: the fleet bears {step:.2} of what came");
            self.orders.push(Order::Log { about: None, text });
        }
    }

    /// The fleet is laid in parts where a round of the whole table is over half the backlog, or all proxies could
    /// not be bound within half a grace: whoever comes past it with another's table may send to who drained.
    fn split(&mut self) {
        let present = || self.workers.values().filter(|worker| worker.listed.phase != Phase::Gone);
        let read = |t: &&Table| t.near.is_none_or(|near| Some(&near) == self.start.zones.first());
        let lines = self.tables.iter().filter(read).map(|t| present().filter(|w| t.open(w)).count());
        let (kinds, round) = lines.fold((0.0, 0.0), |sum, lines| (sum.0 + 1.0, sum.1 + lines as f64));
        let grace = self.start.channel_rate * self.start.drain_grace / 1000.0 * TOPPED.0;
        let most = self.start.max_pending_lines * TOPPED.0 / self.expected();
        let paid = most.min(grace / self.start.proxy_count.max(1.0)) - self.start.message_overhead;
        let parts = (round / paid.max(LEAST_PART * kinds).max(1.0)) as usize;
        if self.parts == 0 && round > paid && parts > 1 {
            self.parts = parts;
            (0..parts).for_each(|part| self.lay(Some(part), None));
            self.proxies.values_mut().for_each(|proxy| proxy.bound = false);
        }
        // Who comes fills the part that lost most, so that none is left with the cold or with too few.
        let mut usable = vec![0.0; self.parts];
        self.workers.values().for_each(|w| w.part.map_or((), |part| usable[part] += self.usable(w)));
        for worker in self.workers.values_mut().filter(|worker| worker.part.is_none()) {
            worker.part = least(&usable);
            worker.part.iter().for_each(|part| usable[*part] += worker.listed.weight);
        }
    }

    /// Lays the tables of a part or of the whole fleet; of a zone that was not known, only its own.
    fn lay(&mut self, part: Option<usize>, zone: Option<ZoneId>) {
        let zones = zone.map_or(self.start.zones.clone(), |zone| vec![zone]);
        for table in tables(&self.start, &zones) {
            if zone.is_none() || table.near.is_some() {
                let id = TableId(self.tables.len() as u16);
                self.laid.entry(part).or_default().push(self.tables.len());
                self.tables.push(Table { id, part, ..table });
            }
        }
    }

    fn expected(&self) -> f64 {
        (self.start.proxy_count / self.start.manager_count.max(1.0)).max(self.proxies.len() as f64).max(1.0)
    }

    /// Deals each new proxy to the part with least to bear; one that would fill half a part has the whole.
    fn deal(&mut self, unbound: &[(f64, ProxyId)]) {
        let mut loads = vec![0.0; self.parts];
        self.proxies.values().for_each(|p| p.part.map_or((), |part| loads[part] += p.inv_per_second));
        let rates = self.proxies.values().map(|proxy| proxy.inv_per_second);
        let most = mean(rates).unwrap_or(0.0) * self.expected() / self.parts as f64 / 2.0;
        let wide = self.workers.len() as f64 > self.start.max_pending_lines * TOPPED.0;
        for (rate, id) in unbound.iter().filter(|(rate, _)| wide || *rate <= most) {
            let Some(least) = least(&loads) else { return };
            let proxy = self.proxies.get_mut(id).expect("a joined proxy");
            loads[*proxy.part.get_or_insert(least)] += rate;
        }
    }

    fn meant(&self, proxy: &Proxy) -> impl Iterator<Item = &Table> {
        let (zone, laid) = (proxy.zone, self.laid.get(&proxy.part).into_iter().flatten());
        laid.map(|place| &self.tables[*place]).filter(move |t| t.near.is_none_or(|near| near == zone))
    }

    fn demand(&self, proxy: &Proxy, op: usize) -> f64 {
        let rates = proxy.demand.get(&OpId(op as u8)).into_iter().flatten();
        mean(rates.copied()).unwrap_or(proxy.inv_per_second / self.start.operations.len() as f64)
    }

    fn level(&self, table: &Table, op: usize, let_in: f64) -> f64 {
        let value = mean(self.start.operations.iter().map(|op| op.billed_value)).unwrap_or(1.0);
        let part = let_in.powf(value / self.start.operations[op].billed_value.max(1e-9));
        let share = self.start.level_kind == LevelKind::Share;
        let proxies = table.readers.iter().filter(|_| part < 1.0 && !share);
        let mut rates: Vec<f64> = proxies.map(|id| self.demand(&self.proxies[id], op)).collect();
        rates.sort_by(f64::total_cmp);
        let mut left = rates.iter().sum::<f64>() * part;
        for (place, rate) in rates.iter().enumerate() {
            let each = left / (rates.len() - place) as f64;
            if *rate >= each && each > 0.0 {
                return stepped(each.max(0.1));
            }
            left -= rate;
        }
        part.max(if share { 0.0 } else { NO_LIMIT })
    }

    fn usable(&self, worker: &Worker) -> f64 {
        let ready = f64::from(u8::from(worker.listed.phase == Phase::Ready));
        ready * worker.listed.weight * worker.factor * self.warmth(&worker.listed)
    }

    fn plan(&mut self) {
        // Who is gone and answered for is forgotten with its hold: should it come again, that is unknown.
        let late = self.now - 2.0 * (self.start.report_period + self.start.max_transit);
        let of = |key: &Key, id: &WorkerId| matches!(key, Key::Hold(own) | Key::Line(_, own) if own == id);
        let free = |id: &WorkerId, w: &Worker| w.told < late && !self.pending.iter().any(|key| of(key, id));
        for (worker, _) in self.workers.extract_if(.., |id, w| w.listed.phase == Phase::Gone && free(id, w)) {
            self.entries.retain(|key, _| !of(key, &worker));
            self.orders.push(Order::Forget { worker });
        }
        let out = |worker: &Worker| f64::from(u8::from(worker.listed.phase != Phase::Ready));
        let mut wanted: Vec<_> = self.workers.iter().map(|(id, w)| (Key::Hold(*id), out(w))).collect();
        let mut came: BTreeMap<TableId, f64> = self.tables.iter().map(|table| (table.id, 0.0)).collect();
        for proxy in self.proxies.values() {
            for table in self.meant(proxy) {
                let demand = table.ops.iter().map(|op| self.demand(proxy, *op)).sum::<f64>();
                *came.entry(table.id).or_default() += demand;
            }
        }
        let fleet = self.workers.values().map(|w| self.usable(w)).sum::<f64>() / came.values().sum::<f64>();
        let mut carried: BTreeMap<WorkerId, f64> = BTreeMap::new();
        let mut tables: Vec<&Table> = self.tables.iter().collect();
        let width = |t: &Table| self.workers.values().filter(|w| t.open(w)).count();
        tables.sort_by_cached_key(|t| (width(t), t.ops.clone(), t.part));
        for group in tables.chunk_by(|a, b| a.ops == b.ops && a.part == b.part && !a.open.own_zone_only) {
            let workers: Vec<&Worker> = self.workers.values().filter(|w| group[0].open(w)).collect();
            let usable = workers.iter().map(|worker| self.usable(worker)).sum::<f64>().max(1e-9);
            let spared = self.spared(&workers, usable);
            // Wide operations lean from workers that narrower ones load, proxies from zones dear to reach.
            let already = workers.iter().filter_map(|w| carried.get(&w.listed.worker)).sum::<f64>();
            let each = (group.iter().map(|table| came[&table.id]).sum::<f64>() + already) / usable;
            let mut room: Vec<f64> = Vec::new();
            for w in &workers {
                let own = each * self.usable(w);
                room.push((own - carried.insert(w.listed.worker, own).unwrap_or(0.0)).max(own * LEAST_LEAN));
            }
            let mut taken = vec![vec![0.0; workers.len()]; group.len()];
            for near in [true, false] {
                for (table, taken) in group.iter().zip(&mut taken) {
                    let at = |w: &usize| !near || table.near.is_none_or(|z| z == workers[*w].listed.zone);
                    let here: Vec<usize> = (0..workers.len()).filter(at).collect();
                    let free = here.iter().map(|w| room[*w]).sum::<f64>().max(1e-9);
                    let part = ((came[&table.id] - taken.iter().sum::<f64>()) / free).clamp(0.0, 1.0);
                    for w in here {
                        taken[w] += room[w] * part;
                        room[w] *= 1.0 - part;
                    }
                }
            }
            // A part that strain, sickness or the cold left with less than its share lets less in.
            let short = self.strained && group[0].part.is_some();
            let let_in = self.let_in * if short { (UNEVEN.0 / (each * fleet)).min(1.0) } else { 1.0 };
            for (table, taken) in group.iter().zip(taken) {
                for (worker, taken) in workers.iter().zip(taken) {
                    let even = came[&table.id] * self.usable(worker) / usable;
                    let lean = if even > 0.0 { stepped((taken / even).max(LEAST_LEAN)) } else { 1.0 };
                    let cold = if self.warmth(&worker.listed) < 1.0 { spared } else { 1.0 };
                    let weight = (self.usable(worker) * lean * cold * 1e3).round() / 1e3;
                    wanted.push((Key::Line(table.id, worker.listed.worker), weight));
                }
                let of = |&op: &usize| (Key::Level(table.id, OpId(op as u8)), self.level(table, op, let_in));
                wanted.extend(table.ops.iter().map(of));
            }
        }
        wanted.retain(|(key, value)| self.want(*key, *value));
        let stays = |e: &Entry| e.wanted > 0.0 && e.sent == e.wanted && e.owed.is_none();
        let sound = |t: &Table| self.lines(t.id).any(|(id, entry)| stays(entry) && !self.held(id));
        let sound: Vec<bool> = self.tables.iter().map(sound).collect();
        wanted.into_iter().for_each(|(key, _)| self.order(key, &sound));
    }

    /// What of its weight a cold worker gets: what strained others lose moves onto whoever has just come.
    fn spared(&self, workers: &[&Worker], usable: f64) -> f64 {
        let open = || workers.iter().filter(|worker| worker.listed.phase != Phase::Gone);
        let all = open().map(|worker| worker.listed.weight).sum::<f64>().max(1e-9);
        let warm = open().filter(|w| w.listed.phase == Phase::Ready && self.warmth(&w.listed) >= 1.0);
        let warm = warm.map(|worker| worker.listed.weight).sum::<f64>();
        // None where proxies avoid who failed them, as the newcomer may be all that is left; else half.
        let (multiple, avoid) =
            (self.start.overload_factor, self.start.proxies_avoid_outliers || self.parts > 0);
        let none = self.strained && avoid && 2.0 * warm > all;
        let spared = if none { 0.0 } else { (multiple / 4.0).min(1.0) };
        let halved = self.strained && (self.parts > 0 || !self.start.proxies_avoid_outliers);
        let strain = if halved { UNEVEN.1 } else { 1.0 };
        strain * spared * (usable / all * multiple / 2.0).min(1.0)
    }

    /// Composes a write onto what is pending: the later wins, what is unanswered counts as unapplied.
    fn want(&mut self, key: Key, value: f64) -> bool {
        let entry = self.entries.entry(key).or_default();
        let changed = std::mem::replace(&mut entry.wanted, value) != value;
        if changed {
            self.pending.insert(key);
        }
        changed && entry.sent != value
    }

    fn held(&self, id: WorkerId) -> bool {
        self.entries.get(&Key::Hold(id)).is_some_and(|hold| hold.sent > 0.0)
    }

    /// A removal goes behind the hold, a lift behind the easing line, a last sound line behind replacements.
    fn order(&mut self, key: Key, sound: &[bool]) {
        let removed = self.entries[&key].wanted == 0.0;
        match key {
            Key::Line(_, id) if removed => self.before(Key::Hold(id), key),
            Key::Line(_, id) if self.held(id) => self.before(key, Key::Hold(id)),
            Key::Hold(id) if !removed => {
                let bare = |t: &&Table| !sound[usize::from(t.id.0)] && t.open(&self.workers[&id]);
                let lines = self.tables.iter().filter(bare).flat_map(|t| {
                    let others = self.lines(t.id).filter(|(other, line)| *other != id && line.wanted > 0.0);
                    others.map(|(other, _)| Key::Line(t.id, other))
                });
                lines.collect::<Vec<Key>>().into_iter().for_each(|line| self.before(line, key));
            }
            _ => {}
        }
    }

    fn lines(&self, table: TableId) -> impl Iterator<Item = (WorkerId, &Entry)> {
        let all = Key::Line(table, WorkerId(0))..=Key::Line(table, WorkerId(u32::MAX));
        self.entries.range(all).filter_map(|(key, entry)| match key {
            Key::Line(_, id) => Some((*id, entry)),
            _ => None,
        })
    }

    /// Adds a pair. Of a cycle that closes, the oldest pair goes, its parents linked to its children.
    fn before(&mut self, parent: Key, child: Key) {
        self.pairs.insert((parent, child), self.now);
        while let Some(cycle) = self.cycle(parent) {
            let older = |a: &(Key, Key), b: &(Key, Key)| self.pairs[a].total_cmp(&self.pairs[b]);
            let oldest = cycle.into_iter().min_by(older).expect("a cycle has pairs");
            let since = self.pairs.remove(&oldest).expect("a known pair");
            let pairs: Vec<(Key, Key)> = self.pairs.keys().copied().collect();
            for (above, _) in pairs.iter().filter(|pair| pair.1 == oldest.0) {
                let below = pairs.iter().filter(|pair| pair.0 == oldest.1 && pair.1 != *above);
                below.for_each(|pair| _ = self.pairs.entry((*above, pair.1)).or_insert(since));
            }
        }
    }

    /// The pairs of a shortest cycle through a key. Without recursion: no depth may grow with the fleet.
    fn cycle(&self, through: Key) -> Option<Vec<(Key, Key)>> {
        let last = Key::Level(TableId(u16::MAX), OpId(u8::MAX));
        let (mut came, mut next) = (BTreeMap::new(), VecDeque::from([through]));
        while let Some(from) = next.pop_front() {
            for (pair, _) in self.pairs.range((from, Key::Hold(WorkerId(0)))..=(from, last)) {
                if pair.1 == through {
                    let (mut cycle, mut at) = (vec![*pair], from);
                    while let Some(above) = came.get(&at) {
                        cycle.push((*above, at));
                        at = *above;
                    }
                    return Some(cycle);
                }
                came.entry(pair.1).or_insert_with(|| {
                    next.push_back(pair.1);
                    from
                });
            }
        }
        None
    }

    /// A line is completed when every proxy bound to it answered a mark sent after it, idle if none is left.
    fn settle(&mut self) {
        let answered = |id: &ProxyId| self.proxies[id].answered;
        let oldest: Vec<_> = self.tables.iter().map(|t| t.readers.iter().map(answered).min()).collect();
        let unbound = self.proxies.values().filter(|proxy| !proxy.bound).map(|proxy| proxy.answered).min();
        self.pending.retain(|key| {
            let answered = match *key {
                Key::Line(of, _) | Key::Level(of, _) => oldest[usize::from(of.0)],
                Key::Hold(id) => {
                    let read = self.tables.iter().filter(|t| t.open(&self.workers[&id]));
                    read.filter_map(|t| oldest[usize::from(t.id.0)]).chain(unbound).min()
                }
            };
            let entry = self.entries.get_mut(key).expect("a known key");
            match (entry.owed, answered) {
                (Some(_), None) => (entry.sent, entry.owed) = (f64::NAN, None),
                (Some(mark), Some(answered)) if answered >= mark => entry.owed = None,
                _ => {}
            }
            entry.owed.is_some() || entry.wanted != entry.sent
        });
        self.pairs.retain(|pair, _| self.pending.contains(&pair.0) && self.pending.contains(&pair.1));
    }

    /// Drains, then binds, then the largest changes, up to half the backlog; overdue drains may use more.
    fn send(&mut self) {
        let (now, most) = (self.now, self.start.max_pending_lines);
        // Only answers and a very slow pace count: guards against slow channels, stalls and lost answers.
        let left = (now - self.proven) * self.start.channel_rate * SLOWEST / 1000.0;
        let waiting = (self.waits.values().sum::<f64>() - left).max(0.0);
        let head = self.start.message_overhead + 1.0;
        let reserve = (self.proxies.len() as f64 * (head + 1.0)).min(most * TOPPED.0 / 4.0);
        let paced = self.start.message_window / (self.start.max_messages_per_window * ORDINARY.0);
        let heads = self.expected() * head * 1000.0 / (self.start.channel_rate * ORDINARY.1);
        let gap = paced.max(self.start.report_period / 2.0).max(if self.parts > 0 { heads } else { 0.0 });
        let behind: BTreeSet<Key> = self.pairs.keys().map(|pair| pair.1).collect();
        let unread = |of: &TableId| self.tables[usize::from(of.0)].readers.is_empty();
        // Guards against holds that trickle out as room comes, a message each, until no proxy may have another.
        let apart = self.start.message_window / (self.start.max_messages_per_window * (1.0 - ORDINARY.0));
        let drains = now >= self.drained + apart.min(PATIENCE * self.start.drain_grace);
        let due = |key: &&Key| match key {
            Key::Line(of, _) | Key::Level(of, _) => now >= self.changed + gap || unread(of),
            Key::Hold(_) => drains || self.entries[key].wanted == 0.0,
        };
        let idle = self.pending.iter().filter(|key| self.entries[key].wanted != self.entries[key].sent);
        let mut changes = Vec::new();
        for key in idle.filter(due).copied().collect::<Vec<Key>>() {
            let (entry, ready) = (&self.entries[&key], !behind.contains(&key));
            if let (Key::Hold(id), true) = (key, entry.wanted > 0.0) {
                let overdue = now >= self.workers[&id].told + PATIENCE * self.start.drain_grace;
                let part = if overdue { TOPPED.1 } else { TOPPED.0 };
                if (ready || overdue) && self.add(key, most * part - waiting, 1.0) {
                    self.drained = now;
                }
            } else if ready {
                // A level is no weight: it would wait behind all lines of a fleet that grows. What is held back
                // weighs nothing any more: its removal waits behind whoever comes in its place.
                let held = matches!(key, Key::Line(_, id) if entry.wanted == 0.0 && self.held(id));
                let change = if held { 0.0 } else { (entry.wanted - entry.sent).abs() };
                changes.push((matches!(key, Key::Level(..)), change, key));
            }
        }
        let room = most * TOPPED.0 - reserve - waiting;
        let unbound = self.proxies.iter().filter(|(_, proxy)| !proxy.bound);
        let mut unbound: Vec<(f64, ProxyId)> = unbound.map(|(id, p)| (p.inv_per_second, *id)).collect();
        unbound.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.deal(&unbound);
        for (_, id) in unbound {
            // One that could never fit goes alone, into a channel that is empty.
            let alone = waiting == 0.0 && self.message.is_empty();
            if !self.bind(id, if alone { most * TOPPED.1 } else { room }) {
                break;
            }
        }
        changes.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        for (_, _, key) in changes {
            if self.adding < room && self.add(key, room, ORDINARY.0) {
                self.changed = now;
            }
        }
        if !self.message.is_empty() {
            (self.mark, self.adding) = (self.mark + 1, 0.0);
            self.proven = if self.waits.is_empty() { now } else { self.proven };
            self.orders.push(Order::Mark { number: MarkId(self.mark as u16), all_proxies: false });
        }
        for (id, lines) in std::mem::take(&mut self.message) {
            self.written.entry(id).or_default().push_back(now);
            self.waits.insert((self.mark, id), lines);
        }
    }

    fn write(&mut self, to: &BTreeSet<ProxyId>, lines: f64, room: f64, part: f64) -> bool {
        let (now, over, head) = (self.now, self.start.message_window, self.start.message_overhead + 1.0);
        let new: Vec<&ProxyId> = to.iter().filter(|id| !self.message.contains_key(id)).collect();
        let cost = to.len() as f64 * lines + new.len() as f64 * head;
        let mut free = self.adding + cost <= room;
        // Kept beyond a stream's end: a proxy that comes again may be counted as never gone.
        for id in new {
            let sent = self.written.entry(*id).or_default();
            sent.retain(|at| now - at <= over * 1.02);
            free &= (sent.len() as f64) < (self.start.max_messages_per_window * part).floor();
        }
        if free {
            self.adding += cost;
            to.iter().for_each(|id| *self.message.entry(*id).or_insert(head) += lines);
        }
        free
    }

    fn add(&mut self, key: Key, room: f64, part: f64) -> bool {
        let to = self.reach(key);
        let lines = match key {
            Key::Line(_, id) => self.lines_of(id, &self.entries[&key]),
            _ => 1.0,
        };
        if !to.is_empty() && !self.write(&to, lines, room, part) {
            return false;
        }
        let entry = self.entries.get_mut(&key).expect("a known key");
        (entry.sent, entry.unsure) = (entry.wanted, false);
        entry.owed = (!to.is_empty()).then_some(self.mark + 1);
        let level = entry.wanted;
        // Any other try multiplies an overload: one given up goes on working at its worker.
        let retry = if self.let_in < 1.0 { Retry::Never } else { Retry::IfNotExecuted };
        self.orders.push(match key {
            Key::Hold(worker) => Order::ExcludeWorker { worker, excluded: level > 0.0 },
            Key::Line(table, worker) => Order::SetLine { table, worker, weight: level },
            Key::Level(id, op) => {
                Order::SetAdmission { scope: AdmissionScope::Table(id), ops: 1 << op.0, level, retry }
            }
        });
        !to.is_empty()
    }

    /// What a line costs as it is written: who was shut out elsewhere is let back where it enters a table.
    fn lines_of(&self, id: WorkerId, line: &Entry) -> f64 {
        let enters = line.wanted > 0.0 && (line.unsure || line.sent.is_nan() || line.sent == 0.0);
        1.0 + f64::from(u8::from(enters && self.workers[&id].doubtful))
    }

    /// Binds a joined proxy to its tables if their lines fit; a table with nothing to pick waits.
    fn bind(&mut self, id: ProxyId, room: f64) -> bool {
        let (mut cost, mut binds) = (0.0, Vec::new());
        for table in self.meant(&self.proxies[&id]) {
            let lines = self.lines(table.id).filter(|(_, entry)| entry.sent > 0.0);
            let (held, free): (Vec<_>, Vec<_>) = lines.partition(|(worker, _)| self.held(*worker));
            if !free.is_empty() {
                let back = free.iter().filter(|(worker, _)| self.workers[worker].doubtful).count();
                cost += (1 + 2 * held.len() + free.len() + back + table.ops.len()) as f64;
                binds.push((table.id, table.ops.iter().map(|op| 1 << op).sum()));
            }
        }
        if binds.is_empty() || !self.write(&BTreeSet::from([id]), cost, room, 1.0) {
            return binds.is_empty() || self.adding + cost <= room;
        }
        // It may have read the whole fleet's tables until now, or those of its part.
        for place in [None, self.proxies[&id].part].iter().filter_map(|part| self.laid.get(part)).flatten() {
            self.tables[*place].readers.remove(&id);
        }
        for (table, ops) in binds {
            self.tables[usize::from(table.0)].readers.insert(id);
            self.orders.push(Order::Bind { table, ops, proxy: id });
        }
        self.proxies.get_mut(&id).expect("a joined proxy").bound = true;
        true
    }

    /// Who a line is written to; a hold also to those that hold others' tables.
    fn reach(&self, key: Key) -> BTreeSet<ProxyId> {
        let id = match key {
            Key::Line(of, _) | Key::Level(of, _) => return self.tables[usize::from(of.0)].readers.clone(),
            Key::Hold(id) => id,
        };
        let sent = |t: &&Table| self.entries.get(&Key::Line(t.id, id)).is_some_and(|line| line.sent > 0.0);
        let bound = self.tables.iter().filter(sent).flat_map(|table| table.readers.iter().copied());
        bound.chain(self.proxies.iter().filter(|(_, p)| !p.bound).map(|(id, _)| *id)).collect()
    }
}

fn tables(start: &Settings, zones: &[ZoneId]) -> Vec<Table> {
    let mut tables: Vec<Table> = Vec::new();
    for (place, op) in start.operations.iter().enumerate().take(if start.slice_count > 0 { 0 } else { 32 }) {
        let apart = op.own_zone_only || start.cross_zone_cost > start.channel_cost;
        for near in if apart { zones.iter().copied().map(Some).collect() } else { vec![None] } {
            let of = |op: &Operation| (op.zones.clone(), op.machines.clone(), op.own_zone_only);
            match tables.iter_mut().find(|t| t.near == near && of(&t.open) == of(op)) {
                Some(table) => table.ops.push(place),
                None => {
                    let (id, ops, open) = (TableId(tables.len() as u16), vec![place], op.clone());
                    tables.push(Table { id, ops, open, near, part: None, readers: BTreeSet::new() });
                }
            }
        }
    }
    tables
}

fn least(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

fn stepped(value: f64) -> f64 {
    STEP.powf((value.ln() / STEP.ln()).round())
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
