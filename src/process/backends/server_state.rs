//! Observations of one backend server, and the time that a new request is expected to take there.
//!
//! Load pattern: servers of a shard are equal until one pauses, turns slow, falls silent or crashes. Requests in flight
//! show a pause before any answer does; answers show a slow server; failures show a crash.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new value in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// The same for a value that is greater. One instance of thirty sees a server about once a second, so few observations
/// have to do.
const SLOWNESS_INCREASE_WEIGHT: f64 = 0.5;

/// Latency, as a multiple of the usual one, from which an answer is slow.
const SLOW_RATIO: f64 = 2.0;

/// Time for which slow answers may come from a pause, which says nothing of the time after it: 200 ms, and the way.
const PAUSE_DURATION: Duration = Duration::from_millis(250);

/// Time in which an observation halves without new values, so that a server that recovered is asked again. One instance
/// of thirty asks a server some four times in it.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Greatest slowness that is remembered. A server of twelve times the usual latency occurs; more carries no information.
const SLOWNESS_MAX: f64 = 16.0;

/// Cost of a failure that is as good as certain, as a multiple of the usual latency: the time of an attempt elsewhere, and
/// the loss of a request that must not be repeated.
const ERROR_COST: f64 = 8.0;

/// Weight of an answer in the moving average of the share of failures. It is small, so that a server that fails every
/// other request counts as one that fails.
const ANSWER_WEIGHT: f64 = 0.1;

/// Weight of a failure in it.
const ERROR_WEIGHT: f64 = 0.5;

/// Age up to which the load figures of an answer are believed.
const LOAD_MAX_AGE: Duration = Duration::from_millis(150);

/// Age of a request in flight, as a multiple of its expected time, from which the server counts as stalled.
const STALL_FACTOR: f64 = 2.5;

/// Least age of a request in flight from which the server counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(25);

/// Time that a stalled server is expected to stay so: the usual length of a pause.
const STALL_DURATION: Duration = Duration::from_millis(200);

/// First time that a server is avoided after a failure. It doubles with each further failure.
const AVOID_FIRST: Duration = Duration::from_millis(250);

/// Longest time that a server is avoided after failures. A crashed server is back after four to six seconds.
const AVOID_MAX: Duration = Duration::from_secs(2);

/// Connections in a row that broke under a request, from which the server counts as failed. A server that loses some of its
/// answers still gives the others, and one that crashed refuses the next connection.
const BROKEN_STREAK: u32 = 3;

/// Time that a server is avoided after it refused a request because it was full. Its queue of some twenty requests is
/// worked off in about this time.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Wait without an answer from which a server counts as silent: longer than a pause of 200 ms.
const SILENT_MIN: Duration = Duration::from_millis(300);

/// Wait without an answer from which a server counts as silent, as a multiple of the usual latency.
const SILENT_RATIO: f64 = 8.0;

/// Slowness of a server that has just started.
const COLD_SLOWNESS: f64 = 1.6;

/// Load figures that a server sent with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadFigures {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at one time.
    pub slots: u32,
}

/// Identifies a request in flight at one server.
pub type InFlightId = u64;

#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    id: InFlightId,
    sent: Instant,
    expected: Duration,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: LoadFigures,
    /// Own requests in flight when the figures came.
    own_in_flight: u32,
    at: Instant,
}

/// What is known of one server.
#[derive(Debug)]
pub struct ServerState {
    slots: u32,
    in_flight: Vec<InFlightRequest>,
    next_id: InFlightId,
    slowness: f64,
    slowness_at: Instant,
    /// Time at which the first of the slow answers since the last fast one was sent.
    slow_since: Option<Instant>,
    /// Share of requests that the server answered with a failure.
    errors: f64,
    errors_at: Instant,
    load_report: Option<LoadReport>,
    failures: u32,
    /// Connections that broke since the last answer.
    broken: u32,
    avoid_until: Option<Instant>,
    full_until: Option<Instant>,
    /// Time until which the server wants no requests of this instance.
    backoff_until: Option<Instant>,
    /// Whether the server said that it is leaving, which holds until its incarnation ends.
    is_leaving: bool,
    cold_until: Instant,
}

