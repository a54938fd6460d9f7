//! Why something does not fit the model, as a value: which rule, where, and what to do.

use std::fmt;

/// The rule that is broken. The fronts word it as their protocols do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// Not well-formed, or beyond a bound on size or depth.
    Malformed,
    UnknownElement,
    UnknownNamespace,
    UnknownAttribute,
    BadAttribute,
    /// A value that its type does not take.
    BadValue,
    MissingElement,
    /// A key or leaf given twice.
    Duplicate,
    /// State can be read only.
    NotConfiguration,
    DataExists,
    DataMissing,
}

/// What does not fit, where, and the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelError {
    pub kind: ErrorKind,
    /// The line of the text it was read from, from 1 on; 0 where there is none.
    pub line: u32,
    /// The path of the node concerned, or what is known of it.
    pub path: String,
    /// The element or attribute concerned.
    pub name: String,
    pub message: String,
}

impl ModelError {
    pub fn new(
        rule: ErrorKind,
        path: impl Into<String>,
        name: impl Into<String>,
        what: impl Into<String>,
    ) -> Self {
        ModelError { kind: rule, line: 0, path: path.into(), name: name.into(), message: what.into() }
    }

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
