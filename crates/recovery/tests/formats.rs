//! Records of the ledger that an earlier build wrote are read as the same values and written as the same bytes. Guards
//! against renamed, retyped or reordered fields and variants that make a stored ledger unreadable after an upgrade. Each
//! line of the file in `formats/` is a record's name and its bytes in hexadecimal digits.

use juniperrail_interface::{ProxyId, TableId};
use juniperrail_recovery::{Authorisation, MarkPosition, Record, RetryKey};

const STORED: &str = include_str!("formats/ledger-records.txt");

fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_from_hexadecimal(digits: &str) -> Vec<u8> {
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).unwrap())
        .collect()
}

fn records() -> Vec<(&'static str, Record)> {
    let key = || RetryKey::new("grade", TableId(300), ProxyId(7));
    let from = MarkPosition { run: 3, mark: 130 };
    let to = MarkPosition { run: 4, mark: 2 };
    let ended = Authorisation { from, since: 12.5, to: Some((to, 99.25)) };
    let in_force = Authorisation { from, since: 12.5, to: None };
    vec![
        ("opened", Record::Authorised { key: key(), from, since: 12.5 }),
        ("closed", Record::Revoked { key: key(), to, at: 99.25 }),
        ("snapshot-ended", Record::Snapshot { key: key(), authorisation: ended }),
        ("snapshot-open", Record::Snapshot { key: key(), authorisation: in_force }),
    ]
}

#[test]
fn records_of_an_earlier_build_are_read_and_written_unchanged() {
    let stored: Vec<(&str, &str)> = STORED.lines().filter_map(|line| line.split_once(' ')).collect();
    let records = records();
    assert_eq!(stored.len(), records.len());
    for ((stored_name, digits), (name, record)) in stored.iter().zip(&records) {
        assert_eq!(stored_name, name);
        assert_eq!(
            &Record::decode(&bytes_from_hexadecimal(digits)).unwrap(),
            record,
            "{name} is read as another record"
        );
        assert_eq!(&to_hexadecimal(&record.encode()), digits, "{name} is written as other bytes");
    }
}
