//! End-to-end tests on real sockets: a manager, with stand-ins for discovery, proxies and collectors.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use common::{accept_watch, config, entry, InProcessManager};
use juniperrail_standins::{address_from_log, list_json, Peer, SETTINGS};

#[test]
fn joining_proxy_gets_the_full_table_of_the_current_list() {
    let manager = InProcessManager::new(64);
    manager.peer().assert_alive();
    let table = manager.proxy(7).next_line_containing("whole=1");
    assert!(table.starts_with("push ") && table.contains("lines=s-1:1,s-2:1,s-3:1"), "{table}");
    assert!(table.contains("level=1000000 retry=1") && table.contains("ticket="), "{table}");
}

#[test]
fn messages_may_arrive_in_pieces_or_several_at_once() {
    let manager = InProcessManager::new(64);
    let mut peer = manager.peer();
    for piece in ["pro", "be\r", "\nprobe\r\nhello node=3 loc", "ality=b w=1 cold=0\r\npro", "be\r\n"] {
        peer.send_raw(piece);
    }
    assert_eq!([peer.next_line(), peer.next_line()].map(Option::unwrap), ["alive", "alive"]);
    let both_lines = [peer.next_line().unwrap(), peer.next_line().unwrap()].concat();
    assert!(both_lines.contains("alive") && both_lines.contains("whole=1"), "{both_lines}");
}

#[test]
fn new_stream_of_a_proxy_replaces_the_old_one() {
    let manager = InProcessManager::new(64);
    let mut old_stream = manager.proxy(7);
    old_stream.next_line_containing("whole=1");
    let mut new_stream = manager.proxy(7);
    new_stream.next_line_containing("whole=1");
    assert_eq!(old_stream.next_line(), None, "the old stream must end");
    new_stream.assert_alive();
    manager.accept_watch("200 OK").1.send_chunk(&(list_json(42, false, &[entry("s-2", "draining")]) + "\n"));
    new_stream.next_line_containing("out=s-2");
}

#[test]
fn invalid_message_is_skipped_and_the_connection_kept() {
    let manager = InProcessManager::new(64);
    let (mut proxy, mut collector) = (manager.proxy(1), manager.peer());
    proxy.next_line_containing("whole=1");
    collector.send_line("agent locality=a");
    for invalid in [
        "ack node=1 nonce=70000 latency=1",
        "ack node=1 nonce=1",
        "ack node=1 nonce=999 latency=1",
        "ack node=2 nonce=1 latency=1",
        "demand node=1 route=lookup total=-3 errors=0 interval=1000",
        "demand node=1 route=lookup total=NaN errors=0 interval=1000",
        "demand node=1 route=unheard-of total=1 errors=0 interval=1000",
        "outcomes locality=a",
        "outcomes locality=a endpoint=s-1 total=x errors=0 rtt=1 interval=1000",
        "outcomes locality=a endpoint=never-listed total=1 errors=0 rtt=1 interval=1000",
        "outcomes locality=nowhere endpoint=s-1 total=1 errors=0 rtt=1 interval=1000",
        "hello node=2 locality=a w=1 cold=1",
    ] {
        proxy.send_line(invalid);
        collector.send_line(invalid);
    }
    proxy.assert_alive();
    collector.assert_alive();
}

#[test]
fn bytes_that_are_not_a_message_close_only_their_connection() {
    let manager = InProcessManager::new(64);
    let mut unaffected = manager.proxy(1);
    unaffected.next_line_containing("whole=1");
    // All but the first two lack the end of the line.
    for (number, bad_bytes) in
        (2..).zip(["shout\r\n", "\r\n", "GET / HTTP/1.1", "\u{16}\u{3}\u{1}", "ack \0"])
    {
        let mut proxy = manager.proxy(number);
        proxy.next_line_containing("whole=1");
        proxy.send_raw(bad_bytes);
        while proxy.next_line().is_some() {}
        manager.proxy(number).next_line_containing("whole=1");
        let mut collector = manager.peer();
        collector.send_line("agent locality=b");
        collector.assert_alive();
        collector.send_raw(bad_bytes);
        assert_eq!(collector.next_line(), None, "{bad_bytes:?}");
    }
    drop(manager.proxy(9));
    unaffected.assert_alive();
}

