//! A simulated environment for a cluster of three managers: discovery, a worker that runs scheduled operations, and
//! collectors in three zones. `examples/common/README.md` describes how to try it.

use std::fs;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use juniperrail_standins::{instance_json, list_json, Discovery};

/// The ids and the zones of the workers.
const WORKERS: [(&str, &str); 6] =
    [("s-1", "a"), ("s-2", "a"), ("s-3", "b"), ("s-4", "b"), ("s-5", "c"), ("s-6", "c")];
/// How often each collector reports to each manager.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

fn main() -> std::io::Result<()> {
    let directory = std::env::temp_dir().join("juniperrail-common");
    let discovery = Discovery::start_at("127.0.0.1:8501")?;
    discovery.publish(&list_json(
        1,
        true,
        &WORKERS.map(|(id, zone)| instance_json(id, zone, "127.0.0.1:9", "ready")),
    ));
    let worker = std::net::TcpListener::bind("127.0.0.1:7011")?;
    thread::spawn(move || worker.incoming().flatten().for_each(|request| _ = answer_run(request)));
    for id in 1..=3 {
        let manager_directory = directory.join(format!("n{id}"));
        fs::create_dir_all(&manager_directory)?;
        fs::write(manager_directory.join("config.json"), config(id))?;
        fs::write(manager_directory.join("operator.xml"), operator_file(id))?;
        println!(
            "PROXY_CONFIG={0}/config.json target/release/juniperrail --operator-file {0}/operator.xml",
            manager_directory.display()
        );
    }
    let lost_zones: Arc<Mutex<Vec<String>>> = Arc::default();
    for id in 1..=3 {
        for zone in ["a", "b", "c"] {
            let lost_zones = lost_zones.clone();
            thread::spawn(move || loop {
                _ = report_outcomes(id, zone, &lost_zones);
                sleep(REPORT_PERIOD);
            });
        }
    }
    // A line `lose ZONE ...` sets the lost zones, and any other line clears them.
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        *lost_zones.lock().expect("no collector panics") = match line.trim().strip_prefix("lose ") {
            Some(zones) => zones.split(' ').map(str::to_string).collect(),
            None => Vec::new(),
        };
    }
    // At the end of the input the program keeps running until it is stopped.
    loop {
        sleep(REPORT_PERIOD);
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

fn operator_file(id: u16) -> String {
    let member = |member_id: u16| {
        format!(
            "<member-of><number>{member_id}</number><address>127.0.0.1:510{member_id}</address></member-of>"
        )
    };
    let members: String = (1..=3).map(member).collect();
    format!(
        "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n\
         <fleet xmlns=\"tag:juniperrail.example,2026:yang:manager\"><name>toy</name><member>{id}</member>\n\
         <listen>127.0.0.1:510{id}</listen><store>council</store>{members}<failover/>\n\
         <schedule><name>warm</name><cron>*/10 * * * * *</cron><worker>127.0.0.1:7011</worker><path>/warm</path>\n\
         <effect>side-effecting</effect></schedule></fleet></config>\n"
    )
}

/// Prints the `juniperrail-` headers of a request to run an operation, and answers it with success. A real worker
/// keeps the highest fencing token of each schedule and rejects requests with a lower one.
fn answer_run(request: TcpStream) -> std::io::Result<()> {
    let mut headers = Vec::new();
    for line in std::io::BufReader::new(request.try_clone()?).lines() {
        let line = line?;
        if line.is_empty() {
            break;
        }
        headers.extend(line.strip_prefix("juniperrail-").map(str::to_string));
    }
    println!("run requested: {}", headers.join(", "));
    write!(&request, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

/// Reports the outcomes of the tries of a zone's proxies to one manager, as the collector of the zone. Tries at workers
/// in a lost zone fail.
fn report_outcomes(id: u16, zone: &str, lost_zones: &Mutex<Vec<String>>) -> std::io::Result<()> {
    let mut manager = TcpStream::connect(("127.0.0.1", 5010 + id))?;
    write!(manager, "agent locality={zone}\r\n")?;
    loop {
        sleep(REPORT_PERIOD);
        let lost_zones = lost_zones.lock().expect("no collector panics").clone();
        for (worker, worker_zone) in WORKERS {
            let errors = if lost_zones.iter().any(|lost| lost == worker_zone) { 40 } else { 0 };
            let outcomes =
                format!("locality={zone} endpoint={worker} total=40 errors={errors} rtt=40 interval=2000");
            write!(manager, "outcomes {outcomes} metrics=inflight:2,util:0.40\r\n")?;
        }
    }
}
