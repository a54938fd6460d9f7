//! Failure detector: SWIM's direct and indirect probes, suspicion and incarnation numbers, with Lifeguard's local
//! health, so that a slow member suspects itself before it suspects others.
//!
//! Departures from the papers: an indirect ack is distinguished from a direct one ([`Reach::Indirect`]), because
//! operators need to tell a link that is cut in one direction from a dead process; and a member that leaves announces
//! it.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::ids::MemberId;

/// The health that the group ascribes to a member. Within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    /// The member itself announced that it leaves.
    Left,
}

/// How this member reaches another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No probe has been answered yet.
    Unknown,
    Direct,
    /// The other member answers other members but not this one: a link is cut or half-open, and no process is dead.
    Indirect,
    Unreachable,
}

/// A gossip update about a member. Of two updates the one with the higher incarnation takes precedence; with the same
/// incarnation, the one with the later variant of [`Health`]. Updates and messages are encoded by position, so fields
/// and variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    pub member: MemberId,
    pub health: Health,
    pub incarnation: u64,
    /// For a suspicion, the member that raised it. Suspicions by different members confirm each other.
    pub reported_by: MemberId,
}

/// A message of the failure detector.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SwimMessage {
    Ping {
        sequence: u64,
        updates: Vec<GossipUpdate>,
    },
    Ack {
        /// The sequence number of the request.
        sequence: u64,
        /// The wall clock of the probed member.
        clock: Ms,
        updates: Vec<GossipUpdate>,
    },
    /// Asks the receiver to probe the target and to relay its answer.
    PingRequest {
        sequence: u64,
        target: MemberId,
        updates: Vec<GossipUpdate>,
    },
    /// The target of a ping request did not answer the relay in time. The nack also shows that the relay and the link
    /// to it work.
    Nack {
        sequence: u64,
    },
}

impl SwimMessage {
    /// The outbox slot of this message: a newer message replaces an older one that is still queued for the same peer
    /// in the same slot. `None` if the message must not be replaced.
    pub fn slot(&self) -> Option<u8> {
        // Differs from the slots of `Message`, because both kinds of messages are queued in the same outbox.
        matches!(self, SwimMessage::Ping { .. }).then_some(16)
    }
}

/// Intervals and limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// One member is probed in each period.
    pub probe_period_ms: Ms,
    /// How long a member in good local health waits for the answer to a direct probe.
    pub probe_timeout_ms: Ms,
    /// How many members are asked to probe the target after a direct probe has timed out.
    pub indirect_probe_count: usize,
    pub max_updates_per_message: usize,
}

/// The worst local health, as in the Lifeguard paper.
const MAX_LOCAL_HEALTH: u32 = 8;
/// The shortest suspicion timeout in probe periods, per decimal logarithm of the group's size (Lifeguard's alpha).
const MIN_SUSPICION_FACTOR: f64 = 4.0;
/// The ratio of the longest suspicion timeout to the shortest (Lifeguard's beta).
const MAX_SUSPICION_RATIO: f64 = 6.0;
/// The number of confirmations by other members at which the suspicion timeout is the shortest (Lifeguard's K).
const MAX_CONFIRMATION_COUNT: f64 = 3.0;
/// The number of probes for other members that may be in progress; further ping requests are dropped.
const MAX_RELAYED_PROBES: usize = 256;
/// The most by which one failed probe worsens the local health.
const MAX_PROBE_PENALTY: u32 = 2;
/// The number of times an update is gossiped, per binary logarithm of the group's size (SWIM's lambda).
const GOSSIP_FACTOR: u32 = 3;
/// The number of low bits of an incarnation that count the increments within one run.
const INCARNATION_BITS_PER_RUN: u32 = 20;

/// What this member knows of another one.
#[derive(Clone, Debug)]
struct Peer {
    health: Health,
    incarnation: u64,
    /// When `health` last changed.
    health_since: Ms,
    suspected_by: Vec<MemberId>,
    direct_ack_at: Option<Ms>,
    indirect_ack_at: Option<Ms>,
    /// The peer's wall clock minus this member's monotonic clock, which does not jump; and when it was measured.
    clock_offset: Option<(Ms, Ms)>,
    /// How often the current update about the peer has been sent.
    times_gossiped: u32,
}

