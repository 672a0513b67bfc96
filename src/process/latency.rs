//! Latency distribution of the parts of one route, which sets the delay before a hedge.
//!
//! Most parts take about equally long, and a few are delayed by a pause or a slow server. The distribution is a
//! histogram with logarithmic buckets whose counts decay, so it follows changes of the workload.

use std::time::Duration;

/// Number of buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Number of buckets. The last one begins at about 16 s.
const BUCKETS: usize = 192;

/// Upper bound of the first bucket, in microseconds.
const FIRST_BUCKET_US: f64 = 1.0;

/// Number of values at which all counts are halved. A route with a few requests a second over ten shards reaches it in
/// about ten seconds.
const HALVE_AFTER: u32 = 2048;

/// Minimum number of values for which quantiles are computed.
const MIN_VALUES: u32 = 24;

/// Number of new values after which the quantiles are computed again.
const REFRESH_VALUES: u32 = 32;

/// Share of the objective that is assumed as the usual latency of a route until enough values are known.
const DEFAULT_OBJECTIVE_SHARE: f64 = 0.25;

/// Upper bound of the hedge delay, as a multiple of the median. While more than one in ten responses comes from a slow
/// server, the 90th percentile is the latency of slow servers and says nothing about the others.
const HEDGE_MEDIAN_RATIO: f64 = 3.0;

/// Returns the usual latency of a route: the median, or a share of `objective` while too few values are known.
#[must_use]
pub fn usual(summary: Option<Summary>, objective: Duration) -> Duration {
    summary.map_or_else(|| objective.mul_f64(DEFAULT_OBJECTIVE_SHARE), |summary| summary.median)
}

/// Returns the time after which an attempt counts as slow for its route and may be hedged.
#[must_use]
pub fn hedge_after(summary: Option<Summary>, objective: Duration) -> Duration {
    let hedge_delay = |summary: Summary| summary.p90.min(summary.median.mul_f64(HEDGE_MEDIAN_RATIO));
    summary.map_or_else(|| usual(None, objective), hedge_delay)
}

/// Histogram of latencies with decaying counts.
#[derive(Debug)]
pub struct LatencyHistogram {
    counts: Box<[u32; BUCKETS]>,
    total: u32,
    since_summary: u32,
    summary: Option<Summary>,
}

/// Quantiles of a histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Median.
    pub median: Duration,
    /// 90th percentile.
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
    /// Records a latency.
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
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        let end = bucket.map_or(BUCKETS, |bucket| bucket + 1) as f64;
        Duration::from_secs_f64((end / BUCKETS_PER_DOUBLING).exp2() * FIRST_BUCKET_US / 1e6)
    }
}
