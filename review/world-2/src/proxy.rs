//! A stand-in proxy: what it holds, and what a message changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::TcpStream;

/// One `push` line.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub classes: Option<Vec<String>>,
    pub whole: bool,
    pub lines: Vec<(String, f64)>,
    pub level: Option<f64>,
    pub retry: Option<u8>,
    pub out: Vec<String>,
    pub back: Vec<String>,
    pub ticket: Option<u32>,
    pub more: bool,
}

impl Part {
    /// Reads a line; an error if a proxy can't use it. `is_listed`: whether discovery has ever listed the worker.
    pub fn read(line: &str, classes: &[String], is_listed: impl Fn(&str) -> bool) -> Result<Part, String> {
        let mut words = line.split(' ');
        if words.next() != Some("push") {
            return Err(format!("not an order: {line}"));
        }
        let mut part = Part::default();
        let figure = |text: &str| match text.parse::<f64>() {
            Ok(figure) if figure >= 0.0 => Ok(figure),
            _ => Err(format!("not a figure from 0 on: {text}")),
        };
        let worker = |name: &str| match is_listed(name) {
            true => Ok(name.to_string()),
            false => Err(format!("discovery has never listed {name}")),
        };
        for word in words {
            let (name, value) = word.split_once('=').ok_or_else(|| format!("no value: {word}"))?;
            match name {
                "classes" => {
                    let named: Vec<String> = value.split('+').map(str::to_string).collect();
                    if let Some(unknown) = named.iter().find(|name| !classes.contains(name)) {
                        return Err(format!("an unknown class: {unknown}"));
                    }
                    part.classes = Some(named);
                }
                "whole" => part.whole = value == "1",
                "lines" => {
                    for line in value.split(',') {
                        let (name, weight) =
                            line.rsplit_once(':').ok_or_else(|| format!("no weight: {line}"))?;
                        part.lines.push((worker(name)?, figure(weight)?));
                    }
                }
                "level" => part.level = Some(figure(value)?),
                "retry" => part.retry = Some(value.parse().map_err(|_| format!("retry: {value}"))?),
                "out" => part.out = value.split(',').map(worker).collect::<Result<_, _>>()?,
                "back" => part.back = value.split(',').map(worker).collect::<Result<_, _>>()?,
                "ticket" => part.ticket = Some(value.parse().map_err(|_| format!("ticket: {value}"))?),
                "more" => part.more = value == "1",
                _ => return Err(format!("an unknown field: {name}")),
            }
        }
        Ok(part)
    }

    /// What it counts in the channel.
    pub fn line_count(&self) -> usize {
        let single = [self.whole, self.level.is_some(), self.ticket.is_some()];
        self.lines.len()
            + self.out.len()
            + self.back.len()
            + single.iter().filter(|present| **present).count()
    }
}

/// The connection to a manager.
pub struct Stream {
    pub number: u64,
    pub socket: TcpStream,
    /// The parts so far of a message that is not complete.
    pub parts: Vec<Part>,
    /// Messages on their way, with the time at which they take effect.
    pub pending: VecDeque<(f64, f64, Vec<Part>)>,
}

/// A table of one class.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub lines: BTreeMap<String, f64>,
    pub level: Option<f64>,
    pub retry: u8,
}

pub struct Proxy {
    pub number: usize,
    pub zone: String,
    /// Invocations a second.
    pub rate: f64,
    /// The manager that it dials.
    pub manager: usize,
    pub tables: BTreeMap<String, Table>,
    pub out: BTreeSet<String>,
    /// Whether it holds a table that was ordered.
    pub holds_ordered: bool,
    pub stream: Option<Stream>,
    pub redial_at: f64,
    /// Since when it counts as joined to its manager.
    pub joined_since: Option<f64>,
    pub last_applied_at: f64,
    /// When messages came since it joined, as far as they still count.
    pub message_times: VecDeque<f64>,
    /// By class: since when the first rule's condition has held with no line to pick.
    pub bare_since: BTreeMap<String, f64>,
    pub next_arrival: BTreeMap<String, f64>,
    /// By class: invocations, let in and unserved, since the last report.
    pub demand: BTreeMap<String, (u32, u32)>,
    pub report_at: f64,
    /// Streams that it has reset because of what the manager wrote.
    pub resets: u32,
}

impl Proxy {
    /// The lines that it may pick for a class.
    pub fn pickable(&self, class: &str) -> Vec<(&str, f64)> {
        let lines = self.tables.get(class).into_iter().flat_map(|table| table.lines.iter());
        let usable = lines.filter(|(worker, weight)| **weight > 0.0 && !self.out.contains(*worker));
        usable.map(|(worker, weight)| (worker.as_str(), *weight)).collect()
    }

    pub fn apply(&mut self, parts: &[Part], classes: &[String]) {
        for part in parts {
            for class in part.classes.as_deref().unwrap_or(classes) {
                let table = self.tables.entry(class.clone()).or_default();
                if part.whole {
                    *table = Table { retry: table.retry, ..Table::default() };
                    self.holds_ordered = true;
                }
                for (worker, weight) in &part.lines {
                    match *weight > 0.0 {
                        true => _ = table.lines.insert(worker.clone(), *weight),
                        false => _ = table.lines.remove(worker),
                    }
                }
                table.level = part.level.or(table.level);
                table.retry = part.retry.unwrap_or(table.retry);
            }
            self.out.extend(part.out.iter().cloned());
            part.back.iter().for_each(|worker| _ = self.out.remove(worker));
        }
    }
}
