//! All that managers agree on, as one state that each applies the same words to.

use juniperrail_consensus::{Index, Snapshot};
use juniperrail_failover::Plan;
use juniperrail_schedule::Ledger;
use serde::{Deserialize, Serialize};

/// One word, an entry's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogCommand {
    Schedule(juniperrail_schedule::Command),
    Plan(Plan),
    /// The members are as that version of the operator's file has them.
    Generation(u64),
}

impl LogCommand {
    pub fn encode(&self) -> Vec<u8> {
        // It can't fail: nothing in a word is without a form, and the bytes are as many as it takes.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None` where a newer program proposed what this one does not know.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        postcard::from_bytes(bytes).ok()
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Agreed {
    pub books: Ledger,
    pub plan: Plan,
    pub generation: u64,
    pub at: Index,
}

impl Agreed {
    /// Whether the word changed anything.
    pub fn apply(&mut self, at: Index, word: &LogCommand) -> bool {
        self.at = at;
        match word {
            LogCommand::Schedule(word) => self.books.apply(at, word),
            LogCommand::Plan(plan) => self.plan.adopt_if_newer(plan),
            LogCommand::Generation(generation) => {
                let later = *generation > self.generation;
                self.generation = self.generation.max(*generation);
                later
            }
        }
    }

    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// As a snapshot has it; that of the first hour is empty.
    pub fn read(snapshot: &Snapshot) -> Option<Agreed> {
        if snapshot.state.is_empty() {
            return Some(Agreed { at: snapshot.last_index, ..Agreed::default() });
        }
        postcard::from_bytes(&snapshot.state).ok()
    }
}

#[cfg(test)]
mod tests;
