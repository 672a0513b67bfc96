//! Report of one run of a scenario.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Greatest latency that a histogram records, in microseconds. Greater ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Results of one run, serialized to one line of JSON by [`Report::to_line`].
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of requests that were answered.
    pub answered: u64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Mean coverage of the answers, in `0.0..=1.0`.
    pub coverage: f64,
    /// Number of extra sub-queries as a fraction of the planned ones.
    pub extra_load: f64,
    /// Number of refusals by kind.
    pub refusals: IndexMap<Box<str>, u64>,
    /// Number of violated invariants. Any value but zero is a bug.
    pub violations: u64,
    /// Figures that are specific to the scenario.
    pub figures: IndexMap<Box<str>, f64>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub fn new(scenario: &str, seed: u64) -> Self {
        Self {
            scenario: scenario.into(),
            seed,
            answered: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            p999_ms: 0.0,
            coverage: 0.0,
            extra_load: 0.0,
            refusals: IndexMap::new(),
            violations: 0,
            figures: IndexMap::new(),
        }
    }

    /// Sets the number of answers and the latency percentiles.
    pub fn set_latencies(&mut self, latencies: &Latencies) {
        self.answered = latencies.count();
        self.p50_ms = latencies.quantile_ms(0.50);
        self.p99_ms = latencies.quantile_ms(0.99);
        self.p999_ms = latencies.quantile_ms(0.999);
    }

    /// Counts one refusal.
    pub fn count_refusal(&mut self, kind: &str) {
        *self.refusals.entry(kind.into()).or_default() += 1;
    }

    /// Sets a figure of the scenario.
    pub fn set_figure(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Returns a figure of the scenario, or 0 when it is not set.
    #[must_use]
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }

    /// Serializes the report to one line of JSON.
    ///
    /// # Panics
    ///
    /// Panics if a field cannot be serialized, which no value of the fields causes.
    #[must_use]
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).expect("every field of a report is serializable")
    }
}

/// Histogram of latencies, in microseconds with three significant digits.
#[derive(Debug, Clone)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Latencies {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Panics if the histogram library rejects the bounds, which are valid constants.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid");
        Self { histogram }
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record(us);
    }

    /// Returns the number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the latency at quantile `q` in `0.0..=1.0`, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.histogram.value_at_quantile(q) as f64 / 1000.0
    }
}

impl Default for Latencies {
    fn default() -> Self {
        Self::new()
    }
}
