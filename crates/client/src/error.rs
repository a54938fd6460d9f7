//! Errors of the client: what went wrong, and at which stage.

use std::fmt;

use juniperrail_model::xml::{Element, NETCONF_NAMESPACE};

/// How far an operation got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The input is invalid. No operation was sent.
    NotStarted,
    /// Connecting to the server. No operation was sent.
    Connecting,
    /// Sending the request. The request may have arrived, and the server may have executed it.
    Sending,
    /// Waiting for a message or decoding it. The server may have executed the request.
    Receiving,
    /// The server replied with errors and did not execute the operation.
    Replied,
}

/// One `rpc-error` of a reply, RFC 6241 section 4.3.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RpcError {
    /// The `error-tag`.
    pub tag: String,
    /// The `error-app-tag`.
    pub app_tag: Option<String>,
    /// The `error-path`.
    pub path: Option<String>,
    /// The `error-message`.
    pub message: String,
}

/// The kind of an error.
#[derive(Clone, Debug, PartialEq)]
pub enum ErrorKind {
    /// A file, name or text from the caller cannot be used.
    InvalidInput(String),
    /// One side could not authenticate the other.
    Authentication(String),
    /// The connection could not be established, or it ended.
    ConnectionLost(String),
    /// A message or an XML text is malformed.
    MalformedMessage(String),
    /// The `rpc-error`s of the reply.
    RpcErrors(Vec<RpcError>),
}

/// An error of the client library.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientError {
    pub stage: Stage,
    pub kind: ErrorKind,
}

impl ClientError {
    /// Creates an error of the given kind at the given stage.
    pub fn new(stage: Stage, kind: ErrorKind) -> ClientError {
        ClientError { stage, kind }
    }

    /// Returns the reply, or an error if the reply contains `rpc-error` elements.
    pub(crate) fn check_reply(reply: Element) -> Result<Element, ClientError> {
        let error_elements = reply.children.iter().filter(|child| child.is(NETCONF_NAMESPACE, "rpc-error"));
        let to_rpc_error = |error: &Element| {
            let text = |name: &str| {
                error.child(NETCONF_NAMESPACE, name).map(|element| element.trimmed_text().to_string())
            };
            RpcError {
                tag: text("error-tag").unwrap_or_default(),
                app_tag: text("error-app-tag"),
                path: text("error-path"),
                message: text("error-message").unwrap_or_default(),
            }
        };
        let rpc_errors: Vec<RpcError> = error_elements.map(to_rpc_error).collect();
        match rpc_errors.is_empty() {
            true => Ok(reply),
            false => Err(ClientError::new(Stage::Replied, ErrorKind::RpcErrors(rpc_errors))),
        }
    }

    /// The `rpc-error`s of the reply; empty for errors of other kinds.
    pub fn rpc_errors(&self) -> &[RpcError] {
        match &self.kind {
            ErrorKind::RpcErrors(rpc_errors) => rpc_errors,
            _ => &[],
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::InvalidInput(message) | ErrorKind::Authentication(message) => f.write_str(message),
            ErrorKind::ConnectionLost(message) | ErrorKind::MalformedMessage(message) => match self.stage {
                Stage::NotStarted | Stage::Replied => f.write_str(message),
                Stage::Connecting => write!(f, "{message} (while connecting)"),
                Stage::Sending => write!(f, "{message} (while sending)"),
                Stage::Receiving => write!(f, "{message} (while receiving)"),
            },
            ErrorKind::RpcErrors(rpc_errors) => {
                rpc_errors.iter().enumerate().try_for_each(|(index, rpc_error)| {
                    let separator = if index > 0 { "; " } else { "refused: " };
                    write!(f, "{separator}{}", rpc_error.message)?;
                    rpc_error.path.iter().try_for_each(|path| write!(f, " ({path})"))
                })
            }
        }
    }
}

impl std::error::Error for ClientError {}
