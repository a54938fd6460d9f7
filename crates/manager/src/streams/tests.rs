use super::*;

#[tokio::test]
async fn panic_in_a_connection_ends_only_that_connection() {
    let (inbound, mut received) = mpsc::channel(8);
    let (unidentified, collectors, last_stream_id) =
        (ConnectionLimiter::new(1), ConnectionLimiter::new(1), Cell::default());
    let zones = Rc::default();
    let (open_count, max_open) = (Cell::new(2), 2);
    let context = Rc::new(AcceptorContext {
        inbound,
        proxy_count: 1,
        zones,
        unidentified,
        collectors,
        last_stream_id,
        open_count,
        max_open,
    });
    let from = "127.0.0.1:1".parse().unwrap();
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(supervise(StreamId(1), from, async { panic!("out of range") }, context.clone()));
    tasks.spawn_local(supervise(
        StreamId(2),
        from,
        async { Err(ConnectionError::reading("half a line")) },
        context,
    ));
    let mut ended = Vec::new();
    tasks.await;
    while let Ok(Inbound::Ended(id, reason)) = received.try_recv() {
        ended.push((id.0, reason.unwrap()));
    }
    ended.sort();
    assert!(
        matches!(&ended[..], [(1, panic), (2, error)]
        if panic.contains("out of range") && error.contains("half a line (while reading)")),
        "{ended:?}"
    );
}
