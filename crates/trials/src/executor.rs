//! A stand-in for the worker that runs schedules: it rejects stale fencing tokens and records each execution.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::process::WAIT_TIMEOUT;

/// One execution of a schedule, as the worker received it.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// The name of the schedule.
    pub schedule: String,
    /// The Unix time at which it was due, in milliseconds.
    pub due: i64,
    /// The fencing token of the claim under which it was requested.
    pub fencing_token: u64,
    /// The Unix time at which the request was received, in milliseconds.
    pub received_at: f64,
}

/// How the executor responds to requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseMode {
    /// It executes the request and responds.
    Normal,
    /// It executes the request and closes the connection without a response.
    NoResponse,
    /// It executes the request and responds after this many milliseconds.
    Delayed(u64),
    /// It closes connections without reading the requests.
    Unavailable,
}

/// State shared with the connection threads.
struct Shared {
    executions: Vec<Execution>,
    /// The highest fencing token received for each schedule.
    highest_tokens: BTreeMap<String, u64>,
    rejected: u64,
    response_mode: ResponseMode,
}

/// The worker that runs schedules. Initially it responds normally.
pub struct Executor {
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl Executor {
    /// Starts it on a free port.
    pub fn start() -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
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

    /// Sets how further requests are responded to.
    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.shared.0.lock().expect("no worker panics").response_mode = response_mode;
    }

    /// All executions so far, in the order of their requests.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.0.lock().expect("no worker panics").executions.clone()
    }

    /// The number of requests rejected for a stale fencing token.
    pub fn rejected_count(&self) -> u64 {
        self.shared.0.lock().expect("no worker panics").rejected
    }

    /// Waits until the executions so far satisfy a condition. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, condition: impl Fn(&[Execution]) -> bool) {
        let started = Instant::now();
        let mut shared = self.shared.0.lock().expect("no worker panics");
        while !condition(&shared.executions) {
            if started.elapsed() >= WAIT_TIMEOUT {
                let last: Vec<Execution> = shared.executions.iter().rev().take(4).cloned().collect();
                drop(shared);
                panic!("timed out waiting for {what}; the last executions: {last:?}");
            }
            shared =
                self.shared.1.wait_timeout(shared, Duration::from_millis(50)).expect("no worker panics").0;
        }
    }

    /// Waits until each of these schedules was executed `more` further times. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_more_executions(&self, schedules: &[&str], more: usize) {
        let count = |executions: &[Execution], schedule: &str| {
            executions.iter().filter(|execution| execution.schedule == schedule).count()
        };
        let before = self.executions();
        let enough = |executions: &[Execution]| {
            schedules.iter().all(|schedule| count(executions, schedule) >= count(&before, schedule) + more)
        };
        self.wait_until(&format!("{more} more executions of each of {schedules:?}"), enough);
    }
}

/// Reads one request, executes it unless its fencing token is stale, and responds.
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
                let unix_time =
                    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
                state.executions.push(Execution {
                    schedule,
                    due,
                    fencing_token,
                    received_at: unix_time.as_secs_f64() * 1000.0,
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
