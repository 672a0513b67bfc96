//! Requests that crash the backend servers that run them, and how to treat such a request when it comes again.
//!
//! Load pattern: one request crashes each server that runs it, callers send it again at any instance, and a search
//! reaches a server of each shard before anything is known. Servers crash for many other reasons as well, and all requests
//! that run at one of them see the crash. Three rules find the request that is the cause:
//!
//! * A request that any server answered is not the cause. This clears most requests at once, since a search goes to many
//!   servers and a repeated request to another one.
//! * A request that saw two crashes, and that no server answered, is suspected. A second after the last crash it is run at a
//!   single server as a trial; meanwhile its other arrivals are refused. An answer clears it.
//! * A request whose trial crashed the server as well is in quarantine: it is refused until the next trial is due, after
//!   two seconds at first and after minutes once a second trial has failed. The crashes that it caused no longer count
//!   against other requests.
//!
//! Each instance sees only a part of the crashes, so instances exchange [`report`]s. See "Requests that crash servers" in
//! `docs/design/platform.md`.

mod record;
pub mod report;

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::process::quarantine::record::Record;
use crate::request::fingerprint::Fingerprint;

/// Maximum number of requests about which evidence is kept, 1 KB each at most.
pub const MAX_RECORDS: usize = 1024;

/// `Retry-After` time of a request that comes during a trial.
const TRIAL_RETRY: Duration = Duration::from_millis(200);

/// Time from the last crash to a trial. A request may have been aborted at servers that crash a moment later, and each
/// instance learns from its own requests which servers are down.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// `Retry-After` time of a request whose trial waits until crashed servers are back.
const SPARE_RETRY: Duration = Duration::from_secs(1);

/// Maximum time for which a trial waits for a server that can be lost. Servers are back after some seconds; one that is
/// not may never return.
const SPARE_WAIT: Duration = Duration::from_secs(10);

/// Time after its crash in which a server counts as down.
pub const DOWN_TIME: Duration = Duration::from_secs(5);

/// Number of available servers that a service needs for a trial, so that others are left if the trial crashes one.
const SPARE_SERVERS: usize = 2;

/// Time for which evidence is kept after the last event. It exceeds the longest quarantine.
const RECORD_TTL: Duration = Duration::from_secs(1800);

/// Identifies one incarnation of a backend server at all instances.
pub type ServerKey = u64;

/// Requirements on the servers of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialLimits {
    /// Servers that crashed under the request within [`DOWN_TIME`].
    pub crashed: Vec<ServerKey>,
    /// Minimum number of available servers of the service, or all of its servers if it has fewer.
    pub min_available: usize,
}

/// How to treat a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Run it as any other.
    Run,
    /// Run it at one server, and go on only if that one answers.
    Trial,
    /// Refuse it, with this time until its next arrival may be admitted.
    Refuse(Duration),
}

/// Change of what is believed of a request, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Enough servers have crashed for the next run to be a trial.
    Suspected,
    /// A trial crashed its server, so the request is refused for this time.
    Quarantined(Duration),
    /// A server answered the request.
    Cleared,
}

/// Evidence about requests under which servers crashed.
#[derive(Debug)]
pub struct Quarantine {
    records: IndexMap<Fingerprint, Record>,
    /// Requests about which other instances have to be told.
    news: IndexSet<Fingerprint>,
    /// Request whose trial this instance has begun, with the time. Trials that share a server cannot be told apart.
    own_trial: Option<(Fingerprint, Instant)>,
    /// Share by which this instance delays later trials, from 0 to 1. Instances differ in it, so that mostly one of them
    /// makes the trial and tells the others its result.
    trial_delay: f64,
}

impl Quarantine {
    /// Creates an empty quarantine. `trial_delay`, from 0 to 1, should differ between instances.
    #[must_use]
    pub fn new(trial_delay: f64) -> Self {
        Self {
            records: IndexMap::new(),
            news: IndexSet::new(),
            own_trial: None,
            trial_delay: trial_delay.clamp(0.0, 1.0),
        }
    }

