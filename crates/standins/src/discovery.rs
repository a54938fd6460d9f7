//! A stand-in for discovery, which serves the worker list to watches.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::peer::Peer;

/// The JSON object by which discovery describes one worker.
pub fn instance_json(id: &str, zone: &str, address: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","machineType":"m2","cell":3,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// The JSON line of one version of the worker list: all workers where `full` is set, otherwise the changed ones.
/// `instances`: objects from [`instance_json`].
pub fn list_json(version: u64, full: bool, instances: &[String]) -> String {
    format!(r#"{{"generation":{version},"reset":{full},"instances":[{}]}}"#, instances.join(","))
}

/// State shared with the threads that serve watches.
#[derive(Default)]
struct Published {
    /// All lines published so far, oldest first.
    lines: Vec<String>,
    /// The connections of the open watches.
    watches: Vec<TcpStream>,
}

/// A stand-in for discovery: each watch receives all lines published so far, then further ones as they are published,
/// and heartbeats.
pub struct Discovery {
    /// The address it accepts watches on.
    pub address: SocketAddr,
    published: Arc<Mutex<Published>>,
}

/// Interval between two heartbeats of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

impl Discovery {
    /// Starts it on a free port.
    pub fn start() -> Discovery {
        Discovery::start_at("127.0.0.1:0").expect("a free port")
    }

    /// Starts it on this address and port.
    pub fn start_at(listen: &str) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let published = Arc::new(Mutex::new(Published::default()));
        let (watch_state, heartbeat_state) = (published.clone(), published.clone());
        thread::spawn(move || {
            listener.incoming().flatten().for_each(|socket| start_watch(socket, &watch_state))
        });
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT_INTERVAL);
            let Ok(mut published) = heartbeat_state.lock() else { return };
            published.watches.retain_mut(|watch| watch.write_all(b"1\r\n\n\r\n").is_ok());
        });
        Ok(Discovery { address, published })
    }

    /// Sends a list or changes, as [`list_json`] encodes them, to all watches, present and future.
    pub fn publish(&self, line: &str) {
        let mut published = self.published.lock().expect("no watch panics");
        published.lines.push(line.to_string());
        let chunk = chunk(line);
        published.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }

    /// Accepts one watch on a listener of the caller and responds with a head of this status. Returns the request line,
    /// and the connection, to which the caller writes the chunks.
    pub fn accept_watch(listener: &TcpListener, status: &str) -> (String, Peer) {
        let mut peer = Peer::new(listener.accept().expect("a client connects").0);
        let request_line = peer.next_line().expect("a request line");
        while peer.next_line().is_some_and(|line| !line.is_empty()) {}
        peer.send_raw(&format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n"));
        (request_line, peer)
    }
}

/// One line as a chunk of HTTP chunked encoding.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Reads the request of a watch, ignores its path and query, and responds with all lines published so far.
fn start_watch(mut socket: TcpStream, published: &Mutex<Published>) {
    let Ok(reader) = socket.try_clone() else { return };
    let mut head = BufReader::new(reader).lines();
    while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let Ok(mut published) = published.lock() else { return };
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    text.extend(published.lines.iter().map(|line| chunk(line)));
    if socket.write_all(text.as_bytes()).is_ok() {
        published.watches.push(socket);
    }
}
