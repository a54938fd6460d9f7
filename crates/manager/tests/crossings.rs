//! Two events that cross, each pair forced into its bad order by what a peer holds back, or by the program being stopped
//! while both come: never by a time that is hoped for.

mod cluster;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::{config, entry, watch, Program, TestCluster};
use juniperrail_standins::{entry as entry_at, list, Answering, Peer, SETTINGS};

const NOBODY: &str = "127.0.0.1:1";

fn nobody() -> SocketAddr {
    NOBODY.parse().unwrap()
}

/// A configuration whose whole table is some 300 kB, far more than [`Peer::narrow`] takes, and whose silences are short.
fn wide(discovery: SocketAddr) -> String {
    let name = "x".repeat(250);
    let entries: Vec<String> =
        (0..1100).map(|id| entry_at(&format!("s-{id}-{name}"), "a", "127.0.0.1:9", "ready")).collect();
    let settings = SETTINGS
        .replace("\"n-instances\":1,", "\"n-instances\":1100,")
        .replace("\"pending-max\":5000", "\"pending-max\":50000")
        .replace("\"channel-rate\":5000", "\"channel-rate\":500000")
        .replace("\"worst-transit-ms\":900,\"period-ms\":2000", "\"worst-transit-ms\":100,\"period-ms\":200");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":1024}},
        "known":{},"settings":{settings}}}"#,
        list(41, true, &entries)
    )
}

#[test]
fn a_stream_given_up_as_silent_gives_its_descriptor_back_though_a_write_to_it_never_ends() {
    let program = Program::start("silent", &wide(nobody()));
    let mut proxy = Peer::narrow(program.address);
    proxy.say("hello node=1 locality=a w=2 cold=1");
    program.until_connections(1);
    // It reads nothing for good: silent after a period and a transit, given up after as long again.
    program.until_connections(0);
    drop(proxy);
}

#[test]
fn a_stream_that_another_replaced_ends_at_once_with_what_is_queued_for_it() {
    let cluster = TestCluster::with(wide);
    let name = "x".repeat(250);
    let mut old = Peer::narrow(cluster.manager);
    old.say("hello node=1 locality=a w=2 cold=1");
    let mut other = cluster.proxy(2);
    other.line_with("whole=1");
    let draining = entry_at(&format!("s-7-{name}"), "a", "127.0.0.1:9", "draining");
    cluster.watch("200 OK").1.chunk(&(list(42, false, &[draining]) + "\n"));
    // Told in one turn to both: behind the table that the old stream does not take.
    other.line_with("out=s-7-");
    let mut new = cluster.proxy(1);
    new.line_with("whole=1");
    let told = old.rest();
    assert!(
        told.starts_with("push") && !told.contains("out=s-7-"),
        "{} bytes: a stale order came",
        told.len()
    );
}

#[test]
fn an_introduction_that_comes_late_over_an_older_connection_takes_no_stream_away() {
    let cluster = TestCluster::new(64);
    // Whoever does not join within 1 s is told so: on a machine so busy the story begins anew.
    for _ in 0..20 {
        let mut old = cluster.peer();
        old.raw("hello node=7 locality=a w=21.5");
        let mut new = cluster.proxy(7);
        new.line_with("whole=1");
        old.raw(" cold=1\r\n");
        match old.line() {
            Some(late) if late.starts_with("error why=late") => continue,
            end => assert_eq!(end, None, "the older connection is ended"),
        }
        new.say("probe");
        new.line_with("alive");
        return;
    }
    panic!("the machine is too busy for two lines within a second");
}

#[test]
fn a_stranger_told_to_go_as_it_joins_goes_so_that_there_are_no_more_connections_than_may_be() {
    // With 28 descriptors, 14 connections may be open.
    for _ in 0..20 {
        let program = Program::start("stranger", &config(nobody(), 28));
        let mut joined: Vec<Peer> = (0..13).map(|number| Peer::joined(program.address, number)).collect();
        joined.iter_mut().for_each(|proxy| _ = proxy.line_with("whole=1"));
        let mut stranger = Peer::dial(program.address);
        program.until_connections(14);
        program.signal("STOP");
        let mut newcomer = Peer::dial(program.address);
        newcomer.say("hello node=14 locality=a w=2 cold=1");
        stranger.say("hello node=13 locality=a w=2 cold=1");
        program.signal("CONT");
        newcomer.line_with("whole=1");
        match stranger.line() {
            Some(late) if late.starts_with("error why=late") => continue,
            end => assert_eq!(end, None, "its descriptor is another's"),
        }
        program.until_connections(14);
        return;
    }
    panic!("the machine is too busy for two lines within a second");
}

