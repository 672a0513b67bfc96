//! Sets of key ranges, and the coverage of an answer: which part of the key space it accounts for.
//!
//! See "Coverage" in `docs/design.md` and `docs/design/snapshots-and-coverage.md`.

use crate::ids::ServiceId;
use crate::version::keys::KEY_SPACE;
use crate::version::keys::KeyRange;

/// Set of keys, stored as sorted ranges that neither overlap nor touch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeSet {
    ranges: Vec<KeyRange>,
}

impl RangeSet {
    /// Creates a set of the keys of `range`.
    #[must_use]
    pub fn of(range: KeyRange) -> Self {
        let mut set = Self::default();
        set.insert(range);
        set
    }

    /// Returns the ranges in key order.
    #[must_use]
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Returns the number of keys in the set.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|range| range.len()).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether the set contains `key`.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        self.ranges.iter().any(|range| range.contains(key))
    }

    /// Returns the smallest range that contains the whole set, or an empty range for an empty set.
    #[must_use]
    pub fn hull(&self) -> KeyRange {
        let start = self.ranges.first().map_or(0, |range| range.start);
        let end = self.ranges.last().map_or(start, |range| range.end);
        KeyRange { start, end }
    }

    /// Adds the keys of `range`.
    pub fn insert(&mut self, range: KeyRange) {
        if range.is_empty() {
            return;
        }
        let first = self.ranges.partition_point(|existing| existing.end < range.start);
        let last = self.ranges.partition_point(|existing| existing.start <= range.end);
        let mut joined = range;
        for existing in &self.ranges[first..last] {
            joined.start = joined.start.min(existing.start);
            joined.end = joined.end.max(existing.end);
        }
        self.ranges.splice(first..last, [joined]);
    }

    /// Removes the keys of `range` and returns those that were in the set.
    ///
    /// Removing the same keys again returns an empty set, so two replies for one part cannot be counted twice.
    pub fn remove(&mut self, range: KeyRange) -> Self {
        let mut removed = Self::default();
        let mut remaining = Vec::with_capacity(self.ranges.len() + 1);
        for existing in &self.ranges {
            let overlap = existing.intersection(range);
            if overlap.is_empty() {
                remaining.push(*existing);
                continue;
            }
            removed.ranges.push(overlap);
            let before = KeyRange {
                start: existing.start,
                end: overlap.start,
            };
            let after = KeyRange {
                start: overlap.end,
                end: existing.end,
            };
            remaining.extend([before, after].into_iter().filter(|rest| !rest.is_empty()));
        }
        self.ranges = remaining;
        removed
    }
}

/// Reason why keys are missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MissingReason {
    /// The deadline expired before a reply arrived.
    Deadline,
    /// The backend server truncated its result: its hits are in the answer, but the range may have more.
    Truncated,
    /// Replies arrived, but none claimed to cover these keys, for example after a shard split.
    NotAnswered,
    /// No available replica holds the pinned snapshot.
    SnapshotGone,
    /// No replica could be reached.
    Unreachable,
    /// Replicas refused because of load, and no retry budget or other replica was left.
    Overloaded,
    /// All replicas are draining.
    Draining,
    /// The leaf does not know the searchers, for example while instances use different revisions.
    UnknownSearcher,
    /// The caller cancelled the request.
    Cancelled,
    /// The query ended early because the requested minimum coverage was no longer attainable.
    Abandoned,
    /// The configuration assigns these keys to no shard.
    Unassigned,
}

impl MissingReason {
    /// Returns the name used in response bodies, logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Truncated => "truncated",
            Self::NotAnswered => "not_answered",
            Self::SnapshotGone => "snapshot_gone",
            Self::Unreachable => "unreachable",
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::UnknownSearcher => "unknown_searcher",
            Self::Cancelled => "cancelled",
            Self::Abandoned => "abandoned",
            Self::Unassigned => "unassigned",
        }
    }
}

/// Key range that an answer does not cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingRange {
    /// Keys without an answer.
    pub range: KeyRange,
    /// Reason why the keys are missing.
    pub reason: MissingReason,
}

/// Coverage of one service within an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCoverage {
    /// Service that the coverage applies to.
    pub service: ServiceId,
    /// Number of keys covered, out of [`KEY_SPACE`].
    pub covered: u64,
    /// Ranges not covered, in key order.
    pub missing: Vec<MissingRange>,
}

impl ServiceCoverage {
    /// Computes the coverage from the planned ranges and the missing parts of them.
    ///
    /// Keys that were never planned count as missing, so a gap in the configuration is not reported as complete.
    #[must_use]
    pub fn new(service: ServiceId, planned: &RangeSet, mut missing: Vec<MissingRange>) -> Self {
        let mut unplanned = RangeSet::of(KeyRange::ALL);
        for range in planned.ranges() {
            unplanned.remove(*range);
        }
        missing.extend(unplanned.ranges().iter().map(|range| MissingRange {
            range: *range,
            reason: MissingReason::Unassigned,
        }));
        missing.sort_by_key(|entry| entry.range);
        let mut uncovered = RangeSet::default();
        for entry in &missing {
            uncovered.insert(entry.range);
        }
        Self {
            service,
            covered: KEY_SPACE.saturating_sub(uncovered.len()),
            missing,
        }
    }

    /// Returns the covered fraction of the key space, in `0.0..=1.0`.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.covered as f64 / KEY_SPACE as f64
    }
}

/// Coverage of an answer over all its services.
#[derive(Debug, Clone, PartialEq)]
pub struct Coverage {
    /// Coverage of each service, in plan order.
    pub services: Vec<ServiceCoverage>,
}

impl Coverage {
    /// Returns the mean covered fraction over all services, in `0.0..=1.0`; 0.0 without services.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        if self.services.is_empty() {
            return 0.0;
        }
        let sum: f64 = self.services.iter().map(ServiceCoverage::fraction).sum();
        sum / self.services.len() as f64
    }

    /// Returns whether no key is missing. Exact, unlike comparing [`Coverage::fraction`] with 1.0.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !self.services.is_empty() && self.services.iter().all(|service| service.missing.is_empty())
    }
}