    /// Returns whether there is no evidence about any request, as is usual.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests about which there is evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of requests that are refused at `now`.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.refused_until(self.trial_delay).is_some_and(|until| now < until))
            .count()
    }

    /// Decides how to treat a request that arrives. The caller reports the end of a trial by
    /// [`Quarantine::on_trial_end`] if the server neither answered nor crashed.
    ///
    /// `can_try` returns whether a server meets the limits. A trial at the last server of a shard could cost all other
    /// requests their answers.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        now: Instant,
        can_try: impl FnOnce(&TrialLimits) -> bool,
    ) -> Admission {
        let is_trying = self
            .own_trial
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < record::TRIAL_TIME);
        let Some(record) = self.records.get_mut(&request) else {
            return Admission::Run;
        };
        if let Some(until) = record.refused_until(self.trial_delay).filter(|until| now < *until) {
            return Admission::Refuse(until.saturating_duration_since(now));
        }
        if !record.is_suspected() {
            return Admission::Run;
        }
        let settled = record.last_crash().map_or(now, |last| last + SETTLE_TIME);
        if now < settled {
            return Admission::Refuse(settled.saturating_duration_since(now));
        }
        if is_trying || record.is_in_trial(now) {
            return Admission::Refuse(TRIAL_RETRY);
        }
        let waited = now.saturating_duration_since(*record.waits_since.get_or_insert(now));
        let limits = TrialLimits {
            crashed: record.crashed_within(DOWN_TIME, now),
            min_available: if waited < SPARE_WAIT { SPARE_SERVERS } else { 1 },
        };
        if !can_try(&limits) {
            return Admission::Refuse(SPARE_RETRY);
        }
        self.own_trial = Some((request, now));
        record.begin_trial(now);
        record.is_shared = true;
        self.news.insert(request);
        Admission::Trial
    }

    /// Returns whether a request that arrived now would be refused because of failed trials.
    #[must_use]
    pub fn is_refused(&self, request: Fingerprint, now: Instant) -> bool {
        let record = self.records.get(&request);
        let until = record.and_then(|record| record.refused_until(self.trial_delay));
        until.is_some_and(|until| now < until)
    }

    /// Returns whether a request must not be sent to further servers unless one has answered it.
    #[must_use]
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(Record::is_suspected)
    }

    /// Records that a server crashed while it ran a request that no server has answered.
    pub fn on_crash(
        &mut self,
        request: Fingerprint,
        server: ServerKey,
        is_trial: bool,
        now: Instant,
    ) -> Option<Change> {
        if self.is_caused_by_another(server, request, now) {
            return None;
        }
        let trial_delay = self.trial_delay;
        let record = self.record(request, now);
        let was_suspected = record.is_suspected();
        record.add_crash(server, now);
        if !record.is_suspected() {
            return None;
        }
        let until = if is_trial && was_suspected {
            record.on_failed_trial(now);
            record.refused_until(trial_delay)
        } else {
            None
        };
        self.own_trial = self.own_trial.filter(|(trial, _)| !is_trial || *trial != request);
        self.news.insert(request);
        self.withdraw_caused(request);
        match until {
            Some(until) => Some(Change::Quarantined(until.saturating_duration_since(now))),
            None => (!was_suspected).then_some(Change::Suspected),
        }
    }

    /// Records that a request ended without an answer, so that a single crash is reported to other instances. Otherwise
    /// each of them would have to see two.
    pub fn on_unanswered(&mut self, request: Fingerprint) {
        if self.records.get(&request).is_some_and(Record::has_evidence) {
            self.news.insert(request);
        }
    }

    /// Records that a server answered a request.
    pub fn on_answer(&mut self, request: Fingerprint, now: Instant) -> Option<Change> {
        self.own_trial = self.own_trial.filter(|(trial, _)| *trial != request);
        let record = self.records.get_mut(&request)?;
        if !record.has_evidence() {
            return None;
        }
        if !record.is_shared {
            self.records.swap_remove(&request);
            self.news.swap_remove(&request);
            return None;
        }
        let was_suspected = record.is_suspected();
        record.clear(now);
        self.news.insert(request);
        was_suspected.then_some(Change::Cleared)
    }

    /// Records that a trial ended without showing anything, for example because no server was available.
    pub fn on_trial_end(&mut self, request: Fingerprint) {
        self.own_trial = self.own_trial.filter(|(trial, _)| *trial != request);
        if let Some(record) = self.records.get_mut(&request) {
            record.end_trial();
        }
    }

    /// Removes evidence that is too old to matter.
    pub fn on_tick(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now.saturating_duration_since(record.updated()) < RECORD_TTL);
    }

    /// Returns whether a crash of `server` was caused by another request than `request`: one with a failed trial that saw
    /// no fewer crashes.
    fn is_caused_by_another(&self, server: ServerKey, request: Fingerprint, now: Instant) -> bool {
        let crashes = self.records.get(&request).map_or(0, |record| record.crashes.len());
        let mut others = self.records.iter().filter(|(other, _)| **other != request);
        others.any(|(_, other)| {
            other.has_failed_trial() && other.crashes.len() >= crashes && other.has_crash(server, now)
        })
    }

    /// Withdraws the crashes that a request with a failed trial caused from the evidence about all others. One that saw
    /// more crashes is the more likely cause, and keeps its own.
    fn withdraw_caused(&mut self, request: Fingerprint) {
        let Some(cause) = self.records.get(&request).filter(|record| record.has_failed_trial()) else {
            return;
        };
        let caused = cause.crashes.clone();
        for (other, record) in &mut self.records {
            if *other != request && !record.has_failed_trial() && record.crashes.len() <= caused.len() {
                record.remove_crashes(&caused);
            }
        }
    }

    /// Returns the record of a request. If there is none and no room for one, the record with the least evidence is
    /// removed.
    fn record(&mut self, request: Fingerprint, now: Instant) -> &mut Record {
        if !self.records.contains_key(&request) && self.records.len() >= MAX_RECORDS {
            let least = self.records.iter().min_by_key(|(_, record)| record.weight());
            if let Some(least) = least.map(|(request, _)| *request) {
                self.records.swap_remove(&least);
                self.news.swap_remove(&least);
            }
        }
        self.records.entry(request).or_insert_with(|| Record::new(now))
    }
}
