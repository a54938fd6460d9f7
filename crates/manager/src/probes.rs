//! Probes of workers: one tower service call each, few at once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::StatusCode;
use juniperrail_interface::*;
use tower::util::BoxCloneSyncService;
use tower::{service_fn, BoxError, ServiceBuilder, ServiceExt};

use crate::fault::{Fault, Reached};
use crate::{http, text};

/// What one probe found.
#[derive(Debug, PartialEq)]
pub struct ProbeResult {
    pub outcome: ProbeOutcome,
    pub latency: Ms,
    pub load: Load,
}

pub type ProbeService = BoxCloneSyncService<SocketAddr, ProbeResult, std::convert::Infallible>;

const MOST_BODY: usize = 4096;

pub fn probe_service(dial_within: Duration, answer_within: Duration, at_once: usize) -> ProbeService {
    let exchange = http::exchange(dial_within, answer_within);
    let read = ServiceBuilder::new()
        .map_err(Fault::at(Reached::Reading))
        .timeout(answer_within)
        .service(service_fn(whole));
    let probe = service_fn(move |worker: SocketAddr| {
        let (exchange, read, asked) = (exchange.clone(), read.clone(), Instant::now());
        async move {
            let answer = async {
                let (head, body) = exchange.oneshot((worker, "/load".into())).await?.into_parts();
                Ok((head.status, read.oneshot(body).await?))
            };
            let (outcome, load) = match answer.await {
                Ok((StatusCode::OK, body)) => {
                    (ProbeOutcome::Success, text::parse_load(&body).unwrap_or_default())
                }
                Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => (ProbeOutcome::Rejected, Load::default()),
                Ok(_) => (ProbeOutcome::ErrorResponse, Load::default()),
                Err(fault) => (ending(&fault), Load::default()),
            };
            Ok(ProbeResult { outcome, latency: asked.elapsed().as_secs_f64() * 1000.0, load })
        }
    });
    BoxCloneSyncService::new(ServiceBuilder::new().concurrency_limit(at_once).service(probe))
}

async fn whole(body: Incoming) -> Result<Bytes, BoxError> {
    Ok(Limited::new(body, MOST_BODY).collect().await?.to_bytes())
}

/// Nothing ran where dialling failed; later the worker was there, and slow or broken.
fn ending(fault: &Fault) -> ProbeOutcome {
    match fault.reached {
        Reached::Dialling => ProbeOutcome::Unreachable,
        _ if fault.late => ProbeOutcome::TimedOut,
        _ => ProbeOutcome::ConnectionLost,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// A worker that reads a question, says `answer` and, unless it is to hang, hangs up.
    async fn worker(answer: &'static str, hangs: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut question = [0; 1024];
            let read = socket.read(&mut question).await.unwrap();
            assert!(question[..read].starts_with(b"GET /load HTTP/1.1\r\n"));
            socket.write_all(answer.as_bytes()).await.unwrap();
            if hangs {
                std::future::pending::<()>().await;
            }
        });
        address
    }

    #[tokio::test]
    async fn a_probe_tells_by_how_far_it_came_what_the_worker_does() {
        let probes = probe_service(Duration::from_secs(5), Duration::from_millis(200), 2);
        let report = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ninflight=7,queue=2,util=1";
        let nobody = "127.0.0.1:0".parse().unwrap();
        for (worker, ending) in [
            (worker(report, false).await, ProbeOutcome::Success),
            (worker("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false).await, ProbeOutcome::Rejected),
            (
                worker("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", false).await,
                ProbeOutcome::ErrorResponse,
            ),
            (
                worker("HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ninfl", false).await,
                ProbeOutcome::ConnectionLost,
            ),
            (worker("", false).await, ProbeOutcome::ConnectionLost),
            (worker("", true).await, ProbeOutcome::TimedOut),
            (worker("HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ninfl", true).await, ProbeOutcome::TimedOut),
            (nobody, ProbeOutcome::Unreachable),
        ] {
            let found = probes.clone().oneshot(worker).await.unwrap();
            assert_eq!(found.outcome, ending);
            assert_eq!(found.load.queued, (ending == ProbeOutcome::Success).then_some(2.0));
        }
    }
}
