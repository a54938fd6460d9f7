//! From a request to its answer.

use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use juniperrail_distribution::{Scope, ScopeError};

use crate::shared::Shared;
use crate::watch::{body, Interrupted, Question};

const SERVERS: &str = "/v1/servers";
const HEALTH: &str = "/healthz";

/// A line of text, or a part of the list.
pub(crate) type Body =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, Interrupted>>>>;

/// Why a request is refused.
#[derive(Debug)]
enum Refusal {
    NoSuchPath(String),
    NotGet,
    BadScope(ScopeError),
    BadIndex(String),
    OutOfSync,
    Full { subscribers: usize },
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::NoSuchPath(_) => StatusCode::NOT_FOUND,
            Refusal::NotGet => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::BadScope(_) | Refusal::BadIndex(_) => StatusCode::BAD_REQUEST,
            Refusal::OutOfSync | Refusal::Full { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NoSuchPath(path) => write!(f, "there is no {path}; the list is at {SERVERS}"),
            Refusal::NotGet => write!(f, "only GET is served"),
            Refusal::BadScope(error) => error.fmt(f),
            Refusal::BadIndex(index) => write!(f, "index is no version: {index}"),
            Refusal::OutOfSync => write!(f, "this relay is not in step with its source"),
            Refusal::Full { subscribers } => write!(f, "this relay serves {subscribers} subscribers already"),
        }
    }
}

/// Answers a request; a refusal is an answer too.
pub(crate) async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    Ok(accept(&shared, &request).unwrap_or_else(|refusal| refused(&refusal)))
}

fn accept(shared: &Rc<Shared>, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let path = request.uri().path();
    if path != SERVERS && path != HEALTH {
        return Err(Refusal::NoSuchPath(path.to_string()));
    }
    if request.method() != Method::GET {
        return Err(Refusal::NotGet);
    }
    if path == HEALTH {
        return if shared.is_in_sync() { Ok(line("ok", StatusCode::OK)) } else { Err(Refusal::OutOfSync) };
    }
    let query = request.uri().query().unwrap_or_default();
    let scope = Scope::from_query(query).map_err(Refusal::BadScope)?;
    let question = question(query)?;
    if !shared.is_in_sync() {
        return Err(Refusal::OutOfSync);
    }
    let Some(admission) = shared.admit() else {
        let refusal = Refusal::Full { subscribers: shared.options.limits.subscribers };
        if let Some(left_out) = shared.refusals.admit() {
            tracing::warn!("a subscriber is refused ({left_out} more since the last such line): {refusal}");
        }
        return Err(refusal);
    };
    let mut response = Response::new(Either::Right(StreamBody::new(body(admission, scope, question))));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

fn question(query: &str) -> Result<Question, Refusal> {
    if parameter(query, "stream") != Some("1") {
        return Ok(Question::Once);
    }
    let read = |index: &str| index.parse().map_err(|_| Refusal::BadIndex(index.to_string()));
    Ok(Question::Watch { index: parameter(query, "index").map(read).transpose()? })
}

/// The last value given to a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next_back()
}

fn refused(refusal: &Refusal) -> Response<Body> {
    let mut response = line(&refusal.to_string(), refusal.status());
    if matches!(refusal, Refusal::NotGet) {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET"));
    }
    response
}

fn line(text: &str, status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}
