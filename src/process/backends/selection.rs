//! Choice of the backend server for an attempt.
//!
//! Load pattern: the servers of a service differ in load, speed and distance from moment to moment. The server with the
//! least expected time is asked; one in another data centre must be better by the price of the longer way.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::process::backends::Backend;
use crate::process::backends::server_state::ServerState;
use crate::process::gossip::InstanceCount;
use crate::request::fanout::ServerIndex;

/// Time by which a server of another data centre must be better, as a share of the objective. Traffic between data
/// centres is paid for, and an answer within its objective is not worth more for being earlier.
const REMOTE_PENALTY_SHARE: f64 = 0.3;

/// Share of the objective after which an answer that is expected leaves no time for a second attempt.
const RETRY_TIME_SHARE: f64 = 0.5;

/// Cost of the time after it, as a multiple of that time.
const LATE_FACTOR: f64 = 2.0;

/// Round trip to a server of another data centre.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Differences between servers that are not told apart, as a share of the usual latency, so that instances that see the
/// same do not all choose the same server.
const COST_JITTER: f64 = 0.1;

/// Share of the places at a server that routes may take while another route to its service is more urgent. The rest is
/// kept free, so that urgent requests find room when all others wait.
const LOW_PRIORITY_SHARE: f64 = 0.75;

/// What an attempt needs.
#[derive(Debug, Clone, Copy)]
pub struct Requirements {
    /// Usual latency of the route.
    pub usual: Duration,
    /// Time within which the answer has its full value.
    pub objective: Duration,
    /// Whether another route to the service is more urgent.
    pub is_outranked: bool,
    /// Number of instances.
    pub instances: InstanceCount,
}

/// Standing of the best server for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// This server takes the attempt, and is expected to need this time.
    Server(ServerIndex, Duration),
    /// Servers are known, but none has a free connection.
    AllBusy,
    /// No server can answer.
    NoServer,
}

/// Returns the best of `servers` that is not in `asked`. Servers that failed lately are left alone, except that one is
/// probed when its time is over: if `may_probe`, as soon as it looks best, and otherwise when no other is left.
#[must_use]
pub fn select_server(
    servers: &[Arc<Backend>],
    asked: &[ServerIndex],
    requirements: Requirements,
    may_probe: bool,
    now: Instant,
    rng: &mut impl Rng,
) -> Selection {
    let Requirements { usual, objective, .. } = requirements;
    let mut best: Option<(Duration, ServerIndex, Duration)> = None;
    let mut probe: Option<(Duration, ServerIndex, Duration)> = None;
    let mut full = false;
    for (ix, server) in servers.iter().enumerate() {
        if asked.contains(&ix) {
            continue;
        }
        let state = server.state();
        if state.is_leaving() || state.is_backing_off(now) {
            continue;
        }
        // One probe at a time shows whether a server that failed is back.
        if state.is_avoided(now) || (state.needs_probe() && state.in_flight() > 0) {
            continue;
        }
        let limit = in_flight_limit(server, &state, requirements, now);
        if state.in_flight() >= limit || !server.pool.has_capacity() {
            full = true;
            continue;
        }
        let expected = state.expected(usual, now);
        let is_probe = state.needs_probe() && !may_probe;
        drop(state);
        let mut cost = expected + usual.mul_f64(COST_JITTER * rng.random::<f64>());
        cost += expected
            .saturating_sub(objective.mul_f64(RETRY_TIME_SHARE))
            .mul_f64(LATE_FACTOR);
        if !server.is_local {
            cost += REMOTE_ROUND_TRIP + objective.mul_f64(REMOTE_PENALTY_SHARE);
        }
        let slot = if is_probe { &mut probe } else { &mut best };
        if slot.is_none_or(|(least, _, _)| cost < least) {
            *slot = Some((cost, ix, expected));
        }
    }
    match (best, probe) {
        (Some((_, ix, expected)), _) => Selection::Server(ix, expected),
        (None, _) if full => Selection::AllBusy,
        (None, Some((_, ix, expected))) => Selection::Server(ix, expected),
        (None, None) => Selection::NoServer,
    }
}

/// Returns the time from which a server may be asked again as far as is known; `None` when none of them says so.
#[must_use]
pub fn available_at(servers: &[Arc<Backend>]) -> Option<Instant> {
    servers.iter().filter_map(|server| server.state().available_at()).min()
}

/// Describes why servers take no attempt, for the log: for each its name, the requests in flight and their limit, and
/// `leaving` or `held` at its own word, `avoided` after a failure, or `no_connection` when all connections are in use.
#[must_use]
pub fn describe(servers: &[Arc<Backend>], requirements: Requirements, now: Instant) -> String {
    let described = servers.iter().map(|server| {
        let state = server.state();
        let limit = in_flight_limit(server, &state, requirements, now);
        let label = if state.is_leaving() {
            " leaving"
        } else if state.is_backing_off(now) {
            " held"
        } else if state.is_avoided(now) {
            " avoided"
        } else if server.pool.has_capacity() {
            ""
        } else {
            " no_connection"
        };
        format!("{} {}/{limit}{label}", server.entry.id, state.in_flight())
    });
    described.collect::<Vec<String>>().join(", ")
}

/// Returns the requests that this instance may have in flight at a server. Most requests to a server come from the
/// instances of its data centre.
fn in_flight_limit(server: &Backend, state: &ServerState, requirements: Requirements, now: Instant) -> usize {
    let instances = requirements.instances;
    let sharing_instances = if server.is_local {
        instances.local
    } else {
        instances.all
    };
    let limit = state.in_flight_limit(requirements.usual, requirements.objective, sharing_instances, now);
    if requirements.is_outranked {
        ((limit as f64 * LOW_PRIORITY_SHARE) as usize).max(1)
    } else {
        limit
    }
}
