//! Random valid and invalid configuration changes at two managers. Each change must either be accepted and applied
//! completely in the tables of all proxies, or be rejected with a reason and applied nowhere. The checker of the
//! protocol rules runs throughout.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use juniperrail_client::{Client, ClientError, Commit};
use juniperrail_model::xml::Element;
use juniperrail_standins::{Proxies, RuleChecker};

use crate::cluster::{Cluster, ClusterSize, MANAGER_NAMESPACE};
use crate::report::Report;

/// Proxies of each manager.
const PROXIES: u16 = 12;
const WORKERS: usize = 9;
/// Time within which all proxies must hold an accepted change.
const HELD_TIMEOUT: Duration = Duration::from_secs(30);

/// The configuration of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WorkerConfig {
    /// Index into [`WANTED_STATES`].
    wanted: usize,
    /// In hundredths.
    weight: Option<u32>,
}

/// The values of a worker's `wanted` leaf. Only the first two let proxies select the worker.
const WANTED_STATES: [&str; 4] = ["follow", "ready", "draining", "out"];

/// The configuration by worker number. A worker without an entry has the defaults.
type WorkerConfigs = BTreeMap<usize, WorkerConfig>;

/// The workers that proxies may select under this configuration.
fn ready_workers(configs: &WorkerConfigs) -> BTreeSet<usize> {
    let is_ready = |worker: &usize| {
        configs.get(worker).is_none_or(|config| config.wanted < 2 && config.weight != Some(0))
    };
    (0..WORKERS).filter(is_ready).collect()
}

/// A random change.
struct RandomChange {
    xml: String,
    /// The configuration of the workers once the change is applied.
    configs_after: WorkerConfigs,
    /// Whether the change is invalid regardless of the current configuration.
    always_invalid: bool,
}

fn random_change(rng: &mut fastrand::Rng, cluster: &Cluster, configs: &WorkerConfigs) -> RandomChange {
    let worker_xml = |name: &str, body: &str| format!("<worker><name>{name}</name>{body}</worker>");
    if rng.u8(..4) == 0 {
        let invalid_changes = [
            "<workers xmlns='MANAGER'><worker><name>s-1</name><weight>NaN</weight></worker></workers>",
            "<workers xmlns='MANAGER'><worker><name>s-1</name><weight>-1</weight></worker></workers>",
            "<workers xmlns='MANAGER'><worker><name>s-1</name><hue>red</hue></worker></workers>",
            "<workers xmlns='MANAGER'><worker><name>s-99</name><place><zone>x</zone></place></worker></workers>",
            "<workers xmlns='urn:none'/>",
            "<figures xmlns='MANAGER'><drain-grace>3600</drain-grace></figures>",
            "<figures xmlns='MANAGER'><warm-up>1</warm-up></figures>",
            "<figures xmlns='MANAGER'><operation><name>shout</name></operation></figures>",
            "<workers xmlns='MANAGER' xmlns:n='urn:ietf:params:xml:ns:netconf:base:1.0'>\
             <worker n:operation='delete'><name>s-77</name></worker></workers>",
        ];
        let xml = invalid_changes[rng.usize(..invalid_changes.len())].replace("MANAGER", MANAGER_NAMESPACE);
        return RandomChange { xml, configs_after: configs.clone(), always_invalid: true };
    }
    let mut configs_after = configs.clone();
    let mut xml = format!("<workers xmlns=\"{MANAGER_NAMESPACE}\">");
    // Occasionally changes all workers at once, which may leave none of them ready and must then be rejected.
    let changed_count = if rng.u8(..12) == 0 { WORKERS } else { rng.usize(1..4) };
    let removes_workers = rng.bool();
    let mut shuffled_workers: Vec<usize> = (0..WORKERS).collect();
    rng.shuffle(&mut shuffled_workers);
    for number in shuffled_workers.into_iter().take(changed_count) {
        let config = configs_after.entry(number).or_default();
        config.wanted = if removes_workers { rng.usize(2..4) } else { rng.usize(..2) };
        let weight =
            (!removes_workers && rng.bool()).then(|| if rng.u8(..8) == 0 { 0 } else { rng.u32(20..200) });
        config.weight = weight.or(config.weight);
        let weight = weight
            .map_or(String::new(), |weight| format!("<weight>{:.2}</weight>", f64::from(weight) / 100.0));
        let body = format!("<wanted>{}</wanted>{weight}", WANTED_STATES[config.wanted]);
        xml += &worker_xml(&cluster.worker_name(number), &body);
    }
    RandomChange { xml: xml + "</workers>", configs_after, always_invalid: false }
}

