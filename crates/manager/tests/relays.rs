//! A manager that takes its part of the list from relays. Each test acts as the relays and determines the order of
//! events by the order in which it sends.

mod common;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::{config, ManagerProcess, HEARTBEAT_CHUNK};
use juniperrail_distribution::RelayChoice;
use juniperrail_standins::{instance_json as entry_at, list_json, AnsweringProxy, Peer};

/// Time limit of a wait, generous because the machine can be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// A discovery address that must not be dialled.
const UNUSED_DISCOVERY: &str = "127.0.0.1:1";

/// The manager's name in its configuration.
const MANAGER_NAME: &str = "n0";

/// The list entry of a worker.
fn entry(id: &str, zone: &str, lifecycle: &str) -> String {
    entry_at(id, zone, "127.0.0.1:9", lifecycle)
}

/// Relays in the manager's order of preference, and the operator's file that names them.
struct Relays {
    listeners: Vec<TcpListener>,
    operator_file: PathBuf,
}

impl Relays {
    /// `test` is part of the files' names, and must differ from that of other tests; `scope` is the content of the
    /// element `scope` in the operator's file.
    fn new(test: &str, count: usize, scope: &str) -> Relays {
        let listener = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let mut listeners: Vec<(SocketAddr, TcpListener)> =
            (0..count).map(listener).map(|listener| (listener.local_addr().unwrap(), listener)).collect();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|(address, _)| *address).collect();
        let order = order_of_preference(&addresses);
        listeners.sort_by_key(|(address, _)| order.iter().position(|relay| relay == address));
        let relay_elements: String =
            addresses.iter().map(|address| format!("<relay>{address}</relay>")).collect();
        let operator_file = write_operator_file(test, &format!("{relay_elements}<scope>{scope}</scope>"));
        Relays { listeners: listeners.into_iter().map(|(_, listener)| listener).collect(), operator_file }
    }

    /// Three relays and a manager whose scope is zone a, and whose cached list has s-1 to s-3 at version 41.
    fn with_manager_of_zone_a(test: &str) -> (Relays, ManagerProcess) {
        let relays = Relays::new(test, 3, "<zone>a</zone>");
        let manager = relays.start_manager(test, &config(UNUSED_DISCOVERY.parse().unwrap(), 64));
        (relays, manager)
    }

    /// Starts a manager that takes its list from these relays.
    fn start_manager(&self, test: &str, config: &str) -> ManagerProcess {
        let variables = [("JUNIPERRAIL_FILE", self.operator_file.to_str().unwrap())];
        ManagerProcess::start_with(&format!("relays-{test}"), config, &variables)
    }

    /// Accepts the next watch at this relay and sends a response head. Returns the request line and the connection.
    fn accept_watch(&self, relay: usize) -> (String, Peer) {
        self.accept_watch_with_status(relay, "200 OK")
    }

    /// Like [`Relays::accept_watch`], with this status.
    fn accept_watch_with_status(&self, relay: usize, status: &str) -> (String, Peer) {
        let mut peer = Peer::new(self.accept(relay));
        let request_line = peer.next_line().expect("a request line");
        while peer.next_line().is_some_and(|line| !line.is_empty()) {}
        peer.send_raw(&format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n"));
        (request_line, peer)
    }

    /// Accepts the next watch at this relay, whose request must name this index.
    fn accept_watch_from(&self, relay: usize, index: u64) -> Peer {
        let (request_line, watch) = self.accept_watch(relay);
        assert_eq!(request_line, format!("GET /v1/servers?stream=1&index={index}&zones=a HTTP/1.1"));
        watch
    }

    /// Accepts the next connection at this relay and sends nothing on it. Panics if the manager does not connect within
    /// [`WAIT_TIMEOUT`].
    fn accept(&self, relay: usize) -> TcpStream {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(socket) = self.try_accept(relay) {
                return socket;
            }
            assert!(Instant::now() < deadline, "no connection to relay {relay}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Accepts a connection that waits at this relay, if there is one.
    fn try_accept(&self, relay: usize) -> Option<TcpStream> {
        let listener = &self.listeners[relay];
        listener.set_nonblocking(true).unwrap();
        let (socket, _) = listener.accept().ok()?;
        socket.set_nonblocking(false).unwrap();
        Some(socket)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.operator_file);
    }
}

/// The relays in the order in which the manager tries them.
fn order_of_preference(relays: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut choice = RelayChoice::new(MANAGER_NAME, relays.iter().copied()).unwrap();
    let mut rng = fastrand::Rng::with_seed(1);
    let next_choice = |_| {
        let relay = choice.current();
        choice.record_failure(juniperrail_distribution::RelayFailure::Broken, &mut rng);
        relay
    };
    relays.iter().map(next_choice).collect()
}

/// Writes an operator's file with this content of the element `discovery`, and returns its path.
fn write_operator_file(test: &str, discovery: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("juniperrail-relays-{test}-{}.xml", std::process::id()));
    let text = format!(
        "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
         <discovery xmlns=\"tag:juniperrail.example,2026:yang:manager\">{discovery}</discovery></config>"
    );
    std::fs::write(&path, text).unwrap();
    path
}

