//! Random histories of replicas that agree on one log: leaders that change and linger, owners that die at any step, words
//! that are lost, late and doubled, answers that are lost, a clock that jumps. What has to hold in each: a side-effecting
//! occurrence takes effect once at most, and what the books say of it is so; each time that was due has an end or a
//! reason. A failing seed is printed; `JUNIPERRAIL_HISTORIES` sets how many are played.

use std::collections::BTreeMap;

use juniperrail_council::{median_clock, Index, MemberId, Run};
use juniperrail_interface::Ms;
use juniperrail_schedule::*;

const AGAIN: Ms = 60.0;
const START: Ms = 1_796_000_000_000.0;

struct Replica {
    books: Ledger,
    applied: usize,
    leading: LeaderState,
    duties: ClaimTracker,
    run: u64,
    down_until: Ms,
    clock: Ms,
}

struct Effect {
    at: Ms,
    owner: MemberId,
    run: u64,
    occurrence: Occurrence,
    fence: Index,
}

struct World {
    rng: fastrand::Rng,
    now: Ms,
    schedules: BTreeMap<String, Schedule>,
    log: Vec<Command>,
    coming: Vec<(Ms, Command)>,
    effects: Vec<Effect>,
    answers: Vec<(Ms, MemberId, u64, Index, TryOutcome)>,
    all: Vec<Replica>,
    leader: usize,
    seen: BTreeMap<String, Index>,
    took: BTreeMap<Occurrence, u32>,
    ends: BTreeMap<Occurrence, OccurrenceOutcome>,
}

