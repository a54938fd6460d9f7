//! A simulated environment for one manager: discovery, three workers, a collector, and one proxy that prints the orders
//! that it receives. `examples/README.md` describes how to try it. All connections are on the loopback interface.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::Duration;

use juniperrail_standins::{instance_json, list_json, Discovery, Worker};

const MANAGER: &str = "127.0.0.1:5000";
const DISCOVERY: &str = "127.0.0.1:8500";
/// The ids and the addresses of the workers.
const WORKERS: [(&str, &str); 3] =
    [("s-one", "127.0.0.1:7001"), ("s-two", "127.0.0.1:7002"), ("s-three", "127.0.0.1:7003")];
/// How often the collector reports outcomes and the proxy reports demand.
const REPORT_PERIOD: Duration = Duration::from_secs(2);
/// How often s-two starts to drain or becomes ready again.
const LIFECYCLE_PERIOD: Duration = Duration::from_secs(12);
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

fn main() -> std::io::Result<()> {
    let discovery = Discovery::start_at(DISCOVERY)?;
    for (_, address) in WORKERS {
        Worker::start(address, "inflight=1,queue=0,util=0.20")?;
    }
    println!("discovery on {DISCOVERY}, waiting for a manager on {MANAGER}");
    thread::spawn(move || publish_lists(&discovery));
    thread::spawn(|| keep_connected("collector", run_collector));
    keep_connected("proxy", run_proxy)
}

/// Publishes the full list, then alternately that s-two is draining and that it is ready.
fn publish_lists(discovery: &Discovery) {
    discovery.publish(&list_json(
        2,
        true,
        &WORKERS.map(|(name, address)| instance_json(name, "a", address, "ready")),
    ));
    for (version, lifecycle) in (3..).zip(["draining", "ready"].into_iter().cycle()) {
        sleep(LIFECYCLE_PERIOD);
        println!("discovery: s-two is {lifecycle}");
        discovery.publish(&list_json(
            version,
            false,
            &[instance_json("s-two", "a", WORKERS[1].1, lifecycle)],
        ));
    }
}

/// Connects to the manager again and again for as long as the program runs. `run` serves one connection.
fn keep_connected(name: &str, run: fn(TcpStream) -> std::io::Result<()>) -> std::io::Result<()> {
    loop {
        if let Err(error) = TcpStream::connect(MANAGER).and_then(run) {
            println!("{name}: {error}, reconnecting");
        }
        sleep(RECONNECT_DELAY);
    }
}

/// The collector of zone a: reports the outcomes of the proxies' tries. s-three answers more slowly than the others.
fn run_collector(mut manager: TcpStream) -> std::io::Result<()> {
    write!(manager, "agent locality=a\r\n")?;
    loop {
        sleep(REPORT_PERIOD);
        for (worker, round_trip_ms) in [("s-one", 40), ("s-two", 45), ("s-three", 160)] {
            let outcomes =
                format!("locality=a endpoint={worker} total=40 errors=0 rtt={round_trip_ms} interval=2000");
            write!(manager, "outcomes {outcomes} metrics=inflight:2,util:0.40\r\n")?;
        }
    }
}

/// A proxy: joins the manager, prints each order, acknowledges its mark, and reports its demand.
fn run_proxy(mut manager: TcpStream) -> std::io::Result<()> {
    println!("proxy: joining {MANAGER}");
    write!(manager, "hello node=0 locality=a w=60 cold=1\r\n")?;
    let mut reports = manager.try_clone()?;
    thread::spawn(move || -> std::io::Result<()> {
        loop {
            sleep(REPORT_PERIOD);
            write!(reports, "demand node=0 route=lookup total=100 errors=0 interval=2000\r\n")?;
            write!(reports, "demand node=0 route=order total=20 errors=0 interval=2000\r\n")?;
        }
    });
    for order in BufReader::new(manager.try_clone()?).lines() {
        let order = order?;
        println!("proxy: {order}");
        if let Some(mark) = order.split(' ').find_map(|word| word.strip_prefix("ticket=")) {
            write!(manager, "ack node=0 nonce={mark} latency=1.0\r\n")?;
        }
    }
    Ok(())
}
