//! NETCONF over SSH (RFC 6242): public key authentication only, one session per connection, in the subsystem `netconf`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::AccessControl;
use russh::keys::{PrivateKey, PublicKey};
use russh::server::{run_stream, Auth, ChannelOpenHandle, Config, Handler, Msg, Session, VerifiedPublicKey};
use russh::{Channel, ChannelId, MethodKind, MethodSet};
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout};

use crate::connection_limits::{serve_authenticated, ConnectionLimits};
use crate::service::ServerContext;
use crate::session::SessionTimeouts;

/// The SSH channel window: the bytes that a client may send before the server has read them.
const WINDOW_BYTES: u32 = 64 << 10;
/// Minimum interval between keepalive messages.
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Limits the wait for the end of a connection after the server has sent a disconnect message.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_AUTH_ATTEMPTS: usize = 4;
/// Time for the client to read the last reply and to close the connection itself.
const DISCONNECT_GRACE: Duration = Duration::from_secs(2);

/// The configuration of the SSH server. `host_key` is the server's private key.
pub fn config(host_key: PrivateKey, timeouts: SessionTimeouts) -> Config {
    Config {
        methods: MethodSet::from(&[MethodKind::PublicKey][..]),
        auth_rejection_time: Duration::from_millis(200),
        auth_rejection_time_initial: Some(Duration::ZERO),
        keys: vec![host_key],
        window_size: WINDOW_BYTES,
        channel_buffer_size: 8,
        max_auth_attempts: MAX_AUTH_ATTEMPTS,
        // The NETCONF session has its own idle timeout.
        inactivity_timeout: None,
        keepalive_interval: Some(timeouts.hello_timeout.max(MIN_KEEPALIVE_INTERVAL)),
        nodelay: true,
        ..Config::default()
    }
}

/// Handles the SSH events of one connection.
struct ConnectionHandler {
    client_address: SocketAddr,
    context: Arc<ServerContext>,
    access: watch::Receiver<AccessControl>,
    timeouts: SessionTimeouts,
    limits: ConnectionLimits,
    /// The permit of the unauthenticated connection, until the session starts.
    unauthenticated_permit: Option<OwnedSemaphorePermit>,
    user: Option<String>,
    channel: Option<Channel<Msg>>,
    /// Notified when the client has requested the subsystem `netconf`.
    session_started: Arc<tokio::sync::Notify>,
}

impl Handler for ConnectionHandler {
    type Error = russh::Error;

    async fn auth_publickey(&mut self, user: &str, key: VerifiedPublicKey<'_>) -> Result<Auth, russh::Error> {
        let is_offered_key = |authorized_key: &str| {
            PublicKey::from_openssh(authorized_key)
                .is_ok_and(|authorized_key| authorized_key.key_data() == key.public_key.key_data())
        };
        if self.access.borrow().ssh_keys(user).any(is_offered_key) {
            self.user = Some(user.to_string());
            return Ok(Auth::Accept);
        }
        tracing::info!("{user:.64?} from {} presents an unknown public key", self.client_address);
        Ok(Auth::reject())
    }

    async fn channel_open_session(
        &mut self,
        channel: Channel<Msg>,
        reply: ChannelOpenHandle,
        _: &mut Session,
    ) -> Result<(), russh::Error> {
        // One session per connection: a second channel is rejected because `reply` is dropped without an answer.
        if self.channel.is_none() && self.unauthenticated_permit.is_some() {
            self.channel = Some(channel);
            reply.accept().await;
        }
        Ok(())
    }

    async fn subsystem_request(
        &mut self,
        id: ChannelId,
        name: &str,
        session: &mut Session,
    ) -> Result<(), russh::Error> {
        let requested = self.channel.take_if(|channel| name == "netconf" && channel.id() == id);
        let (Some(channel), Some(user), Some(unauthenticated_permit)) =
            (requested, self.user.clone(), self.unauthenticated_permit.take())
        else {
            return session.channel_failure(id);
        };
        session.channel_success(id)?;
        self.session_started.notify_one();
        let (context, timeouts, limits) = (self.context.clone(), self.timeouts, self.limits.clone());
        let (handle, client_origin) = (session.handle(), format!("ssh {}", self.client_address));
        tokio::spawn(async move {
            let stream = channel.into_stream();
            let served = serve_authenticated(
                stream,
                context,
                &user,
                &client_origin,
                timeouts,
                &limits,
                unauthenticated_permit,
            )
            .await;
            if let Err(reason) = served {
                tracing::info!("no session for {user} from {client_origin}: {reason}");
            }
            _ = handle.exit_status_request(id, 0).await;
            _ = handle.close(id).await;
            // A disconnect message overtakes data that is still to be sent, such as the last reply. This gives the
            // client time to read that data and to disconnect by itself.
            sleep(DISCONNECT_GRACE).await;
            let reason = russh::Disconnect::ByApplication;
            _ = handle.disconnect(reason, String::new(), String::new()).await;
        });
        Ok(())
    }
}

/// Serves one connection until it ends.
pub async fn serve_connection(
    socket: TcpStream,
    client_address: SocketAddr,
    config: Arc<Config>,
    context: Arc<ServerContext>,
    timeouts: SessionTimeouts,
    limits: ConnectionLimits,
    unauthenticated_permit: OwnedSemaphorePermit,
) -> Result<(), String> {
    let session_started = Arc::new(tokio::sync::Notify::new());
    let handler = ConnectionHandler {
        client_address,
        access: context.datastore_manager.access_rules(),
        context,
        timeouts,
        limits,
        unauthenticated_permit: Some(unauthenticated_permit),
        user: None,
        channel: None,
        session_started: session_started.clone(),
    };
    let connection = timeout(timeouts.hello_timeout, run_stream(config, socket, handler)).await;
    let mut connection = match connection {
        Ok(connection) => connection.map_err(|error| error.to_string())?,
        Err(_) => return Err("SSH version exchange timed out".into()),
    };
    let handle = connection.handle();
    let early_result = tokio::select! {
        result = &mut connection => Some(result),
        started = timeout(timeouts.hello_timeout, session_started.notified()) => {
            if started.is_err() {
                // The client has requested no session: disconnecting it releases its permit.
                _ = handle.disconnect(russh::Disconnect::ByApplication, String::new(), String::new()).await;
                _ = timeout(DISCONNECT_TIMEOUT, &mut connection).await;
                return Err("no session was requested in time".into());
            }
            None
        }
    };
    let result = match early_result {
        Some(result) => result,
        None => connection.await,
    };
    match result {
        Ok(()) | Err(russh::Error::Disconnect | russh::Error::HUP) => Ok(()),
        // Common clients close the socket after the last reply without an SSH disconnect.
        Err(russh::Error::IO(error)) if error.kind() == std::io::ErrorKind::UnexpectedEof => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}
