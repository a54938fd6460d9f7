//! A sweep over all fault points: each possible fault at each point, at its first, a middle and a late passing.

use std::collections::BTreeMap;
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Mutex;
use std::time::Duration;

use juniperrail_consensus::MemberId;
use juniperrail_faults::{Fault, Point, POINTS};

use crate::cluster::{ClusterConfig, TestCluster};
use crate::invariants::InvariantReport;
use crate::link::LinkState;

/// One run of a sweep: a fault at a passing of a fault point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultCase {
    /// The fault point.
    pub point: Point,
    /// The fault injected there.
    pub fault: Fault,
    /// The passing of the point at which it is injected, counted in each process from 1.
    pub passing: u64,
    /// Whether it is injected in every manager, or only in the first that reaches that passing.
    pub at_all_managers: bool,
}

/// The outcome of one run of a sweep.
#[derive(Clone, Debug)]
pub struct CaseOutcome {
    /// The fault and where it was to be injected.
    pub case: FaultCase,
    /// Whether the fault was injected.
    pub reached: bool,
    /// A description of each violated invariant, and the panic message where the run did not finish.
    pub violations: Vec<String>,
}

/// The outcomes of a sweep.
#[derive(Clone, Debug, Default)]
pub struct SweepReport {
    /// The outcome of each run, in the order in which they ended.
    pub outcomes: Vec<CaseOutcome>,
    /// Points at which none of the cases injected its fault.
    pub unreached: Vec<Point>,
}

/// What a cluster does during a run, chosen so that it passes the fault point.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Workload {
    Schedules,
    Zones,
}

/// The workload that passes a point.
fn workload(point: Point) -> Workload {
    if point >= Point::EVIDENCE_SENT {
        Workload::Zones
    } else {
        Workload::Schedules
    }
}

/// The number of times that a process passes each point in a run without faults: the maximum over all processes.
pub fn count_point_passings() -> BTreeMap<Point, u64> {
    let mut maxima: BTreeMap<Point, u64> = BTreeMap::new();
    for workload in [Workload::Schedules, Workload::Zones] {
        let mut cluster = TestCluster::new(cluster_config(workload));
        let passed = |id: u16| format!("passed-{id}");
        for (id, manager) in cluster.managers.iter_mut() {
            let path = cluster.directory.join(passed(id.0)).display().to_string();
            manager.env.insert("JUNIPERRAIL_POINTS_PASSED".into(), path);
            manager.start();
        }
        run_workload(&mut cluster, workload, |_| true);
        for id in cluster.managers.keys() {
            let text = fs::read_to_string(cluster.directory.join(passed(id.0))).unwrap_or_default();
            let mut counts: BTreeMap<Point, u64> = BTreeMap::new();
            for point in text.lines().filter_map(|line| line.parse().ok()).map(Point) {
                *counts.entry(point).or_default() += 1;
            }
            for (point, count) in counts {
                let maximum = maxima.entry(point).or_default();
                *maximum = count.max(*maximum);
            }
        }
    }
    maxima
}

