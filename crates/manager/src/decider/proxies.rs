//! The streams of proxies, and what comes over them.

use juniperrail_interface::{Event, MarkId, Ms, ProxyId, WorkerId, ZoneId};

use super::Decider;
use crate::inbound::{Hello, Outbox, StreamId};
use crate::presence::{Lapse, Stream};
use crate::text::Report;

impl Decider {
    /// A proxy has introduced itself on a stream of its own.
    pub(super) fn join(&mut self, id: StreamId, hello: Hello, orders: Outbox) {
        let Hello { proxy, zone, inv_per_second, fresh } = hello;
        let (proxy, zone) = (ProxyId(proxy), self.names.zone(&zone));
        // Guards against a connection that a proxy gave up, whose introduction comes late: the later one counts.
        if self.presence.streams.get(&proxy).is_some_and(|stream| stream.id > id) {
            let why = format!("proxy {} joined over a later connection already", proxy.0);
            return self.tally.odd.add(why);
        }
        // A new stream may come before the old one is seen to end; what that still brings changes nothing.
        self.leave(proxy);
        let stream = Stream::new(id, orders, zone, inv_per_second, self.clock.now());
        self.presence.streams.insert(proxy, stream);
        self.joined(proxy, fresh);
    }

    /// A proxy is there, on whichever stream.
    pub(super) fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        let Stream { zone, inv_per_second, .. } = self.presence.streams[&proxy];
        tracing::debug!("proxy {} joined: {inv_per_second} a second, fresh {fresh}", proxy.0);
        self.plane.joined(proxy, fresh);
        self.events.push(Event::Joined { proxy, fresh, inv_per_second, zone });
    }

    /// A proxy is no longer there, if it was.
    pub(super) fn leave(&mut self, proxy: ProxyId) {
        if self.presence.leave(proxy) {
            self.left(proxy);
        }
    }

    /// A proxy that was there has left.
    pub(super) fn left(&mut self, proxy: ProxyId) {
        tracing::debug!("proxy {} left", proxy.0);
        self.plane.left(proxy);
        self.events.push(Event::Left { proxy });
    }

    /// Takes proxies that owe answers and say nothing for lost.
    pub(super) fn check_silences(&mut self, now: Ms) {
        for lapse in self.presence.lapses(now) {
            match lapse {
                Lapse::Silent { proxy, since, owed } => {
                    let last = format!("proxy {}, no word for {since:.0} ms, {owed} answers owed", proxy.0);
                    self.tally.silent.add(last);
                    self.left(proxy);
                }
                Lapse::GivenUp(proxy) => {
                    tracing::debug!("proxy {} stays silent: its stream is given up", proxy.0);
                }
            }
        }
    }

    /// Something came over a stream. False if another stream took its place.
    pub(super) fn record_activity(&mut self, from: StreamId, proxy: ProxyId) -> bool {
        let Some(word) = self.presence.spoke(self.clock.now(), from, proxy) else { return false };
        tracing::trace!(
            "proxy {} speaks after {:.0} ms, owing for {:.0} ms",
            proxy.0,
            word.after,
            word.owing
        );
        if word.again {
            self.tally.spoke += 1;
            self.joined(proxy, false);
        }
        true
    }

    /// What a report means for the decisions, or why it is passed over.
    pub(super) fn report(
        &mut self,
        from: Option<(StreamId, ProxyId)>,
        report: Result<Report, String>,
    ) -> Result<Event, String> {
        // Whatever comes over a stream shows that it is not silent, spoilt or not.
        if let Some((_, proxy)) = from.filter(|(stream, proxy)| !self.record_activity(*stream, *proxy)) {
            return Err(format!("another stream of proxy {} took its place", proxy.0));
        }
        let foreign = |proxy| from.is_some_and(|(_, own)| own != proxy);
        match report? {
            Report::Outcomes { zone, worker, tries, failed, mean_latency, interval, load } => {
                let known = self.names.workers.find_id(&worker).map(WorkerId);
                let worker = known.ok_or_else(|| format!("no list named the worker {worker:?}"))?;
                let known = self.names.zones.find_id(&zone).map(|id| ZoneId(id as u16));
                let zone_name = &zone;
                let zone = known.ok_or_else(|| format!("unknown zone {zone:?}"))?;
                if let (Some((_, evidence)), Some(listed)) = (&mut self.fleet, self.roster.worker(worker)) {
                    let to = self.names.zones.name(listed.zone.0.into());
                    evidence.record(zone_name, to, tries, failed, mean_latency, load.utilization);
                }
                Ok(Event::WorkerSums { zone, worker, tries, failed, mean_latency, period: interval, load })
            }
            Report::Demand { proxy, op, invocations, unanswered, interval } => {
                let proxy = ProxyId(proxy);
                if foreign(proxy) {
                    return Err(format!("a report of proxy {} on another's stream", proxy.0));
                }
                let op = self.names.op(&op).ok_or_else(|| format!("unknown operation {op:?}"))?;
                Ok(Event::ProxySums { proxy, op, invocations, unanswered, period: interval })
            }
            Report::Ack { proxy, mark, latency } => {
                let (proxy, mark) = (ProxyId(proxy), MarkId(mark));
                if from.is_none() || foreign(proxy) {
                    return Err(format!("an answer of proxy {} on another's stream", proxy.0));
                }
                self.presence.answered(self.clock.now(), proxy, mark)?;
                Ok(Event::MarkAcknowledged {
                    mark: MarkId(mark.0.wrapping_sub(self.marks.0)),
                    took: latency,
                    proxy,
                })
            }
        }
    }
}
