use super::*;

const TABLE: TableId = TableId(0);

fn names() -> Names {
    let mut names = Names::default();
    ["a", "b", "c"].iter().for_each(|worker| _ = names.worker(worker));
    ["lookup", "order"].iter().for_each(|op| _ = names.ops.id_for(op));
    names
}

fn line(table: TableId, worker: u32, weight: f64) -> Order {
    Order::SetLine { table, worker: WorkerId(worker), weight }
}

fn bind(table: TableId, ops: u32, proxy: u16) -> Order {
    Order::Bind { table, ops, proxy: ProxyId(proxy) }
}

fn exclude(worker: u32, excluded: bool) -> Order {
    Order::ExcludeWorker { worker: WorkerId(worker), excluded }
}

fn admit(scope: AdmissionScope, ops: u32, level: f64) -> Order {
    Order::SetAdmission { scope, ops, level, retry: Retry::IfNotExecuted }
}

fn mark(number: u16, all_proxies: bool) -> Order {
    Order::Mark { number: MarkId(number), all_proxies }
}

/// An order writer with this many fresh proxies.
fn order_writer(proxies: u16) -> OrderWriter {
    let mut order_writer = OrderWriter::default();
    (0..proxies).for_each(|proxy| order_writer.add_proxy(ProxyId(proxy), true));
    order_writer
}

/// Runs a turn with these orders. Returns each proxy concerned, its message, and the number of lines that the
/// message counts for.
fn write(order_writer: &mut OrderWriter, orders: &[Order]) -> Vec<(u16, String, usize)> {
    let messages = order_writer.messages(orders, &names()).into_iter();
    messages
        .map(|message| (message.proxy.0, String::from_utf8(message.bytes.to_vec()).unwrap(), message.lines))
        .collect()
}

#[test]
fn a_turn_is_one_message_per_proxy_and_its_lines_are_counted() {
    let mut order_writer = order_writer(3);
    let orders = [
        line(TABLE, 0, 1.5),
        line(TABLE, 1, 0.2),
        exclude(1, true),
        admit(AdmissionScope::Table(TABLE), 0, 0.9),
    ];
    let first = write(&mut order_writer, &orders);
    // The exclusion goes to unbound proxies, which may hold other managers' tables. Nothing else concerns a proxy
    // yet.
    assert_eq!(first.len(), 3);
    assert_eq!(first[0], (0, "push out=b\r\n".into(), 1));
    let bound = write(&mut order_writer, &[bind(TABLE, 0, 0), bind(TABLE, 0, 2), mark(905, false)]);
    // One line for the bind, two for the table, one for the exclusion, one for the level, one for the mark.
    let full_table = "push whole=1 lines=a:1.5,b:0.2 level=0.9 retry=1 out=b ticket=905\r\n";
    assert_eq!(bound, [(0, full_table.to_string(), 6), (2, full_table.to_string(), 6)]);
    let changed = write(
        &mut order_writer,
        &[line(TABLE, 0, 0.30000000000000004), line(TABLE, 1, 0.0), mark(906, false)],
    );
    assert_eq!(changed[0].1, "push lines=a:0.30000000000000004,b:0 ticket=906\r\n");
    assert_eq!(changed.iter().map(|message| (message.0, message.2)).collect::<Vec<_>>(), [(0, 3), (2, 3)]);
    // For a worker without a line only the unbound proxy is concerned.
    assert_eq!(write(&mut order_writer, &[exclude(1, false)]), [(1, "push back=b\r\n".to_string(), 1)]);
    let to_all = write(&mut order_writer, &[mark(907, true)]);
    assert_eq!((to_all.len(), to_all[1].1.as_str()), (3, "push ticket=907\r\n"));
}

#[test]
fn operations_with_different_tables_or_levels_are_parts_of_one_message() {
    let mut order_writer = order_writer(1);
    let other = TableId(1);
    write(
        &mut order_writer,
        &[line(TABLE, 0, 1.0), line(other, 1, 1.0), admit(AdmissionScope::Table(other), 2, 0.5)],
    );
    let bound = write(&mut order_writer, &[bind(TABLE, 1, 0), bind(other, 2, 0), mark(1, false)]);
    let parts = "push classes=lookup whole=1 lines=a:1 more=1\r\n\
                 push classes=order whole=1 lines=b:1 level=0.5 retry=1 ticket=1\r\n";
    assert_eq!(bound, [(0, parts.to_string(), 6)]);
    // Only operations that the proxy binds to the table are concerned.
    let level = write(&mut order_writer, &[admit(AdmissionScope::Table(other), 0, 0.4)]);
    assert_eq!(level, [(0, "push classes=order level=0.4 retry=1\r\n".to_string(), 1)]);
    write(&mut order_writer, &[bind(TABLE, 0, 0)]);
    let both = write(
        &mut order_writer,
        &[admit(AdmissionScope::Table(TABLE), 1, 3.0), admit(AdmissionScope::Table(TABLE), 2, 4.0)],
    );
    let parts = "push classes=lookup level=3 retry=1 more=1\r\npush classes=order level=4 retry=1\r\n";
    assert_eq!(both, [(0, parts.to_string(), 2)]);
}

