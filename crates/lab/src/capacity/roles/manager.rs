//! A manager: what it keeps of the list, and what control costs it.

use super::{bytes, bytes_per_second, count, per_second, seconds, Inputs, Table};
use crate::capacity::assumptions::Assumption;
use crate::capacity::figure::Figure;
use crate::capacity::paths;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, When};
use crate::capacity::series::Series;
use crate::capacity::series_measured as series;
use crate::capacity::{quantity::Unit, requirements, traffic, wire};

/// Bytes of entries that a manager takes of one list.
const MOST_KEPT_BYTES: f64 = 16.0 * 1024.0 * 1024.0;

fn memory_limit() -> Limit {
    Limit::letter(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes)
}

fn processor_limit() -> Limit {
    Limit::letter(requirements::MANAGER_CORES, Unit::Cores)
}

fn traffic_limit() -> Limit {
    Limit::letter(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond)
}

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::Manager);
    kept_each(inputs, &mut table);
    kept_of_whole_list(inputs, &mut table);
    kept_of_services(inputs, &mut table);
    processor_time_of_lists(inputs, &mut table);
    processor_time_together(inputs, &mut table);
    bytes_read(inputs, &mut table);
    list_changes(inputs, &mut table);
    region_cut(inputs, &mut table);
    list_taken_anew(inputs, &mut table);
    table.rows
}

fn kept_of_whole_list(inputs: &Inputs<'_>, table: &mut Table) {
    let entries = bytes(inputs.sizes.list_bytes());
    let most = Limit::program(MOST_KEPT_BYTES, Unit::Bytes);
    table.judge(When::Kept, "entries taken without a scope", entries, most, paths::LIST_ASSEMBLER);
    let memory = series::MANAGER_MEMORY.at(inputs.measured, requirements::WORKERS);
    table.judge(When::Kept, "memory with the whole list", memory, memory_limit(), paths::ROSTER);
    let most = series::MANAGER_MEMORY.reaches(inputs.measured, requirements::MANAGER_MEMORY_BYTES);
    let all = Limit::reached(requirements::WORKERS);
    table.judge(When::Kept, "workers listed that 32 MB bear", most, all, paths::ROSTER);
}

/// Bytes by thing kept.
fn kept_each(inputs: &Inputs<'_>, table: &mut Table) {
    let each = |series: Series| series.each(inputs.measured);
    table.tell(When::Kept, "memory for each worker", each(series::MANAGER_MEMORY), paths::ROSTER);
    table.tell(When::Kept, "memory for each proxy", each(series::MANAGER_MEMORY_BY_PROXIES), paths::PLANE);
    let operation = each(series::MANAGER_MEMORY_BY_OPERATIONS);
    table.tell(When::Kept, "memory for each operation", operation, paths::PLANNER);
}

fn kept_of_services(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    table.tell(When::Kept, "workers of its services", count(sizes.workers_in_scope()), paths::MANAGER_SCOPE);
    table.tell(When::Kept, "their entries, as sent", bytes(sizes.snapshot_bytes()), paths::MANAGER_SCOPE);
    let by_zone = series::MANAGER_MEMORY.at(measured, sizes.workers_per_zone());
    table.judge(When::Kept, "memory with its zone's workers", by_zone, memory_limit(), paths::MANAGER_SCOPE);
    let scoped = series::SCOPED_MEMORY.figure(measured);
    let scoped = scoped.or(series::MANAGER_MEMORY.at(measured, sizes.workers_in_scope()));
    table.judge(
        When::Kept,
        "memory with its services' workers",
        scoped,
        memory_limit(),
        paths::MANAGER_SCOPE,
    );
    // Measured with more workers than a service has, so that its proxies and operations alone are added.
    let by_proxies = series::MANAGER_MEMORY_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let by_operations = series::MANAGER_MEMORY_BY_OPERATIONS.growth(measured, sizes.operations_per_manager());
    let together = by_proxies.plus(by_operations);
    let name = "memory with its workers, proxies and operations";
    table.judge(When::Kept, name, together, memory_limit(), paths::PLANE);
}

fn processor_time_of_lists(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let when = When::OrdinaryDay;
    let processor = |workers| series::MANAGER_PROCESSOR.at(measured, workers);
    let whole = processor(requirements::WORKERS);
    table.judge(when, "processor time with the whole list", whole, processor_limit(), paths::ROSTER);
    let most = series::MANAGER_PROCESSOR.reaches(measured, requirements::MANAGER_CORES);
    let all = Limit::reached(requirements::WORKERS);
    table.judge(when, "workers listed that 1.3% of a core bears", most, all, paths::ROSTER);
    let by_zone = processor(sizes.workers_per_zone());
    table.judge(
        when,
        "processor time with its zone's workers",
        by_zone,
        processor_limit(),
        paths::MANAGER_SCOPE,
    );
    let scoped = series::SCOPED_PROCESSOR.figure(measured);
    let scoped = scoped.or(processor(sizes.workers_in_scope()));
    table.judge(
        when,
        "processor time with its services' workers",
        scoped,
        processor_limit(),
        paths::MANAGER_SCOPE,
    );
}

