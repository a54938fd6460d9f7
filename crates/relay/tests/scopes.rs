//! What subscribers are told: the part of the list that they ask for, and its changes.

mod common;

use std::time::Duration;

use common::{expected, next_with_workers, read, worker, RunningRelay, Source, WITHIN};
use juniperrail_standins::{list_json, BodyEnd};

#[test]
fn a_scoped_watch_is_told_its_part_and_what_changes_there_at_once() {
    let source = Source::new();
    // No heartbeat brings it.
    let relay = RunningRelay::start(source.address(), |options| options.timing.heartbeat = 2 * WITHIN);
    let (asked, watch) = source.accept();
    assert_eq!(asked, "GET /v1/servers?stream=1 HTTP/1.1");
    let workers = [("s-1", "a"), ("s-2", "b"), ("s-3", "a")].map(|(id, zone)| worker(id, zone, "ready"));
    watch.send(&list_json(7, true, &workers));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    let first = read(&subscriber.next_list().unwrap());
    assert_eq!(first, expected(7, true, &["s-1 a ready", "s-3 a ready"]));
    watch.send(&list_json(8, false, &[worker("s-2", "b", "draining")]));
    watch.send(&list_json(9, false, &[worker("s-3", "a", "draining"), worker("s-4", "a", "ready")]));
    let changes = next_with_workers(&mut subscriber);
    assert_eq!(changes, expected(9, false, &["s-3 a draining", "s-4 a ready"]));
}

#[test]
fn an_unscoped_watch_is_told_the_whole_list_as_the_bytes_that_came() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    let odd = r#"{"lifecycle":"ready", "zone":"a","more":{"x":[1.50,"]}"]},"instanceId":"s-\u0031"}"#;
    let workers: Vec<String> =
        (2..2_000).map(|id| worker(&format!("s-{id}"), "a", "ready")).chain([odd.to_string()]).collect();
    let whole = list_json(7, true, &workers);
    watch.send(&whole);
    let mut subscriber = relay.ask_until_served("?stream=1");
    assert_eq!(subscriber.next_list(), Some(whole.clone()));
    // The same worker by another spelling.
    let changed = list_json(8, false, &[worker("s-1", "a", "draining")]);
    watch.send(&changed);
    assert_eq!(subscriber.next_list(), Some(changed.clone()));

    let (once, ending) = relay.ask("").read_to_end();
    assert_eq!(ending, BodyEnd::Complete);
    let once = read(&once);
    assert_eq!((once.version, once.reset, once.entries.len()), (8, true, 1_999));
    assert!(once.entries.contains(&"s-1 a draining".to_string()));
}

#[test]
fn a_scope_that_names_nothing_that_exists_is_empty_until_something_does() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=none,z&services=nothing");
    assert_eq!(read(&subscriber.next_list().unwrap()), expected(7, true, &[]));
    watch.send(&list_json(8, false, &[worker("s-2", "z", "ready"), worker("s-3", "a", "ready")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-2 z ready"]));
}

#[test]
fn a_worker_that_moves_out_of_a_scope_is_shown_where_it_is_and_never_gone() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "b", "ready")]));
    let mut in_a = relay.ask_until_served("?stream=1&zones=a");
    let mut in_b = relay.ask_until_served("?stream=1&zones=b");
    assert_eq!(next_with_workers(&mut in_a), expected(7, true, &["s-1 a ready"]));
    assert_eq!(next_with_workers(&mut in_b), expected(7, true, &["s-2 b ready"]));
    watch.send(&list_json(8, false, &[worker("s-1", "b", "ready")]));
    assert_eq!(next_with_workers(&mut in_a), expected(8, false, &["s-1 b ready"]));
    assert_eq!(next_with_workers(&mut in_b), expected(8, false, &["s-1 b ready"]));
    // What happens to it elsewhere is told as well: whoever holds it still learns of its end.
    watch.send(&list_json(9, false, &[worker("s-1", "b", "draining")]));
    assert_eq!(next_with_workers(&mut in_a), expected(9, false, &["s-1 b draining"]));
    assert_eq!(next_with_workers(&mut in_b), expected(9, false, &["s-1 b draining"]));
    watch.send(&list_json(10, false, &[worker("s-1", "a", "ready")]));
    assert_eq!(next_with_workers(&mut in_a), expected(10, false, &["s-1 a ready"]));
    assert_eq!(next_with_workers(&mut in_b), expected(10, false, &["s-1 a ready"]));
    // A snapshot names it too as long as the move is remembered, so that nobody takes it for gone.
    let mut anew = relay.ask("?stream=1&zones=b");
    assert_eq!(read(&anew.next_list().unwrap()), expected(10, true, &["s-1 a ready", "s-2 b ready"]));
    watch.send(&list_json(11, false, &[worker("s-1", "a", "gone")]));
    assert_eq!(next_with_workers(&mut in_a), expected(11, false, &["s-1 a gone"]));
    assert_eq!(next_with_workers(&mut in_b), expected(11, false, &["s-1 a gone"]));
}

