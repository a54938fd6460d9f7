//! Composes each worker, field by field, from the values of its sources: discovery, the operator and the failover plan.
//! The rules are those of the update algebra:
//!
//! - A value holds until its source replaces it.
//! - Of two values for one field, the later one takes precedence.
//! - A departure (draining or gone) overrides every earlier value.
//! - A source that gives no value for a field does not erase the value of another source.
//! - A worker that discovery reports gone stays gone until discovery lists it again.
//! - A worker that discovery does not list, and only the operator places, is kept back as gone: a proxy resets a stream
//!   that names a worker which discovery has never listed.
//!
//! Which of two values is later is decided by the order in which they reach this manager. Nothing that outlives a
//! restart tells whether the operator's file or a drain in the list came first. A `ready` in the file therefore counts as
//! earlier than every phase that discovery reports: it cancels no drain. A `ready` that the rollback of a confirmed commit
//! restores is as old as it was before that commit.
//!
//! One exception to the precedence of the later value: a departure set by the operator (draining, out, weight 0) is not
//! undone by a later update from discovery. Discovery's `ready` means that the process runs; discovery doesn't know why
//! the operator took the worker out, and the running configuration still does.
//!
//! The failover plan, which the managers commit by consensus, has the lowest precedence. It reduces the weight of a
//! zone's workers, or drains them if it leaves them none. It never brings back a departed worker and doesn't apply to
//! workers that the operator wants ready. When the plan ends, the values of the other sources are in effect unchanged.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniperrail_interface::{Phase, WorkerEntry, WorkerId, ZoneId};

use crate::intent::{DesiredState, Intent, Placement, WorkerIntent};

/// How an intent comes into force. It decides whether its values count as later than those of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentChange {
    /// The operator's file is read at the start.
    Startup,
    /// An operator commits the intent, or confirms the one that is in force.
    Commit,
    /// An operator commits the intent on condition that it is confirmed in time.
    ConfirmedCommit,
    /// The intent before a confirmed commit is restored, because the commit was not confirmed or was cancelled.
    Rollback,
}

/// Counts as earlier than every update.
const EARLIEST_SEQUENCE: u64 = 0;

/// The source that a value comes from (the origin of NMDA, RFC 8342).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Discovery,
    Operator,
    /// The failover plan that the managers committed by consensus.
    Plan,
}

impl Origin {
    /// The name of the origin in the YANG module.
    pub fn name(self) -> &'static str {
        match self {
            Origin::Discovery => "discovery",
            Origin::Operator => "operator",
            Origin::Plan => "plan",
        }
    }
}

/// A worker as composed from all sources.
#[derive(Clone, Debug, PartialEq)]
pub struct ComposedWorker {
    /// The entry that the planner receives. The planner reads a weight of 0 as none given.
    pub entry: WorkerEntry,
    pub address: Option<SocketAddr>,
    pub phase_origin: Origin,
    /// `None` if no source gives a weight.
    pub weight_origin: Option<Origin>,
    pub placement_origin: Origin,
    /// The phase that discovery last reported; `None` if there is no entry from discovery.
    pub discovery_phase: Option<Phase>,
}

impl ComposedWorker {
    /// Whether only the operator places the worker, so that it is kept back until discovery lists it.
    pub fn is_unlisted(&self) -> bool {
        self.discovery_phase.is_none()
    }
}

/// What discovery last reported of a worker, with the sequence number of the update that set each field.
#[derive(Clone, Debug)]
struct DiscoveryEntry {
    entry: WorkerEntry,
    address: Option<SocketAddr>,
    phase_sequence: u64,
    weight_sequence: u64,
}

/// What the operator configured for a worker, with the sequence number of the update that set each field.
#[derive(Clone, Debug)]
struct OperatorEntry {
    intent: WorkerIntent,
    desired_state_sequence: u64,
    weight_sequence: u64,
}

/// The values of all sources for all workers, by worker name. Its size is bounded by discovery's list and the running
/// configuration.
#[derive(Clone, Debug, Default)]
pub struct Composer {
    discovery: BTreeMap<String, DiscoveryEntry>,
    operator: BTreeMap<String, OperatorEntry>,
    /// The operator's entries before the confirmed commit that awaits its confirmation.
    unconfirmed_base: Option<BTreeMap<String, OperatorEntry>>,
    /// The ratio of their weight that the workers of a zone keep under the failover plan. Workers of other zones keep
    /// their full weight.
    weight_ratios: BTreeMap<ZoneId, f64>,
    /// The sequence number of the last update. Updates are ordered by it, as two of them may have the same time.
    last_sequence: u64,
}

