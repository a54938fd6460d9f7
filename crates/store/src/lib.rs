//! An embedded, ordered, single-writer store: records are appended to segments, committed together, and recovered in
//! their order after whatever happened to the disk. What the records mean is known elsewhere.
//!
//! A record is durable once [`Store::commit`] came back with its sequence, and from then on it is recovered or the
//! damage is told: never silently left out, never invented. What was appended and not committed may be recovered or
//! not, as a prefix.

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
