//! The datastores running, candidate and startup (RFC 6241 sections 5.1, 8.3 and 8.7) with locks, versions and
//! confirmed commits (section 8.4). A commit takes three steps: [`Datastores::propose_commit`] makes a [`Proposal`],
//! the caller runs the admission checks on it, and [`Datastores::apply`] makes it running. A proposal that is refused
//! is dropped and changes nothing.

mod candidate;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use juniperrail_interface::Ms;
use juniperrail_model::{Data, EditNode, ModelError, Schema, View};

use crate::access::AccessControl;
use crate::admission::Refusal;
use crate::compose::IntentChange;
use crate::edit::{edit_config, DefaultOperation, ErrorOption};
use crate::intent::Intent;

use candidate::{Candidate, Editors};

/// The maximum number of versions of running that are kept, so that they can be restored.
const MAX_VERSIONS: usize = 32;
/// The confirm-timeout of a confirmed commit that gives none (RFC 6241 section 8.4.1).
const DEFAULT_CONFIRM_TIMEOUT: Ms = 600_000.0;
/// The longest confirm-timeout; a longer one is shortened to this.
const MAX_CONFIRM_TIMEOUT: Ms = 86_400_000.0;
/// The delay before a refused rollback is retried.
const ROLLBACK_RETRY_INTERVAL: Ms = 1_000.0;

/// The identifier of a management session, independent of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session(pub u32);

/// The configuration datastores of RFC 6241.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

/// Why an operation on a datastore fails.
#[derive(Clone, Debug, PartialEq)]
pub enum DatastoreError {
    /// The data violates the data model or a constraint that is checked in addition to it.
    Invalid(Vec<ModelError>),
    /// The admission checks refuse the change.
    NotAdmitted(Vec<Refusal>),
    /// The lock is denied, as the given session holds it or has a pending confirmed commit.
    LockDenied(Session),
    /// The given session, another than the caller's, has locked the datastore.
    InUse(Session),
    /// The candidate cannot be locked, as it has uncommitted changes.
    CandidateChanged,
    /// The given session undid edits of the caller, or of an ended session of the same user, that were to be committed.
    EditsUndone(Session),
    /// The session tried to release a lock that it does not hold.
    NotLocked,
    /// A confirmed commit of the given session, another than the caller's, awaits its confirmation.
    ConfirmedCommitPending(Session),
    NoConfirmedCommitPending,
    WrongPersistId,
    /// The version never existed or is no longer kept.
    UnknownVersion(u64),
    /// The user may not access the given object: the path of a data node, or a description such as "a lock".
    AccessDenied(String),
    /// The operation is not possible, for the given reason.
    Unsupported(&'static str),
}

impl fmt::Display for DatastoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let write_joined = |f: &mut fmt::Formatter<'_>, items: &[&dyn fmt::Display]| {
            items.iter().enumerate().try_for_each(|(index, item)| {
                if index > 0 {
                    f.write_str("; ")?;
                }
                item.fmt(f)
            })
        };
        match self {
            DatastoreError::Invalid(errors) => {
                write_joined(f, &errors.iter().map(|error| error as &dyn fmt::Display).collect::<Vec<_>>())
            }
            DatastoreError::NotAdmitted(refusals) => write_joined(
                f,
                &refusals.iter().map(|refusal| refusal as &dyn fmt::Display).collect::<Vec<_>>(),
            ),
            DatastoreError::LockDenied(holder) => write!(f, "session {} holds the lock", holder.0),
            DatastoreError::InUse(holder) => write!(f, "session {} has locked the datastore", holder.0),
            DatastoreError::CandidateChanged => {
                f.write_str("the candidate has uncommitted changes; commit or discard them first")
            }
            DatastoreError::EditsUndone(by) => write!(
                f,
                "session {} undid edits of yours before this commit; edit again, or discard the changes to go on \
                 without those edits",
                by.0
            ),
            DatastoreError::NotLocked => f.write_str("this session does not hold the lock"),
            DatastoreError::ConfirmedCommitPending(owner) => {
                write!(f, "a confirmed commit of session {} awaits its confirmation", owner.0)
            }
            DatastoreError::NoConfirmedCommitPending => f.write_str("there is no pending confirmed commit"),
            DatastoreError::WrongPersistId => {
                f.write_str("the persist-id is not that of the pending confirmed commit")
            }
            DatastoreError::UnknownVersion(number) => {
                write!(f, "version {number} does not exist or is no longer kept")
            }
            DatastoreError::AccessDenied(path) => write!(f, "access to {path} is denied for this user"),
            DatastoreError::Unsupported(reason) => f.write_str(reason),
        }
    }
}

