//! Taking the address to listen on, also where whoever had it before is still ending.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};

/// A predecessor that was told to end is killed no sooner than 0.7 s after: that, and as long again for a busy machine
/// to clear it away. Whose address is taken for longer is somebody else's.
const PATIENCE: Duration = Duration::from_millis(1400);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Listens, with room for so many connections that nobody took yet.
pub async fn listen(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let until = Instant::now() + PATIENCE;
    let mut told = false;
    loop {
        match bind(at, backlog) {
            // Guards against a restart that is refused as the old process has not quite ended.
            Err(taken) if taken.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    tracing::debug!("{at} is taken; it is tried for {} ms", PATIENCE.as_millis());
                }
                sleep(LOOK_EVERY).await;
            }
            bound => return bound,
        }
    }
}

fn bind(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // As the system's own listeners do: connections of a predecessor that linger hold no address.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}
