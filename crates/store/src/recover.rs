//! What is found on the disk: the longest sound prefix of records, a torn tail told and cut, and damage told apart from
//! it. A bad frame is a torn tail only where nothing shows that its record was synced: a sound frame behind it that
//! was written when the bad one's sequence was durable already, or a later segment that begins behind it, is damage.

use std::fmt;
use std::io;

use crate::disk::Disk;
use crate::format::*;

/// What is wrong with the files: the store does not open on them by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    /// Bytes into the file.
    pub offset: u64,
    pub description: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}: {}", self.file, self.offset, self.description)
    }
}

/// What was recovered, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The records of the newest snapshot.
    pub snapshot: Vec<Vec<u8>>,
    /// Those that were appended since, each with its sequence.
    pub records: Vec<(Seq, Vec<u8>)>,
    /// Bytes of a torn tail that were cut.
    pub torn_bytes: u64,
    /// Files that nothing names any more and that were removed.
    pub removed_file_count: usize,
}

/// Why recovery does not come to an end.
#[derive(Debug)]
pub enum Failed {
    Io(io::Error),
    Damage(Damage),
    Newer { file: String, format: u16 },
}

impl From<io::Error> for Failed {
    fn from(why: io::Error) -> Self {
        Failed::Io(why)
    }
}

/// Where appending goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub manifest: Manifest,
    /// The sequence of the next record.
    pub next: Seq,
}

fn damage<T>(file: &str, at: usize, what: impl Into<String>) -> Result<T, Failed> {
    Err(Failed::Damage(Damage { file: file.into(), offset: at as u64, description: what.into() }))
}

fn unsound<T>(file: &str, why: Unsound) -> Result<T, Failed> {
    match why {
        Unsound::Newer(format) => Err(Failed::Newer { file: file.into(), format }),
        Unsound::Short => damage(file, 0, "it ends within its head"),
        Unsound::Magic => damage(file, 0, "it does not begin as such a file does"),
        Unsound::Checksum => damage(file, 0, "its head's checksum is wrong"),
    }
}

/// Reads everything; `None` where the folder holds no store. Nothing is changed on the disk.
pub fn read(disk: &dyn Disk) -> Result<Option<(Place, Recovered)>, Failed> {
    let names = disk.list()?;
    let segments: Vec<u64> = names.iter().filter_map(|name| FileKind::Segment.number(name)).collect();
    if !names.iter().any(|name| name == MANIFEST) {
        // Before the first manifest there is at most a segment that holds nothing.
        for number in &segments {
            let name = FileKind::Segment.name(*number);
            if disk.read(&name)?.len() > HEAD {
                return damage(MANIFEST, 0, format!("it is missing, and {name} holds records"));
            }
        }
        return Ok(None);
    }
    let manifest = match Manifest::read(&disk.read(MANIFEST)?) {
        Ok(manifest) => manifest,
        Err(why) => return unsound(MANIFEST, why),
    };
    let mut recovered = Recovered::default();
    let mut next = Seq(1);
    if manifest.snapshot > 0 {
        let (before, records) = snapshot(disk, manifest.snapshot)?;
        (recovered.snapshot, next) = (records, before);
    }
    for number in manifest.first..=manifest.newest {
        let name = FileKind::Segment.name(number);
        if !names.contains(&name) {
            return damage(&name, 0, "the manifest names it and it is missing");
        }
        let bytes = disk.read(&name)?;
        let first = match read_head(FileKind::Segment, &bytes) {
            Ok((known, first)) if known == number => first,
            Ok((known, _)) => return damage(&name, 0, format!("it is segment {known} under another name")),
            Err(why) => return unsound(&name, why),
        };
        if number == manifest.first && first != next {
            return damage(&name, 0, format!("it begins at {} and should at {}", first.0, next.0));
        }
        // Where the next segment begins, this one ends: what was written behind that was never acknowledged.
        let ends = match number == manifest.newest {
            true => None,
            false => Some(begins(disk, number + 1)?),
        };
        next = frames(&name, number, &bytes, first, ends, &mut recovered)?;
    }
    // A segment that was made and never named: it holds nothing that was acknowledged, unless it was renamed.
    for number in segments.iter().filter(|number| **number > manifest.newest) {
        let name = FileKind::Segment.name(*number);
        let bytes = disk.read(&name)?;
        if read_head(FileKind::Segment, &bytes).is_ok_and(|(known, _)| known != *number) {
            return damage(&name, 0, "it is another segment, doubled or renamed");
        }
        if let Some(frame) = bytes.get(HEAD..).and_then(|bytes| read_frame(*number, bytes)) {
            return damage(
                &name,
                HEAD,
                format!("it holds record {} and the manifest does not name it", frame.seq.0),
            );
        }
    }
    Ok(Some((Place { manifest, next }, recovered)))
}

