//! What a relay needs to know of a worker's entry. The entry itself goes on as the bytes that came.

use std::borrow::Cow;
use std::fmt;
use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

/// How far a worker is from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// Neither of the others.
    Present,
    /// It finishes the work it has and wants nothing new.
    Draining,
    /// It is no longer in the list.
    Gone,
}

/// Why an entry can't be held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// It is no object that names a worker.
    NoWorker(String),
    /// It is longer than 65,535 bytes.
    TooLong,
    /// There are too many places already.
    TooManyPlaces,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::NoWorker(cause) => write!(f, "an entry names no worker: {cause}"),
            EntryError::TooLong => write!(f, "an entry is longer than {} bytes", u16::MAX),
            EntryError::TooManyPlaces => write!(f, "an entry names one place too many"),
        }
    }
}

impl std::error::Error for EntryError {}

/// Where in an entry the worker's name stands, with its quotes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdSpan {
    start: u16,
    end: u16,
}

impl IdSpan {
    /// The worker's name in an entry with this span.
    pub fn text(self, entry: &[u8]) -> Cow<'_, str> {
        let quoted = entry.get(usize::from(self.start)..usize::from(self.end)).unwrap_or_default();
        string(quoted).unwrap_or_default()
    }
}

/// What was read of an entry.
pub(crate) struct Summary<'a> {
    pub id: IdSpan,
    /// `None` if it can't be read.
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

/// Of an entry whose other fields can't be read: whom it is about.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct About<'a> {
    #[serde(borrow)]
    instance_id: &'a RawValue,
}

fn fields(entry: &[u8]) -> Result<Fields<'_>, serde_json::Error> {
    serde_json::from_slice::<Fields>(entry).or_else(|_| {
        let About { instance_id } = serde_json::from_slice(entry)?;
        Ok(Fields { instance_id, zone: None, service: None, lifecycle: None })
    })
}

/// Reads what is needed of an entry. What can't be read beside the worker's name is passed over: subscribers are to see
/// the entry as it is.
pub(crate) fn summarize(entry: &[u8]) -> Result<Summary<'_>, EntryError> {
    let fields = fields(entry).map_err(|cause| EntryError::NoWorker(cause.to_string()))?;
    let id = range_of(entry, fields.instance_id);
    if string(&entry[id.clone()]).is_none_or(|name| name.is_empty()) {
        return Err(EntryError::NoWorker("its instanceId is no name".into()));
    }
    let (Ok(start), Ok(end)) = (u16::try_from(id.start), u16::try_from(id.end)) else {
        return Err(EntryError::TooLong);
    };
    let lifecycle = match text_in(entry, fields.lifecycle).as_deref() {
        Some("draining") => Lifecycle::Draining,
        Some("gone") => Lifecycle::Gone,
        _ => Lifecycle::Present,
    };
    let (zone, service) = (text_in(entry, fields.zone), text_in(entry, fields.service));
    Ok(Summary { id: IdSpan { start, end }, zone, service, lifecycle })
}

/// The entry with the lifecycle `gone`, all else as it is.
pub(crate) fn as_gone(entry: &[u8]) -> Vec<u8> {
    const GONE: &[u8] = b"\"gone\"";
    let Ok(fields) = fields(entry) else { return entry.to_vec() };
    match fields.lifecycle {
        Some(lifecycle) => {
            let range = range_of(entry, lifecycle);
            [&entry[..range.start], GONE, &entry[range.end..]].concat()
        }
        None => {
            let name = fields.instance_id.get().as_bytes();
            [b"{\"instanceId\":", name, b",\"zone\":\"\",\"lifecycle\":", GONE, b"}"].concat()
        }
    }
}

fn text_in<'a>(entry: &'a [u8], raw: Option<&RawValue>) -> Option<Cow<'a, str>> {
    string(&entry[range_of(entry, raw?)])
}

/// Where a value that was borrowed from an entry stands in it.
fn range_of(entry: &[u8], value: &RawValue) -> Range<usize> {
    let start = (value.get().as_ptr() as usize).saturating_sub(entry.as_ptr() as usize).min(entry.len());
    start..(start + value.get().len()).min(entry.len())
}

/// The text of a JSON string; copied only where it has escapes.
fn string(quoted: &[u8]) -> Option<Cow<'_, str>> {
    let within = quoted.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    if within.contains(&b'\\') {
        return serde_json::from_slice(quoted).ok().map(Cow::Owned);
    }
    std::str::from_utf8(within).ok().map(Cow::Borrowed)
}
