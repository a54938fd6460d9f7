use super::*;
use juniperrail_model::{schema, xml};

const ANN: Session = Session(1);
const BOB: Session = Session(2);

fn stores() -> Datastores {
    Datastores::new(Arc::new(schema()), 0.0, Data::default()).unwrap()
}

fn edit_nodes(weight: u32) -> Vec<EditNode> {
    let text = format!(
        "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\"><worker><name>s-1</name>\
         <weight>{weight}</weight></worker></workers>"
    );
    xml::to_edit_nodes(&schema(), &[xml::parse(text.as_bytes()).unwrap()], true).unwrap()
}

impl Datastores {
    /// Sets the weight of the worker `s-1` in the candidate.
    fn set_candidate_weight(&mut self, session: Session, weight: u32) -> Result<(), DatastoreError> {
        let (data, _) = self.edit_candidate(
            session,
            &edit_nodes(weight),
            DefaultOperation::Merge,
            ErrorOption::RollbackOnError,
        )?;
        self.put_edited(session, data, DefaultOperation::Merge)
    }

    /// Commits the candidate and applies the proposal without admission checks.
    fn commit(&mut self, now: Ms, session: Session, commit: Commit) -> Result<CommitOutcome, DatastoreError> {
        let proposal = self.propose_commit(session, "ann", commit)?;
        Ok(self.apply(now, proposal))
    }

    /// The weight of the worker `s-1`.
    fn weight(&self, datastore: Datastore) -> Option<f64> {
        Intent::from_data(&self.schema, self.get(datastore))
            .workers
            .get("s-1")
            .and_then(|worker| worker.weight)
    }
}

fn confirmed(persist: Option<&str>) -> Commit {
    Commit {
        confirmed: true,
        confirm_timeout: Some(1000.0),
        persist: persist.map(str::to_string),
        persist_id: None,
    }
}

fn confirming(persist_id: Option<&str>) -> Commit {
    Commit { persist_id: persist_id.map(str::to_string), ..Commit::default() }
}

#[test]
fn a_commit_makes_the_candidate_running_and_a_dropped_proposal_changes_nothing() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 2).unwrap();
    assert_eq!((stores.weight(Datastore::Candidate), stores.weight(Datastore::Running)), (Some(2.0), None));
    let proposal = stores.propose_commit(ANN, "ann", Commit::default()).unwrap();
    drop(proposal);
    assert_eq!((stores.weight(Datastore::Candidate), stores.version()), (Some(2.0), 1));
    assert_eq!(stores.commit(5.0, ANN, Commit::default()).unwrap().number, 2);
    stores.set_candidate_weight(ANN, 3).unwrap();
    stores.discard(ANN).unwrap();
    assert_eq!(stores.weight(Datastore::Candidate), Some(2.0));
    assert!(matches!(
        stores.put(ANN, Datastore::Running, Data::default()),
        Err(DatastoreError::Unsupported(_))
    ));
    let first = stores.version_data(1).unwrap().clone();
    stores.put(ANN, Datastore::Candidate, first).unwrap();
    stores.commit(6.0, ANN, Commit::default()).unwrap();
    assert_eq!((stores.weight(Datastore::Running), stores.version()), (None, 3));
    assert_eq!(stores.version_data(9), Err(DatastoreError::UnknownVersion(9)));
    (0..100).for_each(|_| _ = stores.commit(7.0, ANN, Commit::default()));
    assert_eq!((stores.versions().count(), stores.version()), (MAX_VERSIONS, 103));
}

