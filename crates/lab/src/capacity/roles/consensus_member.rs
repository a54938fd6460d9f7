//! A member of the consensus group: its links, heartbeats, probes and memory, both with every manager as a member and
//! with a small group.

use super::{count, per_second, Inputs, Table};
use crate::capacity::assumptions::Assumption;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::requirements;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, Scenario};
use crate::capacity::series_measured as series;

/// Heartbeats of a leader to one member per second, at the default interval of 250 ms.
const HEARTBEATS_PER_SECOND: f64 = 4.0;
/// Members that one member probes per second, at the default period of 1 s.
const PROBES_PER_SECOND: f64 = 1.0;

const LEARNERS: Mechanism =
    Mechanism::Missing("a small consensus group, with learners served through the relays");

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::ConsensusMember);
    every_manager(inputs, &mut table);
    small_group(inputs, &mut table);
    worst_cases(inputs, &mut table);
    table.rows
}

fn every_manager(inputs: &Inputs<'_>, table: &mut Table) {
    let others = requirements::MANAGERS - 1.0;
    let descriptors = Limit::descriptors();
    let links = count(requirements::MANAGERS * others);
    table.add(
        Scenario::SteadyState,
        "links in total, with every manager a member",
        links,
        paths::MANAGER_LINKS,
    );
    let connections = count(2.0 * others);
    table.add_limited(
        Scenario::SteadyState,
        "connections per member, with every manager a member",
        connections,
        descriptors,
        LEARNERS,
    );
    let heartbeats = per_second(others * HEARTBEATS_PER_SECOND);
    table.add(
        Scenario::OrdinaryDay,
        "heartbeats sent by the leader, with every manager a member",
        heartbeats,
        LEARNERS,
    );
    let quorum = count((requirements::MANAGERS / 2.0).floor() + 1.0);
    table.add(Scenario::OrdinaryDay, "quorum for one commit, with every manager a member", quorum, LEARNERS);
    let probes = per_second(PROBES_PER_SECOND);
    table.add(
        Scenario::OrdinaryDay,
        "probes sent per member, at any group size",
        probes,
        paths::FAILURE_DETECTOR,
    );
    let processor = series::MEMBER_PROCESSOR.at(inputs.measured, requirements::MANAGERS);
    let limit = Limit::required(requirements::MANAGER_CORES, Unit::Cores);
    table.add_limited(
        Scenario::OrdinaryDay,
        "processor time of the busiest member, with every manager a member",
        processor,
        limit,
        LEARNERS,
    );
}

fn small_group(inputs: &Inputs<'_>, table: &mut Table) {
    let members = inputs.sizes.assumed(Assumption::ConsensusGroupMembers);
    let others = members - 1.0;
    let descriptors = Limit::descriptors();
    table.add(
        Scenario::SteadyState,
        "links in total, with a small group",
        count(members * others),
        paths::CONSENSUS,
    );
    let connections = count(2.0 * others);
    table.add_limited(
        Scenario::SteadyState,
        "connections per member, with a small group",
        connections,
        descriptors,
        paths::CONSENSUS,
    );
    let memory_per_member = series::MEMBER_MEMORY.growth_per_unit(inputs.measured);
    table.add(
        Scenario::SteadyState,
        "additional memory per further member of the group",
        memory_per_member,
        paths::CONSENSUS,
    );
    let memory = series::MEMBER_MEMORY.at(inputs.measured, members);
    let limit = Limit::required(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes);
    table.add_limited(
        Scenario::SteadyState,
        "memory of the largest member, with a small group",
        memory,
        limit,
        paths::CONSENSUS,
    );
    let heartbeats = per_second(others * HEARTBEATS_PER_SECOND);
    table.add(
        Scenario::OrdinaryDay,
        "heartbeats sent by the leader, with a small group",
        heartbeats,
        paths::CONSENSUS,
    );
    let bytes_between_members = series::MEMBER_BYTES.at(inputs.measured, members);
    table.add(
        Scenario::OrdinaryDay,
        "bytes sent between all members, with a small group",
        bytes_between_members,
        paths::CONSENSUS,
    );
    let processor = series::MEMBER_PROCESSOR.at(inputs.measured, members);
    let limit = Limit::required(requirements::MANAGER_CORES, Unit::Cores);
    table.add_limited(
        Scenario::OrdinaryDay,
        "processor time of the busiest member, with a small group",
        processor,
        limit,
        paths::CONSENSUS,
    );
}

fn worst_cases(inputs: &Inputs<'_>, table: &mut Table) {
    let zone_managers = inputs.sizes.managers_per_zone();
    let zone_failed = Scenario::WorstCase(Failure::ZoneFailed);
    let name = "suspected managers that every member is told of, with every manager a member";
    table.add(zone_failed, name, count(zone_managers), paths::FAILURE_DETECTOR);
    let links = 2.0 * zone_managers * (requirements::MANAGERS - zone_managers);
    let zone_recovered = Scenario::WorstCase(Failure::ZoneRecovered);
    table.add(
        zone_recovered,
        "links to re-establish, with every manager a member",
        count(links),
        paths::MANAGER_LINKS,
    );
    let region_managers = requirements::MANAGERS / requirements::REGIONS;
    let links = 2.0 * region_managers * (requirements::MANAGERS - region_managers);
    let region_partitioned = Scenario::WorstCase(Failure::RegionPartitioned);
    table.add(
        region_partitioned,
        "links to re-establish, with every manager a member",
        count(links),
        paths::MANAGER_LINKS,
    );
}
