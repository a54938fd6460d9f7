//! The line protocol of proxies and collectors: bytes to typed messages and back. Pure.

use std::collections::HashMap;
use std::fmt::Write;
use std::str::FromStr;

use bytes::Bytes;
use juniperrail_interface::*;

/// No message is longer; one before the introduction is far shorter.
pub const MAX_LINE_BYTES: usize = 1 << 20;
pub const MAX_FIRST_LINE_BYTES: usize = 4096;
/// No figure is larger; as a time it is an hour.
const MOST: f64 = 3_600_000.0;
/// One message may come in so many parts.
pub const MAX_PARTS: usize = 64;
pub const ALIVE: Bytes = Bytes::from_static(b"alive\r\n");
pub const LATE: &[u8] = b"error why=late\r\n";
pub const REJECTED: &[u8] = b"error why=unreadable\r\n";

/// What a peer said. Names stay names: who they belong to is known elsewhere.
#[derive(Debug, PartialEq)]
pub enum Message {
    Probe,
    Agent { zone: String },
    Hello { proxy: u16, zone: String, inv_per_second: f64, fresh: bool },
    Report(Report),
}

#[derive(Debug, PartialEq)]
pub enum Report {
    Outcomes {
        zone: String,
        worker: String,
        tries: f64,
        failed: f64,
        mean_latency: Ms,
        interval: Ms,
        load: Load,
    },
    Demand {
        proxy: u16,
        op: String,
        invocations: f64,
        unanswered: f64,
        interval: Ms,
    },
    Ack {
        proxy: u16,
        mark: u16,
        latency: Ms,
    },
}

/// One part of a message to a proxy; `ops` empty means all of them.
#[derive(Debug, Default, PartialEq)]
pub struct MessagePart<'a> {
    pub ops: Vec<&'a str>,
    pub full: bool,
    pub lines: Vec<(&'a str, f64)>,
    pub level: Option<(f64, Retry)>,
    pub removed: Vec<&'a str>,
    pub restored: Vec<&'a str>,
    pub mark: Option<MarkId>,
}

/// Why a line is not taken.
#[derive(Debug, PartialEq)]
pub enum ParseError {
    /// A known kind with a field that is missing, out of range or of another type: it alone is lost.
    InvalidFields(String),
    /// No message at all: whoever sends it is of no further use.
    NotAMessage(String),
}

const KINDS: [&str; 6] = ["probe", "agent", "hello", "outcomes", "demand", "ack"];

/// Whether what has come of a line can still become a message, as the number of its bytes that need not be looked at
/// again; `checked` is what this said of fewer of them. Guards against bytes that go on for long without an end of a
/// line: nobody need wait for that to know that they can't be read.
pub fn may_become_one(start: &[u8], checked: usize) -> Option<usize> {
    let start = start.strip_suffix(b"\r").unwrap_or(start);
    let longest = KINDS.iter().map(|kind| kind.len() + 1).max().unwrap_or(0);
    let end = start.iter().take(longest).position(|byte| *byte == b' ');
    let kind = &start[..end.unwrap_or(start.len())];
    let fits = |known: &&str| {
        if end.is_some() {
            known.as_bytes() == kind
        } else {
            known.as_bytes().starts_with(kind)
        }
    };
    let fits = KINDS.iter().any(fits) && !start[checked.min(start.len())..].iter().any(u8::is_ascii_control);
    fits.then_some(start.len())
}

struct Words<'a>(HashMap<&'a str, &'a str>);

impl<'a> Words<'a> {
    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.0.get(name).copied().ok_or_else(|| format!("{name} is missing"))
    }

    fn owned(&self, name: &str) -> Result<String, String> {
        self.text(name).map(str::to_string)
    }

    /// A time or a rate as the proxies mean them. Guards against figures that would drown all others.
    fn figure(&self, name: &str) -> Result<f64, String> {
        let text = self.text(name)?;
        let figure = text.parse().ok().filter(|figure| (0.0..=MOST).contains(figure));
        figure.ok_or_else(|| format!("{name} is no figure: {text:?}"))
    }

    fn span(&self, name: &str) -> Result<Ms, String> {
        self.figure(name).and_then(|span| if span > 0.0 { Ok(span) } else { Err(format!("{name} is 0")) })
    }

    fn number<N: FromStr>(&self, name: &str) -> Result<N, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{name} is no fitting whole number: {text:?}"))
    }

    fn count(&self, name: &str) -> Result<f64, String> {
        self.number::<u32>(name).map(f64::from)
    }

    fn load(&self) -> Result<Load, String> {
        let mut load = Load::default();
        let pairs = self.0.get("metrics").copied().unwrap_or("");
        match pairs.split(',').filter(|pair| !pair.is_empty()).try_for_each(|pair| metric(&mut load, pair)) {
            Some(()) => Ok(load),
            None => Err(format!("metrics holds what is no pair: {pairs:?}")),
        }
    }
}

