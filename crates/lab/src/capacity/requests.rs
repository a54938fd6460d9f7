//! The required request latency, as far as a manager's orders affect it: a proxy stalls while it applies the lines of
//! an order. Managers handle no requests themselves.

use super::assumptions::{Assumption, Sizes};
use super::figure::Figure;
use super::quantity::Unit;
use super::row::{Limit, Role, Row, Scenario};
use super::{paths, requirements};

/// The rows of the section on requests.
pub fn rows(sizes: &Sizes) -> Vec<Row> {
    let stall_per_line = sizes.assumed(Assumption::StallPerLineMicroseconds) / 1e6;
    let added_latency = requirements::ADDED_LATENCY_MS / 1e3;
    let workers = sizes.workers_in_scope();
    let lines_per_second = workers / (2.0 * sizes.assumed(Assumption::ReportPeriodSeconds));
    let row = |scenario, name, figure, limit| Row {
        role: Role::ProxyStream,
        scenario,
        name,
        figure,
        limit,
        mechanism: paths::PLANNER,
    };
    let max_lines = Figure::computed(added_latency / stall_per_line, Unit::Count);
    let complete_table_stall = Figure::computed(workers * stall_per_line, Unit::Seconds);
    let stalled_share = Figure::computed_at_most(lines_per_second * stall_per_line, Unit::Share);
    // Requests are delayed while their proxy is stalled, so the share of the time that it is stalled must not be larger
    // than the share of the requests that may exceed the added latency.
    let max_stalled_share = Limit::required(1.0 - requirements::ADDED_LATENCY_SHARE, Unit::Share);
    vec![
        row(Scenario::SteadyState, "lines of one order that stall a proxy for 1.8 ms", max_lines, None),
        row(
            Scenario::SteadyState,
            "time for which one complete table of the manager's services stalls a proxy",
            complete_table_stall,
            None,
        ),
        row(
            Scenario::OrdinaryDay,
            "share of time for which a proxy is stalled, with every weight changed as often as the \
             planner allows",
            stalled_share,
            Some(max_stalled_share),
        ),
    ]
}
