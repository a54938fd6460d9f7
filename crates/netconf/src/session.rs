//! One NETCONF session over any stream of bytes: hellos, then one message after the other, with notifications
//! between them. While an operation is under way nothing more is read, so that who floods waits for itself.

use std::sync::Arc;
use std::time::Duration;

use juniperrail_framing::{around, Decoder, Framing};
use juniperrail_model::xml::{self, Element, NETCONF};
use juniperrail_northbound::{Caller, Notification, TerminationReason};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::broadcast::{error::RecvError, Receiver};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use crate::names::{BASE_1_0, BASE_1_1};
use crate::notify;
use crate::service::{Service, Shared, Then};

/// Bytes taken from the stream at a time.
const ROOM: usize = 16 << 10;
/// Who does not take a reply within this is gone.
const WRITE_WITHIN: Duration = Duration::from_secs(30);

/// How long a session may take to begin, and may say nothing.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub hello_within: Duration,
    pub idle_within: Option<Duration>,
}

struct Peer<S> {
    stream: S,
    decoder: Decoder,
    framing: Framing,
}

/// Why a session cannot go on.
enum Lost {
    Ended,
    Unreadable(String),
    Late,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Peer<S> {
    /// The next message. Nothing is lost where this is dropped while it waits.
    async fn read(&mut self) -> Result<bytes::Bytes, Lost> {
        let mut room = [0; ROOM];
        loop {
            if let Some(message) =
                self.decoder.message().map_err(|fault| Lost::Unreadable(fault.to_string()))?
            {
                return Ok(message);
            }
            match self.stream.read(&mut room).await {
                Ok(0) | Err(_) => return Err(Lost::Ended),
                Ok(read) => self.decoder.push(&room[..read]),
            }
        }
    }

    async fn write(&mut self, message: &str) -> Result<(), Lost> {
        let (head, tail) = around(self.framing, message.len());
        let written = timeout(WRITE_WITHIN, async {
            self.stream.write_all(head.as_bytes()).await?;
            self.stream.write_all(message.as_bytes()).await?;
            self.stream.write_all(tail).await?;
            self.stream.flush().await
        });
        match written.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Lost::Ended),
            Err(_) => Err(Lost::Late),
        }
    }
}

fn hello(shared: &Shared, session: u32) -> String {
    let capabilities = shared.capabilities.iter().map(|of| Element::with_text(NETCONF, "capability", &**of));
    let hello = Element::new(NETCONF, "hello")
        .with(Element::new(NETCONF, "capabilities").with_all(capabilities))
        .with(Element::with_text(NETCONF, "session-id", session.to_string()));
    xml::write(&hello, false)
}

/// The framing that both hellos allow; the error says what is wrong with the client's.
fn greeted(message: &[u8]) -> Result<Framing, String> {
    let hello = xml::read(message).map_err(|malformed| malformed.what)?;
    if !hello.is(NETCONF, "hello") {
        return Err(format!("<{:.60}> is no hello", hello.name));
    }
    if hello.get(NETCONF, "session-id").is_some() {
        return Err("a client's hello holds no session-id".into());
    }
    let listed = hello.get(NETCONF, "capabilities").map(|of| &of.children[..]).unwrap_or_default();
    let has = |name: &str| listed.iter().any(|of| of.is(NETCONF, "capability") && of.word() == name);
    match (has(BASE_1_1), has(BASE_1_0)) {
        (true, _) => Ok(Framing::Chunked),
        (false, true) => Ok(Framing::EndOfMessage),
        (false, false) => Err("it names no base capability that is known here".into()),
    }
}

/// Serves one session to its end. `from`: the transport and the peer's address, for logs and the state.
pub async fn serve(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    shared: Arc<Shared>,
    user: &str,
    from: &str,
    limits: Limits,
) {
    let Some((caller, end)) = shared.keeper.open_session(user, from).await else {
        tracing::warn!("{user:?} from {from} is no user here");
        return;
    };
    let peer = Peer { stream, decoder: Decoder::default(), framing: Framing::EndOfMessage };
    // A session that is dropped on the way, as its transport ends, is over as well.
    let over = Over { shared: shared.clone(), caller: Some(caller.clone()) };
    let how = session(peer, shared, &caller, &end, limits).await;
    over.done(how).await;
}

