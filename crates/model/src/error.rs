//! Violations of the data model: the kind of error and where it occurred.

use std::fmt;

/// The kind of violation. Each front end maps it to the errors of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// Not well-formed, or beyond a limit on size or depth.
    Malformed,
    UnknownElement,
    UnknownNamespace,
    UnknownAttribute,
    /// An attribute with a value that is not valid, or on a node that must not have it.
    BadAttribute,
    /// A value that is not valid for its type.
    BadValue,
    MissingElement,
    /// A node that may exist only once, given more than once.
    Duplicate,
    /// A state node where only configuration is allowed.
    NotConfiguration,
    /// A node to be created exists already.
    DataExists,
    /// A node to be edited or deleted does not exist.
    DataMissing,
}

/// A violation of the data model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelError {
    pub kind: ErrorKind,
    /// The line in the parsed text, starting at 1, or 0 if there is none.
    pub line: u32,
    /// The path of the node at fault, or as much of it as is known.
    pub path: String,
    /// The name of the element or attribute at fault.
    pub name: String,
    pub message: String,
}

impl ModelError {
    /// An error that belongs to no line.
    pub fn new(
        kind: ErrorKind,
        path: impl Into<String>,
        name: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        ModelError { kind, line: 0, path: path.into(), name: name.into(), message: message.into() }
    }

    /// Sets the line at which the error occurred.
    pub fn at_line(self, line: u32) -> Self {
        ModelError { line, ..self }
    }
}

impl fmt::Display for ModelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for ModelError {}
