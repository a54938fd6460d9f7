//! Sending of updates within the backlog and the message limits of the channel.

use crate::{Planner, Table, UpdateKey, UpdateState};
use juniperrail_interface::*;
use std::collections::BTreeSet;

/// Fraction of `max_pending_lines` (the backlog) up to which updates are sent.
pub(crate) const SEND_BACKLOG_RATIO: f64 = 0.5;
/// Fraction of the backlog up to which overdue exclusions, and binds into an empty channel, are sent.
const OVERDUE_BACKLOG_RATIO: f64 = 0.8;
/// Fraction of the channel's rate at which unacknowledged lines are assumed to leave the channel.
const MIN_CHANNEL_RATE_RATIO: f64 = 0.1;
/// Fraction of the messages allowed to a proxy that ordinary updates (lines, levels and readmissions) may use; the
/// rest is left to exclusions and binds.
const ORDINARY_MESSAGE_RATIO: f64 = 0.6;
/// Fraction of the channel's rate that the overhead of ordinary messages may use.
const ORDINARY_OVERHEAD_RATIO: f64 = 0.2;
/// Factor on the message window, a little above 1: how long the time of a message counts against the limit.
const MESSAGE_RETENTION_RATIO: f64 = 1.02;
/// Fraction of the drain grace after which an exclusion is overdue: it no longer waits for acknowledgements of the
/// updates ordered before it. Also the fraction for which a proxy waits for usable lines of a table.
const OVERDUE_DRAIN_GRACE_RATIO: f64 = 0.4;

/// An update other than an exclusion (a line, a level or a readmission) that may be sent in this turn.
struct OrdinaryUpdate {
    key: UpdateKey,
    is_level: bool,
    /// The absolute difference of the desired from the sent value. NaN, which sorts as the largest, if the sent value
    /// is unknown; 0 if the update has no effect on traffic.
    change: f64,
}

