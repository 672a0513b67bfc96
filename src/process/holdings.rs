//! Snapshots held by searchers, as reported in their replies.
//!
//! Health and load pages are not used as a source, because they lag. A list stays valid until the next reply of its
//! searcher: an outdated list costs one refused part, whereas an expiry would fail the first search after a long period
//! without requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;

use crate::error::ErrorKind;
use crate::error::RequestError;
use crate::ids::SearcherIndex;
use crate::ids::SnapshotId;
use crate::request::plan::Plan;
use crate::version::keys::KEY_SPACE;
use crate::version::tables::Tables;

/// Maximum number of snapshots stored for each searcher. The newest are kept.
const MAX_SNAPSHOTS: usize = 32;

/// Time after a reply for which a snapshot that is not in its list counts as missing. Without this limit, replicas that
/// receive few requests, such as those in other data centres, would be skipped after they have loaded the snapshot.
pub const MISSING_TTL: Duration = Duration::from_millis(500);

/// Retry-after time of a search when no snapshot is known. Leaves report holdings when they open their connections,
/// which takes a few round trips.
pub const NO_SNAPSHOT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Snapshot selected for a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PinnedSnapshot {
    /// Snapshot that the query reads.
    pub snapshot: SnapshotId,
    /// Fraction of the plan's key spaces for which a usable replica is known to hold the snapshot, in `0.0..=1.0`.
    pub coverage: f64,
}

/// Snapshots held by the searchers of one revision. Updates are lock-free.
#[derive(Debug)]
pub struct Holdings {
    searchers: Vec<Arc<SearcherSnapshots>>,
}

#[derive(Debug, Default)]
struct SearcherSnapshots {
    held: ArcSwapOption<SnapshotList>,
}

/// List of snapshots from the last reply of a searcher.
#[derive(Debug)]
struct SnapshotList {
    /// Snapshots in ascending order.
    snapshots: Box<[SnapshotId]>,
    /// Time at which the reply was received.
    received: Instant,
}

impl Holdings {
    /// Creates holdings without any known snapshot.
    #[must_use]
    pub fn new(tables: &Tables) -> Self {
        let searchers = tables.searchers.values().map(|_| Arc::default()).collect();
        Self { searchers }
    }

    /// Creates the holdings of the next revision. Searchers with an unchanged transport digest keep their list.
    #[must_use]
    pub fn next_revision(&self, old: &Tables, new: &Tables) -> Self {
        let searchers = new.searchers.iter().map(|(id, searcher)| {
            let before = old.searchers.get_full(id);
            match before {
                Some((ix, _, previous)) if previous.transport_digest == searcher.transport_digest => {
                    Arc::clone(&self.searchers[ix])
                }
                _ => Arc::default(),
            }
        });
        Self {
            searchers: searchers.collect(),
        }
    }

    /// Records the snapshots listed in a reply of `searcher`. An empty list is ignored, since refusals by the leaf
    /// itself carry no list.
    pub fn on_reply(&self, searcher: SearcherIndex, held: &[SnapshotId], now: Instant) {
        if held.is_empty() {
            return;
        }
        let cell = &self.searchers[searcher as usize].held;
        if cell.load().as_ref().is_some_and(|list| is_current(list, held, now)) {
            return;
        }
        let mut snapshots = held.to_vec();
        snapshots.sort_unstable();
        snapshots.dedup();
        let excess = snapshots.len().saturating_sub(MAX_SNAPSHOTS);
        snapshots.drain(..excess);
        cell.store(Some(Arc::new(SnapshotList {
            snapshots: snapshots.into(),
            received: now,
        })));
    }

    /// Records that `searcher` refused a request because it no longer holds `snapshot`.
    pub fn on_snapshot_gone(&self, searcher: SearcherIndex, snapshot: SnapshotId, now: Instant) {
        let cell = &self.searchers[searcher as usize].held;
        let Some(list) = cell.load_full() else {
            return;
        };
        if list.snapshots.binary_search(&snapshot).is_err() {
            return;
        }
        let remaining = list.snapshots.iter().copied().filter(|held| *held != snapshot);
        cell.store(Some(Arc::new(SnapshotList {
            snapshots: remaining.collect(),
            received: now,
        })));
    }

    /// Returns whether the searcher holds `snapshot`, or `None` when this is unknown. A snapshot counts as missing only
    /// for [`MISSING_TTL`] after the last reply.
    #[must_use]
    pub fn holds(&self, searcher: SearcherIndex, snapshot: SnapshotId, now: Instant) -> Option<bool> {
        let held = self.searchers[searcher as usize].held.load();
        let list = held.as_ref()?;
        let held = list.snapshots.binary_search(&snapshot).is_ok();
        let is_recent = now.saturating_duration_since(list.received) < MISSING_TTL;
        (held || is_recent).then_some(held)
    }

    /// Returns the age of the list of a searcher, or `None` when there is no list. A reply that repeats the list within
    /// [`REFRESH_INTERVAL`] does not reset the age.
    #[must_use]
    pub fn age(&self, searcher: SearcherIndex, now: Instant) -> Option<Duration> {
        let held = self.searchers[searcher as usize].held.load();
        held.as_ref().map(|list| now.saturating_duration_since(list.received))
    }

    /// Selects the snapshot that usable replicas hold for the largest part of the key space. Ties go to the newest
    /// snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NoSnapshot`] when no usable replica is known to hold a snapshot that is not in `excluded`.
    pub fn pin(
        &self,
        plan: &Plan,
        usable: impl Fn(SearcherIndex) -> bool,
        excluded: &[SnapshotId],
    ) -> Result<PinnedSnapshot, RequestError> {
        let mut totals: IndexMap<SnapshotId, u64> = IndexMap::new();
        let mut part_snapshots: Vec<SnapshotId> = Vec::new();
        for (part, planned) in plan.parts.iter().enumerate() {
            part_snapshots.clear();
            for searcher in plan.replicas(part as u32).iter().filter(|searcher| usable(**searcher)) {
                self.collect_snapshots(*searcher, &mut part_snapshots);
            }
            part_snapshots.sort_unstable();
            part_snapshots.dedup();
            for snapshot in &part_snapshots {
                *totals.entry(*snapshot).or_default() += planned.range.len();
            }
        }
        totals.retain(|snapshot, _| !excluded.contains(snapshot));
        let best = totals.into_iter().max_by_key(|(snapshot, keys)| (*keys, *snapshot));
        let (snapshot, keys) = best.ok_or_else(no_snapshot)?;
        let space = KEY_SPACE as f64 * plan.services.len() as f64;
        Ok(PinnedSnapshot {
            snapshot,
            coverage: keys as f64 / space,
        })
    }

    fn collect_snapshots(&self, searcher: SearcherIndex, into: &mut Vec<SnapshotId>) {
        if let Some(list) = self.searchers[searcher as usize].held.load().as_ref() {
            into.extend_from_slice(&list.snapshots);
        }
    }
}

/// Minimum age of a list before an identical one replaces it. Most replies repeat the list, and storing each of them
/// would allocate memory on every reply.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

fn is_current(list: &SnapshotList, held: &[SnapshotId], now: Instant) -> bool {
    let same = held.len() == list.snapshots.len() && held.iter().all(|id| list.snapshots.binary_search(id).is_ok());
    same && now.saturating_duration_since(list.received) < REFRESH_INTERVAL
}

fn no_snapshot() -> RequestError {
    let message = "no snapshot is known that usable replicas hold; repeat after the time given";
    RequestError::new(ErrorKind::NoSnapshot, message).with_retry_after(NO_SNAPSHOT_RETRY_AFTER)
}
