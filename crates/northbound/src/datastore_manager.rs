//! Manages the datastores and the sessions of the management interface. Each operation of a protocol server is one
//! method of [`DatastoreManager`]. All operations run under one fair lock, which is also held while an operation
//! waits for the planner task's answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::{
    AccessControl, AccessOperation, Commit, CommitOutcome, Datastore, DatastoreError, Datastores,
    DefaultOperation, ErrorOption, Proposal, Role, Session,
};
use juniperrail_interface::Ms;
use juniperrail_model::{Data, EditNode, ModelError, Schema};
use tokio::sync::{broadcast, mpsc, oneshot, watch, Mutex, Notify};
use tokio::time::Instant;

use crate::file::OperatorFile;
use crate::planner_request::{Notice, PlannerRequest, Verdict, NOTICE_QUEUE_CAPACITY};
use crate::state::{OperationalState, VersionState, VersionsState};

/// A cached operational state is reused up to this age, so that frequent readers don't load the planner task.
const STATE_CACHE_TTL: Duration = Duration::from_millis(100);

/// The session that makes a request, and its authenticated user.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    pub session: Session,
    pub user: String,
}

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationReason {
    /// The client closed the session.
    Closed,
    /// The given session killed it.
    Killed(Session),
    /// The connection was lost or the session could not be established.
    Dropped,
    /// The client sent no hello in time, or was idle for too long.
    TimedOut,
}

/// An event that subscribers are notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The running datastore changed.
    ConfigChanged {
        number: u64,
        author: String,
        /// The session that committed the change; `None` for a rollback by the server.
        session: Option<Session>,
        /// Whether the change is a confirmed commit that still awaits its confirmation.
        unconfirmed: bool,
        /// The changed paths, each with its edit operation.
        edits: Vec<(String, &'static str)>,
    },
    /// A confirmed commit was confirmed, cancelled, or rolled back after its timeout.
    ConfirmedCommit {
        /// The `confirm-event` of RFC 6470.
        event: &'static str,
    },
    SessionStarted {
        caller: Caller,
        /// The transport and the address of the client.
        client_origin: String,
    },
    SessionEnded {
        caller: Caller,
        reason: TerminationReason,
    },
    /// Every joined proxy has applied a change.
    ChangeApplied {
        number: u64,
        after: Ms,
    },
}

/// Where an operation takes its configuration data from.
pub enum Source {
    /// The content of a datastore.
    Datastore(Datastore),
    /// Data sent with the request.
    Inline(Vec<EditNode>),
}

/// An open session.
struct OpenSession {
    user: String,
    /// The transport and the address of the client.
    client_origin: String,
    /// Signals the protocol server to end the session.
    end_signal: Arc<Notify>,
    killed_by: Option<Session>,
}

/// The state that the lock protects.
struct Inner {
    datastores: Datastores,
    access: AccessControl,
    sessions: BTreeMap<Session, OpenSession>,
    /// The number of the last session that was opened.
    last_session: u32,
    /// The last operational state and when it was received.
    cached_state: Option<(Instant, Arc<OperationalState>)>,
}

/// The datastore manager, shared by all protocol servers.
#[derive(Clone)]
pub struct DatastoreManager(Arc<Shared>);

/// What the clones of a [`DatastoreManager`] share.
struct Shared {
    schema: Arc<Schema>,
    file: Option<OperatorFile>,
    requests: mpsc::Sender<PlannerRequest>,
    started: Instant,
    /// Unix time at `started`.
    unix_at_start: Ms,
    inner: Mutex<Inner>,
    /// The current access rules, for protocol servers that authenticate users before they open a session.
    access: watch::Sender<AccessControl>,
    notifications: broadcast::Sender<Arc<Notification>>,
    /// Signals [`DatastoreManager::run`] that the time of the next rollback may have changed.
    rescheduled: Notify,
}

impl DatastoreManager {
    /// Creates the datastores with `startup` as the running configuration. `unix_now` is the current Unix time in
    /// milliseconds.
    pub fn new(
        schema: Arc<Schema>,
        unix_now: Ms,
        startup: Data,
        file: Option<OperatorFile>,
        requests: mpsc::Sender<PlannerRequest>,
    ) -> Result<DatastoreManager, DatastoreError> {
        let datastores = Datastores::new(schema.clone(), unix_now, startup)?;
        let access =
            AccessControl::from_data(&schema, datastores.get(Datastore::Running)).unwrap_or_default();
        let inner = Mutex::new(Inner {
            datastores,
            access: access.clone(),
            sessions: BTreeMap::new(),
            last_session: 0,
            cached_state: None,
        });
        let access = watch::Sender::new(access);
        let notifications = broadcast::Sender::new(NOTICE_QUEUE_CAPACITY);
        let started = Instant::now();
        let rescheduled = Notify::new();
        Ok(DatastoreManager(Arc::new(Shared {
            schema,
            file,
            requests,
            started,
            unix_at_start: unix_now,
            inner,
            access,
            notifications,
            rescheduled,
        })))
    }

