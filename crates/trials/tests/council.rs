//! Consensus among several manager processes while some of them fail.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use juniperrail_consensus::MemberId;
use juniperrail_faults::Point;
use juniperrail_trials::*;

const BOTH: [&str; 2] = ["warm", "grade"];

fn start_with_leader(config: ClusterConfig) -> TestCluster {
    let cluster = TestCluster::start(config);
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster
}

fn thread_count(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/task")).map_or(0, Iterator::count)
}

/// The target of each open file descriptor of a process.
fn open_descriptors(pid: u32) -> Vec<String> {
    let all = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let held = all.filter_map(|held| fs::read_link(held.path()).ok());
    held.map(|held| held.display().to_string()).collect()
}

#[test]
fn with_nothing_set_there_is_no_thread_socket_or_file_more_and_the_rules_hold_through_kills() {
    let mut cluster = TestCluster::start(ClusterConfig { fleet: false, ..ClusterConfig::default() });
    let proxies = usize::from(cluster.config.proxies_per_manager);
    for id in 1..=3 {
        let pid = cluster.manager(id).pid().unwrap();
        assert_eq!(thread_count(pid), 1);
        // The listener, discovery, the proxies, and the pair by which signals wake the loop, one end of it twice.
        let held = open_descriptors(pid);
        let sockets = held.iter().filter(|held| held.starts_with("socket:")).count();
        assert!(sockets <= 5 + proxies, "{held:?}");
        let files = held.iter().filter(|held| held.starts_with('/') && !held.starts_with("/dev/"));
        assert_eq!(files.count(), 0, "{held:?}");
        let files =
            fs::read_dir(cluster.manager(id).folder()).unwrap().flatten().map(|file| file.file_name());
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

#[test]
fn a_killed_leader_is_followed_by_another_and_nothing_is_done_twice_or_left_out() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    for _ in 0..2 {
        let leader = cluster.wait_for_leader();
        cluster.manager(leader).kill();
        cluster.wait_for_leader_except(&[leader]);
        cluster.executor.wait_for_more(&BOTH, 2);
        cluster.manager(leader).start();
    }
    cluster.drain("s-3");
    cluster.executor.wait_for_more(&BOTH, 1);
    let report = cluster.assert_invariants(&["grade"]);
    assert!(report.terms >= 3 && report.entries > 0 && report.executions >= 10, "{report:?}");
}

#[test]
fn a_leader_cut_off_is_deposed_and_its_late_word_is_refused() {
    let cluster = start_with_leader(ClusterConfig::default());
    let (cut_off, term) = cluster.cut_off_leader_with(0);
    let leader = cut_off[0];
    let others: Vec<u16> = (1..=3).filter(|id| *id != leader).collect();
    cluster.wait_for_leader_except(&[leader]);
    cluster.executor.wait_for_more(&BOTH, 2);
    let stepped_down = format!("this manager stepped down in term {term}:");
    cluster.managers[&MemberId(leader)].wait_for_log(&stepped_down, 1);
    cluster.heal_links();
    cluster.wait_for_refusal(&others, leader, term);
    cluster.wait_for_common_leader_after(term);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_leader_that_is_stopped_and_let_go_on_is_refused() {
    let cluster = start_with_leader(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    cluster.managers[&MemberId(leader)].suspend();
    cluster.wait_for_leader_except(&[leader]);
    cluster.executor.wait_for_more(&BOTH, 3);
    cluster.managers[&MemberId(leader)].resume();
    cluster.managers[&MemberId(leader)].wait_for_log("stepped down in term", 1);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn links_cut_one_way_and_a_ring_of_partial_cuts() {
    let cluster = start_with_leader(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    let others: Vec<u16> = (1..=3).filter(|id| *id != leader).collect();
    // The leader receives nothing from one of them, which still receives from the leader.
    cluster.set_link(others[0], leader, LinkState::HalfOpen);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.heal_links();
    // The leader reaches one of them, that one reaches the other, and the other and the leader do not reach each other.
    cluster.set_link(leader, others[1], LinkState::Silent);
    cluster.set_link(others[1], leader, LinkState::Silent);
    cluster.executor.wait_for_more(&BOTH, 3);
    cluster.heal_links();
    cluster.executor.wait_for_more(&BOTH, 1);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn all_are_killed_at_once_and_one_comes_back_with_an_old_store() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    let old = cluster.folder.join("old");
    cluster.manager(2).kill();
    copy_dir(&cluster.store_dir(2), &old);
    cluster.manager(2).start();
    cluster.executor.wait_for_more(&BOTH, 3);
    (1..=3).for_each(|id| cluster.manager(id).kill());
    copy_dir(&old, &cluster.store_dir(2));
    (1..=3).for_each(|id| cluster.manager(id).start());
    cluster.manager(2).wait_for_log("the store is lost or outdated", 1);
    cluster.manager(2).wait_for_log("the store has caught up", 1);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

/// The newest segment in a store's directory.
fn newest_segment(store: &Path) -> PathBuf {
    let files = fs::read_dir(store).unwrap().flatten().map(|file| file.path());
    let segments =
        files.filter(|path| path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("seg-")));
    segments.max().expect("a segment")
}

/// The newest segment that a store's manifest names, by the manifest's last field before its checksum.
fn newest_named_segment(store: &Path) -> PathBuf {
    let manifest = fs::read(store.join("MANIFEST")).unwrap();
    let number = u64::from_le_bytes(manifest[30..38].try_into().unwrap());
    store.join(format!("seg-{number:016}"))
}

#[test]
fn a_lost_store_a_torn_one_and_one_that_is_damaged() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    cluster.manager(3).kill();
    fs::remove_dir_all(cluster.store_dir(3)).unwrap();
    cluster.manager(3).start();
    cluster.manager(3).wait_for_log("the store is lost or outdated", 1);
    cluster.manager(3).wait_for_log("the store has caught up", 1);
    cluster.executor.wait_for_more(&BOTH, 1);
    // A kill within a segment rotation leaves a segment that the manifest does not name. It holds no records, so the
    // torn record is in the newest segment that the manifest names.
    cluster.manager(1).kill();
    let abort_in_rotation = format!("{}:1:abort", Point::STORE_SYNCED.0);
    cluster.manager(1).next_start_env.insert("JUNIPERRAIL_POINTS".into(), abort_in_rotation);
    cluster.manager(1).start();
    cluster.manager(1).wait_for_exit();
    let path = newest_named_segment(&cluster.store_dir(1));
    assert_ne!(newest_segment(&cluster.store_dir(1)), path, "the rotation is incomplete");
    // Bytes after the last record, as a power failure leaves them.
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, [&bytes[..], &[7; 9][..]].concat()).unwrap();
    cluster.manager(1).start();
    cluster.manager(1).wait_for_log("bytes were not completely written and are ignored", 1);
    cluster.executor.wait_for_more(&BOTH, 1);
    // A flipped bit in the manifest, whatever the segments hold by now: the store is not used, and the manager serves
    // its proxies alone.
    cluster.manager(1).kill();
    let path = cluster.store_dir(1).join("MANIFEST");
    let mut bytes = fs::read(&path).unwrap();
    bytes[8] ^= 0x10;
    fs::write(&path, bytes).unwrap();
    cluster.manager(1).start();
    cluster.manager(1).wait_for_log("this manager plans without the others", 1);
    cluster.manager(1).wait_for_address();
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_rolling_restart_hands_the_office_over() {
    let mut cluster = start_with_leader(ClusterConfig::default());
    for _ in 0..2 {
        let leader = cluster.wait_for_leader();
        let status = cluster.manager(leader).terminate();
        assert_eq!(status.and_then(|status| status.code()), Some(0));
        assert!(cluster.manager(leader).count_log_lines("transfers its leadership") > 0);
        cluster.wait_for_leader_except(&[leader]);
        cluster.manager(leader).start();
        cluster.executor.wait_for_more(&BOTH, 2);
    }
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_slow_peer_and_one_that_floods_cost_only_themselves() {
    let cluster = start_with_leader(ClusterConfig::default());
    let leader = cluster.wait_for_leader();
    let slow = (1..=3).find(|id| *id != leader).unwrap();
    cluster.set_link(leader, slow, LinkState::Delayed(2000));
    cluster.set_link(slow, leader, LinkState::Delayed(2000));
    cluster.executor.wait_for_more(&BOTH, 3);
    // Connections from outside the fleet, which send bytes that cannot be decoded.
    let link = &cluster.links[&(MemberId(slow), MemberId(leader))];
    for _ in 0..40 {
        if let Ok(mut socket) = std::net::TcpStream::connect(link.address) {
            _ = std::io::Write::write_all(&mut socket, &[0xff; 4096]);
        }
    }
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn members_are_added_and_removed_by_a_later_version_of_the_file() {
    let mut cluster = TestCluster::new(ClusterConfig { managers: 4, ..ClusterConfig::default() });
    let named = |ids: &[u16]| ids.iter().map(|id| MemberId(*id)).collect::<Vec<_>>();
    let first = named(&[1, 2, 3]);
    (1..=3).for_each(|id| cluster.write_config_files(MemberId(id), 0, &first));
    (1..=3).for_each(|id| cluster.manager(id).start());
    cluster.wait_for_leader();
    cluster.executor.wait_for_more(&BOTH, 1);
    let later = named(&[2, 3, 4]);
    (2..=4).for_each(|id| cluster.write_config_files(MemberId(id), 1, &later));
    cluster.manager(4).start();
    // A planned restart of each with its new file; the next leader changes the membership.
    for id in [2, 3] {
        cluster.manager(id).terminate();
        cluster.manager(id).start();
        cluster.wait_for_leader();
        cluster.executor.wait_for_more(&BOTH, 1);
    }
    let removals = |cluster: &TestCluster| {
        cluster
            .managers
            .values()
            .map(|manager| manager.count_log_lines("the members change: Remove(MemberId(1))"))
            .sum::<usize>()
    };
    // If the manager with the old file leads, it keeps the lead: it is stopped, as an operator would do.
    cluster.manager(1).terminate();
    let begun = std::time::Instant::now();
    while removals(&cluster) == 0 {
        assert!(begun.elapsed() < WAIT_TIMEOUT);
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.executor.wait_for_more(&BOTH, 3);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_store_that_fails_makes_its_member_step_down_and_it_comes_back() {
    let mut cluster = TestCluster::new(ClusterConfig::default());
    // A while after its start thirty syncs in a row fail.
    let fails: Vec<String> = (12..42).map(|passing| format!("12:{passing}:error")).collect();
    cluster.manager(1).next_start_env.insert("JUNIPERRAIL_POINTS".into(), fails.join(","));
    (1..=3).for_each(|id| cluster.manager(id).start());
    cluster.wait_for_leader();
    cluster.manager(1).wait_for_log("the store fails", 1);
    cluster.wait_for_leader_except(&[1]);
    cluster.executor.wait_for_more(&BOTH, 2);
    cluster.manager(1).wait_for_log("the store works again", 1);
    cluster.executor.wait_for_more(&BOTH, 1);
    cluster.assert_invariants(&["grade"]);
}

#[test]
fn a_few_run_of_many_that_are_named() {
    // 350 members are configured and seven run: without a majority nothing is agreed, and each decides alone.
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
