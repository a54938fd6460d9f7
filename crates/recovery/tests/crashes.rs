//! The gate before the store, through crashes at any step: no repeat that was ever let out is forgotten, and none is
//! known that nobody asked for.

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperrail_interface::{ProxyId, TableId};
use juniperrail_recovery::{Gate, Ledger, Moment, Record, Right, Word};
use juniperrail_store::sim::{Faults, SimDisk};
use juniperrail_store::{Limits, Refused, Seq, Store};

const LIMITS: Limits = Limits { segment: 600, all: 1 << 20, pending: 64 << 10 };

fn ledger(recovered: &juniperrail_store::Recovered) -> Ledger {
    let records = recovered.records.iter().map(|(_, bytes)| bytes);
    let mut ledger = Ledger::default();
    recovered.snapshot.iter().chain(records).for_each(|bytes| ledger.apply(Record::read(bytes).unwrap()));
    ledger
}

type Repeats = BTreeSet<(Right, Moment)>;

fn history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let disk = Arc::new(SimDisk::new(seed));
    // What was let out, and what was asked for, with their moments.
    let (mut out, mut asked) = (Repeats::new(), Repeats::new());
    let mut now = 0.0;
    for run in 1..rng.u64(2..6) {
        let crash_at = (rng.u8(..6) > 0).then(|| rng.u64(1..80));
        let sync_fails = if rng.u8(..4) == 0 { rng.u32(2..6) } else { 0 };
        let room = (rng.u8(..6) == 0).then(|| rng.u64(300..4000));
        disk.fail(Faults { crash_at, sync_fails, room });
        if let Ok(opened) = Store::open(disk.clone(), LIMITS) {
            let (mut store, ledger) = (opened.store, ledger(&opened.recovered));
            for (right, moment) in &out {
                assert!(ledger.covers(right, *moment), "seed {seed}: {right:?} at {moment:?} is forgotten");
            }
            for (right, of) in ledger.entries() {
                assert!(asked.contains(&(right.clone(), of.from)), "seed {seed}: {right:?} is invented");
            }
            let mut gate: Gate<Seq> = Gate::new(ledger);
            for mark in 1..rng.u64(2..40) {
                if disk.is_down() {
                    break;
                }
                now += rng.f64() * 100.0;
                let right =
                    Right::new(["order", "submit"][rng.usize(..2)], TableId(0), ProxyId(rng.u16(..3)));
                let moment = Moment { run, mark };
                match rng.u8(..10) {
                    0..=4 => match gate.ask(now, &right, moment) {
                        Word::Granted => _ = out.insert((right, moment)),
                        Word::Write(record) => {
                            let Record::Opened { from, .. } = &record else { panic!("it opens") };
                            asked.insert((right, *from));
                            if let Ok(seq) = store.append(&record.write()) {
                                gate.handed_over(seq, record);
                            }
                        }
                        Word::Wait | Word::Withheld => {}
                    },
                    5 => {
                        if let Some(record) = gate.ended(now, &right, moment) {
                            if let Ok(seq) = store.append(&record.write()) {
                                gate.handed_over(seq, record);
                            }
                        }
                    }
                    6 => {
                        // A snapshot holds what is durable; what is on its way comes after it.
                        let Ok(mut compaction) = store.compact() else { continue };
                        gate.settled(store.durable(), false);
                        let records: Vec<Vec<u8>> =
                            gate.ledger().records().iter().map(Record::write).collect();
                        if compaction.write(records.iter().map(Vec::as_slice)).is_ok() {
                            if let Ok(sealed) = compaction.seal() {
                                _ = store.compacted(sealed);
                            }
                        }
                    }
                    _ => {
                        let failing = store.commit().is_err();
                        gate.settled(store.durable(), failing);
                    }
                }
            }
        }
        disk.restart();
    }
    match Store::open(disk, LIMITS) {
        Ok(opened) => {
            let ledger = ledger(&opened.recovered);
            out.iter().for_each(|(right, moment)| assert!(ledger.covers(right, *moment), "seed {seed}"));
            ledger
                .entries()
                .for_each(|(right, of)| assert!(asked.contains(&(right.clone(), of.from)), "seed {seed}"));
        }
        Err(Refused::Io(why)) => panic!("seed {seed}: {why}"),
        Err(refused) => panic!("seed {seed}: {refused}"),
    }
}

#[test]
fn no_crash_forgets_a_repeat_that_was_let_out_or_invents_one() {
    let told = std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok());
    let count: u64 = told.unwrap_or(2_000);
    println!("histories 1 to {count}, each by its seed");
    (1..=count).for_each(history);
}
