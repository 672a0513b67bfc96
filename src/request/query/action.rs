//! Outputs of a query: the actions that its owner carries out, and the answer.

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

/// What the owner of a query must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt to the leaf that owns the searcher.
    Send(SendAttempt),
    /// Cancel an attempt whose result is no longer wanted.
    Cancel(CancelAttempt),
    /// Give the answer to the caller. It is the last action of a query.
    Finish(Box<Answer>),
}

/// Attempt to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendAttempt {
    /// Part number, a position in the plan.
    pub part: u32,
    /// Attempt number, unique within the part for the whole query.
    pub attempt: u32,
    /// Searcher to ask.
    pub searcher: SearcherIndex,
    /// Keys to ask for; part of the range of the shard when the rest is already covered.
    pub range: KeyRange,
    /// Snapshot to ask for.
    pub snapshot: SnapshotId,
    /// Whether to send to the successor, because the owner of the searcher refused or was lost.
    pub fallback: bool,
    /// Why it is sent.
    pub cause: Cause,
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// First attempt of a part, also after a restart.
    First,
    /// Copy of an attempt that takes long. Charged to the hedge budget.
    Hedge,
    /// Repeat after a refusal because of load, or after a reply that covered nothing new. Charged to the retry budget.
    Retry,
    /// Request for the keys that a reply left out, as after a split of the shard. Not charged, since no server has
    /// worked on these keys yet, and bounded by the number of attempts of a part.
    Completion,
    /// Repeat after a failure in which no backend server worked on the part, or its leaf was lost. Bounded by the number
    /// of attempts of a part, and not charged, since otherwise the loss of one leaf of four would use up any budget.
    Redirect,
}

/// Attempt to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelAttempt {
    /// Part number.
    pub part: u32,
    /// Attempt number.
    pub attempt: u32,
    /// Searcher that was asked.
    pub searcher: SearcherIndex,
    /// Whether it was sent to the successor.
    pub fallback: bool,
}

/// Answer of a search.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Snapshot that all hits come from.
    pub snapshot: SnapshotId,
    /// Revision of the configuration that the query used.
    pub revision: Revision,
    /// Best hits in order.
    pub hits: Vec<MergedHit>,
    /// Coverage of each service, and the missing ranges with their reasons.
    pub coverage: Coverage,
    /// Sub-queries beyond one for each part.
    pub extra: ExtraAttempts,
    /// Times of the query.
    pub timings: Timings,
    /// Why the query ended.
    pub end_reason: EndReason,
    /// Time after which a repeat can reach more coverage, where a refusal named one.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Checks the coverage against the least that the caller accepts, in `0.0..=1.0`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] when parts were given up because of load, and [`ErrorKind::Deadline`] when the
    /// deadline ended the query or the missing parts could not be reached at all.
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

    /// Tells whether a part is missing because of load.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        let mut missing = self.coverage.services.iter().flat_map(|service| &service.missing);
        missing.any(|missing| missing.reason == MissingReason::Overloaded)
    }
}

/// Sub-queries beyond one for each part, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraAttempts {
    /// Hedges sent.
    pub hedges: u32,
    /// Retries sent.
    pub retries: u32,
    /// Completions sent.
    pub completions: u32,
    /// Redirects sent.
    pub redirects: u32,
    /// Sub-queries sent again by restarts of the whole query.
    pub restarted: u32,
    /// Restarts of the whole query.
    pub restarts: u32,
    /// Hedges and retries that a budget denied.
    pub denied: u32,
}

impl ExtraAttempts {
    /// Returns the number of extra sub-queries.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.hedges + self.retries + self.completions + self.redirects + self.restarted
    }
}

/// Times of a query, measured at the entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Timings {
    /// From the start to the answer.
    pub total: Duration,
    /// From the start to the first reply that counted; zero when there was none.
    pub first_reply: Duration,
    /// From the start to the last reply that counted; zero when there was none.
    pub last_reply: Duration,
}

/// Why a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndReason {
    /// All parts are settled. The coverage tells whether some were given up.
    Settled,
    /// The least coverage that the caller accepts could no longer be reached.
    Unattainable,
    /// The deadline was near.
    Deadline,
    /// The caller withdrew the request.
    Cancelled,
}
