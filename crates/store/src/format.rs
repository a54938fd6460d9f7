//! The file formats of the store. All integers are little-endian. The manifest, every header and every frame have a
//! checksum (CRC-32, IEEE). In the table, the number in brackets is a field's length in bytes, and N is a file's
//! number.
//!
//! | file | bytes |
//! | --- | --- |
//! | `MANIFEST` | `JRMF`, format version (2), generation (8), snapshot (8, 0: none), first and newest segment (8 each), checksum (4) |
//! | `seg-N` | header: `JRSG`, format version (2), N (8), first sequence number (8), checksum (4); then frames |
//! | `snap-N` | header: `JRSN`, format version (2), N (8), sequence number of the first record after the snapshot (8), checksum (4); then frames, the last one empty with the record count as its sequence number |
//!
//! A frame: payload length (4), sequence number (8), the last sequence number that was known to be durable when the
//! frame was written (8), checksum (4) over these fields, the file's number and the payload; then the payload.

/// The format version that is written. Files of a newer version are rejected.
pub const FORMAT_VERSION: u16 = 1;
/// The maximum length of a record.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// The sequence number of a record, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

pub const MANIFEST: &str = "MANIFEST";
pub const MANIFEST_NEW: &str = "MANIFEST.new";
/// The length of the header of a segment or snapshot.
pub const HEADER_BYTES: usize = 26;
pub const FRAME_HEADER_BYTES: usize = 24;
/// The position of the checksum in the header of a frame, after the fields that it covers.
const FRAME_CHECKSUM_OFFSET: usize = 20;
/// Stands in place of the payload length in the frame that ends a snapshot.
const END_OF_SNAPSHOT: u32 = u32::MAX;

/// The kinds of numbered files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    Segment,
    Snapshot,
}

impl FileKind {
    fn magic(self) -> &'static [u8; 4] {
        match self {
            FileKind::Segment => b"JRSG",
            FileKind::Snapshot => b"JRSN",
        }
    }

    pub fn file_name(self, number: u64) -> String {
        match self {
            FileKind::Segment => format!("seg-{number:016}"),
            FileKind::Snapshot => format!("snap-{number:016}"),
        }
    }

    /// The number in the name of a file of this kind.
    pub fn parse_number(self, name: &str) -> Option<u64> {
        let prefix = if self == FileKind::Segment { "seg-" } else { "snap-" };
        name.strip_prefix(prefix).filter(|digits| digits.len() == 16).and_then(|digits| digits.parse().ok())
    }
}

/// Names the files that make up the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// Counts the replacements of the manifest.
    pub generation: u64,
    /// The number of the current snapshot; 0 if there is none.
    pub snapshot: u64,
    pub first_segment: u64,
    pub newest_segment: u64,
}

/// Why a header or a manifest cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormatError {
    Truncated,
    WrongMagic,
    NewerVersion(u16),
    ChecksumMismatch,
}

/// The integer at `offset`, or 0 if `bytes` ends before it: callers check the length first.
fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..offset + 8).and_then(|field| field.try_into().ok()).map_or(0, u64::from_le_bytes)
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..offset + 4).and_then(|field| field.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    bytes.get(offset..offset + 2).and_then(|field| field.try_into().ok()).map_or(0, u16::from_le_bytes)
}

/// Checks the magic number, the checksum and the version in this order, so that a damaged file is not reported as a
/// newer version. The checksum is in the last 4 of the first `length` bytes.
fn validate(bytes: &[u8], magic: &[u8; 4], length: usize) -> Result<(), FormatError> {
    if bytes.len() < length {
        return Err(FormatError::Truncated);
    }
    if &bytes[..4] != magic {
        return Err(FormatError::WrongMagic);
    }
    if crc32fast::hash(&bytes[..length - 4]) != u32_at(bytes, length - 4) {
        return Err(FormatError::ChecksumMismatch);
    }
    match u16_at(bytes, 4) {
        version if version > FORMAT_VERSION => Err(FormatError::NewerVersion(version)),
        _ => Ok(()),
    }
}

