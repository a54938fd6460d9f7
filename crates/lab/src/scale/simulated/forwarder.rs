//! A forwarder on the way between two managers: it passes all bytes on and counts them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use super::Traffic;
use crate::scale::error::ScaleError;

#[derive(Default)]
struct Shared {
    links: AtomicUsize,
    traffic: Traffic,
}

/// Forwards to one address until it is dropped.
pub struct Forwarder {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

impl Forwarder {
    pub async fn start(to: SocketAddr) -> Result<Forwarder, ScaleError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ScaleError::io("a forwarder"))?;
        let address = listener.local_addr().map_err(ScaleError::io("a forwarder"))?;
        let shared = Arc::<Shared>::default();
        let accepting = tokio::spawn(accept(listener, to, shared.clone()));
        Ok(Forwarder { address, shared, accepting })
    }

    /// Connections that are open now.
    pub fn links(&self) -> usize {
        self.shared.links.load(Ordering::Relaxed)
    }

    /// Bytes passed on to the address.
    pub fn into_target(&self) -> u64 {
        self.shared.traffic.sent()
    }

    /// Bytes passed back from the address.
    pub fn out_of_target(&self) -> u64 {
        self.shared.traffic.received()
    }

    /// Bytes passed on, both ways together.
    pub fn bytes(&self) -> u64 {
        self.into_target() + self.out_of_target()
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    let mut links = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let shared = shared.clone();
        links.spawn(async move {
            // A link that breaks is the managers' to notice.
            _ = forward(socket, to, &shared).await;
        });
        while links.try_join_next().is_some() {}
    }
}

async fn forward(from: TcpStream, to: SocketAddr, shared: &Shared) -> std::io::Result<()> {
    let to = TcpStream::connect(to).await?;
    from.set_nodelay(true)?;
    to.set_nodelay(true)?;
    shared.links.fetch_add(1, Ordering::Relaxed);
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    tokio::select! {
        _ = pass(from_read, to_write, |bytes| shared.traffic.add_sent(bytes)) => {}
        _ = pass(to_read, from_write, |bytes| shared.traffic.add_received(bytes)) => {}
    }
    shared.links.fetch_sub(1, Ordering::Relaxed);
    Ok(())
}

async fn pass(
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    count: impl Fn(usize),
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let bytes = read.read(&mut buffer).await?;
        if bytes == 0 {
            return Ok(());
        }
        write.write_all(&buffer[..bytes]).await?;
        count(bytes);
    }
}
