//! A relay of its own for each test, between a source that a test scripts by hand and raw subscribers.
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

/// Nothing that is waited for takes so long, however busy the machine is.
pub const WITHIN: Duration = Duration::from_secs(60);

/// How often a source that lives says so.
const ALIVE_EVERY: Duration = Duration::from_millis(50);

/// A relay on a thread of its own, ended when it is dropped.
pub struct RunningRelay {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningRelay {
    /// With the limits and timing that the test sets; a source may be silent for long unless it says otherwise.
    pub fn start(source: SocketAddr, set: impl FnOnce(&mut Options)) -> RunningRelay {
        let mut options = Options::new("127.0.0.1:0".parse().unwrap(), source);
        options.timing.source_silence = WITHIN;
        set(&mut options);
        let (stop, stopped) = oneshot::channel();
        let (bound, address) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let relay = Relay::bind(options).await.unwrap();
                bound.send(relay.address()).unwrap();
                tokio::select! {
                    () = relay.serve() => {}
                    _ = stopped => {}
                }
            });
        });
        let address = address.recv().unwrap();
        RunningRelay { address, stop: Some(stop), thread: Some(thread) }
    }

    pub fn ask(&self, query: &str) -> ListSubscriber {
        ListSubscriber::request(self.address, &format!("/v1/servers{query}"))
    }

    /// Asks until it is answered: the relay may have yet to take what the source wrote.
    pub fn ask_until_served(&self, query: &str) -> ListSubscriber {
        let started = Instant::now();
        loop {
            let subscriber = self.ask(query);
            if subscriber.status == 200 {
                return subscriber;
            }
            assert!(started.elapsed() < WITHIN, "it never serves");
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

/// A source that says what the test lets it say.
pub struct Source(TcpListener);

impl Source {
    pub fn new() -> Source {
        Source(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// The relay's next watch: what it asked for, and the watch.
    pub fn accept(&self) -> (String, SourceWatch) {
        let (asked, peer) = Discovery::accept_watch(&self.0, "200 OK");
        (asked, SourceWatch(Arc::new(Mutex::new(peer))))
    }
}

/// One watch of the relay at its source.
#[derive(Clone)]
pub struct SourceWatch(Arc<Mutex<Peer>>);

impl SourceWatch {
    pub fn send(&self, line: &str) {
        self.raw(&format!("{line}\n"));
    }

    /// Bytes of the body as they are.
    pub fn raw(&self, text: &str) {
        self.0.lock().unwrap().send_chunk(text);
    }

    /// Sends heartbeats until the returned guard is dropped, or the relay has gone.
    pub fn keep_alive(&self) -> KeepAlive {
        let stopped = Arc::new(AtomicBool::new(false));
        let (watch, is_stopped) = (self.clone(), stopped.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let beat = watch.0.lock().unwrap().try_send_raw("1\r\n\n\r\n");
                if beat.is_err() {
                    return;
                }
                thread::sleep(ALIVE_EVERY);
            }
        });
        KeepAlive(stopped)
    }
}

/// Stops heartbeats when it is dropped.
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

/// A line of a list, read.
#[derive(Debug, PartialEq, Eq)]
pub struct Read {
    pub version: u64,
    pub reset: bool,
    /// `instanceId zone lifecycle`, in the order in which they came.
    pub entries: Vec<String>,
}

pub fn read(line: &str) -> Read {
    let list: Value = serde_json::from_str(line).expect("a list");
    let text = |entry: &Value, field: &str| entry[field].as_str().unwrap().to_string();
    let short = |entry: &Value| ["instanceId", "zone", "lifecycle"].map(|field| text(entry, field)).join(" ");
    Read {
        version: list["generation"].as_u64().unwrap(),
        reset: list["reset"].as_bool().unwrap(),
        entries: list["instances"].as_array().unwrap().iter().map(short).collect(),
    }
}

pub fn expected(version: u64, reset: bool, entries: &[&str]) -> Read {
    Read { version, reset, entries: entries.iter().map(|entry| entry.to_string()).collect() }
}

/// The next list that names workers; those that only bring a version are passed over.
pub fn next_with_workers(subscriber: &mut ListSubscriber) -> Read {
    loop {
        let list = read(&subscriber.next_list().expect("the watch lives"));
        if !list.entries.is_empty() || list.reset {
            return list;
        }
    }
}
