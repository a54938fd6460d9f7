//! Simulated workers: one address answers the probes of all of them.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::scale::error::ScaleError;

/// The load that every worker reports in its answer to a probe.
const LOAD: &str = "inflight=2,queue=0,util=0.40";

/// Answers probes until it is dropped.
pub struct Workers {
    pub address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Workers {
    /// Starts to answer probes on a free port.
    pub async fn start() -> Result<Workers, ScaleError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(ScaleError::io("binding a port for the simulated workers"))?;
        let address =
            listener.local_addr().map_err(ScaleError::io("reading the address of the simulated workers"))?;
        Ok(Workers { address, accept_task: tokio::spawn(accept(listener)) })
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        connections.spawn(async move {
            // The prober notices a broken connection itself.
            _ = answer_probes(socket).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn answer_probes(mut socket: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4096];
    while socket.read(&mut request).await? > 0 {
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LOAD}", LOAD.len());
        socket.write_all(response.as_bytes()).await?;
    }
    Ok(())
}
