//! Each numbered point in turn, with each fault that may happen there, at its first, a middle and a late passing.

use std::collections::BTreeMap;
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Mutex;
use std::time::Duration;

use juniperrail_council::MemberId;
use juniperrail_faults::{Fault, Point, POINTS};

use crate::cluster::{ClusterConfig, TestCluster};
use crate::invariants::InvariantReport;
use crate::link::LinkState;

/// One play: what happens where.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultCase {
    pub point: Point,
    pub fault: Fault,
    pub passing: u64,
    /// At every manager, or at the first that comes there.
    pub at_all_managers: bool,
}

#[derive(Clone, Debug)]
pub struct CaseOutcome {
    pub case: FaultCase,
    /// The fault was played.
    pub reached: bool,
    pub violations: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct SweepReport {
    pub outcomes: Vec<CaseOutcome>,
    /// Points that no process passed, though a trial is there to pass them.
    pub unreached: Vec<Point>,
}

/// The course by which a point is passed: failover's, or the schedules'.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Workload {
    Schedules,
    Zones,
}

fn workload(point: Point) -> Workload {
    if point >= Point::EVIDENCE_SENT {
        Workload::Zones
    } else {
        Workload::Schedules
    }
}

/// How often one process passes each point in an undisturbed run, at the most.
pub fn count_point_passings() -> BTreeMap<Point, u64> {
    let mut maxima: BTreeMap<Point, u64> = BTreeMap::new();
    for workload in [Workload::Schedules, Workload::Zones] {
        let mut cluster = TestCluster::new(cluster_config(workload));
        let passed = |id: u16| format!("passed-{id}");
        for (id, manager) in cluster.managers.iter_mut() {
            let path = cluster.folder.join(passed(id.0)).display().to_string();
            manager.env.insert("JUNIPERRAIL_POINTS_PASSED".into(), path);
            manager.start();
        }
        run_workload(&mut cluster, workload);
        for id in cluster.managers.keys() {
            let text = fs::read_to_string(cluster.folder.join(passed(id.0))).unwrap_or_default();
            let mut counts: BTreeMap<Point, u64> = BTreeMap::new();
            for point in text.lines().filter_map(|line| line.parse().ok()).map(Point) {
                *counts.entry(point).or_default() += 1;
            }
            for (point, count) in counts {
                let known = maxima.entry(point).or_default();
                *known = count.max(*known);
            }
        }
    }
    maxima
}

/// What is played: for each point all that may happen there. `exhaustive`: also at middle and late passings, and everywhere at
/// once.
pub fn fault_cases(counts: &BTreeMap<Point, u64>, exhaustive: bool) -> Vec<FaultCase> {
    let mut cases = Vec::new();
    for description in POINTS {
        let count = counts.get(&description.point).copied().unwrap_or(1).max(1);
        for fault in description.may {
            let mut passings = vec![1, count.div_ceil(2), (count * 4).div_ceil(5)];
            passings.dedup();
            passings.truncate(if exhaustive { 3 } else { 1 });
            for passing in passings {
                let case =
                    FaultCase { point: description.point, fault: *fault, passing, at_all_managers: false };
                cases.push(case);
                cases.extend(
                    (exhaustive && passing == 1).then_some(FaultCase { at_all_managers: true, ..case }),
                );
            }
        }
    }
    cases
}

fn cluster_config(workload: Workload) -> ClusterConfig {
    match workload {
        Workload::Schedules => ClusterConfig { proxies_per_manager: 0, ..ClusterConfig::default() },
        Workload::Zones => ClusterConfig {
            proxies_per_manager: 0,
            failover: true,
            schedules: String::new(),
            ..ClusterConfig::default()
        },
    }
}

const SCHEDULES: [&str; 2] = ["warm", "grade"];

