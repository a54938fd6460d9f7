//! Tests of the planner. The name of each test states the behaviour that it guards.

mod host;

use host::*;
use juniperrail_interface::*;

fn line_count(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::SetLine { .. })).count()
}

fn restarted_entry(worker: u32, started_at: Ms) -> WorkerEntry {
    WorkerEntry { started_at: Some(started_at), ..entry(worker, Phase::Ready) }
}

fn weight_change(worker: u32, weight: f64) -> Event {
    list_change(vec![WorkerEntry { weight, ..entry(worker, Phase::Ready) }])
}

#[test]
fn later_write_wins_and_only_changes_are_sent() {
    let mut host = Host::running(settings(), 4, 2);
    assert_eq!(line_count(&host.advance(600.0, &[weight_change(1, 2.0)])), 1);
    let orders = host.advance(100.0, &[weight_change(1, 3.0), weight_change(1, 5.0)]);
    assert_eq!(line_count(&orders), 0, "changes are batched");
    assert_eq!(line_count(&host.advance(600.0, &[])), 1);
    assert_eq!(host.weight(1), 5.0);
    host.acknowledge(2);
    assert_eq!(line_count(&host.advance(600.0, &[])), 0);
}

#[test]
fn value_in_flight_is_not_resent() {
    let mut host = Host::running(settings(), 4, 2);
    host.advance(600.0, &[weight_change(1, 2.0)]);
    host.advance(50.0, &[weight_change(1, 3.0)]);
    host.advance(50.0, &[weight_change(1, 2.0)]);
    assert_eq!(line_count(&host.advance(600.0, &[])), 0);
}

#[test]
fn removal_overrides_pending_write() {
    let mut host = Host::running(settings(), 4, 2);
    host.advance(600.0, &[weight_change(0, 2.0)]);
    host.advance(50.0, &[weight_change(1, 9.0)]);
    host.advance(50.0, &[list_change(vec![entry(1, Phase::Gone)])]);
    host.acknowledge(2);
    host.advance(600.0, &[]);
    assert_eq!(host.weight(1), 0.0);
    assert!(host.is_excluded(1));
}

#[test]
fn largest_change_is_sent_first_when_backlog_is_nearly_full() {
    let small_backlog = Settings { max_pending_lines: 30.0, ..settings() };
    let mut host = Host::running(small_backlog, 4, 1);
    let both = list_change(vec![
        WorkerEntry { weight: 1.5, ..entry(0, Phase::Ready) },
        WorkerEntry { weight: 9.0, ..entry(3, Phase::Ready) },
    ]);
    let orders = host.advance(2000.0, &[both]);
    let first = orders.iter().find_map(|order| match order {
        Order::SetLine { worker, .. } => Some(*worker),
        _ => None,
    });
    assert_eq!(first, Some(WorkerId(3)));
}

#[test]
fn draining_worker_is_excluded_before_its_line_is_removed() {
    let mut host = Host::running(settings(), 4, 2);
    let orders = host.advance(50.0, &[list_change(vec![entry(2, Phase::Draining)])]);
    assert!(host.is_excluded(2));
    assert_eq!(line_count(&orders), 0);
    host.acknowledge(1);
    host.advance(600.0, &[]);
    assert_eq!(host.weight(2), 1.0, "one proxy has not acknowledged the exclusion");
    let mark = *host.marks.last().unwrap();
    host.advance(600.0, &[Event::MarkAcknowledged { mark, took: 1.0, proxy: ProxyId(1) }]);
    assert_eq!(host.weight(2), 0.0);
}

#[test]
fn last_usable_line_waits_for_replacement_within_drain_grace() {
    for acknowledged in [true, false] {
        let mut host = Host::running(settings(), 1, 2);
        let swap = list_change(vec![entry(0, Phase::Draining), entry(1, Phase::Ready)]);
        host.advance(600.0, &[swap]);
        assert_eq!(host.weight(1), 1.0);
        assert!(!host.is_excluded(0), "the replacement is not acknowledged yet");
        if acknowledged {
            host.acknowledge(2);
            assert!(host.is_excluded(0));
        } else {
            host.advance(0.3 * 3000.0, &[]);
            assert!(!host.is_excluded(0));
            host.advance(0.3 * 3000.0, &[]);
            assert!(host.is_excluded(0), "missing acknowledgements must not block a drain");
        }
    }
}

#[test]
fn reversed_ordering_of_pending_updates_does_not_deadlock() {
    let mut host = Host::running(settings(), 2, 2);
    host.advance(600.0, &[list_change(vec![entry(0, Phase::Draining)])]);
    assert!(host.is_excluded(0));
    // The worker restarts before any proxy has acknowledged: now its line has to precede its readmission.
    let now = host.now;
    let orders = host.advance(600.0, &[list_change(vec![restarted_entry(0, now)])]);
    assert_eq!(line_count(&orders), 1);
    assert!(host.is_excluded(0), "readmitted before the line with its first weight is acknowledged");
    host.run_seconds(2, 2, &[]);
    assert!(!host.is_excluded(0));
    host.advance(50.0, &[list_change(vec![entry(0, Phase::Draining), entry(1, Phase::Draining)])]);
    host.advance(50.0, &[list_change(vec![restarted_entry(1, now), entry(0, Phase::Gone)])]);
    host.run_seconds(4, 2, &[]);
    assert!(host.is_excluded(0) && !host.is_excluded(1));
    assert!(host.weight(0) == 0.0 && host.weight(1) > 0.0);
}