/// An operation that is not bound to a table may still have another manager's table, with any worker: an exclusion that
/// was not sent to such a proxy never reached it.
#[test]
fn an_exclusion_goes_to_proxies_with_an_unbound_operation() {
    let mut order_writer = order_writer(2);
    write(&mut order_writer, &[line(TABLE, 0, 1.0), bind(TABLE, 1, 0), bind(TABLE, 0, 1)]);
    assert_eq!(write(&mut order_writer, &[exclude(1, true)]), [(0, "push out=b\r\n".to_string(), 1)]);
    write(&mut order_writer, &[line(TableId(1), 0, 1.0), bind(TableId(1), 2, 0)]);
    assert_eq!(
        write(&mut order_writer, &[exclude(2, true)]),
        [],
        "both proxies are bound for all operations"
    );
}

/// A proxy that was bound after a worker had left its table was not sent the worker's exclusion. If the worker came
/// back into the table and drained again before it was readmitted, that proxy kept using it.
#[test]
fn the_line_of_an_excluded_worker_comes_with_its_exclusion_where_that_was_not_sent() {
    let mut order_writer = order_writer(1);
    write(&mut order_writer, &[line(TABLE, 0, 1.0), line(TABLE, 1, 1.0), bind(TABLE, 0, 0)]);
    write(&mut order_writer, &[exclude(1, true)]);
    write(&mut order_writer, &[line(TABLE, 1, 0.0)]);
    order_writer.add_proxy(ProxyId(1), true);
    write(&mut order_writer, &[bind(TABLE, 0, 1)]);
    // The worker has started again; it is readmitted once this line is acknowledged.
    let lines = write(&mut order_writer, &[line(TABLE, 1, 0.5)]);
    assert_eq!(
        lines,
        [(0, "push lines=b:0.5\r\n".to_string(), 1), (1, "push lines=b:0.5 out=b\r\n".to_string(), 2)]
    );
    assert_eq!(write(&mut order_writer, &[line(TABLE, 1, 0.6)])[1].1, "push lines=b:0.6\r\n");
    assert_eq!(write(&mut order_writer, &[exclude(1, false)])[1].1, "push back=b\r\n");
}

#[test]
fn a_full_table_comes_with_its_levels_and_the_lower_of_two_levels_applies() {
    let mut order_writer = order_writer(1);
    write(
        &mut order_writer,
        &[line(TABLE, 0, 1.0), bind(TABLE, 0, 0), admit(AdmissionScope::Table(TABLE), 1, 0.5)],
    );
    let all = write(&mut order_writer, &[admit(AdmissionScope::AllProxies, 0, 0.7)]);
    let parts = "push classes=lookup level=0.5 retry=1 more=1\r\npush classes=order level=0.7 retry=1\r\n";
    assert_eq!(all[0].1, parts);
    let cleared = write(&mut order_writer, &[Order::ClearTable { table: TABLE }]);
    assert_eq!(cleared[0].1, "push whole=1 level=0.7 retry=1\r\n");
}

#[test]
fn a_worker_that_another_manager_may_have_excluded_is_included_with_its_line() {
    let entry = |worker, started_at, phase| WorkerEntry {
        worker: WorkerId(worker),
        phase,
        started_at,
        zone: ZoneId(0),
        machine: MachineId(0),
        cell: CellId(0),
        weight: 1.0,
    };
    let mut order_writer = order_writer(1);
    order_writer.record_entry(&entry(0, None, Phase::Ready));
    order_writer.record_entry(&entry(1, Some(5.0), Phase::Ready));
    order_writer.record_entry(&entry(2, None, Phase::Draining));
    order_writer.add_proxy(ProxyId(1), false);
    write(&mut order_writer, &[line(TABLE, 0, 1.0), line(TABLE, 1, 1.0)]);
    let bound = write(&mut order_writer, &[bind(TABLE, 0, 0), bind(TABLE, 0, 1)]);
    assert_eq!(bound[0].1, "push whole=1 lines=a:1,b:1\r\n", "a fresh proxy excludes no worker");
    assert_eq!(bound[1].1, "push whole=1 lines=a:1,b:1 back=b\r\n");
    let changed = write(&mut order_writer, &[line(TABLE, 1, 2.0), line(TABLE, 2, 1.0)]);
    assert_eq!(
        changed[1].1, "push lines=b:2,c:1 back=c\r\n",
        "the inclusion of each worker is sent once per stream"
    );
    // What was sent over the old stream does not count for the new one.
    write(&mut order_writer, &[exclude(1, true)]);
    order_writer.remove_proxy(ProxyId(1));
    write(&mut order_writer, &[exclude(1, false)]);
    order_writer.add_proxy(ProxyId(1), false);
    assert_eq!(
        write(&mut order_writer, &[bind(TABLE, 0, 1)])[0].1,
        "push whole=1 lines=a:1,b:2,c:1 back=b,c\r\n"
    );
}

