//! Races between two events. Each test forces the order that could fail: a peer delays a part of what it sends, or the
//! process is stopped while both events arrive. No test depends on timing to produce that order.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{accept_watch, config, entry, InProcessManager, ManagerProcess, HEARTBEAT_CHUNK, WAIT_TIMEOUT};
use juniperrail_standins::{instance_json as entry_at, list_json, AnsweringProxy, Peer, SETTINGS};

/// Capacity of the queue to the manager's decider, as in the crate. Once it is full, peers have to wait.
const INBOX_CAPACITY: usize = 4096;

/// Reports that a collector sends in one write.
const REPORTS_PER_WRITE: usize = 500;

/// Attempts at a test in which a busy machine can make a connection late to join.
const MAX_ATTEMPTS: usize = 20;

/// An address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:1";

fn unreachable_discovery() -> SocketAddr {
    UNREACHABLE.parse().unwrap()
}

/// A configuration with a table of about 300 kB, far more than the buffers of a connection from
/// [`Peer::connect_with_small_buffer`] hold, and with short time-outs for silent proxies.
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

/// A write to a proxy that does not read blocks; the time-out of the silent stream must end the connection despite it.
#[test]
fn silent_stream_frees_its_descriptor_even_during_a_blocked_write() {
    let manager = ManagerProcess::start("silent", &large_table_config(unreachable_discovery()));
    let mut proxy = Peer::connect_with_small_buffer(manager.address);
    proxy.send_line("hello node=1 locality=a w=2 cold=1");
    manager.wait_for_connection_count(1);
    // The proxy never reads or acknowledges. Once a report period (200 ms) and the transit time (100 ms) have passed,
    // it counts as left, and after the same time again the manager closes its connection.
    manager.wait_for_connection_count(0);
    drop(proxy);
}

/// Orders that are still queued on the old stream must not reach the proxy after it has joined over a new one.
#[test]
fn replaced_stream_ends_at_once_and_drops_its_queue() {
    let manager = InProcessManager::with_config(large_table_config);
    let name = "x".repeat(250);
    let mut old_stream = Peer::connect_with_small_buffer(manager.address);
    old_stream.send_line("hello node=1 locality=a w=2 cold=1");
    let mut other_proxy = manager.proxy(2);
    other_proxy.next_line_containing("whole=1");
    let draining = entry_at(&format!("s-7-{name}"), "a", "127.0.0.1:9", "draining");
    manager.accept_watch("200 OK").1.send_chunk(&(list_json(42, false, &[draining]) + "\n"));
    // The order is sent to both proxies in one turn. On the old stream it is queued behind the table, which the peer
    // does not read.
    other_proxy.next_line_containing("out=s-7-");
    let mut new_stream = manager.proxy(1);
    new_stream.next_line_containing("whole=1");
    let received = old_stream.read_to_end();
    assert!(
        received.starts_with("push") && !received.contains("out=s-7-"),
        "expected a part of the table without the later order, got {} bytes",
        received.len()
    );
}

/// The introduction on an older connection may arrive after that on a newer one; the newer one must stay the stream.
#[test]
fn late_introduction_on_an_older_connection_does_not_replace_the_stream() {
    let manager = InProcessManager::new(64);
    // A connection that does not join within 1 s is rejected as late. This can happen on a busy machine; the test then
    // starts again.
    for _ in 0..MAX_ATTEMPTS {
        let mut older_connection = manager.peer();
        older_connection.send_raw("hello node=7 locality=a w=21.5");
        let mut newer_connection = manager.proxy(7);
        newer_connection.next_line_containing("whole=1");
        older_connection.send_raw(" cold=1\r\n");
        match older_connection.next_line() {
            Some(error) if error.starts_with("error why=late") => continue,
            end => assert_eq!(end, None, "the older connection must end"),
        }
        newer_connection.send_line("probe");
        newer_connection.next_line_containing("alive");
        return;
    }
    panic!("in each of {MAX_ATTEMPTS} attempts the machine was too busy to join within 1 s");
}

