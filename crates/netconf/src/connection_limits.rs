//! Limits on connections and sessions, shared by both transports.

use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::service::ServerContext;
use crate::session::{serve_session, SessionTimeouts};

/// The largest limit on connections that are not authenticated yet.
const MAX_UNAUTHENTICATED: usize = 32;

/// Connections that are not authenticated yet have a limit of their own, so that they cannot use up the sessions of
/// authenticated users.
#[derive(Clone)]
pub struct ConnectionLimits {
    unauthenticated: Arc<Semaphore>,
    sessions: Arc<Semaphore>,
}

impl ConnectionLimits {
    /// Limits for at most `max_sessions` sessions.
    pub fn new(max_sessions: usize) -> ConnectionLimits {
        let max_unauthenticated = (max_sessions / 2).clamp(1, MAX_UNAUTHENTICATED);
        ConnectionLimits {
            unauthenticated: Arc::new(Semaphore::new(max_unauthenticated)),
            sessions: Arc::new(Semaphore::new(max_sessions)),
        }
    }

    /// A permit for a connection that is not authenticated yet. `None` if the limit is reached.
    pub fn acquire_unauthenticated(&self) -> Option<OwnedSemaphorePermit> {
        self.unauthenticated.clone().try_acquire_owned().ok()
    }

    /// A permit for a session. `None` if the limit is reached.
    pub fn acquire_session(&self) -> Option<OwnedSemaphorePermit> {
        self.sessions.clone().try_acquire_owned().ok()
    }
}

/// Serves the session of an authenticated user; `client_origin` as in [`serve_session`]. A session permit replaces the
/// permit of the unauthenticated connection.
pub async fn serve_authenticated(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    context: Arc<ServerContext>,
    user: &str,
    client_origin: &str,
    timeouts: SessionTimeouts,
    limits: &ConnectionLimits,
    unauthenticated_permit: OwnedSemaphorePermit,
) -> Result<(), String> {
    let _session_permit = limits.acquire_session().ok_or("the maximum number of sessions is reached")?;
    drop(unauthenticated_permit);
    serve_session(stream, context, user, client_origin, timeouts).await;
    Ok(())
}
