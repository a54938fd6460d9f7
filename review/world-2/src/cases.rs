//! The cases, each a story of one run.

use std::path::Path;

use crate::discovery::{Listed, Phase};
use crate::record::Record;
use crate::world::{listed, Deployment, World};

/// Plays a case. Returns the violations.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(format!("case {case}, trouble: {trouble}"));
    let violations = match case {
        "placed" => placed(record.clone(), trouble),
        "two-operators" => two_operators(record.clone(), trouble),
        "held" => held(record.clone(), trouble),
        "lost-store" => lost_store(record.clone(), trouble),
        "council" => council(record.clone()),
        "relays" => relays(record.clone()),
        "spoilt-answer" => spoilt_answer(record.clone(), trouble),
        "wanted-ready" => wanted_ready(record.clone(), trouble),
        "flapping" => flapping(record.clone(), trouble),
        "canary" => canary(record.clone(), trouble),
        "hunt" => hunt(record.clone()),
        "small-weights" => small_weights(record.clone(), trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match &violations {
        Ok(violations) => record.line(format!("{} violations: {violations:#?}", violations.len())),
        Err(reason) => record.line(format!("could not run: {reason}")),
    }
    violations
}

/// Two checkers in each zone, with this weight.
fn six_workers(weight: f64) -> Vec<Listed> {
    let zones = Deployment::small().zones;
    let names = ["s-g1", "s-g2", "s-j1", "s-j2", "s-m1", "s-m2"];
    names
        .iter()
        .enumerate()
        .map(|(index, name)| listed(name, zones[index / 2], Phase::Ready, weight))
        .collect()
}

/// An operator lists a worker that discovery does not; then a worker drains.
fn placed(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut world = World::new(record, Deployment::small(), &six_workers(1.0))?;
    let northbound = world.northbound(0)?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(8000.0)?;
    if trouble {
        world.record.line("the operator lists s-new in gulberg, over NETCONF");
        let edit = northbound.edit_workers(
            "edit.xml",
            "<worker><name>s-new</name><place><zone>gulberg</zone></place></worker>",
        )?;
        let (accepted, printed) = world.finish(edit, 10_000.0)?;
        world.record.line(format!("the change is {}", if accepted { "accepted" } else { "refused" }));
        if !accepted && !printed.contains("refused") {
            return Err(format!("the change could not be sent: {printed}"));
        }
    }
    world.run_for(5000.0)?;
    world.publish(&[listed("s-j1", "johar-town", Phase::Draining, 1.0)]);
    world.run_for(12_000.0)?;
    let resets: u32 = world.proxies.iter().map(|proxy| proxy.resets).sum();
    world.record.line(format!("streams that proxies have reset because of an order: {resets}"));
    world.take_log(0);
    Ok(world.violations)
}

/// A zone's only worker hangs for 20 s, where the weights of the list are small numbers.
fn small_weights(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    const WEIGHT: f64 = 0.003;
    // Gulberg has one worker, johar-town has three.
    let mut workers = six_workers(WEIGHT);
    workers[1] = listed("s-j3", "johar-town", Phase::Ready, WEIGHT);
    let mut world = World::new(record, Deployment::small(), &workers)?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(8000.0)?;
    if trouble {
        world.record.line("s-g1 takes invocations and answers none from now on");
        world.hanging.insert("s-g1".into());
    }
    world.run_for(20_000.0)?;
    if trouble {
        world.record.line("s-g1 answers again");
        world.hanging.clear();
    }
    world.run_for(25_000.0)?;
    world.take_log(0);
    Ok(world.violations)
}

/// Random troubles within the pages' limits; the seed is in SEED.
fn hunt(record: Record) -> Result<Vec<String>, String> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let own = seed.is_multiple_of(2);
    let mut deployment = Deployment::small();
    deployment.classes[2].2 = own;
    if std::env::var("QUIET").is_ok() {
        deployment.classes.iter_mut().for_each(|class| class.2 = true);
        deployment.rate = 2.0;
    }
    if seed.is_multiple_of(5) {
        (deployment.channel_rate, deployment.pending_max, deployment.messages_most) = (800.0, 1600.0, 30);
    }
    let zones = deployment.zones.clone();
    let managers: usize = std::env::var("MANAGERS").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    deployment.managers = managers;
    let mut workers: Vec<Listed> = Vec::new();
    for index in 0..15 {
        workers.push(listed(&format!("s-{index}"), zones[index % 3], Phase::Ready, 1.0));
    }
    let mut world = World::new(record, deployment, &workers)?;
    world.seed(seed);
    let operator = std::env::var("OPERATOR").is_ok();
    let northbound = if operator { Some(world.northbound(0)?) } else { None };
    let known = world.discovery.whole();
    for site in 0..managers {
        world.start_manager(site, &known)?;
    }
    world.run_for(5000.0)?;
    let kinds = [
        "deploy",
        "reconnect",
        "flap",
        "proxies",
        "managers",
        "stall",
        "slow",
        "spoilt",
        "cut",
        "silent",
        "undrain",
        "kill",
    ];
    let mut chosen: Vec<&str> = Vec::new();
    while chosen.len() < 3 {
        let kind = kinds[(world.random() * kinds.len() as f64) as usize];
        if operator && (kind == "managers" || kind == "kill") {
            continue;
        }
        if !chosen.contains(&kind) {
            chosen.push(kind);
        }
    }
    if operator {
        chosen[0] = "operator";
    }
    if managers > 1 {
        chosen[1] = "rehome";
        if !chosen.contains(&"managers") && !chosen.contains(&"kill") {
            chosen[0] = if seed.is_multiple_of(3) { "kill" } else { "managers" };
        }
    }
    world.record.line(format!("troubles: {chosen:?}"));
    let has = |kind: &str| chosen.contains(&kind);
    if has("slow") {
        world.slow = 2.2 + world.random() * 2.8;
        world.limit_factor = world.slow;
    }
    if has("spoilt") {
        world.spoilt_acks = 0.15;
    }
    let end = world.record.now() + 60_000.0;
    let mut next: std::collections::BTreeMap<&str, f64> = Default::default();
    let mut later: Vec<(f64, Listed)> = Vec::new();
    let mut number = 15;
    while world.record.now() < end {
        world.run_for(50.0)?;
        let now = world.record.now();
        let due: Vec<Listed> =
            later.iter().filter(|(at, _)| *at <= now).map(|(_, listed)| listed.clone()).collect();
        later.retain(|(at, _)| *at > now);
        for mut one in due {
            if one.started_at_ms > 0.0 {
                one.started_at_ms = crate::world::unix_ms();
            }
            world.publish(&[one]);
        }
        for kind in chosen.clone() {
            let at = *next.entry(kind).or_insert(now + 1000.0);
            if at > now {
                continue;
            }
            let ready: Vec<Listed> =
                world.discovery.workers().into_iter().filter(|one| one.phase == Phase::Ready).collect();
            let proxy = (world.random() * world.proxies.len() as f64) as usize;
            let draw = world.random();
            let wait = match kind {
                "deploy" => {
                    let leaving =
                        world.discovery.workers().iter().filter(|one| one.phase == Phase::Draining).count();
                    if leaving < 3 {
                        if let Some(one) =
                            ready.iter().min_by(|a, b| a.started_at_ms.total_cmp(&b.started_at_ms)).cloned()
                        {
                            world.publish(&[Listed { phase: Phase::Draining, ..one.clone() }]);
                            later.push((
                                now + 4800.0 + draw * 1200.0,
                                Listed { phase: Phase::Gone, started_at_ms: 0.0, ..one.clone() },
                            ));
                            let name = format!("s-{number}");
                            number += 1;
                            later.push((
                                now + 800.0 + draw * 1400.0,
                                Listed { name, phase: Phase::Ready, started_at_ms: 1.0, ..one },
                            ));
                        }
                    }
                    1300.0 + draw * 1000.0
                }
                "rehome" => {
                    for index in 0..world.proxies.len() {
                        if world.random() < 0.3 {
                            world.end_stream(index, false, "goes to another manager");
                            world.proxies[index].manager = (world.random() * managers as f64) as usize;
                        }
                    }
                    3000.0 + draw * 8000.0
                }
                "reconnect" => {
                    for index in 0..world.proxies.len() {
                        if world.random() < 0.2 + 0.6 * draw {
                            world.end_stream(index, false, "broken");
                        }
                    }
                    4000.0 + draw * 10_000.0
                }
                "flap" => {
                    world.end_stream(proxy, false, "broken");
                    1000.0 + draw * 3000.0
                }
                "proxies" => {
                    world.restart_proxy(proxy);
                    1500.0 + draw * 2000.0
                }
                "managers" => {
                    let site = (world.random() * managers as f64) as usize;
                    world.restart_manager(site)?;
                    9000.0 + draw * 10_000.0
                }
                "kill" => {
                    let site = (world.random() * managers as f64) as usize;
                    world.kill_manager(site)?;
                    9000.0 + draw * 10_000.0
                }
                "stall" => {
                    for index in 0..world.proxies.len() {
                        if world.random() < 0.8 {
                            world.stalled_until.insert(index, now + 1200.0 + draw * 800.0);
                        }
                    }
                    2500.0 + draw * 2000.0
                }
                "cut" => {
                    if world.cut_until.is_empty() {
                        for index in 0..world.proxies.len() {
                            if world.random() < 0.4 {
                                let time = 7200.0 + world.random() * 10_000.0;
                                world.cut(index, time);
                            }
                        }
                    }
                    12_000.0 + draw * 8000.0
                }
                "silent" => {
                    // Some workers vanish, and come back cold.
                    for one in ready.iter().filter(|_| draw > 0.2).take(3) {
                        world.publish(&[Listed { phase: Phase::Gone, ..one.clone() }]);
                        later.push((
                            now + 6000.0 + draw * 10_000.0,
                            Listed { phase: Phase::Ready, started_at_ms: 1.0, ..one.clone() },
                        ));
                    }
                    12_000.0 + draw * 8000.0
                }
                "undrain" => {
                    // Some workers drain and are ready again, without a restart.
                    if ready.len() > 8 {
                        let one = ready[(world.random() * ready.len() as f64) as usize].clone();
                        world.publish(&[Listed { phase: Phase::Draining, ..one.clone() }]);
                        later.push((now + 500.0 + draw * 8000.0, one));
                    }
                    700.0 + draw * 3000.0
                }
                "operator" => {
                    let northbound = northbound.as_ref().expect("a northbound");
                    let drained: Vec<String> = world.operator_drained.iter().cloned().collect();
                    if !drained.is_empty() && (draw < 0.5 || drained.len() > 4) {
                        let name = drained[(world.random() * drained.len() as f64) as usize].clone();
                        let edit = northbound.edit_workers(
                            "edit.xml",
                            &format!("<worker><name>{name}</name><wanted>follow</wanted></worker>"),
                        )?;
                        if world.finish(edit, 10_000.0)?.0 {
                            world.operator_drained.remove(&name);
                        }
                    } else {
                        let one = ready[(world.random() * ready.len() as f64) as usize].clone();
                        let wanted = if world.random() < 0.5 { "draining" } else { "out" };
                        let edit = northbound.edit_workers(
                            "edit.xml",
                            &format!("<worker><name>{}</name><wanted>{wanted}</wanted></worker>", one.name),
                        )?;
                        world.operator_drained.insert(one.name.clone());
                        if !world.finish(edit, 10_000.0)?.0 {
                            world.operator_drained.remove(&one.name);
                        }
                    }
                    400.0 + draw * 3000.0
                }
                _ => 1e9,
            };
            next.insert(kind, now + wait);
        }
    }
    let text = format!("{chosen:?}");
    world.take_log(0);
    Ok(world.violations.into_iter().map(|violation| format!("{text} {violation}")).collect())
}

