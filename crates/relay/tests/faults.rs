//! What breaks: the source's connection, the source itself, the relay, its subscribers.

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::{expected, next_with_workers, read, worker, RunningRelay, Source, WITHIN};
use juniperrail_standins::{list_json, BodyEnd, ListSubscriber};

const ALL_QUICK: usize = 300;

#[test]
fn a_line_of_the_source_that_is_cut_within_an_entry_does_not_count() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    // A whole entry of it is there, and half of another; the line ends.
    let half =
        format!(r#"{{"generation":9,"reset":false,"instances":[{},{{"inst"#, worker("s-1", "a", "gone"));
    watch.send(&half);
    let (asked, watch) = source.accept();
    assert!(asked.contains("index=7 "), "{asked}");
    // The same once more, where the connection ends.
    watch.raw(&half);
    drop(watch);
    let (asked, watch) = source.accept();
    assert!(asked.contains("index=7 "), "{asked}");
    watch.send(&list_json(8, false, &[worker("s-2", "a", "draining")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-2 a draining"]));
    let mut fresh = relay.ask("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut fresh), expected(8, true, &["s-1 a ready", "s-2 a draining"]));
}

#[test]
fn subscribers_stay_while_the_source_is_dialled_again_and_a_whole_list_tells_them_differences() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &["s-1", "s-2", "s-3"].map(|id| worker(id, "a", "ready"))));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    drop(watch);
    let (asked, watch) = source.accept();
    assert!(asked.contains("index=7 "), "{asked}");
    watch.send(&list_json(9, true, &[worker("s-1", "a", "ready"), worker("s-3", "a", "draining")]));
    let told = next_with_workers(&mut subscriber);
    assert_eq!(told, expected(9, false, &["s-3 a draining", "s-2 a gone"]));
}

#[test]
fn an_entry_that_names_no_worker_makes_no_other_worker_gone() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    let odd = r#"{"instanceId":5,"zone":"a"}"#.to_string();
    watch.send(&list_json(8, true, &[worker("s-1", "a", "draining"), odd]));
    assert_eq!(next_with_workers(&mut subscriber), expected(8, false, &["s-1 a draining"]));
    watch.send(&list_json(9, true, &[worker("s-1", "a", "draining")]));
    assert_eq!(next_with_workers(&mut subscriber), expected(9, false, &["s-2 a gone"]));
}

#[test]
fn cut_off_from_its_source_it_says_nothing_and_then_the_drain_before_anything_old() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_silence = Duration::from_secs(2);
    });
    assert_eq!(relay.ask("?stream=1").status, 503, "before the first list");
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let alive = watch.keep_alive();
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    let health = |relay: &RunningRelay| ListSubscriber::request(relay.address, "/healthz").status;
    assert_eq!(health(&relay), 200);

    // Silent, with open connections; the worker drains meanwhile.
    drop(alive);
    let (told, ending) = subscriber.read_to_end();
    assert_eq!(ending, BodyEnd::Complete, "between two lines");
    assert_eq!(told.trim(), "", "nothing but heartbeats");
    let (refusal, _) = relay.ask("?stream=1&zones=a&index=7").read_to_end();
    assert_eq!(refusal, "this relay is not in step with its source\n");
    assert_eq!(relay.ask("").status, 503);
    assert_eq!(health(&relay), 503);

    let (asked, watch) = source.accept();
    assert!(asked.contains("index=7 "), "{asked}");
    assert_eq!(relay.ask("?stream=1").status, 503, "the source has yet to say something");
    watch.send(&list_json(9, false, &[worker("s-1", "a", "draining")]));
    let _alive = watch.keep_alive();
    let mut back = relay.ask_until_served("?stream=1&zones=a&index=7");
    assert_eq!(read(&back.next_list().unwrap()), expected(9, false, &["s-1 a draining"]));
    let mut fresh = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(read(&fresh.next_list().unwrap()), expected(9, true, &["s-1 a draining", "s-2 a ready"]));
}

#[test]
fn a_source_that_is_behind_confirms_nothing() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_silence = Duration::from_secs(2);
        options.timing.source_behind = WITHIN;
    });
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 7);
    watch.send(&list_json(5, true, &[]));
    let _alive = watch.keep_alive();
    let (told, ending) = subscriber.read_to_end();
    assert_eq!((told.trim(), ending), ("", BodyEnd::Complete));
    assert_eq!(relay.ask("?stream=1").status, 503);
    watch.send(&list_json(8, false, &[worker("s-1", "a", "draining")]));
    let mut back = relay.ask_until_served("?stream=1&zones=a&index=7");
    assert_eq!(read(&back.next_list().unwrap()), expected(8, false, &["s-1 a draining"]));
}

