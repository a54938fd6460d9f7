//! The error of a connection, with the stage that the attempt had reached.

use std::error::Error;
use std::fmt;

use tower::timeout::error::Elapsed;

/// How far an attempt to connect, or to exchange messages, had got when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing was sent.
    Connecting,
    /// A message was being sent, or had been sent and no response had begun. The peer may have acted on it.
    Sent,
    /// A response, or a stream, was being read.
    Reading,
}

/// Why an exchange or a connection failed.
#[derive(Debug)]
pub struct ConnectionError {
    /// The stage in which it failed.
    pub stage: Stage,
    /// The time allowed for this stage ran out.
    pub timed_out: bool,
    /// The text of the cause.
    pub message: String,
}

impl ConnectionError {
    /// An error while reading that is not a timeout.
    pub fn reading(message: impl Into<String>) -> Self {
        ConnectionError { stage: Stage::Reading, timed_out: false, message: message.into() }
    }

    /// Returns a function that converts the errors of a tower service at this stage, timeouts included.
    pub fn service(stage: Stage) -> impl Fn(Box<dyn Error + Send + Sync>) -> ConnectionError + Clone {
        move |cause| ConnectionError { stage, timed_out: cause.is::<Elapsed>(), message: cause.to_string() }
    }

    /// Returns a function that converts I/O errors at this stage.
    pub fn io(stage: Stage) -> impl Fn(std::io::Error) -> ConnectionError {
        move |cause| ConnectionError { stage, timed_out: false, message: cause.to_string() }
    }
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stage = match self.stage {
            Stage::Connecting => "while dialling",
            Stage::Sent => "while sending or awaiting a response",
            Stage::Reading => "while reading",
        };
        write!(f, "{} ({stage})", self.message)
    }
}

impl Error for ConnectionError {}
