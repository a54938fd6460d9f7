//! The files that bear what the page claims.

use super::row::Mechanism;

/// The part of the list that a subscriber needs.
pub const SCOPE: Mechanism = Mechanism::File("crates/distribution/src/scope.rs");
/// The whole list held once and watched by scope.
pub const RELAY: Mechanism = Mechanism::Missing("the relay");
/// The versions that a relay keeps, for watches that come back.
pub const VERSION_LOG: Mechanism = Mechanism::Missing("the relay's log of versions");
/// Which relay a manager goes to.
pub const RELAY_CHOICE: Mechanism = Mechanism::Missing("the choice of a relay");
/// The whole list read entry by entry.
pub const LIST_READER: Mechanism = Mechanism::Missing("a list that is read entry by entry");
/// The manager's watch of the list.
pub const WATCH: Mechanism = Mechanism::File("crates/manager/src/discovery.rs");
/// The workers by name.
pub const ROSTER: Mechanism = Mechanism::File("crates/manager/src/roster.rs");
/// Which worker gets what weight, and how many lines wait.
pub const PLANNER: Mechanism = Mechanism::File("src/brain.rs");
/// What the joined proxies hold.
pub const PLANE: Mechanism = Mechanism::File("crates/manager/src/plane.rs");
/// Descriptors by who needs them.
pub const LIMITER: Mechanism = Mechanism::File("crates/manager/src/limiter.rs");
/// Numbers of proxies, tables, operations and zones.
pub const IDS: Mechanism = Mechanism::File("crates/interface/src/lib.rs");
/// Links between managers.
pub const LINKS: Mechanism = Mechanism::File("crates/fleet/src/links.rs");
/// Terms, log and leases.
pub const CONSENSUS: Mechanism = Mechanism::File("crates/council/src/council.rs");
/// The failure detector.
pub const FAILURE_DETECTOR: Mechanism = Mechanism::File("crates/council/src/sight.rs");
/// The datastores and their commits.
pub const DATASTORES: Mechanism = Mechanism::File("crates/north/src/keeper.rs");