impl Planner {
    /// Sends idle updates (those to be sent) and a mark: exclusions, then binds, then levels, then lines and
    /// readmissions by size of change. They may fill [`SEND_BACKLOG_RATIO`] of the backlog; overdue exclusions, and a
    /// bind into an empty channel, may fill [`OVERDUE_BACKLOG_RATIO`].
    pub(crate) fn send_updates(&mut self) {
        let now = self.now;
        let backlog = self.settings.max_pending_lines;
        // Besides acknowledged lines, only a small fraction of the channel's rate is assumed to have left the channel:
        // this allows for slow channels, stalls and lost acknowledgements.
        let assumed_departed_lines =
            (now - self.progress_at) * self.settings.channel_rate * MIN_CHANNEL_RATE_RATIO / 1000.0;
        let waiting_lines = (self.unacknowledged.values().sum::<f64>() - assumed_departed_lines).max(0.0);
        // Lines that a message costs besides those of its updates: the overhead and its mark.
        let fixed_message_lines = self.settings.message_overhead + 1.0;
        // Lines kept free for exclusions: a message of one line to each proxy, but at most a quarter of the lines that
        // may wait.
        let exclusion_reserve =
            (self.proxies.len() as f64 * (fixed_message_lines + 1.0)).min(backlog * SEND_BACKLOG_RATIO / 4.0);
        // Lines and levels of tables with bound proxies are sent together, at the longest of these intervals: by the
        // message limit, half a report period and, in a partitioned fleet, by the rate that overhead may use.
        let message_interval =
            self.settings.message_window / (self.settings.max_messages_per_window * ORDINARY_MESSAGE_RATIO);
        let overhead_interval = self.expected_proxy_count() * fixed_message_lines * 1000.0
            / (self.settings.channel_rate * ORDINARY_OVERHEAD_RATIO);
        let overhead_interval = if self.partition_count > 0 { overhead_interval } else { 0.0 };
        let ordinary_interval =
            message_interval.max(self.settings.report_period / 2.0).max(overhead_interval);
        // Updates that wait for the acknowledgement of an earlier one.
        let blocked: BTreeSet<UpdateKey> = self.ordered_pairs.keys().map(|pair| pair.1).collect();
        let has_no_bound_proxies =
            |table: &TableId| self.tables[usize::from(table.0)].bound_proxies.is_empty();
        // Exclusions are sent together: sent one by one as lines leave the channel, they would take a message each
        // until the proxies' message limit is reached.
        let exclusion_interval = self.settings.message_window
            / (self.settings.max_messages_per_window * (1.0 - ORDINARY_MESSAGE_RATIO));
        let exclusion_interval =
            exclusion_interval.min(OVERDUE_DRAIN_GRACE_RATIO * self.settings.drain_grace);
        let exclusions_due = now >= self.exclusions_sent_at + exclusion_interval;
        let is_due = |key: &&UpdateKey| match key {
            UpdateKey::Line(table, _) | UpdateKey::Level(table, _) => {
                now >= self.ordinary_sent_at + ordinary_interval || has_no_bound_proxies(table)
            }
            UpdateKey::Exclusion(_) => exclusions_due || self.updates[key].desired == 0.0,
        };
        let is_idle = |key: &&UpdateKey| self.updates[key].desired != self.updates[key].sent;
        let idle = self.pending.iter().filter(is_idle);
        let mut ordinary_updates = Vec::new();
        for key in idle.filter(is_due).copied().collect::<Vec<UpdateKey>>() {
            let update = &self.updates[&key];
            let is_unblocked = !blocked.contains(&key);
            if let (UpdateKey::Exclusion(id), true) = (key, update.desired > 0.0) {
                let overdue_after = OVERDUE_DRAIN_GRACE_RATIO * self.settings.drain_grace;
                let overdue = now >= self.workers[&id].drain_requested_at + overdue_after;
                let backlog_ratio = if overdue { OVERDUE_BACKLOG_RATIO } else { SEND_BACKLOG_RATIO };
                if (is_unblocked || overdue)
                    && self.send_update(key, backlog * backlog_ratio - waiting_lines, 1.0)
                {
                    self.exclusions_sent_at = now;
                }
            } else if is_unblocked {
                // Levels are sent first: ordered by size of change, they would wait behind all lines of a growing
                // fleet. The line of an excluded worker has no effect any more, so its removal is sent last, after
                // the lines of replacements.
                let no_effect =
                    matches!(key, UpdateKey::Line(_, id) if update.desired == 0.0 && self.is_excluded(id));
                let change = if no_effect { 0.0 } else { (update.desired - update.sent).abs() };
                ordinary_updates.push(OrdinaryUpdate {
                    is_level: matches!(key, UpdateKey::Level(..)),
                    change,
                    key,
                });
            }
        }
        // Lines that binds and ordinary updates may add in this turn.
        let line_limit = backlog * SEND_BACKLOG_RATIO - exclusion_reserve - waiting_lines;
        self.bind_proxies(line_limit, waiting_lines);
        ordinary_updates.sort_by(|a, b| b.is_level.cmp(&a.is_level).then(b.change.total_cmp(&a.change)));
        for OrdinaryUpdate { key, .. } in ordinary_updates {
            if self.turn_lines < line_limit && self.send_update(key, line_limit, ORDINARY_MESSAGE_RATIO) {
                self.ordinary_sent_at = now;
            }
        }
        if !self.message_lines.is_empty() {
            self.last_mark += 1;
            self.turn_lines = 0.0;
            self.progress_at = if self.unacknowledged.is_empty() { now } else { self.progress_at };
            self.orders.push(Order::Mark { number: MarkId(self.last_mark as u16), all_proxies: false });
        }
        for (id, lines) in std::mem::take(&mut self.message_lines) {
            self.message_times.entry(id).or_default().push_back(now);
            if let Some(proxy) = self.proxies.get_mut(&id) {
                proxy.sent_mark = self.last_mark;
            }
            self.unacknowledged.insert((self.last_mark, id), lines);
        }
    }

    /// Reserves lines in this turn's message to each receiver, if the turn's messages then take at most `line_limit`
    /// lines and no receiver gets more than `message_ratio` of its allowed messages. Returns whether they fit.
    fn reserve_lines(
        &mut self,
        receivers: &BTreeSet<ProxyId>,
        lines: f64,
        line_limit: f64,
        message_ratio: f64,
    ) -> bool {
        let now = self.now;
        let message_window = self.settings.message_window;
        // Lines that a message costs besides those of its updates: the overhead and its mark.
        let fixed_message_lines = self.settings.message_overhead + 1.0;
        let new_receivers: Vec<&ProxyId> =
            receivers.iter().filter(|id| !self.message_lines.contains_key(id)).collect();
        let cost = receivers.len() as f64 * lines + new_receivers.len() as f64 * fixed_message_lines;
        let mut fits = self.turn_lines + cost <= line_limit;
        // Times are kept after a proxy has left: if it joins again, its limit may count the messages of its earlier
        // connection.
        for id in new_receivers {
            let times = self.message_times.entry(*id).or_default();
            times.retain(|sent_at| now - sent_at <= message_window * MESSAGE_RETENTION_RATIO);
            fits &= (times.len() as f64) < (self.settings.max_messages_per_window * message_ratio).floor();
        }
        if fits {
            self.turn_lines += cost;
            receivers
                .iter()
                .for_each(|id| *self.message_lines.entry(*id).or_insert(fixed_message_lines) += lines);
        }
        fits
    }