/// This member's own probe in the current period.
#[derive(Clone, Copy, Debug)]
struct Probe {
    sequence: u64,
    target: MemberId,
    sent_at: Ms,
    /// 0 until the direct probe times out; then the number of ping requests sent, or 1 if there was no relay.
    ping_request_count: usize,
    nack_count: usize,
    acked_indirectly: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    sequence: u64,
    requester: MemberId,
    /// The sequence number of the ping request.
    requester_sequence: u64,
    deadline: Ms,
}

/// The failure detector of one member.
pub struct FailureDetector {
    id: MemberId,
    config: SwimConfig,
    rng: fastrand::Rng,
    incarnation: u64,
    peers: BTreeMap<MemberId, Peer>,
    /// The members that are still to be probed in this round, in random order.
    probe_order: Vec<MemberId>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    last_sequence: u64,
    next_probe_at: Ms,
    /// Lifeguard's local health: 0 is healthy, [`MAX_LOCAL_HEALTH`] the worst.
    local_health: u32,
    leaving: bool,
    messages: Vec<(MemberId, SwimMessage)>,
    health_changes: Vec<(MemberId, Health)>,
}

impl FailureDetector {
    /// Starts a failure detector. `incarnation` has to be higher than at any earlier start of this member, as
    /// [`crate::Run`] is.
    pub fn start(id: MemberId, config: SwimConfig, incarnation: u64, seed: u64, now: Ms) -> FailureDetector {
        let rng = fastrand::Rng::with_seed(seed);
        // Leaves room for the increments of one run below the next run's incarnation.
        let incarnation = incarnation << INCARNATION_BITS_PER_RUN;
        FailureDetector {
            id,
            config,
            rng,
            incarnation,
            peers: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            last_sequence: 0,
            next_probe_at: now,
            local_health: 0,
            leaving: false,
            messages: Vec::new(),
            health_changes: Vec::new(),
        }
    }

