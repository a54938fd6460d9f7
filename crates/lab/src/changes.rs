//! Changes drawn from a seed, valid and invalid mixed, at two managers: each is in all proxies' tables, whole, or
//! refused with a reason and nowhere. The checker of the rules watches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use juniperrail_client::{Client, ClientError, Commit};
use juniperrail_model::xml::Element;
use juniperrail_standins::{Proxies, RuleChecker};

use crate::cluster::{Cluster, ClusterSize, MANAGER_NAMESPACE};
use crate::report::Report;

const PROXIES: u16 = 12;
const WORKERS: usize = 9;
const WITHIN: Duration = Duration::from_secs(30);

/// The operator's word on a worker: the state wanted, and the weight in hundredths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Wish {
    wanted: usize,
    weight: Option<u32>,
}

const WANTED: [&str; 4] = ["follow", "ready", "draining", "out"];

type Wishes = BTreeMap<usize, Wish>;

fn ready(wishes: &Wishes) -> BTreeSet<usize> {
    let stays =
        |worker: &usize| wishes.get(worker).is_none_or(|wish| wish.wanted < 2 && wish.weight != Some(0));
    (0..WORKERS).filter(stays).collect()
}

/// One drawn change: its XML, what it makes of the wishes, and whether it is wrong by itself.
fn drawn(rng: &mut fastrand::Rng, town: &Cluster, wishes: &Wishes) -> (String, Wishes, bool) {
    let worker = |name: &str, body: &str| format!("<worker><name>{name}</name>{body}</worker>");
    if rng.u8(..4) == 0 {
        let wrong = [
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
        let text = wrong[rng.usize(..wrong.len())].replace("MANAGER", MANAGER_NAMESPACE);
        return (text, wishes.clone(), true);
    }
    let mut after = wishes.clone();
    let mut text = format!("<workers xmlns=\"{MANAGER_NAMESPACE}\">");
    // Now and then all at once, which leaves nothing ready.
    let many = if rng.u8(..12) == 0 { WORKERS } else { rng.usize(1..4) };
    let departs = rng.bool();
    let mut order: Vec<usize> = (0..WORKERS).collect();
    rng.shuffle(&mut order);
    for number in order.into_iter().take(many) {
        let wish = after.entry(number).or_default();
        wish.wanted = if departs { rng.usize(2..4) } else { rng.usize(..2) };
        let weight = (!departs && rng.bool()).then(|| if rng.u8(..8) == 0 { 0 } else { rng.u32(20..200) });
        wish.weight = weight.or(wish.weight);
        let weight = weight
            .map_or(String::new(), |weight| format!("<weight>{:.2}</weight>", f64::from(weight) / 100.0));
        text +=
            &worker(&town.worker_name(number), &format!("<wanted>{}</wanted>{weight}", WANTED[wish.wanted]));
    }
    (text + "</workers>", after, false)
}

async fn changed(client: &mut Client, config: &str) -> Result<(), ClientError> {
    let done = match client.edit(config).await {
        Ok(()) => client.commit(&Commit::default()).await,
        Err(failed) => Err(failed),
    };
    if done.is_err() {
        client.discard().await?;
    }
    done
}

fn text<'a>(element: &'a Element, name: &str) -> &'a str {
    element.children.iter().find(|child| child.name == name).map_or("", |leaf| leaf.text.as_str())
}

fn entries<'a>(state: &'a Element, list: &str) -> impl Iterator<Item = &'a Element> {
    let around = state.children.iter().find(|child| child.name == list);
    around.into_iter().flat_map(|around| &around.children)
}

/// Ready workers as one reading of the state has them, and how far the newest change is.
async fn state(client: &mut Client) -> (BTreeSet<usize>, String, bool) {
    let filter = "<state xmlns=\"tag:juniperrail.example,2026:yang:state\"/>";
    let got = client.get(Some(filter)).await.expect("the state");
    let state = &got.0[0];
    let number = |name: &str| name.strip_prefix("s-").and_then(|number| number.parse().ok());
    let ready = entries(state, "workers").filter(|worker| text(worker, "phase") == "ready");
    let ready = ready.filter_map(|worker| number(text(worker, "name"))).collect();
    let newest =
        entries(state, "changes").max_by_key(|change| text(change, "number").parse::<u64>().unwrap_or(0));
    let newest = newest.map_or("", |change| text(change, "number")).to_string();
    let held = entries(state, "changes").filter(|change| text(change, "number") == newest);
    let held = held.map(|change| text(change, "progress") == "held").next().unwrap_or(false);
    (ready, newest, held)
}

