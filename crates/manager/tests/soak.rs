//! Slow, flooding and refusing peers all at once, in a random but repeatable mixture, on real connections to a manager in a
//! process of its own. Meanwhile prompt proxies must be told of each drain within its grace.
//!
//! `JUNIPERRAIL_SOAK_SEED` and `JUNIPERRAIL_SOAK_SECONDS` choose another mixture and a longer run.

mod common;

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use common::{config, entry, resident_anonymous_bytes, ManagerProcess};
use juniperrail_standins::{list_json, AnsweringProxy, Discovery, Peer};

const DEFAULT_SEED: u64 = 56;
const DEFAULT_SECONDS: u64 = 30;

/// The smallest memory limit of a manager in production.
const MEMORY_LIMIT_BYTES: u64 = 32_000_000;
/// The drain grace and the report period of the stand-ins' settings.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
const REPORT_PERIOD: Duration = Duration::from_secs(2);
/// Kinds of log lines that are limited to one line, or a first and a summary, in each report period.
const LINES_PER_REPORT_PERIOD: usize = 14;
/// Lines of the start.
const LINES_AT_START: usize = 20;

/// The first number of the proxies that misbehave; each thread has its own numbers.
const FIRST_BAD_PROXY: u16 = 100;
const PROXIES_PER_THREAD: u16 = 50;
/// Threads of each kind of misbehaviour.
const THREADS_PER_KIND: u16 = 2;

const LONG_LINE_BYTES: usize = 900 << 10;
const MANY_FIELDS: usize = 100_000;
/// How long a misbehaving peer waits at most before it looks whether the test has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two lists that cannot be read. The lists of one source keep their order, so a drain waits for those before
/// it; under a flood of reports a manager takes one list in each round of its tasks.
const USUAL_LIST_INTERVAL: Duration = Duration::from_millis(200);
const SHORT_LIST_INTERVAL: Duration = Duration::from_millis(1);

/// What a peer does wrong.
#[derive(Clone, Copy, Debug)]
enum Misbehaviour {
    /// Proxies stop in the middle of a long line.
    Unfinished,
    /// A proxy sends lines of very many fields.
    ManyFields,
    /// A proxy reports workers under ever new names.
    NewNames,
    /// A proxy resets each stream at its first order.
    Refusing,
    /// A stranger sends what is no message, or nothing, and leaves.
    Stranger,
}

const MISBEHAVIOURS: [Misbehaviour; 5] = [
    Misbehaviour::Unfinished,
    Misbehaviour::ManyFields,
    Misbehaviour::NewNames,
    Misbehaviour::Refusing,
    Misbehaviour::Stranger,
];

fn environment_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// A misbehaving peer, which acts until the test ends.
struct BadPeer<'a> {
    address: SocketAddr,
    first_number: u16,
    rng: fastrand::Rng,
    stop: &'a AtomicBool,
}

