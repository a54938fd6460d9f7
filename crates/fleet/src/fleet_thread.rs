//! The fleet thread. It owns the Raft node and the replicated state, feeds them with input, and carries out the actions
//! that they return in the required order: write records, send messages, apply committed entries.

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

use crate::channels::{Channels, PeerMessage};
use crate::config::FleetConfig;
use crate::disk::DiskWithFaultPoints;
use crate::links::PeerTable;
use crate::replicated_state::{LogCommand, ReplicatedState};
use crate::status::{FleetStatus, ScheduleStatus};
use crate::ZoneWeightRatios;

/// The maximum number of records that wait for the store's writer. If there are more, the store counts as failing, and
/// a leader steps down.
const MAX_UNWRITTEN_RECORDS: usize = 1024;
/// The longest time between two passes of the loop.
const MAX_WAIT_MS: Ms = 250.0;
/// The shortest time between two updates of the status.
const STATUS_INTERVAL_MS: Ms = 500.0;
/// The number of election timeouts after which a proposal that was not committed is proposed again.
const PROPOSAL_RETRY_ELECTION_TIMEOUTS: f64 = 2.0;

/// The state of the fleet thread.
pub struct FleetThread {
    config: FleetConfig,
    started_at: Instant,
    raft: RaftNode,
    failure_detector: FailureDetector,
    writer: Writer<DiskWithFaultPoints>,
    /// Records that the writer has not accepted yet.
    unwritten: VecDeque<Vec<u8>>,
    store_failing: bool,
    channels: Arc<Channels>,
    status: Arc<Mutex<FleetStatus>>,
    peer_table: PeerTable,
    replicated: ReplicatedState,
    leader_state: LeaderState,
    /// Whether this manager led and was not leaving at the last pass over the schedules.
    was_leader: bool,
    claim_tracker: ClaimTracker,
    failover_controller: FailoverController,
    active_plan: ActivePlan,
    weight_ratios: watch::Sender<Arc<ZoneWeightRatios>>,
    /// The time of the next pass over members, schedules and zones.
    next_periodic_pass: Ms,
    status_updated_at: Ms,
    leaving_since: Option<Ms>,
}

impl FleetThread {
    pub fn new(
        config: &FleetConfig,
        stored_state: StoredState,
        writer: Writer<DiskWithFaultPoints>,
        channels: Arc<Channels>,
        status: Arc<Mutex<FleetStatus>>,
        weight_ratios: watch::Sender<Arc<ZoneWeightRatios>>,
    ) -> FleetThread {
        let voter = |(id, address): (&MemberId, &String)| {
            (*id, Member { address: address.clone(), role: MemberRole::Voter })
        };
        let voters: Members = config.members.iter().map(voter).collect();
        // The random store id is drawn from this seed. It distinguishes a new store from a lost one that it replaces,
        // so it must not repeat at the next start, as it would with the configured seed alone.
        let seed = config.seed ^ fastrand::u64(..);
        let raft = RaftNode::start(config.member_id, config.raft, voters, seed, 0.0, stored_state);
        let run = raft.run();
        let failure_detector = FailureDetector::start(config.member_id, config.swim, run.0, seed ^ 1, 0.0);
        FleetThread {
            started_at: Instant::now(),
            raft,
            failure_detector,
            writer,
            unwritten: VecDeque::new(),
            store_failing: false,
            channels,
            status,
            peer_table: Arc::new(Mutex::new(config.members.clone())),
            replicated: ReplicatedState::default(),
            leader_state: LeaderState::default(),
            was_leader: false,
            claim_tracker: ClaimTracker::new(config.member_id, run),
            failover_controller: FailoverController::default(),
            active_plan: ActivePlan::default(),
            weight_ratios,
            next_periodic_pass: 0.0,
            status_updated_at: f64::NEG_INFINITY,
            leaving_since: None,
            config: config.clone(),
        }
    }

    pub fn run(&self) -> Run {
        self.raft.run()
    }

    pub fn peer_table(&self) -> PeerTable {
        self.peer_table.clone()
    }

