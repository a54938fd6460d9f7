//! Tests of binding proxies to their tables where some table has no usable line as a proxy joins. The name of each test
//! states the behaviour that it guards.

#[allow(dead_code)] // These tests use only some of the helpers.
mod host;

use host::*;
use juniperrail_interface::*;
use std::collections::BTreeSet;

/// The operation that any worker may execute.
const ANY_ZONE: u8 = 0;
/// The operation that stays within the proxy's zone.
const OWN_ZONE: u8 = 1;
/// A proxy of zone 0, in which the even workers are.
const PROXY: u16 = 0;

fn settings_with_own_zone_operation() -> Settings {
    let own_zone = Operation { own_zone_only: true, ..operation() };
    Settings { operations: vec![operation(), own_zone], ..settings() }
}

/// A manager that has just started: of the workers that it remembers, those of zone 0 drain.
fn restarted_while_zone_drains() -> Host {
    let mut host = Host::new(settings_with_own_zone_operation());
    let phase = |worker: u32| if worker.is_multiple_of(2) { Phase::Draining } else { Phase::Ready };
    host.turn(&[list(ListKind::Remembered, (0..8).map(|worker| entry(worker, phase(worker))).collect())]);
    host
}

/// The workers that a proxy may pick for an operation; `None` while it is not bound to a table for it and has what it
/// came with.
fn usable_workers(host: &Host, proxy: u16, op: u8) -> Option<Vec<u32>> {
    let table = host.bound_tables.get(&(ProxyId(proxy), OpId(op)))?;
    let lines = host.weights.keys().filter(|(line_table, _)| line_table == table);
    let usable = lines.map(|(_, worker)| worker.0).filter(|worker| !host.is_excluded(*worker));
    Some(usable.collect())
}

/// The latest time after joining at which an order must be sent, so that it is in force when the drain grace ends.
fn last_send(settings: &Settings) -> Ms {
    settings.drain_grace - settings.max_transit
}

/// A proxy that joined while the table of one operation had no usable line counted as bound, and was never sent that
/// table: it had no worker to pick for the operation for as long as its stream lasted.
#[test]
fn proxy_that_joined_while_its_zone_drained_gets_the_successors_for_every_operation() {
    let mut host = restarted_while_zone_drains();
    host.advance(100.0, &[joined(PROXY), joined(1)]);
    assert_eq!(usable_workers(&host, PROXY, ANY_ZONE), Some(vec![1, 3, 5, 7]));
    host.run_seconds(4, 2, &[]);
    let successors = vec![entry(8, Phase::Ready), entry(10, Phase::Ready)];
    host.advance(600.0, &[list_change(successors)]);
    host.run_seconds(3, 2, &[]);
    assert_eq!(usable_workers(&host, PROXY, OWN_ZONE), Some(vec![8, 10]));
    // From now on it gets the changes of that table.
    host.advance(600.0, &[list_change(vec![entry(12, Phase::Ready), entry(8, Phase::Draining)])]);
    host.run_seconds(3, 2, &[]);
    assert_eq!(usable_workers(&host, PROXY, OWN_ZONE), Some(vec![10, 12]));
}

/// A proxy that came back with its old table, after all workers of that table had drained, kept picking them: their
/// exclusions had been sent before, and the table was left out of its bind.
#[test]
fn proxy_that_returns_after_its_zone_drained_picks_none_of_the_drained_workers_past_the_grace() {
    let settings = settings_with_own_zone_operation();
    for drained in [Phase::Draining, Phase::Gone] {
        let mut host = Host::running(settings.clone(), 8, 2);
        assert_eq!(usable_workers(&host, PROXY, OWN_ZONE), Some(vec![0, 2, 4, 6]));
        host.advance(600.0, &[Event::Left { proxy: ProxyId(PROXY) }]);
        host.bound_tables.clear();
        let zone_workers = (0..8).step_by(2).map(|worker| entry(worker, drained)).collect();
        host.advance(600.0, &[list_change(zone_workers)]);
        // Long enough for a worker that is gone to be forgotten.
        host.run_seconds(8, 2, &[]);
        let returned_at = host.now;
        host.turn(&[Event::Joined {
            proxy: ProxyId(PROXY),
            fresh: false,
            inv_per_second: 10.0,
            zone: ZoneId(0),
        }]);
        while host.now < returned_at + last_send(&settings) {
            host.advance(100.0, &[]);
        }
        assert_eq!(usable_workers(&host, PROXY, ANY_ZONE), Some(vec![1, 3, 5, 7]));
        assert_eq!(usable_workers(&host, PROXY, OWN_ZONE), Some(vec![]), "{drained:?}");
    }
}

