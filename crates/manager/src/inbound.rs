//! The messages that connections send to the decider.

use std::convert::Infallible;

use bytes::Bytes;
use juniperrail_interface::{ProxyId, WorkerId};
use tokio::sync::{mpsc, oneshot};

use crate::listing::Listing;
use crate::probes::ProbeResult;
use crate::protocol::Report;

/// The number of an accepted connection, in the order of acceptance. The connection of a joined proxy is called its
/// stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A message to the decider. Those of one connection keep their order.
pub enum Inbound {
    /// A list of workers, or changes of it.
    Listing(Listing),
    /// A proxy has introduced itself.
    Joined { stream: StreamId, hello: Hello, outbox: Outbox },
    /// A connection of any kind has ended, with the error if it did not end normally.
    Ended(StreamId, Option<String>),
    /// A report, or why a message was skipped. The sender is a proxy and its stream, or `None` for a collector.
    Reported(Option<(StreamId, ProxyId)>, Result<Report, String>),
    /// The result of a probe.
    Probed(WorkerId, ProbeResult),
    /// A connection was rejected before it joined, and why.
    Rejected(String),
}

/// The queue of messages to a proxy. Dropping it ends the connection at once, even if messages are still queued.
pub struct Outbox {
    messages: mpsc::Sender<Bytes>,
    /// Dropped together with the outbox, which ends the second receiver that [`Outbox::new`] returns.
    _open: oneshot::Sender<Infallible>,
}

impl Outbox {
    /// Returns an outbox for `capacity` messages, the receiver of its messages, and a receiver that ends when the
    /// outbox is dropped.
    pub fn new(capacity: usize) -> (Outbox, mpsc::Receiver<Bytes>, oneshot::Receiver<Infallible>) {
        let ((messages, queued), (_open, dropped)) = (mpsc::channel(capacity), oneshot::channel());
        (Outbox { messages, _open }, queued, dropped)
    }

    /// Queues a message. Returns false only if the queue is full. If the connection has ended, the message is dropped.
    pub fn try_send(&self, message: Bytes) -> bool {
        !matches!(self.messages.try_send(message), Err(mpsc::error::TrySendError::Full(_)))
    }
}

/// How a proxy introduces itself.
pub struct Hello {
    /// The number of the proxy.
    pub proxy: u16,
    /// The name of the proxy's zone.
    pub zone: String,
    /// Invocations per second that the proxy receives.
    pub inv_per_second: f64,
    /// The proxy has just started and has no tables.
    pub fresh: bool,
}
