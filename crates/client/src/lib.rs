//! A NETCONF client for juniperrail managers, over SSH or TLS.
//!
//! ```no_run
//! use juniperrail_client::{Client, Commit, Endpoint, Datastore};
//!
//! # async fn drain() -> Result<(), juniperrail_client::ClientError> {
//! let endpoint = Endpoint::ssh("127.0.0.1:830", "ann", "ann.key").with_host_key("host.pub");
//! let mut client = Client::connect(&endpoint).await?;
//! client.edit(r#"<workers xmlns="tag:juniperrail.example,2026:yang:manager">
//!     <worker><name>s-1</name><wanted>draining</wanted></worker></workers>"#).await?;
//! client.commit(&Commit::default()).await?; // all or nothing; the error of a refused commit lists the reasons
//! println!("{}", client.get_config(Datastore::Running, None).await?.text());
//! client.close().await
//! # }
//! ```

mod endpoint;
mod error;

use std::collections::VecDeque;

use juniperrail_framing::{encode, Decoder, Framing};
use juniperrail_model::xml::{self, Attribute, Element, NETCONF_NAMESPACE};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

pub use endpoint::Endpoint;
pub use error::{ClientError, ErrorKind, RpcError, Stage};

/// The base capability of RFC 4741.
const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
/// The base capability of RFC 6241.
const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
/// The namespace of notifications, RFC 5277.
pub const NOTIFICATION_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The namespace of `ietf-netconf-monitoring`, RFC 6022.
pub const MONITORING_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// Maximum number of notifications that are queued while the client waits for replies. The oldest are dropped first.
const MAX_QUEUED_NOTIFICATIONS: usize = 1024;
/// Size of the buffer for reads from the stream.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Stream for S {}

/// A configuration datastore of RFC 6241.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

impl Datastore {
    /// The element name of the datastore.
    pub fn name(self) -> &'static str {
        match self {
            Datastore::Running => "running",
            Datastore::Candidate => "candidate",
            Datastore::Startup => "startup",
        }
    }
}

/// The parameters of a commit, RFC 6241 section 8.4.
#[derive(Clone, Debug, Default)]
pub struct Commit {
    /// If set, this is a confirmed commit: the server rolls it back unless a later commit confirms it within this many
    /// seconds.
    pub confirm_timeout_s: Option<u32>,
    /// A token with which any session may confirm or cancel this commit. Only sent for a confirmed commit.
    pub persist: Option<String>,
    /// The `persist` token of the earlier commit that this commit confirms.
    pub persist_id: Option<String>,
}

/// The data elements of a reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Data(pub Vec<Element>);

impl Data {
    /// The elements as XML, one element per line.
    pub fn text(&self) -> String {
        self.0.iter().map(|element| xml::write(element, true)).collect()
    }

    /// The first element at a path of names, in any namespace.
    pub fn find(&self, names: &[&str]) -> Option<&Element> {
        let (first, rest) = names.split_first()?;
        let root = self.0.iter().find(|element| element.name == *first)?;
        rest.iter().try_fold(root, |parent, name| parent.children.iter().find(|child| child.name == *name))
    }
}

/// An open session, which executes one operation at a time.
pub struct Client {
    /// `None` only while the client is being dropped.
    stream: Option<Box<dyn Stream>>,
    /// The runtime in which the client was created.
    runtime: tokio::runtime::Handle,
    decoder: Decoder,
    framing: Framing,
    next_message_id: u64,
    /// Notifications that arrived while the client waited for replies.
    notifications: VecDeque<Element>,
    /// The session-id that the server assigned.
    pub session_id: u32,
    /// The capabilities that the server listed in its hello.
    pub capabilities: Vec<String>,
    /// Keeps the transport of the stream alive.
    transport: Option<Box<dyn std::any::Any + Send>>,
}

fn element(name: &str) -> Element {
    Element::new(NETCONF_NAMESPACE, name)
}

fn leaf(name: &str, text: &str) -> Element {
    Element::with_text(NETCONF_NAMESPACE, name, text)
}

