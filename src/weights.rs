//! Weights of workers by the cost of their tries, their utilization and their warm-up.

use crate::numbers::mean;
use crate::{Planner, Sample, Worker};
use juniperrail_interface::*;

/// Fraction of its weight that a cold worker keeps while near overload, where it is not kept out altogether.
const NEAR_OVERLOAD_COLD_RATIO: f64 = 0.5;
/// Number of steps in which a cold worker's weight rises during its warm-up; each step costs a line at each proxy.
const WARM_UP_STEPS: f64 = 4.0;
/// Number of tries, or of workers that report tries, that is enough evidence to act on.
pub(crate) const MIN_EVIDENCE_COUNT: f64 = 4.0;
/// Limit, in absolute value, of the exponent by which a weight factor follows the worker's cost relative to its peers'.
const WEIGHT_GAIN_EXPONENT: f64 = 0.6;
/// A weight factor is not adjusted while the worker's cost is within this factor above or below its peers'.
const WEIGHT_DEADBAND_RATIO: f64 = 1.2;
/// Least factor by which one adjustment multiplies a weight factor.
const MIN_WEIGHT_STEP_RATIO: f64 = 0.2;
/// Largest factor by which one adjustment multiplies a weight factor.
const MAX_WEIGHT_STEP_RATIO: f64 = 1.6;
/// Least weight factor of a worker. It is above 0, so that some tries still show whether the worker has recovered.
const MIN_WEIGHT_FACTOR: f64 = 0.05;
/// Largest weight factor of a warm worker.
const MAX_WEIGHT_FACTOR: f64 = 2.0;
/// Weight factor below which a worker counts as low.
const LOW_WEIGHT_FACTOR: f64 = 0.5;
/// Fraction of the ready workers' listed weight that may belong to workers with a low weight factor.
const MAX_LOW_FLEET_RATIO: f64 = 0.35;

impl Planner {
    /// The fraction of its full capacity that a worker has at this point of its warm-up. It rises from the cold share
    /// to 1 in [`WARM_UP_STEPS`] steps.
    pub(crate) fn warm_up_ratio(&self, listed: &WorkerEntry) -> f64 {
        let Some(started_at) = listed.started_at.filter(|_| self.settings.warm_up > 0.0) else { return 1.0 };
        let completed_steps = ((self.now - started_at) / self.settings.warm_up * WARM_UP_STEPS).floor();
        let progress = completed_steps / WARM_UP_STEPS;
        let cold_share = self.settings.cold_share.clamp(0.01, 1.0);
        (cold_share + (1.0 - cold_share) * progress.clamp(0.0, 1.0)).min(1.0)
    }

    /// Sums a worker's samples that were received after `since`; the utilization is the mean of theirs.
    pub(crate) fn sum_samples(&self, worker: &Worker, since: Ms) -> Sample {
        let recent_samples = || worker.samples.iter().filter(|sample| sample.received_at > since);
        let sum = |field: fn(&Sample) -> f64| recent_samples().map(field).sum::<f64>();
        let utilization = mean(recent_samples().filter_map(|sample| sample.utilization));
        Sample {
            received_at: since,
            tries: sum(|sample| sample.tries),
            failed_tries: sum(|sample| sample.failed_tries),
            success_time: sum(|sample| sample.success_time),
            utilization,
        }
    }

