//! How the list of workers is distributed: which part of it a subscriber needs, which versions it has seen, and from
//! which relay it learns of the next. Nothing here reads a socket, a file or a clock.

mod list_reader;
mod scope;

pub use list_reader::{ListEnd, ListError, ListEvent, ListLimits, ListReader};
pub use scope::{Place, Scope, ScopeError};
