//! Effects: an HTTP/1.1 POST to a worker that carries what occurrence it is of and the fencing number. How far it had
//! come when it failed decides whether it may be sent again.

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

use crate::mail::Mail;

/// Effects under way at once; the others wait.
const AT_ONCE: usize = 64;

/// Sends effects for good.
pub async fn serve(mail: Arc<Mail>) {
    let places = Arc::new(Semaphore::new(AT_ONCE));
    loop {
        let Some(todo) = mail.to_act() else {
            mail.effect.notified().await;
            continue;
        };
        let ClaimTask::Execute { occurrence, fence, tries, action, time_limit } = todo else { continue };
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let mail = mail.clone();
        tokio::spawn(async move {
            let within = Duration::from_secs_f64(time_limit.max(1.0) / 1000.0);
            let turn = effect(&occurrence, fence, tries, &action, within).await;
            tracing::info!(
                "fleet: {} of {} under {}: {turn:?}",
                occurrence.schedule,
                occurrence.due_ms,
                fence.0
            );
            if Point::EFFECT_ANSWERED.pass().is_none() {
                mail.acted(fence, turn);
            }
            drop(place);
        });
    }
}

async fn effect(
    occurrence: &Occurrence,
    fence: Index,
    tries: u32,
    action: &Action,
    within: Duration,
) -> TryOutcome {
    let Ok(address) = action.address.parse::<SocketAddr>() else { return TryOutcome::Failed };
    if Point::EFFECT_DIAL.pass().is_some() {
        return TryOutcome::Unsent;
    }
    let dialled = async {
        let socket = TcpStream::connect(address).await.ok()?;
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.ok()
    };
    let begun = tokio::time::Instant::now();
    let Ok(Some((mut sender, connection))) = timeout(within, dialled).await else {
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
    // A path that no request can have is the operator's to mend.
    let Ok(request) = request else { return TryOutcome::Failed };
    _ = Point::EFFECT_SEND.pass();
    let left = within.saturating_sub(begun.elapsed());
    let answer = timeout(left, sender.send_request(request)).await;
    if Point::EFFECT_SENT.pass().is_some() {
        return TryOutcome::Unanswered;
    }
    match answer {
        Ok(Ok(response)) => match response.status() {
            status if status.is_success() => TryOutcome::Succeeded,
            StatusCode::CONFLICT => TryOutcome::Overtaken,
            // Turned away before it ran.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => TryOutcome::Unsent,
            _ => TryOutcome::Failed,
        },
        Ok(Err(_)) | Err(_) => TryOutcome::Unanswered,
    }
}
