//! How the sources' words on a worker compose, field by field, in the spirit of the update algebra: a word holds
//! until its source says another; of two words on one field the later wins; a departure beats every earlier
//! word; no source's silence erases another's word; what discovery says is gone stays gone until it lists the
//! worker again.
//!
//! One departure from the plain rule "the later wins": an operator's departure (draining, out, weight 0) is not
//! undone by a later word of discovery. Discovery's `ready` speaks of a process that runs, not of the reason for
//! which somebody took it out, and the running configuration goes on saying that it is out.
//!
//! What managers agree on comes last and below all others: a plan in common takes part of the weight of a zone's workers,
//! or all of it, which drains them. It never brings back who departed by another's word, it says nothing of whom the
//! operator wants ready, and as it ends every word of the others stands as if it had not been.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperrail_interface::{Phase, WorkerEntry, WorkerId, ZoneId};

use crate::want::{DesiredState, Intent, Placement, WorkerIntent};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Discovery,
    Operator,
    /// What managers agreed on.
    Plan,
}

impl Origin {
    pub fn name(self) -> &'static str {
        match self {
            Origin::Discovery => "discovery",
            Origin::Operator => "operator",
            Origin::Plan => "plan",
        }
    }
}

/// What all sources together say of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ComposedWorker {
    /// As the decisions are told it. A weight of 0 means that no source gave one.
    pub listed: WorkerEntry,
    pub address: Option<SocketAddr>,
    pub phase_origin: Origin,
    pub weight_origin: Option<Origin>,
    pub placement_origin: Origin,
    /// Discovery's last word.
    pub discovery_phase: Option<Phase>,
}

/// What discovery said last, and when each field took its value.
#[derive(Clone, Debug)]
struct Told {
    listed: WorkerEntry,
    address: Option<SocketAddr>,
    phase_at: u64,
    weight_at: u64,
}

#[derive(Clone, Debug)]
struct Wished {
    wish: WorkerIntent,
    wanted_at: u64,
    weight_at: u64,
    /// Discovery said that it is gone and has forgotten it since.
    gone: bool,
}

/// The words of every source on every worker, by the worker's name. Bounded by discovery's list and the
/// running configuration.
#[derive(Clone, Debug, Default)]
pub struct Composer {
    told: BTreeMap<String, Told>,
    wished: BTreeMap<String, Wished>,
    /// What part of their weight zones keep by the plan in common; who is not named keeps all.
    parts: BTreeMap<ZoneId, f64>,
    /// Words are told apart in time by their number: a clock might stand still between two of them.
    last: u64,
}

impl Composer {
    /// Discovery's word on one worker. The same word again is no later one.
    pub fn update_discovery(&mut self, name: &str, listed: WorkerEntry, address: Option<SocketAddr>) {
        self.last += 1;
        let (mut phase_at, mut weight_at) = (self.last, self.last);
        if let Some(known) = self.told.get(name) {
            // A worker that started anew says all that it says anew.
            let anew = listed.booted > known.listed.booted || known.listed.phase == Phase::Gone;
            if !anew && known.listed.phase == listed.phase {
                phase_at = known.phase_at;
            }
            if known.listed.weight == listed.weight {
                weight_at = known.weight_at;
            }
        }
        if let Some(wished) = self.wished.get_mut(name) {
            wished.gone = listed.phase == Phase::Gone;
        }
        self.told.insert(name.to_string(), Told { listed, address, phase_at, weight_at });
    }

    /// Discovery's word on the phase alone; what else it said of the worker holds. It brings nobody back: false, and
    /// nothing changes, where discovery names no such worker or said that it is gone.
    pub fn update_discovery_phase(&mut self, name: &str, phase: Phase) -> bool {
        let told = self.told.get(name).filter(|told| told.listed.phase != Phase::Gone);
        let Some(told) = told.cloned() else { return false };
        let address = told.address.filter(|_| phase != Phase::Gone);
        self.update_discovery(name, WorkerEntry { phase, ..told.listed }, address);
        true
    }

