//! Messages out of bytes and back, RFC 6242 section 4. Free of I/O: bytes are pushed in as they come, in pieces or
//! many messages at once.

use std::fmt;

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// No message is longer; what goes on for longer is no message.
pub const LONGEST: usize = 4 << 20;
/// No chunk's size has more digits (section 4.2).
const DIGITS: usize = 10;

const END: &[u8] = b"]]>]]>";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `]]>]]>` after each message: base:1.0, and both hellos.
    EndOfMessage,
    /// base:1.1, once both hellos named it.
    Chunked,
}

/// Why bytes are no messages. Nothing after them can be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    TooLong,
    BadChunk(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::TooLong => write!(f, "a message is longer than {LONGEST} bytes"),
            Fault::BadChunk(why) => write!(f, "a chunk {why}"),
        }
    }
}

/// What has come and is no whole message yet.
#[derive(Debug)]
pub struct Decoder {
    framing: Framing,
    bytes: BytesMut,
    /// Bytes already known to hold no end of a message.
    seen: usize,
    /// Chunks of the message under way, and what of the one chunk is still to come.
    message: BytesMut,
    begun: bool,
    left: usize,
}

impl Default for Decoder {
    fn default() -> Self {
        let (bytes, message) = Default::default();
        Decoder { framing: Framing::EndOfMessage, bytes, seen: 0, message, begun: false, left: 0 }
    }
}

impl Decoder {
    /// What follows the message last taken is framed so.
    pub fn frame(&mut self, framing: Framing) {
        (self.framing, self.seen) = (framing, 0);
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Memory that it holds on to, in bytes.
    pub fn held(&self) -> usize {
        self.bytes.len() + self.message.len()
    }

    /// The next whole message, if it has come.
    pub fn message(&mut self) -> Result<Option<Bytes>, Fault> {
        match self.framing {
            Framing::EndOfMessage => self.ended(),
            Framing::Chunked => self.chunked(),
        }
    }

    fn ended(&mut self) -> Result<Option<Bytes>, Fault> {
        let from = self.seen.saturating_sub(END.len() - 1);
        if let Some(end) = memmem::find(&self.bytes[from..], END) {
            let message = self.bytes.split_to(from + end).freeze();
            _ = self.bytes.split_to(END.len());
            self.seen = 0;
            return if message.len() > LONGEST { Err(Fault::TooLong) } else { Ok(Some(message)) };
        }
        self.seen = self.bytes.len();
        if self.bytes.len() > LONGEST {
            return Err(Fault::TooLong);
        }
        Ok(None)
    }

    fn chunked(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            if self.left > 0 {
                let taken = self.left.min(self.bytes.len());
                if taken == 0 {
                    return Ok(None);
                }
                self.message.extend_from_slice(&self.bytes.split_to(taken));
                self.left -= taken;
                continue;
            }
            match header(&self.bytes)? {
                None => return Ok(None),
                Some((used, Some(size))) => {
                    // Told before a byte of it has come, so that a size that lies costs nothing.
                    if size > LONGEST - self.message.len() {
                        return Err(Fault::TooLong);
                    }
                    _ = self.bytes.split_to(used);
                    (self.left, self.begun) = (size, true);
                }
                Some((_, None)) if !self.begun => {
                    return Err(Fault::BadChunk("ends a message that has none"));
                }
                Some((used, None)) => {
                    _ = self.bytes.split_to(used);
                    self.begun = false;
                    return Ok(Some(self.message.split().freeze()));
                }
            }
        }
    }
}

/// A chunk's header: the bytes it takes and the chunk's size, `None` for the end of the chunks.
fn header(bytes: &[u8]) -> Result<Option<(usize, Option<usize>)>, Fault> {
    for (byte, due) in bytes.iter().zip(b"\n#") {
        if byte != due {
            return Err(Fault::BadChunk("does not begin with LF and #"));
        }
    }
    let Some(rest) = bytes.get(2..) else { return Ok(None) };
    if rest.first() == Some(&b'#') {
        return match rest.get(1) {
            None => Ok(None),
            Some(b'\n') => Ok(Some((4, None))),
            Some(_) => Err(Fault::BadChunk("ends with something but LF")),
        };
    }
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > DIGITS || rest.first() == Some(&b'0') {
        return Err(Fault::BadChunk("has a size that can't be"));
    }
    match rest.get(digits) {
        None => Ok(None),
        Some(b'\n') if digits > 0 => {
            let size = std::str::from_utf8(&rest[..digits]).ok().and_then(|size| size.parse().ok());
            let size = size.filter(|size: &u64| *size <= u32::MAX.into());
            let size = size.ok_or(Fault::BadChunk("has a size that can't be"))?;
            Ok(Some((2 + digits + 1, Some(size as usize))))
        }
        Some(_) => Err(Fault::BadChunk("has a size that is no number")),
    }
}

/// What goes out before and after a message of that many bytes, so that the message itself is not copied.
pub fn around(framing: Framing, length: usize) -> (String, &'static [u8]) {
    match framing {
        Framing::EndOfMessage => (String::new(), END),
        Framing::Chunked => (format!("\n#{length}\n"), b"\n##\n"),
    }
}

