//! Bytes a second between a manager and its surroundings on an ordinary day.

use super::assumptions::{Assumption, Sizes};
use super::{requirements, wire};

/// Changed entries of the whole list.
pub fn whole_list(sizes: &Sizes) -> f64 {
    sizes.entries_bytes(sizes.entries_per_second())
}

/// Changed entries of a manager's services.
pub fn scope(sizes: &Sizes) -> f64 {
    whole_list(sizes) * sizes.scope_share()
}

/// Empty lines of one watch.
pub fn heartbeats() -> f64 {
    wire::heartbeat_bytes() / wire::HEARTBEAT_PERIOD_SECONDS
}

/// Changes of configuration that concern a manager's services.
pub fn configuration(sizes: &Sizes) -> f64 {
    sizes.changes_bytes(sizes.changes_per_second()) * sizes.change_share()
}

/// Lines of sums a second: one for each worker and zone of proxies.
pub fn outcome_lines(sizes: &Sizes) -> f64 {
    let zones = sizes.assumed(Assumption::ProxyZonesPerManager);
    sizes.workers_in_scope() * zones / sizes.assumed(Assumption::ReportPeriodSeconds)
}

/// Lines of demand a second: one for each proxy and operation, but no more than there are requests.
pub fn demand_lines(sizes: &Sizes) -> f64 {
    let pairs = sizes.proxies_per_manager() * sizes.operations_per_manager();
    let requests = requirements::REQUESTS_PER_SECOND / requirements::MANAGERS;
    (pairs / sizes.assumed(Assumption::ReportPeriodSeconds)).min(requests)
}

/// Sums of what proxies met at workers.
pub fn outcomes(sizes: &Sizes) -> f64 {
    outcome_lines(sizes) * wire::outcomes_bytes()
}

/// Sums of what came to proxies.
pub fn demand(sizes: &Sizes) -> f64 {
    demand_lines(sizes) * wire::demand_bytes()
}

/// Orders to proxies, were every worker's weight moved as often as the planner may: once in two report periods.
pub fn orders_at_most(sizes: &Sizes) -> f64 {
    let moved = sizes.workers_in_scope() / (2.0 * sizes.assumed(Assumption::ReportPeriodSeconds));
    moved * sizes.proxies_per_manager() * wire::order_line_bytes()
}
