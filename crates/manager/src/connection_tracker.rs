//! Tracks the streams of proxies: the marks that await acknowledgement, and the timeouts of silent streams.

use std::collections::{BTreeMap, VecDeque};

use crate::inbound::{Outbox, StreamId};
use bytes::Bytes;
use juniperrail_interface::{MarkId, Ms, ProxyId, ZoneId};

/// Limit on the send times that are kept for one proxy. Usual limits on messages per window are far below it.
const MAX_RECENT_MESSAGES: usize = 1024;

/// Limit on what is logged of a message.
const MAX_EXCERPT_BYTES: usize = 512;

/// A mark that was sent and not acknowledged yet.
pub struct PendingMark {
    pub mark: MarkId,
    pub sent_at: Ms,
    /// The planner turn in which it was sent.
    turn: u64,
}

/// What the planner is told of a proxy whose connection is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// It is reported as joined.
    Joined,
    /// It is reported as left since this time, because it sends nothing.
    Silent { since: Ms },
    /// It is not reported as joined before this time. `fresh`: it has just started and has no tables.
    Held { until: Ms, fresh: bool },
}

/// The stream of a proxy.
pub struct Stream {
    pub id: StreamId,
    pub outbox: Outbox,
    pub zone: ZoneId,
    /// Invocations per second that the proxy announced.
    pub inv_per_second: f64,
    /// Marks sent and not acknowledged, oldest first.
    pub pending_marks: VecDeque<PendingMark>,
    /// When the last message was received.
    pub last_received_at: Ms,
    /// Since when the oldest pending mark is known to have left the channel.
    delivered_since: Option<Ms>,
    pub presence: Presence,
    pub last_mark_sent: Option<MarkId>,
    pub last_mark_acknowledged: Option<MarkId>,
    /// When each message within the message window was sent, oldest first.
    pub recent_messages: VecDeque<Ms>,
    /// The last message, as long as a mark awaits acknowledgement.
    unacknowledged_message: Option<Bytes>,
}

impl Stream {
    pub fn new(id: StreamId, outbox: Outbox, zone: ZoneId, inv_per_second: f64, now: Ms) -> Stream {
        Stream {
            id,
            outbox,
            zone,
            inv_per_second,
            pending_marks: VecDeque::new(),
            last_received_at: now,
            delivered_since: None,
            presence: Presence::Joined,
            last_mark_sent: None,
            last_mark_acknowledged: None,
            recent_messages: VecDeque::new(),
            unacknowledged_message: None,
        }
    }

    /// Whether the proxy is reported to the planner as joined.
    pub fn is_joined(&self) -> bool {
        self.presence == Presence::Joined
    }

    /// The start of the last message, on one line; `None` if the proxy has acknowledged all that it was sent.
    pub fn unacknowledged_excerpt(&self) -> Option<String> {
        let message = self.unacknowledged_message.as_ref().filter(|_| !self.pending_marks.is_empty())?;
        let start = &message[..message.len().min(MAX_EXCERPT_BYTES)];
        let text = String::from_utf8_lossy(start).trim_end().replace("\r\n", " / ");
        let rest = if start.len() < message.len() { "..." } else { "" };
        Some(format!("{text}{rest} ({} bytes)", message.len()))
    }

    /// Forgets the pending marks, so that their acknowledgement is no longer awaited.
    pub fn clear_pending_marks(&mut self) {
        self.pending_marks.clear();
        self.delivered_since = None;
        self.unacknowledged_message = None;
    }

    /// Queues a message. Returns false if the proxy reads too slowly, so that its connection has to be closed.
    fn send(&mut self, pending_mark: Option<PendingMark>, now: Ms, message_window: Ms, bytes: Bytes) -> bool {
        self.last_mark_sent = pending_mark.as_ref().map(|pending| pending.mark).or(self.last_mark_sent);
        self.pending_marks.extend(pending_mark);
        self.recent_messages.retain(|sent_at| now - sent_at <= message_window);
        if self.recent_messages.len() == MAX_RECENT_MESSAGES {
            self.recent_messages.pop_front();
        }
        self.recent_messages.push_back(now);
        self.unacknowledged_message = Some(bytes.clone());
        self.outbox.try_send(bytes)
    }
}

