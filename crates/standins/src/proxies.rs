//! Proxies, each on a thread of its own, that connect to one manager, record the tables they receive, acknowledge marks
//! and reconnect when their connection ends.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rules::RuleChecker;

/// The workers to which a proxy may route requests, with their weights.
pub type WorkerWeights = BTreeMap<String, f64>;

/// The checker of the received messages, and the number of these messages.
struct Received {
    checker: RuleChecker,
    message_count: u64,
}

/// State shared with the threads of the proxies.
struct Shared {
    received: Mutex<Received>,
    /// Notified after each recorded message.
    message_recorded: Condvar,
    /// Whether the proxies are stalled and neither read nor acknowledge.
    stalled: Mutex<bool>,
    resumed: Condvar,
    started: Instant,
}

/// The proxies of one manager, with a checker of the messages that they receive.
pub struct Proxies {
    shared: Arc<Shared>,
    count: u16,
}

/// Longest wait for a condition; generous, as the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition that is waited for, unless a message arrives earlier.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two attempts to connect to a manager.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// A proxy that cannot connect stops trying this long after the proxies were started, because the manager has
/// terminated by then.
const RECONNECT_LIMIT: Duration = Duration::from_secs(600);

/// Stack size of the thread of a proxy, in bytes. A proxy needs only a small stack.
const STACK_BYTES: usize = 128 << 10;

impl Proxies {
    /// Starts `count` proxies, numbered from `first` and spread evenly over the zones.
    pub fn start(
        manager: SocketAddr,
        first: u16,
        count: u16,
        zones: &[&str],
        checker: RuleChecker,
    ) -> Proxies {
        let shared = Arc::new(Shared {
            received: Mutex::new(Received { checker, message_count: 0 }),
            message_recorded: Condvar::new(),
            stalled: Mutex::new(false),
            resumed: Condvar::new(),
            started: Instant::now(),
        });
        for number in first..first + count {
            let (shared, zone) = (shared.clone(), zones[usize::from(number) % zones.len()].to_string());
            let run = move || while run_connection(manager, number, &zone, &shared).is_ok() {};
            let thread = thread::Builder::new().stack_size(STACK_BYTES);
            thread.spawn(run).expect("a thread can be started for each proxy");
        }
        Proxies { shared, count }
    }

    /// The number of proxies.
    pub fn count(&self) -> u16 {
        self.count
    }

    /// Milliseconds since the proxies were started, which is the checker's clock.
    pub fn now_ms(&self) -> f64 {
        self.shared.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Calls a function with the checker, while no proxy records a message.
    pub fn with_checker<R>(&self, access: impl FnOnce(&mut RuleChecker) -> R) -> R {
        access(&mut self.shared.received.lock().expect("no proxy panics").checker)
    }

    /// Stalls the proxies, which then neither read nor acknowledge, or lets them continue.
    pub fn set_stalled(&self, stalled: bool) {
        *self.shared.stalled.lock().expect("no proxy panics") = stalled;
        self.shared.resumed.notify_all();
    }

    /// Waits until a condition on the checker is satisfied; `what` describes it. Panics after `WAIT_TIMEOUT`.
    pub fn wait_until(&self, what: &str, mut condition: impl FnMut(&RuleChecker) -> bool) {
        let mut received = self.shared.received.lock().expect("no proxy panics");
        let start = Instant::now();
        while !condition(&received.checker) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
            received = self
                .shared
                .message_recorded
                .wait_timeout(received, POLL_INTERVAL)
                .expect("no proxy panics")
                .0;
        }
    }

    /// The number of messages received so far by all proxies.
    pub fn message_count(&self) -> u64 {
        self.shared.received.lock().expect("no proxy panics").message_count
    }
}

/// Runs one connection of a proxy until it ends. An error means that the proxy should not connect again.
fn run_connection(manager: SocketAddr, number: u16, zone: &str, shared: &Shared) -> std::io::Result<()> {
    let Ok(mut socket) = TcpStream::connect(manager) else {
        thread::sleep(RECONNECT_DELAY);
        return match shared.started.elapsed() < RECONNECT_LIMIT {
            true => Ok(()),
            false => Err(std::io::ErrorKind::TimedOut.into()),
        };
    };
    socket.set_nodelay(true)?;
    shared.received.lock().expect("no proxy panics").checker.proxy_connected(number);
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
        let continues = line.split(' ').any(|word| word == "more=1");
        parts.push(line);
        if continues {
            continue;
        }
        let now_ms = shared.started.elapsed().as_secs_f64() * 1000.0;
        let mark =
            parts.iter().flat_map(|part| part.split(' ')).find_map(|word| word.strip_prefix("ticket="));
        let mark = mark.map(str::to_string);
        let mut received = shared.received.lock().expect("no proxy panics");
        received.checker.record_message(number, &parts, now_ms);
        received.message_count += 1;
        if let Some(mark) = &mark {
            received.checker.record_acknowledgement(number, mark);
        }
        drop(received);
        shared.message_recorded.notify_all();
        parts.clear();
        if let Some(mark) = mark {
            if write!(socket, "ack node={number} nonce={mark} latency=1.0\r\n").is_err() {
                break;
            }
        }
    }
    shared.received.lock().expect("no proxy panics").checker.proxy_disconnected(number);
    Ok(())
}
