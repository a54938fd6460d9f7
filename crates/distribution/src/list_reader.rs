//! Reads worker lists out of bytes as they come, entry by entry, in memory bounded by one entry.
//!
//! A list is one JSON object a line, as discovery sends it. A whole list of a large fleet is a line of many megabytes,
//! so a line is never held: each element of its `instances` is handed on as soon as it is complete. The version may
//! stand behind the entries, so a receiver stages them until [`ListEvent::End`].

use std::fmt;

use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The field that holds the entries.
const INSTANCES: &str = "instances";

/// How much of an entry an error shows, in bytes.
const SHOWN: usize = 120;

/// What a [`ListReader`] holds at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    /// Bytes of one entry.
    pub entry_bytes: usize,
    /// Bytes of one line without its entries.
    pub envelope_bytes: usize,
}

impl Default for ListLimits {
    /// 64 KiB each.
    fn default() -> Self {
        ListLimits { entry_bytes: 64 << 10, envelope_bytes: 64 << 10 }
    }
}

/// What a line turned out to hold.
#[derive(Debug, PartialEq, Eq)]
pub enum ListEvent<'a> {
    /// One element of the list that is being read: sound JSON in UTF-8, exactly as it came. It counts only once the
    /// end of its line is reached.
    Entry(&'a [u8]),
    /// An empty line, which shows that the source is alive.
    Heartbeat,
    /// The end of a list: all entries since the last event of this kind belong to it.
    End(ListEnd),
}

/// What a line says beside its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEnd {
    /// The `generation` of the source.
    pub version: u64,
    /// Whether this is the whole list; otherwise its entries are changes.
    pub reset: bool,
    /// How many entries it had.
    pub entries: usize,
}

/// Why a line is no list. Nothing of it counts, and the rest of its bytes can't be relied on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListError {
    /// The entry that begins so exceeds [`ListLimits::entry_bytes`].
    EntryTooLong(String),
    /// What is not an entry exceeds [`ListLimits::envelope_bytes`].
    EnvelopeTooLong,
    /// The line, or the connection, ended within the entry that begins so.
    EntryCut(String),
    /// The entry that begins so is no JSON.
    EntryUnsound { beginning: String, cause: String },
    /// The line is no object with a `generation` and a list.
    NotAList(String),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::EntryTooLong(beginning) => write!(f, "an entry is too long: {beginning}"),
            ListError::EnvelopeTooLong => write!(f, "a line is too long beside its entries"),
            ListError::EntryCut(beginning) => write!(f, "cut within the entry {beginning}"),
            ListError::EntryUnsound { beginning, cause } => write!(f, "no JSON ({cause}): {beginning}"),
            ListError::NotAList(cause) => write!(f, "no list: {cause}"),
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
    /// Always empty: the elements are taken out before.
    #[serde(default)]
    instances: Vec<IgnoredAny>,
}

/// What may stand next between the brackets of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    EntryOrEnd,
    Entry,
    CommaOrEnd,
}

/// Where in a line the next byte stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Envelope,
    BetweenEntries(Expected),
    WithinEntry,
}

