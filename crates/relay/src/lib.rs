//! A relay of the worker list. It follows one source by the discovery protocol and serves any number of subscribers by
//! the same protocol, each with the part of the list that it requests.
//!
//! The list is stored once, on one thread; the decisions about it are made in `juniperrail_distribution`. A relay that
//! has lost its source sends nothing rather than an old list: it ends its watches and refuses new ones.

mod head_limit;
mod options;
mod requests;
mod server;
mod shared;
mod source;
mod watch;

pub use options::{Limits, Options, Timing};
pub use server::Relay;
