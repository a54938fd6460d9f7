//! Where proxies and collectors connect: accepting, and the life of each connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use juniperrail_interface::ProxyId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};
use tracing::Instrument;

use crate::fault::{Fault, Reached};
use crate::inbound::{Hello, Inbound, Outbox, StreamId};
use crate::limiter::{ConnectionLimiter, KnownZones};
use crate::lines::LineBuffer;
use crate::text::{self, Message, ParseError};

/// Messages that may wait for a proxy that reads slowly, besides what its socket holds.
const WAITING: usize = 64;

/// Bytes taken from a socket at a time, at least.
const ROOM: usize = 4096;

/// Who has not joined so long after connecting is neither a proxy nor a collector; who is turned away has as
/// long again to take its leave.
const JOIN_WITHIN: Duration = Duration::from_secs(1);

/// Bytes that one who is turned away may still send without a reset.
const FAREWELL: usize = 64 << 10;

/// What all connections share.
pub struct AcceptorContext {
    pub inbound: mpsc::Sender<Inbound>,
    /// The proxies are numbered below this.
    pub proxy_count: u16,
    /// Nobody comes from a zone that neither the settings nor the list ever named.
    pub zones: Rc<KnownZones>,
    /// Connections that have not said who they are.
    pub unidentified: ConnectionLimiter,
    pub collectors: ConnectionLimiter,
    pub last_stream_id: Cell<u64>,
    /// Connections that are open, and how many may be: beyond are the descriptors of the watch and the probes.
    pub open_count: Cell<usize>,
    pub max_open: usize,
}

/// Takes connections for good.
pub async fn accept(listener: TcpListener, context: Rc<AcceptorContext>, pause: Duration) {
    let (mut failing, mut full) = (false, false);
    loop {
        let taken = listener.accept().await;
        let failed_before = std::mem::replace(&mut failing, taken.is_err());
        match taken {
            Ok((socket, from)) => {
                // Guards against proxies that take the last descriptors: the watch could not be dialled again. A
                // stranger gives way; where there is none the newcomer does, and whoever joined is kept.
                let over = context.open_count.get() >= context.max_open;
                if over && !std::mem::replace(&mut full, over) {
                    tracing::warn!("{} connections are open: no room for all who come", context.max_open);
                }
                full = over;
                if over && !context.unidentified.evict() {
                    drop(socket);
                    yield_now().await;
                    continue;
                }
                context.open_count.set(context.open_count.get() + 1);
                context.last_stream_id.set(context.last_stream_id.get() + 1);
                let id = StreamId(context.last_stream_id.get());
                let evicted = context.unidentified.admit(id);
                let life = life(id, socket, evicted, context.clone());
                spawn_local(end(id, from, life, context.clone()));
                // Guards against putting out, in a rush, who has joined already but was not yet read.
                yield_now().await;
            }
            // Guards against running out of descriptors: a stranger's is taken back, all others stay.
            Err(cause) => {
                if !failed_before {
                    tracing::error!("no connection can be taken: {cause}");
                }
                context.unidentified.evict();
                sleep(pause).await;
            }
        }
    }
}

/// Waits for a connection's end, whatever that is: a fault or a panic in it ends nothing else.
async fn end(
    id: StreamId,
    from: SocketAddr,
    life: impl Future<Output = Result<(), Fault>> + 'static,
    context: Rc<AcceptorContext>,
) {
    // At debug, so that a stream pays nothing for it in an ordinary day.
    let connection = tracing::debug_span!("connection", %from, stream = id.0);
    let why = match spawn_local(life.instrument(connection)).await {
        Ok(Ok(())) => None,
        Ok(Err(fault)) => Some(format!("{from}: {fault}")),
        Err(panic) => {
            tracing::error!("the connection from {from} failed: {panic}");
            Some(format!("{from}: {panic}"))
        }
    };
    context.open_count.set(context.open_count.get() - 1);
    tracing::debug!("the connection from {from} ended: {why:?}");
    _ = context.unidentified.release(id) || context.collectors.release(id);
    _ = context.inbound.send(Inbound::Ended(id, why)).await;
}

