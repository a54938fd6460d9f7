//! Many schedules that come due at once.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_council::{Index, MemberId};
use juniperrail_schedule::*;

#[test]
fn what_has_no_room_in_one_look_has_it_in_the_next() {
    let action = Action {
        address: "127.0.0.1:1".into(),
        path: "/run".into(),
        idempotent: true,
        max_tries: 1,
        backoff: 0.0,
        claim_lease: 1000.0,
    };
    let schedule = |n: usize| {
        let timing = Timing::parse(&format!("s-{n}"), "* * * * *", "UTC").unwrap();
        let (overlap, catch_up, action) = (OverlapPolicy::Skip, CatchUp::None, action.clone());
        (format!("s-{n}"), Schedule { timing, action, deadline: 30_000.0, catch_up, overlap })
    };
    let count = MAX_COMMANDS_PER_PASS * 3;
    let schedules: BTreeMap<String, Schedule> = (0..count).map(schedule).collect();
    let (mut books, mut leading, mut at) = (Ledger::default(), LeaderState::default(), 0);
    let alive = [MemberId(1)];
    let mut claimed = BTreeSet::new();
    // One look every 50 ms: three for the opening, and three once all are due.
    for look in 0..6 {
        let day = if look < 3 { 1_796_000_040_000.0 } else { 1_796_000_100_000.0 };
        let words =
            propose_commands(&schedules, &books, &mut leading, f64::from(look) * 50.0, day, 2000.0, &alive);
        assert_eq!(words.len(), MAX_COMMANDS_PER_PASS, "look {look}");
        for word in words {
            at += 1;
            assert!(books.apply(Index(at), &word), "{word:?} is proposed once");
            if let Command::Claim { occurrence, .. } = word {
                claimed.insert(occurrence.schedule);
            }
        }
    }
    assert_eq!(claimed.len(), count);
}
