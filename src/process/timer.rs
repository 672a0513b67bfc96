//! Timer service that all parts of a process subscribe to.
//!
//! One service owns the reading of clocks. Decision code takes `now` as an argument, so tests and experiments drive it
//! with a [`VirtualClock`]. The service also notices that the process was paused, because an old view of ownership must
//! not be acted on after a pause (see "Membership" in `docs/design.md`).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Longest wait of a subscriber between two readings of the clock. It lies well below [`PAUSE_THRESHOLD`].
pub const MAX_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Gap between two readings from which the process counts as paused. It lies above ordinary scheduling delays and below
/// the 3 s in which ownership may move.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(750);

/// Source of the current time.
#[derive(Debug, Clone)]
pub enum Clock {
    /// The monotonic clock of the machine.
    System,
    /// A clock that only its owner moves.
    Virtual(VirtualClock),
}

impl Clock {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        match self {
            Self::System => Instant::now(),
            Self::Virtual(clock) => clock.now(),
        }
    }
}

/// Clock of tests and experiments. It starts at an arbitrary instant and moves only by [`VirtualClock::advance`].
#[derive(Debug, Clone)]
pub struct VirtualClock {
    now: Arc<Mutex<Instant>>,
}

impl VirtualClock {
    /// Makes a clock that stands still.
    #[must_use]
    pub fn new() -> Self {
        Self {
            now: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Returns the current time of this clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        *now += duration;
    }
}

impl Default for VirtualClock {
    fn default() -> Self {
        Self::new()
    }
}

/// One reading of the clock by a subscriber.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// Time of the reading.
    pub now: Instant,
    /// Length of the gap since the subscriber's last reading when it reached [`PAUSE_THRESHOLD`].
    pub pause: Option<Duration>,
}

/// Compares successive readings and reports gaps that show a pause of the process.
#[derive(Debug)]
pub struct PauseDetector {
    last_read: Instant,
}

impl PauseDetector {
    /// Starts at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { last_read: now }
    }

    /// Takes the next reading of the clock and returns the gap when it reached [`PAUSE_THRESHOLD`].
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_read);
        self.last_read = now;
        (gap >= PAUSE_THRESHOLD).then_some(gap)
    }
}

/// Timer service of a process. Parts subscribe to it.
#[derive(Debug, Clone)]
pub struct Timer {
    clock: Clock,
}

impl Timer {
    /// Makes a service that reads `clock`.
    #[must_use]
    pub const fn new(clock: Clock) -> Self {
        Self { clock }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Subscribes a part that must notice pauses.
    #[must_use]
    pub fn subscribe(&self) -> Subscription {
        let detector = PauseDetector::new(self.now());
        Subscription {
            timer: self.clone(),
            detector,
        }
    }

    /// Waits until the time `at`; `None` never ends.
    ///
    /// A virtual clock is never waited for here: tests and experiments take the next wakeup from the state machine.
    pub async fn sleep_until(&self, deadline: Option<Instant>) {
        match deadline {
            Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
            None => std::future::pending().await,
        }
    }
}

/// Subscription of one part to the timer service.
///
/// Each subscriber has its own detector, because a part must learn of every pause itself: a flag shared by all would be
/// overwritten before a slow part has seen it.
#[derive(Debug)]
pub struct Subscription {
    timer: Timer,
    detector: PauseDetector,
}

impl Subscription {
    /// Waits until the time `at`, and at most [`MAX_READ_INTERVAL`], so that a longer gap between readings shows a pause. The wait
    /// may be cancelled.
    pub async fn wait(&self, deadline: Option<Instant>) {
        let latest = self.detector.last_read + MAX_READ_INTERVAL;
        let deadline = deadline.map_or(latest, |deadline| deadline.min(latest));
        self.timer.sleep_until(Some(deadline)).await;
    }

    /// Reads the clock.
    pub fn read(&mut self) -> ClockReading {
        let now = self.timer.now();
        let pause = self.detector.observe(now);
        ClockReading { now, pause }
    }
}
