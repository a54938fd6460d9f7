//! The body of a response with a part of the list, sent once or followed by its changes until the subscriber
//! disconnects.

use std::fmt;

use bytes::Bytes;
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use hyper::body::Frame;
use juniperrail_distribution::{Cursor, Scope, Step};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

use crate::shared::{Admission, Shared, Status};

/// The error that ends an incomplete body.
#[derive(Debug)]
pub(crate) struct Interrupted;

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the relay is no longer in sync with its source")
    }
}

impl std::error::Error for Interrupted {}

/// What a subscriber requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ListRequest {
    /// The current part of the list, once.
    Once,
    /// The list followed by its changes, or only the changes since the subscriber's current version if it has one.
    Watch { index: Option<u64> },
}

/// The response to one subscriber while it is being sent.
struct Subscription {
    admission: Admission,
    status: watch::Receiver<Status>,
    cursor: Cursor,
    is_watch: bool,
    /// When the next heartbeat is due.
    heartbeat_at: Instant,
}

/// The body of the response, composed chunk by chunk as the subscriber can take it.
pub(crate) fn list_body(
    admission: Admission,
    scope: Scope,
    request: ListRequest,
) -> LocalBoxStream<'static, Result<Frame<Bytes>, Interrupted>> {
    let subscription = Subscription::new(admission, scope, request);
    let chunks = stream::unfold(subscription, |mut subscription| async move {
        let chunk = subscription.next_chunk().await?;
        Some((chunk.map(Frame::data), subscription))
    });
    chunks.boxed_local()
}

impl Subscription {
    fn new(admission: Admission, scope: Scope, request: ListRequest) -> Subscription {
        let (is_watch, index) = match request {
            ListRequest::Once => (false, None),
            ListRequest::Watch { index } => (true, index),
        };
        let shared = admission.shared();
        let cursor = Cursor::new(scope, index, &shared.list.borrow(), shared.options.limits.cursor);
        let (status, heartbeat_at) = (shared.status.subscribe(), next_heartbeat(shared));
        Subscription { admission, status, cursor, is_watch, heartbeat_at }
    }

    /// The next chunk of the body; `None` at its end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, Interrupted>> {
        let mut out = Vec::new();
        loop {
            if !self.is_watch && !self.cursor.is_in_snapshot() {
                return None;
            }
            // Marks the status as seen, so that any later change ends the wait below.
            let in_sync = self.status.borrow_and_update().in_sync;
            let step = match in_sync {
                true => self.cursor.next(&self.admission.shared().list.borrow(), &mut out),
                false => Step::Invalidated,
            };
            match step {
                Step::Send => return Some(Ok(self.finish_chunk(out))),
                Step::Scanning => yield_now().await,
                Step::UpToDate if self.status_changed().await => {}
                Step::UpToDate => {
                    self.cursor.heartbeat(&self.admission.shared().list.borrow(), &mut out);
                    return Some(Ok(self.finish_chunk(out)));
                }
                // A list that is requested once and cut off must not look complete. A watch may end between two lines.
                Step::Invalidated => {
                    let is_truncated = self.cursor.is_within_line() || !self.is_watch;
                    return is_truncated.then_some(Err(Interrupted));
                }
            }
        }
    }

    /// Waits until there may be something to send. False if a heartbeat is due first.
    async fn status_changed(&mut self) -> bool {
        timeout_at(self.heartbeat_at, self.status.changed()).await.is_ok()
    }

    /// Converts the output to a chunk, and postpones the next heartbeat.
    fn finish_chunk(&mut self, out: Vec<u8>) -> Bytes {
        self.heartbeat_at = next_heartbeat(self.admission.shared());
        out.into()
    }
}

fn next_heartbeat(shared: &Shared) -> Instant {
    Instant::now() + shared.options.timing.heartbeat_interval
}
