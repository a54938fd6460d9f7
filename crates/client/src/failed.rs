//! Why an operation failed, and how far it had come.

use std::fmt;

use juniperrail_model::xml::{Element, NETCONF};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// Nothing was begun: what was given cannot be used.
    Nowhere,
    /// Nothing was sent.
    Dialling,
    /// The server may have acted on it; no answer came.
    Sent,
    Reading,
    /// The server answered: it did nothing of what was asked.
    Answered,
}

/// One `rpc-error`, RFC 6241 section 4.3.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refusal {
    pub tag: String,
    pub app_tag: Option<String>,
    pub path: Option<String>,
    pub message: String,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// A file or an address that cannot be used.
    Unusable(String),
    /// The server is not whom it should be, or does not know who asks.
    NotTrusted(String),
    Lost(String),
    Unreadable(String),
    Refused(Vec<Refusal>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Failed {
    pub reached: Reached,
    pub reason: Reason,
}

impl Failed {
    pub fn new(reached: Reached, reason: Reason) -> Failed {
        Failed { reached, reason }
    }

    /// The reply itself, unless it holds errors.
    pub(crate) fn refused(reply: Element) -> Result<Element, Failed> {
        let errors = reply.children.iter().filter(|child| child.is(NETCONF, "rpc-error"));
        let refusal = |error: &Element| {
            let text = |name: &str| error.get(NETCONF, name).map(|of| of.word().to_string());
            Refusal {
                tag: text("error-tag").unwrap_or_default(),
                app_tag: text("error-app-tag"),
                path: text("error-path"),
                message: text("error-message").unwrap_or_default(),
            }
        };
        let refusals: Vec<Refusal> = errors.map(refusal).collect();
        match refusals.is_empty() {
            true => Ok(reply),
            false => Err(Failed::new(Reached::Answered, Reason::Refused(refusals))),
        }
    }

    /// What the server refused it for; empty where it was not refused.
    pub fn refusals(&self) -> &[Refusal] {
        match &self.reason {
            Reason::Refused(refusals) => refusals,
            _ => &[],
        }
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.reason {
            Reason::Unusable(what) | Reason::NotTrusted(what) => f.write_str(what),
            Reason::Lost(what) | Reason::Unreadable(what) => match self.reached {
                Reached::Nowhere | Reached::Answered => f.write_str(what),
                Reached::Dialling => write!(f, "{what} (while dialling)"),
                Reached::Sent => write!(f, "{what} (once sent)"),
                Reached::Reading => write!(f, "{what} (while reading)"),
            },
            Reason::Refused(refusals) => refusals.iter().enumerate().try_for_each(|(place, refusal)| {
                let apart = if place > 0 { "; " } else { "refused: " };
                write!(f, "{apart}{}", refusal.message)?;
                refusal.path.iter().try_for_each(|path| write!(f, " ({path})"))
            }),
        }
    }
}

impl std::error::Error for Failed {}