/// At the limit, a new connection evicts the longest idle one that has not joined, whose introduction may arrive at the
/// same moment. Both wait here while the process is stopped.
#[test]
fn connection_evicted_while_joining_ends_so_that_the_limit_holds() {
    // With 28 descriptors, the limit is 14 open connections.
    for _ in 0..MAX_ATTEMPTS {
        let manager = ManagerProcess::start("evicted", &config(unreachable_discovery(), 28));
        let mut joined: Vec<Peer> =
            (0..13).map(|number| Peer::connect_as_proxy(manager.address, number)).collect();
        joined.iter_mut().for_each(|proxy| _ = proxy.next_line_containing("whole=1"));
        let mut evicted = Peer::connect(manager.address);
        manager.wait_for_connection_count(14);
        manager.signal("STOP");
        let mut new_proxy = Peer::connect(manager.address);
        new_proxy.send_line("hello node=14 locality=a w=2 cold=1");
        evicted.send_line("hello node=13 locality=a w=2 cold=1");
        manager.signal("CONT");
        new_proxy.next_line_containing("whole=1");
        match evicted.next_line() {
            Some(error) if error.starts_with("error why=late") => continue,
            end => assert_eq!(
                end, None,
                "the evicted connection must end, because its descriptor is counted for another one"
            ),
        }
        manager.wait_for_connection_count(14);
        return;
    }
    panic!("in each of {MAX_ATTEMPTS} attempts the machine was too busy to join within 1 s");
}

