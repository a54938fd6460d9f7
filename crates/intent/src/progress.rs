//! How far each change of the configuration has come: how many joined proxies hold it by their answers.

use std::collections::{BTreeSet, VecDeque};

use juniperrail_interface::Ms;

/// So many changes are remembered, the newest.
const KEPT: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    GoingOut,
    /// Since so long after it was taken.
    Held {
        after: Ms,
    },
    /// A later change speaks of some of the same workers, so that what this one wanted is told no more.
    Superseded,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub number: u64,
    pub by: String,
    pub at: Ms,
    pub workers: BTreeSet<String>,
    pub stage: Stage,
    pub held_by: usize,
    pub joined: usize,
}

/// The newest changes, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    changes: VecDeque<Change>,
}

impl Progress {
    /// A change was taken over by the decisions.
    pub fn taken(&mut self, now: Ms, number: u64, by: &str, workers: BTreeSet<String>) {
        for older in self.changes.iter_mut().filter(|older| older.stage == Stage::GoingOut) {
            if !older.workers.is_disjoint(&workers) {
                older.stage = Stage::Superseded;
            }
        }
        if self.changes.len() == KEPT {
            self.changes.pop_front();
        }
        let stage = Stage::GoingOut;
        let by = by.to_string();
        self.changes.push_back(Change { number, by, at: now, workers, stage, held_by: 0, joined: 0 });
    }

    /// Those that are not yet held, to be looked at once more.
    pub fn open(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().filter(|change| change.stage == Stage::GoingOut)
    }

    /// What was found of one: how many of the joined proxies hold it. Whether that makes it held; once it is, it
    /// stays so, as later news may lay other weights over it. With nobody joined nobody can hold it.
    pub fn found(&mut self, now: Ms, number: u64, held_by: usize, joined: usize) -> bool {
        let Some(change) = self.changes.iter_mut().find(|change| change.number == number) else {
            return false;
        };
        if change.stage != Stage::GoingOut {
            return false;
        }
        (change.held_by, change.joined) = (held_by, joined);
        if joined == 0 || held_by < joined {
            return false;
        }
        change.stage = Stage::Held { after: now - change.at };
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
        let mut progress = Progress::default();
        progress.taken(1000.0, 1, "ann", workers(&["s-1"]));
        assert!(!progress.found(1100.0, 1, 0, 0), "nobody joined, nobody holds it");
        assert!(!progress.found(1200.0, 1, 2, 3));
        let open: Vec<(usize, usize)> =
            progress.open().map(|change| (change.held_by, change.joined)).collect();
        assert_eq!(open, [(2, 3)], "the one that is slow shows");
        assert!(progress.found(1500.0, 1, 3, 3));
        assert!(!progress.found(1600.0, 1, 2, 3), "told once");
        assert_eq!(progress.all().next().unwrap().stage, Stage::Held { after: 500.0 });
        assert!(!progress.found(1.0, 7, 1, 1), "nobody knows it");
    }

    #[test]
    fn a_later_change_of_the_same_worker_supersedes_what_is_not_held() {
        let mut progress = Progress::default();
        progress.taken(0.0, 1, "ann", workers(&["s-1", "s-2"]));
        progress.taken(1.0, 2, "ann", workers(&["s-3"]));
        progress.found(2.0, 2, 1, 1);
        progress.taken(3.0, 3, "bob", workers(&["s-2", "s-3"]));
        let stages: Vec<Stage> = progress.all().map(|change| change.stage).collect();
        assert_eq!(stages, [Stage::Superseded, Stage::Held { after: 1.0 }, Stage::GoingOut]);
        (4..200).for_each(|number| progress.taken(4.0, number, "ann", workers(&["s-1"])));
        assert_eq!((progress.all().count(), progress.open().count()), (KEPT, 1));
    }
}
