//! How far each change of the configuration has come: how many joined proxies hold it by their answers.

use std::collections::{BTreeSet, VecDeque};

use juniperrail_interface::Ms;

/// So many changes are remembered, the newest.
const KEPT: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Distributing,
    /// Since so long after it was taken.
    Applied {
        after: Ms,
    },
    /// A later change speaks of some of the same workers, so that what this one wanted is told no more.
    Superseded,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub number: u64,
    pub author: String,
    pub at: Ms,
    pub workers: BTreeSet<String>,
    pub stage: Stage,
    pub applied_proxies: usize,
    pub joined_proxies: usize,
}

/// The newest changes, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ChangeTracker {
    changes: VecDeque<Change>,
}

impl ChangeTracker {
    /// A change was taken over by the decisions.
    pub fn record(&mut self, now: Ms, number: u64, author: &str, workers: BTreeSet<String>) {
        for older in self.changes.iter_mut().filter(|older| older.stage == Stage::Distributing) {
            if !older.workers.is_disjoint(&workers) {
                older.stage = Stage::Superseded;
            }
        }
        if self.changes.len() == KEPT {
            self.changes.pop_front();
        }
        let stage = Stage::Distributing;
        let author = author.to_string();
        self.changes.push_back(Change {
            number,
            author,
            at: now,
            workers,
            stage,
            applied_proxies: 0,
            joined_proxies: 0,
        });
    }

    /// Those that are not yet held, to be looked at once more.
    pub fn distributing(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().filter(|change| change.stage == Stage::Distributing)
    }

    /// What was found of one: how many of the joined proxies hold it. Whether that makes it held; once it is, it
    /// stays so, as later news may lay other weights over it. With nobody joined nobody can hold it.
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
        change.stage = Stage::Applied { after: now - change.at };
        true
    }

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
    fn a_change_is_held_once_every_joined_proxy_holds_it_and_stays_so() {
        let mut progress = ChangeTracker::default();
        progress.record(1000.0, 1, "ann", workers(&["s-1"]));
        assert!(!progress.update(1100.0, 1, 0, 0), "nobody joined, nobody holds it");
        assert!(!progress.update(1200.0, 1, 2, 3));
        let open: Vec<(usize, usize)> =
            progress.distributing().map(|change| (change.applied_proxies, change.joined_proxies)).collect();
        assert_eq!(open, [(2, 3)], "the one that is slow shows");
        assert!(progress.update(1500.0, 1, 3, 3));
        assert!(!progress.update(1600.0, 1, 2, 3), "told once");
        assert_eq!(progress.all().next().unwrap().stage, Stage::Applied { after: 500.0 });
        assert!(!progress.update(1.0, 7, 1, 1), "nobody knows it");
    }

    #[test]
    fn a_later_change_of_the_same_worker_supersedes_what_is_not_held() {
        let mut progress = ChangeTracker::default();
        progress.record(0.0, 1, "ann", workers(&["s-1", "s-2"]));
        progress.record(1.0, 2, "ann", workers(&["s-3"]));
        progress.update(2.0, 2, 1, 1);
        progress.record(3.0, 3, "bob", workers(&["s-2", "s-3"]));
        let stages: Vec<Stage> = progress.all().map(|change| change.stage).collect();
        assert_eq!(stages, [Stage::Superseded, Stage::Applied { after: 1.0 }, Stage::Distributing]);
        (4..200).for_each(|number| progress.record(4.0, number, "ann", workers(&["s-1"])));
        assert_eq!((progress.all().count(), progress.distributing().count()), (KEPT, 1));
    }
}