/// Waits until it holds. Whoever dies at a point meanwhile comes back without it, as a supervisor would start it.
fn wait_until(cluster: &mut TestCluster, what: &str, condition: impl Fn(&TestCluster) -> bool) {
    let begun = std::time::Instant::now();
    while !condition(cluster) {
        assert!(begun.elapsed() < crate::process::WAIT_TIMEOUT, "still waiting for {what}");
        let mut restarted = Vec::new();
        for (id, manager) in cluster.managers.iter_mut().filter(|(_, manager)| manager.start_count > 0) {
            if !manager.is_running() {
                manager.wait_for_exit();
                manager.start();
                restarted.push(*id);
            }
        }
        if cluster.config.failover {
            restarted.iter().for_each(|id| cluster.start_collectors_at(*id));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run_workload(cluster: &mut TestCluster, workload: Workload) {
    match workload {
        Workload::Schedules => run_schedules(cluster),
        Workload::Zones => run_zones(cluster),
    }
}

/// Work, a planned restart of the leader, work.
fn run_schedules(cluster: &mut TestCluster) {
    let work = |cluster: &mut TestCluster, more: usize| {
        let count = |cluster: &TestCluster, of: &str| {
            cluster.executor.executions().iter().filter(|ran| ran.schedule == of).count()
        };
        let before = SCHEDULES.map(|of| count(cluster, of));
        let enough = |cluster: &TestCluster| {
            SCHEDULES.iter().zip(before).all(|(of, before)| count(cluster, of) >= before + more)
        };
        wait_until(cluster, &format!("{more} more effects of each schedule"), enough);
    };
    work(cluster, 2);
    if let Some(leader) = cluster.leader() {
        let manager = cluster.manager(leader);
        manager.terminate();
        manager.start();
    }
    work(cluster, 2);
}

/// A zone is lost, one manager is cut off until its plan's lease is over, the zone comes back.
fn run_zones(cluster: &mut TestCluster) {
    let last_plan = |cluster: &TestCluster, id: MemberId| {
        let lines = cluster.managers[&id].log_lines();
        lines.iter().rev().find_map(|line| Some(line.split_once("fleet: plan ")?.1.to_string()))
    };
    let all: Vec<MemberId> = cluster.managers.keys().copied().collect();
    let last_plan_contains = |cluster: &TestCluster, id: MemberId, part: &str| {
        last_plan(cluster, id).is_some_and(|plan| plan.contains(part))
    };
    cluster.start_collectors();
    wait_until(cluster, "a leader", |cluster| cluster.leader().is_some());
    cluster.zone_faults.set_lost(&["b"]);
    wait_until(cluster, "the zone to be out", |cluster| {
        all.iter().all(|id| last_plan_contains(cluster, *id, ": b 0."))
    });
    let isolated = all.iter().find(|id| Some(id.0) != cluster.leader()).copied().unwrap_or(MemberId(1));
    let starts_before = cluster.managers[&isolated].start_count;
    let expiries_before = cluster.managers[&isolated].count_log_lines("is over: all zones whole");
    cluster.set_links_across(&[isolated.0], LinkState::Silent);
    // Or it died meanwhile: alone as it is it starts without a plan.
    let over = |cluster: &TestCluster| {
        let manager = &cluster.managers[&isolated];
        manager.count_log_lines("is over: all zones whole") > expiries_before
            || manager.start_count > starts_before
    };
    wait_until(cluster, "the lease to be over", over);
    cluster.heal_links();
    cluster.zone_faults.set_lost(&[]);
    wait_until(cluster, "the zone to be back", |cluster| {
        all.iter().all(|id| last_plan_contains(cluster, *id, "all zones whole"))
    });
}

fn run_case(case: FaultCase) -> CaseOutcome {
    let workload = workload(case.point);
    let mut cluster = TestCluster::new(cluster_config(workload));
    let FaultCase { point, fault, passing, at_all_managers } = case;
    let once = cluster.folder.join("once").display().to_string();
    for manager in cluster.managers.values_mut() {
        let setting = format!("{}:{passing}:{}", point.0, fault.name());
        manager.next_start_env.insert("JUNIPERRAIL_POINTS".into(), setting);
        if !at_all_managers {
            manager.next_start_env.insert("JUNIPERRAIL_POINTS_ONCE".into(), once.clone());
        }
        manager.start();
    }
    let ran = catch_unwind(AssertUnwindSafe(|| run_workload(&mut cluster, workload)));
    let announcement = format!("{point}: {}", fault.name());
    let reached = cluster.managers.values().any(|manager| manager.count_log_lines(&announcement) > 0);
    let mut violations = InvariantReport::check(&cluster, &["grade"]).violations;
    if let Err(panic) = ran {
        let text = panic
            .downcast_ref::<String>()
            .cloned()
            .or(panic.downcast_ref::<&str>().map(|text| text.to_string()));
        violations.push(text.unwrap_or_else(|| "it did not go on".into()));
    }
    if !violations.is_empty() {
        for (id, manager) in &cluster.managers {
            let lines = manager.log_lines();
            eprintln!("{case:?} {id}:\n{}", lines[lines.len().saturating_sub(40)..].join("\n"));
        }
    }
    CaseOutcome { case, reached, violations }
}

/// Plays all, some at once.
pub fn run_sweep(cases: &[FaultCase], parallelism: usize) -> SweepReport {
    let (next, outcomes) = (Mutex::new(cases.iter()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..parallelism {
            scope.spawn(|| loop {
                let Some(case) = next.lock().expect("no case panics").next().copied() else { return };
                let outcome = run_case(case);
                outcomes.lock().expect("no case panics").push(outcome);
            });
        }
    });
    let outcomes: Vec<CaseOutcome> = outcomes.into_inner().expect("no case panics");
    let reached =
        |point: &Point| outcomes.iter().any(|outcome| outcome.case.point == *point && outcome.reached);
    let mut unreached: Vec<Point> =
        cases.iter().map(|case| case.point).filter(|point| !reached(point)).collect();
    unreached.sort();
    unreached.dedup();
    SweepReport { outcomes, unreached }
}