#[test]
fn locks_exclude_other_sessions_and_name_their_holder() {
    let mut stores = stores();
    stores.lock(Datastore::Candidate, ANN).unwrap();
    stores.lock(Datastore::Running, ANN).unwrap();
    assert_eq!(stores.lock(Datastore::Candidate, BOB), Err(DatastoreError::LockDenied(ANN)));
    assert_eq!(
        stores.lock(Datastore::Candidate, ANN),
        Err(DatastoreError::LockDenied(ANN)),
        "not even the holder can lock it again"
    );
    assert_eq!(stores.set_candidate_weight(BOB, 1), Err(DatastoreError::InUse(ANN)));
    assert_eq!(stores.discard(BOB), Err(DatastoreError::InUse(ANN)));
    assert_eq!(stores.propose_commit(BOB, "bob", Commit::default()), Err(DatastoreError::InUse(ANN)));
    assert_eq!(stores.unlock(Datastore::Candidate, BOB), Err(DatastoreError::NotLocked));
    stores.set_candidate_weight(ANN, 1).unwrap();
    stores.unlock(Datastore::Candidate, ANN).unwrap();
    assert_eq!(stores.weight(Datastore::Candidate), None, "its changes are discarded with the lock");
    stores.set_candidate_weight(BOB, 4).unwrap();
    assert_eq!(stores.lock(Datastore::Candidate, ANN), Err(DatastoreError::CandidateChanged));
    assert_eq!(
        stores.commit(0.0, BOB, Commit::default()),
        Err(DatastoreError::InUse(ANN)),
        "ann has locked running"
    );
    stores.end_session(0.0, ANN);
    stores.commit(0.0, BOB, Commit::default()).unwrap();
    stores.lock(Datastore::Candidate, ANN).unwrap();
    stores.set_candidate_weight(ANN, 9).unwrap();
    stores.end_session(1.0, ANN);
    assert_eq!(
        (stores.lock_holder(Datastore::Candidate), stores.weight(Datastore::Candidate)),
        (None, Some(4.0))
    );
}

#[test]
fn two_sessions_edit_one_candidate_and_the_first_commit_includes_both_edits() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 1).unwrap();
    stores.set_candidate_weight(BOB, 2).unwrap();
    stores.commit(0.0, ANN, Commit::default()).unwrap();
    assert_eq!(stores.weight(Datastore::Running), Some(2.0), "the later edit of the one candidate wins");
    let proposal = stores.propose_commit(BOB, "bob", Commit::default()).unwrap();
    assert_eq!(proposal.data, *stores.get(Datastore::Running), "nothing is left to commit");
}

#[test]
fn a_confirmed_commit_is_rolled_back_unless_it_is_confirmed_in_time() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 1).unwrap();
    stores.commit(0.0, ANN, Commit::default()).unwrap();
    stores.set_candidate_weight(ANN, 2).unwrap();
    assert_eq!(stores.commit(10.0, ANN, confirmed(None)).unwrap().confirm_deadline, Some(1010.0));
    assert_eq!((stores.weight(Datastore::Running), stores.due_rollback(1009.0)), (Some(2.0), None));
    // A second confirmed commit restarts the timeout; the rollback still returns to the version before the first.
    stores.set_candidate_weight(ANN, 3).unwrap();
    stores.commit(500.0, ANN, confirmed(None)).unwrap();
    assert_eq!(stores.next_deadline(), Some(1500.0));
    stores.lock(Datastore::Running, ANN).unwrap();
    let due = stores.due_rollback(1500.0).unwrap();
    stores.apply(1500.0, due);
    assert_eq!(
        (stores.weight(Datastore::Running), stores.pending_confirmation()),
        (Some(1.0), None),
        "a lock on running does not prevent the rollback"
    );
    assert!(stores.versions().last().unwrap().author.contains("roll-back of ann"));
    stores.set_candidate_weight(ANN, 4).unwrap();
    stores.commit(2000.0, ANN, confirmed(None)).unwrap();
    stores.commit(2500.0, ANN, Commit::default()).unwrap();
    assert_eq!((stores.due_rollback(99_999.0), stores.weight(Datastore::Running)), (None, Some(4.0)));
}

