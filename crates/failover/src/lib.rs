//! Failover between zones, coordinated by the managers' leader. This crate has no I/O, clock or thread.
//!
//! Each manager's [`EvidenceAccumulator`] turns the results that its proxies report into [`Evidence`]. Evidence goes to
//! the leader outside the consensus log; it may arrive late or be lost. The leader's [`FailoverController`] assesses each
//! zone from the evidence of all managers and proposes a [`Plan`]. Each member applies the agreed plan through
//! [`ActivePlan`] until the plan's lease expires.
//!
//! A plan only reduces the weight of zones and restores it. How proxies use the remaining weights, and which requests are
//! rejected when capacity is short, stays with the decisions that each manager takes alone, and so do the five rules.
//! Without a plan, a quorum or a valid lease every zone has its full weight.
//!
//! The design follows published work on global load balancing: nearest first (the planner's own price for crossing
//! zones stays in force), spill limited by the known free capacity of the receivers, and no oscillation on stale
//! load figures, because no step is shorter than the age of the data it is based on.

mod controller;
mod evidence;
mod health;
mod plan;

pub use controller::{FailoverConfig, FailoverController};
pub use evidence::{Evidence, EvidenceAccumulator, Zone, ZonePairStats};
pub use health::{assess_zone, FleetView, ZoneHealth, MIN_TRIES};
pub use plan::{ActivePlan, Plan, ZoneShare};
