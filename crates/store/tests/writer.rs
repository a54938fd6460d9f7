//! The store on its thread: who appends never waits, what is told durable is, and a disk that fails is waited out.

use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use juniperrail_store::sim::{Faults, SimDisk};
use juniperrail_store::{Limits, Store, Ticket, Writer, WriterStats, WriterTiming};

const WITHIN: Duration = Duration::from_secs(20);

fn start(disk: &Arc<SimDisk>) -> (Writer<Arc<SimDisk>>, Receiver<WriterStats>) {
    let limits = Limits { max_segment_bytes: 4096, max_total_bytes: 8 << 20, max_pending_bytes: 64 << 10 };
    let opened = Store::open(disk.clone(), limits).unwrap();
    let (tell, told) = channel();
    let pace =
        WriterTiming { batch_delay: Duration::from_millis(1), retry_interval: Duration::from_millis(5) };
    let writer = Writer::start(opened.store, pace, move |figures| _ = tell.send(figures)).unwrap();
    (writer, told)
}

fn until(told: &Receiver<WriterStats>, holds: impl Fn(&WriterStats) -> bool) -> WriterStats {
    loop {
        let figures = told.recv_timeout(WITHIN).expect("the store tells");
        if holds(&figures) {
            return figures;
        }
    }
}

fn recovered(disk: &Arc<SimDisk>) -> Vec<Vec<u8>> {
    let opened = Store::open(disk.clone(), Limits::default()).unwrap();
    let records = opened.recovered.records.into_iter().map(|(_, record)| record);
    opened.recovered.snapshot.into_iter().chain(records).collect()
}

#[test]
fn many_records_are_synced_together_and_what_is_told_durable_survives() {
    let disk = Arc::new(SimDisk::new(1));
    let (mut writer, told) = start(&disk);
    disk.set_faults(Faults::default());
    let mut last = Ticket(0);
    for number in 0..500u32 {
        last = writer.append(number.to_le_bytes().to_vec()).unwrap();
    }
    let figures = until(&told, |figures| figures.durable == last);
    assert_eq!((figures.durable, figures.failing), (Ticket(500), false));
    assert!(disk.step_count() < 500, "{} steps for 500 records", disk.step_count());
    // Power goes with the writer still there.
    std::mem::forget(writer);
    disk.restart();
    let all: Vec<Vec<u8>> = (0..500u32).map(|number| number.to_le_bytes().to_vec()).collect();
    assert_eq!(recovered(&disk), all);
}

#[test]
fn while_the_disk_fails_nothing_is_durable_and_then_all_is() {
    let disk = Arc::new(SimDisk::new(2));
    let (mut writer, told) = start(&disk);
    writer.append(b"before".to_vec()).unwrap();
    until(&told, |figures| figures.durable == Ticket(1));
    disk.set_faults(Faults { capacity_bytes: Some(0), ..Faults::default() });
    let second = writer.append(b"meanwhile".to_vec()).unwrap();
    let failing = until(&told, |figures| figures.failing);
    assert_eq!(failing.durable, Ticket(1));
    let mut taken = 0;
    while writer.append(vec![7; 1000]).is_ok() {
        taken += 1;
        assert!(taken < 10_000, "what waits is bounded");
    }
    assert_eq!(writer.stats().durable, Ticket(1), "nothing was promised");
    disk.set_faults(Faults::default());
    let figures = until(&told, |figures| figures.durable.0 == second.0 + taken);
    assert!(!figures.failing && figures.failures > 0);
    drop(writer.stop());
    disk.restart();
    assert_eq!(recovered(&disk).len() as u64, 2 + taken);
}

#[test]
fn a_compaction_runs_beside_appends_and_one_at_a_time() {
    let disk = Arc::new(SimDisk::new(3));
    let (mut writer, told) = start(&disk);
    for number in 0..200u32 {
        writer.append(number.to_le_bytes().to_vec()).unwrap();
    }
    until(&told, |figures| figures.durable == Ticket(200));
    let before = writer.stats().size_bytes;
    // Of all that was, ten records live.
    let live: Vec<Vec<u8>> = (190..200u32).map(|number| number.to_le_bytes().to_vec()).collect();
    assert!(writer.compact(live.clone()));
    let beside = writer.append(b"beside".to_vec()).unwrap();
    until(&told, |figures| figures.compactions == 1);
    while writer.stats().durable < beside {
        until(&told, |figures| figures.durable >= beside);
    }
    assert!(writer.stats().size_bytes < before / 2, "{} of {before}", writer.stats().size_bytes);
    assert!(writer.compact(live.clone()), "the next may begin");
    drop(writer.stop());
    disk.restart();
    let mut expected = live;
    expected.push(b"beside".to_vec());
    let found = recovered(&disk);
    assert!(
        found == expected || found == expected[..10],
        "the second stands for all, or was not named: {found:?}"
    );
}