pub fn run(report: &mut Report, count: u32, seed: u64) {
    println!("seed {seed}");
    let size = ClusterSize { workers: WORKERS, proxies: 2 * PROXIES, managers: 2, report_period_ms: 160 };
    let town = Cluster::new("changes", size);
    let managers = [town.start_manager("n0", None), town.start_manager("n1", None)];
    let zones = ["a", "b", "c"];
    let proxies = [0, PROXIES].map(|first| {
        let manager = &managers[usize::from(first / PROXIES)];
        Proxies::start(manager.address, first, PROXIES, &zones, town.rules())
    });
    let numbers = |of: usize| (of as u16 * PROXIES)..((of as u16 + 1) * PROXIES);
    for (of, proxies) in proxies.iter().enumerate() {
        proxies.wait_until("tables", |rules| {
            numbers(of).all(|proxy| rules.routable_workers(proxy).len() == WORKERS)
        });
    }
    let (mut taken, mut refused, mut unlike, mut unsaid, mut mixed, mut wrong, mut late) =
        (0, 0, 0, 0, 0, 0, 0);
    let mut rng = fastrand::Rng::with_seed(seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let started = Instant::now();
    runtime.block_on(async {
        let mut clients = [town.connect(&managers[0]).await, town.connect(&managers[1]).await];
        let mut readers = [town.connect(&managers[0]).await, town.connect(&managers[1]).await];
        let mut wishes = Wishes::new();
        // Who has to be out, and since when by the clock of each manager's proxies.
        let mut leaving: BTreeMap<usize, [f64; 2]> = BTreeMap::new();
        for _ in 0..count {
            let (config, after, bad) = drawn(&mut rng, &town, &wishes);
            let (was, will) = (ready(&wishes), ready(&after));
            let left = was.difference(&will).copied().collect::<Vec<usize>>();
            let [first, second] = &mut clients;
            // Both are asked at once, and read while they change: no reading may hold a part of the change.
            let reading = async {
                let mut odd = 0;
                for reader in &mut readers {
                    let (seen, ..) = state(reader).await;
                    odd += u32::from(seen != was && seen != will);
                }
                odd
            };
            let asked = proxies.each_ref().map(Proxies::now_ms);
            // Who comes back may be told to the proxies before the answer to the commit is here.
            let back: Vec<usize> = will.difference(&was).copied().collect();
            for proxies in &proxies {
                proxies.with_rules(|rules| {
                    back.iter().for_each(|worker| rules.cancel_removal(&town.worker_name(*worker)))
                });
            }
            let (one, other, odd) = tokio::join!(changed(first, &config), changed(second, &config), reading);
            mixed += odd;
            unlike += u32::from(one.is_ok() != other.is_ok());
            match &one {
                Ok(()) => {
                    taken += 1;
                    wrong += u32::from(bad || will.is_empty());
                }
                Err(failed) => {
                    refused += 1;
                    let reasons = failed.rpc_errors();
                    unsaid += u32::from(reasons.is_empty() || reasons.iter().any(|of| of.message.is_empty()));
                    // What is sound and leaves somebody ready is not refused.
                    wrong += u32::from(!bad && !will.is_empty());
                }
            }
            if one.is_ok() {
                left.iter().for_each(|worker| _ = leaving.insert(*worker, asked));
                back.iter().for_each(|worker| _ = leaving.remove(worker));
                wishes = after;
            }
            for (of, proxies) in proxies.iter().enumerate() {
                let leaves = |rules: &mut RuleChecker| {
                    leaving.iter().for_each(|(worker, since)| {
                        rules.start_removal(&town.worker_name(*worker), since[of])
                    });
                };
                proxies.with_rules(leaves);
            }
            let expected = ready(&wishes);
            for (of, reader) in readers.iter_mut().enumerate() {
                let start = Instant::now();
                loop {
                    let (seen, newest, held) = state(reader).await;
                    mixed += u32::from(seen != expected);
                    if held || newest.is_empty() || start.elapsed() > WITHIN {
                        late += u32::from(!held && !newest.is_empty());
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                let picks = |proxy: u16| {
                    let holds = proxies[of].with_rules(|rules| rules.routable_workers(proxy));
                    holds.keys().filter_map(|name| name[2..].parse().ok()).collect::<BTreeSet<usize>>()
                };
                mixed += numbers(of).filter(|proxy| picks(*proxy) != expected).count() as u32;
            }
        }
    });
    report.figure("changes at each of two managers, 12 proxies each", count);
    report.figure("taken / refused", format!("{taken} / {refused}"));
    report.figure("seconds", format!("{:.1}", started.elapsed().as_secs_f64()));
    report.bound("verdicts that differ between the managers", unlike, unlike == 0);
    report.bound("refusals without a reason", unsaid, unsaid == 0);
    report.bound("taken though wrong, or refused though sound", wrong, wrong == 0);
    report.bound("readings or proxies with a mixture", mixed, mixed == 0);
    report.bound("changes not held in time", late, late == 0);
    let broken: Vec<_> =
        proxies.iter().flat_map(|proxies| proxies.with_rules(|rules| rules.violations.clone())).collect();
    let first =
        broken.first().map_or("none".to_string(), |first| format!("{first:?} and {} more", broken.len() - 1));
    report.bound("rules broken", first, broken.is_empty());
    let fifth = count / 5;
    report.bound(
        "taken and refused, a fifth each at least",
        format!("{taken} {refused}"),
        taken.min(refused) >= fifth,
    );
}
