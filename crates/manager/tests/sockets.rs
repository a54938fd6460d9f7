//! Stories on real sockets: a manager, and stand-ins for discovery, proxies and collectors.

mod cluster;

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use cluster::{accept_watch, config, entry, TestCluster};
use juniperrail_standins::{address_served, list, Peer, SETTINGS};

#[test]
fn a_proxy_that_joins_is_given_the_whole_table_of_the_list_last_held() {
    let cluster = TestCluster::new(64);
    cluster.peer().alive();
    let told = cluster.proxy(7).line_with("whole=1");
    assert!(told.starts_with("push ") && told.contains("lines=s-1:1,s-2:1,s-3:1"), "{told}");
    assert!(told.contains("level=1000000 retry=1") && told.contains("ticket="), "{told}");
}

#[test]
fn messages_come_in_pieces_or_many_at_once() {
    let cluster = TestCluster::new(64);
    let mut peer = cluster.peer();
    for piece in ["pro", "be\r", "\nprobe\r\nhello node=3 loc", "ality=b w=1 cold=0\r\npro", "be\r\n"] {
        peer.raw(piece);
    }
    assert_eq!([peer.line(), peer.line()].map(Option::unwrap), ["alive", "alive"]);
    let both = [peer.line().unwrap(), peer.line().unwrap()].concat();
    assert!(both.contains("alive") && both.contains("whole=1"), "{both}");
}

#[test]
fn a_new_stream_of_a_proxy_takes_the_place_of_the_old_one() {
    let cluster = TestCluster::new(64);
    let mut old = cluster.proxy(7);
    old.line_with("whole=1");
    let mut new = cluster.proxy(7);
    new.line_with("whole=1");
    assert_eq!(old.line(), None, "the old stream is ended");
    new.alive();
    cluster.accept_watch("200 OK").1.chunk(&(list(42, false, &[entry("s-2", "draining")]) + "\n"));
    new.line_with("out=s-2");
}

#[test]
fn a_spoilt_message_costs_itself_alone() {
    let cluster = TestCluster::new(64);
    let (mut proxy, mut collector) = (cluster.proxy(1), cluster.peer());
    proxy.line_with("whole=1");
    collector.say("agent locality=a");
    for spoilt in [
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
        proxy.say(spoilt);
        collector.say(spoilt);
    }
    proxy.alive();
    collector.alive();
}

#[test]
fn what_cannot_be_read_as_messages_ends_the_one_connection_concerned() {
    let cluster = TestCluster::new(64);
    let mut sound = cluster.proxy(1);
    sound.line_with("whole=1");
    // Also where no end of a line ever comes.
    for (number, bad) in (2..).zip(["shout\r\n", "\r\n", "GET / HTTP/1.1", "\u{16}\u{3}\u{1}", "ack \0"]) {
        let mut proxy = cluster.proxy(number);
        proxy.line_with("whole=1");
        proxy.raw(bad);
        while proxy.line().is_some() {}
        cluster.proxy(number).line_with("whole=1");
        let mut collector = cluster.peer();
        collector.say("agent locality=b");
        collector.alive();
        collector.raw(bad);
        assert_eq!(collector.line(), None, "{bad:?}");
    }
    drop(cluster.proxy(9));
    sound.alive();
}

#[test]
fn strangers_are_told_an_error_and_see_their_connections_end() {
    let cluster = TestCluster::new(64);
    let mut proxy = cluster.proxy(1);
    proxy.line_with("whole=1");
    let endless = "x".repeat(100_000);
    for (first, why) in [
        ("hello node=20 locality=a w=1 cold=1\r\n", "unreadable"),
        ("hello node=2 locality=nowhere w=1 cold=1\r\n", "unreadable"),
        ("hello node=x locality=a\r\n", "unreadable"),
        ("agent locality=nowhere\r\n", "unreadable"),
        ("ack node=1 nonce=1 latency=1\r\n", "unreadable"),
        ("push out=s-1\r\nand more", "unreadable"),
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "unreadable"),
        (&endless, "unreadable"),
        ("hello node=2 loca", "late"),
        ("", "late"),
    ] {
        let mut stranger = cluster.peer();
        stranger.raw(first);
        assert_eq!(stranger.line().as_deref(), Some(&*format!("error why={why}")), "{first:.20}");
        assert_eq!(stranger.line(), None, "{first:.20}");
    }
    let mut asked = cluster.peer();
    asked.alive();
    assert_eq!(asked.line().as_deref(), Some("error why=late"), "a sign of life is no joining");
    proxy.alive();
}

