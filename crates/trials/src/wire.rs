//! The way from one manager to another: a stand-in that passes bytes on, or not, and reads what the leader's messages say
//! as they cross.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use juniperrail_council::{Entry, Index, MemberId, Message, Term, What};
use juniperrail_fleet::PeerMessage;

/// What a wire does with what it is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Open,
    /// Connections stay open and silent, as when a machine is cut off; what was given meanwhile comes after.
    Silent,
    /// Connections are reset and new ones refused, as when a process is dead.
    Reset,
    /// Connections are taken and nothing is read: half open.
    HalfOpen,
    /// Each piece comes so many milliseconds later, and all after it.
    Slow(u64),
}

/// What crossed, of all wires together.
#[derive(Default)]
pub struct Seen {
    /// Who sent a leader's word, by term.
    pub leaders: BTreeMap<Term, Vec<MemberId>>,
    /// What leaders sent, by place and term: the same wherever it is sent.
    pub entries: BTreeMap<(Index, Term), What>,
    pub differing: Vec<String>,
    pub messages: u64,
}

pub struct Wire {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

const LOOK: Duration = Duration::from_millis(5);

impl Wire {
    /// From one manager, to where another listens.
    pub fn start(from: MemberId, to: SocketAddr, seen: Arc<Mutex<Seen>>) -> Wire {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let state = Arc::new(Mutex::new(State::Open));
        let told = state.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (told, seen) = (told.clone(), seen.clone());
                if now(&told) == State::Reset {
                    reset(&socket);
                    continue;
                }
                thread::spawn(move || carry(from, socket, to, &told, &seen));
            }
        });
        Wire { address, state }
    }

    pub fn set(&self, state: State) {
        *self.state.lock().expect("no wire panics") = state;
    }
}

fn now(state: &Mutex<State>) -> State {
    *state.lock().expect("no wire panics")
}

fn reset(socket: &TcpStream) {
    // The far side sees an end either way.
    _ = socket.shutdown(std::net::Shutdown::Both);
}

fn carry(from: MemberId, mut socket: TcpStream, to: SocketAddr, state: &Mutex<State>, seen: &Mutex<Seen>) {
    let Ok(mut far) = TcpStream::connect(to) else { return reset(&socket) };
    if socket.set_read_timeout(Some(LOOK)).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (mut bytes, mut reader) = ([0; 16 << 10], Reader::default());
    loop {
        match now(state) {
            State::Reset => {
                reset(&far);
                return reset(&socket);
            }
            State::HalfOpen => {
                thread::sleep(LOOK);
                continue;
            }
            _ => {}
        }
        let read = match socket.read(&mut bytes) {
            Ok(0) => return reset(&far),
            Ok(read) => read,
            Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                // The far side may have ended it.
                if ended(&far) {
                    return reset(&socket);
                }
                continue;
            }
            Err(_) => return reset(&far),
        };
        while now(state) == State::Silent {
            thread::sleep(LOOK);
        }
        if let State::Slow(late) = now(state) {
            thread::sleep(Duration::from_millis(late));
        }
        reader.read(&bytes[..read], |parcel| look(from, parcel, &mut seen.lock().expect("no wire panics")));
        if far.write_all(&bytes[..read]).is_err() {
            return reset(&socket);
        }
    }
}

fn ended(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let ended = matches!(socket.peek(&mut [0; 1]), Ok(0))
        || matches!(socket.peek(&mut [0; 1]), Err(why) if why.kind() != ErrorKind::WouldBlock);
    _ = socket.set_nonblocking(false);
    ended
}

/// Messages out of bytes; the first is a hello.
#[derive(Default)]
struct Reader {
    bytes: Vec<u8>,
    greeted: bool,
}

impl Reader {
    fn read(&mut self, bytes: &[u8], mut each: impl FnMut(PeerMessage)) {
        self.bytes.extend_from_slice(bytes);
        while let Some((head, rest)) = self.bytes.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            if rest.len() < length {
                return;
            }
            if self.greeted {
                // What cannot be read is no message of the fleet's; the manager says so itself.
                postcard::from_bytes(&rest[..length]).into_iter().for_each(&mut each);
            }
            self.greeted = true;
            self.bytes.drain(..4 + length);
        }
    }
}

fn look(from: MemberId, parcel: PeerMessage, seen: &mut Seen) {
    seen.messages += 1;
    let (term, entries) = match parcel {
        PeerMessage::Council(Message::Append { term, entries, .. }) => (term, entries),
        PeerMessage::Council(Message::Install { term, .. }) => (term, Vec::new()),
        _ => return,
    };
    let leaders = seen.leaders.entry(term).or_default();
    if !leaders.contains(&from) {
        leaders.push(from);
    }
    for Entry { index, term, what } in entries {
        let known = seen.entries.entry((index, term)).or_insert_with(|| what.clone());
        if *known != what {
            seen.differing.push(format!("{index:?} of {term}: {known:?} and {what:?}"));
        }
    }
}
