//! Links between managers. Each manager dials every other one. It only writes on the connections that it dialled and
//! only reads on those that it accepted. Each message is preceded by its length. A connection starts with a handshake
//! that names the sender, the receiver, the fleet and the sender's run.

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

use crate::channels::{Channels, PeerMessage};
use crate::config::{FleetConfig, MemberAddresses};
use crate::effects;

/// Must be large enough for a snapshot of the replicated state.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
const MAX_HANDSHAKE_BYTES: u32 = 1024;
/// Connections that are accepted in addition to two for each member, for peers that have not sent their handshake yet.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 16;

/// The handshake, the first message on a link.
#[derive(Serialize, Deserialize)]
struct Handshake {
    sender: MemberId,
    receiver: MemberId,
    fleet: String,
    run: Run,
}

/// The address of each member, from the operator's file or the replicated membership.
pub type PeerTable = Arc<Mutex<MemberAddresses>>;

/// The links of this manager to and from all other members.
pub struct Links<'a> {
    member_id: MemberId,
    fleet_name: String,
    run: Run,
    listener: &'a TcpListener,
    channels: Arc<Channels>,
    peer_table: PeerTable,
    /// The time limit of connecting and of receiving a handshake. A write may take four times as long, and the
    /// reconnect backoff is derived from this limit.
    io_timeout: Duration,
    seed: u64,
}

