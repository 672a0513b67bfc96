//! Snapshots that searchers hold, as they said in their own replies.
//!
//! Health and load pages are not used, because they lag. What a searcher said stays in use until its next reply: a
//! wrong entry costs one refused part, whereas forgetting it would refuse the first search after a quiet night.

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

/// Snapshots remembered for each searcher; the newest are kept.
const MAX_SNAPSHOTS: usize = 32;

/// Time for which a searcher is believed to lack a snapshot. Replicas that are asked rarely, as in other data centres,
/// would otherwise be passed over with an old list after they adopted the snapshot.
pub const MISSING_TTL: Duration = Duration::from_millis(500);

/// Time after which a search can be repeated when no snapshot is known. Leaves report holdings when they open their
/// connections, which takes a few round trips.
pub const NO_SNAPSHOT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Snapshot chosen for a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PinnedSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Fraction of the key spaces of the plan for which a usable replica is known to hold it, in `0.0..=1.0`.
    pub coverage: f64,
}

/// Snapshots held by each searcher of one revision. Updates are lock-free.
#[derive(Debug)]
pub struct Holdings {
    searchers: Vec<Arc<SearcherSnapshots>>,
}

#[derive(Debug, Default)]
struct SearcherSnapshots {
    held: ArcSwapOption<SnapshotList>,
}

/// What one searcher said last.
#[derive(Debug)]
struct SnapshotList {
    /// Snapshots in rising order.
    snapshots: Box<[SnapshotId]>,
    /// Time at which the reply arrived.
    received: Instant,
}

impl Holdings {
    /// Makes holdings in which nothing is known.
    #[must_use]
    pub fn new(tables: &Tables) -> Self {
        let searchers = tables.searchers.values().map(|_| Arc::default()).collect();
        Self { searchers }
    }

    /// Makes the holdings of the next revision. A searcher whose transport digest is unchanged keeps what is known.
    #[must_use]
    pub fn next_revision(&self, old: &Tables, new: &Tables) -> Self {
        let searchers = new.searchers.iter().map(|(id, searcher)| {
            let before = old.searchers.get_full(id);
            match before {
                Some((ix, _, known)) if known.transport_digest == searcher.transport_digest => {
                    Arc::clone(&self.searchers[ix])
                }
                _ => Arc::default(),
            }
        });
        Self {
            searchers: searchers.collect(),
        }
    }

    /// Takes the list that a searcher gave in a reply. An empty list carries no information, since refusals of the
    /// leaf itself have none.
    pub fn on_reply(&self, searcher: SearcherIndex, held: &[SnapshotId], now: Instant) {
        if held.is_empty() {
            return;
        }
        let cell = &self.searchers[searcher as usize].held;
        if cell.load().as_ref().is_some_and(|known| is_current(known, held, now)) {
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

    /// Notes that a searcher refused `snapshot` as gone.
    pub fn on_snapshot_gone(&self, searcher: SearcherIndex, snapshot: SnapshotId, now: Instant) {
        let cell = &self.searchers[searcher as usize].held;
        let Some(known) = cell.load_full() else {
            return;
        };
        if known.snapshots.binary_search(&snapshot).is_err() {
            return;
        }
        let remaining = known.snapshots.iter().copied().filter(|held| *held != snapshot);
        cell.store(Some(Arc::new(SnapshotList {
            snapshots: remaining.collect(),
            received: now,
        })));
    }

    /// Tells whether the searcher holds `snapshot`, or `None` when that is not known. That a searcher lacks a snapshot
    /// is believed for [`MISSING_TTL`] only.
    #[must_use]
    pub fn holds(&self, searcher: SearcherIndex, snapshot: SnapshotId, now: Instant) -> Option<bool> {
        let held = self.searchers[searcher as usize].held.load();
        let known = held.as_ref()?;
        let held = known.snapshots.binary_search(&snapshot).is_ok();
        let is_recent = now.saturating_duration_since(known.received) < MISSING_TTL;
        (held || is_recent).then_some(held)
    }

    /// Returns the time since the searcher said what it holds, or `None` when nothing is known of it. Replies that
    /// repeat the list within [`REFRESH_INTERVAL`] do not renew the age.
    #[must_use]
    pub fn age(&self, searcher: SearcherIndex, now: Instant) -> Option<Duration> {
        let held = self.searchers[searcher as usize].held.load();
        held.as_ref().map(|known| now.saturating_duration_since(known.received))
    }

    /// Picks the snapshot that usable replicas of the most key space hold, and the newest of equals.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NoSnapshot`] when no usable replica is known to hold a snapshot outside `excluded`.
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
                self.collect(*searcher, &mut part_snapshots);
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

    fn collect(&self, searcher: SearcherIndex, into: &mut Vec<SnapshotId>) {
        if let Some(known) = self.searchers[searcher as usize].held.load().as_ref() {
            into.extend_from_slice(&known.snapshots);
        }
    }
}

/// Age below which a reply with an unchanged list is not stored again. Most replies repeat the list, and storing each
/// one would allocate on every reply.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

fn is_current(known: &SnapshotList, held: &[SnapshotId], now: Instant) -> bool {
    let same = held.len() == known.snapshots.len() && held.iter().all(|id| known.snapshots.binary_search(id).is_ok());
    same && now.saturating_duration_since(known.received) < REFRESH_INTERVAL
}

fn no_snapshot() -> RequestError {
    let message = "no snapshot is known that usable replicas hold; repeat after the time given";
    RequestError::new(ErrorKind::NoSnapshot, message).with_retry_after(NO_SNAPSHOT_RETRY_AFTER)
}
