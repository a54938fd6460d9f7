//! Runs a store on its own thread, so that appending never waits for the disk. Records that arrive within a short time
//! are synced together. A failed commit is retried, also when the disk is full; until it succeeds, no further record is
//! reported as durable.

use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::disk::Disk;
use crate::format::MAX_RECORD_BYTES;
use crate::store::{Compaction, Store, StoreError};

/// The capacity of the channel to the writer thread, and of the thread's own queue.
const MAX_QUEUED_RECORDS: usize = 1024;
/// Records of a snapshot that are written in one append.
const SNAPSHOT_BATCH_RECORDS: usize = 256;

/// Numbers the records that one writer has accepted, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The delays of a writer.
#[derive(Clone, Copy, Debug)]
pub struct WriterTiming {
    /// How long the writer waits for further records after the first one of a batch, to sync them together.
    pub batch_delay: Duration,
    /// The time between two commits while the disk fails.
    pub retry_interval: Duration,
}

impl Default for WriterTiming {
    fn default() -> Self {
        WriterTiming { batch_delay: Duration::from_millis(2), retry_interval: Duration::from_millis(200) }
    }
}

/// The record was not accepted: the queue is full because the disk is slow or fails, the record is longer than
/// [`MAX_RECORD_BYTES`], or the writer thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

impl fmt::Display for Busy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the store is behind: too many records wait to be synced")
    }
}

/// A request to the writer thread.
enum Work<D> {
    Append(Vec<u8>),
    Compact(Vec<Vec<u8>>),
    /// The snapshot of a compaction was written, or writing it failed.
    Sealed(Result<Compaction<D>, StoreError>),
    Stop,
}

/// The state that the handle and the thread share: the values of [`WriterStats`], whether a compaction runs, and the
/// request to stop.
#[derive(Default)]
struct Shared {
    durable_ticket: AtomicU64,
    failing: AtomicBool,
    failures: AtomicU64,
    compacting: AtomicBool,
    compactions: AtomicU64,
    size_bytes: AtomicU64,
    stopping: AtomicBool,
}

/// The progress and health of a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterStats {
    /// The ticket of the last durable record.
    pub durable: Ticket,
    /// The last commit failed or the store is full: no further record is durable until a commit succeeds.
    pub failing: bool,
    /// Failed commits and compactions.
    pub failures: u64,
    /// Successful compactions.
    pub compactions: u64,
    /// The size of all files together.
    pub size_bytes: u64,
}

/// The handle of a store that runs on its own thread.
pub struct Writer<D> {
    work_sender: SyncSender<Work<D>>,
    shared: Arc<Shared>,
    last_ticket: u64,
    thread: Option<JoinHandle<Store<D>>>,
}

impl<D: Disk + 'static> Writer<D> {
    /// Starts the writer thread. It calls `on_change` after each successful commit, after the first of a series of
    /// failed ones, and when a compaction ends.
    pub fn start(
        store: Store<D>,
        timing: WriterTiming,
        on_change: impl Fn(WriterStats) + Send + 'static,
    ) -> std::io::Result<Writer<D>> {
        let (work_sender, work_receiver) = sync_channel(MAX_QUEUED_RECORDS);
        let shared = Arc::new(Shared::default());
        shared.size_bytes.store(store.size_bytes(), Ordering::Relaxed);
        let thread = WriterThread {
            store,
            timing,
            work_receiver,
            own_sender: work_sender.clone(),
            shared: shared.clone(),
            queue: VecDeque::new(),
            accepted_count: 0,
            on_change: Box::new(on_change),
        };
        let thread = thread::Builder::new().name("store".into()).spawn(move || thread.run())?;
        Ok(Writer { work_sender, shared, last_ticket: 0, thread: Some(thread) })
    }

    /// Queues a record. It is durable once [`WriterStats::durable`] has reached the ticket.
    pub fn append(&mut self, record: Vec<u8>) -> Result<Ticket, Busy> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(Busy);
        }
        match self.work_sender.try_send(Work::Append(record)) {
            Ok(()) => {
                self.last_ticket += 1;
                Ok(Ticket(self.last_ticket))
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(Busy),
        }
    }

    /// Starts to replace all records that were appended so far by `records`. Records that are appended later are kept.
    /// Returns `false` if a compaction is running or the queue is full.
    pub fn compact(&mut self, records: Vec<Vec<u8>>) -> bool {
        if self.shared.compacting.swap(true, Ordering::AcqRel) {
            return false;
        }
        let queued = self.work_sender.try_send(Work::Compact(records)).is_ok();
        if !queued {
            self.shared.compacting.store(false, Ordering::Release);
        }
        queued
    }

    pub fn stats(&self) -> WriterStats {
        self.shared.stats()
    }

    /// Commits the queued records if the disk allows it and returns the store; `None` if its thread panicked.
    pub fn stop(mut self) -> Option<Store<D>> {
        self.send_stop();
        self.thread.take().and_then(|thread| thread.join().ok())
    }
}

impl<D> Writer<D> {
    fn send_stop(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        // Blocks until the channel has room. While the disk fails, the flag makes the thread end and close the channel.
        _ = self.work_sender.send(Work::Stop);
    }
}

/// Does not join the thread, which ends on its own after a last commit.
impl<D> Drop for Writer<D> {
    fn drop(&mut self) {
        self.send_stop();
    }
}

impl Shared {
    fn stats(&self) -> WriterStats {
        WriterStats {
            durable: Ticket(self.durable_ticket.load(Ordering::Acquire)),
            failing: self.failing.load(Ordering::Acquire),
            failures: self.failures.load(Ordering::Relaxed),
            compactions: self.compactions.load(Ordering::Relaxed),
            size_bytes: self.size_bytes.load(Ordering::Relaxed),
        }
    }
}

