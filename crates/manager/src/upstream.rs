//! The source of the list of workers, and the wait before the next watch.

use std::net::SocketAddr;
use std::time::Duration;

use juniperrail_distribution::{RelayChoice, RelayFailure, Retry, Round};
use tokio::sync::watch;

use crate::discovery::HEARTBEAT_INTERVAL;

/// The wait after the first list that was too large; it doubles with each further one.
const MIN_WAIT_TOO_LARGE: Duration = Duration::from_secs(3);
/// Limit on the wait after a list that was too large.
const MAX_WAIT_TOO_LARGE: Duration = Duration::from_secs(300);

/// The source that the watch follows.
pub enum Upstream {
    /// The agent on this machine, at its current address.
    /// `failures`: consecutive watches that broke without having shown that the agent works.
    Agent { address: watch::Receiver<SocketAddr>, failures: u32 },
    /// One of several relays.
    Relays(RelayChoice),
}

impl Upstream {
    /// The relays if there are any, otherwise the agent.
    pub fn new(subscriber: &str, relays: &[SocketAddr], agent: watch::Receiver<SocketAddr>) -> Upstream {
        match RelayChoice::new(subscriber, relays.iter().copied()) {
            Some(relays) => Upstream::Relays(relays),
            None => Upstream::Agent { address: agent, failures: 0 },
        }
    }

    /// Whether the source is a relay.
    pub fn is_relay(&self) -> bool {
        matches!(self, Upstream::Relays(_))
    }

    /// The address to connect to.
    pub fn address(&mut self) -> SocketAddr {
        match self {
            Upstream::Agent { address, .. } => *address.borrow_and_update(),
            Upstream::Relays(relays) => relays.current(),
        }
    }

    /// Completes once the agent has another address. It never completes if the source is a relay, or once the sender of
    /// new addresses is dropped.
    pub async fn moved(&mut self) {
        if let Upstream::Agent { address, failures } = self {
            if address.changed().await.is_ok() {
                *failures = 0;
                return;
            }
        }
        std::future::pending().await
    }

    /// Records that a watch has ended and returns when to retry. `source_works`: whether the watch has shown that its
    /// source works.
    pub fn record_end(
        &mut self,
        failure: RelayFailure,
        source_works: bool,
        rng: &mut fastrand::Rng,
    ) -> Retry {
        match self {
            Upstream::Agent { failures, .. } => {
                let behind = failure == RelayFailure::Behind;
                *failures = if source_works || behind { 0 } else { failures.saturating_add(1) };
                // Starts at 1/32 of the heartbeat interval and doubles up to the full interval, with jitter so that
                // managers do not retry together.
                let wait = HEARTBEAT_INTERVAL.mul_f64(0.5 + rng.f64()) / (32 >> (*failures).min(5));
                Retry { wait, round: if behind { Round::AllBehind } else { Round::InProgress } }
            }
            Upstream::Relays(relays) => {
                if source_works {
                    relays.record_success();
                }
                relays.record_failure(failure, rng)
            }
        }
    }
}

/// The wait, with jitter, after a list that was too large. `previous` is the number of lists directly before it that
/// were too large as well.
pub fn wait_too_large(previous: u32, rng: &mut fastrand::Rng) -> Duration {
    let wait = MIN_WAIT_TOO_LARGE.saturating_mul(2u32.saturating_pow(previous));
    // The jitter is less than a doubling, so that each wait is longer than the previous one.
    wait.min(MAX_WAIT_TOO_LARGE).mul_f64(0.75 + rng.f64() / 2.0)
}
