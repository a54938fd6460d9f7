//! Hollow discovery: one list, held once however many watch it, and the changes made to it since.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{interval, timeout, MissedTickBehavior};

use super::Traffic;
use crate::scale::error::ScaleError;

/// The version of the list before any change.
const FIRST_GENERATION: u64 = 1;
/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// The list is written in chunks of this size.
const CHUNK: usize = 64 << 10;
/// A longer request is none.
const LONGEST_REQUEST: usize = 64 << 10;

/// The workers that a hollow discovery lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub workers: usize,
    pub zones: usize,
    pub services: usize,
    /// Where every worker is said to listen.
    pub address: SocketAddr,
}

impl Fleet {
    pub fn zone_name(number: usize) -> String {
        format!("z{number:02}")
    }

    pub fn service_name(number: usize) -> String {
        format!("svc-{number:04}")
    }

    pub fn worker_name(number: usize) -> String {
        format!("s-{number:06}")
    }

    pub fn zone_of(&self, worker: usize) -> usize {
        worker % self.zones
    }

    /// The workers of a service, in ascending order.
    pub fn workers_of(&self, service: usize) -> impl Iterator<Item = usize> {
        (service..self.workers).step_by(self.services)
    }

    fn write_entry(&self, text: &mut BytesMut, change: &Change) {
        let worker = change.worker;
        let (name, zone) = (Fleet::worker_name(worker), Fleet::zone_name(self.zone_of(worker)));
        let service = Fleet::service_name(worker % self.services);
        let lifecycle = if change.draining { "draining" } else { "ready" };
        let (address, started) = (self.address, change.started_at_ms);
        write!(
            text,
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"{zone}","machineType":"m2","cell":{cell},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started},"service":"{service}"}}"#,
            cell = worker % 8,
        )
        .expect("a buffer in memory takes all");
    }

    /// One line of a watch.
    fn line(&self, generation: u64, reset: bool, entries: impl Iterator<Item = Change>) -> Bytes {
        let mut text = BytesMut::new();
        write!(text, r#"{{"generation":{generation},"reset":{reset},"instances":["#)
            .expect("a buffer in memory takes all");
        for (place, entry) in entries.enumerate() {
            if place > 0 {
                text.extend_from_slice(b",");
            }
            self.write_entry(&mut text, &entry);
        }
        text.extend_from_slice(b"]}\n");
        text.freeze()
    }
}

/// What changes of a worker's entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Change {
    pub worker: usize,
    pub draining: bool,
    pub started_at_ms: u64,
}

struct Shared {
    fleet: Fleet,
    whole: Bytes,
    /// The line of each change; the first brings the list to the version after the first.
    changes: Mutex<Vec<Bytes>>,
    /// How many changes there are.
    latest: watch::Sender<usize>,
    traffic: Traffic,
}

impl Shared {
    fn changes(&self) -> MutexGuard<'_, Vec<Bytes>> {
        self.changes.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn change(&self, change: Change) -> Instant {
        let mut changes = self.changes();
        let generation = FIRST_GENERATION + changes.len() as u64 + 1;
        changes.push(self.fleet.line(generation, false, std::iter::once(change)));
        let at = Instant::now();
        self.latest.send_replace(changes.len());
        at
    }
}

/// Serves one list to all who ask, until it is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

