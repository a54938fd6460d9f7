//! The places workers stand in, each held once, and the set of those that a scope contains.

use std::hash::BuildHasher;

use hashbrown::{DefaultHashBuilder, HashTable};

use crate::scope::{Place, Scope};

/// Places one list may have.
const MOST_PLACES: usize = 1 << 20;

/// The number of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlaceId(u32);

impl PlaceId {
    /// The place of a worker whose entry names none that can be read: no zone, any service.
    pub const NOWHERE: PlaceId = PlaceId(0);
}

#[derive(Debug)]
struct Names {
    zone: Box<str>,
    service: Option<Box<str>>,
}

impl Names {
    fn place(&self) -> Place<'_> {
        Place { zone: &self.zone, service: self.service.as_deref() }
    }
}

/// All places that were ever named, numbered in the order in which they were.
#[derive(Debug)]
pub(crate) struct Places {
    names: Vec<Names>,
    by_names: HashTable<u32>,
    hasher: DefaultHashBuilder,
}

impl Default for Places {
    fn default() -> Places {
        let mut places = Places { names: Vec::new(), by_names: HashTable::new(), hasher: Default::default() };
        places.id(Place { zone: "", service: None });
        places
    }
}

impl Places {
    /// The number of a place; `None` if it is new and there are too many.
    pub fn id(&mut self, place: Place<'_>) -> Option<PlaceId> {
        let hash_of =
            |hasher: &DefaultHashBuilder, place: Place<'_>| hasher.hash_one((place.zone, place.service));
        let hash = hash_of(&self.hasher, place);
        let same = |id: &u32| self.names[*id as usize].place() == place;
        if let Some(id) = self.by_names.find(hash, same) {
            return Some(PlaceId(*id));
        }
        if self.names.len() >= MOST_PLACES {
            return None;
        }
        let id = self.names.len() as u32;
        self.names.push(Names { zone: place.zone.into(), service: place.service.map(Into::into) });
        let (names, hasher) = (&self.names, &self.hasher);
        self.by_names.insert_unique(hash, id, |id| hash_of(hasher, names[*id as usize].place()));
        Some(PlaceId(id))
    }
}

/// A scope, worked out for the places that are known.
#[derive(Debug)]
pub(crate) struct PlaceSet {
    scope: Scope,
    /// A bit for each place that was looked at.
    contained: Vec<u64>,
    looked_at: usize,
}

impl PlaceSet {
    pub fn new(scope: Scope) -> PlaceSet {
        PlaceSet { scope, contained: Vec::new(), looked_at: 0 }
    }

    /// Looks at the places that are new.
    pub fn extend(&mut self, places: &Places) {
        self.contained.resize(places.names.len().div_ceil(64), 0);
        for (id, names) in places.names.iter().enumerate().skip(self.looked_at) {
            let bit = u64::from(self.scope.contains(names.place()));
            self.contained[id / 64] |= bit << (id % 64);
        }
        self.looked_at = places.names.len();
    }

    pub fn contains(&self, place: PlaceId) -> bool {
        let id = place.0 as usize;
        self.contained.get(id / 64).is_some_and(|bits| bits >> (id % 64) & 1 == 1)
    }
}
