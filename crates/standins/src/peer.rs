//! One connection, line by line.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Nothing that is waited for takes so long, however busy the machine is.
const WITHIN: Duration = Duration::from_secs(20);

/// The buffer and the segments of a connection that takes little, in bytes.
const NARROW: usize = 4096;
const SEGMENT: u32 = 536;

/// A connection that is spoken line by line, and fails loudly where nothing comes.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    pub fn new(socket: TcpStream) -> Peer {
        socket.set_read_timeout(Some(WITHIN)).expect("a live socket");
        socket.set_nodelay(true).expect("a live socket");
        Peer(BufReader::new(socket))
    }

    pub fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).expect("somebody listens"))
    }

    /// A proxy of zone a that has joined.
    pub fn connect_as_proxy(manager: SocketAddr, number: u16) -> Peer {
        let mut peer = Peer::connect(manager);
        peer.send_line(&format!("hello node={number} locality=a w=21.5 cold=1"));
        peer
    }

    /// One that takes little: what is written to it and not read soon fills its connection.
    pub fn connect_with_small_buffer(address: SocketAddr) -> Peer {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
        // Both before it connects: what the other side may send at once goes by them.
        socket.set_recv_buffer_size(NARROW).expect("a live socket");
        socket.set_tcp_mss(SEGMENT).expect("a live socket");
        socket.connect(&address.into()).expect("somebody listens");
        Peer::new(socket.into())
    }

    pub fn send_raw(&mut self, text: &str) {
        self.try_send_raw(text).expect("the connection takes it");
    }

    /// Fails once the other side has ended the connection.
    pub fn try_send_raw(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Nothing more will be said; what comes is still read.
    pub fn shutdown_write(&mut self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("a live socket");
    }

    /// All that still comes until the connection ends, also where it ends within a line.
    pub fn read_to_end(&mut self) -> String {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Err(err) if err.kind() != ErrorKind::ConnectionReset => panic!("it does not end: {err}"),
            _ => String::from_utf8(rest).expect("text"),
        }
    }

    pub fn send_line(&mut self, line: &str) {
        self.send_raw(&format!("{line}\r\n"));
    }

    /// One chunk of an HTTP answer.
    pub fn send_chunk(&mut self, text: &str) {
        self.send_raw(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// The next line, or `None` once the connection has ended.
    pub fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.strip_suffix("\r\n").expect("CRLF").to_string()),
            Err(err) if err.kind() == ErrorKind::ConnectionReset => None,
            Err(err) => panic!("nothing came: {err}"),
        }
    }

    /// The first line from here on that holds the part.
    pub fn next_line_containing(&mut self, part: &str) -> String {
        loop {
            let line = self.next_line().unwrap_or_else(|| panic!("ended before {part:?} came"));
            if line.contains(part) {
                return line;
            }
        }
    }

    pub fn assert_alive(&mut self) {
        self.send_line("probe");
        assert_eq!(self.next_line().as_deref(), Some("alive"));
    }
}

/// A proxy of zone a that has joined and answers every mark at once, whoever reads its lines and when: one that owes
/// answers for long is rightly given up.
pub struct AnsweringProxy(Receiver<String>);

impl AnsweringProxy {
    pub fn connect(manager: SocketAddr, number: u16) -> AnsweringProxy {
        let mut peer = Peer::connect_as_proxy(manager, number);
        let (lines, read) = mpsc::channel();
        thread::spawn(move || loop {
            let mut line = String::new();
            // It waits for as long as the manager is there.
            if peer.0.get_ref().set_read_timeout(None).is_err()
                || !peer.0.read_line(&mut line).is_ok_and(|n| n > 0)
            {
                return;
            }
            let mark = line.split_whitespace().find_map(|word| word.strip_prefix("ticket="));
            if let Some(mark) = mark {
                let answer = format!("ack node={number} nonce={mark} latency=1.0\r\n");
                if peer.0.get_mut().write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            if lines.send(line).is_err() {
                return;
            }
        });
        AnsweringProxy(read)
    }

    /// The first line from here on that holds the part.
    pub fn next_line_containing(&mut self, part: &str) -> String {
        loop {
            let line =
                self.0.recv_timeout(WITHIN).unwrap_or_else(|why| panic!("{part:?} did not come: {why}"));
            if line.contains(part) {
                return line;
            }
        }
    }
}

/// Where a started program listens, by its log.
pub fn address_from_log(log: &mut impl BufRead) -> SocketAddr {
    let mut lines = log.lines().map(Result::unwrap);
    let served = lines.find_map(|line| Some(line.split_once("serves on ")?.1.parse().unwrap()));
    served.expect("it serves")
}
