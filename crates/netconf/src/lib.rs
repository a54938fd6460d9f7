//! The NETCONF server (RFC 6241) in front of the datastore manager. The server translates messages to operations and
//! results to replies; the datastore manager decides what an operation does and which operations are rejected.

mod capabilities;
mod connection_limits;
mod error;
pub mod filter;
mod notification;
mod service;
mod session;
mod ssh;
mod transport;

pub use session::SessionTimeouts;
pub use transport::{fingerprint, Listeners};

pub use capabilities::{BASE_1_0, BASE_1_1, MONITORING_NAMESPACE, NMDA_NAMESPACE, NOTIFICATION_NAMESPACE};