fn processor_time_together(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let when = When::OrdinaryDay;
    let reports = traffic::outcome_lines(sizes) + traffic::demand_lines(sizes);
    let by_reports = series::MANAGER_PROCESSOR_BY_REPORTS.growth(measured, reports);
    table.judge(when, "processor time that sums add", by_reports.clone(), processor_limit(), paths::PLANNER);
    // Measured with more workers than a service has, so that operations and sums alone are added.
    let by_proxies = series::MANAGER_PROCESSOR_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let by_operations =
        series::MANAGER_PROCESSOR_BY_OPERATIONS.growth(measured, sizes.operations_per_manager());
    let together = by_proxies.plus(by_operations).plus(by_reports);
    let name = "processor time with its workers, proxies, operations and sums";
    table.judge(when, name, together, processor_limit(), paths::PLANNER);
}

fn bytes_read(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let when = When::OrdinaryDay;
    let changes = sizes.entries_per_second();
    let watch = |changes: f64, computed: f64| {
        let measured = series::MANAGER_BYTES_IN_BY_CHANGES.at(measured, changes);
        measured.or(bytes_per_second(computed + traffic::heartbeats()))
    };
    let whole = watch(changes, traffic::whole_list(sizes));
    table.judge(when, "watch of the whole list", whole, traffic_limit(), paths::WATCH);
    let entries = per_second(changes * sizes.scope_share());
    table.tell(when, "entries of its services that change", entries, paths::MANAGER_SCOPE);
    let scoped = series::SCOPED_BYTES_IN.figure(measured);
    let scoped = scoped.or(watch(changes * sizes.scope_share(), traffic::scope(sizes)));
    table.judge(when, "watch of its services", scoped.clone(), traffic_limit(), paths::MANAGER_SCOPE);
    let configuration = bytes_per_second(traffic::configuration(sizes));
    let read = scoped.plus(configuration).plus(sums_read(inputs));
    let budget = Mechanism::Missing("a byte budget");
    table.judge(when, "all that it reads: list, configuration, sums", read, traffic_limit(), budget);
}

/// Bytes a second of sums, on workers and on demand.
fn sums_read(inputs: &Inputs<'_>) -> Figure {
    let sizes = &inputs.sizes;
    let lines = traffic::outcome_lines(sizes);
    let outcomes = series::MANAGER_BYTES_IN_BY_REPORTS.growth(inputs.measured, lines);
    let outcomes = outcomes.or(bytes_per_second(traffic::outcomes(sizes)));
    outcomes.plus(bytes_per_second(traffic::demand(sizes)))
}

fn list_changes(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let entries = |workers: f64| bytes(sizes.entries_bytes(workers));
    let rack = sizes.assumed(Assumption::RackMachines) * sizes.assumed(Assumption::WorkersPerMachine);
    let name = "entries, were all its workers of one service of this manager";
    table.tell(When::Worst(Failure::Rack), name, entries(rack), paths::MANAGER_SCOPE);
    let zone = sizes.workers_per_zone();
    let back = When::Worst(Failure::ZoneBack);
    let name = "entries, one a worker, where it watches that zone or all";
    table.tell(back, name, entries(zone), paths::WATCH);
    let of_services = entries(zone * sizes.scope_share());
    table.tell(back, "entries, one a worker, of its services", of_services, paths::MANAGER_SCOPE);
}

fn region_cut(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let when = When::Worst(Failure::RegionCut);
    let behind = sizes.entries_per_second() * requirements::REGION_CUT_SECONDS;
    let entries = |workers: f64| bytes(sizes.entries_bytes(workers * sizes.scope_share()));
    table.tell(when, "there: entries missed of its services", entries(behind), paths::VERSIONS);
    let snapshot = bytes(sizes.snapshot_bytes());
    table.tell(when, "there: a snapshot of its services instead", snapshot, paths::MANAGER_SCOPE);
    let region = entries(sizes.workers_per_region());
    table.tell(when, "elsewhere: its services' workers of that region", region, paths::MANAGER_SCOPE);
}

fn list_taken_anew(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let dead = When::Worst(Failure::ControlMachineDead);
    let unnoticed = seconds(wire::SILENT_AFTER_SECONDS);
    table.tell(dead, "until a watch that went silent is dialled again", unnoticed, paths::WATCH);
    let snapshot = bytes(sizes.snapshot_bytes());
    table.tell(dead, "a snapshot from another, at most", snapshot, paths::MANAGER_SCOPE);
    let all = When::Worst(Failure::AllRestarted);
    let at_budget = |bytes: f64| seconds(bytes / requirements::MANAGER_BYTES_PER_SECOND);
    table.tell(all, "the whole list at 5 KB/s", at_budget(sizes.list_bytes()), paths::WATCH);
    let zone = at_budget(sizes.entries_bytes(sizes.workers_per_zone()));
    let named = Mechanism::Missing("entries that name their service");
    table.tell(all, "its zone's workers at 5 KB/s", zone, named);
    let services = at_budget(sizes.snapshot_bytes());
    table.tell(all, "its services' workers at 5 KB/s", services, paths::MANAGER_SCOPE);
}
