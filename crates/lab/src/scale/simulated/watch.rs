//! A watch of the worker list, as managers keep one.

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

/// A watch that brings nothing for so long is silent: two heartbeats.
const SILENCE: Duration = Duration::from_secs(4);

/// What is read of a line of a watch.
#[derive(Debug, Deserialize)]
pub struct Line {
    pub generation: u64,
    #[serde(default)]
    pub instances: Vec<Entry>,
}

/// What is read of a worker's entry.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    #[serde(default)]
    pub started_at_ms: u64,
}

/// An open watch.
pub struct Watch {
    body: Incoming,
    unfinished: BytesMut,
    /// Bytes of the body that came since they were last asked for.
    received: usize,
    connection: JoinHandle<()>,
}

/// Why a watch ended; whoever watches dials again, whatever it was.
#[derive(Debug)]
pub struct Broken;

impl Watch {
    /// `parameters`: what stands in the query besides `stream=1`, as `&index=41`.
    pub async fn open(source: SocketAddr, parameters: &str) -> Result<Watch, Broken> {
        let socket = TcpStream::connect(source).await.map_err(|_| Broken)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await.map_err(|_| Broken)?;
        let connection = tokio::spawn(async move { _ = connection.await });
        let request = Request::get(format!("/v1/servers?stream=1{parameters}"))
            .header(HOST, source.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|_| Broken)?;
        let answer = sender.send_request(request).await;
        let watch = |body| Watch { body, unfinished: BytesMut::new(), received: 0, connection };
        match answer {
            Ok(answer) if answer.status().is_success() => Ok(watch(answer.into_body())),
            _ => Err(Broken),
        }
    }

    /// The next line that tells something.
    pub async fn next(&mut self) -> Result<Line, Broken> {
        loop {
            while let Some(end) = self.unfinished.iter().position(|byte| *byte == b'\n') {
                let line = self.unfinished.split_to(end + 1);
                if !line.trim_ascii().is_empty() {
                    return serde_json::from_slice(&line).map_err(|_| Broken);
                }
            }
            let frame = timeout(SILENCE, self.body.frame()).await.map_err(|_| Broken)?;
            let frame = frame.ok_or(Broken)?.map_err(|_| Broken)?;
            let data = frame.into_data().unwrap_or_default();
            self.received += data.len();
            self.unfinished.extend_from_slice(&data);
        }
    }

    /// How many bytes came since the last call.
    pub fn take_received(&mut self) -> usize {
        std::mem::take(&mut self.received)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.connection.abort();
    }
}
