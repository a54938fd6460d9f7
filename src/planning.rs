//! Desired values: all exclusions, weights and levels, computed anew in each planning turn.

use crate::numbers::round_to_step;
use crate::{Planner, Table, UpdateKey, UpdateState, Worker};
use juniperrail_interface::*;
use std::collections::BTreeMap;

/// Load of a partition, relative to the fleet's, above which the partition admits less while near overload.
const MAX_PARTITION_LOAD_RATIO: f64 = 0.8;
/// Least preference for a worker: its share of a table's load relative to an even share.
const MIN_PREFERENCE_RATIO: f64 = 0.125;

impl Planner {
    /// Computes all desired exclusions, weights and levels, and composes them onto the pending updates.
    pub(crate) fn plan_updates(&mut self) {
        // A worker that is gone, with all its updates acknowledged, is forgotten with its exclusion: should it
        // return, it is unknown what the proxies still have of this worker.
        let forget_before = self.now - 2.0 * (self.settings.report_period + self.settings.max_transit);
        let concerns = |key: &UpdateKey, id: &WorkerId| matches!(key, UpdateKey::Exclusion(own) | UpdateKey::Line(_, own) if own == id);
        let settled = |id: &WorkerId, worker: &Worker| {
            worker.drain_requested_at < forget_before && !self.pending.iter().any(|key| concerns(key, id))
        };
        let forgotten = self
            .workers
            .extract_if(.., |id, worker| worker.listed.phase == Phase::Gone && settled(id, worker));
        for (worker, _) in forgotten {
            self.updates.retain(|key, _| !concerns(key, &worker));
            self.orders.push(Order::Forget { worker });
        }
        let exclusion_value = |worker: &Worker| f64::from(u8::from(worker.listed.phase != Phase::Ready));
        let exclusions = self.workers.iter().map(|(id, w)| (UpdateKey::Exclusion(*id), exclusion_value(w)));
        let mut desired: Vec<_> = exclusions.collect();
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
        // Load that each worker already has from groups planned before.
        let mut planned_loads: BTreeMap<WorkerId, f64> = BTreeMap::new();
        let mut tables: Vec<&Table> = self.tables.iter().collect();
        let worker_count =
            |table: &Table| self.workers.values().filter(|worker| table.includes(worker)).count();
        // Narrow tables first; a group is the tables that differ in the zone of their proxies only.
        tables.sort_by_cached_key(|table| (worker_count(table), table.ops.clone(), table.partition));
        let same_group = |a: &&Table, b: &&Table| {
            a.ops == b.ops && a.partition == b.partition && !a.operation.own_zone_only
        };
        for group in tables.chunk_by(same_group) {
            let workers: Vec<&Worker> = self.workers.values().filter(|w| group[0].includes(w)).collect();
            let total_weight =
                workers.iter().map(|worker| self.effective_weight(worker)).sum::<f64>().max(1e-9);
            let cold_ratio = self.cold_weight_ratio(&workers, total_weight);
            // Operations with many workers prefer those that narrower operations load less, and proxies prefer their
            // own zone where crossing zones is expensive.
            let already_planned =
                workers.iter().filter_map(|w| planned_loads.get(&w.listed.worker)).sum::<f64>();
            let group_demand = group.iter().map(|table| table_demand[&table.id]).sum::<f64>();
            let load_per_weight = (group_demand + already_planned) / total_weight;
            // By worker: the load of this group that still may be put on it.
            let mut room: Vec<f64> = Vec::new();
            for worker in &workers {
                let load = load_per_weight * self.effective_weight(worker);
                let planned = planned_loads.insert(worker.listed.worker, load).unwrap_or(0.0);
                room.push((load - planned).max(load * MIN_PREFERENCE_RATIO));
            }
            // The load that each table of the group puts on each worker: first on those of the zone of its proxies,
            // then the rest on all.
            let mut loads = vec![vec![0.0; workers.len()]; group.len()];
            for own_zone_only in [true, false] {
                for (table, loads) in group.iter().zip(&mut loads) {
                    let eligible = |index: &usize| {
                        !own_zone_only
                            || table.proxy_zone.is_none_or(|zone| zone == workers[*index].listed.zone)
                    };
                    let eligible: Vec<usize> = (0..workers.len()).filter(eligible).collect();
                    let total_room = eligible.iter().map(|index| room[*index]).sum::<f64>().max(1e-9);
                    let unplaced = table_demand[&table.id] - loads.iter().sum::<f64>();
                    let ratio = (unplaced / total_room).clamp(0.0, 1.0);
                    for index in eligible {
                        loads[index] += room[index] * ratio;
                        room[index] *= 1.0 - ratio;
                    }
                }
            }
            // Near overload, a partition that has less than its share of effective weight left (by load, failures or
            // cold workers) admits less.
            let limited = self.near_overload && group[0].partition.is_some();
            let load_ratio = load_per_weight * fleet_weight_per_demand;
            let partition_ratio =
                if limited { (MAX_PARTITION_LOAD_RATIO / load_ratio).min(1.0) } else { 1.0 };
            let admission_ratio = self.admission_ratio * partition_ratio;
            for (table, loads) in group.iter().zip(loads) {
                for (worker, load) in workers.iter().zip(loads) {
                    let even_load = table_demand[&table.id] * self.effective_weight(worker) / total_weight;
                    let preference = if even_load > 0.0 {
                        round_to_step((load / even_load).max(MIN_PREFERENCE_RATIO))
                    } else {
                        1.0
                    };
                    let cold_factor = if self.warm_up_ratio(&worker.listed) < 1.0 { cold_ratio } else { 1.0 };
                    let weight =
                        (self.effective_weight(worker) * preference * cold_factor * 1e3).round() / 1e3;
                    desired.push((UpdateKey::Line(table.id, worker.listed.worker), weight));
                }
                let keyed_level = |&op: &usize| {
                    let key = UpdateKey::Level(table.id, OpId(op as u8));
                    (key, self.admission_level(table, op, admission_ratio))
                };
                desired.extend(table.ops.iter().map(keyed_level));
            }
        }
        desired.retain(|(key, value)| self.compose(*key, *value));
        let in_force = |update: &UpdateState| {
            update.desired > 0.0 && update.sent == update.desired && update.awaited_mark.is_none()
        };
        let has_usable_line =
            |table: &Table| self.lines(table.id).any(|(id, line)| in_force(line) && !self.is_excluded(id));
        let usable: Vec<bool> = self.tables.iter().map(has_usable_line).collect();
        desired.into_iter().for_each(|(key, _)| self.add_ordering(key, &usable));
    }
}