/// The cases of a sweep: each fault that may occur at each point, at its first passing. `exhaustive`: also at a middle
/// and a late passing, and at the first passing in all managers.
pub fn fault_cases(counts: &BTreeMap<Point, u64>, exhaustive: bool) -> Vec<FaultCase> {
    let mut cases = Vec::new();
    for description in POINTS {
        let count = counts.get(&description.point).copied().unwrap_or(1).max(1);
        for fault in description.faults {
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

/// The names of the schedules of [`ClusterConfig::default`].
const SCHEDULES: [&str; 2] = ["warm", "grade"];

/// Waits for a condition. Restarts managers that exit meanwhile, without the fault, as a supervisor would.
fn wait_until(cluster: &mut TestCluster, what: &str, condition: impl Fn(&TestCluster) -> bool) {
    let started = std::time::Instant::now();
    while !condition(cluster) {
        assert!(started.elapsed() < crate::process::WAIT_TIMEOUT, "timed out waiting for {what}");
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

/// Maximum number of rounds of a workload. A case whose fault is not injected by then counts as not reached.
///
/// One round is not enough for every point. A manager removes an old file of its store once it has compacted its log,
/// which it does when the log holds more than `max_log_entries`, 20. The two schedules append five entries a second
/// and a round waits for four executions of each, so that the first compaction begins just as the first round ends.
/// The second round lasts until well after it. The third allows for managers that were restarted meanwhile, which
/// continue without the fault.
const MAX_ROUNDS: usize = 3;

/// Runs rounds of a workload until `done` is true at the end of one, or [`MAX_ROUNDS`] of them.
fn run_workload(cluster: &mut TestCluster, workload: Workload, done: impl Fn(&TestCluster) -> bool) {
    if workload == Workload::Zones {
        cluster.start_collectors();
    }
    for _ in 0..MAX_ROUNDS {
        match workload {
            Workload::Schedules => run_schedules(cluster),
            Workload::Zones => run_zones(cluster),
        }
        if done(cluster) {
            return;
        }
    }
}

/// One round: executions of schedules, a planned restart of the leader, and further executions.
fn run_schedules(cluster: &mut TestCluster) {
    let wait_for_more_executions = |cluster: &mut TestCluster, more: usize| {
        let count = |cluster: &TestCluster, schedule: &str| {
            cluster.executor.executions().iter().filter(|execution| execution.schedule == schedule).count()
        };
        let before = SCHEDULES.map(|schedule| count(cluster, schedule));
        let enough = |cluster: &TestCluster| {
            SCHEDULES.iter().zip(before).all(|(schedule, before)| count(cluster, schedule) >= before + more)
        };
        wait_until(cluster, &format!("{more} more executions of each schedule"), enough);
    };
    wait_for_more_executions(cluster, 2);
    if let Some(leader) = cluster.leader() {
        let manager = cluster.manager(leader);
        manager.terminate();
        manager.start();
    }
    wait_for_more_executions(cluster, 2);
}

/// One round: a zone fails, a manager is partitioned until the lease of its failover plan expires, and both recover.
fn run_zones(cluster: &mut TestCluster) {
    let last_plan = |cluster: &TestCluster, id: MemberId| {
        let lines = cluster.managers[&id].log_lines();
        lines.iter().rev().find_map(|line| Some(line.split_once("fleet: plan ")?.1.to_string()))
    };
    let all: Vec<MemberId> = cluster.managers.keys().copied().collect();
    let last_plan_contains = |cluster: &TestCluster, id: MemberId, part: &str| {
        last_plan(cluster, id).is_some_and(|plan| plan.contains(part))
    };
    wait_until(cluster, "a leader", |cluster| cluster.leader().is_some());
    cluster.zone_faults.set_lost(&["b"]);
    wait_until(cluster, "all managers to follow a plan that reduces the zone", |cluster| {
        all.iter().all(|id| last_plan_contains(cluster, *id, ": b 0."))
    });
    let isolated = all.iter().find(|id| Some(id.0) != cluster.leader()).copied().unwrap_or(MemberId(1));
    let starts_before = cluster.managers[&isolated].start_count;
    let expiries_before = cluster.managers[&isolated].count_log_lines("expired: all zones at full weight");
    cluster.set_links_across(&[isolated.0], LinkState::Silent);
    // Where it exited meanwhile, it was restarted in the partition and has no plan whose lease could expire.
    let lease_expired = |cluster: &TestCluster| {
        let manager = &cluster.managers[&isolated];
        manager.count_log_lines("expired: all zones at full weight") > expiries_before
            || manager.start_count > starts_before
    };
    wait_until(cluster, "the lease of the isolated manager's plan to expire", lease_expired);
    cluster.heal_links();
    cluster.zone_faults.set_lost(&[]);
    wait_until(cluster, "all managers to follow a plan with all zones at full weight", |cluster| {
        all.iter().all(|id| last_plan_contains(cluster, *id, "all zones at full weight"))
    });
}

/// Runs one case in a new cluster and checks the invariants.
fn run_case(case: FaultCase) -> CaseOutcome {
    let workload = workload(case.point);
    let mut cluster = TestCluster::new(cluster_config(workload));
    let FaultCase { point, fault, passing, at_all_managers } = case;
    let once = cluster.directory.join("once").display().to_string();
    for manager in cluster.managers.values_mut() {
        let setting = format!("{}:{passing}:{}", point.0, fault.name());
        manager.next_start_env.insert("JUNIPERRAIL_POINTS".into(), setting);
        if !at_all_managers {
            manager.next_start_env.insert("JUNIPERRAIL_POINTS_ONCE".into(), once.clone());
        }
        manager.start();
    }
    let injection_log = format!("{point}: {}", fault.name());
    let is_reached = |cluster: &TestCluster| {
        cluster.managers.values().any(|manager| manager.count_log_lines(&injection_log) > 0)
    };
    let done = |cluster: &TestCluster| {
        let reached = is_reached(cluster);
        if !reached {
            eprintln!("{case:?}: the round ended before the fault was injected");
        }
        reached
    };
    let result = catch_unwind(AssertUnwindSafe(|| run_workload(&mut cluster, workload, done)));
    let reached = is_reached(&cluster);
    let mut violations = InvariantReport::check(&cluster, &["grade"]).violations;
    if let Err(panic) = result {
        let text = panic
            .downcast_ref::<String>()
            .cloned()
            .or(panic.downcast_ref::<&str>().map(|text| text.to_string()));
        violations.push(text.unwrap_or_else(|| "the run panicked without a message".into()));
    }
    if !violations.is_empty() {
        for (id, manager) in &cluster.managers {
            let lines = manager.log_lines();
            eprintln!("{case:?} {id}:\n{}", lines[lines.len().saturating_sub(40)..].join("\n"));
        }
    }
    CaseOutcome { case, reached, violations }
}

/// Runs all cases, `parallelism` of them at a time.
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
