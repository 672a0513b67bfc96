//! Outcomes of a replay.

use std::time::Duration;

use indexmap::IndexMap;
use pimentoflow::process::extra::ExtraLimits;

/// Counts of the outcomes of the requests of one kind, and the total value of their answers.
#[derive(Debug, Clone, Default)]
pub struct OutcomeCounts {
    pub requests: usize,
    /// Answered within the objective.
    pub answered_in_time: usize,
    /// Answered after the objective.
    pub answered_late: usize,
    pub refused: usize,
    pub failed: usize,
    /// Those in [`OutcomeCounts::ended_late`] without any attempt.
    pub refused_late: usize,
    /// Refused or failed more than a quarter of the objective and 5 ms after the arrival.
    pub ended_late: usize,
    /// Maximum number of parts missing in an answer.
    pub max_missing: usize,
    /// Total value of the timely answers. The value of an answer is the square of its share of the parts.
    pub total_value: f64,
}

impl OutcomeCounts {
    /// Returns the share of the requests that were answered.
    pub fn served_share(&self) -> f64 {
        (self.answered_in_time + self.answered_late) as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the requests that were answered within the objective.
    pub fn timely_share(&self) -> f64 {
        self.answered_in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the average value of a request, from 0 to 1. A request without a timely answer has the value 0.
    pub fn average_value(&self) -> f64 {
        self.total_value / self.requests.max(1) as f64
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered_in_time += other.answered_in_time;
        self.answered_late += other.answered_late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.refused_late += other.refused_late;
        self.ended_late += other.ended_late;
        self.max_missing = self.max_missing.max(other.max_missing);
        self.total_value += other.total_value;
    }
}

/// Outcomes and attempt times of a replay.
#[derive(Debug, Default)]
pub struct Report {
    pub kinds: IndexMap<&'static str, OutcomeCounts>,
    /// Arrival times of the requests for each shard.
    pub arrival_times: Vec<Vec<Duration>>,
    /// Arrival times of the attempts at each server.
    pub server_arrival_times: Vec<Vec<Duration>>,
    /// Times of the extra attempts for each shard: those that reach a server beyond the first attempt of a part.
    pub extra_attempt_times: Vec<Vec<Duration>>,
}

impl Report {
    /// Returns the maximum number of attempts that reach a server within `span`, of those after `from`.
    pub fn max_server_arrivals(&self, server: usize, from: Duration, span: Duration) -> usize {
        let times: Vec<Duration> = self.server_arrival_times[server]
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let counts = times
            .iter()
            .map(|start| times.iter().filter(|at| (*start..*start + span).contains(*at)).count());
        counts.max().unwrap_or_default()
    }

    /// Returns the counts of a kind, by its name.
    pub fn outcome(&self, kind: &str) -> &OutcomeCounts {
        &self.kinds[kind]
    }

    /// Returns the maximum number of extra attempts for one shard in a budget window, beyond the budget's ratio of
    /// the requests in that window.
    pub fn max_extra_attempts(&self, limits: &ExtraLimits) -> f64 {
        let mut max = 0.0_f64;
        for (arrivals, extras) in self.arrival_times.iter().zip(&self.extra_attempt_times) {
            for (ix, last) in extras.iter().enumerate() {
                let from = last.saturating_sub(limits.window);
                let count = extras[..=ix].iter().filter(|at| **at > from).count();
                let requests = arrivals.iter().filter(|at| **at > from && *at <= last).count();
                max = max.max(count as f64 - requests as f64 * limits.ratio);
            }
        }
        max
    }
}
