//! Accepts the connections of proxies and collectors and runs each one until it ends.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_interface::ProxyId;
use juniperrail_limits::{LongMessageLimiter, LongMessagePermit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};
use tracing::Instrument;

use crate::connection_error::{ConnectionError, Stage};
use crate::inbound::{Hello, Inbound, Outbox, StreamId};
use crate::limiter::{ConnectionLimiter, KnownZones};
use crate::line_buffer::{LineBuffer, SMALL_CAPACITY_BYTES};
use crate::protocol::{self, Message, ParseError};

/// Messages queued for a proxy that reads slowly, in addition to what its socket buffers.
const OUTBOX_CAPACITY: usize = 64;

/// Minimum free space in the buffer before each read from a socket.
const MIN_READ_BYTES: usize = 4096;

/// Bytes that a connection reads and parses before others get their turn.
const BYTES_PER_TURN: usize = 64 << 10;

/// A connection has to introduce itself within this time. A rejected peer has as long again to close its side.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that are read and discarded from a rejected peer, so that closing does not reset the connection.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// State that all connections share.
pub struct AcceptorContext {
    /// The queue to the decider.
    pub inbound: mpsc::Sender<Inbound>,
    /// Valid proxy numbers are below this.
    pub proxy_count: u16,
    /// The valid zones: introductions that name another one are rejected.
    pub zones: Rc<KnownZones>,
    /// Limits the connections that have not introduced themselves.
    pub unidentified_limiter: ConnectionLimiter,
    /// Limits the connections of collectors.
    pub collector_limiter: ConnectionLimiter,
    /// The number given to the latest connection.
    pub last_stream_id: Cell<u64>,
    /// Open connections of any kind.
    pub open_count: Cell<usize>,
    /// Limit on open connections. The descriptors beyond it are reserved for the watch and the probes.
    pub max_open: usize,
    /// Limits the connections that hold a long line.
    pub long_lines: Arc<LongMessageLimiter>,
}

/// Accepts connections forever. After a failed accept it pauses for `pause`.
pub async fn accept(listener: TcpListener, context: Rc<AcceptorContext>, pause: Duration) {
    let (mut failing, mut was_at_limit) = (false, false);
    loop {
        let accepted = listener.accept().await;
        let failed_before = std::mem::replace(&mut failing, accepted.is_err());
        match accepted {
            Ok((socket, peer_address)) => {
                // Without this limit proxies could use up the descriptors, and the watch could not reconnect. An
                // unidentified connection is closed first; if there is none, the new connection is closed.
                // Connections that have joined are kept.
                let at_limit = context.open_count.get() >= context.max_open;
                if at_limit && !std::mem::replace(&mut was_at_limit, at_limit) {
                    tracing::warn!("{} connections are open: the limit is reached", context.max_open);
                }
                was_at_limit = at_limit;
                if at_limit && !context.unidentified_limiter.evict() {
                    drop(socket);
                    yield_now().await;
                    continue;
                }
                context.open_count.set(context.open_count.get() + 1);
                context.last_stream_id.set(context.last_stream_id.get() + 1);
                let id = StreamId(context.last_stream_id.get());
                let evicted = context.unidentified_limiter.admit(id);
                let connection = run_connection(id, socket, evicted, context.clone());
                spawn_local(supervise(id, peer_address, connection, context.clone()));
                // In a burst of connections, lets those that have already sent their introduction be read before
                // more are accepted; otherwise they could be evicted as unidentified.
                yield_now().await;
            }
            // Usually out of descriptors: closes one unidentified connection and keeps the others.
            Err(cause) => {
                if !failed_before {
                    tracing::error!("no connection can be accepted: {cause}");
                }
                context.unidentified_limiter.evict();
                sleep(pause).await;
            }
        }
    }
}

