//! What the operator's file says of the fleet, as typed figures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniperrail_consensus::{MemberId, RaftConfig, SwimConfig};
use juniperrail_schedule::Schedule;
use juniperrail_store::Limits;

pub type Addresses = BTreeMap<MemberId, String>;

#[derive(Clone, Debug)]
pub struct Setting {
    pub me: MemberId,
    /// Managers of another fleet are not listened to.
    pub fleet: String,
    pub listen: SocketAddr,
    pub store: PathBuf,
    pub limits: Limits,
    /// All managers that this file names, this one among them, and where their links listen.
    pub members: Addresses,
    /// Which version of that list this is: a leader whose file has a later one brings the council there.
    pub generation: u64,
    pub figures: RaftConfig,
    pub sight: SwimConfig,
    /// What failover between zones goes by, where it is on.
    pub failover: Option<juniperrail_failover::FailoverConfig>,
    pub schedules: BTreeMap<String, Schedule>,
    pub seed: u64,
    /// Entries in the log after which it is compacted.
    pub entries: usize,
}