/// Tells the keeper that a session is over, however that came.
struct Over {
    shared: Arc<Shared>,
    caller: Option<Caller>,
}

impl Over {
    async fn done(mut self, how: TerminationReason) {
        if let Some(caller) = self.caller.take() {
            self.shared.keeper.close_session(&caller, how).await;
        }
    }
}

impl Drop for Over {
    fn drop(&mut self) {
        let Some(caller) = self.caller.take() else { return };
        let keeper = self.shared.keeper.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { keeper.close_session(&caller, TerminationReason::Dropped).await });
        }
    }
}

async fn session<S: AsyncRead + AsyncWrite + Unpin>(
    mut peer: Peer<S>,
    shared: Arc<Shared>,
    caller: &Caller,
    end: &Notify,
    limits: Limits,
) -> TerminationReason {
    let greeting = async {
        peer.write(&hello(&shared, caller.session.0)).await?;
        peer.read().await
    };
    let greeting = match timeout(limits.hello_within, greeting).await {
        Ok(Ok(greeting)) => greeting,
        Ok(Err(_)) => return TerminationReason::Dropped,
        Err(_) => return TerminationReason::TimedOut,
    };
    match greeted(&greeting) {
        Ok(framing) => {
            peer.framing = framing;
            peer.decoder.frame(framing);
        }
        Err(why) => {
            tracing::info!("session {} does not begin: {why}", caller.session.0);
            return TerminationReason::Dropped;
        }
    }
    let mut service = Service { shared, caller: caller.clone(), subscribed: false };
    let mut subscription: Option<(Receiver<Arc<Notification>>, Option<Element>)> = None;
    let mut spoke = Instant::now();
    loop {
        let idle = limits.idle_within.filter(|_| subscription.is_none()).map(|idle| spoke + idle);
        let told = async {
            match &mut subscription {
                Some((told, _)) => told.recv().await,
                None => std::future::pending().await,
            }
        };
        let timer = async {
            match idle {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let message = tokio::select! {
            biased;
            () = end.notified() => return TerminationReason::Dropped,
            message = peer.read() => Some(message),
            told = told => match told {
                Ok(told) => {
                    let filter = subscription.as_ref().and_then(|(_, filter)| filter.as_ref());
                    if let Some(text) = notified(&service, filter, &told).await {
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
            () = timer => return TerminationReason::TimedOut,
        };
        let message = match message {
            None => continue,
            Some(Ok(message)) => message,
            Some(Err(Lost::Unreadable(why))) => {
                tracing::info!("session {} goes on with what can't be read: {why}", caller.session.0);
                return TerminationReason::Dropped;
            }
            Some(Err(_)) => return TerminationReason::Dropped,
        };
        spoke = Instant::now();
        // Asked before the reply goes out, so that what happens right after it is told.
        let listening = (!service.subscribed).then(|| service.shared.keeper.subscribe());
        let (reply, then) = service.reply(&message).await;
        if peer.write(&reply).await.is_err() {
            return TerminationReason::Dropped;
        }
        match then {
            Then::GoOn => {}
            Then::Close => {
                _ = timeout(WRITE_WITHIN, peer.stream.shutdown()).await;
                return TerminationReason::Closed;
            }
            Then::Subscribe(filter) => {
                service.subscribed = true;
                subscription = listening.map(|told| (told, filter));
            }
        }
    }
}

/// The notification's text, if the filter selects it and the user may read what it names.
async fn notified(service: &Service, filter: Option<&Element>, told: &Notification) -> Option<String> {
    for path in notify::paths(told) {
        if !service.may_read(path).await {
            return None;
        }
    }
    let shared = &service.shared;
    let event = notify::event(shared.keeper.schema(), &shared.prefixes, told);
    let mut selected = shared.selected(filter, vec![event]);
    let message = notify::notification(shared.keeper.now(), selected.pop()?);
    Some(xml::write(&message, false))
}