struct WriterThread<D> {
    store: Store<D>,
    timing: WriterTiming,
    work_receiver: Receiver<Work<D>>,
    /// Sends the result of the compaction thread to this thread.
    own_sender: SyncSender<Work<D>>,
    shared: Arc<Shared>,
    /// Received records that the store has not accepted yet. They stay queued while it is full or has too many pending
    /// bytes.
    queue: VecDeque<Vec<u8>>,
    /// The number of records that the store has accepted.
    accepted_count: u64,
    on_change: Box<dyn Fn(WriterStats) + Send>,
}

impl<D: Disk + 'static> WriterThread<D> {
    fn run(mut self) -> Store<D> {
        loop {
            if self.queue.len() >= MAX_QUEUED_RECORDS {
                // Bounds the queue while the disk fails: no further record is received until the store has accepted the
                // queued ones.
                thread::sleep(self.timing.retry_interval);
                self.commit();
                if self.shared.stopping.load(Ordering::Acquire) {
                    return self.store;
                }
                continue;
            }
            // After a failed commit, retries even if no further work arrives.
            let retry_needed = !self.queue.is_empty()
                || self.shared.durable_ticket.load(Ordering::Acquire) < self.accepted_count;
            let first_work = match retry_needed {
                true => self.work_receiver.recv_timeout(self.timing.retry_interval),
                false => self.work_receiver.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let mut stop = match first_work {
                Ok(work) => self.handle_work(work),
                Err(RecvTimeoutError::Timeout) => self.shared.stopping.load(Ordering::Acquire),
                Err(RecvTimeoutError::Disconnected) => true,
            };
            let batch_deadline = Instant::now() + self.timing.batch_delay;
            while !stop && self.queue.len() < MAX_QUEUED_RECORDS {
                match self
                    .work_receiver
                    .recv_timeout(batch_deadline.saturating_duration_since(Instant::now()))
                {
                    Ok(work) => stop = self.handle_work(work),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => stop = true,
                }
            }
            self.commit();
            if stop {
                return self.store;
            }
        }
    }

    /// Returns `true` if the thread is to stop.
    fn handle_work(&mut self, work: Work<D>) -> bool {
        match work {
            Work::Append(record) => self.queue.push_back(record),
            Work::Compact(records) => {
                // The snapshot replaces all records that were queued before it.
                self.commit();
                self.begin_compaction(records);
            }
            Work::Sealed(sealed) => self.end_compaction(sealed),
            Work::Stop => return true,
        }
        false
    }

    fn commit(&mut self) {
        let error = loop {
            let rejection = self.append_queued();
            if let Err(error) = self.store.commit() {
                break Some(error);
            }
            self.shared.durable_ticket.store(self.accepted_count, Ordering::Release);
            // The store limits its pending bytes: now that they are synced, it accepts the remaining records.
            if !matches!(rejection, Some(StoreError::TooManyPending)) {
                break rejection;
            }
        };
        self.shared.size_bytes.store(self.store.size_bytes(), Ordering::Relaxed);
        let failed = error.is_some();
        if failed {
            self.shared.failures.fetch_add(1, Ordering::Relaxed);
        }
        let was_failing = self.shared.failing.swap(failed, Ordering::AcqRel);
        if !failed || !was_failing {
            (self.on_change)(self.shared.stats());
        }
    }

    /// Appends queued records until the store rejects one, and returns its error; `None` if the store has accepted all.
    fn append_queued(&mut self) -> Option<StoreError> {
        while let Some(record) = self.queue.front() {
            match self.store.append(record) {
                Ok(_) => {
                    self.queue.pop_front();
                    self.accepted_count += 1;
                }
                Err(error) => return Some(error),
            }
        }
        None
    }

    fn begin_compaction(&mut self, records: Vec<Vec<u8>>) {
        if !self.queue.is_empty() {
            // The store has not yet accepted all records that the snapshot would replace: the compaction fails and
            // leaves the store unchanged.
            return self.end_compaction(Err(StoreError::TooManyPending));
        }
        match self.store.begin_compaction() {
            Err(error) => self.end_compaction(Err(error)),
            Ok(compaction) => {
                let own_sender = self.own_sender.clone();
                let write_and_report = move || {
                    let sealed = write_snapshot(compaction, &records);
                    // If the writer thread has ended, the snapshot is removed when the store is next opened.
                    _ = own_sender.send(Work::Sealed(sealed));
                };
                if thread::Builder::new().name("compaction".into()).spawn(write_and_report).is_err() {
                    self.end_compaction(Err(StoreError::TooManyPending));
                }
            }
        }
    }

    fn end_compaction(&mut self, sealed: Result<Compaction<D>, StoreError>) {
        let finish_result = sealed.and_then(|sealed| self.store.finish_compaction(sealed));
        let counter = if finish_result.is_ok() { &self.shared.compactions } else { &self.shared.failures };
        counter.fetch_add(1, Ordering::Relaxed);
        self.shared.size_bytes.store(self.store.size_bytes(), Ordering::Relaxed);
        self.shared.compacting.store(false, Ordering::Release);
        (self.on_change)(self.shared.stats());
    }
}

fn write_snapshot<D: Disk>(
    mut compaction: Compaction<D>,
    records: &[Vec<u8>],
) -> Result<Compaction<D>, StoreError> {
    for batch in records.chunks(SNAPSHOT_BATCH_RECORDS) {
        compaction.write_records(batch.iter().map(Vec::as_slice))?;
    }
    compaction.seal()
}
