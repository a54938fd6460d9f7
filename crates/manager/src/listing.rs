//! The list of workers in the form in which discovery sends it.

use std::borrow::Cow;
use std::net::SocketAddr;

use juniperrail_interface::*;
use juniperrail_start::Names;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// A full list or changes of it, as discovery sends them. Fields that no decision needs are not parsed.
#[derive(Debug, Default, Deserialize)]
pub struct Listing {
    /// The version of the list at its source.
    #[serde(rename = "generation")]
    pub version: u64,
    /// Whether it is the full list; otherwise it holds changes.
    #[serde(default, rename = "reset")]
    pub full: bool,
    /// The entries, without those that the scope filter dropped.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// One element of a list.
#[derive(Debug)]
pub enum Instance {
    /// An entry, as discovery sent it.
    Entry(Box<RawValue>),
    /// A worker of the current list has left the scope; nothing else of its entry is kept.
    Departure(Departure),
}

impl<'de> Deserialize<'de> for Instance {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Instance, D::Error> {
        Box::<RawValue>::deserialize(deserializer).map(Instance::Entry)
    }
}

/// A worker that has left the scope of this manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The name of the worker.
    pub worker: String,
    /// The phase that the worker has for this manager from now on: gone if its entry names that, otherwise draining.
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

/// One valid element of a list.
pub enum ReadEntry {
    /// A worker, and the address at which it is probed.
    Listed { listed: WorkerEntry, address: Option<SocketAddr> },
    /// A worker has left the scope.
    Departure(Departure),
}

/// The elements of a list, parsed.
pub struct Entries {
    /// The valid elements, in the order of the list.
    pub valid: Vec<ReadEntry>,
    /// For each entry that cannot be parsed, the name of its worker if at least that can be.
    pub unreadable: Vec<Option<String>>,
    /// Why the last of these cannot be parsed.
    pub last_error: Option<String>,
}

/// The worker of an entry that cannot be parsed in full.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Identity {
    instance_id: String,
}

impl Listing {
    /// Parses the entries. Those that cannot be parsed are skipped.
    pub fn entries(&self, names: &mut Names) -> Entries {
        let valid = Vec::with_capacity(self.instances.len());
        let mut entries = Entries { valid, unreadable: Vec::new(), last_error: None };
        for instance in &self.instances {
            let raw = match instance {
                Instance::Entry(raw) => raw.get(),
                Instance::Departure(departure) => {
                    entries.valid.push(ReadEntry::Departure(departure.clone()));
                    continue;
                }
            };
            match parse_entry(raw, names) {
                Ok((listed, address)) => entries.valid.push(ReadEntry::Listed { listed, address }),
                Err(error) => {
                    entries
                        .unreadable
                        .push(serde_json::from_str(raw).ok().map(|Identity { instance_id }| instance_id));
                    entries.last_error = Some(error);
                }
            }
        }
        entries
    }
}

fn parse_entry(raw: &str, names: &mut Names) -> Result<(WorkerEntry, Option<SocketAddr>), String> {
    let entry: Entry = serde_json::from_str(raw).map_err(|cause| cause.to_string())?;
    let phase = match &*entry.lifecycle {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        "gone" => Phase::Gone,
        other => return Err(format!("unknown lifecycle {other:?}")),
    };
    // Names are written into messages to proxies, where these characters are separators.
    if entry.instance_id.is_empty() || entry.instance_id.contains([' ', ',', ':', '\r', '\n']) {
        return Err(format!("{:?} is not a valid worker name", entry.instance_id));
    }
    let listed = WorkerEntry {
        worker: names.worker(&entry.instance_id),
        phase,
        started_at: entry.started_at_ms.filter(|started_at| *started_at > 0.0),
        zone: names.zone(&entry.zone),
        machine: names.machine(&entry.machine_type),
        cell: CellId(entry.cell.and_then(|cell| u32::try_from(cell).ok()).unwrap_or(u32::MAX)),
        weight: entry.weight.filter(|weight| *weight > 0.0).unwrap_or(0.0),
    };
    Ok((listed, entry.host_port.parse().ok()))
}
