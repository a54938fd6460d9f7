//! A manager in this process, or the program as a process of its own, with discovery played by hand.

#![allow(dead_code)] // Each file of stories uses a part of it.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use juniperrail_manager::{Launch, Manager};
use juniperrail_standins::{address_served, list, Discovery, Peer, SETTINGS};

/// A listener, as the system words it in its table of connections.
const LISTENS: &str = "0A";

/// Nothing that is waited for takes so long, however busy the machine is.
const WITHIN: Duration = Duration::from_secs(20);

pub fn entry(id: &str, lifecycle: &str) -> String {
    juniperrail_standins::entry(id, "a", "127.0.0.1:9", lifecycle)
}

pub fn config(discovery: SocketAddr, sockets: usize) -> String {
    let known = list(41, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready")));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

pub struct TestCluster {
    pub manager: SocketAddr,
    pub discovery: TcpListener,
    pub stop: Option<tokio::sync::oneshot::Sender<()>>,
}

impl TestCluster {
    pub fn new(sockets: usize) -> TestCluster {
        TestCluster::with_config(|discovery| config(discovery, sockets))
    }

    pub fn with_config(config: impl FnOnce(SocketAddr) -> String) -> TestCluster {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(discovery.local_addr().unwrap());
        let (tell, told) = mpsc::channel();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let manager = Manager::bind(Launch::new(&config, |_| None).unwrap()).await.unwrap();
                tell.send(manager.address()).unwrap();
                tokio::select! { () = manager.serve() => {}, _ = stopped => {} }
            });
        });
        TestCluster { manager: told.recv().unwrap(), discovery, stop: Some(stop) }
    }

    pub fn peer(&self) -> Peer {
        Peer::dial(self.manager)
    }

    pub fn proxy(&self, number: u16) -> Peer {
        Peer::joined(self.manager, number)
    }

    /// Takes the next watch: what was asked for, and the connection with a head already answered.
    pub fn accept_watch(&self, status: &str) -> (String, Peer) {
        accept_watch(&self.discovery, status)
    }
}

pub fn accept_watch(discovery: &TcpListener, status: &str) -> (String, Peer) {
    Discovery::accept(discovery, status)
}

/// The program as a process of its own, with its configuration in a file that goes with it.
pub struct ManagerProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Option<BufReader<ChildStderr>>,
    pub path: PathBuf,
}

impl ManagerProcess {
    /// `name` sets its file apart from those of other stories.
    pub fn start(name: &str, config: &str) -> ManagerProcess {
        ManagerProcess::start_with(name, config, &[])
    }

    pub fn start_with(name: &str, config: &str, variables: &[(&str, &str)]) -> ManagerProcess {
        let path = std::env::temp_dir().join(format!("juniperrail-{name}-{}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        program.env_clear().env("PROXY_CONFIG", &path).envs(variables.iter().copied());
        let mut child = program.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let address = address_served(&mut log);
        ManagerProcess { child, address, log: Some(log), path }
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// The next line of the log that holds the part.
    pub fn wait_for_log_line(&mut self, part: &str) -> String {
        let lines = self.log.as_mut().expect("its log is read").by_ref().lines();
        let mut lines = lines.map(Result::unwrap);
        lines.find(|line| line.contains(part)).unwrap_or_else(|| panic!("{part} is never said"))
    }

    /// Connections to its address that it holds: taken and not closed. Those that the system alone still keeps, before or
    /// after, belong to no descriptor.
    pub fn connection_count(&self) -> usize {
        let port = format!(":{:04X}", self.address.port());
        let all = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let held = |line: &&str| {
            let of: Vec<&str> = line.split_whitespace().collect();
            let (local, state, inode) = (of[1], of[3], of[9]);
            local.ends_with(&port) && state != LISTENS && inode != "0"
        };
        all.lines().skip(1).filter(held).count()
    }

    /// Waits until it holds so many.
    pub fn wait_for_connection_count(&self, count: usize) {
        let until = Instant::now() + WITHIN;
        while self.connection_count() != count {
            assert!(Instant::now() < until, "{} connections, not {count}", self.connection_count());
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.path);
    }
}
