//! The files that bear what the page claims.

use super::row::Mechanism;

/// The part of the list that a subscriber needs.
pub const SCOPE: Mechanism = Mechanism::File("crates/distribution/src/scope.rs");
/// What a manager keeps of a list, by its scope.
pub const MANAGER_SCOPE: Mechanism = Mechanism::File("crates/manager/src/scope_filter.rs");
/// The whole list held once and watched by scope.
pub const RELAY: Mechanism = Mechanism::File("crates/relay/src/server.rs");
/// The versions that a relay keeps, for watches that come back.
pub const VERSIONS: Mechanism = Mechanism::File("crates/distribution/src/worker_list.rs");
/// Which relay a manager goes to.
pub const RELAY_CHOICE: Mechanism = Mechanism::File("crates/distribution/src/relay_choice.rs");
/// A list read entry by entry.
pub const LIST_READER: Mechanism = Mechanism::File("crates/distribution/src/list_reader.rs");
/// What a manager keeps at most of one list.
pub const LIST_ASSEMBLER: Mechanism = Mechanism::File("crates/manager/src/list_assembler.rs");
/// The manager's watch of the list.
pub const WATCH: Mechanism = Mechanism::File("crates/manager/src/discovery.rs");
/// The workers by name.
pub const ROSTER: Mechanism = Mechanism::File("crates/manager/src/worker_registry.rs");
/// Which worker gets what weight, and how many lines wait.
pub const PLANNER: Mechanism = Mechanism::File("src/lib.rs");
/// What the joined proxies hold.
pub const PLANE: Mechanism = Mechanism::File("crates/manager/src/order_writer.rs");
/// Descriptors by who needs them.
pub const LIMITER: Mechanism = Mechanism::File("crates/manager/src/limiter.rs");
/// Numbers of proxies, tables, operations and zones.
pub const IDS: Mechanism = Mechanism::File("crates/interface/src/lib.rs");
/// Links between managers.
pub const LINKS: Mechanism = Mechanism::File("crates/fleet/src/links.rs");
/// Terms, log and leases.
pub const CONSENSUS: Mechanism = Mechanism::File("crates/consensus/src/raft_node.rs");
/// The failure detector.
pub const FAILURE_DETECTOR: Mechanism = Mechanism::File("crates/consensus/src/failure_detector.rs");
/// The datastores and their commits.
pub const DATASTORES: Mechanism = Mechanism::File("crates/northbound/src/datastore_manager.rs");
