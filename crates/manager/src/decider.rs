//! The task that owns the planner: it handles what was received in at most one turn per tick, wakes the planner when
//! its timers expire, and carries out its orders.

mod intents;
mod proxies;
mod state;
mod turns;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use juniperrail::Planner;
use juniperrail_fleet::{FleetHandle, ZoneWeightRatios};
use juniperrail_intent::{ChangeTracker, Intent, IntentChange};
use juniperrail_interface::{Event, ListKind, Ms, Phase, Settings, WorkerId};
use juniperrail_northbound::{Notice, PlannerRequest};
use juniperrail_start::Names;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, Instant};

use crate::clock::Clock;
use crate::connection_tracker::ConnectionTracker;
use crate::fleet::EvidenceCollector;
use crate::inbound::Inbound;
use crate::launch::Launch;
use crate::limiter::KnownZones;
use crate::listing::Listing;
use crate::log_summary::LogSummary;
use crate::order_writer::OrderWriter;
use crate::probes::{ProbeResult, ProbeService};
use crate::worker_registry::{AppliedList, WorkerRegistry};

/// The longest sleep without an event.
const MAX_SLEEP_MS: Ms = 3_600_000.0;

/// Log target of turns that a timer of the planner started. The field `late` is the time in milliseconds from the
/// expiry of the earliest timer to the turn.
pub const TURN_TARGET: &str = "juniperrail::turns";

/// Limit on the log lines about faults of the operator's file at the start.
const MAX_LOGGED_REFUSALS: usize = 16;

/// A warning is logged once this share of the limit on unacknowledged lines is reached.
const CHANNEL_WARNING_RATIO: f64 = 0.8;

/// A warning is logged once the removal of a worker has been unacknowledged for this share of the drain grace.
const DRAIN_GRACE_WARNING_RATIO: f64 = 0.6;

/// Time between two checks of whether all joined proxies have applied the changes that are being distributed.
const PROGRESS_CHECK_PERIOD_MS: Ms = 5.0;

/// The channels to the northbound management interface, where one is configured.
pub struct NorthboundChannels {
    /// Requests; each is answered in the turn in which it is received.
    pub requests: mpsc::Receiver<PlannerRequest>,
    /// Notices that do not answer a request.
    pub notices: mpsc::Sender<Notice>,
}

/// The planner with its inputs, and the state that its orders produced.
pub struct Decider {
    name: String,
    planner: Planner,
    /// The settings read at the start; the planner receives the operator's changes as events.
    settings: Settings,
    operation_names: Vec<String>,
    intent: Intent,
    names: Names,
    rng: fastrand::Rng,
    clock: Clock,
    tick: Duration,
    order_writer: OrderWriter,
    connections: ConnectionTracker,
    registry: WorkerRegistry,
    /// The distribution of the operator's changes to the proxies.
    progress: ChangeTracker,
    progress_checked_at: Ms,
    /// The planner's timers: when each expires, and its handle.
    timers: Vec<(Ms, String)>,
    /// Events for the next turn.
    events: Vec<Event>,
    log_summary: LogSummary,
    /// Added to the planner's mark numbers when they are sent. A restarted planner counts from the start again: the
    /// offset keeps acknowledgements of the failed planner's marks from being taken for the new one's.
    mark_offset: u16,
    /// The last mark number that was sent.
    last_mark: u16,
    /// The number of consecutive turns in which the planner failed.
    failure_count: u32,
    /// No turn is run before this time, because the planner failed.
    retry_at: Ms,
    /// Since when each worker has been draining or gone; kept while acknowledgements of its removal may be pending.
    leaving: BTreeMap<WorkerId, Ms>,
    probes: ProbeService,
    inbound: mpsc::WeakSender<Inbound>,
    resync: Rc<Notify>,
    northbound: Option<NorthboundChannels>,
    /// The known zones, shared with the task that accepts connections.
    zones: Rc<KnownZones>,
    /// The consensus with other managers, and the evidence that is reported to it.
    fleet: Option<(FleetHandle, EvidenceCollector)>,
}

