//! One HTTP exchange as a tower service over a hyper client: a connection of its own for each, dialling and
//! answering within limits that are layers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::{header, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower::util::BoxCloneSyncService;
use tower::{service_fn, BoxError, ServiceBuilder, ServiceExt};

use crate::fault::{Fault, Reached};

/// Where to, and the path with its query.
pub type Call = (SocketAddr, String);
pub type Exchange = BoxCloneSyncService<Call, Response<Incoming>, Fault>;

/// Answers as soon as the head of the response is there; its body is the caller's to read.
pub fn exchange(dial_within: Duration, answer_within: Duration) -> Exchange {
    let dial = ServiceBuilder::new()
        .map_err(Fault::at(Reached::Dialling))
        .timeout(dial_within)
        .service(service_fn(TcpStream::connect::<SocketAddr>));
    let ask = ServiceBuilder::new()
        .map_err(Fault::at(Reached::Sent))
        .timeout(answer_within)
        .service(service_fn(|(socket, call): (TcpStream, Call)| ask(socket, call)));
    BoxCloneSyncService::new(service_fn(move |call: Call| {
        let (dial, ask) = (dial.clone(), ask.clone());
        async move {
            let socket = dial.oneshot(call.0).await?;
            ask.oneshot((socket, call)).await
        }
    }))
}

async fn ask(socket: TcpStream, (address, path): Call) -> Result<Response<Incoming>, BoxError> {
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    // Ends by itself with the response's body, or as that is dropped; its errors reach the body's reader.
    tokio::spawn(connection);
    let request = Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    Ok(sender.send_request(request).await?)
}
