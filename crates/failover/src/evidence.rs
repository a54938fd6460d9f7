//! What one manager observed within and between zones since its last report.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

/// A zone by its name: zone ids differ between managers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Zone(pub String);

/// Results of the tries that proxies of one zone sent to workers of another zone, or of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePairStats {
    pub tries: f64,
    pub failed: f64,
    /// Sum of the response times of the tries that did not fail, in milliseconds.
    pub success_time_sum: Ms,
}

impl ZonePairStats {
    /// Adds the tries, failures and times of `other`.
    pub fn add(&mut self, other: &ZonePairStats) {
        self.tries += other.tries;
        self.failed += other.failed;
        self.success_time_sum += other.success_time_sum;
    }

    /// The mean response time of the tries that did not fail; `None` if there are none.
    pub fn mean_success_time(&self) -> Option<Ms> {
        let succeeded = self.tries - self.failed;
        (succeeded > 0.0).then(|| self.success_time_sum / succeeded)
    }

    /// The 95% confidence interval of the failure ratio (Wilson's score interval, 1927); it is wide for few tries.
    pub fn failure_ratio_bounds(&self) -> (f64, f64) {
        if self.tries <= 0.0 {
            return (0.0, 1.0);
        }
        // In the formula's symbols: n tries, of which the ratio p failed. 95% of a normal distribution lie within z = 1.96
        // standard deviations of its mean.
        let (n, z) = (self.tries, 1.96f64);
        let p = (self.failed / n).clamp(0.0, 1.0);
        let centre = p + z * z / (2.0 * n);
        let half_width = z * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        let scale = 1.0 + z * z / n;
        (((centre - half_width) / scale).max(0.0), ((centre + half_width) / scale).min(1.0))
    }
}

/// One manager's observations over one report period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Keyed by the zone of the proxies and the zone of the workers.
    pub pair_stats: BTreeMap<(Zone, Zone), ZonePairStats>,
    /// The summed weight of the workers that are listed as ready, each scaled by its warm-up.
    pub ready_weight: BTreeMap<Zone, f64>,
    /// The mean utilization that the workers of each zone reported.
    pub utilization: BTreeMap<Zone, f64>,
    /// Per zone: proxies joined at this manager, and how many of them have an overdue acknowledgement.
    pub proxies: BTreeMap<Zone, (u32, u32)>,
    /// Length of the observed period, in milliseconds.
    pub duration: Ms,
}

/// Accumulates observations until the next report.
#[derive(Clone, Debug, Default)]
pub struct EvidenceAccumulator {
    pair_stats: BTreeMap<(Zone, Zone), ZonePairStats>,
    /// Per zone: the sum of the reported utilizations and their count.
    utilization: BTreeMap<Zone, (f64, f64)>,
    /// When the last report was taken.
    last_taken_at: Ms,
}

impl EvidenceAccumulator {
    /// Adds results of tries that proxies of `proxy_zone` sent to a worker of `worker_zone`. `mean_success_time` covers
    /// the tries that did not fail.
    pub fn record(
        &mut self,
        proxy_zone: &Zone,
        worker_zone: &Zone,
        tries: f64,
        failed: f64,
        mean_success_time: Ms,
        utilization: Option<f64>,
    ) {
        let failed = failed.clamp(0.0, tries);
        let stats = ZonePairStats { tries, failed, success_time_sum: (tries - failed) * mean_success_time };
        self.pair_stats.entry((proxy_zone.clone(), worker_zone.clone())).or_default().add(&stats);
        if let Some(utilization) = utilization.filter(|utilization| utilization.is_finite()) {
            let (sum, count) = self.utilization.entry(worker_zone.clone()).or_default();
            (*sum, *count) = (*sum + utilization, *count + 1.0);
        }
    }

    /// Returns everything recorded since the last call, with the current weights and proxy counts, and resets the
    /// accumulator.
    pub fn take_evidence(
        &mut self,
        now: Ms,
        ready_weight: BTreeMap<Zone, f64>,
        proxies: BTreeMap<Zone, (u32, u32)>,
    ) -> Evidence {
        let utilization = std::mem::take(&mut self.utilization);
        let utilization = utilization.into_iter().map(|(zone, (sum, count))| (zone, sum / count)).collect();
        let duration = (now - self.last_taken_at).max(0.0);
        self.last_taken_at = now;
        Evidence {
            pair_stats: std::mem::take(&mut self.pair_stats),
            ready_weight,
            utilization,
            proxies,
            duration,
        }
    }
}
