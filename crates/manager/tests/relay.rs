//! The relay as an operator starts it: its log, its faults, and what a subscriber sees when it is stopped or killed.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::thread;
use std::time::Duration;

use juniperrail_standins::{entry, list, Discovery, Ending, ListSubscriber, Peer};

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperrail");

/// How many workers make a snapshot that no connection holds by itself.
const MANY: usize = 20_000;

/// A started relay, killed when it is dropped.
struct Relay {
    child: Child,
    address: SocketAddr,
    _log: BufReader<ChildStderr>,
}

impl Relay {
    fn start(source: SocketAddr) -> Relay {
        let mut program = Command::new(PROGRAM);
        program.env_clear().args(["relay", "--listen", "127.0.0.1:0", "--source", &source.to_string()]);
        let mut child = program.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("relays the list of ") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it serves");
        }
        let address = line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        Relay { child, address, _log: log }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    fn until_served(&self) {
        while ListSubscriber::ask(self.address, "/healthz").status != 200 {
            thread::yield_now();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A relay of many workers, with the line that its source sent, and a subscriber that has taken the head of its answer.
fn within_a_snapshot() -> (Relay, String, ListSubscriber, Peer) {
    let source = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(source.local_addr().unwrap());
    let (_, mut watch) = Discovery::accept(&source, "200 OK");
    let workers: Vec<String> =
        (0..MANY).map(|id| entry(&format!("s-{id}"), "a", "127.0.0.1:9", "ready")).collect();
    let whole = list(7, true, &workers);
    watch.chunk(&format!("{whole}\n"));
    relay.until_served();
    let subscriber = ListSubscriber::ask_narrow(relay.address, "/v1/servers?stream=1");
    (relay, whole, subscriber, watch)
}

#[test]
fn killed_within_a_snapshot_it_leaves_a_broken_line() {
    let (relay, whole, mut subscriber, _watch) = within_a_snapshot();
    relay.signal("KILL");
    let (told, ending) = subscriber.rest();
    assert_eq!(ending, Ending::Broken);
    assert!(told.len() < whole.len() && whole.starts_with(&told));
}

#[test]
fn stopped_within_a_snapshot_it_stalls_and_goes_on_where_it_was() {
    let (relay, whole, mut subscriber, _watch) = within_a_snapshot();
    relay.signal("STOP");
    // What the connection held is all that comes.
    let stalled_after = subscriber.read_until_silent(Duration::from_millis(500));
    assert!(stalled_after < whole.len(), "{stalled_after} of {}", whole.len());
    relay.signal("CONT");
    assert_eq!(subscriber.list(), Some(whole));
}

#[test]
fn sigterm_ends_it_well() {
    let source = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut relay = Relay::start(source.local_addr().unwrap());
    relay.signal("TERM");
    assert!(relay.child.wait().unwrap().success());
}

#[test]
fn an_address_that_is_taken_is_one_clear_line() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let mut program = Command::new(PROGRAM);
    program.env_clear().args(["relay", "--listen", &address, "--source", "127.0.0.1:1"]);
    let mut child = program.stderr(Stdio::piped()).spawn().unwrap();
    let mut said = String::new();
    child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    assert!(said.starts_with(&format!("juniperrail: cannot listen on {address}: ")), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}
