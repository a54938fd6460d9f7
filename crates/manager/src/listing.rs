//! The list of workers, as discovery words it.

use std::borrow::Cow;
use std::net::SocketAddr;

use juniperrail_interface::*;
use juniperrail_start::Names;
use serde::Deserialize;
use serde_json::value::RawValue;

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

pub struct Entries {
    /// Each with its address.
    pub read: Vec<(Listed, Option<SocketAddr>)>,
    /// Whom the entries that can't be read are about, as far as at least that can be.
    pub unread: Vec<Option<String>>,
}

/// Of an entry that can't be read whole: whom it is about.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct About {
    instance_id: String,
}

impl Listing {
    /// What can be read; the other entries are passed over with a log line.
    pub fn entries(&self, names: &mut Names) -> Entries {
        let read: Vec<_> = self.instances.iter().map(|raw| entry(raw.get(), names)).collect();
        let odd: Vec<&String> = read.iter().filter_map(|entry| entry.as_ref().err()).collect();
        if let Some(last) = odd.last() {
            tracing::warn!("list {}: {} entries are passed over, the last: {last}", self.version, odd.len());
        }
        let unread = self.instances.iter().zip(&read).filter(|(_, entry)| entry.is_err());
        let about =
            |raw: &RawValue| serde_json::from_str(raw.get()).ok().map(|About { instance_id }| instance_id);
        let unread = unread.map(|(raw, _)| about(raw)).collect();
        Entries { read: read.into_iter().flatten().collect(), unread }
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