#[test]
fn a_snapshot_that_the_loss_of_the_source_breaks_off_does_not_look_whole() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_silence = Duration::from_secs(2);
    });
    let (_, watch) = source.accept();
    let workers: Vec<String> = (0..20_000).map(|id| worker(&format!("s-{id}"), "a", "ready")).collect();
    let whole = list_json(7, true, &workers);
    watch.send(&whole);
    let alive = watch.keep_alive();
    drop(relay.ask_until_served("?stream=1&zones=none"));
    let mut watching = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    let mut once = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers");
    assert_eq!((watching.status, once.status), (200, 200));
    drop(alive);
    while relay.ask("?stream=1&zones=none").status == 200 {
        thread::yield_now();
    }
    for subscriber in [&mut watching, &mut once] {
        let (told, ending) = subscriber.read_to_end();
        assert_eq!(ending, BodyEnd::Truncated);
        assert!(told.len() < whole.len() && whole.starts_with(&told));
    }
}

#[test]
fn a_source_that_starts_its_versions_anew_is_asked_for_the_whole_list() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.source_behind = Duration::from_millis(200);
    });
    let (_, watch) = source.accept();
    watch.send(&list_json(1_000, true, &[worker("s-1", "a", "ready"), worker("s-2", "a", "ready")]));
    let mut subscriber = relay.ask_until_served("?stream=1&zones=a");
    assert_eq!(next_with_workers(&mut subscriber).version, 1_000);
    // Older than what is held: passed over, and the heartbeats behind it show nothing new.
    watch.send(&list_json(5, true, &[worker("s-2", "a", "ready")]));
    let alive = watch.keep_alive();
    let (asked, watch) = source.accept();
    drop(alive);
    assert_eq!(asked, "GET /v1/servers?stream=1 HTTP/1.1");
    watch.send(&list_json(6, true, &[worker("s-2", "a", "draining")]));
    let (told, ending) = subscriber.read_to_end();
    assert_eq!((told.trim(), ending), ("", BodyEnd::Complete), "the watch ends, and nothing old was told");
    let mut ahead = relay.ask_until_served("?stream=1&zones=a&index=1000");
    assert_eq!(read(&ahead.next_list().unwrap()), expected(6, false, &[]));
    let mut anew = relay.ask("?stream=1&zones=a");
    assert_eq!(read(&anew.next_list().unwrap()), expected(6, true, &["s-2 a draining"]));
    watch.send(&list_json(7, false, &[worker("s-3", "a", "ready")]));
    assert_eq!(next_with_workers(&mut anew), expected(7, false, &["s-3 a ready"]));
}

#[test]
fn a_relay_that_ends_within_a_snapshot_leaves_a_broken_line() {
    let source = Source::new();
    let mut relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    let workers: Vec<String> = (0..20_000).map(|id| worker(&format!("s-{id}"), "a", "ready")).collect();
    let whole = list_json(7, true, &workers);
    watch.send(&whole);
    while relay.ask("?stream=1&zones=none").status != 200 {
        thread::yield_now();
    }
    // It has taken the head only, and more than its connection holds is left.
    let mut subscriber = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    relay.stop();
    let (told, ending) = subscriber.read_to_end();
    assert_eq!(ending, BodyEnd::Truncated);
    assert!(told.len() < whole.len() && whole.starts_with(&told), "a part of one line, without its end");
}

#[test]
fn one_that_reads_a_byte_a_second_delays_none_of_three_hundred() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    let id = |number: usize| format!("s-{number:04}");
    let workers: Vec<String> = (0..5_000).map(|number| worker(&id(number), "a", "ready")).collect();
    let whole = list_json(1, true, &workers);
    watch.send(&whole);
    while relay.ask("?stream=1&zones=none").status != 200 {
        thread::yield_now();
    }
    let mut slow = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
    let address = relay.address;
    let (done, released) = mpsc::channel::<()>();
    let slow = thread::spawn(move || {
        let mut read = 0;
        // Until the others have all they were to have.
        while released.recv_timeout(Duration::from_secs(1)).is_err() {
            assert!(slow.read_one_byte());
            read += 1;
        }
        (slow, read)
    });

    let mut quick: Vec<ListSubscriber> =
        (0..ALL_QUICK).map(|_| ListSubscriber::request(address, "/v1/servers?stream=1&zones=z")).collect();
    for subscriber in &mut quick {
        assert_eq!(next_with_workers(subscriber), expected(1, true, &[]));
    }
    // Each round changes every worker that the slow one is to be told of, and one that the quick ones are.
    let rounds = 12;
    for round in 2..2 + rounds {
        let lifecycle = if round % 2 == 0 { "draining" } else { "ready" };
        let mut changed: Vec<String> = (0..5_000).map(|number| worker(&id(number), "a", lifecycle)).collect();
        changed.push(worker("z-1", "z", lifecycle));
        watch.send(&list_json(round, false, &changed));
        for subscriber in &mut quick {
            assert_eq!(
                next_with_workers(subscriber),
                expected(round, false, &[&format!("z-1 z {lifecycle}")])
            );
        }
    }
    done.send(()).unwrap();
    let (mut slow, read) = slow.join().unwrap();
    // What it is still told: the snapshot that was being written, and behind it the latest of each worker.
    let mut told = 0;
    let latest = format!("\"generation\":{},", 1 + rounds);
    loop {
        let line = slow.next_list().expect("the watch lives");
        told += line.len();
        if line.contains(&latest) {
            break;
        }
    }
    let each_round = whole.len();
    assert!(told < 4 * each_round, "{told} bytes after {read}: coalesced, not {rounds} times {each_round}");
}

