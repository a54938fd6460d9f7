//! The errors that prevent or end a scale run.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why a scale run did not start or ended early.
#[derive(Debug, Error)]
pub enum ScaleError {
    #[error("{0} does not exist; build it with `cargo build --release -p juniperrail-manager`")]
    NoProgram(PathBuf),
    #[error("unknown slope or experiment {0:?}; the known ones are: {1}")]
    UnknownExperiment(String, String),
    #[error("the run needs {needed} MiB of memory; the limit is {limit} MiB, half of the machine's memory")]
    TooMuchMemory { needed: u64, limit: u64 },
    #[error("the run needs {needed} processes; the limit is {limit}")]
    TooManyProcesses { needed: usize, limit: usize },
    #[error("the run needs {needed} file descriptors; the limit of this process is {limit}")]
    TooManyDescriptors { needed: u64, limit: u64 },
    #[error("timed out after {seconds} s waiting for {what}; the process last logged: {last_line}")]
    Timeout { what: String, seconds: u64, last_line: String },
    #[error("{what}: {cause}")]
    Io { what: String, cause: io::Error },
    #[error("{path}: {cause}")]
    Json { path: PathBuf, cause: serde_json::Error },
    #[error("process {0} exited early; it last logged: {1}")]
    Exited(u32, String),
}

impl ScaleError {
    /// Returns a function for `map_err` that adds what failed to an I/O error.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |cause| ScaleError::Io { what, cause }
    }
}
