//! The world around the managers: clients, proxies, collectors and workers, and the check of the rules.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::process::Child;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::discovery::{Discovery, Listed, Phase};
use crate::manager::{Folder, Launch, Manager, Northbound};
use crate::proxy::{Part, Proxy, Stream, Table};
use crate::record::Record;

/// What the settings of a deployment say, as far as the stand-ins need it.
#[derive(Clone)]
pub struct Deployment {
    pub zones: Vec<&'static str>,
    /// Name, share of the invocations, own zone only.
    pub classes: Vec<(&'static str, f64, bool)>,
    pub proxies: usize,
    /// Invocations a second of all proxies.
    pub rate: f64,
    pub managers: usize,
    pub channel_rate: f64,
    pub pending_max: f64,
    pub overhead: f64,
    pub messages_most: usize,
    pub counted_over_ms: f64,
    pub transit_ms: f64,
    pub worst_transit_ms: f64,
    pub period_ms: f64,
    pub bare_ms: f64,
    pub drain_grace_ms: f64,
    pub warm_up_ms: f64,
}

impl Deployment {
    /// Like `lahore-checking` today, with the example's figures of the page on the wire.
    pub fn small() -> Deployment {
        Deployment {
            zones: vec!["gulberg", "johar-town", "model-town"],
            classes: vec![
                ("quick-check", 0.49, false),
                ("full-check", 0.36, false),
                ("final-submit", 0.15, true),
            ],
            proxies: 9,
            rate: 62.0,
            managers: 1,
            channel_rate: 5500.0,
            pending_max: 5500.0,
            overhead: 4.0,
            messages_most: 12,
            counted_over_ms: 10_000.0,
            transit_ms: 390.0,
            worst_transit_ms: 975.0,
            period_ms: 2000.0,
            bare_ms: 7300.0,
            drain_grace_ms: 3000.0,
            warm_up_ms: 18_000.0,
        }
    }

