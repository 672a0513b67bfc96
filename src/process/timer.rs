//! Timer service of a process, with detection of process pauses.
//!
//! Tasks read the clock through this service. State machines take `now` as an argument, so that tests and simulations
//! can drive them with a [`VirtualClock`]. The service also detects that the process was paused, because an outdated
//! view of ownership must not be used after a pause (see "Membership" in `docs/design.md`).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Maximum interval between two clock readings of a subscriber. It is well below [`PAUSE_THRESHOLD`].
pub const MAX_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between two clock readings that counts as a pause of the process. It is above usual scheduling
/// delays and below the 3 s after which ownership may move.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(750);

/// Source of the current time.
#[derive(Debug, Clone)]
pub enum Clock {
    /// Monotonic clock of the operating system.
    System,
    /// Clock that is advanced explicitly.
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

/// Clock for tests and simulations. It starts at an arbitrary instant and changes only by [`VirtualClock::advance`].
#[derive(Debug, Clone)]
pub struct VirtualClock {
    now: Arc<Mutex<Instant>>,
}

impl VirtualClock {
    /// Creates a clock that shows the same time until it is advanced.
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

    /// Advances the clock by `duration`.
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

/// Result of [`Subscription::read`].
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// Time of the reading.
    pub now: Instant,
    /// Time since the previous reading if it is at least [`PAUSE_THRESHOLD`].
    pub pause: Option<Duration>,
}

/// Detects pauses of the process from the intervals between clock readings.
#[derive(Debug)]
pub struct PauseDetector {
    last_read: Instant,
}

impl PauseDetector {
    /// Creates a detector with `now` as the first reading.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { last_read: now }
    }

    /// Records a clock reading and returns the time since the previous one if it is at least [`PAUSE_THRESHOLD`].
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_read);
        self.last_read = now;
        (gap >= PAUSE_THRESHOLD).then_some(gap)
    }
}

/// Timer service of a process.
#[derive(Debug, Clone)]
pub struct Timer {
    clock: Clock,
}

impl Timer {
    /// Creates a timer service that reads `clock`.
    #[must_use]
    pub const fn new(clock: Clock) -> Self {
        Self { clock }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Creates a subscription for a task that must detect pauses.
    #[must_use]
    pub fn subscribe(&self) -> Subscription {
        let detector = PauseDetector::new(self.now());
        Subscription {
            timer: self.clone(),
            detector,
        }
    }

    /// Sleeps until `deadline`, or forever for `None`.
    ///
    /// Always uses the system clock. Tests and simulations with a virtual clock take the next wakeup from the state
    /// machine instead.
    pub async fn sleep_until(&self, deadline: Option<Instant>) {
        match deadline {
            Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
            None => std::future::pending().await,
        }
    }
}

/// Subscription of one task to the timer service.
///
/// Each subscription has its own detector, because every task must detect every pause. A shared flag could be reset
/// before a slow task has read it.
#[derive(Debug)]
pub struct Subscription {
    timer: Timer,
    detector: PauseDetector,
}

impl Subscription {
    /// Sleeps until `deadline`, but at most until [`MAX_READ_INTERVAL`] after the last reading, so that a longer
    /// interval indicates a pause. Cancel safe.
    pub async fn wait(&self, deadline: Option<Instant>) {
        let latest = self.detector.last_read + MAX_READ_INTERVAL;
        let deadline = deadline.map_or(latest, |deadline| deadline.min(latest));
        self.timer.sleep_until(Some(deadline)).await;
    }

    /// Reads the clock and checks for a pause since the previous reading.
    pub fn read(&mut self) -> ClockReading {
        let now = self.timer.now();
        let pause = self.detector.observe(now);
        ClockReading { now, pause }
    }
}
