//! The store on a thread of its own: whoever appends never waits for a disk. What comes within a short while is
//! synced together; a disk that fails or is full is tried again, and nothing is said to be durable meanwhile.

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

/// Appends that may wait for the thread.
const WAITING: usize = 1024;
/// Records of a snapshot that are written at once.
const AT_ONCE: usize = 256;

/// A record's place among those that one writer took, from 1 on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// How long records wait for others, and a disk that failed for its next try.
#[derive(Clone, Copy, Debug)]
pub struct WriterTiming {
    pub batch_delay: Duration,
    pub retry_interval: Duration,
}

impl Default for WriterTiming {
    fn default() -> Self {
        WriterTiming { batch_delay: Duration::from_millis(2), retry_interval: Duration::from_millis(200) }
    }
}

/// Too much waits, as the disk is slow or fails, or the record is longer than [`MAX_RECORD_BYTES`]: it was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

impl fmt::Display for Busy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the store is behind: too many records wait to be synced")
    }
}

enum Work<D> {
    Append(Vec<u8>),
    Compact(Vec<Vec<u8>>),
    Sealed(Result<Compaction<D>, StoreError>),
    Stop,
}

#[derive(Default)]
struct Shared {
    durable: AtomicU64,
    failing: AtomicBool,
    failures: AtomicU64,
    compacting: AtomicBool,
    compactions: AtomicU64,
    size: AtomicU64,
    stopping: AtomicBool,
}

/// What a store has done, for metrics and for whoever decides by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterStats {
    pub durable: Ticket,
    /// The last commit failed, or the store is full: nothing new is durable until that ends.
    pub failing: bool,
    /// Commits and compactions that failed.
    pub failures: u64,
    pub compactions: u64,
    /// Bytes on the disk.
    pub size_bytes: u64,
}

/// The one who appends.
pub struct Writer<D> {
    work: SyncSender<Work<D>>,
    shared: Arc<Shared>,
    last: u64,
    thread: Option<JoinHandle<Store<D>>>,
}

impl<D: Disk + 'static> Writer<D> {
    /// `told` is called on the store's thread after each commit that succeeded, and as one fails first.
    pub fn start(
        store: Store<D>,
        pace: WriterTiming,
        told: impl Fn(WriterStats) + Send + 'static,
    ) -> std::io::Result<Writer<D>> {
        let (work, works) = sync_channel(WAITING);
        let shared = Arc::new(Shared::default());
        shared.size.store(store.size_bytes(), Ordering::Relaxed);
        let thread = Thread {
            store,
            pace,
            works,
            own: work.clone(),
            shared: shared.clone(),
            queue: VecDeque::new(),
            taken: 0,
            told: Box::new(told),
        };
        let thread = thread::Builder::new().name("store".into()).spawn(move || thread.run())?;
        Ok(Writer { work, shared, last: 0, thread: Some(thread) })
    }

    /// Hands a record over; it is durable once [`WriterStats::durable`] has reached the ticket.
    pub fn append(&mut self, record: Vec<u8>) -> Result<Ticket, Busy> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(Busy);
        }
        match self.work.try_send(Work::Append(record)) {
            Ok(()) => {
                self.last += 1;
                Ok(Ticket(self.last))
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(Busy),
        }
    }

    /// Replaces all that was appended so far by these records, beside what is appended meanwhile. False where a
    /// compaction is under way or too much waits.
    pub fn compact(&mut self, records: Vec<Vec<u8>>) -> bool {
        if self.shared.compacting.swap(true, Ordering::AcqRel) {
            return false;
        }
        let taken = self.work.try_send(Work::Compact(records)).is_ok();
        if !taken {
            self.shared.compacting.store(false, Ordering::Release);
        }
        taken
    }

    pub fn stats(&self) -> WriterStats {
        self.shared.stats()
    }

    /// Makes durable what can be, and gives the store back; `None` where its thread panicked.
    pub fn stop(mut self) -> Option<Store<D>> {
        self.end();
        self.thread.take().and_then(|thread| thread.join().ok())
    }
}

impl<D> Writer<D> {
    fn end(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        // It finds a place as soon as the thread goes on, which the flag makes sure of where the disk fails.
        _ = self.work.send(Work::Stop);
    }
}

/// The thread ends by itself, after what it can still make durable.
impl<D> Drop for Writer<D> {
    fn drop(&mut self) {
        self.end();
    }
}

impl Shared {
    fn stats(&self) -> WriterStats {
        WriterStats {
            durable: Ticket(self.durable.load(Ordering::Acquire)),
            failing: self.failing.load(Ordering::Acquire),
            failures: self.failures.load(Ordering::Relaxed),
            compactions: self.compactions.load(Ordering::Relaxed),
            size_bytes: self.size.load(Ordering::Relaxed),
        }
    }
}

