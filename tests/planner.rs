//! What the module must hold against, one story for each failure met.

mod host;

use host::*;
use juniperrail_interface::*;

fn lines(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::SetLine { .. })).count()
}

fn restarted(worker: u32, at: Ms) -> WorkerEntry {
    WorkerEntry { booted: Some(at), ..listed(worker, Phase::Ready) }
}

fn heavier(worker: u32, weight: f64) -> Event {
    change(vec![WorkerEntry { weight, ..listed(worker, Phase::Ready) }])
}

#[test]
fn the_later_write_wins_and_only_changes_are_sent() {
    let mut host = Host::running(start(), 4, 2);
    assert_eq!(lines(&host.after(600.0, &[heavier(1, 2.0)])), 1);
    let orders = host.after(100.0, &[heavier(1, 3.0), heavier(1, 5.0)]);
    assert_eq!(lines(&orders), 0, "changes are batched");
    assert_eq!(lines(&host.after(600.0, &[])), 1);
    assert_eq!(host.weight(1), 5.0);
    host.answer(2);
    assert_eq!(lines(&host.after(600.0, &[])), 0);
}

#[test]
fn a_value_already_on_its_way_is_not_written_again() {
    let mut host = Host::running(start(), 4, 2);
    host.after(600.0, &[heavier(1, 2.0)]);
    host.after(50.0, &[heavier(1, 3.0)]);
    host.after(50.0, &[heavier(1, 2.0)]);
    assert_eq!(lines(&host.after(600.0, &[])), 0);
}

#[test]
fn a_delete_beats_a_write_that_waits() {
    let mut host = Host::running(start(), 4, 2);
    host.after(600.0, &[heavier(0, 2.0)]);
    host.after(50.0, &[heavier(1, 9.0)]);
    host.after(50.0, &[change(vec![listed(1, Phase::Gone)])]);
    host.answer(2);
    host.after(600.0, &[]);
    assert_eq!(host.weight(1), 0.0);
    assert!(host.holds(1));
}

#[test]
fn the_largest_change_goes_first_where_room_is_short() {
    let small = Settings { max_pending_lines: 30.0, ..start() };
    let mut host = Host::running(small, 4, 1);
    let both = change(vec![
        WorkerEntry { weight: 1.5, ..listed(0, Phase::Ready) },
        WorkerEntry { weight: 9.0, ..listed(3, Phase::Ready) },
    ]);
    let orders = host.after(2000.0, &[both]);
    let first = orders.iter().find_map(|order| match order {
        Order::SetLine { worker, .. } => Some(*worker),
        _ => None,
    });
    assert_eq!(first, Some(WorkerId(3)));
}

#[test]
fn a_drained_worker_is_held_at_once_and_its_line_removed_behind_the_hold() {
    let mut host = Host::running(start(), 4, 2);
    let orders = host.after(50.0, &[change(vec![listed(2, Phase::Draining)])]);
    assert!(host.holds(2));
    assert_eq!(lines(&orders), 0);
    host.answer(1);
    host.after(600.0, &[]);
    assert_eq!(host.weight(2), 1.0, "one proxy has not answered");
    let mark = *host.marks.last().unwrap();
    host.after(600.0, &[Event::MarkAcknowledged { mark, took: 1.0, proxy: ProxyId(1) }]);
    assert_eq!(host.weight(2), 0.0);
}

#[test]
fn the_last_sound_line_waits_for_its_replacement_but_not_past_the_grace() {
    for answered in [true, false] {
        let mut host = Host::running(start(), 1, 2);
        let swap = change(vec![listed(0, Phase::Draining), listed(1, Phase::Ready)]);
        host.after(600.0, &[swap]);
        assert_eq!(host.weight(1), 1.0);
        assert!(!host.holds(0), "the replacement is not in force yet");
        if answered {
            host.answer(2);
            assert!(host.holds(0));
        } else {
            host.after(0.3 * 3000.0, &[]);
            assert!(!host.holds(0));
            host.after(0.3 * 3000.0, &[]);
            assert!(host.holds(0), "missing answers must not block a drain");
        }
    }
}

#[test]
fn orders_that_turn_round_while_pending_leave_no_deadlock() {
    let mut host = Host::running(start(), 2, 2);
    host.after(600.0, &[change(vec![listed(0, Phase::Draining)])]);
    assert!(host.holds(0));
    // It comes back, restarted, before anyone answered: the line now goes before the hold is lifted.
    let now = host.now;
    let orders = host.after(600.0, &[change(vec![restarted(0, now)])]);
    assert_eq!(lines(&orders), 1);
    assert!(host.holds(0), "lifted before the easing line is in force");
    host.seconds(2, 2, &[]);
    assert!(!host.holds(0));
    host.after(50.0, &[change(vec![listed(0, Phase::Draining), listed(1, Phase::Draining)])]);
    host.after(50.0, &[change(vec![restarted(1, now), listed(0, Phase::Gone)])]);
    host.seconds(4, 2, &[]);
    assert!(host.holds(0) && !host.holds(1));
    assert!(host.weight(0) == 0.0 && host.weight(1) > 0.0);
}

