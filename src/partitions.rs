//! Tables, and the partitions of a fleet that is too large for one table.

use crate::numbers::mean;
use crate::sending::SEND_BACKLOG_RATIO;
use crate::{Planner, Proxy, Table, Worker};
use juniperrail_interface::*;
use std::collections::BTreeSet;

/// Least number of lines that a table of a partition is planned to have.
const MIN_LINES_PER_TABLE: f64 = 16.0;

impl Planner {
    /// Partitions the fleet, once and for all, where writing the tables of the whole fleet to the expected proxies
    /// would take over half of the line backlog, or where all proxies of the deployment could not be bound within half
    /// a drain grace: a proxy that is bound later than that and still has another manager's table may send to workers
    /// that have drained. Then assigns each worker without a partition to one.
    pub(crate) fn partition_fleet(&mut self) {
        let present_workers = || self.workers.values().filter(|worker| worker.listed.phase != Phase::Gone);
        // The tables that one proxy of the first zone gets.
        let is_for_first_zone =
            |table: &&Table| table.proxy_zone.is_none_or(|zone| Some(&zone) == self.settings.zones.first());
        let line_counts = self
            .tables
            .iter()
            .filter(is_for_first_zone)
            .map(|table| present_workers().filter(|worker| table.includes(worker)).count());
        let (table_count, proxy_lines) = line_counts
            .fold((0.0, 0.0), |(tables, lines), line_count| (tables + 1.0, lines + line_count as f64));
        // Lines that the channel carries in half a drain grace.
        let lines_in_grace =
            self.settings.channel_rate * self.settings.drain_grace / 1000.0 * SEND_BACKLOG_RATIO;
        // Lines for each proxy, by the backlog and by the drain grace; `max_lines` is without the message's overhead.
        let proxy_lines_in_backlog =
            self.settings.max_pending_lines * SEND_BACKLOG_RATIO / self.expected_proxy_count();
        let proxy_lines_in_grace = lines_in_grace / self.settings.proxy_count.max(1.0);
        let max_lines = proxy_lines_in_backlog.min(proxy_lines_in_grace) - self.settings.message_overhead;
        let partition_count =
            (proxy_lines / max_lines.max(MIN_LINES_PER_TABLE * table_count).max(1.0)) as usize;
        if self.partition_count == 0 && proxy_lines > max_lines && partition_count > 1 {
            self.partition_count = partition_count;
            (0..partition_count).for_each(|partition| self.build_tables(Some(partition), None));
            let all_operations = self.all_operations();
            for proxy in self.proxies.values_mut() {
                proxy.unbound_ops.clone_from(&all_operations);
                proxy.unbound_since = self.now;
            }
        }
        // A new worker joins the partition with the least effective weight, so that no partition has too few workers
        // or mostly cold ones.
        let mut partition_weights = vec![0.0; self.partition_count];
        self.workers.values().for_each(|worker| {
            worker
                .partition
                .map_or((), |partition| partition_weights[partition] += self.effective_weight(worker))
        });
        for worker in self.workers.values_mut().filter(|worker| worker.partition.is_none()) {
            worker.partition = index_of_least(&partition_weights);
            worker
                .partition
                .iter()
                .for_each(|partition| partition_weights[*partition] += worker.listed.weight);
        }
    }

    /// Adds the workers of all partitions to each table whose partition has no ready worker for it, while another has
    /// one. They stay: without them, the first worker that returns to the partition would get all of the table's
    /// demand while it is cold.
    pub(crate) fn widen_tables(&mut self) {
        let is_ready = |worker: &&Worker| worker.listed.phase == Phase::Ready;
        let ready_workers: Vec<&Worker> = self.workers.values().filter(is_ready).collect();
        let has_workers_only_elsewhere = |table: &Table| {
            !ready_workers.iter().any(|worker| table.includes(worker))
                && ready_workers.iter().any(|worker| table.is_open_to(worker))
        };
        let widened: Vec<bool> = self.tables.iter().map(has_workers_only_elsewhere).collect();
        for (table, is_widened) in self.tables.iter_mut().zip(widened) {
            table.spans_partitions |= is_widened;
        }
    }

