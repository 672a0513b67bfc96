//! Final answers of submissions, and their HTTP status and error.

use std::time::Duration;

use bytes::Bytes;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::wire::proto::RefusalReason;

/// Retry-after time if the leaf gave none. It spreads retries, yet is too short for users to notice.
const DEFAULT_RETRY: Duration = Duration::from_millis(250);

/// Final answer to the caller of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The backend server executed the request.
    Executed {
        /// HTTP status of the backend server, in `200..=299`.
        status: u16,
        /// Response body of the backend server. Empty in a replay if the body was too large to be stored.
        body: Bytes,
        /// Whether this is the recorded result of an earlier attempt with the same ticket.
        replayed: bool,
    },
    /// The request had no ticket and did not run. The caller repeats it with this ticket.
    TicketNeeded {
        /// Ticket in its text encoding.
        ticket: Box<str>,
    },
    /// The request did not run and never will with its ticket. The caller requests a new ticket.
    NotRun {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which a repeat may succeed; zero if unknown.
        retry_after: Duration,
    },
    /// The request may have run. The caller repeats it with the same ticket to learn the outcome, or gives up.
    OutcomeUnknown(UnknownReason),
}

/// Reason why the outcome of a submission is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The entry has no session with the leaf that the ticket names.
    Unreachable,
    /// The leaf has restarted since it issued the ticket, so its record of the request is lost.
    Restarted,
    /// The session with the leaf was lost before it replied.
    SessionLost,
    /// The deadline expired before the leaf replied.
    Deadline,
    /// The leaf replied that the outcome is unknown.
    Leaf {
        /// Reason given by the leaf.
        reason: RefusalReason,
        /// Time after which a repeat may succeed; zero if unknown.
        retry_after: Duration,
    },
}

impl Answer {
    /// Returns the HTTP status of the response to the caller.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Executed { status, .. } => *status,
            Self::TicketNeeded { .. } => 428,
            Self::NotRun { .. } => 503,
            Self::OutcomeUnknown(_) => 502,
        }
    }

    /// Returns the error to report to the caller, or `None` if the request was executed.
    #[must_use]
    pub fn error(&self) -> Option<RequestError> {
        match self {
            Self::Executed { .. } => None,
            Self::TicketNeeded { .. } => {
                let message = "a submission needs a ticket; repeat the request with the one in this reply";
                Some(RequestError::new(ErrorKind::NotRun, message))
            }
            Self::NotRun { reason, retry_after } => {
                let reason = reason_text(*reason);
                let message = format!("refused before it ran ({reason}); repeat the request without its ticket");
                Some(RequestError::new(ErrorKind::NotRun, message).with_retry_after(or_default_retry(*retry_after)))
            }
            Self::OutcomeUnknown(unknown) => Some(unknown.error()),
        }
    }
}

impl UnknownReason {
    /// Returns the name used in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Restarted => "restarted",
            Self::SessionLost => "session_lost",
            Self::Deadline => "deadline",
            Self::Leaf { .. } => "leaf",
        }
    }

    /// Returns whether a repeat with the same ticket can have another outcome.
    ///
    /// A leaf never changes a recorded outcome, so its reply is final unless its queue was full.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::Unreachable | Self::SessionLost | Self::Deadline => true,
            Self::Restarted => false,
            Self::Leaf { reason, .. } => matches!(reason, RefusalReason::QueueFull),
        }
    }

    fn error(self) -> RequestError {
        let name = self.as_str();
        let error = |message: String| RequestError::new(ErrorKind::OutcomeUnknown, message);
        if !self.is_retryable() {
            return error(format!(
                "the request may have run ({name}) and this ticket cannot tell; check before you submit anew"
            ));
        }
        let retry_after = match self {
            Self::Leaf { retry_after, .. } => or_default_retry(retry_after),
            _ => DEFAULT_RETRY,
        };
        error(format!(
            "the request may have run ({name}); repeat it with the same ticket to learn its outcome"
        ))
        .with_retry_after(retry_after)
    }
}

fn or_default_retry(retry_after: Duration) -> Duration {
    if retry_after.is_zero() {
        DEFAULT_RETRY
    } else {
        retry_after
    }
}

fn reason_text(reason: RefusalReason) -> String {
    let name = reason.as_str_name().trim_start_matches("REFUSAL_REASON_");
    name.to_ascii_lowercase()
}
