//! Handling of events: the state of workers and proxies follows what the host reports.

use crate::numbers::mean;
use crate::{Planner, Proxy, Sample, UpdateKey, UpdateState, Worker};
use juniperrail_interface::*;
use std::collections::VecDeque;

/// Number of reports kept for each worker.
const MAX_WORKER_SAMPLES: usize = 12;
/// Number of streams that ended unanswered, one after the other, from which on a proxy may be delayed.
const MIN_UNANSWERED_STREAMS: i32 = 2;
/// Messages that the message limit must have room for when a delayed proxy joins.
const REJOIN_MESSAGES: usize = 2;
/// Number of streams that may end unanswered, one after the other, before the next one is delayed. Networks break a few.
const MAX_PROMPT_REJOINS: i32 = 3;
/// The first delay of a proxy that connects again, as a fraction of the report period; each further one is twice as long.
const MIN_REJOIN_DELAY_RATIO: f64 = 1.0 / 16.0;
/// The longest such delay, in report periods.
const MAX_REJOIN_DELAY_RATIO: f64 = 8.0;
/// Number of demand reports kept for each proxy and operation.
const MAX_DEMAND_SAMPLES: usize = 3;

impl Planner {
    /// Applies one event to the state; the planner decides once all events of the turn are applied.
    pub(crate) fn handle_event(&mut self, event: &Event) {
        match event {
            Event::List { kind: ListKind::Failed, .. } => {
                // From 1/16 to 3/16 of the deadline, at random, so that managers whose requests failed together do not
                // repeat them together.
                let delay = self.settings.list_request_deadline / 8.0 * (0.5 + self.rng.f64());
                self.list_request_at = self.settings.list_on_request.then_some(self.now + delay);
            }
            Event::List { kind, workers, .. } => {
                let still_listed =
                    |id| *kind == ListKind::Changes || workers.iter().any(|entry| entry.worker == id);
                let missing = self.workers.values().filter(|worker| !still_listed(worker.listed.worker));
                let as_gone = |worker: &Worker| WorkerEntry { phase: Phase::Gone, ..worker.listed.clone() };
                let gone: Vec<_> = missing.map(as_gone).collect();
                let is_change = *kind == ListKind::Changes;
                gone.iter().chain(workers).for_each(|entry| self.apply_listed(entry.clone(), is_change));
            }
            Event::SettingsChanged(changed) => {
                let settings = &mut self.settings;
                settings.drain_grace = changed.drain_grace;
                settings.warm_up = changed.warm_up;
                settings.cold_share = changed.cold_share;
                settings.overload_factor = changed.overload_factor;
                for (op, values) in settings.operations.iter_mut().zip(&changed.operations) {
                    (op.latency_objective, op.billed_value) = *values;
                }
            }
            Event::TimerFired { .. } => self.timer_due = true,
            Event::Joined { proxy, inv_per_second, zone, .. } => {
                let (zone, inv_per_second) = (*zone, *inv_per_second);
                let acknowledged_mark = self.last_mark;
                if !self.settings.zones.contains(&zone) {
                    // A proxy of a zone that the settings do not name would have no table.
                    self.settings.zones.push(zone);
                    let partitions: Vec<Option<usize>> = self.partition_tables.keys().copied().collect();
                    partitions.into_iter().for_each(|partition| self.build_tables(partition, Some(zone)));
                }
                // The end of an earlier stream may not have been reported.
                self.end_stream(*proxy);
                let unbound_ops = self.all_operations();
                let joined = Proxy {
                    zone,
                    inv_per_second,
                    unbound_since: self.now,
                    unbound_ops,
                    acknowledged_mark,
                    joined_at: self.now,
                    ..Proxy::default()
                };
                self.proxies.insert(*proxy, joined);
            }
            Event::Left { proxy } => {
                // The proxy's bindings end, and its acknowledgements are no longer awaited. An update that no proxy is
                // left to acknowledge becomes idle and is sent again. The proxy's next bind carries all values.
                self.end_stream(*proxy);
            }
            Event::MarkAcknowledged { mark, proxy, .. } => {
                // The newest mark sent with these low 16 bits: the numbers of marks on the channel wrap around.
                let mark =
                    self.last_mark.saturating_sub(self.last_mark.wrapping_sub(u64::from(mark.0)) & 0xffff);
                let joined_proxy = self.proxies.get_mut(proxy);
                let is_newer = |joined_proxy: &&mut Proxy| joined_proxy.acknowledged_mark < mark;
                let Some(joined_proxy) = joined_proxy.filter(is_newer) else { return };
                joined_proxy.acknowledged_mark = mark;
                self.progress_at = self.now;
                // One proxy's acknowledgement shows that all earlier marks have left the shared channel.
                self.unacknowledged = self.unacknowledged.split_off(&(mark, ProxyId(0)));
                self.unacknowledged.remove(&(mark, *proxy));
            }
            Event::ProxySums { proxy, op, invocations, period, .. } => {
                let Some(joined_proxy) = self.proxies.get_mut(proxy) else { return };
                let rates = joined_proxy.demand.entry(*op).or_default();
                rates.push_front(invocations * 1000.0 / period.max(1.0));
                rates.truncate(MAX_DEMAND_SAMPLES);
            }
            Event::WorkerSums { worker, tries, failed, mean_latency, load, .. } => {
                let Some(listed_worker) = self.workers.get_mut(worker) else { return };
                listed_worker.samples.push_front(Sample {
                    received_at: self.now,
                    tries: *tries,
                    failed_tries: *failed,
                    success_time: (tries - failed) * mean_latency,
                    utilization: load.utilization,
                });
                listed_worker.samples.truncate(MAX_WORKER_SAMPLES);
            }
            _ => {}
        }
    }

