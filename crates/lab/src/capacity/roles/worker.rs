//! A worker: the managers that list it, the proxies that may select it, and the load that control causes for it.

use super::{bytes, count, Inputs, Table};
use crate::capacity::figure::Figure;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Mechanism, Role, Row, Scenario};
use crate::capacity::wire;

/// Highest cost of one probe at any site, in seconds of processor time.
const PROBE_SECONDS: f64 = 0.0059;

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let sizes = &inputs.sizes;
    let mut table = Table::new(Role::Worker);
    let managers = sizes.managers_per_service();
    let proxies = managers * sizes.proxies_per_manager();
    table.add(Scenario::SteadyState, "managers that list one worker", count(managers), paths::SCOPE);
    table.add(Scenario::SteadyState, "proxies that may select one worker", count(proxies), paths::PLANNER);
    let probes = Figure::computed(managers * PROBE_SECONDS, Unit::Cores);
    table.add(
        Scenario::OrdinaryDay,
        "processor time for probes if each manager sent one per second (managers send none)",
        probes,
        Mechanism::None,
    );
    let lines = bytes(proxies * wire::order_line_bytes());
    table.add(
        Scenario::OrdinaryDay,
        "bytes of orders caused by one change of a worker",
        lines,
        paths::PLANNER,
    );
    let cold_workers = count(sizes.workers_per_zone());
    table.add(
        Scenario::WorstCase(Failure::ZoneRecovered),
        "workers that are cold at the same time",
        cold_workers,
        paths::PLANNER,
    );
    let shared_warm_up = Mechanism::Missing("agreement among managers on the load share of a cold worker");
    table.add(
        Scenario::WorstCase(Failure::ZoneRecovered),
        "managers that warm up the same worker independently",
        count(managers),
        shared_warm_up,
    );
    let region = count(sizes.workers_per_region());
    table.add(
        Scenario::WorstCase(Failure::RegionPartitioned),
        "workers that managers in other regions may have considered gone",
        region,
        paths::PLANNER,
    );
    table.rows
}
