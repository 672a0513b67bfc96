//! Adaptive limit on the requests in flight to one searcher, between 1 and its slots.
//!
//! A refusal for lack of capacity lowers the limit at once. Service times alone cannot distinguish a server that has
//! lost slots from one that runs every request more slowly, so a rise of the median only starts a probe of a limit
//! lower by one, which stays if throughput does not drop. Periodic probes of a limit higher by one detect capacity that
//! has returned. See `docs/design/overload.md`.

use std::time::Duration;
use std::time::Instant;

/// Age after which the estimated service time is discarded while nothing is in flight. It exceeds the usual deadlines,
/// so a server that is really slow costs at most one such attempt per interval.
const MAX_ESTIMATE_AGE: Duration = Duration::from_secs(1);

/// Service times per median. Collecting them takes a fifth of a second with 3 slots and a service time of 20 ms.
const WINDOW_SAMPLES: usize = 32;

/// Successful replies required for each step of slow start.
const SLOW_START_SUCCESSES: u32 = 4;

/// Ratio of the median to its reference above which a lower limit is probed. It is below the ratio of a server with 3
/// slots that has lost one (1.5), and above 1 by three standard errors of the median for service times of 12 ms plus an
/// exponential part of 8 ms.
const SLOWDOWN_RATIO: f64 = 1.35;

/// Weight of the newest median in the smoothed reference.
const REFERENCE_WEIGHT: f64 = 0.1;

/// Fraction of the ideal difference in throughput between two limits that the higher one must achieve to be kept. One
/// half leaves equal margins for the error of the medians on both sides; with a tenth, a single random result kept the
/// limit above the capacity permanently.
const MIN_GAIN_FRACTION: f64 = 0.5;

/// Shortest interval between probes of a higher limit.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between probes of a higher limit. It bounds the cost of probes (one refusal each) and the time
/// until returned capacity is used.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time for which the refusal of a lone request suspends dispatch.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Time for which the refusal of a lone request suspends dispatch if the server gave no retry-after time.
const DEFAULT_HOLD: Duration = Duration::from_millis(50);

/// Step of the running median of service times, as a fraction of its value.
const MEDIAN_STEP: f64 = 0.05;

/// State of the limit when a request was dispatched, passed back with its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchRecord {
    epoch: u64,
    saturated: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// Raises the limit by one after every [`SLOW_START_SUCCESSES`] successful replies until it reaches the slots or
    /// the server refuses a request.
    SlowStart { successes: u32 },
    /// Keeps the limit; `reference` is the expected median service time in seconds.
    Steady { reference: Option<f64> },
    /// Probes a limit higher by one; `baseline` is the throughput of the lower limit in requests per second.
    ProbeUp { baseline: f64 },
    /// Probes a limit lower by one; `baseline` is the throughput in requests per second and `median` the service time
    /// in seconds of the higher limit.
    ProbeDown { baseline: f64, median: f64 },
}

