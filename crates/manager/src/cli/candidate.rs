//! Changes of a manager's candidate by one command. All sessions share the candidate, so a command that edits and
//! commits locks it meanwhile: its commit then contains its own edits and no others, and a refusal discards no others.

use std::time::Duration;

use juniperrail_client::{Client, ClientError, Commit, Datastore};
use tokio::time::{sleep, Instant};

/// The longest wait for the lock of another session.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The `error-app-tag` of a request that another session's lock prevents.
const LOCKED_TAG: &str = "datastore-locked";

/// A change of the candidate.
pub enum CandidateChange {
    Edit {
        /// The elements of an `edit-config`, as XML text.
        content: String,
        /// The `default-operation` of the edit.
        default_operation: &'static str,
    },
    /// Restores a version of running.
    Restore { version: u64 },
}

impl CandidateChange {
    async fn apply(&self, client: &mut Client) -> Result<(), ClientError> {
        match self {
            CandidateChange::Edit { content, default_operation } => {
                client.edit_with(content, default_operation, "test-then-set").await
            }
            CandidateChange::Restore { version } => client.rollback(*version).await,
        }
    }
}

/// Changes the candidate and leaves the change there.
pub async fn prepare(client: &mut Client, change: &CandidateChange) -> Result<(), ClientError> {
    retry_while_locked(client, async |client| change.apply(client).await).await
}

/// Changes the candidate and commits it. Refused if the candidate has uncommitted changes of others. If the change or
/// the commit is refused, the candidate is unchanged.
pub async fn change_and_commit(
    client: &mut Client,
    change: &CandidateChange,
    parameters: &Commit,
) -> Result<(), ClientError> {
    retry_while_locked(client, async |client| client.lock(Datastore::Candidate).await).await?;
    let result = match change.apply(client).await {
        Ok(()) => client.commit(parameters).await,
        Err(error) => Err(error),
    };
    // Unlocking discards what is not committed. If the connection is lost, the end of the session does the same.
    let unlocked = client.unlock(Datastore::Candidate).await;
    result.and(unlocked)
}

/// Commits the candidate with all that it contains. If the manager refuses, the candidate is unchanged.
pub async fn commit(client: &mut Client, parameters: &Commit) -> Result<(), ClientError> {
    retry_while_locked(client, async |client| client.commit(parameters).await).await
}

/// Discards all changes in the candidate.
pub async fn discard(client: &mut Client) -> Result<(), ClientError> {
    retry_while_locked(client, async |client| client.discard().await).await
}

/// Makes a request again while the lock of another session prevents it, for at most `LOCK_TIMEOUT`.
async fn retry_while_locked(
    client: &mut Client,
    mut request: impl AsyncFnMut(&mut Client) -> Result<(), ClientError>,
) -> Result<(), ClientError> {
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match request(client).await {
            Err(error) if is_locked(&error) && Instant::now() < deadline => sleep(LOCK_RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

fn is_locked(error: &ClientError) -> bool {
    error.rpc_errors().iter().any(|rpc_error| rpc_error.app_tag.as_deref() == Some(LOCKED_TAG))
}