impl ServerState {
    /// Makes the standing of a server with `slots` slots that is cold for `warmup` longer.
    #[must_use]
    pub fn new(slots: u32, warmup: Duration, now: Instant) -> Self {
        Self {
            slots: slots.max(1),
            in_flight: Vec::new(),
            next_id: 0,
            slowness: 1.0,
            slowness_at: now,
            slow_since: None,
            errors: 0.0,
            errors_at: now,
            load_report: None,
            failures: 0,
            broken: 0,
            avoid_until: None,
            full_until: None,
            backoff_until: None,
            is_leaving: false,
            cold_until: now + warmup,
        }
    }

    /// Takes a request that is sent and was expected to take `expected`.
    pub fn begin(&mut self, expected: Duration, now: Instant) -> InFlightId {
        self.next_id += 1;
        self.in_flight.push(InFlightRequest {
            id: self.next_id,
            sent: now,
            expected,
        });
        self.next_id
    }

    /// Takes the end of a request, however it ended.
    pub fn end(&mut self, id: InFlightId) {
        self.in_flight.retain(|request| request.id != id);
    }

    /// Takes the latency of an answer of a request whose usual latency is `usual`.
    pub fn on_answer(&mut self, latency: Duration, usual: Option<Duration>, now: Instant) {
        self.failures = 0;
        self.broken = 0;
        self.avoid_until = None;
        self.observe_error(0.0, ANSWER_WEIGHT, now);
        if let Some(usual) = usual.filter(|usual| !usual.is_zero()) {
            let ratio = (latency.as_secs_f64() / usual.as_secs_f64()).min(SLOWNESS_MAX);
            if self.outlasts_pause(ratio, latency, now) {
                self.observe_slowness(ratio, now);
            }
        }
    }

    /// Tells whether an answer shows more than a pause: it is fast, or so are none since a slow one that was sent a
    /// pause earlier.
    fn outlasts_pause(&mut self, ratio: f64, latency: Duration, now: Instant) -> bool {
        if ratio <= SLOW_RATIO {
            self.slow_since = None;
            return true;
        }
        let Some(sent) = now.checked_sub(latency) else {
            return true;
        };
        let since = *self.slow_since.get_or_insert(sent);
        sent.saturating_duration_since(since) > PAUSE_DURATION
    }

    /// Takes that a request was given up after `waited`. A wait that is long for the server shows that it is slow, and a
    /// very long one that it is silent.
    pub fn on_abandoned(&mut self, waited: Duration, usual: Option<Duration>, now: Instant) {
        let Some(usual) = usual.filter(|usual| !usual.is_zero()) else {
            return;
        };
        let ratio = (waited.as_secs_f64() / usual.as_secs_f64()).min(SLOWNESS_MAX);
        let before = self.slowness(now);
        if ratio > before {
            self.observe_slowness(ratio, now);
        }
        if waited >= SILENT_MIN && ratio >= SILENT_RATIO {
            self.on_failure(now);
        }
    }

    /// Takes the load figures of an answer.
    pub fn on_load(&mut self, load: LoadFigures, now: Instant) {
        if load.slots > 0 {
            self.slots = load.slots;
        }
        self.load_report = Some(LoadReport {
            load,
            own_in_flight: self.in_flight.len() as u32,
            at: now,
        });
    }

    /// Takes an answer that is a failure. A server that fails fast looks idle otherwise, and draws requests.
    pub fn on_error(&mut self, now: Instant) {
        self.observe_error(1.0, ERROR_WEIGHT, now);
    }

    /// Takes a refusal of a request that has not run. The server may be full for a moment, or refuse a share of its
    /// requests for as long as it runs, so that it looks idle.
    pub fn on_full(&mut self, now: Instant) {
        self.observe_error(1.0, ERROR_WEIGHT, now);
        self.full_until = Some(now + FULL_BACKOFF);
    }

    /// Takes that the server wants no requests of this instance for `time`.
    pub fn on_retry_after(&mut self, time: Duration, now: Instant) {
        self.backoff_until = self.backoff_until.max(Some(now + time));
    }

    /// Takes that the server said that it is leaving. Tells whether that is new.
    pub const fn on_leaving(&mut self) -> bool {
        let is_new = !self.is_leaving;
        self.is_leaving = true;
        is_new
    }

    /// Takes that a connection broke under a request, or brought what is no answer of it. The server is there, so it is asked
    /// like one that fails a share of its requests, until several in a row broke.
    pub fn on_connection_broken(&mut self, now: Instant) {
        self.observe_error(1.0, ERROR_WEIGHT, now);
        self.broken += 1;
        if self.broken >= BROKEN_STREAK {
            self.on_failure(now);
        }
    }