/// Runs a connection as a task of its own, so that an error or a panic in it affects no other, and reports its end.
async fn supervise(
    id: StreamId,
    peer_address: SocketAddr,
    connection: impl Future<Output = Result<(), ConnectionError>> + 'static,
    context: Rc<AcceptorContext>,
) {
    // At debug level, so that the span costs a stream nothing at the default log level.
    let span = tracing::debug_span!("connection", from = %peer_address, stream = id.0);
    let reason = match spawn_local(connection.instrument(span)).await {
        Ok(Ok(())) => None,
        Ok(Err(error)) => Some(format!("{peer_address}: {error}")),
        Err(panic) => {
            tracing::error!("the connection from {peer_address} failed: {panic}");
            Some(format!("{peer_address}: {panic}"))
        }
    };
    context.open_count.set(context.open_count.get() - 1);
    tracing::debug!("the connection from {peer_address} ended: {reason:?}");
    _ = context.unidentified_limiter.release(id) || context.collector_limiter.release(id);
    _ = context.inbound.send(Inbound::Ended(id, reason)).await;
}

/// Runs one connection, from its introduction to its end.
async fn run_connection(
    id: StreamId,
    socket: TcpStream,
    evicted: Rc<Notify>,
    context: Rc<AcceptorContext>,
) -> Result<(), ConnectionError> {
    socket.set_nodelay(true).map_err(ConnectionError::io(Stage::Connecting))?;
    let (read, mut write) = socket.into_split();
    let mut lines = LineReader::new(read, context.long_lines.clone());
    let introduction = tokio::select! {
        biased;
        introduction = read_introduction(&mut lines, &mut write, &context) => introduction,
        () = evicted.notified() => return Ok(()),
        () = sleep(JOIN_TIMEOUT) => Err(ConnectionError {
            timed_out: true,
            ..ConnectionError::reading("it did not join in time")
        }),
    };
    let introduction = match introduction {
        Ok(Some(introduction)) => introduction,
        Ok(None) => return Ok(()),
        Err(error) => {
            _ = context.inbound.send(Inbound::Rejected(error.to_string())).await;
            tokio::select! {
                () = evicted.notified() => {}
                () = reject(&error, lines, write) => {}
            }
            return Ok(());
        }
    };
    // An evicted connection has given its descriptor to another one, even if its introduction arrived at the same
    // moment. Continuing it would exceed the limit on open connections.
    if !context.unidentified_limiter.release(id) {
        return Ok(());
    }
    match introduction {
        Message::Hello { proxy, zone, inv_per_second, fresh } => {
            let hello = Hello { proxy, zone, inv_per_second, fresh };
            run_proxy(id, hello, lines, write, context).await
        }
        _ => {
            context.collector_limiter.raise_limit(context.zones.max_collectors());
            let evicted = context.collector_limiter.admit(id);
            tokio::select! {
                end = run_collector(id, lines, write, context) => end,
                () = evicted.notified() => Ok(()),
            }
        }
    }
}

/// Reads lines until the first one that is not a probe; probes are answered. `None` if the peer closes the connection
/// before it introduces itself; an error if the line is not a valid introduction.
async fn read_introduction(
    lines: &mut LineReader,
    write: &mut OwnedWriteHalf,
    context: &AcceptorContext,
) -> Result<Option<Message>, ConnectionError> {
    while lines.advance(protocol::MAX_FIRST_LINE_BYTES).await? {
        let reason = match protocol::parse(lines.line()) {
            Ok(Message::Probe) => {
                write.write_all(&protocol::ALIVE).await.map_err(ConnectionError::io(Stage::Sent))?;
                continue;
            }
            Ok(Message::Hello { proxy, .. }) if proxy >= context.proxy_count => {
                format!("there is no proxy {proxy}")
            }
            Ok(Message::Hello { ref zone, .. } | Message::Agent { ref zone })
                if !context.zones.contains(zone) =>
            {
                format!("there is no zone {zone:?}")
            }
            Ok(Message::Report(_)) => "a report was sent before any introduction".into(),
            Ok(introduction) => return Ok(Some(introduction)),
            Err(ParseError::InvalidFields(reason) | ParseError::NotAMessage(reason)) => reason,
        };
        return Err(ConnectionError::reading(reason));
    }
    Ok(None)
}

