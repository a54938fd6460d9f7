//! The one writer: appending, committing, turning to a new segment, and compaction beside it.

use std::fmt;
use std::io;
use std::sync::Arc;

use crate::disk::Disk;
use crate::format::*;
use crate::recover::{self, Damage, Failed, Recovered};

/// What bounds a store, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A segment that is larger is followed by a new one.
    pub max_segment_bytes: u64,
    /// All files together; beyond it nothing is appended until a compaction.
    pub max_total_bytes: u64,
    /// What is appended and not committed.
    pub max_pending_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_segment_bytes: 4 << 20, max_total_bytes: 256 << 20, max_pending_bytes: 4 << 20 }
    }
}

/// Why a store does not open.
#[derive(Debug)]
pub enum OpenError {
    /// Another process has it open.
    Locked,
    NewerFormat {
        file: String,
        format: u16,
    },
    Damage(Damage),
    Io(io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Locked => f.write_str("another process has the store open"),
            OpenError::NewerFormat { file, format } => {
                write!(
                    f,
                    "{file} is of format {format} and this program knows {FORMAT_VERSION}: use the newer program"
                )
            }
            OpenError::Damage(damage) => {
                write!(f, "{damage}: bring a sound copy back, or start empty by saying so")
            }
            OpenError::Io(why) => write!(f, "the store cannot be read: {why}"),
        }
    }
}

impl From<Failed> for OpenError {
    fn from(failed: Failed) -> Self {
        match failed {
            Failed::Io(why) => OpenError::Io(why),
            Failed::Damage(damage) => OpenError::Damage(damage),
            Failed::Newer { file, format } => OpenError::NewerFormat { file, format },
        }
    }
}

/// Why something is not kept. What was durable stays so.
#[derive(Debug)]
pub enum StoreError {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    RecordTooLong,
    /// So much waits to be committed that no more is taken.
    TooManyPending,
    /// The store is as large as it may be.
    Full,
    /// The disk failed; what waits is tried again with the next commit, in a new segment.
    Io(io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::RecordTooLong => write!(f, "a record is longer than {MAX_RECORD_BYTES} bytes"),
            StoreError::TooManyPending => f.write_str("too much waits to be synced"),
            StoreError::Full => {
                f.write_str("the store is as large as it may be: compact it, or raise its limit")
            }
            StoreError::Io(why) => write!(f, "the disk failed: {why}"),
        }
    }
}

/// A store that is open, and what it held.
pub struct Opened<D> {
    pub store: Store<D>,
    pub recovered: Recovered,
}

pub struct Store<D> {
    disk: Arc<D>,
    limits: Limits,
    manifest: Manifest,
    /// Bytes in the newest segment and in all files.
    written: u64,
    all: u64,
    next: Seq,
    durable: Seq,
    /// Records from `durable` on, framed for the segment when they are written.
    pending: Vec<Vec<u8>>,
    pending_bytes: usize,
    /// Something failed since the last commit: nothing is known of the newest segment's tail.
    doubtful: bool,
}

impl<D: Disk> Store<D> {
    /// Opens what is there, or makes it. What was recovered is handed out once. A torn tail is left behind by a new
    /// segment, so that a crash right after finds the same again.
    pub fn open(disk: D, limits: Limits) -> Result<Opened<D>, OpenError> {
        disk.lock().map_err(|why| match why.kind() {
            io::ErrorKind::WouldBlock => OpenError::Locked,
            _ => OpenError::Io(why),
        })?;
        let found = recover::read(&disk)?;
        let disk = Arc::new(disk);
        let (place, mut recovered) = match found {
            Some((place, recovered)) => (Some(place), recovered),
            None => (None, Recovered::default()),
        };
        let manifest = place.map_or(Manifest { first: 1, ..Manifest::default() }, |place| place.manifest);
        let next = place.map_or(Seq(1), |place| place.next);
        let durable = Seq(next.0 - 1);
        let (pending, doubtful) = (Vec::new(), true);
        let mut store = Store {
            disk,
            limits,
            manifest,
            written: 0,
            all: 0,
            next,
            durable,
            pending,
            pending_bytes: 0,
            doubtful,
        };
        recovered.removed_file_count = store.clean().map_err(OpenError::Io)?;
        store.turn().map_err(OpenError::Io)?;
        store.all = store.measure().map_err(OpenError::Io)?;
        Ok(Opened { store, recovered })
    }

