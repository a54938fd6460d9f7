//! A subscriber of the worker list, as raw as a connection: it reads what it is told to read, and no more.

use std::io::{BufRead, BufReader, Cursor, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Nothing that is waited for takes so long, however busy the machine is.
const WITHIN: Duration = Duration::from_secs(60);

/// The receive buffer of a connection that takes little, in bytes.
const NARROW: usize = 4096;
/// What such a one takes off it at a time.
const SIP: usize = 64;
/// What any other does.
const GULP: usize = 64 << 10;

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// As HTTP has it.
    Complete,
    /// The connection broke before.
    Truncated,
}

/// One request for the list, and its answer as it comes.
pub struct ListSubscriber {
    socket: BufReader<TcpStream>,
    /// Bytes read one by one, which have yet to be understood.
    early: Cursor<Vec<u8>>,
    /// The status of the answer.
    pub status: u16,
    /// The length of the body, where the answer has it.
    length: Option<usize>,
    body: Vec<u8>,
    ending: Option<BodyEnd>,
}

impl ListSubscriber {
    /// Asks for a path with its query and reads the head of the answer.
    pub fn request(address: SocketAddr, path: &str) -> ListSubscriber {
        ListSubscriber::ask_on(TcpStream::connect(address).expect("somebody listens"), path, GULP)
    }

    /// Does so over a connection that takes little: what is written to it and not read soon fills it.
    pub fn request_with_small_buffer(address: SocketAddr, path: &str) -> ListSubscriber {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
        // Before it connects: what the other side may send at once goes by it.
        socket.set_recv_buffer_size(NARROW).expect("a live socket");
        socket.connect(&address.into()).expect("somebody listens");
        ListSubscriber::ask_on(socket.into(), path, SIP)
    }

    fn ask_on(mut socket: TcpStream, path: &str, at_a_time: usize) -> ListSubscriber {
        socket.set_read_timeout(Some(WITHIN)).expect("a live socket");
        let request = format!("GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n");
        socket.write_all(request.as_bytes()).expect("the connection takes it");
        let mut subscriber = ListSubscriber {
            socket: BufReader::with_capacity(at_a_time, socket),
            early: Cursor::default(),
            status: 0,
            length: None,
            body: Vec::new(),
            ending: None,
        };
        subscriber.read_head();
        subscriber
    }

    fn read_head(&mut self) {
        let status = self.head_line();
        let status = status.split(' ').nth(1).and_then(|status| status.parse().ok());
        self.status = status.expect("a status");
        loop {
            let line = self.head_line().to_ascii_lowercase();
            match line.strip_prefix("content-length:") {
                Some(length) => self.length = length.trim().parse().ok(),
                None if line.is_empty() => return,
                None => {}
            }
        }
    }

    fn head_line(&mut self) -> String {
        let mut line = String::new();
        self.socket.read_line(&mut line).expect("the connection lives");
        line.trim_end().to_string()
    }

    /// Reads one byte more; false once the connection has ended.
    pub fn read_one_byte(&mut self) -> bool {
        let mut byte = [0];
        let is_read = self.socket.read(&mut byte).is_ok_and(|read| read == 1);
        self.early.get_mut().extend_from_slice(&byte[..usize::from(is_read)]);
        is_read
    }

    /// Reads what comes until nothing does for so long; returns how many bytes there were.
    pub fn read_until_silent(&mut self, silence: Duration) -> usize {
        self.socket.get_ref().set_read_timeout(Some(silence)).expect("a live socket");
        let before = self.early.get_ref().len();
        while self.read_one_byte() {}
        self.socket.get_ref().set_read_timeout(Some(WITHIN)).expect("a live socket");
        self.early.get_ref().len() - before
    }

    /// The next line that holds a list; heartbeats are passed over. `None` once the body has ended, which may be within
    /// a line.
    pub fn next_list(&mut self) -> Option<String> {
        loop {
            let line = self.next_line()?;
            if !line.is_empty() {
                return Some(line);
            }
        }
    }

    /// The next line without its end, empty for a heartbeat.
    pub fn next_line(&mut self) -> Option<String> {
        let mut seen = 0;
        loop {
            if let Some(end) = self.body[seen..].iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.body.drain(..=seen + end).collect();
                return Some(String::from_utf8(line).expect("text").trim_end().to_string());
            }
            seen = self.body.len();
            if self.ending.is_some() {
                return None;
            }
            self.read_more();
        }
    }

    /// All that still comes, and how it ended.
    pub fn read_to_end(&mut self) -> (String, BodyEnd) {
        loop {
            if let Some(ending) = self.ending {
                return (String::from_utf8(std::mem::take(&mut self.body)).expect("text"), ending);
            }
            self.read_more();
        }
    }

    /// Waits for bytes of the body.
    pub fn read_more(&mut self) {
        let read = match self.length.take() {
            Some(length) => self.read_exactly(length).map(|()| false),
            None => self.read_chunk(),
        };
        self.ending = match read {
            Some(true) => None,
            Some(false) => Some(BodyEnd::Complete),
            None => Some(BodyEnd::Truncated),
        };
    }

    /// False for the last chunk, `None` if the connection broke.
    fn read_chunk(&mut self) -> Option<bool> {
        let mut size = String::new();
        self.bytes().read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        self.read_exactly(size)?;
        self.bytes().read_exact(&mut [0; 2]).ok()?;
        Some(size > 0)
    }

    fn read_exactly(&mut self, size: usize) -> Option<()> {
        let mut part = (&mut self.early).chain(&mut self.socket).take(size as u64);
        let read = part.read_to_end(&mut self.body).ok()?;
        (read == size).then_some(())
    }

    fn bytes(&mut self) -> impl BufRead + '_ {
        (&mut self.early).chain(&mut self.socket)
    }
}
