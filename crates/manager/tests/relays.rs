//! A manager that takes its part of the list from relays, each played by hand. What happens first is forced by what a
//! relay holds back.

mod cluster;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::{config, ManagerProcess};
use juniperrail_distribution::RelayChoice;
use juniperrail_standins::{entry as entry_at, list, Answering, Peer};

/// Nothing that is waited for takes so long, however busy the machine is.
const WITHIN: Duration = Duration::from_secs(40);

/// An agent that nobody may dial.
const NOBODY: &str = "127.0.0.1:1";

/// The name that the manager has by its configuration.
const MANAGER: &str = "n0";

fn entry(id: &str, zone: &str, lifecycle: &str) -> String {
    entry_at(id, zone, "127.0.0.1:9", lifecycle)
}

/// Relays in the order in which the manager prefers them, and what it needs of the list.
struct Relays {
    listeners: Vec<TcpListener>,
    operator_file: PathBuf,
}

impl Relays {
    /// `story` sets its files apart from those of other stories; `scope` is the body of that container.
    fn new(story: &str, count: usize, scope: &str) -> Relays {
        let listener = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let mut by_address: Vec<(SocketAddr, TcpListener)> =
            (0..count).map(listener).map(|it| (it.local_addr().unwrap(), it)).collect();
        let addresses: Vec<SocketAddr> = by_address.iter().map(|(address, _)| *address).collect();
        let order = order_of_preference(&addresses);
        by_address.sort_by_key(|(address, _)| order.iter().position(|of| of == address));
        let named: String = addresses.iter().map(|address| format!("<relay>{address}</relay>")).collect();
        let operator_file = write_operator_file(story, &format!("{named}<scope>{scope}</scope>"));
        Relays { listeners: by_address.into_iter().map(|(_, listener)| listener).collect(), operator_file }
    }

    /// Three relays of a manager that needs the workers of zone a, and holds s-1 to s-3 as of version 41.
    fn of_zone_a(story: &str) -> (Relays, ManagerProcess) {
        let relays = Relays::new(story, 3, "<zone>a</zone>");
        let manager = relays.manager(story, &config(NOBODY.parse().unwrap(), 64));
        (relays, manager)
    }

    fn manager(&self, story: &str, config: &str) -> ManagerProcess {
        let variables = [("JUNIPERRAIL_FILE", self.operator_file.to_str().unwrap())];
        ManagerProcess::start_with(&format!("relays-{story}"), config, &variables)
    }

    /// Takes the next watch at this relay: what was asked for, and the connection with a head already answered.
    fn watch(&self, relay: usize) -> (String, Peer) {
        self.answer(relay, "200 OK")
    }