/// The first sequence of a segment that has to be there.
fn begins(disk: &dyn Disk, number: u64) -> Result<Seq, Failed> {
    let name = FileKind::Segment.name(number);
    match disk.read(&name) {
        Ok(bytes) => match read_head(FileKind::Segment, &bytes) {
            Ok((_, first)) => Ok(first),
            Err(why) => unsound(&name, why),
        },
        Err(why) if why.kind() == io::ErrorKind::NotFound => {
            damage(&name, 0, "the manifest names it and it is missing")
        }
        Err(why) => Err(why.into()),
    }
}

/// Takes a segment's records. `ends`: the sequence at which the next segment begins; `None` for the newest. The
/// sequence of the next record is given back.
fn frames(
    name: &str,
    number: u64,
    bytes: &[u8],
    first: Seq,
    ends: Option<Seq>,
    recovered: &mut Recovered,
) -> Result<Seq, Failed> {
    let (mut at, mut next) = (HEAD, first);
    loop {
        if ends == Some(next) {
            return Ok(next);
        }
        match read_frame(number, &bytes[at..]) {
            Some(Frame { seq, payload: Some(payload), length, .. }) if seq == next => {
                recovered.records.push((seq, payload.to_vec()));
                (at, next) = (at + length, Seq(next.0 + 1));
            }
            // A mark: it says how far all was synced, and is no record.
            Some(Frame { seq: Seq(0), payload: Some([]), length, .. }) => at += length,
            Some(frame) => {
                return damage(name, at, format!("record {} stands where {} should", frame.seq.0, next.0));
            }
            None => break,
        }
    }
    if let Some(ends) = ends {
        return damage(
            name,
            at,
            format!("record {} is missing, and {} begins the next segment", next.0, ends.0),
        );
    }
    // Whether anything behind shows that the record here had been synced.
    for behind in at + 1..bytes.len().saturating_sub(FRAME - 1) {
        if read_frame(number, &bytes[behind..]).is_some_and(|frame| frame.durable >= next) {
            return damage(name, at, format!("record {} was synced and cannot be read", next.0));
        }
    }
    recovered.torn_bytes = (bytes.len() - at) as u64;
    Ok(next)
}

/// A snapshot's records, and the sequence that it stands before. It is whole or damage: it was synced before it was
/// named.
fn snapshot(disk: &dyn Disk, number: u64) -> Result<(Seq, Vec<Vec<u8>>), Failed> {
    let name = FileKind::Snapshot.name(number);
    let bytes = match disk.read(&name) {
        Ok(bytes) => bytes,
        Err(why) if why.kind() == io::ErrorKind::NotFound => {
            return damage(&name, 0, "the manifest names it and it is missing");
        }
        Err(why) => return Err(why.into()),
    };
    let before = match read_head(FileKind::Snapshot, &bytes) {
        Ok((known, before)) if known == number => before,
        Ok((known, _)) => return damage(&name, 0, format!("it is snapshot {known} under another name")),
        Err(why) => return unsound(&name, why),
    };
    let (mut at, mut records) = (HEAD, Vec::new());
    loop {
        match read_frame(number, &bytes[at..]) {
            Some(Frame { payload: Some(payload), length, .. }) => {
                records.push(payload.to_vec());
                at += length;
            }
            Some(Frame { payload: None, seq, length, .. }) => {
                return match seq.0 == records.len() as u64 && at + length == bytes.len() {
                    true => Ok((before, records)),
                    false => damage(&name, at, "its end does not fit what it holds"),
                };
            }
            None => return damage(&name, at, "a record cannot be read"),
        }
    }
}
