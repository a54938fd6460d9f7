//! NETCONF message framing (RFC 6242 section 4). The crate does no I/O: the caller pushes bytes as they arrive, in parts
//! of a message or several messages at once.

use std::fmt;

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of a message. A longer one is a framing error.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Memory of a message that the buffer may keep for the next one.
const RETAINED_BYTES: usize = 64 << 10;
/// Maximum number of digits of a chunk size (section 4.2).
const MAX_CHUNK_SIZE_DIGITS: usize = 10;

/// The marker after the last chunk of a message (section 4.2).
const END_OF_CHUNKS: &[u8] = b"\n##\n";

/// The end-of-message delimiter of base:1.0.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";

/// How messages are delimited in the byte stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `]]>]]>` after each message: for the hellos, and for sessions that use base:1.0.
    EndOfMessage,
    /// Chunks, each after its size: for sessions in which both hellos list base:1.1.
    Chunked,
}

/// A framing error. The rest of the stream cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// A chunk is malformed, for the given reason.
    BadChunk(&'static str),
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::TooLong => write!(f, "a message is longer than {MAX_MESSAGE_BYTES} bytes"),
            FramingError::BadChunk(reason) => write!(f, "a chunk {reason}"),
        }
    }
}

/// Decodes messages from a byte stream.
#[derive(Debug)]
pub struct Decoder {
    framing: Framing,
    /// Bytes that are not decoded yet.
    bytes: BytesMut,
    /// Number of bytes that were already searched for the end-of-message delimiter.
    searched_bytes: usize,
    /// The decoded chunks of the current message.
    message: BytesMut,
    /// Whether the header of a chunk of the current message was already decoded.
    has_chunk: bool,
    /// Bytes of the current chunk that are still missing.
    missing_chunk_bytes: usize,
}

impl Default for Decoder {
    fn default() -> Self {
        let (bytes, message) = Default::default();
        Decoder {
            framing: Framing::EndOfMessage,
            bytes,
            searched_bytes: 0,
            message,
            has_chunk: false,
            missing_chunk_bytes: 0,
        }
    }
}

impl Decoder {
    /// Sets the framing of all bytes after the last returned message, including those that are already buffered.
    pub fn set_framing(&mut self, framing: Framing) {
        (self.framing, self.searched_bytes) = (framing, 0);
    }

    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Number of bytes received but not yet returned as part of a message, without framing that is already decoded.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() + self.message.len()
    }

    /// Returns the next message, or `None` if it is not complete yet.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FramingError> {
        let message = match self.framing {
            Framing::EndOfMessage => self.next_delimited(),
            Framing::Chunked => self.next_chunked(),
        };
        if matches!(&message, Ok(Some(message)) if message.len() > RETAINED_BYTES) {
            // The bytes that follow would otherwise keep all memory of the message, also after it was dropped.
            self.bytes = BytesMut::from(&self.bytes[..]);
        }
        message
    }

    fn next_delimited(&mut self) -> Result<Option<Bytes>, FramingError> {
        // The delimiter may have begun in the bytes that were already searched.
        let search_start = self.searched_bytes.saturating_sub(END_OF_MESSAGE.len() - 1);
        if let Some(end) = memmem::find(&self.bytes[search_start..], END_OF_MESSAGE) {
            let message = self.bytes.split_to(search_start + end).freeze();
            _ = self.bytes.split_to(END_OF_MESSAGE.len());
            self.searched_bytes = 0;
            return if message.len() > MAX_MESSAGE_BYTES {
                Err(FramingError::TooLong)
            } else {
                Ok(Some(message))
            };
        }
        self.searched_bytes = self.bytes.len();
        if self.bytes.len() > MAX_MESSAGE_BYTES {
            return Err(FramingError::TooLong);
        }
        Ok(None)
    }

    fn next_chunked(&mut self) -> Result<Option<Bytes>, FramingError> {
        loop {
            if self.missing_chunk_bytes > 0 {
                let available = self.missing_chunk_bytes.min(self.bytes.len());
                if available == 0 {
                    return Ok(None);
                }
                self.message.extend_from_slice(&self.bytes.split_to(available));
                self.missing_chunk_bytes -= available;
                continue;
            }
            match read_chunk_header(&self.bytes)? {
                None => return Ok(None),
                Some(ChunkHeader { length_bytes, chunk_bytes: Some(size) }) => {
                    // The size is checked before the chunk arrives, so that an excessive size uses no memory.
                    if size > MAX_MESSAGE_BYTES - self.message.len() {
                        return Err(FramingError::TooLong);
                    }
                    _ = self.bytes.split_to(length_bytes);
                    (self.missing_chunk_bytes, self.has_chunk) = (size, true);
                }
                Some(ChunkHeader { chunk_bytes: None, .. }) if !self.has_chunk => {
                    return Err(FramingError::BadChunk("is missing before the end-of-chunks marker"));
                }
                Some(ChunkHeader { length_bytes, chunk_bytes: None }) => {
                    _ = self.bytes.split_to(length_bytes);
                    self.has_chunk = false;
                    return Ok(Some(std::mem::take(&mut self.message).freeze()));
                }
            }
        }
    }
}

