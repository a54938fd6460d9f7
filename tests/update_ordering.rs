//! Guards against a turn that never ends. Where the pairs of ordered updates form a cycle, the planner removes the
//! cycle's oldest pair and links the updates before it to those after it. If such a link could bring back a pair that
//! was removed before, the same cycles would be removed and formed again without end.
//!
//! The case arises while a proxy acknowledges nothing after a change of all weights: no table has a usable line, so
//! each exclusion waits for the lines of all other workers, and these pairs stay. Four workers suffice that restart
//! one after another, two at a time, if the first two then drain again.

#[allow(dead_code)] // This test uses only some of the helpers.
mod host;

use host::*;
use juniperrail_interface::*;
use std::sync::mpsc;
use std::time::Duration;

/// The longest time that a turn may take: a thread that is busy for longer counts as crashed.
const MAX_TURN: Duration = Duration::from_secs(20);
const WORKERS: u32 = 4;
/// The time between two steps of the restarts.
const STEP_INTERVAL: Ms = 3000.0;
/// The weight that all workers get by the change that the proxy no longer acknowledges.
const CHANGED_WEIGHT: f64 = 2.0;
/// By step: the worker that drains, and the one that is ready again.
const RESTARTS: [(u32, Option<u32>); 6] =
    [(0, None), (1, None), (2, Some(0)), (3, Some(1)), (0, Some(2)), (1, Some(3))];

fn changed_entry(worker: u32, phase: Phase) -> WorkerEntry {
    WorkerEntry { weight: CHANGED_WEIGHT, ..entry(worker, phase) }
}

#[test]
fn a_turn_ends_when_ordered_updates_form_a_cycle_again() {
    let (ended_turns, received_turns) = mpsc::channel();
    // The thread is not joined: it would not end if a turn did not.
    std::thread::spawn(move || {
        let one_table = Settings { operations: vec![operation()], ..settings() };
        let mut host = Host::running(one_table, WORKERS, 1);
        let all = (0..WORKERS).map(|worker| changed_entry(worker, Phase::Ready)).collect();
        host.advance(1000.0, &[list_change(all)]);
        assert!(
            (0..WORKERS).all(|worker| host.weight(worker) == CHANGED_WEIGHT),
            "the changed line of each worker is sent, and not acknowledged"
        );
        for (drained, returned) in RESTARTS {
            let mut changes = vec![changed_entry(drained, Phase::Draining)];
            changes.extend(returned.map(|worker| changed_entry(worker, Phase::Ready)));
            host.advance(STEP_INTERVAL, &[list_change(changes)]);
            ended_turns.send(()).expect("the test receives");
        }
    });
    for (step, (drained, _)) in RESTARTS.iter().enumerate() {
        let waited = received_turns.recv_timeout(MAX_TURN);
        assert!(
            waited != Err(mpsc::RecvTimeoutError::Timeout),
            "Planner::process_events hangs: the turn of step {step}, in which worker {drained} drains, has not ended \
             in {MAX_TURN:?}; the removal of cycles of ordered updates may not end"
        );
        waited.expect("the planner does not panic");
    }
}
