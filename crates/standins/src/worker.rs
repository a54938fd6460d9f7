//! A worker as probes see it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Answers every probe with the same load report.
pub struct Worker {
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(listen: &str, load: &'static str) -> std::io::Result<Worker> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        thread::spawn(move || listener.incoming().flatten().for_each(|probe| _ = answer(probe, load)));
        Ok(Worker { address })
    }
}

fn answer(mut probe: TcpStream, load: &str) -> std::io::Result<()> {
    let mut asked = String::new();
    BufReader::new(&probe).read_line(&mut asked)?;
    write!(probe, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{load}", load.len())
}
