//! Starts the project's own programs, with the command of the deploy file.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Process ids of what this run has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run, and all that it started, if it takes longer than a case may.
pub fn limit_run(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
            kill("KILL", id);
        }
        println!("could not run: not done within {limit:?}");
        std::process::exit(2);
    });
}

fn note_started(child: Child) -> Child {
    if let Ok(mut started) = STARTED.lock() {
        started.push(child.id());
    }
    child
}

/// Forgets a process that has ended, whose id may be used again.
pub fn note_ended(id: u32) {
    if let Ok(mut started) = STARTED.lock() {
        started.retain(|other| *other != id);
    }
}

fn kill(signal: &str, id: u32) {
    _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {id}")).status();
}

/// The command `run` of the deploy file.
pub fn run_command() -> Result<String, String> {
    let deploy =
        fs::read_to_string("deploy/balancer.toml").map_err(|error| format!("the deploy file: {error}"))?;
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command.map(str::to_string).ok_or_else(|| "the deploy file has no run".into())
}

/// A free port of the loopback address.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// A folder for the files of one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// What a manager is told at its start.
#[derive(Clone)]
pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub settings: String,
    pub operator_file: Option<PathBuf>,
}

/// A running manager; killed when dropped.
pub struct Manager {
    child: Child,
    pub log: PathBuf,
}

impl Manager {
    /// Starts a manager and waits for its first `alive`.
    pub fn start(launch: &Launch, folder: &Path, known: &str, run: u32) -> Result<Manager, String> {
        let Launch { name, listen, discovery, settings, operator_file } = launch;
        let config = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#,
            0x8c1f_30d2_7a5b_e964_u64.wrapping_add(u64::from(run))
        );
        fs::write(&config, text).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}-{run}.log"));
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?);
        command.env("PROXY_NAME", name).env("PROXY_LISTEN", listen.to_string());
        command.env("PROXY_DISCOVERY", discovery.to_string()).env("PROXY_CONFIG", &config);
        command.env("TMPDIR", folder).env("RUST_LOG", "info").env_remove("JUNIPERRAIL_FILE");
        if let Some(file) = operator_file {
            command.env("JUNIPERRAIL_FILE", file);
        }
        command.stdin(Stdio::null()).stdout(output.try_clone().map_err(|error| error.to_string())?);
        let child = note_started(command.stderr(output).spawn().map_err(|error| error.to_string())?);
        let manager = Manager { child, log };
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if is_alive(*listen) {
                return Ok(manager);
            }
            thread::sleep(Duration::from_millis(20));
        }
        let log = fs::read_to_string(&manager.log).unwrap_or_default();
        Err(format!("the manager did not answer within 20 s: {log}"))
    }

    pub fn signal(&self, signal: &str) {
        kill(signal, self.child.id());
    }

    /// Whether the process has ended, and its status.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        note_ended(self.child.id());
    }
}

/// A running `watch`; killed when dropped.
pub struct Watch(Child);

impl Drop for Watch {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
        note_ended(self.0.id());
    }
}

fn is_alive(address: SocketAddr) -> bool {
    let Ok(mut socket) = TcpStream::connect(address) else { return false };
    _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
    let mut answer = [0; 7];
    socket.write_all(b"probe\r\n").is_ok()
        && socket.read_exact(&mut answer).is_ok()
        && &answer == b"alive\r\n"
}

/// A relay of the list; killed when dropped.
pub struct Relay(Child);

impl Relay {
    pub fn start(
        listen: SocketAddr,
        source: SocketAddr,
        folder: &Path,
        options: &str,
    ) -> Result<Relay, String> {
        let log = folder.join(format!("relay-{}.log", listen.port()));
        let output =
            File::options().create(true).append(true).open(log).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} relay --listen {listen} --source {source} {options}", run_command()?));
        command.env("RUST_LOG", "info").env_remove("JUNIPERRAIL_FILE");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(output);
        Ok(Relay(note_started(command.spawn().map_err(|error| error.to_string())?)))
    }

    pub fn signal(&self, signal: &str) {
        kill(signal, self.0.id());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
        note_ended(self.0.id());
    }
}

/// The operators' access to one manager: the operator's file, with a listener for NETCONF, and the keys.
pub struct Northbound {
    pub operator_file: PathBuf,
    address: SocketAddr,
    key: PathBuf,
    host_key: PathBuf,
    folder: PathBuf,
}

impl Northbound {
    /// `workers`: the children of `<workers>` in the file.
    pub fn create(folder: &Path, workers: &str) -> Result<Northbound, String> {
        let host = juniperrail_standins::SshKeyPair::write(folder, "host", 1);
        let ann = juniperrail_standins::SshKeyPair::write(folder, "ann", 2);
        let address = free_address()?;
        let operator_file = folder.join("operator.xml");
        let text = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">
  <workers xmlns="tag:juniperrail.example,2026:yang:manager">{workers}</workers>
  <northbound xmlns="tag:juniperrail.example,2026:yang:manager">
    <netconf><ssh><listen>{address}</listen><host-key>{}</host-key></ssh></netconf>
    <user><name>ann</name><role>admin</role><ssh-key>{}</ssh-key></user>
  </northbound>
</config>
"#,
            host.private_key_path.display(),
            ann.public_key.trim()
        );
        fs::write(&operator_file, text).map_err(|error| error.to_string())?;
        Ok(Northbound {
            operator_file,
            address,
            key: ann.private_key_path,
            host_key: host.public_key_path,
            folder: folder.into(),
        })
    }

    /// Starts a command of the project's own command line against the manager.
    pub fn command(&self, arguments: &str) -> Result<Child, String> {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {arguments}", run_command()?));
        command.env("JUNIPERRAIL_SSH", self.address.to_string()).env("JUNIPERRAIL_USER", "ann");
        command.env("JUNIPERRAIL_KEY", &self.key).env("JUNIPERRAIL_HOST_KEY", &self.host_key);
        command.env_remove("JUNIPERRAIL_FILE");
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        Ok(note_started(command.spawn().map_err(|error| error.to_string())?))
    }

    /// Starts `watch`; its lines come over the channel, each with the time at which it was read.
    pub fn watch(&self, record: &crate::record::Record) -> Result<(Watch, Receiver<(f64, String)>), String> {
        let mut child = self.command("watch")?;
        let output = child.stdout.take().ok_or("no output of watch")?;
        let (sender, receiver) = channel();
        let record = record.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(format!("watch: {line}"));
                if sender.send((record.now(), line)).is_err() {
                    return;
                }
            }
        });
        Ok((Watch(child), receiver))
    }

    /// Starts `config edit` with these children of `<workers>`, in a file of this name.
    pub fn edit_workers(&self, file: &str, workers: &str) -> Result<Child, String> {
        self.edit_workers_with(file, workers, "")
    }

    /// The same with further options.
    pub fn edit_workers_with(&self, file: &str, workers: &str, options: &str) -> Result<Child, String> {
        let file = self.folder.join(file);
        let text = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><workers xmlns="tag:juniperrail.example,2026:yang:manager">{workers}</workers></config>"#
        );
        fs::write(&file, text).map_err(|error| error.to_string())?;
        self.command(&format!("config edit {} {options}", file.display()))
    }
}
