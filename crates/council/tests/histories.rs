//! Random histories of a whole council on simulated links, disks and clocks. What has to hold in each: one leader a term,
//! one lease at a time, one agreed log, nothing forgotten that a leader said was agreed, and a council that works again
//! once the world does. A failing seed is printed; `JUNIPERRAIL_HISTORIES` sets how many are played.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use juniperrail_council::*;
use juniperrail_interface::Ms;

const FIGURES: RaftConfig = RaftConfig {
    heartbeat_interval_ms: 50.0,
    election_timeout_ms: 300.0,
    max_clock_drift_ratio: 0.05,
    max_entries_per_message: 8,
    max_uncommitted_entries: 64,
};

enum Event {
    Message { to: MemberId, from: MemberId, run: u64, message: Message },
    Tick(MemberId),
    Synced(MemberId, u64, u64),
    Start(MemberId),
    Go(MemberId),
}

/// A disk that keeps what was synced and some of what was written since.
#[derive(Clone, Default)]
struct Disk {
    synced: Vec<Record>,
    since: Vec<Record>,
}

struct Process {
    council: Option<RaftNode>,
    disk: Disk,
    /// Which process this is, so that what is under way for one that died is dropped.
    life: u64,
    handed: u64,
    stopped: bool,
    waiting: Vec<(MemberId, u64, Message)>,
    /// The one tick that is due.
    due: u64,
    rate: f64,
    log: BTreeMap<Index, Entry>,
    state: Option<Snapshot>,
}

impl Process {
    /// None runs yet, and its disk is empty. `rate`: how fast its clock runs.
    fn new(rate: f64) -> Process {
        Process {
            council: None,
            disk: Disk::default(),
            life: 0,
            handed: 0,
            stopped: false,
            waiting: Vec::new(),
            due: 0,
            rate,
            log: BTreeMap::new(),
            state: None,
        }
    }
}

struct World {
    rng: fastrand::Rng,
    now: Ms,
    queue: BinaryHeap<(Reverse<u64>, Reverse<u64>)>,
    events: BTreeMap<u64, Event>,
    number: u64,
    all: BTreeMap<MemberId, Process>,
    named: Members,
    cut: Vec<(MemberId, MemberId)>,
    loss: f64,
    /// The part of syncs that take long.
    slow_disks: f64,
    leaders: BTreeMap<Term, MemberId>,
    agreed: BTreeMap<Index, (Term, Payload)>,
    acknowledged: Index,
    proposed: u64,
    leases: u64,
}

