//! The thread that owns the council and what is agreed: it hands in what came, and does what comes back, in the order
//! that the crates below ask for: to write, to send, to take over.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use juniperrail_consensus::{
    median_clock, Actions, FailureDetector, Health, Index, Member, MemberId, MemberRole, Members,
    MembershipChange, Message, RaftEvent, RaftNode, Role, Run, StoredState,
};
use juniperrail_failover::{ActivePlan, Evidence, FailoverController};
use juniperrail_faults::{Fault, Point};
use juniperrail_interface::Ms;
use juniperrail_schedule::{self as schedule, ClaimTask, ClaimTracker, LeaderState, TryOutcome};
use juniperrail_store::Writer;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::agreed::{Agreed, LogCommand};
use crate::disk::Watched;
use crate::links::Book;
use crate::mail::{Mail, PeerMessage};
use crate::seen::{FleetStatus, ScheduleStatus};
use crate::setting::FleetConfig;
use crate::ZoneWeightRatios;

/// Records that wait for a store that is behind; a member whose store is so far behind steps down.
const BEHIND: usize = 1024;
/// Nothing is looked at more rarely.
const LONGEST: Ms = 250.0;
/// What people may read is copied no more often.
const SHOWN: Ms = 500.0;
/// What is proposed may take so many elections to be agreed before it is proposed again.
const AGAIN: f64 = 2.0;

pub struct Core {
    setting: FleetConfig,
    started: Instant,
    council: RaftNode,
    sight: FailureDetector,
    writer: Writer<Watched>,
    /// Records that the writer has not taken yet.
    behind: VecDeque<Vec<u8>>,
    failing: bool,
    mail: Arc<Mail>,
    seen: Arc<Mutex<FleetStatus>>,
    book: Book,
    agreed: Agreed,
    leading: LeaderState,
    led: bool,
    duties: ClaimTracker,
    pilot: FailoverController,
    in_force: ActivePlan,
    hand: watch::Sender<Arc<ZoneWeightRatios>>,
    /// When schedules are looked at next, and members.
    look: Ms,
    shown: Ms,
    leaving: Option<Ms>,
}

impl Core {
    pub fn new(
        setting: &FleetConfig,
        kept: StoredState,
        writer: Writer<Watched>,
        mail: Arc<Mail>,
        seen: Arc<Mutex<FleetStatus>>,
        hand: watch::Sender<Arc<ZoneWeightRatios>>,
    ) -> Core {
        let voter = |(id, address): (&MemberId, &String)| {
            (*id, Member { address: address.clone(), role: MemberRole::Voter })
        };
        let named: Members = setting.members.iter().map(voter).collect();
        // Guards against a seed that is told again at the next start: by this chance a store is told from one that was lost.
        let seed = setting.seed ^ fastrand::u64(..);
        let council = RaftNode::start(setting.member_id, setting.raft, named, seed, 0.0, kept);
        let run = council.run();
        let sight = FailureDetector::start(setting.member_id, setting.swim, run.0, seed ^ 1, 0.0);
        Core {
            started: Instant::now(),
            council,
            sight,
            writer,
            behind: VecDeque::new(),
            failing: false,
            mail,
            seen,
            book: Arc::new(Mutex::new(setting.members.clone())),
            agreed: Agreed::default(),
            leading: LeaderState::default(),
            led: false,
            duties: ClaimTracker::new(setting.member_id, run),
            pilot: FailoverController::default(),
            in_force: ActivePlan::default(),
            hand,
            look: 0.0,
            shown: f64::NEG_INFINITY,
            leaving: None,
            setting: setting.clone(),
        }
    }

    pub fn run(&self) -> Run {
        self.council.run()
    }

    pub fn book(&self) -> Book {
        self.book.clone()
    }

