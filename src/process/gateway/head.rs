//! Headers of requests, responses and answers: those that are forwarded, and those that the gateway reads and sets.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body_util::Full;

use crate::process::backends::rate_limit;
use crate::process::backends::rate_limit::LimitNotice;
use crate::process::backends::retry_after;
use crate::process::backends::server_state::LoadFigures;
use crate::request::fingerprint::Fingerprint;

/// Names of the headers that a platform uses between callers, gateways and backend servers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller.
    pub request_id: HeaderName,
    /// Remaining time for which the sender waits for an answer, in whole milliseconds.
    pub remaining_ms: HeaderName,
    /// Signature by which a backend server proves that it produced the response.
    pub signature: HeaderName,
    /// Intended backend server. Any other server refuses the request.
    pub expected_server: HeaderName,
    /// Load figures of a backend server: running requests, waiting requests and slots.
    pub load: HeaderName,
    /// Statement of a backend server that it did not run the request.
    pub not_run: HeaderName,
    /// Statement of a backend server that it is leaving, under either of its names.
    pub leaving: [HeaderName; 2],
    /// Requests per second that a backend server accepts from all instances together, under either of its names.
    pub rate_limit: [HeaderName; 2],
    /// Signatures of the parts in a merged answer over shards.
    pub part_signatures: HeaderName,
    /// Number of shards that are missing in an answer.
    pub missing_parts: HeaderName,
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Request to a backend server, without the headers that differ between attempts.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
}

impl OutgoingRequest {
    /// Builds the outgoing request from the request of a caller. The path and query stay unchanged.
    pub(crate) fn new(head: Parts, body: Bytes) -> Self {
        let fingerprint = Fingerprint::of(&head.method, &head.uri, &head.headers, &body);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        let target = head.uri.path_and_query().cloned();
        Self {
            method: head.method,
            uri: target.map_or_else(Uri::default, Uri::from),
            headers,
            body,
            fingerprint,
        }
    }

    /// Builds the request of one attempt.
    pub(crate) fn to_request(&self, names: &HeaderNames, server: &str, remaining: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1);
        headers.insert(names.remaining_ms.clone(), HeaderValue::from(millis));
        if let Ok(server) = HeaderValue::from_str(server) {
            headers.insert(names.expected_server.clone(), server);
        }
        request
    }
}

/// Removes hop-by-hop headers and `Content-Length`, which is set again for the forwarded body.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Parses a header that holds a number of milliseconds.
pub(crate) fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Returns whether the backend server that sent the response is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap, names: &HeaderNames) -> bool {
    let values = names.leaving.iter().filter_map(|name| headers.get(name));
    values.into_iter().any(|value| value.as_bytes().trim_ascii() != b"0")
}

/// Returns what a response says about the rate limit of its server, or `None` if the value is malformed.
pub(crate) fn limit_notice(headers: &HeaderMap, names: &HeaderNames) -> Option<LimitNotice> {
    let Some(value) = names.rate_limit.iter().find_map(|name| headers.get(name)) else {
        return Some(LimitNotice::Unlimited);
    };
    let rate = rate_limit::parse_rate(value.to_str().ok()?)?;
    Some(LimitNotice::Limited(rate))
}

/// Returns the `Retry-After` time of a backend server that refused a request.
pub(crate) fn retry_after_time(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    retry_after::parse_retry_after(headers.get(header::RETRY_AFTER)?.to_str().ok()?)
}

/// Parses the load figures in a response.
pub(crate) fn load_figures(headers: &HeaderMap, name: &HeaderName) -> Option<LoadFigures> {
    let text = headers.get(name)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(LoadFigures {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
