//! Thresholds of ejection, slow start and hedge delays.

use std::time::Duration;

/// Duration of the first ejection. It doubles with each ejection in a row.
pub const EJECT_BASE: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection. A searcher that recovered is back within this time.
pub const EJECT_MAX: Duration = Duration::from_secs(30);

/// Number of consecutive failures that eject a searcher.
pub const EJECT_FAILURES: u32 = 3;

/// Latency above which a searcher is ejected, as a multiple of the fastest other replica's or the service's latency.
pub const EJECT_RATIO: f64 = 3.0;

/// Minimum excess over the reference latency for an ejection, in microseconds. It covers the round trip to another
/// data centre.
pub(super) const EJECT_FLOOR_US: f64 = 5_000.0;

/// Number of replies before a searcher can be ejected because of its latency.
pub(super) const EJECT_SAMPLES: u32 = 16;

/// Number of replies before another replica serves as a reference.
pub(super) const PEER_SAMPLES: u32 = 4;

/// Duration of slow start, during which the share of traffic rises from [`RAMP_START`] to 1.
pub const RAMP: Duration = Duration::from_secs(10);

/// Share of traffic at the beginning of slow start.
pub const RAMP_START: f64 = 0.1;

/// Time for which a searcher is [`Busy`] after a refusal because of load that states no time. It gets less work during
/// this time, but is not excluded.
///
/// [`Busy`]: super::Availability::Busy
pub const AVOID_DEFAULT: Duration = Duration::from_millis(100);

/// Maximum time for which a searcher is [`Busy`] after a refusal because of load, whatever time the refusal states.
///
/// [`Busy`]: super::Availability::Busy
pub const AVOID_MAX: Duration = Duration::from_secs(5);

/// Time after which a leaving searcher is tried again if no signal of its return arrived.
pub const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Share of the hedge budget for first hedges. The rest is for second hedges and bursts.
pub(super) const FIRST_HEDGE_SHARE: f64 = 0.80;

/// Latency quantile after which a hedge is hedged itself. Hedges are rare, so an early second one is cheap.
pub(super) const SECOND_HEDGE_QUANTILE: f64 = 0.75;

/// Upper bound on the hedge delay, as a multiple of the 95th percentile. Without it, more stragglers than the budget
/// covers would push the delay above the stragglers' own latency, and hedging would stop helping.
pub(super) const HEDGE_DELAY_CAP: f64 = 2.0;

/// Hedge delay until the distribution is known, as a multiple of the typical latency.
pub(super) const HEDGE_DELAY_DEFAULT: f64 = 4.0;