impl World {
    fn new(seed: u64, members: u16) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let member = |id| (MemberId(id), Member { address: format!("m{id}"), role: MemberRole::Voter });
        let named: Members = (1..=members).map(member).collect();
        let mut process = || Process::new(1.0 + (rng.f64() - 0.5) * FIGURES.max_clock_drift_ratio);
        let all = named.keys().map(|id| (*id, process())).collect();
        let mut world = World {
            rng,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            all,
            named,
            cut: Vec::new(),
            loss: 0.0,
            slow_disks: 0.05,
            leaders: BTreeMap::new(),
            agreed: BTreeMap::new(),
            acknowledged: Index(0),
            proposed: 0,
            leases: 0,
        };
        world.named.keys().copied().collect::<Vec<_>>().into_iter().for_each(|id| world.start(id));
        world
    }

    fn at(&mut self, after: Ms, event: Event) {
        self.number += 1;
        // Microseconds order the queue.
        self.queue.push((Reverse(((self.now + after) * 1000.0) as u64), Reverse(self.number)));
        self.events.insert(self.number, event);
    }

    fn clock(&self, id: MemberId) -> Ms {
        self.now * self.all[&id].rate
    }

    fn start(&mut self, id: MemberId) {
        let (seed, now) = (self.rng.u64(..), self.clock(id));
        let named = self.named.clone();
        let process = self.all.get_mut(&id).unwrap();
        if process.council.is_some() {
            return;
        }
        let bytes: Vec<Vec<u8>> = process.disk.synced.iter().map(Record::encode).collect();
        let kept = StoredState::replay(bytes.iter().map(Vec::as_slice)).unwrap();
        (process.life, process.handed, process.stopped) = (process.life + 1, 0, false);
        (process.log, process.state) = (BTreeMap::new(), None);
        process.waiting.clear();
        process.council = Some(RaftNode::start(id, FIGURES, named, seed, now, kept));
        self.settle(id);
    }

    fn crash(&mut self, id: MemberId) {
        let keep = self.rng.f64();
        let process = self.all.get_mut(&id).unwrap();
        process.council = None;
        let some = (process.disk.since.len() as f64 * keep) as usize;
        let since = std::mem::take(&mut process.disk.since);
        process.disk.synced.extend(since.into_iter().take(some));
        let after = 50.0 + self.rng.f64() * 600.0;
        self.at(after, Event::Start(id));
    }

    /// Does what a member wants done, and looks at all that has to hold.
    fn settle(&mut self, id: MemberId) {
        let now = self.clock(id);
        let (next, done, life) = {
            let process = self.all.get_mut(&id).unwrap();
            let Some(council) = &mut process.council else { return };
            (council.next_tick(), council.take_actions(), process.life)
        };
        let sync = 0.5 + self.rng.f64() * if self.rng.f64() < self.slow_disks { 300.0 } else { 6.0 };
        let process = self.all.get_mut(&id).unwrap();
        process.handed += done.records.len() as u64;
        let handed = process.handed;
        let wrote = !done.records.is_empty();
        process.disk.since.extend(done.records);
        if wrote {
            self.at(sync, Event::Synced(id, life, handed));
        }
        for (to, message) in done.messages {
            if self.cut.contains(&(id, to)) || self.rng.f64() < self.loss {
                continue;
            }
            let copies = if self.rng.u8(..40) == 0 { 2 } else { 1 };
            for _ in 0..copies {
                let after = 0.2 + self.rng.f64() * if self.rng.u8(..30) == 0 { 200.0 } else { 8.0 };
                self.at(after, Event::Message { to, from: id, run: life, message: message.clone() });
            }
        }
        for agreed in done.committed {
            self.took(id, agreed);
        }
        for news in done.events {
            if let RaftEvent::BecameLeader(term) = news {
                let other = self.leaders.insert(term, id);
                assert!(other.is_none() || other == Some(id), "two leaders in {term}");
            }
        }
        self.leases(id, now);
        let rate = self.all[&id].rate;
        self.at(((next - now) / rate).max(0.1), Event::Tick(id));
        self.all.get_mut(&id).unwrap().due = self.number;
    }

    fn took(&mut self, id: MemberId, agreed: Committed) {
        let process = self.all.get_mut(&id).unwrap();
        match agreed {
            Committed::Snapshot(snapshot) => {
                process.log.clear();
                process.state = Some(snapshot);
            }
            Committed::Entry(entry) => {
                let known = self.agreed.entry(entry.index).or_insert((entry.term, entry.payload.clone()));
                assert_eq!(
                    *known,
                    (entry.term, entry.payload.clone()),
                    "two agreed logs at {:?}",
                    entry.index
                );
                process.log.insert(entry.index, entry);
            }
        }
    }

    /// Who holds a lease holds it alone, and knows all that was ever said to be agreed: a read there is linearizable.
    fn leases(&mut self, id: MemberId, now: Ms) {
        let Some(council) = &self.all[&id].council else { return };
        if council.lease(now).is_some() {
            self.leases += 1;
            assert!(council.commit_index() >= self.acknowledged, "a lease of one who lacks what was agreed");
            self.acknowledged = council.commit_index();
            for (other, process) in &self.all {
                let clock = self.now * process.rate;
                let holds = process.council.as_ref().is_some_and(|council| council.lease(clock).is_some());
                assert!(*other == id || !holds, "two leases: {id} and {other}");
            }
        }
    }

    fn step(&mut self) -> bool {
        let Some((Reverse(at), Reverse(number))) = self.queue.pop() else { return false };
        self.now = self.now.max(at as f64 / 1000.0);
        match self.events.remove(&number).unwrap() {
            Event::Start(id) => self.start(id),
            Event::Go(id) => {
                let process = self.all.get_mut(&id).unwrap();
                process.stopped = false;
                let waiting = std::mem::take(&mut process.waiting);
                let now = self.clock(id);
                for (from, _, message) in waiting {
                    if let Some(council) = &mut self.all.get_mut(&id).unwrap().council {
                        council.handle_message(now, from, message);
                    }
                }
                self.tick(id);
            }
            Event::Tick(id) => {
                if self.all[&id].due == number {
                    self.tick(id);
                }
            }
            Event::Synced(id, life, handed) => {
                let now = self.clock(id);
                let process = self.all.get_mut(&id).unwrap();
                if let Some(council) = process.council.as_mut().filter(|_| process.life == life) {
                    let left = (process.handed - handed) as usize;
                    let synced = process.disk.since.len().saturating_sub(left);
                    let some: Vec<Record> = process.disk.since.drain(..synced).collect();
                    process.disk.synced.extend(some);
                    council.handle_durable(now, handed);
                    self.settle(id);
                }
            }
            Event::Message { to, from, run, message } => {
                // A link's connection ends with the process behind it.
                if self.cut.contains(&(from, to)) || self.all[&from].life != run {
                    return true;
                }
                let now = self.clock(to);
                let process = self.all.get_mut(&to).unwrap();
                if process.stopped {
                    process.waiting.push((from, run, message));
                } else if let Some(council) = &mut process.council {
                    council.handle_message(now, from, message);
                    self.settle(to);
                }
            }
        }
        true
    }

    fn tick(&mut self, id: MemberId) {
        let now = self.clock(id);
        let process = self.all.get_mut(&id).unwrap();
        if process.stopped {
            return;
        }
        if let Some(council) = &mut process.council {
            council.tick(now);
            self.settle(id);
        }
    }

    fn run(&mut self, span: Ms) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|(Reverse(at), _)| (*at as f64) < until * 1000.0) && self.step() {
        }
        self.now = until;
    }

    fn leader(&self) -> Option<MemberId> {
        let leads = |p: &Process| p.council.as_ref().is_some_and(|c| c.role() == Role::Leader) && !p.stopped;
        let mut all: Vec<(Term, MemberId)> = Vec::new();
        for (id, process) in self.all.iter().filter(|(_, p)| leads(p)) {
            all.extend(process.council.as_ref().map(|council| (council.term(), *id)));
        }
        all.into_iter().max().map(|(_, id)| id)
    }

    fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        self.proposed += 1;
        let (now, command) = (self.clock(leader), self.proposed.to_be_bytes().to_vec());
        _ = self.all.get_mut(&leader).unwrap().council.as_mut().unwrap().propose(now, command);
        self.settle(leader);
    }

    fn whole(&self) -> bool {
        let whole =
            |p: &Process| p.council.as_ref().is_some_and(|c| c.recovery_state() == RecoveryState::Ready);
        self.all.values().all(whole)
    }

    fn heal(&mut self) {
        (self.cut, self.loss) = (Vec::new(), 0.0);
        let stopped: Vec<MemberId> = self.all.iter().filter(|(_, p)| p.stopped).map(|(id, _)| *id).collect();
        stopped.into_iter().for_each(|id| self.at(0.0, Event::Go(id)));
    }

    fn any(&mut self) -> MemberId {
        MemberId(self.rng.u16(1..=self.all.len() as u16))
    }

    fn trouble(&mut self) {
        let one = self.any();
        match self.rng.u8(..12) {
            0 | 1 => self.crash(one),
            2 => {
                let all: Vec<MemberId> = self.all.keys().copied().collect();
                all.into_iter().for_each(|id| self.crash(id));
            }
            3 => {
                self.all.get_mut(&one).unwrap().stopped = true;
                let after = 100.0 + self.rng.f64() * 900.0;
                self.at(after, Event::Go(one));
            }
            4 => {
                // One side of a cut, by chance; half of the time it is cut one way only.
                let some: Vec<MemberId> = self.all.keys().copied().filter(|_| self.rng.bool()).collect();
                let both = self.rng.bool();
                for a in self.all.keys() {
                    for b in some.iter().filter(|_| !some.contains(a)) {
                        self.cut.push((*a, *b));
                        self.cut.extend(both.then_some((*b, *a)));
                    }
                }
            }
            5 => {
                let other = self.any();
                let both = self.rng.bool();
                self.cut.push((one, other));
                self.cut.extend(both.then_some((other, one)));
            }
            6 => self.loss = self.rng.f64() * 0.4,
            7 => {
                if let Some(leader) = self.leader() {
                    let now = self.clock(leader);
                    _ = self.all.get_mut(&leader).unwrap().council.as_mut().unwrap().transfer_leadership(now);
                    self.settle(leader);
                }
            }
            8 => {
                // A store is lost. What is promised holds while no second one is.
                if self.whole() {
                    self.crash(one);
                    self.all.get_mut(&one).unwrap().disk = Disk::default();
                }
            }
            9 => {
                let process = self.all.get_mut(&one).unwrap();
                let at = process.log.keys().next_back().copied();
                if let (Some(at), Some(council)) = (at, &mut process.council) {
                    if let Some(records) = council.compact(at, b"all before".to_vec()) {
                        // Replaced whole, as a store's compaction does; what was under way is in the new records.
                        process.disk = Disk { synced: records, since: Vec::new() };
                    }
                }
            }
            _ => self.heal(),
        }
    }
}

