//! The list of workers: its form, and the watch that keeps it current.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::StatusCode;
use juniperrail_interface::*;
use juniperrail_start::Names;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout};
use tower::ServiceExt;

use crate::decider::News;
use crate::fault::Fault;
use crate::http;

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A longer line is no list.
const LONGEST: usize = 16 << 20;

/// A list or its changes, as discovery words them; what no decision needs is not even read.
#[derive(Debug, Default, Deserialize)]
pub struct Listing {
    #[serde(rename = "generation")]
    pub version: u64,
    #[serde(default, rename = "reset")]
    pub full: bool,
    #[serde(default)]
    instances: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(borrow)]
    zone: Cow<'a, str>,
    #[serde(borrow, default)]
    machine_type: Cow<'a, str>,
    #[serde(borrow, default)]
    host_port: Cow<'a, str>,
    cell: Option<i64>,
    weight: Option<f64>,
    started_at_ms: Option<f64>,
}

impl Listing {
    /// The entries that can be read, each with its address, and whether these are all; the others are passed
    /// over with a log line.
    pub fn entries(&self, names: &mut Names) -> (Vec<(Listed, Option<SocketAddr>)>, bool) {
        let read: Vec<_> = self.instances.iter().map(|raw| entry(raw.get(), names)).collect();
        let odd: Vec<&String> = read.iter().filter_map(|entry| entry.as_ref().err()).collect();
        if let Some(last) = odd.last() {
            log::warn!("list {}: {} entries are passed over, the last: {last}", self.version, odd.len());
        }
        let all = odd.is_empty();
        (read.into_iter().flatten().collect(), all)
    }
}

fn entry(raw: &str, names: &mut Names) -> Result<(Listed, Option<SocketAddr>), String> {
    let entry: Entry = serde_json::from_str(raw).map_err(|why| why.to_string())?;
    let phase = match &*entry.lifecycle {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        "gone" => Phase::Gone,
        other => return Err(format!("unknown lifecycle {other:?}")),
    };
    // Names end up in orders, where these set words and lines apart.
    if entry.instance_id.is_empty() || entry.instance_id.contains([' ', ',', ':', '\r', '\n']) {
        return Err(format!("no worker can be called {:?}", entry.instance_id));
    }
    let listed = Listed {
        worker: names.worker(&entry.instance_id),
        phase,
        booted: entry.started_at_ms.filter(|at| *at > 0.0),
        zone: names.zone(&entry.zone),
        machine: names.machine(&entry.machine_type),
        cell: CellId(entry.cell.and_then(|cell| u32::try_from(cell).ok()).unwrap_or(u32::MAX)),
        weight: entry.weight.filter(|weight| *weight > 0.0).unwrap_or(0.0),
    };
    Ok((listed, entry.host_port.parse().ok()))
}

/// Ends once another address is in force; never where nobody can tell one any more.
async fn moved(discovery: &mut watch::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending().await
    }
}

pub struct Watch {
    /// The version held; without one the whole list is asked for.
    pub held: Option<u64>,
    pub rng: fastrand::Rng,
    pub news: mpsc::Sender<News>,
}

impl Watch {
    /// Follows the list for good; a watch that breaks, or whose discovery moves, is dialled again with what
    /// is held.
    pub async fn run(mut self, mut discovery: watch::Receiver<SocketAddr>, afresh: &Notify) {
        let exchange = http::exchange(HEARTBEAT, 2 * HEARTBEAT);
        let mut failures = 0;
        loop {
            let (before, address) = (self.held, *discovery.borrow_and_update());
            let fault = tokio::select! {
                fault = self.follow(&exchange, address) => fault,
                () = moved(&mut discovery) => {
                    failures = 0;
                    continue;
                }
                () = afresh.notified() => {
                    self.held = None;
                    continue;
                }
            };
            failures = if self.held == before { failures + 1 } else { 0 };
            // From a 32nd of a heartbeat on, doubling up to one, apart from other managers.
            let wait = HEARTBEAT.mul_f64(0.5 + self.rng.f64()) / (32 >> failures.min(5));
            if (failures + 1_u32).is_power_of_two() {
                log::warn!("the watch broke: {fault}; dialled again in {} ms", wait.as_millis());
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
        log::info!("watching the list at {discovery}{from}");
        let mut text = BytesMut::new();
        loop {
            // Guards against a watch that is silent for good: heartbeats stop, nothing is reset.
            match timeout(2 * HEARTBEAT, body.frame()).await {
                Err(_) => return Fault { late: true, ..Fault::reading("the watch is silent") },
                Ok(None) => return Fault::reading("the watch ended"),
                Ok(Some(Err(cause))) => return Fault::reading(cause.to_string()),
                Ok(Some(Ok(frame))) => text.extend(frame.into_data().ok()),
            }
            // Chunks split and join lines as they like.
            while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                let line = text.split_to(end + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let listing: Listing = match serde_json::from_slice(&line) {
                    Ok(listing) => listing,
                    Err(cause) => return Fault::reading(format!("no list: {cause}")),
                };
                let version = listing.version;
                if self.news.send(News::Listing(listing)).await.is_err() {
                    return Fault::reading("nobody wants the list any more");
                }
                // Only now: a watch given up while it waits to tell would count as told what nobody heard.
                self.held = Some(version);
            }
            if text.len() > LONGEST {
                return Fault::reading("a line of the watch is overlong");
            }
        }
    }
}
