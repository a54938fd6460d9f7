use super::*;

const TIMEOUTS: SilenceTimeouts = SilenceTimeouts { ack_timeout: 3000.0, queue_drain_time: 12_000.0 };

/// A tracker of three proxies. At time 0 each was sent one mark, whose number is that of the proxy; each mark belongs
/// to a later turn than the one before. Also returns the receiving ends of the proxies' queues.
fn tracker_with_three_proxies() -> (ConnectionTracker, Vec<impl Sized>) {
    let mut connections = ConnectionTracker::new(TIMEOUTS);
    let mut queues = Vec::new();
    for proxy in 0..3 {
        let (outbox, messages, dropped) = Outbox::new(8);
        queues.push((messages, dropped));
        let stream = Stream::new(StreamId(proxy.into()), outbox, ZoneId(0), 1.0, 0.0);
        connections.streams.insert(ProxyId(proxy), stream);
        connections.start_turn();
        assert!(connections.send(ProxyId(proxy), 0.0, 1e4, Some(MarkId(proxy)), Bytes::new()));
    }
    (connections, queues)
}

/// Handles the timeouts that are due at `now`. Returns the proxies concerned.
fn timed_out(connections: &mut ConnectionTracker, now: Ms) -> Vec<u16> {
    let timeouts = connections.handle_timeouts(now).into_iter();
    timeouts
        .map(|timeout| match timeout {
            StreamTimeout::Silent { proxy, .. }
            | StreamTimeout::Closed(proxy)
            | StreamTimeout::HoldEnded { proxy, .. } => proxy.0,
        })
        .collect()
}

/// Receives the acknowledgement of the mark that was sent to `proxy`.
fn acknowledge(connections: &mut ConnectionTracker, now: Ms, proxy: u16) {
    assert!(connections.record_activity(now, StreamId(proxy.into()), ProxyId(proxy)).is_some());
    assert_eq!(connections.acknowledge(now, ProxyId(proxy), MarkId(proxy)), Ok(()));
}

/// A proxy whose message still waits in the channel must not count as silent.
#[test]
fn a_proxy_is_silent_only_after_its_message_left_the_channel() {
    let (mut connections, _queues) = tracker_with_three_proxies();
    acknowledge(&mut connections, 4000.0, 0);
    assert_eq!(
        timed_out(&mut connections, 9000.0).len(),
        0,
        "the messages to proxies 1 and 2 may still wait in the channel"
    );
    // Proxy 2 acknowledges the last message, so the message to proxy 1 was delivered too: its timeout starts now.
    acknowledge(&mut connections, 9500.0, 2);
    assert_eq!(connections.next_timeout(), Some(12_500.0));
    assert_eq!(timed_out(&mut connections, 12_499.0).len(), 0);
    assert_eq!(timed_out(&mut connections, 12_500.0), [1]);
    assert_eq!(
        timed_out(&mut connections, 15_499.0).len(),
        0,
        "the connection stays open for one more timeout"
    );
    assert_eq!(timed_out(&mut connections, 15_500.0), [1]);
}

#[test]
fn without_any_acknowledgement_the_timeout_starts_after_a_full_channel_has_emptied() {
    let (mut connections, _queues) = tracker_with_three_proxies();
    assert_eq!(timed_out(&mut connections, 14_999.0).len(), 0);
    assert_eq!(timed_out(&mut connections, 15_000.0), [0, 1, 2]);
}
