//! Thresholds of ejection, slow start and hedge delays.

use std::time::Duration;

/// First time for which an outlier is ejected. It doubles with each ejection in a row.
pub const EJECT_BASE: Duration = Duration::from_secs(1);

/// Longest ejection. A searcher that recovered is back within this time.
pub const EJECT_MAX: Duration = Duration::from_secs(30);

/// Consecutive failures after which a searcher is ejected.
pub const EJECT_FAILURES: u32 = 3;

/// Latency, as a multiple of the best other replica or of the service, from which a searcher is ejected.
pub const EJECT_RATIO: f64 = 3.0;

/// Latency above the reference below which no searcher is ejected, in microseconds. It covers the round trip to
/// another data centre.
pub(super) const EJECT_FLOOR_US: f64 = 5_000.0;

/// Replies of a searcher before its latency can eject it.
pub(super) const EJECT_SAMPLES: u32 = 16;

/// Replies of another replica before it serves as a reference.
pub(super) const PEER_SAMPLES: u32 = 4;

/// Time of slow start after a return, during which the share of traffic rises from [`RAMP_START`] to all of it.
pub const RAMP: Duration = Duration::from_secs(10);

/// Share of traffic at the begin of slow start.
pub const RAMP_START: f64 = 0.1;

/// Time for which a searcher is avoided after a refusal because of load that names no time.
pub const AVOID_DEFAULT: Duration = Duration::from_millis(100);

/// Longest time for which a refusal because of load is heeded.
pub const AVOID_MAX: Duration = Duration::from_secs(5);

/// Time after which a searcher that was leaving is tried again when no signal of its return arrived.
pub const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Share of the hedge budget that first hedges use. The rest pays for second hedges and for bursts.
pub(super) const FIRST_HEDGE_SHARE: f64 = 0.80;

/// Quantile of the latency after which a hedge is itself hedged. Few hedges exist, so an early second one is cheap.
pub(super) const SECOND_HEDGE_QUANTILE: f64 = 0.75;

/// Bound of the hedge delay, as a multiple of the 95th percentile. Without it, more stragglers than the budget covers
/// would push the delay beyond the stragglers' own latency, and no hedge would help.
pub(super) const HEDGE_DELAY_CAP: f64 = 2.0;

/// Hedge delay, as a multiple of the typical latency, until the distribution is known.
pub(super) const HEDGE_DELAY_DEFAULT: f64 = 4.0;