    /// Sets the members to watch. Members that were watched before keep their state.
    pub fn set_members(&mut self, now: Ms, members: impl Iterator<Item = MemberId>) {
        let members: Vec<MemberId> = members.filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| members.contains(id));
        for id in members {
            let new_peer = Peer {
                health: Health::Alive,
                incarnation: 0,
                health_since: now,
                suspected_by: Vec::new(),
                direct_ack_at: None,
                indirect_ack_at: None,
                clock_offset: None,
                times_gossiped: 0,
            };
            self.peers.entry(id).or_insert(new_peer);
        }
    }

    /// Takes the messages queued for sending since the last call.
    pub fn take_messages(&mut self) -> Vec<(MemberId, SwimMessage)> {
        std::mem::take(&mut self.messages)
    }

    /// Takes the changes of members' health since the last call.
    pub fn take_health_changes(&mut self) -> Vec<(MemberId, Health)> {
        std::mem::take(&mut self.health_changes)
    }

    /// The health of a member; a member that is not watched counts as dead.
    pub fn health(&self, member: MemberId) -> Health {
        match self.peers.get(&member) {
            _ if member == self.id => Health::Alive,
            Some(peer) => peer.health,
            None => Health::Dead,
        }
    }

    /// The members that may be given work: this one, and all others that are neither suspected nor dead and have not
    /// left. A member that only this one cannot reach directly is among them.
    pub fn alive(&self) -> impl Iterator<Item = MemberId> + '_ {
        let others = self.peers.iter().filter(|(_, peer)| peer.health == Health::Alive);
        std::iter::once(self.id).chain(others.map(|(id, _)| *id))
    }

    /// How this member reaches another one, by the probes of the last two rounds.
    pub fn reach(&self, now: Ms, member: MemberId) -> Reach {
        let Some(peer) = self.peers.get(&member) else { return Reach::Unknown };
        let max_age = self.round_duration() * 2.0;
        let is_recent = |ack_at: Option<Ms>| ack_at.is_some_and(|ack_at| now <= ack_at + max_age);
        match (is_recent(peer.direct_ack_at), is_recent(peer.indirect_ack_at)) {
            (true, _) => Reach::Direct,
            (false, true) => Reach::Indirect,
            (false, false) if peer.direct_ack_at.is_none() && peer.health == Health::Alive => Reach::Unknown,
            (false, false) => Reach::Unreachable,
        }
    }

    /// Lifeguard's local health: how slow this member itself is, from 0 (healthy) to 8.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// The wall clocks of the members that answered a direct probe within the last two rounds, and this member's own
    /// wall clock.
    pub fn clocks(&self, now: Ms, own_clock: Ms) -> Vec<Ms> {
        let recent_clock = |peer: &Peer| {
            let (offset, measured_at) = peer.clock_offset?;
            (now <= measured_at + self.round_duration() * 2.0).then_some(now + offset)
        };
        self.peers.values().filter_map(recent_clock).chain([own_clock]).collect()
    }

    /// A time within which this member probes every other one at least once.
    fn round_duration(&self) -> Ms {
        self.config.probe_period_ms
            * (self.peers.len().max(1) as f64 + 1.0)
            * f64::from(self.local_health + 1)
    }

    /// When [`FailureDetector::tick`] is due next.
    pub fn next_tick(&self) -> Ms {
        let direct_probe = self.probe.filter(|probe| probe.ping_request_count == 0);
        let probe_timeout = direct_probe.map(|probe| probe.sent_at + self.probe_timeout());
        let relayed_deadlines = self.relayed_probes.iter().map(|relayed| relayed.deadline);
        let suspects = self.peers.values().filter(|peer| peer.health == Health::Suspect);
        let suspicion_ends = suspects.map(|peer| peer.health_since + self.suspicion_timeout(peer));
        probe_timeout
            .into_iter()
            .chain(relayed_deadlines)
            .chain(suspicion_ends)
            .fold(self.next_probe_at, f64::min)
    }

    /// How long this member waits for the answer to a direct or relayed probe.
    fn probe_timeout(&self) -> Ms {
        self.config.probe_timeout_ms * f64::from(self.local_health + 1)
    }

    /// How long a peer stays suspect before it counts as dead. The timeout grows as this member's own local health gets
    /// worse, and shrinks as more members confirm the suspicion.
    fn suspicion_timeout(&self, peer: &Peer) -> Ms {
        let group_factor = (self.peers.len() as f64 + 1.0).log10().max(1.0);
        let period = self.config.probe_period_ms * f64::from(self.local_health + 1);
        let (shortest, longest) = (
            MIN_SUSPICION_FACTOR * group_factor * period,
            MAX_SUSPICION_RATIO * MIN_SUSPICION_FACTOR * group_factor * period,
        );
        let max_confirmations = MAX_CONFIRMATION_COUNT.min(self.peers.len() as f64 - 1.0).max(1.0);
        let confirmation_ratio =
            (peer.suspected_by.len().saturating_sub(1) as f64 + 1.0).ln() / (max_confirmations + 1.0).ln();
        (longest - (longest - shortest) * confirmation_ratio).max(shortest)
    }

    /// Handles expired probes and suspicions, and starts the next probe when it is due.
    pub fn tick(&mut self, now: Ms) {
        self.relayed_probes.extract_if(.., |relayed| now >= relayed.deadline).for_each(|relayed| {
            self.messages
                .push((relayed.requester, SwimMessage::Nack { sequence: relayed.requester_sequence }));
        });
        let suspicion_expired = |peer: &Peer, detector: &FailureDetector| {
            peer.health == Health::Suspect && now >= peer.health_since + detector.suspicion_timeout(peer)
        };
        let dead: Vec<(MemberId, u64)> = self
            .peers
            .iter()
            .filter(|(_, peer)| suspicion_expired(peer, self))
            .map(|(id, peer)| (*id, peer.incarnation))
            .collect();
        for (member, incarnation) in dead {
            self.apply_update(
                now,
                GossipUpdate { member, health: Health::Dead, incarnation, reported_by: self.id },
            );
        }
        if let Some(probe) = self
            .probe
            .filter(|probe| probe.ping_request_count == 0 && now >= probe.sent_at + self.probe_timeout())
        {
            self.send_ping_requests(probe);
        }
        if now >= self.next_probe_at {
            // If the tick is late by more than a period, this member itself was suspended or got no CPU time, and the
            // probe's result says nothing about its target.
            let late = now - self.next_probe_at > self.config.probe_period_ms;
            self.finish_probe(now, late);
            self.next_probe_at = now + self.config.probe_period_ms * f64::from(self.local_health + 1);
            self.start_probe(now);
        }
    }

    /// Asks random live members to probe the target, after it has not answered a direct probe in time.
    fn send_ping_requests(&mut self, probe: Probe) {
        let mut relays: Vec<MemberId> =
            self.alive().filter(|id| *id != self.id && *id != probe.target).collect();
        self.rng.shuffle(&mut relays);
        relays.truncate(self.config.indirect_probe_count);
        let (sequence, target) = (probe.sequence, probe.target);
        for relay in &relays {
            let updates = self.updates_for(*relay);
            self.messages.push((*relay, SwimMessage::PingRequest { sequence, target, updates }));
        }
        if let Some(probe) = &mut self.probe {
            probe.ping_request_count = relays.len().max(1);
        }
    }

    /// Ends the previous period's probe. A target that has answered neither directly nor through a relay is suspected,
    /// and the local health gets worse: by the number of missing nacks up to [`MAX_PROBE_PENALTY`], or by 1 if fewer
    /// than two relays were asked. A late tick only makes the local health worse.
    fn finish_probe(&mut self, now: Ms, late: bool) {
        let probe = self.probe.take();
        if late {
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            return;
        }
        let Some(probe) = probe else { return };
        if probe.acked_indirectly {
            return;
        }
        // A relay that has not sent a nack either indicates a fault of this member's own links or timing.
        let missing_nacks = probe.ping_request_count.saturating_sub(probe.nack_count);
        let penalty = if probe.ping_request_count > 1 { missing_nacks as u32 } else { 1 };
        self.local_health = (self.local_health + penalty.min(MAX_PROBE_PENALTY)).min(MAX_LOCAL_HEALTH);
        let Some(peer) = self.peers.get(&probe.target) else { return };
        let suspicion = GossipUpdate {
            member: probe.target,
            health: Health::Suspect,
            incarnation: peer.incarnation,
            reported_by: self.id,
        };
        self.apply_update(now, suspicion);
    }

    /// Probes the next member of the round; starts a new round if all have been probed.
    fn start_probe(&mut self, now: Ms) {
        if self.probe_order.is_empty() {
            self.probe_order = self.peers.keys().copied().collect();
            self.rng.shuffle(&mut self.probe_order);
        }
        // Dead members are probed as well, so that a healed partition is noticed without gossip.
        let Some(target) = self.probe_order.pop().filter(|id| self.peers.contains_key(id)) else { return };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.probe = Some(Probe {
            sequence,
            target,
            sent_at: now,
            ping_request_count: 0,
            nack_count: 0,
            acked_indirectly: false,
        });
        let updates = self.updates_for(target);
        self.messages.push((target, SwimMessage::Ping { sequence, updates }));
    }

    /// The updates to piggyback on a message: this member's own state, then the updates sent least often. An update
    /// that reports the receiver itself as not alive precedes these, so that the receiver can refute it.
    fn updates_for(&mut self, receiver: MemberId) -> Vec<GossipUpdate> {
        let max_times_gossiped = GOSSIP_FACTOR * (self.peers.len() + 2).ilog2().max(1);
        let own_update = GossipUpdate {
            member: self.id,
            health: if self.leaving { Health::Left } else { Health::Alive },
            incarnation: self.incarnation,
            reported_by: self.id,
        };
        let is_refutable = |id: &MemberId, peer: &Peer| *id == receiver && peer.health != Health::Alive;
        let mut candidates: Vec<(u32, MemberId)> = self
            .peers
            .iter()
            .filter(|(id, peer)| is_refutable(id, peer) || peer.times_gossiped < max_times_gossiped)
            .map(|(id, peer)| (if is_refutable(id, peer) { 0 } else { 1 + peer.times_gossiped }, *id))
            .collect();
        candidates.sort();
        candidates.truncate(self.config.max_updates_per_message.saturating_sub(1));
        let mut updates = vec![own_update];
        for (_, member) in candidates {
            let Some(peer) = self.peers.get_mut(&member) else { continue };
            peer.times_gossiped += 1;
            let reported_by = peer.suspected_by.first().copied().unwrap_or(self.id);
            updates.push(GossipUpdate {
                member,
                health: peer.health,
                incarnation: peer.incarnation,
                reported_by,
            });
        }
        updates
    }

    /// Applies an update if it takes precedence over what is known of the member, and records who confirms a suspicion.
    /// Refutes an update that reports this member as not alive.
    fn apply_update(&mut self, now: Ms, update: GossipUpdate) {
        let GossipUpdate { member, health, incarnation, reported_by } = update;
        if member == self.id {
            if health != Health::Alive && incarnation >= self.incarnation && !self.leaving {
                // The higher incarnation refutes the update. Having to refute one indicates that this member is slow.
                self.incarnation = incarnation + 1;
                self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            }
            return;
        }
        let Some(peer) = self.peers.get_mut(&member) else { return };
        let overrides =
            incarnation > peer.incarnation || incarnation == peer.incarnation && health > peer.health;
        if !overrides {
            let is_same = incarnation == peer.incarnation && health == peer.health;
            if is_same
                && health == Health::Suspect
                && !peer.suspected_by.contains(&reported_by)
                && peer.suspected_by.len() <= MAX_CONFIRMATION_COUNT as usize
            {
                peer.suspected_by.push(reported_by);
                peer.times_gossiped = 0;
            }
            return;
        }
        let health_changed = peer.health != health;
        (peer.health, peer.incarnation, peer.times_gossiped) = (health, incarnation, 0);
        peer.suspected_by = if health == Health::Suspect { vec![reported_by] } else { Vec::new() };
        if health_changed {
            peer.health_since = now;
            self.health_changes.push((member, health));
        }
    }

    /// Handles a message from another member. `clock` is this member's wall clock.
    pub fn handle_message(&mut self, now: Ms, clock: Ms, sender: MemberId, message: SwimMessage) {
        let updates = match &message {
            SwimMessage::Ping { updates, .. }
            | SwimMessage::Ack { updates, .. }
            | SwimMessage::PingRequest { updates, .. } => updates.as_slice(),
            SwimMessage::Nack { .. } => &[],
        };
        updates.iter().for_each(|update| self.apply_update(now, *update));
        match message {
            SwimMessage::Ping { sequence, .. } => {
                let updates = self.updates_for(sender);
                self.messages.push((sender, SwimMessage::Ack { sequence, clock, updates }));
            }
            SwimMessage::PingRequest { sequence: requester_sequence, target, .. } => {
                if self.relayed_probes.len() < MAX_RELAYED_PROBES {
                    self.last_sequence += 1;
                    let (sequence, deadline) = (self.last_sequence, now + self.probe_timeout());
                    self.relayed_probes.push(RelayedProbe {
                        sequence,
                        requester: sender,
                        requester_sequence,
                        deadline,
                    });
                    let updates = self.updates_for(target);
                    self.messages.push((target, SwimMessage::Ping { sequence, updates }));
                }
            }
            SwimMessage::Ack { sequence, clock: target_clock, .. } => {
                self.handle_ack(now, sender, sequence, target_clock)
            }
            SwimMessage::Nack { sequence } => {
                let probe = self.probe.as_mut().filter(|probe| probe.sequence == sequence);
                probe.into_iter().for_each(|probe| probe.nack_count += 1);
            }
        }
    }

    /// Relays the ack of a relayed probe to its requester, or records the ack of this member's own probe.
    fn handle_ack(&mut self, now: Ms, sender: MemberId, sequence: u64, target_clock: Ms) {
        if let Some(position) = self.relayed_probes.iter().position(|relayed| relayed.sequence == sequence) {
            let relayed = self.relayed_probes.swap_remove(position);
            let updates = self.updates_for(relayed.requester);
            let sequence = relayed.requester_sequence;
            let ack = SwimMessage::Ack { sequence, clock: target_clock, updates };
            self.messages.push((relayed.requester, ack));
        }
        let Some(probe) = self.probe.filter(|probe| probe.sequence == sequence) else { return };
        let Some(peer) = self.peers.get_mut(&probe.target) else { return };
        if sender == probe.target {
            // The ack arrived before the next probe was sent, so the error of the offset is less than the time between
            // the two probes.
            peer.direct_ack_at = Some(now);
            peer.clock_offset = Some((target_clock - now, now));
            self.local_health = self.local_health.saturating_sub(1);
            self.probe = None;
        } else {
            peer.indirect_ack_at = Some(now);
            self.probe.iter_mut().for_each(|probe| probe.acked_indirectly = true);
        }
    }

    /// Announces to the other members that this one leaves.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
        let others: Vec<MemberId> = self.peers.keys().copied().collect();
        for other in others {
            self.last_sequence += 1;
            let (sequence, updates) = (self.last_sequence, self.updates_for(other));
            self.messages.push((other, SwimMessage::Ping { sequence, updates }));
        }
    }
}