fn id(place: usize) -> MemberId {
    MemberId(place as u16 + 1)
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut schedule = |name: &str, idempotent| {
            let action = Action {
                address: "127.0.0.1:1".into(),
                path: "/run".into(),
                idempotent,
                max_tries: rng.u32(1..4),
                backoff: rng.f64() * 300.0,
                claim_lease: 400.0 + rng.f64() * 400.0,
            };
            let timing = Timing::parse(name, "* * * * * *", "UTC").unwrap().with_jitter(rng.f64() * 500.0);
            let overlap = [OverlapPolicy::Skip, OverlapPolicy::Queue, OverlapPolicy::Replace][rng.usize(..3)];
            let catch_up = [CatchUp::None, CatchUp::Last, CatchUp::LastCount(3)][rng.usize(..3)];
            let deadline = rng.f64() * 1500.0;
            (name.to_string(), Schedule { timing, action, deadline, catch_up, overlap })
        };
        let schedules = [schedule("grade", false), schedule("warm", true)].into();
        let replica = |place| Replica {
            books: Ledger::default(),
            applied: 0,
            leading: LeaderState::default(),
            duties: ClaimTracker::new(id(place), Run(1)),
            run: 1,
            down_until: 0.0,
            clock: 0.0,
        };
        World {
            rng,
            now: 0.0,
            schedules,
            log: Vec::new(),
            coming: Vec::new(),
            effects: Vec::new(),
            answers: Vec::new(),
            all: (0..3).map(replica).collect(),
            leader: 0,
            seen: BTreeMap::new(),
            took: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    fn day(&self) -> Ms {
        START + self.now + median_clock(self.all.iter().map(|replica| replica.clock)).unwrap()
    }

    fn propose(&mut self, word: Command) {
        for _ in 0..[1, 1, 1, 1, 1, 1, 2, 0][self.rng.usize(..8)] {
            let late = if self.rng.u8(..20) == 0 { 500.0 } else { 20.0 };
            let at = self.now + self.rng.f64() * late;
            self.coming.push((at, word.clone()));
        }
    }

    fn crash(&mut self, place: usize) {
        let down = self.now + self.rng.f64() * 700.0;
        let replica = &mut self.all[place];
        // It starts with what was agreed, from the log, and knows nothing of what it was about to do.
        replica.run += 1;
        replica.duties = ClaimTracker::new(id(place), Run(replica.run));
        replica.leading = LeaderState::default();
        replica.books = Ledger::default();
        (replica.applied, replica.down_until) = (0, down);
        // What it had not sent yet is gone with it.
        let sent = self.rng.f64();
        let mut chance = self.rng.fork();
        self.effects.retain(|effect| effect.owner != id(place) || chance.f64() < sent);
    }

    fn step(&mut self, troubled: bool) {
        self.now += 10.0;
        let now = self.now;
        let coming: Vec<(Ms, Command)> = self.coming.extract_if(.., |(at, _)| *at <= now).collect();
        self.log.extend(coming.into_iter().map(|(_, word)| word));
        let effects: Vec<Effect> = self.effects.extract_if(.., |effect| effect.at <= now).collect();
        effects.into_iter().for_each(|effect| self.execute(effect));
        let day = self.day();
        for place in 0..self.all.len() {
            if self.all[place].down_until > now || troubled && self.rng.u8(..6) == 0 {
                continue;
            }
            self.apply(place);
            let replica = &mut self.all[place];
            for todo in replica.duties.next_tasks(&replica.books, now, day, AGAIN) {
                self.todo(place, todo);
            }
        }
        let answers: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, owner, run, fence, turn) in answers {
            let place = usize::from(owner.0 - 1);
            let replica = &mut self.all[place];
            if replica.run == run && replica.down_until <= now {
                let word = replica.duties.record_outcome(fence, turn, now, day);
                word.into_iter().for_each(|word| self.propose(word));
            }
        }
        // One that was deposed does not know it yet at times.
        let mut leaders = vec![self.leader];
        if troubled && self.rng.u8(..10) == 0 {
            leaders.push(self.rng.usize(..3));
        }
        for place in leaders {
            if self.all[place].down_until > now {
                continue;
            }
            let alive: Vec<MemberId> =
                (0..3).filter(|other| self.all[*other].down_until <= now).map(id).collect();
            let Replica { books, leading, .. } = &mut self.all[place];
            let words = propose_commands(&self.schedules, books, leading, now, day, AGAIN, &alive);
            words.into_iter().for_each(|word| self.propose(word));
        }
    }

    fn apply(&mut self, place: usize) {
        while self.all[place].applied < self.log.len() {
            let at = self.all[place].applied;
            let word = self.log[at].clone();
            let books = &mut self.all[place].books;
            books.apply(Index(at as u64 + 1), &word);
            self.all[place].applied += 1;
            for (name, book) in &self.all[place].books.schedules {
                if let Some(ended) = book.ended.back() {
                    let due = Occurrence { schedule: name.clone(), due_ms: ended.due_ms };
                    let known = self.ends.entry(due).or_insert(ended.outcome);
                    assert_eq!(*known, ended.outcome, "an end that changes");
                }
            }
        }
    }

    fn todo(&mut self, place: usize, todo: ClaimTask) {
        match todo {
            ClaimTask::Propose(word) => self.propose(word),
            ClaimTask::Execute { occurrence, fence, time_limit, .. } => {
                let run = self.all[place].run;
                let slow = if self.rng.u8(..8) == 0 { 1500.0 } else { 60.0 };
                let at = self.now + self.rng.f64() * slow;
                if self.rng.u8(..10) == 0 {
                    self.answers.push((at, id(place), run, fence, TryOutcome::Unsent));
                } else {
                    self.effects.push(Effect { at, owner: id(place), run, occurrence, fence });
                    self.answers.push((self.now + time_limit, id(place), run, fence, TryOutcome::Unanswered));
                }
            }
        }
    }

    /// A worker that refuses lower numbers than it has seen of the schedule.
    fn execute(&mut self, effect: Effect) {
        let Effect { owner, run, occurrence, fence, .. } = effect;
        let seen = self.seen.entry(occurrence.schedule.clone()).or_default();
        let turn = if fence < *seen {
            TryOutcome::Overtaken
        } else {
            *seen = fence;
            *self.took.entry(occurrence).or_default() += 1;
            if self.rng.u8(..12) == 0 {
                TryOutcome::Failed
            } else {
                TryOutcome::Succeeded
            }
        };
        if self.rng.u8(..8) > 0 {
            self.answers.push((self.now + 5.0, owner, run, fence, turn));
        }
    }

    fn trouble(&mut self) {
        let one = self.rng.usize(..3);
        match self.rng.u8(..6) {
            0 | 1 => self.crash(one),
            2 => {
                self.leader = one;
                self.all[one].leading = LeaderState::default();
            }
            3 => {
                self.all.iter_mut().for_each(|replica| replica.clock = 0.0);
                self.all[one].clock = [3_600_000.0, -3_600_000.0, 40_000.0, 0.0][self.rng.usize(..4)];
            }
            4 => (0..3).for_each(|place| self.crash(place)),
            _ => {}
        }
    }

    fn check(&mut self) {
        self.apply(0);
        let books = &self.all[0].books;
        for (name, schedule) in &self.schedules {
            let book = &books.schedules[name];
            let opened = self.log.iter().find_map(|word| match word {
                Command::AddSchedule { schedule, decided_through } if schedule == name => {
                    Some(*decided_through)
                }
                _ => None,
            });
            let all = schedule
                .timing
                .after(opened.unwrap() as Ms)
                .take_while(|when| when.due <= book.decided_through as Ms);
            let passed: u64 = book.skipped.values().sum();
            assert_eq!(
                all.count() as u64,
                book.ended_count + passed + book.open.len() as u64,
                "{name}: each time has an end or a reason: {book:?}"
            );
        }
        for (occurrence, took) in &self.took {
            if !self.schedules[&occurrence.schedule].action.idempotent {
                assert_eq!(*took, 1, "{occurrence:?} took effect {took} times");
            }
        }
        for (occurrence, end) in &self.ends {
            let took = self.took.get(occurrence).copied().unwrap_or_default();
            match end {
                OccurrenceOutcome::Succeeded | OccurrenceOutcome::Failed => {
                    assert!(took > 0, "{occurrence:?} ended {end:?} without effect")
                }
                OccurrenceOutcome::GivenUp if !self.schedules[&occurrence.schedule].action.idempotent => {
                    assert_eq!(took, 0, "{occurrence:?} took effect and is told as not begun");
                }
                _ => {}
            }
        }
    }
}