/// As above, where no table of the proxy has a usable line, so that it was bound to none.
#[test]
fn proxy_that_joins_while_all_workers_drain_picks_none_of_them_past_the_grace() {
    let settings = settings();
    let mut host = Host::new(settings.clone());
    let draining = (0..4).map(|worker| entry(worker, Phase::Draining)).collect();
    host.turn(&[list(ListKind::Remembered, draining)]);
    host.run_seconds(1, 0, &[]);
    let joined_at = host.now;
    host.turn(&[joined(PROXY)]);
    assert_eq!(usable_workers(&host, PROXY, ANY_ZONE), None, "usable lines may still come");
    while host.now < joined_at + last_send(&settings) {
        host.advance(100.0, &[]);
    }
    assert_eq!(usable_workers(&host, PROXY, ANY_ZONE), Some(vec![]));
    host.run_seconds(1, 1, &[]);
    host.advance(600.0, &[list_change(vec![entry(4, Phase::Ready)])]);
    host.run_seconds(3, 1, &[]);
    assert_eq!(usable_workers(&host, PROXY, ANY_ZONE), Some(vec![4]));
}

/// As above, where the workers are gone by then, and the manager has forgotten them.
#[test]
fn proxy_that_returns_after_all_workers_are_gone_picks_none_of_them_past_the_grace() {
    let settings = settings();
    let mut host = Host::running(settings.clone(), 4, 1);
    host.advance(600.0, &[Event::Left { proxy: ProxyId(PROXY) }]);
    host.bound_tables.clear();
    host.advance(600.0, &[list(ListKind::Full, Vec::new())]);
    host.run_seconds(8, 0, &[]);
    let returned_at = host.now;
    host.turn(&[joined(PROXY)]);
    while host.now < returned_at + last_send(&settings) {
        host.advance(100.0, &[]);
    }
    assert_eq!(usable_workers(&host, PROXY, ANY_ZONE), Some(vec![]));
}

/// A proxy that is not yet bound for an operation may have any worker in its old table for it, so that exclusions are
/// also sent to it, and their lines are counted.
#[test]
fn exclusion_is_sent_to_a_proxy_that_lacks_one_table() {
    let mut host = restarted_while_zone_drains();
    host.advance(100.0, &[joined(PROXY)]);
    host.acknowledge(1);
    assert_eq!(host.planner.unacknowledged_lines(), 0.0);
    assert_eq!(usable_workers(&host, PROXY, OWN_ZONE), None);
    // No table of the proxy has a line of this worker.
    host.advance(10.0, &[list_change(vec![entry(10, Phase::Draining)])]);
    assert!(host.is_excluded(10));
    assert!(host.planner.unacknowledged_lines() > 0.0);
}

/// A new stream may be reported before the end of the old one: what the old stream was bound to does not count.
#[test]
fn proxy_that_joins_again_without_having_left_is_bound_again() {
    let mut host = Host::running(settings_with_own_zone_operation(), 8, 2);
    let first_bindings = host.bindings[&ProxyId(PROXY)].clone();
    host.advance(600.0, &[joined(PROXY)]);
    assert_eq!(host.bindings[&ProxyId(PROXY)].len(), 2 * first_bindings.len());
}

/// The number of workers and of proxies with which a fleet is partitioned.
const PARTITIONED_WORKERS: u32 = 120;
const PARTITIONED_PROXIES: u16 = 60;
/// A zone with fewer workers than the fleet has partitions.
const SMALL_ZONE: ZoneId = ZoneId(2);
const SMALL_ZONE_WORKERS: [u32; 2] = [30, 90];

