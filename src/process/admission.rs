//! Admission of requests at an entry.
//!
//! An entry limits the requests in progress by class. Without this limit, a request that overloaded backend servers
//! refuse in part would waste the work on all its other parts. The quota of urgent requests does not depend on routine
//! requests, so urgent work is never refused because of routine work. The quota of routine requests adapts to the
//! refusals for overload that leaves report. See `docs/design/overload.md`.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::wire::proto::Class;

/// Minimum time between two reductions of the routine quota. Refusals within it are caused by the same overload.
const REDUCE_INTERVAL: Duration = Duration::from_millis(100);

/// Factor by which the routine quota is reduced.
const REDUCE_FACTOR: f64 = 0.9;

/// Minimum routine quota. A single request in progress is enough to detect the end of the overload.
const MIN_ROUTINE_QUOTA: f64 = 1.0;

/// Weight of the newest sample in the moving average of the time between completions.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Bounds of the retry-after time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Quotas for the requests in progress at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Maximum number of urgent requests in progress, independent of routine requests.
    pub urgent: u32,
    /// Maximum number of routine requests in progress.
    pub routine: u32,
    /// Number of requests in progress of both classes from which no routine request is admitted.
    pub total: u32,
}

impl Default for AdmissionConfig {
    /// Returns quotas that limit the memory of an entry. The load is limited by the leaves and the adaptive quota.
    fn default() -> Self {
        Self {
            urgent: 4_096,
            routine: 2_048,
            total: 4_096,
        }
    }
}

/// Refusal at admission. The request ran nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many requests in progress; repeat the request after {} ms", retry_after.as_millis())]
pub struct Rejected {
    /// Expected time until the requests in progress and those refused before are served.
    pub retry_after: Duration,
}

/// Current counts and quota, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionState {
    /// Urgent requests in progress.
    pub urgent: u32,
    /// Routine requests in progress.
    pub routine: u32,
    /// Current quota of routine requests.
    pub routine_quota: u32,
}

/// Requests in progress of both classes. They share one atomic word, so that a request is checked and counted in one
/// step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ActiveRequests {
    urgent: u32,
    routine: u32,
}

/// Completions and refusals of one class. The fields are independent estimates, so their updates need no common order.
#[derive(Debug)]
struct ClassStats {
    /// Moving average of the time between completions in seconds, as the bits of an `f64`; NaN before the second
    /// completion.
    mean_interval: AtomicU64,
    /// Time of the last completion in microseconds since the start; [`NEVER`] before the first.
    completed_us: AtomicU64,
    /// Refused requests minus the completions since then. These requests are expected to be repeated first.
    backlog: AtomicU32,
}

/// Marks a time that is not set.
const NEVER: u64 = u64::MAX;

/// Admission control of one entry. See the module documentation.
///
/// It is on the path of every request and takes no lock: all state is in atomics.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    start: Instant,
    active: AtomicU64,
    urgent: ClassStats,
    routine: ClassStats,
    /// Routine quota, as the bits of an `f64`.
    routine_quota: AtomicU64,
    /// Time of the last reduction in microseconds since the start; [`NEVER`] before the first.
    reduced_us: AtomicU64,
}

impl ActiveRequests {
    const fn pack(self) -> u64 {
        ((self.urgent as u64) << 32) | self.routine as u64
    }

    const fn unpack(word: u64) -> Self {
        Self {
            urgent: (word >> 32) as u32,
            routine: word as u32,
        }
    }

    const fn with(self, class: Class, change: i32) -> Self {
        match class {
            Class::Urgent => Self {
                urgent: self.urgent.saturating_add_signed(change),
                ..self
            },
            Class::Routine => Self {
                routine: self.routine.saturating_add_signed(change),
                ..self
            },
        }
    }
}

impl ClassStats {
    const fn new() -> Self {
        Self {
            mean_interval: AtomicU64::new(f64::NAN.to_bits()),
            completed_us: AtomicU64::new(NEVER),
            backlog: AtomicU32::new(0),
        }
    }

    fn complete(&self, now_us: u64) {
        update(&self.backlog, |backlog| backlog.saturating_sub(1));
        let last = self.completed_us.swap(now_us, Ordering::Relaxed);
        if last == NEVER {
            return;
        }
        let sample = seconds(now_us.saturating_sub(last));
        update_f64(&self.mean_interval, |mean| {
            let mean = if mean.is_nan() { sample } else { mean };
            mean + (sample - mean) * INTERVAL_WEIGHT
        });
    }

