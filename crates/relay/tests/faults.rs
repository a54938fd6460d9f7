//! Failures of the connection to the source, of the source itself, of the relay and of its subscribers.

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::{expected, next_with_workers, parse, worker, RunningRelay, Source, WAIT_TIMEOUT};
use juniperrail_standins::{list_json, BodyEnd, ListSubscriber};

const FAST_SUBSCRIBERS: usize = 300;

#[test]
fn a_line_of_the_source_that_is_truncated_within_an_entry_has_no_effect() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    // The line has one complete entry and half of another.
    let truncated_line =
        format!(r#"{{"generation":9,"reset":false,"instances":[{},{{"inst"#, worker("s-1", "a", "gone"));
    watch.send(&truncated_line);
    let (request_line, watch) = source.accept();
    assert!(request_line.contains("index=7 "), "{request_line}");
    // The same, but the connection ends within the entry, not the line.
    watch.send_raw(&truncated_line);
    drop(watch);
    let (request_line, watch) = source.accept();
    assert!(request_line.contains("index=7 "), "{request_line}");
    watch.send(&list_json(8, false, &[worker("s-2", "a", "draining")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-2 a draining"]));
    let mut new_subscriber = relay.request("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut new_subscriber), expected(8, true, &["s-1 a ready", "s-2 a draining"]));
}

#[test]
fn watches_outlast_a_reconnection_to_the_source_and_a_full_list_reaches_them_as_differences() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &["s-1", "s-2", "s-3"].map(|id| worker(id, "a", "ready"))));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    drop(watch);
    let (request_line, watch) = source.accept();
    assert!(request_line.contains("index=7 "), "{request_line}");
    watch.send(&list_json(9, true, &[worker("s-1", "a", "ready"), worker("s-3", "a", "draining")]));
    let differences = next_with_workers(&mut subscriber);
    assert_eq!(differences, expected(9, false, &["s-3 a draining", "s-2 a gone"]));
}

#[test]
fn a_full_list_with_an_invalid_entry_makes_no_missing_worker_gone() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    let invalid_entry = r#"{"instanceId":5,"zone":"a"}"#.to_string();
    watch.send(&list_json(8, true, &[worker("s-1", "a", "draining"), invalid_entry]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-1 a draining"]));
    watch.send(&list_json(9, true, &[worker("s-1", "a", "draining")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(9, false, &["s-2 a gone"]));
}

#[test]
fn a_relay_that_lost_its_source_sends_no_list_until_it_has_the_drain_that_it_missed() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_timeout = Duration::from_secs(2);
    });
    assert_eq!(relay.request("?stream=1").status, 503, "before the first list");
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let alive = watch.keep_alive();
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    let health = |relay: &RunningRelay| ListSubscriber::request(relay.address, "/healthz").status;
    assert_eq!(health(&relay), 200);

    // The source is silent with its connection open. Meanwhile the worker begins to drain.
    drop(alive);
    let (remaining, ending) = subscriber.read_to_end();
    assert_eq!(ending, BodyEnd::Complete, "the watch did not end between two lines");
    assert_eq!(remaining.trim(), "", "something other than heartbeats was sent");
    let (refusal, _) = relay.request("?stream=1&zones=a&index=7").read_to_end();
    assert_eq!(refusal, "this relay is not in step with its source\n");
    assert_eq!(relay.request("").status, 503);
    assert_eq!(health(&relay), 503);

    let (request_line, watch) = source.accept();
    assert!(request_line.contains("index=7 "), "{request_line}");
    assert_eq!(relay.request("?stream=1").status, 503, "the source has not sent a line yet");
    watch.send(&list_json(9, false, &[worker("s-1", "a", "draining")]));
    let _alive = watch.keep_alive();
    let mut resumed = relay.request_until_served("?stream=1&zones=a&index=7");
    assert_eq!(parse(&resumed.next_list().unwrap()), expected(9, false, &["s-1 a draining"]));
    let mut new_subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(
        parse(&new_subscriber.next_list().unwrap()),
        expected(9, true, &["s-1 a draining", "s-2 a ready"])
    );
}

#[test]
fn heartbeats_of_a_source_that_is_behind_do_not_keep_the_relay_in_sync() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_timeout = Duration::from_secs(2);
        options.timing.source_behind_timeout = WAIT_TIMEOUT;
    });
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    watch.send(&list_json(5, true, &[]));
    let _alive = watch.keep_alive();
    let (remaining, ending) = subscriber.read_to_end();
    assert_eq!((remaining.trim(), ending), ("", BodyEnd::Complete));
    assert_eq!(relay.request("?stream=1").status, 503);
    watch.send(&list_json(8, false, &[worker("s-1", "a", "draining")]));
    let mut resumed = relay.request_until_served("?stream=1&zones=a&index=7");
    assert_eq!(parse(&resumed.next_list().unwrap()), expected(8, false, &["s-1 a draining"]));
}

