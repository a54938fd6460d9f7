//! Consistency checks of the capacity page. A figure that misses its limit does not fail them.

use std::collections::BTreeSet;
use std::path::Path;

use super::markdown;
use super::page::Page;
use super::row::{Mechanism, Role};
use crate::measured::Measurements;

/// A check and the faults that it found; it passes if there are none.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    pub name: &'static str,
    pub faults: Vec<String>,
}

/// Runs all checks on the text of the page. Paths of files are relative to `root`, the root of the repository.
pub fn all(root: &Path, text: &str, page: &Page, measured: &Measurements) -> Vec<Check> {
    vec![
        Check { name: "the page has the computed tables", faults: differences(text, page) },
        Check { name: "each role has a section", faults: missing_sections(text) },
        Check { name: "each file named as a mechanism exists", faults: missing_files(root, page) },
        Check { name: "each measured figure names a recorded run", faults: unknown_runs(measured) },
        Check { name: "each assumption affects a figure", faults: assumptions_without_effect(page) },
        Check { name: "each gap names an existing row", faults: gaps_without_row(page) },
    ]
}

fn differences(text: &str, page: &Page) -> Vec<String> {
    match markdown::rewrite(text, &page.blocks) {
        Ok(rewritten) if rewritten == text => Vec::new(),
        Ok(rewritten) => first_difference(text, &rewritten),
        Err(error) => vec![error.to_string()],
    }
}

fn first_difference(text: &str, rewritten: &str) -> Vec<String> {
    let pairs = text.lines().zip(rewritten.lines()).enumerate();
    let differences =
        pairs.filter(|(_, (found, expected))| found != expected).map(|(index, (found, expected))| {
            format!("line {}: expected {expected:?}, found {found:?}", index + 1)
        });
    let first: Vec<String> = differences.take(1).collect();
    if first.is_empty() {
        return vec!["the page and the computed page differ in length".into()];
    }
    first
}

fn missing_sections(text: &str) -> Vec<String> {
    let has = |role: &Role| text.lines().any(|line| line == format!("## {}", role.title()));
    let missing = Role::ALL.iter().filter(|role| !has(role));
    missing.map(|role| format!("missing section {:?}", role.title())).collect()
}

fn missing_files(root: &Path, page: &Page) -> Vec<String> {
    let files: BTreeSet<&str> = page
        .rows
        .iter()
        .filter_map(|row| match row.mechanism {
            Mechanism::File(path) => Some(path),
            Mechanism::Missing(_) | Mechanism::None => None,
        })
        .collect();
    let missing = files.into_iter().filter(|path| !root.join(path).is_file());
    missing.map(|path| format!("missing file {path}")).collect()
}

fn unknown_runs(measured: &Measurements) -> Vec<String> {
    let runs: BTreeSet<&str> = measured.runs.iter().map(|run| run.id.as_str()).collect();
    let of_slopes = measured.slopes.iter().map(|slope| (&slope.run, &slope.figure));
    let of_readings = measured.readings.iter().map(|reading| (&reading.run, &reading.figure));
    let unknown = of_slopes.chain(of_readings).filter(|(run, _)| !runs.contains(run.as_str()));
    unknown.map(|(run, figure)| format!("{figure:?} names the run {run:?}, which is not recorded")).collect()
}

fn assumptions_without_effect(page: &Page) -> Vec<String> {
    let without_effect = page.sensitivities.iter().filter(|sensitivity| sensitivity.changed_rows.is_empty());
    without_effect
        .map(|sensitivity| format!("{:?} affects no figure", sensitivity.assumption.details().name))
        .collect()
}

fn gaps_without_row(page: &Page) -> Vec<String> {
    let gaps = page.gaps();
    let without_row = gaps.iter().filter(|ranked| ranked.row.is_none());
    without_row
        .map(|ranked| format!("{:?} names the missing row {:?}", ranked.gap.title, ranked.gap.row))
        .collect()
}
