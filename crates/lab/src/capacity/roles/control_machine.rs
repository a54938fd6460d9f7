//! A machine dedicated to control: a relay that holds the full list once and serves the watches of managers.

use super::{bytes, bytes_per_second, count, per_second, Inputs, Table};
use crate::capacity::assumptions::{Assumption, Sizes};
use crate::capacity::paths;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, Scenario};
use crate::capacity::series_measured as series;
use crate::capacity::{quantity::Unit, requirements, traffic, wire};

/// Maximum number of subscribers of a relay, by default.
const MAX_SUBSCRIBERS: f64 = 1_024.0;
/// Number of past list versions that a relay remembers. From any of them, it can send a subscriber the difference.
const MAX_VERSIONS: f64 = 65_536.0;

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::ControlMachine);
    steady_state(inputs, &mut table);
    ordinary_day(inputs, &mut table);
    list_changes(inputs, &mut table);
    snapshots_after_failures(inputs, &mut table);
    table.rows
}

fn steady_state(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let subscribers = sizes.managers_per_control_machine();
    let scenario = Scenario::SteadyState;
    let max_subscribers = Limit::program(MAX_SUBSCRIBERS, Unit::Count);
    table.add_limited(
        scenario,
        "managers that watch one control machine",
        count(subscribers),
        max_subscribers,
        paths::RELAY,
    );
    let machines_needed = count(requirements::MANAGERS / MAX_SUBSCRIBERS);
    let machines_available = Limit::required(requirements::CONTROL_MACHINES, Unit::Count);
    table.add_limited(
        scenario,
        "control machines needed for all managers, at the maximum number of subscribers each",
        machines_needed,
        machines_available,
        paths::RELAY,
    );
    table.add(scenario, "bytes of the complete list, as sent", bytes(sizes.list_bytes()), paths::RELAY);
    let memory_per_worker = series::RELAY_MEMORY_BY_WORKERS.growth_per_unit(measured);
    table.add(scenario, "memory per listed worker", memory_per_worker, paths::RELAY);
    let memory_per_manager = series::RELAY_MEMORY_BY_SUBSCRIBERS.growth_per_unit(measured);
    table.add(scenario, "memory per watching manager", memory_per_manager, paths::RELAY);
    let memory = series::RELAY_MEMORY.look_up(measured);
    table.add(scenario, "memory with the complete list and all its managers watching", memory, paths::RELAY);
}

fn ordinary_day(inputs: &Inputs<'_>, table: &mut Table) {
    let (sizes, measured) = (&inputs.sizes, inputs.measured);
    let subscribers = sizes.managers_per_control_machine();
    let scenario = Scenario::OrdinaryDay;
    let bytes_in = series::RELAY_BYTES_IN.look_up(measured);
    let bytes_in = bytes_in.or(bytes_per_second(traffic::full_list(sizes)));
    table.add(scenario, "bytes received", bytes_in, paths::RELAY);
    let heartbeats = per_second(subscribers / wire::HEARTBEAT_PERIOD_SECONDS);
    table.add(scenario, "heartbeats sent (empty lines)", heartbeats, paths::RELAY);
    let scoped = subscribers * (traffic::scoped_list(sizes) + traffic::heartbeats());
    table.add(scenario, "bytes sent, with scopes by service", bytes_per_second(scoped), paths::SCOPE);
    let with_timed_changes = series::RELAY_BYTES_OUT.look_up(measured);
    table.add(
        scenario,
        "bytes sent, with one change per second that all its managers need",
        with_timed_changes,
        paths::RELAY,
    );
    let unscoped = subscribers * (traffic::full_list(sizes) + traffic::heartbeats());
    table.add(
        scenario,
        "bytes sent if all its managers watched the complete list",
        bytes_per_second(unscoped),
        paths::RELAY,
    );
    let processor = series::RELAY_PROCESSOR.look_up(measured);
    table.add(scenario, "processor time", processor, paths::RELAY);
    let processor_per_manager = series::RELAY_PROCESSOR_BY_SUBSCRIBERS.growth_per_unit(measured);
    table.add(scenario, "processor time per watching manager", processor_per_manager, paths::RELAY);
    let delay = series::RELAY_CHANGE_DELAY.look_up(measured);
    let in_force_limit = Limit::required(requirements::CHANGE_IN_FORCE_SECONDS, Unit::Seconds);
    table.add_limited(
        scenario,
        "time from a changed list entry until the last manager receives it, p99",
        delay,
        in_force_limit,
        paths::RELAY,
    );
}

/// Bytes that one control machine sends for this many changed entries, each to those of its managers that need it.
fn bytes_sent(sizes: &Sizes, entries: f64) -> f64 {
    sizes.entries_bytes(entries) * sizes.managers_per_service() / requirements::CONTROL_MACHINES
}

