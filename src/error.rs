//! Errors that are returned to callers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Kind of a request error, sent to callers in the `kind` field of the error body.
///
/// See `docs/design.md`, section 6.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// No part of the request ran on any backend server. The request can safely be retried.
    NotRun,
    /// The request may have run. A non-idempotent request must not be retried under a new request ID.
    OutcomeUnknown,
    /// The answer did not reach the requested coverage, either by the deadline or because servers are unreachable.
    Deadline,
    /// The tier is shedding load. The request can be retried after `retry_after`.
    Overloaded,
    /// The request is malformed and fails again unless it is changed.
    BadRequest,
    /// No snapshot is available on the usable replicas.
    NoSnapshot,
}

impl ErrorKind {
    /// Returns the name used in bodies, logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Deadline => "deadline",
            Self::Overloaded => "overloaded",
            Self::BadRequest => "bad_request",
            Self::NoSnapshot => "no_snapshot",
        }
    }
}

/// Error of a request, with a message that says how to resolve it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", kind.as_str())]
pub struct RequestError {
    /// Kind of the error, for callers to match on.
    pub kind: ErrorKind,
    /// Description of the failure and its remedy.
    pub message: Box<str>,
    /// Delay after which a retry can succeed, if it is known.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error without a retry delay.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry can succeed.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
