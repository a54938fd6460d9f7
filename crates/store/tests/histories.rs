//! Compares the store with a plain list over random histories of appends, commits, compactions and crashes, and opens
//! stores whose files are truncated or corrupted at every byte.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperrail_store::sim::{Faults, SimDisk};
use juniperrail_store::{DirectoryDisk, Disk, Limits, OpenError, Seq, Store};

const LIMITS: Limits =
    Limits { max_segment_bytes: 400, max_total_bytes: 1 << 20, max_pending_bytes: 64 << 10 };

/// A record that contains its own sequence number.
fn record(seq: u64, size: usize) -> Vec<u8> {
    let mut bytes = seq.to_le_bytes().to_vec();
    bytes.resize(8 + size, seq as u8);
    bytes
}

fn sequence_number_of(record: &[u8]) -> u64 {
    u64::from_le_bytes(record[..8].try_into().unwrap())
}

/// Asserts that the recovered records are the first ones, in order, and returns their count.
fn recovered_count(recovered: &juniperrail_store::Recovered) -> u64 {
    let snapshot = recovered.snapshot.iter().map(|record| sequence_number_of(record));
    let records = recovered.records.iter().map(|(seq, record)| {
        assert_eq!(seq.0, sequence_number_of(record), "a record has the sequence number of another one");
        sequence_number_of(record)
    });
    let sequence_numbers: Vec<u64> = snapshot.chain(records).collect();
    assert!(
        sequence_numbers.iter().copied().eq(1..=sequence_numbers.len() as u64),
        "the recovered records are not the first ones that were appended: {sequence_numbers:?}"
    );
    sequence_numbers.len() as u64
}

/// Runs one random history and asserts that no durable record is lost and that no record is invented.
fn run_history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let disk = Arc::new(SimDisk::new(seed));
    let (mut durable, mut appended) = (0, 0);
    for _ in 0..rng.usize(1..5) {
        let crash_at_step = (rng.u8(..8) > 0).then(|| rng.u64(1..60));
        let capacity_bytes = (rng.u8(..6) == 0).then(|| rng.u64(200..3000));
        let sync_failure_one_in = if rng.u8(..4) == 0 { rng.u32(2..6) } else { 0 };
        disk.set_faults(Faults { crash_at_step, sync_failure_one_in, capacity_bytes });
        match Store::open(disk.clone(), LIMITS) {
            Ok(opened) => {
                let mut store = opened.store;
                let found = recovered_count(&opened.recovered);
                assert!(
                    (durable..=appended).contains(&found),
                    "seed {seed}: {found} records recovered, {durable} were durable and {appended} appended"
                );
                (durable, appended) = (found, found);
                let mut expected_records: Vec<Vec<u8>> = opened.recovered.snapshot;
                expected_records.extend(opened.recovered.records.into_iter().map(|(_, record)| record));
                for _ in 0..rng.usize(1..30) {
                    if disk.is_powered_off() {
                        break;
                    }
                    match rng.u8(..10) {
                        0 => {
                            // The snapshot holds all durable records.
                            let begin_result = store.begin_compaction();
                            durable = store.durable().0;
                            let Ok(mut compaction) = begin_result else { continue };
                            expected_records.truncate(durable as usize);
                            let write_result =
                                compaction.write_records(expected_records.iter().map(Vec::as_slice));
                            if rng.bool() && write_result.is_ok() {
                                // Appends while the compaction runs.
                                appended += 1;
                                let new_record = record(appended, rng.usize(..40));
                                store.append(&new_record).unwrap();
                                expected_records.push(new_record);
                                if store.commit().is_ok() {
                                    durable = store.durable().0;
                                }
                            }
                            if write_result.is_err() {
                                continue;
                            }
                            if let Ok(sealed) = compaction.seal() {
                                _ = store.finish_compaction(sealed);
                            }
                        }
                        1..=5 => {
                            appended += 1;
                            let new_record = record(appended, rng.usize(..60));
                            assert_eq!(store.append(&new_record).unwrap(), Seq(appended));
                            expected_records.push(new_record);
                        }
                        _ => {
                            if store.commit().is_ok() {
                                durable = appended;
                            }
                        }
                    }
                    assert_eq!(store.durable().0, durable, "seed {seed}");
                }
            }
            Err(OpenError::Io(_)) => {}
            Err(error) => panic!("seed {seed}: a crash was reported as damage: {error}"),
        }
        disk.restart();
    }
    disk.set_faults(Faults::default());
    let opened = Store::open(disk, LIMITS).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let found = recovered_count(&opened.recovered);
    assert!(
        (durable..=appended).contains(&found),
        "seed {seed}: {found} records recovered, {durable} were durable and {appended} appended"
    );
}

