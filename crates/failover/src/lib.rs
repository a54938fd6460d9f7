//! Failover between zones, decided in common. No I/O, clock or thread: each manager's [`EvidenceAccumulator`] turns what its proxies met
//! into [`Evidence`], which goes to the leader beside the log, late and lossy; the leader's [`FailoverController`] judges each zone by
//! all of it and says what [`Plan`] to agree on; and [`ActivePlan`] is what a member goes by, for as long as its lease lasts.
//!
//! A plan narrows: it takes part of a zone's weight away and gives it back, and that is all. What proxies then do with
//! the weights left, and what is turned away where too few are left, stays with the decisions that each manager takes
//! alone; so do the five rules. Without a plan, or a quorum, or a lease, every zone has its whole weight.
//!
//! The thoughts are those published of global load balancing: nearness first (the module's own price on crossing zones
//! stays in force), spill by what the receiver is known to bear, and no swinging on stale load, by steps no shorter than
//! the age of what they are judged by.

mod evidence;
mod health;
mod pilot;
mod plan;

pub use evidence::{Evidence, EvidenceAccumulator, Zone, ZonePairStats};
pub use health::{assess_zone, FleetView, ZoneHealth, MIN_TRIES};
pub use pilot::{FailoverConfig, FailoverController};
pub use plan::{ActivePlan, Plan, ZoneShare};
