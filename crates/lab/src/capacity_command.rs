//! The `capacity` command: prints the tables of the capacity page and checks that the page contains them.

use std::io;
use std::path::{Path, PathBuf};

use juniperrail_lab::capacity::checks;
use juniperrail_lab::capacity::markdown;
use juniperrail_lab::capacity::page::Page;
use juniperrail_lab::measured::Measurements;

use crate::report::Report;

/// The capacity page, relative to the root of the repository.
const PAGE_PATH: &str = "docs/CAPACITY.md";
/// The file of the measurements, relative to the root of the repository.
const MEASUREMENTS_PATH: &str = "docs/capacity/measured.json";

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Prints the computed tables and checks the page. With `write`, the tables are written into the page before the
/// checks.
pub fn run(report: &mut Report, write: bool) {
    if let Err(error) = print_and_check(report, write) {
        report.bound("the page and the measurements are accessible", error, false);
    }
}

fn print_and_check(report: &mut Report, write: bool) -> io::Result<()> {
    let measured: Measurements =
        serde_json::from_slice(&std::fs::read(repository_root().join(MEASUREMENTS_PATH))?)?;
    let page = Page::new(&measured);
    for block in &page.blocks {
        println!("{}\n\n{}", block.name, block.text);
    }
    let path = repository_root().join(PAGE_PATH);
    let mut text = std::fs::read_to_string(&path)?;
    if write {
        text = markdown::rewrite(&text, &page.blocks).map_err(io::Error::other)?;
        std::fs::write(&path, &text)?;
    }
    for check in checks::all(&repository_root(), &text, &page, &measured) {
        report.bound(check.name, check.faults.join("; "), check.faults.is_empty());
    }
    Ok(())
}
