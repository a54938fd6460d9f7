//! A cluster of manager processes with stand-ins for discovery, proxies and the worker that runs schedules, and a link
//! for each direction between two managers.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use juniperrail_consensus::MemberId;
use juniperrail_standins::{instance_json, list_json, Discovery, Proxies, RuleChecker, RuleLimits, SETTINGS};

use crate::executor::Executor;
use crate::link::{Link, LinkState, Traffic};
use crate::process::{ManagerProcess, WAIT_TIMEOUT};
use crate::topology::{WORKERS, ZONES};
use crate::zone_faults::ZoneFaults;

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of managers that can be started.
    pub managers: u16,
    /// Number of further managers, which every operator file lists and which never run.
    pub absent_managers: u16,
    /// Whether the operator files configure a fleet. Without a fleet each manager plans by itself.
    pub fleet: bool,
    /// Number of proxies connected to each manager.
    pub proxies_per_manager: u16,
    /// Schedules as XML for the operator file, with `WORKER` in place of the executor's address.
    pub schedules: String,
    /// Interval between heartbeats of the leader, in milliseconds.
    pub heartbeat_ms: u32,
    /// Election timeout in milliseconds.
    pub election_timeout_ms: u32,
    /// Number of log entries above which the log is compacted.
    pub max_log_entries: u32,
    /// Whether the operator files configure zone failover, whose plans the managers then commit.
    pub failover: bool,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        let schedules = [
            schedule_xml("warm", "idempotent", "* * * * * *"),
            schedule_xml("grade", "side-effecting", "* * * * * *"),
        ];
        ClusterConfig {
            managers: 3,
            absent_managers: 0,
            fleet: true,
            proxies_per_manager: 3,
            schedules: schedules.concat(),
            heartbeat_ms: 50,
            election_timeout_ms: 400,
            max_log_entries: 20,
            failover: false,
        }
    }
}

/// A schedule as XML for the operator file. `effect` is `idempotent` or `side-effecting`.
pub fn schedule_xml(name: &str, effect: &str, cron: &str) -> String {
    format!(
        "<schedule><name>{name}</name><cron>{cron}</cron><worker>WORKER</worker><path>/{name}</path>\
         <effect>{effect}</effect><deadline>3000</deadline><backoff>100</backoff><lease>1600</lease>\
         <overlap>queue</overlap></schedule>"
    )
}

/// A cluster of manager processes, which are killed when the cluster is dropped.
pub struct TestCluster {
    /// The configuration it was created with.
    pub config: ClusterConfig,
    /// Its temporary directory. It is not removed after a panic, so that the logs can be read.
    pub directory: PathBuf,
    /// The stand-in for discovery, which lists the workers.
    pub discovery: Discovery,
    /// The stand-in for the worker that runs schedules.
    pub executor: Executor,
    /// The managers by member id, which starts at 1.
    pub managers: BTreeMap<MemberId, ManagerProcess>,
    /// The links by sending and receiving manager.
    pub links: BTreeMap<(MemberId, MemberId), Link>,
    /// What was observed on all links.
    pub traffic: Arc<Mutex<Traffic>>,
    /// The proxies of each manager, in the order of `managers`; empty until they are started.
    pub proxies: Vec<Proxies>,
    /// The zone failures that collectors report.
    pub zone_faults: Arc<ZoneFaults>,
    /// The address on which each manager accepts connections from the others.
    listen_addresses: BTreeMap<MemberId, SocketAddr>,
    /// The version of the worker list last published.
    list_version: u64,
}