/// Edits the candidate and commits it; discards the edit if either fails.
async fn apply_change(client: &mut Client, xml: &str) -> Result<(), ClientError> {
    let result = match client.edit(xml).await {
        Ok(()) => client.commit(&Commit::default()).await,
        Err(error) => Err(error),
    };
    if result.is_err() {
        client.discard().await?;
    }
    result
}

/// The text of the first child of this name; empty if there is none.
fn child_text<'a>(element: &'a Element, name: &str) -> &'a str {
    element.children.iter().find(|child| child.name == name).map_or("", |leaf| leaf.text.as_str())
}

/// The entries of the list in the container of this name.
fn list_entries<'a>(state: &'a Element, container_name: &str) -> impl Iterator<Item = &'a Element> {
    let container = state.children.iter().find(|child| child.name == container_name);
    container.into_iter().flat_map(|container| &container.children)
}

/// The state that a manager reports over NETCONF.
struct StateReading {
    /// The numbers of the workers that are ready.
    ready: BTreeSet<usize>,
    /// The number of the newest change, as text; empty if there is none.
    newest_change: String,
    /// Whether all proxies hold the newest change.
    held: bool,
}

async fn read_state(client: &mut Client) -> StateReading {
    let filter = "<state xmlns=\"tag:juniperrail.example,2026:yang:state\"/>";
    let reply = client.get(Some(filter)).await.expect("the state is readable");
    let state = &reply.0[0];
    let number = |name: &str| name.strip_prefix("s-").and_then(|number| number.parse().ok());
    let ready = list_entries(state, "workers").filter(|worker| child_text(worker, "phase") == "ready");
    let ready = ready.filter_map(|worker| number(child_text(worker, "name"))).collect();
    let newest = list_entries(state, "changes")
        .max_by_key(|change| child_text(change, "number").parse::<u64>().unwrap_or(0));
    let newest_change = newest.map_or("", |change| child_text(change, "number")).to_string();
    let held = list_entries(state, "changes").filter(|change| child_text(change, "number") == newest_change);
    let held = held.map(|change| child_text(change, "progress") == "held").next().unwrap_or(false);
    StateReading { ready, newest_change, held }
}

