//! Evidence about one request.

use std::time::Duration;
use std::time::Instant;

use crate::process::quarantine::ServerKey;

/// Number of crashes from which a request is suspected. A single crash says nothing: every request that runs at a
/// crashing server sees it.
const SUSPECT_CRASHES: usize = 2;

/// Maximum number of crashes that are kept for one request. More do not change any decision.
pub(super) const MAX_CRASHES: usize = 16;

/// Time within which crashes of one server that are seen by several runs of a request are one crash. A process takes
/// longer to start again.
const SAME_CRASH: Duration = Duration::from_millis(200);

/// Time within which crashes of one server that are seen by different requests have the same cause. Instances learn of a
/// crash at different times.
const SAME_CAUSE: Duration = Duration::from_secs(1);

/// Time from the start of a trial after which another one may begin although the result of the first is not known.
pub(super) const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Time from the first failed trial to the second. It is short, because the server may have crashed for another reason
/// just then.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);

/// Time from the second failed trial to the third. It doubles with each further one: the fault lasts until the servers
/// are repaired, and each trial costs a server.
const RETRY_AFTER: Duration = Duration::from_secs(60);

/// Maximum time between trials, so that a request is served again soon after the servers are repaired.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(600);

/// Crash of a server while it ran the request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash {
    pub(super) server: ServerKey,
    /// Number of earlier crashes of the same server under the request. A server that is back may keep its name, and the
    /// platform may not have told its new start time yet.
    pub(super) occurrence: u32,
    /// Time at which this instance learned of the crash.
    pub(super) at: Instant,
}

impl Crash {
    fn has_cause_of(&self, other: &Self) -> bool {
        let apart = self.at.max(other.at) - self.at.min(other.at);
        self.server == other.server && apart <= SAME_CAUSE
    }
}

/// Trials that crashed their server.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedTrials {
    pub(super) count: u32,
    /// Time of the last one.
    pub(super) last: Instant,
}

/// Evidence about one request. What all instances know of it is ordered by counters, because times that are passed on as
/// ages grow with each hop.
#[derive(Debug)]
pub(super) struct Record {
    /// Number of times that an answer cleared the request.
    pub(super) epoch: u32,
    /// Crashes in this epoch.
    pub(super) crashes: Vec<Crash>,
    /// Number of trials begun in this epoch, at any instance.
    pub(super) trials: u32,
    /// Start of the last trial, if its result is not known.
    pub(super) trial_at: Option<Instant>,
    pub(super) failed: Option<FailedTrials>,
    /// Time since which a trial waits for a server that can be lost.
    pub(super) waits_since: Option<Instant>,
    /// Whether other instances may know of the request.
    pub(super) is_shared: bool,
    updated: Instant,
}

