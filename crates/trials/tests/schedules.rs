//! Schedules are executed once, whichever manager is up: clocks that jump, elections and partitions at the wrong
//! moment, workers that do not respond.

use std::fs;
use std::time::Duration;

use juniperrail_consensus::MemberId;
use juniperrail_trials::*;

const BOTH: [&str; 2] = ["warm", "grade"];

/// A cluster in which each process reads the offset of its clock from a file of its own.
fn start_with_clock_offsets(config: ClusterConfig) -> TestCluster {
    let mut cluster = TestCluster::new(config);
    for (id, manager) in cluster.managers.iter_mut() {
        let path = cluster.folder.join(format!("clock-{}", id.0));
        fs::write(&path, "0").unwrap();
        manager.env.insert("JUNIPERRAIL_CLOCK".into(), path.display().to_string());
        manager.start();
    }
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    cluster
}

fn set_clock_offset(cluster: &TestCluster, id: u16, ms: f64) {
    let new = cluster.folder.join("clock-new");
    fs::write(&new, ms.to_string()).unwrap();
    fs::rename(new, cluster.folder.join(format!("clock-{id}"))).unwrap();
}

/// How far ahead of the machine's clock the latest executions were due.
fn max_lead_ms(cluster: &TestCluster) -> f64 {
    let ran = cluster.executor.executions();
    ran.iter().rev().take(4).map(|ran| ran.due as f64 - ran.received_at).fold(f64::NEG_INFINITY, f64::max)
}

#[test]
fn one_clock_that_jumps_moves_nothing() {
    let cluster = start_with_clock_offsets(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    for ms in [3_600_000.0, -3_600_000.0, 40_000.0] {
        set_clock_offset(&cluster, leader, ms);
        cluster.executor.wait_for_more(&BOTH, 3);
        assert!(
            max_lead_ms(&cluster) < 1500.0,
            "with {ms} ms at the leader: {} ms early",
            max_lead_ms(&cluster)
        );
    }
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn all_clocks_that_go_back_an_hour_repeat_nothing() {
    let cluster = start_with_clock_offsets(ClusterConfig::default());
    cluster.executor.wait_for_more(&BOTH, 2);
    let before = cluster.executor.executions();
    (1..=3).for_each(|id| set_clock_offset(&cluster, id, -3_600_000.0));
    std::thread::sleep(Duration::from_millis(3000));
    let dues: Vec<i64> = before.iter().map(|ran| ran.due).collect();
    let repeated = cluster
        .executor
        .executions()
        .into_iter()
        .skip(before.len())
        .filter(|ran| ran.due < *dues.iter().max().unwrap());
    assert_eq!(repeated.count(), 0, "an hour that was decided on is not decided on again");
    (1..=3).for_each(|id| set_clock_offset(&cluster, id, 0.0));
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn what_is_due_during_an_election_is_begun_after_it() {
    let mut cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    for _ in 0..3 {
        let leader = cluster.wait_for_leader();
        cluster.manager(leader).kill();
        // Longer than a second in all: an execution became due while there was no leader.
        std::thread::sleep(Duration::from_millis(600));
        cluster.wait_for_leader_except(&[leader]);
        cluster.manager(leader).start();
        cluster.executor.wait_for_more(&BOTH, 1);
    }
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn an_owner_that_is_cut_off_until_after_its_lease() {
    let cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    cluster.executor.set_response_mode(ResponseMode::Delayed(2500));
    cluster.executor.wait_for_more(&["grade"], 1);
    // The owner of the running execution cannot report its result before its lease expires.
    let leader = cluster.wait_for_leader();
    let others: Vec<u16> = (1..=3).filter(|id| *id != leader).collect();
    cluster.set_links_across(&[others[0]], LinkState::Silent);
    std::thread::sleep(Duration::from_millis(2500));
    cluster.executor.set_response_mode(ResponseMode::Normal);
    cluster.heal_links();
    cluster.executor.wait_for_more(&BOTH, 3);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_worker_that_acts_and_does_not_answer_is_unknown_and_asked_once() {
    let cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    cluster.executor.set_response_mode(ResponseMode::NoResponse);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.executor.set_response_mode(ResponseMode::Normal);
    cluster.executor.wait_for_more(&BOTH, 2);
    let unknown: usize = cluster
        .managers
        .values()
        .map(|manager| manager.count_log_lines("committed outcome Unanswered"))
        .sum();
    assert!(unknown > 0);
    let ran = cluster.executor.executions();
    let repeats = |of: &str| {
        let mut dues: Vec<i64> = ran.iter().filter(|ran| ran.schedule == of).map(|ran| ran.due).collect();
        let all = dues.len();
        dues.sort();
        dues.dedup();
        all - dues.len()
    };
    assert!(repeats("warm") > 0, "what may run again did");
    assert_eq!(repeats("grade"), 0);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_worker_that_is_gone_was_never_asked_so_it_is_asked_again() {
    let cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    cluster.executor.set_response_mode(ResponseMode::Unavailable);
    std::thread::sleep(Duration::from_millis(1500));
    cluster.executor.set_response_mode(ResponseMode::Normal);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

/// All three managers of the majority are needed for a quorum, so that a stall of one of them for an election timeout
/// costs the successor its office: which manager leads after the heal is not determined.
#[test]
fn a_partition_that_heals_after_the_lease() {
    let cluster =
        TestCluster::start(ClusterConfig { managers: 5, proxies_per_manager: 1, ..ClusterConfig::default() });
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    let (minority, term) = cluster.cut_off_leader_with(1);
    let majority: Vec<u16> = (1..=5).filter(|id| !minority.contains(id)).collect();
    let old_leader = minority[0];
    cluster.wait_for_leader_except(&minority);
    cluster.executor.wait_for_more(&BOTH, 3);
    // While it is cut off nobody tells it of a later term: it steps down by itself.
    let stepped_down = format!("this manager stepped down in term {term}:");
    cluster.managers[&MemberId(old_leader)].wait_for_log(&stepped_down, 1);
    cluster.heal_links();
    // What it sent as the leader while it was cut off arrives now.
    cluster.wait_for_refusal(&majority, old_leader, term);
    cluster.wait_for_common_leader_after(term);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}
