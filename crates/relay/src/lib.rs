//! A relay of the worker list: it follows one source by the discovery protocol and serves any number of subscribers by
//! the same protocol, each the part of the list that it asks for.
//!
//! The list is held once, on one thread; what is decided about it lies in `juniperrail_distribution`. A relay that has
//! lost its source says nothing rather than something old: it ends its watches and refuses new ones.

mod log_limit;
mod options;
mod requests;
mod server;
mod shared;
mod source;
mod stall;
mod watch;

pub use options::{Limits, Options, Timing};
pub use server::Relay;
