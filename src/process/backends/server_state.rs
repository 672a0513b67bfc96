//! Observed state of one backend server, and the expected latency of a new request.
//!
//! The servers of a shard perform equally until one of them pauses, slows down, goes silent or crashes. A pause shows
//! in the requests in flight before any response arrives, slowness shows in the responses, and a crash in the failures.

use std::time::Duration;
use std::time::Instant;

use crate::process::backends::rate_limit::LimitNotice;
use crate::process::backends::rate_limit::RateLimit;
use crate::process::backends::rate_limit::RequestRate;
use crate::request::fanout::Cause;

/// Weight of a new value in the moving average of the slowness, if it is lower than the average.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Weight of a new value that is higher than the average. With 30 instances, each sees a server about once a second,
/// so few observations have to suffice.
const SLOWNESS_INCREASE_WEIGHT: f64 = 0.5;

/// Ratio of the latency to the usual latency above which a response is slow.
const SLOW_RATIO: f64 = 2.0;

/// Time span within which slow responses can come from one pause, and so do not predict later latency: 200 ms and the
/// network delay.
const PAUSE_DURATION: Duration = Duration::from_millis(250);

/// Half-life of the observations, so that a server that recovered gets requests again. With 30 instances, each sends
/// a server about four requests in this time.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Upper bound on the slowness. Servers at twelve times the usual latency occur; higher values carry no information.
const SLOWNESS_MAX: f64 = 16.0;

/// Cost of a certain failure, as a multiple of the usual latency. It covers the attempt elsewhere and the loss of
/// requests that must not be repeated.
const ERROR_COST: f64 = 8.0;

/// Weight of a success in the moving average of the error rate. It is small, so that a server that fails every other
/// request counts as failing.
const RESPONSE_WEIGHT: f64 = 0.1;

/// Weight of a failure in the moving average of the error rate.
const ERROR_WEIGHT: f64 = 0.5;

/// Maximum age of load figures.
const LOAD_MAX_AGE: Duration = Duration::from_millis(150);

/// Age of a request in flight, as a multiple of its expected latency, above which the server counts as stalled.
const STALL_FACTOR: f64 = 2.5;

/// Minimum age of a request in flight for the server to count as stalled.
const STALL_MIN: Duration = Duration::from_millis(25);

/// Expected remaining time of a stall: the usual length of a pause.
const STALL_DURATION: Duration = Duration::from_millis(200);

/// First avoidance time after a failure. It doubles with each further failure.
const AVOID_FIRST: Duration = Duration::from_millis(250);

/// Upper bound on the avoidance time. A crashed server is back after four to six seconds.
const AVOID_MAX: Duration = Duration::from_secs(2);

/// Number of consecutive broken connections after which the server counts as failed. A server that loses some responses
/// still delivers the others, and a crashed one refuses the next connection.
const BROKEN_STREAK: u32 = 3;

/// Extra expected latency, and its duration, after a server refused a request because it was full. A queue of about
/// twenty requests is worked off in this time.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Minimum wait without a response for a server to count as silent. It is longer than a pause of 200 ms.
const SILENT_MIN: Duration = Duration::from_millis(300);

/// Minimum wait without a response for a server to count as silent, as a multiple of the usual latency.
const SILENT_RATIO: f64 = 8.0;

/// Maximum time to warm up. The time comes from the server, and a clock cannot hold every value.
const WARMUP_MAX: Duration = Duration::from_secs(600);

/// Slowness assumed during warm-up.
const WARMUP_SLOWNESS: f64 = 1.6;

/// Load figures from a response of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadFigures {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
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
    /// Requests of this instance in flight when the figures arrived.
    own_in_flight: u32,
    at: Instant,
}

/// Numbers of requests sent to a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// First attempts.
    pub first: u32,
    /// Hedges, retries and resends.
    pub repeated: u32,
}

impl SendCounts {
    const fn count(&mut self, cause: Cause) {
        match cause {
            Cause::First => self.first += 1,
            Cause::Hedge | Cause::Retry | Cause::Resend => self.repeated += 1,
        }
    }
}

