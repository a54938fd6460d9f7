//! A fleet of three managers with schedules, and the worker that executes them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

/// The execution of an occurrence, as the worker sees it.
#[derive(Clone, Debug)]
pub struct Execution {
    pub schedule: String,
    pub due: String,
    pub fence: u64,
    pub at: u64,
}

#[derive(Default)]
struct WorkerState {
    highest_fence: BTreeMap<String, u64>,
    executions: Vec<Execution>,
}

/// A worker that executes schedules' requests, as docs/common.md has it: it refuses with 409 a fencing token lower than
/// the highest that it has seen of that schedule, and answers 200 once the run is done.
#[derive(Clone)]
pub struct Worker {
    state: Arc<Mutex<WorkerState>>,
}

impl Worker {
    pub fn start(port: u16, run_ms: u64, record: &Record) -> Worker {
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("the worker's port");
        let state = Arc::<Mutex<WorkerState>>::default();
        let (accepting, record) = (state.clone(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (state, record) = (accepting.clone(), record.clone());
                thread::spawn(move || _ = execute(socket, &state, run_ms, &record));
            }
        });
        Worker { state }
    }

    pub fn executions(&self) -> Vec<Execution> {
        self.state.lock().unwrap().executions.clone()
    }
}

fn execute(
    socket: TcpStream,
    state: &Mutex<WorkerState>,
    run_ms: u64,
    record: &Record,
) -> std::io::Result<()> {
    let mut headers: BTreeMap<String, String> = BTreeMap::new();
    let mut lines = BufReader::new(socket.try_clone()?).lines();
    let request = lines.next().transpose()?.unwrap_or_default();
    for line in lines {
        let line = line?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
    let (schedule, due, tries) =
        (header("juniperrail-schedule"), header("juniperrail-due"), header("juniperrail-try"));
    let fence: u64 = header("juniperrail-fence").parse().unwrap_or(0);
    if !request.starts_with("POST ") || schedule.is_empty() {
        return Ok(());
    }
    let mut locked = state.lock().unwrap();
    let highest = locked.highest_fence.entry(schedule.clone()).or_default();
    let refused = fence < *highest;
    *highest = fence.max(*highest);
    if !refused {
        let at = record.now_ms();
        locked.executions.push(Execution { schedule: schedule.clone(), due: due.clone(), fence, at });
    }
    drop(locked);
    let verb = if refused { "refused (409)" } else { "executes" };
    record.line(&format!("worker: {verb} {schedule} due {due} fence {fence} try {tries}"));
    if !refused {
        sleep_ms(run_ms);
    }
    let status = if refused { "409 Conflict" } else { "200 OK" };
    write!(&socket, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

/// Three managers, each with its own folder, file and store.
pub struct Fleet {
    pub managers: Vec<Manager>,
    pub folder: std::path::PathBuf,
}

impl Fleet {
    /// Writes the files. `schedules`: the XML of the schedules.
    pub fn prepare(folder: &Path, discovery: u16, schedules: &str, record: &Record) -> Fleet {
        let listen = free_ports::<3>();
        let links = free_ports::<3>();
        let members: String = (0..3)
            .map(|i| {
                format!(
                    "<member-of><number>{}</number><address>127.0.0.1:{}</address></member-of>\n",
                    i + 1,
                    links[i]
                )
            })
            .collect();
        let mut managers = Vec::new();
        for i in 0..3 {
            let own = folder.join(format!("n{}", i + 1));
            let manager = Manager::new(&format!("n{}", i + 1), &own, Some(own.join("operator.xml")), record);
            let known =
                list_json(1, true, &[Entry::new("s-1", "a", "ready"), Entry::new("s-2", "a", "ready")]);
            std::fs::write(
                &manager.config,
                config_json(&manager.name, listen[i], discovery, 3, &["a"], &known),
            )
            .expect("a configuration");
            let operator = format!(
                "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n\
                 <fleet xmlns=\"tag:juniperrail.example,2026:yang:manager\"><name>lahore</name><member>{}</member>\n\
                 <listen>127.0.0.1:{}</listen><store>council</store>\n{members}{schedules}</fleet></config>\n",
                i + 1,
                links[i]
            );
            std::fs::write(own.join("operator.xml"), operator).expect("an operator's file");
            managers.push(manager);
        }
        Fleet { managers, folder: folder.into() }
    }

    pub fn store_of(&self, member: usize) -> std::path::PathBuf {
        self.folder.join(format!("n{}", member + 1)).join("council")
    }

    /// Whether the log of a member has these words.
    pub fn has_logged(&self, member: usize, words: &str) -> bool {
        self.managers[member].log_text().contains(words)
    }

    /// Waits until some member has logged these words.
    pub fn wait_for_log(&self, words: &str, limit_ms: u64) -> bool {
        let waited_until = unix_ms() + limit_ms;
        while unix_ms() < waited_until {
            if (0..3).any(|member| self.has_logged(member, words)) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }
}
