//! What an experiment prints.

use std::process::ExitCode;

/// Counts the bounds that held and those that did not.
#[derive(Default)]
pub struct Report {
    passed: usize,
    failed: usize,
}

impl Report {
    /// A figure that is printed and not judged.
    pub fn figure(&self, name: &str, value: impl std::fmt::Display) {
        println!("{name:<58} {value}");
    }

    /// A bound, and the figure that it is held against.
    pub fn bound(&mut self, name: &str, value: impl std::fmt::Display, holds: bool) {
        let word = if holds { "passed" } else { "FAILED" };
        println!("{name:<58} {value}  {word}");
        if holds {
            self.passed += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Bounds that did not hold so far.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// Prints the counts, alone on the last line.
    pub fn close(self) -> ExitCode {
        println!("{} passed, {} failed", self.passed, self.failed);
        if self.failed == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
