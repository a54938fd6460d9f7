//! Pending updates: composition, ordering and completion.

use crate::{Planner, Table, UpdateKey, UpdateState};
use juniperrail_interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

impl Planner {
    /// Composes a write onto the pending updates: the later write wins, and an update stays pending until it is
    /// acknowledged. Returns whether the value changed and has to be sent.
    pub(crate) fn compose(&mut self, key: UpdateKey, value: f64) -> bool {
        let update = self.updates.entry(key).or_default();
        let changed = std::mem::replace(&mut update.desired, value) != value;
        if changed {
            self.pending.insert(key);
        }
        changed && update.sent != value
    }

    /// Whether the worker's exclusion has been sent.
    pub(crate) fn is_excluded(&self, id: WorkerId) -> bool {
        self.updates.get(&UpdateKey::Exclusion(id)).is_some_and(|exclusion| exclusion.sent > 0.0)
    }

    /// Adds the pairs that order an update. A line is removed after its worker's exclusion; a worker is readmitted
    /// after the line that gives it its first weight; a worker with the last usable line of a table is excluded
    /// after the lines of its replacements. `has_usable_line` is indexed by table.
    pub(crate) fn add_ordering(&mut self, key: UpdateKey, has_usable_line: &[bool]) {
        let is_removal = self.updates[&key].desired == 0.0;
        match key {
            UpdateKey::Line(_, id) if is_removal => self.order_before(UpdateKey::Exclusion(id), key),
            UpdateKey::Line(_, id) if self.is_excluded(id) && self.awaits_first_weight(key, id) => {
                self.order_before(key, UpdateKey::Exclusion(id))
            }
            UpdateKey::Exclusion(id) if !is_removal => {
                let affected = |table: &&Table| {
                    !has_usable_line[usize::from(table.id.0)] && table.includes(&self.workers[&id])
                };
                let lines = self.tables.iter().filter(affected).flat_map(|table| {
                    let lines = self.lines(table.id);
                    let replacements = lines.filter(|(other, line)| *other != id && line.desired > 0.0);
                    replacements.map(|(other, _)| UpdateKey::Line(table.id, other))
                });
                let lines = lines.collect::<Vec<UpdateKey>>();
                lines.into_iter().for_each(|line| self.order_before(line, key));
            }
            _ => {}
        }
    }

    /// Whether some proxy may not have the weight that a line gives its excluded worker: the line was not sent since
    /// the exclusion, or is not acknowledged. Later changes of the weight do not count: in a full channel they would
    /// follow each other, and the worker would never be readmitted.
    fn awaits_first_weight(&self, line: UpdateKey, worker: WorkerId) -> bool {
        let line = &self.updates[&line];
        let sent_since_exclusion = line.sent_at > self.updates[&UpdateKey::Exclusion(worker)].sent_at;
        !(line.sent > 0.0 && sent_since_exclusion && line.awaited_mark.is_none())
    }

    /// Whether the second update of an ordered pair still has to wait for the first.
    fn is_order_needed(&self, pair: &(UpdateKey, UpdateKey)) -> bool {
        let is_pending = self.pending.contains(&pair.0) && self.pending.contains(&pair.1);
        let may_precede = match *pair {
            (UpdateKey::Line(_, id), UpdateKey::Exclusion(excluded)) if id == excluded => {
                !self.awaits_first_weight(pair.0, id)
            }
            _ => false,
        };
        is_pending && !may_precede
    }

    /// The lines of a table, by worker.
    pub(crate) fn lines(&self, table: TableId) -> impl Iterator<Item = (WorkerId, &UpdateState)> {
        let first = UpdateKey::Line(table, WorkerId(0));
        let last = UpdateKey::Line(table, WorkerId(u32::MAX));
        self.updates.range(first..=last).filter_map(|(key, update)| match key {
            UpdateKey::Line(_, id) => Some((*id, update)),
            _ => None,
        })
    }

