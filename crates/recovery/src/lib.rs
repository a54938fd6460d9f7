//! What a manager may promise, and what it believes of its promises after a restart. Free of I/O and clocks: `now` is
//! handed in, and what has to be written before something may be told comes back as records with the word to wait.

mod ledger;

pub use ledger::{Authorised, Gate, Ledger, Moment, Record, Right, Unread, Word};