    /// The settings of a manager, as JSON.
    pub fn settings(&self, number: usize) -> String {
        let quoted =
            |names: &[&str]| names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
        let lanes = self.classes.iter().map(|(name, ..)| {
            let (aim, deadline, worth, semantics) = match *name {
                "full-check" => (1000, 2500, 1, "read_like"),
                "final-submit" => (600, 2000, 3, "non_idempotent"),
                _ => (600, 2000, 1, "read_like"),
            };
            format!(r#"{{"name":"{name}","on-time-ms":{aim}.0,"deadline-ms":{deadline}.0,"worth":{worth}.0,"semantics":"{semantics}","late-share":0.1,"group":"all","dedup-window-ms":5000.0}}"#)
        });
        let lanes = lanes.collect::<Vec<_>>().join(",");
        let own_zone = self.classes.iter().map(|(.., own)| own.to_string()).collect::<Vec<_>>().join(",");
        let writers = self
            .classes
            .iter()
            .map(|(name, ..)| (*name == "final-submit").to_string())
            .collect::<Vec<_>>()
            .join(",");
        let (zones, az) = (quoted(&self.zones), self.zones[number % self.zones.len()]);
        let Deployment { proxies, managers, channel_rate, pending_max, overhead, messages_most, .. } = self;
        let Deployment { counted_over_ms, transit_ms, worst_transit_ms, period_ms, bare_ms, .. } = self;
        let Deployment { drain_grace_ms, warm_up_ms, .. } = self;
        format!(
            r#"{{"allowed":{{"conn-idle-ms":15000.0,"cpu-us-per-s":686657,"dial-timeout-ms":250.0,"may-tell":false,"probing":true,"streams-per-conn":100}},"az":"{az}","charges":{{"connection":0.02,"cross-zone":0.01,"handshake":0.02,"late-fail":0.05,"moves":0.0,"peer":0.0,"probe":0.02,"registry-mode":0.0,"waste":0.05}},"domain":{{"bare-ms":{bare_ms:.1},"base-mode":1,"bootstrap":10,"buffer-for-ms":300.0,"channel-rate":{channel_rate:.1},"class-own-zone":[{own_zone}],"cost-per-line":0.04,"counted-over-ms":{counted_over_ms:.1},"keeps-writing-ms":2500.0,"key-ranges":0,"level-kind":"rate","lingers-ms":2020.0,"messages-most":{messages_most},"min-conn-cap":114.0,"move-price":0.01,"outlier-after":0,"overhead":{overhead:.1},"pending-max":{pending_max:.1},"period-ms":{period_ms:.1},"proxy-count":{proxies},"reports-per-s":400.0,"selects-by":"weighted","single-writer":false,"transit-ms":{transit_ms:.1},"try-aims":0.8,"warm-keys":false,"worst-transit-ms":{worst_transit_ms:.1},"writers":[{writers}],"zonal":true}},"lanes":[{lanes}],"my-number":{number},"n-instances":{managers},"registry-mode":"push","report":{{"fields":["utilization","outstanding","recent_ms"],"via":"probe"}},"result-mix":{{"tail":0.2,"tail-miss":0.15,"whole":0.5,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.2}},"rules":{{"cold-share":0.29,"drain-grace-ms":{drain_grace_ms:.1},"fall-ms":3000.0,"must-ask-in-ms":10000.0,"overload-factor":4.0,"warm-up-ms":{warm_up_ms:.1}}},"skus":["single-core"],"tick-ms":2.0,"value-by":"request","weights":"nominal","workload":"control","zones":[{zones}]}}"#
        )
    }
}

/// Slack that the page on the protocol adds to the time limits.
const SLACK_MS: f64 = 300.0;
/// Time limits start no earlier than this after the manager's first answer.
const AFTER_FIRST_ANSWER_MS: f64 = 1000.0;
/// Usual service time of a worker, and the time after which a client's try is given up.
const SERVICE_MS: f64 = 130.0;
const GIVE_UP_MS: f64 = 1500.0;

enum Inbound {
    Line(usize, u64, String),
    End(usize, u64),
}

/// One manager and what the platform knows of it.
pub struct Site {
    launch: Launch,
    pub manager: Option<Manager>,
    runs: u32,
    answered_at: f64,
    /// When the channel will have sent all that entered it, and the messages that have not left it yet.
    channel_free_at: f64,
    channel: VecDeque<(f64, f64)>,
    collectors: BTreeMap<String, TcpStream>,
}

struct Try {
    proxy: usize,
    class: usize,
    worker: String,
    started: f64,
    ends: f64,
    succeeds: bool,
    may_repeat: bool,
}

pub struct World {
    /// How much slower the channels are than usual; the time limits grow by as much.
    pub slow: f64,
    pub limit_factor: f64,
    /// Share of the answers to marks that lack a field.
    pub spoilt_acks: f64,
    /// Proxies whose next answer to a mark lacks its number.
    pub spoil_next: BTreeSet<usize>,
    /// Proxies whose streams carry nothing, until then.
    pub cut_until: BTreeMap<usize, f64>,
    pub stalled_until: BTreeMap<usize, f64>,
    /// Proxies whose messages take this long after they have left the channel.
    pub transit_of: BTreeMap<usize, f64>,
    /// Workers that an operator has drained.
    pub operator_drained: BTreeSet<String>,
    pub record: Record,
    pub deployment: Deployment,
    pub discovery: Discovery,
    pub folder: Folder,
    pub sites: Vec<Site>,
    pub proxies: Vec<Proxy>,
    /// Workers that take invocations and answer none.
    pub hanging: BTreeSet<String>,
    pub violations: Vec<String>,
    reported: BTreeSet<String>,
    classes: Vec<String>,
    sender: Sender<Inbound>,
    receiver: Receiver<Inbound>,
    last_stream: u64,
    tries: Vec<Try>,
    /// By zone of the proxies and worker: tries, errors, sum of the times of the rest.
    outcomes: BTreeMap<(usize, String, String), (u32, u32, f64)>,
    outcomes_at: f64,
    /// Reports on their way: when they arrive, the manager, the zone, the lines.
    reports: Vec<(f64, usize, String, String)>,
    ever_listed: BTreeSet<String>,
    random: u64,
    pub sends: BTreeMap<String, u64>,
    /// Workers that some proxy was ordered to shut out.
    pub ordered_out: BTreeSet<String>,
}

/// The time of day, in milliseconds of Unix time.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

/// The next number of a sequence, from 0 to below 1 (xorshift).
fn next_random(state: &mut u64) -> f64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 11) as f64 / (1_u64 << 53) as f64
}

/// An entry of the list of workers.
pub fn listed(name: &str, zone: &str, phase: Phase, weight: f64) -> Listed {
    Listed { name: name.into(), zone: zone.into(), phase, weight, started_at_ms: 0.0 }
}

