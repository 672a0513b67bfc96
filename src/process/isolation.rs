//! Whether the data centre of this instance is cut off from all others, and callers are served better there.
//!
//! Load pattern: a data centre is cut off from the other data centres and from the platform while callers reach all of
//! them. Its instances have its own servers alone; where these do not make whole answers, its callers wait for parts that
//! do not come, while the other data centres serve everything. An instance that is not ready has its callers sent there.
//!
//! A cut is suspected when attempts at other data centres fail and none is answered. It is believed only when no instance
//! of any other data centre can be reached and the platform cannot be read either. So neither an outage of servers or of the
//! platform, nor a cut between two data centres that both reach the platform, makes an instance unready. An instance that is
//! cut off alone cannot tell, and does the same. See "A data centre that is cut off" in `docs/design/worst-load.md`.

use std::time::Duration;
use std::time::Instant;

/// Failures at other data centres without an answer from any, from which a cut is suspected.
const SUSPECT_FAILURES: u32 = 3;

/// Least time between two suspicions, so that failing servers elsewhere cost few looks.
const SUSPECT_INTERVAL: Duration = Duration::from_secs(2);

/// Weight of one request in the moving value of answers.
const QUALITY_WEIGHT: f64 = 0.1;

/// Value of answers below which callers of a data centre that is cut off are served better elsewhere. The others serve them
/// with fewer servers than usual, so they do not do perfectly either.
const MIN_QUALITY: f64 = 0.7;

/// Time after the beginning of a cut in which answers fail until requests are placed anew, and say little.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What is known of the way to other data centres.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Failures at other data centres since the last answer from one.
    failures: u32,
    suspected_at: Option<Instant>,
    /// Whether it has to be known whether the platform can be read, which no read has shown since.
    needs_platform_check: bool,
    isolated_since: Option<Instant>,
    /// Whether the servers of the own data centre can answer requests of all routes.
    is_sufficient: bool,
    /// Moving loss of value of the answers of this instance since the turnover, from 0 to 1.
    quality_loss: f64,
    /// Whether callers are sent elsewhere.
    is_redirecting: bool,
}

/// Change for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectChange {
    /// None.
    Unchanged,
    /// They are sent to other data centres from now on.
    Started,
    /// They may come back.
    Ended,
}

impl Isolation {
    /// Takes a sign of life from another data centre.
    pub const fn on_remote_answer(&mut self) {
        self.failures = 0;
    }

    /// Takes that an attempt at another data centre failed or stayed without an answer. Tells whether a cut is suspected,
    /// so that the instances there should be tried.
    pub fn on_remote_failure(&mut self, now: Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SUSPECT_INTERVAL;
        if self.failures < SUSPECT_FAILURES || self.is_isolated() || self.suspected_at.is_some_and(is_recent) {
            return false;
        }
        self.suspected_at = Some(now);
        true
    }

    /// Takes that no instance of another data centre was reached.
    pub const fn on_peers_unreachable(&mut self) {
        self.needs_platform_check = true;
    }

    /// Takes that a read of the platform ended, or failed.
    pub const fn on_platform_read_ended(&mut self) {
        self.needs_platform_check = false;
    }

    /// Takes the value of an answer: 1 for a whole one in time, 0 for none.
    pub fn on_quality(&mut self, quality: f64, now: Instant) -> RedirectChange {
        let Some(since) = self.isolated_since else {
            return RedirectChange::Unchanged;
        };
        if now.saturating_duration_since(since) > SETTLE_TIME {
            self.quality_loss += (1.0 - quality - self.quality_loss) * QUALITY_WEIGHT;
        }
        self.update_redirect()
    }

    /// Takes that this instance can reach nothing: no instance of any other data centre, and not the platform.
    /// `is_sufficient` tells whether the servers of its own data centre can answer requests of all routes.
    pub fn on_isolated(&mut self, is_sufficient: bool, now: Instant) -> RedirectChange {
        self.isolated_since.get_or_insert(now);
        self.is_sufficient = is_sufficient;
        self.update_redirect()
    }

    /// Takes that this instance reaches another data centre or the platform.
    pub fn on_reachable(&mut self) -> RedirectChange {
        *self = Self {
            suspected_at: self.suspected_at,
            is_redirecting: self.is_redirecting,
            ..Self::default()
        };
        self.update_redirect()
    }

    /// Tells whether nothing of another data centre answered since the attempts there began to fail.
    #[must_use]
    pub const fn has_unanswered_failures(&self) -> bool {
        self.failures > 0
    }

    /// Tells whether it has to be known at once whether the platform can be read.
    #[must_use]
    pub const fn needs_platform_check(&self) -> bool {
        self.needs_platform_check
    }

    /// Tells whether this instance reaches nothing outside of its data centre.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Tells whether callers are sent elsewhere.
    #[must_use]
    pub const fn is_redirecting(&self) -> bool {
        self.is_redirecting
    }

    /// Callers that were sent away stay away until the cut ends, since the answers to those that are left say little.
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
