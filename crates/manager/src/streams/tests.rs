use super::*;

#[tokio::test]
async fn a_panic_in_a_connection_ends_that_connection_alone() {
    let (inbound, mut told) = mpsc::channel(8);
    let (unidentified, collectors, last) =
        (ConnectionLimiter::new(1), ConnectionLimiter::new(1), Cell::default());
    let zones = Rc::default();
    let (open, most) = (Cell::new(2), 2);
    let context = Rc::new(AcceptorContext {
        inbound,
        proxy_count: 1,
        zones,
        unidentified,
        collectors,
        last_stream_id: last,
        open_count: open,
        max_open: most,
    });
    let from = "127.0.0.1:1".parse().unwrap();
    let tasks = tokio::task::LocalSet::new();
    tasks.spawn_local(end(StreamId(1), from, async { panic!("out of range") }, context.clone()));
    tasks.spawn_local(end(StreamId(2), from, async { Err(Fault::reading("half a line")) }, context));
    let mut ended = Vec::new();
    tasks.await;
    while let Ok(Inbound::Ended(id, why)) = told.try_recv() {
        ended.push((id.0, why.unwrap()));
    }
    ended.sort();
    assert!(
        matches!(&ended[..], [(1, panic), (2, fault)]
        if panic.contains("out of range") && fault.contains("half a line (while reading)")),
        "{ended:?}"
    );
}
