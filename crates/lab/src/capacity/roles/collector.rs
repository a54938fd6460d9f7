//! The collectors of the zones, and the sums that they forward to managers.

use super::{bytes_per_second, count, per_second, Inputs, Table};
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, When};
use crate::capacity::series_measured as series;
use crate::capacity::{requirements, traffic};

/// Connections that a manager keeps free for the collectors of one zone.
const CONNECTIONS_PER_ZONE: f64 = 4.0;

const BUDGET: Mechanism = Mechanism::Missing("sums within a byte budget");

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::Collector);
    kept(&mut table);
    ordinary_day(inputs, &mut table);
    worst_minutes(inputs, &mut table);
    table.rows
}

fn kept(table: &mut Table) {
    let from_each = count(requirements::MANAGERS);
    let descriptors = Limit::descriptors();
    let by_zone = Mechanism::Missing("sums to the managers of their proxies alone");
    table.tell(When::Kept, "connections of one collector, to all managers", from_each, by_zone);
    let in_all = count(requirements::MANAGERS * requirements::ZONES);
    table.tell(When::Kept, "connections in all, each to each", in_all, paths::LIMITER);
    let kept_free = count(CONNECTIONS_PER_ZONE * requirements::ZONES);
    table.judge(
        When::Kept,
        "descriptors that a manager keeps for them",
        kept_free,
        descriptors,
        paths::LIMITER,
    );
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let limit = Limit::letter(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    let day = When::OrdinaryDay;
    let lines = per_second(traffic::outcome_lines(sizes));
    table.tell(day, "lines of sums on its services' workers, to one manager", lines, paths::PLANNER);
    let measured = series::MANAGER_BYTES_IN_BY_REPORTS.growth(inputs.measured, traffic::outcome_lines(sizes));
    let outcomes = measured.or(bytes_per_second(traffic::outcomes(sizes)));
    table.judge(day, "bytes of sums on its services' workers", outcomes, limit, BUDGET);
    let lines = per_second(traffic::demand_lines(sizes));
    table.tell(day, "lines of sums on its proxies' demand", lines, paths::PLANNER);
    let demand = bytes_per_second(traffic::demand(sizes));
    table.judge(day, "bytes of sums on its proxies' demand", demand, limit, BUDGET);
    let zone = sizes.managers_per_zone() * traffic::outcomes(sizes);
    table.tell(
        day,
        "bytes out of the collector of one zone, to that zone's managers",
        bytes_per_second(zone),
        paths::LIMITER,
    );
}

fn worst_minutes(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let when = When::Worst(Failure::ZoneLost);
    let left = (sizes.managers_per_service() - 1.0).max(1.0);
    let grown = bytes_per_second(traffic::demand(sizes) * (1.0 + 1.0 / left));
    let limit = Limit::letter(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    table.judge(when, "bytes on demand, at a manager of a service that lost one", grown, limit, BUDGET);
    let others_zones = bytes_per_second(2.0 * traffic::outcomes(sizes));
    table.judge(
        when,
        "bytes on its services' workers, its proxies in two zones now",
        others_zones,
        limit,
        BUDGET,
    );
}
