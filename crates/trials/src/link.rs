//! A TCP forwarder from one manager to another that injects faults and records what leaders send.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use juniperrail_consensus::{Entry, Index, MemberId, Message, Payload, Term};
use juniperrail_fleet::PeerMessage;

/// How a link treats the bytes sent over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    /// Bytes are forwarded.
    Open,
    /// Connections stay open and nothing is forwarded, as when a machine is partitioned; bytes sent meanwhile are
    /// forwarded afterwards.
    Silent,
    /// Open connections and new ones are closed, as when the receiving process is dead.
    Reset,
    /// Connections are accepted but not read from.
    HalfOpen,
    /// Each chunk that is read is delayed by this many milliseconds, and with it all later bytes.
    Delayed(u64),
}

/// What was observed on all links of a cluster.
#[derive(Default)]
pub struct Traffic {
    /// The members that sent messages only a leader sends, by term.
    pub leaders: BTreeMap<Term, Vec<MemberId>>,
    /// The log entries that leaders sent, by index and term.
    pub entries: BTreeMap<(Index, Term), Payload>,
    /// A description of each entry that was sent with the same index and term as another but with different content.
    pub conflicts: Vec<String>,
}

/// A forwarder for one direction between two managers.
pub struct Link {
    /// The address that the sending manager connects to.
    pub address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

/// Interval at which a connection checks the state of its link.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Link {
    /// Starts an open link for `from`, to the address `to` that another manager listens on. The link listens on the same
    /// loopback address, which only this cluster uses, so that no manager of another cluster reaches it through a reused
    /// port.
    pub fn start(from: MemberId, to: SocketAddr, traffic: Arc<Mutex<Traffic>>) -> Link {
        let listener = TcpListener::bind((to.ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(Mutex::new(LinkState::Open));
        let shared_state = state.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (shared_state, traffic) = (shared_state.clone(), traffic.clone());
                if current_state(&shared_state) == LinkState::Reset {
                    close(&socket);
                    continue;
                }
                thread::spawn(move || forward_connection(from, socket, to, &shared_state, &traffic));
            }
        });
        Link { address, state }
    }

    /// Sets the state, for existing connections and new ones.
    pub fn set(&self, state: LinkState) {
        *self.state.lock().expect("no link panics") = state;
    }
}

fn current_state(state: &Mutex<LinkState>) -> LinkState {
    *state.lock().expect("no link panics")
}

/// Closes both directions of a connection.
fn close(socket: &TcpStream) {
    // An error means that it is closed already.
    _ = socket.shutdown(std::net::Shutdown::Both);
}

/// Forwards one connection until either side closes it.
fn forward_connection(
    from: MemberId,
    mut socket: TcpStream,
    to: SocketAddr,
    state: &Mutex<LinkState>,
    traffic: &Mutex<Traffic>,
) {
    let Ok(mut target) = TcpStream::connect(to) else { return close(&socket) };
    if socket.set_read_timeout(Some(POLL_INTERVAL)).is_err() || target.set_nodelay(true).is_err() {
        return;
    }
    let (mut bytes, mut reader) = ([0; 16 << 10], MessageReader::default());
    loop {
        match current_state(state) {
            LinkState::Reset => {
                close(&target);
                return close(&socket);
            }
            LinkState::HalfOpen => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            _ => {}
        }
        let read = match socket.read(&mut bytes) {
            Ok(0) => return close(&target),
            Ok(read) => read,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                // The other side may have closed the connection.
                if is_closed(&target) {
                    return close(&socket);
                }
                continue;
            }
            Err(_) => return close(&target),
        };
        while current_state(state) == LinkState::Silent {
            thread::sleep(POLL_INTERVAL);
        }
        if let LinkState::Delayed(delay) = current_state(state) {
            thread::sleep(Duration::from_millis(delay));
        }
        reader.read(&bytes[..read], |message| {
            record_message(from, message, &mut traffic.lock().expect("no link panics"))
        });
        if target.write_all(&bytes[..read]).is_err() {
            return close(&socket);
        }
    }
}

/// Whether the other side has closed a connection.
fn is_closed(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = matches!(socket.peek(&mut [0; 1]), Ok(0))
        || matches!(socket.peek(&mut [0; 1]), Err(error) if error.kind() != ErrorKind::WouldBlock);
    _ = socket.set_nonblocking(false);
    closed
}

/// Splits a stream into length-prefixed messages; the first is the handshake and is skipped.
#[derive(Default)]
struct MessageReader {
    bytes: Vec<u8>,
    handshake_read: bool,
}

impl MessageReader {
    fn read(&mut self, bytes: &[u8], mut on_message: impl FnMut(PeerMessage)) {
        self.bytes.extend_from_slice(bytes);
        while let Some((head, rest)) = self.bytes.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            if rest.len() < length {
                return;
            }
            if self.handshake_read {
                // Undecodable messages are skipped: the receiving manager rejects and logs them.
                postcard::from_bytes(&rest[..length]).into_iter().for_each(&mut on_message);
            }
            self.handshake_read = true;
            self.bytes.drain(..4 + length);
        }
    }
}

/// Records what a leader sends, and as conflicts the entries that differ from one sent before with the same index and
/// term.
fn record_message(from: MemberId, message: PeerMessage, traffic: &mut Traffic) {
    let (term, entries) = match message {
        PeerMessage::Consensus(Message::AppendEntries { term, entries, .. }) => (term, entries),
        PeerMessage::Consensus(Message::InstallSnapshot { term, .. }) => (term, Vec::new()),
        _ => return,
    };
    let leaders = traffic.leaders.entry(term).or_default();
    if !leaders.contains(&from) {
        leaders.push(from);
    }
    for Entry { index, term, payload } in entries {
        let known = traffic.entries.entry((index, term)).or_insert_with(|| payload.clone());
        if *known != payload {
            traffic.conflicts.push(format!("{index:?} in {term}: {known:?} and {payload:?}"));
        }
    }
}
