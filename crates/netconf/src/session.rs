//! One NETCONF session over any byte stream: the exchange of hellos, then RPCs one at a time, with notifications in
//! between. Nothing is read while an operation runs, so that a client that floods the server only delays itself.

use std::sync::Arc;
use std::time::Duration;

use juniperrail_framing::{delimiters, Decoder, Framing};
use juniperrail_limits::{LongMessageLimiter, LongMessagePermit};
use juniperrail_model::xml::{self, Element, NETCONF_NAMESPACE};
use juniperrail_northbound::{Caller, Notification, TerminationReason};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::broadcast::{error::RecvError, Receiver};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use crate::capabilities::{BASE_1_0, BASE_1_1};
use crate::notification;
use crate::service::{RpcHandler, ServerContext, SessionAction, MAX_MESSAGE_NODES};

/// Size of the buffer for reads from the stream.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// A client that does not read a message within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// A message of more bytes needs one of the permits of [`ServerContext::long_messages`].
pub const LONG_MESSAGE_BYTES: usize = 64 << 10;

/// Time limits of a session.
#[derive(Clone, Copy, Debug)]
pub struct SessionTimeouts {
    /// Limits the exchange of hellos, and each earlier step of the transport (SSH or TLS).
    pub hello_timeout: Duration,
    /// Limits the time without a message from the client; subscribed sessions are exempt. `None` means no limit.
    pub idle_timeout: Option<Duration>,
}

/// The connection to the client: the stream and the framing of its messages.
struct Peer<S> {
    stream: S,
    decoder: Decoder,
    framing: Framing,
    long_messages: Arc<LongMessageLimiter>,
    /// Held from the time when a message proves to be long until it is handled.
    permit: Option<LongMessagePermit>,
}

/// Why messages can no longer be exchanged with the client.
enum StreamError {
    Closed,
    BadFraming(String),
    WriteTimeout,
    /// The client sends a long message slowly while other clients wait to send theirs.
    TooSlow,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Peer<S> {
    /// Reads the next message. Cancel-safe: no bytes are lost if the future is dropped while it waits.
    async fn read(&mut self) -> Result<bytes::Bytes, StreamError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            if let Some(message) =
                self.decoder.next_message().map_err(|error| StreamError::BadFraming(error.to_string()))?
            {
                return Ok(message);
            }
            if self.permit.is_none() && self.decoder.buffered_bytes() > LONG_MESSAGE_BYTES {
                self.permit = Some(self.long_messages.clone().acquire().await);
            }
            match self.read_bytes(&mut buffer).await? {
                Ok(0) | Err(_) => return Err(StreamError::Closed),
                Ok(read_bytes) => self.decoder.push(&buffer[..read_bytes]),
            }
        }
    }

    /// Reads once. Fails if the client has a permit for a long message and keeps others waiting for too long.
    async fn read_bytes(&mut self, buffer: &mut [u8]) -> Result<std::io::Result<usize>, StreamError> {
        let Some(permit) = &mut self.permit else { return Ok(self.stream.read(buffer).await) };
        let read = tokio::select! {
            biased;
            read = self.stream.read(buffer) => read,
            () = permit.stalled() => return Err(StreamError::TooSlow),
        };
        match permit.record_read() {
            true => Ok(read),
            false => Err(StreamError::TooSlow),
        }
    }

    /// Writes one message with its framing.
    async fn write(&mut self, message: &str) -> Result<(), StreamError> {
        let (header, trailer) = delimiters(self.framing, message.len());
        let written = timeout(WRITE_TIMEOUT, async {
            self.stream.write_all(header.as_bytes()).await?;
            self.stream.write_all(message.as_bytes()).await?;
            self.stream.write_all(trailer).await?;
            self.stream.flush().await
        });
        match written.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamError::Closed),
            Err(_) => Err(StreamError::WriteTimeout),
        }
    }
}