/// One connection, from its introduction to its end.
async fn life(
    id: StreamId,
    socket: TcpStream,
    evicted: Rc<Notify>,
    context: Rc<AcceptorContext>,
) -> Result<(), Fault> {
    socket.set_nodelay(true).map_err(Fault::io(Reached::Dialling))?;
    let (read, mut write) = socket.into_split();
    let mut lines = Lines { read, buffer: LineBuffer::default(), checked: 0 };
    let first = tokio::select! {
        biased;
        first = introduction(&mut lines, &mut write, &context) => first,
        () = evicted.notified() => return Ok(()),
        () = sleep(JOIN_WITHIN) => Err(Fault { late: true, ..Fault::reading("it did not join in time") }),
    };
    let first = match first {
        Ok(Some(first)) => first,
        Ok(None) => return Ok(()),
        Err(fault) => {
            _ = context.inbound.send(Inbound::Rejected(fault.to_string())).await;
            tokio::select! {
                () = evicted.notified() => {}
                () = reject(&fault, lines, write) => {}
            }
            return Ok(());
        }
    };
    // Guards against more connections than there may be: whoever was told to go has given its descriptor to
    // another, also where its introduction came at that very moment.
    if !context.unidentified.release(id) {
        return Ok(());
    }
    match first {
        Message::Hello { proxy, zone, inv_per_second, fresh } => {
            let hello = Hello { proxy, zone, inv_per_second, fresh };
            proxy_stream(id, hello, lines, write, context).await
        }
        _ => {
            context.collectors.raise_limit(context.zones.max_collectors());
            let evicted = context.collectors.admit(id);
            tokio::select! {
                end = collector(id, lines, write, context) => end,
                () = evicted.notified() => Ok(()),
            }
        }
    }
}

