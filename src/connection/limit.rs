//! Adaptive limit of the requests in flight to one searcher, from 1 to its slots.
//!
//! A refusal for lack of capacity lowers the limit at once. Service times alone cannot tell a server that has lost slots
//! from one that runs every request more slowly, so a rise of the median only starts a trial with one request less: the
//! lower limit stays when it costs no throughput. At intervals a trial with one request more looks for capacity that has
//! returned. See `docs/design/overload.md`.

use std::time::Duration;
use std::time::Instant;

/// Age from which a service time is not trusted while nothing is in flight. It is above the deadlines of today's services,
/// so a server that is really slow costs at most one such attempt in this time.
const MAX_ESTIMATE_AGE: Duration = Duration::from_secs(1);

/// Answers whose median is compared. They take a fifth of a second with 3 slots and a service time of 20 ms.
const WINDOW_SAMPLES: usize = 32;

/// Answers at each step of slow start.
const SLOW_START_ANSWERS: u32 = 4;

/// Rise of the median from which a lower limit is tried. It lies below the rise of a server with 3 slots that has lost
/// one (1.5) and three standard errors of the median above 1 for service times of 12 ms plus an exponential part of 8 ms.
const SLOWDOWN_RATIO: f64 = 1.35;

/// Weight of the newest median in the reference.
const REFERENCE_WEIGHT: f64 = 0.1;

/// Part of the ideal difference in throughput between two limits that tells whether the greater one is worth its place.
/// Halfway leaves the same room for the error of the medians on both sides; at a tenth, a chance result kept the limit
/// above the capacity for good.
const MIN_GAIN_FRACTION: f64 = 0.5;

/// Shortest and longest interval between trials of a greater limit. The longest bounds both the cost of trials (one
/// refusal each) and the time until returned capacity is used.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time for which a refusal of a lone request stops the dispatch.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Time for which a refusal of a lone request without a retry-after time stops the dispatch.
const DEFAULT_HOLD: Duration = Duration::from_millis(50);

/// Step of the running median, as a fraction of its value.
const MEDIAN_STEP: f64 = 0.05;

/// Mark of one dispatched request, to be given back with its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchRecord {
    epoch: u64,
    saturated: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// The limit grows by one every few answers until the slots are reached or the server refuses.
    SlowStart { answers: u32 },
    /// The limit stands; `reference` is the median that is normal for it.
    Steady { reference: Option<f64> },
    /// One more is tried; `baseline` is the throughput without it.
    ProbeUp { baseline: f64 },
    /// One less is tried; `baseline` is the throughput and `median` the service time with it.
    ProbeDown { baseline: f64, median: f64 },
}

/// Limit of one searcher. See the module documentation.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    current: u32,
    mode: Mode,
    epoch: u64,
    window: Vec<f64>,
    service_time: Option<f64>,
    /// Time of the last answer, or of the start.
    last_answer: Instant,
    probe_interval: Duration,
    next_probe: Instant,
    hold_until: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Makes a limit in slow start.
    #[must_use]
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            slots: slots.max(1),
            current: 1,
            mode: Mode::SlowStart { answers: 0 },
            epoch: 0,
            window: Vec::with_capacity(WINDOW_SAMPLES),
            service_time: None,
            last_answer: now,
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

    /// Returns the median service time, or zero while unknown.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.unwrap_or(0.0))
    }

    /// Forgets the service time when no answer has confirmed it for one second. Called while nothing is in flight.
    ///
    /// Work whose remaining time is below the service time is refused without being sent. After a few slow answers that
    /// would be all work, so no answer could ever correct the estimate.
    pub fn discard_stale_estimate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_answer) >= MAX_ESTIMATE_AGE {
            self.service_time = None;
        }
    }

    /// Returns the time until which nothing is dispatched after the server refused a lone request.
    #[must_use]
    pub const fn hold_until(&self) -> Option<Instant> {
        self.hold_until
    }

    /// Begins again with one request, after the server or its connections were lost or it has a cold start.
    pub fn restart(&mut self, now: Instant) {
        self.set_limit(1, Mode::SlowStart { answers: 0 }, now);
        self.probe_interval = MIN_PROBE_INTERVAL;
        self.hold_until = None;
    }

    /// Ends the stop of the dispatch when its time is over.
    pub fn on_tick(&mut self, now: Instant) {
        self.hold_until = self.hold_until.filter(|until| now < *until);
    }

    /// Marks a dispatched request. `in_flight` counts it; a request that is not `slotted` tells nothing of the capacity.
    pub fn on_dispatch(&mut self, in_flight: u32, slotted: bool, now: Instant) -> DispatchRecord {
        let saturated = slotted && in_flight >= self.current;
        let epoch = self.epoch;
        if saturated && now >= self.next_probe {
            self.probe_up(now);
        }
        DispatchRecord { epoch, saturated }
    }

    /// Takes the service time of an answered request.
    pub fn on_answer(&mut self, record: DispatchRecord, service_time: Duration, now: Instant) {
        self.hold_until = None;
        self.update_service_time(service_time);
        self.last_answer = now;
        if record.epoch != self.epoch {
            return;
        }
        if let Mode::SlowStart { answers } = self.mode {
            self.advance_slow_start(answers + 1, now);
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

    /// Takes a refusal for lack of capacity. `in_flight` counts the refused request.
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

    fn advance_slow_start(&mut self, answers: u32, now: Instant) {
        if answers < SLOW_START_ANSWERS && self.current < self.slots {
            self.mode = Mode::SlowStart { answers };
            return;
        }
        let raised = (self.current + 1).min(self.slots);
        let mode = if raised == self.slots {
            Mode::Steady { reference: None }
        } else {
            Mode::SlowStart { answers: 0 }
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

    /// Decides on a full window of service times.
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

    /// Changes the limit. Results of requests dispatched before do not count for the new one.
    fn set_limit(&mut self, limit: u32, mode: Mode, now: Instant) {
        self.current = limit;
        self.mode = mode;
        self.epoch += 1;
        self.window.clear();
        self.next_probe = now + self.probe_interval;
    }
}