#[test]
fn rejected_peers_get_an_error_and_see_their_connections_end() {
    let manager = InProcessManager::new(64);
    let mut proxy = manager.proxy(1);
    proxy.next_line_containing("whole=1");
    let endless_line = "x".repeat(100_000);
    for (first_bytes, reason) in [
        ("hello node=20 locality=a w=1 cold=1\r\n", "unreadable"),
        ("hello node=2 locality=nowhere w=1 cold=1\r\n", "unreadable"),
        ("hello node=x locality=a\r\n", "unreadable"),
        ("agent locality=nowhere\r\n", "unreadable"),
        ("ack node=1 nonce=1 latency=1\r\n", "unreadable"),
        ("push out=s-1\r\nand more", "unreadable"),
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "unreadable"),
        (&endless_line, "unreadable"),
        ("hello node=2 loca", "late"),
        ("", "late"),
    ] {
        let mut peer = manager.peer();
        peer.send_raw(first_bytes);
        assert_eq!(peer.next_line().as_deref(), Some(&*format!("error why={reason}")), "{first_bytes:.20}");
        assert_eq!(peer.next_line(), None, "{first_bytes:.20}");
    }
    let mut probing = manager.peer();
    probing.assert_alive();
    assert_eq!(
        probing.next_line().as_deref(),
        Some("error why=late"),
        "a probe does not count as an introduction"
    );
    proxy.assert_alive();
}

#[test]
fn silent_unidentified_connections_are_evicted_for_proxies() {
    let manager = InProcessManager::new(16);
    let mut proxy = manager.proxy(1);
    proxy.next_line_containing("whole=1");
    let mut unidentified: Vec<Peer> = (0..4).map(|_| manager.peer()).collect();
    let table = manager.proxy(2).next_line_containing("whole=1");
    assert!(table.contains("s-1"), "{table}");
    assert_eq!(unidentified[0].next_line(), None, "the longest idle one is evicted before its timeout");
    unidentified[3].assert_alive();
    proxy.assert_alive();
}

#[test]
fn silent_collectors_are_evicted_for_active_ones() {
    let manager = InProcessManager::new(64);
    let mut collectors: Vec<Peer> = (0..9).map(|_| manager.peer()).collect();
    for (index, collector) in collectors.iter_mut().enumerate() {
        collector.send_line("agent locality=a");
        collector.assert_alive();
        if index == 7 {
            break;
        }
    }
    collectors[0].assert_alive();
    collectors[8].send_line("agent locality=b");
    assert_eq!(
        collectors[1].next_line(),
        None,
        "the ninth collector evicts the longest idle one: the limit for two zones is eight"
    );
    collectors[0].assert_alive();
}

#[test]
fn running_out_of_descriptors_closes_unidentified_connections_but_no_proxy() {
    let path = std::env::temp_dir().join(format!("juniperrail-few-{}.json", std::process::id()));
    std::fs::write(&path, config("127.0.0.1:1".parse().unwrap(), 1024)).unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n 24; exec \"$0\"", env!("CARGO_BIN_EXE_juniperrail")]);
    let mut manager = command.env("PROXY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(manager.stderr.take().unwrap());
    let address = address_from_log(&mut log);
    let mut proxy = Peer::connect_as_proxy(address, 1);
    proxy.next_line_containing("whole=1");
    let unidentified: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(address).unwrap()).collect();
    Peer::connect_as_proxy(address, 2).next_line_containing("whole=1");
    proxy.assert_alive();
    manager.kill().unwrap();
    let mut log_text = String::new();
    log.read_to_string(&mut log_text).unwrap();
    assert!(log_text.contains("no connection can be accepted: Too many open files"), "{log_text}");
    drop(unidentified);
    manager.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn joined_proxies_and_the_watch_are_kept_with_fewer_descriptors_than_proxies() {
    let manager = InProcessManager::new(28);
    let (_, mut watch) = manager.accept_watch("200 OK");
    let mut proxies: Vec<Peer> = (0..20).map(|number| manager.proxy(number)).collect();
    let joined: Vec<bool> = proxies
        .iter_mut()
        .map(|proxy| std::iter::from_fn(|| proxy.next_line()).any(|line| line.contains("whole=1")))
        .collect();
    let joined_count = joined.iter().filter(|joined| **joined).count();
    assert!((4..20).contains(&joined_count), "{joined_count} of 20 proxies joined");
    watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    drop(watch);
    let (request, mut watch) = manager.accept_watch("200 OK");
    assert!(
        request.contains("index=42"),
        "the next watch gets a descriptor and resumes from version 42: {request}"
    );
    watch.send_chunk(&(list_json(43, false, &[entry("s-2", "draining")]) + "\n"));
    let connected = proxies.iter_mut().zip(joined).filter(|(_, joined)| *joined);
    connected.for_each(|(proxy, _)| _ = proxy.next_line_containing("out=s-2"));
}