    /// Ends the stream of a proxy and its bindings to all tables.
    fn end_stream(&mut self, id: ProxyId) {
        for table in &mut self.tables {
            table.bound_proxies.remove(&id);
        }
        let Some(proxy) = self.proxies.remove(&id) else { return };
        let is_short = self.now - proxy.joined_at < self.settings.message_window;
        let is_unanswered = proxy.sent_mark > proxy.acknowledged_mark;
        let count = self.unanswered_streams.entry(id).or_default();
        if !is_short {
            *count = 0;
        }
        if is_unanswered {
            *count += 1;
        }
    }

    /// How long the host has to wait before it reports a proxy as joined that connects now.
    ///
    /// A proxy resets a stream that brings what it cannot use, and then connects again. If each message is refused in
    /// this way, the binds would use up the messages allowed to it, and updates that all proxies are sent would wait for
    /// it. The delay grows with the number of streams that ended so, and lasts until the message limit has room for a
    /// bind and an exclusion. A bind carries all that was sent meanwhile.
    pub fn rejoin_delay(&self, now: Ms, id: ProxyId) -> Ms {
        let count = self.unanswered_streams.get(&id).copied().unwrap_or(0);
        if count < MIN_UNANSWERED_STREAMS {
            return 0.0;
        }
        let doublings = count - MAX_PROMPT_REJOINS - 1;
        let backoff = if doublings < 0 { 0.0 } else { MIN_REJOIN_DELAY_RATIO * 2f64.powi(doublings) };
        let backoff = self.settings.report_period * backoff.min(MAX_REJOIN_DELAY_RATIO);
        backoff.max(self.message_room_at(id, REJOIN_MESSAGES) - now)
    }

    /// Applies one entry of the worker list. `is_change`: the entry is from a change of the list, not from a full list.
    fn apply_listed(&mut self, mut listed: WorkerEntry, is_change: bool) {
        // A worker listed without a positive weight gets the mean weight of the known workers, or 1 if there are none.
        let known_weights = self.workers.values().map(|worker| worker.listed.weight);
        listed.weight = if listed.weight > 0.0 { listed.weight } else { mean(known_weights).unwrap_or(1.0) };
        let now = self.now;
        let new_worker = Worker {
            listed: listed.clone(),
            drain_requested_at: now,
            weight_factor: 1.0,
            weight_adjusted_at: f64::NEG_INFINITY,
            samples: VecDeque::new(),
            partition: None,
            possibly_excluded: is_change,
        };
        let unknown_exclusion = UpdateState { desired: f64::NAN, sent: f64::NAN, ..UpdateState::default() };
        self.updates.entry(UpdateKey::Exclusion(listed.worker)).or_insert(unknown_exclusion);
        let worker = self.workers.entry(listed.worker).or_insert(new_worker);
        if listed.started_at > worker.listed.started_at {
            worker.weight_factor = 1.0;
            worker.samples = VecDeque::new();
        }
        if !worker.possibly_excluded && (listed.started_at.is_some() || listed.phase != Phase::Ready) {
            worker.possibly_excluded = true;
            let lines = self.tables.iter().map(|table| UpdateKey::Line(table.id, listed.worker));
            lines.for_each(|line| {
                _ = self.updates.get_mut(&line).map(|update| update.readmission_uncertain = true)
            });
        }
        self.has_listed_workers = true;
        let stopped_being_ready = worker.listed.phase == Phase::Ready && listed.phase != Phase::Ready;
        worker.drain_requested_at = if stopped_being_ready { now } else { worker.drain_requested_at };
        worker.listed = listed;
    }
}