pub fn run(report: &mut Report, count: u32, seed: u64) {
    println!("seed {seed}");
    let size = ClusterSize { workers: WORKERS, proxies: 2 * PROXIES, managers: 2, report_period_ms: 160 };
    let cluster = Cluster::new("changes", size);
    let managers = [cluster.start_manager("n0", None), cluster.start_manager("n1", None)];
    let zones = ["a", "b", "c"];
    let proxies = [0, PROXIES].map(|first| {
        let manager = &managers[usize::from(first / PROXIES)];
        Proxies::start(manager.address, first, PROXIES, &zones, cluster.rules())
    });
    let proxy_numbers = |manager: usize| (manager as u16 * PROXIES)..((manager as u16 + 1) * PROXIES);
    for (manager, proxies) in proxies.iter().enumerate() {
        proxies.wait_until("every proxy has a table", |checker| {
            proxy_numbers(manager).all(|proxy| checker.routable_workers(proxy).len() == WORKERS)
        });
    }
    let (mut accepted, mut rejected, mut timeouts) = (0, 0, 0);
    // Changes accepted by one manager and rejected by the other, rejections without a reason, states and tables that
    // show a part of a change or an outdated configuration, and verdicts that contradict the validity of the change.
    let (mut differing_verdicts, mut rejections_without_reason, mut inconsistent_states, mut wrong_verdicts) =
        (0, 0, 0, 0);
    let mut rng = fastrand::Rng::with_seed(seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let started = Instant::now();
    runtime.block_on(async {
        let mut clients = [cluster.connect(&managers[0]).await, cluster.connect(&managers[1]).await];
        let mut readers = [cluster.connect(&managers[0]).await, cluster.connect(&managers[1]).await];
        let mut configs = WorkerConfigs::new();
        // The workers that proxies must stop using, each with the time of its removal in milliseconds, by the clock of
        // the proxies of each manager.
        let mut removal_times: BTreeMap<usize, [f64; 2]> = BTreeMap::new();
        for _ in 0..count {
            let change = random_change(&mut rng, &cluster, &configs);
            let before = ready_workers(&configs);
            let after = ready_workers(&change.configs_after);
            let removed = before.difference(&after).copied().collect::<Vec<usize>>();
            let [first, second] = &mut clients;
            // The change is sent to both managers at once. The state, which is read concurrently, must not show a part
            // of the change.
            let concurrent_readings = async {
                let mut partial_states = 0;
                for reader in &mut readers {
                    let ready = read_state(reader).await.ready;
                    partial_states += u32::from(ready != before && ready != after);
                }
                partial_states
            };
            let sent_at = proxies.each_ref().map(Proxies::now_ms);
            // The proxies may use a returning worker before the client receives the reply to the commit.
            let returning: Vec<usize> = after.difference(&before).copied().collect();
            for proxies in &proxies {
                proxies.with_checker(|checker| {
                    returning.iter().for_each(|worker| checker.cancel_removal(&cluster.worker_name(*worker)))
                });
            }
            let (result, other_result, partial_states) = tokio::join!(
                apply_change(first, &change.xml),
                apply_change(second, &change.xml),
                concurrent_readings
            );
            inconsistent_states += partial_states;
            differing_verdicts += u32::from(result.is_ok() != other_result.is_ok());
            match &result {
                Ok(()) => {
                    accepted += 1;
                    wrong_verdicts += u32::from(change.always_invalid || after.is_empty());
                }
                Err(error) => {
                    rejected += 1;
                    let reasons = error.rpc_errors();
                    rejections_without_reason += u32::from(
                        reasons.is_empty() || reasons.iter().any(|reason| reason.message.is_empty()),
                    );
                    // A valid change that leaves at least one worker ready must not be rejected.
                    wrong_verdicts += u32::from(!change.always_invalid && !after.is_empty());
                }
            }
            if result.is_ok() {
                removed.iter().for_each(|worker| _ = removal_times.insert(*worker, sent_at));
                returning.iter().for_each(|worker| _ = removal_times.remove(worker));
                configs = change.configs_after;
            }
            for (manager, proxies) in proxies.iter().enumerate() {
                let start_removals = |checker: &mut RuleChecker| {
                    removal_times.iter().for_each(|(worker, since)| {
                        checker.start_removal(&cluster.worker_name(*worker), since[manager])
                    });
                };
                proxies.with_checker(start_removals);
            }
            let expected = ready_workers(&configs);
            for (manager, reader) in readers.iter_mut().enumerate() {
                let start = Instant::now();
                loop {
                    let reading = read_state(reader).await;
                    inconsistent_states += u32::from(reading.ready != expected);
                    if reading.held || reading.newest_change.is_empty() || start.elapsed() > HELD_TIMEOUT {
                        timeouts += u32::from(!reading.held && !reading.newest_change.is_empty());
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                let table_workers = |proxy: u16| {
                    let table = proxies[manager].with_checker(|checker| checker.routable_workers(proxy));
                    table.keys().filter_map(|name| name[2..].parse().ok()).collect::<BTreeSet<usize>>()
                };
                inconsistent_states +=
                    proxy_numbers(manager).filter(|proxy| table_workers(*proxy) != expected).count() as u32;
            }
        }
    });
    report.figure("changes at each of two managers, 12 proxies each", count);
    report.figure("taken / refused", format!("{accepted} / {rejected}"));
    report.figure("seconds", format!("{:.1}", started.elapsed().as_secs_f64()));
    report.bound("verdicts that differ between the managers", differing_verdicts, differing_verdicts == 0);
    report.bound("refusals without a reason", rejections_without_reason, rejections_without_reason == 0);
    report.bound("taken though wrong, or refused though sound", wrong_verdicts, wrong_verdicts == 0);
    report.bound("readings or proxies with a mixture", inconsistent_states, inconsistent_states == 0);
    report.bound("changes not held in time", timeouts, timeouts == 0);
    let violations: Vec<_> = proxies
        .iter()
        .flat_map(|proxies| proxies.with_checker(|checker| checker.violations.clone()))
        .collect();
    let first_violation = violations
        .first()
        .map_or("none".to_string(), |first| format!("{first:?} and {} more", violations.len() - 1));
    report.bound("rules broken", first_violation, violations.is_empty());
    let min_count = count / 5;
    report.bound(
        "taken and refused, a fifth each at least",
        format!("{accepted} {rejected}"),
        accepted.min(rejected) >= min_count,
    );
}
