//! The bytes of the store's files. All figures are little-endian; every piece carries its checksum (CRC-32, IEEE).
//!
//! | file | bytes |
//! | --- | --- |
//! | `MANIFEST` | `JRMF`, format (2), generation (8), snapshot (8, 0: none), first and newest segment (8 each), checksum (4) |
//! | `seg-N` | head: `JRSG`, format (2), N (8), first sequence (8), checksum (4); then frames |
//! | `snap-N` | head: `JRSN`, format (2), N (8), sequence that it stands before (8), checksum (4); then frames, the last one empty with the count as its sequence |
//!
//! A frame: length (4), sequence (8), durable (8): the last sequence that was known to be synced as it was written,
//! checksum (4) over these, the file's number and the payload; then the payload.

/// The format that is written; a newer one is refused.
pub const FORMAT_VERSION: u16 = 1;
/// No record is longer, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// A record's place in the order of all, from 1 on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

pub const MANIFEST: &str = "MANIFEST";
pub const MANIFEST_NEW: &str = "MANIFEST.new";
pub const HEAD: usize = 26;
pub const FRAME: usize = 24;
/// The frame that ends a snapshot has this length in place of a payload's.
const END: u32 = u32::MAX;

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

    pub fn name(self, number: u64) -> String {
        match self {
            FileKind::Segment => format!("seg-{number:016}"),
            FileKind::Snapshot => format!("snap-{number:016}"),
        }
    }

    /// The number in a file's name.
    pub fn number(self, name: &str) -> Option<u64> {
        let prefix = if self == FileKind::Segment { "seg-" } else { "snap-" };
        name.strip_prefix(prefix).filter(|digits| digits.len() == 16).and_then(|digits| digits.parse().ok())
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    pub generation: u64,
    /// 0: none.
    pub snapshot: u64,
    pub first: u64,
    pub newest: u64,
}

/// Why bytes are not what they should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsound {
    Short,
    Magic,
    Newer(u16),
    Checksum,
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|of| of.try_into().ok()).map_or(0, u64::from_le_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|of| of.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    bytes.get(at..at + 2).and_then(|of| of.try_into().ok()).map_or(0, u16::from_le_bytes)
}

/// Checks magic, checksum and format, in this order: what is damaged is not taken for something newer.
fn checked(bytes: &[u8], magic: &[u8; 4], length: usize) -> Result<(), Unsound> {
    if bytes.len() < length {
        return Err(Unsound::Short);
    }
    if &bytes[..4] != magic {
        return Err(Unsound::Magic);
    }
    if crc32fast::hash(&bytes[..length - 4]) != u32_at(bytes, length - 4) {
        return Err(Unsound::Checksum);
    }
    match u16_at(bytes, 4) {
        format if format > FORMAT_VERSION => Err(Unsound::Newer(format)),
        _ => Ok(()),
    }
}

fn sealed(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

impl Manifest {
    const LENGTH: usize = 42;

    pub fn write(&self) -> Vec<u8> {
        let mut bytes = b"JRMF".to_vec();
        bytes.extend(FORMAT_VERSION.to_le_bytes());
        for figure in [self.generation, self.snapshot, self.first, self.newest] {
            bytes.extend(figure.to_le_bytes());
        }
        sealed(bytes)
    }

    pub fn read(bytes: &[u8]) -> Result<Manifest, Unsound> {
        checked(bytes, b"JRMF", Manifest::LENGTH)?;
        if bytes.len() > Manifest::LENGTH {
            return Err(Unsound::Checksum);
        }
        let at = |place: usize| u64_at(bytes, 6 + 8 * place);
        Ok(Manifest { generation: at(0), snapshot: at(1), first: at(2), newest: at(3) })
    }
}

/// A segment's or snapshot's head. `seq`: the first that it holds, or that the snapshot stands before.
pub fn head(kind: FileKind, number: u64, seq: Seq) -> Vec<u8> {
    let mut bytes = kind.magic().to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(seq.0.to_le_bytes());
    sealed(bytes)
}

/// The number and sequence of such a head.
pub fn read_head(kind: FileKind, bytes: &[u8]) -> Result<(u64, Seq), Unsound> {
    checked(bytes, kind.magic(), HEAD)?;
    Ok((u64_at(bytes, 6), Seq(u64_at(bytes, 14))))
}

fn checksum(head: &[u8], number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn frame_of(length: u32, number: u64, seq: Seq, durable: Seq, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME + payload.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend(seq.0.to_le_bytes());
    bytes.extend(durable.0.to_le_bytes());
    let checksum = checksum(&bytes, number, payload);
    bytes.extend(checksum.to_le_bytes());
    bytes.extend(payload);
    bytes
}

pub fn frame(number: u64, seq: Seq, durable: Seq, payload: &[u8]) -> Vec<u8> {
    frame_of(payload.len() as u32, number, seq, durable, payload)
}

/// What ends a snapshot of so many records.
pub fn end(number: u64, count: u64) -> Vec<u8> {
    frame_of(END, number, Seq(count), Seq(0), &[])
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub seq: Seq,
    pub durable: Seq,
    /// `None` in the frame that ends a snapshot.
    pub payload: Option<&'a [u8]>,
    /// Bytes that it takes.
    pub length: usize,
}

/// The sound frame that begins there, if one does.
pub fn read_frame(number: u64, bytes: &[u8]) -> Option<Frame<'_>> {
    let head = bytes.get(..FRAME)?;
    let length = u32_at(head, 0);
    let (taken, payload) = match length {
        END => (0, None),
        length if length as usize > MAX_RECORD_BYTES => return None,
        length => (length as usize, Some(bytes.get(FRAME..FRAME + length as usize)?)),
    };
    if checksum(&head[..20], number, payload.unwrap_or_default()) != u32_at(head, 20) {
        return None;
    }
    let (seq, durable) = (Seq(u64_at(head, 4)), Seq(u64_at(head, 12)));
    Some(Frame { seq, durable, payload, length: FRAME + taken })
}