#[test]
fn strangers_that_say_nothing_take_no_proxys_place() {
    let cluster = TestCluster::new(16);
    let mut proxy = cluster.proxy(1);
    proxy.line_with("whole=1");
    let mut strangers: Vec<Peer> = (0..4).map(|_| cluster.peer()).collect();
    let last = cluster.proxy(2).line_with("whole=1");
    assert!(last.contains("s-1"), "{last}");
    assert_eq!(strangers[0].line(), None, "the oldest is put out, before its time");
    strangers[3].alive();
    proxy.alive();
}

#[test]
fn collectors_that_say_nothing_give_way_to_those_that_report() {
    let cluster = TestCluster::new(64);
    let mut collectors: Vec<Peer> = (0..9).map(|_| cluster.peer()).collect();
    for (place, collector) in collectors.iter_mut().enumerate() {
        collector.say("agent locality=a");
        collector.alive();
        if place == 7 {
            break;
        }
    }
    collectors[0].alive();
    collectors[8].say("agent locality=b");
    assert_eq!(collectors[1].line(), None, "eight at most, for two zones");
    collectors[0].alive();
}

#[test]
fn running_out_of_descriptors_costs_strangers_and_no_proxy() {
    let path = std::env::temp_dir().join(format!("juniperrail-few-{}.json", std::process::id()));
    std::fs::write(&path, config("127.0.0.1:1".parse().unwrap(), 1024)).unwrap();
    let mut limited = Command::new("sh");
    limited.args(["-c", "ulimit -n 24; exec \"$0\"", env!("CARGO_BIN_EXE_juniperrail")]);
    let mut manager = limited.env("PROXY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(manager.stderr.take().unwrap());
    let address = address_served(&mut log);
    let mut proxy = Peer::joined(address, 1);
    proxy.line_with("whole=1");
    let strangers: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(address).unwrap()).collect();
    Peer::joined(address, 2).line_with("whole=1");
    proxy.alive();
    manager.kill().unwrap();
    let mut said = String::new();
    log.read_to_string(&mut said).unwrap();
    assert!(said.contains("no connection can be taken: Too many open files"), "{said}");
    drop(strangers);
    manager.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn who_joined_is_kept_and_the_list_is_followed_where_descriptors_are_fewer_than_proxies() {
    let cluster = TestCluster::new(28);
    let (_, mut agent) = cluster.accept_watch("200 OK");
    let mut proxies: Vec<Peer> = (0..20).map(|number| cluster.proxy(number)).collect();
    let joined: Vec<bool> = proxies
        .iter_mut()
        .map(|proxy| std::iter::from_fn(|| proxy.line()).any(|line| line.contains("whole=1")))
        .collect();
    let kept = joined.iter().filter(|joined| **joined).count();
    assert!((4..20).contains(&kept), "{kept} of 20 fit");
    agent.chunk(&(list(42, false, &[entry("s-1", "draining")]) + "\n"));
    drop(agent);
    let (asked, mut agent) = cluster.accept_watch("200 OK");
    assert!(asked.contains("index=42"), "there is a descriptor for the next watch: {asked}");
    agent.chunk(&(list(43, false, &[entry("s-2", "draining")]) + "\n"));
    let here = proxies.iter_mut().zip(joined).filter(|(_, joined)| *joined);
    here.for_each(|(proxy, _)| _ = proxy.line_with("out=s-2"));
}

#[test]
fn a_thousand_workers_and_managers_and_zones_that_nobody_named_are_borne() {
    let zone = |place: u32| format!("z{}", place % 12);
    let entries: Vec<String> = (0..1100)
        .map(|id| juniperrail_standins::entry(&format!("s-{id}"), &zone(id), "127.0.0.1:9", "ready"))
        .collect();
    let known = list(41, true, &entries);
    let settings = SETTINGS
        .replace("\"n-instances\":1,", "\"n-instances\":1100,")
        .replace("\"pending-max\":5000", "\"pending-max\":50000");
    let cluster = TestCluster::with_config(|discovery| {
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "limits":{{"sockets":1024}},"known":{known},"settings":{settings}}}"#
        )
    });
    let mut collectors: Vec<Peer> = (0..12).map(|_| cluster.peer()).collect();
    for (place, collector) in (0..).zip(&mut collectors) {
        collector.say(&format!("agent locality={}", zone(place)));
        collector.alive();
    }
    let mut proxies: Vec<Peer> = (0..20).map(|_| cluster.peer()).collect();
    for (number, proxy) in (0..).zip(&mut proxies) {
        proxy.say(&format!("hello node={number} locality={} w=2 cold=1", zone(number)));
    }
    for proxy in &mut proxies {
        let whole = proxy.line_with("whole=1");
        let lines = whole.split("lines=").nth(1).unwrap().split(' ').next().unwrap();
        let weight = |line: &str| line.split_once(':').and_then(|(_, weight)| weight.parse::<f64>().ok());
        assert!(lines.split(',').count() >= 16, "{whole}");
        assert!(lines.split(',').all(|line| weight(line).is_some_and(|weight| weight > 0.0)), "{whole}");
    }
    for peer in proxies.iter_mut().chain(&mut collectors) {
        peer.say("probe");
        peer.line_with("alive");
    }
}

