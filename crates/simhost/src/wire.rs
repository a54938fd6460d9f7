//! Parses lines of the simulator's protocol into events and writes orders as lines.

use std::fmt::{self, Write};

use base64::prelude::{Engine, BASE64_STANDARD};
use juniperrail_interface::*;
use juniperrail_start::Names;

/// An error at a line of the input: in its text, or in reading it or replying to it.
#[derive(Debug)]
pub struct LineError {
    line: usize,
    message: String,
}

impl LineError {
    /// An error at the line of that number, counted from 1.
    pub fn at_line(line: usize, message: String) -> Self {
        LineError { line, message }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "input line {}: {}", self.line, self.message)
    }
}

/// One line of input, parsed value by value.
pub struct Line<'a> {
    line_number: usize,
    text: &'a str,
    /// The part that is not parsed yet.
    rest: Option<&'a str>,
}

impl<'a> Line<'a> {
    /// A line with its number, counted from 1, and its text.
    pub fn new(line_number: usize, text: &'a str) -> Self {
        let text = text.strip_suffix('\r').unwrap_or(text);
        Line { line_number, text, rest: Some(text) }
    }

    /// An error at this line.
    pub fn error(&self, message: impl Into<String>) -> LineError {
        let excerpt: String = self.text.chars().take(60).collect();
        LineError::at_line(self.line_number, format!("{} (in {excerpt:?})", message.into()))
    }

    /// Everything that is left up to the end of the line.
    pub fn rest(&mut self, value_name: &str) -> Result<&'a str, LineError> {
        self.rest.take().ok_or_else(|| self.error(format!("value {value_name} is missing")))
    }

    /// The next space-separated value.
    pub fn word(&mut self, value_name: &str) -> Result<&'a str, LineError> {
        let text = self.rest(value_name)?;
        let (word, rest) = match text.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (text, None),
        };
        self.rest = rest;
        if word.is_empty() {
            return Err(self.error(format!("value {value_name} is empty")));
        }
        Ok(word)
    }

    /// Checks that no value is left.
    pub fn finish(&self) -> Result<(), LineError> {
        self.rest.map_or(Ok(()), |rest| Err(self.error(format!("unexpected values: {rest:?}"))))
    }

    /// A finite number, or `None` for `-`.
    fn optional_number(&mut self, value_name: &str) -> Result<Option<f64>, LineError> {
        let word = self.word(value_name)?;
        if word == "-" {
            return Ok(None);
        }
        let number = word.parse().ok().filter(|number: &f64| number.is_finite());
        number.map(Some).ok_or_else(|| self.error(format!("{value_name} is not a number: {word:?}")))
    }

    /// A finite number.
    pub fn number(&mut self, value_name: &str) -> Result<f64, LineError> {
        self.optional_number(value_name)?.ok_or_else(|| self.error(format!("value {value_name} is absent")))
    }

    /// An integer that fits the type.
    pub fn integer<T: std::str::FromStr>(&mut self, value_name: &str) -> Result<T, LineError> {
        let word = self.word(value_name)?;
        word.parse().map_err(|_| self.error(format!("{value_name} is not an integer in range: {word:?}")))
    }

    /// A Boolean, written as 1 or 0.
    fn flag(&mut self, value_name: &str) -> Result<bool, LineError> {
        match self.word(value_name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.error(format!("{value_name} is not 1 or 0: {other:?}"))),
        }
    }

    /// A load report: name:value pairs separated by commas, or `-`. Unknown names are ignored.
    fn load(&mut self, value_name: &str) -> Result<Load, LineError> {
        let mut load = Load::default();
        let text = self.word(value_name)?;
        for pair in text.split(',').filter(|_| text != "-") {
            let invalid_pair =
                || self.error(format!("{value_name} contains an invalid name:value pair: {pair:?}"));
            let (name, value) = pair.split_once(':').ok_or_else(invalid_pair)?;
            let value =
                Some(value.parse().ok().filter(|number: &f64| number.is_finite()).ok_or_else(invalid_pair)?);
            match name {
                "outstanding" => load.in_flight = value,
                "backlog" => load.queued = value,
                "utilization" => load.utilization = value,
                "recent_ms" => load.recent_latency = value,
                "throughput" => load.requests_per_second = value,
                "errors_per_s" => load.errors_per_second = value,
                _ => {}
            }
        }
        Ok(load)
    }

    /// The operation of a name in the settings.
    fn op(&mut self, names: &Names) -> Result<OpId, LineError> {
        let name = self.word("profile")?;
        names.op(name).ok_or_else(|| self.error(format!("unknown operation {name:?}")))
    }

    /// The number of a proxy.
    fn proxy(&mut self) -> Result<ProxyId, LineError> {
        self.integer("client-lb").map(ProxyId)
    }
}