#[test]
fn a_burst_of_probes_is_answered_whole_and_takes_no_orders_place() {
    let cluster = TestCluster::new(64);
    let mut proxy = cluster.proxy(1);
    proxy.line_with("whole=1");
    proxy.raw(&"probe\r\n".repeat(500));
    for place in 0..500 {
        assert_eq!(proxy.line().as_deref(), Some("alive"), "answer {place}");
    }
    cluster.watch("200 OK").1.chunk(&(list(42, false, &[entry("s-2", "draining")]) + "\n"));
    proxy.line_with("out=s-2");
}

#[test]
fn a_watch_that_drips_without_ever_ending_a_line_is_dialled_again() {
    let cluster = TestCluster::new(64);
    let (_, mut agent) = cluster.watch("200 OK");
    agent.chunk(&(list(42, false, &[entry("s-1", "draining")]) + "\n"));
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let dripping = thread::spawn(move || {
        // Until the manager ends it: a byte of a line that never ends.
        while matches!(stopped.try_recv(), Err(std::sync::mpsc::TryRecvError::Empty)) {
            if agent.try_raw("1\r\n{\r\n").is_err() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    });
    let asked = accepted(&cluster.discovery);
    if asked.is_none() {
        drop(stop);
    }
    assert!(asked.is_some_and(|asked| asked.contains("index=42")), "it is dialled again");
    assert!(dripping.join().unwrap(), "the dripping watch is ended");
}

/// What the next watch asks for, if one comes in time.
fn accepted(discovery: &TcpListener) -> Option<String> {
    discovery.set_nonblocking(true).unwrap();
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        match discovery.accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(false).unwrap();
                return Peer::new(socket).line();
            }
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    None
}

