//! Decides which retries a manager may authorise, and recovers the authorisations after a restart. The crate performs no
//! I/O and reads no clock: the caller passes `now`, and writes the returned records before it sends what they authorise.

mod ledger;

pub use ledger::{
    Authorisation, Decision, DecodeError, Ledger, MarkPosition, Record, RetryAuthoriser, RetryKey,
};
