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
const LOW_UTILIZATION: f64 = 0.7;
/// Least capacity estimate; it bounds the cut of the admission ratio in one step.
const MIN_CAPACITY_RATIO: f64 = 0.4;
/// Largest capacity estimate.
const MAX_CAPACITY_RATIO: f64 = 1.5;
/// Capacity estimate below which admission is cut.
const CUT_CAPACITY_RATIO: f64 = 0.85;
/// Capacity estimate from which admission is raised. Also the factor of a small raise.
const RAISE_CAPACITY_RATIO: f64 = 1.1;
/// Capacity estimate below which the fleet counts as near overload.
const NEAR_OVERLOAD_RATIO: f64 = 0.95;
/// Capacity estimate below which the fleet counts as near overload where proxies avoid workers that failed them.
const NEAR_OVERLOAD_AVOIDING_RATIO: f64 = 1.1;
/// Lowest admission ratio that a single cut may reach, or [`CUT_CAPACITY_RATIO`] times the current ratio if that is
/// lower.
const CUT_FLOOR_RATIO: f64 = 0.25;
/// Number of report delays after a cut during which samples are ignored if no report has utilization.
const IGNORED_DELAYS_AFTER_CUT: f64 = 1.75;
/// Least admission ratio.
const MIN_ADMISSION_RATIO: f64 = 0.12;
/// Fraction of the admission ratio at the last overload up to which admission may rise in large steps.
const QUICK_RAISE_RATIO: f64 = 0.8;
/// Admission level that stands for no limit, in invocations a second.
const UNLIMITED_PER_SECOND: f64 = 1e6;

impl Planner {
    /// Estimates the fleet's capacity relative to its current load, from samples received after `since`. At 1, the
    /// load is the one that admission aims at.
    ///
    /// The estimate is the least of those by latency, by failures and by utilization. Latency and failures are those
    /// of the median worker, since a single failing worker is no overload; utilization is the mean, and below
    /// `low_utilization` it rules overload out. Returns `None` if too few workers report tries.
    fn capacity_ratio(&self, since: Ms, low_utilization: f64) -> Option<f64> {
        let samples = self.workers.values().map(|worker| self.sum_samples(worker, since));
        let samples: Vec<Sample> = samples.filter(|sample| sample.tries > 0.0).collect();
        (samples.len() as f64 >= MIN_EVIDENCE_COUNT).then_some(())?;
        let objectives = self.settings.operations.iter().map(|op| op.latency_objective);
        let mean_latency =
            |sample: &Sample| sample.success_time / (sample.tries - sample.failed_tries).max(1.0);
        let median_latency = median(samples.iter().map(mean_latency).collect());
        let failed_ratio = median(samples.iter().map(|sample| sample.failed_tries / sample.tries).collect());
        let shedding = self.admission_ratio < 1.0;
        let target_ratio = if shedding { SHEDDING_LATENCY_RATIO } else { FULL_ADMISSION_LATENCY_RATIO };
        let target_latency = target_ratio * objectives.fold(f64::INFINITY, f64::min);
        let by_latency = (target_latency / median_latency.max(1.0)).sqrt();
        let mean_utilization = mean(samples.iter().filter_map(|sample| sample.utilization));
        let by_utilization = (TARGET_UTILIZATION / mean_utilization.unwrap_or(0.0).max(0.1)).powi(2);
        let total_tries: f64 = samples.iter().map(|sample| sample.tries).sum();
        // Failed and slow tries at low utilization are no overload: responses are lost on the network, or clients
        // cancel. At low utilization, the estimate by latency and failures counts as at least this much: enough for a
        // small raise in an unpartitioned fleet, the largest estimate in a partitioned one.
        let low_utilization_capacity =
            [RAISE_CAPACITY_RATIO, MAX_CAPACITY_RATIO][self.partition_count.min(1)];
        let low_utilization_estimate = mean_utilization
            .filter(|utilization| *utilization < low_utilization)
            .map_or(0.0, |_| low_utilization_capacity);
        let by_failures = MAX_CAPACITY_RATIO * (1.0 - failed_ratio).powi(2);
        let estimate = by_latency.min(by_failures).max(low_utilization_estimate);
        // From 0 without tries towards 1 with many: as an exponent, it draws an estimate from few tries towards 1.
        let confidence = total_tries / (total_tries + MIN_EVIDENCE_COUNT * MIN_EVIDENCE_COUNT);
        let bounded_estimate = estimate.min(by_utilization).clamp(MIN_CAPACITY_RATIO, MAX_CAPACITY_RATIO);
        Some(bounded_estimate.powf(confidence))
    }