#[test]
fn a_list_older_than_the_one_held_brings_nobody_back_until_discovery_counts_anew() {
    let cluster = TestCluster::new(64);
    let mut proxy = Answering::joined(cluster.manager, 1);
    proxy.line_with("whole=1");
    let (_, mut agent) = cluster.watch("200 OK");
    agent.chunk(&(list(42, false, &[entry("s-1", "draining")]) + "\n"));
    proxy.line_with("out=s-1");
    drop(agent);
    // An agent that is behind tells all it knows, then what it is told itself.
    let (asked, mut agent) = cluster.watch("200 OK");
    assert!(asked.contains("index=42"), "{asked}");
    let whole = list(41, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready")));
    agent.chunk(&(whole.clone() + "\n"));
    agent.chunk(&(list(42, false, &[entry("s-1", "draining")]) + "\n"));
    agent.chunk(&(list(43, false, &[entry("s-2", "draining")]) + "\n"));
    let told = proxy.line_with("out=s-2");
    assert!(!told.contains("s-1"), "{told}");
    drop(agent);
    // Discovery that counts anew stays behind: after 6 s its word is taken, whatever its number.
    let (asked, mut agent) = cluster.watch("200 OK");
    assert!(asked.contains("index=43"), "{asked}");
    agent.chunk(&(list(1, true, &[]) + "\n"));
    let again = loop {
        if agent.try_raw("1\r\n\n\r\n").is_err() {
            break watch(&cluster.discovery, "200 OK");
        }
        thread::sleep(Duration::from_millis(500));
    };
    assert!(!again.0.contains("index"), "the whole is asked for: {}", again.0);
    let mut agent = again.1;
    agent.chunk(&(list(2, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready"))) + "\n"));
    assert!(proxy.line_with("back=").contains("s-1"));
}

#[test]
fn whoever_reads_the_log_may_go_away_at_any_time() {
    let mut program = Program::start("log", &config(nobody(), 64));
    let mut proxy = Peer::joined(program.address, 1);
    proxy.line_with("whole=1");
    drop(program.log.take());
    // Each of these is told in the log at once.
    for _ in 0..3 {
        program.signal("HUP");
        Peer::joined(program.address, 2).line_with("whole=1");
    }
    proxy.say("probe");
    proxy.line_with("alive");
    assert!(program.child.try_wait().unwrap().is_none(), "it runs");
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn a_restart_waits_until_its_predecessor_has_let_go_of_the_address() {
    let old = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = old.local_addr().unwrap();
    let path = std::env::temp_dir().join(format!("juniperrail-again-{}.json", std::process::id()));
    std::fs::write(&path, config(nobody(), 64)).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
    program.env_clear().env("PROXY_CONFIG", &path).env("PROXY_LISTEN", address.to_string());
    program.env("RUST_LOG", "debug").stderr(Stdio::piped());
    let mut child = program.spawn().unwrap();
    let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut said = String::new();
    while !said.contains(&format!("{address} is in use")) {
        let read = std::io::BufRead::read_line(&mut log, &mut said).unwrap();
        assert!(read > 0, "it ended: {said}");
    }
    drop(old);
    assert_eq!(juniperrail_standins::address_served(&mut log), address);
    Peer::joined(address, 1).line_with("whole=1");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn spans_that_no_clock_could_hold_are_a_fault_of_one_line() {
    let path = std::env::temp_dir().join(format!("juniperrail-spans-{}.json", std::process::id()));
    let good = config(nobody(), 64);
    for (from, to, expected) in [
        (r#""tick-ms":1"#, r#""tick-ms":1e300"#, "tick-ms"),
        (r#""dial-timeout-ms":250"#, r#""dial-timeout-ms":1e25"#, "dial-timeout-ms"),
        (r#""name":"lookup","on-time-ms":500"#, r#""name":"lookup","on-time-ms":-5"#, "latency objective"),
    ] {
        assert!(good.contains(from), "{from}");
        std::fs::write(&path, good.replace(from, to)).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        program.env_clear().env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = program.spawn().unwrap();
        let mut said = String::new();
        let log = child.stderr.take().unwrap();
        let mut log = std::io::BufReader::new(log);
        std::io::BufRead::read_line(&mut log, &mut said).unwrap();
        // One that serves all the same would do so for good.
        if !said.starts_with("juniperrail: ") {
            child.kill().unwrap();
        }
        log.read_to_string(&mut said).unwrap();
        let code = child.wait().unwrap().code();
        assert!(said.starts_with("juniperrail: ") && said.contains(expected), "{expected}: {said}");
        assert_eq!((said.lines().count(), code), (1, Some(1)), "{said}");
    }
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn all_proxies_may_knock_while_nobody_is_taken() {
    let most: usize =
        std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap().trim().parse().unwrap();
    // As many as the system lets wait, but more than its usual listeners do.
    let count = 1300.min(most);
    let settings = SETTINGS.replace("\"proxy-count\":20", &format!("\"proxy-count\":{count}"));
    let config = config(nobody(), 4096).replace(SETTINGS, &settings);
    let program = Program::start("knock", &config);
    program.signal("STOP");
    let address = program.address;
    let knocking = (0..4).map(|part| {
        thread::spawn(move || {
            let dial = |_| TcpStream::connect_timeout(&address, Duration::from_secs(20));
            (part..count).step_by(4).map(dial).collect::<Result<Vec<TcpStream>, _>>()
        })
    });
    let knocking: Vec<_> = knocking.collect();
    let waiting: Vec<_> = knocking.into_iter().map(|part| part.join().unwrap()).collect();
    program.signal("CONT");
    let waiting: Result<Vec<_>, _> = waiting.into_iter().collect();
    let waiting: Vec<TcpStream> =
        waiting.expect("the handshake of each is done").into_iter().flatten().collect();
    assert_eq!(waiting.len(), count);
}

#[test]
fn an_answer_whose_head_never_ends_is_given_up_and_its_connection_ended() {
    let cluster = TestCluster::new(64);
    let mut agent = Peer::new(cluster.discovery.accept().unwrap().0);
    assert!(agent.line().is_some_and(|asked| asked.starts_with("GET /v1/servers?stream=1")));
    agent.raw("HTTP/1.1 200 OK\r\nX-Never: a");
    assert!(accepted(&cluster.discovery).is_some(), "it is dialled again");
    // Nothing more is taken on the first; what is sent meets its end.
    let until = Instant::now() + Duration::from_secs(20);
    while agent.try_raw("a").is_ok() {
        assert!(Instant::now() < until, "the connection stays");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn signals_that_come_together_or_twice_end_it_once_and_well() {
    let mut program = Program::start("signals", &config(nobody(), 64));
    let mut proxy = Peer::joined(program.address, 1);
    proxy.line_with("whole=1");
    program.signal("STOP");
    for signal in ["HUP", "TERM", "HUP", "TERM", "CONT"] {
        program.signal(signal);
    }
    assert!(program.child.wait().unwrap().success());
    proxy.rest();
}

#[test]
fn a_restart_in_the_middle_of_a_write_cuts_one_line_and_the_successor_serves_at_once() {
    let mut old = Program::start("half", &wide(nobody()));
    let address = old.address;
    let mut slow = Peer::narrow(address);
    slow.say("hello node=1 locality=a w=2 cold=1");
    let mut other = Peer::joined(address, 2);
    other.line_with("whole=1");
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success(), "whoever reads nothing holds up no end");
    let successor =
        Program::start_with("half-next", &wide(nobody()), &[("PROXY_LISTEN", &address.to_string())]);
    assert_eq!(successor.address, address);
    // What came of the table ends within a line: no part of a message that a proxy could take for a whole one.
    let cut = slow.rest();
    assert!(cut.starts_with("push") && !cut.ends_with("\r\n"), "{} bytes", cut.len());
    let told = Peer::joined(address, 1).line_with("whole=1");
    assert!(told.contains("ticket=1"), "it knows nothing of what its predecessor sent");
}

#[test]
fn a_stream_that_ended_before_its_introduction_was_read_is_no_match_for_the_next_one() {
    let program = Program::start("ended", &config(nobody(), 64));
    program.signal("STOP");
    for _ in 0..8 {
        drop(Peer::joined(program.address, 7));
    }
    let mut last = Peer::joined(program.address, 7);
    program.signal("CONT");
    last.line_with("whole=1");
    program.until_connections(1);
    last.say("probe");
    last.line_with("alive");
}

#[test]
fn a_proxy_that_closes_only_its_sending_half_has_left() {
    let cluster = TestCluster::new(64);
    let mut half = cluster.proxy(1);
    let mark = half.line_with("ticket=").split("ticket=").nth(1).unwrap().to_string();
    half.say(&format!("ack node=1 nonce={mark} latency=1.0"));
    half.close_sending();
    half.rest();
    let mut again = cluster.proxy(1);
    again.line_with("whole=1");
    again.alive();
}

#[test]
fn every_proxy_that_comes_back_amid_a_flood_of_strangers_is_taken() {
    let program = Program::start("flood", &config(nobody(), 64));
    program.signal("STOP");
    // More than may be open in all, each before any proxy.
    let strangers: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(program.address).unwrap()).collect();
    let mut proxies: Vec<Peer> = (0..20).map(|number| Peer::joined(program.address, number)).collect();
    let more: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(program.address).unwrap()).collect();
    program.signal("CONT");
    for proxy in &mut proxies {
        proxy.line_with("whole=1");
    }
    drop((strangers, more));
}

#[test]
fn a_drain_comes_through_while_collectors_flood() {
    let cluster = TestCluster::new(64);
    let mut proxy = Answering::joined(cluster.manager, 1);
    proxy.line_with("whole=1");
    let (_, mut agent) = cluster.watch("200 OK");
    let stopped = Arc::new(AtomicBool::new(false));
    let floods: Vec<_> = (0..4)
        .map(|_| {
            let (mut collector, stopped) = (cluster.peer(), stopped.clone());
            thread::spawn(move || {
                collector.say("agent locality=a");
                let report =
                    "outcomes locality=a endpoint=s-3 total=9 errors=0 rtt=40 interval=1000\r\n".repeat(500);
                let mut sent = 0;
                while !stopped.load(Ordering::Relaxed) && collector.try_raw(&report).is_ok() {
                    sent += 500;
                }
                sent
            })
        })
        .collect();
    for (version, worker) in [(42, "s-1"), (43, "s-2")] {
        agent.chunk(&(list(version, false, &[entry(worker, "draining")]) + "\n"));
        proxy.line_with(&format!("out={worker}"));
    }
    stopped.store(true, Ordering::Relaxed);
    let sent: usize = floods.into_iter().map(|flood| flood.join().unwrap()).sum();
    assert!(sent > 4096, "{sent} reports are no flood: fewer than the queue holds");
}

#[test]
fn a_reload_without_a_file_leaves_all_as_it_was() {
    let mut program = Program::start("gone", &config(nobody(), 64));
    let mut proxy = Peer::joined(program.address, 1);
    proxy.line_with("whole=1");
    let json = std::fs::read_to_string(&program.path).unwrap();
    std::fs::remove_file(&program.path).unwrap();
    program.signal("HUP");
    program.logged("the configuration stays as it was");
    std::fs::write(&program.path, json).unwrap();
    program.signal("HUP");
    program.logged("the configuration was read again");
    proxy.say("probe");
    proxy.line_with("alive");
}

#[test]
fn a_whole_list_with_an_entry_that_cannot_be_read_still_tells_who_is_gone() {
    let cluster = TestCluster::new(64);
    let mut proxy = Answering::joined(cluster.manager, 1);
    proxy.line_with("whole=1");
    let (_, mut agent) = cluster.watch("200 OK");
    let broken = r#"{"instanceId":"s-3","lifecycle":7}"#.to_string();
    agent.chunk(&(list(42, true, &[entry("s-2", "ready"), broken]) + "\n"));
    let told = proxy.line_with("out=s-1");
    assert!(!told.contains("s-3"), "what is known of it stays: {told}");
    // Later changes do not name who was gone before.
    agent.chunk(&(list(43, false, &[entry("s-3", "draining")]) + "\n"));
    proxy.line_with("out=s-3");
}
