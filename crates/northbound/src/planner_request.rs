//! Messages between the datastore manager and the planner task.

use std::sync::Arc;

use juniperrail_intent::{Intent, IntentChange, Refusal};
use juniperrail_interface::Ms;
use tokio::sync::oneshot;

use crate::state::OperationalState;

/// The capacity of the request queue; further senders wait. The planner task handles at most one request per turn.
pub const REQUEST_QUEUE_CAPACITY: usize = 16;
/// The capacity of the queue of notices, and of the queue of notifications for each subscriber. Notices beyond it are
/// lost, but the operational state still shows their content.
pub const NOTICE_QUEUE_CAPACITY: usize = 256;

/// The planner's answer to a change: accepted completely, or refused for the given reasons.
pub type Verdict = Result<(), Vec<Refusal>>;

/// A request to the planner task.
pub enum PlannerRequest {
    /// Checks an intent against the current state of the manager and applies it at once if it is accepted. `number` is
    /// the version of running that it becomes.
    Apply {
        number: u64,
        author: String,
        intent: Box<Intent>,
        change: IntentChange,
        reply: oneshot::Sender<Verdict>,
    },
    /// Checks an intent without applying it.
    Validate { intent: Box<Intent>, reply: oneshot::Sender<Verdict> },
    /// Requests the operational state.
    State(oneshot::Sender<Arc<OperationalState>>),
}

/// An unsolicited message from the planner task.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Every joined proxy has applied a change, this long after it was accepted.
    Applied { number: u64, after: Ms },
}
