//! Recovery: reads the longest valid prefix of records. The bytes after it are either a torn tail, which was not
//! completely written and is ignored, or damage. An invalid frame is a torn tail only if nothing shows that its record
//! was durable. It is damage if a valid frame after it states that the record's sequence number was durable, or if the
//! next segment starts with a later record.

use std::fmt;
use std::io;

use crate::disk::Disk;
use crate::format::*;

/// Damage in the store's files. The store does not open until an operator has repaired or removed them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    /// The position in the file, in bytes.
    pub offset: u64,
    pub description: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}: {}", self.file, self.offset, self.description)
    }
}

/// The recovered records, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The records of the newest snapshot.
    pub snapshot: Vec<Vec<u8>>,
    /// The records that were appended after the snapshot, each with its sequence number.
    pub records: Vec<(Seq, Vec<u8>)>,
    /// The length of the torn tail, which is ignored.
    pub torn_bytes: u64,
    /// Unreferenced files that were removed.
    pub removed_file_count: usize,
}

/// Why recovery failed.
#[derive(Debug)]
pub enum RecoveryError {
    Io(io::Error),
    Damage(Damage),
    NewerFormat { file: String, version: u16 },
}

impl From<io::Error> for RecoveryError {
    fn from(error: io::Error) -> Self {
        RecoveryError::Io(error)
    }
}

/// The position at which appending continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendPosition {
    pub manifest: Manifest,
    /// The sequence number of the next record.
    pub next: Seq,
}

fn damage<T>(file: &str, offset: usize, description: impl Into<String>) -> Result<T, RecoveryError> {
    Err(RecoveryError::Damage(Damage {
        file: file.into(),
        offset: offset as u64,
        description: description.into(),
    }))
}

fn format_error<T>(file: &str, error: FormatError) -> Result<T, RecoveryError> {
    match error {
        FormatError::NewerVersion(version) => Err(RecoveryError::NewerFormat { file: file.into(), version }),
        FormatError::Truncated => damage(file, 0, "the header is truncated"),
        FormatError::WrongMagic => damage(file, 0, "wrong magic number"),
        FormatError::ChecksumMismatch => damage(file, 0, "header checksum mismatch"),
    }
}

/// Reads all records without changing anything on the disk. Returns `None` if the directory holds no store.
pub fn read(disk: &dyn Disk) -> Result<Option<(AppendPosition, Recovered)>, RecoveryError> {
    let names = disk.list()?;
    let segments: Vec<u64> = names.iter().filter_map(|name| FileKind::Segment.parse_number(name)).collect();
    if !names.iter().any(|name| name == MANIFEST) {
        // Before the first manifest is written, there is at most one segment, and it has no records.
        for number in &segments {
            let name = FileKind::Segment.file_name(*number);
            if disk.read(&name)?.len() > HEADER_BYTES {
                return damage(MANIFEST, 0, format!("the manifest is missing, but {name} holds records"));
            }
        }
        return Ok(None);
    }
    let manifest = match Manifest::decode(&disk.read(MANIFEST)?) {
        Ok(manifest) => manifest,
        Err(error) => return format_error(MANIFEST, error),
    };
    let mut recovered = Recovered::default();
    let mut next = Seq(1);
    if manifest.snapshot > 0 {
        let (first_after_snapshot, records) = read_snapshot(disk, manifest.snapshot)?;
        (recovered.snapshot, next) = (records, first_after_snapshot);
    }
    for number in manifest.first_segment..=manifest.newest_segment {
        let name = FileKind::Segment.file_name(number);
        if !names.contains(&name) {
            return damage(&name, 0, "the file is missing, but the manifest names it");
        }
        let bytes = disk.read(&name)?;
        let first = match decode_header(FileKind::Segment, &bytes) {
            Ok((stored_number, first)) if stored_number == number => first,
            Ok((stored_number, _)) => {
                return damage(&name, 0, format!("this is segment {stored_number} under another name"))
            }
            Err(error) => return format_error(&name, error),
        };
        if number == manifest.first_segment && first != next {
            return damage(
                &name,
                0,
                format!("the segment starts with record {} instead of {}", first.0, next.0),
            );
        }
        // This segment ends where the next one starts: any later records in it were never reported as durable.
        let end = match number == manifest.newest_segment {
            true => None,
            false => Some(first_sequence_number(disk, number + 1)?),
        };
        next = read_segment(&name, number, &bytes, first, end, &mut recovered)?;
    }
    // A segment that was created but never named in the manifest holds no durable records, unless its file was renamed.
    for number in segments.iter().filter(|number| **number > manifest.newest_segment) {
        let name = FileKind::Segment.file_name(*number);
        let bytes = disk.read(&name)?;
        if decode_header(FileKind::Segment, &bytes).is_ok_and(|(stored_number, _)| stored_number != *number) {
            return damage(&name, 0, "this is another segment, duplicated or renamed");
        }
        if let Some(frame) = bytes.get(HEADER_BYTES..).and_then(|bytes| decode_frame(*number, bytes)) {
            return damage(
                &name,
                HEADER_BYTES,
                format!("the file holds record {}, but the manifest does not name it", frame.seq.0),
            );
        }
    }
    Ok(Some((AppendPosition { manifest, next }, recovered)))
}

