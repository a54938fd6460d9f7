//! Hollow subscribers of a relay: hollow managers, of which nothing is left but the watch.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::watch::{Broken, Watch};
use super::Traffic;

/// A manager waits so long, on average, before it first dials again.
const REDIAL: Duration = Duration::from_millis(62);

/// An entry with a start time came to a subscriber; changes that are timed carry one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub subscriber: usize,
    pub started_at_ms: u64,
    pub at: Instant,
}

#[derive(Default)]
struct Shared {
    arrivals: Mutex<Vec<Arrival>>,
    /// Subscribers that have a list on an open watch.
    listed: AtomicUsize,
    /// Of these, the ones at the first of their sources.
    listed_at_first: AtomicUsize,
    /// When the last subscriber got a line on a new watch.
    last_listed: Mutex<Option<Instant>>,
    traffic: Traffic,
}

/// What a panic of another task left is still sound: each holder of a lock writes a whole value.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Watches with one scope each, until they are dropped.
pub struct Subscribers {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Subscribers {
    /// One watch for each query, each at the first of the sources that answers.
    pub fn start(sources: &[SocketAddr], queries: impl IntoIterator<Item = String>) -> Subscribers {
        let shared = Arc::<Shared>::default();
        let mut tasks = JoinSet::new();
        for (number, query) in queries.into_iter().enumerate() {
            let sources = sources.to_vec();
            let subscriber = Subscriber { number, sources, query, held: None, shared: shared.clone() };
            tasks.spawn(subscriber.run());
        }
        Subscribers { shared, _tasks: tasks }
    }

    /// The bytes of the answers' bodies.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// How many have a list on an open watch.
    pub fn listed(&self) -> usize {
        self.shared.listed.load(Ordering::Relaxed)
    }

    /// How many of these are at the first of their sources.
    pub fn listed_at_first(&self) -> usize {
        self.shared.listed_at_first.load(Ordering::Relaxed)
    }

    /// When the last one got the first line of a new watch.
    pub fn last_listed(&self) -> Option<Instant> {
        *lock(&self.shared.last_listed)
    }

    /// The timed changes that arrived since the last call.
    pub fn take_arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut lock(&self.shared.arrivals))
    }
}

struct Subscriber {
    number: usize,
    sources: Vec<SocketAddr>,
    query: String,
    held: Option<u64>,
    shared: Arc<Shared>,
}

impl Subscriber {
    async fn run(mut self) {
        for attempt in 0.. {
            let place = attempt % self.sources.len();
            let mut listed = false;
            let Err(Broken) = self.follow(place, &mut listed).await;
            if listed {
                self.shared.listed.fetch_sub(1, Ordering::Relaxed);
            }
            if listed && place == 0 {
                self.shared.listed_at_first.fetch_sub(1, Ordering::Relaxed);
            }
            sleep(REDIAL.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    async fn follow(&mut self, place: usize, listed: &mut bool) -> Result<std::convert::Infallible, Broken> {
        let index = self.held.map(|held| format!("&index={held}")).unwrap_or_default();
        let mut watch = Watch::open(self.sources[place], &format!("{index}{}", self.query)).await?;
        loop {
            let line = watch.next().await?;
            let at = Instant::now();
            self.shared.traffic.add_received(watch.take_received());
            self.held = Some(line.generation);
            if !std::mem::replace(listed, true) {
                self.shared.listed.fetch_add(1, Ordering::Relaxed);
                if place == 0 {
                    self.shared.listed_at_first.fetch_add(1, Ordering::Relaxed);
                }
                *lock(&self.shared.last_listed) = Some(at);
            }
            let timed = line.instances.iter().filter(|entry| entry.started_at_ms > 0);
            let arrival = |started_at_ms| Arrival { subscriber: self.number, started_at_ms, at };
            let arrivals = timed.map(|entry| arrival(entry.started_at_ms));
            lock(&self.shared.arrivals).extend(arrivals);
        }
    }
}
