//! The datastores: running, candidate and startup (RFC 6241 sections 5.1, 8.3 and 8.7), locks, versions, and
//! confirmed commits (8.4). A commit is proposed here, judged elsewhere against the world, and concluded here; a
//! proposal that is refused leaves everything as it was.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use juniperrail_interface::Ms;
use juniperrail_model::{Data, Draft, Fault, Schema, View};

use crate::access::AccessControl;
use crate::edit::{edit_config, DefaultOperation, ErrorOption};
use crate::judge::Refusal;
use crate::want::Intent;

/// Versions of running that can be gone back to.
const KEPT: usize = 32;
/// A confirmed commit that tells no time-out waits so long (RFC 6241 section 8.4.1), and none may wait longer.
const CONFIRM_WITHIN: Ms = 600_000.0;
const LONGEST_CONFIRM: Ms = 86_400_000.0;
/// A roll-back that the world does not bear is tried again so often.
const AGAIN: Ms = 1_000.0;

/// Who speaks: one session of whatever protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

/// Why something is not done.
#[derive(Clone, Debug, PartialEq)]
pub enum DatastoreError {
    /// It does not fit the model.
    Faults(Vec<Fault>),
    /// The world does not bear it.
    NotAdmitted(Vec<Refusal>),
    /// Another session holds the lock.
    LockDenied(Session),
    InUse(Session),
    /// The candidate holds changes, so that it cannot be locked.
    CandidateChanged,
    NotLocked,
    /// Another session's confirmed commit waits for its confirmation.
    ConfirmedCommitPending(Session),
    NoConfirmedCommitPending,
    WrongPersistId,
    UnknownVersion(u64),
    /// The user may not touch this place.
    AccessDenied(String),
    Unsupported(&'static str),
}

impl fmt::Display for DatastoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each = |f: &mut fmt::Formatter<'_>, all: &[&dyn fmt::Display]| {
            all.iter().enumerate().try_for_each(|(place, one)| {
                if place > 0 {
                    f.write_str("; ")?;
                }
                one.fmt(f)
            })
        };
        match self {
            DatastoreError::Faults(faults) => {
                each(f, &faults.iter().map(|one| one as &dyn fmt::Display).collect::<Vec<_>>())
            }
            DatastoreError::NotAdmitted(why) => {
                each(f, &why.iter().map(|one| one as &dyn fmt::Display).collect::<Vec<_>>())
            }
            DatastoreError::LockDenied(by) => write!(f, "session {} holds the lock", by.0),
            DatastoreError::InUse(by) => write!(f, "session {} has it locked", by.0),
            DatastoreError::CandidateChanged => {
                f.write_str("the candidate holds changes: commit or discard them first")
            }
            DatastoreError::NotLocked => f.write_str("this session does not hold that lock"),
            DatastoreError::ConfirmedCommitPending(by) => {
                write!(f, "a confirmed commit of session {} waits for its confirmation", by.0)
            }
            DatastoreError::NoConfirmedCommitPending => f.write_str("no confirmed commit waits"),
            DatastoreError::WrongPersistId => {
                f.write_str("the persist-id is not that of the confirmed commit that waits")
            }
            DatastoreError::UnknownVersion(number) => write!(f, "version {number} is not known, or no more"),
            DatastoreError::AccessDenied(path) => write!(f, "this user may not touch {path}"),
            DatastoreError::Unsupported(what) => f.write_str(what),
        }
    }
}

/// What a commit asks for, RFC 6241 section 8.4.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// It is undone unless it is confirmed in time.
    pub confirmed: bool,
    pub confirm_timeout: Option<Ms>,
    /// The name under which any session may confirm or cancel it.
    pub persist: Option<String>,
    /// The name of the confirmed commit that this one confirms or carries on.
    pub persist_id: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
enum Kind {
    Commit(Commit),
    /// Back to what was before the confirmed commit.
    RollBack,
}

/// What running would become. It is judged, then concluded or dropped.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    kind: Kind,
    session: Session,
    pub author: String,
    /// The version that running would have.
    pub number: u64,
    pub data: Data,
    pub intent: Intent,
}