#[test]
fn a_snapshot_interrupted_by_the_loss_of_the_source_does_not_look_complete() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_timeout = Duration::from_secs(2);
    });
    let (_, watch) = source.accept();
    let workers: Vec<String> = (0..20_000).map(|id| worker(&format!("s-{id}"), "a", "ready")).collect();
    let full_list = list_json(7, true, &workers);
    watch.send(&full_list);
    let alive = watch.keep_alive();
    drop(relay.request_until_served("?stream=1&zones=none"));
    let mut watching = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    let mut once = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers");
    assert_eq!((watching.status, once.status), (200, 200));
    drop(alive);
    while relay.request("?stream=1&zones=none").status == 200 {
        thread::yield_now();
    }
    for subscriber in [&mut watching, &mut once] {
        let (remaining, ending) = subscriber.read_to_end();
        assert_eq!(ending, BodyEnd::Truncated);
        assert!(remaining.len() < full_list.len() && full_list.starts_with(&remaining));
    }
}

#[test]
fn the_full_list_is_requested_from_a_source_that_restarted_its_versions() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_behind_timeout = Duration::from_millis(200);
    });
    let (_, watch) = source.accept();
    watch.send(&list_json(1_000, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut subscriber = relay.request_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 1_000);
    // The list is older than the current one, so it is skipped, and heartbeats do not change that.
    watch.send(&list_json(5, true, &[worker("s-2", "a", "ready")]));
    let alive = watch.keep_alive();
    let (request_line, watch) = source.accept();
    drop(alive);
    assert_eq!(request_line, "GET /v1/servers?stream=1 HTTP/1.1");
    watch.send(&list_json(6, true, &[worker("s-2", "a", "draining")]));
    let (remaining, ending) = subscriber.read_to_end();
    assert_eq!(
        (remaining.trim(), ending),
        ("", BodyEnd::Complete),
        "the watch did not end without an old list"
    );
    let mut ahead = relay.request_until_served("?stream=1&zones=a&index=1000");
    assert_eq!(parse(&ahead.next_list().unwrap()), expected(6, false, &[]));
    let mut new_subscriber = relay.request("?stream=1&zones=a");
    assert_eq!(parse(&new_subscriber.next_list().unwrap()), expected(6, true, &["s-2 a draining"]));
    watch.send(&list_json(7, false, &[worker("s-3", "a", "ready")]));
    assert_eq!(next_with_workers(&mut new_subscriber), expected(7, false, &["s-3 a ready"]));
}

#[test]
fn a_relay_that_stops_within_a_snapshot_leaves_an_incomplete_line() {
    let source = Source::new();
    let mut relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    let workers: Vec<String> = (0..20_000).map(|id| worker(&format!("s-{id}"), "a", "ready")).collect();
    let full_list = list_json(7, true, &workers);
    watch.send(&full_list);
    while relay.request("?stream=1&zones=none").status != 200 {
        thread::yield_now();
    }
    // The subscriber has read only the head of the response, and the rest exceeds what its connection buffers.
    let mut subscriber = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    relay.stop();
    let (remaining, ending) = subscriber.read_to_end();
    assert_eq!(ending, BodyEnd::Truncated);
    assert!(
        remaining.len() < full_list.len() && full_list.starts_with(&remaining),
        "the body is not a truncated part of the full list"
    );
}

