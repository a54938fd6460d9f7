//! A manager: the memory, the processor time and the traffic that control takes, by the part of the list that the
//! manager holds.

use super::{bytes, bytes_per_second, count, per_second, seconds, Inputs, Table};
use crate::capacity::assumptions::Assumption;
use crate::capacity::figure::Figure;
use crate::capacity::paths;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, Scenario};
use crate::capacity::series::Series;
use crate::capacity::series_measured as series;
use crate::capacity::{quantity::Unit, requirements, traffic, wire};

/// Maximum size of the entries that a manager accepts from one list, in bytes.
const MAX_LIST_BYTES: f64 = 16.0 * 1024.0 * 1024.0;

fn memory_limit() -> Limit {
    Limit::required(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes)
}

fn processor_limit() -> Limit {
    Limit::required(requirements::MANAGER_CORES, Unit::Cores)
}

fn traffic_limit() -> Limit {
    Limit::required(requirements::MANAGER_BYTES_PER_SECOND, Unit::BytesPerSecond)
}

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::Manager);
    memory_per_item(inputs, &mut table);
    state_of_full_list(inputs, &mut table);
    state_of_scope(inputs, &mut table);
    processor_time_by_list(inputs, &mut table);
    total_processor_time(inputs, &mut table);
    bytes_read(inputs, &mut table);
    list_changes(inputs, &mut table);
    region_partition(inputs, &mut table);
    list_resynchronization(inputs, &mut table);
    table.rows
}

fn state_of_full_list(inputs: &Inputs<'_>, table: &mut Table) {
    let entries = bytes(inputs.sizes.list_bytes());
    let max_entries = Limit::program(MAX_LIST_BYTES, Unit::Bytes);
    table.add_limited(
        Scenario::SteadyState,
        "bytes of list entries in one list, without a scope",
        entries,
        max_entries,
        paths::LIST_ASSEMBLER,
    );
    let memory = series::MANAGER_MEMORY.at(inputs.measured, requirements::WORKERS);
    table.add_limited(
        Scenario::SteadyState,
        "memory with the complete list",
        memory,
        memory_limit(),
        paths::WORKER_REGISTRY,
    );
    let max_workers =
        series::MANAGER_MEMORY.size_at_limit(inputs.measured, requirements::MANAGER_MEMORY_BYTES);
    let required_workers = Limit::required_at_least(requirements::WORKERS);
    table.add_limited(
        Scenario::SteadyState,
        "listed workers that fit into 32 MB of memory",
        max_workers,
        required_workers,
        paths::WORKER_REGISTRY,
    );
}

/// Memory for each worker, proxy and operation.
fn memory_per_item(inputs: &Inputs<'_>, table: &mut Table) {
    let growth = |series: Series| series.growth_per_unit(inputs.measured);
    table.add(
        Scenario::SteadyState,
        "memory per listed worker",
        growth(series::MANAGER_MEMORY),
        paths::WORKER_REGISTRY,
    );
    table.add(
        Scenario::SteadyState,
        "memory per joined proxy",
        growth(series::MANAGER_MEMORY_BY_PROXIES),
        paths::ORDER_WRITER,
    );
    let per_operation = growth(series::MANAGER_MEMORY_BY_OPERATIONS);
    table.add(Scenario::SteadyState, "memory per operation", per_operation, paths::PLANNER);
}

