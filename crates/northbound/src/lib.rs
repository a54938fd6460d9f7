//! The northbound management interface of a manager, independent of the protocol server in front of it. A
//! [`DatastoreManager`] owns the datastores and the sessions. Changes to running are sent to the planner task as a
//! [`PlannerRequest`] over one bounded queue; the planner task never waits for this crate. Protocol servers call the
//! [`DatastoreManager`] and make no decisions of their own.

mod datastore_manager;
mod file;
mod planner_request;
mod state;

pub use datastore_manager::{Caller, DatastoreManager, Notification, Source, TerminationReason, TestOption};
pub use file::OperatorFile;
pub use planner_request::{Notice, PlannerRequest, Verdict, NOTICE_QUEUE_CAPACITY, REQUEST_QUEUE_CAPACITY};
pub use state::{
    ChangeState, FinishedOccurrence, FleetState, MemberState, OperationState, OperationalState, ProxyState,
    ScheduleState, TableState, VersionState, VersionsState, WorkerState, ZonePlanState,
};
