//! NETCONF over SSH, RFC 6242: users by public key alone, one session a connection, the subsystem `netconf`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::AccessControl;
use russh::keys::{PrivateKey, PublicKey};
use russh::server::{run_stream, Auth, ChannelOpenHandle, Config, Handler, Msg, Session, VerifiedPublicKey};
use russh::{Channel, ChannelId, MethodKind, MethodSet};
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout};

use crate::places::{known, Places};
use crate::service::Shared;
use crate::session::Limits;

/// Bytes of a session that may be on their way unread.
const WINDOW: u32 = 256 << 10;
const TRIES: usize = 4;
/// Who was answered to the last has so long to go.
const FAREWELL: Duration = Duration::from_secs(2);

pub fn config(key: PrivateKey, limits: Limits) -> Config {
    Config {
        methods: MethodSet::from(&[MethodKind::PublicKey][..]),
        auth_rejection_time: Duration::from_millis(200),
        auth_rejection_time_initial: Some(Duration::ZERO),
        keys: vec![key],
        window_size: WINDOW,
        channel_buffer_size: 8,
        max_auth_attempts: TRIES,
        // Sessions that may be idle for longer are ended by the session itself.
        inactivity_timeout: None,
        keepalive_interval: Some(limits.hello_within.max(Duration::from_secs(15))),
        nodelay: true,
        ..Config::default()
    }
}

struct Connection {
    from: SocketAddr,
    shared: Arc<Shared>,
    access: watch::Receiver<AccessControl>,
    limits: Limits,
    places: Places,
    /// The stranger's place, until there is a session.
    place: Option<OwnedSemaphorePermit>,
    user: Option<String>,
    channel: Option<Channel<Msg>>,
    begun: Arc<tokio::sync::Notify>,
}

impl Handler for Connection {
    type Error = russh::Error;

    async fn auth_publickey(&mut self, user: &str, key: VerifiedPublicKey<'_>) -> Result<Auth, russh::Error> {
        let same = |line: &str| {
            PublicKey::from_openssh(line).is_ok_and(|known| known.key_data() == key.public_key.key_data())
        };
        if self.access.borrow().ssh_keys(user).any(same) {
            self.user = Some(user.to_string());
            return Ok(Auth::Accept);
        }
        tracing::info!("{user:.64?} from {} comes with a key that is not known", self.from);
        Ok(Auth::reject())
    }

    async fn channel_open_session(
        &mut self,
        channel: Channel<Msg>,
        reply: ChannelOpenHandle,
        _: &mut Session,
    ) -> Result<(), russh::Error> {
        // One session a connection: a second channel is refused as the handle is dropped.
        if self.channel.is_none() && self.place.is_some() {
            self.channel = Some(channel);
            reply.accept().await;
        }
        Ok(())
    }

    async fn subsystem_request(
        &mut self,
        id: ChannelId,
        name: &str,
        session: &mut Session,
    ) -> Result<(), russh::Error> {
        let open = self.channel.take_if(|channel| name == "netconf" && channel.id() == id);
        let (Some(channel), Some(user), Some(place)) = (open, self.user.clone(), self.place.take()) else {
            return session.channel_failure(id);
        };
        session.channel_success(id)?;
        self.begun.notify_one();
        let (shared, limits, places) = (self.shared.clone(), self.limits, self.places.clone());
        let (handle, from) = (session.handle(), format!("ssh {}", self.from));
        tokio::spawn(async move {
            let stream = channel.into_stream();
            if let Err(why) = known(stream, shared, &user, &from, limits, &places, place).await {
                tracing::info!("no session for {user} from {from}: {why}");
            }
            _ = handle.exit_status_request(id, 0).await;
            _ = handle.close(id).await;
            // A disconnect goes before what is still to be sent, the last reply among it: the client is left time to
            // take that and to go by itself.
            sleep(FAREWELL).await;
            let over = russh::Disconnect::ByApplication;
            _ = handle.disconnect(over, String::new(), String::new()).await;
        });
        Ok(())
    }
}

/// One connection, from its first byte to its end.
pub async fn connection(
    socket: TcpStream,
    from: SocketAddr,
    config: Arc<Config>,
    shared: Arc<Shared>,
    limits: Limits,
    places: Places,
    place: OwnedSemaphorePermit,
) -> Result<(), String> {
    let begun = Arc::new(tokio::sync::Notify::new());
    let handler = Connection {
        from,
        access: shared.keeper.access_rules(),
        shared,
        limits,
        places,
        place: Some(place),
        user: None,
        channel: None,
        begun: begun.clone(),
    };
    let running = timeout(limits.hello_within, run_stream(config, socket, handler)).await;
    let mut running = match running {
        Ok(running) => running.map_err(|why| why.to_string())?,
        Err(_) => return Err("it does not begin".into()),
    };
    let handle = running.handle();
    let first = tokio::select! {
        end = &mut running => Some(end),
        begun = timeout(limits.hello_within, begun.notified()) => {
            if begun.is_err() {
                // Guards against connections that never become a session and keep a place.
                _ = handle.disconnect(russh::Disconnect::ByApplication, String::new(), String::new()).await;
                _ = timeout(Duration::from_secs(1), &mut running).await;
                return Err("it asks for no session in time".into());
            }
            None
        }
    };
    let end = match first {
        Some(end) => end,
        None => running.await,
    };
    match end {
        Ok(()) | Err(russh::Error::Disconnect | russh::Error::HUP) => Ok(()),
        // Common clients just hang up after their last reply.
        Err(russh::Error::IO(why)) if why.kind() == std::io::ErrorKind::UnexpectedEof => Ok(()),
        Err(why) => Err(why.to_string()),
    }
}
