//! More schedules due at once than one pass may propose commands for.
//!
//! Guards against recording commands beyond the limit of a pass as proposed: they would then be delayed by the time after
//! which proposals are repeated.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_consensus::{Index, MemberId};
use juniperrail_schedule::*;

#[test]
fn commands_that_do_not_fit_into_one_pass_are_proposed_in_the_next() {
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
    let (mut ledger, mut leader_state, mut index) = (Ledger::default(), LeaderState::default(), 0);
    let alive = [MemberId(1)];
    let mut claimed = BTreeSet::new();
    // One pass every 50 ms: three add the schedules, and three claim the occurrences once all are due. The
    // schedules are added at a full minute, and the occurrences are claimed at the next full minute.
    for pass in 0..6 {
        let unix_time = if pass < 3 { 1_796_000_040_000.0 } else { 1_796_000_100_000.0 };
        let commands = propose_commands(
            &schedules,
            &ledger,
            &mut leader_state,
            f64::from(pass) * 50.0,
            unix_time,
            2000.0,
            &alive,
        );
        assert_eq!(commands.len(), MAX_COMMANDS_PER_PASS, "pass {pass}");
        for command in commands {
            index += 1;
            assert!(ledger.apply(Index(index), &command), "{command:?} is proposed once");
            if let Command::Claim { occurrence, .. } = command {
                claimed.insert(occurrence.schedule);
            }
        }
    }
    assert_eq!(claimed.len(), count);
}
