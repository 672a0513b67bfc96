//! Fault switches of a backend server.

use serde::Deserialize;
use serde::Serialize;

/// Response of the state endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateReport {
    /// Load from 0.0 (idle) to 1.0 (all slots in use).
    pub load: f64,
    /// Whether the server reports that it is leaving.
    pub draining: bool,
    /// Snapshots that the server reports as held.
    pub snapshots: Vec<u64>,
}

/// Fault switches. Changes take effect at once; the default is no fault.
///
/// Shares are probabilities in `0.0..=1.0`. Whether a request is affected depends only on its id and the seed of the
/// server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that a request takes, in milliseconds. It overrides the settings.
    pub service_ms: Option<u64>,
    /// Share of requests that take [`Faults::straggler_factor`] times as long.
    pub straggler_share: f64,
    /// Factor by which stragglers take longer.
    pub straggler_factor: u32,
    /// Share of requests that are refused as if to shed load.
    pub shed_share: f64,
    /// Retry-after time in refusals, in milliseconds.
    pub retry_ms: u64,
    /// Marks the server as leaving: it refuses new work and sets `x-draining`.
    pub draining: bool,
    /// Omits `x-draining` although the server is leaving.
    pub hide_draining: bool,
    /// Omits `x-not-started` from refusals.
    pub hide_start: bool,
    /// Simulates a paused process: it accepts connections and bytes but starts and answers no request.
    pub frozen: bool,
    /// Share of requests whose connection is closed before the request starts.
    pub drop_before: f64,
    /// Share of requests whose connection is closed instead of a response after the request has run.
    pub drop_after: f64,
    /// Answers only for the first half of the range and marks the response as truncated.
    pub truncate: bool,
    /// Answers cancellations with 204 but continues the request.
    pub ignore_cancel: bool,
    /// Continues a request after its remaining time has passed.
    pub ignore_deadline: bool,
    /// Report of the state endpoint and `x-load` that replaces the actual state.
    pub report: Option<StateReport>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            service_ms: None,
            straggler_share: 0.0,
            straggler_factor: 30,
            shed_share: 0.0,
            retry_ms: 50,
            draining: false,
            hide_draining: false,
            hide_start: false,
            frozen: false,
            drop_before: 0.0,
            drop_after: 0.0,
            truncate: false,
            ignore_cancel: false,
            ignore_deadline: false,
            report: None,
        }
    }
}
