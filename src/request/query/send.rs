//! Sending of attempts: first attempts, hedges, retries, redirects and restarts.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use crate::ids::SearcherIndex;
use crate::process::holdings::PinnedSnapshot;
use crate::request::coverage::MissingReason;
use crate::request::query::Action;
use crate::request::query::CancelAttempt;
use crate::request::query::Cause;
use crate::request::query::MAX_RESTARTS;
use crate::request::query::Query;
use crate::request::query::SendAttempt;
use crate::request::query::Timer;
use crate::request::query::Timings;
use crate::request::query::part::Attempt;
use crate::request::query::part::MAX_IN_FLIGHT;
use crate::request::query::select::SelectionInput;
use crate::request::query::select::pick_hedge_replica;
use crate::request::query::select::pick_replica;

/// Hedging is allowed while at most this fraction of all parts is open, as a divisor. With more open parts the whole
/// query is slow rather than a few stragglers, and hedges would only add load.
const HEDGE_DIVISOR: usize = 10;

/// Number of open parts up to which hedging is always allowed, for queries with few parts.
const HEDGE_MIN_PARTS: usize = 3;

/// A hedge is itself hedged once it takes longer than the typical latency while at most this fraction of all parts is
/// open, as a divisor. A query of 390 parts then waits for its last two, and duplicates of so few are cheap.
const SECOND_HEDGE_DIVISOR: usize = 195;

/// Factor on the hedge delay while the hedge budget is low.
const LOW_BUDGET_FACTOR: f64 = 1.25;

/// Interval between checks of an attempt whose hedge is not due or was denied, as a fraction of its hedge delay.
const HEDGE_RECHECK_FRACTION: f64 = 0.125;

/// Minimum interval between checks of an attempt. It bounds the work of a query while its budget is empty.
const HEDGE_RECHECK_MIN: Duration = Duration::from_millis(1);

/// Minimum time left for a restart. In less time few parts could be answered.
const RESTART_MIN: Duration = Duration::from_millis(20);

/// Minimum time left for a restart, as a multiple of the typical latency of the slowest service of the query.
const RESTART_FACTOR: f64 = 3.0;

