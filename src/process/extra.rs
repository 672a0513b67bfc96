//! Limit on the attempts beyond the first of each request, over a sliding window.
//!
//! When many backend servers are slow at once, every request would start a second attempt. The limit is a fraction of
//! the requests of this instance in the window plus a small allowance. The fractions of all instances add up to the
//! fraction of all requests, so the total limit holds without coordination when instances join and leave.

use std::time::Duration;
use std::time::Instant;

/// Buckets of the window. More of them let the window slide more smoothly and take more memory for each service.
const BUCKETS: usize = 16;

/// Share of the configured ratio that this instance uses. The rest covers requests that are counted in another window
/// than their extra attempts.
const RATIO_SHARE: f64 = 0.9;

/// Limits on extra attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLimits {
    /// Extra attempts allowed for each request in the window.
    pub ratio: f64,
    /// Extra attempts allowed in a window on top of the ratio.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction that an instance uses of its part of the allowance. The rest covers instances that the others have not
/// discovered yet.
const ALLOWANCE_SHARE: f64 = 0.6;

impl ExtraLimits {
    /// Returns the limits for one of `instances` instances.
    #[must_use]
    pub fn per_instance(self, instances: u32) -> Self {
        Self {
            allowance: self.allowance * ALLOWANCE_SHARE / f64::from(instances.max(1)),
            ..self
        }
    }
}

/// Requests and extra attempts of one service in the sliding window.
#[derive(Debug)]
pub struct ExtraBudget {
    epoch: Instant,
    /// Number of the bucket that was written last, counted from the epoch.
    bucket: u64,
    requests: [u32; BUCKETS],
    extras: [u32; BUCKETS],
}

impl ExtraBudget {
    /// Creates a budget with empty counts.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            bucket: 0,
            requests: [0; BUCKETS],
            extras: [0; BUCKETS],
        }
    }

    /// Counts a request for the service.
    pub fn on_request(&mut self, limits: &ExtraLimits, now: Instant) {
        let bucket = self.advance(limits, now);
        self.requests[bucket] += 1;
    }

    /// Counts an extra attempt if the limits allow it, and returns whether they do.
    pub fn take(&mut self, limits: &ExtraLimits, now: Instant) -> bool {
        let bucket = self.advance(limits, now);
        let requests: u32 = self.requests.iter().sum();
        let extras: u32 = self.extras.iter().sum();
        let allowed = f64::from(requests) * limits.ratio * RATIO_SHARE + limits.allowance;
        if f64::from(extras) + 1.0 > allowed {
            return false;
        }
        self.extras[bucket] += 1;
        true
    }

    /// Refunds an extra attempt that never reached a server.
    pub fn refund(&mut self, limits: &ExtraLimits, now: Instant) {
        let bucket = self.advance(limits, now);
        let start = bucket + BUCKETS;
        let newest_first = (0..BUCKETS).map(|back| (start - back) % BUCKETS);
        if let Some(bucket) = newest_first.into_iter().find(|bucket| self.extras[*bucket] > 0) {
            self.extras[bucket] -= 1;
        }
    }

    /// Clears the buckets that have left the window, and returns the index of the current one. One bucket more than the
    /// window is kept, so that no interval of the window's length contains more than was counted.
    fn advance(&mut self, limits: &ExtraLimits, now: Instant) -> usize {
        let length = limits
            .window
            .div_f64((BUCKETS - 1) as f64)
            .max(Duration::from_millis(1));
        let passed = now.saturating_duration_since(self.epoch).as_nanos() / length.as_nanos();
        let current = u64::try_from(passed).unwrap_or(u64::MAX);
        let steps = current.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 0..steps {
            let bucket = ((current - step) % BUCKETS as u64) as usize;
            self.requests[bucket] = 0;
            self.extras[bucket] = 0;
        }
        self.bucket = self.bucket.max(current);
        (self.bucket % BUCKETS as u64) as usize
    }
}
