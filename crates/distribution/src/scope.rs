//! Scopes: the part of the worker list that a subscriber needs.

use std::collections::BTreeSet;
use std::fmt;

use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

/// Maximum number of names in one query parameter.
const MAX_NAMES_PER_PARAMETER: usize = 65_536;

/// The characters that are percent-encoded in a query: all but the unreserved ones of RFC 3986.
const PERCENT_ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

const ZONES: &str = "zones";
const SERVICES: &str = "services";

/// The zone and the service of a worker, which determine the scopes that contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location<'a> {
    pub zone: &'a str,
    /// The service that the worker belongs to. A worker without one may serve any service, as from a
    /// source that has no services.
    pub service: Option<&'a str>,
}

/// The zones and services whose workers a subscriber needs.
///
/// A dimension without names is not restricted, so the default scope contains every worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    zones: BTreeSet<String>,
    services: BTreeSet<String>,
}

/// Why the scope in a query is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScopeError {
    /// A name in this parameter is not UTF-8 after percent-decoding.
    NotUtf8(&'static str),
    /// This parameter has more names than a scope may have.
    TooManyNames(&'static str),
    /// This parameter is present without a name.
    Empty(&'static str),
}

impl fmt::Display for ScopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScopeError::NotUtf8(parameter) => write!(f, "a name in {parameter} is not UTF-8"),
            ScopeError::TooManyNames(parameter) => {
                write!(f, "{parameter} holds more than {MAX_NAMES_PER_PARAMETER} names")
            }
            ScopeError::Empty(parameter) => write!(f, "{parameter} names nothing"),
        }
    }
}

impl std::error::Error for ScopeError {}

impl Scope {
    /// A scope of these zones and services. A dimension without names is not restricted.
    pub fn new(zones: impl IntoIterator<Item = String>, services: impl IntoIterator<Item = String>) -> Scope {
        Scope { zones: zones.into_iter().collect(), services: services.into_iter().collect() }
    }

    /// The zones of the scope; if there are none, every zone is in it.
    pub(crate) fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// The services of the scope; if there are none, every service is in it.
    pub(crate) fn services(&self) -> &BTreeSet<String> {
        &self.services
    }

    /// Whether the scope contains every possible worker.
    pub fn is_unrestricted(&self) -> bool {
        self.zones.is_empty() && self.services.is_empty()
    }

    /// Whether the scope contains a worker at this location.
    pub fn contains(&self, location: Location<'_>) -> bool {
        let in_zone = self.zones.is_empty() || self.zones.contains(location.zone);
        let in_services = |service| self.services.contains(service);
        in_zone && (self.services.is_empty() || location.service.is_none_or(in_services))
    }

    /// The query parameters that request this scope, each with a leading `&`. Empty for an unrestricted scope.
    pub fn to_query(&self) -> String {
        let mut query = String::new();
        for (parameter, names) in [(ZONES, &self.zones), (SERVICES, &self.services)] {
            if names.is_empty() {
                continue;
            }
            let encoded: Vec<String> =
                names.iter().map(|name| utf8_percent_encode(name, PERCENT_ENCODED).to_string()).collect();
            query.push_str(&format!("&{parameter}={}", encoded.join(",")));
        }
        query
    }

    /// Parses the scope in a query string, in the form of [`Scope::to_query`]. Other parameters are ignored.
    pub fn from_query(query: &str) -> Result<Scope, ScopeError> {
        let mut scope = Scope::default();
        for parameter in query.split('&') {
            match parameter.split_once('=') {
                Some((ZONES, names)) => scope.zones = decode_names(ZONES, names)?,
                Some((SERVICES, names)) => scope.services = decode_names(SERVICES, names)?,
                _ => {}
            }
        }
        Ok(scope)
    }
}

fn decode_names(parameter: &'static str, names: &str) -> Result<BTreeSet<String>, ScopeError> {
    if names.is_empty() {
        return Err(ScopeError::Empty(parameter));
    }
    if names.split(',').nth(MAX_NAMES_PER_PARAMETER).is_some() {
        return Err(ScopeError::TooManyNames(parameter));
    }
    let decode = |name| percent_decode_str(name).decode_utf8().map(|name| name.into_owned());
    let decoded: Result<_, _> = names.split(',').map(decode).collect();
    decoded.map_err(|_| ScopeError::NotUtf8(parameter))
}