/// Two operators change the configuration with the project's command line: bob's change is sound, carol's would leave
/// an operation without a worker. With the disruption the second comes while the first is under way.
fn two_operators(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    const ROUNDS: u32 = 400;
    const LIMIT_MS: f64 = 75_000.0;
    let mut world = World::new(record, Deployment::small(), &six_workers(1.0))?;
    let northbound = world.northbound(0)?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(3000.0)?;
    let sound = "<worker><name>s-m1</name><wanted>draining</wanted></worker>";
    let undo = "<worker><name>s-m1</name><wanted>follow</wanted></worker>";
    let unsound = "<worker><name>s-g1</name><wanted>draining</wanted></worker><worker><name>s-g2</name><wanted>draining</wanted></worker>";
    // Bob prepares his change, looks at it and commits it some seconds later.
    world.record.line("bob prepares the drain of s-m1 in the candidate");
    let prepared = northbound.edit_workers_with("bob.xml", sound, "--no-commit")?;
    if !world.finish(prepared, 10_000.0)?.0 {
        return Err("the change could not be prepared".into());
    }
    world.finish(northbound.command("config diff")?, 10_000.0)?;
    if trouble {
        world.record.line("carol drains s-g1 and s-g2, all that gulberg has");
        let carol = world.finish(northbound.edit_workers("carol.xml", unsound)?, 10_000.0)?;
        if carol.0 {
            world.violations.push(
                "carol's change was accepted, which leaves final-submit without a worker in gulberg".into(),
            );
        }
    }
    world.run_for(2000.0)?;
    world.record.line("bob commits");
    let bob = world.finish(northbound.command("config commit")?, 10_000.0)?;
    judge(&mut world, &northbound, bob.0, "bob's prepared change")?;
    world.finish(northbound.edit_workers("bob.xml", undo)?, 10_000.0)?;
    // Both change and commit with one command each.
    let start = world.record.now();
    let before = world.violations.len();
    for round in 0..ROUNDS {
        if world.record.now() > start + LIMIT_MS || world.violations.len() > before {
            break;
        }
        world.record.line(format!("round {round}: bob drains s-m1; carol drains s-g1 and s-g2"));
        let bob = northbound.edit_workers("bob.xml", sound)?;
        let (bob, carol) = if trouble {
            let carol = northbound.edit_workers("carol.xml", unsound)?;
            (world.finish(bob, 10_000.0)?, world.finish(carol, 10_000.0)?)
        } else {
            let bob = world.finish(bob, 10_000.0)?;
            (bob, world.finish(northbound.edit_workers("carol.xml", unsound)?, 10_000.0)?)
        };
        if carol.0 {
            world.violations.push(format!("round {round}: carol's change was accepted"));
        }
        judge(
            &mut world,
            &northbound,
            bob.0,
            &format!("round {round}: bob's change, committed by the same command"),
        )?;
        if !world.finish(northbound.edit_workers("bob.xml", undo)?, 10_000.0)?.0 {
            return Err("the drain could not be ended".into());
        }
    }
    world.take_log(0);
    Ok(world.violations)
}