/// A worker that had started again was never readmitted while the channel was full: its weight went on changing, and
/// each change had to be acknowledged first.
#[test]
fn readmission_waits_for_the_first_weight_and_not_for_its_changes() {
    let mut host = Host::running(settings(), 4, 2);
    host.advance(600.0, &[list_change(vec![entry(0, Phase::Draining)])]);
    host.run_seconds(2, 2, &[]);
    assert!(host.is_excluded(0) && host.weight(0) == 0.0);
    let started = restarted_entry(0, host.now);
    host.advance(600.0, &[list_change(vec![started.clone()])]);
    assert!(host.is_excluded(0) && host.weight(0) > 0.0, "the first weight is sent and not acknowledged");
    let mark = *host.marks.last().unwrap();
    let acknowledgement = |proxy| Event::MarkAcknowledged { mark, took: 1.0, proxy: ProxyId(proxy) };
    host.advance(50.0, &[acknowledgement(0)]);
    assert!(host.is_excluded(0), "one proxy has not acknowledged the first weight");
    let first_weight = host.weight(0);
    let changed = list_change(vec![WorkerEntry { weight: 2.0, ..started }]);
    host.advance(50.0, &[acknowledgement(1), changed]);
    assert_eq!(host.weight(0), first_weight, "the change is batched");
    assert!(!host.is_excluded(0));
}

#[test]
fn next_bind_restores_state_after_lost_connection() {
    let mut host = Host::running(settings(), 4, 2);
    host.advance(600.0, &[weight_change(1, 2.0)]);
    host.advance(50.0, &[Event::Left { proxy: ProxyId(1) }]);
    let orders = host.advance(600.0, &[joined(1)]);
    assert_eq!(host.bindings[&ProxyId(1)].len(), 2);
    assert_eq!(line_count(&orders), 0, "lines in force are not sent again");
    host.advance(600.0, &[weight_change(1, 3.0)]);
    let left = [Event::Left { proxy: ProxyId(0) }, Event::Left { proxy: ProxyId(1) }];
    assert_eq!(
        line_count(&host.advance(50.0, &left)),
        1,
        "the line is idle again, as no proxy is left to acknowledge it"
    );
    host.advance(600.0, &[joined(0)]);
    assert_eq!(host.weight(1), 3.0);
    assert_eq!(host.bindings[&ProxyId(0)].len(), 2);
}

#[test]
fn unacknowledged_lines_stay_below_half_the_backlog() {
    let slow_channel = Settings { max_pending_lines: 100.0, channel_rate: 1.0, ..settings() };
    let mut host = Host::new(slow_channel);
    host.turn(&[list(ListKind::Remembered, (0..10).map(|worker| entry(worker, Phase::Ready)).collect())]);
    host.advance(10.0, &(0..8).map(joined).collect::<Vec<_>>());
    let bound_count = host.bindings.len();
    assert!((1..=2).contains(&bound_count), "a bind takes 18 lines: {bound_count} proxies are bound");
    host.advance(400.0, &[]);
    assert_eq!(host.bindings.len(), bound_count, "without acknowledgements no further bind fits");
    for _ in 0..8 {
        let mark = *host.marks.last().unwrap();
        let acknowledgement = |proxy: &ProxyId| Event::MarkAcknowledged { mark, took: 1.0, proxy: *proxy };
        let acknowledgements: Vec<Event> = host.bindings.keys().map(acknowledgement).collect();
        host.advance(100.0, &acknowledgements);
    }
    assert_eq!(host.bindings.len(), 8);
}

#[test]
fn message_limit_is_kept_and_leaves_room_for_drains() {
    let limited = Settings { max_messages_per_window: 8.0, ..settings() };
    let mut host = Host::running(limited, 6, 2);
    for step in 0..150 {
        host.advance(200.0, &[weight_change(1, 1.0 + f64::from(step))]);
        host.acknowledge(2);
        if step == 140 {
            host.advance(10.0, &[list_change(vec![entry(0, Phase::Draining)])]);
            assert!(host.is_excluded(0), "ordinary changes had used up all messages");
        }
    }
    for worker in 1..5 {
        for returns in [false, true] {
            let phase = if returns { Phase::Ready } else { Phase::Draining };
            host.advance(200.0, &[list_change(vec![entry(worker, phase)])]);
            host.acknowledge(2);
        }
    }
    let count_since = |start: &Ms| {
        host.message_times.iter().filter(|time| (*start..start + 10_000.0).contains(time)).count()
    };
    assert!(host.message_times.iter().map(count_since).max() <= Some(8));
}

