//! The relay's address, and the connections to it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::process::{getrlimit, Resource};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::log_limit::LogLimit;
use crate::options::Options;
use crate::requests::answer;
use crate::shared::Shared;
use crate::source::SourceWatch;

/// Connections beyond the subscribers: those that ask for the health, or are about to be refused.
const SPARE_CONNECTIONS: usize = 64;
/// Descriptors that are not connections: the listener, the source, standard streams, the runtime's own.
const SPARE_DESCRIPTORS: usize = 32;
/// Connections that nobody took yet.
const BACKLOG: u32 = 1_024;
/// What the kernel holds for one subscriber that does not read, in bytes; Linux doubles it for its own needs.
const SEND_BUFFER: u32 = 128 << 10;
/// What is held of one subscriber's request and of its answer, in bytes.
const CONNECTION_BUFFER: usize = 128 << 10;
/// How long to wait where no connection can be taken, as with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A relay that listens. It serves on the thread that awaits [`Relay::serve`].
pub struct Relay {
    options: Options,
    listener: TcpListener,
    address: SocketAddr,
}

impl Relay {
    /// Listens; nothing is accepted and no source is dialled yet.
    pub async fn bind(mut options: Options) -> io::Result<Relay> {
        let listener = listen(options.listen)?;
        let address = listener.local_addr()?;
        let most = most_subscribers();
        if most < options.limits.subscribers {
            tracing::warn!("at most {most} subscribers are served: the process may open no more sockets");
            options.limits.subscribers = most;
        }
        Ok(Relay { options, listener, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Follows the source and serves subscribers for good. Its tasks end when it is dropped.
    pub async fn serve(self) {
        let tasks = LocalSet::new();
        let shared = Shared::new(self.options);
        tracing::info!("relays the list of {} on {}", self.options.source, self.address);
        let source = SourceWatch::new(shared.clone());
        let serving = async { tokio::join!(source.run(), shared.expire(), accept(&self.listener, &shared)) };
        tasks.run_until(serving).await;
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Taken over by each connection.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// How many subscribers the process may open sockets for.
fn most_subscribers() -> usize {
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
    descriptors.saturating_sub(SPARE_CONNECTIONS + SPARE_DESCRIPTORS).max(1)
}

async fn accept(listener: &TcpListener, shared: &Rc<Shared>) {
    let most = shared.options.limits.subscribers.saturating_add(SPARE_CONNECTIONS);
    let open = Rc::new(Cell::new(0));
    let (failures, refusals) = (LogLimit::default(), LogLimit::default());
    loop {
        match listener.accept().await {
            Ok((socket, _)) if open.get() < most => {
                open.set(open.get() + 1);
                let (shared, open) = (shared.clone(), open.clone());
                spawn_local(async move {
                    serve(socket, shared).await;
                    open.set(open.get() - 1);
                });
            }
            Ok((_, peer)) => {
                if let Some(left_out) = refusals.admit() {
                    tracing::warn!(
                        "{most} connections are open: the limit is reached, and that of {peer} is closed \
                         ({left_out} more since the last such line)"
                    );
                }
            }
            Err(cause) => {
                if let Some(left_out) = failures.admit() {
                    tracing::warn!(
                        "no connection can be accepted ({left_out} more since the last such line): {cause}"
                    );
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One connection, for one request.
async fn serve(socket: TcpStream, shared: Rc<Shared>) {
    let timing = shared.options.timing;
    _ = socket.set_nodelay(true);
    // Guards against a reader that stopped, or a machine that vanished: also where the kernel's buffer takes what is
    // written, so that no write ever waits.
    _ = SockRef::from(&socket).set_tcp_user_timeout(Some(timing.stalled_write));
    let socket = TokioIo::new(socket);
    let service = service_fn(|request| answer(shared.clone(), request));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(timing.request_head);
    server.keep_alive(false).max_buf_size(CONNECTION_BUFFER);
    if let Err(cause) = server.serve_connection(socket, service).await {
        tracing::debug!("a connection ended: {cause}");
    }
}
