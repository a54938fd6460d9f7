//! Consensus among several manager processes while some of them fail.

use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use juniperrail_consensus::MemberId;
use juniperrail_faults::Point;
use juniperrail_trials::*;

/// The names of the schedules of [`ClusterConfig::default`].
const SCHEDULES: [&str; 2] = ["warm", "grade"];

/// Starts a cluster and waits until there is a leader and each schedule was executed twice more.
fn start_with_leader(config: ClusterConfig) -> TestCluster {
    let cluster = TestCluster::start(config);
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster
}

/// The number of threads of a process.
fn thread_count(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/task")).map_or(0, Iterator::count)
}

/// The target of each open file descriptor of a process.
fn open_descriptors(pid: u32) -> Vec<String> {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let targets = descriptors.filter_map(|descriptor| fs::read_link(descriptor.path()).ok());
    targets.map(|target| target.display().to_string()).collect()
}

#[test]
fn managers_without_a_fleet_use_no_extra_threads_sockets_or_files_and_kills_violate_no_invariant() {
    let mut cluster = TestCluster::start(ClusterConfig { fleet: false, ..ClusterConfig::default() });
    let proxies = usize::from(cluster.config.proxies_per_manager);
    for id in 1..=3 {
        let pid = cluster.manager(id).pid().unwrap();
        assert_eq!(thread_count(pid), 1);
        // The listener, discovery, the proxies, and the socket pair by which signals wake the event loop, one end of
        // which is open twice.
        let descriptors = open_descriptors(pid);
        let sockets = descriptors.iter().filter(|target| target.starts_with("socket:")).count();
        assert!(sockets <= 5 + proxies, "{descriptors:?}");
        let files =
            descriptors.iter().filter(|target| target.starts_with('/') && !target.starts_with("/dev/"));
        assert_eq!(files.count(), 0, "{descriptors:?}");
        let files =
            fs::read_dir(cluster.manager(id).directory()).unwrap().flatten().map(|file| file.file_name());
        let mut files: Vec<String> = files.map(|name| name.into_string().unwrap()).collect();
        files.sort();
        assert_eq!(files, ["config.json", "log", "operator.xml"]);
    }
    cluster.drain("s-1");
    cluster.manager(2).kill();
    cluster.manager(2).start();
    cluster.manager(2).wait_for_address();
    assert_eq!(cluster.manager(1).terminate().and_then(|status| status.code()), Some(0));
    cluster.assert_invariants(&["grade"]);
}

/// Guards against managers of another cluster that still dial a port which a link of this cluster was given since: their
/// messages would be recorded as those of this cluster.
#[test]
fn links_listen_on_a_loopback_address_that_only_their_cluster_uses() {
    let clusters = [0, 1].map(|_| TestCluster::new(ClusterConfig::default()));
    let addresses = clusters
        .each_ref()
        .map(|cluster| cluster.links.values().map(|link| link.address.ip()).collect::<BTreeSet<_>>());
    for cluster_addresses in &addresses {
        assert_eq!(cluster_addresses.len(), 1, "{addresses:?}");
        assert!(!cluster_addresses.contains(&Ipv4Addr::LOCALHOST.into()), "{addresses:?}");
    }
    assert_ne!(addresses[0], addresses[1]);
}

#[test]
fn killed_leaders_are_replaced_and_no_execution_is_repeated_or_missed() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    for _ in 0..2 {
        let leader = cluster.wait_for_leader();
        cluster.manager(leader).kill();
        cluster.wait_for_leader_except(&[leader]);
        cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
        cluster.manager(leader).start();
    }
    cluster.drain("s-3");
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    let report = cluster.assert_invariants(&["grade"]);
    assert!(report.terms >= 3 && report.entries > 0 && report.executions >= 10, "{report:?}");
}

