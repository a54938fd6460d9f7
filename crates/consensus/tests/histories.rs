//! Random fault histories of a whole Raft group on simulated links, disks and clocks. Each history checks that there is
//! one leader per term, one lease at a time and one committed log, that nothing reported as committed is lost, and that
//! the group commits again once the faults are over. The seed of a failing history is printed; the environment variable
//! `JUNIPERRAIL_HISTORIES` sets how many histories each test of random faults runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use juniperrail_consensus::*;
use juniperrail_interface::Ms;

const CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 50.0,
    election_timeout_ms: 300.0,
    max_clock_drift_ratio: 0.05,
    max_entries_per_message: 8,
    max_uncommitted_entries: 64,
};

enum Event {
    Message {
        to: MemberId,
        sender: MemberId,
        sender_generation: u64,
        message: Message,
    },
    Tick(MemberId),
    /// The first `records_durable` of the records that this generation of the process has written are durable.
    Synced {
        id: MemberId,
        generation: u64,
        records_durable: u64,
    },
    Start(MemberId),
    /// A suspended process continues.
    Resume(MemberId),
}

/// A disk that keeps the synced records and, at a crash, some of those written since.
#[derive(Clone, Default)]
struct Disk {
    synced: Vec<Record>,
    unsynced: Vec<Record>,
}

struct Process {
    /// `None` while the process is down.
    node: Option<RaftNode>,
    disk: Disk,
    /// Counts the starts, so that events of an earlier start are dropped.
    generation: u64,
    records_written: u64,
    suspended: bool,
    /// Messages that arrived while the process was suspended, each with its sender and the sender's generation.
    inbox: Vec<(MemberId, u64, Message)>,
    /// The number of the latest tick event; earlier ones are ignored.
    tick_event: u64,
    clock_rate: f64,
    /// The committed entries that the process has applied since the snapshot.
    log: BTreeMap<Index, Entry>,
    /// The last committed snapshot that the process has applied.
    snapshot: Option<Snapshot>,
}

impl Process {
    /// A process that is not started yet, with an empty disk.
    fn new(clock_rate: f64) -> Process {
        Process {
            node: None,
            disk: Disk::default(),
            generation: 0,
            records_written: 0,
            suspended: false,
            inbox: Vec::new(),
            tick_event: 0,
            clock_rate,
            log: BTreeMap::new(),
            snapshot: None,
        }
    }
}

struct Simulation {
    rng: fastrand::Rng,
    now: Ms,
    /// The time of each event, in microseconds, and its number in `events`; the earliest event comes first.
    queue: BinaryHeap<(Reverse<u64>, Reverse<u64>)>,
    events: BTreeMap<u64, Event>,
    /// The number of the event that was scheduled last.
    last_event: u64,
    processes: BTreeMap<MemberId, Process>,
    configured_members: Members,
    /// Cut links, each from a sender to a receiver.
    cut_links: Vec<(MemberId, MemberId)>,
    loss_ratio: f64,
    slow_sync_ratio: f64,
    leaders: BTreeMap<Term, MemberId>,
    /// The entry at each index, as the first member applied it.
    committed: BTreeMap<Index, (Term, Payload)>,
    /// The highest commit index of any lease holder so far: clients may have seen its entries as committed.
    acknowledged: Index,
    proposal_count: u64,
    lease_count: u64,
}

