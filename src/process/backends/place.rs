//! Choice of the backend server for an attempt.
//!
//! Load pattern: the servers of a service differ in load, speed and distance from moment to moment. The server with the
//! least expected time is asked; one in another data centre must be better by the price of the longer way.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::process::backends::Backend;
use crate::process::backends::standing::Standing;
use crate::process::census::Count;
use crate::request::fanout::ServerIndex;

/// Time by which a server of another data centre must be better, as a share of the objective. Traffic between data
/// centres is paid for, and an answer within its objective is not worth more for being earlier.
const REMOTE_SHARE: f64 = 0.3;

/// Share of the objective after which an answer that is expected leaves no time for a second attempt.
const SPARE_SHARE: f64 = 0.5;

/// Cost of the time after it, as a multiple of that time.
const LATE_FACTOR: f64 = 2.0;

/// Round trip to a server of another data centre.
const REMOTE_WAY: Duration = Duration::from_millis(2);

/// Differences between servers that are not told apart, as a share of the usual latency, so that instances that see the
/// same do not all choose the same server.
const BLUR: f64 = 0.1;

/// Share of the places at a server that routes may take while another route to its service is more urgent. The rest is
/// kept free, so that urgent requests find room when all others wait.
const OUTRANKED_SHARE: f64 = 0.75;

/// What an attempt needs.
#[derive(Debug, Clone, Copy)]
pub struct Wanted {
    /// Usual latency of the route.
    pub usual: Duration,
    /// Time within which the answer has its full value.
    pub objective: Duration,
    /// Whether another route to the service is more urgent.
    pub is_outranked: bool,
    /// Number of instances.
    pub instances: Count,
}

/// Standing of the best server for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// This server takes the attempt, and is expected to need this time.
    Server(ServerIndex, Duration),
    /// Servers are known, but none has a free connection.
    Full,
    /// No server can answer.
    Nobody,
}

/// Returns the best of `servers` that is not in `asked`. Servers that failed lately are left alone, except that one is
/// probed when its time is over: if `may_probe`, as soon as it looks best, and otherwise when no other is left.
#[must_use]
pub fn best(
    servers: &[Arc<Backend>],
    asked: &[ServerIndex],
    wanted: Wanted,
    may_probe: bool,
    now: Instant,
    rng: &mut impl Rng,
) -> Place {
    let Wanted { usual, objective, .. } = wanted;
    let mut best: Option<(Duration, ServerIndex, Duration)> = None;
    let mut probe: Option<(Duration, ServerIndex, Duration)> = None;
    let mut full = false;
    for (ix, server) in servers.iter().enumerate() {
        if asked.contains(&ix) {
            continue;
        }
        let standing = server.standing();
        if standing.is_leaving() || standing.is_held(now) {
            continue;
        }
        // One probe at a time shows whether a server that failed is back.
        if standing.is_avoided(now) || (standing.is_doubtful() && standing.in_flight() > 0) {
            continue;
        }
        let limit = flight_limit(server, &standing, wanted, now);
        if standing.in_flight() >= limit || !server.pool.has_capacity() {
            full = true;
            continue;
        }
        let expected = standing.expected(usual, now);
        let is_probe = standing.is_doubtful() && !may_probe;
        drop(standing);
        let mut cost = expected + usual.mul_f64(BLUR * rng.random::<f64>());
        cost += expected
            .saturating_sub(objective.mul_f64(SPARE_SHARE))
            .mul_f64(LATE_FACTOR);
        if !server.is_local {
            cost += REMOTE_WAY + objective.mul_f64(REMOTE_SHARE);
        }
        let rank = if is_probe { &mut probe } else { &mut best };
        if rank.is_none_or(|(least, _, _)| cost < least) {
            *rank = Some((cost, ix, expected));
        }
    }
    match (best, probe) {
        (Some((_, ix, expected)), _) => Place::Server(ix, expected),
        (None, _) if full => Place::Full,
        (None, Some((_, ix, expected))) => Place::Server(ix, expected),
        (None, None) => Place::Nobody,
    }
}

/// Returns the time from which a server may be asked again as far as is known; `None` when none of them says so.
#[must_use]
pub fn free_at(servers: &[Arc<Backend>]) -> Option<Instant> {
    servers.iter().filter_map(|server| server.standing().free_at()).min()
}

/// Describes why servers take no attempt, for the log: for each its name, the requests in flight and their limit, and
/// `leaving` or `held` at its own word, `avoided` after a failure, or `no_connection` when all connections are in use.
#[must_use]
pub fn describe(servers: &[Arc<Backend>], wanted: Wanted, now: Instant) -> String {
    let described = servers.iter().map(|server| {
        let standing = server.standing();
        let limit = flight_limit(server, &standing, wanted, now);
        let state = if standing.is_leaving() {
            " leaving"
        } else if standing.is_held(now) {
            " held"
        } else if standing.is_avoided(now) {
            " avoided"
        } else if server.pool.has_capacity() {
            ""
        } else {
            " no_connection"
        };
        format!("{} {}/{limit}{state}", server.entry.id, standing.in_flight())
    });
    described.collect::<Vec<String>>().join(", ")
}

/// Returns the requests that this instance may have in flight at a server. Most requests to a server come from the
/// instances of its data centre.
fn flight_limit(server: &Backend, standing: &Standing, wanted: Wanted, now: Instant) -> usize {
    let instances = wanted.instances;
    let sharers = if server.is_local {
        instances.local
    } else {
        instances.all
    };
    let limit = standing.flight_limit(wanted.usual, wanted.objective, sharers, now);
    if wanted.is_outranked {
        ((limit as f64 * OUTRANKED_SHARE) as usize).max(1)
    } else {
        limit
    }
}
