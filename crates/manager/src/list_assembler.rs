//! Assembles lists from the bytes of a watch and keeps only the entries in scope.

use std::fmt;

use juniperrail_distribution::{ListError, ListEvent, ListLimits, ListReader};
use serde_json::value::RawValue;

use crate::listing::{Instance, Listing};
use crate::scope_filter::{Classification, ScopeFilter};

/// Limit on the bytes of the kept entries of one list.
pub const MAX_LIST_BYTES: usize = 16 << 20;

/// An entry counts as at least this many bytes, which is the memory that keeping it takes besides its text.
const MIN_ENTRY_BYTES: usize = 64;

/// One line of a watch.
#[derive(Debug)]
pub enum Line {
    /// An empty line, which shows that the watch is alive.
    Heartbeat,
    /// The part of a list, or of changes of it, that is in scope.
    List(Listing),
}

/// Why a line is rejected. None of its entries is used, even if some were read.
#[derive(Debug)]
pub enum LineError {
    /// It is not a list.
    Unreadable(ListError),
    /// It exceeds a limit on lists.
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
    /// On the bytes of all kept entries together.
    Kept,
    /// On the bytes of one entry, or of the fields besides the entries.
    Part(ListError),
}

impl fmt::Display for OverLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries = self.entries;
        match &self.limit {
            Limit::Kept => {
                write!(f, "its first {entries} entries exceed the limit of {MAX_LIST_BYTES} bytes")
            }
            Limit::Part(cause) => write!(f, "after {entries} entries: {cause}"),
        }
    }
}

/// Assembles the lists of one watch.
pub struct ListAssembler {
    reader: ListReader,
    instances: Vec<Instance>,
    kept_bytes: usize,
    /// Entries of the current line that have been read, in scope or not.
    entries: usize,
}

impl ListAssembler {
    /// An assembler for a new watch.
    pub fn new(limits: ListLimits) -> ListAssembler {
        let reader = ListReader::new(limits);
        ListAssembler { reader, instances: Vec::new(), kept_bytes: 0, entries: 0 }
    }

    /// Entries of the current line that have been read, in scope or not.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Consumes bytes from the front of `bytes` up to the next end of a line; `None` if all are consumed without one.
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
                    if let Some((instance, bytes)) = keep(entry, filter)? {
                        self.instances.push(instance);
                        self.kept_bytes += bytes.max(MIN_ENTRY_BYTES);
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
        if self.kept_bytes <= MAX_LIST_BYTES {
            return Ok(());
        }
        Err(LineError::OverLimit(OverLimit { entries: self.entries, limit: Limit::Kept }))
    }
}

/// What is kept of an entry, and the size of the entry in bytes; `None` if the entry is dropped.
fn keep(entry: &[u8], filter: &mut Option<ScopeFilter>) -> Result<Option<(Instance, usize)>, LineError> {
    let classification = filter.as_mut().map_or(Classification::Kept, |filter| filter.classify(entry));
    let instance = match classification {
        Classification::Dropped => return Ok(None),
        Classification::Left(departure) => Instance::Departure(departure),
        Classification::Kept => Instance::Entry(to_raw(entry)?),
    };
    Ok(Some((instance, entry.len())))
}

fn to_raw(entry: &[u8]) -> Result<Box<RawValue>, LineError> {
    serde_json::from_slice(entry)
        .map_err(|cause| LineError::Unreadable(ListError::NotAList(format!("not JSON: {cause}"))))
}