#[test]
fn a_thousand_workers_and_zones_missing_from_the_settings_are_served() {
    let zone = |index: u32| format!("z{}", index % 12);
    let entries: Vec<String> = (0..1100)
        .map(|id| juniperrail_standins::instance_json(&format!("s-{id}"), &zone(id), "127.0.0.1:9", "ready"))
        .collect();
    let cached_list = list_json(41, true, &entries);
    let settings = SETTINGS
        .replace("\"n-instances\":1,", "\"n-instances\":1100,")
        .replace("\"pending-max\":5000", "\"pending-max\":50000");
    let manager = InProcessManager::with_config(|discovery| {
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "limits":{{"sockets":1024}},"known":{cached_list},"settings":{settings}}}"#
        )
    });
    let mut collectors: Vec<Peer> = (0..12).map(|_| manager.peer()).collect();
    for (index, collector) in (0..).zip(&mut collectors) {
        collector.send_line(&format!("agent locality={}", zone(index)));
        collector.assert_alive();
    }
    let mut proxies: Vec<Peer> = (0..20).map(|_| manager.peer()).collect();
    for (number, proxy) in (0..).zip(&mut proxies) {
        proxy.send_line(&format!("hello node={number} locality={} w=2 cold=1", zone(number)));
    }
    for proxy in &mut proxies {
        let table = proxy.next_line_containing("whole=1");
        let lines = table.split("lines=").nth(1).unwrap().split(' ').next().unwrap();
        let weight = |line: &str| line.split_once(':').and_then(|(_, weight)| weight.parse::<f64>().ok());
        assert!(lines.split(',').count() >= 16, "{table}");
        assert!(lines.split(',').all(|line| weight(line).is_some_and(|weight| weight > 0.0)), "{table}");
    }
    for peer in proxies.iter_mut().chain(&mut collectors) {
        peer.send_line("probe");
        peer.next_line_containing("alive");
    }
}

#[test]
fn hundreds_of_streams_at_once_are_all_accepted() {
    let manager = InProcessManager::new(1024);
    let mut proxies: Vec<Peer> = (0..400).map(|number| manager.proxy(number % 20)).collect();
    // Each new stream of a proxy ends the previous one: only the last twenty remain, and all of them are served.
    proxies[380..].iter_mut().for_each(|proxy| _ = proxy.next_line_containing("whole=1"));
    proxies[..380].iter_mut().for_each(|proxy| while proxy.next_line().is_some() {});
}

#[test]
fn watch_is_parsed_however_chunks_split_its_lines() {
    let manager = InProcessManager::new(64);
    let (request, mut watch) = manager.accept_watch("200 OK");
    assert_eq!(request, "GET /v1/servers?stream=1&index=41 HTTP/1.1");
    let mut proxy = manager.proxy(1);
    proxy.next_line_containing("whole=1");
    let invalid_entry = r#"{"instanceId":"s-3"}"#.to_string();
    let changes = list_json(42, false, &[invalid_entry, entry("s-1", "draining")]) + "\n";
    let (head, tail) = changes.split_at(25);
    watch.send_chunk("\n");
    watch.send_chunk(head);
    watch.send_chunk(&(tail.to_string() + "\n" + &list_json(43, false, &[entry("s-9", "ready")]) + "\n"));
    let message = proxy.next_line_containing("out=s-1");
    assert!(!message.contains("s-3"), "an entry with missing fields is skipped: {message}");
    let invalid_entry = r#"{"instanceId":"s-3"}"#.to_string();
    watch.send_chunk(&(list_json(44, true, &[entry("s-2", "draining"), invalid_entry]) + "\n"));
    let message = proxy.next_line_containing("out=s-2");
    assert!(
        !message.contains("s-3"),
        "a known worker with an invalid entry must not count as gone: {message}"
    );
    watch.send_chunk(&(list_json(45, true, &[entry("s-9", "ready")]) + "\n"));
    proxy.next_line_containing("out=s-3");
}

#[test]
fn broken_watch_reconnects_from_the_current_version() {
    let manager = InProcessManager::new(64);
    let (_, mut watch) = manager.accept_watch("200 OK");
    watch.send_chunk(&(list_json(42, false, &[]) + "\n"));
    drop(watch);
    let (request, mut watch) = manager.accept_watch("200 OK");
    assert!(request.contains("index=42"), "after the end of a watch: {request}");
    watch.send_chunk("{\"generation\":\n");
    let (request, watch) = manager.accept_watch("503 Service Unavailable");
    assert!(request.contains("index=42"), "after invalid JSON: {request}");
    let (request, silent_watch) = manager.accept_watch("200 OK");
    assert!(request.contains("index=42"), "after an error status: {request}");
    let (request, _) = manager.accept_watch("200 OK");
    assert!(request.contains("index=42"), "after silence: {request}");
    drop((watch, silent_watch));
}

#[test]
fn stopped_manager_closes_its_connections() {
    let mut manager = InProcessManager::new(64);
    let mut proxy = manager.proxy(1);
    proxy.next_line_containing("whole=1");
    drop(manager.stop.take());
    while proxy.next_line().is_some() {}
    // The listener may be closed later than the connections.
    let refused = (0..2000).any(|_| {
        thread::sleep(Duration::from_millis(10));
        TcpStream::connect(manager.address).is_err()
    });
    assert!(refused, "the listener was not closed");
}

