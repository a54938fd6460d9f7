//! Who is there: SWIM's probing, direct and by others, with suspicion, incarnations, and Lifeguard's local health, so that
//! a member that is slow itself blames itself first.
//!
//! Departures from the papers: an answer by way of others is kept apart from a direct one ([`Reach::Indirect`]), as a
//! link cut one way is no death and people on call want to know which it is; and a member that left says so itself.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::ids::MemberId;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    /// It said itself that it ends.
    Left,
}

/// By what way a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Unknown,
    Direct,
    /// It answers others and not this member: a link is cut, or half open, and no process is dead.
    Indirect,
    Unreachable,
}

/// What is said of a member; of two words the one of the higher incarnation holds, and of the same one the worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    pub member: MemberId,
    pub health: Health,
    pub incarnation: u64,
    /// Who suspects first; others' suspicions count beside it.
    pub reported_by: MemberId,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SwimMessage {
    Ping {
        sequence: u64,
        updates: Vec<GossipUpdate>,
    },
    /// `clock`: the time of day there.
    Ack {
        sequence: u64,
        clock: Ms,
        updates: Vec<GossipUpdate>,
    },
    /// To ping another and pass its answer on.
    PingRequest {
        sequence: u64,
        target: MemberId,
        updates: Vec<GossipUpdate>,
    },
    /// The target did not answer the one asked; the one asked is well.
    Nack {
        sequence: u64,
    },
}

impl SwimMessage {
    /// Of two messages with the same slot that wait for the same peer the newer one says all.
    pub fn slot(&self) -> Option<u8> {
        matches!(self, SwimMessage::Ping { .. }).then_some(16)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// One member is probed a period.
    pub probe_period_ms: Ms,
    /// A direct probe's answer is waited for so long, of a healthy prober.
    pub probe_timeout_ms: Ms,
    /// Members asked to probe in this one's place.
    pub indirect_probe_count: usize,
    /// Words in one message.
    pub max_updates_per_message: usize,
}

/// The most that local health goes up to, as in the paper.
const WORST: u32 = 8;
/// Suspicion lasts `SHORTEST` to `LONGEST` times the logarithm of the group, in periods.
const SHORTEST: f64 = 4.0;
const LONGEST: f64 = 6.0;
/// So many others' suspicions make it as short as it gets.
const CONFIRMING: f64 = 3.0;

#[derive(Clone, Debug)]
struct Seen {
    health: Health,
    incarnation: u64,
    since: Ms,
    /// Who suspects it.
    by: Vec<MemberId>,
    direct: Option<Ms>,
    by_others: Option<Ms>,
    /// Its time of day less this member's monotonic clock, which does not jump, and when that was seen.
    clock: Option<(Ms, Ms)>,
    /// How often its word was passed on.
    told: u32,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    sequence: u64,
    target: MemberId,
    sent: Ms,
    asked: usize,
    nacks: usize,
    by_others: bool,
}

/// A probe for another: whose, by which number there, and until when.
#[derive(Clone, Copy, Debug)]
struct Errand {
    sequence: u64,
    for_whom: MemberId,
    their: u64,
    until: Ms,
}

/// Errands that may be under way; more are not taken.
const ERRANDS: usize = 256;

pub struct FailureDetector {
    me: MemberId,
    pace: SwimConfig,
    rng: fastrand::Rng,
    incarnation: u64,
    seen: BTreeMap<MemberId, Seen>,
    round: Vec<MemberId>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    sequence: u64,
    due: Ms,
    /// Lifeguard's local health: 0 is well.
    own: u32,
    leaving: bool,
    sends: Vec<(MemberId, SwimMessage)>,
    turned: Vec<(MemberId, Health)>,
}

impl FailureDetector {
    /// `incarnation`: higher than at any start before, as [`crate::Run`] is.
    pub fn start(me: MemberId, pace: SwimConfig, incarnation: u64, seed: u64, now: Ms) -> FailureDetector {
        let rng = fastrand::Rng::with_seed(seed);
        let incarnation = incarnation << 20;
        FailureDetector {
            me,
            pace,
            rng,
            incarnation,
            seen: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            errands: Vec::new(),
            sequence: 0,
            due: now,
            own: 0,
            leaving: false,
            sends: Vec::new(),
            turned: Vec::new(),
        }
    }

