//! What all cases share: the record, the project's processes, a stand-in for discovery, and small helpers.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ends the driver with 2: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    panic!("cannot run: {reason}");
}

/// `record.txt`: one line an event, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        _ = self.file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line.as_bytes());
        print!("{line}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Free loopback ports. All are held until the last is found, so that none is given twice.
pub fn free_ports<const N: usize>() -> [u16; N] {
    let held: Vec<TcpListener> =
        (0..N).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    std::array::from_fn(|i| held[i].local_addr().expect("a bound address").port())
}

/// A folder for the case's files, removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create(case: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The command of this key in the deploy file.
pub fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    let value = line.unwrap_or_else(|| cannot_run("the deploy file has no such command"));
    value.split('"').nth(1).expect("a quoted command").to_string()
}

/// A manager, started with the deploy file's `run`. Dropping it kills the process.
pub struct Manager {
    pub name: String,
    pub config: PathBuf,
    pub operator_file: Option<PathBuf>,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Manager {
    pub fn new(name: &str, folder: &Path, operator_file: Option<PathBuf>, record: &Record) -> Manager {
        fs::create_dir_all(folder).expect("a folder for the manager");
        Manager {
            name: name.into(),
            config: folder.join("config.json"),
            operator_file,
            log: folder.join("log.txt"),
            child: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_command("run")).env("PROXY_CONFIG", &self.config);
        for variable in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "JUNIPERRAIL_LOG", "RUST_LOG"] {
            command.env_remove(variable);
        }
        match &self.operator_file {
            Some(file) => command.env("JUNIPERRAIL_FILE", file),
            None => command.env_remove("JUNIPERRAIL_FILE"),
        };
        if let Some(level) = std::env::var_os("MANAGER_LOG") {
            command.env("RUST_LOG", level);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log")).stderr(log);
        let child = command.spawn().expect("the manager starts");
        self.record.line(&format!("{}: started, process {}", self.name, child.id()));
        self.child = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
            self.record.line(&format!("{}: killed (SIGKILL)", self.name));
        }
    }

    /// SIGTERM, as at a planned restart; SIGKILL if it has not ended after 2 s.
    pub fn terminate(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", child.id())).status();
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(2) {
            if let Ok(Some(status)) = child.try_wait() {
                return self.record.line(&format!("{}: ended after SIGTERM ({status})", self.name));
            }
            sleep_ms(10);
        }
        _ = child.kill();
        _ = child.wait();
        self.record.line(&format!("{}: killed 2 s after SIGTERM", self.name));
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Copies the log lines with one of these words into the record.
    pub fn record_log(&self, words: &[&str]) {
        for line in self.log_text().lines().filter(|line| words.iter().any(|word| line.contains(word))) {
            self.record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

/// Waits until a manager answers `probe` with `alive`: it is then put to use.
pub fn wait_until_alive(port: u16, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if let Ok(mut socket) = TcpStream::connect(("127.0.0.1", port)) {
            _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
            let mut answer = [0; 16];
            if socket.write_all(b"probe\r\n").is_ok()
                && socket.read(&mut answer).is_ok_and(|n| answer[..n].starts_with(b"alive"))
            {
                return true;
            }
        }
        sleep_ms(20);
    }
    false
}

/// An entry of the list of workers.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub lifecycle: String,
    pub started_at_ms: u64,
}

impl Entry {
    pub fn new(id: &str, zone: &str, lifecycle: &str) -> Entry {
        Entry {
            id: id.into(),
            // Nobody listens there; no probe is ordered.
            address: "127.0.0.1:9".into(),
            zone: zone.into(),
            lifecycle: lifecycle.into(),
            started_at_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"m2","cell":3,"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            self.id, self.address, self.zone, self.lifecycle, self.started_at_ms
        )
    }
}

pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"generation":{version},"reset":{full},"instances":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
struct Published {
    version: u64,
    /// The version at which each worker changed last, and its entry.
    entries: BTreeMap<String, (u64, Entry)>,
    watches: Vec<TcpStream>,
}

/// Discovery, as PROTOCOL.md has it: the whole list, watches from a version on, heartbeats every 2 s.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<Published>>,
    record: Record,
}

impl Discovery {
    pub fn start(port: u16, entries: &[Entry], record: &Record) -> Discovery {
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("discovery's port");
        let state = Arc::new(Mutex::new(Published { version: 1, ..Published::default() }));
        for entry in entries {
            state.lock().unwrap().entries.insert(entry.id.clone(), (1, entry.clone()));
        }
        let (accepting, beating) = (state.clone(), state.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let state = accepting.clone();
                thread::spawn(move || _ = serve_list(socket, &state));
            }
        });
        thread::spawn(move || loop {
            sleep_ms(2000);
            beating.lock().unwrap().watches.retain_mut(|watch| watch.write_all(b"1\r\n\n\r\n").is_ok());
        });
        Discovery { state, record: record.clone() }
    }

    /// Tells all watches a change.
    pub fn publish(&self, changed: &[Entry]) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for entry in changed {
            state.entries.insert(entry.id.clone(), (version, entry.clone()));
            self.record.line(&format!("discovery: list {version}, {} is {}", entry.id, entry.lifecycle));
        }
        let line = list_json(version, false, changed);
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        state.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }
}

