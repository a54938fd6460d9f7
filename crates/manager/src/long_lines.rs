//! Limits how many connections hold a long line in memory at a time. The others wait, with their bytes in the kernel's
//! buffers. A connection that keeps others waiting has to receive its line without long pauses.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, Instant};

/// The longest pause between two reads of a long line while others wait.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// The longest time for which a connection holds a permit while others wait.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// The permits for long lines, which are granted in the order of the requests.
pub struct LongLineLimiter {
    permits: Arc<Semaphore>,
    waiting: Cell<usize>,
    wait_started: Notify,
}

impl LongLineLimiter {
    /// A limiter for this many long lines at a time.
    pub fn new(max_lines: usize) -> LongLineLimiter {
        let permits = Arc::new(Semaphore::new(max_lines));
        LongLineLimiter { permits, waiting: Cell::new(0), wait_started: Notify::new() }
    }

    /// Waits for a permit.
    pub async fn acquire(self: Rc<Self>) -> LongLinePermit {
        let waiting = Waiting::new(&self);
        // The semaphore is never closed.
        let permit = self.permits.clone().acquire_owned().await.ok();
        drop(waiting);
        let now = Instant::now();
        LongLinePermit { limiter: self, _permit: permit, granted_at: now, last_read_at: now }
    }

    async fn wait_for_others(&self) {
        while self.waiting.get() == 0 {
            self.wait_started.notified().await;
        }
    }
}

/// Counts a connection that waits, until it is dropped.
struct Waiting<'a>(&'a LongLineLimiter);

impl Waiting<'_> {
    fn new(limiter: &LongLineLimiter) -> Waiting<'_> {
        limiter.waiting.set(limiter.waiting.get() + 1);
        limiter.wait_started.notify_waiters();
        Waiting(limiter)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Allows one connection to hold a long line. Dropping it lets the next connection have one.
pub struct LongLinePermit {
    limiter: Rc<LongLineLimiter>,
    _permit: Option<OwnedSemaphorePermit>,
    granted_at: Instant,
    last_read_at: Instant,
}

impl LongLinePermit {
    /// Records that bytes were read. Returns false if the connection has kept others waiting for too long.
    pub fn record_read(&mut self) -> bool {
        self.last_read_at = Instant::now();
        self.limiter.waiting.get() == 0 || self.granted_at.elapsed() <= MAX_HOLD
    }

    /// Waits until nothing was read for too long while others wait.
    pub async fn stalled(&self) {
        sleep_until(self.last_read_at + MAX_PAUSE).await;
        self.limiter.wait_for_others().await;
    }
}

#[cfg(test)]
mod tests;
