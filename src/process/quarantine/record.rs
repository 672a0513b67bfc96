//! Evidence about one request.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::process::quarantine::ServerKey;

/// Number of crashed servers from which a request is suspected. A single crash says nothing: every request that runs at
/// a crashing server sees it.
const SUSPECT_CRASHES: usize = 2;

/// Maximum number of crashed servers that are kept for one request. More do not change any decision.
pub(super) const MAX_CRASHES: usize = 16;

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

/// Quarantine of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conviction {
    /// Time of the last failed trial.
    pub(super) at: Instant,
    /// Number of failed trials.
    pub(super) trials: u32,
}

/// Evidence about one request. What all instances know of it is ordered by counters, because times that are passed on as
/// ages grow with each hop.
#[derive(Debug)]
pub(super) struct Record {
    /// Number of times that an answer cleared the request.
    pub(super) epoch: u32,
    /// Servers that crashed in this epoch.
    pub(super) crashes: IndexSet<ServerKey>,
    /// Number of trials begun in this epoch, at any instance.
    pub(super) trials: u32,
    /// Start of the last trial, if its result is not known.
    pub(super) trial_at: Option<Instant>,
    pub(super) conviction: Option<Conviction>,
    /// Whether other instances may know of the request.
    pub(super) is_shared: bool,
    updated: Instant,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            epoch: 0,
            crashes: IndexSet::new(),
            trials: 0,
            trial_at: None,
            conviction: None,
            is_shared: false,
            updated: now,
        }
    }

    pub(super) const fn updated(&self) -> Instant {
        self.updated
    }

    pub(super) fn has_evidence(&self) -> bool {
        !self.crashes.is_empty() || self.is_convicted()
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.crashes.len() >= SUSPECT_CRASHES || self.is_convicted()
    }

    pub(super) const fn is_convicted(&self) -> bool {
        self.conviction.is_some()
    }

    /// Returns a value that is lower the less is lost by removing the record.
    pub(super) fn weight(&self) -> (bool, usize, Instant) {
        (self.is_convicted(), self.crashes.len(), self.updated)
    }

    /// Returns the time until which the request is refused, if it is in quarantine. `delay` is the share by which the
    /// trials of this instance come later than they could.
    pub(super) fn refused_until(&self, delay: f64) -> Option<Instant> {
        let conviction = self.conviction?;
        let time = match conviction.trials {
            0 | 1 => CONFIRM_AFTER,
            trials => RETRY_AFTER
                .saturating_mul(1 << (trials - 2).min(8))
                .min(RETRY_AFTER_MAX),
        };
        Some(conviction.at + time.mul_f64(1.0 + delay))
    }

    pub(super) fn is_in_trial(&self, now: Instant) -> bool {
        self.trial_at
            .is_some_and(|at| now.saturating_duration_since(at) < TRIAL_TIME)
    }

    pub(super) const fn begin_trial(&mut self, now: Instant) {
        self.trials = self.trials.saturating_add(1);
        self.trial_at = Some(now);
        self.updated = now;
    }

    pub(super) const fn end_trial(&mut self) {
        self.trial_at = None;
    }

    /// Records the crash of a server. Returns whether it is new.
    pub(super) fn add_crash(&mut self, server: ServerKey, now: Instant) -> bool {
        if self.crashes.len() >= MAX_CRASHES || !self.crashes.insert(server) {
            return false;
        }
        self.updated = now;
        true
    }

    pub(super) fn remove_crashes(&mut self, explained: &IndexSet<ServerKey>) {
        self.crashes.retain(|server| !explained.contains(server));
    }

    /// Records that a trial crashed its server.
    pub(super) fn convict(&mut self, now: Instant) {
        self.end_trial();
        let trials = self.conviction.map_or(0, |conviction| conviction.trials);
        self.conviction = Some(Conviction {
            at: now,
            trials: trials.saturating_add(1),
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
        self.epoch = epoch;
        self.crashes.clear();
        self.trials = 0;
        self.trial_at = None;
        self.conviction = None;
        self.updated = now;
    }

    /// Takes over the last trial that another instance knows of, and returns whether it is new.
    pub(super) fn adopt_trial(&mut self, trials: u32, at: Option<Instant>) -> bool {
        let is_new = trials > self.trials;
        if is_new {
            self.trials = trials;
            self.trial_at = at;
        }
        is_new
    }

    /// Takes over the quarantine that another instance reports, and returns whether it is new.
    pub(super) fn adopt_conviction(&mut self, reported: Conviction, now: Instant) -> bool {
        let is_known = self.conviction.is_some_and(|known| known.trials >= reported.trials);
        if is_known {
            return false;
        }
        self.conviction = Some(reported);
        self.end_trial();
        self.updated = now;
        true
    }
}
