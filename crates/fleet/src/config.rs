//! The fleet's configuration, from the operator's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniperrail_consensus::{MemberId, RaftConfig, SwimConfig};
use juniperrail_schedule::Schedule;
use juniperrail_store::Limits;

/// The addresses that the members' links listen on.
pub type MemberAddresses = BTreeMap<MemberId, String>;

/// The configuration of this manager as a member of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub member_id: MemberId,
    /// Connections from managers of another fleet are rejected.
    pub fleet_name: String,
    pub listen: SocketAddr,
    pub store_path: PathBuf,
    pub store_limits: Limits,
    /// All managers that the file names, including this one, and the addresses that their links listen on.
    pub members: MemberAddresses,
    /// The version of `members`. A leader whose file has a newer version than the replicated one changes the members of
    /// the fleet to match.
    pub generation: u64,
    pub raft: RaftConfig,
    pub swim: SwimConfig,
    /// `None` if failover between zones is off.
    pub failover: Option<juniperrail_failover::FailoverConfig>,
    /// The configured schedules, by name.
    pub schedules: BTreeMap<String, Schedule>,
    /// Seeds the randomness of Raft, the failure detector and the links.
    pub seed: u64,
    /// The log is compacted once it has more entries than this.
    pub max_log_entries: usize,
}
