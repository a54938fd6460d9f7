//! What has to hold of the page for it to be believed. That a figure does not carry is no failure of the page.

use std::collections::BTreeSet;
use std::path::Path;

use super::markdown;
use super::page::Page;
use super::row::{Mechanism, Role};
use crate::measured::Measurements;

/// One check, and why it fails if it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    pub name: &'static str,
    pub faults: Vec<String>,
}

/// All checks of the page whose text is given; files are looked for below the root of the repository.
pub fn all(root: &Path, text: &str, page: &Page, measured: &Measurements) -> Vec<Check> {
    vec![
        Check { name: "the page's tables are the program's", faults: page_differs(text, page) },
        Check { name: "each role has its section", faults: sections_missing(text) },
        Check { name: "each file named as a mechanism exists", faults: files_missing(root, page) },
        Check { name: "each measured figure names a run that is told", faults: runs_missing(measured) },
        Check { name: "each assumption moves a figure", faults: idle_assumptions(page) },
        Check { name: "each missing thing has the figure that places it", faults: gaps_without_row(page) },
    ]
}

fn page_differs(text: &str, page: &Page) -> Vec<String> {
    match markdown::rewrite(text, &page.blocks) {
        Ok(rewritten) if rewritten == text => Vec::new(),
        Ok(rewritten) => first_difference(text, &rewritten),
        Err(why) => vec![why.to_string()],
    }
}

fn first_difference(text: &str, rewritten: &str) -> Vec<String> {
    let pairs = text.lines().zip(rewritten.lines()).enumerate();
    let differs = pairs
        .filter(|(_, (old, new))| old != new)
        .map(|(line, (old, new))| format!("line {}: the page has {old:?}, the program {new:?}", line + 1));
    let first: Vec<String> = differs.take(1).collect();
    if first.is_empty() {
        return vec!["the page and the program differ in length".into()];
    }
    first
}

fn sections_missing(text: &str) -> Vec<String> {
    let has = |role: &Role| text.lines().any(|line| line == format!("## {}", role.title()));
    let missing = Role::ALL.iter().filter(|role| !has(role));
    missing.map(|role| format!("there is no section {:?}", role.title())).collect()
}

fn files_missing(root: &Path, page: &Page) -> Vec<String> {
    let files: BTreeSet<&str> = page
        .rows
        .iter()
        .filter_map(|row| match row.mechanism {
            Mechanism::File(path) => Some(path),
            Mechanism::Missing(_) | Mechanism::None => None,
        })
        .collect();
    let missing = files.into_iter().filter(|path| !root.join(path).is_file());
    missing.map(|path| format!("there is no {path}")).collect()
}

fn runs_missing(measured: &Measurements) -> Vec<String> {
    let runs: BTreeSet<&str> = measured.runs.iter().map(|run| run.id.as_str()).collect();
    let of_slopes = measured.slopes.iter().map(|slope| (&slope.run, &slope.figure));
    let of_readings = measured.readings.iter().map(|reading| (&reading.run, &reading.figure));
    let unknown = of_slopes.chain(of_readings).filter(|(run, _)| !runs.contains(run.as_str()));
    unknown.map(|(run, figure)| format!("{figure:?} is of the run {run:?}, which is not told")).collect()
}

fn idle_assumptions(page: &Page) -> Vec<String> {
    let idle = page.sensitivities.iter().filter(|one| one.moved.is_empty());
    idle.map(|one| format!("{:?} moves no figure", one.assumption.details().name)).collect()
}

fn gaps_without_row(page: &Page) -> Vec<String> {
    let gaps = page.gaps();
    let unplaced = gaps.iter().filter(|(_, row)| row.is_none());
    unplaced.map(|(gap, _)| format!("{:?} has no row {:?}", gap.title, gap.row)).collect()
}
