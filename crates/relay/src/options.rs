//! The options of a relay.

use std::net::SocketAddr;
use std::time::Duration;

use juniperrail_distribution::{CursorLimits, ListLimits, WorkerListLimits};

/// The options with which a relay starts.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The address to listen on for subscribers.
    pub listen: SocketAddr,
    /// The source of the list: discovery or another relay.
    pub source: SocketAddr,
    pub limits: Limits,
    pub timing: Timing,
}

impl Options {
    /// The defaults for everything except the addresses.
    pub fn new(listen: SocketAddr, source: SocketAddr) -> Options {
        Options { listen, source, limits: Limits::default(), timing: Timing::default() }
    }
}

/// The limits of a relay.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of simultaneous subscribers. [`Relay::bind`](crate::Relay::bind) lowers it if the process may not
    /// open as many sockets.
    pub subscribers: usize,
    /// Limits on what the list stores besides its workers.
    pub list: WorkerListLimits,
    /// Limits on a line of the source.
    pub line: ListLimits,
    /// Limits on one chunk that is written to a subscriber.
    pub cursor: CursorLimits,
}

impl Default for Limits {
    /// 1,024 subscribers, and the default of each other limit.
    fn default() -> Self {
        Limits {
            subscribers: 1_024,
            list: WorkerListLimits::default(),
            line: ListLimits::default(),
            cursor: CursorLimits::default(),
        }
    }
}

/// The intervals and timeouts of a relay.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A subscriber to which nothing else was sent for this long receives a heartbeat. This is also the timeout for
    /// connecting to the source, and the maximum wait, before jitter, until it is dialled again.
    pub heartbeat_interval: Duration,
    /// A source that has not confirmed the list for this long is considered lost: the relay ends all watches. This is
    /// also the timeout for the head of the source's response, and for each further entry or line.
    pub source_timeout: Duration,
    /// A source whose lists have been older than the current one for this long is considered to have restarted its
    /// versions.
    pub source_behind_timeout: Duration,
    /// Timeout for receiving the head of a request.
    pub request_head_timeout: Duration,
    /// A subscriber that accepts no byte for this long while there is something to send is disconnected.
    pub stalled_write_timeout: Duration,
}

impl Default for Timing {
    /// By the protocol, heartbeats are 2 s apart, a source is lost after the time of two of them, and every change
    /// reaches all relays within 6 s.
    fn default() -> Self {
        Timing {
            heartbeat_interval: Duration::from_secs(2),
            source_timeout: Duration::from_secs(4),
            source_behind_timeout: Duration::from_secs(6),
            request_head_timeout: Duration::from_secs(5),
            stalled_write_timeout: Duration::from_secs(60),
        }
    }
}
