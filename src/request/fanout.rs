//! Decisions of one forwarded request: which part is sent when, which is sent once more, and when the answer leaves.
//!
//! A request to one service has one part; a request over shards has one part for each shard. The owner carries out the
//! [`Send`]s, reports how each ended, and asks for the [`Verdict`]. Load patterns:
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
const RECHECK: Duration = Duration::from_millis(4);

/// Share of the objective for which a part may wait for room.
const WAIT_SHARE: f64 = 0.25;

/// Time before the end of the objective at which an answer with parts missing leaves. It covers the way to the caller
/// and back (3 ms each) and the merge.
const RETURN_MARGIN: Duration = Duration::from_millis(12);

/// Time before the deadline of the caller at which the request ends, for the same way.
const END_MARGIN: Duration = Duration::from_millis(10);

/// Position of a server in the list of its service.
pub type ServerIndex = usize;

/// Limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Number of parts.
    pub parts: usize,
    /// Least number of parts in an answer.
    pub least: usize,
    /// Servers that may run one part.
    pub attempts: u32,
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
pub enum Choice {
    /// Send to this server, and look after this time whether a second attempt is wanted.
    Send(ServerIndex, Duration),
    /// The same; the server failed lately, and it is not known whether it answers again.
    Probe(ServerIndex, Duration),
    /// No server has room now, or the budget is empty.
    Later,
    /// No server is left that could answer.
    Nobody,
}

/// A part to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Send {
    /// Part number.
    pub part: usize,
    /// Server to ask.
    pub server: ServerIndex,
    /// Why.
    pub cause: Cause,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
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
pub enum Lack {
    /// No server could be asked.
    NoServer,
    /// No server had room in time.
    NoRoom,
    /// All attempts failed.
    Failed,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Wait for an attempt to end, or until this time.
    Wait(Instant),
    /// Answer with the parts that are there.
    Answer,
    /// Tell that the request has not run.
    Refuse(Lack),
    /// Tell that the request failed.
    Fail(Lack),
    /// Tell that the time is over.
    TimeOut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Done,
    Missing(Lack),
}

#[derive(Debug)]
struct Part {
    state: State,
    asked: Vec<ServerIndex>,
    live: u32,
    /// Attempts that ended and may have run.
    ran: u32,
    /// Whether an attempt that ended reached its server.
    arrived: bool,
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
    probing_until: Option<Instant>,
    done: usize,
    missing: usize,
    lack: Lack,
}

