//! Links between managers: each dials every other and only writes on the connection that it dialled. A message is a
//! length and a record; a connection begins with who writes, to whom, of which fleet and at which start.

use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use juniperrail_consensus::{MemberId, Run};
use juniperrail_faults::{Fault, Point};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::effects;
use crate::mail::{Mail, PeerMessage};
use crate::setting::{FleetConfig, MemberAddresses};

/// A longer message is none of ours: a snapshot of all that is agreed has room in it.
const LONGEST: u32 = 16 << 20;
/// A first word that is longer is none.
const LONGEST_HELLO: u32 = 1024;
/// Connections that have not said who they are, beside two for each other manager.
const STRANGERS: usize = 16;

#[derive(Serialize, Deserialize)]
struct Hello {
    from: MemberId,
    to: MemberId,
    fleet: String,
    run: Run,
}

/// Where each manager is dialled, as the operator's file or the council says.
pub type Book = Arc<Mutex<MemberAddresses>>;

pub struct Links<'a> {
    me: MemberId,
    fleet: String,
    run: Run,
    listener: &'a TcpListener,
    mail: Arc<Mail>,
    book: Book,
    /// A hello, a write and a dial may take so long, and a broken link waits between this and four times this.
    patience: Duration,
    seed: u64,
}

impl<'a> Links<'a> {
    pub fn new(
        setting: &FleetConfig,
        listener: &'a TcpListener,
        mail: Arc<Mail>,
        run: Run,
        book: Book,
    ) -> Links<'a> {
        let patience = Duration::from_secs_f64(setting.raft.election_timeout_ms / 1000.0);
        let (me, fleet) = (setting.member_id, setting.fleet_name.clone());
        Links { me, fleet, run, listener, mail, book, patience, seed: setting.seed }
    }

    /// Serves until the mail is told to stop.
    pub fn serve(self) {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(why) => return tracing::error!("fleet: no links to other managers: {why}"),
        };
        runtime.block_on(async {
            let mail = self.mail.clone();
            tokio::select! {
                () = self.dial_all() => {}
                () = self.accept() => {}
                () = effects::serve(mail.clone()) => {}
                () = mail.stopped.notified() => {}
            }
        });
    }

    /// A task for each other manager, for as long as it is one.
    async fn dial_all(&self) {
        let mut tasks: std::collections::BTreeMap<MemberId, (String, tokio::task::JoinHandle<()>)> =
            <_>::default();
        let mut rng = fastrand::Rng::with_seed(self.seed);
        loop {
            let book = self.book.lock().clone();
            tasks.retain(|id, (address, task)| {
                let stays = book.get(id) == Some(address);
                if !stays {
                    task.abort();
                }
                stays
            });
            for (id, address) in book.iter().filter(|(id, _)| **id != self.me) {
                if !tasks.contains_key(id) {
                    let hello = Hello { from: self.me, to: *id, fleet: self.fleet.clone(), run: self.run };
                    let link = Link {
                        to: *id,
                        address: address.clone(),
                        hello,
                        mail: self.mail.clone(),
                        patience: self.patience,
                        seed: rng.u64(..),
                    };
                    tasks.insert(*id, (address.clone(), tokio::spawn(link.keep())));
                }
            }
            self.mail.moved.notified().await;
        }
    }

    async fn accept(&self) {
        let listener = self.listener.try_clone().and_then(|listener| {
            listener.set_nonblocking(true)?;
            tokio::net::TcpListener::from_std(listener)
        });
        let listener = match listener {
            Ok(listener) => listener,
            Err(why) => return tracing::error!("fleet: other managers cannot come: {why}"),
        };
        let open = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // No descriptor is left, or the peer is gone already.
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let most = 2 * self.book.lock().len() + STRANGERS;
            if Point::LINK_ACCEPT.pass().is_some() || open.load(Ordering::Relaxed) >= most {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (mail, open, book) = (self.mail.clone(), open.clone(), self.book.clone());
            let (me, fleet, patience) = (self.me, self.fleet.clone(), self.patience);
            tokio::spawn(async move {
                if let Err(why) = listen(socket, me, &fleet, &mail, &book, patience).await {
                    tracing::debug!("fleet: a link from another manager ends: {why}");
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// Reads one connection to its end.
async fn listen(
    mut socket: TcpStream,
    me: MemberId,
    fleet: &str,
    mail: &Mail,
    book: &Book,
    patience: Duration,
) -> io::Result<()> {
    let refused = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
    let hello: Hello = timeout(patience, read(&mut socket, LONGEST_HELLO)).await??;
    if hello.to != me || hello.fleet != fleet || hello.from == me {
        return Err(refused(format!("{} of {:?} speaks to {}", hello.from, hello.fleet, hello.to)));
    }
    if !book.lock().contains_key(&hello.from) {
        return Err(refused(format!(
            "{} is nobody that the operator's file or the council names",
            hello.from
        )));
    }
    let from = mail.of(hello.from);
    let link =
        from.connected(hello.run).ok_or_else(|| refused(format!("{} has started anew since", hello.from)))?;
    loop {
        let parcel: PeerMessage = tokio::select! {
            biased;
            () = from.replaced(link) => return Err(refused("another connection took its place".into())),
            parcel = read(&mut socket, LONGEST) => parcel?,
        };
        let times = match Point::LINK_RECEIVED.pass() {
            Some(Fault::Lose) => 0,
            Some(Fault::Repeat) => 2,
            _ => 1,
        };
        for _ in 0..times {
            let room = from.came(link, parcel.clone());
            mail.wake();
            if !room {
                // Only this manager's connection stands still.
                tokio::select! {
                    () = from.drained.notified() => {}
                    () = from.replaced(link) => return Ok(()),
                }
            }
        }
    }
}

async fn read<T: DeserializeOwned>(socket: &mut TcpStream, longest: u32) -> io::Result<T> {
    let length = socket.read_u32().await?;
    if length > longest {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a message of {length} bytes")));
    }
    let mut bytes = Vec::new();
    // What is claimed is not reserved: it comes first.
    (&mut *socket).take(length.into()).read_to_end(&mut bytes).await?;
    if bytes.len() < length as usize {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&bytes).map_err(|why| io::Error::new(io::ErrorKind::InvalidData, why.to_string()))
}

fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes);
    frame
}

/// The way to one other manager.
struct Link {
    to: MemberId,
    address: String,
    hello: Hello,
    mail: Arc<Mail>,
    patience: Duration,
    seed: u64,
}

impl Link {
    async fn keep(self) {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut wait = self.patience / 8;
        loop {
            let begun = tokio::time::Instant::now();
            if let Err(why) = self.speak().await {
                tracing::debug!("fleet: the link to {} at {} broke: {why}", self.to, self.address);
            }
            // One that held for long was well; one that breaks at once is tried ever more rarely.
            wait = if begun.elapsed() > self.patience {
                self.patience / 8
            } else {
                (wait * 2).min(self.patience * 4)
            };
            sleep(wait.mul_f64(0.5 + rng.f64() / 2.0)).await;
        }
    }

    async fn speak(&self) -> io::Result<()> {
        if Point::LINK_DIAL.pass().is_some() {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let mut socket = timeout(self.patience, TcpStream::connect(&self.address)).await??;
        socket.set_nodelay(true)?;
        let own = self.mail.of(self.to);
        self.put(&mut socket, &frame(&self.hello)).await?;
        loop {
            let Some(parcel) = own.to_send() else {
                tokio::select! {
                    () = own.filled.notified() => {}
                    // Nothing is ever written to the one that dialled: whatever comes is the end.
                    _ = socket.readable() => {
                        let mut byte = [0; 1];
                        match socket.try_read(&mut byte) {
                            Err(why) if why.kind() == io::ErrorKind::WouldBlock => {}
                            Ok(0) => return Err(io::ErrorKind::ConnectionReset.into()),
                            Ok(_) => return Err(io::ErrorKind::InvalidData.into()),
                            Err(why) => return Err(why),
                        }
                    }
                }
                continue;
            };
            let bytes = frame(&parcel);
            match Point::LINK_SEND.pass() {
                Some(Fault::Lose) => continue,
                Some(Fault::Repeat) => self.put(&mut socket, &bytes).await?,
                Some(Fault::Tear) => {
                    self.put(&mut socket, &bytes[..bytes.len() / 2]).await?;
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                _ => {}
            }
            self.put(&mut socket, &bytes).await?;
            _ = Point::LINK_SENT.pass();
        }
    }

    /// A peer that takes nothing for so long has its connection ended.
    async fn put(&self, socket: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        timeout(self.patience * 4, socket.write_all(bytes)).await?
    }
}

#[cfg(test)]
mod tests;
