//! Tables of one revision, and what an entry has observed of its searchers.
//!
//! A query uses the same [`Fleet`] from start to end. All updates are lock-free, so that queries on many threads can
//! share it. When the configuration changes, [`Fleet::next_revision`] carries the observations over.

use std::sync::Arc;
use std::time::Instant;

use crate::error::RequestError;
use crate::ids::SnapshotId;
use crate::process::budget::Budgets;
use crate::process::holdings::Holdings;
use crate::process::holdings::PinnedSnapshot;
use crate::process::replicas::Availability;
use crate::process::replicas::Replicas;
use crate::request::plan::Plan;
use crate::version::tables::Tables;

/// Tables of one revision and the observations about their searchers.
#[derive(Debug)]
pub struct Fleet {
    /// Tables of the revision.
    pub tables: Arc<Tables>,
    /// Snapshots held by each searcher.
    pub holdings: Holdings,
    /// Observed latency and health of each searcher.
    pub replicas: Replicas,
    /// Budgets for extra sub-queries.
    pub budgets: Budgets,
}

impl Fleet {
    /// Creates a fleet without observations. `data_centre` is the data centre of this instance.
    #[must_use]
    pub fn new(tables: Arc<Tables>, data_centre: &str, now: Instant) -> Self {
        Self {
            holdings: Holdings::new(&tables),
            replicas: Replicas::new(&tables, data_centre, now),
            budgets: Budgets::new(&tables),
            tables,
        }
    }

    /// Creates the fleet of the next revision. Searchers with an unchanged transport digest keep their observations.
    #[must_use]
    pub fn next_revision(&self, tables: Arc<Tables>, now: Instant) -> Self {
        Self {
            holdings: self.holdings.next_revision(&self.tables, &tables),
            replicas: self.replicas.carry_over(&self.tables, &tables, now),
            budgets: self.budgets.next_revision(&self.tables, &tables),
            tables,
        }
    }

    /// Selects the snapshot of a query, as [`Holdings::pin`] does. When all replicas that hold snapshots are ejected,
    /// they count as usable, because ejections must not make an index unavailable.
    ///
    /// # Errors
    ///
    /// Returns `no_snapshot` with a retry-after time when no usable replica is known to hold one.
    pub fn pin(&self, plan: &Plan, excluded: &[SnapshotId], now: Instant) -> Result<PinnedSnapshot, RequestError> {
        let usable = |searcher| self.replicas.is_usable(searcher, now);
        let not_leaving = |searcher| self.replicas.availability(searcher, 0.0, now) != Availability::Leaving;
        self.holdings
            .pin(plan, usable, excluded)
            .or_else(|_| self.holdings.pin(plan, not_leaving, excluded))
    }
}
