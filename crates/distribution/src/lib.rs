//! The distribution of the worker list: which part of it a subscriber needs, which versions the subscriber has seen,
//! and from which relay it receives the next ones. Nothing here reads a socket, a file or a clock.

mod change_log;
mod cursor;
mod entry;
mod list_reader;
mod locations;
mod relay_choice;
mod scope;
mod worker_list;

pub use cursor::{Cursor, CursorLimits, Step};
pub use entry::EntryError;
pub use list_reader::{ListEnd, ListError, ListEvent, ListLimits, ListReader};
pub use relay_choice::{RelayChoice, RelayFailure, Retry, Round};
pub use scope::{Location, Scope, ScopeError};
pub use worker_list::{Applied, ApplyError, WorkerList, WorkerListLimits};
