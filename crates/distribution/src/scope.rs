//! The part of the worker list that a subscriber needs.

use std::collections::BTreeSet;
use std::fmt;

use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

/// Names one query parameter may hold; a longer one is refused.
const MOST_NAMES: usize = 65_536;

/// What a query may hold as it is; all else is percent-encoded.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

const ZONES: &str = "zones";
const SERVICES: &str = "services";

/// Where a worker stands, as far as scopes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location<'a> {
    pub zone: &'a str,
    /// The service it belongs to. A source that knows no services names none; such a worker may serve any of them.
    pub service: Option<&'a str>,
}

/// The zones and services whose workers a subscriber needs.
///
/// A dimension that names nothing is not restricted, so the default scope holds every worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    zones: BTreeSet<String>,
    services: BTreeSet<String>,
}

/// Why the scope in a query can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScopeError {
    /// A name in this parameter is not UTF-8 once it is decoded.
    NotText(&'static str),
    /// This parameter holds more names than a scope may have.
    TooMany(&'static str),
    /// This parameter is there and names nothing.
    Empty(&'static str),
}

impl fmt::Display for ScopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScopeError::NotText(parameter) => write!(f, "a name in {parameter} is not UTF-8"),
            ScopeError::TooMany(parameter) => write!(f, "{parameter} holds more than {MOST_NAMES} names"),
            ScopeError::Empty(parameter) => write!(f, "{parameter} names nothing"),
        }
    }
}

impl std::error::Error for ScopeError {}

impl Scope {
    /// A scope of these zones and services.
    pub fn new(zones: impl IntoIterator<Item = String>, services: impl IntoIterator<Item = String>) -> Scope {
        Scope { zones: zones.into_iter().collect(), services: services.into_iter().collect() }
    }

    /// The zones it names; none restricts nothing.
    pub(crate) fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// The services it names; none restricts nothing.
    pub(crate) fn services(&self) -> &BTreeSet<String> {
        &self.services
    }

    /// Whether it holds every worker there can be.
    pub fn is_unrestricted(&self) -> bool {
        self.zones.is_empty() && self.services.is_empty()
    }

    /// Whether a worker at this place belongs to it.
    pub fn contains(&self, place: Location<'_>) -> bool {
        let in_zone = self.zones.is_empty() || self.zones.contains(place.zone);
        let serves = |service| self.services.contains(service);
        in_zone && (self.services.is_empty() || place.service.is_none_or(serves))
    }

    /// The query parameters that ask for this scope, each with a leading `&`; empty for every worker.
    pub fn to_query(&self) -> String {
        let mut query = String::new();
        for (parameter, names) in [(ZONES, &self.zones), (SERVICES, &self.services)] {
            if names.is_empty() {
                continue;
            }
            let encoded: Vec<String> =
                names.iter().map(|name| utf8_percent_encode(name, ENCODED).to_string()).collect();
            query.push_str(&format!("&{parameter}={}", encoded.join(",")));
        }
        query
    }

    /// Reads what [`Scope::to_query`] wrote out of a whole query string; other parameters are passed over.
    pub fn from_query(query: &str) -> Result<Scope, ScopeError> {
        let mut scope = Scope::default();
        for parameter in query.split('&') {
            match parameter.split_once('=') {
                Some((ZONES, names)) => scope.zones = decoded(ZONES, names)?,
                Some((SERVICES, names)) => scope.services = decoded(SERVICES, names)?,
                _ => {}
            }
        }
        Ok(scope)
    }
}

fn decoded(parameter: &'static str, names: &str) -> Result<BTreeSet<String>, ScopeError> {
    if names.is_empty() {
        return Err(ScopeError::Empty(parameter));
    }
    if names.split(',').nth(MOST_NAMES).is_some() {
        return Err(ScopeError::TooMany(parameter));
    }
    let text = |name| percent_decode_str(name).decode_utf8().map(|name| name.into_owned());
    let read: Result<_, _> = names.split(',').map(text).collect();
    read.map_err(|_| ScopeError::NotText(parameter))
}
