//! Turns the planner's orders into messages to proxies: one message per turn for each proxy concerned.
//!
//! It tracks the tables and levels, the table that each operation of a proxy is bound to, and the exclusions that each
//! proxy was sent. It does no I/O and makes no decisions.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use juniperrail_interface::*;
use juniperrail_northbound::{OperationState, ProxyState, TableState};
use juniperrail_start::Names;

use crate::connection_tracker::{ConnectionTracker, Stream};
use crate::protocol::{self, MessagePart};

/// An admission level with its retry policy.
type Level = (f64, Retry);

/// Above all worker ids in use.
const ABOVE_ALL_IDS: WorkerId = WorkerId(u32::MAX);

#[derive(Default)]
struct Table {
    /// Each worker's weight.
    lines: BTreeMap<WorkerId, f64>,
    levels: BTreeMap<OpId, Level>,
}

/// What a joined proxy was sent over its current stream.
struct Proxy {
    /// The proxy may exclude workers with this id or a higher one although their exclusion was not sent over this
    /// stream. The id is 0 if the proxy has orders from an earlier connection, possibly to another manager, or from
    /// before a restart of the planner. Once a worker that the proxy excludes is forgotten, the id is at most the one
    /// that follows the highest id listed until then.
    uncertain_from: WorkerId,
    /// The table that each operation is bound to.
    bindings: BTreeMap<OpId, TableId>,
    /// Whether a worker is excluded, for the workers whose exclusion was sent over this stream.
    exclusions: BTreeMap<WorkerId, bool>,
}

/// The changes of one turn for one proxy.
#[derive(Default)]
struct ProxyUpdate {
    /// Tables that are sent completely.
    full_tables: BTreeSet<TableId>,
    /// By table, the new weights of workers; 0 removes the line.
    lines: BTreeMap<TableId, BTreeMap<WorkerId, f64>>,
    /// New levels of operations.
    levels: BTreeMap<OpId, Level>,
    /// Whether each worker is excluded from now on.
    exclusions: BTreeMap<WorkerId, bool>,
    mark: Option<MarkId>,
}

/// The state that the planner's orders produced at the proxies.
pub struct OrderWriter {
    tables: BTreeMap<TableId, Table>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Workers that the planner excludes now.
    excluded: BTreeSet<WorkerId>,
    /// Levels that apply to all proxies.
    global_levels: BTreeMap<OpId, Level>,
    /// Workers that some manager may have excluded: those that were not ready at some time, those whose start is known,
    /// and those whose entry the operator changed.
    maybe_excluded: BTreeSet<WorkerId>,
    /// The highest id that was listed.
    highest_id: WorkerId,
}

/// A message to a proxy, and the number of lines that it counts for in the channel, without the message overhead.
pub struct OutboundMessage {
    pub proxy: ProxyId,
    pub bytes: Bytes,
    pub lines: usize,
    pub mark: Option<MarkId>,
}

impl Default for OrderWriter {
    fn default() -> OrderWriter {
        OrderWriter {
            tables: BTreeMap::new(),
            proxies: BTreeMap::new(),
            excluded: BTreeSet::new(),
            global_levels: BTreeMap::new(),
            maybe_excluded: BTreeSet::new(),
            highest_id: WorkerId(0),
        }
    }
}

impl OrderWriter {
    /// Adds a proxy that joined; `fresh` if it has nothing from an earlier connection.
    pub fn add_proxy(&mut self, proxy: ProxyId, fresh: bool) {
        let uncertain_from = if fresh { ABOVE_ALL_IDS } else { WorkerId(0) };
        let state = Proxy { uncertain_from, bindings: BTreeMap::new(), exclusions: BTreeMap::new() };
        self.proxies.insert(proxy, state);
    }

    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// Records an entry of the worker list.
    pub fn record_entry(&mut self, entry: &WorkerEntry) {
        self.highest_id = self.highest_id.max(entry.worker);
        if entry.phase != Phase::Ready || entry.started_at.is_some() {
            self.maybe_excluded.insert(entry.worker);
        }
    }

    /// Records that proxies may exclude a worker whose entry the operator changed: if the worker was excluded and then
    /// forgotten, proxies may still exclude it under its earlier id.
    pub fn mark_maybe_excluded(&mut self, worker: WorkerId) {
        self.maybe_excluded.insert(worker);
    }

    #[cfg(test)]
    pub fn is_maybe_excluded(&self, worker: WorkerId) -> bool {
        self.maybe_excluded.contains(&worker)
    }

