//! Whom the list of workers is taken from, and how long to wait before it is asked for again.

use std::net::SocketAddr;
use std::time::Duration;

use juniperrail_distribution::{RelayChoice, RelayFailure, Retry, Round};
use tokio::sync::watch;

use crate::discovery::HEARTBEAT;

/// The wait after the first list that was too large; it doubles with each further one.
const FIRST_WAIT_TOO_LARGE: Duration = Duration::from_secs(3);
/// The longest wait after a list that was too large.
const LONGEST_WAIT_TOO_LARGE: Duration = Duration::from_secs(300);

/// The other end of the watch.
pub enum Upstream {
    /// The agent on this machine, wherever it is at the moment.
    Agent { address: watch::Receiver<SocketAddr>, failures: u32 },
    /// One of several relays.
    Relays(RelayChoice),
}

impl Upstream {
    /// The relays if there are any, else the agent.
    pub fn new(subscriber: &str, relays: &[SocketAddr], agent: watch::Receiver<SocketAddr>) -> Upstream {
        match RelayChoice::new(subscriber, relays.iter().copied()) {
            Some(relays) => Upstream::Relays(relays),
            None => Upstream::Agent { address: agent, failures: 0 },
        }
    }

    /// Whether it is a relay.
    pub fn is_relay(&self) -> bool {
        matches!(self, Upstream::Relays(_))
    }

    /// Where to dial.
    pub fn address(&mut self) -> SocketAddr {
        match self {
            Upstream::Agent { address, .. } => *address.borrow_and_update(),
            Upstream::Relays(relays) => relays.current(),
        }
    }

    /// Ends once the agent has another address; never where nobody can tell one any more.
    pub async fn moved(&mut self) {
        if let Upstream::Agent { address, failures } = self {
            if address.changed().await.is_ok() {
                *failures = 0;
                return;
            }
        }
        std::future::pending().await
    }

    /// A watch has ended. `served`: whether it brought anything until then.
    pub fn ended(&mut self, failure: RelayFailure, served: bool, rng: &mut fastrand::Rng) -> Retry {
        match self {
            Upstream::Agent { failures, .. } => {
                let behind = failure == RelayFailure::Behind;
                *failures = if served || behind { 0 } else { failures.saturating_add(1) };
                // From a 32nd of a heartbeat on, doubling up to one, apart from other managers.
                let wait = HEARTBEAT.mul_f64(0.5 + rng.f64()) / (32 >> (*failures).min(5));
                Retry { wait, round: if behind { Round::AllBehind } else { Round::UnderWay } }
            }
            Upstream::Relays(relays) => {
                if served {
                    relays.succeeded();
                }
                relays.failed(failure, rng)
            }
        }
    }
}

/// The wait after the list was too large so many times before, apart from other managers.
pub fn wait_too_large(times: u32, rng: &mut fastrand::Rng) -> Duration {
    let wait = FIRST_WAIT_TOO_LARGE.saturating_mul(2u32.saturating_pow(times));
    // Less than a doubling, so that each wait is longer than the one before.
    wait.min(LONGEST_WAIT_TOO_LARGE).mul_f64(0.75 + rng.f64() / 2.0)
}
