//! How a zone is, by what all managers have seen: lost, cut off, overloaded, slow and merely silent told apart.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_council::MemberId;
use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, Zone, ZonePairStats};

/// Tries that are evidence at all.
pub const MIN_TRIES: f64 = 8.0;
/// Most tries fail, or most do not: what lies between is not sure.
const MOST: f64 = 0.5;
/// From this busyness on, late and failing answers are for want of capacity.
const FULL: f64 = 0.9;
/// Against the middle zone's time.
const SLOW: f64 = 2.0;
/// A part of failures that an overloaded zone has at the least.
const STRAINED: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneHealth {
    /// Too little is seen of it.
    Unknown,
    Well,
    /// Nobody reports from it, and who tries it is served.
    Silent,
    Slow,
    Overloaded,
    /// It serves its own, and nobody else reaches it.
    CutOff,
    /// It serves nobody.
    Lost,
}

/// All evidence that is fresh enough, put together.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    pub pair_stats: BTreeMap<(Zone, Zone), ZonePairStats>,
    pub ready_weight: BTreeMap<Zone, f64>,
    pub utilization: BTreeMap<Zone, f64>,
    /// Tries a second that end at a zone.
    pub load: BTreeMap<Zone, f64>,
    /// Tries a second that proxies of a zone make.
    pub demand: BTreeMap<Zone, f64>,
    pub proxies: BTreeMap<Zone, (u32, u32)>,
}

impl FleetView {
    /// From each manager's newest words, with how long ago each came; what is older than `oldest` counts no more.
    pub fn from_evidence<'a>(
        words: impl Iterator<Item = (MemberId, Ms, &'a Evidence)>,
        oldest: Ms,
    ) -> FleetView {
        let mut world = FleetView::default();
        let mut busy: BTreeMap<Zone, (f64, f64)> = BTreeMap::new();
        for (_, _, word) in words.filter(|(_, age, _)| *age <= oldest) {
            for ((from, to), cell) in &word.pair_stats {
                world.pair_stats.entry((from.clone(), to.clone())).or_default().add(cell);
                let second = 1000.0 / word.duration.max(1.0);
                *world.load.entry(to.clone()).or_default() += cell.tries * second;
                *world.demand.entry(from.clone()).or_default() += cell.tries * second;
            }
            for (zone, of) in &word.utilization {
                let sum = busy.entry(zone.clone()).or_default();
                (sum.0, sum.1) = (sum.0 + of, sum.1 + 1.0);
            }
            // The list is one and the same: who has the most of it has heard the latest, or has not heard of a loss yet.
            for (zone, weight) in &word.ready_weight {
                let known = world.ready_weight.entry(zone.clone()).or_insert(*weight);
                *known = known.min(*weight);
            }
            for (zone, (joined, silent)) in &word.proxies {
                let known = world.proxies.entry(zone.clone()).or_default();
                *known = (known.0 + joined, known.1 + silent);
            }
        }
        world.utilization = busy.into_iter().map(|(zone, (sum, count))| (zone, sum / count)).collect();
        world
    }

    pub fn zones(&self) -> BTreeSet<Zone> {
        let tried = self.pair_stats.keys().flat_map(|(from, to)| [from, to]);
        tried.chain(self.ready_weight.keys()).cloned().collect()
    }

    fn cell(&self, from: &Zone, to: &Zone) -> ZonePairStats {
        self.pair_stats.get(&(from.clone(), to.clone())).copied().unwrap_or_default()
    }

    /// Whether the proxies of a zone see beyond it at all: the word of one that sees nobody is no word on anybody.
    fn sees(&self, from: &Zone, but: &Zone) -> bool {
        let beyond = self.pair_stats.iter().filter(|((of, to), _)| of == from && to != from && to != but);
        let mut beyond = beyond.peekable();
        // Where there is nobody else to see, its own zone shows that it is well itself.
        let own = || failing(&self.cell(from, from)) != Some(true);
        if beyond.peek().is_none() {
            return own();
        }
        beyond.any(|(_, cell)| failing(cell) == Some(false))
    }

    /// What others met at a zone, of those whose word counts.
    fn met_by_others(&self, zone: &Zone) -> ZonePairStats {
        let mut met = ZonePairStats::default();
        for ((from, to), cell) in &self.pair_stats {
            if to == zone && from != zone && self.sees(from, zone) {
                met.add(cell);
            }
        }
        met
    }
}

/// Whether most tries fail; `None` where that is not sure.
fn failing(cell: &ZonePairStats) -> Option<bool> {
    if cell.tries < MIN_TRIES {
        return None;
    }
    match cell.failure_ratio_bounds() {
        (low, _) if low > MOST => Some(true),
        (_, high) if high < MOST => Some(false),
        _ => None,
    }
}

pub fn assess_zone(world: &FleetView, zone: &Zone) -> ZoneHealth {
    if world.ready_weight.get(zone).is_some_and(|weight| *weight <= 0.0) {
        // Discovery itself says that nobody is left.
        return ZoneHealth::Lost;
    }
    let (others, own) = (world.met_by_others(zone), world.cell(zone, zone));
    match (failing(&others), failing(&own)) {
        (Some(true), Some(false)) => return ZoneHealth::CutOff,
        // Where its own say nothing any more, nobody is served there.
        (Some(true), _) => return ZoneHealth::Lost,
        (None, Some(true)) if others.tries < MIN_TRIES => return ZoneHealth::Lost,
        (None, None) => return ZoneHealth::Unknown,
        _ => {}
    }
    let mut all = others;
    all.add(&own);
    let busy = world.utilization.get(zone).copied();
    let means = world.zones().into_iter().filter(|other| other != zone).filter_map(|other| {
        let mut met = world.met_by_others(&other);
        met.add(&world.cell(&other, &other));
        met.mean_success_time()
    });
    let mut means: Vec<Ms> = means.collect();
    means.sort_by(f64::total_cmp);
    let middle = means.get(means.len().saturating_sub(1) / 2).copied();
    let slow = all.mean_success_time().zip(middle).is_some_and(|(own, middle)| own > SLOW * middle);
    let strained = all.failure_ratio_bounds().0 > STRAINED;
    if busy.is_some_and(|busy| busy >= FULL) && (slow || strained) {
        return ZoneHealth::Overloaded;
    }
    if slow {
        return ZoneHealth::Slow;
    }
    let tried = world.pair_stats.iter().any(|((from, _), cell)| from == zone && cell.tries > 0.0);
    let joined = world.proxies.get(zone).is_some_and(|(joined, _)| *joined > 0);
    if !tried && joined {
        return ZoneHealth::Silent;
    }
    ZoneHealth::Well
}
