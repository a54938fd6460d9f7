//! Case 1: a member of the fleet dies and loses its store. When it is back, it executes side-effecting occurrences
//! again that it had started before.

use std::collections::BTreeMap;
use std::path::Path;

use crate::common::*;
use crate::fleet::{Fleet, Worker};

/// Daily jobs, all due at the same time of day.
const JOBS: usize = 40;
/// How long a run takes at the worker.
const RUN_MS: u64 = 10_000;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let temp = TempFolder::create("1");
    let [discovery_port, worker_port] = free_ports::<2>();
    let _discovery = Discovery::start(
        discovery_port,
        &[Entry::new("s-1", "a", "ready"), Entry::new("s-2", "a", "ready")],
        &record,
    );
    let worker = Worker::start(worker_port, RUN_MS, &record);
    // Due once a day, for the first time in about 15 s.
    let due = (unix_ms() / 1000 + 15) % 86_400;
    let cron = format!("{} {} {} * * *", due % 60, due / 60 % 60, due / 3600);
    let schedules: String = (1..=JOBS)
        .map(|job| {
            format!(
                "<schedule><name>job-{job:02}</name><cron>{cron}</cron><worker>127.0.0.1:{worker_port}</worker>\
                 <path>/job-{job:02}</path><effect>side-effecting</effect></schedule>\n"
            )
        })
        .collect();
    record.line(&format!("{JOBS} side-effecting schedules, each due once a day: {cron} (UTC)"));
    let mut fleet = Fleet::prepare(&temp.0, discovery_port, &schedules, &record);
    fleet.managers.iter_mut().for_each(Manager::start);
    if !fleet.wait_for_log("is bootstrapped", 10_000) || !fleet.wait_for_log("this manager leads", 10_000) {
        record.line("the fleet did not start");
        return 2;
    }
    // All occurrences are due and have been started at the worker, which works on them for a while.
    let waited_until = record.now_ms() + 25_000;
    while worker.executions().len() < JOBS && record.now_ms() < waited_until {
        sleep_ms(20);
    }
    let executed = worker.executions().len();
    record.line(&format!("{executed} executions have begun"));
    if executed != JOBS {
        return 2;
    }
    sleep_ms(1000);
    // A member that does not lead dies. With the trouble its disk is lost too; without, it starts again with its store.
    let Some(victim) = (0..3).rev().find(|member| !fleet.has_logged(*member, "this manager leads")) else {
        return 2;
    };
    fleet.managers[victim].kill();
    if trouble {
        std::fs::rename(fleet.store_of(victim), temp.0.join("lost-store"))
            .expect("the store can be moved away");
        record.line(&format!("n{}: its store is lost", victim + 1));
    }
    sleep_ms(300);
    fleet.managers[victim].start();
    sleep_ms(30_000);
    for manager in &mut fleet.managers {
        if !manager.is_running() {
            record.line(&format!("{} has ended", manager.name));
        }
    }
    for manager in &fleet.managers {
        manager.record_log(&["store", "leads", "bootstrapped", "stepped down"]);
    }
    fleet.managers[victim].record_log(&["try ended"]);
    drop(fleet);
    let mut counts: BTreeMap<(String, String), Vec<(u64, u64)>> = BTreeMap::new();
    for execution in worker.executions() {
        counts.entry((execution.schedule, execution.due)).or_default().push((execution.at, execution.fence));
    }
    let repeated: Vec<_> = counts.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for ((schedule, due), runs) in &repeated {
        record.line(&format!(
            "BROKEN: {schedule} due {due} was executed {} times: (ms, fence) {runs:?}",
            runs.len()
        ));
    }
    record.line(&format!("{} of {} occurrences were executed more than once", repeated.len(), counts.len()));
    i32::from(!repeated.is_empty())
}