#[test]
fn cold_worker_weight_rises_in_steps_from_cold_share() {
    let mut host = Host::running(settings(), 8, 2);
    let started_at = host.now;
    host.advance(600.0, &[list_change(vec![restarted_entry(3, started_at)])]);
    let mut weights = vec![host.weight(3)];
    for _ in 0..20 {
        host.run_seconds(1, 2, &[]);
        weights.push(host.weight(3));
    }
    assert!(weights[0] > 0.0 && weights[0] <= 0.25);
    assert!(weights.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(weights[20], 1.0);
    weights.dedup();
    assert!(weights.len() <= 5, "the weight rises in at most 4 steps: {weights:?}");
}

#[test]
fn cold_worker_gets_less_weight_when_more_workers_are_gone() {
    let weight_with_gone = |gone: u32| {
        let low_overload_factor = Settings { overload_factor: 2.5, ..settings() };
        let mut host = Host::running(low_overload_factor, 8, 2);
        let mut entries: Vec<WorkerEntry> = (0..gone).map(|worker| entry(worker, Phase::Gone)).collect();
        entries.push(restarted_entry(7, host.now));
        host.advance(600.0, &[list_change(entries)]);
        host.run_seconds(1, 2, &[]);
        host.weight(7)
    };
    assert!(weight_with_gone(5) < weight_with_gone(1));
}

#[test]
fn restricted_operation_has_its_own_table() {
    let mut restricted = settings();
    restricted.operations[1].zones = Some(vec![ZoneId(1)]);
    let mut host = Host::running(restricted, 4, 2);
    assert_eq!(host.bindings[&ProxyId(0)], vec![FIRST_TABLE, TableId(1)]);
    let second_table_workers: Vec<u32> =
        host.weights.keys().filter(|(table, _)| *table != FIRST_TABLE).map(|(_, worker)| worker.0).collect();
    assert_eq!(second_table_workers, vec![1, 3]);
    let gone = vec![entry(1, Phase::Gone), entry(3, Phase::Gone)];
    host.advance(600.0, &[list_change(gone), joined(2)]);
    host.run_seconds(3, 3, &[]);
    let bound = &host.bindings[&ProxyId(2)];
    assert!(bound.contains(&FIRST_TABLE));
}

#[test]
fn proxy_is_not_bound_to_empty_table() {
    let mut host = Host::new(settings());
    host.turn(&[joined(0)]);
    assert!(host.bindings.is_empty());
    host.advance(100.0, &[list(ListKind::Full, vec![entry(0, Phase::Ready)])]);
    host.advance(100.0, &[]);
    assert_eq!(host.bindings.len(), 1);
}

#[test]
fn failing_worker_loses_weight_and_recovers_it() {
    let mut host = Host::running(settings(), 8, 2);
    let mut reports: Vec<Event> = (1..8).map(|worker| worker_report(worker, 10.0, 0.0, 100.0)).collect();
    reports.push(worker_report(0, 10.0, 10.0, 0.0));
    host.run_seconds(12, 2, &reports);
    assert!(host.weight(0) < 0.2, "{}", host.weight(0));
    assert!(!host.is_excluded(0), "a small weight remains to detect recovery");
    assert!(host.weight(5) >= 1.0);
    let reports: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 0.0, 100.0)).collect();
    let low_weight = host.weight(0);
    host.run_seconds(12, 2, &reports);
    let reports: Vec<Event> = (0..8)
        .map(|worker| worker_report(worker, 10.0, 0.0, if worker == 0 { 60.0 } else { 100.0 }))
        .collect();
    host.run_seconds(40, 2, &reports);
    assert!(host.weight(0) > 2.0 * low_weight);
}

#[test]
fn fleet_wide_failures_and_missing_reports_change_no_weight() {
    let mut host = Host::running(settings(), 8, 2);
    let reports: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 8.0, 400.0)).collect();
    host.run_seconds(10, 2, &reports);
    assert!((0..8).all(|worker| host.weight(worker) == 1.0));
    let mut host = Host::running(settings(), 8, 2);
    let reports: Vec<Event> = (1..8).map(|worker| worker_report(worker, 10.0, 0.0, 100.0)).collect();
    host.run_seconds(10, 2, &reports);
    assert_eq!(host.weight(0), 1.0, "missing reports are no evidence");
}

#[test]
fn low_weight_is_limited_to_part_of_fleet() {
    let mut host = Host::running(settings(), 10, 2);
    let report = |worker: u32| {
        if worker < 5 {
            worker_report(worker, 10.0, 10.0, 0.0)
        } else {
            worker_report(worker, 20.0, 0.0, 50.0)
        }
    };
    let reports: Vec<Event> = (0..10).map(report).collect();
    host.run_seconds(20, 2, &reports);
    let low_count = (0..10).filter(|worker| host.weight(*worker) < 0.5).count();
    assert!((1..=3).contains(&low_count), "{low_count} of 10 workers have a low weight");
}

#[test]
fn overload_reduces_admission_and_disables_retries_until_recovery() {
    let mut host = Host::running(settings(), 8, 2);
    assert!(host.admissions.iter().all(|admission| *admission == (1.0, Retry::IfNotExecuted)));
    let overloaded: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 5.0, 800.0)).collect();
    host.run_seconds(8, 2, &overloaded);
    let (level, retry) = *host.admissions.last().unwrap();
    assert!(level < 0.8 && level > 0.0 && retry == Retry::Never);
    let healthy: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 0.0, 100.0)).collect();
    host.run_seconds(60, 2, &healthy);
    assert_eq!(*host.admissions.last().unwrap(), (1.0, Retry::IfNotExecuted));
}

#[test]
fn single_overloaded_worker_does_not_reduce_admission() {
    let mut host = Host::running(settings(), 8, 2);
    let mut reports: Vec<Event> = (1..8).map(|worker| worker_report(worker, 10.0, 0.0, 100.0)).collect();
    reports.push(worker_report(0, 30.0, 30.0, 0.0));
    host.run_seconds(10, 2, &reports);
    assert!(host.admissions.iter().all(|admission| admission.0 == 1.0));
}

#[test]
fn rate_level_spares_proxies_with_little_demand() {
    let mut host = Host::running(Settings { level_kind: LevelKind::PerSecond, ..settings() }, 8, 2);
    let demand = |proxy: u16, invocations: f64| Event::ProxySums {
        proxy: ProxyId(proxy),
        op: OpId(0),
        invocations,
        unanswered: 0.0,
        period: 1000.0,
    };
    let mut overloaded: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 5.0, 800.0)).collect();
    overloaded.extend([demand(0, 5.0), demand(1, 95.0)]);
    host.run_seconds(3, 2, &overloaded);
    let level =
        host.admissions.iter().map(|admission| admission.0).find(|level| (10.0..1000.0).contains(level));
    let level = level.expect("a level for the first operation");
    assert!(
        host.admissions.iter().all(|admission| admission.0 > 0.3),
        "no proxy reported demand for the other operation"
    );
    assert!((25.0..55.0).contains(&level), "the proxy with little demand keeps all of it: {level}");
}

#[test]
fn retries_require_proof_of_non_execution() {
    let mut host = Host::running(settings(), 6, 2);
    let reports: Vec<Event> =
        (0..6).map(|worker| worker_report(worker, 10.0, f64::from(worker), 300.0)).collect();
    host.run_seconds(20, 2, &reports);
    let is_safe = |retry: &Retry| matches!(retry, Retry::Never | Retry::IfNotExecuted);
    assert!(!host.admissions.is_empty() && host.admissions.iter().all(|(_, retry)| is_safe(retry)));
}

