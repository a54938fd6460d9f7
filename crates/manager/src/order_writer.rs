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
                // A proxy that this manager has not bound may hold another manager's tables, with any worker.
                let has_line = |table: &TableId| self.has_line(*table, *worker);
                let is_concerned =
                    |proxy: &Proxy| proxy.bindings.is_empty() || proxy.bindings.values().any(has_line);
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
            // A worker with a line must not stay excluded only because another manager excluded it at this proxy
            // earlier.
            for worker in lines.iter().filter(|(_, weight)| **weight > 0.0).map(|(worker, _)| *worker) {
                let should_exclude = self.excluded.contains(&worker);
                let is_uncertain = worker >= proxy.uncertain_from && self.maybe_excluded.contains(&worker);
                let excluded_at_proxy =
                    proxy.exclusions.get(&worker).map_or(is_uncertain, |excluded| *excluded);
                if should_exclude && is_full || !should_exclude && excluded_at_proxy {
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
mod tests {
    use super::*;

    const TABLE: TableId = TableId(0);

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

    fn exclude(worker: u32, excluded: bool) -> Order {
        Order::ExcludeWorker { worker: WorkerId(worker), excluded }
    }

    fn admit(scope: AdmissionScope, ops: u32, level: f64) -> Order {
        Order::SetAdmission { scope, ops, level, retry: Retry::IfNotExecuted }
    }

    fn mark(number: u16, all_proxies: bool) -> Order {
        Order::Mark { number: MarkId(number), all_proxies }
    }

    /// An order writer with this many fresh proxies.
    fn order_writer(proxies: u16) -> OrderWriter {
        let mut order_writer = OrderWriter::default();
        (0..proxies).for_each(|proxy| order_writer.add_proxy(ProxyId(proxy), true));
        order_writer
    }

    /// Runs a turn with these orders. Returns each proxy concerned, its message, and the number of lines that the
    /// message counts for.
    fn write(order_writer: &mut OrderWriter, orders: &[Order]) -> Vec<(u16, String, usize)> {
        let messages = order_writer.messages(orders, &names()).into_iter();
        messages
            .map(|message| {
                (message.proxy.0, String::from_utf8(message.bytes.to_vec()).unwrap(), message.lines)
            })
            .collect()
    }

    #[test]
    fn a_turn_is_one_message_per_proxy_and_its_lines_are_counted() {
        let mut order_writer = order_writer(3);
        let orders = [
            line(TABLE, 0, 1.5),
            line(TABLE, 1, 0.2),
            exclude(1, true),
            admit(AdmissionScope::Table(TABLE), 0, 0.9),
        ];
        let first = write(&mut order_writer, &orders);
        // The exclusion goes to unbound proxies, which may hold other managers' tables. Nothing else concerns a proxy
        // yet.
        assert_eq!(first.len(), 3);
        assert_eq!(first[0], (0, "push out=b\r\n".into(), 1));
        let bound = write(&mut order_writer, &[bind(TABLE, 0, 0), bind(TABLE, 0, 2), mark(905, false)]);
        // One line for the bind, two for the table, one for the exclusion, one for the level, one for the mark.
        let full_table = "push whole=1 lines=a:1.5,b:0.2 level=0.9 retry=1 out=b ticket=905\r\n";
        assert_eq!(bound, [(0, full_table.to_string(), 6), (2, full_table.to_string(), 6)]);
        let changed = write(
            &mut order_writer,
            &[line(TABLE, 0, 0.30000000000000004), line(TABLE, 1, 0.0), mark(906, false)],
        );
        assert_eq!(changed[0].1, "push lines=a:0.30000000000000004,b:0 ticket=906\r\n");
        assert_eq!(
            changed.iter().map(|message| (message.0, message.2)).collect::<Vec<_>>(),
            [(0, 3), (2, 3)]
        );
        // For a worker without a line only the unbound proxy is concerned.
        assert_eq!(write(&mut order_writer, &[exclude(1, false)]), [(1, "push back=b\r\n".to_string(), 1)]);
        let to_all = write(&mut order_writer, &[mark(907, true)]);
        assert_eq!((to_all.len(), to_all[1].1.as_str()), (3, "push ticket=907\r\n"));
    }

    #[test]
    fn operations_with_different_tables_or_levels_are_parts_of_one_message() {
        let mut order_writer = order_writer(1);
        let other = TableId(1);
        write(
            &mut order_writer,
            &[line(TABLE, 0, 1.0), line(other, 1, 1.0), admit(AdmissionScope::Table(other), 2, 0.5)],
        );
        let bound = write(&mut order_writer, &[bind(TABLE, 1, 0), bind(other, 2, 0), mark(1, false)]);
        let parts = "push classes=lookup whole=1 lines=a:1 more=1\r\n\
                     push classes=order whole=1 lines=b:1 level=0.5 retry=1 ticket=1\r\n";
        assert_eq!(bound, [(0, parts.to_string(), 6)]);
        // Only operations that the proxy binds to the table are concerned.
        let level = write(&mut order_writer, &[admit(AdmissionScope::Table(other), 0, 0.4)]);
        assert_eq!(level, [(0, "push classes=order level=0.4 retry=1\r\n".to_string(), 1)]);
        write(&mut order_writer, &[bind(TABLE, 0, 0)]);
        let both = write(
            &mut order_writer,
            &[admit(AdmissionScope::Table(TABLE), 1, 3.0), admit(AdmissionScope::Table(TABLE), 2, 4.0)],
        );
        let parts = "push classes=lookup level=3 retry=1 more=1\r\npush classes=order level=4 retry=1\r\n";
        assert_eq!(both, [(0, parts.to_string(), 2)]);
    }

    #[test]
    fn a_full_table_comes_with_its_levels_and_the_lower_of_two_levels_applies() {
        let mut order_writer = order_writer(1);
        write(
            &mut order_writer,
            &[line(TABLE, 0, 1.0), bind(TABLE, 0, 0), admit(AdmissionScope::Table(TABLE), 1, 0.5)],
        );
        let all = write(&mut order_writer, &[admit(AdmissionScope::AllProxies, 0, 0.7)]);
        let parts =
            "push classes=lookup level=0.5 retry=1 more=1\r\npush classes=order level=0.7 retry=1\r\n";
        assert_eq!(all[0].1, parts);
        let cleared = write(&mut order_writer, &[Order::ClearTable { table: TABLE }]);
        assert_eq!(cleared[0].1, "push whole=1 level=0.7 retry=1\r\n");
    }

    #[test]
    fn a_worker_that_another_manager_may_have_excluded_is_included_with_its_line() {
        let entry = |worker, started_at, phase| WorkerEntry {
            worker: WorkerId(worker),
            phase,
            started_at,
            zone: ZoneId(0),
            machine: MachineId(0),
            cell: CellId(0),
            weight: 1.0,
        };
        let mut order_writer = order_writer(1);
        order_writer.record_entry(&entry(0, None, Phase::Ready));
        order_writer.record_entry(&entry(1, Some(5.0), Phase::Ready));
        order_writer.record_entry(&entry(2, None, Phase::Draining));
        order_writer.add_proxy(ProxyId(1), false);
        write(&mut order_writer, &[line(TABLE, 0, 1.0), line(TABLE, 1, 1.0)]);
        let bound = write(&mut order_writer, &[bind(TABLE, 0, 0), bind(TABLE, 0, 1)]);
        assert_eq!(bound[0].1, "push whole=1 lines=a:1,b:1\r\n", "a fresh proxy excludes no worker");
        assert_eq!(bound[1].1, "push whole=1 lines=a:1,b:1 back=b\r\n");
        let changed = write(&mut order_writer, &[line(TABLE, 1, 2.0), line(TABLE, 2, 1.0)]);
        assert_eq!(
            changed[1].1, "push lines=b:2,c:1 back=c\r\n",
            "the inclusion of each worker is sent once per stream"
        );
        // What was sent over the old stream does not count for the new one.
        write(&mut order_writer, &[exclude(1, true)]);
        order_writer.remove_proxy(ProxyId(1));
        write(&mut order_writer, &[exclude(1, false)]);
        order_writer.add_proxy(ProxyId(1), false);
        assert_eq!(
            write(&mut order_writer, &[bind(TABLE, 0, 1)])[0].1,
            "push whole=1 lines=a:1,b:2,c:1 back=b,c\r\n"
        );
    }

    #[test]
    fn a_worker_that_was_excluded_and_forgotten_is_included_when_it_returns() {
        let mut order_writer = order_writer(1);
        write(
            &mut order_writer,
            &[
                line(TABLE, 0, 1.0),
                line(TABLE, 1, 1.0),
                bind(TABLE, 0, 0),
                exclude(1, true),
                line(TABLE, 1, 0.0),
            ],
        );
        let entry = |worker| WorkerEntry {
            worker: WorkerId(worker),
            phase: Phase::Ready,
            started_at: Some(5.0),
            zone: ZoneId(0),
            machine: MachineId(0),
            cell: CellId(0),
            weight: 1.0,
        };
        (0..2).for_each(|worker| order_writer.record_entry(&entry(worker)));
        order_writer.forget(WorkerId(1));
        assert!(order_writer.excluded.is_empty() && order_writer.proxies[&ProxyId(0)].exclusions.is_empty());
        assert_eq!(
            write(&mut order_writer, &[line(TABLE, 0, 2.0)])[0].1,
            "push lines=a:2\r\n",
            "no inclusion is sent for a worker that was never excluded"
        );
        // The same worker, listed again with a new id.
        order_writer.record_entry(&entry(2));
        assert_eq!(write(&mut order_writer, &[line(TABLE, 2, 1.0)])[0].1, "push lines=c:1 back=c\r\n");
    }

    #[test]
    fn a_worker_that_an_operator_brings_back_is_included_although_discovery_saw_no_start() {
        let mut order_writer = order_writer(1);
        write(
            &mut order_writer,
            &[
                line(TABLE, 0, 1.0),
                line(TABLE, 1, 1.0),
                bind(TABLE, 0, 0),
                exclude(1, true),
                line(TABLE, 1, 0.0),
            ],
        );
        order_writer.forget(WorkerId(1));
        order_writer.mark_maybe_excluded(WorkerId(2));
        assert_eq!(write(&mut order_writer, &[line(TABLE, 2, 1.0)])[0].1, "push lines=c:1 back=c\r\n");
    }

    /// The planner's count of unacknowledged lines must never be below what was written to the channel; otherwise the
    /// planner would send more than the channel can take. Random histories of a small fleet, in which workers start, drain, leave and return,
    /// and proxies join with other managers' orders, disconnect and acknowledge late.
    #[test]
    fn the_planners_count_of_unacknowledged_lines_is_never_below_the_lines_written() {
        use juniperrail::Planner;
        const HISTORIES: u64 = 60;
        const TURNS_PER_HISTORY: usize = 400;
        const PROXIES: u16 = 24;
        const WORKERS: usize = 70;
        let op = Operation {
            latency_objective: 500.0,
            billed_value: 1.0,
            zones: None,
            machines: None,
            own_zone_only: false,
        };
        let settings = Settings {
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
            proxy_count: f64::from(PROXIES),
            manager_count: 3.0,
            ..Settings::default()
        };
        let (mut full_table_count, mut included_count) = (0, 0);
        for seed in 0..HISTORIES {
            let (mut rng, mut now) = (fastrand::Rng::with_seed(seed), 1000.0);
            let mut names = names();
            let mut planner = Planner::new(now, seed, settings.clone());
            let mut order_writer = OrderWriter::default();
            // By mark and proxy: the lines written, with the message overhead.
            let mut unacknowledged: BTreeMap<(u64, ProxyId), f64> = BTreeMap::new();
            let (mut mark, mut joined) = (0_u64, BTreeSet::new());
            let mut listed: Vec<WorkerEntry> = Vec::new();
            let entry = |id: u32, phase, started_at| {
                let (zone, machine, cell) = (ZoneId(0), MachineId(0), CellId(0));
                WorkerEntry { worker: WorkerId(id), phase, started_at, zone, machine, cell, weight: 1.0 }
            };
            let mut events = Vec::new();
            for _ in 0..WORKERS {
                let id = names.worker(&format!("w{}", names.workers.count()));
                listed.push(entry(id.0, Phase::Ready, rng.bool().then_some(900.0)));
            }
            listed.iter().for_each(|entry| order_writer.record_entry(entry));
            events.push(Event::List { kind: ListKind::Remembered, version: 1, workers: listed.clone() });
            for _ in 0..TURNS_PER_HISTORY {
                now += f64::from(rng.u32(5..250));
                let proxy = ProxyId(rng.u16(0..PROXIES));
                match rng.u32(0..12) {
                    // A proxy joins; if it has a stream already, the new one replaces that.
                    0..4 => {
                        let (fresh, zone, inv_per_second) = (rng.u32(0..3) == 0, ZoneId(0), rng.f64() * 3.0);
                        order_writer.remove_proxy(proxy);
                        if !joined.insert(proxy) {
                            events.push(Event::Left { proxy });
                        }
                        order_writer.add_proxy(proxy, fresh);
                        events.push(Event::Joined { proxy, fresh, inv_per_second, zone });
                    }
                    // A proxy disconnects.
                    4 if joined.remove(&proxy) => {
                        order_writer.remove_proxy(proxy);
                        events.push(Event::Left { proxy });
                    }
                    // A worker starts, drains or leaves; one that left is replaced by a new worker.
                    5..7 => {
                        let index = rng.usize(0..listed.len());
                        let changed = &mut listed[index];
                        (changed.phase, changed.started_at) = match (changed.phase, rng.u32(0..4)) {
                            (Phase::Ready, 0) => (Phase::Ready, Some(now)),
                            (Phase::Ready, _) => (Phase::Draining, changed.started_at),
                            (Phase::Draining, 0..2) => (Phase::Ready, Some(now)),
                            _ => (Phase::Gone, changed.started_at),
                        };
                        let mut workers = vec![changed.clone()];
                        if changed.phase == Phase::Gone {
                            listed.swap_remove(index);
                            let id = names.worker(&format!("n{}", rng.u32(..)));
                            listed.push(entry(id.0, Phase::Ready, Some(now)));
                            workers.extend(listed.last().cloned());
                        }
                        workers.iter().for_each(|entry| order_writer.record_entry(entry));
                        events.push(Event::List { kind: ListKind::Changes, version: 2, workers });
                    }
                    // A joined proxy acknowledges a mark.
                    _ => {
                        let pending =
                            unacknowledged.keys().filter(|(_, id)| joined.contains(id)).nth(rng.usize(0..3));
                        if let Some((mark, proxy)) = pending.copied() {
                            events.push(Event::MarkAcknowledged {
                                mark: MarkId(mark as u16),
                                took: 1.0,
                                proxy,
                            });
                            unacknowledged = unacknowledged.split_off(&(mark, ProxyId(0)));
                            unacknowledged.remove(&(mark, proxy));
                        }
                    }
                }
                let orders = planner.process_events(now, &std::mem::take(&mut events));
                let messages = order_writer.messages(&orders, &names);
                mark += u64::from(!messages.is_empty());
                for OutboundMessage { proxy, bytes, lines, .. } in messages {
                    unacknowledged.insert((mark, proxy), lines as f64 + settings.message_overhead);
                    let text = String::from_utf8(bytes.to_vec()).unwrap();
                    full_table_count += text.matches("whole=1").count();
                    included_count += text.matches("back=").count();
                }
                for order in orders {
                    if let Order::Forget { worker } = order {
                        order_writer.forget(worker);
                        names.workers.forget(worker.0);
                    }
                }
                let written = unacknowledged.values().sum::<f64>();
                assert!(
                    planner.unacknowledged_lines() >= written - 1e-6,
                    "seed {seed}: the planner counts {} lines, but {written} were written",
                    planner.unacknowledged_lines()
                );
            }
        }
        assert!(
            full_table_count > 1000 && included_count > 500,
            "{full_table_count} full tables, {included_count} messages that include workers"
        );
    }
}
