//! Reports by which instances tell each other about requests under which servers crashed.
//!
//! A report holds all evidence about a request, and what it adds is decided by counters and sets. So reports may be lost,
//! repeated or arrive in any order, and those that say nothing new are not passed on.

use std::time::Duration;
use std::time::Instant;

use crate::process::quarantine::Change;
use crate::process::quarantine::Quarantine;
use crate::process::quarantine::RECORD_TTL;
use crate::process::quarantine::record::FailedTrials;
use crate::process::quarantine::record::MAX_CRASHES;
use crate::process::quarantine::record::Record;
use crate::request::fingerprint::Fingerprint;
use crate::wire::proto;

/// Maximum number of reports in one message, 200 bytes each at most.
pub const MAX_REPORTS: usize = 32;

impl Quarantine {
    /// Returns reports about the requests with the most evidence, for an instance that may know nothing.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<proto::SuspectRequest> {
        let shared = self.records.iter().filter(|(_, record)| record.is_shared);
        let mut shared: Vec<(&Fingerprint, &Record)> = shared.collect();
        shared.sort_by_key(|(_, record)| std::cmp::Reverse(record.weight()));
        let chosen = shared.into_iter().take(MAX_REPORTS);
        chosen.map(|(request, record)| report(*request, record, now)).collect()
    }

    /// Returns whether [`Quarantine::take_news`] has anything to return.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns reports about requests that have changed since the last call. Call it again while
    /// [`Quarantine::has_news`].
    pub fn take_news(&mut self, now: Instant) -> Vec<proto::SuspectRequest> {
        let count = self.news.len().min(MAX_REPORTS);
        let news: Vec<Fingerprint> = self.news.drain(..count).collect();
        let reports = news.into_iter().filter_map(|request| {
            let record = self.records.get_mut(&request)?;
            record.is_shared = true;
            Some(report(request, record, now))
        });
        reports.collect()
    }

    /// Applies the reports of another instance, and returns what has changed. Reports that say anything new become news
    /// here as well, so that they reach instances that the sender does not know.
    pub fn on_reports(&mut self, reports: &[proto::SuspectRequest], now: Instant) -> Vec<(Fingerprint, Change)> {
        let reports = reports.iter().take(MAX_REPORTS);
        let changes = reports.filter_map(|report| {
            let request = Fingerprint(report.fingerprint);
            Some((request, self.on_report(request, report, now)?))
        });
        changes.collect()
    }

    fn on_report(&mut self, request: Fingerprint, report: &proto::SuspectRequest, now: Instant) -> Option<Change> {
        // No instance keeps evidence for longer.
        let at = |age_us: u64| {
            let age = Some(Duration::from_micros(age_us)).filter(|age| *age <= RECORD_TTL);
            age.and_then(|age| now.checked_sub(age))
        };
        if !self.records.contains_key(&request) && report.crashes.is_empty() && report.failed_trials == 0 {
            return None;
        }
        let crashes = report.crashes.iter().take(MAX_CRASHES);
        let crashes = crashes.filter(|crash| !self.is_caused_by_another(crash.server, request, now));
        let crashes: Vec<&proto::ServerCrash> = crashes.collect();
        let trial_delay = self.trial_delay;
        let record = self.record(request, now);
        if report.epoch < record.epoch {
            return None;
        }
        record.is_shared = true;
        let before = (record.is_suspected(), record.has_failed_trial());
        let mut is_news = record.adopt_epoch(report.epoch, now);
        for crash in crashes {
            is_news |= record.add_reported_crash(crash.server, crash.occurrence, now);
        }
        is_news |= record.adopt_trial(report.trials, report.trial_age_us.and_then(at));
        let count = report.failed_trials;
        if let Some(last) = at(report.failed_age_us).filter(|_| count > 0) {
            is_news |= record.adopt_failed(FailedTrials { count, last }, now);
        }
        let after = (record.is_suspected(), record.has_failed_trial());
        let refused_until = record.refused_until(trial_delay);
        if is_news {
            self.news.insert(request);
            self.withdraw_caused(request);
        }
        match (before, after) {
            ((_, false), (_, true)) => {
                refused_until.map(|until| Change::Quarantined(until.saturating_duration_since(now)))
            }
            ((false, _), (true, _)) => Some(Change::Suspected),
            ((true, _), (false, _)) => Some(Change::Cleared),
            _ => None,
        }
    }
}

fn report(request: Fingerprint, record: &Record, now: Instant) -> proto::SuspectRequest {
    let age = |at: Instant| u64::try_from(now.saturating_duration_since(at).as_micros()).unwrap_or(u64::MAX);
    let crashes = record.crashes.iter().map(|crash| proto::ServerCrash {
        server: crash.server,
        occurrence: crash.occurrence,
    });
    proto::SuspectRequest {
        fingerprint: request.0,
        epoch: record.epoch,
        crashes: crashes.collect(),
        trials: record.trials,
        trial_age_us: record.trial_at.map(age),
        failed_trials: record.failed.map_or(0, |failed| failed.count),
        failed_age_us: record.failed.map_or(0, |failed| age(failed.last)),
    }
}
