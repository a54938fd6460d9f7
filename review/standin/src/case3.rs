//! Case 3: the stream of one proxy breaks again and again; a drain then reaches no proxy in time.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;
use crate::proxies::*;

const PROXIES: u16 = 4;
/// `rules.drain-grace-ms` of the settings, and the 300 ms that PROTOCOL.md adds on sockets.
const GRACE_MS: u64 = 3000 + 300;
/// How often the stream of the one proxy breaks, and how soon the proxy dials again (0.13 to 1.9 s by the brief).
const BREAKS: usize = 12;
const REDIAL_MS: u64 = 300;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let temp = TempFolder::create("3");
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let names = ["s-1", "s-2", "s-3"];
    let addresses: BTreeMap<String, String> =
        names.iter().map(|id| (id.to_string(), start_worker(id, &arrivals, &record))).collect();
    let entry = |id: &str, lifecycle: &str| Entry {
        address: addresses[id].clone(),
        ..Entry::new(id, "a", lifecycle)
    };
    let all_ready: Vec<Entry> = names.iter().map(|id| entry(id, "ready")).collect();
    let [listen, discovery_port] = free_ports::<2>();
    let discovery = Discovery::start(discovery_port, &all_ready, &record);
    let mut manager = Manager::new("n1", &temp.0, None, &record);
    let known = list_json(1, true, &all_ready);
    std::fs::write(&manager.config, config_json("n1", listen, discovery_port, 1, &["a"], &known))
        .expect("a configuration");
    manager.start();
    if !wait_until_alive(listen, Duration::from_secs(10)) {
        return 2;
    }
    let proxies = Proxies::start(listen, PROXIES, &["s-2", "s-3"], &addresses, &record);
    let has_all = |held: &Held| held.joined && CLASSES.iter().all(|class| held.usable(class).len() == 3);
    if !proxies.wait_for(15_000, has_all) {
        return 2;
    }
    // Longer than the 10 s over which messages are counted: none of those so far counts any more.
    sleep_ms(12_000);
    // Another proxy, which sends no requests; its requests are not judged. Each time it has received a message, its
    // stream breaks.
    let number = PROXIES;
    let breaks = if trouble { BREAKS } else { 0 };
    let join = |round: usize| -> std::io::Result<TcpStream> {
        let mut socket = TcpStream::connect(("127.0.0.1", listen))?;
        let hello = format!("hello node={number} locality=a w=21.5 cold={}", u8::from(round == 0));
        write!(socket, "{hello}\r\n")?;
        record.line(&format!("proxy {number} -> manager: {hello}"));
        Ok(socket)
    };
    let acknowledge = move |socket: &mut TcpStream, line: &str, record: &Record| -> std::io::Result<()> {
        record.line(&format!("manager -> proxy {number}: {line}"));
        match line.split(' ').find_map(|word| word.strip_prefix("ticket=")) {
            Some(mark) => write!(socket, "ack node={number} nonce={mark} latency=1.0\r\n"),
            None => Ok(()),
        }
    };
    for round in 0..breaks {
        let Ok(mut socket) = join(round) else { return 2 };
        _ = socket.set_read_timeout(Some(Duration::from_millis(1500)));
        let mut lines = BufReader::new(socket.try_clone().expect("a socket")).lines();
        if let Some(Ok(line)) = lines.next() {
            _ = acknowledge(&mut socket, &line, &record);
        }
        sleep_ms(20);
        drop((lines, socket));
        record.line(&format!("proxy {number}: its stream broke"));
        sleep_ms(REDIAL_MS);
    }
    // From now on it stays.
    let Ok(mut socket) = join(breaks) else { return 2 };
    let reading = record.clone();
    std::thread::spawn(move || {
        let lines = BufReader::new(socket.try_clone().expect("a socket")).lines();
        for line in lines.map_while(Result::ok) {
            _ = acknowledge(&mut socket, &line, &reading);
        }
    });
    sleep_ms(200);
    discovery.publish(&[entry("s-1", "draining")]);
    let told_at = record.now_ms();
    let limit = told_at + GRACE_MS;
    sleep_ms(15_000);
    proxies.record_tables(&record);
    manager.record_log(&["list ", "joined", "acknowledged"]);
    drop(manager);
    record_arrivals(&arrivals, &record);
    let late: Vec<Arrival> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.worker == "s-1" && arrival.at > limit)
        .cloned()
        .collect();
    record.line(&format!("no request may arrive at s-1 after {limit} ms; {} did", late.len()));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.line(&format!(
            "BROKEN: s-1 drains since {told_at} ms and got {} requests from {} to {} ms",
            late.len(),
            first.at,
            last.at
        ));
    }
    i32::from(!late.is_empty())
}