impl Simulation {
    fn new(seed: u64, member_count: u16) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let voter = |id| (MemberId(id), Member { address: format!("m{id}"), role: MemberRole::Voter });
        let configured_members: Members = (1..=member_count).map(voter).collect();
        let mut new_process = || Process::new(1.0 + (rng.f64() - 0.5) * CONFIG.max_clock_drift_ratio);
        let processes = configured_members.keys().map(|id| (*id, new_process())).collect();
        let mut simulation = Simulation {
            rng,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            processes,
            configured_members,
            cut_links: Vec::new(),
            loss_ratio: 0.0,
            slow_sync_ratio: 0.05,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: Index(0),
            proposal_count: 0,
            lease_count: 0,
        };
        let ids = simulation.configured_members.keys().copied().collect::<Vec<_>>();
        ids.into_iter().for_each(|id| simulation.start(id));
        simulation
    }

    fn schedule(&mut self, delay: Ms, event: Event) {
        self.last_event += 1;
        // The queue is ordered by microseconds.
        self.queue.push((Reverse(((self.now + delay) * 1000.0) as u64), Reverse(self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// The member's own clock, which runs at its own rate.
    fn clock(&self, id: MemberId) -> Ms {
        self.now * self.processes[&id].clock_rate
    }

    /// Starts a process that is down, from the synced records of its disk.
    fn start(&mut self, id: MemberId) {
        let (seed, now) = (self.rng.u64(..), self.clock(id));
        let configured_members = self.configured_members.clone();
        let process = self.processes.get_mut(&id).unwrap();
        if process.node.is_some() {
            return;
        }
        let bytes: Vec<Vec<u8>> = process.disk.synced.iter().map(Record::encode).collect();
        let stored_state = StoredState::replay(bytes.iter().map(Vec::as_slice)).unwrap();
        (process.generation, process.records_written, process.suspended) = (process.generation + 1, 0, false);
        (process.log, process.snapshot) = (BTreeMap::new(), None);
        process.inbox.clear();
        process.node = Some(RaftNode::start(id, CONFIG, configured_members, seed, now, stored_state));
        self.perform_actions(id);
    }

    /// Ends a process and schedules its next start. A random number of its unsynced records survive, the earliest ones.
    fn crash(&mut self, id: MemberId) {
        let surviving_ratio = self.rng.f64();
        let process = self.processes.get_mut(&id).unwrap();
        process.node = None;
        let surviving_count = (process.disk.unsynced.len() as f64 * surviving_ratio) as usize;
        let unsynced = std::mem::take(&mut process.disk.unsynced);
        process.disk.synced.extend(unsynced.into_iter().take(surviving_count));
        let delay = 50.0 + self.rng.f64() * 600.0;
        self.schedule(delay, Event::Start(id));
    }

    /// Carries out a member's pending actions, checks the invariants and schedules the next tick.
    fn perform_actions(&mut self, id: MemberId) {
        let now = self.clock(id);
        let (next_tick, actions, generation) = {
            let process = self.processes.get_mut(&id).unwrap();
            let Some(node) = &mut process.node else { return };
            (node.next_tick(), node.take_actions(), process.generation)
        };
        let sync_time =
            0.5 + self.rng.f64() * if self.rng.f64() < self.slow_sync_ratio { 300.0 } else { 6.0 };
        let process = self.processes.get_mut(&id).unwrap();
        process.records_written += actions.records.len() as u64;
        let records_written = process.records_written;
        let has_written = !actions.records.is_empty();
        process.disk.unsynced.extend(actions.records);
        if has_written {
            self.schedule(sync_time, Event::Synced { id, generation, records_durable: records_written });
        }
        for (to, message) in actions.messages {
            if self.cut_links.contains(&(id, to)) || self.rng.f64() < self.loss_ratio {
                continue;
            }
            let copies = if self.rng.u8(..40) == 0 { 2 } else { 1 };
            for _ in 0..copies {
                let delay = 0.2 + self.rng.f64() * if self.rng.u8(..30) == 0 { 200.0 } else { 8.0 };
                let message = message.clone();
                self.schedule(
                    delay,
                    Event::Message { to, sender: id, sender_generation: generation, message },
                );
            }
        }
        for committed in actions.committed {
            self.apply(id, committed);
        }
        for event in actions.events {
            if let RaftEvent::BecameLeader(term) = event {
                let previous = self.leaders.insert(term, id);
                assert!(previous.is_none() || previous == Some(id), "two leaders in {term}");
            }
        }
        self.check_leases(id, now);
        let clock_rate = self.processes[&id].clock_rate;
        self.schedule(((next_tick - now) / clock_rate).max(0.1), Event::Tick(id));
        self.processes.get_mut(&id).unwrap().tick_event = self.last_event;
    }

    /// Applies what a member reports as committed, and checks that all members commit the same entries.
    fn apply(&mut self, id: MemberId, committed: Committed) {
        let process = self.processes.get_mut(&id).unwrap();
        match committed {
            Committed::Snapshot(snapshot) => {
                process.log.clear();
                process.snapshot = Some(snapshot);
            }
            Committed::Entry(entry) => {
                let first_applied =
                    self.committed.entry(entry.index).or_insert((entry.term, entry.payload.clone()));
                assert_eq!(
                    *first_applied,
                    (entry.term, entry.payload.clone()),
                    "members committed different entries at {:?}",
                    entry.index
                );
                process.log.insert(entry.index, entry);
            }
        }
    }

    /// Checks that a member with a lease is the only one with a lease, and has all entries that were ever acknowledged
    /// as committed, so that its reads are linearizable.
    fn check_leases(&mut self, id: MemberId, now: Ms) {
        let Some(node) = &self.processes[&id].node else { return };
        if node.lease(now).is_some() {
            self.lease_count += 1;
            assert!(node.commit_index() >= self.acknowledged, "a lease holder lacks committed entries");
            self.acknowledged = node.commit_index();
            for (other, process) in &self.processes {
                let clock = self.now * process.clock_rate;
                let holds_lease = process.node.as_ref().is_some_and(|node| node.lease(clock).is_some());
                assert!(*other == id || !holds_lease, "two leases: {id} and {other}");
            }
        }
    }

    /// Handles the next event. Returns false if there is none.
    fn step(&mut self) -> bool {
        let Some((Reverse(time_us), Reverse(event_number))) = self.queue.pop() else { return false };
        self.now = self.now.max(time_us as f64 / 1000.0);
        match self.events.remove(&event_number).unwrap() {
            Event::Start(id) => self.start(id),
            Event::Resume(id) => {
                let process = self.processes.get_mut(&id).unwrap();
                process.suspended = false;
                let inbox = std::mem::take(&mut process.inbox);
                let now = self.clock(id);
                for (sender, _, message) in inbox {
                    if let Some(node) = &mut self.processes.get_mut(&id).unwrap().node {
                        node.handle_message(now, sender, message);
                    }
                }
                self.tick(id);
            }
            Event::Tick(id) => {
                if self.processes[&id].tick_event == event_number {
                    self.tick(id);
                }
            }
            Event::Synced { id, generation, records_durable } => {
                let now = self.clock(id);
                let process = self.processes.get_mut(&id).unwrap();
                if let Some(node) = process.node.as_mut().filter(|_| process.generation == generation) {
                    let written_since = (process.records_written - records_durable) as usize;
                    let synced_count = process.disk.unsynced.len().saturating_sub(written_since);
                    let synced: Vec<Record> = process.disk.unsynced.drain(..synced_count).collect();
                    process.disk.synced.extend(synced);
                    node.handle_durable(now, records_durable);
                    self.perform_actions(id);
                }
            }
            Event::Message { to, sender, sender_generation, message } => {
                // A connection ends with the process that opened it.
                if self.cut_links.contains(&(sender, to))
                    || self.processes[&sender].generation != sender_generation
                {
                    return true;
                }
                let now = self.clock(to);
                let process = self.processes.get_mut(&to).unwrap();
                if process.suspended {
                    process.inbox.push((sender, sender_generation, message));
                } else if let Some(node) = &mut process.node {
                    node.handle_message(now, sender, message);
                    self.perform_actions(to);
                }
            }
        }
        true
    }

    fn tick(&mut self, id: MemberId) {
        let now = self.clock(id);
        let process = self.processes.get_mut(&id).unwrap();
        if process.suspended {
            return;
        }
        if let Some(node) = &mut process.node {
            node.tick(now);
            self.perform_actions(id);
        }
    }

    fn run(&mut self, duration: Ms) {
        let end = self.now + duration;
        let is_due = |time_us: u64| (time_us as f64) < end * 1000.0;
        while self.queue.peek().is_some_and(|(Reverse(time_us), _)| is_due(*time_us)) && self.step() {}
        self.now = end;
    }

    /// The leader with the highest term among the processes that are neither down nor suspended.
    fn leader(&self) -> Option<MemberId> {
        let leads = |process: &Process| {
            process.node.as_ref().is_some_and(|node| node.role() == Role::Leader) && !process.suspended
        };
        let mut leaders: Vec<(Term, MemberId)> = Vec::new();
        for (id, process) in self.processes.iter().filter(|(_, process)| leads(process)) {
            leaders.extend(process.node.as_ref().map(|node| (node.term(), *id)));
        }
        leaders.into_iter().max().map(|(_, id)| id)
    }

    /// Proposes a new command to the current leader, if there is one.
    fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        self.proposal_count += 1;
        let (now, command) = (self.clock(leader), self.proposal_count.to_be_bytes().to_vec());
        _ = self.processes.get_mut(&leader).unwrap().node.as_mut().unwrap().propose(now, command);
        self.perform_actions(leader);
    }

    fn all_ready(&self) -> bool {
        let is_ready = |process: &Process| {
            process.node.as_ref().is_some_and(|node| node.recovery_state() == RecoveryState::Ready)
        };
        self.processes.values().all(is_ready)
    }

    /// Ends all link faults and resumes suspended processes.
    fn heal(&mut self) {
        (self.cut_links, self.loss_ratio) = (Vec::new(), 0.0);
        let suspended: Vec<MemberId> =
            self.processes.iter().filter(|(_, process)| process.suspended).map(|(id, _)| *id).collect();
        suspended.into_iter().for_each(|id| self.schedule(0.0, Event::Resume(id)));
    }

    fn random_member(&mut self) -> MemberId {
        MemberId(self.rng.u16(1..=self.processes.len() as u16))
    }

    /// Injects a random fault, compacts a log, starts a leadership transfer or ends the link faults.
    fn inject_fault(&mut self) {
        let member = self.random_member();
        match self.rng.u8(..12) {
            0 | 1 => self.crash(member),
            2 => {
                let all: Vec<MemberId> = self.processes.keys().copied().collect();
                all.into_iter().for_each(|id| self.crash(id));
            }
            3 => {
                self.processes.get_mut(&member).unwrap().suspended = true;
                let delay = 100.0 + self.rng.f64() * 900.0;
                self.schedule(delay, Event::Resume(member));
            }
            4 => {
                // A random partition; in half of the cases it cuts one direction only.
                let side: Vec<MemberId> =
                    self.processes.keys().copied().filter(|_| self.rng.bool()).collect();
                let both_ways = self.rng.bool();
                for outside in self.processes.keys() {
                    for inside in side.iter().filter(|_| !side.contains(outside)) {
                        self.cut_links.push((*outside, *inside));
                        self.cut_links.extend(both_ways.then_some((*inside, *outside)));
                    }
                }
            }
            5 => {
                let other = self.random_member();
                let both_ways = self.rng.bool();
                self.cut_links.push((member, other));
                self.cut_links.extend(both_ways.then_some((other, member)));
            }
            6 => self.loss_ratio = self.rng.f64() * 0.4,
            7 => {
                if let Some(leader) = self.leader() {
                    let now = self.clock(leader);
                    let node = self.processes.get_mut(&leader).unwrap().node.as_mut().unwrap();
                    _ = node.transfer_leadership(now);
                    self.perform_actions(leader);
                }
            }
            8 => {
                // A store is lost. The guarantees hold as long as only one is lost or recovering at a time.
                if self.all_ready() {
                    self.crash(member);
                    self.processes.get_mut(&member).unwrap().disk = Disk::default();
                }
            }
            9 => {
                let process = self.processes.get_mut(&member).unwrap();
                let last_applied = process.log.keys().next_back().copied();
                if let (Some(index), Some(node)) = (last_applied, &mut process.node) {
                    if let Some(records) = node.compact(index, b"all before".to_vec()) {
                        // Compaction replaces all records of the store at once; the new ones cover the unsynced ones.
                        process.disk = Disk { synced: records, unsynced: Vec::new() };
                    }
                }
            }
            _ => self.heal(),
        }
    }
}

/// How many histories each test of random faults runs.
fn history_count() -> u64 {
    std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok()).unwrap_or(300)
}

/// Runs a history for each seed, and prints the seed of one that fails.
fn for_each_seed(first_seed: u64, history: impl Fn(u64) + std::panic::RefUnwindSafe) {
    for seed in first_seed..first_seed + history_count() {
        if let Err(panic) = std::panic::catch_unwind(|| history(seed)) {
            eprintln!("seed {seed} fails");
            std::panic::resume_unwind(panic);
        }
    }
}

#[test]
fn random_faults_never_lead_to_two_leaders_two_leases_or_lost_commits() {
    for_each_seed(1, |seed| {
        let mut simulation = Simulation::new(seed, if seed % 3 == 0 { 5 } else { 3 });
        simulation.run(800.0);
        for _ in 0..25 {
            simulation.propose();
            if simulation.rng.u8(..3) == 0 {
                simulation.inject_fault();
            }
            let duration = simulation.rng.f64() * 200.0;
            simulation.run(duration);
        }
        // Crashed members restart by themselves; after that the group has to commit again.
        simulation.heal();
        simulation.run(2500.0);
        simulation.heal();
        simulation.run(2000.0);
        let acknowledged_before = simulation.acknowledged;
        simulation.propose();
        simulation.run(500.0);
        assert!(simulation.all_ready(), "all members have recovered");
        assert!(
            simulation.acknowledged > acknowledged_before,
            "the group commits again; its leader: {:?}",
            simulation.leader()
        );
        assert!(simulation.lease_count > 0);
    });
}

/// Leaders crash, or are cut off while they append entries that few or no other members receive, so that many terms
/// leave uncommitted entries behind. None of these may replace a committed one.
#[test]
fn frequent_leader_changes_lose_no_committed_entry() {
    for_each_seed(4_000_000, |seed| {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 5 } else { 3 });
        simulation.run(900.0);
        simulation.slow_sync_ratio = simulation.rng.f64() * 0.6;
        for _ in 0..60 {
            simulation.propose();
            let leader = simulation.leader().unwrap_or(MemberId(1));
            match simulation.rng.u8(..10) {
                0 | 1 => simulation.crash(leader),
                // The leader continues to append entries, which few or no other members receive.
                2 | 3 => {
                    let others: Vec<MemberId> =
                        simulation.processes.keys().copied().filter(|id| *id != leader).collect();
                    let mut cut_rng = simulation.rng.fork();
                    let cut_off = others.into_iter().filter(|_| cut_rng.u8(..4) > 0);
                    let cut_links: Vec<(MemberId, MemberId)> =
                        cut_off.flat_map(|other| [(leader, other), (other, leader)]).collect();
                    simulation.cut_links.extend(cut_links);
                }
                4 | 5 => simulation.heal(),
                6 => {
                    let member = simulation.random_member();
                    simulation.crash(member);
                }
                _ => {}
            }
            let duration = simulation.rng.f64() * 250.0;
            simulation.run(duration);
        }
        simulation.heal();
        simulation.run(3000.0);
        let acknowledged_before = simulation.acknowledged;
        simulation.propose();
        simulation.run(1000.0);
        assert!(simulation.acknowledged > acknowledged_before, "the group commits again");
    });
}

