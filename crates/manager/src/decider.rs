//! The one task that owns the decisions: it takes what has come in, at most one turn a tick, wakes the module
//! when it asked for that, and hands out what it orders.

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
use juniperrail_intent::{ChangeTracker, Intent};
use juniperrail_interface::{Event, ListKind, Ms, Phase, Settings, WorkerId};
use juniperrail_northbound::{Notice, PlannerRequest};
use juniperrail_start::Names;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, Instant};

use crate::clock::Clock;
use crate::fleet::EvidenceCollector;
use crate::inbound::Inbound;
use crate::launch::Launch;
use crate::limiter::KnownZones;
use crate::plane::Plane;
use crate::presence::Presence;
use crate::probes::{ProbeResult, ProbeService};
use crate::roster::Roster;
use crate::tally::Tally;

/// Only the wakes and silences due sooner matter.
const LONGEST_SLEEP: Ms = 3_600_000.0;

/// Where a turn that the module asked for tells how late it came, in milliseconds, as the field `late`.
pub const TURN_TARGET: &str = "juniperrail::turns";

/// Parts of what may wait in the channel, and of a drain's grace, from which on the log tells of it.
const NEAR: (f64, f64) = (0.8, 0.6);

/// How far the open changes have come is looked at no more often.
const PROGRESS_CHECK_EVERY: Ms = 5.0;

/// The ways to and from the north, where there is one.
pub struct NorthboundChannels {
    /// Requests that are answered in the turn in which they are taken.
    pub requests: mpsc::Receiver<PlannerRequest>,
    /// What is told without being asked for.
    pub notices: mpsc::Sender<Notice>,
}

/// The decision module with all that it goes by, and the books on what it has ordered.
pub struct Decider {
    name: String,
    planner: Planner,
    /// As the settings gave it; what operators changed is told to the module beside it.
    start: Settings,
    operations: Vec<String>,
    intent: Intent,
    names: Names,
    rng: fastrand::Rng,
    clock: Clock,
    tick: Duration,
    plane: Plane,
    presence: Presence,
    roster: Roster,
    progress: ChangeTracker,
    progress_checked_at: Ms,
    wakes: Vec<(Ms, String)>,
    /// What the next turn is told.
    events: Vec<Event>,
    tally: Tally,
    /// What is added to the module's marks as they go out, and the last that did. Guards against answers to marks of a
    /// module that failed: the next one counts from the start again.
    marks: (u16, u16),
    /// Turns in a row in which the module failed, and until when there is none for that.
    failed: (u32, Ms),
    /// Who leaves and since when that was told, for as long as it may be owed.
    leaving: BTreeMap<WorkerId, Ms>,
    probes: ProbeService,
    inbound: mpsc::WeakSender<Inbound>,
    resync: Rc<Notify>,
    north: Option<NorthboundChannels>,
    /// Who may come from where, for whoever takes connections.
    zones: Rc<KnownZones>,
    /// What is decided in common, and what is told of it.
    fleet: Option<(FleetHandle, EvidenceCollector)>,
}

impl Decider {
    /// Decides on the list as last held, and on what the operator's file wants, before anything comes in.
    pub fn new(
        launch: Launch,
        probes: ProbeService,
        inbound: &mpsc::Sender<Inbound>,
        resync: Rc<Notify>,
        north: Option<NorthboundChannels>,
        zones: Rc<KnownZones>,
    ) -> Self {
        let (clock, start, names) = (Clock::start(), launch.fixed.settings, launch.names);
        let operation = |op| names.ops.name(op as u32).to_string();
        let mut decider = Decider {
            name: launch.fixed.name,
            planner: Planner::new(clock.now(), launch.seed, start.clone()),
            operations: (0..start.operations.len()).map(operation).collect(),
            start,
            intent: Intent::default(),
            names,
            rng: fastrand::Rng::with_seed(launch.seed),
            clock,
            tick: launch.fixed.tick,
            plane: Plane::default(),
            presence: Presence::new(launch.silence_timeouts),
            roster: Roster::default(),
            progress: ChangeTracker::default(),
            progress_checked_at: 0.0,
            wakes: Vec::new(),
            events: Vec::new(),
            tally: Tally::default(),
            marks: (0, 0),
            failed: (0, 0.0),
            leaving: BTreeMap::new(),
            probes,
            inbound: inbound.downgrade(),
            resync,
            north,
            zones,
            fleet: None,
        };
        let known = launch.cached_list.unwrap_or_default();
        let event = decider.roster.apply_list(&known, ListKind::Cached, &mut decider.names);
        decider.apply_list(event);
        let wanted = launch.operator_config.map(|config| config.intent).unwrap_or_default();
        // The list may be old: what it would not bear is said, and the decisions bear it as they bear any loss.
        for refusal in decider.check_intent(&wanted) {
            tracing::warn!("the operator's file: {refusal}");
        }
        decider.apply_intent(wanted);
        decider.turn();
        decider
    }

