//! Simulated subscribers of a relay: managers reduced to their watch of the list.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::watch::{Watch, WatchEnded};
use super::Traffic;

/// The mean time that a manager waits before its first attempt to reconnect.
const MEAN_RECONNECT_DELAY: Duration = Duration::from_millis(62);

/// The arrival of an entry with a start time at a subscriber. Only timed changes carry a start time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The number of the subscriber.
    pub subscriber: usize,
    /// The start time in the entry.
    pub started_at_ms: u64,
    /// The time of the arrival.
    pub arrived_at: Instant,
}

#[derive(Default)]
struct Shared {
    arrivals: Mutex<Vec<Arrival>>,
    /// The number of subscribers that have received a list on an open watch.
    with_list: AtomicUsize,
    /// The number of those that watch the first of their sources.
    with_list_from_first_source: AtomicUsize,
    /// The latest time at which a subscriber received the first line of a watch.
    last_first_line: Mutex<Option<Instant>>,
    traffic: Traffic,
}

/// Locks a mutex even if it is poisoned. The value is consistent, since each holder writes it in one step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Subscribers with one watch and one scope each, until they are dropped.
pub struct Subscribers {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Subscribers {
    /// Starts a subscriber for each query. Each watches the first source, and the next one in turn when a watch ends.
    pub fn start(sources: &[SocketAddr], queries: impl IntoIterator<Item = String>) -> Subscribers {
        let shared = Arc::<Shared>::default();
        let mut tasks = JoinSet::new();
        for (number, query) in queries.into_iter().enumerate() {
            let sources = sources.to_vec();
            let subscriber = Subscriber { number, sources, query, generation: None, shared: shared.clone() };
            tasks.spawn(subscriber.run());
        }
        Subscribers { shared, _tasks: tasks }
    }

    /// The bytes of the response bodies, of all subscribers.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// The number of subscribers that have received a list on an open watch.
    pub fn with_list(&self) -> usize {
        self.shared.with_list.load(Ordering::Relaxed)
    }

    /// The number of those that watch the first of their sources.
    pub fn with_list_from_first_source(&self) -> usize {
        self.shared.with_list_from_first_source.load(Ordering::Relaxed)
    }

    /// The latest time at which a subscriber received the first line of a watch.
    pub fn last_first_line(&self) -> Option<Instant> {
        *lock(&self.shared.last_first_line)
    }

    /// The arrivals of timed changes since the last call.
    pub fn take_arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut lock(&self.shared.arrivals))
    }
}

struct Subscriber {
    number: usize,
    sources: Vec<SocketAddr>,
    query: String,
    /// The generation of the last line, from which the next watch resumes.
    generation: Option<u64>,
    shared: Arc<Shared>,
}

impl Subscriber {
    async fn run(mut self) {
        for attempt in 0.. {
            let source = attempt % self.sources.len();
            let mut has_list = false;
            let Err(WatchEnded) = self.watch_source(source, &mut has_list).await;
            if has_list {
                self.shared.with_list.fetch_sub(1, Ordering::Relaxed);
            }
            if has_list && source == 0 {
                self.shared.with_list_from_first_source.fetch_sub(1, Ordering::Relaxed);
            }
            sleep(MEAN_RECONNECT_DELAY.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Watches one source until the watch ends. Sets `has_list` on the first line.
    async fn watch_source(
        &mut self,
        source: usize,
        has_list: &mut bool,
    ) -> Result<std::convert::Infallible, WatchEnded> {
        let index = self.generation.map(|generation| format!("&index={generation}")).unwrap_or_default();
        let mut watch = Watch::open(self.sources[source], &format!("{index}{}", self.query)).await?;
        loop {
            let line = watch.next().await?;
            let arrived_at = Instant::now();
            self.shared.traffic.add_received(watch.take_received());
            self.generation = Some(line.generation);
            if !std::mem::replace(has_list, true) {
                self.shared.with_list.fetch_add(1, Ordering::Relaxed);
                if source == 0 {
                    self.shared.with_list_from_first_source.fetch_add(1, Ordering::Relaxed);
                }
                *lock(&self.shared.last_first_line) = Some(arrived_at);
            }
            let timed = line.instances.iter().filter(|entry| entry.started_at_ms > 0);
            let arrival = |started_at_ms| Arrival { subscriber: self.number, started_at_ms, arrived_at };
            let arrivals = timed.map(|entry| arrival(entry.started_at_ms));
            lock(&self.shared.arrivals).extend(arrivals);
        }
    }
}