/// Guards against a leader that stays leader because no message of a later term can reach it.
#[test]
fn a_leader_without_a_quorum_steps_down() {
    let mut simulation = Simulation::new(11, 3);
    simulation.run(1500.0);
    let leader = simulation.leader().unwrap();
    // The leader is cut off in both directions, so it has to detect by itself that it has no quorum.
    for other in simulation.processes.keys().copied().collect::<Vec<_>>() {
        simulation.cut_links.extend([(leader, other), (other, leader)]);
    }
    simulation.run(CONFIG.election_timeout_ms * 1.5);
    assert_ne!(simulation.processes[&leader].node.as_ref().unwrap().role(), Role::Leader);
}

/// Members crash while the group bootstraps. A member that restarts after another's bootstrap and before its own still
/// has the same store, so it joins without a recovery.
#[test]
fn bootstrap_survives_restarts_at_any_time() {
    for_each_seed(1_000_000, |seed| {
        let mut simulation = Simulation::new(seed, 3);
        for _ in 0..3 {
            let duration = simulation.rng.f64() * 30.0;
            simulation.run(duration);
            let member = simulation.random_member();
            simulation.crash(member);
        }
        simulation.run(3000.0);
        assert!(
            simulation.all_ready(),
            "some member is not ready: {:?}",
            simulation
                .processes
                .values()
                .map(|process| process.node.as_ref().map(RaftNode::recovery_state))
                .collect::<Vec<_>>()
        );
        assert!(simulation.leader().is_some());
    });
}