    /// Adds a pair of ordered updates. Where it closes a cycle, the oldest pair of the cycle is removed, and the
    /// predecessors of its first update are linked to the successors of its second. A link that would itself close a
    /// cycle is not added: otherwise links could bring removed pairs back, and the loop would not end.
    fn order_before(&mut self, first: UpdateKey, second: UpdateKey) {
        self.ordered_pairs.insert((first, second), self.now);
        while let Some(cycle) = self.shortest_cycle(first) {
            let by_age = |a: &(UpdateKey, UpdateKey), b: &(UpdateKey, UpdateKey)| {
                self.ordered_pairs[a].total_cmp(&self.ordered_pairs[b])
            };
            let oldest = cycle.into_iter().min_by(by_age).expect("a cycle has pairs");
            let added_at = self.ordered_pairs.remove(&oldest).expect("a known pair");
            let predecessors: Vec<UpdateKey> =
                self.ordered_pairs.keys().filter(|pair| pair.1 == oldest.0).map(|pair| pair.0).collect();
            let successors: Vec<UpdateKey> = self.successors(oldest.1).collect();
            for successor in successors {
                let reachable = self.reachable_from(successor);
                for predecessor in predecessors.iter().filter(|key| !reachable.contains(key)) {
                    self.ordered_pairs.entry((*predecessor, successor)).or_insert(added_at);
                }
            }
        }
    }

    /// The updates that are ordered directly after an update.
    fn successors(&self, key: UpdateKey) -> impl Iterator<Item = UpdateKey> + '_ {
        let last_key = UpdateKey::Level(TableId(u16::MAX), OpId(u8::MAX));
        let pairs = self.ordered_pairs.range((key, UpdateKey::Exclusion(WorkerId(0)))..=(key, last_key));
        pairs.map(|(pair, _)| pair.1)
    }

    /// An update and all updates that are ordered after it, directly or through others.
    fn reachable_from(&self, key: UpdateKey) -> BTreeSet<UpdateKey> {
        let mut reachable = BTreeSet::from([key]);
        let mut queue = VecDeque::from([key]);
        while let Some(reached) = queue.pop_front() {
            queue.extend(self.successors(reached).filter(|successor| reachable.insert(*successor)));
        }
        reachable
    }

    /// The pairs of a shortest cycle through a key, by breadth-first search: no recursion, since its depth would grow
    /// with the fleet.
    fn shortest_cycle(&self, through: UpdateKey) -> Option<Vec<(UpdateKey, UpdateKey)>> {
        let mut reached_from = BTreeMap::new();
        let mut queue = VecDeque::from([through]);
        while let Some(reached) = queue.pop_front() {
            for successor in self.successors(reached) {
                if successor == through {
                    let mut cycle = vec![(reached, successor)];
                    let mut second = reached;
                    while let Some(first) = reached_from.get(&second) {
                        cycle.push((*first, second));
                        second = *first;
                    }
                    return Some(cycle);
                }
                reached_from.entry(successor).or_insert_with(|| {
                    queue.push_back(successor);
                    reached
                });
            }
        }
        None
    }

    /// Completes each update of which all proxies concerned have acknowledged the mark sent after it, or a later one.
    /// An update that no proxy is left to acknowledge becomes idle: it is to be sent again.
    pub(crate) fn complete_updates(&mut self) {
        let acknowledged_mark = |id: &ProxyId| self.proxies[id].acknowledged_mark;
        let lowest_by_table: Vec<_> =
            self.tables.iter().map(|table| table.bound_proxies.iter().map(acknowledged_mark).min()).collect();
        let unbound = self.proxies.values().filter(|proxy| !proxy.is_bound());
        let lowest_of_unbound = unbound.map(|proxy| proxy.acknowledged_mark).min();
        self.pending.retain(|key| {
            let lowest_acknowledged = match *key {
                UpdateKey::Line(table, _) | UpdateKey::Level(table, _) => {
                    lowest_by_table[usize::from(table.0)]
                }
                UpdateKey::Exclusion(id) => {
                    let tables = self.tables.iter().filter(|table| table.includes(&self.workers[&id]));
                    let by_tables = tables.filter_map(|table| lowest_by_table[usize::from(table.id.0)]);
                    by_tables.chain(lowest_of_unbound).min()
                }
            };
            let update = self.updates.get_mut(key).expect("a known key");
            match (update.awaited_mark, lowest_acknowledged) {
                (Some(_), None) => {
                    update.sent = f64::NAN;
                    update.awaited_mark = None;
                }
                (Some(mark), Some(acknowledged)) if acknowledged >= mark => update.awaited_mark = None,
                _ => {}
            }
            update.awaited_mark.is_some() || update.desired != update.sent
        });
        let mut ordered_pairs = std::mem::take(&mut self.ordered_pairs);
        ordered_pairs.retain(|pair, _| self.is_order_needed(pair));
        self.ordered_pairs = ordered_pairs;
    }
}