impl World {
    pub fn new(record: Record, deployment: Deployment, workers: &[Listed]) -> Result<World, String> {
        let folder = Folder::create()?;
        let discovery = Discovery::start(&record, workers)?;
        let (sender, receiver) = channel();
        let classes: Vec<String> = deployment.classes.iter().map(|(name, ..)| name.to_string()).collect();
        let mut world = World {
            slow: 1.0,
            limit_factor: 1.0,
            spoilt_acks: 0.0,
            spoil_next: BTreeSet::new(),
            cut_until: BTreeMap::new(),
            stalled_until: BTreeMap::new(),
            transit_of: BTreeMap::new(),
            operator_drained: BTreeSet::new(),
            record,
            discovery,
            folder,
            sites: Vec::new(),
            proxies: Vec::new(),
            hanging: BTreeSet::new(),
            violations: Vec::new(),
            reported: BTreeSet::new(),
            classes,
            sender,
            receiver,
            last_stream: 0,
            tries: Vec::new(),
            outcomes: BTreeMap::new(),
            outcomes_at: deployment.period_ms,
            reports: Vec::new(),
            ever_listed: workers.iter().map(|listed| listed.name.clone()).collect(),
            random: 0x9e37_79b9_7f4a_7c15,
            sends: BTreeMap::new(),
            ordered_out: BTreeSet::new(),
            deployment,
        };
        for number in 0..world.deployment.proxies {
            let proxy = world.new_proxy(number);
            world.proxies.push(proxy);
        }
        for number in 0..world.deployment.managers {
            let launch = Launch {
                name: format!("n{number}"),
                listen: crate::manager::free_address()?,
                discovery: world.discovery.address,
                settings: world.deployment.settings(number),
                operator_file: None,
            };
            world.sites.push(Site {
                launch,
                manager: None,
                runs: 0,
                answered_at: f64::INFINITY,
                channel_free_at: 0.0,
                channel: VecDeque::new(),
                collectors: BTreeMap::new(),
            });
        }
        Ok(world)
    }

    /// Gives a manager an operator's file with a listener for NETCONF.
    pub fn northbound(&mut self, site: usize) -> Result<Northbound, String> {
        self.northbound_with(site, "")
    }

    /// The same, with these children of `<workers>` in the file.
    pub fn northbound_with(&mut self, site: usize, workers: &str) -> Result<Northbound, String> {
        let northbound = Northbound::create(&self.folder.0, workers)?;
        self.sites[site].launch.operator_file = Some(northbound.operator_file.clone());
        Ok(northbound)
    }

    /// A proxy restarts: it holds its standing table alone.
    pub fn restart_proxy(&mut self, index: usize) {
        self.end_stream(index, false, "the proxy restarts");
        let (now, manager) = (self.record.now(), self.proxies[index].manager);
        let proxy = self.new_proxy(index);
        self.proxies[index] = Proxy { redial_at: now + 400.0, manager, ..proxy };
    }

    /// A network cut between a proxy and its manager: nothing is said on the stream until its end.
    pub fn cut(&mut self, index: usize, for_ms: f64) {
        let now = self.record.now();
        self.record.line(format!("proxy {index} is cut off for {for_ms:.0} ms"));
        self.cut_until.insert(index, now + for_ms);
        let proxy = &mut self.proxies[index];
        (proxy.joined_since, proxy.bare_since) = (None, BTreeMap::new());
    }

    /// Gives a manager an operator's file.
    pub fn set_operator_file(&mut self, site: usize, file: std::path::PathBuf) {
        self.sites[site].launch.operator_file = Some(file);
    }

    fn new_proxy(&mut self, number: usize) -> Proxy {
        let zone = self.deployment.zones[number % self.deployment.zones.len()].to_string();
        let mut proxy = Proxy {
            number,
            zone,
            rate: self.deployment.rate / self.deployment.proxies as f64,
            manager: number % self.deployment.managers,
            tables: BTreeMap::new(),
            out: BTreeSet::new(),
            holds_ordered: false,
            stream: None,
            redial_at: 0.0,
            joined_since: None,
            last_applied_at: 0.0,
            message_times: VecDeque::new(),
            bare_since: BTreeMap::new(),
            next_arrival: BTreeMap::new(),
            demand: BTreeMap::new(),
            report_at: self.random() * self.deployment.period_ms,
            resets: 0,
        };
        // The standing table: listed workers of its zone, if three are there, else of all.
        let ready: Vec<Listed> =
            self.discovery.workers().into_iter().filter(|listed| listed.phase == Phase::Ready).collect();
        let own: Vec<&Listed> = ready.iter().filter(|listed| listed.zone == proxy.zone).collect();
        for (class, _, own_zone) in self.deployment.classes.clone() {
            let of_zone = own_zone || own.len() >= 3;
            let chosen = ready.iter().filter(|listed| !of_zone || listed.zone == proxy.zone).take(10);
            let lines = chosen.map(|listed| (listed.name.clone(), 1.0)).collect();
            proxy.tables.insert(class.into(), Table { lines, level: None, retry: 1 });
        }
        proxy
    }

