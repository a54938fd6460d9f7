//! Probes of workers. Each probe is one call of a tower service, which limits the number of concurrent probes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::StatusCode;
use juniperrail_interface::*;
use tower::util::BoxCloneSyncService;
use tower::{service_fn, BoxError, ServiceBuilder, ServiceExt};

use crate::connection_error::{ConnectionError, Stage};
use crate::{http, protocol};

/// The result of one probe.
#[derive(Debug, PartialEq)]
pub struct ProbeResult {
    /// Whether the worker answered, and how.
    pub outcome: ProbeOutcome,
    /// The time from the start of the probe to its end.
    pub latency: Ms,
    /// The load that the worker reported; empty if the probe failed or the report is invalid.
    pub load: Load,
}

/// A service that probes the worker at an address.
pub type ProbeService = BoxCloneSyncService<SocketAddr, ProbeResult, std::convert::Infallible>;

/// Limit on the body of a response.
const MAX_BODY_BYTES: usize = 4096;

/// Returns a service with these timeouts that runs at most `max_concurrent` probes at a time.
pub fn probe_service(
    connect_timeout: Duration,
    response_timeout: Duration,
    max_concurrent: usize,
) -> ProbeService {
    let exchange = http::exchange(connect_timeout, response_timeout);
    let read_body = ServiceBuilder::new()
        .map_err(ConnectionError::service(Stage::Reading))
        .timeout(response_timeout)
        .service(service_fn(collect_body));
    let probe = service_fn(move |worker: SocketAddr| {
        let (exchange, read_body, started) = (exchange.clone(), read_body.clone(), Instant::now());
        async move {
            let response = async {
                let (head, body) = exchange.oneshot((worker, "/load".into())).await?.into_parts();
                Ok((head.status, read_body.oneshot(body).await?))
            };
            let (outcome, load) = match response.await {
                Ok((StatusCode::OK, body)) => {
                    (ProbeOutcome::Success, protocol::parse_load(&body).unwrap_or_default())
                }
                Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => (ProbeOutcome::Rejected, Load::default()),
                Ok(_) => (ProbeOutcome::ErrorResponse, Load::default()),
                Err(error) => (outcome_of(&error), Load::default()),
            };
            Ok(ProbeResult { outcome, latency: started.elapsed().as_secs_f64() * 1000.0, load })
        }
    });
    BoxCloneSyncService::new(ServiceBuilder::new().concurrency_limit(max_concurrent).service(probe))
}

async fn collect_body(body: Incoming) -> Result<Bytes, BoxError> {
    Ok(Limited::new(body, MAX_BODY_BYTES).collect().await?.to_bytes())
}

/// If connecting failed, the worker is unreachable. If a later stage failed, it is running, but slow or broken.
fn outcome_of(error: &ConnectionError) -> ProbeOutcome {
    match error.stage {
        Stage::Connecting => ProbeOutcome::Unreachable,
        _ if error.timed_out => ProbeOutcome::TimedOut,
        _ => ProbeOutcome::ConnectionLost,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// A worker that reads a request, sends `response` and closes the connection, or keeps it open with `hang`.
    async fn worker(response: &'static str, hang: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let read = socket.read(&mut request).await.unwrap();
            assert!(request[..read].starts_with(b"GET /load HTTP/1.1\r\n"));
            socket.write_all(response.as_bytes()).await.unwrap();
            if hang {
                std::future::pending::<()>().await;
            }
        });
        address
    }

    #[tokio::test]
    async fn probe_outcome_depends_on_the_status_and_the_stage_reached() {
        let probes = probe_service(Duration::from_secs(5), Duration::from_millis(200), 2);
        let report = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ninflight=7,queue=2,util=1";
        let unreachable = "127.0.0.1:0".parse().unwrap();
        for (worker, expected) in [
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
            (unreachable, ProbeOutcome::Unreachable),
        ] {
            let result = probes.clone().oneshot(worker).await.unwrap();
            assert_eq!(result.outcome, expected);
            assert_eq!(result.load.queued, (expected == ProbeOutcome::Success).then_some(2.0));
        }
    }
}
