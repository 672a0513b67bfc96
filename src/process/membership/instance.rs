//! Observations of one instance, and the state derived from them.

use std::time::Duration;
use std::time::Instant;

use crate::ids::DataCentreId;
use crate::ids::Incarnation;
use crate::process::membership::view::ListItem;
use crate::process::membership::view::Role;
use crate::process::membership::view::State;

/// Time without a message on an open session after which the instance is suspect. It spans several pings, so one lost
/// reply is not enough.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a suspect instance is down.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which an instance must respond after a failure before it is up again. It doubles with each failure.
pub const RECOVERY_HOLD: Duration = Duration::from_millis(500);

/// Time without failures after which the doublings of [`RECOVERY_HOLD`] are reset.
const FAILURE_RESET: Duration = Duration::from_secs(60);

/// Maximum number of doublings of [`RECOVERY_HOLD`], which limits it to 16 s.
const MAX_DOUBLINGS: u32 = 5;

/// Observations of one instance.
#[derive(Debug, Clone)]
pub(super) struct InstanceRecord {
    pub role: Role,
    pub data_centre: DataCentreId,
    pub listed: Option<ListItem>,
    pub incarnation: Incarnation,
    pub state: State,
    /// Greatest incarnation that announced its stop.
    announced_stop: Option<Incarnation>,
    /// Incarnation that was known when the list marked the instance as leaving.
    list_leaving: Option<Incarnation>,
    last_heard: Option<Instant>,
    has_session: bool,
    failed_since: Option<Instant>,
    responsive_since: Option<Instant>,
    failures: u32,
    last_failure: Option<Instant>,
    pub absent_since: Option<Instant>,
}

impl InstanceRecord {
    pub fn new(role: Role) -> Self {
        Self {
            role,
            data_centre: DataCentreId::default(),
            listed: None,
            incarnation: 0,
            state: State::Down,
            announced_stop: None,
            list_leaving: None,
            last_heard: None,
            has_session: false,
            failed_since: None,
            responsive_since: None,
            failures: 0,
            last_failure: None,
            absent_since: None,
        }
    }

    /// Applies the item of a newer list, or its absence.
    pub fn on_listed(&mut self, listed: Option<ListItem>, now: Instant) {
        let was_leaving = self.listed.as_ref().is_some_and(|listed| listed.leaving);
        let is_leaving = listed.as_ref().is_some_and(|listed| listed.leaving);
        if is_leaving && !was_leaving {
            self.list_leaving = Some(self.incarnation);
        }
        if was_leaving && listed.is_some() && !is_leaving {
            // The list no longer marks the instance as leaving. Only a newer list can say so, so an announced stop is
            // cleared too.
            self.list_leaving = None;
            self.announced_stop = None;
        }
        self.absent_since = match (&listed, self.absent_since) {
            (Some(_), _) => None,
            (None, Some(since)) => Some(since),
            (None, None) => Some(now),
        };
        if let Some(listed) = &listed {
            self.data_centre = listed.data_centre.clone();
        }
        self.listed = listed;
    }

    /// Records a session with an incarnation. Returns whether the incarnation is new.
    pub fn on_session(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        let is_new = self.incarnation < incarnation;
        self.has_session = true;
        self.incarnation = self.incarnation.max(incarnation);
        self.on_heard(now);
        is_new
    }

    pub fn on_heard(&mut self, now: Instant) {
        self.last_heard = Some(now);
        if self.failed_since.is_some() && self.responsive_since.is_none() {
            self.responsive_since = Some(now);
        }
    }

    pub fn on_session_lost(&mut self, now: Instant) {
        self.has_session = false;
        self.record_failure(now);
    }

    pub fn on_connect_failed(&mut self, now: Instant) {
        self.has_session = false;
        self.record_failure(now);
    }

    /// Marks an incarnation as leaving. Returns whether it was not marked before.
    pub fn on_leaving(&mut self, incarnation: Incarnation) -> bool {
        let is_new = self.announced_stop.is_none_or(|known| known < incarnation);
        if is_new {
            self.announced_stop = Some(incarnation);
        }
        is_new
    }

    /// Restarts the timers of silence and failure, because the pause of this process is not a failure of the instance.
    pub fn on_pause(&mut self, now: Instant) {
        if self.has_session {
            self.last_heard = Some(now);
        }
        if self.failed_since.is_some() {
            self.failed_since = Some(now);
            self.responsive_since = None;
        }
    }

    /// Updates the state at `now`. Returns whether it changed.
    pub fn update_state(&mut self, now: Instant) -> bool {
        self.check_silence(now);
        self.check_recovery(now);
        let state = self.compute_state(now);
        let changed = state != self.state;
        self.state = state;
        changed
    }

    fn record_failure(&mut self, now: Instant) {
        self.responsive_since = None;
        if self.failed_since.is_none() {
            self.failed_since = Some(now);
            self.failures = (self.failures + 1).min(MAX_DOUBLINGS + 1);
        }
        self.last_failure = Some(now);
    }

    fn check_silence(&mut self, now: Instant) {
        let silent = self.last_heard.is_some_and(|heard| now >= heard + SILENCE_TIMEOUT);
        if self.has_session && silent && (self.failed_since.is_none() || self.responsive_since.is_some()) {
            let since = self.failed_since;
            self.record_failure(now);
            self.failed_since = since.or(self.failed_since);
        }
    }

    fn check_recovery(&mut self, now: Instant) {
        if let Some(last) = self.last_failure
            && self.failed_since.is_none()
            && now >= last + FAILURE_RESET
        {
            self.failures = 0;
            self.last_failure = None;
        }
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let hold = RECOVERY_HOLD * 2_u32.pow(doublings);
        let recovered = self.has_session && self.responsive_since.is_some_and(|since| now >= since + hold);
        if recovered {
            self.failed_since = None;
            self.responsive_since = None;
        }
    }

    fn compute_state(&self, now: Instant) -> State {
        let is_stopped = |stopped: Option<Incarnation>| stopped.is_some_and(|stopped| self.incarnation <= stopped);
        if is_stopped(self.announced_stop) || is_stopped(self.list_leaving) {
            return State::Leaving;
        }
        if let Some(failed_since) = self.failed_since {
            let is_down = now >= failed_since + SUSPECT_TIMEOUT || self.listed.is_none();
            return if is_down { State::Down } else { State::Suspect };
        }
        if self.has_session || self.listed.is_some() {
            State::Up
        } else {
            State::Down
        }
    }
}
