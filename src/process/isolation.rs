//! Detects that the data centre of this instance is isolated, and decides whether its callers are better served by
//! another one.
//!
//! A data centre can be isolated from the other data centres and from the platform while callers still reach all of
//! them. Its instances can then use only the servers of their own data centre. If these cannot give complete answers,
//! its callers wait for missing parts, while the other data centres serve everything. The load balancer sends the
//! callers of an instance that is not ready to another data centre.
//!
//! Isolation is suspected when attempts at other data centres fail and none gets a response. It is confirmed only if no
//! instance of any other data centre can be reached and the platform cannot be read either. An outage of servers or of
//! the platform, or a partition between two data centres that both reach the platform, therefore never makes an
//! instance unready. An instance that alone lost its network cannot distinguish the cases and acts in the same way. See
//! "A data centre that is cut off" in `docs/design/worst-load.md`.

use std::time::Duration;
use std::time::Instant;

/// Number of failures at other data centres, without a response from any, at which isolation is suspected.
const SUSPECT_FAILURES: u32 = 3;

/// Minimum time between two suspicions. It limits the number of probes while servers elsewhere fail.
const SUSPECT_INTERVAL: Duration = Duration::from_secs(2);

/// Weight of one answer in the moving average of the quality.
const QUALITY_WEIGHT: f64 = 0.1;

/// Answer quality below which callers of an isolated data centre are redirected. It is below 1 because the other data
/// centres then serve them with fewer servers than usual and are not perfect either.
const MIN_QUALITY: f64 = 0.7;

/// Time after the start of the isolation during which answers are not rated: they fail until requests are placed on the
/// remaining servers.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// State of the connectivity to other data centres.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Failures at other data centres since the last response from one.
    failures: u32,
    suspected_at: Option<Instant>,
    /// Whether a read of the platform must show if it is reachable, and none has ended since this was requested.
    needs_platform_check: bool,
    isolated_since: Option<Instant>,
    /// Whether the servers of the own data centre can answer requests of all routes.
    is_sufficient: bool,
    /// Moving average of 1 minus the answer quality, from 0 to 1, starting after [`SETTLE_TIME`].
    quality_loss: f64,
    /// Whether callers are redirected to other data centres.
    is_redirecting: bool,
}

/// Change of the redirection of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectChange {
    /// No change.
    Unchanged,
    /// Callers are redirected to other data centres from now on.
    Started,
    /// Callers may return.
    Ended,
}

impl Isolation {
    /// Records a response from another data centre.
    pub const fn on_remote_response(&mut self) {
        self.failures = 0;
    }

    /// Records that an attempt at another data centre failed or got no response in time. Returns whether isolation is
    /// suspected now, so that the instances of other data centres should be probed.
    pub fn on_remote_failure(&mut self, now: Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SUSPECT_INTERVAL;
        if self.failures < SUSPECT_FAILURES || self.is_isolated() || self.suspected_at.is_some_and(is_recent) {
            return false;
        }
        self.suspected_at = Some(now);
        true
    }

    /// Records that no instance of another data centre was reached. A read of the platform is needed to confirm the
    /// isolation.
    pub const fn on_peers_unreachable(&mut self) {
        self.needs_platform_check = true;
    }

    /// Records that a read of the platform ended, successfully or not.
    pub const fn on_platform_read_ended(&mut self) {
        self.needs_platform_check = false;
    }

    /// Records the quality of an answer: 1 for a complete answer in time, 0 for none.
    pub fn on_quality(&mut self, quality: f64, now: Instant) -> RedirectChange {
        let Some(since) = self.isolated_since else {
            return RedirectChange::Unchanged;
        };
        if now.saturating_duration_since(since) > SETTLE_TIME {
            self.quality_loss += (1.0 - quality - self.quality_loss) * QUALITY_WEIGHT;
        }
        self.update_redirect()
    }

    /// Records that this instance reaches nothing outside: no instance of any other data centre, and not the platform.
    /// `is_sufficient` states whether the servers of its own data centre can answer requests of all routes.
    pub fn on_isolated(&mut self, is_sufficient: bool, now: Instant) -> RedirectChange {
        self.isolated_since.get_or_insert(now);
        self.is_sufficient = is_sufficient;
        self.update_redirect()
    }

    /// Records that this instance reaches another data centre or the platform.
    pub fn on_reachable(&mut self) -> RedirectChange {
        *self = Self {
            suspected_at: self.suspected_at,
            is_redirecting: self.is_redirecting,
            ..Self::default()
        };
        self.update_redirect()
    }

    /// Returns whether attempts at other data centres have failed since the last response from one.
    #[must_use]
    pub const fn has_unanswered_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether an immediate read must show if the platform is reachable.
    #[must_use]
    pub const fn needs_platform_check(&self) -> bool {
        self.needs_platform_check
    }

    /// Returns whether this instance reaches nothing outside of its data centre.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns whether callers are redirected to other data centres.
    #[must_use]
    pub const fn is_redirecting(&self) -> bool {
        self.is_redirecting
    }

    /// Updates the redirection. Once started, it lasts until the isolation ends, since the answers to the remaining
    /// callers say little about the quality.
    fn update_redirect(&mut self) -> RedirectChange {
        let is_poor = !self.is_sufficient || self.quality_loss > 1.0 - MIN_QUALITY;
        let redirects = self.is_isolated() && (self.is_redirecting || is_poor);
        match (std::mem::replace(&mut self.is_redirecting, redirects), redirects) {
            (false, true) => RedirectChange::Started,
            (true, false) => RedirectChange::Ended,
            _ => RedirectChange::Unchanged,
        }
    }
}