/// Guards against a member that votes with a store restored from an old copy, which lacks entries that it has
/// confirmed.
#[test]
fn a_member_with_a_restored_old_store_recovers_before_it_votes() {
    for_each_seed(2_000_000, |seed| {
        let mut simulation = Simulation::new(seed, 3);
        simulation.run(1500.0);
        let old_disk = simulation.processes[&MemberId(2)].disk.clone();
        for _ in 0..10 {
            simulation.propose();
            simulation.run(30.0);
        }
        simulation.crash(MemberId(2));
        simulation.run(900.0);
        simulation.propose();
        simulation.run(100.0);
        simulation.crash(MemberId(2));
        simulation.processes.get_mut(&MemberId(2)).unwrap().disk = old_disk.clone();
        simulation.run(60.0);
        let is_running = |simulation: &Simulation| simulation.processes[&MemberId(2)].node.is_some();
        while !is_running(&simulation) {
            simulation.run(10.0);
        }
        let mut recovered = false;
        for _ in 0..200 {
            simulation.run(5.0);
            let recovery = simulation.processes[&MemberId(2)].node.as_ref().unwrap().recovery_state();
            recovered |= matches!(recovery, RecoveryState::Recovering { .. });
        }
        assert!(recovered, "the other members know of a later run than the old store, so member 2 recovers");
        simulation.run(1000.0);
        assert!(simulation.all_ready());
    });
}

