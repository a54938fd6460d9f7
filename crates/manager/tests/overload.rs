//! Proxies that write slowly or without a pause, on real connections to a manager in a process of its own. Memory is
//! compared with what the manager may take in production.

mod common;

use std::io::BufRead;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{accept_watch, config, entry, resident_anonymous_bytes, ManagerProcess};
use juniperrail_standins::{list_json, Peer};

/// The smallest memory limit of a manager in production.
const MEMORY_LIMIT_BYTES: u64 = 32_000_000;

/// The length of a line near the limit of 1 MiB.
const LONG_LINE_BYTES: usize = 900 << 10;

/// Fields of a line of many short fields.
const MANY_FIELDS: usize = 150_000;

/// Starts a manager that these proxies may join.
fn start_manager(name: &str, proxies: usize) -> ManagerProcess {
    // Nothing listens there: the manager keeps its cached list.
    let discovery = "127.0.0.1:9".parse().unwrap();
    let config = config(discovery, 2048).replace("\"proxy-count\":20", &format!("\"proxy-count\":{proxies}"));
    ManagerProcess::start(name, &config)
}

/// The start of a valid report, with an unknown field of this length and without the end of the line.
fn unfinished_line(bytes: usize) -> String {
    format!("demand node=0 route=lookup total=1 errors=0 interval=1000 padding={}", "x".repeat(bytes))
}

/// Sets a flag when it is dropped, also by a failed assertion.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends a probe and waits for the answer.
fn probe(peer: &mut Peer) {
    peer.send_line("probe");
    peer.next_line_containing("alive");
}

/// Guards against a process that is killed for its memory because hundreds of proxies stop in the middle of a long line.
#[test]
fn unfinished_lines_of_hundreds_of_proxies_take_bounded_memory() {
    const PROXIES: u16 = 300;
    const SAMPLES: u32 = 40;
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
    let manager = start_manager("unfinished", 400);
    let mut prompt = Peer::connect_as_proxy(manager.address, 399);
    let line = unfinished_line(LONG_LINE_BYTES);
    let mut stalled: Vec<Peer> = Vec::new();
    let mut peak = 0;
    for number in 0..PROXIES {
        let mut proxy = Peer::connect_as_proxy(manager.address, number);
        // Fails where the manager has already closed the connection.
        _ = proxy.try_send_raw(&line);
        stalled.push(proxy);
        peak = peak.max(resident_anonymous_bytes(&manager.child));
        if number % 100 == 99 {
            // A proxy that finishes its long line is served meanwhile.
            prompt.send_line(&unfinished_line(LONG_LINE_BYTES));
            probe(&mut prompt);
        }
    }
    // The manager may still have to read what the kernel holds.
    for _ in 0..SAMPLES {
        thread::sleep(SAMPLE_INTERVAL);
        peak = peak.max(resident_anonymous_bytes(&manager.child));
    }
    assert!(peak < MEMORY_LIMIT_BYTES, "{peak} bytes with {} unfinished lines", stalled.len());
}

/// Guards against buffers that stay as large as the longest line was, for each of hundreds of connections.
#[test]
fn finished_long_lines_leave_no_memory_behind() {
    const PROXIES: u16 = 100;
    let manager = start_manager("finished", 100);
    let mut proxies: Vec<Peer> = Vec::new();
    for number in 0..PROXIES {
        let mut proxy = Peer::connect_as_proxy(manager.address, number);
        proxy.send_line(&unfinished_line(LONG_LINE_BYTES));
        probe(&mut proxy);
        proxies.push(proxy);
    }
    let bytes = resident_anonymous_bytes(&manager.child);
    assert!(bytes < MEMORY_LIMIT_BYTES, "{bytes} bytes after {PROXIES} long lines");
    proxies.iter_mut().for_each(probe);
}

/// Guards against proxies whose lines are slow to parse, and that keep all other connections from being served. An answer may
/// wait for one line of each such proxy, not for more.
#[test]
fn lines_of_many_fields_sent_without_a_pause_delay_no_other_connection() {
    const FLOODING_PROXIES: u16 = 20;
    const PROBES: usize = 15;
    let manager = start_manager("fields", 100);
    let fields: Vec<String> = (0..MANY_FIELDS).map(|field| format!("{field:x}=")).collect();
    let line = format!("outcomes {}", fields.join(" "));
    let mut single = Peer::connect_as_proxy(manager.address, 99);
    let mut other = Peer::connect(manager.address);
    let median = |mut durations: Vec<Duration>| {
        durations.sort();
        durations[durations.len() / 2]
    };
    let line_durations = (0..PROBES).map(|_| {
        let start = Instant::now();
        single.send_line(&line);
        probe(&mut single);
        start.elapsed()
    });
    let line_duration = median(line_durations.collect());
    let stopping = AtomicBool::new(false);
    let probe_duration = thread::scope(|scope| {
        let _stop = SetOnDrop(&stopping);
        for number in 0..FLOODING_PROXIES {
            let mut proxy = Peer::connect_as_proxy(manager.address, number);
            let (stopping, line) = (&stopping, &line);
            scope.spawn(move || {
                while !stopping.load(Ordering::Relaxed) && proxy.try_send_raw(&format!("{line}\r\n")).is_ok()
                {
                }
            });
        }
        let probe_durations = (0..PROBES).map(|_| {
            let start = Instant::now();
            probe(&mut other);
            start.elapsed()
        });
        median(probe_durations.collect())
    });
    let limit = line_duration * u32::from(FLOODING_PROXIES);
    assert!(probe_duration < limit, "{probe_duration:?}, {line_duration:?} for one line alone");
}

/// Guards against a log that grows with every list in which an entry cannot be read.
#[test]
fn a_burst_of_lists_with_unreadable_entries_does_not_flood_the_log() {
    const LISTS: usize = 2_000;
    const MAX_LINES: usize = LISTS / 20;
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut manager = ManagerProcess::start("log-flood", &config(discovery.local_addr().unwrap(), 256));
    let (_, mut watch) = accept_watch(&discovery, "200 OK");
    let lists = (0..LISTS).map(|list| list_json(42 + list as u64, false, &[entry("s-1", "unknown")]) + "\n");
    watch.send_chunk(&lists.collect::<String>());
    // The last list is valid, and proxies see what it changes.
    watch.send_chunk(&(list_json(42 + LISTS as u64, false, &[entry("s-2", "draining")]) + "\n"));
    let mut proxy = Peer::connect_as_proxy(manager.address, 1);
    let log = manager.log.take().unwrap();
    let reader = thread::spawn(move || {
        log.lines().map_while(Result::ok).filter(|line| line.contains("cannot be read")).count()
    });
    while !proxy.next_line().expect("the stream stays open").contains("out=s-2") {}
    manager.signal("TERM");
    let lines = reader.join().unwrap();
    assert!(lines <= MAX_LINES, "{lines} log lines for {LISTS} lists");
}
