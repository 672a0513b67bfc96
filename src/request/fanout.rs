//! Decisions of one forwarded request: which part is sent when, which is sent once more, and when the answer leaves.
//!
//! A request to one service has one part; a request over shards has one part for each shard. The owner carries out the
//! [`PartSend`]s, reports how each ended, and asks for the [`Decision`]. Load patterns:
//!
//! * a server pauses or is slow while the others answer: the part is asked again at another server once it takes longer
//!   than nine in ten do, as far as the budget for extra attempts allows;
//! * a shard has no server that answers: the answer leaves without it as soon as the objective ends, or at once when
//!   nothing of it is in flight;
//! * servers of several shards fell silent or failed, so that an answer depends on whether they are back: their parts are
//!   sent first, and the others when they answer;
//! * all servers are full: a part that finds no room within a quarter of the objective is given up, and a request that
//!   can no longer be answered ends at once.
//!
//! See "Time" in `docs/design/platform.md`.

use std::time::Duration;
use std::time::Instant;

/// Sends of one part, at most. Sends that were refused or never left count here and not as attempts.
const MAX_SENDS: usize = 4;

/// Time between two looks at a part that waits for room or for a second attempt.
const RECHECK_INTERVAL: Duration = Duration::from_millis(4);

/// Share of the objective for which a part may wait for room.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Time before the end of the objective at which an answer with parts missing leaves. It covers the way to the caller
/// and back (3 ms each) and the merge.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// Time before the deadline of the caller at which the request ends, for the same way.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Position of a server in the list of its service.
pub type ServerIndex = usize;

/// Limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Number of parts.
    pub parts: usize,
    /// Least number of parts in an answer.
    pub min_parts: usize,
    /// Servers that may run one part.
    pub max_attempts: u32,
    /// Whether a part may run more than once.
    pub repeatable: bool,
    /// Time within which the answer has its full value.
    pub objective: Duration,
    /// Time within which it must be answered.
    pub time_limit: Duration,
}

/// Why a part is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// For the first time.
    First,
    /// Once more, since the attempt in flight takes long.
    Hedge,
    /// Once more, since the attempt before failed.
    Retry,
    /// Once more, since no attempt before reached its server. It is the first one that a server sees.
    Resend,
}

impl Cause {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Resend => "resend",
        }
    }
}

/// Choice of a server for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChoice {
    /// Send to this server, and look after this time whether a second attempt is wanted.
    Send(ServerIndex, Duration),
    /// The same; the server failed lately, and it is not known whether it answers again.
    Probe(ServerIndex, Duration),
    /// No server has room now, or the budget is empty.
    Defer,
    /// No server is left that could answer.
    NoServer,
}

/// A part to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSend {
    /// Part number.
    pub part: usize,
    /// Server to ask.
    pub server: ServerIndex,
    /// Why.
    pub cause: Cause,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With the answer of the part.
    Answered,
    /// It did not reach its server.
    Unsent,
    /// The server refused it; it has not run and never will.
    NotRun,
    /// It failed and may have run.
    Failed,
}

/// Why a part is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PartFailure {
    /// No server could be asked.
    NoServer,
    /// No server had room in time.
    NoCapacity,
    /// All attempts failed.
    Failed,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Wait for an attempt to end, or until this time.
    Wait(Instant),
    /// Answer with the parts that are there.
    Answer,
    /// Tell that the request has not run.
    Refuse(PartFailure),
    /// Tell that the request failed.
    Fail(PartFailure),
    /// Tell that the time is over.
    TimeOut,
}

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
    /// Attempts that ended and may have run.
    possible_runs: u32,
    /// Whether an attempt that ended reached its server.
    reached_server: bool,
    /// Whether it was sent to a server that failed lately.
    is_probe: bool,
    check_at: Instant,
}

/// State of one forwarded request.
#[derive(Debug)]
pub struct Fanout {
    limits: Limits,
    parts: Vec<Part>,
    started: Instant,
    answer_by: Instant,
    end: Instant,
    /// Time until which other parts wait for those that are probes.
    probe_deadline: Option<Instant>,
    done: usize,
    missing: usize,
    last_failure: PartFailure,
}