/// The parameters of a commit (RFC 6241 section 8.4).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// Whether this is a confirmed commit, which is rolled back unless it is confirmed in time.
    pub confirmed: bool,
    /// The time within which the commit must be confirmed; ten minutes if `None`.
    pub confirm_timeout: Option<Ms>,
    /// The id with which any session may confirm or cancel this commit.
    pub persist: Option<String>,
    /// The persist id of the confirmed commit that this one confirms or extends.
    pub persist_id: Option<String>,
}

/// What a proposal originates from.
#[derive(Clone, Debug, PartialEq)]
enum ProposalKind {
    Commit(Commit),
    /// The return to the configuration before the pending confirmed commit, after its timeout or a cancel-commit.
    Rollback,
}

/// A proposed configuration for running, which is applied or dropped after the admission checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    kind: ProposalKind,
    session: Session,
    /// The user who makes the change; for a rollback, the user of the commit that is rolled back.
    pub author: String,
    /// The version number that running will have.
    pub number: u64,
    pub data: Data,
    pub intent: Intent,
}

/// The result of an applied proposal.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitOutcome {
    /// The version number of running after the commit.
    pub number: u64,
    /// The time until which the commit must be confirmed, if it is a confirmed commit.
    pub confirm_deadline: Option<Ms>,
}

/// One version of the running configuration.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub committed_at: Ms,
    pub author: String,
    pub data: Data,
}

/// A confirmed commit that awaits its confirmation.
#[derive(Debug)]
struct PendingCommit {
    /// The configuration that running returns to if the commit is not confirmed.
    rollback_data: Data,
    session: Session,
    author: String,
    persist: Option<String>,
    /// When the rollback falls due; after a refused attempt, when it is retried.
    deadline: Ms,
    /// Why the last attempt to roll back was refused, if there was one.
    overdue_reason: Option<String>,
    /// The sessions whose edits were committed and that a rollback reverts.
    editors: Editors,
}

/// The datastores of one manager, with their locks, versions and pending confirmed commit.
#[derive(Debug)]
pub struct Datastores {
    schema: Arc<Schema>,
    running: Data,
    candidate: Candidate,
    startup: Data,
    locks: BTreeMap<Datastore, Session>,
    pending: Option<PendingCommit>,
    versions: VecDeque<Version>,
}

impl Proposal {
    /// How the proposed configuration comes into force.
    pub fn change(&self) -> IntentChange {
        match &self.kind {
            ProposalKind::Commit(Commit { confirmed: true, .. }) => IntentChange::ConfirmedCommit,
            ProposalKind::Commit(_) => IntentChange::Commit,
            ProposalKind::Rollback => IntentChange::Rollback,
        }
    }
}

impl Datastores {
    /// Creates the datastores with startup as the running configuration. Fails if startup is invalid.
    pub fn new(schema: Arc<Schema>, now: Ms, startup: Data) -> Result<Datastores, DatastoreError> {
        validate_data(&schema, &startup)?;
        let first = Version { number: 1, committed_at: now, author: "startup".into(), data: startup.clone() };
        Ok(Datastores {
            schema,
            running: startup.clone(),
            candidate: Candidate::default(),
            startup,
            locks: BTreeMap::new(),
            pending: None,
            versions: VecDeque::from([first]),
        })
    }

    pub fn get(&self, datastore: Datastore) -> &Data {
        match datastore {
            Datastore::Running => &self.running,
            Datastore::Candidate => self.candidate.data().unwrap_or(&self.running),
            Datastore::Startup => &self.startup,
        }
    }