#[test]
fn worker_missing_from_full_list_is_gone_and_failed_request_is_repeated() {
    let mut host = Host::running(Settings { list_on_request: true, ..settings() }, 3, 1);
    host.advance(100.0, &[list(ListKind::Full, vec![entry(0, Phase::Ready), entry(1, Phase::Ready)])]);
    assert!(host.is_excluded(2));
    host.advance(100.0, &[list(ListKind::Failed, Vec::new())]);
    assert!(!host.is_excluded(0) && !host.is_excluded(1), "the last list stays valid");
    let orders = host.advance(5000.0, &[]);
    assert!(orders.contains(&Order::SubscribeToList(true)));
}

#[test]
fn restarted_manager_binds_all_proxies_again() {
    let mut host = Host::running(settings(), 4, 3);
    let bound_before = host.bindings.len();
    host.planner = juniperrail::Planner::new(host.now, 8, settings());
    host.bindings.clear();
    host.turn(&[list(ListKind::Remembered, (0..4).map(|worker| entry(worker, Phase::Ready)).collect())]);
    host.advance(50.0, &(0..3).map(joined).collect::<Vec<_>>());
    assert_eq!((bound_before, host.bindings.len()), (3, 3));
}

#[test]
fn mark_numbers_wrap_around() {
    let mut host = Host::running(settings(), 2, 1);
    for step in 0..70_000 {
        host.advance(500.0, &[weight_change(0, 1.0 + f64::from(step % 2))]);
        host.acknowledge(1);
    }
    host.advance(600.0, &[list_change(vec![entry(1, Phase::Draining)])]);
    host.acknowledge(1);
    host.advance(600.0, &[]);
    assert_eq!(host.weight(1), 0.0, "the acknowledgement of the exclusion was not recognised");
}

#[test]
fn zero_settings_send_nothing_and_do_not_panic() {
    let zeros = Settings {
        channel_rate: 0.0,
        max_pending_lines: 0.0,
        report_period: 0.0,
        warm_up: 0.0,
        cold_share: 0.0,
        overload_factor: 0.0,
        drain_grace: 0.0,
        max_messages_per_window: 1.0,
        message_window: 0.0,
        ..settings()
    };
    let mut host = Host::running(zeros, 3, 2);
    host.advance(
        100.0,
        &[
            list_change(vec![entry(0, Phase::Draining), restarted_entry(1, 0.0)]),
            worker_report(1, 0.0, 0.0, 0.0),
        ],
    );
    host.run_seconds(3, 2, &[worker_report(1, 9.0, 9.0, 0.0), worker_report(2, 9.0, 0.0, 0.0)]);
    assert!(host.marks.is_empty(), "a backlog of zero lines has room for none");
}

#[test]
fn slices_are_not_bound() {
    let mut host = Host::running(Settings { slice_count: 64, ..settings() }, 4, 2);
    let slice = TableId(3);
    host.advance(100.0, &[Event::SliceAssigned { slice }, list_change(vec![entry(0, Phase::Draining)])]);
    host.run_seconds(2, 2, &[]);
    assert!(host.bindings.is_empty() && host.weights.is_empty() && host.is_excluded(0));
}

#[test]
fn unrestricted_operation_prefers_workers_without_restricted_load() {
    let mut restricted = settings();
    restricted.operations[1].zones = Some(vec![ZoneId(1)]);
    let mut host = Host::running(restricted, 6, 2);
    host.run_seconds(2, 2, &[]);
    assert!(host.weight(1) <= 0.5 * host.weight(0), "{} {}", host.weight(1), host.weight(0));
    assert_eq!(host.weights[&(TableId(1), WorkerId(1))], 1.0);
}

#[test]
fn near_overload_cold_worker_gets_no_weight_if_proxies_avoid_outliers() {
    let mut host = Host::running(Settings { proxies_avoid_outliers: true, ..settings() }, 8, 2);
    let overloaded: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 5.0, 800.0)).collect();
    host.run_seconds(3, 2, &overloaded);
    let restarted_at = host.now;
    host.advance(100.0, &[list_change(vec![restarted_entry(8, restarted_at)])]);
    host.run_seconds(2, 2, &overloaded);
    assert_eq!(host.weight(8), 0.0);
    let healthy: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 0.0, 100.0)).collect();
    host.run_seconds(6, 2, &healthy);
    assert!(host.weight(8) > 0.0);
}

#[test]
fn near_overload_cold_worker_keeps_half_weight_without_outlier_avoidance() {
    // In a long rolling release a third of the fleet is cold: without these workers the others would stay
    // overloaded.
    let mut host = Host::running(settings(), 8, 2);
    let reports = |mean_latency: Ms| {
        (0..8).map(|worker| worker_report(worker, 10.0, 0.0, mean_latency)).collect::<Vec<Event>>()
    };
    host.run_seconds(3, 2, &reports(800.0));
    let restarted_at = host.now;
    host.advance(100.0, &[list_change(vec![restarted_entry(8, restarted_at)])]);
    host.run_seconds(2, 2, &reports(800.0));
    let weight_near_overload = host.weight(8);
    let mut healthy_host = Host::running(settings(), 8, 2);
    let restarted_at = healthy_host.now;
    healthy_host.advance(100.0, &[list_change(vec![restarted_entry(8, restarted_at)])]);
    healthy_host.run_seconds(2, 2, &reports(100.0));
    assert_eq!(weight_near_overload, healthy_host.weight(8) / 2.0);
}

