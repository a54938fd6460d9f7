//! The locations of workers, with each zone or service name stored once, and the filter for those in a scope.

use std::collections::BTreeSet;
use std::hash::BuildHasher;

use hashbrown::{DefaultHashBuilder, HashTable};

use crate::scope::{Location, Scope};

/// Maximum number of distinct zone names in one list, and of service names, each including the empty name.
const MAX_NAMES: usize = u16::MAX as usize;

/// The id of the empty name, which means an unknown zone or no service.
const UNNAMED: u16 = 0;

/// The ids of the zone and the service of a location.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocationId {
    zone: u16,
    service: u16,
}

impl LocationId {
    /// The location of a worker whose entry has no readable zone: no zone, any service.
    pub const UNKNOWN: LocationId = LocationId { zone: UNNAMED, service: UNNAMED };
}

/// Gives each distinct name an id, in the order in which the names are first seen. Id 0 is the empty name.
#[derive(Debug)]
struct NameTable {
    names: Vec<Box<str>>,
    id_by_name: HashTable<u16>,
    hasher: DefaultHashBuilder,
}

impl Default for NameTable {
    fn default() -> NameTable {
        NameTable {
            names: vec!["".into()],
            id_by_name: HashTable::new(),
            hasher: DefaultHashBuilder::default(),
        }
    }
}

impl NameTable {
    /// The id of a name; `None` if the name is new and the table is full.
    fn intern(&mut self, name: &str) -> Option<u16> {
        if name.is_empty() {
            return Some(UNNAMED);
        }
        let hash = self.hasher.hash_one(name);
        let has_name = |id: &u16| &*self.names[usize::from(*id)] == name;
        if let Some(id) = self.id_by_name.find(hash, has_name) {
            return Some(*id);
        }
        if self.names.len() >= MAX_NAMES {
            return None;
        }
        let id = u16::try_from(self.names.len()).ok()?;
        self.names.push(name.into());
        let (names, hasher) = (&self.names, &self.hasher);
        self.id_by_name.insert_unique(hash, id, |id| hasher.hash_one(&*names[usize::from(*id)]));
        Some(id)
    }
}

/// All zones and services that any entry has named so far.
#[derive(Debug, Default)]
pub(crate) struct LocationTable {
    zones: NameTable,
    services: NameTable,
}

impl LocationTable {
    /// The id of a location; `None` if its zone or service is new and there are too many.
    pub fn intern(&mut self, location: Location<'_>) -> Option<LocationId> {
        let zone = self.zones.intern(location.zone)?;
        // An empty service name counts as no service: the worker may serve any.
        let service = self.services.intern(location.service.unwrap_or_default())?;
        Some(LocationId { zone, service })
    }
}

/// The known names that one dimension of a scope contains.
///
/// Zones and services are evaluated separately, so a new watch costs one step for each name rather than one for each
/// pair of zone and service. In a large fleet there are almost as many pairs as workers.
#[derive(Debug)]
struct NameFilter {
    /// `None` if the scope does not restrict this dimension.
    wanted: Option<BTreeSet<String>>,
    /// One bit for each evaluated name, by its id.
    contained: Vec<u64>,
    evaluated_names: usize,
}

impl NameFilter {
    fn new(wanted: &BTreeSet<String>) -> NameFilter {
        let wanted = (!wanted.is_empty()).then(|| wanted.clone());
        NameFilter { wanted, contained: Vec::new(), evaluated_names: 0 }
    }

    /// Evaluates the names that are new since the last call.
    fn extend(&mut self, table: &NameTable) {
        let Some(wanted) = &self.wanted else { return };
        self.contained.resize(table.names.len().div_ceil(64), 0);
        for (id, name) in table.names.iter().enumerate().skip(self.evaluated_names) {
            let bit = u64::from(wanted.contains(&**name));
            self.contained[id / 64] |= bit << (id % 64);
        }
        self.evaluated_names = table.names.len();
    }

    fn contains(&self, id: u16) -> bool {
        let id = usize::from(id);
        self.wanted.is_none() || self.contained.get(id / 64).is_some_and(|bits| bits >> (id % 64) & 1 == 1)
    }
}

/// A scope, evaluated for the known locations.
#[derive(Debug)]
pub(crate) struct LocationFilter {
    zones: NameFilter,
    services: NameFilter,
}

impl LocationFilter {
    pub fn new(scope: &Scope) -> LocationFilter {
        LocationFilter { zones: NameFilter::new(scope.zones()), services: NameFilter::new(scope.services()) }
    }

    /// Evaluates the names that are new since the last call.
    pub fn extend(&mut self, table: &LocationTable) {
        self.zones.extend(&table.zones);
        self.services.extend(&table.services);
    }

    pub fn contains(&self, location: LocationId) -> bool {
        let in_service = location.service == UNNAMED || self.services.contains(location.service);
        in_service && self.zones.contains(location.zone)
    }
}
