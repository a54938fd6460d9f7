//! Assesses a zone from the evidence of all managers: distinguishes a lost zone from one that is cut off, overloaded,
//! slow or merely not reporting.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_consensus::MemberId;
use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, Zone, ZonePairStats};

/// With fewer tries, no conclusion is drawn from their results.
pub const MIN_TRIES: f64 = 8.0;
/// Most tries count as failing if the confidence interval of their failure ratio lies above this, and as succeeding if
/// it lies below. If the interval contains this ratio, the evidence is inconclusive.
const FAILING_RATIO: f64 = 0.5;
/// From this utilization on, slow and failing responses are attributed to a lack of capacity.
const FULL_UTILIZATION: f64 = 0.9;
/// A zone is slow if its mean response time exceeds the median of the other zones by this factor.
const SLOW_FACTOR: f64 = 2.0;
/// A fully utilized zone that is not slow counts as overloaded if the lower confidence bound of its failure ratio is
/// above this.
const MIN_OVERLOAD_FAILURE_RATIO: f64 = 0.05;

/// The state of a zone. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneHealth {
    /// There is too little evidence.
    Unknown,
    Well,
    /// Its proxies report nothing, but tries sent to it succeed.
    Silent,
    Slow,
    Overloaded,
    /// Its own proxies are served, but proxies of other zones are not.
    CutOff,
    /// Most tries sent to it fail, or it has no ready worker.
    Lost,
}

/// The recent evidence of all managers, combined.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Keyed by the zone of the proxies and the zone of the workers.
    pub pair_stats: BTreeMap<(Zone, Zone), ZonePairStats>,
    /// Per zone: the lowest of the reported sums of the ready workers' weights.
    pub ready_weight: BTreeMap<Zone, f64>,
    /// Per zone: the mean of the reported utilizations.
    pub utilization: BTreeMap<Zone, f64>,
    /// Tries per second sent to workers of a zone.
    pub load: BTreeMap<Zone, f64>,
    /// Tries per second sent by proxies of a zone.
    pub demand: BTreeMap<Zone, f64>,
    /// Per zone: joined proxies, and how many of them have an overdue acknowledgement.
    pub proxies: BTreeMap<Zone, (u32, u32)>,
}

impl FleetView {
    /// Combines the managers' reports. Each comes with its age; those older than `max_age` are ignored.
    pub fn from_evidence<'a>(
        reports: impl Iterator<Item = (MemberId, Ms, &'a Evidence)>,
        max_age: Ms,
    ) -> FleetView {
        let mut view = FleetView::default();
        // Per zone: the sum of the reported utilizations and their count.
        let mut utilization: BTreeMap<Zone, (f64, f64)> = BTreeMap::new();
        for (_, _, evidence) in reports.filter(|(_, age, _)| *age <= max_age) {
            for ((proxy_zone, worker_zone), stats) in &evidence.pair_stats {
                view.pair_stats.entry((proxy_zone.clone(), worker_zone.clone())).or_default().add(stats);
                let tries_to_rate = 1000.0 / evidence.duration.max(1.0);
                *view.load.entry(worker_zone.clone()).or_default() += stats.tries * tries_to_rate;
                *view.demand.entry(proxy_zone.clone()).or_default() += stats.tries * tries_to_rate;
            }
            for (zone, reported) in &evidence.utilization {
                let (sum, count) = utilization.entry(zone.clone()).or_default();
                (*sum, *count) = (*sum + reported, *count + 1.0);
            }
            // All managers follow the same worker list, so their weights differ only where some have not yet processed a
            // change. The lowest value counts: a higher one may come from a manager that has not learned of a loss.
            for (zone, weight) in &evidence.ready_weight {
                let lowest_weight = view.ready_weight.entry(zone.clone()).or_insert(*weight);
                *lowest_weight = lowest_weight.min(*weight);
            }
            for (zone, (joined, overdue)) in &evidence.proxies {
                let (total_joined, total_overdue) = view.proxies.entry(zone.clone()).or_default();
                (*total_joined, *total_overdue) = (*total_joined + joined, *total_overdue + overdue);
            }
        }
        view.utilization = utilization.into_iter().map(|(zone, (sum, count))| (zone, sum / count)).collect();
        view
    }

    /// All zones that tries went from or to, or whose ready weight was reported.
    pub fn zones(&self) -> BTreeSet<Zone> {
        let zones_with_tries =
            self.pair_stats.keys().flat_map(|(proxy_zone, worker_zone)| [proxy_zone, worker_zone]);
        zones_with_tries.chain(self.ready_weight.keys()).cloned().collect()
    }