#[test]
fn one_subscriber_too_many_is_refused() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| options.limits.subscribers = 2);
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[worker("s-1", "a", "ready")]));
    let mut first = relay.ask_until_served("?stream=1");
    let second = relay.ask("?stream=1");
    assert_eq!(second.status, 200);
    let mut third = relay.ask("?stream=1");
    assert_eq!(third.status, 503);
    assert_eq!(third.read_to_end().0, "this relay serves 2 subscribers already\n");
    assert_eq!(ListSubscriber::request(relay.address, "/healthz").status, 200);
    assert_eq!(next_with_workers(&mut first).version, 7);
    // Whose room is free as soon as the relay sees its end.
    drop(second);
    relay.ask_until_served("?stream=1");
}

/// Whoever takes nothing of a list of so many workers is given up, and its room is another's.
fn is_given_up(workers: usize) {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.limits.subscribers = 1;
        options.timing.stalled_write = Duration::from_millis(300);
    });
    let (_, watch) = source.accept();
    let workers: Vec<String> = (0..workers).map(|id| worker(&format!("s-{id}"), "a", "ready")).collect();
    watch.send(&list_json(7, true, &workers));
    drop(relay.ask_until_served("?stream=1&zones=none"));
    let started = Instant::now();
    let stalled = loop {
        let subscriber = ListSubscriber::request_with_small_buffer(relay.address, "/v1/servers?stream=1");
        if subscriber.status == 200 {
            break subscriber;
        }
        assert!(started.elapsed() < WITHIN, "the room of the first is never given back");
    };
    let mut next = relay.ask_until_served("?stream=1&zones=z");
    assert_eq!(next_with_workers(&mut next), expected(7, true, &[]));
    drop(stalled);
}

#[test]
fn one_that_takes_nothing_is_given_up_and_its_room_is_another_s() {
    is_given_up(20_000);
}

#[test]
fn so_it_is_where_the_kernel_holds_all_that_is_left_for_it() {
    is_given_up(400);
}

#[test]
fn a_request_that_is_none_gets_one_clear_line() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |_| {});
    let (_, watch) = source.accept();
    watch.send(&list_json(7, true, &[]));
    drop(relay.ask_until_served(""));
    let refused = |path: &str| {
        let mut answer = ListSubscriber::request(relay.address, path);
        (answer.status, answer.read_to_end().0)
    };
    assert_eq!(refused("/v1/server"), (404, "there is no /v1/server; the list is at /v1/servers\n".into()));
    assert_eq!(refused("/v1/servers?zones="), (400, "zones names nothing\n".into()));
    assert_eq!(refused("/v1/servers?services=%ff"), (400, "a name in services is not UTF-8\n".into()));
    assert_eq!(refused("/v1/servers?stream=1&index=-1"), (400, "index is no version: -1\n".into()));
    let mut posted = TcpStream::connect(relay.address).unwrap();
    posted.write_all(b"POST /v1/servers HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut answer = String::new();
    posted.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 405 "), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("\r\nallow: get\r\n"), "{answer}");
}

#[test]
fn a_request_whose_head_never_ends_is_closed() {
    let source = Source::new();
    let relay = RunningRelay::start(source.address(), |options| {
        options.timing.request_head = Duration::from_millis(200);
    });
    let mut stranger = TcpStream::connect(relay.address).unwrap();
    // Shorter than what hyper allows by itself.
    stranger.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stranger.write_all(b"GET /v1/servers HTTP/1.1\r\nHost:").unwrap();
    let mut answer = String::new();
    stranger.read_to_string(&mut answer).expect("it is closed");
}
