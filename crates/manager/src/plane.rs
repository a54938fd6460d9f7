//! What the joined proxies hold: which table each stream's operations are bound to, what the tables hold, and
//! who is held back. One turn's orders become one message for each proxy concerned. Pure, and without choice.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use juniperrail_interface::*;
use juniperrail_northbound::{OperationState, ProxyState, TableState};
use juniperrail_start::Names;

use crate::presence::{Presence, Stream};
use crate::text::{self, MessagePart};

type Level = (f64, Retry);

/// Behind all ids.
const NOBODY: WorkerId = WorkerId(u32::MAX);

#[derive(Default)]
struct Table {
    lines: BTreeMap<WorkerId, f64>,
    levels: BTreeMap<OpId, Level>,
}

struct Proxy {
    /// Workers with ids from this on may be shut out there without this stream having told so: all where it
    /// came with orders from elsewhere, whoever comes later where one that it shut out is forgotten.
    unsure: WorkerId,
    bound: BTreeMap<OpId, TableId>,
    /// Who is shut out there, as far as this stream has told it; nothing is known of the others.
    told: BTreeMap<WorkerId, bool>,
}

/// What one turn changes at one proxy.
#[derive(Default)]
struct Change {
    whole: BTreeSet<TableId>,
    lines: BTreeMap<TableId, BTreeMap<WorkerId, f64>>,
    levels: BTreeMap<OpId, Level>,
    shut: BTreeMap<WorkerId, bool>,
    mark: Option<MarkId>,
}

pub struct Plane {
    tables: BTreeMap<TableId, Table>,
    proxies: BTreeMap<ProxyId, Proxy>,
    held: BTreeSet<WorkerId>,
    everyone: BTreeMap<OpId, Level>,
    /// Workers that some manager may have shut out: once not ready, or started since long ago.
    doubtful: BTreeSet<WorkerId>,
    /// No id above this was listed yet.
    newest: WorkerId,
}

/// One message for one proxy, and its lines in the channel without its head.
pub struct OutboundMessage {
    pub proxy: ProxyId,
    pub bytes: Bytes,
    pub lines: usize,
    pub mark: Option<MarkId>,
}

impl Default for Plane {
    fn default() -> Plane {
        let (tables, proxies, held, everyone, doubtful) = Default::default();
        Plane { tables, proxies, held, everyone, doubtful, newest: WorkerId(0) }
    }
}

impl Plane {
    pub fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        let unsure = if fresh { NOBODY } else { WorkerId(0) };
        let (bound, told) = Default::default();
        self.proxies.insert(proxy, Proxy { unsure, bound, told });
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    pub fn listed(&mut self, listed: &WorkerEntry) {
        self.newest = self.newest.max(listed.worker);
        if listed.phase != Phase::Ready || listed.booted.is_some() {
            self.doubtful.insert(listed.worker);
        }
    }

    /// A worker that an operator brings back may be shut out wherever it was known by an id that is forgotten.
    pub fn doubt(&mut self, worker: WorkerId) {
        self.doubtful.insert(worker);
    }

    #[cfg(test)]
    pub fn doubts(&self, worker: WorkerId) -> bool {
        self.doubtful.contains(&worker)
    }

    /// Nothing names it any more. Should it come again under its name, it has an id of its own then, and who was
    /// told to shut it out still does so. Guards against letting back, at every proxy, all who are known.
    pub fn forget(&mut self, worker: WorkerId) {
        self.held.remove(&worker);
        self.doubtful.remove(&worker);
        self.tables.values_mut().for_each(|table| _ = table.lines.remove(&worker));
        for proxy in self.proxies.values_mut() {
            let shut = proxy.told.remove(&worker);
            if shut == Some(true) {
                proxy.unsure = proxy.unsure.min(WorkerId(self.newest.0.saturating_add(1)));
            }
        }
    }

    /// The decisions start anew: tables and holds are forgotten as after a restart, not what proxies were told.
    pub fn restart(&mut self) {
        (self.tables, self.held, self.everyone) = Default::default();
        for proxy in self.proxies.values_mut() {
            (proxy.bound, proxy.unsure) = (BTreeMap::new(), WorkerId(0));
        }
    }