/// Sends `error` and closes the connection gracefully: closing with unread bytes would reset it, and the peer might
/// not receive the error.
async fn reject(error: &ConnectionError, mut lines: LineReader, mut write: OwnedWriteHalf) {
    // If the socket's buffer has no room for the error, the peer only sees the end.
    _ = write.try_write(if error.timed_out { protocol::LATE } else { protocol::REJECTED });
    _ = write.shutdown().await;
    _ = timeout(JOIN_TIMEOUT, async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while remaining > 0 {
            lines.buffer.clear();
            match lines.read.read_buf(lines.buffer.space(MIN_READ_BYTES, SMALL_CAPACITY_BYTES)).await {
                Ok(0) | Err(_) => return,
                Ok(read) => remaining = remaining.saturating_sub(read),
            }
        }
    })
    .await;
}

/// Runs the stream of a proxy that has joined. Reading and writing run concurrently; bytes that are not a message end
/// the stream.
async fn run_proxy(
    id: StreamId,
    hello: Hello,
    mut lines: LineReader,
    mut write: OwnedWriteHalf,
    context: Rc<AcceptorContext>,
) -> Result<(), ConnectionError> {
    let sender = Some((id, ProxyId(hello.proxy)));
    let (outbox, mut queued, dropped) = Outbox::new(OUTBOX_CAPACITY);
    // Answers to probes have a queue of their own, so that a burst of probes does not fill the outbox.
    let (probe_sender, mut probes) = mpsc::channel(OUTBOX_CAPACITY);
    _ = context.inbound.send(Inbound::Joined { stream: id, hello, outbox }).await;
    let reading = async {
        while lines.advance(protocol::MAX_LINE_BYTES).await? {
            match parse_inbound(lines.line(), sender)? {
                Some(inbound) => _ = context.inbound.send(inbound).await,
                // If the proxy sends probes faster than it reads the answers, reading its next lines waits here.
                None => _ = probe_sender.send(()).await,
            }
        }
        Ok(())
    };
    let writing = async {
        loop {
            let message = tokio::select! {
                biased;
                Some(message) = queued.recv() => message,
                Some(()) = probes.recv() => protocol::ALIVE,
                else => return Ok(()),
            };
            write.write_all(&message).await.map_err(ConnectionError::io(Stage::Sent))?;
        }
    };
    tokio::select! {
        biased;
        // The outbox is dropped when a newer stream of this proxy replaced this one, or when the proxy did not read
        // or was silent for too long. Ending the stream at once avoids a write that blocks forever on a peer that
        // does not read, and the delivery of stale orders. Orders that are not written are not acknowledged, so they
        // count as not applied.
        () = outbox_dropped(dropped) => Ok(()),
        end = reading => end,
        end = writing => end,
    }
}

/// Waits until the owner of the [`Outbox`] has dropped it.
async fn outbox_dropped(dropped: oneshot::Receiver<Infallible>) {
    _ = dropped.await;
}

/// Runs the connection of a collector. Only answers to probes are written to it.
async fn run_collector(
    id: StreamId,
    mut lines: LineReader,
    mut write: OwnedWriteHalf,
    context: Rc<AcceptorContext>,
) -> Result<(), ConnectionError> {
    while lines.advance(protocol::MAX_LINE_BYTES).await? {
        context.collector_limiter.touch(id);
        match parse_inbound(lines.line(), None)? {
            Some(inbound) => _ = context.inbound.send(inbound).await,
            None => write.write_all(&protocol::ALIVE).await.map_err(ConnectionError::io(Stage::Sent))?,
        }
    }
    Ok(())
}

/// Parses a line of a peer that has joined; `None` is a probe. A message with invalid fields is reported and skipped;
/// a line that is not a message is an error, which ends the connection.
fn parse_inbound(
    line: &[u8],
    sender: Option<(StreamId, ProxyId)>,
) -> Result<Option<Inbound>, ConnectionError> {
    Ok(match protocol::parse(line) {
        Ok(Message::Probe) => None,
        Ok(Message::Report(report)) => Some(Inbound::Reported(sender, Ok(report))),
        Ok(other) => Some(Inbound::Reported(sender, Err(format!("unexpected after joining: {other:?}")))),
        Err(ParseError::InvalidFields(reason)) => Some(Inbound::Reported(sender, Err(reason))),
        Err(ParseError::NotAMessage(reason)) => return Err(ConnectionError::reading(reason)),
    })
}

