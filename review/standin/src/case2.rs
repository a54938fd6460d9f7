//! Case 2: the manager restarts while the workers of a zone are being replaced. The proxies of that zone are never given
//! the successors for the class that keeps to the proxy's zone.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;
use crate::proxies::*;

/// The zones of the proxies.
const PROXIES: [&str; 4] = ["a", "a", "b", "b"];
/// `domain.bare-ms` of the settings, and the 300 ms that PROTOCOL.md adds on sockets.
const BARE_LIMIT_MS: u64 = 7300 + 300;
/// `rules.warm-up-ms` of the settings: from then on a worker is no longer cold.
const WARM_UP_MS: u64 = 15_000;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let temp = TempFolder::create("2");
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    // 15 workers, two of them in zone a; their successors s-5 and s-6 are started later.
    let zone_b: Vec<String> = (0..13).map(|n| format!("t-{n:02}")).collect();
    let mut addresses: BTreeMap<String, String> = BTreeMap::new();
    for id in ["s-1", "s-2", "s-5", "s-6"].into_iter().chain(zone_b.iter().map(String::as_str)) {
        addresses.insert(id.to_string(), start_worker(id, &arrivals, &record));
    }
    let entry = |id: &str, zone: &str, lifecycle: &str| Entry {
        address: addresses[id].clone(),
        ..Entry::new(id, zone, lifecycle)
    };
    let of_zone_b: Vec<Entry> = zone_b.iter().map(|id| entry(id, "b", "ready")).collect();
    let mut at_first = vec![entry("s-1", "a", "ready"), entry("s-2", "a", "ready")];
    at_first.extend(of_zone_b.clone());
    let [listen, discovery_port] = free_ports::<2>();
    let discovery = Discovery::start(discovery_port, &at_first, &record);
    let mut manager = Manager::new("n1", &temp.0, None, &record);
    let write_config = |manager: &Manager, known: &str| {
        let config = config_json("n1", listen, discovery_port, 1, &["a", "b"], known);
        std::fs::write(&manager.config, config).expect("a configuration");
    };
    write_config(&manager, &list_json(1, true, &at_first));
    manager.start();
    if !wait_until_alive(listen, Duration::from_secs(10)) {
        return 2;
    }
    let proxies = Proxies::start(listen, &PROXIES, &[], &addresses, &record);
    let has_tables = |held: &Held| held.joined && CLASSES.iter().all(|class| !held.usable(class).is_empty());
    if !proxies.wait_for(15_000, has_tables) {
        return 2;
    }
    sleep_ms(3000);
    // The workers of zone a are replaced: they drain, and their successors come 6 s later.
    discovery.publish(&[entry("s-1", "a", "draining"), entry("s-2", "a", "draining")]);
    let shut_out = |held: &Held| {
        CLASSES.iter().all(|class| !held.usable(class).iter().any(|id| id == "s-1" || id == "s-2"))
    };
    if !proxies.wait_for(3300, shut_out) {
        record.line("the drain was not kept");
        return 2;
    }
    let drained_at = record.now_ms();
    sleep_ms(2000);
    if trouble {
        manager.terminate();
        // The manager is given the list as it last held it.
        let draining = |id| entry(id, "a", "draining");
        let mut known = vec![draining("s-1"), draining("s-2")];
        known.extend(of_zone_b);
        write_config(&manager, &list_json(2, true, &known));
        manager.start();
        if !wait_until_alive(listen, Duration::from_secs(10)) {
            return 2;
        }
        record.line("n1: answers again");
        if !proxies.wait_for(10_000, |held| held.joined && held.joins == 2) {
            return 2;
        }
    }
    sleep_ms((drained_at + 6_000).saturating_sub(record.now_ms()));
    let started_at_ms = unix_ms();
    let started_at = record.now_ms();
    discovery.publish(&["s-5", "s-6"].map(|id| Entry { started_at_ms, ..entry(id, "a", "ready") }));
    discovery.publish(&[entry("s-1", "a", "gone"), entry("s-2", "a", "gone")]);
    // From now on s-5 and s-6 are listed as ready, and from `warm_at` on they are no longer cold.
    let warm_at = started_at + WARM_UP_MS;
    sleep_ms(WARM_UP_MS + BARE_LIMIT_MS + 10_000);
    proxies.record_tables(&record);
    let now = record.now_ms();
    let mut broken = false;
    for (number, held) in proxies.snapshot().iter().enumerate() {
        for (class, since) in &held.bare_since {
            let bare_ms = now - warm_at.max(*since);
            if bare_ms > BARE_LIMIT_MS {
                broken = true;
                record.line(&format!(
                    "BROKEN: proxy {number} has had no worker to pick for {class} since {since} ms, {bare_ms} ms of it \
                     with s-5 and s-6 ready and warm ({BARE_LIMIT_MS} allowed)"
                ));
            }
        }
    }
    manager.record_log(&["list ", "watching", "joined", "acknowledged"]);
    drop(manager);
    record_arrivals(&arrivals, &record);
    record.line(if broken { "the rule was broken" } else { "every proxy had a worker to pick" });
    i32::from(broken)
}
