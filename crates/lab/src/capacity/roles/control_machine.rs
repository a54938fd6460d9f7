//! A machine set aside for control: a relay that holds the whole list once and is watched by managers.

use super::{bytes, bytes_per_second, count, per_second, Inputs, Table};
use crate::capacity::assumptions::{Assumption, Sizes};
use crate::capacity::paths;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, When};
use crate::capacity::series_measured as series;
use crate::capacity::{quantity::Unit, requirements, traffic, wire};

/// Subscribers that a relay takes.
const MOST_SUBSCRIBERS: f64 = 1_024.0;
/// Versions from which a relay can tell a subscriber the difference.
const MOST_VERSIONS: f64 = 65_536.0;

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::ControlMachine);
    kept(inputs, &mut table);
    ordinary_day(inputs, &mut table);
    lists_change(inputs, &mut table);
    machines_start_anew(inputs, &mut table);
    table.rows
}

fn kept(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let subscribers = sizes.managers_per_control_machine();
    let when = When::Kept;
    let most = Limit::program(MOST_SUBSCRIBERS, Unit::Count);
    table.judge(when, "managers that watch it", count(subscribers), most, paths::RELAY);
    let needed = count(requirements::MANAGERS / MOST_SUBSCRIBERS);
    let machines = Limit::letter(requirements::CONTROL_MACHINES, Unit::Count);
    table.judge(when, "machines that could take all managers", needed, machines, paths::RELAY);
    table.tell(when, "the whole list, as sent", bytes(sizes.list_bytes()), paths::RELAY);
    let worker = series::RELAY_MEMORY_BY_WORKERS.each(measured);
    table.tell(when, "memory for each worker", worker, paths::RELAY);
    let manager = series::RELAY_MEMORY_BY_SUBSCRIBERS.each(measured);
    table.tell(when, "memory for each manager", manager, paths::RELAY);
    let memory = series::RELAY_MEMORY.figure(measured);
    table.tell(when, "memory with the whole list and its managers", memory, paths::RELAY);
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let subscribers = sizes.managers_per_control_machine();
    let when = When::OrdinaryDay;
    let read = series::RELAY_BYTES_IN.figure(measured);
    let read = read.or(bytes_per_second(traffic::whole_list(sizes)));
    table.tell(when, "bytes in", read, paths::RELAY);
    let heartbeats = per_second(subscribers / wire::HEARTBEAT_PERIOD_SECONDS);
    table.tell(when, "empty lines out", heartbeats, paths::RELAY);
    let scoped = subscribers * (traffic::scope(sizes) + traffic::heartbeats());
    table.tell(when, "bytes out by services", bytes_per_second(scoped), paths::SCOPE);
    let timed = series::RELAY_BYTES_OUT.figure(measured);
    table.tell(when, "bytes out, and one change a second that all its managers need", timed, paths::RELAY);
    let whole = subscribers * (traffic::whole_list(sizes) + traffic::heartbeats());
    table.tell(when, "bytes out, were all to watch the whole list", bytes_per_second(whole), paths::RELAY);
    let processor = series::RELAY_PROCESSOR.figure(measured);
    table.tell(when, "processor time", processor, paths::RELAY);
    let manager = series::RELAY_PROCESSOR_BY_SUBSCRIBERS.each(measured);
    table.tell(when, "processor time for each manager", manager, paths::RELAY);
    let delay = series::RELAY_DELAY.figure(measured);
    let in_force = Limit::letter(requirements::CHANGE_IN_FORCE_SECONDS, Unit::Seconds);
    table.judge(when, "a changed entry until the last manager has it, p99", delay, in_force, paths::RELAY);
}

/// Bytes that one control machine sends for so many changed entries, each to the managers that need it.
fn sent(sizes: &Sizes, entries: f64) -> f64 {
    sizes.entries_bytes(entries) * sizes.managers_per_service() / requirements::CONTROL_MACHINES
}