fn histories() -> u64 {
    std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok()).unwrap_or(300)
}

/// Names the seed where a history fails.
fn each(first: u64, history: impl Fn(u64) + std::panic::RefUnwindSafe) {
    for seed in first..first + histories() {
        if let Err(why) = std::panic::catch_unwind(|| history(seed)) {
            eprintln!("seed {seed} fails");
            std::panic::resume_unwind(why);
        }
    }
}

#[test]
fn one_leader_one_lease_one_log_and_nothing_agreed_is_forgotten() {
    each(1, |seed| {
        let mut world = World::new(seed, if seed % 3 == 0 { 5 } else { 3 });
        world.run(800.0);
        for _ in 0..25 {
            world.propose();
            if world.rng.u8(..3) == 0 {
                world.trouble();
            }
            let span = world.rng.f64() * 200.0;
            world.run(span);
        }
        // Whoever is down comes back; then it has to work again.
        world.heal();
        world.run(2500.0);
        world.heal();
        world.run(2000.0);
        let before = world.acknowledged;
        world.propose();
        world.run(500.0);
        assert!(world.whole(), "all are whole again");
        assert!(world.acknowledged > before, "it agrees again: {:?}", world.leader());
        assert!(world.leases > 0);
    });
}

#[test]
fn offices_that_change_hands_all_the_time_lose_nothing_agreed() {
    each(4_000_000, |seed| {
        let mut world = World::new(seed, if seed % 2 == 0 { 5 } else { 3 });
        world.run(900.0);
        world.slow_disks = world.rng.f64() * 0.6;
        for _ in 0..60 {
            world.propose();
            let one = world.leader().unwrap_or(MemberId(1));
            match world.rng.u8(..10) {
                0 | 1 => world.crash(one),
                // It writes entries that it alone has.
                2 | 3 => {
                    let others: Vec<MemberId> = world.all.keys().copied().filter(|id| *id != one).collect();
                    let mut chance = world.rng.fork();
                    let some = others.into_iter().filter(|_| chance.u8(..4) > 0);
                    let cuts: Vec<(MemberId, MemberId)> = some.flat_map(|b| [(one, b), (b, one)]).collect();
                    world.cut.extend(cuts);
                }
                4 | 5 => world.heal(),
                6 => {
                    let any = world.any();
                    world.crash(any);
                }
                _ => {}
            }
            let span = world.rng.f64() * 250.0;
            world.run(span);
        }
        world.heal();
        world.run(3000.0);
        let before = world.acknowledged;
        world.propose();
        world.run(1000.0);
        assert!(world.acknowledged > before, "it agrees again");
    });
}

