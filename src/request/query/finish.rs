//! Merging of replies, completion of parts, and construction of the answer.

use std::time::Instant;

use crate::request::coverage::Coverage;
use crate::request::coverage::MissingRange;
use crate::request::coverage::MissingReason;
use crate::request::coverage::RangeSet;
use crate::request::coverage::ServiceCoverage;
use crate::request::query::Action;
use crate::request::query::Answer;
use crate::request::query::EndReason;
use crate::request::query::Query;
use crate::version::keys::KEY_SPACE;
use crate::version::keys::KeyRange;
use crate::wire::proto::Hits;

impl Query {
    /// Ends an attempt that was answered, and records its latency.
    pub(super) fn observe_answer(&mut self, part: u32, attempt: u32, now: Instant) {
        let sent = self.parts[part as usize].attempts[attempt as usize].sent_at;
        let Some(searcher) = self.end_attempt(part, attempt) else {
            return;
        };
        let latency = now.saturating_duration_since(sent);
        let peers = self.plan.replicas(part);
        let service = self.service_position(part);
        self.fleet.replicas.on_reply(service, searcher, peers, latency, now);
    }

    /// Ends an attempt that is no longer needed, and records its age as a lower bound of its latency.
    pub(super) fn observe_abandoned(&mut self, part: u32, attempt: u32, now: Instant) {
        let sent = self.parts[part as usize].attempts[attempt as usize].sent_at;
        let Some(searcher) = self.end_attempt(part, attempt) else {
            return;
        };
        let waited = now.saturating_duration_since(sent);
        let peers = self.plan.replicas(part);
        let service = self.service_position(part);
        self.fleet.replicas.on_abandoned(service, searcher, peers, waited, now);
    }

    /// Credits the budget of each service with its planned parts. Restarts add no credit, so they cannot fund
    /// themselves.
    pub(super) fn credit_budgets(&self) {
        for (number, service) in self.plan.services.iter().enumerate() {
            let parts = self.plan.parts.iter().filter(|part| part.service as usize == number);
            let budget = self.fleet.budgets.service(service.position);
            budget.on_planned(parts.count() as u32);
        }
    }

    pub(super) fn record_reply_time(&mut self, now: Instant) {
        let started = self.started.unwrap_or(now);
        let elapsed = now.saturating_duration_since(started);
        if self.timings.first_reply.is_zero() {
            self.timings.first_reply = elapsed;
        }
        self.timings.last_reply = elapsed;
    }

    /// Merges the hits of a reply and returns whether the reply covered new keys.
    ///
    /// Only hits for keys that the attempt requested, that the reply claims to cover, and that no earlier reply covered
    /// are merged. Hits of a truncated reply are kept separately, since they do not make their range complete.
    pub(super) fn merge_hits(&mut self, part: u32, attempt: u32, hits: Hits) -> bool {
        let service = self.plan.parts[part as usize].service;
        let state = &mut self.parts[part as usize];
        let answered = hits.range.map_or(KeyRange { start: 0, end: 0 }, |range| KeyRange {
            start: range.start,
            end: range.end,
        });
        let counted = state.attempts[attempt as usize].range.intersection(answered);
        if hits.truncated {
            state.reason = Some(MissingReason::Truncated);
            let kept = hits.hits.into_iter().filter(|hit| counted.contains(hit.key));
            state.truncated.extend(kept);
            return false;
        }
        let newly_covered = state.missing.remove(counted);
        if !state.missing.is_empty() && state.truncated.is_empty() {
            state.reason = Some(MissingReason::NotAnswered);
        }
        for hit in hits.hits {
            if newly_covered.contains(hit.key) {
                self.merger.push(service, hit);
            }
        }
        !newly_covered.is_empty()
    }

    /// Marks a part as finished and cancels its remaining attempts.
    pub(super) fn settle(&mut self, part: u32, now: Instant, out: &mut Vec<Action>) {
        self.parts[part as usize].settled = true;
        self.open_parts -= 1;
        self.cancel_in_flight(part, now, out);
    }

