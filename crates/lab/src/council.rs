//! The cost of consensus and the time without a leader: the commit rate with and without file syncs, and a cluster of
//! real processes whose leader is repeatedly killed, suspended, partitioned or terminated.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use juniperrail_consensus::{
    Member, MemberId, MemberRole, Members, Message, RaftConfig, RaftNode, Role, StoredState,
};
use juniperrail_store::{sim::SimDisk, DirectoryDisk, Disk, Limits, Store};
use juniperrail_trials::{ClusterConfig, LinkState, TestCluster};

use crate::report::Report;

const RAFT_CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 50.0,
    election_timeout_ms: 400.0,
    max_clock_drift_ratio: 0.05,
    max_entries_per_message: 64,
    max_uncommitted_entries: 4096,
};

/// A member with its store. Messages are delivered without delay, so only the node's computation and its syncs are
/// timed.
struct GroupMember<D> {
    node: RaftNode,
    store: Store<D>,
    /// The number of records committed to the store so far.
    durable_records: u64,
}

/// A consensus group in this process, with a simulated clock.
struct Group<D> {
    members: BTreeMap<MemberId, GroupMember<D>>,
    now_ms: f64,
}

impl<D: Disk> Group<D> {
    /// Creates the group and advances its clock until a member leads.
    fn new(count: u16, disk: impl Fn(u16) -> D) -> Group<D> {
        let voter = |id| (MemberId(id), Member { address: String::new(), role: MemberRole::Voter });
        let voters: Members = (1..=count).map(voter).collect();
        let member = |id: u16| {
            let store = Store::open(disk(id), Limits::default())
                .unwrap_or_else(|error| panic!("cannot open a new store: {error}"))
                .store;
            let node = RaftNode::start(
                MemberId(id),
                RAFT_CONFIG,
                voters.clone(),
                id.into(),
                0.0,
                StoredState::default(),
            );
            (MemberId(id), GroupMember { node, store, durable_records: 0 })
        };
        let mut group = Group { members: (1..=count).map(member).collect(), now_ms: 0.0 };
        while group.leader().is_none() {
            group.now_ms += 10.0;
            let now_ms = group.now_ms;
            group.members.values_mut().for_each(|member| member.node.tick(now_ms));
            group.run_until_idle();
        }
        group
    }

    /// The leader, once it holds a lease.
    fn leader(&self) -> Option<MemberId> {
        let leads = |member: &GroupMember<D>| {
            member.node.lease(self.now_ms).is_some() && member.node.role() == Role::Leader
        };
        self.members.iter().find(|(_, member)| leads(member)).map(|(id, _)| *id)
    }

    /// Stores records and delivers messages until no member has any left.
    fn run_until_idle(&mut self) {
        loop {
            // The sender, the receiver and the message.
            let mut sends: Vec<(MemberId, MemberId, Message)> = Vec::new();
            let mut idle = true;
            for (id, member) in &mut self.members {
                let actions = member.node.take_actions();
                idle &= actions.records.is_empty() && actions.messages.is_empty();
                sends.extend(actions.messages.into_iter().map(|(to, message)| (*id, to, message)));
                for record in &actions.records {
                    member
                        .store
                        .append(&record.encode())
                        .unwrap_or_else(|error| panic!("cannot append to the store: {error}"));
                    member.durable_records += 1;
                }
                if !actions.records.is_empty() {
                    member
                        .store
                        .commit()
                        .unwrap_or_else(|error| panic!("cannot commit to the store: {error}"));
                    member.node.handle_durable(self.now_ms, member.durable_records);
                }
            }
            if idle {
                return;
            }
            for (from, to, message) in sends {
                let receiver = self.members.get_mut(&to).expect("a member of the group");
                receiver.node.handle_message(self.now_ms, from, message);
            }
        }
    }

    /// Commits `count` entries in rounds of `batch` at a time. Returns the commits per second and the duration of each
    /// round in microseconds.
    fn commit_entries(&mut self, count: usize, batch: usize) -> (f64, Histogram<u64>) {
        let mut round_times_us = Histogram::new(3).expect("three significant digits are valid");
        let started = Instant::now();
        for _ in 0..count / batch {
            let round_started = Instant::now();
            let leader = self.leader().expect("a member leads");
            let member = self.members.get_mut(&leader).expect("a member of the group");
            let before = member.node.commit_index().0;
            for _ in 0..batch {
                member.node.propose(self.now_ms, vec![7; 64]).unwrap_or_else(|error| panic!("{error}"));
            }
            self.run_until_idle();
            assert!(
                self.members[&leader].node.commit_index().0 >= before + batch as u64,
                "all entries of the round are committed"
            );
            let round_us = round_started.elapsed().as_micros() as u64;
            round_times_us.record(round_us).expect("a resizing histogram takes every value");
            // Compaction keeps the log short, so that its growth does not enter the measurement.
            if self.members[&leader].node.log().len() > 4096 {
                for member in self.members.values_mut() {
                    let committed = member.node.commit_index();
                    member.node.compact(committed, Vec::new());
                }
            }
            self.now_ms += 1.0;
            let now_ms = self.now_ms;
            self.members
                .values_mut()
                .filter(|member| now_ms >= member.node.next_tick())
                .for_each(|member| member.node.tick(now_ms));
            self.run_until_idle();
        }
        (count as f64 / started.elapsed().as_secs_f64(), round_times_us)
    }
}

