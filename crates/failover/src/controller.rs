//! The leader's failover controller. It removes a lost zone at once and restores it in steps. Each decision is based only
//! on evidence from after the previous change to the zone, so that the controller does not react to its own delay.

use std::collections::BTreeMap;

use juniperrail_consensus::MemberId;
use juniperrail_interface::Ms;

use crate::evidence::{Evidence, Zone};
use crate::health::{assess_zone, FleetView, ZoneHealth};
use crate::plan::{Plan, ZoneShare};

/// The configured times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverConfig {
    /// Time between two reports of a proxy, each with the sums over the tries since the previous one.
    pub report_period: Ms,
    /// The longest time that such a report may take to arrive.
    pub max_transit: Ms,
    /// How long a plan lasts without a renewal by the leader.
    pub plan_lease: Ms,
}

impl FailoverConfig {
    /// The time until the effect of a change shows in the evidence.
    fn settling_time(&self) -> Ms {
        self.report_period + self.max_transit
    }
}

/// Successive weight ratios of a zone that is being restored. The first tests the zone: it is so low that few tries fail
/// if the zone is still lost.
const RESTORE_STEPS: [f64; 4] = [0.1, 0.3, 0.6, 1.0];
/// Settling times between a change of a zone and the next step of relieving or restoring it.
const SETTLING_TIMES_PER_STEP: f64 = 2.0;
/// One step moves at most this ratio of an overloaded zone's load away.
const MAX_MOVED_RATIO: f64 = 0.5;
/// A smaller ratio is within the uncertainty of the load and is not moved.
const MIN_MOVED_RATIO: f64 = 0.05;
/// Only this ratio of a receiver's free capacity is used for planning.
const USABLE_CAPACITY_RATIO: f64 = 0.8;
/// Each relapse doubles the wait before the next attempt to restore the zone, up to this exponent.
const MAX_BACKOFF_EXPONENT: u32 = 5;
/// From this many settling times after the last change of a fully restored zone, a new loss is not a relapse.
const RELAPSE_SETTLING_TIMES: f64 = 16.0;
/// A zone that is cut off but serves its own proxies is removed only if the demand of all other zones exceeds its own by
/// this factor.
const CUT_OFF_DEMAND_FACTOR: f64 = 1.5;
/// A lower reported utilization counts as this, which bounds the estimate of the free capacity.
const MIN_UTILIZATION: f64 = 0.05;
/// Limit on the stored reports of one member; the oldest is dropped first.
const MAX_REPORTS_PER_MEMBER: usize = 16;

/// What the controller last decided for one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneDecision {
    weight_ratio: f64,
    reason: ZoneHealth,
    /// Time of the last change, by the leader's clock.
    changed_at: Ms,
    relapses: u32,
}

/// The leader's state. A new leader starts from the committed plan and waits as if the plan had just been changed.
#[derive(Clone, Debug, Default)]
pub struct FailoverController {
    /// The recent reports of each member, with their times of arrival by the leader's clock.
    reports: BTreeMap<MemberId, Vec<(Ms, Evidence)>>,
    decisions: BTreeMap<Zone, ZoneDecision>,
    /// The last proposed plan, and when it was proposed.
    last_proposed: Option<(Ms, Plan)>,
}

impl FailoverController {
    /// Stores a member's report and drops those of the member that are older than the settling time.
    pub fn record_evidence(
        &mut self,
        now: Ms,
        member: MemberId,
        evidence: Evidence,
        config: &FailoverConfig,
    ) {
        let reports = self.reports.entry(member).or_default();
        reports.retain(|(received_at, _)| now <= received_at + config.settling_time());
        // A flood of reports from one member displaces only that member's own.
        if reports.len() >= MAX_REPORTS_PER_MEMBER {
            reports.remove(0);
        }
        reports.push((now, evidence));
    }

    /// Drops the reports of managers that are no longer members.
    pub fn retain_members(&mut self, members: &[MemberId]) {
        self.reports.retain(|id, _| members.contains(id));
    }