impl Client {
    /// Connects, authenticates and exchanges hellos.
    pub async fn connect(endpoint: &Endpoint) -> Result<Client, ClientError> {
        let (stream, transport) = endpoint.connect().await?;
        let mut client = Client::from_stream(stream).await?;
        client.transport = transport;
        Ok(client)
    }

    /// Opens a session over a stream to a NETCONF server.
    pub async fn from_stream(stream: impl Stream + 'static) -> Result<Client, ClientError> {
        let mut client = Client {
            stream: Some(Box::new(stream)),
            runtime: tokio::runtime::Handle::current(),
            decoder: Decoder::default(),
            framing: Framing::EndOfMessage,
            next_message_id: 1,
            notifications: VecDeque::new(),
            session_id: 0,
            capabilities: Vec::new(),
            transport: None,
        };
        let capabilities = [BASE_1_0, BASE_1_1].map(|name| leaf("capability", name));
        let hello = element("hello").with_child(element("capabilities").with_children(capabilities));
        client.send(&xml::write(&hello, false)).await?;
        let hello = client.receive().await?;
        let malformed =
            |message: &str| ClientError::new(Stage::Receiving, ErrorKind::MalformedMessage(message.into()));
        if !hello.is(NETCONF_NAMESPACE, "hello") {
            return Err(malformed("the first message of the server is not a hello"));
        }
        let session_id =
            hello.child(NETCONF_NAMESPACE, "session-id").and_then(|id| id.trimmed_text().parse().ok());
        client.session_id = session_id.ok_or_else(|| malformed("the server's hello has no session-id"))?;
        let capability_elements =
            hello.child(NETCONF_NAMESPACE, "capabilities").map(|list| &list.children[..]).unwrap_or_default();
        client.capabilities =
            capability_elements.iter().map(|item| item.trimmed_text().to_string()).collect();
        if client.capabilities.iter().any(|capability| capability == BASE_1_1) {
            client.framing = Framing::Chunked;
            client.decoder.set_framing(Framing::Chunked);
        }
        Ok(client)
    }

    async fn send(&mut self, message: &str) -> Result<(), ClientError> {
        self.send_raw(&encode(self.framing, message)).await
    }

