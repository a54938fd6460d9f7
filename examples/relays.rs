//! A source of the worker list for two relays and two managers, each with one zone as its scope, and one proxy for each
//! manager that prints the orders that it receives. `examples/relays/README.md` describes how to try it. All
//! connections are on the loopback interface.

use std::fs;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::Duration;

use juniperrail_standins::{instance_json, list_json, Discovery};

const SOURCE: &str = "127.0.0.1:8502";
const RELAYS: [&str; 2] = ["127.0.0.1:8511", "127.0.0.1:8512"];
/// The zone of each manager, which is its scope, and the address at which it listens.
const MANAGERS: [(&str, &str); 2] = [("a", "127.0.0.1:5021"), ("b", "127.0.0.1:5022")];
/// Nothing listens at this address: the workers of this example exist only in the list.
const WORKER_ADDRESS: &str = "127.0.0.1:9";
const DIRECTORY: &str = "juniperrail-relays";
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// How often each proxy reports its demand.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

struct Worker {
    id: &'static str,
    zone: String,
    lifecycle: &'static str,
}

fn main() -> Result<()> {
    let source = Discovery::start_at(SOURCE)?;
    let mut workers = [("s-1", "a"), ("s-2", "a"), ("s-3", "b"), ("s-4", "b"), ("s-5", "c"), ("s-6", "c")]
        .map(|(id, zone)| Worker { id, zone: zone.to_string(), lifecycle: "ready" });
    source.publish(&list_json(1, true, &workers.each_ref().map(list_entry)));
    for relay in RELAYS {
        println!("target/release/juniperrail relay --listen {relay} --source {SOURCE}");
    }
    for (zone, address) in MANAGERS {
        write_files(zone, address)?;
        thread::spawn(move || keep_connected(zone, address));
    }
    run_commands(&source, &mut workers)?;
    // At the end of the input the program keeps running until it is stopped.
    loop {
        sleep(REPORT_PERIOD);
    }
}

/// The entry of a worker in the list.
fn list_entry(worker: &Worker) -> String {
    instance_json(worker.id, &worker.zone, WORKER_ADDRESS, worker.lifecycle)
}

/// Writes the configuration and the operator's file of the manager of a zone, and prints the command that starts it.
fn write_files(zone: &str, address: &str) -> Result<()> {
    let directory = std::env::temp_dir().join(DIRECTORY).join(zone);
    fs::create_dir_all(&directory)?;
    fs::write(directory.join("config.json"), config(zone, address))?;
    fs::write(directory.join("operator.xml"), operator_file(zone))?;
    println!(
        "PROXY_CONFIG={0}/config.json target/release/juniperrail --operator-file {0}/operator.xml",
        directory.display()
    );
    Ok(())
}

/// The configuration of the manager of a zone. With these names each manager prefers a different relay. The zone is
/// also the last digit of the seed, since managers with equal seeds would wait equally long before they reconnect.
fn config(zone: &str, address: &str) -> String {
    format!(
        r#"{{"name":"zone-{zone}","listen":"{address}","discovery":"{SOURCE}","seed":"8c1f30d27a5be96{zone}",
        "settings":{{"tick-ms":2,"zones":["a","b","c"],"az":"{zone}","skus":["m2"],"n-instances":1,
        "lanes":[{{"name":"lookup","on-time-ms":500,"worth":1}}],
        "domain":{{"channel-rate":5000,"pending-max":5000,"overhead":4,"worst-transit-ms":900,"period-ms":2000,
        "proxy-count":4}},"rules":{{"drain-grace-ms":3000}},"allowed":{{"dial-timeout-ms":250}}}}}}"#
    )
}

fn operator_file(zone: &str) -> String {
    let relays = RELAYS.map(|relay| format!("<relay>{relay}</relay>")).concat();
    format!(
        "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n\
         <discovery xmlns=\"tag:juniperrail.example,2026:yang:manager\">{relays}\n\
         <scope><zone>{zone}</zone></scope></discovery></config>\n"
    )
}

/// Runs the commands on the standard input until its end. Publishes each change as the next version of the list.
fn run_commands(source: &Discovery, workers: &mut [Worker]) -> Result<()> {
    let mut version = 1;
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some(worker) = apply_command(&words, workers) else {
            println!("type one of: drain s-1, ready s-1, move s-1 b (workers s-1 to s-6, zones a to c)");
            continue;
        };
        version += 1;
        println!("source: list {version}: {} is in zone {} and {}", worker.id, worker.zone, worker.lifecycle);
        source.publish(&list_json(version, false, &[list_entry(worker)]));
    }
    Ok(())
}

/// Applies a command to the worker that it names. Returns the worker, or `None` if the command or the worker is
/// unknown.
fn apply_command<'a>(words: &[&str], workers: &'a mut [Worker]) -> Option<&'a Worker> {
    let worker = workers.iter_mut().find(|worker| words.get(1) == Some(&worker.id))?;
    match words {
        ["drain", _] => worker.lifecycle = "draining",
        ["ready", _] => worker.lifecycle = "ready",
        ["move", _, zone @ ("a" | "b" | "c")] => worker.zone = zone.to_string(),
        _ => return None,
    }
    Some(worker)
}

/// Keeps a proxy connected to the manager of a zone for as long as the program runs.
fn keep_connected(zone: &str, address: &str) {
    loop {
        if let Ok(Err(error)) = TcpStream::connect(address).map(|manager| run_proxy(zone, manager)) {
            println!("proxy of {zone}: {error}, reconnecting");
        }
        sleep(RECONNECT_DELAY);
    }
}

/// A proxy: joins the manager, prints each order, acknowledges its mark, and reports its demand.
fn run_proxy(zone: &str, mut manager: TcpStream) -> Result<()> {
    println!("proxy of {zone}: joining");
    write!(manager, "hello node=0 locality={zone} w=60 cold=1\r\n")?;
    let reports = manager.try_clone()?;
    thread::spawn(move || report_demand(reports));
    for order in BufReader::new(manager.try_clone()?).lines() {
        let order = order?;
        println!("proxy of {zone}: {order}");
        if let Some(mark) = order.split(' ').find_map(|word| word.strip_prefix("ticket=")) {
            write!(manager, "ack node=0 nonce={mark} latency=1.0\r\n")?;
        }
    }
    Ok(())
}

/// Reports the demand at a proxy until its connection ends.
fn report_demand(mut manager: TcpStream) -> Result<()> {
    loop {
        sleep(REPORT_PERIOD);
        write!(manager, "demand node=0 route=lookup total=100 errors=0 interval=2000\r\n")?;
    }
}
