//! The keeper of the datastores and of who speaks from the north. Everything that a front may do is one function
//! here, under one lock that is given in the order of asking, and held while the decisions answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::{
    AccessControl, AccessOperation, Commit, CommitOutcome, Datastore, DatastoreError, Datastores,
    DefaultOperation, ErrorOption, Proposal, Role, Session,
};
use juniperrail_interface::Ms;
use juniperrail_model::{Data, Draft, Fault, Schema};
use tokio::sync::{broadcast, mpsc, oneshot, watch, Mutex, Notify};
use tokio::time::Instant;

use crate::ask::{Notice, PlannerRequest, Verdict, NOTICE_QUEUE_CAPACITY};
use crate::file::OperatorFile;
use crate::state::{State, VersionState, VersionsState};

/// A state no older is told again in place of a new one, however many ask.
const STATE_AGE: Duration = Duration::from_millis(100);

/// Who asks: a session, and whom it was found to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    pub session: Session,
    pub user: String,
}

/// How a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationReason {
    Closed,
    Killed(Session),
    Dropped,
    TimedOut,
}

/// What subscribers are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// Running changed.
    ConfigChanged {
        number: u64,
        by: String,
        session: Option<Session>,
        unconfirmed: bool,
        edits: Vec<(String, &'static str)>,
    },
    /// A confirmed commit was confirmed, undone on request, or undone as nobody confirmed it.
    ConfirmedCommit {
        how: &'static str,
    },
    SessionStarted {
        caller: Caller,
        from: String,
    },
    SessionEnded {
        caller: Caller,
        how: TerminationReason,
    },
    ChangeApplied {
        number: u64,
        after: Ms,
    },
}

/// Data that an operation takes: a datastore's, or what came with it.
pub enum Source {
    Store(Datastore),
    Inline(Vec<Draft>),
}

struct Speaker {
    user: String,
    from: String,
    end: Arc<Notify>,
    killed: Option<Session>,
}

struct Inner {
    stores: Datastores,
    access: AccessControl,
    speakers: BTreeMap<Session, Speaker>,
    last: u32,
    state: Option<(Instant, Arc<State>)>,
}

/// What all fronts share.
#[derive(Clone)]
pub struct DatastoreManager(Arc<Shared>);

struct Shared {
    schema: Arc<Schema>,
    file: Option<OperatorFile>,
    asks: mpsc::Sender<PlannerRequest>,
    started: Instant,
    unix: Ms,
    inner: Mutex<Inner>,
    /// The access rules in force, for fronts that have to know who may come before there is a session.
    access: watch::Sender<AccessControl>,
    told: broadcast::Sender<Arc<Notification>>,
    /// The next roll-back may be due at another time.
    rescheduled: Notify,
}

impl DatastoreManager {
    /// `unix`: the time now, in Unix milliseconds.
    pub fn new(
        schema: Arc<Schema>,
        unix: Ms,
        startup: Data,
        file: Option<OperatorFile>,
        asks: mpsc::Sender<PlannerRequest>,
    ) -> Result<DatastoreManager, DatastoreError> {
        let stores = Datastores::new(schema.clone(), unix, startup)?;
        let access = AccessControl::from_data(&schema, stores.get(Datastore::Running)).unwrap_or_default();
        let (speakers, state) = (BTreeMap::new(), None);
        let inner = Mutex::new(Inner { stores, access: access.clone(), speakers, last: 0, state });
        let (access, told) = (watch::Sender::new(access), broadcast::Sender::new(NOTICE_QUEUE_CAPACITY));
        let (started, rescheduled) = (Instant::now(), Notify::new());
        Ok(DatastoreManager(Arc::new(Shared {
            schema,
            file,
            asks,
            started,
            unix,
            inner,
            access,
            told,
            rescheduled,
        })))
    }

    pub fn schema(&self) -> &Arc<Schema> {
        &self.0.schema
    }

