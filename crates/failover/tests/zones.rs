//! Zones that are lost, cut off, busy, slow and silent, as several managers see them through late sums.

use std::collections::BTreeMap;

use juniperrail_council::MemberId;
use juniperrail_failover::*;

const FIGURES: FailoverConfig =
    FailoverConfig { report_period: 1000.0, max_transit: 500.0, plan_lease: 9000.0 };

fn zone(name: &str) -> Zone {
    Zone(name.into())
}

/// What happens between two zones, as a part of tries that fail and the mean time of the others.
type Between<'a> = &'a dyn Fn(&str, &str) -> (f64, f64);

fn word(zones: &[&str], between: Between<'_>, part_of: &dyn Fn(&str) -> f64) -> Evidence {
    let mut gather = EvidenceAccumulator::default();
    gather.take_evidence(0.0, BTreeMap::new(), BTreeMap::new());
    for from in zones {
        for to in zones {
            let (bad, mean) = between(from, to);
            let tries = 100.0 * part_of(to);
            if tries > 0.0 {
                gather.record(&zone(from), &zone(to), tries, tries * bad, mean, Some(0.5));
            }
        }
    }
    let weight = zones.iter().map(|of| (zone(of), 10.0)).collect();
    let proxies = zones.iter().map(|of| (zone(of), (10, 0))).collect();
    gather.take_evidence(1000.0, weight, proxies)
}

fn world(between: Between<'_>) -> FleetView {
    let word = word(&["a", "b", "c"], between, &|_| 1.0);
    FleetView::from_evidence([(MemberId(1), 0.0, &word), (MemberId(2), 100.0, &word)].into_iter(), 3000.0)
}

fn healths(between: Between<'_>) -> [ZoneHealth; 3] {
    let world = world(between);
    ["a", "b", "c"].map(|of| assess_zone(&world, &zone(of)))
}

#[test]
fn what_ails_a_zone_is_told_apart() {
    use ZoneHealth::*;
    assert_eq!(healths(&|_, _| (0.0, 50.0)), [Well; 3]);
    assert_eq!(healths(&|_, to| (f64::from(u8::from(to == "b")), 50.0)), [Well, Lost, Well]);
    // Nobody gets in or out of b; inside it all is well.
    assert_eq!(
        healths(&|from, to| (f64::from(u8::from((from == "b") != (to == "b"))), 50.0)),
        [Well, CutOff, Well]
    );
    // Its proxies see nobody, itself neither: its word on others is no word on them.
    assert_eq!(
        healths(&|from, to| (f64::from(u8::from(from == "b" || to == "b")), 50.0)),
        [Well, Lost, Well]
    );
    assert_eq!(healths(&|_, to| (0.0, if to == "c" { 400.0 } else { 50.0 })), [Well, Well, Slow]);
    assert_eq!(
        healths(&|_, to| (if to == "c" { 0.4 } else { 0.0 }, 50.0)),
        [Well; 3],
        "some failures are the module's"
    );
    let mut busy = world(&|_, to| (if to == "c" { 0.2 } else { 0.0 }, 50.0));
    busy.utilization.insert(zone("c"), 0.97);
    assert_eq!(assess_zone(&busy, &zone("c")), Overloaded);
    let mut silent = world(&|_, _| (0.0, 50.0));
    silent.pair_stats.retain(|(from, _), _| *from != zone("b"));
    assert_eq!(assess_zone(&silent, &zone("b")), Silent);
    let mut gone = world(&|_, _| (0.0, 50.0));
    gone.ready_weight.insert(zone("b"), 0.0);
    assert_eq!(assess_zone(&gone, &zone("b")), Lost, "discovery says so");
    assert_eq!(assess_zone(&FleetView::default(), &zone("b")), Unknown);
}

#[test]
fn of_two_zones_that_do_not_see_each_other_neither_is_lost() {
    let word = word(&["a", "b"], &|from, to| (f64::from(u8::from(from != to)), 50.0), &|_| 1.0);
    let world = FleetView::from_evidence([(MemberId(1), 0.0, &word)].into_iter(), 3000.0);
    assert_eq!(assess_zone(&world, &zone("a")), ZoneHealth::CutOff);
    assert_eq!(assess_zone(&world, &zone("b")), ZoneHealth::CutOff);
    let mut pilot = FailoverController::default();
    pilot.record_evidence(10.0, MemberId(1), word, &FIGURES);
    assert_eq!(
        pilot.next_plan(20.0, &FIGURES, &Plan::default()),
        None,
        "as much is asked for on either side"
    );
}

