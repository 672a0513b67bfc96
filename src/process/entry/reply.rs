//! Conversion of answers and errors to HTTP responses.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::process::entry::api::CoverageBody;
use crate::process::entry::api::ErrorBody;
use crate::process::entry::api::HitAnswer;
use crate::process::entry::api::MissingRange;
use crate::process::entry::api::SearchAnswer;
use crate::process::entry::api::SubmitAnswer;
use crate::process::entry::api::status_of;
use crate::process::entry::search::SearchResult;
use crate::request::coverage::Coverage;
use crate::request::plan::Plan;
use crate::request::submission::Answer;

/// Response header with the covered fraction of the key space. Both complete and partial answers carry it.
const COVERAGE_HEADER: &str = "x-coverage";

/// Creates a JSON response. If the body cannot be serialised, the status is 500.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let mut response = match serde_json::to_vec(body) {
        Ok(bytes) => {
            let mut response = Response::new(Body::from(bytes));
            *response.status_mut() = status;
            response
        }
        Err(error) => {
            let mut response = Response::new(Body::from(format!("cannot encode the answer: {error}\n")));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    };
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Creates the response to a search: status 200 for a complete answer, 206 for a partial one, or an error if
/// the coverage is below the minimum.
#[must_use]
pub fn search(id: &str, result: &SearchResult, elapsed: Duration) -> Response {
    let answer = &result.answer;
    let coverage = coverage_body(&answer.coverage, &result.plan);
    if let Err(error) = answer.check(result.min_coverage) {
        return failure(id, &error, None, Some(coverage));
    }
    let complete = answer.coverage.is_complete();
    let total = coverage.total;
    let hits = answer.hits.iter().map(|merged| HitAnswer {
        service: result.plan.services[merged.service as usize].id.clone(),
        key: merged.hit.key,
        document: merged.hit.document.as_str().into(),
        score: merged.hit.score,
    });
    let body = SearchAnswer {
        request_id: id.into(),
        snapshot: answer.snapshot,
        revision: answer.revision,
        complete,
        coverage,
        hits: hits.collect(),
        extra_parts: answer.extra.total(),
        elapsed_ms: elapsed.as_secs_f64() * 1000.0,
    };
    let status = if complete {
        StatusCode::OK
    } else {
        StatusCode::PARTIAL_CONTENT
    };
    let mut response = json(status, &body);
    if let Ok(value) = HeaderValue::from_str(&format!("{total:.6}")) {
        response.headers_mut().insert(COVERAGE_HEADER, value);
    }
    response
}

/// Creates the response to a failed request. The status is 428 if the response carries a ticket.
#[must_use]
pub fn failure(id: &str, error: &RequestError, ticket: Option<&str>, coverage: Option<CoverageBody>) -> Response {
    let status = match ticket {
        Some(_) => StatusCode::PRECONDITION_REQUIRED,
        None => status_of(error.kind),
    };
    let body = ErrorBody {
        request_id: id.into(),
        kind: error.kind,
        message: error.message.clone(),
        retry_after_ms: error
            .retry_after
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        ticket: ticket.map(Into::into),
        coverage,
    };
    let mut response = json(status, &body);
    if let Some(after) = error.retry_after {
        let seconds = after.as_millis().div_ceil(1000);
        let value = HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Creates the response to a submission. `error` is the error of `answer`, and `None` only if the submission was
/// executed.
#[must_use]
pub fn submission(id: &str, answer: &Answer, error: Option<&RequestError>) -> Response {
    match (answer, error) {
        (Answer::TicketNeeded { ticket }, Some(error)) => failure(id, error, Some(ticket), None),
        (_, Some(error)) => failure(id, error, None, None),
        (
            Answer::Executed {
                status, body, replayed, ..
            },
            None,
        ) => {
            let body = SubmitAnswer {
                request_id: id.into(),
                outcome: "executed".into(),
                status: u32::from(*status),
                body: String::from_utf8_lossy(body).into(),
                replayed: *replayed,
            };
            json(StatusCode::OK, &body)
        }
        (Answer::TicketNeeded { .. } | Answer::NotRun { .. } | Answer::OutcomeUnknown(_), None) => {
            let error = RequestError::new(
                ErrorKind::OutcomeUnknown,
                "the outcome is not known; repeat with the same ticket",
            );
            failure(id, &error, None, None)
        }
    }
}

fn coverage_body(coverage: &Coverage, plan: &Plan) -> CoverageBody {
    let services = coverage
        .services
        .iter()
        .map(|service| (service.service.clone(), service.fraction()));
    let missing = coverage.services.iter().flat_map(|service| {
        service.missing.iter().map(|missing| MissingRange {
            service: service.service.clone(),
            shard: shard_at(plan, &service.service, missing.range.start),
            start: missing.range.start,
            end: missing.range.end,
            reason: missing.reason.as_str().into(),
        })
    });
    CoverageBody {
        total: coverage.fraction(),
        services: services.collect(),
        missing: missing.collect(),
    }
}

/// Returns the shard of a service that holds `key`.
fn shard_at(plan: &Plan, service: &str, key: u64) -> Box<str> {
    let found = plan.tables.service(service);
    let shard = found.and_then(|(_, service)| service.shards.iter().find(|shard| shard.range.contains(key)));
    shard.map(|shard| shard.id.clone()).unwrap_or_default()
}
