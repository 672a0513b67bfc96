//! Decides whether a part gets another attempt, and which server it goes to.
//!
//! When many servers are slow or silent at once, every part needs a second attempt. Attempts that would miss the
//! objective are not made, and the budget for extra attempts bounds the number of the others.

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

/// Probes per request. A failed probe costs a retry, and the budget has about 0.2 retries per part.
const PROBES_PER_REQUEST: u32 = 1;

/// Parameters of the next attempt for a part.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRequest<'a> {
    /// Servers that can answer the part.
    pub servers: &'a [Arc<Backend>],
    /// Servers that already received an attempt for the part.
    pub tried: &'a [ServerIndex],
    /// Reason for the attempt.
    pub cause: Cause,
    /// Requirements on the server.
    pub requirements: Requirements,
    /// Time after which the answer loses value.
    pub answer_by: Instant,
    /// Delay after which the attempt is hedged.
    pub hedge_after: Duration,
}

/// Number of recently failed servers that a request may still probe while healthy ones are available. If many servers
/// fail at once, a request that probed all of them would need more retries than the budget allows.
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

/// Chooses the server for an attempt. `take_extra` withdraws one extra attempt from the budget and returns whether
/// there was one left. Hedges and retries call it; first attempts and resends do not.
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
        tried,
        requirements,
        ..
    } = request;
    let (server, expected) =
        match selection::select_server(servers, tried, requirements, probes.remaining > 0, now, rng) {
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
