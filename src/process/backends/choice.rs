//! Choice of the next attempt of a part: where it goes, and whether a repetition is worth its work.
//!
//! Load pattern: many servers are slow or silent at once, so every part wants a second attempt. One that would come too
//! late for the objective is not made, and those that are made are bounded in number by the budget of the caller.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::process::backends::Backend;
use crate::process::backends::place;
use crate::process::backends::place::Place;
use crate::process::backends::place::Wanted;
use crate::request::fanout::Cause;
use crate::request::fanout::ServerChoice;
use crate::request::fanout::ServerIndex;

/// Probes of one request. A probe that fails costs a repetition, of which there are about 0.2 for each part.
const PROBES: u32 = 1;

/// Attempt that a part wants.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Servers of the part.
    pub servers: &'a [Arc<Backend>],
    /// Servers that were asked for it already.
    pub asked: &'a [ServerIndex],
    /// Why the attempt is wanted.
    pub cause: Cause,
    /// What it needs.
    pub wanted: Wanted,
    /// Time until which an answer has its full value.
    pub answer_by: Instant,
    /// Time after which a further attempt is wanted.
    pub hedge_after: Duration,
}

/// Servers that failed lately and that one request may try although others are there. Many servers may have failed at
/// one time; a request that tried them all would need more repetitions than the budget has.
#[derive(Debug)]
pub struct Probes {
    left: u32,
}

impl Default for Probes {
    fn default() -> Self {
        Self { left: PROBES }
    }
}

/// Chooses the server of an attempt. `take_extra` takes a repetition out of the budget, and tells whether it had room.
#[must_use]
pub fn choose(
    request: Request<'_>,
    probes: &mut Probes,
    mut take_extra: impl FnMut() -> bool,
    now: Instant,
    rng: &mut impl Rng,
) -> ServerChoice {
    let Request {
        servers, asked, wanted, ..
    } = request;
    let (server, expected) = match place::best(servers, asked, wanted, probes.left > 0, now, rng) {
        Place::Server(server, expected) => (server, expected),
        Place::Full => return ServerChoice::Defer,
        Place::Nobody => return ServerChoice::NoServer,
    };
    let comes_late = now < request.answer_by && now + expected > request.answer_by;
    match request.cause {
        Cause::First | Cause::Resend => {}
        Cause::Hedge if comes_late || !take_extra() => return ServerChoice::Defer,
        Cause::Retry if !take_extra() => return ServerChoice::NoServer,
        Cause::Hedge | Cause::Retry => {}
    }
    if servers[server].standing().is_doubtful() {
        probes.left = probes.left.saturating_sub(1);
        return ServerChoice::Probe(server, request.hedge_after);
    }
    ServerChoice::Send(server, request.hedge_after)
}
