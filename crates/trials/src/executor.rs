//! A worker that does what schedules ask: it refuses lower fencing numbers than it has seen, and writes down each effect.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::process::WAIT_TIMEOUT;

/// One effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    pub schedule: String,
    pub due: i64,
    pub fence: u64,
    /// The Unix time at which it came, in milliseconds.
    pub at: f64,
}

/// How it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Well,
    /// The effect is done and the connection ends without an answer.
    Mute,
    /// The effect is done, and the answer comes so many milliseconds later.
    Slow(u64),
    /// Connections end before anything is read.
    Gone,
}

struct Shared {
    ran: Vec<Ran>,
    /// The highest number seen of each schedule.
    seen: BTreeMap<String, u64>,
    refused: u64,
    manner: Manner,
}

pub struct Executor {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl Executor {
    pub fn start() -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (ran, seen, refused, manner) = (Vec::new(), BTreeMap::new(), 0, Manner::Well);
        let shared = Arc::new((Mutex::new(Shared { ran, seen, refused, manner }), Condvar::new()));
        let told = shared.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shared = told.clone();
                thread::spawn(move || _ = answer(socket, &shared));
            }
        });
        Executor { address, shared }
    }

    pub fn set(&self, manner: Manner) {
        self.shared.0.lock().expect("no worker panics").manner = manner;
    }

    pub fn ran(&self) -> Vec<Ran> {
        self.shared.0.lock().expect("no worker panics").ran.clone()
    }

    pub fn refused(&self) -> u64 {
        self.shared.0.lock().expect("no worker panics").refused
    }

    /// Waits until it holds of what has run.
    pub fn until(&self, what: &str, holds: impl Fn(&[Ran]) -> bool) {
        let begun = Instant::now();
        let mut shared = self.shared.0.lock().expect("no worker panics");
        while !holds(&shared.ran) {
            if begun.elapsed() >= WAIT_TIMEOUT {
                let last: Vec<Ran> = shared.ran.iter().rev().take(4).cloned().collect();
                drop(shared);
                panic!("still waiting for {what}: {last:?}");
            }
            shared =
                self.shared.1.wait_timeout(shared, Duration::from_millis(50)).expect("no worker panics").0;
        }
    }

    /// Waits for so many effects more than there are of each of these schedules.
    pub fn until_more(&self, schedules: &[&str], more: usize) {
        let count = |ran: &[Ran], of: &str| ran.iter().filter(|ran| ran.schedule == of).count();
        let before = self.ran();
        let wanted = |ran: &[Ran]| schedules.iter().all(|of| count(ran, of) >= count(&before, of) + more);
        self.until(&format!("{more} more of {schedules:?}"), wanted);
    }
}

fn answer(socket: TcpStream, shared: &(Mutex<Shared>, Condvar)) -> std::io::Result<()> {
    let manner = shared.0.lock().expect("no worker panics").manner;
    if manner == Manner::Gone {
        return Ok(());
    }
    let mut asked = BTreeMap::new();
    let mut lines = BufReader::new(socket.try_clone()?).lines();
    let first = lines.next().transpose()?.unwrap_or_default();
    for line in lines {
        let line = line?;
        let Some((name, value)) = line.split_once(':') else { break };
        asked.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let told = |name: &str| asked.get(&format!("juniperrail-{name}")).cloned();
    let (Some(schedule), Some(due), Some(fence)) = (told("schedule"), told("due"), told("fence")) else {
        return write!(&socket, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    };
    let (due, fence) = (due.parse().unwrap_or(i64::MIN), fence.parse().unwrap_or(0));
    let taken = first.starts_with("POST ") && {
        let mut known = shared.0.lock().expect("no worker panics");
        let seen = known.seen.entry(schedule.clone()).or_default();
        let taken = fence >= *seen;
        *seen = fence.max(*seen);
        match taken {
            true => {
                let unix =
                    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
                known.ran.push(Ran { schedule, due, fence, at: unix.as_secs_f64() * 1000.0 });
            }
            false => known.refused += 1,
        }
        taken
    };
    shared.1.notify_all();
    match manner {
        Manner::Mute => return Ok(()),
        Manner::Slow(late) => thread::sleep(Duration::from_millis(late)),
        Manner::Well | Manner::Gone => {}
    }
    let status = if taken { "200 OK" } else { "409 Conflict" };
    write!(&socket, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