struct Thread<D> {
    store: Store<D>,
    pace: WriterTiming,
    works: Receiver<Work<D>>,
    own: SyncSender<Work<D>>,
    shared: Arc<Shared>,
    /// Records that the store has not taken yet, as it is full or behind.
    queue: VecDeque<Vec<u8>>,
    /// Tickets that the store has taken.
    taken: u64,
    told: Box<dyn Fn(WriterStats) + Send>,
}

impl<D: Disk + 'static> Thread<D> {
    fn run(mut self) -> Store<D> {
        loop {
            if self.queue.len() >= WAITING {
                // Guards against a queue that grows for as long as the disk fails: nothing more is taken until it does
                // what was taken.
                thread::sleep(self.pace.retry_interval);
                self.commit();
                if self.shared.stopping.load(Ordering::Acquire) {
                    return self.store;
                }
                continue;
            }
            // Where something waits that failed, it is tried again even if nothing else comes.
            let waits = !self.queue.is_empty() || self.shared.durable.load(Ordering::Acquire) < self.taken;
            let first = match waits {
                true => self.works.recv_timeout(self.pace.retry_interval),
                false => self.works.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let mut stop = match first {
                Ok(work) => self.take(work),
                Err(RecvTimeoutError::Timeout) => self.shared.stopping.load(Ordering::Acquire),
                Err(RecvTimeoutError::Disconnected) => true,
            };
            let until = Instant::now() + self.pace.batch_delay;
            while !stop && self.queue.len() < WAITING {
                match self.works.recv_timeout(until.saturating_duration_since(Instant::now())) {
                    Ok(work) => stop = self.take(work),
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

    /// Whether this was the last.
    fn take(&mut self, work: Work<D>) -> bool {
        match work {
            Work::Append(record) => self.queue.push_back(record),
            Work::Compact(records) => {
                // It stands for all that came before it.
                self.commit();
                self.begin(records);
            }
            Work::Sealed(sealed) => self.end(sealed),
            Work::Stop => return true,
        }
        false
    }

    fn commit(&mut self) {
        let fault = loop {
            let refused = self.hand_over();
            if let Err(why) = self.store.commit() {
                break Some(why);
            }
            self.shared.durable.store(self.taken, Ordering::Release);
            // Only so much may wait to be synced: now that it is, the rest follows.
            if !matches!(refused, Some(StoreError::TooManyPending)) {
                break refused;
            }
        };
        self.shared.size.store(self.store.size_bytes(), Ordering::Relaxed);
        let failed = fault.is_some();
        if failed {
            self.shared.failures.fetch_add(1, Ordering::Relaxed);
        }
        let before = self.shared.failing.swap(failed, Ordering::AcqRel);
        if !failed || !before {
            (self.told)(self.shared.stats());
        }
    }

    /// Appends what is queued, as far as the store takes it.
    fn hand_over(&mut self) -> Option<StoreError> {
        while let Some(record) = self.queue.front() {
            match self.store.append(record) {
                Ok(_) => {
                    self.queue.pop_front();
                    self.taken += 1;
                }
                Err(why) => return Some(why),
            }
        }
        None
    }

    fn begin(&mut self, records: Vec<Vec<u8>>) {
        if !self.queue.is_empty() {
            // Not all that the records stand for is in the store, as the disk fails: what it holds stays.
            return self.end(Err(StoreError::TooManyPending));
        }
        match self.store.begin_compaction() {
            Err(why) => self.end(Err(why)),
            Ok(compaction) => {
                let own = self.own.clone();
                let write = move || {
                    let sealed = written(compaction, &records);
                    // The writer may be gone; the snapshot is then left to the next opening.
                    _ = own.send(Work::Sealed(sealed));
                };
                if thread::Builder::new().name("compaction".into()).spawn(write).is_err() {
                    self.end(Err(StoreError::TooManyPending));
                }
            }
        }
    }

    fn end(&mut self, sealed: Result<Compaction<D>, StoreError>) {
        let done = sealed.and_then(|sealed| self.store.finish_compaction(sealed));
        let counted = if done.is_ok() { &self.shared.compactions } else { &self.shared.failures };
        counted.fetch_add(1, Ordering::Relaxed);
        self.shared.size.store(self.store.size_bytes(), Ordering::Relaxed);
        self.shared.compacting.store(false, Ordering::Release);
        (self.told)(self.shared.stats());
    }
}

fn written<D: Disk>(mut compaction: Compaction<D>, records: &[Vec<u8>]) -> Result<Compaction<D>, StoreError> {
    for some in records.chunks(AT_ONCE) {
        compaction.write_records(some.iter().map(Vec::as_slice))?;
    }
    compaction.seal()
}
