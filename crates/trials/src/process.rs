//! The manager binary, built with fault points, and processes that run it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// Longest wait for a condition before a test fails; generous, as the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Path of the manager binary built with the feature `points`.
pub struct ManagerBinary(PathBuf);

impl ManagerBinary {
    /// Builds the binary, once per test process. A separate Cargo process builds it, because a dependency with the
    /// feature would enable the fault points in the released binary as well, through Cargo's feature unification. It has
    /// its own target directory, because this build would otherwise overwrite the binary without fault points.
    pub fn with_fault_points() -> &'static ManagerBinary {
        static BUILT: OnceLock<ManagerBinary> = OnceLock::new();
        BUILT.get_or_init(|| {
            let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
            let target = root.join("target/points");
            let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
            let mut build = Command::new(cargo);
            build.current_dir(&root).args(["build", "--locked", "--quiet", "-p", "juniperrail-manager"]);
            build.args(["--features", "points", "--target-dir"]).arg(&target);
            // The caller's profile, so that a caller with optimisations measures an optimised manager.
            let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
            build.args((profile == "release").then_some("--release"));
            let build_status = build.status().expect("cargo can be started");
            assert!(build_status.success(), "the build of the manager binary with fault points failed");
            ManagerBinary(target.join(profile).join("juniperrail"))
        })
    }

    /// The path of the executable.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

/// The log lines read so far.
#[derive(Default)]
struct Log {
    lines: Vec<String>,
}

/// A manager process that can be started, signalled and restarted, with the log of all its runs.
pub struct ManagerProcess {
    name: String,
    directory: PathBuf,
    child: Option<Child>,
    log: Arc<(Mutex<Log>, Condvar)>,
    /// Environment variables for the next start only.
    pub next_start_env: BTreeMap<String, String>,
    /// Environment variables for every start.
    pub env: BTreeMap<String, String>,
    /// The number of times that it was started.
    pub start_count: usize,
}

impl ManagerProcess {
    /// A manager that is not yet started. `directory` holds its `config.json` and `operator.xml`.
    pub fn new(name: &str, directory: PathBuf) -> ManagerProcess {
        let (next_start_env, env) = Default::default();
        ManagerProcess {
            name: name.into(),
            directory,
            child: None,
            log: Arc::default(),
            next_start_env,
            env,
            start_count: 0,
        }
    }

    /// The directory of its configuration, log and store.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Starts the process and a thread that collects its log.
    pub fn start(&mut self) {
        let mut command = Command::new(ManagerBinary::with_fault_points().path());
        command.env_clear().env("PROXY_CONFIG", self.directory.join("config.json")).env("RUST_LOG", "info");
        command.envs(&self.env).envs(std::mem::take(&mut self.next_start_env));
        command.arg("--operator-file").arg(self.directory.join("operator.xml"));
        let mut child = command
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .expect("the manager binary can be started");
        self.start_count += 1;
        let stderr = child.stderr.take().expect("stderr is piped");
        let log = self.log.clone();
        let mut log_file = File::options()
            .append(true)
            .create(true)
            .open(self.directory.join("log"))
            .expect("the log file can be opened");
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                _ = writeln!(log_file, "{line}");
                log.0.lock().expect("no reader panics").lines.push(line);
                log.1.notify_all();
            }
        });
        self.child = Some(child);
    }

    /// All log lines, of every run.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.0.lock().expect("no reader panics").lines.clone()
    }

    /// The number of log lines that contain `part`.
    pub fn count_log_lines(&self, part: &str) -> usize {
        self.log.0.lock().expect("no reader panics").lines.iter().filter(|line| line.contains(part)).count()
    }

    /// Waits until at least `count` log lines contain `part`. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_log(&self, part: &str, count: usize) {
        let started = Instant::now();
        let mut log = self.log.0.lock().expect("no reader panics");
        while log.lines.iter().filter(|line| line.contains(part)).count() < count {
            if started.elapsed() >= WAIT_TIMEOUT {
                let last: Vec<String> = log.lines.iter().rev().take(12).cloned().collect();
                drop(log);
                panic!(
                    "{}: timed out after {WAIT_TIMEOUT:?} waiting for {count} log lines with {part:?}; the last \
                     lines, newest first: {last:#?}",
                    self.name
                );
            }
            log = self.log.1.wait_timeout(log, Duration::from_millis(50)).expect("no reader panics").0;
        }
    }

    /// Waits until the latest run logs the address on which it serves proxies. Panics after [`WAIT_TIMEOUT`].
    pub fn wait_for_address(&self) -> SocketAddr {
        self.wait_for_log("serves on ", self.start_count);
        let lines = self.log_lines();
        let last = lines.iter().rev().find_map(|line| Some(line.split_once("serves on ")?.1.trim()));
        last.and_then(|at| at.parse().ok()).expect("the log line contains an address")
    }

    /// Sends a signal to the process, if one was started.
    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have exited already, as many tests intend.
            _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down (SIGTERM) and waits for its exit.
    pub fn terminate(&mut self) -> Option<ExitStatus> {
        self.signal(Signal::TERM);
        self.wait_for_exit()
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait_for_exit();
    }

    /// Waits for the process to exit. `None` if none was started, or if its exit has been waited for already. Panics
    /// after [`WAIT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let mut child = self.child.take()?;
        let started = Instant::now();
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return Some(status),
                Ok(None) if started.elapsed() < WAIT_TIMEOUT => thread::sleep(Duration::from_millis(5)),
                _ => {
                    _ = child.kill();
                    _ = child.wait();
                    panic!(
                        "{} did not exit within {WAIT_TIMEOUT:?}, or its status cannot be read",
                        self.name
                    );
                }
            }
        }
    }

    /// Whether the process runs. Also detects that it exited by itself.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The process id. `None` before the first start and after [`ManagerProcess::wait_for_exit`].
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}