#[test]
fn no_history_of_crashes_loses_a_durable_record_or_invents_one() {
    // For a longer run: JUNIPERRAIL_HISTORIES=100000 cargo test --release -p juniperrail-store
    let configured = std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok());
    let count: u64 = configured.unwrap_or(3_000);
    println!("histories with the seeds 1 to {count}");
    (1..=count).for_each(run_history);
}

/// The files of a store with a snapshot, several segments and durability markers, and the number of its records.
fn store_files() -> (BTreeMap<String, Vec<u8>>, u64) {
    let disk = Arc::new(SimDisk::new(7));
    let mut store = Store::open(disk.clone(), LIMITS).unwrap().store;
    let mut expected_records = Vec::new();
    for seq in 1..=40 {
        let new_record = record(seq, (seq as usize * 7) % 50);
        store.append(&new_record).unwrap();
        expected_records.push(new_record);
        if seq % 3 == 0 {
            store.commit().unwrap();
        }
        if seq == 20 {
            let mut compaction = store.begin_compaction().unwrap();
            compaction.write_records(expected_records.iter().map(Vec::as_slice)).unwrap();
            let sealed = compaction.seal().unwrap();
            store.finish_compaction(sealed).unwrap();
        }
    }
    store.commit().unwrap();
    (disk.files(), 40)
}

