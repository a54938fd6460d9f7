//! A toy town for a manager to serve: discovery, three workers, a collector, and one proxy that prints what it
//! is ordered. `examples/README.md` tells how to try it. Everything stays on the loopback.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::Duration;

use juniperrail_standins::{instance_json, list_json, Discovery, Worker};

const MANAGER: &str = "127.0.0.1:5000";
const DISCOVERY: &str = "127.0.0.1:8500";
const WORKERS: [(&str, &str); 3] =
    [("s-one", "127.0.0.1:7001"), ("s-two", "127.0.0.1:7002"), ("s-three", "127.0.0.1:7003")];
const PERIOD: Duration = Duration::from_secs(2);

fn main() -> std::io::Result<()> {
    let discovery = Discovery::start_at(DISCOVERY)?;
    for (_, address) in WORKERS {
        Worker::start(address, "inflight=1,queue=0,util=0.20")?;
    }
    println!("discovery on {DISCOVERY}, waiting for a manager on {MANAGER}");
    thread::spawn(move || lists(&discovery));
    thread::spawn(|| dialled("collector", collect));
    dialled("proxy", proxy)
}

/// The whole list, then s-two drains and comes back, over and over.
fn lists(discovery: &Discovery) {
    discovery.publish(&list_json(
        2,
        true,
        &WORKERS.map(|(name, address)| instance_json(name, "a", address, "ready")),
    ));
    for (version, lifecycle) in (3..).zip(["draining", "ready"].into_iter().cycle()) {
        sleep(6 * PERIOD);
        println!("discovery: s-two is {lifecycle}");
        discovery.publish(&list_json(
            version,
            false,
            &[instance_json("s-two", "a", WORKERS[1].1, lifecycle)],
        ));
    }
}

/// Dials the manager for as long as the program runs, as proxies and collectors do.
fn dialled(who: &str, talk: fn(TcpStream) -> std::io::Result<()>) -> std::io::Result<()> {
    loop {
        if let Err(why) = TcpStream::connect(MANAGER).and_then(talk) {
            println!("{who}: {why}, dialling again");
        }
        sleep(PERIOD / 4);
    }
}

/// What the proxies of zone a met at the workers: s-three is slow.
fn collect(mut manager: TcpStream) -> std::io::Result<()> {
    write!(manager, "agent locality=a\r\n")?;
    loop {
        sleep(PERIOD);
        for (name, mean) in [("s-one", 40), ("s-two", 45), ("s-three", 160)] {
            let met = format!("locality=a endpoint={name} total=40 errors=0 rtt={mean} interval=2000");
            write!(manager, "outcomes {met} metrics=inflight:2,util:0.40\r\n")?;
        }
    }
}

/// A proxy: it prints each order, answers its mark, and reports what came to it.
fn proxy(mut manager: TcpStream) -> std::io::Result<()> {
    println!("proxy: joins {MANAGER}");
    write!(manager, "hello node=0 locality=a w=60 cold=1\r\n")?;
    let mut reports = manager.try_clone()?;
    thread::spawn(move || -> std::io::Result<()> {
        loop {
            sleep(PERIOD);
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
