//! HTTP routes of the interface for callers.

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
use crate::process::entry::Admitted;
use crate::process::entry::Entry;
use crate::process::entry::api::SearchRequest;
use crate::process::entry::api::SubmitRequest;
use crate::process::entry::reply;
use crate::process::entry::search;
use crate::process::entry::search::Searched;
use crate::process::entry::submit;
use crate::process::entry::submit::Submitted;
use crate::process::metrics::ReasonLabel;
use crate::process::metrics::RequestLabels;
use crate::request::submission::Answer;
use crate::wire::proto::Class;

/// Time in which a caller must send its body. It bounds the memory that slow senders hold.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of an oversized body that are read before the connection is closed on its sender.
const MAX_DROPPED_BYTES: usize = 8 * 1024 * 1024;

/// Makes the routes.
pub fn routes(entry: Arc<Entry>) -> Router<Body, Infallible> {
    let search = Handler {
        entry: Arc::clone(&entry),
        kind: Kind::Search,
    };
    let submit = Handler {
        entry: Arc::clone(&entry),
        kind: Kind::Submit,
    };
    let config = Handler {
        entry,
        kind: Kind::Config,
    };
    Router::new()
        .route("/v1/search", post_service(search))
        .route("/v1/submit", post_service(submit))
        .route("/v1/config", get_service(config))
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Search,
    Submit,
    Config,
}

#[derive(Debug)]
struct Handler {
    entry: Arc<Entry>,
    kind: Kind,
}

impl Service<ServerContext, Request<Body>> for Handler {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _context: &mut ServerContext, request: Request<Body>) -> Result<Response, Infallible> {
        Ok(match self.kind {
            Kind::Search => serve_search(&self.entry, request).await,
            Kind::Submit => serve_submit(&self.entry, request).await,
            Kind::Config => serve_config(&self.entry),
        })
    }
}

/// Reads a body of bounded size in bounded time. The rest of an oversized body is read and dropped, because a caller that
/// is still sending would see a broken connection and not the error.
async fn read_body(request: Request<Body>, max: usize) -> Result<Bytes, BodyFailure> {
    let reading = collect(request.into_body(), max);
    tokio::time::timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyFailure::Slow))
}

async fn collect(mut body: Body, max: usize) -> Result<Bytes, BodyFailure> {
    let mut kept = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > max.max(MAX_DROPPED_BYTES) {
            break;
        }
        if length <= max {
            kept.extend_from_slice(&data);
        }
    }
    if length > max {
        return Err(BodyFailure::TooLarge);
    }
    Ok(kept.freeze())
}

#[derive(Debug, Clone, Copy)]
enum BodyFailure {
    TooLarge,
    Broken,
    Slow,
}