/// A fleet under one pilot: what zones have of their weight shows in what is tried, a transit late.
struct Fleet {
    now: f64,
    pilot: FailoverController,
    plan: Plan,
    force: ActivePlan,
    changes: Vec<(f64, BTreeMap<Zone, f64>)>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            now: 0.0,
            pilot: FailoverController::default(),
            plan: Plan::default(),
            force: ActivePlan::default(),
            changes: vec![],
        }
    }

    fn part(&self, of: &str) -> f64 {
        self.force.weight_ratios().get(&zone(of)).copied().unwrap_or(1.0)
    }

    /// Runs so long; each second three managers tell what was met.
    fn run(&mut self, span: f64, between: Between<'_>) {
        let until = self.now + span;
        while self.now < until {
            self.now += 250.0;
            if self.now % 1000.0 == 0.0 {
                let parts = |of: &str| self.part(of);
                let word = word(&["a", "b", "c"], between, &parts);
                (1..=3).for_each(|id| {
                    self.pilot.record_evidence(self.now, MemberId(id), word.clone(), &FIGURES)
                });
            }
            if let Some(plan) = self.pilot.next_plan(self.now, &FIGURES, &self.plan) {
                assert!(self.plan.adopt_if_newer(&plan), "a later plan");
                let before = self.force.weight_ratios();
                self.force.activate(self.now, &self.plan);
                if self.force.weight_ratios() != before {
                    self.changes.push((self.now, self.force.weight_ratios()));
                }
            }
            assert!(!self.force.expire(self.now), "it is renewed in time");
        }
    }
}

const WELL: Between<'static> = &|_, _| (0.0, 50.0);
const B_LOST: Between<'static> = &|_, to| if to.as_bytes()[0] == b'b' { (1.0, 50.0) } else { (0.0, 50.0) };

#[test]
fn a_lost_zone_is_out_at_once_and_comes_back_in_watched_steps() {
    let mut fleet = Fleet::new();
    fleet.run(5_000.0, WELL);
    assert!(fleet.changes.is_empty());
    fleet.run(3_000.0, B_LOST);
    assert_eq!((fleet.part("b"), fleet.changes.len()), (0.0, 1));
    let out = fleet.changes[0].0 - 5_000.0;
    assert!(out <= 2.0 * FIGURES.report_period, "out after {out} ms");
    fleet.run(40_000.0, WELL);
    assert_eq!(fleet.part("b"), 1.0);
    let parts: Vec<f64> =
        fleet.changes.iter().map(|(_, parts)| parts.get(&zone("b")).copied().unwrap_or(1.0)).collect();
    assert_eq!(parts, [0.0, 0.1, 0.3, 0.6, 1.0]);
    let apart: Vec<f64> = fleet.changes.windows(2).map(|pair| pair[1].0 - pair[0].0).collect();
    assert!(
        apart.iter().all(|apart| *apart >= 2.0 * (FIGURES.report_period + FIGURES.max_transit)),
        "{apart:?}"
    );
}

#[test]
fn one_that_stays_lost_is_tried_ever_more_rarely() {
    let mut fleet = Fleet::new();
    fleet.run(2_000.0, WELL);
    fleet.run(200_000.0, B_LOST);
    let trials: Vec<f64> =
        fleet.changes.iter().filter(|(_, parts)| parts[&zone("b")] > 0.0).map(|(at, _)| *at).collect();
    assert!((3..=7).contains(&trials.len()), "{} trials in 200 s", trials.len());
    let apart: Vec<f64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(apart.windows(2).all(|pair| pair[1] >= 1.5 * pair[0] || pair[1] > 90_000.0), "{apart:?}");
}