impl Decider {
    /// Creates a decider and runs its first turn, on the cached worker list and the operator's file, before anything is
    /// received.
    pub fn new(
        launch: Launch,
        probes: ProbeService,
        inbound: &mpsc::Sender<Inbound>,
        resync: Rc<Notify>,
        northbound: Option<NorthboundChannels>,
        zones: Rc<KnownZones>,
    ) -> Self {
        let clock = Clock::start();
        let settings = launch.fixed.settings;
        let names = launch.names;
        let operation_name = |op| names.ops.name(op as u32).to_string();
        let mut decider = Decider {
            name: launch.fixed.name,
            planner: Planner::new(clock.now(), launch.seed, settings.clone()),
            operation_names: (0..settings.operations.len()).map(operation_name).collect(),
            settings,
            intent: Intent::default(),
            names,
            rng: fastrand::Rng::with_seed(launch.seed),
            clock,
            tick: launch.fixed.tick,
            order_writer: OrderWriter::default(),
            connections: ConnectionTracker::new(launch.silence_timeouts),
            registry: WorkerRegistry::default(),
            progress: ChangeTracker::default(),
            progress_checked_at: 0.0,
            timers: Vec::new(),
            events: Vec::new(),
            log_summary: LogSummary::default(),
            mark_offset: 0,
            last_mark: 0,
            failure_count: 0,
            retry_at: 0.0,
            leaving: BTreeMap::new(),
            probes,
            inbound: inbound.downgrade(),
            resync,
            northbound,
            zones,
            fleet: None,
        };
        let cached_list = launch.cached_list.unwrap_or_default();
        decider.receive_list(&cached_list, ListKind::Remembered);
        let intent = launch.operator_config.map(|config| config.intent).unwrap_or_default();
        // The cached list may be stale, so refusals are only logged; the planner handles a missing worker like any
        // other loss of a worker.
        let refusals = decider.check_intent(&intent, IntentChange::Startup);
        for refusal in refusals.iter().take(MAX_LOGGED_REFUSALS) {
            tracing::warn!("the operator's file: {refusal}");
        }
        if let Some(others) = refusals.len().checked_sub(MAX_LOGGED_REFUSALS).filter(|others| *others > 0) {
            tracing::warn!("the operator's file: {others} more faults of this kind");
        }
        decider.apply_intent(intent, IntentChange::Startup);
        decider.warn_of_kept_drains();
        decider.run_turn();
        decider
    }

    /// Adds the consensus with other managers, if one is configured.
    pub fn with_fleet(self, fleet: Option<FleetHandle>) -> Self {
        Decider { fleet: fleet.map(|handle| (handle, EvidenceCollector::default())), ..self }
    }

    /// Runs turns until all senders of messages are dropped.
    pub async fn run(mut self, mut inbound: mpsc::Receiver<Inbound>) {
        let mut last_turn = Instant::now();
        loop {
            let timers =
                self.timers.iter().map(|(expires_at, _)| *expires_at).chain(self.connections.next_timeout());
            let progress_check = self
                .progress
                .distributing()
                .next()
                .map(|_| self.progress_checked_at + PROGRESS_CHECK_PERIOD_MS);
            let retry = Some(self.retry_at).filter(|_| !self.events.is_empty());
            let wake_at =
                timers.chain(progress_check).chain(retry).fold(self.clock.now() + MAX_SLEEP_MS, f64::min);
            let mut first_message = None;
            let mut request = None;
            let mut plan = None;
            tokio::select! {
                received = inbound.recv() => match received {
                    Some(message) => first_message = Some(message),
                    None => return,
                },
                received = next_request(&mut self.northbound) => request = Some(received),
                ratios = next_plan(&mut self.fleet) => plan = Some(ratios),
                () = sleep_until(self.clock.instant(wake_at)) => {}
            }
            // A drain that is received after an operator's request is later than the request.
            if let Some(request) = request {
                self.receive_queued(&mut inbound);
                self.answer_request(request);
            }
            sleep_until(last_turn + self.tick).await;
            first_message.into_iter().for_each(|message| self.receive(message));
            self.receive_queued(&mut inbound);
            let now = self.clock.now();
            self.handle_timeouts(now);
            let expired: Vec<(Ms, String)> =
                self.timers.extract_if(.., |(expires_at, _)| *expires_at <= now).collect();
            if let Some(earliest) = expired.iter().map(|(expires_at, _)| *expires_at).reduce(f64::min) {
                tracing::trace!(target: TURN_TARGET, late = now - earliest);
            }
            self.events.extend(expired.into_iter().map(|(_, handle)| Event::TimerFired { handle }));
            last_turn = Instant::now();
            plan.into_iter().for_each(|ratios| self.apply_plan(&ratios));
            self.report_evidence(now);
            if !self.events.is_empty() && now >= self.retry_at {
                self.run_turn();
            }
            self.check_progress(now);
        }
    }

