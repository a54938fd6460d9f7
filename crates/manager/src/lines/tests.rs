use super::*;

/// Lines out of these pieces, and how many bytes were left to look at in all.
fn lines(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, usize) {
    let (mut buffer, mut lines, mut looked) = (LineBuffer::default(), Vec::new(), 0);
    for piece in pieces {
        buffer.space(piece.len()).extend_from_slice(piece);
        loop {
            looked += buffer.text.len() - buffer.seen;
            let Some(line) = buffer.next() else { break };
            lines.push(line.to_vec());
        }
    }
    (lines, looked)
}

#[test]
fn lines_are_the_same_however_they_are_cut() {
    let text = b"one\r\n\ntwo\rthree\r\r\nfour\n";
    let whole = lines(&[text]).0;
    assert_eq!(whole, [&b"one"[..], b"", b"two\rthree\r", b"four"]);
    for size in 1..text.len() {
        let pieces: Vec<&[u8]> = text.chunks(size).collect();
        assert_eq!(lines(&pieces).0, whole, "pieces of {size}");
    }
}

#[test]
fn a_long_line_in_small_pieces_is_looked_at_once() {
    let long = vec![b'x'; 1 << 20];
    let pieces: Vec<&[u8]> = long.chunks(64).chain([&b"\n"[..]]).collect();
    let (lines, looked) = lines(&pieces);
    assert_eq!((lines.len(), looked), (1, long.len() + 1));
}
