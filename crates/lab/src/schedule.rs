//! Many schedules at five replicas whose leader is killed repeatedly. Checks that no side-effecting occurrence takes
//! effect twice and that none is missed without a log line, and measures how late occurrences run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use juniperrail_schedule::Timing;
use juniperrail_trials::{ClusterConfig, TestCluster};

use crate::report::Report;

/// Every schedule is due once a minute, and jitter spreads the schedules over the minute.
const CRON: &str = "* * * * *";
const PERIOD_MS: i64 = 60_000;
const JITTER_MS: f64 = 58_000.0;
/// The time between two kills of a leader. A killed leader is restarted once another replica leads.
const KILL_INTERVAL: Duration = Duration::from_secs(10);
/// The wait after the last kill, long enough for every claimed occurrence to complete.
const COMPLETION_WAIT: Duration = Duration::from_secs(6);

/// Runs `count` schedules for `seconds`, every other one side-effecting, then checks the executor's and the managers'
/// logs.
pub fn run(report: &mut Report, count: usize, seconds: u64) {
    let schedule = |number: usize| {
        let effect = if number.is_multiple_of(2) { "idempotent" } else { "side-effecting" };
        format!(
            "<schedule><name>s-{number}</name><cron>{CRON}</cron><jitter>{JITTER_MS}</jitter><worker>WORKER</worker><path>/run</path>\
             <effect>{effect}</effect><deadline>30000</deadline><backoff>100</backoff><lease>4000</lease></schedule>"
        )
    };
    let schedules: String = (0..count).map(schedule).collect();
    let config = ClusterConfig {
        managers: 5,
        proxies_per_manager: 0,
        schedules,
        heartbeat_ms: 100,
        election_timeout_ms: 1000,
        max_log_entries: 20_000,
        ..ClusterConfig::default()
    };
    let mut cluster = TestCluster::start(config);
    cluster.wait_for_leader();
    let started = Instant::now();
    let mut kills = 0;
    while started.elapsed() < Duration::from_secs(seconds) {
        std::thread::sleep(KILL_INTERVAL);
        let leader = cluster.wait_for_leader();
        cluster.manager(leader).kill();
        kills += 1;
        cluster.wait_for_leader_except(&[leader]);
        cluster.manager(leader).start();
    }
    std::thread::sleep(COMPLETION_WAIT);
    let executions = cluster.executor.executions();
    // The number of executions of each occurrence, by the schedule's name and the due time.
    let mut executions_by_occurrence: BTreeMap<(String, i64), usize> = BTreeMap::new();
    executions.iter().for_each(|execution| {
        *executions_by_occurrence.entry((execution.schedule.clone(), execution.due)).or_default() += 1;
    });
    let is_side_effecting = |name: &str| {
        name.strip_prefix("s-")
            .and_then(|number| number.parse::<usize>().ok())
            .is_some_and(|number| number % 2 == 1)
    };
    let executed_twice = executions_by_occurrence
        .iter()
        .filter(|((name, _), count)| is_side_effecting(name) && **count > 1)
        .count();
    // Occurrences that any manager logged as claimed or skipped.
    let mut decided: BTreeMap<(String, i64), ()> = BTreeMap::new();
    let (mut unanswered_lines, mut skip_lines) = (0, 0);
    for manager in cluster.managers.values() {
        for line in manager.log_lines() {
            let Some((_, event)) = line.split_once("fleet: ") else { continue };
            if event.contains(" is claimed by ") {
                let occurrence = event
                    .split_once(" of ")
                    .and_then(|(name, rest)| Some((name.to_string(), rest.split(' ').next()?.parse().ok()?)));
                occurrence.into_iter().for_each(|occurrence| _ = decided.insert(occurrence, ()));
            }
            // For example: "3 of s-7 up to 1796000003000 are skipped: Missed".
            if let [count, "of", name, "up", "to", last_due, "are", "skipped:", ..] =
                event.split(' ').collect::<Vec<_>>()[..]
            {
                let count = count.parse::<i64>().unwrap_or(0);
                let last_due = last_due.parse::<i64>().unwrap_or(0);
                skip_lines += 1;
                (0..count).for_each(|periods_before| {
                    _ = decided.insert((name.to_string(), last_due - periods_before * PERIOD_MS), ());
                });
            }
            unanswered_lines += usize::from(event.contains("committed outcome Unanswered"));
        }
    }
    let due_times: Vec<i64> = decided.keys().map(|(_, due)| *due).collect();
    let (first, last) =
        (due_times.iter().min().copied().unwrap_or(0), due_times.iter().max().copied().unwrap_or(0));
    // The due times of all minutes but the last, which may be incomplete. Each schedule needs a claim or a skip in each
    // of these minutes.
    let complete_minutes: Vec<i64> = (first..last).step_by(PERIOD_MS as usize).collect();
    let expected =
        (0..count).flat_map(|number| complete_minutes.iter().map(move |due| (format!("s-{number}"), *due)));
    let missed = expected.filter(|occurrence| !decided.contains_key(occurrence)).count();
    let mut lateness_ms = Histogram::<u64>::new(3).expect("three significant digits are valid");
    // The number of occurrences by the tenth of the jitter into which their run times fall.
    let mut jitter_tenths = [0usize; 10];
    let mut first_received: BTreeMap<(&str, i64), f64> = BTreeMap::new();
    for execution in &executions {
        let first =
            first_received.entry((&execution.schedule, execution.due)).or_insert(execution.received_at);
        *first = first.min(execution.received_at);
    }
    for ((name, due), received_at) in first_received {
        // Computes the same pseudo-random jitter as every manager.
        let timing = Timing::parse(name, CRON, "UTC").map(|timing| timing.with_jitter(JITTER_MS));
        let Some(scheduled) = timing.ok().and_then(|timing| timing.after(due as f64 - 1.0).next()) else {
            continue;
        };
        let late_ms = (received_at - scheduled.run_at).max(0.0) as u64;
        lateness_ms.record(late_ms).expect("a resizing histogram takes every value");
        // An incomplete minute lacks its late tenths.
        if !complete_minutes.contains(&due) {
            continue;
        }
        jitter_tenths[(((scheduled.run_at - scheduled.due) * 10.0 / JITTER_MS) as usize).min(9)] += 1;
    }
    report.figure("schedules, replicas, leaders killed", format!("{count}, 5, {kills}"));
    report.figure(
        "executed occurrences, executions",
        format!("{}, {}", executions_by_occurrence.len(), executions.len()),
    );
    report.figure("log lines about skipped occurrences, of all managers", skip_lines);
    report.figure("log lines about tries without an answer, of all managers", unanswered_lines);
    report.figure(
        "lateness at p50 and p99",
        format!("{} ms, {} ms", lateness_ms.value_at_quantile(0.5), lateness_ms.value_at_quantile(0.99)),
    );
    report.bound("side-effecting occurrences that took effect twice", executed_twice, executed_twice == 0);
    report.bound(
        "occurrences of complete minutes missed without a log line",
        format!("{missed} of {}", complete_minutes.len() * count),
        missed == 0 && !complete_minutes.is_empty(),
    );
    let total: usize = jitter_tenths.iter().sum();
    let (min, max) =
        (jitter_tenths.iter().min().copied().unwrap_or(0), jitter_tenths.iter().max().copied().unwrap_or(0));
    // A tenth has a binomial count with mean total / 10 and variance 0.09 * total; five standard deviations are
    // allowed.
    let (expected, tolerance) = (total as f64 / 10.0, 5.0 * (total as f64 * 0.09).sqrt());
    let is_uniform = (min as f64) > expected - tolerance && (max as f64) < expected + tolerance;
    report.bound("occurrences per tenth of the jitter", format!("{min} to {max} of {total}"), is_uniform);
}