    /// Unix time in milliseconds, which never runs back.
    pub fn now(&self) -> Ms {
        self.0.unix + self.0.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn access_rules(&self) -> watch::Receiver<AccessControl> {
        self.0.access.subscribe()
    }

    /// What happens from now on. Who reads too slowly loses the oldest and is told how many.
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<Notification>> {
        self.0.told.subscribe()
    }

    fn tell(&self, told: Notification) {
        // Nobody need listen.
        _ = self.0.told.send(Arc::new(told));
    }

    /// Does what is due by time, and passes on what the decisions tell. Ends with them.
    pub async fn run(&self, mut notices: mpsc::Receiver<Notice>) {
        loop {
            let due = self.0.inner.lock().await.stores.next_deadline();
            let wait = due.map(|due| Duration::from_secs_f64(((due - self.now()) / 1000.0).clamp(0.0, 1e6)));
            let wait = wait.map(tokio::time::sleep);
            let timer = async {
                match wait {
                    Some(wait) => wait.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => self.roll_back().await,
                () = self.0.rescheduled.notified() => {}
                notice = notices.recv() => match notice {
                    Some(Notice::Applied { number, after }) => {
                        // Guards against telling that a change is held before that there is one: who makes it running
                        // has this lock until that is told.
                        let _running = self.0.inner.lock().await;
                        self.tell(Notification::ChangeApplied { number, after });
                    }
                    None => return,
                },
            }
        }
    }

    /// Takes back the confirmed commit that nobody confirmed in time.
    async fn roll_back(&self) {
        let mut inner = self.0.inner.lock().await;
        let Some(proposal) = inner.stores.due_rollback(self.now()) else { return };
        let number = proposal.number;
        match self.settle(&mut inner, None, proposal).await {
            Ok(_) => {
                tracing::warn!(
                    "a confirmed commit was not confirmed in time and is taken back as version {number}"
                );
                self.tell(Notification::ConfirmedCommit { how: "timeout" });
            }
            Err(why) => {
                tracing::error!("a confirmed commit cannot be taken back yet: {why}");
                inner.stores.postpone_rollback(self.now(), why.to_string());
            }
        }
    }

    /// Has a proposal judged, and makes it running if the decisions took it over.
    async fn settle(
        &self,
        inner: &mut Inner,
        session: Option<Session>,
        proposal: Proposal,
    ) -> Result<CommitOutcome, DatastoreError> {
        let (tell, verdict) = oneshot::channel();
        let (number, by) = (proposal.number, proposal.author.clone());
        let intent = Box::new(proposal.intent.clone());
        let ask = PlannerRequest::Apply { number, by: by.clone(), intent, verdict: tell };
        self.judged(ask, verdict).await?;
        let before = inner.stores.get(Datastore::Running).clone();
        let concluded = inner.stores.apply(self.now(), proposal);
        inner.state = None;
        let running = inner.stores.get(Datastore::Running);
        // Its rules were read when it was checked.
        inner.access = AccessControl::from_data(&self.0.schema, running).unwrap_or_default();
        self.0.access.send_replace(inner.access.clone());
        self.0.rescheduled.notify_one();
        tracing::info!("version {number} of the configuration is running, by {by}");
        let edits = self.edits(&before, running);
        let unconfirmed = concluded.confirm_deadline.is_some();
        self.tell(Notification::ConfigChanged { number, by, session, unconfirmed, edits });
        Ok(concluded)
    }

    fn edits(&self, before: &Data, after: &Data) -> Vec<(String, &'static str)> {
        let found = juniperrail_model::diff(&self.0.schema, before, after);
        let edit = |d: juniperrail_model::Difference| {
            let what = match (d.old.is_some(), d.new.is_some()) {
                (false, _) => "create",
                (true, false) => "delete",
                (true, true) => "replace",
            };
            (d.path.spelled(&self.0.schema), what)
        };
        found.into_iter().map(edit).collect()
    }

    async fn judged(
        &self,
        ask: PlannerRequest,
        verdict: oneshot::Receiver<Verdict>,
    ) -> Result<(), DatastoreError> {
        let gone = DatastoreError::Unsupported("the decisions are not there any more");
        self.0.asks.send(ask).await.map_err(|_| gone.clone())?;
        verdict.await.map_err(|_| gone)?.map_err(DatastoreError::NotAdmitted)
    }

    /// Somebody speaks, as the user that the front found it to be. `None`: that user is not known here.
    pub async fn open_session(&self, user: &str, from: &str) -> Option<(Caller, Arc<Notify>)> {
        let mut inner = self.0.inner.lock().await;
        inner.access.role(user)?;
        inner.last += 1;
        let (session, end) = (Session(inner.last), Arc::new(Notify::new()));
        let speaker = Speaker { user: user.into(), from: from.into(), end: end.clone(), killed: None };
        inner.speakers.insert(session, speaker);
        drop(inner);
        let caller = Caller { session, user: user.into() };
        tracing::info!("session {} of {user} from {from} is open", session.0);
        self.tell(Notification::SessionStarted { caller: caller.clone(), from: from.into() });
        Some((caller, end))
    }

    /// Its locks go, and its confirmed commit unless that has a name.
    pub async fn close_session(&self, caller: &Caller, how: TerminationReason) {
        let mut inner = self.0.inner.lock().await;
        let Some(speaker) = inner.speakers.remove(&caller.session) else { return };
        inner.stores.end_session(self.now(), caller.session);
        drop(inner);
        let how = speaker.killed.map_or(how, TerminationReason::Killed);
        tracing::info!(
            "session {} of {} from {} is over: {how:?}",
            caller.session.0,
            caller.user,
            speaker.from
        );
        self.0.rescheduled.notify_one();
        self.tell(Notification::SessionEnded { caller: caller.clone(), how });
    }

    /// Ends another's session; only admins may, or the same user.
    pub async fn kill_session(&self, caller: &Caller, session: Session) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let admin = inner.access.role(&caller.user) == Some(Role::Admin);
        let Some(speaker) = inner.speakers.get_mut(&session).filter(|_| session != caller.session) else {
            return Err(DatastoreError::Unsupported("there is no other session of that number"));
        };
        if !admin && speaker.user != caller.user {
            return Err(DatastoreError::AccessDenied(format!("session {}", session.0)));
        }
        speaker.killed = Some(caller.session);
        speaker.end.notify_one();
        Ok(())
    }

    /// Every session with its user and where it comes from.
    pub async fn sessions(&self) -> Vec<(Session, String, String)> {
        let inner = self.0.inner.lock().await;
        inner.speakers.iter().map(|(id, s)| (*id, s.user.clone(), s.from.clone())).collect()
    }

    /// Who holds which lock.
    pub async fn locks(&self) -> Vec<(Datastore, Session)> {
        let inner = self.0.inner.lock().await;
        let stores = [Datastore::Running, Datastore::Candidate, Datastore::Startup];
        stores.into_iter().filter_map(|store| Some((store, inner.stores.lock_holder(store)?))).collect()
    }

    /// A datastore as the user may read it.
    pub async fn get(&self, caller: &Caller, store: Datastore) -> Data {
        let inner = self.0.inner.lock().await;
        inner.access.filter_readable(&self.0.schema, &caller.user, inner.stores.get(store))
    }

    /// The state as the user may read it: what the proxies were really told, at most 100 ms ago.
    pub async fn state(&self, caller: &Caller) -> Result<Data, DatastoreError> {
        let state = self.snapshot().await?;
        let inner = self.0.inner.lock().await;
        let now = self.now();
        let versions = inner.stores.versions().map(|version| VersionState {
            number: version.number,
            by: version.author.clone(),
            age: now - version.at,
        });
        let waits = inner.stores.pending_confirmation();
        let versions = VersionsState {
            unconfirmed_for: waits.map(|(until, _)| until - now),
            overdue: waits.and_then(|(_, why)| why.map(str::to_string)),
            versions: versions.collect(),
        };
        let data = state.data(&self.0.schema, &versions);
        Ok(inner.access.filter_readable(&self.0.schema, &caller.user, &data))
    }

    async fn snapshot(&self) -> Result<Arc<State>, DatastoreError> {
        // The lock is held meanwhile, so that however many ask, one is asked for.
        let mut inner = self.0.inner.lock().await;
        if let Some((_, state)) = inner.state.as_ref().filter(|(at, _)| at.elapsed() < STATE_AGE) {
            return Ok(state.clone());
        }
        let (tell, told) = oneshot::channel();
        let gone = DatastoreError::Unsupported("the decisions are not there any more");
        self.0.asks.send(PlannerRequest::State(tell)).await.map_err(|_| gone.clone())?;
        let state = told.await.map_err(|_| gone)?;
        inner.state = Some((Instant::now(), state.clone()));
        Ok(state)
    }

    /// Edits the candidate, or only says whether it could be. What the user may not write is refused whole.
    pub async fn edit(
        &self,
        caller: &Caller,
        drafts: &[Draft],
        default: DefaultOperation,
        errors: ErrorOption,
        check: TestOption,
    ) -> Result<Vec<Fault>, DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let (data, faults) = inner.stores.edit_candidate(caller.session, drafts, default, errors)?;
        self.allowed(&inner, caller, inner.stores.get(Datastore::Candidate), &data)?;
        if check != TestOption::Set {
            inner.stores.validate(&data)?;
        }
        if check != TestOption::TestOnly {
            inner.stores.put(caller.session, Datastore::Candidate, data)?;
        }
        Ok(faults)
    }

