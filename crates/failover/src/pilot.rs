//! What the leader proposes: out at once where a zone is surely of no use, back in steps that are watched, and every step
//! no shorter than what it is judged by is old.

use std::collections::BTreeMap;

use juniperrail_council::MemberId;
use juniperrail_interface::Ms;

use crate::evidence::{Evidence, Zone};
use crate::health::{assess_zone, FleetView, ZoneHealth};
use crate::plan::{Plan, ZoneShare};

/// What the settings say, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverConfig {
    /// Proxies' sums come so often, and so late at the worst.
    pub report_period: Ms,
    pub max_transit: Ms,
    /// How long a plan lasts without the leader's word.
    pub plan_lease: Ms,
}

impl FailoverConfig {
    /// The time after which what was changed shows in what is heard.
    fn settled(&self) -> Ms {
        self.report_period + self.max_transit
    }
}

/// Parts on the way back. The first is a trial: few enough that a zone that is still lost costs little.
const STEPS: [f64; 4] = [0.1, 0.3, 0.6, 1.0];
/// So much is moved off an overloaded zone at most in one step.
const MOVED: f64 = 0.5;
/// Of what a receiver has free only so much is counted on.
const COUNTED: f64 = 0.8;
/// Each relapse doubles the wait before the next trial, up to this power.
const RELAPSES: u32 = 5;
/// After so many settled spans without trouble it is as if there had been none.
const FORGIVEN: f64 = 16.0;
/// A zone that is cut off and serves its own is taken out only where so much more is asked for outside.
const OUTWEIGHS: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct Course {
    part: f64,
    why: ZoneHealth,
    /// When it was last changed, by the leader's clock.
    changed: Ms,
    relapses: u32,
}

/// The leader's memory. A new leader begins with the plan that is agreed and waits as if it had just been changed.
#[derive(Clone, Debug, Default)]
pub struct FailoverController {
    words: BTreeMap<MemberId, Vec<(Ms, Evidence)>>,
    courses: BTreeMap<Zone, Course>,
    told: Option<(Ms, Plan)>,
}

impl FailoverController {
    /// A member's word came. At most the words of the span that counts are kept.
    pub fn record_evidence(&mut self, now: Ms, from: MemberId, word: Evidence, figures: &FailoverConfig) {
        let words = self.words.entry(from).or_default();
        words.retain(|(at, _)| now <= at + figures.settled());
        // A flood of words from one member pushes out its own.
        if words.len() >= 16 {
            words.remove(0);
        }
        words.push((now, word));
    }

    /// Forgets who is no member any more.
    pub fn retain_members(&mut self, members: &[MemberId]) {
        self.words.retain(|id, _| members.contains(id));
    }

    fn world(&self, now: Ms, figures: &FailoverConfig, since: Ms) -> FleetView {
        let all = self.words.iter().flat_map(|(id, words)| words.iter().map(|(at, word)| (*id, *at, word)));
        let fresh = all.filter(|(_, at, _)| *at > since).map(|(id, at, word)| (id, now - at, word));
        FleetView::from_evidence(fresh, figures.settled())
    }

    /// The plan to be proposed now, if another than the one agreed is due, or the same is to be said again.
    pub fn next_plan(&mut self, now: Ms, figures: &FailoverConfig, agreed: &Plan) -> Option<Plan> {
        for (zone, share) in &agreed.shares {
            let course = Course { part: share.weight_ratio, why: share.reason, changed: now, relapses: 0 };
            self.courses.entry(zone.clone()).or_insert(course);
        }
        let whole = self.world(now, figures, f64::NEG_INFINITY);
        let zones = whole.zones();
        for zone in &zones {
            let course = self.courses.entry(zone.clone()).or_insert(Course {
                part: 1.0,
                why: ZoneHealth::Unknown,
                changed: f64::NEG_INFINITY,
                relapses: 0,
            });
            // What came before a change, or was on its way then, says nothing of what it brought.
            let since = course.changed + if course.part < 1.0 { figures.max_transit } else { 0.0 };
            let course = *course;
            let world = self.world(now, figures, since);
            let next = step(now, figures, &world, zone, course);
            self.courses.insert(zone.clone(), next);
        }
        self.courses.retain(|zone, course| zones.contains(zone) || course.part < 1.0);
        self.spare(&whole);
        let shares: BTreeMap<Zone, ZoneShare> = self
            .courses
            .iter()
            .filter(|(_, course)| course.part < 1.0)
            .map(|(zone, course)| (zone.clone(), ZoneShare { weight_ratio: course.part, reason: course.why }))
            .collect();
        let parts = |shares: &BTreeMap<Zone, ZoneShare>| {
            shares.iter().map(|(z, s)| (z.clone(), s.weight_ratio)).collect::<Vec<_>>()
        };
        let plan = if parts(&shares) != parts(&agreed.shares) {
            Plan { version: agreed.version + 1, renewal: 0, shares, lease: figures.plan_lease }
        } else if !agreed.is_empty() {
            Plan { renewal: agreed.renewal + 1, ..agreed.clone() }
        } else {
            return None;
        };
        // Renewed thrice a lease; what is proposed has its time to be agreed.
        let again =
            if plan.version > agreed.version { figures.settled() / 2.0 } else { figures.plan_lease / 3.0 };
        let waits = |(at, told): &(Ms, Plan)| told.version == plan.version && now < at + again;
        if self.told.as_ref().is_some_and(waits) {
            return None;
        }
        self.told = Some((now, plan.clone()));
        Some(plan)
    }

