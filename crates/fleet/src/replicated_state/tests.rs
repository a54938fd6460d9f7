//! Guards against reordered fields of [`ReplicatedState`], with a snapshot that an earlier build wrote.
//! `tests/formats.rs` checks each value in the snapshot, but cannot use this type, which is private to the crate.

use juniperrail_schedule::Ledger;

use super::*;

const STORED: &str = include_str!("../../tests/formats/snapshot-state.txt");

#[test]
fn a_snapshot_state_of_an_earlier_build_is_read_and_written_unchanged() {
    let (_, digits) = STORED.trim_end().split_once(' ').unwrap();
    let digit_pairs = (0..digits.len()).step_by(2).map(|start| &digits[start..start + 2]);
    let bytes: Vec<u8> = digit_pairs.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect();
    let (ledger, plan, generation, last_applied): (Ledger, Plan, u64, Index) =
        postcard::from_bytes(&bytes).unwrap();
    let decoded = ReplicatedState::decode(&Snapshot { state: bytes.clone(), ..Snapshot::default() }).unwrap();
    assert_eq!(decoded, ReplicatedState { ledger, plan, generation, last_applied });
    assert_eq!(decoded.encode(), bytes);
    assert_eq!((decoded.generation, decoded.last_applied), (12, Index(131)));
}
