//! The replicated state machine: every manager applies the same log entries to it in the same order.

use juniperrail_consensus::{Index, Snapshot};
use juniperrail_failover::Plan;
use juniperrail_schedule::Ledger;
use serde::{Deserialize, Serialize};

/// The command of one log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogCommand {
    Schedule(juniperrail_schedule::Command),
    Plan(Plan),
    /// The members match this version of the operator's file.
    Generation(u64),
}

impl LogCommand {
    pub fn encode(&self) -> Vec<u8> {
        // Encoding can't fail: every value of a command is representable, and the buffer grows as needed.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None` if a newer version of the program proposed a command that this one does not know.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The result of applying the committed log entries, the same on every manager at the same index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    pub ledger: Ledger,
    pub plan: Plan,
    /// The version of the operator's file that the members match.
    pub generation: u64,
    /// The index of the last applied entry.
    pub last_applied: Index,
}

impl ReplicatedState {
    /// Applies the command of the entry at `index`. Returns whether it changed anything but `last_applied`.
    pub fn apply(&mut self, index: Index, command: &LogCommand) -> bool {
        self.last_applied = index;
        match command {
            LogCommand::Schedule(command) => self.ledger.apply(index, command),
            LogCommand::Plan(plan) => self.plan.adopt_if_newer(plan),
            LogCommand::Generation(generation) => {
                let is_newer = *generation > self.generation;
                self.generation = self.generation.max(*generation);
                is_newer
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the state in a snapshot; `None` if it was written in a format that this version does not know. The
    /// snapshot that the cluster is bootstrapped from has no state, which stands for the default one.
    pub fn decode(snapshot: &Snapshot) -> Option<ReplicatedState> {
        if snapshot.state.is_empty() {
            return Some(ReplicatedState { last_applied: snapshot.last_index, ..ReplicatedState::default() });
        }
        postcard::from_bytes(&snapshot.state).ok()
    }
}

#[cfg(test)]
mod tests;