/// Whether a drain of s-m1 that was accepted is running.
fn judge(
    world: &mut World,
    northbound: &crate::manager::Northbound,
    accepted: bool,
    what: &str,
) -> Result<(), String> {
    let (read, running) = world.finish(northbound.command("config get /workers")?, 10_000.0)?;
    if !read {
        return Err(format!("running could not be read: {running}"));
    }
    let is_running = running.contains("s-m1") && running.contains("draining");
    world.record.line(format!("{what}: accepted {accepted}, running {is_running}"));
    if accepted && !is_running {
        world.violations.push(format!(
            "{what}, the drain of s-m1, was accepted (exit code 0), and nothing of it is running"
        ));
    }
    Ok(())
}

/// An operator drains a worker and waits for the manager's word that all proxies hold it, while one proxy's stream breaks
/// and comes back.
fn held(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut world = World::new(record, Deployment::small(), &six_workers(1.0))?;
    let northbound = world.northbound(0)?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    // Messages to proxy 4 take the longest time of the settings.
    world.transit_of.insert(4, world.deployment.worst_transit_ms);
    world.run_for(6000.0)?;
    let (_watch, events) = northbound.watch(&world.record)?;
    world.run_for(1500.0)?;
    world.record.line("the operator drains s-m1, over NETCONF");
    let edit =
        northbound.edit_workers("edit.xml", "<worker><name>s-m1</name><wanted>draining</wanted></worker>")?;
    if trouble {
        // The stream breaks with the order on its way; the proxy dials again at once.
        while !world.ordered_out.contains("s-m1") {
            world.run_for(1.0)?;
            if world.record.now() > 20_000.0 {
                return Err("no proxy was ordered to shut out s-m1".into());
            }
        }
        world.end_stream(4, false, "reset on the way");
        world.proxies[4].redial_at = world.record.now() + 130.0;
    }
    if !world.finish(edit, 10_000.0)?.0 {
        return Err("the drain was refused".into());
    }
    let deadline = world.record.now() + 10_000.0;
    loop {
        world.run_for(1.0)?;
        if world.record.now() > deadline {
            return Err("the change is not held within 10 s".into());
        }
        if !events.try_iter().any(|(_, line)| line.contains("change-held")) {
            continue;
        }
        let joined = world.proxies.iter().filter(|proxy| proxy.joined_since.is_some());
        let sending: Vec<usize> = joined
            .filter(|proxy| {
                proxy
                    .tables
                    .keys()
                    .any(|class| proxy.pickable(class).iter().any(|(worker, _)| *worker == "s-m1"))
            })
            .map(|proxy| proxy.number)
            .collect();
        world.record.line(format!("the manager says that every joined proxy holds the change; proxies that may still pick s-m1: {sending:?}"));
        if !sending.is_empty() {
            world.violations.push(format!("the manager says that every joined proxy holds the drain of s-m1, and proxies {sending:?}, which have joined, may still pick it"));
        }
        break;
    }
    let (_, state) = world.finish(northbound.command("state /state/changes")?, 10_000.0)?;
    world.record.line(format!("the state: {state}"));
    world.run_for(3000.0)?;
    world.take_log(0);
    Ok(world.violations)
}