#[test]
fn a_partitioned_leader_steps_down_and_its_late_messages_are_rejected() {
    let cluster = start_with_leader(ClusterConfig::default());
    let (minority, term) = cluster.partition_leader_with(0);
    let leader = minority[0];
    let others: Vec<u16> = (1..=3).filter(|id| *id != leader).collect();
    cluster.wait_for_leader_except(&[leader]);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    let stepped_down = format!("this manager stepped down in term {term}:");
    cluster.managers[&MemberId(leader)].wait_for_log(&stepped_down, 1);
    cluster.heal_links();
    cluster.wait_for_rejection(&others, leader, term);
    cluster.wait_for_common_leader_after(term);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_suspended_leader_steps_down_when_it_resumes() {
    let cluster = start_with_leader(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    cluster.managers[&MemberId(leader)].suspend();
    cluster.wait_for_leader_except(&[leader]);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    cluster.managers[&MemberId(leader)].resume();
    cluster.managers[&MemberId(leader)].wait_for_log("stepped down in term", 1);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn schedules_continue_through_one_way_and_partial_partitions() {
    let cluster = start_with_leader(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    let others: Vec<u16> = (1..=3).filter(|id| *id != leader).collect();
    // The leader receives nothing from one follower, which still receives from the leader.
    cluster.set_link(others[0], leader, LinkState::HalfOpen);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.heal_links();
    // The leader and the other follower do not reach each other. The first follower reaches both.
    cluster.set_link(leader, others[1], LinkState::Silent);
    cluster.set_link(others[1], leader, LinkState::Silent);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    cluster.heal_links();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn after_all_members_are_killed_one_recovers_from_an_outdated_store() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    let old_store = cluster.directory.join("old");
    cluster.manager(2).kill();
    copy_dir(&cluster.store_dir(2), &old_store);
    cluster.manager(2).start();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    (1..=3).for_each(|id| cluster.manager(id).kill());
    copy_dir(&old_store, &cluster.store_dir(2));
    (1..=3).for_each(|id| cluster.manager(id).start());
    cluster.manager(2).wait_for_log("the store is lost or outdated", 1);
    cluster.manager(2).wait_for_log("the store has caught up", 1);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

/// The newest segment in a store's directory.
fn newest_segment(store: &Path) -> PathBuf {
    let files = fs::read_dir(store).unwrap().flatten().map(|file| file.path());
    let segments =
        files.filter(|path| path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("seg-")));
    segments.max().expect("a segment")
}

/// The newest segment that a store's manifest names, in its last field before the checksum.
fn newest_named_segment(store: &Path) -> PathBuf {
    let manifest = fs::read(store.join("MANIFEST")).unwrap();
    let number = u64::from_le_bytes(manifest[30..38].try_into().unwrap());
    store.join(format!("seg-{number:016}"))
}

#[test]
fn a_lost_and_a_torn_store_are_recovered_and_a_corrupted_one_is_not_used() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    cluster.manager(3).kill();
    fs::remove_dir_all(cluster.store_dir(3)).unwrap();
    cluster.manager(3).start();
    cluster.manager(3).wait_for_log("the store is lost or outdated", 1);
    cluster.manager(3).wait_for_log("the store has caught up", 1);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    // A kill within a segment rotation leaves a segment that the manifest does not name. It holds no records, so the
    // torn record is in the newest segment that the manifest names.
    cluster.manager(1).kill();
    let abort_in_rotation = format!("{}:1:abort", Point::STORE_SYNCED.0);
    cluster.manager(1).next_start_env.insert("JUNIPERRAIL_POINTS".into(), abort_in_rotation);
    cluster.manager(1).start();
    cluster.manager(1).wait_for_exit();
    let path = newest_named_segment(&cluster.store_dir(1));
    assert_ne!(newest_segment(&cluster.store_dir(1)), path, "the segment rotation was completed");
    // Bytes after the last record, as a power failure leaves them.
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, [&bytes[..], &[7; 9][..]].concat()).unwrap();
    cluster.manager(1).start();
    cluster.manager(1).wait_for_log("bytes were not completely written and are ignored", 1);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    // A bit of the manifest is flipped. Whatever the segments contain by now, the store is not used, and the manager
    // serves its proxies without the others.
    cluster.manager(1).kill();
    let path = cluster.store_dir(1).join("MANIFEST");
    let mut bytes = fs::read(&path).unwrap();
    bytes[8] ^= 0x10;
    fs::write(&path, bytes).unwrap();
    // The start that was aborted need not have served, so the lines are counted instead of the starts.
    let served_count = cluster.manager(1).count_log_lines("serves on ");
    cluster.manager(1).start();
    cluster.manager(1).wait_for_log("this manager plans without the others", 1);
    cluster.manager(1).wait_for_log("serves on ", served_count + 1);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_rolling_restart_transfers_leadership() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    for _ in 0..2 {
        let leader = cluster.wait_for_leader();
        let status = cluster.manager(leader).terminate();
        assert_eq!(status.and_then(|status| status.code()), Some(0));
        assert!(cluster.manager(leader).count_log_lines("transfers its leadership") > 0);
        cluster.wait_for_leader_except(&[leader]);
        cluster.manager(leader).start();
        cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    }
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn schedules_continue_despite_a_slow_peer_and_connections_that_send_undecodable_bytes() {
    let cluster = start_with_leader(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    let slow = (1..=3).find(|id| *id != leader).unwrap();
    cluster.set_link(leader, slow, LinkState::Delayed(2000));
    cluster.set_link(slow, leader, LinkState::Delayed(2000));
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    // Clients from outside the fleet connect and send bytes that cannot be decoded.
    let link = &cluster.links[&(MemberId(slow), MemberId(leader))];
    for _ in 0..40 {
        if let Ok(mut socket) = std::net::TcpStream::connect(link.address) {
            _ = std::io::Write::write_all(&mut socket, &[0xff; 4096]);
        }
    }
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn members_are_added_and_removed_by_a_later_generation_of_the_operator_file() {
    let mut cluster = TestCluster::new(ClusterConfig { managers: 4, ..ClusterConfig::default() });
    let member_ids = |ids: &[u16]| ids.iter().map(|id| MemberId(*id)).collect::<Vec<_>>();
    let first = member_ids(&[1, 2, 3]);
    (1..=3).for_each(|id| cluster.write_config_files(MemberId(id), 0, &first));
    (1..=3).for_each(|id| cluster.manager(id).start());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    let later = member_ids(&[2, 3, 4]);
    (2..=4).for_each(|id| cluster.write_config_files(MemberId(id), 1, &later));
    cluster.manager(4).start();
    // A planned restart of each remaining member with its new file. The next leader changes the membership.
    for id in [2, 3] {
        cluster.manager(id).terminate();
        cluster.manager(id).start();
        cluster.wait_for_leader();
        cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    }
    let removals = |cluster: &TestCluster| {
        cluster
            .managers
            .values()
            .map(|manager| manager.count_log_lines("the members change: Remove(MemberId(1))"))
            .sum::<usize>()
    };
    // Member 1 still has the old file and could continue to lead, so it is stopped, as an operator would do.
    cluster.manager(1).terminate();
    let started = std::time::Instant::now();
    while removals(&cluster) == 0 {
        assert!(started.elapsed() < WAIT_TIMEOUT);
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.executor.wait_for_more_executions(&SCHEDULES, 3);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_member_whose_store_fails_steps_down_and_later_recovers() {
    let mut cluster = TestCluster::new(ClusterConfig::default());
    // After eleven syncs that succeed, thirty in a row fail.
    let failures: Vec<String> = (12..42).map(|passing| format!("12:{passing}:error")).collect();
    cluster.manager(1).next_start_env.insert("JUNIPERRAIL_POINTS".into(), failures.join(","));
    (1..=3).for_each(|id| cluster.manager(id).start());
    cluster.wait_for_leader();
    cluster.manager(1).wait_for_log("the store fails", 1);
    cluster.wait_for_leader_except(&[1]);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 2);
    cluster.manager(1).wait_for_log("the store works again", 1);
    cluster.executor.wait_for_more_executions(&SCHEDULES, 1);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn without_a_majority_of_the_configured_members_no_leader_is_elected() {
    // Of 350 configured members seven run. They commit nothing, and each plans by itself.
    let cluster = TestCluster::start(ClusterConfig {
        managers: 7,
        absent_managers: 343,
        proxies_per_manager: 1,
        ..ClusterConfig::default()
    });
    for manager in cluster.managers.values() {
        manager.wait_for_log("accepting connections from other managers on", 1);
    }
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(cluster.leader(), None);
    assert!(cluster.executor.executions().is_empty());
    for manager in cluster.managers.values() {
        let pid = manager.pid().unwrap();
        assert!(thread_count(pid) <= 6, "{} threads", thread_count(pid));
    }
    cluster.assert_invariants(&["grade"]);
}
