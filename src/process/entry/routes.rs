//! HTTP routes of the caller API.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use serde::Serialize;
use slog::info;
use volo::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::route::get_service;
use volo_http::server::route::post_service;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::process::entry::AdmissionPermit;
use crate::process::entry::Entry;
use crate::process::entry::api::SearchRequest;
use crate::process::entry::api::SubmitRequest;
use crate::process::entry::reply;
use crate::process::entry::search;
use crate::process::entry::search::SearchResult;
use crate::process::entry::submit;
use crate::process::entry::submit::SubmissionResult;
use crate::process::metrics::ReasonLabel;
use crate::process::metrics::RequestLabels;
use crate::request::submission::Answer;
use crate::wire::proto::Class;

/// Time limit for reading a request body. It bounds the memory that slow senders occupy.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of bytes of an oversized body that are read before the connection is closed.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Returns the router of the caller API.
pub fn routes(entry: Arc<Entry>) -> Router<Body, Infallible> {
    let search = Handler {
        entry: Arc::clone(&entry),
        endpoint: Endpoint::Search,
    };
    let submit = Handler {
        entry: Arc::clone(&entry),
        endpoint: Endpoint::Submit,
    };
    let config = Handler {
        entry,
        endpoint: Endpoint::Config,
    };
    Router::new()
        .route("/v1/search", post_service(search))
        .route("/v1/submit", post_service(submit))
        .route("/v1/config", get_service(config))
}

#[derive(Debug, Clone, Copy)]
enum Endpoint {
    Search,
    Submit,
    Config,
}

#[derive(Debug)]
struct Handler {
    entry: Arc<Entry>,
    endpoint: Endpoint,
}

impl Service<ServerContext, Request<Body>> for Handler {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _context: &mut ServerContext, request: Request<Body>) -> Result<Response, Infallible> {
        Ok(match self.endpoint {
            Endpoint::Search => serve_search(&self.entry, request).await,
            Endpoint::Submit => serve_submit(&self.entry, request).await,
            Endpoint::Config => serve_config(&self.entry),
        })
    }
}

/// Reads a body of at most `max` bytes within [`BODY_TIMEOUT`].
///
/// The rest of an oversized body is read and discarded: a caller that is still sending would otherwise see a connection
/// error instead of the response.
async fn read_body(request: Request<Body>, max: usize) -> Result<Bytes, BodyError> {
    let reading = collect_body(request.into_body(), max);
    tokio::time::timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyError::TimedOut))
}

async fn collect_body(mut body: Body, max: usize) -> Result<Bytes, BodyError> {
    let mut buffer = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > max.max(MAX_DISCARDED_BYTES) {
            break;
        }
        if length <= max {
            buffer.extend_from_slice(&data);
        }
    }
    if length > max {
        return Err(BodyError::TooLarge);
    }
    Ok(buffer.freeze())
}

#[derive(Debug, Clone, Copy)]
enum BodyError {
    TooLarge,
    Incomplete,
    TimedOut,
}

impl BodyError {
    fn response(self, max: usize) -> Response {
        let (status, message) = match self {
            Self::TooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the body exceeds {max} bytes; shorten it"),
            ),
            Self::Incomplete => (StatusCode::BAD_REQUEST, "the body broke off; send it whole".to_owned()),
            Self::TimedOut => (
                StatusCode::REQUEST_TIMEOUT,
                format!(
                    "the body did not arrive within {} s; send it faster",
                    BODY_TIMEOUT.as_secs()
                ),
            ),
        };
        let error = RequestError::new(ErrorKind::BadRequest, message);
        let mut response = reply::failure("-", &error, None, None);
        *response.status_mut() = status;
        response
    }
}

async fn serve_search(entry: &Arc<Entry>, request: Request<Body>) -> Response {
    let started = entry.node.timer.now();
    let body = match read_body(request, entry.max_body).await {
        Ok(body) => body,
        Err(error) => return error.response(entry.max_body),
    };
    let generated_id = new_request_id(entry);
    let request = match SearchRequest::parse(&body) {
        Ok(request) => request,
        Err(error) => return finish_error(entry, &generated_id, "", Class::Routine, &error, started),
    };
    let id = request.request_id.clone().unwrap_or(generated_id);
    let class = request.class.to_wire();
    let permit = match admit(entry, class) {
        Ok(permit) => permit,
        Err(error) => return finish_error(entry, &id, "", class, &error, started),
    };
    match search::run(entry, &request, &id, started).await {
        Ok(result) => finish_search(entry, &id, class, &result, permit, started),
        Err(error) => finish_error(entry, &id, "", class, &error, started),
    }
}

async fn serve_submit(entry: &Arc<Entry>, request: Request<Body>) -> Response {
    let started = entry.node.timer.now();
    let body = match read_body(request, entry.max_body).await {
        Ok(body) => body,
        Err(error) => return error.response(entry.max_body),
    };
    let generated_id = new_request_id(entry);
    let request = match SubmitRequest::parse(&body) {
        Ok(request) => request,
        Err(error) => return finish_error(entry, &generated_id, "", Class::Routine, &error, started),
    };
    let id = request.request_id.clone().unwrap_or(generated_id);
    let class = request.class.to_wire();
    let has_ticket = request.ticket.is_some();
    let _permit = match admit(entry, class) {
        Ok(permit) => permit,
        Err(error) => {
            let error = submit::classify_refusal(error, has_ticket);
            return finish_error(entry, &id, "", class, &error, started);
        }
    };
    match submit::run(entry, request, &id, started).await {
        Ok(result) => finish_submit(entry, &id, class, &result, started),
        Err(error) => {
            let error = submit::classify_refusal(error, has_ticket);
            finish_error(entry, &id, "", class, &error, started)
        }
    }
}