/// Prints the commit rate and the round time, and returns the rate.
fn report_commits(
    report: &Report,
    name: &str,
    (commits_per_second, round_times_us): (f64, Histogram<u64>),
) -> f64 {
    let p99_ms = round_times_us.value_at_quantile(0.99) as f64 / 1000.0;
    report.figure(name, format!("{commits_per_second:.0} commits/s, p99 of a round {p99_ms:.2} ms"));
    commits_per_second
}

/// Injects a fault at the leader and returns the milliseconds until another member logs that it leads. Reverts the
/// fault afterwards.
fn time_without_leader_ms(
    cluster: &mut TestCluster,
    fault: impl Fn(&mut TestCluster, u16),
    revert: impl Fn(&mut TestCluster, u16),
) -> f64 {
    let leader = cluster.wait_for_leader();
    std::thread::sleep(Duration::from_millis(300));
    let started = Instant::now();
    fault(cluster, leader);
    cluster.wait_for_leader_except(&[leader]);
    let elapsed_ms = started.elapsed().as_secs_f64() * 1000.0;
    revert(cluster, leader);
    std::thread::sleep(Duration::from_millis(700));
    elapsed_ms
}

/// Measures groups of 1, 3 and 5 members, then the time without a leader for each fault, `rounds` times.
pub fn run(report: &mut Report, rounds: usize) {
    for members in [1, 3, 5] {
        let mut group = Group::new(members, |id| SimDisk::new(id.into()));
        report_commits(
            report,
            &format!("{members} members, no syncs, batches of 1"),
            group.commit_entries(2000, 1),
        );
        report_commits(
            report,
            &format!("{members} members, no syncs, batches of 64"),
            group.commit_entries(20_000, 64),
        );
    }
    let directory: PathBuf = std::env::temp_dir().join(format!("juniperrail-council-{}", std::process::id()));
    let mut batch_speedup = 0.0;
    for members in [1, 3, 5] {
        let disk = |id: u16| {
            DirectoryDisk::open(directory.join(format!("{members}-{id}")))
                .expect("the temporary directory can be written")
        };
        let mut group = Group::new(members, disk);
        let single_rate = report_commits(
            report,
            &format!("{members} members, file syncs in sequence, batches of 1"),
            group.commit_entries(300, 1),
        );
        let batch_rate = report_commits(
            report,
            &format!("{members} members, file syncs in sequence, batches of 64"),
            group.commit_entries(6400, 64),
        );
        if members == 3 {
            batch_speedup = batch_rate / single_rate;
        }
    }
    _ = std::fs::remove_dir_all(&directory);
    report.bound(
        "3 members: rate in batches of 64 over batches of 1",
        format!("{batch_speedup:.1} times"),
        batch_speedup >= 8.0,
    );
    let config =
        ClusterConfig { proxies_per_manager: 0, schedules: String::new(), ..ClusterConfig::default() };
    let election_timeout_ms = f64::from(config.election_timeout_ms);
    let mut cluster = TestCluster::start(config);
    let mut times_by_fault: Vec<(&str, Vec<f64>)> = vec![
        ("killed", vec![]),
        ("suspended", vec![]),
        ("partitioned", vec![]),
        ("ended by SIGTERM", vec![]),
    ];
    for _ in 0..rounds {
        let start = |cluster: &mut TestCluster, id: u16| cluster.manager(id).start();
        times_by_fault[0].1.push(time_without_leader_ms(
            &mut cluster,
            |cluster, id| cluster.manager(id).kill(),
            start,
        ));
        let resume = |cluster: &mut TestCluster, id: u16| cluster.manager(id).resume();
        times_by_fault[1].1.push(time_without_leader_ms(
            &mut cluster,
            |cluster, id| cluster.manager(id).suspend(),
            resume,
        ));
        let heal = |cluster: &mut TestCluster, _| cluster.heal_links();
        times_by_fault[2].1.push(time_without_leader_ms(
            &mut cluster,
            |cluster, id| cluster.set_links_across(&[id], LinkState::Silent),
            heal,
        ));
        times_by_fault[3].1.push(time_without_leader_ms(
            &mut cluster,
            |cluster, id| _ = cluster.manager(id).terminate(),
            start,
        ));
    }
    for (fault, times_ms) in &mut times_by_fault {
        times_ms.sort_by(f64::total_cmp);
        let (median, max) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
        let times = format!("median {median:.0} ms, maximum {max:.0} ms of {}", times_ms.len());
        match *fault {
            // A terminated leader transfers its leadership, so the others do not wait for an election timeout.
            "ended by SIGTERM" => {
                report.bound(&format!("time without a leader, {fault}"), times, median < election_timeout_ms)
            }
            _ => report.bound(
                &format!("time without a leader, {fault}"),
                times,
                median < 4.0 * election_timeout_ms,
            ),
        }
    }
    let traffic = cluster.traffic.lock().expect("no link thread panics");
    let conflicting_terms = traffic.leaders.values().filter(|leaders| leaders.len() > 1).count();
    report.bound(
        "terms with two leaders",
        format!("{conflicting_terms} of {}", traffic.leaders.len()),
        conflicting_terms == 0,
    );
}
