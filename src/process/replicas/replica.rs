//! Observations of one searcher, stored in atomics.
//!
//! Concurrent updates of a value can lose one of them, which is acceptable for a running average.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Weight of a new observation in the typical latency once there are enough samples. With 1/32, a lasting change
/// shows after about 40 replies, and one straggler moves the average by 3%.
const EWMA_WEIGHT: f64 = 1.0 / 32.0;

/// Maximum change of the logarithm of the latency by one observation. A straggler counts as at most 2.7 times the
/// typical latency.
const MAX_LOG_STEP: f64 = 1.0;

/// Time after which a lane report is ignored. Requests in flight usually end and free their slots within this time, so
/// the report no longer describes the lane.
pub const HINT_MAX_AGE: Duration = Duration::from_millis(250);

/// State of one searcher. `lane_full` is taken from the last report of a lane to the searcher. Times are in
/// microseconds since the epoch of [`super::Replicas`]; 0 means never.
#[derive(Debug, Default)]
pub struct Replica {
    pub(super) in_flight: AtomicU32,
    pub(super) samples: AtomicU32,
    pub(super) failures: AtomicU32,
    pub(super) ejections: AtomicU32,
    pub(super) ejected_until: AtomicU64,
    pub(super) avoid_until: AtomicU64,
    pub(super) leaving_until: AtomicU64,
    pub(super) ramp_from: AtomicU64,
    typical_latency: AtomicU64,
    lane_full: AtomicBool,
    lane_reported_at: AtomicU64,
}

impl Replica {
    /// Returns the typical latency in microseconds, or `None` without samples.
    pub(super) fn typical_latency(&self) -> Option<f64> {
        let typical_latency = f64::from_bits(self.typical_latency.load(Ordering::Relaxed));
        (typical_latency > 0.0).then_some(typical_latency)
    }

    /// Adds a latency in microseconds to the average and returns its ratio to the previous typical latency.
    pub(super) fn observe(&self, latency: f64) -> Option<f64> {
        let latency = latency.max(1.0);
        let samples = self.samples.fetch_add(1, Ordering::Relaxed);
        let Some(typical_latency) = self.typical_latency() else {
            self.set_typical(latency);
            return None;
        };
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(samples.saturating_add(1)));
        let step = (latency / typical_latency).ln().clamp(-MAX_LOG_STEP, MAX_LOG_STEP);
        self.set_typical(typical_latency * (weight * step).exp());
        Some(latency / typical_latency)
    }

    /// Resets the latency, so that it is learned from scratch after an ejection.
    pub(super) fn forget_latency(&self) {
        self.samples.store(0, Ordering::Relaxed);
        self.typical_latency.store(0, Ordering::Relaxed);
    }

    /// Records whether the lane in a lane report is full.
    pub(super) fn set_lane_full(&self, full: bool, now: u64) {
        self.lane_full.store(full, Ordering::Relaxed);
        self.lane_reported_at.store(now, Ordering::Relaxed);
    }

    /// Returns whether a leaf reported recently that its lane to the searcher is at its limit and has requests queued.
    pub(super) fn is_lane_full(&self, now: u64) -> bool {
        let age = now.saturating_sub(self.lane_reported_at.load(Ordering::Relaxed));
        self.lane_full.load(Ordering::Relaxed) && age < HINT_MAX_AGE.as_micros() as u64
    }

    fn set_typical(&self, typical_latency: f64) {
        self.typical_latency.store(typical_latency.to_bits(), Ordering::Relaxed);
    }
}