    /// When the message limit has room for `messages` more to a proxy; a time in the past if it has room now.
    pub(crate) fn message_room_at(&self, id: ProxyId, messages: usize) -> Ms {
        let Some(times) = self.message_times.get(&id) else { return f64::NEG_INFINITY };
        let max_messages = self.settings.max_messages_per_window as usize;
        // The number of messages that must have left the window by then.
        let excess = (times.len() + messages).saturating_sub(max_messages).min(times.len());
        let last_excess = excess.checked_sub(1).and_then(|index| times.get(index));
        last_excess.map_or(f64::NEG_INFINITY, |sent_at| {
            sent_at + self.settings.message_window * MESSAGE_RETENTION_RATIO
        })
    }

    /// Sends an update if it fits within `line_limit` and `message_ratio` (see [`Planner::reserve_lines`]). Returns
    /// whether it was added to a message; an update without receivers counts as sent, but is in no message.
    fn send_update(&mut self, key: UpdateKey, line_limit: f64, message_ratio: f64) -> bool {
        let receivers = self.receivers(key);
        let lines = match key {
            UpdateKey::Line(_, id) => self.line_cost(id, &self.updates[&key]),
            _ => 1.0,
        };
        if !receivers.is_empty() && !self.reserve_lines(&receivers, lines, line_limit, message_ratio) {
            return false;
        }
        let update = self.updates.get_mut(&key).expect("a known key");
        update.sent = update.desired;
        update.sent_at = self.now;
        update.readmission_uncertain = false;
        update.awaited_mark = (!receivers.is_empty()).then_some(self.last_mark + 1);
        let value = update.desired;
        // No retries while demand is rejected, and never of a try that may have been executed: retries multiply an
        // overload, since a try that the proxy gave up still occupies its worker.
        let retry = if self.admission_ratio < 1.0 { Retry::Never } else { Retry::IfNotExecuted };
        self.orders.push(match key {
            UpdateKey::Exclusion(worker) => Order::ExcludeWorker { worker, excluded: value > 0.0 },
            UpdateKey::Line(table, worker) => Order::SetLine { table, worker, weight: value },
            UpdateKey::Level(id, op) => {
                Order::SetAdmission { scope: AdmissionScope::Table(id), ops: 1 << op.0, level: value, retry }
            }
        });
        !receivers.is_empty()
    }

    /// The number of message lines that the write of a table's line costs: 1, or 2 where a possibly excluded worker
    /// enters the table and has to be readmitted.
    fn line_cost(&self, id: WorkerId, line: &UpdateState) -> f64 {
        let may_be_absent = line.readmission_uncertain || line.sent.is_nan() || line.sent == 0.0;
        let enters = line.desired > 0.0 && may_be_absent;
        1.0 + f64::from(u8::from(enters && self.workers[&id].possibly_excluded))
    }

    /// Binds proxies to the tables that they lack, those with the highest rate of invocations first, while their lines
    /// fit within `line_limit`.
    fn bind_proxies(&mut self, line_limit: f64, waiting_lines: f64) {
        let unbound = self.proxies.iter().filter(|(_, proxy)| !proxy.is_bound());
        let mut unbound: Vec<(f64, ProxyId)> =
            unbound.map(|(id, proxy)| (proxy.inv_per_second, *id)).collect();
        unbound.sort_by(|a, b| b.0.total_cmp(&a.0));
        let operation_count = self.settings.operations.len();
        let has_no_table = |id: &ProxyId| self.proxies[id].unbound_ops.len() == operation_count;
        let without_tables: Vec<_> = unbound.iter().filter(|(_, id)| has_no_table(id)).copied().collect();
        self.assign_partitions(&without_tables);
        for (_, id) in unbound {
            // A bind that would not fit within the limit even in an empty channel may use more of the backlog there.
            let channel_is_empty = waiting_lines == 0.0 && self.message_lines.is_empty();
            let backlog = self.settings.max_pending_lines;
            let bind_limit = if channel_is_empty { backlog * OVERDUE_BACKLOG_RATIO } else { line_limit };
            if !self.bind_proxy(id, bind_limit) {
                break;
            }
        }
    }

