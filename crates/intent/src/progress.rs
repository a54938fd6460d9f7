//! Tracks the distribution of configuration changes: how many of the joined proxies have applied each change.

use std::collections::{BTreeSet, VecDeque};

use juniperrail_interface::Ms;

/// The maximum number of changes that are tracked. The oldest are dropped first.
const MAX_TRACKED_CHANGES: usize = 64;

/// How far a change has been distributed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Not every joined proxy has applied the change yet.
    Distributing,
    /// Every joined proxy has applied the change, this long after it was committed.
    Applied { after: Ms },
    /// A later change affects some of the same workers, so the distribution of this one is no longer tracked.
    Superseded,
}

/// One commit of the configuration and the state of its distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The number of the version of the running datastore that it created.
    pub number: u64,
    pub author: String,
    /// When the planner accepted the change, which it does before the commit completes.
    pub committed_at: Ms,
    /// The names of the workers that the change affects.
    pub workers: BTreeSet<String>,
    pub stage: Stage,
    pub applied_proxies: usize,
    pub joined_proxies: usize,
}

/// Tracks the distribution of the latest changes, at most `MAX_TRACKED_CHANGES`.
#[derive(Clone, Debug, Default)]
pub struct ChangeTracker {
    /// The oldest first.
    changes: VecDeque<Change>,
}

impl ChangeTracker {
    /// Starts to track a change that the planner has accepted.
    pub fn record(&mut self, now: Ms, number: u64, author: &str, workers: BTreeSet<String>) {
        for older in self.changes.iter_mut().filter(|older| older.stage == Stage::Distributing) {
            if !older.workers.is_disjoint(&workers) {
                older.stage = Stage::Superseded;
            }
        }
        if self.changes.len() == MAX_TRACKED_CHANGES {
            self.changes.pop_front();
        }
        let stage = Stage::Distributing;
        let author = author.to_string();
        self.changes.push_back(Change {
            number,
            author,
            committed_at: now,
            workers,
            stage,
            applied_proxies: 0,
            joined_proxies: 0,
        });
    }

    /// The changes that are still being distributed.
    pub fn distributing(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().filter(|change| change.stage == Stage::Distributing)
    }

    /// Records how many of the joined proxies have applied a change. Returns true if this call makes the change
    /// applied, which requires at least one joined proxy. An applied change stays applied: later updates may
    /// replace its weights, and the counts would then no longer describe it.
    pub fn update(&mut self, now: Ms, number: u64, applied_proxies: usize, joined_proxies: usize) -> bool {
        let Some(change) = self.changes.iter_mut().find(|change| change.number == number) else {
            return false;
        };
        if change.stage != Stage::Distributing {
            return false;
        }
        (change.applied_proxies, change.joined_proxies) = (applied_proxies, joined_proxies);
        if joined_proxies == 0 || applied_proxies < joined_proxies {
            return false;
        }
        change.stage = Stage::Applied { after: now - change.committed_at };
        true
    }

    /// All tracked changes, oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workers(names: &[&str]) -> BTreeSet<String> {
        names.iter().map(|name| name.to_string()).collect()
    }

    #[test]
    fn a_change_is_applied_once_every_joined_proxy_has_applied_it_and_stays_applied() {
        let mut tracker = ChangeTracker::default();
        tracker.record(1000.0, 1, "ann", workers(&["s-1"]));
        assert!(!tracker.update(1100.0, 1, 0, 0), "a change is not applied without joined proxies");
        assert!(!tracker.update(1200.0, 1, 2, 3));
        let distributing: Vec<(usize, usize)> =
            tracker.distributing().map(|change| (change.applied_proxies, change.joined_proxies)).collect();
        assert_eq!(distributing, [(2, 3)], "one proxy has not applied it yet");
        assert!(tracker.update(1500.0, 1, 3, 3));
        assert!(!tracker.update(1600.0, 1, 2, 3), "a change is reported as applied once");
        assert_eq!(tracker.all().next().unwrap().stage, Stage::Applied { after: 500.0 });
        assert!(!tracker.update(1.0, 7, 1, 1), "no change with this number is tracked");
    }

    #[test]
    fn a_later_change_of_the_same_worker_supersedes_one_not_yet_applied() {
        let mut tracker = ChangeTracker::default();
        tracker.record(0.0, 1, "ann", workers(&["s-1", "s-2"]));
        tracker.record(1.0, 2, "ann", workers(&["s-3"]));
        tracker.update(2.0, 2, 1, 1);
        tracker.record(3.0, 3, "bob", workers(&["s-2", "s-3"]));
        let stages: Vec<Stage> = tracker.all().map(|change| change.stage).collect();
        assert_eq!(stages, [Stage::Superseded, Stage::Applied { after: 1.0 }, Stage::Distributing]);
        (4..200).for_each(|number| tracker.record(4.0, number, "ann", workers(&["s-1"])));
        assert_eq!((tracker.all().count(), tracker.distributing().count()), (MAX_TRACKED_CHANGES, 1));
    }
}
