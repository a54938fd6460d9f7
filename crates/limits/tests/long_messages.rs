//! Guards against peers with long unfinished messages that take all memory, or all permits for good. The clock is the test's.

use std::time::Duration;

use juniperrail_limits::*;
use tokio::time::{advance, timeout};

const LIMITS: HoldLimits =
    HoldLimits { max_pause: Duration::from_millis(100), max_hold: Duration::from_secs(1) };

/// Whether a future is ready now.
async fn is_ready(future: impl std::future::Future<Output = ()>) -> bool {
    timeout(Duration::ZERO, future).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_stalled_message_is_given_up_once_another_connection_waits() {
    let limiter = LongMessageLimiter::new(1, LIMITS);
    let mut permit = limiter.clone().acquire().await;
    advance(10 * LIMITS.max_hold).await;
    assert!(!is_ready(permit.stalled()).await, "nobody waits");
    assert!(permit.record_read(), "nobody waits");
    let mut next = Box::pin(limiter.clone().acquire());
    assert!(timeout(Duration::ZERO, &mut next).await.is_err(), "all permits are taken");
    assert!(!is_ready(permit.stalled()).await, "the pause is short yet");
    advance(LIMITS.max_pause).await;
    assert!(is_ready(permit.stalled()).await);
    drop(permit);
    let permit = next.await;
    advance(10 * LIMITS.max_pause).await;
    assert!(!is_ready(permit.stalled()).await, "nobody waits any more");
    // A connection that ends while it waits counts no longer.
    drop(timeout(Duration::ZERO, limiter.clone().acquire()).await);
    assert!(!is_ready(permit.stalled()).await);
}

#[tokio::test(start_paused = true)]
async fn a_message_that_arrives_in_drips_is_given_up_once_another_connection_waits() {
    let limiter = LongMessageLimiter::new(1, LIMITS);
    let mut permit = limiter.clone().acquire().await;
    let waiting = limiter.clone().acquire();
    tokio::pin!(waiting);
    assert!(timeout(Duration::ZERO, &mut waiting).await.is_err());
    let mut held_for = Duration::ZERO;
    while permit.record_read() {
        assert!(!is_ready(permit.stalled()).await);
        advance(LIMITS.max_pause / 2).await;
        held_for += LIMITS.max_pause / 2;
    }
    assert!(held_for > LIMITS.max_hold && held_for <= LIMITS.max_hold + LIMITS.max_pause, "{held_for:?}");
}