#[test]
fn a_confirmed_commit_needs_its_session_or_its_persist_id_to_be_confirmed() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 2).unwrap();
    stores.commit(0.0, ANN, confirmed(None)).unwrap();
    assert_eq!(
        stores.propose_commit(BOB, "bob", Commit::default()),
        Err(DatastoreError::ConfirmedCommitPending(ANN))
    );
    assert_eq!(stores.propose_commit(BOB, "bob", confirming(Some("x"))), Err(DatastoreError::WrongPersistId));
    assert_eq!(stores.lock(Datastore::Running, BOB), Err(DatastoreError::LockDenied(ANN)));
    assert_eq!(stores.propose_cancel(BOB, None).unwrap_err(), DatastoreError::ConfirmedCommitPending(ANN));
    let rollback = stores.propose_cancel(ANN, None).unwrap();
    stores.apply(1.0, rollback);
    assert_eq!(
        (stores.weight(Datastore::Running), stores.propose_cancel(ANN, None)),
        (None, Err(DatastoreError::NoConfirmedCommitPending))
    );
    assert_eq!(
        stores.propose_commit(BOB, "bob", confirming(Some("x"))),
        Err(DatastoreError::NoConfirmedCommitPending)
    );
    stores.set_candidate_weight(ANN, 3).unwrap();
    stores.commit(2.0, ANN, confirmed(Some("night"))).unwrap();
    stores.end_session(3.0, ANN);
    assert_eq!(stores.due_rollback(4.0), None, "a commit with a persist id outlives its session");
    assert_eq!(
        stores.propose_commit(BOB, "bob", Commit::default()),
        Err(DatastoreError::ConfirmedCommitPending(ANN))
    );
    assert_eq!(
        stores.propose_commit(BOB, "bob", confirming(Some("day"))),
        Err(DatastoreError::WrongPersistId)
    );
    stores.commit(5.0, BOB, confirming(Some("night"))).unwrap();
    assert_eq!((stores.weight(Datastore::Running), stores.pending_confirmation()), (Some(3.0), None));
}

#[test]
fn the_end_of_a_session_makes_its_rollback_due_at_once() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 2).unwrap();
    stores.commit(0.0, ANN, confirmed(None)).unwrap();
    stores.lock(Datastore::Candidate, BOB).unwrap();
    stores.end_session(10.0, ANN);
    let due =
        stores.due_rollback(10.0).expect("due at once, even if another session has locked the candidate");
    stores.apply(10.0, due);
    assert_eq!(
        (stores.weight(Datastore::Running), stores.lock_holder(Datastore::Candidate)),
        (None, Some(BOB))
    );
}

#[test]
fn a_refused_rollback_is_retried() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 2).unwrap();
    stores.commit(0.0, ANN, confirmed(Some("x"))).unwrap();
    assert!(stores.due_rollback(1000.0).is_some());
    stores.postpone_rollback(1000.0, "lookup would have no ready, warm worker".into());
    assert!(stores.due_rollback(1500.0).is_none() && stores.due_rollback(2000.0).is_some());
    assert!(stores.pending_confirmation().unwrap().1.unwrap().contains("lookup"));
    stores.commit(2100.0, BOB, confirming(Some("x"))).unwrap();
    assert_eq!(
        (stores.due_rollback(9e9), stores.weight(Datastore::Running)),
        (None, Some(2.0)),
        "the commit can still be confirmed after its rollback was refused"
    );
}

#[test]
fn after_a_restart_running_is_startup_and_no_commit_is_pending() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 2).unwrap();
    stores.commit(0.0, ANN, Commit::default()).unwrap();
    let running = stores.get(Datastore::Running).clone();
    stores.put(ANN, Datastore::Startup, running).unwrap();
    stores.set_candidate_weight(ANN, 3).unwrap();
    stores.commit(0.0, ANN, confirmed(Some("x"))).unwrap();
    let restarted = Datastores::new(Arc::new(schema()), 9.0, stores.get(Datastore::Startup).clone()).unwrap();
    assert_eq!((restarted.weight(Datastore::Running), restarted.pending_confirmation()), (Some(2.0), None));
}

#[test]
fn constraints_that_types_cannot_express_are_checked_before_a_commit() {
    let mut stores = stores();
    let northbound = |body: &str| {
        let text =
            format!("<northbound xmlns=\"tag:juniperrail.example,2026:yang:manager\">{body}</northbound>");
        xml::to_edit_nodes(&schema(), &[xml::parse(text.as_bytes()).unwrap()], true).unwrap()
    };
    let ssh = "<netconf><ssh><listen>127.0.0.1:0</listen><host-key>k</host-key></ssh></netconf>";
    let incomplete_ssh = "<netconf><ssh><listen>127.0.0.1:0</listen></ssh></netconf><user><name>a</name><role>admin</role></user>";
    let rule = "<rule><number>1</number><path>/nothing</path><action>deny</action></rule>";
    let client = format!(
        "<netconf><tls><listen>127.0.0.1:0</listen><certificate>c</certificate><key>k</key>\
         <client-authorities>a</client-authorities><client><fingerprint>{}</fingerprint></client></tls></netconf>\
         <user><name>a</name><role>admin</role></user>",
        "a0".repeat(32)
    );
    for (body, message) in [
        (ssh, "without a user whose role is admin"),
        (incomplete_ssh, "host-key is missing"),
        (rule, "there is no \"nothing\""),
        (&client, "no user is given"),
    ] {
        let (data, _) = stores
            .edit_candidate(ANN, &northbound(body), DefaultOperation::Merge, ErrorOption::RollbackOnError)
            .unwrap();
        stores.put(ANN, Datastore::Candidate, data).unwrap();
        let error = stores.propose_commit(ANN, "ann", Commit::default()).unwrap_err();
        assert!(error.to_string().contains(message), "{error}");
        stores.discard(ANN).unwrap();
    }
}

