//! Guards against peers with long unfinished lines that take all memory, or all permits for good. The clock is the test's.

use tokio::time::{advance, timeout};

use super::*;

/// Whether a future is ready now.
async fn is_ready(future: impl std::future::Future<Output = ()>) -> bool {
    timeout(Duration::ZERO, future).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_stalled_line_is_given_up_once_another_connection_waits() {
    let limiter = Rc::new(LongLineLimiter::new(1));
    let mut permit = limiter.clone().acquire().await;
    advance(10 * MAX_HOLD).await;
    assert!(!is_ready(permit.stalled()).await, "nobody waits");
    assert!(permit.record_read(), "nobody waits");
    let mut next = Box::pin(limiter.clone().acquire());
    assert!(timeout(Duration::ZERO, &mut next).await.is_err(), "all permits are taken");
    assert!(!is_ready(permit.stalled()).await, "the pause is short yet");
    advance(MAX_PAUSE).await;
    assert!(is_ready(permit.stalled()).await);
    drop(permit);
    let permit = next.await;
    advance(10 * MAX_PAUSE).await;
    assert!(!is_ready(permit.stalled()).await, "nobody waits any more");
    // A connection that ends while it waits counts no longer.
    drop(timeout(Duration::ZERO, limiter.clone().acquire()).await);
    assert!(!is_ready(permit.stalled()).await);
}

#[tokio::test(start_paused = true)]
async fn a_line_that_arrives_in_drips_is_given_up_once_another_connection_waits() {
    let limiter = Rc::new(LongLineLimiter::new(1));
    let mut permit = limiter.clone().acquire().await;
    let waiting = limiter.clone().acquire();
    tokio::pin!(waiting);
    assert!(timeout(Duration::ZERO, &mut waiting).await.is_err());
    let mut held_for = Duration::ZERO;
    while permit.record_read() {
        assert!(!is_ready(permit.stalled()).await);
        advance(MAX_PAUSE / 2).await;
        held_for += MAX_PAUSE / 2;
    }
    assert!(held_for > MAX_HOLD && held_for <= MAX_HOLD + MAX_PAUSE, "{held_for:?}");
}