    /// The retained versions of running, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        self.versions.iter()
    }

    /// The version number of the running configuration.
    pub fn version(&self) -> u64 {
        self.versions.back().map_or(0, |version| version.number)
    }

    pub fn lock_holder(&self, datastore: Datastore) -> Option<Session> {
        self.locks.get(&datastore).copied()
    }

    /// The deadline of the pending confirmed commit, and why its rollback was refused if it is overdue.
    pub fn pending_confirmation(&self) -> Option<(Ms, Option<&str>)> {
        self.pending.as_ref().map(|pending| (pending.deadline, pending.overdue_reason.as_deref()))
    }

    /// Fails if another session has locked the datastore.
    fn check_not_locked(&self, datastore: Datastore, session: Session) -> Result<(), DatastoreError> {
        match self.lock_holder(datastore) {
            Some(holder) if holder != session => Err(DatastoreError::InUse(holder)),
            _ => Ok(()),
        }
    }

    /// Records the user of a session, who learns in a later session of edits that were discarded after this one ended.
    pub fn open_session(&mut self, session: Session, user: &str) {
        self.candidate.open_session(session, user);
    }

    /// Whether the candidate differs from running.
    fn is_candidate_changed(&self) -> bool {
        self.candidate.data().is_some_and(|data| *data != self.running)
    }

    /// Locks a datastore (section 7.5). A candidate with changes cannot be locked, nor can running while a confirmed
    /// commit of another session is pending.
    pub fn lock(&mut self, datastore: Datastore, session: Session) -> Result<(), DatastoreError> {
        if let Some(holder) = self.lock_holder(datastore) {
            return Err(DatastoreError::LockDenied(holder));
        }
        if datastore == Datastore::Candidate && self.is_candidate_changed() {
            return Err(DatastoreError::CandidateChanged);
        }
        if let Some(pending) = self
            .pending
            .as_ref()
            .filter(|pending| datastore == Datastore::Running && pending.session != session)
        {
            return Err(DatastoreError::LockDenied(pending.session));
        }
        self.locks.insert(datastore, session);
        Ok(())
    }

    /// Unlocks a datastore (section 7.6). Unlocking the candidate also discards its changes (section 8.3.5.2).
    pub fn unlock(&mut self, datastore: Datastore, session: Session) -> Result<(), DatastoreError> {
        if self.lock_holder(datastore) != Some(session) {
            return Err(DatastoreError::NotLocked);
        }
        self.locks.remove(&datastore);
        if datastore == Datastore::Candidate {
            self.discard_candidate(session);
        }
        Ok(())
    }

    /// Returns the candidate as it would be after an edit, and the errors of the edit. Does not change the candidate.
    pub fn edit_candidate(
        &self,
        session: Session,
        edit_nodes: &[EditNode],
        default_operation: DefaultOperation,
        error_option: ErrorOption,
    ) -> Result<(Data, Vec<ModelError>), DatastoreError> {
        self.check_not_locked(Datastore::Candidate, session)?;
        let (edited, errors) = edit_config(
            &self.schema,
            self.get(Datastore::Candidate),
            edit_nodes,
            default_operation,
            error_option,
        );
        match error_option {
            ErrorOption::RollbackOnError if !errors.is_empty() => Err(DatastoreError::Invalid(errors)),
            _ => Ok((edited, errors)),
        }
    }

    /// Stores the candidate as [`Datastores::edit_candidate`] returned it. With the default operation `replace` the edit
    /// discards the edits of other sessions.
    pub fn put_edited(
        &mut self,
        session: Session,
        data: Data,
        default_operation: DefaultOperation,
    ) -> Result<(), DatastoreError> {
        if default_operation == DefaultOperation::Replace {
            return self.put(session, Datastore::Candidate, data);
        }
        self.check_not_locked(Datastore::Candidate, session)?;
        self.candidate.edit(session, data);
        Ok(())
    }

    /// Replaces the content of candidate or startup, and thereby discards other sessions' edits of the candidate. Startup
    /// must be valid.
    pub fn put(&mut self, session: Session, datastore: Datastore, data: Data) -> Result<(), DatastoreError> {
        self.check_not_locked(datastore, session)?;
        match datastore {
            Datastore::Candidate => {
                self.forget_editors_if_unchanged();
                self.candidate.replace(session, data);
            }
            Datastore::Startup => {
                validate_data(&self.schema, &data)?;
                self.startup = data;
            }
            Datastore::Running => {
                return Err(DatastoreError::Unsupported("running can only be changed by a commit"))
            }
        }
        Ok(())
    }

    /// Discards the changes of the candidate (section 8.3.4.2).
    pub fn discard(&mut self, session: Session) -> Result<(), DatastoreError> {
        self.check_not_locked(Datastore::Candidate, session)?;
        self.discard_candidate(session);
        Ok(())
    }

    fn discard_candidate(&mut self, session: Session) {
        self.forget_editors_if_unchanged();
        self.candidate.discard(session);
    }

    /// Edits that are running already, or that changed nothing, cannot be discarded.
    fn forget_editors_if_unchanged(&mut self) {
        if !self.is_candidate_changed() {
            self.candidate.commit();
        }
    }

    /// Validates data as a commit would, without the admission checks.
    pub fn validate(&self, data: &Data) -> Result<(), DatastoreError> {
        validate_data(&self.schema, data)
    }

    /// The data of a retained version of running.
    pub fn version_data(&self, number: u64) -> Result<&Data, DatastoreError> {
        let found = self.versions.iter().find(|version| version.number == number);
        found.map(|version| &version.data).ok_or(DatastoreError::UnknownVersion(number))
    }

    /// Proposes the candidate as the running configuration. Performs all checks except the admission checks. Fails also
    /// if another session has discarded edits that the caller would have committed.
    pub fn propose_commit(
        &mut self,
        session: Session,
        author: &str,
        commit: Commit,
    ) -> Result<Proposal, DatastoreError> {
        self.check_not_locked(Datastore::Running, session)?;
        self.check_not_locked(Datastore::Candidate, session)?;
        match (&self.pending, &commit.persist_id) {
            (None, Some(_)) => return Err(DatastoreError::NoConfirmedCommitPending),
            (Some(pending), persist_id) => pending.check_may_resolve(session, persist_id.as_deref())?,
            (None, None) => {}
        }
        if let Some(by) = self.candidate.report_undone(session) {
            return Err(DatastoreError::EditsUndone(by));
        }
        let data = self.get(Datastore::Candidate).clone();
        validate_data(&self.schema, &data)?;
        Ok(self.proposal(ProposalKind::Commit(commit), session, author, data))
    }

    fn proposal(&self, kind: ProposalKind, session: Session, author: &str, data: Data) -> Proposal {
        let intent = Intent::from_data(&self.schema, &data);
        Proposal { kind, session, author: author.to_string(), number: self.version() + 1, data, intent }
    }

    /// Proposes the rollback of the pending confirmed commit (section 8.4.4.1).
    pub fn propose_cancel(
        &self,
        session: Session,
        persist_id: Option<&str>,
    ) -> Result<Proposal, DatastoreError> {
        let pending = self.pending.as_ref().ok_or(DatastoreError::NoConfirmedCommitPending)?;
        pending.check_may_resolve(session, persist_id)?;
        Ok(self.proposal(ProposalKind::Rollback, session, &pending.author, pending.rollback_data.clone()))
    }

    /// Makes an admitted proposal the running configuration.
    pub fn apply(&mut self, now: Ms, proposal: Proposal) -> CommitOutcome {
        let Proposal { kind, session, author, number, data, .. } = proposal;
        let previous = std::mem::replace(&mut self.running, data.clone());
        let pending = self.pending.take();
        let mut editors = match kind {
            ProposalKind::Commit(_) => self.candidate.commit(),
            ProposalKind::Rollback => Editors::default(),
        };
        if let ProposalKind::Commit(Commit { confirmed: true, confirm_timeout, persist, .. }) = &kind {
            let timeout = confirm_timeout.unwrap_or(DEFAULT_CONFIRM_TIMEOUT).clamp(1.0, MAX_CONFIRM_TIMEOUT);
            // A confirmed commit that extends another is rolled back together with it.
            // The session of a confirmed commit knows that it may be rolled back; the others that edited may not.
            editors.remove(session);
            let (rollback_data, earlier_persist) = match pending {
                Some(pending) => {
                    editors.extend(pending.editors);
                    (pending.rollback_data, pending.persist)
                }
                None => (previous, None),
            };
            let persist = persist.clone().or(earlier_persist);
            let (author, deadline) = (author.clone(), now + timeout);
            self.pending = Some(PendingCommit {
                rollback_data,
                session,
                author,
                persist,
                deadline,
                overdue_reason: None,
                editors,
            });
        } else if let (ProposalKind::Rollback, Some(pending)) = (&kind, pending) {
            self.candidate.record_undone(session, pending.editors);
        }
        if self.versions.len() == MAX_VERSIONS {
            self.versions.pop_front();
        }
        let author = if kind == ProposalKind::Rollback { format!("roll-back of {author}") } else { author };
        self.versions.push_back(Version { number, committed_at: now, author, data });
        CommitOutcome { number, confirm_deadline: self.pending.as_ref().map(|pending| pending.deadline) }
    }

    /// When [`Datastores::due_rollback`] must be called next; `None` if no confirmed commit is pending.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.pending.as_ref().map(|pending| pending.deadline)
    }

    /// The rollback of the pending confirmed commit if its deadline has passed. Locks do not prevent it.
    pub fn due_rollback(&self, now: Ms) -> Option<Proposal> {
        let pending = self.pending.as_ref().filter(|pending| now >= pending.deadline)?;
        Some(self.proposal(
            ProposalKind::Rollback,
            pending.session,
            &pending.author,
            pending.rollback_data.clone(),
        ))
    }

    /// Schedules a retry of a rollback that the admission checks refused, for example because it would now leave an
    /// operation without a ready worker. It is retried until it is admitted or the commit is confirmed or cancelled.
    pub fn postpone_rollback(&mut self, now: Ms, reason: String) {
        if let Some(pending) = &mut self.pending {
            (pending.deadline, pending.overdue_reason) = (now + ROLLBACK_RETRY_INTERVAL, Some(reason));
        }
    }

    /// Ends a session: its locks are released, the changes of a candidate that it had locked are discarded, and the
    /// rollback of its confirmed commit falls due at once unless the commit has a persist id (section 8.4.1).
    pub fn end_session(&mut self, now: Ms, session: Session) {
        if self.lock_holder(Datastore::Candidate) == Some(session) {
            self.discard_candidate(session);
        }
        self.candidate.end_session(session, self.pending.as_mut().map(|pending| &mut pending.editors));
        self.locks.retain(|_, holder| *holder != session);
        if let Some(pending) =
            self.pending.as_mut().filter(|pending| pending.session == session && pending.persist.is_none())
        {
            pending.deadline = pending.deadline.min(now);
        }
    }
}