impl BodyFailure {
    fn response(self, max: usize) -> Response {
        let (status, message) = match self {
            Self::TooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the body exceeds {max} bytes; shorten it"),
            ),
            Self::Broken => (StatusCode::BAD_REQUEST, "the body broke off; send it whole".to_owned()),
            Self::Slow => (
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
    let began = entry.node.timer.now();
    let body = match read_body(request, entry.max_body).await {
        Ok(body) => body,
        Err(failure) => return failure.response(entry.max_body),
    };
    let made = new_request_id(entry);
    let request = match SearchRequest::parse(&body) {
        Ok(request) => request,
        Err(error) => return finish_error(entry, &made, "", Class::Routine, &error, began),
    };
    let id = request.request_id.clone().unwrap_or(made);
    let class = request.class.to_wire();
    let admitted = match admit(entry, class) {
        Ok(admitted) => admitted,
        Err(error) => return finish_error(entry, &id, "", class, &error, began),
    };
    match search::run(entry, &request, &id, began).await {
        Ok(searched) => finish_search(entry, &id, class, &searched, admitted, began),
        Err(error) => finish_error(entry, &id, "", class, &error, began),
    }
}

async fn serve_submit(entry: &Arc<Entry>, request: Request<Body>) -> Response {
    let began = entry.node.timer.now();
    let body = match read_body(request, entry.max_body).await {
        Ok(body) => body,
        Err(failure) => return failure.response(entry.max_body),
    };
    let made = new_request_id(entry);
    let request = match SubmitRequest::parse(&body) {
        Ok(request) => request,
        Err(error) => return finish_error(entry, &made, "", Class::Routine, &error, began),
    };
    let id = request.request_id.clone().unwrap_or(made);
    let class = request.class.to_wire();
    let has_ticket = request.ticket.is_some();
    let _admitted = match admit(entry, class) {
        Ok(admitted) => admitted,
        Err(error) => {
            let error = submit::refusal(error, has_ticket);
            return finish_error(entry, &id, "", class, &error, began);
        }
    };
    match submit::run(entry, request, &id, began).await {
        Ok(submitted) => finish_submit(entry, &id, class, &submitted, began),
        Err(error) => {
            let error = submit::refusal(error, has_ticket);
            finish_error(entry, &id, "", class, &error, began)
        }
    }
}

fn finish_submit(entry: &Entry, id: &str, class: Class, submitted: &Submitted, began: Instant) -> Response {
    let elapsed = entry.node.timer.now().saturating_duration_since(began);
    let error = submitted.answer.error();
    let outcome = match &submitted.answer {
        Answer::Executed { .. } => "ok",
        Answer::TicketNeeded { .. } => "ticket",
        Answer::NotRun { .. } | Answer::OutcomeUnknown(_) => error.as_ref().map_or("ok", |error| error.kind.as_str()),
    };
    record(entry, &submitted.index, class, outcome, elapsed);
    info!(entry.node.log, "submission"; "request" => id, "index" => &*submitted.index, "class" => class_name(class),
        "outcome" => outcome, "ms" => elapsed.as_secs_f64() * 1000.0);
    reply::submission(id, &submitted.answer, error.as_ref())
}

fn admit(entry: &Arc<Entry>, class: Class) -> Result<Admitted, RequestError> {
    if !entry.node.is_config_current() {
        let message = "the configuration is not confirmed yet; repeat after a moment";
        return Err(RequestError::new(ErrorKind::NotRun, message).with_retry_after(Duration::from_millis(500)));
    }
    let now = entry.node.timer.now();
    entry.admission.on_request(class, now).map_err(|rejected| {
        RequestError::new(ErrorKind::Overloaded, rejected.to_string()).with_retry_after(rejected.retry_after)
    })?;
    entry.in_flight.fetch_add(1, Ordering::AcqRel);
    Ok(Admitted {
        entry: Arc::clone(entry),
        class,
        overloaded: false,
    })
}

fn finish_search(
    entry: &Entry,
    id: &str,
    class: Class,
    searched: &Searched,
    mut admitted: Admitted,
    began: Instant,
) -> Response {
    let answer = &searched.answer;
    let missing = answer.coverage.services.iter().flat_map(|service| &service.missing);
    for range in missing {
        let reason = range.reason.as_str();
        admitted.overloaded |= reason == "overloaded";
        entry
            .node
            .metrics
            .missing_parts
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }
    let elapsed = entry.node.timer.now().saturating_duration_since(began);
    let outcome = match answer.check(searched.min_coverage) {
        Err(error) => error.kind.as_str(),
        Ok(()) if answer.coverage.is_complete() => "ok",
        Ok(()) => "partial",
    };
    let index = &searched.plan.index;
    record(entry, index, class, outcome, elapsed);
    info!(entry.node.log, "search"; "request" => id, "index" => &**index, "class" => class_name(class),
        "outcome" => outcome, "snapshot" => answer.snapshot, "revision" => answer.revision,
        "coverage" => answer.coverage.fraction(), "parts" => searched.plan.parts.len(),
        "extra" => answer.extra.total(), "ms" => elapsed.as_secs_f64() * 1000.0);
    reply::search(id, searched, elapsed)
}

fn finish_error(entry: &Entry, id: &str, index: &str, class: Class, error: &RequestError, began: Instant) -> Response {
    let elapsed = entry.node.timer.now().saturating_duration_since(began);
    record(entry, index, class, error.kind.as_str(), elapsed);
    info!(entry.node.log, "request_failed"; "request" => id, "kind" => error.kind.as_str(),
        "message" => &*error.message, "ms" => elapsed.as_secs_f64() * 1000.0);
    reply::failure(id, error, None, None)
}

fn record(entry: &Entry, index: &str, class: Class, outcome: &'static str, elapsed: Duration) {
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

/// Makes an id that is unique among all starts of all entries.
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
    let version = entry.node.config();
    let digest = version.as_ref().map(|version| version.digest).unwrap_or_default();
    let body = ConfigBody {
        instance: &entry.node.identity.instance,
        revision: version.map_or(0, |version| version.tables.revision),
        digest: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        current: entry.node.is_config_current(),
    };
    reply::json(StatusCode::OK, &body)
}