fn with_newline(text: String) -> String {
    text + "\n"
}

/// A full list with these workers of zone a.
fn full_list(version: u64, lifecycles: &[(&str, &str)]) -> String {
    let entries: Vec<String> = lifecycles.iter().map(|(id, lifecycle)| entry(id, "a", lifecycle)).collect();
    with_newline(list_json(version, true, &entries))
}

/// A list of changes that contains only this worker.
fn change(version: u64, id: &str, zone: &str, lifecycle: &str) -> String {
    with_newline(list_json(version, false, &[entry(id, zone, lifecycle)]))
}

/// Sends heartbeats on a watch from a thread of its own. The returned receiver gets a message once the manager has
/// closed the watch.
fn send_heartbeats_until_closed(mut watch: Peer) -> mpsc::Receiver<()> {
    let (closed_sender, closed) = mpsc::channel();
    thread::spawn(move || {
        while watch.try_send_raw(HEARTBEAT_CHUNK).is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
        closed_sender.send(())
    });
    closed
}

/// Asserts that messages to a proxy name no worker of s-1 to s-4 that is not in `expected`.
fn assert_names_only(messages: &str, expected: &[&str]) {
    for id in ["s-1", "s-2", "s-3", "s-4"].into_iter().filter(|id| !expected.contains(id)) {
        assert!(!messages.contains(id), "unexpected {id}: {messages}");
    }
}

#[test]
fn a_relay_killed_during_a_snapshot_has_no_effect_and_the_next_is_asked_from_the_current_version() {
    let (relays, manager) = Relays::with_manager_of_zone_a("snapshot");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut first = relays.accept_watch_from(0, 41);
    let snapshot = full_list(900, &[("s-1", "draining"), ("s-4", "ready"), ("s-5", "ready")]);
    // Two complete entries and a part of the third.
    first.send_chunk(&snapshot[..snapshot.len() - 60]);
    drop(first);
    let mut second = relays.accept_watch_from(1, 41);
    second.send_chunk(&change(42, "s-2", "a", "draining"));
    let messages = proxy.next_line_containing("out=");
    assert_names_only(&messages, &["s-2"]);
    second.send_chunk(&change(43, "s-3", "a", "gone"));
    assert!(!proxy.next_line_containing("out=s-3").contains("s-1"));
}

#[test]
fn a_watch_cut_within_an_entry_applies_none_of_that_line() {
    let (relays, manager) = Relays::with_manager_of_zone_a("entry");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut first = relays.accept_watch_from(0, 41);
    let changes =
        with_newline(list_json(42, false, &[entry("s-1", "a", "draining"), entry("s-2", "a", "draining")]));
    let middle = changes.find("s-2").unwrap() + 1;
    first.send_chunk(&changes[..middle]);
    // A line break in the middle of the entry, as a faulty peer might send it.
    first.send_chunk("\n");
    let mut second = relays.accept_watch_from(1, 41);
    second.send_chunk(&changes[..middle]);
    // A regular end of the chunked body in the middle of the entry.
    second.send_raw("0\r\n\r\n");
    let mut third = relays.accept_watch_from(2, 41);
    third.send_chunk(&change(43, "s-3", "a", "draining"));
    assert_names_only(&proxy.next_line_containing("out="), &["s-3"]);
}