fn list_changes(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let rack_workers =
        sizes.assumed(Assumption::MachinesPerRack) * sizes.assumed(Assumption::WorkersPerMachine);
    let failures = [
        (Failure::RackFailed, rack_workers),
        (Failure::ZoneRecovered, sizes.workers_per_zone()),
        (Failure::RegionPartitioned, sizes.workers_per_region()),
    ];
    for (failure, workers) in failures {
        let scenario = Scenario::WorstCase(failure);
        table.add(
            scenario,
            "list entries received, one per affected worker",
            bytes(sizes.entries_bytes(workers)),
            paths::RELAY,
        );
        table.add(
            scenario,
            "bytes sent, with scopes by service",
            bytes(bytes_sent(sizes, workers)),
            paths::SCOPE,
        );
    }
    let scenario = Scenario::WorstCase(Failure::RegionPartitioned);
    let versions_behind = sizes.entries_per_second() * requirements::REGION_PARTITION_SECONDS;
    let versions_kept = Limit::program(MAX_VERSIONS, Unit::Count);
    table.add_limited(
        scenario,
        "control machine in the region: list versions behind, at most",
        count(versions_behind),
        versions_kept,
        paths::LIST_VERSIONS,
    );
    let difference = bytes(sizes.entries_bytes(versions_behind));
    table.add(
        scenario,
        "control machine in the region: difference to the current list",
        difference,
        paths::LIST_VERSIONS,
    );
    table.add(
        scenario,
        "control machine in the region: complete list instead of the difference",
        bytes(sizes.list_bytes()),
        paths::RELAY,
    );
    relay_choice_without_regions(table);
}

/// The consequences of a relay choice that does not consider regions.
fn relay_choice_without_regions(table: &mut Table) {
    let scenario = Scenario::WorstCase(Failure::RegionPartitioned);
    let regional_choice =
        Mechanism::Missing("a relay choice that prefers relays of the manager's own region");
    let managers_elsewhere =
        requirements::MANAGERS / requirements::REGIONS * (1.0 - 1.0 / requirements::REGIONS);
    table.add(
        scenario,
        "managers in the region whose relay is in another region",
        count(managers_elsewhere),
        regional_choice,
    );
    let relays_in_region = requirements::CONTROL_MACHINES / requirements::REGIONS;
    // The expected position of the first relay of the region in a random order of all relays.
    let relays_tried = (requirements::CONTROL_MACHINES + 1.0) / (relays_in_region + 1.0);
    table.add(
        scenario,
        "relays that a manager in the region tries until it reaches one of its region, on average",
        count(relays_tried),
        regional_choice,
    );
}

fn snapshots_after_failures(inputs: &Inputs<'_>, table: &mut Table) {
    let sizes = &inputs.sizes;
    let subscribers = sizes.managers_per_control_machine();
    let snapshots = |managers: f64| bytes(managers * sizes.snapshot_bytes());
    let zone_failed = Scenario::WorstCase(Failure::ZoneFailed);
    let machines_lost = count(requirements::CONTROL_MACHINES / requirements::ZONES);
    table.add(
        zone_failed,
        "control machines in the failed zone, if spread evenly over the zones",
        machines_lost,
        paths::RELAY_CHOICE,
    );
    let zone_recovered = Scenario::WorstCase(Failure::ZoneRecovered);
    let returning_managers = sizes.managers_per_zone() / requirements::CONTROL_MACHINES;
    table.add(
        zone_recovered,
        "managers that connect to each control machine",
        count(returning_managers),
        paths::RELAY_CHOICE,
    );
    table.add(
        zone_recovered,
        "snapshots for these managers, with scopes by service",
        snapshots(returning_managers),
        paths::SCOPE,
    );
    let control_machine_failed = Scenario::WorstCase(Failure::ControlMachineFailed);
    let takeover_time = series::RELAY_TAKEOVER_TIME.look_up(inputs.measured);
    table.add(
        control_machine_failed,
        "one other control machine takes over all managers: time until the last is served",
        takeover_time,
        paths::RELAY,
    );
    let memory = series::RELAY_MEMORY_AFTER_TAKEOVER.look_up(inputs.measured);
    table.add(
        control_machine_failed,
        "one other control machine takes over all managers: its memory",
        memory,
        paths::RELAY,
    );
    let processor = series::RELAY_PROCESSOR_AFTER_TAKEOVER.look_up(inputs.measured);
    table.add(
        control_machine_failed,
        "one other control machine takes over all managers: its processor time",
        processor,
        paths::RELAY,
    );
    let additional_managers = subscribers / (requirements::CONTROL_MACHINES - 1.0);
    table.add(
        control_machine_failed,
        "managers that connect to each remaining control machine",
        count(additional_managers),
        paths::RELAY_CHOICE,
    );
    table.add(
        control_machine_failed,
        "snapshots for these managers, with scopes by service, at most",
        snapshots(additional_managers),
        paths::SCOPE,
    );
    let full_lists = bytes(additional_managers * sizes.list_bytes());
    table.add(
        control_machine_failed,
        "snapshots for these managers if each were the complete list",
        full_lists,
        paths::RELAY,
    );
    let all_restarted = Scenario::WorstCase(Failure::AllControlMachinesRestarted);
    let paced_snapshots = Mechanism::Missing("rate-limited snapshots");
    table.add(
        all_restarted,
        "snapshots for all its managers, with scopes by service",
        snapshots(subscribers),
        paced_snapshots,
    );
    let full_lists = bytes(subscribers * sizes.list_bytes());
    table.add(
        all_restarted,
        "snapshots for all its managers if each were the complete list",
        full_lists,
        paced_snapshots,
    );
}
