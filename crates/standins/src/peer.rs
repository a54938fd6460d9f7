//! TCP connections that the caller writes and reads line by line, as the client or as the server.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Longest wait for a line; generous, as the machine may be busy.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The receive buffer of a connection with a small buffer, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;
/// The maximum segment size of such a connection, in bytes.
const SMALL_SEGMENT_BYTES: u32 = 536;

/// A connection that is written and read line by line. Its methods panic where a read times out.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    /// Wraps an open connection.
    pub fn new(socket: TcpStream) -> Peer {
        socket.set_read_timeout(Some(READ_TIMEOUT)).expect("the socket is open");
        socket.set_nodelay(true).expect("the socket is open");
        Peer(BufReader::new(socket))
    }

    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).expect("the server accepts connections"))
    }

    /// Connects as a proxy of zone a and sends its hello line.
    pub fn connect_as_proxy(manager: SocketAddr, number: u16) -> Peer {
        let mut peer = Peer::connect(manager);
        peer.send_line(&format!("hello node={number} locality=a w=21.5 cold=1"));
        peer
    }

    /// Connects with a small receive buffer, which the server soon fills when nothing is read.
    pub fn connect_with_small_buffer(address: SocketAddr) -> Peer {
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket can be created");
        // Both are set before connecting, since the window that the server may fill depends on them.
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).expect("the socket is open");
        socket.set_tcp_mss(SMALL_SEGMENT_BYTES).expect("the socket is open");
        socket.connect(&address.into()).expect("the server accepts connections");
        Peer::new(socket.into())
    }

    /// Sends text without appending a line break.
    pub fn send_raw(&mut self, text: &str) {
        self.try_send_raw(text).expect("the connection accepts writes");
    }

    /// Like [`Peer::send_raw`], but returns an error once the other side has closed the connection.
    pub fn try_send_raw(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Closes the sending direction. Data can still be received.
    pub fn shutdown_write(&mut self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("the socket is open");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("the socket is open");
    }

    /// Reads until the connection ends, which may be in the middle of a line.
    pub fn read_to_end(&mut self) -> String {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Err(err) if err.kind() != ErrorKind::ConnectionReset => {
                panic!("the connection did not end: {err}")
            }
            _ => String::from_utf8(rest).expect("the text is UTF-8"),
        }
    }

    /// Sends a line, to which it appends the line break.
    pub fn send_line(&mut self, line: &str) {
        self.send_raw(&format!("{line}\r\n"));
    }

    /// Sends a chunk of an HTTP response.
    pub fn send_chunk(&mut self, text: &str) {
        self.send_raw(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// The next line without its line break, or `None` once the connection has ended.
    pub fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.strip_suffix("\r\n").expect("the line ends with CRLF").to_string()),
            Err(err) if err.kind() == ErrorKind::ConnectionReset => None,
            Err(err) => panic!("no line was received: {err}"),
        }
    }

    /// The next line that contains `part`; the lines before it are skipped.
    pub fn next_line_containing(&mut self, part: &str) -> String {
        loop {
            let line = self
                .next_line()
                .unwrap_or_else(|| panic!("the connection ended before a line with {part:?}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    /// Checks that the manager responds to a probe line.
    pub fn assert_alive(&mut self) {
        self.send_line("probe");
        assert_eq!(self.next_line().as_deref(), Some("alive"));
    }
}

/// A proxy of zone a that acknowledges every mark at once, whether or not the test reads its lines: a manager treats a
/// proxy whose acknowledgements are long overdue as gone.
pub struct AnsweringProxy(Receiver<String>);

impl AnsweringProxy {
    /// Connects to a manager and sends the proxy's hello line.
    pub fn connect(manager: SocketAddr, number: u16) -> AnsweringProxy {
        let mut peer = Peer::connect_as_proxy(manager, number);
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || loop {
            let mut line = String::new();
            // No read timeout: the thread ends with the connection.
            if peer.0.get_ref().set_read_timeout(None).is_err()
                || !peer.0.read_line(&mut line).is_ok_and(|read| read > 0)
            {
                return;
            }
            let mark = line.split_whitespace().find_map(|word| word.strip_prefix("ticket="));
            if let Some(mark) = mark {
                let acknowledgement = format!("ack node={number} nonce={mark} latency=1.0\r\n");
                if peer.0.get_mut().write_all(acknowledgement.as_bytes()).is_err() {
                    return;
                }
            }
            if sender.send(line).is_err() {
                return;
            }
        });
        AnsweringProxy(receiver)
    }

    /// The next line that contains `part`; the lines before it are skipped.
    pub fn next_line_containing(&mut self, part: &str) -> String {
        loop {
            let line = self
                .0
                .recv_timeout(READ_TIMEOUT)
                .unwrap_or_else(|err| panic!("no line with {part:?} was received: {err}"));
            if line.contains(part) {
                return line;
            }
        }
    }
}

/// Reads the log of a manager until it contains the address on which the manager serves proxies.
pub fn address_from_log(log: &mut impl BufRead) -> SocketAddr {
    let mut lines = log.lines().map(Result::unwrap);
    let address = lines.find_map(|line| Some(line.split_once("serves on ")?.1.parse().unwrap()));
    address.expect("the log names an address")
}