    /// One turn's orders, in their order, as one message for each proxy concerned.
    pub fn messages(&mut self, orders: &[Order], names: &Names) -> Vec<OutboundMessage> {
        let mut changes: BTreeMap<ProxyId, Change> = BTreeMap::new();
        for order in orders {
            self.take(order, names, &mut changes);
        }
        let parcel = |(proxy, change): (ProxyId, Change)| self.parcel(proxy, change, names);
        changes.into_iter().map(parcel).collect()
    }

    fn take(&mut self, order: &Order, names: &Names, changes: &mut BTreeMap<ProxyId, Change>) {
        let bound = |proxy: &Proxy, table: &TableId| proxy.bound.values().any(|of| of == table);
        match order {
            Order::SetLine { table, worker, weight } => {
                let lines = &mut self.tables.entry(*table).or_default().lines;
                match *weight > 0.0 {
                    true => lines.insert(*worker, *weight),
                    false => lines.remove(worker),
                };
                for (id, _) in self.proxies.iter().filter(|(_, proxy)| bound(proxy, table)) {
                    let change = changes.entry(*id).or_default();
                    change.lines.entry(*table).or_default().insert(*worker, *weight);
                }
            }
            Order::ClearTable { table } => {
                self.tables.insert(*table, Table::default());
                for (id, _) in self.proxies.iter().filter(|(_, proxy)| bound(proxy, table)) {
                    changes.entry(*id).or_default().whole.insert(*table);
                }
            }
            Order::Bind { table, ops, proxy: id } => {
                let Some(proxy) = self.proxies.get_mut(id) else { return };
                proxy.bound.extend(ops_of(*ops, names).map(|op| (op, *table)));
                changes.entry(*id).or_default().whole.insert(*table);
            }
            Order::ExcludeWorker { worker, excluded: out } => {
                match out {
                    true => self.held.insert(*worker),
                    false => self.held.remove(worker),
                };
                // A proxy without a bind may hold anybody's table.
                let holds = |table: &TableId| self.lists(*table, *worker);
                let told = |p: &Proxy| p.bound.is_empty() || p.bound.values().any(holds);
                for (id, _) in self.proxies.iter().filter(|(_, proxy)| told(proxy)) {
                    changes.entry(*id).or_default().shut.insert(*worker, *out);
                }
            }
            Order::SetAdmission { scope: AdmissionScope::Table(table), ops, level, retry } => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                levels.extend(ops_of(*ops, names).map(|op| (op, (*level, *retry))));
                for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| bound(proxy, table)) {
                    let ops = ops_of(*ops, names).filter(|op| proxy.bound.get(op) == Some(table));
                    let levels = ops.filter_map(|op| Some((op, self.level(proxy, op)?)));
                    changes.entry(*id).or_default().levels.extend(levels);
                }
            }
            Order::SetAdmission { scope: AdmissionScope::AllProxies, ops, level, retry } => {
                self.everyone.extend(ops_of(*ops, names).map(|op| (op, (*level, *retry))));
                for (id, proxy) in &self.proxies {
                    let levels = ops_of(*ops, names).filter_map(|op| Some((op, self.level(proxy, op)?)));
                    changes.entry(*id).or_default().levels.extend(levels);
                }
            }
            Order::Mark { number, all_proxies: everyone } => {
                if *everyone {
                    self.proxies.keys().for_each(|id| _ = changes.entry(*id).or_default());
                }
                changes.values_mut().for_each(|change| change.mark = Some(*number));
            }
            // The rest concerns no proxy.
            _ => {}
        }
    }

    /// How many proxies hold a line of the worker from here.
    pub fn readers(&self, worker: WorkerId) -> usize {
        let holds = |proxy: &&Proxy| proxy.bound.values().any(|table| self.lists(*table, worker));
        self.proxies.values().filter(holds).count()
    }

    /// The tables as written to whoever is bound to them.
    pub fn table_states(&self, names: &Names) -> Vec<TableState> {
        let line = |(worker, weight): (&WorkerId, &f64)| (names.workers.name(worker.0).to_string(), *weight);
        let read = |id: &TableId| self.proxies.values().any(|proxy| proxy.bound.values().any(|of| of == id));
        let tables = self.tables.iter().filter(|(id, _)| read(id));
        tables
            .map(|(id, of)| TableState { number: id.0, lines: of.lines.iter().map(line).collect() })
            .collect()
    }

    /// What each joined proxy was told over its stream.
    pub fn proxy_states(&self, names: &Names, presence: &Presence, now: Ms) -> Vec<ProxyState> {
        let state = |(id, stream): (ProxyId, &Stream)| {
            let proxy = self.proxies.get(&id)?;
            let out = proxy.told.iter().filter(|(_, out)| **out);
            let operation = |op: OpId| OperationState {
                name: names.ops.name(op.0.into()).to_string(),
                table: proxy.bound.get(&op).map(|table| table.0),
                level: proxy.bound.get(&op).and_then(|_| self.level(proxy, op)),
            };
            Some(ProxyState {
                number: id.0,
                zone: names.zones.name(stream.zone.0.into()).to_string(),
                mark_sent: stream.sent.map(|mark| mark.0),
                mark_acknowledged: stream.answered.map(|mark| mark.0),
                unacknowledged: stream.owed.len(),
                unacknowledged_for: stream.owed.front().map(|owed| now - owed.sent),
                recent_messages: stream.messages.len(),
                excluded_workers: out.map(|(worker, _)| names.workers.name(worker.0).to_string()).collect(),
                operations: ops_of(0, names).map(operation).collect(),
            })
        };
        presence.here().filter_map(state).collect()
    }

    fn lists(&self, table: TableId, worker: WorkerId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.lines.contains_key(&worker))
    }

    /// The table's level and everyone's together: the lower level, the table's own way of trying again.
    fn level(&self, proxy: &Proxy, op: OpId) -> Option<Level> {
        let own = proxy.bound.get(&op).and_then(|table| self.tables.get(table)?.levels.get(&op));
        match (own, self.everyone.get(&op)) {
            (Some(own), Some(all)) => Some((own.0.min(all.0), own.1)),
            (own, all) => own.or(all).copied(),
        }
    }

    fn parcel(&mut self, id: ProxyId, mut change: Change, names: &Names) -> OutboundMessage {
        let proxy = &self.proxies[&id];
        let mut tables: BTreeSet<TableId> = change.whole.iter().chain(change.lines.keys()).copied().collect();
        tables.extend(change.levels.keys().filter_map(|op| proxy.bound.get(op)));
        let none = Table::default();
        let (mut parts, mut loose) = (Vec::new(), change.levels.clone());
        for table in tables {
            let holds = self.tables.get(&table).unwrap_or(&none);
            let ops: Vec<OpId> =
                proxy.bound.iter().filter(|(_, of)| **of == table).map(|(op, _)| *op).collect();
            let whole = change.whole.contains(&table);
            let lines =
                if whole { holds.lines.clone() } else { change.lines.remove(&table).unwrap_or_default() };
            // Guards against a worker left shut out: what another manager told a proxy stays with it.
            for worker in lines.iter().filter(|(_, weight)| **weight > 0.0).map(|(worker, _)| *worker) {
                let held = self.held.contains(&worker);
                let may = worker >= proxy.unsure && self.doubtful.contains(&worker);
                let shut = proxy.told.get(&worker).map_or(may, |shut| *shut);
                if held && whole || !held && shut {
                    change.shut.entry(worker).or_insert(held);
                }
            }
            let mut levels: Vec<(Level, Vec<OpId>)> = Vec::new();
            for op in &ops {
                let changed = loose.remove(op);
                let level = if whole { self.level(proxy, *op) } else { changed };
                let Some(level) = level else { continue };
                match levels.iter_mut().find(|(same, _)| *same == level) {
                    Some((_, ops)) => ops.push(*op),
                    None => levels.push((level, vec![*op])),
                }
            }
            // One level for all the operations rides on the part with the lines.
            let shared = levels.first().filter(|(_, of)| *of == ops).map(|(level, _)| *level);
            if shared.is_none() && !whole && lines.is_empty() {
                parts.extend(levels.into_iter().map(|(level, ops)| leveled(&ops, level, names)));
                continue;
            }
            let lines = lines.iter().map(|(id, weight)| (names.workers.name(id.0), *weight)).collect();
            parts.push(MessagePart {
                ops: spelled(&ops, names),
                full: whole,
                lines,
                level: shared,
                ..MessagePart::default()
            });
            if shared.is_none() {
                parts.extend(levels.into_iter().map(|(level, ops)| leveled(&ops, level, names)));
            }
        }
        // Levels for operations that are bound to no table from here.
        parts.extend(loose.into_iter().map(|(op, level)| leveled(&[op], level, names)));
        if parts.is_empty() {
            parts.push(MessagePart::default());
        }
        let shut = |out: bool| {
            let of = change.shut.iter().filter(move |(_, shut)| **shut == out);
            of.map(|(id, _)| names.workers.name(id.0)).collect::<Vec<_>>()
        };
        let last = parts.last_mut().expect("a message has a part");
        (last.removed, last.restored, last.mark) = (shut(true), shut(false), change.mark);
        let cost = |p: &MessagePart| {
            let single = [p.full, p.level.is_some(), p.mark.is_some()];
            p.lines.len() + p.removed.len() + p.restored.len() + single.iter().filter(|one| **one).count()
        };
        let (lines, mark) = (parts.iter().map(cost).sum(), change.mark);
        let parcel = OutboundMessage { proxy: id, bytes: text::encode(&parts), lines, mark };
        self.proxies.get_mut(&id).expect("a joined proxy").told.extend(change.shut);
        parcel
    }
}