fn metric(load: &mut Load, pair: &str) -> Option<()> {
    // Reports set them apart by a colon, a worker's own answer by an equals sign.
    let (name, value) = pair.split_once([':', '='])?;
    let value = Some(value.trim().parse().ok().filter(|value| (0.0..=MOST).contains(value))?);
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

/// A load report as a worker's body carries it.
pub fn parse_load(body: &[u8]) -> Option<Load> {
    let mut load = Load::default();
    let pairs = std::str::from_utf8(body).ok()?.trim();
    pairs.split(',').filter(|pair| !pair.is_empty()).try_for_each(|pair| metric(&mut load, pair))?;
    Some(load)
}

/// Reads one line, its end taken off.
pub fn parse(line: &[u8]) -> Result<Message, ParseError> {
    let line = std::str::from_utf8(line).map_err(|_| ParseError::NotAMessage("a line is no text".into()))?;
    let (kind, fields) = line.split_once(' ').unwrap_or((line, ""));
    if !KINDS.contains(&kind) {
        let kind: String = kind.chars().take(32).collect();
        return Err(ParseError::NotAMessage(format!("the kind {kind:?} is unknown")));
    }
    message(kind, fields).map_err(|why| ParseError::InvalidFields(format!("{kind}: {why}")))
}

fn message(kind: &str, fields: &str) -> Result<Message, String> {
    let pairs = fields.split(' ').filter(|word| !word.is_empty());
    let pairs = pairs.map(|word| word.split_once('=').ok_or_else(|| format!("{word:?} has no value")));
    let words = Words(pairs.collect::<Result<_, _>>()?);
    Ok(match kind {
        "probe" => Message::Probe,
        "agent" => Message::Agent { zone: words.owned("locality")? },
        "hello" => Message::Hello {
            proxy: words.number("node")?,
            zone: words.owned("locality")?,
            inv_per_second: if words.0.contains_key("w") { words.figure("w")? } else { 0.0 },
            fresh: words.0.get("cold").is_some_and(|cold| *cold == "1"),
        },
        "outcomes" => {
            let (tries, failed) = (words.count("total")?, words.count("errors")?);
            if failed > tries {
                return Err(format!("errors is more than total: {failed} of {tries}"));
            }
            Message::Report(Report::Outcomes {
                zone: words.owned("locality")?,
                worker: words.owned("endpoint")?,
                tries,
                failed,
                // Nothing to take the mean of is no reason to pass over the rest.
                mean_latency: if tries > failed { words.figure("rtt")? } else { 0.0 },
                interval: words.span("interval")?,
                load: words.load()?,
            })
        }
        "demand" => Message::Report(Report::Demand {
            proxy: words.number("node")?,
            op: words.owned("route")?,
            invocations: words.count("total")?,
            // What came in the interval before may stay unanswered in this one.
            unanswered: words.count("errors")?,
            interval: words.span("interval")?,
        }),
        "ack" => Message::Report(Report::Ack {
            proxy: words.number("node")?,
            mark: words.number("nonce")?,
            latency: words.figure("latency")?,
        }),
        other => unreachable!("{other:?} is none of the kinds"),
    })
}

/// Writes the parts of one message, to be sent whole and at once.
pub fn encode(parts: &[MessagePart<'_>]) -> Bytes {
    debug_assert!(parts.len() <= MAX_PARTS);
    let mut text = String::new();
    for (place, part) in parts.iter().enumerate() {
        text.push_str("push");
        let mut list = |name: &str, apart: &str, entries: &[&str]| {
            if !entries.is_empty() {
                _ = write!(text, " {name}={}", entries.join(apart));
            }
        };
        list("classes", "+", &part.ops);
        list("whole", "", if part.full { &["1"] } else { &[] });
        let lines: Vec<String> =
            part.lines.iter().map(|(worker, weight)| format!("{worker}:{weight}")).collect();
        list("lines", ",", &lines.iter().map(String::as_str).collect::<Vec<_>>());
        if let Some((level, retry)) = part.level {
            let retry = match retry {
                Retry::Never => "0",
                Retry::IfNotExecuted => "1",
                Retry::OnceOnFailure => "2",
                Retry::TwiceOnFailure => "3",
            };
            list("level", "", &[&level.to_string()]);
            list("retry", "", &[retry]);
        }
        list("out", ",", &part.removed);
        list("back", ",", &part.restored);
        if let Some(mark) = part.mark {
            list("ticket", "", &[&mark.0.to_string()]);
        }
        list("more", "", if place + 1 < parts.len() { &["1"] } else { &[] });
        text.push_str("\r\n");
    }
    text.into()
}

#[cfg(test)]
mod tests;