/// What a connection is, its first message says; probes are answered before as well. A fault is a stranger's.
async fn introduction(
    lines: &mut Lines,
    write: &mut OwnedWriteHalf,
    context: &AcceptorContext,
) -> Result<Option<Message>, Fault> {
    while let Some(line) = lines.next(text::MAX_FIRST_LINE_BYTES).await? {
        let why = match text::parse(&line) {
            Ok(Message::Probe) => {
                write.write_all(&text::ALIVE).await.map_err(Fault::io(Reached::Sent))?;
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
            Ok(Message::Report(_)) => "a report came before any introduction".into(),
            Ok(first) => return Ok(Some(first)),
            Err(ParseError::InvalidFields(why) | ParseError::NotAMessage(why)) => why,
        };
        return Err(Fault::reading(why));
    }
    Ok(None)
}

/// Says `error` and ends the connection so that the peer sees its end: closing on bytes unread would reset it.
async fn reject(fault: &Fault, mut lines: Lines, mut write: OwnedWriteHalf) {
    // Who does not even take this gets the end alone.
    _ = write.try_write(if fault.late { text::LATE } else { text::REJECTED });
    _ = write.shutdown().await;
    _ = timeout(JOIN_WITHIN, async {
        let mut left = FAREWELL;
        while left > 0 {
            lines.buffer.clear();
            match lines.read.read_buf(lines.buffer.space(ROOM)).await {
                Ok(0) | Err(_) => return,
                Ok(read) => left = left.saturating_sub(read),
            }
        }
    })
    .await;
}

/// Reads and writes go on side by side; a stream that brings what can't be read as messages has left.
async fn proxy_stream(
    id: StreamId,
    hello: Hello,
    mut lines: Lines,
    mut write: OwnedWriteHalf,
    context: Rc<AcceptorContext>,
) -> Result<(), Fault> {
    let from = Some((id, ProxyId(hello.proxy)));
    let (outbox, mut waiting, given_up) = Outbox::new(WAITING);
    // Beside the orders, so that a burst of probes takes no order's place.
    let (probed, mut probes) = mpsc::channel(WAITING);
    _ = context.inbound.send(Inbound::Joined { stream: id, hello, outbox }).await;
    let reading = async {
        while let Some(line) = lines.next(text::MAX_LINE_BYTES).await? {
            match heard(&line, from)? {
                Some(inbound) => _ = context.inbound.send(inbound).await,
                // Who asks faster than it reads the answers waits with its next lines.
                None => _ = probed.send(()).await,
            }
        }
        Ok(())
    };
    let writing = async {
        loop {
            let message = tokio::select! {
                biased;
                Some(message) = waiting.recv() => message,
                Some(()) = probes.recv() => text::ALIVE,
                else => return Ok(()),
            };
            write.write_all(&message).await.map_err(Fault::io(Reached::Sent))?;
        }
    };
    tokio::select! {
        biased;
        // Another stream of this proxy took its place, or it did not read, or it was silent for too long. Guards
        // against a write that a peer which reads nothing holds up for good, and against orders that nobody waits
        // for any more: what is left unwritten is unanswered, so it counts as unapplied.
        () = ended(given_up) => Ok(()),
        end = reading => end,
        end = writing => end,
    }
}

/// Waits until whoever writes orders has let go of the stream.
async fn ended(given_up: oneshot::Receiver<Infallible>) {
    _ = given_up.await;
}

/// Nothing is written to a collector but answers to probes.
async fn collector(
    id: StreamId,
    mut lines: Lines,
    mut write: OwnedWriteHalf,
    context: Rc<AcceptorContext>,
) -> Result<(), Fault> {
    while let Some(line) = lines.next(text::MAX_LINE_BYTES).await? {
        context.collectors.touch(id);
        match heard(&line, None)? {
            Some(inbound) => _ = context.inbound.send(inbound).await,
            None => write.write_all(&text::ALIVE).await.map_err(Fault::io(Reached::Sent))?,
        }
    }
    Ok(())
}

/// What a line of one who joined says; `None` is a probe. One spoilt message among sound ones costs itself
/// alone; what is no message at all ends the connection.
fn heard(line: &[u8], from: Option<(StreamId, ProxyId)>) -> Result<Option<Inbound>, Fault> {
    Ok(match text::parse(line) {
        Ok(Message::Probe) => None,
        Ok(Message::Report(report)) => Some(Inbound::Reported(from, Ok(report))),
        Ok(other) => Some(Inbound::Reported(from, Err(format!("out of place: {other:?}")))),
        Err(ParseError::InvalidFields(why)) => Some(Inbound::Reported(from, Err(why))),
        Err(ParseError::NotAMessage(why)) => return Err(Fault::reading(why)),
    })
}

/// Lines as they come: in pieces, or many at once.
struct Lines {
    read: OwnedReadHalf,
    buffer: LineBuffer,
    /// Bytes of the unfinished line already known to fit a message.
    checked: usize,
}

impl Lines {
    async fn next(&mut self, longest: usize) -> Result<Option<BytesMut>, Fault> {
        loop {
            if let Some(line) = self.buffer.next() {
                self.checked = 0;
                return Ok(Some(line));
            }
            let start = self.buffer.unfinished();
            let Some(checked) = text::may_become_one(start, self.checked) else {
                return Err(Fault::reading("what can't be read"));
            };
            self.checked = checked;
            if start.len() > longest {
                return Err(Fault::reading(format!("a line is longer than {longest} bytes")));
            }
            let space = self.buffer.space(ROOM);
            if self.read.read_buf(space).await.map_err(Fault::io(Reached::Reading))? == 0 {
                return match self.buffer.unfinished().is_empty() {
                    true => Ok(None),
                    false => Err(Fault::reading("it ends within a line")),
                };
            }
        }
    }
}

#[cfg(test)]
mod tests;
