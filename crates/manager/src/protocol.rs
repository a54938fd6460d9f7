//! The line protocol of proxies and collectors: parses lines into typed messages and encodes messages. No I/O.

use std::collections::HashMap;
use std::fmt::{Display, Write};
use std::str::FromStr;

use bytes::Bytes;
use juniperrail_interface::*;

/// Limit on the length of a line after the introduction.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// Limit on the length of a line up to and including the introduction.
pub const MAX_FIRST_LINE_BYTES: usize = 4096;
/// Limit on times, rates and load metrics. For a time it is an hour in milliseconds.
const MAX_VALUE: f64 = 3_600_000.0;
/// Limit on the parts of one message.
pub const MAX_PARTS: usize = 64;
/// Characters of an unknown message kind that the error quotes.
const MAX_QUOTED_KIND_CHARS: usize = 32;
/// The answer to a probe.
pub const ALIVE: Bytes = Bytes::from_static(b"alive\r\n");
/// Sent to a peer that did not introduce itself in time.
pub const LATE: &[u8] = b"error why=late\r\n";
/// Sent to a peer whose introduction is invalid.
pub const REJECTED: &[u8] = b"error why=unreadable\r\n";

/// A message of a peer. Names are not resolved to ids here.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// Asks whether the manager is alive.
    Probe,
    /// The introduction of a collector.
    Agent { zone: String },
    /// The introduction of a proxy. `fresh`: it has just started and has no tables.
    Hello { proxy: u16, zone: String, inv_per_second: f64, fresh: bool },
    /// A report of a proxy or a collector.
    Report(Report),
}

/// What a proxy or a collector reports.
#[derive(Debug, PartialEq)]
pub enum Report {
    /// Tries that a zone's proxies sent to a worker within an interval.
    Outcomes {
        zone: String,
        worker: String,
        tries: f64,
        failed: f64,
        mean_latency: Ms,
        interval: Ms,
        load: Load,
    },
    /// Invocations of an operation that a proxy received within an interval.
    Demand { proxy: u16, op: String, invocations: f64, unanswered: f64, interval: Ms },
    /// A proxy acknowledges a mark.
    Ack { proxy: u16, mark: u16, latency: Ms },
}

/// One part of a message to a proxy.
#[derive(Debug, Default, PartialEq)]
pub struct MessagePart<'a> {
    /// The operations that this part concerns; empty means all of them.
    pub ops: Vec<&'a str>,
    /// The lines are the full table and replace the one that the proxy has.
    pub full: bool,
    /// Workers and their weights.
    pub lines: Vec<(&'a str, f64)>,
    /// The admission level and the retry policy.
    pub level: Option<(f64, Retry)>,
    /// Workers that the proxy excludes from now on: they get no more tries.
    pub excluded: Vec<&'a str>,
    /// Workers that the proxy no longer excludes.
    pub included: Vec<&'a str>,
    /// A mark for the proxy to acknowledge.
    pub mark: Option<MarkId>,
}

/// Why a line is not accepted.
#[derive(Debug, PartialEq)]
pub enum ParseError {
    /// A message of a known kind with a field that is missing, out of range or of another type. Only this message is
    /// lost.
    InvalidFields(String),
    /// Not a message at all. The connection is of no further use and is closed.
    NotAMessage(String),
}

const KINDS: [&str; 6] = ["probe", "agent", "hello", "outcomes", "demand", "ack"];