    /// Removes what nothing names: it was left by a crash between two steps.
    fn clean(&self) -> io::Result<usize> {
        let Manifest { snapshot, first, newest, .. } = self.manifest;
        let names = self.disk.list()?;
        let stray = |name: &&String| match (FileKind::Segment.number(name), FileKind::Snapshot.number(name)) {
            (Some(number), _) => number < first || number > newest,
            (_, Some(number)) => number != snapshot,
            _ => *name == MANIFEST_NEW,
        };
        let strays: Vec<&String> = names.iter().filter(stray).collect();
        strays.iter().try_for_each(|name| self.disk.remove(name))?;
        if !strays.is_empty() {
            self.disk.sync_directory()?;
        }
        Ok(strays.len())
    }

    fn measure(&self) -> io::Result<u64> {
        let mut all = 0;
        for name in self.disk.list()? {
            all += self.disk.read(&name)?.len() as u64;
        }
        Ok(all)
    }

    /// A new newest segment, named by the manifest: each step is synced before the next relies on it.
    fn turn(&mut self) -> io::Result<()> {
        let number = self.manifest.newest + 1;
        let name = FileKind::Segment.name(number);
        let head = head(FileKind::Segment, number, Seq(self.durable.0 + 1));
        self.disk.create(&name)?;
        self.disk.append(&name, &head)?;
        self.disk.sync(&name)?;
        self.disk.sync_directory()?;
        self.all += head.len() as u64;
        let named = self.name(Manifest { newest: number, ..self.manifest });
        // Guards against a manifest that may name it or not: the segment is sound and stays, whichever it is, and the
        // next one gets another number. Made anew under this one, it could be named and cut at once.
        self.manifest.newest = number;
        named?;
        (self.written, self.doubtful) = (head.len() as u64, false);
        Ok(())
    }

    /// Replaces the manifest, whole. After a failure the old or the new one is there.
    fn name(&mut self, manifest: Manifest) -> io::Result<()> {
        let manifest = Manifest { generation: self.manifest.generation + 1, ..manifest };
        self.disk.create(MANIFEST_NEW)?;
        self.disk.append(MANIFEST_NEW, &manifest.write())?;
        self.disk.sync(MANIFEST_NEW)?;
        self.disk.rename(MANIFEST_NEW, MANIFEST)?;
        self.disk.sync_directory()?;
        self.manifest = manifest;
        Ok(())
    }

