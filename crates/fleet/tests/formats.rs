//! Bytes that an earlier build wrote, to its store and to other managers, are decoded as the same values and encoded as
//! the same bytes. Guards against renames that also change or reorder fields or variants, which make a store unreadable
//! after an upgrade, or make managers of two builds misread each other's messages. Each file in `formats/` holds one
//! encoded value per line: its name, then its bytes in hexadecimal digits.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::path::Path;

use juniperrail_consensus::{
    Entry, GossipUpdate, Health as MemberHealth, Index, Member, MemberId, MemberRole, Members,
    MembershipChange, Message, Payload, Record, Run, Snapshot, SwimMessage, Term,
};
use juniperrail_failover::{Evidence, Plan, Zone, ZoneHealth, ZonePairStats, ZoneShare};
use juniperrail_fleet::{LogCommand, PeerMessage};
use juniperrail_schedule::{
    Action, Claim, Command, EndedOccurrence, Ledger, Occurrence, OccurrenceOutcome, OpenOccurrence,
    OverlapPolicy, ScheduleRecord, SkipReason, TryOutcome,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads the lines of a file: for each value, its name and its bytes in hexadecimal digits.
fn read_stored_lines(file: &str) -> Vec<(String, String)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/formats").join(file);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let split_line =
        |line: &str| line.split_once(' ').map(|(name, bytes)| (name.to_string(), bytes.to_string()));
    text.lines()
        .map(|line| split_line(line).unwrap_or_else(|| panic!("{file}: no name and bytes: {line}")))
        .collect()
}

fn decode_value<T: DeserializeOwned>(digits: &str) -> T {
    let bytes: Vec<u8> = (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).unwrap())
        .collect();
    let (value, rest) = postcard::take_from_bytes(&bytes).unwrap();
    assert!(rest.is_empty(), "{} bytes after the value were not read", rest.len());
    value
}

/// Asserts that the stored bytes of each value are decoded as the value, and that the value is encoded as these bytes.
fn assert_stored_encodings<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    file: &str,
    values: &[(&str, T)],
) {
    let stored = read_stored_lines(file);
    let names: Vec<&str> = stored.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, values.iter().map(|(name, _)| *name).collect::<Vec<_>>(), "{file}");
    for ((name, digits), (_, value)) in stored.iter().zip(values) {
        assert_eq!(&decode_value::<T>(digits), value, "{file}: {name} is read as another value");
        let written = encode_hex(&postcard::to_stdvec(value).unwrap());
        assert_eq!(&written, digits, "{file}: {name} is written as other bytes");
    }
}

fn members() -> Members {
    let voter = Member { address: "10.0.0.4:5001".into(), role: MemberRole::Voter };
    let learner = Member { address: "10.0.0.5:5001".into(), role: MemberRole::Learner };
    BTreeMap::from([(MemberId(1), voter), (MemberId(300), learner)])
}

fn entries() -> Vec<Entry> {
    let entry = |index: u64, payload: Payload| Entry { index: Index(index), term: Term(7), payload };
    vec![
        entry(128, Payload::NoOp),
        entry(129, Payload::Membership(members())),
        entry(130, Payload::Command(vec![1, 255])),
    ]
}

fn snapshot() -> Snapshot {
    Snapshot { last_index: Index(127), last_term: Term(6), members: members(), state: vec![9, 8, 7] }
}

#[test]
fn consensus_records_of_the_store() {
    let bootstrap_stores = BTreeMap::from([(MemberId(1), 11), (MemberId(2), 1 << 40)]);
    assert_stored_encodings(
        "consensus-records.txt",
        &[
            ("birth", Record::StoreId(0x0123_4567_89ab_cdef)),
            ("run", Record::Run(Run(42))),
            ("peer", Record::PeerRun(MemberId(2), Run(5), 99)),
            ("bootstrap", Record::Bootstrapped(snapshot(), bootstrap_stores)),
            ("store-lost", Record::RecoveryStarted),
            ("store-caught-up", Record::RecoveryFinished),
            ("term-with-vote", Record::TermAndVote(Term(8), Some(MemberId(2)))),
            ("term-without-vote", Record::TermAndVote(Term(9), None)),
            ("entries", Record::Entries(entries())),
            ("snapshot", Record::Snapshot(snapshot())),
        ],
    );
}

#[test]
fn membership_changes() {
    assert_stored_encodings(
        "membership-changes.txt",
        &[
            ("add", MembershipChange::Add(MemberId(4), "10.0.0.7:5001".into())),
            ("promote", MembershipChange::Promote(MemberId(4))),
            ("remove", MembershipChange::Remove(MemberId(2))),
        ],
    );
}

