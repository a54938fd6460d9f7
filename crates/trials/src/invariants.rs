//! The invariants of a cluster, checked after a test from what is visible outside the managers.

use std::collections::{BTreeMap, BTreeSet};

use crate::cluster::TestCluster;
use crate::executor::Execution;

/// Log lines of each manager that are printed where an invariant is violated.
const LOG_LINES_SHOWN: usize = 80;

/// The violations found, and how much was checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InvariantReport {
    /// A description of each violation.
    pub violations: Vec<String>,
    /// Terms in which a leader sent messages.
    pub terms: usize,
    /// Distinct log entries sent.
    pub entries: usize,
    /// Executions of schedules.
    pub executions: usize,
    /// Requests rejected for a stale fencing token.
    pub rejected: u64,
}

impl InvariantReport {
    /// Checks a cluster. `side_effecting`: the schedules that must not be executed twice for one due time.
    pub fn check(cluster: &TestCluster, side_effecting: &[&str]) -> InvariantReport {
        let mut violations = cluster.rule_violations();
        let traffic = cluster.traffic.lock().expect("no link panics");
        for (term, leaders) in &traffic.leaders {
            if leaders.len() > 1 {
                violations.push(format!("two leaders in {term}: {leaders:?}"));
            }
        }
        violations.extend(traffic.conflicts.iter().map(|conflict| format!("two logs: {conflict}")));
        let executions = cluster.executor.executions();
        violations.extend(check_effects(&executions, side_effecting));
        let logs: Vec<Vec<String>> = cluster.managers.values().map(|manager| manager.log_lines()).collect();
        violations.extend(check_claims(&logs));
        violations.extend(check_due_times(&logs, &executions));
        violations.extend(check_panics(&logs));
        InvariantReport {
            violations,
            terms: traffic.leaders.len(),
            entries: traffic.entries.len(),
            executions: executions.len(),
            rejected: cluster.executor.rejected(),
        }
    }
}

impl TestCluster {
    /// Checks this cluster, and panics after printing the ends of the logs where an invariant is violated.
    pub fn assert_invariants(&self, side_effecting: &[&str]) -> InvariantReport {
        let report = InvariantReport::check(self, side_effecting);
        if !report.violations.is_empty() {
            for (id, manager) in &self.managers {
                let lines = manager.log_lines();
                eprintln!("{id}:\n{}", lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join("\n"));
            }
        }
        assert_eq!(report.violations, Vec::<String>::new());
        report
    }
}

/// No side-effecting schedule is executed twice for one due time, and fencing tokens never decrease.
fn check_effects(executions: &[Execution], side_effecting: &[&str]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut count: BTreeMap<(&str, i64), usize> = BTreeMap::new();
    let mut fences: BTreeMap<&str, u64> = BTreeMap::new();
    for execution in executions {
        let times = count.entry((&execution.schedule, execution.due)).or_default();
        *times += 1;
        if *times > 1 && side_effecting.contains(&execution.schedule.as_str()) {
            violations.push(format!("{} of {} took effect {times} times", execution.schedule, execution.due));
        }
        let previous = fences.entry(&execution.schedule).or_default();
        if execution.fencing_token < *previous {
            violations.push(format!("{execution:?} after {previous}"));
        }
        *previous = execution.fencing_token;
    }
    violations
}

/// The part of a line after the first occurrence of `part`.
fn text_after<'a>(line: &'a str, part: &str) -> Option<&'a str> {
    Some(line.split_once(part)?.1)
}

/// All managers that logged a claim with the same fencing token logged the same claim.
fn check_claims(logs: &[Vec<String>]) -> Vec<String> {
    let mut known: BTreeMap<u64, &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in logs.iter().flatten() {
        let Some(event) = text_after(line, "fleet: ").filter(|event| event.contains(" is claimed by "))
        else {
            continue;
        };
        let Some(fence) =
            text_after(event, " with fencing token ").and_then(|fence| fence.trim().parse().ok())
        else {
            continue;
        };
        let before = known.entry(fence).or_insert(event);
        if *before != event {
            violations.push(format!("two claims of one number: {before:?} and {event:?}"));
        }
    }
    violations
}