/// Reads an event. A list also consumes the lines of its entries from `more_lines`.
///
/// The fields of an event are written in the order of the line's values, since that is the order of evaluation.
pub fn read(
    name: &str,
    mut line: Line<'_>,
    names: &mut Names,
    more_lines: &mut impl Iterator<Item = Result<(usize, String), LineError>>,
) -> Result<Event, LineError> {
    let event = match name {
        "TOPOLOGY" => {
            let kind = match line.word("kind")? {
                "delta" => ListKind::Changes,
                "full" => ListKind::Full,
                "cached" => ListKind::Remembered,
                "failed" => ListKind::Failed,
                other => return Err(line.error(format!("unknown list kind {other:?}"))),
            };
            let version = line.word("version")?;
            let version = version.parse().ok().or((version == "-").then_some(0));
            let version = version.ok_or_else(|| line.error("version is not an integer"))?;
            let count = match line.word("hosts")? {
                "-" => 0,
                count => count.parse().map_err(|_| line.error("hosts is not an integer"))?,
            };
            let mut workers = Vec::new();
            for _ in 0..count {
                let (line_number, text) =
                    more_lines.next().unwrap_or_else(|| Err(line.error("fewer entries than announced")))?;
                workers.push(read_entry(Line::new(line_number, &text), names)?);
            }
            Event::List { kind, version, workers }
        }
        "TIMEOUT_FIRED" => Event::TimerFired { handle: line.word("handle")?.to_string() },
        "SAMPLED" => Event::Probed {
            worker: names.worker(line.word("worker")?),
            outcome: match line.word("reason")? {
                "GOOD" => ProbeOutcome::Success,
                "BAD" => ProbeOutcome::ErrorResponse,
                "FULL" => ProbeOutcome::Rejected,
                "LATE" => ProbeOutcome::TimedOut,
                "NOCONN" => ProbeOutcome::Unreachable,
                "RST" => ProbeOutcome::ConnectionLost,
                "CXL" => ProbeOutcome::Cancelled,
                "NOP" => ProbeOutcome::NotApplicable,
                other => return Err(line.error(format!("unknown reason {other:?}"))),
            },
            took: line.optional_number("took-ms")?.unwrap_or(0.0),
            load: line.load("load")?,
        },
        "PEER_DATA" => Event::PeerMessage {
            from: line.integer("from")?,
            content: match line.word("content")? {
                "-" => Vec::new(),
                text => {
                    BASE64_STANDARD.decode(text).map_err(|_| line.error("content is not valid base64"))?
                }
            },
        },
        "CONNECTED" => Event::Joined {
            proxy: line.proxy()?,
            fresh: line.flag("active")?,
            inv_per_second: line.optional_number("size")?.unwrap_or(0.0),
            zone: names.zone(line.word("site")?),
        },
        "STREAM_DOWN" => Event::Left { proxy: line.proxy()? },
        "STATS" => Event::WorkerSums {
            zone: names.zone(line.word("site")?),
            worker: names.worker(line.word("worker")?),
            tries: line.number("number")?,
            failed: line.number("bad")?,
            mean_latency: line.optional_number("took-ms")?.unwrap_or(0.0),
            period: line.number("over-ms")?,
            load: line.load("load")?,
        },
        "OFFERED_LOAD" => Event::ProxySums {
            op: line.op(names)?,
            invocations: line.number("number")?,
            unanswered: line.number("bad")?,
            period: line.number("over-ms")?,
            proxy: line.proxy()?,
        },
        "WEIGHT_SEEN" => Event::SliceSums {
            unanswered: line.number("bad")?,
            op: line.op(names)?,
            slice: line.integer("tbl").map(TableId)?,
            invocations: line.number("number")?,
            period: line.number("over-ms")?,
        },
        "LEASED" => {
            let assigned = line.flag("active")?;
            let slice = line.integer("tbl").map(TableId)?;
            if assigned {
                Event::SliceAssigned { slice }
            } else {
                Event::SliceRevoked { slice }
            }
        }
        "IN_STORE" => Event::SliceLine {
            slice: line.integer("tbl").map(TableId)?,
            worker: names.worker(line.word("worker")?),
            weight: line.optional_number("size")?.unwrap_or(1.0),
        },
        "CONFIRMED" => Event::MarkAcknowledged {
            mark: line.integer("version").map(MarkId)?,
            took: line.optional_number("took-ms")?.unwrap_or(0.0),
            proxy: line.proxy()?,
        },
        other => return Err(line.error(format!("unknown message {other:?}"))),
    };
    line.finish()?;
    Ok(event)
}

