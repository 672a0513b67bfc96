//! State machine of a search: send, hedge, retry, restart on another snapshot, merge, finish.
//!
//! The owner of a query carries out its [`Action`]s and reports the results back. It also routes each searcher to a
//! leaf, and reports an unreachable leaf through [`Query::on_session_lost`]. See
//! `docs/design/snapshots-and-coverage.md` and `docs/design/stragglers.md`.

mod action;
mod finish;
mod part;
mod select;
mod send;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::SmallRng;

pub use action::Action;
pub use action::Answer;
pub use action::CancelAttempt;
pub use action::Cause;
pub use action::EndReason;
pub use action::ExtraAttempts;
pub use action::SendAttempt;
pub use action::Timings;

use crate::ids::CorrelationId;
use crate::ids::SnapshotId;
use crate::process::fleet::Fleet;
use crate::process::holdings::PinnedSnapshot;
use crate::process::replicas::HedgeRatios;
use crate::request::coverage::MissingReason;
use crate::request::merge::HitMerger;
use crate::request::plan::Plan;
use crate::request::query::part::Part;
use crate::wire::proto::Hits;
use crate::wire::proto::PartResult;
use crate::wire::proto::Refusal;
use crate::wire::proto::RefusalReason;
use crate::wire::proto::part_result::Outcome;

/// Time before the deadline at which a partial answer is sent. It covers one tick of the timer and the network delay
/// to a caller in the same region.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Limits the margin of short queries to this fraction of their time, as a divisor.
const MARGIN_DIVISOR: u32 = 10;

/// Maximum number of restarts of a query on another snapshot.
pub const MAX_RESTARTS: u32 = 2;

/// Parameters of a query in addition to its plan.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Number that identifies results of this query. It must be unique among the queries of this process.
    pub correlation: CorrelationId,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Minimum coverage that the caller accepts, in `0.0..=1.0`.
    pub min_coverage: f64,
}

/// State machine of one search.
///
/// Dropping it releases the in-flight counts of its attempts but does not cancel them at the leaves; use
/// [`Query::on_cancel`] for that.
#[derive(Debug)]
pub struct Query {
    fleet: Arc<Fleet>,
    plan: Plan,
    request: Request,
    snapshot: SnapshotId,
    /// Snapshots that were pinned before a restart.
    previous_snapshots: Vec<SnapshotId>,
    parts: Vec<Part>,
    open_parts: usize,
    /// Number of missing keys in the parts that were given up.
    lost_keys: u64,
    timers: BinaryHeap<Reverse<Timer>>,
    /// Hedge delays per service, as multiples of the typical latency.
    hedge_ratios: Vec<HedgeRatios>,
    merger: HitMerger,
    extra: ExtraAttempts,
    started: Option<Instant>,
    answer_by: Instant,
    timings: Timings,
    retry_after: Option<Duration>,
    pending_restart: Option<PinnedSnapshot>,
    finished: bool,
    rng: SmallRng,
}

/// Timer that checks whether an attempt is to be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Instant,
    part: u32,
    attempt: u32,
}

