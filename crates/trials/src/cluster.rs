//! Managers with all that they meet: discovery, proxies under the eyes of the rules' checker, an executor, and a link for
//! each way between two managers.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use juniperrail_council::MemberId;
use juniperrail_standins::{entry, list, Discovery, Limits, Proxies, Rules, SETTINGS};

use crate::executor::Executor;
use crate::link::{Link, LinkState, Traffic};
use crate::process::{ManagerProcess, WAIT_TIMEOUT};
use crate::topology::{WORKERS, ZONES};
use crate::zone_faults::ZoneFaults;

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    pub managers: u16,
    /// Named in every file and never started.
    pub absent_managers: u16,
    pub fleet: bool,
    /// Proxies of each manager.
    pub proxies_per_manager: u16,
    /// As the operator's file has them, with `WORKER` for the executor's address.
    pub schedules: String,
    pub heartbeat_ms: u32,
    pub election_timeout_ms: u32,
    /// Entries of the log that are kept.
    pub retained_entries: u32,
    /// Zones are failed over in common, and collectors tell what is met in them.
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
            retained_entries: 20,
            failover: false,
        }
    }
}

/// A schedule in the operator's file.
pub fn schedule_xml(name: &str, effect: &str, cron: &str) -> String {
    format!(
        "<schedule><name>{name}</name><cron>{cron}</cron><worker>WORKER</worker><path>/{name}</path>\
         <effect>{effect}</effect><deadline>3000</deadline><backoff>100</backoff><lease>1600</lease>\
         <overlap>queue</overlap></schedule>"
    )
}

pub struct TestCluster {
    pub config: ClusterConfig,
    pub folder: PathBuf,
    pub discovery: Discovery,
    pub executor: Executor,
    pub managers: BTreeMap<MemberId, ManagerProcess>,
    pub links: BTreeMap<(MemberId, MemberId), Link>,
    pub traffic: Arc<Mutex<Traffic>>,
    /// The proxies of each manager, in the managers' order.
    pub proxies: Vec<Proxies>,
    pub zone_faults: Arc<ZoneFaults>,
    listen_addresses: BTreeMap<MemberId, SocketAddr>,
    list_version: u64,
}

