//! A watch of the worker list, as a manager opens one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The time without data after which a watch is considered broken: two heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The fields that are read from a line of a watch.
#[derive(Debug, Deserialize)]
pub struct Line {
    pub generation: u64,
    #[serde(default)]
    pub instances: Vec<Entry>,
}

/// The fields that are read from a worker's entry.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    #[serde(default)]
    pub started_at_ms: u64,
}

/// An open watch.
pub struct Watch {
    body: Incoming,
    /// Data after the last complete line.
    unparsed: BytesMut,
    /// The bytes of the body received since the last call of [`Watch::take_received`].
    received: usize,
    connection: JoinHandle<()>,
}

/// A watch could not be opened or has ended. It carries no cause, since a subscriber reconnects in every case.
#[derive(Debug)]
pub struct WatchEnded;

impl Watch {
    /// Opens a watch. `parameters` are appended to the query `stream=1`, for example `&index=41`.
    pub async fn open(source: SocketAddr, parameters: &str) -> Result<Watch, WatchEnded> {
        let socket = TcpStream::connect(source).await.map_err(|_| WatchEnded)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(socket)).await.map_err(|_| WatchEnded)?;
        let connection = tokio::spawn(async move { _ = connection.await });
        let request = Request::get(format!("/v1/servers?stream=1{parameters}"))
            .header(HOST, source.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|_| WatchEnded)?;
        let response = sender.send_request(request).await;
        let watch = |body| Watch { body, unparsed: BytesMut::new(), received: 0, connection };
        match response {
            Ok(response) if response.status().is_success() => Ok(watch(response.into_body())),
            _ => Err(WatchEnded),
        }
    }

    /// Waits for the next line that is not empty.
    pub async fn next(&mut self) -> Result<Line, WatchEnded> {
        loop {
            while let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
                let line = self.unparsed.split_to(end + 1);
                if !line.trim_ascii().is_empty() {
                    return serde_json::from_slice(&line).map_err(|_| WatchEnded);
                }
            }
            let frame = timeout(SILENCE_TIMEOUT, self.body.frame()).await.map_err(|_| WatchEnded)?;
            let frame = frame.ok_or(WatchEnded)?.map_err(|_| WatchEnded)?;
            let data = frame.into_data().unwrap_or_default();
            self.received += data.len();
            self.unparsed.extend_from_slice(&data);
        }
    }

    /// The bytes of the body received since the last call.
    pub fn take_received(&mut self) -> usize {
        std::mem::take(&mut self.received)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.connection.abort();
    }
}