    /// What is decided in common with other managers is part of the state from now on.
    pub fn with_fleet(self, fleet: Option<FleetHandle>) -> Self {
        Decider { fleet: fleet.map(|common| (common, EvidenceCollector::default())), ..self }
    }

    /// Decides for good, or until nobody can send anything any more.
    pub async fn run(mut self, mut inbound: mpsc::Receiver<Inbound>) {
        let mut last = Instant::now();
        loop {
            let wakes = self.wakes.iter().map(|(at, _)| *at).chain(self.presence.next());
            let look =
                self.progress.distributing().next().map(|_| self.progress_checked_at + PROGRESS_CHECK_EVERY);
            let rested = Some(self.failed.1).filter(|_| !self.events.is_empty());
            let wake = wakes.chain(look).chain(rested).fold(self.clock.now() + LONGEST_SLEEP, f64::min);
            let (mut first, mut asked, mut agreed) = (None, None, None);
            tokio::select! {
                inbound = inbound.recv() => match inbound {
                    Some(inbound) => first = Some(inbound),
                    None => return,
                },
                ask = next_ask(&mut self.north) => asked = Some(ask),
                parts = next_plan(&mut self.fleet) => agreed = Some(parts),
                () = sleep_until(self.clock.instant(wake)) => {}
            }
            sleep_until(last + self.tick).await;
            first.into_iter().for_each(|first| self.receive(first));
            while let Ok(next) = inbound.try_recv() {
                self.receive(next);
            }
            let now = self.clock.now();
            self.check_silences(now);
            let due: Vec<(Ms, String)> = self.wakes.extract_if(.., |(at, _)| *at <= now).collect();
            if let Some(at) = due.iter().map(|(at, _)| *at).reduce(f64::min) {
                tracing::trace!(target: TURN_TARGET, late = now - at);
            }
            self.events.extend(due.into_iter().map(|(_, handle)| Event::TimerFired { handle }));
            last = Instant::now();
            asked.into_iter().for_each(|ask| self.answer_request(ask));
            agreed.into_iter().for_each(|parts| self.apply_plan(&parts));
            self.report_evidence(now);
            if !self.events.is_empty() && now >= self.failed.1 {
                self.turn();
            }
            self.check_progress(now);
        }
    }

    /// Takes one message in; what it means for the decisions waits for the next turn.
    fn receive(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Listing(listing) => {
                let kind = if listing.full { ListKind::Full } else { ListKind::Changes };
                let event = self.roster.apply_list(&listing, kind, &mut self.names);
                self.apply_list(event);
            }
            Inbound::Joined { stream, hello, outbox } => self.join(stream, hello, outbox),
            Inbound::Ended(stream, why) => {
                why.into_iter().for_each(|why| self.tally.broke.add(why));
                let left = self.presence.proxy_of(stream);
                left.into_iter().for_each(|proxy| self.leave(proxy));
            }
            Inbound::Reported(from, report) => match self.report(from, report) {
                Ok(event) => self.events.push(event),
                Err(why) => {
                    tracing::debug!("passed over: {why}");
                    self.tally.odd.add(why);
                }
            },
            Inbound::Rejected(why) => self.tally.away.add(why),
            Inbound::Probed(worker, ProbeResult { outcome, latency, load }) => {
                self.events.push(Event::Probed { worker, outcome, took: latency, load });
            }
        }
    }

    /// A list, or changes of it, holds from the next turn on.
    fn apply_list(&mut self, event: Event) {
        if let Event::List { workers, .. } = &event {
            let now = self.clock.now();
            for listed in workers {
                self.plane.listed(listed);
                match listed.phase {
                    Phase::Ready => _ = self.leaving.remove(&listed.worker),
                    Phase::Draining | Phase::Gone => _ = self.leaving.entry(listed.worker).or_insert(now),
                }
                self.zones.add(self.names.zones.name(listed.zone.0.into()));
            }
        }
        self.events.push(event);
    }
}

/// The north's next ask; never where there is no north, or none any more.
async fn next_ask(north: &mut Option<NorthboundChannels>) -> PlannerRequest {
    let Some(known) = north else { return std::future::pending().await };
    match known.requests.recv().await {
        Some(ask) => ask,
        None => {
            *north = None;
            std::future::pending().await
        }
    }
}

/// The next plan in common; never where nothing is decided in common.
async fn next_plan(fleet: &mut Option<(FleetHandle, EvidenceCollector)>) -> Arc<ZoneWeightRatios> {
    match fleet {
        Some((common, _)) => common.next_weight_ratios().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