    /// Sends bytes without framing, for tests of how a server handles malformed input.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), ClientError> {
        let send_error = |error: std::io::Error| {
            ClientError::new(Stage::Sending, ErrorKind::ConnectionLost(error.to_string()))
        };
        let Some(stream) = &mut self.stream else { return Ok(()) };
        stream.write_all(bytes).await.map_err(send_error)?;
        stream.flush().await.map_err(send_error)
    }

    async fn receive(&mut self) -> Result<Element, ClientError> {
        let receive_error = |kind| ClientError::new(Stage::Receiving, kind);
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let message = self.decoder.next_message();
            if let Some(message) =
                message.map_err(|error| receive_error(ErrorKind::MalformedMessage(error.to_string())))?
            {
                return xml::parse(&message)
                    .map_err(|error| receive_error(ErrorKind::MalformedMessage(error.message)));
            }
            let Some(stream) = &mut self.stream else {
                return Err(receive_error(ErrorKind::ConnectionLost("the session is closed".into())));
            };
            match stream.read(&mut buffer).await {
                Ok(0) => {
                    return Err(receive_error(ErrorKind::ConnectionLost(
                        "the server closed the session".into(),
                    )))
                }
                Ok(read_bytes) => self.decoder.push(&buffer[..read_bytes]),
                Err(error) => return Err(receive_error(ErrorKind::ConnectionLost(error.to_string()))),
            }
        }
    }

    /// Reads the next reply and fails as [`Client::rpc`] does if the reply has errors. Notifications that arrive before it
    /// are queued.
    pub async fn read_reply(&mut self) -> Result<Element, ClientError> {
        loop {
            let message = self.receive().await?;
            if !message.is(NOTIFICATION_NAMESPACE, "notification") {
                return ClientError::check_reply(message);
            }
            if self.notifications.len() == MAX_QUEUED_NOTIFICATIONS {
                self.notifications.pop_front();
            }
            self.notifications.push_back(message);
        }
    }

    /// Executes one operation and returns the reply. Fails with [`ErrorKind::RpcErrors`] if the reply has errors.
    pub async fn rpc(&mut self, operation: Element) -> Result<Element, ClientError> {
        let (namespace, name, value) =
            ("".into(), "message-id".to_string(), self.next_message_id.to_string());
        self.next_message_id += 1;
        let rpc = Element {
            attributes: vec![Attribute { namespace, name, value }],
            ..element("rpc").with_child(operation)
        };
        self.send(&xml::write(&rpc, false)).await?;
        self.read_reply().await
    }

    /// Executes an operation that replies with data.
    async fn request_data(&mut self, operation: Element) -> Result<Data, ClientError> {
        let reply = self.rpc(operation).await?;
        Ok(Data(reply.children.into_iter().next().map(|data| data.children).unwrap_or_default()))
    }

    /// Wraps the elements of a subtree filter, given as XML text, in a `filter` element.
    fn filter_element(text: Option<&str>) -> Result<Option<Element>, ClientError> {
        let Some(text) = text else { return Ok(None) };
        let filter = format!("<filter xmlns=\"{NETCONF_NAMESPACE}\">{text}</filter>");
        let parsed = xml::parse(filter.as_bytes());
        parsed
            .map(Some)
            .map_err(|error| ClientError::new(Stage::NotStarted, ErrorKind::MalformedMessage(error.message)))
    }

    /// Reads configuration and state. `filter` contains the elements of a subtree filter as XML text; `None`
    /// selects everything.
    pub async fn get(&mut self, filter: Option<&str>) -> Result<Data, ClientError> {
        let filter = Client::filter_element(filter)?;
        self.request_data(element("get").with_children(filter)).await
    }

    /// Reads a datastore; `filter` as in [`Client::get`].
    pub async fn get_config(
        &mut self,
        datastore: Datastore,
        filter: Option<&str>,
    ) -> Result<Data, ClientError> {
        let filter = Client::filter_element(filter)?;
        let source = element("source").with_child(element(datastore.name()));
        self.request_data(element("get-config").with_child(source).with_children(filter)).await
    }

    /// Merges XML elements into the candidate. For an element with an `operation` attribute, that operation applies
    /// instead.
    pub async fn edit(&mut self, config: &str) -> Result<(), ClientError> {
        self.edit_with(config, "merge", "test-then-set").await
    }

    /// Edits the candidate with this `default-operation` and `test-option` (RFC 6241 section 7.2).
    pub async fn edit_with(
        &mut self,
        config: &str,
        default_operation: &str,
        test_option: &str,
    ) -> Result<(), ClientError> {
        let config = format!("<config xmlns=\"{NETCONF_NAMESPACE}\">{config}</config>");
        let config = xml::parse(config.as_bytes());
        let config = config.map_err(|error| {
            ClientError::new(Stage::NotStarted, ErrorKind::MalformedMessage(error.message))
        })?;
        let edit = element("edit-config")
            .with_child(element("target").with_child(element("candidate")))
            .with_child(leaf("default-operation", default_operation))
            .with_child(leaf("test-option", test_option))
            .with_child(config);
        self.rpc(edit).await.map(drop)
    }

    /// Commits the candidate to running, all or nothing.
    pub async fn commit(&mut self, commit: &Commit) -> Result<(), ClientError> {
        let mut operation = element("commit");
        if let Some(seconds) = commit.confirm_timeout_s {
            operation = operation
                .with_child(element("confirmed"))
                .with_child(leaf("confirm-timeout", &seconds.to_string()));
            operation = operation.with_children(commit.persist.as_ref().map(|token| leaf("persist", token)));
        }
        operation =
            operation.with_children(commit.persist_id.as_ref().map(|token| leaf("persist-id", token)));
        self.rpc(operation).await.map(drop)
    }

    /// Cancels the confirmed commit that awaits confirmation. `persist_id` is the `persist` token of that commit, if it
    /// has one.
    pub async fn cancel_commit(&mut self, persist_id: Option<&str>) -> Result<(), ClientError> {
        let persist_id = persist_id.map(|token| leaf("persist-id", token));
        self.rpc(element("cancel-commit").with_children(persist_id)).await.map(drop)
    }

    /// Discards the changes of the candidate.
    pub async fn discard(&mut self) -> Result<(), ClientError> {
        self.rpc(element("discard-changes")).await.map(drop)
    }

    /// Validates the content of a datastore.
    pub async fn validate(&mut self, datastore: Datastore) -> Result<(), ClientError> {
        self.rpc(element("validate").with_child(element("source").with_child(element(datastore.name()))))
            .await
            .map(drop)
    }

    /// Locks a datastore for this session.
    pub async fn lock(&mut self, datastore: Datastore) -> Result<(), ClientError> {
        self.rpc(element("lock").with_child(element("target").with_child(element(datastore.name()))))
            .await
            .map(drop)
    }

    /// Releases the lock of a datastore.
    pub async fn unlock(&mut self, datastore: Datastore) -> Result<(), ClientError> {
        self.rpc(element("unlock").with_child(element("target").with_child(element(datastore.name()))))
            .await
            .map(drop)
    }

    /// Replaces the content of the target datastore with that of the source.
    pub async fn copy(&mut self, source: Datastore, target: Datastore) -> Result<(), ClientError> {
        let target = element("target").with_child(element(target.name()));
        let source = element("source").with_child(element(source.name()));
        self.rpc(element("copy-config").with_child(target).with_child(source)).await.map(drop)
    }

    /// Loads an earlier version of the running datastore into the candidate.
    pub async fn rollback(&mut self, version: u64) -> Result<(), ClientError> {
        const MANAGER: &str = "tag:juniperrail.example,2026:yang:manager";
        let version = Element::with_text(MANAGER, "version", version.to_string());
        self.rpc(Element::new(MANAGER, "rollback").with_child(version)).await.map(drop)
    }

    /// Reads the text of a YANG module.
    pub async fn schema(&mut self, module: &str) -> Result<String, ClientError> {
        let identifier = Element::with_text(MONITORING_NAMESPACE, "identifier", module);
        let reply = self.rpc(Element::new(MONITORING_NAMESPACE, "get-schema").with_child(identifier)).await?;
        Ok(reply.children.into_iter().next().map(|data| data.text).unwrap_or_default())
    }

    /// Subscribes to notifications; `filter` as in [`Client::get`].
    pub async fn subscribe(&mut self, filter: Option<&str>) -> Result<(), ClientError> {
        let filter = Client::filter_element(filter)?
            .map(|filter| Element { namespace: NOTIFICATION_NAMESPACE.into(), ..filter });
        self.rpc(Element::new(NOTIFICATION_NAMESPACE, "create-subscription").with_children(filter))
            .await
            .map(drop)
    }

    /// Waits for the next notification: an element with `eventTime` and the event.
    pub async fn next_notification(&mut self) -> Result<Element, ClientError> {
        if let Some(notification) = self.notifications.pop_front() {
            return Ok(notification);
        }
        loop {
            let message = self.receive().await?;
            if message.is(NOTIFICATION_NAMESPACE, "notification") {
                return Ok(message);
            }
        }
    }

    /// Closes the session with `close-session`.
    pub async fn close(mut self) -> Result<(), ClientError> {
        self.rpc(element("close-session")).await.map(drop)
    }
}

/// Enters the runtime before the stream is dropped: an SSH channel spawns a task when it is dropped, and
/// spawning a task outside of a runtime panics.
impl Drop for Client {
    fn drop(&mut self) {
        let _runtime = self.runtime.enter();
        self.stream = None;
        self.transport = None;
    }
}
