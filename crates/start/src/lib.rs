//! Decodes the JSON settings object that the manager and `simhost` receive, and maps names to ids. Unknown keys are
//! ignored. An absent number is 0, an absent string or array is empty, and a value of the wrong type is an error.

use std::collections::HashMap;

use juniperrail_interface::*;
use serde_json::Value;

/// Maps the names of a protocol to the planner's ids, which are assigned in order of first appearance.
#[derive(Clone, Default)]
pub struct IdMap {
    ids: HashMap<String, u32>,
    names: HashMap<u32, String>,
    /// Ids are never reused, so the id of a forgotten name can't refer to another one.
    next_id: u32,
}

impl IdMap {
    /// The id of a name; a new name is assigned one.
    pub fn id_for(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Removes an id and its name.
    pub fn forget(&mut self, id: u32) {
        let name = self.names.remove(&id);
        name.into_iter().for_each(|name| _ = self.ids.remove(&name));
    }

    /// The id of a name, if it has one.
    pub fn find_id(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The number of known names.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// The name of an id, if it is known.
    pub fn find_name(&self, id: u32) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// The name of an id. Panics if the id is unknown.
    pub fn name(&self, id: u32) -> &str {
        &self.names[&id]
    }
}

/// The names that the planner's ids stand for, by kind.
#[derive(Clone, Default)]
pub struct Names {
    pub workers: IdMap,
    pub zones: IdMap,
    pub machines: IdMap,
    pub ops: IdMap,
}

impl Names {
    /// The id of a zone; a new name is assigned one.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.id_for(name) as u16)
    }

    /// The id of a machine type; a new name is assigned one.
    pub fn machine(&mut self, name: &str) -> MachineId {
        MachineId(self.machines.id_for(name) as u16)
    }

    /// The id of a worker; a new name is assigned one.
    pub fn worker(&mut self, name: &str) -> WorkerId {
        WorkerId(self.workers.id_for(name))
    }

    /// The id of a configured operation.
    pub fn op(&self, name: &str) -> Option<OpId> {
        self.ops.find_id(name).map(|id| OpId(id as u8))
    }
}

/// The value at a dotted path; null where it is absent.
fn value_at<'a>(object: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(object, |value, key| &value[key])
}

/// The number at a dotted path; 0 where it is absent.
pub fn number(object: &Value, path: &str) -> Result<f64, String> {
    match value_at(object, path) {
        Value::Null => Ok(0.0),
        value => value.as_f64().ok_or_else(|| format!("setting {path} is not a number: {value}")),
    }
}

/// The number at a dotted path as an integer; 0 where it is absent.
fn count(object: &Value, path: &str) -> Result<usize, String> {
    number(object, path).map(|number| number as usize)
}

/// The string at a dotted path; empty where it is absent.
fn string<'a>(object: &'a Value, path: &str) -> Result<&'a str, String> {
    match value_at(object, path) {
        Value::Null => Ok(""),
        value => value.as_str().ok_or_else(|| format!("setting {path} is not a string: {value}")),
    }
}

/// The array at a dotted path; empty where it is absent.
fn array<'a>(object: &'a Value, path: &str) -> Result<&'a [Value], String> {
    match value_at(object, path) {
        Value::Null => Ok(&[]),
        value => Ok(value.as_array().ok_or_else(|| format!("setting {path} is not an array: {value}"))?),
    }
}

/// The strings of the array at a dotted path; empty where it is absent.
fn strings<'a>(object: &'a Value, path: &str) -> Result<Vec<&'a str>, String> {
    let as_string = |value: &'a Value| {
        value.as_str().ok_or_else(|| format!("setting {path} contains a value that is not a string: {value}"))
    };
    array(object, path)?.iter().map(as_string).collect()
}

/// Decodes the settings object. Returns the settings and the names that the ids in them stand for.
pub fn decode(object: &Value) -> Result<(Settings, Names), String> {
    if !object.is_object() {
        return Err("the settings are not a JSON object".into());
    }
    let mut names = Names::default();
    let zones = strings(object, "zones")?.into_iter().map(|zone| names.zone(zone)).collect();
    for machine in strings(object, "skus")? {
        names.machine(machine);
    }
    // One Boolean for each operation; anything else counts as false.
    let own_zone_flags = array(object, "domain.class-own-zone")?;
    let mut operations = Vec::new();
    for (index, operation_object) in array(object, "lanes")?.iter().enumerate() {
        names.ops.id_for(string(operation_object, "name")?);
        operations.push(Operation {
            latency_objective: number(operation_object, "on-time-ms")?,
            billed_value: number(operation_object, "worth")?,
            zones: match strings(operation_object, "only-zones")? {
                zones if zones.is_empty() => None,
                zones => Some(zones.into_iter().map(|zone| names.zone(zone)).collect()),
            },
            machines: match strings(operation_object, "only-kinds")? {
                machines if machines.is_empty() => None,
                machines => Some(machines.into_iter().map(|machine| names.machine(machine)).collect()),
            },
            own_zone_only: own_zone_flags.get(index).and_then(Value::as_bool).unwrap_or(false),
        });
    }
    let settings = Settings {
        operations,
        zones,
        slice_count: count(object, "domain.key-ranges")?,
        level_kind: match string(object, "domain.level-kind")? {
            "share" => LevelKind::Share,
            "rate" => LevelKind::PerSecond,
            _ => LevelKind::Unsupported,
        },
        proxies_avoid_outliers: number(object, "domain.outlier-after")? > 0.0,
        cross_zone_cost: number(object, "charges.cross-zone")?,
        channel_cost: number(object, "domain.cost-per-line")?,
        channel_rate: number(object, "domain.channel-rate")?,
        max_pending_lines: number(object, "domain.pending-max")?,
        message_overhead: number(object, "domain.overhead")?,
        max_messages_per_window: match number(object, "domain.messages-most")? {
            0.0 => f64::INFINITY,
            limit => limit,
        },
        message_window: number(object, "domain.counted-over-ms")?,
        max_transit: number(object, "domain.worst-transit-ms")?,
        report_period: number(object, "domain.period-ms")?,
        drain_grace: number(object, "rules.drain-grace-ms")?,
        warm_up: number(object, "rules.warm-up-ms")?,
        cold_share: number(object, "rules.cold-share")?,
        overload_factor: number(object, "rules.overload-factor")?,
        proxy_count: number(object, "domain.proxy-count")?,
        manager_count: number(object, "n-instances")?,
        list_on_request: string(object, "registry-mode")? == "ask",
        list_request_deadline: number(object, "rules.must-ask-in-ms")?,
    };
    Ok((settings, names))
}
