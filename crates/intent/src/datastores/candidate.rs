//! The candidate datastore, with the sessions that have uncommitted edits in it. The candidate is shared between
//! sessions (RFC 6241 section 8.3.1), so one session can discard what another has edited. The commit of the other is
//! then refused until its client edits again or discards: otherwise it would succeed although nothing of its edits is running.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_model::Data;

use super::Session;

/// The sessions that edited a configuration. Sessions that have ended are recorded by their user, so that the number of
/// entries is limited by the number of open sessions and users.
#[derive(Debug, Default)]
pub(super) struct Editors {
    sessions: BTreeSet<Session>,
    users_of_ended_sessions: BTreeSet<String>,
}

impl Editors {
    /// Removes a session that needs no notice, because it knows what became of its edits.
    pub fn remove(&mut self, session: Session) {
        self.sessions.remove(&session);
    }

    /// Adds those of another configuration.
    pub fn extend(&mut self, other: Editors) {
        self.sessions.extend(other.sessions);
        self.users_of_ended_sessions.extend(other.users_of_ended_sessions);
    }

    /// Replaces a session that ends by its user.
    fn end_session(&mut self, session: Session, user: Option<&String>) {
        if self.sessions.remove(&session) {
            self.users_of_ended_sessions.extend(user.cloned());
        }
    }
}

/// Edits that another session undid: it discarded them before they were committed, or committed them unconfirmed.
#[derive(Clone, Debug)]
struct UndoneEdits {
    by: Session,
    /// Whether a commit was refused for it, so that the user knows.
    is_reported: bool,
}

/// The shared candidate configuration.
#[derive(Debug, Default)]
pub(super) struct Candidate {
    /// `None` while it is unedited and therefore follows running.
    data: Option<Data>,
    editors: Editors,
    /// The users of the open sessions, as far as they were told.
    users: BTreeMap<Session, String>,
    undone_of_sessions: BTreeMap<Session, UndoneEdits>,
    /// Undone edits of sessions that have ended, by their user.
    undone_of_users: BTreeMap<String, UndoneEdits>,
}

impl Candidate {
    /// The content, unless it follows running.
    pub fn data(&self) -> Option<&Data> {
        self.data.as_ref()
    }

    /// Records the user of a session.
    pub fn open_session(&mut self, session: Session, user: &str) {
        self.users.insert(session, user.to_string());
    }

    /// Stores the content after an edit, which kept the edits of other sessions.
    pub fn edit(&mut self, session: Session, data: Data) {
        self.forget_reported(session);
        self.data = Some(data);
        self.editors.sessions.insert(session);
    }

    /// Replaces the content, which discards the edits of other sessions.
    pub fn replace(&mut self, session: Session, data: Data) {
        self.forget_reported(session);
        let editors = std::mem::take(&mut self.editors);
        self.record_undone(session, editors);
        self.data = Some(data);
        self.editors.sessions.insert(session);
    }

    /// Discards all edits, those of other sessions too. The calling session and its user know of theirs.
    pub fn discard(&mut self, session: Session) {
        self.undone_of_sessions.remove(&session);
        if let Some(user) = self.users.get(&session) {
            self.undone_of_users.remove(user);
        }
        self.data = None;
        let editors = std::mem::take(&mut self.editors);
        self.record_undone(session, editors);
    }

    /// Empties the candidate because its content is running now. Returns the sessions that had edited it.
    pub fn commit(&mut self) -> Editors {
        self.data = None;
        std::mem::take(&mut self.editors)
    }

    /// Records that `by` has undone the edits of all these sessions but its own. A user who undoes the edits of an
    /// own earlier session knows of it.
    pub fn record_undone(&mut self, by: Session, editors: Editors) {
        let undone = UndoneEdits { by, is_reported: false };
        let others = editors.sessions.into_iter().filter(|session| *session != by);
        self.undone_of_sessions.extend(others.map(|session| (session, undone.clone())));
        let own_user = self.users.get(&by);
        let other_users = editors.users_of_ended_sessions.into_iter().filter(|user| Some(user) != own_user);
        self.undone_of_users.extend(other_users.map(|user| (user, undone.clone())));
    }

    /// The session that undid edits of the given session, or of an ended one of its user, if a commit of it must
    /// be refused for that. A session that has edited the candidate itself commits its own edits.
    pub fn report_undone(&mut self, session: Session) -> Option<Session> {
        let own = self.undone_of_sessions.get_mut(&session);
        let has_edits = self.editors.sessions.contains(&session);
        let user = self.users.get(&session).filter(|_| !has_edits);
        let undone = own.or(user.and_then(|user| self.undone_of_users.get_mut(user)))?;
        undone.is_reported = true;
        Some(undone.by)
    }

    /// A session that edits again after the refusal of its commit goes on without the undone edits.
    fn forget_reported(&mut self, session: Session) {
        self.undone_of_sessions.retain(|key, undone| *key != session || !undone.is_reported);
        if let Some(user) = self.users.get(&session) {
            self.undone_of_users.retain(|key, undone| key != user || !undone.is_reported);
        }
    }

    /// Ends a session. Its edits stay. What it has not learned of its undone edits, the next session of its user
    /// learns; `committed` are the editors of a commit that may still be rolled back.
    pub fn end_session(&mut self, session: Session, committed: Option<&mut Editors>) {
        let user = self.users.remove(&session);
        self.editors.end_session(session, user.as_ref());
        committed.into_iter().for_each(|editors| editors.end_session(session, user.as_ref()));
        let undone = self.undone_of_sessions.remove(&session);
        let (Some(user), Some(undone)) = (user, undone) else { return };
        if !undone.is_reported {
            self.undone_of_users.insert(user, undone);
        }
    }
}