/// Opens a store on these files and returns the number of recovered records, or `None` if it is rejected.
fn open_files(files: &BTreeMap<String, Vec<u8>>) -> Option<u64> {
    match Store::open(Arc::new(SimDisk::from_files(files)), LIMITS) {
        Ok(opened) => Some(recovered_count(&opened.recovered)),
        Err(OpenError::Damage(_) | OpenError::NewerFormat { .. }) => None,
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn truncation_and_corruption_at_every_byte_are_rejected_or_lose_no_record_known_to_be_durable() {
    let (files, record_count) = store_files();
    assert_eq!(open_files(&files), Some(record_count));
    let newest_segment = files.keys().rfind(|name| name.starts_with("seg-")).unwrap().clone();
    let (mut truncated_count, mut rejected_count, mut torn_count) = (0, 0, 0);
    for (name, bytes) in &files {
        for length in 0..bytes.len() {
            let mut files = files.clone();
            files.insert(name.clone(), bytes[..length].to_vec());
            truncated_count += 1;
            match open_files(&files) {
                None => rejected_count += 1,
                Some(found) => {
                    // An older file may only lose its last durability marker, which is not a record.
                    assert!(
                        found == record_count || *name == newest_segment,
                        "{name} truncated to {length} bytes is accepted as complete"
                    );
                    assert!(found <= record_count);
                    torn_count += u32::from(*name == newest_segment);
                }
            }
        }
    }
    let mut corrupted_count = 0;
    for (name, bytes) in &files {
        for offset in 0..bytes.len() {
            for bit in [0x01, 0x80] {
                let mut files = files.clone();
                files.get_mut(name).unwrap()[offset] ^= bit;
                corrupted_count += 1;
                // Only corruption of the last durability marker, which is not a record, goes unnoticed.
                if let Some(found) = open_files(&files) {
                    assert_eq!(
                        found, record_count,
                        "{name} corrupted at {offset}: records were silently lost"
                    );
                }
            }
        }
    }
    println!(
        "{truncated_count} truncated: {rejected_count} rejected, {torn_count} torn tails; \
         {corrupted_count} corrupted"
    );
    assert!(
        torn_count > 100 && rejected_count > 1000,
        "too few cases: {torn_count} torn tails, {rejected_count} rejected"
    );
}

#[test]
fn missing_duplicated_or_renamed_segments_and_a_newer_format_are_rejected() {
    let (files, _) = store_files();
    let segments: Vec<String> = files.keys().filter(|name| name.starts_with("seg-")).cloned().collect();
    // The error of opening a store on these files; empty if the store opens.
    let open_error =
        |files: &BTreeMap<String, Vec<u8>>| match Store::open(Arc::new(SimDisk::from_files(files)), LIMITS) {
            Ok(_) => String::new(),
            Err(error) => error.to_string(),
        };
    assert!(segments.len() >= 3);
    for name in files.keys() {
        let mut missing = files.clone();
        missing.remove(name);
        assert!(open_error(&missing).contains("missing"), "{name}: {}", open_error(&missing));
    }
    let mut renamed = files.clone();
    let last_segment = renamed.remove(&segments[segments.len() - 1]).unwrap();
    renamed.insert(segments[0].clone(), last_segment.clone());
    assert!(open_error(&renamed).contains("under another name"), "{}", open_error(&renamed));
    let mut duplicated = files.clone();
    duplicated.insert("seg-0000000000000099".into(), last_segment);
    assert!(open_error(&duplicated).contains("duplicated or renamed"), "{}", open_error(&duplicated));
    let mut newer = files.clone();
    let manifest = newer.get_mut("MANIFEST").unwrap();
    // The low byte of the format version. The checksum is made to match, so that only the version is wrong.
    manifest[4] = 2;
    let length = manifest.len();
    let checksum = crc32fast::hash(&manifest[..length - 4]);
    manifest[length - 4..].copy_from_slice(&checksum.to_le_bytes());
    assert!(
        open_error(&newer).contains("MANIFEST has format version 2, but this program supports up to 1"),
        "{}",
        open_error(&newer)
    );
    assert_eq!(open_error(&BTreeMap::new()), "", "an empty directory is a new store");
}

#[test]
fn a_store_in_a_real_directory_is_locked_and_recovered() {
    let path = std::env::temp_dir().join(format!("juniperrail-store-{}", std::process::id()));
    let mut store = Store::open(DirectoryDisk::open(&path).unwrap(), Limits::default()).unwrap().store;
    assert!(matches!(
        Store::open(DirectoryDisk::open(&path).unwrap(), Limits::default()),
        Err(OpenError::Locked)
    ));
    (1..=100).for_each(|seq| _ = store.append(&record(seq, 10)).unwrap());
    store.commit().unwrap();
    let mut compaction = store.begin_compaction().unwrap();
    let expected_records: Vec<Vec<u8>> = (1..=100).map(|seq| record(seq, 10)).collect();
    compaction.write_records(expected_records.iter().map(Vec::as_slice)).unwrap();
    store.append(&record(101, 10)).unwrap();
    store.commit().unwrap();
    let sealed = compaction.seal().unwrap();
    store.finish_compaction(sealed).unwrap();
    drop(store);
    let disk = DirectoryDisk::open(&path).unwrap();
    assert!(disk.list().unwrap().iter().any(|name| name.starts_with("snap-")));
    let opened = Store::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered_count(&opened.recovered), 101);
    drop(opened);
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_full_disk_fails_commits_without_loss_and_the_size_limit_rejects_appends() {
    let disk = Arc::new(SimDisk::new(3));
    let mut store = Store::open(disk.clone(), LIMITS).unwrap().store;
    (1..=5).for_each(|seq| _ = store.append(&record(seq, 20)).unwrap());
    store.commit().unwrap();
    disk.set_faults(Faults { capacity_bytes: Some(0), ..Faults::default() });
    store.append(&record(6, 20)).unwrap();
    for _ in 0..10 {
        assert!(store.commit().is_err());
        assert_eq!(store.durable(), Seq(5));
    }
    disk.set_faults(Faults::default());
    assert_eq!(store.commit().unwrap(), Seq(6));
    disk.restart();
    assert_eq!(recovered_count(&Store::open(disk, LIMITS).unwrap().recovered), 6);
    let small_limits = Limits { max_total_bytes: 2000, ..LIMITS };
    let mut store = Store::open(Arc::new(SimDisk::new(4)), small_limits).unwrap().store;
    let mut accepted = 0;
    while store.append(&record(accepted + 1, 40)).is_ok() {
        accepted += 1;
        store.commit().unwrap();
    }
    assert!(accepted > 10 && store.size_bytes() <= 2000);
}
