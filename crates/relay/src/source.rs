//! The watch that keeps the list current.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use juniperrail_distribution::{Applied, ApplyError, EntryError, ListEnd, ListError, ListEvent, ListReader};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::log_limit::LogLimit;
use crate::options::Timing;
use crate::shared::Shared;

/// The first wait before the source is dialled again is this fraction of a heartbeat; it doubles up to a whole one.
const FIRST_WAIT_FRACTION: u32 = 32;
const MOST_DOUBLINGS: u32 = 5;

/// Why a watch of the source ended.
#[derive(Debug)]
enum SourceFault {
    Dialling(std::io::Error),
    DiallingTookTooLong,
    Http(hyper::Error),
    Refused(StatusCode),
    Silent,
    Ended,
    Line(ListError),
    List(ApplyError),
    StaysBehind,
}

impl fmt::Display for SourceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceFault::Dialling(cause) => write!(f, "{cause} (while dialling)"),
            SourceFault::DiallingTookTooLong => write!(f, "the connection timed out (while dialling)"),
            SourceFault::Http(cause) => write!(f, "connection error: {cause}"),
            SourceFault::Refused(status) => write!(f, "the source answered {status}"),
            SourceFault::Silent => write!(f, "the watch is silent"),
            SourceFault::Ended => write!(f, "the watch ended"),
            SourceFault::Line(cause) => cause.fmt(f),
            SourceFault::List(cause) => cause.fmt(f),
            SourceFault::StaysBehind => {
                write!(f, "its lists stay older than the current one; the full list is requested")
            }
        }
    }
}

/// Follows the source.
pub(crate) struct SourceWatch {
    shared: Rc<Shared>,
    /// Since when it has told older lists than the one held.
    behind: Option<Instant>,
    /// The next whole list is taken even if its version is lower than the one held.
    takes_anew: bool,
    odd_entries: LogLimit,
    rng: fastrand::Rng,
}

impl SourceWatch {
    pub fn new(shared: Rc<Shared>) -> SourceWatch {
        SourceWatch {
            shared,
            behind: None,
            takes_anew: false,
            odd_entries: LogLimit::default(),
            rng: fastrand::Rng::new(),
        }
    }

    /// Follows the list for good; a watch that breaks is dialled again with the version held.
    pub async fn run(mut self) {
        let mut failures = 0_u32;
        loop {
            let before = self.held();
            let fault = self.follow().await;
            self.shared.list.borrow_mut().discard_staged();
            failures = if self.held() == before { failures.saturating_add(1) } else { 0 };
            let wait = self.wait(failures);
            if (failures + 1).is_power_of_two() {
                tracing::warn!("the watch broke: {fault}; dialled again in {} ms", wait.as_millis());
            }
            sleep(wait).await;
        }
    }

    fn timing(&self) -> Timing {
        self.shared.options.timing
    }

    fn held(&self) -> Option<u64> {
        self.shared.list.borrow().version()
    }

    /// Apart from other relays that lost the same source.
    fn wait(&mut self, failures: u32) -> Duration {
        let jitter = 0.5 + self.rng.f64();
        self.timing().heartbeat.mul_f64(jitter) / (FIRST_WAIT_FRACTION >> failures.min(MOST_DOUBLINGS))
    }

    /// One watch, from its dialling to its end.
    async fn follow(&mut self) -> SourceFault {
        let index = self.held().filter(|_| !self.takes_anew);
        match self.open(index).await {
            Err(fault) => fault,
            Ok(body) => match self.read(body).await {
                Err(fault) => fault,
                Ok(()) => SourceFault::Ended,
            },
        }
    }

    async fn open(&self, index: Option<u64>) -> Result<Incoming, SourceFault> {
        let (address, timing) = (self.shared.options.source, self.timing());
        let dialled = timeout(timing.heartbeat, TcpStream::connect(address)).await;
        let socket = dialled.map_err(|_| SourceFault::DiallingTookTooLong)?.map_err(SourceFault::Dialling)?;
        let answered = timeout(timing.source_silence, ask(socket, address.to_string(), index)).await;
        let response = answered.map_err(|_| SourceFault::Silent)?.map_err(SourceFault::Http)?;
        if response.status() != StatusCode::OK {
            return Err(SourceFault::Refused(response.status()));
        }
        let from = index.map(|index| format!(" from {index} on")).unwrap_or_default();
        tracing::info!("watching the list at {address}{from}");
        Ok(response.into_body())
    }