impl Composer {
    /// Applies discovery's entry for a worker. A field whose value is repeated keeps its sequence number.
    pub fn update_discovery(&mut self, name: &str, entry: WorkerEntry, address: Option<SocketAddr>) {
        self.last_sequence += 1;
        let (mut phase_sequence, mut weight_sequence) = (self.last_sequence, self.last_sequence);
        if let Some(earlier) = self.discovery.get(name) {
            // The phase of a restarted worker is a new value even if it is the same.
            let restarted = entry.started_at > earlier.entry.started_at || earlier.entry.phase == Phase::Gone;
            if !restarted && earlier.entry.phase == entry.phase {
                phase_sequence = earlier.phase_sequence;
            }
            if earlier.entry.weight == entry.weight {
                weight_sequence = earlier.weight_sequence;
            }
        }
        self.discovery
            .insert(name.to_string(), DiscoveryEntry { entry, address, phase_sequence, weight_sequence });
    }

    /// Applies a phase that discovery reports alone; the other fields keep their values. Returns false and changes
    /// nothing if discovery does not list the worker or reported it gone, so that this never brings a worker back.
    pub fn update_discovery_phase(&mut self, name: &str, phase: Phase) -> bool {
        let discovery = self.discovery.get(name).filter(|discovery| discovery.entry.phase != Phase::Gone);
        let Some(discovery) = discovery.cloned() else { return false };
        let address = discovery.address.filter(|_| phase != Phase::Gone);
        self.update_discovery(name, WorkerEntry { phase, ..discovery.entry }, address);
        true
    }

    /// Marks the workers gone that a full list from discovery no longer names. Returns their names.
    pub fn mark_unlisted_gone(&mut self, is_listed: &dyn Fn(&str) -> bool) -> Vec<String> {
        let unlisted = |(name, discovery): (&String, &DiscoveryEntry)| {
            (discovery.entry.phase != Phase::Gone && !is_listed(name)).then(|| name.clone())
        };
        let unlisted: Vec<String> = self.discovery.iter().filter_map(unlisted).collect();
        for name in &unlisted {
            let discovery = self.discovery[name].clone();
            self.update_discovery(name, WorkerEntry { phase: Phase::Gone, ..discovery.entry }, None);
        }
        unlisted
    }

    /// Forgets a worker that the planner removed. If discovery still lists the worker, it was only taken out by the
    /// operator: its entry is kept and true is returned. Otherwise the entry is removed.
    pub fn forget(&mut self, name: &str) -> bool {
        if self.discovery.get(name).is_some_and(|discovery| discovery.entry.phase != Phase::Gone) {
            return true;
        }
        self.discovery.remove(name);
        false
    }

    /// Gives a new id to a worker that the planner removed but discovery still lists.
    pub fn reassign_id(&mut self, name: &str, worker: WorkerId) {
        self.discovery.get_mut(name).into_iter().for_each(|discovery| discovery.entry.worker = worker);
    }

    /// Replaces the operator's intent for all workers. A field whose value is repeated keeps its sequence number.
    /// Returns the names of the workers whose intent changed.
    pub fn update_intent(&mut self, intent: &Intent, change: IntentChange) -> Vec<String> {
        self.last_sequence += 1;
        let replaced = std::mem::take(&mut self.operator);
        let base = self.unconfirmed_base.take();
        // The entries whose values keep their sequence numbers.
        let earlier_entries = match (change, &base) {
            (IntentChange::Rollback, Some(base)) => base,
            _ => &replaced,
        };
        // A restored value that has no earlier entry is not taken for a later one.
        let desired_state_sequence = match change {
            IntentChange::Startup | IntentChange::Rollback => EARLIEST_SEQUENCE,
            IntentChange::Commit | IntentChange::ConfirmedCommit => self.last_sequence,
        };
        for (name, worker_intent) in &intent.workers {
            let earlier = earlier_entries.get(name);
            let same_state =
                earlier.filter(|earlier| earlier.intent.desired_state == worker_intent.desired_state);
            let same_weight = earlier.filter(|earlier| earlier.intent.weight == worker_intent.weight);
            let entry = OperatorEntry {
                intent: worker_intent.clone(),
                desired_state_sequence: same_state
                    .map_or(desired_state_sequence, |earlier| earlier.desired_state_sequence),
                weight_sequence: same_weight.map_or(self.last_sequence, |earlier| earlier.weight_sequence),
            };
            self.operator.insert(name.clone(), entry);
        }
        let is_changed = |name: &&String| {
            let intent_in = |entries: &BTreeMap<String, OperatorEntry>| {
                entries.get(*name).map(|entry| entry.intent.clone())
            };
            intent_in(&replaced) != intent_in(&self.operator)
        };
        let names: BTreeSet<&String> = replaced.keys().chain(self.operator.keys()).collect();
        let changed = names.into_iter().filter(is_changed).cloned().collect();
        self.unconfirmed_base = match change {
            IntentChange::ConfirmedCommit => base.or(Some(replaced)),
            IntentChange::Startup | IntentChange::Commit | IntentChange::Rollback => None,
        };
        changed
    }

    /// Replaces the failover plan, given as the ratio of their weight that the workers of a zone keep. Returns whether
    /// it changed.
    pub fn update_plan(&mut self, weight_ratios: BTreeMap<ZoneId, f64>) -> bool {
        let changed = self.weight_ratios != weight_ratios;
        self.weight_ratios = weight_ratios;
        changed
    }