#[test]
fn a_worker_that_was_excluded_and_forgotten_is_included_when_it_returns() {
    let mut order_writer = order_writer(1);
    write(
        &mut order_writer,
        &[line(TABLE, 0, 1.0), line(TABLE, 1, 1.0), bind(TABLE, 0, 0), exclude(1, true), line(TABLE, 1, 0.0)],
    );
    let entry = |worker| WorkerEntry {
        worker: WorkerId(worker),
        phase: Phase::Ready,
        started_at: Some(5.0),
        zone: ZoneId(0),
        machine: MachineId(0),
        cell: CellId(0),
        weight: 1.0,
    };
    (0..2).for_each(|worker| order_writer.record_entry(&entry(worker)));
    order_writer.forget(WorkerId(1));
    assert!(order_writer.excluded.is_empty() && order_writer.proxies[&ProxyId(0)].exclusions.is_empty());
    assert_eq!(
        write(&mut order_writer, &[line(TABLE, 0, 2.0)])[0].1,
        "push lines=a:2\r\n",
        "no inclusion is sent for a worker that was never excluded"
    );
    // The same worker, listed again with a new id.
    order_writer.record_entry(&entry(2));
    assert_eq!(write(&mut order_writer, &[line(TABLE, 2, 1.0)])[0].1, "push lines=c:1 back=c\r\n");
}

#[test]
fn a_worker_that_an_operator_brings_back_is_included_although_discovery_saw_no_start() {
    let mut order_writer = order_writer(1);
    write(
        &mut order_writer,
        &[line(TABLE, 0, 1.0), line(TABLE, 1, 1.0), bind(TABLE, 0, 0), exclude(1, true), line(TABLE, 1, 0.0)],
    );
    order_writer.forget(WorkerId(1));
    order_writer.mark_maybe_excluded(WorkerId(2));
    assert_eq!(write(&mut order_writer, &[line(TABLE, 2, 1.0)])[0].1, "push lines=c:1 back=c\r\n");
}

const ANY_ZONE: Operation = Operation {
    latency_objective: 500.0,
    billed_value: 1.0,
    zones: None,
    machines: None,
    own_zone_only: false,
};

#[test]
fn the_planners_count_of_unacknowledged_lines_is_never_below_the_lines_written() {
    check_counted_lines(&[ANY_ZONE, ANY_ZONE], 1);
}

/// As above, where an operation has a table for each zone of proxies and some zones at times have no worker, so that
/// proxies lack one of their tables.
#[test]
fn lines_to_proxies_that_lack_a_table_are_counted() {
    check_counted_lines(&[ANY_ZONE, Operation { own_zone_only: true, ..ANY_ZONE }], 12);
}