    /// Lowers the admission ratio when the fleet is overloaded and raises it again as capacity returns.
    pub(crate) fn adjust_admission(&mut self) {
        let now = self.now;
        let report_delay = self.settings.report_period + self.settings.max_transit;
        // Utilization is reported with a delay, so low utilization does not rule out that the fleet is near overload:
        // failed and slow tries keep cold workers out even then.
        let Some(capacity) = self.capacity_ratio(now - report_delay, 0.0) else { return };
        let near_overload_limit = if self.settings.proxies_avoid_outliers {
            NEAR_OVERLOAD_AVOIDING_RATIO
        } else {
            NEAR_OVERLOAD_RATIO
        };
        self.near_overload = capacity < near_overload_limit;
        let no_utilization = self
            .workers
            .values()
            .flat_map(|worker| &worker.samples)
            .all(|sample| sample.utilization.is_none());
        // Without any reported utilization, a second cut would be based on tries that began before the first one, so
        // after a cut only later reports count.
        let ignores_late_reports = no_utilization && self.admission_ratio < 1.0 && !self.admission_rising;
        let ignored_time =
            if ignores_late_reports { IGNORED_DELAYS_AFTER_CUT * report_delay } else { report_delay };
        let since = (self.admission_changed_at + ignored_time).max(now - report_delay);
        let Some(recent_capacity) = self.capacity_ratio(since, LOW_UTILIZATION) else { return };
        let cut_floor =
            CUT_FLOOR_RATIO.min(self.admission_ratio * CUT_CAPACITY_RATIO).max(MIN_ADMISSION_RATIO);
        // Raises are large up to `QUICK_RAISE_RATIO` of the ratio at the last overload, and small beyond.
        let small_raise = self.admission_ratio * RAISE_CAPACITY_RATIO;
        let raise_limit = small_raise.max(QUICK_RAISE_RATIO * self.overloaded_ratio);
        // Without reported utilization, a raise takes the square of the estimate.
        let step_factor = if no_utilization {
            recent_capacity.max(recent_capacity * recent_capacity)
        } else {
            recent_capacity
        };
        let next = (self.admission_ratio * step_factor).min(raise_limit).clamp(cut_floor, 1.0);
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

    /// The admission level of a table's operation, in the unit of `Settings::level_kind`; the lower the operation's
    /// billed value, the more of it is rejected.
    ///
    /// A level in invocations a second is the same at all proxies of the table. It is chosen such that together they
    /// admit the same share of their demand as a level in shares would admit; proxies whose demand is below the level
    /// keep all of theirs.
    pub(crate) fn admission_level(&self, table: &Table, op: usize, admission_ratio: f64) -> f64 {
        let mean_billed_value =
            mean(self.settings.operations.iter().map(|op| op.billed_value)).unwrap_or(1.0);
        let value_ratio = mean_billed_value / self.settings.operations[op].billed_value.max(1e-9);
        let admitted_share = admission_ratio.powf(value_ratio);
        let is_share = self.settings.level_kind == LevelKind::Share;
        // None where all is admitted or the level is the share itself.
        let limited_proxies = table.bound_proxies.iter().filter(|_| admitted_share < 1.0 && !is_share);
        let mut rates: Vec<f64> = limited_proxies.map(|id| self.demand(&self.proxies[id], op)).collect();
        rates.sort_by(f64::total_cmp);
        // In order of demand, each proxy with less demand than an even part of the remaining rate keeps all of it; the
        // first with more sets the level, which also limits those after it.
        let mut remaining_rate = rates.iter().sum::<f64>() * admitted_share;
        for (index, rate) in rates.iter().enumerate() {
            let even_rate = remaining_rate / (rates.len() - index) as f64;
            if *rate >= even_rate && even_rate > 0.0 {
                return round_to_step(even_rate.max(0.1));
            }
            remaining_rate -= rate;
        }
        admitted_share.max(if is_share { 0.0 } else { UNLIMITED_PER_SECOND })
    }
}