    async fn read(&mut self, mut body: Incoming) -> Result<(), SourceFault> {
        let mut reader = ListReader::new(self.shared.options.limits.line);
        let mut silent_at = Instant::now() + self.timing().source_silence;
        loop {
            // Guards against a watch that is silent for good, or that brings bytes without ever ending an entry.
            let frame = timeout_at(silent_at, body.frame()).await.map_err(|_| SourceFault::Silent)?;
            let Some(frame) = frame else {
                return reader.finish().map_err(SourceFault::Line);
            };
            let data = frame.map_err(SourceFault::Http)?.into_data().unwrap_or_default();
            let mut bytes = &data[..];
            while let Some(event) = reader.next(&mut bytes).map_err(SourceFault::Line)? {
                silent_at = Instant::now() + self.timing().source_silence;
                self.take(event)?;
            }
            // A long list comes in many frames; subscribers have their turn between them.
            yield_now().await;
        }
    }

    fn take(&mut self, event: ListEvent<'_>) -> Result<(), SourceFault> {
        match event {
            ListEvent::Entry(entry) => {
                let staged = self.shared.list.borrow_mut().stage(entry);
                if let Err(error) = staged {
                    self.log_odd_entry(&error);
                }
                return Ok(());
            }
            ListEvent::Heartbeat if self.behind.is_none() && self.held().is_some() && !self.takes_anew => {
                self.shared.confirm();
            }
            ListEvent::Heartbeat => {}
            ListEvent::End(end) => self.apply(end)?,
        }
        // Guards against a source that counts anew: its lists would be passed over for good.
        let patience = self.timing().source_behind;
        if self.behind.take_if(|since| since.elapsed() >= patience).is_some() {
            self.takes_anew = true;
            return Err(SourceFault::StaysBehind);
        }
        Ok(())
    }

    fn log_odd_entry(&self, error: &EntryError) {
        if let Some(left_out) = self.odd_entries.admit() {
            tracing::warn!(
                "an entry cannot be read and is skipped ({left_out} more since the last such line): {error}"
            );
        }
    }

    fn apply(&mut self, end: ListEnd) -> Result<(), SourceFault> {
        let counts_anew = self.takes_anew && end.reset && self.held().is_some_and(|held| end.version < held);
        if counts_anew {
            let applied = self.shared.list.borrow_mut().restart(end.version);
            tracing::warn!("the source restarted its versions at {}: all watches end", end.version);
            self.applied(end, applied);
            return Ok(());
        }
        let applied = self.shared.list.borrow_mut().apply(end.version, end.reset);
        match applied {
            Ok(applied) => self.applied(end, applied),
            Err(behind @ ApplyError::Behind { .. }) => {
                if self.behind.is_none() {
                    tracing::warn!("{behind}: it is skipped");
                }
                self.behind.get_or_insert_with(Instant::now);
            }
            Err(refusal) => return Err(SourceFault::List(refusal)),
        }
        Ok(())
    }

    fn applied(&mut self, end: ListEnd, applied: Applied) {
        (self.behind, self.takes_anew) = (None, false);
        let workers = self.shared.list.borrow().workers();
        let kind = if end.reset { "full" } else { "changes" };
        tracing::debug!("list {} ({kind}): {} changed, {workers} workers", end.version, applied.changed);
        self.shared.announce();
        self.shared.confirm();
    }
}

async fn ask(
    socket: TcpStream,
    host: String,
    index: Option<u64>,
) -> Result<hyper::Response<Incoming>, hyper::Error> {
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    // Ends by itself with the response's body, or as that is dropped; its errors reach the body's reader.
    spawn_local(connection);
    let index = index.map(|index| format!("&index={index}")).unwrap_or_default();
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = format!("/v1/servers?stream=1{index}").parse().unwrap_or_default();
    if let Ok(host) = host.parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    sender.send_request(request).await
}
