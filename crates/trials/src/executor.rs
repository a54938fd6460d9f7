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
pub struct Execution {
    pub schedule: String,
    pub due: i64,
    pub fencing_token: u64,
    /// The Unix time at which it came, in milliseconds.
    pub received_at: f64,
}

/// How it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseMode {
    Normal,
    /// The effect is done and the connection ends without an answer.
    NoResponse,
    /// The effect is done, and the answer comes so many milliseconds later.
    Delayed(u64),
    /// Connections end before anything is read.
    Unavailable,
}

struct Shared {
    executions: Vec<Execution>,
    /// The highest number seen of each schedule.
    highest_tokens: BTreeMap<String, u64>,
    rejected: u64,
    response_mode: ResponseMode,
}

pub struct Executor {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl Executor {
    pub fn start() -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (executions, highest_tokens, rejected, response_mode) =
            (Vec::new(), BTreeMap::new(), 0, ResponseMode::Normal);
        let shared = Arc::new((
            Mutex::new(Shared { executions, highest_tokens, rejected, response_mode }),
            Condvar::new(),
        ));
        let listener_shared = shared.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shared = listener_shared.clone();
                thread::spawn(move || _ = respond(socket, &shared));
            }
        });
        Executor { address, shared }
    }

    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.shared.0.lock().expect("no worker panics").response_mode = response_mode;
    }

    pub fn executions(&self) -> Vec<Execution> {
        self.shared.0.lock().expect("no worker panics").executions.clone()
    }

    pub fn rejected(&self) -> u64 {
        self.shared.0.lock().expect("no worker panics").rejected
    }

    /// Waits until it holds of what has run.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&[Execution]) -> bool) {
        let begun = Instant::now();
        let mut shared = self.shared.0.lock().expect("no worker panics");
        while !condition(&shared.executions) {
            if begun.elapsed() >= WAIT_TIMEOUT {
                let last: Vec<Execution> = shared.executions.iter().rev().take(4).cloned().collect();
                drop(shared);
                panic!("still waiting for {what}: {last:?}");
            }
            shared =
                self.shared.1.wait_timeout(shared, Duration::from_millis(50)).expect("no worker panics").0;
        }
    }

    /// Waits for so many effects more than there are of each of these schedules.
    pub fn wait_for_more(&self, schedules: &[&str], more: usize) {
        let count = |executions: &[Execution], schedule: &str| {
            executions.iter().filter(|execution| execution.schedule == schedule).count()
        };
        let before = self.executions();
        let enough = |executions: &[Execution]| {
            schedules.iter().all(|schedule| count(executions, schedule) >= count(&before, schedule) + more)
        };
        self.wait_until(&format!("{more} more of {schedules:?}"), enough);
    }
}

fn respond(socket: TcpStream, shared: &(Mutex<Shared>, Condvar)) -> std::io::Result<()> {
    let response_mode = shared.0.lock().expect("no worker panics").response_mode;
    if response_mode == ResponseMode::Unavailable {
        return Ok(());
    }
    let mut headers = BTreeMap::new();
    let mut lines = BufReader::new(socket.try_clone()?).lines();
    let request_line = lines.next().transpose()?.unwrap_or_default();
    for line in lines {
        let line = line?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let header = |name: &str| headers.get(&format!("juniperrail-{name}")).cloned();
    let (Some(schedule), Some(due), Some(fencing_token)) =
        (header("schedule"), header("due"), header("fence"))
    else {
        return write!(&socket, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    };
    let (due, fencing_token) = (due.parse().unwrap_or(i64::MIN), fencing_token.parse().unwrap_or(0));
    let accepted = request_line.starts_with("POST ") && {
        let mut state = shared.0.lock().expect("no worker panics");
        let highest = state.highest_tokens.entry(schedule.clone()).or_default();
        let accepted = fencing_token >= *highest;
        *highest = fencing_token.max(*highest);
        match accepted {
            true => {
                let unix =
                    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
                state.executions.push(Execution {
                    schedule,
                    due,
                    fencing_token,
                    received_at: unix.as_secs_f64() * 1000.0,
                });
            }
            false => state.rejected += 1,
        }
        accepted
    };
    shared.1.notify_all();
    match response_mode {
        ResponseMode::NoResponse => return Ok(()),
        ResponseMode::Delayed(delay) => thread::sleep(Duration::from_millis(delay)),
        ResponseMode::Normal | ResponseMode::Unavailable => {}
    }
    let status = if accepted { "200 OK" } else { "409 Conflict" };
    write!(&socket, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
