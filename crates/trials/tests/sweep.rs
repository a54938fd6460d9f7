//! The sweep over all fault points: every fault that may occur at a point, at its first passing, in the first manager
//! that reaches it. Managers that exit are restarted. The exhaustive form is `juniperrail-lab -- trials`.

use juniperrail_faults::{Point, POINTS};
use juniperrail_trials::{count_point_passings, fault_cases, run_sweep};

/// Number of cases that run at a time. Each is a cluster of three processes, which mostly wait.
const PARALLELISM: usize = 6;

#[test]
fn no_fault_at_any_point_violates_an_invariant() {
    let counts = count_point_passings();
    let cases = fault_cases(&counts, false);
    let report = run_sweep(&cases, PARALLELISM);
    let violating: Vec<_> = report.outcomes.iter().filter(|outcome| !outcome.violations.is_empty()).collect();
    assert!(violating.is_empty(), "{violating:#?}");
    assert_eq!(report.outcomes.len(), cases.len());
    let unreached: Vec<Point> = report.unreached;
    assert_eq!(unreached, Vec::<Point>::new(), "of {} points", POINTS.len());
}
