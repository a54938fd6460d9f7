//! The resources that a relay uses with all subscribers of a site, and the time until a change reaches the last of
//! them. Both are measured again after a second relay, its neighbour, is killed and the neighbour's subscribers move to
//! the first relay.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::time::{interval, sleep, sleep_until};

use super::error::ScaleError;
use super::guard::Requirements;
use super::measured_process::{Launcher, MeasuredProcess, WAIT_TIMEOUT};
use super::record::Subject;
use super::scenario::{measure_cost, ByteCounts, Cost, Durations};
use super::simulated::{Arrival, Change, Discovery, Fleet, Subscribers, Watch};
use super::target_fleet::TargetFleet;
use super::ScaleRun;
use crate::report::Report;

/// The limit on the time until a change is in force everywhere.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(11);
/// The desired time until a change is in force everywhere, below the limit.
const TARGET_PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// The timed changes per second on an ordinary day; they are part of that day's changes.
const TIMED_PER_SECOND: f64 = 1.0;
/// The timed changes per second after the neighbour is killed, enough that some fall into the time in which its
/// subscribers have no relay.
const TIMED_PER_SECOND_AT_FAILURE: f64 = 5.0;
/// The service whose workers the timed changes are made to. Every subscriber has it in its scope, besides a service of
/// its own.
const COMMON_SERVICE: usize = 0;
/// The wait between attempts to read the list from a relay that has not synchronized yet.
const SYNC_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// An upper limit on the memory of a relay.
const MAX_RELAY_BYTES: u64 = 512 << 20;

/// A running relay and the address that it serves.
pub struct Relay {
    pub process: MeasuredProcess,
    pub address: std::net::SocketAddr,
}

impl Relay {
    /// Starts a relay that reads the list from this source, and waits until it logs its address.
    pub async fn start(launcher: &Launcher, source: std::net::SocketAddr) -> Result<Relay, ScaleError> {
        let directory = launcher.create_directory("relay")?;
        let source = source.to_string();
        let arguments = ["relay", "--listen", "127.0.0.1:0", "--source", &source].map(String::from);
        let mut process = launcher.start(&directory, &arguments, &[])?;
        let address = process.wait_for_address().await?;
        Ok(Relay { process, address })
    }

    /// Waits until the relay serves the list. It rejects all requests until it has synchronized with its source. A
    /// scope of one service keeps the response small.
    async fn wait_until_synchronized(&self, fleet: &TargetFleet) -> Result<(), ScaleError> {
        let started = Instant::now();
        let query = fleet.query(&[COMMON_SERVICE]);
        while started.elapsed() < WAIT_TIMEOUT {
            if let Ok(mut watch) = Watch::open(self.address, &query).await {
                if watch.next().await.is_ok() {
                    return Ok(());
                }
            }
            sleep(SYNC_RETRY_INTERVAL).await;
        }
        Err(self.process.timeout_error("the relay to synchronize with its source"))
    }
}

/// The resources that the relays and their simulated peers need.
pub fn requirements(fleet: &TargetFleet) -> Requirements {
    Requirements {
        memory_bytes: 3 * MAX_RELAY_BYTES,
        processes: 2,
        // One socket for each subscriber of both relays, and those of the source.
        sockets: 2 * fleet.subscribers as u64 + 8,
    }
}

/// Measures a relay of this fleet on an ordinary day.
pub async fn measure_relay(
    launcher: &Launcher,
    fleet: &TargetFleet,
    durations: Durations,
) -> Result<Cost, ScaleError> {
    let discovery = Discovery::start(fleet.listed_fleet()).await?;
    let mut relay = Relay::start(launcher, discovery.address).await?;
    relay.wait_until_synchronized(fleet).await?;
    let queries = (0..fleet.subscribers).map(|number| fleet.query(&[number]));
    let subscribers = Subscribers::start(&[relay.address], queries);
    let all_have_list = || subscribers.with_list() == fleet.subscribers;
    relay.process.wait_for("the list at all subscribers", all_have_list).await?;
    let _churn = discovery.churn(fleet.changes_per_second);
    let bytes =
        || ByteCounts { received: discovery.traffic().sent(), sent: subscribers.traffic().received() };
    measure_cost(&relay.process, durations, bytes).await
}

/// A change whose propagation is timed. The changed entry has the number of the change as its start time, by which
/// subscribers recognize it.
#[derive(Clone, Copy)]
struct TimedChange {
    number: usize,
    made_at: Instant,
}

/// The propagation delays of timed changes.
struct Delays {
    /// The delay of each change to each subscriber, in microseconds.
    per_subscriber_us: Histogram<u64>,
    /// The delay of each change to the last subscriber, in microseconds.
    last_subscriber_us: Histogram<u64>,
    /// The number of changes that did not reach every subscriber.
    lost: usize,
}