/// What follows from the timeout of a stream.
pub enum StreamTimeout {
    /// Acknowledgements are pending and nothing was received: the proxy counts as left until it sends a message.
    Silent { proxy: ProxyId, idle_for: Ms, pending_count: usize },
    /// The proxy stayed silent; its connection is closed.
    Closed(ProxyId),
    /// The proxy's introduction was held back and counts from now on.
    HoldEnded { proxy: ProxyId, fresh: bool },
}

/// The state of a stream just before a message was received over it.
pub struct Activity {
    /// The proxy had been reported as left.
    pub resumed: bool,
    /// The time since the previous message.
    pub idle_for: Ms,
    /// The age of the oldest pending mark, or 0.
    pub pending_for: Ms,
}

/// Time limits that decide when a proxy counts as silent.
#[derive(Clone, Copy)]
pub struct SilenceTimeouts {
    /// Time allowed for an acknowledgement, from when the message with the mark has left the channel.
    pub ack_timeout: Ms,
    /// The time in which a full channel empties at its usual rate.
    pub queue_drain_time: Ms,
}

/// The streams of all connected proxies.
pub struct ConnectionTracker {
    pub streams: BTreeMap<ProxyId, Stream>,
    silence_timeouts: SilenceTimeouts,
    /// The number of the current turn.
    turn: u64,
    /// The newest turn of which a mark was acknowledged by any proxy.
    newest_acknowledged_turn: u64,
    /// When the last acknowledgement of any proxy was received.
    last_acknowledged_at: Ms,
}

impl ConnectionTracker {
    pub fn new(silence_timeouts: SilenceTimeouts) -> ConnectionTracker {
        ConnectionTracker {
            streams: BTreeMap::new(),
            silence_timeouts,
            turn: 0,
            newest_acknowledged_turn: 0,
            last_acknowledged_at: f64::NEG_INFINITY,
        }
    }

    /// The proxies that are reported to the planner as joined.
    pub fn joined(&self) -> impl Iterator<Item = (ProxyId, &Stream)> {
        self.streams.iter().filter(|(_, stream)| stream.is_joined()).map(|(id, stream)| (*id, stream))
    }

    /// The proxy of a stream, unless another stream has replaced it.
    pub fn proxy_of(&self, id: StreamId) -> Option<ProxyId> {
        self.streams.iter().find(|(_, stream)| stream.id == id).map(|(proxy, _)| *proxy)
    }

    /// Removes a proxy's stream. Returns whether the proxy was reported as joined until now.
    pub fn remove(&mut self, proxy: ProxyId) -> bool {
        self.streams.remove(&proxy).is_some_and(|stream| stream.is_joined())
    }

    /// Starts the next turn: marks sent from now on belong to it.
    pub fn start_turn(&mut self) {
        self.turn += 1;
    }

    /// Queues a message to a joined proxy. Returns false if the proxy reads too slowly, so that its connection has to
    /// be closed.
    pub fn send(
        &mut self,
        proxy: ProxyId,
        now: Ms,
        message_window: Ms,
        mark: Option<MarkId>,
        bytes: Bytes,
    ) -> bool {
        let pending_mark = mark.map(|mark| PendingMark { mark, sent_at: now, turn: self.turn });
        let stream = self.streams.get_mut(&proxy).expect("a joined proxy has a stream");
        stream.send(pending_mark, now, message_window, bytes)
    }

    /// When a stream times out next. At the first timeout the proxy is reported as left, at the second its connection
    /// is closed.
    ///
    /// A proxy whose message still waits in the channel, as it may for seconds after a start, must not count as silent.
    /// Messages leave the channel in order, so a mark is known to be delivered once any proxy has acknowledged a mark
    /// of a later turn. If no proxy acknowledges anything, the timeout starts once a full channel would have emptied.
    fn times_out_at(&self, stream: &Stream) -> Option<Ms> {
        let SilenceTimeouts { ack_timeout, queue_drain_time } = self.silence_timeouts;
        match stream.presence {
            Presence::Held { until, .. } => return Some(until),
            Presence::Silent { since } => return Some(since + ack_timeout),
            Presence::Joined => {}
        }
        let delivered_since = stream.delivered_since.or_else(|| {
            let oldest = stream.pending_marks.front()?;
            Some(oldest.sent_at.max(self.last_acknowledged_at) + queue_drain_time)
        })?;
        Some(delivered_since.max(stream.last_received_at) + ack_timeout)
    }

