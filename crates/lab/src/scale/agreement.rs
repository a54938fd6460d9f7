//! The cost of consensus as the number of members grows: the links and bytes between the managers, and the processor
//! time and memory of the manager that uses the most.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::time::sleep;

use super::error::ScaleError;
use super::fit::{Fit, Sample};
use super::guard::Requirements;
use super::manager::{operator_element, Manager};
use super::measured_process::Launcher;
use super::record::Subject;
use super::scenario::{Durations, Scenario};
use super::simulated::{Discovery, Fleet, Forwarder};
use super::ScaleRun;
use crate::report::Report;

/// What the size counts, as recorded with the figures.
const AGAINST: &str = "members that agree";
/// An upper limit on the memory of a member.
const MAX_MEMBER_BYTES: u64 = 128 << 20;
/// The limit on links between two members: one in each direction.
const MAX_LINKS_PER_PAIR: f64 = 2.0;

const SCENARIO: Scenario = Scenario {
    workers: 100,
    zones: 3,
    services: 20,
    changes_per_second: 0.0,
    proxies: 0,
    operations: 2,
    reports_per_second: 0.0,
};

/// The group sizes of a small or a full run.
pub fn sizes(small: bool) -> &'static [usize] {
    if small {
        &[1, 2, 3, 4]
    } else {
        &[3, 5, 7, 9]
    }
}

/// The resources that the largest group needs.
pub fn requirements(small: bool) -> Requirements {
    let members = sizes(small).iter().max().copied().unwrap_or_default();
    Requirements {
        memory_bytes: members as u64 * MAX_MEMBER_BYTES,
        processes: members,
        // Each direction between two members has a forwarder, with a listener and two sockets per link.
        sockets: (members * members * 4) as u64,
    }
}

/// The resources that a group uses.
struct GroupCost {
    /// The number of open links between all members, at the end of the window.
    links: f64,
    /// The bytes per second between all members.
    bytes_per_second: f64,
    /// The processor time of the member that uses the most, as a share of one core.
    max_cores: f64,
    /// The resident memory of the member that uses the most, at the end of the window.
    max_settled_bytes: f64,
}

/// Measures groups of each size, fits each figure and judges its growth.
pub fn run(run: &mut ScaleRun, report: &mut Report) -> Result<(), ScaleError> {
    let mut costs: Vec<(usize, GroupCost)> = Vec::new();
    for _ in 0..run.plays {
        for members in sizes(run.small) {
            let cost = run.runtime.block_on(measure_group(&run.launcher, *members, run.durations))?;
            costs.push((*members, cost));
        }
    }
    println!("\nagreement against {AGAINST}, {} plays of each size", run.plays);
    type Value = fn(&GroupCost) -> f64;
    let figures: [(&str, &str, Value); 3] = [
        ("bytes between members", "B/s", |cost| cost.bytes_per_second),
        ("processor time of the dearest member", "cores", |cost| cost.max_cores),
        ("settled memory of the largest member", "B", |cost| cost.max_settled_bytes),
    ];
    let samples = |value: Value| -> Vec<Sample> {
        costs.iter().map(|(members, cost)| Sample { size: *members as f64, value: value(cost) }).collect()
    };
    judge_links(run, report, &samples(|cost| cost.links));
    for (figure, unit, value) in figures {
        let samples = samples(value);
        run.fit_and_judge(report, Subject { role: "agreement", figure, unit }, AGAINST, &samples);
    }
    Ok(())
}

/// Records the number of links and judges it per pair of members. All pairs are linked, so the number grows with the
/// square of the group size.
fn judge_links(run: &mut ScaleRun, report: &mut Report, samples: &[Sample]) {
    let Some(fit) = Fit::from_samples(samples) else { return };
    let subject = Subject { role: "agreement", figure: "links", unit: "links" };
    run.print_and_record(subject, AGAINST, samples, &fit);
    let pairs = |members: f64| members * (members - 1.0) / 2.0;
    let links_per_pair =
        samples.iter().filter(|sample| sample.size > 1.0).map(|sample| sample.value / pairs(sample.size));
    let max = links_per_pair.fold(0.0, f64::max);
    report.bound("links per pair of members", format!("{max:.2}"), max <= MAX_LINKS_PER_PAIR);
}

/// Addresses with free ports for the links between the members. Another process may take a port before its member binds
/// it.
async fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, ScaleError> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners
            .push(TcpListener::bind("127.0.0.1:0").await.map_err(ScaleError::io("binding a free port"))?);
    }
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().map_err(ScaleError::io("reading the address of a free port")));
    addresses.collect()
}

/// Starts a group of managers with a forwarder in each direction between two of them, and measures the group.
async fn measure_group(
    launcher: &Launcher,
    members: usize,
    durations: Durations,
) -> Result<GroupCost, ScaleError> {
    let fleet = Fleet {
        workers: SCENARIO.workers,
        zones: SCENARIO.zones,
        services: SCENARIO.services,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
    };
    let discovery = Discovery::start(fleet).await?;
    let listen_addresses = free_addresses(members).await?;
    let mut forwarders = Vec::new();
    let mut managers = Vec::new();
    for (own, listen) in listen_addresses.iter().enumerate() {
        let mut member_addresses = Vec::new();
        for (other, address) in listen_addresses.iter().enumerate() {
            if other == own {
                member_addresses.push(*listen);
                continue;
            }
            let forwarder = Forwarder::start(*address).await?;
            member_addresses.push(forwarder.address);
            forwarders.push(forwarder);
        }
        let operator = fleet_element(own, *listen, &member_addresses);
        managers.push(Manager::start(launcher, &SCENARIO, discovery.address, Some(&operator)).await?);
    }
    // Every manager logs which member leads, and the leader logs that it leads itself.
    for manager in &mut managers {
        let log = manager.process.log_path();
        let knows_leader = || std::fs::read_to_string(&log).unwrap_or_default().contains("leads in term");
        manager.process.wait_for("the log line about the leader", knows_leader).await?;
    }
    sleep(durations.settle).await;
    let usages = || managers.iter().map(|manager| manager.process.usage()).collect::<Result<Vec<_>, _>>();
    let bytes = || forwarders.iter().map(Forwarder::bytes).sum::<u64>();
    let (started, bytes_before, before) = (std::time::Instant::now(), bytes(), usages()?);
    sleep(durations.window).await;
    let (seconds, bytes_after, after) = (started.elapsed().as_secs_f64(), bytes(), usages()?);
    let processor_times =
        before.iter().zip(&after).map(|(before, after)| after.processor_time - before.processor_time);
    Ok(GroupCost {
        links: forwarders.iter().map(Forwarder::links).sum::<usize>() as f64,
        bytes_per_second: (bytes_after - bytes_before) as f64 / seconds,
        max_cores: processor_times.max().unwrap_or_default().as_secs_f64() / seconds,
        max_settled_bytes: after.iter().map(|usage| usage.resident_bytes).max().unwrap_or_default() as f64,
    })
}

/// The element of a member's operator's file that configures the group. `addresses` has the address at which this
/// member dials each member, and its own.
fn fleet_element(own: usize, listen: SocketAddr, addresses: &[SocketAddr]) -> String {
    let member = |(other, address): (usize, &SocketAddr)| {
        format!("<member-of><number>{}</number><address>{address}</address></member-of>", other + 1)
    };
    let members: String = addresses.iter().enumerate().map(member).collect();
    let own_settings = format!(
        "<name>scale</name><member>{}</member><listen>{listen}</listen><store>council</store>",
        own + 1
    );
    operator_element("fleet", &(own_settings + &members))
}
