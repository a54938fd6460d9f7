//! The store: append, commit, segment rotation, and compaction that runs concurrently with appends.

use std::fmt;
use std::io;
use std::sync::Arc;

use crate::disk::Disk;
use crate::format::*;
use crate::recover::{self, Damage, Recovered, RecoveryError};

/// Size limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A commit rotates to a new segment if the newest one is larger than this.
    pub max_segment_bytes: u64,
    /// The maximum size of all files together. Appends that would exceed it fail until a compaction has freed space.
    pub max_total_bytes: u64,
    /// The maximum size of all uncommitted records together.
    pub max_pending_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_segment_bytes: 4 << 20, max_total_bytes: 256 << 20, max_pending_bytes: 4 << 20 }
    }
}

/// Why a store cannot be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Another process has the store open.
    Locked,
    /// A file has a newer format than [`FORMAT_VERSION`].
    NewerFormat {
        file: String,
        version: u16,
    },
    Damage(Damage),
    Io(io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Locked => f.write_str("another process has the store open"),
            OpenError::NewerFormat { file, version } => {
                write!(
                    f,
                    "{file} has format version {version}, but this program supports up to {FORMAT_VERSION}: \
                     use a newer version"
                )
            }
            OpenError::Damage(damage) => {
                write!(f, "{damage}: restore an intact copy, or move the store away to start empty")
            }
            OpenError::Io(error) => write!(f, "the store cannot be read: {error}"),
        }
    }
}

impl From<RecoveryError> for OpenError {
    fn from(error: RecoveryError) -> Self {
        match error {
            RecoveryError::Io(error) => OpenError::Io(error),
            RecoveryError::Damage(damage) => OpenError::Damage(damage),
            RecoveryError::NewerFormat { file, version } => OpenError::NewerFormat { file, version },
        }
    }
}

/// Why an operation failed. Records that are durable stay durable.
#[derive(Debug)]
pub enum StoreError {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    RecordTooLong,
    /// The uncommitted records would exceed [`Limits::max_pending_bytes`].
    TooManyPending,
    /// The files would exceed [`Limits::max_total_bytes`].
    Full,
    /// The disk failed. The next commit retries the pending records in a new segment.
    Io(io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::RecordTooLong => write!(f, "a record is longer than {MAX_RECORD_BYTES} bytes"),
            StoreError::TooManyPending => f.write_str("too many bytes wait to be synced"),
            StoreError::Full => {
                f.write_str("the store has reached its size limit: compact it, or raise the limit")
            }
            StoreError::Io(error) => write!(f, "the disk failed: {error}"),
        }
    }
}

/// An open store and the records that were recovered.
pub struct Opened<D> {
    pub store: Store<D>,
    pub recovered: Recovered,
}

/// An open store. Only one writer may use it at a time.
pub struct Store<D> {
    disk: Arc<D>,
    limits: Limits,
    manifest: Manifest,
    /// Bytes in the newest segment.
    segment_bytes: u64,
    /// Bytes in all files.
    total_bytes: u64,
    /// The sequence number of the next record.
    next: Seq,
    /// The last durable sequence number.
    durable: Seq,
    /// The records after `durable`. They are framed only when they are written, since a frame depends on its segment.
    pending: Vec<Vec<u8>>,
    pending_bytes: usize,
    /// A rotation or write failed, so the contents of the newest segment's tail are unknown: the next commit rotates to
    /// a new segment.
    tail_uncertain: bool,
}