/// Each due time of a schedule between its first and last claimed ones was claimed or logged as passed over, and all
/// that was executed was claimed. The schedules of the tests are due each second.
fn check_due_times(logs: &[Vec<String>], executions: &[Execution]) -> Vec<String> {
    let mut accounted: BTreeMap<&str, BTreeSet<i64>> = BTreeMap::new();
    for line in logs.iter().flatten() {
        if let Some(event) = text_after(line, "fleet: ").filter(|event| event.contains(" is claimed by ")) {
            if let Some((schedule, due)) = event.split_once(" of ") {
                let due = due.split(' ').next().and_then(|due| due.parse().ok());
                due.into_iter().for_each(|due| _ = accounted.entry(schedule).or_default().insert(due));
            }
        }
        // "3 of warm up to 1796000003000 are skipped: Missed"
        if let Some(event) = text_after(line, "fleet: ").filter(|event| event.contains(" are skipped: ")) {
            let words: Vec<&str> = event.split(' ').collect();
            if let [count, "of", schedule, "up", "to", upto, ..] = words[..] {
                if let (Ok(count), Ok(upto)) = (count.parse::<i64>(), upto.parse::<i64>()) {
                    let passed = (0..count).map(|back| upto - back * 1000);
                    accounted.entry(schedule).or_default().extend(passed);
                }
            }
        }
    }
    let mut violations = Vec::new();
    for (schedule, accounted) in &accounted {
        let (Some(first), Some(last)) = (accounted.first(), accounted.last()) else { continue };
        let missed = (*first..=*last).step_by(1000).filter(|due| !accounted.contains(due));
        violations.extend(missed.map(|due| format!("{schedule} of {due} is silently left out")));
    }
    for execution in executions {
        if !accounted
            .get(execution.schedule.as_str())
            .is_some_and(|accounted| accounted.contains(&execution.due))
        {
            violations.push(format!("{execution:?} was never claimed"));
        }
    }
    violations
}

/// No manager logged a panic.
fn check_panics(logs: &[Vec<String>]) -> Vec<String> {
    let panicked = |line: &&String| line.contains("panicked at");
    logs.iter().flatten().filter(panicked).map(|line| format!("a thread panicked: {line}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn execution(schedule: &str, due: i64, fencing_token: u64) -> Execution {
        Execution { schedule: schedule.into(), due, fencing_token, received_at: 0.0 }
    }

    #[test]
    fn effects_that_come_twice_or_under_lower_numbers_are_found() {
        assert!(check_effects(
            &[execution("a", 1, 5), execution("b", 1, 4), execution("a", 2, 6)],
            &["a", "b"]
        )
        .is_empty());
        assert_eq!(check_effects(&[execution("a", 1, 5), execution("a", 1, 6)], &["a"]).len(), 1);
        assert!(
            check_effects(&[execution("a", 1, 5), execution("a", 1, 6)], &[]).is_empty(),
            "it may run again"
        );
        assert_eq!(check_effects(&[execution("a", 1, 5), execution("a", 2, 4)], &[]).len(), 1);
    }

    #[test]
    fn what_is_agreed_twice_or_left_out_is_found() {
        let log = |lines: &[&str]| lines.iter().map(|line| format!("INFO fleet: {line}")).collect::<Vec<_>>();
        let one = log(&[
            "warm of 1000 is claimed by member 1 with fencing token 4",
            "warm of 3000 is claimed by member 2 with fencing token 9",
        ]);
        assert_eq!(check_due_times(std::slice::from_ref(&one), &[]), ["warm of 2000 is silently left out"]);
        let passed_over = log(&["1 of warm up to 2000 are skipped: Missed"]);
        assert!(check_due_times(&[one.clone(), passed_over], &[]).is_empty());
        assert_eq!(check_due_times(std::slice::from_ref(&one), &[execution("warm", 7000, 4)]).len(), 2);
        assert!(check_claims(&[one.clone(), one.clone()]).is_empty());
        let other = log(&["warm of 1000 is claimed by member 3 with fencing token 4"]);
        assert_eq!(check_claims(&[one, other]).len(), 1);
    }
}