#[test]
fn a_subscriber_that_reads_a_byte_per_second_does_not_delay_three_hundred_others() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    let id = |number: usize| format!("s-{number:04}");
    let workers: Vec<String> = (0..5_000).map(|number| worker(&id(number), "a", "ready")).collect();
    let full_list = list_json(1, true, &workers);
    watch.send(&full_list);
    while relay.request("?stream=1&zones=none").status != 200 {
        thread::yield_now();
    }
    let mut slow = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    let address = relay.address;
    let (done_sender, done) = mpsc::channel::<()>();
    let slow = thread::spawn(move || {
        let mut bytes_read = 0;
        // Until the others have received everything.
        while done.recv_timeout(Duration::from_secs(1)).is_err() {
            assert!(slow.read_one_byte());
            bytes_read += 1;
        }
        (slow, bytes_read)
    });

    let mut fast: Vec<ListSubscriber> = (0..FAST_SUBSCRIBERS)
        .map(|_| ListSubscriber::request(address, "/v1/servers?stream=1&zones=z"))
        .collect();
    for subscriber in &mut fast {
        assert_eq!(next_with_workers(subscriber), expected(1, true, &[]));
    }
    // Each round changes every worker for the slow subscriber, and one worker for the fast ones.
    let rounds = 12;
    for round in 2..2 + rounds {
        let lifecycle = if round % 2 == 0 { "draining" } else { "ready" };
        let mut changed: Vec<String> = (0..5_000).map(|number| worker(&id(number), "a", lifecycle)).collect();
        changed.push(worker("z-1", "z", lifecycle));
        watch.send(&list_json(round, false, &changed));
        for subscriber in &mut fast {
            assert_eq!(
                next_with_workers(subscriber),
                expected(round, false, &[&format!("z-1 z {lifecycle}")])
            );
        }
    }
    done_sender.send(()).unwrap();
    let (mut slow, bytes_read) = slow.join().unwrap();
    // The slow subscriber still receives the rest of the snapshot, and after it the latest change of each worker.
    let mut remaining_bytes = 0;
    let latest_version = format!("\"generation\":{},", 1 + rounds);
    loop {
        let line = slow.next_list().expect("the watch is still open");
        remaining_bytes += line.len();
        if line.contains(&latest_version) {
            break;
        }
    }
    let round_bytes = full_list.len();
    assert!(
        remaining_bytes < 4 * round_bytes,
        "{remaining_bytes} bytes after {bytes_read}: {rounds} rounds of {round_bytes} bytes are not coalesced"
    );
}

#[test]
fn subscribers_over_the_limit_are_refused() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| options.limits.subscribers = 2);
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut first = relay.request_until_served("?stream=1");
    let second = relay.request("?stream=1");
    assert_eq!(second.status, 200);
    let mut third = relay.request("?stream=1");
    assert_eq!(third.status, 503);
    assert_eq!(third.read_to_end().0, "this relay serves 2 subscribers already\n");
    assert_eq!(ListSubscriber::request(relay.address, "/healthz").status, 200);
    assert_eq!(next_with_workers(&mut first).version, 7);
    // Another subscriber is admitted as soon as the relay notices that the second has disconnected.
    drop(second);
    relay.request_until_served("?stream=1");
}

/// Checks that a subscriber that reads nothing of a list with this number of workers is disconnected, and that another
/// one is admitted in its place.
fn check_stalled_subscriber_is_disconnected(workers: usize) {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.limits.subscribers = 1;
        options.timing.stalled_write_timeout = Duration::from_millis(300);
    });
    let (_, watch) = source.accept();
    let workers: Vec<String> = (0..workers).map(|id| worker(&format!("s-{id}"), "a", "ready")).collect();
    watch.send(&list_json(7, true, &workers));
    drop(relay.request_until_served("?stream=1&zones=none"));
    let started = Instant::now();
    let stalled = loop {
        let subscriber = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
        if subscriber.status == 200 {
            break subscriber;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "no subscriber was admitted after the first");
    };
    let mut next = relay.request_until_served("?stream=1&zones=z");
    assert_eq!(next_with_workers(&mut next), expected(7, true, &[]));
    drop(stalled);
}

#[test]
fn a_subscriber_that_reads_nothing_is_disconnected() {
    check_stalled_subscriber_is_disconnected(20_000);
}

#[test]
fn a_subscriber_that_reads_nothing_is_disconnected_even_if_the_kernel_buffers_the_rest() {
    check_stalled_subscriber_is_disconnected(400);
}

#[test]
fn an_invalid_request_is_refused_with_one_line_of_text() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[]));
    drop(relay.request_until_served(""));
    let refusal = |path: &str| {
        let mut answer = ListSubscriber::request(relay.address, path);
        (answer.status, answer.read_to_end().0)
    };
    assert_eq!(refusal("/v1/server"), (404, "there is no /v1/server; the list is at /v1/servers\n".into()));
    assert_eq!(refusal("/v1/servers?zones="), (400, "zones names nothing\n".into()));
    assert_eq!(refusal("/v1/servers?services=%ff"), (400, "a name in services is not UTF-8\n".into()));
    assert_eq!(refusal("/v1/servers?stream=1&index=-1"), (400, "index is no version: -1\n".into()));
    let mut posted = TcpStream::connect(relay.address).unwrap();
    posted.write_all(b"POST /v1/servers HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut answer = String::new();
    posted.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 405 "), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("\r\nallow: get\r\n"), "{answer}");
}

#[test]
fn a_connection_whose_request_head_never_ends_is_closed() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.request_head_timeout = Duration::from_millis(200);
    });
    let mut client = TcpStream::connect(relay.address).unwrap();
    // Shorter than the default timeout of hyper, so that it cannot be the one that closes the connection.
    client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    client.write_all(b"GET /v1/servers HTTP/1.1\r\nHost:").unwrap();
    let mut answer = String::new();
    client.read_to_string(&mut answer).expect("the relay closes the connection");
}