    /// Forgets a worker that no order refers to any more. If the worker is listed again under its name, it has a new
    /// id, but the proxies to which its exclusion was sent still exclude it. At those proxies only ids listed from now
    /// on become uncertain, so that messages do not have to include every known worker again.
    pub fn forget(&mut self, worker: WorkerId) {
        self.excluded.remove(&worker);
        self.maybe_excluded.remove(&worker);
        self.tables.values_mut().for_each(|table| _ = table.lines.remove(&worker));
        for proxy in self.proxies.values_mut() {
            let was_excluded = proxy.exclusions.remove(&worker);
            if was_excluded == Some(true) {
                proxy.uncertain_from =
                    proxy.uncertain_from.min(WorkerId(self.highest_id.0.saturating_add(1)));
            }
        }
    }

    /// Forgets tables, levels and exclusions for a restarted planner, but not the exclusions that proxies were sent.
    pub fn handle_planner_restart(&mut self) {
        self.tables = BTreeMap::new();
        self.excluded = BTreeSet::new();
        self.global_levels = BTreeMap::new();
        for proxy in self.proxies.values_mut() {
            proxy.bindings = BTreeMap::new();
            proxy.uncertain_from = WorkerId(0);
        }
    }

    /// Applies the orders of one turn, in their order. Returns one message for each proxy concerned.
    pub fn messages(&mut self, orders: &[Order], names: &Names) -> Vec<OutboundMessage> {
        let mut updates: BTreeMap<ProxyId, ProxyUpdate> = BTreeMap::new();
        for order in orders {
            self.apply_order(order, names, &mut updates);
        }
        let write = |(proxy, update): (ProxyId, ProxyUpdate)| self.write_message(proxy, update, names);
        updates.into_iter().map(write).collect()
    }

