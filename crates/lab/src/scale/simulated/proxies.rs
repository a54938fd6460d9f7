//! Hollow proxies: each joins a manager, answers every mark, and keeps no table.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Fleet, Traffic};

const REDIAL: Duration = Duration::from_millis(100);
/// So many dial at once, so that the manager's queue of connections never overflows.
const TOGETHER: usize = 64;
const BETWEEN_BATCHES: Duration = Duration::from_millis(20);

/// Which proxies took a worker out of use, as it is waited for.
#[derive(Default)]
struct Drain {
    worker: Option<String>,
    /// The proxies that answered the order, and when the last of them did.
    answered: usize,
    last: Option<Instant>,
}

#[derive(Default)]
struct Shared {
    joins: AtomicUsize,
    /// Proxies that were given an order since they last joined.
    ordered: AtomicUsize,
    drain: Mutex<Drain>,
    traffic: Traffic,
}

impl Shared {
    fn drain(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The proxies of one manager, until they are dropped.
pub struct Proxies {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Proxies {
    /// `count` proxies join, spread over the zones.
    pub fn join(manager: SocketAddr, count: usize, zones: usize) -> Proxies {
        let shared = Arc::<Shared>::default();
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let proxy =
                Proxy { manager, number, zone: Fleet::zone_name(number % zones), shared: shared.clone() };
            tasks.spawn(proxy.run());
        }
        Proxies { shared, _tasks: tasks }
    }

    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// How many were given an order since they joined.
    pub fn ordered(&self) -> usize {
        self.shared.ordered.load(Ordering::Relaxed)
    }

    /// How often a proxy joined, also again.
    pub fn joins(&self) -> usize {
        self.shared.joins.load(Ordering::Relaxed)
    }

    /// From now on, the orders that take this worker out of use are counted.
    pub fn await_drain(&self, worker: &str) {
        *self.shared.drain() = Drain { worker: Some(worker.into()), ..Drain::default() };
    }

    /// How many proxies answered an order that takes the worker out of use, and when the last one did.
    pub fn drained(&self) -> (usize, Option<Instant>) {
        let drain = self.shared.drain();
        (drain.answered, drain.last)
    }
}

struct Proxy {
    manager: SocketAddr,
    number: usize,
    zone: String,
    shared: Arc<Shared>,
}

impl Proxy {
    async fn run(self) {
        sleep(BETWEEN_BATCHES * (self.number / TOGETHER) as u32).await;
        loop {
            // Whatever ended the stream, a proxy dials again.
            let mut ordered = false;
            _ = self.stream(&mut ordered).await;
            if ordered {
                self.shared.ordered.fetch_sub(1, Ordering::Relaxed);
            }
            sleep(REDIAL).await;
        }
    }

    async fn stream(&self, ordered: &mut bool) -> std::io::Result<()> {
        let socket = TcpStream::connect(self.manager).await?;
        socket.set_nodelay(true)?;
        let (read, mut write) = socket.into_split();
        let hello = format!("hello node={} locality={} w=20 cold=1\r\n", self.number, self.zone);
        write.write_all(hello.as_bytes()).await?;
        self.shared.traffic.add_sent(hello.len());
        self.shared.joins.fetch_add(1, Ordering::Relaxed);
        let (mut read, mut line) = (BufReader::with_capacity(1024, read), Vec::new());
        // Whether the message that is being read takes the awaited worker out of use.
        let mut drains = false;
        loop {
            line.clear();
            let count = read.read_until(b'\n', &mut line).await?;
            self.shared.traffic.add_received(count);
            if count == 0 {
                return Ok(());
            }
            // A long order's room is not kept: thousands share this process.
            line.shrink_to(1024);
            let order = String::from_utf8_lossy(&line);
            let order = Order::read(order.trim_end());
            drains |= self.takes_out(&order);
            if order.more {
                continue;
            }
            if !std::mem::replace(ordered, true) {
                self.shared.ordered.fetch_add(1, Ordering::Relaxed);
            }
            if let Some(mark) = order.mark {
                let answer = format!("ack node={} nonce={mark} latency=1.0\r\n", self.number);
                write.write_all(answer.as_bytes()).await?;
                self.shared.traffic.add_sent(answer.len());
            }
            if std::mem::take(&mut drains) {
                let mut drain = self.shared.drain();
                drain.answered += 1;
                drain.last = Some(Instant::now());
            }
        }
    }

    fn takes_out(&self, order: &Order) -> bool {
        let drain = self.shared.drain();
        drain.worker.as_ref().is_some_and(|worker| order.takes_out(worker))
    }
}

/// What a hollow proxy reads of an order.
#[derive(Default)]
struct Order<'a> {
    more: bool,
    mark: Option<&'a str>,
    lines: &'a str,
    out: &'a str,
}

impl<'a> Order<'a> {
    fn read(line: &'a str) -> Order<'a> {
        let mut order = Order::default();
        for (name, value) in line.split(' ').filter_map(|word| word.split_once('=')) {
            match name {
                "more" => order.more = value == "1",
                "ticket" => order.mark = Some(value),
                "lines" => order.lines = value,
                "out" => order.out = value,
                _ => {}
            }
        }
        order
    }

    /// Whether the worker is shut out, or its line taken away.
    fn takes_out(&self, worker: &str) -> bool {
        let removed = |line: &str| {
            line.split_once(':').is_some_and(|(name, weight)| name == worker && weight.parse() == Ok(0.0))
        };
        self.out.split(',').any(|out| out == worker) || self.lines.split(',').any(removed)
    }
}