    fn allowed(&self, inner: &Inner, caller: &Caller, old: &Data, new: &Data) -> Result<(), DatastoreError> {
        match inner.access.first_denied_write(&self.0.schema, &caller.user, old, new) {
            Some(path) => Err(DatastoreError::AccessDenied(path.spelled(&self.0.schema))),
            None => Ok(()),
        }
    }

    fn taken(&self, inner: &Inner, caller: &Caller, source: Source) -> Result<Data, DatastoreError> {
        Ok(match source {
            // Nobody copies what he may not read, and with it writes what he doesn't see.
            Source::Store(store) => {
                let data = inner.stores.get(store);
                let seen = inner.access.filter_readable(&self.0.schema, &caller.user, data);
                if seen != *data {
                    return Err(DatastoreError::AccessDenied(
                        "what this user may not read of the source".into(),
                    ));
                }
                seen
            }
            Source::Inline(drafts) => {
                let mut data = Data::from_drafts(&self.0.schema, &drafts)
                    .map_err(|f| DatastoreError::Faults(vec![f]))?;
                data.tidy(&self.0.schema);
                data
            }
        })
    }

    /// Puts whole data into the candidate or startup; startup goes to the operator's file first.
    pub async fn copy(
        &self,
        caller: &Caller,
        source: Source,
        target: Datastore,
    ) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let data = self.taken(&inner, caller, source)?;
        self.put(&mut inner, caller, target, data)
    }

    fn put(
        &self,
        inner: &mut Inner,
        caller: &Caller,
        target: Datastore,
        data: Data,
    ) -> Result<(), DatastoreError> {
        self.allowed(inner, caller, inner.stores.get(target), &data)?;
        if target == Datastore::Startup {
            inner.stores.validate(&data)?;
            if let Some(holder) =
                inner.stores.lock_holder(Datastore::Startup).filter(|holder| *holder != caller.session)
            {
                return Err(DatastoreError::InUse(holder));
            }
            let file = self
                .0
                .file
                .as_ref()
                .ok_or(DatastoreError::Unsupported("there is no operator's file to hold startup"))?;
            file.write(&self.0.schema, &data).map_err(|why| {
                tracing::error!("{} cannot be written: {why}", file.path().display());
                DatastoreError::Unsupported("the operator's file cannot be written; the log says why")
            })?;
        }
        inner.stores.put(caller.session, target, data)
    }

    /// Empties startup.
    pub async fn delete(&self, caller: &Caller, target: Datastore) -> Result<(), DatastoreError> {
        if target != Datastore::Startup {
            return Err(DatastoreError::Unsupported("only startup can be deleted"));
        }
        let mut inner = self.0.inner.lock().await;
        self.put(&mut inner, caller, target, Data::default())
    }

    /// Guards against somebody who may change nothing and keeps others from it all the same.
    fn writer(inner: &Inner, caller: &Caller, what: &str) -> Result<(), DatastoreError> {
        match inner.access.role(&caller.user) {
            Some(Role::Operator | Role::Admin) => Ok(()),
            Some(Role::Reader) | None => Err(DatastoreError::AccessDenied(what.into())),
        }
    }

    pub async fn lock(&self, caller: &Caller, store: Datastore) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        DatastoreManager::writer(&inner, caller, "a lock")?;
        inner.stores.lock(store, caller.session)
    }

    pub async fn unlock(&self, caller: &Caller, store: Datastore) -> Result<(), DatastoreError> {
        self.0.inner.lock().await.stores.unlock(store, caller.session)
    }

    pub async fn discard(&self, caller: &Caller) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        DatastoreManager::writer(&inner, caller, "the candidate")?;
        inner.stores.discard(caller.session)
    }

    /// Whether it fits the model and the world would bear it now.
    pub async fn validate(&self, caller: &Caller, source: Source) -> Result<(), DatastoreError> {
        let inner = self.0.inner.lock().await;
        let data = self.taken(&inner, caller, source)?;
        inner.stores.validate(&data)?;
        let (tell, verdict) = oneshot::channel();
        let intent = Box::new(juniperrail_intent::Intent::from_data(&self.0.schema, &data));
        self.judged(PlannerRequest::Validate { intent, verdict: tell }, verdict).await
    }

    /// Makes the candidate running, whole, or says why not.
    pub async fn commit(&self, caller: &Caller, commit: Commit) -> Result<CommitOutcome, DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let (confirmed, waited) = (commit.confirmed, inner.stores.pending_confirmation().is_some());
        DatastoreManager::writer(&inner, caller, "running")?;
        let proposal = inner.stores.propose_commit(caller.session, &caller.user, commit)?;
        // Edits of others may stand in the candidate: who commits answers for all of it.
        self.allowed(&inner, caller, inner.stores.get(Datastore::Running), &proposal.data)?;
        let concluded = self.settle(&mut inner, Some(caller.session), proposal).await?;
        if waited && !confirmed {
            self.tell(Notification::ConfirmedCommit { how: "complete" });
        }
        Ok(concluded)
    }

    /// Takes back a confirmed commit that waits.
    pub async fn cancel_commit(
        &self,
        caller: &Caller,
        persist_id: Option<&str>,
    ) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        DatastoreManager::writer(&inner, caller, "running")?;
        let proposal = inner.stores.propose_cancel(caller.session, persist_id)?;
        self.settle(&mut inner, Some(caller.session), proposal).await?;
        self.tell(Notification::ConfirmedCommit { how: "cancel" });
        Ok(())
    }

    /// Puts an older version of running into the candidate.
    pub async fn restore_version(&self, caller: &Caller, number: u64) -> Result<(), DatastoreError> {
        let mut inner = self.0.inner.lock().await;
        let data = inner.stores.version_data(number)?.clone();
        self.put(&mut inner, caller, Datastore::Candidate, data)
    }

    /// Whether the user may do something with all there is, as getting schemas or being told notifications.
    pub async fn may_read(&self, caller: &Caller, path: &juniperrail_model::Path) -> bool {
        self.0.inner.lock().await.access.permits(&caller.user, AccessOperation::Read, path)
    }
}

/// What an edit checks, RFC 6241's `test-option`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestOption {
    TestThenSet,
    Set,
    TestOnly,
}