#[test]
fn reload_moves_the_watch_and_keeps_all_streams() {
    let path = std::env::temp_dir().join(format!("juniperrail-reload-{}.json", std::process::id()));
    let discoveries: Vec<TcpListener> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> =
        discoveries.iter().map(|listener| listener.local_addr().unwrap()).collect();
    std::fs::write(&path, config(addresses[0], 64)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
    // The environment variable applies at the start; from the first reload on, the file has precedence.
    command.env("PROXY_CONFIG", &path).env("PROXY_DISCOVERY", addresses[0].to_string());
    let mut manager = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(manager.stderr.take().unwrap());
    let address = address_from_log(&mut log);
    let mut reload = |config: &str, expected: &str| {
        std::fs::write(&path, config).unwrap();
        Command::new("kill").args(["-HUP", &manager.id().to_string()]).status().unwrap();
        let mut lines = log.by_ref().lines().map(Result::unwrap);
        lines.find(|line| line.contains(expected)).unwrap_or_else(|| panic!("{expected:?} was never logged"))
    };
    let mut proxy = Peer::connect_as_proxy(address, 7);
    proxy.next_line_containing("whole=1");
    let (_, mut old_watch) = accept_watch(&discoveries[0], "200 OK");
    old_watch.send_chunk(&(list_json(42, false, &[entry("s-1", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-1");
    for invalid in ["", "{\"seed\":", &config(addresses[1], 64).replace("127.0.0.1:", "nowhere")] {
        reload(invalid, "the configuration stays as it was");
    }
    old_watch.send_chunk(&(list_json(43, false, &[entry("s-2", "draining")]) + "\n"));
    proxy.next_line_containing("out=s-2");
    let moved_config = config(addresses[1], 64).replace("127.0.0.1:0\"", "127.0.0.1:9\"");
    reload(&moved_config, "the address to listen on cannot change while running");
    let (request, mut new_watch) = accept_watch(&discoveries[1], "200 OK");
    assert!(request.contains("index=43"), "the new watch must start from the current version: {request}");
    assert_eq!(old_watch.next_line(), None, "the manager must close the old watch");
    new_watch.send_chunk(&(list_json(44, false, &[entry("s-3", "draining"), entry("s-4", "ready")]) + "\n"));
    proxy.next_line_containing("out=s-3");
    reload(&config(addresses[0], 64), "read again");
    reload(&config(addresses[2], 64), "read again");
    assert!(accept_watch(&discoveries[2], "200 OK").0.contains("index=44"), "the last reload wins");
    proxy.assert_alive();
    manager.kill().unwrap();
    manager.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn start_errors_are_one_line_and_sigterm_ends_with_success() {
    let occupied_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let occupied_address = occupied_listener.local_addr().unwrap().to_string();
    let path = std::env::temp_dir().join(format!("juniperrail-{}.json", std::process::id()));
    let start = |config: &str, listen: &str| {
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        command.env_clear().env("PROXY_CONFIG", &path).env("PROXY_LISTEN", listen);
        command.stderr(Stdio::piped()).spawn().unwrap()
    };
    // No discovery server listens at this address; the manager starts nevertheless.
    let valid_config = config("127.0.0.1:1".parse().unwrap(), 64);
    for (config, listen, expected) in [
        ("", "", "EOF"),
        ("{}", "", "seed"),
        (&valid_config.replace("8c1f", "seed"), "", "the seed is not a 64-bit hexadecimal number"),
        (&valid_config.replace("127.0.0.1:1\"", "nowhere\""), "", "PROXY_DISCOVERY is not an address"),
        (&valid_config.replace(r#""tick-ms":1"#, r#""tick-ms":-1"#), "", "tick-ms"),
        (&valid_config, "nowhere", "PROXY_LISTEN is not an address"),
        (&valid_config, &occupied_address, "cannot listen on"),
    ] {
        let output = start(config, listen).wait_with_output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(error.starts_with("juniperrail: ") && error.contains(expected), "{expected}: {error}");
        assert_eq!((error.lines().count(), output.status.code()), (1, Some(1)), "{error}");
    }
    let mut running = start(&valid_config, "127.0.0.1:0");
    let mut log = BufReader::new(running.stderr.take().unwrap());
    address_from_log(&mut log);
    Command::new("kill").arg(running.id().to_string()).status().unwrap();
    assert!(running.wait().unwrap().success());
    let mut log_text = String::new();
    log.read_to_string(&mut log_text).unwrap();
    assert!(log_text.contains("received SIGTERM, shutting down"), "{log_text}");
    std::fs::remove_file(&path).unwrap();
}