#[test]
fn burst_of_probes_is_answered_in_full_and_does_not_displace_orders() {
    let manager = InProcessManager::new(64);
    let mut proxy = manager.proxy(1);
    proxy.next_line_containing("whole=1");
    proxy.send_raw(&"probe\r\n".repeat(500));
    for index in 0..500 {
        assert_eq!(proxy.next_line().as_deref(), Some("alive"), "response {index}");
    }
    manager.accept_watch("200 OK").1.send_chunk(&(list_json(42, false, &[entry("s-2", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-2");
}

/// Single bytes keep a connection active, but only complete lines may count as activity of the watch.
#[test]
fn watch_that_drips_bytes_without_ending_a_line_is_reconnected() {
    let manager = InProcessManager::new(64);
    let (_, mut watch) = manager.accept_watch("200 OK");
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let sender = thread::spawn(move || {
        // Sends single bytes of a line that never ends, until the manager closes the connection.
        while matches!(stopped.try_recv(), Err(std::sync::mpsc::TryRecvError::Empty)) {
            if watch.try_send_raw("1\r\n{\r\n").is_err() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    });
    let request = next_watch(&manager.discovery);
    if request.is_none() {
        drop(stop);
    }
    assert!(request.is_some_and(|request| request.contains("index=42")), "the manager did not reconnect");
    assert!(sender.join().unwrap(), "the manager did not close the watch");
}

/// The request line of the next watch, or `None` if there is no watch within [`WAIT_TIMEOUT`].
fn next_watch(discovery: &TcpListener) -> Option<String> {
    discovery.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
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

/// A list of a discovery server that is behind would bring back workers that have left since.
#[test]
fn older_list_restores_no_worker_until_discovery_restarts_its_versions() {
    let manager = InProcessManager::new(64);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let (_, mut watch) = manager.accept_watch("200 OK");
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-1");
    drop(watch);
    // A discovery server that is behind sends its full list, then the changes as they reach it.
    let (request, mut watch) = manager.accept_watch("200 OK");
    assert!(request.contains("index=42"), "{request}");
    let full = list_json(41, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready")));
    watch.send_chunk(&(full.clone() + "\n"));
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    watch.send_chunk(&(list_json(43, false, &[entry("s-2", "draining")]) + "\n"));
    let message = proxy.next_line_containing("out=s-2");
    assert!(!message.contains("s-1"), "{message}");
    drop(watch);
    // A discovery server that restarted its version numbers stays behind: after 6 s its list is accepted, whatever its
    // version.
    let (request, mut watch) = manager.accept_watch("200 OK");
    assert!(request.contains("index=43"), "{request}");
    watch.send_chunk(&(list_json(1, true, &[]) + "\n"));
    let (request, mut watch) = loop {
        if watch.try_send_raw(HEARTBEAT_CHUNK).is_err() {
            break accept_watch(&manager.discovery, "200 OK");
        }
        thread::sleep(Duration::from_millis(500));
    };
    assert!(!request.contains("index"), "a request for the full list has no index: {request}");
    watch.send_chunk(&(list_json(2, true, &["s-1", "s-2", "s-3"].map(|id| entry(id, "ready"))) + "\n"));
    assert!(proxy.next_line_containing("back=").contains("s-1"));
}

/// Writing the log to a pipe whose reader is gone fails, and must not end the manager.
#[test]
fn closing_the_log_pipe_does_not_end_the_program() {
    let mut manager = ManagerProcess::start("log", &config(unreachable_discovery(), 64));
    let mut proxy = Peer::connect_as_proxy(manager.address, 1);
    proxy.next_line_containing("whole=1");
    drop(manager.log.take());
    // Each reload and each new stream makes the manager write to its log.
    for _ in 0..3 {
        manager.signal("HUP");
        Peer::connect_as_proxy(manager.address, 2).next_line_containing("whole=1");
    }
    proxy.send_line("probe");
    proxy.next_line_containing("alive");
    assert!(manager.child.try_wait().unwrap().is_none(), "the program ended");
    manager.signal("TERM");
    assert!(manager.child.wait().unwrap().success());
}

#[test]
fn restart_waits_until_its_predecessor_frees_the_address() {
    let predecessor = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = predecessor.local_addr().unwrap();
    let path = std::env::temp_dir().join(format!("juniperrail-again-{}.json", std::process::id()));
    std::fs::write(&path, config(unreachable_discovery(), 64)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
    command.env_clear().env("PROXY_CONFIG", &path).env("PROXY_LISTEN", address.to_string());
    command.env("RUST_LOG", "debug").stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut log = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut log_text = String::new();
    while !log_text.contains(&format!("{address} is in use")) {
        let read_bytes = std::io::BufRead::read_line(&mut log, &mut log_text).unwrap();
        assert!(read_bytes > 0, "the program ended: {log_text}");
    }
    drop(predecessor);
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
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        command.env_clear().env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut output = String::new();
        let log = child.stderr.take().unwrap();
        let mut log = std::io::BufReader::new(log);
        std::io::BufRead::read_line(&mut log, &mut output).unwrap();
        // A manager that serves despite the invalid value would never end by itself.
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
    // More than the usual backlog, if the system allows as many connections to wait.
    let count = 1300.min(backlog_limit);
    let settings = SETTINGS.replace("\"proxy-count\":20", &format!("\"proxy-count\":{count}"));
    let config = config(unreachable_discovery(), 4096).replace(SETTINGS, &settings);
    let manager = ManagerProcess::start("backlog", &config);
    manager.signal("STOP");
    let address = manager.address;
    let threads = (0..4).map(|part| {
        thread::spawn(move || {
            let connect = |_| TcpStream::connect_timeout(&address, WAIT_TIMEOUT);
            (part..count).step_by(4).map(connect).collect::<Result<Vec<TcpStream>, _>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    let results: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    manager.signal("CONT");
    let connections: Result<Vec<_>, _> = results.into_iter().collect();
    let connections: Vec<TcpStream> =
        connections.expect("a handshake did not complete").into_iter().flatten().collect();
    assert_eq!(connections.len(), count);
}

#[test]
fn response_whose_head_never_ends_is_abandoned_and_its_connection_closed() {
    let manager = InProcessManager::new(64);
    let mut watch = Peer::new(manager.discovery.accept().unwrap().0);
    assert!(watch.next_line().is_some_and(|request| request.starts_with("GET /v1/servers?stream=1")));
    watch.send_raw("HTTP/1.1 200 OK\r\nX-Never: a");
    assert!(next_watch(&manager.discovery).is_some(), "the manager did not reconnect");
    // Sending on the first connection fails once the manager has closed it.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while watch.try_send_raw("a").is_ok() {
        assert!(Instant::now() < deadline, "the manager did not close the connection");
        thread::sleep(Duration::from_millis(20));
    }
}

/// All signals are pending when the process continues, and SIGHUP must not keep SIGTERM from ending it.
#[test]
fn simultaneous_and_repeated_signals_end_the_program_with_success() {
    let mut manager = ManagerProcess::start("signals", &config(unreachable_discovery(), 64));
    let mut proxy = Peer::connect_as_proxy(manager.address, 1);
    proxy.next_line_containing("whole=1");
    manager.signal("STOP");
    for signal in ["HUP", "TERM", "HUP", "TERM", "CONT"] {
        manager.signal(signal);
    }
    assert!(manager.child.wait().unwrap().success());
    proxy.read_to_end();
}

#[test]
fn restart_during_a_write_cuts_one_line_and_the_successor_serves_at_once() {
    let mut predecessor = ManagerProcess::start("half", &large_table_config(unreachable_discovery()));
    let address = predecessor.address;
    let mut slow_proxy = Peer::connect_with_small_buffer(address);
    slow_proxy.send_line("hello node=1 locality=a w=2 cold=1");
    let mut other_proxy = Peer::connect_as_proxy(address, 2);
    other_proxy.next_line_containing("whole=1");
    predecessor.signal("TERM");
    assert!(
        predecessor.child.wait().unwrap().success(),
        "a peer that does not read must not delay the shutdown"
    );
    let successor = ManagerProcess::start_with(
        "half-next",
        &large_table_config(unreachable_discovery()),
        &[("PROXY_LISTEN", &address.to_string())],
    );
    assert_eq!(successor.address, address);
    // The part of the table that arrived ends within a line, so a proxy cannot mistake it for a complete message.
    let partial_table = slow_proxy.read_to_end();
    assert!(
        partial_table.starts_with("push") && !partial_table.ends_with("\r\n"),
        "{} bytes arrived, expected a part of the table without its end of line",
        partial_table.len()
    );
    let table = Peer::connect_as_proxy(address, 1).next_line_containing("whole=1");
    assert!(table.contains("ticket=1"), "the successor must start without its predecessor's marks");
}

/// Earlier connections of a proxy end before their introductions are read; their ends must not remove its last stream.
#[test]
fn stream_that_ended_before_its_introduction_was_read_does_not_affect_the_next() {
    let manager = ManagerProcess::start("ended", &config(unreachable_discovery(), 64));
    manager.signal("STOP");
    for _ in 0..8 {
        drop(Peer::connect_as_proxy(manager.address, 7));
    }
    let mut last_stream = Peer::connect_as_proxy(manager.address, 7);
    manager.signal("CONT");
    last_stream.next_line_containing("whole=1");
    manager.wait_for_connection_count(1);
    last_stream.send_line("probe");
    last_stream.next_line_containing("alive");
}

#[test]
fn proxy_that_closes_its_sending_half_has_left() {
    let manager = InProcessManager::new(64);
    let mut half_closed = manager.proxy(1);
    let mark = half_closed.next_line_containing("ticket=").split("ticket=").nth(1).unwrap().to_string();
    half_closed.send_line(&format!("ack node=1 nonce={mark} latency=1.0"));
    half_closed.shutdown_write();
    half_closed.read_to_end();
    let mut rejoined = manager.proxy(1);
    rejoined.next_line_containing("whole=1");
    rejoined.assert_alive();
}

#[test]
fn every_proxy_reconnects_amid_a_flood_of_unidentified_connections() {
    let manager = ManagerProcess::start("flood", &config(unreachable_discovery(), 64));
    manager.signal("STOP");
    // More connections than the limit wait to be accepted before any proxy.
    let earlier_connections: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(manager.address).unwrap()).collect();
    let mut proxies: Vec<Peer> =
        (0..20).map(|number| Peer::connect_as_proxy(manager.address, number)).collect();
    let later_connections: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(manager.address).unwrap()).collect();
    manager.signal("CONT");
    for proxy in &mut proxies {
        proxy.next_line_containing("whole=1");
    }
    drop((earlier_connections, later_connections));
}

/// A configuration with an operation that stays within the proxy's zone, `order`. Of the workers that the manager
/// remembers, those of zone a, the proxies' zone, drain.
fn draining_zone_config(discovery: SocketAddr) -> String {
    let settings = SETTINGS.replace("\"domain\":{", "\"domain\":{\"class-own-zone\":[false,true],");
    let entries = [entry("s-1", "draining"), entry_at("t-1", "b", "127.0.0.1:9", "ready")];
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":64}},
        "known":{},"settings":{settings}}}"#,
        list_json(41, true, &entries)
    )
}

/// The next orders for the operation `order` that contain `part`.
fn next_orders_containing(proxy: &mut AnsweringProxy, part: &str) -> String {
    loop {
        let orders = proxy.next_line_containing("classes=order");
        if orders.contains(part) {
            return orders;
        }
    }
}

/// A restarted manager binds a proxy while the workers of its zone are being replaced, so that one table has no usable
/// line. The proxy counted as bound, and the successors never reached it.
#[test]
fn proxy_that_joins_between_its_zones_drain_and_the_successors_gets_them_for_every_operation() {
    let manager = InProcessManager::with_config(draining_zone_config);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    let bound = proxy.next_line_containing("whole=1");
    assert!(bound.contains("classes=lookup") && bound.contains("t-1:"), "{bound}");
    let (_, mut watch) = manager.accept_watch("200 OK");
    let changes = [entry("s-1", "gone"), entry("s-2", "ready")];
    watch.send_chunk(&(list_json(42, false, &changes) + "\n"));
    next_orders_containing(&mut proxy, "s-2:");
    watch.send_chunk(&(list_json(43, false, &[entry("s-3", "ready"), entry("s-2", "draining")]) + "\n"));
    let orders = next_orders_containing(&mut proxy, "s-3:");
    // An exclusion that is overdue by then is in the same message as its replacement.
    if !orders.contains("out=s-2") {
        proxy.next_line_containing("out=s-2");
    }
}

/// A proxy joins after the exclusions of its zone's workers were sent, with an old table that has them. It was not told of
/// the drain, since that table was left out of its bind.
#[test]
fn proxy_that_joins_after_its_zone_drained_gets_an_empty_table_in_place_of_its_old_one() {
    let manager = InProcessManager::with_config(draining_zone_config);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    let orders = next_orders_containing(&mut proxy, "whole=1");
    assert!(!orders.contains("lines="), "{orders}");
    let (_, mut watch) = manager.accept_watch("200 OK");
    watch.send_chunk(&(list_json(42, false, &[entry("s-2", "ready")]) + "\n"));
    next_orders_containing(&mut proxy, "s-2:");
}

#[test]
fn drain_reaches_proxies_while_collectors_flood() {
    let manager = InProcessManager::new(64);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let (_, mut watch) = manager.accept_watch("200 OK");
    let stopped = Arc::new(AtomicBool::new(false));
    let floods: Vec<_> = (0..4)
        .map(|_| {
            let (mut collector, stopped) = (manager.peer(), stopped.clone());
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
    assert!(sent_reports > INBOX_CAPACITY, "{sent_reports} reports do not exceed the capacity of the queue");
}

#[test]
fn reload_without_a_file_keeps_the_configuration() {
    let mut manager = ManagerProcess::start("gone", &config(unreachable_discovery(), 64));
    let mut proxy = Peer::connect_as_proxy(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let json = std::fs::read_to_string(&manager.config_path).unwrap();
    std::fs::remove_file(&manager.config_path).unwrap();
    manager.signal("HUP");
    manager.wait_for_log_line("the configuration stays as it was");
    std::fs::write(&manager.config_path, json).unwrap();
    manager.signal("HUP");
    manager.wait_for_log_line("the configuration was read again");
    proxy.send_line("probe");
    proxy.next_line_containing("alive");
}

#[test]
fn full_list_with_an_invalid_entry_still_shows_which_workers_are_gone() {
    let manager = InProcessManager::new(64);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let (_, mut watch) = manager.accept_watch("200 OK");
    let invalid_entry = r#"{"instanceId":"s-3","lifecycle":7}"#.to_string();
    watch.send_chunk(&(list_json(42, true, &[entry("s-2", "ready"), invalid_entry]) + "\n"));
    let message = proxy.next_line_containing("out=s-1");
    assert!(!message.contains("s-3"), "the known entry of s-3 must stay: {message}");
    // A later message does not name s-1 again, which was gone before.
    watch.send_chunk(&(list_json(43, false, &[entry("s-3", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-3");
}
