//! Sends the effects of schedules: HTTP/1.1 POST requests to workers that carry the occurrence and the fencing token.
//! The stage at which a request failed decides whether it may be sent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use juniperrail_consensus::Index;
use juniperrail_faults::Point;
use juniperrail_schedule::{Action, ClaimTask, Occurrence, TryOutcome};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::channels::Channels;

/// The maximum number of effects in progress; the others wait in the queue.
const MAX_CONCURRENT_EFFECTS: usize = 64;

/// Sends queued effects until it is cancelled.
pub async fn serve(channels: Arc<Channels>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_EFFECTS));
    loop {
        let Some(task) = channels.next_effect() else {
            channels.effect_queued.notified().await;
            continue;
        };
        let ClaimTask::Execute { occurrence, fence, tries, action, time_limit } = task else { continue };
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let channels = channels.clone();
        tokio::spawn(async move {
            // In milliseconds; a limit below 1 ms is raised to 1 ms.
            let time_limit = Duration::from_secs_f64(time_limit.max(1.0) / 1000.0);
            let outcome = send_effect(&occurrence, fence, tries, &action, time_limit).await;
            tracing::info!(
                "fleet: {} of {} with fencing token {}: try ended as {outcome:?}",
                occurrence.schedule,
                occurrence.due_ms,
                fence.0
            );
            if Point::EFFECT_ANSWERED.pass().is_none() {
                channels.complete_effect(fence, outcome);
            }
            drop(permit);
        });
    }
}

/// Sends one effect. The outcome states how far the request got: `Unsent` if it was certainly not executed,
/// `Unanswered` if it may have been.
async fn send_effect(
    occurrence: &Occurrence,
    fence: Index,
    tries: u32,
    action: &Action,
    time_limit: Duration,
) -> TryOutcome {
    let Ok(address) = action.address.parse::<SocketAddr>() else { return TryOutcome::Failed };
    if Point::EFFECT_DIAL.pass().is_some() {
        return TryOutcome::Unsent;
    }
    let connect = async {
        let socket = TcpStream::connect(address).await.ok()?;
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.ok()
    };
    let started_at = tokio::time::Instant::now();
    let Ok(Some((mut sender, connection))) = timeout(time_limit, connect).await else {
        return TryOutcome::Unsent;
    };
    tokio::spawn(connection);
    let request = Request::post(&*action.path)
        .header(header::HOST, &*action.address)
        .header(header::CONTENT_LENGTH, "0")
        .header("juniperrail-schedule", &*occurrence.schedule)
        .header("juniperrail-due", occurrence.due_ms.to_string())
        .header("juniperrail-fence", fence.0.to_string())
        .header("juniperrail-try", tries.to_string())
        .body(Empty::<Bytes>::new());
    // The configured path is not valid in a request, so a retry would fail too: only the operator can correct it.
    let Ok(request) = request else { return TryOutcome::Failed };
    _ = Point::EFFECT_SEND.pass();
    let remaining_time = time_limit.saturating_sub(started_at.elapsed());
    let response = timeout(remaining_time, sender.send_request(request)).await;
    if Point::EFFECT_SENT.pass().is_some() {
        return TryOutcome::Unanswered;
    }
    match response {
        Ok(Ok(response)) => match response.status() {
            status if status.is_success() => TryOutcome::Succeeded,
            StatusCode::CONFLICT => TryOutcome::Overtaken,
            // Rejected before it was executed.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => TryOutcome::Unsent,
            _ => TryOutcome::Failed,
        },
        Ok(Err(_)) | Err(_) => TryOutcome::Unanswered,
    }
}
