//! A TCP forwarder on the path between two processes, which counts the bytes that it passes on.

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
    /// The number of connections that are open.
    links: AtomicUsize,
    /// The bytes sent to the target and received from it.
    traffic: Traffic,
}

/// Forwards to one address until it is dropped.
pub struct Forwarder {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

impl Forwarder {
    /// Starts a forwarder to the target on a free port.
    pub async fn start(target: SocketAddr) -> Result<Forwarder, ScaleError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(ScaleError::io("binding a port for a forwarder"))?;
        let address = listener.local_addr().map_err(ScaleError::io("reading the address of a forwarder"))?;
        let shared = Arc::<Shared>::default();
        let accept_task = tokio::spawn(accept(listener, target, shared.clone()));
        Ok(Forwarder { address, shared, accept_task })
    }

    /// The number of connections that are open.
    pub fn links(&self) -> usize {
        self.shared.links.load(Ordering::Relaxed)
    }

    /// The bytes passed to the target.
    pub fn bytes_to_target(&self) -> u64 {
        self.shared.traffic.sent()
    }

    /// The bytes passed back from the target.
    pub fn bytes_from_target(&self) -> u64 {
        self.shared.traffic.received()
    }

    /// The bytes passed in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_to_target() + self.bytes_from_target()
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    let mut links = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let shared = shared.clone();
        links.spawn(async move {
            // The processes at both ends notice a broken connection themselves.
            _ = forward(socket, target, &shared).await;
        });
        while links.try_join_next().is_some() {}
    }
}

async fn forward(client: TcpStream, target: SocketAddr, shared: &Shared) -> std::io::Result<()> {
    let target = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    shared.links.fetch_add(1, Ordering::Relaxed);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    tokio::select! {
        _ = copy(client_read, target_write, |bytes| shared.traffic.add_sent(bytes)) => {}
        _ = copy(target_read, client_write, |bytes| shared.traffic.add_received(bytes)) => {}
    }
    shared.links.fetch_sub(1, Ordering::Relaxed);
    Ok(())
}

/// Copies bytes until the end of the input, and counts them.
async fn copy(
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
