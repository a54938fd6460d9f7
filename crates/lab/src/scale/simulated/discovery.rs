//! A simulated discovery service. It stores one list for all watches, and the changes made to it since.

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

/// The generation of the list before any change.
const FIRST_GENERATION: u64 = 1;
/// The interval of the empty lines that a watch gets while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The size of the chunks in which a line is written, in bytes.
const CHUNK_SIZE: usize = 64 << 10;
/// The limit on the head of a request, in bytes. A longer one ends the connection.
const MAX_REQUEST_SIZE: usize = 64 << 10;

/// The workers that a simulated discovery service lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The number of workers.
    pub workers: usize,
    /// The number of zones.
    pub zones: usize,
    /// The number of services.
    pub services: usize,
    /// The address that the list states for every worker.
    pub address: SocketAddr,
}

impl Fleet {
    /// The name of a zone.
    pub fn zone_name(number: usize) -> String {
        format!("z{number:02}")
    }

    /// The name of a service.
    pub fn service_name(number: usize) -> String {
        format!("svc-{number:04}")
    }

    /// The instance id of a worker.
    pub fn worker_name(number: usize) -> String {
        format!("s-{number:06}")
    }

    /// The number of the zone that a worker is in.
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
        .expect("writing to a buffer in memory does not fail");
    }

    /// One line of a watch, with the entries as they are after these changes.
    fn line(&self, generation: u64, reset: bool, entries: impl Iterator<Item = Change>) -> Bytes {
        let mut text = BytesMut::new();
        write!(text, r#"{{"generation":{generation},"reset":{reset},"instances":["#)
            .expect("writing to a buffer in memory does not fail");
        for (index, entry) in entries.enumerate() {
            if index > 0 {
                text.extend_from_slice(b",");
            }
            self.write_entry(&mut text, &entry);
        }
        text.extend_from_slice(b"]}\n");
        text.freeze()
    }
}

/// The fields of a worker's entry that change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Change {
    /// The number of the worker.
    pub worker: usize,
    /// Whether it is draining; otherwise it is ready.
    pub draining: bool,
    /// Its start time; 0 for all but timed changes.
    pub started_at_ms: u64,
}

struct Shared {
    fleet: Fleet,
    /// The line with the full list of the first generation.
    snapshot: Bytes,
    /// The line of each change. The first change results in the generation after [`FIRST_GENERATION`].
    changes: Mutex<Vec<Bytes>>,
    /// The number of changes.
    change_count: watch::Sender<usize>,
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
        let made_at = Instant::now();
        self.change_count.send_replace(changes.len());
        made_at
    }
}

/// Serves one list to all clients, until it is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

impl Discovery {
    /// Starts to serve the list on a free port, with every worker ready.
    pub async fn start(fleet: Fleet) -> Result<Discovery, ScaleError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(ScaleError::io("binding a port for the simulated discovery service"))?;
        let address = listener
            .local_addr()
            .map_err(ScaleError::io("reading the address of the simulated discovery service"))?;
        let ready = (0..fleet.workers).map(|worker| Change { worker, ..Change::default() });
        let snapshot = fleet.line(FIRST_GENERATION, true, ready);
        let (changes, change_count, traffic) = (Mutex::default(), watch::Sender::new(0), Traffic::default());
        let shared = Arc::new(Shared { fleet, snapshot, changes, change_count, traffic });
        let accept_task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Discovery { address, shared, accept_task })
    }

    /// The bytes of all connections.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// The length of the line with the full list, in bytes.
    pub fn list_bytes(&self) -> usize {
        self.shared.snapshot.len()
    }

    /// Changes one entry and returns the time of the change.
    pub fn change(&self, change: Change) -> Instant {
        self.shared.change(change)
    }

    /// Changes entries at this rate until the returned value is dropped. Workers take turns: each drains and becomes
    /// ready again before the next one drains.
    pub fn churn(&self, per_second: f64) -> Churn {
        let shared = self.shared.clone();
        let period = (per_second > 0.0).then(|| Duration::from_secs_f64(1.0 / per_second));
        Churn(tokio::spawn(async move {
            let Some(period) = period else { return };
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            for number in 0.. {
                ticks.tick().await;
                let worker = worker_at(number / 2, shared.fleet.workers);
                shared.change(Change { worker, draining: number % 2 == 0, started_at_ms: 0 });
            }
        }))
    }
}

/// The worker at a position of an order that mixes zones and services.
fn worker_at(position: usize, workers: usize) -> usize {
    const STRIDE: usize = 7_919;
    position.wrapping_mul(STRIDE) % workers
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Continuous changes of the list, until this is dropped.
pub struct Churn(JoinHandle<()>);

impl Drop for Churn {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Dropping the set ends the watches together with the listener.
    let mut watches = tokio::task::JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let shared = shared.clone();
        watches.spawn(async move {
            // Clients reconnect after any error.
            _ = serve(socket, &shared).await;
        });
        while watches.try_join_next().is_some() {}
    }
}

/// The parameters of a request.
struct Request {
    /// Whether it opens a watch.
    watch: bool,
    /// The generation from which a watch resumes.
    index: Option<u64>,
}

async fn read_request(socket: &mut TcpStream, traffic: &Traffic) -> std::io::Result<Request> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = socket.read_buf(&mut head).await?;
        traffic.add_received(read);
        if read == 0 || head.len() > MAX_REQUEST_SIZE {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&head);
    let target = text.split_whitespace().nth(1).unwrap_or_default();
    let query = target.split_once('?').map(|(_, query)| query).unwrap_or_default();
    let value = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    };
    let index = value("index").and_then(|index| index.parse().ok());
    Ok(Request { watch: value("stream") == Some("1"), index })
}

/// Writes a response and counts its bytes.
struct ResponseWriter<'a> {
    socket: TcpStream,
    traffic: &'a Traffic,
}

impl ResponseWriter<'_> {
    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write_all(bytes).await?;
        self.traffic.add_sent(bytes.len());
        Ok(())
    }

    async fn write_chunks(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        for chunk in bytes.chunks(CHUNK_SIZE) {
            self.write(format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
            self.write(chunk).await?;
            self.write(b"\r\n").await?;
        }
        Ok(())
    }
}

/// Reads one request and answers it with the list, or with a watch until the connection ends.
async fn serve(mut socket: TcpStream, shared: &Shared) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let request = read_request(&mut socket, &shared.traffic).await?;
    let mut response = ResponseWriter { socket, traffic: &shared.traffic };
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    if !request.watch {
        // A request without a watch gets the first generation of the list, without the changes since.
        let length = shared.snapshot.len();
        response.write(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes()).await?;
        return response.write(&shared.snapshot).await;
    }
    response.write(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
    let mut change_count = shared.change_count.subscribe();
    // The number of changes that the client has, if it resumes from a generation of this list.
    let requested = request.index.and_then(|index| index.checked_sub(FIRST_GENERATION));
    let resumed = requested.filter(|requested| *requested <= *change_count.borrow() as u64);
    if resumed.is_none() {
        response.write_chunks(&shared.snapshot).await?;
    }
    let mut sent = resumed.unwrap_or(0) as usize;
    loop {
        let lines: Vec<Bytes> = shared.changes()[sent..].to_vec();
        for line in &lines {
            response.write_chunks(line).await?;
        }
        sent += lines.len();
        let changed = timeout(HEARTBEAT_INTERVAL, change_count.wait_for(|count| *count > sent)).await.is_ok();
        if !changed {
            response.write_chunks(b"\n").await?;
        }
    }
}
