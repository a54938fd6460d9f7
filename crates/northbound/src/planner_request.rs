//! Messages between the datastore manager and the planner task.

use std::sync::Arc;

use juniperrail_intent::{Intent, Refusal};
use juniperrail_interface::Ms;
use tokio::sync::oneshot;

use crate::state::OperationalState;

/// Requests that may be queued; further senders wait. The planner handles at most one per turn.
pub const REQUEST_QUEUE_CAPACITY: usize = 16;
/// Notices that may be queued. Further ones are lost, but the operational state still shows their content.
pub const NOTICE_QUEUE_CAPACITY: usize = 256;

/// Whether a change was accepted as a whole, or why it was refused.
pub type Verdict = Result<(), Vec<Refusal>>;

/// A request to the planner task.
pub enum PlannerRequest {
    /// Checks an intent against the current state of the workers and applies it at once if it is accepted.
    Apply { number: u64, by: String, intent: Box<Intent>, reply: oneshot::Sender<Verdict> },
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