#[test]
fn members_are_added_and_removed_one_at_a_time_while_the_group_commits() {
    for_each_seed(3_000_000, |seed| {
        let mut simulation = Simulation::new(seed, 3);
        simulation.run(1500.0);
        let (added_id, removed_id) = (MemberId(4), simulation.random_member());
        simulation.processes.insert(added_id, Process::new(1.0));
        simulation.start(added_id);
        let changes = [
            MembershipChange::Add(added_id, "m4".into()),
            MembershipChange::Promote(added_id),
            MembershipChange::Remove(removed_id),
        ];
        for change in changes {
            let mut attempts = 0;
            loop {
                attempts += 1;
                assert!(attempts < 200, "{change:?} is never accepted");
                simulation.propose();
                if let Some(leader) = simulation.leader() {
                    let now = simulation.clock(leader);
                    let node = simulation.processes.get_mut(&leader).unwrap().node.as_mut().unwrap();
                    let result = node.change_members(now, &change);
                    if result.is_ok() {
                        let second_result = node.change_members(now, &MembershipChange::Remove(MemberId(1)));
                        assert_eq!(
                            second_result,
                            Err(ProposeError::MembershipChangeInProgress),
                            "only one change at a time is accepted"
                        );
                        simulation.perform_actions(leader);
                        break;
                    }
                }
                if simulation.rng.u8(..8) == 0 {
                    let member = simulation.random_member();
                    simulation.crash(member);
                }
                simulation.run(60.0);
            }
            simulation.run(400.0);
        }
        simulation.run(3000.0);
        let acknowledged_before = simulation.acknowledged;
        simulation.propose();
        simulation.run(400.0);
        assert!(simulation.acknowledged > acknowledged_before);
        let leader = simulation.leader().expect("a leader of the three remaining members");
        let members: Vec<MemberId> =
            simulation.processes[&leader].node.as_ref().unwrap().members().keys().copied().collect();
        assert!(
            !members.contains(&removed_id) && members.contains(&added_id) && members.len() == 3,
            "the members after all changes: {members:?}"
        );
    });
}

