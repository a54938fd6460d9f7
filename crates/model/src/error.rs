//! Violations of the data model: the kind of error and where it occurred.

use std::fmt;

/// The kind of violation. Each front end maps it to the errors of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// XML that is not well-formed or exceeds a limit, or a path that cannot be parsed.
    Malformed,
    UnknownElement,
    UnknownNamespace,
    UnknownAttribute,
    /// An attribute whose value is not valid, or which its node must not have.
    BadAttribute,
    /// A value that is missing or not valid for its type, or content of a form that its node does not allow.
    BadValue,
    MissingElement,
    /// A node that may exist only once is given more than once.
    Duplicate,
    /// A state node is given where only configuration is allowed.
    NotConfiguration,
    /// A node to be created already exists.
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
    /// Creates an error that is not about a particular line.
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
