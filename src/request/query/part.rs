//! State of one part of a query.

use std::time::Instant;

use crate::ids::SearcherIndex;
use crate::process::replicas::InFlight;
use crate::request::coverage::MissingReason;
use crate::request::coverage::RangeSet;
use crate::version::keys::KeyRange;
use crate::wire::proto::Hit;

/// Maximum attempts of one part on one snapshot: three replicas, each through the owner and the successor, and two
/// hedges.
pub(super) const MAX_ATTEMPTS: u32 = 8;

/// Maximum concurrent attempts of one part: the original, a hedge, and a hedge of the hedge.
pub(super) const MAX_IN_FLIGHT: usize = 3;

/// One attempt of a part. Its number is its position in [`Part::attempts`].
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) searcher: SearcherIndex,
    pub(super) range: KeyRange,
    pub(super) fallback: bool,
    pub(super) is_hedge: bool,
    pub(super) sent_at: Instant,
    /// Set while the result is awaited; counts against the searcher.
    pub(super) in_flight: Option<InFlight>,
}

/// Progress of one part of a query.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) attempts: Vec<Attempt>,
    /// Number of the first attempt on the currently pinned snapshot.
    pub(super) first_current: usize,
    /// Keys that no reply has covered.
    pub(super) missing: RangeSet,
    /// Hits of truncated replies, used only for keys that no complete reply covers.
    pub(super) truncated: Vec<Hit>,
    /// Reason why the keys in [`Part::missing`] are missing, if known.
    pub(super) reason: Option<MissingReason>,
    /// Whether a replica reported that the pinned snapshot is gone.
    pub(super) snapshot_gone: bool,
    pub(super) settled: bool,
}

impl Part {
    pub(super) fn new(range: KeyRange) -> Self {
        Self {
            attempts: Vec::with_capacity(1),
            first_current: 0,
            missing: RangeSet::of(range),
            truncated: Vec::new(),
            reason: None,
            snapshot_gone: false,
            settled: false,
        }
    }

    /// Discards all results. The attempts are kept, so that their numbers are not reused.
    pub(super) fn restart(&mut self, range: KeyRange) {
        self.first_current = self.attempts.len();
        self.missing = RangeSet::of(range);
        self.truncated.clear();
        self.reason = None;
        self.snapshot_gone = false;
        self.settled = false;
    }

    /// Returns the attempts on the currently pinned snapshot.
    pub(super) fn current(&self) -> &[Attempt] {
        &self.attempts[self.first_current..]
    }

    pub(super) fn in_flight_count(&self) -> usize {
        self.current()
            .iter()
            .filter(|attempt| attempt.in_flight.is_some())
            .count()
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.current().len() as u32 >= MAX_ATTEMPTS
    }

    pub(super) fn has_tried(&self, searcher: SearcherIndex) -> bool {
        self.current().iter().any(|attempt| attempt.searcher == searcher)
    }

    pub(super) fn has_tried_successor(&self, searcher: SearcherIndex) -> bool {
        let mut current = self.current().iter();
        current.any(|attempt| attempt.searcher == searcher && attempt.fallback)
    }
}
