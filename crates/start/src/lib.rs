//! The settings object, as both hosts are handed it, decoded straight into the start figures, and the names
//! that stand behind ids. Unknown keys are passed over and an absent figure is 0; a value of the wrong kind
//! is a fault.

use std::collections::HashMap;

use juniperrail_interface::*;
use serde_json::Value;

/// Names that a protocol spells out and the decisions know by number, in order of their appearance.
#[derive(Clone, Default)]
pub struct IdMap {
    ids: HashMap<String, u32>,
    names: HashMap<u32, String>,
    /// Ids are given out once, so that what was forgotten never stands for something else.
    next: u32,
}

impl IdMap {
    pub fn id_for(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.next;
        self.next += 1;
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    pub fn forget(&mut self, id: u32) {
        let name = self.names.remove(&id);
        name.into_iter().for_each(|name| _ = self.ids.remove(&name));
    }

    pub fn find_id(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    pub fn count(&self) -> usize {
        self.names.len()
    }

    pub fn get(&self, id: u32) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    pub fn name(&self, id: u32) -> &str {
        &self.names[&id]
    }
}

#[derive(Clone, Default)]
pub struct Names {
    pub workers: IdMap,
    pub zones: IdMap,
    pub machines: IdMap,
    pub ops: IdMap,
}

impl Names {
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.id_for(name) as u16)
    }

    pub fn machine(&mut self, name: &str) -> MachineId {
        MachineId(self.machines.id_for(name) as u16)
    }

    pub fn worker(&mut self, name: &str) -> WorkerId {
        WorkerId(self.workers.id_for(name))
    }

    pub fn op(&self, name: &str) -> Option<OpId> {
        self.ops.find_id(name).map(|id| OpId(id as u8))
    }
}

fn at<'a>(from: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(from, |value, key| &value[key])
}

/// The figure at a dotted path; 0 where it is absent.
pub fn number(from: &Value, path: &str) -> Result<f64, String> {
    match at(from, path) {
        Value::Null => Ok(0.0),
        value => value.as_f64().ok_or_else(|| format!("the setting {path} is no number: {value}")),
    }
}

fn count(from: &Value, path: &str) -> Result<usize, String> {
    number(from, path).map(|number| number as usize)
}

fn text<'a>(from: &'a Value, path: &str) -> Result<&'a str, String> {
    match at(from, path) {
        Value::Null => Ok(""),
        value => value.as_str().ok_or_else(|| format!("the setting {path} is no text: {value}")),
    }
}

fn list<'a>(from: &'a Value, path: &str) -> Result<&'a [Value], String> {
    match at(from, path) {
        Value::Null => Ok(&[]),
        value => Ok(value.as_array().ok_or_else(|| format!("the setting {path} is no list: {value}"))?),
    }
}

fn texts<'a>(from: &'a Value, path: &str) -> Result<Vec<&'a str>, String> {
    let each = |value: &'a Value| value.as_str().ok_or_else(|| format!("{path} holds no text: {value}"));
    list(from, path)?.iter().map(each).collect()
}

pub fn decode(info: &Value) -> Result<(Settings, Names), String> {
    if !info.is_object() {
        return Err("the settings are no JSON object".into());
    }
    let mut names = Names::default();
    let zones = texts(info, "zones")?.into_iter().map(|zone| names.zone(zone)).collect();
    for machine in texts(info, "skus")? {
        names.machine(machine);
    }
    let own_zone_only = list(info, "domain.class-own-zone")?;
    let mut operations = Vec::new();
    for (place, lane) in list(info, "lanes")?.iter().enumerate() {
        names.ops.id_for(text(lane, "name")?);
        operations.push(Operation {
            latency_objective: number(lane, "on-time-ms")?,
            billed_value: number(lane, "worth")?,
            zones: match texts(lane, "only-zones")? {
                zones if zones.is_empty() => None,
                zones => Some(zones.into_iter().map(|zone| names.zone(zone)).collect()),
            },
            machines: match texts(lane, "only-kinds")? {
                machines if machines.is_empty() => None,
                machines => Some(machines.into_iter().map(|machine| names.machine(machine)).collect()),
            },
            own_zone_only: own_zone_only.get(place).and_then(Value::as_bool).unwrap_or(false),
        });
    }
    let start = Settings {
        operations,
        zones,
        slice_count: count(info, "domain.key-ranges")?,
        level_kind: match text(info, "domain.level-kind")? {
            "share" => LevelKind::Share,
            "rate" => LevelKind::PerSecond,
            _ => LevelKind::Unsupported,
        },
        proxies_avoid_outliers: number(info, "domain.outlier-after")? > 0.0,
        cross_zone_cost: number(info, "charges.cross-zone")?,
        channel_cost: number(info, "domain.cost-per-line")?,
        channel_rate: number(info, "domain.channel-rate")?,
        max_pending_lines: number(info, "domain.pending-max")?,
        message_overhead: number(info, "domain.overhead")?,
        max_messages_per_window: match number(info, "domain.messages-most")? {
            0.0 => f64::INFINITY,
            most => most,
        },
        message_window: number(info, "domain.counted-over-ms")?,
        max_transit: number(info, "domain.worst-transit-ms")?,
        report_period: number(info, "domain.period-ms")?,
        drain_grace: number(info, "rules.drain-grace-ms")?,
        warm_up: number(info, "rules.warm-up-ms")?,
        cold_share: number(info, "rules.cold-share")?,
        overload_factor: number(info, "rules.overload-factor")?,
        proxy_count: number(info, "domain.proxy-count")?,
        manager_count: number(info, "n-instances")?,
        list_on_request: text(info, "registry-mode")? == "ask",
        list_request_deadline: number(info, "rules.must-ask-in-ms")?,
    };
    Ok((start, names))
}
