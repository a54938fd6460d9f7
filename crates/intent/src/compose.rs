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

use crate::want::{Intent, Place, Wanted, Wish};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Discovery,
    Operator,
    /// What managers agreed on.
    Plan,
}

impl Source {
    pub fn name(self) -> &'static str {
        match self {
            Source::Discovery => "discovery",
            Source::Operator => "operator",
            Source::Plan => "plan",
        }
    }
}

/// What all sources together say of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Composed {
    /// As the decisions are told it. A weight of 0 means that no source gave one.
    pub listed: WorkerEntry,
    pub address: Option<SocketAddr>,
    pub phase_from: Source,
    pub weight_from: Option<Source>,
    pub place_from: Source,
    /// Discovery's last word.
    pub discovery: Option<Phase>,
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
    wish: Wish,
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
    pub fn tell(&mut self, name: &str, listed: WorkerEntry, address: Option<SocketAddr>) {
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
    pub fn tell_phase(&mut self, name: &str, phase: Phase) -> bool {
        let told = self.told.get(name).filter(|told| told.listed.phase != Phase::Gone);
        let Some(told) = told.cloned() else { return false };
        let address = told.address.filter(|_| phase != Phase::Gone);
        self.tell(name, WorkerEntry { phase, ..told.listed }, address);
        true
    }

    /// A whole list came: those that it does not name are gone, as if it had said so. Their names are returned.
    pub fn only(&mut self, named: &dyn Fn(&str) -> bool) -> Vec<String> {
        let gone = |(name, told): (&String, &Told)| {
            (told.listed.phase != Phase::Gone && !named(name)).then(|| name.clone())
        };
        let gone: Vec<String> = self.told.iter().filter_map(gone).collect();
        for name in &gone {
            let told = self.told[name].clone();
            self.tell(name, WorkerEntry { phase: Phase::Gone, ..told.listed }, None);
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
    pub fn renumber(&mut self, name: &str, worker: WorkerId) {
        self.told.get_mut(name).into_iter().for_each(|told| told.listed.worker = worker);
    }

    /// The operator's word on all workers takes the place of the one before. What is worded alike is no later
    /// word. The names of which something else is wanted are returned.
    pub fn wish(&mut self, intent: &Intent) -> Vec<String> {
        self.last += 1;
        let mut changed = Vec::new();
        let before = std::mem::take(&mut self.wished);
        for (name, wish) in &intent.workers {
            let known = before.get(name);
            let later = |same: bool, at: u64| if same { at } else { self.last };
            let wished = Wished {
                wanted_at: known.map_or(self.last, |k| later(k.wish.wanted == wish.wanted, k.wanted_at)),
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
    pub fn lean(&mut self, parts: BTreeMap<ZoneId, f64>) -> bool {
        let changed = self.parts != parts;
        self.parts = parts;
        changed
    }

    /// Lays the plan's word under those of the others.
    fn lean_on(&self, composed: &mut Composed, wanted: Option<Wanted>) {
        let listed = &mut composed.listed;
        let Some(part) = self.parts.get(&listed.zone).filter(|part| **part < 1.0) else { return };
        if listed.phase != Phase::Ready || wanted == Some(Wanted::Ready) {
            return;
        }
        if *part <= 0.0 {
            (listed.phase, composed.phase_from) = (Phase::Draining, Source::Plan);
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
        (listed.weight, composed.weight_from) = (whole * part, Some(Source::Plan));
    }

    /// Every worker that some source places somewhere.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.told.keys().map(String::as_str).chain(self.placed().map(|(name, _)| name))
    }

    /// Workers that the operator alone places, and where.
    pub fn placed(&self) -> impl Iterator<Item = (&str, &Place)> {
        let here = self.wished.iter().filter(|(name, _)| !self.told.contains_key(*name));
        here.filter_map(|(name, wished)| Some((name.as_str(), wished.wish.place.as_ref()?)))
    }

    /// What all sources together say; `None` where none says where the worker is. `listed` makes the entry of a
    /// worker that only the operator placed, with ids in place of names.
    pub fn composed(
        &self,
        name: &str,
        listed: impl FnOnce(&Wish) -> Option<WorkerEntry>,
    ) -> Option<Composed> {
        let (told, wished) = (self.told.get(name), self.wished.get(name));
        let Some(told) = told else {
            let wished = wished?;
            let place = wished.wish.place.as_ref()?;
            let listed = listed(&wished.wish)?;
            let mut composed = Composed {
                listed: WorkerEntry { phase: Phase::Ready, ..listed },
                address: place.address,
                phase_from: Source::Operator,
                weight_from: None,
                place_from: Source::Operator,
                discovery: None,
            };
            if wished.gone {
                // Guards against a worker that comes back by the operator's old word on where it once was.
                (composed.listed.phase, composed.phase_from) = (Phase::Gone, Source::Discovery);
            }
            wished.apply(&mut composed, 0, 0);
            self.lean_on(&mut composed, Some(wished.wish.wanted));
            return Some(composed);
        };
        let mut composed = Composed {
            listed: told.listed.clone(),
            address: told.address,
            phase_from: Source::Discovery,
            weight_from: (told.listed.weight > 0.0).then_some(Source::Discovery),
            place_from: Source::Discovery,
            discovery: Some(told.listed.phase),
        };
        if let Some(wished) = wished {
            wished.apply(&mut composed, told.phase_at, told.weight_at);
        }
        self.lean_on(&mut composed, wished.map(|wished| wished.wish.wanted));
        Some(composed)
    }
}

impl Wished {
    /// Lays the operator's word over what was said at the given times.
    fn apply(&self, onto: &mut Composed, phase_at: u64, weight_at: u64) {
        if let Some(weight) =
            self.wish.weight.filter(|_| self.weight_at > weight_at || !onto.listed.weight.gt(&0.0))
        {
            (onto.listed.weight, onto.weight_from) = (weight, Some(Source::Operator));
        }
        let drained = self.wish.weight == Some(0.0);
        let wanted = match self.wish.wanted {
            Wanted::Out => Some(Phase::Gone),
            Wanted::Draining => Some(Phase::Draining),
            _ if drained => Some(Phase::Draining),
            Wanted::Ready if self.wanted_at > phase_at => Some(Phase::Ready),
            Wanted::Ready | Wanted::Follow => None,
        };
        let rank = |phase: Phase| match phase {
            Phase::Ready => 0,
            Phase::Draining => 1,
            Phase::Gone => 2,
        };
        let Some(wanted) = wanted else { return };
        let later_ready = wanted == Phase::Ready && onto.listed.phase == Phase::Draining;
        if later_ready || rank(wanted) > rank(onto.listed.phase) {
            (onto.listed.phase, onto.phase_from) = (wanted, Source::Operator);
        }
        // Weight 0 is what the decisions read as "none given"; such a worker drains and has no line anyway.
        if drained && onto.listed.weight == 0.0 {
            onto.weight_from = Some(Source::Operator);
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

    fn intent(wish: Wish) -> Intent {
        Intent { workers: BTreeMap::from([("s-1".to_string(), wish)]), ..Intent::default() }
    }

    fn wants(wanted: Wanted, weight: Option<f64>) -> Intent {
        intent(Wish { wanted, weight, place: None })
    }

    struct Town(Composer);

    impl Town {
        fn tell(&mut self, phase: Phase, weight: f64) {
            self.0.tell("s-1", listed(phase, weight, None), None);
        }

        fn phase(&self) -> (Phase, Source) {
            let composed = self.0.composed("s-1", |_| Some(listed(Phase::Ready, 0.0, None))).unwrap();
            (composed.listed.phase, composed.phase_from)
        }

        fn weight(&self) -> (f64, Option<Source>) {
            let composed = self.0.composed("s-1", |_| Some(listed(Phase::Ready, 0.0, None))).unwrap();
            (composed.listed.weight, composed.weight_from)
        }
    }

    use Phase::*;
    use Source::{Discovery, Operator};

    #[test]
    fn the_later_word_on_the_state_wins_and_a_departure_beats_all_before() {
        let mut town = Town(Composer::default());
        town.tell(Draining, 1.0);
        town.0.wish(&wants(Wanted::Ready, None));
        assert_eq!(town.phase(), (Ready, Operator));
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Ready, Operator), "the same word again is no later one");
        town.tell(Ready, 1.0);
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Draining, Discovery), "a departure after it beats it");
        assert!(town.0.wish(&wants(Wanted::Ready, None)).is_empty());
        assert_eq!(town.phase(), (Draining, Discovery), "the same wish again is no later one");
        town.0.wish(&wants(Wanted::Follow, None));
        town.0.wish(&wants(Wanted::Ready, None));
        assert_eq!(town.phase(), (Ready, Operator));
    }

    #[test]
    fn what_discovery_says_is_gone_stays_gone_until_it_lists_it_again() {
        let mut town = Town(Composer::default());
        town.0.wish(&wants(Wanted::Ready, None));
        town.tell(Ready, 1.0);
        town.tell(Gone, 1.0);
        assert_eq!(town.phase(), (Gone, Discovery));
        town.0.wish(&wants(Wanted::Follow, None));
        town.0.wish(&wants(Wanted::Ready, None));
        assert_eq!(town.phase(), (Gone, Discovery), "a later wish does not bring it back");
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Draining, Discovery), "listed again, its word is a new one");
        town.tell(Ready, 1.0);
        assert_eq!(town.phase(), (Ready, Discovery));
        assert!(town.0.only(&|_| false) == ["s-1"] && town.phase() == (Gone, Discovery));
        assert!(town.0.only(&|_| false).is_empty(), "told once");
    }

    #[test]
    fn a_plan_narrows_below_all_others_and_leaves_nothing_behind() {
        let mut town = Town(Composer::default());
        let parts = |part: f64| BTreeMap::from([(ZoneId(0), part)]);
        town.tell(Ready, 2.0);
        assert!(town.0.lean(parts(0.25)) && !town.0.lean(parts(0.25)));
        assert_eq!((town.phase(), town.weight()), ((Ready, Discovery), (0.5, Some(Source::Plan))));
        town.0.lean(parts(0.0));
        assert_eq!(town.phase(), (Draining, Source::Plan));
        town.tell(Gone, 2.0);
        assert_eq!(town.phase(), (Gone, Discovery), "it brings nobody back");
        town.tell(Ready, 2.0);
        town.0.wish(&wants(Wanted::Out, None));
        assert_eq!(town.phase(), (Gone, Operator));
        town.0.wish(&wants(Wanted::Ready, None));
        assert_eq!(town.phase(), (Ready, Discovery), "whom the operator wants ready stays");
        town.0.wish(&Intent::default());
        town.tell(Ready, 0.0);
        town.0.lean(parts(0.25));
        assert_eq!(town.weight(), (0.25, Some(Source::Plan)), "nobody gave a weight");
        town.0.lean(BTreeMap::new());
        assert_eq!((town.phase(), town.weight()), ((Ready, Discovery), (0.0, None)));
    }

    #[test]
    fn an_operators_departure_stands_until_the_operator_takes_it_back() {
        let mut town = Town(Composer::default());
        town.tell(Ready, 1.0);
        for wanted in [wants(Wanted::Draining, None), wants(Wanted::Follow, Some(0.0))] {
            assert_eq!(town.0.wish(&wanted), ["s-1"]);
            assert_eq!(town.phase(), (Draining, Operator));
            town.tell(Draining, 1.0);
            town.tell(Ready, 1.0);
            town.0.tell("s-1", listed(Ready, 1.0, Some(5.0)), None);
            assert_eq!(town.phase(), (Draining, Operator), "not even a new start undoes it");
        }
        town.0.wish(&wants(Wanted::Out, None));
        assert_eq!(town.phase(), (Gone, Operator));
        town.tell(Draining, 1.0);
        assert_eq!(town.phase(), (Gone, Operator));
        assert_eq!(town.0.wish(&Intent::default()), ["s-1"]);
        assert_eq!(town.phase(), (Draining, Discovery), "its silence leaves discovery's word");
    }

    #[test]
    fn the_later_weight_wins_and_silence_erases_nothing() {
        let mut town = Town(Composer::default());
        town.tell(Ready, 2.0);
        town.0.wish(&wants(Wanted::Follow, Some(0.5)));
        assert_eq!(town.weight(), (0.5, Some(Operator)));
        town.tell(Draining, 2.0);
        assert_eq!(town.weight(), (0.5, Some(Operator)), "another field's word says nothing of it");
        town.tell(Ready, 3.0);
        assert_eq!(town.weight(), (3.0, Some(Discovery)));
        town.0.wish(&wants(Wanted::Follow, Some(0.25)));
        town.tell(Ready, 0.0);
        assert_eq!(town.weight(), (0.25, Some(Operator)), "discovery says none");
        town.0.wish(&wants(Wanted::Draining, None));
        assert_eq!(town.weight(), (0.0, None));
    }

    #[test]
    fn a_worker_that_only_the_operator_places_is_there_until_discovery_says_gone() {
        let place = Place { zone: "a".into(), machine: String::new(), cell: None, address: None };
        let placed = intent(Wish { place: Some(place), ..Wish::default() });
        let mut town = Town(Composer::default());
        assert!(town.0.composed("s-1", |_| None).is_none());
        town.0.wish(&placed);
        assert_eq!((town.phase(), town.0.names().count()), ((Ready, Operator), 1));
        town.tell(Draining, 1.0);
        assert_eq!((town.phase(), town.0.names().count()), ((Draining, Discovery), 1));
        town.tell(Gone, 1.0);
        town.0.forget("s-1");
        assert_eq!(town.phase(), (Gone, Discovery), "its old place does not bring it back");
        town.0.wish(&placed);
        assert_eq!(town.phase(), (Gone, Discovery));
        town.tell(Ready, 1.0);
        assert_eq!(town.phase(), (Ready, Discovery));
        town.0.wish(&Intent::default());
        assert!(town.0.forget("s-1"), "discovery still names it");
        town.tell(Gone, 1.0);
        assert!(!town.0.forget("s-1"));
        assert!(town.0.names().next().is_none(), "nothing is kept of who nobody names");
    }
}