#[test]
fn a_broken_stream_is_made_good_by_the_next_bind() {
    let mut host = Host::running(start(), 4, 2);
    host.after(600.0, &[heavier(1, 2.0)]);
    host.after(50.0, &[Event::Left { proxy: ProxyId(1) }]);
    let orders = host.after(600.0, &[joined(1)]);
    assert_eq!(host.binds[&ProxyId(1)].len(), 2);
    assert_eq!(lines(&orders), 0, "nobody is sent again what stands");
    host.after(600.0, &[heavier(1, 3.0)]);
    let left = [Event::Left { proxy: ProxyId(0) }, Event::Left { proxy: ProxyId(1) }];
    assert_eq!(lines(&host.after(50.0, &left)), 1, "idle again, as nobody is left to answer");
    host.after(600.0, &[joined(0)]);
    assert_eq!(host.weight(1), 3.0);
    assert_eq!(host.binds[&ProxyId(0)].len(), 2);
}

#[test]
fn what_waits_stays_under_half_the_backlog_until_an_answer_proves_more_room() {
    let tight = Settings { max_pending_lines: 100.0, channel_rate: 1.0, ..start() };
    let mut host = Host::with(tight);
    host.turn(&[list(ListKind::Cached, (0..10).map(|worker| listed(worker, Phase::Ready)).collect())]);
    host.after(10.0, &(0..8).map(joined).collect::<Vec<_>>());
    let bound = host.binds.len();
    assert!((1..=2).contains(&bound), "18 lines each: {bound} bound");
    host.after(400.0, &[]);
    assert_eq!(host.binds.len(), bound, "no answer, no room");
    for _ in 0..8 {
        let mark = *host.marks.last().unwrap();
        let answer = |proxy: &ProxyId| Event::MarkAcknowledged { mark, took: 1.0, proxy: *proxy };
        let answers: Vec<Event> = host.binds.keys().map(answer).collect();
        host.after(100.0, &answers);
    }
    assert_eq!(host.binds.len(), 8);
}

#[test]
fn no_proxy_is_written_more_messages_than_allowed_and_drains_find_room() {
    let few = Settings { max_messages_per_window: 8.0, ..start() };
    let mut host = Host::running(few, 6, 2);
    for step in 0..150 {
        host.after(200.0, &[heavier(1, 1.0 + f64::from(step))]);
        host.answer(2);
        if step == 140 {
            host.after(10.0, &[change(vec![listed(0, Phase::Draining)])]);
            assert!(host.holds(0), "ordinary changes had used up all messages");
        }
    }
    for worker in 1..5 {
        for back in [false, true] {
            let phase = if back { Phase::Ready } else { Phase::Draining };
            host.after(200.0, &[change(vec![listed(worker, phase)])]);
            host.answer(2);
        }
    }
    let since = |from: &Ms| host.messages.iter().filter(|at| (*from..from + 10_000.0).contains(at)).count();
    assert!(host.messages.iter().map(since).max() <= Some(8));
}

#[test]
fn a_cold_worker_enters_by_steps_from_the_cold_share() {
    let mut host = Host::running(start(), 8, 2);
    let booted = host.now;
    host.after(600.0, &[change(vec![restarted(3, booted)])]);
    let mut weights = vec![host.weight(3)];
    for _ in 0..20 {
        host.seconds(1, 2, &[]);
        weights.push(host.weight(3));
    }
    assert!(weights[0] > 0.0 && weights[0] <= 0.25);
    assert!(weights.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(weights[20], 1.0);
    weights.dedup();
    assert!(weights.len() <= 5, "few steps: {weights:?}");
}

#[test]
fn the_cold_are_spared_what_the_sick_cannot_take() {
    let entry = |gone: u32| {
        let tender = Settings { overload_factor: 2.5, ..start() };
        let mut host = Host::running(tender, 8, 2);
        let mut news: Vec<WorkerEntry> = (0..gone).map(|worker| listed(worker, Phase::Gone)).collect();
        news.push(restarted(7, host.now));
        host.after(600.0, &[change(news)]);
        host.seconds(1, 2, &[]);
        host.weight(7)
    };
    assert!(entry(5) < entry(1));
}

#[test]
fn an_operation_open_to_some_workers_has_a_table_of_its_own() {
    let mut some = start();
    some.operations[1].zones = Some(vec![ZoneId(1)]);
    let mut host = Host::running(some, 4, 2);
    assert_eq!(host.binds[&ProxyId(0)], vec![T, TableId(1)]);
    let of_second: Vec<u32> =
        host.weights.keys().filter(|(table, _)| *table != T).map(|(_, worker)| worker.0).collect();
    assert_eq!(of_second, vec![1, 3]);
    let gone = vec![listed(1, Phase::Gone), listed(3, Phase::Gone)];
    host.after(600.0, &[change(gone), joined(2)]);
    host.seconds(3, 3, &[]);
    let bound = &host.binds[&ProxyId(2)];
    assert!(bound.contains(&T));
}

#[test]
fn a_proxy_is_never_bound_to_a_table_with_nothing_to_pick() {
    let mut host = Host::with(start());
    host.turn(&[joined(0)]);
    assert!(host.binds.is_empty());
    host.after(100.0, &[list(ListKind::Full, vec![listed(0, Phase::Ready)])]);
    host.after(100.0, &[]);
    assert_eq!(host.binds.len(), 1);
}

#[test]
fn a_sick_worker_loses_weight_and_gets_it_back() {
    let mut host = Host::running(start(), 8, 2);
    let mut met: Vec<Event> = (1..8).map(|worker| sums(worker, 10.0, 0.0, 100.0)).collect();
    met.push(sums(0, 10.0, 10.0, 0.0));
    host.seconds(12, 2, &met);
    assert!(host.weight(0) < 0.2, "{}", host.weight(0));
    assert!(!host.holds(0), "a small part stays as its trial");
    assert!(host.weight(5) >= 1.0);
    let met: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 0.0, 100.0)).collect();
    let low = host.weight(0);
    host.seconds(12, 2, &met);
    let met: Vec<Event> = (0..8).map(|w| sums(w, 10.0, 0.0, if w == 0 { 60.0 } else { 100.0 })).collect();
    host.seconds(40, 2, &met);
    assert!(host.weight(0) > 2.0 * low);
}