    /// A whole list came: those that it does not name are gone, as if it had said so. Their names are returned.
    pub fn mark_unlisted_gone(&mut self, named: &dyn Fn(&str) -> bool) -> Vec<String> {
        let gone = |(name, told): (&String, &Told)| {
            (told.listed.phase != Phase::Gone && !named(name)).then(|| name.clone())
        };
        let gone: Vec<String> = self.told.iter().filter_map(gone).collect();
        for name in &gone {
            let told = self.told[name].clone();
            self.update_discovery(name, WorkerEntry { phase: Phase::Gone, ..told.listed }, None);
        }
        gone
    }

    /// The decisions forgot it. Where discovery said gone nothing of its word is needed any more but that; else,
    /// as the operator alone took it out, its word stays. Whether it does.
    pub fn forget(&mut self, name: &str) -> bool {
        if self.told.get(name).is_some_and(|told| told.listed.phase != Phase::Gone) {
            return true;
        }
        let gone = self.told.remove(name).is_some();
        if let Some(wished) = self.wished.get_mut(name) {
            wished.gone |= gone;
        }
        false
    }

    /// A worker that was forgotten goes by another id from now on.
    pub fn reassign_id(&mut self, name: &str, worker: WorkerId) {
        self.told.get_mut(name).into_iter().for_each(|told| told.listed.worker = worker);
    }

    /// The operator's word on all workers takes the place of the one before. What is worded alike is no later
    /// word. The names of which something else is wanted are returned.
    pub fn update_intent(&mut self, intent: &Intent) -> Vec<String> {
        self.last += 1;
        let mut changed = Vec::new();
        let before = std::mem::take(&mut self.wished);
        for (name, wish) in &intent.workers {
            let known = before.get(name);
            let later = |same: bool, at: u64| if same { at } else { self.last };
            let wished = Wished {
                wanted_at: known
                    .map_or(self.last, |k| later(k.wish.desired_state == wish.desired_state, k.wanted_at)),
                weight_at: known.map_or(self.last, |k| later(k.wish.weight == wish.weight, k.weight_at)),
                gone: match self.told.get(name) {
                    Some(told) => told.listed.phase == Phase::Gone,
                    None => known.is_some_and(|known| known.gone),
                },
                wish: wish.clone(),
            };
            if known.map(|known| &known.wish) != Some(wish) {
                changed.push(name.clone());
            }
            self.wished.insert(name.clone(), wished);
        }
        changed.extend(before.into_keys().filter(|name| !intent.workers.contains_key(name)));
        changed
    }

    /// The plan in common takes the place of the one before. Whether it says anything else.
    pub fn update_plan(&mut self, parts: BTreeMap<ZoneId, f64>) -> bool {
        let changed = self.parts != parts;
        self.parts = parts;
        changed
    }

    /// Lays the plan's word under those of the others.
    fn lean_on(&self, composed: &mut ComposedWorker, wanted: Option<DesiredState>) {
        let listed = &mut composed.listed;
        let Some(part) = self.parts.get(&listed.zone).filter(|part| **part < 1.0) else { return };
        if listed.phase != Phase::Ready || wanted == Some(DesiredState::Ready) {
            return;
        }
        if *part <= 0.0 {
            (listed.phase, composed.phase_origin) = (Phase::Draining, Origin::Plan);
            return;
        }
        // Where nobody gave a weight the decisions take the mean of the others, so that is what it is a part of.
        let known = || self.told.values().map(|told| told.listed.weight).filter(|weight| *weight > 0.0);
        let mean = || known().sum::<f64>() / (known().count() as f64);
        let whole = if listed.weight > 0.0 {
            listed.weight
        } else {
            Some(mean()).filter(|m| *m > 0.0).unwrap_or(1.0)
        };
        (listed.weight, composed.weight_origin) = (whole * part, Some(Origin::Plan));
    }

