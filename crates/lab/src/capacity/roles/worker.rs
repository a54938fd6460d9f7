//! A worker: who lists it, who may pick it, and what control asks of it.

use super::{bytes, count, Inputs, Table};
use crate::capacity::figure::Figure;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::row::{Failure, Mechanism, Role, Row, When};
use crate::capacity::wire;

/// The worst cost of one probe at the sites, in seconds of work.
const PROBE_SECONDS: f64 = 0.0059;

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let sizes = &inputs.sizes;
    let mut table = Table::new(Role::Worker);
    let managers = sizes.managers_per_service();
    let proxies = managers * sizes.proxies_per_manager();
    table.tell(When::Kept, "managers that list it", count(managers), paths::SCOPE);
    table.tell(When::Kept, "proxies that may pick it", count(proxies), paths::PLANNER);
    let probes = Figure::computed(managers * PROBE_SECONDS, Unit::Cores);
    table.tell(
        When::OrdinaryDay,
        "probes, were each manager to send one a second (it sends none)",
        probes,
        Mechanism::None,
    );
    let lines = bytes(proxies * wire::order_line_bytes());
    table.tell(When::OrdinaryDay, "orders that one change of it brings about", lines, paths::PLANNER);
    let cold = count(sizes.workers_per_zone());
    table.tell(When::Worst(Failure::ZoneBack), "workers that are cold at once", cold, paths::PLANNER);
    let agreed = Mechanism::Missing("agreement among managers on a cold worker's part");
    table.tell(
        When::Worst(Failure::ZoneBack),
        "managers that each ease one in by themselves",
        count(managers),
        agreed,
    );
    let region = count(sizes.workers_per_region());
    table.tell(
        When::Worst(Failure::RegionCut),
        "workers that others may have taken for gone",
        region,
        paths::PLANNER,
    );
    table.rows
}
