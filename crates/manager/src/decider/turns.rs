//! One turn of the decisions: what they are told, and what they order.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use juniperrail::Planner;
use juniperrail_intent::Intent;
use juniperrail_interface::{Event, Load, Ms, Order, ProbeOutcome, WorkerId};
use tower::ServiceExt;

use super::{Decider, NEAR};
use crate::inbound::Inbound;
use crate::plane::OutboundMessage;
use crate::presence::Stream;
use crate::probes::ProbeResult;

impl Decider {
    /// Lets the module decide on what came in.
    pub(super) fn turn(&mut self) {
        self.turn_by(Planner::process_events);
    }

    /// The same with another decision in its place, as tests need it.
    pub(super) fn turn_by(&mut self, decide: impl FnOnce(&mut Planner, Ms, &[Event]) -> Vec<Order>) {
        let (now, events) = (self.clock.now(), std::mem::take(&mut self.events));
        let _turn = tracing::debug_span!("turn", events = events.len()).entered();
        self.tally.joined += events.iter().filter(|event| matches!(event, Event::Joined { .. })).count();
        self.tally.left += events.iter().filter(|event| matches!(event, Event::Left { .. })).count();
        if now >= self.tally.logged + self.start.report_period {
            self.tally.log(now, self.presence.here().count());
            self.limit_warnings(now).iter().for_each(|warning| tracing::warn!("{warning}"));
        }
        let turn = AssertUnwindSafe(|| {
            let mut orders = decide(&mut self.planner, now, &events);
            for order in &mut orders {
                if let Order::Mark { number, .. } = order {
                    number.0 = number.0.wrapping_add(self.marks.0);
                    self.marks.1 = number.0;
                }
            }
            (self.plane.messages(&orders, &self.names), orders)
        });
        match catch_unwind(turn) {
            Ok((messages, orders)) => {
                self.failed = (0, 0.0);
                self.dispatch_orders(now, messages, orders)
            }
            Err(_) => self.restart(now),
        }
    }

    /// What is near a limit, as people on call should know it.
    pub(super) fn limit_warnings(&mut self, now: Ms) -> Vec<String> {
        let (waiting, most) = (self.planner.unacknowledged_lines(), self.start.max_pending_lines);
        let full = (waiting >= NEAR.0 * most && most > 0.0)
            .then(|| format!("{waiting:.0} of {most:.0} lines wait in the channel"));
        let grace = self.intent.runtime_settings(&self.start, &self.operations).drain_grace;
        self.leaving.retain(|_, told| now - *told <= grace + self.start.report_period);
        let owed: BTreeMap<WorkerId, Ms> = self
            .leaving
            .iter()
            .filter(|(_, told)| now - **told >= NEAR.1 * grace)
            .map(|(id, at)| (*id, *at))
            .collect();
        let (joined, holding) =
            (self.presence.here().count(), self.planner.synced_proxy_count(&owed.keys().copied().collect()));
        let oldest = owed.iter().min_by(|a, b| a.1.total_cmp(b.1)).filter(|_| holding < joined);
        let late = oldest.map(|(id, told)| {
            let (name, since) = (self.names.workers.get(id.0).unwrap_or("one forgotten"), now - told);
            let missing = joined - holding;
            format!(
                "{missing} of {joined} proxies have not answered for {} workers that leave, {name} for {since:.0} ms of {grace:.0}",
                owed.len()
            )
        });
        full.into_iter().chain(late).collect()
    }

    /// Guards against a panic in the module: it starts anew on the list held and the streams open; at once the first time,
    /// later after ever longer, up to a report period. Guards so against a log that fills where it fails each time.
    pub(super) fn restart(&mut self, now: Ms) {
        let (failed, _) = self.failed;
        let rest = self.tick.as_secs_f64() * 1000.0 * f64::from(2u32.pow(failed.min(16)) - 1);
        self.failed = (failed + 1, now + rest.min(self.start.report_period));
        tracing::error!("the decisions failed and start anew with {} proxies", self.presence.streams.len());
        self.planner = Planner::new(now, self.rng.u64(..), self.start.clone());
        self.marks.0 = self.marks.1;
        self.plane.restart();
        self.wakes.clear();
        self.events.push(self.roster.remembered_list());
        let figures = self.intent.runtime_settings(&self.start, &self.operations);
        if figures != Intent::default().runtime_settings(&self.start, &self.operations) {
            self.events.push(Event::SettingsChanged(figures));
        }
        let here = self.presence.streams.iter_mut().filter(|(_, stream)| stream.silent.is_none());
        for (proxy, stream) in here {
            let Stream { zone, inv_per_second, .. } = *stream;
            stream.absolve();
            self.events.push(Event::Joined { proxy: *proxy, fresh: false, inv_per_second, zone });
        }
        self.wakes.push((now, "anew".into()));
    }

    /// Sends messages to proxies, and does what else is ordered.
    pub(super) fn dispatch_orders(&mut self, now: Ms, messages: Vec<OutboundMessage>, orders: Vec<Order>) {
        self.presence.next_turn();
        for OutboundMessage { proxy, bytes, lines, mark } in messages {
            tracing::trace!("to {}: {lines} lines, {bytes:?}", proxy.0);
            if !self.presence.send(proxy, now, self.start.message_window, mark, bytes) {
                tracing::warn!("proxy {} does not read: its stream is given up", proxy.0);
                self.leave(proxy);
            }
        }
        for order in orders {
            match order {
                Order::SetTimer { after, handle } => self.wakes.push((now + after, handle)),
                Order::Log { about: Some(id), text } => {
                    tracing::info!("{} {text}", self.names.workers.name(id.0));
                }
                Order::Log { about: None, text } => tracing::info!("{text}"),
                Order::Probe { worker } => self.probe(worker),
                Order::FetchList => self.resync.notify_one(),
                Order::Forget { worker } => {
                    self.plane.forget(worker);
                    self.roster.forget(worker, &mut self.names);
                }
                // The watch follows the list from the start on; there is no way to other managers.
                Order::SubscribeToList(_) | Order::SendMessage { .. } => {}
                // Handed out above.
                _ => {}
            }
        }
    }

    /// Probes a worker; what is found comes in like anything else.
    pub(super) fn probe(&mut self, worker: WorkerId) {
        let Some(address) = self.roster.address(worker) else {
            let found =
                ProbeResult { outcome: ProbeOutcome::Unreachable, latency: 0.0, load: Load::default() };
            return self.receive(Inbound::Probed(worker, found));
        };
        let (probes, inbound) = (self.probes.clone(), self.inbound.clone());
        tokio::spawn(async move {
            let Ok(found) = probes.oneshot(address).await;
            if let Some(inbound) = inbound.upgrade() {
                _ = inbound.send(Inbound::Probed(worker, found)).await;
            }
        });
    }
}
