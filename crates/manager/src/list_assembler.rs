//! Puts lists together out of the bytes of a watch, keeping only what is in scope.

use std::fmt;

use juniperrail_distribution::{ListError, ListEvent, ListLimits, ListReader};
use serde_json::value::RawValue;

use crate::listing::{Instance, Listing};
use crate::scope_filter::{ScopeFilter, Sorted};

/// Bytes of entries that one list may keep.
pub const MOST_KEPT: usize = 16 << 20;

/// What an entry counts at least, in bytes: as much as keeping it takes beside its text.
const LEAST_COUNTED: usize = 64;

/// What a line of a watch is.
#[derive(Debug)]
pub enum Line {
    /// An empty line, which shows that the watch lives.
    Heartbeat,
    /// A list, or changes of it, as far as it is in scope.
    List(Listing),
}

/// Why a line is not taken. What was read of it does not count.
#[derive(Debug)]
pub enum LineError {
    /// It is no list.
    Unreadable(ListError),
    /// It holds more than is kept of one list.
    OverLimit(OverLimit),
}

/// A list that is larger than its limit.
#[derive(Debug)]
pub struct OverLimit {
    /// Entries read before the limit was reached.
    pub entries: usize,
    pub limit: Limit,
}

/// The limit that a list exceeded.
#[derive(Debug)]
pub enum Limit {
    /// On all that is kept.
    Kept,
    /// On one entry, or on what stands beside the entries.
    Part(ListError),
}

impl fmt::Display for OverLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries = self.entries;
        match &self.limit {
            Limit::Kept => write!(f, "its first {entries} entries exceed the limit of {MOST_KEPT} bytes"),
            Limit::Part(cause) => write!(f, "after {entries} entries: {cause}"),
        }
    }
}

/// Takes the bytes of one watch.
pub struct ListAssembler {
    reader: ListReader,
    instances: Vec<Instance>,
    kept_bytes: usize,
    /// Entries read of the line, in scope or not.
    entries: usize,
}

impl ListAssembler {
    /// At the beginning of a watch.
    pub fn new(limits: ListLimits) -> ListAssembler {
        let reader = ListReader::new(limits);
        ListAssembler { reader, instances: Vec::new(), kept_bytes: 0, entries: 0 }
    }

    /// Entries read of the line that is under way.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Takes bytes off the front of `bytes` up to the next end of a line; `None` once all are taken without one.
    /// Without a filter every entry is kept.
    pub fn next(
        &mut self,
        bytes: &mut &[u8],
        filter: &mut Option<ScopeFilter>,
    ) -> Result<Option<Line>, LineError> {
        loop {
            match self.reader.next(bytes) {
                Ok(None) => return Ok(None),
                Ok(Some(ListEvent::Heartbeat)) => return Ok(Some(Line::Heartbeat)),
                Ok(Some(ListEvent::Entry(entry))) => {
                    self.entries += 1;
                    if let Some((instance, bytes)) = kept(entry, filter)? {
                        self.instances.push(instance);
                        self.kept_bytes += bytes.max(LEAST_COUNTED);
                    }
                    self.check_limit()?;
                }
                Ok(Some(ListEvent::End(end))) => {
                    self.kept_bytes = 0;
                    self.entries = 0;
                    let instances = std::mem::take(&mut self.instances);
                    let listing = Listing { version: end.version, full: end.reset, instances };
                    return Ok(Some(Line::List(listing)));
                }
                Err(cause @ (ListError::EntryTooLong(_) | ListError::EnvelopeTooLong)) => {
                    let limit = Limit::Part(cause);
                    return Err(LineError::OverLimit(OverLimit { entries: self.entries, limit }));
                }
                Err(cause) => return Err(LineError::Unreadable(cause)),
            }
        }
    }

    fn check_limit(&self) -> Result<(), LineError> {
        if self.kept_bytes <= MOST_KEPT {
            return Ok(());
        }
        Err(LineError::OverLimit(OverLimit { entries: self.entries, limit: Limit::Kept }))
    }
}

/// What is kept of an entry, and how many bytes it had.
fn kept(entry: &[u8], filter: &mut Option<ScopeFilter>) -> Result<Option<(Instance, usize)>, LineError> {
    let sorted = filter.as_mut().map_or(Sorted::Kept, |filter| filter.sort(entry));
    let instance = match sorted {
        Sorted::Dropped => return Ok(None),
        Sorted::Left(departure) => Instance::Departure(departure),
        Sorted::Kept => Instance::Entry(raw(entry)?),
    };
    Ok(Some((instance, entry.len())))
}

fn raw(entry: &[u8]) -> Result<Box<RawValue>, LineError> {
    serde_json::from_slice(entry)
        .map_err(|cause| LineError::Unreadable(ListError::NotAList(format!("no JSON: {cause}"))))
}
