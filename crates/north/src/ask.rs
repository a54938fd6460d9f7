//! What the north asks of the task that owns the decisions, and what that tells by itself.

use std::sync::Arc;

use juniperrail_intent::{Intent, Refusal};
use juniperrail_interface::Ms;
use tokio::sync::oneshot;

use crate::state::State;

/// Asks that may wait; whoever brings more waits, in the north. At most one is taken a turn.
pub const REQUEST_QUEUE_CAPACITY: usize = 16;
/// Notices that may wait; more are lost, and the state still tells what they would have.
pub const NOTICE_QUEUE_CAPACITY: usize = 256;

/// Whether a change was taken over, whole.
pub type Verdict = Result<(), Vec<Refusal>>;

pub enum PlannerRequest {
    /// To judge an intent against the world and take it over at once if that bears it.
    Apply {
        number: u64,
        by: String,
        intent: Box<Intent>,
        verdict: oneshot::Sender<Verdict>,
    },
    /// To judge it only.
    Validate {
        intent: Box<Intent>,
        verdict: oneshot::Sender<Verdict>,
    },
    State(oneshot::Sender<Arc<State>>),
}

/// What the task that owns the decisions tells by itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Every joined proxy holds a change, so long after it was taken.
    Applied { number: u64, after: Ms },
}