    /// Takes a failure: no connection, or an answer that did not come.
    pub fn on_failure(&mut self, now: Instant) {
        let time = AVOID_FIRST.saturating_mul(1 << self.failures.min(8)).min(AVOID_MAX);
        self.failures += 1;
        self.avoid_until = Some(now + time);
    }

    /// Tells whether the server said that it is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Tells whether the server wants no requests of this instance now.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the time from which the server may be asked as far as is known now; `None` when it is leaving.
    #[must_use]
    pub fn available_at(&self) -> Option<Instant> {
        (!self.is_leaving).then(|| self.backoff_until.max(self.avoid_until))?
    }

    /// Tells whether the server is avoided after failures.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Tells whether the server failed last, so that the next request to it is a probe.
    #[must_use]
    pub const fn needs_probe(&self) -> bool {
        self.failures > 0
    }

    /// Returns the number of own requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the time that a new request of the usual latency `usual` is expected to take.
    #[must_use]
    pub fn expected(&self, usual: Duration, now: Instant) -> Duration {
        let mut slowness = self.slowness(now).max(0.5);
        if now < self.cold_until {
            slowness = slowness.max(COLD_SLOWNESS);
        }
        let load = self.load(now) + 1;
        let rounds = (f64::from(load) / f64::from(self.slots)).max(1.0);
        // A server near its last slot slows down, so a busy server costs a little even before requests wait.
        let utilisation_cost = 0.1 * f64::from(load - 1) / f64::from(self.slots);
        let mut expected = usual.mul_f64(slowness * (rounds + utilisation_cost));
        expected += usual.mul_f64(ERROR_COST * self.errors(now));
        if self.is_stalled(now) {
            expected += STALL_DURATION;
        }
        if self.full_until.is_some_and(|until| now < until) {
            expected += FULL_BACKOFF;
        }
        expected
    }

    /// Returns the number of requests that one of `instances` instances may have in flight here, so that with all of them
    /// a request of the usual latency `usual` is still answered within `objective`; at least one.
    #[must_use]
    pub fn in_flight_limit(&self, usual: Duration, objective: Duration, instances: u32, now: Instant) -> usize {
        let each = usual.as_secs_f64() * self.slowness(now).max(1.0);
        if each <= 0.0 {
            return usize::MAX;
        }
        let all = f64::from(self.slots) * objective.as_secs_f64() / each;
        ((all / f64::from(instances.max(1))).round() as usize).max(1)
    }

    /// Tells whether a request in flight takes so much longer than expected that the server must be held up.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.in_flight.iter().any(|request| {
            let limit = request.expected.mul_f64(STALL_FACTOR).max(STALL_MIN);
            now.saturating_duration_since(request.sent) > limit
        })
    }

    /// Returns the requests at the server as far as known: the figures of the last answer while they are fresh,
    /// corrected by the own requests sent since.
    fn load(&self, now: Instant) -> u32 {
        let own_in_flight = self.in_flight.len() as u32;
        let fresh = self
            .load_report
            .filter(|load_report| now.saturating_duration_since(load_report.at) < LOAD_MAX_AGE);
        fresh.map_or(own_in_flight, |load_report| {
            let others =
                (load_report.load.running + load_report.load.waiting).saturating_sub(load_report.own_in_flight);
            own_in_flight + others
        })
    }

    fn slowness(&self, now: Instant) -> f64 {
        (self.slowness - 1.0).mul_add(decay(self.slowness_at, now), 1.0)
    }

    fn errors(&self, now: Instant) -> f64 {
        self.errors * decay(self.errors_at, now)
    }

    fn observe_slowness(&mut self, ratio: f64, now: Instant) {
        let before = self.slowness(now);
        let weight = if ratio > before {
            SLOWNESS_INCREASE_WEIGHT
        } else {
            SLOWNESS_WEIGHT
        };
        self.slowness = (ratio - before).mul_add(weight, before);
        self.slowness_at = now;
    }

    fn observe_error(&mut self, value: f64, weight: f64, now: Instant) {
        let before = self.errors(now);
        self.errors = (value - before).mul_add(weight, before);
        self.errors_at = now;
    }
}

/// Returns the share of an observation that still counts.
fn decay(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / HALF_LIFE.as_secs_f64()).exp2()
}
