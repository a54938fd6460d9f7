//! The settings of `BORN`, decoded straight into the start figures. Unknown keys are passed over and
//! an absent figure is 0; a value of the wrong kind is a fault.

use juniperrail_interface::*;
use serde_json::Value;

use crate::wire::Names;

fn at<'a>(from: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(from, |value, key| &value[key])
}

fn number(from: &Value, path: &str) -> Result<f64, String> {
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

pub fn decode(info: &str) -> Result<(Start, Names), String> {
    let info: Value = serde_json::from_str(info).map_err(|err| format!("info is no JSON: {err}"))?;
    if !info.is_object() {
        return Err("info is no JSON object".into());
    }
    let mut names = Names::default();
    let zones = texts(&info, "zones")?.into_iter().map(|zone| names.zone(zone)).collect();
    for machine in texts(&info, "skus")? {
        names.machine(machine);
    }
    let own_zone = list(&info, "domain.class-own-zone")?;
    let mut operations = Vec::new();
    for (place, lane) in list(&info, "lanes")?.iter().enumerate() {
        names.ops.id(text(lane, "name")?);
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
            own_zone: own_zone.get(place).and_then(Value::as_bool).unwrap_or(false),
        });
    }
    let start = Start {
        operations,
        zones,
        slices: count(&info, "domain.key-ranges")?,
        level_kind: match text(&info, "domain.level-kind")? {
            "share" => LevelKind::Share,
            "rate" => LevelKind::PerSecond,
            _ => LevelKind::Unheeded,
        },
        proxies_avoid: number(&info, "domain.outlier-after")? > 0.0,
        crossing_price: number(&info, "charges.cross-zone")?,
        channel_price: number(&info, "domain.cost-per-line")?,
        channel_rate: number(&info, "domain.channel-rate")?,
        lines_waiting_most: number(&info, "domain.pending-max")?,
        message_overhead: number(&info, "domain.overhead")?,
        messages_most: match number(&info, "domain.messages-most")? {
            0.0 => f64::INFINITY,
            most => most,
        },
        messages_over: number(&info, "domain.counted-over-ms")?,
        transit_worst: number(&info, "domain.worst-transit-ms")?,
        report_period: number(&info, "domain.period-ms")?,
        drain_grace: number(&info, "rules.drain-grace-ms")?,
        warm_up: number(&info, "rules.warm-up-ms")?,
        cold_share: number(&info, "rules.cold-share")?,
        overload_factor: number(&info, "rules.overload-factor")?,
        proxies: number(&info, "domain.proxy-count")?,
        managers: number(&info, "n-instances")?,
        list_asked: text(&info, "registry-mode")? == "ask",
        ask_within: number(&info, "rules.must-ask-in-ms")?,
    };
    Ok((start, names))
}
