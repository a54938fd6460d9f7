//! Proxies on one thread: each joins, holds what it is told, answers marks at once or when it is let, and dials
//! again when its stream breaks.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rules::RuleChecker;

/// What a proxy may pick, with weights.
pub type WorkerWeights = BTreeMap<String, f64>;

struct Shared {
    rules: Mutex<(RuleChecker, u64)>,
    changed: Condvar,
    /// Proxies that read nothing while they are stalled.
    stalled: Mutex<bool>,
    resumed: Condvar,
    started: Instant,
}

/// So many proxies of one manager, under the eyes of the checker.
pub struct Proxies {
    shared: Arc<Shared>,
    count: u16,
}

const WITHIN: Duration = Duration::from_secs(30);

impl Proxies {
    /// They join, evenly over the zones, numbered from `first`.
    pub fn start(manager: SocketAddr, first: u16, count: u16, zones: &[&str], rules: RuleChecker) -> Proxies {
        let shared = Arc::new(Shared {
            rules: Mutex::new((rules, 0)),
            changed: Condvar::new(),
            stalled: Mutex::new(false),
            resumed: Condvar::new(),
            started: Instant::now(),
        });
        for number in first..first + count {
            let (shared, zone) = (shared.clone(), zones[usize::from(number) % zones.len()].to_string());
            let life = move || while proxy(manager, number, &zone, &shared).is_ok() {};
            // A proxy needs little stack.
            let thread = thread::Builder::new().stack_size(128 << 10);
            thread.spawn(life).expect("a thread for each proxy");
        }
        Proxies { shared, count }
    }

    pub fn count(&self) -> u16 {
        self.count
    }

    /// Milliseconds since they started: the clock of the checker.
    pub fn now_ms(&self) -> f64 {
        self.shared.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Speaks with the checker.
    pub fn with_rules<R>(&self, speak: impl FnOnce(&mut RuleChecker) -> R) -> R {
        speak(&mut self.shared.rules.lock().expect("no proxy panics").0)
    }

    /// Nobody reads or answers while this holds.
    pub fn set_stalled(&self, stalled: bool) {
        *self.shared.stalled.lock().expect("no proxy panics") = stalled;
        self.shared.resumed.notify_all();
    }

    /// Waits until it holds of what all proxies may pick. Panics where that takes too long.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&RuleChecker) -> bool) {
        let mut rules = self.shared.rules.lock().expect("no proxy panics");
        let start = Instant::now();
        while !holds(&rules.0) {
            assert!(start.elapsed() < WITHIN, "still waiting for: {what}");
            rules = self
                .shared
                .changed
                .wait_timeout(rules, Duration::from_millis(50))
                .expect("no proxy panics")
                .0;
        }
    }

    /// How many messages came so far.
    pub fn message_count(&self) -> u64 {
        self.shared.rules.lock().expect("no proxy panics").1
    }
}

fn proxy(manager: SocketAddr, number: u16, zone: &str, shared: &Shared) -> std::io::Result<()> {
    let Ok(mut socket) = TcpStream::connect(manager) else {
        // It dials again, unless the manager is gone for good.
        thread::sleep(Duration::from_millis(50));
        return match shared.started.elapsed() < Duration::from_secs(600) {
            true => Ok(()),
            false => Err(std::io::ErrorKind::TimedOut.into()),
        };
    };
    socket.set_nodelay(true)?;
    shared.rules.lock().expect("no proxy panics").0.proxy_connected(number);
    write!(socket, "hello node={number} locality={zone} w=20 cold=1\r\n")?;
    let mut parts = Vec::new();
    for line in BufReader::new(socket.try_clone()?).lines() {
        let Ok(line) = line else { break };
        let mut stalled = shared.stalled.lock().expect("no proxy panics");
        while *stalled {
            stalled = shared.resumed.wait(stalled).expect("no proxy panics");
        }
        drop(stalled);
        if !line.starts_with("push") {
            continue;
        }
        let more = line.split(' ').any(|word| word == "more=1");
        parts.push(line);
        if more {
            continue;
        }
        let now = shared.started.elapsed().as_secs_f64() * 1000.0;
        let mark =
            parts.iter().flat_map(|part| part.split(' ')).find_map(|word| word.strip_prefix("ticket="));
        let mark = mark.map(str::to_string);
        let mut rules = shared.rules.lock().expect("no proxy panics");
        rules.0.record_message(number, &parts, now);
        rules.1 += 1;
        if let Some(mark) = &mark {
            rules.0.record_acknowledgement(number, mark);
        }
        drop(rules);
        shared.changed.notify_all();
        parts.clear();
        if let Some(mark) = mark {
            if write!(socket, "ack node={number} nonce={mark} latency=1.0\r\n").is_err() {
                break;
            }
        }
    }
    shared.rules.lock().expect("no proxy panics").0.proxy_disconnected(number);
    Ok(())
}
