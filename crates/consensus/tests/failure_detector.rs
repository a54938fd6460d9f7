//! The failure detector in groups on simulated links: all members detect a death; cut links and message loss are not
//! taken for one; and members that were suspended or partitioned count as alive again afterwards.

use std::collections::BTreeMap;

use juniperrail_consensus::*;
use juniperrail_interface::Ms;

const CONFIG: SwimConfig = SwimConfig {
    probe_period_ms: 100.0,
    probe_timeout_ms: 30.0,
    indirect_probe_count: 3,
    max_updates_per_message: 8,
};

struct Group {
    rng: fastrand::Rng,
    now: Ms,
    /// `None` for a member that is dead.
    detectors: BTreeMap<MemberId, Option<FailureDetector>>,
    suspended: Vec<MemberId>,
    /// Cut links, each from a sender to a receiver.
    cut_links: Vec<(MemberId, MemberId)>,
    loss_ratio: f64,
    /// Messages in flight, each with its arrival time, its sender and its receiver.
    in_flight: Vec<(Ms, MemberId, MemberId, SwimMessage)>,
    /// The deaths declared so far, each as the member that declared it and the member declared dead.
    deaths: Vec<(MemberId, MemberId)>,
}

impl Group {
    fn new(seed: u64, size: u16) -> Group {
        let ids: Vec<MemberId> = (1..=size).map(MemberId).collect();
        let start_detector = |id: &MemberId| {
            let mut detector = FailureDetector::start(*id, CONFIG, 1, seed + u64::from(id.0), 0.0);
            detector.set_members(0.0, ids.iter().copied());
            (*id, Some(detector))
        };
        Group {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            detectors: ids.iter().map(start_detector).collect(),
            suspended: Vec::new(),
            cut_links: Vec::new(),
            loss_ratio: 0.0,
            in_flight: Vec::new(),
            deaths: Vec::new(),
        }
    }

    fn detector(&self, id: u16) -> &FailureDetector {
        self.detectors[&MemberId(id)].as_ref().unwrap()
    }

    /// Simulates the group for this long, in steps of 1 ms.
    fn run(&mut self, duration: Ms) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1.0;
            let now = self.now;
            let is_running = |group: &Group, id: &MemberId| !group.suspended.contains(id);
            let arrived: Vec<_> =
                self.in_flight.extract_if(.., |(arrival_time, ..)| *arrival_time <= now).collect();
            for (_, sender, receiver, message) in arrived {
                if !is_running(self, &receiver) {
                    // A suspended process finds the message in its socket later.
                    self.in_flight.push((now + 1.0, sender, receiver, message));
                    continue;
                }
                if let Some(Some(detector)) = self.detectors.get_mut(&receiver) {
                    // The wall clock of each member is ahead by its id, in milliseconds.
                    detector.handle_message(now, now + f64::from(receiver.0), sender, message);
                }
            }
            let ids: Vec<MemberId> =
                self.detectors.keys().copied().filter(|id| is_running(self, id)).collect();
            for id in ids {
                let Some(Some(detector)) = self.detectors.get_mut(&id) else { continue };
                if now >= detector.next_tick() {
                    detector.tick(now);
                }
                let dead =
                    detector.take_health_changes().into_iter().filter(|(_, health)| *health == Health::Dead);
                self.deaths.extend(dead.map(|(member, _)| (id, member)));
                for (receiver, message) in detector.take_messages() {
                    if !self.cut_links.contains(&(id, receiver)) && self.rng.f64() >= self.loss_ratio {
                        self.in_flight.push((now + 0.5 + self.rng.f64() * 5.0, id, receiver, message));
                    }
                }
            }
        }
    }

    /// A member's health as each of the other live members sees it.
    fn healths(&self, member: u16) -> Vec<Health> {
        let others = self.detectors.iter().filter(|(id, detector)| id.0 != member && detector.is_some());
        others.map(|(_, detector)| detector.as_ref().unwrap().health(MemberId(member))).collect()
    }
}