/// The stand-ins' settings with a third zone, and sums that come often and soon, so that trials are short.
fn manager_settings() -> String {
    let settings = SETTINGS.replace(r#""zones":["a","b"]"#, r#""zones":["a","b","c"]"#);
    let settings = settings.replace(r#""period-ms":2000"#, r#""period-ms":300"#);
    settings.replace(r#""worst-transit-ms":900"#, r#""worst-transit-ms":200"#)
}

/// A plan's lease in trials, in milliseconds.
pub const PLAN_LEASE_MS: u64 = 4000;

const NAMESPACE: &str = "tag:juniperrail.example,2026:yang:manager";

/// Where a manager listens for others: a loopback address that no other cluster has, so that nobody who takes a free port
/// on the usual one gets in its place.
fn listen_address(cluster: usize, id: MemberId) -> SocketAddr {
    let process = std::process::id();
    let octets = [127, 1 + (process / 250 % 250) as u8, 1 + (process % 250) as u8, 1 + (cluster % 250) as u8];
    SocketAddr::from((octets, 20_000 + id.0))
}

impl TestCluster {
    /// Nothing is started yet.
    pub fn new(config: ClusterConfig) -> TestCluster {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("juniperrail-trial-{}-{number}", std::process::id()));
        _ = fs::remove_dir_all(&folder);
        let discovery = Discovery::start();
        discovery.tell(&list(1, true, &WORKERS.map(|(id, zone)| entry(id, zone, "127.0.0.1:9", "ready"))));
        let executor = Executor::start();
        let traffic = Arc::new(Mutex::new(Traffic::default()));
        let ids: Vec<MemberId> = (1..=config.managers).map(MemberId).collect();
        let named: Vec<MemberId> = (1..=config.managers + config.absent_managers).map(MemberId).collect();
        let listen_addresses: BTreeMap<MemberId, SocketAddr> =
            named.iter().map(|id| (*id, listen_address(number, *id))).collect();
        let pairs =
            ids.iter().flat_map(|from| ids.iter().map(move |to| (*from, *to))).filter(|(a, b)| a != b);
        let links: BTreeMap<_, _> = pairs
            .map(|(from, to)| ((from, to), Link::start(from, listen_addresses[&to], traffic.clone())))
            .collect();
        let mut cluster = TestCluster {
            folder,
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
            let folder = cluster.folder.join(format!("n{}", id.0));
            fs::create_dir_all(&folder).expect("a folder");
            cluster.managers.insert(id, ManagerProcess::new(&format!("n{}", id.0), folder));
            cluster.write_config_files(id, 0, &named);
        }
        cluster
    }

    /// Writes the files of a manager, whose operator's file names these managers.
    pub fn write_config_files(&self, id: MemberId, generation: u64, members: &[MemberId]) {
        let folder = self.managers[&id].folder();
        let config = format!(
            r#"{{"name":"n{}","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be9{:02x}",
            "settings":{}}}"#,
            id.0,
            self.discovery.address,
            id.0,
            manager_settings()
        );
        fs::write(folder.join("config.json"), config).expect("a file");
        fs::write(folder.join("operator.xml"), self.operator_xml(id, generation, members)).expect("a file");
    }

    fn operator_xml(&self, id: MemberId, generation: u64, members: &[MemberId]) -> String {
        let root = "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">";
        if !self.config.fleet {
            return format!("{root}</config>");
        }
        let address = |of: &MemberId| match self.links.get(&(id, *of)) {
            Some(link) => link.address,
            None => self.listen_addresses[of],
        };
        let member = |of: &MemberId| {
            format!("<member-of><number>{}</number><address>{}</address></member-of>", of.0, address(of))
        };
        let member_list: String = members.iter().map(member).collect();
        let schedules = self.config.schedules.replace("WORKER", &self.executor.address.to_string());
        let ClusterConfig { heartbeat_ms, election_timeout_ms, retained_entries, .. } = self.config;
        let failover = match self.config.failover {
            true => format!("<failover><plan-lease>{PLAN_LEASE_MS}</plan-lease></failover>"),
            false => String::new(),
        };
        format!(
            "{root}<fleet xmlns=\"{NAMESPACE}\"><name>cluster</name><member>{}</member><listen>{}</listen>\
             <store>council</store><generation>{generation}</generation><heartbeat>{heartbeat_ms}</heartbeat>\
             <election>{election_timeout_ms}</election><entries>{retained_entries}</entries><probe-period>200</probe-period><probe-answer>80</probe-answer>\
             {member_list}{failover}{schedules}</fleet></config>",
            id.0, self.listen_addresses[&id]
        )
    }

    /// Starts all, and proxies at each.
    pub fn start(config: ClusterConfig) -> TestCluster {
        let mut cluster = TestCluster::new(config);
        cluster.managers.values_mut().for_each(ManagerProcess::start);
        cluster.start_proxies();
        cluster
    }

    /// Proxies come to every manager.
    pub fn start_proxies(&mut self) {
        if self.config.proxies_per_manager == 0 {
            return;
        }
        for (position, manager) in self.managers.values().enumerate() {
            let mut rules = Rules::new(Limits {
                // The program's grace, and room for machines that are busy.
                drain_grace: 3000.0 + 12_000.0,
                messages_most: usize::MAX,
                messages_over: 10_000.0,
                lines_waiting_most: 5000.0,
                message_overhead: 4.0,
            });
            WORKERS.iter().for_each(|(worker, _)| rules.knows(worker));
            let first = self.config.proxies_per_manager * position as u16;
            self.proxies.push(Proxies::start(
                manager.wait_for_address(),
                first,
                self.config.proxies_per_manager,
                &ZONES,
                rules,
            ));
        }
        self.proxies.iter().for_each(|proxies| {
            let all = |rules: &Rules| (0..100).filter(|proxy| !rules.holds(*proxy).is_empty()).count();
            proxies.until("all hold a table", |rules| all(rules) >= usize::from(proxies.count()));
        });
    }

    /// Collectors of every zone come to every manager, and again where it was started anew.
    pub fn start_collectors(&self) {
        self.managers.keys().for_each(|id| self.start_collectors_at(*id));
    }

    pub fn start_collectors_at(&self, id: MemberId) {
        let address = self.managers[&id].wait_for_address();
        ZONES.iter().for_each(|zone| self.zone_faults.start_collector(zone, address));
    }

    /// How many proxies of a manager may pick a worker.
    pub fn count_proxies_routing_to(&self, id: u16, worker: &str) -> usize {
        let proxies = &self.proxies[usize::from(id) - 1];
        proxies.rules(|rules| (0..100).filter(|proxy| rules.holds(*proxy).contains_key(worker)).count())
    }

    /// Waits until all proxies of these managers may pick a worker, or none may.
    pub fn wait_for_routing(&self, ids: &[u16], workers: &[&str], held: bool) {
        let begun = Instant::now();
        let wanted = if held { usize::from(self.config.proxies_per_manager) } else { 0 };
        loop {
            let mut all = ids.iter().flat_map(|id| workers.iter().map(move |worker| (id, worker)));
            if all.all(|(id, worker)| self.count_proxies_routing_to(*id, worker) == wanted) {
                return;
            }
            assert!(
                begun.elapsed() < WAIT_TIMEOUT,
                "{workers:?} are not {} at {ids:?}",
                if held { "held" } else { "out" }
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// What the rules' checkers found broken.
    pub fn rule_violations(&self) -> Vec<String> {
        let each = |proxies: &Proxies| {
            let now = proxies.now();
            proxies.rules(|rules| {
                rules.drains(now);
                rules.broken.iter().map(|violation| format!("{violation:?}")).collect::<Vec<_>>()
            })
        };
        self.proxies.iter().flat_map(each).collect()
    }

    /// A worker drains, and every proxy whose manager runs has to be told.
    pub fn drain(&mut self, worker: &str) {
        self.list_version += 1;
        for proxies in &self.proxies {
            let now = proxies.now();
            proxies.rules(|rules| rules.leaves(worker, now));
        }
        let zone = WORKERS.iter().find(|(id, _)| *id == worker).map_or("a", |(_, zone)| zone);
        self.discovery.tell(&list(
            self.list_version,
            false,
            &[entry(worker, zone, "127.0.0.1:9", "draining")],
        ));
    }

    pub fn manager(&mut self, id: u16) -> &mut ManagerProcess {
        self.managers.get_mut(&MemberId(id)).expect("a manager of that number")
    }

    /// Sets the links between two groups, both ways.
    pub fn set_links_across(&self, group: &[u16], state: LinkState) {
        for ((from, to), link) in &self.links {
            if group.contains(&from.0) != group.contains(&to.0) {
                link.set(state);
            }
        }
    }

    pub fn set_link(&self, from: u16, to: u16, state: LinkState) {
        self.links[&(MemberId(from), MemberId(to))].set(state);
    }

    pub fn heal_links(&self) {
        self.links.values().for_each(|link| link.set(LinkState::Open));
    }

    /// Who says last that it leads, and has not said otherwise since.
    pub fn leader(&self) -> Option<u16> {
        let led = |manager: &ManagerProcess| {
            let lines = manager.log_lines();
            let at = lines.iter().rposition(|line| line.contains("this manager leads in term "))?;
            let over = |line: &String| {
                line.contains("leads no more")
                    || line.contains("serves on")
                    || line.contains(" leads in term ")
            };
            let stands = !lines[at + 1..].iter().any(over);
            let term = lines[at].rsplit(' ').next()?.parse::<u64>().ok()?;
            stands.then_some(term)
        };
        let all = self.managers.iter().filter(|(_, manager)| manager.pid().is_some());
        all.filter_map(|(id, manager)| Some((led(manager)?, id.0))).max().map(|(_, id)| id)
    }

    pub fn wait_for_leader(&self) -> u16 {
        self.wait_for_leader_except(&[])
    }

    /// Waits until somebody leads who is none of these.
    pub fn wait_for_leader_except(&self, excluded: &[u16]) -> u16 {
        let begun = Instant::now();
        loop {
            if let Some(leader) = self.leader().filter(|leader| !excluded.contains(leader)) {
                return leader;
            }
            assert!(begun.elapsed() < WAIT_TIMEOUT, "nobody leads but {excluded:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Where a manager keeps its store.
    pub fn store_dir(&self, id: u16) -> PathBuf {
        self.managers[&MemberId(id)].folder().join("council")
    }
}

/// Copies a folder of plain files.
pub fn copy_dir(from: &Path, to: &Path) {
    _ = fs::remove_dir_all(to);
    fs::create_dir_all(to).expect("a folder");
    for file in fs::read_dir(from).expect("a folder").flatten() {
        fs::copy(file.path(), to.join(file.file_name())).expect("a copy");
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.managers.clear();
        // Kept where something failed, so that the logs can be read.
        if !std::thread::panicking() {
            _ = fs::remove_dir_all(&self.folder);
        }
    }
}
