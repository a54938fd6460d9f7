//! The invariants of a cluster, checked after a test from what is visible outside the managers.

use std::collections::{BTreeMap, BTreeSet};

use crate::cluster::TestCluster;
use crate::executor::Execution;

/// Number of log lines, the last ones, that are printed of each manager where an invariant is violated.
const LOG_LINES_SHOWN: usize = 80;

/// The violations found, and how much was checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InvariantReport {
    /// A description of each violation.
    pub violations: Vec<String>,
    /// Number of terms in which a leader sent messages.
    pub terms: usize,
    /// Number of distinct log entries that leaders sent.
    pub entries: usize,
    /// Number of executions of schedules.
    pub executions: usize,
    /// Number of requests that the worker rejected for a stale fencing token.
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
        violations
            .extend(traffic.conflicts.iter().map(|conflict| format!("conflicting log entries: {conflict}")));
        let executions = cluster.executor.executions();
        violations.extend(check_executions(&executions, side_effecting));
        let logs: Vec<Vec<String>> = cluster.managers.values().map(|manager| manager.log_lines()).collect();
        violations.extend(check_claims(&logs));
        violations.extend(check_due_times(&logs, &executions));
        violations.extend(check_panics(&logs));
        InvariantReport {
            violations,
            terms: traffic.leaders.len(),
            entries: traffic.entries.len(),
            executions: executions.len(),
            rejected: cluster.executor.rejected_count(),
        }
    }
}

impl TestCluster {
    /// Checks this cluster. Where an invariant is violated, prints the ends of the logs and panics.
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
fn check_executions(executions: &[Execution], side_effecting: &[&str]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut counts: BTreeMap<(&str, i64), usize> = BTreeMap::new();
    let mut last_tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for execution in executions {
        let count = counts.entry((&execution.schedule, execution.due)).or_default();
        *count += 1;
        if *count > 1 && side_effecting.contains(&execution.schedule.as_str()) {
            violations
                .push(format!("{} due at {} was executed {count} times", execution.schedule, execution.due));
        }
        let previous = last_tokens.entry(&execution.schedule).or_default();
        if execution.fencing_token < *previous {
            violations.push(format!("{execution:?} after fencing token {previous}"));
        }
        *previous = execution.fencing_token;
    }
    violations
}

/// The part of a line after the first occurrence of `part`.
fn text_after<'a>(line: &'a str, part: &str) -> Option<&'a str> {
    Some(line.split_once(part)?.1)
}

/// All log lines about a claim with the same fencing token state the same claim.
fn check_claims(logs: &[Vec<String>]) -> Vec<String> {
    let mut known: BTreeMap<u64, &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in logs.iter().flatten() {
        let Some(event) = text_after(line, "fleet: ").filter(|event| event.contains(" is claimed by "))
        else {
            continue;
        };
        let Some(fencing_token) =
            text_after(event, " with fencing token ").and_then(|token| token.trim().parse().ok())
        else {
            continue;
        };
        let first = known.entry(fencing_token).or_insert(event);
        if *first != event {
            violations.push(format!("two claims with the same fencing token: {first:?} and {event:?}"));
        }
    }
    violations
}

/// Each due time of a schedule, from the first to the last that was logged, was claimed or logged as skipped, and each
/// execution was for a due time that was logged. The schedules of the tests are due every second.
fn check_due_times(logs: &[Vec<String>], executions: &[Execution]) -> Vec<String> {
    let mut logged_dues: BTreeMap<&str, BTreeSet<i64>> = BTreeMap::new();
    for line in logs.iter().flatten() {
        if let Some(event) = text_after(line, "fleet: ").filter(|event| event.contains(" is claimed by ")) {
            if let Some((schedule, due)) = event.split_once(" of ") {
                let due = due.split(' ').next().and_then(|due| due.parse().ok());
                due.into_iter().for_each(|due| _ = logged_dues.entry(schedule).or_default().insert(due));
            }
        }
        // For example "3 of warm up to 1796000003000 are skipped: Missed".
        if let Some(event) = text_after(line, "fleet: ").filter(|event| event.contains(" are skipped: ")) {
            let words: Vec<&str> = event.split(' ').collect();
            if let [count, "of", schedule, "up", "to", last, ..] = words[..] {
                if let (Ok(count), Ok(last)) = (count.parse::<i64>(), last.parse::<i64>()) {
                    let skipped = (0..count).map(|seconds_before| last - seconds_before * 1000);
                    logged_dues.entry(schedule).or_default().extend(skipped);
                }
            }
        }
    }
    let mut violations = Vec::new();
    for (schedule, logged) in &logged_dues {
        let (Some(first), Some(last)) = (logged.first(), logged.last()) else { continue };
        let missed = (*first..=*last).step_by(1000).filter(|due| !logged.contains(due));
        violations.extend(
            missed.map(|due| format!("{schedule} due at {due} was neither claimed nor logged as skipped")),
        );
    }
    for execution in executions {
        if !logged_dues.get(execution.schedule.as_str()).is_some_and(|logged| logged.contains(&execution.due))
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
    fn repeated_executions_and_decreasing_fencing_tokens_are_found() {
        assert!(check_executions(
            &[execution("a", 1, 5), execution("b", 1, 4), execution("a", 2, 6)],
            &["a", "b"]
        )
        .is_empty());
        assert_eq!(check_executions(&[execution("a", 1, 5), execution("a", 1, 6)], &["a"]).len(), 1);
        assert!(
            check_executions(&[execution("a", 1, 5), execution("a", 1, 6)], &[]).is_empty(),
            "an idempotent schedule may be executed again"
        );
        assert_eq!(check_executions(&[execution("a", 1, 5), execution("a", 2, 4)], &[]).len(), 1);
    }

    #[test]
    fn conflicting_claims_and_missing_due_times_are_found() {
        let log = |lines: &[&str]| lines.iter().map(|line| format!("INFO fleet: {line}")).collect::<Vec<_>>();
        let claims = log(&[
            "warm of 1000 is claimed by member 1 with fencing token 4",
            "warm of 3000 is claimed by member 2 with fencing token 9",
        ]);
        assert_eq!(
            check_due_times(std::slice::from_ref(&claims), &[]),
            ["warm due at 2000 was neither claimed nor logged as skipped"]
        );
        let skipped = log(&["1 of warm up to 2000 are skipped: Missed"]);
        assert!(check_due_times(&[claims.clone(), skipped], &[]).is_empty());
        assert_eq!(check_due_times(std::slice::from_ref(&claims), &[execution("warm", 7000, 4)]).len(), 2);
        assert!(check_claims(&[claims.clone(), claims.clone()]).is_empty());
        let conflicting = log(&["warm of 1000 is claimed by member 3 with fencing token 4"]);
        assert_eq!(check_claims(&[claims, conflicting]).len(), 1);
    }
}
