//! Which relay each manager of a fleet prefers, and where the managers move when relays fail.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use juniperrail_distribution::{RelayChoice, RelayFailure, Retry, Round};

const RELAYS: u8 = 51;
const MANAGERS: usize = 17_000;

fn relays() -> Vec<SocketAddr> {
    (0..RELAYS).map(|index| SocketAddr::from(([10, 0, 7, index], 7100))).collect()
}

fn choices(relays: &[SocketAddr]) -> Vec<RelayChoice> {
    let choice = |index| RelayChoice::new(&format!("manager-{index}"), relays.iter().copied()).unwrap();
    (0..MANAGERS).map(choice).collect()
}

fn count_by_relay(choices: impl Iterator<Item = SocketAddr>) -> BTreeMap<SocketAddr, usize> {
    let mut counts = BTreeMap::new();
    choices.for_each(|relay| *counts.entry(relay).or_default() += 1);
    counts
}

#[test]
fn managers_spread_evenly_over_the_relays_whatever_the_order_of_the_relays() {
    let relays = relays();
    let counts = count_by_relay(choices(&relays).iter().map(RelayChoice::current));
    // 333 on average; four standard deviations of a uniform distribution are 72.
    assert_eq!(counts.len(), relays.len());
    assert!(counts.values().all(|count| (261..=405).contains(count)), "{counts:?}");
    let reversed: Vec<SocketAddr> = relays.iter().rev().copied().collect();
    let pairs = choices(&relays).into_iter().zip(choices(&reversed));
    assert!(pairs.into_iter().all(|(one, other)| one.current() == other.current()));
}

#[test]
fn the_order_of_preference_is_the_same_in_every_build() {
    let relays: Vec<SocketAddr> = (1..=3).map(|index| SocketAddr::from(([127, 0, 0, index], 7100))).collect();
    let preferred: Vec<SocketAddr> = ["n0", "n1", "n2", "n3"]
        .map(|name| RelayChoice::new(name, relays.iter().copied()).unwrap().current())
        .to_vec();
    assert_eq!(preferred, EXPECTED_INDEXES.map(|index| relays[index]));
}

/// A change of the hash or of the text that is hashed would move a whole fleet to other relays during an upgrade.
const EXPECTED_INDEXES: [usize; 4] = [0, 2, 1, 0];

#[test]
fn a_failed_relay_moves_only_its_own_managers_and_these_spread_evenly() {
    let relays = relays();
    let failed = relays[17];
    let remaining: Vec<SocketAddr> = relays.iter().copied().filter(|relay| *relay != failed).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let mut moved = Vec::new();
    for (mut choice, without) in choices(&relays).into_iter().zip(choices(&remaining)) {
        if choice.current() != failed {
            assert_eq!(choice.current(), without.current(), "the manager of another relay moved");
            continue;
        }
        choice.record_failure(RelayFailure::Broken, &mut rng);
        assert_eq!(
            choice.current(),
            without.current(),
            "the next relay is not the first of the remaining ones"
        );
        moved.push(choice.current());
    }
    let counts = count_by_relay(moved.iter().copied());
    // About 333 over 50 relays: 6.7 on average. Far more at one relay would not be an even spread.
    assert!((261..=405).contains(&moved.len()), "{}", moved.len());
    assert!(counts.len() >= 45 && counts.values().all(|count| *count <= 18), "{counts:?}");
}

#[test]
fn a_round_tries_every_relay_once_and_the_next_begins_with_the_first() {
    let mut choice = RelayChoice::new("n0", relays()).unwrap();
    let mut rng = fastrand::Rng::with_seed(5);
    let first = choice.current();
    let mut tried = BTreeSet::new();
    for _ in 0..RELAYS {
        assert!(tried.insert(choice.current()), "{} is tried twice", choice.current());
        choice.record_failure(RelayFailure::Broken, &mut rng);
    }
    assert_eq!((tried.len(), choice.current()), (RELAYS.into(), first));
}

