//! Bytes that an earlier build wrote, to its store and to other managers, are read as the same values and written as the
//! same bytes. Guards against renames and reordered fields that make a store unreadable after an upgrade, or managers
//! of two builds misread each other. Each file in `formats/` holds one encoded value a line: its name, then its bytes in
//! hexadecimal digits.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::path::Path;

use juniperrail_council::{
    Change, Entry, Health as MemberHealth, Index, Member, MemberId, Members, Message, Record, Run,
    SwimMessage, Snapshot, Term, MemberRole, What, Word as MemberWord,
};
use juniperrail_failover::{Cell, Evidence, Health, Plan, Share, Zone};
use juniperrail_fleet::{PeerMessage, Word};
use juniperrail_schedule::{
    Action, Book, Ledger, Claim, Occurrence, End, EndedOccurrence, Open, Overlap, Passed, TryOutcome, Word as ScheduleWord,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The stored lines of a file, name and bytes in hexadecimal digits.
fn stored(file: &str) -> Vec<(String, String)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/formats").join(file);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let pair = |line: &str| line.split_once(' ').map(|(name, bytes)| (name.to_string(), bytes.to_string()));
    text.lines()
        .map(|line| pair(line).unwrap_or_else(|| panic!("{file}: no name and bytes: {line}")))
        .collect()
}

fn decoded<T: DeserializeOwned>(digits: &str) -> T {
    let bytes: Vec<u8> =
        (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect();
    let (value, rest) = postcard::take_from_bytes(&bytes).unwrap();
    assert!(rest.is_empty(), "{} bytes were not read", rest.len());
    value
}

/// Compares each value with its stored bytes in both directions.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[(&str, T)]) {
    let stored = stored(file);
    let names: Vec<&str> = stored.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, values.iter().map(|(name, _)| *name).collect::<Vec<_>>(), "{file}");
    for ((name, digits), (_, value)) in stored.iter().zip(values) {
        assert_eq!(&decoded::<T>(digits), value, "{file}: {name} is read as another value");
        let written = hexadecimal(&postcard::to_stdvec(value).unwrap());
        assert_eq!(&written, digits, "{file}: {name} is written as other bytes");
    }
}

fn members() -> Members {
    let voter = Member { address: "10.0.0.4:5001".into(), role: MemberRole::Voter };
    let learner = Member { address: "10.0.0.5:5001".into(), role: MemberRole::Learner };
    BTreeMap::from([(MemberId(1), voter), (MemberId(300), learner)])
}

fn entries() -> Vec<Entry> {
    let entry = |index: u64, what: What| Entry { index: Index(index), term: Term(7), what };
    vec![
        entry(128, What::Opening),
        entry(129, What::Members(members())),
        entry(130, What::Command(vec![1, 255])),
    ]
}

fn snapshot() -> Snapshot {
    Snapshot { last: Index(127), term: Term(6), members: members(), state: vec![9, 8, 7] }
}

#[test]
fn consensus_records_of_the_store() {
    let born = BTreeMap::from([(MemberId(1), 11), (MemberId(2), 1 << 40)]);
    check(
        "consensus-records.txt",
        &[
            ("birth", Record::Born(0x0123_4567_89ab_cdef)),
            ("run", Record::Run(Run(42))),
            ("peer", Record::Peer(MemberId(2), Run(5), 99)),
            ("bootstrap", Record::Founded(snapshot(), born)),
            ("store-lost", Record::Doubtful),
            ("store-caught-up", Record::Whole),
            ("term-with-vote", Record::Term(Term(8), Some(MemberId(2)))),
            ("term-without-vote", Record::Term(Term(9), None)),
            ("entries", Record::Entries(entries())),
            ("snapshot", Record::Snapshot(snapshot())),
        ],
    );
}

#[test]
fn membership_changes() {
    check(
        "membership-changes.txt",
        &[
            ("add", Change::Add(MemberId(4), "10.0.0.7:5001".into())),
            ("promote", Change::Promote(MemberId(4))),
            ("remove", Change::Remove(MemberId(2))),
        ],
    );
}