    /// Takes a record, to be durable with the next commit that succeeds.
    pub fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(StoreError::RecordTooLong);
        }
        if self.pending_bytes + record.len() > self.limits.max_pending_bytes {
            return Err(StoreError::TooManyPending);
        }
        if self.all + (self.pending_bytes + record.len() + FRAME) as u64 > self.limits.max_total_bytes {
            return Err(StoreError::Full);
        }
        let seq = self.next;
        self.next = Seq(seq.0 + 1);
        self.pending_bytes += record.len() + FRAME;
        self.pending.push(record.to_vec());
        Ok(seq)
    }

    /// The last sequence that is durable.
    pub fn durable(&self) -> Seq {
        self.durable
    }

    /// Bytes on the disk.
    pub fn size_bytes(&self) -> u64 {
        self.all
    }

    /// Makes all that was appended durable, or none of it for sure. After a failure nothing is trusted that was not
    /// durable before: it is written again, to a new segment, with the next commit.
    pub fn commit(&mut self) -> Result<Seq, StoreError> {
        if self.pending.is_empty() {
            return Ok(self.durable);
        }
        self.written().map_err(|why| {
            self.doubtful = true;
            StoreError::Io(why)
        })
    }

    fn written(&mut self) -> io::Result<Seq> {
        if self.doubtful || self.written > self.limits.max_segment_bytes {
            self.turn()?;
        }
        let number = self.manifest.newest;
        let name = FileKind::Segment.name(number);
        let mut bytes = Vec::with_capacity(self.pending_bytes);
        for (seq, record) in (self.durable.0 + 1..).zip(&self.pending) {
            bytes.extend(frame(number, Seq(seq), self.durable, record));
        }
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.written += bytes.len() as u64;
        self.all += bytes.len() as u64;
        self.durable = Seq(self.next.0 - 1);
        self.pending.clear();
        self.pending_bytes = 0;
        // Not synced: where it survives, it shows that what is before it had been.
        let mark = frame(number, Seq(0), self.durable, &[]);
        match self.disk.append(&name, &mark) {
            Ok(()) => {
                self.written += mark.len() as u64;
                self.all += mark.len() as u64;
            }
            Err(_) => self.doubtful = true,
        }
        Ok(self.durable)
    }

    /// Begins a compaction: what is durable now will be replaced by the records that the caller has of it. Appending
    /// goes on meanwhile, in a segment of its own.
    pub fn begin_compaction(&mut self) -> Result<Compaction<D>, StoreError> {
        self.commit()?;
        self.turn().map_err(|why| {
            self.doubtful = true;
            StoreError::Io(why)
        })?;
        let number = self.manifest.newest;
        let before = Seq(self.durable.0 + 1);
        let begun = self.disk.create(&FileKind::Snapshot.name(number)).and_then(|()| {
            self.disk.append(&FileKind::Snapshot.name(number), &head(FileKind::Snapshot, number, before))
        });
        begun.map_err(StoreError::Io)?;
        Ok(Compaction { disk: self.disk.clone(), number, count: 0, bytes: HEAD as u64 })
    }

    /// Ends it: the manifest names the snapshot, and what it replaces is removed.
    pub fn finish_compaction(&mut self, compaction: Compaction<D>) -> Result<(), StoreError> {
        let Compaction { number, bytes, .. } = compaction;
        let old = self.manifest;
        self.name(Manifest { snapshot: number, first: number, ..old }).map_err(StoreError::Io)?;
        self.all += bytes;
        // What is not removed now is removed at the next opening.
        let segments = (old.first..number).map(|number| FileKind::Segment.name(number));
        let snapshot = (old.snapshot > 0).then(|| FileKind::Snapshot.name(old.snapshot));
        for name in segments.chain(snapshot) {
            let freed = self.disk.read(&name).map_or(0, |bytes| bytes.len() as u64);
            if self.disk.remove(&name).is_ok() {
                self.all = self.all.saturating_sub(freed);
            }
        }
        Ok(())
    }
}

/// A snapshot under way. It has its own file, so that it may be written from another thread.
pub struct Compaction<D> {
    disk: Arc<D>,
    number: u64,
    count: u64,
    bytes: u64,
}

impl<D: Disk> Compaction<D> {
    /// Writes records of the state that the snapshot holds, some at a time.
    pub fn write_records<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        for record in records {
            if record.len() > MAX_RECORD_BYTES {
                return Err(StoreError::RecordTooLong);
            }
            self.count += 1;
            bytes.extend(frame(self.number, Seq(self.count), Seq(0), record));
        }
        self.bytes += bytes.len() as u64;
        self.disk.append(&FileKind::Snapshot.name(self.number), &bytes).map_err(StoreError::Io)
    }

    /// All is written: from here on it may be named.
    pub fn seal(mut self) -> Result<Self, StoreError> {
        let name = FileKind::Snapshot.name(self.number);
        let end = end(self.number, self.count);
        self.bytes += end.len() as u64;
        let sealed = self.disk.append(&name, &end).and_then(|()| self.disk.sync(&name));
        sealed.and_then(|()| self.disk.sync_directory()).map_err(StoreError::Io)?;
        Ok(self)
    }
}