#[test]
fn a_relay_that_stalls_with_open_connections_is_replaced_by_the_next() {
    let (relays, manager) = Relays::with_manager_of_zone_a("stall");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    // The first relay accepts the connection and never responds; the second responds and stops within an entry.
    let silent = relays.accept(0);
    let mut stalled = relays.accept_watch_from(1, 41);
    let snapshot = full_list(42, &[("s-1", "draining"), ("s-2", "ready")]);
    stalled.send_chunk(&snapshot[..snapshot.len() - 60]);
    let mut third = relays.accept_watch_from(2, 41);
    third.send_chunk(&change(42, "s-2", "a", "draining"));
    assert_names_only(&proxy.next_line_containing("out="), &["s-2"]);
    assert_eq!(stalled.next_line(), None, "the manager must close the stalled connection");
    drop(silent);
}

#[test]
fn a_relay_far_behind_the_previous_one_is_skipped_and_its_list_is_ignored() {
    let (relays, manager) = Relays::with_manager_of_zone_a("behind");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut first = relays.accept_watch_from(0, 41);
    first.send_chunk(&change(1041, "s-1", "a", "draining"));
    proxy.next_line_containing("out=s-1");
    drop(first);
    let mut second = relays.accept_watch_from(1, 1041);
    second.send_chunk(&with_newline(list_json(41, false, &[])));
    second.send_chunk(&full_list(41, &[("s-1", "ready"), ("s-2", "gone"), ("s-3", "ready")]));
    let closed = send_heartbeats_until_closed(second);
    let mut third = relays.accept_watch_from(2, 1041);
    closed.recv_timeout(WAIT_TIMEOUT).expect("the watch of the relay that is behind was not closed");
    third.send_chunk(&change(1042, "s-3", "a", "draining"));
    let messages = proxy.next_line_containing("out=s-3");
    assert!(!messages.contains("back=") && !messages.contains("s-2"), "{messages}");
    third.send_chunk(&change(1043, "s-2", "a", "draining"));
    assert!(!proxy.next_line_containing("out=s-2").contains("s-1"));
    assert!(relays.try_accept(0).is_none(), "the manager must stay with the relay that works");
}

#[test]
fn a_source_whose_version_numbers_restarted_is_accepted_once_every_relay_is_behind() {
    let (relays, manager) = Relays::with_manager_of_zone_a("restarted");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut closed_watches = Vec::new();
    for relay in 0..3 {
        let mut watch = relays.accept_watch_from(relay, 41);
        watch.send_chunk(&with_newline(list_json(2, false, &[])));
        closed_watches.push(send_heartbeats_until_closed(watch));
    }
    let (request_line, mut watch) = relays.accept_watch(0);
    assert_eq!(
        request_line, "GET /v1/servers?stream=1&zones=a HTTP/1.1",
        "the request has no index, so it is for the full list"
    );
    closed_watches
        .iter()
        .for_each(|closed| closed.recv_timeout(WAIT_TIMEOUT).expect("a watch was not closed"));
    watch.send_chunk(&full_list(3, &[("s-1", "ready"), ("s-2", "draining"), ("s-4", "ready")]));
    let messages = proxy.next_line_containing("out=");
    assert!(messages.contains("s-2") && messages.contains("s-3") && !messages.contains("s-1"), "{messages}");
    drop(watch);
    relays.accept_watch_from(1, 3);
}

#[test]
fn a_drain_from_the_next_relay_is_applied_after_all_relays_refused() {
    let (relays, manager) = Relays::with_manager_of_zone_a("cut");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    drop(relays.accept_watch_from(0, 41));
    // The relays refuse in turn until the manager has tried each of them twice, so that it has no source.
    for relay in [1, 2, 0, 1, 2] {
        let (request_line, _) = relays.accept_watch_with_status(relay, "503 Service Unavailable");
        assert!(request_line.contains("index=41"), "{request_line}");
    }
    // The current list stays in use: a proxy that joins gets a table made from it.
    let mut late_proxy = AnsweringProxy::connect(manager.address, 2);
    let table = late_proxy.next_line_containing("whole=1");
    assert!(["s-1", "s-2", "s-3"].iter().all(|id| table.contains(id)), "{table}");
    let mut next = relays.accept_watch_from(0, 41);
    next.send_chunk(&change(42, "s-1", "a", "draining"));
    for proxy in [&mut proxy, &mut late_proxy] {
        let messages = proxy.next_line_containing("out=s-1");
        assert_names_only(&messages, &["s-1"]);
        let removed = proxy.next_line_containing("lines=");
        assert!(removed.contains("s-1:0"), "{removed}");
    }
}

