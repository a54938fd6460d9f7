//! What subscribers receive: the part of the list that they request, and its changes.

mod common;

use std::time::Duration;

use common::{expected, next_with_workers, parse, worker, RunningRelay, Source, WAIT_TIMEOUT};
use juniperrail_standins::{list_json, BodyEnd};

#[test]
fn a_scoped_watch_receives_its_part_of_the_list_and_then_its_changes_without_delay() {
    let source = Source::new();
    // The changes must not have to wait for a heartbeat, so none is sent during the test.
    let relay =
        RunningRelay::start(source.address(), |options| options.timing.heartbeat_interval = 2 * WAIT_TIMEOUT);
    let (request_line, watch) = source.accept();
    assert_eq!(request_line, "GET /v1/servers?stream=1 HTTP/1.1");
    let workers = [("s-1", "a"), ("s-2", "b"), ("s-3", "a")].map(|(id, zone)| worker(id, zone, "ready"));
    watch.send(&list_json(7, true, &workers));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    let first = parse(&subscriber.next_list().unwrap());
    assert_eq!(first, expected(7, true, &["s-1 a ready", "s-3 a ready"]));
    watch.send(&list_json(8, false, &[worker("s-2", "b", "draining")]));
    watch.send(&list_json(9, false, &[worker("s-3", "a", "draining"), worker("s-4", "a", "ready")]));
    let changes = next_with_workers(&mut subscriber);
    assert_eq!(changes, expected(9, false, &["s-3 a draining", "s-4 a ready"]));
}

#[test]
fn an_unscoped_watch_receives_the_full_list_byte_for_byte() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    let unusual_entry =
        r#"{"lifecycle":"ready", "zone":"a","more":{"x":[1.50,"]}"]},"instanceId":"s-\u0031"}"#;
    let workers: Vec<String> = (2..2_000)
        .map(|id| worker(&format!("s-{id}"), "a", "ready"))
        .chain([unusual_entry.to_string()])
        .collect();
    let full_list = list_json(7, true, &workers);
    watch.send(&full_list);
    let mut subscriber = relay.request_until_served("?stream=1");
    assert_eq!(subscriber.next_list(), Some(full_list.clone()));
    // The id of the same worker, without escapes.
    let changed = list_json(8, false, &[worker("s-1", "a", "draining")]);
    watch.send(&changed);
    assert_eq!(subscriber.next_list(), Some(changed.clone()));

    let (once, ending) = relay.request("").read_to_end();
    assert_eq!(ending, BodyEnd::Complete);
    let once = parse(&once);
    assert_eq!((once.version, once.reset, once.entries.len()), (8, true, 1_999));
    assert!(once.entries.contains(&"s-1 a draining".to_string()));
}

#[test]
fn a_scope_without_workers_is_empty_until_it_has_one() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut subscriber = relay.request_until_served("?stream=1&zones=none,z&services=nothing");
    assert_eq!(parse(&subscriber.next_list().unwrap()), expected(7, true, &[]));
    watch.send(&list_json(8, false, &[worker("s-2", "z", "ready"), worker("s-3", "a", "ready")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-2 z ready"]));
}

#[test]
fn a_worker_that_moves_out_of_a_scope_is_sent_with_its_new_zone_and_not_as_gone() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "b", "ready")]));
    let mut in_a = relay.request_until_served("?stream=1&zones=a");
    let mut in_b = relay.request_until_served("?stream=1&zones=b");
    assert_eq!(next_with_workers(&mut in_a), expected(7, true, &["s-1 a ready"]));
    assert_eq!(next_with_workers(&mut in_b), expected(7, true, &["s-2 b ready"]));
    watch.send(&list_json(8, false, &[worker("s-1", "b", "ready")]));
    assert_eq!(next_with_workers(&mut in_a), expected(8, false, &["s-1 b ready"]));
    assert_eq!(next_with_workers(&mut in_b), expected(8, false, &["s-1 b ready"]));
    // Its later changes are sent as well, so a subscriber that still has the worker receives its drain and removal.
    watch.send(&list_json(9, false, &[worker("s-1", "b", "draining")]));
    assert_eq!(next_with_workers(&mut in_a), expected(9, false, &["s-1 b draining"]));
    assert_eq!(next_with_workers(&mut in_b), expected(9, false, &["s-1 b draining"]));
    watch.send(&list_json(10, false, &[worker("s-1", "a", "ready")]));
    assert_eq!(next_with_workers(&mut in_a), expected(10, false, &["s-1 a ready"]));
    assert_eq!(next_with_workers(&mut in_b), expected(10, false, &["s-1 a ready"]));
    // As long as the move is remembered, a snapshot includes the worker too, so that it does not count as gone.
    let mut new_in_b = relay.request("?stream=1&zones=b");
    assert_eq!(parse(&new_in_b.next_list().unwrap()), expected(10, true, &["s-1 a ready", "s-2 b ready"]));
    watch.send(&list_json(11, false, &[worker("s-1", "a", "gone")]));
    assert_eq!(next_with_workers(&mut in_a), expected(11, false, &["s-1 a gone"]));
    assert_eq!(next_with_workers(&mut in_b), expected(11, false, &["s-1 a gone"]));
}

