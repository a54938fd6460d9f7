use super::*;

const TIMEOUTS: SilenceTimeouts = SilenceTimeouts { ack_timeout: 3000.0, queue_drain_time: 12_000.0 };

/// Three proxies; at time 0 each was sent the mark of its own turn, in this order.
fn three_proxies() -> (ConnectionTracker, Vec<impl Sized>) {
    let mut connections = ConnectionTracker::new(TIMEOUTS);
    let mut receivers = Vec::new();
    for proxy in 0..3 {
        let (outbox, messages, dropped) = Outbox::new(8);
        receivers.push((messages, dropped));
        let stream = Stream::new(StreamId(proxy.into()), outbox, ZoneId(0), 1.0, 0.0);
        connections.streams.insert(ProxyId(proxy), stream);
        connections.start_turn();
        assert!(connections.send(ProxyId(proxy), 0.0, 1e4, Some(MarkId(proxy)), Bytes::new()));
    }
    (connections, receivers)
}

/// The proxies whose streams time out by `now`.
fn timed_out(connections: &mut ConnectionTracker, now: Ms) -> Vec<u16> {
    let timeouts = connections.handle_timeouts(now).into_iter();
    timeouts
        .map(|timeout| match timeout {
            StreamTimeout::Silent { proxy, .. } | StreamTimeout::Closed(proxy) => proxy.0,
        })
        .collect()
}

fn acknowledge(connections: &mut ConnectionTracker, now: Ms, proxy: u16) {
    assert!(connections.record_activity(now, StreamId(proxy.into()), ProxyId(proxy)).is_some());
    assert_eq!(connections.acknowledge(now, ProxyId(proxy), MarkId(proxy)), Ok(()));
}

/// A proxy whose message still waits in the channel must not count as silent.
#[test]
fn a_proxy_is_silent_only_after_its_message_left_the_channel() {
    let (mut connections, _receivers) = three_proxies();
    acknowledge(&mut connections, 4000.0, 0);
    assert_eq!(timed_out(&mut connections, 9000.0).len(), 0, "the other messages wait in the channel");
    // The acknowledgement of the last message shows that the second one was delivered too.
    acknowledge(&mut connections, 9500.0, 2);
    assert_eq!(connections.next_timeout(), Some(12_500.0));
    assert_eq!(timed_out(&mut connections, 12_499.0).len(), 0);
    assert_eq!(timed_out(&mut connections, 12_500.0), [1]);
    assert_eq!(timed_out(&mut connections, 15_499.0).len(), 0, "the connection stays for one more time-out");
    assert_eq!(timed_out(&mut connections, 15_500.0), [1]);
}

#[test]
fn without_any_acknowledgement_the_timeout_starts_after_a_full_channel_has_emptied() {
    let (mut connections, _receivers) = three_proxies();
    assert_eq!(timed_out(&mut connections, 14_999.0).len(), 0);
    assert_eq!(timed_out(&mut connections, 15_000.0), [0, 1, 2]);
}
