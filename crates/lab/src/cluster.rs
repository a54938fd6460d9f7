//! The town of an experiment: discovery, managers in processes of their own, proxies, and a client's way in.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use juniperrail_client::{Client, Endpoint};
use juniperrail_standins::{entry, list, Discovery, Limits, Rules, SshKeys};

pub const MANAGER_NAMESPACE: &str = "tag:juniperrail.example,2026:yang:manager";

/// What the settings say of a town with so many proxies and managers.
#[derive(Clone, Copy)]
pub struct ClusterSize {
    pub workers: usize,
    pub proxies: u16,
    pub managers: u16,
    /// How often reports come; changes are gathered for half of it.
    pub report_period_ms: u32,
}

pub struct Cluster {
    pub size: ClusterSize,
    pub folder: PathBuf,
    pub discovery: Discovery,
    host: SshKeys,
    key: SshKeys,
}

impl Cluster {
    pub fn new(name: &str, size: ClusterSize) -> Cluster {
        let folder = std::env::temp_dir().join(format!("juniperrail-lab-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let discovery = Discovery::start();
        let (host, key) = (SshKeys::write(&folder, "host", 1), SshKeys::write(&folder, "ann", 2));
        let cluster = Cluster { size, folder, discovery, host, key };
        cluster.discovery.tell(&cluster.list());
        cluster
    }

    pub fn worker_name(&self, number: usize) -> String {
        format!("s-{number}")
    }

    fn list(&self) -> String {
        let zone = |number: usize| ["a", "b", "c"][number % 3];
        let one = |number| entry(&self.worker_name(number), zone(number), "127.0.0.1:9", "ready");
        list(1, true, &(0..self.size.workers).map(one).collect::<Vec<_>>())
    }

    /// Starts a manager. `core`: the one processor that it has, if it is to have one alone.
    pub fn start_manager(&self, name: &str, core: Option<usize>) -> ManagerProcess {
        let ClusterSize { proxies, managers, report_period_ms, .. } = self.size;
        let settings = format!(
            r#"{{"tick-ms":1,"zones":["a","b","c"],"skus":["m2"],"n-instances":{managers},
            "lanes":[{{"name":"lookup","on-time-ms":500,"worth":1}},{{"name":"order","on-time-ms":500,"worth":3}}],
            "domain":{{"level-kind":"rate","channel-rate":50000,"pending-max":20000,"overhead":4,
            "counted-over-ms":10000,"worst-transit-ms":900,"period-ms":{report_period_ms},"proxy-count":{proxies},
            "cost-per-line":0.04}},"rules":{{"drain-grace-ms":3000,"warm-up-ms":1000,"cold-share":0.3,
            "overload-factor":4}},"charges":{{"cross-zone":0.01}},"allowed":{{"dial-timeout-ms":250}}}}"#
        );
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"sockets":1024}},"known":{},"settings":{settings}}}"#,
            self.discovery.address,
            self.list()
        );
        let operator = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><northbound xmlns="{MANAGER_NAMESPACE}"><netconf>
            <sessions>160</sessions><ssh><listen>127.0.0.1:0</listen><host-key>host</host-key></ssh></netconf>
            <user><name>ann</name><role>admin</role><ssh-key>{}</ssh-key></user></northbound></config>"#,
            self.key.line
        );
        let (config_path, operator_path) =
            (self.folder.join(format!("{name}.json")), self.folder.join(format!("{name}.xml")));
        fs::write(&config_path, config).expect("the temporary folder can be written");
        fs::write(&operator_path, operator).expect("the temporary folder can be written");
        let program = std::env::current_exe().expect("this program has a path");
        let mut command = Command::new(program);
        command.arg("serve").args([&config_path, &operator_path]);
        let mut child = pinned(core, || {
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("this program starts")
        });
        let (asked, said) = (child.stdin.take().expect("piped"), child.stdout.take().expect("piped"));
        let mut said = BufReader::new(said);
        let mut line = String::new();
        said.read_line(&mut line).expect("the manager says where it listens");
        let mut at = line.split_whitespace().map(|at| at.parse().expect("an address"));
        let (address, ssh) = (at.next().expect("lines"), at.next().expect("NETCONF"));
        ManagerProcess { child, asked, said, address, ssh }
    }

    pub fn endpoint(&self, manager: &ManagerProcess) -> Endpoint {
        Endpoint::ssh(manager.ssh.to_string(), "ann", &self.key.private).with_host_key(&self.host.public)
    }

    pub async fn connect(&self, manager: &ManagerProcess) -> Client {
        Client::connect(&self.endpoint(manager)).await.expect("the manager takes a known user")
    }

    /// A checker that knows every worker.
    pub fn rules(&self) -> Rules {
        let mut rules = Rules::new(Limits {
            drain_grace: 3300.0,
            messages_most: usize::MAX,
            messages_over: 10_000.0,
            lines_waiting_most: 20_000.0,
            message_overhead: 4.0,
        });
        (0..self.size.workers).for_each(|number| rules.knows(&self.worker_name(number)));
        rules
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// Has something started with one processor alone, which what it starts inherits.
fn pinned<R>(core: Option<usize>, start: impl FnOnce() -> R) -> R {
    use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};
    let Some(core) = core else { return start() };
    let before = sched_getaffinity(None).expect("this thread runs somewhere");
    let mut one = CpuSet::new();
    one.set(core);
    sched_setaffinity(None, &one).expect("the processor is there");
    let started = start();
    sched_setaffinity(None, &before).expect("it ran there before");
    started
}

pub struct ManagerProcess {
    child: Child,
    asked: ChildStdin,
    said: BufReader<ChildStdout>,
    pub address: SocketAddr,
    pub ssh: SocketAddr,
}

/// How late turns were, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct TurnLateness {
    pub count: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub max_us: u64,
}

impl ManagerProcess {
    fn say(&mut self, word: &str) {
        self.asked.write_all(format!("{word}\n").as_bytes()).expect("the manager runs");
    }

    /// How late turns were up to now is forgotten.
    pub fn discard_lateness(&mut self) {
        self.say("drop");
    }

    /// How late turns were since the last word goes to what is kept under that name.
    pub fn save_lateness(&mut self, name: &str) {
        self.say(&format!("keep {name}"));
    }

    pub fn lateness(&mut self, name: &str) -> TurnLateness {
        self.say(&format!("tell {name}"));
        let mut line = String::new();
        self.said.read_line(&mut line).expect("the manager answers");
        let mut figures = line.split_whitespace().map(|figure| figure.parse().expect("a figure"));
        let mut next = || figures.next().expect("four figures");
        TurnLateness { count: next(), p50_us: next(), p99_us: next(), max_us: next() }
    }

    /// Memory that it holds, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let path = Path::new("/proc").join(self.child.id().to_string()).join("status");
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