#[test]
fn fleet_wide_badness_and_missing_reports_take_nobody_out() {
    let mut host = Host::running(start(), 8, 2);
    let met: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 8.0, 400.0)).collect();
    host.seconds(10, 2, &met);
    assert!((0..8).all(|worker| host.weight(worker) == 1.0));
    let mut host = Host::running(start(), 8, 2);
    let met: Vec<Event> = (1..8).map(|worker| sums(worker, 10.0, 0.0, 100.0)).collect();
    host.seconds(10, 2, &met);
    assert_eq!(host.weight(0), 1.0, "silence is no evidence");
}

#[test]
fn only_a_part_of_the_fleet_may_fall_low() {
    let mut host = Host::running(start(), 10, 2);
    let bad =
        |worker: u32| if worker < 5 { sums(worker, 10.0, 10.0, 0.0) } else { sums(worker, 20.0, 0.0, 50.0) };
    let met: Vec<Event> = (0..10).map(bad).collect();
    host.seconds(20, 2, &met);
    let low = (0..10).filter(|worker| host.weight(*worker) < 0.5).count();
    assert!((1..=3).contains(&low), "{low} of 10");
}

#[test]
fn overload_lets_less_in_without_further_tries_until_calm() {
    let mut host = Host::running(start(), 8, 2);
    assert!(host.admitted.iter().all(|admitted| *admitted == (1.0, Retry::IfNotExecuted)));
    let strained: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 5.0, 800.0)).collect();
    host.seconds(8, 2, &strained);
    let (level, retry) = *host.admitted.last().unwrap();
    assert!(level < 0.8 && level > 0.0 && retry == Retry::Never);
    let calm: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 0.0, 100.0)).collect();
    host.seconds(60, 2, &calm);
    assert_eq!(*host.admitted.last().unwrap(), (1.0, Retry::IfNotExecuted));
}

#[test]
fn one_crowded_worker_is_no_overload() {
    let mut host = Host::running(start(), 8, 2);
    let mut met: Vec<Event> = (1..8).map(|worker| sums(worker, 10.0, 0.0, 100.0)).collect();
    met.push(sums(0, 30.0, 30.0, 0.0));
    host.seconds(10, 2, &met);
    assert!(host.admitted.iter().all(|admitted| admitted.0 == 1.0));
}

#[test]
fn a_rate_lets_the_same_part_in_at_uneven_proxies() {
    let mut host = Host::running(Settings { level_kind: LevelKind::PerSecond, ..start() }, 8, 2);
    let came = |proxy: u16, invs: f64| Event::ProxySums {
        proxy: ProxyId(proxy),
        op: OpId(0),
        invocations: invs,
        unanswered: 0.0,
        period: 1000.0,
    };
    let mut strained: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 5.0, 800.0)).collect();
    strained.extend([came(0, 5.0), came(1, 95.0)]);
    host.seconds(3, 2, &strained);
    let level = host.admitted.iter().map(|admitted| admitted.0).find(|level| (10.0..1000.0).contains(level));
    let level = level.expect("a level for the first operation");
    assert!(host.admitted.iter().all(|admitted| admitted.0 > 0.3), "nobody reported on the other");
    assert!((25.0..55.0).contains(&level), "the small proxy keeps all of its own: {level}");
}

#[test]
fn nothing_is_repeated_without_proof_that_it_never_ran() {
    let mut host = Host::running(start(), 6, 2);
    let met: Vec<Event> = (0..6).map(|worker| sums(worker, 10.0, f64::from(worker), 300.0)).collect();
    host.seconds(20, 2, &met);
    let safe = |retry: &Retry| matches!(retry, Retry::Never | Retry::IfNotExecuted);
    assert!(!host.admitted.is_empty() && host.admitted.iter().all(|(_, retry)| safe(retry)));
}

#[test]
fn a_worker_missing_from_a_full_list_is_gone_and_a_failed_call_is_made_again() {
    let mut host = Host::running(Settings { list_on_request: true, ..start() }, 3, 1);
    host.after(100.0, &[list(ListKind::Full, vec![listed(0, Phase::Ready), listed(1, Phase::Ready)])]);
    assert!(host.holds(2));
    host.after(100.0, &[list(ListKind::Failed, Vec::new())]);
    assert!(!host.holds(0) && !host.holds(1), "the old list still holds");
    let orders = host.after(5000.0, &[]);
    assert!(orders.contains(&Order::SubscribeToList(true)));
}

