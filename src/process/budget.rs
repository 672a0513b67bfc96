//! Token budgets that limit the extra sub-queries of hedging and retries.
//!
//! Each planned sub-query adds a fraction of a token, and each extra sub-query takes a whole one. Under overload the
//! extra load therefore stays a fixed fraction of the planned load. See `docs/design/stragglers.md`.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use crate::version::tables::Policy;
use crate::version::tables::Tables;

/// Internal units of one token. Integers keep the sum exact under concurrent updates.
const UNITS_PER_TOKEN: i64 = 1_000_000;

/// Maximum number of tokens in a bucket. It limits the burst after a quiet period, and covers the stragglers of several
/// queries of 390 parts.
pub const CAPACITY_TOKENS: u32 = 64;

/// Number of tokens below which hedges wait longer. Overlapping bursts of queries make many parts slightly late; the
/// remaining tokens are kept for those that are very late.
pub const LOW_TOKENS: u32 = 16;

/// Tokens of a new bucket. A single one lets a service with few queries recover from its first straggler.
pub const INITIAL_TOKENS: u32 = 1;

/// Fraction of planned sub-queries that may go to another data centre because the local replica is slow or busy.
/// Traffic between data centres is expensive, and each data centre sizes its servers for its own callers.
pub const REMOTE_RATIO: f64 = 0.25;

/// Token bucket that is refilled by planned sub-queries instead of by time.
#[derive(Debug)]
pub struct TokenBucket {
    gain_units: i64,
    tokens: AtomicI64,
}

impl TokenBucket {
    /// Creates a bucket that gains `ratio` tokens for each planned sub-query. `ratio` is clamped to the range from 0 to
    /// 1.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        Self {
            gain_units: (ratio.clamp(0.0, 1.0) * UNITS_PER_TOKEN as f64) as i64,
            tokens: AtomicI64::new(i64::from(INITIAL_TOKENS) * UNITS_PER_TOKEN),
        }
    }

    /// Adds the tokens for `planned` sub-queries, up to [`CAPACITY_TOKENS`].
    pub fn on_planned(&self, planned: u32) {
        let gain = self.gain_units * i64::from(planned);
        let limit = i64::from(CAPACITY_TOKENS) * UNITS_PER_TOKEN;
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                Some((tokens + gain).min(limit))
            });
    }

    /// Takes one token, and returns whether there was one. A bucket with ratio 0 never has any.
    #[must_use]
    pub fn take(&self) -> bool {
        if self.gain_units == 0 {
            return false;
        }
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                (tokens >= UNITS_PER_TOKEN).then_some(tokens - UNITS_PER_TOKEN)
            })
            .is_ok()
    }

    /// Returns the number of whole tokens left.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        (self.tokens.load(Ordering::Relaxed) / UNITS_PER_TOKEN).max(0) as u32
    }

    /// Returns whether fewer than [`LOW_TOKENS`] tokens are left.
    #[must_use]
    pub fn is_low(&self) -> bool {
        self.tokens() < LOW_TOKENS
    }

    /// Creates a bucket with another ratio and the tokens of this one, so that frequent configuration changes do not
    /// refill it.
    fn with_ratio(&self, ratio: f64) -> Self {
        let next = Self::new(ratio);
        next.tokens
            .store(self.tokens.load(Ordering::Relaxed), Ordering::Relaxed);
        next
    }
}

/// Budgets of one service.
#[derive(Debug)]
pub struct ServiceBudget {
    /// Budget for hedges.
    pub hedges: TokenBucket,
    /// Budget for retries after refusals or partial replies of backend servers.
    pub retries: TokenBucket,
    /// Budget for sub-queries that go to another data centre because the local replica is slow or busy.
    pub remote: TokenBucket,
}

impl ServiceBudget {
    fn new(policy: &Policy) -> Self {
        Self {
            hedges: TokenBucket::new(policy.hedge_budget),
            retries: TokenBucket::new(policy.retry_budget),
            remote: TokenBucket::new(REMOTE_RATIO),
        }
    }

    fn next_revision(&self, policy: &Policy) -> Self {
        Self {
            hedges: self.hedges.with_ratio(policy.hedge_budget),
            retries: self.retries.with_ratio(policy.retry_budget),
            remote: self.remote.with_ratio(REMOTE_RATIO),
        }
    }

    /// Adds the tokens for `planned` sub-queries to each bucket.
    pub fn on_planned(&self, planned: u32) {
        self.hedges.on_planned(planned);
        self.retries.on_planned(planned);
        self.remote.on_planned(planned);
    }
}

/// Budgets of all services of one revision, indexed by the position of the service in the tables.
#[derive(Debug)]
pub struct Budgets {
    services: Vec<Arc<ServiceBudget>>,
}

impl Budgets {
    /// Creates budgets with [`INITIAL_TOKENS`] for each service in `tables`.
    #[must_use]
    pub fn new(tables: &Tables) -> Self {
        let services = policies(tables).map(|(_, policy)| Arc::new(ServiceBudget::new(policy)));
        Self {
            services: services.collect(),
        }
    }

    /// Creates the budgets of the next revision. A service keeps its tokens. If its policy is unchanged, both revisions
    /// share its buckets, so that queries of either use one budget.
    #[must_use]
    pub fn next_revision(&self, old: &Tables, new: &Tables) -> Self {
        let known: std::collections::HashMap<&str, (usize, &Policy)> = policies(old)
            .enumerate()
            .map(|(position, (name, policy))| (name, (position, policy)))
            .collect();
        let services = policies(new).map(|(name, policy)| match known.get(name) {
            Some((position, before)) if *before == policy => Arc::clone(&self.services[*position]),
            Some((position, _)) => Arc::new(self.services[*position].next_revision(policy)),
            None => Arc::new(ServiceBudget::new(policy)),
        });
        Self {
            services: services.collect(),
        }
    }

    /// Returns the budget of the service at `position`.
    ///
    /// # Panics
    ///
    /// Panics if `position` is out of range for this revision.
    #[must_use]
    pub fn service(&self, position: usize) -> &ServiceBudget {
        &self.services[position]
    }
}

/// Returns the names and policies of the services of all indexes, in the order of their positions.
fn policies(tables: &Tables) -> impl Iterator<Item = (&str, &Policy)> {
    tables
        .indexes
        .values()
        .flat_map(|index| index.services.iter().map(|(name, service)| (&**name, &service.policy)))
}