/// Measures a relay on an ordinary day and after its neighbour is killed, and judges the delays.
pub fn run(run: &mut ScaleRun, report: &mut Report) -> Result<(), ScaleError> {
    let fleet = TargetFleet::for_run(run.small);
    let outcome = run.runtime.block_on(measure_takeover(&run.launcher, &fleet, run.durations))?;
    let (ordinary, failure) = (&outcome.ordinary, &outcome.failure);
    println!("\na relay of {} workers with {} subscribers", fleet.workers, fleet.subscribers);
    report_cost(run, report, &format!("ordinary day, {} subscribers", fleet.subscribers), &ordinary.cost);
    report_delays(run, report, "ordinary day", &ordinary.delays);
    println!("\nits neighbour dies, and {} more subscribers connect", outcome.moved_subscribers);
    report_cost(
        run,
        report,
        &format!("neighbour died, {} subscribers", 2 * fleet.subscribers),
        &failure.cost,
    );
    report_delays(run, report, "neighbour died", &failure.delays);
    let takeover_seconds = outcome.takeover.as_secs_f64();
    let name = "until the last of the neighbour's subscribers is served";
    let subject = Subject { role: "relay", figure: name, unit: "ms" };
    run.recorder.add_reading(subject, "neighbour died", takeover_seconds * 1000.0);
    run.absolute_bound(
        report,
        name,
        &format!("{takeover_seconds:.3} s (limit 11, target 1)"),
        outcome.takeover <= MAX_PROPAGATION_TIME,
    );
    Ok(())
}

/// Prints and records the figures of a cost.
fn report_cost(run: &mut ScaleRun, report: &Report, at: &str, cost: &Cost) {
    for figure in super::scenario::FIGURES {
        let value = (figure.value)(cost);
        report.figure(&format!("relay, {at}: {}", figure.name), super::format_value(value, figure.unit));
        run.recorder.add_reading(
            Subject { role: "relay", figure: figure.name, unit: figure.unit },
            at,
            value,
        );
    }
}

/// Prints and records the delays, and judges the longest one and the changes that were lost.
fn report_delays(run: &mut ScaleRun, report: &mut Report, at: &str, delays: &Delays) {
    let quantile_ms =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    let kinds =
        [("a subscriber", &delays.per_subscriber_us), ("the last subscriber", &delays.last_subscriber_us)];
    for (receiver, histogram) in kinds {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let figure = format!("a change until {receiver} has it, {name}");
            let value = quantile_ms(histogram, quantile);
            report.figure(&format!("{figure}, {at}"), format!("{value:.2} ms"));
            run.recorder.add_reading(Subject { role: "relay", figure: &figure, unit: "ms" }, at, value);
        }
    }
    let max = Duration::from_micros(delays.last_subscriber_us.max());
    let value = format!(
        "{:.3} s (limit {}, target {})",
        max.as_secs_f64(),
        MAX_PROPAGATION_TIME.as_secs(),
        TARGET_PROPAGATION_TIME.as_secs()
    );
    run.absolute_bound(
        report,
        &format!("{at}: maximum delay of {} changes to the last subscriber", delays.last_subscriber_us.len()),
        &value,
        !delays.last_subscriber_us.is_empty() && max <= MAX_PROPAGATION_TIME,
    );
    report.bound(
        &format!("{at}: changes that did not reach every subscriber"),
        delays.lost,
        delays.lost == 0,
    );
}

/// The results of one phase of the experiment.
struct Phase {
    cost: Cost,
    delays: Delays,
}

/// The results of the experiment.
struct Takeover {
    ordinary: Phase,
    failure: Phase,
    /// The number of subscribers that the neighbour served when it was killed. Those that it served too late at the
    /// start had already moved to the measured relay.
    moved_subscribers: usize,
    /// The time from the kill until the last of the neighbour's subscribers was served by the measured relay.
    takeover: Duration,
}

