//! How many connections and sessions there may be, for both transports together.

use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::service::Shared;
use crate::session::{serve, Limits};

/// How many may be here: those whom nobody knows yet have places of their own, so that they take no session's.
#[derive(Clone)]
pub struct Places {
    strangers: Arc<Semaphore>,
    sessions: Arc<Semaphore>,
}

impl Places {
    pub fn new(sessions: usize) -> Places {
        let strangers = (sessions / 2).clamp(1, 32);
        Places {
            strangers: Arc::new(Semaphore::new(strangers)),
            sessions: Arc::new(Semaphore::new(sessions)),
        }
    }

    /// A place for somebody whom nobody knows yet.
    pub fn stranger(&self) -> Option<OwnedSemaphorePermit> {
        self.strangers.clone().try_acquire_owned().ok()
    }

    /// A place for a session, if there is one left.
    pub fn session(&self) -> Option<OwnedSemaphorePermit> {
        self.sessions.clone().try_acquire_owned().ok()
    }
}

/// Somebody who is known by now: the stranger's place goes, a session's is taken.
pub async fn known(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    shared: Arc<Shared>,
    user: &str,
    from: &str,
    limits: Limits,
    places: &Places,
    place: OwnedSemaphorePermit,
) -> Result<(), String> {
    let _session = places.session().ok_or("there are as many sessions as may be")?;
    drop(place);
    serve(stream, shared, user, from, limits).await;
    Ok(())
}