/// An entry of the worker list of a fleet that is partitioned.
fn partitioned_entry(worker: u32, phase: Phase) -> WorkerEntry {
    let listed = entry(worker, phase);
    let zone = if SMALL_ZONE_WORKERS.contains(&worker) { SMALL_ZONE } else { listed.zone };
    WorkerEntry { zone, ..listed }
}

/// Every third proxy is in the small zone.
fn partitioned_proxy(proxy: u16) -> Event {
    let zone = if proxy.is_multiple_of(3) { SMALL_ZONE } else { ZoneId(proxy % 2) };
    Event::Joined { proxy: ProxyId(proxy), fresh: true, inv_per_second: 10.0, zone }
}

/// A partitioned fleet. The small zone has these workers.
fn partitioned_fleet(small_zone_workers: &[u32]) -> Host {
    let zones = vec![ZoneId(0), ZoneId(1), SMALL_ZONE];
    let mut host = Host::new(Settings { zones, ..settings_with_own_zone_operation() });
    let is_listed =
        |worker: &u32| !SMALL_ZONE_WORKERS.contains(worker) || small_zone_workers.contains(worker);
    let listed = (0..PARTITIONED_WORKERS).filter(is_listed);
    let ready = listed.map(|worker| partitioned_entry(worker, Phase::Ready)).collect();
    host.turn(&[list(ListKind::Remembered, ready)]);
    host.advance(10.0, &(0..PARTITIONED_PROXIES).map(partitioned_proxy).collect::<Vec<_>>());
    host.run_seconds(10, PARTITIONED_PROXIES, &[]);
    let is_any_zone = |((_, op), table): (&(ProxyId, OpId), &TableId)| (op.0 == ANY_ZONE).then_some(*table);
    let tables: BTreeSet<TableId> = host.bound_tables.iter().filter_map(is_any_zone).collect();
    assert!(tables.len() > SMALL_ZONE_WORKERS.len(), "the fleet has a table for each partition: {tables:?}");
    host
}

/// A partition need not have a worker of each zone: its proxies of such a zone were bound to no table for an
/// operation that stays within the zone, or to one without lines, while the zone had workers in other partitions.
#[test]
fn proxy_of_a_partition_without_workers_of_its_zone_gets_those_of_other_partitions() {
    let mut host = partitioned_fleet(&SMALL_ZONE_WORKERS);
    for proxy in (0..PARTITIONED_PROXIES).step_by(3) {
        let usable = usable_workers(&host, proxy, OWN_ZONE).unwrap_or_default();
        assert!(!usable.is_empty(), "proxy {proxy} has no worker to pick");
        assert!(usable.iter().all(|worker| SMALL_ZONE_WORKERS.contains(worker)));
    }
    // A partition may also lose the last worker that it has of a zone.
    let [drained, remaining] = SMALL_ZONE_WORKERS;
    host.advance(600.0, &[list_change(vec![partitioned_entry(drained, Phase::Draining)])]);
    host.run_seconds(4, PARTITIONED_PROXIES, &[]);
    for proxy in (0..PARTITIONED_PROXIES).step_by(3) {
        assert_eq!(usable_workers(&host, proxy, OWN_ZONE), Some(vec![remaining]), "proxy {proxy}");
    }
}

/// As above, where the only worker of the zone has just started.
#[test]
fn proxy_of_a_partition_without_workers_of_its_zone_gets_a_cold_one_of_another_partition() {
    let mut host = partitioned_fleet(&[]);
    let started = PARTITIONED_WORKERS;
    let cold = WorkerEntry { zone: SMALL_ZONE, started_at: Some(host.now), ..entry(started, Phase::Ready) };
    host.advance(600.0, &[list_change(vec![cold])]);
    host.run_seconds(4, PARTITIONED_PROXIES, &[]);
    for proxy in (0..PARTITIONED_PROXIES).step_by(3) {
        assert_eq!(usable_workers(&host, proxy, OWN_ZONE), Some(vec![started]), "proxy {proxy}");
    }
}
