//! The operators' data model: YANG modules (RFC 7950) as schema nodes, and data trees that conform to them. The
//! operator's file, NETCONF and any further front end (such as gNMI) use the same typed tree. XML (the encoding rules
//! in RFC 7950 section 7) and JSON (RFC 7951) are parsed into [`EditNode`]s, each of which is checked against the
//! schema, and are written from [`Data`]. Other crates interpret the configuration.

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

/// The names and texts of the built-in YANG modules. Each module comes after those that it imports.
pub const MODULES: [(&str, &str); 3] = [
    ("juniperrail-types", include_str!("../../../yang/juniperrail-types.yang")),
    ("juniperrail-manager", include_str!("../../../yang/juniperrail-manager.yang")),
    ("juniperrail-state", include_str!("../../../yang/juniperrail-state.yang")),
];

/// Parses the schema of the built-in modules.
pub fn schema() -> Schema {
    // The modules are compiled into the program, and a test parses them.
    Schema::parse(&MODULES).expect("the built-in YANG modules are valid")
}
