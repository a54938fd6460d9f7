//! The printed report of an experiment: figures, bounds with their verdicts, and the numbers of passed and failed
//! bounds.

use std::process::ExitCode;

/// Prints figures and bounds, and counts the bounds that passed and failed.
#[derive(Default)]
pub struct Report {
    passed: usize,
    failed: usize,
}

impl Report {
    /// Prints a figure that has no bound.
    pub fn figure(&self, name: &str, value: impl std::fmt::Display) {
        println!("{name:<58} {value}");
    }

    /// Prints the name of a bound, the measured value and the verdict, and counts the verdict.
    pub fn bound(&mut self, name: &str, value: impl std::fmt::Display, holds: bool) {
        let verdict = if holds { "passed" } else { "FAILED" };
        println!("{name:<58} {value}  {verdict}");
        if holds {
            self.passed += 1;
        } else {
            self.failed += 1;
        }
    }

    /// The number of bounds that have failed so far.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// Prints the counts on the last line. The exit code is a failure if any bound failed.
    pub fn close(self) -> ExitCode {
        println!("{} passed, {} failed", self.passed, self.failed);
        if self.failed == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