impl Fanout {
    /// Begins a request.
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
            done: 0,
            missing: 0,
            last_failure: PartFailure::NoServer,
            limits,
        }
    }

    /// Returns the time at which the request ends in any case.
    #[must_use]
    pub const fn end(&self) -> Instant {
        self.end
    }

    /// Returns the number of parts that are missing now.
    #[must_use]
    pub const fn missing(&self) -> usize {
        self.parts.len() - self.done
    }

    /// Returns the parts that were given up, with the reasons.
    pub fn given_up(&self) -> impl Iterator<Item = (usize, PartFailure)> {
        let parts = self.parts.iter().enumerate();
        parts.filter_map(|(ix, part)| match part.state {
            PartState::Missing(failure) => Some((ix, failure)),
            PartState::Open | PartState::Done => None,
        })
    }

    /// Returns the number of parts given up that would have to come back for an answer.
    #[must_use]
    pub const fn shortfall(&self) -> usize {
        (self.missing + self.limits.min_parts).saturating_sub(self.parts.len())
    }

    /// Returns the parts that are missing now with the reasons, for the log: `late` where an attempt is in
    /// flight, and `unsent` where none was made yet.
    #[must_use]
    pub fn missing_summary(&self) -> String {
        let parts = self.parts.iter().enumerate();
        let missing = parts.filter_map(|(ix, part)| match part.state {
            PartState::Done => None,
            PartState::Open if part.in_flight == 0 => Some(format!("{ix}:unsent")),
            PartState::Open => Some(format!("{ix}:late")),
            PartState::Missing(PartFailure::NoServer) => Some(format!("{ix}:no_server")),
            PartState::Missing(PartFailure::NoCapacity) => Some(format!("{ix}:no_room")),
            PartState::Missing(PartFailure::Failed) => Some(format!("{ix}:failed")),
        });
        missing.collect::<Vec<String>>().join(",")
    }

    /// Returns the attempts to send now. `choose` picks a server for a part that none of the servers in its last
    /// argument has been asked for, and pays for it.
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
            if self.probe_deadline.is_some() && part.tried.is_empty() {
                part.check_at = now + RECHECK_INTERVAL;
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
            let choice = choose(ix, cause, &part.tried);
            match choice {
                ServerChoice::Send(server, check) | ServerChoice::Probe(server, check) => {
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
                ServerChoice::NoServer => self.on_no_server(ix, now),
            }
        }
        let waits = sends.len() < self.limits.min_parts && !self.is_capacity_wait_over(now);
        if is_new && (waits || self.is_unanswerable()) {
            self.withdraw(&sends, now);
            sends.clear();
        } else if is_new {
            self.send_probes_first(&mut sends, now);
        }
        sends
    }

    /// Holds the other parts back when an answer depends on servers that failed lately. Without them their work would be
    /// wasted, and the caller would wait for an answer that does not come.
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

    /// Lets the other parts go when all probes have ended, and gives up those that have not ended in time.
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

    /// Keeps a part back until a server has room.
    fn wait_for_capacity(&mut self, ix: usize, now: Instant) {
        if self.parts[ix].in_flight == 0 && self.is_capacity_wait_over(now) {
            self.give_up(ix, PartFailure::NoCapacity);
        } else {
            self.parts[ix].check_at = now + RECHECK_INTERVAL;
        }
    }

    /// Handles a part that no server is left for.
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

    /// Takes back the first sends of a request of which too many parts find no server or no room: an answer could not be
    /// made of the rest, so its work would be wasted while servers are short of room.
    fn withdraw(&mut self, sends: &[PartSend], now: Instant) {
        for send in sends {
            let part = &mut self.parts[send.part];
            part.tried.clear();
            part.in_flight = 0;
            part.check_at = now + RECHECK_INTERVAL;
        }
    }

    /// Tells whether too many parts are missing for an answer.
    const fn is_unanswerable(&self) -> bool {
        self.parts.len() - self.missing < self.limits.min_parts
    }

    /// Tells whether the time is over in which parts may wait for room.
    fn is_capacity_wait_over(&self, now: Instant) -> bool {
        now >= self.started + self.limits.objective.mul_f64(MAX_WAIT_SHARE)
    }

    /// Takes the end of an attempt. Tells whether its answer is the one of the part.
    pub fn on_attempt_end(&mut self, part: usize, outcome: AttemptOutcome, now: Instant) -> bool {
        let state = &mut self.parts[part];
        state.in_flight -= 1;
        match outcome {
            AttemptOutcome::Unsent => {}
            AttemptOutcome::NotRun => state.reached_server = true,
            // Also a part that was given up may have run.
            AttemptOutcome::Answered | AttemptOutcome::Failed => {
                state.reached_server = true;
                state.possible_runs += 1;
            }
        }
        if state.state != PartState::Open {
            return false;
        }
        if outcome == AttemptOutcome::Answered {
            state.state = PartState::Done;
            self.done += 1;
            return true;
        }
        if state.in_flight == 0 {
            state.check_at = now;
        }
        false
    }

    /// Returns what to do next. Call [`Fanout::advance`] first.
    #[must_use]
    pub fn decision(&self, now: Instant) -> Decision {
        let open = self.parts.len() - self.done - self.missing;
        let enough = self.done >= self.limits.min_parts;
        if open == 0 && enough {
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
        if enough && now >= self.answer_by {
            return Decision::Answer;
        }
        if now >= self.end {
            return if may_have_run {
                Decision::TimeOut
            } else {
                Decision::Refuse(PartFailure::NoCapacity)
            };
        }
        let next = if enough { self.answer_by } else { self.end };
        let waiting = self.parts.iter().filter(|part| part.state == PartState::Open);
        let check = waiting.map(|part| part.check_at).min().unwrap_or(next);
        let probed = self.probe_deadline.unwrap_or(next);
        Decision::Wait(check.min(next).min(probed))
    }

    /// Returns why another attempt of a part is wanted, or `None` when none may be made.
    fn next_cause(&self, part: &Part) -> Option<Cause> {
        let used = part.possible_runs + part.in_flight;
        let allowed = if self.limits.repeatable {
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

    fn give_up(&mut self, part: usize, failure: PartFailure) {
        self.parts[part].state = PartState::Missing(failure);
        self.missing += 1;
        self.last_failure = failure;
    }
}