/// Concurrency limit of one searcher. See the module documentation.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    current: u32,
    mode: Mode,
    epoch: u64,
    window: Vec<f64>,
    service_time: Option<f64>,
    /// Time of the last successful reply, or of creation.
    last_success: Instant,
    probe_interval: Duration,
    next_probe: Instant,
    hold_until: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit of 1 in slow start.
    #[must_use]
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            slots: slots.max(1),
            current: 1,
            mode: Mode::SlowStart { successes: 0 },
            epoch: 0,
            window: Vec::with_capacity(WINDOW_SAMPLES),
            service_time: None,
            last_success: now,
            probe_interval: MIN_PROBE_INTERVAL,
            next_probe: now + MIN_PROBE_INTERVAL,
            hold_until: None,
        }
    }

    /// Returns the number of requests that may be in flight.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Returns the running median of service times, or zero while unknown.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.unwrap_or(0.0))
    }

    /// Discards the estimated service time if no reply has updated it for one second. Must be called only while nothing
    /// is in flight.
    ///
    /// Work whose remaining time is below the estimate is refused without being sent. After a few slow replies that
    /// could be all work, and then no reply would ever correct the estimate.
    pub fn discard_stale_estimate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_success) >= MAX_ESTIMATE_AGE {
            self.service_time = None;
        }
    }

    /// Returns the time until which dispatch is suspended after the server refused a lone request.
    #[must_use]
    pub const fn hold_until(&self) -> Option<Instant> {
        self.hold_until
    }

    /// Restarts slow start with one request, for example after all connections were lost or when the server may have a
    /// cold start.
    pub fn restart(&mut self, now: Instant) {
        self.set_limit(1, Mode::SlowStart { successes: 0 }, now);
        self.probe_interval = MIN_PROBE_INTERVAL;
        self.hold_until = None;
    }

    /// Resumes dispatch once its suspension has ended.
    pub fn on_tick(&mut self, now: Instant) {
        self.hold_until = self.hold_until.filter(|until| now < *until);
    }

    /// Records a dispatched request, which `in_flight` includes. A request that is not `slotted` says nothing about the
    /// capacity.
    pub fn on_dispatch(&mut self, in_flight: u32, slotted: bool, now: Instant) -> DispatchRecord {
        let saturated = slotted && in_flight >= self.current;
        let epoch = self.epoch;
        if saturated && now >= self.next_probe {
            self.probe_up(now);
        }
        DispatchRecord { epoch, saturated }
    }

    /// Updates the estimate and the limit with the service time of an executed request.
    pub fn on_success(&mut self, record: DispatchRecord, service_time: Duration, now: Instant) {
        self.hold_until = None;
        self.update_service_time(service_time);
        self.last_success = now;
        if record.epoch != self.epoch {
            return;
        }
        if let Mode::SlowStart { successes } = self.mode {
            self.advance_slow_start(successes + 1, now);
            return;
        }
        if !record.saturated {
            return;
        }
        self.window.push(service_time.as_secs_f64());
        if self.window.len() >= WINDOW_SAMPLES {
            self.evaluate_window(now);
        }
    }

    /// Lowers the limit after a refusal for lack of capacity. `in_flight` includes the refused request.
    pub fn on_refused(&mut self, record: DispatchRecord, in_flight: u32, retry_after: Duration, now: Instant) {
        if in_flight <= 1 {
            self.hold_dispatch(retry_after, now);
        }
        if record.epoch != self.epoch {
            return;
        }
        let failed_probe = matches!(self.mode, Mode::ProbeUp { .. });
        self.probe_interval = if failed_probe {
            self.doubled_interval()
        } else {
            MIN_PROBE_INTERVAL
        };
        let lower = self.current.saturating_sub(1).max(1);
        self.set_limit(lower, Mode::Steady { reference: None }, now);
    }

    fn hold_dispatch(&mut self, retry_after: Duration, now: Instant) {
        let wait = if retry_after.is_zero() {
            DEFAULT_HOLD
        } else {
            retry_after
        };
        self.hold_until = Some(now + wait.min(MAX_HOLD));
    }

    fn update_service_time(&mut self, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        let Some(median) = &mut self.service_time else {
            self.service_time = Some(sample);
            return;
        };
        let step = *median * MEDIAN_STEP;
        *median += if sample > *median { step } else { -step };
    }

    fn advance_slow_start(&mut self, successes: u32, now: Instant) {
        if successes < SLOW_START_SUCCESSES && self.current < self.slots {
            self.mode = Mode::SlowStart { successes };
            return;
        }
        let raised = (self.current + 1).min(self.slots);
        let mode = if raised == self.slots {
            Mode::Steady { reference: None }
        } else {
            Mode::SlowStart { successes: 0 }
        };
        self.set_limit(raised, mode, now);
    }

    fn probe_up(&mut self, now: Instant) {
        let Mode::Steady { reference } = self.mode else {
            return;
        };
        let Some(median) = reference.or(self.service_time) else {
            return;
        };
        if self.current >= self.slots {
            return;
        }
        let baseline = f64::from(self.current) / median.max(f64::MIN_POSITIVE);
        self.set_limit(self.current + 1, Mode::ProbeUp { baseline }, now);
    }

    /// Evaluates a full window of service times and adapts the limit.
    fn evaluate_window(&mut self, now: Instant) {
        let median = self.take_median();
        let limit = f64::from(self.current);
        let throughput = limit / median;
        match self.mode {
            Mode::SlowStart { .. } => {}
            Mode::Steady { reference } => self.evaluate_steady(reference, median, now),
            Mode::ProbeUp { baseline } if throughput >= baseline * (1.0 + MIN_GAIN_FRACTION / (limit - 1.0)) => {
                self.probe_interval = MIN_PROBE_INTERVAL;
                let reference = Some(median);
                self.set_limit(self.current, Mode::Steady { reference }, now);
            }
            Mode::ProbeUp { baseline } => {
                self.probe_interval = self.doubled_interval();
                let lower = self.current - 1;
                let reference = Some(f64::from(lower) / baseline);
                self.set_limit(lower, Mode::Steady { reference }, now);
            }
            Mode::ProbeDown { baseline, .. } if throughput >= baseline * (1.0 - MIN_GAIN_FRACTION / (limit + 1.0)) => {
                let reference = Some(median);
                self.set_limit(self.current, Mode::Steady { reference }, now);
            }
            Mode::ProbeDown { median: expected, .. } => {
                let reference = Some(expected);
                self.set_limit(self.current + 1, Mode::Steady { reference }, now);
            }
        }
    }

    fn evaluate_steady(&mut self, reference: Option<f64>, median: f64, now: Instant) {
        let expected = reference.unwrap_or(median);
        let slower = median > expected * SLOWDOWN_RATIO;
        if slower && self.current > 1 {
            let baseline = f64::from(self.current) / median;
            self.set_limit(self.current - 1, Mode::ProbeDown { baseline, median }, now);
            return;
        }
        let smoothed = expected + (median - expected) * REFERENCE_WEIGHT;
        let reference = if slower { median } else { smoothed };
        self.mode = Mode::Steady {
            reference: Some(reference),
        };
    }

    fn take_median(&mut self) -> f64 {
        let middle = self.window.len() / 2;
        let (_, median, _) = self.window.select_nth_unstable_by(middle, f64::total_cmp);
        let median = median.max(f64::MIN_POSITIVE);
        self.window.clear();
        median
    }

    fn doubled_interval(&self) -> Duration {
        (self.probe_interval * 2).min(MAX_PROBE_INTERVAL)
    }

    /// Changes the limit and starts a new epoch. Results of requests dispatched in earlier epochs do not affect the new
    /// limit.
    fn set_limit(&mut self, limit: u32, mode: Mode, now: Instant) {
        self.current = limit;
        self.mode = mode;
        self.epoch += 1;
        self.window.clear();
        self.next_probe = now + self.probe_interval;
    }
}