#[test]
fn second_cut_waits_for_reports_after_first() {
    // Late reports still show the overload that the first cut has ended: a second cut based on them rejected half of
    // the load of a fleet that was no longer overloaded.
    let mut host = Host::running(settings(), 8, 2);
    let reports: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 0.0, 500.0)).collect();
    let mut cuts = Vec::new();
    for _ in 0..12 {
        let orders = host.advance(1000.0, &reports);
        host.acknowledge(2);
        let is_cut =
            |order: &Order| matches!(order, Order::Log { text, .. } if text.starts_with("admitting "));
        cuts.extend(orders.iter().any(is_cut).then_some(host.now));
    }
    assert!(cuts.len() > 1, "cuts continue while the overload does");
    let report_delay = settings().report_period + settings().max_transit;
    assert!(cuts.windows(2).all(|pair| pair[1] - pair[0] > 1.7 * report_delay), "{cuts:?}");
}

#[test]
fn admission_recovers_faster_at_lower_latency() {
    let rise = |recovery_latency: Ms| {
        let mut host = Host::running(settings(), 8, 2);
        let reports = |failed: f64, mean_latency: Ms| {
            (0..8).map(|worker| worker_report(worker, 10.0, failed, mean_latency)).collect::<Vec<Event>>()
        };
        host.run_seconds(4, 2, &reports(5.0, 800.0));
        let low_level = host.levels[&(FIRST_TABLE, OpId(0))];
        host.run_seconds(3, 2, &reports(0.0, recovery_latency));
        host.levels[&(FIRST_TABLE, OpId(0))] / low_level
    };
    let (rise_at_160_ms, rise_at_100_ms) = (rise(160.0), rise(100.0));
    assert!(rise_at_100_ms > 1.25 * rise_at_160_ms, "{rise_at_160_ms} {rise_at_100_ms}");
}

#[test]
fn admission_rises_in_small_steps_near_last_overload() {
    let mut host = Host::running(settings(), 8, 2);
    let overloaded: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 5.0, 800.0)).collect();
    let healthy: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 0.0, 50.0)).collect();
    host.run_seconds(4, 2, &overloaded);
    let low_level = host.admissions.last().unwrap().0;
    assert!(low_level <= 0.5);
    host.admissions.clear();
    host.run_seconds(30, 2, &healthy);
    let levels: Vec<f64> = host.admissions.iter().step_by(2).map(|admission| admission.0).collect();
    let raise_ratio = |pair: &[f64]| pair[1] / pair[0];
    assert!(
        levels.windows(2).filter(|pair| pair[0] >= 0.8).all(|pair| raise_ratio(pair) <= 1.11),
        "{levels:?}"
    );
    let is_quick_raise = |pair: &[f64]| pair[1] > 0.5 && raise_ratio(pair) > 1.2;
    assert!(levels.windows(2).any(is_quick_raise), "successive cuts count as one overload: {levels:?}");
    assert_eq!(levels.last(), Some(&1.0));
}

#[test]
fn proxies_prefer_their_zone_when_crossing_is_expensive() {
    let mut host = Host::running(Settings { cross_zone_cost: 0.08, ..settings() }, 6, 2);
    host.run_seconds(2, 2, &[]);
    let (same_zone_weight, other_zone_weight) =
        (host.weights[&(FIRST_TABLE, WorkerId(0))], host.weights[&(FIRST_TABLE, WorkerId(1))]);
    assert!(
        same_zone_weight > 4.0 * other_zone_weight && other_zone_weight > 0.0,
        "proxies of zone 0: {same_zone_weight} {other_zone_weight}"
    );
    assert!(host.weights[&(TableId(1), WorkerId(1))] > 4.0 * host.weights[&(TableId(1), WorkerId(0))]);
    let gone = [0, 2, 4].map(|worker| entry(worker, Phase::Gone));
    host.advance(600.0, &[list_change(gone.to_vec())]);
    host.run_seconds(3, 2, &[]);
    assert!(
        host.weights[&(FIRST_TABLE, WorkerId(1))] > 0.5,
        "without workers in the zone, the others take the load"
    );
}

#[test]
fn outlier_avoidance_keeps_cold_worker_out_at_high_utilization() {
    for (proxies_avoid_outliers, gets_weight) in [(false, true), (true, false)] {
        let mut host = Host::running(Settings { proxies_avoid_outliers, ..settings() }, 8, 2);
        let reports: Vec<Event> =
            (0..8).map(|worker| worker_report_with_utilization(worker, 10.0, 0.0, 100.0, 0.84)).collect();
        host.run_seconds(3, 2, &reports);
        let restarted_at = host.now;
        host.advance(100.0, &[list_change(vec![restarted_entry(8, restarted_at)])]);
        host.run_seconds(2, 2, &reports);
        assert_eq!(host.weight(8) > 0.0, gets_weight);
    }
}

#[test]
fn few_slow_tries_do_not_reduce_admission() {
    let mut host = Host::running(settings(), 8, 2);
    let slow: Vec<Event> = (0..4).map(|worker| worker_report(worker, 1.0, 0.0, 420.0)).collect();
    host.run_seconds(8, 2, &slow);
    assert!(host.admissions.iter().all(|admission| admission.0 == 1.0), "{:?}", host.admissions.last());
}

#[test]
fn failures_at_low_utilization_are_no_overload() {
    for (utilization, is_cut) in [(0.4, false), (0.95, true)] {
        let mut host = Host::running(settings(), 8, 2);
        let reports: Vec<Event> = (0..8)
            .map(|worker| worker_report_with_utilization(worker, 10.0, 4.0, 800.0, utilization))
            .collect();
        host.run_seconds(6, 2, &reports);
        assert_eq!(host.admissions.iter().any(|admission| admission.0 < 0.9), is_cut);
    }
}

