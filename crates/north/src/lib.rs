//! The one way from the north into a manager, whatever protocol speaks there. A [`Keeper`] owns the datastores;
//! what changes running is asked of the task that owns the decisions ([`Ask`]), over one bounded queue, and that
//! task never waits for anybody here. Fronts hold a [`Keeper`] and decide nothing.

mod ask;
mod file;
mod keeper;
mod state;

pub use ask::{Notice, PlannerRequest, Verdict, NOTICE_QUEUE_CAPACITY, REQUEST_QUEUE_CAPACITY};
pub use file::OperatorFile;
pub use keeper::{Caller, DatastoreManager, Notification, Source, TerminationReason, TestOption};
pub use state::{
    ChangeState, FleetState, OperationState, ProxyState, ScheduleState, State, TableState, VersionState,
    VersionsState, WorkerState,
};