/// A fleet of three managers with schedules; managers are ended, killed and stopped at random. The seed is in SEED.
fn council(record: Record) -> Result<Vec<String>, String> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let signals = std::env::var("SIGNALS").unwrap_or("TERM,KILL,STOP".into());
    let signals: Vec<&str> = signals.split(',').collect();
    let schedules: String = ["idempotent", "side-effecting"]
        .iter()
        .flat_map(|effect| (0..3).map(move |index| format!("<schedule><name>{effect}-{index}</name><cron>* * * * * *</cron><worker>WORKER</worker><path>/run</path><effect>{effect}</effect></schedule>")))
        .collect();
    let mut council = crate::council::Council::new(
        record.clone(),
        &schedules,
        "<heartbeat>100</heartbeat><election>500</election><entries>16</entries>",
    )?;
    for index in 0..3 {
        council.start(index)?;
    }
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    std::thread::sleep(std::time::Duration::from_secs(6));
    while record.now() < 85_000.0 {
        let index = (random() * 3.0) as usize;
        let pause = std::time::Duration::from_secs_f64(0.2 + random() * 3.0);
        match signals[(random() * signals.len() as f64) as usize] {
            "TERM" => {
                council.stop(index);
                std::thread::sleep(pause / 2);
                council.start(index)?;
            }
            "KILL" => {
                council.signal(index, "KILL");
                council.managers[index] = None;
                std::thread::sleep(pause);
                council.start(index)?;
            }
            _ => {
                council.signal(index, "STOP");
                std::thread::sleep(pause);
                council.signal(index, "CONT");
            }
        }
        std::thread::sleep(std::time::Duration::from_secs_f64(1.0 + random() * 3.0));
    }
    std::thread::sleep(std::time::Duration::from_secs(4));
    council.take_logs();
    let mut violations = Vec::new();
    let runs = council.executor.runs();
    record.line(format!("{} requests", runs.len()));
    for (number, run) in runs.iter().enumerate().filter(|(_, run)| run.status == 200) {
        let again = runs[..number]
            .iter()
            .filter(|earlier| earlier.status == 200)
            .find(|earlier| (&earlier.schedule, earlier.due) == (&run.schedule, run.due));
        if let Some(earlier) = again {
            violations.push(format!(
                "{} of {} ran with fencing token {} at {:.0} and again with {} at {:.0}",
                run.schedule, run.due, earlier.fence, earlier.at, run.fence, run.at
            ));
        }
    }
    Ok(violations)
}