    /// Who is to be watched. Those already known stay as they are.
    pub fn set_members(&mut self, now: Ms, members: impl Iterator<Item = MemberId>) {
        let members: Vec<MemberId> = members.filter(|id| *id != self.me).collect();
        self.seen.retain(|id, _| members.contains(id));
        for id in members {
            let new = Seen {
                health: Health::Alive,
                incarnation: 0,
                since: now,
                by: Vec::new(),
                direct: None,
                by_others: None,
                clock: None,
                told: 0,
            };
            self.seen.entry(id).or_insert(new);
        }
    }

    /// What is to be sent since this was last asked.
    pub fn take_messages(&mut self) -> Vec<(MemberId, SwimMessage)> {
        std::mem::take(&mut self.sends)
    }

    /// Who is believed to be otherwise than before, since this was last asked.
    pub fn take_health_changes(&mut self) -> Vec<(MemberId, Health)> {
        std::mem::take(&mut self.turned)
    }

    pub fn health(&self, of: MemberId) -> Health {
        match self.seen.get(&of) {
            _ if of == self.me => Health::Alive,
            Some(seen) => seen.health,
            None => Health::Dead,
        }
    }

    /// Whether a member may be given work: it is not suspected, and not this one's own links alone are in doubt.
    pub fn alive(&self) -> impl Iterator<Item = MemberId> + '_ {
        let others = self.seen.iter().filter(|(_, seen)| seen.health == Health::Alive);
        std::iter::once(self.me).chain(others.map(|(id, _)| *id))
    }

    pub fn reach(&self, now: Ms, of: MemberId) -> Reach {
        let Some(seen) = self.seen.get(&of) else { return Reach::Unknown };
        let round = self.round_trip() * 2.0;
        let fresh = |at: Option<Ms>| at.is_some_and(|at| now <= at + round);
        match (fresh(seen.direct), fresh(seen.by_others)) {
            (true, _) => Reach::Direct,
            (false, true) => Reach::Indirect,
            (false, false) if seen.direct.is_none() && seen.health == Health::Alive => Reach::Unknown,
            (false, false) => Reach::Unreachable,
        }
    }

    /// How slow this member itself is: 0 is well, 8 the worst.
    pub fn local_health(&self) -> u32 {
        self.own
    }

    /// The time of day on each clock that was seen lately, this one's among them.
    pub fn clocks(&self, now: Ms, own: Ms) -> Vec<Ms> {
        let fresh = |seen: &Seen| {
            let (ahead, at) = seen.clock?;
            (now <= at + self.round_trip() * 2.0).then_some(now + ahead)
        };
        self.seen.values().filter_map(fresh).chain([own]).collect()
    }

    /// The time in which everybody is probed once by this member.
    fn round_trip(&self) -> Ms {
        self.pace.probe_period_ms * (self.seen.len().max(1) as f64 + 1.0) * f64::from(self.own + 1)
    }

    pub fn next_tick(&self) -> Ms {
        let probe = self.probe.filter(|probe| probe.asked == 0).map(|probe| probe.sent + self.answer());
        let errands = self.errands.iter().map(|errand| errand.until);
        let suspects = self.seen.values().filter(|seen| seen.health == Health::Suspect);
        let ends = suspects.map(|seen| seen.since + self.suspicion(seen));
        probe.into_iter().chain(errands).chain(ends).fold(self.due, f64::min)
    }

    fn answer(&self) -> Ms {
        self.pace.probe_timeout_ms * f64::from(self.own + 1)
    }

    /// How long a suspicion lasts: the longer the worse this member is itself, the shorter the more suspect the same.
    fn suspicion(&self, seen: &Seen) -> Ms {
        let group = (self.seen.len() as f64 + 1.0).log10().max(1.0);
        let period = self.pace.probe_period_ms * f64::from(self.own + 1);
        let (short, long) = (SHORTEST * group * period, LONGEST * SHORTEST * group * period);
        let confirming = CONFIRMING.min(self.seen.len() as f64 - 1.0).max(1.0);
        let part = (seen.by.len().saturating_sub(1) as f64 + 1.0).ln() / (confirming + 1.0).ln();
        (long - (long - short) * part).max(short)
    }