/// What a proposal became.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitOutcome {
    pub number: u64,
    /// Its confirmation is waited for until then.
    pub confirm_deadline: Option<Ms>,
}

#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub at: Ms,
    pub author: String,
    pub data: Data,
}

#[derive(Debug)]
struct Unconfirmed {
    before: Data,
    session: Session,
    by: String,
    persist: Option<String>,
    until: Ms,
    /// Why the roll-back that is due is not yet made.
    overdue: Option<String>,
}

#[derive(Debug)]
pub struct Datastores {
    schema: Arc<Schema>,
    running: Data,
    /// `None` while it is as running.
    candidate: Option<Data>,
    startup: Data,
    locks: BTreeMap<Datastore, Session>,
    unconfirmed: Option<Unconfirmed>,
    versions: VecDeque<Version>,
}

impl Datastores {
    /// Running starts as startup is.
    pub fn new(schema: Arc<Schema>, now: Ms, startup: Data) -> Result<Datastores, DatastoreError> {
        check(&schema, &startup)?;
        let first = Version { number: 1, at: now, author: "startup".into(), data: startup.clone() };
        Ok(Datastores {
            schema,
            running: startup.clone(),
            candidate: None,
            startup,
            locks: BTreeMap::new(),
            unconfirmed: None,
            versions: VecDeque::from([first]),
        })
    }

