//! Guards against a turn that never ends. Where the pairs of ordered updates form a cycle, the planner removes the
//! oldest pair of it and links the updates before it to those after it. Such a link may bring back a pair that was
//! removed before; then the same cycles are removed and made again without end.
//!
//! It comes about while a proxy acknowledges nothing after a change of all weights: no table has a usable line, so
//! that each excluded worker waits for the lines of all others, and these pairs stay. It is enough that four workers
//! restart one after another, two at a time, and that the first two drain again.

#[allow(dead_code)] // This test uses a part of it.
mod host;

use host::*;
use juniperrail_interface::*;
use std::sync::mpsc;
use std::time::Duration;

/// Longest that a turn may take: a thread that neither waits nor ends for so long counts as a crash.
const MAX_TURN: Duration = Duration::from_secs(20);
const WORKERS: u32 = 4;
/// Between two steps of the restarts.
const STEP: Ms = 3000.0;
/// The weight that all workers get by the change that the proxy no longer acknowledges.
const CHANGED_WEIGHT: f64 = 2.0;
/// The worker that drains in each step, and the one that is ready again.
const RESTARTS: [(u32, Option<u32>); 6] =
    [(0, None), (1, None), (2, Some(0)), (3, Some(1)), (0, Some(2)), (1, Some(3))];

fn changed(worker: u32, phase: Phase) -> WorkerEntry {
    WorkerEntry { weight: CHANGED_WEIGHT, ..entry(worker, phase) }
}

#[test]
fn a_turn_ends_when_ordered_updates_form_a_cycle_again() {
    let (ended, turns) = mpsc::channel();
    // Not joined: it would never end where a turn does not.
    std::thread::spawn(move || {
        let one_table = Settings { operations: vec![operation()], ..settings() };
        let mut host = Host::running(one_table, WORKERS, 1);
        let all = (0..WORKERS).map(|worker| changed(worker, Phase::Ready)).collect();
        host.advance(1000.0, &[list_change(all)]);
        assert!(
            (0..WORKERS).all(|worker| host.weight(worker) == CHANGED_WEIGHT),
            "a line of each is unacknowledged"
        );
        for (drained, returned) in RESTARTS {
            let mut changes = vec![changed(drained, Phase::Draining)];
            changes.extend(returned.map(|worker| changed(worker, Phase::Ready)));
            host.advance(STEP, &[list_change(changes)]);
            ended.send(()).expect("the test waits");
        }
    });
    for (step, (drained, _)) in RESTARTS.iter().enumerate() {
        let waited = turns.recv_timeout(MAX_TURN);
        assert!(
            waited != Err(mpsc::RecvTimeoutError::Timeout),
            "Planner::process_events hangs: the turn of step {step}, in which worker {drained} drains, has not ended \
             in {MAX_TURN:?}; last seen without end: the removal of cycles as the planner orders updates"
        );
        waited.expect("the planner does not panic");
    }
}
