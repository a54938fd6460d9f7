//! A stand-in for the agent of discovery: one list of workers with a version, whole or as a watch.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        }
    }
}

/// A worker as discovery lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub name: String,
    pub zone: String,
    pub phase: Phase,
    pub weight: f64,
    /// Unix time in milliseconds; 0 means long ago.
    pub started_at_ms: f64,
}

impl Listed {
    fn json(&self) -> String {
        let Listed { name, zone, phase, weight, started_at_ms } = self;
        let phase = phase.name();
        format!(
            r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:9","zone":"{zone}","machineType":"single-core","cell":0,"lifecycle":"{phase}","weight":{weight},"startedAtMs":{started_at_ms}}}"#
        )
    }
}

#[derive(Default)]
struct State {
    version: u64,
    /// Each worker with the version of its last change. Workers that are gone stay, for watches that resume.
    workers: BTreeMap<String, (Listed, u64)>,
    watches: Vec<TcpStream>,
    /// When a worker that is not ready was first written to a watch as such, by worker; removed when it is ready.
    told: BTreeMap<String, f64>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn list(version: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{version},"reset":{whole},"instances":[{}]}}"#, entries.join(","))
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

impl State {
    fn whole(&self) -> String {
        let present = self.workers.values().filter(|(listed, _)| listed.phase != Phase::Gone);
        list(self.version, true, &present.map(|(listed, _)| listed.json()).collect::<Vec<_>>())
    }

    fn since(&self, index: u64) -> String {
        let changed = self.workers.values().filter(|(_, version)| *version > index);
        list(self.version, false, &changed.map(|(listed, _)| listed.json()).collect::<Vec<_>>())
    }

    fn note_told(&mut self, now: f64) {
        for (listed, _) in self.workers.values() {
            match listed.phase {
                Phase::Ready => _ = self.told.remove(&listed.name),
                Phase::Draining | Phase::Gone => _ = self.told.entry(listed.name.clone()).or_insert(now),
            }
        }
    }
}

impl Discovery {
    pub fn start(record: &Record, workers: &[Listed]) -> Result<Discovery, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let mut state = State { version: 41, ..State::default() };
        for listed in workers {
            state.workers.insert(listed.name.clone(), (listed.clone(), 41));
        }
        let state = Arc::new(Mutex::new(state));
        let (served, beating) = (state.clone(), state.clone());
        let serving_record = record.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                serve(socket, &served, &serving_record);
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(2));
            let Ok(mut state) = beating.lock() else { return };
            state.watches.retain_mut(|watch| watch.write_all(b"1\r\n\n\r\n").is_ok());
        });
        Ok(Discovery { address, state, record: record.clone() })
    }

    /// Changes entries, as one version, and writes them to all watches.
    pub fn publish(&self, changes: &[Listed]) {
        let mut state = self.state.lock().expect("no watch panics");
        state.version += 1;
        let version = state.version;
        for listed in changes {
            state.workers.insert(listed.name.clone(), (listed.clone(), version));
        }
        let line = list(version, false, &changes.iter().map(Listed::json).collect::<Vec<_>>());
        let bytes = chunk(&line);
        state.watches.retain_mut(|watch| watch.write_all(bytes.as_bytes()).is_ok());
        let now = self.record.now();
        if !state.watches.is_empty() {
            state.note_told(now);
        }
        self.record.line(format!("discovery to {} watches: {line}", state.watches.len()));
    }

    /// Resets all watches.
    pub fn drop_watches(&self) {
        let mut state = self.state.lock().expect("no watch panics");
        state.watches.drain(..).for_each(|watch| _ = watch.shutdown(std::net::Shutdown::Both));
    }

    /// The whole list now, in the form of a manager's `known`.
    pub fn whole(&self) -> String {
        self.state.lock().expect("no watch panics").whole()
    }

    /// When the manager was told that the worker drains or is gone; `None` while the worker is ready.
    pub fn told(&self, worker: &str) -> Option<f64> {
        self.state.lock().expect("no watch panics").told.get(worker).copied()
    }

    /// The workers as listed now.
    pub fn workers(&self) -> Vec<Listed> {
        self.state
            .lock()
            .expect("no watch panics")
            .workers
            .values()
            .map(|(listed, _)| listed.clone())
            .collect()
    }
}

/// Answers one request: the whole list, or a watch.
fn serve(mut socket: TcpStream, state: &Mutex<State>, record: &Record) {
    _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
    _ = socket.set_nodelay(true);
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let target = head.split(' ').nth(1).unwrap_or_default().to_string();
    let Ok(mut state) = state.lock() else { return };
    if !target.contains("stream=1") {
        let body = state.whole();
        let length = body.len();
        _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        return;
    }
    let index = target.split(['?', '&']).find_map(|part| part.strip_prefix("index=")?.parse::<u64>().ok());
    let line = match index.filter(|index| *index <= state.version) {
        Some(index) => state.since(index),
        None => state.whole(),
    };
    record.line(format!("discovery: watch {target} begins with {line}"));
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&line));
    if socket.write_all(text.as_bytes()).is_ok() {
        let now = record.now();
        state.note_told(now);
        state.watches.push(socket);
    }
}
