//! NETCONF (RFC 6241) before the keeper: messages to operations, answers back. It
//! decides nothing; what is done and what is refused is the keeper's word.

mod error;
pub mod filter;
mod names;
mod notify;
mod places;
mod service;
mod session;
mod ssh;
mod transport;

pub use session::Limits;
pub use transport::{fingerprint, Listeners};

pub use names::{BASE_1_0, BASE_1_1, MONITORING, NMDA, NOTIFICATION};