#[test]
fn a_worker_that_leaves_the_scope_drains_and_is_used_again_when_it_returns() {
    let (relays, manager) = Relays::with_manager_of_zone_a("moves");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut watch = relays.accept_watch_from(0, 41);
    watch.send_chunk(&change(42, "s-1", "b", "ready"));
    assert_names_only(&proxy.next_line_containing("out=s-1"), &["s-1"]);
    watch.send_chunk(&change(43, "s-1", "a", "ready"));
    assert_names_only(&proxy.next_line_containing("back=s-1"), &["s-1"]);
    // It leaves again and is then gone in its new zone: this manager forgets it, and no other worker.
    watch.send_chunk(&change(44, "s-1", "b", "ready"));
    proxy.next_line_containing("out=s-1");
    watch.send_chunk(&change(45, "s-1", "b", "gone"));
    watch.send_chunk(&change(46, "s-1", "b", "ready"));
    // Changes of a worker that was never in scope cause no message.
    watch.send_chunk(&change(47, "s-4", "b", "ready"));
    watch.send_chunk(&change(48, "s-4", "b", "draining"));
    watch.send_chunk(&change(49, "s-4", "b", "gone"));
    watch.send_chunk(&change(50, "s-2", "a", "draining"));
    assert_names_only(&proxy.next_line_containing("out=s-2"), &["s-2"]);
}

#[test]
fn entries_out_of_scope_remove_no_other_worker_and_are_not_stored() {
    let (relays, manager) = Relays::with_manager_of_zone_a("whole");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut watch = relays.accept_watch_from(0, 41);
    // A full list in which s-3 has moved to another zone, among many entries that are out of scope.
    let others = (0..2000).map(|id| entry(&format!("far-{id}"), "b", "ready"));
    let own = ["s-1", "s-2", "s-4"].map(|id| entry(id, "a", "ready"));
    let moved = entry("s-3", "b", "ready");
    let entries: Vec<String> = others.chain(own).chain([moved]).collect();
    watch.send_chunk(&with_newline(list_json(42, true, &entries)));
    let messages = proxy.next_line_containing("out=");
    assert_names_only(&messages, &["s-3", "s-4"]);
    // An invalid entry of a known worker does not remove the worker; the same holds without a scope.
    let invalid = r#"{"instanceId":"s-1"}"#.to_string();
    watch.send_chunk(&with_newline(list_json(
        43,
        true,
        &[invalid, entry("s-2", "a", "draining"), entry("s-4", "a", "ready")],
    )));
    let messages = proxy.next_line_containing("out=s-2");
    assert!(!messages.contains("s-1"), "{messages}");
    let table = AnsweringProxy::connect(manager.address, 2).next_line_containing("whole=1");
    assert!(table.contains("s-1") && table.contains("s-4") && !table.contains("far-"), "{table}");
    // One entry has no worker id and could be that of any worker. No worker is removed because it is absent from this
    // list.
    let without_id = r#"{"zone":"a"}"#.to_string();
    watch.send_chunk(&with_newline(list_json(44, true, &[without_id, entry("s-4", "a", "draining")])));
    let messages = proxy.next_line_containing("out=s-4");
    assert!(!messages.contains("s-1"), "{messages}");
    // A worker that is absent from a full list whose entries are all valid is gone.
    watch.send_chunk(&with_newline(list_json(
        45,
        true,
        &[entry("s-5", "a", "ready"), entry("s-1", "a", "ready")],
    )));
    watch.send_chunk(&with_newline(list_json(46, true, &[entry("s-5", "a", "ready")])));
    proxy.next_line_containing("out=s-1");
}

#[test]
fn a_scope_without_workers_is_warned_of_once_and_accepts_workers_that_appear_later() {
    let relays = Relays::new("nothing", 1, "<zone>nowhere</zone><service>quiz</service>");
    let mut manager = relays.start_manager("nothing", &config(UNUSED_DISCOVERY.parse().unwrap(), 64));
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    let (request_line, mut watch) = relays.accept_watch(0);
    assert_eq!(request_line, "GET /v1/servers?stream=1&index=41&zones=nowhere&services=quiz HTTP/1.1");
    watch.send_chunk(&full_list(42, &[("s-1", "ready")]));
    watch.send_chunk(&with_newline(list_json(43, true, &[entry("s-9", "nowhere", "ready")])));
    let table = proxy.next_line_containing("s-9:1");
    assert!(!table.contains("s-1"), "{table}");
    manager.signal("TERM");
    assert!(manager.child.wait().unwrap().success());
    let mut log = String::new();
    std::io::Read::read_to_string(manager.log.as_mut().unwrap(), &mut log).unwrap();
    let warnings: Vec<&str> = log.lines().filter(|line| line.contains("WARN")).collect();
    assert_eq!(warnings.len(), 1, "{log}");
    let expected = "list 41 has no worker of this manager's scope: zones=nowhere&services=quiz";
    assert!(warnings[0].contains(expected), "{log}");
}