fn with_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

impl Manifest {
    const LENGTH: usize = 42;

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = b"JRMF".to_vec();
        bytes.extend(FORMAT_VERSION.to_le_bytes());
        for field in [self.generation, self.snapshot, self.first_segment, self.newest_segment] {
            bytes.extend(field.to_le_bytes());
        }
        with_checksum(bytes)
    }

    pub fn decode(bytes: &[u8]) -> Result<Manifest, FormatError> {
        validate(bytes, b"JRMF", Manifest::LENGTH)?;
        // The checksum does not cover bytes after it.
        if bytes.len() > Manifest::LENGTH {
            return Err(FormatError::ChecksumMismatch);
        }
        let field = |index: usize| u64_at(bytes, 6 + 8 * index);
        Ok(Manifest {
            generation: field(0),
            snapshot: field(1),
            first_segment: field(2),
            newest_segment: field(3),
        })
    }
}

/// Encodes the header of a segment or snapshot. `seq` is the sequence number of the first record of the segment, or of
/// the first one after the snapshot.
pub fn encode_header(kind: FileKind, file_number: u64, seq: Seq) -> Vec<u8> {
    let mut bytes = kind.magic().to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend(file_number.to_le_bytes());
    bytes.extend(seq.0.to_le_bytes());
    with_checksum(bytes)
}

/// Decodes a header into the file number and the sequence number.
pub fn decode_header(kind: FileKind, bytes: &[u8]) -> Result<(u64, Seq), FormatError> {
    validate(bytes, kind.magic(), HEADER_BYTES)?;
    Ok((u64_at(bytes, 6), Seq(u64_at(bytes, 14))))
}

/// The checksum of a frame. It covers the number of the file, so that a frame of another file is invalid.
fn frame_checksum(header: &[u8], file_number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(&file_number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn encode_frame_with_length(
    length: u32,
    file_number: u64,
    seq: Seq,
    durable: Seq,
    payload: &[u8],
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend(seq.0.to_le_bytes());
    bytes.extend(durable.0.to_le_bytes());
    let checksum = frame_checksum(&bytes, file_number, payload);
    bytes.extend(checksum.to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Encodes a frame for the file with this number. `durable` is the last sequence number that is known to be durable.
pub fn encode_frame(file_number: u64, seq: Seq, durable: Seq, payload: &[u8]) -> Vec<u8> {
    encode_frame_with_length(payload.len() as u32, file_number, seq, durable, payload)
}

/// Encodes the frame that ends a snapshot of `record_count` records.
pub fn encode_end_frame(file_number: u64, record_count: u64) -> Vec<u8> {
    encode_frame_with_length(END_OF_SNAPSHOT, file_number, Seq(record_count), Seq(0), &[])
}

/// A decoded frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub seq: Seq,
    /// The last sequence number that was known to be durable when the frame was written.
    pub durable: Seq,
    /// `None` in the frame that ends a snapshot.
    pub payload: Option<&'a [u8]>,
    /// The length of the frame in bytes, including its header.
    pub length: usize,
}

/// Decodes the frame at the start of `bytes`. Returns `None` if it is incomplete, its checksum does not match or its
/// payload is too long.
pub fn decode_frame(file_number: u64, bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    let length = u32_at(header, 0);
    let (payload_length, payload) = match length {
        END_OF_SNAPSHOT => (0, None),
        length if length as usize > MAX_RECORD_BYTES => return None,
        length => {
            (length as usize, Some(bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length as usize)?))
        }
    };
    if frame_checksum(&header[..FRAME_CHECKSUM_OFFSET], file_number, payload.unwrap_or_default())
        != u32_at(header, FRAME_CHECKSUM_OFFSET)
    {
        return None;
    }
    let (seq, durable) = (Seq(u64_at(header, 4)), Seq(u64_at(header, 12)));
    Some(Frame { seq, durable, payload, length: FRAME_HEADER_BYTES + payload_length })
}
