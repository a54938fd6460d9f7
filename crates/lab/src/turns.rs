//! Turns of the decision module at full size, in one process and by the processor's time of this thread: what a turn
//! costs as workers and proxies grow.

use std::time::Instant;

use juniperrail::Planner;
use juniperrail_interface::*;

use crate::report::Report;

/// A turn with this many workers and proxies may cost at most so much more than one with the first size, for each
/// worker and proxy that there are.
const GROWTH: f64 = 5.0;

const SIZES: [(u32, u16); 3] = [(200, 450), (200, 2400), (1100, 2400)];

fn start(proxies: u16) -> Settings {
    let op = Operation {
        latency_objective: 600.0,
        billed_value: 1.0,
        zones: None,
        machines: None,
        own_zone_only: false,
    };
    Settings {
        operations: vec![op.clone(), op.clone(), op],
        zones: (0..3).map(ZoneId).collect(),
        level_kind: LevelKind::PerSecond,
        cross_zone_cost: 0.01,
        channel_cost: 0.04,
        channel_rate: 6000.0,
        max_pending_lines: 70_000.0,
        message_overhead: 4.0,
        max_messages_per_window: 12.0,
        message_window: 10_000.0,
        max_transit: 1000.0,
        report_period: 2000.0,
        drain_grace: 14_000.0,
        warm_up: 18_000.0,
        cold_share: 0.3,
        overload_factor: 4.0,
        proxy_count: f64::from(proxies),
        manager_count: 5.0,
        ..Settings::default()
    }
}

fn listed(worker: u32, phase: Phase, booted: Option<Ms>) -> WorkerEntry {
    let (zone, machine, cell) = (ZoneId((worker % 3) as u16), MachineId(0), CellId(0));
    WorkerEntry { worker: WorkerId(worker), phase, booted, zone, machine, cell, weight: 1.0 }
}

/// Milliseconds of each turn: a start, then reports and answers, a release of half the workers in the midst.
fn day(workers: u32, proxies: u16, seed: u64) -> Vec<f64> {
    let (mut rng, mut now) = (fastrand::Rng::with_seed(seed), 1000.0);
    let mut planner = Planner::new(now, seed, start(proxies));
    let all = |phase| (0..workers).map(|worker| listed(worker, phase, None)).collect();
    let mut events = vec![Event::List { kind: ListKind::Remembered, version: 1, workers: all(Phase::Ready) }];
    for proxy in 0..proxies {
        let (zone, inv_per_second) = (ZoneId(proxy % 3), rng.f64());
        events.push(Event::Joined { proxy: ProxyId(proxy), fresh: true, inv_per_second, zone });
    }
    let (mut took, mut marks) = (Vec::new(), Vec::new());
    for turn in 0..400_u32 {
        if turn == 200 {
            let leave = (0..workers / 2).map(|worker| listed(worker, Phase::Draining, None));
            let come = (workers..workers + workers / 2).map(|worker| listed(worker, Phase::Ready, Some(now)));
            let workers = leave.chain(come).collect();
            events.push(Event::List { kind: ListKind::Changes, version: 2, workers });
        }
        let started = Instant::now();
        let orders = planner.process_events(now, &events);
        took.push(started.elapsed().as_secs_f64() * 1000.0);
        events.clear();
        marks.extend(orders.iter().filter_map(|order| match order {
            Order::Mark { number, .. } => Some(*number),
            _ => None,
        }));
        now += 50.0;
        for _ in 0..40 {
            let (zone, worker) = (ZoneId(rng.u16(0..3)), WorkerId(rng.u32(0..workers)));
            let (tries, bad, mean, over) = (rng.f64() * 20.0, 0.0, 150.0, 2000.0);
            events.push(Event::WorkerSums {
                zone,
                worker,
                tries,
                failed: bad,
                mean_latency: mean,
                period: over,
                load: Load::default(),
            });
        }
        // The channel bears its lines: marks are answered a second after they were sent.
        if let Some(mark) = marks.get(marks.len().saturating_sub(2)) {
            let answer = |proxy| Event::MarkAcknowledged { mark: *mark, took: 500.0, proxy: ProxyId(proxy) };
            events.extend((0..proxies).filter(|proxy| turn % 20 == u32::from(proxy % 20)).map(answer));
        }
    }
    took.sort_by(f64::total_cmp);
    took
}

pub fn run(report: &mut Report) {
    let mut each = Vec::new();
    for (workers, proxies) in SIZES {
        let mut took: Vec<f64> = (0..3).flat_map(|seed| day(workers, proxies, seed)).collect();
        took.sort_by(f64::total_cmp);
        let at = |part: f64| took[(part * (took.len() - 1) as f64) as usize];
        let figures = format!("{:.2} ms p50, {:.2} ms p99, {:.2} ms most", at(0.5), at(0.99), at(1.0));
        report.figure(&format!("a turn with {workers} workers, {proxies} proxies"), figures);
        each.push(at(0.5) / f64::from(workers + u32::from(proxies)));
    }
    for ((workers, proxies), cost) in SIZES.iter().zip(&each).skip(1) {
        let ratio = cost / each[0];
        let name = format!("for each of {workers} and {proxies}, against the first");
        report.bound(&name, format!("{ratio:.2}"), ratio <= GROWTH);
    }
}
