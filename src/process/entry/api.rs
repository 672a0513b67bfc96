//! JSON bodies of the interface for callers. `docs/api.md` describes them.

use std::time::Duration;

use http::StatusCode;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::request::plan::MAX_LIMIT;
use crate::version::keys::KEY_SPACE;
use crate::wire::proto::Class;

/// Greatest number of services that one search may name.
pub const MAX_SERVICES: usize = 1024;

/// Hits returned when the caller names no limit.
pub const DEFAULT_LIMIT: u32 = 20;

/// Greatest length of a query, in bytes.
pub const MAX_QUERY_BYTES: usize = 8 * 1024;

/// Greatest length of a request id, in bytes. It bounds log lines.
pub const MAX_REQUEST_ID_BYTES: usize = 64;

/// Scheduling class as callers write it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassName {
    /// Goes before routine work in every queue.
    Urgent,
    /// The default.
    #[default]
    Routine,
}

impl ClassName {
    /// Returns the class of the protocol between processes.
    #[must_use]
    pub const fn to_wire(self) -> Class {
        match self {
            Self::Urgent => Class::Urgent,
            Self::Routine => Class::Routine,
        }
    }

    /// Returns the name used in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
        }
    }
}

/// Body of `POST /v1/search`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRequest {
    /// Services to search. They belong to one index.
    #[serde(default)]
    pub services: Vec<Box<str>>,
    /// Index whose services are all searched, in place of `services`.
    #[serde(default)]
    pub index: Option<Box<str>>,
    /// Query text, passed to the backend servers as it is.
    pub query: Box<str>,
    /// Greatest number of hits.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Time in which the caller wants the answer, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Scheduling class.
    #[serde(default)]
    pub class: ClassName,
    /// Coverage below which the caller prefers an error, in `0.0..=1.0`.
    #[serde(default)]
    pub min_coverage: Option<f64>,
    /// Identity that all log lines carry.
    #[serde(default)]
    pub request_id: Option<Box<str>>,
}

/// Body of `POST /v1/submit`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Service that takes the submission.
    pub service: Box<str>,
    /// Key of the entry, which selects the shard.
    pub key: u64,
    /// Text of the submission.
    pub body: Box<str>,
    /// Ticket from an earlier refusal with status 428.
    #[serde(default)]
    pub ticket: Option<Box<str>>,
    /// Time in which the caller wants the answer, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Scheduling class.
    #[serde(default)]
    pub class: ClassName,
    /// Identity that all log lines carry.
    #[serde(default)]
    pub request_id: Option<Box<str>>,
}

const fn default_limit() -> u32 {
    DEFAULT_LIMIT
}

impl SearchRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// Fails with `bad_request` and a message that names the field and the remedy.
    pub fn parse(bytes: &[u8]) -> Result<Self, RequestError> {
        let request: Self = parse_json(bytes)?;
        request.check()?;
        Ok(request)
    }

    fn check(&self) -> Result<(), RequestError> {
        if self.services.is_empty() == self.index.is_none() {
            return Err(bad_request("name either `services` or `index`"));
        }
        if self.services.len() > MAX_SERVICES {
            return Err(bad_request(format!(
                "`services` names more than {MAX_SERVICES}; split the search"
            )));
        }
        if !(1..=MAX_LIMIT).contains(&self.limit) {
            return Err(bad_request(format!("`limit` is {}; use 1 to {MAX_LIMIT}", self.limit)));
        }
        if self.query.len() > MAX_QUERY_BYTES {
            return Err(bad_request(format!(
                "`query` exceeds {MAX_QUERY_BYTES} bytes; shorten it"
            )));
        }
        if let Some(coverage) = self.min_coverage
            && !(0.0..=1.0).contains(&coverage)
        {
            return Err(bad_request(format!("`min_coverage` is {coverage}; use 0.0 to 1.0")));
        }
        check_request_id(self.request_id.as_deref())
    }
}

