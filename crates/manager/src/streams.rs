//! Where proxies and collectors connect: accepting, and the life of each connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::decider::{Hello, News, StreamId};
use crate::fault::{Fault, Reached};
use crate::text::{self, Message};

/// Messages that may wait for a proxy that reads slowly, besides what its socket holds.
const WAITING: usize = 64;

/// Bytes taken from a socket at a time, at least.
const ROOM: usize = 4096;

/// What all connections share.
pub struct Doors {
    pub news: mpsc::Sender<News>,
    /// The proxies are numbered below this.
    pub proxies: u16,
    /// Connections that have not said who they are, oldest first, and how many there may be.
    pub strangers: RefCell<VecDeque<(StreamId, Rc<Notify>)>>,
    pub strangers_most: usize,
    pub last: Cell<u64>,
}

impl Doors {
    /// Strangers that say nothing never take the place of proxies: the oldest is put out.
    fn put_out(&self) -> bool {
        let oldest = self.strangers.borrow_mut().pop_front();
        oldest.map(|(_, out)| out.notify_one()).is_some()
    }
}

/// Takes connections for good.
pub async fn accept(listener: TcpListener, doors: Rc<Doors>, pause: Duration) {
    let mut failing = false;
    loop {
        let taken = listener.accept().await;
        let failed_before = std::mem::replace(&mut failing, taken.is_err());
        match taken {
            Ok((socket, from)) => {
                if doors.strangers.borrow().len() >= doors.strangers_most && doors.put_out() {
                    log::debug!("too many strangers: the oldest is put out");
                }
                doors.last.set(doors.last.get() + 1);
                let id = StreamId(doors.last.get());
                let put_out = Rc::new(Notify::new());
                doors.strangers.borrow_mut().push_back((id, put_out.clone()));
                let life = life(id, socket, put_out, doors.clone());
                spawn_local(end(id, from, life, doors.clone()));
            }
            // Guards against running out of descriptors: a stranger's is taken back, all others stay.
            Err(cause) => {
                if !failed_before {
                    log::error!("no connection can be taken: {cause}");
                }
                doors.put_out();
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
    doors: Rc<Doors>,
) {
    let why = match spawn_local(life).await {
        Ok(Ok(())) => None,
        Ok(Err(fault)) => Some(format!("{from}: {fault}")),
        Err(panic) => {
            log::error!("the connection from {from} failed: {panic}");
            Some(format!("{from}: {panic}"))
        }
    };
    log::debug!("the connection from {from} ended: {why:?}");
    doors.strangers.borrow_mut().retain(|(stranger, _)| *stranger != id);
    _ = doors.news.send(News::Ended(id, why)).await;
}

/// One connection, from its introduction to its end.
async fn life(id: StreamId, socket: TcpStream, put_out: Rc<Notify>, doors: Rc<Doors>) -> Result<(), Fault> {
    socket.set_nodelay(true).map_err(Fault::io(Reached::Dialling))?;
    let (read, mut write) = socket.into_split();
    let mut lines = Lines { read, text: BytesMut::new(), seen: 0 };
    let first = tokio::select! {
        first = introduction(&mut lines, &mut write) => first?,
        () = put_out.notified() => return Ok(()),
    };
    doors.strangers.borrow_mut().retain(|(stranger, _)| *stranger != id);
    match first {
        Some(Message::Hello { proxy, zone, inv_per_second, fresh }) => {
            let hello = Hello { proxy, zone, inv_per_second, fresh };
            proxy_stream(id, hello, lines, write, doors).await
        }
        Some(_) => collector(lines, write, doors).await,
        None => Ok(()),
    }
}

/// What a connection is, its first message says; probes are answered before as well.
async fn introduction(lines: &mut Lines, write: &mut OwnedWriteHalf) -> Result<Option<Message>, Fault> {
    while let Some(line) = lines.next(text::LONGEST_FIRST).await? {
        match text::read(&line).map_err(Fault::reading)? {
            Message::Probe => write.write_all(&text::ALIVE).await.map_err(Fault::io(Reached::Sent))?,
            Message::Report(_) => return Err(Fault::reading("a report came before any introduction")),
            first => return Ok(Some(first)),
        }
    }
    Ok(None)
}

/// Reads and writes go on side by side; a stream that brings what can't be read has left.
async fn proxy_stream(
    id: StreamId,
    hello: Hello,
    mut lines: Lines,
    mut write: OwnedWriteHalf,
    doors: Rc<Doors>,
) -> Result<(), Fault> {
    let proxy = hello.proxy;
    if proxy >= doors.proxies {
        return Err(Fault::reading(format!("there is no proxy {proxy}")));
    }
    let (orders, mut waiting) = mpsc::channel(WAITING);
    let answers = orders.downgrade();
    _ = doors.news.send(News::Joined { stream: id, hello, orders }).await;
    let reading = async {
        while let Some(line) = lines.next(text::LONGEST).await? {
            match text::read(&line).map_err(Fault::reading)? {
                Message::Report(report) => _ = doors.news.send(News::Said(Some(id), report)).await,
                Message::Probe => _ = answers.upgrade().map(|orders| orders.try_send(text::ALIVE)),
                other => return Err(Fault::reading(format!("proxy {proxy} goes on with {other:?}"))),
            }
        }
        Ok(())
    };
    let writing = async {
        while let Some(message) = waiting.recv().await {
            write.write_all(&message).await.map_err(Fault::io(Reached::Sent))?;
        }
        // Another stream of this proxy took its place, or it did not read.
        Ok(())
    };
    tokio::select! { end = reading => end, end = writing => end }
}

/// Nothing is written to a collector but answers to probes; a line that can't be read is passed over.
async fn collector(mut lines: Lines, mut write: OwnedWriteHalf, doors: Rc<Doors>) -> Result<(), Fault> {
    while let Some(line) = lines.next(text::LONGEST).await? {
        match text::read(&line) {
            Ok(Message::Report(report)) => _ = doors.news.send(News::Said(None, report)).await,
            Ok(Message::Probe) => write.write_all(&text::ALIVE).await.map_err(Fault::io(Reached::Sent))?,
            Ok(_) => {}
            Err(why) => _ = doors.news.send(News::Odd(format!("from a collector: {why}"))).await,
        }
    }
    Ok(())
}

/// Lines as they come: in pieces, or many at once.
struct Lines {
    read: OwnedReadHalf,
    text: BytesMut,
    /// Bytes already known to hold no end of a line.
    seen: usize,
}

impl Lines {
    async fn next(&mut self, longest: usize) -> Result<Option<BytesMut>, Fault> {
        loop {
            if let Some(end) = self.text[self.seen..].iter().position(|byte| *byte == b'\n') {
                let mut line = self.text.split_to(self.seen + end + 1);
                self.seen = 0;
                line.truncate(line.len() - 1);
                if line.ends_with(b"\r") {
                    line.truncate(line.len() - 1);
                }
                return Ok(Some(line));
            }
            self.seen = self.text.len();
            self.text.reserve(ROOM);
            if self.seen > longest {
                return Err(Fault::reading(format!("a line is longer than {longest} bytes")));
            }
            if self.read.read_buf(&mut self.text).await.map_err(Fault::io(Reached::Reading))? == 0 {
                return match self.text.is_empty() {
                    true => Ok(None),
                    false => Err(Fault::reading("it ends within a line")),
                };
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_panic_in_a_connection_ends_that_connection_alone() {
        let (news, mut told) = mpsc::channel(8);
        let (strangers, last) = Default::default();
        let doors = Rc::new(Doors { news, proxies: 1, strangers, strangers_most: 1, last });
        let from = "127.0.0.1:1".parse().unwrap();
        let tasks = tokio::task::LocalSet::new();
        tasks.spawn_local(end(StreamId(1), from, async { panic!("out of range") }, doors.clone()));
        tasks.spawn_local(end(StreamId(2), from, async { Err(Fault::reading("half a line")) }, doors));
        let mut ended = Vec::new();
        tasks.await;
        while let Ok(News::Ended(id, why)) = told.try_recv() {
            ended.push((id.0, why.unwrap()));
        }
        ended.sort();
        assert!(
            matches!(&ended[..], [(1, panic), (2, fault)]
            if panic.contains("out of range") && fault.contains("half a line (while reading)")),
            "{ended:?}"
        );
    }
}
