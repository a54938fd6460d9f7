//! A town for three managers that decide in common; `examples/common/README.md` tells how to try it.

use std::fs;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use juniperrail_standins::{instance_json, list_json, Discovery};

const WORKERS: [(&str, &str); 6] =
    [("s-1", "a"), ("s-2", "a"), ("s-3", "b"), ("s-4", "b"), ("s-5", "c"), ("s-6", "c")];
const PERIOD: Duration = Duration::from_secs(2);

fn main() -> std::io::Result<()> {
    let folder = std::env::temp_dir().join("juniperrail-common");
    let discovery = Discovery::start_at("127.0.0.1:8501")?;
    discovery.publish(&list_json(
        1,
        true,
        &WORKERS.map(|(id, zone)| instance_json(id, zone, "127.0.0.1:9", "ready")),
    ));
    let worker = std::net::TcpListener::bind("127.0.0.1:7011")?;
    thread::spawn(move || worker.incoming().flatten().for_each(|asked| _ = run(asked)));
    for id in 1..=3 {
        let own = folder.join(format!("n{id}"));
        fs::create_dir_all(&own)?;
        fs::write(own.join("config.json"), config(id))?;
        fs::write(own.join("operator.xml"), operator(id))?;
        println!(
            "PROXY_CONFIG={0}/config.json target/release/juniperrail --operator-file {0}/operator.xml",
            own.display()
        );
    }
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    for id in 1..=3 {
        for zone in ["a", "b", "c"] {
            let lost = lost.clone();
            thread::spawn(move || loop {
                _ = collect(id, zone, &lost);
                sleep(PERIOD);
            });
        }
    }
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        *lost.lock().expect("no collector panics") = match line.trim().strip_prefix("lose ") {
            Some(zones) => zones.split(' ').map(str::to_string).collect(),
            None => Vec::new(),
        };
    }
    // Without a terminal it goes on until it is ended.
    loop {
        sleep(PERIOD);
    }
}

fn config(id: u16) -> String {
    format!(
        r#"{{"name":"n{id}","listen":"127.0.0.1:501{id}","discovery":"127.0.0.1:8501","seed":"8c1f30d27a5be96{id}",
        "settings":{{"tick-ms":2,"zones":["a","b","c"],"skus":["m2"],"n-instances":3,
        "lanes":[{{"name":"lookup","on-time-ms":500,"worth":1}}],
        "domain":{{"channel-rate":5000,"pending-max":5000,"overhead":4,"worst-transit-ms":900,"period-ms":2000,
        "proxy-count":20}},"rules":{{"drain-grace-ms":3000}},"allowed":{{"dial-timeout-ms":250}}}}}}"#
    )
}

fn operator(id: u16) -> String {
    let member =
        |of: u16| format!("<member-of><number>{of}</number><address>127.0.0.1:510{of}</address></member-of>");
    let members: String = (1..=3).map(member).collect();
    format!(
        "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n\
         <fleet xmlns=\"tag:juniperrail.example,2026:yang:manager\"><name>toy</name><member>{id}</member>\n\
         <listen>127.0.0.1:510{id}</listen><store>council</store>{members}<failover/>\n\
         <schedule><name>warm</name><cron>*/10 * * * * *</cron><worker>127.0.0.1:7011</worker><path>/warm</path>\n\
         <effect>side-effecting</effect></schedule></fleet></config>\n"
    )
}

/// A worker that does at once what it is asked to, and says so. One that means it keeps the highest number of each
/// schedule and refuses lower ones.
fn run(asked: TcpStream) -> std::io::Result<()> {
    let mut told = Vec::new();
    for line in std::io::BufReader::new(asked.try_clone()?).lines() {
        let line = line?;
        if line.is_empty() {
            break;
        }
        told.extend(line.strip_prefix("juniperrail-").map(str::to_string));
    }
    println!("runs: {}", told.join(", "));
    write!(&asked, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

/// What the proxies of a zone meet at the workers, to one manager.
fn collect(id: u16, zone: &str, lost: &Mutex<Vec<String>>) -> std::io::Result<()> {
    let mut manager = TcpStream::connect(("127.0.0.1", 5010 + id))?;
    write!(manager, "agent locality={zone}\r\n")?;
    loop {
        sleep(PERIOD);
        let lost = lost.lock().expect("no collector panics").clone();
        for (worker, of) in WORKERS {
            let bad = if lost.iter().any(|lost| lost == of) { 40 } else { 0 };
            let met = format!("locality={zone} endpoint={worker} total=40 errors={bad} rtt=40 interval=2000");
            write!(manager, "outcomes {met} metrics=inflight:2,util:0.40\r\n")?;
        }
    }
}
