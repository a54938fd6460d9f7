//! A subscriber to the worker list that reads from its connection only when its caller asks for it, so that a test
//! decides when the server's writes block.

use std::io::{BufRead, BufReader, Cursor, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Longest wait for bytes; generous, as the machine may be busy.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// The receive buffer of a connection with a small buffer, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;
/// The capacity of the read buffer of such a connection, in bytes.
const SMALL_READ_BUFFER_BYTES: usize = 64;
/// The capacity of the read buffer of any other connection, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// With the last chunk, or at its content length.
    Complete,
    /// The connection ended before that.
    Truncated,
}

/// A request for the worker list, and its response, which is read step by step.
pub struct ListSubscriber {
    socket: BufReader<TcpStream>,
    /// Bytes that were read from the connection one by one and have not been parsed yet.
    unparsed: Cursor<Vec<u8>>,
    /// The status code of the response.
    pub status: u16,
    /// The content length of a response that has one; `None` once the body has been read.
    content_length: Option<usize>,
    /// The part of the decoded body that was read and not yet returned.
    body: Vec<u8>,
    body_end: Option<BodyEnd>,
}

impl ListSubscriber {
    /// Requests a path with its query and reads the head of the response.
    pub fn request(address: SocketAddr, path: &str) -> ListSubscriber {
        let socket = TcpStream::connect(address).expect("the server accepts connections");
        ListSubscriber::request_on(socket, path, READ_BUFFER_BYTES)
    }

    /// Like [`ListSubscriber::request`] over a connection with a small receive buffer, which the server soon fills when
    /// nothing is read.
    pub fn request_with_small_buffer(address: SocketAddr, path: &str) -> ListSubscriber {
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket can be created");
        // Set before connecting, since the window that the server may fill depends on it.
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).expect("the socket is open");
        socket.connect(&address.into()).expect("the server accepts connections");
        ListSubscriber::request_on(socket.into(), path, SMALL_READ_BUFFER_BYTES)
    }

    fn request_on(mut socket: TcpStream, path: &str, read_buffer_bytes: usize) -> ListSubscriber {
        socket.set_read_timeout(Some(READ_TIMEOUT)).expect("the socket is open");
        let request = format!("GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n");
        socket.write_all(request.as_bytes()).expect("the connection accepts the request");
        let mut subscriber = ListSubscriber {
            socket: BufReader::with_capacity(read_buffer_bytes, socket),
            unparsed: Cursor::default(),
            status: 0,
            content_length: None,
            body: Vec::new(),
            body_end: None,
        };
        subscriber.read_head();
        subscriber
    }

    fn read_head(&mut self) {
        let status = self.head_line();
        let status = status.split(' ').nth(1).and_then(|status| status.parse().ok());
        self.status = status.expect("the response has a status");
        loop {
            let line = self.head_line().to_ascii_lowercase();
            match line.strip_prefix("content-length:") {
                Some(length) => self.content_length = length.trim().parse().ok(),
                None if line.is_empty() => return,
                None => {}
            }
        }
    }

    fn head_line(&mut self) -> String {
        let mut line = String::new();
        self.socket.read_line(&mut line).expect("the connection is open");
        line.trim_end().to_string()
    }

    /// Reads one more byte without parsing it. False if the connection has ended or no byte arrives within the read
    /// timeout.
    pub fn read_one_byte(&mut self) -> bool {
        let mut byte = [0];
        let is_read = self.socket.read(&mut byte).is_ok_and(|read| read == 1);
        self.unparsed.get_mut().extend_from_slice(&byte[..usize::from(is_read)]);
        is_read
    }

    /// Reads bytes without parsing them until none arrives for this long, and returns their number.
    pub fn read_until_silent(&mut self, silence: Duration) -> usize {
        self.socket.get_ref().set_read_timeout(Some(silence)).expect("the socket is open");
        let before = self.unparsed.get_ref().len();
        while self.read_one_byte() {}
        self.socket.get_ref().set_read_timeout(Some(READ_TIMEOUT)).expect("the socket is open");
        self.unparsed.get_ref().len() - before
    }

    /// The next line that contains a list; heartbeats are skipped. `None` once the body has ended, which may be in the
    /// middle of a line.
    pub fn next_list(&mut self) -> Option<String> {
        loop {
            let line = self.next_line()?;
            if !line.is_empty() {
                return Some(line);
            }
        }
    }

    /// The next line without its line break, empty for a heartbeat. `None` once the body has ended.
    pub fn next_line(&mut self) -> Option<String> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.body[searched..].iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.body.drain(..=searched + end).collect();
                return Some(String::from_utf8(line).expect("the body is UTF-8").trim_end().to_string());
            }
            searched = self.body.len();
            if self.body_end.is_some() {
                return None;
            }
            self.read_more();
        }
    }

    /// Reads the rest of the body. Returns the part that was not returned before, and how the body ended.
    pub fn read_to_end(&mut self) -> (String, BodyEnd) {
        loop {
            if let Some(body_end) = self.body_end {
                return (
                    String::from_utf8(std::mem::take(&mut self.body)).expect("the body is UTF-8"),
                    body_end,
                );
            }
            self.read_more();
        }
    }

    /// Reads the next chunk of the body, or the whole body where the response has a content length.
    pub fn read_more(&mut self) {
        let read = match self.content_length.take() {
            Some(length) => self.read_exactly(length).map(|()| false),
            None => self.read_chunk(),
        };
        self.body_end = match read {
            Some(true) => None,
            Some(false) => Some(BodyEnd::Complete),
            None => Some(BodyEnd::Truncated),
        };
    }

    /// Reads one chunk. False for the last one, `None` if the connection ended before the end of the chunk.
    fn read_chunk(&mut self) -> Option<bool> {
        let mut size = String::new();
        self.reader().read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        self.read_exactly(size)?;
        self.reader().read_exact(&mut [0; 2]).ok()?;
        Some(size > 0)
    }

    /// Reads this many bytes and appends them to the body. `None` if the connection ended before the last of them.
    fn read_exactly(&mut self, size: usize) -> Option<()> {
        let mut reader = (&mut self.unparsed).chain(&mut self.socket).take(size as u64);
        let read = reader.read_to_end(&mut self.body).ok()?;
        (read == size).then_some(())
    }

    /// Reads the bytes that have not been parsed yet, then those of the connection.
    fn reader(&mut self) -> impl BufRead + '_ {
        (&mut self.unparsed).chain(&mut self.socket)
    }
}
