//! What a relay is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use juniperrail_distribution::{CursorLimits, ListLimits, WorkerListLimits};

/// All that a relay is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Where subscribers find it.
    pub listen: SocketAddr,
    /// Whose list it relays: discovery, or another relay.
    pub source: SocketAddr,
    pub limits: Limits,
    pub timing: Timing,
}

impl Options {
    /// The defaults for everything but the addresses.
    pub fn new(listen: SocketAddr, source: SocketAddr) -> Options {
        Options { listen, source, limits: Limits::default(), timing: Timing::default() }
    }
}

/// What a relay holds at most.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Subscribers at a time; fewer if the process may not open as many sockets.
    pub subscribers: usize,
    /// Of the list beside its workers.
    pub list: WorkerListLimits,
    /// Of a line of the source.
    pub line: ListLimits,
    /// Of what is written to a subscriber at a time.
    pub cursor: CursorLimits,
}

impl Default for Limits {
    /// 1,024 subscribers, and the defaults of the list.
    fn default() -> Self {
        Limits {
            subscribers: 1_024,
            list: WorkerListLimits::default(),
            line: ListLimits::default(),
            cursor: CursorLimits::default(),
        }
    }
}

/// How long a relay waits for what.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A subscriber is told something this often, if only an empty line; dialling the source takes no longer.
    pub heartbeat: Duration,
    /// A source that ends no line for so long is lost.
    pub source_silence: Duration,
    /// A source whose lists stay older than the one held for so long is taken to have started its versions anew.
    pub source_behind: Duration,
    /// The head of a request comes within this time.
    pub request_head: Duration,
    /// A subscriber that takes no byte for so long, while there are any for it, is given up.
    pub stalled_write: Duration,
}

impl Default for Timing {
    /// As the protocol has it: a heartbeat of 2 s, silence after two of them, and 6 s until all is told.
    fn default() -> Self {
        Timing {
            heartbeat: Duration::from_secs(2),
            source_silence: Duration::from_secs(4),
            source_behind: Duration::from_secs(6),
            request_head: Duration::from_secs(5),
            stalled_write: Duration::from_secs(60),
        }
    }
}
