//! Which proxies are here: each stream with what it owes, and what silence makes of it.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use juniperrail_interface::{MarkId, Ms, ProxyId, ZoneId};
use tokio::sync::mpsc;

use crate::news::StreamId;

/// Messages to one proxy that are counted over the settings' span; no limit that we know is near this.
const COUNTED: usize = 1024;

pub struct Stream {
    pub id: StreamId,
    pub orders: mpsc::Sender<Bytes>,
    pub zone: ZoneId,
    pub inv_per_second: f64,
    /// Marks sent that it has not answered, oldest first, and when something last came from it.
    pub owed: VecDeque<(MarkId, Ms)>,
    pub spoke: Ms,
    /// Since when it is told to the decisions as left, though its connection is open.
    pub silent: Option<Ms>,
    /// The last marks sent and answered, and when messages went out lately.
    pub sent: Option<MarkId>,
    pub answered: Option<MarkId>,
    pub messages: VecDeque<Ms>,
}

impl Stream {
    pub fn new(
        id: StreamId,
        orders: mpsc::Sender<Bytes>,
        zone: ZoneId,
        inv_per_second: f64,
        now: Ms,
    ) -> Stream {
        let (owed, messages) = Default::default();
        let (silent, sent, answered) = (None, None, None);
        Stream { id, orders, zone, inv_per_second, owed, spoke: now, silent, sent, answered, messages }
    }

    /// When it is told as left, or given up as it still says nothing.
    fn silent_at(&self, after: Ms) -> Option<Ms> {
        let since = self.silent.or_else(|| self.owed.front().map(|(_, sent)| sent.max(self.spoke)))?;
        Some(since + after)
    }

    /// A message goes out. False if the proxy does not read, so that its stream has to be given up.
    pub fn send(&mut self, now: Ms, counted_over: Ms, mark: Option<MarkId>, bytes: Bytes) -> bool {
        self.owed.extend(mark.map(|mark| (mark, now)));
        self.sent = mark.or(self.sent);
        self.messages.retain(|at| now - at <= counted_over);
        if self.messages.len() == COUNTED {
            self.messages.pop_front();
        }
        self.messages.push_back(now);
        !matches!(self.orders.try_send(bytes), Err(mpsc::error::TrySendError::Full(_)))
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

pub struct Presence {
    pub streams: BTreeMap<ProxyId, Stream>,
    pub silent_after: Ms,
}

impl Presence {
    pub fn new(silent_after: Ms) -> Presence {
        Presence { streams: BTreeMap::new(), silent_after }
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

    pub fn next(&self) -> Option<Ms> {
        self.streams.values().filter_map(|stream| stream.silent_at(self.silent_after)).reduce(f64::min)
    }

    /// Guards against streams that fall silent without a reset: who owes an answer and says nothing has left,
    /// until it speaks again. Its connection stays for as long again, since it may be sound, but no longer: a
    /// machine that vanished would keep its descriptor for good.
    pub fn lapses(&mut self, now: Ms) -> Vec<Lapse> {
        let due = |stream: &Stream| stream.silent_at(self.silent_after).is_some_and(|at| now >= at);
        let due: Vec<ProxyId> = self.streams.iter().filter(|(_, s)| due(s)).map(|(id, _)| *id).collect();
        let lapse = |proxy| {
            let stream = self.streams.get_mut(&proxy).expect("a known stream");
            if stream.silent.is_some() {
                self.streams.remove(&proxy);
                return Lapse::GivenUp(proxy);
            }
            let (since, owed) = (now - stream.spoke, stream.owed.len());
            stream.silent = Some(now);
            stream.owed.clear();
            Lapse::Silent { proxy, since, owed }
        };
        due.into_iter().map(lapse).collect()
    }

    /// Something came over a stream. `None` if another stream took its place.
    pub fn spoke(&mut self, now: Ms, from: StreamId, proxy: ProxyId) -> Option<Word> {
        let stream = self.streams.get_mut(&proxy).filter(|stream| stream.id == from)?;
        let (after, owing) = (now - stream.spoke, stream.owed.front().map_or(0.0, |(_, sent)| now - sent));
        stream.spoke = now;
        Some(Word { again: stream.silent.take().is_some(), after, owing })
    }

    /// An answer over a stream that is here. Guards against an answer to what this stream never brought: the
    /// module counts marks in rounds.
    pub fn answered(&mut self, proxy: ProxyId, mark: MarkId) -> Result<(), String> {
        let stream = self.streams.get_mut(&proxy).expect("a known stream");
        let place = stream.owed.iter().position(|(sent, _)| *sent == mark);
        let place = place.ok_or_else(|| format!("proxy {} owes no answer to {}", proxy.0, mark.0))?;
        stream.owed.drain(..=place);
        stream.answered = Some(mark);
        Ok(())
    }
}