    fn apply_order(&mut self, order: &Order, names: &Names, updates: &mut BTreeMap<ProxyId, ProxyUpdate>) {
        let is_bound =
            |proxy: &Proxy, table: &TableId| proxy.bindings.values().any(|bound_table| bound_table == table);
        match order {
            Order::SetLine { table, worker, weight } => {
                let lines = &mut self.tables.entry(*table).or_default().lines;
                match *weight > 0.0 {
                    true => lines.insert(*worker, *weight),
                    false => lines.remove(worker),
                };
                for (id, _) in self.proxies.iter().filter(|(_, proxy)| is_bound(proxy, table)) {
                    let update = updates.entry(*id).or_default();
                    update.lines.entry(*table).or_default().insert(*worker, *weight);
                }
            }
            Order::ClearTable { table } => {
                self.tables.insert(*table, Table::default());
                for (id, _) in self.proxies.iter().filter(|(_, proxy)| is_bound(proxy, table)) {
                    updates.entry(*id).or_default().full_tables.insert(*table);
                }
            }
            Order::Bind { table, ops, proxy: id } => {
                let Some(proxy) = self.proxies.get_mut(id) else { return };
                proxy.bindings.extend(ops_in_mask(*ops, names).map(|op| (op, *table)));
                updates.entry(*id).or_default().full_tables.insert(*table);
            }
            Order::ExcludeWorker { worker, excluded } => {
                match excluded {
                    true => self.excluded.insert(*worker),
                    false => self.excluded.remove(worker),
                };
                // Where this manager has not bound an operation of a proxy, the proxy may hold another manager's table
                // for it, with any worker.
                let has_line = |table: &TableId| self.has_line(*table, *worker);
                let is_concerned = |proxy: &Proxy| {
                    proxy.bindings.len() < names.ops.count() || proxy.bindings.values().any(has_line)
                };
                for (id, _) in self.proxies.iter().filter(|(_, proxy)| is_concerned(proxy)) {
                    updates.entry(*id).or_default().exclusions.insert(*worker, *excluded);
                }
            }
            Order::SetAdmission { scope: AdmissionScope::Table(table), ops, level, retry } => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                levels.extend(ops_in_mask(*ops, names).map(|op| (op, (*level, *retry))));
                for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| is_bound(proxy, table)) {
                    let ops = ops_in_mask(*ops, names).filter(|op| proxy.bindings.get(op) == Some(table));
                    let levels = ops.filter_map(|op| Some((op, self.effective_level(proxy, op)?)));
                    updates.entry(*id).or_default().levels.extend(levels);
                }
            }
            Order::SetAdmission { scope: AdmissionScope::AllProxies, ops, level, retry } => {
                self.global_levels.extend(ops_in_mask(*ops, names).map(|op| (op, (*level, *retry))));
                for (id, proxy) in &self.proxies {
                    let levels = ops_in_mask(*ops, names)
                        .filter_map(|op| Some((op, self.effective_level(proxy, op)?)));
                    updates.entry(*id).or_default().levels.extend(levels);
                }
            }
            Order::Mark { number, all_proxies } => {
                if *all_proxies {
                    self.proxies.keys().for_each(|id| _ = updates.entry(*id).or_default());
                }
                updates.values_mut().for_each(|update| update.mark = Some(*number));
            }
            // No other order concerns proxies.
            _ => {}
        }
    }

    /// The number of proxies bound to a table with a line of the worker.
    pub fn proxies_with_line(&self, worker: WorkerId) -> usize {
        let has_line = |proxy: &&Proxy| proxy.bindings.values().any(|table| self.has_line(*table, worker));
        self.proxies.values().filter(has_line).count()
    }

    /// The tables that proxies are bound to, each with its lines.
    pub fn table_states(&self, names: &Names) -> Vec<TableState> {
        let named_line =
            |(worker, weight): (&WorkerId, &f64)| (names.workers.name(worker.0).to_string(), *weight);
        let is_bound = |id: &TableId| {
            self.proxies.values().any(|proxy| proxy.bindings.values().any(|bound_table| bound_table == id))
        };
        let tables = self.tables.iter().filter(|(id, _)| is_bound(id));
        tables
            .map(|(id, table)| TableState {
                number: id.0,
                lines: table.lines.iter().map(named_line).collect(),
            })
            .collect()
    }

    /// The state of each joined proxy, as it was sent over its stream.
    pub fn proxy_states(&self, names: &Names, connections: &ConnectionTracker, now: Ms) -> Vec<ProxyState> {
        let proxy_state = |(id, stream): (ProxyId, &Stream)| {
            let proxy = self.proxies.get(&id)?;
            let excluded = proxy.exclusions.iter().filter(|(_, excluded)| **excluded);
            let operation_state = |op: OpId| OperationState {
                name: names.ops.name(op.0.into()).to_string(),
                table: proxy.bindings.get(&op).map(|table| table.0),
                level: proxy.bindings.get(&op).and_then(|_| self.effective_level(proxy, op)),
            };
            Some(ProxyState {
                number: id.0,
                zone: names.zones.name(stream.zone.0.into()).to_string(),
                mark_sent: stream.last_mark_sent.map(|mark| mark.0),
                mark_acknowledged: stream.last_mark_acknowledged.map(|mark| mark.0),
                unacknowledged_marks: stream.pending_marks.len(),
                oldest_unacknowledged_age: stream.pending_marks.front().map(|oldest| now - oldest.sent_at),
                recent_messages: stream.recent_messages.len(),
                excluded_workers: excluded
                    .map(|(worker, _)| names.workers.name(worker.0).to_string())
                    .collect(),
                operations: ops_in_mask(0, names).map(operation_state).collect(),
            })
        };
        connections.joined().filter_map(proxy_state).collect()
    }

    fn has_line(&self, table: TableId, worker: WorkerId) -> bool {
        self.tables.get(&table).is_some_and(|table| table.lines.contains_key(&worker))
    }

    /// Combines the table's level with the level for all proxies: the lower level, with the table's retry policy.
    fn effective_level(&self, proxy: &Proxy, op: OpId) -> Option<Level> {
        let table_level = proxy.bindings.get(&op).and_then(|table| self.tables.get(table)?.levels.get(&op));
        match (table_level, self.global_levels.get(&op)) {
            (Some((level, retry)), Some((global_level, _))) => Some((level.min(*global_level), *retry)),
            (table_level, global_level) => table_level.or(global_level).copied(),
        }
    }

    /// Writes an update as one message, and records the exclusions in it.
    fn write_message(&mut self, id: ProxyId, mut update: ProxyUpdate, names: &Names) -> OutboundMessage {
        let proxy = &self.proxies[&id];
        let mut tables: BTreeSet<TableId> =
            update.full_tables.iter().chain(update.lines.keys()).copied().collect();
        tables.extend(update.levels.keys().filter_map(|op| proxy.bindings.get(op)));
        let empty_table = Table::default();
        let mut parts = Vec::new();
        let mut remaining_levels = update.levels.clone();
        for table_id in tables {
            let table = self.tables.get(&table_id).unwrap_or(&empty_table);
            let ops: Vec<OpId> = proxy
                .bindings
                .iter()
                .filter(|(_, bound_table)| **bound_table == table_id)
                .map(|(op, _)| *op)
                .collect();
            let is_full = update.full_tables.contains(&table_id);
            let lines = if is_full {
                table.lines.clone()
            } else {
                update.lines.remove(&table_id).unwrap_or_default()
            };
            // An excluded worker's line comes with the exclusion, unless it was sent over this stream. Any other
            // worker must not stay excluded only because another manager excluded it at this proxy earlier.
            for worker in lines.iter().filter(|(_, weight)| **weight > 0.0).map(|(worker, _)| *worker) {
                let should_exclude = self.excluded.contains(&worker);
                let is_uncertain = worker >= proxy.uncertain_from && self.maybe_excluded.contains(&worker);
                let sent_exclusion = proxy.exclusions.get(&worker).copied();
                let differs = match should_exclude {
                    true => is_full || sent_exclusion != Some(true),
                    false => sent_exclusion.unwrap_or(is_uncertain),
                };
                if differs {
                    update.exclusions.entry(worker).or_insert(should_exclude);
                }
            }
            let mut levels: Vec<(Level, Vec<OpId>)> = Vec::new();
            for op in &ops {
                let changed_level = remaining_levels.remove(op);
                let level = if is_full { self.effective_level(proxy, *op) } else { changed_level };
                let Some(level) = level else { continue };
                match levels.iter_mut().find(|(other_level, _)| *other_level == level) {
                    Some((_, ops)) => ops.push(*op),
                    None => levels.push((level, vec![*op])),
                }
            }
            // A level that all operations share is sent in the part with the lines.
            let shared_level =
                levels.first().filter(|(_, level_ops)| *level_ops == ops).map(|(level, _)| *level);
            if shared_level.is_none() && !is_full && lines.is_empty() {
                parts.extend(levels.into_iter().map(|(level, ops)| level_part(&ops, level, names)));
                continue;
            }
            let lines = lines.iter().map(|(id, weight)| (names.workers.name(id.0), *weight)).collect();
            parts.push(MessagePart {
                ops: op_names(&ops, names),
                full: is_full,
                lines,
                level: shared_level,
                ..MessagePart::default()
            });
            if shared_level.is_none() {
                parts.extend(levels.into_iter().map(|(level, ops)| level_part(&ops, level, names)));
            }
        }
        // The levels of operations that this manager has not bound to a table at this proxy.
        parts.extend(remaining_levels.into_iter().map(|(op, level)| level_part(&[op], level, names)));
        if parts.is_empty() {
            parts.push(MessagePart::default());
        }
        let workers_with = |excluded: bool| {
            let workers = update.exclusions.iter().filter(move |(_, state)| **state == excluded);
            workers.map(|(id, _)| names.workers.name(id.0)).collect::<Vec<_>>()
        };
        let last_part = parts.last_mut().expect("a message has a part");
        last_part.excluded = workers_with(true);
        last_part.included = workers_with(false);
        last_part.mark = update.mark;
        let line_count = |part: &MessagePart| {
            // A full table, a level and a mark count as one line each.
            let single_lines = [part.full, part.level.is_some(), part.mark.is_some()];
            part.lines.len()
                + part.excluded.len()
                + part.included.len()
                + single_lines.iter().filter(|is_present| **is_present).count()
        };
        let lines = parts.iter().map(line_count).sum();
        let mark = update.mark;
        let message = OutboundMessage { proxy: id, bytes: protocol::encode(&parts), lines, mark };
        self.proxies.get_mut(&id).expect("a joined proxy").exclusions.extend(update.exclusions);
        message
    }
}

/// The operations in a bit mask; 0 means all.
fn ops_in_mask(mask: u32, names: &Names) -> impl Iterator<Item = OpId> {
    let count = names.ops.count() as u8;
    (0..count).filter(move |op| mask == 0 || mask >> op & 1 == 1).map(OpId)
}

/// The names of operations as written in a message, where an empty list means all.
fn op_names<'a>(ops: &[OpId], names: &'a Names) -> Vec<&'a str> {
    if ops.len() == names.ops.count() {
        return Vec::new();
    }
    ops.iter().map(|op| names.ops.name(u32::from(op.0))).collect()
}

fn level_part<'a>(ops: &[OpId], level: Level, names: &'a Names) -> MessagePart<'a> {
    MessagePart { ops: op_names(ops, names), level: Some(level), ..MessagePart::default() }
}

#[cfg(test)]
mod tests;
