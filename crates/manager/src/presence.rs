//! Which proxies are here: each stream with what it owes, and what silence makes of it.

use std::collections::{BTreeMap, VecDeque};

use crate::inbound::{Outbox, StreamId};
use bytes::Bytes;
use juniperrail_interface::{MarkId, Ms, ProxyId, ZoneId};

/// Messages to one proxy that are counted over the settings' span; no limit that we know is near this.
const COUNTED: usize = 1024;

/// A mark sent, with the turn that sent it.
pub struct Owed {
    pub mark: MarkId,
    pub sent: Ms,
    turn: u64,
}

pub struct Stream {
    pub id: StreamId,
    pub orders: Outbox,
    pub zone: ZoneId,
    pub inv_per_second: f64,
    /// Marks sent that it has not answered, oldest first, and when something last came from it.
    pub owed: VecDeque<Owed>,
    pub spoke: Ms,
    /// Since when the oldest of them is known to have left the channel.
    due: Option<Ms>,
    /// Since when it is told to the decisions as left, though its connection is open.
    pub silent: Option<Ms>,
    /// The last marks sent and answered, and when messages went out lately.
    pub sent: Option<MarkId>,
    pub answered: Option<MarkId>,
    pub messages: VecDeque<Ms>,
}

impl Stream {
    pub fn new(id: StreamId, orders: Outbox, zone: ZoneId, inv_per_second: f64, now: Ms) -> Stream {
        let (owed, messages, due) = Default::default();
        let (silent, sent, answered) = (None, None, None);
        Stream { id, orders, zone, inv_per_second, owed, spoke: now, due, silent, sent, answered, messages }
    }

    /// Nothing that it was sent is awaited any more.
    pub fn absolve(&mut self) {
        self.owed.clear();
        self.due = None;
    }

    /// A message goes out. False if the proxy does not read, so that its stream has to be given up.
    fn send(&mut self, owed: Option<Owed>, now: Ms, counted_over: Ms, bytes: Bytes) -> bool {
        self.sent = owed.as_ref().map(|owed| owed.mark).or(self.sent);
        self.owed.extend(owed);
        self.messages.retain(|at| now - at <= counted_over);
        if self.messages.len() == COUNTED {
            self.messages.pop_front();
        }
        self.messages.push_back(now);
        self.orders.try_send(bytes)
    }
}

/// What silence made of a stream.
pub enum Lapse {
    /// It owes answers and says nothing: it has left until it speaks again.
    Silent { proxy: ProxyId, since: Ms, owed: usize },
    /// It went on saying nothing; its connection is given back.
    GivenUp(ProxyId),
}

/// How a stream speaks.
pub struct Word {
    /// It had been told as left.
    pub again: bool,
    pub after: Ms,
    pub owing: Ms,
}

/// How long silence is borne.
#[derive(Clone, Copy)]
pub struct SilenceTimeouts {
    /// For an answer, once what it answers has left the channel.
    pub answer_timeout: Ms,
    /// For a channel as full as it may be to empty at its usual pace.
    pub queue_drain_time: Ms,
}

pub struct Presence {
    pub streams: BTreeMap<ProxyId, Stream>,
    silence_timeouts: SilenceTimeouts,
    turn: u64,
    /// The newest turn of which a mark was answered, and when any last was.
    proven: u64,
    answered: Ms,
}

impl Presence {
    pub fn new(silence_timeouts: SilenceTimeouts) -> Presence {
        Presence {
            streams: BTreeMap::new(),
            silence_timeouts,
            turn: 0,
            proven: 0,
            answered: f64::NEG_INFINITY,
        }
    }

    /// Those that are told to the decisions as joined.
    pub fn here(&self) -> impl Iterator<Item = (ProxyId, &Stream)> {
        self.streams.iter().filter(|(_, stream)| stream.silent.is_none()).map(|(id, stream)| (*id, stream))
    }

    /// Whose stream this is, if no other took its place.
    pub fn proxy_of(&self, id: StreamId) -> Option<ProxyId> {
        self.streams.iter().find(|(_, stream)| stream.id == id).map(|(proxy, _)| *proxy)
    }