#[test]
fn a_list_over_its_limit_is_refused_in_one_log_line_and_requested_with_growing_delays() {
    let (relays, mut manager) = Relays::with_manager_of_zone_a("limit");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    // 40 MB of entries in scope: the list is refused while it is received.
    let name = "x".repeat(16_000);
    let entries: Vec<String> = (0..2500).map(|id| entry(&format!("w-{id}-{name}"), "a", "ready")).collect();
    let huge_list = list_json(42, true, &entries);
    let mut waits_s: Vec<u64> = Vec::new();
    let mut refused_at = Vec::new();
    for relay in [0, 1, 2] {
        let (request_line, mut watch) = relays.accept_watch(relay);
        assert!(request_line.contains("index=41"), "{request_line}");
        assert!(
            watch.try_send_raw(&format!("{:x}\r\n{huge_list}", huge_list.len() + 1)).is_err(),
            "the manager must close the connection before the end of the list"
        );
        let warning = manager.wait_for_log_line("WARN");
        assert!(
            warning.contains("entries exceed the limit of 16777216 bytes; list 41 stays in use"),
            "{warning}"
        );
        let wait_s = warning.split_once("the list is requested again in ").unwrap().1.trim_end_matches(" s");
        waits_s.push(wait_s.parse().unwrap());
        refused_at.push(Instant::now());
    }
    // The delays are 3, 6 and 12 s with a jitter of up to a quarter, logged in whole seconds.
    assert!(
        (2..=3).contains(&waits_s[0]) && (4..=7).contains(&waits_s[1]) && (9..=15).contains(&waits_s[2]),
        "{waits_s:?}"
    );
    let gaps: Vec<Duration> = refused_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] >= Duration::from_secs(2) && gaps[1] >= Duration::from_secs(4), "{gaps:?}");
    // The current list stays in use. An accepted list resets the delay.
    let table = AnsweringProxy::connect(manager.address, 2).next_line_containing("whole=1");
    assert!(["s-1", "s-2", "s-3"].iter().all(|id| table.contains(id)) && !table.contains("w-"), "{table}");
    let mut watch = relays.accept_watch_from(0, 41);
    watch.send_chunk(&change(43, "s-1", "a", "draining"));
    proxy.next_line_containing("out=s-1");
    _ = watch.try_send_raw(&format!("{:x}\r\n{huge_list}", huge_list.len() + 1));
    let warning = manager.wait_for_log_line("too large");
    assert!(
        warning.contains("list 43 stays in use; the list is requested again in 2 s")
            || warning.contains("in 3 s"),
        "{warning}"
    );
}

