//! Many schedules at five replicas whose leader is lost again and again: none twice, none silently missed, and how late.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use juniperrail_schedule::Timing;
use juniperrail_trials::{ClusterConfig, TestCluster};

use crate::report::Report;

/// Each is due once a minute, and jitter spreads them over it.
const CRON: &str = "* * * * *";
const JITTER: f64 = 58_000.0;
/// A leader is killed so often, and started again.
const LOST_EVERY: Duration = Duration::from_secs(10);

pub fn run(report: &mut Report, count: usize, seconds: u64) {
    let schedule = |n: usize| {
        let effect = if n.is_multiple_of(2) { "idempotent" } else { "side-effecting" };
        format!(
            "<schedule><name>s-{n}</name><cron>{CRON}</cron><jitter>{JITTER}</jitter><worker>WORKER</worker><path>/run</path>\
             <effect>{effect}</effect><deadline>30000</deadline><backoff>100</backoff><lease>4000</lease></schedule>"
        )
    };
    let schedules: String = (0..count).map(schedule).collect();
    let made = ClusterConfig {
        managers: 5,
        proxies_per_manager: 0,
        schedules,
        heartbeat_ms: 100,
        election_timeout_ms: 1000,
        retained_entries: 20_000,
        ..ClusterConfig::default()
    };
    let mut town = TestCluster::start(made);
    town.wait_for_leader();
    let begun = Instant::now();
    let mut lost = 0;
    while begun.elapsed() < Duration::from_secs(seconds) {
        std::thread::sleep(LOST_EVERY);
        let leader = town.wait_for_leader();
        town.manager(leader).kill();
        lost += 1;
        town.wait_for_leader_except(&[leader]);
        town.manager(leader).start();
    }
    // What was claimed last may come to its end.
    std::thread::sleep(Duration::from_secs(6));
    let ran = town.executor.executions();
    let mut by_due: BTreeMap<(String, i64), usize> = BTreeMap::new();
    ran.iter().for_each(|ran| *by_due.entry((ran.schedule.clone(), ran.due)).or_default() += 1);
    let side = |name: &str| {
        name.strip_prefix("s-").and_then(|n| n.parse::<usize>().ok()).is_some_and(|n| n % 2 == 1)
    };
    let twice = by_due.iter().filter(|((name, _), times)| side(name) && **times > 1).count();
    // What each manager logged, together: claims, what was passed over, and effects.
    let mut claimed: BTreeMap<(String, i64), ()> = BTreeMap::new();
    let (mut unknown, mut passed) = (0, 0);
    for manager in town.managers.values() {
        for line in manager.log_lines() {
            let Some((_, told)) = line.split_once("fleet: ") else { continue };
            if told.contains(" is claimed by ") {
                let due = told
                    .split_once(" of ")
                    .and_then(|(name, rest)| Some((name.to_string(), rest.split(' ').next()?.parse().ok()?)));
                due.into_iter().for_each(|due| _ = claimed.insert(due, ()));
            }
            // "3 of s-7 up to 1796000003000 are skipped: Missed"
            if let [count, "of", name, "up", "to", upto, "are", "skipped:", ..] =
                told.split(' ').collect::<Vec<_>>()[..]
            {
                let (count, upto) = (count.parse::<i64>().unwrap_or(0), upto.parse::<i64>().unwrap_or(0));
                passed += 1;
                (0..count).for_each(|back| _ = claimed.insert((name.to_string(), upto - back * 60_000), ()));
            }
            unknown += usize::from(told.contains("committed outcome Unanswered"));
        }
    }
    let minutes: Vec<i64> = claimed.keys().map(|(_, due)| *due).collect();
    let (first, last) =
        (minutes.iter().min().copied().unwrap_or(0), minutes.iter().max().copied().unwrap_or(0));
    // Of the minutes that were over when it ended each schedule has to be accounted for.
    let whole: Vec<i64> = (first..last).step_by(60_000).collect();
    let missed = (0..count).flat_map(|n| whole.iter().map(move |due| (format!("s-{n}"), *due)));
    let missed = missed.filter(|due| !claimed.contains_key(due)).count();
    let mut late = Histogram::<u64>::new(3).expect("three digits");
    let mut tenths = [0usize; 10];
    let mut firsts: BTreeMap<(&str, i64), f64> = BTreeMap::new();
    for one in &ran {
        let first = firsts.entry((&one.schedule, one.due)).or_insert(one.received_at);
        *first = first.min(one.received_at);
    }
    for ((name, due), at) in firsts {
        // As every manager reckons it.
        let timing = Timing::parse(name, CRON, "UTC").map(|timing| timing.with_jitter(JITTER));
        let Some(when) = timing.ok().and_then(|timing| timing.after(due as f64 - 1.0).next()) else {
            continue;
        };
        late.record((at - when.run_at).max(0.0) as u64).expect("within an hour");
        // Of a minute that was cut short the late tenths are missing.
        if !whole.contains(&due) {
            continue;
        }
        tenths[(((when.run_at - when.due) * 10.0 / JITTER) as usize).min(9)] += 1;
    }
    report.figure("schedules, replicas, leaders lost", format!("{count}, 5, {lost}"));
    report.figure("occurrences with an effect, effects", format!("{}, {}", by_due.len(), ran.len()));
    report.figure("words on occurrences passed over, of all managers together", passed);
    report.figure("tries without an answer, as managers told", unknown);
    report.figure(
        "late at p50 and p99",
        format!("{} ms, {} ms", late.value_at_quantile(0.5), late.value_at_quantile(0.99)),
    );
    report.bound("side-effecting occurrences that took effect twice", twice, twice == 0);
    report.bound(
        "occurrences of whole minutes silently missed",
        format!("{missed} of {}", whole.len() * count),
        missed == 0 && !whole.is_empty(),
    );
    let spread: usize = tenths.iter().sum();
    let (least, most) =
        (tenths.iter().min().copied().unwrap_or(0), tenths.iter().max().copied().unwrap_or(0));
    // In ten equal parts, five standard deviations from the tenth that is expected.
    let (expected, off) = (spread as f64 / 10.0, 5.0 * (spread as f64 * 0.09).sqrt());
    let even = (least as f64) > expected - off && (most as f64) < expected + off;
    report.bound("jitter's tenths, least and most", format!("{least} and {most} of {spread}"), even);
}
