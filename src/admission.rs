//! Admission: which part of the demand the fleet has capacity for, and the levels that result.

use crate::numbers::{mean, median, round_to_step};
use crate::weights::MIN_EVIDENCE_COUNT;
use crate::{Planner, Proxy, Sample, Table};
use juniperrail_interface::*;

/// Target of the mean latency while demand is being rejected, relative to the latency objective.
const SHEDDING_LATENCY_RATIO: f64 = 0.4;
/// Target of the mean latency while all demand is admitted, relative to the latency objective.
const FULL_ADMISSION_LATENCY_RATIO: f64 = 0.47;
/// Mean utilization of the workers that admission aims at.
const TARGET_UTILIZATION: f64 = 0.85;
/// Utilization below which failed and slow tries are not attributed to overload.
const IDLE_UTILIZATION: f64 = 0.7;
/// Least capacity estimate, and so the deepest cut of the admission ratio in one step.
const MIN_CAPACITY_RATIO: f64 = 0.4;
/// Largest capacity estimate.
const MAX_CAPACITY_RATIO: f64 = 1.5;
/// Capacity estimate below which admission is cut.
const CUT_CAPACITY_RATIO: f64 = 0.85;
/// Capacity estimate from which admission is raised, and the factor of a small raise.
const RAISE_CAPACITY_RATIO: f64 = 1.1;
/// Capacity estimate below which the fleet counts as near overload.
const NEAR_OVERLOAD_RATIO: f64 = 0.95;
/// Capacity estimate below which the fleet counts as near overload where proxies avoid workers that failed them.
const NEAR_OVERLOAD_AVOIDING_RATIO: f64 = 1.1;
/// Lowest admission ratio that a single cut may reach. If [`CUT_CAPACITY_RATIO`] times the current ratio is lower, that
/// is the limit instead.
const CUT_FLOOR_RATIO: f64 = 0.25;
/// Number of report delays after a cut during which samples are ignored if no report has utilization.
const IGNORED_DELAYS_AFTER_CUT: f64 = 1.75;
/// Least admission ratio.
const MIN_ADMISSION_RATIO: f64 = 0.12;
/// Ratio of the admission ratio at the last overload. Up to it, admission may rise in large steps.
const QUICK_RAISE_RATIO: f64 = 0.8;
/// Admission level that stands for no limit, in invocations a second.
const UNLIMITED_PER_SECOND: f64 = 1e6;

impl Planner {
    /// Estimates the fleet's capacity relative to its current load, from samples received after `since`.
    ///
    /// Latency and failures are those of the median worker, since a single failing worker is no overload; utilization
    /// is the mean. Utilization below `idle_below` rules overload out. Returns `None` if too few workers report tries.
    fn capacity_ratio(&self, since: Ms, idle_below: f64) -> Option<f64> {
        let samples = self.workers.values().map(|worker| self.sum_samples(worker, since));
        let samples: Vec<Sample> = samples.filter(|sample| sample.tries > 0.0).collect();
        (samples.len() as f64 >= MIN_EVIDENCE_COUNT).then_some(())?;
        let objectives = self.settings.operations.iter().map(|op| op.latency_objective);
        let mean_latency =
            |sample: &Sample| sample.success_time / (sample.tries - sample.failed_tries).max(1.0);
        let median_latency = median(samples.iter().map(mean_latency).collect());
        let failed_ratio = median(samples.iter().map(|sample| sample.failed_tries / sample.tries).collect());
        let shedding = self.admission_ratio < 1.0;
        let target = if shedding { SHEDDING_LATENCY_RATIO } else { FULL_ADMISSION_LATENCY_RATIO };
        let by_latency = (target * objectives.fold(f64::INFINITY, f64::min) / median_latency.max(1.0)).sqrt();
        let utilization = mean(samples.iter().filter_map(|sample| sample.utilization));
        let by_utilization = (TARGET_UTILIZATION / utilization.unwrap_or(0.0).max(0.1)).powi(2);
        let tries: f64 = samples.iter().map(|sample| sample.tries).sum();
        // Failed and slow tries at low utilization are no overload: responses are lost on the network, or clients
        // cancel. Low utilization lets admission rise by a tenth at a time, in a partitioned fleet by the largest step.
        let idle_raise = [RAISE_CAPACITY_RATIO, MAX_CAPACITY_RATIO][self.partition_count.min(1)];
        let by_idleness = utilization.filter(|ratio| *ratio < idle_below).map_or(0.0, |_| idle_raise);
        let by_failures = MAX_CAPACITY_RATIO * (1.0 - failed_ratio).powi(2);
        let estimate = by_latency.min(by_failures).max(by_idleness);
        let confidence = tries / (tries + MIN_EVIDENCE_COUNT * MIN_EVIDENCE_COUNT);
        Some(estimate.min(by_utilization).clamp(MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO).powf(confidence))
    }