    /// The schema of the YANG modules that the datastores follow.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.0.schema
    }

    /// The Unix time in milliseconds. It is monotonic, as clock adjustments after the start are ignored.
    pub fn now(&self) -> Ms {
        self.0.unix_at_start + self.0.started.elapsed().as_secs_f64() * 1000.0
    }

    /// A receiver of the current access rules, which is notified of each change.
    pub fn access_rules(&self) -> watch::Receiver<AccessControl> {
        self.0.access.subscribe()
    }

    /// Subscribes to notifications from now on. A receiver that is too slow loses the oldest ones and is told how many.
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<Notification>> {
        self.0.notifications.subscribe()
    }

    fn notify(&self, notification: Notification) {
        // Sending fails only if there is no subscriber.
        _ = self.0.notifications.send(Arc::new(notification));
    }

    /// Rolls back confirmed commits that time out, and notifies subscribers of the planner task's notices. Returns when
    /// the planner task ends.
    pub async fn run(&self, mut notices: mpsc::Receiver<Notice>) {
        loop {
            let deadline = self.0.inner.lock().await.datastores.next_deadline();
            let time_left = deadline
                .map(|deadline| Duration::from_secs_f64(((deadline - self.now()) / 1000.0).clamp(0.0, 1e6)));
            let sleep = time_left.map(tokio::time::sleep);
            let timer = async {
                match sleep {
                    Some(sleep) => sleep.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => self.roll_back().await,
                () = self.0.rescheduled.notified() => {}
                notice = notices.recv() => match notice {
                    Some(Notice::Applied { number, after }) => {
                        // The commit holds this lock until it has notified of the change, so subscribers never learn
                        // that a change was applied before they learn that it exists.
                        let _committed = self.0.inner.lock().await;
                        self.notify(Notification::ChangeApplied { number, after });
                    }
                    None => return,
                },
            }
        }
    }

    /// Rolls back the pending confirmed commit if it was not confirmed in time.
    async fn roll_back(&self) {
        let mut inner = self.0.inner.lock().await;
        let Some(proposal) = inner.datastores.due_rollback(self.now()) else { return };
        let number = proposal.number;
        match self.apply(&mut inner, None, proposal).await {
            Ok(_) => {
                tracing::warn!("confirmed commit was not confirmed in time; rolled back as version {number}");
                self.notify(Notification::ConfirmedCommit { event: "timeout" });
            }
            Err(error) => {
                tracing::error!("cannot roll back the confirmed commit yet: {error}");
                inner.datastores.postpone_rollback(self.now(), error.to_string());
            }
        }
    }

    /// Sends a proposal to the planner task and makes it the running configuration if the planner accepts it.
    /// `session` is `None` for a rollback by the server.
    async fn apply(
        &self,
        inner: &mut Inner,
        session: Option<Session>,
        proposal: Proposal,
    ) -> Result<CommitOutcome, DatastoreError> {
        let (reply, verdict) = oneshot::channel();
        let number = proposal.number;
        let author = proposal.author.clone();
        let (intent, change) = (Box::new(proposal.intent.clone()), proposal.change());
        let request = PlannerRequest::Apply { number, author: author.clone(), intent, change, reply };
        self.request_verdict(request, verdict).await?;
        let before = inner.datastores.get(Datastore::Running).clone();
        let outcome = inner.datastores.apply(self.now(), proposal);
        inner.cached_state = None;
        let running = inner.datastores.get(Datastore::Running);
        // The validation of the proposal has already parsed these rules, so the default is never used.
        inner.access = AccessControl::from_data(&self.0.schema, running).unwrap_or_default();
        self.0.access.send_replace(inner.access.clone());
        self.0.rescheduled.notify_one();
        tracing::info!("version {number} of the configuration is running, by {author}");
        let edits = self.edits(&before, running);
        let unconfirmed = outcome.confirm_deadline.is_some();
        self.notify(Notification::ConfigChanged { number, author, session, unconfirmed, edits });
        Ok(outcome)
    }

    /// The changed paths, each with its edit operation.
    fn edits(&self, before: &Data, after: &Data) -> Vec<(String, &'static str)> {
        let differences = juniperrail_model::diff(&self.0.schema, before, after);
        let path_and_operation = |difference: juniperrail_model::Difference| {
            let operation = match (difference.old.is_some(), difference.new.is_some()) {
                (false, _) => "create",
                (true, false) => "delete",
                (true, true) => "replace",
            };
            (difference.path.format(&self.0.schema), operation)
        };
        differences.into_iter().map(path_and_operation).collect()
    }

    /// Sends a request to the planner task and waits for its verdict.
    async fn request_verdict(
        &self,
        request: PlannerRequest,
        verdict: oneshot::Receiver<Verdict>,
    ) -> Result<(), DatastoreError> {
        let unavailable = DatastoreError::Unsupported("the planner is not running");
        self.0.requests.send(request).await.map_err(|_| unavailable.clone())?;
        verdict.await.map_err(|_| unavailable)?.map_err(DatastoreError::NotAdmitted)
    }

    /// Opens a session for an authenticated user; `None` if the user is not configured. The protocol server must end
    /// the session when the returned signal is notified.
    pub async fn open_session(&self, user: &str, client_origin: &str) -> Option<(Caller, Arc<Notify>)> {
        let mut inner = self.0.inner.lock().await;
        inner.access.role(user)?;
        inner.last_session += 1;
        let session = Session(inner.last_session);
        let end_signal = Arc::new(Notify::new());
        let open_session = OpenSession {
            user: user.into(),
            client_origin: client_origin.into(),
            end_signal: end_signal.clone(),
            killed_by: None,
        };
        inner.sessions.insert(session, open_session);
        inner.datastores.open_session(session, user);
        drop(inner);
        let caller = Caller { session, user: user.into() };
        tracing::info!("session {} of {user} from {client_origin} is open", session.0);
        self.notify(Notification::SessionStarted {
            caller: caller.clone(),
            client_origin: client_origin.into(),
        });
        Some((caller, end_signal))
    }

    /// Closes a session: releases its locks and makes the rollback of its confirmed commit due, unless the commit has a
    /// persist id.
    pub async fn close_session(&self, caller: &Caller, reason: TerminationReason) {
        let mut inner = self.0.inner.lock().await;
        let Some(closed) = inner.sessions.remove(&caller.session) else { return };
        inner.datastores.end_session(self.now(), caller.session);
        drop(inner);
        let reason = closed.killed_by.map_or(reason, TerminationReason::Killed);
        tracing::info!(
            "session {} of {} from {} ended: {reason:?}",
            caller.session.0,
            caller.user,
            closed.client_origin
        );
        self.0.rescheduled.notify_one();
        self.notify(Notification::SessionEnded { caller: caller.clone(), reason });
    }

    /// Signals another session to end. Only an admin or the other session's own user may end it.
    pub async fn kill_session(&self, caller: &Caller, session: Session) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let is_admin = inner.access.role(&caller.user) == Some(Role::Admin);
        let Some(other) = inner.sessions.get_mut(&session).filter(|_| session != caller.session) else {
            return Err(DatastoreError::Unsupported("no other session has this number"));
        };
        if !is_admin && other.user != caller.user {
            return Err(DatastoreError::AccessDenied(format!("session {}", session.0)));
        }
        other.killed_by = Some(caller.session);
        other.end_signal.notify_one();
        Ok(())
    }

    /// The open sessions, each with its user and the client's transport and address.
    pub async fn sessions(&self) -> Vec<(Session, String, String)> {
        let inner = self.0.inner.lock().await;
        inner.sessions.iter().map(|(id, open)| (*id, open.user.clone(), open.client_origin.clone())).collect()
    }

    /// The locked datastores, each with the session that holds the lock.
    pub async fn locks(&self) -> Vec<(Datastore, Session)> {
        let inner = self.0.inner.lock().await;
        let all_datastores = [Datastore::Running, Datastore::Candidate, Datastore::Startup];
        all_datastores
            .into_iter()
            .filter_map(|datastore| Some((datastore, inner.datastores.lock_holder(datastore)?)))
            .collect()
    }

    /// The part of a datastore that the user may read.
    pub async fn get(&self, caller: &Caller, datastore: Datastore) -> Data {
        let inner = self.0.inner.lock().await;
        inner.access.filter_readable(&self.0.schema, &caller.user, inner.datastores.get(datastore))
    }

    /// The part of the operational state that the user may read. It shows what was actually sent to the proxies and is
    /// at most `STATE_CACHE_TTL` old.
    pub async fn state(&self, caller: &Caller) -> Result<Data, DatastoreError> {
        let state = self.operational_state().await?;
        let inner = self.0.inner.lock().await;
        let now = self.now();
        let versions = inner.datastores.versions().map(|version| VersionState {
            number: version.number,
            author: version.author.clone(),
            age: now - version.committed_at,
        });
        let pending = inner.datastores.pending_confirmation();
        let versions = VersionsState {
            unconfirmed_for: pending.map(|(deadline, _)| deadline - now),
            rollback_failure: pending.and_then(|(_, reason)| reason.map(str::to_string)),
            versions: versions.collect(),
        };
        let data = state.data(&self.0.schema, &versions);
        Ok(inner.access.filter_readable(&self.0.schema, &caller.user, &data))
    }

    /// The operational state, cached or requested from the planner task.
    async fn operational_state(&self) -> Result<Arc<OperationalState>, DatastoreError> {
        // The lock is held during the request, so that concurrent readers share one request.
        let mut inner = self.0.inner.lock().await;
        if let Some((_, state)) =
            inner.cached_state.as_ref().filter(|(received_at, _)| received_at.elapsed() < STATE_CACHE_TTL)
        {
            return Ok(state.clone());
        }
        let (reply, state) = oneshot::channel();
        let unavailable = DatastoreError::Unsupported("the planner is not running");
        self.0.requests.send(PlannerRequest::State(reply)).await.map_err(|_| unavailable.clone())?;
        let state = state.await.map_err(|_| unavailable)?;
        inner.cached_state = Some((Instant::now(), state.clone()));
        Ok(state)
    }

    /// Edits the candidate, or only tests whether the edit is valid. An edit that changes any node that the user may
    /// not write is rejected and changes nothing.
    pub async fn edit(
        &self,
        caller: &Caller,
        edit_nodes: &[EditNode],
        default_operation: DefaultOperation,
        error_option: ErrorOption,
        test_option: TestOption,
    ) -> Result<Vec<ModelError>, DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let (data, errors) =
            inner.datastores.edit_candidate(caller.session, edit_nodes, default_operation, error_option)?;
        self.check_write_access(&inner, caller, inner.datastores.get(Datastore::Candidate), &data)?;
        if test_option != TestOption::Set {
            inner.datastores.validate(&data)?;
        }
        if test_option != TestOption::TestOnly {
            inner.datastores.put_edited(caller.session, data, default_operation)?;
        }
        Ok(errors)
    }

    /// Checks that the user may make every change between `old` and `new`.
    fn check_write_access(
        &self,
        inner: &Inner,
        caller: &Caller,
        old: &Data,
        new: &Data,
    ) -> Result<(), DatastoreError> {
        match inner.access.first_denied_write(&self.0.schema, &caller.user, old, new) {
            Some(path) => Err(DatastoreError::AccessDenied(path.format(&self.0.schema))),
            None => Ok(()),
        }
    }

    /// The data of a source, if the user may read all of it.
    fn source_data(&self, inner: &Inner, caller: &Caller, source: Source) -> Result<Data, DatastoreError> {
        Ok(match source {
            // A user who may read only a part of the source must not copy the rest, which they cannot see.
            Source::Datastore(datastore) => {
                let data = inner.datastores.get(datastore);
                let readable = inner.access.filter_readable(&self.0.schema, &caller.user, data);
                if readable != *data {
                    return Err(DatastoreError::AccessDenied("unreadable parts of the source".into()));
                }
                readable
            }
            Source::Inline(edit_nodes) => {
                let mut data = Data::from_edit_nodes(&self.0.schema, &edit_nodes)
                    .map_err(|error| DatastoreError::Invalid(vec![error]))?;
                data.prune_empty(&self.0.schema);
                data
            }
        })
    }

    /// Replaces the candidate or startup with a source. Startup is first written to the operator's file.
    pub async fn copy(
        &self,
        caller: &Caller,
        source: Source,
        target: Datastore,
    ) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let data = self.source_data(&inner, caller, source)?;
        self.put(&mut inner, caller, target, data)
    }

    /// Replaces a datastore if the user may make every change that this takes.
    fn put(
        &self,
        inner: &mut Inner,
        caller: &Caller,
        target: Datastore,
        data: Data,
    ) -> Result<(), DatastoreError> {
        self.check_write_access(inner, caller, inner.datastores.get(target), &data)?;
        if target == Datastore::Startup {
            inner.datastores.validate(&data)?;
            if let Some(holder) =
                inner.datastores.lock_holder(Datastore::Startup).filter(|holder| *holder != caller.session)
            {
                return Err(DatastoreError::InUse(holder));
            }
            let file = self
                .0
                .file
                .as_ref()
                .ok_or(DatastoreError::Unsupported("there is no operator's file to store startup in"))?;
            file.write(&self.0.schema, &data).map_err(|error| {
                tracing::error!("{} cannot be written: {error}", file.path().display());
                DatastoreError::Unsupported(
                    "the operator's file cannot be written; see the log for the cause",
                )
            })?;
        }
        inner.datastores.put(caller.session, target, data)
    }

    /// Empties startup. Other datastores cannot be deleted.
    pub async fn delete(&self, caller: &Caller, target: Datastore) -> Result<(), DatastoreError> {
        if target != Datastore::Startup {
            return Err(DatastoreError::Unsupported("only startup can be deleted"));
        }
        let mut inner = self.0.inner.lock().await;
        self.put(&mut inner, caller, target, Data::default())
    }

    /// Checks that the user's role may write at all, since a reader could otherwise block writers, for example with a
    /// lock. `target` names what access is denied to.
    fn check_writer(inner: &Inner, caller: &Caller, target: &str) -> Result<(), DatastoreError> {
        match inner.access.role(&caller.user) {
            Some(Role::Operator | Role::Admin) => Ok(()),
            Some(Role::Reader) | None => Err(DatastoreError::AccessDenied(target.into())),
        }
    }

    /// Locks a datastore for the session.
    pub async fn lock(&self, caller: &Caller, datastore: Datastore) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        DatastoreManager::check_writer(&inner, caller, "a lock")?;
        inner.datastores.lock(datastore, caller.session)
    }

    /// Releases a lock of the session.
    pub async fn unlock(&self, caller: &Caller, datastore: Datastore) -> Result<(), DatastoreError> {
        self.0.inner.lock().await.datastores.unlock(datastore, caller.session)
    }

    /// Resets the candidate to running.
    pub async fn discard(&self, caller: &Caller) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        DatastoreManager::check_writer(&inner, caller, "the candidate")?;
        inner.datastores.discard(caller.session)
    }

    /// Checks that the data of a source is valid and that the planner would accept it now.
    pub async fn validate(&self, caller: &Caller, source: Source) -> Result<(), DatastoreError> {
        let inner = self.0.inner.lock().await;
        let data = self.source_data(&inner, caller, source)?;
        inner.datastores.validate(&data)?;
        let (reply, verdict) = oneshot::channel();
        let intent = Box::new(juniperrail_intent::Intent::from_data(&self.0.schema, &data));
        self.request_verdict(PlannerRequest::Validate { intent, reply }, verdict).await
    }

    /// Makes the candidate the running configuration, or returns why the commit is refused.
    pub async fn commit(&self, caller: &Caller, commit: Commit) -> Result<CommitOutcome, DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let confirmed = commit.confirmed;
        let was_pending = inner.datastores.pending_confirmation().is_some();
        DatastoreManager::check_writer(&inner, caller, "running")?;
        let proposal = inner.datastores.propose_commit(caller.session, &caller.user, commit)?;
        // The candidate may contain edits of other users. The committing user must be allowed to write all of them.
        self.check_write_access(&inner, caller, inner.datastores.get(Datastore::Running), &proposal.data)?;
        let outcome = self.apply(&mut inner, Some(caller.session), proposal).await?;
        if was_pending && !confirmed {
            self.notify(Notification::ConfirmedCommit { event: "complete" });
        }
        Ok(outcome)
    }

    /// Cancels the pending confirmed commit and restores the configuration before it.
    pub async fn cancel_commit(
        &self,
        caller: &Caller,
        persist_id: Option<&str>,
    ) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        DatastoreManager::check_writer(&inner, caller, "running")?;
        let proposal = inner.datastores.propose_cancel(caller.session, persist_id)?;
        self.apply(&mut inner, Some(caller.session), proposal).await?;
        self.notify(Notification::ConfirmedCommit { event: "cancel" });
        Ok(())
    }

    /// Copies a retained version of running into the candidate.
    pub async fn restore_version(&self, caller: &Caller, number: u64) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let data = inner.datastores.version_data(number)?.clone();
        self.put(&mut inner, caller, Datastore::Candidate, data)
    }

    /// Whether the user may read a path, for requests outside the datastores such as schemas and notifications.
    pub async fn may_read(&self, caller: &Caller, path: &juniperrail_model::Path) -> bool {
        self.0.inner.lock().await.access.permits(&caller.user, AccessOperation::Read, path)
    }
}

/// The `test-option` of an edit (RFC 6241): whether the edit is validated, applied, or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestOption {
    TestThenSet,
    Set,
    TestOnly,
}