#[test]
fn hundreds_of_streams_within_a_moment_are_all_taken() {
    let cluster = TestCluster::new(1024);
    let mut proxies: Vec<Peer> = (0..400).map(|number| cluster.proxy(number % 20)).collect();
    // Each new stream of a proxy ends the one before: only the last twenty are left, and all are served.
    proxies[380..].iter_mut().for_each(|proxy| _ = proxy.line_with("whole=1"));
    proxies[..380].iter_mut().for_each(|proxy| while proxy.line().is_some() {});
}

#[test]
fn the_watch_is_read_however_its_chunks_cut_lines() {
    let cluster = TestCluster::new(64);
    let (asked, mut agent) = cluster.accept_watch("200 OK");
    assert_eq!(asked, "GET /v1/servers?stream=1&index=41 HTTP/1.1");
    let mut proxy = cluster.proxy(1);
    proxy.line_with("whole=1");
    let broken = r#"{"instanceId":"s-3"}"#.to_string();
    let first = list(42, false, &[broken, entry("s-1", "draining")]) + "\n";
    let (head, tail) = first.split_at(25);
    agent.chunk("\n");
    agent.chunk(head);
    agent.chunk(&(tail.to_string() + "\n" + &list(43, false, &[entry("s-9", "ready")]) + "\n"));
    let told = proxy.line_with("out=s-1");
    assert!(!told.contains("s-3"), "an entry with missing fields is passed over: {told}");
    let broken = r#"{"instanceId":"s-3"}"#.to_string();
    agent.chunk(&(list(44, true, &[entry("s-2", "draining"), broken]) + "\n"));
    let told = proxy.line_with("out=s-2");
    assert!(!told.contains("s-3"), "nobody is gone whose entry can't be read: {told}");
    agent.chunk(&(list(45, true, &[entry("s-9", "ready")]) + "\n"));
    proxy.line_with("out=s-3");
}

#[test]
fn a_watch_that_breaks_is_dialled_again_with_the_version_held() {
    let cluster = TestCluster::new(64);
    let (_, mut agent) = cluster.accept_watch("200 OK");
    agent.chunk(&(list(42, false, &[]) + "\n"));
    drop(agent);
    let (asked, mut agent) = cluster.accept_watch("200 OK");
    assert!(asked.contains("index=42"), "after an end: {asked}");
    agent.chunk("{\"generation\":\n");
    let (asked, agent) = cluster.accept_watch("503 Service Unavailable");
    assert!(asked.contains("index=42"), "after what is no JSON: {asked}");
    let (asked, silent) = cluster.accept_watch("200 OK");
    assert!(asked.contains("index=42"), "after a refusal: {asked}");
    let (asked, _) = cluster.accept_watch("200 OK");
    assert!(asked.contains("index=42"), "after a silence: {asked}");
    drop((agent, silent));
}

#[test]
fn a_manager_that_is_stopped_ends_its_connections() {
    let mut cluster = TestCluster::new(64);
    let mut proxy = cluster.proxy(1);
    proxy.line_with("whole=1");
    drop(cluster.stop.take());
    while proxy.line().is_some() {}
    // The listener goes with all the rest, in whatever order.
    let refused = (0..2000).any(|_| {
        thread::sleep(Duration::from_millis(10));
        TcpStream::connect(cluster.manager).is_err()
    });
    assert!(refused);
}

