use super::*;
use juniperrail_limits::HoldLimits;

const LIMITS: HoldLimits = HoldLimits { max_pause: Duration::ZERO, max_hold: Duration::ZERO };

#[tokio::test]
async fn panics_and_errors_end_only_their_own_connection_and_are_reported() {
    let (inbound, mut received) = mpsc::channel(8);
    let (unidentified_limiter, collector_limiter, last_stream_id) =
        (ConnectionLimiter::new(1), ConnectionLimiter::new(1), Cell::default());
    let zones = Rc::default();
    let (open_count, max_open) = (Cell::new(2), 2);
    let context = Rc::new(AcceptorContext {
        inbound,
        proxy_count: 1,
        zones,
        unidentified_limiter,
        collector_limiter,
        last_stream_id,
        open_count,
        max_open,
        long_lines: LongMessageLimiter::new(0, LIMITS),
    });
    let peer_address = "127.0.0.1:1".parse().unwrap();
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(supervise(
        StreamId(1),
        peer_address,
        async { panic!("out of range") },
        context.clone(),
    ));
    tasks.spawn_local(supervise(
        StreamId(2),
        peer_address,
        async { Err(ConnectionError::reading("half a line")) },
        context,
    ));
    let mut ended_connections = Vec::new();
    tasks.await;
    while let Ok(Inbound::Ended(id, reason)) = received.try_recv() {
        ended_connections.push((id.0, reason.unwrap()));
    }
    ended_connections.sort();
    assert!(
        matches!(&ended_connections[..], [(1, panic), (2, error)]
        if panic.contains("out of range") && error.contains("half a line (while reading)")),
        "{ended_connections:?}"
    );
}
