//! The cluster of an experiment: a stand-in for discovery, managers in processes of their own, and NETCONF access to
//! them.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use juniperrail_client::{Client, Endpoint};
use juniperrail_standins::{instance_json, list_json, Discovery, RuleChecker, RuleLimits, SshKeyPair};

/// The XML namespace of the manager's configuration.
pub const MANAGER_NAMESPACE: &str = "tag:juniperrail.example,2026:yang:manager";

/// The sizes of a cluster and the report period in its managers' settings.
#[derive(Clone, Copy)]
pub struct ClusterSize {
    /// The number of workers that discovery lists.
    pub workers: usize,
    /// The number of proxies that all managers together expect.
    pub proxies: u16,
    /// The number of managers that share the proxies.
    pub managers: u16,
    /// The period of the reports in milliseconds; managers batch changes for half of it.
    pub report_period_ms: u32,
}

/// The discovery stand-in, the directory of files and the SSH keys that the managers of one experiment share. Dropping
/// it removes the directory.
pub struct Cluster {
    pub size: ClusterSize,
    /// The directory with the keys and the managers' configuration files.
    pub directory: PathBuf,
    pub discovery: Discovery,
    host_key: SshKeyPair,
    user_key: SshKeyPair,
}

impl Cluster {
    /// Starts discovery with a list of all workers, all of them ready.
    pub fn new(name: &str, size: ClusterSize) -> Cluster {
        let directory = std::env::temp_dir().join(format!("juniperrail-lab-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary directory can be written");
        let discovery = Discovery::start();
        let (host_key, user_key) =
            (SshKeyPair::write(&directory, "host", 1), SshKeyPair::write(&directory, "ann", 2));
        let cluster = Cluster { size, directory, discovery, host_key, user_key };
        cluster.discovery.publish(&cluster.list());
        cluster
    }

    /// The name under which discovery lists a worker.
    pub fn worker_name(&self, number: usize) -> String {
        format!("s-{number}")
    }

    fn list(&self) -> String {
        let zone = |number: usize| ["a", "b", "c"][number % 3];
        let ready = |number| instance_json(&self.worker_name(number), zone(number), "127.0.0.1:9", "ready");
        list_json(1, true, &(0..self.size.workers).map(ready).collect::<Vec<_>>())
    }

    /// Starts a manager in a process of its own and reads its addresses. With `core`, it runs on that processor alone.
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
            self.user_key.public_key
        );
        let (config_path, operator_path) =
            (self.directory.join(format!("{name}.json")), self.directory.join(format!("{name}.xml")));
        fs::write(&config_path, config).expect("the temporary directory can be written");
        fs::write(&operator_path, operator).expect("the temporary directory can be written");
        let program = std::env::current_exe().expect("this program has a path");
        let mut command = Command::new(program);
        command.arg("serve").args([&config_path, &operator_path]);
        let mut child = start_pinned(core, || {
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("this program starts")
        });
        let stdin = child.stdin.take().expect("standard input is piped");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut stdout = BufReader::new(stdout);
        let mut line = String::new();
        stdout.read_line(&mut line).expect("the manager prints its addresses");
        let mut addresses = line
            .split_whitespace()
            .map(|address| address.parse().expect("the manager prints socket addresses"));
        let address = addresses.next().expect("the address of the line protocol");
        let ssh = addresses.next().expect("the address of NETCONF over SSH");
        ManagerProcess { child, stdin, stdout, address, ssh }
    }

    /// The manager's NETCONF endpoint, with the credentials of the user in its operator's file.
    pub fn endpoint(&self, manager: &ManagerProcess) -> Endpoint {
        Endpoint::ssh(manager.ssh.to_string(), "ann", &self.user_key.private_key_path)
            .with_host_key(&self.host_key.public_key_path)
    }

    /// Opens a NETCONF session with the manager.
    pub async fn connect(&self, manager: &ManagerProcess) -> Client {
        Client::connect(&self.endpoint(manager)).await.expect("the manager accepts its configured user")
    }

    /// A protocol checker that knows every worker of the list.
    pub fn rules(&self) -> RuleChecker {
        let mut rules = RuleChecker::new(RuleLimits {
            drain_grace_ms: 3300.0,
            max_messages: usize::MAX,
            message_window_ms: 10_000.0,
            max_waiting_lines: 20_000.0,
            message_overhead_lines: 4.0,
        });
        (0..self.size.workers).for_each(|number| rules.add_known_worker(&self.worker_name(number)));
        rules
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.directory);
    }
}

/// Starts a process, with `core` while this thread is pinned to that processor: a child inherits the affinity of the
/// thread that starts it.
fn start_pinned<R>(core: Option<usize>, start: impl FnOnce() -> R) -> R {
    use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};
    let Some(core) = core else { return start() };
    let before = sched_getaffinity(None).expect("the thread's affinity can be read");
    let mut single = CpuSet::new();
    single.set(core);
    sched_setaffinity(None, &single).expect("the processor exists");
    let started = start();
    sched_setaffinity(None, &before).expect("the previous affinity can be restored");
    started
}

/// A manager that runs in a child process; dropping it kills the process.
pub struct ManagerProcess {
    child: Child,
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    /// The address at which it serves the line protocol of proxies and collectors.
    pub address: SocketAddr,
    /// The address at which it serves NETCONF over SSH.
    pub ssh: SocketAddr,
}

/// The lateness of a manager's turns, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct TurnLateness {
    /// The number of turns.
    pub count: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub max_us: u64,
}

impl ManagerProcess {
    fn send_command(&mut self, command: &str) {
        self.stdin.write_all(format!("{command}\n").as_bytes()).expect("the manager runs");
    }

    /// Discards the lateness recorded since the last command.
    pub fn discard_lateness(&mut self) {
        self.send_command("drop");
    }

    /// Adds the lateness recorded since the last command to the histogram of that name.
    pub fn save_lateness(&mut self, name: &str) {
        self.send_command(&format!("keep {name}"));
    }

    /// The lateness saved under that name.
    pub fn lateness(&mut self, name: &str) -> TurnLateness {
        self.send_command(&format!("tell {name}"));
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("the manager answers");
        let mut figures =
            line.split_whitespace().map(|figure| figure.parse().expect("the manager prints whole numbers"));
        let mut next = || figures.next().expect("four figures");
        TurnLateness { count: next(), p50_us: next(), p99_us: next(), max_us: next() }
    }

    /// Its resident memory in KiB; 0 if the kernel does not report it.
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