#[test]
fn a_reload_moves_the_watch_and_keeps_all_streams() {
    let path = std::env::temp_dir().join(format!("juniperrail-reload-{}.json", std::process::id()));
    let discoveries: Vec<TcpListener> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = discoveries.iter().map(|one| one.local_addr().unwrap()).collect();
    std::fs::write(&path, config(addresses[0], 64)).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
    // What the variable says held at the start; the file's word goes before it from the first reload on.
    program.env("PROXY_CONFIG", &path).env("PROXY_DISCOVERY", addresses[0].to_string());
    let mut manager = program.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(manager.stderr.take().unwrap());
    let address = address_served(&mut log);
    let mut told = |config: &str, answer: &str| {
        std::fs::write(&path, config).unwrap();
        Command::new("kill").args(["-HUP", &manager.id().to_string()]).status().unwrap();
        let mut lines = log.by_ref().lines().map(Result::unwrap);
        lines.find(|line| line.contains(answer)).unwrap_or_else(|| panic!("{answer} is never said"))
    };
    let mut proxy = Peer::joined(address, 7);
    proxy.line_with("whole=1");
    let (_, mut old) = accept_watch(&discoveries[0], "200 OK");
    old.chunk(&(list(42, false, &[entry("s-1", "draining")]) + "\n"));
    proxy.line_with("out=s-1");
    for spoilt in ["", "{\"seed\":", &config(addresses[1], 64).replace("127.0.0.1:", "nowhere")] {
        told(spoilt, "the configuration stays as it was");
    }
    old.chunk(&(list(43, false, &[entry("s-2", "draining")]) + "\n"));
    proxy.line_with("out=s-2");
    let elsewhere = config(addresses[1], 64).replace("127.0.0.1:0\"", "127.0.0.1:9\"");
    told(&elsewhere, "the address to listen on cannot change while running");
    let (asked, mut new) = accept_watch(&discoveries[1], "200 OK");
    assert!(asked.contains("index=43"), "from the version held: {asked}");
    assert_eq!(old.line(), None, "the old watch is let go");
    new.chunk(&(list(44, false, &[entry("s-3", "draining"), entry("s-4", "ready")]) + "\n"));
    proxy.line_with("out=s-3");
    told(&config(addresses[0], 64), "read again");
    told(&config(addresses[2], 64), "read again");
    assert!(accept_watch(&discoveries[2], "200 OK").0.contains("index=44"), "the last reload wins");
    proxy.alive();
    manager.kill().unwrap();
    manager.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn the_program_says_what_is_wrong_in_one_line_and_ends_well_when_told() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    let path = std::env::temp_dir().join(format!("juniperrail-{}.json", std::process::id()));
    let program = |config: &str, listen: &str| {
        std::fs::write(&path, config).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_juniperrail"));
        program.env_clear().env("PROXY_CONFIG", &path).env("PROXY_LISTEN", listen);
        program.stderr(Stdio::piped()).spawn().unwrap()
    };
    // Nobody answers at the discovery named here: no reason to end.
    let good = config("127.0.0.1:1".parse().unwrap(), 64);
    for (config, listen, expected) in [
        ("", "", "EOF"),
        ("{}", "", "seed"),
        (&good.replace("8c1f", "seed"), "", "the seed is not a 64-bit hexadecimal number"),
        (&good.replace("127.0.0.1:1\"", "nowhere\""), "", "PROXY_DISCOVERY is not an address"),
        (&good.replace(r#""tick-ms":1"#, r#""tick-ms":-1"#), "", "tick-ms"),
        (&good, "nowhere", "PROXY_LISTEN is not an address"),
        (&good, &taken, "cannot listen on"),
    ] {
        let output = program(config, listen).wait_with_output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(said.starts_with("juniperrail: ") && said.contains(expected), "{expected}: {said}");
        assert_eq!((said.lines().count(), output.status.code()), (1, Some(1)), "{said}");
    }
    let mut running = program(&good, "127.0.0.1:0");
    let mut log = BufReader::new(running.stderr.take().unwrap());
    address_served(&mut log);
    Command::new("kill").arg(running.id().to_string()).status().unwrap();
    assert!(running.wait().unwrap().success());
    let mut said = String::new();
    log.read_to_string(&mut said).unwrap();
    assert!(said.contains("received SIGTERM, shutting down"), "{said}");
    std::fs::remove_file(&path).unwrap();
}
