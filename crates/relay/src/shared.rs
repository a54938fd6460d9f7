//! The state that the watch of the source and the connections of subscribers share, on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use juniperrail_distribution::WorkerList;
use juniperrail_limits::LogLimit;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::options::Options;

/// The state whose changes subscribers wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Whether the list is the current one of the source.
    pub in_sync: bool,
    /// Increases with every line of the source that is applied.
    pub revision: u64,
}

/// The state of a relay. None of it may be borrowed across an await.
pub(crate) struct Shared {
    pub options: Options,
    pub list: RefCell<WorkerList>,
    pub status: watch::Sender<Status>,
    /// When the source last confirmed that the list is current.
    confirmed_at: Cell<Instant>,
    subscriber_count: Cell<usize>,
    pub refusal_log: LogLimit,
}

impl Shared {
    pub fn new(options: Options) -> Rc<Shared> {
        Rc::new(Shared {
            options,
            list: RefCell::new(WorkerList::new(options.limits.list)),
            status: watch::Sender::new(Status::default()),
            confirmed_at: Cell::new(Instant::now()),
            subscriber_count: Cell::new(0),
            refusal_log: LogLimit::default(),
        })
    }

    pub fn is_in_sync(&self) -> bool {
        self.status.borrow().in_sync
    }

    /// Records that the source has confirmed the list, by a list that was applied or by a heartbeat.
    pub fn confirm(&self) {
        self.confirmed_at.set(Instant::now());
        let set_in_sync = |status: &mut Status| !std::mem::replace(&mut status.in_sync, true);
        if self.status.send_if_modified(set_in_sync) {
            tracing::info!("in sync with the source");
        }
    }

    /// Notifies subscribers that the list, or only its version, may have changed.
    pub fn notify_subscribers(&self) {
        self.status.send_modify(|status| status.revision += 1);
    }

    /// Marks the list as out of sync whenever the source has not confirmed it in time: the source sends nothing, or is
    /// behind. Never returns.
    pub async fn expire_sync(&self) {
        let mut status = self.status.subscribe();
        loop {
            let expires_at = self.confirmed_at.get() + self.options.timing.source_timeout;
            if Instant::now() < expires_at {
                tokio::time::sleep_until(expires_at).await;
                continue;
            }
            if self.status.send_if_modified(|status| std::mem::take(&mut status.in_sync)) {
                let timeout_ms = self.options.timing.source_timeout.as_millis();
                tracing::warn!("the source has not confirmed the list for {timeout_ms} ms: all watches end");
            }
            // Cannot fail, because `self` owns the sender.
            _ = status.wait_for(|status| status.in_sync).await;
        }
    }

    /// Admits one more subscriber, unless the limit is reached.
    pub fn admit(self: &Rc<Shared>) -> Option<Admission> {
        let subscriber_count = self.subscriber_count.get();
        if subscriber_count >= self.options.limits.subscribers {
            return None;
        }
        self.subscriber_count.set(subscriber_count + 1);
        Some(Admission(self.clone()))
    }
}

/// Counts one subscriber towards the limit until it is dropped.
pub(crate) struct Admission(Rc<Shared>);

impl Admission {
    pub fn shared(&self) -> &Shared {
        &self.0
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.subscriber_count.set(self.0.subscriber_count.get() - 1);
    }
}
