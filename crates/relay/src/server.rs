//! The relay's listener and the connections of subscribers.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use juniperrail_limits::{HoldLimits, LogLimit, LongMessageLimiter};
use rustix::process::{getrlimit, Resource};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::head_limit::{Head, HeadLimitedSocket};
use crate::options::Options;
use crate::requests::respond;
use crate::shared::Shared;
use crate::source::SourceWatch;

/// Connections besides those of subscribers: for health checks, and for requests that are about to be refused.
const SPARE_CONNECTIONS: usize = 64;
/// File descriptors besides the accepted connections: the listener, the source, standard streams, the runtime's own.
const RESERVED_DESCRIPTORS: usize = 32;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// The kernel's send buffer of one connection, which fills if the subscriber does not read. Linux doubles the size for
/// its own bookkeeping.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Maximum size of the buffer for the request on one connection, and of that for the response.
const CONNECTION_BUFFER_BYTES: usize = 128 << 10;
/// Connections that receive a long request head at a time.
const MAX_LONG_HEADS: usize = 16;
/// The wait after a failed accept, for instance because of too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A relay that listens for subscribers. It serves them on the thread that awaits [`Relay::serve`].
pub struct Relay {
    options: Options,
    listener: TcpListener,
    address: SocketAddr,
}

impl Relay {
    /// Begins to listen. Connections are accepted, and the source is dialled, only in [`Relay::serve`].
    pub async fn bind(mut options: Options) -> io::Result<Relay> {
        let listener = listen(options.listen)?;
        let address = listener.local_addr()?;
        let max_subscribers = max_subscribers();
        if max_subscribers < options.limits.subscribers {
            tracing::warn!(
                "at most {max_subscribers} subscribers are served: the process may open no more sockets"
            );
            options.limits.subscribers = max_subscribers;
        }
        Ok(Relay { options, listener, address })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Follows the source and serves subscribers forever. Its tasks end when the future is dropped.
    pub async fn serve(self) {
        let tasks = LocalSet::new();
        let shared = Shared::new(self.options);
        tracing::info!("relays the list of {} on {}", self.options.source, self.address);
        let source = SourceWatch::new(shared.clone());
        let serving =
            async { tokio::join!(source.run(), shared.expire_sync(), accept(&self.listener, &shared)) };
        tasks.run_until(serving).await;
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Each accepted connection inherits the size.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The number of subscribers for which the process may open sockets.
fn max_subscribers() -> usize {
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
    descriptors.saturating_sub(SPARE_CONNECTIONS + RESERVED_DESCRIPTORS).max(1)
}

/// Accepts connections forever, up to the limit.
async fn accept(listener: &TcpListener, shared: &Rc<Shared>) {
    let max_connections = shared.options.limits.subscribers.saturating_add(SPARE_CONNECTIONS);
    let open_count = Rc::new(Cell::new(0));
    let head_timeout = shared.options.timing.request_head_timeout;
    let limits = HoldLimits { max_pause: head_timeout, max_hold: head_timeout };
    let long_heads = LongMessageLimiter::new(MAX_LONG_HEADS, limits);
    let (failure_log, refusal_log) = (LogLimit::default(), LogLimit::default());
    loop {
        match listener.accept().await {
            Ok((socket, _)) if open_count.get() < max_connections => {
                open_count.set(open_count.get() + 1);
                let (shared, open_count) = (shared.clone(), open_count.clone());
                let long_heads = long_heads.clone();
                spawn_local(async move {
                    serve_connection(socket, shared, long_heads).await;
                    open_count.set(open_count.get() - 1);
                });
            }
            Ok((_, peer)) => {
                if let Some(suppressed) = refusal_log.admit() {
                    tracing::warn!(
                        "{max_connections} connections are open: the limit is reached, and the connection from \
                         {peer} is closed ({suppressed} more since the last such line)"
                    );
                }
            }
            Err(cause) => {
                if let Some(suppressed) = failure_log.admit() {
                    tracing::warn!(
                        "no connection can be accepted ({suppressed} more since the last such line): {cause}"
                    );
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection, which is for one request.
async fn serve_connection(socket: TcpStream, shared: Rc<Shared>, long_heads: Arc<LongMessageLimiter>) {
    let timing = shared.options.timing;
    _ = socket.set_nodelay(true);
    // Ends the connection of a subscriber that has stopped reading or whose machine has vanished, even if the kernel's
    // buffer takes all that is written, so that no write ever waits.
    _ = SockRef::from(&socket).set_tcp_user_timeout(Some(timing.stalled_write_timeout));
    let head = Rc::<RefCell<Head>>::default();
    let socket = TokioIo::new(HeadLimitedSocket::new(socket, long_heads, head.clone()));
    let service = service_fn(|request| {
        head.borrow_mut().complete();
        respond(shared.clone(), request)
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(timing.request_head_timeout);
    server.keep_alive(false).max_buf_size(CONNECTION_BUFFER_BYTES);
    if let Err(cause) = server.serve_connection(socket, service).await {
        tracing::debug!("a connection ended: {cause}");
    }
}