    /// Starts the sequence of random numbers anew.
    pub fn seed(&mut self, seed: u64) {
        self.random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        (0..8).for_each(|_| _ = self.random());
    }

    /// A number from 0 to below 1.
    pub fn random(&mut self) -> f64 {
        next_random(&mut self.random)
    }

    /// Starts a manager (again). `known`: the list that it is told at its start.
    pub fn start_manager(&mut self, site: usize, known: &str) -> Result<(), String> {
        let run = self.sites[site].runs;
        self.record.line(format!("manager {site} starts, run {run}"));
        let manager = Manager::start(&self.sites[site].launch, &self.folder.0, known, run)?;
        let now = self.record.now();
        let site_state = &mut self.sites[site];
        site_state.manager = Some(manager);
        site_state.runs += 1;
        (site_state.answered_at, site_state.channel_free_at) = (now, now);
        site_state.channel.clear();
        self.record.line(format!("manager {site} answers alive"));
        Ok(())
    }

    /// A planned restart: SIGTERM, the end, and a new start 0.8 s later at the soonest.
    pub fn restart_manager(&mut self, site: usize) -> Result<(), String> {
        let known = self.discovery.whole();
        self.record.line(format!("manager {site}: SIGTERM"));
        if let Some(manager) = &self.sites[site].manager {
            manager.signal("TERM");
        }
        self.sites[site].answered_at = f64::INFINITY;
        for proxy in self.proxies.iter_mut().filter(|proxy| proxy.manager == site) {
            (proxy.joined_since, proxy.bare_since) = (None, BTreeMap::new());
        }
        self.run_for(800.0)?;
        // Ends it where it has not ended yet.
        self.take_log(site);
        self.sites[site].manager = None;
        self.start_manager(site, &known)
    }

    /// A manager is killed outright, and starts again a second later.
    pub fn kill_manager(&mut self, site: usize) -> Result<(), String> {
        let known = self.discovery.whole();
        self.record.line(format!("manager {site}: SIGKILL"));
        self.take_log(site);
        self.sites[site].answered_at = f64::INFINITY;
        self.sites[site].manager = None;
        for proxy in self.proxies.iter_mut().filter(|proxy| proxy.manager == site) {
            (proxy.joined_since, proxy.bare_since) = (None, BTreeMap::new());
        }
        self.run_for(1000.0)?;
        self.start_manager(site, &known)
    }

    /// Adds a manager's log to the record.
    pub fn take_log(&mut self, site: usize) {
        let Some(manager) = &self.sites[site].manager else { return };
        let log = fs::read_to_string(&manager.log).unwrap_or_default();
        log.lines().for_each(|line| self.record.line(format!("log of manager {site}: {line}")));
    }

    /// Publishes changes of the list.
    pub fn publish(&mut self, changes: &[Listed]) {
        self.ever_listed.extend(changes.iter().map(|listed| listed.name.clone()));
        self.discovery.publish(changes);
    }

    /// Lets the world run until a command has ended; returns whether it succeeded, and what it printed.
    pub fn finish(&mut self, mut child: Child, limit_ms: f64) -> Result<(bool, String), String> {
        let deadline = self.record.now() + limit_ms;
        loop {
            if let Some(status) = child.try_wait().map_err(|error| error.to_string())? {
                crate::manager::note_ended(child.id());
                let output = child.wait_with_output().map_err(|error| error.to_string())?;
                let printed = [output.stdout, output.stderr].concat();
                let printed = String::from_utf8_lossy(&printed).into_owned();
                self.record.line(format!("the command ended with {status}: {}", printed.trim()));
                return Ok((status.success(), printed));
            }
            if self.record.now() > deadline {
                _ = child.kill();
                _ = child.wait();
                crate::manager::note_ended(child.id());
                return Err("a command did not end in time".into());
            }
            self.run_for(10.0)?;
        }
    }

