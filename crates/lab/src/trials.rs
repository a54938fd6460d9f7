//! The fault sweep in clusters of three real processes. It injects every fault of every fault point at one manager, at
//! the first, a middle and a late passing through the point, and at all managers, at the first passing.

use std::collections::BTreeMap;
use std::time::Instant;

use juniperrail_faults::POINTS;
use juniperrail_trials::{count_point_passings, fault_cases, run_sweep, CaseOutcome};

use crate::report::Report;

/// Runs the sweep with `parallelism` clusters at a time. Unless it is exhaustive, each fault is injected only at the
/// first passing through its point and at one manager.
pub fn run(report: &mut Report, parallelism: usize, exhaustive: bool) {
    let started = Instant::now();
    let passings = count_point_passings();
    let cases = fault_cases(&passings, exhaustive);
    let sweep = run_sweep(&cases, parallelism);
    let mut by_point: BTreeMap<u16, Vec<&CaseOutcome>> = BTreeMap::new();
    sweep.outcomes.iter().for_each(|outcome| by_point.entry(outcome.case.point.0).or_default().push(outcome));
    println!("{:<5} {:<66} {:>6} {:>6} {:>7} {:>6}", "point", "", "passed", "runs", "reached", "broken");
    for description in POINTS {
        let outcomes = by_point.get(&description.point.0).map(Vec::as_slice).unwrap_or_default();
        let reached = outcomes.iter().filter(|outcome| outcome.reached).count();
        let broken = outcomes.iter().filter(|outcome| !outcome.violations.is_empty()).count();
        let passing_count = passings.get(&description.point).copied().unwrap_or_default();
        println!(
            "{:<5} {:<66} {passing_count:>6} {:>6} {reached:>7} {broken:>6}",
            description.point.0,
            description.name,
            outcomes.len()
        );
    }
    for outcome in sweep.outcomes.iter().filter(|outcome| !outcome.violations.is_empty()) {
        println!("{:?}: {:?}", outcome.case, outcome.violations);
    }
    report.figure("runs", sweep.outcomes.len());
    report.figure("seconds", started.elapsed().as_secs());
    for fault in ["abort", "error", "stall", "lose", "repeat", "tear"] {
        let outcomes = || sweep.outcomes.iter().filter(move |outcome| outcome.case.fault.name() == fault);
        let broken = outcomes().filter(|outcome| !outcome.violations.is_empty()).count();
        report.bound(
            &format!("runs with {fault} that violated an invariant"),
            format!("{broken} of {}", outcomes().count()),
            broken == 0,
        );
    }
    let unreached: Vec<String> = sweep.unreached.iter().map(ToString::to_string).collect();
    report.bound("fault points that no run reached", format!("{unreached:?}"), unreached.is_empty());
}
