//! Why an operation failed, and how far it had come.

use std::fmt;

use juniperrail_model::xml::{Element, NETCONF};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing was begun: what was given cannot be used.
    NotStarted,
    /// Nothing was sent.
    Connecting,
    /// The server may have acted on it; no answer came.
    Sent,
    Receiving,
    /// The server answered: it did nothing of what was asked.
    Replied,
}

/// One `rpc-error`, RFC 6241 section 4.3.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RpcError {
    pub tag: String,
    pub app_tag: Option<String>,
    pub path: Option<String>,
    pub message: String,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ErrorKind {
    /// A file or an address that cannot be used.
    InvalidInput(String),
    /// The server is not whom it should be, or does not know who asks.
    Authentication(String),
    ConnectionLost(String),
    MalformedMessage(String),
    RpcErrors(Vec<RpcError>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct ClientError {
    pub stage: Stage,
    pub kind: ErrorKind,
}

impl ClientError {
    pub fn new(stage: Stage, kind: ErrorKind) -> ClientError {
        ClientError { stage, kind }
    }

    /// The reply itself, unless it holds errors.
    pub(crate) fn refused(reply: Element) -> Result<Element, ClientError> {
        let errors = reply.children.iter().filter(|child| child.is(NETCONF, "rpc-error"));
        let refusal = |error: &Element| {
            let text = |name: &str| error.get(NETCONF, name).map(|of| of.word().to_string());
            RpcError {
                tag: text("error-tag").unwrap_or_default(),
                app_tag: text("error-app-tag"),
                path: text("error-path"),
                message: text("error-message").unwrap_or_default(),
            }
        };
        let refusals: Vec<RpcError> = errors.map(refusal).collect();
        match refusals.is_empty() {
            true => Ok(reply),
            false => Err(ClientError::new(Stage::Replied, ErrorKind::RpcErrors(refusals))),
        }
    }

    /// What the server refused it for; empty where it was not refused.
    pub fn rpc_errors(&self) -> &[RpcError] {
        match &self.kind {
            ErrorKind::RpcErrors(refusals) => refusals,
            _ => &[],
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::InvalidInput(what) | ErrorKind::Authentication(what) => f.write_str(what),
            ErrorKind::ConnectionLost(what) | ErrorKind::MalformedMessage(what) => match self.stage {
                Stage::NotStarted | Stage::Replied => f.write_str(what),
                Stage::Connecting => write!(f, "{what} (while dialling)"),
                Stage::Sent => write!(f, "{what} (once sent)"),
                Stage::Receiving => write!(f, "{what} (while reading)"),
            },
            ErrorKind::RpcErrors(refusals) => refusals.iter().enumerate().try_for_each(|(place, refusal)| {
                let apart = if place > 0 { "; " } else { "refused: " };
                write!(f, "{apart}{}", refusal.message)?;
                refusal.path.iter().try_for_each(|path| write!(f, " ({path})"))
            }),
        }
    }
}

impl std::error::Error for ClientError {}
