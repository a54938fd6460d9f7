//! How long drains take to be in force, and how much of the grace is left then: the time from the change at the source
//! until the last proxy has acknowledged the order that takes the worker out of use, for a manager that reads the list
//! directly and one that reads it through a relay.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::error::ScaleError;
use super::guard::Requirements;
use super::manager::{Manager, DRAIN_GRACE_MS};
use super::measured_process::Launcher;
use super::record::Subject;
use super::relay::Relay;
use super::scenario::Scenario;
use super::scoped::discovery_element;
use super::simulated::{Change, Discovery, Fleet, Proxies};
use super::target_fleet::TargetFleet;
use super::ScaleRun;
use crate::report::Report;

/// The service in the scope of both managers, whose workers drain.
const SERVICE: usize = 7;
/// The number of proxies of each manager.
const PROXIES: usize = 50;
/// The number of drains in a full run.
const DRAINS: usize = 10;
/// The number of drains in a run with `--small`.
const DRAINS_SMALL: usize = 3;
/// The time between the end of a drain and the start of the next one.
const PAUSE: Duration = Duration::from_secs(1);
const GRACE: Duration = Duration::from_millis(DRAIN_GRACE_MS as u64);
/// The additional wait after the grace, for late acknowledgements.
const WAIT_AFTER_GRACE: Duration = Duration::from_millis(500);
/// An upper limit on the memory of the experiment.
const MAX_EXPERIMENT_BYTES: u64 = 1 << 30;

/// The resources that the experiment needs.
pub fn requirements() -> Requirements {
    Requirements { memory_bytes: MAX_EXPERIMENT_BYTES, processes: 3, sockets: 2 * PROXIES as u64 + 16 }
}

/// The time that each acknowledged drain took, by how the manager reads the list.
struct DrainTimes {
    direct: Vec<Duration>,
    relayed: Vec<Duration>,
}

/// Times the drains and judges whether each was in force within the grace.
pub fn run(run: &mut ScaleRun, report: &mut Report) -> Result<(), ScaleError> {
    let (fleet, drains) = (TargetFleet::for_run(run.small), if run.small { DRAINS_SMALL } else { DRAINS });
    let drain_times = run.runtime.block_on(time_drains(&run.launcher, &fleet, drains))?;
    println!("\n{drains} drains at {PROXIES} proxies, grace {} ms", GRACE.as_millis());
    for (path, mut times) in [("directly", drain_times.direct), ("through a relay", drain_times.relayed)] {
        times.sort();
        let to_ms = |time: Option<&Duration>| time.map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0);
        let (median_ms, max_ms) = (to_ms(times.get(times.len() / 2)), to_ms(times.last()));
        let margin_ms = GRACE.as_secs_f64() * 1000.0 - max_ms;
        let readings = [
            ("a drain until the last proxy answered, median", median_ms),
            ("a drain until the last proxy answered, worst", max_ms),
            ("the grace that is left at the worst drain", margin_ms),
        ];
        for (figure, value) in readings {
            report.figure(&format!("{figure}, {path}"), format!("{value:.1} ms"));
            run.recorder.add_reading(Subject { role: "manager", figure, unit: "ms" }, path, value);
        }
        report.bound(
            &format!("drains that proxies acknowledged, {path}"),
            times.len(),
            times.len() == drains,
        );
        let within_grace = times.iter().filter(|time| **time <= GRACE).count();
        run.absolute_bound(
            report,
            &format!("drains in force within the grace, {path}"),
            &format!("{within_grace} of {drains}"),
            within_grace == drains,
        );
    }
    Ok(())
}

/// Drains one worker after the other, and times each drain at both managers.
async fn time_drains(
    launcher: &Launcher,
    target: &TargetFleet,
    drains: usize,
) -> Result<DrainTimes, ScaleError> {
    let scenario = Scenario {
        workers: target.workers,
        zones: target.zones,
        services: target.services,
        changes_per_second: 0.0,
        proxies: PROXIES,
        operations: 2,
        reports_per_second: 0.0,
    };
    let fleet = target.listed_fleet();
    let discovery = Discovery::start(fleet.clone()).await?;
    let relay = Relay::start(launcher, discovery.address).await?;
    let direct_element = discovery_element(&[], &[SERVICE]);
    let relayed_element = discovery_element(&[relay.address], &[SERVICE]);
    let mut direct = Manager::start(launcher, &scenario, discovery.address, Some(&direct_element)).await?;
    let mut relayed = Manager::start(launcher, &scenario, discovery.address, Some(&relayed_element)).await?;
    let direct_proxies = Proxies::join(direct.address, PROXIES, target.zones);
    let relayed_proxies = Proxies::join(relayed.address, PROXIES, target.zones);
    direct.process.wait_for("orders to all proxies", || direct_proxies.with_order() == PROXIES).await?;
    relayed.process.wait_for("orders to all proxies", || relayed_proxies.with_order() == PROXIES).await?;
    sleep(GRACE).await;
    let mut times = DrainTimes { direct: Vec::new(), relayed: Vec::new() };
    for worker in fleet.workers_of(SERVICE).take(drains) {
        let name = Fleet::worker_name(worker);
        [&direct_proxies, &relayed_proxies].iter().for_each(|proxies| proxies.expect_drain(&name));
        let drained_at = discovery.change(Change { worker, draining: true, started_at_ms: 0 });
        // A drain that takes longer than the grace is recorded with its time, or not at all if no proxy acknowledges it
        // during this wait. In a full run it fails a bound either way.
        sleep(GRACE + WAIT_AFTER_GRACE).await;
        times.direct.extend(drain_time(&direct_proxies, drained_at));
        times.relayed.extend(drain_time(&relayed_proxies, drained_at));
        discovery.change(Change { worker, draining: false, started_at_ms: 0 });
        sleep(PAUSE).await;
    }
    Ok(times)
}

/// The time until the last acknowledgement of the drain. `None` if no proxy acknowledged an order that takes the worker
/// out of use.
fn drain_time(proxies: &Proxies, drained_at: Instant) -> Option<Duration> {
    let (_, last_acknowledged) = proxies.drain_acknowledgements();
    last_acknowledged.map(|last| last.saturating_duration_since(drained_at))
}
