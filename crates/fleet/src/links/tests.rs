//! Guards against changes of the handshake, the first message on a link, that managers of an earlier build cannot read.

use super::*;

const STORED: &str = include_str!("../../tests/formats/hello.txt");

#[test]
fn a_handshake_of_an_earlier_build_is_read_and_written_unchanged() {
    let (_, digits) = STORED.trim_end().split_once(' ').unwrap();
    let digit_pairs = (0..digits.len()).step_by(2).map(|start| &digits[start..start + 2]);
    let bytes: Vec<u8> = digit_pairs.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect();
    let handshake: Handshake = postcard::from_bytes(&bytes).unwrap();
    assert_eq!((handshake.sender, handshake.receiver), (MemberId(1), MemberId(300)));
    assert_eq!((handshake.fleet.as_str(), handshake.run), ("exams", Run(9)));
    assert_eq!(postcard::to_stdvec(&handshake).unwrap(), bytes);
}
