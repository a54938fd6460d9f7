//! Parses the requests of subscribers and composes the responses.

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
use crate::watch::{list_body, Interrupted, ListRequest};

const LIST_PATH: &str = "/v1/servers";
const HEALTH_PATH: &str = "/healthz";

/// The body of a response: a line of text, or a part of the list.
pub(crate) type Body =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, Interrupted>>>>;

/// Why a request is refused.
#[derive(Debug)]
enum Refusal {
    UnknownPath(String),
    MethodNotAllowed,
    InvalidScope(ScopeError),
    InvalidIndex(String),
    OutOfSync,
    TooManySubscribers { subscribers: usize },
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::UnknownPath(_) => StatusCode::NOT_FOUND,
            Refusal::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::InvalidScope(_) | Refusal::InvalidIndex(_) => StatusCode::BAD_REQUEST,
            Refusal::OutOfSync | Refusal::TooManySubscribers { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::UnknownPath(path) => write!(f, "there is no {path}; the list is at {LIST_PATH}"),
            Refusal::MethodNotAllowed => write!(f, "only GET is served"),
            Refusal::InvalidScope(error) => error.fmt(f),
            Refusal::InvalidIndex(index) => write!(f, "index is no version: {index}"),
            Refusal::OutOfSync => write!(f, "this relay is not in step with its source"),
            Refusal::TooManySubscribers { subscribers } => {
                write!(f, "this relay serves {subscribers} subscribers already")
            }
        }
    }
}

/// Responds to a request. A refused request is answered too.
pub(crate) async fn respond(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    Ok(serve_request(&shared, &request).unwrap_or_else(|refusal| refusal_response(&refusal)))
}

/// Begins the response to a valid request.
fn serve_request(shared: &Rc<Shared>, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let path = request.uri().path();
    if path != LIST_PATH && path != HEALTH_PATH {
        return Err(Refusal::UnknownPath(path.to_string()));
    }
    if request.method() != Method::GET {
        return Err(Refusal::MethodNotAllowed);
    }
    if path == HEALTH_PATH {
        return if shared.is_in_sync() {
            Ok(text_response("ok", StatusCode::OK))
        } else {
            Err(Refusal::OutOfSync)
        };
    }
    let query = request.uri().query().unwrap_or_default();
    let scope = Scope::from_query(query).map_err(Refusal::InvalidScope)?;
    let list_request = parse_list_request(query)?;
    if !shared.is_in_sync() {
        return Err(Refusal::OutOfSync);
    }
    let Some(admission) = shared.admit() else {
        let refusal = Refusal::TooManySubscribers { subscribers: shared.options.limits.subscribers };
        if let Some(suppressed) = shared.refusal_log.admit() {
            tracing::warn!("a subscriber is refused ({suppressed} more since the last such line): {refusal}");
        }
        return Err(refusal);
    };
    let mut response =
        Response::new(Either::Right(StreamBody::new(list_body(admission, scope, list_request))));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

fn parse_list_request(query: &str) -> Result<ListRequest, Refusal> {
    if parameter(query, "stream") != Some("1") {
        return Ok(ListRequest::Once);
    }
    let parse_index = |index: &str| index.parse().map_err(|_| Refusal::InvalidIndex(index.to_string()));
    Ok(ListRequest::Watch { index: parameter(query, "index").map(parse_index).transpose()? })
}

/// The last value of a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next_back()
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = text_response(&refusal.to_string(), refusal.status());
    if matches!(refusal, Refusal::MethodNotAllowed) {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET"));
    }
    response
}

fn text_response(text: &str, status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}