#[test]
fn a_restarted_manager_binds_everyone_again() {
    let mut host = Host::running(start(), 4, 3);
    let seen = host.binds.len();
    host.planner = juniperrail::Planner::new(host.now, 8, start());
    host.binds.clear();
    host.turn(&[list(ListKind::Cached, (0..4).map(|worker| listed(worker, Phase::Ready)).collect())]);
    host.after(50.0, &(0..3).map(joined).collect::<Vec<_>>());
    assert_eq!((seen, host.binds.len()), (3, 3));
}

#[test]
fn mark_numbers_wrap() {
    let mut host = Host::running(start(), 2, 1);
    for step in 0..70_000 {
        host.after(500.0, &[heavier(0, 1.0 + f64::from(step % 2))]);
        host.answer(1);
    }
    host.after(600.0, &[change(vec![listed(1, Phase::Draining)])]);
    host.answer(1);
    host.after(600.0, &[]);
    assert_eq!(host.weight(1), 0.0, "the hold's answer was not understood");
}

#[test]
fn settings_of_zero_are_no_room_and_no_trouble() {
    let nothing = Settings {
        channel_rate: 0.0,
        max_pending_lines: 0.0,
        report_period: 0.0,
        warm_up: 0.0,
        cold_share: 0.0,
        overload_factor: 0.0,
        drain_grace: 0.0,
        max_messages_per_window: 1.0,
        message_window: 0.0,
        ..start()
    };
    let mut host = Host::running(nothing, 3, 2);
    host.after(100.0, &[change(vec![listed(0, Phase::Draining), restarted(1, 0.0)]), sums(1, 0.0, 0.0, 0.0)]);
    host.seconds(3, 2, &[sums(1, 9.0, 9.0, 0.0), sums(2, 9.0, 0.0, 0.0)]);
    assert!(host.marks.is_empty(), "a backlog of nothing holds no lines");
}

#[test]
fn slices_are_never_bound() {
    let mut host = Host::running(Settings { slice_count: 64, ..start() }, 4, 2);
    let slice = TableId(3);
    host.after(100.0, &[Event::SliceAssigned { slice }, change(vec![listed(0, Phase::Draining)])]);
    host.seconds(2, 2, &[]);
    assert!(host.binds.is_empty() && host.weights.is_empty() && host.holds(0));
}

#[test]
fn an_operation_open_to_all_leans_away_from_workers_that_a_narrower_one_loads() {
    let mut some = start();
    some.operations[1].zones = Some(vec![ZoneId(1)]);
    let mut host = Host::running(some, 6, 2);
    host.seconds(2, 2, &[]);
    assert!(host.weight(1) <= 0.5 * host.weight(0), "{} {}", host.weight(1), host.weight(0));
    assert_eq!(host.weights[&(TableId(1), WorkerId(1))], 1.0);
}

#[test]
fn a_cold_worker_stays_out_while_the_others_are_strained_where_proxies_avoid_those() {
    let mut host = Host::running(Settings { proxies_avoid_outliers: true, ..start() }, 8, 2);
    let strained: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 5.0, 800.0)).collect();
    host.seconds(3, 2, &strained);
    let restart = host.now;
    host.after(100.0, &[change(vec![restarted(8, restart)])]);
    host.seconds(2, 2, &strained);
    assert_eq!(host.weight(8), 0.0);
    let calm: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 0.0, 100.0)).collect();
    host.seconds(6, 2, &calm);
    assert!(host.weight(8) > 0.0);
}

#[test]
fn under_strain_the_cold_keep_half_their_weight_where_no_proxy_avoids_the_others() {
    // In a release that goes on for long a third of the fleet is cold: without it the others stay strained.
    let mut host = Host::running(start(), 8, 2);
    let met = |each: Ms| (0..8).map(|worker| sums(worker, 10.0, 0.0, each)).collect::<Vec<Event>>();
    host.seconds(3, 2, &met(800.0));
    let restart = host.now;
    host.after(100.0, &[change(vec![restarted(8, restart)])]);
    host.seconds(2, 2, &met(800.0));
    let strained = host.weight(8);
    let mut calm = Host::running(start(), 8, 2);
    let restart = calm.now;
    calm.after(100.0, &[change(vec![restarted(8, restart)])]);
    calm.seconds(2, 2, &met(100.0));
    assert_eq!(strained, calm.weight(8) / 2.0);
}

#[test]
fn a_second_cut_goes_by_reports_of_after_the_first() {
    // Reports still tell of the jam that the first cut has ended: a second one refused half of a calm fleet's work.
    let mut host = Host::running(start(), 8, 2);
    let met: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 0.0, 500.0)).collect();
    let mut cuts = Vec::new();
    for _ in 0..12 {
        let orders = host.after(1000.0, &met);
        host.answer(2);
        let cut = |order: &Order| matches!(order, Order::Log { text, .. } if text.starts_with("admitting "));
        cuts.extend(orders.iter().any(cut).then_some(host.now));
    }
    assert!(cuts.len() > 1, "it goes on where the jam does");
    let told = start().report_period + start().max_transit;
    assert!(cuts.windows(2).all(|pair| pair[1] - pair[0] > 1.7 * told), "{cuts:?}");
}

