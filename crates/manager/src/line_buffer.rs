//! Splits received bytes into lines. Each byte is scanned once, so that a long line that arrives in small pieces
//! costs no more than one that arrives at once. The buffer shrinks again after a long line.

use std::ops::Range;

/// Capacity that a buffer keeps, or grows to without being told to.
pub const SMALL_CAPACITY_BYTES: usize = 8 << 10;

/// Received bytes: the current line, and those after it.
#[derive(Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// The current line, without its line ending.
    line: Range<usize>,
    /// Bytes at the front that are the current line, its line ending, or lines before it.
    consumed: usize,
    /// Bytes at the front that have been scanned for line feeds.
    scanned: usize,
}

impl LineBuffer {
    /// Makes the next complete line the current one. Returns false if none is complete yet.
    pub fn advance(&mut self) -> bool {
        let Some(length) = memchr::memchr(b'\n', &self.bytes[self.scanned..]) else {
            self.scanned = self.bytes.len();
            return false;
        };
        let end = self.scanned + length;
        let line = &self.bytes[self.consumed..end];
        let line_bytes = line.strip_suffix(b"\r").unwrap_or(line).len();
        self.line = self.consumed..self.consumed + line_bytes;
        self.consumed = end + 1;
        self.scanned = self.consumed;
        true
    }

    /// The current line, without its line ending (CRLF or LF).
    pub fn line(&self) -> &[u8] {
        &self.bytes[self.line.clone()]
    }

    /// The bytes after the current line that have been received so far.
    pub fn unfinished(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Discards the current line, and gives back the memory of a long one.
    pub fn discard_line(&mut self) {
        self.bytes.drain(..self.consumed);
        self.scanned -= self.consumed;
        (self.line, self.consumed) = (0..0, 0);
        if self.bytes.capacity() > SMALL_CAPACITY_BYTES && self.bytes.len() <= SMALL_CAPACITY_BYTES / 2 {
            self.bytes.shrink_to(SMALL_CAPACITY_BYTES);
        }
    }

    /// The capacity that [`LineBuffer::space`] brings about: it doubles, at most to `max_bytes`, where less than
    /// `min_bytes` would be free.
    pub fn next_capacity(&self, min_bytes: usize, max_bytes: usize) -> usize {
        let (capacity, needed) = (self.bytes.capacity(), self.bytes.len() + min_bytes);
        match needed <= capacity {
            true => capacity,
            false => (2 * capacity).clamp(needed, max_bytes.max(needed)),
        }
    }

    /// The buffer to append received bytes to, with at least `min_bytes` of free capacity.
    pub fn space(&mut self, min_bytes: usize, max_bytes: usize) -> &mut Vec<u8> {
        let added = self.next_capacity(min_bytes, max_bytes) - self.bytes.len();
        self.bytes.reserve_exact(added);
        &mut self.bytes
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        *self = LineBuffer { bytes: std::mem::take(&mut self.bytes), ..LineBuffer::default() };
        self.bytes.clear();
    }
}

#[cfg(test)]
mod tests;
