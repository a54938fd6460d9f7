//! The places workers stand in, each name held once, and the set of those that a scope contains.

use std::collections::BTreeSet;
use std::hash::BuildHasher;

use hashbrown::{DefaultHashBuilder, HashTable};

use crate::scope::{Location, Scope};

/// Zones, and services, that one list may have.
const MOST_NAMES: usize = u16::MAX as usize;

/// The number of the zone without a name, and of no service.
const UNNAMED: u16 = 0;

/// The numbers of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlaceId {
    zone: u16,
    service: u16,
}

impl PlaceId {
    /// The place of a worker whose entry names none that can be read: no zone, any service.
    pub const NOWHERE: PlaceId = PlaceId { zone: UNNAMED, service: UNNAMED };
}

/// Names in the order in which they came up, the first of them empty.
#[derive(Debug)]
struct Names {
    names: Vec<Box<str>>,
    by_name: HashTable<u16>,
    hasher: DefaultHashBuilder,
}

impl Default for Names {
    fn default() -> Names {
        Names { names: vec!["".into()], by_name: HashTable::new(), hasher: DefaultHashBuilder::default() }
    }
}

impl Names {
    /// The number of a name; `None` if it is new and there are too many.
    fn id(&mut self, name: &str) -> Option<u16> {
        if name.is_empty() {
            return Some(UNNAMED);
        }
        let hash = self.hasher.hash_one(name);
        let same = |id: &u16| &*self.names[usize::from(*id)] == name;
        if let Some(id) = self.by_name.find(hash, same) {
            return Some(*id);
        }
        if self.names.len() >= MOST_NAMES {
            return None;
        }
        let id = u16::try_from(self.names.len()).ok()?;
        self.names.push(name.into());
        let (names, hasher) = (&self.names, &self.hasher);
        self.by_name.insert_unique(hash, id, |id| hasher.hash_one(&*names[usize::from(*id)]));
        Some(id)
    }
}

/// All zones and services that were ever named.
#[derive(Debug, Default)]
pub(crate) struct Places {
    zones: Names,
    services: Names,
}

impl Places {
    /// The numbers of a place; `None` if a name of it is new and there are too many.
    pub fn id(&mut self, place: Location<'_>) -> Option<PlaceId> {
        let zone = self.zones.id(place.zone)?;
        // A service without a name is taken for none: the worker may serve any.
        let service = self.services.id(place.service.unwrap_or_default())?;
        Some(PlaceId { zone, service })
    }
}

/// Which names one dimension of a scope contains, worked out for those that are known.
///
/// Zones and services are looked at apart: a new watch costs as many steps as there are names, and not as many as there are
/// pairs of them, of which a large fleet has nearly one for each worker.
#[derive(Debug)]
struct NameSet {
    /// `None` contains every name.
    wanted: Option<BTreeSet<String>>,
    /// A bit for each name that was looked at.
    contained: Vec<u64>,
    looked_at: usize,
}

impl NameSet {
    fn new(wanted: &BTreeSet<String>) -> NameSet {
        let wanted = (!wanted.is_empty()).then(|| wanted.clone());
        NameSet { wanted, contained: Vec::new(), looked_at: 0 }
    }

    /// Looks at the names that are new.
    fn extend(&mut self, names: &Names) {
        let Some(wanted) = &self.wanted else { return };
        self.contained.resize(names.names.len().div_ceil(64), 0);
        for (id, name) in names.names.iter().enumerate().skip(self.looked_at) {
            let bit = u64::from(wanted.contains(&**name));
            self.contained[id / 64] |= bit << (id % 64);
        }
        self.looked_at = names.names.len();
    }

    fn contains(&self, id: u16) -> bool {
        let id = usize::from(id);
        self.wanted.is_none() || self.contained.get(id / 64).is_some_and(|bits| bits >> (id % 64) & 1 == 1)
    }
}

/// A scope, worked out for the places that are known.
#[derive(Debug)]
pub(crate) struct PlaceSet {
    zones: NameSet,
    services: NameSet,
}

impl PlaceSet {
    pub fn new(scope: &Scope) -> PlaceSet {
        PlaceSet { zones: NameSet::new(scope.zones()), services: NameSet::new(scope.services()) }
    }

    /// Looks at the names that are new.
    pub fn extend(&mut self, places: &Places) {
        self.zones.extend(&places.zones);
        self.services.extend(&places.services);
    }

    pub fn contains(&self, place: PlaceId) -> bool {
        let serves = place.service == UNNAMED || self.services.contains(place.service);
        serves && self.zones.contains(place.zone)
    }
}
