//! The NETCONF server (RFC 6241) in front of the datastore manager. It translates messages to operations and results
//! to replies; the datastore manager decides what an operation does and which operations are rejected.

mod connection_limits;
mod error;
pub mod filter;
mod names;
mod notify;
mod service;
mod session;
mod ssh;
mod transport;

pub use session::SessionTimeouts;
pub use transport::{fingerprint, Listeners};

pub use names::{BASE_1_0, BASE_1_1, MONITORING, NMDA, NOTIFICATION};
