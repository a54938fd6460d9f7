//! Binds the listening address, and retries while a predecessor that is still ending holds it.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};

/// A predecessor that was asked to end is killed after 0.7 s at the earliest; on a busy machine its clean-up may take
/// as long again. An address in use for longer belongs to another program.
const BIND_RETRY_TIMEOUT: Duration = Duration::from_millis(1400);

const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens, with room for `backlog` connections that are not accepted yet.
pub async fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let deadline = Instant::now() + BIND_RETRY_TIMEOUT;
    let mut logged = false;
    loop {
        match bind(address, backlog) {
            // On a restart the old process may not have ended yet.
            Err(cause) if cause.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::debug!(
                        "{address} is in use; retrying for {} ms",
                        BIND_RETRY_TIMEOUT.as_millis()
                    );
                }
                sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn bind(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // As is usual for listeners: connections of a predecessor in TIME_WAIT must not block the address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