/// The server's hello.
fn hello(context: &ServerContext, session_id: u32) -> String {
    let capability = |name: &String| Element::with_text(NETCONF_NAMESPACE, "capability", &**name);
    let capabilities = context.capabilities.iter().map(capability);
    let hello = Element::new(NETCONF_NAMESPACE, "hello")
        .with_child(Element::new(NETCONF_NAMESPACE, "capabilities").with_children(capabilities))
        .with_child(Element::with_text(NETCONF_NAMESPACE, "session-id", session_id.to_string()));
    xml::write(&hello, false)
}

/// The framing that follows from the client's hello: chunked if it lists base:1.1, as the server's does. The error is
/// the reason why the hello is rejected.
fn negotiate_framing(message: &[u8]) -> Result<Framing, String> {
    let hello = xml::parse_limited(message, MAX_MESSAGE_NODES).map_err(|error| error.message)?;
    if !hello.is(NETCONF_NAMESPACE, "hello") {
        return Err(format!("expected <hello>, got <{:.60}>", hello.name));
    }
    if hello.child(NETCONF_NAMESPACE, "session-id").is_some() {
        return Err("the client's hello has a session-id".into());
    }
    let capability_elements =
        hello.child(NETCONF_NAMESPACE, "capabilities").map(|list| &list.children[..]).unwrap_or_default();
    let lists_capability = |name: &str| {
        capability_elements
            .iter()
            .any(|item| item.is(NETCONF_NAMESPACE, "capability") && item.trimmed_text() == name)
    };
    match (lists_capability(BASE_1_1), lists_capability(BASE_1_0)) {
        (true, _) => Ok(Framing::Chunked),
        (false, true) => Ok(Framing::EndOfMessage),
        (false, false) => Err("the client's hello has no supported base capability".into()),
    }
}

/// Serves one session until it ends. `client_origin` is the transport and the client's address, for the log and the
/// operational state.
pub async fn serve_session(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    context: Arc<ServerContext>,
    user: &str,
    client_origin: &str,
    timeouts: SessionTimeouts,
) {
    let Some((caller, kill_signal)) = context.datastore_manager.open_session(user, client_origin).await
    else {
        tracing::warn!("{user:?} from {client_origin} is not a configured user");
        return;
    };
    let (decoder, framing) = (Decoder::default(), Framing::EndOfMessage);
    let long_messages = context.long_messages.clone();
    let peer = Peer { stream, decoder, framing, long_messages, permit: None };
    // The guard closes the session in the datastore manager also if this future is dropped because the transport ended.
    let guard = SessionGuard { context: context.clone(), caller: Some(caller.clone()) };
    let reason = run_session(peer, context, &caller, &kill_signal, timeouts).await;
    guard.close(reason).await;
}

/// Closes the session in the datastore manager when it ends, also if the session's future is dropped.
struct SessionGuard {
    context: Arc<ServerContext>,
    caller: Option<Caller>,
}

impl SessionGuard {
    async fn close(mut self, reason: TerminationReason) {
        if let Some(caller) = self.caller.take() {
            self.context.datastore_manager.close_session(&caller, reason).await;
        }
    }
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        let Some(caller) = self.caller.take() else { return };
        let datastore_manager = self.context.datastore_manager.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                datastore_manager.close_session(&caller, TerminationReason::Dropped).await
            });
        }
    }
}

/// The notification subscription of a session.
struct Subscription {
    notifications: Receiver<Arc<Notification>>,
    /// The subtree filter of the subscriber, if any.
    filter: Option<Element>,
}

