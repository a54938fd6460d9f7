//! Discovery: the list of workers, and watches on it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::peer::Peer;

/// One worker as discovery words it.
pub fn instance_json(id: &str, zone: &str, address: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","machineType":"m2","cell":3,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A list, or changes of it.
pub fn list_json(version: u64, full: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{version},"reset":{full},"instances":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
struct Told {
    /// All that was told, oldest first, and who watches.
    lines: Vec<String>,
    watches: Vec<TcpStream>,
}

/// Discovery by itself: each watch is told all that was told so far, and what comes after, with heartbeats.
pub struct Discovery {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

const HEARTBEAT: Duration = Duration::from_secs(1);

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::start_at("127.0.0.1:0").expect("a free port")
    }

    pub fn start_at(listen: &str) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let told = Arc::new(Mutex::new(Told::default()));
        let (watched, beaten) = (told.clone(), told.clone());
        thread::spawn(move || listener.incoming().flatten().for_each(|socket| watch(socket, &watched)));
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            let Ok(mut told) = beaten.lock() else { return };
            told.watches.retain_mut(|watch| watch.write_all(b"1\r\n\n\r\n").is_ok());
        });
        Ok(Discovery { address, told })
    }

    /// Tells a list or changes, as [`list_json`] words them.
    pub fn publish(&self, line: &str) {
        let mut told = self.told.lock().expect("no watch panics");
        told.lines.push(line.to_string());
        let chunk = chunk(line);
        told.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }

    /// Takes one watch by hand: what was asked for, and the connection with a head already answered.
    pub fn accept_watch(listener: &TcpListener, status: &str) -> (String, Peer) {
        let mut peer = Peer::new(listener.accept().expect("somebody dials").0);
        let asked = peer.next_line().expect("a question");
        while peer.next_line().is_some_and(|line| !line.is_empty()) {}
        peer.send_raw(&format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n"));
        (asked, peer)
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn watch(mut socket: TcpStream, told: &Mutex<Told>) {
    let Ok(copy) = socket.try_clone() else { return };
    let mut head = BufReader::new(copy).lines();
    while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let Ok(mut told) = told.lock() else { return };
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    text.extend(told.lines.iter().map(|line| chunk(line)));
    if socket.write_all(text.as_bytes()).is_ok() {
        told.watches.push(socket);
    }
}
