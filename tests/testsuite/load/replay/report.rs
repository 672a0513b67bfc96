//! What came of a replay.

use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::process::extra::ExtraLimits;

/// What came of the requests of one kind.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub asked: usize,
    /// Answered within the objective.
    pub timely: usize,
    /// Answered after it.
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    /// Refused or failed later than a quarter of the objective after the arrival, without any attempt.
    pub refused_late: usize,
    /// Refused or failed later than a quarter of the objective after the arrival.
    pub ended_late: usize,
    /// Greatest number of parts missing in one answer.
    pub missing: usize,
    /// Value of the timely answers: the square of the share of parts in each.
    pub value: f64,
}

impl Outcome {
    /// Share of the requests that are answered.
    pub fn served(&self) -> f64 {
        (self.timely + self.late) as f64 / self.asked.max(1) as f64
    }

    /// Share of the requests that are answered within the objective.
    pub fn timely(&self) -> f64 {
        self.timely as f64 / self.asked.max(1) as f64
    }

    /// Value of the answers, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.value / self.asked.max(1) as f64
    }

    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
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

/// What came of a replay.
#[derive(Debug, Default)]
pub struct Report {
    pub kinds: IndexMap<&'static str, Outcome>,
    /// Times at which requests for each shard arrived at an instance.
    pub parts: Vec<Vec<Duration>>,
    /// Times of the attempts for each shard that reach a server beyond the first of a part.
    pub extras: Vec<Vec<Duration>>,
}

impl Report {
    pub fn of(&self, kind: &str) -> &Outcome {
        &self.kinds[kind]
    }

    /// Greatest number of extra attempts for one shard in a window of the budget, beyond the ratio of the requests in it.
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
