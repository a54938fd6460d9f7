//! Ids, each a type of its own.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A manager by its number in the operator's file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A term of office: at most one member leads in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A place in the log, from 1 on; 0 is before all. The index of a committed entry is its fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Index(pub u64);

/// Which start of a member this is, counted in its store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run(pub u64);

impl Index {
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The one before; that of 0 is 0.
    pub fn previous(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "member {}", self.0)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "term {}", self.0)
    }
}