/// Checks the bytes received so far of a line whose end has not arrived. Returns `None` if no message begins with them,
/// so that a peer that sends other bytes without an end of line is rejected at once instead of at the length limit.
/// Otherwise returns how many of the bytes need not be checked again; the next call for the same line passes this
/// number as `checked_bytes`.
pub fn check_unfinished_line(line: &[u8], checked_bytes: usize) -> Option<usize> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let max_kind_bytes = KINDS.iter().map(|kind| kind.len() + 1).max().unwrap_or(0);
    let kind_end = line.iter().take(max_kind_bytes).position(|byte| *byte == b' ');
    let kind = &line[..kind_end.unwrap_or(line.len())];
    let is_possible = |known_kind: &&str| {
        if kind_end.is_some() {
            known_kind.as_bytes() == kind
        } else {
            known_kind.as_bytes().starts_with(kind)
        }
    };
    let valid = KINDS.iter().any(is_possible)
        && !line[checked_bytes.min(line.len())..].iter().any(u8::is_ascii_control);
    valid.then_some(line.len())
}

/// The `name=value` fields of a line.
struct Fields<'a>(HashMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.0.get(name).copied().ok_or_else(|| format!("{name} is missing"))
    }

    fn owned_text(&self, name: &str) -> Result<String, String> {
        self.text(name).map(str::to_string)
    }

    /// A time or a rate. The range check keeps one huge or negative value from dominating the sums.
    fn value(&self, name: &str) -> Result<f64, String> {
        let text = self.text(name)?;
        let value = text.parse().ok().filter(|value| (0.0..=MAX_VALUE).contains(value));
        value.ok_or_else(|| format!("{name} is not a number within 0..{MAX_VALUE}: {text:?}"))
    }

    fn duration(&self, name: &str) -> Result<Ms, String> {
        self.value(name).and_then(|ms| if ms > 0.0 { Ok(ms) } else { Err(format!("{name} is 0")) })
    }

    /// An integer of the type `N`; the error names `max`, the largest value of that type.
    fn integer<N: FromStr + Display>(&self, name: &str, max: N) -> Result<N, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{name} is not an integer within 0..{max}: {text:?}"))
    }

    fn count(&self, name: &str) -> Result<f64, String> {
        self.integer(name, u32::MAX).map(f64::from)
    }

    fn load(&self) -> Result<Load, String> {
        let mut load = Load::default();
        let pairs = self.0.get("metrics").copied().unwrap_or("");
        match pairs
            .split(',')
            .filter(|pair| !pair.is_empty())
            .try_for_each(|pair| set_metric(&mut load, pair))
        {
            Some(()) => Ok(load),
            None => Err(format!("metrics holds an invalid pair: {pairs:?}")),
        }
    }
}

/// Sets the metric that `pair` names; unknown names are ignored. `None` if the pair is invalid.
fn set_metric(load: &mut Load, pair: &str) -> Option<()> {
    // Reports separate name and value with a colon, a worker's own answer with an equals sign.
    let (name, value) = pair.split_once([':', '='])?;
    let value = Some(value.trim().parse().ok().filter(|value| (0.0..=MAX_VALUE).contains(value))?);
    match name.trim() {
        "inflight" => load.in_flight = value,
        "queue" => load.queued = value,
        "util" => load.utilization = value,
        "latency_ms" => load.recent_latency = value,
        "qps" => load.requests_per_second = value,
        "eps" => load.errors_per_second = value,
        _ => {}
    }
    Some(())
}

/// Parses the load report in the body of a worker's answer to a probe; `None` if it is invalid.
pub fn parse_load(body: &[u8]) -> Option<Load> {
    let mut load = Load::default();
    let pairs = std::str::from_utf8(body).ok()?.trim();
    pairs.split(',').filter(|pair| !pair.is_empty()).try_for_each(|pair| set_metric(&mut load, pair))?;
    Some(load)
}

/// Parses one line, given without its line ending.
pub fn parse(line: &[u8]) -> Result<Message, ParseError> {
    let line =
        std::str::from_utf8(line).map_err(|_| ParseError::NotAMessage("a line is not valid UTF-8".into()))?;
    let (kind, fields) = line.split_once(' ').unwrap_or((line, ""));
    if !KINDS.contains(&kind) {
        let kind: String = kind.chars().take(MAX_QUOTED_KIND_CHARS).collect();
        return Err(ParseError::NotAMessage(format!("unknown message kind {kind:?}")));
    }
    parse_message(kind, fields).map_err(|reason| ParseError::InvalidFields(format!("{kind}: {reason}")))
}

