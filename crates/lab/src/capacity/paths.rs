//! The source files that implement the mechanisms named on the page.

use super::row::Mechanism;

/// The scope of a subscription: the part of the list that a subscriber needs.
pub const SCOPE: Mechanism = Mechanism::File("crates/distribution/src/scope.rs");
/// The filter that keeps the list entries in a manager's scope.
pub const MANAGER_SCOPE: Mechanism = Mechanism::File("crates/manager/src/scope_filter.rs");
/// The relay, which holds the full list once and serves each watch the part in its scope.
pub const RELAY: Mechanism = Mechanism::File("crates/relay/src/server.rs");
/// The list versions that a relay remembers, so that watches can resume.
pub const LIST_VERSIONS: Mechanism = Mechanism::File("crates/distribution/src/worker_list.rs");
/// A manager's choice of a relay.
pub const RELAY_CHOICE: Mechanism = Mechanism::File("crates/distribution/src/relay_choice.rs");
/// Incremental reading of a list, entry by entry.
pub const LIST_READER: Mechanism = Mechanism::File("crates/distribution/src/list_reader.rs");
/// Assembly of one list at a manager, with its size limit.
pub const LIST_ASSEMBLER: Mechanism = Mechanism::File("crates/manager/src/list_assembler.rs");
/// The manager's watch of the list.
pub const DISCOVERY_WATCH: Mechanism = Mechanism::File("crates/manager/src/discovery.rs");
/// The worker registry.
pub const WORKER_REGISTRY: Mechanism = Mechanism::File("crates/manager/src/worker_registry.rs");
/// The planner, which decides the weights of the workers and limits the pending lines.
pub const PLANNER: Mechanism = Mechanism::File("src/lib.rs");
/// The order writer, which holds the tables of the joined proxies.
pub const ORDER_WRITER: Mechanism = Mechanism::File("crates/manager/src/order_writer.rs");
/// The limits on the connections of each kind of peer, derived from the limit on file descriptors.
pub const CONNECTION_LIMITER: Mechanism = Mechanism::File("crates/manager/src/limiter.rs");
/// Identifier types of proxies, tables, operations and zones.
pub const IDENTIFIERS: Mechanism = Mechanism::File("crates/interface/src/lib.rs");
/// Links between managers.
pub const MANAGER_LINKS: Mechanism = Mechanism::File("crates/fleet/src/links.rs");
/// Consensus: terms, log and leases.
pub const CONSENSUS: Mechanism = Mechanism::File("crates/consensus/src/raft_node.rs");
/// The failure detector.
pub const FAILURE_DETECTOR: Mechanism = Mechanism::File("crates/consensus/src/failure_detector.rs");
/// The datastores and their commits.
pub const DATASTORES: Mechanism = Mechanism::File("crates/northbound/src/datastore_manager.rs");