    pub fn run_for(&mut self, duration_ms: f64) -> Result<(), String> {
        let end = self.record.now() + duration_ms;
        while self.record.now() < end {
            if let Ok(inbound) = self.receiver.recv_timeout(Duration::from_millis(2)) {
                self.receive(inbound);
                while let Ok(inbound) = self.receiver.try_recv() {
                    self.receive(inbound);
                }
            }
            self.tick();
            for (number, site) in self.sites.iter_mut().enumerate() {
                if let Some(status) = site.manager.as_mut().and_then(Manager::ended) {
                    if site.answered_at.is_finite() {
                        self.violations.push(format!("manager {number} has ended: {status}"));
                        return Err(format!("manager {number} has ended: {status}"));
                    }
                }
            }
        }
        Ok(())
    }

    fn tick(&mut self) {
        let now = self.record.now();
        let healed: Vec<usize> =
            self.cut_until.iter().filter(|(_, until)| **until <= now).map(|(index, _)| *index).collect();
        for index in healed {
            self.cut_until.remove(&index);
            self.end_stream(index, false, "reset as the cut ends");
        }
        for index in 0..self.proxies.len() {
            self.dial(index, now);
            self.apply_due(index, now);
            self.send_invocations(index, now);
            self.report_demand(index, now);
            self.check_bare(index, now);
        }
        self.end_tries(now);
        self.collect(now);
    }

    /// Ends a proxy's stream. `lost_by_manager`: it ends because of what the manager did, so the time limits go on.
    pub fn end_stream(&mut self, index: usize, lost_by_manager: bool, why: &str) {
        let now = self.record.now();
        // Noticed, then dialled again within 0.13 to 1.9 s.
        let wait = 130.0 + self.random() * 870.0;
        let proxy = &mut self.proxies[index];
        let Some(stream) = proxy.stream.take() else { return };
        _ = stream.socket.shutdown(Shutdown::Both);
        proxy.redial_at = now + wait;
        if !lost_by_manager {
            (proxy.joined_since, proxy.bare_since) = (None, BTreeMap::new());
        }
        self.record.line(format!("proxy {index}: the stream ends: {why}"));
    }

    fn dial(&mut self, index: usize, now: f64) {
        let is_down = |site: &Site| site.manager.is_none() || !site.answered_at.is_finite();
        if self.proxies[index].stream.is_none() && is_down(&self.sites[self.proxies[index].manager]) {
            // Another one, if need be.
            if let Some(other) = self.sites.iter().position(|site| !is_down(site)) {
                self.proxies[index].manager = other;
                (self.proxies[index].joined_since, self.proxies[index].bare_since) = (None, BTreeMap::new());
            }
        }
        let proxy = &self.proxies[index];
        let site = &self.sites[proxy.manager];
        if proxy.stream.is_some()
            || now < proxy.redial_at
            || self.cut_until.contains_key(&index)
            || site.manager.is_none()
            || !site.answered_at.is_finite()
        {
            return;
        }
        let Ok(mut socket) = TcpStream::connect(site.launch.listen) else {
            self.proxies[index].redial_at = now + 200.0;
            return;
        };
        _ = socket.set_nodelay(true);
        _ = socket.set_write_timeout(Some(Duration::from_secs(1)));
        self.last_stream += 1;
        let number = self.last_stream;
        let cold = u8::from(!proxy.holds_ordered);
        let hello = format!("hello node={index} locality={} w={:.1} cold={cold}\r\n", proxy.zone, proxy.rate);
        let Ok(reading) = socket.try_clone() else { return };
        if socket.write_all(hello.as_bytes()).is_err() {
            self.proxies[index].redial_at = now + 200.0;
            return;
        }
        let sender = self.sender.clone();
        thread::spawn(move || {
            for line in BufReader::new(reading).lines() {
                let Ok(line) = line else { break };
                if sender.send(Inbound::Line(index, number, line)).is_err() {
                    return;
                }
            }
            _ = sender.send(Inbound::End(index, number));
        });
        self.record.line(format!("proxy {index} sends {}", hello.trim()));
        let proxy = &mut self.proxies[index];
        proxy.joined_since.get_or_insert(now);
        proxy.message_times.clear();
        proxy.stream = Some(Stream { number, socket, parts: Vec::new(), pending: VecDeque::new() });
    }

