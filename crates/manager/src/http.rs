//! One HTTP exchange as a tower service over a hyper client. Each exchange has a connection of its own. Tower layers
//! set the timeouts for connecting and for the head of the response.

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

use crate::connection_error::{ConnectionError, Stage};

/// Maximum size of the buffer for a response: of its head, and of what is read of its body at once.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// The address to connect to, and the path with its query.
pub type Call = (SocketAddr, String);

/// A service that performs GET requests.
pub type Exchange = BoxCloneSyncService<Call, Response<Incoming>, ConnectionError>;

/// Returns a service that answers once the head of the response has arrived; the caller reads the body.
pub fn exchange(connect_timeout: Duration, response_timeout: Duration) -> Exchange {
    let connect = ServiceBuilder::new()
        .map_err(ConnectionError::service(Stage::Connecting))
        .timeout(connect_timeout)
        .service(service_fn(TcpStream::connect::<SocketAddr>));
    let request = ServiceBuilder::new()
        .map_err(ConnectionError::service(Stage::Sent))
        .timeout(response_timeout)
        .service(service_fn(|(socket, call): (TcpStream, Call)| send_request(socket, call)));
    BoxCloneSyncService::new(service_fn(move |call: Call| {
        let (connect, request) = (connect.clone(), request.clone());
        async move {
            let socket = connect.oneshot(call.0).await?;
            request.oneshot((socket, call)).await
        }
    }))
}

async fn send_request(socket: TcpStream, (address, path): Call) -> Result<Response<Incoming>, BoxError> {
    let mut client = hyper::client::conn::http1::Builder::new();
    client.max_buf_size(MAX_BUFFER_BYTES);
    let (mut sender, connection) = client.handshake(TokioIo::new(socket)).await?;
    // The task ends when the response's body ends or is dropped; its errors reach the reader of the body.
    tokio::spawn(connection);
    let request = Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    Ok(sender.send_request(request).await?)
}
