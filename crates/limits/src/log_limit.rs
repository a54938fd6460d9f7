//! Rate limit on log lines about events that peers cause: at most one line of each kind in every interval.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two lines about one kind of event.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits the log lines about one kind of event.
#[derive(Debug, Default)]
pub struct LogLimit {
    suppressed_until: Cell<Option<Instant>>,
    suppressed_count: Cell<usize>,
}

impl LogLimit {
    /// `None` if this event must not be logged; otherwise the number of events suppressed since the last logged one.
    pub fn admit(&self) -> Option<usize> {
        let now = Instant::now();
        if self.suppressed_until.get().is_some_and(|until| now < until) {
            self.suppressed_count.set(self.suppressed_count.get() + 1);
            return None;
        }
        self.suppressed_until.set(Some(now + MIN_LOG_INTERVAL));
        Some(self.suppressed_count.take())
    }
}
