//! Simulated proxies: each joins a manager and acknowledges every mark, but keeps no table.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Fleet, Traffic};

const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The number of proxies that connect at a time, small enough that the manager's accept queue does not overflow.
const BATCH_SIZE: usize = 64;
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The proxies' acknowledgements of orders that take a worker out of use.
#[derive(Default)]
struct Drain {
    /// The worker whose drain is expected, if any.
    worker: Option<String>,
    /// The number of acknowledgements.
    acknowledged: usize,
    /// The time of the last acknowledgement.
    last_acknowledged: Option<Instant>,
}

#[derive(Default)]
struct Shared {
    /// The number of joins, including repeated ones.
    joins: AtomicUsize,
    /// The number of proxies that have received an order since they last joined.
    with_order: AtomicUsize,
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
    /// Starts `count` proxies, spread over the zones.
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

    /// The bytes of all proxies.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// The number of proxies that have received an order since they last joined.
    pub fn with_order(&self) -> usize {
        self.shared.with_order.load(Ordering::Relaxed)
    }

    /// The number of joins, including repeated ones.
    pub fn joins(&self) -> usize {
        self.shared.joins.load(Ordering::Relaxed)
    }

    /// Starts to count the acknowledgements of orders that take this worker out of use.
    pub fn expect_drain(&self, worker: &str) {
        *self.shared.drain() = Drain { worker: Some(worker.into()), ..Drain::default() };
    }

    /// The number of acknowledgements of orders that take the expected worker out of use, and the time of the last one.
    pub fn drain_acknowledgements(&self) -> (usize, Option<Instant>) {
        let drain = self.shared.drain();
        (drain.acknowledged, drain.last_acknowledged)
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
        sleep(BATCH_INTERVAL * (self.number / BATCH_SIZE) as u32).await;
        loop {
            // A proxy reconnects after any error.
            let mut has_order = false;
            _ = self.run_stream(&mut has_order).await;
            if has_order {
                self.shared.with_order.fetch_sub(1, Ordering::Relaxed);
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Joins the manager and acknowledges orders until the connection ends. Sets `has_order` on the first complete
    /// order.
    async fn run_stream(&self, has_order: &mut bool) -> std::io::Result<()> {
        let socket = TcpStream::connect(self.manager).await?;
        socket.set_nodelay(true)?;
        let (read, mut write) = socket.into_split();
        let hello = format!("hello node={} locality={} w=20 cold=1\r\n", self.number, self.zone);
        write.write_all(hello.as_bytes()).await?;
        self.shared.traffic.add_sent(hello.len());
        self.shared.joins.fetch_add(1, Ordering::Relaxed);
        let (mut read, mut line) = (BufReader::with_capacity(1024, read), Vec::new());
        // Whether the order that is being read takes the expected worker out of use.
        let mut is_drain = false;
        loop {
            line.clear();
            let count = read.read_until(b'\n', &mut line).await?;
            self.shared.traffic.add_received(count);
            if count == 0 {
                return Ok(());
            }
            // The buffer of a long order is released, since thousands of proxies share this process.
            line.shrink_to(1024);
            let order = String::from_utf8_lossy(&line);
            let order = Order::parse(order.trim_end());
            is_drain |= self.drains_expected_worker(&order);
            if order.more {
                continue;
            }
            if !std::mem::replace(has_order, true) {
                self.shared.with_order.fetch_add(1, Ordering::Relaxed);
            }
            if let Some(mark) = order.mark {
                let acknowledgement = format!("ack node={} nonce={mark} latency=1.0\r\n", self.number);
                write.write_all(acknowledgement.as_bytes()).await?;
                self.shared.traffic.add_sent(acknowledgement.len());
            }
            if std::mem::take(&mut is_drain) {
                let mut drain = self.shared.drain();
                drain.acknowledged += 1;
                drain.last_acknowledged = Some(Instant::now());
            }
        }
    }

    fn drains_expected_worker(&self, order: &Order) -> bool {
        let drain = self.shared.drain();
        drain.worker.as_ref().is_some_and(|worker| order.takes_out_of_use(worker))
    }
}

/// The fields of an order that a simulated proxy reads.
#[derive(Default)]
struct Order<'a> {
    /// Whether another part of the order follows.
    more: bool,
    /// The mark to acknowledge, if the order has one.
    mark: Option<&'a str>,
    /// The lines of the table that the order sets, separated by commas.
    lines: &'a str,
    /// The excluded workers, separated by commas.
    out: &'a str,
}

impl<'a> Order<'a> {
    fn parse(line: &'a str) -> Order<'a> {
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

    /// Whether the order excludes the worker or removes its line by a weight of 0.
    fn takes_out_of_use(&self, worker: &str) -> bool {
        let removes_worker = |line: &str| {
            line.split_once(':').is_some_and(|(name, weight)| name == worker && weight.parse() == Ok(0.0))
        };
        self.out.split(',').any(|out| out == worker) || self.lines.split(',').any(removes_worker)
    }
}
