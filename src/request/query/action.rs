//! Outputs of a query: the actions that its owner carries out, and the answer to the caller.

use std::time::Duration;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::ids::Revision;
use crate::ids::SearcherIndex;
use crate::ids::SnapshotId;
use crate::request::coverage::Coverage;
use crate::request::coverage::MissingReason;
use crate::request::merge::MergedHit;
use crate::version::keys::KeyRange;

/// Action that the owner of a query must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt to the leaf that owns the searcher.
    Send(SendAttempt),
    /// Cancel an attempt whose result is no longer needed.
    Cancel(CancelAttempt),
    /// Return the answer to the caller. This is the last action of a query.
    Finish(Box<Answer>),
}

/// Instruction to send an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendAttempt {
    /// Part number, which is the position in the plan.
    pub part: u32,
    /// Attempt number, unique within the part for the whole query.
    pub attempt: u32,
    /// Searcher to send to.
    pub searcher: SearcherIndex,
    /// Keys to search; a subrange of the shard if other replies already cover the rest.
    pub range: KeyRange,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Whether to send to the successor because the owner of the searcher refused or was lost.
    pub fallback: bool,
    /// Reason for the attempt.
    pub cause: Cause,
}

/// Reason why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// First attempt of a part on the current snapshot.
    First,
    /// Duplicate of a slow attempt. Charged to the hedge budget.
    Hedge,
    /// Repeat after a refusal because of load, or after a reply without new coverage. Charged to the retry budget.
    Retry,
    /// Attempt for keys that a reply did not cover, for example after a shard split. Not charged to a budget, since no
    /// server has worked on these keys yet; bounded by the maximum number of attempts of a part.
    Completion,
    /// Repeat after a failure in which no backend server worked on the part, or after the loss of its leaf. Not charged
    /// to a budget, since the loss of one leaf in four would exhaust any budget; bounded by the maximum number of
    /// attempts of a part.
    Redirect,
}

/// Instruction to cancel an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelAttempt {
    /// Part number.
    pub part: u32,
    /// Attempt number.
    pub attempt: u32,
    /// Searcher that the attempt was sent to.
    pub searcher: SearcherIndex,
    /// Whether the attempt was sent to the successor.
    pub fallback: bool,
}

/// Answer to a search.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Snapshot from which all hits were read.
    pub snapshot: SnapshotId,
    /// Revision of the configuration that the query used.
    pub revision: Revision,
    /// Best hits, in rank order.
    pub hits: Vec<MergedHit>,
    /// Coverage of each service, and the missing ranges with their reasons.
    pub coverage: Coverage,
    /// Attempts beyond the first of each part.
    pub extra: ExtraAttempts,
    /// Durations measured at the entry.
    pub timings: Timings,
    /// Reason why the query ended.
    pub end_reason: EndReason,
    /// Time after which a repeat may reach more coverage, if a refusal gave one.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Checks the coverage against the minimum that the caller accepts, in `0.0..=1.0`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if the coverage is too low and parts were given up because of load, unless the
    /// deadline ended the query. Returns [`ErrorKind::Deadline`] for any other lack of coverage.
    pub fn check(&self, min_coverage: f64) -> Result<(), RequestError> {
        let fraction = self.coverage.fraction();
        if fraction >= min_coverage {
            return Ok(());
        }
        let kind = if self.is_overloaded() && self.end_reason != EndReason::Deadline {
            ErrorKind::Overloaded
        } else {
            ErrorKind::Deadline
        };
        let message = format!(
            "coverage {fraction:.4} is below {min_coverage:.4}; repeat later, allow more time or accept less coverage"
        );
        let error = RequestError::new(kind, message);
        Err(match self.retry_after {
            Some(after) => error.with_retry_after(after),
            None => error,
        })
    }

    /// Returns whether a part is missing because of load.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        let mut missing = self.coverage.services.iter().flat_map(|service| &service.missing);
        missing.any(|missing| missing.reason == MissingReason::Overloaded)
    }
}

/// Number of attempts beyond the first of each part, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraAttempts {
    /// Number of hedges sent.
    pub hedges: u32,
    /// Number of retries sent.
    pub retries: u32,
    /// Number of completions sent.
    pub completions: u32,
    /// Number of redirects sent.
    pub redirects: u32,
    /// Number of first attempts sent again because the whole query was restarted.
    pub restarted: u32,
    /// Number of restarts of the whole query.
    pub restarts: u32,
    /// Number of hedges and retries denied by a budget.
    pub denied: u32,
}

impl ExtraAttempts {
    /// Returns the total number of extra attempts.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.hedges + self.retries + self.completions + self.redirects + self.restarted
    }
}

/// Durations of a query, measured at the entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Timings {
    /// From the start to the answer.
    pub total: Duration,
    /// From the start to the first usable reply; zero if there was none.
    pub first_reply: Duration,
    /// From the start to the last usable reply; zero if there was none.
    pub last_reply: Duration,
}

/// Reason why a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndReason {
    /// All parts were answered or given up; see the coverage for which.
    Settled,
    /// The minimum coverage of the caller was no longer attainable.
    Unattainable,
    /// The deadline was too close to wait any longer.
    Deadline,
    /// The caller cancelled the request.
    Cancelled,
}