#[test]
fn a_list_far_over_the_limit_is_accepted_where_little_of_it_is_in_scope() {
    let (relays, manager) = Relays::with_manager_of_zone_a("large");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut watch = relays.accept_watch_from(0, 41);
    let own_entry = |id: usize| entry(&format!("s-{id}"), "a", if id == 1 { "draining" } else { "ready" });
    let other_entry = |id: usize| entry(&format!("far-{id}"), "b", "ready");
    let entries: Vec<String> = (0..140_000)
        .map(|id| if id > 0 && id % 3000 == 0 { own_entry(id / 3000) } else { other_entry(id) })
        .collect();
    let text = with_newline(list_json(42, true, &entries));
    // Above the limit of 16 MiB, which applies only to the entries in scope.
    assert!(text.len() > 18 << 20, "the list has only {} bytes", text.len());
    watch.send_chunk(&text);
    assert!(proxy.next_line_containing("out=s-1").contains("out=s-1"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", manager.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kb: usize = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    /// Limit on the peak memory of the manager: 40 MiB.
    const MAX_PEAK_KB: usize = 40 << 10;
    assert!(
        peak_kb < MAX_PEAK_KB,
        "a peak of {peak_kb} kB exceeds {MAX_PEAK_KB} kB for a list of {} bytes",
        text.len()
    );
}

#[test]
fn a_new_discovery_address_has_no_effect_with_relays_and_is_warned_of() {
    let relays = Relays::new("reload", 1, "");
    let discoveries: Vec<TcpListener> = (0..2).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let config_at = |discovery: usize| config(discoveries[discovery].local_addr().unwrap(), 64);
    let mut manager = relays.start_manager("reload", &config_at(0));
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let (request_line, mut watch) = relays.accept_watch(0);
    assert_eq!(
        request_line, "GET /v1/servers?stream=1&index=41 HTTP/1.1",
        "without a scope the request is for all workers"
    );
    std::fs::write(&manager.config_path, config_at(1)).unwrap();
    manager.signal("HUP");
    manager.wait_for_log_line("has no effect: the list is taken from relays");
    watch.send_chunk(&change(42, "s-1", "b", "draining"));
    proxy.next_line_containing("out=s-1");
    for discovery in &discoveries {
        discovery.set_nonblocking(true).unwrap();
        assert!(discovery.accept().is_err(), "discovery must not be dialled");
    }
}

#[test]
fn an_invalid_relay_address_is_reported_in_one_line_with_its_path() {
    for (test, address) in [("odd", "999.0.0.1:7100"), ("port", "127.0.0.1:0")] {
        let file =
            write_operator_file(test, &format!("<relay>127.0.0.1:7100</relay><relay>{address}</relay>"));
        let mut check = std::process::Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        check.env_clear().arg("check").arg("--operator-file").arg(&file);
        let output = check.output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), stderr.lines().count()), (Some(1), 1), "{stderr}");
        let expected =
            format!("/jrm:discovery/relay[.='{address}']: {address:?} is not the address of a relay");
        assert!(stderr.contains(&expected), "{stderr}");
        std::fs::remove_file(&file).unwrap();
    }
}

#[test]
fn a_list_over_its_limit_is_also_refused_without_relays_and_scope() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut manager = ManagerProcess::start("relays-discovery", &config(discovery.local_addr().unwrap(), 64));
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    // The discovery server, wrapped in `Relays` for its functions.
    let source = Relays { listeners: vec![discovery], operator_file: PathBuf::new() };
    let (request_line, mut watch) = source.accept_watch(0);
    assert_eq!(request_line, "GET /v1/servers?stream=1&index=41 HTTP/1.1");
    let name = "x".repeat(16_000);
    let entries: Vec<String> = (0..2500).map(|id| entry(&format!("w-{id}-{name}"), "a", "ready")).collect();
    let huge_list = list_json(42, true, &entries);
    assert!(
        watch.try_send_raw(&format!("{:x}\r\n{huge_list}", huge_list.len() + 1)).is_err(),
        "the manager must close the connection before the end of the list"
    );
    let refused_at = Instant::now();
    assert!(manager
        .wait_for_log_line("WARN")
        .contains("exceed the limit of 16777216 bytes; list 41 stays in use"));
    let (request_line, mut watch) = source.accept_watch(0);
    assert!(
        refused_at.elapsed() >= Duration::from_secs(2) && request_line.contains("index=41"),
        "{request_line}"
    );
    watch.send_chunk(&change(42, "s-1", "a", "draining"));
    proxy.next_line_containing("out=s-1");
}

#[test]
fn a_list_sent_slowly_is_accepted_even_if_its_line_takes_longer_than_the_silence_timeout() {
    let (relays, manager) = Relays::with_manager_of_zone_a("pace");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let mut watch = relays.accept_watch_from(0, 41);
    let entries = ["s-1", "s-2", "s-3", "s-4"].map(|id| entry(id, "a", "draining"));
    watch.send_chunk(r#"{"generation":42,"reset":true,"instances":["#);
    // An entry every 2 s: the line takes 8 s, but no silence reaches the time-out of 4 s.
    for (index, entry) in entries.iter().enumerate() {
        let comma = if index > 0 { "," } else { "" };
        watch.send_chunk(&format!("{comma}{entry}"));
        thread::sleep(Duration::from_secs(2));
    }
    watch.send_chunk("]}\n");
    proxy.next_line_containing("out=s-1,s-2,s-3");
    assert!(relays.try_accept(1).is_none(), "the manager must stay with this relay");
}
