//! While clocks jump, elections and partitions occur, and workers do not respond, side-effecting schedules are executed
//! at most once for each due time, and no due time is missed.

use std::fs;
use std::time::Duration;

use juniperrail_consensus::MemberId;
use juniperrail_trials::*;

/// The names of the schedules of [`ClusterConfig::default`].
const SCHEDULES: [&str; 2] = ["warm", "grade"];

/// A cluster in which each process reads the offset of its clock from a file of its own.
fn start_with_clock_offsets(config: ClusterConfig) -> TestCluster {
    let mut cluster = TestCluster::new(config);
    for (id, manager) in cluster.managers.iter_mut() {
        let path = cluster.directory.join(format!("clock-{}", id.0));
        fs::write(&path, "0").unwrap();
        manager.env.insert("JUNIPERRAIL_CLOCK".into(), path.display().to_string());
        manager.start();
    }
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    cluster
}

/// Sets the offset of a manager's clock. The file is replaced atomically, so that the manager never reads half of it.
fn set_clock_offset(cluster: &TestCluster, id: u16, ms: f64) {
    let new = cluster.directory.join("clock-new");
    fs::write(&new, ms.to_string()).unwrap();
    fs::rename(new, cluster.directory.join(format!("clock-{id}"))).unwrap();
}

/// The longest time in milliseconds by which one of the latest four executions was received before its due time.
fn max_lead_ms(cluster: &TestCluster) -> f64 {
    let executions = cluster.executor.executions();
    let leads = executions.iter().rev().take(4).map(|execution| execution.due as f64 - execution.received_at);
    leads.fold(f64::NEG_INFINITY, f64::max)
}

#[test]
fn a_clock_jump_at_the_leader_shifts_no_execution() {
    let cluster = start_with_clock_offsets(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    for ms in [3_600_000.0, -3_600_000.0, 40_000.0] {
        set_clock_offset(&cluster, leader, ms);
        cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
        assert!(
            max_lead_ms(&cluster) < 1500.0,
            "with {ms} ms at the leader: {} ms early",
            max_lead_ms(&cluster)
        );
    }
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn setting_all_clocks_back_an_hour_repeats_no_execution() {
    let cluster = start_with_clock_offsets(ClusterConfig::default());
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    let before = cluster.executor.executions();
    (1..=3).for_each(|id| set_clock_offset(&cluster, id, -3_600_000.0));
    std::thread::sleep(Duration::from_millis(3000));
    let dues: Vec<i64> = before.iter().map(|execution| execution.due).collect();
    let repeated = cluster
        .executor
        .executions()
        .into_iter()
        .skip(before.len())
        .filter(|execution| execution.due < *dues.iter().max().unwrap());
    assert_eq!(repeated.count(), 0, "due times that were already decided were executed again");
    (1..=3).for_each(|id| set_clock_offset(&cluster, id, 0.0));
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn occurrences_due_during_an_election_are_executed_after_it() {
    let mut cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    for _ in 0..3 {
        let leader = cluster.wait_for_leader();
        cluster.manager(leader).kill();
        // The three waits add up to more than the second between two due times, so that an execution is likely to
        // become due while there is no leader.
        std::thread::sleep(Duration::from_millis(600));
        cluster.wait_for_leader_except(&[leader]);
        cluster.manager(leader).start();
        cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    }
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_partition_of_a_follower_beyond_the_claim_lease_repeats_no_side_effecting_execution() {
    let cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    cluster.executor.set_response_mode(ResponseMode::Delayed(2500));
    cluster.executor.wait_for_more_executions(&["grade"], 1);
    // If this follower owns the claim of a running execution, it cannot report the outcome before the lease expires.
    let leader = cluster.wait_for_leader();
    let others: Vec<u16> = (1..=3).filter(|id| *id != leader).collect();
    cluster.set_links_across(&[others[0]], LinkState::Silent);
    std::thread::sleep(Duration::from_millis(2500));
    cluster.executor.set_response_mode(ResponseMode::Normal);
    cluster.heal_links();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn only_idempotent_executions_are_repeated_after_a_missing_response() {
    let cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    cluster.executor.set_response_mode(ResponseMode::NoResponse);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.executor.set_response_mode(ResponseMode::Normal);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    let unknown: usize = cluster
        .managers
        .values()
        .map(|manager| manager.count_log_lines("committed outcome Unanswered"))
        .sum();
    assert!(unknown > 0);
    let executions = cluster.executor.executions();
    let repeats = |schedule: &str| {
        let of_schedule = executions.iter().filter(|execution| execution.schedule == schedule);
        let mut dues: Vec<i64> = of_schedule.map(|execution| execution.due).collect();
        let all = dues.len();
        dues.sort();
        dues.dedup();
        all - dues.len()
    };
    assert!(repeats("warm") > 0, "no idempotent execution was repeated");
    assert_eq!(repeats("grade"), 0);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn requests_that_an_unavailable_worker_did_not_receive_are_retried() {
    let cluster = TestCluster::start(ClusterConfig::default());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    cluster.executor.set_response_mode(ResponseMode::Unavailable);
    std::thread::sleep(Duration::from_millis(1500));
    cluster.executor.set_response_mode(ResponseMode::Normal);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

/// All three managers of the majority are needed for a quorum, so a stall of one of them for an election timeout makes
/// the new leader step down. Which manager leads after the partition heals is therefore not determined.
#[test]
fn after_a_partition_that_outlasts_the_lease_messages_of_the_old_leader_are_rejected() {
    let cluster =
        TestCluster::start(ClusterConfig { managers: 5, proxies_per_manager: 1, ..ClusterConfig::default() });
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    let (minority, term) = cluster.partition_leader_with(1);
    let majority: Vec<u16> = (1..=5).filter(|id| !minority.contains(id)).collect();
    let old_leader = minority[0];
    cluster.wait_for_leader_except(&minority);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    // In the partition it cannot learn of a later term, so it steps down by itself.
    let stepped_down = format!("this manager stepped down in term {term}:");
    cluster.managers[&MemberId(old_leader)].wait_for_log(&stepped_down, 1);
    cluster.heal_links();
    // The messages that it sent as the leader during the partition are delivered now.
    cluster.wait_for_rejection(&majority, old_leader, term);
    cluster.wait_for_common_leader_after(term);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}