    /// Whether it was told as joined till now.
    pub fn leave(&mut self, proxy: ProxyId) -> bool {
        self.streams.remove(&proxy).is_some_and(|stream| stream.silent.is_none())
    }

    /// The messages that follow are another turn's.
    pub fn next_turn(&mut self) {
        self.turn += 1;
    }

    /// A message goes out to one who is here. False if it does not read, so that its stream has to be given up.
    pub fn send(
        &mut self,
        proxy: ProxyId,
        now: Ms,
        counted_over: Ms,
        mark: Option<MarkId>,
        bytes: Bytes,
    ) -> bool {
        let owed = mark.map(|mark| Owed { mark, sent: now, turn: self.turn });
        let stream = self.streams.get_mut(&proxy).expect("a joined proxy has a stream");
        stream.send(owed, now, counted_over, bytes)
    }

    /// When a stream is told as left, or given up as it still says nothing. Guards against taking a proxy for
    /// silent whose message waits in the channel, as at a start for seconds: messages leave it one after
    /// another, so a mark is out once a later one was answered by anybody. Where nobody answers any more, the
    /// whole queue is waited for.
    fn silent_at(&self, stream: &Stream) -> Option<Ms> {
        let SilenceTimeouts { answer_timeout, queue_drain_time } = self.silence_timeouts;
        let since = stream.silent.or_else(|| {
            let since = stream.due.or_else(|| {
                let owed = stream.owed.front()?;
                Some(owed.sent.max(self.answered) + queue_drain_time)
            })?;
            Some(since.max(stream.spoke))
        })?;
        Some(since + answer_timeout)
    }

    pub fn next(&self) -> Option<Ms> {
        self.streams.values().filter_map(|stream| self.silent_at(stream)).reduce(f64::min)
    }

    /// Guards against streams that fall silent without a reset: who owes an answer and says nothing has left,
    /// until it speaks again. Its connection stays for as long again, since it may be sound, but no longer: a
    /// machine that vanished would keep its descriptor for good.
    pub fn lapses(&mut self, now: Ms) -> Vec<Lapse> {
        let due = |stream: &Stream| self.silent_at(stream).is_some_and(|at| now >= at);
        let due: Vec<ProxyId> = self.streams.iter().filter(|(_, s)| due(s)).map(|(id, _)| *id).collect();
        let lapse = |proxy| {
            let stream = self.streams.get_mut(&proxy).expect("a known stream");
            if stream.silent.is_some() {
                self.streams.remove(&proxy);
                return Lapse::GivenUp(proxy);
            }
            let (since, owed) = (now - stream.spoke, stream.owed.len());
            stream.silent = Some(now);
            stream.absolve();
            Lapse::Silent { proxy, since, owed }
        };
        due.into_iter().map(lapse).collect()
    }

    /// Something came over a stream. `None` if another stream took its place.
    pub fn spoke(&mut self, now: Ms, from: StreamId, proxy: ProxyId) -> Option<Word> {
        let stream = self.streams.get_mut(&proxy).filter(|stream| stream.id == from)?;
        let owing = stream.owed.front().map_or(0.0, |owed| now - owed.sent);
        let after = now - stream.spoke;
        stream.spoke = now;
        Some(Word { again: stream.silent.take().is_some(), after, owing })
    }

    /// An answer over a stream that is here. Guards against an answer to what this stream never brought: the
    /// module counts marks in rounds.
    pub fn answered(&mut self, now: Ms, proxy: ProxyId, mark: MarkId) -> Result<(), String> {
        let stream = self.streams.get_mut(&proxy).expect("a known stream");
        let place = stream.owed.iter().position(|owed| owed.mark == mark);
        let place = place.ok_or_else(|| format!("proxy {} owes no answer to {}", proxy.0, mark.0))?;
        let turn = stream.owed.drain(..=place).next_back().map_or(0, |owed| owed.turn);
        stream.answered = Some(mark);
        stream.due = stream.owed.front().filter(|owed| owed.turn < self.proven).map(|_| now);
        self.answered = now;
        if turn > self.proven {
            self.proven = turn;
            let waiting = self.streams.values_mut().filter(|stream| stream.due.is_none());
            for stream in waiting {
                stream.due = stream.owed.front().filter(|owed| owed.turn < turn).map(|_| now);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
