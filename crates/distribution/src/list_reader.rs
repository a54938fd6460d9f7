//! An incremental parser of worker lists, which buffers no more than one entry and the other fields of a line.
//!
//! A list is one JSON object on one line, as discovery sends it. The line of a full list of a large fleet is many
//! megabytes long, so it is never buffered: each element of its `instances` is returned as soon as it is complete. The
//! version may come after the entries, so a receiver stages them until [`ListEvent::End`].

use std::fmt;

use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The field with the entries.
const INSTANCES: &str = "instances";

/// Maximum length of the input that an error message quotes, in bytes.
const EXCERPT_BYTES: usize = 120;

/// Limits on what a [`ListReader`] buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    /// Maximum size of one entry, in bytes.
    pub entry_bytes: usize,
    /// Maximum size of one line without its entries, in bytes.
    pub envelope_bytes: usize,
}

impl Default for ListLimits {
    /// 64 KiB each.
    fn default() -> Self {
        ListLimits { entry_bytes: 64 << 10, envelope_bytes: 64 << 10 }
    }
}

/// What a [`ListReader`] has read.
#[derive(Debug, PartialEq, Eq)]
pub enum ListEvent<'a> {
    /// One element of the list that is being read: valid JSON in UTF-8, byte for byte as received. It counts only once
    /// the end of its line is reached.
    Entry(&'a [u8]),
    /// An empty line, which shows that the source is alive.
    Heartbeat,
    /// The end of a list. The list consists of all entries returned since the end of the previous list.
    End(ListEnd),
}

/// The fields of a list other than its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEnd {
    /// The `generation` of the source.
    pub version: u64,
    /// Whether this is the full list; otherwise its entries are changes.
    pub reset: bool,
    /// The number of its entries.
    pub entry_count: usize,
}

/// Why a line is not a list. The entries already returned from it must be discarded, and the bytes after the error must
/// not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListError {
    /// The entry with this beginning exceeds [`ListLimits::entry_bytes`].
    EntryTooLong(String),
    /// The line without its entries exceeds [`ListLimits::envelope_bytes`].
    EnvelopeTooLong,
    /// The line, or the connection, ended within the entry with this beginning.
    EntryTruncated(String),
    /// The entry with this beginning is not valid JSON.
    EntryNotJson { beginning: String, cause: String },
    /// The line is not an object with a `generation` and a list.
    NotAList(String),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::EntryTooLong(beginning) => write!(f, "an entry exceeds the size limit: {beginning}"),
            ListError::EnvelopeTooLong => {
                write!(f, "the fields of a line besides its entries exceed the size limit")
            }
            ListError::EntryTruncated(beginning) => write!(f, "truncated within the entry {beginning}"),
            ListError::EntryNotJson { beginning, cause } => {
                write!(f, "an entry is not valid JSON ({cause}): {beginning}")
            }
            ListError::NotAList(cause) => write!(f, "not a list: {cause}"),
        }
    }
}

impl std::error::Error for ListError {}

/// A line without its entries.
#[derive(Deserialize)]
struct Envelope {
    generation: u64,
    #[serde(default)]
    reset: bool,
    /// Empty in a valid line, because the reader removes the elements of the array beforehand.
    #[serde(default)]
    instances: Vec<IgnoredAny>,
}

/// What may come next between the brackets of the array of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    EntryOrEnd,
    Entry,
    CommaOrEnd,
}

/// The part of a line to which the next byte belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Envelope,
    BetweenEntries(Expected),
    WithinEntry,
}

/// The nesting of brackets and strings.
#[derive(Clone, Copy, Debug, Default)]
struct Nesting {
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Processes the next byte. Returns whether it closes a string, an array or an object.
    fn advance(&mut self, byte: u8) -> bool {
        if self.in_string {
            return self.advance_in_string(byte);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return true;
            }
            _ => {}
        }
        false
    }

    fn advance_in_string(&mut self, byte: u8) -> bool {
        if self.escaped {
            self.escaped = false;
        } else if byte == b'\\' {
            self.escaped = true;
        } else if byte == b'"' {
            self.in_string = false;
            return true;
        }
        false
    }

    fn is_open(&self) -> bool {
        self.depth > 0 || self.in_string
    }
}

