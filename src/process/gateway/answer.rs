//! Builds the answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::process::gateway::head::HeaderNames;
use crate::process::gateway::head::strip_connection_headers;
use crate::request::records;

/// Answer to a caller.
pub(crate) type CallerAnswer = Response<Bytes>;

/// Successful response for one part.
#[derive(Debug, Clone)]
pub(crate) struct PartAnswer {
    pub(crate) signature: HeaderValue,
    pub(crate) body: Bytes,
}

/// Builds a plain-text answer of the gateway itself, without the signature of a backend server.
pub(crate) fn plain_text(status: StatusCode, text: &'static str) -> CallerAnswer {
    let mut answer = Response::new(Bytes::from_static(text.as_bytes()));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

/// Builds the answer that promises that the request has not run and will not run. It carries the time after which the
/// caller should retry.
pub(crate) fn not_run(text: &'static str, retry_after: Duration) -> CallerAnswer {
    let mut answer = plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Forwards the response of a backend server without changes, except for its connection headers.
pub(crate) fn passed_through(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> CallerAnswer {
    strip_connection_headers(&mut headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Merges the available parts into an answer with at most `limit` records.
pub(crate) fn merged(names: &HeaderNames, parts: Vec<Option<PartAnswer>>, limit: usize) -> CallerAnswer {
    let all = parts.len();
    let present: Vec<PartAnswer> = parts.into_iter().flatten().collect();
    let bodies: Vec<Bytes> = present.iter().map(|part| part.body.clone()).collect();
    let mut answer = Response::new(records::top_records(&bodies, limit));
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/octet-stream"),
    );
    headers.insert(
        names.missing_parts.clone(),
        HeaderValue::from((all - present.len()) as u64),
    );
    let signatures: Vec<&[u8]> = present.iter().map(|part| part.signature.as_bytes()).collect();
    if let Ok(value) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
        headers.insert(names.part_signatures.clone(), value);
    }
    answer
}
