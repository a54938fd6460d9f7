//! The list of workers, as discovery words it.

use std::borrow::Cow;
use std::net::SocketAddr;

use juniperrail_interface::*;
use juniperrail_start::Names;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// A list or its changes, as discovery words them; what no decision needs is not even read.
#[derive(Debug, Default, Deserialize)]
pub struct Listing {
    /// The source's number of this state of the list.
    #[serde(rename = "generation")]
    pub version: u64,
    /// Whether it is the whole list; otherwise these are changes.
    #[serde(default, rename = "reset")]
    pub full: bool,
    /// The entries that are kept.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// One element of a list.
#[derive(Debug)]
pub enum Instance {
    /// An entry, as discovery words it.
    Entry(Box<RawValue>),
    /// A worker that is held has left the scope; nothing else of its entry is kept.
    Departure(Departure),
}

impl<'de> Deserialize<'de> for Instance {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Instance, D::Error> {
        Box::<RawValue>::deserialize(from).map(Instance::Entry)
    }
}

/// A worker that has left the scope of this manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Its name.
    pub worker: String,
    /// What it is for this manager from now on: draining, or gone if it is.
    pub phase: Phase,
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

/// One element of a list that can be read.
pub enum ReadEntry {
    /// How a worker is, and where it is probed.
    Listed { listed: WorkerEntry, address: Option<SocketAddr> },
    /// A worker has left the scope.
    Departure(Departure),
}

/// A list as far as it can be read.
pub struct Entries {
    /// In the order of the list.
    pub read: Vec<ReadEntry>,
    /// Whom the entries that can't be read are about, as far as at least that can be.
    pub unreadable: Vec<Option<String>>,
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
        let mut entries = Entries { read: Vec::with_capacity(self.instances.len()), unreadable: Vec::new() };
        let mut last_fault = None;
        for instance in &self.instances {
            let raw = match instance {
                Instance::Entry(raw) => raw.get(),
                Instance::Departure(departure) => {
                    entries.read.push(ReadEntry::Departure(departure.clone()));
                    continue;
                }
            };
            match entry(raw, names) {
                Ok((listed, address)) => entries.read.push(ReadEntry::Listed { listed, address }),
                Err(fault) => {
                    entries
                        .unreadable
                        .push(serde_json::from_str(raw).ok().map(|About { instance_id }| instance_id));
                    last_fault = Some(fault);
                }
            }
        }
        if let Some(last) = last_fault {
            let odd = entries.unreadable.len();
            tracing::warn!("list {}: {odd} entries are passed over, the last: {last}", self.version);
        }
        entries
    }
}

fn entry(raw: &str, names: &mut Names) -> Result<(WorkerEntry, Option<SocketAddr>), String> {
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
    let listed = WorkerEntry {
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
