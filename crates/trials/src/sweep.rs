//! Each numbered point in turn, with each fault that may happen there, at its first, a middle and a late passing.

use std::collections::BTreeMap;
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Mutex;
use std::time::Duration;

use juniperrail_council::MemberId;
use juniperrail_faults::{Fault, Point, POINTS};

use crate::checks::Checks;
use crate::cluster::{ClusterConfig, TestCluster};
use crate::link::LinkState;

/// One play: what happens where.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Play {
    pub point: Point,
    pub fault: Fault,
    pub passing: u64,
    /// At every manager, or at the first that comes there.
    pub everywhere: bool,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub play: Play,
    /// The fault was played.
    pub reached: bool,
    pub broken: Vec<String>,
}

/// Points that no process passed, though a trial is there to pass them.
pub type Unreached = Vec<Point>;

#[derive(Clone, Debug, Default)]
pub struct Sweep {
    pub outcomes: Vec<Outcome>,
    pub unreached: Unreached,
}

/// The course by which a point is passed: failover's, or the schedules'.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Course {
    Schedules,
    Zones,
}

fn course(point: Point) -> Course {
    if point >= Point::EVIDENCE_SENT {
        Course::Zones
    } else {
        Course::Schedules
    }
}

/// How often one process passes each point in an undisturbed run, at the most.
pub fn counted() -> BTreeMap<Point, u64> {
    let mut most: BTreeMap<Point, u64> = BTreeMap::new();
    for course in [Course::Schedules, Course::Zones] {
        let mut cluster = TestCluster::new(cluster_config(course));
        let passed = |id: u16| format!("passed-{id}");
        for (id, manager) in cluster.managers.iter_mut() {
            let path = cluster.folder.join(passed(id.0)).display().to_string();
            manager.env.insert("JUNIPERRAIL_POINTS_PASSED".into(), path);
            manager.start();
        }
        run(&mut cluster, course);
        for id in cluster.managers.keys() {
            let text = fs::read_to_string(cluster.folder.join(passed(id.0))).unwrap_or_default();
            let mut counts: BTreeMap<Point, u64> = BTreeMap::new();
            for point in text.lines().filter_map(|line| line.parse().ok()).map(Point) {
                *counts.entry(point).or_default() += 1;
            }
            for (point, count) in counts {
                let known = most.entry(point).or_default();
                *known = count.max(*known);
            }
        }
    }
    most
}

/// What is played: for each point all that may happen there. `whole`: also at middle and late passings, and everywhere at
/// once.
pub fn plays(counts: &BTreeMap<Point, u64>, whole: bool) -> Vec<Play> {
    let mut plays = Vec::new();
    for told in POINTS {
        let count = counts.get(&told.point).copied().unwrap_or(1).max(1);
        for fault in told.may {
            let mut passings = vec![1, count.div_ceil(2), (count * 4).div_ceil(5)];
            passings.dedup();
            passings.truncate(if whole { 3 } else { 1 });
            for passing in passings {
                let play = Play { point: told.point, fault: *fault, passing, everywhere: false };
                plays.push(play);
                plays.extend((whole && passing == 1).then_some(Play { everywhere: true, ..play }));
            }
        }
    }
    plays
}

fn cluster_config(course: Course) -> ClusterConfig {
    match course {
        Course::Schedules => ClusterConfig { proxies_per_manager: 0, ..ClusterConfig::default() },
        Course::Zones => ClusterConfig {
            proxies_per_manager: 0,
            failover: true,
            schedules: String::new(),
            ..ClusterConfig::default()
        },
    }
}

const SCHEDULES: [&str; 2] = ["warm", "grade"];

