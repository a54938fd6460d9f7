//! Splits received bytes into lines. Each byte is scanned once, so that a long line that arrives in small pieces
//! costs no more than one that arrives at once.

use bytes::BytesMut;

/// Received bytes that have not been returned as lines yet.
#[derive(Default)]
pub struct LineBuffer {
    bytes: BytesMut,
    /// Bytes at the front that have been scanned and contain no line feed.
    scanned: usize,
}

impl LineBuffer {
    /// The buffer to append received bytes to, with at least `min_bytes` of free capacity.
    pub fn space(&mut self, min_bytes: usize) -> &mut BytesMut {
        self.bytes.reserve(min_bytes);
        &mut self.bytes
    }

    /// The next complete line, without its line ending (CRLF or LF).
    pub fn next(&mut self) -> Option<BytesMut> {
        let Some(end) = self.bytes[self.scanned..].iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.bytes.len();
            return None;
        };
        let mut line = self.bytes.split_to(self.scanned + end + 1);
        self.scanned = 0;
        line.truncate(line.len() - 1);
        if line.ends_with(b"\r") {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    /// The bytes of the next line that have been received so far.
    pub fn unfinished(&self) -> &[u8] {
        &self.bytes
    }

    /// Discards all bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.scanned = 0;
    }
}

#[cfg(test)]
mod tests;