    /// Every worker that some source places somewhere.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        self.told.keys().map(String::as_str).chain(self.operator_placed().map(|(name, _)| name))
    }

    /// Workers that the operator alone places, and where.
    pub fn operator_placed(&self) -> impl Iterator<Item = (&str, &Placement)> {
        let here = self.wished.iter().filter(|(name, _)| !self.told.contains_key(*name));
        here.filter_map(|(name, wished)| Some((name.as_str(), wished.wish.placement.as_ref()?)))
    }

    /// What all sources together say; `None` where none says where the worker is. `listed` makes the entry of a
    /// worker that only the operator placed, with ids in place of names.
    pub fn compose(
        &self,
        name: &str,
        listed: impl FnOnce(&WorkerIntent) -> Option<WorkerEntry>,
    ) -> Option<ComposedWorker> {
        let (told, wished) = (self.told.get(name), self.wished.get(name));
        let Some(told) = told else {
            let wished = wished?;
            let place = wished.wish.placement.as_ref()?;
            let listed = listed(&wished.wish)?;
            let mut composed = ComposedWorker {
                listed: WorkerEntry { phase: Phase::Ready, ..listed },
                address: place.address,
                phase_origin: Origin::Operator,
                weight_origin: None,
                placement_origin: Origin::Operator,
                discovery_phase: None,
            };
            if wished.gone {
                // Guards against a worker that comes back by the operator's old word on where it once was.
                (composed.listed.phase, composed.phase_origin) = (Phase::Gone, Origin::Discovery);
            }
            wished.apply(&mut composed, 0, 0);
            self.lean_on(&mut composed, Some(wished.wish.desired_state));
            return Some(composed);
        };
        let mut composed = ComposedWorker {
            listed: told.listed.clone(),
            address: told.address,
            phase_origin: Origin::Discovery,
            weight_origin: (told.listed.weight > 0.0).then_some(Origin::Discovery),
            placement_origin: Origin::Discovery,
            discovery_phase: Some(told.listed.phase),
        };
        if let Some(wished) = wished {
            wished.apply(&mut composed, told.phase_at, told.weight_at);
        }
        self.lean_on(&mut composed, wished.map(|wished| wished.wish.desired_state));
        Some(composed)
    }
}