/// Starts two relays with subscribers, measures one of them on an ordinary day, kills the other and measures again.
async fn measure_takeover(
    launcher: &Launcher,
    fleet: &TargetFleet,
    durations: Durations,
) -> Result<Takeover, ScaleError> {
    let discovery = Discovery::start(fleet.listed_fleet()).await?;
    let mut relay = Relay::start(launcher, discovery.address).await?;
    let mut neighbour = Relay::start(launcher, discovery.address).await?;
    let queries = |first: usize| {
        (first..first + fleet.subscribers)
            .map(|number| fleet.query(&[COMMON_SERVICE, 1 + number]))
            .collect::<Vec<_>>()
    };
    relay.wait_until_synchronized(fleet).await?;
    neighbour.wait_until_synchronized(fleet).await?;
    let own_subscribers = Subscribers::start(&[relay.address], queries(0));
    let neighbour_subscribers =
        Subscribers::start(&[neighbour.address, relay.address], queries(fleet.subscribers));
    let own_subscribers_have_list = || own_subscribers.with_list() == fleet.subscribers;
    relay.process.wait_for("the list at all subscribers", own_subscribers_have_list).await?;
    let neighbour_subscribers_have_list = || neighbour_subscribers.with_list() == fleet.subscribers;
    neighbour
        .process
        .wait_for("the list at the neighbour's subscribers", neighbour_subscribers_have_list)
        .await?;
    // The timed changes are part of the ordinary day's changes.
    let _churn = discovery.churn(fleet.changes_per_second - TIMED_PER_SECOND);
    let changes =
        TimedChanges { discovery: &discovery, fleet: fleet.listed_fleet(), last_number: Default::default() };
    let bytes = || ByteCounts {
        // While both relays run, each reads half of what the source sends.
        received: discovery.traffic().sent() / 2,
        sent: own_subscribers.traffic().received() + neighbour_subscribers.traffic().received(),
    };
    let own_bytes = || ByteCounts { sent: own_subscribers.traffic().received(), ..bytes() };
    let ordinary_durations = Durations { window: durations.window * fleet.relay_windows, ..durations };
    let (ordinary_cost, timed_changes) = tokio::join!(
        measure_cost(&relay.process, ordinary_durations, own_bytes),
        changes.make(TIMED_PER_SECOND, ordinary_durations)
    );
    sleep(Duration::from_secs(1)).await;
    let arrivals = [own_subscribers.take_arrivals(), neighbour_subscribers.take_arrivals()];
    let ordinary = Phase { cost: ordinary_cost?, delays: delays(&timed_changes, &arrivals, fleet, &changes) };
    let (killed_at, moved_subscribers) =
        (Instant::now(), neighbour_subscribers.with_list_from_first_source());
    neighbour.process.kill();
    let failure_durations = Durations { settle: Duration::ZERO, ..durations };
    let (failure_cost, timed_changes) = tokio::join!(
        measure_cost(&relay.process, failure_durations, bytes),
        changes.make(TIMED_PER_SECOND_AT_FAILURE, failure_durations)
    );
    let all_moved = || {
        neighbour_subscribers.with_list_from_first_source() == 0
            && neighbour_subscribers.with_list() == fleet.subscribers
    };
    relay.process.wait_for("the neighbour's subscribers", all_moved).await?;
    sleep(Duration::from_secs(1)).await;
    let arrivals = [own_subscribers.take_arrivals(), neighbour_subscribers.take_arrivals()];
    let failure = Phase { cost: failure_cost?, delays: delays(&timed_changes, &arrivals, fleet, &changes) };
    let takeover =
        neighbour_subscribers.last_first_line().unwrap_or(killed_at).saturating_duration_since(killed_at);
    Ok(Takeover { ordinary, failure, moved_subscribers, takeover })
}

/// Makes timed changes, each to the next worker of the common service in turn.
struct TimedChanges<'a> {
    discovery: &'a Discovery,
    fleet: Fleet,
    /// The number of the last change.
    last_number: std::cell::Cell<usize>,
}

impl TimedChanges<'_> {
    /// The number of workers that are changed in turn.
    fn worker_count(&self) -> usize {
        self.fleet.workers_of(COMMON_SERVICE).count()
    }

    /// Makes changes at this rate during the settle time and the window.
    async fn make(&self, per_second: f64, durations: Durations) -> Vec<TimedChange> {
        let end = tokio::time::Instant::now() + durations.settle + durations.window;
        let mut ticks = interval(Duration::from_secs_f64(1.0 / per_second));
        let mut timed_changes = Vec::new();
        while tokio::time::Instant::now() < end {
            tokio::select! {
                _ = ticks.tick() => timed_changes.push(self.make_one()),
                () = sleep_until(end) => break,
            }
        }
        timed_changes
    }

    fn make_one(&self) -> TimedChange {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let worker =
            self.fleet.workers_of(COMMON_SERVICE).nth(number % self.worker_count()).unwrap_or_default();
        let change = Change { worker, draining: false, started_at_ms: number as u64 };
        TimedChange { number, made_at: self.discovery.change(change) }
    }
}

/// The delays of the timed changes. A later change of the same worker overwrites an earlier one in the entry, so its
/// arrival counts for both. `arrivals` has the arrivals at each group of subscribers.
fn delays(
    timed_changes: &[TimedChange],
    arrivals: &[Vec<Arrival>],
    fleet: &TargetFleet,
    changes: &TimedChanges,
) -> Delays {
    let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid");
    let mut delays = Delays { per_subscriber_us: histogram(), last_subscriber_us: histogram(), lost: 0 };
    let workers = changes.worker_count();
    for change in timed_changes {
        let mut last = Duration::ZERO;
        let mut count = 0;
        for group in arrivals {
            let mut first_arrivals: Vec<Option<Instant>> = vec![None; fleet.subscribers];
            let includes_change = |arrival: &&Arrival| {
                let number = arrival.started_at_ms as usize;
                number >= change.number && number % workers == change.number % workers
            };
            for arrival in group.iter().filter(includes_change) {
                let first = &mut first_arrivals[arrival.subscriber];
                *first = Some(first.map_or(arrival.arrived_at, |first| first.min(arrival.arrived_at)));
            }
            for arrived_at in first_arrivals.into_iter().flatten() {
                let delay = arrived_at.saturating_duration_since(change.made_at);
                delays.per_subscriber_us.saturating_record(delay.as_micros() as u64);
                last = last.max(delay);
                count += 1;
            }
        }
        if count == arrivals.len() * fleet.subscribers {
            delays.last_subscriber_us.saturating_record(last.as_micros() as u64);
        } else {
            delays.lost += 1;
        }
    }
    delays
}