    /// The monotonic clock of this member. It also advances while the process is stopped.
    fn now(&self) -> Ms {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// The machine's wall clock, in milliseconds of Unix time.
    fn unix_time() -> Ms {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.as_secs_f64() * 1000.0 + juniperrail_faults::clock_ahead()
    }

    /// Runs until the channels are stopped.
    pub fn serve(mut self) {
        self.update_members();
        self.carry_out_actions();
        loop {
            let now = self.now();
            let next_tick = self
                .raft
                .next_tick()
                .min(self.failure_detector.next_tick())
                .min(self.next_periodic_pass)
                .min(now + MAX_WAIT_MS);
            let wait = Duration::from_secs_f64((next_tick - now).clamp(0.0, MAX_WAIT_MS) / 1000.0);
            let wakeup = self.channels.wait(wait);
            if wakeup.stop {
                return;
            }
            let now = self.now();
            self.update_store(now);
            self.handle_input(now);
            if now >= self.raft.next_tick() {
                self.raft.tick(now);
            }
            if now >= self.failure_detector.next_tick() {
                self.failure_detector.tick(now);
            }
            if wakeup.leave && self.leaving_since.is_none() {
                self.start_leaving(now);
            }
            self.carry_out_actions();
            self.finish_leaving();
            if now >= self.next_periodic_pass {
                self.next_periodic_pass = now + self.config.raft.heartbeat_interval_ms;
                self.reconcile_members(now);
                self.run_schedules(now);
                self.update_plan(now);
                self.carry_out_actions();
                self.publish_weight_ratios(now);
                if now >= self.status_updated_at + STATUS_INTERVAL_MS {
                    self.status_updated_at = now;
                    self.update_status(now);
                }
            }
        }
    }

    /// Passes waiting records to the writer and reports to the Raft node which records are durable.
    fn update_store(&mut self, now: Ms) {
        while let Some(record) = self.unwritten.front() {
            match self.writer.append(record.clone()) {
                Ok(_) => _ = self.unwritten.pop_front(),
                Err(_) => break,
            }
        }
        let stats = self.writer.stats();
        let failing = stats.failing || self.unwritten.len() > MAX_UNWRITTEN_RECORDS;
        if failing != self.store_failing {
            match failing {
                true => {
                    tracing::error!("fleet: the store fails: this manager cannot lead and grants no votes")
                }
                false => tracing::info!("fleet: the store works again"),
            }
            self.store_failing = failing;
            self.raft.set_store_failing(now, failing);
        }
        self.raft.handle_durable(now, stats.durable.0);
        _ = Point::CONSENSUS_DURABLE.pass();
    }

    /// Handles received messages, completed effects and evidence of the planner.
    fn handle_input(&mut self, now: Ms) {
        let (received, more_may_wait) = self.channels.take_received();
        let unix_time = FleetThread::unix_time();
        for (sender, messages) in received {
            for message in messages {
                match message {
                    PeerMessage::Consensus(message) => self.raft.handle_message(now, sender, message),
                    PeerMessage::Membership(message) => {
                        self.failure_detector.handle_message(now, unix_time, sender, message)
                    }
                    PeerMessage::Evidence(evidence) => self.record_evidence(now, sender, evidence),
                }
            }
        }
        for effect in self.channels.take_completed_effects() {
            let command = self.claim_tracker.record_outcome(effect.fence, effect.outcome, now, unix_time);
            command.into_iter().for_each(|command| self.propose_outcome(now, command));
        }
        if let Some(evidence) = self.channels.take_evidence() {
            self.send_evidence(now, evidence);
        }
        if more_may_wait {
            self.channels.wake();
        }
    }

    /// Carries out the actions of the Raft node until it returns no more, then those of the failure detector, and
    /// compacts the log if necessary.
    fn carry_out_actions(&mut self) {
        loop {
            let Actions { records, messages, committed, events } = self.raft.take_actions();
            if records.is_empty() && messages.is_empty() && committed.is_empty() && events.is_empty() {
                break;
            }
            if !records.is_empty() {
                _ = Point::CONSENSUS_WRITE.pass();
            }
            for record in records {
                let bytes = record.encode();
                if !self.unwritten.is_empty() || self.writer.append(bytes.clone()).is_err() {
                    self.unwritten.push_back(bytes);
                }
            }
            for (to, message) in messages {
                self.channels.peer(to).send(PeerMessage::Consensus(message));
            }
            events.into_iter().for_each(|event| self.handle_event(event));
            committed.into_iter().for_each(|committed| self.apply_committed(committed));
        }
        for (to, message) in self.failure_detector.take_messages() {
            self.channels.peer(to).send(PeerMessage::Membership(message));
        }
        for (member, health) in self.failure_detector.take_health_changes() {
            match health {
                Health::Alive => tracing::info!("fleet: {member} is alive"),
                Health::Suspect => tracing::info!("fleet: {member} does not answer and is suspect"),
                Health::Dead => tracing::warn!("fleet: {member} is considered dead"),
                Health::Left => tracing::info!("fleet: {member} announced that it is leaving"),
            }
        }
        self.compact();
    }

    fn handle_event(&mut self, event: RaftEvent) {
        match event {
            RaftEvent::BecameLeader(term) => {
                tracing::info!("fleet: this manager leads in {term}");
                self.leader_state = LeaderState::default();
                self.failover_controller = FailoverController::default();
                _ = Point::CONSENSUS_BECOME_LEADER.pass();
            }
            RaftEvent::LeaderChanged(leader, term) => tracing::info!("fleet: {leader} leads in {term}"),
            RaftEvent::SteppedDown(term, reason) => {
                tracing::info!("fleet: this manager stepped down in {term}: {reason}")
            }
            RaftEvent::Bootstrapped(count) => {
                tracing::info!("fleet: the cluster of {count} members is bootstrapped")
            }
            RaftEvent::RecoveryStarted => {
                tracing::warn!(
                    "fleet: the store is lost or outdated: no votes are granted until it has caught up"
                );
            }
            RaftEvent::RecoveryFinished => tracing::info!("fleet: the store has caught up"),
            RaftEvent::StaleLeader(from, term) => {
                tracing::info!("fleet: {from} still acts as the leader of {term}: rejected")
            }
        }
    }

    fn apply_committed(&mut self, committed: juniperrail_consensus::Committed) {
        _ = Point::CONSENSUS_APPLY.pass();
        match committed {
            juniperrail_consensus::Committed::Snapshot(snapshot) => {
                match ReplicatedState::decode(&snapshot) {
                    Some(state) => {
                        // Without a leader the snapshot is from this manager's own store, and the plan in it may be
                        // outdated.
                        if self.raft.leader().is_some() && state.plan != self.replicated.plan {
                            self.active_plan.activate(self.now(), &state.plan);
                        }
                        self.replicated = state;
                    }
                    None => tracing::error!(
                        "fleet: the snapshot up to entry {} cannot be decoded by this version",
                        snapshot.last_index.0
                    ),
                }
            }
            juniperrail_consensus::Committed::Entry(entry) => {
                if let juniperrail_consensus::Payload::Command(bytes) = &entry.payload {
                    match LogCommand::decode(bytes) {
                        Some(command) => self.apply(entry.index, &command),
                        None => {
                            tracing::error!(
                                "fleet: entry {} cannot be decoded by this version",
                                entry.index.0
                            )
                        }
                    }
                }
            }
        }
        self.update_members();
        _ = Point::CONSENSUS_APPLIED.pass();
        self.next_periodic_pass = 0.0;
    }

    fn apply(&mut self, index: Index, command: &LogCommand) {
        let previous_version = self.replicated.plan.version;
        let changed = self.replicated.apply(index, command);
        if let (true, LogCommand::Plan(plan)) = (changed, command) {
            _ = Point::PLAN_APPLY.pass();
            self.active_plan.activate(self.now(), plan);
            if plan.version != previous_version {
                let shares = plan.shares.iter().map(|(zone, share)| {
                    format!("{} {:.2} ({:?})", zone.0, share.weight_ratio, share.reason)
                });
                let shares = shares.collect::<Vec<_>>().join(", ");
                let shares = if shares.is_empty() { "all zones at full weight".into() } else { shares };
                tracing::info!("fleet: plan {}: {shares}", plan.version);
            }
        }
        if let (true, LogCommand::Schedule(command)) = (changed, command) {
            match command {
                schedule::Command::Claim { occurrence, owner, .. } => {
                    tracing::info!(
                        "fleet: {} of {} is claimed by {owner} with fencing token {}",
                        occurrence.schedule,
                        occurrence.due_ms,
                        index.0
                    );
                }
                schedule::Command::Skip { occurrence, reason, count } => {
                    tracing::info!(
                        "fleet: {count} of {} up to {} are skipped: {reason:?}",
                        occurrence.schedule,
                        occurrence.due_ms
                    );
                }
                schedule::Command::FinishTry { occurrence, fence, outcome, .. } => {
                    tracing::info!(
                        "fleet: {} of {} with fencing token {}: committed outcome {outcome:?}",
                        occurrence.schedule,
                        occurrence.due_ms,
                        fence.0
                    );
                    _ = Point::SCHEDULE_FINISHED.pass();
                }
                schedule::Command::ExpireClaim { occurrence, fence, .. } => {
                    tracing::warn!(
                        "fleet: the claim {} of {} of {} expired",
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

    /// Updates the peers that are dialled, from the replicated membership and the operator's file, and the members that
    /// are probed. An address in the operator's file takes precedence over the replicated one.
    fn update_members(&mut self) {
        let members = self.raft.members();
        let replicated_addresses = members.iter().map(|(id, member)| (*id, member.address.clone()));
        let addresses: crate::config::MemberAddresses =
            replicated_addresses.chain(self.config.members.clone()).collect();
        let mut peer_table = self.peer_table.lock();
        if *peer_table != addresses {
            let ids: Vec<MemberId> = addresses.keys().copied().collect();
            self.channels.retain_peers(&ids);
            *peer_table = addresses;
            self.channels.members_changed.notify_one();
        }
        drop(peer_table);
        let now = self.now();
        let probed_members: Vec<MemberId> = self.raft.members().keys().copied().collect();
        self.failure_detector.set_members(now, probed_members.into_iter());
    }

    /// Replaces the committed entries by a snapshot of the replicated state if the log has more than `max_log_entries`
    /// entries.
    fn compact(&mut self) {
        if self.raft.log().len() <= self.config.max_log_entries
            || !self.unwritten.is_empty()
            || self.store_failing
        {
            return;
        }
        _ = Point::CONSENSUS_COMPACT.pass();
        // All committed entries have been applied by the caller.
        let index = self.raft.commit_index();
        if let Some(records) = self.raft.compact(index, self.replicated.encode()) {
            let records = records.iter().map(juniperrail_consensus::Record::encode).collect();
            if !self.writer.compact(records) {
                // The store keeps the records, which the next compaction then replaces.
                tracing::debug!("fleet: the store is busy and will be compacted later");
            }
        }
    }

    /// Proposes a command, or forwards it to the leader if that is another member. Without a known leader the command
    /// is dropped.
    fn propose(&mut self, now: Ms, command: LogCommand) {
        let command = command.encode();
        match self.raft.role() {
            Role::Leader => {
                if let Err(error) = self.raft.propose(now, command) {
                    tracing::debug!("fleet: a command was not proposed: {error}");
                }
            }
            _ => {
                let leader = self.raft.leader();
                leader.into_iter().for_each(|leader| {
                    self.channels
                        .peer(leader)
                        .send(PeerMessage::Consensus(Message::Propose { command: command.clone() }));
                });
            }
        }
    }

    /// Proposes a command once, unless a fault is injected at `point` that loses or repeats it.
    fn propose_at_point(&mut self, now: Ms, point: Point, command: LogCommand) {
        let copies = match point.pass() {
            Some(Fault::Lose) => 0,
            Some(Fault::Repeat) => 2,
            _ => 1,
        };
        (0..copies).for_each(|_| self.propose(now, command.clone()));
    }

    /// Proposes the outcome of a try.
    fn propose_outcome(&mut self, now: Ms, command: schedule::Command) {
        self.propose_at_point(now, Point::SCHEDULE_FINISH, LogCommand::Schedule(command));
    }

    /// As the leader, changes the members one at a time until they match a newer version of the operator's file.
    fn reconcile_members(&mut self, now: Ms) {
        let is_newer = self.config.generation > self.replicated.generation;
        if !is_newer || self.raft.lease(now).is_none() {
            return;
        }
        let (configured, members) = (&self.config.members, self.raft.members());
        let learner =
            members.iter().find(|(_, member)| member.role == MemberRole::Learner).map(|(id, _)| *id);
        let added = configured.iter().find(|(id, _)| !members.contains_key(id));
        let removed = members.keys().find(|id| !configured.contains_key(id)).copied();
        let change = match (learner, added, removed) {
            (Some(id), _, _) => MembershipChange::Promote(id),
            (None, Some((id, address)), _) => MembershipChange::Add(*id, address.clone()),
            (None, None, Some(id)) => MembershipChange::Remove(id),
            (None, None, None) => return self.propose(now, LogCommand::Generation(self.config.generation)),
        };
        // A change that is not accepted is retried in the next periodic pass.
        if self.raft.change_members(now, &change).is_ok() {
            tracing::info!("fleet: the members change: {change:?}");
        }
    }

    /// As the leader, proposes commands for due schedules. As the owner of claims, carries out their next tasks.
    fn run_schedules(&mut self, now: Ms) {
        let retry_after = PROPOSAL_RETRY_ELECTION_TIMEOUTS * self.config.raft.election_timeout_ms;
        let is_leader = self.raft.lease(now).is_some() && self.leaving_since.is_none();
        if is_leader != self.was_leader {
            (self.was_leader, self.leader_state) = (is_leader, LeaderState::default());
        }
        let clocks = self.failure_detector.clocks(now, FleetThread::unix_time());
        let has_majority = clocks.len() > self.raft.members().len() / 2;
        if let Some(unix_time) = median_clock(clocks).filter(|_| is_leader && has_majority) {
            let alive: Vec<MemberId> = self.failure_detector.alive().collect();
            let (schedules, ledger) = (&self.config.schedules, &self.replicated.ledger);
            let commands = schedule::propose_commands(
                schedules,
                ledger,
                &mut self.leader_state,
                now,
                unix_time,
                retry_after,
                &alive,
            );
            for command in commands {
                let is_claim = matches!(command, schedule::Command::Claim { .. });
                match is_claim {
                    true => self.propose_at_point(now, Point::SCHEDULE_CLAIM, LogCommand::Schedule(command)),
                    false => self.propose(now, LogCommand::Schedule(command)),
                }
                if is_claim {
                    _ = Point::SCHEDULE_CLAIMED.pass();
                }
            }
        }
        let tasks = self.claim_tracker.next_tasks(
            &self.replicated.ledger,
            now,
            FleetThread::unix_time(),
            retry_after,
        );
        for task in tasks {
            self.run_claim_task(now, task);
        }
    }

    fn run_claim_task(&mut self, now: Ms, task: ClaimTask) {
        match task {
            ClaimTask::Propose(command @ schedule::Command::Start { .. }) => {
                self.propose_at_point(now, Point::SCHEDULE_CLAIM_GRANTED, LogCommand::Schedule(command));
            }
            ClaimTask::Propose(command) => self.propose_outcome(now, command),
            execute_task @ ClaimTask::Execute { .. } => {
                _ = Point::SCHEDULE_STARTED.pass();
                let ClaimTask::Execute { fence, .. } = &execute_task else { return };
                let fence = *fence;
                if !self.channels.queue_effect(execute_task) {
                    // The queue is full: nothing was sent, so another manager may execute the occurrence.
                    let command = self.claim_tracker.record_outcome(
                        fence,
                        TryOutcome::Unsent,
                        now,
                        FleetThread::unix_time(),
                    );
                    command.into_iter().for_each(|command| self.propose_outcome(now, command));
                }
            }
        }
    }

    /// Sends this manager's evidence to the leader; drops it if no leader is known.
    fn send_evidence(&mut self, now: Ms, evidence: Evidence) {
        let copies = match Point::EVIDENCE_SENT.pass() {
            Some(Fault::Lose) => 0,
            Some(Fault::Repeat) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            match self.raft.leader() {
                Some(leader) if leader != self.config.member_id => {
                    self.channels.peer(leader).send(PeerMessage::Evidence(evidence.clone()))
                }
                Some(own_id) => self.record_evidence(now, own_id, evidence.clone()),
                None => {}
            }
        }
    }

    fn record_evidence(&mut self, now: Ms, sender: MemberId, evidence: Evidence) {
        if let Some(failover) = self.config.failover {
            self.failover_controller.record_evidence(now, sender, evidence, &failover);
        }
    }

    /// As the leader, assesses all zones and proposes the next plan if one is due.
    fn update_plan(&mut self, now: Ms) {
        let Some(failover) = self.config.failover else { return };
        if self.raft.lease(now).is_none() || self.leaving_since.is_some() {
            return;
        }
        let members: Vec<MemberId> = self.raft.members().keys().copied().collect();
        self.failover_controller.retain_members(&members);
        if let Some(plan) = self.failover_controller.next_plan(now, &failover, &self.replicated.plan) {
            self.propose_at_point(now, Point::PLAN_PROPOSE, LogCommand::Plan(plan));
        }
    }

    /// Publishes the weight ratios of the active plan to the planner if they have changed.
    fn publish_weight_ratios(&mut self, now: Ms) {
        if self.active_plan.expire(now) {
            _ = Point::PLAN_LEASE_EXPIRED.pass();
            tracing::warn!(
                "fleet: the lease of plan {} expired: all zones at full weight",
                self.active_plan.plan().version
            );
        }
        let weight_ratios = self.active_plan.weight_ratios();
        if **self.weight_ratios.borrow() != weight_ratios {
            match Point::PLAN_DELIVER.pass() {
                Some(Fault::Lose) => {}
                _ => _ = self.weight_ratios.send(Arc::new(weight_ratios)),
            }
        }
    }

    fn start_leaving(&mut self, now: Ms) {
        self.leaving_since = Some(now);
        self.failure_detector.leave();
        if self.raft.transfer_leadership(now) {
            _ = Point::CONSENSUS_TRANSFER_LEADERSHIP.pass();
            tracing::info!("fleet: this manager transfers its leadership");
        }
    }

    /// Confirms that this manager has left once it is no longer the leader and works on no claim.
    fn finish_leaving(&mut self) {
        if self.leaving_since.is_some() && self.raft.role() != Role::Leader && self.claim_tracker.is_empty() {
            self.channels.confirm_left();
        }
    }

    fn update_status(&mut self, now: Ms) {
        let writer_stats = self.writer.stats();
        let other_members = self.raft.members().keys().filter(|id| **id != self.config.member_id);
        let status = FleetStatus {
            member_id: self.config.member_id,
            role: match self.raft.role() {
                Role::Leader => "leader",
                Role::Follower => "follower",
                Role::Candidate => "candidate",
            },
            leader: self.raft.leader(),
            term: self.raft.term(),
            recovery_state: Some(self.raft.recovery_state()),
            commit_index: self.raft.commit_index(),
            log_entry_count: self.raft.log().len(),
            store_failing: self.store_failing,
            store_bytes: writer_stats.size_bytes,
            messages_lost: self.channels.messages_lost(),
            local_health: self.failure_detector.local_health(),
            members: other_members
                .map(|id| (*id, self.failure_detector.health(*id), self.failure_detector.reach(now, *id)))
                .collect(),
            plan: self.active_plan.plan().clone(),
            plan_lease_expired: self.active_plan.weight_ratios().is_empty()
                && !self.active_plan.plan().is_empty(),
            schedules: self
                .replicated
                .ledger
                .schedules
                .iter()
                .map(|(name, record)| ScheduleStatus {
                    name: name.clone(),
                    decided_through: record.decided_through_ms,
                    open_count: record.open.len(),
                    ended_count: record.ended_count,
                    skipped_count: record.skipped.values().sum(),
                    last_ended: record.ended.back().cloned(),
                })
                .collect(),
        };
        *self.status.lock() = status;
    }
}