    pub fn tick(&mut self, now: Ms) {
        self.errands.extract_if(.., |errand| now >= errand.until).for_each(|errand| {
            self.sends.push((errand.for_whom, SwimMessage::Nack { sequence: errand.their }));
        });
        let over = |seen: &Seen, of: &FailureDetector| {
            seen.health == Health::Suspect && now >= seen.since + of.suspicion(seen)
        };
        let dead: Vec<(MemberId, u64)> = self
            .seen
            .iter()
            .filter(|(_, seen)| over(seen, self))
            .map(|(id, seen)| (*id, seen.incarnation))
            .collect();
        for (about, incarnation) in dead {
            self.hear(
                now,
                GossipUpdate { member: about, health: Health::Dead, incarnation, reported_by: self.me },
            );
        }
        if let Some(probe) = self.probe.filter(|probe| probe.asked == 0 && now >= probe.sent + self.answer())
        {
            self.ask_others(probe);
        }
        if now >= self.due {
            // Late by itself: it was stopped or starved, and knows nothing of others from that time.
            let late = now - self.due > self.pace.probe_period_ms;
            self.conclude(now, late);
            self.due = now + self.pace.probe_period_ms * f64::from(self.own + 1);
            self.begin(now);
        }
    }

    fn ask_others(&mut self, probe: Probe) {
        let mut others: Vec<MemberId> =
            self.alive().filter(|id| *id != self.me && *id != probe.target).collect();
        self.rng.shuffle(&mut others);
        others.truncate(self.pace.indirect_probe_count);
        let (sequence, target) = (probe.sequence, probe.target);
        for other in &others {
            let updates = self.updates(*other);
            self.sends.push((*other, SwimMessage::PingRequest { sequence, target, updates }));
        }
        if let Some(probe) = &mut self.probe {
            probe.asked = others.len().max(1);
        }
    }

    /// The last probe is over.
    fn conclude(&mut self, now: Ms, late: bool) {
        let probe = self.probe.take();
        if late {
            self.own = (self.own + 1).min(WORST);
            return;
        }
        let Some(probe) = probe else { return };
        if probe.by_others {
            return;
        }
        // Who was asked and did not even say no shows that this member's own links or time are at fault.
        let missed = probe.asked.saturating_sub(probe.nacks);
        let blame = if probe.asked > 1 { missed as u32 } else { 1 };
        self.own = (self.own + blame.min(2)).min(WORST);
        let Some(seen) = self.seen.get(&probe.target) else { return };
        let word = GossipUpdate {
            member: probe.target,
            health: Health::Suspect,
            incarnation: seen.incarnation,
            reported_by: self.me,
        };
        self.hear(now, word);
    }

    fn begin(&mut self, now: Ms) {
        if self.round.is_empty() {
            self.round = self.seen.keys().copied().collect();
            self.rng.shuffle(&mut self.round);
        }
        // Also who is dead is probed, so that a heal of the network is found without being told.
        let Some(target) = self.round.pop().filter(|id| self.seen.contains_key(id)) else { return };
        self.sequence += 1;
        let sequence = self.sequence;
        self.probe = Some(Probe { sequence, target, sent: now, asked: 0, nacks: 0, by_others: false });
        let updates = self.updates(target);
        self.sends.push((target, SwimMessage::Ping { sequence, updates }));
    }

    /// The words that go with a message, the least told first; one on the receiver itself, if it is doubted, first of
    /// all, so that it can object.
    fn updates(&mut self, to: MemberId) -> Vec<GossipUpdate> {
        let most = 3 * (self.seen.len() + 2).ilog2().max(1);
        let own = GossipUpdate {
            member: self.me,
            health: if self.leaving { Health::Left } else { Health::Alive },
            incarnation: self.incarnation,
            reported_by: self.me,
        };
        let doubted = |id: &MemberId, seen: &Seen| *id == to && seen.health != Health::Alive;
        let mut all: Vec<(u32, MemberId)> = self
            .seen
            .iter()
            .filter(|(id, seen)| doubted(id, seen) || seen.told < most)
            .map(|(id, seen)| (if doubted(id, seen) { 0 } else { 1 + seen.told }, *id))
            .collect();
        all.sort();
        all.truncate(self.pace.max_updates_per_message.saturating_sub(1));
        let mut updates = vec![own];
        for (_, about) in all {
            let Some(seen) = self.seen.get_mut(&about) else { continue };
            seen.told += 1;
            let by = seen.by.first().copied().unwrap_or(self.me);
            updates.push(GossipUpdate {
                member: about,
                health: seen.health,
                incarnation: seen.incarnation,
                reported_by: by,
            });
        }
        updates
    }

