//! What other programs embed to speak NETCONF with a juniperrail manager, over SSH or TLS.
//!
//! ```no_run
//! use juniperrail_client::{Client, Commit, Endpoint, Datastore};
//!
//! # async fn drained() -> Result<(), juniperrail_client::ClientError> {
//! let dial = Endpoint::ssh("127.0.0.1:830", "ann", "ann.key").with_host_key("host.pub");
//! let mut client = Client::connect(&dial).await?;
//! client.edit(r#"<workers xmlns="tag:juniperrail.example,2026:yang:manager">
//!     <worker><name>s-1</name><wanted>draining</wanted></worker></workers>"#).await?;
//! client.commit(&Commit::default()).await?; // whole, or refused with the reasons
//! println!("{}", client.get_config(Datastore::Running, None).await?.text());
//! client.close().await
//! # }
//! ```

mod dial;
mod failed;

use std::collections::VecDeque;

use juniperrail_framing::{encode, Decoder, Framing};
use juniperrail_model::xml::{self, Attr, Element, NETCONF};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

pub use dial::Endpoint;
pub use failed::{ClientError, ErrorKind, RpcError, Stage};

const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
/// RFC 5277.
pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// RFC 6022.
pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// Notifications that wait to be taken while replies are waited for; the oldest give way.
const WAITING: usize = 1024;
const ROOM: usize = 16 << 10;

/// A stream of bytes in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Stream for S {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

impl Datastore {
    pub fn name(self) -> &'static str {
        match self {
            Datastore::Running => "running",
            Datastore::Candidate => "candidate",
            Datastore::Startup => "startup",
        }
    }
}

/// What a commit asks for, RFC 6241 section 8.4.
#[derive(Clone, Debug, Default)]
pub struct Commit {
    /// Seconds after which it is undone unless it is confirmed.
    pub confirm_timeout_s: Option<u32>,
    /// The name by which any session may confirm it.
    pub persist: Option<String>,
    /// The name of the commit that this one confirms.
    pub persist_id: Option<String>,
}

/// Elements that came as an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Data(pub Vec<Element>);

impl Data {
    /// As XML, one element a line.
    pub fn text(&self) -> String {
        self.0.iter().map(|element| xml::write(element, true)).collect()
    }

    /// The first element on a path of names, whatever their namespaces.
    pub fn find(&self, names: &[&str]) -> Option<&Element> {
        let (first, rest) = names.split_first()?;
        let at = self.0.iter().find(|element| element.name == *first)?;
        rest.iter().try_fold(at, |at, name| at.children.iter().find(|child| child.name == *name))
    }
}

/// An open session. One operation is under way at a time.
pub struct Client {
    /// `None` only while it is dropped.
    stream: Option<Box<dyn Stream>>,
    runtime: tokio::runtime::Handle,
    decoder: Decoder,
    framing: Framing,
    next_id: u64,
    notifications: VecDeque<Element>,
    /// The session's number, and what the server can do.
    pub session_id: u32,
    pub capabilities: Vec<String>,
    /// Keeps the transport below the stream alive.
    transport: Option<Box<dyn std::any::Any + Send>>,
}

fn element(name: &str) -> Element {
    Element::new(NETCONF, name)
}

fn leaf(name: &str, text: &str) -> Element {
    Element::with_text(NETCONF, name, text)
}

impl Client {
    /// Dials, says who it is and exchanges hellos.
    pub async fn connect(endpoint: &Endpoint) -> Result<Client, ClientError> {
        let (stream, transport) = endpoint.connect().await?;
        let mut client = Client::from_stream(stream).await?;
        client.transport = transport;
        Ok(client)
    }

    /// Over any stream on which a NETCONF server waits.
    pub async fn from_stream(stream: impl Stream + 'static) -> Result<Client, ClientError> {
        let mut client = Client {
            stream: Some(Box::new(stream)),
            runtime: tokio::runtime::Handle::current(),
            decoder: Decoder::default(),
            framing: Framing::EndOfMessage,
            next_id: 1,
            notifications: VecDeque::new(),
            session_id: 0,
            capabilities: Vec::new(),
            transport: None,
        };
        let capabilities = [BASE_1_0, BASE_1_1].map(|name| leaf("capability", name));
        let hello = element("hello").with(element("capabilities").with_all(capabilities));
        client.send(&xml::write(&hello, false)).await?;
        let hello = client.receive().await?;
        let odd = |what: &str| ClientError::new(Stage::Receiving, ErrorKind::MalformedMessage(what.into()));
        if !hello.is(NETCONF, "hello") {
            return Err(odd("the server says no hello"));
        }
        let number = hello.get(NETCONF, "session-id").and_then(|id| id.word().parse().ok());
        client.session_id = number.ok_or_else(|| odd("the server's hello names no session"))?;
        let named = hello.get(NETCONF, "capabilities").map(|of| &of.children[..]).unwrap_or_default();
        client.capabilities = named.iter().map(|of| of.word().to_string()).collect();
        if client.capabilities.iter().any(|name| name == BASE_1_1) {
            client.framing = Framing::Chunked;
            client.decoder.frame(Framing::Chunked);
        }
        Ok(client)
    }