impl Discovery {
    pub async fn start(fleet: Fleet) -> Result<Discovery, ScaleError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ScaleError::io("hollow discovery"))?;
        let address = listener.local_addr().map_err(ScaleError::io("hollow discovery"))?;
        let ready = (0..fleet.workers).map(|worker| Change { worker, ..Change::default() });
        let whole = fleet.line(FIRST_GENERATION, true, ready);
        let (changes, latest, traffic) = (Mutex::default(), watch::Sender::new(0), Traffic::default());
        let shared = Arc::new(Shared { fleet, whole, changes, latest, traffic });
        let accepting = tokio::spawn(accept(listener, shared.clone()));
        Ok(Discovery { address, shared, accepting })
    }

    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// How long the line with the whole list is, in bytes.
    pub fn list_bytes(&self) -> usize {
        self.shared.whole.len()
    }

    /// Changes one entry, and tells when.
    pub fn change(&self, change: Change) -> Instant {
        self.shared.change(change)
    }

    /// Changes so many entries a second until what it returns is dropped: a worker drains, then it is ready again, then
    /// the next one drains.
    pub fn churn(&self, per_second: f64) -> Churn {
        let shared = self.shared.clone();
        let every = (per_second > 0.0).then(|| Duration::from_secs_f64(1.0 / per_second));
        Churn(tokio::spawn(async move {
            let Some(every) = every else { return };
            let mut ticks = interval(every);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            for number in 0.. {
                ticks.tick().await;
                let worker = worker_at(number / 2, shared.fleet.workers);
                shared.change(Change { worker, draining: number % 2 == 0, started_at_ms: 0 });
            }
        }))
    }
}

/// Goes through the workers in an order that mixes zones and services.
fn worker_at(turn: usize, workers: usize) -> usize {
    const STRIDE: usize = 7_919;
    turn.wrapping_mul(STRIDE) % workers
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Changes that go on until this is dropped.
pub struct Churn(JoinHandle<()>);

impl Drop for Churn {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // The watches end with the listener.
    let mut watches = tokio::task::JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let shared = shared.clone();
        watches.spawn(async move {
            // Whoever broke the connection dials again.
            _ = answer(socket, &shared).await;
        });
        while watches.try_join_next().is_some() {}
    }
}

/// What a request asks for.
struct Request {
    watch: bool,
    index: Option<u64>,
}

async fn read_request(socket: &mut TcpStream, traffic: &Traffic) -> std::io::Result<Request> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = socket.read_buf(&mut head).await?;
        traffic.add_received(read);
        if read == 0 || head.len() > LONGEST_REQUEST {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&head);
    let target = text.split_whitespace().nth(1).unwrap_or_default();
    let query = target.split_once('?').map(|(_, query)| query).unwrap_or_default();
    let value = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    };
    let index = value("index").and_then(|index| index.parse().ok());
    Ok(Request { watch: value("stream") == Some("1"), index })
}

/// Writes and counts.
struct Answer<'a> {
    socket: TcpStream,
    traffic: &'a Traffic,
}

impl Answer<'_> {
    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write_all(bytes).await?;
        self.traffic.add_sent(bytes.len());
        Ok(())
    }

    async fn chunks(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        for chunk in bytes.chunks(CHUNK) {
            self.write(format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
            self.write(chunk).await?;
            self.write(b"\r\n").await?;
        }
        Ok(())
    }
}

async fn answer(mut socket: TcpStream, shared: &Shared) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let request = read_request(&mut socket, &shared.traffic).await?;
    let mut answer = Answer { socket, traffic: &shared.traffic };
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    if !request.watch {
        // The list as it was at first; its version says so.
        let length = shared.whole.len();
        answer.write(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes()).await?;
        return answer.write(&shared.whole).await;
    }
    answer.write(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
    let mut latest = shared.latest.subscribe();
    let held = request.index.and_then(|index| index.checked_sub(FIRST_GENERATION));
    let known = held.filter(|held| *held <= *latest.borrow() as u64);
    if known.is_none() {
        answer.chunks(&shared.whole).await?;
    }
    let mut told = known.unwrap_or(0) as usize;
    loop {
        let lines: Vec<Bytes> = shared.changes()[told..].to_vec();
        for line in &lines {
            answer.chunks(line).await?;
        }
        told += lines.len();
        let changed = timeout(HEARTBEAT, latest.wait_for(|count| *count > told)).await.is_ok();
        if !changed {
            answer.chunks(b"\n").await?;
        }
    }
}