/// Observed state of one server.
#[derive(Debug)]
pub struct ServerState {
    slots: u32,
    in_flight: Vec<InFlightRequest>,
    next_id: InFlightId,
    slowness: f64,
    slowness_at: Instant,
    /// Send time of the first slow response since the last fast one.
    slow_since: Option<Instant>,
    /// Moving average of the error rate.
    error_rate: f64,
    errors_at: Instant,
    load_report: Option<LoadReport>,
    failures: u32,
    /// Time of the last failure since the last response.
    failed_at: Option<Instant>,
    /// Number of connections broken since the last response.
    broken: u32,
    avoid_until: Option<Instant>,
    full_until: Option<Instant>,
    /// End of the Retry-After time that the server requested.
    backoff_until: Option<Instant>,
    /// Rate limit of the server; `None` if it never announced one.
    rate_limit: Option<RateLimit>,
    /// Requests sent while there is a rate limit, since the last call of [`ServerState::take_sends`].
    sends: SendCounts,
    /// Whether the server announced that it is leaving. It stays set for the rest of the incarnation.
    is_leaving: bool,
    warmup_until: Instant,
}

impl ServerState {
    /// Creates the state of a server with `slots` slots that needs `warmup` more to warm up.
    #[must_use]
    pub fn new(slots: u32, warmup: Duration, now: Instant) -> Self {
        Self {
            slots: slots.max(1),
            in_flight: Vec::new(),
            next_id: 0,
            slowness: 1.0,
            slowness_at: now,
            slow_since: None,
            error_rate: 0.0,
            errors_at: now,
            load_report: None,
            failures: 0,
            failed_at: None,
            broken: 0,
            avoid_until: None,
            full_until: None,
            backoff_until: None,
            rate_limit: None,
            sends: SendCounts::default(),
            is_leaving: false,
            warmup_until: now + warmup.min(WARMUP_MAX),
        }
    }

    /// Records that a request with the expected latency `expected` was sent.
    pub fn begin(&mut self, cause: Cause, expected: Duration, now: Instant) -> InFlightId {
        if let Some(limit) = self.rate_limit.as_mut().filter(|limit| limit.rate().is_some()) {
            limit.on_send(now);
            self.sends.count(cause);
        }
        self.next_id += 1;
        self.in_flight.push(InFlightRequest {
            id: self.next_id,
            sent: now,
            expected,
        });
        self.next_id
    }

    /// Records the end of a request, regardless of its outcome.
    pub fn end(&mut self, id: InFlightId) {
        self.in_flight.retain(|request| request.id != id);
    }

    /// Records the latency of a successful response. `usual` is the usual latency of the route.
    pub fn on_response(&mut self, latency: Duration, usual: Option<Duration>, now: Instant) {
        self.failures = 0;
        self.failed_at = None;
        self.broken = 0;
        self.avoid_until = None;
        self.observe_error(0.0, RESPONSE_WEIGHT, now);
        if let Some(usual) = usual.filter(|usual| !usual.is_zero()) {
            let ratio = (latency.as_secs_f64() / usual.as_secs_f64()).min(SLOWNESS_MAX);
            if self.outlasts_pause(ratio, latency, now) {
                self.observe_slowness(ratio, now);
            }
        }
    }

    /// Returns whether the latency of a response should count. Fast responses always count. A slow one counts only
    /// if its request was sent more than a pause later than that of the first slow one in a row, because earlier ones
    /// may all come from a single pause.
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

    /// Records that a request was abandoned after `waited`. A wait longer than the current slowness raises the
    /// slowness; a very long one counts as a failure.
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

    /// Records the load figures of a response.
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

    /// Records an error response. Without this, a server that fails fast would look idle and attract requests.
    pub fn on_error(&mut self, now: Instant) {
        self.observe_error(1.0, ERROR_WEIGHT, now);
    }