impl PendingCommit {
    /// Fails unless a session that gives this persist id may confirm, extend or cancel the commit.
    fn check_may_resolve(&self, session: Session, persist_id: Option<&str>) -> Result<(), DatastoreError> {
        match (&self.persist, persist_id) {
            (Some(expected), Some(given)) if expected == given => Ok(()),
            (Some(_), None) | (None, None) if self.session != session => {
                Err(DatastoreError::ConfirmedCommitPending(self.session))
            }
            (None, None) => Ok(()),
            _ => Err(DatastoreError::WrongPersistId),
        }
    }
}

/// Checks the constraints that the types of the data model cannot express.
fn validate_data(schema: &Schema, data: &Data) -> Result<(), DatastoreError> {
    use juniperrail_model::ErrorKind;
    let bad_value = |path: &str, name: &str, message: String| {
        Err(DatastoreError::Invalid(vec![ModelError::new(ErrorKind::BadValue, path, name, message)]))
    };
    data.check_mandatory(schema).map_err(|error| DatastoreError::Invalid(vec![error]))?;
    let access = match AccessControl::from_data(schema, data) {
        Ok(access) => access,
        Err(message) => return bad_value("/jrm:northbound/rule", "path", message),
    };
    let netconf = View::new(schema, data).container("northbound").container("netconf");
    let has_listener = netconf.container("ssh").exists() || netconf.container("tls").exists();
    if has_listener && !access.has_admin() {
        let message = "a listener without a user whose role is admin: no user could change the access rights";
        return bad_value("/jrm:northbound/user", "role", message.into());
    }
    let lacks_user =
        |client: &View<'_>| client.text("name-from") == Some("specified") && client.text("user").is_none();
    if let Some(client) = netconf.container("tls").entries("client").iter().find(|client| lacks_user(client))
    {
        let fingerprint = client.text("fingerprint").unwrap_or_default();
        let path = format!("/jrm:northbound/netconf/tls/client[fingerprint='{fingerprint}']");
        return bad_value(&path, "user", "name-from is specified, but no user is given".into());
    }
    Ok(())
}

#[cfg(test)]
mod tests;
