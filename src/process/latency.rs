//! Latencies of the parts of one route, from which the time of a second attempt follows.
//!
//! Load pattern: most parts take about as long as each other, and a few are held up by a pause or a slow server. The
//! distribution is a histogram with logarithmic buckets that forgets old values, so it follows a change of the work.

use std::time::Duration;

/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Number of buckets; the last one begins at about 16 s.
const BUCKETS: usize = 192;

/// Latency at which the first bucket ends, in microseconds.
const FIRST_BUCKET_US: f64 = 1.0;

/// Number of values after which all counts are halved. About ten seconds of a route with a few requests a second over
/// ten shards.
const HALVE_AFTER: u32 = 2048;

/// Number of values below which the distribution says nothing.
const MIN_VALUES: u32 = 24;

/// Number of new values after which the quantiles are computed again.
const REFRESH_VALUES: u32 = 32;

/// Share of the objective that is taken as the usual latency of a route until enough parts were observed.
const DEFAULT_OBJECTIVE_SHARE: f64 = 0.25;

/// Latency, as a multiple of the median, from which an attempt takes long in any case. While many servers are slow, more
/// than one in ten answers is, and the quantile says nothing of the others.
const HEDGE_MEDIAN_RATIO: f64 = 3.0;

/// Returns the usual latency of a route.
#[must_use]
pub fn usual(summary: Option<Summary>, objective: Duration) -> Duration {
    summary.map_or_else(|| objective.mul_f64(DEFAULT_OBJECTIVE_SHARE), |summary| summary.median)
}

/// Returns the time after which an attempt takes long for its route.
#[must_use]
pub fn hedge_after(summary: Option<Summary>, objective: Duration) -> Duration {
    let hedge_delay = |summary: Summary| summary.p90.min(summary.median.mul_f64(HEDGE_MEDIAN_RATIO));
    summary.map_or_else(|| usual(None, objective), hedge_delay)
}

/// Distribution of latencies.
#[derive(Debug)]
pub struct LatencyHistogram {
    counts: Box<[u32; BUCKETS]>,
    total: u32,
    since_summary: u32,
    summary: Option<Summary>,
}

/// Quantiles of a distribution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Median.
    pub median: Duration,
    /// Latency that nine in ten values do not exceed.
    pub p90: Duration,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            total: 0,
            since_summary: 0,
            summary: None,
        }
    }
}

impl LatencyHistogram {
    /// Takes a latency.
    pub fn observe(&mut self, latency: Duration) {
        let micros = (latency.as_secs_f64() * 1e6).max(FIRST_BUCKET_US);
        let bucket = ((micros / FIRST_BUCKET_US).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        self.since_summary += 1;
        if self.total >= HALVE_AFTER {
            for count in self.counts.iter_mut() {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
        if self.total >= MIN_VALUES && (self.since_summary >= REFRESH_VALUES || self.summary.is_none()) {
            self.since_summary = 0;
            self.summary = Some(Summary {
                median: self.quantile(0.5),
                p90: self.quantile(0.9),
            });
        }
    }

    /// Returns the quantiles, or `None` while too few values are known.
    #[must_use]
    pub const fn summary(&self) -> Option<Summary> {
        self.summary
    }

    fn quantile(&self, share: f64) -> Duration {
        let wanted = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= wanted
        });
        let end = bucket.map_or(BUCKETS, |bucket| bucket + 1) as f64;
        Duration::from_secs_f64((end / BUCKETS_PER_DOUBLING).exp2() * FIRST_BUCKET_US / 1e6)
    }
}
