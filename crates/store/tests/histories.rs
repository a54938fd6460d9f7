//! The store against a plain list, over histories of appends, commits, compactions and crashes from a seed; and its
//! files cut at every byte and with every byte flipped.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperrail_store::sim::{Faults, SimDisk};
use juniperrail_store::{DirectoryDisk, Disk, Limits, OpenError, Seq, Store};

const LIMITS: Limits =
    Limits { max_segment_bytes: 400, max_total_bytes: 1 << 20, max_pending_bytes: 64 << 10 };

/// A record that says which it is.
fn record(seq: u64, size: usize) -> Vec<u8> {
    let mut bytes = seq.to_le_bytes().to_vec();
    bytes.resize(8 + size, seq as u8);
    bytes
}

fn number(record: &[u8]) -> u64 {
    u64::from_le_bytes(record[..8].try_into().unwrap())
}

/// All that was recovered has to be records 1 to some number, in order.
fn recovered(opened: &juniperrail_store::Recovered) -> u64 {
    let snapshot = opened.snapshot.iter().map(|record| number(record));
    let records = opened.records.iter().map(|(seq, record)| {
        assert_eq!(seq.0, number(record), "a record under another's sequence");
        number(record)
    });
    let all: Vec<u64> = snapshot.chain(records).collect();
    assert!(all.iter().copied().eq(1..=all.len() as u64), "not a prefix: {all:?}");
    all.len() as u64
}

/// One history: what is durable is never forgotten, whatever happens, and nothing is invented.
fn history(seed: u64) {
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
                let found = recovered(&opened.recovered);
                assert!(
                    (durable..=appended).contains(&found),
                    "seed {seed}: {durable} durable, {found} found"
                );
                (durable, appended) = (found, found);
                let mut held: Vec<Vec<u8>> = opened.recovered.snapshot;
                held.extend(opened.recovered.records.into_iter().map(|(_, record)| record));
                for _ in 0..rng.usize(1..30) {
                    if disk.is_powered_off() {
                        break;
                    }
                    match rng.u8(..10) {
                        0 => {
                            // All that is durable is what the snapshot holds.
                            let begun = store.begin_compaction();
                            durable = store.durable().0;
                            let Ok(mut compaction) = begun else { continue };
                            held.truncate(durable as usize);
                            let written = compaction.write_records(held.iter().map(Vec::as_slice));
                            if rng.bool() && written.is_ok() {
                                // Appending goes on meanwhile.
                                appended += 1;
                                let next = record(appended, rng.usize(..40));
                                store.append(&next).unwrap();
                                held.push(next);
                                if store.commit().is_ok() {
                                    durable = store.durable().0;
                                }
                            }
                            if written.is_err() {
                                continue;
                            }
                            if let Ok(sealed) = compaction.seal() {
                                _ = store.finish_compaction(sealed);
                            }
                        }
                        1..=5 => {
                            appended += 1;
                            let next = record(appended, rng.usize(..60));
                            assert_eq!(store.append(&next).unwrap(), Seq(appended));
                            held.push(next);
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
            Err(refused) => panic!("seed {seed}: a crash is told as damage: {refused}"),
        }
        disk.restart();
    }
    disk.set_faults(Faults::default());
    let opened = Store::open(disk, LIMITS).unwrap_or_else(|refused| panic!("seed {seed}: {refused}"));
    let found = recovered(&opened.recovered);
    assert!(
        (durable..=appended).contains(&found),
        "seed {seed}: {durable} durable, {found} found of {appended}"
    );
}

#[test]
fn no_history_of_crashes_forgets_what_was_durable_or_invents_a_record() {
    // The long form: JUNIPERRAIL_HISTORIES=100000 cargo test --release -p juniperrail-store
    let told = std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok());
    let count: u64 = told.unwrap_or(3_000);
    println!("histories 1 to {count}, each by its seed");
    (1..=count).for_each(history);
}

/// The files of a store that was closed: a snapshot, several segments, marks.
fn image() -> (BTreeMap<String, Vec<u8>>, u64) {
    let disk = Arc::new(SimDisk::new(7));
    let mut store = Store::open(disk.clone(), LIMITS).unwrap().store;
    let mut held = Vec::new();
    for seq in 1..=40 {
        let next = record(seq, (seq as usize * 7) % 50);
        store.append(&next).unwrap();
        held.push(next);
        if seq % 3 == 0 {
            store.commit().unwrap();
        }
        if seq == 20 {
            let mut compaction = store.begin_compaction().unwrap();
            compaction.write_records(held.iter().map(Vec::as_slice)).unwrap();
            let sealed = compaction.seal().unwrap();
            store.finish_compaction(sealed).unwrap();
        }
    }
    store.commit().unwrap();
    (disk.files(), 40)
}

