//! What the joined proxies hold: which table each stream's operations are bound to, what the tables hold, and
//! who is held back. One turn's orders become one message for each proxy concerned. Pure, and without choice.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use juniperrail_interface::*;
use juniperrail_start::Names;

use crate::text::{self, Part};

type Level = (f64, Retry);

#[derive(Default)]
struct Table {
    lines: BTreeMap<WorkerId, f64>,
    levels: BTreeMap<OpId, Level>,
}

#[derive(Default)]
struct Proxy {
    /// It came holding only its standing tables, so nobody is shut out there that was not from here.
    fresh: bool,
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

#[derive(Default)]
pub struct Plane {
    tables: BTreeMap<TableId, Table>,
    proxies: BTreeMap<ProxyId, Proxy>,
    held: BTreeSet<WorkerId>,
    everyone: BTreeMap<OpId, Level>,
    /// Workers that some manager may have shut out: once not ready, or started since long ago.
    doubtful: BTreeSet<WorkerId>,
}

/// One message for one proxy, and its lines in the channel without its head.
pub struct Parcel {
    pub proxy: ProxyId,
    pub bytes: Bytes,
    pub lines: usize,
    pub mark: Option<MarkId>,
}

impl Plane {
    pub fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        self.proxies.insert(proxy, Proxy { fresh, ..Proxy::default() });
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    pub fn listed(&mut self, listed: &Listed) {
        if listed.phase != Phase::Ready || listed.booted.is_some() {
            self.doubtful.insert(listed.worker);
        }
    }

    /// The decisions start anew: tables and holds are forgotten as after a restart, not what proxies were told.
    pub fn restart(&mut self) {
        (self.tables, self.held, self.everyone) = Default::default();
        self.proxies.values_mut().for_each(|proxy| (proxy.bound, proxy.fresh) = Default::default());
    }

    /// One turn's orders, in their order, as one message for each proxy concerned.
    pub fn messages(&mut self, orders: &[Order], names: &Names) -> Vec<Parcel> {
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
            Order::HoldBack { worker, out } => {
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
            Order::Admit { reach: Reach::Table(table), ops, level, retry } => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                levels.extend(ops_of(*ops, names).map(|op| (op, (*level, *retry))));
                for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| bound(proxy, table)) {
                    let ops = ops_of(*ops, names).filter(|op| proxy.bound.get(op) == Some(table));
                    let levels = ops.filter_map(|op| Some((op, self.level(proxy, op)?)));
                    changes.entry(*id).or_default().levels.extend(levels);
                }
            }
            Order::Admit { reach: Reach::EveryProxy, ops, level, retry } => {
                self.everyone.extend(ops_of(*ops, names).map(|op| (op, (*level, *retry))));
                for (id, proxy) in &self.proxies {
                    let levels = ops_of(*ops, names).filter_map(|op| Some((op, self.level(proxy, op)?)));
                    changes.entry(*id).or_default().levels.extend(levels);
                }
            }
            Order::Mark { number, everyone } => {
                if *everyone {
                    self.proxies.keys().for_each(|id| _ = changes.entry(*id).or_default());
                }
                changes.values_mut().for_each(|change| change.mark = Some(*number));
            }
            // The rest concerns no proxy.
            _ => {}
        }
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

    fn parcel(&mut self, id: ProxyId, mut change: Change, names: &Names) -> Parcel {
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
                let may = !proxy.fresh && self.doubtful.contains(&worker);
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
            parts.push(Part { ops: spelled(&ops, names), whole, lines, level: shared, ..Part::default() });
            if shared.is_none() {
                parts.extend(levels.into_iter().map(|(level, ops)| leveled(&ops, level, names)));
            }
        }
        // Levels for operations that are bound to no table from here.
        parts.extend(loose.into_iter().map(|(op, level)| leveled(&[op], level, names)));
        if parts.is_empty() {
            parts.push(Part::default());
        }
        let shut = |out: bool| {
            let of = change.shut.iter().filter(move |(_, shut)| **shut == out);
            of.map(|(id, _)| names.workers.name(id.0)).collect::<Vec<_>>()
        };
        let last = parts.last_mut().expect("a message has a part");
        (last.out, last.back, last.mark) = (shut(true), shut(false), change.mark);
        let cost = |p: &Part| {
            let single = [p.whole, p.level.is_some(), p.mark.is_some()];
            p.lines.len() + p.out.len() + p.back.len() + single.iter().filter(|one| **one).count()
        };
        let (lines, mark) = (parts.iter().map(cost).sum(), change.mark);
        let parcel = Parcel { proxy: id, bytes: text::write(&parts), lines, mark };
        self.proxies.get_mut(&id).expect("a joined proxy").told.extend(change.shut);
        parcel
    }
}

fn ops_of(mask: u32, names: &Names) -> impl Iterator<Item = OpId> {
    let count = names.ops.len() as u8;
    (0..count).filter(move |op| mask == 0 || mask >> op & 1 == 1).map(OpId)
}

fn spelled<'a>(ops: &[OpId], names: &'a Names) -> Vec<&'a str> {
    if ops.len() == names.ops.len() {
        return Vec::new();
    }
    ops.iter().map(|op| names.ops.name(u32::from(op.0))).collect()
}

fn leveled<'a>(ops: &[OpId], level: Level, names: &'a Names) -> Part<'a> {
    Part { ops: spelled(ops, names), level: Some(level), ..Part::default() }
}