fn consensus_messages() -> Vec<(&'static str, PeerMessage)> {
    let founding = Some(BTreeMap::from([(MemberId(1), 11), (MemberId(3), 33)]));
    let messages = [
        ("hello-request", Message::Ask { run: Run(3), nonce: 77 }),
        (
            "hello-reply",
            Message::Told {
                run: Run(3),
                known: Run(2),
                term: Term(8),
                last: Index(130),
                leading: true,
                birth: 12,
                founding,
            },
        ),
        (
            "vote-request",
            Message::AskVote { term: Term(8), last: (Index(130), Term(7)), pre: true, handed: false },
        ),
        ("vote-reply", Message::Vote { term: Term(8), granted: true, pre: false }),
        (
            "append-request",
            Message::AppendEntries {
                term: Term(8),
                at: 1234.5,
                before: (Index(127), Term(6)),
                entries: entries(),
                commit: Index(126),
            },
        ),
        ("install-snapshot", Message::InstallSnapshot { term: Term(8), at: 2234.25, snapshot: snapshot() }),
        ("append-reply", Message::Appended { term: Term(8), at: 1235.5, same: true, upto: Index(130) }),
        ("timeout-now", Message::TakeOver { term: Term(8) }),
        ("propose", Message::Propose { command: vec![1, 2, 3] }),
    ];
    messages.into_iter().map(|(name, message)| (name, PeerMessage::Council(message))).collect()
}

fn membership_messages() -> Vec<(&'static str, PeerMessage)> {
    let states = [MemberHealth::Alive, MemberHealth::Suspect, MemberHealth::Dead, MemberHealth::Left];
    let updates: Vec<MemberWord> = (1..)
        .zip(states)
        .map(|(id, health)| MemberWord {
            about: MemberId(id),
            health,
            incarnation: 20 + u64::from(id),
            by: MemberId(9),
        })
        .collect();
    let messages = [
        ("ping", SwimMessage::Ping { number: 5, words: updates.clone() }),
        ("ack", SwimMessage::Ack { number: 5, clock: 1_700_000_000_000.0, words: updates.clone() }),
        ("ping-request", SwimMessage::PingFor { number: 6, target: MemberId(3), words: updates }),
        ("nack", SwimMessage::Nack { number: 6 }),
    ];
    messages.into_iter().map(|(name, message)| (name, PeerMessage::Sight(message))).collect()
}

fn zone(name: &str) -> Zone {
    Zone(name.into())
}

fn evidence() -> Evidence {
    Evidence {
        cells: BTreeMap::from([
            ((zone("a"), zone("a")), Cell { tries: 100.0, bad: 2.5, took: 4000.0 }),
            ((zone("a"), zone("b")), Cell { tries: 10.0, bad: 10.0, took: 0.0 }),
        ]),
        weight: BTreeMap::from([(zone("a"), 12.5)]),
        busy: BTreeMap::from([(zone("b"), 0.75)]),
        proxies: BTreeMap::from([(zone("a"), (30, 2))]),
        over: 500.0,
    }
}

#[test]
fn messages_between_managers() {
    let mut messages = consensus_messages();
    messages.extend(membership_messages());
    messages.push(("evidence", PeerMessage::Evidence(evidence())));
    check("peer-messages.txt", &messages);
}

fn plan() -> Plan {
    let states = [
        Health::Unknown,
        Health::Well,
        Health::Silent,
        Health::Slow,
        Health::Overloaded,
        Health::CutOff,
        Health::Lost,
    ];
    let share =
        |(part, why): (u8, Health)| (zone(&format!("z{part}")), Share { part: f64::from(part) / 8.0, why });
    Plan { version: 3, beat: 400, shares: (0..).zip(states).map(share).collect(), lease: 6000.0 }
}