fn consensus_messages() -> Vec<(&'static str, PeerMessage)> {
    let bootstrap_stores = Some(BTreeMap::from([(MemberId(1), 11), (MemberId(3), 33)]));
    let messages = [
        ("hello-request", Message::HandshakeRequest { run: Run(3), nonce: 77 }),
        (
            "hello-reply",
            Message::HandshakeReply {
                run: Run(3),
                known_run: Run(2),
                term: Term(8),
                last_index: Index(130),
                is_leader: true,
                store_id: 12,
                bootstrap_stores,
            },
        ),
        (
            "vote-request",
            Message::RequestVote {
                term: Term(8),
                last: (Index(130), Term(7)),
                pre_vote: true,
                leadership_transfer: false,
            },
        ),
        ("vote-reply", Message::RequestVoteReply { term: Term(8), granted: true, pre_vote: false }),
        (
            "append-request",
            Message::AppendEntries {
                term: Term(8),
                sent_at: 1234.5,
                previous: (Index(127), Term(6)),
                entries: entries(),
                commit_index: Index(126),
            },
        ),
        (
            "install-snapshot",
            Message::InstallSnapshot { term: Term(8), sent_at: 2234.25, snapshot: snapshot() },
        ),
        (
            "append-reply",
            Message::AppendEntriesReply { term: Term(8), sent_at: 1235.5, success: true, index: Index(130) },
        ),
        ("timeout-now", Message::TimeoutNow { term: Term(8) }),
        ("propose", Message::Propose { command: vec![1, 2, 3] }),
    ];
    messages.into_iter().map(|(name, message)| (name, PeerMessage::Consensus(message))).collect()
}

fn membership_messages() -> Vec<(&'static str, PeerMessage)> {
    let health_states = [MemberHealth::Alive, MemberHealth::Suspect, MemberHealth::Dead, MemberHealth::Left];
    let updates: Vec<GossipUpdate> = (1..)
        .zip(health_states)
        .map(|(id, health)| GossipUpdate {
            member: MemberId(id),
            health,
            incarnation: 20 + u64::from(id),
            reported_by: MemberId(9),
        })
        .collect();
    let messages = [
        ("ping", SwimMessage::Ping { sequence: 5, updates: updates.clone() }),
        ("ack", SwimMessage::Ack { sequence: 5, clock: 1_700_000_000_000.0, updates: updates.clone() }),
        ("ping-request", SwimMessage::PingRequest { sequence: 6, target: MemberId(3), updates }),
        ("nack", SwimMessage::Nack { sequence: 6 }),
    ];
    messages.into_iter().map(|(name, message)| (name, PeerMessage::Membership(message))).collect()
}

fn zone(name: &str) -> Zone {
    Zone(name.into())
}

fn evidence() -> Evidence {
    Evidence {
        pair_stats: BTreeMap::from([
            ((zone("a"), zone("a")), ZonePairStats { tries: 100.0, failed: 2.5, success_time_sum: 4000.0 }),
            ((zone("a"), zone("b")), ZonePairStats { tries: 10.0, failed: 10.0, success_time_sum: 0.0 }),
        ]),
        ready_weight: BTreeMap::from([(zone("a"), 12.5)]),
        utilization: BTreeMap::from([(zone("b"), 0.75)]),
        proxies: BTreeMap::from([(zone("a"), (30, 2))]),
        duration: 500.0,
    }
}

#[test]
fn messages_between_managers() {
    let mut messages = consensus_messages();
    messages.extend(membership_messages());
    messages.push(("evidence", PeerMessage::Evidence(evidence())));
    assert_stored_encodings("peer-messages.txt", &messages);
}

fn plan() -> Plan {
    let health_states = [
        ZoneHealth::Unknown,
        ZoneHealth::Well,
        ZoneHealth::Silent,
        ZoneHealth::Slow,
        ZoneHealth::Overloaded,
        ZoneHealth::CutOff,
        ZoneHealth::Lost,
    ];
    let share = |(part, reason): (u8, ZoneHealth)| {
        (zone(&format!("z{part}")), ZoneShare { weight_ratio: f64::from(part) / 8.0, reason })
    };
    Plan { version: 3, renewal: 400, shares: (0..).zip(health_states).map(share).collect(), lease: 6000.0 }
}

fn occurrence(due: i64) -> Occurrence {
    Occurrence { schedule: "nightly".into(), due_ms: due }
}

