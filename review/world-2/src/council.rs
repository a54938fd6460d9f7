//! Three managers of one fleet with schedules, and the worker that they ask.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::discovery::{Discovery, Listed, Phase};
use crate::manager::{free_address, Folder, Launch, Manager};
use crate::record::Record;
use crate::world::{listed, Deployment};

/// One request of a schedule, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub schedule: String,
    pub due: i64,
    pub fence: u64,
    pub status: u16,
}

/// What the worker has seen.
#[derive(Default)]
pub struct Seen {
    pub runs: Vec<Run>,
    highest: BTreeMap<String, u64>,
}

/// A worker that runs what schedules ask of it, and refuses fencing tokens that are too low.
pub struct Executor {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
}

impl Executor {
    pub fn start(record: &Record) -> Result<Executor, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (served, record) = (seen.clone(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                thread::spawn(move || serve(socket, &served, &record));
            }
        });
        Ok(Executor { address, seen })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.seen.lock().map(|seen| seen.runs.clone()).unwrap_or_default()
    }
}

fn serve(mut socket: TcpStream, seen: &Mutex<Seen>, record: &Record) {
    _ = socket.set_read_timeout(Some(Duration::from_secs(5)));
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let field = |name: &str| {
        head.lines().find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim().to_string()))
    };
    let schedule = field("juniperrail-schedule").unwrap_or_default();
    let due = field("juniperrail-due").and_then(|text| text.parse().ok()).unwrap_or(0);
    let fence = field("juniperrail-fence").and_then(|text| text.parse().ok()).unwrap_or(0);
    let Ok(mut seen) = seen.lock() else { return };
    let highest = seen.highest.entry(schedule.clone()).or_default();
    let status = if fence < *highest { 409 } else { 200 };
    *highest = fence.max(*highest);
    let at = record.now();
    seen.runs.push(Run { at, schedule: schedule.clone(), due, fence, status });
    drop(seen);
    record.line(format!("the worker is asked for {schedule} of {due} with fencing token {fence}: {status}"));
    thread::sleep(Duration::from_millis(5));
    let reason = if status == 200 { "OK" } else { "Conflict" };
    _ = write!(socket, "HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n\r\n");
}

pub struct Council {
    pub record: Record,
    pub folder: Folder,
    pub discovery: Discovery,
    pub executor: Executor,
    pub managers: Vec<Option<Manager>>,
    launches: Vec<Launch>,
    runs: Vec<u32>,
}

impl Council {
    pub fn new(record: Record, schedules: &str, options: &str) -> Result<Council, String> {
        let folder = Folder::create()?;
        let zones = Deployment::small().zones;
        let workers: Vec<Listed> =
            (0..6).map(|index| listed(&format!("s-{index}"), zones[index % 3], Phase::Ready, 1.0)).collect();
        let discovery = Discovery::start(&record, &workers)?;
        let executor = Executor::start(&record)?;
        let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
        let members: String = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| {
                format!("<member-of><number>{}</number><address>{address}</address></member-of>", index + 1)
            })
            .collect();
        let schedules = schedules.replace("WORKER", &executor.address.to_string());
        let mut deployment = Deployment::small();
        deployment.managers = 3;
        let mut launches = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let store = folder.0.join(format!("store-{index}"));
            fs::create_dir_all(&store).map_err(|error| error.to_string())?;
            let file: PathBuf = folder.0.join(format!("operator-{index}.xml"));
            let text = format!(
                r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><fleet xmlns="tag:juniperrail.example,2026:yang:manager"><name>lahore</name><member>{}</member><listen>{address}</listen><store>{}</store>{options}{members}{schedules}</fleet></config>"#,
                index + 1,
                store.display()
            );
            fs::write(&file, text).map_err(|error| error.to_string())?;
            launches.push(Launch {
                name: format!("n{index}"),
                listen: free_address()?,
                discovery: discovery.address,
                settings: deployment.settings(index),
                operator_file: Some(file),
            });
        }
        let managers = vec![None, None, None];
        Ok(Council { record, folder, discovery, executor, managers, launches, runs: vec![0; 3] })
    }

    pub fn start(&mut self, index: usize) -> Result<(), String> {
        self.record.line(format!("manager {} starts, run {}", index + 1, self.runs[index]));
        let known = self.discovery.whole();
        let manager = Manager::start(&self.launches[index], &self.folder.0, &known, self.runs[index])?;
        self.managers[index] = Some(manager);
        self.runs[index] += 1;
        Ok(())
    }

    pub fn signal(&self, index: usize, signal: &str) {
        self.record.line(format!("manager {}: SIG{signal}", index + 1));
        if let Some(manager) = &self.managers[index] {
            manager.signal(signal);
        }
    }

    /// Kills a manager, and with it its store where that is said to be lost.
    pub fn kill(&mut self, index: usize, loses_store: bool) -> Result<(), String> {
        self.signal(index, "KILL");
        self.managers[index] = None;
        if loses_store {
            self.record.line(format!("the store of manager {} is lost", index + 1));
            let store = self.folder.0.join(format!("store-{index}"));
            fs::remove_dir_all(&store)
                .and_then(|()| fs::create_dir_all(&store))
                .map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Ends a manager: SIGTERM, then SIGKILL 0.8 s later where it has not ended.
    pub fn stop(&mut self, index: usize) {
        self.signal(index, "TERM");
        thread::sleep(Duration::from_millis(800));
        self.managers[index] = None;
    }

    /// The lines of all logs so far that say this.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for (index, runs) in self.runs.iter().enumerate() {
            for run in 0..*runs {
                let log =
                    fs::read_to_string(self.folder.0.join(format!("n{index}-{run}.log"))).unwrap_or_default();
                let said = log.lines().filter(|line| line.contains(text));
                lines.extend(said.map(|line| format!("manager {} run {run}: {line}", index + 1)));
            }
        }
        lines
    }

    pub fn take_logs(&self) {
        for line in self.log_lines("fleet") {
            self.record.line(format!("log of {line}"));
        }
    }
}
