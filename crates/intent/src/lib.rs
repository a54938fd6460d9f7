//! What operators want, and what becomes of it. All of it is decided here without I/O and without a clock: the
//! datastores with their locks, versions and confirmed commits ([`Datastores`]), how the words of discovery and
//! of the operator compose ([`Composer`]), what a commit is refused for ([`judge`]), who may read and write
//! what ([`AccessControl`]), and how far a change has come ([`ChangeTracker`]).

mod access;
mod compose;
mod edit;
mod judge;
mod progress;
mod stores;
mod want;

pub use access::{AccessControl, AccessOperation, CertToName, Role};
pub use compose::{ComposedWorker, Composer, Origin};
pub use edit::{edit_config, DefaultOperation, ErrorOption};
pub use judge::{check_against_settings, check_change, AdmissionContext, Refusal};
pub use progress::{Change, ChangeTracker, Stage};
pub use stores::{Commit, CommitOutcome, Datastore, DatastoreError, Datastores, Proposal, Session, Version};
pub use want::{DesiredState, Intent, Placement, WorkerIntent};
