//! The record of one worker in the list.

use crate::change_log::ChangePosition;
use crate::entry::{IdSpan, Lifecycle};
use crate::locations::LocationId;

/// A location that a worker has left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FormerLocation {
    pub location: LocationId,
    /// The change with which the worker left it.
    pub left_at: ChangePosition,
}

/// The former locations of a worker, in the order in which it left them. The vector is boxed so that a worker without
/// any, as nearly all are, takes only one pointer.
#[allow(clippy::box_collection)]
pub(super) type FormerLocations = Option<Box<Vec<FormerLocation>>>;

/// A worker in the list, or a tombstone.
#[derive(Debug)]
pub(crate) struct Record {
    /// The entry as received. The lifecycle is replaced by `gone` if a full list did not include the worker.
    pub entry: Box<[u8]>,
    pub(super) former: FormerLocations,
    /// The version of the latest change.
    pub(super) version: u64,
    /// The number of the latest change within its version.
    pub(super) ordinal: u32,
    pub location: LocationId,
    pub(super) id: IdSpan,
    pub lifecycle: Lifecycle,
}

impl Record {
    /// The position of its latest change.
    pub fn position(&self) -> ChangePosition {
        ChangePosition { version: self.version, ordinal: self.ordinal }
    }

    pub fn former_locations(&self) -> &[FormerLocation] {
        self.former.as_deref().map(Vec::as_slice).unwrap_or_default()
    }

    /// Whether its latest change may take the worker away from a scope: a drain, a removal or a move.
    pub(super) fn is_departure(&self) -> bool {
        self.lifecycle != Lifecycle::Active || self.former.is_some()
    }
}
