//! Runs a relay for each test, between a source that the test controls and subscribers that show each line as received.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use juniperrail_relay::{Options, Relay};
use juniperrail_standins::{Discovery, ListSubscriber, Peer};
use serde_json::Value;
use tokio::sync::oneshot;

/// Time limit of a wait, generous because the machine can be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval between the heartbeats of a source.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// A relay on a thread of its own, stopped on drop.
pub struct RunningRelay {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningRelay {
    /// Starts a relay with the options that `configure` sets. Unless it sets another timeout, the source may be silent
    /// for the duration of a test.
    pub fn start(source: SocketAddr, configure: impl FnOnce(&mut Options)) -> RunningRelay {
        let mut options = Options::new("127.0.0.1:0".parse().unwrap(), source);
        options.timing.source_timeout = WAIT_TIMEOUT;
        configure(&mut options);
        let (stop, stopped) = oneshot::channel();
        let (address_sender, address) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let relay = Relay::bind(options).await.unwrap();
                address_sender.send(relay.address()).unwrap();
                tokio::select! {
                    () = relay.serve() => {}
                    _ = stopped => {}
                }
            });
        });
        let address = address.recv().unwrap();
        RunningRelay { address, stop: Some(stop), thread: Some(thread) }
    }

    /// Requests the list with this query.
    pub fn request(&self, query: &str) -> ListSubscriber {
        ListSubscriber::request(self.address, &format!("/v1/servers{query}"))
    }

    /// Repeats the request until the relay serves it. The relay may not have read yet what the source has sent.
    pub fn request_until_served(&self, query: &str) -> ListSubscriber {
        let started = Instant::now();
        loop {
            let subscriber = self.request(query);
            if subscriber.status == 200 {
                return subscriber;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the relay did not serve the list");
            thread::yield_now();
        }
    }

    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the relay does not panic");
        }
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A source of the list that sends what the test gives it.
pub struct Source(TcpListener);

impl Source {
    pub fn new() -> Source {
        Source(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Accepts the relay's next watch. Returns the request line and the watch.
    pub fn accept(&self) -> (String, SourceWatch) {
        let (request_line, peer) = Discovery::accept_watch(&self.0, "200 OK");
        (request_line, SourceWatch(Arc::new(Mutex::new(peer))))
    }
}

/// The source's side of one watch of the relay.
#[derive(Clone)]
pub struct SourceWatch(Arc<Mutex<Peer>>);

impl SourceWatch {
    /// Sends one line.
    pub fn send(&self, line: &str) {
        self.send_raw(&format!("{line}\n"));
    }

    /// Sends text without a line end.
    pub fn send_raw(&self, text: &str) {
        self.0.lock().unwrap().send_chunk(text);
    }

    /// Sends heartbeats until the returned guard is dropped or the relay has disconnected.
    pub fn keep_alive(&self) -> KeepAlive {
        let stopped = Arc::new(AtomicBool::new(false));
        let (watch, is_stopped) = (self.clone(), stopped.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let sent = watch.0.lock().unwrap().try_send_raw("1\r\n\n\r\n");
                if sent.is_err() {
                    return;
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        KeepAlive(stopped)
    }
}

/// Stops the heartbeats on drop.
pub struct KeepAlive(Arc<AtomicBool>);

impl Drop for KeepAlive {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A worker's entry.
pub fn worker(id: &str, zone: &str, lifecycle: &str) -> String {
    juniperrail_standins::instance_json(id, zone, "127.0.0.1:9", lifecycle)
}

/// A parsed line of a list.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedList {
    pub version: u64,
    pub reset: bool,
    /// `instanceId zone lifecycle` of each entry, in the order of the line.
    pub entries: Vec<String>,
}

pub fn parse(line: &str) -> ParsedList {
    let list: Value = serde_json::from_str(line).expect("a list");
    let text = |entry: &Value, field: &str| entry[field].as_str().unwrap().to_string();
    let summary =
        |entry: &Value| ["instanceId", "zone", "lifecycle"].map(|field| text(entry, field)).join(" ");
    ParsedList {
        version: list["generation"].as_u64().unwrap(),
        reset: list["reset"].as_bool().unwrap(),
        entries: list["instances"].as_array().unwrap().iter().map(summary).collect(),
    }
}

pub fn expected(version: u64, reset: bool, entries: &[&str]) -> ParsedList {
    ParsedList { version, reset, entries: entries.iter().map(|entry| entry.to_string()).collect() }
}

/// The next snapshot or list with entries. Lists with only a version are skipped.
pub fn next_with_workers(subscriber: &mut ListSubscriber) -> ParsedList {
    loop {
        let list = parse(&subscriber.next_list().expect("the watch is still open"));
        if !list.entries.is_empty() || list.reset {
            return list;
        }
    }
}
