//! A connection that is given up once its peer takes nothing for too long.

use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// A socket whose writes fail once none has made progress for a while.
pub(crate) struct StallGuard {
    socket: TcpStream,
    patience: Duration,
    /// Runs while the peer takes nothing.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl StallGuard {
    pub fn new(socket: TcpStream, patience: Duration) -> StallGuard {
        StallGuard { socket, patience, stalled: None }
    }

    fn guard<T>(&mut self, context: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let patience = self.patience;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(patience)));
        match stalled.as_mut().poll(context) {
            Poll::Ready(()) => {
                Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, "the peer takes nothing")))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.guard(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.guard(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