fn lists_change(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let rack = sizes.assumed(Assumption::RackMachines) * sizes.assumed(Assumption::WorkersPerMachine);
    let failures = [
        (Failure::Rack, rack),
        (Failure::ZoneBack, sizes.workers_per_zone()),
        (Failure::RegionCut, sizes.workers_per_region()),
    ];
    for (failure, workers) in failures {
        let when = When::Worst(failure);
        table.tell(when, "entries in, one a worker", bytes(sizes.entries_bytes(workers)), paths::RELAY);
        table.tell(when, "bytes out by services", bytes(sent(sizes, workers)), paths::SCOPE);
    }
    let when = When::Worst(Failure::RegionCut);
    let behind = sizes.entries_per_second() * requirements::REGION_CUT_SECONDS;
    let remembered = Limit::program(MOST_VERSIONS, Unit::Count);
    table.judge(when, "there: versions behind, at most", count(behind), remembered, paths::VERSIONS);
    let difference = bytes(sizes.entries_bytes(behind));
    table.tell(when, "there: the difference", difference, paths::VERSIONS);
    table.tell(when, "there: a whole list instead", bytes(sizes.list_bytes()), paths::RELAY);
    regions_not_heeded(table);
}

/// What it means that the choice of a relay knows no regions.
fn regions_not_heeded(table: &mut Table) {
    let when = When::Worst(Failure::RegionCut);
    let heeded = Mechanism::Missing("a choice of relay that heeds regions");
    let elsewhere = requirements::MANAGERS / requirements::REGIONS * (1.0 - 1.0 / requirements::REGIONS);
    table.tell(when, "there: managers whose relay is elsewhere", count(elsewhere), heeded);
    let own = requirements::CONTROL_MACHINES / requirements::REGIONS;
    // The expected place of the first of `own` in a random order of all.
    let asked = (requirements::CONTROL_MACHINES + 1.0) / (own + 1.0);
    table.tell(when, "there: relays asked until one of the region is met", count(asked), heeded);
}

fn machines_start_anew(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let subscribers = sizes.managers_per_control_machine();
    let snapshots = |managers: f64| bytes(managers * sizes.snapshot_bytes());
    let lost = When::Worst(Failure::ZoneLost);
    let with_it = count(requirements::CONTROL_MACHINES / requirements::ZONES);
    table.tell(lost, "control machines lost with it, if spread evenly", with_it, paths::RELAY_CHOICE);
    let zone = When::Worst(Failure::ZoneBack);
    let returning = sizes.managers_per_zone() / requirements::CONTROL_MACHINES;
    table.tell(zone, "managers that come to each", count(returning), paths::RELAY_CHOICE);
    table.tell(zone, "snapshots for them by services", snapshots(returning), paths::SCOPE);
    let dead = When::Worst(Failure::ControlMachineDead);
    let taken_over = series::RELAY_TAKEN_OVER.figure(inputs.measured);
    table.tell(dead, "one other takes all: until the last is served", taken_over, paths::RELAY);
    let memory = series::RELAY_MEMORY_TWICE.figure(inputs.measured);
    table.tell(dead, "one other takes all: its memory", memory, paths::RELAY);
    let processor = series::RELAY_PROCESSOR_TWICE.figure(inputs.measured);
    table.tell(dead, "one other takes all: its processor time", processor, paths::RELAY);
    let shared = subscribers / (requirements::CONTROL_MACHINES - 1.0);
    table.tell(dead, "managers that come to each other one", count(shared), paths::RELAY_CHOICE);
    table.tell(dead, "snapshots for them by services, at most", snapshots(shared), paths::SCOPE);
    let whole = bytes(shared * sizes.list_bytes());
    table.tell(dead, "snapshots for them, were they whole lists", whole, paths::RELAY);
    let all = When::Worst(Failure::AllRestarted);
    let pace = Mechanism::Missing("snapshots at a pace");
    table.tell(all, "snapshots for its managers by services", snapshots(subscribers), pace);
    let whole = bytes(subscribers * sizes.list_bytes());
    table.tell(all, "snapshots for its managers, were they whole lists", whole, pace);
}
