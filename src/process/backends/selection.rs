//! Selects the backend server for an attempt.
//!
//! Load and speed of a service's servers change all the time. The server with the lowest expected latency is selected;
//! a server in another data centre has to be better by a fixed penalty.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::process::backends::Backend;
use crate::process::backends::server_state::ServerState;
use crate::process::gossip::InstanceCount;
use crate::process::quarantine;
use crate::process::quarantine::TrialLimits;
use crate::request::fanout::MAX_WAIT_SHARE;
use crate::request::fanout::ServerIndex;

/// Advantage that a server in another data centre needs over a local one, as a share of the objective.
/// Cross-data-centre traffic costs money, and an answer gains no value from arriving well before its objective.
const REMOTE_PENALTY_SHARE: f64 = 0.3;

/// Share of the objective beyond which the expected latency leaves no time for a second attempt.
const RETRY_TIME_SHARE: f64 = 0.5;

/// Weight of expected latency beyond [`RETRY_TIME_SHARE`].
const LATE_FACTOR: f64 = 2.0;

/// Round-trip time to a server in another data centre.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Random variation of the cost, as a share of the usual latency. It keeps instances with the same observations from
/// all selecting the same server.
const COST_JITTER: f64 = 0.1;

/// Share of the in-flight limit, and of the unused requests of a rate limit, that a route may use while another route
/// to the same service is more urgent. The rest is reserved for the urgent route.
const LOW_PRIORITY_SHARE: f64 = 0.75;

/// Requirements of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Requirements {
    /// Usual latency of the route.
    pub usual: Duration,
    /// Latency up to which the answer has its full value.
    pub objective: Duration,
    /// Whether another route to the service is more urgent.
    pub is_outranked: bool,
    /// Number of instances that share the servers.
    pub instances: InstanceCount,
}

/// Result of a server selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// The selected server and its expected latency.
    Server(ServerIndex, Duration),
    /// Servers are available, but all are at their in-flight or connection limit.
    AllBusy,
    /// No server is available.
    NoServer,
}

/// Returns the server with the lowest cost that is not in `tried`. Servers that failed recently are skipped until
/// their avoidance time is over. Then one request probes the server: with `may_probe` as soon as its cost is lowest,
/// otherwise only if no other server is available.
#[must_use]
pub fn select_server(
    servers: &[Arc<Backend>],
    tried: &[ServerIndex],
    requirements: Requirements,
    may_probe: bool,
    now: Instant,
    rng: &mut impl Rng,
) -> Selection {
    let Requirements { usual, objective, .. } = requirements;
    let mut best: Option<(Duration, ServerIndex, Duration)> = None;
    let mut probe: Option<(Duration, ServerIndex, Duration)> = None;
    let mut is_saturated = false;
    for (ix, server) in servers.iter().enumerate() {
        if tried.contains(&ix) {
            continue;
        }
        let state = server.state();
        if state.is_leaving() || state.is_backing_off(now) {
            continue;
        }
        // Only one probe at a time is in flight to a server that failed.
        if state.is_avoided(now) || (state.needs_probe() && state.in_flight() > 0) {
            continue;
        }
        match state.limit_admits_at(limit_reserve(requirements), now) {
            Some(at) if at <= now => {}
            // The request can wait that long; otherwise the server counts as unavailable.
            Some(at) if at <= now + objective.mul_f64(MAX_WAIT_SHARE) => {
                is_saturated = true;
                continue;
            }
            Some(_) | None => continue,
        }
        let limit = in_flight_limit(server, &state, requirements, now);
        if state.in_flight() >= limit || !server.pool.has_capacity() {
            is_saturated = true;
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
        let candidate = if is_probe { &mut probe } else { &mut best };
        if candidate.is_none_or(|(least, _, _)| cost < least) {
            *candidate = Some((cost, ix, expected));
        }
    }
    match (best, probe) {
        (Some((_, ix, expected)), _) => Selection::Server(ix, expected),
        (None, _) if is_saturated => Selection::AllBusy,
        (None, Some((_, ix, expected))) => Selection::Server(ix, expected),
        (None, None) => Selection::NoServer,
    }
}

/// Returns the earliest time at which one of the servers becomes available, or `None` if no server has a known time.
#[must_use]
pub fn available_at(servers: &[Arc<Backend>]) -> Option<Instant> {
    servers.iter().filter_map(|server| server.state().available_at()).min()
}

/// Chooses the part that a request which may crash servers is tried with, given the servers of each part. Load pattern:
/// the servers are needed by other requests, and a trial can crash one of them. The service must have
/// [`TrialLimits::min_available`] servers, or all that it has, and one with the most available servers is chosen. Among
/// those the choice is random, so that trials at several instances rarely share a server, and cannot be taken for each
/// other.
#[must_use]
pub fn trial_part<'a>(
    parts: impl Iterator<Item = &'a [Arc<Backend>]>,
    limits: &TrialLimits,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<usize> {
    let is_available = |server: &&Arc<Backend>| {
        !limits.crashed.contains(&server.entry.key()) && server.state().is_available(quarantine::DOWN_TIME, now)
    };
    let counted = parts.enumerate().filter_map(|(part, servers)| {
        let available = servers.iter().filter(is_available).count();
        let is_suitable = available > 0 && available >= limits.min_available.min(servers.len());
        is_suitable.then_some((part, available))
    });
    let counted: Vec<(usize, usize)> = counted.collect();
    let most = counted.iter().map(|(_, available)| *available).max()?;
    let best = counted.iter().filter(|(_, available)| *available == most);
    best.map(|(part, _)| *part).choose(rng)
}

/// Describes for the log why each server is unavailable: its name, the requests in flight and their limit, and
/// `leaving`, `held` (Retry-After), `avoided` (after a failure), `rate_limited` or `no_connection` (all connections in
/// use).
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
        } else if state
            .limit_admits_at(limit_reserve(requirements), now)
            .is_none_or(|at| at > now)
        {
            " rate_limited"
        } else if server.pool.has_capacity() {
            ""
        } else {
            " no_connection"
        };
        format!("{} {}/{limit}{label}", server.entry.id, state.in_flight())
    });
    described.collect::<Vec<String>>().join(", ")
}

/// Returns the share of the unused requests of a rate limit that a request leaves to others.
const fn limit_reserve(requirements: Requirements) -> f64 {
    if requirements.is_outranked {
        1.0 - LOW_PRIORITY_SHARE
    } else {
        0.0
    }
}

/// Returns the limit on this instance's requests in flight to a server. Local servers are shared by the instances of
/// the data centre, since these send most of the requests, and remote servers by all instances.
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