    async fn send(&mut self, message: &str) -> Result<(), ClientError> {
        self.send_raw(&encode(self.framing, message)).await
    }

    /// Writes bytes as they are, for who wants to know what a server makes of them.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), ClientError> {
        let failed =
            |why: std::io::Error| ClientError::new(Stage::Sent, ErrorKind::ConnectionLost(why.to_string()));
        let Some(stream) = &mut self.stream else { return Ok(()) };
        stream.write_all(bytes).await.map_err(failed)?;
        stream.flush().await.map_err(failed)
    }

    async fn receive(&mut self) -> Result<Element, ClientError> {
        let failed = |reason| ClientError::new(Stage::Receiving, reason);
        let mut room = [0; ROOM];
        loop {
            let message = self.decoder.message();
            if let Some(message) =
                message.map_err(|why| failed(ErrorKind::MalformedMessage(why.to_string())))?
            {
                return xml::read(&message).map_err(|why| failed(ErrorKind::MalformedMessage(why.what)));
            }
            let Some(stream) = &mut self.stream else {
                return Err(failed(ErrorKind::ConnectionLost("the session is over".into())));
            };
            match stream.read(&mut room).await {
                Ok(0) => {
                    return Err(failed(ErrorKind::ConnectionLost("the server ended the session".into())))
                }
                Ok(read) => self.decoder.push(&room[..read]),
                Err(why) => return Err(failed(ErrorKind::ConnectionLost(why.to_string()))),
            }
        }
    }

    /// The next reply, with notifications that come before it put aside.
    pub async fn read_reply(&mut self) -> Result<Element, ClientError> {
        loop {
            let message = self.receive().await?;
            if !message.is(NOTIFICATION, "notification") {
                return ClientError::refused(message);
            }
            if self.notifications.len() == WAITING {
                self.notifications.pop_front();
            }
            self.notifications.push_back(message);
        }
    }

    /// Has one operation done and gives back the reply. [`ErrorKind::RpcErrors`] holds the server's reasons.
    pub async fn rpc(&mut self, operation: Element) -> Result<Element, ClientError> {
        let (ns, name, value) = ("".into(), "message-id".to_string(), self.next_id.to_string());
        self.next_id += 1;
        let rpc = Element { attrs: vec![Attr { ns, name, value }], ..element("rpc").with(operation) };
        self.send(&xml::write(&rpc, false)).await?;
        self.read_reply().await
    }

    async fn data(&mut self, operation: Element) -> Result<Data, ClientError> {
        let reply = self.rpc(operation).await?;
        Ok(Data(reply.children.into_iter().next().map(|data| data.children).unwrap_or_default()))
    }

    fn filter(text: Option<&str>) -> Result<Option<Element>, ClientError> {
        let Some(text) = text else { return Ok(None) };
        let filter = format!("<filter xmlns=\"{NETCONF}\">{text}</filter>");
        let read = xml::read(filter.as_bytes());
        read.map(Some)
            .map_err(|why| ClientError::new(Stage::NotStarted, ErrorKind::MalformedMessage(why.what)))
    }

    /// Configuration and state. `filter`: elements of a subtree filter, as text.
    pub async fn get(&mut self, filter: Option<&str>) -> Result<Data, ClientError> {
        let filter = Client::filter(filter)?;
        self.data(element("get").with_all(filter)).await
    }

    pub async fn get_config(&mut self, store: Datastore, filter: Option<&str>) -> Result<Data, ClientError> {
        let filter = Client::filter(filter)?;
        let source = element("source").with(element(store.name()));
        self.data(element("get-config").with(source).with_all(filter)).await
    }

    /// Merges XML elements into the candidate; `operation` attributes in them say otherwise.
    pub async fn edit(&mut self, config: &str) -> Result<(), ClientError> {
        self.edit_with(config, "merge", "test-then-set").await
    }

    /// The same with RFC 6241's `default-operation` and `test-option`.
    pub async fn edit_with(&mut self, config: &str, default: &str, test: &str) -> Result<(), ClientError> {
        let config = format!("<config xmlns=\"{NETCONF}\">{config}</config>");
        let config = xml::read(config.as_bytes());
        let config = config
            .map_err(|why| ClientError::new(Stage::NotStarted, ErrorKind::MalformedMessage(why.what)))?;
        let edit = element("edit-config")
            .with(element("target").with(element("candidate")))
            .with(leaf("default-operation", default))
            .with(leaf("test-option", test))
            .with(config);
        self.rpc(edit).await.map(drop)
    }

    /// Makes the candidate running, whole or not at all.
    pub async fn commit(&mut self, commit: &Commit) -> Result<(), ClientError> {
        let mut operation = element("commit");
        if let Some(seconds) = commit.confirm_timeout_s {
            operation =
                operation.with(element("confirmed")).with(leaf("confirm-timeout", &seconds.to_string()));
            operation = operation.with_all(commit.persist.as_ref().map(|name| leaf("persist", name)));
        }
        operation = operation.with_all(commit.persist_id.as_ref().map(|name| leaf("persist-id", name)));
        self.rpc(operation).await.map(drop)
    }

    pub async fn cancel_commit(&mut self, persist_id: Option<&str>) -> Result<(), ClientError> {
        let named = persist_id.map(|name| leaf("persist-id", name));
        self.rpc(element("cancel-commit").with_all(named)).await.map(drop)
    }

    pub async fn discard(&mut self) -> Result<(), ClientError> {
        self.rpc(element("discard-changes")).await.map(drop)
    }

    /// Whether the manager would take a datastore as it is now.
    pub async fn validate(&mut self, store: Datastore) -> Result<(), ClientError> {
        self.rpc(element("validate").with(element("source").with(element(store.name())))).await.map(drop)
    }

    pub async fn lock(&mut self, store: Datastore) -> Result<(), ClientError> {
        self.rpc(element("lock").with(element("target").with(element(store.name())))).await.map(drop)
    }

    pub async fn unlock(&mut self, store: Datastore) -> Result<(), ClientError> {
        self.rpc(element("unlock").with(element("target").with(element(store.name())))).await.map(drop)
    }

    pub async fn copy(&mut self, source: Datastore, target: Datastore) -> Result<(), ClientError> {
        let target = element("target").with(element(target.name()));
        let source = element("source").with(element(source.name()));
        self.rpc(element("copy-config").with(target).with(source)).await.map(drop)
    }

    /// Puts an older version of running into the candidate.
    pub async fn rollback(&mut self, version: u64) -> Result<(), ClientError> {
        const MANAGER: &str = "tag:juniperrail.example,2026:yang:manager";
        let version = Element::with_text(MANAGER, "version", version.to_string());
        self.rpc(Element::new(MANAGER, "rollback").with(version)).await.map(drop)
    }

    /// The text of a YANG module.
    pub async fn schema(&mut self, module: &str) -> Result<String, ClientError> {
        let named = Element::with_text(MONITORING, "identifier", module);
        let reply = self.rpc(Element::new(MONITORING, "get-schema").with(named)).await?;
        Ok(reply.children.into_iter().next().map(|data| data.text).unwrap_or_default())
    }

    /// From now on notifications are told; `filter` as with [`Client::get`].
    pub async fn subscribe(&mut self, filter: Option<&str>) -> Result<(), ClientError> {
        let filter = Client::filter(filter)?.map(|filter| Element { ns: NOTIFICATION.into(), ..filter });
        self.rpc(Element::new(NOTIFICATION, "create-subscription").with_all(filter)).await.map(drop)
    }

    /// The next notification: `eventTime` and the event below it.
    pub async fn next_notification(&mut self) -> Result<Element, ClientError> {
        if let Some(waiting) = self.notifications.pop_front() {
            return Ok(waiting);
        }
        loop {
            let message = self.receive().await?;
            if message.is(NOTIFICATION, "notification") {
                return Ok(message);
            }
        }
    }

    /// Ends the session as the protocol wants it.
    pub async fn close(mut self) -> Result<(), ClientError> {
        self.rpc(element("close-session")).await.map(drop)
    }
}

/// Guards against a panic where the last of a session is dropped outside of its runtime: an SSH channel tells its
/// end by a task.
impl Drop for Client {
    fn drop(&mut self) {
        let _runtime = self.runtime.enter();
        self.stream = None;
        self.transport = None;
    }
}
