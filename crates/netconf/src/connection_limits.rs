//! Limits on connections and sessions, shared by both transports.

use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::service::ServerContext;
use crate::session::{serve_session, SessionTimeouts};

/// Maximum number of unauthenticated connections, however many sessions are allowed.
const MAX_UNAUTHENTICATED_CONNECTIONS: usize = 32;

/// Limits on unauthenticated connections and on sessions. The two are separate, so that unauthenticated connections
/// cannot use up the sessions of authenticated users.
#[derive(Clone)]
pub struct ConnectionLimits {
    unauthenticated: Arc<Semaphore>,
    sessions: Arc<Semaphore>,
}

impl ConnectionLimits {
    /// Limits for at most `max_sessions` sessions and half as many unauthenticated connections, but no fewer than one
    /// and no more than `MAX_UNAUTHENTICATED_CONNECTIONS`.
    pub fn new(max_sessions: usize) -> ConnectionLimits {
        let max_unauthenticated = (max_sessions / 2).clamp(1, MAX_UNAUTHENTICATED_CONNECTIONS);
        ConnectionLimits {
            unauthenticated: Arc::new(Semaphore::new(max_unauthenticated)),
            sessions: Arc::new(Semaphore::new(max_sessions)),
        }
    }

    /// Acquires a permit for an unauthenticated connection; `None` if the limit is reached.
    pub fn acquire_unauthenticated(&self) -> Option<OwnedSemaphorePermit> {
        self.unauthenticated.clone().try_acquire_owned().ok()
    }

    /// Acquires a permit for a session; `None` if the limit is reached.
    pub fn acquire_session(&self) -> Option<OwnedSemaphorePermit> {
        self.sessions.clone().try_acquire_owned().ok()
    }
}

/// Serves the session of an authenticated user; `client_origin` as in [`serve_session`]. The session takes a permit of
/// its own, and the permit of the unauthenticated connection is released.
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
