//! The time as the decisions have it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniperrail_interface::Ms;
use tokio::time::Instant;

/// Unix time at the start and monotonic time since, so that it compares with others' and never runs back.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Ms,
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix, started: Instant::now() }
    }

    pub fn now(&self) -> Ms {
        self.unix + self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn instant(&self, at: Ms) -> Instant {
        self.started + Duration::from_secs_f64(((at - self.unix) / 1000.0).max(0.0))
    }
}
