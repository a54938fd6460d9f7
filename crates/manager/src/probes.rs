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
pub struct Found {
    pub ending: Ending,
    pub took: Ms,
    pub load: Load,
}

pub type Probes = BoxCloneSyncService<SocketAddr, Found, std::convert::Infallible>;

const MOST_BODY: usize = 4096;

pub fn probes(dial_within: Duration, answer_within: Duration, at_once: usize) -> Probes {
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
            let (ending, load) = match answer.await {
                Ok((StatusCode::OK, body)) => (Ending::Good, text::load(&body).unwrap_or_default()),
                Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => (Ending::TurnedAway, Load::default()),
                Ok(_) => (Ending::Errored, Load::default()),
                Err(fault) => (ending(&fault), Load::default()),
            };
            Ok(Found { ending, took: asked.elapsed().as_secs_f64() * 1000.0, load })
        }
    });
    BoxCloneSyncService::new(ServiceBuilder::new().concurrency_limit(at_once).service(probe))
}

async fn whole(body: Incoming) -> Result<Bytes, BoxError> {
    Ok(Limited::new(body, MOST_BODY).collect().await?.to_bytes())
}

/// Nothing ran where dialling failed; later the worker was there, and slow or broken.
fn ending(fault: &Fault) -> Ending {
    match fault.reached {
        Reached::Dialling => Ending::Unreachable,
        _ if fault.late => Ending::Late,
        _ => Ending::Broken,
    }
}
