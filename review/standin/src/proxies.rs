//! Proxies and workers, as PROTOCOL.md has them. A proxy keeps its tables, and the workers that it shut out, across a
//! change of streams; it picks a line of its table that is not shut out and sends there, several times a second.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

pub const CLASSES: [&str; 2] = ["lookup", "order"];
/// Time between two sends of a proxy, in one class.
const SEND_EVERY_MS: u64 = 100;
const REDIAL_MS: u64 = 300;
const REPORT_EVERY_MS: u64 = 2000;

/// A request that arrived at a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub worker: String,
    pub at: u64,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Starts a worker that notes each request and answers 200. Returns its address.
pub fn start_worker(id: &str, arrivals: &Arrivals, record: &Record) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let (id, arrivals, record) = (id.to_string(), arrivals.clone(), record.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (id, arrivals, record) = (id.clone(), arrivals.clone(), record.clone());
            thread::spawn(move || -> Option<()> {
                let mut lines = BufReader::new(socket.try_clone().ok()?).lines();
                let mut proxy: Option<u16> = None;
                while let Some(Ok(line)) = lines.next() {
                    if line.is_empty() {
                        break;
                    }
                    proxy = proxy.or(line.strip_prefix("x-proxy: ").and_then(|text| text.parse().ok()));
                }
                let at = record.now_ms();
                proxy?;
                arrivals.lock().ok()?.push(Arrival { worker: id.clone(), at });
                (&socket).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").ok()
            });
        }
    });
    address
}

/// What a proxy holds.
#[derive(Clone, Default)]
pub struct Held {
    /// By class: the lines, with their weights.
    pub tables: BTreeMap<String, BTreeMap<String, f64>>,
    pub levels: BTreeMap<String, f64>,
    pub out: BTreeSet<String>,
    /// Since when there is no line to pick, by class.
    pub bare_since: BTreeMap<String, u64>,
    pub joined: bool,
    pub joins: u32,
}

impl Held {
    pub fn usable(&self, class: &str) -> Vec<String> {
        let lines = self.tables.get(class).into_iter().flatten();
        lines
            .filter(|(id, weight)| **weight > 0.0 && !self.out.contains(*id))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn apply(&mut self, parts: &[String]) {
        for part in parts {
            let fields: BTreeMap<&str, &str> =
                part.split(' ').filter_map(|word| word.split_once('=')).collect();
            let classes: Vec<String> = match fields.get("classes") {
                Some(classes) => classes.split('+').map(str::to_string).collect(),
                None => CLASSES.iter().map(|class| class.to_string()).collect(),
            };
            for class in classes {
                if fields.get("whole") == Some(&"1") {
                    self.tables.insert(class.clone(), BTreeMap::new());
                    self.levels.remove(&class);
                }
                let table = self.tables.entry(class.clone()).or_default();
                for line in fields.get("lines").into_iter().flat_map(|lines| lines.split(',')) {
                    if let Some((id, weight)) = line.split_once(':') {
                        let weight: f64 = weight.parse().unwrap_or(0.0);
                        match weight > 0.0 {
                            true => _ = table.insert(id.to_string(), weight),
                            false => _ = table.remove(id),
                        }
                    }
                }
                if let Some(level) = fields.get("level").and_then(|level| level.parse().ok()) {
                    self.levels.insert(class, level);
                }
            }
            for id in fields.get("out").into_iter().flat_map(|out| out.split(',')) {
                self.out.insert(id.to_string());
            }
            for id in fields.get("back").into_iter().flat_map(|back| back.split(',')) {
                self.out.remove(id);
            }
        }
    }
}

/// The proxies of one manager.
pub struct Proxies {
    pub held: Vec<Arc<Mutex<Held>>>,
    stop: Arc<AtomicBool>,
}

impl Proxies {
    /// Starts a proxy in each of these zones. Each starts with a table of these workers (`standing`), as the platform gives
    /// it. `addresses`: where the workers listen.
    pub fn start(
        manager: u16,
        zones: &[&str],
        standing: &[&str],
        addresses: &BTreeMap<String, String>,
        record: &Record,
    ) -> Proxies {
        let stop = Arc::new(AtomicBool::new(false));
        let held: Vec<Arc<Mutex<Held>>> = zones.iter().map(|_| Arc::<Mutex<Held>>::default()).collect();
        for (number, held) in held.iter().enumerate() {
            let (number, zone) = (number as u16, zones[number].to_string());
            let table: BTreeMap<String, f64> = standing.iter().map(|id| (id.to_string(), 1.0)).collect();
            held.lock().unwrap().tables =
                CLASSES.iter().map(|class| (class.to_string(), table.clone())).collect();
            let (streaming, sending) = (held.clone(), held.clone());
            let (stop_streaming, stop_sending) = (stop.clone(), stop.clone());
            let (record, sending_record) = (record.clone(), record.clone());
            thread::spawn(move || {
                let mut fresh = true;
                while !stop_streaming.load(Ordering::Relaxed) {
                    if let Ok(socket) = TcpStream::connect(("127.0.0.1", manager)) {
                        _ = run_stream(socket, number, &zone, &mut fresh, &streaming, &record);
                        streaming.lock().unwrap().joined = false;
                        record.line(&format!("proxy {number}: its stream ended"));
                    }
                    sleep_ms(REDIAL_MS);
                }
            });
            let addresses = addresses.clone();
            thread::spawn(move || {
                let mut turn = number as usize;
                while !stop_sending.load(Ordering::Relaxed) {
                    for class in CLASSES {
                        let target = {
                            let mut held = sending.lock().unwrap();
                            let usable = held.usable(class);
                            turn += 1;
                            match usable.is_empty() {
                                true => {
                                    let now = sending_record.now_ms();
                                    held.bare_since.entry(class.to_string()).or_insert_with(|| {
                                        sending_record
                                            .line(&format!("proxy {number}: no worker to pick for {class}"));
                                        now
                                    });
                                    None
                                }
                                false => {
                                    if held.bare_since.remove(class).is_some() {
                                        sending_record.line(&format!(
                                            "proxy {number}: a worker to pick for {class} again"
                                        ));
                                    }
                                    Some(usable[turn % usable.len()].clone())
                                }
                            }
                        };
                        if let Some(address) = target.and_then(|id| addresses.get(&id).cloned()) {
                            _ = send(&address, number, class);
                        }
                    }
                    sleep_ms(SEND_EVERY_MS);
                }
            });
        }
        Proxies { held, stop }
    }

