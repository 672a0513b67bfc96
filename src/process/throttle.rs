//! Adaptive throttling of requests of a route while a more urgent route uses the same servers.
//!
//! Throttling handles an overload that lasts longer than a burst, in which more work arrives at all instances than the
//! servers can do. A server processes requests in the order of arrival, so urgent requests wait behind everything that
//! was sent before. A share of the less urgent requests is refused on arrival, with all of their parts: an answer over
//! shards needs most of its parts, so refusing single parts would waste the work of the others. Each instance adapts
//! its share to the queues that the servers report. All instances see the same queues, so the total is bounded no
//! matter how small the contribution of each instance is. See "Admission" in `docs/design/large-fleets.md`.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::process::backends::server_state::LoadFigures;

/// Number of waiting requests, as a multiple of the slots of a server, from which the server counts as loaded. A new
/// request then waits longer than the requests before it take.
const LOADED_QUEUE_RATIO: f64 = 1.0;

/// Weight of one response in the moving share of loaded servers. A search over 36 shards replaces half of the average.
const ANSWER_WEIGHT: f64 = 0.02;

/// Share of loaded servers above which fewer requests are admitted. Below it only single servers are slow or pause,
/// which the server choice handles.
const MAX_LOADED_SHARE: f64 = 0.4;

/// Half-life of the share of loaded servers without new responses.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Time between two changes of the admitted share. It is longer than the queues take to react to the previous change.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Factor on the admitted share while too many servers are loaded.
const DECREASE_FACTOR: f64 = 0.8;

/// Increase of the admitted share in each step otherwise.
const INCREASE_STEP: f64 = 0.04;

/// Minimum admitted share. The responses to the admitted requests show when the queues are empty again.
const MIN_ADMITTED_SHARE: f64 = 0.1;

/// Load of the servers of one route, and the share of its requests that is admitted while a more urgent route uses the
/// same servers.
#[derive(Debug)]
pub struct Throttle {
    /// Moving share of responses that came from a loaded server.
    loaded_share: f64,
    admitted_share: f64,
    adapted_at: Option<Instant>,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            loaded_share: 0.0,
            admitted_share: 1.0,
            adapted_at: None,
        }
    }
}

impl Throttle {
    /// Records the load figures of a response.
    pub fn on_load(&mut self, load: LoadFigures) {
        let is_loaded = f64::from(load.waiting) >= LOADED_QUEUE_RATIO * f64::from(load.slots.max(1));
        self.loaded_share += (f64::from(u8::from(is_loaded)) - self.loaded_share) * ANSWER_WEIGHT;
    }

    /// Returns whether a request that arrives at `now` is admitted.
    pub fn admits(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        self.adapt(now);
        self.admitted_share >= 1.0 || rng.random_bool(self.admitted_share)
    }

    /// Adapts the admitted share. An instance with few requests applies the increases of all steps since the last
    /// change.
    fn adapt(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(*self.adapted_at.get_or_insert(now));
        let steps = passed.as_millis() / STEP_INTERVAL.as_millis();
        if steps == 0 {
            return;
        }
        self.adapted_at = Some(now);
        self.admitted_share = if self.loaded_share > MAX_LOADED_SHARE {
            (self.admitted_share * DECREASE_FACTOR).max(MIN_ADMITTED_SHARE)
        } else {
            (self.admitted_share + INCREASE_STEP * steps as f64).min(1.0)
        };
        self.loaded_share *= (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
    }
}
