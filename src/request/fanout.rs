//! State machine of a forwarded request: when to send, hedge or retry each part, and when to answer.
//!
//! A request to one service has one part; a request over shards has one part per shard. The gateway performs the
//! [`PartSend`]s, reports the outcome of each attempt, and queries the [`Decision`]. It handles these conditions:
//!
//! * One server is paused or slow: the part is hedged on another server once it takes longer than nine attempts in ten
//!   do, if the budget for extra attempts allows it.
//! * No part of several is answered for some multiple of this: parts are hedged one at a time until one is answered. The
//!   request itself may be the reason, and if it crashes servers, each hedge costs one.
//! * No server of a shard answers: the answer is sent without the shard at the end of the objective, or at once if no
//!   attempt of the shard is in flight.
//! * Servers of several shards failed recently, so an answer depends on their recovery: their parts are sent first, and
//!   the others only after these were answered.
//! * All servers are at capacity: a part that gets no capacity within a quarter of the objective is given up, and a
//!   request that can no longer be answered ends at once.
//!
//! See "Time" in `docs/design/platform.md`.

mod types;

use std::time::Duration;
use std::time::Instant;

pub use types::AttemptOutcome;
pub use types::Cause;
pub use types::Decision;
pub use types::Limits;
pub use types::PartFailure;
pub use types::PartSend;
pub use types::ServerChoice;
pub use types::ServerIndex;

/// Maximum sends of one part. Refused and unsent ones count here, but not as attempts.
const MAX_SENDS: usize = 4;

/// Interval at which a part that waits for capacity or a hedge is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(4);

/// Factor on the time until the first hedge of a request over several shards while none of them has answered. It gives
/// the first crash time to become known.
const UNANSWERED_HEDGE_FACTOR: u32 = 3;

/// Maximum time that a part waits for capacity or for probes, as a share of the objective.
pub const MAX_WAIT_SHARE: f64 = 0.25;

/// Time before the end of the objective at which a partial answer is sent. It covers the round trip to the caller (3 ms
/// each way) and the merge.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// Time before the caller's deadline at which the request ends, to cover the same round trip.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartState {
    Open,
    Done,
    Missing(PartFailure),
}

#[derive(Debug)]
struct Part {
    state: PartState,
    tried: Vec<ServerIndex>,
    in_flight: u32,
    /// Number of finished attempts that may have run.
    possible_runs: u32,
    /// Whether a finished attempt reached its server.
    reached_server: bool,
    /// Whether the last send went to a server that failed recently.
    is_probe: bool,
    check_at: Instant,
}

/// State machine of one forwarded request.
#[derive(Debug)]
pub struct Fanout {
    limits: Limits,
    parts: Vec<Part>,
    started: Instant,
    answer_by: Instant,
    end: Instant,
    /// Time until which the remaining parts wait for the probes.
    probe_deadline: Option<Instant>,
    /// Time from which another part may be hedged although no part has an answer.
    next_hedge: Option<Instant>,
    done: usize,
    missing: usize,
    last_failure: PartFailure,
}

impl Fanout {
    /// Creates the state of a request that starts at `now`.
    #[must_use]
    pub fn new(limits: Limits, now: Instant) -> Self {
        let part = || Part {
            state: PartState::Open,
            tried: Vec::new(),
            in_flight: 0,
            possible_runs: 0,
            reached_server: false,
            is_probe: false,
            check_at: now,
        };
        let margin = DEADLINE_MARGIN.min(limits.time_limit / 4);
        Self {
            parts: std::iter::repeat_with(part).take(limits.parts).collect(),
            started: now,
            answer_by: now + limits.objective.saturating_sub(ANSWER_MARGIN.min(limits.objective / 4)),
            end: now + limits.time_limit.saturating_sub(margin),
            probe_deadline: None,
            next_hedge: None,
            done: 0,
            missing: 0,
            last_failure: PartFailure::NoServer,
            limits,
        }
    }

    /// Returns the time at which the request ends at the latest.
    #[must_use]
    pub const fn end(&self) -> Instant {
        self.end
    }