    /// Counts a refusal and returns the retry-after time. Each further refusal gets a later time, so that the retries
    /// are spread.
    fn refuse(&self, now_us: u64) -> Duration {
        let backlog = self.backlog.fetch_add(1, Ordering::Relaxed).saturating_add(1);
        let completed_us = self.completed_us.load(Ordering::Relaxed);
        let idle = if completed_us == NEVER {
            0.0
        } else {
            seconds(now_us.saturating_sub(completed_us))
        };
        let mean = f64::from_bits(self.mean_interval.load(Ordering::Relaxed));
        // `f64::max` ignores a mean that is NaN, that is, not known yet.
        let wait = mean.max(idle) * f64::from(backlog);
        Duration::from_secs_f64(wait.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }
}

impl Admission {
    /// Creates an admission control with no requests in progress.
    #[must_use]
    pub fn new(config: AdmissionConfig, now: Instant) -> Self {
        Self {
            config,
            start: now,
            active: AtomicU64::new(0),
            urgent: ClassStats::new(),
            routine: ClassStats::new(),
            routine_quota: AtomicU64::new(f64::from(config.routine).to_bits()),
            reduced_us: AtomicU64::new(NEVER),
        }
    }

    /// Admits or refuses a new request. Each admitted request must be released with [`Admission::on_done`].
    ///
    /// # Errors
    ///
    /// Returns an error if the quota of the class is exhausted.
    pub fn on_request(&self, class: Class, now: Instant) -> Result<(), Rejected> {
        let admit = |word| {
            let active = ActiveRequests::unpack(word);
            self.has_room(active, class).then(|| active.with(class, 1).pack())
        };
        let admitted = self.active.fetch_update(Ordering::AcqRel, Ordering::Acquire, admit);
        if admitted.is_ok() {
            return Ok(());
        }
        let retry_after = self.stats(class).refuse(self.micros(now));
        Err(Rejected { retry_after })
    }

    /// Releases an admitted request that ended. `overloaded` states that a part of it was refused as `queue_full` or
    /// `shedding`, or expired while it waited.
    pub fn on_done(&self, class: Class, overloaded: bool, now: Instant) {
        let release = |word| Some(ActiveRequests::unpack(word).with(class, -1).pack());
        let _always_updates = self.active.fetch_update(Ordering::AcqRel, Ordering::Acquire, release);
        let now_us = self.micros(now);
        self.stats(class).complete(now_us);
        if overloaded {
            self.reduce(now_us);
        } else if class == Class::Routine {
            self.raise();
        }
    }

    /// Returns the current counts and quota, for metrics.
    #[must_use]
    pub fn state(&self) -> AdmissionState {
        let active = ActiveRequests::unpack(self.active.load(Ordering::Acquire));
        AdmissionState {
            urgent: active.urgent,
            routine: active.routine,
            routine_quota: self.routine_quota() as u32,
        }
    }

    fn routine_quota(&self) -> f64 {
        f64::from_bits(self.routine_quota.load(Ordering::Relaxed))
    }

    fn has_room(&self, active: ActiveRequests, class: Class) -> bool {
        let total = active.urgent + active.routine;
        match class {
            Class::Urgent => active.urgent < self.config.urgent,
            Class::Routine => active.routine < self.routine_quota() as u32 && total < self.config.total,
        }
    }

    const fn stats(&self, class: Class) -> &ClassStats {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    fn micros(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.start);
        u64::try_from(since.as_micros()).unwrap_or(NEVER - 1)
    }

    /// Reduces the routine quota below the requests now in progress. If several threads see the same overload, only one
    /// of them reduces it.
    fn reduce(&self, now_us: u64) {
        let interval = u64::try_from(REDUCE_INTERVAL.as_micros()).unwrap_or(u64::MAX);
        let is_due = |last: u64| (last == NEVER || now_us >= last.saturating_add(interval)).then_some(now_us);
        if self
            .reduced_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_due)
            .is_err()
        {
            return;
        }
        let active = ActiveRequests::unpack(self.active.load(Ordering::Acquire));
        update_f64(&self.routine_quota, |routine_quota| {
            let used = f64::from(active.routine + 1).min(routine_quota);
            (used * REDUCE_FACTOR).max(MIN_ROUTINE_QUOTA)
        });
    }

    /// Increases the routine quota by one for each quota's worth of routine requests that ended without overload.
    fn raise(&self) {
        let limit = f64::from(self.config.routine);
        update_f64(&self.routine_quota, |routine_quota| {
            (routine_quota + 1.0 / routine_quota).min(limit)
        });
    }
}

fn update(value: &AtomicU32, change: impl Fn(u32) -> u32) {
    let _always_updates = value.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| Some(change(old)));
}

fn update_f64(bits: &AtomicU64, change: impl Fn(f64) -> f64) {
    let change = |old| Some(change(f64::from_bits(old)).to_bits());
    let _always_updates = bits.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1_000_000.0
}