    /// Somebody stays: of zones that are all to be taken out the one with the most weight keeps its own.
    fn spare(&mut self, world: &FleetView) {
        let weight = |zone: &Zone| world.ready_weight.get(zone).copied().unwrap_or(0.0);
        if world.ready_weight.values().sum::<f64>() <= 0.0 {
            // Nothing is heard yet, or nobody is left to be spared.
            return;
        }
        let left: f64 = self.courses.iter().map(|(zone, course)| weight(zone) * course.part).sum();
        if left > 0.0 {
            return;
        }
        let most = self.courses.keys().max_by(|a, b| weight(a).total_cmp(&weight(b))).cloned();
        if let Some(course) = most.and_then(|zone| self.courses.get_mut(&zone)) {
            course.part = 1.0;
        }
    }
}

fn step(now: Ms, figures: &FailoverConfig, world: &FleetView, zone: &Zone, course: Course) -> Course {
    let settled = figures.settled();
    let health = assess_zone(world, zone);
    let Course { part, changed, relapses, .. } = course;
    let to = |part: f64, relapses: u32| Course { part, why: health, changed: now, relapses };
    let lost = match health {
        ZoneHealth::Lost => true,
        ZoneHealth::CutOff => {
            let inside = world.demand.get(zone).copied().unwrap_or(0.0);
            let outside = world.demand.values().sum::<f64>() - inside;
            outside > OUTWEIGHS * inside
        }
        _ => false,
    };
    if lost && part > 0.0 {
        // A trial that failed is a relapse: the next waits longer.
        let relapse = part < 1.0 || now < changed + FORGIVEN * settled;
        let relapses = if relapse && changed.is_finite() { relapses + 1 } else { 0 };
        return to(0.0, relapses);
    }
    if lost {
        // Discovery says that nobody is left: it is not tried, and the wait begins as it lists somebody again.
        let gone = world.ready_weight.get(zone).is_some_and(|weight| *weight <= 0.0);
        return if gone { to(0.0, relapses) } else { course };
    }
    if health == ZoneHealth::Overloaded && part > 0.0 && now >= changed + 2.0 * settled {
        let load = world.load.get(zone).copied().unwrap_or(0.0);
        let moved = (free(world, zone) / load.max(1e-9)).min(MOVED);
        // Less than a twentieth is within what is uncertain about the load.
        if moved > 0.05 {
            return to((part * (1.0 - moved)).max(STEPS[0]), relapses);
        }
    }
    if part >= 1.0 {
        return Course { why: health, ..course };
    }
    let wait = 2.0 * settled * f64::from(2u32.pow(relapses.min(RELAPSES)));
    let due = match part {
        0.0 => now >= changed + wait,
        // It is watched: only tries that went well bring the next step.
        _ => {
            now >= changed + 2.0 * settled
                && matches!(health, ZoneHealth::Well | ZoneHealth::Slow | ZoneHealth::Silent)
        }
    };
    let next = STEPS.into_iter().find(|step| *step > part + 1e-9);
    match next.filter(|_| due) {
        Some(next) => to(next, relapses),
        None => course,
    }
}

/// What the other zones are known to bear beside their own, in tries a second.
fn free(world: &FleetView, but: &Zone) -> f64 {
    let others = world.load.iter().filter(|(zone, _)| *zone != but);
    let free = |(zone, load): (&Zone, &f64)| {
        let busy = world.utilization.get(zone)?;
        // Who does not say how busy it is is known to bear what it bears now, and no more.
        Some(load * (1.0 / busy.max(0.05) - 1.0).max(0.0) * COUNTED)
    };
    others.filter_map(free).sum()
}