    /// When the next stream times out.
    pub fn next_timeout(&self) -> Option<Ms> {
        self.streams.values().filter_map(|stream| self.times_out_at(stream)).reduce(f64::min)
    }

    /// Handles the streams that have timed out.
    ///
    /// A connection may fail without a reset. A proxy with pending acknowledgements that sends nothing counts as left
    /// until it sends a message. Its connection stays open for one more timeout, since it may be healthy, and is then
    /// closed: otherwise a machine that vanished would occupy a file descriptor forever.
    pub fn handle_timeouts(&mut self, now: Ms) -> Vec<StreamTimeout> {
        let is_due = |stream: &Stream| self.times_out_at(stream).is_some_and(|timeout| now >= timeout);
        let due_proxies: Vec<ProxyId> =
            self.streams.iter().filter(|(_, stream)| is_due(stream)).map(|(id, _)| *id).collect();
        let time_out = |proxy| {
            let stream = self.streams.get_mut(&proxy).expect("the proxy has a stream");
            match stream.presence {
                Presence::Joined => {
                    let idle_for = now - stream.last_received_at;
                    let pending_count = stream.pending_marks.len();
                    stream.presence = Presence::Silent { since: now };
                    stream.clear_pending_marks();
                    StreamTimeout::Silent { proxy, idle_for, pending_count }
                }
                Presence::Silent { .. } => {
                    self.streams.remove(&proxy);
                    StreamTimeout::Closed(proxy)
                }
                Presence::Held { fresh, .. } => {
                    stream.presence = Presence::Joined;
                    StreamTimeout::HoldEnded { proxy, fresh }
                }
            }
        };
        due_proxies.into_iter().map(time_out).collect()
    }

    /// Records that a message was received over a stream. Returns `None` if another stream has replaced it.
    pub fn record_activity(&mut self, now: Ms, stream_id: StreamId, proxy: ProxyId) -> Option<Activity> {
        let stream = self.streams.get_mut(&proxy).filter(|stream| stream.id == stream_id)?;
        let pending_for = stream.pending_marks.front().map_or(0.0, |oldest| now - oldest.sent_at);
        let idle_for = now - stream.last_received_at;
        stream.last_received_at = now;
        let resumed = matches!(stream.presence, Presence::Silent { .. });
        if resumed {
            stream.presence = Presence::Joined;
        }
        Some(Activity { resumed, idle_for, pending_for })
    }

    /// Records that a proxy acknowledged a mark and all before it. A mark that is not pending on this stream is an
    /// error: mark numbers wrap around, so it may belong to an earlier stream.
    pub fn acknowledge(&mut self, now: Ms, proxy: ProxyId, mark: MarkId) -> Result<(), String> {
        let stream = self.streams.get_mut(&proxy).expect("the proxy has a stream");
        let index = stream.pending_marks.iter().position(|pending| pending.mark == mark);
        let index = index.ok_or_else(|| format!("proxy {} has no pending mark {}", proxy.0, mark.0))?;
        let turn = stream.pending_marks.drain(..=index).next_back().map_or(0, |pending| pending.turn);
        stream.last_mark_acknowledged = Some(mark);
        if stream.pending_marks.is_empty() {
            stream.unacknowledged_message = None;
        }
        stream.delivered_since = stream
            .pending_marks
            .front()
            .filter(|oldest| oldest.turn < self.newest_acknowledged_turn)
            .map(|_| now);
        self.last_acknowledged_at = now;
        if turn > self.newest_acknowledged_turn {
            self.newest_acknowledged_turn = turn;
            let undelivered = self.streams.values_mut().filter(|stream| stream.delivered_since.is_none());
            for stream in undelivered {
                stream.delivered_since =
                    stream.pending_marks.front().filter(|oldest| oldest.turn < turn).map(|_| now);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
