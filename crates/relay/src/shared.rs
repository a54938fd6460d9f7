//! What the source's side and the subscribers' side share, on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use juniperrail_distribution::WorkerList;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::log_limit::LogLimit;
use crate::options::Options;

/// What subscribers wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Whether the list is what the source says now.
    pub in_sync: bool,
    /// Counts what came from the source.
    pub revision: u64,
}

/// The state of a relay. No borrow of it is held while anything is awaited.
pub(crate) struct Shared {
    pub options: Options,
    pub list: RefCell<WorkerList>,
    pub status: watch::Sender<Status>,
    /// When the source last ended a line.
    heard_at: Cell<Instant>,
    subscribers: Cell<usize>,
    pub refusals: LogLimit,
}

impl Shared {
    pub fn new(options: Options) -> Rc<Shared> {
        Rc::new(Shared {
            options,
            list: RefCell::new(WorkerList::new(options.limits.list)),
            status: watch::Sender::new(Status::default()),
            heard_at: Cell::new(Instant::now()),
            subscribers: Cell::new(0),
            refusals: LogLimit::default(),
        })
    }

    pub fn is_in_sync(&self) -> bool {
        self.status.borrow().in_sync
    }

    /// The source has ended a line, and the list is what it says.
    pub fn confirm(&self) {
        self.heard_at.set(Instant::now());
        let gained = |status: &mut Status| !std::mem::replace(&mut status.in_sync, true);
        if self.status.send_if_modified(gained) {
            tracing::info!("in sync with the source");
        }
    }

    /// The list has changed, or only its version.
    pub fn announce(&self) {
        self.status.send_modify(|status| status.revision += 1);
    }

    /// Sets out of step whenever the source was silent for too long; never ends.
    pub async fn expire(&self) {
        let mut status = self.status.subscribe();
        loop {
            let silent_at = self.heard_at.get() + self.options.timing.source_silence;
            if Instant::now() < silent_at {
                tokio::time::sleep_until(silent_at).await;
                continue;
            }
            if self.status.send_if_modified(|status| std::mem::take(&mut status.in_sync)) {
                let silence = self.options.timing.source_silence.as_millis();
                tracing::warn!("the source has been silent for {silence} ms: all watches end");
            }
            // The sender lives as long as this does.
            _ = status.wait_for(|status| status.in_sync).await;
        }
    }

    /// Room for one more subscriber, if there is any.
    pub fn admit(self: &Rc<Shared>) -> Option<Admission> {
        let subscribers = self.subscribers.get();
        if subscribers >= self.options.limits.subscribers {
            return None;
        }
        self.subscribers.set(subscribers + 1);
        Some(Admission(self.clone()))
    }
}

/// The room of one subscriber, given back when it is dropped.
pub(crate) struct Admission(Rc<Shared>);

impl Admission {
    pub fn shared(&self) -> &Shared {
        &self.0
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.subscribers.set(self.0.subscribers.get() - 1);
    }
}
