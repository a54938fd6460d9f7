//! Tests of how long a proxy is kept from joining again whose streams end before it acknowledges anything. The name of each
//! test states the behaviour that it guards.

#[allow(dead_code)] // These tests use only some of the helpers.
mod host;

use host::*;
use juniperrail_interface::*;

const REFUSING: u16 = 1;
const MAX_MESSAGES: f64 = 5.0;

/// The time from a bind until the proxy resets the stream that brought it.
const RESET_AFTER: Ms = 5.0;

/// A manager with a bound proxy 0 and a limit on messages.
fn limited_host() -> Host {
    Host::running(Settings { max_messages_per_window: MAX_MESSAGES, ..settings() }, 4, 1)
}

/// Lets the refusing proxy join as soon as it may, and leave without an acknowledgement. Returns how long it was delayed.
fn refuse_once(host: &mut Host) -> Ms {
    let delay = host.planner.rejoin_delay(host.now, ProxyId(REFUSING)).max(0.0);
    host.advance(delay, &[joined(REFUSING)]);
    host.advance(RESET_AFTER, &[Event::Left { proxy: ProxyId(REFUSING) }]);
    delay
}

#[test]
fn the_first_streams_that_break_are_not_delayed_and_further_ones_ever_longer() {
    let mut host = limited_host();
    host.planner = juniperrail::Planner::new(host.now, 1, settings());
    host.turn(&[list(ListKind::Full, (0..4).map(|worker| entry(worker, Phase::Ready)).collect())]);
    let delays: Vec<Ms> = (0..14).map(|_| refuse_once(&mut host)).collect();
    assert_eq!(delays[..4], [0.0; 4], "{delays:?}");
    assert!(delays[4] > 0.0 && delays[4] < settings().report_period, "{delays:?}");
    assert!(delays[4..].windows(2).all(|pair| pair[1] >= pair[0]), "{delays:?}");
    assert!(delays[13] <= 8.0 * settings().report_period && delays[13] > delays[8], "{delays:?}");
}

#[test]
fn a_proxy_that_refuses_every_message_leaves_room_for_an_exclusion_in_its_message_limit() {
    let mut host = limited_host();
    for _ in 0..20 {
        refuse_once(&mut host);
        let room = host.planner.rejoin_delay(host.now, ProxyId(REFUSING));
        host.advance(room.max(0.0), &[joined(REFUSING)]);
        host.advance(RESET_AFTER, &[]);
        // It has not left yet, and an exclusion that concerns it as well is sent to proxy 0 all the same.
        let drained = entry(3, Phase::Draining);
        let orders = host.advance(RESET_AFTER, &[list_change(vec![drained])]);
        let is_exclusion =
            |order: &Order| matches!(order, Order::ExcludeWorker { worker: WorkerId(3), excluded: true });
        assert!(orders.iter().any(is_exclusion), "{orders:?}");
        host.advance(RESET_AFTER, &[Event::Left { proxy: ProxyId(REFUSING) }]);
        host.advance(4000.0, &[list_change(vec![entry(3, Phase::Ready)])]);
        host.run_seconds(6, 1, &[]);
    }
}

#[test]
fn a_stream_that_lasts_ends_the_delays() {
    let mut host = limited_host();
    (0..6).for_each(|_| _ = refuse_once(&mut host));
    assert!(host.planner.rejoin_delay(host.now, ProxyId(REFUSING)) > 0.0);
    host.advance(2.0 * settings().message_window, &[joined(REFUSING)]);
    host.advance(2.0 * settings().message_window, &[]);
    host.acknowledge(2);
    host.advance(1.0, &[Event::Left { proxy: ProxyId(REFUSING) }]);
    assert!(host.planner.rejoin_delay(host.now, ProxyId(REFUSING)) <= 0.0);
}

#[test]
fn a_proxy_that_acknowledges_its_messages_is_never_delayed() {
    let mut host = limited_host();
    for _ in 0..20 {
        host.advance(100.0, &[joined(REFUSING)]);
        host.acknowledge(2);
        host.advance(1.0, &[Event::Left { proxy: ProxyId(REFUSING) }]);
        assert!(host.planner.rejoin_delay(host.now, ProxyId(REFUSING)) <= 0.0);
    }
}
