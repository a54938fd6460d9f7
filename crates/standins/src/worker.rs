//! A stand-in for a worker that responds to probes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A worker that responds to every probe with the same load report.
pub struct Worker {
    /// The address it accepts probes on.
    pub address: SocketAddr,
}

impl Worker {
    /// Starts it on this address and port. `load`: the load report, which is the body of its responses.
    pub fn start(listen: &str, load: &'static str) -> std::io::Result<Worker> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        thread::spawn(move || listener.incoming().flatten().for_each(|probe| _ = respond(probe, load)));
        Ok(Worker { address })
    }
}

/// Reads the first line of a probe and responds with the load report.
fn respond(mut probe: TcpStream, load: &str) -> std::io::Result<()> {
    let mut request_line = String::new();
    BufReader::new(&probe).read_line(&mut request_line)?;
    write!(probe, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{load}", load.len())
}
