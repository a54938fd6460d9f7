//! Orders that a proxy cannot use, on real connections: what an operator places before discovery lists it, and a proxy that
//! resets every stream, whatever the cause.

mod common;

use std::fs;

use common::netconf_manager::TestManager;
use common::{config, entry, ManagerProcess};
use juniperrail_standins::{list_json, AnsweringProxy, Discovery};

/// Guards against an accepted change after which every order names a worker that discovery never listed, so that every
/// proxy resets every stream.
#[test]
fn placing_a_worker_that_discovery_does_not_list_is_refused_whole() {
    let manager = TestManager::new("unlisted");
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    proxy.next_line_containing("whole=1");
    let placed = manager.write_change_file(
        "<worker><name>s-new</name><place><zone>a</zone></place></worker>\
         <worker><name>s-1</name><weight>2</weight></worker>",
    );
    let (code, _, error) = manager.run(&["config", "edit", &placed]);
    assert_eq!(code, 3, "{error}");
    assert!(error.contains("s-new cannot be placed, as discovery does not list it"), "{error}");
    let running = manager.run(&["config", "get", "/workers"]).1;
    assert!(!running.contains("s-1"), "a part of the refused change is running: {running}");
    manager.discovery.publish(&list_json(2, false, &[entry("s-1", "draining")]));
    let drain = proxy.next_line_containing("out=");
    assert!(drain.contains("out=s-1") && !drain.contains("s-new"), "{drain}");
}

/// Guards against a start whose operator's file places a worker that discovery does not list: the file cannot be refused
/// then, so the worker is kept back until it is listed.
#[test]
fn a_worker_that_the_operators_file_places_is_kept_back_until_discovery_lists_it() {
    let path = std::env::temp_dir().join(format!("juniperrail-placed-{}.xml", std::process::id()));
    let text = "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
                <workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">\
                <worker><name>s-new</name><place><zone>a</zone></place></worker></workers></config>";
    fs::write(&path, text).unwrap();
    let discovery = Discovery::start();
    let variables = [("JUNIPERRAIL_FILE", path.to_str().unwrap())];
    let manager = ManagerProcess::start_with("placed", &config(discovery.address, 256), &variables);
    let mut proxy = AnsweringProxy::connect(manager.address, 1);
    let table = proxy.next_line_containing("ticket=");
    assert!(!table.contains("s-new"), "{table}");
    // A full list without the worker does not bring it into an order either, not as one to exclude.
    let full: Vec<String> =
        [("s-1", "draining"), ("s-2", "ready"), ("s-3", "ready")].map(|(id, phase)| entry(id, phase)).into();
    discovery.publish(&list_json(42, true, &full));
    let drain = proxy.next_line_containing("out=");
    assert!(!drain.contains("s-new"), "{drain}");
    discovery.publish(&list_json(43, false, &[entry("s-new", "ready")]));
    proxy.next_line_containing("s-new:");
    fs::remove_file(path).unwrap();
}