/// Which brackets and strings are open.
#[derive(Clone, Copy, Debug, Default)]
struct Nesting {
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Takes the next byte; true if it closes a string, an array or an object.
    fn closes(&mut self, byte: u8) -> bool {
        if self.in_string {
            return self.closes_string(byte);
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

    fn closes_string(&mut self, byte: u8) -> bool {
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

/// Reads the lines of one connection. After an error it is of no more use.
#[derive(Debug)]
pub struct ListReader {
    limits: ListLimits,
    position: Position,
    nesting: Nesting,
    /// What came of the line without its entries.
    envelope: Vec<u8>,
    /// Where in the envelope the last string of the outermost object began.
    string_at: usize,
    /// Whether the last key of the outermost object names the entries, and its value has yet to begin.
    entries_follow: bool,
    /// What came of the entry.
    entry: Vec<u8>,
    /// The entry was handed on.
    entry_given: bool,
    entries: usize,
}

impl ListReader {
    /// A reader at the beginning of a line.
    pub fn new(limits: ListLimits) -> ListReader {
        ListReader {
            limits,
            position: Position::Envelope,
            nesting: Nesting::default(),
            envelope: Vec::new(),
            string_at: 0,
            entries_follow: false,
            entry: Vec::new(),
            entry_given: false,
            entries: 0,
        }
    }

    /// Takes bytes off the front of `bytes` up to the next event; `None` once all are taken without one.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Result<Option<ListEvent<'_>>, ListError> {
        if std::mem::take(&mut self.entry_given) {
            self.entry.clear();
        }
        while let Some((&byte, rest)) = bytes.split_first() {
            if self.position == Position::WithinEntry {
                if self.entry_ends(bytes)? {
                    self.check_entry()?;
                    self.entry_given = true;
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
                    self.take_between(byte, expected)?;
                }
                _ => {
                    *bytes = rest;
                    self.take_envelope(byte)?;
                }
            }
        }
        Ok(None)
    }

    /// Checks that the connection ended between two lines.
    pub fn finish(self) -> Result<(), ListError> {
        match self.position {
            Position::WithinEntry => Err(ListError::EntryCut(beginning(&self.entry))),
            Position::BetweenEntries(_) => Err(ListError::NotAList("cut between two entries".into())),
            Position::Envelope if self.envelope.trim_ascii().is_empty() => Ok(()),
            Position::Envelope => {
                Err(ListError::NotAList(format!("cut after {}", beginning(&self.envelope))))
            }
        }
    }

    fn take_envelope(&mut self, byte: u8) -> Result<(), ListError> {
        if self.envelope.len() == self.limits.envelope_bytes {
            return Err(ListError::EnvelopeTooLong);
        }
        let was_in_string = self.nesting.in_string;
        self.envelope.push(byte);
        self.nesting.closes(byte);
        if was_in_string || byte.is_ascii_whitespace() {
            return Ok(());
        }
        let at_outermost = self.nesting.depth == 1;
        match byte {
            b'"' if at_outermost => self.string_at = self.envelope.len() - 1,
            b':' if at_outermost => {
                self.entries_follow = self.last_key_is(INSTANCES);
                return Ok(());
            }
            b'[' if self.entries_follow => self.position = Position::BetweenEntries(Expected::EntryOrEnd),
            _ => {}
        }
        self.entries_follow = false;
        Ok(())
    }

    fn last_key_is(&self, name: &str) -> bool {
        let key = self.envelope[self.string_at..].trim_ascii_end().strip_suffix(b":").unwrap_or_default();
        // A key may be written with escapes.
        serde_json::from_slice::<String>(key).is_ok_and(|key| key == name)
    }

    fn take_between(&mut self, byte: u8, expected: Expected) -> Result<(), ListError> {
        match (byte, expected) {
            (b' ' | b'\t' | b'\r', _) => {}
            (b',', Expected::CommaOrEnd) => self.position = Position::BetweenEntries(Expected::Entry),
            (b']', Expected::CommaOrEnd | Expected::EntryOrEnd) => {
                self.position = Position::Envelope;
                return self.take_envelope(byte);
            }
            _ => {
                let found = char::from(byte);
                return Err(ListError::NotAList(format!("{found:?} after entry {}", self.entries)));
            }
        }
        Ok(())
    }

    fn begin_entry(&mut self) {
        self.position = Position::WithinEntry;
        // The envelope's own nesting is known here: within the list of the outermost object.
        self.nesting = Nesting::default();
    }

    /// Takes what belongs to the entry; true once it is complete.
    fn entry_ends(&mut self, bytes: &mut &[u8]) -> Result<bool, ListError> {
        let is_scalar = !matches!(self.entry.first().unwrap_or(&bytes[0]), b'{' | b'[' | b'"');
        let mut taken = 0;
        let mut complete = false;
        for &byte in bytes.iter() {
            let ends_scalar = is_scalar && matches!(byte, b',' | b']' | b' ' | b'\t' | b'\r');
            if byte == b'\n' || ends_scalar {
                complete = ends_scalar;
                break;
            }
            taken += 1;
            if self.nesting.closes(byte) && !self.nesting.is_open() && !is_scalar {
                complete = true;
                break;
            }
        }
        let (own, rest) = bytes.split_at(taken);
        self.entry.extend_from_slice(&own[..own.len().min(self.limits.entry_bytes + 1)]);
        *bytes = rest;
        if self.entry.len() > self.limits.entry_bytes {
            return Err(ListError::EntryTooLong(beginning(&self.entry)));
        }
        if !complete && !rest.is_empty() {
            return Err(ListError::EntryCut(beginning(&self.entry)));
        }
        Ok(complete)
    }

    /// Checks an entry once its last byte is there.
    fn check_entry(&mut self) -> Result<(), ListError> {
        self.position = Position::BetweenEntries(Expected::CommaOrEnd);
        // The list and the outermost object are open.
        self.nesting = Nesting { depth: 2, ..Nesting::default() };
        self.entries += 1;
        match serde_json::from_slice::<&RawValue>(&self.entry) {
            Ok(_) => Ok(()),
            Err(cause) => {
                Err(ListError::EntryUnsound { beginning: beginning(&self.entry), cause: cause.to_string() })
            }
        }
    }

    fn end_line(&mut self) -> Result<ListEvent<'static>, ListError> {
        if self.position != Position::Envelope {
            return Err(ListError::NotAList(format!("the line ends after entry {}", self.entries)));
        }
        let line = std::mem::take(&mut self.envelope);
        let entries = std::mem::take(&mut self.entries);
        self.nesting = Nesting::default();
        self.entries_follow = false;
        self.string_at = 0;
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
            return Err(ListError::NotAList("its entries stand where none are looked for".into()));
        }
        Ok(ListEvent::End(ListEnd { version: envelope.generation, reset: envelope.reset, entries }))
    }
}

fn begins_entry(byte: u8, expected: Expected) -> bool {
    expected != Expected::CommaOrEnd && !matches!(byte, b' ' | b'\t' | b'\r' | b',' | b']')
}

fn beginning(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN)]).into_owned()
}