#[test]
fn all_members_detect_a_death_and_declare_no_other_member_dead() {
    for seed in 0..20 {
        let mut group = Group::new(seed, 3 + seed as u16 % 5);
        group.run(2_000.0);
        assert!(group.deaths.is_empty());
        group.detectors.insert(MemberId(2), None);
        group.run(9_000.0);
        assert!(group.healths(2).iter().all(|health| *health == Health::Dead), "seed {seed}");
        assert!(
            group.deaths.iter().all(|(_, member)| member.0 == 2),
            "seed {seed}: declared dead: {:?}",
            group.deaths
        );
    }
}

#[test]
fn message_loss_alone_is_not_taken_for_a_death() {
    for seed in 0..6 {
        let mut group = Group::new(seed, 5);
        group.loss_ratio = 0.1;
        group.run(60_000.0);
        assert!(group.deaths.is_empty(), "seed {seed}: declared dead: {:?}", group.deaths);
    }
}

#[test]
fn a_link_cut_in_one_or_both_directions_is_distinguished_from_a_death() {
    for both_ways in [false, true] {
        let mut group = Group::new(5, 4);
        group.run(1_000.0);
        group.cut_links.push((MemberId(1), MemberId(3)));
        group.cut_links.extend(both_ways.then_some((MemberId(3), MemberId(1))));
        group.run(8_000.0);
        assert_eq!(group.detector(1).health(MemberId(3)), Health::Alive);
        assert_eq!(group.detector(1).reach(group.now, MemberId(3)), Reach::Indirect);
        assert_eq!(group.detector(2).reach(group.now, MemberId(3)), Reach::Direct);
        assert!(group.deaths.is_empty(), "declared dead: {:?}", group.deaths);
    }
}

/// Guards against a suspended member that declares the others dead when it resumes, because their answers seem overdue
/// to it.
#[test]
fn a_resumed_member_worsens_its_local_health_and_declares_no_other_member_dead() {
    let mut group = Group::new(3, 5);
    group.run(1_000.0);
    group.suspended.push(MemberId(4));
    group.run(15_000.0);
    assert!(group.healths(4).iter().all(|health| *health == Health::Dead));
    group.deaths.clear();
    group.suspended.clear();
    group.run(20.0);
    assert!(group.detector(4).local_health() > 0);
    group.run(10_000.0);
    assert!(group.deaths.iter().all(|(reporter, _)| reporter.0 != 4), "declared dead: {:?}", group.deaths);
    assert!(
        group.healths(4).iter().all(|health| *health == Health::Alive),
        "the resumed member refutes its death with a higher incarnation"
    );
    assert_eq!(group.detector(4).local_health(), 0, "member 4 is in good local health again");
}

#[test]
fn a_partition_and_its_end_are_detected() {
    let mut group = Group::new(8, 5);
    group.run(1_000.0);
    for minority in (1..=2).map(MemberId) {
        for majority in (3..=5).map(MemberId) {
            group.cut_links.extend([(minority, majority), (majority, minority)]);
        }
    }
    group.run(20_000.0);
    assert_eq!(group.detector(5).alive().collect::<Vec<_>>(), [MemberId(5), MemberId(3), MemberId(4)]);
    group.cut_links.clear();
    group.run(15_000.0);
    assert!((1..=5).all(|id| group.healths(id).iter().all(|health| *health == Health::Alive)));
    let clocks = group.detector(5).clocks(group.now, group.now + 5.0);
    assert_eq!(clocks.len(), 5);
    let median_offset = median_clock(clocks).unwrap() - group.now;
    // A jump of the member's own clock by an hour does not change what it knows of the other clocks.
    let after_jump = group.detector(5).clocks(group.now, group.now + 3_600_000.0);
    assert!(median_clock(after_jump).unwrap() - group.now < 20.0);
    // The clocks of the members 1 to 5 are 1 to 5 ms ahead, so their median is 3 ms ahead.
    assert!(
        (median_offset - 3.0).abs() < 6.0,
        "clocks are known to within a message delay; the median offset is {median_offset} ms"
    );
}

#[test]
fn a_member_that_leaves_is_not_taken_for_dead() {
    let mut group = Group::new(2, 4);
    group.run(1_000.0);
    group.detectors.get_mut(&MemberId(3)).unwrap().as_mut().unwrap().leave();
    group.run(50.0);
    group.detectors.insert(MemberId(3), None);
    group.run(6_000.0);
    assert!(group.deaths.is_empty());
    assert!(group.healths(3).iter().all(|health| *health == Health::Left));
}