    fn receive(&mut self, inbound: Inbound) {
        let now = self.record.now();
        let from = match &inbound {
            Inbound::End(index, _) | Inbound::Line(index, ..) => *index,
        };
        if self.cut_until.contains_key(&from) {
            return;
        }
        match inbound {
            Inbound::End(index, number) => {
                if self.proxies[index].stream.as_ref().is_some_and(|stream| stream.number == number) {
                    let site = &self.sites[self.proxies[index].manager];
                    let by_manager = site.answered_at.is_finite();
                    self.end_stream(index, by_manager, "ended by the manager");
                }
            }
            Inbound::Line(index, number, line) => {
                if self.proxies[index].stream.as_ref().is_none_or(|stream| stream.number != number) {
                    return;
                }
                self.record.line(format!("proxy {index} receives {line}"));
                let part = Part::read(&line, &self.classes, |worker| self.ever_listed.contains(worker));
                let part = match part {
                    Ok(part) => part,
                    Err(reason) => {
                        self.proxies[index].resets += 1;
                        return self.end_stream(index, true, &format!("reset by the proxy: {reason}"));
                    }
                };
                let Some(stream) = self.proxies[index].stream.as_mut() else { return };
                self.ordered_out.extend(part.out.iter().cloned());
                let is_last = !part.more;
                stream.parts.push(part);
                if is_last {
                    let parts = std::mem::take(&mut stream.parts);
                    self.enter_channel(index, now, parts);
                }
            }
        }
    }

    /// A complete message enters the channel: it leaves after those before it, and takes effect after its transit.
    fn enter_channel(&mut self, index: usize, now: f64, parts: Vec<Part>) {
        let transit = self.deployment.transit_ms * (0.5 + self.random());
        let transit =
            self.transit_of.get(&index).copied().unwrap_or(transit).min(self.deployment.worst_transit_ms);
        let cost = parts.iter().map(Part::line_count).sum::<usize>() as f64 + self.deployment.overhead;
        let site_number = self.proxies[index].manager;
        let site = &mut self.sites[site_number];
        site.channel.retain(|(leaves, _)| *leaves > now);
        let leaves = site.channel_free_at.max(now) + cost * 1000.0 * self.slow / self.deployment.channel_rate;
        site.channel_free_at = leaves;
        site.channel.push_back((leaves, cost));
        let waiting: f64 = site.channel.iter().map(|(_, cost)| cost).sum();
        let proxy = &mut self.proxies[index];
        let counted = self.deployment.counted_over_ms;
        proxy.message_times.retain(|at| now - at <= counted);
        proxy.message_times.push_back(now);
        let messages = proxy.message_times.len();
        let applied_at = proxy.last_applied_at.max(leaves + transit);
        proxy.last_applied_at = applied_at;
        if let Some(stream) = &mut proxy.stream {
            stream.pending.push_back((applied_at, now, parts));
        }
        if waiting > self.deployment.pending_max {
            self.violate(
                format!("queue of manager {site_number}"),
                format!("rule 5: {waiting:.0} lines wait in the channel"),
            );
        }
        if messages > self.deployment.messages_most {
            self.violate(
                format!("messages to {index}"),
                format!("rule 5: {messages} messages to proxy {index}"),
            );
        }
    }

    fn apply_due(&mut self, index: usize, now: f64) {
        if self.cut_until.contains_key(&index)
            || self.stalled_until.get(&index).is_some_and(|until| *until > now)
        {
            return;
        }
        loop {
            let proxy = &mut self.proxies[index];
            let Some(stream) = &mut proxy.stream else { return };
            if stream.pending.front().is_none_or(|(applied_at, ..)| *applied_at > now) {
                return;
            }
            let Some((_, received_at, parts)) = stream.pending.pop_front() else { return };
            proxy.apply(&parts, &self.classes);
            for ticket in parts.iter().filter_map(|part| part.ticket) {
                let spoilt =
                    next_random(&mut self.random) < self.spoilt_acks || self.spoil_next.remove(&index);
                if spoilt {
                    self.record.line(format!("the answer of proxy {index} to ticket {ticket} is spoilt"));
                }
                let ack = match spoilt {
                    true => format!("ack node={index} latency={:.1}\r\n", now - received_at),
                    false => format!("ack node={index} nonce={ticket} latency={:.1}\r\n", now - received_at),
                };
                if let Some(stream) = &mut proxy.stream {
                    _ = stream.socket.write_all(ack.as_bytes());
                }
                self.record
                    .line(format!("proxy {index} has applied ticket {ticket}; withheld: {:?}", proxy.out));
            }
        }
    }

    fn violate(&mut self, key: String, text: String) {
        self.record.line(format!("VIOLATION {text}"));
        if self.reported.insert(key) {
            self.violations.push(text);
        }
    }

