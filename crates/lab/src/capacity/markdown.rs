//! Tables in markdown, and the blocks of the page that the program writes.

use std::fmt;

const BLOCK_BEGINS: &str = "<!-- capacity: ";
const MARK_ENDS: &str = " -->";
const BLOCK_ENDS: &str = "<!-- end -->";
/// Characters of a line of text.
const WIDTH: usize = 140;

/// A named part of the page that the program writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    pub name: &'static str,
    pub text: String,
}

/// Why the blocks of a page can't be written.
#[derive(Clone, Debug, PartialEq)]
pub enum PageError {
    /// The page has a block that the program does not know.
    Unknown(String),
    /// The page has no block of this name, or has it twice.
    NotOnce(&'static str),
    /// A block has no end.
    Open(String),
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::Unknown(name) => {
                write!(f, "the page has a block {name:?} that the program does not know")
            }
            PageError::NotOnce(name) => write!(f, "the page has to have the block {name:?} once"),
            PageError::Open(name) => write!(f, "the block {name:?} has no {BLOCK_ENDS:?}"),
        }
    }
}

impl std::error::Error for PageError {}

/// A table with this head.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: Vec<&str>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.to_vec());
    text.push_str(&line(vec!["---"; head.len()]));
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}

/// A paragraph, wrapped as the rest of the page.
pub fn paragraph(text: &str) -> String {
    let mut lines: Vec<String> = Vec::new();
    for word in text.split(' ') {
        match lines.last_mut() {
            Some(line) if line.len() + 1 + word.len() <= WIDTH => {
                line.push(' ');
                line.push_str(word);
            }
            _ => lines.push(word.into()),
        }
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}

/// The page with its blocks as the program writes them; all else stays.
pub fn rewrite(page: &str, blocks: &[Block]) -> Result<String, PageError> {
    let mut text = String::new();
    let mut written = Vec::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        text.push_str(line);
        text.push('\n');
        let Some(name) = block_name(line) else { continue };
        let block = blocks.iter().find(|block| block.name == name);
        let block = block.ok_or_else(|| PageError::Unknown(name.into()))?;
        if !lines.by_ref().any(|line| line == BLOCK_ENDS) {
            return Err(PageError::Open(name.into()));
        }
        text.push_str(&format!("{}{BLOCK_ENDS}\n", block.text));
        written.push(block.name);
    }
    let once = |name: &str| written.iter().filter(|written| **written == name).count() == 1;
    match blocks.iter().find(|block| !once(block.name)) {
        Some(block) => Err(PageError::NotOnce(block.name)),
        None => Ok(text),
    }
}

fn block_name(line: &str) -> Option<&str> {
    line.strip_prefix(BLOCK_BEGINS)?.strip_suffix(MARK_ENDS)
}
