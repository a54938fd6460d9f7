//! The collectors of the zones: their connections to managers, and the sums that they send.

use super::{bytes_per_second, count, per_second, Inputs, Table};
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, Scenario};
use crate::capacity::series_measured as series;
use crate::capacity::{requirements, traffic};

/// Connections that a manager reserves for the collectors of one zone.
const CONNECTIONS_PER_ZONE: f64 = 4.0;

const BYTE_BUDGET: Mechanism = Mechanism::Missing("sums limited by a byte budget");

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::Collector);
    steady_state(&mut table);
    ordinary_day(inputs, &mut table);
    worst_cases(inputs, &mut table);
    table.rows
}

fn steady_state(table: &mut Table) {
    let connections_per_collector = count(requirements::MANAGERS);
    let descriptors = Limit::descriptors();
    let selective_sums = Mechanism::Missing("worker sums sent only to the managers of the proxies concerned");
    table.add(
        Scenario::SteadyState,
        "connections of one collector to all managers",
        connections_per_collector,
        selective_sums,
    );
    let all_connections = count(requirements::MANAGERS * requirements::ZONES);
    table.add(
        Scenario::SteadyState,
        "connections in total, from every collector to every manager",
        all_connections,
        paths::CONNECTION_LIMITER,
    );
    let reserved = count(CONNECTIONS_PER_ZONE * requirements::ZONES);
    table.add_limited(
        Scenario::SteadyState,
        "file descriptors that a manager reserves for collectors",
        reserved,
        descriptors,
        paths::CONNECTION_LIMITER,
    );
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let limit = Limit::required(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    let ordinary_day = Scenario::OrdinaryDay;
    let lines = per_second(traffic::outcome_lines(sizes));
    table.add(
        ordinary_day,
        "lines of worker sums sent to one manager, for the workers of its services",
        lines,
        paths::PLANNER,
    );
    let measured = series::MANAGER_BYTES_IN_BY_REPORTS.growth(inputs.measured, traffic::outcome_lines(sizes));
    let outcomes = measured.or(bytes_per_second(traffic::outcomes(sizes)));
    table.add_limited(
        ordinary_day,
        "bytes of worker sums sent to one manager, for the workers of its services",
        outcomes,
        limit,
        BYTE_BUDGET,
    );
    let lines = per_second(traffic::demand_lines(sizes));
    table.add(
        ordinary_day,
        "lines of proxy sums sent to one manager, for the demand at its proxies",
        lines,
        paths::PLANNER,
    );
    let demand = bytes_per_second(traffic::demand(sizes));
    table.add_limited(
        ordinary_day,
        "bytes of proxy sums sent to one manager, for the demand at its proxies",
        demand,
        limit,
        BYTE_BUDGET,
    );
    let zone_outcomes = sizes.managers_per_zone() * traffic::outcomes(sizes);
    table.add(
        ordinary_day,
        "bytes of worker sums sent by the collector of one zone to the managers of that zone",
        bytes_per_second(zone_outcomes),
        paths::CONNECTION_LIMITER,
    );
}

fn worst_cases(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let scenario = Scenario::WorstCase(Failure::ZoneFailed);
    let remaining_managers = (sizes.managers_per_service() - 1.0).max(1.0);
    let increased_demand = bytes_per_second(traffic::demand(sizes) * (1.0 + 1.0 / remaining_managers));
    let limit = Limit::required(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    table.add_limited(
        scenario,
        "bytes of proxy sums sent to one remaining manager of a service that lost one manager",
        increased_demand,
        limit,
        BYTE_BUDGET,
    );
    let outcomes_of_two_zones = bytes_per_second(2.0 * traffic::outcomes(sizes));
    table.add_limited(
        scenario,
        "bytes of worker sums sent to one manager whose proxies are now in two zones",
        outcomes_of_two_zones,
        limit,
        BYTE_BUDGET,
    );
}
