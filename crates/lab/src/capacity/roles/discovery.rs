//! Discovery, the source of the list: the watches that it serves and the bytes that it sends.

use super::{bytes, bytes_per_second, count, Inputs, Table};
use crate::capacity::paths;
use crate::capacity::row::{Failure, Role, Row, Scenario};
use crate::capacity::{requirements, traffic};

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let sizes = &inputs.sizes;
    let mut table = Table::new(Role::Discovery);
    let steady_state = Scenario::SteadyState;
    table.add(
        steady_state,
        "watches served, with one per manager",
        count(requirements::MANAGERS),
        paths::DISCOVERY_WATCH,
    );
    table.add(
        steady_state,
        "watches served, with one per control machine",
        count(requirements::CONTROL_MACHINES),
        paths::RELAY,
    );
    let full_list = bytes(sizes.list_bytes());
    table.add(steady_state, "bytes of the complete list, one line of a watch", full_list, paths::LIST_READER);

    let ordinary_day = Scenario::OrdinaryDay;
    let watch = traffic::full_list(sizes) + traffic::heartbeats();
    let direct = bytes_per_second(requirements::MANAGERS * watch);
    table.add(ordinary_day, "bytes sent, with one watch per manager", direct, paths::DISCOVERY_WATCH);
    let relayed = bytes_per_second(requirements::CONTROL_MACHINES * watch);
    table.add(ordinary_day, "bytes sent, with one watch per control machine", relayed, paths::RELAY);

    let zone_entries = bytes(requirements::CONTROL_MACHINES * sizes.entries_bytes(sizes.workers_per_zone()));
    let zone_recovered = Scenario::WorstCase(Failure::ZoneRecovered);
    table.add(
        zone_recovered,
        "list entries of the affected workers, sent to all control machines",
        zone_entries,
        paths::RELAY,
    );
    let region_bytes = sizes.entries_bytes(sizes.workers_per_region());
    let region_partitioned = Scenario::WorstCase(Failure::RegionPartitioned);
    let region_entries = bytes(requirements::CONTROL_MACHINES * region_bytes);
    table.add(
        region_partitioned,
        "list entries of the affected workers, sent to all control machines",
        region_entries,
        paths::RELAY,
    );
    let all_restarted = Scenario::WorstCase(Failure::AllControlMachinesRestarted);
    let relayed = bytes(requirements::CONTROL_MACHINES * sizes.list_bytes());
    table.add(all_restarted, "complete lists sent, one per control machine", relayed, paths::RELAY);
    let direct = bytes(requirements::MANAGERS * sizes.list_bytes());
    table.add(
        all_restarted,
        "complete lists sent if every manager watched discovery itself",
        direct,
        paths::DISCOVERY_WATCH,
    );
    table.rows
}
