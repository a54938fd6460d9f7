//! The watch of the source, which keeps the list current.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use juniperrail_distribution::{Applied, ApplyError, EntryError, ListEnd, ListError, ListEvent, ListReader};
use juniperrail_limits::LogLimit;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::options::Timing;
use crate::shared::Shared;

/// The first wait before the source is dialled again is a heartbeat interval divided by this. It doubles with each
/// further failure, up to a full interval.
const FIRST_WAIT_DIVISOR: u32 = 32;
const MAX_DOUBLINGS: u32 = 5;

/// Why a watch of the source ended.
#[derive(Debug)]
enum WatchEnd {
    ConnectFailed(std::io::Error),
    ConnectTimeout,
    Http(hyper::Error),
    Status(StatusCode),
    /// No response head, complete entry or complete line within the timeout.
    Timeout,
    EndedBySource,
    InvalidLine(ListError),
    ListRejected(ApplyError),
    /// The lists of the source stay older than the current one.
    Behind,
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::ConnectFailed(cause) => write!(f, "{cause} (while dialling)"),
            WatchEnd::ConnectTimeout => write!(f, "the connection timed out (while dialling)"),
            WatchEnd::Http(cause) => write!(f, "connection error: {cause}"),
            WatchEnd::Status(status) => write!(f, "the source answered {status}"),
            WatchEnd::Timeout => write!(f, "the source completed no response head, entry or line in time"),
            WatchEnd::EndedBySource => write!(f, "the source ended the watch"),
            WatchEnd::InvalidLine(cause) => cause.fmt(f),
            WatchEnd::ListRejected(cause) => cause.fmt(f),
            WatchEnd::Behind => {
                write!(
                    f,
                    "the lists of the source stay older than the current one; the full list is requested"
                )
            }
        }
    }
}

/// Follows the list of the source.
pub(crate) struct SourceWatch {
    shared: Rc<Shared>,
    /// Since when the lists of the source have been older than the current one.
    behind_since: Option<Instant>,
    /// The next full list is accepted even if its version is lower than the current one.
    accepts_any_version: bool,
    rejected_entry_log: LogLimit,
    rng: fastrand::Rng,
}

impl SourceWatch {
    pub fn new(shared: Rc<Shared>) -> SourceWatch {
        SourceWatch {
            shared,
            behind_since: None,
            accepts_any_version: false,
            rejected_entry_log: LogLimit::default(),
            rng: fastrand::Rng::new(),
        }
    }

    /// Follows the list forever. Whenever a watch breaks, it connects again and resumes from the current version.
    pub async fn run(mut self) {
        let mut failures = 0_u32;
        loop {
            let version_before = self.current_version();
            let end = self.follow().await;
            self.shared.list.borrow_mut().discard_staged();
            failures = if self.current_version() == version_before { failures.saturating_add(1) } else { 0 };
            let wait = self.retry_wait(failures);
            // Logs ever less often while no watch brings a new version.
            if (failures + 1).is_power_of_two() {
                tracing::warn!("the watch broke: {end}; dialled again in {} ms", wait.as_millis());
            }
            sleep(wait).await;
        }
    }

    fn timing(&self) -> Timing {
        self.shared.options.timing
    }

    fn current_version(&self) -> Option<u64> {
        self.shared.list.borrow().version()
    }

    /// The wait before the source is dialled again, with jitter so that relays that lost the same source do not dial
    /// together.
    fn retry_wait(&mut self, failures: u32) -> Duration {
        let jitter = 0.5 + self.rng.f64();
        self.timing().heartbeat_interval.mul_f64(jitter) / (FIRST_WAIT_DIVISOR >> failures.min(MAX_DOUBLINGS))
    }

    /// Runs one watch, from connecting to its end.
    async fn follow(&mut self) -> WatchEnd {
        let index = self.current_version().filter(|_| !self.accepts_any_version);
        match self.open(index).await {
            Err(end) => end,
            Ok(body) => match self.read(body).await {
                Err(end) => end,
                Ok(()) => WatchEnd::EndedBySource,
            },
        }
    }

    /// Connects to the source and requests a watch.
    async fn open(&self, index: Option<u64>) -> Result<Incoming, WatchEnd> {
        let (address, timing) = (self.shared.options.source, self.timing());
        let connected = timeout(timing.heartbeat_interval, TcpStream::connect(address)).await;
        let socket = connected.map_err(|_| WatchEnd::ConnectTimeout)?.map_err(WatchEnd::ConnectFailed)?;
        let answered =
            timeout(timing.source_timeout, request_watch(socket, address.to_string(), index)).await;
        let response = answered.map_err(|_| WatchEnd::Timeout)?.map_err(WatchEnd::Http)?;
        if response.status() != StatusCode::OK {
            return Err(WatchEnd::Status(response.status()));
        }
        let from_version = index.map(|index| format!(" from {index} on")).unwrap_or_default();
        tracing::info!("watching the list at {address}{from_version}");
        Ok(response.into_body())
    }

