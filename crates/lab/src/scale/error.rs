//! Why a scale run does not start or ends early.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

#[derive(Debug, Error)]
pub enum ScaleError {
    #[error("{0} is not there: build it with `cargo build --release -p juniperrail-manager`")]
    NoProgram(PathBuf),
    #[error("no slope or experiment is called {0:?}; there are: {1}")]
    UnknownExperiment(String, String),
    #[error("it would need {needed} MB, and half of the machine's memory is {most} MB")]
    TooMuchMemory { needed: u64, most: u64 },
    #[error("it would need {needed} processes, and at most {most} are allowed")]
    TooManyProcesses { needed: usize, most: usize },
    #[error("it would need {needed} file descriptors, and this process may hold {most}")]
    TooManyDescriptors { needed: u64, most: u64 },
    #[error("still waiting after {seconds} s for {what}; the process said last: {last}")]
    Overdue { what: String, seconds: u64, last: String },
    #[error("{what}: {cause}")]
    Io { what: String, cause: io::Error },
    #[error("{path}: {cause}")]
    Json { path: PathBuf, cause: serde_json::Error },
    #[error("process {0} ended early; it said last: {1}")]
    Ended(u32, String),
}

impl ScaleError {
    /// For `map_err`, with what was being done.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |cause| ScaleError::Io { what, cause }
    }
}
