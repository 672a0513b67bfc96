//! Admission of requests of a route while a more urgent route asks the same servers.
//!
//! Load pattern: for longer than a burst, more work arrives than the servers can do, at all instances. A server works in
//! the order of arrival, so urgent requests wait behind all that was sent before. A share of the less urgent requests is
//! turned away whole, on arrival: an answer over shards needs most of its parts, so parts that are turned away one by one
//! waste the work of the others. Each instance adapts its share to the queues that the servers report. All instances see
//! the same queues, so the bound holds over all of them however small the part of each one is. See "Admission" in
//! `docs/design/large-fleets.md`.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::process::backends::server_state::LoadFigures;

/// Requests that wait at a server, as a multiple of its slots, from which it counts as loaded: a newcomer then waits longer
/// than the requests before it take.
const LOADED_ROUNDS: f64 = 1.0;

/// Weight of one answer in the moving share of loaded servers. A search over 36 shards renews half of it.
const ANSWER_WEIGHT: f64 = 0.02;

/// Share of loaded servers above which fewer requests are admitted. Below it single servers are slow or pause, which the
/// choice of servers handles.
const LOADED_SHARE: f64 = 0.4;

/// Time in which the share of loaded servers halves without answers.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Time between two changes of the admitted share: longer than the queues need to show the change before.
const STEP: Duration = Duration::from_millis(100);

/// Factor on the admitted share while too many servers are loaded.
const DECREASE: f64 = 0.8;

/// Growth of the admitted share in one step otherwise.
const INCREASE: f64 = 0.04;

/// Least share that is admitted. Their answers show when the queues are gone.
const LEAST_SHARE: f64 = 0.1;

/// Load of the servers of one route, and the share of its requests that is admitted while a more urgent route shares them.
#[derive(Debug)]
pub struct Pressure {
    /// Moving share of answers that came from a loaded server.
    loaded: f64,
    admitted: f64,
    stepped: Option<Instant>,
}

impl Default for Pressure {
    fn default() -> Self {
        Self {
            loaded: 0.0,
            admitted: 1.0,
            stepped: None,
        }
    }
}

impl Pressure {
    /// Takes the load figures of an answer.
    pub fn on_load(&mut self, load: LoadFigures) {
        let is_loaded = f64::from(load.waiting) >= LOADED_ROUNDS * f64::from(load.slots.max(1));
        self.loaded += (f64::from(u8::from(is_loaded)) - self.loaded) * ANSWER_WEIGHT;
    }

    /// Tells whether a request that arrives now is admitted.
    pub fn admits(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        self.adapt(now);
        self.admitted >= 1.0 || rng.random_bool(self.admitted)
    }

    /// Adapts the admitted share. An instance with few requests makes up for the steps since the last one.
    fn adapt(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(*self.stepped.get_or_insert(now));
        let steps = passed.as_millis() / STEP.as_millis();
        if steps == 0 {
            return;
        }
        self.stepped = Some(now);
        self.admitted = if self.loaded > LOADED_SHARE {
            (self.admitted * DECREASE).max(LEAST_SHARE)
        } else {
            (self.admitted + INCREASE * steps as f64).min(1.0)
        };
        self.loaded *= (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
    }
}
