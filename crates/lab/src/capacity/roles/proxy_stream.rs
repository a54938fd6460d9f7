//! The streams of a manager's proxies: the number space of identifiers, the tables and orders, and the memory and
//! processor time that they take.

use super::{bytes, count, Inputs, Table};
use crate::capacity::figure::Figure;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, Scenario};
use crate::capacity::series_measured as series;
use crate::capacity::{requirements, traffic, wire};

/// Number of values of a 16-bit identifier, as of proxies and tables.
const IDENTIFIERS_OF_16_BITS: f64 = 65_536.0;
/// Number of values of an 8-bit identifier, as of operations.
const IDENTIFIERS_OF_8_BITS: f64 = 256.0;

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::ProxyStream);
    identifiers(inputs, &mut table);
    steady_state(inputs, &mut table);
    ordinary_day(inputs, &mut table);
    worst_cases(inputs, &mut table);
    table.rows
}

fn identifiers(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let max_16_bit = Limit::program(IDENTIFIERS_OF_16_BITS, Unit::Count);
    let max_8_bit = Limit::program(IDENTIFIERS_OF_8_BITS, Unit::Count);
    let wider_identifiers =
        Mechanism::Missing("proxy identifiers of 32 bits, or identifiers unique only within a manager");
    table.add_limited(
        Scenario::SteadyState,
        "proxy identifiers needed, unique across the fleet",
        count(sizes.proxies()),
        max_16_bit,
        wider_identifiers,
    );
    let operations = count(sizes.operations_per_manager());
    table.add_limited(
        Scenario::SteadyState,
        "operations of the manager's services",
        operations,
        max_8_bit,
        paths::IDENTIFIERS,
    );
    let all_operations = count(requirements::ROUTES);
    table.add_limited(
        Scenario::SteadyState,
        "operations if one manager served all services",
        all_operations,
        max_8_bit,
        paths::SCOPE,
    );
    let tables = count(requirements::SERVICES * requirements::ZONES);
    table.add_limited(
        Scenario::SteadyState,
        "tables if one manager served all services",
        tables,
        max_16_bit,
        paths::SCOPE,
    );
}

fn steady_state(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let proxies = sizes.proxies_per_manager();
    table.add(Scenario::SteadyState, "proxies joined to one manager", count(proxies), paths::ORDER_WRITER);
    let memory = series::MANAGER_MEMORY_BY_PROXIES.at(measured, proxies);
    let limit = Limit::required(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes);
    table.add_limited(
        Scenario::SteadyState,
        "memory of a manager with its proxies joined",
        memory,
        limit,
        paths::ORDER_WRITER,
    );
    let max_proxies =
        series::MANAGER_MEMORY_BY_PROXIES.size_at_limit(measured, requirements::MANAGER_MEMORY_BYTES);
    table.add_limited(
        Scenario::SteadyState,
        "joined proxies that fit into 32 MB of memory",
        max_proxies,
        Limit::required_at_least(proxies),
        paths::ORDER_WRITER,
    );
    let complete_table = bytes(wire::order_bytes(sizes.workers_in_scope()));
    table.add(
        Scenario::SteadyState,
        "bytes of one complete table, as sent",
        complete_table,
        paths::ORDER_WRITER,
    );
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let orders = Figure::computed_at_most(traffic::orders_at_most(sizes), Unit::BytesPerSecond);
    let limit = Limit::required(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    table.add_limited(
        Scenario::OrdinaryDay,
        "bytes of orders sent, with every weight changed as often as the planner allows",
        orders,
        limit,
        paths::PLANNER,
    );
    let measured_orders = series::MANAGER_BYTES_OUT_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let name = "bytes of orders sent, with one of 100 workers changing every second";
    let limit = Limit::required(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    table.add_limited(Scenario::OrdinaryDay, name, measured_orders, limit, paths::PLANNER);
    let processor = series::MANAGER_PROCESSOR_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let limit = Limit::required(requirements::MANAGER_CORES, Unit::Cores);
    table.add_limited(
        Scenario::OrdinaryDay,
        "processor time of a manager with its proxies joined",
        processor,
        limit,
        paths::PLANNER,
    );
}

fn worst_cases(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let scenario = Scenario::WorstCase(Failure::ZoneFailed);
    let proxies_without_manager = sizes.managers_per_zone() * sizes.proxies_per_manager();
    table.add(scenario, "proxies whose manager failed", count(proxies_without_manager), paths::ORDER_WRITER);
    let remaining_managers = (sizes.managers_per_service() - 1.0).max(1.0);
    let additional_proxies = sizes.proxies_per_manager() / remaining_managers;
    let bounded_load = Mechanism::Missing("bounded load on the remaining managers");
    table.add(
        scenario,
        "additional proxies per remaining manager of a service that lost one manager",
        count(additional_proxies),
        bounded_load,
    );
    let tables = bytes(additional_proxies * wire::order_bytes(sizes.workers_in_scope()));
    table.add(scenario, "complete tables sent to these additional proxies", tables, paths::ORDER_WRITER);
    let zone_recovered = Scenario::WorstCase(Failure::ZoneRecovered);
    let tables = sizes.proxies_per_manager() * wire::order_bytes(sizes.workers_in_scope());
    table.add(
        zone_recovered,
        "complete tables sent by a manager that has returned",
        bytes(tables),
        paths::ORDER_WRITER,
    );
}