/// One message as it goes out.
pub fn encode(framing: Framing, message: &str) -> Vec<u8> {
    let (head, tail) = around(framing, message.len());
    [head.as_bytes(), message.as_bytes(), tail].concat()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(framing: Framing, pieces: &[&[u8]]) -> Result<Vec<String>, Fault> {
        let mut decoder = Decoder::default();
        decoder.frame(framing);
        let mut messages = Vec::new();
        for piece in pieces {
            decoder.push(piece);
            while let Some(message) = decoder.message()? {
                messages.push(String::from_utf8(message.to_vec()).unwrap());
            }
        }
        Ok(messages)
    }

    #[test]
    fn messages_are_the_same_wherever_the_bytes_are_cut() {
        let chunked = b"\n#4\n<rpc\n#18\n message-id=\"102\">\n##\n\n#1\nx\n##\n".as_slice();
        let ended = b"<a/>]]>]]>]]>]]> b ]]>]] >]]>]]>".as_slice();
        let whole = ["<rpc message-id=\"102\">", "x"];
        for (framing, bytes, expected) in [
            (Framing::Chunked, chunked, whole.to_vec()),
            (Framing::EndOfMessage, ended, vec!["<a/>", "", " b ]]>]] >"]),
        ] {
            assert_eq!(all(framing, &[bytes]).unwrap(), expected);
            for cut in 0..bytes.len() {
                assert_eq!(all(framing, &[&bytes[..cut], &bytes[cut..]]).unwrap(), expected, "cut at {cut}");
            }
            let single: Vec<&[u8]> = bytes.chunks(1).collect();
            assert_eq!(all(framing, &single).unwrap(), expected);
        }
        for framing in [Framing::Chunked, Framing::EndOfMessage] {
            let sent = encode(framing, "<a/>");
            assert_eq!(all(framing, &[&sent, &sent]).unwrap(), ["<a/>", "<a/>"]);
        }
    }

    #[test]
    fn sizes_that_lie_are_known_before_anything_is_kept() {
        for (bytes, why) in [
            (&b"\n#4294967295\n"[..], Fault::TooLong),
            (b"\n#4294967296\n", Fault::BadChunk("has a size that can't be")),
            (b"\n#99999999999", Fault::BadChunk("has a size that can't be")),
            (b"\n#0\n", Fault::BadChunk("has a size that can't be")),
            (b"\n#-1\n", Fault::BadChunk("has a size that is no number")),
            (b"\n#\n", Fault::BadChunk("has a size that is no number")),
            (b"\n#4 \n", Fault::BadChunk("has a size that is no number")),
            (b"\n##\n", Fault::BadChunk("ends a message that has none")),
            (b"\n#1\na\n##x", Fault::BadChunk("ends with something but LF")),
            (b"\n#1\nab", Fault::BadChunk("does not begin with LF and #")),
            (b"<rpc>", Fault::BadChunk("does not begin with LF and #")),
        ] {
            assert_eq!(all(Framing::Chunked, &[bytes]), Err(why), "{:?}", String::from_utf8_lossy(bytes));
        }
        let mut decoder = Decoder::default();
        decoder.frame(Framing::Chunked);
        let mut sent = 0;
        let fault = loop {
            decoder.push(b"\n#65536\n");
            decoder.push(&[b'x'; 65536]);
            sent += 65536;
            if let Err(fault) = decoder.message() {
                break fault;
            }
        };
        assert!(
            fault == Fault::TooLong && sent <= LONGEST + 2 * 65536 && decoder.held() <= LONGEST + 2 * 65536
        );
        let mut endless = Decoder::default();
        let fault = (0..).find_map(|_| {
            endless.push(&[b'x'; 65536]);
            endless.message().err()
        });
        assert!(fault == Some(Fault::TooLong) && endless.held() <= LONGEST + 65536);
    }

    #[test]
    fn no_bytes_make_the_decoder_panic_or_keep_too_much() {
        println!("seed 6242");
        let mut rng = fastrand::Rng::with_seed(6242);
        let sound = b"\n#4\n<rpc\n#18\n message-id=\"102\">\n##\n\n#3\n]]>\n##\n<a/>]]>]]>";
        for _ in 0..20_000 {
            let mut bytes = sound.to_vec();
            (0..rng.usize(1..5)).for_each(|_| {
                let place = rng.usize(..bytes.len());
                bytes[place] = b"\n#0123456789]>x"[rng.usize(..15)];
            });
            let mut decoder = Decoder::default();
            decoder.frame(if rng.bool() { Framing::Chunked } else { Framing::EndOfMessage });
            for piece in bytes.chunks(rng.usize(1..20)) {
                decoder.push(piece);
                while let Ok(Some(message)) = decoder.message() {
                    assert!(message.len() <= bytes.len());
                }
                assert!(decoder.held() <= bytes.len());
            }
        }
    }
}