#[test]
fn a_subscriber_resumes_with_differences_and_below_the_floor_with_a_snapshot() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| options.limits.list.tombstones = 1);
    let (_, watch) = source.accept();
    let workers = ["s-1", "s-2", "s-3", "s-4"].map(|id| worker(id, "a", "ready"));
    watch.send(&list_json(7, true, &workers));
    watch.send(&list_json(8, false, &[worker("s-4", "a", "draining")]));
    let mut first = relay.request_until_served("?stream=1&zones=a");
    while next_with_workers(&mut first).version < 8 {}

    let mut resumed = relay.request("?stream=1&zones=a&index=7");
    assert_eq!(parse(&resumed.next_list().unwrap()), expected(8, false, &["s-4 a draining"]));
    let mut up_to_date = relay.request("?stream=1&zones=a&index=8");
    assert_eq!(parse(&up_to_date.next_list().unwrap()), expected(8, false, &[]));

    watch.send(&list_json(9, false, &[worker("s-1", "a", "gone")]));
    watch.send(&list_json(10, false, &[worker("s-2", "a", "gone")]));
    while next_with_workers(&mut first).version < 10 {}
    // The tombstone of s-1 is evicted, so differences for a subscriber below version 9 would lack its removal.
    let mut from_9 = relay.request("?stream=1&zones=a&index=9");
    assert_eq!(parse(&from_9.next_list().unwrap()), expected(10, false, &["s-2 a gone"]));
    for below in [8, 7, 3, 0] {
        let mut from_below = relay.request(&format!("?stream=1&zones=a&index={below}"));
        let snapshot = parse(&from_below.next_list().unwrap());
        assert_eq!(snapshot, expected(10, true, &["s-3 a ready", "s-4 a draining"]), "from {below}");
    }
}

#[test]
fn a_subscriber_ahead_of_the_relay_receives_only_the_version_of_the_relay() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut ahead = relay.request_until_served("?stream=1&index=9");
    assert_eq!(parse(&ahead.next_list().unwrap()), expected(7, false, &[]));
    watch.send(&list_json(8, false, &[worker("s-1", "a", "draining")]));
    watch.send(&list_json(9, false, &[worker("s-2", "a", "draining")]));
    watch.send(&list_json(10, false, &[worker("s-3", "a", "ready")]));
    // Version 8 is not sent before version 9 is reached; the next list has version 9 or a later one.
    let differences = next_with_workers(&mut ahead);
    assert!(differences.version >= 9 && !differences.reset, "{differences:?}");
    assert!(
        differences.entries.starts_with(&["s-1 a draining".into(), "s-2 a draining".into()]),
        "{differences:?}"
    );
}

#[test]
fn a_relay_may_follow_another_relay() {
    let source = Source::new();
    let first = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let second = RunningRelay::start(first.address, |_| {});
    let mut subscriber = second.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber), expected(7, true, &["s-1 a ready"]));
    watch.send(&list_json(8, false, &[worker("s-1", "a", "draining")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-1 a draining"]));
}

#[test]
fn a_heartbeat_is_an_empty_line_or_the_new_version() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.heartbeat_interval = Duration::from_millis(100);
    });
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    assert_eq!(subscriber.next_line().as_deref(), Some(""));
    // The change is out of scope, but the subscriber can resume from its version.
    watch.send(&list_json(8, false, &[worker("s-2", "b", "ready")]));
    assert_eq!(parse(&subscriber.next_list().unwrap()), expected(8, false, &[]));
    assert_eq!(subscriber.next_line().as_deref(), Some(""));
}
