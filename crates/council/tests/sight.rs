//! Who is believed to be there, in groups on simulated links: deaths are found by all, and cuts one way, slow members,
//! loss and partitions are not taken for deaths for longer than they have to be.

use std::collections::BTreeMap;

use juniperrail_council::*;
use juniperrail_interface::Ms;

const PACE: SwimConfig = SwimConfig {
    probe_period_ms: 100.0,
    probe_timeout_ms: 30.0,
    indirect_probe_count: 3,
    max_updates_per_message: 8,
};

struct Group {
    rng: fastrand::Rng,
    now: Ms,
    all: BTreeMap<MemberId, Option<FailureDetector>>,
    stopped: Vec<MemberId>,
    cut: Vec<(MemberId, MemberId)>,
    loss: f64,
    under_way: Vec<(Ms, MemberId, MemberId, SwimMessage)>,
    deaths: Vec<(MemberId, MemberId)>,
}

impl Group {
    fn new(seed: u64, size: u16) -> Group {
        let ids: Vec<MemberId> = (1..=size).map(MemberId).collect();
        let sight = |id: &MemberId| {
            let mut sight = FailureDetector::start(*id, PACE, 1, seed + u64::from(id.0), 0.0);
            sight.set_members(0.0, ids.iter().copied());
            (*id, Some(sight))
        };
        Group {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            all: ids.iter().map(sight).collect(),
            stopped: Vec::new(),
            cut: Vec::new(),
            loss: 0.0,
            under_way: Vec::new(),
            deaths: Vec::new(),
        }
    }

    fn sight(&self, id: u16) -> &FailureDetector {
        self.all[&MemberId(id)].as_ref().unwrap()
    }

    fn run(&mut self, span: Ms) {
        let until = self.now + span;
        while self.now < until {
            self.now += 1.0;
            let now = self.now;
            let here = |of: &Group, to: &MemberId| !of.stopped.contains(to);
            let due: Vec<_> = self.under_way.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, from, to, message) in due {
                if !here(self, &to) {
                    // A process that is stopped finds it in its socket later.
                    self.under_way.push((now + 1.0, from, to, message));
                    continue;
                }
                if let Some(Some(sight)) = self.all.get_mut(&to) {
                    sight.handle_message(now, now + f64::from(to.0), from, message);
                }
            }
            let ids: Vec<MemberId> = self.all.keys().copied().filter(|id| here(self, id)).collect();
            for id in ids {
                let Some(Some(sight)) = self.all.get_mut(&id) else { continue };
                if now >= sight.next_tick() {
                    sight.tick(now);
                }
                let dead =
                    sight.take_health_changes().into_iter().filter(|(_, health)| *health == Health::Dead);
                self.deaths.extend(dead.map(|(about, _)| (id, about)));
                for (to, message) in sight.take_messages() {
                    if !self.cut.contains(&(id, to)) && self.rng.f64() >= self.loss {
                        self.under_way.push((now + 0.5 + self.rng.f64() * 5.0, id, to, message));
                    }
                }
            }
        }
    }

    fn healths(&self, of: u16) -> Vec<Health> {
        let others = self.all.iter().filter(|(id, sight)| id.0 != of && sight.is_some());
        others.map(|(_, sight)| sight.as_ref().unwrap().health(MemberId(of))).collect()
    }
}

#[test]
fn a_death_is_found_by_all_and_nobody_else_is_blamed() {
    for seed in 0..20 {
        let mut group = Group::new(seed, 3 + seed as u16 % 5);
        group.run(2_000.0);
        assert!(group.deaths.is_empty());
        group.all.insert(MemberId(2), None);
        group.run(9_000.0);
        assert!(group.healths(2).iter().all(|health| *health == Health::Dead), "seed {seed}");
        assert!(group.deaths.iter().all(|(_, about)| about.0 == 2), "seed {seed}: {:?}", group.deaths);
    }
}

#[test]
fn loss_alone_kills_nobody() {
    for seed in 0..6 {
        let mut group = Group::new(seed, 5);
        group.loss = 0.1;
        group.run(60_000.0);
        assert!(group.deaths.is_empty(), "seed {seed}: {:?}", group.deaths);
    }
}

#[test]
fn a_link_cut_one_way_or_both_is_told_apart_from_a_death() {
    for both in [false, true] {
        let mut group = Group::new(5, 4);
        group.run(1_000.0);
        group.cut.push((MemberId(1), MemberId(3)));
        group.cut.extend(both.then_some((MemberId(3), MemberId(1))));
        group.run(8_000.0);
        assert_eq!(group.sight(1).health(MemberId(3)), Health::Alive);
        assert_eq!(group.sight(1).reach(group.now, MemberId(3)), Reach::Indirect);
        assert_eq!(group.sight(2).reach(group.now, MemberId(3)), Reach::Direct);
        assert!(group.deaths.is_empty(), "{:?}", group.deaths);
    }
}

#[test]
fn who_was_stopped_blames_itself_first() {
    let mut group = Group::new(3, 5);
    group.run(1_000.0);
    group.stopped.push(MemberId(4));
    group.run(15_000.0);
    assert!(group.healths(4).iter().all(|health| *health == Health::Dead));
    group.deaths.clear();
    group.stopped.clear();
    group.run(20.0);
    assert!(group.sight(4).local_health() > 0);
    group.run(10_000.0);
    assert!(group.deaths.iter().all(|(by, _)| by.0 != 4), "{:?}", group.deaths);
    assert!(
        group.healths(4).iter().all(|health| *health == Health::Alive),
        "it objects by a later incarnation"
    );
    assert_eq!(group.sight(4).local_health(), 0, "and is well again");
}

#[test]
fn a_partition_is_found_and_its_heal_too() {
    let mut group = Group::new(8, 5);
    group.run(1_000.0);
    for a in 1..=2 {
        for b in 3..=5 {
            group.cut.extend([(MemberId(a), MemberId(b)), (MemberId(b), MemberId(a))]);
        }
    }
    group.run(20_000.0);
    assert_eq!(group.sight(5).alive().collect::<Vec<_>>(), [MemberId(5), MemberId(3), MemberId(4)]);
    group.cut.clear();
    group.run(15_000.0);
    assert!((1..=5).all(|id| group.healths(id).iter().all(|health| *health == Health::Alive)));
    let clocks = group.sight(5).clocks(group.now, group.now + 5.0);
    assert_eq!(clocks.len(), 5);
    let shown = median_clock(clocks).unwrap() - group.now;
    // One that jumps itself sees the others where they were.
    let jumped = group.sight(5).clocks(group.now, group.now + 3_600_000.0);
    assert!(median_clock(jumped).unwrap() - group.now < 20.0);
    assert!((shown - 3.0).abs() < 6.0, "clocks are seen to within a message's way: {shown}");
}

#[test]
fn who_leaves_by_itself_is_not_taken_for_dead() {
    let mut group = Group::new(2, 4);
    group.run(1_000.0);
    group.all.get_mut(&MemberId(3)).unwrap().as_mut().unwrap().leave();
    group.run(50.0);
    group.all.insert(MemberId(3), None);
    group.run(6_000.0);
    assert!(group.deaths.is_empty());
    assert!(group.healths(3).iter().all(|health| *health == Health::Left));
}