    pub fn get(&self, store: Datastore) -> &Data {
        match store {
            Datastore::Running => &self.running,
            Datastore::Candidate => self.candidate.as_ref().unwrap_or(&self.running),
            Datastore::Startup => &self.startup,
        }
    }

    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        self.versions.iter()
    }

    pub fn version(&self) -> u64 {
        self.versions.back().map_or(0, |version| version.number)
    }

    pub fn lock_holder(&self, store: Datastore) -> Option<Session> {
        self.locks.get(&store).copied()
    }

    /// Until when a confirmed commit waits, and why its roll-back is not made if that is overdue.
    pub fn pending_confirmation(&self) -> Option<(Ms, Option<&str>)> {
        self.unconfirmed.as_ref().map(|waits| (waits.until, waits.overdue.as_deref()))
    }

    fn free(&self, store: Datastore, session: Session) -> Result<(), DatastoreError> {
        match self.lock_holder(store) {
            Some(holder) if holder != session => Err(DatastoreError::InUse(holder)),
            _ => Ok(()),
        }
    }

    /// Section 7.5. A lock is not given on a changed candidate, nor on running while another session's confirmed
    /// commit waits.
    pub fn lock(&mut self, store: Datastore, session: Session) -> Result<(), DatastoreError> {
        if let Some(holder) = self.lock_holder(store) {
            return Err(DatastoreError::LockDenied(holder));
        }
        let changed = self.candidate.as_ref().is_some_and(|candidate| *candidate != self.running);
        if store == Datastore::Candidate && changed {
            return Err(DatastoreError::CandidateChanged);
        }
        if let Some(waits) =
            self.unconfirmed.as_ref().filter(|w| store == Datastore::Running && w.session != session)
        {
            return Err(DatastoreError::LockDenied(waits.session));
        }
        self.locks.insert(store, session);
        Ok(())
    }

    /// Section 7.6. With its lock, the candidate's changes go as well (8.3.5.2).
    pub fn unlock(&mut self, store: Datastore, session: Session) -> Result<(), DatastoreError> {
        if self.lock_holder(store) != Some(session) {
            return Err(DatastoreError::NotLocked);
        }
        self.locks.remove(&store);
        if store == Datastore::Candidate {
            self.candidate = None;
        }
        Ok(())
    }

    /// What the candidate would be after an edit; nothing is changed yet.
    pub fn edit_candidate(
        &self,
        session: Session,
        drafts: &[Draft],
        default: DefaultOperation,
        errors: ErrorOption,
    ) -> Result<(Data, Vec<Fault>), DatastoreError> {
        self.free(Datastore::Candidate, session)?;
        let (edited, faults) =
            edit_config(&self.schema, self.get(Datastore::Candidate), drafts, default, errors);
        match errors {
            ErrorOption::RollbackOnError if !faults.is_empty() => Err(DatastoreError::Faults(faults)),
            _ => Ok((edited, faults)),
        }
    }

    /// Puts whole data into the candidate or startup.
    pub fn put(&mut self, session: Session, store: Datastore, data: Data) -> Result<(), DatastoreError> {
        self.free(store, session)?;
        match store {
            Datastore::Candidate => self.candidate = Some(data),
            Datastore::Startup => {
                check(&self.schema, &data)?;
                self.startup = data;
            }
            Datastore::Running => {
                return Err(DatastoreError::Unsupported("running changes by commits alone"))
            }
        }
        Ok(())
    }

    pub fn discard(&mut self, session: Session) -> Result<(), DatastoreError> {
        self.free(Datastore::Candidate, session)?;
        self.candidate = None;
        Ok(())
    }

    pub fn validate(&self, data: &Data) -> Result<(), DatastoreError> {
        check(&self.schema, data)
    }

    /// The data of an older version, to be put into the candidate.
    pub fn version_data(&self, number: u64) -> Result<&Data, DatastoreError> {
        let found = self.versions.iter().find(|version| version.number == number);
        found.map(|version| &version.data).ok_or(DatastoreError::UnknownVersion(number))
    }

    /// What the candidate would make of running, as far as that can be said without the world.
    pub fn propose_commit(
        &self,
        session: Session,
        by: &str,
        commit: Commit,
    ) -> Result<Proposal, DatastoreError> {
        self.free(Datastore::Running, session)?;
        self.free(Datastore::Candidate, session)?;
        match (&self.unconfirmed, &commit.persist_id) {
            (None, Some(_)) => return Err(DatastoreError::NoConfirmedCommitPending),
            (Some(waits), told) => waits.answers(session, told.as_deref())?,
            (None, None) => {}
        }
        let data = self.get(Datastore::Candidate).clone();
        check(&self.schema, &data)?;
        Ok(self.proposal(Kind::Commit(commit), session, by, data))
    }

    fn proposal(&self, kind: Kind, session: Session, by: &str, data: Data) -> Proposal {
        let intent = Intent::from_data(&self.schema, &data);
        Proposal { kind, session, author: by.to_string(), number: self.version() + 1, data, intent }
    }

    /// Takes back a confirmed commit that waits, section 8.4.4.1.
    pub fn propose_cancel(
        &self,
        session: Session,
        persist_id: Option<&str>,
    ) -> Result<Proposal, DatastoreError> {
        let waits = self.unconfirmed.as_ref().ok_or(DatastoreError::NoConfirmedCommitPending)?;
        waits.answers(session, persist_id)?;
        Ok(self.proposal(Kind::RollBack, session, &waits.by, waits.before.clone()))
    }

    /// Makes a proposal running, now that it was judged and taken over.
    pub fn apply(&mut self, now: Ms, proposal: Proposal) -> CommitOutcome {
        let Proposal { kind, session, author: by, number, data, .. } = proposal;
        let before = std::mem::replace(&mut self.running, data.clone());
        let known = self.unconfirmed.take();
        if let Kind::Commit(Commit { confirmed: true, confirm_timeout, persist, .. }) = &kind {
            let within = confirm_timeout.unwrap_or(CONFIRM_WITHIN).clamp(1.0, LONGEST_CONFIRM);
            // A confirmed commit that carries another on is undone together with it.
            let (before, named) = match known {
                Some(known) => (known.before, known.persist),
                None => (before, None),
            };
            let persist = persist.clone().or(named);
            let (by, until) = (by.clone(), now + within);
            self.unconfirmed = Some(Unconfirmed { before, session, by, persist, until, overdue: None });
        }
        if let Kind::Commit(_) = kind {
            self.candidate = None;
        }
        if self.versions.len() == KEPT {
            self.versions.pop_front();
        }
        let by = if kind == Kind::RollBack { format!("roll-back of {by}") } else { by };
        self.versions.push_back(Version { number, at: now, author: by, data });
        CommitOutcome { number, confirm_deadline: self.unconfirmed.as_ref().map(|waits| waits.until) }
    }

    /// When [`Datastores::due_rollback`] has to be asked next.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.unconfirmed.as_ref().map(|waits| waits.until)
    }

    /// The roll-back that is due, whoever holds locks: nobody confirmed in time.
    pub fn due_rollback(&self, now: Ms) -> Option<Proposal> {
        let waits = self.unconfirmed.as_ref().filter(|waits| now >= waits.until)?;
        Some(self.proposal(Kind::RollBack, waits.session, &waits.by, waits.before.clone()))
    }

    /// The world does not bear the roll-back that is due, as it would leave an operation bare by now: it is tried
    /// again until it does, or until the commit is confirmed after all.
    pub fn postpone_rollback(&mut self, now: Ms, why: String) {
        if let Some(waits) = &mut self.unconfirmed {
            (waits.until, waits.overdue) = (now + AGAIN, Some(why));
        }
    }

    /// A session is over: its locks go, with the changes of a candidate that it had locked, and its confirmed
    /// commit without a name falls due at once (section 8.4.1).
    pub fn end_session(&mut self, now: Ms, session: Session) {
        if self.lock_holder(Datastore::Candidate) == Some(session) {
            self.candidate = None;
        }
        self.locks.retain(|_, holder| *holder != session);
        if let Some(waits) = self.unconfirmed.as_mut().filter(|w| w.session == session && w.persist.is_none())
        {
            waits.until = waits.until.min(now);
        }
    }
}

