//! What deciding in common costs as members grow: links and bytes between managers, and what each one uses.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::time::sleep;

use super::error::ScaleError;
use super::fit::{Fit, Sample};
use super::guard::Need;
use super::manager::{operator_element, Manager};
use super::measured_process::Host;
use super::record::Subject;
use super::scenario::{Pace, Scenario};
use super::simulated::{Discovery, Fleet, Forwarder};
use super::ScaleRun;
use crate::report::Report;

const AGAINST: &str = "members that agree";
const MEMBER_MEMORY: u64 = 128 << 20;
/// One link each way.
const LINKS_OF_PAIR: f64 = 2.0;

const SCENARIO: Scenario = Scenario {
    workers: 100,
    zones: 3,
    services: 20,
    changes_per_second: 0.0,
    proxies: 0,
    operations: 2,
    reports_per_second: 0.0,
};

pub fn sizes(small: bool) -> &'static [usize] {
    if small {
        &[1, 2, 3, 4]
    } else {
        &[3, 5, 7, 9]
    }
}

pub fn need(small: bool) -> Need {
    let most = sizes(small).iter().max().copied().unwrap_or_default();
    Need {
        memory: most as u64 * MEMBER_MEMORY,
        processes: most,
        // Each way between two has a forwarder with a listener and two sockets a link.
        sockets: (most * most * 4) as u64,
    }
}

/// What a group of members uses, of all members together but for the last two.
struct Cost {
    links: f64,
    bytes: f64,
    /// Of the dearest member, as a part of a core.
    cores: f64,
    /// Of the largest member.
    settled: f64,
}

pub fn run(run: &mut ScaleRun, report: &mut Report) -> Result<(), ScaleError> {
    let mut played: Vec<(usize, Cost)> = Vec::new();
    for _ in 0..run.plays {
        for members in sizes(run.small) {
            let cost = run.runtime.block_on(play(&run.host, *members, run.pace))?;
            played.push((*members, cost));
        }
    }
    println!("\nagreement against {AGAINST}, {} plays of each size", run.plays);
    type Of = fn(&Cost) -> f64;
    let figures: [(&str, &str, Of); 3] = [
        ("bytes between members", "B/s", |cost| cost.bytes),
        ("processor time of the dearest member", "cores", |cost| cost.cores),
        ("settled memory of the largest member", "B", |cost| cost.settled),
    ];
    let samples = |of: Of| -> Vec<Sample> {
        played.iter().map(|(members, cost)| Sample { size: *members as f64, value: of(cost) }).collect()
    };
    links(run, report, &samples(|cost| cost.links));
    for (figure, unit, of) in figures {
        let samples = samples(of);
        run.fitted(report, Subject { role: "agreement", figure, unit }, AGAINST, &samples);
    }
    Ok(())
}

/// Members are linked each with each, so that links are no straight line: they are judged by pair.
fn links(run: &mut ScaleRun, report: &mut Report, samples: &[Sample]) {
    let Some(fit) = Fit::of(samples) else { return };
    let subject = Subject { role: "agreement", figure: "links", unit: "links" };
    run.kept(subject, AGAINST, samples, &fit);
    let pairs = |members: f64| members * (members - 1.0) / 2.0;
    let by_pair = samples.iter().filter(|sample| sample.size > 1.0).map(|of| of.value / pairs(of.size));
    let most = by_pair.fold(0.0, f64::max);
    report.bound("links of a pair of members", format!("{most:.2}"), most <= LINKS_OF_PAIR);
}

/// Where the members listen for each other: free ports, as found a moment ago.
async fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, ScaleError> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.map_err(ScaleError::io("a free port"))?);
    }
    let addresses =
        listeners.iter().map(|listener| listener.local_addr().map_err(ScaleError::io("a free port")));
    addresses.collect()
}

async fn play(host: &Host, members: usize, pace: Pace) -> Result<Cost, ScaleError> {
    let fleet = Fleet {
        workers: SCENARIO.workers,
        zones: SCENARIO.zones,
        services: SCENARIO.services,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    };
    let discovery = Discovery::start(fleet).await?;
    let listens = free_addresses(members).await?;
    let mut forwarders = Vec::new();
    let mut managers = Vec::new();
    for (place, listen) in listens.iter().enumerate() {
        let mut known = Vec::new();
        for (other, address) in listens.iter().enumerate() {
            if other == place {
                known.push(*listen);
                continue;
            }
            let forwarder = Forwarder::start(*address).await?;
            known.push(forwarder.address);
            forwarders.push(forwarder);
        }
        let operator = operator_file(place, *listen, &known);
        managers.push(Manager::start(host, &SCENARIO, discovery.address, Some(&operator)).await?);
    }
    // Every manager says who leads, the leader that it does itself.
    for manager in &mut managers {
        let log = manager.role.log_path();
        let led = || std::fs::read_to_string(&log).unwrap_or_default().contains("leads in term");
        manager.role.until("a leader", led).await?;
    }
    sleep(pace.settle).await;
    let usages = || managers.iter().map(|manager| manager.role.usage()).collect::<Result<Vec<_>, _>>();
    let bytes = || forwarders.iter().map(Forwarder::bytes).sum::<u64>();
    let (begun, bytes_before, before) = (std::time::Instant::now(), bytes(), usages()?);
    sleep(pace.window).await;
    let (seconds, bytes_after, after) = (begun.elapsed().as_secs_f64(), bytes(), usages()?);
    let used = before.iter().zip(&after).map(|(before, after)| after.processor - before.processor);
    Ok(Cost {
        links: forwarders.iter().map(Forwarder::links).sum::<usize>() as f64,
        bytes: (bytes_after - bytes_before) as f64 / seconds,
        cores: used.max().unwrap_or_default().as_secs_f64() / seconds,
        settled: after.iter().map(|usage| usage.resident).max().unwrap_or_default() as f64,
    })
}

fn operator_file(place: usize, listen: SocketAddr, known: &[SocketAddr]) -> String {
    let member = |(other, address): (usize, &SocketAddr)| {
        format!("<member-of><number>{}</number><address>{address}</address></member-of>", other + 1)
    };
    let members: String = known.iter().enumerate().map(member).collect();
    let own = format!(
        "<name>scale</name><member>{}</member><listen>{listen}</listen><store>council</store>",
        place + 1
    );
    operator_element("fleet", &(own + &members))
}
