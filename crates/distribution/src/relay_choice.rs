//! Which relay a subscriber watches, which one is next when that fails, and how long it waits in between.
//!
//! Every subscriber has an order of preference of its own, by rendezvous hashing of its name with each relay's
//! address: subscribers spread evenly over the relays, and when a relay dies only its own subscribers move, again
//! evenly over all others. No relay needs to know of another, and nobody hands out places.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The wait before the second relay of a round, and before every relay that follows one that was merely behind.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// The longest wait between two relays of a round. It bounds the dials of a whole fleet that lost every relay.
const LONGEST_WAIT_IN_ROUND: Duration = Duration::from_secs(1);
/// The wait after the first round without success; it doubles with each further one.
const FIRST_WAIT_BETWEEN_ROUNDS: Duration = Duration::from_secs(1);
/// The longest wait between two rounds.
const LONGEST_WAIT_BETWEEN_ROUNDS: Duration = Duration::from_secs(8);

/// Why a relay is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// It could not be reached, or its watch broke.
    Broken,
    /// It serves, but an older version than the one held.
    Behind,
}

/// How far a subscriber has come in asking every relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// There are relays that it has not asked yet.
    InProgress,
    /// It has asked every relay, and none served.
    Exhausted,
    /// It has asked every relay, and every one was behind, so that the source itself has begun anew: the whole list is
    /// to be asked for, and taken whatever its version is.
    AllBehind,
}

/// When, and how, the next relay is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// How long to wait before.
    pub wait: Duration,
    /// Whether there are relays left to ask before.
    pub round: Round,
}

/// The relays of one subscriber in its order of preference, and where in it the subscriber is.
#[derive(Clone, Debug)]
pub struct RelayChoice {
    /// Never empty.
    order: Vec<SocketAddr>,
    current: usize,
    /// Relays that failed since the last success, in this round.
    failed: usize,
    /// Of these, how many were behind.
    behind: usize,
    /// Whole rounds since the last success.
    rounds: u32,
}

impl RelayChoice {
    /// The order of preference of the subscriber of this name; `None` without a relay.
    pub fn new(subscriber: &str, relays: impl IntoIterator<Item = SocketAddr>) -> Option<RelayChoice> {
        let mut order: Vec<SocketAddr> = relays.into_iter().collect();
        // By the address as well: two equal scores must not make the order depend on that of the file.
        order.sort_by_cached_key(|relay| std::cmp::Reverse((score(subscriber, *relay), *relay)));
        order.dedup();
        (!order.is_empty()).then_some(RelayChoice { order, current: 0, failed: 0, behind: 0, rounds: 0 })
    }

    /// The relay to ask.
    pub fn current(&self) -> SocketAddr {
        self.order[self.current]
    }

    /// The current relay serves: a round begins with it.
    pub fn record_success(&mut self) {
        (self.failed, self.behind, self.rounds) = (0, 0, 0);
    }

    /// The current relay failed: the next one is current from now on.
    pub fn record_failure(&mut self, failure: RelayFailure, rng: &mut fastrand::Rng) -> Retry {
        self.current = (self.current + 1) % self.order.len();
        self.failed += 1;
        self.behind += usize::from(failure == RelayFailure::Behind);
        let (wait, round) = if self.failed < self.order.len() {
            (self.wait_in_round(failure), Round::InProgress)
        } else {
            self.end_round()
        };
        Retry { wait: jittered(wait, rng), round }
    }

    fn wait_in_round(&self, failure: RelayFailure) -> Duration {
        match failure {
            // It works, so that the next may soon be asked the same short question.
            RelayFailure::Behind => FIRST_WAIT,
            RelayFailure::Broken => doubled(FIRST_WAIT, self.failed as u32 - 1, LONGEST_WAIT_IN_ROUND),
        }
    }

    fn end_round(&mut self) -> (Duration, Round) {
        let all_behind = self.behind == self.order.len();
        (self.failed, self.behind) = (0, 0);
        if all_behind {
            self.rounds = 0;
            return (FIRST_WAIT, Round::AllBehind);
        }
        let wait = doubled(FIRST_WAIT_BETWEEN_ROUNDS, self.rounds, LONGEST_WAIT_BETWEEN_ROUNDS);
        self.rounds = self.rounds.saturating_add(1);
        (wait, Round::Exhausted)
    }
}

/// How much a subscriber prefers a relay. It must not change from one build to the next: a fleet is restarted in parts.
fn score(subscriber: &str, relay: SocketAddr) -> u64 {
    // No name holds a zero byte, so that two different pairs never read alike.
    xxh3_64(format!("{subscriber}\0{relay}").as_bytes())
}

fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    first.saturating_mul(2u32.saturating_pow(times)).min(longest)
}

/// Anywhere from half of it to one and a half, so that subscribers that failed together come apart.
fn jittered(wait: Duration, rng: &mut fastrand::Rng) -> Duration {
    wait.mul_f64(0.5 + rng.f64())
}
