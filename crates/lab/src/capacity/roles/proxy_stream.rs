//! The streams of a manager's proxies: tables, orders, turns and the numbers that name them.

use super::{bytes, count, Inputs, Table};
use crate::capacity::figure::Figure;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, When};
use crate::capacity::series_measured as series;
use crate::capacity::{requirements, traffic, wire};

/// What the numbers of 16 bits can tell apart.
const NUMBERS_OF_16_BITS: f64 = 65_536.0;
/// What the numbers of operations, 8 bits, can tell apart.
const NUMBERS_OF_8_BITS: f64 = 256.0;

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::ProxyStream);
    numbers(inputs, &mut table);
    kept(inputs, &mut table);
    ordinary_day(inputs, &mut table);
    worst_minutes(inputs, &mut table);
    table.rows
}

fn numbers(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let wide = Limit::program(NUMBERS_OF_16_BITS, Unit::Count);
    let narrow = Limit::program(NUMBERS_OF_8_BITS, Unit::Count);
    let numbered = Mechanism::Missing("numbers of proxies of 32 bits, or a manager's own");
    table.judge(When::Kept, "proxies numbered across the fleet", count(sizes.proxies()), wide, numbered);
    let operations = count(sizes.operations_per_manager());
    table.judge(When::Kept, "operations of its services", operations, narrow, paths::IDS);
    let all_operations = count(requirements::ROUTES);
    table.judge(
        When::Kept,
        "operations, were one manager to serve all",
        all_operations,
        narrow,
        paths::SCOPE,
    );
    let tables = count(requirements::SERVICES * requirements::ZONES);
    table.judge(When::Kept, "tables, were one manager to serve all", tables, wide, paths::SCOPE);
}

fn kept(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let proxies = sizes.proxies_per_manager();
    table.tell(When::Kept, "proxies of one manager", count(proxies), paths::PLANE);
    let memory = series::MANAGER_MEMORY_BY_PROXIES.at(measured, proxies);
    let limit = Limit::letter(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes);
    table.judge(When::Kept, "memory of a manager with its proxies", memory, limit, paths::PLANE);
    let keeps = series::MANAGER_MEMORY_BY_PROXIES.reaches(measured, requirements::MANAGER_MEMORY_BYTES);
    table.judge(When::Kept, "proxies that 32 MB bear", keeps, Limit::reached(proxies), paths::PLANE);
    let whole = bytes(wire::order_bytes(sizes.workers_in_scope()));
    table.tell(When::Kept, "a whole table, as sent", whole, paths::PLANE);
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let orders = Figure::computed_at_most(traffic::orders_at_most(sizes), Unit::BytesPerSecond);
    let limit = Limit::letter(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    table.judge(
        When::OrdinaryDay,
        "orders, every weight moved as often as may be",
        orders,
        limit,
        paths::PLANNER,
    );
    let measured_orders = series::MANAGER_BYTES_OUT_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let name = "orders, one worker of 100 changing each second";
    let limit = Limit::letter(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    table.judge(When::OrdinaryDay, name, measured_orders, limit, paths::PLANNER);
    let processor = series::MANAGER_PROCESSOR_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let limit = Limit::letter(requirements::MANAGER_CORES, Unit::Cores);
    table.judge(
        When::OrdinaryDay,
        "processor time of a manager with its proxies",
        processor,
        limit,
        paths::PLANNER,
    );
}

fn worst_minutes(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let when = When::Worst(Failure::ZoneLost);
    let moved = sizes.managers_per_zone() * sizes.proxies_per_manager();
    table.tell(when, "proxies whose manager is gone", count(moved), paths::PLANE);
    let left = (sizes.managers_per_service() - 1.0).max(1.0);
    let to_each = sizes.proxies_per_manager() / left;
    let choice = Mechanism::Missing("a bounded load on the managers that are left");
    table.tell(when, "more proxies at each manager of a service that lost one", count(to_each), choice);
    let tables = bytes(to_each * wire::order_bytes(sizes.workers_in_scope()));
    table.tell(when, "whole tables for them", tables, paths::PLANE);
    let back = When::Worst(Failure::ZoneBack);
    let tables = sizes.proxies_per_manager() * wire::order_bytes(sizes.workers_in_scope());
    table.tell(back, "whole tables of a manager that is back", bytes(tables), paths::PLANE);
}