impl Query {
    /// Sends the first attempt of every part on the pinned snapshot. Stops if a restart becomes necessary.
    pub(super) fn send_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        for part in 0..self.parts.len() as u32 {
            if self.pending_restart.is_some() {
                return;
            }
            self.send_next(part, Cause::First, now, out);
        }
    }

    /// Sends the next attempt of a part unless one is still in flight, or gives the part up.
    pub(super) fn send_next(&mut self, part: u32, cause: Cause, now: Instant, out: &mut Vec<Action>) {
        let state = &self.parts[part as usize];
        if state.settled || state.in_flight_count() > 0 {
            return;
        }
        if state.is_exhausted() {
            return self.give_up(part, MissingReason::Unreachable, now, out);
        }
        let input = SelectionInput::new(&self.fleet, &self.plan, part, self.snapshot, now);
        let choice = pick_replica(&input, |searcher| state.has_tried(searcher), &mut self.rng);
        match choice {
            Ok(searcher) if self.charge_budget(part, cause) => self.send(part, searcher, false, cause, now, out),
            Ok(_) => self.give_up(part, MissingReason::Overloaded, now, out),
            Err(reason) => self.on_no_replica(part, reason, cause, now, out),
        }
    }

    /// Repeats an attempt that the owner of its searcher did not handle: through the successor if possible, otherwise
    /// on another replica.
    pub(super) fn redirect(&mut self, part: u32, attempt: u32, now: Instant, out: &mut Vec<Action>) {
        let state = &self.parts[part as usize];
        let searcher = state.attempts[attempt as usize].searcher;
        let is_usable = self.fleet.replicas.is_usable(searcher, now);
        let holds = self.fleet.holdings.holds(searcher, self.snapshot, now) != Some(false);
        let can_redirect = is_usable && holds && !state.is_exhausted() && !state.has_tried_successor(searcher);
        if can_redirect && state.in_flight_count() == 0 {
            self.send(part, searcher, true, Cause::Redirect, now, out);
        } else {
            self.send_next(part, Cause::Redirect, now, out);
        }
    }

    /// Sends a hedge for a slow attempt if it is due, a replica is ready and the budget allows it. Otherwise schedules
    /// another check.
    pub(super) fn hedge(&mut self, part: u32, attempt: u32, now: Instant, out: &mut Vec<Action>) {
        let state = &self.parts[part as usize];
        let waiting = state.attempts[attempt as usize].in_flight.is_some();
        if state.settled || !waiting || state.in_flight_count() >= MAX_IN_FLIGHT || state.is_exhausted() {
            return;
        }
        if !self.is_hedge_due(part, attempt, now) {
            return self.schedule_recheck(part, attempt, now);
        }
        let input = SelectionInput::new(&self.fleet, &self.plan, part, self.snapshot, now);
        let choice = pick_hedge_replica(&input, |searcher| state.has_tried(searcher), &mut self.rng);
        match choice {
            Some(searcher) if self.charge_budget(part, Cause::Hedge) => {
                self.send(part, searcher, false, Cause::Hedge, now, out);
            }
            _ => self.schedule_recheck(part, attempt, now),
        }
    }

    /// Returns whether few enough parts are open, and the attempt is old enough, for a hedge.
    fn is_hedge_due(&self, part: u32, attempt: u32, now: Instant) -> bool {
        let state = &self.parts[part as usize].attempts[attempt as usize];
        let age = now.saturating_duration_since(state.sent_at);
        let delay = self.hedge_delay(part, attempt);
        if state.is_hedge {
            return self.open_parts <= self.parts.len() / SECOND_HEDGE_DIVISOR || age >= delay;
        }
        let is_low = self.fleet.budgets.service(self.service_position(part)).hedges.is_low();
        let min_age = if is_low {
            delay.mul_f64(LOW_BUDGET_FACTOR)
        } else {
            delay
        };
        self.open_parts <= HEDGE_MIN_PARTS.max(self.parts.len() / HEDGE_DIVISOR) && age >= min_age
    }

    /// Cancels the attempts of a part that are still in flight.
    pub(super) fn cancel_in_flight(&mut self, part: u32, now: Instant, out: &mut Vec<Action>) {
        for attempt in 0..self.parts[part as usize].attempts.len() as u32 {
            let state = &self.parts[part as usize].attempts[attempt as usize];
            if state.in_flight.is_none() {
                continue;
            }
            out.push(Action::Cancel(CancelAttempt {
                part,
                attempt,
                searcher: state.searcher,
                fallback: state.fallback,
            }));
            self.observe_abandoned(part, attempt, now);
        }
    }

    /// Ends an attempt and returns its searcher, or `None` if it had ended before.
    pub(super) fn end_attempt(&mut self, part: u32, attempt: u32) -> Option<SearcherIndex> {
        let state = &mut self.parts[part as usize].attempts[attempt as usize];
        state.in_flight.take().map(|_| state.searcher)
    }

    pub(super) fn attempt(&self, part: u32, attempt: u32) -> Option<&Attempt> {
        self.parts.get(part as usize)?.attempts.get(attempt as usize)
    }

    /// Restarts the query on the snapshot of `pin` and discards all results of the previous snapshot.
    pub(super) fn restart_on(&mut self, pin: PinnedSnapshot, now: Instant, out: &mut Vec<Action>) {
        self.previous_snapshots.push(self.snapshot);
        self.snapshot = pin.snapshot;
        self.extra.restarts += 1;
        self.merger.clear();
        self.timings = Timings::default();
        self.timers.clear();
        self.open_parts = self.parts.len();
        self.lost_keys = 0;
        for part in 0..self.parts.len() as u32 {
            self.cancel_in_flight(part, now, out);
            let range = self.plan.parts[part as usize].range;
            self.parts[part as usize].restart(range);
        }
        self.send_all(now, out);
    }

    /// Handles a part without another replica. In this order: tries the successor of an unreachable owner, requests a
    /// restart if the snapshot is gone, or gives the part up.
    fn on_no_replica(&mut self, part: u32, reason: MissingReason, cause: Cause, now: Instant, out: &mut Vec<Action>) {
        let state = &self.parts[part as usize];
        if state.reason == Some(MissingReason::Unreachable) && cause == Cause::Redirect {
            let successor_untried = self.plan.replicas(part).iter().copied().find(|searcher| {
                let is_leaving = !self.fleet.replicas.is_usable(*searcher, now);
                state.has_tried(*searcher) && !state.has_tried_successor(*searcher) && !is_leaving
            });
            if let Some(searcher) = successor_untried {
                return self.send(part, searcher, true, Cause::Redirect, now, out);
            }
        }
        if state.snapshot_gone && self.pending_restart.is_none() {
            self.pending_restart = self.restart_candidate(part, now);
        }
        if self.pending_restart.is_none() {
            self.give_up(part, reason, now, out);
        }
    }

    /// Returns the snapshot to restart on, if there is time for a restart and the snapshot either has more attainable
    /// coverage than the current one, or at least as much and is newer.
    fn restart_candidate(&self, part: u32, now: Instant) -> Option<PinnedSnapshot> {
        if self.extra.restarts >= MAX_RESTARTS {
            return None;
        }
        let time_left = self.answer_by.saturating_duration_since(now);
        if time_left < self.min_restart_time() {
            return None;
        }
        let mut excluded = self.previous_snapshots.clone();
        excluded.push(self.snapshot);
        let pin = self.fleet.pin(&self.plan, &excluded, now).ok()?;
        let space = self.key_space() as f64;
        let lost = self.lost_keys + self.parts[part as usize].missing.len();
        let attainable = 1.0 - lost as f64 / space;
        let is_newer = pin.snapshot > self.snapshot && pin.coverage >= attainable;
        (pin.coverage > attainable || is_newer).then_some(pin)
    }

    /// Returns the time that must be left for a restart: a multiple of the highest typical latency among the first
    /// replicas of the parts, but at least [`RESTART_MIN`].
    fn min_restart_time(&self) -> Duration {
        let typical = self.plan.parts.iter().enumerate().filter_map(|(part, planned)| {
            let service = self.plan.services[planned.service as usize].position;
            let first = self.plan.replicas(part as u32).first()?;
            self.fleet.replicas.typical_latency(service, *first)
        });
        let slowest = typical.max().unwrap_or_default();
        slowest.mul_f64(RESTART_FACTOR).max(RESTART_MIN)
    }

    /// Charges an attempt to the budget of its cause. Returns whether the budget allows it.
    fn charge_budget(&mut self, part: u32, cause: Cause) -> bool {
        let budget = self.fleet.budgets.service(self.service_position(part));
        let is_allowed = match cause {
            Cause::First | Cause::Completion | Cause::Redirect => true,
            Cause::Hedge => budget.hedges.take(),
            Cause::Retry => budget.retries.take(),
        };
        self.extra.denied += u32::from(!is_allowed);
        is_allowed
    }

    fn send(
        &mut self,
        part: u32,
        searcher: SearcherIndex,
        fallback: bool,
        cause: Cause,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        self.count_attempt(cause);
        let state = &mut self.parts[part as usize];
        let attempt = state.attempts.len() as u32;
        let range = state.missing.hull();
        state.attempts.push(Attempt {
            searcher,
            range,
            fallback,
            is_hedge: cause == Cause::Hedge,
            sent_at: now,
            in_flight: Some(self.fleet.replicas.begin(searcher)),
        });
        out.push(Action::Send(SendAttempt {
            part,
            attempt,
            searcher,
            range,
            snapshot: self.snapshot,
            fallback,
            cause,
        }));
        let delay = self.first_check_delay(part, attempt);
        self.set_timer(part, attempt, now + delay);
    }

    fn count_attempt(&mut self, cause: Cause) {
        match cause {
            Cause::First if self.extra.restarts == 0 => {}
            Cause::First => self.extra.restarted += 1,
            Cause::Hedge => self.extra.hedges += 1,
            Cause::Retry => self.extra.retries += 1,
            Cause::Completion => self.extra.completions += 1,
            Cause::Redirect => self.extra.redirects += 1,
        }
    }

    fn schedule_recheck(&mut self, part: u32, attempt: u32, now: Instant) {
        let wait = self.hedge_delay(part, attempt).mul_f64(HEDGE_RECHECK_FRACTION);
        self.set_timer(part, attempt, now + wait.max(HEDGE_RECHECK_MIN));
    }

    /// Sets the hedge timer of an attempt, if hedging is enabled for its service and the timer ends within the query.
    fn set_timer(&mut self, part: u32, attempt: u32, at: Instant) {
        let hedging = self.plan.policy(self.plan.parts[part as usize].service).hedge_budget > 0.0;
        if hedging && at < self.answer_by {
            self.timers.push(Reverse(Timer { at, part, attempt }));
        }
    }

    fn hedge_delay(&self, part: u32, attempt: u32) -> Duration {
        let service = self.plan.parts[part as usize].service;
        let state = &self.parts[part as usize].attempts[attempt as usize];
        let Some(typical) = self
            .fleet
            .replicas
            .typical_latency(self.service_position(part), state.searcher)
        else {
            return self.default_hedge_delay();
        };
        let ratios = self.hedge_ratios[service as usize];
        typical.mul_f64(if state.is_hedge { ratios.second } else { ratios.first })
    }

    /// Returns the time after which an attempt is first checked for a hedge. For a hedge this is at most the typical
    /// latency, since its part may be among the last of the query by then.
    fn first_check_delay(&self, part: u32, attempt: u32) -> Duration {
        let delay = self.hedge_delay(part, attempt);
        let state = &self.parts[part as usize].attempts[attempt as usize];
        let typical = self
            .fleet
            .replicas
            .typical_latency(self.service_position(part), state.searcher);
        match typical {
            Some(typical) if state.is_hedge => delay.min(typical),
            _ => delay,
        }
    }

    /// Returns the hedge delay before any latency was observed: a quarter of the time of the query, so that two hedges
    /// fit.
    fn default_hedge_delay(&self) -> Duration {
        let started = self.started.unwrap_or(self.answer_by);
        self.answer_by.saturating_duration_since(started) / 4
    }

    /// Returns the position in the tables of the service of a part.
    pub(super) fn service_position(&self, part: u32) -> usize {
        let service = self.plan.parts[part as usize].service;
        self.plan.services[service as usize].position
    }
}
