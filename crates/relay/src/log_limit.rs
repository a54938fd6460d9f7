//! Log lines about what strangers cause, at most one of a kind in a period.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(10);

/// Whether one kind of event may be logged.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    silent_until: Cell<Option<Instant>>,
    left_out: Cell<usize>,
}

impl LogLimit {
    /// `Some` if this event is to be logged, with how many were not since the last that was.
    pub fn admit(&self) -> Option<usize> {
        let now = Instant::now();
        if self.silent_until.get().is_some_and(|until| now < until) {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.silent_until.set(Some(now + PERIOD));
        Some(self.left_out.take())
    }
}