/// A manager behind two relays that are killed, stopped and restarted at random, while the list changes. At the end the
/// proxies' tables have to be those of the list. The seed is in SEED.
fn relays(record: Record) -> Result<Vec<String>, String> {
    use crate::manager::{free_address, Relay};
    let seed: u64 = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut deployment = Deployment::small();
    deployment.classes[2].2 = false;
    (deployment.messages_most, deployment.rate) = (0, 20.0);
    let zones = deployment.zones.clone();
    let scope = &zones[..2];
    let mut workers: Vec<Listed> =
        (0..40).map(|index| listed(&format!("s-{index}"), zones[index % 3], Phase::Ready, 1.0)).collect();
    let mut world = World::new(record.clone(), deployment, &workers)?;
    world.deployment.messages_most = usize::MAX;
    world.seed(seed);
    let options = if seed.is_multiple_of(2) { "--chunk-kib 4" } else { "" };
    let addresses = [free_address()?, free_address()?];
    let source = world.discovery.address;
    let folder = world.folder.0.clone();
    let start = |index: usize| Relay::start(addresses[index], source, &folder, options);
    let mut relays = [Some(start(0)?), Some(start(1)?)];
    let file = folder.join("operator.xml");
    let text = format!(
        r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><discovery xmlns="tag:juniperrail.example,2026:yang:manager"><relay>{}</relay><relay>{}</relay><scope><zone>{}</zone><zone>{}</zone></scope></discovery></config>"#,
        addresses[0], addresses[1], scope[0], scope[1]
    );
    std::fs::write(&file, text).map_err(|error| error.to_string())?;
    world.set_operator_file(0, file);
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(3000.0)?;
    let mut stopped: [Option<f64>; 2] = [None, None];
    let end = world.record.now() + 60_000.0;
    while world.record.now() < end {
        let pause = world.random() * 150.0;
        world.run_for(pause)?;
        let now = world.record.now();
        let many = if world.random() < 0.1 { 20 } else { 1 + (world.random() * 3.0) as usize };
        let mut changes: Vec<Listed> = Vec::new();
        for _ in 0..many {
            let index = (world.random() * workers.len() as f64) as usize;
            let draw = world.random();
            let one = &mut workers[index];
            if changes.iter().any(|other| other.name == one.name) {
                continue;
            }
            if one.phase == Phase::Gone {
                one.started_at_ms = crate::world::unix_ms() - 60_000.0;
                one.phase = Phase::Ready;
            } else if draw < 0.3 {
                one.phase = if one.phase == Phase::Ready { Phase::Draining } else { Phase::Ready };
            } else if draw < 0.5 {
                one.phase = Phase::Gone;
            } else {
                one.zone = zones[(world.random() * 3.0) as usize].to_string();
            }
            changes.push(one.clone());
        }
        world.publish(&changes);
        let index = (world.random() * 2.0) as usize;
        let draw = world.random();
        if stopped[index].is_some_and(|until| until <= now) {
            stopped[index] = None;
            match &relays[index] {
                Some(relay) => relay.signal("CONT"),
                None => relays[index] = Some(start(index)?),
            }
        } else if stopped[index].is_none() && draw < 0.03 {
            world.record.line(format!("relay {index} is killed"));
            relays[index] = None;
            stopped[index] = Some(now + world.random() * 3000.0);
        } else if stopped[index].is_none() && draw < 0.05 {
            world.record.line(format!("relay {index} is stopped"));
            if let Some(relay) = &relays[index] {
                relay.signal("STOP");
            }
            stopped[index] = Some(now + world.random() * 8000.0);
        } else if draw > 0.97 {
            world.record.line("discovery resets all watches");
            world.discovery.drop_watches();
        }
    }
    for (index, relay) in relays.iter_mut().enumerate() {
        match relay {
            Some(relay) => relay.signal("CONT"),
            None => *relay = Some(start(index)?),
        }
    }
    world.run_for(20_000.0)?;
    let expected: std::collections::BTreeSet<String> = workers
        .iter()
        .filter(|one| one.phase == Phase::Ready && scope.contains(&one.zone.as_str()))
        .map(|one| one.name.clone())
        .collect();
    for index in 0..world.proxies.len() {
        let held: std::collections::BTreeSet<String> = world.proxies[index]
            .pickable("quick-check")
            .iter()
            .map(|(worker, _)| worker.to_string())
            .collect();
        if held != expected {
            let more: Vec<&String> = held.difference(&expected).collect();
            let less: Vec<&String> = expected.difference(&held).collect();
            world
                .violations
                .push(format!("proxy {index} may pick {more:?}, which it should not, and lacks {less:?}"));
        }
    }
    world.take_log(0);
    for address in addresses {
        let log =
            std::fs::read_to_string(folder.join(format!("relay-{}.log", address.port()))).unwrap_or_default();
        log.lines().for_each(|line| record.line(format!("log of relay {address}: {line}")));
    }
    let changed = world.violations.into_iter().filter(|violation| violation.starts_with("proxy")).collect();
    Ok(changed)
}

