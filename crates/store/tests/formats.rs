//! Files of a store that an earlier build wrote are recovered record by record. Guards against changes that make a
//! store unreadable after an upgrade. Each line of the file in `formats/` is a file's name and its bytes in hexadecimal
//! digits.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperrail_store::sim::SimDisk;
use juniperrail_store::{Limits, Seq, Store};

const STORED: &str = include_str!("formats/store.txt");

const LIMITS: Limits =
    Limits { max_segment_bytes: 400, max_total_bytes: 1 << 20, max_pending_bytes: 64 << 10 };
const SNAPSHOT: [&[u8]; 2] = [b"snapshot, first record", b"snapshot, second record"];
/// The sequence number of the first record after the snapshot.
const FIRST_RECORD: u64 = 4;
const RECORDS: [&[u8]; 3] = [b"a record after the snapshot", b"", &[0, 255, 7]];

fn decode_hex(digits: &str) -> Vec<u8> {
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).unwrap())
        .collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The files of a store with a snapshot, records after the snapshot and a full segment, as this build writes them.
fn written_files() -> String {
    let disk = Arc::new(SimDisk::new(1));
    let mut store = Store::open(disk.clone(), LIMITS).unwrap().store;
    for number in 1..FIRST_RECORD {
        store.append(&[number as u8; 150]).unwrap();
        store.commit().unwrap();
    }
    let mut compaction = store.begin_compaction().unwrap();
    compaction.write_records(SNAPSHOT).unwrap();
    store.finish_compaction(compaction.seal().unwrap()).unwrap();
    for record in RECORDS {
        store.append(record).unwrap();
        store.commit().unwrap();
    }
    disk.files().iter().map(|(name, content)| format!("{name} {}\n", encode_hex(content))).collect()
}

#[test]
fn a_store_of_an_earlier_build_is_recovered() {
    let files = STORED.lines().filter_map(|line| line.split_once(' '));
    let image: BTreeMap<String, Vec<u8>> =
        files.map(|(name, digits)| (name.to_string(), decode_hex(digits))).collect();
    let opened = Store::open(Arc::new(SimDisk::from_files(&image)), LIMITS).unwrap();
    assert_eq!(opened.recovered.snapshot, SNAPSHOT.map(<[u8]>::to_vec));
    let expected: Vec<(Seq, Vec<u8>)> = (FIRST_RECORD..).map(Seq).zip(RECORDS.map(<[u8]>::to_vec)).collect();
    assert_eq!(opened.recovered.records, expected);
}

#[test]
fn the_same_steps_write_the_same_files_as_an_earlier_build() {
    assert_eq!(written_files(), STORED);
}