    /// Makes the request end at `end` if it would end later.
    pub fn limit_end(&mut self, end: Instant) {
        self.end = self.end.min(end);
    }

    /// Returns the number of parts without an answer so far.
    #[must_use]
    pub const fn missing(&self) -> usize {
        self.parts.len() - self.done
    }

    /// Iterates over the parts that were given up, with the reason for each.
    pub fn given_up(&self) -> impl Iterator<Item = (usize, PartFailure)> {
        let parts = self.parts.iter().enumerate();
        parts.filter_map(|(ix, part)| match part.state {
            PartState::Missing(failure) => Some((ix, failure)),
            PartState::Open | PartState::Done => None,
        })
    }

    /// Returns how many of the given-up parts would have to become available for an answer.
    #[must_use]
    pub const fn shortfall(&self) -> usize {
        (self.missing + self.limits.min_parts).saturating_sub(self.parts.len())
    }

    /// Formats the missing parts and their reasons for the log. A part is `late` if an attempt is in flight, and
    /// `unsent` if none is.
    #[must_use]
    pub fn missing_summary(&self) -> String {
        let parts = self.parts.iter().enumerate();
        let missing = parts.filter_map(|(ix, part)| match part.state {
            PartState::Done => None,
            PartState::Open if part.in_flight == 0 => Some(format!("{ix}:unsent")),
            PartState::Open => Some(format!("{ix}:late")),
            PartState::Missing(PartFailure::NoServer) => Some(format!("{ix}:no_server")),
            PartState::Missing(PartFailure::NoRoom) => Some(format!("{ix}:no_room")),
            PartState::Missing(PartFailure::Failed) => Some(format!("{ix}:failed")),
        });
        missing.collect::<Vec<String>>().join(",")
    }

    /// Returns the attempts to send now.
    ///
    /// `choose` selects a server for a part, excluding the servers already tried, which are its last argument. It also
    /// charges the budget for extra attempts.
    pub fn advance(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(usize, Cause, &[ServerIndex]) -> ServerChoice,
    ) -> Vec<PartSend> {
        let mut sends = Vec::new();
        let is_new = self.parts.iter().all(|part| part.tried.is_empty());
        self.finish_probing(now);
        if self.is_unanswerable() {
            return sends;
        }
        for ix in 0..self.parts.len() {
            let part = &mut self.parts[ix];
            if part.state != PartState::Open || now < part.check_at {
                continue;
            }
            let awaits_probe = self.probe_deadline.is_some() && part.tried.is_empty();
            let awaits_trial = self.done == 0 && self.limits.trial.is_some_and(|trial| trial != ix);
            if awaits_probe || awaits_trial {
                part.check_at = if awaits_trial { self.end } else { now + RECHECK_INTERVAL };
                continue;
            }
            let part = &self.parts[ix];
            let Some(cause) = self.next_cause(part) else {
                if part.in_flight == 0 {
                    self.give_up(ix, PartFailure::Failed);
                } else {
                    self.parts[ix].check_at = self.end;
                }
                continue;
            };
            if cause == Cause::Hedge && self.done == 0 && self.next_hedge.is_some_and(|next| now < next) {
                self.parts[ix].check_at = now + RECHECK_INTERVAL;
                continue;
            }
            let choice = choose(ix, cause, &part.tried);
            match choice {
                ServerChoice::Send(server, check) | ServerChoice::Probe(server, check) => {
                    match cause {
                        Cause::Hedge => self.next_hedge = Some(now + check),
                        Cause::First if self.limits.parts > 1 && self.next_hedge.is_none() => {
                            self.next_hedge = Some(now + check * UNANSWERED_HEDGE_FACTOR);
                        }
                        Cause::First | Cause::Retry | Cause::Resend => {}
                    }
                    let part = &mut self.parts[ix];
                    part.is_probe = matches!(choice, ServerChoice::Probe(..));
                    part.tried.push(server);
                    part.in_flight += 1;
                    part.check_at = now + check;
                    sends.push(PartSend {
                        part: ix,
                        server,
                        cause,
                    });
                }
                ServerChoice::Defer => self.wait_for_capacity(ix, now),
                ServerChoice::Hold => self.parts[ix].check_at = now + RECHECK_INTERVAL,
                ServerChoice::NoServer => self.on_no_server(ix, now),
            }
        }
        let min_sends = if self.is_in_trial() { 1 } else { self.limits.min_parts };
        let must_wait = sends.len() < min_sends && !self.is_capacity_wait_over(now);
        if is_new && (must_wait || self.is_unanswerable()) {
            self.withdraw(&sends, now);
            sends.clear();
        } else if is_new && !self.is_in_trial() {
            self.send_probes_first(&mut sends, now);
        }
        sends
    }