impl Fanout {
    /// Begins a request.
    #[must_use]
    pub fn new(limits: Limits, now: Instant) -> Self {
        let part = || Part {
            state: State::Open,
            asked: Vec::new(),
            live: 0,
            ran: 0,
            arrived: false,
            is_probe: false,
            check_at: now,
        };
        let margin = END_MARGIN.min(limits.time_limit / 4);
        Self {
            parts: std::iter::repeat_with(part).take(limits.parts).collect(),
            started: now,
            answer_by: now + limits.objective.saturating_sub(RETURN_MARGIN.min(limits.objective / 4)),
            end: now + limits.time_limit.saturating_sub(margin),
            probing_until: None,
            done: 0,
            missing: 0,
            lack: Lack::NoServer,
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
    pub fn given_up(&self) -> impl Iterator<Item = (usize, Lack)> {
        let parts = self.parts.iter().enumerate();
        parts.filter_map(|(ix, part)| match part.state {
            State::Missing(lack) => Some((ix, lack)),
            State::Open | State::Done => None,
        })
    }

    /// Returns the number of parts given up that would have to come back for an answer.
    #[must_use]
    pub const fn wanted_back(&self) -> usize {
        (self.missing + self.limits.least).saturating_sub(self.parts.len())
    }

    /// Returns the parts that are missing now with the reasons, for the log: `late` where an attempt is in
    /// flight, and `unsent` where none was made yet.
    #[must_use]
    pub fn lacks(&self) -> String {
        let parts = self.parts.iter().enumerate();
        let lacks = parts.filter_map(|(ix, part)| match part.state {
            State::Done => None,
            State::Open if part.live == 0 => Some(format!("{ix}:unsent")),
            State::Open => Some(format!("{ix}:late")),
            State::Missing(Lack::NoServer) => Some(format!("{ix}:no_server")),
            State::Missing(Lack::NoRoom) => Some(format!("{ix}:no_room")),
            State::Missing(Lack::Failed) => Some(format!("{ix}:failed")),
        });
        lacks.collect::<Vec<String>>().join(",")
    }

    /// Returns the attempts to send now. `choose` picks a server for a part that none of the servers in its last
    /// argument has been asked for, and pays for it.
    pub fn advance(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(usize, Cause, &[ServerIndex]) -> Choice,
    ) -> Vec<Send> {
        let mut sends = Vec::new();
        let is_new = self.parts.iter().all(|part| part.asked.is_empty());
        self.end_probes(now);
        if self.is_hopeless() {
            return sends;
        }
        for ix in 0..self.parts.len() {
            let part = &mut self.parts[ix];
            if part.state != State::Open || now < part.check_at {
                continue;
            }
            if self.probing_until.is_some() && part.asked.is_empty() {
                part.check_at = now + RECHECK;
                continue;
            }
            let part = &self.parts[ix];
            let Some(cause) = self.wanted(part) else {
                if part.live == 0 {
                    self.give_up(ix, Lack::Failed);
                } else {
                    self.parts[ix].check_at = self.end;
                }
                continue;
            };
            let choice = choose(ix, cause, &part.asked);
            match choice {
                Choice::Send(server, check) | Choice::Probe(server, check) => {
                    let part = &mut self.parts[ix];
                    part.is_probe = matches!(choice, Choice::Probe(..));
                    part.asked.push(server);
                    part.live += 1;
                    part.check_at = now + check;
                    sends.push(Send {
                        part: ix,
                        server,
                        cause,
                    });
                }
                Choice::Later => self.wait_for_room(ix, now),
                Choice::Nobody => self.on_nobody(ix, now),
            }
        }
        let waits = sends.len() < self.limits.least && !self.is_room_over(now);
        if is_new && (waits || self.is_hopeless()) {
            self.hold(&sends, now);
            sends.clear();
        } else if is_new {
            self.probe_first(&mut sends, now);
        }
        sends
    }

    /// Holds the other parts back when an answer depends on servers that failed lately. Without them their work would be
    /// wasted, and the caller would wait for an answer that does not come.
    fn probe_first(&mut self, sends: &mut Vec<Send>, now: Instant) {
        let is_probe = |send: &Send| self.parts[send.part].is_probe;
        let (probes, others): (Vec<Send>, Vec<Send>) = sends.iter().partition(|send| is_probe(send));
        if others.is_empty() || others.len() >= self.limits.least {
            return;
        }
        self.hold(&others, now);
        *sends = probes;
        self.probing_until = Some(now + self.limits.objective.mul_f64(WAIT_SHARE));
    }

    /// Lets the other parts go when all probes have ended, and gives up those that have not ended in time.
    fn end_probes(&mut self, now: Instant) {
        let Some(until) = self.probing_until else { return };
        let is_live = |part: &Part| part.is_probe && part.state == State::Open && part.live > 0;
        let live: Vec<usize> = (0..self.parts.len()).filter(|ix| is_live(&self.parts[*ix])).collect();
        if !live.is_empty() && now < until {
            return;
        }
        for ix in live {
            self.give_up(ix, Lack::Failed);
        }
        self.probing_until = None;
    }

    /// Keeps a part back until a server has room.
    fn wait_for_room(&mut self, ix: usize, now: Instant) {
        if self.parts[ix].live == 0 && self.is_room_over(now) {
            self.give_up(ix, Lack::NoRoom);
        } else {
            self.parts[ix].check_at = now + RECHECK;
        }
    }

    /// Handles a part that no server is left for.
    fn on_nobody(&mut self, ix: usize, now: Instant) {
        let part = &mut self.parts[ix];
        if part.live > 0 {
            part.check_at = now + RECHECK * 2;
        } else {
            let lack = if part.asked.is_empty() {
                Lack::NoServer
            } else {
                Lack::Failed
            };
            self.give_up(ix, lack);
        }
    }

    /// Takes back the first sends of a request of which too many parts find no server or no room: an answer could not be
    /// made of the rest, so its work would be wasted while servers are short of room.
    fn hold(&mut self, sends: &[Send], now: Instant) {
        for send in sends {
            let part = &mut self.parts[send.part];
            part.asked.clear();
            part.live = 0;
            part.check_at = now + RECHECK;
        }
    }

    /// Tells whether too many parts are missing for an answer.
    const fn is_hopeless(&self) -> bool {
        self.parts.len() - self.missing < self.limits.least
    }

    /// Tells whether the time is over in which parts may wait for room.
    fn is_room_over(&self, now: Instant) -> bool {
        now >= self.started + self.limits.objective.mul_f64(WAIT_SHARE)
    }

    /// Takes the end of an attempt. Tells whether its answer is the one of the part.
    pub fn on_end(&mut self, part: usize, ending: Ending, now: Instant) -> bool {
        let state = &mut self.parts[part];
        state.live -= 1;
        match ending {
            Ending::Unsent => {}
            Ending::NotRun => state.arrived = true,
            // Also a part that was given up may have run.
            Ending::Answered | Ending::Failed => {
                state.arrived = true;
                state.ran += 1;
            }
        }
        if state.state != State::Open {
            return false;
        }
        if ending == Ending::Answered {
            state.state = State::Done;
            self.done += 1;
            return true;
        }
        if state.live == 0 {
            state.check_at = now;
        }
        false
    }

    /// Returns what to do next. Call [`Fanout::advance`] first.
    #[must_use]
    pub fn verdict(&self, now: Instant) -> Verdict {
        let open = self.parts.len() - self.done - self.missing;
        let enough = self.done >= self.limits.least;
        if open == 0 && enough {
            return Verdict::Answer;
        }
        let may_have_run = self.done > 0 || self.parts.iter().any(|part| part.live > 0 || part.ran > 0);
        if self.is_hopeless() {
            return if may_have_run {
                Verdict::Fail(self.lack)
            } else {
                Verdict::Refuse(self.lack)
            };
        }
        if enough && now >= self.answer_by {
            return Verdict::Answer;
        }
        if now >= self.end {
            return if may_have_run {
                Verdict::TimeOut
            } else {
                Verdict::Refuse(Lack::NoRoom)
            };
        }
        let next = if enough { self.answer_by } else { self.end };
        let waiting = self.parts.iter().filter(|part| part.state == State::Open);
        let check = waiting.map(|part| part.check_at).min().unwrap_or(next);
        let probed = self.probing_until.unwrap_or(next);
        Verdict::Wait(check.min(next).min(probed))
    }

    /// Returns why another attempt of a part is wanted, or `None` when none may be made.
    fn wanted(&self, part: &Part) -> Option<Cause> {
        let used = part.ran + part.live;
        let allowed = if self.limits.repeatable {
            self.limits.attempts.max(1)
        } else {
            1
        };
        if used >= allowed || part.asked.len() >= MAX_SENDS {
            return None;
        }
        Some(match (part.asked.is_empty(), part.live) {
            (true, _) => Cause::First,
            (false, 0) if part.arrived => Cause::Retry,
            (false, 0) => Cause::Resend,
            (false, _) => Cause::Hedge,
        })
    }

    fn give_up(&mut self, part: usize, lack: Lack) {
        self.parts[part].state = State::Missing(lack);
        self.missing += 1;
        self.lack = lack;
    }
}
