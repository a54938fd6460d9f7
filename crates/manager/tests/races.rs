//! Races between two events. Each pair is forced into its bad order, by a peer that holds something back or by
//! stopping the process while both arrive, and never by relying on timing.

mod cluster;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::{accept_watch, config, entry, ManagerProcess, TestCluster};
use juniperrail_standins::{instance_json as entry_at, list_json, AnsweringProxy, Peer, SETTINGS};

/// Messages that the manager's queue holds before its peers have to wait.
const INBOX_CAPACITY: usize = 4096;

/// Reports that a flooding collector sends at once.
const REPORTS_PER_WRITE: usize = 500;

const UNREACHABLE: &str = "127.0.0.1:1";

fn unreachable_discovery() -> SocketAddr {
    UNREACHABLE.parse().unwrap()
}

/// A configuration with a table of about 300 kB, far more than a [`Peer::narrow`] buffers, and with short time-outs
/// for silent proxies.
fn large_table_config(discovery: SocketAddr) -> String {
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
        list_json(41, true, &entries)
    )
}

#[test]
fn silent_stream_frees_its_descriptor_even_during_a_blocked_write() {
    let program = ManagerProcess::start("silent", &large_table_config(unreachable_discovery()));
    let mut proxy = Peer::connect_with_small_buffer(program.address);
    proxy.send_line("hello node=1 locality=a w=2 cold=1");
    program.wait_for_connection_count(1);
    // The proxy never reads: the manager takes it for silent after a report period (200 ms) and a transit (100 ms), and
    // closes its connection after as long again.
    program.wait_for_connection_count(0);
    drop(proxy);
}

#[test]
fn replaced_stream_ends_at_once_and_drops_its_queue() {
    let cluster = TestCluster::with_config(large_table_config);
    let name = "x".repeat(250);
    let mut old = Peer::connect_with_small_buffer(cluster.manager);
    old.send_line("hello node=1 locality=a w=2 cold=1");
    let mut other = cluster.proxy(2);
    other.next_line_containing("whole=1");
    let draining = entry_at(&format!("s-7-{name}"), "a", "127.0.0.1:9", "draining");
    cluster.accept_watch("200 OK").1.send_chunk(&(list_json(42, false, &[draining]) + "\n"));
    // Sent to both in one turn: on the old stream it is queued behind the table that the peer does not read.
    other.next_line_containing("out=s-7-");
    let mut new = cluster.proxy(1);
    new.next_line_containing("whole=1");
    let received = old.read_to_end();
    assert!(
        received.starts_with("push") && !received.contains("out=s-7-"),
        "{} bytes arrived, expected a part of the table without the later order",
        received.len()
    );
}

#[test]
fn late_introduction_on_an_older_connection_does_not_replace_the_stream() {
    let cluster = TestCluster::new(64);
    // A connection that does not join within 1 s is rejected as late. On a machine that busy the test tries again.
    for _ in 0..20 {
        let mut old = cluster.peer();
        old.send_raw("hello node=7 locality=a w=21.5");
        let mut new = cluster.proxy(7);
        new.next_line_containing("whole=1");
        old.send_raw(" cold=1\r\n");
        match old.next_line() {
            Some(late) if late.starts_with("error why=late") => continue,
            end => assert_eq!(end, None, "the older connection must end"),
        }
        new.send_line("probe");
        new.next_line_containing("alive");
        return;
    }
    panic!("the machine is too busy for two lines within a second");
}

