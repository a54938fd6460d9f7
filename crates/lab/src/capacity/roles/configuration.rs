//! Changes of configuration: what is kept, how many come, and when they are in force.

use super::{bytes, bytes_per_second, count, per_second, seconds, Inputs, Table};
use crate::capacity::assumptions::Assumption;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, When};
use crate::capacity::series_measured as series;
use crate::capacity::{requirements, traffic};

const THROUGH_RELAYS: Mechanism = Mechanism::Missing("configuration through the relays");

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::Configuration);
    kept(inputs, &mut table);
    ordinary_day(inputs, &mut table);
    worst_minutes(inputs, &mut table);
    table.rows
}

fn kept(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let limit = Limit::letter(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes);
    let tenants = requirements::TENANTS * sizes.assumed(Assumption::TenantBytes);
    table.judge(When::Kept, "all tenants, at one manager", bytes(tenants), limit, paths::DATASTORES);
    let of_services = bytes(tenants * sizes.scope_share());
    table.judge(When::Kept, "its services' tenants, at one manager", of_services, limit, THROUGH_RELAYS);
    let routes = sizes.changes_bytes(requirements::ROUTES);
    table.judge(When::Kept, "all routes, at one manager", bytes(routes), limit, paths::DATASTORES);
    let of_services = bytes(routes * sizes.scope_share());
    table.judge(When::Kept, "its services' routes, at one manager", of_services, limit, THROUGH_RELAYS);
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let day = When::OrdinaryDay;
    let changes = sizes.changes_per_second();
    table.tell(day, "changes", per_second(changes), paths::DATASTORES);
    let everywhere = per_second(changes * requirements::MANAGERS);
    table.tell(day, "commits, each change at each manager", everywhere, THROUGH_RELAYS);
    let concerned = per_second(changes * requirements::MANAGERS * sizes.change_share());
    table.tell(day, "commits, each change where it concerns one", concerned, THROUGH_RELAYS);
    let limit = Limit::letter(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    let all = bytes_per_second(sizes.changes_bytes(changes));
    table.judge(day, "all changes, at one manager", all, limit, paths::DATASTORES);
    let of_services = bytes_per_second(traffic::configuration(sizes));
    table.judge(day, "its services' changes, at one manager", of_services, limit, THROUGH_RELAYS);
    let in_force = Limit::letter(requirements::CHANGE_IN_FORCE_SECONDS, Unit::Seconds);
    let one = series::CHANGE_IN_FORCE.at(measured, sizes.proxies_per_manager());
    table.judge(day, "commit to held by all proxies of one manager", one, in_force, paths::DATASTORES);
    let relayed = series::CHANGE_IN_FORCE_BY_RELAY.at(measured, requirements::MANAGERS);
    table.judge(day, "commit to in force everywhere", relayed, in_force, THROUGH_RELAYS);
}

fn worst_minutes(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let when = When::Worst(Failure::RegionCut);
    let missed = sizes.changes_per_second() * requirements::REGION_CUT_SECONDS;
    table.tell(when, "changes missed", count(missed), THROUGH_RELAYS);
    let all = sizes.changes_bytes(missed);
    table.tell(when, "bytes of them, at one control machine", bytes(all), THROUGH_RELAYS);
    let in_force = Limit::letter(requirements::CHANGE_IN_FORCE_SECONDS, Unit::Seconds);
    let at_budget = seconds(all / requirements::MANAGER_BYTES_PER_SECOND);
    table.judge(when, "all of them at one manager, at 5 KB/s", at_budget, in_force, THROUGH_RELAYS);
    let of_services = seconds(all * sizes.change_share() / requirements::MANAGER_BYTES_PER_SECOND);
    table.judge(when, "its services' of them, at 5 KB/s", of_services, in_force, THROUGH_RELAYS);
}
