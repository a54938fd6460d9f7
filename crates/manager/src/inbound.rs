//! What comes in to the decisions, from whichever connection.

use std::convert::Infallible;

use bytes::Bytes;
use juniperrail_interface::{ProxyId, WorkerId};
use tokio::sync::{mpsc, oneshot};

use crate::listing::Listing;
use crate::probes::ProbeResult;
use crate::text::Report;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// What comes in, in the order of each connection.
pub enum Inbound {
    Listing(Listing),
    Joined {
        stream: StreamId,
        hello: Hello,
        outbox: Outbox,
    },
    /// A connection of whatever kind is over, and why if not by itself.
    Ended(StreamId, Option<String>),
    /// From a proxy's own stream, or through a collector; or why a message is passed over.
    Reported(Option<(StreamId, ProxyId)>, Result<Report, String>),
    Probed(WorkerId, ProbeResult),
    /// Somebody who never joined, and why.
    Rejected(String),
}

/// The way to a proxy. Once it is dropped, the connection ends at once, whatever is still on its way.
pub struct Outbox {
    messages: mpsc::Sender<Bytes>,
    _open: oneshot::Sender<Infallible>,
}

impl Outbox {
    /// With room for so many messages: itself, what is put in, and its end.
    pub fn new(room: usize) -> (Outbox, mpsc::Receiver<Bytes>, oneshot::Receiver<Infallible>) {
        let ((messages, put), (_open, end)) = (mpsc::channel(room), oneshot::channel());
        (Outbox { messages, _open }, put, end)
    }

    /// False if there is no room.
    pub fn try_send(&self, message: Bytes) -> bool {
        !matches!(self.messages.try_send(message), Err(mpsc::error::TrySendError::Full(_)))
    }
}

pub struct Hello {
    pub proxy: u16,
    pub zone: String,
    pub inv_per_second: f64,
    pub fresh: bool,
}