    fn hear(&mut self, now: Ms, word: GossipUpdate) {
        let GossipUpdate { member, health, incarnation, reported_by } = word;
        if member == self.me {
            if health != Health::Alive && incarnation >= self.incarnation && !self.leaving {
                // It objects. That it had to shows that it is slow.
                self.incarnation = incarnation + 1;
                self.own = (self.own + 1).min(WORST);
            }
            return;
        }
        let Some(seen) = self.seen.get_mut(&member) else { return };
        let later = incarnation > seen.incarnation || incarnation == seen.incarnation && health > seen.health;
        if !later {
            let same = incarnation == seen.incarnation && health == seen.health;
            if same
                && health == Health::Suspect
                && !seen.by.contains(&reported_by)
                && seen.by.len() <= CONFIRMING as usize
            {
                seen.by.push(reported_by);
                seen.told = 0;
            }
            return;
        }
        let turned = seen.health != health;
        (seen.health, seen.incarnation, seen.told) = (health, incarnation, 0);
        seen.by = if health == Health::Suspect { vec![reported_by] } else { Vec::new() };
        if turned {
            seen.since = now;
            self.turned.push((member, health));
        }
    }

    /// What another member says. `clock`: the time of day here.
    pub fn handle_message(&mut self, now: Ms, clock: Ms, from: MemberId, message: SwimMessage) {
        let updates = match &message {
            SwimMessage::Ping { updates, .. }
            | SwimMessage::Ack { updates, .. }
            | SwimMessage::PingRequest { updates, .. } => updates.as_slice(),
            SwimMessage::Nack { .. } => &[],
        };
        updates.iter().for_each(|word| self.hear(now, *word));
        match message {
            SwimMessage::Ping { sequence, .. } => {
                let updates = self.updates(from);
                self.sends.push((from, SwimMessage::Ack { sequence, clock, updates }));
            }
            SwimMessage::PingRequest { sequence: their, target, .. } => {
                if self.errands.len() < ERRANDS {
                    self.sequence += 1;
                    let (sequence, until) = (self.sequence, now + self.answer());
                    self.errands.push(Errand { sequence, for_whom: from, their, until });
                    let updates = self.updates(target);
                    self.sends.push((target, SwimMessage::Ping { sequence, updates }));
                }
            }
            SwimMessage::Ack { sequence, clock: theirs, .. } => self.acked(now, from, sequence, theirs),
            SwimMessage::Nack { sequence } => {
                let probe = self.probe.as_mut().filter(|probe| probe.sequence == sequence);
                probe.into_iter().for_each(|probe| probe.nacks += 1);
            }
        }
    }

    fn acked(&mut self, now: Ms, from: MemberId, sequence: u64, theirs: Ms) {
        if let Some(at) = self.errands.iter().position(|errand| errand.sequence == sequence) {
            let errand = self.errands.swap_remove(at);
            let updates = self.updates(errand.for_whom);
            self.sends
                .push((errand.for_whom, SwimMessage::Ack { sequence: errand.their, clock: theirs, updates }));
        }
        let Some(probe) = self.probe.filter(|probe| probe.sequence == sequence) else { return };
        let Some(seen) = self.seen.get_mut(&probe.target) else { return };
        if from == probe.target {
            // On the way back it took half of the round at most, which is within what a period tells.
            seen.direct = Some(now);
            seen.clock = Some((theirs - now, now));
            self.own = self.own.saturating_sub(1);
            self.probe = None;
        } else {
            seen.by_others = Some(now);
            self.probe.iter_mut().for_each(|probe| probe.by_others = true);
        }
    }

    /// Says to some that it ends.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
        let others: Vec<MemberId> = self.seen.keys().copied().collect();
        for other in others {
            self.sequence += 1;
            let (sequence, updates) = (self.sequence, self.updates(other));
            self.sends.push((other, SwimMessage::Ping { sequence, updates }));
        }
    }
}