/// The worker of a zone comes back after an operator's drain, and one proxy's answer to the message with its line is
/// spoilt.
fn spoilt_answer(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut deployment = Deployment::small();
    deployment.classes.iter_mut().for_each(|class| class.2 = true);
    let mut world = World::new(record, deployment, &six_workers(1.0))?;
    let northbound = world.northbound(0)?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(8000.0)?;
    world.record.line("the operator drains s-g2, over NETCONF");
    let edit =
        northbound.edit_workers("edit.xml", "<worker><name>s-g2</name><wanted>draining</wanted></worker>")?;
    if !world.finish(edit, 10_000.0)?.0 {
        return Err("the drain was refused".into());
    }
    world.operator_drained.insert("s-g2".into());
    world.run_for(6000.0)?;
    world.publish(&[listed("s-g1", "gulberg", Phase::Draining, 1.0)]);
    world.run_for(5000.0)?;
    world.publish(&[listed("s-g1", "gulberg", Phase::Gone, 1.0)]);
    world.run_for(6000.0)?;
    world.record.line("the operator ends the drain of s-g2, over NETCONF");
    let edit =
        northbound.edit_workers("edit.xml", "<worker><name>s-g2</name><wanted>follow</wanted></worker>")?;
    if !world.finish(edit, 10_000.0)?.0 {
        return Err("the end of the drain was refused".into());
    }
    world.operator_drained.clear();
    if trouble {
        world.spoil_next.insert(0);
    }
    world.run_for(25_000.0)?;
    world.take_log(0);
    Ok(world.violations)
}

