//! The writer thread: appends do not wait for the disk, records that are reported as durable survive a power loss, and
//! failed commits are retried.

use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use juniperrail_store::sim::{Faults, SimDisk};
use juniperrail_store::{Limits, Store, Ticket, Writer, WriterStats, WriterTiming};

/// Long enough for every awaited event, even on a busy machine.
const STATS_TIMEOUT: Duration = Duration::from_secs(20);

fn start(disk: &Arc<SimDisk>) -> (Writer<Arc<SimDisk>>, Receiver<WriterStats>) {
    let limits = Limits { max_segment_bytes: 4096, max_total_bytes: 8 << 20, max_pending_bytes: 64 << 10 };
    let opened = Store::open(disk.clone(), limits).unwrap();
    let (stats_sender, stats_receiver) = channel();
    let timing =
        WriterTiming { batch_delay: Duration::from_millis(1), retry_interval: Duration::from_millis(5) };
    let writer = Writer::start(opened.store, timing, move |stats| _ = stats_sender.send(stats)).unwrap();
    (writer, stats_receiver)
}

fn wait_for_stats(
    stats_receiver: &Receiver<WriterStats>,
    condition: impl Fn(&WriterStats) -> bool,
) -> WriterStats {
    loop {
        let stats = stats_receiver.recv_timeout(STATS_TIMEOUT).expect("the writer reports its stats");
        if condition(&stats) {
            return stats;
        }
    }
}

fn recovered(disk: &Arc<SimDisk>) -> Vec<Vec<u8>> {
    let opened = Store::open(disk.clone(), Limits::default()).unwrap();
    let records = opened.recovered.records.into_iter().map(|(_, record)| record);
    opened.recovered.snapshot.into_iter().chain(records).collect()
}

#[test]
fn many_records_are_synced_together_and_durable_records_survive() {
    let disk = Arc::new(SimDisk::new(1));
    let (mut writer, stats_receiver) = start(&disk);
    disk.set_faults(Faults::default());
    let mut last_ticket = Ticket(0);
    for number in 0..500u32 {
        last_ticket = writer.append(number.to_le_bytes().to_vec()).unwrap();
    }
    let stats = wait_for_stats(&stats_receiver, |stats| stats.durable == last_ticket);
    assert_eq!((stats.durable, stats.failing), (Ticket(500), false));
    assert!(disk.step_count() < 500, "the disk took {} steps for 500 records", disk.step_count());
    // Power is lost while the writer is running.
    std::mem::forget(writer);
    disk.restart();
    let appended: Vec<Vec<u8>> = (0..500u32).map(|number| number.to_le_bytes().to_vec()).collect();
    assert_eq!(recovered(&disk), appended);
}

#[test]
fn records_appended_while_the_disk_fails_become_durable_once_it_works() {
    let disk = Arc::new(SimDisk::new(2));
    let (mut writer, stats_receiver) = start(&disk);
    writer.append(b"before".to_vec()).unwrap();
    wait_for_stats(&stats_receiver, |stats| stats.durable == Ticket(1));
    disk.set_faults(Faults { capacity_bytes: Some(0), ..Faults::default() });
    let second_ticket = writer.append(b"meanwhile".to_vec()).unwrap();
    let failing_stats = wait_for_stats(&stats_receiver, |stats| stats.failing);
    assert_eq!(failing_stats.durable, Ticket(1));
    let mut accepted_count = 0;
    while writer.append(vec![7; 1000]).is_ok() {
        accepted_count += 1;
        assert!(accepted_count < 10_000, "the queue is bounded");
    }
    assert_eq!(writer.stats().durable, Ticket(1), "no record is reported as durable while the disk fails");
    disk.set_faults(Faults::default());
    let stats = wait_for_stats(&stats_receiver, |stats| stats.durable.0 == second_ticket.0 + accepted_count);
    assert!(!stats.failing && stats.failures > 0);
    drop(writer.stop());
    disk.restart();
    // The two records `before` and `meanwhile`, and those of the loop.
    assert_eq!(recovered(&disk).len() as u64, 2 + accepted_count);
}

#[test]
fn a_compaction_runs_concurrently_with_appends_and_another_may_follow() {
    let disk = Arc::new(SimDisk::new(3));
    let (mut writer, stats_receiver) = start(&disk);
    for number in 0..200u32 {
        writer.append(number.to_le_bytes().to_vec()).unwrap();
    }
    wait_for_stats(&stats_receiver, |stats| stats.durable == Ticket(200));
    let bytes_before_compaction = writer.stats().size_bytes;
    // The snapshot keeps the last ten records.
    let snapshot_records: Vec<Vec<u8>> = (190..200u32).map(|number| number.to_le_bytes().to_vec()).collect();
    assert!(writer.compact(snapshot_records.clone()));
    let concurrent_ticket = writer.append(b"beside".to_vec()).unwrap();
    wait_for_stats(&stats_receiver, |stats| stats.compactions == 1);
    while writer.stats().durable < concurrent_ticket {
        wait_for_stats(&stats_receiver, |stats| stats.durable >= concurrent_ticket);
    }
    assert!(
        writer.stats().size_bytes < bytes_before_compaction / 2,
        "{} of {bytes_before_compaction} bytes are left",
        writer.stats().size_bytes
    );
    assert!(writer.compact(snapshot_records.clone()), "the next compaction may start");
    drop(writer.stop());
    disk.restart();
    let mut expected = snapshot_records;
    expected.push(b"beside".to_vec());
    let recovered_records = recovered(&disk);
    assert!(
        recovered_records == expected || recovered_records == expected[..10],
        "either the second snapshot is in use, which lacks the concurrent record, or the manifest does not \
         name it yet: {recovered_records:?}"
    );
}