#[test]
fn the_calmer_the_fleet_the_sooner_all_is_let_in_again() {
    let returns = |each: Ms| {
        let mut host = Host::running(start(), 8, 2);
        let met =
            |bad: f64, each: Ms| (0..8).map(|worker| sums(worker, 10.0, bad, each)).collect::<Vec<Event>>();
        host.seconds(4, 2, &met(5.0, 800.0));
        let low = host.levels[&(T, OpId(0))];
        host.seconds(3, 2, &met(0.0, each));
        host.levels[&(T, OpId(0))] / low
    };
    let (calm, calmer) = (returns(160.0), returns(100.0));
    assert!(calmer > 1.25 * calm, "{calm} {calmer}");
}

#[test]
fn the_part_let_in_returns_carefully_to_where_it_jammed() {
    let mut host = Host::running(start(), 8, 2);
    let strained: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 5.0, 800.0)).collect();
    let calm: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 0.0, 50.0)).collect();
    host.seconds(4, 2, &strained);
    let low = host.admitted.last().unwrap().0;
    assert!(low <= 0.5);
    host.admitted.clear();
    host.seconds(30, 2, &calm);
    let levels: Vec<f64> = host.admitted.iter().step_by(2).map(|admitted| admitted.0).collect();
    let risen = |pair: &[f64]| pair[1] / pair[0];
    assert!(levels.windows(2).filter(|pair| pair[0] >= 0.8).all(|pair| risen(pair) <= 1.11), "{levels:?}");
    let quick = |pair: &[f64]| pair[1] > 0.5 && risen(pair) > 1.2;
    assert!(levels.windows(2).any(quick), "cuts in a row are one jam: {levels:?}");
    assert_eq!(levels.last(), Some(&1.0));
}

#[test]
fn where_crossing_zones_is_dear_proxies_lean_toward_their_own_workers() {
    let mut host = Host::running(Settings { cross_zone_cost: 0.08, ..start() }, 6, 2);
    host.seconds(2, 2, &[]);
    let (near, far) = (host.weights[&(T, WorkerId(0))], host.weights[&(T, WorkerId(1))]);
    assert!(near > 4.0 * far && far > 0.0, "the proxies of zone 0: {near} {far}");
    assert!(host.weights[&(TableId(1), WorkerId(1))] > 4.0 * host.weights[&(TableId(1), WorkerId(0))]);
    let gone = [0, 2, 4].map(|worker| listed(worker, Phase::Gone));
    host.after(600.0, &[change(gone.to_vec())]);
    host.seconds(3, 2, &[]);
    assert!(host.weights[&(T, WorkerId(1))] > 0.5, "nobody near: the others carry it");
}

#[test]
fn where_proxies_avoid_workers_a_cold_one_enters_only_with_room_to_spare() {
    for (avoid, entered) in [(false, true), (true, false)] {
        let mut host = Host::running(Settings { proxies_avoid_outliers: avoid, ..start() }, 8, 2);
        let met: Vec<Event> = (0..8).map(|worker| loaded(worker, 10.0, 0.0, 100.0, 0.84)).collect();
        host.seconds(3, 2, &met);
        let restart = host.now;
        host.after(100.0, &[change(vec![restarted(8, restart)])]);
        host.seconds(2, 2, &met);
        assert_eq!(host.weight(8) > 0.0, entered);
    }
}

#[test]
fn a_handful_of_tries_gone_slowly_shuts_no_door() {
    let mut host = Host::running(start(), 8, 2);
    let slow: Vec<Event> = (0..4).map(|worker| sums(worker, 1.0, 0.0, 420.0)).collect();
    host.seconds(8, 2, &slow);
    assert!(host.admitted.iter().all(|admitted| admitted.0 == 1.0), "{:?}", host.admitted.last());
}

#[test]
fn lost_answers_with_idle_cores_are_no_overload() {
    for (busy, shed) in [(0.4, false), (0.95, true)] {
        let mut host = Host::running(start(), 8, 2);
        let met: Vec<Event> = (0..8).map(|worker| loaded(worker, 10.0, 4.0, 800.0, busy)).collect();
        host.seconds(6, 2, &met);
        assert_eq!(host.admitted.iter().any(|admitted| admitted.0 < 0.9), shed);
    }
}

#[test]
fn a_fleet_too_large_for_one_table_is_laid_in_even_parts() {
    let mut host = Host::running(start(), 60, 60);
    host.seconds(4, 60, &[]);
    assert_eq!(host.binds.len(), 60);
    let read: std::collections::BTreeSet<TableId> = host.binds.values().flatten().copied().collect();
    let width = |table: &TableId| host.weights.keys().filter(|(of, _)| of == table).count();
    assert!(read.len() >= 3 && read.iter().all(|table| (16..30).contains(&width(table))), "{read:?}");
    assert_eq!(read.iter().map(width).sum::<usize>(), 60, "each worker has its part");
    let readers = |table: &TableId| host.binds.values().filter(|bound| bound.contains(table)).count();
    assert!(read.iter().all(|table| (15..26).contains(&readers(table))));
}