/// Waits until it holds. Whoever dies at a point meanwhile comes back without it, as a supervisor would start it.
fn until(cluster: &mut TestCluster, what: &str, holds: impl Fn(&TestCluster) -> bool) {
    let begun = std::time::Instant::now();
    while !holds(cluster) {
        assert!(begun.elapsed() < crate::process::WAIT_TIMEOUT, "still waiting for {what}");
        let mut back = Vec::new();
        for (id, manager) in cluster.managers.iter_mut().filter(|(_, manager)| manager.start_count > 0) {
            if !manager.is_running() {
                manager.wait_for_exit();
                manager.start();
                back.push(*id);
            }
        }
        if cluster.config.failover {
            back.iter().for_each(|id| cluster.start_collectors_at(*id));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run(cluster: &mut TestCluster, course: Course) {
    match course {
        Course::Schedules => run_schedules(cluster),
        Course::Zones => run_zones(cluster),
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
        until(cluster, &format!("{more} more effects of each schedule"), enough);
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
    let last = |cluster: &TestCluster, id: MemberId| {
        let lines = cluster.managers[&id].log_lines();
        lines.iter().rev().find_map(|line| Some(line.split_once("fleet: plan ")?.1.to_string()))
    };
    let all: Vec<MemberId> = cluster.managers.keys().copied().collect();
    let said = |cluster: &TestCluster, id: MemberId, part: &str| {
        last(cluster, id).is_some_and(|plan| plan.contains(part))
    };
    cluster.start_collectors();
    until(cluster, "a leader", |cluster| cluster.leader().is_some());
    cluster.zone_faults.set_lost(&["b"]);
    until(cluster, "the zone to be out", |cluster| all.iter().all(|id| said(cluster, *id, ": b 0.")));
    let alone = all.iter().find(|id| Some(id.0) != cluster.leader()).copied().unwrap_or(MemberId(1));
    let starts_before = cluster.managers[&alone].start_count;
    let expiries_before = cluster.managers[&alone].count_log_lines("is over: all zones whole");
    cluster.set_links_across(&[alone.0], LinkState::Silent);
    // Or it died meanwhile: alone as it is it starts without a plan.
    let over = |cluster: &TestCluster| {
        let manager = &cluster.managers[&alone];
        manager.count_log_lines("is over: all zones whole") > expiries_before
            || manager.start_count > starts_before
    };
    until(cluster, "the lease to be over", over);
    cluster.heal_links();
    cluster.zone_faults.set_lost(&[]);
    until(cluster, "the zone to be back", |cluster| {
        all.iter().all(|id| said(cluster, *id, "all zones whole"))
    });
}

fn play(play: Play) -> Outcome {
    let course = course(play.point);
    let mut cluster = TestCluster::new(cluster_config(course));
    let Play { point, fault, passing, everywhere } = play;
    let once = cluster.folder.join("once").display().to_string();
    for manager in cluster.managers.values_mut() {
        let word = format!("{}:{passing}:{}", point.0, fault.name());
        manager.next_start_env.insert("JUNIPERRAIL_POINTS".into(), word);
        if !everywhere {
            manager.next_start_env.insert("JUNIPERRAIL_POINTS_ONCE".into(), once.clone());
        }
        manager.start();
    }
    let ran = catch_unwind(AssertUnwindSafe(|| run(&mut cluster, course)));
    let shown = format!("{point}: {}", fault.name());
    let reached = cluster.managers.values().any(|manager| manager.count_log_lines(&shown) > 0);
    let mut broken = Checks::of(&cluster, &["grade"]).broken;
    if let Err(why) = ran {
        let text =
            why.downcast_ref::<String>().cloned().or(why.downcast_ref::<&str>().map(|text| text.to_string()));
        broken.push(text.unwrap_or_else(|| "it did not go on".into()));
    }
    if !broken.is_empty() {
        for (id, manager) in &cluster.managers {
            let lines = manager.log_lines();
            eprintln!("{play:?} {id}:\n{}", lines[lines.len().saturating_sub(40)..].join("\n"));
        }
    }
    Outcome { play, reached, broken }
}

/// Plays all, some at once.
pub fn sweep(plays: &[Play], at_once: usize) -> Sweep {
    let (next, outcomes) = (Mutex::new(plays.iter()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| loop {
                let Some(one) = next.lock().expect("no play panics").next().copied() else { return };
                let outcome = play(one);
                outcomes.lock().expect("no play panics").push(outcome);
            });
        }
    });
    let outcomes: Vec<Outcome> = outcomes.into_inner().expect("no play panics");
    let reached =
        |point: &Point| outcomes.iter().any(|outcome| outcome.play.point == *point && outcome.reached);
    let mut unreached: Unreached =
        plays.iter().map(|play| play.point).filter(|point| !reached(point)).collect();
    unreached.sort();
    unreached.dedup();
    Sweep { outcomes, unreached }
}
