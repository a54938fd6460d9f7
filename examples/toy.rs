//! A toy town for a manager to serve: discovery, three workers, a collector, and one proxy that prints what it
//! is ordered. `examples/README.md` tells how to try it. Everything stays on the loopback.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{self, sleep};
use std::time::Duration;

const MANAGER: &str = "127.0.0.1:5000";
const DISCOVERY: &str = "127.0.0.1:8500";
const WORKERS: [(&str, &str); 3] =
    [("s-one", "127.0.0.1:7001"), ("s-two", "127.0.0.1:7002"), ("s-three", "127.0.0.1:7003")];
const PERIOD: Duration = Duration::from_secs(2);

fn main() -> std::io::Result<()> {
    let discovery = TcpListener::bind(DISCOVERY)?;
    thread::spawn(move || discovery.incoming().flatten().for_each(|watch| spawn(move || list(watch))));
    for (name, address) in WORKERS {
        let worker = TcpListener::bind(address)?;
        spawn(move || worker.incoming().try_for_each(|probe| answer(name, probe?)));
    }
    println!("discovery on {DISCOVERY}, waiting for a manager on {MANAGER}");
    spawn(|| dialled("collector", collect));
    dialled("proxy", proxy)
}

fn spawn(task: impl FnOnce() -> std::io::Result<()> + Send + 'static) {
    thread::spawn(move || task().unwrap_or_else(|why| println!("ended: {why}")));
}

fn entry(name: &str, address: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"m1","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A watch: the whole list, then s-two drains and comes back, over and over, with heartbeats between.
fn list(mut watch: TcpStream) -> std::io::Result<()> {
    let mut asked = String::new();
    BufReader::new(&watch).read_line(&mut asked)?;
    println!("discovery: {}", asked.trim());
    watch.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let mut tell = |line: String| write!(watch, "{:x}\r\n{line}\n\r\n", line.len() + 1);
    let all = WORKERS.map(|(name, address)| entry(name, address, "ready")).join(",");
    tell(format!(r#"{{"generation":2,"reset":true,"instances":[{all}]}}"#))?;
    for (version, lifecycle) in (3..).zip(["draining", "ready"].into_iter().cycle()) {
        for _ in 0..6 {
            sleep(PERIOD);
            tell(String::new())?;
        }
        println!("discovery: s-two is {lifecycle}");
        let change = entry("s-two", WORKERS[1].1, lifecycle);
        tell(format!(r#"{{"generation":{version},"reset":false,"instances":[{change}]}}"#))?;
    }
    Ok(())
}

/// A worker, as probes see it.
fn answer(name: &str, mut probe: TcpStream) -> std::io::Result<()> {
    let mut asked = String::new();
    BufReader::new(&probe).read_line(&mut asked)?;
    println!("{name}: {}", asked.trim());
    let load = "inflight=1,queue=0,util=0.20";
    write!(probe, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{load}", load.len())
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
