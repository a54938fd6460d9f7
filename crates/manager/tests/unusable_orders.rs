//! Orders that a proxy cannot use, on real connections: what an operator places before discovery lists it, and a proxy that
//! resets every stream, whatever the cause.

mod common;

use std::io::BufRead;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::netconf_manager::TestManager;
use common::{config, entry, ManagerProcess, OperatorFile};
use juniperrail_standins::{list_json, AnsweringProxy, Discovery, Peer};

/// The drain grace of the stand-ins' settings.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

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
    let placed = "<worker><name>s-new</name><place><zone>a</zone></place></worker>";
    let file = OperatorFile::new("placed", placed);
    let discovery = Discovery::start();
    let config = config(discovery.address, 256);
    let manager = ManagerProcess::start_with("placed", &config, &[file.variable()]);
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
}

/// Connects as a proxy again and again, and resets each stream at its first order. Reports each order.
fn refuse_orders(address: std::net::SocketAddr, number: u16, stop: &AtomicBool, orders: &mpsc::Sender<()>) {
    while !stop.load(Ordering::Relaxed) {
        let mut peer = Peer::connect_as_proxy(address, number);
        if peer.next_line().is_some() {
            _ = orders.send(());
        }
        peer.reset();
    }
}

/// Guards against a proxy that refuses every order and that uses up the messages allowed to it: the drains of all
/// other proxies waited for it, past their grace.
#[test]
fn a_proxy_that_resets_every_stream_delays_no_drain_of_others_and_is_named_in_the_log() {
    const MAX_MESSAGES: usize = 8;
    const REFUSING_PROXY: u16 = 9;
    let discovery = Discovery::start();
    let limited = format!("\"messages-most\":{MAX_MESSAGES},\"counted-over-ms\":10000");
    let config = config(discovery.address, 256).replace("\"counted-over-ms\":10000", &limited);
    let mut manager = ManagerProcess::start("refusing", &config);
    let address = manager.address;
    let mut others: Vec<AnsweringProxy> =
        (1..4).map(|number| AnsweringProxy::connect(address, number)).collect();
    others.iter_mut().for_each(|proxy| _ = proxy.next_line_containing("ticket="));
    let stop = AtomicBool::new(false);
    let (order_sender, orders) = mpsc::channel();
    thread::scope(|scope| {
        scope.spawn(|| refuse_orders(address, REFUSING_PROXY, &stop, &order_sender));
        // So many leave room for an exclusion.
        for _ in 0..MAX_MESSAGES - 2 {
            orders.recv_timeout(common::WAIT_TIMEOUT).unwrap();
        }
        // Each of these needs a turn; a manager that goes on at once reaches the limit meanwhile.
        for number in 4..9 {
            AnsweringProxy::connect(address, number).next_line_containing("ticket=");
        }
        let drained = Instant::now();
        discovery.publish(&list_json(42, false, &[entry("s-1", "draining")]));
        others.iter_mut().for_each(|proxy| _ = proxy.next_line_containing("out=s-1"));
        let elapsed = drained.elapsed();
        stop.store(true, Ordering::Relaxed);
        assert!(elapsed < DRAIN_GRACE, "the drain took {elapsed:?}");
    });
    let log = manager.log.take().unwrap();
    let (line_sender, lines) = mpsc::channel();
    thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| line_sender.send(line)));
    let next_line = || lines.recv_timeout(common::WAIT_TIMEOUT).expect("the log names the proxy");
    let refused = std::iter::repeat_with(next_line).find(|line| line.contains("unacknowledged orders"));
    assert!(refused.as_ref().unwrap().contains("the last: proxy 9, sent last: push whole=1"), "{refused:?}");
    manager.signal("TERM");
    let further = lines.iter().filter(|line| line.contains("unacknowledged orders")).count();
    assert!(further <= 1, "{further} further lines");
}
