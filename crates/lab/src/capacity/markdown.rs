//! Markdown tables and paragraphs, and replacement of the generated blocks of the page.

use std::fmt;

const BLOCK_START_PREFIX: &str = "<!-- capacity: ";
const BLOCK_START_SUFFIX: &str = " -->";
const BLOCK_END: &str = "<!-- end -->";
/// Maximum length of a line of text, in bytes.
const MAX_LINE_LENGTH: usize = 140;

/// A named part of the page whose content is generated.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    pub name: &'static str,
    pub text: String,
}

/// Why the blocks of a page could not be replaced.
#[derive(Clone, Debug, PartialEq)]
pub enum PageError {
    /// The page has a block for which no content is generated.
    UnknownBlock(String),
    /// The page has no block of this name, or more than one.
    NotExactlyOnce(&'static str),
    /// A block has no end marker.
    UnclosedBlock(String),
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::UnknownBlock(name) => {
                write!(f, "unknown block {name:?} in the page")
            }
            PageError::NotExactlyOnce(name) => {
                write!(f, "the page must contain the block {name:?} exactly once")
            }
            PageError::UnclosedBlock(name) => write!(f, "block {name:?} has no end marker {BLOCK_END:?}"),
        }
    }
}

impl std::error::Error for PageError {}

/// Formats a table with these column headings.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: Vec<&str>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(headings.to_vec());
    text.push_str(&line(vec!["---"; headings.len()]));
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}

/// Formats a paragraph, wrapped at the line length of the page.
pub fn paragraph(text: &str) -> String {
    let mut lines: Vec<String> = Vec::new();
    for word in text.split(' ') {
        match lines.last_mut() {
            Some(line) if line.len() + 1 + word.len() <= MAX_LINE_LENGTH => {
                line.push(' ');
                line.push_str(word);
            }
            _ => lines.push(word.into()),
        }
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}

/// Returns the page with the content of its blocks replaced. Text outside of the blocks is unchanged.
pub fn rewrite(page: &str, blocks: &[Block]) -> Result<String, PageError> {
    let mut text = String::new();
    let mut written = Vec::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        text.push_str(line);
        text.push('\n');
        let Some(name) = block_name(line) else { continue };
        let block = blocks.iter().find(|block| block.name == name);
        let block = block.ok_or_else(|| PageError::UnknownBlock(name.into()))?;
        if !lines.by_ref().any(|line| line == BLOCK_END) {
            return Err(PageError::UnclosedBlock(name.into()));
        }
        text.push_str(&format!("{}{BLOCK_END}\n", block.text));
        written.push(block.name);
    }
    let is_written_once = |name: &str| written.iter().filter(|written| **written == name).count() == 1;
    match blocks.iter().find(|block| !is_written_once(block.name)) {
        Some(block) => Err(PageError::NotExactlyOnce(block.name)),
        None => Ok(text),
    }
}

fn block_name(line: &str) -> Option<&str> {
    line.strip_prefix(BLOCK_START_PREFIX)?.strip_suffix(BLOCK_START_SUFFIX)
}
