//! Identifier types of the consensus group.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A member's number in the operator's configuration file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A Raft term. At most one member is elected leader in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A position in the log. Entries start at 1; 0 is the position before the first entry. The index of a committed entry
/// also serves as its fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Index(pub u64);

/// Identifies one start of a member. The number is stored durably and increases with each restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run(pub u64);

impl Index {
    /// The next position.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The previous position; 0 has none and gives 0.
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
