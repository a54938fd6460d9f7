//! Properties that hold for any sequence: the datastores against a plain model of maps, and what composition may
//! never do.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperrail_intent::*;
use juniperrail_interface::{CellId, MachineId, Phase, WorkerEntry, WorkerId, ZoneId};
use juniperrail_model::{schema, Data, Draft, Op, Path, Rule, Schema, Value};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The same cases every time.
fn runner(cases: u32) -> TestRunner {
    let seed = [17; 32];
    println!("seed {}", u32::from_le_bytes([seed[0], seed[1], seed[2], seed[3]]));
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

const WORKERS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Step {
    /// Session, worker, operation, weight, default operation.
    Edit(u32, usize, Option<Op>, Option<u32>, DefaultOperation),
    Discard(u32),
    /// Whether it is confirmed, and by what name.
    Commit(u32, bool, Option<u8>, Option<u8>),
    Cancel(u32, Option<u8>),
    Lock(u32, Datastore),
    Unlock(u32, Datastore),
    Version(u32, usize),
    End(u32),
    Wait(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let op = prop_oneof![
        Just(None),
        Just(Some(Op::Merge)),
        Just(Some(Op::Replace)),
        Just(Some(Op::Create)),
        Just(Some(Op::Delete)),
        Just(Some(Op::Remove))
    ];
    let default = prop_oneof![
        Just(DefaultOperation::Merge),
        Just(DefaultOperation::None),
        Just(DefaultOperation::Replace)
    ];
    let store = prop_oneof![Just(Datastore::Running), Just(Datastore::Candidate)];
    let session = 1u32..4;
    let named = proptest::option::of(0u8..2);
    prop_oneof![
        8 => (session.clone(), 0usize..3, op, proptest::option::of(0u32..4), default)
            .prop_map(|(s, w, o, v, d)| Step::Edit(s, w, o, v, d)),
        1 => session.clone().prop_map(Step::Discard),
        5 => (session.clone(), any::<bool>(), named.clone(), named.clone())
            .prop_map(|(s, c, p, i)| Step::Commit(s, c, p, i)),
        1 => (session.clone(), named).prop_map(|(s, i)| Step::Cancel(s, i)),
        1 => (session.clone(), store.clone()).prop_map(|(s, of)| Step::Lock(s, of)),
        1 => (session.clone(), store).prop_map(|(s, of)| Step::Unlock(s, of)),
        1 => (session.clone(), 0usize..6).prop_map(|(s, back)| Step::Version(s, back)),
        1 => session.prop_map(Step::End),
        2 => (1u32..800).prop_map(Step::Wait),
    ]
}

/// A worker is there with its weight, if it has one.
type Plain = BTreeMap<&'static str, Option<u32>>;

/// The datastores as somebody would write them who had maps alone.
#[derive(Default)]
struct Model {
    running: Plain,
    candidate: Option<Plain>,
    locks: BTreeMap<Datastore, u32>,
    /// Before, session, name, until.
    waits: Option<(Plain, u32, Option<u8>, f64)>,
    versions: Vec<Plain>,
}

impl Model {
    fn free(&self, store: Datastore, session: u32) -> bool {
        self.locks.get(&store).is_none_or(|holder| *holder == session)
    }

    fn answers(&self, session: u32, told: Option<u8>) -> bool {
        match (&self.waits, told) {
            (None, None) => true,
            (None, Some(_)) => false,
            (Some((_, own, None, _)), None) => *own == session,
            (Some((_, own, Some(_), _)), None) => {
                // A name was given, so it must be told; its own session is told that it is the wrong one.
                let _ = own;
                false
            }
            (Some((_, _, name, _)), Some(told)) => *name == Some(told),
        }
    }

    fn edit(
        &mut self,
        session: u32,
        worker: &'static str,
        op: Option<Op>,
        weight: Option<u32>,
        default: DefaultOperation,
    ) -> bool {
        if !self.free(Datastore::Candidate, session) {
            return false;
        }
        let mut plain = match default {
            DefaultOperation::Replace => Plain::new(),
            _ => self.candidate.clone().unwrap_or_else(|| self.running.clone()),
        };
        let there = plain.contains_key(worker);
        match (op, default) {
            (Some(Op::Delete), _) if !there => return false,
            (Some(Op::Delete | Op::Remove), _) => _ = plain.remove(worker),
            (Some(Op::Create), _) if there => return false,
            (Some(Op::Create | Op::Replace), _) => _ = plain.insert(worker, weight),
            (None, DefaultOperation::None) if !there => return false,
            (None, DefaultOperation::None) => {}
            _ => {
                let entry = plain.entry(worker).or_default();
                *entry = weight.or(*entry);
            }
        }
        self.candidate = Some(plain);
        true
    }

    fn run(&mut self, plain: Plain) {
        self.running = plain.clone();
        self.versions.push(plain);
    }
}

fn drafts(schema: &Schema, worker: &str, op: Option<Op>, weight: Option<u32>) -> Vec<Draft> {
    let below = weight.map(|weight| {
        let path = Path::read(schema, "/workers/worker/weight").unwrap();
        let value = Some(Value::Decimal(i64::from(weight) * 10_000, 4));
        Draft { node: path.0[2].node, keys: vec![], value, op: None, line: 0, below: vec![] }
    });
    let path = Path::read(schema, &format!("/workers/worker[name='{worker}']")).unwrap();
    Draft::at(schema, &path, op, None, below.into_iter().collect())
}

fn plain(schema: &Schema, stores: &Datastores, store: Datastore) -> Plain {
    let intent = Intent::from_data(schema, stores.get(store));
    let known = |name: &String| WORKERS.into_iter().find(|worker| worker == name).unwrap();
    intent.workers.iter().map(|(name, wish)| (known(name), wish.weight.map(|weight| weight as u32))).collect()
}

#[test]
fn the_datastores_are_what_plain_maps_would_be() {
    let schema = Arc::new(schema());
    let all = proptest::collection::vec(step(), 1..60);
    let played = |steps: Vec<Step>| -> Result<(), TestCaseError> {
        let mut stores = Datastores::new(schema.clone(), 0.0, Data::default()).unwrap();
        let mut model = Model { versions: vec![Plain::new()], ..Model::default() };
        let mut now = 0.0;
        for step in steps {
            let told = format!("{step:?}");
            let name = |name: Option<u8>| name.map(|name| name.to_string());
            let (did, should) = match step {
                Step::Edit(session, worker, op, weight, default) => {
                    let worker = WORKERS[worker];
                    let drafts = drafts(&schema, worker, op, weight);
                    let edited = stores.edit_candidate(
                        Session(session),
                        &drafts,
                        default,
                        ErrorOption::RollbackOnError,
                    );
                    let did =
                        edited.and_then(|(data, _)| stores.put(Session(session), Datastore::Candidate, data));
                    (did.is_ok(), model.edit(session, worker, op, weight, default))
                }
                Step::Discard(session) => {
                    let free = model.free(Datastore::Candidate, session);
                    if free {
                        model.candidate = None;
                    }
                    (stores.discard(Session(session)).is_ok(), free)
                }
                Step::Commit(session, confirmed, persist, id) => {
                    let commit = Commit {
                        confirmed,
                        confirm_timeout: Some(500.0),
                        persist: name(persist),
                        persist_id: name(id),
                    };
                    let did = stores.propose_commit(Session(session), "x", commit);
                    let did = did.map(|proposal| stores.apply(now, proposal)).is_ok();
                    let may = model.free(Datastore::Running, session)
                        && model.free(Datastore::Candidate, session)
                        && model.answers(session, id);
                    if may {
                        let before = model.running.clone();
                        let candidate = model.candidate.take().unwrap_or_else(|| before.clone());
                        let known = model.waits.take();
                        if confirmed {
                            let (before, named) = known.map_or((before, None), |(b, _, name, _)| (b, name));
                            model.waits = Some((before, session, persist.or(named), now + 500.0));
                        }
                        model.run(candidate);
                    }
                    (did, may)
                }
                Step::Cancel(session, id) => {
                    let did = stores.propose_cancel(Session(session), name(id).as_deref());
                    let did = did.map(|proposal| stores.apply(now, proposal)).is_ok();
                    let may = model.waits.is_some() && model.answers(session, id);
                    if may {
                        let before = model.waits.take().unwrap().0;
                        model.run(before);
                    }
                    (did, may)
                }
                Step::Lock(session, store) => {
                    let changed = model.candidate.as_ref().is_some_and(|plain| *plain != model.running);
                    let waits = model.waits.as_ref().is_some_and(|(_, own, ..)| *own != session);
                    let taken = model.locks.contains_key(&store);
                    let barred = if store == Datastore::Candidate { changed } else { waits };
                    let may = !(taken || barred);
                    if may {
                        model.locks.insert(store, session);
                    }
                    (stores.lock(store, Session(session)).is_ok(), may)
                }
                Step::Unlock(session, store) => {
                    let may = model.locks.get(&store) == Some(&session);
                    if may {
                        model.locks.remove(&store);
                        if store == Datastore::Candidate {
                            model.candidate = None;
                        }
                    }
                    (stores.unlock(store, Session(session)).is_ok(), may)
                }
                Step::Version(session, back) => {
                    let number = model.versions.len().saturating_sub(back) as u64;
                    let found = stores.version_data(number).cloned();
                    let did = found
                        .and_then(|data| stores.put(Session(session), Datastore::Candidate, data))
                        .is_ok();
                    let kept = number >= 1 && model.versions.len() as u64 - number < 32;
                    let may = kept && model.free(Datastore::Candidate, session);
                    if may {
                        model.candidate = Some(model.versions[number as usize - 1].clone());
                    }
                    (did, may)
                }
                Step::End(session) => {
                    stores.end_session(now, Session(session));
                    if model.locks.get(&Datastore::Candidate) == Some(&session) {
                        model.candidate = None;
                    }
                    model.locks.retain(|_, holder| *holder != session);
                    if let Some((_, own, None, until)) = &mut model.waits {
                        *until = if *own == session { until.min(now) } else { *until };
                    }
                    (true, true)
                }
                Step::Wait(ms) => {
                    now += f64::from(ms);
                    (true, true)
                }
            };
            prop_assert_eq!(did, should, "{}", told);
            if let Some(due) = stores.due_rollback(now) {
                stores.apply(now, due);
            }
            if model.waits.as_ref().is_some_and(|(.., until)| now >= *until) {
                let before = model.waits.take().unwrap().0;
                model.run(before);
            }
            let candidate = model.candidate.clone().unwrap_or_else(|| model.running.clone());
            prop_assert_eq!(
                plain(&schema, &stores, Datastore::Running),
                model.running.clone(),
                "running after {}",
                told
            );
            prop_assert_eq!(
                plain(&schema, &stores, Datastore::Candidate),
                candidate,
                "candidate after {}",
                told
            );
            prop_assert_eq!(stores.version(), model.versions.len() as u64);
            prop_assert_eq!(stores.pending_confirmation().is_some(), model.waits.is_some());
        }
        Ok(())
    };
    runner(600).run(&all, played).unwrap();
}

/// What one source says next of the one worker.
#[derive(Clone, Copy, Debug)]
enum Word {
    Told(Phase, u8),
    Wished(DesiredState, Option<u8>),
    Forgotten,
}

#[test]
fn composition_never_brings_back_the_gone_nor_undoes_an_operators_departure() {
    let phase = prop_oneof![Just(Phase::Ready), Just(Phase::Draining), Just(Phase::Gone)];
    let wanted = prop_oneof![
        Just(DesiredState::Follow),
        Just(DesiredState::Ready),
        Just(DesiredState::Draining),
        Just(DesiredState::Out)
    ];
    let word = prop_oneof![
        4 => (phase, 0u8..3).prop_map(|(phase, weight)| Word::Told(phase, weight)),
        4 => (wanted, proptest::option::of(0u8..3)).prop_map(|(wanted, weight)| Word::Wished(wanted, weight)),
        1 => Just(Word::Forgotten),
    ];
    let (zone, machine, cell, worker) = (ZoneId(0), MachineId(0), CellId(0), WorkerId(0));
    let played = |words: Vec<Word>| -> Result<(), TestCaseError> {
        let mut composer = Composer::default();
        let (mut told, mut wish) = (None, WorkerIntent::default());
        for word in words {
            match word {
                Word::Told(phase, weight) => {
                    let weight = f64::from(weight);
                    composer.update_discovery(
                        "w",
                        WorkerEntry { worker, phase, booted: None, zone, machine, cell, weight },
                        None,
                    );
                    told = Some(phase);
                }
                Word::Wished(wanted, weight) => {
                    wish = WorkerIntent {
                        desired_state: wanted,
                        weight: weight.map(f64::from),
                        placement: None,
                    };
                    let workers = BTreeMap::from([("w".to_string(), wish.clone())]);
                    composer.update_intent(&Intent { workers, ..Intent::default() });
                }
                Word::Forgotten if told == Some(Phase::Gone) => {
                    composer.forget("w");
                    told = None;
                }
                Word::Forgotten => {}
            }
            let composed = composer.compose("w", |_| None);
            prop_assert_eq!(composed.is_some(), told.is_some());
            let Some(composed) = composed else { continue };
            let phase = composed.listed.phase;
            let departs = matches!(wish.desired_state, DesiredState::Draining | DesiredState::Out)
                || wish.weight == Some(0.0);
            prop_assert!(told != Some(Phase::Gone) || phase == Phase::Gone, "{:?}", word);
            prop_assert!(!departs || phase != Phase::Ready, "{:?}", word);
            prop_assert!(wish.desired_state != DesiredState::Out || phase == Phase::Gone, "{:?}", word);
            // Nobody departs whom no source sends away.
            prop_assert!(told != Some(Phase::Ready) || departs || phase == Phase::Ready, "{:?}", word);
            let sources =
                [Some(composed.phase_origin), composed.weight_origin, Some(composed.placement_origin)];
            prop_assert!(sources
                .iter()
                .flatten()
                .all(|source| ["discovery", "operator"].contains(&source.name())));
        }
        Ok(())
    };
    runner(2_000).run(&proptest::collection::vec(word, 1..40), played).unwrap();
}

#[test]
fn an_edit_that_is_refused_whole_changes_nothing_and_names_a_rule() {
    let schema = Arc::new(schema());
    let mut stores = Datastores::new(schema.clone(), 0.0, Data::default()).unwrap();
    let mut rng = fastrand::Rng::with_seed(17);
    let ops =
        [None, Some(Op::Merge), Some(Op::Replace), Some(Op::Create), Some(Op::Delete), Some(Op::Remove)];
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..3_000 {
        let many: Vec<Draft> = (0..rng.usize(1..4))
            .flat_map(|_| {
                let weight = rng.bool().then(|| rng.u32(0..4));
                drafts(&schema, WORKERS[rng.usize(..3)], ops[rng.usize(..6)], weight)
            })
            .collect();
        let before = stores.get(Datastore::Candidate).clone();
        match stores.edit_candidate(Session(1), &many, DefaultOperation::Merge, ErrorOption::RollbackOnError)
        {
            Ok((data, faults)) => {
                assert!(faults.is_empty());
                stores.put(Session(1), Datastore::Candidate, data).unwrap();
                taken += 1;
            }
            Err(DatastoreError::Faults(faults)) => {
                assert!(faults
                    .iter()
                    .all(|fault| matches!(fault.rule, Rule::DataExists | Rule::DataMissing)));
                assert_eq!(*stores.get(Datastore::Candidate), before);
                refused += 1;
            }
            Err(other) => panic!("{other}"),
        }
    }
    assert!(taken > 500 && refused > 500, "{taken} taken, {refused} refused");
}