#[test]
fn a_member_with_a_failing_store_steps_down_and_is_not_elected() {
    let mut simulation = Simulation::new(7, 3);
    simulation.run(1500.0);
    let leader = simulation.leader().unwrap();
    let now = simulation.clock(leader);
    simulation.processes.get_mut(&leader).unwrap().node.as_mut().unwrap().set_store_failing(now, true);
    simulation.perform_actions(leader);
    assert_eq!(simulation.processes[&leader].node.as_ref().unwrap().role(), Role::Follower);
    simulation.run(3000.0);
    assert!(simulation.leader().is_some_and(|new_leader| new_leader != leader), "another member was elected");
    assert_eq!(simulation.processes[&leader].node.as_ref().unwrap().role(), Role::Follower);
}

#[test]
fn a_leadership_transfer_takes_less_than_an_election_timeout() {
    let mut simulation = Simulation::new(9, 3);
    simulation.run(1500.0);
    let (leader, term) = (simulation.leader().unwrap(), *simulation.leaders.keys().next_back().unwrap());
    let now = simulation.clock(leader);
    let node = simulation.processes.get_mut(&leader).unwrap().node.as_mut().unwrap();
    assert!(node.transfer_leadership(now));
    simulation.perform_actions(leader);
    simulation.run(CONFIG.election_timeout_ms / 2.0);
    let new_leader = simulation.leader().unwrap();
    assert!(new_leader != leader && *simulation.leaders.keys().next_back().unwrap() > term);
}