fn action() -> Action {
    Action {
        address: "10.0.1.9:8080".into(),
        path: "/run".into(),
        idempotent: true,
        max_tries: 3,
        backoff: 250.0,
        claim_lease: 30_000.0,
    }
}

fn schedule_commands() -> Vec<(&'static str, Command)> {
    let due_occurrence = || occurrence(1_700_000_060_000);
    let skip_because = |reason| Command::Skip { occurrence: due_occurrence(), reason, count: 300 };
    let claim_with = |overlap| Command::Claim {
        occurrence: due_occurrence(),
        owner: MemberId(2),
        action: action(),
        overlap,
    };
    let finish_with =
        |outcome| Command::FinishTry { occurrence: due_occurrence(), fence: Index(130), outcome, at: 77.5 };
    vec![
        ("opened", Command::AddSchedule { schedule: "nightly".into(), decided_through_ms: -5 }),
        ("skipped-missed", skip_because(SkipReason::Missed)),
        ("skipped-quiet", skip_because(SkipReason::Quiet)),
        ("skipped-overlap", skip_because(SkipReason::Overlap)),
        ("claim-skip", claim_with(OverlapPolicy::Skip)),
        ("claim-queue", claim_with(OverlapPolicy::Queue)),
        ("claim-replace", claim_with(OverlapPolicy::Replace)),
        ("begun", Command::Start { occurrence: due_occurrence(), fence: Index(130), run: Run(4) }),
        ("try-succeeded", finish_with(TryOutcome::Succeeded)),
        ("try-failed", finish_with(TryOutcome::Failed)),
        ("try-unsent", finish_with(TryOutcome::Unsent)),
        ("try-unanswered", finish_with(TryOutcome::Unanswered)),
        ("try-overtaken", finish_with(TryOutcome::Overtaken)),
        ("lapsed", Command::ExpireClaim { occurrence: due_occurrence(), fence: Index(130), at: 78.5 }),
        ("closed", Command::RemoveSchedule { schedule: "nightly".into() }),
    ]
}

#[test]
fn commands_of_log_entries() {
    let schedules =
        schedule_commands().into_iter().map(|(name, command)| (name, LogCommand::Schedule(command)));
    let mut commands: Vec<(&str, LogCommand)> = schedules.collect();
    commands.push(("plan", LogCommand::Plan(plan())));
    commands.push(("generation", LogCommand::Generation(12)));
    for (name, command) in &commands {
        assert_eq!(LogCommand::decode(&command.encode()).as_ref(), Some(command), "{name}");
    }
    assert_stored_encodings("log-commands.txt", &commands);
}

fn ledger() -> Ledger {
    let claim = Claim { owner: MemberId(2), fence: Index(130), started_by: Some(Run(4)) };
    let claimed = OpenOccurrence { action: action(), tries: 1, claim: Some(claim), last_try_ended: 77.5 };
    let unclaimed = OpenOccurrence { action: action(), tries: 0, claim: None, last_try_ended: 0.0 };
    let outcomes = [
        OccurrenceOutcome::Succeeded,
        OccurrenceOutcome::Failed,
        OccurrenceOutcome::GivenUp,
        OccurrenceOutcome::Unknown,
        OccurrenceOutcome::Replaced,
    ];
    let ended_occurrence = |(due_ms, outcome): (i64, OccurrenceOutcome)| EndedOccurrence {
        due_ms,
        outcome,
        tries: 2,
        fence: Index(90),
        owner: MemberId(1),
    };
    let record = ScheduleRecord {
        decided_through_ms: 1_700_000_060_000,
        open: BTreeMap::from([(1_700_000_060_000, claimed), (1_700_000_120_000, unclaimed)]),
        ended: (10..).zip(outcomes).map(ended_occurrence).collect::<VecDeque<EndedOccurrence>>(),
        skipped: BTreeMap::from([(SkipReason::Missed, 1), (SkipReason::Quiet, 2), (SkipReason::Overlap, 3)]),
        ended_count: 5,
    };
    Ledger { schedules: BTreeMap::from([("nightly".to_string(), record)]) }
}

/// The fields of the state in a snapshot, in their order: the type itself is private to the crate.
#[test]
fn state_of_a_snapshot() {
    assert_stored_encodings("snapshot-state.txt", &[("state", (ledger(), plan(), 12_u64, Index(131)))]);
}

/// The fields of the handshake, the first message on a link, in their order: the type itself is private to the crate.
#[test]
fn first_message_of_a_link() {
    assert_stored_encodings(
        "hello.txt",
        &[("hello", (MemberId(1), MemberId(300), "exams".to_string(), Run(9)))],
    );
}
