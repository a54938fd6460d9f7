//! What the operator's file says of the fleet, as typed figures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniperrail_consensus::{MemberId, RaftConfig, SwimConfig};
use juniperrail_schedule::Schedule;
use juniperrail_store::Limits;

pub type MemberAddresses = BTreeMap<MemberId, String>;

#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub member_id: MemberId,
    /// Managers of another fleet are not listened to.
    pub fleet_name: String,
    pub listen: SocketAddr,
    pub store_path: PathBuf,
    pub store_limits: Limits,
    /// All managers that this file names, this one among them, and where their links listen.
    pub members: MemberAddresses,
    /// Which version of that list this is: a leader whose file has a later one brings the council there.
    pub generation: u64,
    pub raft: RaftConfig,
    pub swim: SwimConfig,
    /// What failover between zones goes by, where it is on.
    pub failover: Option<juniperrail_failover::FailoverConfig>,
    pub schedules: BTreeMap<String, Schedule>,
    pub seed: u64,
    /// Entries in the log after which it is compacted.
    pub max_log_entries: usize,
}
