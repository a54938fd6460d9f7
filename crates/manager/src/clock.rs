//! The clock of a manager.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniperrail_interface::Ms;
use tokio::time::Instant;

/// The Unix time at the start plus the monotonic time since then, which is comparable with the clocks of other machines
/// and never goes backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Ms,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let unix_at_start =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix_at_start, started: Instant::now() }
    }

    /// The current Unix time.
    pub fn now(&self) -> Ms {
        self.unix_at_start + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The monotonic instant of a Unix time; times before the start give the start.
    pub fn instant(&self, unix_time: Ms) -> Instant {
        self.started + Duration::from_secs_f64(((unix_time - self.unix_at_start) / 1000.0).max(0.0))
    }
}