impl Query {
    /// Creates a query on the snapshot of `pin`. The plan must have been made from the tables of `fleet`.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, plan: Plan, pin: PinnedSnapshot, request: Request, rng: SmallRng) -> Self {
        let parts: Vec<Part> = plan.parts.iter().map(|planned| Part::new(planned.range)).collect();
        let ratios = plan.services.iter().zip(0..).map(|(service, number)| {
            let budget = plan.policy(number).hedge_budget;
            fleet.replicas.hedge_ratios(service.position, budget)
        });
        Self {
            hedge_ratios: ratios.collect(),
            snapshot: pin.snapshot,
            previous_snapshots: Vec::new(),
            open_parts: parts.len(),
            parts,
            lost_keys: 0,
            timers: BinaryHeap::new(),
            merger: HitMerger::new(plan.limit as usize),
            extra: ExtraAttempts::default(),
            started: None,
            answer_by: request.deadline,
            timings: Timings::default(),
            retry_after: None,
            pending_restart: None,
            finished: false,
            rng,
            fleet,
            plan,
            request,
        }
    }

    /// Returns the plan of the query.
    #[must_use]
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the currently pinned snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> SnapshotId {
        self.snapshot
    }

    /// Returns whether [`Action::Finish`] was emitted.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the time at which [`Query::on_tick`] must be called next, or `None` before start and after finish.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        if self.finished || self.started.is_none() {
            return None;
        }
        let hedge = self.timers.peek().map(|Reverse(timer)| timer.at);
        Some(hedge.map_or(self.answer_by, |at| at.min(self.answer_by)))
    }

    /// Sends the first attempt of every part. Further calls have no effect.
    pub fn on_start(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.started.is_some() {
            return;
        }
        self.started = Some(now);
        let time = self.request.deadline.saturating_duration_since(now);
        let margin = DEADLINE_MARGIN.min(time / MARGIN_DIVISOR);
        self.answer_by = self.request.deadline.checked_sub(margin).unwrap_or(now);
        self.credit_budgets();
        self.send_all(now, out);
        self.finish_if_done(now, out);
    }

    /// Handles the result of an attempt.
    ///
    /// Results with another correlation number or of unknown attempts are ignored. Results of abandoned attempts never
    /// change the answer, but their load report and snapshots are still recorded for the searcher.
    pub fn on_result(&mut self, result: PartResult, now: Instant, out: &mut Vec<Action>) {
        if self.finished || result.correlation != self.request.correlation {
            return;
        }
        let Some(attempt) = self.attempt(result.part, result.attempt) else {
            return;
        };
        let searcher = attempt.searcher;
        let in_flight = attempt.in_flight.is_some();
        if let Some(report) = &result.report {
            self.fleet.replicas.on_lane_report(searcher, report, now);
        }
        self.fleet.holdings.on_reply(searcher, &result.held, now);
        if !in_flight {
            return;
        }
        match result.outcome {
            Some(Outcome::Hits(hits)) => self.on_hits(result.part, result.attempt, hits, now, out),
            Some(Outcome::Refusal(refusal)) => self.on_refusal(result.part, result.attempt, &refusal, now, out),
            None => self.on_refusal(result.part, result.attempt, &Refusal::default(), now, out),
        }
        self.finish_if_done(now, out);
    }

    /// Handles an attempt whose session was lost or could not be opened. The attempt is repeated through the successor
    /// or on another replica.
    pub fn on_session_lost(&mut self, part: u32, attempt: u32, now: Instant, out: &mut Vec<Action>) {
        let in_flight = self
            .attempt(part, attempt)
            .is_some_and(|attempt| attempt.in_flight.is_some());
        if self.finished || !in_flight {
            return;
        }
        self.end_attempt(part, attempt);
        self.parts[part as usize].reason = Some(MissingReason::Unreachable);
        self.redirect(part, attempt, now, out);
        self.finish_if_done(now, out);
    }

    /// Hedges attempts whose hedge delay has passed, and finishes the query close to the deadline.
    pub fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.finished || self.started.is_none() {
            return;
        }
        if now >= self.answer_by {
            self.finish(EndReason::Deadline, now, out);
            return;
        }
        while let Some(Reverse(timer)) = self.timers.peek().copied() {
            if timer.at > now {
                break;
            }
            self.timers.pop();
            self.hedge(timer.part, timer.attempt, now, out);
        }
        self.finish_if_done(now, out);
    }

    /// Cancels the query on behalf of the caller: cancels the attempts in flight and finishes.
    pub fn on_cancel(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.finished {
            self.finish(EndReason::Cancelled, now, out);
        }
    }

    fn on_hits(&mut self, part: u32, attempt: u32, hits: Hits, now: Instant, out: &mut Vec<Action>) {
        self.observe_answer(part, attempt, now);
        if hits.snapshot != self.snapshot {
            self.on_snapshot_gone(part, attempt, now, out);
            return;
        }
        self.record_reply_time(now);
        let progress = self.merge_hits(part, attempt, hits);
        if self.parts[part as usize].missing.is_empty() {
            return self.settle(part, now, out);
        }
        let cause = if progress { Cause::Completion } else { Cause::Retry };
        self.send_next(part, cause, now, out);
    }

    fn on_refusal(&mut self, part: u32, attempt: u32, refusal: &Refusal, now: Instant, out: &mut Vec<Action>) {
        let Some(searcher) = self.end_attempt(part, attempt) else {
            return;
        };
        let after = Duration::from_micros(refusal.retry_after_us);
        let after = Some(after).filter(|after| !after.is_zero());
        let reason = refusal.reason();
        self.fleet.replicas.on_refusal(searcher, reason, after, now);
        self.retry_after = self.retry_after.max(after);
        let (missing, cause) = match reason {
            RefusalReason::SnapshotGone => return self.on_snapshot_gone(part, attempt, now, out),
            RefusalReason::NotOwner => {
                self.parts[part as usize].reason = Some(MissingReason::Unreachable);
                return self.redirect(part, attempt, now, out);
            }
            RefusalReason::Unreachable | RefusalReason::Unspecified => (MissingReason::Unreachable, Cause::Redirect),
            RefusalReason::Draining => (MissingReason::Draining, Cause::Redirect),
            RefusalReason::UnknownSearcher => (MissingReason::UnknownSearcher, Cause::Redirect),
            RefusalReason::QueueFull | RefusalReason::Shedding => (MissingReason::Overloaded, Cause::Retry),
            RefusalReason::Expired | RefusalReason::Cancelled => (MissingReason::Overloaded, Cause::Retry),
        };
        let charged = if refusal.may_have_run { Cause::Retry } else { cause };
        self.parts[part as usize].reason = Some(missing);
        self.send_next(part, charged, now, out);
    }

    /// Handles a replica that no longer has the pinned snapshot.
    fn on_snapshot_gone(&mut self, part: u32, attempt: u32, now: Instant, out: &mut Vec<Action>) {
        let searcher = self.parts[part as usize].attempts[attempt as usize].searcher;
        self.fleet.holdings.on_snapshot_gone(searcher, self.snapshot, now);
        let state = &mut self.parts[part as usize];
        state.snapshot_gone = true;
        state.reason = Some(MissingReason::SnapshotGone);
        self.send_next(part, Cause::Redirect, now, out);
    }
}