/// The header of a chunk, or the end-of-chunks marker.
struct ChunkHeader {
    /// Length of the header itself.
    length_bytes: usize,
    /// Size of the chunk; `None` for the end-of-chunks marker.
    chunk_bytes: Option<usize>,
}

/// Reads the header at the start of `bytes`; `None` if it is not complete yet.
fn read_chunk_header(bytes: &[u8]) -> Result<Option<ChunkHeader>, FramingError> {
    for (byte, expected) in bytes.iter().zip(b"\n#") {
        if byte != expected {
            return Err(FramingError::BadChunk("does not start with LF and #"));
        }
    }
    let Some(rest) = bytes.get(2..) else { return Ok(None) };
    if rest.first() == Some(&b'#') {
        return match rest.get(1) {
            None => Ok(None),
            Some(b'\n') => Ok(Some(ChunkHeader { length_bytes: END_OF_CHUNKS.len(), chunk_bytes: None })),
            Some(_) => Err(FramingError::BadChunk("has no LF after the end-of-chunks marker")),
        };
    }
    let digit_count = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digit_count > MAX_CHUNK_SIZE_DIGITS || rest.first() == Some(&b'0') {
        return Err(FramingError::BadChunk("has a size out of range"));
    }
    match rest.get(digit_count) {
        None => Ok(None),
        Some(b'\n') if digit_count > 0 => {
            let size = std::str::from_utf8(&rest[..digit_count]).ok().and_then(|size| size.parse().ok());
            let size = size.filter(|size: &u64| *size <= u32::MAX.into());
            let size = size.ok_or(FramingError::BadChunk("has a size out of range"))?;
            // LF and # come before the digits, LF after them.
            Ok(Some(ChunkHeader { length_bytes: 2 + digit_count + 1, chunk_bytes: Some(size as usize) }))
        }
        Some(_) => Err(FramingError::BadChunk("has a size that is not a number")),
    }
}

/// The bytes to send before and after a message of `message_bytes` bytes. They are separate from the message so that the
/// message is not copied.
pub fn delimiters(framing: Framing, message_bytes: usize) -> (String, &'static [u8]) {
    match framing {
        Framing::EndOfMessage => (String::new(), END_OF_MESSAGE),
        Framing::Chunked => (format!("\n#{message_bytes}\n"), END_OF_CHUNKS),
    }
}