/// The operator's file wants a worker ready; later discovery lists it as draining, which counts as the later word. Then the
/// manager is restarted as planned.
fn wanted_ready(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut world = World::new(record, Deployment::small(), &six_workers(1.0))?;
    let northbound = world.northbound_with(0, "<worker><name>s-j1</name><wanted>ready</wanted></worker>")?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(6000.0)?;
    world.publish(&[listed("s-j1", "johar-town", Phase::Draining, 1.0)]);
    world.run_for(6000.0)?;
    if trouble {
        world.restart_manager(0)?;
    }
    world.run_for(3000.0)?;
    let state = northbound.command("state /state/workers")?;
    world.finish(state, 10_000.0)?;
    world.run_for(9000.0)?;
    world.take_log(0);
    Ok(world.violations)
}

/// The stream of one proxy breaks again and again for some seconds and then stays; then a worker drains.
fn flapping(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let breaks: u32 = std::env::var("BREAKS").ok().and_then(|text| text.parse().ok()).unwrap_or(11);
    let mut world = World::new(record, Deployment::small(), &six_workers(1.0))?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(12_000.0)?;
    if trouble {
        for _ in 0..breaks {
            world.end_stream(4, false, "reset on the way");
            world.proxies[4].redial_at = world.record.now() + 130.0;
            world.run_for(300.0)?;
        }
    }
    world.run_for(1000.0)?;
    world.publish(&[listed("s-j1", "johar-town", Phase::Draining, 1.0)]);
    world.run_for(12_000.0)?;
    world.take_log(0);
    Ok(world.violations)
}

