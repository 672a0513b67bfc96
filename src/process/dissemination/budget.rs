//! Rate limit for reads of the platform.
//!
//! The platform allows about 2,000 reads per second across all readers. No central component counts them, so each
//! process limits itself to its share of a fixed rate.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;

/// Reads per second that all processes together make for one purpose. The three purposes (watches by readers, reads by
/// other processes, and reads of the list) together stay below the platform's limit of 2,000.
pub const FLEET_READS_PER_SECOND: f64 = 500.0;

/// Minimum interval between reads of the platform's list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Token bucket for the reads of one process.
#[derive(Debug, Clone)]
pub struct ReadBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl ReadBudget {
    /// Creates a bucket that holds one token and has the share of one of `processes` processes.
    #[must_use]
    pub fn new(processes: usize, now: Instant) -> Self {
        Self {
            rate: FLEET_READS_PER_SECOND / processes.max(1) as f64,
            burst: 1.0,
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Sets the number of processes that share the rate, and the capacity of the bucket in tokens.
    pub fn set_share(&mut self, processes: usize, burst: u32, now: Instant) {
        self.refill(now);
        self.rate = FLEET_READS_PER_SECOND / processes.max(1) as f64;
        self.burst = f64::from(burst.max(1));
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes a token if one is available. Returns whether it did.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns the time at which a token is available, plus a margin of 1 ms.
    #[must_use]
    pub fn next_token(&self, now: Instant) -> Instant {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let tokens = elapsed.mul_add(self.rate, self.tokens);
        let missing = (1.0 - tokens).max(0.0);
        now + Duration::from_secs_f64(missing / self.rate) + Duration::from_millis(1)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = elapsed.mul_add(self.rate, self.tokens).min(self.burst);
        self.refilled_at = now;
    }
}

/// Returns a random delay before the first read, so that a fleet whose processes all start at once stays within
/// [`FLEET_READS_PER_SECOND`].
#[must_use]
pub fn start_delay(fleet_size: usize, rng: &mut SmallRng) -> Duration {
    let window = fleet_size as f64 / FLEET_READS_PER_SECOND;
    Duration::from_secs_f64(rng.random_range(0.0..=window))
}

/// Returns the jittered interval until the next read of the platform's list. It grows with the size of the fleet.
#[must_use]
pub fn list_interval(fleet_size: usize, rng: &mut SmallRng) -> Duration {
    let interval = Duration::from_secs_f64(fleet_size as f64 / FLEET_READS_PER_SECOND);
    interval.max(MIN_LIST_INTERVAL).mul_f64(rng.random_range(0.9..1.3))
}
