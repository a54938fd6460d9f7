//! Which relay a subscriber watches, which one is next when that relay fails, and how long to wait before trying it.
//!
//! Every subscriber has an order of preference of its own, by rendezvous hashing of its name with each relay's
//! address: subscribers spread evenly over the relays, and when a relay fails only its own subscribers move, again
//! evenly over all others. Relays need no knowledge of each other, and no coordinator assigns subscribers.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The wait before the second relay of a round, and after every relay that was only behind.
const MIN_WAIT_IN_ROUND: Duration = Duration::from_millis(50);
/// Maximum wait between two relays of a round, before jitter. While every relay is down, it determines the rate at
/// which a whole fleet dials.
const MAX_WAIT_IN_ROUND: Duration = Duration::from_secs(1);
/// The wait after the first unsuccessful round; it doubles with each further one.
const MIN_WAIT_BETWEEN_ROUNDS: Duration = Duration::from_secs(1);
/// Maximum wait between two rounds, before jitter.
const MAX_WAIT_BETWEEN_ROUNDS: Duration = Duration::from_secs(8);

/// Why a watch of a relay failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// The relay could not be reached, or the watch broke.
    Broken,
    /// The relay serves an older version than the subscriber's current one.
    Behind,
}

/// The state of a round, in which a subscriber tries every relay once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// Some relays have not been tried yet.
    InProgress,
    /// Every relay has failed.
    Exhausted,
    /// Every relay was behind, so the source itself has restarted its versions: the subscriber has to request the full
    /// list and to accept any version.
    AllBehind,
}

/// When and how to try the next relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The wait before the next relay is tried.
    pub wait: Duration,
    /// The state of the round after this failure.
    pub round: Round,
}

/// The relays of one subscriber in its order of preference, and the one it currently uses.
#[derive(Clone, Debug)]
pub struct RelayChoice {
    /// Not empty.
    order: Vec<SocketAddr>,
    current: usize,
    /// Relays that failed in this round.
    failed_count: usize,
    /// The number of these that were behind.
    behind_count: usize,
    /// Consecutive exhausted rounds.
    failed_rounds: u32,
}

impl RelayChoice {
    /// The order of preference of the subscriber with this name; `None` if there are no relays.
    pub fn new(subscriber: &str, relays: impl IntoIterator<Item = SocketAddr>) -> Option<RelayChoice> {
        let mut order: Vec<SocketAddr> = relays.into_iter().collect();
        // Equal scores are ordered by address, so that the result does not depend on the order of the arguments.
        order.sort_by_cached_key(|relay| std::cmp::Reverse((score(subscriber, *relay), *relay)));
        order.dedup();
        (!order.is_empty()).then_some(RelayChoice {
            order,
            current: 0,
            failed_count: 0,
            behind_count: 0,
            failed_rounds: 0,
        })
    }

    /// The relay to use.
    pub fn current(&self) -> SocketAddr {
        self.order[self.current]
    }

    /// Records that the current relay works. The next round begins with it.
    pub fn record_success(&mut self) {
        (self.failed_count, self.behind_count, self.failed_rounds) = (0, 0, 0);
    }

    /// Records that the current relay failed, and makes the next one current.
    pub fn record_failure(&mut self, failure: RelayFailure, rng: &mut fastrand::Rng) -> Retry {
        self.current = (self.current + 1) % self.order.len();
        self.failed_count += 1;
        self.behind_count += usize::from(failure == RelayFailure::Behind);
        let (wait, round) = if self.failed_count < self.order.len() {
            (self.wait_in_round(failure), Round::InProgress)
        } else {
            self.end_round()
        };
        Retry { wait: with_jitter(wait, rng), round }
    }

    fn wait_in_round(&self, failure: RelayFailure) -> Duration {
        match failure {
            // The relay works, and comparing versions with the next one costs little.
            RelayFailure::Behind => MIN_WAIT_IN_ROUND,
            RelayFailure::Broken => {
                backoff(MIN_WAIT_IN_ROUND, self.failed_count as u32 - 1, MAX_WAIT_IN_ROUND)
            }
        }
    }

    fn end_round(&mut self) -> (Duration, Round) {
        let all_behind = self.behind_count == self.order.len();
        (self.failed_count, self.behind_count) = (0, 0);
        if all_behind {
            self.failed_rounds = 0;
            return (MIN_WAIT_IN_ROUND, Round::AllBehind);
        }
        let wait = backoff(MIN_WAIT_BETWEEN_ROUNDS, self.failed_rounds, MAX_WAIT_BETWEEN_ROUNDS);
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        (wait, Round::Exhausted)
    }
}

/// How much a subscriber prefers a relay. The hash must be the same in every build, because a fleet is upgraded in
/// parts.
fn score(subscriber: &str, relay: SocketAddr) -> u64 {
    // The names do not contain NUL, so different pairs never give the same text.
    xxh3_64(format!("{subscriber}\0{relay}").as_bytes())
}

fn backoff(min: Duration, doublings: u32, max: Duration) -> Duration {
    min.saturating_mul(2u32.saturating_pow(doublings)).min(max)
}

/// A random duration between 0.5 and 1.5 times the wait, so that subscribers that failed together do not retry
/// together.
fn with_jitter(wait: Duration, rng: &mut fastrand::Rng) -> Duration {
    wait.mul_f64(0.5 + rng.f64())
}