/// What opening makes of an image: how many records, or that it refuses.
fn opened(image: &BTreeMap<String, Vec<u8>>) -> Option<u64> {
    match Store::open(Arc::new(SimDisk::from_files(image)), LIMITS) {
        Ok(opened) => Some(recovered(&opened.recovered)),
        Err(OpenError::Damage(_) | OpenError::NewerFormat { .. }) => None,
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn every_byte_offset_cut_and_every_byte_flipped_is_refused_or_loses_nothing_that_others_vouch_for() {
    let (image, all) = image();
    assert_eq!(opened(&image), Some(all));
    let newest = image.keys().rfind(|name| name.starts_with("seg-")).unwrap().clone();
    let (mut cut, mut refused, mut torn) = (0, 0, 0);
    for (name, bytes) in &image {
        for length in 0..bytes.len() {
            let mut image = image.clone();
            image.insert(name.clone(), bytes[..length].to_vec());
            cut += 1;
            match opened(&image) {
                None => refused += 1,
                Some(found) => {
                    // Of an older file only its last mark may be missing, which is no record.
                    assert!(found == all || *name == newest, "{name} cut at {length} is taken for whole");
                    assert!(found <= all);
                    torn += u32::from(*name == newest);
                }
            }
        }
    }
    let mut flipped = 0;
    for (name, bytes) in &image {
        for place in 0..bytes.len() {
            for bit in [0x01, 0x80] {
                let mut image = image.clone();
                image.get_mut(name).unwrap()[place] ^= bit;
                flipped += 1;
                // The last mark is no record: only a flip in it goes unnoticed.
                if let Some(found) = opened(&image) {
                    assert_eq!(found, all, "{name} flipped at {place}: records are lost in silence");
                }
            }
        }
    }
    println!("{cut} cut: {refused} refused, {torn} torn tails; {flipped} flipped");
    assert!(torn > 100 && refused > 1000);
}

#[test]
fn segments_missing_doubled_or_renamed_and_a_newer_format_are_told() {
    let (image, _) = image();
    let segments: Vec<String> = image.keys().filter(|name| name.starts_with("seg-")).cloned().collect();
    let why =
        |image: &BTreeMap<String, Vec<u8>>| match Store::open(Arc::new(SimDisk::from_files(image)), LIMITS) {
            Ok(_) => String::new(),
            Err(refused) => refused.to_string(),
        };
    assert!(segments.len() >= 3);
    for name in image.keys() {
        let mut missing = image.clone();
        missing.remove(name);
        assert!(why(&missing).contains("missing"), "{name}: {}", why(&missing));
    }
    let mut renamed = image.clone();
    let last = renamed.remove(&segments[segments.len() - 1]).unwrap();
    renamed.insert(segments[0].clone(), last.clone());
    assert!(why(&renamed).contains("under another name"), "{}", why(&renamed));
    let mut doubled = image.clone();
    doubled.insert("seg-0000000000000099".into(), last);
    assert!(why(&doubled).contains("doubled or renamed"), "{}", why(&doubled));
    let mut newer = image.clone();
    let manifest = newer.get_mut("MANIFEST").unwrap();
    manifest[4] = 2;
    let length = manifest.len();
    let checksum = crc32fast::hash(&manifest[..length - 4]);
    manifest[length - 4..].copy_from_slice(&checksum.to_le_bytes());
    assert!(why(&newer).contains("MANIFEST is of format 2 and this program knows 1"), "{}", why(&newer));
    assert_eq!(why(&BTreeMap::new()), "", "an empty folder is a new store");
}

#[test]
fn two_processes_do_not_open_one_store_and_a_real_folder_holds_it() {
    let path = std::env::temp_dir().join(format!("juniperrail-store-{}", std::process::id()));
    let mut store = Store::open(DirectoryDisk::open(&path).unwrap(), Limits::default()).unwrap().store;
    assert!(matches!(
        Store::open(DirectoryDisk::open(&path).unwrap(), Limits::default()),
        Err(OpenError::Locked)
    ));
    (1..=100).for_each(|seq| _ = store.append(&record(seq, 10)).unwrap());
    store.commit().unwrap();
    let mut compaction = store.begin_compaction().unwrap();
    let held: Vec<Vec<u8>> = (1..=100).map(|seq| record(seq, 10)).collect();
    compaction.write_records(held.iter().map(Vec::as_slice)).unwrap();
    store.append(&record(101, 10)).unwrap();
    store.commit().unwrap();
    let sealed = compaction.seal().unwrap();
    store.finish_compaction(sealed).unwrap();
    drop(store);
    let disk = DirectoryDisk::open(&path).unwrap();
    assert!(disk.list().unwrap().iter().any(|name| name.starts_with("snap-")));
    let opened = Store::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered(&opened.recovered), 101);
    drop(opened);
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_full_disk_takes_nothing_new_loses_nothing_and_goes_on_once_there_is_room() {
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
    assert_eq!(recovered(&Store::open(disk, LIMITS).unwrap().recovered), 6);
    let small = Limits { max_total_bytes: 2000, ..LIMITS };
    let mut store = Store::open(Arc::new(SimDisk::new(4)), small).unwrap().store;
    let mut taken = 0;
    while store.append(&record(taken + 1, 40)).is_ok() {
        taken += 1;
        store.commit().unwrap();
    }
    assert!(taken > 10 && store.size_bytes() <= 2000);
}
