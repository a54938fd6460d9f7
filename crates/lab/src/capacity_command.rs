//! Prints the tables of the capacity page and checks that the page holds them.

use std::io;
use std::path::{Path, PathBuf};

use juniperrail_lab::capacity::checks;
use juniperrail_lab::capacity::markdown;
use juniperrail_lab::capacity::page::Page;
use juniperrail_lab::measured::Measurements;

use crate::report::Report;

/// The page, below the root of the repository.
const PAGE: &str = "docs/CAPACITY.md";
/// What was measured, below the root of the repository.
const MEASURED: &str = "docs/capacity/measured.json";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Prints the tables; with `write` it first writes them into the page.
pub fn run(report: &mut Report, write: bool) {
    if let Err(why) = print(report, write) {
        report.bound("the page and what was measured can be read", why, false);
    }
}

fn print(report: &mut Report, write: bool) -> io::Result<()> {
    let measured: Measurements = serde_json::from_slice(&std::fs::read(root().join(MEASURED))?)?;
    let page = Page::new(&measured);
    for block in &page.blocks {
        println!("{}\n\n{}", block.name, block.text);
    }
    let path = root().join(PAGE);
    let mut text = std::fs::read_to_string(&path)?;
    if write {
        text = markdown::rewrite(&text, &page.blocks).map_err(io::Error::other)?;
        std::fs::write(&path, &text)?;
    }
    for check in checks::all(&root(), &text, &page, &measured) {
        report.bound(check.name, check.faults.join("; "), check.faults.is_empty());
    }
    Ok(())
}