    /// Combines the reports that arrived after `since`.
    fn view(&self, now: Ms, config: &FailoverConfig, since: Ms) -> FleetView {
        let all_reports = self.reports.iter().flat_map(|(id, reports)| {
            reports.iter().map(|(received_at, evidence)| (*id, *received_at, evidence))
        });
        let recent_reports = all_reports
            .filter(|(_, received_at, _)| *received_at > since)
            .map(|(id, received_at, evidence)| (id, now - received_at, evidence));
        FleetView::from_evidence(recent_reports, config.settling_time())
    }

    /// Returns the plan to propose now: a changed one, or a renewal of the committed one. `None` if neither is due.
    pub fn next_plan(&mut self, now: Ms, config: &FailoverConfig, committed: &Plan) -> Option<Plan> {
        for (zone, share) in &committed.shares {
            let decision = ZoneDecision {
                weight_ratio: share.weight_ratio,
                reason: share.reason,
                changed_at: now,
                relapses: 0,
            };
            self.decisions.entry(zone.clone()).or_insert(decision);
        }
        let full_view = self.view(now, config, f64::NEG_INFINITY);
        let zones = full_view.zones();
        for zone in &zones {
            let decision = self.decisions.entry(zone.clone()).or_insert(ZoneDecision {
                weight_ratio: 1.0,
                reason: ZoneHealth::Unknown,
                changed_at: f64::NEG_INFINITY,
                relapses: 0,
            });
            // Evidence from before a change does not show its effect, nor, while the zone is restricted, does evidence
            // that was in transit at the change.
            let since =
                decision.changed_at + if decision.weight_ratio < 1.0 { config.max_transit } else { 0.0 };
            let decision = *decision;
            let view = self.view(now, config, since);
            let next = next_decision(now, config, &view, zone, decision);
            self.decisions.insert(zone.clone(), next);
        }
        self.decisions.retain(|zone, decision| zones.contains(zone) || decision.weight_ratio < 1.0);
        self.keep_one_zone(&full_view);
        let shares: BTreeMap<Zone, ZoneShare> = self
            .decisions
            .iter()
            .filter(|(_, decision)| decision.weight_ratio < 1.0)
            .map(|(zone, decision)| {
                (zone.clone(), ZoneShare { weight_ratio: decision.weight_ratio, reason: decision.reason })
            })
            .collect();
        let ratios = |shares: &BTreeMap<Zone, ZoneShare>| {
            shares.iter().map(|(zone, share)| (zone.clone(), share.weight_ratio)).collect::<Vec<_>>()
        };
        let plan = if ratios(&shares) != ratios(&committed.shares) {
            Plan { version: committed.version + 1, renewal: 0, shares, lease: config.plan_lease }
        } else if !committed.is_empty() {
            Plan { renewal: committed.renewal + 1, ..committed.clone() }
        } else {
            return None;
        };
        // A lease is renewed after each third of its length. A new version is given time to be committed before it is
        // proposed again.
        let retry_after = if plan.version > committed.version {
            config.settling_time() / 2.0
        } else {
            config.plan_lease / 3.0
        };
        let is_pending = |(proposed_at, proposed): &(Ms, Plan)| {
            proposed.version == plan.version && now < proposed_at + retry_after
        };
        if self.last_proposed.as_ref().is_some_and(is_pending) {
            return None;
        }
        self.last_proposed = Some((now, plan.clone()));
        Some(plan)
    }

    /// If the decisions leave no ready weight, gives the zone with the most ready weight its full weight, so that one zone
    /// still serves.
    fn keep_one_zone(&mut self, view: &FleetView) {
        let weight = |zone: &Zone| view.ready_weight.get(zone).copied().unwrap_or(0.0);
        if view.ready_weight.values().sum::<f64>() <= 0.0 {
            // No weights have been reported yet, or no zone has a ready worker.
            return;
        }
        let remaining_weight: f64 =
            self.decisions.iter().map(|(zone, decision)| weight(zone) * decision.weight_ratio).sum();
        if remaining_weight > 0.0 {
            return;
        }
        let heaviest = self.decisions.keys().max_by(|a, b| weight(a).total_cmp(&weight(b))).cloned();
        if let Some(decision) = heaviest.and_then(|zone| self.decisions.get_mut(&zone)) {
            decision.weight_ratio = 1.0;
        }
    }
}