    /// Binds a joined proxy to the tables that it lacks, if their lines fit within `line_limit`; a table without usable
    /// lines is left for a later bind. Returns false where the lines do not fit.
    ///
    /// A proxy waits for usable lines for [`OVERDUE_DRAIN_GRACE_RATIO`] of the drain grace. Then it is bound all the
    /// same: the exclusions of the workers that drained before it joined are not sent again, and its old table may
    /// have them. Only a manager that was never told of a worker leaves the proxy what it has.
    fn bind_proxy(&mut self, id: ProxyId, line_limit: f64) -> bool {
        let proxy = &self.proxies[&id];
        let max_wait = OVERDUE_DRAIN_GRACE_RATIO * self.settings.drain_grace;
        let is_overdue = self.now >= proxy.unbound_since + max_wait && self.has_listed_workers;
        let lacks = |table: &&Table| table.ops.iter().any(|op| proxy.unbound_ops.contains(op));
        let lacked = self.tables_for(proxy).filter(lacks);
        let bindable = lacked.filter(|table| is_overdue || self.has_usable_line(table.id));
        let tables: Vec<TableId> = bindable.map(|table| table.id).collect();
        // A proxy of a fleet that has just been partitioned may already be bound to its table.
        let is_new = |table: &&TableId| !self.tables[usize::from(table.0)].bound_proxies.contains(&id);
        let cost: f64 = tables.iter().filter(is_new).map(|table| self.bind_cost(*table)).sum();
        if cost > 0.0 && !self.reserve_lines(&BTreeSet::from([id]), cost, line_limit, 1.0) {
            return self.turn_lines + cost <= line_limit;
        }
        for table in tables {
            self.bind_to_table(id, usize::from(table.0));
        }
        true
    }

    /// Whether proxies that are bound to a table have a worker to pick.
    fn has_usable_line(&self, table: TableId) -> bool {
        self.lines(table).any(|(worker, line)| line.sent > 0.0 && !self.is_excluded(worker))
    }

    /// The number of message lines that a bind to a table costs.
    fn bind_cost(&self, table: TableId) -> f64 {
        let line_cost = |(worker, _): (WorkerId, &UpdateState)| {
            // The exclusion of an excluded worker, or the readmission of one that another manager may have excluded.
            let sends_exclusion = self.is_excluded(worker) || self.workers[&worker].possibly_excluded;
            1 + usize::from(sends_exclusion)
        };
        let lines: usize = self.lines(table).filter(|(_, line)| line.may_be_in_table()).map(line_cost).sum();
        // The bind itself, the lines, and the level of each operation.
        (1 + lines + self.tables[usize::from(table.0)].ops.len()) as f64
    }

    /// Binds a proxy to a table, in place of the one that it is bound to for the same operations.
    fn bind_to_table(&mut self, id: ProxyId, index: usize) {
        let table = &self.tables[index];
        let (table_id, ops) = (table.id, table.ops.clone());
        let is_bound = table.bound_proxies.contains(&id);
        let proxy = self.proxies.get_mut(&id).expect("a joined proxy");
        proxy.unbound_ops.retain(|op| !ops.contains(op));
        if is_bound {
            return;
        }
        // The proxy may have been bound to the table of the whole fleet.
        let former_partitions = [None, proxy.partition];
        let former_tables =
            former_partitions.iter().filter_map(|partition| self.partition_tables.get(partition)).flatten();
        for former in former_tables {
            if self.tables[*former].ops == ops {
                self.tables[*former].bound_proxies.remove(&id);
            }
        }
        self.tables[index].bound_proxies.insert(id);
        let mask = ops.iter().map(|op| 1 << op).sum();
        self.orders.push(Order::Bind { table: table_id, ops: mask, proxy: id });
    }

    /// The proxies that an update is sent to. An exclusion also goes to proxies that lack a table, as they may still
    /// have another manager's.
    pub(crate) fn receivers(&self, key: UpdateKey) -> BTreeSet<ProxyId> {
        let id = match key {
            UpdateKey::Line(table, _) | UpdateKey::Level(table, _) => {
                return self.tables[usize::from(table.0)].bound_proxies.clone();
            }
            UpdateKey::Exclusion(id) => id,
        };
        let has_line = |table: &&Table| {
            self.updates.get(&UpdateKey::Line(table.id, id)).is_some_and(UpdateState::may_be_in_table)
        };
        let tables = self.tables.iter().filter(has_line);
        let bound = tables.flat_map(|table| table.bound_proxies.iter().copied());
        let unbound = self.proxies.iter().filter(|(_, proxy)| !proxy.is_bound());
        bound.chain(unbound.map(|(id, _)| *id)).collect()
    }
}
