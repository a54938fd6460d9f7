//! One turn of the planner: its events and its orders.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use juniperrail::Planner;
use juniperrail_intent::Intent;
use juniperrail_interface::{Event, Load, Ms, Order, ProbeOutcome, WorkerId};
use tower::ServiceExt;

use super::{Decider, CHANNEL_WARNING_RATIO, DRAIN_GRACE_WARNING_RATIO};
use crate::connection_tracker::Stream;
use crate::inbound::Inbound;
use crate::order_writer::OutboundMessage;
use crate::probes::ProbeResult;

impl Decider {
    /// Runs the planner on the events received since the last turn.
    pub(super) fn run_turn(&mut self) {
        self.run_turn_with(Planner::process_events);
    }

    /// Runs a turn in which `decide` makes the orders: the planner's own function, or a replacement in a test.
    pub(super) fn run_turn_with(&mut self, decide: impl FnOnce(&mut Planner, Ms, &[Event]) -> Vec<Order>) {
        let now = self.clock.now();
        let events = std::mem::take(&mut self.events);
        let _turn = tracing::debug_span!("turn", events = events.len()).entered();
        self.log_summary.joined_proxies +=
            events.iter().filter(|event| matches!(event, Event::Joined { .. })).count();
        self.log_summary.left_proxies +=
            events.iter().filter(|event| matches!(event, Event::Left { .. })).count();
        if now >= self.log_summary.logged_at + self.settings.report_period {
            self.log_summary.log(now, self.connections.joined().count());
            self.limit_warnings(now).iter().for_each(|warning| tracing::warn!("{warning}"));
        }
        let turn = AssertUnwindSafe(|| {
            let mut orders = decide(&mut self.planner, now, &events);
            for order in &mut orders {
                if let Order::Mark { number, .. } = order {
                    number.0 = number.0.wrapping_add(self.mark_offset);
                    self.last_mark = number.0;
                }
            }
            (self.order_writer.messages(&orders, &self.names), orders)
        });
        match catch_unwind(turn) {
            Ok((messages, orders)) => {
                self.failure_count = 0;
                self.retry_at = 0.0;
                self.dispatch_orders(now, messages, orders)
            }
            Err(_) => self.restart_planner(now),
        }
    }

    /// Warnings for operators: that the channel is nearly full, and that proxies are slow to acknowledge the removal of
    /// workers.
    pub(super) fn limit_warnings(&mut self, now: Ms) -> Vec<String> {
        let pending_lines = self.planner.unacknowledged_lines();
        let max_pending_lines = self.settings.max_pending_lines;
        let channel_warning = (pending_lines >= CHANNEL_WARNING_RATIO * max_pending_lines
            && max_pending_lines > 0.0)
            .then(|| format!("{pending_lines:.0} of {max_pending_lines:.0} lines wait in the channel"));
        let grace = self.intent.runtime_settings(&self.settings, &self.operation_names).drain_grace;
        self.leaving.retain(|_, leaving_since| now - *leaving_since <= grace + self.settings.report_period);
        let overdue: BTreeMap<WorkerId, Ms> = self
            .leaving
            .iter()
            .filter(|(_, leaving_since)| now - **leaving_since >= DRAIN_GRACE_WARNING_RATIO * grace)
            .map(|(id, leaving_since)| (*id, *leaving_since))
            .collect();
        let joined = self.connections.joined().count();
        let synced = self.planner.synced_proxy_count(&overdue.keys().copied().collect());
        let oldest = overdue.iter().min_by(|a, b| a.1.total_cmp(b.1)).filter(|_| synced < joined);
        let drain_warning = oldest.map(|(id, leaving_since)| {
            let name = self.names.workers.find_name(id.0).unwrap_or("a removed worker");
            let leaving_for = now - leaving_since;
            let missing = joined - synced;
            format!(
                "{missing} of {joined} proxies have not acknowledged the removal of {} workers, {name} for {leaving_for:.0} ms of {grace:.0}",
                overdue.len()
            )
        });
        channel_warning.into_iter().chain(drain_warning).collect()
    }

    /// Restarts the planner after a panic, with the current worker list and the open streams.
    ///
    /// The first retry is immediate; the delay of later ones grows up to a report period, so that a planner that fails
    /// each time does not flood the log.
    pub(super) fn restart_planner(&mut self, now: Ms) {
        let failures = self.failure_count;
        // No tick, then 1, 3, 7, ... ticks.
        let delay = self.tick.as_secs_f64() * 1000.0 * f64::from(2u32.pow(failures.min(16)) - 1);
        self.failure_count = failures + 1;
        self.retry_at = now + delay.min(self.settings.report_period);
        tracing::error!("the planner failed and restarts with {} proxies", self.connections.streams.len());
        self.planner = Planner::new(now, self.rng.u64(..), self.settings.clone());
        self.mark_offset = self.last_mark;
        self.order_writer.handle_planner_restart();
        self.timers.clear();
        self.events.push(self.registry.current_list());
        let runtime = self.intent.runtime_settings(&self.settings, &self.operation_names);
        if runtime != Intent::default().runtime_settings(&self.settings, &self.operation_names) {
            self.events.push(Event::SettingsChanged(runtime));
        }
        let joined_streams = self.connections.streams.iter_mut().filter(|(_, stream)| stream.is_joined());
        for (proxy, stream) in joined_streams {
            let Stream { zone, inv_per_second, .. } = *stream;
            stream.clear_pending_marks();
            self.events.push(Event::Joined { proxy: *proxy, fresh: false, inv_per_second, zone });
        }
        self.timers.push((now, "anew".into()));
    }

    /// Sends the messages to proxies, and carries out all other orders.
    pub(super) fn dispatch_orders(&mut self, now: Ms, messages: Vec<OutboundMessage>, orders: Vec<Order>) {
        self.connections.start_turn();
        for OutboundMessage { proxy, bytes, lines, mark } in messages {
            tracing::trace!("to proxy {}: {lines} lines, {bytes:?}", proxy.0);
            if !self.connections.send(proxy, now, self.settings.message_window, mark, bytes) {
                tracing::warn!("proxy {} does not read: its connection is closed", proxy.0);
                self.remove_proxy(proxy);
            }
        }
        for order in orders {
            match order {
                Order::SetTimer { after, handle } => self.timers.push((now + after, handle)),
                Order::Log { about: Some(id), text } => {
                    tracing::info!("{} {text}", self.names.workers.name(id.0));
                }
                Order::Log { about: None, text } => tracing::info!("{text}"),
                Order::Probe { worker } => self.probe(worker),
                Order::FetchList => self.resync.notify_one(),
                Order::Forget { worker } => {
                    self.order_writer.forget(worker);
                    self.registry.forget(worker, &mut self.names);
                }
                // The worker list is always watched, and planners of other managers are not reachable.
                Order::SubscribeToList(_) | Order::SendMessage { .. } => {}
                // Already contained in the messages to proxies.
                _ => {}
            }
        }
    }

    /// Probes a worker; the result is received as a message.
    pub(super) fn probe(&mut self, worker: WorkerId) {
        let Some(address) = self.registry.address(worker) else {
            let result =
                ProbeResult { outcome: ProbeOutcome::Unreachable, latency: 0.0, load: Load::default() };
            return self.receive(Inbound::Probed(worker, result));
        };
        let probes = self.probes.clone();
        let inbound = self.inbound.clone();
        tokio::spawn(async move {
            let Ok(result) = probes.oneshot(address).await;
            if let Some(inbound) = inbound.upgrade() {
                _ = inbound.send(Inbound::Probed(worker, result)).await;
            }
        });
    }
}
