//! The long sweep: every numbered point, each fault, at its first, a middle and a late passing, by one manager and by all
//! at once, in towns of three real processes.

use std::collections::BTreeMap;
use std::time::Instant;

use juniperrail_faults::POINTS;
use juniperrail_trials::{count_point_passings, fault_cases, run_sweep, CaseOutcome};

use crate::report::Report;

pub fn run(report: &mut Report, at_once: usize, whole: bool) {
    let begun = Instant::now();
    let counts = count_point_passings();
    let plays = fault_cases(&counts, whole);
    let sweep = run_sweep(&plays, at_once);
    let mut by_point: BTreeMap<u16, Vec<&CaseOutcome>> = BTreeMap::new();
    sweep.outcomes.iter().for_each(|outcome| by_point.entry(outcome.case.point.0).or_default().push(outcome));
    println!("{:<5} {:<66} {:>6} {:>6} {:>7} {:>6}", "point", "", "passed", "plays", "reached", "broken");
    for told in POINTS {
        let outcomes = by_point.get(&told.point.0).map(Vec::as_slice).unwrap_or_default();
        let reached = outcomes.iter().filter(|outcome| outcome.reached).count();
        let broken = outcomes.iter().filter(|outcome| !outcome.violations.is_empty()).count();
        let passed = counts.get(&told.point).copied().unwrap_or_default();
        println!(
            "{:<5} {:<66} {passed:>6} {:>6} {reached:>7} {broken:>6}",
            told.point.0,
            told.name,
            outcomes.len()
        );
    }
    for outcome in sweep.outcomes.iter().filter(|outcome| !outcome.violations.is_empty()) {
        println!("{:?}: {:?}", outcome.case, outcome.violations);
    }
    report.figure("plays", sweep.outcomes.len());
    report.figure("seconds", begun.elapsed().as_secs());
    for fault in ["abort", "error", "stall", "lose", "repeat", "tear"] {
        let of = || sweep.outcomes.iter().filter(move |outcome| outcome.case.fault.name() == fault);
        let broken = of().filter(|outcome| !outcome.violations.is_empty()).count();
        report.bound(
            &format!("plays of {fault} in which something broke"),
            format!("{broken} of {}", of().count()),
            broken == 0,
        );
    }
    let unreached: Vec<String> = sweep.unreached.iter().map(ToString::to_string).collect();
    report.bound("points that were never reached", format!("{unreached:?}"), unreached.is_empty());
}