#[test]
fn a_subscriber_resumes_by_difference_and_from_below_the_floor_by_a_snapshot() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| options.limits.list.tombstones = 1);
    let (_, watch) = source.accept();
    let workers = ["s-1", "s-2", "s-3", "s-4"].map(|id| worker(id, "a", "ready"));
    watch.send(&list_json(7, true, &workers));
    watch.send(&list_json(8, false, &[worker("s-4", "a", "draining")]));
    let mut last = relay.ask_until_served("?stream=1&zones=a");
    while next_with_workers(&mut last).version < 8 {}

    let mut resumed = relay.ask("?stream=1&zones=a&index=7");
    assert_eq!(read(&resumed.next_list().unwrap()), expected(8, false, &["s-4 a draining"]));
    let mut in_step = relay.ask("?stream=1&zones=a&index=8");
    assert_eq!(read(&in_step.next_list().unwrap()), expected(8, false, &[]));

    watch.send(&list_json(9, false, &[worker("s-1", "a", "gone")]));
    watch.send(&list_json(10, false, &[worker("s-2", "a", "gone")]));
    while next_with_workers(&mut last).version < 10 {}
    // The tombstone of s-1 is forgotten: who has not seen 9 can't be told that it left.
    let mut from_9 = relay.ask("?stream=1&zones=a&index=9");
    assert_eq!(read(&from_9.next_list().unwrap()), expected(10, false, &["s-2 a gone"]));
    for below in [8, 7, 3, 0] {
        let mut from_below = relay.ask(&format!("?stream=1&zones=a&index={below}"));
        let snapshot = read(&from_below.next_list().unwrap());
        assert_eq!(snapshot, expected(10, true, &["s-3 a ready", "s-4 a draining"]), "from {below}");
    }
}

#[test]
fn a_subscriber_ahead_of_the_relay_is_told_only_where_the_relay_is() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut ahead = relay.ask_until_served("?stream=1&index=9");
    assert_eq!(read(&ahead.next_list().unwrap()), expected(7, false, &[]));
    watch.send(&list_json(8, false, &[worker("s-1", "a", "draining")]));
    watch.send(&list_json(9, false, &[worker("s-2", "a", "draining")]));
    watch.send(&list_json(10, false, &[worker("s-3", "a", "ready")]));
    // Nothing of 8 before 9 is reached; what comes then is as of 9 or later.
    let told = next_with_workers(&mut ahead);
    assert!(told.version >= 9 && !told.reset, "{told:?}");
    assert!(told.entries.starts_with(&["s-1 a draining".into(), "s-2 a draining".into()]), "{told:?}");
}

#[test]
fn a_relay_may_follow_a_relay() {
    let source = Source::new();
    let first = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let second = RunningRelay::start(first.address, |_| {});
    let mut subscriber = second.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber), expected(7, true, &["s-1 a ready"]));
    watch.send(&list_json(8, false, &[worker("s-1", "a", "draining")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-1 a draining"]));
}

#[test]
fn a_heartbeat_is_an_empty_line_or_the_version_that_was_reached() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.heartbeat = Duration::from_millis(100);
    });
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    assert_eq!(subscriber.next_line().as_deref(), Some(""));
    // Nothing of the subscriber's, but it can resume from there.
    watch.send(&list_json(8, false, &[worker("s-2", "b", "ready")]));
    assert_eq!(read(&subscriber.next_list().unwrap()), expected(8, false, &[]));
    assert_eq!(subscriber.next_line().as_deref(), Some(""));
}
