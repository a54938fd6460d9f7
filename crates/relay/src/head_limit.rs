//! Limits the memory for request heads. A long one needs a permit until the request is complete.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use juniperrail_limits::{LongMessageLimiter, LongMessagePermit};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of a head that are read without a permit.
const SHORT_HEAD_BYTES: usize = 8 << 10;

/// How far the head of a connection's only request has arrived.
#[derive(Default)]
pub(crate) struct Head {
    read_bytes: usize,
    is_complete: bool,
    permit: Option<LongMessagePermit>,
}

impl Head {
    /// Records that the request is complete, which frees the permit.
    pub fn complete(&mut self) {
        self.is_complete = true;
        self.permit = None;
    }
}

/// A connection whose reads wait while its head is long and all permits are taken.
pub(crate) struct HeadLimitedSocket {
    socket: TcpStream,
    limiter: Arc<LongMessageLimiter>,
    head: Rc<RefCell<Head>>,
    acquiring: Option<Pin<Box<dyn Future<Output = LongMessagePermit>>>>,
}

impl HeadLimitedSocket {
    pub fn new(socket: TcpStream, limiter: Arc<LongMessageLimiter>, head: Rc<RefCell<Head>>) -> Self {
        HeadLimitedSocket { socket, limiter, head, acquiring: None }
    }

    /// Waits until the connection has a permit.
    fn poll_permit(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limiter = &self.limiter;
        let acquiring = self.acquiring.get_or_insert_with(|| Box::pin(limiter.clone().acquire()));
        let permit = ready!(acquiring.as_mut().poll(context));
        self.acquiring = None;
        self.head.borrow_mut().permit = Some(permit);
        Poll::Ready(())
    }

    /// Reads at most as much of the head as needs no permit.
    fn poll_read_short(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        read_bytes: usize,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; SHORT_HEAD_BYTES];
        let max_bytes = (SHORT_HEAD_BYTES - read_bytes).min(buffer.remaining());
        let mut short = ReadBuf::new(&mut bytes[..max_bytes]);
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut short))?;
        buffer.put_slice(short.filled());
        self.head.borrow_mut().read_bytes += short.filled().len();
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for HeadLimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (read_bytes, is_unlimited) = {
            let head = self.head.borrow();
            (head.read_bytes, head.is_complete || head.permit.is_some())
        };
        if !is_unlimited {
            if read_bytes < SHORT_HEAD_BYTES {
                return self.poll_read_short(context, buffer, read_bytes);
            }
            ready!(self.poll_permit(context));
        }
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for HeadLimitedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