    /// Handles all messages that have been received.
    fn receive_queued(&mut self, inbound: &mut mpsc::Receiver<Inbound>) {
        while let Ok(message) = inbound.try_recv() {
            self.receive(message);
        }
    }

    /// Handles a received message; its events wait for the next turn.
    fn receive(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Listing(listing) => {
                let kind = if listing.full { ListKind::Full } else { ListKind::Changes };
                self.receive_list(&listing, kind);
            }
            Inbound::Joined { stream, hello, outbox } => self.handle_join(stream, hello, outbox),
            Inbound::Ended(stream, error) => self.handle_end(stream, error),
            Inbound::Reported(sender, report) => match self.translate_report(sender, report) {
                Ok(event) => self.events.push(event),
                Err(reason) => {
                    tracing::debug!("ignored: {reason}");
                    self.log_summary.ignored_lines.record(reason);
                }
            },
            Inbound::Rejected(reason) => self.log_summary.rejected_connections.record(reason),
            Inbound::Probed(worker, ProbeResult { outcome, latency, load }) => {
                self.events.push(Event::Probed { worker, outcome, took: latency, load });
            }
        }
    }

    /// Applies a list from discovery from the next turn on.
    fn receive_list(&mut self, listing: &Listing, kind: ListKind) {
        let AppliedList { event, summary, skipped } =
            self.registry.apply_list(listing, kind, &mut self.names);
        if let Some(summary) = self.log_summary.lists.record(summary) {
            tracing::info!("{summary}");
        }
        if let Some(skipped) = skipped.and_then(|skipped| self.log_summary.unreadable_entries.record(skipped))
        {
            tracing::warn!("{skipped}");
        }
        self.apply_list(event);
    }

    /// Applies a worker list, or changes to it, from the next turn on.
    fn apply_list(&mut self, event: Event) {
        if let Event::List { workers, .. } = &event {
            let now = self.clock.now();
            for entry in workers {
                self.order_writer.record_entry(entry);
                match entry.phase {
                    Phase::Ready => _ = self.leaving.remove(&entry.worker),
                    Phase::Draining | Phase::Gone => _ = self.leaving.entry(entry.worker).or_insert(now),
                }
                self.zones.add(self.names.zones.name(entry.zone.0.into()));
            }
        }
        self.events.push(event);
    }
}

/// The next northbound request; pending forever if there is no northbound interface or it has stopped.
async fn next_request(northbound: &mut Option<NorthboundChannels>) -> PlannerRequest {
    let Some(channels) = northbound else { return std::future::pending().await };
    match channels.requests.recv().await {
        Some(request) => request,
        None => {
            *northbound = None;
            std::future::pending().await
        }
    }
}

/// Waits until another failover plan is active and returns its weight ratios; pending forever if no consensus is
/// configured.
async fn next_plan(fleet: &mut Option<(FleetHandle, EvidenceCollector)>) -> Arc<ZoneWeightRatios> {
    match fleet {
        Some((handle, _)) => handle.next_weight_ratios().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
