//! The line protocol of proxies and collectors: parses lines into typed messages and encodes messages. No I/O.

use std::fmt::{self, Display, Write};
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
/// Limit on the fields of one line, unknown ones included.
const MAX_FIELDS: usize = 64;
/// Limit on the pairs of a load report, unknown ones included.
const MAX_METRICS: usize = 64;
/// Limit on the length of a name. Reports wait in the decider's queue with their names.
const MAX_NAME_BYTES: usize = 1024;
/// Characters of a line that an error quotes.
const MAX_QUOTED_CHARS: usize = 32;
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

/// Displays the start of a text in quotes, since a peer may send any length.
struct Quoted<'a>(&'a str);

impl Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.char_indices().nth(MAX_QUOTED_CHARS) {
            Some((end, _)) => write!(f, "{:?}...", &self.0[..end]),
            None => write!(f, "{:?}", self.0),
        }
    }
}

/// The `name=value` fields of a line, in its order.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn parse(text: &'a str) -> Result<Fields<'a>, String> {
        let mut fields = Vec::new();
        for field in text.split(' ').filter(|field| !field.is_empty()) {
            if fields.len() == MAX_FIELDS {
                return Err(format!("it has more than {MAX_FIELDS} fields"));
            }
            fields.push(field.split_once('=').ok_or_else(|| format!("{} has no value", Quoted(field)))?);
        }
        Ok(Fields(fields))
    }

    /// The value of a field; the last one if the line repeats it.
    fn find(&self, name: &str) -> Option<&'a str> {
        self.0.iter().rfind(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.find(name).ok_or_else(|| format!("{name} is missing"))
    }

    /// The name of a zone, worker or operation.
    fn name(&self, name: &str) -> Result<String, String> {
        let text = self.text(name)?;
        match text.len() <= MAX_NAME_BYTES {
            true => Ok(text.to_string()),
            false => Err(format!("{name} is longer than {MAX_NAME_BYTES} bytes: {}", Quoted(text))),
        }
    }

    /// A time or a rate. The range check keeps one huge or negative value from dominating the sums.
    fn value(&self, name: &str) -> Result<f64, String> {
        let text = self.text(name)?;
        let value = text.parse().ok().filter(|value| (0.0..=MAX_VALUE).contains(value));
        value.ok_or_else(|| format!("{name} is not a number within 0..{MAX_VALUE}: {}", Quoted(text)))
    }

    fn duration(&self, name: &str) -> Result<Ms, String> {
        self.value(name).and_then(|ms| if ms > 0.0 { Ok(ms) } else { Err(format!("{name} is 0")) })
    }

    /// An integer of the type `N`; the error names `max`, the largest value of that type.
    fn integer<N: FromStr + Display>(&self, name: &str, max: N) -> Result<N, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{name} is not an integer within 0..{max}: {}", Quoted(text)))
    }

    fn count(&self, name: &str) -> Result<f64, String> {
        self.integer(name, u32::MAX).map(f64::from)
    }

    fn load(&self) -> Result<Load, String> {
        let text = self.find("metrics").unwrap_or("");
        parse_metrics(text).ok_or_else(|| {
            format!("metrics holds an invalid pair, or more than {MAX_METRICS}: {}", Quoted(text))
        })
    }
}

/// Parses the pairs of a load report; `None` if one is invalid or there are too many.
fn parse_metrics(text: &str) -> Option<Load> {
    let mut load = Load::default();
    let pairs = text.split(',').filter(|pair| !pair.is_empty());
    for (index, pair) in pairs.enumerate() {
        if index == MAX_METRICS {
            return None;
        }
        set_metric(&mut load, pair)?;
    }
    Some(load)
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
    parse_metrics(std::str::from_utf8(body).ok()?.trim())
}

/// Parses one line, given without its line ending.
pub fn parse(line: &[u8]) -> Result<Message, ParseError> {
    let line =
        std::str::from_utf8(line).map_err(|_| ParseError::NotAMessage("a line is not valid UTF-8".into()))?;
    let (kind, fields) = line.split_once(' ').unwrap_or((line, ""));
    if !KINDS.contains(&kind) {
        return Err(ParseError::NotAMessage(format!("unknown message kind {}", Quoted(kind))));
    }
    parse_message(kind, fields).map_err(|reason| ParseError::InvalidFields(format!("{kind}: {reason}")))
}

fn parse_message(kind: &str, fields: &str) -> Result<Message, String> {
    let fields = Fields::parse(fields)?;
    Ok(match kind {
        "probe" => Message::Probe,
        "agent" => Message::Agent { zone: fields.name("locality")? },
        "hello" => Message::Hello {
            proxy: fields.integer("node", u16::MAX)?,
            zone: fields.name("locality")?,
            inv_per_second: if fields.find("w").is_some() { fields.value("w")? } else { 0.0 },
            fresh: fields.find("cold") == Some("1"),
        },
        "outcomes" => {
            let (tries, failed) = (fields.count("total")?, fields.count("errors")?);
            if failed > tries {
                return Err(format!("errors is more than total: {failed} of {tries}"));
            }
            Message::Report(Report::Outcomes {
                zone: fields.name("locality")?,
                worker: fields.name("endpoint")?,
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
            op: fields.name("route")?,
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
