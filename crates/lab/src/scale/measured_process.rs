//! The processes that are measured: the shipped program as a manager or a relay, each in a directory of its own.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::error::ScaleError;
use super::guard::ChildProcesses;
use super::process::Usage;

/// The longest wait for any condition, long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Texts that identify the log lines that end with the address served.
const MANAGER_ADDRESS_LOG: &str = " serves on ";
const RELAY_ADDRESS_LOG: &str = "relays the list of ";

/// The path of the shipped program.
#[derive(Clone, Debug)]
pub struct Program(PathBuf);

impl Program {
    /// Finds the program in the directory of this executable or, when a test runs, in the one above.
    pub fn find() -> Result<Program, ScaleError> {
        let executable =
            std::env::current_exe().map_err(ScaleError::io("finding the path of this executable"))?;
        let directories = executable.ancestors().skip(1).take(2);
        let candidates: Vec<PathBuf> = directories.map(|directory| directory.join("juniperrail")).collect();
        let found = candidates.iter().find(|path| path.is_file());
        found.map(|path| Program(path.clone())).ok_or_else(|| ScaleError::NoProgram(candidates[0].clone()))
    }
}

/// Starts the processes of a run, in directories that are removed when it is dropped.
pub struct Launcher {
    program: Program,
    directory: PathBuf,
    children: ChildProcesses,
    directory_count: std::cell::Cell<usize>,
}

impl Launcher {
    /// Creates the directory of the run. Each process that the launcher starts is added to `children`.
    pub fn new(program: Program, children: ChildProcesses) -> Result<Launcher, ScaleError> {
        let directory = std::env::temp_dir().join(format!("juniperrail-scale-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(ScaleError::io(directory.display().to_string()))?;
        Ok(Launcher { program, directory, children, directory_count: Default::default() })
    }

    /// Creates a directory for one process, named after its role.
    pub fn create_directory(&self, role: &str) -> Result<PathBuf, ScaleError> {
        self.directory_count.set(self.directory_count.get() + 1);
        let directory = self.directory.join(format!("{role}-{}", self.directory_count.get()));
        fs::create_dir_all(&directory).map_err(ScaleError::io(directory.display().to_string()))?;
        Ok(directory)
    }

    /// Starts the program in a directory, with these arguments and environment variables only. Its log goes to a file
    /// in that directory.
    pub fn start(
        &self,
        directory: &Path,
        arguments: &[String],
        variables: &[(&str, PathBuf)],
    ) -> Result<MeasuredProcess, ScaleError> {
        let log = directory.join("log");
        let stderr = File::create(&log).map_err(ScaleError::io(log.display().to_string()))?;
        let mut command = Command::new(&self.program.0);
        command.env_clear().envs(variables.iter().cloned()).args(arguments).current_dir(directory);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr);
        let child = command.spawn().map_err(ScaleError::io(self.program.0.display().to_string()))?;
        self.children.add(child.id());
        Ok(MeasuredProcess { child, log, children: self.children.clone() })
    }
}

impl Drop for Launcher {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.directory);
    }
}

/// A process that is measured; dropping it kills the process.
pub struct MeasuredProcess {
    child: Child,
    log: PathBuf,
    children: ChildProcesses,
}

impl MeasuredProcess {
    /// Its processor time and memory so far.
    pub fn usage(&self) -> Result<Usage, ScaleError> {
        Usage::of_process(self.child.id())
    }

    /// The path of its log file.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    fn last_log_line(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default().lines().last().unwrap_or("nothing").to_string()
    }

    /// Waits until the condition holds. Fails after [`WAIT_TIMEOUT`] or when the process exits.
    pub async fn wait_for(
        &mut self,
        what: &str,
        mut condition: impl FnMut() -> bool,
    ) -> Result<(), ScaleError> {
        let started = Instant::now();
        while !condition() {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return Err(ScaleError::Exited(self.child.id(), self.last_log_line()));
            }
            if started.elapsed() > WAIT_TIMEOUT {
                return Err(self.timeout_error(what));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The error for a condition that did not hold within [`WAIT_TIMEOUT`].
    pub fn timeout_error(&self, what: &str) -> ScaleError {
        ScaleError::Timeout {
            what: what.into(),
            seconds: WAIT_TIMEOUT.as_secs(),
            last_line: self.last_log_line(),
        }
    }

    /// Waits for the log line that states the address served, of a manager or a relay.
    pub async fn wait_for_address(&mut self) -> Result<SocketAddr, ScaleError> {
        let log = self.log.clone();
        let mut address = None;
        self.wait_for("the log line with its address", || {
            address = served_address(&fs::read_to_string(&log).unwrap_or_default());
            address.is_some()
        })
        .await?;
        Ok(address.unwrap_or_else(|| unreachable!("the wait ends with an address")))
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        self.children.remove(self.child.id());
        // The process may have exited already.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn served_address(log: &str) -> Option<SocketAddr> {
    let line =
        log.lines().find(|line| line.contains(MANAGER_ADDRESS_LOG) || line.contains(RELAY_ADDRESS_LOG))?;
    line.split_whitespace().last()?.parse().ok()
}

/// Sends a probe to a manager and waits for the answer.
pub async fn probe(address: SocketAddr) -> Result<(), ScaleError> {
    let error = || ScaleError::io(format!("the probe of {address}"));
    let mut socket = TcpStream::connect(address).await.map_err(error())?;
    socket.write_all(b"probe\r\n").await.map_err(error())?;
    let mut answer = [0; 5];
    socket.read_exact(&mut answer).await.map_err(error())?;
    Ok(())
}