impl SubmitRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// Fails with `bad_request` and a message that names the field and the remedy.
    pub fn parse(bytes: &[u8]) -> Result<Self, RequestError> {
        let request: Self = parse_json(bytes)?;
        if request.key >= KEY_SPACE {
            let end = KEY_SPACE;
            return Err(bad_request(format!("`key` is {}; use 0 to {}", request.key, end - 1)));
        }
        check_request_id(request.request_id.as_deref())?;
        Ok(request)
    }
}

fn parse_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, RequestError> {
    serde_json::from_slice(bytes).map_err(|error| bad_request(format!("malformed JSON body: {error}; see docs/api.md")))
}

fn check_request_id(id: Option<&str>) -> Result<(), RequestError> {
    let Some(id) = id else { return Ok(()) };
    let is_printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !is_printable {
        let message = format!("`request_id` must be 1 to {MAX_REQUEST_ID_BYTES} printable ASCII characters");
        return Err(bad_request(message));
    }
    Ok(())
}

/// Resolves the deadline of a request against the policy of its services.
///
/// # Errors
///
/// Fails with `bad_request` when the caller names 0 or more than the policy allows.
pub fn resolve_deadline(requested_ms: Option<u64>, default: Duration, max: Duration) -> Result<Duration, RequestError> {
    let Some(ms) = requested_ms else { return Ok(default) };
    let deadline = Duration::from_millis(ms);
    if deadline.is_zero() || deadline > max {
        let message = format!("`deadline_ms` is {ms}; use 1 to {}", max.as_millis());
        return Err(bad_request(message));
    }
    Ok(deadline)
}

fn bad_request(message: impl Into<Box<str>>) -> RequestError {
    RequestError::new(ErrorKind::BadRequest, message)
}

/// Body of an answer to a search.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SearchAnswer {
    /// Identity of the request.
    pub request_id: Box<str>,
    /// Snapshot that all hits reflect.
    pub snapshot: u64,
    /// Configuration revision that the request used.
    pub revision: u64,
    /// Whether the answer covers everything asked for.
    pub complete: bool,
    /// Coverage of the answer.
    pub coverage: CoverageBody,
    /// Merged hits, best first.
    pub hits: Vec<HitAnswer>,
    /// Sub-queries sent beyond one for each part.
    pub extra_parts: u32,
    /// Time that the entry spent, in milliseconds.
    pub elapsed_ms: f64,
}

/// Coverage label of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CoverageBody {
    /// Covered fraction of the key spaces of all services named.
    pub total: f64,
    /// Covered fraction of each service.
    pub services: IndexMap<Box<str>, f64>,
    /// Key ranges that are not covered.
    pub missing: Vec<MissingRange>,
}

/// Key range that an answer does not cover.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MissingRange {
    /// Service.
    pub service: Box<str>,
    /// Shard.
    pub shard: Box<str>,
    /// First key.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
    /// Why it is missing.
    pub reason: Box<str>,
}

/// One hit of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HitAnswer {
    /// Service that the document belongs to.
    pub service: Box<str>,
    /// Key of the document.
    pub key: u64,
    /// Name of the document.
    pub document: Box<str>,
    /// Score, greater is better.
    pub score: f64,
}

/// Body of an executed submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// Identity of the request.
    pub request_id: Box<str>,
    /// Always `executed`.
    pub outcome: Box<str>,
    /// HTTP status of the backend server.
    pub status: u32,
    /// Body of the backend server.
    pub body: Box<str>,
    /// Whether the outcome was recorded by an earlier attempt with the same ticket.
    pub replayed: bool,
}

/// Body of an error.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Identity of the request.
    pub request_id: Box<str>,
    /// Kind for programs.
    pub kind: ErrorKind,
    /// Text for people, with the remedy.
    pub message: Box<str>,
    /// Time after which a repeat can succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Ticket to repeat a submission with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Box<str>>,
    /// Coverage reached, when the answer fell short of the coverage asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageBody>,
}

/// Returns the HTTP status of an error kind.
#[must_use]
pub const fn status_of(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
        ErrorKind::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        ErrorKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        ErrorKind::NotRun | ErrorKind::NoSnapshot => StatusCode::SERVICE_UNAVAILABLE,
    }
}