#[test]
fn all_proxies_that_may_come_can_be_bound_within_half_a_grace() {
    let (backlog, managers, proxies) = (60_000.0, 5.0, 300.0);
    let all = Settings {
        channel_rate: 2000.0,
        max_pending_lines: backlog,
        manager_count: managers,
        proxy_count: proxies,
        ..start()
    };
    let all = Settings { drain_grace: 6000.0, ..all };
    let mut host = Host::running(all.clone(), 96, 60);
    host.seconds(4, 60, &[]);
    for (proxy, bound) in &host.binds {
        let width = host.weights.keys().filter(|(of, _)| bound.contains(of)).count();
        let round = proxies * (width as f64 + all.message_overhead) * 1000.0 / all.channel_rate;
        assert!(width > 0 && round <= all.drain_grace / 2.0, "{proxy:?}: {width} lines, {round} ms");
    }
}

#[test]
fn a_proxy_whose_stream_breaks_again_and_again_is_written_no_more_messages_than_allowed() {
    let mut host = Host::running(Settings { max_messages_per_window: 12.0, ..start() }, 4, 2);
    let sent = host.binds[&ProxyId(0)].len();
    for _ in 0..20 {
        host.after(300.0, &[Event::Left { proxy: ProxyId(0) }, joined(0)]);
        host.answer(2);
    }
    let again = host.binds[&ProxyId(0)].len() - sent;
    assert!((6..12).contains(&again), "bound {again} times in 8 s, after a first");
}

#[test]
fn holds_that_find_little_room_gather_instead_of_taking_a_message_each() {
    let jammed =
        Settings { max_messages_per_window: 12.0, max_pending_lines: 400.0, channel_rate: 200.0, ..start() };
    let mut host = Host::running(Settings { drain_grace: 14_000.0, ..jammed }, 40, 20);
    host.seconds(4, 20, &[]);
    let leave = (0..30).map(|worker| listed(worker, Phase::Draining)).collect();
    let holds = |orders: &[Order]| {
        orders.iter().any(|order| matches!(order, Order::ExcludeWorker { excluded: true, .. }))
    };
    let mut messages = usize::from(holds(&host.after(100.0, &[change(leave)])));
    for step in 0..80 {
        // Some answer, so that there is room for a hold or two at a time.
        let mark = *host.marks.last().unwrap();
        let some = (0..12).map(|proxy| ProxyId((step * 12 + proxy) % 20));
        let answers = some.map(|proxy| Event::MarkAcknowledged { mark, took: 100.0, proxy });
        messages += usize::from(holds(&host.after(100.0, &answers.collect::<Vec<_>>())));
    }
    assert!((2..6).contains(&messages), "{messages} messages in 8 s");
    host.seconds(4, 20, &[]);
    assert!((0..30).all(|worker| host.holds(worker)));
}

#[test]
fn whoever_comes_goes_before_removals_of_those_held_back() {
    let mut host = Host::running(Settings { warm_up: 0.0, max_pending_lines: 800.0, ..start() }, 16, 20);
    host.seconds(4, 20, &[]);
    let leave = (0..8).map(|worker| listed(worker, Phase::Draining));
    let come = (16..24).map(|worker| listed(worker, Phase::Ready));
    host.after(100.0, &[change(leave.chain(come).collect())]);
    host.seconds(1, 20, &[]);
    assert!((0..8).all(|worker| host.holds(worker)));
    let mut order = Vec::new();
    for _ in 0..40 {
        for orders in [host.after(300.0, &[]), host.answer(20)] {
            order.extend(orders.iter().filter_map(|order| match order {
                Order::SetLine { table: T, worker, weight } => Some((*weight > 0.0, worker.0)),
                _ => None,
            }));
        }
    }
    let last = order.iter().rposition(|(enters, worker)| *enters && *worker >= 16);
    let first = order.iter().position(|(enters, _)| !enters);
    assert!(last.unwrap() < first.unwrap(), "{order:?}");
}

#[test]
fn a_proxy_of_a_zone_that_the_settings_do_not_name_has_tables_too() {
    let dear = Settings { cross_zone_cost: 0.1, ..start() };
    for (workers, own_zone_only) in [(6, false), (6, true), (80, false)] {
        let operations = vec![Operation { own_zone_only, ..operation() }, operation()];
        let mut host = Host::with(Settings { operations, ..dear.clone() });
        let elsewhere = |worker: u32| WorkerEntry {
            zone: ZoneId(if worker.is_multiple_of(3) { 9 } else { (worker % 2) as u16 }),
            ..listed(worker, Phase::Ready)
        };
        host.turn(&[list(ListKind::Cached, (0..workers).map(elsewhere).collect())]);
        let from = |proxy| Event::Joined {
            proxy: ProxyId(proxy),
            fresh: true,
            inv_per_second: 10.0,
            zone: ZoneId([0, 1, 9][usize::from(proxy % 3)]),
        };
        host.after(10.0, &(0..60).map(from).collect::<Vec<_>>());
        host.seconds(8, 60, &[]);
        for proxy in 0..60 {
            let bound = &host.binds[&ProxyId(proxy)];
            assert_eq!(bound.len(), if own_zone_only { 2 } else { 1 }, "{workers} workers, {own_zone_only}");
            let lines = |of: &TableId| host.weights.keys().filter(|(table, _)| table == of).count();
            assert!(bound.iter().all(|table| lines(table) > 0));
        }
    }
}