/// Checks that the planner's count of unacknowledged lines is never below what was written to the channel; otherwise the
/// planner would send more than the channel can take. Random histories of a small fleet, in which workers start, drain,
/// leave and return, and proxies join with other managers' orders, disconnect and acknowledge late.
fn check_counted_lines(operations: &[Operation], zone_count: u16) {
    use juniperrail::Planner;
    const HISTORIES: u64 = 60;
    const TURNS_PER_HISTORY: usize = 400;
    const PROXIES: u16 = 24;
    const WORKERS: usize = 70;
    let settings = Settings {
        operations: operations.to_vec(),
        zones: (0..zone_count).map(ZoneId).collect(),
        channel_rate: 600.0,
        max_pending_lines: 1200.0,
        message_overhead: 4.0,
        max_messages_per_window: 12.0,
        message_window: 10_000.0,
        max_transit: 400.0,
        report_period: 1000.0,
        drain_grace: 5000.0,
        warm_up: 3000.0,
        cold_share: 0.25,
        overload_factor: 4.0,
        proxy_count: f64::from(PROXIES),
        manager_count: 3.0,
        ..Settings::default()
    };
    let (mut full_table_count, mut included_count) = (0, 0);
    for seed in 0..HISTORIES {
        let (mut rng, mut now) = (fastrand::Rng::with_seed(seed), 1000.0);
        let mut names = names();
        let mut planner = Planner::new(now, seed, settings.clone());
        let mut order_writer = OrderWriter::default();
        // By mark and proxy: the lines written, with the message overhead.
        let mut unacknowledged: BTreeMap<(u64, ProxyId), f64> = BTreeMap::new();
        let (mut mark, mut joined) = (0_u64, BTreeSet::new());
        let mut listed: Vec<WorkerEntry> = Vec::new();
        let entry = |id: u32, phase, started_at| {
            let zone = ZoneId((id % u32::from(zone_count)) as u16);
            let (machine, cell) = (MachineId(0), CellId(0));
            WorkerEntry { worker: WorkerId(id), phase, started_at, zone, machine, cell, weight: 1.0 }
        };
        let mut events = Vec::new();
        for _ in 0..WORKERS {
            let id = names.worker(&format!("w{}", names.workers.count()));
            listed.push(entry(id.0, Phase::Ready, rng.bool().then_some(900.0)));
        }
        listed.iter().for_each(|entry| order_writer.record_entry(entry));
        events.push(Event::List { kind: ListKind::Remembered, version: 1, workers: listed.clone() });
        for _ in 0..TURNS_PER_HISTORY {
            now += f64::from(rng.u32(5..250));
            let proxy = ProxyId(rng.u16(0..PROXIES));
            match rng.u32(0..12) {
                // A proxy joins; if it has a stream already, the new one replaces that.
                0..4 => {
                    let (fresh, inv_per_second) = (rng.u32(0..3) == 0, rng.f64() * 3.0);
                    let zone = ZoneId(proxy.0 % zone_count);
                    order_writer.remove_proxy(proxy);
                    if !joined.insert(proxy) {
                        events.push(Event::Left { proxy });
                    }
                    order_writer.add_proxy(proxy, fresh);
                    events.push(Event::Joined { proxy, fresh, inv_per_second, zone });
                }
                // A proxy disconnects.
                4 if joined.remove(&proxy) => {
                    order_writer.remove_proxy(proxy);
                    events.push(Event::Left { proxy });
                }
                // A worker starts, drains or leaves; one that left is replaced by a new worker.
                5..7 => {
                    let index = rng.usize(0..listed.len());
                    let changed = &mut listed[index];
                    (changed.phase, changed.started_at) = match (changed.phase, rng.u32(0..4)) {
                        (Phase::Ready, 0) => (Phase::Ready, Some(now)),
                        (Phase::Ready, _) => (Phase::Draining, changed.started_at),
                        (Phase::Draining, 0..2) => (Phase::Ready, Some(now)),
                        _ => (Phase::Gone, changed.started_at),
                    };
                    let mut workers = vec![changed.clone()];
                    if changed.phase == Phase::Gone {
                        listed.swap_remove(index);
                        let id = names.worker(&format!("n{}", rng.u32(..)));
                        listed.push(entry(id.0, Phase::Ready, Some(now)));
                        workers.extend(listed.last().cloned());
                    }
                    workers.iter().for_each(|entry| order_writer.record_entry(entry));
                    events.push(Event::List { kind: ListKind::Changes, version: 2, workers });
                }
                // A joined proxy acknowledges a mark.
                _ => {
                    let pending =
                        unacknowledged.keys().filter(|(_, id)| joined.contains(id)).nth(rng.usize(0..3));
                    if let Some((mark, proxy)) = pending.copied() {
                        events.push(Event::MarkAcknowledged { mark: MarkId(mark as u16), took: 1.0, proxy });
                        unacknowledged = unacknowledged.split_off(&(mark, ProxyId(0)));
                        unacknowledged.remove(&(mark, proxy));
                    }
                }
            }
            let orders = planner.process_events(now, &std::mem::take(&mut events));
            let messages = order_writer.messages(&orders, &names);
            mark += u64::from(!messages.is_empty());
            for OutboundMessage { proxy, bytes, lines, .. } in messages {
                unacknowledged.insert((mark, proxy), lines as f64 + settings.message_overhead);
                let text = String::from_utf8(bytes.to_vec()).unwrap();
                full_table_count += text.matches("whole=1").count();
                included_count += text.matches("back=").count();
            }
            for order in orders {
                if let Order::Forget { worker } = order {
                    order_writer.forget(worker);
                    names.workers.forget(worker.0);
                }
            }
            let written = unacknowledged.values().sum::<f64>();
            assert!(
                planner.unacknowledged_lines() >= written - 1e-6,
                "seed {seed}: the planner counts {} lines, but {written} were written",
                planner.unacknowledged_lines()
            );
        }
    }
    assert!(
        full_table_count > 1000 && included_count > 500,
        "{full_table_count} full tables, {included_count} messages that include workers"
    );
}
