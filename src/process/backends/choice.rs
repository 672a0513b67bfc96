//! Choice of the next attempt of a part: where it goes, and whether a repetition is worth its work.
//!
//! Load pattern: many servers are slow or silent at once, so every part wants a second attempt. One that would come too
//! late for the objective is not made, and those that are made are bounded in number by the budget of the caller.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::process::backends::Backend;
use crate::process::backends::selection;
use crate::process::backends::selection::Requirements;
use crate::process::backends::selection::Selection;
use crate::request::fanout::Cause;
use crate::request::fanout::ServerChoice;
use crate::request::fanout::ServerIndex;

/// Probes of one request. A probe that fails costs a repetition, of which there are about 0.2 for each part.
const PROBES_PER_REQUEST: u32 = 1;

/// Attempt that a part wants.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRequest<'a> {
    /// Servers of the part.
    pub servers: &'a [Arc<Backend>],
    /// Servers that were asked for it already.
    pub asked: &'a [ServerIndex],
    /// Why the attempt is wanted.
    pub cause: Cause,
    /// What it needs.
    pub requirements: Requirements,
    /// Time until which an answer has its full value.
    pub answer_by: Instant,
    /// Time after which a further attempt is wanted.
    pub hedge_after: Duration,
}

/// Servers that failed lately and that one request may try although others are there. Many servers may have failed at
/// one time; a request that tried them all would need more repetitions than the budget has.
#[derive(Debug)]
pub struct ProbeBudget {
    remaining: u32,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            remaining: PROBES_PER_REQUEST,
        }
    }
}

/// Chooses the server of an attempt. `take_extra` takes a repetition out of the budget, and tells whether it had room.
#[must_use]
pub fn choose(
    request: AttemptRequest<'_>,
    probes: &mut ProbeBudget,
    mut take_extra: impl FnMut() -> bool,
    now: Instant,
    rng: &mut impl Rng,
) -> ServerChoice {
    let AttemptRequest {
        servers,
        asked,
        requirements,
        ..
    } = request;
    let (server, expected) =
        match selection::select_server(servers, asked, requirements, probes.remaining > 0, now, rng) {
            Selection::Server(server, expected) => (server, expected),
            Selection::AllBusy => return ServerChoice::Defer,
            Selection::NoServer => return ServerChoice::NoServer,
        };
    let misses_objective = now < request.answer_by && now + expected > request.answer_by;
    match request.cause {
        Cause::First | Cause::Resend => {}
        Cause::Hedge if misses_objective || !take_extra() => return ServerChoice::Defer,
        Cause::Retry if !take_extra() => return ServerChoice::NoServer,
        Cause::Hedge | Cause::Retry => {}
    }
    if servers[server].state().needs_probe() {
        probes.remaining = probes.remaining.saturating_sub(1);
        return ServerChoice::Probe(server, request.hedge_after);
    }
    ServerChoice::Send(server, request.hedge_after)
}