fn state_of_scope(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    table.add(
        Scenario::SteadyState,
        "workers of the manager's services",
        count(sizes.workers_in_scope()),
        paths::MANAGER_SCOPE,
    );
    table.add(
        Scenario::SteadyState,
        "bytes of the list entries of these workers, as sent",
        bytes(sizes.snapshot_bytes()),
        paths::MANAGER_SCOPE,
    );
    let by_zone = series::MANAGER_MEMORY.at(measured, sizes.workers_per_zone());
    table.add_limited(
        Scenario::SteadyState,
        "memory with the workers of the manager's zone listed",
        by_zone,
        memory_limit(),
        paths::MANAGER_SCOPE,
    );
    let scoped = series::SCOPED_MEMORY.look_up(measured);
    let scoped = scoped.or(series::MANAGER_MEMORY.at(measured, sizes.workers_in_scope()));
    table.add_limited(
        Scenario::SteadyState,
        "memory with the workers of the manager's services listed",
        scoped,
        memory_limit(),
        paths::MANAGER_SCOPE,
    );
    // The run by proxies had more workers than a service has, so it already includes the workers. Only the growth by
    // operations is added to it.
    let by_proxies = series::MANAGER_MEMORY_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let by_operations = series::MANAGER_MEMORY_BY_OPERATIONS.growth(measured, sizes.operations_per_manager());
    let total = by_proxies.plus(by_operations);
    let name = "memory with the manager's workers, proxies and operations";
    table.add_limited(Scenario::SteadyState, name, total, memory_limit(), paths::ORDER_WRITER);
}

fn processor_time_by_list(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let scenario = Scenario::OrdinaryDay;
    let processor = |workers| series::MANAGER_PROCESSOR.at(measured, workers);
    let by_full_list = processor(requirements::WORKERS);
    table.add_limited(
        scenario,
        "processor time with the complete list",
        by_full_list,
        processor_limit(),
        paths::WORKER_REGISTRY,
    );
    let max_workers = series::MANAGER_PROCESSOR.size_at_limit(measured, requirements::MANAGER_CORES);
    let required_workers = Limit::required_at_least(requirements::WORKERS);
    table.add_limited(
        scenario,
        "listed workers that 1.3% of a core can handle",
        max_workers,
        required_workers,
        paths::WORKER_REGISTRY,
    );
    let by_zone = processor(sizes.workers_per_zone());
    table.add_limited(
        scenario,
        "processor time with the workers of the manager's zone listed",
        by_zone,
        processor_limit(),
        paths::MANAGER_SCOPE,
    );
    let scoped = series::SCOPED_PROCESSOR.look_up(measured);
    let scoped = scoped.or(processor(sizes.workers_in_scope()));
    table.add_limited(
        scenario,
        "processor time with the workers of the manager's services listed",
        scoped,
        processor_limit(),
        paths::MANAGER_SCOPE,
    );
}

fn total_processor_time(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let scenario = Scenario::OrdinaryDay;
    let reports = traffic::outcome_lines(sizes) + traffic::demand_lines(sizes);
    let by_reports = series::MANAGER_PROCESSOR_BY_REPORTS.growth(measured, reports);
    table.add_limited(
        scenario,
        "additional processor time for received sums",
        by_reports.clone(),
        processor_limit(),
        paths::PLANNER,
    );
    // The run by proxies had more workers than a service has, so it already includes the workers. Only the growth by
    // operations and by sums is added to it.
    let by_proxies = series::MANAGER_PROCESSOR_BY_PROXIES.at(measured, sizes.proxies_per_manager());
    let by_operations =
        series::MANAGER_PROCESSOR_BY_OPERATIONS.growth(measured, sizes.operations_per_manager());
    let total = by_proxies.plus(by_operations).plus(by_reports);
    let name = "processor time with the manager's workers, proxies, operations and received sums";
    table.add_limited(scenario, name, total, processor_limit(), paths::PLANNER);
}

fn bytes_read(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let scenario = Scenario::OrdinaryDay;
    let changes = sizes.entries_per_second();
    let watch = |changes: f64, computed: f64| {
        let measured = series::MANAGER_BYTES_IN_BY_CHANGES.at(measured, changes);
        measured.or(bytes_per_second(computed + traffic::heartbeats()))
    };
    let unscoped = watch(changes, traffic::full_list(sizes));
    table.add_limited(
        scenario,
        "bytes received over a watch of the complete list",
        unscoped,
        traffic_limit(),
        paths::DISCOVERY_WATCH,
    );
    let entries = per_second(changes * sizes.scope_share());
    table.add(scenario, "changed list entries of the manager's services", entries, paths::MANAGER_SCOPE);
    let scoped = series::SCOPED_BYTES_IN.look_up(measured);
    let scoped = scoped.or(watch(changes * sizes.scope_share(), traffic::scoped_list(sizes)));
    table.add_limited(
        scenario,
        "bytes received over a watch of the manager's services",
        scoped.clone(),
        traffic_limit(),
        paths::MANAGER_SCOPE,
    );
    let configuration = bytes_per_second(traffic::configuration(sizes));
    let total = scoped.plus(configuration).plus(sums_read(inputs));
    let budget = Mechanism::Missing("a byte budget per manager");
    table.add_limited(
        scenario,
        "total bytes received: list, configuration and sums",
        total,
        traffic_limit(),
        budget,
    );
}