fn finish_submit(entry: &Entry, id: &str, class: Class, result: &SubmissionResult, started: Instant) -> Response {
    let elapsed = entry.node.timer.now().saturating_duration_since(started);
    let error = result.answer.error();
    let outcome = match &result.answer {
        Answer::Executed { .. } => "ok",
        Answer::TicketNeeded { .. } => "ticket",
        Answer::NotRun { .. } | Answer::OutcomeUnknown(_) => error.as_ref().map_or("ok", |error| error.kind.as_str()),
    };
    record_request(entry, &result.index, class, outcome, elapsed);
    info!(entry.node.log, "submission"; "request" => id, "index" => &*result.index, "class" => class_name(class),
        "outcome" => outcome, "ms" => elapsed.as_secs_f64() * 1000.0);
    reply::submission(id, &result.answer, error.as_ref())
}

fn admit(entry: &Arc<Entry>, class: Class) -> Result<AdmissionPermit, RequestError> {
    if !entry.node.is_config_current() {
        let message = "the configuration is not confirmed yet; repeat after a moment";
        return Err(RequestError::new(ErrorKind::NotRun, message).with_retry_after(Duration::from_millis(500)));
    }
    let now = entry.node.timer.now();
    entry.admission.on_request(class, now).map_err(|rejection| {
        RequestError::new(ErrorKind::Overloaded, rejection.to_string()).with_retry_after(rejection.retry_after)
    })?;
    entry.in_flight.fetch_add(1, Ordering::AcqRel);
    Ok(AdmissionPermit {
        entry: Arc::clone(entry),
        class,
        overloaded: false,
    })
}

fn finish_search(
    entry: &Entry,
    id: &str,
    class: Class,
    result: &SearchResult,
    mut permit: AdmissionPermit,
    started: Instant,
) -> Response {
    let answer = &result.answer;
    let missing = answer.coverage.services.iter().flat_map(|service| &service.missing);
    for range in missing {
        let reason = range.reason.as_str();
        permit.overloaded |= reason == "overloaded";
        entry
            .node
            .metrics
            .missing_parts
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }
    let elapsed = entry.node.timer.now().saturating_duration_since(started);
    let outcome = match answer.check(result.min_coverage) {
        Err(error) => error.kind.as_str(),
        Ok(()) if answer.coverage.is_complete() => "ok",
        Ok(()) => "partial",
    };
    let index = &result.plan.index;
    record_request(entry, index, class, outcome, elapsed);
    info!(entry.node.log, "search"; "request" => id, "index" => &**index, "class" => class_name(class),
        "outcome" => outcome, "snapshot" => answer.snapshot, "revision" => answer.revision,
        "coverage" => answer.coverage.fraction(), "parts" => result.plan.parts.len(),
        "extra" => answer.extra.total(), "ms" => elapsed.as_secs_f64() * 1000.0);
    reply::search(id, result, elapsed)
}

fn finish_error(
    entry: &Entry,
    id: &str,
    index: &str,
    class: Class,
    error: &RequestError,
    started: Instant,
) -> Response {
    let elapsed = entry.node.timer.now().saturating_duration_since(started);
    record_request(entry, index, class, error.kind.as_str(), elapsed);
    info!(entry.node.log, "request_failed"; "request" => id, "kind" => error.kind.as_str(),
        "message" => &*error.message, "ms" => elapsed.as_secs_f64() * 1000.0);
    reply::failure(id, error, None, None)
}

fn record_request(entry: &Entry, index: &str, class: Class, outcome: &'static str, elapsed: Duration) {
    let labels = RequestLabels {
        index: index.to_owned(),
        class: class_name(class),
        outcome,
    };
    entry.node.metrics.record_request(&labels, elapsed);
}

const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Routine => "routine",
    }
}

/// Generates a request ID that is unique across all entries and their restarts.
fn new_request_id(entry: &Entry) -> Box<str> {
    let identity = &entry.node.identity;
    format!(
        "{}-{:x}-{:x}",
        identity.instance,
        identity.incarnation,
        entry.next_correlation()
    )
    .into()
}

#[derive(Debug, Serialize)]
struct ConfigBody<'a> {
    instance: &'a str,
    revision: u64,
    digest: String,
    current: bool,
}

fn serve_config(entry: &Entry) -> Response {
    let config = entry.node.config();
    let digest = config.as_ref().map(|config| config.digest).unwrap_or_default();
    let body = ConfigBody {
        instance: &entry.node.identity.instance,
        revision: config.map_or(0, |config| config.tables.revision),
        digest: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        current: entry.node.is_config_current(),
    };
    reply::json(StatusCode::OK, &body)
}
