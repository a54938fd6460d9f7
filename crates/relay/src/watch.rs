//! The body of an answer: a part of the list once, or followed for as long as the subscriber stays.

use std::fmt;

use bytes::Bytes;
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use hyper::body::Frame;
use juniperrail_distribution::{Cursor, Scope, Step};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

use crate::shared::{Admission, Shared, Status};

/// Why a body ends within a line.
#[derive(Debug)]
pub(crate) struct Interrupted;

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the relay is no longer in step with its source")
    }
}

impl std::error::Error for Interrupted {}

/// What a subscriber asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Question {
    /// The part of the list as it is, once.
    Once,
    /// What changes, from the version that the subscriber holds if it holds one.
    Watch { index: Option<u64> },
}

/// One subscriber being answered.
struct Subscription {
    admission: Admission,
    status: watch::Receiver<Status>,
    cursor: Cursor,
    is_watch: bool,
    /// An empty line is due by then.
    heartbeat_at: Instant,
}

/// The body, composed piece by piece as the subscriber can take it.
pub(crate) fn body(
    admission: Admission,
    scope: Scope,
    question: Question,
) -> LocalBoxStream<'static, Result<Frame<Bytes>, Interrupted>> {
    let subscription = Subscription::new(admission, scope, question);
    let pieces = stream::unfold(subscription, |mut subscription| async move {
        let piece = subscription.piece().await?;
        Some((piece.map(Frame::data), subscription))
    });
    pieces.boxed_local()
}

impl Subscription {
    fn new(admission: Admission, scope: Scope, question: Question) -> Subscription {
        let (is_watch, index) = match question {
            Question::Once => (false, None),
            Question::Watch { index } => (true, index),
        };
        let shared = admission.shared();
        let cursor = Cursor::new(scope, index, &shared.list.borrow(), shared.options.limits.cursor);
        let (status, heartbeat_at) = (shared.status.subscribe(), next_heartbeat(shared));
        Subscription { admission, status, cursor, is_watch, heartbeat_at }
    }

    /// What is to be written next; `None` at the end.
    async fn piece(&mut self) -> Option<Result<Bytes, Interrupted>> {
        let mut out = Vec::new();
        loop {
            if !self.is_watch && !self.cursor.is_in_snapshot() {
                return None;
            }
            // Seen here, so that what comes later ends the wait below.
            let in_sync = self.status.borrow_and_update().in_sync;
            let step = match in_sync {
                true => self.cursor.next(&self.admission.shared().list.borrow(), &mut out),
                false => Step::Void,
            };
            match step {
                Step::Send => return Some(Ok(self.sent(out))),
                Step::Scanning => yield_now().await,
                Step::UpToDate if self.status_changed().await => {}
                Step::UpToDate => {
                    self.cursor.heartbeat(&self.admission.shared().list.borrow(), &mut out);
                    return Some(Ok(self.sent(out)));
                }
                // A list that was asked for once is whole or broken; a watch may end between two lines.
                Step::Void => {
                    let is_broken = self.cursor.is_within_line() || !self.is_watch;
                    return is_broken.then_some(Err(Interrupted));
                }
            }
        }
    }

    /// Waits until there may be something to tell; false once a heartbeat is due.
    async fn status_changed(&mut self) -> bool {
        timeout_at(self.heartbeat_at, self.status.changed()).await.is_ok()
    }

    fn sent(&mut self, out: Vec<u8>) -> Bytes {
        self.heartbeat_at = next_heartbeat(self.admission.shared());
        out.into()
    }
}

fn next_heartbeat(shared: &Shared) -> Instant {
    Instant::now() + shared.options.timing.heartbeat
}