#[test]
fn one_that_flaps_does_not_swing_the_fleet() {
    let mut fleet = Fleet::new();
    for _ in 0..40 {
        fleet.run(3_000.0, B_LOST);
        fleet.run(3_000.0, WELL);
    }
    // 40 times it came and went; the plan followed a few of them.
    assert!(fleet.changes.len() <= 30, "{} changes", fleet.changes.len());
    let outs = fleet.changes.iter().filter(|(_, parts)| parts.get(&zone("b")) == Some(&0.0)).count();
    assert!(outs <= 8, "out {outs} times");
}

#[test]
fn two_of_three_zones_and_all_of_them() {
    let mut fleet = Fleet::new();
    fleet.run(2_000.0, WELL);
    fleet.run(4_000.0, &|_, to| (f64::from(u8::from(to != "a")), 50.0));
    assert_eq!((fleet.part("a"), fleet.part("b"), fleet.part("c")), (1.0, 0.0, 0.0));
    let mut all = Fleet::new();
    all.run(2_000.0, WELL);
    all.run(20_000.0, &|_, _| (1.0, 50.0));
    let left: f64 = ["a", "b", "c"].iter().map(|of| all.part(of)).sum();
    assert!(left >= 1.0, "somebody stays: {left}");
}

#[test]
fn an_overloaded_zone_gives_what_others_are_known_to_bear() {
    let mut word = word(&["a", "b", "c"], &|_, to| (if to == "c" { 0.2 } else { 0.0 }, 50.0), &|_| 1.0);
    word.utilization = [("a", 0.85), ("b", 0.85), ("c", 0.99)].map(|(of, busy)| (zone(of), busy)).into();
    let mut pilot = FailoverController::default();
    pilot.record_evidence(10_000.0, MemberId(1), word.clone(), &FIGURES);
    let plan = pilot.next_plan(10_010.0, &FIGURES, &Plan::default()).expect("a plan");
    let part = plan.shares[&zone("c")].weight_ratio;
    // a and b have 300 tries a second each and 0.15 / 0.85 of that free, of which 0.8 is counted on.
    let free = 2.0 * 300.0 * (1.0 / 0.85 - 1.0) * 0.8;
    assert!((part - (1.0 - free / 300.0)).abs() < 0.01, "{part}");
    word.utilization = [("a", 0.99), ("b", 0.99), ("c", 0.99)].map(|(of, busy)| (zone(of), busy)).into();
    let mut full = FailoverController::default();
    full.record_evidence(10_000.0, MemberId(1), word, &FIGURES);
    assert_eq!(
        full.next_plan(10_010.0, &FIGURES, &Plan::default()),
        None,
        "nobody bears it: that is for levels to shed"
    );
}

#[test]
fn a_member_without_a_council_goes_home_as_the_lease_ends() {
    let mut force = ActivePlan::default();
    let shares = [(zone("b"), ZoneShare { weight_ratio: 0.0, reason: ZoneHealth::Lost })].into();
    let plan = Plan { version: 3, renewal: 1, shares, lease: 9000.0 };
    force.activate(100.0, &plan);
    assert!(!force.expire(9099.0));
    assert_eq!(force.weight_ratios()[&zone("b")], 0.0);
    assert!(force.expire(9100.0));
    assert!(force.weight_ratios().is_empty() && !force.expire(9200.0), "told once");
    let mut agreed = plan.clone();
    assert!(
        !agreed.adopt_if_newer(&Plan { version: 2, renewal: 9, ..plan.clone() }),
        "a deposed leader's plan"
    );
    assert!(agreed.adopt_if_newer(&Plan { renewal: 2, ..plan }));
}

#[test]
fn a_new_leader_goes_on_from_the_plan_that_is_agreed() {
    let shares = [(zone("b"), ZoneShare { weight_ratio: 0.3, reason: ZoneHealth::Well })].into();
    let plan = Plan { version: 7, renewal: 2, shares, lease: 9000.0 };
    let mut pilot = FailoverController::default();
    let next = pilot.next_plan(50_000.0, &FIGURES, &plan).expect("it renews at once");
    assert_eq!((next.version, next.renewal, next.shares), (7, 3, plan.shares.clone()));
    assert_eq!(pilot.next_plan(50_100.0, &FIGURES, &plan), None);
}