#[test]
fn large_fleet_is_partitioned_evenly() {
    let mut host = Host::running(settings(), 60, 60);
    host.run_seconds(4, 60, &[]);
    assert_eq!(host.bindings.len(), 60);
    let bound_tables: std::collections::BTreeSet<TableId> =
        host.bindings.values().flatten().copied().collect();
    let table_line_count =
        |table: &TableId| host.weights.keys().filter(|(line_table, _)| line_table == table).count();
    assert!(
        bound_tables.len() >= 3
            && bound_tables.iter().all(|table| (16..30).contains(&table_line_count(table))),
        "{bound_tables:?}"
    );
    assert_eq!(
        bound_tables.iter().map(table_line_count).sum::<usize>(),
        60,
        "each worker is in one partition"
    );
    let proxy_count = |table: &TableId| host.bindings.values().filter(|bound| bound.contains(table)).count();
    assert!(bound_tables.iter().all(|table| (15..26).contains(&proxy_count(table))));
}

#[test]
fn all_expected_proxies_can_be_bound_within_half_the_drain_grace() {
    let (backlog, managers, proxies) = (60_000.0, 5.0, 300.0);
    let timed_settings = Settings {
        channel_rate: 2000.0,
        max_pending_lines: backlog,
        manager_count: managers,
        proxy_count: proxies,
        ..settings()
    };
    let timed_settings = Settings { drain_grace: 6000.0, ..timed_settings };
    let mut host = Host::running(timed_settings.clone(), 96, 60);
    host.run_seconds(4, 60, &[]);
    for (proxy, bound) in &host.bindings {
        let bound_line_count =
            host.weights.keys().filter(|(line_table, _)| bound.contains(line_table)).count();
        let bind_all_ms = proxies * (bound_line_count as f64 + timed_settings.message_overhead) * 1000.0
            / timed_settings.channel_rate;
        assert!(
            bound_line_count > 0 && bind_all_ms <= timed_settings.drain_grace / 2.0,
            "{proxy:?}: {bound_line_count} lines, {bind_all_ms} ms"
        );
    }
}

#[test]
fn repeated_reconnects_do_not_exceed_message_limit() {
    let mut host = Host::running(Settings { max_messages_per_window: 12.0, ..settings() }, 4, 2);
    let first_bind_count = host.bindings[&ProxyId(0)].len();
    for _ in 0..20 {
        host.advance(300.0, &[Event::Left { proxy: ProxyId(0) }, joined(0)]);
        host.acknowledge(2);
    }
    let rebind_count = host.bindings[&ProxyId(0)].len() - first_bind_count;
    assert!((6..12).contains(&rebind_count), "bound {rebind_count} times again in 8 s");
}

#[test]
fn exclusions_are_batched_when_backlog_is_nearly_full() {
    let limited = Settings {
        max_messages_per_window: 12.0,
        max_pending_lines: 400.0,
        channel_rate: 200.0,
        ..settings()
    };
    let mut host = Host::running(Settings { drain_grace: 14_000.0, ..limited }, 40, 20);
    host.run_seconds(4, 20, &[]);
    let draining = (0..30).map(|worker| entry(worker, Phase::Draining)).collect();
    let has_exclusion = |orders: &[Order]| {
        orders.iter().any(|order| matches!(order, Order::ExcludeWorker { excluded: true, .. }))
    };
    let mut messages = usize::from(has_exclusion(&host.advance(100.0, &[list_change(draining)])));
    for step in 0..80 {
        // Some proxies acknowledge, so that one or two exclusions fit at a time.
        let mark = *host.marks.last().unwrap();
        let acknowledging = (0..12).map(|proxy| ProxyId((step * 12 + proxy) % 20));
        let acknowledgements =
            acknowledging.map(|proxy| Event::MarkAcknowledged { mark, took: 100.0, proxy });
        messages += usize::from(has_exclusion(&host.advance(100.0, &acknowledgements.collect::<Vec<_>>())));
    }
    assert!((2..6).contains(&messages), "{messages} messages in 8 s");
    host.run_seconds(4, 20, &[]);
    assert!((0..30).all(|worker| host.is_excluded(worker)));
}

#[test]
fn new_lines_precede_removals_of_excluded_workers() {
    let mut host = Host::running(Settings { warm_up: 0.0, max_pending_lines: 800.0, ..settings() }, 16, 20);
    host.run_seconds(4, 20, &[]);
    let draining = (0..8).map(|worker| entry(worker, Phase::Draining));
    let added = (16..24).map(|worker| entry(worker, Phase::Ready));
    host.advance(100.0, &[list_change(draining.chain(added).collect())]);
    host.run_seconds(1, 20, &[]);
    assert!((0..8).all(|worker| host.is_excluded(worker)));
    let mut sent_lines = Vec::new();
    for _ in 0..40 {
        for orders in [host.advance(300.0, &[]), host.acknowledge(20)] {
            sent_lines.extend(orders.iter().filter_map(|order| match order {
                Order::SetLine { table: FIRST_TABLE, worker, weight } => Some((*weight > 0.0, worker.0)),
                _ => None,
            }));
        }
    }
    let last_new_line = sent_lines.iter().rposition(|(has_weight, worker)| *has_weight && *worker >= 16);
    let first_removal = sent_lines.iter().position(|(has_weight, _)| !has_weight);
    assert!(last_new_line.unwrap() < first_removal.unwrap(), "{sent_lines:?}");
}

#[test]
fn proxy_of_unlisted_zone_gets_tables() {
    let expensive_crossing = Settings { cross_zone_cost: 0.1, ..settings() };
    for (workers, own_zone_only) in [(6, false), (6, true), (80, false)] {
        let operations = vec![Operation { own_zone_only, ..operation() }, operation()];
        let mut host = Host::new(Settings { operations, ..expensive_crossing.clone() });
        let entry_by_number = |worker: u32| WorkerEntry {
            zone: ZoneId(if worker.is_multiple_of(3) { 9 } else { (worker % 2) as u16 }),
            ..entry(worker, Phase::Ready)
        };
        host.turn(&[list(ListKind::Remembered, (0..workers).map(entry_by_number).collect())]);
        let joined = |proxy| Event::Joined {
            proxy: ProxyId(proxy),
            fresh: true,
            inv_per_second: 10.0,
            zone: ZoneId([0, 1, 9][usize::from(proxy % 3)]),
        };
        host.advance(10.0, &(0..60).map(joined).collect::<Vec<_>>());
        host.run_seconds(8, 60, &[]);
        for proxy in 0..60 {
            let bound = &host.bindings[&ProxyId(proxy)];
            assert_eq!(bound.len(), if own_zone_only { 2 } else { 1 }, "{workers} workers, {own_zone_only}");
            let lines = |id: &TableId| host.weights.keys().filter(|(table, _)| table == id).count();
            assert!(bound.iter().all(|table| lines(table) > 0));
        }
    }
}

