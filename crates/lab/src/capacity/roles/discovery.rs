//! The source of the list: who watches it, and what it sends.

use super::{bytes, bytes_per_second, count, Inputs, Table};
use crate::capacity::paths;
use crate::capacity::row::{Failure, Role, Row, When};
use crate::capacity::{requirements, traffic};

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let sizes = &inputs.sizes;
    let mut table = Table::new(Role::Discovery);
    let kept = When::Kept;
    table.tell(kept, "watches, one a manager", count(requirements::MANAGERS), paths::WATCH);
    table.tell(kept, "watches, one a control machine", count(requirements::CONTROL_MACHINES), paths::RELAY);
    let line = bytes(sizes.list_bytes());
    table.tell(kept, "the whole list, one line of a watch", line, paths::LIST_READER);

    let day = When::OrdinaryDay;
    let watch = traffic::whole_list(sizes) + traffic::heartbeats();
    let direct = bytes_per_second(requirements::MANAGERS * watch);
    table.tell(day, "bytes out, one watch a manager", direct, paths::WATCH);
    let relayed = bytes_per_second(requirements::CONTROL_MACHINES * watch);
    table.tell(day, "bytes out, one watch a control machine", relayed, paths::RELAY);

    let zone = bytes(requirements::CONTROL_MACHINES * sizes.entries_bytes(sizes.workers_per_zone()));
    let back = When::Worst(Failure::ZoneBack);
    table.tell(back, "its workers' entries, to all control machines", zone, paths::RELAY);
    let region = sizes.entries_bytes(sizes.workers_per_region());
    let cut = When::Worst(Failure::RegionCut);
    let out = bytes(requirements::CONTROL_MACHINES * region);
    table.tell(cut, "its workers' entries, to all control machines", out, paths::RELAY);
    let all = When::Worst(Failure::AllRestarted);
    let relayed = bytes(requirements::CONTROL_MACHINES * sizes.list_bytes());
    table.tell(all, "whole lists, one a control machine", relayed, paths::RELAY);
    let direct = bytes(requirements::MANAGERS * sizes.list_bytes());
    table.tell(all, "whole lists, were managers to watch it themselves", direct, paths::WATCH);
    table.rows
}
