//! What the letter says of requests, as far as a manager's orders touch it: a proxy stands still while it takes over an
//! order's lines. Managers see no request.

use super::assumptions::{Assumption, Sizes};
use super::figure::Figure;
use super::quantity::Unit;
use super::row::{Limit, Role, Row, When};
use super::{paths, requirements};

/// The rows of the section on requests.
pub fn rows(sizes: &Sizes) -> Vec<Row> {
    let per_line = sizes.assumed(Assumption::StallPerLineMicroseconds) / 1e6;
    let added = requirements::ADDED_LATENCY_MS / 1e3;
    let workers = sizes.workers_in_scope();
    let lines_per_second = workers / (2.0 * sizes.assumed(Assumption::ReportPeriodSeconds));
    let row = |when, name, figure, limit| Row {
        role: Role::ProxyStream,
        when,
        name,
        figure,
        limit,
        mechanism: paths::PLANNER,
    };
    let lines = Figure::computed(added / per_line, Unit::Count);
    let whole = Figure::computed(workers * per_line, Unit::Seconds);
    let share = Figure::computed_at_most(lines_per_second * per_line, Unit::Share);
    let most = Limit::letter(1.0 - requirements::ADDED_LATENCY_SHARE, Unit::Share);
    vec![
        row(When::Kept, "lines of one order that stop a proxy for 1.8 ms", lines, None),
        row(When::Kept, "a whole table of its services stops a proxy for", whole, None),
        row(
            When::OrdinaryDay,
            "time a proxy stands still, every weight moved as often as may be",
            share,
            Some(most),
        ),
    ]
}