impl<D: Disk> Store<D> {
    /// Opens or creates a store and returns the recovered records. Opening rotates to a new segment and leaves a torn
    /// tail, which is ignored, in the old one, so that recovery after another crash gives the same result.
    pub fn open(disk: D, limits: Limits) -> Result<Opened<D>, OpenError> {
        disk.lock().map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => OpenError::Locked,
            _ => OpenError::Io(error),
        })?;
        let existing = recover::read(&disk)?;
        let disk = Arc::new(disk);
        let (position, mut recovered) = match existing {
            Some((position, recovered)) => (Some(position), recovered),
            None => (None, Recovered::default()),
        };
        let manifest = position
            .map_or(Manifest { first_segment: 1, ..Manifest::default() }, |position| position.manifest);
        let next = position.map_or(Seq(1), |position| position.next);
        let durable = Seq(next.0 - 1);
        let (pending, tail_uncertain) = (Vec::new(), true);
        let mut store = Store {
            disk,
            limits,
            manifest,
            segment_bytes: 0,
            total_bytes: 0,
            next,
            durable,
            pending,
            pending_bytes: 0,
            tail_uncertain,
        };
        recovered.removed_file_count = store.remove_unreferenced_files().map_err(OpenError::Io)?;
        store.rotate_segment().map_err(OpenError::Io)?;
        store.total_bytes = store.measure_total_bytes().map_err(OpenError::Io)?;
        Ok(Opened { store, recovered })
    }

    /// Removes files that the manifest does not name and returns their number. A crash between two steps of a rotation
    /// or compaction leaves such files.
    fn remove_unreferenced_files(&self) -> io::Result<usize> {
        let Manifest { snapshot, first_segment, newest_segment, .. } = self.manifest;
        let names = self.disk.list()?;
        let is_unreferenced = |name: &&String| match (
            FileKind::Segment.parse_number(name),
            FileKind::Snapshot.parse_number(name),
        ) {
            (Some(number), _) => number < first_segment || number > newest_segment,
            (_, Some(number)) => number != snapshot,
            _ => *name == MANIFEST_NEW,
        };
        let unreferenced: Vec<&String> = names.iter().filter(is_unreferenced).collect();
        unreferenced.iter().try_for_each(|name| self.disk.remove(name))?;
        if !unreferenced.is_empty() {
            self.disk.sync_directory()?;
        }
        Ok(unreferenced.len())
    }

    fn measure_total_bytes(&self) -> io::Result<u64> {
        let mut total_bytes = 0;
        for name in self.disk.list()? {
            total_bytes += self.disk.read(&name)?.len() as u64;
        }
        Ok(total_bytes)
    }

    /// Creates a new segment and names it in the manifest. Each step is synced before the next one relies on it.
    fn rotate_segment(&mut self) -> io::Result<()> {
        let number = self.manifest.newest_segment + 1;
        let name = FileKind::Segment.file_name(number);
        let header = encode_header(FileKind::Segment, number, Seq(self.durable.0 + 1));
        self.disk.create(&name)?;
        self.disk.append(&name, &header)?;
        self.disk.sync(&name)?;
        self.disk.sync_directory()?;
        self.total_bytes += header.len() as u64;
        let replacement_result = self.replace_manifest(Manifest { newest_segment: number, ..self.manifest });
        // After a failure the manifest on the disk may or may not name the segment. The segment is valid and stays in
        // either case, and the next one gets another number: creating it again under this number could truncate a file
        // that the manifest already names.
        self.manifest.newest_segment = number;
        replacement_result?;
        (self.segment_bytes, self.tail_uncertain) = (header.len() as u64, false);
        Ok(())
    }

    /// Replaces the manifest atomically. After a failure either the old or the new one is on the disk.
    fn replace_manifest(&mut self, manifest: Manifest) -> io::Result<()> {
        let manifest = Manifest { generation: self.manifest.generation + 1, ..manifest };
        self.disk.create(MANIFEST_NEW)?;
        self.disk.append(MANIFEST_NEW, &manifest.encode())?;
        self.disk.sync(MANIFEST_NEW)?;
        self.disk.rename(MANIFEST_NEW, MANIFEST)?;
        self.disk.sync_directory()?;
        self.manifest = manifest;
        Ok(())
    }

    /// Adds a record to the pending ones. The record is durable after the next successful commit.
    pub fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(StoreError::RecordTooLong);
        }
        if self.pending_bytes + record.len() > self.limits.max_pending_bytes {
            return Err(StoreError::TooManyPending);
        }
        if self.total_bytes + (self.pending_bytes + record.len() + FRAME_HEADER_BYTES) as u64
            > self.limits.max_total_bytes
        {
            return Err(StoreError::Full);
        }
        let seq = self.next;
        self.next = Seq(seq.0 + 1);
        self.pending_bytes += record.len() + FRAME_HEADER_BYTES;
        self.pending.push(record.to_vec());
        Ok(seq)
    }

    /// The last durable sequence number.
    pub fn durable(&self) -> Seq {
        self.durable
    }

    /// The size of all files together.
    pub fn size_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Makes all pending records durable. After a failure none of them counts as durable: the next commit writes them
    /// again, to a new segment.
    pub fn commit(&mut self) -> Result<Seq, StoreError> {
        if self.pending.is_empty() {
            return Ok(self.durable);
        }
        self.write_pending().map_err(|error| {
            self.tail_uncertain = true;
            StoreError::Io(error)
        })
    }

    fn write_pending(&mut self) -> io::Result<Seq> {
        if self.tail_uncertain || self.segment_bytes > self.limits.max_segment_bytes {
            self.rotate_segment()?;
        }
        let number = self.manifest.newest_segment;
        let name = FileKind::Segment.file_name(number);
        let mut bytes = Vec::with_capacity(self.pending_bytes);
        for (seq, record) in (self.durable.0 + 1..).zip(&self.pending) {
            bytes.extend(encode_frame(number, Seq(seq), self.durable, record));
        }
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.segment_bytes += bytes.len() as u64;
        self.total_bytes += bytes.len() as u64;
        self.durable = Seq(self.next.0 - 1);
        self.pending.clear();
        self.pending_bytes = 0;
        // The marker is not synced. If it survives a crash, it shows that the records before it were durable.
        let durability_marker = encode_frame(number, Seq(0), self.durable, &[]);
        match self.disk.append(&name, &durability_marker) {
            Ok(()) => {
                self.segment_bytes += durability_marker.len() as u64;
                self.total_bytes += durability_marker.len() as u64;
            }
            Err(_) => self.tail_uncertain = true,
        }
        Ok(self.durable)
    }

    /// Commits the pending records and begins a compaction: the records that the caller writes to it will replace all
    /// records that are durable by then. Records that are appended during the compaction go to a new segment.
    pub fn begin_compaction(&mut self) -> Result<Compaction<D>, StoreError> {
        self.commit()?;
        self.rotate_segment().map_err(|error| {
            self.tail_uncertain = true;
            StoreError::Io(error)
        })?;
        let number = self.manifest.newest_segment;
        let first_after_snapshot = Seq(self.durable.0 + 1);
        let creation_result = self.disk.create(&FileKind::Snapshot.file_name(number)).and_then(|()| {
            self.disk.append(
                &FileKind::Snapshot.file_name(number),
                &encode_header(FileKind::Snapshot, number, first_after_snapshot),
            )
        });
        creation_result.map_err(StoreError::Io)?;
        Ok(Compaction { disk: self.disk.clone(), number, record_count: 0, file_bytes: HEADER_BYTES as u64 })
    }

    /// Finishes a compaction: names the snapshot in the manifest and removes the files that it replaces.
    pub fn finish_compaction(&mut self, compaction: Compaction<D>) -> Result<(), StoreError> {
        let Compaction { number, file_bytes, .. } = compaction;
        let previous_manifest = self.manifest;
        self.replace_manifest(Manifest { snapshot: number, first_segment: number, ..previous_manifest })
            .map_err(StoreError::Io)?;
        self.total_bytes += file_bytes;
        // Files that cannot be removed now are removed when the store is opened again.
        let replaced_segments =
            (previous_manifest.first_segment..number).map(|number| FileKind::Segment.file_name(number));
        let replaced_snapshot = (previous_manifest.snapshot > 0)
            .then(|| FileKind::Snapshot.file_name(previous_manifest.snapshot));
        for name in replaced_segments.chain(replaced_snapshot) {
            let freed_bytes = self.disk.read(&name).map_or(0, |bytes| bytes.len() as u64);
            if self.disk.remove(&name).is_ok() {
                self.total_bytes = self.total_bytes.saturating_sub(freed_bytes);
            }
        }
        Ok(())
    }
}