    /// Delays the other parts if an answer depends on servers that failed recently. If those do not recover, the work
    /// of the other parts would be wasted, and the caller would wait for an answer that cannot be made.
    fn send_probes_first(&mut self, sends: &mut Vec<PartSend>, now: Instant) {
        let is_probe = |send: &PartSend| self.parts[send.part].is_probe;
        let (probes, others): (Vec<PartSend>, Vec<PartSend>) = sends.iter().partition(|send| is_probe(send));
        if others.is_empty() || others.len() >= self.limits.min_parts {
            return;
        }
        self.withdraw(&others, now);
        *sends = probes;
        self.probe_deadline = Some(now + self.limits.objective.mul_f64(MAX_WAIT_SHARE));
    }

    /// Releases the remaining parts once all probes have ended, and gives up probes that did not end in time.
    fn finish_probing(&mut self, now: Instant) {
        let Some(until) = self.probe_deadline else { return };
        let is_in_flight = |part: &Part| part.is_probe && part.state == PartState::Open && part.in_flight > 0;
        let in_flight: Vec<usize> = (0..self.parts.len())
            .filter(|ix| is_in_flight(&self.parts[*ix]))
            .collect();
        if !in_flight.is_empty() && now < until {
            return;
        }
        for ix in in_flight {
            self.give_up(ix, PartFailure::Failed);
        }
        self.probe_deadline = None;
    }

    /// Schedules another check of a part, or gives it up if it has waited too long for capacity.
    fn wait_for_capacity(&mut self, ix: usize, now: Instant) {
        if self.parts[ix].in_flight == 0 && self.is_capacity_wait_over(now) {
            self.give_up(ix, PartFailure::NoRoom);
        } else {
            self.parts[ix].check_at = now + RECHECK_INTERVAL;
        }
    }

    /// Waits for the attempts in flight of a part that has no other server, or gives the part up.
    fn on_no_server(&mut self, ix: usize, now: Instant) {
        let part = &mut self.parts[ix];
        if part.in_flight > 0 {
            part.check_at = now + RECHECK_INTERVAL * 2;
        } else {
            let failure = if part.tried.is_empty() {
                PartFailure::NoServer
            } else {
                PartFailure::Failed
            };
            self.give_up(ix, failure);
        }
    }

    /// Withdraws the first sends of a request that cannot be answered yet, because too many parts have no server or
    /// capacity, or depend on probes. Their work could be wasted while servers are short of capacity.
    fn withdraw(&mut self, sends: &[PartSend], now: Instant) {
        for send in sends {
            let part = &mut self.parts[send.part];
            part.tried.clear();
            part.in_flight = 0;
            part.check_at = now + RECHECK_INTERVAL;
        }
    }

    /// Returns whether too many parts were given up for an answer.
    const fn is_unanswerable(&self) -> bool {
        self.parts.len() - self.missing < self.limits.min_parts
    }

    /// Returns whether parts may no longer wait for capacity.
    fn is_capacity_wait_over(&self, now: Instant) -> bool {
        now >= self.started + self.limits.objective.mul_f64(MAX_WAIT_SHARE)
    }