/// Reads lines from a socket. One read may bring a part of a line or several lines.
struct LineReader {
    read: OwnedReadHalf,
    buffer: LineBuffer,
    long_lines: Arc<LongMessageLimiter>,
    /// Held while the buffer is larger than [`SMALL_CAPACITY_BYTES`].
    permit: Option<LongMessagePermit>,
    /// Bytes of the unfinished line that [`protocol::check_unfinished_line`] has checked.
    checked_bytes: usize,
    /// Bytes read and bytes of lines returned since other tasks had their turn.
    bytes_in_turn: usize,
}

impl LineReader {
    fn new(read: OwnedReadHalf, long_lines: Arc<LongMessageLimiter>) -> LineReader {
        let buffer = LineBuffer::default();
        LineReader { read, buffer, long_lines, permit: None, checked_bytes: 0, bytes_in_turn: 0 }
    }

    /// Reads until the next line, of at most `max_bytes`, is complete. Returns false at the end of the stream.
    async fn advance(&mut self, max_bytes: usize) -> Result<bool, ConnectionError> {
        loop {
            if self.buffer.advance() {
                self.checked_bytes = 0;
                self.take_turns(self.buffer.line().len()).await;
                return Ok(true);
            }
            self.buffer.discard_line();
            let unfinished = self.buffer.unfinished();
            let Some(checked_bytes) = protocol::check_unfinished_line(unfinished, self.checked_bytes) else {
                return Err(ConnectionError::reading("it sent bytes that are not a message"));
            };
            self.checked_bytes = checked_bytes;
            if unfinished.len() > max_bytes {
                return Err(ConnectionError::reading(format!("a line is longer than {max_bytes} bytes")));
            }
            let read = self.read_more().await?;
            if read == 0 {
                return match self.buffer.unfinished().is_empty() {
                    true => Ok(false),
                    false => Err(ConnectionError::reading("it ended within a line")),
                };
            }
            self.take_turns(read).await;
        }
    }

    /// The line that [`LineReader::advance`] has completed.
    fn line(&self) -> &[u8] {
        self.buffer.line()
    }

    /// Reads once from the socket and returns the number of bytes; 0 at the end of the stream. The buffer grows only with
    /// a permit, and a connection loses its permit only together with its buffer.
    async fn read_more(&mut self) -> Result<usize, ConnectionError> {
        let max_capacity = protocol::MAX_LINE_BYTES + MIN_READ_BYTES;
        let is_small = self.buffer.next_capacity(MIN_READ_BYTES, max_capacity) <= SMALL_CAPACITY_BYTES;
        match &self.permit {
            Some(_) if is_small => self.permit = None,
            None if !is_small => self.permit = Some(self.long_lines.clone().acquire().await),
            _ => {}
        }
        let too_slow = || {
            ConnectionError::reading("it kept others waiting that had long lines too, and its own is late")
        };
        let space = self.buffer.space(MIN_READ_BYTES, max_capacity);
        let Some(permit) = &mut self.permit else {
            return self.read.read_buf(space).await.map_err(ConnectionError::io(Stage::Reading));
        };
        let read = tokio::select! {
            biased;
            read = self.read.read_buf(space) => read.map_err(ConnectionError::io(Stage::Reading))?,
            () = permit.stalled() => return Err(too_slow()),
        };
        match permit.record_read() {
            true => Ok(read),
            false => Err(too_slow()),
        }
    }

    /// Lets other tasks run after every [`BYTES_PER_TURN`], so that a peer that sends without a pause delays no other.
    async fn take_turns(&mut self, bytes: usize) {
        self.bytes_in_turn += bytes;
        if self.bytes_in_turn >= BYTES_PER_TURN {
            self.bytes_in_turn = 0;
            yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