    /// Applies the failover plan to a worker composed from the other sources.
    fn apply_plan(&self, composed: &mut ComposedWorker, desired_state: Option<DesiredState>) {
        let entry = &mut composed.entry;
        let Some(ratio) = self.weight_ratios.get(&entry.zone).filter(|ratio| **ratio < 1.0) else { return };
        if entry.phase != Phase::Ready || desired_state == Some(DesiredState::Ready) {
            return;
        }
        if *ratio <= 0.0 {
            (entry.phase, composed.phase_origin) = (Phase::Draining, Origin::Plan);
            return;
        }
        // The planner gives a worker without a weight the mean weight of the others, so the ratio applies to that mean.
        let known_weights =
            || self.discovery.values().map(|discovery| discovery.entry.weight).filter(|weight| *weight > 0.0);
        let mean_weight = || known_weights().sum::<f64>() / (known_weights().count() as f64);
        let full_weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            Some(mean_weight()).filter(|mean| *mean > 0.0).unwrap_or(1.0)
        };
        (entry.weight, composed.weight_origin) = (full_weight * ratio, Some(Origin::Plan));
    }

    /// The names of all workers that have an entry from discovery or are placed by the operator.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        self.discovery.keys().map(String::as_str).chain(self.operator_placed().map(|(name, _)| name))
    }

    /// The workers that only the operator places, with their placement.
    pub fn operator_placed(&self) -> impl Iterator<Item = (&str, &Placement)> {
        let unlisted = self.operator.iter().filter(|(name, _)| !self.discovery.contains_key(*name));
        unlisted.filter_map(|(name, entry)| Some((name.as_str(), entry.intent.placement.as_ref()?)))
    }

    /// Composes one worker from all sources; `None` if no source places it. `placed_entry` makes the entry of a worker
    /// that only the operator places, with the ids for the names in its placement.
    pub fn compose(
        &self,
        name: &str,
        placed_entry: impl FnOnce(&WorkerIntent) -> Option<WorkerEntry>,
    ) -> Option<ComposedWorker> {
        let (discovery, operator) = (self.discovery.get(name), self.operator.get(name));
        let Some(discovery) = discovery else {
            let operator = operator?;
            let placement = operator.intent.placement.as_ref()?;
            let entry = placed_entry(&operator.intent)?;
            let mut composed = ComposedWorker {
                entry: WorkerEntry { phase: Phase::Gone, ..entry },
                address: placement.address,
                phase_origin: Origin::Discovery,
                weight_origin: None,
                placement_origin: Origin::Operator,
                discovery_phase: None,
            };
            operator.apply(&mut composed, EARLIEST_SEQUENCE, EARLIEST_SEQUENCE);
            return Some(composed);
        };
        let mut composed = ComposedWorker {
            entry: discovery.entry.clone(),
            address: discovery.address,
            phase_origin: Origin::Discovery,
            weight_origin: (discovery.entry.weight > 0.0).then_some(Origin::Discovery),
            placement_origin: Origin::Discovery,
            discovery_phase: Some(discovery.entry.phase),
        };
        if let Some(operator) = operator {
            operator.apply(&mut composed, discovery.phase_sequence, discovery.weight_sequence);
        }
        self.apply_plan(&mut composed, operator.map(|operator| operator.intent.desired_state));
        Some(composed)
    }
}

impl OperatorEntry {
    /// Applies the operator's intent to a worker whose phase and weight were set at the given sequence numbers.
    fn apply(&self, composed: &mut ComposedWorker, phase_sequence: u64, weight_sequence: u64) {
        if let Some(weight) = self
            .intent
            .weight
            .filter(|_| self.weight_sequence > weight_sequence || !composed.entry.weight.gt(&0.0))
        {
            (composed.entry.weight, composed.weight_origin) = (weight, Some(Origin::Operator));
        }
        let drained_by_weight = self.intent.weight == Some(0.0);
        let phase = match self.intent.desired_state {
            DesiredState::Out => Some(Phase::Gone),
            DesiredState::Draining => Some(Phase::Draining),
            _ if drained_by_weight => Some(Phase::Draining),
            DesiredState::Ready if self.desired_state_sequence > phase_sequence => Some(Phase::Ready),
            DesiredState::Ready | DesiredState::Follow => None,
        };
        let departure_rank = |phase: Phase| match phase {
            Phase::Ready => 0,
            Phase::Draining => 1,
            Phase::Gone => 2,
        };
        let Some(phase) = phase else { return };
        let cancels_drain = phase == Phase::Ready && composed.entry.phase == Phase::Draining;
        if cancels_drain || departure_rank(phase) > departure_rank(composed.entry.phase) {
            (composed.entry.phase, composed.phase_origin) = (phase, Origin::Operator);
        }
        // The planner reads a weight of 0 as none given, which is harmless: a draining worker has no line in any table.
        if drained_by_weight && composed.entry.weight == 0.0 {
            composed.weight_origin = Some(Origin::Operator);
        }
    }
}

#[cfg(test)]
mod tests;