/// An operator gives one of a zone's two workers next to nothing; then the other drains.
fn canary(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut world = World::new(record, Deployment::small(), &six_workers(1.0))?;
    let northbound = world.northbound(0)?;
    let known = world.discovery.whole();
    world.start_manager(0, &known)?;
    world.run_for(6000.0)?;
    world.record.line("the operator gives s-g2 the weight 0.0004, over NETCONF");
    let edit =
        northbound.edit_workers("edit.xml", "<worker><name>s-g2</name><weight>0.0004</weight></worker>")?;
    if !world.finish(edit, 10_000.0)?.0 {
        return Err("the weight was refused".into());
    }
    world.run_for(6000.0)?;
    if trouble {
        world.publish(&[listed("s-g1", "gulberg", Phase::Draining, 1.0)]);
    }
    world.run_for(5000.0)?;
    if trouble {
        world.publish(&[listed("s-g1", "gulberg", Phase::Gone, 1.0)]);
    }
    world.run_for(10_000.0)?;
    let state = northbound.command("state /state/workers")?;
    world.finish(state, 10_000.0)?;
    world.take_log(0);
    Ok(world.violations)
}

/// A member that was restarted twice loses its store; later another member is killed. Two of three are up then.
fn lost_store(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let pause = |seconds: u64| std::thread::sleep(std::time::Duration::from_secs(seconds));
    let schedule = "<schedule><name>warm</name><cron>* * * * * *</cron><worker>WORKER</worker><path>/run</path><effect>side-effecting</effect></schedule>";
    let mut council = crate::council::Council::new(record.clone(), schedule, "")?;
    for index in 0..3 {
        council.start(index)?;
    }
    pause(8);
    for _ in 0..2 {
        council.stop(2);
        council.start(2)?;
        pause(3);
    }
    council.kill(2, trouble)?;
    council.start(2)?;
    pause(20);
    council.kill(0, false)?;
    pause(15);
    let since = record.now();
    pause(15);
    council.take_logs();
    let executed = council.executor.runs().iter().filter(|run| run.at > since && run.status == 200).count();
    record.line(format!("{executed} occurrences were executed in the last 15 s"));
    let stands_still = String::from("two of three managers are up, and no occurrence is executed from 15 s to 30 s after the third was killed");
    Ok(if executed == 0 { vec![stands_still] } else { Vec::new() })
}
