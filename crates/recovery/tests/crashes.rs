//! The authoriser with a store that crashes at any step: after each restart the ledger contains every authorisation
//! that was ever granted, and none that was never requested.

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperrail_interface::{ProxyId, TableId};
use juniperrail_recovery::{Decision, Ledger, MarkPosition, Record, RetryAuthoriser, RetryKey};
use juniperrail_store::sim::{Faults, SimDisk};
use juniperrail_store::{Limits, OpenError, Seq, Store};

const LIMITS: Limits =
    Limits { max_segment_bytes: 600, max_total_bytes: 1 << 20, max_pending_bytes: 64 << 10 };

/// Rebuilds the ledger from the recovered snapshot and records.
fn replay(recovered: &juniperrail_store::Recovered) -> Ledger {
    let records = recovered.records.iter().map(|(_, bytes)| bytes);
    let mut ledger = Ledger::default();
    recovered.snapshot.iter().chain(records).for_each(|bytes| ledger.apply(Record::decode(bytes).unwrap()));
    ledger
}

/// Keys with the positions from which their retries were requested or granted.
type Authorisations = BTreeSet<(RetryKey, MarkPosition)>;

/// Runs a manager several times, mostly until a crash. The seed determines the crashes, faults and calls.
fn run_history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let disk = Arc::new(SimDisk::new(seed));
    let mut granted = Authorisations::new();
    let mut requested = Authorisations::new();
    let mut now = 0.0;
    for run in 1..rng.u64(2..6) {
        let crash_at_step = (rng.u8(..6) > 0).then(|| rng.u64(1..80));
        let sync_failure_one_in = if rng.u8(..4) == 0 { rng.u32(2..6) } else { 0 };
        let capacity_bytes = (rng.u8(..6) == 0).then(|| rng.u64(300..4000));
        disk.set_faults(Faults { crash_at_step, sync_failure_one_in, capacity_bytes });
        if let Ok(opened) = Store::open(disk.clone(), LIMITS) {
            let (mut store, ledger) = (opened.store, replay(&opened.recovered));
            for (key, position) in &granted {
                assert!(
                    ledger.was_authorised_at(key, *position),
                    "seed {seed}: {key:?} at {position:?} is lost"
                );
            }
            for (key, authorisation) in ledger.entries() {
                assert!(
                    requested.contains(&(key.clone(), authorisation.from)),
                    "seed {seed}: {key:?} was never requested"
                );
            }
            let mut authoriser: RetryAuthoriser<Seq> = RetryAuthoriser::new(ledger);
            for mark in 1..rng.u64(2..40) {
                if disk.is_powered_off() {
                    break;
                }
                now += rng.f64() * 100.0;
                let key =
                    RetryKey::new(["order", "submit"][rng.usize(..2)], TableId(0), ProxyId(rng.u16(..3)));
                let position = MarkPosition { run, mark };
                match rng.u8(..10) {
                    0..=4 => match authoriser.authorise(now, &key, position) {
                        Decision::Granted => _ = granted.insert((key, position)),
                        Decision::Write(record) => {
                            let Record::Authorised { from, .. } = &record else {
                                panic!("expected an authorisation")
                            };
                            requested.insert((key, *from));
                            if let Ok(seq) = store.append(&record.encode()) {
                                authoriser.record_submitted(seq, record);
                            }
                        }
                        Decision::Pending | Decision::Unavailable => {}
                    },
                    5 => {
                        if let Some(record) = authoriser.revoke(now, &key, position) {
                            if let Ok(seq) = store.append(&record.encode()) {
                                authoriser.record_submitted(seq, record);
                            }
                        }
                    }
                    6 => {
                        // The snapshot contains the durable records; pending ones are stored after it.
                        let Ok(mut compaction) = store.begin_compaction() else { continue };
                        authoriser.records_durable(store.durable(), false);
                        let records: Vec<Vec<u8>> =
                            authoriser.ledger().to_records().iter().map(Record::encode).collect();
                        if compaction.write_records(records.iter().map(Vec::as_slice)).is_ok() {
                            if let Ok(sealed) = compaction.seal() {
                                _ = store.finish_compaction(sealed);
                            }
                        }
                    }
                    _ => {
                        let disk_failing = store.commit().is_err();
                        authoriser.records_durable(store.durable(), disk_failing);
                    }
                }
            }
        }
        disk.restart();
    }
    match Store::open(disk, LIMITS) {
        Ok(opened) => {
            let ledger = replay(&opened.recovered);
            granted.iter().for_each(|(key, position)| {
                assert!(
                    ledger.was_authorised_at(key, *position),
                    "seed {seed}: {key:?} at {position:?} is lost"
                )
            });
            ledger.entries().for_each(|(key, authorisation)| {
                assert!(
                    requested.contains(&(key.clone(), authorisation.from)),
                    "seed {seed}: {key:?} was never requested"
                )
            });
        }
        Err(OpenError::Io(error)) => panic!("seed {seed}: {error}"),
        Err(error) => panic!("seed {seed}: {error}"),
    }
}

#[test]
fn no_crash_loses_a_granted_authorisation_or_adds_one() {
    let configured_count = std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok());
    let history_count: u64 = configured_count.unwrap_or(2_000);
    println!("histories with the seeds 1 to {history_count}");
    (1..=history_count).for_each(run_history);
}
