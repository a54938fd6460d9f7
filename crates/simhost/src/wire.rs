//! The wire's lines, to events and from orders.

use std::fmt::{self, Write};

use base64::prelude::{Engine, BASE64_STANDARD};
use juniperrail_interface::*;
use juniperrail_start::Names;

/// What was wrong with the input, and in which line.
#[derive(Debug)]
pub struct Fault {
    line: usize,
    what: String,
}

impl Fault {
    pub fn at(line: usize, what: String) -> Self {
        Fault { line, what }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "input line {}: {}", self.line, self.what)
    }
}

/// One line of input, taken apart value by value.
pub struct Line<'a> {
    at: usize,
    text: &'a str,
    left: Option<&'a str>,
}

impl<'a> Line<'a> {
    pub fn new(at: usize, text: &'a str) -> Self {
        let text = text.strip_suffix('\r').unwrap_or(text);
        Line { at, text, left: Some(text) }
    }

    pub fn fault(&self, what: impl Into<String>) -> Fault {
        let shown: String = self.text.chars().take(60).collect();
        Fault::at(self.at, format!("{} (in {shown:?})", what.into()))
    }

    pub fn rest(&mut self, member: &str) -> Result<&'a str, Fault> {
        self.left.take().ok_or_else(|| self.fault(format!("the value {member} is missing")))
    }

    pub fn word(&mut self, member: &str) -> Result<&'a str, Fault> {
        let left = self.rest(member)?;
        let (word, rest) = match left.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (left, None),
        };
        self.left = rest;
        if word.is_empty() {
            return Err(self.fault(format!("the value {member} is empty")));
        }
        Ok(word)
    }

    pub fn finish(&self) -> Result<(), Fault> {
        self.left.map_or(Ok(()), |left| Err(self.fault(format!("has values too many: {left:?}"))))
    }

    fn maybe_number(&mut self, member: &str) -> Result<Option<f64>, Fault> {
        let word = self.word(member)?;
        if word == "-" {
            return Ok(None);
        }
        let number = word.parse().ok().filter(|number: &f64| number.is_finite());
        number.map(Some).ok_or_else(|| self.fault(format!("{member} is no number: {word:?}")))
    }

    pub fn number(&mut self, member: &str) -> Result<f64, Fault> {
        self.maybe_number(member)?.ok_or_else(|| self.fault(format!("the value {member} is absent")))
    }

    pub fn integer<T: std::str::FromStr>(&mut self, member: &str) -> Result<T, Fault> {
        let word = self.word(member)?;
        word.parse().map_err(|_| self.fault(format!("{member} is no fitting whole number: {word:?}")))
    }

    fn flag(&mut self, member: &str) -> Result<bool, Fault> {
        match self.word(member)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.fault(format!("{member} is neither 1 nor 0: {other:?}"))),
        }
    }

    fn load(&mut self, member: &str) -> Result<Load, Fault> {
        let mut load = Load::default();
        let text = self.word(member)?;
        for pair in text.split(',').filter(|_| text != "-") {
            let fault = || self.fault(format!("{member} holds no name:value pair: {pair:?}"));
            let (name, value) = pair.split_once(':').ok_or_else(fault)?;
            let value = Some(value.parse().ok().filter(|v: &f64| v.is_finite()).ok_or_else(fault)?);
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

    fn op(&mut self, names: &Names) -> Result<OpId, Fault> {
        let name = self.word("profile")?;
        names.op(name).ok_or_else(|| self.fault(format!("unknown class {name:?}")))
    }

    fn proxy(&mut self) -> Result<ProxyId, Fault> {
        self.integer("client-lb").map(ProxyId)
    }
}

/// Reads an event; a list takes the lines of its entries as well.
pub fn read(
    name: &str,
    mut line: Line<'_>,
    names: &mut Names,
    more: &mut impl Iterator<Item = Result<(usize, String), Fault>>,
) -> Result<Event, Fault> {
    let event = match name {
        "TOPOLOGY" => {
            let kind = match line.word("kind")? {
                "delta" => ListKind::Changes,
                "full" => ListKind::Full,
                "cached" => ListKind::Cached,
                "failed" => ListKind::Failed,
                other => return Err(line.fault(format!("unknown kind of list {other:?}"))),
            };
            let version = line.word("version")?;
            let version = version.parse().ok().or((version == "-").then_some(0));
            let version = version.ok_or_else(|| line.fault("version is no whole number"))?;
            let count = match line.word("hosts")? {
                "-" => 0,
                count => count.parse().map_err(|_| line.fault("hosts is no count of entries"))?,
            };
            let mut workers = Vec::new();
            for _ in 0..count {
                let (at, text) =
                    more.next().unwrap_or_else(|| Err(line.fault("has fewer entries than it says")))?;
                workers.push(entry(Line::new(at, &text), names)?);
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
                other => return Err(line.fault(format!("unknown reason {other:?}"))),
            },
            took: line.maybe_number("took-ms")?.unwrap_or(0.0),
            load: line.load("load")?,
        },
        "PEER_DATA" => Event::PeerMessage {
            from: line.integer("from")?,
            content: match line.word("content")? {
                "-" => Vec::new(),
                text => BASE64_STANDARD.decode(text).map_err(|_| line.fault("content is no base64"))?,
            },
        },
        "CONNECTED" => Event::Joined {
            proxy: line.proxy()?,
            fresh: line.flag("active")?,
            inv_per_second: line.maybe_number("size")?.unwrap_or(0.0),
            zone: names.zone(line.word("site")?),
        },
        "STREAM_DOWN" => Event::Left { proxy: line.proxy()? },
        "STATS" => Event::WorkerSums {
            zone: names.zone(line.word("site")?),
            worker: names.worker(line.word("worker")?),
            tries: line.number("number")?,
            failed: line.number("bad")?,
            mean_latency: line.maybe_number("took-ms")?.unwrap_or(0.0),
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
            let given = line.flag("active")?;
            let slice = line.integer("tbl").map(TableId)?;
            if given {
                Event::SliceAssigned { slice }
            } else {
                Event::SliceRevoked { slice }
            }
        }
        "IN_STORE" => Event::SliceLine {
            slice: line.integer("tbl").map(TableId)?,
            worker: names.worker(line.word("worker")?),
            weight: line.maybe_number("size")?.unwrap_or(1.0),
        },
        "CONFIRMED" => Event::MarkAcknowledged {
            mark: line.integer("version").map(MarkId)?,
            took: line.maybe_number("took-ms")?.unwrap_or(0.0),
            proxy: line.proxy()?,
        },
        other => return Err(line.fault(format!("unknown message {other:?}"))),
    };
    line.finish()?;
    Ok(event)
}

fn entry(mut line: Line<'_>, names: &mut Names) -> Result<WorkerEntry, Fault> {
    if line.word("message")? != "M" {
        return Err(line.fault("expected an entry of the list"));
    }
    let cell = line.word("pod")?;
    let cell = cell.parse().ok().or((cell == "-").then_some(u32::MAX));
    let listed = WorkerEntry {
        cell: CellId(cell.ok_or_else(|| line.fault("pod is no whole number"))?),
        phase: match line.word("phase")? {
            "IN" => Phase::Ready,
            "LAME" => Phase::Draining,
            "OUT" => Phase::Gone,
            other => return Err(line.fault(format!("unknown phase {other:?}"))),
        },
        worker: names.worker(line.word("worker")?),
        booted: line.maybe_number("boot-time-ms")?.filter(|&at| at != 0.0),
        machine: names.machine(line.word("shape")?),
        zone: names.zone(line.word("site")?),
        weight: line.maybe_number("size")?.unwrap_or(0.0),
    };
    line.finish()?;
    Ok(listed)
}

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
        Order::SubscribeToList(on) => writeln!(reply, "KEEP_INFORMED {}", u8::from(*on)),
        Order::FetchList => writeln!(reply, "PULL"),
        Order::SetLine { table, worker: id, weight } => {
            writeln!(reply, "SET_WEIGHT {} {} {weight}", table.0, worker(id))
        }
        Order::ClearTable { table } => writeln!(reply, "DROP_LINES {}", table.0),
        Order::ExcludeWorker { worker: id, excluded: out } => {
            writeln!(reply, "HOLD_BACK {} {}", worker(id), u8::from(*out))
        }
        Order::Bind { table, ops, proxy } => writeln!(reply, "PIN {} {ops} {}", table.0, proxy.0),
        Order::SetAdmission { scope: reach, ops, level, retry } => {
            let table = match reach {
                AdmissionScope::Table(table) => table.0,
                AdmissionScope::AllProxies => u16::MAX,
            };
            let how = match retry {
                Retry::Never => 0,
                Retry::IfNotExecuted => 1,
                Retry::OnceOnFailure => 2,
                Retry::TwiceOnFailure => 3,
            };
            writeln!(reply, "RATION {table} {ops} {level} {how}")
        }
        // There a worker that was listed once stays known.
        Order::Forget { .. } => Ok(()),
        Order::Mark { number, all_proxies: everyone } => {
            writeln!(reply, "STAMP {} {}", u8::from(*everyone), number.0)
        }
    };
    written.expect("text can always be added to a string");
}