impl<'a> Links<'a> {
    pub fn new(
        config: &FleetConfig,
        listener: &'a TcpListener,
        channels: Arc<Channels>,
        run: Run,
        peer_table: PeerTable,
    ) -> Links<'a> {
        let io_timeout = Duration::from_secs_f64(config.raft.election_timeout_ms / 1000.0);
        let (member_id, fleet_name) = (config.member_id, config.fleet_name.clone());
        Links { member_id, fleet_name, run, listener, channels, peer_table, io_timeout, seed: config.seed }
    }

    /// Serves all links and sends effects until the channels are stopped.
    pub fn serve(self) {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return tracing::error!("fleet: no links to other managers: {error}"),
        };
        runtime.block_on(async {
            let channels = self.channels.clone();
            tokio::select! {
                () = self.dial_peers() => {}
                () = self.accept() => {}
                () = effects::serve(channels.clone()) => {}
                () = channels.stopped.notified() => {}
            }
        });
    }

    /// Runs one task for the link to each other member. Aborts the task when the member is removed and replaces it when
    /// the member's address changes.
    async fn dial_peers(&self) {
        let mut tasks: std::collections::BTreeMap<MemberId, (String, tokio::task::JoinHandle<()>)> =
            <_>::default();
        let mut rng = fastrand::Rng::with_seed(self.seed);
        loop {
            let peer_table = self.peer_table.lock().clone();
            tasks.retain(|id, (address, task)| {
                let unchanged = peer_table.get(id) == Some(address);
                if !unchanged {
                    task.abort();
                }
                unchanged
            });
            for (id, address) in peer_table.iter().filter(|(id, _)| **id != self.member_id) {
                if !tasks.contains_key(id) {
                    let handshake = Handshake {
                        sender: self.member_id,
                        receiver: *id,
                        fleet: self.fleet_name.clone(),
                        run: self.run,
                    };
                    let link = OutgoingLink {
                        peer: *id,
                        address: address.clone(),
                        handshake,
                        channels: self.channels.clone(),
                        io_timeout: self.io_timeout,
                        seed: rng.u64(..),
                    };
                    tasks.insert(*id, (address.clone(), tokio::spawn(link.run())));
                }
            }
            self.channels.members_changed.notified().await;
        }
    }

    /// Accepts connections from other managers and runs a task for each one. Closes a connection at once if there are
    /// too many.
    async fn accept(&self) {
        let listener = self.listener.try_clone().and_then(|listener| {
            listener.set_nonblocking(true)?;
            tokio::net::TcpListener::from_std(listener)
        });
        let listener = match listener {
            Ok(listener) => listener,
            Err(error) => return tracing::error!("fleet: cannot accept links from other managers: {error}"),
        };
        let connection_count = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // Out of file descriptors, or the peer has already closed the connection.
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let max_connections = 2 * self.peer_table.lock().len() + MAX_UNIDENTIFIED_CONNECTIONS;
            if Point::LINK_ACCEPT.pass().is_some()
                || connection_count.load(Ordering::Relaxed) >= max_connections
            {
                continue;
            }
            connection_count.fetch_add(1, Ordering::Relaxed);
            let (channels, connection_count, peer_table) =
                (self.channels.clone(), connection_count.clone(), self.peer_table.clone());
            let (member_id, fleet_name, io_timeout) =
                (self.member_id, self.fleet_name.clone(), self.io_timeout);
            tokio::spawn(async move {
                let receive_until_closed =
                    receive_messages(socket, member_id, &fleet_name, &channels, &peer_table, io_timeout);
                if let Err(error) = receive_until_closed.await {
                    tracing::debug!("fleet: a link from another manager was closed: {error}");
                }
                connection_count.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// Reads the messages of one incoming connection until it is closed or replaced.
async fn receive_messages(
    mut socket: TcpStream,
    member_id: MemberId,
    fleet_name: &str,
    channels: &Channels,
    peer_table: &PeerTable,
    io_timeout: Duration,
) -> io::Result<()> {
    let rejection = |reason: String| io::Error::new(io::ErrorKind::InvalidData, reason);
    let handshake: Handshake = timeout(io_timeout, read_message(&mut socket, MAX_HANDSHAKE_BYTES)).await??;
    if handshake.receiver != member_id || handshake.fleet != fleet_name || handshake.sender == member_id {
        return Err(rejection(format!(
            "handshake from {} of fleet {:?} to {}: wrong fleet or member",
            handshake.sender, handshake.fleet, handshake.receiver
        )));
    }
    if !peer_table.lock().contains_key(&handshake.sender) {
        return Err(rejection(format!(
            "{} is neither in the operator's file nor in the replicated membership",
            handshake.sender
        )));
    }
    let peer = channels.peer(handshake.sender);
    let connection = peer.register_connection(handshake.run).ok_or_else(|| {
        rejection(format!("{} has restarted since it sent this handshake", handshake.sender))
    })?;
    loop {
        let message: PeerMessage = tokio::select! {
            biased;
            () = peer.wait_until_replaced(connection) => {
                return Err(rejection("replaced by a newer connection".into()))
            }
            message = read_message(&mut socket, MAX_MESSAGE_BYTES) => message?,
        };
        let copies = match Point::LINK_RECEIVED.pass() {
            Some(Fault::Lose) => 0,
            Some(Fault::Repeat) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let has_room = peer.receive(connection, message.clone());
            channels.wake();
            if !has_room {
                // Stops reading from this peer only.
                tokio::select! {
                    () = peer.inbox_drained.notified() => {}
                    () = peer.wait_until_replaced(connection) => return Ok(()),
                }
            }
        }
    }
}

/// Reads one message, which is preceded by its length.
async fn read_message<T: DeserializeOwned>(socket: &mut TcpStream, max_bytes: u32) -> io::Result<T> {
    let length = socket.read_u32().await?;
    if length > max_bytes {
        let reason = format!("message of {length} bytes is longer than {max_bytes}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    let mut bytes = Vec::new();
    // The buffer grows as bytes arrive, so that a peer cannot make this manager allocate the announced length.
    (&mut *socket).take(length.into()).read_to_end(&mut bytes).await?;
    if bytes.len() < length as usize {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}

/// Encodes a message, preceded by its length.
fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend(bytes);
    frame
}

/// The outgoing link to one peer.
struct OutgoingLink {
    peer: MemberId,
    address: String,
    handshake: Handshake,
    channels: Arc<Channels>,
    io_timeout: Duration,
    seed: u64,
}

impl OutgoingLink {
    /// Connects and sends messages; reconnects with backoff and jitter when the connection breaks.
    async fn run(self) {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let min_backoff = self.io_timeout / 8;
        let mut backoff = min_backoff;
        loop {
            let started_at = tokio::time::Instant::now();
            if let Err(error) = self.send_messages().await {
                tracing::debug!("fleet: the link to {} at {} broke: {error}", self.peer, self.address);
            }
            // A connection that lasted longer than the time limit of connecting resets the backoff; any other doubles
            // it.
            backoff = if started_at.elapsed() > self.io_timeout {
                min_backoff
            } else {
                (backoff * 2).min(self.io_timeout * 4)
            };
            sleep(backoff.mul_f64(0.5 + rng.f64() / 2.0)).await;
        }
    }

    /// Connects and sends queued messages until the connection breaks.
    async fn send_messages(&self) -> io::Result<()> {
        if Point::LINK_DIAL.pass().is_some() {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let mut socket = timeout(self.io_timeout, TcpStream::connect(&self.address)).await??;
        socket.set_nodelay(true)?;
        let queues = self.channels.peer(self.peer);
        self.write(&mut socket, &encode_frame(&self.handshake)).await?;
        loop {
            let Some(message) = queues.next_outgoing() else {
                tokio::select! {
                    () = queues.message_queued.notified() => {}
                    // The peer never writes on this connection: a readable socket means that it was closed or that the
                    // peer violates the protocol.
                    _ = socket.readable() => {
                        let mut byte = [0; 1];
                        match socket.try_read(&mut byte) {
                            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                            Ok(0) => return Err(io::ErrorKind::ConnectionReset.into()),
                            Ok(_) => return Err(io::ErrorKind::InvalidData.into()),
                            Err(error) => return Err(error),
                        }
                    }
                }
                continue;
            };
            let bytes = encode_frame(&message);
            match Point::LINK_SEND.pass() {
                Some(Fault::Lose) => continue,
                Some(Fault::Repeat) => self.write(&mut socket, &bytes).await?,
                Some(Fault::Tear) => {
                    self.write(&mut socket, &bytes[..bytes.len() / 2]).await?;
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                _ => {}
            }
            self.write(&mut socket, &bytes).await?;
            _ = Point::LINK_SENT.pass();
        }
    }

    /// Fails if the bytes cannot be written within four times `io_timeout`, for example because the peer does not read.
    async fn write(&self, socket: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        timeout(self.io_timeout * 4, socket.write_all(bytes)).await?
    }
}

#[cfg(test)]
mod tests;