/// Encodes one message with its framing.
pub fn encode(framing: Framing, message: &str) -> Vec<u8> {
    let (header, trailer) = delimiters(framing, message.len());
    [header.as_bytes(), message.as_bytes(), trailer].concat()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Size of the pieces that the tests push until a message is too long.
    const PIECE_BYTES: usize = 65536;

    fn decode_all(framing: Framing, pieces: &[&[u8]]) -> Result<Vec<String>, FramingError> {
        let mut decoder = Decoder::default();
        decoder.set_framing(framing);
        let mut messages = Vec::new();
        for piece in pieces {
            decoder.push(piece);
            while let Some(message) = decoder.next_message()? {
                messages.push(String::from_utf8(message.to_vec()).unwrap());
            }
        }
        Ok(messages)
    }

    #[test]
    fn messages_do_not_depend_on_how_the_bytes_are_split() {
        let chunked = b"\n#4\n<rpc\n#18\n message-id=\"102\">\n##\n\n#1\nx\n##\n".as_slice();
        let delimited = b"<a/>]]>]]>]]>]]> b ]]>]] >]]>]]>".as_slice();
        let chunked_messages = ["<rpc message-id=\"102\">", "x"];
        for (framing, bytes, expected) in [
            (Framing::Chunked, chunked, chunked_messages.to_vec()),
            (Framing::EndOfMessage, delimited, vec!["<a/>", "", " b ]]>]] >"]),
        ] {
            assert_eq!(decode_all(framing, &[bytes]).unwrap(), expected);
            for split in 0..bytes.len() {
                assert_eq!(
                    decode_all(framing, &[&bytes[..split], &bytes[split..]]).unwrap(),
                    expected,
                    "split at {split}"
                );
            }
            let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
            assert_eq!(decode_all(framing, &single_bytes).unwrap(), expected);
        }
        for framing in [Framing::Chunked, Framing::EndOfMessage] {
            let encoded = encode(framing, "<a/>");
            assert_eq!(decode_all(framing, &[&encoded, &encoded]).unwrap(), ["<a/>", "<a/>"]);
        }
    }

    #[test]
    fn invalid_sizes_are_rejected_before_memory_is_used() {
        for (bytes, expected) in [
            (&b"\n#4294967295\n"[..], FramingError::TooLong),
            (b"\n#4294967296\n", FramingError::BadChunk("has a size out of range")),
            (b"\n#99999999999", FramingError::BadChunk("has a size out of range")),
            (b"\n#0\n", FramingError::BadChunk("has a size out of range")),
            (b"\n#-1\n", FramingError::BadChunk("has a size that is not a number")),
            (b"\n#\n", FramingError::BadChunk("has a size that is not a number")),
            (b"\n#4 \n", FramingError::BadChunk("has a size that is not a number")),
            (b"\n##\n", FramingError::BadChunk("is missing before the end-of-chunks marker")),
            (b"\n#1\na\n##x", FramingError::BadChunk("has no LF after the end-of-chunks marker")),
            (b"\n#1\nab", FramingError::BadChunk("does not start with LF and #")),
            (b"<rpc>", FramingError::BadChunk("does not start with LF and #")),
        ] {
            assert_eq!(
                decode_all(Framing::Chunked, &[bytes]),
                Err(expected),
                "{:?}",
                String::from_utf8_lossy(bytes)
            );
        }
        let mut decoder = Decoder::default();
        decoder.set_framing(Framing::Chunked);
        let mut pushed_bytes = 0;
        let error = loop {
            // The header of a chunk of `PIECE_BYTES`.
            decoder.push(b"\n#65536\n");
            decoder.push(&[b'x'; PIECE_BYTES]);
            pushed_bytes += PIECE_BYTES;
            if let Err(error) = decoder.next_message() {
                break error;
            }
        };
        assert!(
            error == FramingError::TooLong
                && pushed_bytes <= MAX_MESSAGE_BYTES + 2 * PIECE_BYTES
                && decoder.buffered_bytes() <= MAX_MESSAGE_BYTES + 2 * PIECE_BYTES
        );
        let mut delimited_decoder = Decoder::default();
        let error = (0..).find_map(|_| {
            delimited_decoder.push(&[b'x'; PIECE_BYTES]);
            delimited_decoder.next_message().err()
        });
        assert!(
            error == Some(FramingError::TooLong)
                && delimited_decoder.buffered_bytes() <= MAX_MESSAGE_BYTES + PIECE_BYTES
        );
    }

    #[test]
    fn random_bytes_cause_no_panic_and_no_excessive_buffering() {
        println!("seed 6242");
        let mut rng = fastrand::Rng::with_seed(6242);
        let valid = b"\n#4\n<rpc\n#18\n message-id=\"102\">\n##\n\n#3\n]]>\n##\n<a/>]]>]]>";
        for _ in 0..20_000 {
            let mut bytes = valid.to_vec();
            (0..rng.usize(1..5)).for_each(|_| {
                let position = rng.usize(..bytes.len());
                bytes[position] = b"\n#0123456789]>x"[rng.usize(..15)];
            });
            let mut decoder = Decoder::default();
            decoder.set_framing(if rng.bool() { Framing::Chunked } else { Framing::EndOfMessage });
            for piece in bytes.chunks(rng.usize(1..20)) {
                decoder.push(piece);
                while let Ok(Some(message)) = decoder.next_message() {
                    assert!(message.len() <= bytes.len());
                }
                assert!(decoder.buffered_bytes() <= bytes.len());
            }
        }
    }
}