fn occurrence(due: i64) -> Occurrence {
    Occurrence { schedule: "nightly".into(), due }
}

fn act() -> Action {
    Action {
        address: "10.0.1.9:8080".into(),
        path: "/run".into(),
        idempotent: true,
        tries: 3,
        backoff: 250.0,
        lease: 30_000.0,
    }
}

fn schedule_commands() -> Vec<(&'static str, ScheduleWord)> {
    let due = || occurrence(1_700_000_060_000);
    let passed = |why| ScheduleWord::Passed { due: due(), why, count: 300 };
    let claim = |overlap| ScheduleWord::Claim { due: due(), owner: MemberId(2), act: act(), overlap };
    let turned = |turn| ScheduleWord::Turned { due: due(), fence: Index(130), turn, at: 77.5 };
    vec![
        ("opened", ScheduleWord::Opened { schedule: "nightly".into(), through: -5 }),
        ("skipped-missed", passed(Passed::Missed)),
        ("skipped-quiet", passed(Passed::Quiet)),
        ("skipped-overlap", passed(Passed::Overlap)),
        ("claim-skip", claim(Overlap::Skip)),
        ("claim-queue", claim(Overlap::Queue)),
        ("claim-replace", claim(Overlap::Replace)),
        ("begun", ScheduleWord::Begun { due: due(), fence: Index(130), run: Run(4) }),
        ("try-succeeded", turned(TryOutcome::Succeeded)),
        ("try-failed", turned(TryOutcome::Failed)),
        ("try-unsent", turned(TryOutcome::Unsent)),
        ("try-unanswered", turned(TryOutcome::Unanswered)),
        ("try-overtaken", turned(TryOutcome::Overtaken)),
        ("lapsed", ScheduleWord::Lapsed { due: due(), fence: Index(130), at: 78.5 }),
        ("closed", ScheduleWord::Closed { schedule: "nightly".into() }),
    ]
}

#[test]
fn commands_of_log_entries() {
    let schedules = schedule_commands().into_iter().map(|(name, command)| (name, Word::Schedule(command)));
    let mut commands: Vec<(&str, Word)> = schedules.collect();
    commands.push(("plan", Word::Plan(plan())));
    commands.push(("generation", Word::Generation(12)));
    for (name, command) in &commands {
        assert_eq!(Word::read(&command.write()).as_ref(), Some(command), "{name}");
    }
    check("log-commands.txt", &commands);
}

fn books() -> Ledger {
    let claim = Claim { owner: MemberId(2), fence: Index(130), begun: Some(Run(4)) };
    let open = Open { act: act(), tries: 1, claim: Some(claim), ended: 77.5 };
    let unclaimed = Open { act: act(), tries: 0, claim: None, ended: 0.0 };
    let ends = [End::Succeeded, End::Failed, End::GivenUp, End::Unknown, End::Replaced];
    let ended = |(due, end): (i64, End)| EndedOccurrence { due, end, tries: 2, fence: Index(90), owner: MemberId(1) };
    let book = Book {
        through: 1_700_000_060_000,
        open: BTreeMap::from([(1_700_000_060_000, open), (1_700_000_120_000, unclaimed)]),
        ended: (10..).zip(ends).map(ended).collect::<VecDeque<EndedOccurrence>>(),
        passed: BTreeMap::from([(Passed::Missed, 1), (Passed::Quiet, 2), (Passed::Overlap, 3)]),
        ends: 5,
    };
    Ledger { books: BTreeMap::from([("nightly".to_string(), book)]) }
}

/// The fields of the state in a snapshot, in their order; what the fleet reads it as is private to that crate.
#[test]
fn state_of_a_snapshot() {
    check("snapshot-state.txt", &[("state", (books(), plan(), 12_u64, Index(131)))]);
}

/// The first message on a link, in the order of its fields.
#[test]
fn first_message_of_a_link() {
    check("hello.txt", &[("hello", (MemberId(1), MemberId(300), "exams".to_string(), Run(9)))]);
}
