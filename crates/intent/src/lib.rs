//! What operators want, and what becomes of it. All of it is decided here without I/O and without a clock: the
//! datastores with their locks, versions and confirmed commits ([`Datastores`]), how the words of discovery and
//! of the operator compose ([`Composer`]), what a commit is refused for ([`judge`]), who may read and write
//! what ([`Access`]), and how far a change has come ([`Progress`]).

mod access;
mod compose;
mod edit;
mod judge;
mod progress;
mod stores;
mod want;

pub use access::{Access, Doing, NameFrom, Role};
pub use compose::{Composed, Composer, Source};
pub use edit::{edit, DefaultOp, Errors};
pub use judge::{judge, judge_alone, Refusal, World};
pub use progress::{Change, Progress, Stage};
pub use stores::{Commit, Concluded, Datastores, Proposal, Refused, Session, Store, Version};
pub use want::{Intent, Place, Wanted, Wish};
