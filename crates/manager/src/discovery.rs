//! The watch that keeps the list of workers current.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout_at, Instant};
use tower::ServiceExt;

use crate::fault::Fault;
use crate::http;
use crate::inbound::Inbound;
use crate::lines::LineBuffer;
use crate::listing::Listing;

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A watch that ends no line for so long is silent.
const SILENCE: Duration = HEARTBEAT.saturating_mul(2);
/// Whatever discovery has to tell counts as told at the latest so long after, by the protocol: an agent that is further
/// behind will not come up with what is held.
const BEHIND: Duration = Duration::from_secs(6);
/// A longer line is no list.
const LONGEST: usize = 16 << 20;

/// Ends once another address is in force; never where nobody can tell one any more.
async fn moved(discovery: &mut watch::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending().await
    }
}

pub struct Watch {
    /// The version held; without one the whole list is asked for.
    pub held: Option<u64>,
    /// Since when it has told older lists than the one held.
    pub behind: Option<Instant>,
    pub rng: fastrand::Rng,
    pub inbound: mpsc::Sender<Inbound>,
}

impl Watch {
    /// Follows the list for good; a watch that breaks, or whose discovery moves, is dialled again with what
    /// is held.
    pub async fn run(mut self, mut discovery: watch::Receiver<SocketAddr>, resync: &Notify) {
        let exchange = http::exchange(HEARTBEAT, SILENCE);
        let mut failures = 0;
        loop {
            let (before, address) = (self.held, *discovery.borrow_and_update());
            let fault = tokio::select! {
                fault = self.follow(&exchange, address) => fault,
                () = moved(&mut discovery) => {
                    failures = 0;
                    continue;
                }
                () = resync.notified() => {
                    self.held = None;
                    continue;
                }
            };
            failures = if self.held == before { failures + 1 } else { 0 };
            // From a 32nd of a heartbeat on, doubling up to one, apart from other managers.
            let wait = HEARTBEAT.mul_f64(0.5 + self.rng.f64()) / (32 >> failures.min(5));
            if (failures + 1_u32).is_power_of_two() {
                tracing::warn!("the watch broke: {fault}; dialled again in {} ms", wait.as_millis());
            }
            // Guards against a wait for an address that is no longer in force.
            tokio::select! {
                () = sleep(wait) => {}
                () = moved(&mut discovery) => failures = 0,
            }
        }
    }

    /// One watch, from its dialling to its end.
    async fn follow(&mut self, exchange: &http::Exchange, discovery: SocketAddr) -> Fault {
        let index = self.held.map(|version| format!("&index={version}")).unwrap_or_default();
        let call = (discovery, format!("/v1/servers?stream=1{index}"));
        let mut body = match exchange.clone().oneshot(call).await {
            Ok(answer) if answer.status() == StatusCode::OK => answer.into_body(),
            Ok(answer) => return Fault::reading(format!("discovery answered {}", answer.status())),
            Err(fault) => return fault,
        };
        let from = self.held.map(|held| format!(" from {held} on")).unwrap_or_default();
        tracing::info!("watching the list at {discovery}{from}");
        let (mut lines, mut silent_at) = (LineBuffer::default(), Instant::now() + SILENCE);
        loop {
            // Guards against a watch that is silent for good, or that brings bytes without ever ending a line.
            match timeout_at(silent_at, body.frame()).await {
                Err(_) => return Fault { late: true, ..Fault::reading("the watch is silent") },
                Ok(None) => return Fault::reading("the watch ended"),
                Ok(Some(Err(cause))) => return Fault::reading(cause.to_string()),
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    lines.space(data.len()).extend_from_slice(&data);
                }
            }
            // Chunks split and join lines as they like.
            while let Some(line) = lines.next() {
                if let Err(fault) = self.take(line.trim_ascii()).await {
                    return fault;
                }
                silent_at = Instant::now() + SILENCE;
            }
            if lines.unfinished().len() > LONGEST {
                return Fault::reading("a line of the watch is overlong");
            }
        }
    }

    /// One line of a watch: a list, changes of it, or nothing, which shows that the watch lives.
    async fn take(&mut self, line: &[u8]) -> Result<(), Fault> {
        if !line.is_empty() {
            let listing: Listing =
                serde_json::from_slice(line).map_err(|cause| Fault::reading(format!("no list: {cause}")))?;
            let version = listing.version;
            // Guards against an agent that is behind, as after a move: by its list, who left since would be back.
            if let Some(held) = self.held.filter(|held| version < *held) {
                if self.behind.is_none() {
                    tracing::warn!("list {version} is older than {held}, which is held: it is passed over");
                }
                self.behind.get_or_insert_with(Instant::now);
            } else {
                if self.inbound.send(Inbound::Listing(listing)).await.is_err() {
                    return Err(Fault::reading("nobody wants the list any more"));
                }
                // Only now: a watch given up while it waits to tell would count as told what nobody heard.
                (self.held, self.behind) = (Some(version), None);
            }
        }
        // Guards against discovery that counts anew: its lists would be passed over for good.
        if self.behind.take_if(|since| since.elapsed() >= BEHIND).is_some() {
            self.held = None;
            return Err(Fault::reading("its lists stay older than the one held; the whole is asked for"));
        }
        Ok(())
    }
}