    fn stats(&self, proxy_zone: &Zone, worker_zone: &Zone) -> ZonePairStats {
        self.pair_stats.get(&(proxy_zone.clone(), worker_zone.clone())).copied().unwrap_or_default()
    }

    /// Whether the proxies of `proxy_zone` reach any zone other than their own and `excluded_zone` or, if they tried none,
    /// their own. If not, the fault may be in `proxy_zone`, and their failures prove nothing about `excluded_zone`.
    fn reaches_others(&self, proxy_zone: &Zone, excluded_zone: &Zone) -> bool {
        let stats_of_third_zones = self.pair_stats.iter().filter(|((origin, worker_zone), _)| {
            origin == proxy_zone && worker_zone != proxy_zone && worker_zone != excluded_zone
        });
        let mut stats_of_third_zones = stats_of_third_zones.peekable();
        // Without tries at a third zone, the proxies count as working unless most tries within their own zone fail.
        let reaches_own_zone = || is_failing(&self.stats(proxy_zone, proxy_zone)) != Some(true);
        if stats_of_third_zones.peek().is_none() {
            return reaches_own_zone();
        }
        stats_of_third_zones.any(|(_, stats)| is_failing(stats) == Some(false))
    }

    /// Results of tries at `zone` by proxies of other zones, without those of zones whose own proxies may be at fault
    /// (see [`FleetView::reaches_others`]).
    fn stats_from_others(&self, zone: &Zone) -> ZonePairStats {
        let mut total = ZonePairStats::default();
        for ((proxy_zone, worker_zone), stats) in &self.pair_stats {
            if worker_zone == zone && proxy_zone != zone && self.reaches_others(proxy_zone, zone) {
                total.add(stats);
            }
        }
        total
    }
}

/// Whether most tries fail; `None` if the evidence is inconclusive.
fn is_failing(stats: &ZonePairStats) -> Option<bool> {
    if stats.tries < MIN_TRIES {
        return None;
    }
    match stats.failure_ratio_bounds() {
        (low, _) if low > FAILING_RATIO => Some(true),
        (_, high) if high < FAILING_RATIO => Some(false),
        _ => None,
    }
}

/// Assesses one zone. The first condition that applies decides.
pub fn assess_zone(view: &FleetView, zone: &Zone) -> ZoneHealth {
    if view.ready_weight.get(zone).is_some_and(|weight| *weight <= 0.0) {
        // Discovery lists no ready worker there.
        return ZoneHealth::Lost;
    }
    let (stats_from_others, own_stats) = (view.stats_from_others(zone), view.stats(zone, zone));
    match (is_failing(&stats_from_others), is_failing(&own_stats)) {
        (Some(true), Some(false)) => return ZoneHealth::CutOff,
        // Nothing shows that the zone's own proxies are served, so the zone counts as lost.
        (Some(true), _) => return ZoneHealth::Lost,
        // Too few tries came from other zones, and most of the zone's own fail.
        (None, Some(true)) if stats_from_others.tries < MIN_TRIES => return ZoneHealth::Lost,
        (None, None) => return ZoneHealth::Unknown,
        _ => {}
    }
    let mut all_stats = stats_from_others;
    all_stats.add(&own_stats);
    let utilization = view.utilization.get(zone).copied();
    let mean_times = view.zones().into_iter().filter(|other| other != zone).filter_map(|other| {
        let mut stats = view.stats_from_others(&other);
        stats.add(&view.stats(&other, &other));
        stats.mean_success_time()
    });
    let mut mean_times: Vec<Ms> = mean_times.collect();
    mean_times.sort_by(f64::total_cmp);
    // Of an even number of values the lower one in the middle.
    let median_of_others = mean_times.get(mean_times.len().saturating_sub(1) / 2).copied();
    let is_slow = all_stats
        .mean_success_time()
        .zip(median_of_others)
        .is_some_and(|(mean, median)| mean > SLOW_FACTOR * median);
    let has_failures = all_stats.failure_ratio_bounds().0 > MIN_OVERLOAD_FAILURE_RATIO;
    if utilization.is_some_and(|utilization| utilization >= FULL_UTILIZATION) && (is_slow || has_failures) {
        return ZoneHealth::Overloaded;
    }
    if is_slow {
        return ZoneHealth::Slow;
    }
    let sends_tries =
        view.pair_stats.iter().any(|((proxy_zone, _), stats)| proxy_zone == zone && stats.tries > 0.0);
    let has_joined_proxies = view.proxies.get(zone).is_some_and(|(joined, _)| *joined > 0);
    if !sends_tries && has_joined_proxies {
        return ZoneHealth::Silent;
    }
    ZoneHealth::Well
}