#[test]
fn a_second_cut_goes_by_no_report_of_before_the_first_could_tell() {
    let mut host = Host::running(start(), 8, 2);
    let met = |bad: f64, mean: f64| (0..8).map(|worker| sums(worker, 20.0, bad, mean)).collect::<Vec<_>>();
    let cuts = |orders: &[Order]| {
        let says = |o: &Order| matches!(o, Order::Log { text, .. } if text.starts_with("admitting "));
        orders.iter().filter(|order| says(order)).count()
    };
    let mut first = 0;
    while first == 0 {
        first = cuts(&host.after(200.0, &met(12.0, 900.0)));
    }
    // Reports of what began before it go on for seven quarters of what a report takes; from then on all is calm.
    let (cut_at, start) = (host.now, start());
    let heard = 1.75 * (start.report_period + start.max_transit);
    while host.now + 100.0 <= cut_at + heard {
        assert_eq!(cuts(&host.after(100.0, &met(12.0, 900.0))), 0);
    }
    let level = host.levels.values().copied().fold(1.0, f64::min);
    for _ in 0..10 {
        host.after(100.0, &met(0.0, 100.0));
        host.answer(2);
        assert!(host.levels.values().all(|now| *now >= level - 1e-9), "{:?} after {level}", host.levels);
    }
}

#[test]
fn lines_that_nobody_reads_hold_up_none_that_are_read() {
    let mut host = Host::running(start(), 60, 60);
    host.seconds(4, 60, &[]);
    let sent = host.marks.len();
    for step in 0..60 {
        host.after(100.0, &[heavier(step, 2.0)]);
        host.answer(60);
    }
    assert!(host.marks.len() > sent + 3, "the unread whole table changed each time");
}

#[test]
fn strain_keeps_the_cold_out_before_busyness_tells_of_it() {
    let mut host = Host::running(Settings { proxies_avoid_outliers: true, ..start() }, 8, 2);
    let met: Vec<Event> = (0..8).map(|worker| loaded(worker, 10.0, 6.0, 900.0, 0.5)).collect();
    host.seconds(3, 2, &met);
    let restart = host.now;
    host.after(100.0, &[change(vec![restarted(8, restart)])]);
    host.seconds(2, 2, &met);
    assert_eq!(host.weight(8), 0.0);
}

#[test]
fn a_heavy_proxy_has_the_whole_fleet_and_light_ones_a_part() {
    let mut host = Host::with(start());
    host.turn(&[list(ListKind::Cached, (0..60).map(|worker| listed(worker, Phase::Ready)).collect())]);
    let heavy = Event::Joined { proxy: ProxyId(0), fresh: true, inv_per_second: 900.0, zone: ZoneId(0) };
    host.after(10.0, &(1..60).map(joined).chain([heavy]).collect::<Vec<_>>());
    host.seconds(8, 60, &[]);
    assert_eq!(host.binds.len(), 60);
    assert_eq!(host.binds[&ProxyId(0)], vec![T]);
    assert!((1..60).all(|proxy| host.binds[&ProxyId(proxy)] != vec![T]));
}

#[test]
fn at_size_a_deploy_costs_lines_in_proportion_and_holds_every_drained_worker() {
    let cost = |size: u32| {
        let mut host = Host::running(start(), size, size as u16);
        host.seconds(10, size as u16, &[]);
        let leave: Vec<WorkerEntry> = (0..size / 4).map(|worker| listed(worker, Phase::Draining)).collect();
        let mut sent = lines(&host.after(100.0, &[change(leave)]));
        for _ in 0..10 {
            sent += lines(&host.answer(size as u16)) + lines(&host.after(300.0, &[]));
        }
        assert!((0..size / 4).all(|worker| host.holds(worker)));
        sent as f64 / f64::from(size)
    };
    assert!(cost(240) < 1.5 * cost(60), "{} {}", cost(240), cost(60));
}

#[test]
fn odd_sizes_neither_panic_nor_stall() {
    for (workers, proxies, most) in [(1, 1, 2000.0), (1, 40, 60.0), (400, 1, 100.0), (300, 3, 500.0)] {
        let mut host = Host::running(Settings { max_pending_lines: most, ..start() }, workers, proxies);
        host.seconds(20, proxies, &[]);
        assert_eq!(host.binds.len(), usize::from(proxies), "{workers} workers, {most} lines");
    }
}

