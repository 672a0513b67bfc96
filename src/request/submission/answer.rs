//! Final answers to callers of submissions.

use std::time::Duration;

use bytes::Bytes;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::wire::proto::RefusalReason;

/// Retry-after time when no leaf named one. It spreads repeats without being noticed by people who wait.
const DEFAULT_RETRY: Duration = Duration::from_millis(250);

/// Final answer to the caller of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The backend server ran the request.
    Executed {
        /// HTTP status of the backend server, in 200 to 299.
        status: u16,
        /// Body of the backend server. A replay has an empty one when it was too large to be stored.
        body: Bytes,
        /// Whether an earlier attempt with the same ticket ran it.
        replayed: bool,
    },
    /// The request had no ticket and did not run. The caller repeats it with this one.
    TicketNeeded {
        /// Text form of the ticket.
        ticket: Box<str>,
    },
    /// The request did not run and never will under its ticket. The caller asks for a new ticket.
    NotRun {
        /// Why it was refused.
        reason: RefusalReason,
        /// Time after which a repeat can succeed; zero when none is known.
        retry_after: Duration,
    },
    /// The request may have run. The caller repeats it with the same ticket to learn more, or gives up.
    OutcomeUnknown(UnknownReason),
}

/// Why an outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// There is no session with the leaf that the ticket names.
    Unreachable,
    /// The leaf that the ticket names has restarted since, and its record is lost.
    Restarted,
    /// The session with the leaf was lost before its reply.
    SessionLost,
    /// The deadline passed before a reply.
    Deadline,
    /// The leaf itself does not know.
    Leaf {
        /// Reason that the leaf gave.
        reason: RefusalReason,
        /// Time after which a repeat can succeed; zero when none is known.
        retry_after: Duration,
    },
}

impl Answer {
    /// Returns the HTTP status for the caller.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Executed { status, .. } => *status,
            Self::TicketNeeded { .. } => 428,
            Self::NotRun { .. } => 503,
            Self::OutcomeUnknown(_) => 502,
        }
    }

    /// Returns the error body for the caller, or `None` when the request ran.
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

    /// Tells whether a repeat with the same ticket can give another answer. A leaf keeps an outcome that it recorded, so
    /// its word is final unless it had no room to wait.
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
