//! The cost of a planner turn as the numbers of workers and proxies grow, measured as elapsed time in a single process.

use std::time::Instant;

use juniperrail::Planner;
use juniperrail_interface::*;

use crate::report::Report;

/// Maximum ratio of the cost of a turn at a larger size to the cost at the first size. The cost is the median duration
/// of a turn divided by the number of workers and proxies.
const MAX_COST_RATIO: f64 = 5.0;

/// The measured sizes, as numbers of workers and proxies.
const SIZES: [(u32, u16); 3] = [(200, 450), (200, 2400), (1100, 2400)];

/// Number of turns of one run.
const TURNS: u32 = 400;
/// The turn at which half of the workers start to drain and as many new ones become ready.
const REPLACEMENT_TURN: u32 = 200;

fn settings(proxies: u16) -> Settings {
    let operation = Operation {
        latency_objective: 600.0,
        billed_value: 1.0,
        zones: None,
        machines: None,
        own_zone_only: false,
    };
    Settings {
        operations: vec![operation.clone(), operation.clone(), operation],
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

fn worker_entry(worker: u32, phase: Phase, started_at: Option<Ms>) -> WorkerEntry {
    let (zone, machine, cell) = (ZoneId((worker % 3) as u16), MachineId(0), CellId(0));
    WorkerEntry { worker: WorkerId(worker), phase, started_at, zone, machine, cell, weight: 1.0 }
}

/// Runs a new planner, with sums and acknowledged marks at each turn and a replacement of half of the workers midway.
/// Returns the durations of the turns in milliseconds, sorted.
fn turn_durations(workers: u32, proxies: u16, seed: u64) -> Vec<f64> {
    let (mut rng, mut now) = (fastrand::Rng::with_seed(seed), 1000.0);
    let mut planner = Planner::new(now, seed, settings(proxies));
    let all_workers = |phase| (0..workers).map(|worker| worker_entry(worker, phase, None)).collect();
    let mut events =
        vec![Event::List { kind: ListKind::Remembered, version: 1, workers: all_workers(Phase::Ready) }];
    for proxy in 0..proxies {
        let (zone, inv_per_second) = (ZoneId(proxy % 3), rng.f64());
        events.push(Event::Joined { proxy: ProxyId(proxy), fresh: true, inv_per_second, zone });
    }
    let (mut durations, mut marks) = (Vec::new(), Vec::new());
    for turn in 0..TURNS {
        if turn == REPLACEMENT_TURN {
            let leaving = (0..workers / 2).map(|worker| worker_entry(worker, Phase::Draining, None));
            let joining =
                (workers..workers + workers / 2).map(|worker| worker_entry(worker, Phase::Ready, Some(now)));
            let workers = leaving.chain(joining).collect();
            events.push(Event::List { kind: ListKind::Changes, version: 2, workers });
        }
        let started = Instant::now();
        let orders = planner.process_events(now, &events);
        durations.push(started.elapsed().as_secs_f64() * 1000.0);
        events.clear();
        marks.extend(orders.iter().filter_map(|order| match order {
            Order::Mark { number, .. } => Some(*number),
            _ => None,
        }));
        now += 50.0;
        for _ in 0..40 {
            let (zone, worker) = (ZoneId(rng.u16(0..3)), WorkerId(rng.u32(0..workers)));
            let tries = rng.f64() * 20.0;
            events.push(Event::WorkerSums {
                zone,
                worker,
                tries,
                failed: 0.0,
                mean_latency: 150.0,
                period: 2000.0,
                load: Load::default(),
            });
        }
        // The channel keeps up: every 20 turns, which is once a second, each proxy acknowledges the newest mark but
        // one.
        if let Some(mark) = marks.get(marks.len().saturating_sub(2)) {
            let acknowledgement =
                |proxy| Event::MarkAcknowledged { mark: *mark, took: 500.0, proxy: ProxyId(proxy) };
            events
                .extend((0..proxies).filter(|proxy| turn % 20 == u32::from(proxy % 20)).map(acknowledgement));
        }
    }
    durations.sort_by(f64::total_cmp);
    durations
}

pub fn run(report: &mut Report) {
    let mut cost_per_peer = Vec::new();
    for (workers, proxies) in SIZES {
        let mut durations: Vec<f64> =
            (0..3).flat_map(|seed| turn_durations(workers, proxies, seed)).collect();
        durations.sort_by(f64::total_cmp);
        let quantile = |share: f64| durations[(share * (durations.len() - 1) as f64) as usize];
        let figures = format!(
            "{:.2} ms p50, {:.2} ms p99, {:.2} ms most",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
        report.figure(&format!("a turn with {workers} workers, {proxies} proxies"), figures);
        cost_per_peer.push(quantile(0.5) / f64::from(workers + u32::from(proxies)));
    }
    for ((workers, proxies), cost) in SIZES.iter().zip(&cost_per_peer).skip(1) {
        let ratio = cost / cost_per_peer[0];
        let name = format!("cost per worker and proxy at {workers} + {proxies}, against the first");
        report.bound(&name, format!("{ratio:.2}"), ratio <= MAX_COST_RATIO);
    }
}
