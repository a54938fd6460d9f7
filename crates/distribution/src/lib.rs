//! How the list of workers is distributed: which part of it a subscriber needs, which versions it has seen, and from
//! which relay it learns of the next. Nothing here reads a socket, a file or a clock.

mod scope;

pub use scope::{Place, Scope, ScopeError};