    /// Records that the server refused a request without running it. The server may be full for a moment, or refuse a
    /// share of its requests all the time, which makes it look idle.
    pub fn on_full(&mut self, now: Instant) {
        self.observe_error(1.0, ERROR_WEIGHT, now);
        self.full_until = Some(now + FULL_BACKOFF);
    }

    /// Records the Retry-After time of the server. The latest end of several such times applies.
    pub fn on_retry_after(&mut self, time: Duration, now: Instant) {
        self.backoff_until = self.backoff_until.max(Some(now + time));
    }

    /// Returns the numbers of requests sent since the last call.
    pub fn take_sends(&mut self) -> SendCounts {
        std::mem::take(&mut self.sends)
    }

    /// Records the notice in the response to a request sent at `sent`. Returns the notice before if it was another one.
    /// A response without a limit ends the limit only if its request was sent after the last notice: an earlier request
    /// may have been answered before.
    pub fn on_limit_notice(&mut self, notice: LimitNotice, sent: Instant, now: Instant) -> Option<LimitNotice> {
        let is_outdated = self.rate_limit.is_some_and(|limit| sent <= limit.last_notice().1);
        if notice == LimitNotice::Unlimited && is_outdated {
            return None;
        }
        self.on_peer_limit_notice(notice, now)
    }

    /// Records a notice that another instance received at `at`. Returns the notice before if it was another one.
    pub fn on_peer_limit_notice(&mut self, notice: LimitNotice, at: Instant) -> Option<LimitNotice> {
        match (&mut self.rate_limit, notice) {
            (None, LimitNotice::Unlimited) => None,
            (None, LimitNotice::Limited(rate)) => {
                self.rate_limit = Some(RateLimit::new(rate, at));
                self.sends = SendCounts::default();
                Some(LimitNotice::Unlimited)
            }
            (Some(limit), notice) => {
                let (before, _) = limit.last_notice();
                limit.on_notice(notice, at).then_some(before)
            }
        }
    }

