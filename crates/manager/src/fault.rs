//! What went wrong, as a value that carries how far the attempt had come.

use std::error::Error;
use std::fmt;

use tower::timeout::error::Elapsed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// Nothing was sent.
    Dialling,
    /// The other side may have acted on it; no answer began.
    Sent,
    Reading,
}

#[derive(Debug)]
pub struct Fault {
    pub reached: Reached,
    /// The time allowed for this step ran out.
    pub late: bool,
    pub what: String,
}

impl Fault {
    pub fn reading(what: impl Into<String>) -> Self {
        Fault { reached: Reached::Reading, late: false, what: what.into() }
    }

    pub fn at(reached: Reached) -> impl Fn(Box<dyn Error + Send + Sync>) -> Fault + Clone {
        move |cause| Fault { reached, late: cause.is::<Elapsed>(), what: cause.to_string() }
    }

    pub fn io(reached: Reached) -> impl Fn(std::io::Error) -> Fault {
        move |cause| Fault { reached, late: false, what: cause.to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reached = match self.reached {
            Reached::Dialling => "while dialling",
            Reached::Sent => "once sent",
            Reached::Reading => "while reading",
        };
        write!(f, "{} ({reached})", self.what)
    }
}

impl Error for Fault {}
