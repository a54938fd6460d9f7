//! Handles the streams of proxies, and reports of proxies and collectors.

use juniperrail_interface::{Event, MarkId, Ms, ProxyId, WorkerId, ZoneId};

use super::Decider;
use crate::connection_tracker::{Presence, Stream, StreamTimeout};
use crate::inbound::{Hello, Outbox, StreamId};
use crate::protocol::Report;

impl Decider {
    /// Handles a proxy's introduction on a new stream.
    pub(super) fn handle_join(&mut self, id: StreamId, hello: Hello, outbox: Outbox) {
        let Hello { proxy, zone, inv_per_second, fresh } = hello;
        let (proxy, zone) = (ProxyId(proxy), self.names.zone(&zone));
        // An introduction may arrive late, over a connection that the proxy gave up: the later connection counts.
        if self.connections.streams.get(&proxy).is_some_and(|stream| stream.id > id) {
            let reason = format!("proxy {} already joined over a later connection", proxy.0);
            return self.log_summary.ignored_lines.record(reason);
        }
        // A new stream may come before the end of the old one is noticed; messages over the old one are ignored.
        self.remove_proxy(proxy);
        let now = self.clock.now();
        let mut stream = Stream::new(id, outbox, zone, inv_per_second, now);
        let delay = self.planner.rejoin_delay(now, proxy);
        if delay > 0.0 {
            stream.presence = Presence::Held { until: now + delay, fresh };
        }
        let is_joined = stream.is_joined();
        self.connections.streams.insert(proxy, stream);
        if is_joined {
            self.report_joined(proxy, fresh);
        } else {
            self.log_summary.held_proxies.record(format!("proxy {} for {delay:.0} ms", proxy.0));
        }
    }

    /// Handles the end of a connection, with the error if it did not end normally.
    pub(super) fn handle_end(&mut self, stream: StreamId, error: Option<String>) {
        let proxy = self.connections.proxy_of(stream);
        if let (Some(proxy), Some(error)) = (proxy, &error) {
            let excerpt = self.connections.streams[&proxy].unacknowledged_excerpt();
            excerpt.into_iter().for_each(|sent| {
                let details = format!("proxy {}, sent last: {sent}; {error}", proxy.0);
                self.log_summary.refused_orders.record(details);
            });
        }
        error.into_iter().for_each(|error| self.log_summary.broken_connections.record(error));
        proxy.into_iter().for_each(|proxy| self.remove_proxy(proxy));
    }

    /// Reports to the planner that a proxy joined, over a new stream or one that was silent.
    pub(super) fn report_joined(&mut self, proxy: ProxyId, fresh: bool) {
        let Stream { zone, inv_per_second, .. } = self.connections.streams[&proxy];
        tracing::debug!("proxy {} joined: {inv_per_second} invocations per second, fresh {fresh}", proxy.0);
        self.order_writer.add_proxy(proxy, fresh);
        self.events.push(Event::Joined { proxy, fresh, inv_per_second, zone });
    }

    /// Removes a proxy's stream, and reports that it left if it counted as joined.
    pub(super) fn remove_proxy(&mut self, proxy: ProxyId) {
        if self.connections.remove(proxy) {
            self.report_left(proxy);
        }
    }

    /// Reports to the planner that a joined proxy left.
    pub(super) fn report_left(&mut self, proxy: ProxyId) {
        tracing::debug!("proxy {} left", proxy.0);
        self.order_writer.remove_proxy(proxy);
        self.events.push(Event::Left { proxy });
    }

    /// Handles proxies that send nothing while acknowledgements are pending, and the ends of delays.
    pub(super) fn handle_timeouts(&mut self, now: Ms) {
        for timeout in self.connections.handle_timeouts(now) {
            match timeout {
                StreamTimeout::Silent { proxy, idle_for, pending_count } => {
                    let details = format!(
                        "proxy {}, nothing received for {idle_for:.0} ms, {pending_count} acknowledgements pending",
                        proxy.0
                    );
                    self.log_summary.silent_proxies.record(details);
                    self.report_left(proxy);
                }
                StreamTimeout::Closed(proxy) => {
                    tracing::debug!("proxy {} is still silent: its connection is closed", proxy.0);
                }
                StreamTimeout::HoldEnded { proxy, fresh } => self.report_joined(proxy, fresh),
            }
        }
    }

    /// Records that a message was received over a stream. Returns false if another stream has replaced it.
    pub(super) fn record_activity(&mut self, stream_id: StreamId, proxy: ProxyId) -> bool {
        let Some(activity) = self.connections.record_activity(self.clock.now(), stream_id, proxy) else {
            return false;
        };
        tracing::trace!(
            "proxy {} sent a message after {:.0} ms, acknowledgement pending for {:.0} ms",
            proxy.0,
            activity.idle_for,
            activity.pending_for
        );
        if activity.resumed {
            self.log_summary.resumed_proxies += 1;
            self.report_joined(proxy, false);
        }
        true
    }

    /// Translates a report into a planner event. An error says why the report is ignored.
    pub(super) fn translate_report(
        &mut self,
        sender: Option<(StreamId, ProxyId)>,
        report: Result<Report, String>,
    ) -> Result<Event, String> {
        // Even an invalid message shows that the proxy is not silent.
        if let Some((_, proxy)) = sender.filter(|(stream, proxy)| !self.record_activity(*stream, *proxy)) {
            return Err(format!("the stream of proxy {} was replaced by another one", proxy.0));
        }
        let is_foreign = |proxy| sender.is_some_and(|(_, sending_proxy)| sending_proxy != proxy);
        match report? {
            Report::Outcomes { zone, worker, tries, failed, mean_latency, interval, load } => {
                let worker_id = self.names.workers.find_id(&worker).map(WorkerId);
                let worker = worker_id.ok_or_else(|| format!("unknown worker {worker:?}"))?;
                let zone_id = self.names.zones.find_id(&zone).map(|id| ZoneId(id as u16));
                let zone_name = &zone;
                let zone = zone_id.ok_or_else(|| format!("unknown zone {zone:?}"))?;
                if let (Some((_, evidence)), Some(entry)) = (&mut self.fleet, self.registry.worker(worker)) {
                    let worker_zone = self.names.zones.name(entry.zone.0.into());
                    evidence.record(zone_name, worker_zone, tries, failed, mean_latency, load.utilization);
                }
                Ok(Event::WorkerSums { zone, worker, tries, failed, mean_latency, period: interval, load })
            }
            Report::Demand { proxy, op, invocations, unanswered, interval } => {
                let proxy = ProxyId(proxy);
                if is_foreign(proxy) {
                    return Err(format!("a report of proxy {} on another proxy's stream", proxy.0));
                }
                let op = self.names.op(&op).ok_or_else(|| format!("unknown operation {op:?}"))?;
                Ok(Event::ProxySums { proxy, op, invocations, unanswered, period: interval })
            }
            Report::Ack { proxy, mark, latency } => {
                let (proxy, mark) = (ProxyId(proxy), MarkId(mark));
                if sender.is_none() || is_foreign(proxy) {
                    return Err(format!("an acknowledgement of proxy {} on another stream", proxy.0));
                }
                self.connections.acknowledge(self.clock.now(), proxy, mark)?;
                Ok(Event::MarkAcknowledged {
                    mark: MarkId(mark.0.wrapping_sub(self.mark_offset)),
                    took: latency,
                    proxy,
                })
            }
        }
    }
}
