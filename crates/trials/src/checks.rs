//! What has to hold after any trial, judged from outside.

use std::collections::{BTreeMap, BTreeSet};

use crate::cluster::TestCluster;
use crate::executor::Execution;

/// Lines of each log that are shown.
const TOLD: usize = 80;

/// What was found, by what was looked at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checks {
    pub broken: Vec<String>,
    pub terms: usize,
    pub entries: usize,
    pub effects: usize,
    pub refused: u64,
}

impl Checks {
    /// Looks at all that a cluster left. `side_effecting`: the schedules whose effects must not come twice.
    pub fn of(cluster: &TestCluster, side_effecting: &[&str]) -> Checks {
        let mut broken = cluster.broken();
        let traffic = cluster.traffic.lock().expect("no link panics");
        for (term, leaders) in &traffic.leaders {
            if leaders.len() > 1 {
                broken.push(format!("two leaders in {term}: {leaders:?}"));
            }
        }
        broken.extend(traffic.conflicts.iter().map(|conflict| format!("two logs: {conflict}")));
        let ran = cluster.executor.executions();
        broken.extend(effects(&ran, side_effecting));
        let logs: Vec<Vec<String>> = cluster.managers.values().map(|manager| manager.log_lines()).collect();
        broken.extend(claims(&logs));
        broken.extend(unaccounted(&logs, &ran));
        broken.extend(panics(&logs));
        Checks {
            broken,
            terms: traffic.leaders.len(),
            entries: traffic.entries.len(),
            effects: ran.len(),
            refused: cluster.executor.rejected(),
        }
    }
}

impl TestCluster {
    /// Looks at all that it left, and panics with the ends of the logs where something is broken.
    pub fn sound(&self, side_effecting: &[&str]) -> Checks {
        let checks = Checks::of(self, side_effecting);
        if !checks.broken.is_empty() {
            for (id, manager) in &self.managers {
                let lines = manager.log_lines();
                eprintln!("{id}:\n{}", lines[lines.len().saturating_sub(TOLD)..].join("\n"));
            }
        }
        assert_eq!(checks.broken, Vec::<String>::new());
        checks
    }
}

/// No side effect twice, and no effect under a lower number than one before.
fn effects(ran: &[Execution], side_effecting: &[&str]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut count: BTreeMap<(&str, i64), usize> = BTreeMap::new();
    let mut fences: BTreeMap<&str, u64> = BTreeMap::new();
    for one in ran {
        let times = count.entry((&one.schedule, one.due)).or_default();
        *times += 1;
        if *times > 1 && side_effecting.contains(&one.schedule.as_str()) {
            broken.push(format!("{} of {} took effect {times} times", one.schedule, one.due));
        }
        let fence = fences.entry(&one.schedule).or_default();
        if one.fencing_token < *fence {
            broken.push(format!("{one:?} after {fence}"));
        }
        *fence = one.fencing_token;
    }
    broken
}

fn after<'a>(line: &'a str, part: &str) -> Option<&'a str> {
    Some(line.split_once(part)?.1)
}

/// Every manager that told of a claim told the same of its number: what is agreed is one.
fn claims(logs: &[Vec<String>]) -> Vec<String> {
    let mut known: BTreeMap<u64, &str> = BTreeMap::new();
    let mut broken = Vec::new();
    for line in logs.iter().flatten() {
        let Some(told) = after(line, "fleet: ").filter(|told| told.contains("'s under ")) else { continue };
        let Some(fence) = after(told, "'s under ").and_then(|fence| fence.trim().parse().ok()) else {
            continue;
        };
        let before = known.entry(fence).or_insert(told);
        if *before != told {
            broken.push(format!("two claims of one number: {before:?} and {told:?}"));
        }
    }
    broken
}

/// Of each schedule every second between the first and the last that was claimed was claimed or told as passed over: the
/// trials' schedules are due each second.
fn unaccounted(logs: &[Vec<String>], ran: &[Execution]) -> Vec<String> {
    let mut dues: BTreeMap<&str, BTreeSet<i64>> = BTreeMap::new();
    for line in logs.iter().flatten() {
        if let Some(told) = after(line, "fleet: ").filter(|told| told.contains("'s under ")) {
            if let Some((schedule, due)) = told.split_once(" of ") {
                let due = due.split(' ').next().and_then(|due| due.parse().ok());
                due.into_iter().for_each(|due| _ = dues.entry(schedule).or_default().insert(due));
            }
        }
        // "3 of warm up to 1796000003000 are passed over: Missed"
        if let Some(told) = after(line, "fleet: ").filter(|told| told.contains(" are passed over: ")) {
            let words: Vec<&str> = told.split(' ').collect();
            if let [count, "of", schedule, "up", "to", upto, ..] = words[..] {
                if let (Ok(count), Ok(upto)) = (count.parse::<i64>(), upto.parse::<i64>()) {
                    let passed = (0..count).map(|back| upto - back * 1000);
                    dues.entry(schedule).or_default().extend(passed);
                }
            }
        }
    }
    let mut broken = Vec::new();
    for (schedule, dues) in &dues {
        let (Some(first), Some(last)) = (dues.first(), dues.last()) else { continue };
        let missed = (*first..=*last).step_by(1000).filter(|due| !dues.contains(due));
        broken.extend(missed.map(|due| format!("{schedule} of {due} is silently left out")));
    }
    for one in ran {
        if !dues.get(one.schedule.as_str()).is_some_and(|dues| dues.contains(&one.due)) {
            broken.push(format!("{one:?} was never claimed"));
        }
    }
    broken
}

fn panics(logs: &[Vec<String>]) -> Vec<String> {
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
        assert!(effects(&[execution("a", 1, 5), execution("b", 1, 4), execution("a", 2, 6)], &["a", "b"])
            .is_empty());
        assert_eq!(effects(&[execution("a", 1, 5), execution("a", 1, 6)], &["a"]).len(), 1);
        assert!(effects(&[execution("a", 1, 5), execution("a", 1, 6)], &[]).is_empty(), "it may run again");
        assert_eq!(effects(&[execution("a", 1, 5), execution("a", 2, 4)], &[]).len(), 1);
    }

    #[test]
    fn what_is_agreed_twice_or_left_out_is_found() {
        let log = |lines: &[&str]| lines.iter().map(|line| format!("INFO fleet: {line}")).collect::<Vec<_>>();
        let one = log(&["warm of 1000 is member 1's under 4", "warm of 3000 is member 2's under 9"]);
        assert_eq!(unaccounted(std::slice::from_ref(&one), &[]), ["warm of 2000 is silently left out"]);
        let told = log(&["1 of warm up to 2000 are passed over: Missed"]);
        assert!(unaccounted(&[one.clone(), told], &[]).is_empty());
        assert_eq!(unaccounted(std::slice::from_ref(&one), &[execution("warm", 7000, 4)]).len(), 2);
        assert!(claims(&[one.clone(), one.clone()]).is_empty());
        let other = log(&["warm of 1000 is member 3's under 4"]);
        assert_eq!(claims(&[one, other]).len(), 1);
    }
}
