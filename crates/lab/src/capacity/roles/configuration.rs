//! Configuration: the state at a manager, the rate of changes, and the time until a change takes effect.

use super::{bytes, bytes_per_second, count, per_second, seconds, Inputs, Table};
use crate::capacity::assumptions::Assumption;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, Scenario};
use crate::capacity::series_measured as series;
use crate::capacity::{requirements, traffic};

const THROUGH_RELAYS: Mechanism = Mechanism::Missing("configuration distributed through the relays");

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::Configuration);
    steady_state(inputs, &mut table);
    ordinary_day(inputs, &mut table);
    worst_cases(inputs, &mut table);
    table.rows
}

fn steady_state(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let limit = Limit::required(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes);
    let tenant_bytes = requirements::TENANTS * sizes.assumed(Assumption::TenantBytes);
    table.add_limited(
        Scenario::SteadyState,
        "configuration of all tenants, at one manager",
        bytes(tenant_bytes),
        limit,
        paths::DATASTORES,
    );
    let service_tenant_bytes = bytes(tenant_bytes * sizes.scope_share());
    table.add_limited(
        Scenario::SteadyState,
        "configuration of the tenants of the manager's services",
        service_tenant_bytes,
        limit,
        THROUGH_RELAYS,
    );
    let route_bytes = sizes.changes_bytes(requirements::ROUTES);
    table.add_limited(
        Scenario::SteadyState,
        "configuration of all routes, at one manager",
        bytes(route_bytes),
        limit,
        paths::DATASTORES,
    );
    let service_route_bytes = bytes(route_bytes * sizes.scope_share());
    table.add_limited(
        Scenario::SteadyState,
        "configuration of the routes of the manager's services",
        service_route_bytes,
        limit,
        THROUGH_RELAYS,
    );
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let ordinary_day = Scenario::OrdinaryDay;
    let changes = sizes.changes_per_second();
    table.add(ordinary_day, "configuration changes in the fleet", per_second(changes), paths::DATASTORES);
    let at_every_manager = per_second(changes * requirements::MANAGERS);
    table.add(
        ordinary_day,
        "commits in the fleet, with each change committed at every manager",
        at_every_manager,
        THROUGH_RELAYS,
    );
    let at_concerned_managers = per_second(changes * requirements::MANAGERS * sizes.change_share());
    table.add(
        ordinary_day,
        "commits in the fleet, with each change committed only at the managers that it concerns",
        at_concerned_managers,
        THROUGH_RELAYS,
    );
    let limit = Limit::required(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond);
    let all_changes = bytes_per_second(sizes.changes_bytes(changes));
    table.add_limited(
        ordinary_day,
        "bytes of all configuration changes, at one manager",
        all_changes,
        limit,
        paths::DATASTORES,
    );
    let service_changes = bytes_per_second(traffic::configuration(sizes));
    table.add_limited(
        ordinary_day,
        "bytes of the configuration changes of the manager's services",
        service_changes,
        limit,
        THROUGH_RELAYS,
    );
    let in_force_limit = Limit::required(requirements::CHANGE_IN_FORCE_SECONDS, Unit::Seconds);
    let at_one_manager = series::CHANGE_IN_FORCE.at(measured, sizes.proxies_per_manager());
    table.add_limited(
        ordinary_day,
        "time from a commit until all proxies of one manager hold the change",
        at_one_manager,
        in_force_limit,
        paths::DATASTORES,
    );
    let through_relays = series::CHANGE_IN_FORCE_THROUGH_RELAYS.at(measured, requirements::MANAGERS);
    table.add_limited(
        ordinary_day,
        "time from a commit until the change is in force everywhere",
        through_relays,
        in_force_limit,
        THROUGH_RELAYS,
    );
}

fn worst_cases(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let scenario = Scenario::WorstCase(Failure::RegionPartitioned);
    let missed_changes = sizes.changes_per_second() * requirements::REGION_PARTITION_SECONDS;
    table.add(
        scenario,
        "configuration changes missed during the partition",
        count(missed_changes),
        THROUGH_RELAYS,
    );
    let missed_bytes = sizes.changes_bytes(missed_changes);
    table.add(
        scenario,
        "bytes of the missed changes at one control machine",
        bytes(missed_bytes),
        THROUGH_RELAYS,
    );
    let in_force_limit = Limit::required(requirements::CHANGE_IN_FORCE_SECONDS, Unit::Seconds);
    let catch_up_time = seconds(missed_bytes / requirements::MANAGER_BYTES_PER_SECOND);
    table.add_limited(
        scenario,
        "transfer time of all missed changes to one manager at 5 KB/s",
        catch_up_time,
        in_force_limit,
        THROUGH_RELAYS,
    );
    let service_catch_up_time =
        seconds(missed_bytes * sizes.change_share() / requirements::MANAGER_BYTES_PER_SECOND);
    table.add_limited(
        scenario,
        "transfer time of the missed changes of the manager's services at 5 KB/s",
        service_catch_up_time,
        in_force_limit,
        THROUGH_RELAYS,
    );
}
