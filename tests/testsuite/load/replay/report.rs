//! Outcomes of a replay.

use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::process::extra::ExtraLimits;

/// Outcomes of the requests of one kind.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub requests: usize,
    /// Answered within the objective.
    pub timely: usize,
    /// Answered after the objective.
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    /// Refused or failed later than a quarter of the objective after the arrival, without any attempt.
    pub refused_late: usize,
    /// Refused or failed later than a quarter of the objective after the arrival.
    pub ended_late: usize,
    /// Maximum number of parts missing in an answer.
    pub missing: usize,
    /// Total value of the timely answers. The value of an answer is the square of its share of the parts.
    pub value: f64,
}

impl Outcome {
    /// Returns the share of the requests that were answered.
    pub fn served(&self) -> f64 {
        (self.timely + self.late) as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the requests that were answered within the objective.
    pub fn timely(&self) -> f64 {
        self.timely as f64 / self.requests.max(1) as f64
    }

    /// Returns the average value of a request, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.value / self.requests.max(1) as f64
    }

    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.timely += other.timely;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.refused_late += other.refused_late;
        self.ended_late += other.ended_late;
        self.missing = self.missing.max(other.missing);
        self.value += other.value;
    }
}

/// Outcomes and attempt times of a replay.
#[derive(Debug, Default)]
pub struct Report {
    pub kinds: IndexMap<&'static str, Outcome>,
    /// Arrival times of the requests for each shard.
    pub parts: Vec<Vec<Duration>>,
    /// Times of the extra attempts for each shard: those that reach a server beyond the first attempt of a part.
    pub extras: Vec<Vec<Duration>>,
}

impl Report {
    pub fn outcome(&self, kind: &str) -> &Outcome {
        &self.kinds[kind]
    }

    /// Returns the maximum number of extra attempts for one shard in a budget window, beyond the budget's ratio of
    /// the requests in that window.
    pub fn max_extras(&self, limits: &ExtraLimits) -> f64 {
        let mut max = 0.0_f64;
        for (parts, extras) in self.parts.iter().zip(&self.extras) {
            for (ix, last) in extras.iter().enumerate() {
                let from = last.saturating_sub(limits.window);
                let count = extras[..=ix].iter().filter(|at| **at > from).count();
                let requests = parts.iter().filter(|at| **at > from && *at <= last).count();
                max = max.max(count as f64 - requests as f64 * limits.ratio);
            }
        }
        max
    }
}