#[test]
fn reports_of_tries_before_first_cut_cause_no_second_cut() {
    let mut host = Host::running(settings(), 8, 2);
    let reports = |failed: f64, mean_latency: Ms| {
        (0..8).map(|worker| worker_report(worker, 20.0, failed, mean_latency)).collect::<Vec<_>>()
    };
    let cut_count = |orders: &[Order]| {
        let is_cut =
            |order: &Order| matches!(order, Order::Log { text, .. } if text.starts_with("admitting "));
        orders.iter().filter(|order| is_cut(order)).count()
    };
    let mut first_cut_count = 0;
    while first_cut_count == 0 {
        first_cut_count = cut_count(&host.advance(200.0, &reports(12.0, 900.0)));
    }
    // Reports of tries from before the cut arrive for 1.75 report delays; after that all reports are good.
    let (cut_at, settings) = (host.now, settings());
    let late_reports_duration = 1.75 * (settings.report_period + settings.max_transit);
    while host.now + 100.0 <= cut_at + late_reports_duration {
        assert_eq!(cut_count(&host.advance(100.0, &reports(12.0, 900.0))), 0);
    }
    let level = host.levels.values().copied().fold(1.0, f64::min);
    for _ in 0..10 {
        host.advance(100.0, &reports(0.0, 100.0));
        host.acknowledge(2);
        assert!(
            host.levels.values().all(|current| *current >= level - 1e-9),
            "{:?} after {level}",
            host.levels
        );
    }
}

#[test]
fn lines_of_tables_without_bound_proxies_do_not_delay_others() {
    let mut host = Host::running(settings(), 60, 60);
    host.run_seconds(4, 60, &[]);
    let marks_before = host.marks.len();
    for step in 0..60 {
        host.advance(100.0, &[weight_change(step, 2.0)]);
        host.acknowledge(60);
    }
    assert!(
        host.marks.len() > marks_before + 3,
        "changes of the whole-fleet table, to which no proxy is bound, blocked all others"
    );
}

#[test]
fn failures_keep_cold_worker_out_before_utilization_rises() {
    let mut host = Host::running(Settings { proxies_avoid_outliers: true, ..settings() }, 8, 2);
    let reports: Vec<Event> =
        (0..8).map(|worker| worker_report_with_utilization(worker, 10.0, 6.0, 900.0, 0.5)).collect();
    host.run_seconds(3, 2, &reports);
    let restarted_at = host.now;
    host.advance(100.0, &[list_change(vec![restarted_entry(8, restarted_at)])]);
    host.run_seconds(2, 2, &reports);
    assert_eq!(host.weight(8), 0.0);
}

#[test]
fn proxy_with_high_demand_gets_whole_fleet() {
    let mut host = Host::new(settings());
    host.turn(&[list(ListKind::Remembered, (0..60).map(|worker| entry(worker, Phase::Ready)).collect())]);
    let joined_with_high_demand =
        Event::Joined { proxy: ProxyId(0), fresh: true, inv_per_second: 900.0, zone: ZoneId(0) };
    host.advance(10.0, &(1..60).map(joined).chain([joined_with_high_demand]).collect::<Vec<_>>());
    host.run_seconds(8, 60, &[]);
    assert_eq!(host.bindings.len(), 60);
    assert_eq!(host.bindings[&ProxyId(0)], vec![FIRST_TABLE]);
    assert!((1..60).all(|proxy| host.bindings[&ProxyId(proxy)] != vec![FIRST_TABLE]));
}

#[test]
fn deployment_line_cost_is_linear_in_fleet_size() {
    let lines_per_worker = |size: u32| {
        let mut host = Host::running(settings(), size, size as u16);
        host.run_seconds(10, size as u16, &[]);
        let draining: Vec<WorkerEntry> = (0..size / 4).map(|worker| entry(worker, Phase::Draining)).collect();
        let mut sent = line_count(&host.advance(100.0, &[list_change(draining)]));
        for _ in 0..10 {
            sent += line_count(&host.acknowledge(size as u16)) + line_count(&host.advance(300.0, &[]));
        }
        assert!((0..size / 4).all(|worker| host.is_excluded(worker)));
        sent as f64 / f64::from(size)
    };
    assert!(
        lines_per_worker(240) < 1.5 * lines_per_worker(60),
        "{} {}",
        lines_per_worker(240),
        lines_per_worker(60)
    );
}

#[test]
fn unusual_sizes_neither_panic_nor_stall() {
    for (workers, proxies, max_lines) in [(1, 1, 2000.0), (1, 40, 60.0), (400, 1, 100.0), (300, 3, 500.0)] {
        let mut host =
            Host::running(Settings { max_pending_lines: max_lines, ..settings() }, workers, proxies);
        host.run_seconds(20, proxies, &[]);
        assert_eq!(host.bindings.len(), usize::from(proxies), "{workers} workers, {max_lines} lines");
    }
}

