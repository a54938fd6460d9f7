//! What agreement costs and how long nobody leads: commits over real syncs and without, and real processes whose leader is
//! killed, stopped and cut off.

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

const FIGURES: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 50.0,
    election_timeout_ms: 400.0,
    max_clock_drift_ratio: 0.05,
    max_entries_per_message: 64,
    max_uncommitted_entries: 4096,
};

/// A member with its store; messages take no time, so that what is left is deciding and syncing.
struct One<D> {
    council: RaftNode,
    store: Store<D>,
    written: u64,
}

struct Group<D> {
    all: BTreeMap<MemberId, One<D>>,
    now: f64,
}

impl<D: Disk> Group<D> {
    fn new(count: u16, disk: impl Fn(u16) -> D) -> Group<D> {
        let member = |id| (MemberId(id), Member { address: String::new(), role: MemberRole::Voter });
        let named: Members = (1..=count).map(member).collect();
        let one = |id: u16| {
            let store = Store::open(disk(id), Limits::default())
                .unwrap_or_else(|why| panic!("a new store: {why}"))
                .store;
            let council =
                RaftNode::start(MemberId(id), FIGURES, named.clone(), id.into(), 0.0, StoredState::default());
            (MemberId(id), One { council, store, written: 0 })
        };
        let mut group = Group { all: (1..=count).map(one).collect(), now: 0.0 };
        while group.leader().is_none() {
            group.now += 10.0;
            let now = group.now;
            group.all.values_mut().for_each(|one| one.council.tick(now));
            group.settle();
        }
        group
    }

    fn leader(&self) -> Option<MemberId> {
        let leads =
            |one: &One<D>| one.council.lease(self.now).is_some() && one.council.role() == Role::Leader;
        self.all.iter().find(|(_, one)| leads(one)).map(|(id, _)| *id)
    }

    /// Until nobody has anything to write or to say.
    fn settle(&mut self) {
        loop {
            let mut sends: Vec<(MemberId, MemberId, Message)> = Vec::new();
            let mut idle = true;
            for (id, one) in &mut self.all {
                let done = one.council.take_actions();
                idle &= done.records.is_empty() && done.messages.is_empty();
                sends.extend(done.messages.into_iter().map(|(to, message)| (*id, to, message)));
                for record in &done.records {
                    one.store.append(&record.encode()).unwrap_or_else(|why| panic!("room: {why}"));
                    one.written += 1;
                }
                if !done.records.is_empty() {
                    one.store.commit().unwrap_or_else(|why| panic!("a sound disk: {why}"));
                    one.council.handle_durable(self.now, one.written);
                }
            }
            if idle {
                return;
            }
            for (from, to, message) in sends {
                let one = self.all.get_mut(&to).expect("a member");
                one.council.handle_message(self.now, from, message);
            }
        }
    }

    /// Commits so many, `together` at once: how many a second, and the time of each round.
    fn commits(&mut self, count: usize, together: usize) -> (f64, Histogram<u64>) {
        let mut took = Histogram::new(3).expect("three digits");
        let begun = Instant::now();
        for _ in 0..count / together {
            let round = Instant::now();
            let leader = self.leader().expect("it leads");
            let one = self.all.get_mut(&leader).expect("a member");
            let before = one.council.commit_index().0;
            for _ in 0..together {
                one.council.propose(self.now, vec![7; 64]).unwrap_or_else(|why| panic!("{why}"));
            }
            self.settle();
            assert!(self.all[&leader].council.commit_index().0 >= before + together as u64, "all are agreed");
            took.record(round.elapsed().as_micros() as u64).expect("within an hour");
            // A log that grows without end is not what is measured.
            if self.all[&leader].council.log().len() > 4096 {
                for one in self.all.values_mut() {
                    let at = one.council.commit_index();
                    one.council.compact(at, Vec::new());
                }
            }
            self.now += 1.0;
            let now = self.now;
            self.all
                .values_mut()
                .filter(|one| now >= one.council.next_tick())
                .for_each(|one| one.council.tick(now));
            self.settle();
        }
        (count as f64 / begun.elapsed().as_secs_f64(), took)
    }
}

