//! Desired values of all exclusions, lines and levels, computed anew in each planning turn.

use crate::numbers::round_to_step;
use crate::{Planner, Table, UpdateKey, UpdateState, Worker};
use juniperrail_interface::*;
use std::collections::BTreeMap;

/// Load per effective weight of a partition, relative to the fleet's, above which the partition admits less while near
/// overload.
const MAX_PARTITION_LOAD_RATIO: f64 = 0.8;
/// Least preference for a worker. The preference is the load that a table puts on the worker, relative to the load by
/// effective weight alone.
const MIN_PREFERENCE_RATIO: f64 = 0.125;

impl Planner {
    /// Computes all desired values, composes them onto the pending updates and orders the changed ones.
    pub(crate) fn plan_updates(&mut self) {
        // A worker that has been gone for some time, with all its updates acknowledged, is forgotten together with its
        // exclusion: if it returns, what the proxies have of it counts as unknown.
        let forget_before = self.now - 2.0 * (self.settings.report_period + self.settings.max_transit);
        let concerns = |key: &UpdateKey, id: &WorkerId| matches!(key, UpdateKey::Exclusion(key_id) | UpdateKey::Line(_, key_id) if key_id == id);
        let is_settled = |id: &WorkerId, worker: &Worker| {
            worker.drain_requested_at < forget_before && !self.pending.iter().any(|key| concerns(key, id))
        };
        let forgotten = self
            .workers
            .extract_if(.., |id, worker| worker.listed.phase == Phase::Gone && is_settled(id, worker));
        for (worker, _) in forgotten {
            self.updates.retain(|key, _| !concerns(key, &worker));
            self.orders.push(Order::Forget { worker });
        }
        let exclusion_value = |worker: &Worker| f64::from(u8::from(worker.listed.phase != Phase::Ready));
        let exclusions =
            self.workers.iter().map(|(id, worker)| (UpdateKey::Exclusion(*id), exclusion_value(worker)));
        let mut desired: Vec<_> = exclusions.collect();
        // Demand and loads are in invocations a second.
        let mut table_demand: BTreeMap<TableId, f64> =
            self.tables.iter().map(|table| (table.id, 0.0)).collect();
        for proxy in self.proxies.values() {
            for table in self.tables_for(proxy) {
                let demand = table.ops.iter().map(|op| self.demand(proxy, *op)).sum::<f64>();
                *table_demand.entry(table.id).or_default() += demand;
            }
        }
        let fleet_weight = self.workers.values().map(|worker| self.effective_weight(worker)).sum::<f64>();
        let fleet_weight_per_demand = fleet_weight / table_demand.values().sum::<f64>();
        // By worker: the load that it already has from the groups planned before.
        let mut planned_loads: BTreeMap<WorkerId, f64> = BTreeMap::new();
        let mut tables: Vec<&Table> = self.tables.iter().collect();
        let worker_count =
            |table: &Table| self.workers.values().filter(|worker| table.includes(worker)).count();
        // Tables with few workers are planned first. A group is the tables that differ only in the zone of their
        // proxies.
        tables.sort_by_cached_key(|table| (worker_count(table), table.ops.clone(), table.partition));
        let is_same_group = |a: &&Table, b: &&Table| {
            a.ops == b.ops && a.partition == b.partition && !a.operation.own_zone_only
        };
        for group in tables.chunk_by(is_same_group) {
            let workers: Vec<&Worker> =
                self.workers.values().filter(|worker| group[0].includes(worker)).collect();
            let total_weight =
                workers.iter().map(|worker| self.effective_weight(worker)).sum::<f64>().max(1e-9);
            let cold_ratio = self.cold_weight_ratio(&workers, total_weight);
            // Operations with many workers prefer the workers that operations with fewer workers load less, and proxies
            // prefer workers of their own zone where crossing zones is expensive.
            let total_planned_load =
                workers.iter().filter_map(|worker| planned_loads.get(&worker.listed.worker)).sum::<f64>();
            let group_demand = group.iter().map(|table| table_demand[&table.id]).sum::<f64>();
            let load_per_weight = (group_demand + total_planned_load) / total_weight;
            // By worker: how much of this group's demand may still be put on it.
            let mut free_loads: Vec<f64> = Vec::new();
            for worker in &workers {
                // In proportion to its effective weight, and including what is planned already.
                let target_load = load_per_weight * self.effective_weight(worker);
                let planned_load = planned_loads.insert(worker.listed.worker, target_load).unwrap_or(0.0);
                free_loads.push((target_load - planned_load).max(target_load * MIN_PREFERENCE_RATIO));
            }
            // By table of the group and worker: the load that the table puts on the worker. A table's demand goes first
            // to the workers in the zone of its proxies, as far as they have free load, and the rest to all.
            let mut table_loads = vec![vec![0.0; workers.len()]; group.len()];
            for is_own_zone_pass in [true, false] {
                for (table, loads) in group.iter().zip(&mut table_loads) {
                    let is_eligible = |index: &usize| {
                        !is_own_zone_pass
                            || table.proxy_zone.is_none_or(|zone| zone == workers[*index].listed.zone)
                    };
                    let eligible: Vec<usize> = (0..workers.len()).filter(is_eligible).collect();
                    let total_free_load =
                        eligible.iter().map(|index| free_loads[*index]).sum::<f64>().max(1e-9);
                    let unplaced_demand = table_demand[&table.id] - loads.iter().sum::<f64>();
                    // The fraction of each eligible worker's free load that the table takes.
                    let taken_ratio = (unplaced_demand / total_free_load).clamp(0.0, 1.0);
                    for index in eligible {
                        loads[index] += free_loads[index] * taken_ratio;
                        free_loads[index] *= 1.0 - taken_ratio;
                    }
                }
            }
            // Near overload, a partition whose share of effective weight is too small for its load (because of busy,
            // failing or cold workers) admits less.
            let limits_partition = self.near_overload && group[0].partition.is_some();
            let load_ratio = load_per_weight * fleet_weight_per_demand;
            let partition_ratio =
                if limits_partition { (MAX_PARTITION_LOAD_RATIO / load_ratio).min(1.0) } else { 1.0 };
            let admission_ratio = self.admission_ratio * partition_ratio;
            for (table, loads) in group.iter().zip(table_loads) {
                for (worker, load) in workers.iter().zip(loads) {
                    let proportional_load =
                        table_demand[&table.id] * self.effective_weight(worker) / total_weight;
                    let preference = if proportional_load > 0.0 {
                        round_to_step((load / proportional_load).max(MIN_PREFERENCE_RATIO))
                    } else {
                        1.0
                    };
                    let cold_factor = if self.warm_up_ratio(&worker.listed) < 1.0 { cold_ratio } else { 1.0 };
                    let weight =
                        (self.effective_weight(worker) * preference * cold_factor * 1e3).round() / 1e3;
                    desired.push((UpdateKey::Line(table.id, worker.listed.worker), weight));
                }
                let desired_level = |&op: &usize| {
                    let key = UpdateKey::Level(table.id, OpId(op as u8));
                    (key, self.admission_level(table, op, admission_ratio))
                };
                desired.extend(table.ops.iter().map(desired_level));
            }
        }
        // From here on, `desired` has only the values that changed and have to be sent.
        desired.retain(|(key, value)| self.compose(*key, *value));
        let in_force = |update: &UpdateState| {
            update.desired > 0.0 && update.sent == update.desired && update.awaited_mark.is_none()
        };
        let has_usable_line =
            |table: &Table| self.lines(table.id).any(|(id, line)| in_force(line) && !self.is_excluded(id));
        let usable_tables: Vec<bool> = self.tables.iter().map(has_usable_line).collect();
        desired.into_iter().for_each(|(key, _)| self.add_ordering(key, &usable_tables));
    }
}