impl Unconfirmed {
    /// Whether this session, or whoever names it, may confirm, carry on or cancel.
    fn answers(&self, session: Session, persist_id: Option<&str>) -> Result<(), DatastoreError> {
        match (&self.persist, persist_id) {
            (Some(name), Some(told)) if name == told => Ok(()),
            (Some(_), None) | (None, None) if self.session != session => {
                Err(DatastoreError::ConfirmedCommitPending(self.session))
            }
            (None, None) => Ok(()),
            _ => Err(DatastoreError::WrongPersistId),
        }
    }
}

/// What the model's types cannot say by themselves.
fn check(schema: &Schema, data: &Data) -> Result<(), DatastoreError> {
    use juniperrail_model::Rule;
    let refused = |path: &str, name: &str, what: String| {
        Err(DatastoreError::Faults(vec![Fault::new(Rule::BadValue, path, name, what)]))
    };
    data.complete(schema).map_err(|fault| DatastoreError::Faults(vec![fault]))?;
    let access = match AccessControl::from_data(schema, data) {
        Ok(access) => access,
        Err(why) => return refused("/jrm:northbound/rule", "path", why),
    };
    let netconf = View::new(schema, data).inner("northbound").inner("netconf");
    let listens = netconf.inner("ssh").is_there() || netconf.inner("tls").is_there();
    if listens && !access.has_admin() {
        let what = "a listener without a user whose role is admin: nobody could change who may speak here";
        return refused("/jrm:northbound/user", "role", what.into());
    }
    let unnamed =
        |client: &View<'_>| client.text("name-from") == Some("specified") && client.text("user").is_none();
    if let Some(client) = netconf.inner("tls").entries("client").iter().find(|client| unnamed(client)) {
        let fingerprint = client.text("fingerprint").unwrap_or_default();
        let path = format!("/jrm:northbound/netconf/tls/client[fingerprint='{fingerprint}']");
        return refused(&path, "user", "its user is to be specified and is not".into());
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::{schema, xml};

    const ANN: Session = Session(1);
    const BOB: Session = Session(2);

    fn stores() -> Datastores {
        Datastores::new(Arc::new(schema()), 0.0, Data::default()).unwrap()
    }

    fn drafts(weight: u32) -> Vec<Draft> {
        let text = format!(
            "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\"><worker><name>s-1</name>\
             <weight>{weight}</weight></worker></workers>"
        );
        xml::drafts(&schema(), &[xml::read(text.as_bytes()).unwrap()], true).unwrap()
    }

    impl Datastores {
        fn set(&mut self, session: Session, weight: u32) -> Result<(), DatastoreError> {
            let (data, _) = self.edit_candidate(
                session,
                &drafts(weight),
                DefaultOperation::Merge,
                ErrorOption::RollbackOnError,
            )?;
            self.put(session, Datastore::Candidate, data)
        }

        fn take(
            &mut self,
            now: Ms,
            session: Session,
            commit: Commit,
        ) -> Result<CommitOutcome, DatastoreError> {
            let proposal = self.propose_commit(session, "ann", commit)?;
            Ok(self.apply(now, proposal))
        }

        fn weight(&self, store: Datastore) -> Option<f64> {
            Intent::from_data(&self.schema, self.get(store)).workers.get("s-1").and_then(|wish| wish.weight)
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
    fn a_commit_makes_the_candidate_running_and_a_refused_one_changes_nothing() {
        let mut stores = stores();
        stores.set(ANN, 2).unwrap();
        assert_eq!(
            (stores.weight(Datastore::Candidate), stores.weight(Datastore::Running)),
            (Some(2.0), None)
        );
        let dropped = stores.propose_commit(ANN, "ann", Commit::default()).unwrap();
        drop(dropped);
        assert_eq!((stores.weight(Datastore::Candidate), stores.version()), (Some(2.0), 1));
        assert_eq!(stores.take(5.0, ANN, Commit::default()).unwrap().number, 2);
        stores.set(ANN, 3).unwrap();
        stores.discard(ANN).unwrap();
        assert_eq!(stores.weight(Datastore::Candidate), Some(2.0));
        assert!(matches!(
            stores.put(ANN, Datastore::Running, Data::default()),
            Err(DatastoreError::Unsupported(_))
        ));
        let first = stores.version_data(1).unwrap().clone();
        stores.put(ANN, Datastore::Candidate, first).unwrap();
        stores.take(6.0, ANN, Commit::default()).unwrap();
        assert_eq!((stores.weight(Datastore::Running), stores.version()), (None, 3));
        assert_eq!(stores.version_data(9), Err(DatastoreError::UnknownVersion(9)));
        (0..100).for_each(|_| _ = stores.take(7.0, ANN, Commit::default()));
        assert_eq!((stores.versions().count(), stores.version()), (KEPT, 103));
    }

    #[test]
    fn locks_keep_others_out_and_tell_who_holds_them() {
        let mut stores = stores();
        stores.lock(Datastore::Candidate, ANN).unwrap();
        stores.lock(Datastore::Running, ANN).unwrap();
        assert_eq!(stores.lock(Datastore::Candidate, BOB), Err(DatastoreError::LockDenied(ANN)));
        assert_eq!(
            stores.lock(Datastore::Candidate, ANN),
            Err(DatastoreError::LockDenied(ANN)),
            "even by itself"
        );
        assert_eq!(stores.set(BOB, 1), Err(DatastoreError::InUse(ANN)));
        assert_eq!(stores.discard(BOB), Err(DatastoreError::InUse(ANN)));
        assert_eq!(stores.propose_commit(BOB, "bob", Commit::default()), Err(DatastoreError::InUse(ANN)));
        assert_eq!(stores.unlock(Datastore::Candidate, BOB), Err(DatastoreError::NotLocked));
        stores.set(ANN, 1).unwrap();
        stores.unlock(Datastore::Candidate, ANN).unwrap();
        assert_eq!(stores.weight(Datastore::Candidate), None, "its changes go with the lock");
        stores.set(BOB, 4).unwrap();
        assert_eq!(stores.lock(Datastore::Candidate, ANN), Err(DatastoreError::CandidateChanged));
        assert_eq!(
            stores.take(0.0, BOB, Commit::default()),
            Err(DatastoreError::InUse(ANN)),
            "running is locked"
        );
        stores.end_session(0.0, ANN);
        stores.take(0.0, BOB, Commit::default()).unwrap();
        stores.lock(Datastore::Candidate, ANN).unwrap();
        stores.set(ANN, 9).unwrap();
        stores.end_session(1.0, ANN);
        assert_eq!(
            (stores.lock_holder(Datastore::Candidate), stores.weight(Datastore::Candidate)),
            (None, Some(4.0))
        );
    }

    #[test]
    fn two_sessions_edit_one_candidate_and_the_first_commit_takes_both() {
        let mut stores = stores();
        stores.set(ANN, 1).unwrap();
        stores.set(BOB, 2).unwrap();
        stores.take(0.0, ANN, Commit::default()).unwrap();
        assert_eq!(stores.weight(Datastore::Running), Some(2.0), "the later edit of the one candidate wins");
        let proposal = stores.propose_commit(BOB, "bob", Commit::default()).unwrap();
        assert_eq!(proposal.data, *stores.get(Datastore::Running), "nothing is left to commit");
    }

    #[test]
    fn a_confirmed_commit_is_undone_unless_it_is_confirmed_in_time() {
        let mut stores = stores();
        stores.set(ANN, 1).unwrap();
        stores.take(0.0, ANN, Commit::default()).unwrap();
        stores.set(ANN, 2).unwrap();
        assert_eq!(stores.take(10.0, ANN, confirmed(None)).unwrap().confirm_deadline, Some(1010.0));
        assert_eq!((stores.weight(Datastore::Running), stores.due_rollback(1009.0)), (Some(2.0), None));
        // It is carried on: the time starts anew, and it still goes back to before the first.
        stores.set(ANN, 3).unwrap();
        stores.take(500.0, ANN, confirmed(None)).unwrap();
        assert_eq!(stores.next_deadline(), Some(1500.0));
        stores.lock(Datastore::Running, ANN).unwrap();
        let due = stores.due_rollback(1500.0).unwrap();
        stores.apply(1500.0, due);
        assert_eq!(
            (stores.weight(Datastore::Running), stores.pending_confirmation()),
            (Some(1.0), None),
            "locked or not"
        );
        assert!(stores.versions().last().unwrap().author.contains("roll-back of ann"));
        stores.set(ANN, 4).unwrap();
        stores.take(2000.0, ANN, confirmed(None)).unwrap();
        stores.take(2500.0, ANN, Commit::default()).unwrap();
        assert_eq!((stores.due_rollback(99_999.0), stores.weight(Datastore::Running)), (None, Some(4.0)));
    }

    #[test]
    fn only_its_session_or_its_name_confirms_a_commit() {
        let mut stores = stores();
        stores.set(ANN, 2).unwrap();
        stores.take(0.0, ANN, confirmed(None)).unwrap();
        assert_eq!(
            stores.propose_commit(BOB, "bob", Commit::default()),
            Err(DatastoreError::ConfirmedCommitPending(ANN))
        );
        assert_eq!(
            stores.propose_commit(BOB, "bob", confirming(Some("x"))),
            Err(DatastoreError::WrongPersistId)
        );
        assert_eq!(stores.lock(Datastore::Running, BOB), Err(DatastoreError::LockDenied(ANN)));
        assert_eq!(
            stores.propose_cancel(BOB, None).unwrap_err(),
            DatastoreError::ConfirmedCommitPending(ANN)
        );
        let back = stores.propose_cancel(ANN, None).unwrap();
        stores.apply(1.0, back);
        assert_eq!(
            (stores.weight(Datastore::Running), stores.propose_cancel(ANN, None)),
            (None, Err(DatastoreError::NoConfirmedCommitPending))
        );
        assert_eq!(
            stores.propose_commit(BOB, "bob", confirming(Some("x"))),
            Err(DatastoreError::NoConfirmedCommitPending)
        );
        stores.set(ANN, 3).unwrap();
        stores.take(2.0, ANN, confirmed(Some("night"))).unwrap();
        stores.end_session(3.0, ANN);
        assert_eq!(stores.due_rollback(4.0), None, "one with a name outlives its session");
        assert_eq!(
            stores.propose_commit(BOB, "bob", Commit::default()),
            Err(DatastoreError::ConfirmedCommitPending(ANN))
        );
        assert_eq!(
            stores.propose_commit(BOB, "bob", confirming(Some("day"))),
            Err(DatastoreError::WrongPersistId)
        );
        stores.take(5.0, BOB, confirming(Some("night"))).unwrap();
        assert_eq!((stores.weight(Datastore::Running), stores.pending_confirmation()), (Some(3.0), None));
    }

    #[test]
    fn a_session_that_is_cut_loses_its_confirmed_commit_at_once() {
        let mut stores = stores();
        stores.set(ANN, 2).unwrap();
        stores.take(0.0, ANN, confirmed(None)).unwrap();
        stores.lock(Datastore::Candidate, BOB).unwrap();
        stores.end_session(10.0, ANN);
        let due = stores.due_rollback(10.0).expect("due at once, whoever holds the candidate");
        stores.apply(10.0, due);
        assert_eq!(
            (stores.weight(Datastore::Running), stores.lock_holder(Datastore::Candidate)),
            (None, Some(BOB))
        );
    }

    #[test]
    fn a_roll_back_that_the_world_does_not_bear_is_tried_again() {
        let mut stores = stores();
        stores.set(ANN, 2).unwrap();
        stores.take(0.0, ANN, confirmed(Some("x"))).unwrap();
        assert!(stores.due_rollback(1000.0).is_some());
        stores.postpone_rollback(1000.0, "lookup would have no ready, warm worker".into());
        assert!(stores.due_rollback(1500.0).is_none() && stores.due_rollback(2000.0).is_some());
        assert!(stores.pending_confirmation().unwrap().1.unwrap().contains("lookup"));
        stores.take(2100.0, BOB, confirming(Some("x"))).unwrap();
        assert_eq!(
            (stores.due_rollback(9e9), stores.weight(Datastore::Running)),
            (None, Some(2.0)),
            "confirmed after all"
        );
    }

    #[test]
    fn after_a_restart_only_startup_is_there() {
        let mut stores = stores();
        stores.set(ANN, 2).unwrap();
        stores.take(0.0, ANN, Commit::default()).unwrap();
        let running = stores.get(Datastore::Running).clone();
        stores.put(ANN, Datastore::Startup, running).unwrap();
        stores.set(ANN, 3).unwrap();
        stores.take(0.0, ANN, confirmed(Some("x"))).unwrap();
        let again = Datastores::new(Arc::new(schema()), 9.0, stores.get(Datastore::Startup).clone()).unwrap();
        assert_eq!((again.weight(Datastore::Running), again.pending_confirmation()), (Some(2.0), None));
    }

    #[test]
    fn what_types_cannot_say_is_checked_before_a_commit() {
        let mut stores = stores();
        let north = |body: &str| {
            let text = format!(
                "<northbound xmlns=\"tag:juniperrail.example,2026:yang:manager\">{body}</northbound>"
            );
            xml::drafts(&schema(), &[xml::read(text.as_bytes()).unwrap()], true).unwrap()
        };
        let ssh = "<netconf><ssh><listen>127.0.0.1:0</listen><host-key>k</host-key></ssh></netconf>";
        let half = "<netconf><ssh><listen>127.0.0.1:0</listen></ssh></netconf><user><name>a</name><role>admin</role></user>";
        let rule = "<rule><number>1</number><path>/nothing</path><action>deny</action></rule>";
        let client = format!(
            "<netconf><tls><listen>127.0.0.1:0</listen><certificate>c</certificate><key>k</key>\
             <client-authorities>a</client-authorities><client><fingerprint>{}</fingerprint></client></tls></netconf>\
             <user><name>a</name><role>admin</role></user>",
            "a0".repeat(32)
        );
        for (body, why) in [
            (ssh, "without a user whose role is admin"),
            (half, "host-key is missing"),
            (rule, "there is no \"nothing\""),
            (&client, "is to be specified"),
        ] {
            let (data, _) = stores
                .edit_candidate(ANN, &north(body), DefaultOperation::Merge, ErrorOption::RollbackOnError)
                .unwrap();
            stores.put(ANN, Datastore::Candidate, data).unwrap();
            let refused = stores.propose_commit(ANN, "ann", Commit::default()).unwrap_err();
            assert!(refused.to_string().contains(why), "{refused}");
            stores.discard(ANN).unwrap();
        }
    }
}
