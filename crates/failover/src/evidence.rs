//! What one manager has seen since it last told.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

/// A zone by its name: ids differ from manager to manager.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Zone(pub String);

/// What the proxies of one zone met at the workers of another, or of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePairStats {
    pub tries: f64,
    pub failed: f64,
    /// The sum of the times of those that were not bad, in milliseconds.
    pub success_time_sum: Ms,
}

impl ZonePairStats {
    pub fn add(&mut self, other: &ZonePairStats) {
        self.tries += other.tries;
        self.failed += other.failed;
        self.success_time_sum += other.success_time_sum;
    }

    /// The mean time of those that were not bad.
    pub fn mean_success_time(&self) -> Option<Ms> {
        let good = self.tries - self.failed;
        (good > 0.0).then(|| self.success_time_sum / good)
    }

    /// Bounds of the part that is bad, 95 times in 100 (Wilson's score interval, 1927): few tries tell little.
    pub fn failure_ratio_bounds(&self) -> (f64, f64) {
        if self.tries <= 0.0 {
            return (0.0, 1.0);
        }
        let (n, z) = (self.tries, 1.96f64);
        let p = (self.failed / n).clamp(0.0, 1.0);
        let centre = p + z * z / (2.0 * n);
        let half = z * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        let scale = 1.0 + z * z / n;
        (((centre - half) / scale).max(0.0), ((centre + half) / scale).min(1.0))
    }
}

/// One manager's word on a stretch of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// By the zone of the proxies and the zone of the workers.
    pub pair_stats: BTreeMap<(Zone, Zone), ZonePairStats>,
    /// The weight of the workers that are listed as ready, each by its warmth.
    pub ready_weight: BTreeMap<Zone, f64>,
    /// How busy the workers said they were, on the mean.
    pub utilization: BTreeMap<Zone, f64>,
    /// Proxies joined here, and those of them that owe an answer and are silent.
    pub proxies: BTreeMap<Zone, (u32, u32)>,
    /// The stretch of time.
    pub duration: Ms,
}

/// Adds up what comes until it is told.
#[derive(Clone, Debug, Default)]
pub struct EvidenceAccumulator {
    pair_stats: BTreeMap<(Zone, Zone), ZonePairStats>,
    busy: BTreeMap<Zone, (f64, f64)>,
    since: Ms,
}

impl EvidenceAccumulator {
    /// What proxies of `from` met at a worker of `to`. `mean`: the time of those that were not bad.
    pub fn record(&mut self, from: &Zone, to: &Zone, tries: f64, bad: f64, mean: Ms, busy: Option<f64>) {
        let bad = bad.clamp(0.0, tries);
        let cell = ZonePairStats { tries, failed: bad, success_time_sum: (tries - bad) * mean };
        self.pair_stats.entry((from.clone(), to.clone())).or_default().add(&cell);
        if let Some(busy) = busy.filter(|busy| busy.is_finite()) {
            let sum = self.busy.entry(to.clone()).or_default();
            (sum.0, sum.1) = (sum.0 + busy, sum.1 + 1.0);
        }
    }

    /// All since it was last told, with what holds now.
    pub fn take_evidence(
        &mut self,
        now: Ms,
        weight: BTreeMap<Zone, f64>,
        proxies: BTreeMap<Zone, (u32, u32)>,
    ) -> Evidence {
        let busy = std::mem::take(&mut self.busy);
        let busy = busy.into_iter().map(|(zone, (sum, count))| (zone, sum / count)).collect();
        let over = (now - self.since).max(0.0);
        self.since = now;
        Evidence {
            pair_stats: std::mem::take(&mut self.pair_stats),
            ready_weight: weight,
            utilization: busy,
            proxies,
            duration: over,
        }
    }
}