    pub fn snapshot(&self) -> Vec<Held> {
        self.held.iter().map(|held| held.lock().unwrap().clone()).collect()
    }

    /// Waits until a condition holds for every proxy.
    pub fn wait_for(&self, limit_ms: u64, condition: impl Fn(&Held) -> bool) -> bool {
        let until = unix_ms() + limit_ms;
        while unix_ms() < until {
            if self.snapshot().iter().all(&condition) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Writes what each proxy holds into the record.
    pub fn record_tables(&self, record: &Record) {
        for (number, held) in self.snapshot().iter().enumerate() {
            for class in CLASSES {
                record.line(&format!(
                    "proxy {number}: {class} has lines {:?}, shut out {:?}, to pick {:?}",
                    held.tables.get(class).map(|table| table.keys().collect::<Vec<_>>()).unwrap_or_default(),
                    held.out,
                    held.usable(class)
                ));
            }
        }
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn run_stream(
    mut socket: TcpStream,
    number: u16,
    zone: &str,
    fresh: &mut bool,
    held: &Mutex<Held>,
    record: &Record,
) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    // A proxy that has just started holds no table that was ordered.
    let hello = format!("hello node={number} locality={zone} w=21.5 cold={}", u8::from(*fresh));
    write!(socket, "{hello}\r\n")?;
    record.line(&format!("proxy {number} -> manager: {hello}"));
    {
        let mut held = held.lock().unwrap();
        (held.joined, held.joins) = (true, held.joins + 1);
    }
    let mut reports = socket.try_clone()?;
    thread::spawn(move || -> std::io::Result<()> {
        loop {
            sleep_ms(REPORT_EVERY_MS);
            for class in CLASSES {
                write!(
                    reports,
                    "demand node={number} route={class} total=20 errors=0 interval={REPORT_EVERY_MS}.0\r\n"
                )?;
            }
        }
    });
    let mut parts = Vec::new();
    for line in BufReader::new(socket.try_clone()?).lines() {
        let line = line?;
        record.line(&format!("manager -> proxy {number}: {line}"));
        if !line.starts_with("push") {
            continue;
        }
        let more = line.split(' ').any(|word| word == "more=1");
        parts.push(line);
        if more {
            continue;
        }
        held.lock().unwrap().apply(&parts);
        *fresh = false;
        let mark =
            parts.iter().flat_map(|part| part.split(' ')).find_map(|word| word.strip_prefix("ticket="));
        if let Some(mark) = mark {
            write!(socket, "ack node={number} nonce={mark} latency=1.0\r\n")?;
        }
        parts.clear();
    }
    Ok(())
}

fn send(address: &str, proxy: u16, class: &str) -> std::io::Result<()> {
    let mut socket = TcpStream::connect(address)?;
    write!(
        socket,
        "POST /{class} HTTP/1.1\r\nhost: {address}\r\nx-proxy: {proxy}\r\ncontent-length: 0\r\n\r\n"
    )?;
    let mut answer = String::new();
    BufReader::new(socket).read_line(&mut answer)?;
    Ok(())
}

/// How many requests of these arrived at a worker, by the second.
pub fn record_arrivals(arrivals: &Arrivals, record: &Record) {
    let mut by_second: BTreeMap<(u64, String), u32> = BTreeMap::new();
    for arrival in arrivals.lock().unwrap().iter() {
        *by_second.entry((arrival.at / 1000, arrival.worker.clone())).or_default() += 1;
    }
    for ((second, worker), count) in by_second {
        record.line(&format!("in second {second}: {count} requests at {worker}"));
    }
}