/// The first sequence number of a segment that the manifest names.
fn first_sequence_number(disk: &dyn Disk, number: u64) -> Result<Seq, RecoveryError> {
    let name = FileKind::Segment.file_name(number);
    match disk.read(&name) {
        Ok(bytes) => match decode_header(FileKind::Segment, &bytes) {
            Ok((_, first)) => Ok(first),
            Err(error) => format_error(&name, error),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            damage(&name, 0, "the file is missing, but the manifest names it")
        }
        Err(error) => Err(error.into()),
    }
}

/// Reads the records of a segment and returns the sequence number of the record that follows them. `end` is the first
/// sequence number of the next segment, `None` for the newest segment.
fn read_segment(
    name: &str,
    number: u64,
    bytes: &[u8],
    first: Seq,
    end: Option<Seq>,
    recovered: &mut Recovered,
) -> Result<Seq, RecoveryError> {
    let (mut offset, mut next) = (HEADER_BYTES, first);
    loop {
        if end == Some(next) {
            return Ok(next);
        }
        match decode_frame(number, &bytes[offset..]) {
            Some(Frame { seq, payload: Some(payload), length, .. }) if seq == next => {
                recovered.records.push((seq, payload.to_vec()));
                (offset, next) = (offset + length, Seq(next.0 + 1));
            }
            // A durability marker: it holds the last durable sequence number and is not a record.
            Some(Frame { seq: Seq(0), payload: Some([]), length, .. }) => offset += length,
            Some(frame) => {
                return damage(
                    name,
                    offset,
                    format!("record {} is stored in place of {}", frame.seq.0, next.0),
                );
            }
            None => break,
        }
    }
    if let Some(end) = end {
        return damage(
            name,
            offset,
            format!("record {} is missing, but the next segment starts with {}", next.0, end.0),
        );
    }
    // Searches for a later frame that shows that the record at `offset`, which cannot be read, was durable.
    for later_offset in offset + 1..bytes.len().saturating_sub(FRAME_HEADER_BYTES - 1) {
        if decode_frame(number, &bytes[later_offset..]).is_some_and(|frame| frame.durable >= next) {
            return damage(name, offset, format!("record {} was durable and cannot be read", next.0));
        }
    }
    recovered.torn_bytes = (bytes.len() - offset) as u64;
    Ok(next)
}

/// The records of a snapshot and the sequence number of the first record after it. An incomplete snapshot is damage,
/// since it is synced before the manifest names it.
fn read_snapshot(disk: &dyn Disk, number: u64) -> Result<(Seq, Vec<Vec<u8>>), RecoveryError> {
    let name = FileKind::Snapshot.file_name(number);
    let bytes = match disk.read(&name) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return damage(&name, 0, "the file is missing, but the manifest names it");
        }
        Err(error) => return Err(error.into()),
    };
    let next = match decode_header(FileKind::Snapshot, &bytes) {
        Ok((stored_number, next)) if stored_number == number => next,
        Ok((stored_number, _)) => {
            return damage(&name, 0, format!("this is snapshot {stored_number} under another name"))
        }
        Err(error) => return format_error(&name, error),
    };
    let (mut offset, mut records) = (HEADER_BYTES, Vec::new());
    loop {
        match decode_frame(number, &bytes[offset..]) {
            Some(Frame { payload: Some(payload), length, .. }) => {
                records.push(payload.to_vec());
                offset += length;
            }
            Some(Frame { payload: None, seq, length, .. }) => {
                return match seq.0 == records.len() as u64 && offset + length == bytes.len() {
                    true => Ok((next, records)),
                    false => damage(&name, offset, "the end frame does not match the contents"),
                };
            }
            None => return damage(&name, offset, "a record cannot be read"),
        }
    }
}
