//! By what margin a drain is in force within the grace: from the change at the source until the last proxy answered the
//! order that takes the worker out, directly and through a relay.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::error::ScaleError;
use super::guard::Need;
use super::manager::{Manager, DRAIN_GRACE_MS};
use super::measured_process::Host;
use super::record::Subject;
use super::relay::Relay;
use super::scenario::Scenario;
use super::scoped::subscription;
use super::simulated::{Change, Discovery, Fleet, Proxies};
use super::target_fleet::Letter;
use super::ScaleRun;
use crate::report::Report;

const SERVICE: usize = 7;
const PROXIES: usize = 50;
const DRAINS: usize = 10;
const DRAINS_SMALL: usize = 3;
/// The worker is back in use so long before the next one drains.
const BETWEEN: Duration = Duration::from_secs(1);
const GRACE: Duration = Duration::from_millis(DRAIN_GRACE_MS as u64);
const BEYOND_GRACE: Duration = Duration::from_millis(500);
const MEMORY: u64 = 1 << 30;

pub fn need() -> Need {
    Need { memory: MEMORY, processes: 3, sockets: 2 * PROXIES as u64 + 16 }
}

/// How long each drain took, directly and through a relay, where any proxy had the worker.
struct Found {
    direct: Vec<Duration>,
    relayed: Vec<Duration>,
}

pub fn run(run: &mut ScaleRun, report: &mut Report) -> Result<(), ScaleError> {
    let (letter, drains) = (Letter::of(run.small), if run.small { DRAINS_SMALL } else { DRAINS });
    let found = run.runtime.block_on(play(&run.host, &letter, drains))?;
    println!("\n{drains} drains at {PROXIES} proxies, grace {} ms", GRACE.as_millis());
    for (way, mut took) in [("directly", found.direct), ("through a relay", found.relayed)] {
        took.sort();
        let ms = |took: Option<&Duration>| took.map_or(f64::NAN, |took| took.as_secs_f64() * 1000.0);
        let (middle, worst) = (ms(took.get(took.len() / 2)), ms(took.last()));
        let margin = GRACE.as_secs_f64() * 1000.0 - worst;
        let readings = [
            ("a drain until the last proxy answered, median", middle),
            ("a drain until the last proxy answered, worst", worst),
            ("the grace that is left at the worst drain", margin),
        ];
        for (figure, value) in readings {
            report.figure(&format!("{figure}, {way}"), format!("{value:.1} ms"));
            run.recorder.reading(Subject { role: "manager", figure, unit: "ms" }, way, value);
        }
        report.bound(&format!("drains that proxies were told, {way}"), took.len(), took.len() == drains);
        let within = took.iter().filter(|took| **took <= GRACE).count();
        run.absolute(
            report,
            &format!("drains in force within the grace, {way}"),
            &format!("{within} of {drains}"),
            within == drains,
        );
    }
    Ok(())
}

async fn play(host: &Host, letter: &Letter, drains: usize) -> Result<Found, ScaleError> {
    let scenario = Scenario {
        workers: letter.workers,
        zones: letter.zones,
        services: letter.services,
        changes_per_second: 0.0,
        proxies: PROXIES,
        operations: 2,
        reports_per_second: 0.0,
    };
    let fleet = letter.fleet();
    let discovery = Discovery::start(fleet.clone()).await?;
    let relay = Relay::start(host, discovery.address).await?;
    let (by_agent, by_relay) = (subscription(&[], &[SERVICE]), subscription(&[relay.address], &[SERVICE]));
    let mut direct = Manager::start(host, &scenario, discovery.address, Some(&by_agent)).await?;
    let mut relayed = Manager::start(host, &scenario, discovery.address, Some(&by_relay)).await?;
    let direct_proxies = Proxies::join(direct.address, PROXIES, letter.zones);
    let relayed_proxies = Proxies::join(relayed.address, PROXIES, letter.zones);
    direct.role.until("orders to all proxies", || direct_proxies.ordered() == PROXIES).await?;
    relayed.role.until("orders to all proxies", || relayed_proxies.ordered() == PROXIES).await?;
    sleep(GRACE).await;
    let mut found = Found { direct: Vec::new(), relayed: Vec::new() };
    for worker in fleet.workers_of(SERVICE).take(drains) {
        let name = Fleet::worker_name(worker);
        [&direct_proxies, &relayed_proxies].iter().for_each(|proxies| proxies.await_drain(&name));
        let drained = discovery.change(Change { worker, draining: true, started_at_ms: 0 });
        // One that is late is seen to be, or not at all, which counts against it too.
        sleep(GRACE + BEYOND_GRACE).await;
        found.direct.extend(took(&direct_proxies, drained));
        found.relayed.extend(took(&relayed_proxies, drained));
        discovery.change(Change { worker, draining: false, started_at_ms: 0 });
        sleep(BETWEEN).await;
    }
    Ok(found)
}

/// None where no proxy was ordered to take the worker out.
fn took(proxies: &Proxies, drained: Instant) -> Option<Duration> {
    let (_, last) = proxies.drained();
    last.map(|last| last.saturating_duration_since(drained))
}