    /// Builds the tables of a partition or (`None`) of the whole fleet. Given a new zone, builds only the tables that
    /// are for proxies of that zone alone.
    pub(crate) fn build_tables(&mut self, partition: Option<usize>, new_zone: Option<ZoneId>) {
        let zones = new_zone.map_or(self.settings.zones.clone(), |zone| vec![zone]);
        for table in tables_of_operations(&self.settings, &zones) {
            if new_zone.is_none() || table.proxy_zone.is_some() {
                let id = TableId(self.tables.len() as u16);
                self.partition_tables.entry(partition).or_default().push(self.tables.len());
                self.tables.push(Table { id, partition, ..table });
            }
        }
    }

    /// The number of proxies that this manager has to serve: an even share of the deployment's, or the number that have
    /// joined if it is larger; at least 1.
    pub(crate) fn expected_proxy_count(&self) -> f64 {
        let share = self.settings.proxy_count / self.settings.manager_count.max(1.0);
        share.max(self.proxies.len() as f64).max(1.0)
    }

    /// The indices of all operations.
    pub(crate) fn all_operations(&self) -> BTreeSet<usize> {
        (0..self.settings.operations.len()).collect()
    }

    /// Assigns each proxy that is bound to none of its tables, given as its rate (invocations a second) and id, to the
    /// partition with the least load. A proxy that would be over half of a partition's mean load gets the tables of the
    /// whole fleet, unless the fleet is too large for one table.
    pub(crate) fn assign_partitions(&mut self, unbound: &[(f64, ProxyId)]) {
        // By partition: the sum of its proxies' rates.
        let mut partition_loads = vec![0.0; self.partition_count];
        self.proxies.values().for_each(|proxy| {
            proxy.partition.map_or((), |partition| partition_loads[partition] += proxy.inv_per_second)
        });
        let rates = self.proxies.values().map(|proxy| proxy.inv_per_second);
        // Half of a partition's mean load once all expected proxies have joined.
        let max_rate =
            mean(rates).unwrap_or(0.0) * self.expected_proxy_count() / self.partition_count as f64 / 2.0;
        let too_large_for_one_table =
            self.workers.len() as f64 > self.settings.max_pending_lines * SEND_BACKLOG_RATIO;
        for (rate, id) in unbound.iter().filter(|(rate, _)| too_large_for_one_table || *rate <= max_rate) {
            let Some(least) = index_of_least(&partition_loads) else { return };
            let proxy = self.proxies.get_mut(id).expect("a joined proxy");
            partition_loads[*proxy.partition.get_or_insert(least)] += rate;
        }
    }

    /// The tables that a proxy is to be bound to: those of its partition, for its zone.
    pub(crate) fn tables_for(&self, proxy: &Proxy) -> impl Iterator<Item = &Table> {
        let zone = proxy.zone;
        let indices = self.partition_tables.get(&proxy.partition).into_iter().flatten();
        let tables = indices.map(|index| &self.tables[*index]);
        tables.filter(move |table| table.proxy_zone.is_none_or(|table_zone| table_zone == zone))
    }
}

/// The tables that the operations need: one for all operations with the same restrictions on workers, or one for each
/// zone of proxies where these operations stay within the proxy's zone or crossing zones costs more than the channel.
/// Their ids start at 0.
fn tables_of_operations(settings: &Settings, zones: &[ZoneId]) -> Vec<Table> {
    let mut tables: Vec<Table> = Vec::new();
    // A bind names its operations by the bits of a 32-bit word. With slices, proxies are bound to no tables.
    let max_operations = if settings.slice_count > 0 { 0 } else { 32 };
    for (index, op) in settings.operations.iter().enumerate().take(max_operations) {
        let per_zone = op.own_zone_only || settings.cross_zone_cost > settings.channel_cost;
        for proxy_zone in if per_zone { zones.iter().copied().map(Some).collect() } else { vec![None] } {
            let restrictions = |op: &Operation| (op.zones.clone(), op.machines.clone(), op.own_zone_only);
            let has_same_restrictions = |table: &&mut Table| {
                table.proxy_zone == proxy_zone && restrictions(&table.operation) == restrictions(op)
            };
            match tables.iter_mut().find(has_same_restrictions) {
                Some(table) => table.ops.push(index),
                None => tables.push(Table {
                    id: TableId(tables.len() as u16),
                    ops: vec![index],
                    operation: op.clone(),
                    proxy_zone,
                    partition: None,
                    spans_partitions: false,
                    bound_proxies: BTreeSet::new(),
                }),
            }
        }
    }
    tables
}

/// The index of the least value, the first one of equals; `None` of an empty slice.
fn index_of_least(values: &[f64]) -> Option<usize> {
    (0..values.len()).min_by(|a, b| values[*a].total_cmp(&values[*b]))
}
