//! Stragglers in gangs: workers that together do one bulk run, in parts, often in rounds of which none begins before the
//! last is over, so that one slow worker holds all. No I/O, clock or thread.
//!
//! [`Gang`] takes late, lossy and reordered sums of progress. A worker's rate is held against that of its peers of like
//! kind (machine, warm or cold), in the logarithm, by median and median deviation, so that neither a slow kind of machine
//! nor a few stragglers move what is usual. Each new sum adds to what speaks for a straggler and against it (Wald's
//! sequential test, 1945, as Page's cumulative sum, 1954, so that one that is well again is let off); a [`Verdict`]
//! says how sure it is and how many more sums it would take. What is done about it ([`Mitigation`]) follows the cause and a
//! budget of extra work: the thoughts are those published of LATE (progress rates), Mantri (answers by cause, only where
//! they save time) and Dolly (clones within a budget).

mod answer;
mod gang;
mod progress;

pub use answer::{Budget, Mitigation};
pub use gang::{Cause, Gang, Verdict};
pub use progress::{Attempt, PartId, ProgressReport, WorkerKind};