/// Reads an entry of a worker list. Its fields are written in the order of the line's values.
fn read_entry(mut line: Line<'_>, names: &mut Names) -> Result<WorkerEntry, LineError> {
    if line.word("message")? != "M" {
        return Err(line.error("expected a list entry"));
    }
    let cell = line.word("pod")?;
    let cell = cell.parse().ok().or((cell == "-").then_some(u32::MAX));
    let entry = WorkerEntry {
        cell: CellId(cell.ok_or_else(|| line.error("pod is not an integer"))?),
        phase: match line.word("phase")? {
            "IN" => Phase::Ready,
            "LAME" => Phase::Draining,
            "OUT" => Phase::Gone,
            other => return Err(line.error(format!("unknown phase {other:?}"))),
        },
        worker: names.worker(line.word("worker")?),
        started_at: line.optional_number("boot-time-ms")?.filter(|&time| time != 0.0),
        machine: names.machine(line.word("shape")?),
        zone: names.zone(line.word("site")?),
        weight: line.optional_number("size")?.unwrap_or(0.0),
    };
    line.finish()?;
    Ok(entry)
}

/// Appends the line of an order to the reply.
pub fn write(reply: &mut String, order: &Order, names: &Names) {
    let worker = |id: &WorkerId| names.workers.name(id.0);
    let written = match order {
        Order::SetTimer { after, handle } => writeln!(reply, "WAKE_ME {after} {handle}"),
        Order::Probe { worker: id } => writeln!(reply, "ASK_LOAD {}", worker(id)),
        Order::SendMessage { to, content } => {
            let text = if content.is_empty() { "-".to_string() } else { BASE64_STANDARD.encode(content) };
            match to {
                Receiver::Peer(number) => writeln!(reply, "BROADCAST_TO {number} {text}"),
                Receiver::All => writeln!(reply, "BROADCAST_TO all {text}"),
            }
        }
        Order::Log { about: Some(id), text } => writeln!(reply, "JOURNAL_LINE {} {text}", worker(id)),
        Order::Log { about: None, text } => writeln!(reply, "JOURNAL_LINE {text}"),
        Order::SubscribeToList(subscribed) => writeln!(reply, "KEEP_INFORMED {}", u8::from(*subscribed)),
        Order::FetchList => writeln!(reply, "PULL"),
        Order::SetLine { table, worker: id, weight } => {
            writeln!(reply, "SET_WEIGHT {} {} {weight}", table.0, worker(id))
        }
        Order::ClearTable { table } => writeln!(reply, "DROP_LINES {}", table.0),
        Order::ExcludeWorker { worker: id, excluded } => {
            writeln!(reply, "HOLD_BACK {} {}", worker(id), u8::from(*excluded))
        }
        Order::Bind { table, ops, proxy } => writeln!(reply, "PIN {} {ops} {}", table.0, proxy.0),
        Order::SetAdmission { scope, ops, level, retry } => {
            let table = match scope {
                AdmissionScope::Table(table) => table.0,
                AdmissionScope::AllProxies => u16::MAX,
            };
            let retry_code = match retry {
                Retry::Never => 0,
                Retry::IfNotExecuted => 1,
                Retry::OnceOnFailure => 2,
                Retry::TwiceOnFailure => 3,
            };
            writeln!(reply, "RATION {table} {ops} {level} {retry_code}")
        }
        // The simulator never forgets a worker, so there is nothing to send.
        Order::Forget { .. } => Ok(()),
        Order::Mark { number, all_proxies } => {
            writeln!(reply, "STAMP {} {}", u8::from(*all_proxies), number.0)
        }
    };
    written.expect("writing to a string cannot fail");
}
