//! The `relay` command as a process: its log, its errors, and what a subscriber receives when the relay is paused or
//! killed.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::thread;
use std::time::Duration;

use common::resident_anonymous_bytes;
use juniperrail_standins::{instance_json, list_json, BodyEnd, Discovery, ListSubscriber, Peer};

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperrail");

/// Enough workers for a snapshot that does not fit into the socket buffers.
const WORKER_COUNT: usize = 20_000;

/// A relay process, killed when it is dropped.
struct Relay {
    child: Child,
    address: SocketAddr,
    _log: BufReader<ChildStderr>,
}

impl Relay {
    fn start(source: SocketAddr) -> Relay {
        let mut command = Command::new(PROGRAM);
        command.env_clear().args(["relay", "--listen", "127.0.0.1:0", "--source", &source.to_string()]);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("relays the list of ") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the relay ended before it served");
        }
        let address = line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        Relay { child, address, _log: log }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    fn wait_until_serving(&self) {
        while ListSubscriber::request(self.address, "/healthz").status != 200 {
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

/// Starts a relay with a list of many workers, and a subscriber that has read only the head of the response, so that
/// the relay is still sending the snapshot. Also returns the list as the source sent it, and the relay's connection to
/// the source, which must stay open.
fn start_relay_sending_snapshot() -> (Relay, String, ListSubscriber, Peer) {
    let source = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(source.local_addr().unwrap());
    let (_, mut watch) = Discovery::accept_watch(&source, "200 OK");
    let workers: Vec<String> =
        (0..WORKER_COUNT).map(|id| instance_json(&format!("s-{id}"), "a", "127.0.0.1:9", "ready")).collect();
    let full_list = list_json(7, true, &workers);
    watch.send_chunk(&format!("{full_list}\n"));
    relay.wait_until_serving();
    let subscriber = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    (relay, full_list, subscriber, watch)
}

#[test]
fn a_relay_killed_during_a_snapshot_leaves_an_incomplete_line() {
    let (relay, full_list, mut subscriber, _watch) = start_relay_sending_snapshot();
    relay.signal("KILL");
    let (received, body_end) = subscriber.read_to_end();
    assert_eq!(body_end, BodyEnd::Truncated);
    assert!(received.len() < full_list.len() && full_list.starts_with(&received));
}

#[test]
fn a_relay_paused_during_a_snapshot_completes_it_when_resumed() {
    let (relay, full_list, mut subscriber, _watch) = start_relay_sending_snapshot();
    relay.signal("STOP");
    // Only the bytes that are already in the socket buffers arrive.
    let received_bytes = subscriber.read_until_silent(Duration::from_millis(500));
    assert!(received_bytes < full_list.len(), "{received_bytes} of {} bytes arrived", full_list.len());
    relay.signal("CONT");
    assert_eq!(subscriber.next_list(), Some(full_list));
}

#[test]
fn sigterm_ends_a_relay_with_exit_code_0() {
    let source = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut relay = Relay::start(source.local_addr().unwrap());
    relay.signal("TERM");
    assert!(relay.child.wait().unwrap().success());
}

#[test]
fn an_occupied_address_is_reported_in_one_line() {
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap().to_string();
    let mut command = Command::new(PROGRAM);
    command.env_clear().args(["relay", "--listen", &address, "--source", "127.0.0.1:1"]);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut stderr = String::new();
    child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    assert!(stderr.starts_with(&format!("juniperrail: cannot listen on {address}: ")), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

/// Guards against a relay that is killed for its memory because hundreds of subscribers stop within a long request head.
#[test]
fn unfinished_long_request_heads_take_bounded_memory() {
    const CONNECTIONS: usize = 500;
    const MEMORY_LIMIT_BYTES: u64 = 32_000_000;
    let discovery = Discovery::start();
    discovery.publish(&list_json(1, true, &[instance_json("s-1", "a", "127.0.0.1:9", "ready")]));
    let relay = Relay::start(discovery.address);
    relay.wait_until_serving();
    let head = format!("GET /healthz HTTP/1.1\r\nHost: relay\r\nX-Long: {}", "x".repeat(120_000));
    let mut connections: Vec<Peer> = Vec::new();
    let mut peak = 0;
    for _ in 0..CONNECTIONS {
        let mut connection = Peer::connect(relay.address);
        connection.send_raw(&head);
        connections.push(connection);
        peak = peak.max(resident_anonymous_bytes(&relay.child));
    }
    // Answered while the heads are unfinished, and only after what came before was read.
    for _ in 0..20 {
        relay.wait_until_serving();
        peak = peak.max(resident_anonymous_bytes(&relay.child));
    }
    assert!(peak < MEMORY_LIMIT_BYTES, "{peak} bytes with {} unfinished heads", connections.len());
}