fn serve_list(socket: TcpStream, state: &Mutex<Published>) -> std::io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut request = String::new();
    reader.read_line(&mut request)?;
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    let mut socket = socket;
    let mut state = state.lock().unwrap();
    let index = request.split(['?', '&', ' ']).find_map(|word| word.strip_prefix("index="));
    let index = index.and_then(|index| index.parse::<u64>().ok());
    let is_watch = request.contains("stream=1");
    let since = index.filter(|index| is_watch && *index <= state.version);
    let entries: Vec<Entry> = state
        .entries
        .values()
        .filter(|(version, entry)| match since {
            Some(since) => *version > since,
            None => entry.lifecycle != "gone",
        })
        .map(|(_, entry)| entry.clone())
        .collect();
    let body = list_json(state.version, since.is_none(), &entries);
    if !is_watch {
        return write!(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
    }
    write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(socket, "{:x}\r\n{body}\n\r\n", body.len() + 1)?;
    state.watches.push(socket);
    Ok(())
}

/// The settings of a small deployment, and where one manager of it listens.
/// With several zones, the class `order` keeps to the proxy's zone.
pub fn config_json(
    name: &str,
    listen: u16,
    discovery: u16,
    managers: u32,
    zones: &[&str],
    known: &str,
) -> String {
    let own_zone = zones.len() > 1;
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:{listen}","discovery":"127.0.0.1:{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{known},
 "settings":{{"n-instances":{managers},"my-number":0,"tick-ms":2.0,"registry-mode":"push","zones":[{}],"az":"a","skus":["m2"],
  "lanes":[{{"name":"lookup","on-time-ms":600.0,"deadline-ms":2000.0,"worth":1.0,"semantics":"read_like"}},
           {{"name":"order","on-time-ms":600.0,"deadline-ms":2000.0,"worth":3.0,"semantics":"non_idempotent"}}],
  "domain":{{"bare-ms":7300.0,"class-own-zone":[false,{own_zone}],"key-ranges":0,"proxy-count":12,"level-kind":"rate","period-ms":2000.0,"worst-transit-ms":1300.0,
   "channel-rate":5500.0,"pending-max":5500.0,"overhead":4.0,"messages-most":12,"counted-over-ms":10000.0,"cost-per-line":0.04,
   "outlier-after":0}},
  "rules":{{"drain-grace-ms":3000.0,"warm-up-ms":15000.0,"cold-share":0.3,"overload-factor":4.0,"must-ask-in-ms":10000.0}},
  "charges":{{"cross-zone":0.01}},"allowed":{{"probing":true,"dial-timeout-ms":250.0}}}}}}"#,
        zones.join(",")
    )
}