/// Reads the lines of one connection. After an error it must not be used again.
#[derive(Debug)]
pub struct ListReader {
    limits: ListLimits,
    position: Position,
    nesting: Nesting,
    /// The line so far, without its entries.
    envelope: Vec<u8>,
    /// The start, within the envelope, of the last string directly in the outermost object.
    last_string_start: usize,
    /// Whether the last token was the colon after the key [`INSTANCES`] of the outermost object.
    instances_expected: bool,
    /// The current entry so far.
    entry: Vec<u8>,
    /// The entry was returned and has to be cleared before the next one.
    entry_returned: bool,
    /// The number of entries read from the current line so far.
    entry_count: usize,
}

impl ListReader {
    /// A reader at the beginning of a line.
    pub fn new(limits: ListLimits) -> ListReader {
        ListReader {
            limits,
            position: Position::Envelope,
            nesting: Nesting::default(),
            envelope: Vec::new(),
            last_string_start: 0,
            instances_expected: false,
            entry: Vec::new(),
            entry_returned: false,
            entry_count: 0,
        }
    }

    /// Consumes bytes from the front of `bytes` up to the next event. Returns `None` if all are consumed without one.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Result<Option<ListEvent<'_>>, ListError> {
        if std::mem::take(&mut self.entry_returned) {
            self.entry.clear();
        }
        while let Some((&byte, rest)) = bytes.split_first() {
            if self.position == Position::WithinEntry {
                if self.read_entry(bytes)? {
                    self.finish_entry()?;
                    self.entry_returned = true;
                    return Ok(Some(ListEvent::Entry(&self.entry)));
                }
                continue;
            }
            if byte == b'\n' {
                *bytes = rest;
                return self.end_line().map(Some);
            }
            match self.position {
                Position::BetweenEntries(expected) if begins_entry(byte, expected) => self.begin_entry(),
                Position::BetweenEntries(expected) => {
                    *bytes = rest;
                    self.read_separator(byte, expected)?;
                }
                _ => {
                    *bytes = rest;
                    self.read_envelope(byte)?;
                }
            }
        }
        Ok(None)
    }

    /// Checks that the connection ended between two lines.
    pub fn finish(self) -> Result<(), ListError> {
        match self.position {
            Position::WithinEntry => Err(ListError::EntryTruncated(excerpt(&self.entry))),
            Position::BetweenEntries(_) => Err(ListError::NotAList("truncated between two entries".into())),
            Position::Envelope if self.envelope.trim_ascii().is_empty() => Ok(()),
            Position::Envelope => {
                Err(ListError::NotAList(format!("truncated after {}", excerpt(&self.envelope))))
            }
        }
    }

    /// Processes a byte outside the array of entries.
    fn read_envelope(&mut self, byte: u8) -> Result<(), ListError> {
        if self.envelope.len() == self.limits.envelope_bytes {
            return Err(ListError::EnvelopeTooLong);
        }
        let was_in_string = self.nesting.in_string;
        self.envelope.push(byte);
        self.nesting.advance(byte);
        if was_in_string || byte.is_ascii_whitespace() {
            return Ok(());
        }
        let in_outermost_object = self.nesting.depth == 1;
        match byte {
            b'"' if in_outermost_object => self.last_string_start = self.envelope.len() - 1,
            b':' if in_outermost_object => {
                self.instances_expected = self.last_key_is(INSTANCES);
                return Ok(());
            }
            b'[' if self.instances_expected => self.position = Position::BetweenEntries(Expected::EntryOrEnd),
            _ => {}
        }
        self.instances_expected = false;
        Ok(())
    }

    fn last_key_is(&self, name: &str) -> bool {
        let key =
            self.envelope[self.last_string_start..].trim_ascii_end().strip_suffix(b":").unwrap_or_default();
        // A key may have escapes.
        serde_json::from_slice::<String>(key).is_ok_and(|key| key == name)
    }

    /// Processes a byte between two entries, or at either end of the array.
    fn read_separator(&mut self, byte: u8, expected: Expected) -> Result<(), ListError> {
        match (byte, expected) {
            (b' ' | b'\t' | b'\r', _) => {}
            (b',', Expected::CommaOrEnd) => self.position = Position::BetweenEntries(Expected::Entry),
            (b']', Expected::CommaOrEnd | Expected::EntryOrEnd) => {
                self.position = Position::Envelope;
                return self.read_envelope(byte);
            }
            _ => {
                let found = char::from(byte);
                return Err(ListError::NotAList(format!(
                    "unexpected {found:?} after entry {}",
                    self.entry_count
                )));
            }
        }
        Ok(())
    }

    fn begin_entry(&mut self) {
        self.position = Position::WithinEntry;
        // From here on the nesting is that of the entry alone. That of the envelope need not be saved: it is always the
        // array within the outermost object, and `finish_entry` restores it.
        self.nesting = Nesting::default();
    }

    /// Consumes the bytes that belong to the entry. Returns whether the entry is complete.
    fn read_entry(&mut self, bytes: &mut &[u8]) -> Result<bool, ListError> {
        // Numbers, booleans and null have no closing delimiter and end before the next separator.
        let is_undelimited = !matches!(self.entry.first().unwrap_or(&bytes[0]), b'{' | b'[' | b'"');
        let mut length = 0;
        let mut complete = false;
        for &byte in bytes.iter() {
            let ends_undelimited = is_undelimited && matches!(byte, b',' | b']' | b' ' | b'\t' | b'\r');
            if byte == b'\n' || ends_undelimited {
                complete = ends_undelimited;
                break;
            }
            length += 1;
            if self.nesting.advance(byte) && !self.nesting.is_open() && !is_undelimited {
                complete = true;
                break;
            }
        }
        let (entry_part, rest) = bytes.split_at(length);
        self.entry.extend_from_slice(&entry_part[..entry_part.len().min(self.limits.entry_bytes + 1)]);
        *bytes = rest;
        if self.entry.len() > self.limits.entry_bytes {
            return Err(ListError::EntryTooLong(excerpt(&self.entry)));
        }
        if !complete && !rest.is_empty() {
            return Err(ListError::EntryTruncated(excerpt(&self.entry)));
        }
        Ok(complete)
    }

    /// Validates a complete entry.
    fn finish_entry(&mut self) -> Result<(), ListError> {
        self.position = Position::BetweenEntries(Expected::CommaOrEnd);
        // The array of entries and the outermost object are open.
        self.nesting = Nesting { depth: 2, ..Nesting::default() };
        self.entry_count += 1;
        match serde_json::from_slice::<&RawValue>(&self.entry) {
            Ok(_) => Ok(()),
            Err(cause) => {
                Err(ListError::EntryNotJson { beginning: excerpt(&self.entry), cause: cause.to_string() })
            }
        }
    }

    /// Parses the envelope at the end of a line.
    fn end_line(&mut self) -> Result<ListEvent<'static>, ListError> {
        if self.position != Position::Envelope {
            return Err(ListError::NotAList(format!("the line ends after entry {}", self.entry_count)));
        }
        let line = std::mem::take(&mut self.envelope);
        let entry_count = std::mem::take(&mut self.entry_count);
        self.nesting = Nesting::default();
        self.instances_expected = false;
        self.last_string_start = 0;
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(ListEvent::Heartbeat);
        }
        if !line.starts_with(b"{") {
            return Err(ListError::NotAList("not an object".into()));
        }
        let not_a_list = |cause: serde_json::Error| ListError::NotAList(cause.to_string());
        let envelope: Envelope = serde_json::from_slice(line).map_err(not_a_list)?;
        if !envelope.instances.is_empty() {
            return Err(ListError::NotAList("entries outside the array of entries".into()));
        }
        Ok(ListEvent::End(ListEnd { version: envelope.generation, reset: envelope.reset, entry_count }))
    }
}

/// Whether a byte between two entries is the first of an entry.
fn begins_entry(byte: u8, expected: Expected) -> bool {
    expected != Expected::CommaOrEnd && !matches!(byte, b' ' | b'\t' | b'\r' | b',' | b']')
}

/// The beginning of the input, for an error message.
fn excerpt(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(EXCERPT_BYTES)]).into_owned()
}
