//! A member of the consensus group: links, probes and log, with every manager a member and with a small group.

use super::{count, per_second, Inputs, Table};
use crate::capacity::assumptions::Assumption;
use crate::capacity::paths;
use crate::capacity::quantity::Unit;
use crate::capacity::requirements;
use crate::capacity::row::{Failure, Limit, Mechanism, Role, Row, When};
use crate::capacity::series_measured as series;

/// Heartbeats of a leader to one member in a second, by the default of 250 ms.
const HEARTBEATS_PER_SECOND: f64 = 4.0;
/// Members that one member probes in a second, by the default period of 1 s.
const PROBES_PER_SECOND: f64 = 1.0;

const LEARNERS: Mechanism = Mechanism::Missing("a small group, and learners through the relays");

pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let mut table = Table::new(Role::ConsensusMember);
    every_manager(inputs, &mut table);
    small_group(inputs, &mut table);
    worst_minutes(inputs, &mut table);
    table.rows
}

fn every_manager(inputs: &Inputs<'_>, table: &mut Table) {
    let others = requirements::MANAGERS - 1.0;
    let descriptors = Limit::descriptors();
    let links = count(requirements::MANAGERS * others);
    table.tell(When::Kept, "links in all, every manager a member", links, paths::LINKS);
    let open = count(2.0 * others);
    table.judge(When::Kept, "connections at each, every manager a member", open, descriptors, LEARNERS);
    let heartbeats = per_second(others * HEARTBEATS_PER_SECOND);
    table.tell(When::OrdinaryDay, "heartbeats of the leader, every manager a member", heartbeats, LEARNERS);
    let quorum = count((requirements::MANAGERS / 2.0).floor() + 1.0);
    table.tell(When::OrdinaryDay, "votes for one commit, every manager a member", quorum, LEARNERS);
    let probes = per_second(PROBES_PER_SECOND);
    table.tell(When::OrdinaryDay, "probes sent by each, at any size", probes, paths::FAILURE_DETECTOR);
    let processor = series::MEMBER_PROCESSOR.at(inputs.measured, requirements::MANAGERS);
    let limit = Limit::letter(requirements::MANAGER_CORES, Unit::Cores);
    table.judge(When::OrdinaryDay, "processor time, every manager a member", processor, limit, LEARNERS);
}

fn small_group(inputs: &Inputs<'_>, table: &mut Table) {
    let members = inputs.sizes.assumed(Assumption::MembersOfGroup);
    let others = members - 1.0;
    let descriptors = Limit::descriptors();
    table.tell(When::Kept, "links in all, a small group", count(members * others), paths::CONSENSUS);
    let open = count(2.0 * others);
    table.judge(When::Kept, "connections at each, a small group", open, descriptors, paths::CONSENSUS);
    let member = series::MEMBER_MEMORY.each(inputs.measured);
    table.tell(When::Kept, "memory for each member", member, paths::CONSENSUS);
    let memory = series::MEMBER_MEMORY.at(inputs.measured, members);
    let limit = Limit::letter(requirements::MANAGER_MEMORY_BYTES, Unit::Bytes);
    table.judge(When::Kept, "memory, a small group", memory, limit, paths::CONSENSUS);
    let heartbeats = per_second(others * HEARTBEATS_PER_SECOND);
    table.tell(When::OrdinaryDay, "heartbeats of the leader, a small group", heartbeats, paths::CONSENSUS);
    let between = series::MEMBER_BYTES.at(inputs.measured, members);
    table.tell(When::OrdinaryDay, "bytes between all members, a small group", between, paths::CONSENSUS);
    let processor = series::MEMBER_PROCESSOR.at(inputs.measured, members);
    let limit = Limit::letter(requirements::MANAGER_CORES, Unit::Cores);
    table.judge(When::OrdinaryDay, "processor time, a small group", processor, limit, paths::CONSENSUS);
}

fn worst_minutes(inputs: &Inputs<'_>, table: &mut Table) {
    let zone = inputs.sizes.managers_per_zone();
    let lost = When::Worst(Failure::ZoneLost);
    let told = "suspicions that every member is told, every manager a member";
    table.tell(lost, told, count(zone), paths::FAILURE_DETECTOR);
    let links = 2.0 * zone * (requirements::MANAGERS - zone);
    let back = When::Worst(Failure::ZoneBack);
    table.tell(back, "links dialled anew, every manager a member", count(links), paths::LINKS);
    let region = requirements::MANAGERS / requirements::REGIONS;
    let links = 2.0 * region * (requirements::MANAGERS - region);
    let cut = When::Worst(Failure::RegionCut);
    table.tell(cut, "links dialled anew, every manager a member", count(links), paths::LINKS);
}