#[test]
fn partition_short_of_weight_admits_less_near_overload() {
    let mut host = Host::running(settings(), 60, 60);
    host.run_seconds(4, 60, &[]);
    let partition_table = *host.bindings[&ProxyId(0)].last().unwrap();
    let members: Vec<u32> =
        host.weights.keys().filter(|(table, _)| *table == partition_table).map(|key| key.1 .0).collect();
    let reports: Vec<Event> = (0..60).map(|worker| worker_report(worker, 10.0, 3.0, 500.0)).collect();
    let gone = members.iter().skip(2).map(|worker| entry(*worker, Phase::Gone)).collect();
    host.advance(100.0, &[list_change(gone)]);
    host.run_seconds(6, 60, &reports);
    let levels = host.levels.iter().filter(|((_, op), _)| *op == OpId(0));
    let lowest = levels.min_by(|a, b| a.1.total_cmp(b.1)).unwrap();
    assert_eq!(lowest.0 .0, partition_table, "{:?}", host.levels);
}

#[test]
fn admission_level_precedes_weights_when_backlog_is_nearly_full() {
    let mut host = Host::running(Settings { max_pending_lines: 60.0, ..settings() }, 8, 1);
    let mut reports: Vec<Event> = (0..8).map(|worker| worker_report(worker, 10.0, 5.0, 800.0)).collect();
    reports.extend((0..8).map(|worker| weight_change(worker, 9.0)));
    let orders = host.advance(3000.0, &reports);
    let first =
        orders.iter().find(|order| matches!(order, Order::SetLine { .. } | Order::SetAdmission { .. }));
    assert!(matches!(first, Some(Order::SetAdmission { .. })), "{first:?}");
}

#[test]
fn gone_worker_is_forgotten_and_readmitted_on_return() {
    let mut host = Host::running(settings(), 4, 2);
    host.run_seconds(2, 2, &[]);
    host.advance(100.0, &[list_change(vec![entry(0, Phase::Gone)])]);
    let is_forgotten = |orders: Vec<Order>| orders.contains(&Order::Forget { worker: WorkerId(0) });
    // One proxy has not acknowledged: the exclusion may not be in force there.
    host.acknowledge(1);
    let mut forgotten = (0..20).any(|_| is_forgotten(host.advance(1000.0, &[])));
    assert!(!forgotten && host.is_excluded(0));
    host.acknowledge(2);
    forgotten = (0..20).any(|_| is_forgotten(host.advance(1000.0, &[])) | is_forgotten(host.acknowledge(2)));
    assert!(forgotten);
    host.advance(100.0, &[list_change(vec![restarted_entry(0, host.now - 1e6)])]);
    host.run_seconds(6, 2, &[]);
    assert!(!host.is_excluded(0) && host.weight(0) > 0.0);
}

fn runtime_settings(settings: &Settings) -> RuntimeSettings {
    RuntimeSettings {
        drain_grace: settings.drain_grace,
        warm_up: settings.warm_up,
        cold_share: settings.cold_share,
        overload_factor: settings.overload_factor,
        operations: settings.operations.iter().map(|op| (op.latency_objective, op.billed_value)).collect(),
    }
}

#[test]
fn changed_setting_applies_at_once_and_state_is_kept() {
    let mut host = Host::running(settings(), 4, 2);
    let started_at = host.now - 2_000.0;
    host.advance(600.0, &[list_change(vec![restarted_entry(1, started_at)])]);
    host.acknowledge(2);
    assert!(host.weight(1) < 0.5, "cold under the initial warm-up of 16 s");
    let orders = host.advance(
        600.0,
        &[Event::SettingsChanged(RuntimeSettings { warm_up: 1_000.0, ..runtime_settings(&settings()) })],
    );
    assert_eq!(
        (line_count(&orders), host.weight(1)),
        (1, 1.0),
        "warm under the shorter warm-up, and no other line is sent"
    );
    host.acknowledge(2);
    // With a shorter drain grace, an exclusion waits for the replacement lines for a shorter time.
    let mut short = Host::running(settings(), 1, 2);
    let mut long = Host::running(settings(), 1, 2);
    short.advance(
        600.0,
        &[Event::SettingsChanged(RuntimeSettings { drain_grace: 500.0, ..runtime_settings(&settings()) })],
    );
    long.advance(600.0, &[]);
    for host in [&mut short, &mut long] {
        host.advance(10.0, &[list_change(vec![entry(0, Phase::Draining), entry(1, Phase::Ready)])]);
        host.advance(210.0, &[]);
    }
    assert!(short.is_excluded(0) && !long.is_excluded(0));
}

#[test]
fn synced_proxy_count_follows_acknowledgements_only() {
    let workers = std::collections::BTreeSet::from([WorkerId(1)]);
    let mut host = Host::running(settings(), 4, 3);
    assert_eq!(host.planner.synced_proxy_count(&workers), 3, "nothing is pending");
    host.advance(600.0, &[list_change(vec![entry(1, Phase::Draining)])]);
    assert_eq!(host.planner.synced_proxy_count(&workers), 0, "the exclusion is sent and not acknowledged");
    let mark = *host.marks.last().unwrap();
    let acknowledgement = |proxy| Event::MarkAcknowledged { mark, took: 1.0, proxy: ProxyId(proxy) };
    host.advance(50.0, &[acknowledgement(0), acknowledgement(2)]);
    host.advance(600.0, &[]);
    assert!(host.planner.synced_proxy_count(&workers) < 3, "one proxy has not acknowledged");
    host.acknowledge(3);
    host.advance(600.0, &[]);
    host.acknowledge(3);
    assert_eq!(host.planner.synced_proxy_count(&workers), 3);
    host.advance(600.0, &[weight_change(1, 2.0), joined(7)]);
    assert_eq!(
        host.planner.synced_proxy_count(&workers),
        0,
        "neither the new proxy nor the others have acknowledged"
    );
    host.acknowledge(8);
    host.advance(600.0, &[]);
    host.acknowledge(8);
    host.advance(600.0, &[]);
    host.acknowledge(8);
    assert_eq!(host.planner.synced_proxy_count(&workers), 4);
    assert_eq!(host.planner.unacknowledged_lines(), 0.0);
}
