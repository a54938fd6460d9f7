//! Case 3: the operator drains a worker and brings it back; the manager restarts in between. The proxies still shut the
//! worker out: those of its zone have no worker to pick for the class that keeps to the zone once the other one drains.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;
use crate::proxies::*;

/// The zones of the proxies.
const PROXIES: [&str; 4] = ["a", "a", "b", "b"];
/// `domain.bare-ms` of the settings, and the 300 ms that PROTOCOL.md adds on sockets.
const BARE_LIMIT_MS: u64 = 7300 + 300;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let temp = TempFolder::create("3");
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    // 15 workers, two of them in zone a.
    let zone_b: Vec<String> = (0..13).map(|n| format!("t-{n:02}")).collect();
    let mut addresses: BTreeMap<String, String> = BTreeMap::new();
    for id in ["s-1", "s-2"].into_iter().chain(zone_b.iter().map(String::as_str)) {
        addresses.insert(id.to_string(), start_worker(id, &arrivals, &record));
    }
    let entry = |id: &str, zone: &str, lifecycle: &str| Entry {
        address: addresses[id].clone(),
        ..Entry::new(id, zone, lifecycle)
    };
    let mut all_ready = vec![entry("s-1", "a", "ready"), entry("s-2", "a", "ready")];
    all_ready.extend(zone_b.iter().map(|id| entry(id, "b", "ready")));
    let [listen, discovery_port, ssh_port] = free_ports::<3>();
    let discovery = Discovery::start(discovery_port, &all_ready, &record);
    for key in ["host", "ann"] {
        let path = temp.0.join(key);
        let status = Command::new("ssh-keygen")
            .args(["-q", "-t", "ed25519", "-N", "", "-C", key, "-f"])
            .arg(&path)
            .status();
        if !status.is_ok_and(|status| status.success()) {
            cannot_run("ssh-keygen, which docs/netconf.md uses, is not there");
        }
    }
    let public_key = std::fs::read_to_string(temp.0.join("ann.pub")).expect("a public key");
    let operator_file = temp.0.join("operator.xml");
    std::fs::write(
        &operator_file,
        format!(
            "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n\
             <northbound xmlns=\"tag:juniperrail.example,2026:yang:manager\">\n\
             <netconf><ssh><listen>127.0.0.1:{ssh_port}</listen><host-key>host</host-key></ssh></netconf>\n\
             <user><name>ann</name><role>admin</role><ssh-key>{}</ssh-key></user>\n\
             </northbound></config>\n",
            public_key.trim()
        ),
    )
    .expect("an operator's file");
    let mut manager = Manager::new("n1", &temp.0, Some(operator_file), &record);
    std::fs::write(
        &manager.config,
        config_json("n1", listen, discovery_port, 1, &["a", "b"], &list_json(1, true, &all_ready)),
    )
    .expect("a configuration");
    let set_wanted = |wanted: &str| {
        let path = temp.0.join("edit.xml");
        let edit = format!(
            "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n\
             <workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">\n\
             <worker><name>s-1</name><wanted>{wanted}</wanted></worker>\n\
             </workers></config>\n"
        );
        std::fs::write(&path, edit).expect("an edit");
        // The client of the deploy file's program.
        let program = deploy_command("run");
        let output = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{program} config edit {}", path.display()))
            .env("JUNIPERRAIL_SSH", format!("127.0.0.1:{ssh_port}"))
            .env("JUNIPERRAIL_USER", "ann")
            .env("JUNIPERRAIL_KEY", temp.0.join("ann"))
            .env("JUNIPERRAIL_HOST_KEY", temp.0.join("host.pub"))
            .output()
            .expect("the command line runs");
        record.line(&format!(
            "operator: s-1 is wanted {wanted}: {} {}{}",
            output.status,
            String::from_utf8_lossy(&output.stdout).trim(),
            String::from_utf8_lossy(&output.stderr).trim()
        ));
        output.status.success()
    };
    manager.start();
    if !wait_until_alive(listen, Duration::from_secs(10)) {
        return 2;
    }
    let proxies = Proxies::start(listen, &PROXIES, &[], &addresses, &record);
    let has_tables =
        |held: &Held| held.joined && held.usable("lookup").len() == 15 && held.usable("order").len() >= 2;
    if !proxies.wait_for(15_000, has_tables) {
        record.line("the proxies were not given all workers");
        return 2;
    }
    sleep_ms(2000);
    // The operator takes s-1 out of service for maintenance. The process keeps running.
    if !set_wanted("draining") {
        return 2;
    }
    let without_s1 =
        |held: &Held| CLASSES.iter().all(|class| !held.usable(class).contains(&"s-1".to_string()));
    if !proxies.wait_for(5000, without_s1) {
        record.line("the operator's drain did not reach the proxies");
        return 2;
    }
    sleep_ms(3000);
    if trouble {
        manager.terminate();
        manager.start();
        if !wait_until_alive(listen, Duration::from_secs(10)) {
            return 2;
        }
        record.line("n1: answers again");
        if !proxies.wait_for(10_000, |held| held.joined && held.joins == 2) {
            return 2;
        }
        sleep_ms(8000);
    }
    // The maintenance ends.
    if !set_wanted("follow") {
        return 2;
    }
    sleep_ms(10_000);
    record.line("before the drain of s-2:");
    proxies.record_tables(&record);
    // Discovery still lists s-1 as ready, and so does the manager's own state; now s-2 drains.
    discovery.publish(&[entry("s-2", "a", "draining")]);
    sleep_ms(30_000);
    record.line("30 s later:");
    proxies.record_tables(&record);
    let now = record.now_ms();
    let mut broken = false;
    for (number, held) in proxies.snapshot().iter().enumerate() {
        for (class, since) in &held.bare_since {
            if now - since > BARE_LIMIT_MS {
                broken = true;
                record.line(&format!(
                    "BROKEN: proxy {number} has had no worker to pick for {class} for {} ms ({BARE_LIMIT_MS} allowed)",
                    now - since
                ));
            }
        }
    }
    manager.record_log(&["list ", "change ", "watching", "joined", "operator"]);
    drop(manager);
    record_arrivals(&arrivals, &record);
    record.line(if broken { "the rule was broken" } else { "every proxy had a worker to pick" });
    i32::from(broken)
}