#[test]
fn connection_evicted_while_joining_ends_so_that_the_limit_holds() {
    // With 28 descriptors, the limit is 14 open connections.
    for _ in 0..20 {
        let program = ManagerProcess::start("evicted", &config(unreachable_discovery(), 28));
        let mut joined: Vec<Peer> =
            (0..13).map(|number| Peer::connect_as_proxy(program.address, number)).collect();
        joined.iter_mut().for_each(|proxy| _ = proxy.next_line_containing("whole=1"));
        let mut evicted = Peer::connect(program.address);
        program.wait_for_connection_count(14);
        program.signal("STOP");
        let mut newcomer = Peer::connect(program.address);
        newcomer.send_line("hello node=14 locality=a w=2 cold=1");
        evicted.send_line("hello node=13 locality=a w=2 cold=1");
        program.signal("CONT");
        newcomer.next_line_containing("whole=1");
        match evicted.next_line() {
            Some(late) if late.starts_with("error why=late") => continue,
            end => assert_eq!(
                end, None,
                "the evicted connection must end, as its descriptor belongs to another one"
            ),
        }
        program.wait_for_connection_count(14);
        return;
    }
    panic!("the machine is too busy for two lines within a second");
}

#[test]
fn burst_of_probes_is_answered_in_full_and_does_not_displace_orders() {
    let cluster = TestCluster::new(64);
    let mut proxy = cluster.proxy(1);
    proxy.next_line_containing("whole=1");
    proxy.send_raw(&"probe\r\n".repeat(500));
    for index in 0..500 {
        assert_eq!(proxy.next_line().as_deref(), Some("alive"), "answer {index}");
    }
    cluster.accept_watch("200 OK").1.send_chunk(&(list_json(42, false, &[entry("s-2", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-2");
}

#[test]
fn watch_that_drips_bytes_without_ending_a_line_is_reconnected() {
    let cluster = TestCluster::new(64);
    let (_, mut watch) = cluster.accept_watch("200 OK");
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let dripping = thread::spawn(move || {
        // Sends single bytes of a line that never ends, until the manager closes the connection.
        while matches!(stopped.try_recv(), Err(std::sync::mpsc::TryRecvError::Empty)) {
            if watch.try_send_raw("1\r\n{\r\n").is_err() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    });
    let request = next_watch(&cluster.discovery);
    if request.is_none() {
        drop(stop);
    }
    assert!(request.is_some_and(|request| request.contains("index=42")), "the manager did not reconnect");
    assert!(dripping.join().unwrap(), "the manager did not close the dripping watch");
}

/// The request of the next watch, if one arrives in time.
fn next_watch(discovery: &TcpListener) -> Option<String> {
    discovery.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        match discovery.accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(false).unwrap();
                return Peer::new(socket).next_line();
            }
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    None
}

#[test]
fn older_list_restores_no_worker_until_discovery_restarts_its_versions() {
    let cluster = TestCluster::new(64);
    let mut proxy = AnsweringProxy::connect(cluster.manager, 1);
    proxy.next_line_containing("whole=1");
    let (_, mut watch) = cluster.accept_watch("200 OK");
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-1");
    drop(watch);
    // A discovery server that is behind sends its full list, then the changes that reach it.
    let (request, mut watch) = cluster.accept_watch("200 OK");
    assert!(request.contains("index=42"), "{request}");
    let full = list_json(41, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready")));
    watch.send_chunk(&(full.clone() + "\n"));
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    watch.send_chunk(&(list_json(43, false, &[entry("s-2", "draining")]) + "\n"));
    let message = proxy.next_line_containing("out=s-2");
    assert!(!message.contains("s-1"), "{message}");
    drop(watch);
    // Discovery that restarted its versions stays behind: after 6 s its list is accepted, whatever its version.
    let (request, mut watch) = cluster.accept_watch("200 OK");
    assert!(request.contains("index=43"), "{request}");
    watch.send_chunk(&(list_json(1, true, &[]) + "\n"));
    let (request, mut watch) = loop {
        if watch.try_send_raw("1\r\n\n\r\n").is_err() {
            break accept_watch(&cluster.discovery, "200 OK");
        }
        thread::sleep(Duration::from_millis(500));
    };
    assert!(!request.contains("index"), "the request must be for the full list: {request}");
    watch.send_chunk(&(list_json(2, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready"))) + "\n"));
    assert!(proxy.next_line_containing("back=").contains("s-1"));
}

#[test]
fn closing_the_log_pipe_does_not_end_the_program() {
    let mut program = ManagerProcess::start("log", &config(unreachable_discovery(), 64));
    let mut proxy = Peer::connect_as_proxy(program.address, 1);
    proxy.next_line_containing("whole=1");
    drop(program.log.take());
    // Each of these writes to the log at once.
    for _ in 0..3 {
        program.signal("HUP");
        Peer::connect_as_proxy(program.address, 2).next_line_containing("whole=1");
    }
    proxy.send_line("probe");
    proxy.next_line_containing("alive");
    assert!(program.child.try_wait().unwrap().is_none(), "the program ended");
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn restart_waits_until_its_predecessor_frees_the_address() {
    let old = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = old.local_addr().unwrap();
    let path = std::env::temp_dir().join(format!("juniperrail-again-{}.json", std::process::id()));
    std::fs::write(&path, config(unreachable_discovery(), 64)).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
    program.env_clear().env("PROXY_CONFIG", &path).env("PROXY_LISTEN", address.to_string());
    program.env("RUST_LOG", "debug").stderr(Stdio::piped());
    let mut child = program.spawn().unwrap();
    let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut log_text = String::new();
    while !log_text.contains(&format!("{address} is in use")) {
        let read = std::io::BufRead::read_line(&mut log, &mut log_text).unwrap();
        assert!(read > 0, "the program ended: {log_text}");
    }
    drop(old);
    assert_eq!(juniperrail_standins::address_from_log(&mut log), address);
    Peer::connect_as_proxy(address, 1).next_line_containing("whole=1");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn durations_out_of_range_are_a_one_line_error() {
    let path = std::env::temp_dir().join(format!("juniperrail-spans-{}.json", std::process::id()));
    let valid_config = config(unreachable_discovery(), 64);
    for (valid, invalid, expected) in [
        (r#""tick-ms":1"#, r#""tick-ms":1e300"#, "tick-ms"),
        (r#""dial-timeout-ms":250"#, r#""dial-timeout-ms":1e25"#, "dial-timeout-ms"),
        (r#""name":"lookup","on-time-ms":500"#, r#""name":"lookup","on-time-ms":-5"#, "latency objective"),
    ] {
        assert!(valid_config.contains(valid), "{valid}");
        std::fs::write(&path, valid_config.replace(valid, invalid)).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        program.env_clear().env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = program.spawn().unwrap();
        let mut output = String::new();
        let log = child.stderr.take().unwrap();
        let mut log = std::io::BufReader::new(log);
        std::io::BufRead::read_line(&mut log, &mut output).unwrap();
        // A program that starts serving instead would never end.
        if !output.starts_with("juniperrail: ") {
            child.kill().unwrap();
        }
        log.read_to_string(&mut output).unwrap();
        let code = child.wait().unwrap().code();
        assert!(output.starts_with("juniperrail: ") && output.contains(expected), "{expected}: {output}");
        assert_eq!((output.lines().count(), code), (1, Some(1)), "{output}");
    }
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn all_proxies_can_connect_while_no_connection_is_accepted() {
    let backlog_limit: usize =
        std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap().trim().parse().unwrap();
    // As many as the system allows to wait, but more than the usual backlog.
    let count = 1300.min(backlog_limit);
    let settings = SETTINGS.replace("\"proxy-count\":20", &format!("\"proxy-count\":{count}"));
    let config = config(unreachable_discovery(), 4096).replace(SETTINGS, &settings);
    let program = ManagerProcess::start("backlog", &config);
    program.signal("STOP");
    let address = program.address;
    let connecting = (0..4).map(|part| {
        thread::spawn(move || {
            let connect = |_| TcpStream::connect_timeout(&address, Duration::from_secs(20));
            (part..count).step_by(4).map(connect).collect::<Result<Vec<TcpStream>, _>>()
        })
    });
    let connecting: Vec<_> = connecting.collect();
    let waiting: Vec<_> = connecting.into_iter().map(|part| part.join().unwrap()).collect();
    program.signal("CONT");
    let waiting: Result<Vec<_>, _> = waiting.into_iter().collect();
    let waiting: Vec<TcpStream> =
        waiting.expect("a handshake did not complete").into_iter().flatten().collect();
    assert_eq!(waiting.len(), count);
}

#[test]
fn response_whose_head_never_ends_is_abandoned_and_its_connection_closed() {
    let cluster = TestCluster::new(64);
    let mut watch = Peer::new(cluster.discovery.accept().unwrap().0);
    assert!(watch.next_line().is_some_and(|request| request.starts_with("GET /v1/servers?stream=1")));
    watch.send_raw("HTTP/1.1 200 OK\r\nX-Never: a");
    assert!(next_watch(&cluster.discovery).is_some(), "the manager did not reconnect");
    // The first connection is closed, so that sending on it fails.
    let deadline = Instant::now() + Duration::from_secs(20);
    while watch.try_send_raw("a").is_ok() {
        assert!(Instant::now() < deadline, "the connection stays open");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn simultaneous_and_repeated_signals_end_the_program_with_success() {
    let mut program = ManagerProcess::start("signals", &config(unreachable_discovery(), 64));
    let mut proxy = Peer::connect_as_proxy(program.address, 1);
    proxy.next_line_containing("whole=1");
    program.signal("STOP");
    for signal in ["HUP", "TERM", "HUP", "TERM", "CONT"] {
        program.signal(signal);
    }
    assert!(program.child.wait().unwrap().success());
    proxy.read_to_end();
}

#[test]
fn restart_during_a_write_cuts_one_line_and_the_successor_serves_at_once() {
    let mut old = ManagerProcess::start("half", &large_table_config(unreachable_discovery()));
    let address = old.address;
    let mut slow = Peer::connect_with_small_buffer(address);
    slow.send_line("hello node=1 locality=a w=2 cold=1");
    let mut other = Peer::connect_as_proxy(address, 2);
    other.next_line_containing("whole=1");
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success(), "a peer that does not read does not delay the end");
    let successor = ManagerProcess::start_with(
        "half-next",
        &large_table_config(unreachable_discovery()),
        &[("PROXY_LISTEN", &address.to_string())],
    );
    assert_eq!(successor.address, address);
    // The part of the table that arrived ends within a line, so a proxy cannot mistake it for a complete message.
    let partial_table = slow.read_to_end();
    assert!(
        partial_table.starts_with("push") && !partial_table.ends_with("\r\n"),
        "{} bytes arrived",
        partial_table.len()
    );
    let table = Peer::connect_as_proxy(address, 1).next_line_containing("whole=1");
    assert!(table.contains("ticket=1"), "the successor must start without its predecessor's marks");
}

#[test]
fn stream_that_ended_before_its_introduction_was_read_does_not_affect_the_next() {
    let program = ManagerProcess::start("ended", &config(unreachable_discovery(), 64));
    program.signal("STOP");
    for _ in 0..8 {
        drop(Peer::connect_as_proxy(program.address, 7));
    }
    let mut last = Peer::connect_as_proxy(program.address, 7);
    program.signal("CONT");
    last.next_line_containing("whole=1");
    program.wait_for_connection_count(1);
    last.send_line("probe");
    last.next_line_containing("alive");
}

#[test]
fn proxy_that_closes_its_sending_half_has_left() {
    let cluster = TestCluster::new(64);
    let mut half_closed = cluster.proxy(1);
    let mark = half_closed.next_line_containing("ticket=").split("ticket=").nth(1).unwrap().to_string();
    half_closed.send_line(&format!("ack node=1 nonce={mark} latency=1.0"));
    half_closed.shutdown_write();
    half_closed.read_to_end();
    let mut again = cluster.proxy(1);
    again.next_line_containing("whole=1");
    again.assert_alive();
}

#[test]
fn every_proxy_reconnects_amid_a_flood_of_unidentified_connections() {
    let program = ManagerProcess::start("flood", &config(unreachable_discovery(), 64));
    program.signal("STOP");
    // More connections than the limit, all of them before any proxy.
    let earlier_connections: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(program.address).unwrap()).collect();
    let mut proxies: Vec<Peer> =
        (0..20).map(|number| Peer::connect_as_proxy(program.address, number)).collect();
    let later_connections: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(program.address).unwrap()).collect();
    program.signal("CONT");
    for proxy in &mut proxies {
        proxy.next_line_containing("whole=1");
    }
    drop((earlier_connections, later_connections));
}

#[test]
fn drain_reaches_proxies_while_collectors_flood() {
    let cluster = TestCluster::new(64);
    let mut proxy = AnsweringProxy::connect(cluster.manager, 1);
    proxy.next_line_containing("whole=1");
    let (_, mut watch) = cluster.accept_watch("200 OK");
    let stopped = Arc::new(AtomicBool::new(false));
    let floods: Vec<_> = (0..4)
        .map(|_| {
            let (mut collector, stopped) = (cluster.peer(), stopped.clone());
            thread::spawn(move || {
                collector.send_line("agent locality=a");
                let report = "outcomes locality=a endpoint=s-3 total=9 errors=0 rtt=40 interval=1000\r\n"
                    .repeat(REPORTS_PER_WRITE);
                let mut sent_reports = 0;
                while !stopped.load(Ordering::Relaxed) && collector.try_send_raw(&report).is_ok() {
                    sent_reports += REPORTS_PER_WRITE;
                }
                sent_reports
            })
        })
        .collect();
    for (version, worker) in [(42, "s-1"), (43, "s-2")] {
        watch.send_chunk(&(list_json(version, false, &[entry(worker, "draining")]) + "\n"));
        proxy.next_line_containing(&format!("out={worker}"));
    }
    stopped.store(true, Ordering::Relaxed);
    let sent_reports: usize = floods.into_iter().map(|flood| flood.join().unwrap()).sum();
    assert!(sent_reports > INBOX_CAPACITY, "{sent_reports} reports are fewer than the queue holds");
}

#[test]
fn reload_without_a_file_keeps_the_configuration() {
    let mut program = ManagerProcess::start("gone", &config(unreachable_discovery(), 64));
    let mut proxy = Peer::connect_as_proxy(program.address, 1);
    proxy.next_line_containing("whole=1");
    let json = std::fs::read_to_string(&program.path).unwrap();
    std::fs::remove_file(&program.path).unwrap();
    program.signal("HUP");
    program.wait_for_log_line("the configuration stays as it was");
    std::fs::write(&program.path, json).unwrap();
    program.signal("HUP");
    program.wait_for_log_line("the configuration was read again");
    proxy.send_line("probe");
    proxy.next_line_containing("alive");
}

#[test]
fn full_list_with_an_invalid_entry_still_shows_which_workers_are_gone() {
    let cluster = TestCluster::new(64);
    let mut proxy = AnsweringProxy::connect(cluster.manager, 1);
    proxy.next_line_containing("whole=1");
    let (_, mut watch) = cluster.accept_watch("200 OK");
    let broken = r#"{"instanceId":"s-3","lifecycle":7}"#.to_string();
    watch.send_chunk(&(list_json(42, true, &[entry("s-2", "ready"), broken]) + "\n"));
    let message = proxy.next_line_containing("out=s-1");
    assert!(!message.contains("s-3"), "the known entry of s-3 must stay: {message}");
    // Later changes do not name workers that were gone before.
    watch.send_chunk(&(list_json(43, false, &[entry("s-3", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-3");
}
