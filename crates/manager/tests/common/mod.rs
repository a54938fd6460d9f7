//! Test harness: a manager that runs in the test process or in a process of its own. The test acts as its discovery
//! server.

#![allow(dead_code)] // Each test file uses a part of this module.

pub mod netconf_manager;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use juniperrail_manager::{Launch, Manager};
use juniperrail_standins::{address_from_log, list_json, Discovery, Peer, SETTINGS};

/// The state of a listening socket in /proc/net/tcp.
const TCP_LISTEN_STATE: &str = "0A";

/// A chunk of a watch that contains an empty line, which is a heartbeat.
pub const HEARTBEAT_CHUNK: &str = "1\r\n\n\r\n";

/// Time limit of a wait, generous because the machine can be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The list entry of a worker in zone a.
pub fn entry(id: &str, lifecycle: &str) -> String {
    juniperrail_standins::instance_json(id, "a", "127.0.0.1:9", lifecycle)
}

/// A configuration file with workers s-1 to s-3 in its cached list, version 41. `sockets` is the number of
/// descriptors that the manager may use.
pub fn config(discovery: SocketAddr, sockets: usize) -> String {
    let cached_list = list_json(41, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready")));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"sockets":{sockets}}},"known":{cached_list},"settings":{SETTINGS}}}"#
    )
}

/// A manager that runs on a thread of the test process, with a listener in place of its discovery server.
pub struct InProcessManager {
    /// The address on which the manager serves proxies and collectors.
    pub address: SocketAddr,
    pub discovery: TcpListener,
    /// Dropping this, or sending on it, stops the manager.
    pub stop: Option<tokio::sync::oneshot::Sender<()>>,
}

impl InProcessManager {
    pub fn new(sockets: usize) -> InProcessManager {
        InProcessManager::with_config(|discovery| config(discovery, sockets))
    }

    pub fn with_config(config: impl FnOnce(SocketAddr) -> String) -> InProcessManager {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(discovery.local_addr().unwrap());
        let (address_sender, address_receiver) = mpsc::channel();
        let (stop, stop_receiver) = tokio::sync::oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let manager = Manager::bind(Launch::new(&config, |_| None).unwrap()).await.unwrap();
                address_sender.send(manager.address()).unwrap();
                tokio::select! { () = manager.serve() => {}, _ = stop_receiver => {} }
            });
        });
        InProcessManager { address: address_receiver.recv().unwrap(), discovery, stop: Some(stop) }
    }

    /// Connects to the manager.
    pub fn peer(&self) -> Peer {
        Peer::connect(self.address)
    }

    /// Connects to the manager and joins as a proxy.
    pub fn proxy(&self, number: u16) -> Peer {
        Peer::connect_as_proxy(self.address, number)
    }

    /// Accepts the next watch and answers with a response head. Returns the request line and the connection.
    pub fn accept_watch(&self, status: &str) -> (String, Peer) {
        accept_watch(&self.discovery, status)
    }
}

/// Accepts the next watch at a discovery listener; see [`InProcessManager::accept_watch`].
pub fn accept_watch(discovery: &TcpListener, status: &str) -> (String, Peer) {
    Discovery::accept_watch(discovery, status)
}

/// An operator's file whose element `workers` has this content. Dropping it removes the file.
pub struct OperatorFile(PathBuf);

impl OperatorFile {
    /// Writes the file. `name` must differ from those of other tests.
    pub fn new(name: &str, workers: &str) -> OperatorFile {
        let path = std::env::temp_dir().join(format!("juniperrail-{name}-{}.xml", std::process::id()));
        std::fs::write(&path, operator_config(workers)).unwrap();
        OperatorFile(path)
    }

    /// The environment variable that names the file.
    pub fn variable(&self) -> (&str, &str) {
        ("JUNIPERRAIL_FILE", self.0.to_str().unwrap())
    }
}

impl Drop for OperatorFile {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.0);
    }
}

/// An operator's configuration whose element `workers` has this content.
pub fn operator_config(workers: &str) -> String {
    format!(
        "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
         <workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">{workers}</workers></config>"
    )
}

/// The memory of a process that no file backs.
pub fn resident_anonymous_bytes(process: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}

/// A manager in a process of its own. Dropping it kills the process and removes its configuration file.
pub struct ManagerProcess {
    pub child: Child,
    pub address: SocketAddr,
    /// The standard error of the process; `None` once a test has taken it.
    pub log: Option<BufReader<ChildStderr>>,
    pub config_path: PathBuf,
}

impl ManagerProcess {
    /// Starts the manager and waits until it serves. `name` must differ from those of other tests, because it is part
    /// of the configuration file's name.
    pub fn start(name: &str, config: &str) -> ManagerProcess {
        ManagerProcess::start_with(name, config, &[])
    }

    /// Like [`ManagerProcess::start`], with these environment variables.
    pub fn start_with(name: &str, config: &str, variables: &[(&str, &str)]) -> ManagerProcess {
        let path = std::env::temp_dir().join(format!("juniperrail-{name}-{}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        command.env_clear().env("PROXY_CONFIG", &path).envs(variables.iter().copied());
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let address = address_from_log(&mut log);
        ManagerProcess { child, address, log: Some(log), config_path: path }
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let status =
            Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Waits for the next log line that contains the text, and returns it.
    pub fn wait_for_log_line(&mut self, text: &str) -> String {
        let lines =
            self.log.as_mut().expect("no test waits for a log line after it took the log").by_ref().lines();
        let mut lines = lines.map(Result::unwrap);
        lines
            .find(|line| line.contains(text))
            .unwrap_or_else(|| panic!("the log ended without a line with {text:?}"))
    }

    /// The number of connections to the manager's address that are accepted and not closed. Connections in the backlog
    /// or in TIME_WAIT have no inode and are not counted.
    pub fn connection_count(&self) -> usize {
        let port = format!(":{:04X}", self.address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let is_open = |line: &&str| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let (local, state, inode) = (columns[1], columns[3], columns[9]);
            local.ends_with(&port) && state != TCP_LISTEN_STATE && inode != "0"
        };
        table.lines().skip(1).filter(is_open).count()
    }

    /// Waits until this number of connections is open.
    pub fn wait_for_connection_count(&self, count: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.connection_count() != count {
            assert!(
                Instant::now() < deadline,
                "{} connections are open, expected {count}",
                self.connection_count()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.config_path);
    }
}
