//! An embedded, ordered, single-writer log store. Records are appended to segments, committed in batches, and recovered
//! in order after a crash or a disk fault. The store does not interpret the records.
//!
//! A record is durable once [`Store::commit`] has returned its sequence number or a later one. From then on it is
//! either recovered or reported as damage: records are never silently dropped and never invented. Of records that were
//! appended but not committed, a prefix may be recovered.

mod disk;
mod format;
mod recover;
pub mod sim;
mod store;
mod writer;

pub use disk::{DirectoryDisk, Disk};
pub use format::{Seq, FORMAT_VERSION, MAX_RECORD_BYTES};
pub use recover::{Damage, Recovered};
pub use store::{Compaction, Limits, OpenError, Opened, Store, StoreError};
pub use writer::{Busy, Ticket, Writer, WriterStats, WriterTiming};
