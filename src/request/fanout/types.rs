//! Inputs and decisions of [`Fanout`](crate::request::fanout::Fanout).

use std::time::Duration;
use std::time::Instant;

/// Index of a server in the server list of its service.
pub type ServerIndex = usize;

/// Limits that apply to one request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Number of parts.
    pub parts: usize,
    /// Minimum number of answered parts for an answer.
    pub min_parts: usize,
    /// Maximum number of attempts per part that may have run.
    pub max_attempts: u32,
    /// Whether a part may be executed more than once.
    pub repeatable: bool,
    /// Time within which the answer has its full value. A partial answer is sent shortly before it ends.
    pub objective: Duration,
    /// Time until the caller's deadline.
    pub time_limit: Duration,
    /// Part that must be answered by its first server before the others are sent, for a request that may crash servers.
    pub trial: Option<usize>,
}

/// Reason why a part is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// First attempt.
    First,
    /// Additional attempt because the one in flight is slow.
    Hedge,
    /// Repeat after a failed attempt.
    Retry,
    /// Repeat after attempts that never reached a server, so it is the first one that a server receives.
    Resend,
}

impl Cause {
    /// Returns the name used in logs and metrics.
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

/// Result of selecting a server for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChoice {
    /// Send to this server, and consider a hedge after the given time.
    Send(ServerIndex, Duration),
    /// Like [`ServerChoice::Send`], but the server failed recently and may not have recovered.
    Probe(ServerIndex, Duration),
    /// No server has capacity, or the budget is exhausted; try again later.
    Defer,
    /// The part must not be sent again until another part of the request has an answer or has failed.
    Hold,
    /// No eligible server is left.
    NoServer,
}

/// Instruction to send one part to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSend {
    /// Index of the part.
    pub part: usize,
    /// Server to send to.
    pub server: ServerIndex,
    /// Reason for the send.
    pub cause: Cause,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered,
    /// The attempt did not reach the server.
    Unsent,
    /// The server refused the attempt, which did not run and never will.
    NotRun,
    /// The attempt failed and may have run.
    Failed,
    /// The server disconnected during the attempt and accepts no connections any more. The attempt may have run.
    Crashed,
}

/// Reason why a part was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PartFailure {
    /// No server was eligible.
    NoServer,
    /// No server had capacity in time. The Debug form is logged, so the name must stay `NoRoom`.
    NoRoom,
    /// All attempts failed.
    Failed,
}

/// Next step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Wait until an attempt ends or the given time is reached.
    Wait(Instant),
    /// Answer with the parts received so far.
    Answer,
    /// Refuse the request: no part of it has run.
    Refuse(PartFailure),
    /// Fail the request: parts of it may have run.
    Fail(PartFailure),
    /// Report a timeout: the time limit was reached, and parts may have run.
    TimeOut,
}