impl BadPeer<'_> {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Connects, as a proxy of a number of this peer where `joins`. `None` while the manager takes no connection.
    fn connect(&mut self, joins: bool) -> Option<TcpStream> {
        let mut socket = TcpStream::connect(self.address).ok()?;
        socket.set_write_timeout(Some(POLL_INTERVAL)).ok()?;
        socket.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        if joins {
            let number = self.first_number + self.rng.u16(..PROXIES_PER_THREAD);
            socket.write_all(format!("hello node={number} locality=a w=1 cold=1\r\n").as_bytes()).ok()?;
        }
        Some(socket)
    }

    fn act(&mut self, misbehaviour: Misbehaviour) {
        while !self.is_stopped() {
            let joins = !matches!(misbehaviour, Misbehaviour::Stranger);
            let Some(mut socket) = self.connect(joins) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            match misbehaviour {
                Misbehaviour::Unfinished => {
                    let line = format!("demand node=0 padding={}", "x".repeat(LONG_LINE_BYTES));
                    _ = socket.write_all(line.as_bytes());
                    thread::sleep(POLL_INTERVAL * self.rng.u32(1..20));
                }
                Misbehaviour::ManyFields => {
                    let fields: Vec<String> = (0..MANY_FIELDS).map(|field| format!("{field:x}=")).collect();
                    let line = format!("outcomes {}\r\n", fields.join(" "));
                    let lines = self.rng.usize(1..20);
                    _ = (0..lines).try_for_each(|_| socket.write_all(line.as_bytes()));
                }
                Misbehaviour::NewNames => {
                    let lines = self.rng.usize(1..20_000);
                    let report = |_| format!("outcomes locality=a endpoint=x-{}\r\n", self.rng.u64(..));
                    let text: String = (0..lines).map(report).collect();
                    _ = socket.write_all(text.as_bytes());
                }
                Misbehaviour::Refusing => {
                    let mut byte = [0];
                    while !self.is_stopped() && socket.read(&mut byte).is_err_and(|error| is_timeout(&error))
                    {
                    }
                    Peer::new(socket).reset();
                }
                Misbehaviour::Stranger => {
                    let bytes: Vec<u8> = (0..self.rng.usize(0..4096)).map(|_| self.rng.u8(..)).collect();
                    _ = socket.write_all(&bytes);
                }
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// Publishes lists with growing versions.
struct Publisher {
    discovery: Discovery,
    version: Mutex<u64>,
}

impl Publisher {
    fn publish(&self, worker: &str, lifecycle: &str) {
        let mut version = self.version.lock().unwrap();
        *version += 1;
        self.discovery.publish(&list_json(*version, false, &[entry(worker, lifecycle)]));
    }
}

/// Guards against peers that, all at once, delay drains past their grace, take the memory of a manager or flood its log.
#[test]
fn drains_are_kept_among_slow_flooding_and_refusing_peers() {
    check_drains("soak", USUAL_LIST_INTERVAL);
}

/// Guards against floods of reports that keep the lists of discovery waiting, and a drain behind them past its grace. In
/// KNOWN-RED.txt.
#[test]
fn drains_are_kept_among_such_peers_while_a_list_comes_each_millisecond() {
    check_drains("soak-lists", SHORT_LIST_INTERVAL);
}

/// Runs a manager among misbehaving peers and checks its drains, memory and log. `name` is part of a file's name.
fn check_drains(name: &str, list_interval: Duration) {
    let seed = environment_number("JUNIPERRAIL_SOAK_SEED", DEFAULT_SEED);
    let duration = Duration::from_secs(environment_number("JUNIPERRAIL_SOAK_SECONDS", DEFAULT_SECONDS));
    println!("seed {seed}, {} s", duration.as_secs());
    let publisher = Publisher { discovery: Discovery::start(), version: Mutex::new(41) };
    let limited = "\"messages-most\":30,\"counted-over-ms\":10000";
    let config = config(publisher.discovery.address, 1024)
        .replace("\"counted-over-ms\":10000", limited)
        .replace("\"proxy-count\":20", "\"proxy-count\":700");
    let mut manager = ManagerProcess::start(name, &config);
    let log = manager.log.take().unwrap();
    let (log_lines, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let started = Instant::now();
    let (mut peak, mut slowest) = (0, Duration::ZERO);
    thread::scope(|scope| {
        scope.spawn(|| log.lines().for_each(|_| _ = log_lines.fetch_add(1, Ordering::Relaxed)));
        let mut proxies: Vec<AnsweringProxy> =
            (1..4).map(|number| AnsweringProxy::connect(manager.address, number)).collect();
        let address = manager.address;
        for (kind, misbehaviour) in MISBEHAVIOURS.into_iter().enumerate() {
            for thread in 0..THREADS_PER_KIND {
                let index = kind as u16 * THREADS_PER_KIND + thread;
                let first_number = FIRST_BAD_PROXY + index * PROXIES_PER_THREAD;
                let rng = fastrand::Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(index.into()));
                let mut peer = BadPeer { address, first_number, rng, stop: &stop };
                scope.spawn(move || peer.act(misbehaviour));
            }
        }
        let (publisher, stop) = (&publisher, &stop);
        scope.spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                publisher.publish("s-9", "unknown");
                thread::sleep(list_interval);
            }
        });
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            while started.elapsed() < duration {
                let drained = Instant::now();
                publisher.publish("s-1", "draining");
                proxies.iter_mut().for_each(|proxy| _ = proxy.next_line_containing("out=s-1"));
                slowest = slowest.max(drained.elapsed());
                publisher.publish("s-1", "ready");
                proxies.iter_mut().for_each(|proxy| _ = proxy.next_line_containing("back=s-1"));
                peak = peak.max(resident_anonymous_bytes(&manager.child));
            }
        }));
        stop.store(true, Ordering::Relaxed);
        // Ends all connections, so that every thread ends.
        manager.child.kill().unwrap();
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
    });
    let lines = log_lines.into_inner();
    let periods = started.elapsed().as_millis() / REPORT_PERIOD.as_millis() + 1;
    println!(
        "slowest drain {slowest:?}, {peak} bytes at most, {lines} log lines in {periods} report periods"
    );
    assert!(slowest < DRAIN_GRACE, "seed {seed}: a drain took {slowest:?}");
    assert!(peak < MEMORY_LIMIT_BYTES, "seed {seed}: {peak} bytes");
    assert!(
        lines <= LINES_AT_START + LINES_PER_REPORT_PERIOD * periods as usize,
        "seed {seed}: {lines} log lines"
    );
}