fn parse_message(kind: &str, fields: &str) -> Result<Message, String> {
    let pairs = fields.split(' ').filter(|field| !field.is_empty());
    let pairs = pairs.map(|field| field.split_once('=').ok_or_else(|| format!("{field:?} has no value")));
    let fields = Fields(pairs.collect::<Result<_, _>>()?);
    Ok(match kind {
        "probe" => Message::Probe,
        "agent" => Message::Agent { zone: fields.owned_text("locality")? },
        "hello" => Message::Hello {
            proxy: fields.integer("node", u16::MAX)?,
            zone: fields.owned_text("locality")?,
            inv_per_second: if fields.0.contains_key("w") { fields.value("w")? } else { 0.0 },
            fresh: fields.0.get("cold").is_some_and(|cold| *cold == "1"),
        },
        "outcomes" => {
            let (tries, failed) = (fields.count("total")?, fields.count("errors")?);
            if failed > tries {
                return Err(format!("errors is more than total: {failed} of {tries}"));
            }
            Message::Report(Report::Outcomes {
                zone: fields.owned_text("locality")?,
                worker: fields.owned_text("endpoint")?,
                tries,
                failed,
                // Without a successful try there is no mean latency; the rest of the report still counts.
                mean_latency: if tries > failed { fields.value("rtt")? } else { 0.0 },
                interval: fields.duration("interval")?,
                load: fields.load()?,
            })
        }
        "demand" => Message::Report(Report::Demand {
            proxy: fields.integer("node", u16::MAX)?,
            op: fields.owned_text("route")?,
            invocations: fields.count("total")?,
            // May exceed the total: an invocation received in an earlier interval may go unanswered in this one.
            unanswered: fields.count("errors")?,
            interval: fields.duration("interval")?,
        }),
        "ack" => Message::Report(Report::Ack {
            proxy: fields.integer("node", u16::MAX)?,
            mark: fields.integer("nonce", u16::MAX)?,
            latency: fields.value("latency")?,
        }),
        other => unreachable!("{other:?} is not one of KINDS"),
    })
}

/// Encodes the parts of one message; they have to be sent together.
pub fn encode(parts: &[MessagePart<'_>]) -> Bytes {
    debug_assert!(parts.len() <= MAX_PARTS);
    let mut text = String::new();
    for (index, part) in parts.iter().enumerate() {
        text.push_str("push");
        let mut write_field = |name: &str, separator: &str, entries: &[&str]| {
            if !entries.is_empty() {
                _ = write!(text, " {name}={}", entries.join(separator));
            }
        };
        write_field("classes", "+", &part.ops);
        write_field("whole", "", if part.full { &["1"] } else { &[] });
        let lines: Vec<String> =
            part.lines.iter().map(|(worker, weight)| format!("{worker}:{weight}")).collect();
        write_field("lines", ",", &lines.iter().map(String::as_str).collect::<Vec<_>>());
        if let Some((level, retry)) = part.level {
            let retry = match retry {
                Retry::Never => "0",
                Retry::IfNotExecuted => "1",
                Retry::OnceOnFailure => "2",
                Retry::TwiceOnFailure => "3",
            };
            write_field("level", "", &[&level.to_string()]);
            write_field("retry", "", &[retry]);
        }
        write_field("out", ",", &part.excluded);
        write_field("back", ",", &part.included);
        if let Some(mark) = part.mark {
            write_field("ticket", "", &[&mark.0.to_string()]);
        }
        write_field("more", "", if index + 1 < parts.len() { &["1"] } else { &[] });
        text.push_str("\r\n");
    }
    text.into()
}

#[cfg(test)]
mod tests;