    /// The workers that the first rule is about: listed as ready, warm, and open to the class.
    fn has_ready_worker(&self, zone: &str, own_zone: bool) -> Option<String> {
        let unix = unix_ms();
        let is_warm = |listed: &Listed| {
            listed.started_at_ms <= 0.0 || listed.started_at_ms + self.deployment.warm_up_ms <= unix
        };
        let is_open = |listed: &Listed| {
            (!own_zone || listed.zone == zone) && !self.operator_drained.contains(&listed.name)
        };
        let mut workers = self.discovery.workers().into_iter();
        workers
            .find(|listed| listed.phase == Phase::Ready && is_open(listed) && is_warm(listed))
            .map(|listed| listed.name)
    }

    /// The first rule.
    fn check_bare(&mut self, index: usize, now: f64) {
        let proxy = &self.proxies[index];
        let answered_at = self.sites[proxy.manager].answered_at;
        let counts = proxy.joined_since.is_some() && now >= answered_at + AFTER_FIRST_ANSWER_MS;
        for (class, _, own_zone) in self.deployment.classes.clone() {
            let proxy = &self.proxies[index];
            if !counts || !proxy.pickable(class).is_empty() {
                _ = self.proxies[index].bare_since.remove(class);
                continue;
            }
            let Some(worker) = self.has_ready_worker(&proxy.zone, own_zone) else {
                _ = self.proxies[index].bare_since.remove(class);
                continue;
            };
            let is_new = !self.proxies[index].bare_since.contains_key(class);
            let since = *self.proxies[index].bare_since.entry(class.into()).or_insert(now);
            if is_new {
                self.record
                    .line(format!("proxy {index} has no line to pick for {class}, though {worker} is ready"));
            }
            if now - since > self.deployment.bare_ms * self.limit_factor + SLACK_MS {
                let out = self.proxies[index].out.clone();
                let lines = self.proxies[index].tables.get(class).map(|table| table.lines.clone());
                let key = format!("bare {index} {class}");
                if !self.reported.contains(&key) {
                    self.violate(key, format!("rule 1: proxy {index} has had no line to pick for {class} for {:.0} ms, though {worker} is ready and warm; its lines: {lines:?}, withheld: {out:?}", now - since));
                }
            }
        }
    }

    fn send_invocations(&mut self, index: usize, now: f64) {
        if self.stalled_until.get(&index).is_some_and(|until| *until > now) {
            return;
        }
        for (number, (class, share, _)) in self.deployment.classes.clone().into_iter().enumerate() {
            loop {
                let rate = self.proxies[index].rate * share / 1000.0;
                let gap = -(1.0 - self.random()).ln() / rate;
                let due = *self.proxies[index].next_arrival.entry(class.into()).or_insert(now + gap);
                if due > now {
                    break;
                }
                self.proxies[index].next_arrival.insert(class.into(), due + gap);
                self.proxies[index].demand.entry(class.into()).or_default().0 += 1;
                self.send_try(index, number, now, None);
            }
        }
    }

    /// Sends one try to a worker of the proxy's table, drawn by weight.
    fn send_try(&mut self, index: usize, number: usize, now: f64, but: Option<&str>) {
        let class = self.classes[number].clone();
        let draw = self.random();
        let lines: Vec<(String, f64)> = self.proxies[index]
            .pickable(&class)
            .into_iter()
            .filter(|(worker, _)| Some(*worker) != but)
            .map(|(worker, weight)| (worker.to_string(), weight))
            .collect();
        let mut left = draw * lines.iter().map(|(_, weight)| weight).sum::<f64>();
        let chosen = lines.iter().find(|(_, weight)| {
            left -= weight;
            left <= 0.0
        });
        let Some((worker, _)) = chosen.or(lines.last()) else {
            self.proxies[index].demand.entry(class).or_default().1 += 1;
            return;
        };
        let worker = worker.clone();
        *self.sends.entry(worker.clone()).or_default() += 1;
        self.record.line(format!("proxy {index} sends {class} to {worker}"));
        self.check_drain(index, &worker, now);
        let phase = self
            .discovery
            .workers()
            .into_iter()
            .find(|listed| listed.name == worker)
            .map(|listed| listed.phase);
        let time = SERVICE_MS * (0.5 + self.random());
        let (time, succeeds) = match phase {
            None | Some(Phase::Gone) => (1.0, false),
            Some(_) if self.hanging.contains(&worker) => (GIVE_UP_MS, false),
            Some(_) => (time, true),
        };
        let retry = self.proxies[index].tables.get(&class).map_or(0, |table| table.retry);
        let may_repeat = but.is_none() && retry >= 1 && matches!(phase, None | Some(Phase::Gone));
        self.tries.push(Try {
            proxy: index,
            class: number,
            worker,
            started: now,
            ends: now + time,
            succeeds,
            may_repeat,
        });
    }

