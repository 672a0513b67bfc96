//! Notices from backend servers that they are leaving or want no requests for a time, and the check that gateway
//! processes obey them.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use platform_standin::Arrival;
use platform_standin::Behaviour;
use platform_standin::ServerNotice;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::callers;
use crate::callers::Exchange;
use crate::callers::process_prefix;
use crate::check::Findings;
use crate::check::is_answered_by;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::fleet::Process;

/// Probability that a server gives a notice in a step of the run.
const NOTICE_PROBABILITY: f64 = 0.3;

/// Grace period after a caller got an answer with a leaving notice. Later requests must not reach the server.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Grace period after a server asked for no requests. Only later requests count as violations.
const HOLD_OFF_GRACE: Duration = Duration::from_millis(500);

/// Requests from each process that may reach the server after [`HOLD_OFF_GRACE`].
const HOLD_OFF_MAX_REQUESTS: usize = 2;

/// Makes random backend servers give notices.
pub struct NoticeInjector {
    rng: SmallRng,
}

impl NoticeInjector {
    pub const fn new(rng: SmallRng) -> Self {
        Self { rng }
    }

    /// Makes a random server give a notice, with the probability [`NOTICE_PROBABILITY`].
    pub fn inject_next(&mut self, fleet: &Fleet) {
        if !self.rng.random_bool(NOTICE_PROBABILITY) {
            return;
        }
        let backend = &fleet.backends[self.rng.random_range(0..fleet.backends.len())];
        if self.rng.random_bool(0.3) {
            backend.server.set_leaving(true);
        } else {
            let time = self.rng.random_range(0.6..2.5);
            backend.server.enqueue([Behaviour::RetryAfter(format!("{time:.2}"))]);
        }
    }
}

/// Withdraws the notices of a server. A new incarnation replaces one that was leaving. Faults that are queued at the
/// server are cleared too, since a server without requests has not consumed them.
pub fn withdraw(fleet: &mut Fleet, ix: usize) {
    let backend = &mut fleet.backends[ix];
    backend.server.clear_queued();
    backend.set_rate_limit(None);
    if backend.server.is_leaving() {
        backend.server.set_leaving(false);
        backend.restarts += 1;
    }
}

/// Checks that processes which received a notice obey it. `planted_fault` falsifies the data to test these checks.
pub fn check(exchanges: &[Exchange], fleet: &Fleet, planted_fault: Option<&str>, findings: &mut Findings) {
    let by_id = callers::by_id(exchanges);
    for backend in &fleet.backends {
        let arrivals = backend.server.arrivals();
        for (number, process) in fleet.processes.iter().enumerate() {
            let prefix = process_prefix(number) + "c";
            let process_arrivals: Vec<&Arrival> = arrivals
                .iter()
                .filter(|arrival| arrival.id.starts_with(&prefix))
                .collect();
            check_leaving(
                backend,
                process,
                &process_arrivals,
                &by_id,
                planted_fault == Some("leaving"),
                findings,
            );
            check_hold_off(
                backend,
                process,
                &process_arrivals,
                planted_fault == Some("hold"),
                findings,
            );
        }
    }
}

/// Checks that a process sends no request to a server later than [`DRAIN_GRACE`] after it relayed the leaving notice.
fn check_leaving(
    backend: &Backend,
    process: &Process,
    arrivals: &[&Arrival],
    exchanges: &IndexMap<&str, &Exchange>,
    is_planted: bool,
    findings: &mut Findings,
) {
    let notified_arrivals = arrivals
        .iter()
        .filter(|arrival| arrival.notice == ServerNotice::Leaving);
    let notified = notified_arrivals.filter_map(|arrival| exchanges.get(arrival.id.as_str()).copied());
    let Some(notified_at) = notified
        .filter(|exchange| is_answered_by(exchange, backend))
        .map(|exchange| exchange.ended)
        .min()
    else {
        return;
    };
    let notified_at = if is_planted {
        notified_at - DRAIN_GRACE * 2
    } else {
        notified_at
    };
    for arrival in arrivals {
        let sent = exchanges
            .get(arrival.id.as_str())
            .map_or(arrival.received_at, |exchange| exchange.sent);
        let is_exempt = !is_planted && is_disturbed(process, notified_at, arrival.received_at);
        if sent > notified_at + DRAIN_GRACE && !is_exempt {
            let delay = sent - notified_at;
            let name = &backend.server.id;
            findings.add("leaving", &format!("{} reached {name} after {delay:?}", arrival.id));
        }
    }
}

/// Checks that a process sends at most [`HOLD_OFF_MAX_REQUESTS`] to a server that asked for none.
fn check_hold_off(
    backend: &Backend,
    process: &Process,
    arrivals: &[&Arrival],
    is_planted: bool,
    findings: &mut Findings,
) {
    for arrival in arrivals {
        let ServerNotice::RetryAfter(time) = arrival.notice else {
            continue;
        };
        let end = arrival.received_at + time;
        let is_clear =
            is_link_clear(backend, arrival.received_at, end) && !is_disturbed(process, arrival.received_at, end);
        let from = if is_planted {
            arrival.received_at - time
        } else {
            arrival.received_at + HOLD_OFF_GRACE
        };
        let allowed = if is_planted { 0 } else { HOLD_OFF_MAX_REQUESTS };
        let received = arrivals
            .iter()
            .filter(|candidate| from < candidate.received_at && candidate.received_at < end)
            .count();
        if is_clear && received > allowed {
            let name = &process.name;
            findings.add(
                "hold",
                &format!(
                    "{received} requests of {name} reached {} in {time:?}",
                    backend.server.id
                ),
            );
        }
    }
}

/// Returns whether a process was signalled or restarted between `from` and `to`, or in the second before `from`, when
/// it may still be catching up after a pause.
fn is_disturbed(process: &Process, from: Instant, to: Instant) -> bool {
    let before = process.disturbances.iter().rfind(|at| **at <= from);
    let is_near = before.is_some_and(|at| from - *at < Duration::from_secs(1));
    is_near || process.disturbances.iter().any(|at| from < *at && *at < to)
}

/// Returns whether the proxy of a server forwarded without a fault from `from` to `to`.
pub fn is_link_clear(backend: &Backend, from: Instant, to: Instant) -> bool {
    let before = backend.link_changes.iter().rfind(|(at, _)| *at <= from);
    let is_unchanged = !backend.link_changes.iter().any(|(at, _)| from < *at && *at < to);
    before.is_none_or(|(_, is_clear)| *is_clear) && is_unchanged
}
