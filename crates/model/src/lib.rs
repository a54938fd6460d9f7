//! The operators' model: YANG modules (RFC 7950) as schema nodes, and data under them as one typed tree that
//! files, NETCONF and gNMI all go through. XML (RFC 7950 section 7 of each statement) and JSON (RFC 7951) are
//! read into [`EditNode`]s, checked node by node, and written from [`Data`]. No decision is taken here.

mod data;
mod diff;
mod edit_node;
mod error;
pub mod json;
mod path;
mod schema;
mod value;
pub mod xml;
pub mod xsd;
mod yang;

pub use data::{Content, Data, View};
pub use diff::{diff, Difference};
pub use edit_node::{EditNode, EditOperation};
pub use error::{ErrorKind, ModelError};
pub use path::{Path, Step};
pub use schema::{Module, Node, NodeId, NodeKind, Schema};
pub use value::{Type, Value};

/// The modules that come with the manager, each after those that it imports.
pub const MODULES: [(&str, &str); 3] = [
    ("juniperrail-types", include_str!("../../../yang/juniperrail-types.yang")),
    ("juniperrail-manager", include_str!("../../../yang/juniperrail-manager.yang")),
    ("juniperrail-state", include_str!("../../../yang/juniperrail-state.yang")),
];

/// The schema of the modules that come with the manager.
pub fn schema() -> Schema {
    // They are part of the program, and a test reads them.
    Schema::parse(&MODULES).expect("the modules that come with the program are sound")
}