impl Record {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            epoch: 0,
            crashes: Vec::new(),
            trials: 0,
            trial_at: None,
            failed: None,
            waits_since: None,
            is_shared: false,
            updated: now,
        }
    }

    pub(super) const fn updated(&self) -> Instant {
        self.updated
    }

    pub(super) const fn has_evidence(&self) -> bool {
        !self.crashes.is_empty() || self.has_failed_trial()
    }

    pub(super) const fn is_suspected(&self) -> bool {
        self.crashes.len() >= SUSPECT_CRASHES || self.has_failed_trial()
    }

    pub(super) const fn has_failed_trial(&self) -> bool {
        self.failed.is_some()
    }

    /// Returns whether `server` crashed under the request at about `at`.
    pub(super) fn has_crash(&self, server: ServerKey, at: Instant) -> bool {
        let crash = Crash {
            server,
            occurrence: 0,
            at,
        };
        self.crashes.iter().any(|known| known.has_cause_of(&crash))
    }

    /// Returns when this instance learned of the last crash.
    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Returns the servers that crashed under the request less than `time` ago.
    pub(super) fn crashed_within(&self, time: Duration, now: Instant) -> Vec<ServerKey> {
        let recent = self.crashes.iter();
        let recent = recent.filter(|crash| now.saturating_duration_since(crash.at) < time);
        recent.map(|crash| crash.server).collect()
    }

    /// Returns a value that is lower the less is lost by removing the record.
    pub(super) fn weight(&self) -> (bool, usize, Instant) {
        (self.has_failed_trial(), self.crashes.len(), self.updated)
    }

    /// Returns the time until which the request is refused, if it is in quarantine. `delay` is the share by which the
    /// trials of this instance come later than they could.
    pub(super) fn refused_until(&self, delay: f64) -> Option<Instant> {
        let failed = self.failed?;
        let time = match failed.count {
            0 | 1 => CONFIRM_AFTER,
            count => RETRY_AFTER.saturating_mul(1 << (count - 2).min(8)).min(RETRY_AFTER_MAX),
        };
        Some(failed.last + time.mul_f64(1.0 + delay))
    }

    pub(super) fn is_in_trial(&self, now: Instant) -> bool {
        self.trial_at
            .is_some_and(|at| now.saturating_duration_since(at) < TRIAL_TIME)
    }

    pub(super) const fn begin_trial(&mut self, now: Instant) {
        self.trials = self.trials.saturating_add(1);
        self.trial_at = Some(now);
        self.waits_since = None;
        self.updated = now;
    }

    pub(super) const fn end_trial(&mut self) {
        self.trial_at = None;
    }

    /// Records a crash that this instance saw. Returns whether it is new.
    pub(super) fn add_crash(&mut self, server: ServerKey, now: Instant) -> bool {
        let known = self.crashes.iter().filter(|crash| crash.server == server);
        let last = known.max_by_key(|crash| crash.occurrence);
        if last.is_some_and(|last| now.saturating_duration_since(last.at) < SAME_CRASH) {
            return false;
        }
        let occurrence = last.map_or(0, |last| last.occurrence.saturating_add(1));
        self.add_reported_crash(server, occurrence, now)
    }

    /// Records a crash that another instance reports. Returns whether it is new.
    pub(super) fn add_reported_crash(&mut self, server: ServerKey, occurrence: u32, now: Instant) -> bool {
        let is_known = |crash: &Crash| crash.server == server && crash.occurrence == occurrence;
        if self.crashes.len() >= MAX_CRASHES || self.crashes.iter().any(is_known) {
            return false;
        }
        self.crashes.push(Crash {
            server,
            occurrence,
            at: now,
        });
        self.updated = now;
        true
    }

    /// Removes the crashes that another request caused.
    pub(super) fn remove_crashes(&mut self, caused: &[Crash]) {
        self.crashes
            .retain(|crash| !caused.iter().any(|other| other.has_cause_of(crash)));
    }

    /// Records that a trial crashed its server.
    pub(super) fn on_failed_trial(&mut self, now: Instant) {
        self.end_trial();
        let count = self.failed.map_or(0, |failed| failed.count);
        self.failed = Some(FailedTrials {
            count: count.saturating_add(1),
            last: now,
        });
        self.updated = now;
    }

    /// Begins a new epoch, because a server answered the request.
    pub(super) fn clear(&mut self, now: Instant) {
        self.begin_epoch(self.epoch.saturating_add(1), now);
    }

    /// Begins the epoch that another instance reports if it is later, and returns whether it is.
    pub(super) fn adopt_epoch(&mut self, epoch: u32, now: Instant) -> bool {
        let is_new = epoch > self.epoch;
        if is_new {
            self.begin_epoch(epoch, now);
        }
        is_new
    }

    fn begin_epoch(&mut self, epoch: u32, now: Instant) {
        *self = Self {
            epoch,
            is_shared: self.is_shared,
            ..Self::new(now)
        };
    }

    /// Takes over the last trial that another instance knows of, and returns whether it is new.
    pub(super) const fn adopt_trial(&mut self, trials: u32, at: Option<Instant>) -> bool {
        let is_new = trials > self.trials;
        if is_new {
            self.trials = trials;
            self.trial_at = at;
        }
        is_new
    }

    /// Takes over the failed trials that another instance reports, and returns whether there are more of them.
    pub(super) fn adopt_failed(&mut self, reported: FailedTrials, now: Instant) -> bool {
        if self.failed.is_some_and(|known| known.count >= reported.count) {
            return false;
        }
        self.failed = Some(reported);
        self.end_trial();
        self.updated = now;
        true
    }
}
