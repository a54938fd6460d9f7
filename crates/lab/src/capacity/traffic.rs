//! Traffic of a manager on an ordinary day, in bytes or lines per second.

use super::assumptions::{Assumption, Sizes};
use super::{requirements, wire};

/// Bytes per second of changed entries of the full list.
pub fn full_list(sizes: &Sizes) -> f64 {
    sizes.entries_bytes(sizes.entries_per_second())
}

/// Bytes per second of changed entries in the scope of one manager.
pub fn scoped_list(sizes: &Sizes) -> f64 {
    full_list(sizes) * sizes.scope_share()
}

/// Bytes per second of the heartbeats of one watch.
pub fn heartbeats() -> f64 {
    wire::heartbeat_bytes() / wire::HEARTBEAT_PERIOD_SECONDS
}

/// Bytes per second of configuration changes that concern the services of one manager.
pub fn configuration(sizes: &Sizes) -> f64 {
    sizes.changes_bytes(sizes.changes_per_second()) * sizes.change_share()
}

/// Lines per second of sums on workers: one per report period for each worker and each zone of the manager's proxies.
pub fn outcome_lines(sizes: &Sizes) -> f64 {
    let zones = sizes.assumed(Assumption::ProxyZonesPerManager);
    sizes.workers_in_scope() * zones / sizes.assumed(Assumption::ReportPeriodSeconds)
}

/// Lines per second of sums on demand: one per report period for each proxy and operation, but no more than there are
/// requests.
pub fn demand_lines(sizes: &Sizes) -> f64 {
    let pairs = sizes.proxies_per_manager() * sizes.operations_per_manager();
    let requests = requirements::REQUESTS_PER_SECOND / requirements::MANAGERS;
    (pairs / sizes.assumed(Assumption::ReportPeriodSeconds)).min(requests)
}

/// Bytes per second of sums on workers.
pub fn outcomes(sizes: &Sizes) -> f64 {
    outcome_lines(sizes) * wire::outcomes_bytes()
}

/// Bytes per second of sums on demand.
pub fn demand(sizes: &Sizes) -> f64 {
    demand_lines(sizes) * wire::demand_bytes()
}

/// Bytes per second of orders if every worker's weight changes as often as the planner allows: once in two report
/// periods.
pub fn orders_at_most(sizes: &Sizes) -> f64 {
    let lines_per_proxy = sizes.workers_in_scope() / (2.0 * sizes.assumed(Assumption::ReportPeriodSeconds));
    lines_per_proxy * sizes.proxies_per_manager() * wire::order_line_bytes()
}