    /// The same, answered with this status. Panics where nobody dials.
    fn answer(&self, relay: usize, status: &str) -> (String, Peer) {
        let mut peer = Peer::new(self.taken(relay));
        let asked = peer.line().expect("a question");
        while peer.line().is_some_and(|line| !line.is_empty()) {}
        peer.raw(&format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n"));
        (asked, peer)
    }

    /// Takes the next watch at this relay, which asks with this index.
    fn watch_from(&self, relay: usize, index: u64) -> Peer {
        let (asked, watch) = self.watch(relay);
        assert_eq!(asked, format!("GET /v1/servers?stream=1&index={index}&zones=a HTTP/1.1"));
        watch
    }

    /// Takes the next connection at this relay and says nothing on it.
    fn taken(&self, relay: usize) -> TcpStream {
        let until = Instant::now() + WITHIN;
        loop {
            if let Some(socket) = self.next_connection(relay) {
                return socket;
            }
            assert!(Instant::now() < until, "nobody dials relay {relay}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Who has dialled this relay and was not taken yet.
    fn next_connection(&self, relay: usize) -> Option<TcpStream> {
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

fn order_of_preference(relays: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut choice = RelayChoice::new(MANAGER, relays.iter().copied()).unwrap();
    let mut rng = fastrand::Rng::with_seed(1);
    let next = |_| {
        let relay = choice.current();
        choice.failed(juniperrail_distribution::RelayFailure::Broken, &mut rng);
        relay
    };
    relays.iter().map(next).collect()
}

fn write_operator_file(story: &str, discovery: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("juniperrail-relays-{story}-{}.xml", std::process::id()));
    let text = format!(
        "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
         <discovery xmlns=\"tag:juniperrail.example,2026:yang:manager\">{discovery}</discovery></config>"
    );
    std::fs::write(&path, text).unwrap();
    path
}

fn line(text: String) -> String {
    text + "\n"
}

/// What the relay has: the workers of zone a in this state.
fn whole(version: u64, lifecycles: &[(&str, &str)]) -> String {
    let entries: Vec<String> = lifecycles.iter().map(|(id, lifecycle)| entry(id, "a", lifecycle)).collect();
    line(list(version, true, &entries))
}

fn change(version: u64, id: &str, zone: &str, lifecycle: &str) -> String {
    line(list(version, false, &[entry(id, zone, lifecycle)]))
}

/// Heartbeats on a watch until the manager has ended it. They come on a thread of their own.
fn beat_until_ended(mut watch: Peer) -> mpsc::Receiver<()> {
    let (ended, over) = mpsc::channel();
    thread::spawn(move || {
        while watch.try_raw("1\r\n\n\r\n").is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
        ended.send(())
    });
    over
}

/// The proxy has applied all that was told so far: a later drain comes without any word on others before it.
fn assert_only(told: &str, expected: &str) {
    for id in ["s-1", "s-2", "s-3", "s-4"].into_iter().filter(|id| !expected.contains(id)) {
        assert!(!told.contains(id), "nobody told of {id}: {told}");
    }
}

#[test]
fn a_relay_killed_in_the_midst_of_a_snapshot_changes_nothing_and_the_next_is_asked_with_what_is_held() {
    let (relays, manager) = Relays::of_zone_a("snapshot");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut first = relays.watch_from(0, 41);
    let snapshot = whole(900, &[("s-1", "draining"), ("s-4", "ready"), ("s-5", "ready")]);
    // The whole of two entries, and a part of the third.
    first.chunk(&snapshot[..snapshot.len() - 60]);
    drop(first);
    let mut second = relays.watch_from(1, 41);
    second.chunk(&change(42, "s-2", "a", "draining"));
    let told = proxy.line_with("out=");
    assert_only(&told, "s-2");
    second.chunk(&change(43, "s-3", "a", "gone"));
    assert!(!proxy.line_with("out=s-3").contains("s-1"));
}

#[test]
fn a_watch_cut_in_the_middle_of_an_entry_says_nothing_of_it() {
    let (relays, manager) = Relays::of_zone_a("entry");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut first = relays.watch_from(0, 41);
    let changes = line(list(42, false, &[entry("s-1", "a", "draining"), entry("s-2", "a", "draining")]));
    let middle = changes.find("s-2").unwrap() + 1;
    first.chunk(&changes[..middle]);
    // A line that ends there, as a peer that is confused might end it.
    first.chunk("\n");
    let mut second = relays.watch_from(1, 41);
    second.chunk(&changes[..middle]);
    // A body that ends there, in good order.
    second.raw("0\r\n\r\n");
    let mut third = relays.watch_from(2, 41);
    third.chunk(&change(43, "s-3", "a", "draining"));
    assert_only(&proxy.line_with("out="), "s-3");
}

#[test]
fn a_relay_that_stalls_and_holds_its_connections_is_left_for_the_next() {
    let (relays, manager) = Relays::of_zone_a("stall");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    // The first takes the connection and never answers, the second answers and stops within an entry.
    let silent = relays.taken(0);
    let mut stalled = relays.watch_from(1, 41);
    let snapshot = whole(42, &[("s-1", "draining"), ("s-2", "ready")]);
    stalled.chunk(&snapshot[..snapshot.len() - 60]);
    let mut third = relays.watch_from(2, 41);
    third.chunk(&change(42, "s-2", "a", "draining"));
    assert_only(&proxy.line_with("out="), "s-2");
    assert_eq!(stalled.line(), None, "its connection is given back");
    drop(silent);
}

#[test]
fn a_relay_far_behind_the_one_left_is_left_for_the_next_and_nothing_of_it_is_taken() {
    let (relays, manager) = Relays::of_zone_a("behind");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut first = relays.watch_from(0, 41);
    first.chunk(&change(1041, "s-1", "a", "draining"));
    proxy.line_with("out=s-1");
    drop(first);
    let mut second = relays.watch_from(1, 1041);
    second.chunk(&line(list(41, false, &[])));
    second.chunk(&whole(41, &[("s-1", "ready"), ("s-2", "gone"), ("s-3", "ready")]));
    let ended = beat_until_ended(second);
    let mut third = relays.watch_from(2, 1041);
    ended.recv_timeout(WITHIN).expect("the one behind is left");
    third.chunk(&change(1042, "s-3", "a", "draining"));
    let told = proxy.line_with("out=s-3");
    assert!(!told.contains("back=") && !told.contains("s-2"), "{told}");
    third.chunk(&change(1043, "s-2", "a", "draining"));
    assert!(!proxy.line_with("out=s-2").contains("s-1"));
    assert!(relays.next_connection(0).is_none(), "the one that serves is kept");
}

#[test]
fn a_source_that_counts_anew_is_taken_once_every_relay_is_behind() {
    let (relays, manager) = Relays::of_zone_a("anew");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut beaten = Vec::new();
    for relay in 0..3 {
        let mut watch = relays.watch_from(relay, 41);
        watch.chunk(&line(list(2, false, &[])));
        beaten.push(beat_until_ended(watch));
    }
    let (asked, mut watch) = relays.watch(0);
    assert_eq!(asked, "GET /v1/servers?stream=1&zones=a HTTP/1.1", "the whole list is asked for");
    beaten.iter().for_each(|ended| ended.recv_timeout(WITHIN).expect("each is left"));
    watch.chunk(&whole(3, &[("s-1", "ready"), ("s-2", "draining"), ("s-4", "ready")]));
    let told = proxy.line_with("out=");
    assert!(told.contains("s-2") && told.contains("s-3") && !told.contains("s-1"), "{told}");
    drop(watch);
    relays.watch_from(1, 3);
}

#[test]
fn a_drain_that_comes_through_the_next_relay_is_kept_after_being_cut_off_from_all() {
    let (relays, manager) = Relays::of_zone_a("cut");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    drop(relays.watch_from(0, 41));
    // Each refuses in turn, for two rounds: there is nobody to hear anything from.
    for relay in [1, 2, 0, 1, 2] {
        let (asked, _) = relays.answer(relay, "503 Service Unavailable");
        assert!(asked.contains("index=41"), "{asked}");
    }
    // What is held goes on: whoever joins is given the table of it.
    let mut late = Answering::joined(manager.address, 2);
    let table = late.line_with("whole=1");
    assert!(["s-1", "s-2", "s-3"].iter().all(|id| table.contains(id)), "{table}");
    let mut next = relays.watch_from(0, 41);
    next.chunk(&change(42, "s-1", "a", "draining"));
    for proxy in [&mut proxy, &mut late] {
        let told = proxy.line_with("out=s-1");
        assert_only(&told, "s-1");
        let removed = proxy.line_with("lines=");
        assert!(removed.contains("s-1:0"), "{removed}");
    }
}

#[test]
fn a_worker_that_leaves_the_scope_drains_and_one_that_comes_back_is_used_again() {
    let (relays, manager) = Relays::of_zone_a("moves");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut watch = relays.watch_from(0, 41);
    watch.chunk(&change(42, "s-1", "b", "ready"));
    assert_only(&proxy.line_with("out=s-1"), "s-1");
    watch.chunk(&change(43, "s-1", "a", "ready"));
    assert_only(&proxy.line_with("back=s-1"), "s-1");
    // It leaves again, and is told as gone where it is now: it is forgotten here as well, and nobody else is.
    watch.chunk(&change(44, "s-1", "b", "ready"));
    proxy.line_with("out=s-1");
    watch.chunk(&change(45, "s-1", "b", "gone"));
    watch.chunk(&change(46, "s-1", "b", "ready"));
    // A worker that never was in scope says nothing, whatever becomes of it.
    watch.chunk(&change(47, "s-4", "b", "ready"));
    watch.chunk(&change(48, "s-4", "b", "draining"));
    watch.chunk(&change(49, "s-4", "b", "gone"));
    watch.chunk(&change(50, "s-2", "a", "draining"));
    assert_only(&proxy.line_with("out=s-2"), "s-2");
}

#[test]
fn entries_out_of_scope_make_nobody_gone_and_are_never_kept() {
    let (relays, manager) = Relays::of_zone_a("whole");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut watch = relays.watch_from(0, 41);
    // A whole list in which s-3 stands in another zone by now, amid many that this manager never hears of.
    let others = (0..2000).map(|id| entry(&format!("far-{id}"), "b", "ready"));
    let own = ["s-1", "s-2", "s-4"].map(|id| entry(id, "a", "ready"));
    let moved = entry("s-3", "b", "ready");
    let entries: Vec<String> = others.chain(own).chain([moved]).collect();
    watch.chunk(&line(list(42, true, &entries)));
    let told = proxy.line_with("out=");
    assert_only(&told, "s-3, lines=s-4:1");
    // One that is unfit, of a worker that is held, makes that one gone no more than without a scope.
    let unfit = r#"{"instanceId":"s-1"}"#.to_string();
    watch.chunk(&line(list(43, true, &[unfit, entry("s-2", "a", "draining"), entry("s-4", "a", "ready")])));
    let told = proxy.line_with("out=s-2");
    assert!(!told.contains("s-1"), "{told}");
    let table = Answering::joined(manager.address, 2).line_with("whole=1");
    assert!(table.contains("s-1") && table.contains("s-4") && !table.contains("far-"), "{table}");
    // One of which not even the worker can be read: nobody is gone for not being named.
    let nobody = r#"{"zone":"a"}"#.to_string();
    watch.chunk(&line(list(44, true, &[nobody, entry("s-4", "a", "draining")])));
    let told = proxy.line_with("out=s-4");
    assert!(!told.contains("s-1"), "{told}");
    // A whole list that lacks it tells it gone, as ever.
    watch.chunk(&line(list(45, true, &[entry("s-5", "a", "ready"), entry("s-1", "a", "ready")])));
    watch.chunk(&line(list(46, true, &[entry("s-5", "a", "ready")])));
    proxy.line_with("out=s-1");
}

#[test]
fn a_scope_that_names_nothing_that_exists_is_said_once_and_takes_workers_once_they_appear() {
    let relays = Relays::new("nothing", 1, "<zone>nowhere</zone><service>quiz</service>");
    let mut manager = relays.manager("nothing", &config(NOBODY.parse().unwrap(), 64));
    let mut proxy = Answering::joined(manager.address, 1);
    let (asked, mut watch) = relays.watch(0);
    assert_eq!(asked, "GET /v1/servers?stream=1&index=41&zones=nowhere&services=quiz HTTP/1.1");
    watch.chunk(&whole(42, &[("s-1", "ready")]));
    watch.chunk(&line(list(43, true, &[entry("s-9", "nowhere", "ready")])));
    let table = proxy.line_with("s-9:1");
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
fn a_list_over_its_limit_is_refused_in_one_line_and_asked_for_ever_more_rarely() {
    let (relays, mut manager) = Relays::of_zone_a("limit");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    // Of 40 MB in scope: it is refused while it comes.
    let name = "x".repeat(16_000);
    let entries: Vec<String> = (0..2500).map(|id| entry(&format!("w-{id}-{name}"), "a", "ready")).collect();
    let huge = list(42, true, &entries);
    let mut waits: Vec<u64> = Vec::new();
    let mut refused_at = Vec::new();
    for relay in [0, 1, 2] {
        let (asked, mut watch) = relays.watch(relay);
        assert!(asked.contains("index=41"), "{asked}");
        assert!(
            watch.try_raw(&format!("{:x}\r\n{huge}", huge.len() + 1)).is_err(),
            "it is not read to its end"
        );
        let said = manager.wait_for_log_line("WARN");
        assert!(said.contains("entries exceed the limit of 16777216 bytes; list 41 stays in use"), "{said}");
        let wait = said.split_once("asked again in ").unwrap().1.trim_end_matches(" s");
        waits.push(wait.parse().unwrap());
        refused_at.push(Instant::now());
    }
    // 3, 6 and 12 s, by up to a quarter more or less, in whole seconds.
    assert!(
        (2..=3).contains(&waits[0]) && (4..=7).contains(&waits[1]) && (9..=15).contains(&waits[2]),
        "{waits:?}"
    );
    let gaps: Vec<Duration> = refused_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] >= Duration::from_secs(2) && gaps[1] >= Duration::from_secs(4), "{gaps:?}");
    // What is held goes on, and a list that is taken ends the wait's growth.
    let table = Answering::joined(manager.address, 2).line_with("whole=1");
    assert!(["s-1", "s-2", "s-3"].iter().all(|id| table.contains(id)) && !table.contains("w-"), "{table}");
    let mut watch = relays.watch_from(0, 41);
    watch.chunk(&change(43, "s-1", "a", "draining"));
    proxy.line_with("out=s-1");
    _ = watch.try_raw(&format!("{:x}\r\n{huge}", huge.len() + 1));
    let said = manager.wait_for_log_line("too large");
    assert!(said.contains("list 43 stays in use, asked again in 2 s") || said.contains("in 3 s"), "{said}");
}

#[test]
fn a_list_far_over_the_limit_is_taken_where_little_of_it_is_in_scope() {
    let (relays, manager) = Relays::of_zone_a("large");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut watch = relays.watch_from(0, 41);
    let own = |id: usize| entry(&format!("s-{id}"), "a", if id == 1 { "draining" } else { "ready" });
    let other = |id: usize| entry(&format!("far-{id}"), "b", "ready");
    let entries: Vec<String> =
        (0..140_000).map(|id| if id > 0 && id % 3000 == 0 { own(id / 3000) } else { other(id) }).collect();
    let text = line(list(42, true, &entries));
    assert!(text.len() > 18 << 20, "{}", text.len());
    watch.chunk(&text);
    assert!(proxy.line_with("out=s-1").contains("out=s-1"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", manager.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: usize = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    assert!(peak < 40 << 10, "{peak} kB at the most, for a list of {} bytes", text.len());
}

#[test]
fn a_move_of_discovery_has_no_effect_beside_relays_and_is_said() {
    let relays = Relays::new("reload", 1, "");
    let agents: Vec<TcpListener> = (0..2).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let config_at = |agent: usize| config(agents[agent].local_addr().unwrap(), 64);
    let mut manager = relays.manager("reload", &config_at(0));
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let (asked, mut watch) = relays.watch(0);
    assert_eq!(asked, "GET /v1/servers?stream=1&index=41 HTTP/1.1", "without a scope all is asked for");
    std::fs::write(&manager.path, config_at(1)).unwrap();
    manager.signal("HUP");
    manager.wait_for_log_line("has no effect: the list is taken from relays");
    watch.chunk(&change(42, "s-1", "b", "draining"));
    proxy.line_with("out=s-1");
    for agent in &agents {
        agent.set_nonblocking(true).unwrap();
        assert!(agent.accept().is_err(), "the agent is not dialled");
    }
}

#[test]
fn an_address_that_is_none_is_one_line_that_names_its_path() {
    for (story, address) in [("odd", "999.0.0.1:7100"), ("port", "127.0.0.1:0")] {
        let file =
            write_operator_file(story, &format!("<relay>127.0.0.1:7100</relay><relay>{address}</relay>"));
        let mut check = std::process::Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        check.env_clear().arg("check").arg("--operator-file").arg(&file);
        let output = check.output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), said.lines().count()), (Some(1), 1), "{said}");
        let expected = format!("/jrm:discovery/relay[.='{address}']: {address:?} is no address of a relay");
        assert!(said.contains(&expected), "{said}");
        std::fs::remove_file(&file).unwrap();
    }
}

#[test]
fn without_relays_and_scope_a_list_over_its_limit_is_refused_alike() {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut manager = ManagerProcess::start("relays-agent", &config(agent.local_addr().unwrap(), 64));
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let relays = Relays { listeners: vec![agent], operator_file: PathBuf::new() };
    let (asked, mut watch) = relays.watch(0);
    assert_eq!(asked, "GET /v1/servers?stream=1&index=41 HTTP/1.1");
    let name = "x".repeat(16_000);
    let entries: Vec<String> = (0..2500).map(|id| entry(&format!("w-{id}-{name}"), "a", "ready")).collect();
    let huge = list(42, true, &entries);
    assert!(watch.try_raw(&format!("{:x}\r\n{huge}", huge.len() + 1)).is_err(), "it is not read to its end");
    let refused = Instant::now();
    assert!(manager
        .wait_for_log_line("WARN")
        .contains("exceed the limit of 16777216 bytes; list 41 stays in use"));
    let (asked, mut watch) = relays.watch(0);
    assert!(refused.elapsed() >= Duration::from_secs(2) && asked.contains("index=41"), "{asked}");
    watch.chunk(&change(42, "s-1", "a", "draining"));
    proxy.line_with("out=s-1");
}

#[test]
fn a_list_that_a_relay_sends_at_a_pace_is_taken_though_its_line_takes_longer_than_a_silence() {
    let (relays, manager) = Relays::of_zone_a("pace");
    let mut proxy = Answering::joined(manager.address, 1);
    proxy.line_with("whole=1");
    let mut watch = relays.watch_from(0, 41);
    let entries = ["s-1", "s-2", "s-3", "s-4"].map(|id| entry(id, "a", "draining"));
    watch.chunk(r#"{"generation":42,"reset":true,"instances":["#);
    // An entry every 2 s: a line of 8 s, of which no 4 s pass in silence.
    for (place, entry) in entries.iter().enumerate() {
        let comma = if place > 0 { "," } else { "" };
        watch.chunk(&format!("{comma}{entry}"));
        thread::sleep(Duration::from_secs(2));
    }
    watch.chunk("]}\n");
    proxy.line_with("out=s-1,s-2,s-3");
    assert!(relays.next_connection(1).is_none(), "nobody else is asked");
}
