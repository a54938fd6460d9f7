//! What comes in to the decisions, from whichever connection.

use bytes::Bytes;
use juniperrail_interface::{ProxyId, WorkerId};
use tokio::sync::mpsc;

use crate::listing::Listing;
use crate::probes::Found;
use crate::text::Report;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// What comes in, in the order of each connection.
pub enum News {
    Listing(Listing),
    Joined {
        stream: StreamId,
        hello: Hello,
        orders: mpsc::Sender<Bytes>,
    },
    /// A connection of whatever kind is over, and why if not by itself.
    Ended(StreamId, Option<String>),
    /// From a proxy's own stream, or through a collector; or why a message is passed over.
    Said(Option<(StreamId, ProxyId)>, Result<Report, String>),
    Probed(WorkerId, Found),
    /// Somebody who never joined, and why.
    TurnedAway(String),
}

pub struct Hello {
    pub proxy: u16,
    pub zone: String,
    pub inv_per_second: f64,
    pub fresh: bool,
}