#[test]
fn what_is_due_happens_once_or_is_accounted_for() {
    let histories =
        std::env::var("JUNIPERRAIL_HISTORIES").ok().and_then(|count| count.parse().ok()).unwrap_or(150);
    let (mut effects, mut ends) = (0, BTreeMap::<String, u64>::new());
    for seed in 0..histories {
        let mut world = World::new(seed);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for step in 0..900 {
                let troubled = step < 600;
                if troubled && world.rng.u8(..25) == 0 {
                    world.trouble();
                }
                if !troubled {
                    world.all.iter_mut().for_each(|replica| replica.clock = 0.0);
                }
                world.step(troubled);
            }
            world.check();
        }));
        if let Err(why) = played {
            eprintln!("seed {seed} fails");
            std::panic::resume_unwind(why);
        }
        let newest = world.ends.keys().map(|occurrence| occurrence.due_ms).max().unwrap_or_default() as Ms;
        assert!(newest >= START + 7_000.0, "seed {seed}: it works again once all are well: {newest}");
        effects += world.took.values().sum::<u32>();
        world.ends.values().for_each(|end| *ends.entry(format!("{end:?}")).or_default() += 1);
    }
    println!("{histories} histories: {effects} effects, ends {ends:?}");
    assert_eq!(
        ends.len(),
        if histories >= 100 { 5 } else { ends.len() },
        "every kind of end was met: {ends:?}"
    );
}
