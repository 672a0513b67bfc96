//! Histogram of a service's latencies, relative to the typical latency of the searcher that answered.
//!
//! A histogram per searcher would need hundreds of replies from each before its upper quantiles are meaningful.
//! Relative latencies can be shared by all searchers of a service, so quantiles are available after a few queries.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Buckets per doubling of the latency. A bucket is 9% wide, which bounds the error of a quantile.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Index of the bucket that starts at the ratio 1.
const UNIT_BUCKET: f64 = 32.0;

/// Number of buckets. They cover ratios from 1/16 to 4096.
const BUCKETS: usize = 128;

/// Number of observations at which all counts are halved, so that old observations lose weight.
const HALVE_AT: u32 = 16_384;

/// Minimum number of observations for a quantile.
const MIN_SAMPLES: u32 = 64;

/// Histogram of latency ratios. Updates are lock-free; a concurrent halving may lose single observations.
#[derive(Debug)]
pub struct RatioHistogram {
    buckets: [AtomicU32; BUCKETS],
    total: AtomicU32,
}

impl RatioHistogram {
    /// Creates an empty histogram.
    #[must_use]
    pub fn new() -> Self {
        Self {
            buckets: std::array::from_fn(|_| AtomicU32::new(0)),
            total: AtomicU32::new(0),
        }
    }

    /// Adds the ratio of an observed latency to the typical latency.
    pub fn record(&self, ratio: f64) {
        let position = ratio
            .max(f64::MIN_POSITIVE)
            .log2()
            .mul_add(BUCKETS_PER_DOUBLING, UNIT_BUCKET);
        let bucket = position.clamp(0.0, (BUCKETS - 1) as f64) as usize;
        self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        let total = self.total.fetch_add(1, Ordering::Relaxed) + 1;
        if total == HALVE_AT {
            self.halve();
        }
    }

    /// Returns the ratio at quantile `q`, interpolated within its bucket, or `None` if there are too few
    /// observations.
    #[must_use]
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let total: u32 = self.buckets.iter().map(|bucket| bucket.load(Ordering::Relaxed)).sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let mut above = (1.0 - q) * f64::from(total);
        for (position, bucket) in self.buckets.iter().enumerate().rev() {
            let count = f64::from(bucket.load(Ordering::Relaxed));
            if count > 0.0 && count >= above {
                let within = 1.0 - above / count;
                return Some(ratio_at(position as f64 + within));
            }
            above -= count;
        }
        Some(ratio_at(0.0))
    }

    fn halve(&self) {
        let mut total = 0;
        for bucket in &self.buckets {
            let half = bucket.load(Ordering::Relaxed) / 2;
            bucket.store(half, Ordering::Relaxed);
            total += half;
        }
        self.total.store(total, Ordering::Relaxed);
    }
}

impl Default for RatioHistogram {
    fn default() -> Self {
        Self::new()
    }
}

fn ratio_at(position: f64) -> f64 {
    ((position - UNIT_BUCKET) / BUCKETS_PER_DOUBLING).exp2()
}