    /// Adjusts the weight factor of each worker whose tries cost more or less than its peers', or that is busier or
    /// less busy than they are, whatever the cause.
    ///
    /// The cost of a try is its time in milliseconds; a failed try counts as twice the largest latency objective. Only
    /// [`MAX_LOW_FLEET_RATIO`] of the ready workers' listed weight may belong to workers below [`LOW_WEIGHT_FACTOR`].
    pub(crate) fn adjust_weights(&mut self) {
        let now = self.now;
        let report_delay = self.settings.report_period + self.settings.max_transit;
        let objectives = self.settings.operations.iter().map(|op| op.latency_objective);
        let failure_cost = 2.0 * objectives.fold(0.0, f64::max);
        let fleet_since = now - 2.0 * report_delay;
        let fleet: Vec<_> =
            self.workers.values().map(|worker| self.sum_samples(worker, fleet_since)).collect();
        let total_tries: f64 = fleet.iter().map(|sums| sums.tries).sum();
        let total_cost =
            fleet.iter().map(|sums| sums.success_time + sums.failed_tries * failure_cost).sum::<f64>();
        let mean_cost = total_cost / total_tries;
        let mean_utilization = mean(fleet.iter().filter_map(|sums| sums.utilization));
        let ready_workers = || self.workers.values().filter(|worker| worker.listed.phase == Phase::Ready);
        // Listed weight of the ready workers, and of those among them whose weight factor is low.
        let fleet_weight: f64 = ready_workers().map(|worker| worker.listed.weight).sum();
        let low_workers = ready_workers().filter(|worker| worker.weight_factor < LOW_WEIGHT_FACTOR);
        let mut low_weight: f64 = low_workers.map(|worker| worker.listed.weight).sum();
        for id in self.workers.keys().copied().collect::<Vec<WorkerId>>() {
            let worker = &self.workers[&id];
            // Earlier reports may contain tries that were sent under the previous weight.
            let own = self.sum_samples(worker, worker.weight_adjusted_at + report_delay);
            let own_tries = own.tries;
            // Mean cost of the worker's tries relative to the fleet's. Where utilization is reported, the geometric
            // mean of this ratio and the worker's utilization relative to the fleet's.
            let mut cost_ratio = (own.success_time + own.failed_tries * failure_cost) / own_tries / mean_cost;
            if let (Some(own_utilization), Some(mean_utilization)) = (own.utilization, mean_utilization) {
                let utilization_ratio = (own_utilization / mean_utilization.max(0.1)).max(0.2);
                cost_ratio = (cost_ratio * utilization_ratio).sqrt();
            }
            let adjusted_recently = now < worker.weight_adjusted_at + 2.0 * self.settings.report_period;
            // Both the worker and its peers need enough tries.
            if adjusted_recently
                || own_tries.min(total_tries - own_tries) < MIN_EVIDENCE_COUNT
                || cost_ratio > 1.0 / WEIGHT_DEADBAND_RATIO && cost_ratio < WEIGHT_DEADBAND_RATIO
            {
                continue;
            }
            // The more tries, the closer the exponent comes to its limit.
            let exponent = -WEIGHT_GAIN_EXPONENT * own_tries / (own_tries + MIN_EVIDENCE_COUNT);
            let step_factor =
                cost_ratio.max(0.01).powf(exponent).clamp(MIN_WEIGHT_STEP_RATIO, MAX_WEIGHT_STEP_RATIO);
            let max_factor = if self.warm_up_ratio(&worker.listed) < 1.0 { 1.0 } else { MAX_WEIGHT_FACTOR };
            let was_low = worker.weight_factor < LOW_WEIGHT_FACTOR;
            let listed_weight = worker.listed.weight;
            let may_be_low = was_low || low_weight + listed_weight <= fleet_weight * MAX_LOW_FLEET_RATIO;
            let min_factor = if may_be_low { MIN_WEIGHT_FACTOR } else { LOW_WEIGHT_FACTOR };
            let factor = (worker.weight_factor * step_factor).clamp(min_factor, max_factor);
            if factor < LOW_WEIGHT_FACTOR && !was_low {
                low_weight += listed_weight;
                let text =
                    format!("weight factor lowered to {factor:.2}: cost {cost_ratio:.2} times its peers'");
                self.orders.push(Order::Log { about: Some(id), text });
            }
            self.workers.entry(id).and_modify(|worker| {
                worker.weight_factor = factor;
                worker.weight_adjusted_at = now;
            });
        }
    }

    /// The listed weight times the weight factor and the warm-up ratio; 0 if the worker is not ready.
    pub(crate) fn effective_weight(&self, worker: &Worker) -> f64 {
        let ready_factor = f64::from(u8::from(worker.listed.phase == Phase::Ready));
        ready_factor * worker.listed.weight * worker.weight_factor * self.warm_up_ratio(&worker.listed)
    }

    /// The fraction of its effective weight that a cold worker gets in a group of tables, given the group's workers and
    /// the sum of their effective weights.
    ///
    /// It falls with this sum: the load that overloaded workers lose would otherwise move to those that have just
    /// started.
    pub(crate) fn cold_weight_ratio(&self, workers: &[&Worker], effective_weight: f64) -> f64 {
        let present_workers = || workers.iter().filter(|worker| worker.listed.phase != Phase::Gone);
        let present_weight = present_workers().map(|worker| worker.listed.weight).sum::<f64>().max(1e-9);
        let warm_workers = present_workers().filter(|worker| {
            worker.listed.phase == Phase::Ready && self.warm_up_ratio(&worker.listed) >= 1.0
        });
        let warm_weight = warm_workers.map(|worker| worker.listed.weight).sum::<f64>();
        let overload_factor = self.settings.overload_factor;
        // Near overload, a cold worker gets nothing where proxies avoid workers that failed them, as it may be all
        // that is left to pick, or where the fleet is partitioned; but only while warm workers have over half of the
        // present weight.
        let may_get_none = self.settings.proxies_avoid_outliers || self.partition_count > 0;
        let gets_none = self.near_overload && may_get_none && 2.0 * warm_weight > present_weight;
        let overload_factor_ratio = if gets_none { 0.0 } else { (overload_factor / 4.0).min(1.0) };
        // Near overload in a partitioned fleet, or where proxies avoid no workers, what a cold worker gets is halved.
        let halved =
            self.near_overload && (self.partition_count > 0 || !self.settings.proxies_avoid_outliers);
        let near_overload_ratio = if halved { NEAR_OVERLOAD_COLD_RATIO } else { 1.0 };
        // Full from an effective weight of 2 / overload_factor of the present weight, proportionally less below.
        let remaining_weight_ratio = (effective_weight / present_weight * overload_factor / 2.0).min(1.0);
        near_overload_ratio * overload_factor_ratio * remaining_weight_ratio
    }
}
