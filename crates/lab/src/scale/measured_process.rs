//! The processes that are measured: the shipped program in its roles, each in a folder of its own.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::error::ScaleError;
use super::guard::Started;
use super::process::Usage;

/// Nothing that is waited for takes so long, however busy the machine is.
pub const WITHIN: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// What the log says before the address.
const MANAGER_SERVES: &str = " serves on ";
const RELAY_SERVES: &str = "relays the list of ";

/// The shipped program, beside the one that measures it.
#[derive(Clone, Debug)]
pub struct Program(PathBuf);

impl Program {
    /// Beside this executable, or in the folder above it, where this is a test.
    pub fn find() -> Result<Program, ScaleError> {
        let executable = std::env::current_exe().map_err(ScaleError::io("this executable"))?;
        let folders = executable.ancestors().skip(1).take(2);
        let candidates: Vec<PathBuf> = folders.map(|folder| folder.join("juniperrail")).collect();
        let found = candidates.iter().find(|path| path.is_file());
        found.map(|path| Program(path.clone())).ok_or_else(|| ScaleError::NoProgram(candidates[0].clone()))
    }
}

/// What all processes of a run share.
pub struct Host {
    program: Program,
    folder: PathBuf,
    started: Started,
    count: std::cell::Cell<usize>,
}

impl Host {
    pub fn new(program: Program, started: Started) -> Result<Host, ScaleError> {
        let folder = std::env::temp_dir().join(format!("juniperrail-scale-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(ScaleError::io(folder.display().to_string()))?;
        Ok(Host { program, folder, started, count: Default::default() })
    }

    /// A new folder for one process.
    pub fn folder(&self, role: &str) -> Result<PathBuf, ScaleError> {
        self.count.set(self.count.get() + 1);
        let folder = self.folder.join(format!("{role}-{}", self.count.get()));
        fs::create_dir_all(&folder).map_err(ScaleError::io(folder.display().to_string()))?;
        Ok(folder)
    }

    /// Starts the program in that folder.
    pub fn start(
        &self,
        folder: &Path,
        arguments: &[String],
        variables: &[(&str, PathBuf)],
    ) -> Result<Role, ScaleError> {
        let log = folder.join("log");
        let stderr = File::create(&log).map_err(ScaleError::io(log.display().to_string()))?;
        let mut command = Command::new(&self.program.0);
        command.env_clear().envs(variables.iter().cloned()).args(arguments).current_dir(folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr);
        let child = command.spawn().map_err(ScaleError::io(self.program.0.display().to_string()))?;
        self.started.add(child.id());
        Ok(Role { child, log, started: self.started.clone() })
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// A process that is measured; it ends when this is dropped.
pub struct Role {
    child: Child,
    log: PathBuf,
    started: Started,
}

impl Role {
    pub fn usage(&self) -> Result<Usage, ScaleError> {
        Usage::of(self.child.id())
    }

    /// Where its log is.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    fn last_line(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default().lines().last().unwrap_or("nothing").to_string()
    }

    /// Waits until it holds, and fails where that takes too long or the process ends.
    pub async fn until(&mut self, what: &str, mut holds: impl FnMut() -> bool) -> Result<(), ScaleError> {
        let begun = Instant::now();
        while !holds() {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return Err(ScaleError::Ended(self.child.id(), self.last_line()));
            }
            if begun.elapsed() > WITHIN {
                return Err(self.overdue(what));
            }
            sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    /// The error of one that does not get there in time.
    pub fn overdue(&self, what: &str) -> ScaleError {
        ScaleError::Overdue { what: what.into(), seconds: WITHIN.as_secs(), last: self.last_line() }
    }

    /// Where its log says that it serves, be it a manager or a relay.
    pub async fn address(&mut self) -> Result<SocketAddr, ScaleError> {
        let log = self.log.clone();
        let mut address = None;
        self.until("the address that it serves on", || {
            address = served_address(&fs::read_to_string(&log).unwrap_or_default());
            address.is_some()
        })
        .await?;
        Ok(address.unwrap_or_else(|| unreachable!("it was waited for")))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.started.remove(self.child.id());
        // It may have ended by itself.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        self.kill();
    }
}

fn served_address(log: &str) -> Option<SocketAddr> {
    let line = log.lines().find(|line| line.contains(MANAGER_SERVES) || line.contains(RELAY_SERVES))?;
    line.split_whitespace().last()?.parse().ok()
}

/// Asks a manager whether it is alive, until it says so.
pub async fn alive(address: SocketAddr) -> Result<(), ScaleError> {
    let failed = || ScaleError::io(format!("the probe of {address}"));
    let mut socket = TcpStream::connect(address).await.map_err(failed())?;
    socket.write_all(b"probe\r\n").await.map_err(failed())?;
    let mut answer = [0; 5];
    socket.read_exact(&mut answer).await.map_err(failed())?;
    Ok(())
}