/// Decides on the next weight ratio of one zone. Returns `decision`, with its reason updated if the zone is unrestricted,
/// if no change is due.
fn next_decision(
    now: Ms,
    config: &FailoverConfig,
    view: &FleetView,
    zone: &Zone,
    decision: ZoneDecision,
) -> ZoneDecision {
    let settling_time = config.settling_time();
    let health = assess_zone(view, zone);
    let ZoneDecision { weight_ratio, changed_at, relapses, .. } = decision;
    let change_to = |weight_ratio: f64, relapses: u32| ZoneDecision {
        weight_ratio,
        reason: health,
        changed_at: now,
        relapses,
    };
    let must_remove = match health {
        ZoneHealth::Lost => true,
        ZoneHealth::CutOff => {
            let own_demand = view.demand.get(zone).copied().unwrap_or(0.0);
            let demand_of_others = view.demand.values().sum::<f64>() - own_demand;
            demand_of_others > CUT_OFF_DEMAND_FACTOR * own_demand
        }
        _ => false,
    };
    if must_remove && weight_ratio > 0.0 {
        // A loss while the zone is being restored, or soon after, is a relapse: the next attempt to restore the zone
        // waits longer.
        let is_relapse = weight_ratio < 1.0 || now < changed_at + RELAPSE_SETTLING_TIMES * settling_time;
        let relapses = if is_relapse && changed_at.is_finite() { relapses + 1 } else { 0 };
        return change_to(0.0, relapses);
    }
    if must_remove {
        // While discovery lists no ready worker, the start of the wait moves along: no attempt is made to restore the
        // zone, and the full wait applies once discovery lists one again.
        let has_no_ready_worker = view.ready_weight.get(zone).is_some_and(|weight| *weight <= 0.0);
        return if has_no_ready_worker { change_to(0.0, relapses) } else { decision };
    }
    if health == ZoneHealth::Overloaded
        && weight_ratio > 0.0
        && now >= changed_at + SETTLING_TIMES_PER_STEP * settling_time
    {
        let load = view.load.get(zone).copied().unwrap_or(0.0);
        // The lower limit of the load guards against a division by zero.
        let moved_ratio = (free_capacity(view, zone) / load.max(1e-9)).min(MAX_MOVED_RATIO);
        if moved_ratio > MIN_MOVED_RATIO {
            return change_to((weight_ratio * (1.0 - moved_ratio)).max(RESTORE_STEPS[0]), relapses);
        }
    }
    if weight_ratio >= 1.0 {
        return ZoneDecision { reason: health, ..decision };
    }
    let wait =
        SETTLING_TIMES_PER_STEP * settling_time * f64::from(2u32.pow(relapses.min(MAX_BACKOFF_EXPONENT)));
    let is_due = match weight_ratio {
        0.0 => now >= changed_at + wait,
        // Once the zone receives load again, each further step requires evidence of successful tries.
        _ => {
            now >= changed_at + SETTLING_TIMES_PER_STEP * settling_time
                && matches!(health, ZoneHealth::Well | ZoneHealth::Slow | ZoneHealth::Silent)
        }
    };
    let next = RESTORE_STEPS.into_iter().find(|step| *step > weight_ratio + 1e-9);
    match next.filter(|_| is_due) {
        Some(next) => change_to(next, relapses),
        None => decision,
    }
}

/// The free capacity of all zones but `excluded_zone`, in tries per second.
fn free_capacity(view: &FleetView, excluded_zone: &Zone) -> f64 {
    let others = view.load.iter().filter(|(zone, _)| *zone != excluded_zone);
    let free_in_zone = |(zone, load): (&Zone, &f64)| {
        let utilization = view.utilization.get(zone)?;
        // A zone that reports no utilization counts as having no free capacity.
        Some(load * (1.0 / utilization.max(MIN_UTILIZATION) - 1.0).max(0.0) * USABLE_CAPACITY_RATIO)
    };
    others.filter_map(free_in_zone).sum()
}