#[test]
fn a_leader_without_a_quorum_leads_no_more() {
    let mut world = World::new(11, 3);
    world.run(1500.0);
    let leader = world.leader().unwrap();
    // It hears all and nobody hears it: no word of a later term has to reach it.
    for other in world.all.keys().copied().collect::<Vec<_>>() {
        world.cut.extend([(leader, other), (other, leader)]);
    }
    world.run(FIGURES.election_timeout_ms * 1.5);
    assert_ne!(world.all[&leader].council.as_ref().unwrap().role(), Role::Leader);
}

#[test]
fn the_first_hour_survives_restarts_at_any_time() {
    each(1_000_000, |seed| {
        let mut world = World::new(seed, 3);
        for _ in 0..3 {
            let span = world.rng.f64() * 30.0;
            world.run(span);
            let one = world.any();
            world.crash(one);
        }
        world.run(3000.0);
        // Where two restart between the first one's founding and theirs nothing is lost, as their stores are kept.
        assert!(
            world.whole(),
            "{:?}",
            world.all.values().map(|p| p.council.as_ref().map(RaftNode::recovery_state)).collect::<Vec<_>>()
        );
        assert!(world.leader().is_some());
    });
}

#[test]
fn an_old_store_that_is_put_back_votes_for_nobody_until_it_has_caught_up() {
    each(2_000_000, |seed| {
        let mut world = World::new(seed, 3);
        world.run(1500.0);
        let old = world.all[&MemberId(2)].disk.clone();
        for _ in 0..10 {
            world.propose();
            world.run(30.0);
        }
        world.crash(MemberId(2));
        world.run(900.0);
        world.propose();
        world.run(100.0);
        world.crash(MemberId(2));
        world.all.get_mut(&MemberId(2)).unwrap().disk = old.clone();
        world.run(60.0);
        let starts = |world: &World| world.all[&MemberId(2)].council.is_some();
        while !starts(&world) {
            world.run(10.0);
        }
        let mut doubted = false;
        for _ in 0..200 {
            world.run(5.0);
            let standing = world.all[&MemberId(2)].council.as_ref().unwrap().recovery_state();
            doubted |= matches!(standing, RecoveryState::Recovering { .. });
        }
        assert!(doubted, "the others know of a later start");
        world.run(1000.0);
        assert!(world.whole());
    });
}

