use super::*;

/// Splits pieces, which are received one after the other, into lines. Also returns the total number of bytes scanned.
fn split_into_lines(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, usize) {
    let (mut buffer, mut lines, mut scanned) = (LineBuffer::default(), Vec::new(), 0);
    for piece in pieces {
        buffer.discard_line();
        buffer.space(piece.len(), usize::MAX).extend_from_slice(piece);
        loop {
            scanned += buffer.bytes.len() - buffer.scanned;
            if !buffer.advance() {
                break;
            }
            lines.push(buffer.line().to_vec());
        }
    }
    (lines, scanned)
}

#[test]
fn lines_do_not_depend_on_how_the_bytes_are_split() {
    let text = b"one\r\n\ntwo\rthree\r\r\nfour\n";
    let expected = split_into_lines(&[text]).0;
    assert_eq!(expected, [&b"one"[..], b"", b"two\rthree\r", b"four"]);
    for size in 1..text.len() {
        let pieces: Vec<&[u8]> = text.chunks(size).collect();
        assert_eq!(split_into_lines(&pieces).0, expected, "the lines differ for pieces of {size} bytes");
    }
}

#[test]
fn each_byte_of_a_long_line_in_small_pieces_is_scanned_once() {
    let long_line = vec![b'x'; 1 << 20];
    let pieces: Vec<&[u8]> = long_line.chunks(64).chain([&b"\n"[..]]).collect();
    let (lines, scanned) = split_into_lines(&pieces);
    assert_eq!((lines.len(), scanned), (1, long_line.len() + 1));
}
