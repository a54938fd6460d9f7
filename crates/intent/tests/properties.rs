//! Property tests with random sequences: the datastores compared with a simple reference model, invariants of the
//! composition, and rejected edits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperrail_intent::*;
use juniperrail_interface::{CellId, MachineId, Phase, WorkerEntry, WorkerId, ZoneId};
use juniperrail_model::{schema, Data, EditNode, EditOperation, ErrorKind, Path, Schema, Value};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A test runner with a fixed seed, so that every run checks the same cases.
fn runner(cases: u32) -> TestRunner {
    let seed = [17; 32];
    println!("seed {}", u32::from_le_bytes([seed[0], seed[1], seed[2], seed[3]]));
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

const WORKERS: [&str; 3] = ["a", "b", "c"];

/// One operation on the datastores.
#[derive(Clone, Debug)]
enum Step {
    /// The session, the index of the worker, the operation, the weight and the default operation.
    Edit(u32, usize, Option<EditOperation>, Option<u32>, DefaultOperation),
    Discard(u32),
    /// The session, whether it is a confirmed commit, `persist` and `persist_id`.
    Commit(u32, bool, Option<u8>, Option<u8>),
    /// The session and `persist_id`.
    Cancel(u32, Option<u8>),
    Lock(u32, Datastore),
    Unlock(u32, Datastore),
    /// The session and the number of versions to go back.
    RestoreVersion(u32, usize),
    EndSession(u32),
    /// The time to wait in milliseconds.
    Wait(u32),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let operation = prop_oneof![
        Just(None),
        Just(Some(EditOperation::Merge)),
        Just(Some(EditOperation::Replace)),
        Just(Some(EditOperation::Create)),
        Just(Some(EditOperation::Delete)),
        Just(Some(EditOperation::Remove))
    ];
    let default_operation = prop_oneof![
        Just(DefaultOperation::Merge),
        Just(DefaultOperation::None),
        Just(DefaultOperation::Replace)
    ];
    let datastore = prop_oneof![Just(Datastore::Running), Just(Datastore::Candidate)];
    let session = 1u32..4;
    let persist = proptest::option::of(0u8..2);
    prop_oneof![
        8 => (session.clone(), 0usize..3, operation, proptest::option::of(0u32..4), default_operation)
            .prop_map(|(session, worker, operation, weight, default_operation)| {
                Step::Edit(session, worker, operation, weight, default_operation)
            }),
        1 => session.clone().prop_map(Step::Discard),
        5 => (session.clone(), any::<bool>(), persist.clone(), persist.clone())
            .prop_map(|(session, confirmed, persist, persist_id)| {
                Step::Commit(session, confirmed, persist, persist_id)
            }),
        1 => (session.clone(), persist).prop_map(|(session, persist_id)| Step::Cancel(session, persist_id)),
        1 => (session.clone(), datastore.clone()).prop_map(|(session, datastore)| Step::Lock(session, datastore)),
        1 => (session.clone(), datastore).prop_map(|(session, datastore)| Step::Unlock(session, datastore)),
        1 => (session.clone(), 0usize..6).prop_map(|(session, back)| Step::RestoreVersion(session, back)),
        1 => session.prop_map(Step::EndSession),
        2 => (1u32..800).prop_map(Step::Wait),
    ]
}

/// A configuration as a map from each worker to its weight, if it has one.
type Workers = BTreeMap<&'static str, Option<u32>>;

/// A confirmed commit of the reference model that awaits its confirmation.
struct PendingCommit {
    /// The configuration before the commit.
    before: Workers,
    owner: u32,
    persist: Option<u8>,
    deadline: f64,
    /// The sessions whose edits the commit includes, without those that committed.
    editors: BTreeSet<u32>,
}

/// The reference model of the datastores.
#[derive(Default)]
struct ReferenceModel {
    running: Workers,
    candidate: Option<Workers>,
    /// The sessions with edits in the candidate.
    editors: BTreeSet<u32>,
    /// The sessions with edits that another session undid, and whether a commit was refused for it.
    undone: BTreeMap<u32, bool>,
    locks: BTreeMap<Datastore, u32>,
    pending: Option<PendingCommit>,
    versions: Vec<Workers>,
}

impl ReferenceModel {
    /// Whether no other session has locked the datastore.
    fn is_free(&self, datastore: Datastore, session: u32) -> bool {
        self.locks.get(&datastore).is_none_or(|holder| *holder == session)
    }

    /// Whether a session that gives this persist id may confirm, extend or cancel the pending commit.
    fn may_resolve(&self, session: u32, persist_id: Option<u8>) -> bool {
        match (&self.pending, persist_id) {
            (None, None) => true,
            (None, Some(_)) => false,
            (Some(PendingCommit { owner, persist: None, .. }), None) => *owner == session,
            // A commit with a persist id needs that id: even its own session gets `WrongPersistId` without it.
            (Some(PendingCommit { persist: Some(_), .. }), None) => false,
            (Some(PendingCommit { persist, .. }), Some(persist_id)) => *persist == Some(persist_id),
        }
    }

    fn is_candidate_changed(&self) -> bool {
        self.candidate.as_ref().is_some_and(|workers| *workers != self.running)
    }

    /// Another session's edits are undone by `session`.
    fn undo(&mut self, session: u32, editors: BTreeSet<u32>) {
        self.undone
            .extend(editors.into_iter().filter(|editor| *editor != session).map(|editor| (editor, false)));
    }

    /// Another content, or none, replaces that of the candidate.
    fn replace_candidate(&mut self, session: u32, candidate: Option<Workers>) {
        let editors = std::mem::take(&mut self.editors);
        if self.is_candidate_changed() {
            self.undo(session, editors);
        }
        self.candidate = candidate;
    }

    /// A session that edits after a refused commit goes on without what was undone.
    fn record_edit(&mut self, session: u32) {
        self.undone.retain(|editor, reported| *editor != session || !*reported);
        self.editors.insert(session);
    }

    fn discard(&mut self, session: u32) {
        self.undone.remove(&session);
        self.replace_candidate(session, None);
    }

    /// Whether nothing that this session edited was undone by another one. If something was, that is reported.
    fn has_all_edits(&mut self, session: u32) -> bool {
        self.undone.get_mut(&session).map(|reported| *reported = true).is_none()
    }

    /// Edits the candidate. Returns false and changes nothing if the edit must fail.
    fn edit(
        &mut self,
        session: u32,
        worker: &'static str,
        operation: Option<EditOperation>,
        weight: Option<u32>,
        default_operation: DefaultOperation,
    ) -> bool {
        if !self.is_free(Datastore::Candidate, session) {
            return false;
        }
        let mut workers = match default_operation {
            DefaultOperation::Replace => Workers::new(),
            _ => self.candidate.clone().unwrap_or_else(|| self.running.clone()),
        };
        let exists = workers.contains_key(worker);
        match (operation, default_operation) {
            (Some(EditOperation::Delete), _) if !exists => return false,
            (Some(EditOperation::Delete | EditOperation::Remove), _) => _ = workers.remove(worker),
            (Some(EditOperation::Create), _) if exists => return false,
            (Some(EditOperation::Create | EditOperation::Replace), _) => _ = workers.insert(worker, weight),
            (None, DefaultOperation::None) if !exists => return false,
            (None, DefaultOperation::None) => {}
            _ => {
                let entry = workers.entry(worker).or_default();
                *entry = weight.or(*entry);
            }
        }
        match default_operation {
            DefaultOperation::Replace => self.replace_candidate(session, Some(workers)),
            _ => self.candidate = Some(workers),
        }
        self.record_edit(session);
        true
    }

    /// Makes the configuration running, as a new version.
    fn make_running(&mut self, workers: Workers) {
        self.running = workers.clone();
        self.versions.push(workers);
    }
}

/// An edit of one worker, with its weight if one is given.
fn edit_nodes(
    schema: &Schema,
    worker: &str,
    operation: Option<EditOperation>,
    weight: Option<u32>,
) -> Vec<EditNode> {
    let weight_node = weight.map(|weight| {
        let path = Path::parse(schema, "/workers/worker/weight").unwrap();
        let value = Some(Value::Decimal(i64::from(weight) * 10_000, 4));
        EditNode { node: path.0[2].node, keys: vec![], value, operation: None, line: 0, children: vec![] }
    });
    let path = Path::parse(schema, &format!("/workers/worker[name='{worker}']")).unwrap();
    EditNode::at_path(schema, &path, operation, None, weight_node.into_iter().collect())
}

/// The workers in a datastore with their weights, for comparison with the reference model.
fn workers_of(schema: &Schema, stores: &Datastores, datastore: Datastore) -> Workers {
    let intent = Intent::from_data(schema, stores.get(datastore));
    let worker_name = |name: &String| WORKERS.into_iter().find(|worker| worker == name).unwrap();
    intent
        .workers
        .iter()
        .map(|(name, worker)| (worker_name(name), worker.weight.map(|weight| weight as u32)))
        .collect()
}

#[test]
fn the_datastores_match_the_reference_model() {
    let schema = Arc::new(schema());
    let sequences = proptest::collection::vec(step_strategy(), 1..60);
    let check_sequence = |steps: Vec<Step>| -> Result<(), TestCaseError> {
        let mut stores = Datastores::new(schema.clone(), 0.0, Data::default()).unwrap();
        let mut model = ReferenceModel { versions: vec![Workers::new()], ..ReferenceModel::default() };
        let mut now = 0.0;
        for step in steps {
            let description = format!("{step:?}");
            let id_text = |id: Option<u8>| id.map(|id| id.to_string());
            let (succeeded, expected) = match step {
                Step::Edit(session, worker, operation, weight, default_operation) => {
                    let worker = WORKERS[worker];
                    let edit_nodes = edit_nodes(&schema, worker, operation, weight);
                    let edited = stores.edit_candidate(
                        Session(session),
                        &edit_nodes,
                        default_operation,
                        ErrorOption::RollbackOnError,
                    );
                    let stored = edited
                        .and_then(|(data, _)| stores.put_edited(Session(session), data, default_operation));
                    (stored.is_ok(), model.edit(session, worker, operation, weight, default_operation))
                }
                Step::Discard(session) => {
                    let is_allowed = model.is_free(Datastore::Candidate, session);
                    if is_allowed {
                        model.discard(session);
                    }
                    (stores.discard(Session(session)).is_ok(), is_allowed)
                }
                Step::Commit(session, confirmed, persist, persist_id) => {
                    let commit = Commit {
                        confirmed,
                        confirm_timeout: Some(500.0),
                        persist: id_text(persist),
                        persist_id: id_text(persist_id),
                    };
                    let proposal = stores.propose_commit(Session(session), "x", commit);
                    let applied = proposal.map(|proposal| stores.apply(now, proposal)).is_ok();
                    let is_allowed = model.is_free(Datastore::Running, session)
                        && model.is_free(Datastore::Candidate, session)
                        && model.may_resolve(session, persist_id)
                        && model.has_all_edits(session);
                    if is_allowed {
                        let before = model.running.clone();
                        let mut editors = std::mem::take(&mut model.editors);
                        let candidate = model.candidate.take().unwrap_or_else(|| before.clone());
                        let pending = model.pending.take();
                        if confirmed {
                            let (before, earlier_persist, earlier_editors) = match pending {
                                Some(earlier) => (earlier.before, earlier.persist, earlier.editors),
                                None => (before, None, BTreeSet::new()),
                            };
                            editors.extend(earlier_editors);
                            editors.remove(&session);
                            model.pending = Some(PendingCommit {
                                before,
                                owner: session,
                                persist: persist.or(earlier_persist),
                                deadline: now + 500.0,
                                editors,
                            });
                        }
                        model.make_running(candidate);
                    }
                    (applied, is_allowed)
                }
                Step::Cancel(session, persist_id) => {
                    let proposal = stores.propose_cancel(Session(session), id_text(persist_id).as_deref());
                    let applied = proposal.map(|proposal| stores.apply(now, proposal)).is_ok();
                    let is_allowed = model.pending.is_some() && model.may_resolve(session, persist_id);
                    if is_allowed {
                        let PendingCommit { before, editors, .. } = model.pending.take().unwrap();
                        model.undo(session, editors);
                        model.make_running(before);
                    }
                    (applied, is_allowed)
                }
                Step::Lock(session, datastore) => {
                    let changed = model.is_candidate_changed();
                    let pending_elsewhere =
                        model.pending.as_ref().is_some_and(|pending| pending.owner != session);
                    let locked = model.locks.contains_key(&datastore);
                    let denied = if datastore == Datastore::Candidate { changed } else { pending_elsewhere };
                    let is_allowed = !(locked || denied);
                    if is_allowed {
                        model.locks.insert(datastore, session);
                    }
                    (stores.lock(datastore, Session(session)).is_ok(), is_allowed)
                }
                Step::Unlock(session, datastore) => {
                    let is_allowed = model.locks.get(&datastore) == Some(&session);
                    if is_allowed {
                        model.locks.remove(&datastore);
                        if datastore == Datastore::Candidate {
                            model.discard(session);
                        }
                    }
                    (stores.unlock(datastore, Session(session)).is_ok(), is_allowed)
                }
                Step::RestoreVersion(session, back) => {
                    let number = model.versions.len().saturating_sub(back) as u64;
                    let found = stores.version_data(number).cloned();
                    let stored = found
                        .and_then(|data| stores.put(Session(session), Datastore::Candidate, data))
                        .is_ok();
                    // The datastores keep the last 32 versions.
                    let is_retained = number >= 1 && model.versions.len() as u64 - number < 32;
                    let is_allowed = is_retained && model.is_free(Datastore::Candidate, session);
                    if is_allowed {
                        model.replace_candidate(session, Some(model.versions[number as usize - 1].clone()));
                        model.record_edit(session);
                    }
                    (stored, is_allowed)
                }
                Step::EndSession(session) => {
                    stores.end_session(now, Session(session));
                    if model.locks.get(&Datastore::Candidate) == Some(&session) {
                        model.discard(session);
                    }
                    model.editors.remove(&session);
                    model.undone.remove(&session);
                    if let Some(pending) = &mut model.pending {
                        pending.editors.remove(&session);
                    }
                    model.locks.retain(|_, holder| *holder != session);
                    if let Some(PendingCommit { owner, persist: None, deadline, .. }) = &mut model.pending {
                        *deadline = if *owner == session { deadline.min(now) } else { *deadline };
                    }
                    (true, true)
                }
                Step::Wait(ms) => {
                    now += f64::from(ms);
                    (true, true)
                }
            };
            prop_assert_eq!(succeeded, expected, "{}", description);
            if let Some(rollback) = stores.due_rollback(now) {
                stores.apply(now, rollback);
            }
            if model.pending.as_ref().is_some_and(|pending| now >= pending.deadline) {
                let PendingCommit { before, editors, owner, .. } = model.pending.take().unwrap();
                model.undo(owner, editors);
                model.make_running(before);
            }
            let candidate = model.candidate.clone().unwrap_or_else(|| model.running.clone());
            prop_assert_eq!(
                workers_of(&schema, &stores, Datastore::Running),
                model.running.clone(),
                "running after {}",
                description
            );
            prop_assert_eq!(
                workers_of(&schema, &stores, Datastore::Candidate),
                candidate,
                "candidate after {}",
                description
            );
            prop_assert_eq!(stores.version(), model.versions.len() as u64);
            prop_assert_eq!(stores.pending_confirmation().is_some(), model.pending.is_some());
        }
        Ok(())
    };
    runner(600).run(&sequences, check_sequence).unwrap();
}

/// An update of the only worker.
#[derive(Clone, Copy, Debug)]
enum Update {
    Discovery(Phase, u8),
    Operator(DesiredState, Option<u8>),
    /// The planner removed the worker; applied only if discovery reported it gone.
    Forgotten,
}

#[test]
fn composition_never_brings_back_a_gone_worker_nor_undoes_a_departure_set_by_the_operator() {
    let phase = prop_oneof![Just(Phase::Ready), Just(Phase::Draining), Just(Phase::Gone)];
    let desired_state = prop_oneof![
        Just(DesiredState::Follow),
        Just(DesiredState::Ready),
        Just(DesiredState::Draining),
        Just(DesiredState::Out)
    ];
    let update = prop_oneof![
        4 => (phase, 0u8..3).prop_map(|(phase, weight)| Update::Discovery(phase, weight)),
        4 => (desired_state, proptest::option::of(0u8..3))
            .prop_map(|(desired_state, weight)| Update::Operator(desired_state, weight)),
        1 => Just(Update::Forgotten),
    ];
    let (zone, machine, cell, worker) = (ZoneId(0), MachineId(0), CellId(0), WorkerId(0));
    let check_sequence = |updates: Vec<Update>| -> Result<(), TestCaseError> {
        let mut composer = Composer::default();
        let (mut discovered, mut worker_intent) = (None, WorkerIntent::default());
        for update in updates {
            match update {
                Update::Discovery(phase, weight) => {
                    let weight = f64::from(weight);
                    composer.update_discovery(
                        "w",
                        WorkerEntry { worker, phase, started_at: None, zone, machine, cell, weight },
                        None,
                    );
                    discovered = Some(phase);
                }
                Update::Operator(desired_state, weight) => {
                    worker_intent =
                        WorkerIntent { desired_state, weight: weight.map(f64::from), placement: None };
                    let workers = BTreeMap::from([("w".to_string(), worker_intent.clone())]);
                    composer.update_intent(&Intent { workers, ..Intent::default() }, IntentChange::Commit);
                }
                Update::Forgotten if discovered == Some(Phase::Gone) => {
                    composer.forget("w");
                    discovered = None;
                }
                Update::Forgotten => {}
            }
            let composed = composer.compose("w", |_| None);
            prop_assert_eq!(composed.is_some(), discovered.is_some());
            let Some(composed) = composed else { continue };
            let phase = composed.entry.phase;
            let departs = matches!(worker_intent.desired_state, DesiredState::Draining | DesiredState::Out)
                || worker_intent.weight == Some(0.0);
            prop_assert!(discovered != Some(Phase::Gone) || phase == Phase::Gone, "{:?}", update);
            prop_assert!(!departs || phase != Phase::Ready, "{:?}", update);
            prop_assert!(
                worker_intent.desired_state != DesiredState::Out || phase == Phase::Gone,
                "{:?}",
                update
            );
            // A worker that discovery reports as ready departs only if the operator configures it.
            prop_assert!(
                discovered != Some(Phase::Ready) || departs || phase == Phase::Ready,
                "{:?}",
                update
            );
            let origins =
                [Some(composed.phase_origin), composed.weight_origin, Some(composed.placement_origin)];
            prop_assert!(origins
                .iter()
                .flatten()
                .all(|origin| ["discovery", "operator"].contains(&origin.name())));
        }
        Ok(())
    };
    runner(2_000).run(&proptest::collection::vec(update, 1..40), check_sequence).unwrap();
}

#[test]
fn a_rejected_edit_changes_nothing_and_reports_existing_or_missing_data() {
    let schema = Arc::new(schema());
    let mut stores = Datastores::new(schema.clone(), 0.0, Data::default()).unwrap();
    let mut rng = fastrand::Rng::with_seed(17);
    let operations = [
        None,
        Some(EditOperation::Merge),
        Some(EditOperation::Replace),
        Some(EditOperation::Create),
        Some(EditOperation::Delete),
        Some(EditOperation::Remove),
    ];
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..3_000 {
        let edit: Vec<EditNode> = (0..rng.usize(1..4))
            .flat_map(|_| {
                let weight = rng.bool().then(|| rng.u32(0..4));
                edit_nodes(&schema, WORKERS[rng.usize(..3)], operations[rng.usize(..6)], weight)
            })
            .collect();
        let before = stores.get(Datastore::Candidate).clone();
        match stores.edit_candidate(Session(1), &edit, DefaultOperation::Merge, ErrorOption::RollbackOnError)
        {
            Ok((data, errors)) => {
                assert!(errors.is_empty());
                stores.put_edited(Session(1), data, DefaultOperation::Merge).unwrap();
                accepted += 1;
            }
            Err(DatastoreError::Invalid(errors)) => {
                assert!(errors
                    .iter()
                    .all(|error| matches!(error.kind, ErrorKind::DataExists | ErrorKind::DataMissing)));
                assert_eq!(*stores.get(Datastore::Candidate), before);
                rejected += 1;
            }
            Err(other) => panic!("{other}"),
        }
    }
    assert!(accepted > 500 && rejected > 500, "{accepted} accepted, {rejected} rejected");
}