/// A snapshot that is being written. It has its own file, so that another thread can write it.
pub struct Compaction<D> {
    disk: Arc<D>,
    /// The number of the snapshot's file.
    number: u64,
    /// The number of records written so far.
    record_count: u64,
    /// The length of the file so far.
    file_bytes: u64,
}

impl<D: Disk> Compaction<D> {
    /// Appends records to the snapshot. May be called several times.
    pub fn write_records<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        for record in records {
            if record.len() > MAX_RECORD_BYTES {
                return Err(StoreError::RecordTooLong);
            }
            self.record_count += 1;
            bytes.extend(encode_frame(self.number, Seq(self.record_count), Seq(0), record));
        }
        self.file_bytes += bytes.len() as u64;
        self.disk.append(&FileKind::Snapshot.file_name(self.number), &bytes).map_err(StoreError::Io)
    }

    /// Completes and syncs the snapshot, so that the manifest may name it.
    pub fn seal(mut self) -> Result<Self, StoreError> {
        let name = FileKind::Snapshot.file_name(self.number);
        let end_frame = encode_end_frame(self.number, self.record_count);
        self.file_bytes += end_frame.len() as u64;
        let seal_result = self.disk.append(&name, &end_frame).and_then(|()| self.disk.sync(&name));
        seal_result.and_then(|()| self.disk.sync_directory()).map_err(StoreError::Io)?;
        Ok(self)
    }
}