#[test]
fn a_part_left_with_the_cold_lets_less_in_while_strained() {
    let mut host = Host::running(start(), 60, 60);
    host.seconds(4, 60, &[]);
    let part = *host.binds[&ProxyId(0)].last().unwrap();
    let of: Vec<u32> = host.weights.keys().filter(|(table, _)| *table == part).map(|key| key.1 .0).collect();
    let met: Vec<Event> = (0..60).map(|worker| sums(worker, 10.0, 3.0, 500.0)).collect();
    let gone = of.iter().skip(2).map(|worker| listed(*worker, Phase::Gone)).collect();
    host.after(100.0, &[change(gone)]);
    host.seconds(6, 60, &met);
    let levels = host.levels.iter().filter(|((_, op), _)| *op == OpId(0));
    let least = levels.min_by(|a, b| a.1.total_cmp(b.1)).unwrap();
    assert_eq!(least.0 .0, part, "{:?}", host.levels);
}

#[test]
fn a_level_waits_behind_no_weights_where_room_is_short() {
    let mut host = Host::running(Settings { max_pending_lines: 60.0, ..start() }, 8, 1);
    let mut met: Vec<Event> = (0..8).map(|worker| sums(worker, 10.0, 5.0, 800.0)).collect();
    met.extend((0..8).map(|worker| heavier(worker, 9.0)));
    let orders = host.after(3000.0, &met);
    let first = orders.iter().find(|o| matches!(o, Order::SetLine { .. } | Order::SetAdmission { .. }));
    assert!(matches!(first, Some(Order::SetAdmission { .. })), "{first:?}");
}

#[test]
fn a_worker_long_gone_is_forgotten_and_let_back_should_it_come_again() {
    let mut host = Host::running(start(), 4, 2);
    host.seconds(2, 2, &[]);
    host.after(100.0, &[change(vec![listed(0, Phase::Gone)])]);
    let told = |orders: Vec<Order>| orders.contains(&Order::Forget { worker: WorkerId(0) });
    // One proxy has not answered: its hold may not be in force there.
    host.answer(1);
    let mut forgotten = (0..20).any(|_| told(host.after(1000.0, &[])));
    assert!(!forgotten && host.holds(0));
    host.answer(2);
    forgotten = (0..20).any(|_| told(host.after(1000.0, &[])) | told(host.answer(2)));
    assert!(forgotten);
    host.after(100.0, &[change(vec![restarted(0, host.now - 1e6)])]);
    host.seconds(6, 2, &[]);
    assert!(!host.holds(0) && host.weight(0) > 0.0);
}

fn figures(of: &Settings) -> RuntimeSettings {
    RuntimeSettings {
        drain_grace: of.drain_grace,
        warm_up: of.warm_up,
        cold_share: of.cold_share,
        overload_factor: of.overload_factor,
        operations: of.operations.iter().map(|op| (op.latency_objective, op.billed_value)).collect(),
    }
}

#[test]
fn a_figure_changed_while_running_holds_from_then_on_and_nothing_is_forgotten() {
    let mut host = Host::running(start(), 4, 2);
    let booted = host.now - 2_000.0;
    host.after(600.0, &[change(vec![restarted(1, booted)])]);
    host.answer(2);
    assert!(host.weight(1) < 0.5, "cold by the settings' 16 s");
    let orders = host
        .after(600.0, &[Event::SettingsChanged(RuntimeSettings { warm_up: 1_000.0, ..figures(&start()) })]);
    assert_eq!(
        (lines(&orders), host.weight(1)),
        (1, 1.0),
        "warm by the shorter time, and nobody else is written"
    );
    host.answer(2);
    // A shorter grace brings a hold that waits for its replacements forward.
    let mut short = Host::running(start(), 1, 2);
    let mut long = Host::running(start(), 1, 2);
    short
        .after(600.0, &[Event::SettingsChanged(RuntimeSettings { drain_grace: 500.0, ..figures(&start()) })]);
    long.after(600.0, &[]);
    for host in [&mut short, &mut long] {
        host.after(10.0, &[change(vec![listed(0, Phase::Draining), listed(1, Phase::Ready)])]);
        host.after(210.0, &[]);
    }
    assert!(short.holds(0) && !long.holds(0));
}

#[test]
fn who_holds_a_change_is_told_by_answers_alone() {
    let of = std::collections::BTreeSet::from([WorkerId(1)]);
    let mut host = Host::running(start(), 4, 3);
    assert_eq!(host.planner.synced_proxy_count(&of), 3, "nothing is under way");
    host.after(600.0, &[change(vec![listed(1, Phase::Draining)])]);
    assert_eq!(host.planner.synced_proxy_count(&of), 0, "told and not answered");
    let mark = *host.marks.last().unwrap();
    let answer = |proxy| Event::MarkAcknowledged { mark, took: 1.0, proxy: ProxyId(proxy) };
    host.after(50.0, &[answer(0), answer(2)]);
    host.after(600.0, &[]);
    assert!(host.planner.synced_proxy_count(&of) < 3, "one is slow");
    host.answer(3);
    host.after(600.0, &[]);
    host.answer(3);
    assert_eq!(host.planner.synced_proxy_count(&of), 3);
    host.after(600.0, &[heavier(1, 2.0), joined(7)]);
    assert_eq!(host.planner.synced_proxy_count(&of), 0, "the newcomer and the others, until they answer");
    host.answer(8);
    host.after(600.0, &[]);
    host.answer(8);
    host.after(600.0, &[]);
    host.answer(8);
    assert_eq!(host.planner.synced_proxy_count(&of), 4);
    assert_eq!(host.planner.unacknowledged_lines(), 0.0);
}