    /// Finishes a part whose remaining keys cannot be obtained. An earlier reason takes precedence over `reason`.
    pub(super) fn give_up(&mut self, part: u32, reason: MissingReason, now: Instant, out: &mut Vec<Action>) {
        let state = &mut self.parts[part as usize];
        state.reason.get_or_insert(reason);
        self.lost_keys += state.missing.len();
        self.settle(part, now, out);
    }

    /// Performs a pending restart, and finishes the query if there is nothing left to wait for.
    pub(super) fn finish_if_done(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        while let Some(pin) = self.pending_restart.take() {
            self.restart_on(pin, now, out);
        }
        if self.open_parts == 0 {
            self.finish(EndReason::Settled, now, out);
        } else if self.attainable_coverage() < self.request.min_coverage {
            self.finish(EndReason::Unattainable, now, out);
        } else if now >= self.answer_by {
            self.finish(EndReason::Deadline, now, out);
        }
    }

    /// Emits the answer. Missing keys of parts that are still open get their reason from `end_reason`.
    pub(super) fn finish(&mut self, end_reason: EndReason, now: Instant, out: &mut Vec<Action>) {
        self.finished = true;
        self.pending_restart = None;
        self.timers.clear();
        for part in 0..self.parts.len() as u32 {
            self.cancel_in_flight(part, now, out);
            self.merge_truncated(part);
        }
        let started = self.started.unwrap_or(now);
        self.timings.total = now.saturating_duration_since(started);
        out.push(Action::Finish(Box::new(Answer {
            snapshot: self.snapshot,
            revision: self.plan.revision(),
            hits: self.merger.finish(),
            coverage: self.coverage(end_reason),
            extra: self.extra,
            timings: self.timings,
            end_reason,
            retry_after: self.retry_after,
        })));
    }

    /// Returns the total number of keys over all services.
    pub(super) fn key_space(&self) -> u64 {
        KEY_SPACE * self.plan.services.len() as u64
    }

    /// Returns the coverage of the answer if all open parts are still answered.
    fn attainable_coverage(&self) -> f64 {
        1.0 - self.lost_keys as f64 / self.key_space() as f64
    }

    fn merge_truncated(&mut self, part: u32) {
        let service = self.plan.parts[part as usize].service;
        let state = &mut self.parts[part as usize];
        for hit in std::mem::take(&mut state.truncated) {
            if state.missing.contains(hit.key) {
                // Overrides the reason of a later refusal, which would report the range of these hits as unanswered.
                state.reason = Some(MissingReason::Truncated);
                self.merger.push(service, hit);
            }
        }
    }

    fn coverage(&self, end_reason: EndReason) -> Coverage {
        let services = self.plan.services.iter().enumerate().map(|(number, planned)| {
            let mut ranges = RangeSet::default();
            let mut missing = Vec::new();
            let parts = self.plan.parts.iter().zip(&self.parts);
            for (part, state) in parts.filter(|(part, _)| part.service as usize == number) {
                ranges.insert(part.range);
                let reason = missing_reason(state.settled, state.reason, end_reason);
                let lost = state.missing.ranges().iter();
                missing.extend(lost.map(|range| MissingRange { range: *range, reason }));
            }
            ServiceCoverage::new(planned.id.clone(), &ranges, missing)
        });
        Coverage {
            services: services.collect(),
        }
    }
}

/// Returns the reason why keys of a part are missing. An open part still waits for an attempt, so the reason of an
/// earlier refusal does not apply to it.
fn missing_reason(settled: bool, reason: Option<MissingReason>, end_reason: EndReason) -> MissingReason {
    match (settled, reason, end_reason) {
        (true, reason, _) => reason.unwrap_or(MissingReason::NotAnswered),
        (false, Some(MissingReason::Truncated), _) => MissingReason::Truncated,
        (false, _, EndReason::Cancelled) => MissingReason::Cancelled,
        (false, _, EndReason::Unattainable) => MissingReason::Abandoned,
        (false, _, _) => MissingReason::Deadline,
    }
}
