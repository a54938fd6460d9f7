//! Limits on what peers cost: how many connections hold a long message in memory at a time. The others wait, with their bytes in the
//! kernel's buffers. A connection that keeps others waiting has to receive its message without long pauses.

mod log_limit;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, Instant};

pub use log_limit::LogLimit;

/// How long a connection may take for a long message while others wait.
#[derive(Clone, Copy, Debug)]
pub struct HoldLimits {
    /// The longest pause between two reads.
    pub max_pause: Duration,
    /// The longest time from the permit to the last read.
    pub max_hold: Duration,
}

/// The permits for long messages, which are granted in the order of the requests.
pub struct LongMessageLimiter {
    permits: Arc<Semaphore>,
    limits: HoldLimits,
    waiting: AtomicUsize,
    wait_started: Notify,
}

impl LongMessageLimiter {
    /// A limiter for this many long messages at a time.
    pub fn new(max_messages: usize, limits: HoldLimits) -> Arc<LongMessageLimiter> {
        let permits = Arc::new(Semaphore::new(max_messages));
        let (waiting, wait_started) = Default::default();
        Arc::new(LongMessageLimiter { permits, limits, waiting, wait_started })
    }

    /// Waits for a permit.
    pub async fn acquire(self: Arc<Self>) -> LongMessagePermit {
        let waiting = Waiting::new(&self);
        // The semaphore is never closed.
        let permit = self.permits.clone().acquire_owned().await.ok();
        drop(waiting);
        let now = Instant::now();
        LongMessagePermit { limiter: self, _permit: permit, granted_at: now, last_read_at: now }
    }

    fn has_waiting(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }

    async fn wait_for_others(&self) {
        loop {
            let wait_started = self.wait_started.notified();
            if self.has_waiting() {
                return;
            }
            wait_started.await;
        }
    }
}

/// Counts a connection that waits, until it is dropped.
struct Waiting<'a>(&'a LongMessageLimiter);

impl Waiting<'_> {
    fn new(limiter: &LongMessageLimiter) -> Waiting<'_> {
        limiter.waiting.fetch_add(1, Ordering::SeqCst);
        limiter.wait_started.notify_waiters();
        Waiting(limiter)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Allows one connection to hold a long message. Dropping it lets the next connection have one.
pub struct LongMessagePermit {
    limiter: Arc<LongMessageLimiter>,
    _permit: Option<OwnedSemaphorePermit>,
    granted_at: Instant,
    last_read_at: Instant,
}

impl LongMessagePermit {
    /// Records that bytes were read. Returns false if the connection has kept others waiting for too long.
    pub fn record_read(&mut self) -> bool {
        self.last_read_at = Instant::now();
        !self.limiter.has_waiting() || self.granted_at.elapsed() <= self.limiter.limits.max_hold
    }

    /// Waits until nothing was read for too long while others wait.
    pub async fn stalled(&self) {
        sleep_until(self.last_read_at + self.limiter.limits.max_pause).await;
        self.limiter.wait_for_others().await;
    }
}