/// The stand-ins' settings with a third zone, and with a shorter report interval and delay, so that tests are short.
fn manager_settings() -> String {
    let settings = SETTINGS.replace(r#""zones":["a","b"]"#, r#""zones":["a","b","c"]"#);
    let settings = settings.replace(r#""period-ms":2000"#, r#""period-ms":300"#);
    settings.replace(r#""worst-transit-ms":900"#, r#""worst-transit-ms":200"#)
}

/// The lease of a failover plan, in milliseconds.
pub const PLAN_LEASE_MS: u64 = 4000;

/// The XML namespace of a fleet's configuration.
const NAMESPACE: &str = "tag:juniperrail.example,2026:yang:manager";

/// The numbers of a cluster's proxies start at 0 and are lower than this.
const MAX_PROXIES: u16 = 100;

/// The address on which a manager accepts connections from the others. Each cluster has its own loopback address, so
/// that the port cannot be taken by another process that binds a free port on 127.0.0.1.
fn listen_address(cluster: usize, id: MemberId) -> SocketAddr {
    let process = std::process::id();
    let octets = [127, 1 + (process / 250 % 250) as u8, 1 + (process % 250) as u8, 1 + (cluster % 250) as u8];
    SocketAddr::from((octets, 20_000 + id.0))
}

impl TestCluster {
    /// Writes the configuration of all managers and starts the stand-ins, but no manager or proxy.
    pub fn new(config: ClusterConfig) -> TestCluster {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("juniperrail-trial-{}-{number}", std::process::id()));
        _ = fs::remove_dir_all(&directory);
        let discovery = Discovery::start();
        discovery.publish(&list_json(
            1,
            true,
            &WORKERS.map(|(id, zone)| instance_json(id, zone, "127.0.0.1:9", "ready")),
        ));
        let executor = Executor::start();
        let traffic = Arc::new(Mutex::new(Traffic::default()));
        let ids: Vec<MemberId> = (1..=config.managers).map(MemberId).collect();
        let configured: Vec<MemberId> =
            (1..=config.managers + config.absent_managers).map(MemberId).collect();
        let listen_addresses: BTreeMap<MemberId, SocketAddr> =
            configured.iter().map(|id| (*id, listen_address(number, *id))).collect();
        let pairs =
            ids.iter().flat_map(|from| ids.iter().map(move |to| (*from, *to))).filter(|(a, b)| a != b);
        let links: BTreeMap<_, _> = pairs
            .map(|(from, to)| ((from, to), Link::start(from, listen_addresses[&to], traffic.clone())))
            .collect();
        let mut cluster = TestCluster {
            directory,
            discovery,
            executor,
            managers: BTreeMap::new(),
            links,
            traffic,
            proxies: Vec::new(),
            zone_faults: Arc::default(),
            listen_addresses,
            list_version: 1,
            config,
        };
        for id in ids {
            let directory = cluster.directory.join(format!("n{}", id.0));
            fs::create_dir_all(&directory).expect("the directory can be created");
            cluster.managers.insert(id, ManagerProcess::new(&format!("n{}", id.0), directory));
            cluster.write_config_files(id, 0, &configured);
        }
        cluster
    }

    /// Writes the configuration of a manager. Its operator file has this generation and lists these members.
    pub fn write_config_files(&self, id: MemberId, generation: u64, members: &[MemberId]) {
        let directory = self.managers[&id].directory();
        let config = format!(
            r#"{{"name":"n{}","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be9{:02x}",
            "settings":{}}}"#,
            id.0,
            self.discovery.address,
            id.0,
            manager_settings()
        );
        fs::write(directory.join("config.json"), config).expect("the file can be written");
        fs::write(directory.join("operator.xml"), self.operator_xml(id, generation, members))
            .expect("the file can be written");
    }

    /// The operator file of a manager.
    fn operator_xml(&self, id: MemberId, generation: u64, members: &[MemberId]) -> String {
        let root = "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">";
        if !self.config.fleet {
            return format!("{root}</config>");
        }
        let address = |other: &MemberId| match self.links.get(&(id, *other)) {
            Some(link) => link.address,
            None => self.listen_addresses[other],
        };
        let member = |other: &MemberId| {
            format!(
                "<member-of><number>{}</number><address>{}</address></member-of>",
                other.0,
                address(other)
            )
        };
        let member_list: String = members.iter().map(member).collect();
        let schedules = self.config.schedules.replace("WORKER", &self.executor.address.to_string());
        let ClusterConfig { heartbeat_ms, election_timeout_ms, max_log_entries, .. } = self.config;
        let failover = match self.config.failover {
            true => format!("<failover><plan-lease>{PLAN_LEASE_MS}</plan-lease></failover>"),
            false => String::new(),
        };
        format!(
            "{root}<fleet xmlns=\"{NAMESPACE}\"><name>cluster</name><member>{}</member><listen>{}</listen>\
             <store>council</store><generation>{generation}</generation><heartbeat>{heartbeat_ms}</heartbeat>\
             <election>{election_timeout_ms}</election><entries>{max_log_entries}</entries><probe-period>200</probe-period><probe-answer>80</probe-answer>\
             {member_list}{failover}{schedules}</fleet></config>",
            id.0, self.listen_addresses[&id]
        )
    }

    /// Creates a cluster and starts all managers and their proxies.
    pub fn start(config: ClusterConfig) -> TestCluster {
        let mut cluster = TestCluster::new(config);
        cluster.managers.values_mut().for_each(ManagerProcess::start);
        cluster.start_proxies();
        cluster
    }

    /// Connects proxies to every manager and waits until each proxy has a table with workers.
    pub fn start_proxies(&mut self) {
        if self.config.proxies_per_manager == 0 {
            return;
        }
        for (position, manager) in self.managers.values().enumerate() {
            let mut checker = RuleChecker::new(RuleLimits {
                // The manager's drain grace and an allowance for a busy machine.
                drain_grace_ms: 3000.0 + 12_000.0,
                max_messages: usize::MAX,
                message_window_ms: 10_000.0,
                max_waiting_lines: 5000.0,
                message_overhead_lines: 4.0,
            });
            WORKERS.iter().for_each(|(worker, _)| checker.add_known_worker(worker));
            let first = self.config.proxies_per_manager * position as u16;
            self.proxies.push(Proxies::start(
                manager.wait_for_address(),
                first,
                self.config.proxies_per_manager,
                &ZONES,
                checker,
            ));
        }
        self.proxies.iter().for_each(|proxies| {
            let proxies_with_table = |checker: &RuleChecker| {
                (0..MAX_PROXIES).filter(|proxy| !checker.routable_workers(*proxy).is_empty()).count()
            };
            proxies.wait_until("every proxy has a table", |checker| {
                proxies_with_table(checker) >= usize::from(proxies.count())
            });
        });
    }

    /// Connects a collector of each zone to every manager. Restarting a manager ends the connections of its collectors.
    pub fn start_collectors(&self) {
        self.managers.keys().for_each(|id| self.start_collectors_at(*id));
    }

    /// Connects a collector of each zone to one manager.
    pub fn start_collectors_at(&self, id: MemberId) {
        let address = self.managers[&id].wait_for_address();
        ZONES.iter().for_each(|zone| self.zone_faults.start_collector(zone, address));
    }

    /// The number of proxies of a manager that may route requests to a worker.
    pub fn count_proxies_routing_to(&self, id: u16, worker: &str) -> usize {
        let proxies = &self.proxies[usize::from(id) - 1];
        proxies.with_checker(|checker| {
            (0..MAX_PROXIES).filter(|proxy| checker.routable_workers(*proxy).contains_key(worker)).count()
        })
    }

    /// Waits until all proxies of these managers may route to each of these workers, or without `routed` until none may
    /// route to any. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_routing(&self, ids: &[u16], workers: &[&str], routed: bool) {
        let started = Instant::now();
        let expected = if routed { usize::from(self.config.proxies_per_manager) } else { 0 };
        loop {
            let mut pairs = ids.iter().flat_map(|id| workers.iter().map(move |worker| (id, worker)));
            if pairs.all(|(id, worker)| self.count_proxies_routing_to(*id, worker) == expected) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the proxies of managers {ids:?} {} {workers:?}",
                if routed { "do not all route to" } else { "still route to some of" }
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The violations of the proxy protocol's rules that the checkers of the proxies found.
    pub fn rule_violations(&self) -> Vec<String> {
        let violations = |proxies: &Proxies| {
            let now = proxies.now_ms();
            proxies.with_checker(|checker| {
                checker.check_removals(now);
                checker.violations.iter().map(|violation| format!("{violation:?}")).collect::<Vec<_>>()
            })
        };
        self.proxies.iter().flat_map(violations).collect()
    }

    /// Marks a worker as draining in discovery. The checkers expect every proxy to stop routing to it within their
    /// drain grace.
    pub fn drain(&mut self, worker: &str) {
        self.list_version += 1;
        for proxies in &self.proxies {
            let now = proxies.now_ms();
            proxies.with_checker(|checker| checker.start_removal(worker, now));
        }
        let zone = WORKERS.iter().find(|(id, _)| *id == worker).map_or("a", |(_, zone)| zone);
        self.discovery.publish(&list_json(
            self.list_version,
            false,
            &[instance_json(worker, zone, "127.0.0.1:9", "draining")],
        ));
    }

    /// The manager with this member id.
    pub fn manager(&mut self, id: u16) -> &mut ManagerProcess {
        self.managers.get_mut(&MemberId(id)).expect("the cluster has a manager with this id")
    }

    /// Sets the links between a group of managers and the others, in both directions.
    pub fn set_links_across(&self, group: &[u16], state: LinkState) {
        for ((from, to), link) in &self.links {
            if group.contains(&from.0) != group.contains(&to.0) {
                link.set(state);
            }
        }
    }

    /// Sets the link in one direction between two managers.
    pub fn set_link(&self, from: u16, to: u16, state: LinkState) {
        self.links[&(MemberId(from), MemberId(to))].set(state);
    }

    /// Opens all links.
    pub fn heal_links(&self) {
        self.links.values().for_each(|link| link.set(LinkState::Open));
    }

    /// The leader and its term as a manager last logged them. `None` if it knows no leader: it stepped down, its
    /// store fails, or it was restarted and has not learned of a leader yet.
    pub fn known_leader(&self, id: MemberId) -> Option<(u16, u64)> {
        let lines = self.managers[&id].log_lines();
        let changes_known_leader = |line: &&String| {
            [" leads in term ", "stepped down in term", "cannot lead and", "serves on"]
                .iter()
                .any(|part| line.contains(part))
        };
        let line = lines.iter().rev().find(changes_known_leader)?;
        let (leader, term) = line.split_once("fleet: ")?.1.split_once(" leads in term ")?;
        let leader = match leader {
            "this manager" => id.0,
            other => other.strip_prefix("member ")?.parse().ok()?,
        };
        Some((leader, term.trim().parse().ok()?))
    }

    /// The running manager that leads in the highest term, according to the managers' own logs.
    pub fn leader(&self) -> Option<u16> {
        let running = self.managers.iter().filter(|(_, manager)| manager.pid().is_some());
        let leading = running
            .filter_map(|(id, _)| self.known_leader(*id).filter(|(leader, _)| *leader == id.0))
            .map(|(leader, term)| (term, leader));
        leading.max().map(|(_, leader)| leader)
    }

    /// Waits until all managers, the leader included, know the same leader in the same term, and that term is later
    /// than `term`. Returns the leader and its term. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_common_leader_after(&self, term: u64) -> (u16, u64) {
        let started = Instant::now();
        loop {
            let known: Vec<Option<(u16, u64)>> =
                self.managers.keys().map(|id| self.known_leader(*id)).collect();
            if let Some(common) = known[0].filter(|common| common.1 > term) {
                if known.iter().all(|other| *other == Some(common)) {
                    return common;
                }
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "no common leader after term {term}: {known:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Partitions the leader and this many followers from the others. Returns this minority, the leader first, and the
    /// leader's term. Heals the links and tries again where another manager was elected just before, as happens on a
    /// busy machine. Panics after ten attempts.
    pub fn partition_leader_with(&self, followers: usize) -> (Vec<u16>, u64) {
        for _ in 0..10 {
            let (leader, term) = self.wait_for_common_leader_after(0);
            let others = (1..=self.config.managers).filter(|id| *id != leader).take(followers);
            let minority: Vec<u16> = [leader].into_iter().chain(others).collect();
            self.set_links_across(&minority, LinkState::Silent);
            let still_leads = self.known_leader(MemberId(leader)) == Some((leader, term));
            if still_leads && self.leader() == Some(leader) {
                return (minority, term);
            }
            self.heal_links();
        }
        panic!("in ten attempts no leader still led when it was partitioned");
    }

    /// Waits until one of the managers `by` has rejected a message that `leader` sent as the leader of `term`. Panics
    /// after [`WAIT_TIMEOUT`].
    pub fn wait_for_rejection(&self, by: &[u16], leader: u16, term: u64) {
        let rejection = format!("member {leader} still acts as the leader of term {term}: rejected");
        let started = Instant::now();
        while !by.iter().any(|id| self.managers[&MemberId(*id)].count_log_lines(&rejection) > 0) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "none of {by:?} logged {rejection:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a manager leads, and returns it. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_leader(&self) -> u16 {
        self.wait_for_leader_except(&[])
    }

    /// Waits until a manager other than these leads, and returns it. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_leader_except(&self, excluded: &[u16]) -> u16 {
        let started = Instant::now();
        loop {
            if let Some(leader) = self.leader().filter(|leader| !excluded.contains(leader)) {
                return leader;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "no manager leads, or only one of {excluded:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The directory of the store of a manager.
    pub fn store_dir(&self, id: u16) -> PathBuf {
        self.managers[&MemberId(id)].directory().join("council")
    }
}

/// Replaces the directory `to` by a copy of the directory `from`, which has no subdirectories.
pub fn copy_dir(from: &Path, to: &Path) {
    _ = fs::remove_dir_all(to);
    fs::create_dir_all(to).expect("the directory can be created");
    for file in fs::read_dir(from).expect("the directory can be read").flatten() {
        fs::copy(file.path(), to.join(file.file_name())).expect("the file can be copied");
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.managers.clear();
        // Kept after a panic, so that the logs can be read.
        if !std::thread::panicking() {
            _ = fs::remove_dir_all(&self.directory);
        }
    }
}