/// Exchanges hellos and then messages until the session ends. Returns why it ended.
async fn run_session<S: AsyncRead + AsyncWrite + Unpin>(
    mut peer: Peer<S>,
    context: Arc<ServerContext>,
    caller: &Caller,
    kill_signal: &Notify,
    timeouts: SessionTimeouts,
) -> TerminationReason {
    let hello_exchange = async {
        peer.write(&hello(&context, caller.session.0)).await?;
        peer.read().await
    };
    let client_hello = match timeout(timeouts.hello_timeout, hello_exchange).await {
        Ok(Ok(client_hello)) => client_hello,
        Ok(Err(_)) => return TerminationReason::Dropped,
        Err(_) => return TerminationReason::TimedOut,
    };
    match negotiate_framing(&client_hello) {
        Ok(framing) => {
            peer.framing = framing;
            peer.decoder.set_framing(framing);
        }
        Err(reason) => {
            tracing::info!("session {} is not established: {reason}", caller.session.0);
            return TerminationReason::Dropped;
        }
    }
    let mut handler = RpcHandler { context, caller: caller.clone(), subscribed: false };
    let mut subscription: Option<Subscription> = None;
    let mut last_message_at = Instant::now();
    loop {
        let idle_timeout = timeouts.idle_timeout.filter(|_| subscription.is_none());
        let idle_deadline = idle_timeout.map(|idle_timeout| last_message_at + idle_timeout);
        let next_notification = async {
            match &mut subscription {
                Some(subscription) => subscription.notifications.recv().await,
                None => std::future::pending().await,
            }
        };
        let idle_timer = async {
            match idle_deadline {
                Some(deadline) => sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        let message = tokio::select! {
            biased;
            () = kill_signal.notified() => return TerminationReason::Dropped,
            message = peer.read() => Some(message),
            received = next_notification => match received {
                Ok(notification) => {
                    let filter = subscription.as_ref().and_then(|subscription| subscription.filter.as_ref());
                    if let Some(text) = notification_text(&handler, filter, &notification).await {
                        if peer.write(&text).await.is_err() {
                            return TerminationReason::Dropped;
                        }
                    }
                    None
                }
                Err(RecvError::Lagged(lost)) => {
                    tracing::warn!("session {} reads slowly and lost {lost} notifications", caller.session.0);
                    None
                }
                Err(RecvError::Closed) => return TerminationReason::Dropped,
            },
            () = idle_timer => return TerminationReason::TimedOut,
        };
        let message = match message {
            None => continue,
            Some(Ok(message)) => message,
            Some(Err(StreamError::BadFraming(reason))) => {
                tracing::info!(
                    "session {} is closed because its framing is invalid: {reason}",
                    caller.session.0
                );
                return TerminationReason::Dropped;
            }
            Some(Err(StreamError::TooSlow)) => {
                tracing::info!("session {} kept others waiting with a long message", caller.session.0);
                return TerminationReason::TimedOut;
            }
            Some(Err(_)) => return TerminationReason::Dropped,
        };
        last_message_at = Instant::now();
        // The operation may be create-subscription: the receiver is created before the reply is sent, so that no
        // notification after the reply is missed.
        let notifications = (!handler.subscribed).then(|| handler.context.datastore_manager.subscribe());
        let (reply, action) = handler.reply(&message).await;
        drop(message);
        peer.permit = None;
        if peer.write(&reply).await.is_err() {
            return TerminationReason::Dropped;
        }
        match action {
            SessionAction::Continue => {}
            SessionAction::Close => {
                _ = timeout(WRITE_TIMEOUT, peer.stream.shutdown()).await;
                return TerminationReason::Closed;
            }
            SessionAction::Subscribe(filter) => {
                handler.subscribed = true;
                subscription = notifications.map(|notifications| Subscription { notifications, filter });
            }
        }
    }
}

/// The notification as XML, if the filter selects it and the user may read every path that the notification names.
async fn notification_text(
    handler: &RpcHandler,
    filter: Option<&Element>,
    notification: &Notification,
) -> Option<String> {
    for path in notification::configuration_paths(notification) {
        if !handler.may_read(path).await {
            return None;
        }
    }
    let context = &handler.context;
    let event =
        notification::event_element(context.datastore_manager.schema(), &context.prefixes, notification);
    let mut selected = context.apply_filter(filter, vec![event]);
    let message = notification::notification_message(context.datastore_manager.now(), selected.pop()?);
    Some(xml::write(&message, false))
}
