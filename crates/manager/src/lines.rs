//! Lines out of bytes, however those came: in pieces, or many lines at once. Each byte is looked at once, so that a long
//! line in small pieces costs no more than one that comes whole.

use bytes::BytesMut;

/// Bytes that came, of which whole lines are taken.
#[derive(Default)]
pub struct LineBuffer {
    text: BytesMut,
    /// Bytes already known to hold no end of a line.
    seen: usize,
}

impl LineBuffer {
    /// Where what comes is to be put.
    pub fn space(&mut self, least: usize) -> &mut BytesMut {
        self.text.reserve(least);
        &mut self.text
    }

    /// The next whole line without its end, CRLF or LF.
    pub fn next(&mut self) -> Option<BytesMut> {
        let Some(end) = self.text[self.seen..].iter().position(|byte| *byte == b'\n') else {
            self.seen = self.text.len();
            return None;
        };
        let mut line = self.text.split_to(self.seen + end + 1);
        self.seen = 0;
        line.truncate(line.len() - 1);
        if line.ends_with(b"\r") {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    /// What came of the next line.
    pub fn unfinished(&self) -> &[u8] {
        &self.text
    }

    pub fn clear(&mut self) {
        self.text.clear();
        self.seen = 0;
    }
}

#[cfg(test)]
mod tests;
