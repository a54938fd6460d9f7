//! The operators' intent and its life cycle, without I/O and without a clock: the datastores with their locks,
//! versions and confirmed commits ([`Datastores`]), how discovery, the operator and the failover plan compose into
//! one view of each worker ([`Composer`]), the admission checks of a commit ([`check_change`]), access control
//! ([`AccessControl`]), and how far a change has been distributed ([`ChangeTracker`]).

mod access;
mod admission;
mod compose;
mod datastores;
mod edit;
mod intent;
mod progress;

pub use access::{AccessControl, AccessOperation, CertToName, Role};
pub use admission::{check_against_settings, check_change, check_placements, AdmissionContext, Refusal};
pub use compose::{ComposedWorker, Composer, IntentChange, Origin};
pub use datastores::{
    Commit, CommitOutcome, Datastore, DatastoreError, Datastores, Proposal, Session, Version,
};
pub use edit::{edit_config, DefaultOperation, ErrorOption};
pub use intent::{DesiredState, Intent, OperationIntent, Placement, WorkerIntent};
pub use progress::{Change, ChangeTracker, Stage};
