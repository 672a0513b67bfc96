//! What an entry knows about the searchers of one revision.
//!
//! A query holds one [`Fleet`] from start to end. All parts are updated without locks, so queries on many threads share
//! it. On a change of the configuration [`Fleet::next_revision`] carries over what was learned.

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

/// Tables of one revision with the observations that belong to them.
#[derive(Debug)]
pub struct Fleet {
    /// Tables.
    pub tables: Arc<Tables>,
    /// Snapshots held.
    pub holdings: Holdings,
    /// Observed latency and health.
    pub replicas: Replicas,
    /// Budgets of extra sub-queries.
    pub budgets: Budgets,
}

impl Fleet {
    /// Makes a fleet of which nothing is known yet. `data_centre` is the one of this instance.
    #[must_use]
    pub fn new(tables: Arc<Tables>, data_centre: &str, now: Instant) -> Self {
        Self {
            holdings: Holdings::new(&tables),
            replicas: Replicas::new(&tables, data_centre, now),
            budgets: Budgets::new(&tables),
            tables,
        }
    }

    /// Makes the fleet of the next revision. Searchers with an unchanged transport digest keep what was learned.
    #[must_use]
    pub fn next_revision(&self, tables: Arc<Tables>, now: Instant) -> Self {
        Self {
            holdings: self.holdings.next_revision(&self.tables, &tables),
            replicas: self.replicas.carry_over(&self.tables, &tables, now),
            budgets: self.budgets.next_revision(&self.tables, &tables),
            tables,
        }
    }

    /// Picks the snapshot of a query. See [`Holdings::pin`]. When all replicas that hold snapshots are ejected, they count
    /// as usable, because an ejection must not make an index unavailable.
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