    /// Records the outcome of an attempt. Returns whether its answer is to be used for the part.
    pub fn on_attempt_end(&mut self, part: usize, outcome: AttemptOutcome, now: Instant) -> bool {
        let state = &mut self.parts[part];
        state.in_flight -= 1;
        match outcome {
            AttemptOutcome::Unsent => {}
            AttemptOutcome::NotRun => state.reached_server = true,
            // Counted for given-up parts too, since they may have run as well.
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Crashed => {
                state.reached_server = true;
                state.possible_runs += 1;
            }
        }
        if state.state != PartState::Open {
            return false;
        }
        if outcome == AttemptOutcome::Answered {
            state.state = PartState::Done;
            if self.is_in_trial() {
                self.parts.iter_mut().for_each(|part| part.check_at = now);
            }
            self.done += 1;
            return true;
        }
        if state.in_flight == 0 {
            state.check_at = now;
        }
        false
    }

    /// Returns the next step. [`Fanout::advance`] must be called first.
    #[must_use]
    pub fn decision(&self, now: Instant) -> Decision {
        let open = self.parts.len() - self.done - self.missing;
        let is_sufficient = self.done >= self.limits.min_parts;
        if open == 0 && is_sufficient {
            return Decision::Answer;
        }
        let may_have_run = self.done > 0
            || self
                .parts
                .iter()
                .any(|part| part.in_flight > 0 || part.possible_runs > 0);
        if self.is_unanswerable() {
            return if may_have_run {
                Decision::Fail(self.last_failure)
            } else {
                Decision::Refuse(self.last_failure)
            };
        }
        if is_sufficient && now >= self.answer_by {
            return Decision::Answer;
        }
        if now >= self.end {
            return if may_have_run {
                Decision::TimeOut
            } else {
                Decision::Refuse(PartFailure::NoRoom)
            };
        }
        let next = if is_sufficient { self.answer_by } else { self.end };
        let waiting = self.parts.iter().filter(|part| part.state == PartState::Open);
        let check = waiting.map(|part| part.check_at).min().unwrap_or(next);
        let probes_end = self.probe_deadline.unwrap_or(next);
        Decision::Wait(check.min(next).min(probes_end))
    }

    /// Gives up all parts without an answer, so that no server receives the request any more.
    pub fn abort(&mut self) {
        for ix in 0..self.parts.len() {
            if self.parts[ix].state == PartState::Open {
                self.give_up(ix, PartFailure::Failed);
            }
        }
    }

    /// Returns whether any part has an answer.
    #[must_use]
    pub const fn has_answer(&self) -> bool {
        self.done > 0
    }

    /// Returns whether an answer may still come from an attempt in flight.
    #[must_use]
    pub fn awaits_answer(&self) -> bool {
        let is_in_flight = |part: &Part| part.state == PartState::Open && part.in_flight > 0;
        self.parts.iter().any(is_in_flight)
    }

    /// Returns whether the request waits for the answer of its trial.
    const fn is_in_trial(&self) -> bool {
        self.limits.trial.is_some() && self.done == 0
    }

    /// Returns the cause of the next attempt of a part, or `None` if no further attempt is allowed.
    fn next_cause(&self, part: &Part) -> Option<Cause> {
        let used = part.possible_runs + part.in_flight;
        let allowed = if self.limits.repeatable && !self.is_in_trial() {
            self.limits.max_attempts.max(1)
        } else {
            1
        };
        if used >= allowed || part.tried.len() >= MAX_SENDS {
            return None;
        }
        Some(match (part.tried.is_empty(), part.in_flight) {
            (true, _) => Cause::First,
            (false, 0) if part.reached_server => Cause::Retry,
            (false, 0) => Cause::Resend,
            (false, _) => Cause::Hedge,
        })
    }

    /// Gives up a part, and with the part of a trial all others, which wait for its answer.
    fn give_up(&mut self, part: usize, failure: PartFailure) {
        let ends_trial = self.is_in_trial() && self.limits.trial == Some(part);
        for (ix, other) in self.parts.iter_mut().enumerate() {
            if ix == part || (ends_trial && other.state == PartState::Open) {
                other.state = PartState::Missing(failure);
                self.missing += 1;
            }
        }
        self.last_failure = failure;
    }
}