fn figures(report: &Report, what: &str, (rate, took): (f64, Histogram<u64>)) -> f64 {
    let p99 = took.value_at_quantile(0.99) as f64 / 1000.0;
    report.figure(what, format!("{rate:.0} commits/s, a round {p99:.2} ms at p99"));
    rate
}

/// How long nobody leads, in milliseconds: the time to the next leader's log line.
fn leaderless(
    town: &mut TestCluster,
    fault: impl Fn(&mut TestCluster, u16),
    mend: impl Fn(&mut TestCluster, u16),
) -> f64 {
    let leader = town.wait_for_leader();
    std::thread::sleep(Duration::from_millis(300));
    let begun = Instant::now();
    fault(town, leader);
    town.wait_for_leader_except(&[leader]);
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    mend(town, leader);
    std::thread::sleep(Duration::from_millis(700));
    took
}

pub fn run(report: &mut Report, rounds: usize) {
    for members in [1, 3, 5] {
        let mut group = Group::new(members, |id| SimDisk::new(id.into()));
        figures(report, &format!("{members} members, no sync cost, one at a time"), group.commits(2000, 1));
        figures(report, &format!("{members} members, no sync cost, 64 together"), group.commits(20_000, 64));
    }
    let folder: PathBuf = std::env::temp_dir().join(format!("juniperrail-council-{}", std::process::id()));
    let mut single = 0.0;
    for members in [1, 3, 5] {
        let disk = |id: u16| DirectoryDisk::open(folder.join(format!("{members}-{id}"))).expect("a folder");
        let mut group = Group::new(members, disk);
        let one = figures(
            report,
            &format!("{members} members, real syncs one by one, one at a time"),
            group.commits(300, 1),
        );
        let many = figures(
            report,
            &format!("{members} members, real syncs one by one, 64 together"),
            group.commits(6400, 64),
        );
        if members == 3 {
            single = many / one;
        }
    }
    _ = std::fs::remove_dir_all(&folder);
    report.bound("3 members: 64 together against one at a time", format!("{single:.1} times"), single >= 8.0);
    let made = ClusterConfig { proxies_per_manager: 0, schedules: String::new(), ..ClusterConfig::default() };
    let election = f64::from(made.election_timeout_ms);
    let mut town = TestCluster::start(made);
    let mut all: Vec<(&str, Vec<f64>)> =
        vec![("killed", vec![]), ("stopped", vec![]), ("cut off", vec![]), ("ended by SIGTERM", vec![])];
    for _ in 0..rounds {
        let start = |town: &mut TestCluster, id: u16| town.manager(id).start();
        all[0].1.push(leaderless(&mut town, |town, id| town.manager(id).kill(), start));
        let go_on = |town: &mut TestCluster, id: u16| town.manager(id).resume();
        all[1].1.push(leaderless(&mut town, |town, id| town.manager(id).suspend(), go_on));
        let heal = |town: &mut TestCluster, _| town.heal_links();
        all[2].1.push(leaderless(
            &mut town,
            |town, id| town.set_links_across(&[id], LinkState::Silent),
            heal,
        ));
        all[3].1.push(leaderless(&mut town, |town, id| _ = town.manager(id).terminate(), start));
    }
    for (what, took) in &mut all {
        took.sort_by(f64::total_cmp);
        let (middle, worst) = (took[took.len() / 2], took[took.len() - 1]);
        let shown = format!("{middle:.0} ms at the middle, {worst:.0} ms at the worst of {}", took.len());
        match *what {
            // Nobody waits for an election: less than one passes.
            "ended by SIGTERM" => {
                report.bound(&format!("without a leader, one {what}"), shown, middle < election)
            }
            _ => report.bound(&format!("without a leader, one {what}"), shown, middle < 4.0 * election),
        }
    }
    let seen = town.traffic.lock().expect("no wire panics");
    let two = seen.leaders.values().filter(|leaders| leaders.len() > 1).count();
    report.bound("terms with two leaders", format!("{two} of {}", seen.leaders.len()), two == 0);
}
