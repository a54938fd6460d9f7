use super::*;

const TIMEOUTS: SilenceTimeouts = SilenceTimeouts { answer_timeout: 3000.0, queue_drain_time: 12_000.0 };

/// Three proxies that were each sent the mark of an own turn, in this order, at once.
fn started() -> (Presence, Vec<impl Sized>) {
    let mut presence = Presence::new(TIMEOUTS);
    let mut ends = Vec::new();
    for proxy in 0..3 {
        let (orders, told, end) = Outbox::new(8);
        ends.push((told, end));
        let stream = Stream::new(StreamId(proxy.into()), orders, ZoneId(0), 1.0, 0.0);
        presence.streams.insert(ProxyId(proxy), stream);
        presence.next_turn();
        assert!(presence.send(ProxyId(proxy), 0.0, 1e4, Some(MarkId(proxy)), Bytes::new()));
    }
    (presence, ends)
}

/// Who is told as left, or given up, by then.
fn silent(presence: &mut Presence, now: Ms) -> Vec<u16> {
    let told = presence.lapses(now).into_iter();
    told.map(|lapse| match lapse {
        Lapse::Silent { proxy, .. } | Lapse::GivenUp(proxy) => proxy.0,
    })
    .collect()
}

fn answers(presence: &mut Presence, now: Ms, proxy: u16) {
    assert!(presence.spoke(now, StreamId(proxy.into()), ProxyId(proxy)).is_some());
    assert_eq!(presence.answered(now, ProxyId(proxy), MarkId(proxy)), Ok(()));
}

#[test]
fn who_waits_for_its_message_is_not_silent_but_who_was_overtaken_is() {
    let (mut presence, _ends) = started();
    answers(&mut presence, 4000.0, 0);
    assert_eq!(silent(&mut presence, 9000.0).len(), 0, "their messages wait in the channel");
    // The answer to the last proves that the second's message is out too, since then.
    answers(&mut presence, 9500.0, 2);
    assert_eq!(presence.next(), Some(12_500.0));
    assert_eq!(silent(&mut presence, 12_499.0).len(), 0);
    assert_eq!(silent(&mut presence, 12_500.0), [1]);
    assert_eq!(silent(&mut presence, 15_499.0).len(), 0, "its connection stays as long again");
    assert_eq!(silent(&mut presence, 15_500.0), [1]);
}

#[test]
fn where_nobody_answers_the_whole_queue_is_waited_for() {
    let (mut presence, _ends) = started();
    assert_eq!(silent(&mut presence, 14_999.0).len(), 0);
    assert_eq!(silent(&mut presence, 15_000.0), [0, 1, 2]);
}