#[test]
fn a_relay_that_works_stays_current_and_the_next_round_begins_with_it() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut choice = RelayChoice::new("n0", relays()).unwrap();
    let first = choice.current();
    choice.record_failure(RelayFailure::Broken, &mut rng);
    let second = choice.current();
    choice.record_success();
    assert_eq!(choice.current(), second, "the choice returned to the preferred relay");
    for _ in 1..RELAYS {
        let retry = choice.record_failure(RelayFailure::Broken, &mut rng);
        assert!(retry.wait < Duration::from_millis(1501), "within the round: {retry:?}");
    }
    assert_eq!(choice.current(), first, "the last relay of a round that began with the second");
}

#[test]
fn waits_begin_short_grow_to_a_limit_and_have_jitter() {
    let first_waits: BTreeSet<Duration> = (0..64)
        .map(|seed| {
            let mut choice = RelayChoice::new("n0", relays()).unwrap();
            choice.record_failure(RelayFailure::Broken, &mut fastrand::Rng::with_seed(seed)).wait
        })
        .collect();
    assert!(first_waits.len() > 60, "managers whose relays fail together do not retry at different times");
    assert!(first_waits.iter().all(|wait| (25..=75).contains(&wait.as_millis())), "{first_waits:?}");

    let mut choice = RelayChoice::new("n0", relays()).unwrap();
    let mut rng = fastrand::Rng::with_seed(5);
    let mut between_rounds = Vec::new();
    for _ in 0..12 {
        let waits: Vec<Duration> =
            (0..RELAYS).map(|_| choice.record_failure(RelayFailure::Broken, &mut rng).wait).collect();
        let (last, within) = waits.split_last().unwrap();
        assert!(within.iter().all(|wait| *wait <= Duration::from_millis(1500)), "{within:?}");
        between_rounds.push(*last);
    }
    for (round, wait) in between_rounds.iter().enumerate() {
        let middle = Duration::from_secs(1).mul_f64(2f64.powi(round as i32)).min(Duration::from_secs(8));
        assert!((middle / 2..=middle * 3 / 2).contains(wait), "round {round}: {wait:?}");
    }
    choice.record_success();
    let again = choice.record_failure(RelayFailure::Broken, &mut rng).wait;
    assert!(again <= Duration::from_millis(75), "the wait after a success is not short again: {again:?}");
}

#[test]
fn only_a_round_in_which_every_relay_is_behind_shows_that_the_source_restarted_its_versions() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut round = |choice: &mut RelayChoice, broken: Option<u8>| -> Vec<Round> {
        let failure = |index| match broken == Some(index) {
            true => RelayFailure::Broken,
            false => RelayFailure::Behind,
        };
        let retries: Vec<Retry> =
            (0..RELAYS).map(|index| choice.record_failure(failure(index), &mut rng)).collect();
        retries.iter().map(|retry| retry.round).collect()
    };
    let mut choice = RelayChoice::new("n0", relays()).unwrap();
    for broken in [0, 20, RELAYS - 1] {
        let rounds = round(&mut choice, Some(broken));
        let (last, before) = rounds.split_last().unwrap();
        assert_eq!(*last, Round::Exhausted, "relay {broken} of the round was broken");
        assert!(before.iter().all(|round| *round == Round::InProgress), "{before:?}");
    }
    let rounds = round(&mut choice, None);
    let (last, before) = rounds.split_last().unwrap();
    assert_eq!(*last, Round::AllBehind);
    assert!(
        before.iter().all(|round| *round == Round::InProgress),
        "a round ended before its last relay: {before:?}"
    );
    // A success ends the round, so a relay that was behind before it does not count.
    choice.record_failure(RelayFailure::Behind, &mut fastrand::Rng::with_seed(1));
    choice.record_success();
    assert_eq!(round(&mut choice, Some(RELAYS - 1)).last(), Some(&Round::Exhausted));
}

#[test]
fn a_single_relay_is_tried_again_and_no_relays_give_no_choice() {
    let only = SocketAddr::from(([127, 0, 0, 1], 7100));
    let mut choice = RelayChoice::new("n0", [only, only]).unwrap();
    let mut rng = fastrand::Rng::with_seed(5);
    assert_eq!(choice.record_failure(RelayFailure::Broken, &mut rng).round, Round::Exhausted);
    assert_eq!(choice.current(), only);
    assert_eq!(choice.record_failure(RelayFailure::Behind, &mut rng).round, Round::AllBehind);
    assert!(RelayChoice::new("n0", []).is_none());
}