#[test]
fn members_are_added_and_removed_one_at_a_time_while_it_works() {
    each(3_000_000, |seed| {
        let mut world = World::new(seed, 3);
        world.run(1500.0);
        let (new, old) = (MemberId(4), world.any());
        world.all.insert(new, Process::new(1.0));
        world.start(new);
        let steps = [
            MembershipChange::Add(new, "m4".into()),
            MembershipChange::Promote(new),
            MembershipChange::Remove(old),
        ];
        for step in steps {
            let mut tries = 0;
            loop {
                tries += 1;
                assert!(tries < 200, "{step:?} is never taken");
                world.propose();
                if let Some(leader) = world.leader() {
                    let now = world.clock(leader);
                    let council = world.all.get_mut(&leader).unwrap().council.as_mut().unwrap();
                    let taken = council.change_members(now, &step);
                    if taken.is_ok() {
                        let again = council.change_members(now, &MembershipChange::Remove(MemberId(1)));
                        assert_eq!(again, Err(ProposeError::MembershipChangeInProgress), "one at a time");
                        world.settle(leader);
                        break;
                    }
                }
                if world.rng.u8(..8) == 0 {
                    let one = world.any();
                    world.crash(one);
                }
                world.run(60.0);
            }
            world.run(400.0);
        }
        world.run(3000.0);
        let before = world.acknowledged;
        world.propose();
        world.run(400.0);
        assert!(world.acknowledged > before);
        let leader = world.leader().expect("three are left");
        let members: Vec<MemberId> =
            world.all[&leader].council.as_ref().unwrap().members().keys().copied().collect();
        assert!(!members.contains(&old) && members.contains(&new) && members.len() == 3, "{members:?}");
    });
}

#[test]
fn a_member_whose_store_fails_steps_down_and_votes_for_nobody() {
    let mut world = World::new(7, 3);
    world.run(1500.0);
    let leader = world.leader().unwrap();
    let now = world.clock(leader);
    world.all.get_mut(&leader).unwrap().council.as_mut().unwrap().set_store_failing(now, true);
    world.settle(leader);
    assert_eq!(world.all[&leader].council.as_ref().unwrap().role(), Role::Follower);
    world.run(3000.0);
    assert!(world.leader().is_some_and(|new| new != leader), "another took over");
    assert_eq!(world.all[&leader].council.as_ref().unwrap().role(), Role::Follower);
}

#[test]
fn an_office_that_is_handed_over_leaves_no_gap_of_an_election() {
    let mut world = World::new(9, 3);
    world.run(1500.0);
    let (leader, term) = (world.leader().unwrap(), *world.leaders.keys().next_back().unwrap());
    let now = world.clock(leader);
    assert!(world.all.get_mut(&leader).unwrap().council.as_mut().unwrap().transfer_leadership(now));
    world.settle(leader);
    world.run(FIGURES.election_timeout_ms / 2.0);
    let heir = world.leader().unwrap();
    assert!(heir != leader && *world.leaders.keys().next_back().unwrap() > term);
}