/// Bytes per second of sums that a manager reads, on workers and on demand.
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
    let rack_workers =
        sizes.assumed(Assumption::MachinesPerRack) * sizes.assumed(Assumption::WorkersPerMachine);
    let name = "list entries received if all workers of the rack belong to one of the manager's services";
    table.add(Scenario::WorstCase(Failure::RackFailed), name, entries(rack_workers), paths::MANAGER_SCOPE);
    let zone_workers = sizes.workers_per_zone();
    let zone_recovered = Scenario::WorstCase(Failure::ZoneRecovered);
    let name = "list entries received, one per worker of the zone, if the manager watches that zone or \
                the complete list";
    table.add(zone_recovered, name, entries(zone_workers), paths::DISCOVERY_WATCH);
    let service_entries = entries(zone_workers * sizes.scope_share());
    table.add(
        zone_recovered,
        "list entries received, one per worker of the zone that belongs to the manager's services",
        service_entries,
        paths::MANAGER_SCOPE,
    );
}

fn region_partition(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let scenario = Scenario::WorstCase(Failure::RegionPartitioned);
    let missed_entries = sizes.entries_per_second() * requirements::REGION_PARTITION_SECONDS;
    let entries = |workers: f64| bytes(sizes.entries_bytes(workers * sizes.scope_share()));
    table.add(
        scenario,
        "manager in the region: missed list entries of its services",
        entries(missed_entries),
        paths::LIST_VERSIONS,
    );
    let snapshot = bytes(sizes.snapshot_bytes());
    table.add(
        scenario,
        "manager in the region: snapshot of its services instead of the missed entries",
        snapshot,
        paths::MANAGER_SCOPE,
    );
    let region_entries = entries(sizes.workers_per_region());
    table.add(
        scenario,
        "manager in another region: list entries of its services' workers in the region",
        region_entries,
        paths::MANAGER_SCOPE,
    );
}

fn list_resynchronization(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let control_machine_failed = Scenario::WorstCase(Failure::ControlMachineFailed);
    let detection_time = seconds(wire::SILENCE_TIMEOUT_SECONDS);
    table.add(
        control_machine_failed,
        "time until a manager reconnects a watch that has become silent",
        detection_time,
        paths::DISCOVERY_WATCH,
    );
    let snapshot = bytes(sizes.snapshot_bytes());
    table.add(
        control_machine_failed,
        "snapshot of the manager's services from another control machine, at most",
        snapshot,
        paths::MANAGER_SCOPE,
    );
    let all_restarted = Scenario::WorstCase(Failure::AllControlMachinesRestarted);
    let transfer_time = |bytes: f64| seconds(bytes / requirements::MANAGER_BYTES_PER_SECOND);
    table.add(
        all_restarted,
        "transfer time of the complete list at 5 KB/s",
        transfer_time(sizes.list_bytes()),
        paths::DISCOVERY_WATCH,
    );
    let zone_list = transfer_time(sizes.entries_bytes(sizes.workers_per_zone()));
    let entries_with_service = Mechanism::Missing("list entries that name the worker's service");
    table.add(
        all_restarted,
        "transfer time of the list entries of the manager's zone at 5 KB/s",
        zone_list,
        entries_with_service,
    );
    let scoped_list = transfer_time(sizes.snapshot_bytes());
    table.add(
        all_restarted,
        "transfer time of the list entries of the manager's services at 5 KB/s",
        scoped_list,
        paths::MANAGER_SCOPE,
    );
}
