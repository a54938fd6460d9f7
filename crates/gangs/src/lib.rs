//! Straggler detection in gangs: groups of workers that run the parts of one bulk job, often in rounds. A round starts
//! only when the previous one has finished, so one slow worker delays the job. This crate has no I/O, clock or thread.
//!
//! [`Gang`] takes progress reports, which may be delayed, lost and reordered. It compares a worker's rate with the rates of
//! its peers, which are the workers of the same kind (machine type, warm or cold). The comparison uses logarithms, the
//! median and the median absolute deviation, so that neither a slow machine type nor a few stragglers shift the baseline.
//! Each report adds evidence for or against a straggler (Wald's sequential test, 1945, in the form of Page's cumulative
//! sum, 1954, so that a worker that has recovered is cleared). A [`Verdict`] states the confidence and how many more
//! reports are needed.
//!
//! The [`Mitigation`] depends on the cause and on a [`Budget`] of extra work. It follows the published designs of LATE
//! (progress rates), Mantri (mitigation by cause, only where it saves time) and Dolly (clones within a budget).

mod gang;
mod mitigation;
mod progress;

pub use gang::{Cause, Gang, Verdict};
pub use mitigation::{Budget, Mitigation};
pub use progress::{Attempt, PartId, ProgressReport, WorkerKind};