impl Wished {
    /// Lays the operator's word over what was said at the given times.
    fn apply(&self, onto: &mut ComposedWorker, phase_at: u64, weight_at: u64) {
        if let Some(weight) =
            self.wish.weight.filter(|_| self.weight_at > weight_at || !onto.listed.weight.gt(&0.0))
        {
            (onto.listed.weight, onto.weight_origin) = (weight, Some(Origin::Operator));
        }
        let drained = self.wish.weight == Some(0.0);
        let wanted = match self.wish.desired_state {
            DesiredState::Out => Some(Phase::Gone),
            DesiredState::Draining => Some(Phase::Draining),
            _ if drained => Some(Phase::Draining),
            DesiredState::Ready if self.wanted_at > phase_at => Some(Phase::Ready),
            DesiredState::Ready | DesiredState::Follow => None,
        };
        let rank = |phase: Phase| match phase {
            Phase::Ready => 0,
            Phase::Draining => 1,
            Phase::Gone => 2,
        };
        let Some(wanted) = wanted else { return };
        let later_ready = wanted == Phase::Ready && onto.listed.phase == Phase::Draining;
        if later_ready || rank(wanted) > rank(onto.listed.phase) {
            (onto.listed.phase, onto.phase_origin) = (wanted, Origin::Operator);
        }
        // Weight 0 is what the decisions read as "none given"; such a worker drains and has no line anyway.
        if drained && onto.listed.weight == 0.0 {
            onto.weight_origin = Some(Origin::Operator);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_interface::{CellId, MachineId};

    fn listed(phase: Phase, weight: f64, booted: Option<f64>) -> WorkerEntry {
        let (zone, machine, cell) = (ZoneId(0), MachineId(0), CellId(0));
        WorkerEntry { worker: WorkerId(1), phase, booted, zone, machine, cell, weight }
    }

    fn intent(wish: WorkerIntent) -> Intent {
        Intent { workers: BTreeMap::from([("s-1".to_string(), wish)]), ..Intent::default() }
    }

    fn wants(wanted: DesiredState, weight: Option<f64>) -> Intent {
        intent(WorkerIntent { desired_state: wanted, weight, placement: None })
    }

    struct Town(Composer);

    impl Town {
        fn tell(&mut self, phase: Phase, weight: f64) {
            self.0.update_discovery("s-1", listed(phase, weight, None), None);
        }

        fn phase(&self) -> (Phase, Origin) {
            let composed = self.0.compose("s-1", |_| Some(listed(Phase::Ready, 0.0, None))).unwrap();
            (composed.listed.phase, composed.phase_origin)
        }

        fn weight(&self) -> (f64, Option<Origin>) {
            let composed = self.0.compose("s-1", |_| Some(listed(Phase::Ready, 0.0, None))).unwrap();
            (composed.listed.weight, composed.weight_origin)
        }
    }

    use Origin::{Discovery, Operator};
    use Phase::*;

    #[test]
    fn the_later_word_on_the_state_wins_and_a_departure_beats_all_before() {
        let mut town = Town(Composer::default());
        town.tell(Draining, 1.0);
        town.0.update_intent(&wants(DesiredState::Ready, None));
        assert_eq!(town.phase(), (Ready, Operator));
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Ready, Operator), "the same word again is no later one");
        town.tell(Ready, 1.0);
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Draining, Discovery), "a departure after it beats it");
        assert!(town.0.update_intent(&wants(DesiredState::Ready, None)).is_empty());
        assert_eq!(town.phase(), (Draining, Discovery), "the same wish again is no later one");
        town.0.update_intent(&wants(DesiredState::Follow, None));
        town.0.update_intent(&wants(DesiredState::Ready, None));
        assert_eq!(town.phase(), (Ready, Operator));
    }

    #[test]
    fn what_discovery_says_is_gone_stays_gone_until_it_lists_it_again() {
        let mut town = Town(Composer::default());
        town.0.update_intent(&wants(DesiredState::Ready, None));
        town.tell(Ready, 1.0);
        town.tell(Gone, 1.0);
        assert_eq!(town.phase(), (Gone, Discovery));
        town.0.update_intent(&wants(DesiredState::Follow, None));
        town.0.update_intent(&wants(DesiredState::Ready, None));
        assert_eq!(town.phase(), (Gone, Discovery), "a later wish does not bring it back");
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Draining, Discovery), "listed again, its word is a new one");
        town.tell(Ready, 1.0);
        assert_eq!(town.phase(), (Ready, Discovery));
        assert!(town.0.mark_unlisted_gone(&|_| false) == ["s-1"] && town.phase() == (Gone, Discovery));
        assert!(town.0.mark_unlisted_gone(&|_| false).is_empty(), "told once");
    }

    #[test]
    fn a_plan_narrows_below_all_others_and_leaves_nothing_behind() {
        let mut town = Town(Composer::default());
        let parts = |part: f64| BTreeMap::from([(ZoneId(0), part)]);
        town.tell(Ready, 2.0);
        assert!(town.0.update_plan(parts(0.25)) && !town.0.update_plan(parts(0.25)));
        assert_eq!((town.phase(), town.weight()), ((Ready, Discovery), (0.5, Some(Origin::Plan))));
        town.0.update_plan(parts(0.0));
        assert_eq!(town.phase(), (Draining, Origin::Plan));
        town.tell(Gone, 2.0);
        assert_eq!(town.phase(), (Gone, Discovery), "it brings nobody back");
        town.tell(Ready, 2.0);
        town.0.update_intent(&wants(DesiredState::Out, None));
        assert_eq!(town.phase(), (Gone, Operator));
        town.0.update_intent(&wants(DesiredState::Ready, None));
        assert_eq!(town.phase(), (Ready, Discovery), "whom the operator wants ready stays");
        town.0.update_intent(&Intent::default());
        town.tell(Ready, 0.0);
        town.0.update_plan(parts(0.25));
        assert_eq!(town.weight(), (0.25, Some(Origin::Plan)), "nobody gave a weight");
        town.0.update_plan(BTreeMap::new());
        assert_eq!((town.phase(), town.weight()), ((Ready, Discovery), (0.0, None)));
    }

    #[test]
    fn an_operators_departure_stands_until_the_operator_takes_it_back() {
        let mut town = Town(Composer::default());
        town.tell(Ready, 1.0);
        for wanted in [wants(DesiredState::Draining, None), wants(DesiredState::Follow, Some(0.0))] {
            assert_eq!(town.0.update_intent(&wanted), ["s-1"]);
            assert_eq!(town.phase(), (Draining, Operator));
            town.tell(Draining, 1.0);
            town.tell(Ready, 1.0);
            town.0.update_discovery("s-1", listed(Ready, 1.0, Some(5.0)), None);
            assert_eq!(town.phase(), (Draining, Operator), "not even a new start undoes it");
        }
        town.0.update_intent(&wants(DesiredState::Out, None));
        assert_eq!(town.phase(), (Gone, Operator));
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Gone, Operator));
        assert_eq!(town.0.update_intent(&Intent::default()), ["s-1"]);
        assert_eq!(town.phase(), (Draining, Discovery), "its silence leaves discovery's word");
    }

    #[test]
    fn the_later_weight_wins_and_silence_erases_nothing() {
        let mut town = Town(Composer::default());
        town.tell(Ready, 2.0);
        town.0.update_intent(&wants(DesiredState::Follow, Some(0.5)));
        assert_eq!(town.weight(), (0.5, Some(Operator)));
        town.tell(Draining, 2.0);
        assert_eq!(town.weight(), (0.5, Some(Operator)), "another field's word says nothing of it");
        town.tell(Ready, 3.0);
        assert_eq!(town.weight(), (3.0, Some(Discovery)));
        town.0.update_intent(&wants(DesiredState::Follow, Some(0.25)));
        town.tell(Ready, 0.0);
        assert_eq!(town.weight(), (0.25, Some(Operator)), "discovery says none");
        town.0.update_intent(&wants(DesiredState::Draining, None));
        assert_eq!(town.weight(), (0.0, None));
    }

    #[test]
    fn a_worker_that_only_the_operator_places_is_there_until_discovery_says_gone() {
        let place = Placement { zone: "a".into(), machine: String::new(), cell: None, address: None };
        let placed = intent(WorkerIntent { placement: Some(place), ..WorkerIntent::default() });
        let mut town = Town(Composer::default());
        assert!(town.0.compose("s-1", |_| None).is_none());
        town.0.update_intent(&placed);
        assert_eq!((town.phase(), town.0.worker_names().count()), ((Ready, Operator), 1));
        town.tell(Draining, 1.0);
        assert_eq!((town.phase(), town.0.worker_names().count()), ((Draining, Discovery), 1));
        town.tell(Gone, 1.0);
        town.0.forget("s-1");
        assert_eq!(town.phase(), (Gone, Discovery), "its old place does not bring it back");
        town.0.update_intent(&placed);
        assert_eq!(town.phase(), (Gone, Discovery));
        town.tell(Ready, 1.0);
        assert_eq!(town.phase(), (Ready, Discovery));
        town.0.update_intent(&Intent::default());
        assert!(town.0.forget("s-1"), "discovery still names it");
        town.tell(Gone, 1.0);
        assert!(!town.0.forget("s-1"));
        assert!(town.0.worker_names().next().is_none(), "nothing is kept of who nobody names");
    }
}
