//! Which of discovery and the operator decides whether a worker is used, on real connections to managers in processes of
//! their own: over restarts and the rollback of a confirmed commit.

mod common;

use common::netconf_manager::TestManager;
use common::{config, entry, ManagerProcess, OperatorFile};
use juniperrail_standins::{list_json, AnsweringProxy, Discovery};

/// Guards against proxies that are sent back to a draining worker because a restarted manager takes the `ready` of the
/// operator's file for later than the drain in its cached list.
#[test]
fn a_drain_outlives_a_restart_although_the_operators_file_wants_the_worker_ready() {
    let file = OperatorFile::new("wanted-ready", "<worker><name>s-1</name><wanted>ready</wanted></worker>");
    let variables = [file.variable()];
    for signal in ["TERM", "KILL"] {
        let discovery = Discovery::start();
        let known_ready = config(discovery.address, 256);
        let known_draining = known_ready.replace(&entry("s-1", "ready"), &entry("s-1", "draining"));
        let mut first = ManagerProcess::start_with("drain-before", &known_ready, &variables);
        let mut proxy = AnsweringProxy::connect(first.address, 1);
        assert!(proxy.next_line_containing("whole=1").contains("s-1:"));
        discovery.publish(&list_json(42, false, &[entry("s-1", "draining")]));
        proxy.next_line_containing("out=s-1");
        first.signal(signal);
        first.child.wait().unwrap();

        let second = ManagerProcess::start_with("drain-after", &known_draining, &variables);
        let mut proxy = AnsweringProxy::connect(second.address, 1);
        let table = proxy.next_line_containing("whole=1");
        assert!(table.contains("out=s-1") && !table.contains("s-1:"), "after SIG{signal}: {table}");
        // Discovery alone ends the drain.
        discovery.publish(&list_json(43, false, &[entry("s-1", "ready")]));
        proxy.next_line_containing("s-1:");
    }
}

/// Guards against a `ready` that the rollback of a confirmed commit restores and that then counts as later than a drain.
#[test]
fn a_ready_that_a_rollback_restores_does_not_cancel_a_later_drain() {
    let manager = TestManager::new("rolled-back");
    let ready = manager.write_change_file("<worker><name>s-1</name><wanted>ready</wanted></worker>");
    assert_eq!(manager.run(&["config", "edit", &ready]).0, 0);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    assert!(proxy.next_line_containing("whole=1").contains("s-1:"));
    manager.discovery.publish(&list_json(2, false, &[entry("s-1", "draining")]));
    proxy.next_line_containing("out=s-1");
    let draining = manager.write_change_file("<worker><name>s-1</name><wanted>draining</wanted></worker>");
    // Without a name the commit is rolled back when the session of this command ends.
    assert_eq!(manager.run(&["config", "edit", &draining, "--confirm", "300"]).0, 0);
    manager.wait_for_version("4");
    let (code, state, _) = manager.run(&["state", "/state/workers", "--json"]);
    assert_eq!(code, 0);
    let (_, after_name) = state.split_once("\"s-1\"").expect("the state has s-1");
    let (_, after_phase) = after_name.split_once("\"phase\": \"").expect("s-1 has a phase");
    assert!(after_phase.starts_with("draining"), "{state}");
}
