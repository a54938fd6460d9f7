//! The fields of a worker's entry that the list depends on. The entry itself is passed on byte for byte.

use std::borrow::Cow;
use std::fmt;
use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

/// The lifecycle of a worker, as far as the list distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// Neither draining nor gone.
    Active,
    /// It finishes the work it has and takes no new work.
    Draining,
    /// It is no longer in the list.
    Gone,
}

/// Why an entry is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// It is not an object with a valid worker id, for this reason.
    NoWorkerId(String),
    /// It is longer than 65,535 bytes.
    TooLong,
    /// Its zone or service is new, and the list already has the maximum number of them.
    TooManyNames,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::NoWorkerId(cause) => write!(f, "no valid worker id: {cause}"),
            EntryError::TooLong => write!(f, "longer than {} bytes", u16::MAX),
            EntryError::TooManyNames => write!(f, "too many distinct zones or services"),
        }
    }
}

impl std::error::Error for EntryError {}

/// The range of the worker's id within an entry, quotes included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdSpan {
    start: u16,
    end: u16,
}

impl IdSpan {
    /// The worker's id in an entry with this span.
    pub fn id_in(self, entry: &[u8]) -> Cow<'_, str> {
        let quoted = entry.get(usize::from(self.start)..usize::from(self.end)).unwrap_or_default();
        parse_string(quoted).unwrap_or_default()
    }
}

/// The parsed fields of an entry.
pub(crate) struct ParsedEntry<'a> {
    pub id: IdSpan,
    /// `None` if it is absent or cannot be parsed. The same holds for the service.
    pub zone: Option<Cow<'a, str>>,
    pub service: Option<Cow<'a, str>>,
    pub lifecycle: Lifecycle,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Fields<'a> {
    #[serde(borrow)]
    instance_id: &'a RawValue,
    #[serde(borrow, default)]
    zone: Option<&'a RawValue>,
    #[serde(borrow, default)]
    service: Option<&'a RawValue>,
    #[serde(borrow, default)]
    lifecycle: Option<&'a RawValue>,
}

/// The worker's id in an entry whose other fields cannot be parsed.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Identity<'a> {
    #[serde(borrow)]
    instance_id: &'a RawValue,
}

fn parse_fields(entry: &[u8]) -> Result<Fields<'_>, serde_json::Error> {
    serde_json::from_slice::<Fields>(entry).or_else(|_| {
        let Identity { instance_id } = serde_json::from_slice(entry)?;
        Ok(Fields { instance_id, zone: None, service: None, lifecycle: None })
    })
}

/// Parses the fields that the list depends on. Only an invalid worker id is an error; other invalid fields are ignored,
/// because subscribers receive the entry unchanged.
pub(crate) fn parse_entry(entry: &[u8]) -> Result<ParsedEntry<'_>, EntryError> {
    let fields = parse_fields(entry).map_err(|cause| EntryError::NoWorkerId(cause.to_string()))?;
    let id_range = range_of(entry, fields.instance_id);
    if parse_string(&entry[id_range.clone()]).is_none_or(|id| id.is_empty()) {
        return Err(EntryError::NoWorkerId("instanceId is not a non-empty string".into()));
    }
    let (Ok(start), Ok(end)) = (u16::try_from(id_range.start), u16::try_from(id_range.end)) else {
        return Err(EntryError::TooLong);
    };
    let lifecycle = match string_field(entry, fields.lifecycle).as_deref() {
        Some("draining") => Lifecycle::Draining,
        Some("gone") => Lifecycle::Gone,
        _ => Lifecycle::Active,
    };
    let (zone, service) = (string_field(entry, fields.zone), string_field(entry, fields.service));
    Ok(ParsedEntry { id: IdSpan { start, end }, zone, service, lifecycle })
}

/// The entry with the lifecycle `gone` and otherwise unchanged. If it has no lifecycle that can be replaced, the result
/// has only the worker's id, an empty zone and the lifecycle.
pub(crate) fn with_lifecycle_gone(entry: &[u8]) -> Vec<u8> {
    const GONE: &[u8] = b"\"gone\"";
    let Ok(fields) = parse_fields(entry) else { return entry.to_vec() };
    match fields.lifecycle {
        Some(lifecycle) => {
            let range = range_of(entry, lifecycle);
            [&entry[..range.start], GONE, &entry[range.end..]].concat()
        }
        None => {
            let id = fields.instance_id.get().as_bytes();
            [b"{\"instanceId\":", id, b",\"zone\":\"\",\"lifecycle\":", GONE, b"}"].concat()
        }
    }
}

fn string_field<'a>(entry: &'a [u8], raw: Option<&RawValue>) -> Option<Cow<'a, str>> {
    parse_string(&entry[range_of(entry, raw?)])
}

/// The range within an entry of a value that was borrowed from it.
fn range_of(entry: &[u8], value: &RawValue) -> Range<usize> {
    let start = (value.get().as_ptr() as usize).saturating_sub(entry.as_ptr() as usize).min(entry.len());
    start..(start + value.get().len()).min(entry.len())
}

/// The text of a JSON string in its quotes. It is copied only if it has escapes.
fn parse_string(quoted: &[u8]) -> Option<Cow<'_, str>> {
    let content = quoted.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    if content.contains(&b'\\') {
        return serde_json::from_slice(quoted).ok().map(Cow::Owned);
    }
    std::str::from_utf8(content).ok().map(Cow::Borrowed)
}