    /// Reads a watch until the source ends it.
    async fn read(&mut self, mut body: Incoming) -> Result<(), WatchEnd> {
        let mut reader = ListReader::new(self.shared.options.limits.line);
        let mut deadline = Instant::now() + self.timing().source_timeout;
        loop {
            // Ends a watch that sends nothing, or that sends bytes without ever completing an entry or a line.
            let frame = timeout_at(deadline, body.frame()).await.map_err(|_| WatchEnd::Timeout)?;
            let Some(frame) = frame else {
                return reader.finish().map_err(WatchEnd::InvalidLine);
            };
            let data = frame.map_err(WatchEnd::Http)?.into_data().unwrap_or_default();
            let mut bytes = &data[..];
            while let Some(event) = reader.next(&mut bytes).map_err(WatchEnd::InvalidLine)? {
                deadline = Instant::now() + self.timing().source_timeout;
                self.process(event)?;
            }
            // A long list arrives in many frames; subscribers are served between them.
            yield_now().await;
        }
    }

    fn process(&mut self, event: ListEvent<'_>) -> Result<(), WatchEnd> {
        match event {
            ListEvent::Entry(entry) => {
                let staged = self.shared.list.borrow_mut().stage(entry);
                if let Err(error) = staged {
                    self.log_rejected_entry(&error);
                }
                return Ok(());
            }
            ListEvent::Heartbeat
                if self.behind_since.is_none()
                    && self.current_version().is_some()
                    && !self.accepts_any_version =>
            {
                self.shared.confirm();
            }
            ListEvent::Heartbeat => {}
            ListEvent::End(end) => self.apply(end)?,
        }
        // Without this, the lists of a source that restarted its versions would be skipped forever.
        let behind_timeout = self.timing().source_behind_timeout;
        if self.behind_since.take_if(|since| since.elapsed() >= behind_timeout).is_some() {
            self.accepts_any_version = true;
            return Err(WatchEnd::Behind);
        }
        Ok(())
    }

    fn log_rejected_entry(&self, error: &EntryError) {
        if let Some(suppressed) = self.rejected_entry_log.admit() {
            tracing::warn!("an entry is rejected ({suppressed} more since the last such line): {error}");
        }
    }

    fn apply(&mut self, end: ListEnd) -> Result<(), WatchEnd> {
        let is_restart = self.accepts_any_version
            && end.reset
            && self.current_version().is_some_and(|current| end.version < current);
        if is_restart {
            let applied = self.shared.list.borrow_mut().restart(end.version);
            tracing::warn!("the source restarted its versions at {}: all watches end", end.version);
            self.record_applied(end, applied);
            return Ok(());
        }
        let applied = self.shared.list.borrow_mut().apply(end.version, end.reset);
        match applied {
            Ok(applied) => self.record_applied(end, applied),
            Err(behind @ ApplyError::Behind { .. }) => {
                if self.behind_since.is_none() {
                    tracing::warn!("{behind}: it is skipped");
                }
                self.behind_since.get_or_insert_with(Instant::now);
            }
            Err(error) => return Err(WatchEnd::ListRejected(error)),
        }
        Ok(())
    }

    fn record_applied(&mut self, end: ListEnd, applied: Applied) {
        (self.behind_since, self.accepts_any_version) = (None, false);
        let workers = self.shared.list.borrow().worker_count();
        let kind = if end.reset { "full" } else { "changes" };
        tracing::debug!("list {} ({kind}): {} changed, {workers} workers", end.version, applied.changed);
        self.shared.notify_subscribers();
        self.shared.confirm();
    }
}

/// Requests a watch on a new connection.
async fn request_watch(
    socket: TcpStream,
    host: String,
    index: Option<u64>,
) -> Result<hyper::Response<Incoming>, hyper::Error> {
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    // The task ends with the body of the response, or when that is dropped. Its errors reach the reader of the body.
    spawn_local(connection);
    let index = index.map(|index| format!("&index={index}")).unwrap_or_default();
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = format!("/v1/servers?stream=1{index}").parse().unwrap_or_default();
    if let Ok(host) = host.parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    sender.send_request(request).await
}