/// Guards against a commit that succeeds although another session has discarded what it was to commit.
#[test]
fn a_commit_is_refused_while_another_session_has_undone_its_edits() {
    let undone_by_bob = Err(DatastoreError::EditsUndone(BOB));
    let undo_by_discard = |stores: &mut Datastores| stores.discard(BOB).unwrap();
    let undo_by_version = |stores: &mut Datastores| {
        let first = stores.version_data(1).unwrap().clone();
        stores.put(BOB, Datastore::Candidate, first).unwrap();
    };
    let undo_by_rollback = |stores: &mut Datastores| {
        stores.commit(0.0, BOB, confirmed(None)).unwrap();
        let rollback = stores.due_rollback(1000.0).unwrap();
        stores.apply(1000.0, rollback);
    };
    let ways_to_undo: [&dyn Fn(&mut Datastores); 3] = [&undo_by_discard, &undo_by_version, &undo_by_rollback];
    for undo in ways_to_undo {
        let mut stores = stores();
        stores.set_candidate_weight(ANN, 2).unwrap();
        undo(&mut stores);
        for _ in 0..2 {
            let refused = stores.propose_commit(ANN, "ann", Commit::default()).map(drop);
            assert_eq!(refused, undone_by_bob, "also when it is tried again");
        }
        stores.set_candidate_weight(ANN, 3).unwrap();
        stores.commit(2000.0, ANN, Commit::default()).unwrap();
        assert_eq!(stores.weight(Datastore::Running), Some(3.0));
        stores.set_candidate_weight(ANN, 4).unwrap();
        stores.set_candidate_weight(BOB, 5).unwrap();
        undo(&mut stores);
        stores.discard(ANN).unwrap();
        stores.commit(3000.0, ANN, Commit::default()).unwrap();
    }
}

/// Guards against the same loss where edits are prepared in one session and committed in a later one.
#[test]
fn undone_edits_of_an_ended_session_refuse_the_commit_of_a_later_session_of_its_user() {
    const ANN_AGAIN: Session = Session(3);
    for ends_first in [false, true] {
        let mut stores = stores();
        stores.open_session(ANN, "ann");
        stores.open_session(BOB, "bob");
        stores.set_candidate_weight(ANN, 2).unwrap();
        if ends_first {
            stores.end_session(0.0, ANN);
        }
        stores.discard(BOB).unwrap();
        stores.end_session(0.0, ANN);
        stores.open_session(ANN_AGAIN, "ann");
        assert_eq!(stores.commit(1.0, ANN_AGAIN, Commit::default()), Err(DatastoreError::EditsUndone(BOB)));
        stores.commit(1.0, BOB, Commit::default()).unwrap();
        stores.discard(ANN_AGAIN).unwrap();
        stores.commit(2.0, ANN_AGAIN, Commit::default()).unwrap();
    }
}

#[test]
fn edits_that_are_running_or_changed_nothing_cannot_be_undone() {
    let mut stores = stores();
    stores.set_candidate_weight(ANN, 2).unwrap();
    stores.commit(0.0, BOB, Commit::default()).unwrap();
    stores.set_candidate_weight(ANN, 2).unwrap();
    stores.discard(BOB).unwrap();
    stores.commit(0.0, ANN, Commit::default()).unwrap();
    assert_eq!(stores.weight(Datastore::Running), Some(2.0));
}