    /// Lowers the admission ratio when the fleet is overloaded and raises it again as capacity returns.
    pub(crate) fn adjust_admission(&mut self) {
        let now = self.now;
        let report_delay = self.settings.report_period + self.settings.max_transit;
        // Utilization is reported with a delay, so low utilization does not rule out that the fleet is near overload:
        // failed and slow tries keep cold workers out even then.
        let Some(capacity) = self.capacity_ratio(now - report_delay, 0.0) else { return };
        let avoiding = self.settings.proxies_avoid_outliers;
        self.near_overload =
            capacity < if avoiding { NEAR_OVERLOAD_AVOIDING_RATIO } else { NEAR_OVERLOAD_RATIO };
        let no_utilization = self
            .workers
            .values()
            .flat_map(|worker| &worker.samples)
            .all(|sample| sample.utilization.is_none());
        // Without any reported utilization, a second cut would be based on tries that began before the first one, so
        // after a cut only later reports count.
        let after_cut = no_utilization && self.admission_ratio < 1.0 && !self.admission_rising;
        let ignored_time = if after_cut { IGNORED_DELAYS_AFTER_CUT * report_delay } else { report_delay };
        let since = (self.admission_changed_at + ignored_time).max(now - report_delay);
        let Some(recent_capacity) = self.capacity_ratio(since, IDLE_UTILIZATION) else { return };
        let cut_floor =
            CUT_FLOOR_RATIO.min(self.admission_ratio * CUT_CAPACITY_RATIO).max(MIN_ADMISSION_RATIO);
        // Raises are large up to `QUICK_RAISE_RATIO` of the ratio at the last overload, and small beyond.
        let small_raise = self.admission_ratio * RAISE_CAPACITY_RATIO;
        let raise_limit = small_raise.max(QUICK_RAISE_RATIO * self.overloaded_ratio);
        let factor = if no_utilization {
            recent_capacity.max(recent_capacity * recent_capacity)
        } else {
            recent_capacity
        };
        let next = (self.admission_ratio * factor).min(raise_limit).clamp(cut_floor, 1.0);
        let needs_cut = recent_capacity < CUT_CAPACITY_RATIO;
        let allows_raise = recent_capacity >= RAISE_CAPACITY_RATIO;
        if next != self.admission_ratio && (needs_cut || allows_raise) {
            // Only a cut after a raise marks where the fleet is overloaded: cuts in a row are one overload.
            let cut_after_raise = next < self.admission_ratio && self.admission_rising;
            self.overloaded_ratio =
                if cut_after_raise { self.admission_ratio } else { self.overloaded_ratio };
            self.admission_rising = next > self.admission_ratio;
            self.admission_ratio = next;
            self.admission_changed_at = now;
            let text = format!(
                "admitting {next:.2} of demand: estimated capacity is {recent_capacity:.2} of the load"
            );
            self.orders.push(Order::Log { about: None, text });
        }
    }

    /// Invocations a second of an operation at a proxy: the mean of its reports or, if there are none, an even
    /// share of the rate that it joined with.
    pub(crate) fn demand(&self, proxy: &Proxy, op: usize) -> f64 {
        let rates = proxy.demand.get(&OpId(op as u8)).into_iter().flatten();
        mean(rates.copied()).unwrap_or(proxy.inv_per_second / self.settings.operations.len() as f64)
    }

    /// The admission level of a table's operation; the lower its billed value, the more of it is rejected.
    ///
    /// A level in invocations a second is the same at all proxies of the table: it is chosen such that they admit
    /// the right share together, and proxies with little demand keep all of theirs.
    pub(crate) fn admission_level(&self, table: &Table, op: usize, admission_ratio: f64) -> f64 {
        let mean_value = mean(self.settings.operations.iter().map(|op| op.billed_value)).unwrap_or(1.0);
        let share = admission_ratio.powf(mean_value / self.settings.operations[op].billed_value.max(1e-9));
        let is_share = self.settings.level_kind == LevelKind::Share;
        let limited = table.bound_proxies.iter().filter(|_| share < 1.0 && !is_share);
        let mut rates: Vec<f64> = limited.map(|id| self.demand(&self.proxies[id], op)).collect();
        rates.sort_by(f64::total_cmp);
        let mut rate_left = rates.iter().sum::<f64>() * share;
        for (index, rate) in rates.iter().enumerate() {
            let even_rate = rate_left / (rates.len() - index) as f64;
            if *rate >= even_rate && even_rate > 0.0 {
                return round_to_step(even_rate.max(0.1));
            }
            rate_left -= rate;
        }
        share.max(if is_share { 0.0 } else { UNLIMITED_PER_SECOND })
    }
}
