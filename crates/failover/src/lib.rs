//! Failover between zones, coordinated by the managers' leader. This crate has no I/O, clock or thread.
//!
//! Each manager's [`EvidenceAccumulator`] turns the results that its proxies report into [`Evidence`]. Evidence goes to
//! the leader outside the consensus log; it may arrive late or be lost. The leader's [`FailoverController`] assesses each
//! zone from the evidence of all managers and proposes a [`Plan`]. Each member applies the committed plan through
//! [`ActivePlan`] until the plan's lease expires.
//!
//! A plan only reduces the weight of zones and restores it. Each manager still decides alone how proxies use the
//! remaining weights and which requests are rejected when capacity is short, and alone keeps the five rules of
//! `docs/design.md`. Without a plan, a quorum or a valid lease every zone has its full weight.
//!
//! The design follows published work on global load balancing: nearest first (the planner's own price for crossing
//! zones stays in force), overflow limited by the known free capacity of the receiving zones, and no oscillation on
//! stale load figures, because each step is based only on data from after the previous one.

mod controller;
mod evidence;
mod health;
mod plan;

pub use controller::{FailoverConfig, FailoverController};
pub use evidence::{Evidence, EvidenceAccumulator, Zone, ZonePairStats};
pub use health::{assess_zone, FleetView, ZoneHealth, MIN_TRIES};
pub use plan::{ActivePlan, Plan, ZoneShare};