    /// Returns the rate limit, or `None` if the server never announced one.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<&RateLimit> {
        self.rate_limit.as_ref()
    }

    /// Sets the rate at which this instance may send while there is a rate limit.
    pub fn set_limit_share(&mut self, share: RequestRate, now: Instant) {
        if let Some(limit) = &mut self.rate_limit {
            limit.set_share(share, now);
        }
    }

    /// Returns the time from which the rate limit admits a request that leaves the share `reserve` of unused requests
    /// to others; `None` if it admits none.
    #[must_use]
    pub fn limit_admits_at(&self, reserve: f64, now: Instant) -> Option<Instant> {
        self.rate_limit
            .as_ref()
            .map_or(Some(now), |limit| limit.available_at(reserve))
    }

    /// Records that the server announced that it is leaving. Returns whether this is the first announcement.
    pub const fn on_leaving(&mut self) -> bool {
        let is_new = !self.is_leaving;
        self.is_leaving = true;
        is_new
    }

    /// Records a connection that broke during a request or returned data that does not belong to the request. It
    /// counts as an error response, because the server is still reachable, and as a failure once several in a row have
    /// broken.
    pub fn on_connection_broken(&mut self, now: Instant) {
        self.observe_error(1.0, ERROR_WEIGHT, now);
        self.broken += 1;
        if self.broken >= BROKEN_STREAK {
            self.on_failure(now);
        }
    }

    /// Records a failure: no connection, or no response.
    pub fn on_failure(&mut self, now: Instant) {
        let time = AVOID_FIRST.saturating_mul(1 << self.failures.min(8)).min(AVOID_MAX);
        self.failures += 1;
        self.failed_at = Some(now);
        self.avoid_until = Some(now + time);
    }

    /// Returns whether the server announced that it is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the Retry-After time of the server is still running.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the time at which the Retry-After time and the avoidance time are over and the rate limit admits a
    /// request again, whichever is last. `None` if nothing holds requests back, or if the server is leaving or never
    /// gets requests of this instance.
    #[must_use]
    pub fn available_at(&self) -> Option<Instant> {
        if self.is_leaving {
            return None;
        }
        let held_until = self.backoff_until.max(self.avoid_until);
        match &self.rate_limit {
            Some(limit) => limit
                .available_at(0.0)
                .map(|at| held_until.map_or(at, |until| until.max(at))),
            None => held_until,
        }
    }

    /// Returns whether the server may be sent a request now, and has not failed within `time` without a response since.
    #[must_use]
    pub fn is_available(&self, time: Duration, now: Instant) -> bool {
        let has_failed = self
            .failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < time);
        !has_failed && !self.is_leaving && !self.is_backing_off(now) && !self.is_avoided(now)
    }

    /// Returns whether the server is avoided because of failures.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server has failed since its last response, so that the next request to it is a probe.
    #[must_use]
    pub const fn needs_probe(&self) -> bool {
        self.failures > 0
    }

    /// Returns the number of requests of this instance in flight to the server.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the expected latency of a new request whose usual latency is `usual`.
    #[must_use]
    pub fn expected(&self, usual: Duration, now: Instant) -> Duration {
        let mut slowness = self.slowness(now).max(0.5);
        if now < self.warmup_until {
            slowness = slowness.max(WARMUP_SLOWNESS);
        }
        let load = self.load(now).saturating_add(1);
        let rounds = (f64::from(load) / f64::from(self.slots)).max(1.0);
        // Servers slow down as slots fill up, so utilisation costs a little even before requests queue.
        let utilisation_cost = 0.1 * f64::from(load - 1) / f64::from(self.slots);
        let mut expected = usual.mul_f64(slowness * (rounds + utilisation_cost));
        expected += usual.mul_f64(ERROR_COST * self.error_rate(now));
        if self.is_stalled(now) {
            expected += STALL_DURATION;
        }
        if self.full_until.is_some_and(|until| now < until) {
            expected += FULL_BACKOFF;
        }
        expected
    }

    /// Returns how many requests each of `instances` instances may have in flight to this server so that all of them
    /// are answered within `objective`, given the usual latency `usual`. The result is at least one.
    #[must_use]
    pub fn in_flight_limit(&self, usual: Duration, objective: Duration, instances: u32, now: Instant) -> usize {
        let each = usual.as_secs_f64() * self.slowness(now).max(1.0);
        if each <= 0.0 {
            return usize::MAX;
        }
        let all = f64::from(self.slots) * objective.as_secs_f64() / each;
        ((all / f64::from(instances.max(1))).round() as usize).max(1)
    }

    /// Returns whether a request in flight is so far beyond its expected latency that the server must be stalled.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.in_flight.iter().any(|request| {
            let limit = request.expected.mul_f64(STALL_FACTOR).max(STALL_MIN);
            now.saturating_duration_since(request.sent) > limit
        })
    }

    /// Returns the estimated number of requests at the server: the last load figures while they are fresh, adjusted
    /// by the requests that this instance has sent or completed since, and otherwise only its own requests in flight.
    fn load(&self, now: Instant) -> u32 {
        let own_in_flight = self.in_flight.len() as u32;
        let fresh = self
            .load_report
            .filter(|load_report| now.saturating_duration_since(load_report.at) < LOAD_MAX_AGE);
        fresh.map_or(own_in_flight, |load_report| {
            let others = load_report.load.running.saturating_add(load_report.load.waiting);
            own_in_flight.saturating_add(others.saturating_sub(load_report.own_in_flight))
        })
    }

    fn slowness(&self, now: Instant) -> f64 {
        (self.slowness - 1.0).mul_add(decay(self.slowness_at, now), 1.0)
    }

    fn error_rate(&self, now: Instant) -> f64 {
        self.error_rate * decay(self.errors_at, now)
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
        let before = self.error_rate(now);
        self.error_rate = (value - before).mul_add(weight, before);
        self.errors_at = now;
    }
}

/// Returns the remaining weight of an observation made at `at`.
fn decay(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / HALF_LIFE.as_secs_f64()).exp2()
}