    /// This member's own clock: it never jumps, and goes on while the process is stopped.
    fn now(&self) -> Ms {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The time of day as the machine shows it.
    fn day() -> Ms {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.as_secs_f64() * 1000.0 + juniperrail_faults::clock_ahead()
    }

    pub fn serve(mut self) {
        self.members();
        self.carry_out();
        loop {
            let now = self.now();
            let next = self.council.next_tick().min(self.sight.next_tick()).min(self.look).min(now + LONGEST);
            let wait = Duration::from_secs_f64((next - now).clamp(0.0, LONGEST) / 1000.0);
            let rung = self.mail.wait(wait);
            if rung.stop {
                return;
            }
            let now = self.now();
            self.store(now);
            self.hear(now);
            if now >= self.council.next_tick() {
                self.council.tick(now);
            }
            if now >= self.sight.next_tick() {
                self.sight.tick(now);
            }
            if rung.leave && self.leaving.is_none() {
                self.leave(now);
            }
            self.carry_out();
            self.left();
            if now >= self.look {
                self.look = now + self.setting.raft.heartbeat_interval_ms;
                self.reconcile(now);
                self.schedules(now);
                self.zones(now);
                self.carry_out();
                self.hand_out(now);
                if now >= self.shown + SHOWN {
                    self.shown = now;
                    self.show(now);
                }
            }
        }
    }

    fn store(&mut self, now: Ms) {
        while let Some(record) = self.behind.front() {
            match self.writer.append(record.clone()) {
                Ok(_) => _ = self.behind.pop_front(),
                Err(_) => break,
            }
        }
        let figures = self.writer.figures();
        let failing = figures.failing || self.behind.len() > BEHIND;
        if failing != self.failing {
            match failing {
                true => {
                    tracing::error!("fleet: the store fails: this manager leads no more and votes for nobody")
                }
                false => tracing::info!("fleet: the store is well again"),
            }
            self.failing = failing;
            self.council.set_store_failing(now, failing);
        }
        self.council.handle_durable(now, figures.durable.0);
        _ = Point::CONSENSUS_DURABLE.pass();
    }

    fn hear(&mut self, now: Ms) {
        let (came, more) = self.mail.took();
        let day = Core::day();
        for (from, parcels) in came {
            for parcel in parcels {
                match parcel {
                    PeerMessage::Consensus(message) => self.council.handle_message(now, from, message),
                    PeerMessage::Membership(message) => self.sight.handle_message(now, day, from, message),
                    PeerMessage::Evidence(word) => self.witness(now, from, word),
                }
            }
        }
        for acted in self.mail.ended() {
            let word = self.duties.record_outcome(acted.fence, acted.turn, now, day);
            word.into_iter().for_each(|word| self.tell_end(now, word));
        }
        if let Some(word) = self.mail.evidence() {
            self.tell_evidence(now, word);
        }
        if more {
            self.mail.wake();
        }
    }

    /// Does what the council wants, until it wants nothing more.
    fn carry_out(&mut self) {
        loop {
            let Actions { records: writes, messages: sends, committed: agreed, events: news } =
                self.council.take_actions();
            if writes.is_empty() && sends.is_empty() && agreed.is_empty() && news.is_empty() {
                break;
            }
            if !writes.is_empty() {
                _ = Point::CONSENSUS_WRITE.pass();
            }
            for record in writes {
                let bytes = record.encode();
                if !self.behind.is_empty() || self.writer.append(bytes.clone()).is_err() {
                    self.behind.push_back(bytes);
                }
            }
            for (to, message) in sends {
                self.mail.of(to).send(PeerMessage::Consensus(message));
            }
            news.into_iter().for_each(|news| self.told(news));
            agreed.into_iter().for_each(|agreed| self.take_over(agreed));
        }
        for (to, message) in self.sight.take_messages() {
            self.mail.of(to).send(PeerMessage::Membership(message));
        }
        for (about, health) in self.sight.take_health_changes() {
            match health {
                Health::Alive => tracing::info!("fleet: {about} is there"),
                Health::Suspect => tracing::info!("fleet: {about} does not answer and is suspected"),
                Health::Dead => tracing::warn!("fleet: {about} is taken for dead"),
                Health::Left => tracing::info!("fleet: {about} said that it ends"),
            }
        }
        self.compact();
    }

    fn told(&mut self, news: RaftEvent) {
        match news {
            RaftEvent::BecameLeader(term) => {
                tracing::info!("fleet: this manager leads in {term}");
                (self.leading, self.pilot) = (LeaderState::default(), FailoverController::default());
                _ = Point::CONSENSUS_BECOME_LEADER.pass();
            }
            RaftEvent::LeaderChanged(leader, term) => tracing::info!("fleet: {leader} leads in {term}"),
            RaftEvent::SteppedDown(term, why) => {
                tracing::info!("fleet: this manager leads no more in {term}: {why}")
            }
            RaftEvent::Bootstrapped(count) => tracing::info!("fleet: the council of {count} is founded"),
            RaftEvent::RecoveryStarted => {
                tracing::warn!("fleet: the store is lost or old: nothing is voted on until others have told what it lacks");
            }
            RaftEvent::RecoveryFinished => tracing::info!("fleet: the store has caught up"),
            RaftEvent::StaleLeader(from, term) => {
                tracing::info!("fleet: {from} still takes itself for the leader of {term}: refused")
            }
        }
    }

    fn take_over(&mut self, agreed: juniperrail_consensus::Committed) {
        _ = Point::CONSENSUS_APPLY.pass();
        match agreed {
            juniperrail_consensus::Committed::Snapshot(snapshot) => match Agreed::read(&snapshot) {
                Some(state) => {
                    // One that was kept from before is no word on how things are now.
                    if self.council.leader().is_some() && state.plan != self.agreed.plan {
                        self.in_force.activate(self.now(), &state.plan);
                    }
                    self.agreed = state;
                }
                None => tracing::error!(
                    "fleet: what was agreed up to {} cannot be read by this program",
                    snapshot.last_index.0
                ),
            },
            juniperrail_consensus::Committed::Entry(entry) => {
                if let juniperrail_consensus::Payload::Command(bytes) = &entry.payload {
                    match LogCommand::decode(bytes) {
                        Some(word) => self.apply(entry.index, &word),
                        None => {
                            tracing::error!("fleet: entry {} cannot be read by this program", entry.index.0)
                        }
                    }
                }
            }
        }
        self.members();
        _ = Point::CONSENSUS_APPLIED.pass();
        self.look = 0.0;
    }

    fn apply(&mut self, at: Index, word: &LogCommand) {
        let before = self.agreed.plan.version;
        let changed = self.agreed.apply(at, word);
        if let (true, LogCommand::Plan(plan)) = (changed, word) {
            _ = Point::PLAN_APPLY.pass();
            self.in_force.activate(self.now(), plan);
            if plan.version != before {
                let shares = plan.shares.iter().map(|(zone, share)| {
                    format!("{} {:.2} ({:?})", zone.0, share.weight_ratio, share.reason)
                });
                let shares = shares.collect::<Vec<_>>().join(", ");
                let shares = if shares.is_empty() { "all zones whole".into() } else { shares };
                tracing::info!("fleet: plan {}: {shares}", plan.version);
            }
        }
        if let (true, LogCommand::Schedule(word)) = (changed, word) {
            match word {
                schedule::Command::Claim { occurrence, owner, .. } => {
                    tracing::info!(
                        "fleet: {} of {} is {owner}'s under {}",
                        occurrence.schedule,
                        occurrence.due_ms,
                        at.0
                    );
                }
                schedule::Command::Skip { occurrence, reason, count } => {
                    tracing::info!(
                        "fleet: {count} of {} up to {} are passed over: {reason:?}",
                        occurrence.schedule,
                        occurrence.due_ms
                    );
                }
                schedule::Command::FinishTry { occurrence, fence, outcome, .. } => {
                    tracing::info!(
                        "fleet: {} of {} under {} came to {outcome:?}",
                        occurrence.schedule,
                        occurrence.due_ms,
                        fence.0
                    );
                    _ = Point::SCHEDULE_FINISHED.pass();
                }
                schedule::Command::ExpireClaim { occurrence, fence, .. } => {
                    tracing::warn!(
                        "fleet: the claim {} of {} of {} lapsed",
                        fence.0,
                        occurrence.schedule,
                        occurrence.due_ms
                    );
                }
                schedule::Command::Start { .. }
                | schedule::Command::AddSchedule { .. }
                | schedule::Command::RemoveSchedule { .. } => {}
            }
        }
    }

    /// Who is watched and dialled. What the operator's file says of a manager's address goes before what the council was
    /// told by another.
    fn members(&mut self) {
        let members = self.council.members();
        let told = members.iter().map(|(id, member)| (*id, member.address.clone()));
        let book: crate::setting::MemberAddresses = told.chain(self.setting.members.clone()).collect();
        let mut known = self.book.lock();
        if *known != book {
            let ids: Vec<MemberId> = book.keys().copied().collect();
            self.mail.keep(&ids);
            *known = book;
            self.mail.moved.notify_one();
        }
        drop(known);
        let now = self.now();
        let watched: Vec<MemberId> = self.council.members().keys().copied().collect();
        self.sight.set_members(now, watched.into_iter());
    }

    fn compact(&mut self) {
        if self.council.log().len() <= self.setting.max_log_entries || !self.behind.is_empty() || self.failing
        {
            return;
        }
        _ = Point::CONSENSUS_COMPACT.pass();
        // All that is committed was taken over above.
        let at = self.council.commit_index();
        if let Some(records) = self.council.compact(at, self.agreed.write()) {
            let records = records.iter().map(juniperrail_consensus::Record::encode).collect();
            if !self.writer.compact(records) {
                // The store keeps the longer form; the next time all is compacted again.
                tracing::debug!("fleet: the store is busy and is compacted later");
            }
        }
    }

    fn propose(&mut self, now: Ms, word: LogCommand) {
        let command = word.encode();
        match self.council.role() {
            Role::Leader => {
                if let Err(why) = self.council.propose(now, command) {
                    tracing::debug!("fleet: not proposed: {why}");
                }
            }
            _ => {
                let leader = self.council.leader();
                leader.into_iter().for_each(|leader| {
                    self.mail
                        .of(leader)
                        .send(PeerMessage::Consensus(Message::Propose { command: command.clone() }));
                });
            }
        }
    }

    /// Proposes it as often as its point says.
    fn propose_at(&mut self, now: Ms, point: Point, word: LogCommand) {
        let times = match point.pass() {
            Some(Fault::Lose) => 0,
            Some(Fault::Repeat) => 2,
            _ => 1,
        };
        (0..times).for_each(|_| self.propose(now, word.clone()));
    }

    fn tell_end(&mut self, now: Ms, word: schedule::Command) {
        self.propose_at(now, Point::SCHEDULE_FINISH, LogCommand::Schedule(word));
    }

    /// The leader brings the members to where a later version of its file has them, one step at a time.
    fn reconcile(&mut self, now: Ms) {
        let later = self.setting.generation > self.agreed.generation;
        if !later || self.council.lease(now).is_none() {
            return;
        }
        let (file, members) = (&self.setting.members, self.council.members());
        let learner =
            members.iter().find(|(_, member)| member.role == MemberRole::Learner).map(|(id, _)| *id);
        let new = file.iter().find(|(id, _)| !members.contains_key(id));
        let old = members.keys().find(|id| !file.contains_key(id)).copied();
        let change = match (learner, new, old) {
            (Some(id), _, _) => MembershipChange::Promote(id),
            (None, Some((id, address)), _) => MembershipChange::Add(*id, address.clone()),
            (None, None, Some(id)) => MembershipChange::Remove(id),
            (None, None, None) => return self.propose(now, LogCommand::Generation(self.setting.generation)),
        };
        // It is tried again at the next look, until it is taken.
        if self.council.change_members(now, &change).is_ok() {
            tracing::info!("fleet: the members change: {change:?}");
        }
    }

    fn schedules(&mut self, now: Ms) {
        let again = AGAIN * self.setting.raft.election_timeout_ms;
        let leads = self.council.lease(now).is_some() && self.leaving.is_none();
        if leads != self.led {
            (self.led, self.leading) = (leads, LeaderState::default());
        }
        let clocks = self.sight.clocks(now, Core::day());
        let enough = clocks.len() > self.council.members().len() / 2;
        if let Some(day) = median_clock(clocks).filter(|_| leads && enough) {
            let alive: Vec<MemberId> = self.sight.alive().collect();
            let (schedules, books) = (&self.setting.schedules, &self.agreed.books);
            for word in
                schedule::propose_commands(schedules, books, &mut self.leading, now, day, again, &alive)
            {
                let claim = matches!(word, schedule::Command::Claim { .. });
                match claim {
                    true => self.propose_at(now, Point::SCHEDULE_CLAIM, LogCommand::Schedule(word)),
                    false => self.propose(now, LogCommand::Schedule(word)),
                }
                if claim {
                    _ = Point::SCHEDULE_CLAIMED.pass();
                }
            }
        }
        for todo in self.duties.next_tasks(&self.agreed.books, now, Core::day(), again) {
            self.do_duty(now, todo);
        }
    }

    fn do_duty(&mut self, now: Ms, todo: ClaimTask) {
        match todo {
            ClaimTask::Propose(word @ schedule::Command::Start { .. }) => {
                self.propose_at(now, Point::SCHEDULE_CLAIM_GRANTED, LogCommand::Schedule(word));
            }
            ClaimTask::Propose(word) => self.tell_end(now, word),
            act @ ClaimTask::Execute { .. } => {
                _ = Point::SCHEDULE_STARTED.pass();
                let ClaimTask::Execute { fence, .. } = &act else { return };
                let fence = *fence;
                if !self.mail.act(act) {
                    // Too many wait: nothing was sent, so another may take it.
                    let word = self.duties.record_outcome(fence, TryOutcome::Unsent, now, Core::day());
                    word.into_iter().for_each(|word| self.tell_end(now, word));
                }
            }
        }
    }

    /// What was met here goes to the leader.
    fn tell_evidence(&mut self, now: Ms, word: Evidence) {
        let times = match Point::EVIDENCE_SENT.pass() {
            Some(Fault::Lose) => 0,
            Some(Fault::Repeat) => 2,
            _ => 1,
        };
        for _ in 0..times {
            match self.council.leader() {
                Some(leader) if leader != self.setting.member_id => {
                    self.mail.of(leader).send(PeerMessage::Evidence(word.clone()))
                }
                Some(me) => self.witness(now, me, word.clone()),
                None => {}
            }
        }
    }

    fn witness(&mut self, now: Ms, from: MemberId, word: Evidence) {
        if let Some(figures) = self.setting.failover {
            self.pilot.record_evidence(now, from, word, &figures);
        }
    }

    /// The leader's look at all zones.
    fn zones(&mut self, now: Ms) {
        let Some(figures) = self.setting.failover else { return };
        if self.council.lease(now).is_none() || self.leaving.is_some() {
            return;
        }
        let members: Vec<MemberId> = self.council.members().keys().copied().collect();
        self.pilot.retain_members(&members);
        if let Some(plan) = self.pilot.next_plan(now, &figures, &self.agreed.plan) {
            self.propose_at(now, Point::PLAN_PROPOSE, LogCommand::Plan(plan));
        }
    }

    /// Hands what is in force to the one that decides for proxies, if that is something else than before.
    fn hand_out(&mut self, now: Ms) {
        if self.in_force.expire(now) {
            _ = Point::PLAN_LEASE_EXPIRED.pass();
            tracing::warn!(
                "fleet: the lease of plan {} is over: all zones whole",
                self.in_force.plan().version
            );
        }
        let parts = self.in_force.weight_ratios();
        if **self.hand.borrow() != parts {
            match Point::PLAN_DELIVER.pass() {
                Some(Fault::Lose) => {}
                _ => _ = self.hand.send(Arc::new(parts)),
            }
        }
    }

    fn leave(&mut self, now: Ms) {
        self.leaving = Some(now);
        self.sight.leave();
        if self.council.transfer_leadership(now) {
            _ = Point::CONSENSUS_TRANSFER_LEADERSHIP.pass();
            tracing::info!("fleet: this manager hands its office over");
        }
    }

    /// Whether somebody else leads by now, where this manager did.
    fn left(&mut self) {
        if self.leaving.is_some() && self.council.role() != Role::Leader && self.duties.is_empty() {
            self.mail.left();
        }
    }

    fn show(&mut self, now: Ms) {
        let store = self.writer.figures();
        let members = self.council.members().keys().filter(|id| **id != self.setting.member_id);
        let seen = FleetStatus {
            member_id: self.setting.member_id,
            role: match self.council.role() {
                Role::Leader => "leader",
                Role::Follower => "follower",
                Role::Candidate => "candidate",
            },
            leader: self.council.leader(),
            term: self.council.term(),
            recovery_state: Some(self.council.recovery_state()),
            commit_index: self.council.commit_index(),
            log_entry_count: self.council.log().len(),
            store_failing: self.failing,
            store_bytes: store.size,
            messages_lost: self.mail.lost(),
            local_health: self.sight.local_health(),
            members: members.map(|id| (*id, self.sight.health(*id), self.sight.reach(now, *id))).collect(),
            plan: self.in_force.plan().clone(),
            plan_lease_expired: self.in_force.weight_ratios().is_empty() && !self.in_force.plan().is_empty(),
            schedules: self
                .agreed
                .books
                .schedules
                .iter()
                .map(|(name, book)| ScheduleStatus {
                    name: name.clone(),
                    decided_through: book.decided_through,
                    open_count: book.open.len(),
                    ended_count: book.ended_count,
                    skipped_count: book.skipped.values().sum(),
                    last_ended: book.ended.back().cloned(),
                })
                .collect(),
        };
        *self.seen.lock() = seen;
    }
}