fn ops_of(mask: u32, names: &Names) -> impl Iterator<Item = OpId> {
    let count = names.ops.count() as u8;
    (0..count).filter(move |op| mask == 0 || mask >> op & 1 == 1).map(OpId)
}

fn spelled<'a>(ops: &[OpId], names: &'a Names) -> Vec<&'a str> {
    if ops.len() == names.ops.count() {
        return Vec::new();
    }
    ops.iter().map(|op| names.ops.name(u32::from(op.0))).collect()
}

fn leveled<'a>(ops: &[OpId], level: Level, names: &'a Names) -> MessagePart<'a> {
    MessagePart { ops: spelled(ops, names), level: Some(level), ..MessagePart::default() }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: TableId = TableId(0);

    fn names() -> Names {
        let mut names = Names::default();
        ["a", "b", "c"].iter().for_each(|worker| _ = names.worker(worker));
        ["lookup", "order"].iter().for_each(|op| _ = names.ops.id_for(op));
        names
    }

    fn line(table: TableId, worker: u32, weight: f64) -> Order {
        Order::SetLine { table, worker: WorkerId(worker), weight }
    }

    fn bind(table: TableId, ops: u32, proxy: u16) -> Order {
        Order::Bind { table, ops, proxy: ProxyId(proxy) }
    }

    fn hold(worker: u32, out: bool) -> Order {
        Order::ExcludeWorker { worker: WorkerId(worker), excluded: out }
    }

    fn admit(reach: AdmissionScope, ops: u32, level: f64) -> Order {
        Order::SetAdmission { scope: reach, ops, level, retry: Retry::IfNotExecuted }
    }

    fn mark(number: u16, everyone: bool) -> Order {
        Order::Mark { number: MarkId(number), all_proxies: everyone }
    }

    fn plane(proxies: u16) -> Plane {
        let mut plane = Plane::default();
        (0..proxies).for_each(|proxy| plane.joined(ProxyId(proxy), true));
        plane
    }

    /// What each proxy concerned is written, and the lines it counts.
    fn told(plane: &mut Plane, orders: &[Order]) -> Vec<(u16, String, usize)> {
        let messages = plane.messages(orders, &names()).into_iter();
        messages.map(|p| (p.proxy.0, String::from_utf8(p.bytes.to_vec()).unwrap(), p.lines)).collect()
    }

    #[test]
    fn one_turn_is_one_message_for_each_proxy_concerned_and_costs_what_the_wire_says() {
        let mut plane = plane(3);
        let laid = [line(T, 0, 1.5), line(T, 1, 0.2), hold(1, true), admit(AdmissionScope::Table(T), 0, 0.9)];
        let first = told(&mut plane, &laid);
        // The hold goes to who holds others' tables; nobody reads the rest yet.
        assert_eq!(first.len(), 3);
        assert_eq!(first[0], (0, "push out=b\r\n".into(), 1));
        let bound = told(&mut plane, &[bind(T, 0, 0), bind(T, 0, 2), mark(905, false)]);
        // One line for the bind, two of the table, one withdrawn, one level, one mark.
        let whole = "push whole=1 lines=a:1.5,b:0.2 level=0.9 retry=1 out=b ticket=905\r\n";
        assert_eq!(bound, [(0, whole.to_string(), 6), (2, whole.to_string(), 6)]);
        let changed = told(&mut plane, &[line(T, 0, 0.30000000000000004), line(T, 1, 0.0), mark(906, false)]);
        assert_eq!(changed[0].1, "push lines=a:0.30000000000000004,b:0 ticket=906\r\n");
        assert_eq!(changed.iter().map(|told| (told.0, told.2)).collect::<Vec<_>>(), [(0, 3), (2, 3)]);
        // A worker in nobody's table is held back only where tables are not from here.
        assert_eq!(told(&mut plane, &[hold(1, false)]), [(1, "push back=b\r\n".to_string(), 1)]);
        let all = told(&mut plane, &[mark(907, true)]);
        assert_eq!((all.len(), all[1].1.as_str()), (3, "push ticket=907\r\n"));
    }

    #[test]
    fn operations_on_different_tables_or_levels_go_in_parts_of_one_message() {
        let mut plane = plane(1);
        let other = TableId(1);
        told(
            &mut plane,
            &[line(T, 0, 1.0), line(other, 1, 1.0), admit(AdmissionScope::Table(other), 2, 0.5)],
        );
        let bound = told(&mut plane, &[bind(T, 1, 0), bind(other, 2, 0), mark(1, false)]);
        let parts = "push classes=lookup whole=1 lines=a:1 more=1\r\n\
                     push classes=order whole=1 lines=b:1 level=0.5 retry=1 ticket=1\r\n";
        assert_eq!(bound, [(0, parts.to_string(), 6)]);
        // Only the operations bound to the table there are meant.
        let level = told(&mut plane, &[admit(AdmissionScope::Table(other), 0, 0.4)]);
        assert_eq!(level, [(0, "push classes=order level=0.4 retry=1\r\n".to_string(), 1)]);
        told(&mut plane, &[bind(T, 0, 0)]);
        let both = told(
            &mut plane,
            &[admit(AdmissionScope::Table(T), 1, 3.0), admit(AdmissionScope::Table(T), 2, 4.0)],
        );
        let parts = "push classes=lookup level=3 retry=1 more=1\r\npush classes=order level=4 retry=1\r\n";
        assert_eq!(both, [(0, parts.to_string(), 2)]);
    }

    #[test]
    fn whole_forgets_levels_so_they_come_with_it_and_the_lower_of_two_prevails() {
        let mut plane = plane(1);
        told(&mut plane, &[line(T, 0, 1.0), bind(T, 0, 0), admit(AdmissionScope::Table(T), 1, 0.5)]);
        let all = told(&mut plane, &[admit(AdmissionScope::AllProxies, 0, 0.7)]);
        let parts =
            "push classes=lookup level=0.5 retry=1 more=1\r\npush classes=order level=0.7 retry=1\r\n";
        assert_eq!(all[0].1, parts);
        let cleared = told(&mut plane, &[Order::ClearTable { table: T }]);
        assert_eq!(cleared[0].1, "push whole=1 level=0.7 retry=1\r\n");
    }

    #[test]
    fn who_another_manager_may_have_shut_out_is_let_back_where_it_gets_a_line() {
        let started = |worker, booted, phase| WorkerEntry {
            worker: WorkerId(worker),
            phase,
            booted,
            zone: ZoneId(0),
            machine: MachineId(0),
            cell: CellId(0),
            weight: 1.0,
        };
        let mut plane = plane(1);
        plane.listed(&started(0, None, Phase::Ready));
        plane.listed(&started(1, Some(5.0), Phase::Ready));
        plane.listed(&started(2, None, Phase::Draining));
        plane.joined(ProxyId(1), false);
        told(&mut plane, &[line(T, 0, 1.0), line(T, 1, 1.0)]);
        let bound = told(&mut plane, &[bind(T, 0, 0), bind(T, 0, 1)]);
        assert_eq!(bound[0].1, "push whole=1 lines=a:1,b:1\r\n", "it came with its standing table only");
        assert_eq!(bound[1].1, "push whole=1 lines=a:1,b:1 back=b\r\n");
        let eased = told(&mut plane, &[line(T, 1, 2.0), line(T, 2, 1.0)]);
        assert_eq!(eased[1].1, "push lines=b:2,c:1 back=c\r\n", "each once a stream");
        // A new stream: nothing is believed of the old one but what may be shut out.
        told(&mut plane, &[hold(1, true)]);
        plane.left(ProxyId(1));
        told(&mut plane, &[hold(1, false)]);
        plane.joined(ProxyId(1), false);
        assert_eq!(told(&mut plane, &[bind(T, 0, 1)])[0].1, "push whole=1 lines=a:1,b:2,c:1 back=b,c\r\n");
    }

    #[test]
    fn who_was_shut_out_and_forgotten_is_let_back_if_it_comes_again() {
        let mut plane = plane(1);
        told(&mut plane, &[line(T, 0, 1.0), line(T, 1, 1.0), bind(T, 0, 0), hold(1, true), line(T, 1, 0.0)]);
        let known = |worker| WorkerEntry {
            worker: WorkerId(worker),
            phase: Phase::Ready,
            booted: Some(5.0),
            zone: ZoneId(0),
            machine: MachineId(0),
            cell: CellId(0),
            weight: 1.0,
        };
        (0..2).for_each(|worker| plane.listed(&known(worker)));
        plane.forget(WorkerId(1));
        assert!(plane.held.is_empty() && plane.proxies[&ProxyId(0)].told.is_empty());
        assert_eq!(told(&mut plane, &[line(T, 0, 2.0)])[0].1, "push lines=a:2\r\n", "it was never shut out");
        // The same worker under another id, as the list now has it.
        plane.listed(&known(2));
        assert_eq!(told(&mut plane, &[line(T, 2, 1.0)])[0].1, "push lines=c:1 back=c\r\n");
    }

    #[test]
    fn whom_an_operator_brings_back_is_let_back_also_where_discovery_never_saw_it_start_anew() {
        let mut plane = plane(1);
        told(&mut plane, &[line(T, 0, 1.0), line(T, 1, 1.0), bind(T, 0, 0), hold(1, true), line(T, 1, 0.0)]);
        plane.forget(WorkerId(1));
        plane.doubt(WorkerId(2));
        assert_eq!(told(&mut plane, &[line(T, 2, 1.0)])[0].1, "push lines=c:1 back=c\r\n");
    }

    /// Random days of a small fleet: workers that come, drain, go and come again, proxies that come with others'
    /// orders, break off and answer late. What waits by the module's reckoning is never less than what was written.
    #[test]
    fn the_module_never_reckons_with_less_than_is_written() {
        use juniperrail::Planner;
        let op = Operation {
            latency_objective: 500.0,
            billed_value: 1.0,
            zones: None,
            machines: None,
            own_zone_only: false,
        };
        let start = Settings {
            operations: vec![op.clone(), op],
            zones: vec![ZoneId(0)],
            channel_rate: 600.0,
            max_pending_lines: 1200.0,
            message_overhead: 4.0,
            max_messages_per_window: 12.0,
            message_window: 10_000.0,
            max_transit: 400.0,
            report_period: 1000.0,
            drain_grace: 5000.0,
            warm_up: 3000.0,
            cold_share: 0.25,
            overload_factor: 4.0,
            proxy_count: 24.0,
            manager_count: 3.0,
            ..Settings::default()
        };
        let (mut whole, mut backs) = (0, 0);
        for seed in 0..60 {
            let (mut rng, mut now) = (fastrand::Rng::with_seed(seed), 1000.0);
            let mut names = names();
            let mut planner = Planner::new(now, seed, start.clone());
            let mut plane = Plane::default();
            let mut waits: BTreeMap<(u64, ProxyId), f64> = BTreeMap::new();
            let (mut mark, mut here) = (0_u64, BTreeSet::new());
            let mut listed: Vec<WorkerEntry> = Vec::new();
            let entry = |id: u32, phase, booted| {
                let (zone, machine, cell) = (ZoneId(0), MachineId(0), CellId(0));
                WorkerEntry { worker: WorkerId(id), phase, booted, zone, machine, cell, weight: 1.0 }
            };
            let mut events = Vec::new();
            for _ in 0..70 {
                let id = names.worker(&format!("w{}", names.workers.count()));
                listed.push(entry(id.0, Phase::Ready, rng.bool().then_some(900.0)));
            }
            listed.iter().for_each(|listed| plane.listed(listed));
            events.push(Event::List { kind: ListKind::Cached, version: 1, workers: listed.clone() });
            for _ in 0..400 {
                now += f64::from(rng.u32(5..250));
                let proxy = ProxyId(rng.u16(0..24));
                match rng.u32(0..12) {
                    0..4 => {
                        let (fresh, zone, inv_per_second) = (rng.u32(0..3) == 0, ZoneId(0), rng.f64() * 3.0);
                        plane.left(proxy);
                        if !here.insert(proxy) {
                            events.push(Event::Left { proxy });
                        }
                        plane.joined(proxy, fresh);
                        events.push(Event::Joined { proxy, fresh, inv_per_second, zone });
                    }
                    4 if here.remove(&proxy) => {
                        plane.left(proxy);
                        events.push(Event::Left { proxy });
                    }
                    5..7 => {
                        let place = rng.usize(0..listed.len());
                        let of = &mut listed[place];
                        (of.phase, of.booted) = match (of.phase, rng.u32(0..4)) {
                            (Phase::Ready, 0) => (Phase::Ready, Some(now)),
                            (Phase::Ready, _) => (Phase::Draining, of.booted),
                            (Phase::Draining, 0..2) => (Phase::Ready, Some(now)),
                            _ => (Phase::Gone, of.booted),
                        };
                        let mut workers = vec![of.clone()];
                        if of.phase == Phase::Gone {
                            listed.swap_remove(place);
                            let id = names.worker(&format!("n{}", rng.u32(..)));
                            listed.push(entry(id.0, Phase::Ready, Some(now)));
                            workers.extend(listed.last().cloned());
                        }
                        workers.iter().for_each(|listed| plane.listed(listed));
                        events.push(Event::List { kind: ListKind::Changes, version: 2, workers });
                    }
                    _ => {
                        let owing = waits.keys().filter(|(_, id)| here.contains(id)).nth(rng.usize(0..3));
                        if let Some((mark, proxy)) = owing.copied() {
                            events.push(Event::MarkAcknowledged {
                                mark: MarkId(mark as u16),
                                took: 1.0,
                                proxy,
                            });
                            waits = waits.split_off(&(mark, ProxyId(0)));
                            waits.remove(&(mark, proxy));
                        }
                    }
                }
                let orders = planner.process_events(now, &std::mem::take(&mut events));
                let messages = plane.messages(&orders, &names);
                mark += u64::from(!messages.is_empty());
                for OutboundMessage { proxy, bytes, lines, .. } in messages {
                    waits.insert((mark, proxy), lines as f64 + start.message_overhead);
                    let text = String::from_utf8(bytes.to_vec()).unwrap();
                    (whole, backs) =
                        (whole + text.matches("whole=1").count(), backs + text.matches("back=").count());
                }
                for order in orders {
                    if let Order::Forget { worker } = order {
                        plane.forget(worker);
                        names.workers.forget(worker.0);
                    }
                }
                let written = waits.values().sum::<f64>();
                assert!(
                    planner.unacknowledged_lines() >= written - 1e-6,
                    "seed {seed}: {} < {written}",
                    planner.unacknowledged_lines()
                );
            }
        }
        assert!(whole > 1000 && backs > 500, "{whole} tables, {backs} messages that let back");
    }
}