    /// The third rule, at one send.
    fn check_drain(&mut self, index: usize, worker: &str, now: f64) {
        let proxy = &self.proxies[index];
        let site = &self.sites[proxy.manager];
        let (Some(joined), Some(told)) = (proxy.joined_since, self.discovery.told(worker)) else { return };
        let from = joined.max(told).max(site.answered_at + AFTER_FIRST_ANSWER_MS);
        let late = now - from - self.deployment.drain_grace_ms * self.limit_factor - SLACK_MS;
        if late > 0.0 {
            let text = format!(
                "rule 3: proxy {index} sends to {worker} {:.0} ms after the manager was told that it drains",
                now - told
            );
            self.violate(format!("drain {index} {worker}"), text);
        }
    }

    fn end_tries(&mut self, now: f64) {
        let (ended, open): (Vec<Try>, Vec<Try>) =
            std::mem::take(&mut self.tries).into_iter().partition(|one| one.ends <= now);
        self.tries = open;
        for one in ended {
            let answer = if one.succeeds { "answered" } else { "not answered" };
            self.record.line(format!(
                "{} of proxy {} at {}: {answer}",
                self.classes[one.class], one.proxy, one.worker
            ));
            let (zone, site) = (self.proxies[one.proxy].zone.clone(), self.proxies[one.proxy].manager);
            let sums = self.outcomes.entry((site, zone, one.worker.clone())).or_default();
            sums.0 += 1;
            match one.succeeds {
                true => sums.2 += one.ends - one.started,
                false => sums.1 += 1,
            }
            if !one.succeeds {
                match one.may_repeat {
                    true => self.send_try(one.proxy, one.class, now, Some(&one.worker)),
                    false => {
                        let class = self.classes[one.class].clone();
                        self.proxies[one.proxy].demand.entry(class).or_default().1 += 1;
                    }
                }
            }
        }
    }

    fn report_demand(&mut self, index: usize, now: f64) {
        if now < self.proxies[index].report_at
            || self.cut_until.contains_key(&index)
            || self.stalled_until.get(&index).is_some_and(|until| *until > now)
        {
            return;
        }
        let period = self.deployment.period_ms;
        let classes = self.classes.clone();
        let proxy = &mut self.proxies[index];
        proxy.report_at = now + period;
        let demand = std::mem::take(&mut proxy.demand);
        let Some(stream) = &mut proxy.stream else { return };
        for class in classes {
            let (total, errors) = demand.get(&class).copied().unwrap_or_default();
            let line = format!(
                "demand node={index} route={class} total={total} errors={errors} interval={period:.1}\r\n"
            );
            _ = stream.socket.write_all(line.as_bytes());
        }
    }

    /// The collectors: sums of each period, one for each zone, which arrive late.
    fn collect(&mut self, now: f64) {
        if now >= self.outcomes_at {
            self.outcomes_at = now + self.deployment.period_ms;
            let period = self.deployment.period_ms;
            for ((site, zone, worker), (total, errors, time)) in std::mem::take(&mut self.outcomes) {
                let mean = if total > errors { time / f64::from(total - errors) } else { 0.0 };
                let line = format!("outcomes locality={zone} endpoint={worker} total={total} errors={errors} rtt={mean:.1} interval={period:.1}\r\n");
                let late = 330.0 + self.random() * 970.0;
                self.reports.push((now + late, site, zone, line));
            }
        }
        let (due, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|report| report.0 <= now);
        self.reports = open;
        for (_, site, zone, line) in due {
            let site = &mut self.sites[site];
            if !site.answered_at.is_finite() {
                continue;
            }
            let listen = site.launch.listen;
            if !site.collectors.contains_key(&zone) {
                let Ok(mut socket) = TcpStream::connect(listen) else { continue };
                _ = socket.set_write_timeout(Some(Duration::from_secs(1)));
                _ = socket.write_all(format!("agent locality={zone}\r\n").as_bytes());
                site.collectors.insert(zone.clone(), socket);
            }
            let sent = site
                .collectors
                .get_mut(&zone)
                .is_some_and(|socket| socket.write_all(line.as_bytes()).is_ok());
            if !sent {
                site.collectors.remove(&zone);
            }
        }
    }
}
